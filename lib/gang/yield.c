#include <string.h>

#include "lib/gang/sched_int.h"

/** Rank of the work that yields last, in the upper bits of a cost. */
#define RANK_SHIFT 48
#define LOST_MAX   ((1ULL << RANK_SHIFT) - 1)
/** Work that a checkpoint saves loses this much, in milliseconds. */
#define CHECKPOINT_LOSS_MS 10000
/** Work that ran for less is not moved, in milliseconds. */
#define MOVE_AFTER_MS 60000
/** Gain over loss at which work without a checkpoint is stopped. */
#define GAIN_MIN 2

static void owner_info(ffl_pass_t *p, ffl_owner_t *o);
static uint64_t add_owners(ffl_pass_t *p, const ffl_node_t *n, uint64_t slots,
			   uint32_t limit, uint32_t *rank);

/* Kinds that the order does not name yield last, batch work first. */
static const uint32_t rank_of_urgency[FFL_URGENCY__MAX] = {
	[FFL_URGENT] = 3,
	[FFL_NORMAL] = 2,
	[FFL_BATCH] = 1,
};

void ffl_yield_load(ffl_pass_t *p)
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

uint32_t ffl_yield_rank(const ffl_sched_t *s, const ffl_job_t *job)
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

static void owner_info(ffl_pass_t *p, ffl_owner_t *o)
{
	uint64_t spent_ms = p->now_ms - o->job->since_ms;

	if (o->rank)
		return;
	o->rank = ffl_yield_rank(p->s, o->job);
	if (o->job->spec.checkpointable && spent_ms > CHECKPOINT_LOSS_MS)
		spent_ms = CHECKPOINT_LOSS_MS;
	o->lost = (spent_ms + 1) * o->job->spec.accelerators;
}

/* Only smaller work moves, so that two jobs never move each other. What has
 * no checkpoint is stopped only by work that yields later, and where it loses
 * much less than the waiting job would. */
bool ffl_yield_movable(ffl_pass_t *p, ffl_owner_t *o, const ffl_job_t *job)
{
	uint32_t rank = ffl_yield_rank(p->s, job);

	if (!ffl_job_active(o->job) || o->job->unit ||
	    o->job->spec.accelerators >= job->spec.accelerators ||
	    p->now_ms - o->job->since_ms < MOVE_AFTER_MS)
		return false;
	owner_info(p, o);
	if (o->job->spec.checkpointable)
		return o->rank <= rank;
	if (o->rank >= rank)
		return false;
	if (!o->end_ms)
		o->end_ms = ffl_expected_end(p, o->job);
	return GAIN_MIN * o->lost <
	       job->spec.accelerators * (o->end_ms - p->now_ms);
}

/* Adds the work lost on one worker; each job counts once. */
static uint64_t add_owners(ffl_pass_t *p, const ffl_node_t *n, uint64_t slots,
			   uint32_t limit, uint32_t *rank)
{
	uint64_t lost = 0;

	for (uint32_t link = n->owner; link;) {
		ffl_owner_t *o = ffl_owner(p->s->space, link);

		link = o->next;
		if (!(o->slots & slots & n->w->used) || !o->job->part_count ||
		    o->job->search_mark == p->s->search_mark ||
		    o->job->state == FFL_JOB_STOPPING)
			continue;
		owner_info(p, o);
		if (!ffl_job_active(o->job) || o->job->unit || o->rank >= limit)
			return FFL_COST_NONE;
		o->job->search_mark = p->s->search_mark;
		lost += o->lost;
		*rank = MAX(*rank, o->rank);
	}
	return lost;
}

uint64_t ffl_yield_cost(ffl_pass_t *p, const ffl_region_t *r, uint32_t limit)
{
	uint64_t total = 1;
	uint32_t rank = 0;

	p->s->search_mark++;
	for (uint32_t i = 0; i < r->count; i++) {
		const ffl_node_t *n = ffl_node(p->s->space, r->first + i);
		uint64_t slots = ffl_region_slots(p->s->space, r, i);
		uint64_t lost;

		if (!n->open || (n->pinned & slots) ||
		    (limit != FFL_RANK_ALL && (n->claimed & slots)) ||
		    (n->w->used & slots & ~n->owned))
			return FFL_COST_NONE;
		if (!(n->w->used & slots))
			continue;
		lost = add_owners(p, n, slots, limit, &rank);
		if (lost == FFL_COST_NONE)
			return FFL_COST_NONE;
		total += lost + 1;
	}
	return ((uint64_t)rank << RANK_SHIFT) + MIN(total, LOST_MAX);
}
