/**
 * @file config.h
 * @brief What operators confirmed: a fold over the log's records.
 *
 * Hosts that folded the same records hold the same state to the byte.
 */
#ifndef FFL_CONFIG_H
#define FFL_CONFIG_H

#include "fireflyledge/finding.h"
#include "fireflyledge/record.h"

/** Plans that may wait for confirmation; the oldest gives way. */
#define FFL_PLANS_MAX 1024
/** Audit entries kept; older ones are dropped, their hash remains. */
#define FFL_AUDIT_MAX 8192

/** A customer with its limits. */
typedef struct {
	ffl_name_t name;
	uint8_t token_hash[FFL_HASH_BYTES];
	uint32_t weight;
	uint32_t quota_accelerators;
	uint32_t rate_per_s;
	uint32_t burst;
	uint32_t concurrent;
	uint64_t revision; /**< that last changed it */
} ffl_customer_t;

/** Shapes guaranteed to a customer in a cell. */
typedef struct {
	ffl_name_t customer;
	ffl_name_t dc;
	uint32_t count;
	uint32_t accelerators;
	ffl_adjacency_t adjacency;
	uint64_t revision;
} ffl_guarantee_t;

/** A host that takes no new work. */
typedef struct {
	ffl_name_t host;
	uint64_t revision;
} ffl_drain_t;

typedef struct {
	ffl_name_t name;
	uint8_t token_hash[FFL_HASH_BYTES];
	uint64_t revision;
} ffl_operator_t;

/** An intent whose plan awaits confirmation. */
typedef struct {
	uint64_t plan; /**< offset of the intent's record */
	uint64_t at_ms;
	uint64_t writer;
	uint64_t seq;
	ffl_intent_t intent;
} ffl_pending_t;

/** A change that took effect. */
typedef struct {
	uint64_t revision; /**< offset of the confirmation */
	uint64_t plan;
	uint64_t at_ms;
	uint64_t supersedes; /**< revision that it replaced, or 0 */
	uint64_t chain;	     /**< hash over this entry and the one before */
	ffl_name_t confirmed_by;
	ffl_intent_t intent;
} ffl_audit_t;

/** Result of a confirmation, kept for its sender. */
typedef struct {
	uint64_t plan;
	uint64_t offset;
	ffl_status_t status; /**< FFL_OK, FFL_CONFLICT or FFL_NOT_FOUND */
	uint64_t between;    /**< revision that came between */
} ffl_verdict_t;

typedef struct {
	uint64_t revision;  /**< offset of the last effective confirmation */
	GArray *customers;  /**< of ffl_customer_t, by name */
	GArray *guarantees; /**< of ffl_guarantee_t, by customer, dc, shape */
	GArray *drains;	    /**< of ffl_drain_t, by host */
	GArray *operators;  /**< of ffl_operator_t, by name */
	GArray *pending;    /**< of ffl_pending_t, by plan */
	GArray *audit;	    /**< of ffl_audit_t, by revision */
	char order[FFL_ORDER_BYTES];
	uint64_t order_revision;
	uint64_t chain; /**< hash of the last audit entry */
} ffl_config_t;

void ffl_config_init(ffl_config_t *cfg);
void ffl_config_finish(ffl_config_t *cfg);

/** Checks what the intent states by itself; adds every fault. */
ffl_status_t ffl_intent_check(const ffl_intent_t *intent, ffl_findings_t *fs);

/** Folds an intent record. */
void ffl_config_intent(ffl_config_t *cfg, uint64_t offset,
		       const ffl_record_t *rec);
/** Folds a confirmation and tells what became of it. */
ffl_verdict_t ffl_config_confirm(ffl_config_t *cfg, uint64_t offset,
				 const ffl_record_t *rec);

/** Returns the pending plan, or NULL. */
const ffl_pending_t *ffl_config_pending(const ffl_config_t *cfg, uint64_t plan);
const ffl_customer_t *ffl_config_customer(const ffl_config_t *cfg,
					  const char *name);
/** Finds the customer or operator whose token this is; NULL if none. */
const ffl_customer_t *ffl_config_customer_of(const ffl_config_t *cfg,
					     const char *token);
const ffl_operator_t *ffl_config_operator_of(const ffl_config_t *cfg,
					     const char *token);
bool ffl_config_drained(const ffl_config_t *cfg, const char *host);

/** Returns a hash over the whole state. */
uint64_t ffl_config_hash(const ffl_config_t *cfg);

/** Hashes a token for an intent. */
void ffl_token_hash(const char *token, uint8_t hash[FFL_HASH_BYTES]);

json_t *ffl_config_to_json(const ffl_config_t *cfg);
json_t *ffl_config_history_to_json(const ffl_config_t *cfg);

#endif
