#include <string.h>

#include "lib/dispatch/dispatch_int.h"

/** Deadlines of other orders, as START_TIMEOUT_MS. */
#define STOP_TIMEOUT_MS	    400
#define THROTTLE_TIMEOUT_MS 400
#define RENEW_SLACK_MS	    600
/** Longest delay of the next renew order while ends that the worker reported
 * are not in the log yet. */
#define RENEW_REPEAT_MS 200
/** Delay of the next renew order while a run that has not been reported keeps
 * ends from being acknowledged. */
#define UNREPORTED_REPEAT_MS 50

static ffl_open_call_t *open_call(ffl_dispatch_t *d, ffl_order_kind_t kind,
				  ffl_dispatch_worker_t *w, ffl_run_t *run,
				  uint64_t now_ms);
static ffl_order_t *new_order(ffl_dispatch_t *d, GArray *orders,
			      ffl_order_kind_t kind, ffl_dispatch_worker_t *w,
			      ffl_run_t *run, uint64_t now_ms,
			      ffl_open_call_t **call);
static uint32_t renewals_max(const ffl_dispatch_worker_t *w, uint64_t now_ms);
static bool renewal_due(const ffl_dispatch_worker_t *w, uint64_t now_ms);
static bool has_unreported_run(const ffl_dispatch_worker_t *w);
static bool is_settled(const ffl_dispatch_worker_t *w);
static bool has_ends_to_acknowledge(const ffl_dispatch_worker_t *w);
static uint64_t acked_to_send(const ffl_dispatch_worker_t *w);
static void send_renewal(ffl_dispatch_t *d, ffl_dispatch_worker_t *w,
			 GArray *orders, uint64_t now_ms);
static void send_start(ffl_dispatch_t *d, ffl_run_t *run, GArray *orders,
		       uint64_t now_ms);
static void send_stop(ffl_dispatch_t *d, ffl_run_t *run, GArray *orders,
		      uint64_t now_ms);
static void send_throttle(ffl_dispatch_t *d, ffl_run_t *run, GArray *orders,
			  uint64_t now_ms);
static bool holds_repeat(const ffl_run_t *run);
static void send_run_order(ffl_dispatch_t *d, ffl_run_t *run, bool may_start,
			   GArray *orders, uint64_t now_ms);

static ffl_open_call_t *open_call(ffl_dispatch_t *d, ffl_order_kind_t kind,
				  ffl_dispatch_worker_t *w, ffl_run_t *run,
				  uint64_t now_ms)
{
	ffl_open_call_t *call = g_new0(ffl_open_call_t, 1);

	call->call = ++d->next_call;
	call->kind = kind;
	call->worker = w;
	call->run = run;
	call->sent_ms = now_ms;
	w->calls++;
	if (run)
		run->call = call->call;
	g_hash_table_insert(d->calls, &call->call, call);
	return call;
}

static ffl_order_t *new_order(ffl_dispatch_t *d, GArray *orders,
			      ffl_order_kind_t kind, ffl_dispatch_worker_t *w,
			      ffl_run_t *run, uint64_t now_ms,
			      ffl_open_call_t **call)
{
	ffl_order_t *order;

	*call = open_call(d, kind, w, run, now_ms);
	g_array_set_size(orders, orders->len + 1);
	order = &g_array_index(orders, ffl_order_t, orders->len - 1);
	memset(order, 0, sizeof(*order));
	order->kind = kind;
	order->call = (*call)->call;
	order->token = (*call)->token = w->token;
	ffl_copy(order->worker, sizeof(order->worker), w->entry.id);
	ffl_copy(order->addr, sizeof(order->addr), w->entry.addr);
	if (!run)
		return order;
	ffl_task_name(run->flow, run->task, order->task);
	order->run = run->run;
	return order;
}

/* Ends that a leaving worker has not reported are lost with it. A draining
 * worker therefore always has a renew order open: the next one is sent before
 * the previous one is answered. */
static uint32_t renewals_max(const ffl_dispatch_worker_t *w, uint64_t now_ms)
{
	bool overlap = w->entry.draining && !w->missed_renewals &&
		       now_ms - w->renew_ms >= REPORT_WAIT_MS / 2;

	return overlap ? 2 : 1;
}

static bool renewal_due(const ffl_dispatch_worker_t *w, uint64_t now_ms)
{
	bool has_sent_run = false;

	if (w->renewals_open >= renewals_max(w, now_ms) ||
	    now_ms < w->renew_ms || !w->entry.addr[0])
		return false;
	if (w->fence_due && w->listed)
		return true;
	if (w->missed_renewals && w->listed)
		return true;
	if (w->acked > w->acked_sent)
		return !has_unreported_run(w) ||
		       now_ms >= w->renew_ms + UNREPORTED_REPEAT_MS;
	for (guint i = 0; i < w->runs->len && !has_sent_run; i++) {
		const ffl_run_t *run = g_ptr_array_index(w->runs, i);

		has_sent_run = run->state != FFL_RUN_PLANNED;
	}
	if (!has_sent_run)
		return false;
	return !w->ack_batch || now_ms >= w->renew_ms + RENEW_REPEAT_MS;
}

/* Returns true if a run was ordered that the known incarnation has not been
 * seen to have: another one may have started it. */
static bool has_unreported_run(const ffl_dispatch_worker_t *w)
{
	for (guint i = 0; i < w->runs->len; i++) {
		const ffl_run_t *run = g_ptr_array_index(w->runs, i);

		if ((run->state == FFL_RUN_SENT && !run->stop_accepted_ms) ||
		    (run->state == FFL_RUN_RUNNING && !run->reported))
			return true;
	}
	return false;
}

static bool has_ends_to_acknowledge(const ffl_dispatch_worker_t *w)
{
	return w->acked > w->acked_sent && !w->missed_renewals;
}

/* Ends are acknowledged by their number, which the worker's next incarnation
 * would take for its own ends. So an acknowledgement is sent only while no
 * other incarnation can have any, and no run is started until its answer tells
 * which incarnation it reached. It is not repeated after a missed answer before
 * the worker has reported again. */
static uint64_t acked_to_send(const ffl_dispatch_worker_t *w)
{
	if (!has_ends_to_acknowledge(w) || has_unreported_run(w))
		return 0;
	return w->acked;
}

static void send_renewal(ffl_dispatch_t *d, ffl_dispatch_worker_t *w,
			 GArray *orders, uint64_t now_ms)
{
	ffl_open_call_t *call;
	ffl_order_t *order =
		new_order(d, orders, FFL_ORDER_RENEW, w, NULL, now_ms, &call);
	bool stopping = false;
	bool adopted = false;

	for (guint i = 0; i < w->runs->len; i++) {
		const ffl_run_t *run = g_ptr_array_index(w->runs, i);

		stopping |= run->stop_accepted_ms != 0;
		adopted |= run->state == FFL_RUN_ADOPTED;
	}
	order->acked = call->acked = acked_to_send(w);
	if (order->acked)
		w->acks_open++;
	/* The lease of a worker that does not answer, or is off the list, is
	 * not extended, so that its runs can be given up when it ends. A worker
	 * without runs needs no lease. By a clock from the list it might be the
	 * longest one. */
	if (w->runs->len && w->listed && w->clock_reported &&
	    !w->missed_renewals && d->may_renew)
		order->until_ms = call->until_ms =
			ffl_dispatch_worker_grant_lease(d, w, now_ms,
							&call->lease_end_ms);
	/* While an order waits, it goes on acknowledging. */
	if (w->runs->len && !w->missed_renewals && !adopted &&
	    w->clock_read_ms && !w->ack_batch && !has_ends_to_acknowledge(w))
		order->wait_ms = stopping ? d->opt.stop_max_ms
				 : ffl_dispatch_worker_has_objective(w)
					 ? OBJECTIVE_REPORT_WAIT_MS
					 : REPORT_WAIT_MS;
	order->timeout_ms = order->wait_ms + RENEW_SLACK_MS;
	w->renewals_open++;
	w->renew_ms = now_ms;
}

static void send_start(ffl_dispatch_t *d, ffl_run_t *run, GArray *orders,
		       uint64_t now_ms)
{
	const ffl_task_t *task = &run->flow->tasks[run->task];
	const ffl_step_t *step =
		&run->flow->spec.steps[ffl_flow_step_of(run->flow, run->task)];
	ffl_open_call_t *call;
	ffl_order_t *order;

	if (run->state == FFL_RUN_PLANNED) {
		run->state = FFL_RUN_SENT;
		d->starts++;
	}
	run->sendings++;
	order = new_order(d, orders, FFL_ORDER_START, run->worker, run, now_ms,
			  &call);
	order->spec = run->flow->spec.spec;
	order->checkpoint = task->checkpoint;
	if (!run->lease_until_ms)
		run->lease_until_ms = ffl_dispatch_worker_grant_lease(
			d, run->worker, now_ms, &run->lease_end_ms);
	order->until_ms = call->until_ms = run->lease_until_ms;
	call->lease_end_ms = run->lease_end_ms;
	order->ticket = ffl_advice_ticket(d, run);
	order->timeout_ms = START_TIMEOUT_MS;
	ffl_dispatch_note(d, "run-ordered", order->task,
			  "run=%u worker=%s born=%" PRId64
			  " sending=%u rack=%s priority=%u waited_ms=%" PRIu64
			  " resumed=%d data_rack=%s gpus=%u",
			  run->run, run->worker->entry.id,
			  run->worker->entry.born_ms, run->sendings,
			  run->worker->entry.rack, run->flow->spec.priority,
			  now_ms - run->flow->first_seen_ms,
			  task->checkpoint != NULL, step->rack, step->gpus);
}

static void send_stop(ffl_dispatch_t *d, ffl_run_t *run, GArray *orders,
		      uint64_t now_ms)
{
	ffl_open_call_t *call;
	ffl_order_t *order = new_order(d, orders, FFL_ORDER_STOP, run->worker,
				       run, now_ms, &call);

	order->timeout_ms = STOP_TIMEOUT_MS;
	ffl_dispatch_note(d, "run-stopped", order->task,
			  "run=%u worker=%s why=%s", run->run,
			  run->worker->entry.id,
			  run->stop_reason ? run->stop_reason : "-");
}

static void send_throttle(ffl_dispatch_t *d, ffl_run_t *run, GArray *orders,
			  uint64_t now_ms)
{
	ffl_open_call_t *call;
	ffl_order_t *order = new_order(d, orders, FFL_ORDER_THROTTLE,
				       run->worker, run, now_ms, &call);

	call->percent = run->limit_percent;
	order->percent = run->limit_percent;
	order->timeout_ms = THROTTLE_TIMEOUT_MS;
}

/* Returns true if a start in doubt is not to be repeated, as its worker answers
 * no renewal either: each further sending would have to be waited out. */
static bool holds_repeat(const ffl_run_t *run)
{
	return run->start_in_doubt && run->worker->missed_renewals;
}

static void send_run_order(ffl_dispatch_t *d, ffl_run_t *run, bool may_start,
			   GArray *orders, uint64_t now_ms)
{
	if (run->state == FFL_RUN_RUNNING && !run->stopping &&
	    run->limit_percent == run->acked_limit_percent)
		return;
	if (run->stopping && run->state == FFL_RUN_PLANNED) {
		ffl_run_finish(d, run, FFL_RUN_END_STOPPED, NULL, now_ms);
		return;
	}
	if (run->call || now_ms < run->retry_ms ||
	    !run->worker->entry.addr[0] ||
	    !ffl_dispatch_worker_assign_token(d, run->worker))
		return;
	if (run->stopping) {
		send_stop(d, run, orders, now_ms);
		return;
	}
	may_start = may_start && !(run->flow->spec_parts & d->unread_parts);
	if (run->state == FFL_RUN_PLANNED) {
		if (may_start && run->batch <= d->recorded_batch &&
		    !run->worker->acks_open &&
		    !has_ends_to_acknowledge(run->worker))
			send_start(d, run, orders, now_ms);
		return;
	}
	if (run->state == FFL_RUN_SENT && may_start && !holds_repeat(run))
		send_start(d, run, orders, now_ms);
	else if (ffl_throttle_due(run))
		send_throttle(d, run, orders, now_ms);
}

void ffl_send_run_orders(ffl_dispatch_t *d, bool may_start, GArray *orders,
			 uint64_t now_ms)
{
	for (guint i = d->runs->len; i-- > 0;) {
		if (i < d->runs->len)
			send_run_order(d, g_ptr_array_index(d->runs, i),
				       may_start, orders, now_ms);
	}
}

/* Returns true if no renew order to a worker can come due before it is given a
 * run or listed anew. */
static bool is_settled(const ffl_dispatch_worker_t *w)
{
	return !w->runs->len && !w->fence_due && !w->missed_renewals &&
	       !w->renewals_open && !w->ack_batch && w->acked <= w->acked_sent;
}

void ffl_send_worker_orders(ffl_dispatch_t *d, GArray *orders, uint64_t now_ms)
{
	for (guint i = d->followed->len; i-- > 0;) {
		ffl_dispatch_worker_t *w = g_ptr_array_index(d->followed, i);

		ffl_watch_worker(d, w, now_ms);
		if (renewal_due(w, now_ms) &&
		    ffl_dispatch_worker_assign_token(d, w))
			send_renewal(d, w, orders, now_ms);
		if (!is_settled(w))
			continue;
		w->followed = false;
		g_ptr_array_remove_index_fast(d->followed, i);
	}
}
