/**
 * @file queue.c
 * @brief Order of the queued jobs and use of the cell by customer.
 */
#include <string.h>

#include "lib/gang/sched_int.h"

/** Time constant with which past use decays: after it, about a third (1/e)
 * is left; in ms. */
#define USE_DECAY_MS 3600000

static void reset_shares(ffl_pass_t *p);
static void update_used_ms(ffl_share_t *share, uint64_t spent_ms);
static void count_job(ffl_pass_t *p, ffl_job_t *job);
static void update_mean_used_ms(ffl_pass_t *p);
static gint compare_candidates(gconstpointer a, gconstpointer b);

bool ffl_sched_owns_job(const ffl_sched_t *s, const ffl_job_t *job)
{
	return ffl_job_in_cell(job, s->dc);
}

bool ffl_sched_job_waiting(const ffl_sched_t *s, const ffl_job_t *job)
{
	return job->state == FFL_JOB_QUEUED && !job->cancelled &&
	       !job->end_sent && !job->part_count && ffl_sched_owns_job(s, job);
}

/* Decays the past use and adds that of the accelerators in use. */
static void update_used_ms(ffl_share_t *share, uint64_t spent_ms)
{
	if (spent_ms > USE_DECAY_MS)
		spent_ms = USE_DECAY_MS;
	share->used_ms -= share->used_ms * spent_ms / USE_DECAY_MS;
	share->used_ms += share->above_guarantees * spent_ms;
}

/* Adds the use since the last pass to each share, then resets its counts. */
static void reset_shares(ffl_pass_t *p)
{
	uint64_t spent_ms = p->s->had_pass ? p->now_ms - p->s->pass_ms : 0;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, p->s->shares);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		ffl_share_t *share = value;

		update_used_ms(share, spent_ms);
		share->running = share->above_guarantees = share->queued = 0;
	}
}

ffl_share_t *ffl_queue_share(ffl_pass_t *p, const ffl_job_t *job)
{
	ffl_share_t *share =
		g_hash_table_lookup(p->s->shares, &job->customer_hash);
	const ffl_customer_t *c;

	if (share && share->revision == p->cfg->revision)
		return share;
	if (!share) {
		share = g_new0(ffl_share_t, 1);
		share->customer_hash = job->customer_hash;
		g_hash_table_insert(p->s->shares, &share->customer_hash, share);
	}
	c = ffl_config_customer(p->cfg, job->spec.customer);
	share->revision = p->cfg->revision;
	share->weight = c && c->weight ? c->weight : 1;
	share->quota_accelerators = c ? c->quota_accelerators : 0;
	return share;
}

ffl_policy_input_t ffl_queue_rank(ffl_pass_t *p, const ffl_job_t *job)
{
	ffl_policy_input_t r = { .learn = &p->g->learn,
				 .share = ffl_queue_share(p, job),
				 .mean_used_ms = p->s->mean_used_ms,
				 .now_ms = p->now_ms };

	return r;
}

bool ffl_queue_over_quota(ffl_pass_t *p, const ffl_job_t *job)
{
	const ffl_share_t *share = ffl_queue_share(p, job);

	return share->quota_accelerators &&
	       share->running + job->spec.accelerators >
		       share->quota_accelerators;
}

/* A job with a claim counts as running. */
static void count_job(ffl_pass_t *p, ffl_job_t *job)
{
	ffl_candidate_t c = { .job = job };
	ffl_share_t *share = ffl_queue_share(p, job);

	if (ffl_sched_job_waiting(p->s, job) &&
	    job->wait.kind != FFL_WAIT_PREEMPTION) {
		share->queued++;
		g_array_append_val(p->s->queue, c);
	} else if (job->part_count || ffl_sched_job_waiting(p->s, job)) {
		share->running += job->spec.accelerators;
		if (!job->unit)
			share->above_guarantees += job->spec.accelerators;
	}
}

static void update_mean_used_ms(ffl_pass_t *p)
{
	uint64_t used = 0;
	uint64_t weight = 0;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, p->s->shares);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const ffl_share_t *share = value;

		used += share->used_ms;
		weight += share->weight;
	}
	p->s->mean_used_ms = weight ? used / weight : 0;
}

static gint compare_candidates(gconstpointer pa, gconstpointer pb)
{
	const ffl_candidate_t *a = pa;
	const ffl_candidate_t *b = pb;

	if (a->key != b->key)
		return a->key < b->key ? -1 : 1;
	return (a->job->id > b->job->id) - (a->job->id < b->job->id);
}

void ffl_queue_build(ffl_pass_t *p)
{
	GArray *queue = p->s->queue;

	reset_shares(p);
	g_array_set_size(queue, 0);
	for (guint i = 0; i < p->g->open->len; i++) {
		ffl_job_t *job = g_array_index(p->g->open, ffl_job_t *, i);

		if (ffl_sched_owns_job(p->s, job))
			count_job(p, job);
	}
	update_mean_used_ms(p);
	for (guint i = 0; i < queue->len; i++) {
		ffl_candidate_t *c = &g_array_index(queue, ffl_candidate_t, i);
		ffl_policy_input_t r = ffl_queue_rank(p, c->job);

		c->key = p->s->policy->key(&r, c->job);
	}
	g_array_sort(queue, compare_candidates);
}
