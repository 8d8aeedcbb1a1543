#include <string.h>

#include "fireflyledge/fleet.h"

static gint compare_workers(gconstpointer a, gconstpointer b);
static void drop_unlisted(ffl_fleet_t *fleet);

void ffl_fleet_init(ffl_fleet_t *fleet)
{
	fleet->version = 0;
	fleet->list_version = 0;
	fleet->workers = g_array_new(FALSE, TRUE, sizeof(ffl_worker_t));
}

void ffl_fleet_finish(ffl_fleet_t *fleet)
{
	g_array_free(fleet->workers, TRUE);
}

static gint compare_workers(gconstpointer pa, gconstpointer pb)
{
	const ffl_host_info_t *a = &((const ffl_worker_t *)pa)->info;
	const ffl_host_info_t *b = &((const ffl_worker_t *)pb)->info;
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
	return &g_array_index(fleet->workers, ffl_worker_t, i);
}

ffl_worker_t *ffl_fleet_find(const ffl_fleet_t *fleet, const char *name)
{
	for (uint32_t i = 0; i < ffl_fleet_count(fleet); i++) {
		ffl_worker_t *w = ffl_fleet_at(fleet, i);

		if (strcmp(w->info.name, name) == 0)
			return w;
	}
	return NULL;
}

static void drop_unlisted(ffl_fleet_t *fleet)
{
	for (uint32_t i = ffl_fleet_count(fleet); i-- > 0;) {
		const ffl_worker_t *w = ffl_fleet_at(fleet, i);

		if (!w->listed && !w->used)
			g_array_remove_index(fleet->workers, i);
	}
}

void ffl_fleet_on_list(ffl_fleet_t *fleet, const ffl_host_list_t *list)
{
	const ffl_host_info_t *infos = list->hosts.items;

	for (uint32_t i = 0; i < ffl_fleet_count(fleet); i++)
		ffl_fleet_at(fleet, i)->listed = false;
	for (uint32_t i = 0; i < list->hosts.count; i++) {
		ffl_worker_t *w;

		if (infos[i].kind != FFL_HOST_WORKER)
			continue;
		w = ffl_fleet_find(fleet, infos[i].name);
		if (!w) {
			ffl_worker_t fresh = { .listed = true };

			fresh.info = infos[i];
			g_array_append_val(fleet->workers, fresh);
			continue;
		}
		w->info = infos[i];
		w->listed = true;
	}
	drop_unlisted(fleet);
	fleet->version++;
	fleet->list_version++;
	g_array_sort(fleet->workers, compare_workers);
}

void ffl_fleet_on_config(ffl_fleet_t *fleet, const ffl_config_t *cfg)
{
	for (uint32_t i = 0; i < ffl_fleet_count(fleet); i++) {
		ffl_worker_t *w = ffl_fleet_at(fleet, i);

		w->drained = ffl_config_drained(cfg, w->info.name);
	}
	fleet->version++;
}

void ffl_fleet_take(ffl_fleet_t *fleet, ffl_worker_t *w, uint64_t slots)
{
	w->used |= slots;
	fleet->version++;
}

void ffl_fleet_release(ffl_fleet_t *fleet, ffl_worker_t *w, uint64_t slots)
{
	w->used &= ~slots;
	fleet->version++;
}

bool ffl_worker_open(const ffl_worker_t *w)
{
	return w->listed && !w->drained && !w->info.leaving && w->adopted;
}

uint64_t ffl_worker_slots(const ffl_worker_t *w)
{
	if (w->info.accelerators >= FFL_WORKER_SLOTS_MAX)
		return UINT64_MAX;
	return (1ULL << w->info.accelerators) - 1;
}
