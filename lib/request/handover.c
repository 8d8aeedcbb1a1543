#include "lib/request/once_int.h"

/** Bytes of rows in one message, well below FFL_FRAME_BYTES_MAX. */
#define MESSAGE_BYTES 524288
/** Estimated size of a row without its answer. */
#define ROW_BYTES 160
/** A message that is not acknowledged within this time is sent again. */
#define RESEND_MS 500

static ffl_once_progress_t *find_progress(const ffl_once_t *o, uint64_t member);
static ffl_once_progress_t *get_progress(ffl_once_t *o, uint64_t member);
static uint64_t future_owner(const ffl_once_t *o, ffl_key_id_t id);
static ffl_once_row_t make_row(const ffl_once_entry_t *e, uint64_t now_ms);

static ffl_once_progress_t *find_progress(const ffl_once_t *o, uint64_t member)
{
	for (guint i = 0; i < o->peers->len; i++) {
		ffl_once_progress_t *progress =
			&g_array_index(o->peers, ffl_once_progress_t, i);

		if (progress->member == member)
			return progress;
	}
	return NULL;
}

static ffl_once_progress_t *get_progress(ffl_once_t *o, uint64_t member)
{
	ffl_once_progress_t *progress = find_progress(o, member);
	ffl_once_progress_t fresh = { .member = member };

	if (progress)
		return progress;
	g_array_append_val(o->peers, fresh);
	return &g_array_index(o->peers, ffl_once_progress_t, o->peers->len - 1);
}

void ffl_once_on_view_change(ffl_once_t *o)
{
	for (guint i = o->peers->len; i-- > 0;) {
		ffl_once_progress_t *progress =
			&g_array_index(o->peers, ffl_once_progress_t, i);

		if (!ffl_view_has(&o->ownership.view, progress->member)) {
			g_array_remove_index(o->peers, i);
			continue;
		}
		progress->cursor = 0;
		progress->sent_ms = 0;
		progress->complete = false;
	}
}

void ffl_once_start_leave(ffl_once_t *o)
{
	if (o->handing_over)
		return;
	o->handing_over = true;
	ffl_once_on_view_change(o);
}

bool ffl_once_handover_complete(const ffl_once_t *o, uint64_t member)
{
	const ffl_once_progress_t *progress = find_progress(o, member);

	return progress && progress->complete;
}

bool ffl_once_handovers_complete(const ffl_once_t *o)
{
	for (uint32_t i = 0; i < o->ownership.view.count; i++) {
		uint64_t member = o->ownership.view.members[i];

		if (member != o->ownership.self &&
		    !ffl_once_handover_complete(o, member))
			return false;
	}
	return true;
}

/* Returns the owner of a key, in the view without this host if it leaves. */
static uint64_t future_owner(const ffl_once_t *o, ffl_key_id_t id)
{
	ffl_view_t others = { .count = 0 };

	if (!o->handing_over)
		return ffl_once_owner(o, id);
	for (uint32_t i = 0; i < o->ownership.view.count; i++) {
		uint64_t member = o->ownership.view.members[i];

		if (member != o->ownership.self)
			others.members[others.count++] = member;
	}
	return ffl_view_owner(&others, id.a, id.b);
}

static ffl_once_row_t make_row(const ffl_once_entry_t *e, uint64_t now_ms)
{
	ffl_once_row_t row = { .key_a = e->id.a,
			       .key_b = e->id.b,
			       .payload_hash = e->payload_hash,
			       .origin = e->origin,
			       .request = e->request,
			       .state = e->state,
			       .age_ms = (uint32_t)(now_ms - e->seen_ms),
			       .http_status = e->http_status };

	if (now_ms < e->run_until_ms)
		row.run_left_ms = (uint32_t)(e->run_until_ms - now_ms);
	row.answer.data = e->answer;
	row.answer.size_bytes = e->answer_bytes;
	ffl_copy(row.content_type, sizeof(row.content_type),
		 e->content_type ? e->content_type : "");
	return row;
}

bool ffl_once_next_handover(ffl_once_t *o, uint64_t member, uint64_t now_ms,
			    ffl_handover_t *msg, GArray *rows)
{
	ffl_once_progress_t *progress = get_progress(o, member);
	uint64_t bytes = 0;
	const GList *l;

	if (progress->complete ||
	    (progress->sent_ms && now_ms - progress->sent_ms < RESEND_MS))
		return false;
	progress->sent_ms = now_ms;
	msg->view = o->ownership.view.hash;
	msg->from_cursor = progress->cursor;
	msg->to_cursor = progress->cursor;
	msg->final = o->handing_over;
	g_array_set_size(rows, 0);
	for (l = o->by_cursor.head; l; l = l->next) {
		const ffl_once_entry_t *e = l->data;
		ffl_once_row_t row;

		if (e->cursor <= progress->cursor ||
		    future_owner(o, e->id) != member)
			continue;
		bytes += ROW_BYTES + e->answer_bytes;
		if (rows->len && (bytes > MESSAGE_BYTES ||
				  rows->len >= FFL_HANDOVER_ROWS_MAX))
			break;
		row = make_row(e, now_ms);
		g_array_append_val(rows, row);
		msg->to_cursor = e->cursor;
	}
	msg->complete = !l;
	msg->rows.items = rows->data;
	msg->rows.count = rows->len;
	return true;
}

void ffl_once_on_handover(ffl_once_t *o, const ffl_handover_t *msg,
			  uint64_t now_ms, ffl_handover_t *ack)
{
	const ffl_once_row_t *rows = msg->rows.items;

	for (uint32_t i = 0; i < msg->rows.count; i++)
		ffl_once_merge(o, &rows[i], now_ms);
	ack->view = msg->view;
	ack->from_cursor = msg->from_cursor;
	ack->to_cursor = msg->to_cursor;
	ack->complete = msg->complete;
	ack->final = msg->final;
	ack->ack = true;
}

void ffl_once_on_handover_ack(ffl_once_t *o, uint64_t member,
			      const ffl_handover_t *ack)
{
	ffl_once_progress_t *progress = find_progress(o, member);

	if (!progress || ack->view != o->ownership.view.hash ||
	    ack->final != o->handing_over ||
	    ack->from_cursor != progress->cursor)
		return;
	progress->cursor = ack->to_cursor;
	progress->sent_ms = 0;
	progress->complete = ack->complete;
}
