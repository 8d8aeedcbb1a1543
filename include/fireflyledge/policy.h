/**
 * @file policy.h
 * @brief Scheduling policies of a cell, as tables of functions.
 *
 * A policy determines the order of the queue, the placement of a job among the
 * free regions, and which blocked job gets a reservation. Guarantees, quotas
 * and preemption for guarantees do not depend on the policy.
 */
#ifndef FFL_POLICY_H
#define FFL_POLICY_H

#include "fireflyledge/gang.h"
#include "fireflyledge/region.h"

struct ffl_space;

/** ID of a policy. */
typedef enum {
	FFL_POLICY_FAIR, /**< fair shares, then shortest first; the default */
	FFL_POLICY_FCFS, /**< first come, first served; first fit */
	FFL_POLICY_EASY, /**< EASY backfilling by declared run times */
	FFL_POLICY__MAX
} ffl_policy_id_t;

/** A customer's limits and use in a cell. */
typedef struct {
	uint64_t customer_hash;
	uint64_t revision; /**< of the configuration that sets the limits */
	uint32_t weight;
	uint32_t quota_accelerators; /**< 0: no quota */
	uint32_t running;	     /**< accelerators in use or claimed */
	uint32_t above_guarantees; /**< of these, those beyond the guarantees */
	uint32_t queued;	   /**< jobs waiting */
	uint64_t used_ms; /**< decayed accelerator time beyond guarantees */
} ffl_share_t;

/** Input for a policy's queue order and reservations. */
typedef struct {
	const ffl_learn_t *learn;
	const ffl_share_t *share; /**< of the job's customer */
	uint64_t mean_used_ms; /**< of all shares: used_ms per unit of weight */
	uint64_t now_ms;
} ffl_policy_input_t;

/** A policy. */
typedef struct {
	const char *name;
	/** Returns the sort key of a queued job; the lowest is placed first. */
	uint64_t (*key)(const ffl_policy_input_t *r, const ffl_job_t *job);
	/** Returns the expected run time of a job, in milliseconds. */
	uint64_t (*expected_run_ms)(const ffl_learn_t *l,
				    const ffl_job_spec_t *spec,
				    ffl_learn_quantile_t quantile);
	/**
	 * Returns the cost of placing a job in a free region; the lowest wins,
	 * and 0 ends the search.
	 */
	uint64_t (*placement_cost)(const struct ffl_space *sp,
				   const ffl_region_t *r);
	/** Returns a blocked job's priority for a reservation; 0: none. */
	uint64_t (*reservation_priority)(const ffl_policy_input_t *r,
					 const ffl_job_t *job);
	bool in_order; /**< the first blocked job gets the reservation */
	bool migrates; /**< checkpoints jobs to make room for a reservation */
	bool preempts; /**< urgent jobs preempt, by the order of preemption */
} ffl_policy_t;

/** Returns a policy; @p id must be below FFL_POLICY__MAX. */
const ffl_policy_t *ffl_policy(ffl_policy_id_t id);

#endif
