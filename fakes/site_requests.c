#include <stdio.h>
#include <string.h>

#include "fakes/site_int.h"

/** Thousandths of a core, and MB, that a task takes for each of its GPUs. */
#define PER_GPU 1000
/** How long a caller waits for an answer. */
#define DEADLINE_MS 3000

static site_job_t *new_job(site_t *s, uint32_t work_ms);
static site_job_t *new_single_step_job(site_t *s, uint32_t tasks, uint32_t gpus,
				       uint32_t work_ms);
static void send_request(site_t *s, uint32_t host, uint32_t job,
			 ffl_request_kind_t what);

static site_job_t *new_job(site_t *s, uint32_t work_ms)
{
	site_job_t *job = &s->jobs[s->jobs_count++];

	g_snprintf(job->id, sizeof(job->id), "%016x", s->jobs_count * 0x9e37u);
	job->work_ms = work_ms;
	job->spec.spec = s->spec_bytes ? g_strnfill(s->spec_bytes, 'x')
				       : g_strdup("spec");
	job->acked_done =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	job->completed =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	job->failures =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return job;
}

static site_job_t *new_single_step_job(site_t *s, uint32_t tasks, uint32_t gpus,
				       uint32_t work_ms)
{
	site_job_t *job = new_job(s, work_ms);

	job->spec.steps_count = 1;
	job->spec.steps = g_new0(ffl_step_t, 1);
	job->spec.tasks_per_occurrence = tasks;
	job->spec.steps[0] = (ffl_step_t){ .tasks = tasks,
					   .cpu_milli = gpus * PER_GPU,
					   .mem_mb = gpus * PER_GPU,
					   .gpus = gpus,
					   .estimate_ms = work_ms };
	return job;
}

uint32_t site_submit(site_t *s, uint32_t host, uint32_t tasks, uint32_t gpus,
		     uint32_t work_ms, bool gang)
{
	if (s->jobs_count == SITE_JOBS_MAX)
		return s->jobs_count - 1;
	new_single_step_job(s, tasks, gpus, work_ms)->spec.steps[0].gang = gang;
	site_resubmit(s, host, s->jobs_count - 1);
	return s->jobs_count - 1;
}

uint32_t site_submit_chain(site_t *s, uint32_t host, uint32_t work_ms)
{
	site_job_t *job;

	if (s->jobs_count == SITE_JOBS_MAX)
		return s->jobs_count - 1;
	job = new_job(s, work_ms);
	job->spec.steps_count = 2;
	job->spec.steps = g_new0(ffl_step_t, 2);
	job->spec.tasks_per_occurrence = 4;
	job->spec.steps[0] = (ffl_step_t){ .tasks = 2,
					   .gpus = 1,
					   .estimate_ms = work_ms,
					   .cpu_milli = PER_GPU };
	job->spec.steps[1] = job->spec.steps[0];
	job->spec.steps[1].prerequisites = 1;
	job->spec.steps[1].first_task = 2;
	site_resubmit(s, host, s->jobs_count - 1);
	return s->jobs_count - 1;
}

uint32_t site_submit_repeated(site_t *s, uint32_t host, uint32_t occurrences,
			      uint64_t interval_ms, uint32_t work_ms)
{
	site_job_t *job;

	if (s->jobs_count == SITE_JOBS_MAX)
		return s->jobs_count - 1;
	job = new_single_step_job(s, 1, 1, work_ms);
	job->spec.occurrences = occurrences;
	job->spec.timed = true;
	job->spec.start_at_ms = s->wall_ms + s->now_ms;
	job->spec.interval_ms = interval_ms;
	site_resubmit(s, host, s->jobs_count - 1);
	return s->jobs_count - 1;
}

static void send_request(site_t *s, uint32_t host, uint32_t job,
			 ffl_request_kind_t what)
{
	site_host_t *h = &s->hosts[host];
	ffl_node_event_t ev = { .kind = FFL_NODE_EV_REQUEST };
	const site_job_t *j = &s->jobs[job];
	ffl_flow_spec_t spec = { .occurrences = 0 };
	char path[64];

	if (!h->alive || h->exited || s->now_ms < h->frozen_until_ms)
		return;
	g_snprintf(path, sizeof(path), "/%s/%s",
		   site_is_top_priority(s, &s->jobs[job]) ? "dew" : "lining",
		   j->id);
	ev.request.call = ++s->next_call;
	ev.request.kind = what;
	ev.request.host = "ponds.example";
	ev.request.path = path;
	ev.request.key = SITE_KEY;
	ev.request.deadline_ms = DEADLINE_MS;
	if (what == FFL_REQUEST_SUBMIT) {
		spec.spec = g_strdup(j->spec.spec);
		spec.occurrences = j->spec.occurrences;
		spec.timed = j->spec.timed;
		spec.start_at_ms = j->spec.start_at_ms;
		spec.interval_ms = j->spec.interval_ms;
		spec.steps_count = j->spec.steps_count;
		spec.steps =
			g_memdup2(j->spec.steps,
				  j->spec.steps_count * sizeof(ffl_step_t));
		ev.request.spec = &spec;
	}
	g_hash_table_insert(s->jobs_by_call, GSIZE_TO_POINTER(ev.request.call),
			    GUINT_TO_POINTER(job + 1));
	site_step_host(s, host, &ev);
	ffl_flow_spec_finish(&spec);
}

/* Nothing is sent to a host that is down or suspended. */
void site_resubmit(site_t *s, uint32_t host, uint32_t job)
{
	const site_host_t *h = &s->hosts[host];

	if (!h->alive || h->exited || s->now_ms < h->frozen_until_ms)
		return;
	send_request(s, host, job, FFL_REQUEST_SUBMIT);
}

void site_cancel(site_t *s, uint32_t host, uint32_t job)
{
	s->jobs[job].cancel_sent = true;
	send_request(s, host, job, FFL_REQUEST_CANCEL);
}

void site_query(site_t *s, uint32_t host, uint32_t job)
{
	send_request(s, host, job, FFL_REQUEST_QUERY);
}

uint64_t site_send(site_t *s, uint32_t host, ffl_request_kind_t kind,
		   const char *path, const char *key, uint32_t gpus)
{
	ffl_node_event_t ev = { .kind = FFL_NODE_EV_REQUEST };
	ffl_flow_spec_t spec = { .spec = g_strdup("spec"), .steps_count = 1 };

	spec.steps = g_new0(ffl_step_t, 1);
	spec.steps[0] = (ffl_step_t){ .tasks = 1,
				      .cpu_milli = gpus * PER_GPU,
				      .mem_mb = gpus * PER_GPU,
				      .gpus = gpus };
	ev.request.call = ++s->next_call;
	ev.request.kind = kind;
	ev.request.host = "ponds.example";
	ev.request.path = path;
	ev.request.key = key;
	ev.request.deadline_ms = s->deadline_ms ? s->deadline_ms : DEADLINE_MS;
	ev.request.spec = kind == FFL_REQUEST_SUBMIT ? &spec : NULL;
	site_step_host(s, host, &ev);
	ffl_flow_spec_finish(&spec);
	return ev.request.call;
}

const ffl_act_response_t *site_answer(site_t *s, uint64_t call)
{
	const ffl_act_response_t *answer = NULL;
	uint64_t until_ms = s->now_ms + DEADLINE_MS;

	while (!(answer = g_hash_table_lookup(s->answers,
					      GSIZE_TO_POINTER(call))) &&
	       s->now_ms < until_ms)
		site_run(s, SITE_STEP_MS);
	return answer;
}
