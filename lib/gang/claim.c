#include <string.h>

#include "lib/gang/sched_int.h"

/** A search inside or around a unit's region. */
typedef struct {
	ffl_pass_t *p;
	const ffl_guarantee_unit_t *unit;
	ffl_job_t *job;
	uint32_t limit; /**< ranks below it yield */
	bool displace;	/**< may take regions of units without jobs */
} reclaim_t;

static uint64_t cost_inside(const ffl_space_t *sp, const ffl_region_t *r,
			    void *arg);
static uint64_t cost_window(const ffl_space_t *sp, const ffl_region_t *r,
			    void *arg);
static uint64_t cost_urgent(const ffl_space_t *sp, const ffl_region_t *r,
			    void *arg);
static bool foreign_promise(const ffl_space_t *sp, const ffl_region_t *r,
			    const reclaim_t *q);
static uint64_t search_unit(reclaim_t *q, ffl_region_t *window,
			    ffl_region_t *at);
static bool same_as_before(const ffl_witness_t *w, uint32_t i);
static bool take_unit(ffl_pass_t *p, ffl_job_t *job, uint32_t unit,
		      const ffl_region_t *window, const ffl_region_t *at);
static uint64_t best_unit(reclaim_t *q, uint32_t *unit, ffl_region_t *window,
			  ffl_region_t *at);
static void mark_claim(ffl_space_t *sp, const ffl_region_t *at, bool claimed);
static ffl_job_t *next_victim(ffl_pass_t *p, const ffl_claim_t *c);
static bool claim_step(ffl_pass_t *p, ffl_claim_t *c, ffl_decision_t *out);

/* Places inside a region that the unit holds already. */
static uint64_t cost_inside(const ffl_space_t *sp, const ffl_region_t *r,
			    void *arg)
{
	const reclaim_t *q = arg;

	if (!ffl_region_inside(sp, r, &q->unit->region) ||
	    !ffl_region_adjacent(sp, r, q->job->spec.adjacency))
		return FFL_COST_NONE;
	return ffl_yield_cost(q->p, r, q->limit);
}

/* Tells whether slots are promised to another unit. */
static bool foreign_promise(const ffl_space_t *sp, const ffl_region_t *r,
			    const reclaim_t *q)
{
	const ffl_witness_t *w = &q->p->s->witness;
	uint64_t promised = 0;

	for (uint32_t i = 0; i < r->count; i++)
		promised |= ffl_node(sp, r->first + i)->promised &
			    ffl_region_slots(sp, r, i);
	if (!promised)
		return false;
	for (guint i = 0; i < w->units->len; i++) {
		const ffl_guarantee_unit_t *u = ffl_unit(w, i);

		if (u == q->unit || (q->displace && !u->held))
			continue;
		if (ffl_regions_overlap(sp, &u->region, r))
			return true;
	}
	return false;
}

/* Regions that a unit without jobs could have. */
static uint64_t cost_window(const ffl_space_t *sp, const ffl_region_t *r,
			    void *arg)
{
	const reclaim_t *q = arg;
	uint64_t cost = ffl_yield_cost(q->p, r, q->limit);

	if (cost == FFL_COST_NONE || (q->displace && !ffl_region_free(sp, r)) ||
	    foreign_promise(sp, r, q))
		return FFL_COST_NONE;
	return (cost << 8) + MIN(q->p->s->policy->fit(sp, r) >> 5, 255);
}

static bool same_as_before(const ffl_witness_t *w, uint32_t i)
{
	const ffl_guarantee_unit_t *a = ffl_unit(w, i);
	const ffl_guarantee_unit_t *b = i ? ffl_unit(w, i - 1) : NULL;

	return b && !a->held && !b->held && a->region.count &&
	       b->region.count && a->accelerators == b->accelerators &&
	       a->adjacency == b->adjacency &&
	       a->customer_hash == b->customer_hash;
}

/* Finds a region for a unit and the job's place inside; returns the cost. */
static uint64_t search_unit(reclaim_t *q, ffl_region_t *window,
			    ffl_region_t *at)
{
	const ffl_space_t *sp = q->p->s->space;
	ffl_shape_t shape = ffl_job_shape(&q->job->spec);
	ffl_guarantee_unit_t around = *q->unit;
	reclaim_t inner = *q;

	if (!q->unit->held) {
		shape.accelerators = q->unit->accelerators;
		shape.adjacency = q->unit->adjacency;
		if (ffl_region_search(sp, &shape, cost_window, q, window) ==
		    FFL_COST_NONE)
			return FFL_COST_NONE;
		around.region = *window;
		shape = ffl_job_shape(&q->job->spec);
	} else {
		*window = q->unit->region;
	}
	if (!window->count)
		return FFL_COST_NONE;
	inner.unit = &around;
	return ffl_region_search(sp, &shape, cost_inside, &inner, at);
}

static uint64_t best_unit(reclaim_t *q, uint32_t *unit, ffl_region_t *window,
			  ffl_region_t *at)
{
	const ffl_witness_t *w = &q->p->s->witness;
	uint64_t best = FFL_COST_NONE;

	for (guint i = 0; i < w->units->len; i++) {
		ffl_region_t try_window;
		ffl_region_t try_at;
		uint64_t cost;

		if (!ffl_unit_takes(ffl_unit(w, i), q->job) ||
		    same_as_before(w, i))
			continue;
		q->unit = ffl_unit(w, i);
		cost = search_unit(q, &try_window, &try_at);
		if (cost >= best)
			continue;
		best = cost;
		*unit = i;
		*window = try_window;
		*at = try_at;
	}
	return best;
}

static bool take_unit(ffl_pass_t *p, ffl_job_t *job, uint32_t unit,
		      const ffl_region_t *window, const ffl_region_t *at)
{
	ffl_witness_t *w = &p->s->witness;
	uint32_t n = job->spec.accelerators;

	if (ffl_unit(w, unit)->held)
		ffl_witness_pin(w, p->s->space, unit, at, n);
	else if (!ffl_witness_take(w, p->s->space, unit, window, at, n))
		return false;
	job->unit = unit + 1;
	return true;
}

bool ffl_reclaim_search(ffl_pass_t *p, ffl_job_t *job, ffl_region_t *at)
{
	reclaim_t q = { .p = p, .job = job, .limit = FFL_RANK_ALL };
	ffl_region_t window = { .count = 0 };
	uint32_t unit = 0;
	uint64_t cost = best_unit(&q, &unit, &window, at);
	ffl_region_t free_window;
	ffl_region_t free_at;
	uint32_t free_unit = 0;

	if (cost == FFL_COST_NONE)
		return false;
	if (!ffl_region_free(p->s->space, at)) {
		q.displace = true;
		if (best_unit(&q, &free_unit, &free_window, &free_at) !=
			    FFL_COST_NONE &&
		    ffl_region_free(p->s->space, &free_at) &&
		    take_unit(p, job, free_unit, &free_window, &free_at)) {
			*at = free_at;
			return true;
		}
	}
	return take_unit(p, job, unit, &window, at);
}

static uint64_t cost_urgent(const ffl_space_t *sp, const ffl_region_t *r,
			    void *arg)
{
	const reclaim_t *q = arg;

	return ffl_yield_cost(q->p, r, q->limit);
}

/* Urgent work stops other work only up to its customer's share. */
bool ffl_urgent_search(ffl_pass_t *p, ffl_job_t *job, ffl_region_t *at)
{
	ffl_shape_t shape = ffl_job_shape(&job->spec);
	reclaim_t q = { .p = p,
			.job = job,
			.limit = ffl_yield_rank(p->s, job) };
	const ffl_share_t *share = ffl_queue_share(p, job);
	uint64_t weights = 0;
	uint64_t cell = p->s->space->accelerators;

	if (!p->s->policy->preempts || job->spec.urgency != FFL_URGENT)
		return false;
	for (guint i = 0; i < p->cfg->customers->len; i++)
		weights += g_array_index(p->cfg->customers, ffl_customer_t, i)
				   .weight;
	if (share->above && (share->above + job->spec.accelerators) * weights >
				    cell * share->weight)
		return false;
	return ffl_region_search(p->s->space, &shape, cost_urgent, &q, at) !=
	       FFL_COST_NONE;
}

/* Sets or clears the claim of a region's slots. */
static void mark_claim(ffl_space_t *sp, const ffl_region_t *at, bool claimed)
{
	for (uint32_t i = 0; i < at->count; i++) {
		ffl_node_t *n = ffl_node(sp, at->first + i);
		uint64_t slots = ffl_region_slots(sp, at, i);

		n->claimed = claimed ? n->claimed | slots : n->claimed & ~slots;
	}
}

/* Work inside a guarantee goes before claims of other work. */
void ffl_claim_drop(ffl_pass_t *p, const ffl_region_t *at)
{
	for (guint i = p->s->claims->len; i-- > 0;) {
		ffl_claim_t *c = &g_array_index(p->s->claims, ffl_claim_t, i);
		ffl_job_t *job = ffl_job_find(p->g, c->job);

		if (!ffl_regions_overlap(p->s->space, &c->region, at))
			continue;
		mark_claim(p->s->space, &c->region, false);
		if (job)
			job->wait.kind = FFL_WAIT_NONE;
		if (i < p->s->next_claim)
			p->s->next_claim--;
		g_array_remove_index(p->s->claims, i);
	}
}

void ffl_claim_add(ffl_pass_t *p, ffl_job_t *job, const ffl_region_t *at)
{
	ffl_claim_t c = { .job = job->id,
			  .region = *at,
			  .since_ms = p->now_ms };

	ffl_claim_drop(p, at);
	mark_claim(p->s->space, at, true);
	job->wait.kind = FFL_WAIT_PREEMPTION;
	g_array_append_val(p->s->claims, c);
}

/* Runs before the units are read: drops what cannot be kept. */
void ffl_claim_check(ffl_pass_t *p)
{
	for (guint i = p->s->claims->len; i-- > 0;) {
		ffl_claim_t *c = &g_array_index(p->s->claims, ffl_claim_t, i);
		ffl_job_t *job = ffl_job_find(p->g, c->job);

		if (job && ffl_sched_waiting(p->s, job) &&
		    ffl_region_of_names(p->s->space, &c->region) &&
		    ffl_region_adjacent(p->s->space, &c->region,
					job->spec.adjacency) &&
		    ffl_region_open(p->s->space, &c->region))
			continue;
		if (job && job->state == FFL_JOB_QUEUED) {
			job->unit = 0;
			job->wait.kind = FFL_WAIT_NONE;
		}
		g_array_remove_index(p->s->claims, i);
	}
}

static ffl_job_t *next_victim(ffl_pass_t *p, const ffl_claim_t *c)
{
	for (uint32_t i = 0; i < c->region.count; i++) {
		const ffl_node_t *n =
			ffl_node(p->s->space, c->region.first + i);
		uint64_t slots = ffl_region_slots(p->s->space, &c->region, i) &
				 n->w->used;

		for (uint32_t link = n->owner; link;) {
			const ffl_owner_t *o = ffl_owner(p->s->space, link);

			link = o->next;
			if ((o->slots & slots) && ffl_job_active(o->job) &&
			    !o->job->unit)
				return o->job;
		}
	}
	return NULL;
}

static bool claim_step(ffl_pass_t *p, ffl_claim_t *c, ffl_decision_t *out)
{
	ffl_job_t *job = ffl_job_find(p->g, c->job);
	ffl_job_t *victim = next_victim(p, c);

	if (!job)
		return false;
	if (victim) {
		out->kind = FFL_DECISION_PREEMPT;
		out->job = victim;
		out->for_job = job->id;
		out->why = job->unit ? "its slots are guaranteed to another"
				     : "urgent work needs its slots";
		return true;
	}
	if (!ffl_region_free(p->s->space, &c->region))
		return false;
	out->kind = FFL_DECISION_START;
	out->job = job;
	out->for_job = 0;
	out->why = "the slots kept for it are free";
	job->wait.kind = FFL_WAIT_NONE;
	ffl_region_place(p->s->space, &c->region, &out->place);
	return true;
}

bool ffl_claim_next(ffl_pass_t *p, ffl_decision_t *out)
{
	while (p->s->next_claim < p->s->claims->len) {
		ffl_claim_t *c = &g_array_index(p->s->claims, ffl_claim_t,
						p->s->next_claim);

		if (!claim_step(p, c, out)) {
			p->s->next_claim++;
			continue;
		}
		if (out->kind == FFL_DECISION_START) {
			mark_claim(p->s->space, &c->region, false);
			for (uint32_t i = 0; i < c->region.count; i++)
				ffl_space_own(p->s->space, c->region.first + i,
					      out->job,
					      ffl_region_slots(p->s->space,
							       &c->region, i));
			g_array_remove_index(p->s->claims, p->s->next_claim);
		}
		return true;
	}
	return false;
}
