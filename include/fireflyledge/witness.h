/**
 * @file witness.h
 * @brief Standing proof that every guarantee of a cell can be reclaimed.
 *
 * Each guaranteed shape is a unit with a region of its own. A region's slots
 * are free, held by work that yields, or held by work of its own customer
 * that runs inside the guarantee. Regions never overlap, so that all units
 * can be reclaimed at once.
 */
#ifndef FFL_WITNESS_H
#define FFL_WITNESS_H

#include "fireflyledge/config.h"
#include "fireflyledge/fleet.h"
#include "fireflyledge/region.h"

/** One guaranteed shape. */
typedef struct {
	ffl_name_t customer;
	uint64_t customer_hash;
	uint64_t revision; /**< that confirmed the guarantee */
	uint32_t accelerators;
	ffl_adjacency_t adjacency;
	ffl_region_t region; /**< none where the guarantee cannot be met */
	uint32_t held;	     /**< accelerators of the jobs inside */
	bool reported;	     /**< that it cannot be met */
} ffl_guarantee_unit_t;

typedef struct {
	GArray *units; /**< of ffl_guarantee_unit_t, in the configuration's
			  order */
	uint64_t guarantees_hash; /**< hash of the guarantees that made the
				     units */
	uint64_t unsolvable_hash; /**< signature of the last state without
				     solution */
	uint32_t unmet;		  /**< units without a region */
} ffl_witness_t;

void ffl_witness_init(ffl_witness_t *w);
void ffl_witness_finish(ffl_witness_t *w);

/**
 * Tells whether the listed workers, without those that the configuration
 * drains, could meet every guarantee of a cell at once; adds a finding for
 * each guarantee that cannot be met.
 */
ffl_status_t ffl_witness_check(const ffl_fleet_t *fleet,
			       const ffl_config_t *cfg, const char *dc,
			       ffl_findings_t *fs);

#endif
