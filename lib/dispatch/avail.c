#include "lib/dispatch/dispatch_int.h"

static bool at_work(const ffl_run_t *run);

static bool at_work(const ffl_run_t *run)
{
	return run->state == FFL_RUN_RUNNING && !run->stopping &&
	       run->percent >= PERCENT;
}

bool ffl_step_may_miss(const ffl_dispatch_t *d, const ffl_run_t *run,
		       GHashTable *also)
{
	const ffl_step_t *step = ffl_run_step(run);
	const GPtrArray *of = ffl_runs_of(d, run->flow);
	uint32_t present = 0;

	if (!step->unavailable_max || !at_work(run))
		return true;
	for (guint i = 0; i < of->len; i++) {
		ffl_run_t *other = g_ptr_array_index(of, i);

		if (!ffl_run_same_step(run, other) || !at_work(other))
			continue;
		present += !also || !g_hash_table_contains(also, other);
	}
	return step->tasks - MIN(present, step->tasks) < step->unavailable_max;
}
