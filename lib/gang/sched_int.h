/**
 * @file sched_int.h
 * @brief Functions that the scheduler's files share.
 */
#ifndef FFL_SCHED_INT_H
#define FFL_SCHED_INT_H

#include "fireflyledge/sched.h"
#include "lib/gang/gang_int.h"
#include "lib/gang/witness_int.h"

/** Context of one pass. */
typedef struct {
	ffl_sched_t *s;
	ffl_gangs_t *g;
	const ffl_config_t *cfg;
	uint64_t now_ms;
} ffl_pass_t;

/** A queued job with its sort key; the lowest is first. */
typedef struct {
	uint64_t key;
	ffl_job_t *job;
} ffl_candidate_t;

/** Updates the customers' use and sorts the queued jobs. */
void ffl_queue_build(ffl_pass_t *p);
/** Returns the share of a job's customer, up to date with the settings. */
ffl_share_t *ffl_queue_share(ffl_pass_t *p, const ffl_job_t *job);
/** Returns the policy's input for a job's place in the queue. */
ffl_policy_input_t ffl_queue_rank(ffl_pass_t *p, const ffl_job_t *job);
/** Returns true if a job would exceed its customer's quota. */
bool ffl_queue_over_quota(ffl_pass_t *p, const ffl_job_t *job);
/** Returns true if a job is assigned to this scheduler's cell. */
bool ffl_sched_owns_job(const ffl_sched_t *s, const ffl_job_t *job);
/** Returns true if a job of this cell is queued and awaits a decision. */
bool ffl_sched_job_waiting(const ffl_sched_t *s, const ffl_job_t *job);

/** Reloads the confirmed preemption order if its revision changed. */
void ffl_preempt_load_order(ffl_pass_t *p);
/** Returns a job's preemption rank from 1; the lowest is preempted first. */
uint32_t ffl_preempt_rank(const ffl_sched_t *s, const ffl_job_t *job);
/** Rank limit under which all work outside the guarantees is preemptible. */
#define FFL_RANK_ALL UINT32_MAX

/**
 * Returns the cost of preempting the work in a region: the highest rank among
 * the preempted jobs in the upper bits, then the work lost. 1 if all slots
 * are free; FFL_COST_NONE if some work there may not be preempted.
 *
 * @param limit only work of a lower rank is preempted
 */
uint64_t ffl_preempt_cost(ffl_pass_t *p, const ffl_region_t *r, uint32_t limit);

/** Returns true if a holder's job may be moved away for the waiting @p job. */
bool ffl_preempt_movable(ffl_pass_t *p, ffl_owner_t *o, const ffl_job_t *job);

/**
 * Finds a region for a job inside a guarantee of its customer, free or held by
 * preemptible work, and puts the job inside that unit.
 */
bool ffl_reclaim_search(ffl_pass_t *p, ffl_job_t *job, ffl_region_t *region);
/** Finds a region for an urgent job by preempting lower-ranked work. */
bool ffl_urgent_search(ffl_pass_t *p, ffl_job_t *job, ffl_region_t *region);
/** Claims a region for a job until the work in it has been preempted. */
void ffl_claim_add(ffl_pass_t *p, ffl_job_t *job, const ffl_region_t *region);
/** Drops the claims that overlap a region. */
void ffl_claim_drop(ffl_pass_t *p, const ffl_region_t *region);
/** Writes the next preemption or start of the claims; false if none. */
bool ffl_claim_next(ffl_pass_t *p, ffl_decision_t *out);
/** Drops claims whose job or region is no longer valid. */
void ffl_claim_check(ffl_pass_t *p);

/** Finds a free region outside the guarantees. */
bool ffl_free_search(ffl_pass_t *p, ffl_job_t *job, ffl_region_t *region);
/** Reserves the region that is expected to be free first for a job. */
void ffl_reserve_earliest(ffl_pass_t *p, ffl_job_t *job);
/** Clears the reservation. */
void ffl_reserve_clear(ffl_pass_t *p);
/**
 * Returns the job that gets the reservation, or NULL. Called before the queue
 * is gone through.
 */
ffl_job_t *ffl_reserve_choose_job(ffl_pass_t *p);
/**
 * Finds the region that is expected to be free first.
 *
 * @param at_ms set to the local time when it is expected to be free
 */
bool ffl_earliest_search(ffl_pass_t *p, const ffl_job_t *job,
			 ffl_region_t *region, uint64_t *at_ms);
/** Returns the local time when a running job is expected to end, in ms. */
uint64_t ffl_expected_end(ffl_pass_t *p, const ffl_job_t *job);

#endif
