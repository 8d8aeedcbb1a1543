#include <string.h>

#include "fakes/gang_watch.h"

/** Time between two checks. */
#define CHECK_INTERVAL_MS 100

static bool is_idle(const world_t *w);
static void on_command(world_t *w, uint32_t worker, const ffl_worker_cmd_t *cmd,
		       ffl_status_t status);
static void advance_workers(world_t *w);
static watched_gang_t *find_gang(gang_watch_t *gw,
				 const ffl_task_report_t *task);
static uint32_t count_tasks(const world_t *w, const watched_gang_t *g,
			    ffl_task_state_t state);
static void check_one_incarnation(gang_watch_t *gw, const world_t *w);
static void check_partial_gang(gang_watch_t *gw, const world_t *w,
			       watched_gang_t *g);
static void check_gangs(gang_watch_t *gw, const world_t *w);
static void update_leaving(gang_watch_t *gw, const world_t *w);
static void update_leader(gang_watch_t *gw, const world_t *w);

void gang_watch_init(gang_watch_t *gw, world_t *w)
{
	memset(gw, 0, sizeof(*gw));
	gw->gangs = g_array_new(FALSE, TRUE, sizeof(watched_gang_t));
	w->on_command = on_command;
	w->on_command_arg = gw;
}

void gang_watch_finish(gang_watch_t *gw)
{
	g_array_free(gw->gangs, TRUE);
}

static void advance_workers(world_t *w)
{
	for (uint32_t i = 0; i < w->worker_count; i++)
		fake_worker_advance(&w->workers[i], w->now_ms);
}

static watched_gang_t *find_gang(gang_watch_t *gw,
				 const ffl_task_report_t *task)
{
	watched_gang_t gang = { .job = task->job,
				.incarnation = task->incarnation };

	for (guint i = 0; i < gw->gangs->len; i++) {
		watched_gang_t *g =
			&g_array_index(gw->gangs, watched_gang_t, i);

		if (g->job == task->job && g->incarnation == task->incarnation)
			return g;
	}
	g_array_append_val(gw->gangs, gang);
	return &g_array_index(gw->gangs, watched_gang_t, gw->gangs->len - 1);
}

static uint32_t count_tasks(const world_t *w, const watched_gang_t *g,
			    ffl_task_state_t state)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < w->worker_count; i++) {
		for (guint k = 0; k < w->workers[i].tasks->len; k++) {
			const fake_task_t *t = &g_array_index(
				w->workers[i].tasks, fake_task_t, k);

			n += t->report.job == g->job &&
			     t->report.incarnation == g->incarnation &&
			     t->report.state == state;
		}
	}
	return n;
}

/* A job must not have running tasks of two incarnations. */
static void check_one_incarnation(gang_watch_t *gw, const world_t *w)
{
	for (guint i = 0; i < gw->gangs->len; i++) {
		const watched_gang_t *a =
			&g_array_index(gw->gangs, watched_gang_t, i);

		if (!count_tasks(w, a, FFL_TASK_RUNNING))
			continue;
		for (guint k = i + 1; k < gw->gangs->len; k++) {
			const watched_gang_t *b =
				&g_array_index(gw->gangs, watched_gang_t, k);

			if (a->job == b->job &&
			    count_tasks(w, b, FFL_TASK_RUNNING))
				gw->violation = "two incarnations of a job run";
		}
	}
}

/* An incomplete gang must not run for longer than the bound. */
static void check_partial_gang(gang_watch_t *gw, const world_t *w,
			       watched_gang_t *g)
{
	uint32_t bound_ms =
		GANG_WATCH_PARTIAL_LEASES * w->hosts[0].opt.times.lease_ms;
	uint32_t running = count_tasks(w, g, FFL_TASK_RUNNING);
	uint32_t done = count_tasks(w, g, FFL_TASK_DONE);
	uint32_t members = 0;
	uint64_t since;

	for (uint32_t i = 0; i < w->worker_count; i++) {
		for (guint k = 0; k < w->workers[i].tasks->len; k++) {
			const fake_task_t *t = &g_array_index(
				w->workers[i].tasks, fake_task_t, k);

			if (t->report.job == g->job &&
			    t->report.incarnation == g->incarnation)
				members = t->report.members;
		}
	}
	if (members && running + done == members) {
		g->was_complete = true;
		g->partial_since_ms = 0;
		return;
	}
	if (g->was_complete && gw->forbid_broken_gangs && members)
		gw->violation = "a running gang was cut short";
	if (!running) {
		g->partial_since_ms = 0;
		return;
	}
	if (!g->partial_since_ms)
		g->partial_since_ms = w->now_ms;
	since = g->partial_since_ms > gw->stable_since_ms ? g->partial_since_ms
							  : gw->stable_since_ms;
	if (w->now_ms - since > bound_ms)
		gw->violation = "a part of a gang ran alone beyond the bound";
}

static void check_gangs(gang_watch_t *gw, const world_t *w)
{
	for (uint32_t i = 0; i < w->worker_count; i++) {
		for (guint k = 0; k < w->workers[i].tasks->len; k++)
			find_gang(gw, &g_array_index(w->workers[i].tasks,
						     fake_task_t, k)
					       .report);
	}
	for (guint i = 0; i < gw->gangs->len; i++)
		check_partial_gang(
			gw, w, &g_array_index(gw->gangs, watched_gang_t, i));
	check_one_incarnation(gw, w);
}

static void update_leaving(gang_watch_t *gw, const world_t *w)
{
	for (uint32_t i = 0; i < w->visible_count; i++) {
		for (uint32_t k = 0; k < w->worker_count; k++) {
			if (strcmp(w->visible_infos[i].name,
				   w->workers[k].name) != 0)
				continue;
			if (!w->visible_infos[i].leaving)
				gw->leaving_ms[k] = 0;
			else if (!gw->leaving_ms[k])
				gw->leaving_ms[k] = w->now_ms;
		}
	}
}

/* The bound counts from the last time without a leader that may act. */
static void update_leader(gang_watch_t *gw, const world_t *w)
{
	bool led = false;

	for (uint32_t i = 0; i < w->host_count; i++) {
		const world_host_t *h = &w->hosts[i];

		if (h->alive && h->paused_until_ms <= w->now_ms &&
		    ffl_gangs_may_act(&h->host.gangs))
			led = true;
	}
	if (!led)
		gw->stable_since_ms = w->now_ms;
}

static void on_command(world_t *w, uint32_t worker, const ffl_worker_cmd_t *cmd,
		       ffl_status_t status)
{
	gang_watch_t *gw = w->on_command_arg;
	uint32_t starts = w->workers[worker].starts;

	if (status != FFL_DENIED && cmd->epoch > gw->epoch) {
		gw->epoch = cmd->epoch;
		gw->stable_since_ms = w->now_ms;
	}
	if (starts == gw->starts[worker])
		return;
	gw->starts[worker] = starts;
	if (gw->leaving_ms[worker] &&
	    w->now_ms - gw->leaving_ms[worker] > GANG_WATCH_LEAVE_MS)
		gw->violation = "a leaving worker got new work";
	advance_workers(w);
	check_gangs(gw, w);
}

void gang_watch_run(gang_watch_t *gw, world_t *w, uint32_t ms)
{
	uint64_t end_ms = w->now_ms + ms;

	while (w->now_ms < end_ms && !gw->violation) {
		world_run(w, CHECK_INTERVAL_MS);
		update_leaving(gw, w);
		update_leader(gw, w);
		advance_workers(w);
		check_gangs(gw, w);
	}
}

static bool is_idle(const world_t *w)
{
	uint64_t end = fake_log_end(&w->log);

	for (uint32_t i = 0; i < w->host_count; i++) {
		const ffl_host_t *h = &w->hosts[i].host;

		/* What came to a paused host while it slept is still to come.
		 */
		if (w->hosts[i].alive &&
		    (w->hosts[i].paused_until_ms > w->now_ms ||
		     h->gangs.open->len || h->logc.next_offset < end ||
		     !h->caught_up || !ffl_logc_idle(&h->logc)))
			return false;
	}
	return true;
}

void gang_watch_finish_jobs(gang_watch_t *gw, world_t *w, uint32_t ms)
{
	uint64_t end_ms = w->now_ms + ms;

	do
		gang_watch_run(gw, w, 10 * CHECK_INTERVAL_MS);
	while (w->now_ms < end_ms && !gw->violation && !is_idle(w));
}

uint64_t gang_watch_submit(world_t *w, uint32_t host, uint32_t accelerators,
			   uint32_t run_ms, const char *extra)
{
	char body[256];

	g_snprintf(body, sizeof(body),
		   "{\"name\":\"job-%u\",\"accelerators\":%u,"
		   "\"adjacency\":\"%s\",\"payload\":\"run_ms=%u\"%s}",
		   (unsigned int)w->next_id, accelerators,
		   accelerators > 8 ? "rack" : "worker", run_ms, extra);
	return world_command(w, host, FFL_CMD_SUBMIT, "token", "", body);
}

const char *gang_watch_check_ends(world_t *w, const GArray *commands)
{
	for (guint i = 0; i < commands->len; i++) {
		const world_answer_t *a =
			world_answer(w, g_array_index(commands, uint64_t, i));
		const ffl_job_t *first = NULL;
		json_t *json;
		uint64_t id;

		if (!a || a->http_status != 201)
			continue;
		json = json_loads(a->body, 0, NULL);
		id = (uint64_t)json_integer_value(json_object_get(json, "id"));
		json_decref(json);
		for (uint32_t k = 0; k < w->host_count; k++) {
			const ffl_job_t *job =
				ffl_gangs_find(&w->hosts[k].host.gangs, id);

			if (!job)
				return "an accepted job was lost";
			if (job->state != FFL_JOB_ENDED)
				return "a job did not end";
			if (first && first->end != job->end)
				return "hosts differ on a job's end";
			first = job;
		}
		if (first->end == FFL_END_DONE || first->cancelled)
			continue;
		return "a job that can run did not complete";
	}
	return NULL;
}
