/*
 * Deduplication of log records by writer, lane and sequence number.
 */
#include <string.h>

#include "fireflyledge/fold.h"
#include "fireflyledge/save.h"
#include "lib/wire/fields.h"

/** Most writers in a saved state: one for each offset of the window. */
#define WRITERS_MAX FFL_FOLD_WINDOW

static bool is_late(const ffl_record_t *rec, uint64_t offset);
static void forget_silent_writers(ffl_fold_t *f, uint64_t offset);
static ffl_writer_t *touch_writer_entry(ffl_fold_t *f, uint64_t writer);
static ffl_fold_result_t classify(ffl_fold_t *f, uint64_t offset,
				  const ffl_record_t *rec);
static void add_writer(ffl_fold_t *f, const ffl_writer_t *writer);

static const char *const result_names[FFL_FOLD__MAX] = {
	[FFL_FOLD_TAKEN] = "taken",
	[FFL_FOLD_DUPLICATE] = "duplicate",
	[FFL_FOLD_LATE] = "late",
	[FFL_FOLD_FOREIGN] = "foreign",
	[FFL_FOLD_UNDECODABLE] = "undecodable",
	[FFL_FOLD_UNKNOWN] = "unknown",
};

static const ffl_lane_t lanes[FFL_REC__MAX] = {
	[FFL_REC_INTENT] = FFL_LANE_URGENT,
	[FFL_REC_CONFIRM] = FFL_LANE_URGENT,
	[FFL_REC_JOIN] = FFL_LANE_URGENT,
	[FFL_REC_LEAVE] = FFL_LANE_URGENT,
	[FFL_REC_LEAD] = FFL_LANE_URGENT,
	[FFL_REC_JOB] = FFL_LANE_JOBS,
	[FFL_REC_JOB_CANCEL] = FFL_LANE_JOBS,
	[FFL_REC_JOB_END] = FFL_LANE_JOBS,
	[FFL_REC_JOB_MOVE] = FFL_LANE_JOBS,
	[FFL_REC_SNAPSHOT] = FFL_LANE_BULK,
};

static const ffl_field_t writer_fields[] = {
	FIELD_U64(ffl_writer_t, writer),
	FIELD_U64(ffl_writer_t, offset),
	FIELD_U64(ffl_writer_t, seq[FFL_LANE_URGENT]),
	FIELD_U64(ffl_writer_t, seq[FFL_LANE_JOBS]),
	FIELD_U64(ffl_writer_t, seq[FFL_LANE_BULK]),
};

static const ffl_schema_t writer_schema = SCHEMA(ffl_writer_t, writer_fields);

ffl_lane_t ffl_rec_lane(ffl_rec_kind_t kind)
{
	return kind < FFL_REC__MAX ? lanes[kind] : FFL_LANE_BULK;
}

const char *ffl_fold_result_name(uint32_t result)
{
	return result < FFL_FOLD__MAX ? result_names[result] : "?";
}

void ffl_fold_init(ffl_fold_t *f, uint64_t cluster)
{
	memset(f, 0, sizeof(*f));
	f->cluster = cluster;
	f->by_writer = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_queue_init(&f->recent);
}

void ffl_fold_finish(ffl_fold_t *f)
{
	g_hash_table_destroy(f->by_writer);
	g_queue_clear_full(&f->recent, g_free);
}

static bool is_late(const ffl_record_t *rec, uint64_t offset)
{
	return offset > rec->base && offset - rec->base > FFL_FOLD_WINDOW;
}

/* A record that a forgotten writer still has under way will be late: its base
 * is below the offset of the last record applied of that writer. */
static void forget_silent_writers(ffl_fold_t *f, uint64_t offset)
{
	ffl_writer_t *w = g_queue_peek_head(&f->recent);

	while (w && offset - w->offset > FFL_FOLD_WINDOW) {
		g_hash_table_remove(f->by_writer, &w->writer);
		g_free(g_queue_pop_head(&f->recent));
		w = g_queue_peek_head(&f->recent);
	}
}

static void add_writer(ffl_fold_t *f, const ffl_writer_t *writer)
{
	ffl_writer_t *w = g_memdup2(writer, sizeof(*writer));

	g_queue_push_tail(&f->recent, w);
	g_hash_table_insert(f->by_writer, &w->writer, f->recent.tail);
}

/* Returns the writer's entry, moved to the tail of recent. */
static ffl_writer_t *touch_writer_entry(ffl_fold_t *f, uint64_t writer)
{
	ffl_writer_t fresh = { .writer = writer };
	GList *link = g_hash_table_lookup(f->by_writer, &writer);

	if (!link) {
		add_writer(f, &fresh);
		return f->recent.tail->data;
	}
	g_queue_unlink(&f->recent, link);
	g_queue_push_tail_link(&f->recent, link);
	return link->data;
}

static ffl_fold_result_t classify(ffl_fold_t *f, uint64_t offset,
				  const ffl_record_t *rec)
{
	ffl_lane_t lane = ffl_rec_lane(rec->kind);
	ffl_writer_t *w;
	GList *link;

	if (rec->cluster != f->cluster)
		return FFL_FOLD_FOREIGN;
	if (is_late(rec, offset))
		return FFL_FOLD_LATE;
	link = g_hash_table_lookup(f->by_writer, &rec->writer);
	w = link ? link->data : NULL;
	if (w && rec->seq <= w->seq[lane])
		return FFL_FOLD_DUPLICATE;
	w = touch_writer_entry(f, rec->writer);
	w->seq[lane] = rec->seq;
	w->offset = offset;
	return FFL_FOLD_TAKEN;
}

ffl_fold_result_t ffl_fold_record(ffl_fold_t *f, uint64_t offset,
				  ffl_bytes_t data, ffl_record_t *rec,
				  ffl_arena_t *arena)
{
	ffl_status_t status = ffl_record_decode(data, rec, arena);
	ffl_fold_result_t result = FFL_FOLD_UNDECODABLE;

	forget_silent_writers(f, offset);
	if (status == FFL_OK)
		result = classify(f, offset, rec);
	else if (status == FFL_NOT_FOUND)
		result = rec->cluster == f->cluster ? FFL_FOLD_UNKNOWN
						    : FFL_FOLD_FOREIGN;
	f->counts[result]++;
	return result;
}

void ffl_fold_save(const ffl_fold_t *f, GByteArray *out)
{
	ffl_save_u64(f->recent.length, out);
	for (const GList *l = f->recent.head; l; l = l->next)
		ffl_schema_encode(&writer_schema, l->data, out);
	for (uint32_t i = 0; i < FFL_FOLD__MAX; i++)
		ffl_save_u64(f->counts[i], out);
}

ffl_status_t ffl_fold_load(ffl_fold_t *f, ffl_bytes_t in, size_t *used_bytes)
{
	ffl_fold_t fresh;
	ffl_writer_t w;
	ffl_loader_t l;
	uint64_t count = 0;

	ffl_loader_init(&l, in);
	ffl_fold_init(&fresh, f->cluster);
	ffl_load_u64(&l, &count, WRITERS_MAX);
	for (uint64_t i = 0; i < count && ffl_load(&l, &writer_schema, &w); i++)
		add_writer(&fresh, &w);
	for (uint32_t i = 0; i < FFL_FOLD__MAX; i++)
		ffl_load_u64(&l, &fresh.counts[i], UINT64_MAX);
	*used_bytes = l.used_bytes;
	ffl_fold_finish(l.status == FFL_OK ? f : &fresh);
	if (l.status == FFL_OK)
		*f = fresh;
	ffl_loader_finish(&l);
	return l.status;
}
