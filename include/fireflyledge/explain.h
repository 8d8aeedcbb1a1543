/**
 * @file explain.h
 * @brief Where a job would go now, and why, without its being submitted.
 */
#ifndef FFL_EXPLAIN_H
#define FFL_EXPLAIN_H

#include "fireflyledge/dispatch.h"

/** What keeps a step off a worker; the first that applies. */
typedef enum {
	FFL_BAR_NONE,
	FFL_BAR_UNLISTED, /**< not in the list, or known from before a restart
			   */
	FFL_BAR_SERVICE,  /**< serves another service */
	FFL_BAR_DRAINING,
	FFL_BAR_EVACUATED, /**< its data centre is being evacuated */
	FFL_BAR_SILENT,	   /**< has not answered, or not yet */
	FFL_BAR_FAILURES,  /**< left out after runs have failed there */
	FFL_BAR_RESERVED,  /**< for other work, while runs are stopped */
	FFL_BAR_LABEL,	   /**< lacks the label */
	FFL_BAR_SLOW,	   /**< runs below its usual speed */
	FFL_BAR_RACK,	   /**< not in the rack of the data */
	FFL_BAR_TICKET,	   /**< the adviser has not allowed it */
	FFL_BAR_ROOM,	   /**< too few free resources, or tasks of the step
			    * enough */
	FFL_BAR__MAX
} ffl_bar_t;

/** A worker that tasks of a step would be placed on. */
typedef struct {
	char id[FFL_NAME_BYTES];
	ffl_name_t dc;
	ffl_name_t rack;
	uint32_t tasks; /**< number of these tasks */
	/** For how long it still runs slowly, in ms; 0: it is warm. */
	uint64_t cold_ms;
} ffl_explained_worker_t;

/** A step that may run now. */
typedef struct {
	uint32_t occurrence;
	uint32_t step;
	uint32_t tasks;
	uint32_t placed; /**< tasks that would be placed */
	ffl_wait_t wait; /**< why others wait; FFL_WAIT__MAX: none does */
	GArray *workers; /**< of ffl_explained_worker_t */
	/** If tasks wait for room: the workers that each reason rules out.
	 * FFL_BAR_NONE counts those with room for a task of a gang. */
	uint32_t barred[FFL_BAR__MAX];
	uint32_t stops; /**< runs that would be stopped for it */
	/** What that costs callers, in core-milliseconds. */
	uint64_t stop_cost;
} ffl_explained_step_t;

/** Where a job would go. */
typedef struct {
	const char *tier; /**< value that it can still have, a static word */
	uint32_t ahead;	  /**< open jobs with waiting tasks that go first */
	bool guaranteed;  /**< within its customer's guarantee */
	/** Share of its service's GPUs that are free, and that it leaves free
	 * if it has slack, in percent. */
	uint32_t free_percent;
	uint32_t headroom_percent;
	bool has_slack;
	GArray *steps;	/**< of ffl_explained_step_t: those that may run now */
	uint32_t later; /**< number of the others, over all occurrences */
} ffl_explanation_t;

const char *ffl_bar_name(uint32_t bar);
const char *ffl_place_wait_name(uint32_t wait);

/**
 * Works out where a job would go in this state. No run, reservation, note or
 * count comes of it. Open jobs that go first and have not been placed are
 * counted, but take no resources.
 *
 * @param spec validated; its contents are taken
 * @param wall_ms Unix time
 * @param out for ffl_explanation_finish()
 */
void ffl_dispatch_explain(ffl_dispatch_t *d, ffl_flow_spec_t *spec,
			  uint64_t now_ms, uint64_t wall_ms,
			  ffl_explanation_t *out);
void ffl_explanation_finish(ffl_explanation_t *e);

#endif
