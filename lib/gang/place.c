#include <string.h>

#include "fireflyledge/gang.h"

static uint64_t block_mask(uint32_t first, uint32_t size);
static bool find_block(const ffl_worker_t *w, uint32_t size, uint64_t *mask);
static bool place_in_worker(const ffl_fleet_t *fleet, const char *dc,
			    uint32_t size, ffl_placement_t *place);
static bool neighbours(const ffl_worker_t *a, const ffl_worker_t *b,
		       ffl_adjacency_t adjacency);
static bool place_across(const ffl_fleet_t *fleet, const char *dc,
			 const ffl_job_spec_t *spec, ffl_placement_t *place);

static uint64_t block_mask(uint32_t first, uint32_t size)
{
	uint64_t ones =
		size >= FFL_WORKER_SLOTS_MAX ? UINT64_MAX : (1ULL << size) - 1;

	return ones << first;
}

/* Finds an aligned block: its start is a multiple of the next power of two. */
static bool find_block(const ffl_worker_t *w, uint32_t size, uint64_t *mask)
{
	uint32_t step = 1;

	while (step < size)
		step <<= 1;
	for (uint32_t i = 0; i + size <= w->info.accelerators; i += step) {
		*mask = block_mask(i, size);
		if (!(*mask & w->used))
			return true;
	}
	return false;
}

/* Best fit: the worker with the fewest free slots that still has a block. */
static bool place_in_worker(const ffl_fleet_t *fleet, const char *dc,
			    uint32_t size, ffl_placement_t *place)
{
	int best_free = FFL_WORKER_SLOTS_MAX + 1;
	uint64_t mask;

	place->count = 0;
	for (uint32_t i = 0; i < ffl_fleet_count(fleet); i++) {
		ffl_worker_t *w = ffl_fleet_at(fleet, i);
		int n = __builtin_popcountll(ffl_worker_slots(w) & ~w->used);

		if (strcmp(w->info.dc, dc) != 0 || !ffl_worker_open(w) ||
		    n >= best_free || !find_block(w, size, &mask))
			continue;
		best_free = n;
		place->blocks[0].worker = w;
		place->blocks[0].slots = mask;
		place->count = 1;
	}
	return place->count == 1;
}

static bool neighbours(const ffl_worker_t *a, const ffl_worker_t *b,
		       ffl_adjacency_t adjacency)
{
	if (a->info.rack == b->info.rack)
		return a->info.position + 1 == b->info.position;
	return adjacency == FFL_ADJ_DC && a->info.rack + 1 == b->info.rack;
}

/* Takes the first run of whole free neighbouring workers. */
static bool place_across(const ffl_fleet_t *fleet, const char *dc,
			 const ffl_job_spec_t *spec, ffl_placement_t *place)
{
	uint32_t have = 0;

	place->count = 0;
	for (uint32_t i = 0; i < ffl_fleet_count(fleet); i++) {
		ffl_worker_t *w = ffl_fleet_at(fleet, i);
		ffl_block_t *last =
			place->count ? &place->blocks[place->count - 1] : NULL;

		if (strcmp(w->info.dc, dc) != 0 || !ffl_worker_open(w) ||
		    w->used || place->count == FFL_GANG_MAX) {
			place->count = 0;
			have = 0;
			continue;
		}
		if (last && !neighbours(last->worker, w, spec->adjacency)) {
			place->count = 0;
			have = 0;
		}
		place->blocks[place->count].worker = w;
		place->blocks[place->count].slots = ffl_worker_slots(w);
		place->count++;
		have += w->info.accelerators;
		if (have >= spec->accelerators)
			return true;
	}
	return false;
}

ffl_status_t ffl_place(const ffl_fleet_t *fleet, const char *dc,
		       const ffl_job_spec_t *spec, ffl_placement_t *place)
{
	bool found = spec->accelerators <= FFL_WORKER_SLOTS_MAX &&
		     place_in_worker(fleet, dc, spec->accelerators, place);

	if (!found && spec->adjacency != FFL_ADJ_WORKER)
		found = place_across(fleet, dc, spec, place);
	return found ? FFL_OK : FFL_NOT_FOUND;
}
