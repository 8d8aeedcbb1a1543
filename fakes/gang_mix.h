/**
 * @file gang_mix.h
 * @brief Seeded workloads of gang jobs and faults, run on the real scheduler.
 */
#ifndef FFL_GANG_MIX_H
#define FFL_GANG_MIX_H

#include "fakes/fake_cell.h"

/** Workload mixes. */
typedef enum {
	MIX_STEADY,
	MIX_SMALL_BURSTS,
	MIX_LARGE_BURSTS,
	MIX_WRONG_TIMES, /**< declared run times are wrong by up to 10 times */
	MIX_FAILURES,	 /**< a worker is down in every other half hour */
	MIX_BLACK_HOLE,	 /**< one worker fails all jobs, another every 4 h */
	MIX_CANCELS,
	MIX_BATCH_FLOOD,
	MIX_URGENT_FLOOD,
	MIX__MAX
} mix_t;

/** Figures of a run; the times are from submission, in seconds. */
typedef enum {
	MIX_COMPLETION, /**< mean of all jobs */
	MIX_COMPLETION_P95,
	MIX_COMPLETION_SMALL,  /**< mean of jobs of up to 4 accelerators */
	MIX_COMPLETION_WORKER, /**< mean of jobs of 8 accelerators */
	MIX_COMPLETION_LARGE,  /**< mean of jobs of 16 and more */
	MIX_COMPLETION_LARGE_P95,
	MIX_LARGE_WAIT,	   /**< mean waiting time of the largest 10 % */
	MIX_FRAGMENTATION, /**< mean of 1 - largest free run / all free */
	MIX_UTILISATION,   /**< mean share of accelerators in use */
	MIX_URGENT_START,  /**< p99 wait of urgent jobs for their first start */
	MIX_LOST_WORK,	   /**< by preemption, in accelerator hours */
	MIX_RECLAIM,	   /**< longest time from preemption to start */
	MIX_RECLAIMS_LATE, /**< reclaims that took longer than 2.3 s */
	MIX_FIGURE__MAX
} mix_figure_t;

const char *mix_name(mix_t mix);
const char *mix_figure_name(uint32_t figure);
const char *mix_figure_unit(uint32_t figure);

/**
 * Runs a mix under a policy until every job has ended.
 *
 * @param hours time for which jobs arrive
 * @param figures set to the figures, by mix_figure_t
 */
void mix_run(mix_t mix, ffl_policy_id_t policy, uint64_t seed, uint32_t hours,
	     double figures[MIX_FIGURE__MAX]);

#endif
