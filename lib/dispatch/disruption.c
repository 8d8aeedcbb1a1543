#include "lib/dispatch/dispatch_int.h"

static bool is_available(const ffl_run_t *run);

static bool is_available(const ffl_run_t *run)
{
	return run->state == FFL_RUN_RUNNING && !run->stopping &&
	       run->percent >= PERCENT;
}

bool ffl_step_allows_disruption(const ffl_dispatch_t *d, const ffl_run_t *run,
				GHashTable *stopping)
{
	const ffl_step_t *step = ffl_run_step(run);
	const GPtrArray *runs = ffl_runs_of_flow(d, run->flow);
	uint32_t available = 0;

	if (!step->unavailable_max || !is_available(run))
		return true;
	for (guint i = 0; i < runs->len; i++) {
		ffl_run_t *other = g_ptr_array_index(runs, i);

		if (!ffl_run_same_step(run, other) || !is_available(other))
			continue;
		available +=
			!stopping || !g_hash_table_contains(stopping, other);
	}
	return step->tasks - MIN(available, step->tasks) <
	       step->unavailable_max;
}
