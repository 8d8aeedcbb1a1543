#include "lib/dispatch/dispatch_int.h"

static bool same_step(const ffl_run_t *a, const ffl_run_t *b);
static bool at_work(const ffl_run_t *run);

static bool same_step(const ffl_run_t *a, const ffl_run_t *b)
{
	uint32_t each = a->flow->spec.tasks_each;

	return a->flow == b->flow && a->task / each == b->task / each &&
	       ffl_flow_step_of(a->flow, a->task) ==
		       ffl_flow_step_of(b->flow, b->task);
}

static bool at_work(const ffl_run_t *run)
{
	return run->state == FFL_RUN_RUNNING && !run->stop &&
	       run->percent >= PERCENT;
}

bool ffl_step_may_miss(const ffl_dispatch_t *d, const ffl_run_t *run,
		       GHashTable *also)
{
	const ffl_step_t *step =
		&run->flow->spec.steps[ffl_flow_step_of(run->flow, run->task)];
	uint32_t present = 0;

	if (!step->unavailable_max || !at_work(run))
		return true;
	for (guint i = 0; i < d->runs->len; i++) {
		ffl_run_t *other = g_ptr_array_index(d->runs, i);

		if (!same_step(run, other) || !at_work(other))
			continue;
		present += !also || !g_hash_table_contains(also, other);
	}
	return step->tasks - MIN(present, step->tasks) < step->unavailable_max;
}
