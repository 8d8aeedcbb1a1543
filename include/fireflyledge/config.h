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
/** Entries dropped together once the trail is over its bound. */
#define FFL_AUDIT_DROP_COUNT 256
/** Scopes whose last revision is remembered; more share one bound. */
#define FFL_SCOPES_MAX 4096
/** Scopes forgotten together once there are more. */
#define FFL_SCOPES_DROP_COUNT 512

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
	uint64_t supersedes;	       /**< revision that it replaced, or 0 */
	uint8_t chain[FFL_HASH_BYTES]; /**< over this entry and the last one */
	ffl_name_t confirmed_by;
	ffl_intent_t intent;
	ffl_intent_t before; /**< the object before, as an image */
} ffl_audit_t;

/** Part of the configuration that plans are checked against. */
typedef enum {
	FFL_SCOPE_CELL,
	FFL_SCOPE_HOST,
	FFL_SCOPE_CUSTOMER,
	FFL_SCOPE_OPERATOR,
	FFL_SCOPE_ORDER,
	FFL_SCOPE__MAX
} ffl_scope_kind_t;

/** Last revision that changed a part of the configuration. */
typedef struct {
	ffl_scope_kind_t kind;
	ffl_name_t name;
	uint64_t revision;
} ffl_scope_t;

/** Result of a confirmation, kept for its sender. */
typedef struct {
	uint64_t plan;
	uint64_t offset;
	/** FFL_OK, FFL_CONFLICT, FFL_INVALID or FFL_NOT_FOUND */
	ffl_status_t status;
	uint64_t revision;	    /**< where the plan took effect, or 0 */
	bool repeated;		    /**< the plan was in force before */
	uint64_t conflict_revision; /**< revision that came between, or 0 */
	uint64_t unreadable;	    /**< record that could not be read, or 0 */
	const char *detail;
} ffl_confirm_result_t;

typedef struct {
	uint64_t revision;   /**< offset of the last effective confirmation */
	GArray *customers;   /**< of ffl_customer_t, by name */
	GArray *guarantees;  /**< of ffl_guarantee_t, by customer, dc, shape */
	GArray *drains;	     /**< of ffl_drain_t, by host */
	GArray *operators;   /**< of ffl_operator_t, by name */
	GArray *scopes;	     /**< of ffl_scope_t, by kind and name */
	GPtrArray *pending;  /**< of ffl_pending_t, by plan */
	GPtrArray *audit;    /**< of ffl_audit_t, by revision */
	GHashTable *by_plan; /**< revision of each plan in the trail */
	char order[FFL_ORDER_BYTES];
	uint64_t order_revision;
	uint64_t scope_floor; /**< newest revision of a forgotten scope */
	uint64_t unreadable;  /**< last record that could not be read */
	uint64_t dropped;     /**< audit entries beyond the bound */
	uint8_t base[FFL_HASH_BYTES];  /**< chain of the last one dropped */
	uint8_t chain[FFL_HASH_BYTES]; /**< chain of the last entry */
} ffl_config_t;

void ffl_config_init(ffl_config_t *cfg);
void ffl_config_finish(ffl_config_t *cfg);

/** Checks what the intent states by itself; adds every fault. */
ffl_status_t ffl_intent_check(const ffl_intent_t *intent, ffl_findings_t *fs);

/** Folds an intent record. */
void ffl_config_apply_intent(ffl_config_t *cfg, uint64_t offset,
			     const ffl_record_t *rec);
/** Folds a confirmation and tells what became of it. */
ffl_confirm_result_t ffl_config_apply_confirm(ffl_config_t *cfg,
					      uint64_t offset,
					      const ffl_record_t *rec);

/** Returns the pending plan, or NULL. */
const ffl_pending_t *ffl_config_pending(const ffl_config_t *cfg, uint64_t plan);
const ffl_customer_t *ffl_config_customer(const ffl_config_t *cfg,
					  const char *name);
/** Finds the customer or operator whose token this is; NULL if none. */
const ffl_customer_t *ffl_config_customer_by_token(const ffl_config_t *cfg,
						   const char *token);
const ffl_operator_t *ffl_config_operator_by_token(const ffl_config_t *cfg,
						   const char *token);
bool ffl_config_host_drained(const ffl_config_t *cfg, const char *host);
const ffl_guarantee_t *ffl_config_guarantee(const ffl_config_t *cfg,
					    const ffl_intent_t *shape);
/** Returns a kind's place in the order of preemption; the first yields first,
 * one that the order does not name yields last. */
uint32_t ffl_config_order_rank(const ffl_config_t *cfg, const char *kind);

/**
 * Shows what an intent would change.
 *
 * @return FFL_OK; FFL_NOT_FOUND or FFL_CONFLICT where it cannot take effect,
 *         with the reason in @p why and the revision in the way
 */
ffl_status_t ffl_config_preview(const ffl_config_t *cfg,
				const ffl_intent_t *intent,
				ffl_intent_t *before, ffl_intent_t *after,
				const char **why, uint64_t *between);
/** Returns the first revision after @p revision that a plan rests on. */
uint64_t ffl_config_newest_conflict(const ffl_config_t *cfg,
				    const ffl_intent_t *intent,
				    uint64_t revision);
/** Remembers a record of a kind of the configuration that is unreadable. */
void ffl_config_set_unreadable(ffl_config_t *cfg, uint64_t offset);

/** Returns the audit entry of a revision or of a plan, or NULL. */
const ffl_audit_t *ffl_config_audit(const ffl_config_t *cfg, uint64_t revision);
const ffl_audit_t *ffl_config_audit_by_plan(const ffl_config_t *cfg,
					    uint64_t plan);
/** Returns the entry that superseded @p a, or NULL where it is in force. */
const ffl_audit_t *ffl_config_audit_successor(const ffl_config_t *cfg,
					      const ffl_audit_t *a);
/** Checks the chain of the whole trail. */
bool ffl_config_verify_audit(const ffl_config_t *cfg);

/** Appends the state to @p out. */
void ffl_config_save(const ffl_config_t *cfg, GByteArray *out);
/** Replaces the state; FFL_INVALID where the trail's chain is broken. */
ffl_status_t ffl_config_load(ffl_config_t *cfg, ffl_bytes_t in,
			     size_t *used_bytes);

/** Returns a hash over the whole state. */
uint64_t ffl_config_hash(const ffl_config_t *cfg);

/** Hashes a token for an intent. */
void ffl_token_hash(const char *token, uint8_t hash[FFL_HASH_BYTES]);

json_t *ffl_config_to_json(const ffl_config_t *cfg);
json_t *ffl_config_history_to_json(const ffl_config_t *cfg);
json_t *ffl_audit_to_json(const ffl_config_t *cfg, const ffl_audit_t *a);
/** Returns an image of an object as JSON; null where it does not exist. */
json_t *ffl_image_to_json(const ffl_intent_t *image);

#endif
