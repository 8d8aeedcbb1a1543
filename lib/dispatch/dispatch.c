#include <stdarg.h>
#include <string.h>

#include "lib/dispatch/dispatch_int.h"

/** Deadlines of orders: both ways between regions and a worker's work. */
#define START_TIMEOUT_MS 400
#define STOP_TIMEOUT_MS	 400
#define HOLD_SLACK_MS	 600
/** A worker that is not silent is asked anew at most so long after it was
 * last asked, while what it reported is not on the log yet. */
#define RENEW_MS 200
/** A task whose progress stands still for so long hangs. */
#define HANG_MS 3000
/** A draining worker often stays a little longer than it says. */
#define LINGER_MS 1500
/** Placement is thought over at least so often while something waits. */
#define REPLAN_MS 100

static void free_run(void *data);
static void adopt(ffl_dispatch_t *d, ffl_flow_t *flow, uint64_t now_ms);
static uint64_t open_call(ffl_dispatch_t *d, ffl_order_kind_t kind,
			  ffl_runner_t *r, ffl_run_t *run, uint64_t now_ms);
static ffl_order_t *new_order(ffl_dispatch_t *d, GArray *orders,
			      ffl_order_kind_t kind, ffl_runner_t *r,
			      ffl_run_t *run, uint64_t now_ms);
static uint32_t holds_max(const ffl_runner_t *r, uint64_t now_ms);
static bool wants_hold(const ffl_runner_t *r, uint64_t now_ms);
static void hold(ffl_dispatch_t *d, ffl_runner_t *r, GArray *orders,
		 uint64_t now_ms);
static void start(ffl_dispatch_t *d, ffl_run_t *run, GArray *orders,
		  uint64_t now_ms);
static void stop(ffl_dispatch_t *d, ffl_run_t *run, GArray *orders,
		 uint64_t now_ms);
static void drive_run(ffl_dispatch_t *d, ffl_run_t *run, bool may_start,
		      GArray *orders, uint64_t now_ms);
static void drive_runs(ffl_dispatch_t *d, bool may_start, GArray *orders,
		       uint64_t now_ms);
static void drive_runners(ffl_dispatch_t *d, GArray *orders, uint64_t now_ms);
static void watch_run(ffl_dispatch_t *d, ffl_run_t *run, uint64_t now_ms);
static void evacuate(ffl_dispatch_t *d, ffl_run_t *run, uint64_t now_ms);
static void watch_runner(ffl_dispatch_t *d, ffl_runner_t *r, uint64_t now_ms);
static void stop_cancelled(ffl_dispatch_t *d);
static void settle_flows(ffl_dispatch_t *d, uint64_t now_ms);

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

static void free_run(void *data)
{
	g_free(data);
}

void ffl_dispatch_init(ffl_dispatch_t *d, const ffl_dispatch_options_t *opt,
		       ffl_flows_t *flows)
{
	memset(d, 0, sizeof(*d));
	d->opt = *opt;
	d->flows = flows;
	d->runners = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   ffl_runner_free_data);
	d->runs = g_ptr_array_new();
	d->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 g_free);
	d->learned =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	d->misfits = g_array_new(FALSE, TRUE, sizeof(ffl_shape_t));
	d->next_batch = 1;
}

void ffl_dispatch_finish(ffl_dispatch_t *d)
{
	for (guint i = 0; i < d->runs->len; i++)
		free_run(g_ptr_array_index(d->runs, i));
	g_ptr_array_free(d->runs, TRUE);
	g_hash_table_destroy(d->learned);
	g_array_free(d->misfits, TRUE);
	g_hash_table_destroy(d->calls);
	g_hash_table_destroy(d->runners);
}

static void adopt(ffl_dispatch_t *d, ffl_flow_t *flow, uint64_t now_ms)
{
	for (uint32_t i = 0; i < flow->tasks_count; i++) {
		ffl_task_t *task = &flow->tasks[i];
		ffl_runner_t *r;
		ffl_run_t *run;

		if (task->state != FFL_TASK_PLACED)
			continue;
		r = ffl_runner_get(d, task->worker);
		run = ffl_run_add(d, flow, i, task->run, r, now_ms);
		run->batch = 0;
		run->state = FFL_RUN_ADOPTED;
		/* What this host knows of the worker may be older still. */
		if (r->entry.born_ms > task->born_ms)
			ffl_run_end(d, run, FFL_ENDING_LAPSED, NULL, now_ms);
		else
			r->entry.born_ms = task->born_ms;
	}
}

void ffl_dispatch_lead(ffl_dispatch_t *d, uint64_t token, uint64_t given_ms,
		       uint64_t now_ms)
{
	uint64_t worst_ms = given_ms + (uint64_t)d->opt.lease_max_ms *
					       LEASE_PERCENT /
					       CLOCK_SLOW_PERCENT;
	GHashTableIter iter;
	gpointer value;

	ffl_dispatch_yield(d);
	ffl_dispatch_relist(d);
	d->token = token;
	d->led_ms = now_ms;
	d->fenced = false;
	for (guint i = 0; i < d->flows->open->len; i++)
		adopt(d, g_ptr_array_index(d->flows->open, i), now_ms);
	g_hash_table_iter_init(&iter, d->runners);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		ffl_runner_t *r = value;

		r->expire_ms = r->runs->len ? worst_ms : 0;
	}
	d->replan = true;
}

void ffl_dispatch_yield(ffl_dispatch_t *d)
{
	GHashTableIter iter;
	gpointer value;

	d->token = 0;
	g_hash_table_remove_all(d->calls);
	for (guint i = 0; i < d->runs->len; i++)
		free_run(g_ptr_array_index(d->runs, i));
	g_ptr_array_set_size(d->runs, 0);
	g_hash_table_iter_init(&iter, d->runners);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		ffl_runner_t *r = value;

		g_ptr_array_set_size(r->runs, 0);
		memset(&r->used, 0, sizeof(r->used));
		r->calls = 0;
		r->seen = 0;
		r->acked = 0;
		r->acked_sent = 0;
		r->ack_batch = 0;
		r->holds_open = 0;
		r->hold_ms = 0;
		r->silent = 0;
		r->expire_ms = 0;
		r->quarantine_ms = 0;
		r->reserved_ms = 0;
	}
	d->dirty = false;
}

void ffl_dispatch_touch(ffl_dispatch_t *d)
{
	d->replan = true;
}

static uint64_t open_call(ffl_dispatch_t *d, ffl_order_kind_t kind,
			  ffl_runner_t *r, ffl_run_t *run, uint64_t now_ms)
{
	ffl_open_call_t *open = g_new0(ffl_open_call_t, 1);

	open->call = ++d->next_call;
	open->kind = kind;
	open->runner = r;
	open->run = run;
	open->sent_ms = now_ms;
	open->acked = r->acked;
	r->calls++;
	if (run)
		run->call = open->call;
	g_hash_table_insert(d->calls, &open->call, open);
	return open->call;
}

static ffl_order_t *new_order(ffl_dispatch_t *d, GArray *orders,
			      ffl_order_kind_t kind, ffl_runner_t *r,
			      ffl_run_t *run, uint64_t now_ms)
{
	ffl_order_t *order;

	g_array_set_size(orders, orders->len + 1);
	order = &g_array_index(orders, ffl_order_t, orders->len - 1);
	memset(order, 0, sizeof(*order));
	order->kind = kind;
	order->call = open_call(d, kind, r, run, now_ms);
	order->token = d->token;
	order->born_ms = r->entry.born_ms;
	ffl_copy(order->worker, sizeof(order->worker), r->entry.id);
	ffl_copy(order->addr, sizeof(order->addr), r->entry.addr);
	if (!run)
		return order;
	ffl_task_name(run->flow, run->task, order->task);
	order->run = run->run;
	return order;
}

/* A worker that leaves takes its last ends with it: a report is always on
 * its way there, the next before the one before has been answered. */
static uint32_t holds_max(const ffl_runner_t *r, uint64_t now_ms)
{
	bool overlap = r->entry.draining && !r->silent &&
		       now_ms - r->hold_ms >= HOLD_WAIT_MS / 2;

	return overlap ? 2 : 1;
}

static bool wants_hold(const ffl_runner_t *r, uint64_t now_ms)
{
	bool sent = false;

	if (r->holds_open >= holds_max(r, now_ms) || now_ms < r->hold_ms ||
	    !r->entry.addr[0])
		return false;
	if (r->acked > r->acked_sent || (r->silent && r->listed))
		return true;
	for (guint i = 0; i < r->runs->len && !sent; i++) {
		const ffl_run_t *run = g_ptr_array_index(r->runs, i);

		sent = run->state != FFL_RUN_PLANNED;
	}
	if (!sent)
		return false;
	return !r->ack_batch || now_ms >= r->hold_ms + RENEW_MS;
}

static void hold(ffl_dispatch_t *d, ffl_runner_t *r, GArray *orders,
		 uint64_t now_ms)
{
	ffl_order_t *order =
		new_order(d, orders, FFL_ORDER_HOLD, r, NULL, now_ms);
	bool stopping = false;
	bool adopted = false;

	for (guint i = 0; i < r->runs->len; i++) {
		const ffl_run_t *run = g_ptr_array_index(r->runs, i);

		stopping |= run->stopped_ms != 0;
		adopted |= run->state == FFL_RUN_ADOPTED;
	}
	order->acked = r->acked;
	/* A silent worker's lease is left to end, so that it can be waited
	 * out; one with nothing to run needs none. */
	if (r->runs->len && !r->silent && d->may_hold)
		order->until_ms = ffl_runner_lease(d, r, now_ms);
	if (r->runs->len && !r->silent && !adopted && r->clock_at &&
	    !r->ack_batch)
		order->wait_ms = stopping ? d->opt.stop_max_ms : HOLD_WAIT_MS;
	order->timeout_ms = order->wait_ms + HOLD_SLACK_MS;
	r->holds_open++;
	r->hold_ms = now_ms;
}

static void start(ffl_dispatch_t *d, ffl_run_t *run, GArray *orders,
		  uint64_t now_ms)
{
	const ffl_task_t *task = &run->flow->tasks[run->task];
	const ffl_step_t *step =
		&run->flow->spec.steps[ffl_flow_step_of(run->flow, run->task)];
	ffl_order_t *order;

	if (run->state == FFL_RUN_PLANNED) {
		run->state = FFL_RUN_SENT;
		d->starts++;
	}
	order = new_order(d, orders, FFL_ORDER_START, run->runner, run, now_ms);
	order->spec = run->flow->spec.spec;
	order->checkpoint = task->checkpoint;
	order->until_ms = ffl_runner_lease(d, run->runner, now_ms);
	order->timeout_ms = START_TIMEOUT_MS;
	ffl_dispatch_note(
		d, "run-ordered", order->task,
		"run=%u worker=%s rack=%s priority=%u waited_ms=%" PRIu64
		" resumed=%d data_rack=%s gpus=%u",
		run->run, run->runner->entry.id, run->runner->entry.rack,
		run->flow->spec.priority, now_ms - run->flow->seen_ms,
		task->checkpoint != NULL, step->rack, step->gpus);
}

static void stop(ffl_dispatch_t *d, ffl_run_t *run, GArray *orders,
		 uint64_t now_ms)
{
	ffl_order_t *order =
		new_order(d, orders, FFL_ORDER_STOP, run->runner, run, now_ms);

	order->timeout_ms = STOP_TIMEOUT_MS;
	ffl_dispatch_note(d, "run-stopped", order->task,
			  "run=%u worker=%s why=%s", run->run,
			  run->runner->entry.id, run->why ? run->why : "-");
}

static void drive_run(ffl_dispatch_t *d, ffl_run_t *run, bool may_start,
		      GArray *orders, uint64_t now_ms)
{
	if (run->stop && run->state == FFL_RUN_PLANNED) {
		ffl_run_end(d, run, FFL_ENDING_STOPPED, NULL, now_ms);
		return;
	}
	if (run->call || now_ms < run->retry_ms || !run->runner->entry.addr[0])
		return;
	if (run->stop) {
		stop(d, run, orders, now_ms);
		return;
	}
	if (run->state == FFL_RUN_PLANNED) {
		if (may_start && run->batch <= d->recorded)
			start(d, run, orders, now_ms);
		return;
	}
	if (run->state == FFL_RUN_SENT && may_start)
		start(d, run, orders, now_ms);
}

static void drive_runs(ffl_dispatch_t *d, bool may_start, GArray *orders,
		       uint64_t now_ms)
{
	for (guint i = d->runs->len; i-- > 0;) {
		if (i < d->runs->len)
			drive_run(d, g_ptr_array_index(d->runs, i), may_start,
				  orders, now_ms);
	}
}

/* A task that stands still is started elsewhere, and its worker left out. */
static void watch_run(ffl_dispatch_t *d, ffl_run_t *run, uint64_t now_ms)
{
	const ffl_flow_t *flow = run->flow;
	const ffl_step_t *step =
		&flow->spec.steps[ffl_flow_step_of(flow, run->task)];

	evacuate(d, run, now_ms);
	if (run->state != FFL_RUN_RUNNING || run->stop || step->lasting ||
	    run->runner->silent || run->percent >= PERCENT ||
	    now_ms - run->moved_ms < HANG_MS)
		return;
	ffl_runner_bad(d, run->runner, flow, now_ms);
	ffl_run_stop(d, run, "hangs");
}

/* Work that outlasts a draining worker is moved while it can be saved. */
static void evacuate(ffl_dispatch_t *d, ffl_run_t *run, uint64_t now_ms)
{
	const ffl_worker_entry_t *e = &run->runner->entry;
	uint32_t step = ffl_flow_step_of(run->flow, run->task);
	uint64_t ran_ms = now_ms - run->running_ms;
	uint64_t left_ms = now_ms - run->runner->listed_ms;
	uint64_t run_ms = ffl_expect_run(d, run->flow, step);
	bool saves = run->flow->spec.steps[step].saves;

	if (!e->draining || run->stop || run->state != FFL_RUN_RUNNING)
		return;
	left_ms = e->leaves_ms > left_ms ? e->leaves_ms - left_ms : 0;
	if (!saves)
		left_ms += LINGER_MS;
	if (ran_ms + left_ms < run_ms)
		ffl_run_stop(d, run, "evacuated");
}

static void watch_runner(ffl_dispatch_t *d, ffl_runner_t *r, uint64_t now_ms)
{
	bool unreachable = r->silent || !r->entry.addr[0];

	if (!unreachable || !r->runs->len || now_ms < r->expire_ms)
		return;
	ffl_dispatch_note(d, "worker-lost", r->entry.id, "runs=%u silent=%u",
			  r->runs->len, r->silent);
	for (guint i = r->runs->len; i-- > 0;) {
		ffl_run_t *run;

		if (i >= r->runs->len)
			continue;
		run = g_ptr_array_index(r->runs, i);
		if (run->state != FFL_RUN_PLANNED)
			ffl_run_end(d, run, FFL_ENDING_LAPSED, NULL, now_ms);
	}
}

static void drive_runners(ffl_dispatch_t *d, GArray *orders, uint64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->runners);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		ffl_runner_t *r = value;

		watch_runner(d, r, now_ms);
		if (wants_hold(r, now_ms))
			hold(d, r, orders, now_ms);
	}
}

static void stop_cancelled(ffl_dispatch_t *d)
{
	for (guint i = 0; i < d->runs->len; i++) {
		ffl_run_t *run = g_ptr_array_index(d->runs, i);
		const ffl_task_t *task = &run->flow->tasks[run->task];
		bool current =
			task->state == FFL_TASK_PLACED && task->run == run->run;

		if (run->stop || !current)
			continue;
		if (run->flow->cancelled)
			ffl_run_stop(d, run, "cancelled");
		else if (run->flow->failed)
			ffl_run_stop(d, run, "failed");
	}
}

/* Ended flows leave the open ones once nothing of them is left at workers. */
static void settle_flows(ffl_dispatch_t *d, uint64_t now_ms)
{
	for (guint i = d->flows->open->len; i-- > 0;) {
		ffl_flow_t *flow = g_ptr_array_index(d->flows->open, i);

		if (!flow->seen_ms)
			flow->seen_ms = now_ms;
		if (ffl_flow_ended(flow) && !flow->placed_count &&
		    flow->dirty <= d->recorded)
			ffl_flows_close(d->flows, flow);
	}
}

void ffl_dispatch_step(ffl_dispatch_t *d, uint64_t now_ms, uint64_t wall_ms,
		       bool may_start, bool may_hold, GArray *orders)
{
	if (!d->token)
		return;
	d->may_hold = may_hold;
	settle_flows(d, now_ms);
	stop_cancelled(d);
	for (guint i = d->runs->len; i-- > 0;) {
		if (i < d->runs->len)
			watch_run(d, g_ptr_array_index(d->runs, i), now_ms);
	}
	if (may_start && (d->replan || now_ms - d->planned_ms >= REPLAN_MS)) {
		d->replan = false;
		d->planned_ms = now_ms;
		ffl_place(d, now_ms, wall_ms);
	}
	drive_runs(d, may_start, orders, now_ms);
	drive_runners(d, orders, now_ms);
}

uint64_t ffl_dispatch_batch(ffl_dispatch_t *d, GPtrArray *flows)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->flows->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		ffl_flow_t *flow = value;

		if (flow->dirty == d->next_batch)
			g_ptr_array_add(flows, flow);
	}
	d->dirty = false;
	return d->next_batch++;
}

void ffl_dispatch_recorded(ffl_dispatch_t *d, uint64_t batch)
{
	GHashTableIter iter;
	gpointer value;

	d->recorded = batch;
	g_hash_table_iter_init(&iter, d->runners);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		ffl_runner_t *r = value;

		if (!r->ack_batch || r->ack_batch > batch)
			continue;
		r->ack_batch = 0;
		r->acked = r->seen;
	}
}
