/**
 * @file solve.c
 * @brief Search for disjoint regions of all guarantee units of a cell.
 */
#include <string.h>

#include "lib/gang/witness_int.h"

/** Regions tried before the search for a solution is given up. */
#define REGION_TRIES_MAX 2000
/** Cost of a used slot, whose work would have to be preempted. */
#define USED_SLOT_COST 16

/** A search for regions of all units at once. */
typedef struct {
	ffl_witness_t *w;
	ffl_space_t *sp;
	uint32_t *order; /**< units with room, the largest first */
	/** For each, the region that its jobs run in; none without jobs. */
	ffl_region_t *job_regions;
	uint32_t count;
	uint32_t tries;
} solve_t;

/** Candidate regions of a unit. */
typedef struct {
	GArray *regions;		/**< of ffl_region_t */
	const ffl_region_t *job_region; /**< none if the unit has no jobs */
} collect_t;

static uint64_t cost_region(const ffl_space_t *sp, const ffl_region_t *r,
			    void *arg);
static bool region_allowed(const ffl_space_t *sp, const ffl_region_t *r,
			   const ffl_region_t *job_region);
static void clear_promise(ffl_space_t *sp, const ffl_region_t *r);
static uint64_t collect_region(const ffl_space_t *sp, const ffl_region_t *r,
			       void *arg);
static bool place_unit(ffl_witness_t *w, ffl_space_t *sp,
		       ffl_guarantee_unit_t *u);
static gint compare_units(gconstpointer a, gconstpointer b, gpointer data);
static bool place_units_from(solve_t *s, uint32_t at);
static bool solve_by_backtracking(ffl_witness_t *w, ffl_space_t *sp);
static uint32_t count_unmet(const ffl_witness_t *w);
static uint64_t state_hash(const ffl_witness_t *w, const ffl_space_t *sp);
static bool known_unsolvable(const ffl_witness_t *w, const ffl_space_t *sp);

/* Prefers free slots on partly used workers, and racks in order. */
static uint64_t cost_region(const ffl_space_t *sp, const ffl_region_t *r,
			    void *arg)
{
	uint64_t cost = 1;

	for (uint32_t i = 0; i < r->count; i++) {
		const ffl_space_worker_t *n =
			ffl_space_worker(sp, r->first + i);
		uint64_t slots = ffl_region_slots(sp, r, i);

		if (!n->open || (n->promised & slots))
			return FFL_COST_NONE;
		cost += USED_SLOT_COST *
			(uint64_t)__builtin_popcountll(n->w->used & slots);
		cost += !n->w->used + 4 * n->rack;
	}
	return cost;
}

/* Returns true if a region contains all pinned slots of the unit's jobs and
 * its other slots are on open workers and not promised. */
static bool region_allowed(const ffl_space_t *sp, const ffl_region_t *r,
			   const ffl_region_t *job_region)
{
	uint64_t left = 0;

	for (uint32_t i = 0; i < r->count; i++) {
		const ffl_space_worker_t *n =
			ffl_space_worker(sp, r->first + i);
		uint64_t own = n->pinned & ffl_region_slots_on(sp, job_region,
							       r->first + i);
		uint64_t slots = ffl_region_slots(sp, r, i) & ~own;

		if (slots && (!n->open || (n->promised & slots)))
			return false;
	}
	for (uint32_t i = 0; i < job_region->count; i++) {
		uint32_t at = job_region->first + i;

		left |= ffl_space_worker(sp, at)->pinned &
			ffl_region_slots_on(sp, job_region, at) &
			~ffl_region_slots_on(sp, r, at);
	}
	return left == 0;
}

static uint64_t collect_region(const ffl_space_t *sp, const ffl_region_t *r,
			       void *arg)
{
	collect_t *c = arg;
	ffl_region_t copy = *r;

	if (!region_allowed(sp, r, c->job_region))
		return FFL_COST_NONE;
	ffl_copy(copy.worker, sizeof(copy.worker),
		 ffl_space_worker(sp, r->first)->w->info.name);
	g_array_append_val(c->regions, copy);
	return 1;
}

/* Clears the promise of a region, except for slots held in a guarantee. */
static void clear_promise(ffl_space_t *sp, const ffl_region_t *r)
{
	ffl_space_promise(sp, r, false);
	for (uint32_t i = 0; i < r->count; i++) {
		ffl_space_worker_t *n = ffl_space_worker(sp, r->first + i);

		n->promised |= n->pinned;
	}
}

/* Gives a unit the cheapest region without promised slots. */
static bool place_unit(ffl_witness_t *w, ffl_space_t *sp,
		       ffl_guarantee_unit_t *u)
{
	ffl_shape_t shape = { .accelerators = u->accelerators,
			      .adjacency = u->adjacency };

	if (ffl_region_search(sp, &shape, cost_region, NULL, &u->region) ==
	    FFL_COST_NONE) {
		u->region.count = 0;
		return false;
	}
	ffl_space_promise(sp, &u->region, true);
	return true;
}

/* Larger shapes first, then the order of the configuration. */
static gint compare_units(gconstpointer pa, gconstpointer pb, gpointer data)
{
	uint32_t a = *(const uint32_t *)pa;
	uint32_t b = *(const uint32_t *)pb;
	const ffl_guarantee_unit_t *ua = ffl_unit(data, a);
	const ffl_guarantee_unit_t *ub = ffl_unit(data, b);

	if (ua->accelerators != ub->accelerators)
		return ua->accelerators < ub->accelerators ? 1 : -1;
	if (ua->adjacency != ub->adjacency)
		return ua->adjacency > ub->adjacency ? 1 : -1;
	return (a > b) - (a < b);
}

/* Places the units from order[at] on, with backtracking. */
static bool place_units_from(solve_t *s, uint32_t at)
{
	collect_t c = { .job_region = NULL };
	ffl_shape_t shape;
	ffl_region_t best;
	ffl_guarantee_unit_t *u;
	bool done = false;

	if (at == s->count)
		return true;
	u = ffl_unit(s->w, s->order[at]);
	shape.accelerators = u->accelerators;
	shape.adjacency = u->adjacency;
	shape.cores = shape.memory_mb = 0;
	c.job_region = &s->job_regions[at];
	c.regions = g_array_new(FALSE, FALSE, sizeof(ffl_region_t));
	ffl_region_search(s->sp, &shape, collect_region, &c, &best);
	for (guint i = 0; !done && i < c.regions->len; i++) {
		if (s->tries++ >= REGION_TRIES_MAX)
			break;
		u->region = g_array_index(c.regions, ffl_region_t, i);
		ffl_space_promise(s->sp, &u->region, true);
		done = place_units_from(s, at + 1);
		if (!done)
			clear_promise(s->sp, &u->region);
	}
	if (!done)
		u->region.count = 0;
	g_array_free(c.regions, TRUE);
	return done;
}

/* Searches new regions for all units that have room, each containing the jobs
 * inside the unit; on failure the old regions are restored. */
static bool solve_by_backtracking(ffl_witness_t *w, ffl_space_t *sp)
{
	GArray *before = g_array_copy(w->units);
	solve_t s = { .w = w, .sp = sp };
	bool done;

	s.order = g_new(uint32_t, w->units->len);
	s.job_regions = g_new0(ffl_region_t, w->units->len);
	for (guint i = 0; i < w->units->len; i++) {
		ffl_guarantee_unit_t *u = ffl_unit(w, i);

		if (u->held >= u->accelerators || (u->held && !u->region.count))
			continue;
		s.order[s.count++] = i;
	}
	g_qsort_with_data(s.order, (gint)s.count, sizeof(*s.order),
			  compare_units, w);
	for (uint32_t i = 0; i < s.count; i++) {
		ffl_guarantee_unit_t *u = ffl_unit(w, s.order[i]);

		if (u->held)
			s.job_regions[i] = u->region;
		clear_promise(sp, &u->region);
		u->region.count = 0;
	}
	done = place_units_from(&s, 0);
	g_free(s.job_regions);
	g_free(s.order);
	if (!done) {
		g_array_free(w->units, TRUE);
		w->units = before;
		for (guint i = 0; i < w->units->len; i++)
			ffl_space_promise(sp, &ffl_unit(w, i)->region, true);
		return false;
	}
	g_array_free(before, TRUE);
	return true;
}

static uint32_t count_unmet(const ffl_witness_t *w)
{
	uint32_t n = 0;

	for (guint i = 0; i < w->units->len; i++)
		n += !ffl_unit(w, i)->region.count;
	return n;
}

/* Hash of everything that decides whether a solution exists. */
static uint64_t state_hash(const ffl_witness_t *w, const ffl_space_t *sp)
{
	uint64_t h = ffl_mix(w->guarantees_hash, w->units->len);

	for (guint i = 0; i < sp->workers->len; i++) {
		const ffl_space_worker_t *n = ffl_space_worker(sp, i);

		h = ffl_mix(h, n->open ? n->pinned : UINT64_MAX);
	}
	for (guint i = 0; i < w->units->len; i++)
		h = ffl_mix(h, ffl_unit(w, i)->held);
	return h;
}

/* A search without success is not repeated before the state changes. */
static bool known_unsolvable(const ffl_witness_t *w, const ffl_space_t *sp)
{
	return w->unsolvable_hash && w->unsolvable_hash == state_hash(w, sp);
}

bool ffl_witness_solve(ffl_witness_t *w, ffl_space_t *sp)
{
	bool missing = false;

	for (guint i = 0; i < w->units->len; i++) {
		ffl_guarantee_unit_t *u = ffl_unit(w, i);

		if (!u->held && !u->region.count && !place_unit(w, sp, u))
			missing = true;
	}
	if (missing && !known_unsolvable(w, sp) &&
	    !solve_by_backtracking(w, sp))
		w->unsolvable_hash = state_hash(w, sp);
	w->unmet = count_unmet(w);
	return w->unmet == 0;
}

ffl_status_t ffl_witness_check(const ffl_fleet_t *fleet,
			       const ffl_config_t *cfg, const char *dc,
			       ffl_findings_t *fs)
{
	uint32_t before = fs->errors;
	const ffl_guarantee_unit_t *last = NULL;
	ffl_gangs_t none = { .open = g_array_new(FALSE, FALSE,
						 sizeof(ffl_job_t *)) };
	ffl_witness_t w;
	ffl_space_t sp;

	ffl_space_init(&sp);
	ffl_witness_init(&w);
	ffl_space_build(&sp, fleet, dc, NULL);
	for (guint i = 0; i < sp.workers->len; i++) {
		ffl_space_worker_t *n = ffl_space_worker(&sp, i);

		n->open = n->w->listed && !n->w->info.leaving &&
			  !ffl_config_host_drained(cfg, n->w->info.name);
	}
	ffl_witness_update(&w, &sp, &none, cfg, dc, NULL);
	for (guint i = 0; i < w.units->len; i++) {
		const ffl_guarantee_unit_t *u = ffl_unit(&w, i);

		if (u->region.count || (last && last->revision == u->revision))
			continue;
		last = u;
		ffl_findings_add(fs, FFL_MSG_GUARANTEE_UNMET, "guarantee", 0, 0,
				 "%s: shapes of %u accelerators in %s, "
				 "confirmed at revision %llu",
				 u->customer, u->accelerators, dc,
				 (unsigned long long)u->revision);
	}
	ffl_witness_finish(&w);
	ffl_space_finish(&sp);
	g_array_free(none.open, TRUE);
	return fs->errors > before ? FFL_INVALID : FFL_OK;
}
