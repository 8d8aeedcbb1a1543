#include <string.h>

#include "lib/dispatch/dispatch_int.h"

/** Delay before a task is placed again after its run ended early, so that a
 * worker that refuses every start does not cause a busy loop. */
#define RETRY_MS 50

static void count_failure(ffl_dispatch_t *d, ffl_run_t *run, uint64_t now_ms);
static bool has_attempts(const ffl_flow_t *flow, uint32_t task);
static void fail_flow(ffl_dispatch_t *d, ffl_flow_t *flow, uint32_t task,
		      const char *worker);
static void fail_without_attempts(ffl_dispatch_t *d, const ffl_run_t *run);
static void complete_task(ffl_dispatch_t *d, ffl_run_t *run, uint64_t now_ms);
static void index_run(ffl_dispatch_t *d, ffl_run_t *run);
static bool is_current(const ffl_run_t *run);

static void index_run(ffl_dispatch_t *d, ffl_run_t *run)
{
	GPtrArray *runs = g_hash_table_lookup(d->runs_by_flow, run->flow);

	if (!runs) {
		runs = g_ptr_array_new();
		g_hash_table_insert(d->runs_by_flow, run->flow, runs);
	}
	g_ptr_array_add(runs, run);
}

const GPtrArray *ffl_runs_of_flow(const ffl_dispatch_t *d,
				  const ffl_flow_t *flow)
{
	static const GPtrArray none;
	const GPtrArray *runs = g_hash_table_lookup(d->runs_by_flow, flow);

	return runs ? runs : &none;
}

void ffl_runs_clear(ffl_dispatch_t *d)
{
	g_hash_table_remove_all(d->runs_by_flow);
	for (guint i = 0; i < d->runs->len; i++) {
		ffl_run_t *run = g_ptr_array_index(d->runs, i);

		run->flow->tasks[run->task].live_runs--;
		g_free(run);
	}
	g_ptr_array_set_size(d->runs, 0);
}

ffl_run_t *ffl_run_add(ffl_dispatch_t *d, ffl_flow_t *flow, uint32_t task,
		       uint32_t run, ffl_dispatch_worker_t *w, uint64_t now_ms)
{
	ffl_run_t *added = g_new0(ffl_run_t, 1);

	added->flow = flow;
	added->task = task;
	added->run = run;
	added->worker = w;
	added->resources = ffl_step_resources(
		&flow->spec.steps[ffl_flow_step_of(flow, task)]);
	added->batch = d->next_batch;
	added->placed_ms = now_ms;
	added->limit_percent = PERCENT;
	added->acked_limit_percent = PERCENT;
	flow->tasks[task].live_runs++;
	ffl_resources_add(&w->used, &added->resources);
	g_ptr_array_add(w->runs, added);
	ffl_dispatch_worker_follow(d, w);
	g_ptr_array_add(d->runs, added);
	index_run(d, added);
	return added;
}

ffl_run_t *ffl_run_find(const ffl_dispatch_worker_t *w,
			const ffl_run_report_t *report)
{
	for (guint i = 0; i < w->runs->len; i++) {
		ffl_run_t *candidate = g_ptr_array_index(w->runs, i);

		if (candidate->run == report->run &&
		    candidate->flow == report->flow &&
		    candidate->task == report->task_index)
			return candidate;
	}
	return NULL;
}

void ffl_dispatch_mark_dirty(ffl_dispatch_t *d, ffl_flow_t *flow)
{
	/* Its progress is being removed from the log. */
	if (flow->dropped_ms)
		return;
	flow->dirty_batch = d->next_batch;
	d->dirty = true;
	d->replan = true;
}

const ffl_step_t *ffl_run_step(const ffl_run_t *run)
{
	return &run->flow->spec.steps[ffl_flow_step_of(run->flow, run->task)];
}

bool ffl_run_same_step(const ffl_run_t *a, const ffl_run_t *b)
{
	uint32_t each = a->flow->spec.tasks_per_occurrence;

	return a->flow == b->flow && a->task / each == b->task / each &&
	       ffl_run_step(a) == ffl_run_step(b);
}

bool ffl_run_same_gang(const ffl_run_t *a, const ffl_run_t *b)
{
	return a->flow == b->flow && a->run == b->run &&
	       ffl_run_same_step(a, b) && ffl_run_step(a)->gang;
}

static bool is_current(const ffl_run_t *run)
{
	const ffl_task_t *task = &run->flow->tasks[run->task];

	return task->state == FFL_TASK_PLACED && task->run == run->run;
}

void ffl_run_remove(ffl_dispatch_t *d, ffl_run_t *run)
{
	GPtrArray *runs = g_hash_table_lookup(d->runs_by_flow, run->flow);
	ffl_open_call_t *call;

	if (run->call) {
		call = g_hash_table_lookup(d->calls, &run->call);
		if (call)
			call->run = NULL;
	}
	run->flow->tasks[run->task].live_runs--;
	ffl_resources_subtract(&run->worker->used, &run->resources);
	g_ptr_array_remove_fast(run->worker->runs, run);
	ffl_doubt_settle_start(&run->worker->doubt, run);
	g_ptr_array_remove_fast(d->runs, run);
	g_ptr_array_remove_fast(runs, run);
	if (!runs->len)
		g_hash_table_remove(d->runs_by_flow, run->flow);
	g_free(run);
}

/* The success of one run completes the whole gang. */
static void complete_task(ffl_dispatch_t *d, ffl_run_t *run, uint64_t now_ms)
{
	ffl_flow_t *flow = run->flow;
	uint32_t first;
	uint32_t count;

	ffl_flow_gang_range(flow, run->task, &first, &count);
	for (uint32_t i = first; i < first + count; i++) {
		if (flow->tasks[i].state != FFL_TASK_DONE)
			ffl_flow_task_set_state(flow, i, FFL_TASK_DONE);
	}
	ffl_trust_count_success(run->worker);
	ffl_rank_record_run(d, run, now_ms);
}

void ffl_run_accept_late_success(ffl_dispatch_t *d, ffl_flow_t *flow,
				 uint32_t task, uint32_t run)
{
	const GPtrArray *runs = ffl_runs_of_flow(d, flow);
	char name[FFL_TASK_NAME_BYTES];
	uint32_t first;
	uint32_t count;

	ffl_flow_gang_range(flow, task, &first, &count);
	for (uint32_t i = first; i < first + count; i++) {
		if (flow->tasks[i].state == FFL_TASK_DONE ||
		    flow->tasks[i].run < run)
			return;
	}
	for (uint32_t i = first; i < first + count; i++)
		ffl_flow_task_set_state(flow, i, FFL_TASK_DONE);
	for (guint i = 0; i < runs->len; i++) {
		ffl_run_t *other = g_ptr_array_index(runs, i);

		if (other->task >= first && other->task < first + count)
			ffl_run_request_stop(d, other, "done-before");
	}
	ffl_task_name(flow, task, name);
	ffl_dispatch_note(d, "run-belated", name, "run=%u", run);
	ffl_dispatch_mark_dirty(d, flow);
}

static void count_failure(ffl_dispatch_t *d, ffl_run_t *run, uint64_t now_ms)
{
	ffl_flow_t *flow = run->flow;
	uint32_t count;
	uint32_t first;

	ffl_flow_gang_range(flow, run->task, &first, &count);
	ffl_trust_count_failure(d, run, now_ms);
	if (flow->tasks[first].failed_run == run->run)
		return;
	flow->tasks[first].failed_run = run->run;
	flow->tasks[first].failures++;
}

static bool has_attempts(const ffl_flow_t *flow, uint32_t task)
{
	uint32_t failures = flow->tasks[task].failures;

	return !failures || failures < flow->spec.attempts_max ||
	       flow->spec.steps[ffl_flow_step_of(flow, task)]
		       .runs_until_cancelled;
}

static void fail_flow(ffl_dispatch_t *d, ffl_flow_t *flow, uint32_t task,
		      const char *worker)
{
	flow->failed = true;
	ffl_dispatch_note(d, "job-failed", flow->spec.id,
			  "step=%u failures=%u attempts=%u worker=%s",
			  ffl_flow_step_of(flow, task),
			  flow->tasks[task].failures, flow->spec.attempts_max,
			  worker);
}

/* The failures of a gang count at its first task. */
static void fail_without_attempts(ffl_dispatch_t *d, const ffl_run_t *run)
{
	uint32_t first;
	uint32_t count;

	ffl_flow_gang_range(run->flow, run->task, &first, &count);
	if (!run->flow->failed && !has_attempts(run->flow, first))
		fail_flow(d, run->flow, first, run->worker->entry.id);
}

void ffl_dispatch_update_queues(ffl_dispatch_t *d)
{
	d->replan = true;
	if (!d->token)
		return;
	for (guint i = 0; i < d->flows->open->len; i++) {
		ffl_flow_t *flow = g_ptr_array_index(d->flows->open, i);

		for (uint32_t k = 0; k < flow->tasks_count; k++) {
			if (flow->tasks[k].state != FFL_TASK_WAITING ||
			    has_attempts(flow, k) || ffl_flow_ended(flow))
				continue;
			fail_flow(d, flow, k, "-");
			ffl_dispatch_mark_dirty(d, flow);
		}
	}
}

void ffl_run_finish(ffl_dispatch_t *d, ffl_run_t *run, ffl_run_end_t end,
		    const char *checkpoint, uint64_t now_ms)
{
	ffl_flow_t *flow = run->flow;
	char name[FFL_TASK_NAME_BYTES];
	bool current = is_current(run);
	bool succeeded = end == FFL_RUN_END_DONE &&
			 !ffl_run_step(run)->runs_until_cancelled;
	uint64_t lost = ffl_loss_count(d, run, end, checkpoint, now_ms);

	ffl_task_name(flow, run->task, name);
	ffl_dispatch_note(d, "run-ended", name,
			  "run=%u worker=%s end=%s current=%d after_ms=%" PRIu64
			  " why=%s lost=%" PRIu64,
			  run->run, run->worker->entry.id,
			  ffl_run_end_name(end), current,
			  now_ms - run->placed_ms,
			  run->stop_reason ? run->stop_reason : "-", lost);
	if (end == FFL_RUN_END_FAILED && current)
		count_failure(d, run, now_ms);
	if (succeeded && current) {
		complete_task(d, run, now_ms);
	} else if (current) {
		ffl_flow_task_set_checkpoint(flow, run->task, checkpoint);
		ffl_flow_task_set_state(flow, run->task, FFL_TASK_WAITING);
		flow->retry_ms = now_ms + RETRY_MS;
		fail_without_attempts(d, run);
	} else if (end == FFL_RUN_END_DONE) {
		ffl_trust_count_success(run->worker);
		if (succeeded)
			ffl_run_accept_late_success(d, flow, run->task,
						    run->run);
	}
	if (end != FFL_RUN_END_DONE) {
		const GPtrArray *runs = ffl_runs_of_flow(d, flow);

		for (guint i = 0; i < runs->len; i++) {
			ffl_run_t *other = g_ptr_array_index(runs, i);

			if (other != run && ffl_run_same_gang(run, other) &&
			    !other->stopping)
				ffl_run_request_stop(d, other, "gang-broken");
		}
	}
	ffl_dispatch_mark_dirty(d, flow);
	ffl_run_remove(d, run);
	d->replan = true;
	if (ffl_flow_ended(flow) && !flow->ended_ms) {
		flow->ended_ms = now_ms;
		ffl_dispatch_note(d, "job-ended", flow->spec.id, "state=%s",
				  ffl_flow_state_name(ffl_flow_state(flow)));
	}
}

void ffl_run_request_stop(ffl_dispatch_t *d, ffl_run_t *run, const char *reason)
{
	const GPtrArray *runs = ffl_runs_of_flow(d, run->flow);

	for (guint i = 0; i < runs->len; i++) {
		ffl_run_t *other = g_ptr_array_index(runs, i);

		if ((other != run && !ffl_run_same_gang(run, other)) ||
		    other->stopping)
			continue;
		other->stopping = true;
		other->stop_reason = reason;
	}
}
