#include "lib/request/once_int.h"

/** Bytes of answers in one message, well below a frame. */
#define MESSAGE_BYTES 524288
#define ROW_BYTES     160
#define RESEND_MS     500

static ffl_once_progress_t *find_peer(const ffl_once_t *o, uint64_t member);
static ffl_once_progress_t *peer_of(ffl_once_t *o, uint64_t member);
static uint64_t next_home(const ffl_once_t *o, ffl_key_id_t id);
static ffl_once_row_t row_of(const ffl_once_entry_t *e, uint64_t now_ms);

static ffl_once_progress_t *find_peer(const ffl_once_t *o, uint64_t member)
{
	for (guint i = 0; i < o->peers->len; i++) {
		ffl_once_progress_t *p =
			&g_array_index(o->peers, ffl_once_progress_t, i);

		if (p->member == member)
			return p;
	}
	return NULL;
}

static ffl_once_progress_t *peer_of(ffl_once_t *o, uint64_t member)
{
	ffl_once_progress_t *p = find_peer(o, member);
	ffl_once_progress_t fresh = { .member = member };

	if (p)
		return p;
	g_array_append_val(o->peers, fresh);
	return &g_array_index(o->peers, ffl_once_progress_t, o->peers->len - 1);
}

void ffl_once_on_view_change(ffl_once_t *o)
{
	for (guint i = o->peers->len; i-- > 0;) {
		ffl_once_progress_t *p =
			&g_array_index(o->peers, ffl_once_progress_t, i);

		if (!ffl_view_has(&o->ownership.view, p->member)) {
			g_array_remove_index(o->peers, i);
			continue;
		}
		p->cursor = 0;
		p->sent_ms = 0;
		p->complete = false;
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
	const ffl_once_progress_t *p = find_peer(o, member);

	return p && p->complete;
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

/* The home of a key once this host has left, where it is leaving. */
static uint64_t next_home(const ffl_once_t *o, ffl_key_id_t id)
{
	ffl_view_t rest = { .count = 0 };

	if (!o->handing_over)
		return ffl_once_owner(o, id);
	for (uint32_t i = 0; i < o->ownership.view.count; i++) {
		uint64_t member = o->ownership.view.members[i];

		if (member != o->ownership.self)
			rest.members[rest.count++] = member;
	}
	return ffl_view_owner(&rest, id.a, id.b);
}

static ffl_once_row_t row_of(const ffl_once_entry_t *e, uint64_t now_ms)
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
	ffl_once_progress_t *p = peer_of(o, member);
	uint64_t bytes = 0;
	const GList *l;

	if (p->complete || (p->sent_ms && now_ms - p->sent_ms < RESEND_MS))
		return false;
	p->sent_ms = now_ms;
	msg->view = o->ownership.view.hash;
	msg->from_cursor = p->cursor;
	msg->to_cursor = p->cursor;
	msg->final = o->handing_over;
	g_array_set_size(rows, 0);
	for (l = o->by_cursor.head; l; l = l->next) {
		const ffl_once_entry_t *e = l->data;
		ffl_once_row_t row;

		if (e->cursor <= p->cursor || next_home(o, e->id) != member)
			continue;
		bytes += ROW_BYTES + e->answer_bytes;
		if (rows->len && (bytes > MESSAGE_BYTES ||
				  rows->len >= FFL_HANDOVER_ROWS_MAX))
			break;
		row = row_of(e, now_ms);
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
	ffl_once_progress_t *p = find_peer(o, member);

	if (!p || ack->view != o->ownership.view.hash ||
	    ack->final != o->handing_over || ack->from_cursor != p->cursor)
		return;
	p->cursor = ack->to_cursor;
	p->sent_ms = 0;
	p->complete = ack->complete;
}
