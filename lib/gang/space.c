/**
 * @file space.c
 * @brief The workers of one cell in order, and regions of their slots.
 */
#include <string.h>

#include "lib/gang/space.h"

static void index_workers(ffl_space_t *sp, const ffl_fleet_t *fleet,
			  const char *dc);
static void add_owners(ffl_space_t *sp, ffl_job_t *job);

void ffl_space_init(ffl_space_t *sp)
{
	memset(sp, 0, sizeof(*sp));
	sp->workers = g_array_new(FALSE, TRUE, sizeof(ffl_space_worker_t));
	sp->owners = g_array_new(FALSE, TRUE, sizeof(ffl_owner_t));
	sp->index = g_hash_table_new(g_str_hash, g_str_equal);
	sp->list_version = UINT64_MAX;
}

void ffl_space_finish(ffl_space_t *sp)
{
	g_hash_table_destroy(sp->index);
	g_array_free(sp->owners, TRUE);
	g_array_free(sp->workers, TRUE);
}

static void index_workers(ffl_space_t *sp, const ffl_fleet_t *fleet,
			  const char *dc)
{
	g_array_set_size(sp->workers, 0);
	g_hash_table_remove_all(sp->index);
	for (uint32_t i = 0; i < ffl_fleet_count(fleet); i++) {
		ffl_worker_t *w = ffl_fleet_at(fleet, i);
		ffl_space_worker_t n = { .w = w,
					 .all_slots = ffl_worker_slot_mask(w) };

		if (strcmp(w->info.dc, dc) != 0)
			continue;
		n.rack = sp->workers->len;
		if (n.rack && ffl_space_worker(sp, n.rack - 1)->w->info.rack ==
				      w->info.rack)
			n.rack = ffl_space_worker(sp, n.rack - 1)->rack;
		g_array_append_val(sp->workers, n);
		g_hash_table_insert(sp->index, w->info.name,
				    GUINT_TO_POINTER(sp->workers->len));
	}
	sp->list_version = fleet->list_version;
	sp->list_data = fleet->workers->pdata;
}

static void add_owners(ffl_space_t *sp, ffl_job_t *job)
{
	uint32_t index;

	for (uint32_t i = 0; i < job->part_count; i++) {
		if (ffl_space_find(sp, job->parts[i].worker, &index))
			ffl_space_add_owner(sp, index, job,
					    job->parts[i].slots);
	}
}

void ffl_space_build(ffl_space_t *sp, const ffl_fleet_t *fleet, const char *dc,
		     const ffl_gangs_t *g)
{
	if (sp->list_version != fleet->list_version ||
	    sp->list_data != fleet->workers->pdata)
		index_workers(sp, fleet, dc);
	g_array_set_size(sp->owners, 0);
	sp->accelerators = 0;
	for (uint32_t i = 0; i < sp->workers->len; i++) {
		ffl_space_worker_t *n = ffl_space_worker(sp, i);

		n->owned = n->pinned = n->promised = 0;
		n->claimed = n->reserved = 0;
		n->owner = n->idle_workers = 0;
		n->open = ffl_worker_schedulable(n->w);
		if (!n->open)
			continue;
		sp->accelerators += n->w->info.accelerators;
		if (!n->w->used)
			ffl_space_worker(sp, n->rack)->idle_workers++;
	}
	for (guint i = 0; g && i < g->open->len; i++)
		add_owners(sp, g_array_index(g->open, ffl_job_t *, i));
}

bool ffl_space_find(const ffl_space_t *sp, const char *name, uint32_t *index)
{
	guint at = GPOINTER_TO_UINT(g_hash_table_lookup(sp->index, name));

	*index = at - 1;
	return at > 0;
}

void ffl_space_add_owner(ffl_space_t *sp, uint32_t index, ffl_job_t *job,
			 uint64_t slots)
{
	ffl_space_worker_t *n = ffl_space_worker(sp, index);
	ffl_owner_t o = { .job = job, .slots = slots, .next = n->owner };

	g_array_append_val(sp->owners, o);
	n->owner = sp->owners->len;
	n->owned |= slots;
}

uint64_t ffl_region_slots(const ffl_space_t *sp, const ffl_region_t *r,
			  uint32_t n)
{
	return n + 1 == r->count
		       ? r->last_slots
		       : ffl_space_worker(sp, r->first + n)->all_slots;
}

uint64_t ffl_region_slots_on(const ffl_space_t *sp, const ffl_region_t *r,
			     uint32_t index)
{
	if (index < r->first || index >= r->first + r->count)
		return 0;
	return ffl_region_slots(sp, r, index - r->first);
}

uint32_t ffl_region_accelerators(const ffl_space_t *sp, const ffl_region_t *r)
{
	uint32_t total = 0;

	for (uint32_t i = 0; i < r->count; i++)
		total += (uint32_t)__builtin_popcountll(
			ffl_region_slots(sp, r, i));
	return total;
}

bool ffl_region_is_free(const ffl_space_t *sp, const ffl_region_t *r)
{
	for (uint32_t i = 0; i < r->count; i++) {
		if (ffl_space_worker(sp, r->first + i)->w->used &
		    ffl_region_slots(sp, r, i))
			return false;
	}
	return true;
}

bool ffl_region_is_open(const ffl_space_t *sp, const ffl_region_t *r)
{
	for (uint32_t i = 0; i < r->count; i++) {
		if (!ffl_space_worker(sp, r->first + i)->open)
			return false;
	}
	return true;
}

bool ffl_region_inside(const ffl_space_t *sp, const ffl_region_t *inner,
		       const ffl_region_t *outer)
{
	if (inner->first < outer->first ||
	    inner->first + inner->count > outer->first + outer->count)
		return false;
	for (uint32_t i = 0; i < inner->count; i++) {
		uint32_t n = inner->first + i - outer->first;

		if (ffl_region_slots(sp, inner, i) &
		    ~ffl_region_slots(sp, outer, n))
			return false;
	}
	return true;
}

bool ffl_regions_overlap(const ffl_space_t *sp, const ffl_region_t *a,
			 const ffl_region_t *b)
{
	uint32_t first = MAX(a->first, b->first);
	uint32_t end = MIN(a->first + a->count, b->first + b->count);

	for (uint32_t i = first; i < end; i++) {
		if (ffl_region_slots(sp, a, i - a->first) &
		    ffl_region_slots(sp, b, i - b->first))
			return true;
	}
	return false;
}

bool ffl_region_adjacent(const ffl_space_t *sp, const ffl_region_t *r,
			 ffl_adjacency_t adjacency)
{
	if (r->first + r->count > sp->workers->len)
		return false;
	if (adjacency == FFL_ADJ_WORKER)
		return r->count == 1;
	for (uint32_t i = 1; i < r->count; i++) {
		if (!ffl_workers_adjacent(
			    ffl_space_worker(sp, r->first + i - 1)->w,
			    ffl_space_worker(sp, r->first + i)->w, adjacency))
			return false;
	}
	return r->count > 0;
}

bool ffl_region_of_job(const ffl_space_t *sp, const ffl_job_t *job,
		       ffl_region_t *r)
{
	uint32_t index;

	if (!job->part_count ||
	    !ffl_space_find(sp, job->parts[0].worker, &r->first))
		return false;
	r->count = job->part_count;
	r->last_slots = job->parts[job->part_count - 1].slots;
	ffl_copy(r->worker, sizeof(r->worker), job->parts[0].worker);
	for (uint32_t i = 0; i < r->count; i++) {
		if (!ffl_space_find(sp, job->parts[i].worker, &index) ||
		    index != r->first + i ||
		    job->parts[i].slots != ffl_region_slots(sp, r, i))
			return false;
	}
	return true;
}

bool ffl_region_resolve(const ffl_space_t *sp, ffl_region_t *r)
{
	return r->count && ffl_space_find(sp, r->worker, &r->first) &&
	       r->first + r->count <= sp->workers->len &&
	       !(r->last_slots &
		 ~ffl_space_worker(sp, r->first + r->count - 1)->all_slots);
}

void ffl_region_to_placement(const ffl_space_t *sp, const ffl_region_t *r,
			     ffl_placement_t *place)
{
	place->count = r->count;
	for (uint32_t i = 0; i < r->count; i++) {
		place->blocks[i].worker = ffl_space_worker(sp, r->first + i)->w;
		place->blocks[i].slots = ffl_region_slots(sp, r, i);
	}
}
