/**
 * @file gang_mix.h
 * @brief Seeded mixes of jobs and faults, run through the real scheduler.
 */
#ifndef FFL_GANG_MIX_H
#define FFL_GANG_MIX_H

#include "fakes/fake_cell.h"

/** Mixes of work. */
typedef enum {
	MIX_STEADY,
	MIX_SMALL_BURSTS,
	MIX_LARGE_BURSTS,
	MIX_WRONG_TIMES, /**< declared run times are wrong by up to 10 times */
	MIX_FAILURES,
	MIX_BLACK_HOLE, /**< a worker fails everything it starts */
	MIX_CANCELS,
	MIX_BATCH_FLOOD,
	MIX_URGENT_FLOOD,
	MIX__MAX
} mix_t;

/** What a run measures. */
typedef enum {
	MIX_COMPLETION, /**< mean */
	MIX_COMPLETION_P95,
	MIX_COMPLETION_SMALL,  /**< mean, up to 4 accelerators */
	MIX_COMPLETION_WORKER, /**< mean, 8 accelerators */
	MIX_COMPLETION_LARGE,  /**< mean, 16 and more */
	MIX_COMPLETION_LARGE_P95,
	MIX_LARGE_WAIT, /**< mean of the largest tenth */
	MIX_FRAGMENTATION,
	MIX_UTILISATION,
	MIX_URGENT_START, /**< p99 */
	MIX_LOST_WORK,
	MIX_RECLAIM,	   /**< longest */
	MIX_RECLAIMS_LATE, /**< reclaims that did not start in their bound */
	MIX_FIGURE__MAX
} mix_figure_t;

const char *mix_name(mix_t mix);
const char *mix_figure_name(uint32_t figure);
const char *mix_figure_unit(uint32_t figure);

/** Runs a mix under a policy. */
void mix_run(mix_t mix, ffl_policy_id_t policy, uint64_t seed, uint32_t hours,
	     double figures[MIX_FIGURE__MAX]);

#endif
