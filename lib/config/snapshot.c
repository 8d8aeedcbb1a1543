/*
 * Assembly of snapshots from parts on the log, and appending of new ones.
 */
#include <string.h>
#include <xxhash.h>

#include "fireflyledge/snapshot.h"

/** A snapshot is due once the last one lies in the older half (1 / divisor) of
 * the retained log. */
#define RETAINED_DIVISOR 2

/** A snapshot with missing parts. */
typedef struct {
	uint64_t writer;
	ffl_snapshot_t snap;
	uint32_t next_part;
	uint32_t parts;
	XXH3_state_t *hash;
	GByteArray *data;
} open_snapshot_t;

static void open_snapshot_free(gpointer p);
static open_snapshot_t *find_open_snapshot(const ffl_snapshots_t *s,
					   uint64_t writer);
static open_snapshot_t *start_snapshot(ffl_snapshots_t *s, uint64_t offset,
				       const ffl_record_t *rec);
static ffl_status_t complete_snapshot(ffl_snapshots_t *s, open_snapshot_t *o);

static void open_snapshot_free(gpointer p)
{
	open_snapshot_t *o = p;

	XXH3_freeState(o->hash);
	g_byte_array_free(o->data, TRUE);
	g_free(o);
}

void ffl_snapshots_init(ffl_snapshots_t *s)
{
	memset(s, 0, sizeof(*s));
	s->open = g_ptr_array_new_with_free_func(open_snapshot_free);
	s->data = g_byte_array_new();
}

void ffl_snapshots_finish(ffl_snapshots_t *s)
{
	g_ptr_array_free(s->open, TRUE);
	g_byte_array_free(s->data, TRUE);
}

void ffl_snapshots_reset(ffl_snapshots_t *s, bool keep_data)
{
	g_ptr_array_set_size(s->open, 0);
	g_byte_array_free(s->data, TRUE);
	s->data = g_byte_array_new();
	s->keep_data = keep_data;
	if (keep_data)
		memset(&s->last, 0, sizeof(s->last));
}

static open_snapshot_t *find_open_snapshot(const ffl_snapshots_t *s,
					   uint64_t writer)
{
	for (guint i = 0; i < s->open->len; i++) {
		open_snapshot_t *o = g_ptr_array_index(s->open, i);

		if (o->writer == writer)
			return o;
	}
	return NULL;
}

static open_snapshot_t *start_snapshot(ffl_snapshots_t *s, uint64_t offset,
				       const ffl_record_t *rec)
{
	open_snapshot_t *o = find_open_snapshot(s, rec->writer);

	if (o)
		g_ptr_array_remove(s->open, o);
	if (s->open->len >= FFL_SNAPSHOTS_OPEN_MAX)
		g_ptr_array_remove_index(s->open, 0);
	o = g_new0(open_snapshot_t, 1);
	o->writer = rec->writer;
	o->snap.offset = rec->snapshot.offset;
	o->snap.hash = rec->snapshot.hash;
	o->snap.start = offset;
	o->parts = rec->snapshot.parts;
	o->hash = XXH3_createState();
	XXH3_64bits_reset(o->hash);
	o->data = g_byte_array_new();
	g_ptr_array_add(s->open, o);
	return o;
}

static ffl_status_t complete_snapshot(ffl_snapshots_t *s, open_snapshot_t *o)
{
	ffl_status_t status = FFL_OK;

	if (XXH3_64bits_digest(o->hash) != o->snap.hash) {
		s->invalid++;
		status = FFL_INVALID;
	} else if (o->snap.offset >= s->last.offset) {
		s->last = o->snap;
		if (s->keep_data) {
			g_byte_array_free(s->data, TRUE);
			s->data = o->data;
			o->data = g_byte_array_new();
		}
	}
	g_ptr_array_remove(s->open, o);
	return status;
}

ffl_status_t ffl_snapshots_add_part(ffl_snapshots_t *s, uint64_t offset,
				    const ffl_record_t *rec)
{
	const ffl_snapshot_part_t *part = &rec->snapshot;
	open_snapshot_t *o;

	o = part->part ? find_open_snapshot(s, rec->writer)
		       : start_snapshot(s, offset, rec);
	if (!o)
		return FFL_UNAVAILABLE;
	if (part->part != o->next_part || part->hash != o->snap.hash ||
	    part->offset != o->snap.offset || part->parts != o->parts ||
	    part->offset > offset || o->data->len > FFL_STATE_BYTES_MAX) {
		s->invalid++;
		g_ptr_array_remove(s->open, o);
		return FFL_INVALID;
	}
	XXH3_64bits_update(o->hash, part->data.data, part->data.size_bytes);
	if (s->keep_data)
		g_byte_array_append(o->data, part->data.data,
				    (guint)part->data.size_bytes);
	o->next_part++;
	return o->next_part < o->parts ? FFL_UNAVAILABLE
				       : complete_snapshot(s, o);
}

bool ffl_snapshots_due(const ffl_snapshots_t *s, const ffl_logc_t *lc,
		       uint32_t records_max)
{
	uint64_t retained = lc->end - lc->first;
	uint64_t from = s->last.offset ? s->last.offset : FFL_OFFSET_FIRST;

	if (lc->next_offset - from >= records_max)
		return true;
	return lc->first > FFL_OFFSET_FIRST &&
	       from < lc->first + retained / RETAINED_DIVISOR;
}

ffl_status_t ffl_snapshot_append(ffl_logc_t *lc, uint64_t offset,
				 const GByteArray *state)
{
	ffl_record_t rec = { .kind = FFL_REC_SNAPSHOT };
	size_t at = 0;

	rec.snapshot.offset = offset;
	rec.snapshot.parts = (state->len + FFL_SNAPSHOT_PART_BYTES - 1) /
			     FFL_SNAPSHOT_PART_BYTES;
	rec.snapshot.hash = ffl_hash(state->data, state->len, 0);
	for (uint32_t i = 0; i < rec.snapshot.parts; i++) {
		size_t size = state->len - at;

		if (size > FFL_SNAPSHOT_PART_BYTES)
			size = FFL_SNAPSHOT_PART_BYTES;
		rec.snapshot.part = i;
		rec.snapshot.data = (ffl_bytes_t){ state->data + at, size };
		if (ffl_logc_append(lc, &rec) != FFL_OK)
			return FFL_FULL;
		at += size;
	}
	return FFL_OK;
}
