#include "lib/dispatch/dispatch_int.h"

/** Best-effort runs are slowed down while a task's tail latency is at or above
 * the high mark, and sped up again below the low mark; in percent of the
 * task's latency objective. */
#define OBJECTIVE_HIGH_PERCENT 90
#define OBJECTIVE_LOW_PERCENT  70
/** The speed limit is cut to this share of itself; a limit below the minimum
 * becomes 0. Three reports are enough to stop the runs, which is well within
 * the time for which an objective may be missed. */
#define LIMIT_CUT_PERCENT 25
#define LIMIT_MIN_PERCENT 5
/** Increase of the speed limit per report, in percent of full speed. */
#define LIMIT_RISE_PERCENT 10

static uint32_t worst_objective_percent(const ffl_dispatch_worker_t *w);
static uint32_t next_limit(uint32_t limit, uint32_t percent);

/* Returns the highest tail latency on a worker, in percent of the task's
 * latency objective. */
static uint32_t worst_objective_percent(const ffl_dispatch_worker_t *w)
{
	uint64_t worst = 0;

	for (guint i = 0; i < w->runs->len; i++) {
		const ffl_run_t *run = g_ptr_array_index(w->runs, i);
		const ffl_step_t *step = ffl_run_step(run);

		if (step->target_ms && run->state == FFL_RUN_RUNNING)
			worst = MAX(worst, (uint64_t)run->recent_load *
						   PERCENT / step->target_ms);
	}
	return (uint32_t)MIN(worst, UINT32_MAX);
}

static uint32_t next_limit(uint32_t limit, uint32_t percent)
{
	if (percent >= OBJECTIVE_HIGH_PERCENT) {
		limit = limit * LIMIT_CUT_PERCENT / PERCENT;
		return limit < LIMIT_MIN_PERCENT ? 0 : limit;
	}
	return percent < OBJECTIVE_LOW_PERCENT
		       ? MIN(limit + LIMIT_RISE_PERCENT, PERCENT)
		       : limit;
}

bool ffl_dispatch_worker_has_objective(const ffl_dispatch_worker_t *w)
{
	for (guint i = 0; i < w->runs->len; i++) {
		if (ffl_run_step(g_ptr_array_index(w->runs, i))->target_ms)
			return true;
	}
	return false;
}

void ffl_throttle_update(ffl_dispatch_t *d, ffl_dispatch_worker_t *w)
{
	uint32_t percent = worst_objective_percent(w);
	uint32_t old = w->limit_percent;

	w->limit_percent = next_limit(old, percent);
	for (guint i = 0; i < w->runs->len; i++) {
		ffl_run_t *run = g_ptr_array_index(w->runs, i);

		if (ffl_run_step(run)->best_effort)
			run->limit_percent = w->limit_percent;
	}
	if (w->limit_percent != old)
		ffl_dispatch_note(d, "worker-paced", w->entry.id,
				  "percent=%u before=%u share=%u",
				  w->limit_percent, old, percent);
}

bool ffl_throttle_due(const ffl_run_t *run)
{
	return run->state == FFL_RUN_RUNNING &&
	       run->limit_percent != run->acked_limit_percent &&
	       ffl_run_step(run)->best_effort;
}
