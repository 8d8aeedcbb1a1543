#include <string.h>

#include "lib/dispatch/dispatch_int.h"

/** A task whose run ended before its time waits this long, so that a worker
 * that refuses everything does not spin. */
#define RETRY_MS 50

static void take_failure(ffl_dispatch_t *d, ffl_run_t *run, uint64_t now_ms);
static void take_done(ffl_dispatch_t *d, ffl_run_t *run, uint64_t now_ms);
static void index_run(ffl_dispatch_t *d, ffl_run_t *run);
static void remove_run(ffl_dispatch_t *d, ffl_run_t *run);
static bool is_current(const ffl_run_t *run);

static void index_run(ffl_dispatch_t *d, ffl_run_t *run)
{
	GPtrArray *of = g_hash_table_lookup(d->runs_by_flow, run->flow);

	if (!of) {
		of = g_ptr_array_new();
		g_hash_table_insert(d->runs_by_flow, run->flow, of);
	}
	g_ptr_array_add(of, run);
}

const GPtrArray *ffl_runs_of(const ffl_dispatch_t *d, const ffl_flow_t *flow)
{
	static const GPtrArray none;
	const GPtrArray *of = g_hash_table_lookup(d->runs_by_flow, flow);

	return of ? of : &none;
}

void ffl_runs_clear(ffl_dispatch_t *d)
{
	g_hash_table_remove_all(d->runs_by_flow);
	for (guint i = 0; i < d->runs->len; i++)
		g_free(g_ptr_array_index(d->runs, i));
	g_ptr_array_set_size(d->runs, 0);
}

ffl_run_t *ffl_run_add(ffl_dispatch_t *d, ffl_flow_t *flow, uint32_t task,
		       uint32_t run, ffl_dispatch_worker_t *r, uint64_t now_ms)
{
	ffl_run_t *added = g_new0(ffl_run_t, 1);

	added->flow = flow;
	added->task = task;
	added->run = run;
	added->worker = r;
	added->resources =
		ffl_step_room(&flow->spec.steps[ffl_flow_step_of(flow, task)]);
	added->batch = d->next_batch;
	added->placed_ms = now_ms;
	added->limit_percent = PERCENT;
	added->acked_limit_percent = PERCENT;
	ffl_room_add(&r->used, &added->resources);
	g_ptr_array_add(r->runs, added);
	g_ptr_array_add(d->runs, added);
	index_run(d, added);
	return added;
}

ffl_run_t *ffl_run_find(const ffl_dispatch_worker_t *r,
			const ffl_run_report_t *row)
{
	for (guint i = 0; i < r->runs->len; i++) {
		ffl_run_t *candidate = g_ptr_array_index(r->runs, i);

		if (candidate->run == row->run &&
		    candidate->flow == row->flow &&
		    candidate->task == row->task_index)
			return candidate;
	}
	return NULL;
}

void ffl_flow_dirty(ffl_dispatch_t *d, ffl_flow_t *flow)
{
	flow->dirty = d->next_batch;
	d->dirty = true;
	d->replan = true;
}

const ffl_step_t *ffl_run_step(const ffl_run_t *run)
{
	return &run->flow->spec.steps[ffl_flow_step_of(run->flow, run->task)];
}

bool ffl_run_same_step(const ffl_run_t *a, const ffl_run_t *b)
{
	uint32_t each = a->flow->spec.tasks_each;

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

static void remove_run(ffl_dispatch_t *d, ffl_run_t *run)
{
	GPtrArray *of = g_hash_table_lookup(d->runs_by_flow, run->flow);
	ffl_open_call_t *open;

	if (run->call) {
		open = g_hash_table_lookup(d->calls, &run->call);
		if (open)
			open->run = NULL;
	}
	ffl_room_take(&run->worker->used, &run->resources);
	g_ptr_array_remove_fast(run->worker->runs, run);
	g_ptr_array_remove_fast(d->runs, run);
	g_ptr_array_remove_fast(of, run);
	if (!of->len)
		g_hash_table_remove(d->runs_by_flow, run->flow);
	g_free(run);
	d->replan = true;
}

/* One end stands for the whole gang. */
static void take_done(ffl_dispatch_t *d, ffl_run_t *run, uint64_t now_ms)
{
	ffl_flow_t *flow = run->flow;
	uint32_t first;
	uint32_t count;

	ffl_flow_range(flow, run->task, &first, &count);
	for (uint32_t i = first; i < first + count; i++) {
		if (flow->tasks[i].state != FFL_TASK_DONE)
			ffl_flow_task_set(flow, i, FFL_TASK_DONE);
	}
	ffl_runner_good(run->worker);
	ffl_learn_run(d, run, now_ms);
}

static void take_failure(ffl_dispatch_t *d, ffl_run_t *run, uint64_t now_ms)
{
	ffl_flow_t *flow = run->flow;
	uint32_t step = ffl_flow_step_of(flow, run->task);
	const ffl_step_t *s = &flow->spec.steps[step];
	uint32_t count;
	uint32_t at;

	ffl_flow_range(flow, run->task, &at, &count);
	ffl_runner_bad(d, run->worker, flow, now_ms);
	if (flow->tasks[at].failed_run == run->run)
		return;
	flow->tasks[at].failed_run = run->run;
	flow->tasks[at].failures++;
	if (!s->lasting &&
	    flow->tasks[at].failures >= flow->spec.attempts_max) {
		flow->failed = true;
		ffl_dispatch_note(d, "job-failed", flow->spec.id,
				  "step=%u failures=%u worker=%s", step,
				  flow->tasks[at].failures,
				  run->worker->entry.id);
	}
}

void ffl_run_end(ffl_dispatch_t *d, ffl_run_t *run, ffl_run_end_t end,
		 const char *saved, uint64_t now_ms)
{
	ffl_flow_t *flow = run->flow;
	char name[FFL_TASK_NAME_BYTES];
	bool current = is_current(run);

	ffl_task_name(flow, run->task, name);
	ffl_dispatch_note(d, "run-ended", name,
			  "run=%u worker=%s end=%s current=%d after_ms=%" PRIu64
			  " why=%s",
			  run->run, run->worker->entry.id,
			  ffl_run_end_name(end), current,
			  now_ms - run->placed_ms,
			  run->stop_reason ? run->stop_reason : "-");
	if (end == FFL_RUN_END_FAILED && current)
		take_failure(d, run, now_ms);
	if (end == FFL_RUN_END_DONE && current && !ffl_run_step(run)->lasting) {
		take_done(d, run, now_ms);
	} else if (current) {
		ffl_flow_task_save(flow, run->task, saved);
		ffl_flow_task_set(flow, run->task, FFL_TASK_WAITING);
		flow->retry_ms = now_ms + RETRY_MS;
	} else if (end == FFL_RUN_END_DONE) {
		ffl_runner_good(run->worker);
	}
	if (end != FFL_RUN_END_DONE) {
		const GPtrArray *of = ffl_runs_of(d, flow);

		for (guint i = 0; i < of->len; i++) {
			ffl_run_t *other = g_ptr_array_index(of, i);

			if (other != run && ffl_run_same_gang(run, other) &&
			    !other->stopping)
				ffl_run_stop(d, other, "gang-broken");
		}
	}
	ffl_flow_dirty(d, flow);
	remove_run(d, run);
	if (ffl_flow_ended(flow) && !flow->closed_ms) {
		flow->closed_ms = now_ms;
		ffl_dispatch_note(d, "job-ended", flow->spec.id, "state=%s",
				  ffl_flow_state_name(ffl_flow_state(flow)));
	}
}

void ffl_run_stop(ffl_dispatch_t *d, ffl_run_t *run, const char *why)
{
	const GPtrArray *of = ffl_runs_of(d, run->flow);

	for (guint i = 0; i < of->len; i++) {
		ffl_run_t *other = g_ptr_array_index(of, i);

		if ((other != run && !ffl_run_same_gang(run, other)) ||
		    other->stopping)
			continue;
		other->stopping = true;
		other->stop_reason = why;
	}
}
