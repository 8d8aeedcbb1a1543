/**
 * @file ownership.h
 * @brief Membership view of the entry hosts, and the right of this host to
 * use its part of the slots and keys that they share.
 *
 * The view is the set of members folded from the log. Rendezvous hashing over
 * the view assigns every slot and every idempotency key to one member; what it
 * assigns to a host is that host's part. A host starts work on its part only
 * while it has recent proof that its view is current: its own read of the log,
 * or the reports of peers. Slots and keys that a new view adds to its part are
 * used only after every other member has stopped using them, or after the time
 * within which a member without proof may still use them. All times are of this
 * host's own clock: a peer's report proves the state at the time at which this
 * host sent the time stamp that the report echoes.
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
	uint64_t changed_offset; /**< of the record that led to this view */
	uint64_t hash; /**< identifies the view, over members and offset */
} ffl_view_t;

/** A member of a view. */
typedef struct {
	uint64_t member;
	uint64_t region; /**< hash of the region's name */
} ffl_view_member_t;

/**
 * Sets the members and the hash of a view.
 *
 * @param members sorted in place; those past FFL_VIEW_MAX are ignored
 */
void ffl_view_set(ffl_view_t *view, ffl_view_member_t *members, uint32_t count,
		  uint64_t changed_offset);
bool ffl_view_has(const ffl_view_t *view, uint64_t member);
/**
 * Returns the member that owns the item with the ID (@p a, @p b), by
 * rendezvous hashing; 0 if the view is empty.
 */
uint64_t ffl_view_owner(const ffl_view_t *view, uint64_t a, uint64_t b);

/**
 * Assigns the slots of an upstream to members by rendezvous hashing. One slot
 * in eight goes to a member of any region. The others go to members of the
 * upstream's region, none of which gets more than an even share, rounded up;
 * if that region has no member, they go to members of any region.
 *
 * @param name   hash of the upstream's name
 * @param region hash of the upstream's region
 * @param slots  number of slots, 64 at most
 * @return bit mask of the slots of @p self
 */
uint64_t ffl_view_owned_slots(const ffl_view_t *view, uint64_t name,
			      uint64_t region, uint32_t slots, uint64_t self);

/** State of another member, from its latest report. */
typedef struct {
	uint64_t member;
	uint64_t proof_ms; /**< own time that the report proves; see above */
	uint64_t stamp_ms; /**< its clock in that report; echoed to it */
	uint64_t view;	   /**< hash of its view */
	bool log_fresh;	   /**< it has recently read the log to its end */
	bool settled;	   /**< it uses no more than its part of that view */
	bool established;  /**< see ffl_ownership_t */
	bool released;	   /**< it has given up its part for good */
} ffl_ownership_peer_t;

/** A host's report of its own state; see ffl_ownership_peer_t. */
typedef struct {
	uint64_t stamp_ms; /**< sender's clock */
	uint64_t echo_ms;  /**< latest stamp that the receiver sent; 0: none */
	uint64_t view;
	uint32_t blocked_ms; /**< time for which nothing may be acquired */
	bool log_fresh;
	bool settled;
	bool established;
	bool released;
} ffl_ownership_report_t;

/** Times of ownership, in milliseconds. */
typedef struct {
	uint32_t proof_max_age_ms; /**< older proof of the view is void */
	/** Time after which work of a member without proof has ended. */
	uint32_t grace_ms;
	/** Longest log outage through which a majority keeps working. */
	uint32_t max_outage_ms;
	/** Added to grace_ms without a majority of the view. */
	uint32_t minority_grace_ms;
} ffl_ownership_times_t;

typedef struct {
	uint64_t self;
	ffl_ownership_times_t times;
	ffl_view_t view;
	GArray *peers;		 /**< of ffl_ownership_peer_t, one per member */
	uint64_t log_read_ms;	 /**< when the latest read was sent */
	uint64_t view_proven_ms; /**< latest proof of the view by the log */
	uint64_t adopted_ms;	 /**< when the view was adopted */
	uint64_t blocked_until_ms; /**< nothing is acquired before this time */
	/** The view changed while proof was missing: the part may be lost. */
	bool lapsed;
	bool acquired;	  /**< all of the part may be used */
	bool established; /**< acquired before, or the first member of all */
} ffl_ownership_t;

void ffl_ownership_init(ffl_ownership_t *own, uint64_t self,
			const ffl_ownership_times_t *times);
void ffl_ownership_finish(ffl_ownership_t *own);

/**
 * Adopts the view that the log now gives.
 *
 * @param first true if the log proves that no other host was a member before
 * @return true if the view differs from the previous one
 */
bool ffl_ownership_set_view(ffl_ownership_t *own, const ffl_view_t *view,
			    bool first, uint64_t now_ms);
/** Records a read of the log, sent at @p sent_ms, that reached its end. */
void ffl_ownership_on_log_read(ffl_ownership_t *own, uint64_t sent_ms);
/** Records a member's report; a report older than the latest is ignored. */
void ffl_ownership_on_report(ffl_ownership_t *own, uint64_t member,
			     const ffl_ownership_report_t *report,
			     uint64_t now_ms);
/** Returns this host's report for a member. */
ffl_ownership_report_t ffl_ownership_report(const ffl_ownership_t *own,
					    uint64_t member, bool settled,
					    bool released, uint64_t now_ms);
/** Returns true if this host may start work on its part. */
bool ffl_ownership_valid(const ffl_ownership_t *own, uint64_t now_ms);
/**
 * Allows use of the slots and keys that the view added, as soon as no other
 * member can use them any more.
 *
 * @return true if they were acquired by this call
 */
bool ffl_ownership_try_acquire(ffl_ownership_t *own, uint64_t now_ms);

#endif
