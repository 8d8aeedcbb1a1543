/**
 * @file fleet.h
 * @brief Workers in the platform's host list: slots, drain state and health.
 */
#ifndef FFL_FLEET_H
#define FFL_FLEET_H

#include "fireflyledge/action.h"
#include "fireflyledge/config.h"

/** Distinct failed jobs recorded for one worker. */
#define FFL_WORKER_FAILED_JOBS_MAX 4

/** Health of a worker, derived from task failures on it. */
typedef enum {
	FFL_HEALTH_GOOD,
	FFL_HEALTH_RESTING, /**< a task failed; gets no work for a short time */
	FFL_HEALTH_QUARANTINED, /**< several distinct jobs failed; gets no work
				 */
	FFL_HEALTH_PROBING, /**< quarantine has ended; gets one job as a probe
			     */
	FFL_HEALTH__MAX
} ffl_health_t;

/** A worker. */
typedef struct {
	ffl_host_info_t info;
	bool listed;   /**< in the latest host list */
	bool drained;  /**< drained by an operator */
	bool adopted;  /**< sent its full report in this epoch of the leader */
	uint64_t used; /**< mask of slots that are reserved or run a task */
	uint64_t foreign;  /**< subset of used: slots of tasks that belong to no
			      known job */
	uint64_t boot;	   /**< boot number in its last reply; grows with each
			      restart */
	uint64_t version;  /**< version of the last report handled; 0 requests a
			      full one */
	uint64_t clock_ms; /**< highest clock value in its replies */
	uint64_t replied_ms; /**< local time of the last reply; 0 if none */
	uint64_t proved_ms;  /**< send time of the last report request that was
				answered; proves the leader's authority over the
				worker */
	uint64_t silent_ms;  /**< time since the worker last heard from its
				leader, as in its reply */
	uint64_t asked_ms;   /**< send time of the last report request */
	uint64_t listed_ms; /**< time of the last host list that contained it */
	uint64_t ask_call;  /**< call number of the last report request */
	uint32_t unanswered_calls; /**< commands sent and not yet answered */
	uint32_t rack_index;	   /**< index in the fleet's racks */
	ffl_health_t health;
	uint32_t quarantine_count; /**< since its health was last good; doubles
				      the next quarantine */
	uint64_t unavailable_until_ms; /**< end of the rest or quarantine */
	uint64_t failed_jobs[FFL_WORKER_FAILED_JOBS_MAX]; /**< jobs that failed
							     here */
	uint32_t failed_job_count;
} ffl_worker_t;

/** A rack; its workers are consecutive in the fleet's order. */
typedef struct {
	ffl_name_t dc;
	uint32_t rack;	/**< rack number within the data centre */
	uint32_t first; /**< index of its first worker */
	uint32_t count;
	uint32_t free_slots;
} ffl_rack_t;

/** All known workers and racks. */
typedef struct {
	GPtrArray *workers;  /**< of ffl_worker_t; sorted by dc, rack, position,
				name */
	GHashTable *by_name; /**< of ffl_worker_t, borrowed from workers */
	GArray *racks;	     /**< of ffl_rack_t, in the order of the workers */
	uint64_t version; /**< incremented when lists, drains or slots change */
	uint64_t list_version; /**< incremented with every host list; indices of
				  workers may change */
} ffl_fleet_t;

void ffl_fleet_init(ffl_fleet_t *fleet);
void ffl_fleet_finish(ffl_fleet_t *fleet);

/**
 * Replaces the workers by those of the platform's host list. A worker that is
 * not in the list is kept while it holds work, and for a while after, since it
 * may still run tasks. Pointers to workers that are kept stay valid.
 */
void ffl_fleet_on_host_list(ffl_fleet_t *fleet, const ffl_host_list_t *list,
			    uint64_t now_ms);
/** Updates the drained flag of all workers from the configuration. */
void ffl_fleet_on_config(ffl_fleet_t *fleet, const ffl_config_t *cfg);

uint32_t ffl_fleet_count(const ffl_fleet_t *fleet);
ffl_worker_t *ffl_fleet_at(const ffl_fleet_t *fleet, uint32_t i);
/** Returns the worker of that name, or NULL. */
ffl_worker_t *ffl_fleet_find(const ffl_fleet_t *fleet, const char *name);
uint32_t ffl_fleet_rack_count(const ffl_fleet_t *fleet);
const ffl_rack_t *ffl_fleet_rack_at(const ffl_fleet_t *fleet, uint32_t i);

/** Marks slots of a worker as used. */
void ffl_fleet_reserve_slots(ffl_fleet_t *fleet, ffl_worker_t *w,
			     uint64_t slots);
/** Marks slots of a worker as free. */
void ffl_fleet_release_slots(ffl_fleet_t *fleet, ffl_worker_t *w,
			     uint64_t slots);

/** Returns true if new work may be placed on the worker. */
bool ffl_worker_schedulable(const ffl_worker_t *w);
/** Returns true if @p b directly follows @p a in the scope of @p adjacency. */
bool ffl_workers_adjacent(const ffl_worker_t *a, const ffl_worker_t *b,
			  ffl_adjacency_t adjacency);
/** Returns the mask of all slots of a worker, one bit per accelerator. */
uint64_t ffl_worker_slot_mask(const ffl_worker_t *w);

/** Records that a task of @p job failed on a worker; may rest or quarantine it.
 */
void ffl_fleet_record_failure(ffl_fleet_t *fleet, ffl_worker_t *w, uint64_t job,
			      uint64_t now_ms);
/** Records that a task completed on a worker; resets its health, unless it
 * rests or is quarantined. */
void ffl_fleet_record_success(ffl_fleet_t *fleet, ffl_worker_t *w);
/** Removes the failures of a job that is itself at fault from all workers. */
void ffl_fleet_clear_job_failures(ffl_fleet_t *fleet, uint64_t job);
/** Ends rests and quarantines that have expired. */
void ffl_fleet_update_health(ffl_fleet_t *fleet, uint64_t now_ms);
/** Returns the name of an ffl_health_t, "?" for other values. */
const char *ffl_health_name(uint32_t health);

#endif
