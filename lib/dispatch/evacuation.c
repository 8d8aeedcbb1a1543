#include <string.h>

#include "lib/dispatch/dispatch_int.h"

G_STATIC_ASSERT(2 * START_TIMEOUT_MS <= FFL_START_REACH_MS);

void ffl_dispatch_worker_set_evacuated(const ffl_dispatch_t *d,
				       ffl_dispatch_worker_t *w)
{
	w->evacuated = d->evacuated &&
		       g_hash_table_contains(d->evacuated, w->entry.dc);
}

void ffl_dispatch_update_evacuated(ffl_dispatch_t *d, const char *dc,
				   ffl_evacuation_t *out)
{
	GHashTableIter iter;
	gpointer value;

	memset(out, 0, sizeof(*out));
	g_hash_table_iter_init(&iter, d->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		ffl_dispatch_worker_t *w = value;

		if (strcmp(w->entry.dc, dc) != 0)
			continue;
		ffl_dispatch_worker_set_evacuated(d, w);
		out->workers += w->listed;
		out->runs += w->runs->len;
	}
	d->replan = true;
}
