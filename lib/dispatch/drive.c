#include <string.h>

#include "lib/dispatch/dispatch_int.h"

/** Deadlines of orders: both ways between regions and a worker's work. */
#define START_TIMEOUT_MS 400
#define STOP_TIMEOUT_MS	 400
#define PACE_TIMEOUT_MS	 400
#define HOLD_SLACK_MS	 600
/** A worker that is not silent is asked anew at most so long after it was
 * last asked, while what it reported is not on the log yet. */
#define RENEW_MS 200

static uint64_t open_call(ffl_dispatch_t *d, ffl_order_kind_t kind,
			  ffl_dispatch_worker_t *r, ffl_run_t *run,
			  uint64_t now_ms);
static ffl_order_t *new_order(ffl_dispatch_t *d, GArray *orders,
			      ffl_order_kind_t kind, ffl_dispatch_worker_t *r,
			      ffl_run_t *run, uint64_t now_ms);
static uint32_t holds_max(const ffl_dispatch_worker_t *r, uint64_t now_ms);
static bool wants_hold(const ffl_dispatch_worker_t *r, uint64_t now_ms);
static void hold(ffl_dispatch_t *d, ffl_dispatch_worker_t *r, GArray *orders,
		 uint64_t now_ms);
static void start(ffl_dispatch_t *d, ffl_run_t *run, GArray *orders,
		  uint64_t now_ms);
static void stop(ffl_dispatch_t *d, ffl_run_t *run, GArray *orders,
		 uint64_t now_ms);
static void pace(ffl_dispatch_t *d, ffl_run_t *run, GArray *orders,
		 uint64_t now_ms);
static void drive_run(ffl_dispatch_t *d, ffl_run_t *run, bool may_start,
		      GArray *orders, uint64_t now_ms);

static uint64_t open_call(ffl_dispatch_t *d, ffl_order_kind_t kind,
			  ffl_dispatch_worker_t *r, ffl_run_t *run,
			  uint64_t now_ms)
{
	ffl_open_call_t *open = g_new0(ffl_open_call_t, 1);

	open->call = ++d->next_call;
	open->kind = kind;
	open->worker = r;
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
			      ffl_order_kind_t kind, ffl_dispatch_worker_t *r,
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
static uint32_t holds_max(const ffl_dispatch_worker_t *r, uint64_t now_ms)
{
	bool overlap = r->entry.draining && !r->missed_renewals &&
		       now_ms - r->renew_ms >= HOLD_WAIT_MS / 2;

	return overlap ? 2 : 1;
}

static bool wants_hold(const ffl_dispatch_worker_t *r, uint64_t now_ms)
{
	bool sent = false;

	if (r->renewals_open >= holds_max(r, now_ms) || now_ms < r->renew_ms ||
	    !r->entry.addr[0])
		return false;
	if (r->acked > r->acked_sent || (r->missed_renewals && r->listed))
		return true;
	for (guint i = 0; i < r->runs->len && !sent; i++) {
		const ffl_run_t *run = g_ptr_array_index(r->runs, i);

		sent = run->state != FFL_RUN_PLANNED;
	}
	if (!sent)
		return false;
	return !r->ack_batch || now_ms >= r->renew_ms + RENEW_MS;
}

static void hold(ffl_dispatch_t *d, ffl_dispatch_worker_t *r, GArray *orders,
		 uint64_t now_ms)
{
	ffl_order_t *order =
		new_order(d, orders, FFL_ORDER_RENEW, r, NULL, now_ms);
	bool stopping = false;
	bool adopted = false;

	for (guint i = 0; i < r->runs->len; i++) {
		const ffl_run_t *run = g_ptr_array_index(r->runs, i);

		stopping |= run->stop_accepted_ms != 0;
		adopted |= run->state == FFL_RUN_ADOPTED;
	}
	order->acked = r->acked;
	/* A silent worker's lease is left to end, so that it can be waited
	 * out; one with nothing to run needs none. */
	if (r->runs->len && !r->missed_renewals && d->may_renew)
		order->until_ms = ffl_runner_lease(d, r, now_ms);
	if (r->runs->len && !r->missed_renewals && !adopted &&
	    r->clock_read_ms && !r->ack_batch)
		order->wait_ms = stopping		? d->opt.stop_max_ms
				 : ffl_runner_serves(r) ? SERVE_WAIT_MS
							: HOLD_WAIT_MS;
	order->timeout_ms = order->wait_ms + HOLD_SLACK_MS;
	r->renewals_open++;
	r->renew_ms = now_ms;
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
	order = new_order(d, orders, FFL_ORDER_START, run->worker, run, now_ms);
	order->spec = run->flow->spec.spec;
	order->checkpoint = task->checkpoint;
	order->until_ms = ffl_runner_lease(d, run->worker, now_ms);
	order->ticket = ffl_advice_ticket(d, run);
	order->timeout_ms = START_TIMEOUT_MS;
	ffl_dispatch_note(
		d, "run-ordered", order->task,
		"run=%u worker=%s rack=%s priority=%u waited_ms=%" PRIu64
		" resumed=%d data_rack=%s gpus=%u",
		run->run, run->worker->entry.id, run->worker->entry.rack,
		run->flow->spec.priority, now_ms - run->flow->seen_ms,
		task->checkpoint != NULL, step->rack, step->gpus);
}

static void stop(ffl_dispatch_t *d, ffl_run_t *run, GArray *orders,
		 uint64_t now_ms)
{
	ffl_order_t *order =
		new_order(d, orders, FFL_ORDER_STOP, run->worker, run, now_ms);

	order->timeout_ms = STOP_TIMEOUT_MS;
	ffl_dispatch_note(d, "run-stopped", order->task,
			  "run=%u worker=%s why=%s", run->run,
			  run->worker->entry.id,
			  run->stop_reason ? run->stop_reason : "-");
}

static void pace(ffl_dispatch_t *d, ffl_run_t *run, GArray *orders,
		 uint64_t now_ms)
{
	ffl_order_t *order = new_order(d, orders, FFL_ORDER_THROTTLE,
				       run->worker, run, now_ms);
	ffl_open_call_t *open = g_hash_table_lookup(d->calls, &order->call);

	open->percent = run->limit_percent;
	order->percent = run->limit_percent;
	order->timeout_ms = PACE_TIMEOUT_MS;
}

static void drive_run(ffl_dispatch_t *d, ffl_run_t *run, bool may_start,
		      GArray *orders, uint64_t now_ms)
{
	if (run->stopping && run->state == FFL_RUN_PLANNED) {
		ffl_run_end(d, run, FFL_RUN_END_STOPPED, NULL, now_ms);
		return;
	}
	if (run->call || now_ms < run->retry_ms || !run->worker->entry.addr[0])
		return;
	if (run->stopping) {
		stop(d, run, orders, now_ms);
		return;
	}
	if (run->state == FFL_RUN_PLANNED) {
		if (may_start && run->batch <= d->recorded_batch)
			start(d, run, orders, now_ms);
		return;
	}
	if (run->state == FFL_RUN_SENT && may_start)
		start(d, run, orders, now_ms);
	else if (ffl_pace_due(run))
		pace(d, run, orders, now_ms);
}

void ffl_drive_runs(ffl_dispatch_t *d, bool may_start, GArray *orders,
		    uint64_t now_ms)
{
	for (guint i = d->runs->len; i-- > 0;) {
		if (i < d->runs->len)
			drive_run(d, g_ptr_array_index(d->runs, i), may_start,
				  orders, now_ms);
	}
}

void ffl_drive_runners(ffl_dispatch_t *d, GArray *orders, uint64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		ffl_dispatch_worker_t *r = value;

		ffl_watch_runner(d, r, now_ms);
		if (wants_hold(r, now_ms))
			hold(d, r, orders, now_ms);
	}
}
