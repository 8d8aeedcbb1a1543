#include <string.h>

#include "lib/dispatch/dispatch_int.h"

/** A GPU counts as so many cores when lost work is weighed. */
#define GPU_CORES  8
#define CORE_MILLI 1000
/** Room that was freed is kept for guaranteed work for so long beyond the
 * time that a stop takes. */
#define RESERVE_SLACK_MS 600
/** Work of first priority beyond its guarantee throws away at most this
 * share of its own. */
#define WORTH_PERCENT 100

/** Room that there would be on a worker. */
typedef struct {
	ffl_dispatch_worker_t *worker;
	ffl_resources_t spare;
	uint32_t tasks; /**< of the step, placed there in this plan */
} offer_t;

/** A plan: what would be stopped. */
typedef struct {
	ffl_dispatch_t *d;
	const ffl_unit_t *unit;
	GArray *offers;	     /**< of offer_t */
	GHashTable *victims; /**< of ffl_run_t * */
	uint64_t cost;
	bool alone; /**< counts on no room that is freed for another */
} plan_t;

static bool may_stop(const ffl_run_t *run);
static bool may_take(const plan_t *plan, const ffl_run_t *run);
static uint32_t cores_of(const ffl_step_t *step);
static uint64_t loss_of(const ffl_run_t *run, uint64_t now_ms);
static void weigh_gang(ffl_dispatch_t *d, ffl_run_t *run, uint64_t now_ms);
static void weigh_losses(ffl_dispatch_t *d, uint64_t now_ms);
static void make_offers(plan_t *plan, const GPtrArray *among);
static ffl_run_t *cheapest(const plan_t *plan, const offer_t *offer);
static void take_victim(plan_t *plan, ffl_run_t *run);
static uint64_t price(plan_t *plan, const offer_t *offer,
		      const ffl_resources_t *need);
static bool take_room(plan_t *plan, const ffl_resources_t *need);
static bool make_plan(plan_t *plan, uint32_t need_count,
		      const GPtrArray *among);
static void plan_open(plan_t *plan, ffl_dispatch_t *d, const ffl_unit_t *unit,
		      bool alone);
static bool find_plan(ffl_dispatch_t *d, const ffl_unit_t *unit, uint32_t need,
		      bool alone, plan_t *plan);
static void plan_close(plan_t *plan);
static bool best_rack(ffl_dispatch_t *d, const ffl_unit_t *unit, uint32_t need,
		      bool alone, plan_t *best);
static bool is_worth(const ffl_dispatch_t *d, const plan_t *plan);
static void carry_out(plan_t *plan);

static bool may_stop(const ffl_run_t *run)
{
	return !run->stopping && run->flow->spec.priority > 0;
}

static uint32_t cores_of(const ffl_step_t *step)
{
	return step->gpus * GPU_CORES + step->cpu_milli / CORE_MILLI;
}

/* Core-milliseconds of work that a stop throws away. */
static uint64_t loss_of(const ffl_run_t *run, uint64_t now_ms)
{
	const ffl_step_t *step = ffl_run_step(run);
	uint64_t cores = cores_of(step);
	uint64_t ran = now_ms - run->placed_ms;

	if (step->saves)
		ran = MIN(ran, CORE_MILLI);
	return cores * ran + 1;
}

/* A gang is stopped whole: the loss of each run is that of all of them. */
static void weigh_gang(ffl_dispatch_t *d, ffl_run_t *run, uint64_t now_ms)
{
	const GPtrArray *of = ffl_runs_of(d, run->flow);
	uint64_t sum = loss_of(run, now_ms);

	for (guint i = 0; ffl_run_step(run)->gang && i < of->len; i++) {
		const ffl_run_t *other = g_ptr_array_index(of, i);

		if (other != run && ffl_run_same_gang(run, other))
			sum += loss_of(other, now_ms);
	}
	run->stop_cost = sum;
	for (guint i = 0; ffl_run_step(run)->gang && i < of->len; i++) {
		ffl_run_t *other = g_ptr_array_index(of, i);

		if (ffl_run_same_gang(run, other))
			other->stop_cost = sum;
	}
}

static void weigh_losses(ffl_dispatch_t *d, uint64_t now_ms)
{
	for (guint i = 0; i < d->runs->len; i++)
		((ffl_run_t *)g_ptr_array_index(d->runs, i))->stop_cost = 0;
	for (guint i = 0; i < d->runs->len; i++) {
		ffl_run_t *run = g_ptr_array_index(d->runs, i);

		if (!run->stop_cost && may_stop(run))
			weigh_gang(d, run, now_ms);
	}
}

static bool may_take(const plan_t *plan, const ffl_run_t *run)
{
	return may_stop(run) && !g_hash_table_contains(plan->victims, run) &&
	       ffl_step_may_miss(plan->d, run, plan->victims);
}

static void plan_open(plan_t *plan, ffl_dispatch_t *d, const ffl_unit_t *unit,
		      bool alone)
{
	plan->alone = alone;
	plan->d = d;
	plan->unit = unit;
	plan->offers = g_array_new(FALSE, TRUE, sizeof(offer_t));
	plan->victims = g_hash_table_new(NULL, NULL);
	plan->cost = 0;
}

static void plan_close(plan_t *plan)
{
	g_array_free(plan->offers, TRUE);
	g_hash_table_destroy(plan->victims);
}

static void make_offers(plan_t *plan, const GPtrArray *among)
{
	for (guint k = 0; k < among->len; k++) {
		ffl_dispatch_worker_t *r = g_ptr_array_index(among, k);
		offer_t offer = { .worker = r };
		bool reserved = ffl_runner_reserved(r, plan->unit);

		if ((plan->alone && reserved) ||
		    !ffl_may_run(plan->d, r, plan->unit))
			continue;
		offer.spare = ffl_runner_free(r);
		offer.tasks = ffl_runner_tasks_of(r, plan->unit);
		/* What is being stopped is as good as free. */
		for (guint i = 0; i < r->runs->len; i++) {
			const ffl_run_t *run = g_ptr_array_index(r->runs, i);

			if (run->stopping)
				ffl_room_add(&offer.spare, &run->resources);
		}
		g_array_append_val(plan->offers, offer);
	}
}

static ffl_run_t *cheapest(const plan_t *plan, const offer_t *offer)
{
	ffl_run_t *best = NULL;
	uint64_t best_loss = 0;

	for (guint i = 0; i < offer->worker->runs->len; i++) {
		ffl_run_t *run = g_ptr_array_index(offer->worker->runs, i);
		uint64_t loss;

		if (!may_take(plan, run))
			continue;
		loss = run->stop_cost / (run->resources.gpus + 1);
		if (!best || loss < best_loss) {
			best = run;
			best_loss = loss;
		}
	}
	return best;
}

/* A gang is stopped whole, and frees its room everywhere. */
static void take_victim(plan_t *plan, ffl_run_t *run)
{
	const GPtrArray *of = ffl_runs_of(plan->d, run->flow);

	plan->cost += run->stop_cost;
	for (guint i = 0; i < of->len; i++) {
		ffl_run_t *other = g_ptr_array_index(of, i);

		if (other != run && !ffl_run_same_gang(run, other))
			continue;
		g_hash_table_add(plan->victims, other);
		for (guint k = 0; k < plan->offers->len; k++) {
			offer_t *offer =
				&g_array_index(plan->offers, offer_t, k);

			if (offer->worker == other->worker)
				ffl_room_add(&offer->spare, &other->resources);
		}
	}
}

/* Estimates what it costs to fit one more task on a worker. */
static uint64_t price(plan_t *plan, const offer_t *offer,
		      const ffl_resources_t *need)
{
	ffl_resources_t room = offer->spare;
	uint64_t cost = 0;

	if (plan->unit->step->per_worker_max &&
	    offer->tasks >= plan->unit->step->per_worker_max)
		return UINT64_MAX;
	if (ffl_room_fits(&room, need))
		return 0;
	for (guint i = 0; i < offer->worker->runs->len; i++) {
		const ffl_run_t *run =
			g_ptr_array_index(offer->worker->runs, i);

		if (!may_take(plan, run))
			continue;
		ffl_room_add(&room, &run->resources);
		cost += run->stop_cost;
		if (ffl_room_fits(&room, need))
			return cost;
	}
	return UINT64_MAX;
}

static bool take_room(plan_t *plan, const ffl_resources_t *need)
{
	offer_t *best = NULL;
	uint64_t best_cost = UINT64_MAX;

	for (guint i = 0; i < plan->offers->len; i++) {
		offer_t *offer = &g_array_index(plan->offers, offer_t, i);
		uint64_t cost = price(plan, offer, need);

		if (cost < best_cost) {
			best = offer;
			best_cost = cost;
		}
	}
	if (!best)
		return false;
	while (!ffl_room_fits(&best->spare, need)) {
		ffl_run_t *victim = cheapest(plan, best);

		if (!victim)
			return false;
		take_victim(plan, victim);
	}
	ffl_room_take(&best->spare, need);
	best->tasks++;
	return true;
}

static bool make_plan(plan_t *plan, uint32_t need_count, const GPtrArray *among)
{
	ffl_resources_t need = ffl_step_room(plan->unit->step);

	make_offers(plan, among);
	for (uint32_t i = 0; i < need_count; i++) {
		if (!take_room(plan, &need))
			return false;
	}
	return true;
}

static bool best_rack(ffl_dispatch_t *d, const ffl_unit_t *unit, uint32_t need,
		      bool alone, plan_t *best)
{
	const GPtrArray *racks = ffl_racks(d);
	bool found = false;

	for (guint i = 0; i < racks->len; i++) {
		const ffl_rack_t *rack = g_ptr_array_index(racks, i);
		plan_t plan;

		plan_open(&plan, d, unit, alone);
		if (!make_plan(&plan, need, rack->workers) ||
		    (found && plan.cost >= best->cost)) {
			plan_close(&plan);
			continue;
		}
		if (found)
			plan_close(best);
		*best = plan;
		found = true;
	}
	return found;
}

/* Without a guarantee, no more is thrown away than the step's own work. */
static bool is_worth(const ffl_dispatch_t *d, const plan_t *plan)
{
	const ffl_unit_t *unit = plan->unit;
	uint64_t own = (uint64_t)cores_of(unit->step) * unit->step->tasks *
		       ffl_expect_run(d, unit->flow, unit->step_index);

	return unit->guaranteed || plan->cost <= own * WORTH_PERCENT / PERCENT;
}

static void carry_out(plan_t *plan)
{
	uint64_t until = plan->unit->now_ms + plan->d->opt.stop_max_ms +
			 RESERVE_SLACK_MS;
	ffl_resources_t need = ffl_step_room(plan->unit->step);
	GHashTableIter iter;
	gpointer key;

	for (guint i = 0; i < plan->offers->len; i++) {
		offer_t *offer = &g_array_index(plan->offers, offer_t, i);
		uint32_t placed =
			ffl_runner_tasks_of(offer->worker, plan->unit);

		if (offer->tasks <= placed)
			continue;
		offer->worker->reserved_until_ms = until;
		offer->worker->reserved_for = plan->unit->flow;
		offer->worker->reserved = (ffl_resources_t){ 0 };
		for (uint32_t k = placed; k < offer->tasks; k++)
			ffl_room_add(&offer->worker->reserved, &need);
	}
	g_hash_table_iter_init(&iter, plan->victims);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		ffl_run_t *run = key;

		if (run->stopping)
			continue;
		plan->d->preempted++;
		ffl_dispatch_note(plan->d, "run-preempted", run->flow->spec.id,
				  "task=%u run=%u worker=%s for=%s", run->task,
				  run->run, run->worker->entry.id,
				  plan->unit->flow->spec.id);
		ffl_run_stop(plan->d, run, "preempted");
	}
}

/* Looks for a plan in one rack where the step wants it, else anywhere. */
static bool find_plan(ffl_dispatch_t *d, const ffl_unit_t *unit, uint32_t need,
		      bool alone, plan_t *plan)
{
	if (unit->step->same_rack && unit->step->gang &&
	    best_rack(d, unit, need, alone, plan))
		return true;
	plan_open(plan, d, unit, alone);
	if (make_plan(plan, need, ffl_listed(d)))
		return true;
	plan_close(plan);
	return false;
}

bool ffl_preempt(ffl_dispatch_t *d, const ffl_unit_t *unit, uint32_t need)
{
	ffl_unit_t anywhere = *unit;
	plan_t plan;
	bool ok;

	weigh_losses(d, unit->now_ms);
	ok = find_plan(d, unit, need, true, &plan);
	anywhere.near_only = false;
	if (!ok && unit->near_only)
		ok = find_plan(d, &anywhere, need, true, &plan);
	/* What is freed for others may be left over by them. */
	if (!ok)
		ok = find_plan(d, &anywhere, need, false, &plan);
	if (!ok)
		return false;
	ok = is_worth(d, &plan);
	if (ok)
		carry_out(&plan);
	plan_close(&plan);
	return ok;
}
