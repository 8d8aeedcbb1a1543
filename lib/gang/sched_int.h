/**
 * @file sched_int.h
 * @brief Parts of the scheduler that only its own files use.
 */
#ifndef FFL_SCHED_INT_H
#define FFL_SCHED_INT_H

#include "fireflyledge/sched.h"
#include "lib/gang/gang_int.h"
#include "lib/gang/witness_int.h"

/** What one pass has at hand. */
typedef struct {
	ffl_sched_t *s;
	ffl_gangs_t *g;
	const ffl_config_t *cfg;
	uint64_t now_ms;
} ffl_pass_t;

/** A queued job with its place in the order. */
typedef struct {
	uint64_t key;
	ffl_job_t *job;
} ffl_candidate_t;

/** Counts customers' use and puts the queued jobs in order. */
void ffl_queue_build(ffl_pass_t *p);
ffl_share_t *ffl_queue_share(ffl_pass_t *p, const ffl_job_t *job);
ffl_rank_t ffl_queue_rank(ffl_pass_t *p, const ffl_job_t *job);
bool ffl_queue_over_quota(ffl_pass_t *p, const ffl_job_t *job);
/** Tells whether this cell decides about a job. */
bool ffl_sched_ours(const ffl_sched_t *s, const ffl_job_t *job);
/** Tells whether a job awaits a decision. */
bool ffl_sched_waiting(const ffl_sched_t *s, const ffl_job_t *job);

/** Reads the confirmed order where it changed. */
void ffl_yield_load(ffl_pass_t *p);
/** Returns a job's rank from 1; the lowest yields first. */
uint32_t ffl_yield_rank(const ffl_sched_t *s, const ffl_job_t *job);
/** Limit under which all work outside the guarantees yields. */
#define FFL_RANK_ALL UINT32_MAX

/**
 * Returns the cost of stopping the work in a region: the highest rank that
 * has to yield, then the work lost. 1 where all is free.
 *
 * @param limit only work of a lower rank yields
 */
uint64_t ffl_yield_cost(ffl_pass_t *p, const ffl_region_t *r, uint32_t limit);

/** Tells whether work can be checkpointed and moved for a job. */
bool ffl_yield_movable(ffl_pass_t *p, ffl_owner_t *o, const ffl_job_t *job);

/** Finds the job's place inside its customer's guarantee. */
bool ffl_reclaim_search(ffl_pass_t *p, ffl_job_t *job, ffl_region_t *at);
/** Finds a place for urgent work by stopping work that yields. */
bool ffl_urgent_search(ffl_pass_t *p, ffl_job_t *job, ffl_region_t *at);
/** Keeps a region for a job until the work in it has stopped. */
void ffl_claim_add(ffl_pass_t *p, ffl_job_t *job, const ffl_region_t *at);
/** Gives up the claims of other jobs on a region. */
void ffl_claim_drop(ffl_pass_t *p, const ffl_region_t *at);
/** Gives the next preemption or start that follows from a claim. */
bool ffl_claim_next(ffl_pass_t *p, ffl_decision_t *out);
/** Drops the claims that cannot be kept. */
void ffl_claim_check(ffl_pass_t *p);

/** Finds a free region outside the guarantees. */
bool ffl_free_search(ffl_pass_t *p, ffl_job_t *job, ffl_region_t *at);
/** Keeps the region that is expected to be free first. */
void ffl_reserve(ffl_pass_t *p, ffl_job_t *job);
void ffl_reserve_clear(ffl_pass_t *p);
/** Chooses the job that the reservation is for, before the queue is read. */
ffl_job_t *ffl_reserve_choose(ffl_pass_t *p);
/** Finds the region that is expected to be free first, and when. */
bool ffl_earliest_search(ffl_pass_t *p, const ffl_job_t *job, ffl_region_t *at,
			 uint64_t *at_ms);
/** Returns when a job that holds slots is expected to end. */
uint64_t ffl_expected_end(ffl_pass_t *p, const ffl_job_t *job);

#endif
