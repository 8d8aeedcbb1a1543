/**
 * @file fleet.c
 * @brief Workers and racks of the fleet, and their slots.
 */
#include <string.h>

#include "fireflyledge/fleet.h"

/** Time for which a worker without work is kept after it left the list, in ms.
 */
#define UNLISTED_RETENTION_MS 30000

static void worker_free(gpointer p);
static gint compare_workers(gconstpointer a, gconstpointer b);
static void update_worker(ffl_fleet_t *fleet, const ffl_host_info_t *info,
			  uint64_t now_ms);
static void remove_unlisted(ffl_fleet_t *fleet, uint64_t now_ms);
static void build_racks(ffl_fleet_t *fleet);
static uint32_t free_slots(const ffl_worker_t *w);
static void set_used_slots(ffl_fleet_t *fleet, ffl_worker_t *w, uint64_t used);

static void worker_free(gpointer p)
{
	g_free(p);
}

void ffl_fleet_init(ffl_fleet_t *fleet)
{
	fleet->version = 0;
	fleet->list_version = 0;
	fleet->workers = g_ptr_array_new_with_free_func(worker_free);
	fleet->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	fleet->racks = g_array_new(FALSE, TRUE, sizeof(ffl_rack_t));
}

void ffl_fleet_finish(ffl_fleet_t *fleet)
{
	g_hash_table_destroy(fleet->by_name);
	g_array_free(fleet->racks, TRUE);
	g_ptr_array_free(fleet->workers, TRUE);
}

static gint compare_workers(gconstpointer pa, gconstpointer pb)
{
	const ffl_host_info_t *a = &(*(ffl_worker_t *const *)pa)->info;
	const ffl_host_info_t *b = &(*(ffl_worker_t *const *)pb)->info;
	int d = strcmp(a->dc, b->dc);

	if (!d)
		d = (a->rack > b->rack) - (a->rack < b->rack);
	if (!d)
		d = (a->position > b->position) - (a->position < b->position);
	return d ? d : strcmp(a->name, b->name);
}

uint32_t ffl_fleet_count(const ffl_fleet_t *fleet)
{
	return fleet->workers->len;
}

ffl_worker_t *ffl_fleet_at(const ffl_fleet_t *fleet, uint32_t i)
{
	return g_ptr_array_index(fleet->workers, i);
}

ffl_worker_t *ffl_fleet_find(const ffl_fleet_t *fleet, const char *name)
{
	return g_hash_table_lookup(fleet->by_name, name);
}

uint32_t ffl_fleet_rack_count(const ffl_fleet_t *fleet)
{
	return fleet->racks->len;
}

const ffl_rack_t *ffl_fleet_rack_at(const ffl_fleet_t *fleet, uint32_t i)
{
	return &g_array_index(fleet->racks, ffl_rack_t, i);
}

static void update_worker(ffl_fleet_t *fleet, const ffl_host_info_t *info,
			  uint64_t now_ms)
{
	ffl_worker_t *w = ffl_fleet_find(fleet, info->name);

	if (!w) {
		w = g_new0(ffl_worker_t, 1);
		w->info = *info;
		g_ptr_array_add(fleet->workers, w);
		g_hash_table_insert(fleet->by_name, w->info.name, w);
	}
	w->info = *info;
	w->listed = true;
	w->listed_ms = now_ms;
}

/* Removes workers that are not listed. The list lags, so a worker may still run
 * tasks for a while after it has left the list. */
static void remove_unlisted(ffl_fleet_t *fleet, uint64_t now_ms)
{
	for (uint32_t i = ffl_fleet_count(fleet); i-- > 0;) {
		const ffl_worker_t *w = ffl_fleet_at(fleet, i);

		if (w->listed || w->used ||
		    now_ms - w->listed_ms < UNLISTED_RETENTION_MS)
			continue;
		g_hash_table_remove(fleet->by_name, w->info.name);
		g_ptr_array_remove_index(fleet->workers, i);
	}
}

static void build_racks(ffl_fleet_t *fleet)
{
	ffl_rack_t *rack = NULL;

	g_array_set_size(fleet->racks, 0);
	for (uint32_t i = 0; i < ffl_fleet_count(fleet); i++) {
		ffl_worker_t *w = ffl_fleet_at(fleet, i);

		if (!rack || rack->rack != w->info.rack ||
		    strcmp(rack->dc, w->info.dc) != 0) {
			ffl_rack_t fresh = { .rack = w->info.rack, .first = i };

			ffl_copy(fresh.dc, sizeof(fresh.dc), w->info.dc);
			g_array_append_val(fleet->racks, fresh);
			rack = &g_array_index(fleet->racks, ffl_rack_t,
					      fleet->racks->len - 1);
		}
		w->rack_index = fleet->racks->len - 1;
		rack->count++;
		rack->free_slots += free_slots(w);
	}
}

void ffl_fleet_on_host_list(ffl_fleet_t *fleet, const ffl_host_list_t *list,
			    uint64_t now_ms)
{
	const ffl_host_info_t *infos = list->hosts.items;

	for (uint32_t i = 0; i < ffl_fleet_count(fleet); i++)
		ffl_fleet_at(fleet, i)->listed = false;
	for (uint32_t i = 0; i < list->hosts.count; i++) {
		if (infos[i].kind == FFL_HOST_WORKER)
			update_worker(fleet, &infos[i], now_ms);
	}
	remove_unlisted(fleet, now_ms);
	fleet->version++;
	fleet->list_version++;
	g_ptr_array_sort(fleet->workers, compare_workers);
	build_racks(fleet);
}

void ffl_fleet_on_config(ffl_fleet_t *fleet, const ffl_config_t *cfg)
{
	for (uint32_t i = 0; i < ffl_fleet_count(fleet); i++) {
		ffl_worker_t *w = ffl_fleet_at(fleet, i);

		w->drained = ffl_config_host_drained(cfg, w->info.name);
	}
	fleet->version++;
}

static uint32_t free_slots(const ffl_worker_t *w)
{
	return (uint32_t)__builtin_popcountll(ffl_worker_slot_mask(w) &
					      ~w->used);
}

static void set_used_slots(ffl_fleet_t *fleet, ffl_worker_t *w, uint64_t used)
{
	uint32_t before = free_slots(w);

	w->used = used;
	fleet->version++;
	if (w->rack_index < fleet->racks->len)
		g_array_index(fleet->racks, ffl_rack_t, w->rack_index)
			.free_slots += free_slots(w) - before;
}

void ffl_fleet_reserve_slots(ffl_fleet_t *fleet, ffl_worker_t *w,
			     uint64_t slots)
{
	set_used_slots(fleet, w, w->used | slots);
}

void ffl_fleet_release_slots(ffl_fleet_t *fleet, ffl_worker_t *w,
			     uint64_t slots)
{
	set_used_slots(fleet, w, w->used & ~slots);
}

bool ffl_worker_schedulable(const ffl_worker_t *w)
{
	if (!w->listed || w->drained || w->info.leaving || !w->adopted)
		return false;
	if (w->health == FFL_HEALTH_PROBING)
		return w->used == 0;
	return w->health == FFL_HEALTH_GOOD;
}

uint64_t ffl_worker_slot_mask(const ffl_worker_t *w)
{
	if (w->info.accelerators >= FFL_WORKER_SLOTS_MAX)
		return UINT64_MAX;
	return (1ULL << w->info.accelerators) - 1;
}
