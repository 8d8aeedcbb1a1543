#include <string.h>

#include "lib/dispatch/dispatch_int.h"

static void rack_destroy(void *data);
static int compare_ids(const void *a, const void *b);
static void rebuild_racks(ffl_dispatch_t *d);
static ffl_rack_t *rack_get(ffl_dispatch_t *d, const char *name);

static void rack_destroy(void *data)
{
	ffl_rack_t *rack = data;

	g_ptr_array_free(rack->workers, TRUE);
	g_free(rack);
}

void ffl_racks_init(ffl_dispatch_t *d)
{
	d->racks = g_ptr_array_new_with_free_func(rack_destroy);
	d->listed = g_ptr_array_new();
	d->racks_valid = false;
}

void ffl_racks_finish(ffl_dispatch_t *d)
{
	g_ptr_array_free(d->racks, TRUE);
	g_ptr_array_free(d->listed, TRUE);
}

void ffl_racks_invalidate(ffl_dispatch_t *d)
{
	d->racks_valid = false;
}

static int compare_ids(const void *a, const void *b)
{
	const ffl_dispatch_worker_t *x = *(ffl_dispatch_worker_t *const *)a;
	const ffl_dispatch_worker_t *y = *(ffl_dispatch_worker_t *const *)b;

	return strcmp(x->entry.id, y->entry.id);
}

static ffl_rack_t *rack_get(ffl_dispatch_t *d, const char *name)
{
	ffl_rack_t *rack;

	for (guint i = 0; i < d->racks->len; i++) {
		rack = g_ptr_array_index(d->racks, i);
		if (strcmp(rack->name, name) == 0)
			return rack;
	}
	rack = g_new0(ffl_rack_t, 1);
	ffl_copy(rack->name, sizeof(rack->name), name);
	rack->workers = g_ptr_array_new();
	g_ptr_array_add(d->racks, rack);
	return rack;
}

static void rebuild_racks(ffl_dispatch_t *d)
{
	GHashTableIter iter;
	gpointer value;

	if (d->racks_valid)
		return;
	d->racks_valid = true;
	g_ptr_array_set_size(d->racks, 0);
	g_ptr_array_set_size(d->listed, 0);
	g_hash_table_iter_init(&iter, d->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((ffl_dispatch_worker_t *)value)->listed)
			g_ptr_array_add(d->listed, value);
	}
	g_ptr_array_sort(d->listed, compare_ids);
	for (guint i = 0; i < d->listed->len; i++) {
		ffl_dispatch_worker_t *w = g_ptr_array_index(d->listed, i);

		g_ptr_array_add(rack_get(d, w->entry.rack)->workers, w);
	}
}

const GPtrArray *ffl_dispatch_racks(ffl_dispatch_t *d)
{
	rebuild_racks(d);
	return d->racks;
}

const GPtrArray *ffl_listed_workers(ffl_dispatch_t *d)
{
	rebuild_racks(d);
	return d->listed;
}
