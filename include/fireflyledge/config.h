/**
 * @file config.h
 * @brief The configuration that operators confirmed, folded from log records.
 *
 * An operator states an intent. Its record on the log makes it a pending
 * plan, named by the record's offset. A confirmation record applies the plan;
 * the offset of that record is the new revision of the configuration. Hosts
 * that folded the same records hold byte-identical state.
 */
#ifndef FFL_CONFIG_H
#define FFL_CONFIG_H

#include "fireflyledge/finding.h"
#include "fireflyledge/record.h"

/** Most plans awaiting confirmation; one more discards the oldest. */
#define FFL_PLANS_MAX 1024
/** Most audit entries kept; of older ones only the chain hash remains. */
#define FFL_AUDIT_MAX 8192
/** Audit entries dropped at once when FFL_AUDIT_MAX is exceeded. */
#define FFL_AUDIT_DROP_COUNT 256
/** Most scopes that keep their own last revision; all others share
 * ffl_config_t.scope_floor. */
#define FFL_SCOPES_MAX 4096
/** Scopes dropped at once when FFL_SCOPES_MAX is exceeded. */
#define FFL_SCOPES_DROP_COUNT 512

/** A customer and its limits. */
typedef struct {
	ffl_name_t name;
	uint8_t token_hash[FFL_HASH_BYTES];
	uint32_t weight;
	uint32_t quota_accelerators;
	uint32_t rate_per_s;
	uint32_t burst;
	uint32_t concurrent;
	uint64_t revision; /**< of the last change to this customer */
} ffl_customer_t;

/** Capacity guaranteed to a customer in one data centre: a number of shapes,
 * each of some accelerators with an adjacency. */
typedef struct {
	ffl_name_t customer;
	ffl_name_t dc;
	uint32_t count;	       /**< of shapes */
	uint32_t accelerators; /**< of one shape */
	ffl_adjacency_t adjacency;
	uint64_t revision;
} ffl_guarantee_t;

/** A drained host: it gets no new work. */
typedef struct {
	ffl_name_t host;
	uint64_t revision;
} ffl_drain_t;

/** A person or program that may change the configuration. */
typedef struct {
	ffl_name_t name;
	uint8_t token_hash[FFL_HASH_BYTES];
	uint64_t revision;
} ffl_operator_t;

/** A plan awaiting confirmation. */
typedef struct {
	uint64_t plan;	 /**< offset of the intent's record */
	uint64_t at_ms;	 /**< wall clock of the record's writer */
	uint64_t writer; /**< that appended the record */
	uint64_t seq;	 /**< of the record, given by the writer */
	ffl_intent_t intent;
} ffl_pending_t;

/** Audit entry: a change that took effect. */
typedef struct {
	uint64_t revision;   /**< offset of the confirmation */
	uint64_t plan;	     /**< offset of the intent */
	uint64_t at_ms;	     /**< wall clock of the confirmation's writer */
	uint64_t supersedes; /**< last revision of the object before, or 0 */
	uint8_t chain[FFL_HASH_BYTES]; /**< hash of this entry, keyed with the
					  chain hash of the previous one */
	ffl_name_t confirmed_by;
	ffl_intent_t intent;
	ffl_intent_t before; /**< image of the object before the change */
} ffl_audit_t;

/** Kind of a scope, the unit in which concurrent changes conflict. */
typedef enum {
	FFL_SCOPE_CELL, /**< named after its data centre */
	FFL_SCOPE_HOST,
	FFL_SCOPE_CUSTOMER,
	FFL_SCOPE_OPERATOR,
	FFL_SCOPE_ORDER, /**< the order of preemption; no name */
	FFL_SCOPE__MAX
} ffl_scope_kind_t;

/** A scope and the last revision that changed it. */
typedef struct {
	ffl_scope_kind_t kind;
	ffl_name_t name;
	uint64_t revision;
} ffl_scope_t;

/** Result of a confirmation, for the reply to its sender. */
typedef struct {
	uint64_t plan;	 /**< that the confirmation names */
	uint64_t offset; /**< of the confirmation */
	/** FFL_OK, FFL_CONFLICT, FFL_INVALID or FFL_NOT_FOUND */
	ffl_status_t status;
	uint64_t revision;	    /**< at which the plan took effect, or 0 */
	bool repeated;		    /**< the plan took effect earlier */
	uint64_t conflict_revision; /**< that prevents or superseded the plan,
					 or 0 */
	uint64_t unreadable;	    /**< offset of an unreadable record that
					 prevents the plan, or 0 */
	const char *detail;	    /**< static text, never NULL */
} ffl_confirm_result_t;

/** The configuration, with pending plans and the audit trail. */
typedef struct {
	uint64_t revision;   /**< offset of the last confirmation that took
				  effect */
	GArray *customers;   /**< of ffl_customer_t, sorted by name */
	GArray *guarantees;  /**< of ffl_guarantee_t, sorted by customer,
				  dc, accelerators, adjacency */
	GArray *drains;	     /**< of ffl_drain_t, sorted by host */
	GArray *operators;   /**< of ffl_operator_t, sorted by name */
	GArray *scopes;	     /**< of ffl_scope_t, sorted by kind, name */
	GPtrArray *pending;  /**< of ffl_pending_t, sorted by plan */
	GPtrArray *audit;    /**< of ffl_audit_t, sorted by revision */
	GHashTable *by_plan; /**< ffl_audit_t by plan; owned by audit */
	char order[FFL_ORDER_BYTES]; /**< of preemption: kinds of work,
					separated by commas, the first is
					preempted first */
	uint64_t order_revision;
	uint64_t scope_floor; /**< newest revision of a dropped scope */
	uint64_t unreadable;  /**< offset of the last unreadable record, or 0 */
	uint64_t dropped;     /**< audit entries dropped so far */
	uint8_t base[FFL_HASH_BYTES];  /**< chain hash of the last entry that
					  was dropped */
	uint8_t chain[FFL_HASH_BYTES]; /**< chain hash of the last entry */
} ffl_config_t;

void ffl_config_init(ffl_config_t *cfg);
void ffl_config_finish(ffl_config_t *cfg);

/**
 * Checks an intent's fields without regard to the configuration, and adds a
 * finding to @p fs for each error.
 *
 * @return FFL_OK or FFL_INVALID
 */
ffl_status_t ffl_intent_check(const ffl_intent_t *intent, ffl_findings_t *fs);

/** Adds the plan of an intent record, which then awaits confirmation. */
void ffl_config_apply_intent(ffl_config_t *cfg, uint64_t offset,
			     const ffl_record_t *rec);
/** Applies the plan that a confirmation record names, unless it conflicts. */
ffl_confirm_result_t ffl_config_apply_confirm(ffl_config_t *cfg,
					      uint64_t offset,
					      const ffl_record_t *rec);

/** Returns the plan awaiting confirmation, or NULL. */
const ffl_pending_t *ffl_config_pending(const ffl_config_t *cfg, uint64_t plan);
/** Returns the customer of a name, or NULL. */
const ffl_customer_t *ffl_config_customer(const ffl_config_t *cfg,
					  const char *name);
/** Returns the customer or operator that owns a token, or NULL. Compares with
 * every hash, in constant time, so that timing reveals nothing of them. */
const ffl_customer_t *ffl_config_customer_by_token(const ffl_config_t *cfg,
						   const char *token);
const ffl_operator_t *ffl_config_operator_by_token(const ffl_config_t *cfg,
						   const char *token);
/** Returns true if a host is drained. */
bool ffl_config_host_drained(const ffl_config_t *cfg, const char *host);
/** Returns the guarantee with the customer, dc, accelerators and adjacency of
 * @p shape, or NULL. */
const ffl_guarantee_t *ffl_config_guarantee(const ffl_config_t *cfg,
					    const ffl_intent_t *shape);
/** Returns the index of a kind of work in the order of preemption: 0 is
 * preempted first. A kind that the order does not list gets UINT32_MAX. */
uint32_t ffl_config_order_rank(const ffl_config_t *cfg, const char *kind);

/**
 * Computes the images of an intent's object before and after the change.
 *
 * @param detail set to a static text that says why the intent cannot take
 *               effect, or to ""
 * @param conflict_revision set to the revision that prevents it, or to 0
 * @return FFL_OK; FFL_NOT_FOUND or FFL_CONFLICT if the intent cannot take
 *         effect
 */
ffl_status_t ffl_config_preview(const ffl_config_t *cfg,
				const ffl_intent_t *intent,
				ffl_intent_t *before, ffl_intent_t *after,
				const char **detail,
				uint64_t *conflict_revision);
/** Returns the newest revision after @p revision that changed a scope of the
 * intent, or 0. For a @p revision below scope_floor that is at least the
 * scope_floor, since a dropped scope may have changed since. */
uint64_t ffl_config_newest_conflict(const ffl_config_t *cfg,
				    const ffl_intent_t *intent,
				    uint64_t revision);
/** Records the offset of an intent or confirmation that this version cannot
 * read. Plans that were shown before it are refused from then on. */
void ffl_config_set_unreadable(ffl_config_t *cfg, uint64_t offset);

/** Returns the audit entry of a revision or of a plan, or NULL if there is
 * none or it was dropped. */
const ffl_audit_t *ffl_config_audit(const ffl_config_t *cfg, uint64_t revision);
const ffl_audit_t *ffl_config_audit_by_plan(const ffl_config_t *cfg,
					    uint64_t plan);
/** Returns the next audit entry after @p a that changed the same object; NULL
 * if @p a is still in force. */
const ffl_audit_t *ffl_config_audit_successor(const ffl_config_t *cfg,
					      const ffl_audit_t *a);
/** Recomputes the hash chain of the audit trail; returns true if it matches. */
bool ffl_config_verify_audit(const ffl_config_t *cfg);

/** Appends the saved state to @p out. */
void ffl_config_save(const ffl_config_t *cfg, GByteArray *out);
/**
 * Replaces the state by a saved one; leaves it as it was on error.
 *
 * @param used_bytes set to the bytes read from @p in
 * @return FFL_OK; FFL_INVALID if a bound is exceeded or the hash chain of the
 *         audit trail is broken; or the error of decoding
 */
ffl_status_t ffl_config_load(ffl_config_t *cfg, ffl_bytes_t in,
			     size_t *used_bytes);

/** Returns a hash of the saved state, to compare hosts. */
uint64_t ffl_config_hash(const ffl_config_t *cfg);

/** Computes the hash of a token, as intents and the configuration hold it. */
void ffl_token_hash(const char *token, uint8_t hash[FFL_HASH_BYTES]);

/** Returns the configuration as JSON, without operators and token hashes. */
json_t *ffl_config_to_json(const ffl_config_t *cfg);
/** Returns the audit trail as JSON, with the result of its verification. */
json_t *ffl_config_history_to_json(const ffl_config_t *cfg);
/** Returns an audit entry as JSON. */
json_t *ffl_audit_to_json(const ffl_config_t *cfg, const ffl_audit_t *a);
/** Returns an image as JSON without token hashes; null if the object does not
 * exist. */
json_t *ffl_image_to_json(const ffl_intent_t *image);

#endif
