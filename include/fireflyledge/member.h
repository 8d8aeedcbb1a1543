/**
 * @file member.h
 * @brief Entry hosts: registration, liveness and leadership of cells.
 */
#ifndef FFL_MEMBER_H
#define FFL_MEMBER_H

#include "fireflyledge/action.h"
#include "fireflyledge/logc.h"
#include "fireflyledge/record.h"

/** An entry host as the log knows it and as it was last heard. */
typedef struct {
	ffl_join_t join;
	uint64_t joined_offset;	 /**< first registration */
	uint64_t renewed_offset; /**< last registration */
	uint64_t renewed_ms;	 /**< local time at which it was read */
	uint64_t heard_ms;	 /**< local time of the last sign of life */
	uint64_t expiry_queued;	 /**< registration whose expiry is queued */
	uint64_t revision;	 /**< that it reported */
	bool leaving;
} ffl_member_t;

/** Leadership of a cell. */
typedef struct {
	ffl_name_t dc;
	uint64_t member;       /**< 0 where there is none */
	uint64_t epoch;	       /**< offset of the claim's record */
	uint64_t claimed_ms;   /**< local time at which the claim was read */
	uint32_t rapid_claims; /**< claims that followed each other closely */
} ffl_cell_t;

/** Times of membership, in milliseconds. */
typedef struct {
	uint32_t heartbeat_ms;
	uint32_t suspect_ms; /**< silence after which a member is suspect */
	uint32_t renew_ms;   /**< between registrations */
	uint32_t expiry_ms;
	uint32_t lease_ms; /**< of workers' leases, bounds a claim */
} ffl_member_times_t;

typedef struct {
	ffl_join_t self;
	ffl_member_times_t times;
	GArray *members;	 /**< of ffl_member_t, by member */
	GArray *cells;		 /**< of ffl_cell_t, by dc */
	uint64_t changed_offset; /**< last record that changed the members */
	uint64_t heartbeat_at_ms;
	uint64_t renew_at_ms;
	uint64_t claim_seq; /**< outstanding claim, or 0 */
	uint64_t peer_seq;
	bool stopping;
} ffl_members_t;

void ffl_members_init(ffl_members_t *ms, const ffl_join_t *self,
		      const ffl_member_times_t *times);
void ffl_members_finish(ffl_members_t *ms);

/** Folds join, leave and lead records. */
void ffl_members_fold(ffl_members_t *ms, uint64_t offset,
		      const ffl_record_t *rec, uint64_t now_ms);
void ffl_members_on_peer(ffl_members_t *ms, const ffl_peer_msg_t *msg,
			 uint64_t now_ms);
/** Registers, sends heartbeats and claims cells that have no leader. */
void ffl_members_run(ffl_members_t *ms, ffl_logc_t *lc, uint64_t revision,
		     uint64_t cluster, uint64_t now_ms, ffl_actions_t *out);
/** Starts the planned leave of this host. */
void ffl_members_start_leave(ffl_members_t *ms, ffl_logc_t *lc);

const ffl_member_t *ffl_members_find(const ffl_members_t *ms, uint64_t member);
const ffl_cell_t *ffl_members_find_cell(const ffl_members_t *ms,
					const char *dc);
/** Returns this host's epoch over the cell, or 0 where it does not lead. */
uint64_t ffl_members_own_epoch(const ffl_members_t *ms, const char *dc);
/** Appends what the log says of members and cells to @p out. */
void ffl_members_save(const ffl_members_t *ms, GByteArray *out);
ffl_status_t ffl_members_load(ffl_members_t *ms, ffl_bytes_t in,
			      size_t *used_bytes, uint64_t now_ms);
/** Keeps when each member that was known before was heard. */
void ffl_members_keep_heard_times(ffl_members_t *ms, const ffl_members_t *from);
/**
 * Tells whether this host stands first to act for its cell's leader, which
 * is not alive as far as this host can tell.
 */
bool ffl_members_is_deputy(const ffl_members_t *ms, uint64_t now_ms);
/**
 * Tells whether a member is taken to be alive: one of this host's cell by
 * its heartbeats, one of another cell by its registration.
 */
bool ffl_member_alive(const ffl_members_t *ms, const ffl_member_t *m,
		      uint64_t now_ms);

#endif
