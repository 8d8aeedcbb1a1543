/**
 * @file fleet.h
 * @brief Workers of the platform: slots, leases, drain.
 */
#ifndef FFL_FLEET_H
#define FFL_FLEET_H

#include "fireflyledge/action.h"
#include "fireflyledge/config.h"

/** A worker. */
typedef struct {
	ffl_host_info_t info;
	bool listed;   /**< the last host list names it */
	bool drained;  /**< an operator drains it, or the platform says so */
	bool adopted;  /**< its report has been read in this epoch */
	uint64_t used; /**< mask of slots that are held or running */
	uint64_t boot;
	uint64_t replied_ms; /**< last reply */
	uint64_t asked_ms;   /**< last command */
	uint32_t calls;	     /**< commands without a reply */
} ffl_worker_t;

typedef struct {
	GArray *workers;       /**< of ffl_worker_t, by dc, rack, position */
	uint64_t version;      /**< grows with every change of a worker */
	uint64_t list_version; /**< grows where workers come, go or move */
} ffl_fleet_t;

void ffl_fleet_init(ffl_fleet_t *fleet);
void ffl_fleet_finish(ffl_fleet_t *fleet);

/** Takes the platform's list; workers that hold work are kept. */
void ffl_fleet_on_list(ffl_fleet_t *fleet, const ffl_host_list_t *list);
/** Marks the workers that the configuration drains. */
void ffl_fleet_on_config(ffl_fleet_t *fleet, const ffl_config_t *cfg);

uint32_t ffl_fleet_count(const ffl_fleet_t *fleet);
ffl_worker_t *ffl_fleet_at(const ffl_fleet_t *fleet, uint32_t i);
ffl_worker_t *ffl_fleet_find(const ffl_fleet_t *fleet, const char *name);

/** Marks slots of a worker as used. */
void ffl_fleet_take(ffl_fleet_t *fleet, ffl_worker_t *w, uint64_t slots);
/** Marks slots of a worker as free. */
void ffl_fleet_release(ffl_fleet_t *fleet, ffl_worker_t *w, uint64_t slots);

/** Tells whether a worker may be given new work. */
bool ffl_worker_open(const ffl_worker_t *w);
/** Tells whether b is the next neighbour of a. */
bool ffl_workers_near(const ffl_worker_t *a, const ffl_worker_t *b,
		      ffl_adjacency_t adjacency);
/** Returns the mask of all slots of a worker. */
uint64_t ffl_worker_slots(const ffl_worker_t *w);

#endif
