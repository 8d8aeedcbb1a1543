/**
 * @file request_append.c
 * @brief Appends of the records of submissions and cancellations.
 */
#include "lib/node/node_int.h"

/** Delay before a failed append is retried. */
#define APPEND_RETRY_MS 100
/** Most appends in flight at once, over all partitions and at least to one, and
 * most records in one. A second one to a partition passes one without answer.
 */
#define APPENDS_IN_FLIGHT_MAX 4
#define APPENDS_TO_PART_MIN   2
#define APPEND_RECORDS_MAX    64

static void count_appends_in_flight(const ffl_node_t *n, uint32_t *open);
static ffl_write_t *new_write(const ffl_pending_t *p);

bool ffl_request_fits_log(const ffl_node_t *n, const ffl_flow_spec_t *spec,
			  uint32_t record_bytes)
{
	uint64_t bytes = MAX(record_bytes, ffl_flow_progress_bytes_max(spec));

	/* Beside it an append holds a record of leadership. */
	return bytes + FFL_RECORD_KEY_BYTES <= n->opt.record_bytes_max &&
	       bytes + LEAD_RECORD_BYTES_MAX + 2 * FFL_RECORD_KEY_BYTES <=
		       n->opt.append_bytes_max;
}

static void count_appends_in_flight(const ffl_node_t *n, uint32_t *open)
{
	uint64_t last[FFL_JOBS_PARTS_MAX] = { 0 };

	for (guint i = 0; i < n->pending->len; i++) {
		const ffl_pending_t *p = g_ptr_array_index(n->pending, i);

		if (!p->append_call)
			continue;
		open[p->part] += p->append_call != last[p->part];
		last[p->part] = p->append_call;
	}
}

static ffl_write_t *new_write(const ffl_pending_t *p)
{
	ffl_write_t *w = p->kind == FFL_REQUEST_SUBMIT
				 ? ffl_write_new(KEY_SPEC, p->spec_name)
				 : ffl_write_new(KEY_CANCEL, p->id);

	g_byte_array_append(w->value, p->record->data, p->record->len);
	return w;
}

/* The records of a partition that wait share an append, which is sent without
 * waiting for more. */
void ffl_request_send_appends(ffl_node_t *n)
{
	uint32_t open_max =
		MAX(APPENDS_IN_FLIGHT_MAX / n->jobs_parts, APPENDS_TO_PART_MIN);
	uint32_t open[FFL_JOBS_PARTS_MAX] = { 0 };
	uint64_t left[FFL_JOBS_PARTS_MAX];
	ffl_jobs_batch_t batch = { .count = 0 };

	count_appends_in_flight(n, open);
	for (uint32_t i = 0; i < FFL_JOBS_PARTS_MAX; i++)
		left[i] = open[i] < open_max ? ffl_node_append_bytes_max(n) : 0;
	for (guint i = 0; i < n->pending->len; i++) {
		ffl_pending_t *p = g_ptr_array_index(n->pending, i);
		ffl_write_t *w;

		if (!p->record || p->turned_away || p->append_call ||
		    p->written || n->now_ms < p->retry_ms || !left[p->part])
			continue;
		w = new_write(p);
		if (batch.writes[p->part] &&
		    ffl_write_bytes(w) > left[p->part]) {
			ffl_write_free(w);
			left[p->part] = 0;
			continue;
		}
		left[p->part] -= MIN(left[p->part], ffl_write_bytes(w));
		ffl_jobs_batch_add(n, &batch, p->part, w);
		p->append_call = batch.calls[p->part];
		p->append_index = batch.writes[p->part]->len - 1;
		if (batch.writes[p->part]->len >= APPEND_RECORDS_MAX)
			left[p->part] = 0;
	}
}

bool ffl_request_take_reply(const ffl_node_t *n, ffl_pending_t *p,
			    const ffl_store_reply_t *reply)
{
	if (!p->append_call || p->append_call != reply->call)
		return false;
	p->append_call = 0;
	p->retry_ms = n->now_ms + APPEND_RETRY_MS;
	if (reply->outcome == FFL_STORE_OK) {
		p->written = true;
		p->offset = reply->first + p->append_index;
	}
	p->maybe_written |= reply->outcome == FFL_STORE_OK ||
			    reply->outcome == FFL_STORE_UNKNOWN;
	return true;
}
