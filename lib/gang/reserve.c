/**
 * @file reserve.c
 * @brief Search for free regions, reservation for a blocked job, backfill.
 */
#include <string.h>

#include "lib/gang/sched_int.h"

/** A job that outlasts its estimate is expected to go on for a quarter of the
 * time that it has run. */
#define OVERRUN_DIV 4
/** Lower bits of a cost: accelerators of the jobs to move away. */
#define MOVED_BITS 12
#define MOVED_MAX  ((1U << MOVED_BITS) - 1)

/** A search for free regions, or for the one that is free first. */
typedef struct {
	ffl_pass_t *p;
	const ffl_job_t *job;
	bool may_backfill;	 /**< may run in the reserved region */
	bool count_movable_free; /**< jobs that can be moved count as gone */
} query_t;

static uint64_t cost_free(const ffl_space_t *sp, const ffl_region_t *r,
			  void *arg);
static uint64_t cost_earliest(const ffl_space_t *sp, const ffl_region_t *r,
			      void *arg);
static uint64_t shape_key(const query_t *q);
static uint64_t slots_end_ms(const query_t *q, const ffl_space_worker_t *n,
			     uint64_t slots, uint32_t *moved);
static bool may_backfill(ffl_pass_t *p, const ffl_job_t *job);

static uint64_t cost_free(const ffl_space_t *sp, const ffl_region_t *r,
			  void *arg)
{
	const query_t *q = arg;
	const ffl_sched_t *s = q->p->s;
	bool owner = s->reservation.job == q->job->id;

	for (uint32_t i = 0; i < r->count; i++) {
		const ffl_space_worker_t *n =
			ffl_space_worker(sp, r->first + i);
		uint64_t slots = ffl_region_slots(sp, r, i);

		if (!n->open || ((n->w->used | n->claimed) & slots))
			return FFL_COST_NONE;
		if ((n->reserved & slots) && !owner && !q->may_backfill)
			return FFL_COST_NONE;
	}
	return s->policy->placement_cost(sp, r);
}

/* A shape that found no free block finds none later in the same pass. */
static uint64_t shape_key(const query_t *q)
{
	const ffl_job_spec_t *spec = &q->job->spec;
	uint64_t h = ((uint64_t)spec->accelerators << 8) | spec->adjacency;

	h = ffl_mix(h, ((uint64_t)spec->cores << 32) | spec->memory_mb);
	return ffl_mix(h, q->may_backfill);
}

/* The reserved region may be used by urgent jobs, by smaller jobs that can be
 * checkpointed and moved away, and by jobs that are expected to end in time. */
static bool may_backfill(ffl_pass_t *p, const ffl_job_t *job)
{
	const ffl_policy_t *policy = p->s->policy;
	const ffl_job_t *holder = ffl_gangs_find(p->g, p->s->reservation.job);

	if (policy->preempts && job->spec.urgency == FFL_URGENT)
		return true;
	if (policy->migrates && job->spec.checkpointable && holder &&
	    job->spec.accelerators < holder->spec.accelerators &&
	    ffl_preempt_rank(p->s, job) <= ffl_preempt_rank(p->s, holder))
		return true;
	return p->now_ms + policy->expected_run_ms(&p->g->learn, &job->spec,
						   FFL_LEARN_HIGH) <=
	       p->s->reservation.expected_start_ms;
}

bool ffl_free_search(ffl_pass_t *p, ffl_job_t *job, ffl_region_t *region)
{
	query_t q = { .p = p, .job = job };
	ffl_shape_t shape = ffl_job_shape(&job->spec);
	const ffl_reservation_t *res = &p->s->reservation;
	bool owner = res->job == job->id;
	uint64_t key;

	if (res->job && !owner)
		q.may_backfill = may_backfill(p, job);
	key = shape_key(&q);
	if (!owner && g_hash_table_contains(p->s->failed_shapes, &key))
		return false;
	if (ffl_region_search(p->s->space, &shape, cost_free, &q, region) !=
	    FFL_COST_NONE)
		return true;
	if (!owner)
		g_hash_table_add(p->s->failed_shapes,
				 g_memdup2(&key, sizeof(key)));
	return false;
}

uint64_t ffl_expected_end(ffl_pass_t *p, const ffl_job_t *job)
{
	uint64_t run_ms = p->s->policy->expected_run_ms(
		&p->g->learn, &job->spec, FFL_LEARN_HIGH);
	uint64_t spent_ms = p->now_ms - job->since_ms + job->progress_ms;
	uint64_t rest_ms = spent_ms / OVERRUN_DIV;

	if (run_ms > spent_ms + rest_ms)
		rest_ms = run_ms - spent_ms;
	return p->now_ms + rest_ms + 1;
}

/* Returns when the last job that holds one of the slots is expected to end;
 * adds the accelerators of jobs that would be moved. */
static uint64_t slots_end_ms(const query_t *q, const ffl_space_worker_t *n,
			     uint64_t slots, uint32_t *moved)
{
	uint64_t end_ms = q->p->now_ms;

	for (uint32_t link = n->owner; link;) {
		ffl_owner_t *o = ffl_owner(q->p->s->space, link);

		link = o->next;
		if (!(o->slots & slots) || !o->job->part_count)
			continue;
		if (q->count_movable_free &&
		    ffl_preempt_movable(q->p, o, q->job)) {
			*moved += o->job->spec.accelerators;
			continue;
		}
		if (!o->end_ms)
			o->end_ms = ffl_expected_end(q->p, o->job);
		end_ms = MAX(end_ms, o->end_ms);
	}
	return end_ms;
}

/* Cost of a region: the time when it is free, in ms, then the accelerators of
 * the jobs that would have to be moved. */
static uint64_t cost_earliest(const ffl_space_t *sp, const ffl_region_t *r,
			      void *arg)
{
	const query_t *q = arg;
	uint64_t end_ms = q->p->now_ms;
	uint32_t moved = 0;

	for (uint32_t i = 0; i < r->count; i++) {
		const ffl_space_worker_t *n =
			ffl_space_worker(sp, r->first + i);
		uint64_t slots = ffl_region_slots(sp, r, i);
		uint64_t at_ms;

		if (!n->open || (n->claimed & slots) ||
		    (n->w->used & slots & ~n->owned))
			return FFL_COST_NONE;
		at_ms = slots_end_ms(q, n, n->w->used & slots, &moved);
		end_ms = MAX(end_ms, at_ms);
	}
	return (end_ms << MOVED_BITS) + MIN(moved, MOVED_MAX);
}

bool ffl_earliest_search(ffl_pass_t *p, const ffl_job_t *job,
			 ffl_region_t *region, uint64_t *at_ms)
{
	query_t q = { .p = p,
		      .job = job,
		      .count_movable_free = p->s->policy->migrates };
	ffl_shape_t shape = ffl_job_shape(&job->spec);
	uint64_t cost;

	cost = ffl_region_search(p->s->space, &shape, cost_earliest, &q,
				 region);
	*at_ms = cost >> MOVED_BITS;
	return cost != FFL_COST_NONE;
}

void ffl_reserve_clear(ffl_pass_t *p)
{
	for (guint i = 0; i < p->s->space->workers->len; i++)
		ffl_space_worker(p->s->space, i)->reserved = 0;
	memset(&p->s->reservation, 0, sizeof(p->s->reservation));
}

void ffl_reserve_earliest(ffl_pass_t *p, ffl_job_t *job)
{
	ffl_reservation_t *res = &p->s->reservation;

	res->job = 0;
	if (!ffl_earliest_search(p, job, &res->region,
				 &res->expected_start_ms)) {
		job->wait.kind = FFL_WAIT_SHAPE;
		return;
	}
	res->job = job->id;
	for (uint32_t i = 0; i < res->region.count; i++)
		ffl_space_worker(p->s->space, res->region.first + i)
			->reserved |=
			ffl_region_slots(p->s->space, &res->region, i);
	job->wait.kind = FFL_WAIT_RESERVED;
	job->wait.expected_start_ms = res->expected_start_ms;
}

/* The job that has the reservation keeps it while it waits. */
ffl_job_t *ffl_reserve_choose_job(ffl_pass_t *p)
{
	ffl_job_t *held = ffl_job_find(p->g, p->s->reservation.job);
	ffl_job_t *best = NULL;
	uint64_t most = 0;

	if (p->s->policy->in_order)
		return NULL;
	if (held && ffl_sched_job_waiting(p->s, held) &&
	    held->wait.kind != FFL_WAIT_PREEMPTION)
		return held;
	for (guint i = 0; i < p->s->queue->len; i++) {
		ffl_job_t *job =
			g_array_index(p->s->queue, ffl_candidate_t, i).job;
		ffl_policy_input_t r = ffl_queue_rank(p, job);
		uint64_t worth = p->s->policy->reservation_priority(&r, job);

		if (worth <= most || !ffl_sched_job_waiting(p->s, job) ||
		    job->wait.kind == FFL_WAIT_PREEMPTION ||
		    ffl_queue_over_quota(p, job))
			continue;
		most = worth;
		best = job;
	}
	return best;
}
