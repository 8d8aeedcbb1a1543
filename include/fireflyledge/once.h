/**
 * @file once.h
 * @brief At most one run for each idempotency key, over all entry hosts.
 *
 * Each key has a home: the member of the view that rendezvous hashing
 * gives. The home grants a run to one request and keeps the outcome. Keys
 * move to their new home when the view changes; a home that cannot prove a
 * key unseen says that its outcome is unknown and grants nothing.
 */
#ifndef FFL_ONCE_H
#define FFL_ONCE_H

#include <glib.h>

#include "fireflyledge/ownership.h"
#include "fireflyledge/peer.h"

/** Time for which a key is kept: a caller repeats within it, or never. */
#define FFL_ONCE_RETENTION_MS 600000

/** Identity of a customer's key. */
typedef struct {
	uint64_t a;
	uint64_t b;
} ffl_key_id_t;

/** What became of a key's run. Later states win over earlier ones. */
typedef enum {
	FFL_ONCE_FREE,	   /**< certainly not run; only on the wire */
	FFL_ONCE_RUNNING,  /**< granted */
	FFL_ONCE_UNKNOWN,  /**< granted, and the outcome is not known */
	FFL_ONCE_DONE,	   /**< run; its answer is not kept */
	FFL_ONCE_ANSWERED, /**< run; its answer is kept */
	FFL_ONCE_STATE__MAX
} ffl_once_state_t;

/** A home's word on a request. */
typedef enum {
	FFL_ONCE_VERDICT_RUN,	   /**< this request may run, and no other */
	FFL_ONCE_VERDICT_RUNNING,  /**< another request with this key runs */
	FFL_ONCE_VERDICT_ANSWER,   /**< the stored answer */
	FFL_ONCE_VERDICT_DONE,	   /**< it has run; the answer is not kept */
	FFL_ONCE_VERDICT_UNKNOWN,  /**< it may have run */
	FFL_ONCE_VERDICT_MISMATCH, /**< the key belongs to another payload */
	FFL_ONCE_VERDICT_FULL,	   /**< no room to remember one more key */
	FFL_ONCE_VERDICT_WAIT, /**< this host may not speak for the key now */
	FFL_ONCE_VERDICT__MAX
} ffl_once_verdict_t;

/** A key with what became of it. */
typedef struct {
	ffl_key_id_t id;
	uint64_t payload_hash;
	uint64_t origin;
	uint64_t request;
	uint64_t cursor; /**< grows with each key taken in */
	uint64_t seen_ms;
	uint64_t run_until_ms; /**< it may be running up to this time */
	ffl_once_state_t state;
	uint32_t http_status;
	char *content_type;
	uint8_t *answer;
	uint32_t answer_bytes;
	GList link;
} ffl_once_entry_t;

/** Progress of the handover to a member. */
typedef struct {
	uint64_t member;
	uint64_t cursor; /**< all up to it is acknowledged */
	uint64_t sent_ms;
	bool complete;
} ffl_once_progress_t;

/** Bounds of the memory for keys. */
typedef struct {
	uint32_t keys;
	uint64_t answer_bytes;
} ffl_once_bounds_t;

typedef struct {
	ffl_ownership_t ownership;
	ffl_once_bounds_t bounds;
	GHashTable *entries; /**< ffl_once_entry_t by id */
	GQueue by_cursor;    /**< oldest first */
	uint64_t next_cursor;
	uint64_t answer_bytes;
	GArray *peers;	   /**< of ffl_once_progress_t */
	bool handing_over; /**< this host grants no more */
} ffl_once_t;

void ffl_once_init(ffl_once_t *o, uint64_t self);
void ffl_once_finish(ffl_once_t *o);
ffl_key_id_t ffl_once_key_id(const char *customer, const char *key);
/** Returns the member to ask about a key, or 0. */
uint64_t ffl_once_owner(const ffl_once_t *o, ffl_key_id_t id);

/**
 * Decides whether a request may run.
 *
 * @param origin member that asks
 * @param entry set where the verdict is FFL_ONCE_VERDICT_ANSWER
 */
ffl_once_verdict_t ffl_once_decide(ffl_once_t *o, uint64_t origin,
				   const ffl_once_ask_t *ask, uint64_t now_ms,
				   const ffl_once_entry_t **entry);
/** Takes a run's outcome. */
void ffl_once_record_outcome(ffl_once_t *o, const ffl_once_row_t *row,
			     uint64_t now_ms);
/** Forgets keys that are past their retention. */
void ffl_once_expire(ffl_once_t *o, uint64_t now_ms);
uint32_t ffl_once_count(const ffl_once_t *o);

/** Starts to send every key to its home in the new view. */
void ffl_once_on_view_change(ffl_once_t *o);
/** Starts the handover before a planned leave. */
void ffl_once_start_leave(ffl_once_t *o);
/** Tells whether the member has acknowledged all its keys. */
bool ffl_once_handover_complete(const ffl_once_t *o, uint64_t member);
/** Tells whether all members have. */
bool ffl_once_handovers_complete(const ffl_once_t *o);
/**
 * Fills the next handover message to a member; false where none is due.
 * The rows point into the entries and live until the next call.
 */
bool ffl_once_next_handover(ffl_once_t *o, uint64_t member, uint64_t now_ms,
			    ffl_handover_t *msg, GArray *rows);
/** Takes rows and fills the acknowledgement. */
void ffl_once_on_handover(ffl_once_t *o, const ffl_handover_t *msg,
			  uint64_t now_ms, ffl_handover_t *ack);
void ffl_once_on_handover_ack(ffl_once_t *o, uint64_t member,
			      const ffl_handover_t *ack);

#endif
