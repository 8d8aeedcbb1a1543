#include <stdarg.h>
#include <string.h>

#include "lib/dispatch/dispatch_int.h"

/** Longest time between placement passes: some conditions, such as waiting
 * times and quarantines, change without an event. */
#define REPLAN_MS 100

static void adopt_runs(ffl_dispatch_t *d, ffl_flow_t *flow, uint64_t now_ms);
static void update_open_flows(ffl_dispatch_t *d, uint64_t now_ms);

void ffl_dispatch_note(ffl_dispatch_t *d, const char *event,
		       const char *subject, const char *fmt, ...)
{
	char text[FFL_REASON_BYTES];
	va_list ap;

	if (!d->note)
		return;
	va_start(ap, fmt);
	g_vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	d->note(d->note_user, event, subject, text);
}

void ffl_dispatch_report_latency(ffl_dispatch_t *d, ffl_latency_t what,
				 uint64_t ms)
{
	if (d->measure)
		d->measure(d->note_user, what, ms);
}

void ffl_dispatch_init(ffl_dispatch_t *d, const ffl_dispatch_options_t *opt,
		       ffl_flows_t *flows)
{
	memset(d, 0, sizeof(*d));
	d->opt = *opt;
	d->flows = flows;
	d->workers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   ffl_dispatch_worker_destroy);
	d->followed = g_ptr_array_new();
	d->runs = g_ptr_array_new();
	d->runs_by_flow = g_hash_table_new_full(
		NULL, NULL, NULL, (GDestroyNotify)g_ptr_array_unref);
	ffl_racks_init(d);
	d->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 g_free);
	d->mean_run_ms =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	d->gpus =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	d->infeasible = g_array_new(FALSE, TRUE, sizeof(ffl_demand_t));
	d->quarantined = g_ptr_array_new();
	ffl_advice_init(&d->advice);
	d->next_batch = 1;
}

void ffl_dispatch_finish(ffl_dispatch_t *d)
{
	ffl_runs_clear(d);
	g_ptr_array_free(d->runs, TRUE);
	g_hash_table_destroy(d->runs_by_flow);
	ffl_racks_finish(d);
	g_hash_table_destroy(d->mean_run_ms);
	g_hash_table_destroy(d->gpus);
	g_array_free(d->infeasible, TRUE);
	g_ptr_array_free(d->quarantined, TRUE);
	ffl_advice_finish(&d->advice);
	g_hash_table_destroy(d->calls);
	g_hash_table_destroy(d->workers);
	g_ptr_array_free(d->followed, TRUE);
}

static void adopt_runs(ffl_dispatch_t *d, ffl_flow_t *flow, uint64_t now_ms)
{
	for (uint32_t i = 0; i < flow->tasks_count; i++) {
		ffl_task_t *task = &flow->tasks[i];
		ffl_dispatch_worker_t *w;
		ffl_run_t *run;

		if (task->state != FFL_TASK_PLACED)
			continue;
		w = ffl_dispatch_worker_get(d, task->worker);
		run = ffl_run_add(d, flow, i, task->run, w, now_ms);
		run->batch = 0;
		run->state = FFL_RUN_ADOPTED;
		run->acked_limit_percent = LIMIT_UNKNOWN;
		if (!w->entry.born_ms)
			w->entry.born_ms = task->born_ms;
	}
}

void ffl_dispatch_become_leader(ffl_dispatch_t *d, uint64_t token,
				uint64_t last_lease_ms, uint64_t now_ms)
{
	uint64_t leases_end_ms = ffl_lease_end_ms(
		(uint64_t)d->opt.lease_max_ms * LEASE_PERCENT / PERCENT,
		last_lease_ms);
	GHashTableIter iter;
	gpointer value;

	ffl_dispatch_step_down(d);
	d->token = token;
	d->leader_since_ms = now_ms;
	d->last_lease_ms = last_lease_ms;
	d->fenced = false;
	for (guint i = 0; i < d->flows->open->len; i++)
		adopt_runs(d, g_ptr_array_index(d->flows->open, i), now_ms);
	g_hash_table_iter_init(&iter, d->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		ffl_dispatch_worker_t *w = value;

		ffl_doubt_claim(&w->doubt, w->runs->len > 0, leases_end_ms);
	}
	ffl_dispatch_update_queues(d);
}

/* What is known of workers is forgotten too: they may restart, and change their
 * addresses, under the leaders that follow. */
void ffl_dispatch_step_down(ffl_dispatch_t *d)
{
	d->token = 0;
	ffl_advice_reset(&d->advice);
	g_hash_table_remove_all(d->calls);
	ffl_runs_clear(d);
	ffl_racks_invalidate(d);
	g_ptr_array_set_size(d->followed, 0);
	g_hash_table_remove_all(d->workers);
	g_ptr_array_set_size(d->quarantined, 0);
	d->cold_workers = 0;
	d->dirty = false;
}

void ffl_dispatch_raise_token(ffl_dispatch_t *d, uint64_t token)
{
	if (d->token)
		d->token = MAX(d->token, token);
}

void ffl_dispatch_request_placement(ffl_dispatch_t *d)
{
	d->replan = true;
}

/* Records when open flows are first seen, and closes those that have ended once
 * no run is left on a worker and their end is in the log. */
static void update_open_flows(ffl_dispatch_t *d, uint64_t now_ms)
{
	for (guint i = d->flows->open->len; i-- > 0;) {
		ffl_flow_t *flow = g_ptr_array_index(d->flows->open, i);

		if (!flow->first_seen_ms)
			flow->first_seen_ms = now_ms;
		if (!ffl_flow_ended(flow) || flow->placed_count ||
		    flow->dirty_batch > d->recorded_batch)
			continue;
		ffl_advice_drop_flow(d, flow);
		ffl_flows_close(d->flows, flow);
	}
}

void ffl_dispatch_step(ffl_dispatch_t *d, uint64_t now_ms, uint64_t wall_ms,
		       bool may_start, bool may_renew, GArray *orders)
{
	if (!d->token)
		return;
	d->may_start = may_start;
	d->may_renew = may_renew;
	update_open_flows(d, now_ms);
	ffl_cold_watch(d, now_ms);
	ffl_watch_runs(d, now_ms);
	if (may_start &&
	    (d->replan || now_ms - d->last_placement_ms >= REPLAN_MS)) {
		d->replan = false;
		d->last_placement_ms = now_ms;
		ffl_place_flows(d, now_ms, wall_ms);
	}
	if (may_start)
		ffl_advice_send(d, orders, now_ms);
	ffl_send_run_orders(d, may_start, orders, now_ms);
	ffl_send_worker_orders(d, orders, now_ms);
}

uint64_t ffl_dispatch_take_batch(ffl_dispatch_t *d, GPtrArray *flows)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->flows->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		ffl_flow_t *flow = value;

		if (flow->dirty_batch == d->next_batch)
			g_ptr_array_add(flows, flow);
	}
	d->dirty = false;
	return d->next_batch++;
}

void ffl_dispatch_confirm_batch(ffl_dispatch_t *d, uint64_t batch)
{
	d->recorded_batch = batch;
	for (guint i = 0; i < d->followed->len; i++) {
		ffl_dispatch_worker_t *w = g_ptr_array_index(d->followed, i);

		if (!w->ack_batch || w->ack_batch > batch)
			continue;
		w->ack_batch = 0;
		w->acked = w->end_seen;
	}
}
