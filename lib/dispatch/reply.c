#include <string.h>

#include "lib/dispatch/dispatch_int.h"

/** Time before an order without an answer is repeated. */
#define RESEND_MS 100
/** Time before a silent worker is asked again. */
#define SILENT_MS	  200
#define SILENT_DOUBLE_MAX 3
/** Time for which nothing is placed on a worker that refused. */
#define REFUSED_MS   400
#define UNHEALTHY_MS 1500

typedef void (*take_fn_t)(ffl_dispatch_t *d, ffl_open_call_t *open,
			  const ffl_reply_t *reply, uint64_t now_ms);

static void take_hold(ffl_dispatch_t *d, ffl_open_call_t *open,
		      const ffl_reply_t *reply, uint64_t now_ms);
static void take_start(ffl_dispatch_t *d, ffl_open_call_t *open,
		       const ffl_reply_t *reply, uint64_t now_ms);
static void take_stop(ffl_dispatch_t *d, ffl_open_call_t *open,
		      const ffl_reply_t *reply, uint64_t now_ms);
static void take_pace(ffl_dispatch_t *d, ffl_open_call_t *open,
		      const ffl_reply_t *reply, uint64_t now_ms);
static void take_belated(ffl_dispatch_t *d, const ffl_run_report_t *row);
static void take_ends(ffl_dispatch_t *d, ffl_dispatch_worker_t *r,
		      const ffl_reply_t *reply, uint64_t now_ms);
static void take_running(ffl_dispatch_t *d, ffl_dispatch_worker_t *r,
			 const ffl_reply_t *reply, uint64_t now_ms);
static bool is_listed(const ffl_run_t *run, const ffl_reply_t *reply);
static void resolve(const ffl_dispatch_t *d, ffl_run_report_t *rows,
		    uint32_t count);
static void find_missing(ffl_dispatch_t *d, ffl_dispatch_worker_t *r,
			 const ffl_reply_t *reply, uint64_t sent_ms,
			 uint64_t now_ms);
static void refuse_start(ffl_dispatch_t *d, ffl_run_t *run,
			 const ffl_reply_t *reply, uint64_t now_ms);

static const take_fn_t takers[FFL_ORDER__MAX] = {
	[FFL_ORDER_RENEW] = take_hold,
	[FFL_ORDER_START] = take_start,
	[FFL_ORDER_STOP] = take_stop,
	[FFL_ORDER_THROTTLE] = take_pace,
};

/* A run that was given up has ended well after all: it counts, unless its
 * task was placed again. */
static void take_belated(ffl_dispatch_t *d, const ffl_run_report_t *row)
{
	ffl_flow_t *flow = row->flow;
	uint32_t first;
	uint32_t count;

	ffl_flow_range(flow, row->task_index, &first, &count);
	for (uint32_t i = first; i < first + count; i++) {
		if (flow->tasks[i].state != FFL_TASK_WAITING ||
		    flow->tasks[i].run != row->run)
			return;
	}
	for (uint32_t i = first; i < first + count; i++)
		ffl_flow_task_set(flow, i, FFL_TASK_DONE);
	ffl_dispatch_note(d, "run-belated", row->task, "run=%u", row->run);
	ffl_flow_dirty(d, flow);
}

/* An end is acknowledged only once what follows from it is on the log. */
static void take_ends(ffl_dispatch_t *d, ffl_dispatch_worker_t *r,
		      const ffl_reply_t *reply, uint64_t now_ms)
{
	bool any = false;

	for (uint32_t i = 0; i < reply->ended_count; i++) {
		const ffl_run_report_t *row = &reply->ended[i];
		ffl_run_t *run;

		if (row->number <= r->end_seen)
			continue;
		r->end_seen = row->number;
		any = true;
		run = ffl_run_find(r, row);
		if (run)
			ffl_run_end(d, run, row->end, row->checkpoint, now_ms);
		else if (row->flow && row->end == FFL_RUN_END_DONE)
			take_belated(d, row);
	}
	if (!any)
		return;
	r->ack_batch = d->next_batch;
	d->dirty = true;
}

static void take_running(ffl_dispatch_t *d, ffl_dispatch_worker_t *r,
			 const ffl_reply_t *reply, uint64_t now_ms)
{
	for (uint32_t i = 0; i < reply->running_count; i++) {
		const ffl_run_report_t *row = &reply->running[i];
		ffl_run_t *run = ffl_run_find(r, row);

		if (!run) {
			ffl_dispatch_note(d, "run-unknown", row->task,
					  "run=%u worker=%s", row->run,
					  r->entry.id);
			if (!row->flow)
				continue;
			/* A run that no record keeps must not go on. */
			run = ffl_run_add(d, row->flow, row->task_index,
					  row->run, r, now_ms);
			run->stopping = true;
			run->stop_reason = "unknown";
		}
		if (run->state != FFL_RUN_RUNNING) {
			run->state = FFL_RUN_RUNNING;
			run->running_ms = now_ms;
			run->progress_ms = now_ms;
		}
		run->seen_ms = now_ms;
		run->recent_load = row->recent_load;
		ffl_speed_take(d, run, row->percent, now_ms);
		if (row->percent != run->percent) {
			run->percent = row->percent;
			run->progress_ms = now_ms;
		}
		if (row->checkpoint[0] &&
		    run->flow->tasks[run->task].run == run->run)
			ffl_flow_task_save(run->flow, run->task,
					   row->checkpoint);
	}
}

static bool is_listed(const ffl_run_t *run, const ffl_reply_t *reply)
{
	for (uint32_t i = 0; i < reply->running_count; i++) {
		const ffl_run_report_t *row = &reply->running[i];

		if (row->run == run->run && row->flow == run->flow &&
		    row->task_index == run->task)
			return true;
	}
	return false;
}

static void resolve(const ffl_dispatch_t *d, ffl_run_report_t *rows,
		    uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		rows[i].flow = ffl_task_find(d->flows, rows[i].task,
					     &rows[i].task_index);
}

/* A report that was asked for after a run was known to be there, and does
 * not list it, says that it has ended. */
static void find_missing(ffl_dispatch_t *d, ffl_dispatch_worker_t *r,
			 const ffl_reply_t *reply, uint64_t sent_ms,
			 uint64_t now_ms)
{
	for (guint i = r->runs->len; i-- > 0;) {
		ffl_run_t *run;
		bool known;

		if (i >= r->runs->len)
			continue;
		run = g_ptr_array_index(r->runs, i);
		known = run->state == FFL_RUN_ADOPTED ||
			(run->state == FFL_RUN_RUNNING &&
			 run->running_ms < sent_ms) ||
			(run->stop_accepted_ms &&
			 run->stop_accepted_ms < sent_ms);
		if (known && !is_listed(run, reply))
			ffl_run_end(d, run,
				    run->stopping ? FFL_RUN_END_STOPPED
						  : FFL_RUN_END_LEASE_EXPIRED,
				    NULL, now_ms);
	}
}

static void take_hold(ffl_dispatch_t *d, ffl_open_call_t *open,
		      const ffl_reply_t *reply, uint64_t now_ms)
{
	ffl_dispatch_worker_t *r = open->worker;

	r->renewals_open--;
	if (reply->outcome != FFL_REPLY_OK) {
		r->missed_renewals++;
		r->renew_ms = now_ms + (SILENT_MS << MIN(r->missed_renewals,
							 SILENT_DOUBLE_MAX));
		return;
	}
	r->missed_renewals = 0;
	r->renew_ms = now_ms;
	r->acked_sent = MAX(r->acked_sent, open->acked);
	take_ends(d, r, reply, now_ms);
	take_running(d, r, reply, now_ms);
	ffl_pace_take(d, r);
	/* 500 ends are listed at a time: the rest may follow. */
	if (reply->ended_count < 500)
		find_missing(d, r, reply, open->sent_ms, now_ms);
}

static void refuse_start(ffl_dispatch_t *d, ffl_run_t *run,
			 const ffl_reply_t *reply, uint64_t now_ms)
{
	ffl_dispatch_worker_t *r = run->worker;
	char name[FFL_TASK_NAME_BYTES];

	ffl_task_name(run->flow, run->task, name);
	ffl_dispatch_note(d, "start-refused", name,
			  "run=%u worker=%s reason=%s", run->run, r->entry.id,
			  ffl_reply_outcome_name(reply->outcome));
	if (reply->outcome == FFL_REPLY_BAD_TICKET)
		ffl_advice_refused(d, run);
	else
		r->quarantined_until_ms =
			MAX(r->quarantined_until_ms,
			    now_ms + (reply->outcome == FFL_REPLY_UNHEALTHY
					      ? UNHEALTHY_MS
					      : REFUSED_MS));
	if (run->start_in_doubt || reply->outcome == FFL_REPLY_STALE_RUN) {
		/* An earlier order may have been carried out. */
		ffl_run_stop(d, run, "refused");
		return;
	}
	ffl_run_end(d, run, FFL_RUN_END_STOPPED, NULL, now_ms);
}

static void take_start(ffl_dispatch_t *d, ffl_open_call_t *open,
		       const ffl_reply_t *reply, uint64_t now_ms)
{
	ffl_run_t *run = open->run;

	if (!run)
		return;
	run->call = 0;
	if (reply->outcome == FFL_REPLY_OK) {
		run->start_in_doubt = false;
		if (run->state != FFL_RUN_RUNNING) {
			ffl_dispatch_measure(d, FFL_LATENCY_RUNNING,
					     now_ms - run->placed_ms);
			run->state = FFL_RUN_RUNNING;
			run->running_ms = now_ms;
			run->progress_ms = now_ms;
			if (!run->flow->tasks[run->task].checkpoint)
				ffl_speed_begin(run, 0, now_ms);
		}
		return;
	}
	if (reply->outcome == FFL_REPLY_UNKNOWN) {
		run->start_in_doubt = true;
		run->retry_ms = now_ms + RESEND_MS;
		return;
	}
	refuse_start(d, run, reply, now_ms);
}

static void take_stop(ffl_dispatch_t *d, ffl_open_call_t *open,
		      const ffl_reply_t *reply, uint64_t now_ms)
{
	ffl_run_t *run = open->run;

	if (!run)
		return;
	run->call = 0;
	run->retry_ms = now_ms + d->opt.stop_max_ms;
	/* From the first acceptance on it cannot start there any more. */
	if (reply->outcome == FFL_REPLY_OK && !run->stop_accepted_ms)
		run->stop_accepted_ms = now_ms;
	if (reply->outcome != FFL_REPLY_OK)
		run->retry_ms = now_ms + RESEND_MS;
}

static void take_pace(ffl_dispatch_t *d, ffl_open_call_t *open,
		      const ffl_reply_t *reply, uint64_t now_ms)
{
	ffl_run_t *run = open->run;

	if (!run)
		return;
	run->call = 0;
	if (reply->outcome == FFL_REPLY_OK)
		run->acked_limit_percent = open->percent;
	else
		run->retry_ms = now_ms + RESEND_MS;
}

void ffl_dispatch_handle_reply(ffl_dispatch_t *d, const ffl_reply_t *reply,
			       uint64_t now_ms)
{
	ffl_open_call_t *open = g_hash_table_lookup(d->calls, &reply->call);
	ffl_worker_entry_t entry;
	ffl_dispatch_worker_t *r;

	if (ffl_advice_take(d, reply, now_ms))
		return;
	if (!open)
		return;
	r = open->worker;
	r->calls--;
	if (reply->outcome == FFL_REPLY_FENCED)
		d->fenced = true;
	if (reply->born_ms && r->entry.born_ms &&
	    reply->born_ms > r->entry.born_ms) {
		entry = r->entry;
		entry.born_ms = reply->born_ms;
		ffl_dispatch_update_worker(d, &entry, now_ms);
	}
	if (reply->outcome == FFL_REPLY_OTHER_INCARNATION && r->runs->len) {
		ffl_dispatch_note(d, "worker-replaced", r->entry.id, "runs=%u",
				  r->runs->len);
		ffl_runner_lost(d, r, false, now_ms);
	}
	ffl_runner_clock(r, reply->clock_ms, now_ms);
	resolve(d, reply->running, reply->running_count);
	resolve(d, reply->ended, reply->ended_count);
	takers[open->kind](d, open, reply, now_ms);
	g_hash_table_remove(d->calls, &reply->call);
}
