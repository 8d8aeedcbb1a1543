#include "lib/request/request_int.h"

/** Interval of ownership reports: per member of a large view, and minimum. */
#define LOAD_MEMBER_MS 20
#define LOAD_MS	       250
/** Interval of checks for handover messages that are due. */
#define HANDOVER_MS 10

static bool has_released(const ffl_requests_t *rs);
static void send_load(ffl_requests_t *rs, uint64_t member, uint64_t now_ms,
		      ffl_actions_t *out);
static void send_handover(ffl_requests_t *rs, uint64_t member, GArray *rows,
			  uint64_t now_ms, ffl_actions_t *out);

void ffl_requests_send_peer(ffl_requests_t *rs, ffl_peer_msg_t *msg,
			    ffl_peer_kind_t kind, uint64_t to,
			    ffl_actions_t *out)
{
	const ffl_member_t *m = ffl_members_find(rs->members, to);
	GByteArray *bytes;
	ffl_action_t *act;

	if (!m)
		return;
	msg->head.version = FFL_PEER_VERSION;
	msg->head.cluster = rs->cluster;
	msg->head.kind = kind;
	msg->head.from = rs->slot_ownership.self;
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

/* Returns true if this host has given up its part for good: nothing runs and
 * all keys are handed over. */
static bool has_released(const ffl_requests_t *rs)
{
	return rs->stopping && rs->once.handing_over && ffl_requests_idle(rs);
}

static void send_load(ffl_requests_t *rs, uint64_t member, uint64_t now_ms,
		      ffl_actions_t *out)
{
	bool within_slots = ffl_upstreams_within_slots(&rs->upstreams);
	bool keys_handed_over = ffl_once_handover_complete(&rs->once, member);
	ffl_ownership_report_t slots =
		ffl_ownership_report(&rs->slot_ownership, member, within_slots,
				     has_released(rs), now_ms);
	ffl_ownership_report_t keys = ffl_ownership_report(
		&rs->once.ownership, member, keys_handed_over, has_released(rs),
		now_ms);
	ffl_peer_msg_t msg = { .load = { .stamp_ms = now_ms } };

	msg.load.echo_ms = slots.echo_ms;
	msg.load.view = slots.view;
	msg.load.log_fresh = slots.log_fresh;
	msg.load.slots_taint_ms = slots.blocked_ms;
	msg.load.slots_settled = slots.settled;
	msg.load.slots_rooted = slots.established;
	msg.load.keys_taint_ms = keys.blocked_ms;
	msg.load.keys_settled = keys.settled;
	msg.load.keys_rooted = keys.established;
	msg.load.final = slots.released;
	ffl_requests_send_peer(rs, &msg, FFL_PEER_LOAD, member, out);
}

static void send_handover(ffl_requests_t *rs, uint64_t member, GArray *rows,
			  uint64_t now_ms, ffl_actions_t *out)
{
	ffl_peer_msg_t msg = { .handover = { .view = 0 } };

	if (ffl_once_next_handover(&rs->once, member, now_ms, &msg.handover,
				   rows))
		ffl_requests_send_peer(rs, &msg, FFL_PEER_HANDOVER, member,
				       out);
}

void ffl_load_send_due(ffl_requests_t *rs, uint64_t now_ms, ffl_actions_t *out)
{
	const ffl_view_t *view = &rs->slot_ownership.view;
	bool due = now_ms >= rs->next_load_ms;
	GArray *rows;

	if (has_released(rs) && !rs->release_announced) {
		rs->release_announced = true;
		due = true;
	}
	if (!due && now_ms < rs->next_handover_ms)
		return;
	rs->next_handover_ms = now_ms + HANDOVER_MS;
	rows = g_array_new(FALSE, FALSE, sizeof(ffl_once_row_t));
	for (uint32_t i = 0; i < view->count; i++) {
		if (view->members[i] == rs->slot_ownership.self)
			continue;
		send_handover(rs, view->members[i], rows, now_ms, out);
		if (due)
			send_load(rs, view->members[i], now_ms, out);
	}
	if (due)
		rs->next_load_ms =
			now_ms + MAX(LOAD_MS, view->count * LOAD_MEMBER_MS);
	g_array_free(rows, TRUE);
}

void ffl_load_on_peer(ffl_requests_t *rs, const ffl_peer_msg_t *msg,
		      uint64_t now_ms)
{
	const ffl_load_t *load = &msg->load;
	ffl_ownership_report_t report = { .stamp_ms = load->stamp_ms,
					  .echo_ms = load->echo_ms,
					  .view = load->view,
					  .log_fresh = load->log_fresh,
					  .released = load->final };

	report.blocked_ms = load->slots_taint_ms;
	report.settled = load->slots_settled;
	report.established = load->slots_rooted;
	ffl_ownership_on_report(&rs->slot_ownership, msg->head.from, &report,
				now_ms);
	report.blocked_ms = load->keys_taint_ms;
	report.settled = load->keys_settled;
	report.established = load->keys_rooted;
	ffl_ownership_on_report(&rs->once.ownership, msg->head.from, &report,
				now_ms);
}
