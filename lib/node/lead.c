#include <string.h>

#include "lib/node/node_int.h"

/** After a write was sent, it proves authority for so long. */
#define AUTHORITY_MS 1300
/** Time before an append is repeated. */
#define REPEAT_MS 120
/** A leader without the log extends leases for so long; then what runs
 * outlasts the log's outage by one lease. */
#define HOLD_ON_MS 3000
/** After this it gives up: every lease that it gave has ended. */
#define GIVE_UP_MS 12000

static void send_append(ffl_node_t *n);
static void open_append(ffl_node_t *n, bool claim, bool resigned);
static void add_batch(ffl_node_t *n);
static void claim(ffl_node_t *n);
static void append_stands(ffl_node_t *n, uint64_t offset);
static void check_append(ffl_node_t *n);
static void take_append(ffl_node_t *n, const ffl_store_reply_t *reply);
static void lose(ffl_node_t *n, const char *why);
static void take_check(ffl_node_t *n, const ffl_store_reply_t *reply);
static void become_leader(ffl_node_t *n, uint64_t offset);
static void drive_leader(ffl_node_t *n);

void ffl_lead_init(ffl_node_t *n)
{
	n->lead.flows = g_ptr_array_new();
}

void ffl_lead_finish(ffl_node_t *n)
{
	ffl_lead_drop_append(n);
	g_ptr_array_free(n->lead.flows, TRUE);
}

bool ffl_lead_may_hold(const ffl_node_t *n)
{
	return n->lead.leading && n->now_ms - n->lead.proved_ms <= HOLD_ON_MS;
}

bool ffl_lead_may_start(const ffl_node_t *n)
{
	const ffl_lead_t *l = &n->lead;

	return l->leading && !n->stop_ms && !l->resign &&
	       n->now_ms - l->proved_ms <= AUTHORITY_MS &&
	       ffl_tail_fresh(n, FFL_TOPIC_JOBS, FFL_KNOWN_MS) &&
	       ffl_tail_fresh(n, FFL_TOPIC_WORKERS, FFL_KNOWN_MS);
}

void ffl_lead_drop_append(ffl_node_t *n)
{
	ffl_lead_t *l = &n->lead;

	if (l->writes)
		g_ptr_array_unref(l->writes);
	l->writes = NULL;
	g_ptr_array_set_size(l->flows, 0);
	l->call = 0;
	l->check = 0;
	l->batch = 0;
	l->claim = false;
}

static void send_append(ffl_node_t *n)
{
	ffl_node_act_t *act = ffl_node_act(n, FFL_NODE_ACT_APPEND);
	ffl_lead_t *l = &n->lead;

	act->store.topic = FFL_TOPIC_RUNS;
	act->store.call = l->call = ffl_node_call(n);
	act->store.at = l->at;
	act->store.timeout_ms = APPEND_TIMEOUT_MS;
	act->store.writes = g_ptr_array_ref(l->writes);
	l->sent_ms = n->now_ms;
}

static void open_append(ffl_node_t *n, bool is_claim, bool resigned)
{
	ffl_lead_t *l = &n->lead;

	l->claim = is_claim;
	l->number++;
	l->writes = g_ptr_array_new_with_free_func(ffl_write_free);
	g_ptr_array_add(l->writes,
			ffl_lead_write(n, is_claim ? 0 : l->token, resigned));
	l->resigning = resigned;
}

static void add_batch(ffl_node_t *n)
{
	ffl_lead_t *l = &n->lead;

	l->batch = ffl_dispatch_take_batch(&n->dispatch, l->flows);
	for (guint i = 0; i < l->flows->len; i++) {
		ffl_flow_t *flow = g_ptr_array_index(l->flows, i);
		ffl_write_t *w = ffl_write_new(KEY_PROGRESS, flow->spec.id);

		ffl_flow_progress_encode(flow, w->value);
		flow->recorded = ffl_flow_state(flow);
		g_ptr_array_add(l->writes, w);
	}
}

static void claim(ffl_node_t *n)
{
	ffl_lead_t *l = &n->lead;

	ffl_node_note(n, "leader-claim", n->opt.name,
		      "at=%" PRIu64 " before=%s silent_ms=%" PRIu64,
		      n->tails[FFL_TOPIC_RUNS].next, l->holder,
		      n->now_ms - l->seen_ms);
	open_append(n, true, false);
	l->at = n->tails[FFL_TOPIC_RUNS].next;
	send_append(n);
}

static void become_leader(ffl_node_t *n, uint64_t offset)
{
	ffl_lead_t *l = &n->lead;
	bool gone = l->resigned || strcmp(l->holder, n->opt.name) == 0;
	uint64_t given_ms = gone ? n->now_ms : l->seen_ms + HOLD_ON_MS;

	if (l->seen_ms)
		ffl_node_measure(n, FFL_LATENCY_TAKEOVER,
				 n->now_ms - l->seen_ms);
	l->leading = true;
	l->loading = false;
	l->resign = false;
	l->since_ms = n->now_ms;
	l->token = offset + 1;
	l->holder_token = l->token;
	l->holder_size = n->opt.size_milli;
	l->publish.sent_ms = 0;
	ffl_copy(l->holder, sizeof(l->holder), n->opt.name);
	l->holder_life = n->life;
	ffl_tail_restart(&n->tails[FFL_TOPIC_WORKERS]);
	n->tails[FFL_TOPIC_RUNS].call = 0;
	ffl_flows_take_over(&n->flows);
	ffl_dispatch_become_leader(&n->dispatch, l->token, given_ms, n->now_ms);
	ffl_node_note(n, "leader-began", n->opt.name,
		      "token=%" PRIu64 " runs=%u open=%u", l->token,
		      n->dispatch.runs->len, n->flows.open->len);
}

/* What was changed but not recorded must not be believed any more. */
void ffl_lead_step_down(ffl_node_t *n, const char *why)
{
	ffl_lead_t *l = &n->lead;

	ffl_node_note(n, "leader-ended", n->opt.name,
		      "token=%" PRIu64 " why=%s", l->token, why);
	ffl_lead_drop_append(n);
	ffl_dispatch_step_down(&n->dispatch);
	ffl_flows_reset_progress(&n->flows);
	ffl_flows_close_published(&n->flows);
	if (l->resigning)
		ffl_publish_resign(n, l->token);
	l->leading = false;
	l->holder[0] = '\0';
	l->seen_ms = n->now_ms;
	l->retry_ms = n->now_ms + FFL_CLAIM_SPREAD_MS;
}

static void append_stands(ffl_node_t *n, uint64_t offset)
{
	ffl_lead_t *l = &n->lead;
	uint64_t end = offset + l->writes->len;
	bool was_claim = l->claim;

	l->proved_ms = l->sent_ms;
	l->last_ms = n->now_ms;
	l->at = end;
	n->tails[FFL_TOPIC_RUNS].next = end;
	for (guint i = 0; i < l->flows->len; i++) {
		ffl_flow_t *flow = g_ptr_array_index(l->flows, i);

		ffl_flow_show(flow, flow->recorded);
		flow->has_progress = true;
		flow->progress_offset = end;
	}
	if (l->batch)
		ffl_dispatch_confirm_batch(&n->dispatch, l->batch);
	ffl_lead_drop_append(n);
	if (was_claim)
		become_leader(n, offset);
	else if (l->resigning)
		ffl_lead_step_down(n, "resigned");
}

/* The answer was lost, or the topic ends elsewhere: what stands there? */
static void check_append(ffl_node_t *n)
{
	ffl_node_act_t *act = ffl_node_act(n, FFL_NODE_ACT_READ);
	ffl_lead_t *l = &n->lead;

	act->store.topic = FFL_TOPIC_RUNS;
	act->store.call = l->check = ffl_node_call(n);
	act->store.from = l->at;
	act->store.timeout_ms = APPEND_TIMEOUT_MS;
}

static void take_append(ffl_node_t *n, const ffl_store_reply_t *reply)
{
	ffl_lead_t *l = &n->lead;

	l->call = 0;
	switch (reply->outcome) {
	case FFL_STORE_OK:
		append_stands(n, reply->first);
		return;
	case FFL_STORE_MOVED:
		check_append(n);
		return;
	default:
		l->retry_ms = n->now_ms + REPEAT_MS;
		if (l->claim && reply->outcome == FFL_STORE_REFUSED)
			ffl_claim_give_way(n, "claim refused");
		return;
	}
}

static void lose(ffl_node_t *n, const char *why)
{
	if (n->lead.leading)
		ffl_lead_step_down(n, why);
	else
		ffl_claim_give_way(n, why);
}

static void take_check(ffl_node_t *n, const ffl_store_reply_t *reply)
{
	ffl_lead_t *l = &n->lead;
	ffl_lead_record_t r;

	l->check = 0;
	if (reply->outcome == FFL_STORE_EXPIRED) {
		lose(n, "records expired");
		return;
	}
	if (reply->outcome != FFL_STORE_OK || !reply->count) {
		l->retry_ms = n->now_ms + REPEAT_MS;
		return;
	}
	if (reply->records[0].offset == l->at &&
	    strcmp(reply->records[0].key, KEY_LEAD) == 0 &&
	    ffl_lead_decode(reply->records[0].value, &r) && r.life == n->life &&
	    r.number == l->number) {
		append_stands(n, l->at);
		return;
	}
	lose(n, "another leads");
}

bool ffl_lead_take(ffl_node_t *n, const ffl_store_reply_t *reply)
{
	ffl_lead_t *l = &n->lead;

	if (l->call && reply->call == l->call) {
		take_append(n, reply);
		return true;
	}
	if (l->check && reply->call == l->check) {
		take_check(n, reply);
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
	if (n->now_ms - l->proved_ms > GIVE_UP_MS) {
		ffl_lead_step_down(n, "no word from the log");
		return;
	}
	if (l->call || l->check)
		return;
	if (l->writes) {
		if (n->now_ms >= l->retry_ms)
			send_append(n);
		return;
	}
	if (!l->resign && !n->dispatch.dirty &&
	    n->now_ms - l->last_ms < FFL_LEAD_BEAT_MS)
		return;
	open_append(n, false, l->resign);
	if (n->dispatch.dirty)
		add_batch(n);
	else
		ffl_prune(n);
	send_append(n);
}

void ffl_lead_drive(ffl_node_t *n)
{
	ffl_lead_t *l = &n->lead;

	if (l->leading) {
		drive_leader(n);
		return;
	}
	if (l->call || l->check)
		return;
	if (l->writes) {
		if (n->now_ms >= l->retry_ms)
			send_append(n);
		return;
	}
	if (ffl_claim_due(n))
		claim(n);
}
