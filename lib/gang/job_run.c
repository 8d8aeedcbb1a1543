/**
 * @file job_run.c
 * @brief The life of a job on its workers: hold, start, run, stop.
 *
 * A gang starts only after every worker has confirmed that it holds the slots,
 * and starts again only after every part is proven gone.
 */
#include <string.h>

#include "lib/gang/gang_int.h"

/** Time after which a command without a confirmation is repeated, in ms. */
#define RETRY_MS 1000
/** Time without progress after which a task counts as failed, in ms. */
#define STUCK_MS 600000
/** Bits of an incarnation that count the starts of one process. */
#define STARTS_BITS 20
/** Failed tasks after which a job fails, even on fewer distinct workers. */
#define JOB_FAILURES_MAX 8

/** Executes one kind of decision. */
typedef void (*decision_fn_t)(ffl_gang_ctx_t *r, const ffl_decision_t *d);

/** Advances a job in one state. */
typedef void (*advance_fn_t)(ffl_gang_ctx_t *r, ffl_job_t *job);

static void start_job(ffl_gang_ctx_t *r, const ffl_decision_t *d);
static void preempt_job(ffl_gang_ctx_t *r, const ffl_decision_t *d);
static void refuse_job(ffl_gang_ctx_t *r, const ffl_decision_t *d);
static void advance_queued(ffl_gang_ctx_t *r, ffl_job_t *job);
static void advance_holding(ffl_gang_ctx_t *r, ffl_job_t *job);
static void advance_starting(ffl_gang_ctx_t *r, ffl_job_t *job);
static void advance_running(ffl_gang_ctx_t *r, ffl_job_t *job);
static void advance_stopping(ffl_gang_ctx_t *r, ffl_job_t *job);
static void advance_recovering(ffl_gang_ctx_t *r, ffl_job_t *job);
static void advance_none(ffl_gang_ctx_t *r, ffl_job_t *job);
static bool mark_silent_parts(ffl_gang_ctx_t *r, ffl_job_t *job);
static bool all_parts(const ffl_job_t *job, ffl_part_state_t state);
static bool any_part(const ffl_job_t *job, ffl_part_state_t state);
static void repeat_command(ffl_gang_ctx_t *r, ffl_job_t *job, ffl_wcmd_t kind,
			   ffl_part_state_t below);
static bool must_leave_worker(const ffl_gang_ctx_t *r, const ffl_job_t *job);
static void stop_stuck_job(ffl_gang_ctx_t *r, ffl_job_t *job);
static void update_resume_point(ffl_job_t *job);
static void clear_ended(ffl_gang_ctx_t *r);
static void schedule(ffl_gang_ctx_t *r, ffl_sched_t *sched,
		     const ffl_config_t *cfg);
static void run_pass(ffl_gang_ctx_t *r, ffl_sched_t *sched,
		     const ffl_config_t *cfg);

static const advance_fn_t state_handlers[FFL_JOB__MAX] = {
	[FFL_JOB_QUEUED] = advance_queued,
	[FFL_JOB_HOLDING] = advance_holding,
	[FFL_JOB_STARTING] = advance_starting,
	[FFL_JOB_RUNNING] = advance_running,
	[FFL_JOB_STOPPING] = advance_stopping,
	[FFL_JOB_RECOVERING] = advance_recovering,
	[FFL_JOB_MOVING] = advance_none,
	[FFL_JOB_ENDED] = advance_none,
};

static const decision_fn_t decision_handlers[FFL_DECISION__MAX] = {
	[FFL_DECISION_START] = start_job,
	[FFL_DECISION_PREEMPT] = preempt_job,
	[FFL_DECISION_REFUSE] = refuse_job,
};

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

bool ffl_job_fully_started(const ffl_job_t *job)
{
	for (uint32_t i = 0; i < job->part_count; i++) {
		if (job->parts[i].state != FFL_PART_RUNNING &&
		    job->parts[i].state != FFL_PART_DONE)
			return false;
	}
	return job->part_count > 0;
}

void ffl_job_set_state(ffl_gang_ctx_t *r, ffl_job_t *job, ffl_job_state_t state)
{
	job->state = state;
	job->since_ms = r->now_ms;
}

void ffl_job_release_parts(ffl_gang_ctx_t *r, ffl_job_t *job)
{
	for (uint32_t i = 0; i < job->part_count; i++) {
		const ffl_part_t *p = &job->parts[i];
		ffl_worker_t *w = ffl_fleet_find(r->fleet, p->worker);

		if (w && p->taken)
			ffl_fleet_release_slots(r->fleet, w, p->slots);
	}
	g_free(job->parts);
	job->parts = NULL;
	job->part_count = 0;
	job->checkpoint_on_stop = false;
}

void ffl_job_abandon_parts(ffl_gang_ctx_t *r, ffl_job_t *job)
{
	for (uint32_t i = 0; i < job->part_count; i++) {
		ffl_worker_t *w =
			ffl_fleet_find(r->fleet, job->parts[i].worker);

		if (!w || job->parts[i].state >= FFL_PART_DONE)
			continue;
		w->version = 0;
		w->adopted = false;
	}
	ffl_job_release_parts(r, job);
}

void ffl_job_append_end(ffl_gang_ctx_t *r, ffl_job_t *job, ffl_end_t end,
			const char *result)
{
	ffl_record_t rec = { .kind = FFL_REC_JOB_END };

	if (job->end_sent)
		return;
	rec.job_end.job = job->id;
	rec.job_end.epoch = r->g->authority.epoch;
	rec.job_end.end = end;
	rec.job_end.incarnation = job->incarnation;
	ffl_copy(rec.job_end.result, sizeof(rec.job_end.result), result);
	job->end_sent = ffl_logc_append(r->lc, &rec) == FFL_OK;
}

/* A failure on a worker that is quarantined counts as the worker's fault, not
 * as one of the distinct workers on which the job failed. */
void ffl_job_count_failure(ffl_gang_ctx_t *r, ffl_job_t *job, ffl_worker_t *w)
{
	job->failures++;
	ffl_fleet_record_failure(r->fleet, w, job->id, r->now_ms);
	if (w->health == FFL_HEALTH_QUARANTINED)
		return;
	for (uint32_t i = 0; i < job->failed_worker_count; i++) {
		if (strcmp(job->failed_workers[i], w->info.name) == 0)
			return;
	}
	if (job->failed_worker_count < FFL_JOB_FAILED_WORKERS_MAX)
		ffl_copy(job->failed_workers[job->failed_worker_count++],
			 FFL_NAME_BYTES, w->info.name);
}

static void start_job(ffl_gang_ctx_t *r, const ffl_decision_t *d)
{
	ffl_job_t *job = d->job;

	if (job->state != FFL_JOB_QUEUED || job->end_sent)
		return;
	ffl_job_release_parts(r, job);
	job->incarnation =
		(r->g->authority.epoch << STARTS_BITS) + ++r->g->starts;
	job->parts = g_new0(ffl_part_t, d->place.count);
	job->part_count = d->place.count;
	ffl_job_set_state(r, job, FFL_JOB_HOLDING);
	for (uint32_t i = 0; i < d->place.count; i++) {
		const ffl_block_t *b = &d->place.blocks[i];
		ffl_part_t *p = &job->parts[i];

		ffl_copy(p->worker, sizeof(p->worker), b->worker->info.name);
		p->slots = b->slots;
		p->state = FFL_PART_PENDING;
		p->checkpoint_ms = job->progress_ms;
		p->progress_ms = job->progress_ms;
		p->taken = true;
		ffl_fleet_reserve_slots(r->fleet, b->worker, b->slots);
		ffl_part_send_command(r, job, i, FFL_WCMD_HOLD);
	}
}

static void preempt_job(ffl_gang_ctx_t *r, const ffl_decision_t *d)
{
	if (d->job->state == FFL_JOB_RUNNING)
		ffl_job_stop_parts(r, d->job, d->job->spec.checkpointable);
}

static void refuse_job(ffl_gang_ctx_t *r, const ffl_decision_t *d)
{
	if (d->job->state == FFL_JOB_QUEUED)
		ffl_job_append_end(r, d->job, FFL_END_IMPOSSIBLE, d->why);
}

static void advance_none(ffl_gang_ctx_t *r, ffl_job_t *job)
{
}

static void advance_queued(ffl_gang_ctx_t *r, ffl_job_t *job)
{
	if (job->cancelled) {
		ffl_job_append_end(r, job, FFL_END_CANCELLED, "");
		return;
	}
	if (job->failed_worker_count < FFL_JOB_FAILED_WORKERS_MAX &&
	    job->failures < JOB_FAILURES_MAX)
		return;
	if (!job->end_sent)
		ffl_fleet_clear_job_failures(r->fleet, job->id);
	ffl_job_append_end(r, job, FFL_END_FAILED,
			   "failed on distinct workers");
}

/* Repeats a command to the parts that have not reached a state yet. */
static void repeat_command(ffl_gang_ctx_t *r, ffl_job_t *job, ffl_wcmd_t kind,
			   ffl_part_state_t below)
{
	for (uint32_t i = 0; i < job->part_count; i++) {
		const ffl_part_t *p = &job->parts[i];

		if (p->state < below && r->now_ms - p->asked_ms >= RETRY_MS)
			ffl_part_send_command(r, job, i, kind);
	}
}

/* Marks parts on silent workers as gone once their leases are proven to have
 * lapsed. Returns true if any part is on a silent worker: the gang must stop.
 */
static bool mark_silent_parts(ffl_gang_ctx_t *r, ffl_job_t *job)
{
	bool broken = false;

	for (uint32_t i = 0; i < job->part_count; i++) {
		ffl_part_t *p = &job->parts[i];
		const ffl_worker_t *w = ffl_fleet_find(r->fleet, p->worker);

		if (p->state >= FFL_PART_DONE)
			continue;
		if (!w || !ffl_worker_silent(r, w))
			continue;
		broken = true;
		if (ffl_worker_leases_lapsed(r, w))
			p->state = FFL_PART_GONE;
	}
	return broken;
}

static void advance_holding(ffl_gang_ctx_t *r, ffl_job_t *job)
{
	if (job->cancelled || any_part(job, FFL_PART_GONE) ||
	    must_leave_worker(r, job) ||
	    r->now_ms - job->since_ms > r->g->times.valid_ms) {
		ffl_job_stop_parts(r, job, false);
		return;
	}
	if (!all_parts(job, FFL_PART_HELD)) {
		repeat_command(r, job, FFL_WCMD_HOLD, FFL_PART_HELD);
		return;
	}
	ffl_job_set_state(r, job, FFL_JOB_STARTING);
	for (uint32_t i = 0; i < job->part_count; i++)
		ffl_part_send_command(r, job, i, FFL_WCMD_START);
}

static void advance_starting(ffl_gang_ctx_t *r, ffl_job_t *job)
{
	if (ffl_job_fully_started(job)) {
		ffl_job_set_state(r, job, FFL_JOB_RUNNING);
		ffl_actions_report(
			r->out, FFL_LEVEL_NOTE, "job-started", job->spec.name,
			"job %llu runs on %u workers",
			(unsigned long long)job->id, job->part_count);
		return;
	}
	if (job->cancelled || any_part(job, FFL_PART_GONE) ||
	    must_leave_worker(r, job) ||
	    r->now_ms - job->since_ms > r->g->times.valid_ms) {
		ffl_job_stop_parts(r, job, false);
		return;
	}
	repeat_command(r, job, FFL_WCMD_START, FFL_PART_RUNNING);
}

/* Returns true if the job must leave one of its workers: one that is drained
 * or leaving, if it can be checkpointed or does not run yet; one that is no
 * longer on the host list, in any case. */
static bool must_leave_worker(const ffl_gang_ctx_t *r, const ffl_job_t *job)
{
	for (uint32_t i = 0; i < job->part_count; i++) {
		const ffl_worker_t *w =
			ffl_fleet_find(r->fleet, job->parts[i].worker);

		if (!w || job->parts[i].state >= FFL_PART_DONE)
			continue;
		if (!w->listed &&
		    r->now_ms - w->listed_ms > r->g->times.settle_ms)
			return true;
		if ((w->drained || w->info.leaving) &&
		    (job->spec.checkpointable || job->state != FFL_JOB_RUNNING))
			return true;
	}
	return false;
}

static void stop_stuck_job(ffl_gang_ctx_t *r, ffl_job_t *job)
{
	for (uint32_t i = 0; i < job->part_count; i++) {
		const ffl_part_t *p = &job->parts[i];
		ffl_worker_t *w = ffl_fleet_find(r->fleet, p->worker);

		if (!w || p->state != FFL_PART_RUNNING ||
		    r->now_ms - p->last_progress_ms <= STUCK_MS)
			continue;
		ffl_actions_report(r->out, FFL_LEVEL_WARNING, "job-stuck",
				   job->spec.name,
				   "job %llu on %s: no progress for more than "
				   "%u ms",
				   (unsigned long long)job->id, p->worker,
				   (unsigned)STUCK_MS);
		ffl_job_count_failure(r, job, w);
		ffl_job_stop_parts(r, job, false);
		return;
	}
}

static void advance_running(ffl_gang_ctx_t *r, ffl_job_t *job)
{
	if (all_parts(job, FFL_PART_DONE)) {
		ffl_job_append_end(r, job, FFL_END_DONE, job->result);
		if (job->end_sent)
			ffl_job_release_parts(r, job);
		ffl_job_set_state(r, job, FFL_JOB_RUNNING);
		return;
	}
	if (job->cancelled || any_part(job, FFL_PART_GONE) ||
	    mark_silent_parts(r, job)) {
		ffl_job_stop_parts(r, job, false);
		return;
	}
	if (must_leave_worker(r, job)) {
		ffl_job_stop_parts(r, job, job->spec.checkpointable);
		return;
	}
	stop_stuck_job(r, job);
}

/* A gang resumes from the progress that all of its parts have saved. */
static void update_resume_point(ffl_job_t *job)
{
	uint64_t saved = UINT64_MAX;

	for (uint32_t i = 0; i < job->part_count; i++) {
		if (job->parts[i].checkpoint_ms < saved)
			saved = job->parts[i].checkpoint_ms;
	}
	if (job->part_count && saved > job->progress_ms)
		job->progress_ms = saved;
}

static void advance_stopping(ffl_gang_ctx_t *r, ffl_job_t *job)
{
	mark_silent_parts(r, job);
	for (uint32_t i = 0; i < job->part_count; i++) {
		ffl_part_t *p = &job->parts[i];

		if (!p->worker[0] && r->g->authority.settled)
			p->state = FFL_PART_GONE;
		if (p->state < FFL_PART_DONE) {
			repeat_command(r, job,
				       job->checkpoint_on_stop
					       ? FFL_WCMD_CHECKPOINT
					       : FFL_WCMD_STOP,
				       FFL_PART_DONE);
			return;
		}
	}
	update_resume_point(job);
	ffl_job_release_parts(r, job);
	ffl_job_set_state(r, job, FFL_JOB_QUEUED);
	advance_queued(r, job);
}

/* A gang that is incomplete once every earlier lease is accounted for is
 * stopped. After settle_ms it is stopped also without that proof, so that no
 * part runs on alone for longer. */
static void advance_recovering(ffl_gang_ctx_t *r, ffl_job_t *job)
{
	if (!r->g->authority.settled &&
	    r->now_ms - job->since_ms < r->g->times.settle_ms)
		return;
	if (job->part_count)
		ffl_job_stop_parts(r, job, false);
	else if (r->g->authority.settled)
		ffl_job_set_state(r, job, FFL_JOB_QUEUED);
}

void ffl_job_stop_parts(ffl_gang_ctx_t *r, ffl_job_t *job, bool checkpoint)
{
	job->checkpoint_on_stop = checkpoint;
	ffl_job_set_state(r, job, FFL_JOB_STOPPING);
	for (uint32_t i = 0; i < job->part_count; i++) {
		if (job->parts[i].state < FFL_PART_DONE)
			ffl_part_send_command(r, job, i,
					      checkpoint ? FFL_WCMD_CHECKPOINT
							 : FFL_WCMD_STOP);
	}
}

/* Frees the parts of jobs that a record of the log ended. Tasks that still run
 * show in the full reports of their workers and are stopped then. */
static void clear_ended(ffl_gang_ctx_t *r)
{
	for (guint i = 0; i < r->g->ended_with_parts->len; i++)
		ffl_job_abandon_parts(
			r, g_ptr_array_index(r->g->ended_with_parts, i));
	g_ptr_array_set_size(r->g->ended_with_parts, 0);
}

static void schedule(ffl_gang_ctx_t *r, ffl_sched_t *sched,
		     const ffl_config_t *cfg)
{
	ffl_decision_t d;

	ffl_sched_begin_pass(sched, r->now_ms);
	while (ffl_sched_next(sched, r->g, r->fleet, cfg, r->now_ms, &d))
		decision_handlers[d.kind](r, &d);
}

static void run_pass(ffl_gang_ctx_t *r, ffl_sched_t *sched,
		     const ffl_config_t *cfg)
{
	r->g->dirty = false;
	r->g->pass_at_ms = r->now_ms + FFL_GANG_PASS_MS;
	clear_ended(r);
	ffl_fleet_update_health(r->fleet, r->now_ms);
	for (guint i = 0; i < r->g->open->len; i++) {
		ffl_job_t *job = g_array_index(r->g->open, ffl_job_t *, i);

		if (ffl_job_in_cell(job, r->ms->self.dc))
			state_handlers[job->state](r, job);
	}
	schedule(r, sched, cfg);
}

void ffl_gangs_run(ffl_gangs_t *g, ffl_fleet_t *fleet, const ffl_members_t *ms,
		   const ffl_config_t *cfg, ffl_sched_t *sched, ffl_logc_t *lc,
		   uint64_t now_ms, ffl_actions_t *out)
{
	ffl_gang_ctx_t r = { .g = g,
			     .fleet = fleet,
			     .ms = ms,
			     .lc = lc,
			     .now_ms = now_ms,
			     .out = out };
	bool may_act = ffl_authority_update(&r);

	if (!g->authority.epoch) {
		ffl_deputy_run(&r);
		return;
	}
	ffl_gang_renew_leases(&r, may_act);
	if (may_act && (g->dirty || now_ms >= g->pass_at_ms))
		run_pass(&r, sched, cfg);
}
