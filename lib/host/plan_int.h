/**
 * @file plan_int.h
 * @brief What an intent would change, and everything that follows from it.
 */
#ifndef FFL_PLAN_INT_H
#define FFL_PLAN_INT_H

#include "lib/host/host_int.h"

/** A computed plan. */
typedef struct {
	ffl_intent_t before;
	ffl_intent_t after;
	ffl_status_t status;
	uint32_t blast_radius; /**< accelerators taken away; 0 where few */
	ffl_findings_t findings;
} ffl_plan_t;

/** Computes the plan of an intent at this host's state. */
void ffl_plan_init(ffl_plan_t *plan, const ffl_host_t *h,
		   const ffl_intent_t *intent);
void ffl_plan_finish(ffl_plan_t *plan);

/** Adds what is wrong with guarantees, quotas and drains after a change. */
void ffl_plan_find(ffl_plan_t *plan, const ffl_host_t *h);

/**
 * Tells how many guaranteed shapes of a cell find no place of their own.
 *
 * @param change image of a guarantee or a drain that is to hold, or NULL
 * @param capacity receives the accelerators that may be used
 */
uint32_t ffl_cell_unmet(const ffl_host_t *h, const char *dc,
			const ffl_intent_t *change, uint32_t *capacity);

#endif
