/**
 * @file upstream.h
 * @brief Instances of the service: share of slots, health, adaptive limit.
 */
#ifndef FFL_UPSTREAM_H
#define FFL_UPSTREAM_H

#include <glib.h>

#include "fireflyledge/ownership.h"
#include "fireflyledge/event.h"
#include "fireflyledge/rng.h"
#include "fireflyledge/worker.h"

/** Most slots of an instance that are shared; further ones stay idle. */
#define FFL_UPSTREAM_SLOTS_MAX 64

/** An instance of a service. */
typedef struct {
	ffl_host_info_t info;
	bool listed;
	bool drained;
	bool local;	      /**< in the region of this host */
	uint64_t slots_mask;  /**< slots that this host may use */
	uint32_t in_flight;   /**< attempts of this host */
	uint32_t failures;    /**< in a row */
	uint32_t ejections;   /**< in a row */
	uint32_t limit_milli; /**< adaptive limit in 1/1000 slots */
	uint32_t latency_ms;  /**< mean of whole answers */
	uint64_t ejected_until_ms;
} ffl_upstream_t;

/** When a failing instance is left alone, and for how long. */
typedef struct {
	uint32_t failures; /**< in a row that eject */
	uint32_t first_ms; /**< of the first ejection; doubles */
} ffl_ejection_t;

typedef struct {
	GArray *items; /**< of ffl_upstream_t, by name */
	ffl_name_t region;
	ffl_ejection_t eject;
	uint32_t next; /**< of round robin */
	uint32_t usable_slots;
} ffl_upstreams_t;

void ffl_upstreams_init(ffl_upstreams_t *us, const char *region,
			const ffl_ejection_t *eject);
void ffl_upstreams_finish(ffl_upstreams_t *us);
/**
 * Takes the platform's list. An instance that is missing gets nothing new
 * and is kept while attempts are open.
 */
void ffl_upstreams_on_list(ffl_upstreams_t *us, const ffl_host_list_t *list,
			   const ffl_ownership_t *tenure);
ffl_upstream_t *ffl_upstreams_find(const ffl_upstreams_t *us, const char *name);
/** Applies the view: drops lost slots and, where open, takes gained ones. */
void ffl_upstreams_assign_slots(ffl_upstreams_t *us,
				const ffl_ownership_t *tenure);
/** Tells whether no instance has more attempts than usable slots. */
bool ffl_upstreams_within_slots(const ffl_upstreams_t *us);
/** Tells whether one more attempt may start. */
bool ffl_upstream_has_capacity(const ffl_upstream_t *u, uint64_t now_ms);
/** Slots that this host may use at once, over all usable instances. */
uint32_t ffl_upstreams_usable_slots(const ffl_upstreams_t *us, uint64_t now_ms);

/** Next free instance in turn, the own region first. */
ffl_upstream_t *ffl_upstreams_pick_round_robin(ffl_upstreams_t *us,
					       const char *except, bool remote,
					       uint64_t now_ms);
/** The better of two random free instances, the own region first. */
ffl_upstream_t *ffl_upstreams_pick_two_choices(ffl_upstreams_t *us,
					       const char *except, bool remote,
					       ffl_rng_t *rng, uint64_t now_ms);
void ffl_upstream_attempt_started(ffl_upstream_t *u);
/** Learns from the end of an attempt. */
void ffl_upstreams_attempt_ended(ffl_upstreams_t *us, ffl_upstream_t *u,
				 const ffl_ev_upstream_done_t *done,
				 uint64_t now_ms);

#endif
