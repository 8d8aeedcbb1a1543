#include <string.h>

#include "lib/dispatch/dispatch_int.h"

/** A step that waits for the room near its data takes room elsewhere after
 * this share of its own time, or at once while so much is free. */
#define FAR_PERCENT	 50
#define FREE_FAR_PERCENT 40
/** Penalty of a worker with a failure, in GPUs left over. */
#define FAILED_PENALTY 64
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
static ffl_shape_t shape_of(const ffl_unit_t *unit);
static bool is_misfit(const ffl_dispatch_t *d, const ffl_unit_t *unit);
static void add_misfit(ffl_dispatch_t *d, const ffl_unit_t *unit);
static void preempt_for(ffl_dispatch_t *d, ffl_unit_t *unit, uint32_t need);
static bool leaves_room(ffl_dispatch_t *d, const ffl_unit_t *unit);
static void place_unit(ffl_dispatch_t *d, ffl_unit_t *unit);
static void place_gang(ffl_dispatch_t *d, ffl_unit_t *unit);
static void place_tasks(ffl_dispatch_t *d, ffl_unit_t *unit);
static bool choose_gang(ffl_dispatch_t *d, const ffl_unit_t *unit,
			const char *rack, ffl_runner_t **chosen);
static bool choose_rack(ffl_dispatch_t *d, const ffl_unit_t *unit,
			ffl_runner_t **chosen);
static ffl_runner_t *choose(ffl_dispatch_t *d, const ffl_unit_t *unit,
			    const char *rack);
static int64_t cost_of(const ffl_runner_t *r, const ffl_unit_t *unit);
static bool may_go_far(ffl_dispatch_t *d, const ffl_unit_t *unit);
static uint32_t free_percent(ffl_dispatch_t *d);
static void commit(ffl_dispatch_t *d, const ffl_unit_t *unit, uint32_t task,
		   ffl_runner_t *r, uint32_t run);

ffl_room_t ffl_step_room(const ffl_step_t *step)
{
	ffl_room_t room = { step->fills ? 0 : step->cpu_milli, step->mem_mb,
			    step->gpus };

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
		g_hash_table_insert(used, flow->spec.customer,
				    GUINT_TO_POINTER(sum));
		if (sum <= limit)
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

uint32_t ffl_runner_tasks_of(const ffl_runner_t *r, const ffl_unit_t *unit)
{
	uint32_t n = 0;

	for (guint i = 0; i < r->runs->len; i++) {
		const ffl_run_t *run = g_ptr_array_index(r->runs, i);

		n += run->flow == unit->flow && run->task >= unit->first &&
		     run->task < unit->first + unit->step->tasks;
	}
	return n;
}

bool ffl_runner_allows(const ffl_runner_t *r, const ffl_unit_t *unit)
{
	const ffl_step_t *step = unit->step;
	bool labelled = !step->label[0];

	if (!r->listed || r->entry.draining || r->silent || !r->clock_at ||
	    unit->now_ms < r->quarantine_ms ||
	    strcmp(r->entry.service, unit->flow->spec.service) != 0)
		return false;
	if (!unit->guaranteed && unit->now_ms < r->reserved_ms)
		return false;
	for (uint32_t i = 0; i < r->entry.labels_count && !labelled; i++)
		labelled = strcmp(r->entry.labels[i], step->label) == 0;
	if (!labelled)
		return false;
	return !unit->near_only || !step->rack[0] ||
	       strcmp(r->entry.rack, step->rack) == 0;
}

/* The fullest worker that a task fits on keeps others whole. */
static int64_t cost_of(const ffl_runner_t *r, const ffl_unit_t *unit)
{
	ffl_room_t free = ffl_runner_free(r);
	int64_t cost = (int64_t)free.gpus - unit->step->gpus;

	if (r->fails || (unit->flow->tasks[unit->first].failures && !r->proved))
		cost += FAILED_PENALTY;
	if (unit->step->rack[0] && strcmp(r->entry.rack, unit->step->rack) != 0)
		cost += FAILED_PENALTY;
	return cost;
}

static ffl_runner_t *choose(ffl_dispatch_t *d, const ffl_unit_t *unit,
			    const char *rack)
{
	ffl_room_t need = ffl_step_room(unit->step);
	ffl_runner_t *best = NULL;
	int64_t best_cost = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->runners);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		ffl_runner_t *r = value;
		ffl_room_t free = ffl_runner_free(r);
		int64_t cost;

		if (!ffl_room_fits(&free, &need) || !ffl_runner_allows(r, unit))
			continue;
		if (rack && strcmp(r->entry.rack, rack) != 0)
			continue;
		if (unit->step->per_worker_max &&
		    ffl_runner_tasks_of(r, unit) >= unit->step->per_worker_max)
			continue;
		cost = cost_of(r, unit);
		if (!best || cost < best_cost ||
		    (cost == best_cost &&
		     strcmp(r->entry.id, best->entry.id) < 0)) {
			best = r;
			best_cost = cost;
		}
	}
	return best;
}

static uint32_t free_percent(ffl_dispatch_t *d)
{
	uint64_t all = 0;
	uint64_t free = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->runners);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const ffl_runner_t *r = value;

		if (!r->listed || r->entry.draining)
			continue;
		all += r->entry.capacity.gpus;
		free += ffl_runner_free(r).gpus;
	}
	return all ? (uint32_t)(free * PERCENT / all) : PERCENT;
}

/* Far from its data, or spread over racks, a step takes a multiple of its
 * time, and so of the room: it pays once the wait is longer than that. */
static bool may_go_far(ffl_dispatch_t *d, const ffl_unit_t *unit)
{
	uint64_t waited = unit->now_ms - unit->flow->seen_ms;
	uint64_t run_ms = ffl_expect_run(d, unit->flow, unit->step_index);
	uint64_t more_ms = run_ms * (d->opt.spread_percent - PERCENT) / PERCENT;

	if (!unit->step->rack[0] && !unit->step->same_rack)
		return true;
	if (unit->flow->spec.priority > 0 &&
	    free_percent(d) >= FREE_FAR_PERCENT)
		return waited >= run_ms * FAR_PERCENT / PERCENT;
	return waited >= more_ms;
}

static void commit(ffl_dispatch_t *d, const ffl_unit_t *unit, uint32_t task,
		   ffl_runner_t *r, uint32_t run)
{
	ffl_flow_task_place(unit->flow, task, run, r->entry.id,
			    r->entry.born_ms);
	ffl_run_add(d, unit->flow, task, run, r, unit->now_ms);
	ffl_flow_dirty(d, unit->flow);
}

/* Chooses a worker for each task, taking the room meanwhile. */
static bool choose_gang(ffl_dispatch_t *d, const ffl_unit_t *unit,
			const char *rack, ffl_runner_t **chosen)
{
	uint32_t n = unit->step->tasks;
	ffl_room_t need = ffl_step_room(unit->step);
	uint32_t got;

	for (got = 0; got < n; got++) {
		uint32_t here = 0;

		chosen[got] = choose(d, unit, rack);
		if (!chosen[got])
			break;
		for (uint32_t i = 0; i <= got; i++)
			here += chosen[i] == chosen[got];
		if (unit->step->per_worker_max &&
		    here > unit->step->per_worker_max)
			break;
		ffl_room_add(&chosen[got]->used, &need);
	}
	for (uint32_t i = 0; i < got; i++)
		ffl_room_take(&chosen[i]->used, &need);
	return got == n;
}

/* Takes the rack that has the least left over of those that fit. */
static bool choose_rack(ffl_dispatch_t *d, const ffl_unit_t *unit,
			ffl_runner_t **chosen)
{
	GHashTable *racks = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	const char *best = NULL;
	uint32_t best_free = 0;

	g_hash_table_iter_init(&iter, d->runners);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		ffl_runner_t *r = value;
		uint32_t free;

		if (!ffl_runner_allows(r, unit))
			continue;
		free = GPOINTER_TO_UINT(
			g_hash_table_lookup(racks, r->entry.rack));
		free += ffl_runner_free(r).gpus + 1;
		g_hash_table_insert(racks, r->entry.rack,
				    GUINT_TO_POINTER(free));
	}
	g_hash_table_iter_init(&iter, racks);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		uint32_t free = GPOINTER_TO_UINT(value);

		if (best && (free > best_free ||
			     (free == best_free && strcmp(key, best) > 0)))
			continue;
		if (!choose_gang(d, unit, key, chosen))
			continue;
		best = key;
		best_free = free;
	}
	if (best)
		choose_gang(d, unit, best, chosen);
	g_hash_table_destroy(racks);
	return best != NULL;
}

static void place_gang(ffl_dispatch_t *d, ffl_unit_t *unit)
{
	uint32_t n = unit->step->tasks;
	ffl_runner_t **chosen = g_new0(ffl_runner_t *, n);
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
	far = may_go_far(d, unit);
	unit->near_only = true;
	ok = unit->step->same_rack ? choose_rack(d, unit, chosen)
				   : choose_gang(d, unit, NULL, chosen);
	if (!ok && far) {
		unit->near_only = false;
		ok = unit->step->same_rack && choose_rack(d, unit, chosen);
		ok = ok || choose_gang(d, unit, NULL, chosen);
	}
	if (ok) {
		for (uint32_t i = 0; i < n; i++)
			commit(d, unit, unit->first + i, chosen[i], run + 1);
	} else {
		add_misfit(d, unit);
		preempt_for(d, unit, n);
	}
	g_free(chosen);
}

static void place_tasks(ffl_dispatch_t *d, ffl_unit_t *unit)
{
	bool far = may_go_far(d, unit);
	uint32_t left = 0;

	for (uint32_t i = 0; i < unit->step->tasks; i++) {
		ffl_task_t *task = &unit->flow->tasks[unit->first + i];
		ffl_runner_t *r;

		if (task->state != FFL_TASK_WAITING)
			continue;
		unit->near_only = true;
		r = left ? NULL : choose(d, unit, NULL);
		if (!r && far && !left) {
			unit->near_only = false;
			r = choose(d, unit, NULL);
		}
		if (r)
			commit(d, unit, unit->first + i, r, task->run + 1);
		else
			left++;
	}
	if (!left)
		return;
	add_misfit(d, unit);
	preempt_for(d, unit, left);
}

/* Room that is being freed is waited for before more is stopped. */
static void preempt_for(ffl_dispatch_t *d, ffl_unit_t *unit, uint32_t need)
{
	if (!unit->guaranteed || unit->now_ms < unit->flow->preempt_ms)
		return;
	unit->near_only = unit->step->rack[0] != '\0';
	if (ffl_preempt(d, unit, need))
		unit->flow->preempt_ms =
			unit->now_ms + d->opt.stop_max_ms + PREEMPT_SLACK_MS;
	else
		unit->flow->preempt_ms = unit->now_ms + PREEMPT_SLACK_MS;
}

static ffl_shape_t shape_of(const ffl_unit_t *unit)
{
	ffl_shape_t shape = { .room = ffl_step_room(unit->step),
			      .label = unit->step->label,
			      .rack = unit->step->rack,
			      .tasks = unit->step->gang ? unit->step->tasks : 1,
			      .guaranteed = unit->guaranteed,
			      .gang = unit->step->gang };

	return shape;
}

/* What needs no less than something that found no room finds none. */
static bool is_misfit(const ffl_dispatch_t *d, const ffl_unit_t *unit)
{
	ffl_shape_t shape = shape_of(unit);

	for (guint i = 0; i < d->misfits->len; i++) {
		const ffl_shape_t *m =
			&g_array_index(d->misfits, ffl_shape_t, i);

		if (ffl_room_fits(&shape.room, &m->room) &&
		    shape.tasks >= m->tasks && shape.gang == m->gang &&
		    (m->guaranteed || !shape.guaranteed) &&
		    (!m->label[0] || strcmp(m->label, shape.label) == 0) &&
		    (!m->rack[0] || strcmp(m->rack, shape.rack) == 0))
			return true;
	}
	return false;
}

static void add_misfit(ffl_dispatch_t *d, const ffl_unit_t *unit)
{
	ffl_shape_t shape = shape_of(unit);

	if (unit->step->per_worker_max)
		return;
	if (unit->near_only && unit->step->same_rack && unit->step->gang)
		return;
	if (!unit->near_only)
		shape.rack = "";
	g_array_append_val(d->misfits, shape);
}

/* Work with slack leaves room for what may come with a guarantee. */
static bool leaves_room(ffl_dispatch_t *d, const ffl_unit_t *unit)
{
	uint32_t headroom = ffl_rank_headroom(unit->flow);

	return headroom && free_percent(d) < headroom &&
	       ffl_rank_may_wait(d, unit->flow, unit->now_ms);
}

static void place_unit(ffl_dispatch_t *d, ffl_unit_t *unit)
{
	bool waits = false;

	for (uint32_t i = 0; i < unit->step->tasks && !waits; i++)
		waits = unit->flow->tasks[unit->first + i].state ==
			FFL_TASK_WAITING;
	if (!waits || !ffl_flow_step_ready(unit->flow, unit->occurrence,
					   unit->step_index))
		return;
	if (!unit->guaranteed && (is_misfit(d, unit) || leaves_room(d, unit)))
		return;
	if (unit->step->gang)
		place_gang(d, unit);
	else
		place_tasks(d, unit);
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
	g_array_set_size(d->misfits, 0);
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
