#include <string.h>

#include "lib/node/node_int.h"

/** A successful append proves this host's authority for this long, counted from
 * the time at which the append was sent. */
#define AUTHORITY_MS 1300
/** Delay before a failed append is retried. */
#define APPEND_RETRY_MS 120
/** How long a leader that cannot reach the log goes on extending leases. In a
 * longer outage, a run ends when the last lease given to it expires. */
#define LEASE_EXTENSION_MAX_MS 3000
/** A leader without a successful append for this long steps down; by then every
 * lease that it gave has expired. */
#define STEP_DOWN_MS 12000

/* The value of a macro as a string literal. */
#define TEXT_OF(macro) QUOTED(macro)
#define QUOTED(text)   #text

static void send_append(ffl_node_t *n);
static void open_append(ffl_node_t *n, bool is_claim);
static void close_append(ffl_node_t *n);
static void announce_resignation(ffl_node_t *n);
static void encode_progress(ffl_flow_t *flow, GPtrArray *writes);
static void open_batch(ffl_node_t *n);
static guint next_job_records(const GPtrArray *writes, uint64_t *bytes);
static void fill_append(ffl_node_t *n);
static void confirm_batch(ffl_node_t *n);
static void close_batch(ffl_node_t *n);
static void send_claim(ffl_node_t *n);
static void append_succeeded(ffl_node_t *n, uint64_t offset);
static void check_append(ffl_node_t *n);
static void note_failed_append(ffl_node_t *n, const ffl_store_reply_t *reply);
static void handle_append_reply(ffl_node_t *n, const ffl_store_reply_t *reply);
static void lose_leadership(ffl_node_t *n, const char *why);
static void handle_check_reply(ffl_node_t *n, const ffl_store_reply_t *reply);
static bool holder_has_ended(const ffl_node_t *n);
static uint64_t last_lease_ms(const ffl_node_t *n, uint64_t claimed_ms);
static void become_leader(ffl_node_t *n, uint64_t offset);
static void drive_leader(ffl_node_t *n);

void ffl_lead_init(ffl_node_t *n)
{
	n->lead.flows = g_ptr_array_new();
	n->lead.unsent = g_ptr_array_new_with_free_func(ffl_write_free);
}

void ffl_lead_finish(ffl_node_t *n)
{
	ffl_lead_discard_append(n);
	g_ptr_array_free(n->lead.flows, TRUE);
	g_ptr_array_free(n->lead.unsent, TRUE);
}

/* The next leader takes a host whose resignation it reads for one that has
 * ended, also if the reply to that append is lost. */
bool ffl_lead_may_extend_leases(const ffl_node_t *n)
{
	return n->lead.leading && !n->lead.resigning &&
	       n->now_ms - n->lead.authority_ms <= LEASE_EXTENSION_MAX_MS;
}

bool ffl_lead_may_start_runs(const ffl_node_t *n)
{
	const ffl_lead_t *l = &n->lead;

	return l->leading && !n->stop_began_ms && !l->resign_requested &&
	       n->now_ms - l->authority_ms <= AUTHORITY_MS &&
	       ffl_node_unread_parts(n) != ffl_node_all_parts(n) &&
	       ffl_tail_is_caught_up(n, FFL_TOPIC_WORKERS,
				     FFL_LEAD_STALENESS_MAX_MS) &&
	       ffl_evacuations_may_start(n);
}

static void close_append(ffl_node_t *n)
{
	ffl_lead_t *l = &n->lead;

	if (l->writes)
		g_ptr_array_unref(l->writes);
	l->writes = NULL;
	l->call = 0;
	l->check_call = 0;
	l->is_claim = false;
}

static void close_batch(ffl_node_t *n)
{
	g_ptr_array_set_size(n->lead.unsent, 0);
	g_ptr_array_set_size(n->lead.flows, 0);
	n->lead.batch = 0;
}

void ffl_lead_discard_append(ffl_node_t *n)
{
	close_append(n);
	close_batch(n);
}

static void send_append(ffl_node_t *n)
{
	ffl_node_act_t *act = ffl_node_add_act(n, FFL_NODE_ACT_APPEND);
	ffl_lead_t *l = &n->lead;

	act->store.topic = FFL_TOPIC_RUNS;
	act->store.call = l->call = ffl_node_next_call(n);
	act->store.expected_end = l->expected_end;
	act->store.timeout_ms = APPEND_TIMEOUT_MS;
	act->store.writes = g_ptr_array_ref(l->writes);
	l->sent_ms = n->now_ms;
}

static void open_append(ffl_node_t *n, bool is_claim)
{
	ffl_lead_t *l = &n->lead;

	l->is_claim = is_claim;
	l->append_number++;
	l->writes = g_ptr_array_new_with_free_func(ffl_write_free);
	g_ptr_array_add(l->writes,
			ffl_lead_encode(n, is_claim ? 0 : l->token, false));
	l->resigning = false;
}

static void announce_resignation(ffl_node_t *n)
{
	ffl_lead_t *l = &n->lead;

	ffl_write_free(g_ptr_array_index(l->writes, 0));
	g_ptr_array_index(l->writes, 0) = ffl_lead_encode(n, l->token, true);
	l->resigning = true;
}

static void encode_progress(ffl_flow_t *flow, GPtrArray *writes)
{
	GByteArray *value = g_byte_array_new();
	char name[FFL_PROGRESS_NAME_BYTES];
	ffl_write_t *w;

	for (uint32_t i = 0; i < flow->parts_count; i++) {
		if (!ffl_flow_progress_encode_changed(flow, i, value))
			continue;
		ffl_flow_progress_name(flow, i, name);
		w = ffl_write_new(KEY_PROGRESS, name);
		g_byte_array_append(w->value, value->data, value->len);
		g_ptr_array_add(writes, w);
	}
	g_byte_array_unref(value);
}

static void open_batch(ffl_node_t *n)
{
	ffl_lead_t *l = &n->lead;

	l->batch = ffl_dispatch_take_batch(&n->dispatch, l->flows);
	for (guint i = 0; i < l->flows->len; i++) {
		ffl_flow_t *flow = g_ptr_array_index(l->flows, i);

		flow->batch_state = ffl_flow_state(flow);
		encode_progress(flow, l->unsent);
	}
}

/* Returns the number of records at the start of the batch that hold the
 * progress of one job, and their size. */
static guint next_job_records(const GPtrArray *writes, uint64_t *bytes)
{
	const ffl_write_t *first = g_ptr_array_index(writes, 0);
	guint count = 0;

	*bytes = 0;
	while (count < writes->len) {
		const ffl_write_t *w = g_ptr_array_index(writes, count);

		/* The type, the job's id and perhaps the number of a part. */
		if (strncmp(w->key, first->key, FFL_FLOW_ID_BYTES) != 0)
			break;
		*bytes += ffl_write_bytes(w);
		count++;
	}
	return count;
}

/* Moves what fits of the batch into the append. The records of a job stay
 * together unless they exceed an append by themselves. */
static void fill_append(ffl_node_t *n)
{
	ffl_lead_t *l = &n->lead;
	uint64_t left = ffl_node_append_bytes_max(n);

	left -= MIN(left, ffl_write_bytes(g_ptr_array_index(l->writes, 0)));
	while (l->unsent->len) {
		bool empty = l->writes->len == 1;
		uint64_t bytes;
		guint count = next_job_records(l->unsent, &bytes);

		if (bytes > left && !empty)
			return;
		while (count--) {
			ffl_write_t *w = g_ptr_array_index(l->unsent, 0);

			bytes = ffl_write_bytes(w);
			if (bytes > left && l->writes->len > 1)
				return;
			g_ptr_array_add(l->writes, w);
			g_ptr_array_steal_index(l->unsent, 0);
			left -= MIN(left, bytes);
		}
	}
}

static void send_claim(ffl_node_t *n)
{
	ffl_lead_t *l = &n->lead;

	ffl_node_note(n, "leader-claim", n->opt.name,
		      "at=%" PRIu64 " before=%s silent_ms=%" PRIu64,
		      n->tails[FFL_TOPIC_RUNS].next, l->holder,
		      n->now_ms - l->holder_seen_ms);
	open_append(n, true);
	l->expected_end = n->tails[FFL_TOPIC_RUNS].next;
	send_append(n);
}

/* A record of this incarnation may be the claim itself, and hides whom it
 * follows. */
static bool holder_has_ended(const ffl_node_t *n)
{
	const ffl_lead_t *l = &n->lead;

	return l->holder_resigned || (strcmp(l->holder, n->opt.name) == 0 &&
				      l->holder_incarnation != n->incarnation);
}

/* Returns the latest time at which a leader before this host may give a lease.
 * Unless it is known to have ended, the earlier leader may go on extending
 * leases. Its last append precedes this host's claim. When it was last seen
 * says less: its appends to the topic of states may be late or lost. One that
 * has ended may have had others before it that have not. */
static uint64_t last_lease_ms(const ffl_node_t *n, uint64_t claimed_ms)
{
	uint64_t last_ms = holder_has_ended(n)
				   ? n->now_ms
				   : claimed_ms + LEASE_EXTENSION_MAX_MS;

	return MAX(last_ms, MIN(n->lead.earlier_lease_ms,
				n->now_ms + LEASE_EXTENSION_MAX_MS));
}

uint32_t ffl_lead_earlier_lease_ms(const ffl_node_t *n)
{
	uint64_t last_ms = n->lead.leading ? n->dispatch.last_lease_ms
					   : last_lease_ms(n, n->now_ms);

	return (uint32_t)(last_ms - MIN(last_ms, n->now_ms));
}

static void become_leader(ffl_node_t *n, uint64_t offset)
{
	ffl_lead_t *l = &n->lead;
	bool has_ended = holder_has_ended(n);
	uint64_t last_ms = last_lease_ms(n, l->sent_ms);

	if (l->holder_seen_ms)
		ffl_node_measure(n, FFL_LATENCY_TAKEOVER,
				 n->now_ms - l->holder_seen_ms);
	l->leading = true;
	l->loading = false;
	l->resign_requested = false;
	l->holder_since_ms = n->now_ms;
	l->token = offset + 1;
	l->holder_token = l->token;
	l->holder_size_milli = n->opt.size_milli;
	l->publish.sent_ms = 0;
	ffl_copy(l->holder, sizeof(l->holder), n->opt.name);
	l->holder_incarnation = n->incarnation;
	ffl_tail_restart(&n->tails[FFL_TOPIC_WORKERS]);
	n->tails[FFL_TOPIC_RUNS].call = 0;
	ffl_flows_adopt_progress(&n->flows);
	ffl_dispatch_become_leader(&n->dispatch, l->token, last_ms, n->now_ms);
	ffl_node_note(n, "leader-began", n->opt.name,
		      "token=%" PRIu64 " runs=%u open=%u ended=%d", l->token,
		      n->dispatch.runs->len, n->flows.open->len, has_ended);
}

/* Changes that have not reached the log are void: all progress is discarded
 * and read again before a new claim. */
void ffl_lead_step_down(ffl_node_t *n, const char *why)
{
	ffl_lead_t *l = &n->lead;

	ffl_node_note(n, "leader-ended", n->opt.name,
		      "token=%" PRIu64 " why=%s", l->token, why);
	ffl_lead_discard_append(n);
	ffl_dispatch_step_down(&n->dispatch);
	ffl_flows_reset_progress(&n->flows);
	ffl_flows_close_published(&n->flows);
	if (l->resigning)
		ffl_publish_resignation(n, l->token);
	l->leading = false;
	l->holder[0] = '\0';
	l->holder_seen_ms = n->now_ms;
	l->retry_ms = n->now_ms + FFL_CLAIM_SPREAD_MS;
}

static void confirm_batch(ffl_node_t *n)
{
	ffl_lead_t *l = &n->lead;

	for (guint i = 0; i < l->flows->len; i++) {
		ffl_flow_t *flow = g_ptr_array_index(l->flows, i);

		ffl_flow_set_visible_state(flow, flow->batch_state);
		l->publish.final_waits |=
			ffl_flow_state_is_final(flow->visible_state);
		flow->has_progress = true;
	}
	if (l->batch)
		ffl_dispatch_confirm_batch(&n->dispatch, l->batch);
	close_batch(n);
}

static void append_succeeded(ffl_node_t *n, uint64_t offset)
{
	ffl_lead_t *l = &n->lead;
	uint64_t end = offset + l->writes->len;
	bool was_claim = l->is_claim;

	l->authority_ms = l->sent_ms;
	l->last_append_ms = n->now_ms;
	l->expected_end = end;
	n->tails[FFL_TOPIC_RUNS].next = end;
	if (!l->unsent->len)
		confirm_batch(n);
	ffl_dispatch_raise_token(&n->dispatch, end);
	close_append(n);
	if (was_claim)
		become_leader(n, offset);
	else if (l->resigning)
		ffl_lead_step_down(n, "resigned");
}

/* The topic does not end where expected: this append may have succeeded with
 * its reply lost, or another host has written. Reads the record there, and
 * whether the topic goes on behind the append: then another host has claimed
 * since. */
static void check_append(ffl_node_t *n)
{
	ffl_node_act_t *act = ffl_node_add_act(n, FFL_NODE_ACT_READ);
	ffl_lead_t *l = &n->lead;

	act->store.topic = FFL_TOPIC_RUNS;
	act->store.call = l->check_call = ffl_node_next_call(n);
	act->store.from = l->expected_end;
	act->store.timeout_ms = APPEND_TIMEOUT_MS;
}

static void note_failed_append(ffl_node_t *n, const ffl_store_reply_t *reply)
{
	const GPtrArray *writes = n->lead.writes;
	const ffl_write_t *largest = g_ptr_array_index(writes, 0);
	uint64_t bytes = 0;

	for (guint i = 0; i < writes->len; i++) {
		const ffl_write_t *w = g_ptr_array_index(writes, i);

		bytes += w->value->len;
		if (w->value->len > largest->value->len)
			largest = w;
	}
	ffl_node_note(n, "append-failed", largest->key,
		      "outcome=%s number=%" PRIu64 " records=%u bytes=%" PRIu64
		      " largest=%u after_ms=%" PRIu64,
		      ffl_store_outcome_name(reply->outcome),
		      n->lead.append_number, writes->len, bytes,
		      largest->value->len, n->now_ms - n->lead.sent_ms);
}

static void handle_append_reply(ffl_node_t *n, const ffl_store_reply_t *reply)
{
	ffl_lead_t *l = &n->lead;

	l->call = 0;
	switch (reply->outcome) {
	case FFL_STORE_OK:
		append_succeeded(n, reply->first);
		return;
	case FFL_STORE_MOVED:
		check_append(n);
		return;
	default:
		note_failed_append(n, reply);
		l->retry_ms = n->now_ms + APPEND_RETRY_MS;
		if (l->is_claim && reply->outcome == FFL_STORE_REFUSED)
			ffl_claim_abandon(n, "the log refused the claim");
		return;
	}
}

static void lose_leadership(ffl_node_t *n, const char *why)
{
	if (n->lead.leading)
		ffl_lead_step_down(n, why);
	else
		ffl_claim_abandon(n, why);
}

static void handle_check_reply(ffl_node_t *n, const ffl_store_reply_t *reply)
{
	ffl_lead_t *l = &n->lead;
	ffl_lead_record_t r;

	l->check_call = 0;
	if (reply->outcome == FFL_STORE_EXPIRED) {
		lose_leadership(n, "the log no longer has the append to check");
		return;
	}
	if (reply->outcome != FFL_STORE_OK || !reply->count) {
		l->retry_ms = n->now_ms + APPEND_RETRY_MS;
		return;
	}
	if (reply->records[0].offset == l->expected_end &&
	    strcmp(reply->records[0].key, KEY_LEAD) == 0 &&
	    ffl_lead_decode(reply->records[0].value, &r) &&
	    r.incarnation == n->incarnation &&
	    r.append_number == l->append_number &&
	    reply->end <= l->expected_end + l->writes->len) {
		append_succeeded(n, l->expected_end);
		return;
	}
	lose_leadership(n, "another host leads");
}

bool ffl_lead_handle_reply(ffl_node_t *n, const ffl_store_reply_t *reply)
{
	ffl_lead_t *l = &n->lead;

	if (l->call && reply->call == l->call) {
		handle_append_reply(n, reply);
		return true;
	}
	if (l->check_call && reply->call == l->check_call) {
		handle_check_reply(n, reply);
		return true;
	}
	return false;
}

static void drive_leader(ffl_node_t *n)
{
	ffl_lead_t *l = &n->lead;

	if (n->dispatch.fenced) {
		ffl_lead_step_down(n, "fenced by a worker");
		return;
	}
	if (n->now_ms - l->authority_ms > STEP_DOWN_MS) {
		ffl_lead_step_down(n, "no append succeeded for " TEXT_OF(
					      STEP_DOWN_MS) " ms");
		return;
	}
	if (l->call || l->check_call)
		return;
	if (l->writes) {
		if (n->now_ms >= l->retry_ms)
			send_append(n);
		return;
	}
	if (!l->batch && n->dispatch.dirty)
		open_batch(n);
	if (!l->resign_requested && !l->batch &&
	    n->now_ms - l->last_append_ms < FFL_LEAD_HEARTBEAT_MS)
		return;
	open_append(n, false);
	fill_append(n);
	if (!l->unsent->len)
		ffl_prune(n);
	if (l->resign_requested && !l->unsent->len)
		announce_resignation(n);
	send_append(n);
}

void ffl_lead_drive(ffl_node_t *n)
{
	ffl_lead_t *l = &n->lead;

	if (l->leading) {
		drive_leader(n);
		return;
	}
	if (l->call || l->check_call)
		return;
	if (l->writes) {
		if (n->now_ms >= l->retry_ms)
			send_append(n);
		return;
	}
	if (ffl_claim_advance(n))
		send_claim(n);
}
