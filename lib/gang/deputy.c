/**
 * @file deputy.c
 * @brief Lease renewal by the deputy of a leader that has fallen silent.
 *
 * Only gangs whose parts all reported recently are renewed, so that running
 * jobs survive a leader that dies while no new one can be elected.
 */
#include <string.h>

#include "lib/gang/gang_int.h"

static bool leader_silent(const ffl_gang_ctx_t *r, const ffl_worker_t *w);
static void request_all_reports(ffl_gang_ctx_t *r);
static bool gang_complete(const ffl_gang_ctx_t *r,
			  const ffl_task_report_t *task);
static void renew_complete_gangs(ffl_gang_ctx_t *r);
static void record_task(ffl_gang_ctx_t *r, ffl_worker_t *w,
			const ffl_task_report_t *task);

/* Returns true if a worker has recently reported that it has not heard the
 * leader for valid_ms. By then the leader has lost its own authority over a
 * quorum of such workers, which ends after authority_ms. */
static bool leader_silent(const ffl_gang_ctx_t *r, const ffl_worker_t *w)
{
	return w->silent_ms >= r->g->times.valid_ms && w->proved_ms &&
	       r->now_ms - w->proved_ms <= r->g->times.authority_ms;
}

/* Requests the full report of every worker of the cell. */
static void request_all_reports(ffl_gang_ctx_t *r)
{
	for (uint32_t i = 0; i < ffl_fleet_count(r->fleet); i++) {
		ffl_worker_t *w = ffl_fleet_at(r->fleet, i);
		ffl_worker_cmd_t cmd = { .cmd = FFL_WCMD_KEEP };

		if (!w->listed || !ffl_worker_in_own_cell(r, w))
			continue;
		w->version = 0;
		w->asked_ms = r->now_ms;
		w->ask_call = r->g->next_call;
		ffl_worker_send_command(r, w, &cmd);
	}
}

/* Adds a task that runs or is done, or updates its last report. */
static void record_task(ffl_gang_ctx_t *r, ffl_worker_t *w,
			const ffl_task_report_t *task)
{
	ffl_deputy_task_t entry = { .task = *task, .seen_ms = r->now_ms };

	if (task->state != FFL_TASK_RUNNING && task->state != FFL_TASK_DONE)
		return;
	for (guint i = 0; i < r->g->deputy_tasks->len; i++) {
		ffl_deputy_task_t *k = &g_array_index(r->g->deputy_tasks,
						      ffl_deputy_task_t, i);

		if (k->task.job != task->job || k->task.rank != task->rank ||
		    k->task.incarnation != task->incarnation)
			continue;
		k->task = *task;
		k->seen_ms = r->now_ms;
		return;
	}
	ffl_copy(entry.worker, sizeof(entry.worker), w->info.name);
	g_array_append_val(r->g->deputy_tasks, entry);
}

void ffl_deputy_on_reply(ffl_gang_ctx_t *r, ffl_worker_t *w,
			 const ffl_worker_reply_t *reply)
{
	const ffl_task_report_t *tasks = reply->tasks.items;

	w->silent_ms = reply->silent_ms;
	w->proved_ms = w->asked_ms;
	for (uint32_t i = 0; reply->since == 0 && i < reply->tasks.count; i++)
		record_task(r, w, &tasks[i]);
}

/* Returns true if every part of the task's gang has reported recently. */
static bool gang_complete(const ffl_gang_ctx_t *r,
			  const ffl_task_report_t *task)
{
	uint32_t seen = 0;

	for (guint i = 0; i < r->g->deputy_tasks->len; i++) {
		const ffl_deputy_task_t *k = &g_array_index(
			r->g->deputy_tasks, ffl_deputy_task_t, i);

		if (k->task.job == task->job &&
		    k->task.incarnation == task->incarnation &&
		    r->now_ms - k->seen_ms <= r->g->times.authority_ms)
			seen++;
	}
	return seen >= task->members;
}

static void renew_complete_gangs(ffl_gang_ctx_t *r)
{
	for (guint i = 0; i < r->g->deputy_tasks->len; i++) {
		const ffl_deputy_task_t *k = &g_array_index(
			r->g->deputy_tasks, ffl_deputy_task_t, i);
		ffl_worker_t *w = ffl_fleet_find(r->fleet, k->worker);
		ffl_worker_cmd_t cmd = { .cmd = FFL_WCMD_KEEP,
					 .job = k->task.job,
					 .incarnation = k->task.incarnation,
					 .rank = k->task.rank,
					 .lease_ms = r->g->times.lease_ms };

		if (w && k->task.state == FFL_TASK_RUNNING &&
		    gang_complete(r, &k->task))
			ffl_worker_send_command(r, w, &cmd);
	}
}

void ffl_deputy_run(ffl_gang_ctx_t *r)
{
	ffl_authority_t *a = &r->g->authority;
	const ffl_cell_t *cell = ffl_members_find_cell(r->ms, r->ms->self.dc);

	if (!cell || !cell->epoch || a->fenced_epoch > cell->epoch ||
	    !ffl_members_is_deputy(r->ms, r->now_ms)) {
		g_array_set_size(r->g->deputy_tasks, 0);
		return;
	}
	if (r->now_ms < a->deputy_round_at_ms)
		return;
	a->deputy_round_at_ms = r->now_ms + r->g->times.renew_ms;
	if (ffl_authority_quorum(r, leader_silent))
		renew_complete_gangs(r);
	request_all_reports(r);
}
