/**
 * @file once.h
 * @brief At most one run for each idempotency key, across all entry hosts.
 *
 * Each key has an owner: the member that rendezvous hashing over the view
 * gives. The owner grants the run to one request and stores its outcome. When
 * the view changes, keys are handed over to their new owner. An owner that
 * cannot prove that a key is new answers that its outcome is unknown, and
 * grants nothing.
 */
#ifndef FFL_ONCE_H
#define FFL_ONCE_H

#include <glib.h>

#include "fireflyledge/ownership.h"
#include "fireflyledge/peer.h"

/** Time for which a key is stored; callers repeat within it or not at all. */
#define FFL_ONCE_RETENTION_MS 600000

/** Hash that identifies an idempotency key of a customer. */
typedef struct {
	uint64_t a;
	uint64_t b;
} ffl_key_id_t;

/** State of a key's run. A greater state replaces a lesser one. */
typedef enum {
	FFL_ONCE_FREE,	   /**< did not run; only in messages */
	FFL_ONCE_RUNNING,  /**< granted */
	FFL_ONCE_UNKNOWN,  /**< granted, with unknown outcome */
	FFL_ONCE_DONE,	   /**< ran; its answer is not stored */
	FFL_ONCE_ANSWERED, /**< ran; its answer is stored */
	FFL_ONCE_STATE__MAX
} ffl_once_state_t;

/** An owner's decision on a request. */
typedef enum {
	FFL_ONCE_VERDICT_RUN,	   /**< this request alone may run */
	FFL_ONCE_VERDICT_RUNNING,  /**< another request with this key runs */
	FFL_ONCE_VERDICT_ANSWER,   /**< it has run; here is its answer */
	FFL_ONCE_VERDICT_DONE,	   /**< it has run; no answer is stored */
	FFL_ONCE_VERDICT_UNKNOWN,  /**< it may have run */
	FFL_ONCE_VERDICT_MISMATCH, /**< the key is of another payload */
	FFL_ONCE_VERDICT_FULL,	   /**< the table of keys is full */
	FFL_ONCE_VERDICT_WAIT,	   /**< not the owner at present: ask again */
	FFL_ONCE_VERDICT__MAX
} ffl_once_verdict_t;

/** A key and the state of its run. */
typedef struct {
	ffl_key_id_t id;
	uint64_t payload_hash;
	uint64_t origin;       /**< member that was granted the run */
	uint64_t request;      /**< ID of the granted request at the origin */
	uint64_t cursor;       /**< position in the order in which keys came */
	uint64_t seen_ms;      /**< when the key was first used */
	uint64_t run_until_ms; /**< latest time at which it may be running */
	ffl_once_state_t state;
	uint32_t http_status;
	char *content_type;
	uint8_t *answer; /**< body */
	uint32_t answer_bytes;
	GList link; /**< in ffl_once_t.by_cursor */
} ffl_once_entry_t;

/** Progress of the handover to a member. */
typedef struct {
	uint64_t member;
	uint64_t cursor;  /**< keys up to this one are acknowledged */
	uint64_t sent_ms; /**< of the unacknowledged message; 0: none */
	bool complete;
} ffl_once_progress_t;

/** Limits of the table of keys. */
typedef struct {
	uint32_t keys;
	uint64_t answer_bytes; /**< of all stored answers together */
} ffl_once_bounds_t;

typedef struct {
	ffl_ownership_t ownership;
	ffl_once_bounds_t bounds;
	GHashTable *entries; /**< ffl_once_entry_t by id */
	GQueue by_cursor;    /**< oldest first */
	uint64_t next_cursor;
	uint64_t answer_bytes; /**< of all stored answers */
	GArray *peers;	       /**< of ffl_once_progress_t */
	bool handing_over;     /**< this host leaves and grants nothing */
} ffl_once_t;

void ffl_once_init(ffl_once_t *o, uint64_t self);
void ffl_once_finish(ffl_once_t *o);
/** Returns the ID of a customer's idempotency key. */
ffl_key_id_t ffl_once_key_id(const char *customer, const char *key);
/** Returns the member that owns a key; 0 if the view is empty. */
uint64_t ffl_once_owner(const ffl_once_t *o, ffl_key_id_t id);

/**
 * Decides whether a request may run, and records the run that it grants.
 *
 * @param origin member that asks
 * @param entry  set to the key's entry if the key is known; the entry holds
 *               the answer if the verdict is FFL_ONCE_VERDICT_ANSWER
 */
ffl_once_verdict_t ffl_once_decide(ffl_once_t *o, uint64_t origin,
				   const ffl_once_ask_t *ask, uint64_t now_ms,
				   const ffl_once_entry_t **entry);
/** Records a run's outcome; FFL_ONCE_FREE removes the granted key. */
void ffl_once_record_outcome(ffl_once_t *o, const ffl_once_row_t *row,
			     uint64_t now_ms);
/** Removes keys that are past their retention. */
void ffl_once_expire(ffl_once_t *o, uint64_t now_ms);
/** Returns the number of keys in the table. */
uint32_t ffl_once_count(const ffl_once_t *o);

/** Restarts the handover of every key to its owner in the new view. */
void ffl_once_on_view_change(ffl_once_t *o);
/** Ends all grants and starts the handover before a planned leave. */
void ffl_once_start_leave(ffl_once_t *o);
/** Returns true if the member has acknowledged all its keys. */
bool ffl_once_handover_complete(const ffl_once_t *o, uint64_t member);
/** Returns true if all members have acknowledged all their keys. */
bool ffl_once_handovers_complete(const ffl_once_t *o);
/**
 * Builds the next handover message to a member.
 *
 * @param rows storage of the message's rows, of ffl_once_row_t; they point
 *             into the entries and are valid until the next call
 * @return false if no message is due
 */
bool ffl_once_next_handover(ffl_once_t *o, uint64_t member, uint64_t now_ms,
			    ffl_handover_t *msg, GArray *rows);
/** Merges the keys of a handover message and fills its acknowledgement. */
void ffl_once_on_handover(ffl_once_t *o, const ffl_handover_t *msg,
			  uint64_t now_ms, ffl_handover_t *ack);
/** Handles an acknowledgement; one of another view or state is ignored. */
void ffl_once_on_handover_ack(ffl_once_t *o, uint64_t member,
			      const ffl_handover_t *ack);

#endif
