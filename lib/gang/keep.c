#include <string.h>

#include "lib/gang/gang_int.h"

static bool leader_silent(const ffl_gang_run_t *r, const ffl_worker_t *w);
static void ask_all(ffl_gang_run_t *r);
static bool whole(const ffl_gang_run_t *r, const ffl_task_report_t *task);
static void keep_whole(ffl_gang_run_t *r);
static void note_task(ffl_gang_run_t *r, ffl_worker_t *w,
		      const ffl_task_report_t *task);

/* The leader's own authority over a quorum ends before its silence there is
 * long enough to count. */
static bool leader_silent(const ffl_gang_run_t *r, const ffl_worker_t *w)
{
	return w->silent_ms >= r->g->times.valid_ms && w->proved_ms &&
	       r->now_ms - w->proved_ms <= r->g->times.authority_ms;
}

static void ask_all(ffl_gang_run_t *r)
{
	for (uint32_t i = 0; i < ffl_fleet_count(r->fleet); i++) {
		ffl_worker_t *w = ffl_fleet_at(r->fleet, i);
		ffl_worker_cmd_t cmd = { .cmd = FFL_WCMD_KEEP };

		if (!w->listed || !ffl_worker_ours(r, w))
			continue;
		w->version = 0;
		w->asked_ms = r->now_ms;
		w->ask_call = r->g->next_call;
		ffl_worker_command(r, w, &cmd);
	}
}

static void note_task(ffl_gang_run_t *r, ffl_worker_t *w,
		      const ffl_task_report_t *task)
{
	ffl_kept_t fresh = { .task = *task, .seen_ms = r->now_ms };

	if (task->state != FFL_TASK_RUNNING && task->state != FFL_TASK_DONE)
		return;
	for (guint i = 0; i < r->g->deputy_tasks->len; i++) {
		ffl_kept_t *k =
			&g_array_index(r->g->deputy_tasks, ffl_kept_t, i);

		if (k->task.job != task->job || k->task.rank != task->rank ||
		    k->task.incarnation != task->incarnation)
			continue;
		k->task = *task;
		k->seen_ms = r->now_ms;
		return;
	}
	ffl_copy(fresh.worker, sizeof(fresh.worker), w->info.name);
	g_array_append_val(r->g->deputy_tasks, fresh);
}

void ffl_keep_on_reply(ffl_gang_run_t *r, ffl_worker_t *w,
		       const ffl_worker_reply_t *reply)
{
	const ffl_task_report_t *tasks = reply->tasks.items;

	w->silent_ms = reply->silent_ms;
	w->proved_ms = w->asked_ms;
	for (uint32_t i = 0; reply->since == 0 && i < reply->tasks.count; i++)
		note_task(r, w, &tasks[i]);
}

static bool whole(const ffl_gang_run_t *r, const ffl_task_report_t *task)
{
	uint32_t seen = 0;

	for (guint i = 0; i < r->g->deputy_tasks->len; i++) {
		const ffl_kept_t *k =
			&g_array_index(r->g->deputy_tasks, ffl_kept_t, i);

		if (k->task.job == task->job &&
		    k->task.incarnation == task->incarnation &&
		    r->now_ms - k->seen_ms <= r->g->times.authority_ms)
			seen++;
	}
	return seen >= task->members;
}

static void keep_whole(ffl_gang_run_t *r)
{
	for (guint i = 0; i < r->g->deputy_tasks->len; i++) {
		const ffl_kept_t *k =
			&g_array_index(r->g->deputy_tasks, ffl_kept_t, i);
		ffl_worker_t *w = ffl_fleet_find(r->fleet, k->worker);
		ffl_worker_cmd_t cmd = { .cmd = FFL_WCMD_KEEP,
					 .job = k->task.job,
					 .incarnation = k->task.incarnation,
					 .rank = k->task.rank,
					 .lease_ms = r->g->times.lease_ms };

		if (w && k->task.state == FFL_TASK_RUNNING &&
		    whole(r, &k->task))
			ffl_worker_command(r, w, &cmd);
	}
}

void ffl_keep_run(ffl_gang_run_t *r)
{
	ffl_authority_t *a = &r->g->authority;
	const ffl_cell_t *cell = ffl_members_cell(r->ms, r->ms->self.dc);

	if (!cell || !cell->epoch || a->fenced_epoch > cell->epoch ||
	    !ffl_members_deputy(r->ms, r->now_ms)) {
		g_array_set_size(r->g->deputy_tasks, 0);
		return;
	}
	if (r->now_ms < a->deputy_round_at_ms)
		return;
	a->deputy_round_at_ms = r->now_ms + r->g->times.renew_ms;
	if (ffl_authority_quorum(r, leader_silent))
		keep_whole(r);
	ask_all(r);
}
