/**
 * @file member.h
 * @brief Membership of entry hosts: registration, liveness and the leadership
 * of cells.
 */
#ifndef FFL_MEMBER_H
#define FFL_MEMBER_H

#include "fireflyledge/action.h"
#include "fireflyledge/logc.h"
#include "fireflyledge/record.h"

/** An entry host, from its log records and heartbeats. */
typedef struct {
	ffl_join_t join;
	uint64_t joined_offset;	 /**< record of its first registration */
	uint64_t renewed_offset; /**< record of its latest registration */
	uint64_t renewed_ms;	 /**< when that record was read */
	uint64_t heard_ms;	 /**< when it was last heard from */
	/** Value of renewed_offset for which a leave is queued; 0: none. */
	uint64_t expiry_queued;
	uint64_t revision; /**< configuration revision that it reported */
	bool leaving;	   /**< it has announced a planned leave */
} ffl_member_t;

/** A cell, which is a data centre, and its leader. */
typedef struct {
	ffl_name_t dc;
	uint64_t member;       /**< leader; 0: none */
	uint64_t epoch;	       /**< offset of the leader's claim in the log */
	uint64_t claimed_ms;   /**< when the claim was read */
	uint32_t rapid_claims; /**< latest claims that came in quick succession
				*/
} ffl_cell_t;

/** Intervals of membership, in milliseconds. */
typedef struct {
	uint32_t heartbeat_ms; /**< between heartbeats */
	uint32_t suspect_ms; /**< silence after which a member counts as dead */
	uint32_t renew_ms;   /**< between registrations */
	uint32_t expiry_ms;  /**< after which an unrenewed member is removed */
	uint32_t lease_ms;   /**< workers' leases; upper bound of a claim */
} ffl_member_times_t;

typedef struct {
	ffl_join_t self;
	ffl_member_times_t times;
	GArray *members;	  /**< of ffl_member_t, sorted by ID */
	GArray *cells;		  /**< of ffl_cell_t, sorted by dc */
	uint64_t changed_offset;  /**< latest record that changed the members */
	uint64_t heartbeat_at_ms; /**< when the next heartbeats are due */
	uint64_t renew_at_ms;	  /**< when the next registration is due */
	uint64_t claim_seq;	  /**< of the pending claim; 0: none */
	uint64_t peer_seq;
	bool stopping; /**< the planned leave of this host has begun */
} ffl_members_t;

void ffl_members_init(ffl_members_t *ms, const ffl_join_t *self,
		      const ffl_member_times_t *times);
void ffl_members_finish(ffl_members_t *ms);

/** Applies a join, leave or lead record; ignores other kinds. */
void ffl_members_fold(ffl_members_t *ms, uint64_t offset,
		      const ffl_record_t *rec, uint64_t now_ms);
/** Handles a heartbeat; ignores other kinds of messages. */
void ffl_members_on_peer(ffl_members_t *ms, const ffl_peer_msg_t *msg,
			 uint64_t now_ms);
/**
 * Registers this host, sends heartbeats, claims this host's cell if it has no
 * live leader, and queues the removal of expired members.
 */
void ffl_members_run(ffl_members_t *ms, ffl_logc_t *lc, uint64_t revision,
		     uint64_t cluster, uint64_t now_ms, ffl_actions_t *out);
/** Starts the planned leave of this host. */
void ffl_members_start_leave(ffl_members_t *ms, ffl_logc_t *lc);

/** Returns a member, or NULL. */
const ffl_member_t *ffl_members_find(const ffl_members_t *ms, uint64_t member);
/** Returns the cell of a data centre, or NULL. */
const ffl_cell_t *ffl_members_find_cell(const ffl_members_t *ms,
					const char *dc);
/** Returns the epoch in which this host leads the cell; 0 if it does not. */
uint64_t ffl_members_own_epoch(const ffl_members_t *ms, const char *dc);
/** Appends the encoded members and cells, without local state, to @p out. */
void ffl_members_save(const ffl_members_t *ms, GByteArray *out);
/**
 * Reads what ffl_members_save() wrote; every member counts as heard now.
 *
 * @param used_bytes set to the number of bytes read
 * @return FFL_OK or the error of the decoder
 */
ffl_status_t ffl_members_load(ffl_members_t *ms, ffl_bytes_t in,
			      size_t *used_bytes, uint64_t now_ms);
/** Copies from @p from the times at which known members were last heard. */
void ffl_members_keep_heard_times(ffl_members_t *ms, const ffl_members_t *from);
/**
 * Returns true if this host is first in line to replace the leader of its
 * cell, and that leader is missing or seems dead.
 */
bool ffl_members_is_deputy(const ffl_members_t *ms, uint64_t now_ms);
/**
 * Returns true if a member counts as alive: a member of this host's cell by its
 * heartbeats, one of another cell by its registration.
 */
bool ffl_member_alive(const ffl_members_t *ms, const ffl_member_t *m,
		      uint64_t now_ms);

#endif
