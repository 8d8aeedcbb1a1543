/**
 * @file upstream.h
 * @brief Upstream instances: owned slots, health and adaptive limit.
 */
#ifndef FFL_UPSTREAM_H
#define FFL_UPSTREAM_H

#include <glib.h>

#include "fireflyledge/ownership.h"
#include "fireflyledge/event.h"
#include "fireflyledge/rng.h"
#include "fireflyledge/worker.h"

/** Most slots of an instance that are assigned; further ones stay idle. */
#define FFL_UPSTREAM_SLOTS_MAX 64

/** An upstream instance. */
typedef struct {
	ffl_host_info_t info;
	bool listed;	      /**< in the platform's latest list */
	bool drained;	      /**< by the configuration */
	bool local;	      /**< in the region of this host */
	uint64_t slots_mask;  /**< bit mask of slots that this host may use */
	uint32_t in_flight;   /**< open attempts of this host */
	uint32_t failures;    /**< in a row */
	uint32_t ejections;   /**< in a row */
	uint32_t limit_milli; /**< adaptive limit in 1/1000 attempts */
	uint32_t latency_ms;  /**< moving mean of complete answers */
	uint64_t ejected_until_ms; /**< no attempts before this time */
} ffl_upstream_t;

/** When a failing instance is ejected from routing, and for how long. */
typedef struct {
	uint32_t failures; /**< in a row that lead to ejection */
	uint32_t first_ms; /**< first ejection; doubles with each next */
} ffl_ejection_t;

typedef struct {
	GArray *items;	   /**< of ffl_upstream_t, sorted by name */
	ffl_name_t region; /**< of this host */
	ffl_ejection_t eject;
	uint32_t next; /**< index at which round robin goes on */
	uint32_t usable_slots;
} ffl_upstreams_t;

void ffl_upstreams_init(ffl_upstreams_t *us, const char *region,
			const ffl_ejection_t *eject);
void ffl_upstreams_finish(ffl_upstreams_t *us);
/**
 * Updates the instances from the platform's list. An instance that is missing
 * from it gets no new attempts and is kept until its open ones have ended.
 */
void ffl_upstreams_on_list(ffl_upstreams_t *us, const ffl_host_list_t *list,
			   const ffl_ownership_t *own);
/** Returns the instance of this name, or NULL. */
ffl_upstream_t *ffl_upstreams_find(const ffl_upstreams_t *us, const char *name);
/**
 * Applies the view to the slots: gives up those that are no longer owned and,
 * once they are acquired, uses those that were added.
 */
void ffl_upstreams_assign_slots(ffl_upstreams_t *us,
				const ffl_ownership_t *own);
/** Returns true if no instance has more open attempts than usable slots. */
bool ffl_upstreams_within_slots(const ffl_upstreams_t *us);
/** Returns true if one more attempt may start at the instance. */
bool ffl_upstream_has_capacity(const ffl_upstream_t *u, uint64_t now_ms);
/** Returns the number of attempts that this host may have open at a time. */
uint32_t ffl_upstreams_usable_slots(const ffl_upstreams_t *us, uint64_t now_ms);

/**
 * Returns the next instance in turn that has capacity, or NULL.
 *
 * @param except name of an instance to skip; "" for none
 * @param remote true for instances of other regions, false for this region
 */
ffl_upstream_t *ffl_upstreams_pick_round_robin(ffl_upstreams_t *us,
					       const char *except, bool remote,
					       uint64_t now_ms);
/**
 * Returns the better of two random instances that have capacity, or NULL. See
 * ffl_upstreams_pick_round_robin() for the parameters.
 */
ffl_upstream_t *ffl_upstreams_pick_two_choices(ffl_upstreams_t *us,
					       const char *except, bool remote,
					       ffl_rng_t *rng, uint64_t now_ms);
void ffl_upstream_attempt_started(ffl_upstream_t *u);
/** Updates health, limit and latency from the end of an attempt. */
void ffl_upstreams_attempt_ended(ffl_upstreams_t *us, ffl_upstream_t *u,
				 const ffl_ev_upstream_done_t *done,
				 uint64_t now_ms);

#endif
