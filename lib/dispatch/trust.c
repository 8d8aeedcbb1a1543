/**
 * @file trust.c
 * @brief Which workers are trusted with tasks after runs have failed there.
 */
#include "lib/dispatch/dispatch_int.h"

/** Failures in a row, of runs of different jobs, that quarantine a worker. */
#define FAIL_STREAK_MAX 2
/** Duration of a quarantine: as long as the shortest of the worker faults that
 * end by themselves. */
#define QUARANTINE_MS 4000
/** Longest time after its order in which a run fails that never came to work: a
 * round trip between regions, the worker's processing and the report. */
#define AT_ONCE_MS 400
/** Workers that the runs of one job may bring into quarantine by failing at
 * once: more of them tell that the job is at fault. */
#define AT_ONCE_PER_JOB_MAX 3
/** Largest share of the workers that is left out after one failure each, in
 * percent: beyond it there may be no room left for what works. */
#define AT_ONCE_MAX_PERCENT 25
/** How long after its quarantine a worker remains on probation if nothing is
 * tried there. */
#define PROBATION_MS 6000

static void quarantine(ffl_dispatch_t *d, ffl_dispatch_worker_t *w,
		       uint64_t now_ms);
static bool is_left_out(const ffl_dispatch_worker_t *w, uint64_t now_ms);
static bool has_unproven_run(const ffl_dispatch_worker_t *w);
static uint32_t count_failing(const ffl_dispatch_t *d, const ffl_flow_t *flow);

void ffl_trust_reset(ffl_dispatch_worker_t *w)
{
	w->fail_streak = 0;
	w->has_succeeded = false;
	w->quarantined_until_ms = 0;
	w->probation_until_ms = 0;
}

void ffl_trust_count_success(ffl_dispatch_worker_t *w)
{
	ffl_trust_reset(w);
	w->has_succeeded = true;
}

void ffl_trust_count_work(ffl_dispatch_worker_t *w, const ffl_run_t *run,
			  uint64_t now_ms)
{
	if (run->placed_ms >= w->failed_ms &&
	    now_ms - run->placed_ms > AT_ONCE_MS)
		w->probation_until_ms = 0;
}

static void quarantine(ffl_dispatch_t *d, ffl_dispatch_worker_t *w,
		       uint64_t now_ms)
{
	w->quarantined_until_ms = now_ms + QUARANTINE_MS;
	ffl_dispatch_note(d, "worker-quarantined", w->entry.id,
			  "failures=%u for_ms=%d", w->fail_streak,
			  QUARANTINE_MS);
}

static bool is_left_out(const ffl_dispatch_worker_t *w, uint64_t now_ms)
{
	return now_ms < w->quarantined_until_ms ||
	       now_ms < w->probation_until_ms;
}

/* A run that fails at once tells of its worker, one that fails later as often
 * of its job. */
void ffl_trust_count_failure(ffl_dispatch_t *d, ffl_run_t *run, uint64_t now_ms)
{
	ffl_dispatch_worker_t *w = run->worker;
	ffl_flow_t *flow = run->flow;
	bool at_once = run->sendings && now_ms - run->placed_ms <= AT_ONCE_MS;

	w->has_succeeded = false;
	w->failed_ms = now_ms;
	if (at_once && flow->failed_at_once < AT_ONCE_PER_JOB_MAX &&
	    ffl_dispatch_may_leave_out(d, is_left_out, AT_ONCE_MAX_PERCENT,
				       now_ms)) {
		flow->failed_at_once++;
		w->fail_streak++;
		w->fail_flow = flow;
		w->probation_until_ms = now_ms + QUARANTINE_MS + PROBATION_MS;
		quarantine(d, w, now_ms);
		return;
	}
	if (w->fail_streak && w->fail_flow == flow)
		return;
	w->fail_streak++;
	w->fail_flow = flow;
	if (w->fail_streak >= FAIL_STREAK_MAX)
		quarantine(d, w, now_ms);
}

/* Returns true if a run was placed there that may still fail at once. */
static bool has_unproven_run(const ffl_dispatch_worker_t *w)
{
	for (guint i = 0; i < w->runs->len; i++) {
		const ffl_run_t *run = g_ptr_array_index(w->runs, i);

		if (run->placed_ms >= w->failed_ms)
			return true;
	}
	return false;
}

/* On probation a worker is tried with one task at a time, of which a failure
 * costs least: neither a gang's, nor the last attempt of a task. */
bool ffl_trust_allows(const ffl_dispatch_worker_t *w,
		      const ffl_place_request_t *req)
{
	if (req->now_ms < w->quarantined_until_ms)
		return false;
	if (req->now_ms >= w->probation_until_ms || req->must_start)
		return true;
	return !req->step->gang && req->flow->spec.priority > 0 &&
	       req->flow->tasks[req->task].failures + 1 <
		       req->flow->spec.attempts_max &&
	       !has_unproven_run(w);
}

void ffl_list_quarantined(ffl_dispatch_t *d, uint64_t now_ms)
{
	const GPtrArray *listed = ffl_listed_workers(d);

	g_ptr_array_set_size(d->quarantined, 0);
	for (guint i = 0; i < listed->len; i++) {
		ffl_dispatch_worker_t *w = g_ptr_array_index(listed, i);

		if (now_ms < w->quarantined_until_ms)
			g_ptr_array_add(d->quarantined, w);
	}
}

/* Returns the number of workers that are quarantined for what they did to other
 * jobs. */
static uint32_t count_failing(const ffl_dispatch_t *d, const ffl_flow_t *flow)
{
	uint32_t failing = 0;

	for (guint i = 0; i < d->quarantined->len; i++) {
		const ffl_dispatch_worker_t *w =
			g_ptr_array_index(d->quarantined, i);

		failing += w->fail_flow != flow;
	}
	return failing;
}

/* Failing workers are found out one by one, so the next attempt may meet
 * another one. */
bool ffl_trust_holds_back(ffl_dispatch_t *d, const ffl_place_request_t *req,
			  uint32_t task)
{
	ffl_flow_t *flow = req->flow;
	uint32_t failures = flow->tasks[task].failures;
	char name[FFL_TASK_NAME_BYTES];
	uint32_t failing;

	if (!failures || failures + 1 < flow->spec.attempts_max ||
	    req->must_start || !ffl_rank_has_slack(d, flow, req->now_ms))
		return false;
	failing = count_failing(d, flow);
	if (!failing)
		return false;
	if (req->now_ms >= flow->held_ms + QUARANTINE_MS) {
		ffl_task_name(flow, task, name);
		ffl_dispatch_note(d, "attempt-held", name,
				  "failures=%u attempts=%u failing=%u",
				  failures, flow->spec.attempts_max, failing);
		flow->held_ms = req->now_ms;
	}
	return true;
}
