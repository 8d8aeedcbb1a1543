/**
 * @file explain.c
 * @brief Writes the explanation of a request as JSON for operators.
 */
#include "jobd/jobd.h"

static json_t *workers_to_json(const GArray *workers);
static json_t *step_to_json(const ffl_explained_step_t *step);
static void add_place(json_t *out, const ffl_explanation_t *place);
static void add_route(json_t *out, const ffl_request_explanation_t *e);

static json_t *workers_to_json(const GArray *workers)
{
	json_t *out = json_array();

	for (guint i = 0; i < workers->len; i++) {
		const ffl_explained_worker_t *w =
			&g_array_index(workers, ffl_explained_worker_t, i);

		json_array_append_new(
			out, json_pack("{s:s, s:s, s:s, s:I, s:I}", "worker",
				       w->id, "dc", w->dc, "rack", w->rack,
				       "tasks", (json_int_t)w->tasks, "cold_ms",
				       (json_int_t)w->cold_ms));
	}
	return out;
}

static json_t *step_to_json(const ffl_explained_step_t *step)
{
	json_t *out = json_pack("{s:I, s:I, s:I, s:I}", "occurrence",
				(json_int_t)step->occurrence, "step",
				(json_int_t)step->step, "tasks",
				(json_int_t)step->tasks, "placed",
				(json_int_t)step->placed);
	json_t *barred = json_object();

	json_object_set_new(out, "workers", workers_to_json(step->workers));
	if (step->wait != FFL_WAIT__MAX)
		json_object_set_new(
			out, "waits_for",
			json_string(ffl_place_wait_name(step->wait)));
	for (uint32_t i = 0; i < FFL_BAR__MAX; i++) {
		if (step->barred[i])
			json_object_set_new(barred, ffl_bar_name(i),
					    json_integer(step->barred[i]));
	}
	json_object_set_new(out, "ruled_out", barred);
	json_object_set_new(out, "stops", json_integer(step->stops));
	json_object_set_new(out, "stop_cost_core_ms",
			    json_integer((json_int_t)step->stop_cost));
	return out;
}

static void add_place(json_t *out, const ffl_explanation_t *place)
{
	json_t *steps = json_array();

	json_object_set_new(out, "tier", json_string(place->tier));
	json_object_set_new(out, "ahead", json_integer(place->ahead));
	json_object_set_new(out, "guaranteed", json_boolean(place->guaranteed));
	json_object_set_new(out, "free_percent",
			    json_integer(place->free_percent));
	json_object_set_new(out, "headroom_percent",
			    json_integer(place->headroom_percent));
	json_object_set_new(out, "has_slack", json_boolean(place->has_slack));
	for (guint i = 0; i < place->steps->len; i++)
		json_array_append_new(
			steps, step_to_json(&g_array_index(
				       place->steps, ffl_explained_step_t, i)));
	json_object_set_new(out, "steps", steps);
	json_object_set_new(out, "later_steps", json_integer(place->later));
}

static void add_route(json_t *out, const ffl_request_explanation_t *e)
{
	const char *key = !e->has_key	    ? "missing"
			  : !e->customer[0] ? "unknown"
					    : "known";

	json_object_set_new(out, "queue", json_string(e->queue));
	json_object_set_new(out, "service", json_string(e->service));
	json_object_set_new(out, "priority", json_integer(e->priority));
	json_object_set_new(out, "objective_base_ms",
			    json_integer(e->objective_base_ms));
	json_object_set_new(out, "objective_stretch_milli",
			    json_integer(e->stretch_milli));
	json_object_set_new(out, "needs_key", json_boolean(e->needs_key));
	json_object_set_new(out, "key", json_string(key));
	json_object_set_new(out, "customer", json_string(e->customer));
}

char *jobd_explanation_format(const char *host,
			      const ffl_request_explanation_t *e)
{
	json_t *out = json_object();
	const char *answer = "";
	char *text;

	if (e->decided)
		answer = ffl_response_kind_name(e->answer);
	else if (e->held)
		answer = "held";
	json_object_set_new(out, "host", json_string(host));
	json_object_set_new(out, "config",
			    json_integer((json_int_t)e->config_version));
	if (e->routed)
		add_route(out, e);
	json_object_set_new(out, "answer", json_string(answer));
	json_object_set_new(out, "why", json_string(e->why));
	json_object_set_new(out, "retry_after_ms",
			    json_integer(e->retry_after_ms));
	json_object_set_new(out, "leader", json_string(e->leader));
	json_object_set_new(out, "leading", json_boolean(e->leading));
	json_object_set_new(out, "may_start", json_boolean(e->may_start));
	if (e->placed)
		add_place(out, &e->place);
	text = json_dumps(out, JSON_COMPACT);
	json_decref(out);
	return text;
}
