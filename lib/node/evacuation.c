#include <string.h>

#include "lib/node/node_int.h"

/** Reads of the configuration's topic that wait for records one after another
 * within the bound of evacuations, so that a slow one does not bar starts. */
#define READS_PER_BOUND 4

static void note_change(ffl_node_t *n, const char *event, const char *dc,
			uint64_t offset);
static void begin(ffl_node_t *n, const char *dc, uint64_t offset);
static void end(ffl_node_t *n, const char *dc, uint64_t offset);

void ffl_evacuations_init(ffl_node_t *n)
{
	n->evacuations =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	n->dispatch.evacuated = n->evacuations;
}

void ffl_evacuations_finish(ffl_node_t *n)
{
	n->dispatch.evacuated = NULL;
	g_hash_table_destroy(n->evacuations);
}

static void note_change(ffl_node_t *n, const char *event, const char *dc,
			uint64_t offset)
{
	ffl_evacuation_t concerned;

	ffl_dispatch_update_evacuated(&n->dispatch, dc, &concerned);
	ffl_node_note(n, event, dc,
		      "offset=%" PRIu64 " config=%" PRIu64
		      " leading=%d workers=%u runs=%u evacuated=%u",
		      offset, n->routes.version, n->lead.leading,
		      concerned.workers, concerned.runs,
		      g_hash_table_size(n->evacuations));
}

static void begin(ffl_node_t *n, const char *dc, uint64_t offset)
{
	bool known = g_hash_table_contains(n->evacuations, dc);

	g_hash_table_replace(n->evacuations, g_strdup(dc),
			     g_memdup2(&offset, sizeof(offset)));
	if (!known)
		note_change(n, "evacuation-began", dc, offset);
}

static void end(ffl_node_t *n, const char *dc, uint64_t offset)
{
	if (g_hash_table_remove(n->evacuations, dc))
		note_change(n, "evacuation-ended", dc, offset);
}

/* After the pages, the log is read from before them, so that earlier records
 * of a key come again. */
void ffl_evacuations_apply_record(ffl_node_t *n, const ffl_store_record_t *rec)
{
	ffl_tail_t *t = &n->tails[FFL_TOPIC_CONFIG];
	const uint64_t *known =
		g_hash_table_lookup(n->evacuations, rec->evacuated_dc);

	if (known && rec->offset < *known)
		return;
	if (!rec->value.size_bytes) {
		end(n, rec->evacuated_dc, rec->offset);
		return;
	}
	if (t->paging)
		g_hash_table_add(t->paged_keys, g_strdup(rec->evacuated_dc));
	begin(n, rec->evacuated_dc, rec->offset);
}

void ffl_evacuations_drop_unlisted(ffl_node_t *n)
{
	const ffl_tail_t *t = &n->tails[FFL_TOPIC_CONFIG];
	GPtrArray *gone = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer dc;

	g_hash_table_iter_init(&iter, n->evacuations);
	while (g_hash_table_iter_next(&iter, &dc, NULL)) {
		if (!g_hash_table_contains(t->paged_keys, dc))
			g_ptr_array_add(gone, g_strdup(dc));
	}
	for (guint i = 0; i < gone->len; i++)
		end(n, g_ptr_array_index(gone, i), t->next);
	g_ptr_array_free(gone, TRUE);
}

/* All records that were written before caught_up_ms are known. A run that is
 * started now begins on its worker within FFL_START_REACH_MS. Of a bound that
 * leaves too little beside that, half is for the reads. */
bool ffl_evacuations_may_start(const ffl_node_t *n)
{
	uint32_t bound_ms = n->opt.evacuate_ms;

	return ffl_tail_is_caught_up(
		n, FFL_TOPIC_CONFIG,
		bound_ms - MIN(bound_ms / 2, FFL_START_REACH_MS));
}

uint32_t ffl_evacuations_wait_ms(const ffl_node_t *n, uint32_t most_ms)
{
	return MIN(most_ms, n->opt.evacuate_ms / READS_PER_BOUND);
}
