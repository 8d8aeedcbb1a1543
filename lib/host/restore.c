/**
 * @file restore.c
 * @brief Restoring of a host's state when the log cannot be folded from its
 *        start.
 *
 * The state comes from the last complete snapshot that the log retains, or from
 * a peer.
 */
#include <string.h>

#include "lib/host/host_int.h"

/** Records at the log's end that are scanned first; a log longer than this is
 * not folded from its start. */
#define TAIL_RECORDS 60000
/** Shortest intervals between state requests to peers, and between answers to
 * them, in ms. */
#define REQUEST_INTERVAL_MS 500
#define SERVE_INTERVAL_MS   200
/** Consecutive failed log reads after which peers are asked for state. */
#define READ_FAILURES_MIN 2

static void start_scan(ffl_host_t *h, uint64_t from, ffl_restore_mode_t mode);
static void end_scan(ffl_host_t *h, uint64_t now_ms, ffl_actions_t *out);
static bool load_state(ffl_host_t *h, ffl_bytes_t state, uint64_t now_ms,
		       const char *source, ffl_actions_t *out);
static const char *next_peer_addr(ffl_host_t *h);
static void send_message(ffl_host_t *h, ffl_peer_msg_t *msg, const char *addr,
			 ffl_actions_t *out);
static bool needs_peer_state(const ffl_host_t *h);

void ffl_restore_init(ffl_restore_t *r)
{
	memset(r, 0, sizeof(*r));
	r->addrs = g_ptr_array_new_with_free_func(g_free);
	r->data = g_byte_array_new();
}

void ffl_restore_finish(ffl_restore_t *r)
{
	g_ptr_array_free(r->addrs, TRUE);
	g_byte_array_free(r->data, TRUE);
}

bool ffl_host_restoring(const ffl_host_t *h)
{
	return h->restore.mode != FFL_RESTORE_NONE;
}

/* Starts a scan at offset from. The current state is kept, but the host makes
 * no decisions on it until the scan ends. */
static void start_scan(ffl_host_t *h, uint64_t from, ffl_restore_mode_t mode)
{
	if (!ffl_host_restoring(h))
		h->restore.held_next_offset = h->logc.next_offset;
	h->restore.mode = mode;
	h->logc.next_offset = from;
	h->caught_up = false;
	ffl_snapshots_reset(&h->snapshots, true);
}

void ffl_restore_start_if_trimmed(ffl_host_t *h, const ffl_ev_log_read_t *r,
				  ffl_read_result_t result, ffl_actions_t *out)
{
	bool fresh = h->logc.next_offset == FFL_OFFSET_FIRST;
	uint64_t from = r->first;

	if (result == FFL_READ_TAKEN && fresh && !h->restore.log_complete &&
	    !ffl_host_restoring(h) && r->end > FFL_OFFSET_FIRST + TAIL_RECORDS)
		result = FFL_READ_TRIMMED;
	if (result != FFL_READ_TRIMMED)
		return;
	if (r->end - r->first > TAIL_RECORDS)
		from = r->end - TAIL_RECORDS;
	ffl_actions_report(out, FFL_LEVEL_WARNING, "log-trimmed",
			   h->opt.self.name,
			   "next record is %llu, the log starts at %llu",
			   (unsigned long long)h->logc.next_offset,
			   (unsigned long long)r->first);
	start_scan(h, from,
		   from == r->first ? FFL_RESTORE_ALL : FFL_RESTORE_TAIL);
}

void ffl_restore_scan_entries(ffl_host_t *h, const ffl_ev_log_read_t *r,
			      uint64_t now_ms, ffl_actions_t *out)
{
	for (uint32_t i = 0; i < r->count; i++) {
		const ffl_log_entry_t *e = &r->entries[i];
		ffl_record_t rec;

		if (e->offset != h->logc.next_offset)
			continue;
		h->logc.next_offset++;
		ffl_arena_reset(&h->scratch);
		if (ffl_record_decode(e->data, &rec, &h->scratch) == FFL_OK &&
		    rec.kind == FFL_REC_SNAPSHOT &&
		    rec.cluster == h->opt.cluster)
			ffl_host_on_snapshot_part(h, e->offset, &rec, now_ms,
						  out);
	}
	if (h->logc.next_offset >= r->end)
		end_scan(h, now_ms, out);
}

static bool load_state(ffl_host_t *h, ffl_bytes_t state, uint64_t now_ms,
		       const char *source, ffl_actions_t *out)
{
	ffl_status_t status = ffl_host_load(h, state, now_ms);

	if (status != FFL_OK) {
		ffl_actions_report(out, FFL_LEVEL_ERROR, "state-refused",
				   source, "%s", ffl_status_name(status));
		return false;
	}
	ffl_actions_report(out, FFL_LEVEL_NOTE, "state-restored", source,
			   "%zu bytes, revision %llu, record %llu",
			   state.size_bytes,
			   (unsigned long long)h->config.revision,
			   (unsigned long long)h->logc.next_offset);
	h->restore.mode = FFL_RESTORE_NONE;
	h->restore.snapshot_missing = false;
	ffl_snapshots_reset(&h->snapshots, false);
	return true;
}

static void end_scan(ffl_host_t *h, uint64_t now_ms, ffl_actions_t *out)
{
	const GByteArray *data = h->snapshots.data;
	ffl_bytes_t state = { data->data, data->len };
	ffl_snapshot_t found = h->snapshots.last;

	if (state.size_bytes && found.offset >= h->logc.first &&
	    found.offset >= h->restore.held_next_offset &&
	    load_state(h, state, now_ms, "snapshot", out)) {
		h->snapshots.last = found;
		return;
	}
	if (h->restore.mode == FFL_RESTORE_TAIL) {
		start_scan(h, h->logc.first, FFL_RESTORE_ALL);
		return;
	}
	if (h->restore.held_next_offset >= h->logc.first) {
		h->restore.log_complete = true;
		h->restore.mode = FFL_RESTORE_NONE;
		h->logc.next_offset = h->restore.held_next_offset;
		ffl_snapshots_reset(&h->snapshots, false);
		return;
	}
	if (!h->restore.snapshot_missing)
		ffl_actions_report(out, FFL_LEVEL_ERROR, "snapshot-missing",
				   h->opt.self.name,
				   "the log starts at record %llu and has no "
				   "usable snapshot",
				   (unsigned long long)h->logc.first);
	h->restore.snapshot_missing = true;
}

void ffl_restore_on_host_list(ffl_host_t *h, const ffl_host_list_t *list)
{
	const ffl_host_info_t *infos = list->hosts.items;
	GPtrArray *addrs = h->restore.addrs;

	g_ptr_array_set_size(addrs, 0);
	for (uint32_t i = 0; i < list->hosts.count; i++) {
		if (infos[i].kind == FFL_HOST_ENTRY && infos[i].addr[0] &&
		    strcmp(infos[i].addr, h->opt.self.peer_addr) != 0)
			g_ptr_array_add(addrs, g_strdup(infos[i].addr));
	}
}

/* Returns the next address of a round-robin over other members, then over the
 * host list, which serves while no member is known. NULL if there is none. */
static const char *next_peer_addr(ffl_host_t *h)
{
	uint32_t members = h->members.members->len;
	uint32_t n = members + h->restore.addrs->len;

	for (uint32_t i = 0; i < n; i++) {
		uint32_t at = h->restore.next_peer++ % n;
		const ffl_member_t *m;

		if (at >= members)
			return g_ptr_array_index(h->restore.addrs,
						 at - members);
		m = &g_array_index(h->members.members, ffl_member_t, at);
		if (m->join.member != h->opt.self.member &&
		    strcmp(m->join.peer_addr, h->opt.self.peer_addr) != 0)
			return m->join.peer_addr;
	}
	return NULL;
}

static void send_message(ffl_host_t *h, ffl_peer_msg_t *msg, const char *addr,
			 ffl_actions_t *out)
{
	GByteArray *bytes = g_byte_array_new();
	ffl_action_t *act;

	msg->head.version = FFL_PEER_VERSION;
	msg->head.cluster = h->opt.cluster;
	msg->head.from = h->opt.self.member;
	msg->head.seq = ++h->members.peer_seq;
	ffl_peer_encode(msg, bytes);
	act = ffl_actions_add(out, FFL_ACT_PEER_SEND);
	ffl_copy(act->peer_send.addr, sizeof(act->peer_send.addr), addr);
	act->peer_send.frame.data =
		ffl_arena_copy(&out->arena, bytes->data, bytes->len);
	act->peer_send.frame.size_bytes = bytes->len;
	g_byte_array_free(bytes, TRUE);
}

/* Returns true if state is needed that the log does not provide: no snapshot
 * was found, or reads fail while this host is not caught up or is behind a
 * peer. */
static bool needs_peer_state(const ffl_host_t *h)
{
	if (h->restore.snapshot_missing)
		return true;
	if (h->logc.read_failures < READ_FAILURES_MIN)
		return false;
	return !h->caught_up ||
	       h->restore.peer_offset_max > h->logc.next_offset;
}

void ffl_restore_request_state(ffl_host_t *h, uint64_t now_ms,
			       ffl_actions_t *out)
{
	ffl_peer_msg_t msg = { .head = { .kind = FFL_PEER_STATE_ASK } };
	const char *addr;

	if (now_ms < h->restore.next_request_ms || !needs_peer_state(h))
		return;
	h->restore.next_request_ms = now_ms + REQUEST_INTERVAL_MS;
	addr = next_peer_addr(h);
	if (!addr)
		return;
	msg.state_ask.offset = ffl_host_restoring(h)
				       ? h->restore.held_next_offset
				       : h->logc.next_offset;
	ffl_copy(msg.state_ask.addr, sizeof(msg.state_ask.addr),
		 h->opt.self.peer_addr);
	send_message(h, &msg, addr, out);
}

void ffl_restore_on_state_request(ffl_host_t *h, const ffl_peer_msg_t *msg,
				  uint64_t now_ms, ffl_actions_t *out)
{
	ffl_peer_msg_t part = { .head = { .kind = FFL_PEER_STATE,
					  .to = msg->head.from } };
	GByteArray *state;

	if (!h->caught_up || now_ms < h->restore.next_serve_ms ||
	    h->logc.next_offset <= msg->state_ask.offset)
		return;
	h->restore.next_serve_ms = now_ms + SERVE_INTERVAL_MS;
	state = g_byte_array_new();
	ffl_host_save(h, state);
	part.state.offset = h->logc.next_offset;
	part.state.hash = ffl_hash(state->data, state->len, 0);
	part.state.parts =
		(state->len + FFL_STATE_PART_BYTES - 1) / FFL_STATE_PART_BYTES;
	for (uint32_t i = 0; i < part.state.parts; i++) {
		size_t at = (size_t)i * FFL_STATE_PART_BYTES;
		size_t size = state->len - at;

		if (size > FFL_STATE_PART_BYTES)
			size = FFL_STATE_PART_BYTES;
		part.state.part = i;
		part.state.data = (ffl_bytes_t){ state->data + at, size };
		send_message(h, &part, msg->state_ask.addr, out);
	}
	g_byte_array_free(state, TRUE);
}

void ffl_restore_on_state_part(ffl_host_t *h, const ffl_peer_msg_t *msg,
			       uint64_t now_ms, ffl_actions_t *out)
{
	const ffl_state_part_t *p = &msg->state;
	ffl_restore_t *r = &h->restore;
	uint64_t held = ffl_host_restoring(h) ? r->held_next_offset
					      : h->logc.next_offset;

	if (!needs_peer_state(h) || p->offset <= held)
		return;
	if (p->part == 0) {
		g_byte_array_set_size(r->data, 0);
		r->sender = msg->head.from;
		r->hash = p->hash;
		r->next_part = 0;
	}
	if (msg->head.from != r->sender || p->hash != r->hash ||
	    p->part != r->next_part || r->data->len > FFL_STATE_BYTES_MAX)
		return;
	g_byte_array_append(r->data, p->data.data, (guint)p->data.size_bytes);
	if (++r->next_part < p->parts)
		return;
	if (ffl_hash(r->data->data, r->data->len, 0) != r->hash) {
		ffl_actions_report(
			out, FFL_LEVEL_ERROR, "state-damaged", "peer",
			"%u bytes for record %llu do not match hash %016llx",
			r->data->len, (unsigned long long)p->offset,
			(unsigned long long)r->hash);
		return;
	}
	if (load_state(h, (ffl_bytes_t){ r->data->data, r->data->len }, now_ms,
		       "peer", out))
		h->caught_up = !ffl_logc_reachable(&h->logc);
	g_byte_array_set_size(r->data, 0);
}
