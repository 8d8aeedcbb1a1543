/**
 * @file cell_check.c
 * @brief Conservative check that all guaranteed shapes of a cell fit at once.
 *
 * Greedy bin packing: shapes wider than a worker take whole adjacent workers,
 * others the fullest worker that still has room (best fit). A result of 0 unmet
 * shapes is proof that they fit; an unmet shape might still be placed by an
 * exhaustive search.
 */
#include <stdlib.h>
#include <string.h>

#include "lib/host/plan_int.h"

/** Capacity of one worker, in accelerators. */
typedef struct {
	uint32_t rack;
	uint32_t position;
	uint32_t total;
	uint32_t free;
} bin_t;

/** Guaranteed shapes of one size. */
typedef struct {
	uint32_t accelerators;
	uint32_t count;
	ffl_adjacency_t adjacency;
} shapes_t;

static bool drained_after(const ffl_host_t *h, const ffl_worker_t *w,
			  const ffl_intent_t *change);
static GArray *list_bins(const ffl_host_t *h, const char *dc,
			 const ffl_intent_t *change, uint32_t *capacity);
static GArray *list_shapes(const ffl_host_t *h, const char *dc,
			   const ffl_intent_t *change);
static void add_shapes(GArray *shapes, uint32_t accelerators, uint32_t count,
		       ffl_adjacency_t adjacency);
static gint compare_shapes(gconstpointer a, gconstpointer b);
static bool bins_adjacent(const bin_t *a, const bin_t *b, ffl_adjacency_t adj);
static bool place_in_worker(GArray *bins, uint32_t accelerators);
static bool place_across_workers(GArray *bins, uint32_t accelerators,
				 ffl_adjacency_t adjacency);

static bool drained_after(const ffl_host_t *h, const ffl_worker_t *w,
			  const ffl_intent_t *change)
{
	if (change && change->kind == FFL_INTENT_DRAIN &&
	    strcmp(change->name, w->info.name) == 0)
		return !change->remove;
	return ffl_config_host_drained(&h->config, w->info.name);
}

static GArray *list_bins(const ffl_host_t *h, const char *dc,
			 const ffl_intent_t *change, uint32_t *capacity)
{
	GArray *bins = g_array_new(FALSE, TRUE, sizeof(bin_t));

	*capacity = 0;
	for (uint32_t i = 0; i < ffl_fleet_count(&h->fleet); i++) {
		const ffl_worker_t *w = ffl_fleet_at(&h->fleet, i);
		bin_t b = { .rack = w->info.rack,
			    .position = w->info.position,
			    .total = w->info.accelerators,
			    .free = w->info.accelerators };

		if (strcmp(w->info.dc, dc) != 0 || !w->listed ||
		    w->info.leaving || drained_after(h, w, change))
			continue;
		*capacity += b.total;
		g_array_append_val(bins, b);
	}
	return bins;
}

/* Blocks within a worker are aligned, so such a shape occupies a power of two
 * of its accelerators. */
static void add_shapes(GArray *shapes, uint32_t accelerators, uint32_t count,
		       ffl_adjacency_t adjacency)
{
	shapes_t s = { .accelerators = accelerators,
		       .count = count,
		       .adjacency = adjacency };

	if (adjacency == FFL_ADJ_WORKER)
		for (s.accelerators = 1; s.accelerators < accelerators;)
			s.accelerators *= 2;
	g_array_append_val(shapes, s);
}

static GArray *list_shapes(const ffl_host_t *h, const char *dc,
			   const ffl_intent_t *change)
{
	GArray *shapes = g_array_new(FALSE, TRUE, sizeof(shapes_t));

	for (guint i = 0; i < h->config.guarantees->len; i++) {
		const ffl_guarantee_t *g = &g_array_index(h->config.guarantees,
							  ffl_guarantee_t, i);

		if (strcmp(g->dc, dc) != 0)
			continue;
		if (change && change->kind == FFL_INTENT_GUARANTEE &&
		    ffl_config_guarantee(&h->config, change) == g)
			continue;
		add_shapes(shapes, g->accelerators, g->count, g->adjacency);
	}
	if (change && change->kind == FFL_INTENT_GUARANTEE && !change->remove)
		add_shapes(shapes, change->accelerators, change->count,
			   change->adjacency);
	g_array_sort(shapes, compare_shapes);
	return shapes;
}

/* Orders by falling scope of adjacency, then by falling size. */
static gint compare_shapes(gconstpointer pa, gconstpointer pb)
{
	const shapes_t *a = pa;
	const shapes_t *b = pb;

	if (a->adjacency != b->adjacency)
		return (int)b->adjacency - (int)a->adjacency;
	return (int)b->accelerators - (int)a->accelerators;
}

static bool bins_adjacent(const bin_t *a, const bin_t *b, ffl_adjacency_t adj)
{
	if (a->rack == b->rack)
		return b->position == a->position + 1;
	return adj == FFL_ADJ_DC && b->rack == a->rack + 1;
}

static bool place_in_worker(GArray *bins, uint32_t accelerators)
{
	bin_t *best = NULL;

	for (guint i = 0; i < bins->len; i++) {
		bin_t *b = &g_array_index(bins, bin_t, i);

		if (b->free >= accelerators && (!best || b->free < best->free))
			best = b;
	}
	if (!best)
		return false;
	best->free -= accelerators;
	return true;
}

static bool place_across_workers(GArray *bins, uint32_t accelerators,
				 ffl_adjacency_t adjacency)
{
	bin_t *all = (bin_t *)(void *)bins->data;
	uint32_t sum = 0;
	guint start = 0;

	for (guint i = 0; i < bins->len; i++) {
		if (all[i].free < all[i].total ||
		    (sum && !bins_adjacent(&all[i - 1], &all[i], adjacency))) {
			sum = 0;
		}
		if (all[i].free < all[i].total)
			continue;
		if (!sum)
			start = i;
		sum += all[i].free;
		if (sum < accelerators)
			continue;
		for (guint j = start; j <= i; j++)
			all[j].free = 0;
		return true;
	}
	return false;
}

uint32_t ffl_cell_unmet_guarantees(const ffl_host_t *h, const char *dc,
				   const ffl_intent_t *change,
				   uint32_t *capacity)
{
	GArray *bins = list_bins(h, dc, change, capacity);
	GArray *shapes = list_shapes(h, dc, change);
	uint32_t unmet = 0;

	for (guint i = 0; i < shapes->len; i++) {
		const shapes_t *s = &g_array_index(shapes, shapes_t, i);
		uint32_t placed = 0;
		bool fits = true;

		while (fits && placed < s->count) {
			fits = s->adjacency == FFL_ADJ_WORKER
				       ? place_in_worker(bins, s->accelerators)
				       : place_across_workers(bins,
							      s->accelerators,
							      s->adjacency);
			placed += fits;
		}
		unmet += s->count - placed;
	}
	g_array_free(bins, TRUE);
	g_array_free(shapes, TRUE);
	return unmet;
}
