#include <string.h>

#include "fireflyledge/gang.h"
#include "fireflyledge/sched.h"
#include "lib/gang/gang_int.h"

/** Time that a command may take before its member is asked again, in ms. */
#define CALL_TIMEOUT_MS 2000

/** What a schedule step needs at hand. */
typedef struct {
	ffl_gangs_t *g;
	ffl_fleet_t *fleet;
	const ffl_members_t *ms;
	ffl_logc_t *lc;
	uint64_t now_ms;
	ffl_actions_t *out;
} run_t;

/** Carries out one kind of decision. */
typedef void (*decide_fn_t)(run_t *r, const ffl_decision_t *d, uint64_t epoch);

/** Moves a job on from one state. */
typedef void (*advance_fn_t)(run_t *r, ffl_job_t *job, uint64_t epoch);

static void send(run_t *r, ffl_worker_t *w, const ffl_worker_cmd_t *cmd,
		 uint64_t *call);
static void send_part(run_t *r, ffl_job_t *job, uint32_t rank, ffl_wcmd_t kind,
		      uint64_t epoch);
static bool all_parts(const ffl_job_t *job, ffl_part_state_t state);
static bool any_part(const ffl_job_t *job, ffl_part_state_t state);
static void set_state(run_t *r, ffl_job_t *job, ffl_job_state_t state);
static void release(run_t *r, ffl_job_t *job);
static void end_job(run_t *r, ffl_job_t *job, uint64_t epoch, ffl_end_t end,
		    const char *result);
static void advance_queued(run_t *r, ffl_job_t *job, uint64_t epoch);
static void start_job(run_t *r, const ffl_decision_t *d, uint64_t epoch);
static void preempt_job(run_t *r, const ffl_decision_t *d, uint64_t epoch);
static void refuse_job(run_t *r, const ffl_decision_t *d, uint64_t epoch);
static void schedule(run_t *r, ffl_sched_t *sched, const ffl_config_t *cfg,
		     uint64_t epoch);
static void advance_holding(run_t *r, ffl_job_t *job, uint64_t epoch);
static void advance_starting(run_t *r, ffl_job_t *job, uint64_t epoch);
static void advance_running(run_t *r, ffl_job_t *job, uint64_t epoch);
static void advance_stopping(run_t *r, ffl_job_t *job, uint64_t epoch);
static void stop_parts(run_t *r, ffl_job_t *job, uint64_t epoch);
static void renew_workers(run_t *r);
static void adopt(ffl_gangs_t *g, ffl_fleet_t *fleet, ffl_worker_t *w,
		  const ffl_task_report_t *task, uint64_t now_ms);
static void take_report(ffl_gangs_t *g, ffl_fleet_t *fleet, ffl_worker_t *w,
			const ffl_task_report_t *task, uint64_t now_ms);
static ffl_part_t *part_on(ffl_job_t *job, const char *worker);

static const advance_fn_t advances[FFL_JOB__MAX] = {
	[FFL_JOB_QUEUED] = advance_queued,
	[FFL_JOB_HOLDING] = advance_holding,
	[FFL_JOB_STARTING] = advance_starting,
	[FFL_JOB_RUNNING] = advance_running,
	[FFL_JOB_STOPPING] = advance_stopping,
};

static const decide_fn_t deciders[FFL_DECIDE__MAX] = {
	[FFL_DECIDE_START] = start_job,
	[FFL_DECIDE_PREEMPT] = preempt_job,
	[FFL_DECIDE_REFUSE] = refuse_job,
};

static const ffl_part_state_t part_of_task[FFL_TASK__MAX] = {
	[FFL_TASK_HELD] = FFL_PART_HELD,
	[FFL_TASK_RUNNING] = FFL_PART_RUNNING,
	[FFL_TASK_DONE] = FFL_PART_DONE,
	[FFL_TASK_FAILED] = FFL_PART_GONE,
	[FFL_TASK_STOPPED] = FFL_PART_GONE,
};

static void send(run_t *r, ffl_worker_t *w, const ffl_worker_cmd_t *cmd,
		 uint64_t *call)
{
	ffl_action_t *act = ffl_actions_add(r->out, FFL_ACT_WORKER_SEND);

	act->worker_send.call = r->g->next_call++;
	act->worker_send.cmd = *cmd;
	ffl_copy(act->worker_send.worker, sizeof(act->worker_send.worker),
		 w->info.name);
	ffl_copy(act->worker_send.addr, sizeof(act->worker_send.addr),
		 w->info.addr);
	w->asked_ms = r->now_ms;
	w->calls++;
	if (call)
		*call = act->worker_send.call;
}

static void send_part(run_t *r, ffl_job_t *job, uint32_t rank, ffl_wcmd_t kind,
		      uint64_t epoch)
{
	ffl_part_t *p = &job->parts[rank];
	ffl_worker_t *w = ffl_fleet_find(r->fleet, p->worker);
	ffl_worker_cmd_t cmd = { .cmd = kind,
				 .epoch = epoch,
				 .job = job->id,
				 .incarnation = job->incarnation,
				 .rank = rank,
				 .members = job->part_count,
				 .slots = p->slots,
				 .lease_ms = r->g->lease_ms,
				 .progress_ms = job->progress_ms };

	if (!w) {
		p->state = FFL_PART_GONE;
		return;
	}
	ffl_copy(cmd.payload, sizeof(cmd.payload), job->spec.payload);
	send(r, w, &cmd, &p->call);
}

static bool all_parts(const ffl_job_t *job, ffl_part_state_t state)
{
	for (uint32_t i = 0; i < job->part_count; i++) {
		if (job->parts[i].state != state)
			return false;
	}
	return true;
}

static bool any_part(const ffl_job_t *job, ffl_part_state_t state)
{
	for (uint32_t i = 0; i < job->part_count; i++) {
		if (job->parts[i].state == state)
			return true;
	}
	return false;
}

static void set_state(run_t *r, ffl_job_t *job, ffl_job_state_t state)
{
	job->state = state;
	job->since_ms = r->now_ms;
}

static void release(run_t *r, ffl_job_t *job)
{
	for (uint32_t i = 0; i < job->part_count; i++) {
		ffl_worker_t *w =
			ffl_fleet_find(r->fleet, job->parts[i].worker);

		if (w)
			ffl_fleet_release(r->fleet, w, job->parts[i].slots);
	}
	g_free(job->parts);
	job->parts = NULL;
	job->part_count = 0;
}

static void end_job(run_t *r, ffl_job_t *job, uint64_t epoch, ffl_end_t end,
		    const char *result)
{
	ffl_record_t rec = { .kind = FFL_REC_JOB_END };

	if (job->end_sent)
		return;
	rec.job_end.job = job->id;
	rec.job_end.epoch = epoch;
	rec.job_end.end = end;
	rec.job_end.incarnation = job->incarnation;
	ffl_copy(rec.job_end.result, sizeof(rec.job_end.result), result);
	job->end_sent = ffl_logc_append(r->lc, &rec) == FFL_OK;
}

static void advance_queued(run_t *r, ffl_job_t *job, uint64_t epoch)
{
	if (job->cancelled)
		end_job(r, job, epoch, FFL_END_CANCELLED, "");
}

static void start_job(run_t *r, const ffl_decision_t *d, uint64_t epoch)
{
	ffl_job_t *job = d->job;

	job->incarnation++;
	g_free(job->parts);
	job->parts = g_new0(ffl_part_t, d->place.count);
	job->part_count = d->place.count;
	set_state(r, job, FFL_JOB_HOLDING);
	for (uint32_t i = 0; i < d->place.count; i++) {
		const ffl_block_t *b = &d->place.blocks[i];
		ffl_part_t *p = &job->parts[i];

		ffl_copy(p->worker, sizeof(p->worker), b->worker->info.name);
		p->slots = b->slots;
		p->state = FFL_PART_ASKED;
		ffl_fleet_take(r->fleet, b->worker, b->slots);
		send_part(r, job, i, FFL_WCMD_HOLD, epoch);
	}
}

static void preempt_job(run_t *r, const ffl_decision_t *d, uint64_t epoch)
{
	stop_parts(r, d->job, epoch);
}

static void refuse_job(run_t *r, const ffl_decision_t *d, uint64_t epoch)
{
	end_job(r, d->job, epoch, FFL_END_IMPOSSIBLE, d->why);
}

static void schedule(run_t *r, ffl_sched_t *sched, const ffl_config_t *cfg,
		     uint64_t epoch)
{
	ffl_decision_t d;

	ffl_sched_begin(sched, r->now_ms);
	while (ffl_sched_next(sched, r->g, r->fleet, cfg, r->now_ms, &d))
		deciders[d.kind](r, &d, epoch);
}

static void advance_holding(run_t *r, ffl_job_t *job, uint64_t epoch)
{
	if (job->cancelled || any_part(job, FFL_PART_GONE) ||
	    r->now_ms - job->since_ms > CALL_TIMEOUT_MS) {
		stop_parts(r, job, epoch);
		return;
	}
	if (!all_parts(job, FFL_PART_HELD))
		return;
	set_state(r, job, FFL_JOB_STARTING);
	for (uint32_t i = 0; i < job->part_count; i++) {
		job->parts[i].state = FFL_PART_ASKED;
		send_part(r, job, i, FFL_WCMD_START, epoch);
	}
}

static void advance_starting(run_t *r, ffl_job_t *job, uint64_t epoch)
{
	if (job->cancelled || any_part(job, FFL_PART_GONE) ||
	    r->now_ms - job->since_ms > CALL_TIMEOUT_MS) {
		stop_parts(r, job, epoch);
		return;
	}
	if (any_part(job, FFL_PART_ASKED) || any_part(job, FFL_PART_HELD))
		return;
	set_state(r, job, FFL_JOB_RUNNING);
	ffl_actions_report(r->out, FFL_LEVEL_NOTE, "job-started",
			   job->spec.name, "job %llu runs on %u workers",
			   (unsigned long long)job->id, job->part_count);
}

static void advance_running(run_t *r, ffl_job_t *job, uint64_t epoch)
{
	if (all_parts(job, FFL_PART_DONE)) {
		end_job(r, job, epoch, FFL_END_DONE, job->result);
		release(r, job);
		return;
	}
	if (job->cancelled || any_part(job, FFL_PART_GONE))
		stop_parts(r, job, epoch);
}

static void advance_stopping(run_t *r, ffl_job_t *job, uint64_t epoch)
{
	if (!all_parts(job, FFL_PART_GONE)) {
		if (r->now_ms - job->since_ms > CALL_TIMEOUT_MS)
			stop_parts(r, job, epoch);
		return;
	}
	release(r, job);
	if (job->cancelled) {
		end_job(r, job, epoch, FFL_END_CANCELLED, "");
		return;
	}
	set_state(r, job, FFL_JOB_QUEUED);
}

static void stop_parts(run_t *r, ffl_job_t *job, uint64_t epoch)
{
	set_state(r, job, FFL_JOB_STOPPING);
	for (uint32_t i = 0; i < job->part_count; i++) {
		if (job->parts[i].state != FFL_PART_GONE)
			send_part(r, job, i, FFL_WCMD_STOP, epoch);
	}
}

static ffl_part_t *part_on(ffl_job_t *job, const char *worker)
{
	for (uint32_t i = 0; i < job->part_count; i++) {
		if (strcmp(job->parts[i].worker, worker) == 0)
			return &job->parts[i];
	}
	return NULL;
}

/* Builds the gang of a job that an earlier leader started. */
static void adopt(ffl_gangs_t *g, ffl_fleet_t *fleet, ffl_worker_t *w,
		  const ffl_task_report_t *task, uint64_t now_ms)
{
	ffl_job_t *job = ffl_job_find(g, task->job);
	ffl_part_t *p;

	if (!job || job->state != FFL_JOB_QUEUED || !task->members ||
	    task->rank >= task->members)
		return;
	if (task->incarnation < job->incarnation)
		return;
	if (!job->parts || job->incarnation != task->incarnation) {
		g_free(job->parts);
		job->parts = g_new0(ffl_part_t, task->members);
		job->part_count = task->members;
		job->incarnation = task->incarnation;
	}
	p = &job->parts[task->rank];
	ffl_copy(p->worker, sizeof(p->worker), w->info.name);
	p->slots = task->slots;
	p->state = part_of_task[task->state];
	ffl_fleet_take(fleet, w, task->slots);
	for (uint32_t i = 0; i < job->part_count; i++) {
		if (!job->parts[i].worker[0])
			return;
	}
	job->state = FFL_JOB_RUNNING;
	job->since_ms = now_ms;
}

static void take_report(ffl_gangs_t *g, ffl_fleet_t *fleet, ffl_worker_t *w,
			const ffl_task_report_t *task, uint64_t now_ms)
{
	ffl_job_t *job = ffl_job_find(g, task->job);
	ffl_part_t *p = job ? part_on(job, w->info.name) : NULL;

	if (job && job->state == FFL_JOB_QUEUED &&
	    task->state <= FFL_TASK_DONE) {
		adopt(g, fleet, w, task, now_ms);
		return;
	}
	if (!p || task->incarnation != job->incarnation)
		return;
	p->state = part_of_task[task->state];
	if (task->result[0])
		ffl_copy(job->result, sizeof(job->result), task->result);
}

void ffl_gangs_on_reply(ffl_gangs_t *g, ffl_fleet_t *fleet,
			const ffl_members_t *ms,
			const ffl_ev_worker_reply_t *ev, uint64_t now_ms,
			ffl_actions_t *out)
{
	ffl_worker_t *w = ffl_fleet_find(fleet, ev->worker);
	const ffl_task_report_t *tasks = ev->reply.tasks.items;

	if (!w)
		return;
	if (w->calls)
		w->calls--;
	if (ev->status != FFL_OK || ev->reply.status != FFL_OK)
		return;
	w->replied_ms = now_ms;
	w->boot = ev->reply.boot;
	if (!w->adopted)
		fleet->version++;
	w->adopted = true;
	for (uint32_t i = 0; i < ev->reply.tasks.count; i++)
		take_report(g, fleet, w, &tasks[i], now_ms);
}

static void renew_workers(run_t *r)
{
	uint64_t epoch = ffl_members_epoch(r->ms, r->ms->self.dc);

	for (uint32_t i = 0; i < ffl_fleet_count(r->fleet); i++) {
		ffl_worker_t *w = ffl_fleet_at(r->fleet, i);
		ffl_worker_cmd_t cmd = { .cmd = FFL_WCMD_RENEW,
					 .epoch = epoch,
					 .lease_ms = r->g->lease_ms };

		if (strcmp(w->info.dc, r->ms->self.dc) != 0)
			continue;
		if (w->asked_ms && r->now_ms - w->asked_ms < r->g->renew_ms)
			continue;
		send(r, w, &cmd, NULL);
	}
}

void ffl_gangs_run(ffl_gangs_t *g, ffl_fleet_t *fleet, const ffl_members_t *ms,
		   const ffl_config_t *cfg, ffl_sched_t *sched, ffl_logc_t *lc,
		   uint64_t now_ms, ffl_actions_t *out)
{
	uint64_t epoch = ffl_members_epoch(ms, ms->self.dc);
	run_t r = { .g = g,
		    .fleet = fleet,
		    .ms = ms,
		    .lc = lc,
		    .now_ms = now_ms,
		    .out = out };

	if (!epoch)
		return;
	renew_workers(&r);
	for (guint i = 0; i < g->open->len; i++) {
		ffl_job_t *job = g_array_index(g->open, ffl_job_t *, i);

		if (job->spec.dc[0] && strcmp(job->spec.dc, ms->self.dc) != 0)
			continue;
		advances[job->state](&r, job, epoch);
	}
	schedule(&r, sched, cfg, epoch);
}
