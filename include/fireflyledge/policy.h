/**
 * @file policy.h
 * @brief What the scheduling policies differ in, as tables of functions.
 *
 * Guarantees, quotas and preemption for guarantees are the same under every
 * policy; a policy chooses the order of the queue, which of several free
 * blocks is taken, and for whom a block is kept.
 */
#ifndef FFL_POLICY_H
#define FFL_POLICY_H

#include "fireflyledge/gang.h"
#include "fireflyledge/region.h"

struct ffl_space;

typedef enum {
	FFL_POLICY_FAIR, /**< shortest first within fairness; the default */
	FFL_POLICY_FCFS, /**< first come, first fit */
	FFL_POLICY_EASY, /**< EASY backfill by declared run times */
	FFL_POLICY__MAX
} ffl_policy_id_t;

/** A customer's use of a cell. */
typedef struct {
	uint64_t customer_hash;
	uint64_t revision; /**< of the configuration read */
	uint32_t weight;
	uint32_t quota_accelerators; /**< 0 is no quota */
	uint32_t running;	     /**< accelerators, claims included */
	uint32_t above;		     /**< of these, above its guarantees */
	uint32_t queued;	     /**< jobs */
	uint64_t used_ms;	     /**< decayed accelerator time above */
} ffl_share_t;

/** What the place of a job in the queue may rest on. */
typedef struct {
	const ffl_learn_t *learn;
	const ffl_share_t *share; /**< of the job's customer */
	uint64_t mean_used_ms;	  /**< mean of used_ms over the weights */
	uint64_t now_ms;
} ffl_rank_t;

typedef struct {
	const char *name;
	/** Returns the key of a queued job; the lowest goes first. */
	uint64_t (*key)(const ffl_rank_t *r, const ffl_job_t *job);
	/** Returns the expected run time of a job, in milliseconds. */
	uint64_t (*expect_ms)(const ffl_learn_t *l, const ffl_job_spec_t *spec,
			      ffl_learn_quantile_t quantile);
	/** Returns the cost of a free region; 0 ends the search. */
	uint64_t (*fit)(const struct ffl_space *sp, const ffl_region_t *r);
	/** Returns how much a blocked job deserves a reservation; 0 none. */
	uint64_t (*reserve)(const ffl_rank_t *r, const ffl_job_t *job);
	bool in_order; /**< the first blocked job has the reservation */
	bool moves;    /**< checkpoints work to make room for a reservation */
	bool preempts; /**< urgent work stops work that yields first */
} ffl_policy_t;

const ffl_policy_t *ffl_policy(ffl_policy_id_t id);

#endif
