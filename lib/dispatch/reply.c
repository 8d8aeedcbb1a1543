#include <string.h>

#include "lib/dispatch/dispatch_int.h"

/** Delay before an order that was not answered is sent again. */
#define RESEND_MS 100
/** Delay before a renew order that was not answered is sent again. It is
 * doubled for each miss in a row, up to this many times. */
#define RENEW_BACKOFF_MS      200
#define BACKOFF_DOUBLINGS_MAX 3
/** Start orders that are tried if none is sent. A lost packet delays a
 * connection beyond the deadline of one. */
#define UNSENT_STARTS_MAX 3
/** Time for which nothing is placed on a worker that refused a start, or could
 * not act on it. */
#define REFUSED_QUARANTINE_MS	400
#define UNHEALTHY_QUARANTINE_MS 1500
/** A worker's clock may differ by this from what its last reading lets
 * expect: a call's time-out, and what a slow clock loses meanwhile. */
#define CLOCK_TOLERANCE_MS 1000
/** Most ended runs that a worker lists in one report. */
#define REPORT_ENDS_MAX 500

typedef void (*reply_fn_t)(ffl_dispatch_t *d, ffl_open_call_t *call,
			   const ffl_reply_t *reply, uint64_t now_ms);

static void handle_renew_reply(ffl_dispatch_t *d, ffl_open_call_t *call,
			       const ffl_reply_t *reply, uint64_t now_ms);
static void handle_start_reply(ffl_dispatch_t *d, ffl_open_call_t *call,
			       const ffl_reply_t *reply, uint64_t now_ms);
static void handle_stop_reply(ffl_dispatch_t *d, ffl_open_call_t *call,
			      const ffl_reply_t *reply, uint64_t now_ms);
static void handle_throttle_reply(ffl_dispatch_t *d, ffl_open_call_t *call,
				  const ffl_reply_t *reply, uint64_t now_ms);
static void handle_replaced(ffl_dispatch_t *d, ffl_dispatch_worker_t *w,
			    uint64_t now_ms);
static bool accept_incarnation(ffl_dispatch_t *d, const ffl_open_call_t *call,
			       const ffl_reply_t *reply, uint64_t now_ms);
static uint64_t granted_until_ms(const ffl_dispatch_t *d,
				 const ffl_open_call_t *call,
				 const ffl_reply_t *reply, uint64_t now_ms);
static void check_clock(ffl_dispatch_t *d, ffl_open_call_t *call,
			const ffl_reply_t *reply, uint64_t now_ms);
static bool is_lasting(const ffl_run_report_t *report);
static void handle_ended_runs(ffl_dispatch_t *d, ffl_dispatch_worker_t *w,
			      const ffl_reply_t *reply, uint64_t now_ms);
static void update_progress(ffl_dispatch_t *d, ffl_run_t *run,
			    const ffl_run_report_t *report, uint64_t clock_ms,
			    uint64_t now_ms);
static void update_running_runs(ffl_dispatch_t *d, ffl_dispatch_worker_t *w,
				const ffl_reply_t *reply, uint64_t now_ms);
static void mark_earlier_runs_reported(ffl_dispatch_worker_t *w,
				       uint64_t requested_ms);
static bool is_reported(const ffl_run_t *run, const ffl_reply_t *reply);
static void resolve_tasks(const ffl_dispatch_t *d, ffl_run_report_t *reports,
			  uint32_t count);
static void end_missing_runs(ffl_dispatch_t *d, ffl_dispatch_worker_t *w,
			     const ffl_reply_t *reply, uint64_t sent_ms,
			     uint64_t now_ms);
static void handle_start_refusal(ffl_dispatch_t *d, ffl_run_t *run,
				 const ffl_reply_t *reply, uint64_t now_ms);

static const reply_fn_t reply_handlers[FFL_ORDER__MAX] = {
	[FFL_ORDER_RENEW] = handle_renew_reply,
	[FFL_ORDER_START] = handle_start_reply,
	[FFL_ORDER_STOP] = handle_stop_reply,
	[FFL_ORDER_THROTTLE] = handle_throttle_reply,
};

/* Returns true if the task runs until it is cancelled: no end completes it. */
static bool is_lasting(const ffl_run_report_t *report)
{
	const ffl_flow_t *flow = report->flow;

	return flow->spec.steps[ffl_flow_step_of(flow, report->task_index)]
		.runs_until_cancelled;
}

/* Ends are acknowledged to the worker only once their consequences are in the
 * log. */
static void handle_ended_runs(ffl_dispatch_t *d, ffl_dispatch_worker_t *w,
			      const ffl_reply_t *reply, uint64_t now_ms)
{
	bool any = false;

	for (uint32_t i = 0; i < reply->ended_count; i++) {
		const ffl_run_report_t *report = &reply->ended[i];
		ffl_run_t *run;

		if (report->number <= w->end_seen)
			continue;
		w->end_seen = report->number;
		any = true;
		run = ffl_run_find(w, report);
		if (run)
			ffl_run_finish(d, run, report->end, report->checkpoint,
				       now_ms);
		else if (report->flow && report->end == FFL_RUN_END_DONE &&
			 !is_lasting(report))
			ffl_run_accept_late_success(d, report->flow,
						    report->task_index,
						    report->run);
	}
	if (!any)
		return;
	w->ack_batch = d->next_batch;
	d->dirty = true;
}

/* Reports may overtake each other; an older one tells nothing new. */
static void update_progress(ffl_dispatch_t *d, ffl_run_t *run,
			    const ffl_run_report_t *report, uint64_t clock_ms,
			    uint64_t now_ms)
{
	if (clock_ms && clock_ms < run->report_clock_ms)
		return;
	run->recent_load = report->recent_load;
	if (clock_ms) {
		run->report_clock_ms = clock_ms;
		ffl_run_sample_rate(d, run, report->percent, clock_ms, now_ms);
		if (report->percent != run->percent || !run->progress_clock_ms)
			run->progress_clock_ms = clock_ms;
	}
	run->percent = report->percent;
	if (!report->checkpoint[0] ||
	    run->flow->tasks[run->task].run != run->run)
		return;
	if (g_strcmp0(report->checkpoint,
		      run->flow->tasks[run->task].checkpoint) != 0)
		run->saved_ms = now_ms;
	ffl_flow_task_set_checkpoint(run->flow, run->task, report->checkpoint);
}

static void update_running_runs(ffl_dispatch_t *d, ffl_dispatch_worker_t *w,
				const ffl_reply_t *reply, uint64_t now_ms)
{
	for (uint32_t i = 0; i < reply->running_count; i++) {
		const ffl_run_report_t *report = &reply->running[i];
		ffl_run_t *run = ffl_run_find(w, report);

		if (!run) {
			ffl_dispatch_note(d, "run-unknown", report->task,
					  "run=%u worker=%s", report->run,
					  w->entry.id);
			if (!report->flow)
				continue;
			/* A run without a record must not continue. */
			run = ffl_run_add(d, report->flow, report->task_index,
					  report->run, w, now_ms);
			ffl_doubt_add_lease(
				&w->doubt,
				ffl_lease_end_ms(d->opt.lease_max_ms, now_ms),
				FFL_LEASE_UNKNOWN_RUN);
			run->stopping = true;
			run->stop_reason = "unknown";
		}
		if (run->state != FFL_RUN_RUNNING) {
			run->state = FFL_RUN_RUNNING;
			run->running_ms = now_ms;
			run->progress_clock_ms = reply->clock_ms;
		}
		run->seen_ms = now_ms;
		ffl_trust_count_work(w, run, now_ms);
		run->reported = true;
		update_progress(d, run, report, reply->clock_ms, now_ms);
	}
}

/* A run that was answered before a report was requested has been started by
 * the incarnation that reports, also if its end is not listed yet. */
static void mark_earlier_runs_reported(ffl_dispatch_worker_t *w,
				       uint64_t requested_ms)
{
	for (guint i = 0; i < w->runs->len; i++) {
		ffl_run_t *run = g_ptr_array_index(w->runs, i);

		if (run->state == FFL_RUN_RUNNING &&
		    run->running_ms < requested_ms)
			run->reported = true;
	}
}

static bool is_reported(const ffl_run_t *run, const ffl_reply_t *reply)
{
	for (uint32_t i = 0; i < reply->running_count; i++) {
		const ffl_run_report_t *report = &reply->running[i];

		if (report->run == run->run && report->flow == run->flow &&
		    report->task_index == run->task)
			return true;
	}
	return false;
}

static void resolve_tasks(const ffl_dispatch_t *d, ffl_run_report_t *reports,
			  uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		reports[i].flow = ffl_task_find(d->flows, reports[i].task,
						&reports[i].task_index);
}

/* Ends the runs that a report does not list although they were known to be on
 * the worker before the report was requested. */
static void end_missing_runs(ffl_dispatch_t *d, ffl_dispatch_worker_t *w,
			     const ffl_reply_t *reply, uint64_t sent_ms,
			     uint64_t now_ms)
{
	for (guint i = w->runs->len; i-- > 0;) {
		ffl_run_t *run;
		bool was_there;

		if (i >= w->runs->len)
			continue;
		run = g_ptr_array_index(w->runs, i);
		was_there = run->state == FFL_RUN_ADOPTED ||
			    (run->state == FFL_RUN_RUNNING &&
			     run->running_ms < sent_ms) ||
			    (run->stop_accepted_ms &&
			     run->stop_accepted_ms < sent_ms);
		if (was_there && !is_reported(run, reply))
			ffl_run_finish(d, run,
				       run->stopping
					       ? FFL_RUN_END_STOPPED
					       : FFL_RUN_END_LEASE_EXPIRED,
				       NULL, now_ms);
	}
}

static void handle_renew_reply(ffl_dispatch_t *d, ffl_open_call_t *call,
			       const ffl_reply_t *reply, uint64_t now_ms)
{
	ffl_dispatch_worker_t *w = call->worker;

	w->renewals_open--;
	if (call->acked)
		w->acks_open--;
	if (reply->outcome != FFL_REPLY_OK) {
		/* It may reach the next incarnation after a start, unless that
		 * has a higher token. */
		if (call->acked && reply->outcome == FFL_REPLY_UNKNOWN)
			w->token_outdated = true;
		w->missed_renewals++;
		w->renew_ms = now_ms +
			      (RENEW_BACKOFF_MS << MIN(w->missed_renewals,
						       BACKOFF_DOUBLINGS_MAX));
		return;
	}
	w->missed_renewals = 0;
	ffl_doubt_note_heard(&w->doubt);
	if (w->lease_in_doubt)
		ffl_doubt_add_lease(
			&w->doubt,
			ffl_lease_end_ms(d->opt.lease_max_ms, now_ms),
			FFL_LEASE_RESTART);
	/* A new incarnation under a higher token accepts no earlier order. */
	ffl_doubt_settle_starts(&w->doubt,
				w->lease_in_doubt ? UINT64_MAX : call->sent_ms);
	w->lease_in_doubt = false;
	w->fence_due = false;
	g_array_set_size(w->given_up, 0);
	w->clock_reported = reply->clock_ms != 0;
	w->renew_ms = now_ms;
	w->acked_sent = MAX(w->acked_sent, call->acked);
	handle_ended_runs(d, w, reply, now_ms);
	update_running_runs(d, w, reply, now_ms);
	mark_earlier_runs_reported(w, call->sent_ms);
	ffl_throttle_update(d, w);
	/* If the list is full, the end of a missing run may follow later. */
	if (reply->ended_count < REPORT_ENDS_MAX)
		end_missing_runs(d, w, reply, call->sent_ms, now_ms);
}

static void handle_start_refusal(ffl_dispatch_t *d, ffl_run_t *run,
				 const ffl_reply_t *reply, uint64_t now_ms)
{
	ffl_dispatch_worker_t *w = run->worker;
	char name[FFL_TASK_NAME_BYTES];
	bool not_serving = reply->outcome == FFL_REPLY_UNHEALTHY ||
			   reply->outcome == FFL_REPLY_NOT_SENT;

	ffl_task_name(run->flow, run->task, name);
	ffl_dispatch_note(d, "start-refused", name,
			  "run=%u worker=%s reason=%s", run->run, w->entry.id,
			  ffl_reply_outcome_name(reply->outcome));
	if (reply->outcome == FFL_REPLY_BAD_TICKET)
		ffl_advice_drop_ticket(d, run);
	else
		w->quarantined_until_ms =
			MAX(w->quarantined_until_ms,
			    now_ms + (not_serving ? UNHEALTHY_QUARANTINE_MS
						  : REFUSED_QUARANTINE_MS));
	if (run->start_in_doubt || reply->outcome == FFL_REPLY_STALE_RUN) {
		/* An earlier start order may have been carried out. */
		ffl_run_request_stop(d, run, "refused");
		return;
	}
	ffl_run_finish(d, run, FFL_RUN_END_STOPPED, NULL, now_ms);
}

static void handle_start_reply(ffl_dispatch_t *d, ffl_open_call_t *call,
			       const ffl_reply_t *reply, uint64_t now_ms)
{
	ffl_run_t *run = call->run;

	if (!run)
		return;
	run->call = 0;
	if (run->sendings > 1)
		d->repeats[reply->outcome]++;
	if (reply->outcome == FFL_REPLY_OK) {
		run->start_in_doubt = false;
		if (run->state != FFL_RUN_RUNNING) {
			ffl_dispatch_report_latency(d, FFL_LATENCY_RUNNING,
						    now_ms - run->placed_ms);
			run->state = FFL_RUN_RUNNING;
			run->running_ms = now_ms;
			run->progress_clock_ms = reply->clock_ms;
			if (!run->flow->tasks[run->task].checkpoint)
				ffl_run_begin_rate_window(run, 0,
							  reply->clock_ms);
		}
		return;
	}
	run->start_in_doubt |= reply->outcome == FFL_REPLY_UNKNOWN;
	if (reply->outcome == FFL_REPLY_UNKNOWN ||
	    (reply->outcome == FFL_REPLY_NOT_SENT &&
	     (run->start_in_doubt || run->sendings < UNSENT_STARTS_MAX))) {
		run->retry_ms = now_ms + RESEND_MS;
		return;
	}
	handle_start_refusal(d, run, reply, now_ms);
}

static void handle_stop_reply(ffl_dispatch_t *d, ffl_open_call_t *call,
			      const ffl_reply_t *reply, uint64_t now_ms)
{
	ffl_dispatch_worker_t *w = call->worker;
	ffl_run_t *run = call->run;

	if (!run)
		return;
	run->call = 0;
	run->retry_ms = now_ms + d->opt.stop_max_ms;
	/* Once a stop was accepted, the run cannot start there any more. */
	if (reply->outcome == FFL_REPLY_OK && !run->stop_accepted_ms)
		run->stop_accepted_ms = now_ms;
	/* An incarnation that has accepted the stop refuses late starts. */
	if (reply->outcome == FFL_REPLY_OK && call->other_clock) {
		ffl_doubt_settle_start(&w->doubt, run);
		ffl_doubt_add_lease(&w->doubt, now_ms + d->opt.stop_max_ms,
				    FFL_LEASE_RESTART);
	}
	if (reply->outcome != FFL_REPLY_OK)
		run->retry_ms = now_ms + RESEND_MS;
}

static void handle_throttle_reply(ffl_dispatch_t *d, ffl_open_call_t *call,
				  const ffl_reply_t *reply, uint64_t now_ms)
{
	ffl_run_t *run = call->run;

	if (!run)
		return;
	run->call = 0;
	if (reply->outcome == FFL_REPLY_OK)
		run->acked_limit_percent = call->percent;
	else
		run->retry_ms = now_ms + RESEND_MS;
}

/* Another worker has the address. That proves nothing of runs that were started
 * under an earlier entry, with another address. */
static void handle_replaced(ffl_dispatch_t *d, ffl_dispatch_worker_t *w,
			    uint64_t now_ms)
{
	if (!w->runs->len || w->fence_due)
		return;
	ffl_dispatch_note(d, "worker-replaced", w->entry.id, "runs=%u",
			  w->runs->len);
	ffl_dispatch_worker_end_runs(d, w, now_ms);
}

/* Returns false if the reply is another incarnation's than the known one. That
 * incarnation is known from then on, and its orders are renewed. */
static bool accept_incarnation(ffl_dispatch_t *d, const ffl_open_call_t *call,
			       const ffl_reply_t *reply, uint64_t now_ms)
{
	ffl_dispatch_worker_t *w = call->worker;

	if (!reply->born_ms)
		return true;
	if (w->entry.born_ms && w->entry.born_ms != reply->born_ms) {
		ffl_dispatch_note(d, "report-dropped", w->entry.id,
				  "acked=%" PRIu64 " running=%u ended=%u"
				  " after_ms=%" PRIu64,
				  call->acked, reply->running_count,
				  reply->ended_count, now_ms - call->sent_ms);
		ffl_dispatch_worker_restart(d, w, reply->born_ms, now_ms);
		w->born_reported_ms = now_ms;
		w->entry_outdated = true;
		w->entry.draining = false;
		return false;
	}
	w->entry.born_ms = reply->born_ms;
	w->born_reported_ms = now_ms;
	return true;
}

/* Returns the end of the lease that an order has given, at latest. The clock in
 * the answer is that of the incarnation which took the order, so that it tells
 * more than the one that the lease was worked out for. */
static uint64_t granted_until_ms(const ffl_dispatch_t *d,
				 const ffl_open_call_t *call,
				 const ffl_reply_t *reply, uint64_t now_ms)
{
	uint64_t left_ms;

	if (!call->until_ms || !reply->clock_ms)
		return call->lease_end_ms;
	left_ms = call->until_ms - MIN(call->until_ms, reply->clock_ms);
	return ffl_lease_end_ms(MIN(left_ms, d->opt.lease_max_ms), now_ms);
}

/* Notes in the call whether another incarnation has answered: its clock starts
 * anew. Only reports name theirs. */
static void check_clock(ffl_dispatch_t *d, ffl_open_call_t *call,
			const ffl_reply_t *reply, uint64_t now_ms)
{
	const ffl_dispatch_worker_t *w = call->worker;
	uint64_t expected_ms = w->clock_ms + now_ms - w->clock_read_ms;

	if (!w->clock_reported || !reply->clock_ms ||
	    (reply->clock_ms + CLOCK_TOLERANCE_MS >= expected_ms &&
	     reply->clock_ms <= expected_ms + CLOCK_TOLERANCE_MS))
		return;
	call->other_clock = true;
	ffl_dispatch_note(
		d, "clock-unexpected", w->entry.id,
		"clock_ms=%" PRIu64 " expected_ms=%" PRIu64 " age_ms=%" PRIu64
		" after_ms=%" PRIu64 " start=%d outcome=%s",
		reply->clock_ms, expected_ms, now_ms - w->clock_read_ms,
		now_ms - call->sent_ms, call->kind == FFL_ORDER_START,
		ffl_reply_outcome_name(reply->outcome));
}

void ffl_dispatch_handle_reply(ffl_dispatch_t *d, const ffl_reply_t *reply,
			       uint64_t now_ms)
{
	ffl_open_call_t *call = g_hash_table_lookup(d->calls, &reply->call);
	ffl_dispatch_worker_t *w;

	if (ffl_advice_handle_reply(d, reply, now_ms))
		return;
	if (!call)
		return;
	w = call->worker;
	w->calls--;
	/* An order under an earlier token of this leader may be late. */
	if (reply->outcome == FFL_REPLY_FENCED && call->token >= w->token)
		d->fenced = true;
	if (reply->outcome != FFL_REPLY_NOT_SENT)
		ffl_doubt_add_lease(&w->doubt,
				    granted_until_ms(d, call, reply, now_ms),
				    FFL_LEASE_ORDER);
	if (reply->outcome == FFL_REPLY_UNKNOWN)
		ffl_dispatch_note_unanswered(d, call, now_ms);
	if (reply->outcome == FFL_REPLY_OTHER_INCARNATION) {
		handle_replaced(d, w, now_ms);
	} else if (!accept_incarnation(d, call, reply, now_ms)) {
		return;
	} else {
		check_clock(d, call, reply, now_ms);
		ffl_dispatch_worker_set_clock(w, reply->clock_ms, now_ms);
	}
	resolve_tasks(d, reply->running, reply->running_count);
	resolve_tasks(d, reply->ended, reply->ended_count);
	reply_handlers[call->kind](d, call, reply, now_ms);
	g_hash_table_remove(d->calls, &reply->call);
}
