#include "lib/dispatch/dispatch_int.h"

/** A run without progress for this long is hung. */
#define HANG_MS 3000
/** The same if its expected rate is high enough that every report must show
 * progress. */
#define HANG_KNOWN_RATE_MS 900
/** Lowest such rate, in thousandths of a percent a second. */
#define HANG_RATE_MIN 4000

/** Thousandths: of a percent a second, and of a second. */
#define MILLI 1000
/** A draining worker often stays a little longer than announced. */
#define DRAIN_OVERRUN_MS 1500

static void leave_draining(ffl_dispatch_t *d, ffl_run_t *run, uint64_t now_ms);
static bool is_start_barred(const ffl_run_t *run);
static void watch_run(ffl_dispatch_t *d, ffl_run_t *run, uint64_t now_ms);
static uint64_t remaining_ms(const ffl_dispatch_t *d, const ffl_run_t *run,
			     uint64_t now_ms);
static bool is_hung(const ffl_dispatch_t *d, const ffl_run_t *run);
static void withdraw_start(ffl_dispatch_t *d, ffl_run_t *run, uint64_t now_ms);
static uint64_t latest_lease_end_ms(const ffl_dispatch_t *d,
				    const ffl_dispatch_worker_t *w);
static bool has_open_start(const ffl_dispatch_t *d, const ffl_run_t *run);
static bool may_run_late(const ffl_dispatch_t *d, const ffl_run_t *run,
			 uint64_t now_ms);
static bool may_have_restarted(const ffl_dispatch_t *d,
			       const ffl_dispatch_worker_t *w);
static void note_waited_out(ffl_dispatch_t *d, ffl_dispatch_worker_t *w,
			    uint32_t runs, uint64_t now_ms);
static void stop_cancelled(ffl_dispatch_t *d, ffl_run_t *run);

/* Returns the time that a run still needs: from its own rate if that is known,
 * otherwise from the run time of others. */
static uint64_t remaining_ms(const ffl_dispatch_t *d, const ffl_run_t *run,
			     uint64_t now_ms)
{
	uint64_t since_ms = run->rate ? run->seen_ms : run->running_ms;
	uint64_t total_ms;

	if (run->rate)
		total_ms = (uint64_t)(PERCENT - run->percent) * MILLI * MILLI /
			   run->rate;
	else
		total_ms = ffl_rank_expected_run_ms(
			d, run->flow, ffl_flow_step_of(run->flow, run->task));
	return total_ms - MIN(total_ms, now_ms - since_ms);
}

/* Stops a run that would outlast its draining worker, while its state can still
 * be saved. Tasks that run until cancelled are stopped as soon as their step
 * allows it. */
static void leave_draining(ffl_dispatch_t *d, ffl_run_t *run, uint64_t now_ms)
{
	const ffl_worker_entry_t *entry = &run->worker->entry;
	uint64_t left_ms = now_ms - run->worker->listed_ms;
	const ffl_step_t *step;

	if (!entry->draining || run->stopping || run->state != FFL_RUN_RUNNING)
		return;
	step = ffl_run_step(run);
	if (step->runs_until_cancelled) {
		if (ffl_step_allows_disruption(d, run, NULL))
			ffl_run_request_stop(d, run, "drained");
		return;
	}
	left_ms = entry->drain_left_ms > left_ms
			  ? entry->drain_left_ms - left_ms
			  : 0;
	if (!step->writes_checkpoints)
		left_ms += DRAIN_OVERRUN_MS;
	if (left_ms < remaining_ms(d, run, now_ms))
		ffl_run_request_stop(d, run, "drained");
}

static bool is_hung(const ffl_dispatch_t *d, const ffl_run_t *run)
{
	uint64_t stalled_ms = run->report_clock_ms -
			      MIN(run->report_clock_ms, run->progress_clock_ms);

	if (run->worker->missed_renewals || run->percent >= PERCENT ||
	    stalled_ms < HANG_KNOWN_RATE_MS)
		return false;
	/* On a cold worker it has no rate that is known. */
	return stalled_ms >= HANG_MS ||
	       (!ffl_worker_was_cold(run->worker,
				     run->seen_ms -
					     MIN(run->seen_ms, stalled_ms),
				     run->seen_ms) &&
		ffl_run_expected_rate(d, run) >= HANG_RATE_MIN);
}

/* Returns true if the data centre is evacuated before a start was ordered, or
 * after its order was not answered. An order on its way is not called back: if
 * the answer tells that the run has begun, it goes on. */
static bool is_start_barred(const ffl_run_t *run)
{
	return run->worker->evacuated &&
	       (run->state == FFL_RUN_PLANNED || !run->call);
}

/* A worker that is off the list, is evacuated, or has not answered a start
 * until its lease is over, is sent no start, only a stop for one that it may
 * have carried out. */
static void withdraw_start(ffl_dispatch_t *d, ffl_run_t *run, uint64_t now_ms)
{
	if (run->stopping ||
	    (run->state != FFL_RUN_PLANNED && run->state != FFL_RUN_SENT))
		return;
	if (!run->worker->listed)
		ffl_run_request_stop(d, run, "unlisted");
	else if (is_start_barred(run))
		ffl_run_request_stop(d, run, "evacuated");
	else if (run->lease_end_ms && now_ms >= run->lease_end_ms)
		ffl_run_request_stop(d, run, "unanswered");
}

/* Stops a hung run so that it is started elsewhere, and counts the failure
 * against its worker. */
static void watch_run(ffl_dispatch_t *d, ffl_run_t *run, uint64_t now_ms)
{
	leave_draining(d, run, now_ms);
	withdraw_start(d, run, now_ms);
	if (run->state != FFL_RUN_RUNNING || run->stopping ||
	    !is_hung(d, run) || ffl_run_step(run)->runs_until_cancelled)
		return;
	ffl_trust_count_failure(d, run, now_ms);
	ffl_run_request_stop(d, run, "hangs");
}

static void stop_cancelled(ffl_dispatch_t *d, ffl_run_t *run)
{
	const ffl_flow_t *flow = run->flow;
	const ffl_task_t *task;

	if (run->stopping || (!flow->cancelled && !flow->failed))
		return;
	task = &flow->tasks[run->task];
	if (task->state == FFL_TASK_PLACED && task->run == run->run)
		ffl_run_request_stop(d, run,
				     flow->cancelled ? "cancelled" : "failed");
}

void ffl_watch_runs(ffl_dispatch_t *d, uint64_t now_ms)
{
	for (guint i = 0; i < d->runs->len; i++) {
		ffl_run_t *run = g_ptr_array_index(d->runs, i);

		stop_cancelled(d, run);
		watch_run(d, run, now_ms);
	}
}

/* Returns the end of all leases that a worker may have, those of unanswered
 * orders included. */
static uint64_t latest_lease_end_ms(const ffl_dispatch_t *d,
				    const ffl_dispatch_worker_t *w)
{
	uint64_t end_ms = w->doubt.leases_end_ms;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const ffl_open_call_t *call = value;

		if (call->worker == w)
			end_ms = MAX(end_ms, call->lease_end_ms);
	}
	return end_ms;
}

static bool has_open_start(const ffl_dispatch_t *d, const ffl_run_t *run)
{
	const ffl_open_call_t *call = g_hash_table_lookup(d->calls, &run->call);

	return call && call->kind == FFL_ORDER_START;
}

/* Returns true if an incarnation that is not known may have begun a run by a
 * late order, and may still have its lease. A lease holds for the whole worker,
 * so that the latest of such orders counts for all of them. */
static bool may_run_late(const ffl_dispatch_t *d, const ffl_run_t *run,
			 uint64_t now_ms)
{
	uint64_t end_ms = ffl_lease_end_ms(d->opt.lease_max_ms,
					   run->worker->doubt.late_orders_ms);

	if (ffl_run_step(run)->allows_duplicates)
		return false;
	return (now_ms < end_ms &&
		ffl_doubt_find_start(&run->worker->doubt, run)) ||
	       has_open_start(d, run);
}

/* Returns true if a restart under an earlier leader may not have been read: the
 * worker was not heard since, or the list is yet to be read. */
static bool may_have_restarted(const ffl_dispatch_t *d,
			       const ffl_dispatch_worker_t *w)
{
	return w->doubt.unheard || (!w->entry.addr[0] && !d->may_start);
}

/* Tells that a worker's leases are over, but for runs that are waited out. */
static void note_waited_out(ffl_dispatch_t *d, ffl_dispatch_worker_t *w,
			    uint32_t runs, uint64_t now_ms)
{
	ffl_doubt_t *u = &w->doubt;
	uint64_t end_ms =
		ffl_lease_end_ms(d->opt.lease_max_ms, u->late_orders_ms);

	if (u->waits_out)
		return;
	u->waits_out = true;
	ffl_dispatch_note(d, "worker-waited-out", w->entry.id,
			  "runs=%u of=%u silent=%u born=%" PRId64
			  " late_ms=%" PRIu64 " wait_ms=%" PRIu64,
			  runs, w->runs->len, w->missed_renewals,
			  ffl_doubt_meant_for(u),
			  u->late_orders_ms - MIN(u->late_orders_ms, now_ms),
			  end_ms - MIN(end_ms, now_ms));
}

void ffl_watch_worker(ffl_dispatch_t *d, ffl_dispatch_worker_t *w,
		      uint64_t now_ms)
{
	bool unreachable = w->missed_renewals || !w->entry.addr[0];
	uint32_t late = 0;
	uint32_t lost = 0;

	if (may_have_restarted(d, w) &&
	    now_ms < ffl_lease_end_ms(d->opt.lease_max_ms, d->last_lease_ms))
		return;
	if (!unreachable)
		w->doubt.waits_out = false;
	if (!unreachable || !w->runs->len || now_ms < w->doubt.leases_end_ms ||
	    now_ms < latest_lease_end_ms(d, w))
		return;
	for (guint i = 0; i < w->runs->len; i++) {
		const ffl_run_t *run = g_ptr_array_index(w->runs, i);
		bool may_run = may_run_late(d, run, now_ms);

		late += may_run;
		lost += !may_run && run->state != FFL_RUN_PLANNED;
	}
	if (late)
		note_waited_out(d, w, late, now_ms);
	if (!lost)
		return;
	ffl_dispatch_note(
		d, "worker-lost", w->entry.id,
		"runs=%u silent=%u leases=%s over_ms=%" PRIu64
		" reported_ms=%" PRIu64 " leader_ms=%" PRIu64,
		lost, w->missed_renewals,
		ffl_lease_basis_name(w->doubt.leases_basis),
		w->doubt.leases_end_ms ? now_ms - w->doubt.leases_end_ms : 0,
		w->born_reported_ms ? now_ms - w->born_reported_ms : 0,
		now_ms - d->leader_since_ms);
	d->lost_workers[w->doubt.leases_basis]++;
	for (guint i = w->runs->len; i-- > 0;) {
		ffl_run_t *run;

		if (i >= w->runs->len)
			continue;
		run = g_ptr_array_index(w->runs, i);
		if (run->state == FFL_RUN_PLANNED ||
		    may_run_late(d, run, now_ms))
			continue;
		ffl_dispatch_worker_note_given_up(run);
		ffl_run_finish(d, run, FFL_RUN_END_LEASE_EXPIRED, NULL, now_ms);
	}
}
