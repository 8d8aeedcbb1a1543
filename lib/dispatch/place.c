#include <string.h>

#include "lib/dispatch/dispatch_int.h"

/** Time that it takes for the end of a stopped run to be reported. */
#define PREEMPT_SLACK_MS 150
/** Share of the time in which guaranteed work has to start, in percent, in
 * which it may wait for better workers. */
#define CHOOSY_PERCENT 50

static int compare_rank(const void *a, const void *b);
static void mark_guaranteed(ffl_dispatch_t *d, GPtrArray *ranked,
			    GHashTable *guaranteed_flows);
static uint32_t peak_gpus(const ffl_flow_t *flow);
static bool is_due(const ffl_dispatch_t *d, const ffl_flow_t *flow,
		   uint32_t occurrence, uint64_t wall_ms);
static bool may_preempt(const ffl_place_request_t *req);
static bool preempt_for(ffl_dispatch_t *d, ffl_place_request_t *req,
			uint32_t tasks);
static uint32_t place_available(ffl_dispatch_t *d, ffl_place_request_t *req,
				bool allow_remote);
static bool find_gang(ffl_dispatch_t *d, ffl_place_request_t *req,
		      bool allow_remote, ffl_dispatch_worker_t **chosen);
static ffl_dispatch_worker_t *
find_worker(ffl_dispatch_t *d, ffl_place_request_t *req, bool allow_remote);
static bool must_leave_headroom(ffl_dispatch_t *d,
				const ffl_place_request_t *req);
static bool must_start(const ffl_dispatch_t *d, const ffl_place_request_t *req);
static bool has_waiting_tasks(const ffl_place_request_t *req);
static void place_step(ffl_dispatch_t *d, ffl_place_request_t *req);
static bool may_place(ffl_dispatch_t *d, const ffl_place_request_t *req,
		      uint32_t task);
static void place_gang(ffl_dispatch_t *d, ffl_place_request_t *req);
static void place_tasks(ffl_dispatch_t *d, ffl_place_request_t *req);
static void report_queue_latency(ffl_dispatch_t *d,
				 const ffl_place_request_t *req);
static void place_task(ffl_dispatch_t *d, ffl_place_request_t *req,
		       uint32_t task, ffl_dispatch_worker_t *w, uint32_t run);
static void commit_run(ffl_dispatch_t *d, const ffl_place_request_t *req,
		       ffl_run_t *run);
static void count_wait(ffl_dispatch_t *d, const ffl_place_request_t *req,
		       ffl_wait_t why);

static const ffl_place_effects_t real_effects = {
	.placed = commit_run,
	.preempt = ffl_preempt_execute,
	.wait = count_wait,
};

static const char *const wait_names[FFL_WAIT__MAX] = {
	[FFL_WAIT_ROOM] = "room",
	[FFL_WAIT_SKIPPED] = "skipped",
	[FFL_WAIT_HEADROOM] = "headroom",
};

const char *ffl_place_wait_name(uint32_t wait)
{
	return wait < FFL_WAIT__MAX ? wait_names[wait] : "?";
}

ffl_resources_t ffl_step_resources(const ffl_step_t *step)
{
	ffl_resources_t resources = { step->best_effort ? 0 : step->cpu_milli,
				      step->mem_mb, step->gpus };

	return resources;
}

static int compare_rank(const void *a, const void *b)
{
	const ffl_flow_t *x = *(ffl_flow_t *const *)a;
	const ffl_flow_t *y = *(ffl_flow_t *const *)b;

	/* Priority 0 goes first. Apart from that, whether a job can still meet
	 * its objective matters more than its priority. */
	if ((x->spec.priority == 0) != (y->spec.priority == 0))
		return x->spec.priority == 0 ? -1 : 1;
	if (x->tier != y->tier)
		return x->tier < y->tier ? -1 : 1;
	if (x->spec.priority != y->spec.priority)
		return x->spec.priority < y->spec.priority ? -1 : 1;
	if (x->work_class != y->work_class)
		return x->work_class < y->work_class ? -1 : 1;
	return ffl_flow_compare_age(x, y);
}

/* Returns the number of GPUs that a flow's largest step needs at once. */
static uint32_t peak_gpus(const ffl_flow_t *flow)
{
	uint32_t most = 0;

	for (uint32_t i = 0; i < flow->spec.steps_count; i++) {
		const ffl_step_t *step = &flow->spec.steps[i];

		most = MAX(most, step->tasks * step->gpus);
	}
	return most;
}

/* Selects the flows of priority 0, best rank first, whose GPUs are covered by
 * their customer's guarantee. */
static void mark_guaranteed(ffl_dispatch_t *d, GPtrArray *ranked,
			    GHashTable *guaranteed_flows)
{
	GHashTable *gpus_by_customer =
		g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < ranked->len; i++) {
		ffl_flow_t *flow = g_ptr_array_index(ranked, i);
		uint32_t limit;
		uint32_t gpus;

		if (flow->spec.priority != 0 || !d->guaranteed)
			continue;
		limit = GPOINTER_TO_UINT(g_hash_table_lookup(
			d->guaranteed, flow->spec.customer));
		gpus = GPOINTER_TO_UINT(g_hash_table_lookup(
			gpus_by_customer, flow->spec.customer));
		gpus += peak_gpus(flow);
		if (gpus > limit)
			continue;
		g_hash_table_insert(gpus_by_customer, flow->spec.customer,
				    GUINT_TO_POINTER(gpus));
		g_hash_table_add(guaranteed_flows, flow);
	}
	g_hash_table_destroy(gpus_by_customer);
}

static bool is_due(const ffl_dispatch_t *d, const ffl_flow_t *flow,
		   uint32_t occurrence, uint64_t wall_ms)
{
	if (!flow->spec.timed)
		return true;
	return wall_ms >=
	       flow->spec.start_at_ms + occurrence * flow->spec.interval_ms;
}

static void report_queue_latency(ffl_dispatch_t *d,
				 const ffl_place_request_t *req)
{
	uint32_t priority = req->flow->spec.priority;
	ffl_latency_t what = FFL_LATENCY_QUEUE_OTHER;

	if (req->flow->spec.timed)
		return;
	if (priority < 2)
		what = priority ? FFL_LATENCY_QUEUE_PRIORITY_1
				: FFL_LATENCY_QUEUE_PRIORITY_0;
	ffl_dispatch_report_latency(d, what,
				    req->now_ms - req->flow->first_seen_ms);
}

/* Gives a task a run on a worker and takes the resources for it. */
static void place_task(ffl_dispatch_t *d, ffl_place_request_t *req,
		       uint32_t task, ffl_dispatch_worker_t *w, uint32_t run)
{
	req->started = req->flow->started;
	ffl_flow_task_place(req->flow, task, run, w->entry.id,
			    w->entry.born_ms);
	ffl_take_free_gpus(d, req);
	req->effects->placed(
		d, req, ffl_run_add(d, req->flow, task, run, w, req->now_ms));
}

static void commit_run(ffl_dispatch_t *d, const ffl_place_request_t *req,
		       ffl_run_t *run)
{
	if (!req->started)
		report_queue_latency(d, req);
	ffl_dispatch_mark_dirty(d, req->flow);
}

static void count_wait(ffl_dispatch_t *d, const ffl_place_request_t *req,
		       ffl_wait_t why)
{
	d->waiting[why]++;
	if (why == FFL_WAIT_ROOM)
		ffl_advice_request(d, req);
}

static bool find_gang(ffl_dispatch_t *d, ffl_place_request_t *req,
		      bool allow_remote, ffl_dispatch_worker_t **chosen)
{
	bool one_rack = req->step->same_rack;

	req->local_only = true;
	if (one_rack ? ffl_choose_gang_in_rack(d, req, chosen)
		     : ffl_choose_gang_workers(d, req, ffl_listed_workers(d),
					       chosen))
		return true;
	if (!allow_remote)
		return false;
	req->local_only = false;
	return (one_rack && ffl_choose_gang_in_rack(d, req, chosen)) ||
	       ffl_choose_gang_workers(d, req, ffl_listed_workers(d), chosen);
}

/* A run that was given up, and that a worker reports all the same, has to be
 * stopped first. */
static bool may_place(ffl_dispatch_t *d, const ffl_place_request_t *req,
		      uint32_t task)
{
	const ffl_task_t *t = &req->flow->tasks[task];

	return t->state == FFL_TASK_WAITING && !t->live_runs &&
	       !ffl_trust_holds_back(d, req, task);
}

uint32_t ffl_place_count_waiting(const ffl_place_request_t *req)
{
	uint32_t waiting = 0;

	for (uint32_t i = 0; i < req->step->tasks; i++) {
		const ffl_task_t *t = &req->flow->tasks[req->first + i];

		waiting += t->state == FFL_TASK_WAITING && !t->live_runs;
	}
	return waiting;
}

uint32_t ffl_place_find(ffl_dispatch_t *d, const ffl_place_request_t *req,
			uint32_t tasks, ffl_dispatch_worker_t **chosen)
{
	const GPtrArray *listed = ffl_listed_workers(d);
	ffl_place_request_t trial = *req;
	bool allow_remote = ffl_allows_remote(d, req);
	uint32_t found;

	if (req->step->gang)
		return find_gang(d, &trial, allow_remote, chosen)
			       ? req->step->tasks
			       : 0;
	trial.local_only = true;
	found = ffl_choose_workers(d, &trial, listed, tasks, chosen);
	if (found || !allow_remote)
		return found;
	trial.local_only = false;
	return ffl_choose_workers(d, &trial, listed, tasks, chosen);
}

static void place_gang(ffl_dispatch_t *d, ffl_place_request_t *req)
{
	uint32_t tasks = req->step->tasks;
	ffl_dispatch_worker_t **chosen = g_new0(ffl_dispatch_worker_t *, tasks);
	uint32_t run = 0;
	bool allow_remote;
	bool found;

	for (uint32_t i = 0; i < tasks; i++) {
		if (!may_place(d, req, req->first + i)) {
			g_free(chosen);
			return;
		}
		run = MAX(run, req->flow->tasks[req->first + i].run);
	}
	allow_remote = ffl_allows_remote(d, req);
	found = find_gang(d, req, allow_remote, chosen);
	if (!found && may_preempt(req) && !preempt_for(d, req, tasks)) {
		req->skip_slow = false;
		found = find_gang(d, req, allow_remote, chosen);
		if (!found)
			preempt_for(d, req, tasks);
	}
	if (!found)
		ffl_add_infeasible(d, req);
	for (uint32_t i = 0; i < tasks && found; i++)
		place_task(d, req, req->first + i, chosen[i], run + 1);
	g_free(chosen);
}

static ffl_dispatch_worker_t *
find_worker(ffl_dispatch_t *d, ffl_place_request_t *req, bool allow_remote)
{
	ffl_dispatch_worker_t *w;

	req->local_only = true;
	w = ffl_choose_worker(d, req, ffl_listed_workers(d));
	if (w || !allow_remote)
		return w;
	req->local_only = false;
	return ffl_choose_worker(d, req, ffl_listed_workers(d));
}

/* Places the tasks that fit and returns the number of those that do not. */
static uint32_t place_available(ffl_dispatch_t *d, ffl_place_request_t *req,
				bool allow_remote)
{
	uint32_t unplaced = 0;

	for (uint32_t i = 0; i < req->step->tasks; i++) {
		ffl_task_t *task = &req->flow->tasks[req->first + i];
		ffl_dispatch_worker_t *w;

		req->task = req->first + i;
		if (!may_place(d, req, req->task))
			continue;
		w = unplaced ? NULL : find_worker(d, req, allow_remote);
		if (w)
			place_task(d, req, req->task, w, task->run + 1);
		else
			unplaced++;
	}
	return unplaced;
}

static void place_tasks(ffl_dispatch_t *d, ffl_place_request_t *req)
{
	bool allow_remote = ffl_allows_remote(d, req);
	uint32_t unplaced = place_available(d, req, allow_remote);

	if (unplaced && may_preempt(req) && !preempt_for(d, req, unplaced)) {
		req->skip_slow = false;
		unplaced = place_available(d, req, allow_remote);
		if (unplaced)
			preempt_for(d, req, unplaced);
	}
	if (unplaced)
		ffl_add_infeasible(d, req);
}

/* While resources are being freed for a job, they are waited for before more
 * runs are stopped. */
static bool may_preempt(const ffl_place_request_t *req)
{
	const ffl_flow_t *flow = req->flow;

	return (req->guaranteed ||
		(flow->spec.priority == 0 && flow->tier == FFL_TIER_ON_TIME)) &&
	       req->now_ms >= flow->next_preempt_ms;
}

static bool preempt_for(ffl_dispatch_t *d, ffl_place_request_t *req,
			uint32_t tasks)
{
	bool found;

	req->local_only = req->step->rack[0] != '\0';
	found = ffl_preempt(d, req, tasks);
	req->flow->next_preempt_ms = req->now_ms + PREEMPT_SLACK_MS +
				     (found ? d->opt.stop_max_ms : 0);
	return found;
}

/* Jobs with slack leave room for guaranteed ones that may arrive. */
static bool must_leave_headroom(ffl_dispatch_t *d,
				const ffl_place_request_t *req)
{
	uint32_t headroom = ffl_rank_headroom_percent(req->flow);

	return headroom && ffl_free_gpus_percent(d, req) < headroom &&
	       ffl_rank_has_slack(d, req->flow, req->now_ms);
}

static bool must_start(const ffl_dispatch_t *d, const ffl_place_request_t *req)
{
	uint64_t waited_ms = req->now_ms - req->flow->first_seen_ms;

	return req->guaranteed &&
	       waited_ms * PERCENT >=
		       (uint64_t)d->opt.reclaim_ms * CHOOSY_PERCENT;
}

static bool has_waiting_tasks(const ffl_place_request_t *req)
{
	for (uint32_t i = 0; i < req->step->tasks; i++) {
		if (req->flow->tasks[req->first + i].state == FFL_TASK_WAITING)
			return true;
	}
	return false;
}

static void place_step(ffl_dispatch_t *d, ffl_place_request_t *req)
{
	if (!has_waiting_tasks(req) ||
	    !ffl_flow_step_ready(req->flow, req->occurrence, req->step_index))
		return;
	if (!req->guaranteed && ffl_is_infeasible(d, req)) {
		req->effects->wait(d, req, FFL_WAIT_SKIPPED);
		return;
	}
	if (!req->guaranteed && must_leave_headroom(d, req)) {
		req->effects->wait(d, req, FFL_WAIT_HEADROOM);
		return;
	}
	req->must_start = must_start(d, req);
	if (req->step->gang)
		place_gang(d, req);
	else
		place_tasks(d, req);
	if (has_waiting_tasks(req))
		req->effects->wait(d, req, FFL_WAIT_ROOM);
}

void ffl_place_flow(ffl_dispatch_t *d, ffl_flow_t *flow,
		    const ffl_place_request_t *like, uint64_t wall_ms)
{
	for (uint32_t k = 0; k < flow->spec.occurrences; k++) {
		if (!is_due(d, flow, k, wall_ms))
			break;
		for (uint32_t s = 0; s < flow->spec.steps_count; s++) {
			ffl_place_request_t req = {
				.flow = flow,
				.step = &flow->spec.steps[s],
				.step_index = s,
				.occurrence = k,
				.first = ffl_flow_first_task(flow, k, s),
				.task = ffl_flow_first_task(flow, k, s),
				.now_ms = like->now_ms,
				.guaranteed = like->guaranteed,
				.skip_slow = true,
				.effects = like->effects,
				.effects_user = like->effects_user,
			};

			place_step(d, &req);
		}
	}
}

void ffl_rank_flows(ffl_dispatch_t *d, ffl_flow_t *other, uint64_t now_ms,
		    GPtrArray *ranked, GHashTable *guaranteed)
{
	for (guint i = 0; i < d->flows->open->len; i++) {
		ffl_flow_t *flow = g_ptr_array_index(d->flows->open, i);

		if (ffl_flow_ended(flow))
			continue;
		ffl_rank_flow(d, flow, now_ms);
		g_ptr_array_add(ranked, flow);
	}
	if (other) {
		ffl_rank_flow(d, other, now_ms);
		g_ptr_array_add(ranked, other);
	}
	g_ptr_array_sort(ranked, compare_rank);
	mark_guaranteed(d, ranked, guaranteed);
}

void ffl_place_flows(ffl_dispatch_t *d, uint64_t now_ms, uint64_t wall_ms)
{
	GPtrArray *ranked = g_ptr_array_new();
	GHashTable *guaranteed_flows = g_hash_table_new(NULL, NULL);
	ffl_place_request_t like = { .now_ms = now_ms,
				     .effects = &real_effects };

	ffl_rank_flows(d, NULL, now_ms, ranked, guaranteed_flows);
	ffl_count_free_gpus(d);
	ffl_list_quarantined(d, now_ms);
	g_array_set_size(d->infeasible, 0);
	memset(d->waiting, 0, sizeof(d->waiting));
	ffl_advice_begin(d, now_ms);
	for (int pass = 0; pass < 2; pass++) {
		for (guint i = 0; i < ranked->len; i++) {
			ffl_flow_t *flow = g_ptr_array_index(ranked, i);
			bool first =
				g_hash_table_contains(guaranteed_flows, flow);

			if (first != (pass == 0) || now_ms < flow->retry_ms ||
			    (flow->spec_parts & d->unread_parts))
				continue;
			like.guaranteed = first;
			ffl_place_flow(d, flow, &like, wall_ms);
		}
	}
	g_hash_table_destroy(guaranteed_flows);
	g_ptr_array_free(ranked, TRUE);
}
