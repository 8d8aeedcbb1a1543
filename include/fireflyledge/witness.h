/**
 * @file witness.h
 * @brief Assignment of a region to each guaranteed shape of a cell.
 *
 * The assignment is the witness that all guarantees can be met at once: each
 * guaranteed shape is a unit with a region of its own, and regions never
 * overlap. Every slot of a region is free, held by preemptible work, or held
 * by work of the unit's own customer that runs inside the guarantee.
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

/** The units of a cell. */
typedef struct {
	GArray *units; /**< of ffl_guarantee_unit_t, in configuration order */
	uint64_t guarantees_hash; /**< of the guarantees that units came from */
	uint64_t unsolvable_hash; /**< last state without a solution; 0 none */
	uint32_t unmet;		  /**< units without a region */
} ffl_witness_t;

void ffl_witness_init(ffl_witness_t *w);
void ffl_witness_finish(ffl_witness_t *w);

/**
 * Checks that the listed workers, without those that the configuration
 * drains, can meet every guarantee of a cell at once. Adds a finding for each
 * guarantee that cannot be met.
 *
 * @return FFL_INVALID if one cannot be met
 */
ffl_status_t ffl_witness_check(const ffl_fleet_t *fleet,
			       const ffl_config_t *cfg, const char *dc,
			       ffl_findings_t *fs);

#endif
