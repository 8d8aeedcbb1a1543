/**
 * @file sched.c
 * @brief Scheduling passes over the queue of a cell.
 */
#include <string.h>

#include "lib/gang/gang_int.h"
#include "lib/gang/sched_int.h"

/** Longest interval between passes, also if nothing changed, in ms. */
#define PASS_INTERVAL_MS 1000

static bool pass_needed(const ffl_sched_t *s, const ffl_gangs_t *g,
			const ffl_fleet_t *fleet, const ffl_config_t *cfg,
			uint64_t now_ms);
static uint64_t hash_open_workers(const ffl_fleet_t *fleet);
static void begin_pass(ffl_pass_t *p, ffl_fleet_t *fleet);
static bool decide_start(ffl_pass_t *p, ffl_job_t *job,
			 const ffl_region_t *region, const char *why,
			 ffl_decision_t *out);
static void add_claim(ffl_pass_t *p, ffl_job_t *job,
		      const ffl_region_t *region);
static bool decide_job(ffl_pass_t *p, ffl_job_t *job, ffl_decision_t *out);
static void set_blocked_wait(ffl_pass_t *p, ffl_job_t *job);
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

/* A worker may open or close through its health or the time, without a change
 * of the host list. */
static uint64_t hash_open_workers(const ffl_fleet_t *fleet)
{
	uint64_t h = 0;

	for (uint32_t i = 0; i < ffl_fleet_count(fleet); i++)
		h = h * 31 + ffl_worker_schedulable(ffl_fleet_at(fleet, i));
	return h;
}

/* Without a change since the last pass a new one would decide the same. */
static bool pass_needed(const ffl_sched_t *s, const ffl_gangs_t *g,
			const ffl_fleet_t *fleet, const ffl_config_t *cfg,
			uint64_t now_ms)
{
	return !s->had_pass ||
	       s->open_workers_hash != hash_open_workers(fleet) ||
	       s->fleet_version != fleet->version ||
	       s->gangs_version != g->version ||
	       s->config_revision != cfg->revision ||
	       now_ms - s->pass_ms >= PASS_INTERVAL_MS;
}

static void begin_pass(ffl_pass_t *p, ffl_fleet_t *fleet)
{
	ffl_sched_t *s = p->s;

	ffl_space_build(s->space, fleet, s->dc, p->g);
	ffl_preempt_load_order(p);
	ffl_claim_check(p);
	ffl_witness_update(&s->witness, s->space, p->g, p->cfg, s->dc,
			   s->claims);
	ffl_queue_build(p);
	g_hash_table_remove_all(s->failed_shapes);
	s->next_claim = 0;
	s->next_job = 0;
	s->pass_ms = p->now_ms;
	s->open_workers_hash = hash_open_workers(fleet);
	s->had_pass = true;
	s->config_revision = p->cfg->revision;
	s->in_pass = true;
	s->reserve_due = true;
	s->preempted = false;
}

static bool decide_start(ffl_pass_t *p, ffl_job_t *job,
			 const ffl_region_t *region, const char *why,
			 ffl_decision_t *out)
{
	ffl_share_t *share = ffl_queue_share(p, job);

	ffl_claim_drop(p, region);
	out->kind = FFL_DECISION_START;
	out->job = job;
	out->for_job = 0;
	out->why = why;
	ffl_region_to_placement(p->s->space, region, &out->place);
	for (uint32_t i = 0; i < region->count; i++) {
		ffl_space_worker_t *n =
			ffl_space_worker(p->s->space, region->first + i);

		if (!n->w->used &&
		    ffl_space_worker(p->s->space, n->rack)->idle_workers)
			ffl_space_worker(p->s->space, n->rack)->idle_workers--;
		ffl_space_add_owner(p->s->space, region->first + i, job,
				    ffl_region_slots(p->s->space, region, i));
	}
	share->running += job->spec.accelerators;
	if (!job->unit)
		share->above_guarantees += job->spec.accelerators;
	job->wait.kind = FFL_WAIT_NONE;
	return true;
}

static void add_claim(ffl_pass_t *p, ffl_job_t *job, const ffl_region_t *region)
{
	ffl_share_t *share = ffl_queue_share(p, job);

	ffl_claim_add(p, job, region);
	share->running += job->spec.accelerators;
	if (!job->unit)
		share->above_guarantees += job->spec.accelerators;
}

/* Records why a job cannot start, for queries. */
static void set_blocked_wait(ffl_pass_t *p, ffl_job_t *job)
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

/* Tries to start a job: inside its customer's guarantee, on free slots, by
 * preemption. */
static bool decide_job(ffl_pass_t *p, ffl_job_t *job, ffl_decision_t *out)
{
	ffl_region_t region = { .count = 0 };
	bool inside;

	if (ffl_queue_over_quota(p, job)) {
		job->wait.kind = FFL_WAIT_QUOTA;
		return false;
	}
	inside = ffl_reclaim_search(p, job, &region);
	if (inside && ffl_region_is_free(p->s->space, &region))
		return decide_start(p, job, &region,
				    "inside its customer's guarantee", out);
	if (!inside && ffl_free_search(p, job, &region))
		return decide_start(p, job, &region,
				    "next job of the queue that fits", out);
	if (!inside && !ffl_urgent_search(p, job, &region)) {
		set_blocked_wait(p, job);
		return false;
	}
	add_claim(p, job, &region);
	return ffl_claim_next(p, out);
}

/* The job with the reservation is tried before the queue. If it cannot start,
 * its region is reserved; if the policy moves work and moving alone would free
 * the region now, it is claimed instead. */
static bool decide_reserved(ffl_pass_t *p, ffl_decision_t *out)
{
	ffl_job_t *job = ffl_reserve_choose_job(p);
	ffl_region_t region;

	ffl_reserve_clear(p);
	if (!job)
		return false;
	p->s->reservation.job = job->id;
	if (decide_job(p, job, out)) {
		ffl_reserve_clear(p);
		return true;
	}
	ffl_reserve_clear(p);
	if (job->wait.kind == FFL_WAIT_QUOTA ||
	    job->wait.kind == FFL_WAIT_PREEMPTION)
		return false;
	ffl_reserve_earliest(p, job);
	if (!p->s->reservation.job || !p->s->policy->migrates ||
	    p->s->reservation.expected_start_ms > p->now_ms)
		return false;
	region = p->s->reservation.region;
	ffl_reserve_clear(p);
	add_claim(p, job, &region);
	return ffl_claim_next(p, out);
}

static bool decide_queue(ffl_pass_t *p, ffl_decision_t *out)
{
	ffl_sched_t *s = p->s;

	while (s->next_job < s->queue->len) {
		ffl_candidate_t *c = &g_array_index(s->queue, ffl_candidate_t,
						    s->next_job++);
		ffl_job_t *job = c->job;
		ffl_policy_input_t r;

		if (!ffl_sched_job_waiting(s, job) ||
		    s->reservation.job == job->id ||
		    job->wait.kind == FFL_WAIT_PREEMPTION)
			continue;
		job->wait.jobs_ahead = s->next_job - 1;
		if (decide_job(p, job, out))
			return true;
		r = ffl_queue_rank(p, job);
		if (s->policy->in_order && !s->reservation.job &&
		    job->wait.kind == FFL_WAIT_BLOCK &&
		    s->policy->reservation_priority(&r, job))
			ffl_reserve_earliest(p, job);
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
		s->pass_due = pass_needed(s, g, fleet, cfg, now_ms);
		if (!s->pass_due)
			return false;
		begin_pass(&p, fleet);
	}
	if (next_decision(&p, out)) {
		s->preempted =
			s->preempted || out->kind == FFL_DECISION_PREEMPT;
		return true;
	}

	s->pass_due = false;
	/* After a preemption the next pass must not be skipped: the preempted
	 * job is queued again. */
	s->fleet_version = fleet->version - s->preempted;
	s->gangs_version = g->version;
	return false;
}
