#include "lib/dispatch/dispatch_int.h"

/** A task whose progress stands still for so long hangs. */
#define HANG_MS 3000
/** The same where its rate is known: one report after another. */
#define HANG_KNOWN_MS 900
/** Least such rate, in thousandths of a percent a second. */
#define HANG_RATE 4000

/** Thousandths: of a percent a second, and of a second. */
#define MILLI 1000
/** A draining worker often stays a little longer than it says. */
#define LINGER_MS 1500

static void evacuate(ffl_dispatch_t *d, ffl_run_t *run, uint64_t now_ms);
static void watch_run(ffl_dispatch_t *d, ffl_run_t *run, uint64_t now_ms);
static uint64_t needs_ms(const ffl_dispatch_t *d, const ffl_run_t *run,
			 uint64_t now_ms);
static bool hangs(const ffl_dispatch_t *d, const ffl_run_t *run);
static void stop_cancelled(ffl_dispatch_t *d);

/* Time that a run still takes: by its own progress, or as others took. */
static uint64_t needs_ms(const ffl_dispatch_t *d, const ffl_run_t *run,
			 uint64_t now_ms)
{
	uint64_t since_ms = run->rate ? run->seen_ms : run->running_ms;
	uint64_t all_ms;

	if (run->rate)
		all_ms = (uint64_t)(PERCENT - run->percent) * MILLI * MILLI /
			 run->rate;
	else
		all_ms = ffl_expect_run(d, run->flow,
					ffl_flow_step_of(run->flow, run->task));
	return all_ms - MIN(all_ms, now_ms - since_ms);
}

/* Work that outlasts a draining worker is moved while it can be saved. */
static void evacuate(ffl_dispatch_t *d, ffl_run_t *run, uint64_t now_ms)
{
	const ffl_worker_entry_t *e = &run->worker->entry;
	uint32_t step = ffl_flow_step_of(run->flow, run->task);
	uint64_t left_ms = now_ms - run->worker->listed_ms;
	bool saves = run->flow->spec.steps[step].saves;

	if (!e->draining || run->stopping || run->state != FFL_RUN_RUNNING)
		return;
	if (run->flow->spec.steps[step].lasting) {
		if (ffl_step_may_miss(d, run, NULL))
			ffl_run_stop(d, run, "evacuated");
		return;
	}
	left_ms = e->drain_left_ms > left_ms ? e->drain_left_ms - left_ms : 0;
	if (!saves)
		left_ms += LINGER_MS;
	if (left_ms < needs_ms(d, run, now_ms))
		ffl_run_stop(d, run, "evacuated");
}

static bool hangs(const ffl_dispatch_t *d, const ffl_run_t *run)
{
	uint64_t still_ms = run->seen_ms - MIN(run->seen_ms, run->progress_ms);

	if (run->worker->missed_renewals || run->percent >= PERCENT)
		return false;
	return still_ms >= (ffl_run_usual_rate(d, run) >= HANG_RATE
				    ? HANG_KNOWN_MS
				    : HANG_MS);
}

/* A task that stands still is started elsewhere, and its worker left out. */
static void watch_run(ffl_dispatch_t *d, ffl_run_t *run, uint64_t now_ms)
{
	const ffl_flow_t *flow = run->flow;
	const ffl_step_t *step =
		&flow->spec.steps[ffl_flow_step_of(flow, run->task)];

	evacuate(d, run, now_ms);
	if (run->state != FFL_RUN_RUNNING || run->stopping || step->lasting)
		return;
	if (!hangs(d, run))
		return;
	ffl_runner_bad(d, run->worker, flow, now_ms);
	ffl_run_stop(d, run, "hangs");
}

static void stop_cancelled(ffl_dispatch_t *d)
{
	for (guint i = 0; i < d->runs->len; i++) {
		ffl_run_t *run = g_ptr_array_index(d->runs, i);
		const ffl_task_t *task = &run->flow->tasks[run->task];
		bool current =
			task->state == FFL_TASK_PLACED && task->run == run->run;

		if (run->stopping || !current)
			continue;
		if (run->flow->cancelled)
			ffl_run_stop(d, run, "cancelled");
		else if (run->flow->failed)
			ffl_run_stop(d, run, "failed");
	}
}

void ffl_watch_runs(ffl_dispatch_t *d, uint64_t now_ms)
{
	stop_cancelled(d);
	for (guint i = d->runs->len; i-- > 0;) {
		if (i < d->runs->len)
			watch_run(d, g_ptr_array_index(d->runs, i), now_ms);
	}
}

void ffl_watch_runner(ffl_dispatch_t *d, ffl_dispatch_worker_t *r,
		      uint64_t now_ms)
{
	bool unreachable = r->missed_renewals || !r->entry.addr[0];

	if (!unreachable || !r->runs->len || now_ms < r->leases_end_ms)
		return;
	ffl_dispatch_note(d, "worker-lost", r->entry.id, "runs=%u silent=%u",
			  r->runs->len, r->missed_renewals);
	for (guint i = r->runs->len; i-- > 0;) {
		ffl_run_t *run;

		if (i >= r->runs->len)
			continue;
		run = g_ptr_array_index(r->runs, i);
		if (run->state != FFL_RUN_PLANNED)
			ffl_run_end(d, run, FFL_RUN_END_LEASE_EXPIRED, NULL,
				    now_ms);
	}
}
