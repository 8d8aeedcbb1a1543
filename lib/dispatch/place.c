#include <string.h>

#include "lib/dispatch/dispatch_int.h"

/** Time for the end of a stop to be reported. */
#define PREEMPT_SLACK_MS 150

static int by_rank(const void *a, const void *b);
static void mark_guaranteed(ffl_dispatch_t *d, GPtrArray *ranked,
			    GHashTable *entitled);
static uint32_t need_of(const ffl_flow_t *flow);
static void place_flow(ffl_dispatch_t *d, ffl_flow_t *flow, bool guaranteed,
		       uint64_t now_ms, uint64_t wall_ms);
static bool is_due(const ffl_dispatch_t *d, const ffl_flow_t *flow,
		   uint32_t occurrence, uint64_t wall_ms);
static bool may_preempt(const ffl_unit_t *unit);
static bool make_room(ffl_dispatch_t *d, ffl_unit_t *unit, uint32_t need);
static uint32_t place_fitting(ffl_dispatch_t *d, ffl_unit_t *unit, bool far);
static bool find_gang(ffl_dispatch_t *d, ffl_unit_t *unit, bool far,
		      ffl_dispatch_worker_t **chosen);
static ffl_dispatch_worker_t *find_worker(ffl_dispatch_t *d, ffl_unit_t *unit,
					  bool far);
static bool leaves_room(ffl_dispatch_t *d, const ffl_unit_t *unit);
static bool waits_still(const ffl_unit_t *unit);
static void place_unit(ffl_dispatch_t *d, ffl_unit_t *unit);
static void place_gang(ffl_dispatch_t *d, ffl_unit_t *unit);
static void place_tasks(ffl_dispatch_t *d, ffl_unit_t *unit);
static void measure_wait(ffl_dispatch_t *d, const ffl_unit_t *unit);
static void commit(ffl_dispatch_t *d, const ffl_unit_t *unit, uint32_t task,
		   ffl_dispatch_worker_t *r, uint32_t run);

ffl_resources_t ffl_step_room(const ffl_step_t *step)
{
	ffl_resources_t room = { step->fills ? 0 : step->cpu_milli,
				 step->mem_mb, step->gpus };

	return room;
}

static int by_rank(const void *a, const void *b)
{
	const ffl_flow_t *x = *(ffl_flow_t *const *)a;
	const ffl_flow_t *y = *(ffl_flow_t *const *)b;

	/* Of what is not first, what can still be in time goes before. */
	if ((x->spec.priority == 0) != (y->spec.priority == 0))
		return x->spec.priority == 0 ? -1 : 1;
	if (x->tier != y->tier)
		return x->tier < y->tier ? -1 : 1;
	if (x->spec.priority != y->spec.priority)
		return x->spec.priority < y->spec.priority ? -1 : 1;
	if (x->order != y->order)
		return x->order < y->order ? -1 : 1;
	return 0;
}

/* The most GPUs that a flow asks for at once. */
static uint32_t need_of(const ffl_flow_t *flow)
{
	uint32_t most = 0;

	for (uint32_t i = 0; i < flow->spec.steps_count; i++) {
		const ffl_step_t *step = &flow->spec.steps[i];

		most = MAX(most, step->tasks * step->gpus);
	}
	return most;
}

/* Flows of first priority, oldest first, are guaranteed their room as far as
 * the guarantee of their customer reaches. */
static void mark_guaranteed(ffl_dispatch_t *d, GPtrArray *ranked,
			    GHashTable *entitled)
{
	GHashTable *used = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < ranked->len; i++) {
		ffl_flow_t *flow = g_ptr_array_index(ranked, i);
		uint32_t limit;
		uint32_t sum;

		if (flow->spec.priority != 0 || !d->guaranteed)
			continue;
		limit = GPOINTER_TO_UINT(g_hash_table_lookup(
			d->guaranteed, flow->spec.customer));
		sum = GPOINTER_TO_UINT(
			g_hash_table_lookup(used, flow->spec.customer));
		sum += need_of(flow);
		if (sum > limit)
			continue;
		g_hash_table_insert(used, flow->spec.customer,
				    GUINT_TO_POINTER(sum));
		g_hash_table_add(entitled, flow);
	}
	g_hash_table_destroy(used);
}

static bool is_due(const ffl_dispatch_t *d, const ffl_flow_t *flow,
		   uint32_t occurrence, uint64_t wall_ms)
{
	if (!flow->spec.timed)
		return true;
	return wall_ms >=
	       flow->spec.start_at_ms + occurrence * flow->spec.interval_ms;
}

static void measure_wait(ffl_dispatch_t *d, const ffl_unit_t *unit)
{
	uint32_t priority = unit->flow->spec.priority;
	ffl_latency_t what = FFL_LATENCY_QUEUE_OTHER;

	if (unit->flow->spec.timed)
		return;
	if (priority < 2)
		what = priority ? FFL_LATENCY_QUEUE_PRIORITY_1
				: FFL_LATENCY_QUEUE_PRIORITY_0;
	ffl_dispatch_measure(d, what, unit->now_ms - unit->flow->seen_ms);
}

static void commit(ffl_dispatch_t *d, const ffl_unit_t *unit, uint32_t task,
		   ffl_dispatch_worker_t *r, uint32_t run)
{
	if (!unit->flow->started)
		measure_wait(d, unit);
	ffl_flow_task_place(unit->flow, task, run, r->entry.id,
			    r->entry.born_ms);
	ffl_run_add(d, unit->flow, task, run, r, unit->now_ms);
	d->gpus_free -= MIN(d->gpus_free, unit->step->gpus);
	ffl_flow_dirty(d, unit->flow);
}

static bool find_gang(ffl_dispatch_t *d, ffl_unit_t *unit, bool far,
		      ffl_dispatch_worker_t **chosen)
{
	bool rack = unit->step->same_rack;

	unit->near_only = true;
	if (rack ? ffl_choose_rack(d, unit, chosen)
		 : ffl_choose_gang(d, unit, ffl_listed(d), chosen))
		return true;
	if (!far)
		return false;
	unit->near_only = false;
	return (rack && ffl_choose_rack(d, unit, chosen)) ||
	       ffl_choose_gang(d, unit, ffl_listed(d), chosen);
}

static void place_gang(ffl_dispatch_t *d, ffl_unit_t *unit)
{
	uint32_t n = unit->step->tasks;
	ffl_dispatch_worker_t **chosen = g_new0(ffl_dispatch_worker_t *, n);
	uint32_t run = 0;
	bool far;
	bool ok;

	for (uint32_t i = 0; i < n; i++) {
		const ffl_task_t *task = &unit->flow->tasks[unit->first + i];

		if (task->state != FFL_TASK_WAITING) {
			g_free(chosen);
			return;
		}
		run = MAX(run, task->run);
	}
	far = ffl_may_go_far(d, unit);
	ok = find_gang(d, unit, far, chosen);
	if (!ok && may_preempt(unit) && !make_room(d, unit, n)) {
		unit->sound_only = false;
		ok = find_gang(d, unit, far, chosen);
		if (!ok)
			make_room(d, unit, n);
	}
	if (!ok)
		ffl_add_misfit(d, unit);
	for (uint32_t i = 0; i < n && ok; i++)
		commit(d, unit, unit->first + i, chosen[i], run + 1);
	g_free(chosen);
}

static ffl_dispatch_worker_t *find_worker(ffl_dispatch_t *d, ffl_unit_t *unit,
					  bool far)
{
	ffl_dispatch_worker_t *r;

	unit->near_only = true;
	r = ffl_choose(d, unit, ffl_listed(d));
	if (r || !far)
		return r;
	unit->near_only = false;
	return ffl_choose(d, unit, ffl_listed(d));
}

/* Places what fits; returns the number of tasks that are left. */
static uint32_t place_fitting(ffl_dispatch_t *d, ffl_unit_t *unit, bool far)
{
	uint32_t left = 0;

	for (uint32_t i = 0; i < unit->step->tasks; i++) {
		ffl_task_t *task = &unit->flow->tasks[unit->first + i];
		ffl_dispatch_worker_t *r;

		if (task->state != FFL_TASK_WAITING)
			continue;
		r = left ? NULL : find_worker(d, unit, far);
		if (r)
			commit(d, unit, unit->first + i, r, task->run + 1);
		else
			left++;
	}
	return left;
}

static void place_tasks(ffl_dispatch_t *d, ffl_unit_t *unit)
{
	bool far = ffl_may_go_far(d, unit);
	uint32_t left = place_fitting(d, unit, far);

	if (left && may_preempt(unit) && !make_room(d, unit, left)) {
		unit->sound_only = false;
		left = place_fitting(d, unit, far);
		if (left)
			make_room(d, unit, left);
	}
	if (left)
		ffl_add_misfit(d, unit);
}

/* Room that is being freed is waited for before more is stopped. */
static bool may_preempt(const ffl_unit_t *unit)
{
	const ffl_flow_t *flow = unit->flow;

	return (unit->guaranteed ||
		(flow->spec.priority == 0 && flow->tier == FFL_TIER_TIMELY)) &&
	       unit->now_ms >= flow->preempt_ms;
}

static bool make_room(ffl_dispatch_t *d, ffl_unit_t *unit, uint32_t need)
{
	bool ok;

	unit->near_only = unit->step->rack[0] != '\0';
	ok = ffl_preempt(d, unit, need);
	unit->flow->preempt_ms =
		unit->now_ms + PREEMPT_SLACK_MS + (ok ? d->opt.stop_max_ms : 0);
	return ok;
}

/* Work with slack leaves room for what may come with a guarantee. */
static bool leaves_room(ffl_dispatch_t *d, const ffl_unit_t *unit)
{
	uint32_t headroom = ffl_rank_headroom(unit->flow);

	return headroom && ffl_free_percent(d) < headroom &&
	       ffl_rank_may_wait(d, unit->flow, unit->now_ms);
}

static bool waits_still(const ffl_unit_t *unit)
{
	for (uint32_t i = 0; i < unit->step->tasks; i++) {
		if (unit->flow->tasks[unit->first + i].state ==
		    FFL_TASK_WAITING)
			return true;
	}
	return false;
}

static void place_unit(ffl_dispatch_t *d, ffl_unit_t *unit)
{
	if (!waits_still(unit) ||
	    !ffl_flow_step_ready(unit->flow, unit->occurrence,
				 unit->step_index))
		return;
	if (!unit->guaranteed &&
	    (ffl_is_misfit(d, unit) || leaves_room(d, unit)))
		return;
	if (unit->step->gang)
		place_gang(d, unit);
	else
		place_tasks(d, unit);
	if (waits_still(unit))
		ffl_advice_want(d, unit);
}

static void place_flow(ffl_dispatch_t *d, ffl_flow_t *flow, bool guaranteed,
		       uint64_t now_ms, uint64_t wall_ms)
{
	for (uint32_t k = 0; k < flow->spec.occurrences; k++) {
		if (!is_due(d, flow, k, wall_ms))
			break;
		for (uint32_t s = 0; s < flow->spec.steps_count; s++) {
			ffl_unit_t unit = {
				.flow = flow,
				.step = &flow->spec.steps[s],
				.step_index = s,
				.occurrence = k,
				.first = ffl_flow_first_task(flow, k, s),
				.now_ms = now_ms,
				.guaranteed = guaranteed,
				.sound_only = true,
			};

			place_unit(d, &unit);
		}
	}
}

void ffl_place(ffl_dispatch_t *d, uint64_t now_ms, uint64_t wall_ms)
{
	GPtrArray *ranked = g_ptr_array_new();
	GHashTable *entitled = g_hash_table_new(NULL, NULL);

	for (guint i = 0; i < d->flows->open->len; i++) {
		ffl_flow_t *flow = g_ptr_array_index(d->flows->open, i);

		if (ffl_flow_ended(flow))
			continue;
		flow->tier = ffl_rank_tier(d, flow, now_ms);
		g_ptr_array_add(ranked, flow);
	}
	ffl_count_free(d);
	g_array_set_size(d->infeasible, 0);
	g_ptr_array_sort(ranked, by_rank);
	mark_guaranteed(d, ranked, entitled);
	for (int pass = 0; pass < 2; pass++) {
		for (guint i = 0; i < ranked->len; i++) {
			ffl_flow_t *flow = g_ptr_array_index(ranked, i);
			bool first = g_hash_table_contains(entitled, flow);

			if (first != (pass == 0) || now_ms < flow->retry_ms)
				continue;
			place_flow(d, flow, first, now_ms, wall_ms);
		}
	}
	g_hash_table_destroy(entitled);
	g_ptr_array_free(ranked, TRUE);
}
