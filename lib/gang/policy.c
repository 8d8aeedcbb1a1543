/**
 * @file policy.c
 * @brief Tables of the scheduling policies.
 */
#include "fireflyledge/policy.h"
#include "lib/gang/space.h"

/** One in the logarithms of ffl_log2(). Keys are logarithms with a bias that
 * makes them positive; the urgency class is above them. The effect of past
 * use is limited to a factor of four. */
#define LOG2_ONE	65536LL
#define KEY_BIAS	(1LL << 32)
#define URGENCY_SHIFT	56
#define OVERUSE_LOG_MAX (2 * LOG2_ONE)
/** A job that waited this long, in ms, is ordered like one of half its run
 * time. */
#define AGING_MS 2400000
/** Time that a job waits before it may get a reservation, in ms. */
#define RESERVE_AFTER_MS 1000
/** Divisor of a batch job's waiting time in the choice of a reservation. */
#define BATCH_WAIT_DIV 4

static uint64_t key_fcfs(const ffl_policy_input_t *r, const ffl_job_t *job);
static uint64_t key_fair(const ffl_policy_input_t *r, const ffl_job_t *job);
static int64_t overuse_log(const ffl_policy_input_t *r);
static uint64_t expect_declared(const ffl_learn_t *l,
				const ffl_job_spec_t *spec,
				ffl_learn_quantile_t quantile);
static uint64_t fit_first(const struct ffl_space *sp, const ffl_region_t *r);
static uint64_t fit_best(const struct ffl_space *sp, const ffl_region_t *r);
static uint64_t fit_in_worker(const ffl_space_t *sp, const ffl_region_t *r);
static uint64_t reserve_none(const ffl_policy_input_t *r, const ffl_job_t *job);
static uint64_t reserve_any(const ffl_policy_input_t *r, const ffl_job_t *job);
static uint64_t reserve_large(const ffl_policy_input_t *r,
			      const ffl_job_t *job);

static const ffl_policy_t policies[FFL_POLICY__MAX] = {
	[FFL_POLICY_FAIR] = { .name = "fair",
			      .key = key_fair,
			      .expected_run_ms = ffl_learn_estimate_ms,
			      .placement_cost = fit_best,
			      .reservation_priority = reserve_large,
			      .migrates = false,
			      .preempts = true },
	[FFL_POLICY_FCFS] = { .name = "fcfs",
			      .key = key_fcfs,
			      .expected_run_ms = expect_declared,
			      .placement_cost = fit_first,
			      .reservation_priority = reserve_none,
			      .in_order = true },
	[FFL_POLICY_EASY] = { .name = "easy",
			      .key = key_fcfs,
			      .expected_run_ms = expect_declared,
			      .placement_cost = fit_first,
			      .reservation_priority = reserve_any,
			      .in_order = true },
};

const ffl_policy_t *ffl_policy(ffl_policy_id_t id)
{
	return &policies[id];
}

static uint64_t key_fcfs(const ffl_policy_input_t *r, const ffl_job_t *job)
{
	return job->id;
}

/* Logarithm of a customer's past use, relative to the mean of all. */
static int64_t overuse_log(const ffl_policy_input_t *r)
{
	uint64_t used = r->share->used_ms / r->share->weight;
	int64_t log = ffl_log2(used + LOG2_ONE) -
		      ffl_log2(r->mean_used_ms + LOG2_ONE);

	return CLAMP(log, -OVERUSE_LOG_MAX, OVERUSE_LOG_MAX);
}

/* Urgent jobs first; then short before long, and large before small, since
 * small jobs would keep taking the slots that a large gang waits for. Waiting
 * time and little past use of the customer move a job forward. */
static uint64_t key_fair(const ffl_policy_input_t *r, const ffl_job_t *job)
{
	uint64_t wait_ms = r->now_ms - job->queued_ms;
	uint64_t run_ms =
		ffl_learn_estimate_ms(r->learn, &job->spec, FFL_LEARN_MEDIAN);
	int64_t key = ffl_log2(run_ms) - ffl_log2(job->spec.accelerators);

	key -= ffl_log2(1 + wait_ms / AGING_MS);
	key += overuse_log(r);
	return ((uint64_t)(job->spec.urgency != FFL_URGENT) << URGENCY_SHIFT) +
	       (uint64_t)(key + KEY_BIAS);
}

static uint64_t expect_declared(const ffl_learn_t *l,
				const ffl_job_spec_t *spec,
				ffl_learn_quantile_t quantile)
{
	return spec->declared_ms ? spec->declared_ms : 1;
}

static uint64_t fit_first(const struct ffl_space *sp, const ffl_region_t *r)
{
	return 0;
}

/* Prefers a worker that the job fills, then a partly used one, then an unused
 * one; among these, racks with few unused workers, then few slots left free. */
static uint64_t fit_in_worker(const ffl_space_t *sp, const ffl_region_t *r)
{
	const ffl_space_worker_t *n = ffl_space_worker(sp, r->first);
	uint64_t left = n->all_slots & ~n->w->used & ~r->last_slots;
	uint64_t size = (uint64_t)__builtin_popcountll(r->last_slots);
	uint64_t cost = 1 + 4 * (uint64_t)__builtin_popcountll(left);

	cost += 64 * (uint64_t)ffl_space_worker(sp, n->rack)->idle_workers +
		n->rack;
	if (!n->w->used && left)
		cost += 4096;
	if (size < n->w->info.accelerators &&
	    !(n->w->used & (r->last_slots << size | r->last_slots >> size)))
		cost += 2;
	return cost;
}

/* Prefers regions at the end of a run of unused workers, in racks that have
 * few of them, and outside the regions of guarantees. */
static uint64_t fit_best(const struct ffl_space *sp, const ffl_region_t *r)
{
	uint32_t end = r->first + r->count;
	uint64_t cost = 1;

	if (r->count == 1)
		return fit_in_worker(sp, r) +
		       8192 * !!(ffl_space_worker(sp, r->first)->promised &
				 r->last_slots);
	if (r->first && !ffl_space_worker(sp, r->first - 1)->w->used)
		cost += 2;
	if (end < sp->workers->len && !ffl_space_worker(sp, end)->w->used)
		cost += 1;
	cost = cost * 64 +
	       MIN(ffl_space_worker(sp, ffl_space_worker(sp, r->first)->rack)
			   ->idle_workers,
		   63);
	for (uint32_t i = 0; i < r->count; i++)
		cost += 8192 * !!ffl_space_worker(sp, r->first + i)->promised;
	return cost;
}

static uint64_t reserve_none(const ffl_policy_input_t *r, const ffl_job_t *job)
{
	return 0;
}

static uint64_t reserve_any(const ffl_policy_input_t *r, const ffl_job_t *job)
{
	return 1;
}

/* Prefers large jobs that waited long: accelerators times waiting time. */
static uint64_t reserve_large(const ffl_policy_input_t *r, const ffl_job_t *job)
{
	uint64_t wait_ms = r->now_ms - job->queued_ms;

	if (wait_ms < RESERVE_AFTER_MS)
		return 0;
	if (job->spec.urgency == FFL_BATCH)
		wait_ms /= BATCH_WAIT_DIV;
	return job->spec.accelerators * wait_ms;
}
