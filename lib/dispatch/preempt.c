#include <string.h>

#include "lib/dispatch/dispatch_int.h"

/** Freed resources stay reserved for guaranteed work for this long beyond the
 * longest time that a stop takes. */
#define RESERVE_SLACK_MS 600
/** Most work that a step of priority 0 beyond its guarantee may cause to be
 * lost, in percent of its own work. */
#define OWN_WORK_PERCENT 100

/** A worker as it would be once the plan is carried out. */
typedef struct {
	ffl_dispatch_worker_t *worker;
	ffl_resources_t available;
	uint32_t tasks; /**< of the step: running and planned there */
	uint64_t cost;	/**< of one more task, in core-milliseconds */
	bool is_costed; /**< cost is up to date */
} candidate_t;

/** Runs to stop so that a step fits. */
struct ffl_preempt_plan {
	ffl_dispatch_t *d;
	const ffl_place_request_t *req;
	GArray *candidates;  /**< of candidate_t */
	GHashTable *victims; /**< of ffl_run_t * */
	GPtrArray *picked;   /**< of ffl_run_t *: for one task on one worker */
	uint64_t cost;	     /**< lost work, in core-milliseconds */
	bool skip_reserved;  /**< no workers reserved for other flows */
};

typedef ffl_preempt_plan_t plan_t;

static bool is_preemptible(const ffl_run_t *run);
static bool may_preempt(const plan_t *plan, const ffl_run_t *run);
static void set_gang_stop_cost(ffl_dispatch_t *d, ffl_run_t *run,
			       uint64_t now_ms);
static void update_stop_costs(ffl_dispatch_t *d, uint64_t now_ms);
static void add_candidates(plan_t *plan, const GPtrArray *workers);
static bool is_picked(const plan_t *plan, const ffl_run_t *run);
static ffl_run_t *cheapest_victim(const plan_t *plan, const candidate_t *cand,
				  uint32_t missing_gpus);
static ffl_resources_t freed_by(const plan_t *plan, const ffl_run_t *run);
static void drop_needless(plan_t *plan, ffl_resources_t available,
			  const ffl_resources_t *need, uint64_t *cost);
static void add_victim(plan_t *plan, ffl_run_t *run);
static uint64_t pick_victims(plan_t *plan, const candidate_t *cand,
			     const ffl_resources_t *need);
static candidate_t *cheapest_candidate(plan_t *plan,
				       const ffl_resources_t *need);
static void stop_picked(plan_t *plan);
static bool allot_task(plan_t *plan, const ffl_resources_t *need);
static bool make_plan(plan_t *plan, uint32_t tasks, const GPtrArray *workers);
static void plan_init(plan_t *plan, ffl_dispatch_t *d,
		      const ffl_place_request_t *req, bool skip_reserved);
static bool find_plan(ffl_dispatch_t *d, const ffl_place_request_t *req,
		      uint32_t tasks, bool skip_reserved, plan_t *plan);
static void plan_finish(plan_t *plan);
static bool plan_in_best_rack(ffl_dispatch_t *d, const ffl_place_request_t *req,
			      uint32_t tasks, bool skip_reserved, plan_t *best);
static bool is_worthwhile(const ffl_dispatch_t *d, const plan_t *plan);

static bool is_preemptible(const ffl_run_t *run)
{
	return !run->stopping && run->flow->spec.priority > 0;
}

/* A gang is stopped as a whole, so stopping any of its runs costs the work of
 * all of them, and what its job's being late costs. */
static void set_gang_stop_cost(ffl_dispatch_t *d, ffl_run_t *run,
			       uint64_t now_ms)
{
	const GPtrArray *runs = ffl_runs_of_flow(d, run->flow);
	uint64_t total = ffl_cost_lost_work(run, now_ms);

	for (guint i = 0; ffl_run_step(run)->gang && i < runs->len; i++) {
		const ffl_run_t *other = g_ptr_array_index(runs, i);

		if (other != run && ffl_run_same_gang(run, other))
			total += ffl_cost_lost_work(other, now_ms);
	}
	total += ffl_cost_of_lateness(d, run, now_ms);
	total *= ffl_cost_weight(run->flow);
	run->stop_cost = total;
	for (guint i = 0; ffl_run_step(run)->gang && i < runs->len; i++) {
		ffl_run_t *other = g_ptr_array_index(runs, i);

		if (ffl_run_same_gang(run, other))
			other->stop_cost = total;
	}
}

static void update_stop_costs(ffl_dispatch_t *d, uint64_t now_ms)
{
	for (guint i = 0; i < d->runs->len; i++)
		((ffl_run_t *)g_ptr_array_index(d->runs, i))->stop_cost = 0;
	for (guint i = 0; i < d->runs->len; i++) {
		ffl_run_t *run = g_ptr_array_index(d->runs, i);

		if (!run->stop_cost && is_preemptible(run))
			set_gang_stop_cost(d, run, now_ms);
	}
}

static bool may_preempt(const plan_t *plan, const ffl_run_t *run)
{
	return is_preemptible(run) &&
	       !g_hash_table_contains(plan->victims, run) &&
	       ffl_step_allows_disruption(plan->d, run, plan->victims);
}

static void plan_init(plan_t *plan, ffl_dispatch_t *d,
		      const ffl_place_request_t *req, bool skip_reserved)
{
	plan->skip_reserved = skip_reserved;
	plan->d = d;
	plan->req = req;
	plan->candidates = g_array_new(FALSE, TRUE, sizeof(candidate_t));
	plan->victims = g_hash_table_new(NULL, NULL);
	plan->picked = g_ptr_array_new();
	plan->cost = 0;
}

static void plan_finish(plan_t *plan)
{
	g_array_free(plan->candidates, TRUE);
	g_hash_table_destroy(plan->victims);
	g_ptr_array_free(plan->picked, TRUE);
}

static void add_candidates(plan_t *plan, const GPtrArray *workers)
{
	for (guint j = 0; j < workers->len; j++) {
		ffl_dispatch_worker_t *w = g_ptr_array_index(workers, j);
		candidate_t cand = { .worker = w };
		bool reserved = ffl_dispatch_worker_is_reserved(w, plan->req);

		if ((plan->skip_reserved && reserved) ||
		    !ffl_is_eligible(plan->d, w, plan->req))
			continue;
		cand.available = ffl_dispatch_worker_available(w);
		cand.tasks = ffl_dispatch_worker_count_tasks(w, plan->req);
		/* Runs that are being stopped will free their resources. */
		for (guint i = 0; i < w->runs->len; i++) {
			const ffl_run_t *run = g_ptr_array_index(w->runs, i);

			if (run->stopping)
				ffl_resources_add(&cand.available,
						  &run->resources);
		}
		g_array_append_val(plan->candidates, cand);
	}
}

static bool is_picked(const plan_t *plan, const ffl_run_t *run)
{
	for (guint i = 0; i < plan->picked->len; i++) {
		const ffl_run_t *other = g_ptr_array_index(plan->picked, i);

		if (other == run || ffl_run_same_gang(other, run))
			return true;
	}
	return false;
}

/* Returns the run that costs least for the GPUs that are still missing. */
static ffl_run_t *cheapest_victim(const plan_t *plan, const candidate_t *cand,
				  uint32_t missing_gpus)
{
	ffl_run_t *best = NULL;
	uint64_t best_cost = 0;

	for (guint i = 0; i < cand->worker->runs->len; i++) {
		ffl_run_t *run = g_ptr_array_index(cand->worker->runs, i);
		uint64_t cost;

		if (!may_preempt(plan, run) || is_picked(plan, run))
			continue;
		cost = run->stop_cost /
		       (MIN(run->resources.gpus, missing_gpus) + 1);
		if (!best || cost < best_cost) {
			best = run;
			best_cost = cost;
		}
	}
	return best;
}

/* Returns what stopping a run, and its gang, frees on its worker. */
static ffl_resources_t freed_by(const plan_t *plan, const ffl_run_t *run)
{
	ffl_resources_t freed = run->resources;

	for (guint i = 0; i < run->worker->runs->len; i++) {
		const ffl_run_t *other =
			g_ptr_array_index(run->worker->runs, i);

		if (other != run && ffl_run_same_gang(run, other) &&
		    !other->stopping)
			ffl_resources_add(&freed, &other->resources);
	}
	return freed;
}

/* Takes back what was picked but is not needed beside the rest. */
static void drop_needless(plan_t *plan, ffl_resources_t available,
			  const ffl_resources_t *need, uint64_t *cost)
{
	for (guint i = plan->picked->len; i-- > 0;) {
		ffl_run_t *run = g_ptr_array_index(plan->picked, i);
		ffl_resources_t freed = freed_by(plan, run);
		ffl_resources_t rest = available;

		ffl_resources_subtract(&rest, &freed);
		if (!ffl_resources_fit(&rest, need))
			continue;
		available = rest;
		*cost -= run->stop_cost;
		g_ptr_array_remove_index(plan->picked, i);
	}
}

/* A gang is stopped as a whole and frees resources on all of its workers. */
static void add_victim(plan_t *plan, ffl_run_t *run)
{
	const GPtrArray *runs = ffl_runs_of_flow(plan->d, run->flow);

	plan->cost += run->stop_cost;
	for (guint i = 0; i < runs->len; i++) {
		ffl_run_t *other = g_ptr_array_index(runs, i);

		if (other != run && !ffl_run_same_gang(run, other))
			continue;
		g_hash_table_add(plan->victims, other);
		if (other->stopping)
			continue;
		for (guint j = 0; j < plan->candidates->len; j++) {
			candidate_t *cand = &g_array_index(plan->candidates,
							   candidate_t, j);

			if (cand->worker != other->worker)
				continue;
			ffl_resources_add(&cand->available, &other->resources);
			cand->is_costed = false;
		}
	}
}

/* Picks the runs to stop so that one more task fits on a worker. Returns what
 * that costs, in core-milliseconds; UINT64_MAX if it is not possible. */
static uint64_t pick_victims(plan_t *plan, const candidate_t *cand,
			     const ffl_resources_t *need)
{
	ffl_resources_t available = cand->available;
	uint64_t cost = 0;

	g_ptr_array_set_size(plan->picked, 0);
	if (plan->req->step->per_worker_max &&
	    cand->tasks >= plan->req->step->per_worker_max)
		return UINT64_MAX;
	while (!ffl_resources_fit(&available, need)) {
		ffl_run_t *run = cheapest_victim(
			plan, cand,
			need->gpus - MIN(need->gpus, available.gpus));
		ffl_resources_t freed;

		if (!run)
			return UINT64_MAX;
		freed = freed_by(plan, run);
		ffl_resources_add(&available, &freed);
		g_ptr_array_add(plan->picked, run);
		cost += run->stop_cost;
	}
	drop_needless(plan, available, need, &cost);
	return cost;
}

static candidate_t *cheapest_candidate(plan_t *plan,
				       const ffl_resources_t *need)
{
	candidate_t *best = NULL;

	for (guint i = 0; i < plan->candidates->len; i++) {
		candidate_t *cand =
			&g_array_index(plan->candidates, candidate_t, i);

		if (!cand->is_costed)
			cand->cost = pick_victims(plan, cand, need);
		cand->is_costed = true;
		if (cand->cost < (best ? best->cost : UINT64_MAX))
			best = cand;
	}
	return best;
}

/* What was picked before may use up what a step allows. */
static void stop_picked(plan_t *plan)
{
	for (guint i = 0; i < plan->picked->len; i++) {
		ffl_run_t *run = g_ptr_array_index(plan->picked, i);

		if (may_preempt(plan, run))
			add_victim(plan, run);
	}
}

static bool allot_task(plan_t *plan, const ffl_resources_t *need)
{
	candidate_t *best;

	/* A stop elsewhere may have used up what a step allows since the cost
	 * was worked out. */
	do {
		best = cheapest_candidate(plan, need);
		if (!best)
			return false;
		best->cost = pick_victims(plan, best, need);
	} while (best->cost == UINT64_MAX);
	stop_picked(plan);
	while (!ffl_resources_fit(&best->available, need)) {
		if (pick_victims(plan, best, need) == UINT64_MAX)
			return false;
		stop_picked(plan);
	}
	best->is_costed = false;
	ffl_resources_subtract(&best->available, need);
	best->tasks++;
	return true;
}

static bool make_plan(plan_t *plan, uint32_t tasks, const GPtrArray *workers)
{
	ffl_resources_t need = ffl_step_resources(plan->req->step);

	add_candidates(plan, workers);
	for (uint32_t i = 0; i < tasks; i++) {
		if (!allot_task(plan, &need))
			return false;
	}
	return true;
}

static bool plan_in_best_rack(ffl_dispatch_t *d, const ffl_place_request_t *req,
			      uint32_t tasks, bool skip_reserved, plan_t *best)
{
	const GPtrArray *racks = ffl_dispatch_racks(d);
	bool found = false;

	for (guint i = 0; i < racks->len; i++) {
		const ffl_rack_t *rack = g_ptr_array_index(racks, i);
		plan_t plan;

		plan_init(&plan, d, req, skip_reserved);
		if (!make_plan(&plan, tasks, rack->workers) ||
		    (found && plan.cost >= best->cost)) {
			plan_finish(&plan);
			continue;
		}
		if (found)
			plan_finish(best);
		*best = plan;
		found = true;
	}
	return found;
}

/* Without a guarantee, the lost work may not exceed the step's own work. */
static bool is_worthwhile(const ffl_dispatch_t *d, const plan_t *plan)
{
	const ffl_place_request_t *req = plan->req;
	uint64_t own_work =
		(uint64_t)ffl_cost_cores(req->step) * req->step->tasks *
		ffl_rank_expected_run_ms(d, req->flow, req->step_index);

	return req->guaranteed ||
	       plan->cost <= own_work * OWN_WORK_PERCENT / PERCENT;
}

void ffl_preempt_execute(ffl_preempt_plan_t *plan)
{
	uint64_t until_ms =
		plan->req->now_ms + plan->d->opt.stop_max_ms + RESERVE_SLACK_MS;
	ffl_resources_t need = ffl_step_resources(plan->req->step);
	GHashTableIter iter;
	gpointer key;

	for (guint i = 0; i < plan->candidates->len; i++) {
		candidate_t *cand =
			&g_array_index(plan->candidates, candidate_t, i);
		uint32_t placed = ffl_dispatch_worker_count_tasks(cand->worker,
								  plan->req);

		if (cand->tasks <= placed)
			continue;
		cand->worker->reserved_until_ms = until_ms;
		cand->worker->reserved_for = plan->req->flow;
		cand->worker->reserved = (ffl_resources_t){ 0 };
		for (uint32_t j = placed; j < cand->tasks; j++)
			ffl_resources_add(&cand->worker->reserved, &need);
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
				  plan->req->flow->spec.id);
		ffl_run_request_stop(plan->d, run,
				     plan->req->guaranteed ? "reclaimed"
							   : "preempted");
	}
}

const ffl_place_request_t *ffl_preempt_request(const ffl_preempt_plan_t *plan)
{
	return plan->req;
}

uint32_t ffl_preempt_count(const ffl_preempt_plan_t *plan, uint64_t *cost)
{
	*cost = plan->cost;
	return g_hash_table_size(plan->victims);
}

/* Searches for a plan within one rack if the step prefers that, then over all
 * workers. */
static bool find_plan(ffl_dispatch_t *d, const ffl_place_request_t *req,
		      uint32_t tasks, bool skip_reserved, plan_t *plan)
{
	if (req->step->same_rack && req->step->gang &&
	    plan_in_best_rack(d, req, tasks, skip_reserved, plan))
		return true;
	plan_init(plan, d, req, skip_reserved);
	if (make_plan(plan, tasks, ffl_listed_workers(d)))
		return true;
	plan_finish(plan);
	return false;
}

bool ffl_preempt(ffl_dispatch_t *d, const ffl_place_request_t *req,
		 uint32_t tasks)
{
	ffl_place_request_t any_rack = *req;
	plan_t plan;
	bool ok;

	update_stop_costs(d, req->now_ms);
	ok = find_plan(d, req, tasks, true, &plan);
	any_rack.local_only = false;
	if (!ok && req->local_only)
		ok = find_plan(d, &any_rack, tasks, true, &plan);
	/* Other flows may not need all that is being freed for them. */
	if (!ok)
		ok = find_plan(d, &any_rack, tasks, false, &plan);
	if (!ok)
		return false;
	ok = is_worthwhile(d, &plan);
	if (ok)
		req->effects->preempt(&plan);
	plan_finish(&plan);
	return ok;
}
