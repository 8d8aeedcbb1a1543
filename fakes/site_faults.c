#include <string.h>

#include "fakes/site_int.h"

/** Time in which a host that starts has read the log. */
#define FRESH_HOST_MS 3000

/* Requests that were pending at a killed host never get a reply. */
void site_kill(site_t *s, uint32_t host, uint32_t restart_ms)
{
	site_host_t *h = &s->hosts[host];

	if (!h->alive)
		return;
	for (guint i = 0; i < h->node.pending->len; i++) {
		const ffl_pending_t *p = g_ptr_array_index(h->node.pending, i);
		uint32_t index =
			GPOINTER_TO_UINT(g_hash_table_lookup(
				s->jobs_by_call, GSIZE_TO_POINTER(p->call))) -
			1;

		if (index < s->jobs_count && p->kind == FFL_REQUEST_SUBMIT)
			s->jobs[index].outcome_unknown = true;
	}
	ffl_node_finish(&h->node);
	memset(&h->node, 0, sizeof(h->node));
	h->alive = false;
	h->frozen_until_ms = 0;
	h->restart_ms = s->now_ms + restart_ms + SITE_STEP_MS;
}

void site_stop(site_t *s, uint32_t host)
{
	ffl_node_event_t ev = { .kind = FFL_NODE_EV_STOP };

	if (s->hosts[host].alive)
		site_step_host(s, host, &ev);
}

int site_leader(const site_t *s)
{
	for (uint32_t i = 0; i < s->hosts_count; i++) {
		if (s->hosts[i].alive && s->hosts[i].node.lead.leading)
			return (int)i;
	}
	return -1;
}

void site_settle(site_t *s, uint32_t ms)
{
	s->log_down_until_ms = 0;
	s->log_silent_until_ms = 0;
	s->append_lost_until_ms = 0;
	memset(s->part_down_until_ms, 0, sizeof(s->part_down_until_ms));
	for (uint32_t i = 0; i < s->hosts_count; i++) {
		site_host_t *h = &s->hosts[i];

		h->log_cut_until_ms = 0;
		h->topics_cut = 0;
		if (!h->alive && !h->restart_ms)
			h->restart_ms = s->now_ms;
	}
	for (uint32_t i = 0; i < s->workers_count; i++) {
		task_worker_t *w = &s->workers[i];

		s->worker_cut[i] = false;
		s->hosts_cut[i] = 0;
		w->hangs = false;
		w->draining = false;
		if (!w->alive)
			site_worker_boot(s, i);
	}
	for (uint32_t i = 0; i < SITE_DCS; i++) {
		if (s->evacuated_ms[i])
			site_evacuate(s, i, false);
	}
	site_run(s, ms);
	/* A host that starts knows only what the log says. */
	site_kill(s, site_leader(s) == 0 ? s->hosts_count - 1 : 0, 0);
	site_run(s, FRESH_HOST_MS);
	for (uint32_t i = 0; i < s->jobs_count && !s->violation; i++) {
		const site_job_t *job = &s->jobs[i];
		const ffl_flow_t *flow;

		if (!job->accepted)
			continue;
		for (uint32_t k = 0; k < s->hosts_count; k++) {
			flow = ffl_flows_find(&s->hosts[k].node.flows, job->id);
			if (!flow)
				site_record_violation(
					s, "a host has lost an accepted job",
					job->id);
			else if (flow->visible_state == FFL_FLOW_QUEUED ||
				 flow->visible_state == FFL_FLOW_RUNNING)
				site_record_violation(
					s, "an accepted job did not end",
					job->id);
			if (flow && flow->visible_state == FFL_FLOW_COMPLETED &&
			    g_hash_table_size(job->completed) <
				    flow->tasks_count)
				site_record_violation(s,
						      "reported as completed "
						      "with a task not done",
						      job->id);
		}
	}
}
