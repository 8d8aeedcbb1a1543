#include <string.h>

#include "fakes/keyed_log.h"

/** A page of newest records that is being filled. */
typedef struct {
	const char *after;
	uint32_t most;
	ffl_store_reply_t *out;
	ffl_arena_t *arena;
} page_t;

static void kept_free(void *data);
static keyed_record_t *kept_copy(const keyed_record_t *kept);
static gint by_key(gconstpointer a, gconstpointer b, gpointer user);
static void add(keyed_log_t *log, const char *key, const void *value,
		size_t size_bytes);
static void fill(ffl_store_record_t *rec, const keyed_record_t *kept,
		 ffl_arena_t *arena);
static gboolean take_newest(gpointer key, gpointer value, gpointer user);

static void kept_free(void *data)
{
	keyed_record_t *kept = data;

	g_bytes_unref(kept->value);
	g_free(kept);
}

static keyed_record_t *kept_copy(const keyed_record_t *kept)
{
	keyed_record_t *copy = g_memdup2(kept, sizeof(*kept));

	g_bytes_ref(copy->value);
	return copy;
}

static gint by_key(gconstpointer a, gconstpointer b, gpointer user)
{
	return strcmp(a, b);
}

void keyed_log_init(keyed_log_t *log)
{
	log->history = g_ptr_array_new_with_free_func(kept_free);
	log->first = 0;
	log->end = 0;
	log->newest = g_tree_new_full(by_key, NULL, NULL, kept_free);
}

void keyed_log_finish(keyed_log_t *log)
{
	g_ptr_array_free(log->history, TRUE);
	g_tree_destroy(log->newest);
}

static void add(keyed_log_t *log, const char *key, const void *value,
		size_t size_bytes)
{
	keyed_record_t *kept = g_new0(keyed_record_t, 1);
	keyed_record_t *newest;

	kept->offset = log->end++;
	ffl_copy(kept->key, sizeof(kept->key), key);
	kept->value = g_bytes_new(value, size_bytes);
	g_ptr_array_add(log->history, kept);
	newest = kept_copy(kept);
	if (size_bytes) {
		g_tree_replace(log->newest, newest->key, newest);
		return;
	}
	g_tree_remove(log->newest, key);
	kept_free(newest);
}

void keyed_log_put(keyed_log_t *log, const char *key, const void *value,
		   size_t size_bytes)
{
	add(log, key, value, size_bytes);
}

ffl_store_outcome_t keyed_log_append(keyed_log_t *log, uint64_t at,
				     const GPtrArray *writes, uint64_t *offset)
{
	if (at != FFL_ANY_END && at != log->end)
		return FFL_STORE_MOVED;
	*offset = log->end;
	for (guint i = 0; i < writes->len; i++) {
		const ffl_write_t *w = g_ptr_array_index(writes, i);

		add(log, w->key, w->value->data, w->value->len);
	}
	return FFL_STORE_OK;
}

void keyed_log_trim_history(keyed_log_t *log)
{
	g_ptr_array_set_size(log->history, 0);
	log->first = log->end;
}

static void fill(ffl_store_record_t *rec, const keyed_record_t *kept,
		 ffl_arena_t *arena)
{
	gsize size;
	gconstpointer data = g_bytes_get_data(kept->value, &size);

	rec->offset = kept->offset;
	ffl_copy(rec->key, sizeof(rec->key), kept->key);
	rec->value.data = ffl_arena_copy(arena, data, size);
	rec->value.size_bytes = size;
}

void keyed_log_read(const keyed_log_t *log, uint64_t from,
		    ffl_store_reply_t *out, ffl_arena_t *arena)
{
	out->end = log->end;
	out->first = log->first;
	if (from < log->first) {
		out->outcome = FFL_STORE_EXPIRED;
		return;
	}
	out->outcome = FFL_STORE_OK;
	out->records = ffl_arena_alloc(arena, (log->history->len + 1) *
						      sizeof(*out->records));
	for (uint64_t i = from; i < log->end; i++)
		fill(&out->records[out->count++],
		     g_ptr_array_index(log->history, i - log->first), arena);
}

static gboolean take_newest(gpointer key, gpointer value, gpointer user)
{
	page_t *page = user;

	if (page->after[0] && strcmp(key, page->after) <= 0)
		return FALSE;
	if (page->out->count == page->most) {
		page->out->more = true;
		return TRUE;
	}
	fill(&page->out->records[page->out->count++], value, page->arena);
	return FALSE;
}

void keyed_log_newest(const keyed_log_t *log, const char *after, uint32_t most,
		      ffl_store_reply_t *out, ffl_arena_t *arena)
{
	page_t page = { after, most, out, arena };

	out->outcome = FFL_STORE_OK;
	out->end = log->end;
	out->records =
		ffl_arena_alloc(arena, (most + 1) * sizeof(*out->records));
	g_tree_foreach(log->newest, take_newest, &page);
}
