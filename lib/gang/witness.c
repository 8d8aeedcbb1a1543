#include <string.h>

#include "lib/gang/witness_int.h"

/** A search for a region around the jobs of one unit. */
typedef struct {
	const ffl_witness_t *w;
	uint32_t unit;
	GArray *own;   /**< of ffl_region_t: the jobs' */
	GArray *found; /**< of ffl_region_t, or NULL where one is enough */
	ffl_region_t region;
} around_t;

static void pin_job(ffl_witness_t *w, ffl_space_t *sp, ffl_job_t *job);
static void pin_claims(ffl_witness_t *w, ffl_space_t *sp, const ffl_gangs_t *g,
		       const GArray *claims);
static uint64_t cost_around(const ffl_space_t *sp, const ffl_region_t *r,
			    void *arg);
static void add_region(GArray *own, const ffl_region_t *r);
static bool reclaimable(const ffl_space_t *sp, const ffl_region_t *r);
static void refit_held(ffl_witness_t *w, ffl_space_t *sp, const ffl_gangs_t *g,
		       const GArray *claims, uint32_t unit);
static void keep_held(ffl_witness_t *w, ffl_space_t *sp, const ffl_gangs_t *g,
		      const GArray *claims);
static void keep_empty(ffl_witness_t *w, ffl_space_t *sp);
static void promise_all(ffl_witness_t *w, ffl_space_t *sp);
static bool join_unit(ffl_witness_t *w, ffl_space_t *sp, ffl_job_t *job,
		      const ffl_region_t *own);
static bool tried_before(const ffl_witness_t *w, uint32_t i);
static void promote(ffl_witness_t *w, ffl_space_t *sp, ffl_job_t *job);
static gint compare_ids(gconstpointer a, gconstpointer b);
static void promote_all(ffl_witness_t *w, ffl_space_t *sp, ffl_gangs_t *g);
static bool takes_more(const ffl_witness_t *w, uint64_t customer_hash);

void ffl_witness_init(ffl_witness_t *w)
{
	memset(w, 0, sizeof(*w));
	w->units = g_array_new(FALSE, TRUE, sizeof(ffl_guarantee_unit_t));
}

void ffl_witness_finish(ffl_witness_t *w)
{
	g_array_free(w->units, TRUE);
}

bool ffl_job_active(const ffl_job_t *job)
{
	return job->part_count && (job->state == FFL_JOB_HOLDING ||
				   job->state == FFL_JOB_STARTING ||
				   job->state == FFL_JOB_RUNNING);
}

bool ffl_unit_takes(const ffl_guarantee_unit_t *u, const ffl_job_t *job)
{
	return u->customer_hash == job->customer_hash &&
	       u->held + job->spec.accelerators <= u->accelerators;
}

void ffl_space_promise(ffl_space_t *sp, const ffl_region_t *at, bool promised)
{
	for (uint32_t i = 0; i < at->count; i++) {
		ffl_node_t *n = ffl_node(sp, at->first + i);
		uint64_t slots = ffl_region_slots(sp, at, i);

		n->promised =
			promised ? n->promised | slots : n->promised & ~slots;
	}
}

void ffl_witness_pin(ffl_witness_t *w, ffl_space_t *sp, uint32_t unit,
		     const ffl_region_t *at, uint32_t accelerators)
{
	for (uint32_t i = 0; i < at->count; i++) {
		ffl_node_t *n = ffl_node(sp, at->first + i);

		n->pinned |= ffl_region_slots(sp, at, i);
		n->promised |= ffl_region_slots(sp, at, i);
	}
	ffl_unit(w, unit)->held += accelerators;
}

/* Pins what a job holds, also where its workers are no longer a run. */
static void pin_job(ffl_witness_t *w, ffl_space_t *sp, ffl_job_t *job)
{
	uint32_t node;

	if (!job->unit)
		return;
	if (job->unit > w->units->len || !ffl_job_active(job)) {
		job->unit = 0;
		return;
	}
	for (uint32_t i = 0; i < job->part_count; i++) {
		if (!ffl_space_find(sp, job->parts[i].worker, &node))
			continue;
		ffl_node(sp, node)->pinned |= job->parts[i].slots;
		ffl_node(sp, node)->promised |= job->parts[i].slots;
	}
	ffl_unit(w, job->unit - 1)->held += job->spec.accelerators;
}

static void pin_claims(ffl_witness_t *w, ffl_space_t *sp, const ffl_gangs_t *g,
		       const GArray *claims)
{
	for (guint i = 0; claims && i < claims->len; i++) {
		const ffl_claim_t *c = &g_array_index(claims, ffl_claim_t, i);
		const ffl_job_t *job = ffl_gangs_find(g, c->job);

		for (uint32_t n = 0; n < c->region.count; n++)
			ffl_node(sp, c->region.first + n)->claimed |=
				ffl_region_slots(sp, &c->region, n);
		if (job && job->unit)
			ffl_witness_pin(w, sp, job->unit - 1, &c->region,
					job->spec.accelerators);
	}
}

/* Allows regions around the jobs that touch no other work in a guarantee. */
static uint64_t cost_around(const ffl_space_t *sp, const ffl_region_t *r,
			    void *arg)
{
	const around_t *a = arg;
	ffl_region_t copy;
	uint64_t other;

	for (guint i = 0; i < a->own->len; i++) {
		const ffl_region_t *own =
			&g_array_index(a->own, ffl_region_t, i);

		if (!ffl_region_inside(sp, own, r))
			return FFL_COST_NONE;
	}
	for (uint32_t i = 0; i < r->count; i++) {
		const ffl_node_t *n = ffl_node(sp, r->first + i);

		other = ffl_region_slots(sp, r, i);
		for (guint k = 0; k < a->own->len; k++)
			other &= ~ffl_region_on(
				sp, &g_array_index(a->own, ffl_region_t, k),
				r->first + i);
		if (other && (!n->open || (n->pinned & other)))
			return FFL_COST_NONE;
	}
	for (guint i = 0; i < a->w->units->len; i++) {
		const ffl_guarantee_unit_t *u = ffl_unit(a->w, i);

		if (i != a->unit && u->held &&
		    ffl_regions_overlap(sp, &u->region, r))
			return FFL_COST_NONE;
	}
	if (!a->found)
		return 0;
	copy = *r;
	ffl_copy(copy.worker, sizeof(copy.worker),
		 ffl_node(sp, r->first)->w->info.name);
	g_array_append_val(a->found, copy);
	return 1;
}

static void add_region(GArray *own, const ffl_region_t *r)
{
	g_array_append_vals(own, r, 1);
}

/* Finds a new region for a unit whose workers are no longer neighbours. */
static void refit_held(ffl_witness_t *w, ffl_space_t *sp, const ffl_gangs_t *g,
		       const GArray *claims, uint32_t unit)
{
	around_t a = { .w = w, .unit = unit };
	ffl_guarantee_unit_t *u = ffl_unit(w, unit);
	ffl_shape_t shape = { .accelerators = u->accelerators,
			      .adjacency = u->adjacency };
	ffl_region_t own;

	a.own = g_array_new(FALSE, FALSE, sizeof(ffl_region_t));
	for (guint i = 0; i < g->open->len; i++) {
		const ffl_job_t *job = g_array_index(g->open, ffl_job_t *, i);

		if (job->unit == unit + 1 && ffl_region_of_job(sp, job, &own))
			add_region(a.own, &own);
	}
	for (guint i = 0; claims && i < claims->len; i++) {
		const ffl_claim_t *c = &g_array_index(claims, ffl_claim_t, i);
		const ffl_job_t *job = ffl_gangs_find(g, c->job);

		if (job && job->unit == unit + 1)
			add_region(a.own, &c->region);
	}
	if (ffl_region_search(sp, &shape, cost_around, &a, &a.region) !=
	    FFL_COST_NONE)
		u->region = a.region;
	g_array_free(a.own, TRUE);
}

/* Tells whether all that is not held inside a guarantee is on open workers. */
static bool reclaimable(const ffl_space_t *sp, const ffl_region_t *r)
{
	for (uint32_t i = 0; i < r->count; i++) {
		const ffl_node_t *n = ffl_node(sp, r->first + i);

		if (!n->open && (ffl_region_slots(sp, r, i) & ~n->pinned))
			return false;
	}
	return true;
}

/* A unit with jobs inside keeps its region while it can. */
static void keep_held(ffl_witness_t *w, ffl_space_t *sp, const ffl_gangs_t *g,
		      const GArray *claims)
{
	for (guint i = 0; i < w->units->len; i++) {
		ffl_guarantee_unit_t *u = ffl_unit(w, i);

		if (u->region.count &&
		    (!ffl_region_of_names(sp, &u->region) ||
		     !ffl_region_adjacent(sp, &u->region, u->adjacency) ||
		     !reclaimable(sp, &u->region)))
			u->region.count = 0;
	}
	for (guint i = 0; i < w->units->len; i++) {
		if (ffl_unit(w, i)->held && !ffl_unit(w, i)->region.count)
			refit_held(w, sp, g, claims, i);
		if (ffl_unit(w, i)->held)
			ffl_space_promise(sp, &ffl_unit(w, i)->region, true);
	}
}

static void keep_empty(ffl_witness_t *w, ffl_space_t *sp)
{
	for (guint i = 0; i < w->units->len; i++) {
		ffl_guarantee_unit_t *u = ffl_unit(w, i);
		bool clash = false;

		if (u->held || !u->region.count)
			continue;
		for (uint32_t n = 0; n < u->region.count; n++)
			clash = clash ||
				(ffl_node(sp, u->region.first + n)->promised &
				 ffl_region_slots(sp, &u->region, n));
		if (clash)
			u->region.count = 0;
		else
			ffl_space_promise(sp, &u->region, true);
	}
}

static bool takes_more(const ffl_witness_t *w, uint64_t customer_hash)
{
	for (guint i = 0; i < w->units->len; i++) {
		const ffl_guarantee_unit_t *u = ffl_unit(w, i);

		if (u->customer_hash == customer_hash &&
		    u->held < u->accelerators)
			return true;
	}
	return false;
}

/* Recomputes what is promised from what is pinned and the units' regions. */
static void promise_all(ffl_witness_t *w, ffl_space_t *sp)
{
	for (guint i = 0; i < sp->nodes->len; i++)
		ffl_node(sp, i)->promised = ffl_node(sp, i)->pinned;
	for (guint i = 0; i < w->units->len; i++)
		ffl_space_promise(sp, &ffl_unit(w, i)->region, true);
}

bool ffl_witness_take(ffl_witness_t *w, ffl_space_t *sp, uint32_t unit,
		      const ffl_region_t *at, const ffl_region_t *own,
		      uint32_t accelerators)
{
	GArray *before = g_array_copy(w->units);
	uint32_t unmet = w->unmet;

	for (guint i = 0; i < w->units->len; i++) {
		ffl_guarantee_unit_t *u = ffl_unit(w, i);

		if (!u->held && ffl_regions_overlap(sp, &u->region, at))
			u->region.count = 0;
	}
	ffl_unit(w, unit)->region = *at;
	ffl_witness_pin(w, sp, unit, own, accelerators);
	promise_all(w, sp);
	if (ffl_witness_solve(w, sp) || w->unmet <= unmet) {
		g_array_free(before, TRUE);
		return true;
	}
	g_array_free(w->units, TRUE);
	w->units = before;
	w->unmet = unmet;
	for (uint32_t i = 0; i < own->count; i++)
		ffl_node(sp, own->first + i)->pinned &=
			~ffl_region_slots(sp, own, i);
	promise_all(w, sp);
	return false;
}

/* A job that runs inside a unit's region belongs to the guarantee. */
static bool join_unit(ffl_witness_t *w, ffl_space_t *sp, ffl_job_t *job,
		      const ffl_region_t *own)
{
	for (guint i = 0; i < w->units->len; i++) {
		const ffl_guarantee_unit_t *u = ffl_unit(w, i);

		if (!ffl_unit_takes(u, job) || !u->region.count ||
		    !ffl_region_inside(sp, own, &u->region))
			continue;
		ffl_witness_pin(w, sp, i, own, job->spec.accelerators);
		job->unit = i + 1;
		return true;
	}
	return false;
}

/* Tells whether a unit is like the one before it, which was tried. */
static bool tried_before(const ffl_witness_t *w, uint32_t i)
{
	return i && ffl_unit_same_shape(ffl_unit(w, i), ffl_unit(w, i - 1)) &&
	       !ffl_unit(w, i - 1)->held;
}

static void promote(ffl_witness_t *w, ffl_space_t *sp, ffl_job_t *job)
{
	around_t a = { .w = w };
	ffl_region_t own;

	if (!ffl_region_of_job(sp, job, &own) || join_unit(w, sp, job, &own))
		return;
	a.own = g_array_new(FALSE, FALSE, sizeof(ffl_region_t));
	a.found = g_array_new(FALSE, FALSE, sizeof(ffl_region_t));
	add_region(a.own, &own);
	for (guint i = 0; !job->unit && i < w->units->len; i++) {
		const ffl_guarantee_unit_t *u = ffl_unit(w, i);
		ffl_shape_t shape = { .accelerators = u->accelerators,
				      .adjacency = u->adjacency };

		a.unit = i;
		if (u->held || !ffl_unit_takes(u, job) || tried_before(w, i))
			continue;
		g_array_set_size(a.found, 0);
		ffl_region_search(sp, &shape, cost_around, &a, &a.region);
		for (guint k = 0; !job->unit && k < a.found->len; k++) {
			a.region = g_array_index(a.found, ffl_region_t, k);
			if (ffl_witness_take(w, sp, i, &a.region, &own,
					     job->spec.accelerators))
				job->unit = i + 1;
		}
	}
	g_array_free(a.found, TRUE);
	g_array_free(a.own, TRUE);
}

static gint compare_ids(gconstpointer pa, gconstpointer pb)
{
	const ffl_job_t *a = *(ffl_job_t *const *)pa;
	const ffl_job_t *b = *(ffl_job_t *const *)pb;

	return (a->id > b->id) - (a->id < b->id);
}

/* Takes running work into its customer's guarantee, the oldest first. */
static void promote_all(ffl_witness_t *w, ffl_space_t *sp, ffl_gangs_t *g)
{
	GArray *jobs;

	if (!w->units->len)
		return;
	jobs = g_array_new(FALSE, FALSE, sizeof(ffl_job_t *));
	for (guint i = 0; i < g->open->len; i++) {
		ffl_job_t *job = g_array_index(g->open, ffl_job_t *, i);

		if (!job->unit && ffl_job_active(job) &&
		    takes_more(w, job->customer_hash))
			g_array_append_val(jobs, job);
	}
	g_array_sort(jobs, compare_ids);
	for (guint i = 0; i < jobs->len; i++)
		promote(w, sp, g_array_index(jobs, ffl_job_t *, i));
	g_array_free(jobs, TRUE);
}

void ffl_witness_update(ffl_witness_t *w, ffl_space_t *sp, ffl_gangs_t *g,
			const ffl_config_t *cfg, const char *dc,
			const GArray *claims)
{
	ffl_witness_reload(w, g, cfg, dc);
	for (guint i = 0; i < w->units->len; i++)
		ffl_unit(w, i)->held = 0;
	pin_claims(w, sp, g, claims);
	for (guint i = 0; i < g->open->len; i++) {
		ffl_job_t *job = g_array_index(g->open, ffl_job_t *, i);

		if (job->state != FFL_JOB_QUEUED || job->part_count ||
		    job->wait.kind != FFL_WAIT_PREEMPTION)
			pin_job(w, sp, job);
	}
	keep_held(w, sp, g, claims);
	keep_empty(w, sp);
	ffl_witness_solve(w, sp);
	promote_all(w, sp, g);
}
