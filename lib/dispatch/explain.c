/**
 * @file explain.c
 * @brief Where a job would go now, and why.
 *
 * The job is placed as any other, but what would come of it is recorded, and
 * the runs that take resources during the search are removed at its end.
 */
#include <string.h>

#include "lib/dispatch/dispatch_int.h"

/** What is found out about a job. */
typedef struct {
	ffl_explanation_t *out;
	GPtrArray *runs; /**< of ffl_run_t *, removed at the end */
} trial_t;

static ffl_explained_step_t *step_of(const ffl_place_request_t *req);
static void record_run(ffl_dispatch_t *d, const ffl_place_request_t *req,
		       ffl_run_t *run);
static void record_preempt(ffl_preempt_plan_t *plan);
static void record_wait(ffl_dispatch_t *d, const ffl_place_request_t *req,
			ffl_wait_t why);
static ffl_bar_t bar_of(const ffl_dispatch_t *d, const ffl_dispatch_worker_t *w,
			const ffl_place_request_t *req,
			const ffl_resources_t *need);
static uint32_t count_ahead(const GPtrArray *ranked, GHashTable *guaranteed,
			    ffl_flow_t *flow);
static void explain_rank(ffl_dispatch_t *d, ffl_flow_t *flow, uint64_t now_ms,
			 ffl_explanation_t *out);
static void step_clear(void *data);

static const ffl_place_effects_t recorded = {
	.placed = record_run,
	.preempt = record_preempt,
	.wait = record_wait,
};

static const char *const tier_names[FFL_TIER__MAX] = {
	[FFL_TIER_ON_TIME] = "on-time",
	[FFL_TIER_LATE] = "late",
	[FFL_TIER_WORTHLESS] = "worthless",
};

/* Steps are decided on one after the other. */
static ffl_explained_step_t *step_of(const ffl_place_request_t *req)
{
	const trial_t *trial = req->effects_user;
	GArray *steps = trial->out->steps;
	ffl_explained_step_t added = { .occurrence = req->occurrence,
				       .step = req->step_index,
				       .tasks = req->step->tasks,
				       .wait = FFL_WAIT__MAX };
	ffl_explained_step_t *last =
		steps->len ? &g_array_index(steps, ffl_explained_step_t,
					    steps->len - 1)
			   : NULL;

	if (last && last->occurrence == added.occurrence &&
	    last->step == added.step)
		return last;
	added.workers =
		g_array_new(FALSE, TRUE, sizeof(ffl_explained_worker_t));
	g_array_append_val(steps, added);
	return &g_array_index(steps, ffl_explained_step_t, steps->len - 1);
}

static void record_run(ffl_dispatch_t *d, const ffl_place_request_t *req,
		       ffl_run_t *run)
{
	const ffl_dispatch_worker_t *w = run->worker;
	const trial_t *trial = req->effects_user;
	ffl_explained_step_t *step = step_of(req);
	ffl_explained_worker_t added = { .tasks = 1 };

	g_ptr_array_add(trial->runs, run);
	step->placed++;
	for (guint i = 0; i < step->workers->len; i++) {
		ffl_explained_worker_t *known = &g_array_index(
			step->workers, ffl_explained_worker_t, i);

		if (strcmp(known->id, w->entry.id) != 0)
			continue;
		known->tasks++;
		return;
	}
	if (ffl_worker_is_cold(w, req->now_ms))
		added.cold_ms = w->cold_until_ms - req->now_ms;
	ffl_copy(added.id, sizeof(added.id), w->entry.id);
	ffl_copy(added.dc, sizeof(added.dc), w->entry.dc);
	ffl_copy(added.rack, sizeof(added.rack), w->entry.rack);
	g_array_append_val(step->workers, added);
}

static void record_preempt(ffl_preempt_plan_t *plan)
{
	ffl_explained_step_t *step = step_of(ffl_preempt_request(plan));

	step->stops = ffl_preempt_count(plan, &step->stop_cost);
}

static ffl_bar_t bar_of(const ffl_dispatch_t *d, const ffl_dispatch_worker_t *w,
			const ffl_place_request_t *req,
			const ffl_resources_t *need)
{
	ffl_bar_t bar = ffl_worker_bar(w, req);

	if (bar != FFL_BAR_NONE)
		return bar;
	if (!ffl_advice_allows(d, req, w))
		return FFL_BAR_TICKET;
	return ffl_has_room(w, req, need) ? FFL_BAR_NONE : FFL_BAR_ROOM;
}

static void record_wait(ffl_dispatch_t *d, const ffl_place_request_t *req,
			ffl_wait_t why)
{
	ffl_explained_step_t *step = step_of(req);
	ffl_resources_t need = ffl_step_resources(req->step);
	GHashTableIter iter;
	gpointer value;

	step->wait = why;
	if (why == FFL_WAIT_HEADROOM)
		return;
	g_hash_table_iter_init(&iter, d->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		step->barred[bar_of(d, value, req, &need)]++;
}

static uint32_t count_ahead(const GPtrArray *ranked, GHashTable *guaranteed,
			    ffl_flow_t *flow)
{
	bool own = g_hash_table_contains(guaranteed, flow);
	bool passed = false;
	uint32_t ahead = 0;

	for (guint i = 0; i < ranked->len; i++) {
		ffl_flow_t *other = g_ptr_array_index(ranked, i);
		bool first = g_hash_table_contains(guaranteed, other);

		passed = passed || other == flow;
		if (other != flow && (first == own ? !passed : first) &&
		    other->done_count + other->placed_count <
			    other->tasks_count)
			ahead++;
	}
	return ahead;
}

static void explain_rank(ffl_dispatch_t *d, ffl_flow_t *flow, uint64_t now_ms,
			 ffl_explanation_t *out)
{
	GPtrArray *ranked = g_ptr_array_new();
	GHashTable *guaranteed = g_hash_table_new(NULL, NULL);

	ffl_rank_flows(d, flow, now_ms, ranked, guaranteed);
	out->tier = tier_names[flow->tier];
	out->guaranteed = g_hash_table_contains(guaranteed, flow);
	out->ahead = count_ahead(ranked, guaranteed, flow);
	out->headroom_percent = ffl_rank_headroom_percent(flow);
	out->has_slack = ffl_rank_has_slack(d, flow, now_ms);
	g_hash_table_destroy(guaranteed);
	g_ptr_array_free(ranked, TRUE);
}

static void step_clear(void *data)
{
	g_array_free(((ffl_explained_step_t *)data)->workers, TRUE);
}

void ffl_explanation_finish(ffl_explanation_t *e)
{
	g_array_free(e->steps, TRUE);
}

/* What a pass counts for itself is not kept: each begins anew. */
void ffl_dispatch_explain(ffl_dispatch_t *d, ffl_flow_spec_t *spec,
			  uint64_t now_ms, uint64_t wall_ms,
			  ffl_explanation_t *out)
{
	ffl_flow_t *flow = ffl_flow_new(spec, UINT64_MAX);
	trial_t trial = { .out = out, .runs = g_ptr_array_new() };
	ffl_place_request_t like = { .flow = flow,
				     .step = flow->spec.steps,
				     .now_ms = now_ms,
				     .effects = &recorded,
				     .effects_user = &trial };

	memset(out, 0, sizeof(*out));
	out->steps = g_array_new(FALSE, TRUE, sizeof(ffl_explained_step_t));
	g_array_set_clear_func(out->steps, step_clear);
	flow->first_seen_ms = now_ms;
	explain_rank(d, flow, now_ms, out);
	like.guaranteed = out->guaranteed;
	ffl_count_free_gpus(d);
	ffl_list_quarantined(d, now_ms);
	out->free_percent = ffl_free_gpus_percent(d, &like);
	g_array_set_size(d->infeasible, 0);
	ffl_place_flow(d, flow, &like, wall_ms);
	out->later = flow->spec.steps_count * flow->spec.occurrences -
		     out->steps->len;
	g_array_set_size(d->infeasible, 0);
	for (guint i = trial.runs->len; i-- > 0;)
		ffl_run_remove(d, g_ptr_array_index(trial.runs, i));
	g_ptr_array_free(trial.runs, TRUE);
	ffl_flow_free(flow);
}
