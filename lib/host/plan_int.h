/**
 * @file plan_int.h
 * @brief Plans: the change that an intent makes and its effects.
 */
#ifndef FFL_PLAN_INT_H
#define FFL_PLAN_INT_H

#include "lib/host/host_int.h"

/** The computed effects of an intent. */
typedef struct {
	ffl_intent_t before;
	ffl_intent_t after;
	ffl_status_t status;
	uint32_t blast_radius; /**< accelerators withdrawn; 0 if no confirmation
				  by number is needed */
	ffl_findings_t findings;
} ffl_plan_t;

/** Computes the plan of an intent on the host's current state. */
void ffl_plan_init(ffl_plan_t *plan, const ffl_host_t *h,
		   const ffl_intent_t *intent);
void ffl_plan_finish(ffl_plan_t *plan);

/** Adds findings about guarantees, quotas, drains and operators after the
 * change, the most severe first. */
void ffl_plan_check(ffl_plan_t *plan, const ffl_host_t *h);

/**
 * Returns the number of guaranteed shapes of a cell that cannot all be placed
 * at once; an upper bound, see cell_check.c.
 *
 * @param change guarantee or drain to assume in force, or NULL
 * @param capacity receives the accelerators of workers that are not drained or
 * leaving
 */
uint32_t ffl_cell_unmet_guarantees(const ffl_host_t *h, const char *dc,
				   const ffl_intent_t *change,
				   uint32_t *capacity);

#endif
