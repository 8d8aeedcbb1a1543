#include <string.h>

#include "lib/node/node_int.h"

static const char *unready_reason(const ffl_node_t *n);
static const char *refusal_reason(ffl_response_kind_t kind);
static void set_route(const ffl_node_t *n, const ffl_request_t *req,
		      const ffl_route_t *route, const char *customer,
		      ffl_request_explanation_t *out);
static void decide(ffl_node_t *n, ffl_request_t *req,
		   ffl_request_explanation_t *out);

void ffl_request_explanation_free(void *data)
{
	ffl_request_explanation_t *e = data;

	if (e->placed)
		ffl_explanation_finish(&e->place);
	g_free(e);
}

/* Of a host that cannot serve a request; see ffl_request_can_serve(). */
static const char *unready_reason(const ffl_node_t *n)
{
	if (!n->has_routes)
		return "no configuration was read yet";
	if (!ffl_node_knows_jobs(n) || !n->tails[FFL_TOPIC_STATES].synced)
		return "the jobs on the log were not read yet";
	return "the configuration is too old: the log does not serve this host";
}

static const char *refusal_reason(ffl_response_kind_t kind)
{
	switch (kind) {
	case FFL_RESPONSE_NO_ROUTE:
		return "no queue has this host name and path";
	case FFL_RESPONSE_NO_KEY:
		return "the queue needs a key, and this is nobody's";
	case FFL_RESPONSE_ACCEPTED:
		return "a job of this id and content is known already";
	case FFL_RESPONSE_CONFLICT:
		return "the id belongs to another job";
	case FFL_RESPONSE_BUSY:
		return "the log is failing";
	default:
		return "";
	}
}

static void set_route(const ffl_node_t *n, const ffl_request_t *req,
		      const ffl_route_t *route, const char *customer,
		      ffl_request_explanation_t *out)
{
	out->config_version = n->routes.version;
	out->has_key = req->key[0] != '\0';
	if (!route)
		return;
	out->routed = true;
	ffl_copy(out->queue, sizeof(out->queue), route->queue);
	ffl_copy(out->service, sizeof(out->service), route->service);
	ffl_copy(out->customer, sizeof(out->customer),
		 customer ? customer : "");
	out->needs_key = !route->open_to_all;
	out->priority = route->priority;
	out->stretch_milli = route->stretch_milli;
	out->objective_base_ms = route->objective_base_ms;
}

static void decide(ffl_node_t *n, ffl_request_t *req,
		   ffl_request_explanation_t *out)
{
	const ffl_route_t *route = NULL;
	const char *customer = NULL;
	GByteArray *record = NULL;
	ffl_turned_away_t turned_away;
	bool serves = ffl_request_can_serve(n, req);
	ffl_response_kind_t kind = ffl_request_route(n, req, &route, &customer);

	set_route(n, req, route, customer, out);
	if (!serves) {
		out->held = ffl_request_may_hold(n);
		out->decided = !out->held;
		out->answer = FFL_RESPONSE_BUSY;
		ffl_copy(out->why, sizeof(out->why),
			 n->stop_began_ms ? "the host is stopping"
					  : unready_reason(n));
		return;
	}
	out->decided = true;
	if (kind == FFL_RESPONSE__MAX && !req->spec && !req->problem) {
		out->decided = false;
		ffl_copy(out->why, sizeof(out->why), "no job was given");
		return;
	}
	if (kind == FFL_RESPONSE__MAX)
		kind = ffl_request_decide(n, req, route, customer, &record,
					  out->why);
	if (record)
		g_byte_array_unref(record);
	out->answer = kind == FFL_RESPONSE__MAX ? FFL_RESPONSE_ACCEPTED : kind;
	if (!out->why[0])
		ffl_copy(out->why, sizeof(out->why), refusal_reason(kind));
	if (kind != FFL_RESPONSE__MAX)
		return;
	if (ffl_outlooks_refuse(n, req->spec, &turned_away)) {
		out->answer = FFL_RESPONSE_BUSY;
		out->retry_after_ms = turned_away.verdict.retry_after_ms;
		ffl_copy(out->why, sizeof(out->why), turned_away.why);
	}
	if (!n->lead.leading)
		return;
	out->placed = true;
	ffl_dispatch_explain(&n->dispatch, req->spec, n->now_ms, n->wall_ms,
			     &out->place);
}

void ffl_request_explain(ffl_node_t *n, ffl_request_t *req)
{
	ffl_request_explanation_t *out = g_new0(ffl_request_explanation_t, 1);
	ffl_node_act_t *act = ffl_node_add_act(n, FFL_NODE_ACT_EXPLAIN);

	act->explain.call = req->call;
	act->explain.explanation = out;
	out->leading = n->lead.leading;
	out->may_start = n->lead.leading && ffl_lead_may_start_runs(n);
	ffl_copy(out->leader, sizeof(out->leader), n->lead.holder);
	decide(n, req, out);
}
