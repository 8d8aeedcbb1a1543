/**
 * @file place.c
 * @brief Search for the cheapest region of a shape.
 */
#include <string.h>

#include "lib/gang/space.h"

/** A search and the best region that it has found. */
typedef struct {
	const ffl_space_t *sp;
	const ffl_shape_t *shape;
	ffl_cost_fn_t cost;
	void *arg;
	ffl_region_t *best;
	uint64_t best_cost;
} search_t;

static bool worker_fits_shape(const ffl_worker_t *w, const ffl_shape_t *shape);
static bool try_region(search_t *s, const ffl_region_t *r);
static bool search_in_workers(search_t *s);
static bool grow_window(const search_t *s, uint32_t first, ffl_region_t *r);
static void search_windows(search_t *s);

ffl_shape_t ffl_job_shape(const ffl_job_spec_t *spec)
{
	ffl_shape_t shape = { .accelerators = spec->accelerators,
			      .adjacency = spec->adjacency,
			      .cores = spec->cores,
			      .memory_mb = spec->memory_mb };

	return shape;
}

bool ffl_workers_adjacent(const ffl_worker_t *a, const ffl_worker_t *b,
			  ffl_adjacency_t adjacency)
{
	if (a->info.rack == b->info.rack)
		return a->info.position + 1 == b->info.position;
	return adjacency == FFL_ADJ_DC && a->info.rack + 1 == b->info.rack;
}

/* Each accelerator comes with an equal share of its worker's cores and
 * memory. */
static bool worker_fits_shape(const ffl_worker_t *w, const ffl_shape_t *shape)
{
	uint64_t n = w->info.accelerators;

	return n && shape->cores * n <= w->info.cores &&
	       shape->memory_mb * n <= w->info.memory_mb;
}

/* Keeps a region that costs less than the best; returns true if its cost is 0,
 * which ends the search. */
static bool try_region(search_t *s, const ffl_region_t *r)
{
	uint64_t cost = s->cost(s->sp, r, s->arg);

	if (cost >= s->best_cost)
		return false;
	s->best_cost = cost;
	*s->best = *r;
	ffl_copy(s->best->worker, sizeof(s->best->worker),
		 ffl_space_worker(s->sp, r->first)->w->info.name);
	return cost == 0;
}

/* Tries aligned blocks of one worker: each begins at a multiple of the size
 * rounded up to a power of two. */
static bool search_in_workers(search_t *s)
{
	uint32_t size = s->shape->accelerators;
	uint64_t ones =
		size >= FFL_WORKER_SLOTS_MAX ? UINT64_MAX : (1ULL << size) - 1;
	uint32_t step = 1;
	ffl_region_t r = { .count = 1 };

	while (step < size)
		step <<= 1;
	for (uint32_t i = 0; i < s->sp->workers->len; i++) {
		const ffl_space_worker_t *n = ffl_space_worker(s->sp, i);

		if (!worker_fits_shape(n->w, s->shape))
			continue;
		r.first = i;
		for (uint32_t at = 0; at + size <= n->w->info.accelerators;
		     at += step) {
			r.last_slots = ones << at;
			if (try_region(s, &r))
				return true;
		}
	}
	return false;
}

/* Extends a region from its first worker over neighbours until it has enough
 * accelerators; returns false if there are none, or if one worker is enough. */
static bool grow_window(const search_t *s, uint32_t first, ffl_region_t *r)
{
	uint32_t need = s->shape->accelerators;

	r->first = first;
	r->count = 0;
	for (uint32_t i = first; i < s->sp->workers->len; i++) {
		const ffl_worker_t *w = ffl_space_worker(s->sp, i)->w;

		if (r->count == FFL_GANG_MAX || !worker_fits_shape(w, s->shape))
			return false;
		if (r->count &&
		    !ffl_workers_adjacent(ffl_space_worker(s->sp, i - 1)->w, w,
					  s->shape->adjacency))
			return false;
		r->count++;
		if (w->info.accelerators >= need) {
			r->last_slots = need >= FFL_WORKER_SLOTS_MAX
						? UINT64_MAX
						: (1ULL << need) - 1;
			return r->count > 1;
		}
		need -= w->info.accelerators;
	}
	return false;
}

/* Tries regions of several neighbouring workers. */
static void search_windows(search_t *s)
{
	ffl_region_t r = { .count = 0 };

	for (uint32_t i = 0; i < s->sp->workers->len; i++) {
		if (grow_window(s, i, &r) && try_region(s, &r))
			return;
	}
}

uint64_t ffl_region_search(const ffl_space_t *sp, const ffl_shape_t *shape,
			   ffl_cost_fn_t cost, void *arg, ffl_region_t *best)
{
	search_t s = { .sp = sp,
		       .shape = shape,
		       .cost = cost,
		       .arg = arg,
		       .best = best,
		       .best_cost = FFL_COST_NONE };

	if (!shape->accelerators)
		return FFL_COST_NONE;
	if (shape->accelerators <= FFL_WORKER_SLOTS_MAX &&
	    search_in_workers(&s))
		return s.best_cost;
	if (s.best_cost == FFL_COST_NONE && shape->adjacency != FFL_ADJ_WORKER)
		search_windows(&s);
	return s.best_cost;
}
