#include <string.h>

#include "lib/gang/gang_int.h"
#include "lib/gang/sched_int.h"

/** Time after which a pass is made even if nothing changed, in ms. */
#define PASS_MS 1000

static bool due(const ffl_sched_t *s, const ffl_gangs_t *g,
		const ffl_fleet_t *fleet, const ffl_config_t *cfg,
		uint64_t now_ms);
static uint64_t open_hash(const ffl_fleet_t *fleet);
static void read_in(ffl_pass_t *p, ffl_fleet_t *fleet);
static bool start(ffl_pass_t *p, ffl_job_t *job, const ffl_region_t *at,
		  const char *why, ffl_decision_t *out);
static void claim(ffl_pass_t *p, ffl_job_t *job, const ffl_region_t *at);
static bool decide(ffl_pass_t *p, ffl_job_t *job, ffl_decision_t *out);
static void explain_blocked(ffl_pass_t *p, ffl_job_t *job);
static bool decide_reserved(ffl_pass_t *p, ffl_decision_t *out);
static bool decide_queue(ffl_pass_t *p, ffl_decision_t *out);
static bool next_decision(ffl_pass_t *p, ffl_decision_t *out);

void ffl_sched_init(ffl_sched_t *s, const char *dc)
{
	memset(s, 0, sizeof(*s));
	ffl_copy(s->dc, sizeof(s->dc), dc);
	s->policy = ffl_policy(FFL_POLICY_FAIR);
	ffl_witness_init(&s->witness);
	s->space = g_new0(ffl_space_t, 1);
	ffl_space_init(s->space);
	s->claims = g_array_new(FALSE, TRUE, sizeof(ffl_claim_t));
	s->queue = g_array_new(FALSE, TRUE, sizeof(ffl_candidate_t));
	s->shares = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					  g_free);
	s->failed_shapes = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 g_free, NULL);
	s->preemption_order = g_ptr_array_new_with_free_func(g_free);
}

void ffl_sched_finish(ffl_sched_t *s)
{
	g_ptr_array_free(s->preemption_order, TRUE);
	g_hash_table_destroy(s->failed_shapes);
	g_hash_table_destroy(s->shares);
	g_array_free(s->queue, TRUE);
	g_array_free(s->claims, TRUE);
	ffl_space_finish(s->space);
	g_free(s->space);
	ffl_witness_finish(&s->witness);
}

void ffl_sched_set_policy(ffl_sched_t *s, ffl_policy_id_t policy)
{
	s->policy = ffl_policy(policy);
}

void ffl_sched_begin_pass(ffl_sched_t *s, uint64_t now_ms)
{
	s->pass_due = true;
	s->in_pass = false;
}

/* Which workers are open depends on health and time besides the list. */
static uint64_t open_hash(const ffl_fleet_t *fleet)
{
	uint64_t h = 0;

	for (uint32_t i = 0; i < ffl_fleet_count(fleet); i++)
		h = h * 31 + ffl_worker_open(ffl_fleet_at(fleet, i));
	return h;
}

/* A pass without any change since the last would decide the same. */
static bool due(const ffl_sched_t *s, const ffl_gangs_t *g,
		const ffl_fleet_t *fleet, const ffl_config_t *cfg,
		uint64_t now_ms)
{
	return !s->had_pass || s->open_workers_hash != open_hash(fleet) ||
	       s->fleet_version != fleet->version ||
	       s->gangs_version != g->version ||
	       s->config_revision != cfg->revision ||
	       now_ms - s->pass_ms >= PASS_MS;
}

static void read_in(ffl_pass_t *p, ffl_fleet_t *fleet)
{
	ffl_sched_t *s = p->s;

	ffl_space_build(s->space, fleet, s->dc, p->g);
	ffl_yield_load(p);
	ffl_claim_check(p);
	ffl_witness_update(&s->witness, s->space, p->g, p->cfg, s->dc,
			   s->claims);
	ffl_queue_build(p);
	g_hash_table_remove_all(s->failed_shapes);
	s->next_claim = 0;
	s->next_job = 0;
	s->pass_ms = p->now_ms;
	s->open_workers_hash = open_hash(fleet);
	s->had_pass = true;
	s->config_revision = p->cfg->revision;
	s->in_pass = true;
	s->reserve_due = true;
	s->preempted = false;
}

static bool start(ffl_pass_t *p, ffl_job_t *job, const ffl_region_t *at,
		  const char *why, ffl_decision_t *out)
{
	ffl_share_t *share = ffl_queue_share(p, job);

	ffl_claim_drop(p, at);
	out->kind = FFL_DECISION_START;
	out->job = job;
	out->for_job = 0;
	out->why = why;
	ffl_region_place(p->s->space, at, &out->place);
	for (uint32_t i = 0; i < at->count; i++) {
		ffl_node_t *n = ffl_node(p->s->space, at->first + i);

		if (!n->w->used && ffl_node(p->s->space, n->rack)->fresh)
			ffl_node(p->s->space, n->rack)->fresh--;
		ffl_space_own(p->s->space, at->first + i, job,
			      ffl_region_slots(p->s->space, at, i));
	}
	share->running += job->spec.accelerators;
	if (!job->unit)
		share->above += job->spec.accelerators;
	job->wait.kind = FFL_WAIT_NONE;
	return true;
}

static void claim(ffl_pass_t *p, ffl_job_t *job, const ffl_region_t *at)
{
	ffl_share_t *share = ffl_queue_share(p, job);

	ffl_claim_add(p, job, at);
	share->running += job->spec.accelerators;
	if (!job->unit)
		share->above += job->spec.accelerators;
}

/* Notes why a job cannot start, for those who ask. */
static void explain_blocked(ffl_pass_t *p, ffl_job_t *job)
{
	const ffl_reservation_t *res = &p->s->reservation;

	job->wait.kind = FFL_WAIT_BLOCK;
	job->wait.job = 0;
	job->wait.expected_start_ms = 0;
	if (!res->job || res->job == job->id)
		return;
	job->wait.kind = FFL_WAIT_BEHIND;
	job->wait.job = res->job;
	job->wait.expected_start_ms = res->expected_start_ms;
}

/* Tries a job: inside its guarantee, on free slots, by stopping others. */
static bool decide(ffl_pass_t *p, ffl_job_t *job, ffl_decision_t *out)
{
	ffl_region_t at = { .count = 0 };
	bool inside;

	if (ffl_queue_over_quota(p, job)) {
		job->wait.kind = FFL_WAIT_QUOTA;
		return false;
	}
	inside = ffl_reclaim_search(p, job, &at);
	if (inside && ffl_region_free(p->s->space, &at))
		return start(p, job, &at, "inside its guarantee", out);
	if (!inside && ffl_free_search(p, job, &at))
		return start(p, job, &at, "next in the queue that fits", out);
	if (!inside && !ffl_urgent_search(p, job, &at)) {
		explain_blocked(p, job);
		return false;
	}
	claim(p, job, &at);
	return ffl_claim_next(p, out);
}

/* The job with the reservation goes before all that is not urgent. */
static bool decide_reserved(ffl_pass_t *p, ffl_decision_t *out)
{
	ffl_job_t *job = ffl_reserve_choose(p);
	ffl_region_t at;

	ffl_reserve_clear(p);
	if (!job)
		return false;
	p->s->reservation.job = job->id;
	if (decide(p, job, out)) {
		ffl_reserve_clear(p);
		return true;
	}
	ffl_reserve_clear(p);
	if (job->wait.kind == FFL_WAIT_QUOTA ||
	    job->wait.kind == FFL_WAIT_PREEMPTION)
		return false;
	ffl_reserve(p, job);
	if (!p->s->reservation.job || !p->s->policy->moves ||
	    p->s->reservation.expected_start_ms > p->now_ms)
		return false;
	at = p->s->reservation.region;
	ffl_reserve_clear(p);
	claim(p, job, &at);
	return ffl_claim_next(p, out);
}

static bool decide_queue(ffl_pass_t *p, ffl_decision_t *out)
{
	ffl_sched_t *s = p->s;

	while (s->next_job < s->queue->len) {
		ffl_candidate_t *c = &g_array_index(s->queue, ffl_candidate_t,
						    s->next_job++);
		ffl_job_t *job = c->job;
		ffl_rank_t r;

		if (!ffl_sched_waiting(s, job) ||
		    s->reservation.job == job->id ||
		    job->wait.kind == FFL_WAIT_PREEMPTION)
			continue;
		job->wait.jobs_ahead = s->next_job - 1;
		if (decide(p, job, out))
			return true;
		r = ffl_queue_rank(p, job);
		if (s->policy->in_order && !s->reservation.job &&
		    job->wait.kind == FFL_WAIT_BLOCK &&
		    s->policy->reserve(&r, job))
			ffl_reserve(p, job);
	}
	return false;
}

static bool next_decision(ffl_pass_t *p, ffl_decision_t *out)
{
	if (ffl_claim_next(p, out))
		return true;
	if (p->s->reserve_due) {
		p->s->reserve_due = decide_reserved(p, out);
		if (p->s->reserve_due)
			return true;
	}
	return decide_queue(p, out);
}

bool ffl_sched_next(ffl_sched_t *s, ffl_gangs_t *g, ffl_fleet_t *fleet,
		    const ffl_config_t *cfg, uint64_t now_ms,
		    ffl_decision_t *out)
{
	ffl_pass_t p = { .s = s, .g = g, .cfg = cfg, .now_ms = now_ms };

	if (!s->pass_due)
		return false;
	if (!s->in_pass) {
		s->pass_due = due(s, g, fleet, cfg, now_ms);
		if (!s->pass_due)
			return false;
		read_in(&p, fleet);
	}
	if (next_decision(&p, out)) {
		s->preempted =
			s->preempted || out->kind == FFL_DECISION_PREEMPT;
		return true;
	}

	s->pass_due = false;
	/* Work that was stopped is queued again and has its turn at once. */
	s->fleet_version = fleet->version - s->preempted;
	s->gangs_version = g->version;
	return false;
}
