#include <stdlib.h>
#include <string.h>

#include "fakes/fake_worker.h"

/** Run time of a task whose payload has no run_ms, in milliseconds. */
#define DEFAULT_RUN_MS 1000
/** Time for which an ended task is reported after its lease has expired. */
#define KEEP_ENDED_MS 60000
#define RUN_KEY	      "run_ms="
/** Payload markers of a task that fails at its start and one that hangs. */
#define FAIL_KEY  "fail"
#define STUCK_KEY "stuck"
/** Progress between two reports, in milliseconds. */
#define PROGRESS_STEP_MS 30000

/** Carries out one command. */
typedef ffl_status_t (*command_fn_t)(fake_worker_t *w,
				     const ffl_worker_cmd_t *cmd,
				     uint64_t now_ms);

static fake_task_t *find_task(fake_worker_t *w, const ffl_worker_cmd_t *cmd);
static ffl_status_t do_renew(fake_worker_t *w, const ffl_worker_cmd_t *cmd,
			     uint64_t now_ms);
static ffl_status_t do_hold(fake_worker_t *w, const ffl_worker_cmd_t *cmd,
			    uint64_t now_ms);
static ffl_status_t do_start(fake_worker_t *w, const ffl_worker_cmd_t *cmd,
			     uint64_t now_ms);
static ffl_status_t do_stop(fake_worker_t *w, const ffl_worker_cmd_t *cmd,
			    uint64_t now_ms);
static ffl_status_t do_checkpoint(fake_worker_t *w, const ffl_worker_cmd_t *cmd,
				  uint64_t now_ms);
static ffl_status_t do_throttle(fake_worker_t *w, const ffl_worker_cmd_t *cmd,
				uint64_t now_ms);
static ffl_status_t do_keep(fake_worker_t *w, const ffl_worker_cmd_t *cmd,
			    uint64_t now_ms);
static bool is_active(const fake_task_t *t);
static void set_state(fake_worker_t *w, fake_task_t *t, ffl_task_state_t state);
static void add_task(fake_worker_t *w, const ffl_worker_cmd_t *cmd,
		     ffl_task_state_t state, uint64_t now_ms);
static void extend_lease(fake_task_t *t, uint64_t until_ms);
static void update_progress(fake_worker_t *w, fake_task_t *t,
			    uint64_t until_ms);
static bool is_current(const fake_worker_t *w, const ffl_worker_cmd_t *cmd,
		       uint64_t now_ms);

static const command_fn_t commands[FFL_WCMD__MAX] = {
	[FFL_WCMD_RENEW] = do_renew,
	[FFL_WCMD_HOLD] = do_hold,
	[FFL_WCMD_START] = do_start,
	[FFL_WCMD_STOP] = do_stop,
	[FFL_WCMD_CHECKPOINT] = do_checkpoint,
	[FFL_WCMD_THROTTLE] = do_throttle,
	[FFL_WCMD_KEEP] = do_keep,
};

void fake_worker_init(fake_worker_t *w, const char *name)
{
	memset(w, 0, sizeof(*w));
	ffl_copy(w->name, sizeof(w->name), name);
	w->boot = 1;
	w->tasks = g_array_new(FALSE, TRUE, sizeof(fake_task_t));
	w->reports = g_array_new(FALSE, TRUE, sizeof(ffl_task_report_t));
}

void fake_worker_finish(fake_worker_t *w)
{
	g_array_free(w->tasks, TRUE);
	g_array_free(w->reports, TRUE);
}

void fake_worker_restart(fake_worker_t *w)
{
	w->boot++;
	g_array_set_size(w->tasks, 0);
}

static fake_task_t *find_task(fake_worker_t *w, const ffl_worker_cmd_t *cmd)
{
	for (guint i = 0; i < w->tasks->len; i++) {
		fake_task_t *t = &g_array_index(w->tasks, fake_task_t, i);

		if (t->report.job == cmd->job &&
		    t->report.incarnation == cmd->incarnation)
			return t;
	}
	return NULL;
}

static bool is_active(const fake_task_t *t)
{
	return t->report.state == FFL_TASK_HELD ||
	       t->report.state == FFL_TASK_RUNNING;
}

static void set_state(fake_worker_t *w, fake_task_t *t, ffl_task_state_t state)
{
	t->report.state = state;
	t->changed_version = ++w->version;
}

static void extend_lease(fake_task_t *t, uint64_t until_ms)
{
	if (until_ms > t->lease_until_ms)
		t->lease_until_ms = until_ms;
}

static void update_progress(fake_worker_t *w, fake_task_t *t, uint64_t until_ms)
{
	if (!t->stuck)
		t->report.progress_ms = until_ms - t->run_from_ms;
	if (t->report.progress_ms >= t->run_ms) {
		ffl_copy(t->report.result, sizeof(t->report.result), "ok");
		set_state(w, t, FFL_TASK_DONE);
		return;
	}
	if (t->report.progress_ms - t->reported_progress_ms < PROGRESS_STEP_MS)
		return;
	t->reported_progress_ms = t->report.progress_ms;
	t->changed_version = ++w->version;
}

void fake_worker_advance(fake_worker_t *w, uint64_t now_ms)
{
	for (guint i = w->tasks->len; i-- > 0;) {
		fake_task_t *t = &g_array_index(w->tasks, fake_task_t, i);
		uint64_t until =
			now_ms < t->lease_until_ms ? now_ms : t->lease_until_ms;

		if (t->report.state == FFL_TASK_RUNNING)
			update_progress(w, t, until);
		if (now_ms < t->lease_until_ms)
			continue;
		if (is_active(t))
			set_state(w, t, FFL_TASK_STOPPED);
		else if (now_ms - t->lease_until_ms > KEEP_ENDED_MS)
			g_array_remove_index(w->tasks, i);
	}
}

static ffl_status_t do_renew(fake_worker_t *w, const ffl_worker_cmd_t *cmd,
			     uint64_t now_ms)
{
	for (guint i = 0; i < w->tasks->len; i++) {
		fake_task_t *t = &g_array_index(w->tasks, fake_task_t, i);

		if (t->report.state == FFL_TASK_RUNNING)
			extend_lease(t, now_ms + cmd->lease_ms);
	}
	return FFL_OK;
}

static ffl_status_t do_keep(fake_worker_t *w, const ffl_worker_cmd_t *cmd,
			    uint64_t now_ms)
{
	fake_task_t *t = find_task(w, cmd);

	if (t && t->report.state == FFL_TASK_RUNNING)
		extend_lease(t, now_ms + cmd->lease_ms);
	return FFL_OK;
}

static void add_task(fake_worker_t *w, const ffl_worker_cmd_t *cmd,
		     ffl_task_state_t state, uint64_t now_ms)
{
	fake_task_t task = { .lease_until_ms = now_ms + cmd->lease_ms };

	task.report.job = cmd->job;
	task.report.incarnation = cmd->incarnation;
	task.report.rank = cmd->rank;
	task.report.members = cmd->members;
	task.report.slots = cmd->slots;
	task.report.state = state;
	task.changed_version = ++w->version;
	g_array_append_val(w->tasks, task);
}

static ffl_status_t do_hold(fake_worker_t *w, const ffl_worker_cmd_t *cmd,
			    uint64_t now_ms)
{
	const fake_task_t *known = find_task(w, cmd);

	if (known)
		return is_active(known) ? FFL_OK : FFL_CONFLICT;
	for (guint i = 0; i < w->tasks->len; i++) {
		const fake_task_t *t = &g_array_index(w->tasks, fake_task_t, i);

		if (is_active(t) && (t->report.slots & cmd->slots))
			return FFL_CONFLICT;
	}
	add_task(w, cmd, FFL_TASK_HELD, now_ms);
	return FFL_OK;
}

static ffl_status_t do_start(fake_worker_t *w, const ffl_worker_cmd_t *cmd,
			     uint64_t now_ms)
{
	fake_task_t *t = find_task(w, cmd);
	const char *run = strstr(cmd->payload, RUN_KEY);

	if (!t)
		return FFL_NOT_FOUND;
	if (t->report.state != FFL_TASK_HELD)
		return FFL_OK;
	t->report.checkpoint_ms = cmd->progress_ms;
	t->report.progress_ms = cmd->progress_ms;
	t->reported_progress_ms = cmd->progress_ms;
	t->stuck = strstr(cmd->payload, STUCK_KEY) != NULL;
	t->run_from_ms = now_ms - cmd->progress_ms;
	t->run_ms = run ? strtoull(run + strlen(RUN_KEY), NULL, 10)
			: DEFAULT_RUN_MS;
	t->lease_until_ms = now_ms + cmd->lease_ms;
	w->starts++;
	set_state(w, t,
		  w->fails_all || strstr(cmd->payload, FAIL_KEY)
			  ? FFL_TASK_FAILED
			  : FFL_TASK_RUNNING);
	return FFL_OK;
}

/* A stop that arrives before its hold leaves a stopped task, so that the late
 * hold is refused. */
static ffl_status_t do_stop(fake_worker_t *w, const ffl_worker_cmd_t *cmd,
			    uint64_t now_ms)
{
	fake_task_t *t = find_task(w, cmd);

	if (!t)
		add_task(w, cmd, FFL_TASK_STOPPED, now_ms);
	else if (is_active(t))
		set_state(w, t, FFL_TASK_STOPPED);
	return FFL_OK;
}

static ffl_status_t do_checkpoint(fake_worker_t *w, const ffl_worker_cmd_t *cmd,
				  uint64_t now_ms)
{
	fake_task_t *t = find_task(w, cmd);

	if (t && t->report.state == FFL_TASK_RUNNING)
		t->report.checkpoint_ms = t->report.progress_ms;
	return do_stop(w, cmd, now_ms);
}

static ffl_status_t do_throttle(fake_worker_t *w, const ffl_worker_cmd_t *cmd,
				uint64_t now_ms)
{
	return find_task(w, cmd) ? FFL_OK : FFL_NOT_FOUND;
}

static bool is_current(const fake_worker_t *w, const ffl_worker_cmd_t *cmd,
		       uint64_t now_ms)
{
	return (!cmd->boot || cmd->boot == w->boot) &&
	       (!cmd->not_after_ms || now_ms <= cmd->not_after_ms);
}

void fake_worker_command(fake_worker_t *w, const ffl_worker_cmd_t *cmd,
			 uint64_t now_ms, ffl_worker_reply_t *reply)
{
	memset(reply, 0, sizeof(*reply));
	reply->status = FFL_DENIED;
	fake_worker_advance(w, now_ms);
	if (cmd->epoch >= w->epoch && cmd->cmd < FFL_WCMD__MAX) {
		w->epoch = cmd->epoch;
		if (cmd->cmd != FFL_WCMD_KEEP)
			w->leader_command_ms = now_ms;
		reply->status = FFL_UNAVAILABLE;
		if (is_current(w, cmd, now_ms)) {
			w->command_epoch = cmd->epoch;
			reply->status = commands[cmd->cmd](w, cmd, now_ms);
		}
	}
	g_array_set_size(w->reports, 0);
	for (guint i = 0; i < w->tasks->len; i++) {
		const fake_task_t *t = &g_array_index(w->tasks, fake_task_t, i);

		if (t->changed_version > cmd->since)
			g_array_append_val(w->reports, t->report);
	}
	reply->epoch = w->epoch;
	reply->boot = w->boot;
	reply->since = cmd->since;
	reply->version = w->version;
	reply->clock_ms = now_ms;
	reply->silent_ms = now_ms - w->leader_command_ms;
	reply->tasks.items = w->reports->data;
	reply->tasks.count = w->reports->len;
}
