/**
 * @file witness.c
 * @brief Regions of guarantee units, kept up to date with workers and jobs.
 */
#include <string.h>

#include "lib/gang/witness_int.h"

/** A search for a region around the jobs of one unit. */
typedef struct {
	const ffl_witness_t *w;
	uint32_t unit;
	GArray *job_regions; /**< of ffl_region_t */
	GArray *found; /**< of ffl_region_t; NULL if one region is enough */
	ffl_region_t region;
} enclosing_search_t;

static void pin_job(ffl_witness_t *w, ffl_space_t *sp, ffl_job_t *job);
static void pin_claims(ffl_witness_t *w, ffl_space_t *sp, const ffl_gangs_t *g,
		       const GArray *claims);
static uint64_t cost_enclosing(const ffl_space_t *sp, const ffl_region_t *r,
			       void *arg);
static void add_region(GArray *job_region, const ffl_region_t *r);
static bool region_usable(const ffl_space_t *sp, const ffl_region_t *r);
static void find_held_region(ffl_witness_t *w, ffl_space_t *sp,
			     const ffl_gangs_t *g, const GArray *claims,
			     uint32_t unit);
static void validate_held_units(ffl_witness_t *w, ffl_space_t *sp,
				const ffl_gangs_t *g, const GArray *claims);
static void validate_empty_units(ffl_witness_t *w, ffl_space_t *sp);
static void rebuild_promises(ffl_witness_t *w, ffl_space_t *sp);
static bool join_unit(ffl_witness_t *w, ffl_space_t *sp, ffl_job_t *job,
		      const ffl_region_t *job_region);
static bool same_shape_tried(const ffl_witness_t *w, uint32_t i);
static void promote(ffl_witness_t *w, ffl_space_t *sp, ffl_job_t *job);
static gint compare_ids(gconstpointer a, gconstpointer b);
static void promote_all(ffl_witness_t *w, ffl_space_t *sp, ffl_gangs_t *g);
static bool customer_has_room(const ffl_witness_t *w, uint64_t customer_hash);

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

bool ffl_unit_has_room(const ffl_guarantee_unit_t *u, const ffl_job_t *job)
{
	return u->customer_hash == job->customer_hash &&
	       u->held + job->spec.accelerators <= u->accelerators;
}

void ffl_space_promise(ffl_space_t *sp, const ffl_region_t *region,
		       bool promised)
{
	for (uint32_t i = 0; i < region->count; i++) {
		ffl_space_worker_t *n = ffl_space_worker(sp, region->first + i);
		uint64_t slots = ffl_region_slots(sp, region, i);

		n->promised =
			promised ? n->promised | slots : n->promised & ~slots;
	}
}

void ffl_witness_pin(ffl_witness_t *w, ffl_space_t *sp, uint32_t unit,
		     const ffl_region_t *region, uint32_t accelerators)
{
	for (uint32_t i = 0; i < region->count; i++) {
		ffl_space_worker_t *n = ffl_space_worker(sp, region->first + i);

		n->pinned |= ffl_region_slots(sp, region, i);
		n->promised |= ffl_region_slots(sp, region, i);
	}
	ffl_unit(w, unit)->held += accelerators;
}

/* Pins the slots of a job inside a unit, also if its workers are no longer
 * neighbours. */
static void pin_job(ffl_witness_t *w, ffl_space_t *sp, ffl_job_t *job)
{
	uint32_t index;

	if (!job->unit)
		return;
	if (job->unit > w->units->len || !ffl_job_active(job)) {
		job->unit = 0;
		return;
	}
	for (uint32_t i = 0; i < job->part_count; i++) {
		if (!ffl_space_find(sp, job->parts[i].worker, &index))
			continue;
		ffl_space_worker(sp, index)->pinned |= job->parts[i].slots;
		ffl_space_worker(sp, index)->promised |= job->parts[i].slots;
	}
	ffl_unit(w, job->unit - 1)->held += job->spec.accelerators;
}

/* Marks the claimed slots, and pins those that are claimed inside a unit. */
static void pin_claims(ffl_witness_t *w, ffl_space_t *sp, const ffl_gangs_t *g,
		       const GArray *claims)
{
	for (guint i = 0; claims && i < claims->len; i++) {
		const ffl_claim_t *c = &g_array_index(claims, ffl_claim_t, i);
		const ffl_job_t *job = ffl_gangs_find(g, c->job);

		for (uint32_t n = 0; n < c->region.count; n++)
			ffl_space_worker(sp, c->region.first + n)->claimed |=
				ffl_region_slots(sp, &c->region, n);
		if (job && job->unit)
			ffl_witness_pin(w, sp, job->unit - 1, &c->region,
					job->spec.accelerators);
	}
}

/* Allows regions that contain the jobs of the unit, no slot pinned by others
 * and no slot of a region of another unit with jobs. */
static uint64_t cost_enclosing(const ffl_space_t *sp, const ffl_region_t *r,
			       void *arg)
{
	const enclosing_search_t *a = arg;
	ffl_region_t copy;
	uint64_t other;

	for (guint i = 0; i < a->job_regions->len; i++) {
		const ffl_region_t *job_region =
			&g_array_index(a->job_regions, ffl_region_t, i);

		if (!ffl_region_inside(sp, job_region, r))
			return FFL_COST_NONE;
	}
	for (uint32_t i = 0; i < r->count; i++) {
		const ffl_space_worker_t *n =
			ffl_space_worker(sp, r->first + i);

		other = ffl_region_slots(sp, r, i);
		for (guint k = 0; k < a->job_regions->len; k++)
			other &= ~ffl_region_slots_on(
				sp,
				&g_array_index(a->job_regions, ffl_region_t, k),
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
		 ffl_space_worker(sp, r->first)->w->info.name);
	g_array_append_val(a->found, copy);
	return 1;
}

static void add_region(GArray *job_region, const ffl_region_t *r)
{
	g_array_append_vals(job_region, r, 1);
}

/* Finds a new region for a unit whose workers are no longer neighbours. */
static void find_held_region(ffl_witness_t *w, ffl_space_t *sp,
			     const ffl_gangs_t *g, const GArray *claims,
			     uint32_t unit)
{
	enclosing_search_t a = { .w = w, .unit = unit };
	ffl_guarantee_unit_t *u = ffl_unit(w, unit);
	ffl_shape_t shape = { .accelerators = u->accelerators,
			      .adjacency = u->adjacency };
	ffl_region_t job_region;

	a.job_regions = g_array_new(FALSE, FALSE, sizeof(ffl_region_t));
	for (guint i = 0; i < g->open->len; i++) {
		const ffl_job_t *job = g_array_index(g->open, ffl_job_t *, i);

		if (job->unit == unit + 1 &&
		    ffl_region_of_job(sp, job, &job_region))
			add_region(a.job_regions, &job_region);
	}
	for (guint i = 0; claims && i < claims->len; i++) {
		const ffl_claim_t *c = &g_array_index(claims, ffl_claim_t, i);
		const ffl_job_t *job = ffl_gangs_find(g, c->job);

		if (job && job->unit == unit + 1)
			add_region(a.job_regions, &c->region);
	}
	if (ffl_region_search(sp, &shape, cost_enclosing, &a, &a.region) !=
	    FFL_COST_NONE)
		u->region = a.region;
	g_array_free(a.job_regions, TRUE);
}

/* Returns true if all slots that are not pinned are on open workers. */
static bool region_usable(const ffl_space_t *sp, const ffl_region_t *r)
{
	for (uint32_t i = 0; i < r->count; i++) {
		const ffl_space_worker_t *n =
			ffl_space_worker(sp, r->first + i);

		if (!n->open && (ffl_region_slots(sp, r, i) & ~n->pinned))
			return false;
	}
	return true;
}

/* A unit with jobs keeps its region while that is valid. */
static void validate_held_units(ffl_witness_t *w, ffl_space_t *sp,
				const ffl_gangs_t *g, const GArray *claims)
{
	for (guint i = 0; i < w->units->len; i++) {
		ffl_guarantee_unit_t *u = ffl_unit(w, i);

		if (u->region.count &&
		    (!ffl_region_resolve(sp, &u->region) ||
		     !ffl_region_adjacent(sp, &u->region, u->adjacency) ||
		     !region_usable(sp, &u->region)))
			u->region.count = 0;
	}
	for (guint i = 0; i < w->units->len; i++) {
		if (ffl_unit(w, i)->held && !ffl_unit(w, i)->region.count)
			find_held_region(w, sp, g, claims, i);
		if (ffl_unit(w, i)->held)
			ffl_space_promise(sp, &ffl_unit(w, i)->region, true);
	}
}

/* A unit without jobs keeps its region unless a slot of it is promised. */
static void validate_empty_units(ffl_witness_t *w, ffl_space_t *sp)
{
	for (guint i = 0; i < w->units->len; i++) {
		ffl_guarantee_unit_t *u = ffl_unit(w, i);
		bool clash = false;

		if (u->held || !u->region.count)
			continue;
		for (uint32_t n = 0; n < u->region.count; n++)
			clash = clash ||
				(ffl_space_worker(sp, u->region.first + n)
					 ->promised &
				 ffl_region_slots(sp, &u->region, n));
		if (clash)
			u->region.count = 0;
		else
			ffl_space_promise(sp, &u->region, true);
	}
}

static bool customer_has_room(const ffl_witness_t *w, uint64_t customer_hash)
{
	for (guint i = 0; i < w->units->len; i++) {
		const ffl_guarantee_unit_t *u = ffl_unit(w, i);

		if (u->customer_hash == customer_hash &&
		    u->held < u->accelerators)
			return true;
	}
	return false;
}

/* Recomputes the promised slots: those pinned and those of all regions. */
static void rebuild_promises(ffl_witness_t *w, ffl_space_t *sp)
{
	for (guint i = 0; i < sp->workers->len; i++)
		ffl_space_worker(sp, i)->promised =
			ffl_space_worker(sp, i)->pinned;
	for (guint i = 0; i < w->units->len; i++)
		ffl_space_promise(sp, &ffl_unit(w, i)->region, true);
}

bool ffl_witness_assign_job(ffl_witness_t *w, ffl_space_t *sp, uint32_t unit,
			    const ffl_region_t *region,
			    const ffl_region_t *job_region,
			    uint32_t accelerators)
{
	GArray *before = g_array_copy(w->units);
	uint32_t unmet = w->unmet;

	for (guint i = 0; i < w->units->len; i++) {
		ffl_guarantee_unit_t *u = ffl_unit(w, i);

		if (!u->held && ffl_regions_overlap(sp, &u->region, region))
			u->region.count = 0;
	}
	ffl_unit(w, unit)->region = *region;
	ffl_witness_pin(w, sp, unit, job_region, accelerators);
	rebuild_promises(w, sp);
	if (ffl_witness_solve(w, sp) || w->unmet <= unmet) {
		g_array_free(before, TRUE);
		return true;
	}
	g_array_free(w->units, TRUE);
	w->units = before;
	w->unmet = unmet;
	for (uint32_t i = 0; i < job_region->count; i++)
		ffl_space_worker(sp, job_region->first + i)->pinned &=
			~ffl_region_slots(sp, job_region, i);
	rebuild_promises(w, sp);
	return false;
}

/* Puts a job that runs inside a unit's region inside the unit, if it has
 * room. */
static bool join_unit(ffl_witness_t *w, ffl_space_t *sp, ffl_job_t *job,
		      const ffl_region_t *job_region)
{
	for (guint i = 0; i < w->units->len; i++) {
		const ffl_guarantee_unit_t *u = ffl_unit(w, i);

		if (!ffl_unit_has_room(u, job) || !u->region.count ||
		    !ffl_region_inside(sp, job_region, &u->region))
			continue;
		ffl_witness_pin(w, sp, i, job_region, job->spec.accelerators);
		job->unit = i + 1;
		return true;
	}
	return false;
}

/* Returns true if the unit before has the same shape and was tried already. */
static bool same_shape_tried(const ffl_witness_t *w, uint32_t i)
{
	return i && ffl_unit_same_shape(ffl_unit(w, i), ffl_unit(w, i - 1)) &&
	       !ffl_unit(w, i - 1)->held;
}

/* Puts a running job inside an empty unit of its customer and moves the unit's
 * region to the job, unless that would leave a guarantee without a region. */
static void promote(ffl_witness_t *w, ffl_space_t *sp, ffl_job_t *job)
{
	enclosing_search_t a = { .w = w };
	ffl_region_t job_region;

	if (!ffl_region_of_job(sp, job, &job_region) ||
	    join_unit(w, sp, job, &job_region))
		return;
	a.job_regions = g_array_new(FALSE, FALSE, sizeof(ffl_region_t));
	a.found = g_array_new(FALSE, FALSE, sizeof(ffl_region_t));
	add_region(a.job_regions, &job_region);
	for (guint i = 0; !job->unit && i < w->units->len; i++) {
		const ffl_guarantee_unit_t *u = ffl_unit(w, i);
		ffl_shape_t shape = { .accelerators = u->accelerators,
				      .adjacency = u->adjacency };

		a.unit = i;
		if (u->held || !ffl_unit_has_room(u, job) ||
		    same_shape_tried(w, i))
			continue;
		g_array_set_size(a.found, 0);
		ffl_region_search(sp, &shape, cost_enclosing, &a, &a.region);
		for (guint k = 0; !job->unit && k < a.found->len; k++) {
			a.region = g_array_index(a.found, ffl_region_t, k);
			if (ffl_witness_assign_job(w, sp, i, &a.region,
						   &job_region,
						   job->spec.accelerators))
				job->unit = i + 1;
		}
	}
	g_array_free(a.found, TRUE);
	g_array_free(a.job_regions, TRUE);
}

static gint compare_ids(gconstpointer pa, gconstpointer pb)
{
	const ffl_job_t *a = *(ffl_job_t *const *)pa;
	const ffl_job_t *b = *(ffl_job_t *const *)pb;

	return (a->id > b->id) - (a->id < b->id);
}

/* Puts running jobs inside their customers' guarantees, the oldest first. */
static void promote_all(ffl_witness_t *w, ffl_space_t *sp, ffl_gangs_t *g)
{
	GArray *jobs;

	if (!w->units->len)
		return;
	jobs = g_array_new(FALSE, FALSE, sizeof(ffl_job_t *));
	for (guint i = 0; i < g->open->len; i++) {
		ffl_job_t *job = g_array_index(g->open, ffl_job_t *, i);

		if (!job->unit && ffl_job_active(job) &&
		    customer_has_room(w, job->customer_hash))
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
	validate_held_units(w, sp, g, claims);
	validate_empty_units(w, sp);
	ffl_witness_solve(w, sp);
	promote_all(w, sp, g);
}
