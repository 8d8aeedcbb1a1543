/*
 * Oracle: a task whose turn has come does not wait for long while there is
 * room. As in RULES.md (LOST), there is room if the task, or its gang, fits
 * twice and less than half of the usable capacity is in use.
 */
#include <string.h>

#include "fakes/site_int.h"

/** Time between checks. */
#define CHECK_MS 100
/** Lowest rate of a worker's clock, and margin of a leader that waits for a
 * lease to end. */
#define CLOCK_SLOW_PERCENT 98
#define LEASE_SLACK_MS	   150
/** A superseded leader extends leases for this long. */
#define LEASE_EXTENSION_MS 3000
/** Longest time for which nothing is placed on a worker after failures. */
#define QUARANTINE_MS 4000
/** Longest renew order, and longest delay before the next one. */
#define RENEWAL_MS 3200
#define PERCENT	   100

static uint64_t lease_max_ms(const ffl_dispatch_options_t *opt);
static uint64_t wait_max_ms(const ffl_dispatch_options_t *opt);
static int calm_leader(const site_t *s);
static bool is_usable(const site_t *s, uint32_t worker, uint32_t leader);
static bool has_room(const site_t *s, const site_job_t *job, uint32_t step,
		     uint32_t leader);
static bool has_run(const site_t *s, const char *task, size_t length);
static bool may_run_late(const site_t *s, const site_job_t *job, uint32_t task,
			 const ffl_dispatch_options_t *opt);
static size_t task_name(const site_job_t *job, uint32_t task,
			char out[FFL_TASK_NAME_BYTES]);
static uint32_t step_of(const site_job_t *job, uint32_t task);
static bool waits(const site_t *s, const site_job_t *job, uint32_t task,
		  uint32_t leader);
static bool waits_for_adviser(const site_t *s, const site_job_t *job,
			      uint32_t leader);

static uint64_t lease_max_ms(const ffl_dispatch_options_t *opt)
{
	return (uint64_t)opt->lease_max_ms * PERCENT / CLOCK_SLOW_PERCENT +
	       LEASE_SLACK_MS;
}

static uint64_t wait_max_ms(const ffl_dispatch_options_t *opt)
{
	return lease_max_ms(opt) + LEASE_EXTENSION_MS + QUARANTINE_MS +
	       RENEWAL_MS + 3 * (uint64_t)opt->heartbeat_ms;
}

/* Returns the newest leader if it works and reaches the log, or -1. */
static int calm_leader(const site_t *s)
{
	int leader = -1;
	const site_host_t *h;

	if (s->now_ms < s->log_down_until_ms ||
	    s->now_ms < s->log_silent_until_ms ||
	    s->now_ms < s->append_lost_until_ms || s->append_ms ||
	    site_is_part_down(s))
		return -1;
	for (uint32_t i = 0; i < s->hosts_count; i++) {
		h = &s->hosts[i];
		if (h->alive && !h->exited && h->node.lead.leading &&
		    (leader < 0 ||
		     h->node.lead.token > s->hosts[leader].node.lead.token))
			leader = (int)i;
	}
	if (leader < 0)
		return -1;
	h = &s->hosts[leader];
	return s->now_ms < h->frozen_until_ms ||
			       s->now_ms < h->log_cut_until_ms ||
			       s->now_ms < h->jobs_lag_until_ms || h->topics_cut
		       ? -1
		       : leader;
}

bool site_is_calm(const site_t *s)
{
	int leader = calm_leader(s);

	if (leader < 0 || s->now_ms < s->orders_late_until_ms)
		return false;
	for (uint32_t i = 0; i < s->workers_count; i++) {
		if (s->worker_cut[i] || s->hosts_cut[i] >> leader & 1)
			return false;
	}
	return true;
}

static bool is_usable(const site_t *s, uint32_t worker, uint32_t leader)
{
	const task_worker_t *w = &s->workers[worker];
	const uint64_t *at = g_hash_table_lookup(s->reported_ms, w->id);
	ffl_name_t service;

	site_service_name(s->service, service);
	return w->alive && strcmp(w->service, service) == 0 && at &&
	       *at >= w->boot_ms && !w->draining &&
	       !s->evacuated_ms[worker % SITE_DCS] && !w->hangs &&
	       !s->worker_cut[worker] && !(s->hosts_cut[worker] >> leader & 1);
}

static bool has_room(const site_t *s, const site_job_t *job, uint32_t step,
		     uint32_t leader)
{
	const ffl_step_t *st = &job->spec.steps[step];
	bool advised = s->tickets_required && site_is_top_priority(s, job);
	uint64_t places = 0;
	uint64_t used = 0;
	uint64_t capacity = 0;
	char name[FFL_TASK_NAME_BYTES];

	g_snprintf(name, sizeof(name), "%s.0.%u", job->id, step);
	for (uint32_t i = 0; i < s->workers_count; i++) {
		const task_worker_t *w = &s->workers[i];
		uint32_t free = w->capacity.gpus - w->used.gpus;

		if (!is_usable(s, i, leader))
			continue;
		used += w->used.gpus;
		capacity += w->capacity.gpus;
		if (!advised || !site_is_denied(s, name, i))
			places += free / st->gpus;
	}
	return places >= 2 * (st->gang ? st->tasks : 1) && used * 2 < capacity;
}

/* Returns true if a run of the task, or with a shorter prefix of its gang, is
 * on a worker. */
static bool has_run(const site_t *s, const char *task, size_t length)
{
	for (uint32_t i = 0; i < s->workers_count; i++) {
		const task_worker_t *w = &s->workers[i];

		for (guint k = 0; w->alive && k < w->runs->len; k++) {
			const task_run_t *r = g_ptr_array_index(w->runs, k);

			if (strncmp(r->task, task, length) == 0)
				return true;
		}
	}
	return false;
}

/* Returns true if an incarnation that no leader knows may run the task, or its
 * gang, by a start order that got no answer. As in RULES.md (TWICE), which has
 * no time bound, no leader may start it again then. */
static bool may_run_late(const site_t *s, const site_job_t *job, uint32_t task,
			 const ffl_dispatch_options_t *opt)
{
	char prefix[FFL_TASK_NAME_BYTES];
	size_t length = task_name(job, task, prefix);
	uint64_t max_ms =
		FFL_START_REACH_MS + opt->order_late_max_ms + lease_max_ms(opt);
	GHashTableIter iter;
	gpointer name;
	gpointer at;

	g_hash_table_iter_init(&iter, s->unanswered_ms);
	while (g_hash_table_iter_next(&iter, &name, &at)) {
		if (strncmp(name, prefix, length) == 0 &&
		    s->now_ms - *(uint64_t *)at <= max_ms)
			return true;
	}
	return false;
}

/* Formats the name of a task; returns its length, or that of the prefix which
 * the tasks of its gang share. */
static size_t task_name(const site_job_t *job, uint32_t task,
			char out[FFL_TASK_NAME_BYTES])
{
	uint32_t step = step_of(job, task);
	const ffl_step_t *st = &job->spec.steps[step];
	size_t length = (size_t)g_snprintf(out, FFL_TASK_NAME_BYTES, "%s.0.%u.",
					   job->id, step);

	g_snprintf(out + length, FFL_TASK_NAME_BYTES - length, "%u",
		   task - st->first_task);
	return st->gang ? length : FFL_TASK_NAME_BYTES;
}

static uint32_t step_of(const site_job_t *job, uint32_t task)
{
	return job->spec.steps_count > 1 &&
	       task >= job->spec.steps[1].first_task;
}

static bool waits(const site_t *s, const site_job_t *job, uint32_t task,
		  uint32_t leader)
{
	uint32_t step = step_of(job, task);
	char name[FFL_TASK_NAME_BYTES];
	size_t length;

	for (uint32_t i = 0; step && i < job->spec.steps[0].tasks; i++) {
		g_snprintf(name, sizeof(name), "%s.0.0.%u", job->id, i);
		if (!g_hash_table_contains(job->acked_done, name))
			return false;
	}
	length = task_name(job, task, name);
	if (g_hash_table_contains(job->completed, name))
		return false;
	return !has_run(s, name, length) && has_room(s, job, step, leader);
}

/* The adviser takes the calls of a host in turn, and goes on with those of a
 * process that has ended: the host can neither wait for less nor know of them.
 */
static bool waits_for_adviser(const site_t *s, const site_job_t *job,
			      uint32_t leader)
{
	return s->tickets_required && site_is_top_priority(s, job) &&
	       s->now_ms < s->hosts[leader].adviser_busy_ms;
}

void site_watch_waiting(site_t *s)
{
	int leader = calm_leader(s);
	const ffl_dispatch_options_t *opt;
	const ffl_lead_t *lead;
	uint64_t advice_ms;
	uint64_t max_ms;

	if (s->now_ms % CHECK_MS)
		return;
	if (leader < 0 || s->hosts[leader].node.lead.token != s->watched_token)
		for (uint32_t i = 0; i < s->jobs_count; i++)
			memset(s->jobs[i].waits_ms, 0,
			       sizeof(s->jobs[i].waits_ms));
	if (leader < 0)
		return;
	lead = &s->hosts[leader].node.lead;
	s->watched_token = lead->token;
	opt = &s->hosts[leader].node.opt.dispatch;
	max_ms = wait_max_ms(opt);
	for (uint32_t i = 0; i < s->jobs_count; i++) {
		site_job_t *job = &s->jobs[i];
		uint32_t tasks =
			MIN(job->spec.tasks_per_occurrence, SITE_WATCHED_TASKS);

		if (!job->accepted || job->cancel_sent || job->fails)
			continue;
		advice_ms = site_is_top_priority(s, job)
				    ? site_advice_backlog_ms(s)
				    : 0;
		for (uint32_t k = 0; k < tasks; k++) {
			if (!waits(s, job, k, (uint32_t)leader))
				job->waits_ms[k] = 0;
			else if (!job->waits_ms[k])
				job->waits_ms[k] = s->now_ms;
			else if (may_run_late(s, job, k, opt) ||
				 waits_for_adviser(s, job, (uint32_t)leader))
				job->waits_ms[k] += CHECK_MS;
			else if (s->now_ms - job->waits_ms[k] >
				 max_ms + advice_ms)
				site_record_violation(
					s,
					"a task waits although there is room",
					job->id);
		}
	}
}
