#include <string.h>

#include "lib/dispatch/dispatch_int.h"

/** A step that waits for the room near its data takes room elsewhere after
 * this share of its own time, or at once while so much is free. */
#define FAR_PERCENT	 50
#define FREE_FAR_PERCENT 40
/** Guaranteed work goes far rather than late after this share of the time in
 * which it has to begin. */
#define RECLAIM_PERCENT 50
/** Penalty of a worker with a failure, in GPUs left over. */
#define FAILED_PENALTY 64
/** Thousandths of speed that weigh as much as a GPU left over. */
#define SPEED_MILLI_A_GPU 50
/** The slowest worker of a rack counts as so many of one alone. */
#define RACK_SPEED_WEIGHT 8

static int64_t cost_of(const ffl_dispatch_worker_t *r, const ffl_unit_t *unit);
static ffl_resources_t free_for(const ffl_dispatch_worker_t *r,
				const ffl_unit_t *unit);
static uint32_t slots_of(const ffl_dispatch_t *d,
			 const ffl_dispatch_worker_t *r, const ffl_unit_t *unit,
			 const ffl_resources_t *need);
static bool has_slots(const ffl_dispatch_t *d, const ffl_unit_t *unit,
		      const GPtrArray *among);
static uint32_t rack_free(const ffl_dispatch_t *d, const ffl_rack_t *rack,
			  const ffl_unit_t *unit);
static int64_t rack_cost(uint32_t free, ffl_dispatch_worker_t *const *chosen,
			 const ffl_unit_t *unit);

uint32_t ffl_runner_tasks_of(const ffl_dispatch_worker_t *r,
			     const ffl_unit_t *unit)
{
	uint32_t n = 0;

	for (guint i = 0; i < r->runs->len; i++) {
		const ffl_run_t *run = g_ptr_array_index(r->runs, i);

		n += run->flow == unit->flow && run->task >= unit->first &&
		     run->task < unit->first + unit->step->tasks;
	}
	return n;
}

bool ffl_runner_reserved(const ffl_dispatch_worker_t *r, const ffl_unit_t *unit)
{
	return unit->now_ms < r->reserved_until_ms &&
	       r->reserved_for != unit->flow;
}

bool ffl_runner_allows(const ffl_dispatch_worker_t *r, const ffl_unit_t *unit)
{
	const ffl_step_t *step = unit->step;
	bool labelled = !step->label[0];

	if (!r->listed || r->entry.draining || r->missed_renewals ||
	    !r->clock_read_ms || unit->now_ms < r->quarantined_until_ms ||
	    strcmp(r->entry.service, unit->flow->spec.service) != 0)
		return false;
	if (!unit->guaranteed && ffl_runner_reserved(r, unit))
		return false;
	for (uint32_t i = 0; i < r->entry.labels_count && !labelled; i++)
		labelled = strcmp(r->entry.labels[i], step->label) == 0;
	if (!labelled)
		return false;
	if (unit->sound_only && ffl_runner_slow(r, unit->now_ms))
		return false;
	return !unit->near_only || !step->rack[0] ||
	       strcmp(r->entry.rack, step->rack) == 0;
}

bool ffl_may_run(const ffl_dispatch_t *d, const ffl_dispatch_worker_t *r,
		 const ffl_unit_t *unit)
{
	return ffl_runner_allows(r, unit) && ffl_advice_allows(d, unit, r);
}

/* The fullest worker that a task fits on keeps others whole. */
static int64_t cost_of(const ffl_dispatch_worker_t *r, const ffl_unit_t *unit)
{
	ffl_resources_t free = ffl_runner_free(r);
	int64_t cost = (int64_t)free.gpus - unit->step->gpus;
	int64_t speed = ffl_runner_speed(r) / SPEED_MILLI_A_GPU;

	/* What comes first has the least slack; the rest leaves it the fast
	 * workers. */
	cost += unit->flow->spec.priority == 0 ? -speed : speed;

	if (r->fail_streak ||
	    (unit->flow->tasks[unit->first].failures && !r->has_succeeded))
		cost += FAILED_PENALTY;
	if (unit->step->rack[0] && strcmp(r->entry.rack, unit->step->rack) != 0)
		cost += FAILED_PENALTY;
	return cost;
}

/* Room that a step may use on a worker. */
static ffl_resources_t free_for(const ffl_dispatch_worker_t *r,
				const ffl_unit_t *unit)
{
	ffl_resources_t free = ffl_runner_free(r);

	if (ffl_runner_reserved(r, unit))
		ffl_room_take(&free, &r->reserved);
	return free;
}

ffl_dispatch_worker_t *ffl_choose(const ffl_dispatch_t *d,
				  const ffl_unit_t *unit,
				  const GPtrArray *among)
{
	ffl_resources_t need = ffl_step_room(unit->step);
	ffl_dispatch_worker_t *best = NULL;
	int64_t best_cost = 0;

	for (guint i = 0; i < among->len; i++) {
		ffl_dispatch_worker_t *r = g_ptr_array_index(among, i);
		ffl_resources_t free;
		int64_t cost;

		if (r->entry.capacity.gpus - r->used.gpus < need.gpus)
			continue;
		free = free_for(r, unit);
		if (!ffl_room_fits(&free, &need) || !ffl_may_run(d, r, unit))
			continue;
		if (unit->step->per_worker_max &&
		    ffl_runner_tasks_of(r, unit) >= unit->step->per_worker_max)
			continue;
		cost = cost_of(r, unit);
		if (!best || cost < best_cost) {
			best = r;
			best_cost = cost;
		}
	}
	return best;
}

void ffl_count_free(ffl_dispatch_t *d)
{
	const GPtrArray *listed = ffl_listed(d);

	d->gpus_total = 0;
	d->gpus_free = 0;
	for (guint i = 0; i < listed->len; i++) {
		const ffl_dispatch_worker_t *r = g_ptr_array_index(listed, i);

		if (r->entry.draining)
			continue;
		d->gpus_total += r->entry.capacity.gpus;
		d->gpus_free += ffl_runner_free(r).gpus;
	}
}

uint32_t ffl_free_percent(const ffl_dispatch_t *d)
{
	return d->gpus_total
		       ? (uint32_t)(d->gpus_free * PERCENT / d->gpus_total)
		       : PERCENT;
}

/* Far from its data, or spread over racks, a step takes a multiple of its
 * time, and so of the room: it pays once the wait is longer than that. */
bool ffl_may_go_far(const ffl_dispatch_t *d, const ffl_unit_t *unit)
{
	uint64_t waited = unit->now_ms - unit->flow->seen_ms;
	uint64_t run_ms = ffl_expect_run(d, unit->flow, unit->step_index);
	uint64_t more_ms = run_ms * (d->opt.spread_percent - PERCENT) / PERCENT;

	if (!unit->step->rack[0] && !unit->step->same_rack)
		return true;
	if (unit->guaranteed &&
	    waited >= (uint64_t)d->opt.reclaim_ms * RECLAIM_PERCENT / PERCENT)
		return true;
	if (unit->flow->spec.priority > 0 &&
	    ffl_free_percent(d) >= FREE_FAR_PERCENT)
		return waited >= run_ms * FAR_PERCENT / PERCENT;
	return waited >= more_ms;
}

/* Tasks of a step that fit on a worker. */
static uint32_t slots_of(const ffl_dispatch_t *d,
			 const ffl_dispatch_worker_t *r, const ffl_unit_t *unit,
			 const ffl_resources_t *need)
{
	ffl_resources_t free = free_for(r, unit);
	uint32_t most = unit->step->per_worker_max ? unit->step->per_worker_max
						   : unit->step->tasks;

	if (!ffl_room_fits(&free, need) || !ffl_may_run(d, r, unit))
		return 0;
	if (need->gpus)
		most = MIN(most, free.gpus / need->gpus);
	if (need->cpu_milli)
		most = MIN(most, free.cpu_milli / need->cpu_milli);
	if (need->mem_mb)
		most = MIN(most, free.mem_mb / need->mem_mb);
	return most;
}

static bool has_slots(const ffl_dispatch_t *d, const ffl_unit_t *unit,
		      const GPtrArray *among)
{
	ffl_resources_t need = ffl_step_room(unit->step);
	uint64_t slots = 0;

	for (guint i = 0; i < among->len; i++) {
		slots += slots_of(d, g_ptr_array_index(among, i), unit, &need);
		if (slots >= unit->step->tasks)
			return true;
	}
	return false;
}

/* Chooses a worker for each task, taking the room meanwhile. */
bool ffl_choose_gang(const ffl_dispatch_t *d, const ffl_unit_t *unit,
		     const GPtrArray *among, ffl_dispatch_worker_t **chosen)
{
	uint32_t n = unit->step->tasks;
	ffl_resources_t need = ffl_step_room(unit->step);
	uint32_t got;

	if (!has_slots(d, unit, among))
		return false;
	for (got = 0; got < n; got++) {
		uint32_t here = 0;

		chosen[got] = ffl_choose(d, unit, among);
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

/* A gang goes as fast as its slowest worker. */
static int64_t rack_cost(uint32_t free, ffl_dispatch_worker_t *const *chosen,
			 const ffl_unit_t *unit)
{
	uint32_t slowest = ffl_runner_speed(chosen[0]);

	if (unit->flow->spec.priority != 0)
		return free;
	for (uint32_t i = 1; i < unit->step->tasks; i++)
		slowest = MIN(slowest, ffl_runner_speed(chosen[i]));
	return (int64_t)free -
	       (int64_t)slowest * RACK_SPEED_WEIGHT / SPEED_MILLI_A_GPU;
}

/* GPUs that are free in a rack, and its workers. */
static uint32_t rack_free(const ffl_dispatch_t *d, const ffl_rack_t *rack,
			  const ffl_unit_t *unit)
{
	uint32_t free = 0;

	for (guint i = 0; i < rack->workers->len; i++) {
		const ffl_dispatch_worker_t *r =
			g_ptr_array_index(rack->workers, i);

		if (ffl_may_run(d, r, unit))
			free += ffl_runner_free(r).gpus + 1;
	}
	return free;
}

/* Takes the rack that has the least left over of those that fit. */
bool ffl_choose_rack(ffl_dispatch_t *d, const ffl_unit_t *unit,
		     ffl_dispatch_worker_t **chosen)
{
	const GPtrArray *racks = ffl_racks(d);
	const ffl_rack_t *best = NULL;
	int64_t best_cost = 0;

	for (guint i = 0; i < racks->len; i++) {
		const ffl_rack_t *rack = g_ptr_array_index(racks, i);
		int64_t cost;

		if (!ffl_choose_gang(d, unit, rack->workers, chosen))
			continue;
		cost = rack_cost(rack_free(d, rack, unit), chosen, unit);
		if (best &&
		    (cost > best_cost ||
		     (cost == best_cost && strcmp(rack->name, best->name) > 0)))
			continue;
		best = rack;
		best_cost = cost;
	}
	return best && ffl_choose_gang(d, unit, best->workers, chosen);
}
