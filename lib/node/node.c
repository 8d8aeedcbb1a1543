#include <stdarg.h>
#include <string.h>

#include "lib/node/node_int.h"

/** Base delay before a failed call is retried, and how many
 * times it doubles at most. */
#define BACKOFF_MS	   100
#define BACKOFF_DOUBLE_MAX 3
/** A host whose reads of the log have failed for longer than this counts as
 * cut off from it. */
#define LOG_CUT_OFF_MS 400
/** A stopping host serves at least this long: the load balancer probes hosts
 * every second and notices within two probes that one is not ready. */
#define UNREADY_NOTICE_MS 2500

typedef void (*event_fn_t)(ffl_node_t *n, ffl_node_event_t *ev);

static void on_tick(ffl_node_t *n, ffl_node_event_t *ev);
static void on_store(ffl_node_t *n, ffl_node_event_t *ev);
static void on_worker(ffl_node_t *n, ffl_node_event_t *ev);
static void on_request(ffl_node_t *n, ffl_node_event_t *ev);
static void on_stop(ffl_node_t *n, ffl_node_event_t *ev);
static void on_explain(ffl_node_t *n, ffl_node_event_t *ev);
static void add_note(void *user, const char *event, const char *subject,
		     const char *text);
static void begin_step(ffl_node_t *n, uint64_t now_ms, uint64_t wall_ms,
		       GArray *acts);
static void drive_all(ffl_node_t *n);
static void drive_dispatch(ffl_node_t *n);
static bool is_cut_off(const ffl_node_t *n);
static void drive_ready(ffl_node_t *n);
static void drive_stop(ffl_node_t *n);
static uint32_t config_age_max_ms(const ffl_node_t *n);
static bool can_route(const ffl_node_t *n);

static const event_fn_t handlers[FFL_NODE_EV__MAX] = {
	[FFL_NODE_EV_TICK] = on_tick,	  [FFL_NODE_EV_STORE] = on_store,
	[FFL_NODE_EV_WORKER] = on_worker, [FFL_NODE_EV_REQUEST] = on_request,
	[FFL_NODE_EV_STOP] = on_stop,	  [FFL_NODE_EV_EXPLAIN] = on_explain,
};

static const char *const topic_names[FFL_TOPIC__MAX] = {
	[FFL_TOPIC_CONFIG] = "config", [FFL_TOPIC_WORKERS] = "workers",
	[FFL_TOPIC_JOBS] = "jobs",     [FFL_TOPIC_RUNS] = "runs",
	[FFL_TOPIC_STATES] = "states",
};

static const char *const response_names[FFL_RESPONSE__MAX] = {
	[FFL_RESPONSE_ACCEPTED] = "accepted",
	[FFL_RESPONSE_STATE] = "state",
	[FFL_RESPONSE_PENDING] = "pending",
	[FFL_RESPONSE_CANCELLED] = "cancelled",
	[FFL_RESPONSE_GONE] = "gone",
	[FFL_RESPONSE_NO_ROUTE] = "no-route",
	[FFL_RESPONSE_NO_KEY] = "no-key",
	[FFL_RESPONSE_INVALID] = "invalid",
	[FFL_RESPONSE_CONFLICT] = "conflict",
	[FFL_RESPONSE_NO_METHOD] = "no-method",
	[FFL_RESPONSE_BUSY] = "busy",
	[FFL_RESPONSE_UNKNOWN] = "unknown",
};

static const char *const outcome_names[FFL_STORE__MAX] = {
	[FFL_STORE_OK] = "ok",		 [FFL_STORE_MOVED] = "moved",
	[FFL_STORE_EXPIRED] = "expired", [FFL_STORE_REFUSED] = "refused",
	[FFL_STORE_UNKNOWN] = "unknown",
};

const char *ffl_topic_name(uint32_t topic)
{
	return topic < FFL_TOPIC__MAX ? topic_names[topic] : "?";
}

const char *ffl_response_kind_name(uint32_t kind)
{
	return kind < FFL_RESPONSE__MAX ? response_names[kind] : "?";
}

const char *ffl_store_outcome_name(uint32_t outcome)
{
	return outcome < FFL_STORE__MAX ? outcome_names[outcome] : "?";
}

ffl_write_t *ffl_write_new(char kind, const char *id)
{
	ffl_write_t *w = g_new0(ffl_write_t, 1);

	if (kind)
		g_snprintf(w->key, sizeof(w->key), "%c%s", kind, id);
	else
		ffl_copy(w->key, sizeof(w->key), id);
	w->value = g_byte_array_new();
	return w;
}

void ffl_write_free(void *data)
{
	ffl_write_t *w = data;

	g_byte_array_unref(w->value);
	g_free(w);
}

uint64_t ffl_write_bytes(const ffl_write_t *w)
{
	return FFL_RECORD_FRAME_BYTES + strlen(w->key) + w->value->len;
}

uint64_t ffl_node_append_bytes_max(const ffl_node_t *n)
{
	return MIN(n->opt.append_bytes_max, APPEND_BYTES_MAX);
}

ffl_node_act_t *ffl_node_add_append(ffl_node_t *n, ffl_topic_t topic,
				    uint32_t timeout_ms)
{
	ffl_node_act_t *act = ffl_node_add_act(n, FFL_NODE_ACT_APPEND);

	act->store.topic = topic;
	act->store.call = ffl_node_next_call(n);
	act->store.expected_end = FFL_ANY_END;
	act->store.timeout_ms = timeout_ms;
	act->store.writes = g_ptr_array_new_with_free_func(ffl_write_free);
	return act;
}

ffl_node_act_t *ffl_node_add_jobs_append(ffl_node_t *n, uint32_t part)
{
	ffl_node_act_t *act = ffl_node_add_append(n, FFL_TOPIC_JOBS,
						  SHARED_APPEND_TIMEOUT_MS);

	act->store.part = part;
	return act;
}

uint32_t ffl_tail_index(ffl_topic_t topic, uint32_t part)
{
	return part ? (uint32_t)FFL_TOPIC__MAX + part - 1 : topic;
}

ffl_tail_t *ffl_node_jobs_tail(ffl_node_t *n, uint32_t part)
{
	return &n->tails[ffl_tail_index(FFL_TOPIC_JOBS, part)];
}

const ffl_tail_t *ffl_node_view_jobs_tail(const ffl_node_t *n, uint32_t part)
{
	return &n->tails[ffl_tail_index(FFL_TOPIC_JOBS, part)];
}

uint32_t ffl_node_all_parts(const ffl_node_t *n)
{
	return (1U << n->jobs_parts) - 1;
}

bool ffl_node_knows_jobs(const ffl_node_t *n)
{
	for (uint32_t i = 0; i < n->jobs_parts; i++) {
		if (!ffl_node_view_jobs_tail(n, i)->synced)
			return false;
	}
	return true;
}

uint32_t ffl_node_unread_parts(const ffl_node_t *n)
{
	uint32_t unread = 0;

	for (uint32_t i = 0; i < n->jobs_parts; i++) {
		const ffl_tail_t *t = ffl_node_view_jobs_tail(n, i);

		if (!t->synced ||
		    n->now_ms - t->caught_up_ms > FFL_LEAD_STALENESS_MAX_MS)
			unread |= 1U << i;
	}
	return unread;
}

uint64_t ffl_node_jobs_caught_up_ms(const ffl_node_t *n)
{
	uint64_t oldest_ms = UINT64_MAX;

	for (uint32_t i = 0; i < n->jobs_parts; i++)
		oldest_ms = MIN(oldest_ms,
				ffl_node_view_jobs_tail(n, i)->caught_up_ms);
	return oldest_ms;
}

ffl_node_act_t *ffl_node_add_act(ffl_node_t *n, ffl_node_act_kind_t kind)
{
	ffl_node_act_t *act;

	g_array_set_size(n->acts, n->acts->len + 1);
	act = &g_array_index(n->acts, ffl_node_act_t, n->acts->len - 1);
	memset(act, 0, sizeof(*act));
	act->kind = kind;
	return act;
}

void ffl_node_note(ffl_node_t *n, const char *event, const char *subject,
		   const char *fmt, ...)
{
	char text[FFL_REASON_BYTES];
	va_list ap;

	va_start(ap, fmt);
	g_vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	add_note(n, event, subject, text);
}

static void add_note(void *user, const char *event, const char *subject,
		     const char *text)
{
	ffl_node_act_t *act = ffl_node_add_act(user, FFL_NODE_ACT_NOTE);

	ffl_copy(act->note.event, sizeof(act->note.event), event);
	ffl_copy(act->note.subject, sizeof(act->note.subject), subject);
	ffl_copy(act->note.text, sizeof(act->note.text), text);
}

void ffl_node_measure(void *user, ffl_latency_t what, uint64_t ms)
{
	ffl_node_act_t *act = ffl_node_add_act(user, FFL_NODE_ACT_MEASURE);

	act->measure.what = what;
	act->measure.ms = ms;
}

uint64_t ffl_node_next_call(ffl_node_t *n)
{
	return ++n->last_call;
}

uint32_t ffl_node_backoff_ms(ffl_node_t *n, uint32_t failures)
{
	uint32_t ms = BACKOFF_MS << MIN(failures - 1, BACKOFF_DOUBLE_MAX);

	return ms / 2 + (uint32_t)ffl_rng_below(&n->rng, ms);
}

void ffl_node_init(ffl_node_t *n, const ffl_node_options_t *opt)
{
	memset(n, 0, sizeof(*n));
	n->opt = *opt;
	ffl_rng_init(&n->rng, opt->seed);
	n->incarnation = ffl_rng_next(&n->rng) >> 1;
	ffl_flows_init(&n->flows);
	ffl_dispatch_init(&n->dispatch, &opt->dispatch, &n->flows);
	n->dispatch.note = add_note;
	n->dispatch.measure = ffl_node_measure;
	n->dispatch.note_user = n;
	ffl_routes_init(&n->routes);
	ffl_evacuations_init(n);
	ffl_outlooks_init(n);
	n->jobs_read = CLAMP(opt->partitions, 1, FFL_JOBS_PARTS_MAX);
	n->jobs_parts = 1;
	ffl_tails_init(n);
	ffl_lead_init(n);
	ffl_publish_init(n);
	n->pending = g_ptr_array_new_with_free_func(ffl_pending_free);
	n->held = g_ptr_array_new_with_free_func(ffl_held_free);
	n->orders = g_array_new(FALSE, TRUE, sizeof(ffl_order_t));
}

void ffl_node_finish(ffl_node_t *n)
{
	g_array_free(n->orders, TRUE);
	g_ptr_array_free(n->pending, TRUE);
	g_ptr_array_free(n->held, TRUE);
	ffl_publish_finish(n);
	ffl_lead_finish(n);
	ffl_tails_finish(n);
	ffl_dispatch_finish(&n->dispatch);
	ffl_flows_finish(&n->flows);
	ffl_evacuations_finish(n);
	ffl_outlooks_finish(n);
	ffl_routes_finish(&n->routes);
}

static uint32_t config_age_max_ms(const ffl_node_t *n)
{
	return n->opt.config_apply_ms + n->opt.config_skew_ms / 2;
}

static bool can_route(const ffl_node_t *n)
{
	return n->has_routes && n->tails[FFL_TOPIC_STATES].synced &&
	       ffl_tail_is_caught_up(n, FFL_TOPIC_CONFIG, config_age_max_ms(n));
}

bool ffl_node_can_serve(const ffl_node_t *n)
{
	return can_route(n) && ffl_node_knows_jobs(n);
}

/* A job may stand in another partition than its id names, if it is older than
 * the number of partitions; so all must have been read once. */
bool ffl_node_can_serve_part(const ffl_node_t *n, uint32_t part)
{
	for (uint32_t i = 0; i < n->jobs_parts; i++) {
		const ffl_tail_t *t = ffl_node_view_jobs_tail(n, i);

		if (!t->was_synced || (i == part && !t->synced))
			return false;
	}
	return can_route(n);
}

static void on_tick(ffl_node_t *n, ffl_node_event_t *ev)
{
}

static void on_store(ffl_node_t *n, ffl_node_event_t *ev)
{
	if (ffl_lead_handle_reply(n, &ev->store) ||
	    ffl_publish_handle_reply(n, &ev->store) ||
	    ffl_request_handle_reply(n, &ev->store))
		return;
	ffl_tails_handle_reply(n, &ev->store);
}

static void on_worker(ffl_node_t *n, ffl_node_event_t *ev)
{
	ffl_dispatch_handle_reply(&n->dispatch, &ev->worker, n->now_ms);
}

static void on_request(ffl_node_t *n, ffl_node_event_t *ev)
{
	ffl_request_handle(n, &ev->request);
}

static void on_stop(ffl_node_t *n, ffl_node_event_t *ev)
{
	if (n->stop_began_ms)
		return;
	n->stop_began_ms = n->now_ms;
	n->lead.resign_requested = n->lead.leading;
	ffl_node_note(n, "stopping", n->opt.name, "leading=%d pending=%u",
		      n->lead.leading, n->pending->len);
}

static void on_explain(ffl_node_t *n, ffl_node_event_t *ev)
{
	ffl_request_explain(n, &ev->request);
}

static void drive_dispatch(ffl_node_t *n)
{
	if (!n->lead.leading)
		return;
	g_array_set_size(n->orders, 0);
	n->dispatch.unread_parts = ffl_node_unread_parts(n);
	ffl_dispatch_step(&n->dispatch, n->now_ms, n->wall_ms,
			  ffl_lead_may_start_runs(n),
			  ffl_lead_may_extend_leases(n), n->orders);
	for (guint i = 0; i < n->orders->len; i++)
		ffl_node_add_act(n, FFL_NODE_ACT_ORDER)->order =
			g_array_index(n->orders, ffl_order_t, i);
}

/* A host that cannot reach the log reports itself as not ready, so that the
 * load balancer sends callers to other hosts at once. A partition that fails
 * alone fails for all hosts. */
static bool is_cut_off(const ffl_node_t *n)
{
	uint64_t since_ms = n->now_ms;

	for (uint32_t i = 0; i < n->jobs_parts; i++) {
		const ffl_tail_t *t = ffl_node_view_jobs_tail(n, i);

		if (!t->failures)
			return false;
		since_ms = MIN(since_ms, t->failing_since_ms);
	}
	return n->now_ms - since_ms > LOG_CUT_OFF_MS;
}

static void drive_ready(ffl_node_t *n)
{
	bool ready =
		!n->stop_began_ms && ffl_node_can_serve(n) && !is_cut_off(n);

	if (ready == n->ready)
		return;
	n->ready = ready;
	ffl_node_add_act(n, FFL_NODE_ACT_READY)->ready = ready;
	ffl_node_note(n, ready ? "ready" : "unready", n->opt.name,
		      "config=%" PRIu64 " age_ms=%" PRIu64 " stopping=%d",
		      n->routes.version,
		      n->now_ms - n->tails[FFL_TOPIC_CONFIG].caught_up_ms,
		      n->stop_began_ms != 0);
}

static void drive_stop(ffl_node_t *n)
{
	uint64_t since = n->now_ms - n->stop_began_ms;

	if (!n->stop_began_ms || n->exiting)
		return;
	if (since < n->opt.stop_drain_ms &&
	    (since < UNREADY_NOTICE_MS || n->pending->len || n->lead.leading))
		return;
	n->exiting = true;
	ffl_node_note(n, "stopped", n->opt.name,
		      "pending=%u leading=%d after_ms=%" PRIu64,
		      n->pending->len, n->lead.leading, since);
	ffl_node_add_act(n, FFL_NODE_ACT_EXIT);
}

static void begin_step(ffl_node_t *n, uint64_t now_ms, uint64_t wall_ms,
		       GArray *acts)
{
	n->acts = acts;
	n->now_ms = now_ms;
	n->wall_ms = wall_ms;
}

static void drive_all(ffl_node_t *n)
{
	drive_dispatch(n);
	ffl_lead_drive(n);
	ffl_publish_drive(n);
	ffl_tails_drive(n);
	ffl_request_drive(n);
	drive_ready(n);
	drive_stop(n);
}

void ffl_node_handle(ffl_node_t *n, ffl_node_event_t *ev, GArray *acts)
{
	ffl_node_acts_clear(acts);
	begin_step(n, ev->now_ms, ev->wall_ms, acts);
	handlers[ev->kind](n, ev);
}

void ffl_node_drive(ffl_node_t *n, uint64_t now_ms, uint64_t wall_ms,
		    GArray *acts)
{
	ffl_node_acts_clear(acts);
	begin_step(n, now_ms, wall_ms, acts);
	drive_all(n);
}

void ffl_node_step(ffl_node_t *n, ffl_node_event_t *ev, GArray *acts)
{
	ffl_node_handle(n, ev, acts);
	drive_all(n);
}

void ffl_node_acts_clear(GArray *acts)
{
	for (guint i = 0; i < acts->len; i++) {
		ffl_node_act_t *act = &g_array_index(acts, ffl_node_act_t, i);

		if (act->kind == FFL_NODE_ACT_APPEND && act->store.writes)
			g_ptr_array_unref(act->store.writes);
		if (act->kind == FFL_NODE_ACT_EXPLAIN)
			ffl_request_explanation_free(act->explain.explanation);
	}
	g_array_set_size(acts, 0);
}
