/**
 * @file ownership.h
 * @brief Which entry hosts share slots and keys, and whether this one may
 * still act for its part.
 *
 * The view is the set of members folded from the log. A host acts for its
 * part only while it has recent proof that the view is current: its own
 * read of the log, or the word of peers. What it gains by a new view it
 * takes over only when each other member has left the view before, or when
 * the time is over in which a member without proof may still act. All times
 * are of this host's own clock: a peer's word counts from the moment at
 * which this host sent what the peer echoes.
 */
#ifndef FFL_OWNERSHIP_H
#define FFL_OWNERSHIP_H

#include <glib.h>

#include "fireflyledge/types.h"

/** Most entry hosts in a view. */
#define FFL_VIEW_MAX 128

/** The entry hosts that the log names, in ascending order. */
typedef struct {
	uint64_t members[FFL_VIEW_MAX];
	uint64_t regions[FFL_VIEW_MAX]; /**< hash of each member's region */
	uint32_t count;
	uint64_t changed_offset; /**< of the record that made it */
	uint64_t hash;
} ffl_view_t;

/** A member of a view. */
typedef struct {
	uint64_t member;
	uint64_t region; /**< hash of its name */
} ffl_view_member_t;

/** Sets the members, which it sorts, and the hash. */
void ffl_view_set(ffl_view_t *view, ffl_view_member_t *seats, uint32_t count,
		  uint64_t changed_offset);
bool ffl_view_has(const ffl_view_t *view, uint64_t member);
/** Returns the member that owns a part (rendezvous hashing), or 0. */
uint64_t ffl_view_owner(const ffl_view_t *view, uint64_t a, uint64_t b);

/**
 * Shares numbered slots out: each to the member that rendezvous hashing
 * gives, but no member gets more than its even part, rounded up. The last
 * slot in eight is for members of any region, the others are for those of
 * one region where it has any.
 *
 * @return the slots of @p self as a mask
 */
uint64_t ffl_view_owned_slots(const ffl_view_t *view, uint64_t name,
			      uint64_t region, uint32_t slots, uint64_t self);

/** What is known of another member. */
typedef struct {
	uint64_t member;
	uint64_t proof_ms; /**< own time that its latest word proves */
	uint64_t stamp_ms; /**< its latest time stamp, echoed to it */
	uint64_t view;	   /**< hash of its view */
	bool log_fresh;
	bool settled;	  /**< it uses no more than its part of that view */
	bool established; /**< it has taken over its part at least once */
	bool released;	  /**< it has ended its part for good */
} ffl_ownership_peer_t;

/** A host's word about its own state; see the fields of ffl_ownership_peer_t.
 */
typedef struct {
	uint64_t stamp_ms;
	uint64_t echo_ms;
	uint64_t view;
	uint32_t blocked_ms; /**< time for which parts may be in unknown use */
	bool log_fresh;
	bool settled;
	bool established;
	bool released;
} ffl_ownership_report_t;

/** Times of tenure, in milliseconds. */
typedef struct {
	uint32_t proof_max_age_ms; /**< age up to which proof counts */
	uint32_t grace_ms; /**< after which a silent member's work is over */
	uint32_t max_outage_ms; /**< bound of a log outage that is ridden out */
	uint32_t minority_grace_ms; /**< added grace where a majority is missing
				     */
} ffl_ownership_times_t;

typedef struct {
	uint64_t self;
	ffl_ownership_times_t times;
	ffl_view_t view;
	GArray *peers;		 /**< of ffl_ownership_peer_t, by member */
	uint64_t log_read_ms;	 /**< own time that the latest read proves */
	uint64_t view_proven_ms; /**< latest proof that rests on the log */
	uint64_t adopted_ms;	 /**< when the view was adopted */
	uint64_t blocked_until_ms;
	bool lapsed;	  /**< others may have taken this host's part */
	bool acquired;	  /**< gained parts are taken over */
	bool established; /**< it was open once, or no member was before */
} ffl_ownership_t;

void ffl_ownership_init(ffl_ownership_t *a, uint64_t self,
			const ffl_ownership_times_t *times);
void ffl_ownership_finish(ffl_ownership_t *a);

/**
 * Takes the view that the log now gives.
 *
 * @param first no other member can ever have been
 * @return whether it differs from the one before
 */
bool ffl_ownership_set_view(ffl_ownership_t *a, const ffl_view_t *view,
			    bool first, uint64_t now_ms);
/** Notes a read of the log that reached its end and was sent at @p sent_ms. */
void ffl_ownership_on_log_read(ffl_ownership_t *a, uint64_t sent_ms);
/** Takes a member's word. */
void ffl_ownership_on_report(ffl_ownership_t *a, uint64_t member,
			     const ffl_ownership_report_t *word,
			     uint64_t now_ms);
/** Returns this host's word for a member. */
ffl_ownership_report_t ffl_ownership_report(const ffl_ownership_t *a,
					    uint64_t member, bool settled,
					    bool final, uint64_t now_ms);
/** Tells whether this host may start work on its part. */
bool ffl_ownership_valid(const ffl_ownership_t *a, uint64_t now_ms);
/** Opens the gate to gained parts when it may; true on the change. */
bool ffl_ownership_try_acquire(ffl_ownership_t *a, uint64_t now_ms);

#endif
