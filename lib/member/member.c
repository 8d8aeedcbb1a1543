#include <string.h>

#include "fireflyledge/member.h"

static ffl_member_t *find(ffl_members_t *ms, uint64_t member);
static ffl_cell_t *find_cell(ffl_members_t *ms, const char *dc);
static void fold_join(ffl_members_t *ms, uint64_t offset,
		      const ffl_join_t *join, uint64_t now_ms);
static void fold_leave(ffl_members_t *ms, uint64_t member);
static void fold_lead(ffl_members_t *ms, uint64_t offset,
		      const ffl_lead_t *lead);
static void register_self(ffl_members_t *ms, ffl_logc_t *lc, uint64_t now_ms);
static void send_heartbeats(ffl_members_t *ms, uint64_t revision,
			    const ffl_logc_t *lc, ffl_actions_t *out);
static bool is_candidate(const ffl_members_t *ms, uint64_t now_ms);
static void claim_cell(ffl_members_t *ms, ffl_logc_t *lc, uint64_t now_ms);
static gint compare_members(gconstpointer a, gconstpointer b);
static gint compare_cells(gconstpointer a, gconstpointer b);

void ffl_members_init(ffl_members_t *ms, const ffl_join_t *self,
		      const ffl_member_times_t *times)
{
	memset(ms, 0, sizeof(*ms));
	ms->self = *self;
	ms->times = *times;
	ms->members = g_array_new(FALSE, TRUE, sizeof(ffl_member_t));
	ms->cells = g_array_new(FALSE, TRUE, sizeof(ffl_cell_t));
}

void ffl_members_finish(ffl_members_t *ms)
{
	g_array_free(ms->members, TRUE);
	g_array_free(ms->cells, TRUE);
}

static gint compare_members(gconstpointer pa, gconstpointer pb)
{
	const ffl_member_t *a = pa;
	const ffl_member_t *b = pb;

	return (a->join.member > b->join.member) -
	       (a->join.member < b->join.member);
}

static gint compare_cells(gconstpointer a, gconstpointer b)
{
	return strcmp(((const ffl_cell_t *)a)->dc, ((const ffl_cell_t *)b)->dc);
}

static ffl_member_t *find(ffl_members_t *ms, uint64_t member)
{
	for (guint i = 0; i < ms->members->len; i++) {
		ffl_member_t *m = &g_array_index(ms->members, ffl_member_t, i);

		if (m->join.member == member)
			return m;
	}
	return NULL;
}

static ffl_cell_t *find_cell(ffl_members_t *ms, const char *dc)
{
	for (guint i = 0; i < ms->cells->len; i++) {
		ffl_cell_t *c = &g_array_index(ms->cells, ffl_cell_t, i);

		if (strcmp(c->dc, dc) == 0)
			return c;
	}
	return NULL;
}

const ffl_member_t *ffl_members_find(const ffl_members_t *ms, uint64_t member)
{
	return find((ffl_members_t *)ms, member);
}

const ffl_cell_t *ffl_members_cell(const ffl_members_t *ms, const char *dc)
{
	return find_cell((ffl_members_t *)ms, dc);
}

uint64_t ffl_members_epoch(const ffl_members_t *ms, const char *dc)
{
	const ffl_cell_t *c = ffl_members_cell(ms, dc);

	return c && c->member == ms->self.member ? c->epoch : 0;
}

bool ffl_member_alive(const ffl_members_t *ms, const ffl_member_t *m,
		      uint64_t now_ms)
{
	if (m->join.member == ms->self.member)
		return true;
	return now_ms - m->heard_ms <= ms->times.suspect_ms;
}

static void fold_join(ffl_members_t *ms, uint64_t offset,
		      const ffl_join_t *join, uint64_t now_ms)
{
	ffl_member_t *m = find(ms, join->member);
	ffl_member_t fresh = { .joined_offset = offset };

	if (m) {
		m->join = *join;
		m->heard_ms = now_ms;
		return;
	}
	fresh.join = *join;
	fresh.heard_ms = now_ms;
	g_array_append_val(ms->members, fresh);
	g_array_sort(ms->members, compare_members);
	if (!find_cell(ms, join->dc)) {
		ffl_cell_t cell = { .member = 0 };

		ffl_copy(cell.dc, sizeof(cell.dc), join->dc);
		g_array_append_val(ms->cells, cell);
		g_array_sort(ms->cells, compare_cells);
	}
}

static void fold_leave(ffl_members_t *ms, uint64_t member)
{
	for (guint i = 0; i < ms->cells->len; i++) {
		ffl_cell_t *c = &g_array_index(ms->cells, ffl_cell_t, i);

		if (c->member == member)
			c->member = 0;
	}
	for (guint i = 0; i < ms->members->len; i++) {
		if (g_array_index(ms->members, ffl_member_t, i).join.member !=
		    member)
			continue;
		g_array_remove_index(ms->members, i);
		return;
	}
}

static void fold_lead(ffl_members_t *ms, uint64_t offset,
		      const ffl_lead_t *lead)
{
	ffl_cell_t *c = find_cell(ms, lead->dc);

	if (!c || c->epoch != lead->previous_epoch)
		return;
	c->member = lead->member;
	c->epoch = offset;
}

void ffl_members_fold(ffl_members_t *ms, uint64_t offset,
		      const ffl_record_t *rec, uint64_t now_ms)
{
	if (rec->writer == ms->self.member && rec->seq == ms->claim_seq)
		ms->claim_seq = 0;
	switch (rec->kind) {
	case FFL_REC_JOIN:
		fold_join(ms, offset, &rec->join, now_ms);
		break;
	case FFL_REC_LEAVE:
		fold_leave(ms, rec->leave.member);
		break;
	case FFL_REC_LEAD:
		fold_lead(ms, offset, &rec->lead);
		break;
	default:
		break;
	}
}

void ffl_members_on_peer(ffl_members_t *ms, const ffl_peer_msg_t *msg,
			 uint64_t now_ms)
{
	ffl_member_t *m = find(ms, msg->head.from);

	if (!m || msg->head.kind != FFL_PEER_HEARTBEAT)
		return;
	m->heard_ms = now_ms;
	m->leaving = msg->heartbeat.leaving;
	if (msg->heartbeat.revision > m->revision)
		m->revision = msg->heartbeat.revision;
}

static void register_self(ffl_members_t *ms, ffl_logc_t *lc, uint64_t now_ms)
{
	ffl_record_t rec = { .kind = FFL_REC_JOIN };

	rec.join = ms->self;
	if (ffl_logc_append(lc, &rec) == FFL_OK)
		ms->renew_at_ms = now_ms + ms->times.renew_ms;
}

static void send_heartbeats(ffl_members_t *ms, uint64_t revision,
			    const ffl_logc_t *lc, ffl_actions_t *out)
{
	GByteArray *bytes = g_byte_array_new();

	for (guint i = 0; i < ms->members->len; i++) {
		const ffl_member_t *m =
			&g_array_index(ms->members, ffl_member_t, i);
		ffl_peer_msg_t msg = { .head = { .version = FFL_PEER_VERSION,
						 .cluster = lc->cluster,
						 .kind = FFL_PEER_HEARTBEAT,
						 .from = ms->self.member,
						 .to = m->join.member,
						 .seq = ++ms->peer_seq } };
		ffl_action_t *act;

		if (m->join.member == ms->self.member)
			continue;
		msg.heartbeat.revision = revision;
		msg.heartbeat.next_offset = lc->next_offset;
		msg.heartbeat.log_reachable = ffl_logc_reachable(lc);
		msg.heartbeat.leaving = ms->stopping;
		g_byte_array_set_size(bytes, 0);
		ffl_peer_encode(&msg, bytes);
		act = ffl_actions_add(out, FFL_ACT_PEER_SEND);
		ffl_copy(act->peer_send.addr, sizeof(act->peer_send.addr),
			 m->join.peer_addr);
		act->peer_send.frame.data =
			ffl_arena_copy(&out->arena, bytes->data, bytes->len);
		act->peer_send.frame.size_bytes = bytes->len;
	}
	g_byte_array_free(bytes, TRUE);
}

/* Only the first live member of the cell claims it, so that claims rarely
 * race; the log decides where they do. */
static bool is_candidate(const ffl_members_t *ms, uint64_t now_ms)
{
	for (guint i = 0; i < ms->members->len; i++) {
		const ffl_member_t *m =
			&g_array_index(ms->members, ffl_member_t, i);

		if (strcmp(m->join.dc, ms->self.dc) != 0 || m->leaving)
			continue;
		if (ffl_member_alive(ms, m, now_ms))
			return m->join.member == ms->self.member;
	}
	return false;
}

static void claim_cell(ffl_members_t *ms, ffl_logc_t *lc, uint64_t now_ms)
{
	ffl_cell_t *c = find_cell(ms, ms->self.dc);
	const ffl_member_t *leader;
	ffl_record_t rec = { .kind = FFL_REC_LEAD };

	if (!c || ms->claim_seq || ms->stopping || !ffl_logc_reachable(lc))
		return;
	leader = c->member ? find(ms, c->member) : NULL;
	if (leader && ffl_member_alive(ms, leader, now_ms))
		return;
	if (!is_candidate(ms, now_ms))
		return;
	rec.lead.member = ms->self.member;
	rec.lead.previous_epoch = c->epoch;
	ffl_copy(rec.lead.dc, sizeof(rec.lead.dc), ms->self.dc);
	if (ffl_logc_append(lc, &rec) == FFL_OK)
		ms->claim_seq = rec.seq;
}

void ffl_members_run(ffl_members_t *ms, ffl_logc_t *lc, uint64_t revision,
		     uint64_t cluster, uint64_t now_ms, ffl_actions_t *out)
{
	if (!ms->stopping && now_ms >= ms->renew_at_ms)
		register_self(ms, lc, now_ms);
	if (now_ms >= ms->heartbeat_at_ms) {
		ms->heartbeat_at_ms = now_ms + ms->times.heartbeat_ms;
		send_heartbeats(ms, revision, lc, out);
	}
	claim_cell(ms, lc, now_ms);
}

void ffl_members_leave(ffl_members_t *ms, ffl_logc_t *lc)
{
	ffl_record_t rec = { .kind = FFL_REC_LEAVE };

	if (ms->stopping)
		return;
	ms->stopping = true;
	rec.leave.member = ms->self.member;
	ffl_logc_append(lc, &rec);
}
