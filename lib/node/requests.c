#include <string.h>

#include "lib/node/node_int.h"

/** Deadline of a request whose caller states none. */
#define DEFAULT_DEADLINE_MS 3000
/** A response is sent this long before the caller's deadline, or when half of
 * the time that is left has passed, if that is later: an answer that comes
 * after the deadline tells the caller nothing. */
#define RESPONSE_MARGIN_MS 300
/** When a refused caller is told to retry; by then another host serves it. */
#define RETRY_AFTER_MS 1000
/** How long a request that cannot be served yet is held, and most requests held
 * at once. Less than a quarter of the shortest latency objective; a refusal
 * after that would come too late for the caller. */
#define HOLD_MAX_MS 900
#define HELD_MAX    64
/** A query is answered from what was known up to QUERY_AGE_MAX_MS before it
 * came; if newer records are needed, it waits for them at most
 * QUERY_WAIT_MAX_MS. */
#define QUERY_AGE_MAX_MS  60
#define QUERY_WAIT_MAX_MS 250
/** The end of a run reaches the topic of states within this: the worker's
 * report, an append to each of two topics, and the interval between appends. */
#define QUERY_SETTLE_MS 80
/** A submission that is to be turned away waits this long for what stands on
 * the log by its id, and is accepted after. */
#define TURN_AWAY_WAIT_MS 250

typedef void (*handler_fn_t)(ffl_node_t *n, ffl_request_t *req,
			     const ffl_route_t *route, const char *customer,
			     const char *id);

static void handle_submit(ffl_node_t *n, ffl_request_t *req,
			  const ffl_route_t *route, const char *customer,
			  const char *id);
static void handle_query(ffl_node_t *n, ffl_request_t *req,
			 const ffl_route_t *route, const char *customer,
			 const char *id);
static void handle_cancel(ffl_node_t *n, ffl_request_t *req,
			  const ffl_route_t *route, const char *customer,
			  const char *id);
static uint64_t known_since_ms(const ffl_flow_t *flow, uint64_t received_ms);
static bool is_state_current(const ffl_node_t *n, const ffl_flow_t *flow,
			     uint64_t received_ms);
static void read_state(ffl_node_t *n, const ffl_flow_t *flow,
		       uint64_t received_ms);
static void serve_request(ffl_node_t *n, ffl_request_t *req);
static void hold_request(ffl_node_t *n, ffl_request_t *req);
static void serve_held(ffl_node_t *n, ffl_held_t *h);
static void drive_held(ffl_node_t *n);
static ffl_act_response_t *respond(ffl_node_t *n, uint64_t call,
				   ffl_response_kind_t kind);
static uint32_t caller_waits_ms(const ffl_request_t *req);
static uint64_t answer_by_ms(uint64_t now_ms, const ffl_request_t *req);
static ffl_pending_t *add_pending(ffl_node_t *n, const ffl_request_t *req,
				  const ffl_route_t *route,
				  const char *customer, const char *id);
static const ffl_flow_t *find_owned(const ffl_node_t *n, const char *id,
				    const char *queue, const char *customer);
static void respond_pending(ffl_node_t *n, guint index,
			    ffl_response_kind_t kind);
static bool resolve_submission(ffl_node_t *n, guint index);
static bool turn_away(ffl_node_t *n, guint index);
static bool resolve_pending(ffl_node_t *n, guint index);
static bool expire_pending(ffl_node_t *n, guint index);
static bool is_outage_known(const ffl_node_t *n, uint32_t part);
static bool has_failed_long(const ffl_node_t *n, uint32_t part);
static ffl_tail_t *jobs_tail_of(ffl_node_t *n, const char *id);
static bool is_any_outage_known(const ffl_node_t *n);
static void handle_written(ffl_node_t *n, guint index);

static const handler_fn_t request_handlers[FFL_REQUEST__MAX] = {
	[FFL_REQUEST_SUBMIT] = handle_submit,
	[FFL_REQUEST_QUERY] = handle_query,
	[FFL_REQUEST_CANCEL] = handle_cancel,
};

void ffl_pending_free(void *data)
{
	ffl_pending_t *p = data;

	if (p->record)
		g_byte_array_unref(p->record);
	g_free(p->turned_away);
	g_free(p);
}

static ffl_act_response_t *respond(ffl_node_t *n, uint64_t call,
				   ffl_response_kind_t kind)
{
	ffl_node_act_t *act = ffl_node_add_act(n, FFL_NODE_ACT_RESPOND);

	act->response.call = call;
	act->response.kind = kind;
	if (kind == FFL_RESPONSE_BUSY)
		act->response.retry_after_ms = RETRY_AFTER_MS;
	return &act->response;
}

static uint32_t caller_waits_ms(const ffl_request_t *req)
{
	return req->deadline_ms ? req->deadline_ms : DEFAULT_DEADLINE_MS;
}

/* Returns the time at which a caller that waits from now on is answered at
 * latest. */
static uint64_t answer_by_ms(uint64_t now_ms, const ffl_request_t *req)
{
	uint32_t wait_ms = caller_waits_ms(req);

	return now_ms + wait_ms - MIN(RESPONSE_MARGIN_MS, wait_ms / 2);
}

/* The caller has checked that the id is valid. */
static ffl_pending_t *add_pending(ffl_node_t *n, const ffl_request_t *req,
				  const ffl_route_t *route,
				  const char *customer, const char *id)
{
	ffl_pending_t *p = g_new0(ffl_pending_t, 1);

	p->call = req->call;
	p->kind = req->kind;
	ffl_copy(p->id, sizeof(p->id), id);
	p->part = ffl_jobs_part(n, id);
	ffl_copy(p->queue, sizeof(p->queue), route->queue);
	ffl_copy(p->customer, sizeof(p->customer), customer ? customer : "");
	p->received_ms = n->now_ms;
	p->deadline_ms = answer_by_ms(n->now_ms, req);
	g_ptr_array_add(n->pending, p);
	return p;
}

/* Returns the job that a request may read and cancel, or NULL. A job that came
 * without a customer belongs to everybody who may use its queue. */
static const ffl_flow_t *find_owned(const ffl_node_t *n, const char *id,
				    const char *queue, const char *customer)
{
	const ffl_flow_t *flow = ffl_flows_find(&n->flows, id);

	if (!flow || strcmp(flow->spec.queue, queue) != 0 ||
	    (flow->spec.customer[0] &&
	     strcmp(flow->spec.customer, customer ? customer : "") != 0))
		return NULL;
	return flow;
}

static ffl_tail_t *jobs_tail_of(ffl_node_t *n, const char *id)
{
	return ffl_node_jobs_tail(n, ffl_jobs_part(n, id));
}

static bool has_failed_long(const ffl_node_t *n, uint32_t part)
{
	const ffl_tail_t *t = ffl_node_view_jobs_tail(n, part);

	return t->failures && n->now_ms - t->failing_since_ms >= HOLD_MAX_MS;
}

/* Answers for outages of the log, when requests would be held one after the
 * other although none can be accepted soon. Returns true if a partition has
 * failed for longer than a request is held and another request waits for it:
 * that one notices the end of the outage when its append is retried. */
static bool is_outage_known(const ffl_node_t *n, uint32_t part)
{
	if (!has_failed_long(n, part))
		return false;
	for (guint i = 0; i < n->pending->len; i++) {
		const ffl_pending_t *p = g_ptr_array_index(n->pending, i);

		if (p->record && p->part == part)
			return true;
	}
	return n->held->len > 0;
}

static bool is_any_outage_known(const ffl_node_t *n)
{
	for (uint32_t i = 0; i < n->jobs_parts; i++) {
		if (is_outage_known(n, i))
			return true;
	}
	return false;
}

ffl_response_kind_t ffl_request_decide(const ffl_node_t *n, ffl_request_t *req,
				       const ffl_route_t *route,
				       const char *customer,
				       GByteArray **record,
				       char problem[FFL_REASON_BYTES])
{
	const char *id = req->path + strlen(route->prefix);
	ffl_flow_spec_t *spec = req->spec;
	ffl_flow_t *known;
	ffl_err_t err;

	*record = NULL;
	if (!spec) {
		ffl_copy(problem, FFL_REASON_BYTES,
			 req->problem ? req->problem : "the body is missing");
		return FFL_RESPONSE_INVALID;
	}
	ffl_copy(spec->id, sizeof(spec->id), id);
	ffl_copy(spec->queue, sizeof(spec->queue), route->queue);
	ffl_copy(spec->customer, sizeof(spec->customer),
		 customer ? customer : "");
	ffl_flow_spec_set_route(spec, route);
	spec->accepted_ms = n->wall_ms;
	if (strlen(id) >= sizeof(spec->id) ||
	    ffl_flow_spec_validate(spec, &err) != FFL_OK) {
		ffl_copy(problem, FFL_REASON_BYTES,
			 strlen(id) >= sizeof(spec->id)
				 ? "the id has more than 16 characters"
				 : err.text);
		return FFL_RESPONSE_INVALID;
	}
	known = ffl_flows_find(&n->flows, id);
	if (known)
		return ffl_flow_spec_equal(&known->spec, spec)
			       ? FFL_RESPONSE_ACCEPTED
			       : FFL_RESPONSE_CONFLICT;
	if (is_outage_known(n, ffl_jobs_part(n, id)))
		return FFL_RESPONSE_BUSY;
	*record = g_byte_array_new();
	ffl_flow_spec_encode(spec, *record);
	if (ffl_request_fits_log(n, spec, (*record)->len))
		return FFL_RESPONSE__MAX;
	g_byte_array_unref(*record);
	*record = NULL;
	ffl_copy(problem, FFL_REASON_BYTES,
		 "the job exceeds a record of the log");
	return FFL_RESPONSE_INVALID;
}

static void handle_submit(ffl_node_t *n, ffl_request_t *req,
			  const ffl_route_t *route, const char *customer,
			  const char *id)
{
	char problem[FFL_REASON_BYTES] = "";
	GByteArray *record;
	ffl_response_kind_t kind =
		ffl_request_decide(n, req, route, customer, &record, problem);
	ffl_turned_away_t turned_away;
	ffl_pending_t *p;

	if (kind != FFL_RESPONSE__MAX) {
		ffl_copy(respond(n, req->call, kind)->problem, FFL_REASON_BYTES,
			 problem);
		return;
	}
	p = add_pending(n, req, route, customer, id);
	ffl_flow_spec_name(req->spec, p->spec_name);
	p->record = record;
	if (!ffl_outlooks_refuse(n, req->spec, &turned_away))
		return;
	p->turned_away = g_memdup2(&turned_away, sizeof(turned_away));
	ffl_tail_peek(n, jobs_tail_of(n, id));
}

/* Callers ask as soon as their work has ended, when the records of that end are
 * still under way. A job that runs may have ended before the query came, unless
 * what is known is newer by QUERY_SETTLE_MS. */
static uint64_t known_since_ms(const ffl_flow_t *flow, uint64_t received_ms)
{
	return flow->visible_state == FFL_FLOW_RUNNING
		       ? received_ms + QUERY_SETTLE_MS
		       : received_ms - QUERY_AGE_MAX_MS;
}

/* Returns true if a query received at received_ms can be answered without
 * reading further: a final state never changes, and the leader wrote all other
 * states itself. */
static bool is_state_current(const ffl_node_t *n, const ffl_flow_t *flow,
			     uint64_t received_ms)
{
	uint64_t then_ms = known_since_ms(flow, received_ms);

	if (ffl_flow_state_is_final(flow->visible_state))
		return true;
	if (n->now_ms < then_ms)
		return n->tails[FFL_TOPIC_STATES].failures > 0;
	return n->lead.leading ||
	       ffl_tail_is_current(n, FFL_TOPIC_STATES, then_ms);
}

/* Reads the states at once, as the end may be on the log already, and again
 * when a job that runs is to be answered for. */
static void read_state(ffl_node_t *n, const ffl_flow_t *flow,
		       uint64_t received_ms)
{
	uint64_t then_ms = known_since_ms(flow, received_ms);

	if (n->lead.leading)
		return;
	if (n->now_ms >= then_ms ||
	    !ffl_tail_is_current(n, FFL_TOPIC_STATES,
				 received_ms - QUERY_AGE_MAX_MS))
		ffl_tail_peek(n, &n->tails[FFL_TOPIC_STATES]);
}

static void handle_query(ffl_node_t *n, ffl_request_t *req,
			 const ffl_route_t *route, const char *customer,
			 const char *id)
{
	const ffl_flow_t *flow;

	if (!id[0]) {
		respond(n, req->call, FFL_RESPONSE_PENDING)->pending =
			ffl_flows_queued_count(&n->flows, route->queue);
		return;
	}
	if (!ffl_flow_id_is_valid(id)) {
		respond(n, req->call, FFL_RESPONSE_GONE);
		return;
	}
	flow = find_owned(n, id, route->queue, customer);
	if (!flow) {
		add_pending(n, req, route, customer, id);
		ffl_tail_peek(n, jobs_tail_of(n, id));
	} else if (is_state_current(n, flow, n->now_ms)) {
		respond(n, req->call, FFL_RESPONSE_STATE)->state =
			flow->visible_state;
	} else {
		add_pending(n, req, route, customer, id);
		read_state(n, flow, n->now_ms);
	}
}

static void handle_cancel(ffl_node_t *n, ffl_request_t *req,
			  const ffl_route_t *route, const char *customer,
			  const char *id)
{
	if (!id[0]) {
		respond(n, req->call, FFL_RESPONSE_NO_METHOD);
		return;
	}
	if (!ffl_flow_id_is_valid(id)) {
		respond(n, req->call, FFL_RESPONSE_GONE);
		return;
	}
	add_pending(n, req, route, customer, id);
	if (!find_owned(n, id, route->queue, customer))
		ffl_tail_peek(n, jobs_tail_of(n, id));
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

bool ffl_request_may_hold(const ffl_node_t *n)
{
	return !n->stop_began_ms && n->held->len < HELD_MAX &&
	       !is_any_outage_known(n);
}

static void hold_request(ffl_node_t *n, ffl_request_t *req)
{
	ffl_held_t *h;

	if (!ffl_request_may_hold(n)) {
		respond(n, req->call, FFL_RESPONSE_BUSY);
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
	h->req.deadline_ms = caller_waits_ms(req);
	h->received_ms = n->now_ms;
	h->until_ms =
		MIN(n->now_ms + HOLD_MAX_MS, answer_by_ms(n->now_ms, req));
	g_ptr_array_add(n->held, h);
}

/* Without a route, or for the length of a queue, all partitions count. */
bool ffl_request_can_serve(const ffl_node_t *n, const ffl_request_t *req)
{
	const ffl_route_t *route;
	const char *id;

	if (ffl_node_can_serve(n))
		return true;
	if (!n->has_routes)
		return false;
	route = ffl_routes_match(&n->routes, req->host, req->path);
	id = route ? req->path + strlen(route->prefix) : "";
	return id[0] && ffl_node_can_serve_part(n, ffl_jobs_part(n, id));
}

/* The caller's deadline counts from when its request was received. */
static void serve_held(ffl_node_t *n, ffl_held_t *h)
{
	uint32_t held_ms = (uint32_t)(n->now_ms - h->received_ms);

	h->req.deadline_ms -= MIN(held_ms, h->req.deadline_ms - 1);
	serve_request(n, &h->req);
}

static void drive_held(ffl_node_t *n)
{
	for (guint i = n->held->len; i-- > 0;) {
		ffl_held_t *h = g_ptr_array_index(n->held, i);

		if (ffl_request_can_serve(n, &h->req))
			serve_held(n, h);
		else if (n->now_ms >= h->until_ms || n->stop_began_ms)
			respond(n, h->req.call, FFL_RESPONSE_BUSY);
		else
			continue;
		g_ptr_array_remove_index(n->held, i);
	}
}

void ffl_request_handle(ffl_node_t *n, ffl_request_t *req)
{
	if (!ffl_request_can_serve(n, req)) {
		hold_request(n, req);
		return;
	}
	serve_request(n, req);
}

ffl_response_kind_t ffl_request_route(const ffl_node_t *n,
				      const ffl_request_t *req,
				      const ffl_route_t **route,
				      const char **customer)
{
	*customer = NULL;
	*route = ffl_routes_match(&n->routes, req->host, req->path);
	if (!*route)
		return FFL_RESPONSE_NO_ROUTE;
	if (req->key[0])
		*customer = ffl_routes_customer(&n->routes, req->key);
	if (!*customer && !(*route)->open_to_all)
		return FFL_RESPONSE_NO_KEY;
	return FFL_RESPONSE__MAX;
}

static void serve_request(ffl_node_t *n, ffl_request_t *req)
{
	const ffl_route_t *route;
	const char *customer;
	ffl_response_kind_t refusal =
		ffl_request_route(n, req, &route, &customer);
	const char *id;

	if (refusal != FFL_RESPONSE__MAX) {
		respond(n, req->call, refusal);
		return;
	}
	id = req->path + strlen(route->prefix);
	if (!request_handlers[req->kind])
		respond(n, req->call, FFL_RESPONSE_NO_METHOD);
	else
		request_handlers[req->kind](n, req, route, customer, id);
}

static void respond_pending(ffl_node_t *n, guint index,
			    ffl_response_kind_t kind)
{
	const ffl_pending_t *p = g_ptr_array_index(n->pending, index);
	const ffl_flow_t *flow = find_owned(n, p->id, p->queue, p->customer);
	ffl_act_response_t *act = respond(n, p->call, kind);

	if (kind == FFL_RESPONSE_STATE && flow)
		act->state = flow->visible_state;
	if (p->kind == FFL_REQUEST_SUBMIT && kind == FFL_RESPONSE_ACCEPTED)
		ffl_node_measure(n, FFL_LATENCY_ACCEPT,
				 n->now_ms - p->received_ms);
	if (p->kind != FFL_REQUEST_QUERY)
		ffl_node_note(n, "call-answered", p->id,
			      "say=%s after_ms=%" PRIu64 " config=%" PRIu64,
			      ffl_response_kind_name(kind),
			      n->now_ms - p->received_ms, n->routes.version);
	g_ptr_array_remove_index(n->pending, index);
}

/* Refuses a submission once it is known that no job of its id stood on the log
 * when it came. One that does, or that cannot be looked for in time, goes on as
 * if nothing had kept it. */
static bool turn_away(ffl_node_t *n, guint index)
{
	ffl_pending_t *p = g_ptr_array_index(n->pending, index);
	const ffl_turned_away_t *t = p->turned_away;
	const ffl_outlook_verdict_t *v = &t->verdict;
	ffl_tail_t *jobs = ffl_node_jobs_tail(n, p->part);
	bool known = ffl_flows_find(&n->flows, p->id) != NULL;
	bool read = jobs->synced && jobs->caught_up_ms >= p->received_ms;
	ffl_act_response_t *act;

	if (!known && !read && n->now_ms - p->received_ms < TURN_AWAY_WAIT_MS) {
		ffl_tail_peek(n, jobs);
		return false;
	}
	ffl_node_note(n, "turned-away", p->id,
		      "outcome=%s queue=%s customer=%s taken_ms=%" PRIu64
		      " wait_max_ms=%" PRIu64 " run_ms=%u outlook_ms=%" PRIu64
		      " leader=%s retry_after_ms=%u after_ms=%" PRIu64,
		      known  ? "known"
		      : read ? "refused"
			     : "unread",
		      p->queue, p->customer, v->taken_ms, v->wait_max_ms,
		      v->run_ms, t->age_ms, n->lead.holder, v->retry_after_ms,
		      n->now_ms - p->received_ms);
	if (known || !read) {
		n->turned_back++;
		g_clear_pointer(&p->turned_away, g_free);
		return resolve_submission(n, index);
	}
	n->turned_away++;
	act = respond(n, p->call, FFL_RESPONSE_BUSY);
	act->retry_after_ms = v->retry_after_ms;
	ffl_copy(act->problem, sizeof(act->problem), t->why);
	g_ptr_array_remove_index(n->pending, index);
	return true;
}

/* An id belongs to the owner whose record comes first. A submission is accepted
 * only when all records before its own are known. */
static bool resolve_submission(ffl_node_t *n, guint index)
{
	const ffl_pending_t *p = g_ptr_array_index(n->pending, index);
	const ffl_tail_t *t = ffl_node_jobs_tail(n, p->part);
	bool first = p->written && t->synced && t->next >= p->offset;

	if (p->turned_away)
		return turn_away(n, index);
	if (find_owned(n, p->id, p->queue, p->customer))
		respond_pending(n, index, FFL_RESPONSE_ACCEPTED);
	else if (ffl_flows_find(&n->flows, p->id))
		respond_pending(n, index, FFL_RESPONSE_CONFLICT);
	else if (first)
		respond_pending(n, index, FFL_RESPONSE_ACCEPTED);
	else
		return false;
	return true;
}

/* Responds if the records read so far allow it; returns true if so. Otherwise,
 * for a cancellation of a job that is still open, prepares the record. */
static bool resolve_pending(ffl_node_t *n, guint index)
{
	ffl_pending_t *p = g_ptr_array_index(n->pending, index);
	const ffl_flow_t *flow = find_owned(n, p->id, p->queue, p->customer);
	ffl_tail_t *jobs = ffl_node_jobs_tail(n, p->part);
	bool current = jobs->synced && jobs->caught_up_ms >= p->received_ms;

	if (p->kind == FFL_REQUEST_SUBMIT)
		return resolve_submission(n, index);
	if (!flow) {
		if (current)
			respond_pending(n, index, FFL_RESPONSE_GONE);
		else
			ffl_tail_peek(n, jobs);
		return current;
	}
	if (p->kind == FFL_REQUEST_QUERY) {
		if (!is_state_current(n, flow, p->received_ms) &&
		    n->now_ms - p->received_ms < QUERY_WAIT_MAX_MS) {
			read_state(n, flow, p->received_ms);
			return false;
		}
		respond_pending(n, index, FFL_RESPONSE_STATE);
		return true;
	}
	if (flow->cancelled || flow->visible_state == FFL_FLOW_COMPLETED ||
	    flow->visible_state == FFL_FLOW_FAILED) {
		respond_pending(n, index, FFL_RESPONSE_CANCELLED);
		return true;
	}
	if (!p->record) {
		p->part = flow->spec_part;
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
	/* The record of an append in flight may still reach the log. */
	respond_pending(n, index,
			p->maybe_written || p->append_call
				? FFL_RESPONSE_UNKNOWN
				: FFL_RESPONSE_BUSY);
	return true;
}

/* A cancellation stands wherever its record lies. */
static void handle_written(ffl_node_t *n, guint index)
{
	const ffl_pending_t *p = g_ptr_array_index(n->pending, index);

	if (p->kind == FFL_REQUEST_CANCEL)
		respond_pending(n, index, FFL_RESPONSE_CANCELLED);
	else if (!resolve_submission(n, index))
		ffl_tail_peek(n, ffl_node_jobs_tail(n, p->part));
}

bool ffl_request_handle_reply(ffl_node_t *n, const ffl_store_reply_t *reply)
{
	bool found = false;

	for (guint i = n->pending->len; i-- > 0;) {
		ffl_pending_t *p = g_ptr_array_index(n->pending, i);

		if (!ffl_request_take_reply(n, p, reply))
			continue;
		found = true;
		if (reply->outcome == FFL_STORE_OK) {
			ffl_tails_log_answered(n);
			handle_written(n, i);
		} else if (!p->maybe_written && p->kind == FFL_REQUEST_SUBMIT &&
			   n->now_ms - p->received_ms >= HOLD_MAX_MS) {
			respond_pending(n, i, FFL_RESPONSE_BUSY);
		}
	}
	return found;
}

void ffl_request_drive(ffl_node_t *n)
{
	drive_held(n);
	for (guint i = n->pending->len; i-- > 0;) {
		if (!resolve_pending(n, i))
			expire_pending(n, i);
	}
	ffl_request_send_appends(n);
}
