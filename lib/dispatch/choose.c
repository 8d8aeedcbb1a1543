#include <string.h>

#include "lib/dispatch/dispatch_int.h"

/** While at least this share of the GPUs is free, a step that waits for room
 * close to its data may run elsewhere after this share of its run time. */
#define REMOTE_FREE_PERCENT 40
#define REMOTE_WAIT_PERCENT 50
/** Penalty for a worker that had a failure, is not in the data's rack, or is so
 * cold that the job is worth less, in GPUs left over. */
#define PENALTY_GPUS 64
/** Difference in speed, in thousandths, that counts as one GPU left over. */
#define SPEED_MILLI_PER_GPU 50
/** Weight of a rack's slowest worker, relative to a single worker's speed in
 * placement_cost(). */
#define RACK_SPEED_WEIGHT 8

/* Exported functions are not inlined, and these two are called for each
 * worker. */
static ffl_bar_t worker_bar(const ffl_dispatch_worker_t *w,
			    const ffl_place_request_t *req);
static bool has_room(const ffl_dispatch_worker_t *w,
		     const ffl_place_request_t *req,
		     const ffl_resources_t *need);
static uint32_t speed_for(const ffl_dispatch_t *d,
			  const ffl_dispatch_worker_t *w,
			  const ffl_place_request_t *req);
static bool costs_worth(const ffl_dispatch_t *d, const ffl_dispatch_worker_t *w,
			const ffl_place_request_t *req);
static int64_t prefer_warm(int64_t cost, bool cold);
static int64_t placement_cost(const ffl_dispatch_t *d,
			      const ffl_dispatch_worker_t *w,
			      const ffl_place_request_t *req);
static ffl_resources_t available_for(const ffl_dispatch_worker_t *w,
				     const ffl_place_request_t *req);
static uint32_t task_slots(const ffl_dispatch_t *d,
			   const ffl_dispatch_worker_t *w,
			   const ffl_place_request_t *req,
			   const ffl_resources_t *need);
static bool has_enough_slots(const ffl_dispatch_t *d,
			     const ffl_place_request_t *req,
			     const GPtrArray *workers);
static uint32_t rack_available(const ffl_dispatch_t *d, const ffl_rack_t *rack,
			       const ffl_place_request_t *req);
static int64_t rack_cost(const ffl_dispatch_t *d, uint32_t available,
			 ffl_dispatch_worker_t *const *chosen,
			 const ffl_place_request_t *req);

static const char *const bar_names[FFL_BAR__MAX] = {
	[FFL_BAR_NONE] = "none",	   [FFL_BAR_UNLISTED] = "unlisted",
	[FFL_BAR_SERVICE] = "service",	   [FFL_BAR_DRAINING] = "draining",
	[FFL_BAR_EVACUATED] = "evacuated", [FFL_BAR_SILENT] = "silent",
	[FFL_BAR_FAILURES] = "failures",   [FFL_BAR_RESERVED] = "reserved",
	[FFL_BAR_LABEL] = "label",	   [FFL_BAR_SLOW] = "slow",
	[FFL_BAR_RACK] = "rack",	   [FFL_BAR_TICKET] = "ticket",
	[FFL_BAR_ROOM] = "room",
};

uint32_t ffl_dispatch_worker_count_tasks(const ffl_dispatch_worker_t *w,
					 const ffl_place_request_t *req)
{
	uint32_t tasks = 0;

	for (guint i = 0; i < w->runs->len; i++) {
		const ffl_run_t *run = g_ptr_array_index(w->runs, i);

		tasks += run->flow == req->flow && run->task >= req->first &&
			 run->task < req->first + req->step->tasks;
	}
	return tasks;
}

bool ffl_dispatch_worker_is_reserved(const ffl_dispatch_worker_t *w,
				     const ffl_place_request_t *req)
{
	return req->now_ms < w->reserved_until_ms &&
	       w->reserved_for != req->flow;
}

const char *ffl_bar_name(uint32_t bar)
{
	return bar < FFL_BAR__MAX ? bar_names[bar] : "?";
}

static ffl_bar_t worker_bar(const ffl_dispatch_worker_t *w,
			    const ffl_place_request_t *req)
{
	const ffl_step_t *step = req->step;
	bool labelled = !step->label[0];

	if (!w->listed || w->entry_outdated)
		return FFL_BAR_UNLISTED;
	if (strcmp(w->entry.service, req->flow->spec.service) != 0)
		return FFL_BAR_SERVICE;
	if (w->entry.draining)
		return FFL_BAR_DRAINING;
	if (w->evacuated)
		return FFL_BAR_EVACUATED;
	if (w->missed_renewals || !w->clock_read_ms)
		return FFL_BAR_SILENT;
	if (!ffl_trust_allows(w, req))
		return FFL_BAR_FAILURES;
	if (!req->guaranteed && ffl_dispatch_worker_is_reserved(w, req))
		return FFL_BAR_RESERVED;
	for (uint32_t i = 0; i < w->entry.labels_count && !labelled; i++)
		labelled = strcmp(w->entry.labels[i], step->label) == 0;
	if (!labelled)
		return FFL_BAR_LABEL;
	if (req->skip_slow && ffl_dispatch_worker_is_slow(w, req->now_ms))
		return FFL_BAR_SLOW;
	if (req->local_only && step->rack[0] &&
	    strcmp(w->entry.rack, step->rack) != 0)
		return FFL_BAR_RACK;
	return FFL_BAR_NONE;
}

ffl_bar_t ffl_worker_bar(const ffl_dispatch_worker_t *w,
			 const ffl_place_request_t *req)
{
	return worker_bar(w, req);
}

bool ffl_is_candidate(const ffl_dispatch_worker_t *w,
		      const ffl_place_request_t *req)
{
	return worker_bar(w, req) == FFL_BAR_NONE;
}

static bool has_room(const ffl_dispatch_worker_t *w,
		     const ffl_place_request_t *req,
		     const ffl_resources_t *need)
{
	ffl_resources_t available;

	if (w->entry.capacity.gpus - w->used.gpus < need->gpus)
		return false;
	available = available_for(w, req);
	return ffl_resources_fit(&available, need) &&
	       (!req->step->per_worker_max ||
		ffl_dispatch_worker_count_tasks(w, req) + w->chosen <
			req->step->per_worker_max);
}

bool ffl_has_room(const ffl_dispatch_worker_t *w,
		  const ffl_place_request_t *req, const ffl_resources_t *need)
{
	return has_room(w, req, need);
}

bool ffl_is_eligible(const ffl_dispatch_t *d, const ffl_dispatch_worker_t *w,
		     const ffl_place_request_t *req)
{
	return ffl_is_candidate(w, req) && ffl_advice_allows(d, req, w);
}

/* Returns the mean speed of a worker over a run of a step that begins now. */
static uint32_t speed_for(const ffl_dispatch_t *d,
			  const ffl_dispatch_worker_t *w,
			  const ffl_place_request_t *req)
{
	uint64_t speed = ffl_dispatch_worker_speed(w);
	uint64_t delay_ms = ffl_cold_delay_ms(d, w, req);
	uint64_t run_ms;

	if (!delay_ms)
		return (uint32_t)speed;
	run_ms = ffl_rank_expected_run_ms(d, req->flow, req->step_index);
	return (uint32_t)(speed * run_ms / (run_ms + delay_ms));
}

/* Returns true if the job is worth less to its caller for being placed on a
 * cold worker. */
static bool costs_worth(const ffl_dispatch_t *d, const ffl_dispatch_worker_t *w,
			const ffl_place_request_t *req)
{
	const ffl_flow_t *flow = req->flow;
	uint64_t delay_ms = ffl_cold_delay_ms(d, w, req);

	return delay_ms &&
	       ffl_rank_tier_at(flow, req->now_ms - flow->first_seen_ms +
					      flow->path_ms + delay_ms) >
		       flow->tier;
}

/* Of two workers with equal cost, the warm one is cheaper. */
static int64_t prefer_warm(int64_t cost, bool cold)
{
	return 2 * cost + cold;
}

/* Best fit: the worker with the fewest GPUs left over is the cheapest, which
 * keeps others free for tasks that need a whole worker. */
static int64_t placement_cost(const ffl_dispatch_t *d,
			      const ffl_dispatch_worker_t *w,
			      const ffl_place_request_t *req)
{
	ffl_resources_t available = ffl_dispatch_worker_available(w);
	int64_t cost = (int64_t)available.gpus - req->step->gpus;

	/* Priority 0 has the least slack, so other work leaves it the fast
	 * workers, but is not drawn to those that are cold. */
	if (req->flow->spec.priority == 0)
		cost -= speed_for(d, w, req) / SPEED_MILLI_PER_GPU;
	else
		cost += ffl_dispatch_worker_speed(w) / SPEED_MILLI_PER_GPU;
	if (costs_worth(d, w, req))
		cost += PENALTY_GPUS;
	if (w->fail_streak ||
	    (req->flow->tasks[req->first].failures && !w->has_succeeded))
		cost += PENALTY_GPUS;
	if (req->step->rack[0] && strcmp(w->entry.rack, req->step->rack) != 0)
		cost += PENALTY_GPUS;
	return prefer_warm(cost, ffl_worker_is_cold(w, req->now_ms));
}

/* Returns the resources of a worker that a step may use. */
static ffl_resources_t available_for(const ffl_dispatch_worker_t *w,
				     const ffl_place_request_t *req)
{
	ffl_resources_t available = ffl_dispatch_worker_available(w);

	if (ffl_dispatch_worker_is_reserved(w, req))
		ffl_resources_subtract(&available, &w->reserved);
	return available;
}

int64_t ffl_placement_cost(const ffl_dispatch_t *d,
			   const ffl_dispatch_worker_t *w,
			   const ffl_place_request_t *req)
{
	return placement_cost(d, w, req);
}

ffl_dispatch_worker_t *ffl_choose_worker(const ffl_dispatch_t *d,
					 const ffl_place_request_t *req,
					 const GPtrArray *workers)
{
	ffl_resources_t need = ffl_step_resources(req->step);
	ffl_dispatch_worker_t *best = NULL;
	int64_t best_cost = 0;

	for (guint i = 0; i < workers->len; i++) {
		ffl_dispatch_worker_t *w = g_ptr_array_index(workers, i);
		int64_t cost;

		if (!has_room(w, req, &need) || !ffl_is_eligible(d, w, req))
			continue;
		cost = placement_cost(d, w, req);
		if (!best || cost < best_cost) {
			best = w;
			best_cost = cost;
		}
	}
	return best;
}

bool ffl_count_slots(const ffl_dispatch_worker_t *w,
		     const ffl_resources_t *need, ffl_slot_count_t *count)
{
	ffl_resources_t available = ffl_dispatch_worker_available(w);

	if (w->entry.draining || w->evacuated)
		return false;
	count->total += ffl_resources_slots(&w->entry.capacity, need);
	count->free += ffl_resources_slots(&available, need);
	return true;
}

void ffl_count_free_gpus(ffl_dispatch_t *d)
{
	static const ffl_resources_t one_gpu = { .gpus = 1 };
	const GPtrArray *listed = ffl_listed_workers(d);

	g_hash_table_remove_all(d->gpus);
	for (guint i = 0; i < listed->len; i++) {
		const ffl_dispatch_worker_t *w = g_ptr_array_index(listed, i);
		ffl_slot_count_t *known =
			g_hash_table_lookup(d->gpus, w->entry.service);
		ffl_slot_count_t count =
			known ? *known : (ffl_slot_count_t){ 0 };

		if (!ffl_count_slots(w, &one_gpu, &count))
			continue;
		if (known)
			*known = count;
		else
			g_hash_table_insert(d->gpus, g_strdup(w->entry.service),
					    g_memdup2(&count, sizeof(count)));
	}
}

void ffl_take_free_gpus(ffl_dispatch_t *d, const ffl_place_request_t *req)
{
	ffl_slot_count_t *count =
		g_hash_table_lookup(d->gpus, req->flow->spec.service);

	if (count)
		count->free -= MIN(count->free, req->step->gpus);
}

uint32_t ffl_free_gpus_percent(const ffl_dispatch_t *d,
			       const ffl_place_request_t *req)
{
	const ffl_slot_count_t *count =
		g_hash_table_lookup(d->gpus, req->flow->spec.service);

	return count && count->total
		       ? (uint32_t)(count->free * PERCENT / count->total)
		       : PERCENT;
}

/* Away from its data, or spread over racks, a step runs longer and so occupies
 * its resources longer. This pays once it has waited for that extra time. */
bool ffl_allows_remote(const ffl_dispatch_t *d, const ffl_place_request_t *req)
{
	uint64_t waited = req->now_ms - req->flow->first_seen_ms;
	uint64_t run_ms =
		ffl_rank_expected_run_ms(d, req->flow, req->step_index);
	uint64_t more_ms = run_ms * (d->opt.spread_percent - PERCENT) / PERCENT;

	if (!req->step->rack[0] && !req->step->same_rack)
		return true;
	if (req->must_start)
		return true;
	if (req->flow->spec.priority > 0 &&
	    ffl_free_gpus_percent(d, req) >= REMOTE_FREE_PERCENT)
		return waited >= run_ms * REMOTE_WAIT_PERCENT / PERCENT;
	return waited >= more_ms;
}

/* Returns the number of a step's tasks that fit on a worker. */
static uint32_t task_slots(const ffl_dispatch_t *d,
			   const ffl_dispatch_worker_t *w,
			   const ffl_place_request_t *req,
			   const ffl_resources_t *need)
{
	ffl_resources_t available = available_for(w, req);
	uint32_t most = req->step->per_worker_max ? req->step->per_worker_max
						  : req->step->tasks;

	if (!ffl_resources_fit(&available, need) || !ffl_is_eligible(d, w, req))
		return 0;
	return MIN(most, ffl_resources_slots(&available, need));
}

static bool has_enough_slots(const ffl_dispatch_t *d,
			     const ffl_place_request_t *req,
			     const GPtrArray *workers)
{
	ffl_resources_t need = ffl_step_resources(req->step);
	uint64_t slots = 0;

	for (guint i = 0; i < workers->len; i++) {
		slots += task_slots(d, g_ptr_array_index(workers, i), req,
				    &need);
		if (slots >= req->step->tasks)
			return true;
	}
	return false;
}

/* The resources of each chosen worker are taken during the search only. */
uint32_t ffl_choose_workers(const ffl_dispatch_t *d,
			    const ffl_place_request_t *req,
			    const GPtrArray *workers, uint32_t tasks,
			    ffl_dispatch_worker_t **chosen)
{
	ffl_resources_t need = ffl_step_resources(req->step);
	uint32_t n_chosen;

	for (n_chosen = 0; n_chosen < tasks; n_chosen++) {
		chosen[n_chosen] = ffl_choose_worker(d, req, workers);
		if (!chosen[n_chosen])
			break;
		ffl_resources_add(&chosen[n_chosen]->used, &need);
		chosen[n_chosen]->chosen++;
	}
	for (uint32_t i = 0; i < n_chosen; i++) {
		ffl_resources_subtract(&chosen[i]->used, &need);
		chosen[i]->chosen = 0;
	}
	return n_chosen;
}

bool ffl_choose_gang_workers(const ffl_dispatch_t *d,
			     const ffl_place_request_t *req,
			     const GPtrArray *workers,
			     ffl_dispatch_worker_t **chosen)
{
	uint32_t tasks = req->step->tasks;

	return has_enough_slots(d, req, workers) &&
	       ffl_choose_workers(d, req, workers, tasks, chosen) == tasks;
}

/* A gang runs at the speed of its slowest worker. */
static int64_t rack_cost(const ffl_dispatch_t *d, uint32_t available,
			 ffl_dispatch_worker_t *const *chosen,
			 const ffl_place_request_t *req)
{
	uint32_t slowest = UINT32_MAX;
	int64_t cost = available;
	bool worth_less = false;
	bool cold = false;

	for (uint32_t i = 0; i < req->step->tasks; i++) {
		slowest = MIN(slowest, speed_for(d, chosen[i], req));
		worth_less |= costs_worth(d, chosen[i], req);
		cold |= ffl_worker_is_cold(chosen[i], req->now_ms);
	}
	if (req->flow->spec.priority == 0)
		cost -= (int64_t)slowest * RACK_SPEED_WEIGHT /
			SPEED_MILLI_PER_GPU;
	return prefer_warm(cost + (worth_less ? PENALTY_GPUS : 0), cold);
}

/* Returns the number of free GPUs plus the number of workers of a rack,
 * counting only workers that the step may run on. */
static uint32_t rack_available(const ffl_dispatch_t *d, const ffl_rack_t *rack,
			       const ffl_place_request_t *req)
{
	uint32_t available = 0;

	for (guint i = 0; i < rack->workers->len; i++) {
		const ffl_dispatch_worker_t *w =
			g_ptr_array_index(rack->workers, i);

		if (ffl_is_eligible(d, w, req))
			available += ffl_dispatch_worker_available(w).gpus + 1;
	}
	return available;
}

/* Best fit: chooses the rack with the least left over, by name if equal. */
bool ffl_choose_gang_in_rack(ffl_dispatch_t *d, const ffl_place_request_t *req,
			     ffl_dispatch_worker_t **chosen)
{
	const GPtrArray *racks = ffl_dispatch_racks(d);
	const ffl_rack_t *best = NULL;
	int64_t best_cost = 0;

	for (guint i = 0; i < racks->len; i++) {
		const ffl_rack_t *rack = g_ptr_array_index(racks, i);
		int64_t cost;

		if (!ffl_choose_gang_workers(d, req, rack->workers, chosen))
			continue;
		cost = rack_cost(d, rack_available(d, rack, req), chosen, req);
		if (best &&
		    (cost > best_cost ||
		     (cost == best_cost && strcmp(rack->name, best->name) > 0)))
			continue;
		best = rack;
		best_cost = cost;
	}
	return best && ffl_choose_gang_workers(d, req, best->workers, chosen);
}
