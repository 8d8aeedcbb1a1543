/**
 * @file sched.h
 * @brief Which job starts where, and which one gives way.
 *
 * The scheduler decides and the gangs carry out: each call of
 * ffl_sched_next() gives one decision, which is applied before the next.
 */
#ifndef FFL_SCHED_H
#define FFL_SCHED_H

#include "fireflyledge/fleet.h"
#include "fireflyledge/gang.h"

/** Kind of a decision. */
typedef enum {
	FFL_DECIDE_START,   /**< start a queued job at a placement */
	FFL_DECIDE_PREEMPT, /**< checkpoint or stop a running job */
	FFL_DECIDE_REFUSE,  /**< end a queued job that can never run */
	FFL_DECIDE__MAX
} ffl_decide_kind_t;

/** One decision. */
typedef struct {
	ffl_decide_kind_t kind;
	ffl_job_t *job;
	ffl_placement_t place; /**< of a start */
	uint64_t for_job;      /**< job that a preemption makes room for */
	const char *why;       /**< in words, for the audit and the log */
} ffl_decision_t;

/** State of a cell's scheduler. */
typedef struct ffl_sched {
	ffl_name_t dc;
	guint next; /**< index of the next open job of this pass */
} ffl_sched_t;

void ffl_sched_init(ffl_sched_t *s, const char *dc);
void ffl_sched_finish(ffl_sched_t *s);

/** Starts a pass over the queue. */
void ffl_sched_begin(ffl_sched_t *s, uint64_t now_ms);
/** Gives the next decision of the pass; false where there is none. */
bool ffl_sched_next(ffl_sched_t *s, ffl_gangs_t *g, ffl_fleet_t *fleet,
		    const ffl_config_t *cfg, uint64_t now_ms,
		    ffl_decision_t *out);

#endif
