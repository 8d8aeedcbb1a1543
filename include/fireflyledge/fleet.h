/**
 * @file fleet.h
 * @brief Workers of the platform: slots, leases, drain, health.
 */
#ifndef FFL_FLEET_H
#define FFL_FLEET_H

#include "fireflyledge/action.h"
#include "fireflyledge/config.h"

/** Distinct jobs whose failures are remembered of a worker. */
#define FFL_WORKER_FAILED_JOBS_MAX 4

/** Health of a worker, judged by the tasks that failed on it. */
typedef enum {
	FFL_HEALTH_GOOD,
	FFL_HEALTH_RESTING,	/**< a task failed; rests for a short time */
	FFL_HEALTH_QUARANTINED, /**< distinct jobs failed; takes nothing */
	FFL_HEALTH_PROBING,	/**< takes one job, to be judged by it */
	FFL_HEALTH__MAX
} ffl_health_t;

/** A worker. */
typedef struct {
	ffl_host_info_t info;
	bool listed;	   /**< the last host list names it */
	bool drained;	   /**< an operator drains it */
	bool adopted;	   /**< its full report was read in this epoch */
	uint64_t used;	   /**< mask of slots that are held or running */
	uint64_t foreign;  /**< part of used: tasks that no job accounts for */
	uint64_t boot;	   /**< its life, as last reported */
	uint64_t version;  /**< of its report that was read */
	uint64_t clock_ms; /**< its clock at its last reply */
	uint64_t replied_ms; /**< local time of the last reply; 0 none */
	uint64_t proved_ms;  /**< send time of the last accepted command */
	uint64_t silent_ms;  /**< of the leader, as the worker saw it */
	uint64_t asked_ms;   /**< last question for a report */
	uint64_t listed_ms;  /**< last time that a list named it */
	uint64_t ask_call;   /**< its call */
	uint32_t unanswered_calls; /**< commands without a reply */
	uint32_t rack_index;	   /**< index in the fleet's racks */
	ffl_health_t health;
	uint32_t quarantine_count; /**< quarantines since it was last good */
	uint64_t unavailable_until_ms;
	uint64_t failed_jobs[FFL_WORKER_FAILED_JOBS_MAX]; /**< jobs that failed
							     here */
	uint32_t failed_job_count;
} ffl_worker_t;

/** A rack: consecutive workers of the fleet's order. */
typedef struct {
	ffl_name_t dc;
	uint32_t rack;
	uint32_t first; /**< index of its first worker */
	uint32_t count;
	uint32_t free_slots;
} ffl_rack_t;

typedef struct {
	GPtrArray *workers; /**< of ffl_worker_t, by dc, rack, position */
	GHashTable *by_name;
	GArray *racks;	  /**< of ffl_rack_t, in the order of the workers */
	uint64_t version; /**< grows with every change of a worker */
	uint64_t list_version; /**< grows where workers come, go or move */
} ffl_fleet_t;

void ffl_fleet_init(ffl_fleet_t *fleet);
void ffl_fleet_finish(ffl_fleet_t *fleet);

/**
 * Takes the platform's list. A worker that left the list is kept while it
 * holds work or may still hold some. Pointers to workers that are kept stay
 * valid.
 */
void ffl_fleet_on_host_list(ffl_fleet_t *fleet, const ffl_host_list_t *list,
			    uint64_t now_ms);
/** Marks the workers that the configuration drains. */
void ffl_fleet_on_config(ffl_fleet_t *fleet, const ffl_config_t *cfg);

uint32_t ffl_fleet_count(const ffl_fleet_t *fleet);
ffl_worker_t *ffl_fleet_at(const ffl_fleet_t *fleet, uint32_t i);
ffl_worker_t *ffl_fleet_find(const ffl_fleet_t *fleet, const char *name);
uint32_t ffl_fleet_rack_count(const ffl_fleet_t *fleet);
const ffl_rack_t *ffl_fleet_rack_at(const ffl_fleet_t *fleet, uint32_t i);

/** Marks slots of a worker as used. */
void ffl_fleet_reserve_slots(ffl_fleet_t *fleet, ffl_worker_t *w,
			     uint64_t slots);
/** Marks slots of a worker as free. */
void ffl_fleet_release_slots(ffl_fleet_t *fleet, ffl_worker_t *w,
			     uint64_t slots);

/** Tells whether a worker may be given new work. */
bool ffl_worker_schedulable(const ffl_worker_t *w);
/** Tells whether b is the next neighbour of a. */
bool ffl_workers_adjacent(const ffl_worker_t *a, const ffl_worker_t *b,
			  ffl_adjacency_t adjacency);
/** Returns the mask of all slots of a worker. */
uint64_t ffl_worker_slot_mask(const ffl_worker_t *w);

/** Notes that a task of a job failed on a worker. */
void ffl_fleet_record_failure(ffl_fleet_t *fleet, ffl_worker_t *w, uint64_t job,
			      uint64_t now_ms);
/** Notes that a task of a job completed on a worker. */
void ffl_fleet_record_success(ffl_fleet_t *fleet, ffl_worker_t *w);
/** Takes back what a job that is at fault itself has laid on workers. */
void ffl_fleet_clear_job_failures(ffl_fleet_t *fleet, uint64_t job);
/** Ends rests and quarantines whose time is over. */
void ffl_fleet_update_health(ffl_fleet_t *fleet, uint64_t now_ms);
const char *ffl_health_name(uint32_t health);

#endif
