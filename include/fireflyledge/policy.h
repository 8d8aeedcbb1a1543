/**
 * @file policy.h
 * @brief Scheduling policies of a cell, as tables of functions.
 *
 * Guarantees, quotas and preemption for guarantees are the same under every
 * policy. A policy chooses the order of the queue, which of several free
 * blocks a job gets, and which blocked job gets a reservation.
 */
#ifndef FFL_POLICY_H
#define FFL_POLICY_H

#include "fireflyledge/gang.h"
#include "fireflyledge/region.h"

struct ffl_space;

typedef enum {
	FFL_POLICY_FAIR, /**< fair shares, then shortest first; the default */
	FFL_POLICY_FCFS, /**< first come first served, first fit */
	FFL_POLICY_EASY, /**< EASY backfilling by declared run times */
	FFL_POLICY__MAX
} ffl_policy_id_t;

/** A customer's share of a cell and its use. */
typedef struct {
	uint64_t customer_hash;
	uint64_t revision; /**< configuration that the limits are from */
	uint32_t weight;
	uint32_t quota_accelerators; /**< 0: no quota */
	uint32_t running;	   /**< accelerators, including claimed ones */
	uint32_t above_guarantees; /**< part of running beyond its guarantees */
	uint32_t queued;	   /**< jobs */
	uint64_t used_ms; /**< decayed accelerator time beyond guarantees */
} ffl_share_t;

/** Input of a policy's order of the queue. */
typedef struct {
	const ffl_learn_t *learn;
	const ffl_share_t *share; /**< of the job's customer */
	uint64_t mean_used_ms;	  /**< sum of used_ms by sum of weights */
	uint64_t now_ms;
} ffl_policy_input_t;

typedef struct {
	const char *name;
	/** Returns the sort key of a queued job; the least goes first. */
	uint64_t (*key)(const ffl_policy_input_t *r, const ffl_job_t *job);
	/** Returns the expected run time of a job, in milliseconds. */
	uint64_t (*expected_run_ms)(const ffl_learn_t *l,
				    const ffl_job_spec_t *spec,
				    ffl_learn_quantile_t quantile);
	/** Returns the cost of using a free region; 0 ends the search. */
	uint64_t (*placement_cost)(const struct ffl_space *sp,
				   const ffl_region_t *r);
	/** Returns a blocked job's priority for a reservation; 0: none. */
	uint64_t (*reservation_priority)(const ffl_policy_input_t *r,
					 const ffl_job_t *job);
	bool in_order; /**< the first blocked job gets the reservation */
	bool migrates; /**< checkpoints jobs to make room for a reservation */
	bool preempts; /**< urgent jobs preempt those that are first to yield */
} ffl_policy_t;

const ffl_policy_t *ffl_policy(ffl_policy_id_t id);

#endif
