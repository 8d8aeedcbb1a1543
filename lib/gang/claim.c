/**
 * @file claim.c
 * @brief Placement by preemption: searches for victims, claims on their slots.
 */
#include <string.h>

#include "lib/gang/sched_int.h"

/** A search for the cheapest region to free by preemption. */
typedef struct {
	ffl_pass_t *p;
	const ffl_guarantee_unit_t *unit; /**< NULL outside guarantees */
	ffl_job_t *job;
	uint32_t rank_limit;	   /**< lower ranks are preemptible */
	bool displace_empty_units; /**< may use regions of empty units */
} region_query_t;

static uint64_t cost_inside_unit(const ffl_space_t *sp, const ffl_region_t *r,
				 void *arg);
static uint64_t cost_unit_region(const ffl_space_t *sp, const ffl_region_t *r,
				 void *arg);
static uint64_t cost_urgent(const ffl_space_t *sp, const ffl_region_t *r,
			    void *arg);
static bool promised_to_other_unit(const ffl_space_t *sp, const ffl_region_t *r,
				   const region_query_t *q);
static uint64_t search_in_unit(region_query_t *q, ffl_region_t *window,
			       ffl_region_t *region);
static bool same_as_previous_unit(const ffl_witness_t *w, uint32_t i);
static bool assign_to_unit(ffl_pass_t *p, ffl_job_t *job, uint32_t unit,
			   const ffl_region_t *window,
			   const ffl_region_t *region);
static uint64_t find_cheapest_unit(region_query_t *q, uint32_t *unit,
				   ffl_region_t *window, ffl_region_t *region);
static void set_claimed(ffl_space_t *sp, const ffl_region_t *region,
			bool claimed);
static ffl_job_t *next_victim(ffl_pass_t *p, const ffl_claim_t *c);
static bool advance_claim(ffl_pass_t *p, ffl_claim_t *c, ffl_decision_t *out);

/* Cost of a place for the job inside the unit's region. */
static uint64_t cost_inside_unit(const ffl_space_t *sp, const ffl_region_t *r,
				 void *arg)
{
	const region_query_t *q = arg;

	if (!ffl_region_inside(sp, r, &q->unit->region) ||
	    !ffl_region_adjacent(sp, r, q->job->spec.adjacency))
		return FFL_COST_NONE;
	return ffl_preempt_cost(q->p, r, q->rank_limit);
}

/* Returns true if slots of a region are promised to another unit. */
static bool promised_to_other_unit(const ffl_space_t *sp, const ffl_region_t *r,
				   const region_query_t *q)
{
	const ffl_witness_t *w = &q->p->s->witness;
	uint64_t promised = 0;

	for (uint32_t i = 0; i < r->count; i++)
		promised |= ffl_space_worker(sp, r->first + i)->promised &
			    ffl_region_slots(sp, r, i);
	if (!promised)
		return false;
	for (guint i = 0; i < w->units->len; i++) {
		const ffl_guarantee_unit_t *u = ffl_unit(w, i);

		if (u == q->unit || (q->displace_empty_units && !u->held))
			continue;
		if (ffl_regions_overlap(sp, &u->region, r))
			return true;
	}
	return false;
}

/* Cost of a region for a unit without jobs: preemption first, then fit. */
static uint64_t cost_unit_region(const ffl_space_t *sp, const ffl_region_t *r,
				 void *arg)
{
	const region_query_t *q = arg;
	uint64_t cost = ffl_preempt_cost(q->p, r, q->rank_limit);

	if (cost == FFL_COST_NONE ||
	    (q->displace_empty_units && !ffl_region_is_free(sp, r)) ||
	    promised_to_other_unit(sp, r, q))
		return FFL_COST_NONE;
	return (cost << 8) +
	       MIN(q->p->s->policy->placement_cost(sp, r) >> 5, 255);
}

/* A search for the second of two equal empty units would find the same. */
static bool same_as_previous_unit(const ffl_witness_t *w, uint32_t i)
{
	const ffl_guarantee_unit_t *a = ffl_unit(w, i);
	const ffl_guarantee_unit_t *b = i ? ffl_unit(w, i - 1) : NULL;

	return b && !a->held && !b->held && a->region.count &&
	       b->region.count && a->accelerators == b->accelerators &&
	       a->adjacency == b->adjacency &&
	       a->customer_hash == b->customer_hash;
}

/* Finds a region for a unit and a place for the job inside it; returns the
 * cost of the place. */
static uint64_t search_in_unit(region_query_t *q, ffl_region_t *window,
			       ffl_region_t *region)
{
	const ffl_space_t *sp = q->p->s->space;
	ffl_shape_t shape = ffl_job_shape(&q->job->spec);
	ffl_guarantee_unit_t unit = *q->unit;
	region_query_t inner = *q;

	if (!q->unit->held) {
		shape.accelerators = q->unit->accelerators;
		shape.adjacency = q->unit->adjacency;
		if (ffl_region_search(sp, &shape, cost_unit_region, q,
				      window) == FFL_COST_NONE)
			return FFL_COST_NONE;
		unit.region = *window;
		shape = ffl_job_shape(&q->job->spec);
	} else {
		*window = q->unit->region;
	}
	if (!window->count)
		return FFL_COST_NONE;
	inner.unit = &unit;
	return ffl_region_search(sp, &shape, cost_inside_unit, &inner, region);
}

static uint64_t find_cheapest_unit(region_query_t *q, uint32_t *unit,
				   ffl_region_t *window, ffl_region_t *region)
{
	const ffl_witness_t *w = &q->p->s->witness;
	uint64_t best = FFL_COST_NONE;

	for (guint i = 0; i < w->units->len; i++) {
		ffl_region_t try_window;
		ffl_region_t try_region;
		uint64_t cost;

		if (!ffl_unit_has_room(ffl_unit(w, i), q->job) ||
		    same_as_previous_unit(w, i))
			continue;
		q->unit = ffl_unit(w, i);
		cost = search_in_unit(q, &try_window, &try_region);
		if (cost >= best)
			continue;
		best = cost;
		*unit = i;
		*window = try_window;
		*region = try_region;
	}
	return best;
}

static bool assign_to_unit(ffl_pass_t *p, ffl_job_t *job, uint32_t unit,
			   const ffl_region_t *window,
			   const ffl_region_t *region)
{
	ffl_witness_t *w = &p->s->witness;
	uint32_t n = job->spec.accelerators;

	if (ffl_unit(w, unit)->held)
		ffl_witness_pin(w, p->s->space, unit, region, n);
	else if (!ffl_witness_assign_job(w, p->s->space, unit, window, region,
					 n))
		return false;
	job->unit = unit + 1;
	return true;
}

bool ffl_reclaim_search(ffl_pass_t *p, ffl_job_t *job, ffl_region_t *region)
{
	region_query_t q = { .p = p, .job = job, .rank_limit = FFL_RANK_ALL };
	ffl_region_t window = { .count = 0 };
	uint32_t unit = 0;
	uint64_t cost = find_cheapest_unit(&q, &unit, &window, region);
	ffl_region_t free_window;
	ffl_region_t free_region;
	uint32_t free_unit = 0;

	if (cost == FFL_COST_NONE)
		return false;
	if (!ffl_region_is_free(p->s->space, region)) {
		q.displace_empty_units = true;
		if (find_cheapest_unit(&q, &free_unit, &free_window,
				       &free_region) != FFL_COST_NONE &&
		    ffl_region_is_free(p->s->space, &free_region) &&
		    assign_to_unit(p, job, free_unit, &free_window,
				   &free_region)) {
			*region = free_region;
			return true;
		}
	}
	return assign_to_unit(p, job, unit, &window, region);
}

static uint64_t cost_urgent(const ffl_space_t *sp, const ffl_region_t *r,
			    void *arg)
{
	const region_query_t *q = arg;

	return ffl_preempt_cost(q->p, r, q->rank_limit);
}

/* Urgent work preempts other work only up to its customer's share. */
bool ffl_urgent_search(ffl_pass_t *p, ffl_job_t *job, ffl_region_t *region)
{
	ffl_shape_t shape = ffl_job_shape(&job->spec);
	region_query_t q = { .p = p,
			     .job = job,
			     .rank_limit = ffl_preempt_rank(p->s, job) };
	const ffl_share_t *share = ffl_queue_share(p, job);
	uint64_t weights = 0;
	uint64_t cell = p->s->space->accelerators;

	if (!p->s->policy->preempts || job->spec.urgency != FFL_URGENT)
		return false;
	for (guint i = 0; i < p->cfg->customers->len; i++)
		weights += g_array_index(p->cfg->customers, ffl_customer_t, i)
				   .weight;
	if (share->above_guarantees &&
	    (share->above_guarantees + job->spec.accelerators) * weights >
		    cell * share->weight)
		return false;
	return ffl_region_search(p->s->space, &shape, cost_urgent, &q,
				 region) != FFL_COST_NONE;
}

/* Sets or clears the claim on a region's slots. */
static void set_claimed(ffl_space_t *sp, const ffl_region_t *region,
			bool claimed)
{
	for (uint32_t i = 0; i < region->count; i++) {
		ffl_space_worker_t *n = ffl_space_worker(sp, region->first + i);
		uint64_t slots = ffl_region_slots(sp, region, i);

		n->claimed = claimed ? n->claimed | slots : n->claimed & ~slots;
	}
}

/* Work inside a guarantee takes precedence over claims of other work. */
void ffl_claim_drop(ffl_pass_t *p, const ffl_region_t *region)
{
	for (guint i = p->s->claims->len; i-- > 0;) {
		ffl_claim_t *c = &g_array_index(p->s->claims, ffl_claim_t, i);
		ffl_job_t *job = ffl_job_find(p->g, c->job);

		if (!ffl_regions_overlap(p->s->space, &c->region, region))
			continue;
		set_claimed(p->s->space, &c->region, false);
		if (job)
			job->wait.kind = FFL_WAIT_NONE;
		if (i < p->s->next_claim)
			p->s->next_claim--;
		g_array_remove_index(p->s->claims, i);
	}
}

void ffl_claim_add(ffl_pass_t *p, ffl_job_t *job, const ffl_region_t *region)
{
	ffl_claim_t c = { .job = job->id,
			  .region = *region,
			  .since_ms = p->now_ms };

	ffl_claim_drop(p, region);
	set_claimed(p->s->space, region, true);
	job->wait.kind = FFL_WAIT_PREEMPTION;
	g_array_append_val(p->s->claims, c);
}

/* Runs before the units are updated, so that they see valid claims only. */
void ffl_claim_check(ffl_pass_t *p)
{
	for (guint i = p->s->claims->len; i-- > 0;) {
		ffl_claim_t *c = &g_array_index(p->s->claims, ffl_claim_t, i);
		ffl_job_t *job = ffl_job_find(p->g, c->job);

		if (job && ffl_sched_job_waiting(p->s, job) &&
		    ffl_region_resolve(p->s->space, &c->region) &&
		    ffl_region_adjacent(p->s->space, &c->region,
					job->spec.adjacency) &&
		    ffl_region_is_open(p->s->space, &c->region))
			continue;
		if (job && job->state == FFL_JOB_QUEUED) {
			job->unit = 0;
			job->wait.kind = FFL_WAIT_NONE;
		}
		g_array_remove_index(p->s->claims, i);
	}
}

/* Returns a job outside the guarantees that still holds claimed slots. */
static ffl_job_t *next_victim(ffl_pass_t *p, const ffl_claim_t *c)
{
	for (uint32_t i = 0; i < c->region.count; i++) {
		const ffl_space_worker_t *n =
			ffl_space_worker(p->s->space, c->region.first + i);
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

/* Preempts the next job in a claimed region, or starts the claiming job once
 * the region is free; returns false while preempted jobs are stopping. */
static bool advance_claim(ffl_pass_t *p, ffl_claim_t *c, ffl_decision_t *out)
{
	ffl_job_t *job = ffl_job_find(p->g, c->job);
	ffl_job_t *victim = next_victim(p, c);

	if (!job)
		return false;
	if (victim) {
		out->kind = FFL_DECISION_PREEMPT;
		out->job = victim;
		out->for_job = job->id;
		out->why = job->unit ? "its slots are needed for a guarantee"
				     : "preempted for urgent work";
		return true;
	}
	if (!ffl_region_is_free(p->s->space, &c->region))
		return false;
	out->kind = FFL_DECISION_START;
	out->job = job;
	out->for_job = 0;
	out->why = "the region claimed for it is free";
	job->wait.kind = FFL_WAIT_NONE;
	ffl_region_to_placement(p->s->space, &c->region, &out->place);
	return true;
}

bool ffl_claim_next(ffl_pass_t *p, ffl_decision_t *out)
{
	while (p->s->next_claim < p->s->claims->len) {
		ffl_claim_t *c = &g_array_index(p->s->claims, ffl_claim_t,
						p->s->next_claim);

		if (!advance_claim(p, c, out)) {
			p->s->next_claim++;
			continue;
		}
		if (out->kind == FFL_DECISION_START) {
			set_claimed(p->s->space, &c->region, false);
			for (uint32_t i = 0; i < c->region.count; i++)
				ffl_space_add_owner(
					p->s->space, c->region.first + i,
					out->job,
					ffl_region_slots(p->s->space,
							 &c->region, i));
			g_array_remove_index(p->s->claims, p->s->next_claim);
		}
		return true;
	}
	return false;
}
