/**
 * @file gang_watch.h
 * @brief Oracle that checks the guarantees for gangs on the simulated workers.
 *
 * It looks at the tasks of the workers, not at the state of the scheduler.
 */
#ifndef FFL_GANG_WATCH_H
#define FFL_GANG_WATCH_H

#include "fakes/world.h"

/** Longest time that an incomplete gang may run, in leases. */
#define GANG_WATCH_PARTIAL_LEASES 3
/** Time after which a worker that is marked as leaving gets no new task. */
#define GANG_WATCH_LEAVE_MS 2000

/** An incarnation of a gang that was seen on the workers. */
typedef struct {
	uint64_t job;
	uint64_t incarnation;
	uint64_t partial_since_ms; /**< since when it runs incomplete; 0: it
				      does not */
	bool was_complete;	   /**< all members have run at the same time */
} watched_gang_t;

typedef struct {
	const char *violation;	  /**< guarantee that was broken, or NULL */
	bool forbid_broken_gangs; /**< a complete gang must not stop early */
	uint64_t epoch;		  /**< highest epoch accepted by a worker */
	uint64_t stable_since_ms; /**< last change of the leader or its epoch */
	uint64_t
		leaving_ms[WORLD_WORKERS_MAX]; /**< time of the mark; 0: none */
	uint32_t starts[WORLD_WORKERS_MAX];    /**< starts seen, by worker */
	GArray *gangs;			       /**< of watched_gang_t */
} gang_watch_t;

/** Attaches the oracle to the commands of a world. */
void gang_watch_init(gang_watch_t *gw, world_t *w);
void gang_watch_finish(gang_watch_t *gw);
/** Runs the world for @p ms, checking every 100 ms; stops at a violation. */
void gang_watch_run(gang_watch_t *gw, world_t *w, uint32_t ms);
/** Runs the world until all jobs have ended and the hosts have read the log,
 * for at most @p ms. */
void gang_watch_finish_jobs(gang_watch_t *gw, world_t *w, uint32_t ms);
/**
 * Submits a job to a host; returns the id of the command.
 *
 * @param run_ms run time of its tasks
 * @param extra further JSON members, with a leading comma, or ""
 */
uint64_t gang_watch_submit(world_t *w, uint32_t host, uint32_t accelerators,
			   uint32_t run_ms, const char *extra);
/**
 * Checks that the accepted jobs have ended, with the same end on all hosts.
 *
 * @param commands ids of the submissions
 * @return NULL, or the violation
 */
const char *gang_watch_check_ends(world_t *w, const GArray *commands);

#endif
