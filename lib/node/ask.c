#include <string.h>

#include "lib/node/node_int.h"

/** A caller that does not say how long it waits. */
#define DEADLINE_MS 3000
/** An answer leaves so long before the caller's deadline. */
#define MARGIN_MS 300
/** Time before an append is repeated. */
#define REPEAT_MS 100
/** Appends on their way at once, and records of one. */
#define APPENDS_MAX 4
#define RECORDS_MAX 64
/** A caller that is refused comes back after this; another host serves. */
#define RETRY_AFTER_MS 1000
/** A call that cannot be served yet is tried again for so long: under a
 * quarter of the shortest objective, after which a refusal comes late. */
#define HOLD_MS	 900
#define HELD_MAX 64
/** A look is answered from what was known so long before it, and waits for
 * newer records at most so long. */
#define LOOK_AGE_MS  60
#define LOOK_WAIT_MS 250

typedef void (*ask_fn_t)(ffl_node_t *n, ffl_request_t *req,
			 const ffl_route_t *route, const char *customer,
			 const char *id);

static void ask_submit(ffl_node_t *n, ffl_request_t *req,
		       const ffl_route_t *route, const char *customer,
		       const char *id);
static void ask_look(ffl_node_t *n, ffl_request_t *req,
		     const ffl_route_t *route, const char *customer,
		     const char *id);
static void ask_cancel(ffl_node_t *n, ffl_request_t *req,
		       const ffl_route_t *route, const char *customer,
		       const char *id);
static bool knows_state(const ffl_node_t *n, const ffl_flow_t *flow,
			uint64_t asked_ms);
static void serve_call(ffl_node_t *n, ffl_request_t *req);
static void hold_call(ffl_node_t *n, ffl_request_t *req);
static void drive_held(ffl_node_t *n);
static ffl_act_say_t *say(ffl_node_t *n, uint64_t call, ffl_say_t what);
static ffl_pending_t *wait_for(ffl_node_t *n, const ffl_request_t *req,
			       const char *id);
static bool is_yours(const ffl_flow_t *flow, const char *customer);
static void answer_pending(ffl_node_t *n, guint index, ffl_say_t what);
static bool try_pending(ffl_node_t *n, guint index);
static bool expire_pending(ffl_node_t *n, guint index);
static void send_appends(ffl_node_t *n);
static uint32_t appends_open(const ffl_node_t *n);

static const ask_fn_t askers[FFL_ASK__MAX] = {
	[FFL_ASK_SUBMIT] = ask_submit,
	[FFL_ASK_LOOK] = ask_look,
	[FFL_ASK_CANCEL] = ask_cancel,
};

void ffl_pending_free(void *data)
{
	ffl_pending_t *p = data;

	if (p->record)
		g_byte_array_unref(p->record);
	g_free(p);
}

static ffl_act_say_t *say(ffl_node_t *n, uint64_t call, ffl_say_t what)
{
	ffl_node_act_t *act = ffl_node_act(n, FFL_NODE_ACT_ANSWER);

	act->say.call = call;
	act->say.say = what;
	if (what == FFL_SAY_BUSY)
		act->say.retry_after_ms = RETRY_AFTER_MS;
	return &act->say;
}

static ffl_pending_t *wait_for(ffl_node_t *n, const ffl_request_t *req,
			       const char *id)
{
	ffl_pending_t *p = g_new0(ffl_pending_t, 1);
	uint32_t wait_ms = req->deadline_ms ? req->deadline_ms : DEADLINE_MS;

	p->call = req->call;
	p->ask = req->ask;
	ffl_copy(p->id, sizeof(p->id), id);
	p->asked_ms = n->now_ms;
	p->deadline_ms = n->now_ms + MAX(wait_ms, 2 * MARGIN_MS) - MARGIN_MS;
	g_ptr_array_add(n->pending, p);
	return p;
}

static bool is_yours(const ffl_flow_t *flow, const char *customer)
{
	return !customer || strcmp(flow->spec.customer, customer) == 0;
}

static void ask_submit(ffl_node_t *n, ffl_request_t *req,
		       const ffl_route_t *route, const char *customer,
		       const char *id)
{
	ffl_flow_spec_t *spec = req->spec;
	ffl_flow_t *known;
	ffl_pending_t *p;
	ffl_err_t err;

	if (!spec) {
		ffl_copy(say(n, req->call, FFL_SAY_INVALID)->problem,
			 FFL_REASON_BYTES,
			 req->problem ? req->problem : "the body is missing");
		return;
	}
	ffl_copy(spec->id, sizeof(spec->id), id);
	ffl_copy(spec->queue, sizeof(spec->queue), route->queue);
	ffl_copy(spec->service, sizeof(spec->service), route->service);
	ffl_copy(spec->customer, sizeof(spec->customer),
		 customer ? customer : "");
	spec->priority = route->priority;
	spec->attempts_max = MAX(route->attempts_max, 1);
	spec->stretch_milli = route->stretch_milli;
	spec->aim_ms = route->aim_ms;
	spec->needs_tickets = route->needs_tickets;
	spec->accepted_ms = n->wall_ms;
	if (strlen(id) >= sizeof(spec->id) ||
	    ffl_flow_spec_settle(spec, &err) != FFL_OK) {
		ffl_copy(say(n, req->call, FFL_SAY_INVALID)->problem,
			 FFL_REASON_BYTES,
			 strlen(id) >= sizeof(spec->id) ? "the id is too long"
							: err.text);
		return;
	}
	known = ffl_flows_find(&n->flows, id);
	if (known) {
		say(n, req->call,
		    ffl_flow_spec_same(&known->spec, spec) ? FFL_SAY_ACCEPTED
							   : FFL_SAY_CONFLICT);
		return;
	}
	p = wait_for(n, req, id);
	p->record = g_byte_array_new();
	ffl_flow_spec_encode(spec, p->record);
}

/* A final state stays; the leader has written all others itself. */
static bool knows_state(const ffl_node_t *n, const ffl_flow_t *flow,
			uint64_t asked_ms)
{
	return n->lead.leading || ffl_flow_state_is_final(flow->shown) ||
	       ffl_tail_current(n, FFL_TOPIC_STATES, asked_ms - LOOK_AGE_MS);
}

static void ask_look(ffl_node_t *n, ffl_request_t *req,
		     const ffl_route_t *route, const char *customer,
		     const char *id)
{
	const ffl_flow_t *flow;

	if (!id[0]) {
		say(n, req->call, FFL_SAY_PENDING)->pending =
			ffl_flows_pending(&n->flows, route->queue);
		return;
	}
	flow = ffl_flows_find(&n->flows, id);
	if (!flow) {
		wait_for(n, req, id);
		ffl_tail_peek(n, FFL_TOPIC_JOBS);
	} else if (!is_yours(flow, customer)) {
		say(n, req->call, FFL_SAY_NOT_YOURS);
	} else if (knows_state(n, flow, n->now_ms)) {
		say(n, req->call, FFL_SAY_STATE)->state = flow->shown;
	} else {
		wait_for(n, req, id);
		ffl_tail_peek(n, FFL_TOPIC_STATES);
	}
}

static void ask_cancel(ffl_node_t *n, ffl_request_t *req,
		       const ffl_route_t *route, const char *customer,
		       const char *id)
{
	const ffl_flow_t *flow = ffl_flows_find(&n->flows, id);

	if (!id[0]) {
		say(n, req->call, FFL_SAY_NO_METHOD);
		return;
	}
	if (flow && !is_yours(flow, customer)) {
		say(n, req->call, FFL_SAY_NOT_YOURS);
		return;
	}
	wait_for(n, req, id);
	if (!flow)
		ffl_tail_peek(n, FFL_TOPIC_JOBS);
}

void ffl_held_free(void *data)
{
	ffl_held_t *h = data;

	g_free((char *)h->req.host);
	g_free((char *)h->req.path);
	g_free((char *)h->req.key);
	g_free((char *)h->req.problem);
	if (h->req.spec)
		ffl_flow_spec_finish(h->req.spec);
	g_free(h->req.spec);
	g_free(h);
}

static void hold_call(ffl_node_t *n, ffl_request_t *req)
{
	ffl_held_t *h;

	if (n->stop_ms || n->held->len >= HELD_MAX) {
		say(n, req->call, FFL_SAY_BUSY);
		return;
	}
	h = g_new0(ffl_held_t, 1);
	h->req = *req;
	h->req.host = g_strdup(req->host);
	h->req.path = g_strdup(req->path);
	h->req.key = g_strdup(req->key);
	h->req.problem = g_strdup(req->problem);
	if (req->spec) {
		h->req.spec = g_new(ffl_flow_spec_t, 1);
		*h->req.spec = *req->spec;
		ffl_flow_spec_init(req->spec);
	}
	h->until_ms = n->now_ms + HOLD_MS;
	g_ptr_array_add(n->held, h);
}

static void drive_held(ffl_node_t *n)
{
	bool serves = ffl_node_serves(n);

	for (guint i = n->held->len; i-- > 0;) {
		ffl_held_t *h = g_ptr_array_index(n->held, i);

		if (serves)
			serve_call(n, &h->req);
		else if (n->now_ms >= h->until_ms || n->stop_ms)
			say(n, h->req.call, FFL_SAY_BUSY);
		else
			continue;
		g_ptr_array_remove_index(n->held, i);
	}
}

void ffl_ask_take(ffl_node_t *n, ffl_request_t *req)
{
	if (!ffl_node_serves(n)) {
		hold_call(n, req);
		return;
	}
	serve_call(n, req);
}

static void serve_call(ffl_node_t *n, ffl_request_t *req)
{
	const ffl_route_t *route;
	const char *customer = NULL;
	const char *id;

	route = ffl_routes_match(&n->routes, req->host, req->path);
	if (!route) {
		say(n, req->call, FFL_SAY_NO_ROUTE);
		return;
	}
	if (req->key[0])
		customer = ffl_routes_customer(&n->routes, req->key);
	if (!customer && !route->open_to_all) {
		say(n, req->call, FFL_SAY_NO_KEY);
		return;
	}
	id = req->path + strlen(route->prefix);
	if (!askers[req->ask])
		say(n, req->call, FFL_SAY_NO_METHOD);
	else
		askers[req->ask](n, req, route, customer, id);
}

static void answer_pending(ffl_node_t *n, guint index, ffl_say_t what)
{
	const ffl_pending_t *p = g_ptr_array_index(n->pending, index);
	const ffl_flow_t *flow = ffl_flows_find(&n->flows, p->id);
	ffl_act_say_t *act = say(n, p->call, what);

	if (what == FFL_SAY_STATE && flow)
		act->state = flow->shown;
	if (p->ask == FFL_ASK_SUBMIT && what == FFL_SAY_ACCEPTED)
		ffl_node_measure(n, FFL_LATENCY_ACCEPT,
				 n->now_ms - p->asked_ms);
	if (p->ask != FFL_ASK_LOOK)
		ffl_node_note(n, "call-answered", p->id,
			      "say=%s after_ms=%" PRIu64 " config=%" PRIu64,
			      ffl_say_name(what), n->now_ms - p->asked_ms,
			      n->routes.version);
	g_ptr_array_remove_index(n->pending, index);
}

/* Answers what can be answered now from what the log has told. */
static bool try_pending(ffl_node_t *n, guint index)
{
	ffl_pending_t *p = g_ptr_array_index(n->pending, index);
	const ffl_flow_t *flow = ffl_flows_find(&n->flows, p->id);
	bool current = n->tails[FFL_TOPIC_JOBS].synced &&
		       n->tails[FFL_TOPIC_JOBS].fresh_ms >= p->asked_ms;

	if (p->ask == FFL_ASK_SUBMIT) {
		if (flow)
			answer_pending(n, index, FFL_SAY_ACCEPTED);
		return flow != NULL;
	}
	if (!flow) {
		if (current)
			answer_pending(n, index, FFL_SAY_GONE);
		else
			ffl_tail_peek(n, FFL_TOPIC_JOBS);
		return current;
	}
	if (p->ask == FFL_ASK_LOOK) {
		if (!knows_state(n, flow, p->asked_ms) &&
		    n->now_ms - p->asked_ms < LOOK_WAIT_MS) {
			ffl_tail_peek(n, FFL_TOPIC_STATES);
			return false;
		}
		answer_pending(n, index, FFL_SAY_STATE);
		return true;
	}
	if (flow->cancelled || flow->shown == FFL_FLOW_COMPLETED ||
	    flow->shown == FFL_FLOW_FAILED) {
		answer_pending(n, index, FFL_SAY_CANCELLED);
		return true;
	}
	if (!p->record) {
		p->record = g_byte_array_new();
		g_byte_array_append(p->record, (const guint8 *)"1", 1);
	}
	return false;
}

static bool expire_pending(ffl_node_t *n, guint index)
{
	const ffl_pending_t *p = g_ptr_array_index(n->pending, index);

	if (n->now_ms < p->deadline_ms)
		return false;
	/* A record that is on its way may yet stand. */
	answer_pending(n, index,
		       p->attempted || p->append ? FFL_SAY_UNKNOWN
						 : FFL_SAY_BUSY);
	return true;
}

static uint32_t appends_open(const ffl_node_t *n)
{
	uint64_t last = 0;
	uint32_t open = 0;

	for (guint i = 0; i < n->pending->len; i++) {
		const ffl_pending_t *p = g_ptr_array_index(n->pending, i);

		if (p->append && p->append != last)
			open++;
		last = p->append ? p->append : last;
	}
	return open;
}

/* Several records share an append, without waiting for more. */
static void send_appends(ffl_node_t *n)
{
	ffl_node_act_t *act = NULL;

	if (appends_open(n) >= APPENDS_MAX)
		return;
	for (guint i = 0; i < n->pending->len; i++) {
		ffl_pending_t *p = g_ptr_array_index(n->pending, i);
		ffl_write_t *w;

		if (!p->record || p->append || n->now_ms < p->retry_ms)
			continue;
		if (!act)
			act = ffl_jobs_append(n);
		w = ffl_write_new(p->ask == FFL_ASK_SUBMIT ? KEY_SPEC
							   : KEY_CANCEL,
				  p->id);
		g_byte_array_append(w->value, p->record->data, p->record->len);
		g_ptr_array_add(act->store.writes, w);
		p->append = act->store.call;
		if (act->store.writes->len >= RECORDS_MAX)
			return;
	}
}

bool ffl_ask_appended(ffl_node_t *n, const ffl_store_reply_t *reply)
{
	bool found = false;

	for (guint i = n->pending->len; i-- > 0;) {
		ffl_pending_t *p = g_ptr_array_index(n->pending, i);

		if (!p->append || p->append != reply->call)
			continue;
		found = true;
		p->append = 0;
		p->retry_ms = n->now_ms + REPEAT_MS;
		if (reply->outcome == FFL_STORE_OK)
			answer_pending(n, i,
				       p->ask == FFL_ASK_SUBMIT
					       ? FFL_SAY_ACCEPTED
					       : FFL_SAY_CANCELLED);
		else if (reply->outcome == FFL_STORE_UNKNOWN)
			p->attempted = true;
		else if (!p->attempted && p->ask == FFL_ASK_SUBMIT &&
			 n->now_ms - p->asked_ms >= HOLD_MS)
			answer_pending(n, i, FFL_SAY_BUSY);
	}
	return found;
}

void ffl_ask_drive(ffl_node_t *n)
{
	drive_held(n);
	for (guint i = n->pending->len; i-- > 0;) {
		if (!try_pending(n, i))
			expire_pending(n, i);
	}
	send_appends(n);
}
