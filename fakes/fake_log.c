#include "fakes/fake_log.h"

void fake_log_init(fake_log_t *log)
{
	log->records = g_ptr_array_new_with_free_func(
		(GDestroyNotify)g_byte_array_unref);
	log->first = 1;
	log->down = false;
	log->lose_append_replies = 0;
	log->late_appends = 0;
	log->corrupt_reads = 0;
}

void fake_log_finish(fake_log_t *log)
{
	g_ptr_array_free(log->records, TRUE);
}

ffl_status_t fake_log_append(fake_log_t *log, const ffl_bytes_t *records,
			     uint32_t count, uint64_t *offset)
{
	if (log->down)
		return FFL_UNAVAILABLE;
	*offset = fake_log_end(log);
	for (uint32_t i = 0; i < count; i++) {
		GByteArray *rec = g_byte_array_new();

		g_byte_array_append(rec, records[i].data,
				    (guint)records[i].size_bytes);
		g_ptr_array_add(log->records, rec);
	}
	if (!log->lose_append_replies)
		return FFL_OK;
	log->lose_append_replies--;
	return FFL_UNKNOWN;
}

void fake_log_corrupt_read(fake_log_t *log, ffl_ev_log_read_t *r,
			   ffl_log_entry_t *entries)
{
	if (!log->corrupt_reads || !r->count)
		return;
	log->corrupt_reads--;
	switch (log->read_fault) {
	case FAKE_READ_STALE:
		r->end = r->first + (r->end - r->first) / 2;
		r->count = 0;
		break;
	case FAKE_READ_EMPTY:
		r->count = 0;
		break;
	case FAKE_READ_GAP:
		r->entries = entries + 1;
		r->count--;
		break;
	default:
		if (r->count > 1)
			entries[1] = entries[0];
		break;
	}
}

uint64_t fake_log_end(const fake_log_t *log)
{
	return log->first + log->records->len;
}

ffl_bytes_t fake_log_get(const fake_log_t *log, uint64_t offset)
{
	const GByteArray *rec =
		g_ptr_array_index(log->records, offset - log->first);
	ffl_bytes_t b = { rec->data, rec->len };

	return b;
}

void fake_log_trim(fake_log_t *log, uint64_t first)
{
	guint n;

	if (first <= log->first)
		return;
	n = (guint)(first - log->first);
	if (n > log->records->len)
		n = log->records->len;
	if (n)
		g_ptr_array_remove_range(log->records, 0, n);
	log->first += n;
}
