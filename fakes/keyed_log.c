#include <string.h>

#include "fakes/keyed_log.h"

/** State of keyed_log_newest() while it fills a page. */
typedef struct {
	const char *after;
	uint32_t max;
	ffl_store_reply_t *out;
	ffl_arena_t *arena;
} page_t;

static void keyed_record_free(void *data);
static keyed_record_t *keyed_record_copy(const keyed_record_t *rec);
static gint compare_keys(gconstpointer a, gconstpointer b, gpointer user);
static void append_record(keyed_log_t *log, const char *key, const void *value,
			  size_t size_bytes);
static void copy_record(ffl_store_record_t *out, const keyed_record_t *rec,
			ffl_arena_t *arena);
static gboolean add_to_page(gpointer key, gpointer value, gpointer user);
static bool is_within_limits(const keyed_log_t *log, const GPtrArray *writes);

static void keyed_record_free(void *data)
{
	keyed_record_t *rec = data;

	g_bytes_unref(rec->value);
	g_free(rec);
}

static keyed_record_t *keyed_record_copy(const keyed_record_t *rec)
{
	keyed_record_t *copy = g_memdup2(rec, sizeof(*rec));

	g_bytes_ref(copy->value);
	return copy;
}

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer user)
{
	return strcmp(a, b);
}

void keyed_log_init(keyed_log_t *log)
{
	log->history = g_ptr_array_new_with_free_func(keyed_record_free);
	log->first = 0;
	log->end = 0;
	log->append_bytes_max = KEYED_LOG_APPEND_BYTES_MAX;
	log->newest =
		g_tree_new_full(compare_keys, NULL, NULL, keyed_record_free);
}

void keyed_log_finish(keyed_log_t *log)
{
	g_ptr_array_free(log->history, TRUE);
	g_tree_destroy(log->newest);
}

static void append_record(keyed_log_t *log, const char *key, const void *value,
			  size_t size_bytes)
{
	keyed_record_t *rec = g_new0(keyed_record_t, 1);
	keyed_record_t *newest;

	rec->offset = log->end++;
	ffl_copy(rec->key, sizeof(rec->key), key);
	rec->value = g_bytes_new(value, size_bytes);
	g_ptr_array_add(log->history, rec);
	newest = keyed_record_copy(rec);
	if (size_bytes) {
		g_tree_replace(log->newest, newest->key, newest);
		return;
	}
	g_tree_remove(log->newest, key);
	keyed_record_free(newest);
}

void keyed_log_put(keyed_log_t *log, const char *key, const void *value,
		   size_t size_bytes)
{
	append_record(log, key, value, size_bytes);
}

static bool is_within_limits(const keyed_log_t *log, const GPtrArray *writes)
{
	uint64_t total = 0;

	for (guint i = 0; i < writes->len; i++) {
		const ffl_write_t *w = g_ptr_array_index(writes, i);
		uint64_t bytes =
			FFL_RECORD_FRAME_BYTES + strlen(w->key) + w->value->len;

		if (bytes > KEYED_LOG_RECORD_BYTES_MAX)
			return false;
		total += bytes;
	}
	return total <= log->append_bytes_max;
}

ffl_store_outcome_t keyed_log_append(keyed_log_t *log, uint64_t at,
				     const GPtrArray *writes, uint64_t *offset)
{
	if (!is_within_limits(log, writes))
		return FFL_STORE_UNKNOWN;
	if (at != FFL_ANY_END && at != log->end)
		return FFL_STORE_MOVED;
	*offset = log->end;
	for (guint i = 0; i < writes->len; i++) {
		const ffl_write_t *w = g_ptr_array_index(writes, i);

		append_record(log, w->key, w->value->data, w->value->len);
	}
	return FFL_STORE_OK;
}

void keyed_log_trim_history(keyed_log_t *log)
{
	g_ptr_array_set_size(log->history, 0);
	log->first = log->end;
}

static void copy_record(ffl_store_record_t *out, const keyed_record_t *rec,
			ffl_arena_t *arena)
{
	gsize size;
	gconstpointer data = g_bytes_get_data(rec->value, &size);

	out->offset = rec->offset;
	ffl_copy(out->key, sizeof(out->key), rec->key);
	out->value.data = ffl_arena_copy(arena, data, size);
	out->value.size_bytes = size;
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
		copy_record(&out->records[out->count++],
			    g_ptr_array_index(log->history, i - log->first),
			    arena);
}

static gboolean add_to_page(gpointer key, gpointer value, gpointer user)
{
	page_t *page = user;

	if (page->after[0] && strcmp(key, page->after) <= 0)
		return FALSE;
	if (page->out->count == page->max) {
		page->out->more = true;
		return TRUE;
	}
	copy_record(&page->out->records[page->out->count++], value,
		    page->arena);
	return FALSE;
}

void keyed_log_newest(const keyed_log_t *log, const char *after, uint32_t max,
		      ffl_store_reply_t *out, ffl_arena_t *arena)
{
	page_t page = { after, max, out, arena };

	out->outcome = FFL_STORE_OK;
	out->end = log->end;
	out->records =
		ffl_arena_alloc(arena, (max + 1) * sizeof(*out->records));
	g_tree_foreach(log->newest, add_to_page, &page);
	if (out->count)
		out->last_key = out->records[out->count - 1].key;
}
