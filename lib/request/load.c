#include "lib/request/request_int.h"

/** Interval of this host's word, longer where there are many members. */
#define LOAD_MEMBER_MS 20
#define LOAD_MS	       250
#define ROWS_MS	       10

static bool final(const ffl_requests_t *rs);
static void send_load(ffl_requests_t *rs, uint64_t member, uint64_t now_ms,
		      ffl_actions_t *out);
static void send_rows(ffl_requests_t *rs, uint64_t member, GArray *rows,
		      uint64_t now_ms, ffl_actions_t *out);

void ffl_requests_post(ffl_requests_t *rs, ffl_peer_msg_t *msg,
		       ffl_peer_kind_t kind, uint64_t to, ffl_actions_t *out)
{
	const ffl_member_t *m = ffl_members_find(rs->members, to);
	GByteArray *bytes;
	ffl_action_t *act;

	if (!m)
		return;
	msg->head.version = FFL_PEER_VERSION;
	msg->head.cluster = rs->cluster;
	msg->head.kind = kind;
	msg->head.from = rs->slots.self;
	msg->head.to = to;
	msg->head.seq = ++rs->peer_seq;
	bytes = g_byte_array_new();
	ffl_peer_encode(msg, bytes);
	act = ffl_actions_add(out, FFL_ACT_PEER_SEND);
	ffl_copy(act->peer_send.addr, sizeof(act->peer_send.addr),
		 m->join.peer_addr);
	act->peer_send.frame.data =
		ffl_arena_copy(&out->arena, bytes->data, bytes->len);
	act->peer_send.frame.size_bytes = bytes->len;
	g_byte_array_free(bytes, TRUE);
}

/* This host has ended its part: nothing runs and each key is elsewhere. */
static bool final(const ffl_requests_t *rs)
{
	return rs->stopping && rs->once.final && ffl_requests_idle(rs);
}

static void send_load(ffl_requests_t *rs, uint64_t member, uint64_t now_ms,
		      ffl_actions_t *out)
{
	bool slots_settled = ffl_upstreams_settled(&rs->upstreams);
	bool keys_settled = ffl_once_handed(&rs->once, member);
	ffl_tenure_word_t slots = ffl_tenure_word(
		&rs->slots, member, slots_settled, final(rs), now_ms);
	ffl_tenure_word_t keys = ffl_tenure_word(
		&rs->once.tenure, member, keys_settled, final(rs), now_ms);
	ffl_peer_msg_t msg = { .load = { .stamp_ms = now_ms } };

	msg.load.echo_ms = slots.echo_ms;
	msg.load.view = slots.view;
	msg.load.log_fresh = slots.log_fresh;
	msg.load.slots_taint_ms = slots.taint_ms;
	msg.load.slots_settled = slots.settled;
	msg.load.slots_rooted = slots.rooted;
	msg.load.keys_taint_ms = keys.taint_ms;
	msg.load.keys_settled = keys.settled;
	msg.load.keys_rooted = keys.rooted;
	msg.load.final = slots.final;
	ffl_requests_post(rs, &msg, FFL_PEER_LOAD, member, out);
}

static void send_rows(ffl_requests_t *rs, uint64_t member, GArray *rows,
		      uint64_t now_ms, ffl_actions_t *out)
{
	ffl_peer_msg_t msg = { .handover = { .view = 0 } };

	if (ffl_once_next_rows(&rs->once, member, now_ms, &msg.handover, rows))
		ffl_requests_post(rs, &msg, FFL_PEER_HANDOVER, member, out);
}

void ffl_load_run(ffl_requests_t *rs, uint64_t now_ms, ffl_actions_t *out)
{
	const ffl_view_t *view = &rs->slots.view;
	bool due = now_ms >= rs->load_at_ms;
	GArray *rows;

	if (final(rs) && !rs->told_final) {
		rs->told_final = true;
		due = true;
	}
	if (!due && now_ms < rs->rows_at_ms)
		return;
	rs->rows_at_ms = now_ms + ROWS_MS;
	rows = g_array_new(FALSE, FALSE, sizeof(ffl_once_row_t));
	for (uint32_t i = 0; i < view->count; i++) {
		if (view->members[i] == rs->slots.self)
			continue;
		send_rows(rs, view->members[i], rows, now_ms, out);
		if (due)
			send_load(rs, view->members[i], now_ms, out);
	}
	if (due)
		rs->load_at_ms =
			now_ms + MAX(LOAD_MS, view->count * LOAD_MEMBER_MS);
	g_array_free(rows, TRUE);
}

void ffl_load_on_peer(ffl_requests_t *rs, const ffl_peer_msg_t *msg,
		      uint64_t now_ms)
{
	const ffl_load_t *load = &msg->load;
	ffl_tenure_word_t word = { .stamp_ms = load->stamp_ms,
				   .echo_ms = load->echo_ms,
				   .view = load->view,
				   .log_fresh = load->log_fresh,
				   .final = load->final };

	word.taint_ms = load->slots_taint_ms;
	word.settled = load->slots_settled;
	word.rooted = load->slots_rooted;
	ffl_tenure_hear(&rs->slots, msg->head.from, &word, now_ms);
	word.taint_ms = load->keys_taint_ms;
	word.settled = load->keys_settled;
	word.rooted = load->keys_rooted;
	ffl_tenure_hear(&rs->once.tenure, msg->head.from, &word, now_ms);
}
