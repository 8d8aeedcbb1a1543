/**
 * @file gang_watch.h
 * @brief Oracle over the workers: knows only what gangs are promised.
 */
#ifndef FFL_GANG_WATCH_H
#define FFL_GANG_WATCH_H

#include "fakes/world.h"

/** Bound on the time that a part of a gang runs alone, in leases. */
#define GANG_WATCH_PARTIAL_LEASES 3
/** Time after the notice by which a leaving worker gets nothing new. */
#define GANG_WATCH_LEAVE_MS 2000

/** A gang that was seen on the workers. */
typedef struct {
	uint64_t job;
	uint64_t incarnation;
	uint64_t
		partial_since_ms; /**< only a part of it runs since; 0 not so */
	bool was_complete;	  /**< all of it has run at once */
} watched_gang_t;

typedef struct {
	const char *violation;	  /**< first promise seen broken, or NULL */
	bool forbid_broken_gangs; /**< no fault excuses that a gang is cut short
				   */
	uint64_t epoch;		  /**< latest that a worker has accepted */
	uint64_t stable_since_ms; /**< since then the leader has not changed */
	uint64_t leaving_ms[WORLD_WORKERS_MAX]; /**< notice; 0 none */
	uint32_t starts[WORLD_WORKERS_MAX];
	GArray *gangs; /**< of watched_gang_t */
} gang_watch_t;

void gang_watch_init(gang_watch_t *gw, world_t *w);
void gang_watch_finish(gang_watch_t *gw);
/** Lets time pass in small slices, checking after each. */
void gang_watch_run(gang_watch_t *gw, world_t *w, uint32_t ms);
/** Lets time pass until every job has ended, at most @p ms. */
void gang_watch_finish_jobs(gang_watch_t *gw, world_t *w, uint32_t ms);
/**
 * Submits a job; returns the command's id.
 *
 * @param run_ms time that its tasks run
 */
uint64_t gang_watch_submit(world_t *w, uint32_t host, uint32_t accelerators,
			   uint32_t run_ms, const char *extra);
/** Checks that hosts agree on every job; returns NULL or the fault. */
const char *gang_watch_check_ends(world_t *w, const GArray *commands);

#endif
