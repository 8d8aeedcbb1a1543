/**
 * @file report.c
 * @brief Workers' replies: task reports, restarts, denied commands.
 */
#include <string.h>

#include "lib/gang/gang_int.h"

static bool task_active(const ffl_task_report_t *task);
static ffl_part_t *find_part(ffl_job_t *job, const ffl_worker_t *w,
			     const ffl_task_report_t *task);
static void update_part(ffl_gang_ctx_t *r, ffl_job_t *job, ffl_part_t *p,
			ffl_worker_t *w, const ffl_task_report_t *task);
static void recover_part(ffl_gang_ctx_t *r, ffl_job_t *job, ffl_worker_t *w,
			 const ffl_task_report_t *task);
static void handle_unknown_task(ffl_gang_ctx_t *r, ffl_worker_t *w,
				const ffl_task_report_t *task);
static void handle_task(ffl_gang_ctx_t *r, ffl_worker_t *w,
			const ffl_task_report_t *task);
static void handle_restart(ffl_gang_ctx_t *r, ffl_worker_t *w, uint64_t boot);
static bool handle_reply_header(ffl_gang_ctx_t *r, ffl_worker_t *w,
				const ffl_ev_worker_reply_t *ev);
static bool reports_part(const ffl_worker_reply_t *reply, const ffl_job_t *job,
			 uint32_t rank);
static void mark_unreported_gone(ffl_gang_ctx_t *r, ffl_worker_t *w,
				 const ffl_worker_reply_t *reply);
static void handle_tasks(ffl_gang_ctx_t *r, ffl_worker_t *w,
			 const ffl_worker_reply_t *reply);

static const ffl_part_state_t part_state_of_task[FFL_TASK__MAX] = {
	[FFL_TASK_HELD] = FFL_PART_HELD,
	[FFL_TASK_RUNNING] = FFL_PART_RUNNING,
	[FFL_TASK_DONE] = FFL_PART_DONE,
	[FFL_TASK_FAILED] = FFL_PART_GONE,
	[FFL_TASK_STOPPED] = FFL_PART_GONE,
};

static bool task_active(const ffl_task_report_t *task)
{
	return task->state == FFL_TASK_HELD || task->state == FFL_TASK_RUNNING;
}

/* Returns the part of a job that a task belongs to, or NULL. */
static ffl_part_t *find_part(ffl_job_t *job, const ffl_worker_t *w,
			     const ffl_task_report_t *task)
{
	ffl_part_t *p;

	if (!job || job->state == FFL_JOB_ENDED || !job->parts ||
	    task->incarnation != job->incarnation ||
	    task->rank >= job->part_count)
		return NULL;
	p = &job->parts[task->rank];
	return strcmp(p->worker, w->info.name) == 0 ? p : NULL;
}

static void update_part(ffl_gang_ctx_t *r, ffl_job_t *job, ffl_part_t *p,
			ffl_worker_t *w, const ffl_task_report_t *task)
{
	ffl_part_state_t state = part_state_of_task[task->state];

	if (task->checkpoint_ms > p->checkpoint_ms)
		p->checkpoint_ms = task->checkpoint_ms;
	if (task->progress_ms > p->progress_ms) {
		p->progress_ms = task->progress_ms;
		p->last_progress_ms = r->now_ms;
	}
	if (state <= p->state)
		return;
	p->state = state;
	r->g->dirty = true;
	if (state == FFL_PART_RUNNING)
		p->last_progress_ms = r->now_ms;
	if (state == FFL_PART_DONE) {
		ffl_copy(job->result, sizeof(job->result), task->result);
		ffl_fleet_record_success(r->fleet, w);
	}
	if (task->state == FFL_TASK_FAILED)
		ffl_job_count_failure(r, job, w);
}

/* Rebuilds the parts of a job that an earlier leader started. Of several
 * incarnations only the latest can be complete. */
static void recover_part(ffl_gang_ctx_t *r, ffl_job_t *job, ffl_worker_t *w,
			 const ffl_task_report_t *task)
{
	ffl_part_t *p;

	if (job->parts && job->incarnation > task->incarnation) {
		handle_unknown_task(r, w, task);
		return;
	}
	if (!job->parts || job->incarnation != task->incarnation) {
		ffl_job_abandon_parts(r, job);
		job->parts = g_new0(ffl_part_t, task->members);
		job->part_count = task->members;
		job->incarnation = task->incarnation;
	}
	p = &job->parts[task->rank];
	if (p->worker[0])
		return;
	ffl_copy(p->worker, sizeof(p->worker), w->info.name);
	p->slots = task->slots;
	p->last_progress_ms = r->now_ms;
	p->progress_ms = task->progress_ms;
	p->checkpoint_ms = task->checkpoint_ms;
	p->state = part_state_of_task[task->state];
	if (p->state == FFL_PART_DONE)
		ffl_copy(job->result, sizeof(job->result), task->result);
	p->taken = task_active(task);
	if (p->taken)
		ffl_fleet_reserve_slots(r->fleet, w, task->slots);
	if (!ffl_job_fully_started(job))
		return;
	ffl_job_set_state(r, job, FFL_JOB_RUNNING);
	ffl_actions_report(r->out, FFL_LEVEL_NOTE, "job-adopted",
			   job->spec.name, "job %llu",
			   (unsigned long long)job->id);
}

/* Stops a task that belongs to no known part; its slots stay used until the
 * worker reports that it has ended. A task of a job whose record was not
 * folded yet is left alone. */
static void handle_unknown_task(ffl_gang_ctx_t *r, ffl_worker_t *w,
				const ffl_task_report_t *task)
{
	ffl_worker_cmd_t cmd = { .cmd = FFL_WCMD_STOP,
				 .job = task->job,
				 .incarnation = task->incarnation,
				 .rank = task->rank,
				 .members = task->members,
				 .slots = task->slots,
				 .lease_ms = r->g->times.lease_ms };

	if (!task_active(task)) {
		ffl_fleet_release_slots(r->fleet, w, w->foreign & task->slots);
		w->foreign &= ~task->slots;
		return;
	}
	w->foreign |= task->slots & ~w->used;
	ffl_fleet_reserve_slots(r->fleet, w, task->slots);
	r->g->dirty = true;
	if (ffl_gangs_may_act(r->g) && task->job <= r->g->folded_offset)
		ffl_worker_send_command(r, w, &cmd);
}

static void handle_task(ffl_gang_ctx_t *r, ffl_worker_t *w,
			const ffl_task_report_t *task)
{
	ffl_job_t *job = ffl_job_find(r->g, task->job);
	ffl_part_t *p = find_part(job, w, task);

	if (p)
		update_part(r, job, p, w, task);
	else if (job && job->state == FFL_JOB_RECOVERING && task->members &&
		 task->rank < task->members)
		recover_part(r, job, w, task);
	else
		handle_unknown_task(r, w, task);
}

/* A worker that has restarted has lost all its tasks. */
static void handle_restart(ffl_gang_ctx_t *r, ffl_worker_t *w, uint64_t boot)
{
	for (guint i = 0; w->boot && i < r->g->open->len; i++) {
		ffl_job_t *job = g_array_index(r->g->open, ffl_job_t *, i);

		for (uint32_t k = 0; k < job->part_count; k++) {
			ffl_part_t *p = &job->parts[k];

			if (p->state == FFL_PART_DONE ||
			    strcmp(p->worker, w->info.name) != 0)
				continue;
			p->state = FFL_PART_GONE;
			r->g->dirty = true;
		}
	}
	ffl_fleet_release_slots(r->fleet, w, w->foreign);
	w->foreign = 0;
	w->boot = boot;
	w->clock_ms = 0;
	w->version = 0;
	w->adopted = false;
}

/* Handles epoch, boot and clock of a reply; returns false if its task reports
 * must be ignored. */
static bool handle_reply_header(ffl_gang_ctx_t *r, ffl_worker_t *w,
				const ffl_ev_worker_reply_t *ev)
{
	const ffl_worker_reply_t *reply = &ev->reply;
	ffl_authority_t *a = &r->g->authority;

	if (reply->status == FFL_DENIED) {
		if (reply->epoch > a->fenced_epoch)
			a->fenced_epoch = reply->epoch;
		return false;
	}
	if (reply->boot < w->boot)
		return false;
	if (reply->boot > w->boot)
		handle_restart(r, w, reply->boot);
	w->replied_ms = r->now_ms;
	if (reply->clock_ms > w->clock_ms)
		w->clock_ms = reply->clock_ms;
	if (!a->epoch || ev->call < a->first_call)
		return false;
	if (ev->call >= w->ask_call && w->asked_ms)
		w->proved_ms = w->asked_ms;
	return reply->since <= w->version && reply->version >= w->version;
}

static bool reports_part(const ffl_worker_reply_t *reply, const ffl_job_t *job,
			 uint32_t rank)
{
	const ffl_task_report_t *tasks = reply->tasks.items;

	for (uint32_t i = 0; i < reply->tasks.count; i++) {
		if (tasks[i].job == job->id && tasks[i].rank == rank &&
		    tasks[i].incarnation == job->incarnation)
			return true;
	}
	return false;
}

/* A worker forgets tasks some time after they end: a part that is missing
 * from its full report is gone. */
static void mark_unreported_gone(ffl_gang_ctx_t *r, ffl_worker_t *w,
				 const ffl_worker_reply_t *reply)
{
	for (guint i = 0; i < r->g->open->len; i++) {
		ffl_job_t *job = g_array_index(r->g->open, ffl_job_t *, i);

		for (uint32_t k = 0; k < job->part_count; k++) {
			ffl_part_t *p = &job->parts[k];

			if ((p->state != FFL_PART_HELD &&
			     p->state != FFL_PART_RUNNING) ||
			    strcmp(p->worker, w->info.name) != 0 ||
			    reports_part(reply, job, k))
				continue;
			p->state = FFL_PART_GONE;
			r->g->dirty = true;
		}
	}
	ffl_fleet_release_slots(r->fleet, w, w->foreign);
	w->foreign = 0;
}

/* Handles ended tasks first: another task of the same report may already hold
 * their slots. */
static void handle_tasks(ffl_gang_ctx_t *r, ffl_worker_t *w,
			 const ffl_worker_reply_t *reply)
{
	const ffl_task_report_t *tasks = reply->tasks.items;

	if (reply->since == 0)
		mark_unreported_gone(r, w, reply);
	for (uint32_t i = 0; i < reply->tasks.count; i++) {
		if (!task_active(&tasks[i]))
			handle_task(r, w, &tasks[i]);
	}
	for (uint32_t i = 0; i < reply->tasks.count; i++) {
		if (task_active(&tasks[i]))
			handle_task(r, w, &tasks[i]);
	}
	w->version = reply->version;
	if (reply->since == 0)
		w->adopted = true;
}

void ffl_gangs_on_reply(ffl_gangs_t *g, ffl_fleet_t *fleet,
			const ffl_members_t *ms,
			const ffl_ev_worker_reply_t *ev, uint64_t now_ms,
			ffl_actions_t *out)
{
	ffl_gang_ctx_t r = {
		.g = g, .fleet = fleet, .ms = ms, .now_ms = now_ms, .out = out
	};
	ffl_worker_t *w = ffl_fleet_find(fleet, ev->worker);

	if (!w)
		return;
	if (w->unanswered_calls)
		w->unanswered_calls--;
	if (ev->status != FFL_OK)
		return;
	if (handle_reply_header(&r, w, ev))
		handle_tasks(&r, w, &ev->reply);
	else if (ev->reply.status != FFL_DENIED && !g->authority.epoch &&
		 ev->call >= w->ask_call)
		ffl_deputy_on_reply(&r, w, &ev->reply);
}
