/**
 * @file witness_int.h
 * @brief Units of guarantees, as the scheduler uses them.
 */
#ifndef FFL_WITNESS_INT_H
#define FFL_WITNESS_INT_H

#include "fireflyledge/witness.h"
#include "lib/gang/space.h"

/** A region kept for a queued job while the work in it is preempted. */
typedef struct {
	uint64_t job;
	ffl_region_t region;
	uint64_t since_ms;
} ffl_claim_t;

static inline ffl_guarantee_unit_t *ffl_unit(const ffl_witness_t *w, uint32_t i)
{
	return &g_array_index(w->units, ffl_guarantee_unit_t, i);
}

/**
 * Updates the units after changes of workers, jobs or guarantees.
 *
 * @param claims of ffl_claim_t; may be NULL
 */
void ffl_witness_update(ffl_witness_t *w, ffl_space_t *sp, ffl_gangs_t *g,
			const ffl_config_t *cfg, const char *dc,
			const GArray *claims);
/** Marks a region as held by a job inside a unit. */
void ffl_witness_pin(ffl_witness_t *w, ffl_space_t *sp, uint32_t unit,
		     const ffl_region_t *region, uint32_t accelerators);
/**
 * Puts a job that holds @p job_region inside an empty unit and makes
 * @p region, which contains it, the unit's region. Empty units whose regions
 * overlap it get new ones.
 *
 * @return false if a guarantee would lose its region; nothing is changed then
 */
bool ffl_witness_assign_job(ffl_witness_t *w, ffl_space_t *sp, uint32_t unit,
			    const ffl_region_t *region,
			    const ffl_region_t *job_region,
			    uint32_t accelerators);
/** Sets or clears the promise of a region's slots. */
void ffl_space_promise(ffl_space_t *sp, const ffl_region_t *region,
		       bool promised);
/** Finds regions for units without one; returns false if any has none. */
bool ffl_witness_solve(ffl_witness_t *w, ffl_space_t *sp);

/**
 * Rebuilds the units if the guarantees of the cell changed; units that remain
 * keep their regions and jobs.
 */
void ffl_witness_reload(ffl_witness_t *w, ffl_gangs_t *g,
			const ffl_config_t *cfg, const char *dc);
/** Returns true if two units have the same shape and customer. */
bool ffl_unit_same_shape(const ffl_guarantee_unit_t *a,
			 const ffl_guarantee_unit_t *b);
/** Returns true if a unit is of the job's customer and has room for it. */
bool ffl_unit_has_room(const ffl_guarantee_unit_t *u, const ffl_job_t *job);

/** Returns true if a job holds slots and is starting or running. */
bool ffl_job_active(const ffl_job_t *job);

#endif
