/**
 * @file witness_int.h
 * @brief Units of guarantees, as the scheduler uses them.
 */
#ifndef FFL_WITNESS_INT_H
#define FFL_WITNESS_INT_H

#include "fireflyledge/witness.h"
#include "lib/gang/space.h"

/** Slots kept for a queued job while work in them is stopped. */
typedef struct {
	uint64_t job;
	ffl_region_t region;
	uint64_t since_ms;
} ffl_claim_t;

static inline ffl_guarantee_unit_t *ffl_unit(const ffl_witness_t *w, uint32_t i)
{
	return &g_array_index(w->units, ffl_guarantee_unit_t, i);
}

/** Brings the units up to date with workers, jobs and guarantees. */
void ffl_witness_update(ffl_witness_t *w, ffl_space_t *sp, ffl_gangs_t *g,
			const ffl_config_t *cfg, const char *dc,
			const GArray *claims);
/** Marks a region as held by a job inside a unit. */
void ffl_witness_pin(ffl_witness_t *w, ffl_space_t *sp, uint32_t unit,
		     const ffl_region_t *at, uint32_t accelerators);
/**
 * Puts a job inside a unit that no job is inside, and the unit's region
 * around it; the units in the way move.
 *
 * @return false where a guarantee would lose its region; nothing changed
 */
bool ffl_witness_take(ffl_witness_t *w, ffl_space_t *sp, uint32_t unit,
		      const ffl_region_t *at, const ffl_region_t *own,
		      uint32_t accelerators);
/** Sets or clears the promise of a region's slots. */
void ffl_space_promise(ffl_space_t *sp, const ffl_region_t *at, bool promised);
/** Finds regions for the units that have none; false where one remains. */
bool ffl_witness_solve(ffl_witness_t *w, ffl_space_t *sp);

/** Loads the units anew where the guarantees of the cell changed. */
void ffl_witness_reload(ffl_witness_t *w, ffl_gangs_t *g,
			const ffl_config_t *cfg, const char *dc);
bool ffl_unit_same_shape(const ffl_guarantee_unit_t *a,
			 const ffl_guarantee_unit_t *b);
/** Tells whether a job can run inside a unit, next to those that do. */
bool ffl_unit_takes(const ffl_guarantee_unit_t *u, const ffl_job_t *job);

/** Tells whether a job holds slots or is about to. */
bool ffl_job_active(const ffl_job_t *job);

#endif
