/**
 * @file preempt_order.c
 * @brief Preemption order of jobs and cost of preempting them.
 */
#include <string.h>

#include "lib/gang/sched_int.h"

/** Position of the highest preemption rank in a cost; the bits below hold the
 * accelerator time lost. */
#define RANK_SHIFT 48
#define LOST_MAX   ((1ULL << RANK_SHIFT) - 1)
/** Most work that a checkpointable job loses by a preemption, in ms. */
#define CHECKPOINT_LOSS_MAX_MS 10000
/** A job that has run for less is not moved, in ms. */
#define MOVE_AFTER_MS 60000
/** Ratio of the waiting job's gain to the work lost, above which a job without
 * checkpoints is stopped. */
#define GAIN_MIN 2

static void fill_owner_costs(ffl_pass_t *p, ffl_owner_t *o);
static uint64_t preemption_loss(ffl_pass_t *p, const ffl_space_worker_t *n,
				uint64_t slots, uint32_t limit, uint32_t *rank);

/* Kinds that the order does not name are preempted last, batch work first. */
static const uint32_t rank_of_urgency[FFL_URGENCY__MAX] = {
	[FFL_URGENT] = 3,
	[FFL_NORMAL] = 2,
	[FFL_BATCH] = 1,
};

void ffl_preempt_load_order(ffl_pass_t *p)
{
	ffl_sched_t *s = p->s;
	gchar **names;

	if (s->had_pass && s->order_revision == p->cfg->order_revision)
		return;
	s->order_revision = p->cfg->order_revision;
	g_ptr_array_set_size(s->preemption_order, 0);
	names = g_strsplit_set(p->cfg->order, ", >\t\n", -1);
	for (uint32_t i = 0; names[i]; i++) {
		if (names[i][0])
			g_ptr_array_add(s->preemption_order,
					g_strdup(names[i]));
	}
	g_strfreev(names);
}

uint32_t ffl_preempt_rank(const ffl_sched_t *s, const ffl_job_t *job)
{
	const char *urgency = ffl_urgency_name(job->spec.urgency);
	uint32_t by_urgency = 0;

	for (guint i = 0; i < s->preemption_order->len; i++) {
		const char *name = g_ptr_array_index(s->preemption_order, i);

		if (strcmp(name, job->spec.kind) == 0)
			return i + 1;
		if (!by_urgency && strcmp(name, urgency) == 0)
			by_urgency = i + 1;
	}
	if (by_urgency)
		return by_urgency;
	return s->preemption_order->len + rank_of_urgency[job->spec.urgency];
}

static void fill_owner_costs(ffl_pass_t *p, ffl_owner_t *o)
{
	uint64_t spent_ms = p->now_ms - o->job->since_ms;

	if (o->rank)
		return;
	o->rank = ffl_preempt_rank(p->s, o->job);
	if (o->job->spec.checkpointable && spent_ms > CHECKPOINT_LOSS_MAX_MS)
		spent_ms = CHECKPOINT_LOSS_MAX_MS;
	o->lost_accel_ms = (spent_ms + 1) * o->job->spec.accelerators;
}

/* Only smaller jobs are moved, so that two jobs never move each other. A job
 * without checkpoints is stopped only for one of a higher rank, and only if it
 * loses much less than the waiting job would by waiting. */
bool ffl_preempt_movable(ffl_pass_t *p, ffl_owner_t *o, const ffl_job_t *job)
{
	uint32_t rank = ffl_preempt_rank(p->s, job);

	if (!ffl_job_active(o->job) || o->job->unit ||
	    o->job->spec.accelerators >= job->spec.accelerators ||
	    p->now_ms - o->job->since_ms < MOVE_AFTER_MS)
		return false;
	fill_owner_costs(p, o);
	if (o->job->spec.checkpointable)
		return o->rank <= rank;
	if (o->rank >= rank)
		return false;
	if (!o->end_ms)
		o->end_ms = ffl_expected_end(p, o->job);
	return GAIN_MIN * o->lost_accel_ms <
	       job->spec.accelerators * (o->end_ms - p->now_ms);
}

/* Returns the accelerator time lost by preempting the jobs that hold slots of
 * one worker, each counted once in a search, and raises *rank to their highest;
 * FFL_COST_NONE if one of them may not be preempted. */
static uint64_t preemption_loss(ffl_pass_t *p, const ffl_space_worker_t *n,
				uint64_t slots, uint32_t limit, uint32_t *rank)
{
	uint64_t lost_accel_ms = 0;

	for (uint32_t link = n->owner; link;) {
		ffl_owner_t *o = ffl_owner(p->s->space, link);

		link = o->next;
		if (!(o->slots & slots & n->w->used) || !o->job->part_count ||
		    o->job->search_mark == p->s->search_mark ||
		    o->job->state == FFL_JOB_STOPPING)
			continue;
		fill_owner_costs(p, o);
		if (!ffl_job_active(o->job) || o->job->unit || o->rank >= limit)
			return FFL_COST_NONE;
		o->job->search_mark = p->s->search_mark;
		lost_accel_ms += o->lost_accel_ms;
		*rank = MAX(*rank, o->rank);
	}
	return lost_accel_ms;
}

uint64_t ffl_preempt_cost(ffl_pass_t *p, const ffl_region_t *r, uint32_t limit)
{
	uint64_t total = 1;
	uint32_t rank = 0;

	p->s->search_mark++;
	for (uint32_t i = 0; i < r->count; i++) {
		const ffl_space_worker_t *n =
			ffl_space_worker(p->s->space, r->first + i);
		uint64_t slots = ffl_region_slots(p->s->space, r, i);
		uint64_t lost_accel_ms;

		if (!n->open || (n->pinned & slots) ||
		    (limit != FFL_RANK_ALL && (n->claimed & slots)) ||
		    (n->w->used & slots & ~n->owned))
			return FFL_COST_NONE;
		if (!(n->w->used & slots))
			continue;
		lost_accel_ms = preemption_loss(p, n, slots, limit, &rank);
		if (lost_accel_ms == FFL_COST_NONE)
			return FFL_COST_NONE;
		total += lost_accel_ms + 1;
	}
	return ((uint64_t)rank << RANK_SHIFT) + MIN(total, LOST_MAX);
}
