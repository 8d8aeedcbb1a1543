#include "lib/dispatch/dispatch_int.h"

/** Shares of a latency objective at which filling work is slowed down and
 * may go faster again, in percent. */
#define HIGH_PERCENT 90
#define LOW_PERCENT  70
/** Filling work is cut to such a share of its pace; below the least it
 * stands still. Three reports stop it, well within the time for which an
 * objective may be missed. */
#define CUT_PERCENT   25
#define LEAST_PERCENT 5
/** It goes faster by so much a report. */
#define RISE_PERCENT 10

static uint32_t worst_share(const ffl_dispatch_worker_t *r);
static uint32_t next_pace(uint32_t pace, uint32_t share);

/* Largest share of its latency objective that a task on the worker takes. */
static uint32_t worst_share(const ffl_dispatch_worker_t *r)
{
	uint64_t worst = 0;

	for (guint i = 0; i < r->runs->len; i++) {
		const ffl_run_t *run = g_ptr_array_index(r->runs, i);
		const ffl_step_t *step = ffl_run_step(run);

		if (step->target_ms && run->state == FFL_RUN_RUNNING)
			worst = MAX(worst, (uint64_t)run->recent_load *
						   PERCENT / step->target_ms);
	}
	return (uint32_t)MIN(worst, UINT32_MAX);
}

static uint32_t next_pace(uint32_t pace, uint32_t share)
{
	if (share >= HIGH_PERCENT) {
		pace = pace * CUT_PERCENT / PERCENT;
		return pace < LEAST_PERCENT ? 0 : pace;
	}
	return share < LOW_PERCENT ? MIN(pace + RISE_PERCENT, PERCENT) : pace;
}

bool ffl_runner_serves(const ffl_dispatch_worker_t *r)
{
	for (guint i = 0; i < r->runs->len; i++) {
		if (ffl_run_step(g_ptr_array_index(r->runs, i))->target_ms)
			return true;
	}
	return false;
}

void ffl_pace_take(ffl_dispatch_t *d, ffl_dispatch_worker_t *r)
{
	uint32_t share = worst_share(r);
	uint32_t before = r->limit_percent;

	r->limit_percent = next_pace(before, share);
	for (guint i = 0; i < r->runs->len; i++) {
		ffl_run_t *run = g_ptr_array_index(r->runs, i);

		if (ffl_run_step(run)->fills)
			run->limit_percent = r->limit_percent;
	}
	if (r->limit_percent != before)
		ffl_dispatch_note(d, "worker-paced", r->entry.id,
				  "percent=%u before=%u share=%u",
				  r->limit_percent, before, share);
}

bool ffl_pace_due(const ffl_run_t *run)
{
	return run->state == FFL_RUN_RUNNING &&
	       run->limit_percent != run->acked_limit_percent &&
	       ffl_run_step(run)->fills;
}
