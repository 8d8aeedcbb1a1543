#include "fireflyledge/policy.h"
#include "lib/gang/space.h"

/** A logarithm's unit, and limits of the keys made of them. */
#define LOG_ONE	    65536LL
#define KEY_OFFSET  (1LL << 32)
#define CLASS_SHIFT 56
#define SHARE_LIMIT (2 * LOG_ONE)
/** Waiting this long counts as much as being half as long. */
#define AGE_MS 2400000
/** A job that waited less gets no reservation, in milliseconds. */
#define RESERVE_AFTER_MS 1000
/** Waiting of batch work counts this much less for a reservation. */
#define BATCH_PART 4

static uint64_t key_fcfs(const ffl_rank_t *r, const ffl_job_t *job);
static uint64_t key_fair(const ffl_rank_t *r, const ffl_job_t *job);
static int64_t share_log(const ffl_rank_t *r);
static uint64_t expect_declared(const ffl_learn_t *l,
				const ffl_job_spec_t *spec,
				ffl_learn_quantile_t quantile);
static uint64_t fit_first(const struct ffl_space *sp, const ffl_region_t *r);
static uint64_t fit_best(const struct ffl_space *sp, const ffl_region_t *r);
static uint64_t fit_in_worker(const ffl_space_t *sp, const ffl_region_t *r);
static uint64_t reserve_none(const ffl_rank_t *r, const ffl_job_t *job);
static uint64_t reserve_any(const ffl_rank_t *r, const ffl_job_t *job);
static uint64_t reserve_large(const ffl_rank_t *r, const ffl_job_t *job);

static const ffl_policy_t policies[FFL_POLICY__MAX] = {
	[FFL_POLICY_FAIR] = { .name = "fair",
			      .key = key_fair,
			      .expect_ms = ffl_learn_estimate_ms,
			      .fit = fit_best,
			      .reserve = reserve_large,
			      .moves = false,
			      .preempts = true },
	[FFL_POLICY_FCFS] = { .name = "fcfs",
			      .key = key_fcfs,
			      .expect_ms = expect_declared,
			      .fit = fit_first,
			      .reserve = reserve_none,
			      .in_order = true },
	[FFL_POLICY_EASY] = { .name = "easy",
			      .key = key_fcfs,
			      .expect_ms = expect_declared,
			      .fit = fit_first,
			      .reserve = reserve_any,
			      .in_order = true },
};

const ffl_policy_t *ffl_policy(ffl_policy_id_t id)
{
	return &policies[id];
}

static uint64_t key_fcfs(const ffl_rank_t *r, const ffl_job_t *job)
{
	return job->id;
}

/* Customers that used more than their share stand further back. */
static int64_t share_log(const ffl_rank_t *r)
{
	uint64_t used = r->share->used_ms / r->share->weight;
	int64_t log =
		ffl_log2(used + LOG_ONE) - ffl_log2(r->mean_used_ms + LOG_ONE);

	return CLAMP(log, -SHARE_LIMIT, SHARE_LIMIT);
}

/* Urgent work before all; then short before long, and large before small,
 * since a large gang that waits loses its place to many small ones. */
static uint64_t key_fair(const ffl_rank_t *r, const ffl_job_t *job)
{
	uint64_t wait_ms = r->now_ms - job->queued_ms;
	uint64_t run_ms =
		ffl_learn_estimate_ms(r->learn, &job->spec, FFL_LEARN_MEDIAN);
	int64_t key = ffl_log2(run_ms) - ffl_log2(job->spec.accelerators);

	key -= ffl_log2(1 + wait_ms / AGE_MS);
	key += share_log(r);
	return ((uint64_t)(job->spec.urgency != FFL_URGENT) << CLASS_SHIFT) +
	       (uint64_t)(key + KEY_OFFSET);
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

/* A full worker before a partial one, a partial one before a fresh one. */
static uint64_t fit_in_worker(const ffl_space_t *sp, const ffl_region_t *r)
{
	const ffl_node_t *n = ffl_node(sp, r->first);
	uint64_t left = n->all & ~n->w->used & ~r->last;
	uint64_t size = (uint64_t)__builtin_popcountll(r->last);
	uint64_t cost = 1 + 4 * (uint64_t)__builtin_popcountll(left);

	cost += 64 * (uint64_t)ffl_node(sp, n->rack)->fresh + n->rack;
	if (!n->w->used && left)
		cost += 4096;
	if (size < n->w->info.accelerators &&
	    !(n->w->used & (r->last << size | r->last >> size)))
		cost += 2;
	return cost;
}

/* Takes the end of a run of fresh workers, and of the shortest run. */
static uint64_t fit_best(const struct ffl_space *sp, const ffl_region_t *r)
{
	uint32_t end = r->first + r->count;
	uint64_t cost = 1;

	if (r->count == 1)
		return fit_in_worker(sp, r) +
		       8192 * !!(ffl_node(sp, r->first)->promised & r->last);
	if (r->first && !ffl_node(sp, r->first - 1)->w->used)
		cost += 2;
	if (end < sp->nodes->len && !ffl_node(sp, end)->w->used)
		cost += 1;
	cost = cost * 64 +
	       MIN(ffl_node(sp, ffl_node(sp, r->first)->rack)->fresh, 63);
	for (uint32_t i = 0; i < r->count; i++)
		cost += 8192 * !!ffl_node(sp, r->first + i)->promised;
	return cost;
}

static uint64_t reserve_none(const ffl_rank_t *r, const ffl_job_t *job)
{
	return 0;
}

static uint64_t reserve_any(const ffl_rank_t *r, const ffl_job_t *job)
{
	return 1;
}

/* The largest and oldest: accelerators by waiting time. */
static uint64_t reserve_large(const ffl_rank_t *r, const ffl_job_t *job)
{
	uint64_t wait_ms = r->now_ms - job->queued_ms;

	if (wait_ms < RESERVE_AFTER_MS)
		return 0;
	if (job->spec.urgency == FFL_BATCH)
		wait_ms /= BATCH_PART;
	return job->spec.accelerators * wait_ms;
}
