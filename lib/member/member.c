#include <string.h>

#include "fireflyledge/member.h"

/** A claim within this time of the previous one doubles the wait before the
 * next one, up to 2^4 times suspect_ms. */
#define RAPID_CLAIM_MS	    60000
#define CLAIM_DOUBLINGS_MAX 4

static ffl_member_t *find_member(ffl_members_t *ms, uint64_t member);
static ffl_cell_t *find_cell(ffl_members_t *ms, const char *dc);
static void fold_join(ffl_members_t *ms, uint64_t offset,
		      const ffl_join_t *join, uint64_t now_ms);
static void fold_leave(ffl_members_t *ms, const ffl_leave_t *leave);
static uint64_t expiry_ms(const ffl_member_t *m);
static bool may_expire(const ffl_members_t *ms, const ffl_member_t *m);
static void expire_members(ffl_members_t *ms, ffl_logc_t *lc, uint64_t now_ms);
static void fold_lead(ffl_members_t *ms, uint64_t offset,
		      const ffl_lead_t *lead, uint64_t now_ms);
static bool claim_must_wait(const ffl_members_t *ms, const ffl_cell_t *c,
			    uint64_t now_ms);
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

static ffl_member_t *find_member(ffl_members_t *ms, uint64_t member)
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
	return find_member((ffl_members_t *)ms, member);
}

const ffl_cell_t *ffl_members_find_cell(const ffl_members_t *ms, const char *dc)
{
	return find_cell((ffl_members_t *)ms, dc);
}

uint64_t ffl_members_own_epoch(const ffl_members_t *ms, const char *dc)
{
	const ffl_cell_t *c = ffl_members_find_cell(ms, dc);

	return c && c->member == ms->self.member ? c->epoch : 0;
}

bool ffl_member_alive(const ffl_members_t *ms, const ffl_member_t *m,
		      uint64_t now_ms)
{
	if (m->join.member == ms->self.member)
		return true;
	if (strcmp(m->join.dc, ms->self.dc) != 0)
		return !m->leaving && now_ms - m->renewed_ms <= expiry_ms(m);
	return now_ms - m->heard_ms <= ms->times.suspect_ms;
}

static uint64_t expiry_ms(const ffl_member_t *m)
{
	return m->join.expiry_ms;
}

static void fold_join(ffl_members_t *ms, uint64_t offset,
		      const ffl_join_t *join, uint64_t now_ms)
{
	ffl_member_t *m = find_member(ms, join->member);
	ffl_member_t fresh = { .joined_offset = offset };

	if (m) {
		m->join = *join;
		m->heard_ms = now_ms;
		m->renewed_ms = now_ms;
		m->renewed_offset = offset;
		return;
	}
	fresh.join = *join;
	fresh.heard_ms = now_ms;
	fresh.renewed_ms = now_ms;
	fresh.renewed_offset = offset;
	g_array_append_val(ms->members, fresh);
	g_array_sort(ms->members, compare_members);
	if (!find_cell(ms, join->dc)) {
		ffl_cell_t cell = { .member = 0 };

		ffl_copy(cell.dc, sizeof(cell.dc), join->dc);
		g_array_append_val(ms->cells, cell);
		g_array_sort(ms->cells, compare_cells);
	}
}

/* A leave record that another host wrote is ignored if the member has renewed
 * its registration since. All hosts read the records in the same order, so they
 * decide alike. */
static void fold_leave(ffl_members_t *ms, const ffl_leave_t *leave)
{
	const ffl_member_t *m = find_member(ms, leave->member);

	if (!m || (leave->joined && leave->joined != m->renewed_offset))
		return;
	for (guint i = 0; i < ms->cells->len; i++) {
		ffl_cell_t *c = &g_array_index(ms->cells, ffl_cell_t, i);

		if (c->member == leave->member)
			c->member = 0;
	}
	g_array_remove_index(ms->members,
			     (guint)(m - (ffl_member_t *)ms->members->data));
	if (leave->member == ms->self.member)
		ms->renew_at_ms = 0;
}

static void fold_lead(ffl_members_t *ms, uint64_t offset,
		      const ffl_lead_t *lead, uint64_t now_ms)
{
	ffl_cell_t *c = find_cell(ms, lead->dc);

	const ffl_member_t *m = find_member(ms, lead->member);

	if (!c || !m || c->epoch != lead->previous_epoch ||
	    strcmp(m->join.dc, lead->dc) != 0)
		return;
	c->rapid_claims = c->epoch && now_ms - c->claimed_ms < RAPID_CLAIM_MS
				  ? c->rapid_claims + 1
				  : 0;
	c->claimed_ms = now_ms;
	c->member = lead->member;
	c->epoch = offset;
}

void ffl_members_fold(ffl_members_t *ms, uint64_t offset,
		      const ffl_record_t *rec, uint64_t now_ms)
{
	guint old_count = ms->members->len;

	if (rec->writer == ms->self.member && rec->seq == ms->claim_seq)
		ms->claim_seq = 0;
	switch (rec->kind) {
	case FFL_REC_JOIN:
		fold_join(ms, offset, &rec->join, now_ms);
		break;
	case FFL_REC_LEAVE:
		fold_leave(ms, &rec->leave);
		break;
	case FFL_REC_LEAD:
		fold_lead(ms, offset, &rec->lead, now_ms);
		break;
	default:
		break;
	}
	if (ms->members->len != old_count)
		ms->changed_offset = offset;
}

void ffl_members_on_peer(ffl_members_t *ms, const ffl_peer_msg_t *msg,
			 uint64_t now_ms)
{
	ffl_member_t *m = find_member(ms, msg->head.from);

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

		if (m->join.member == ms->self.member ||
		    strcmp(m->join.dc, ms->self.dc) != 0)
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

/* The live member that has been registered longest is the candidate: it knows
 * the cell best, and claims rarely compete; if they do, the log decides. */
static bool is_candidate(const ffl_members_t *ms, uint64_t now_ms)
{
	const ffl_member_t *first = NULL;

	for (guint i = 0; i < ms->members->len; i++) {
		const ffl_member_t *m =
			&g_array_index(ms->members, ffl_member_t, i);

		if (strcmp(m->join.dc, ms->self.dc) != 0 || m->leaving ||
		    !ffl_member_alive(ms, m, now_ms))
			continue;
		if (!first || m->joined_offset < first->joined_offset)
			first = m;
	}
	return first && first->join.member == ms->self.member;
}

bool ffl_members_is_deputy(const ffl_members_t *ms, uint64_t now_ms)
{
	const ffl_cell_t *c = ffl_members_find_cell(ms, ms->self.dc);
	const ffl_member_t *leader;

	if (!c || ms->stopping || c->member == ms->self.member)
		return false;
	leader = c->member ? ffl_members_find(ms, c->member) : NULL;
	if (leader && ffl_member_alive(ms, leader, now_ms))
		return false;
	return is_candidate(ms, now_ms);
}

/* Members that get no heartbeats of each other must not take over the cell from
 * one another again and again, so a new leader gets time to be heard from. */
static bool claim_must_wait(const ffl_members_t *ms, const ffl_cell_t *c,
			    uint64_t now_ms)
{
	uint32_t shift = c->rapid_claims < CLAIM_DOUBLINGS_MAX
				 ? c->rapid_claims
				 : CLAIM_DOUBLINGS_MAX;

	return c->member &&
	       now_ms - c->claimed_ms < (uint64_t)ms->times.suspect_ms << shift;
}

static void claim_cell(ffl_members_t *ms, ffl_logc_t *lc, uint64_t now_ms)
{
	ffl_record_t rec = { .kind = FFL_REC_LEAD };

	if (ms->claim_seq || !ffl_logc_reachable(lc) ||
	    !ffl_members_is_deputy(ms, now_ms) ||
	    !find_member(ms, ms->self.member) ||
	    claim_must_wait(ms, find_cell(ms, ms->self.dc), now_ms))
		return;
	rec.lead.member = ms->self.member;
	rec.lead.previous_epoch = find_cell(ms, ms->self.dc)->epoch;
	ffl_copy(rec.lead.dc, sizeof(rec.lead.dc), ms->self.dc);
	if (ffl_logc_append(lc, &rec) == FFL_OK)
		ms->claim_seq = rec.seq;
}

/* Expired members are removed by their own cell, or by any cell if no member
 * of theirs has renewed its registration later. */
static bool may_expire(const ffl_members_t *ms, const ffl_member_t *m)
{
	if (strcmp(m->join.dc, ms->self.dc) == 0)
		return true;
	for (guint i = 0; i < ms->members->len; i++) {
		const ffl_member_t *other =
			&g_array_index(ms->members, ffl_member_t, i);

		if (strcmp(other->join.dc, m->join.dc) == 0 &&
		    other->renewed_ms > m->renewed_ms)
			return false;
	}
	return true;
}

/* A member that has not renewed in time is removed by a leave record, so that
 * all hosts decide alike; the local clock only triggers that record. */
static void expire_members(ffl_members_t *ms, ffl_logc_t *lc, uint64_t now_ms)
{
	if (!ffl_logc_reachable(lc) || !is_candidate(ms, now_ms))
		return;
	for (guint i = 0; i < ms->members->len; i++) {
		ffl_member_t *m = &g_array_index(ms->members, ffl_member_t, i);
		ffl_record_t rec = { .kind = FFL_REC_LEAVE };

		if (now_ms - m->renewed_ms <= expiry_ms(m) ||
		    m->expiry_queued == m->renewed_offset ||
		    m->join.member == ms->self.member || !may_expire(ms, m))
			continue;
		rec.leave.member = m->join.member;
		rec.leave.joined = m->renewed_offset;
		if (ffl_logc_append(lc, &rec) == FFL_OK)
			m->expiry_queued = m->renewed_offset;
	}
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
	expire_members(ms, lc, now_ms);
}

void ffl_members_start_leave(ffl_members_t *ms, ffl_logc_t *lc)
{
	ffl_record_t rec = { .kind = FFL_REC_LEAVE };

	if (ms->stopping)
		return;
	ms->stopping = true;
	rec.leave.member = ms->self.member;
	ffl_logc_append(lc, &rec);
}
