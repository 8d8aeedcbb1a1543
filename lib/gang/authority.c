/**
 * @file authority.c
 * @brief This host's authority to command its cell's workers.
 *
 * A leader may act while the log or a quorum of workers has recently proved
 * that no later leader exists.
 */
#include <string.h>

#include "lib/gang/gang_int.h"

/** Divisors of the lease for the intervals that are derived from it. */
#define RENEW_DIV     6
#define AUTHORITY_DIV 3
#define VALID_DIV     2
/** Bound on the drift of two clocks over a lease: an eighth of it. */
#define DRIFT_DIV 8
/** Share of a cell's workers that a quorum needs. Any two quorums have a
 * worker in common as long as their host lists differ by less than a fifth. */
#define QUORUM_PERCENT 60
/** Longest lag of the platform's host list, and how long lists must have been
 * seen to know the workers that vanished from it with work, in ms. */
#define LIST_LAG_MS	2000
#define LIST_HISTORY_MS 30000

static bool accepted_recently(const ffl_gang_ctx_t *r, const ffl_worker_t *w);
static bool all_workers_read(const ffl_gang_ctx_t *r);
static void begin_leading(ffl_gang_ctx_t *r, uint64_t epoch);
static void recover_job(ffl_gang_ctx_t *r, ffl_job_t *job, bool same_epoch);
static void end_leading(ffl_gang_ctx_t *r);
static void reset_worker(ffl_gang_ctx_t *r, ffl_worker_t *w);
static void reset_silent_workers(ffl_gang_ctx_t *r);
static void update_quorum(ffl_gang_ctx_t *r);
static bool authority_proven(const ffl_gang_ctx_t *r);

void ffl_gang_times_init(ffl_gang_times_t *times, uint32_t lease_ms)
{
	uint32_t drift_ms = lease_ms / DRIFT_DIV;

	times->lease_ms = lease_ms;
	times->renew_ms = lease_ms / RENEW_DIV;
	times->authority_ms = lease_ms / AUTHORITY_DIV;
	times->valid_ms = lease_ms / VALID_DIV;
	times->lapse_ms = times->valid_ms + lease_ms + drift_ms;
	times->settle_ms = times->authority_ms + times->lapse_ms;
}

bool ffl_worker_in_own_cell(const ffl_gang_ctx_t *r, const ffl_worker_t *w)
{
	return strcmp(w->info.dc, r->ms->self.dc) == 0;
}

bool ffl_authority_quorum(const ffl_gang_ctx_t *r,
			  bool (*test)(const ffl_gang_ctx_t *r,
				       const ffl_worker_t *w))
{
	uint32_t total = 0;
	uint32_t passed = 0;

	for (uint32_t i = 0; i < ffl_fleet_count(r->fleet); i++) {
		const ffl_worker_t *w = ffl_fleet_at(r->fleet, i);

		if (!w->listed || !ffl_worker_in_own_cell(r, w))
			continue;
		total++;
		passed += test(r, w);
	}
	return total && passed * 100 >= total * QUORUM_PERCENT;
}

static bool accepted_recently(const ffl_gang_ctx_t *r, const ffl_worker_t *w)
{
	return w->proved_ms &&
	       r->now_ms - w->proved_ms <= r->g->times.authority_ms;
}

bool ffl_worker_silent(const ffl_gang_ctx_t *r, const ffl_worker_t *w)
{
	uint64_t from = w->replied_ms;

	if (r->g->authority.since_ms > from)
		from = r->g->authority.since_ms;
	return r->now_ms - from > r->g->times.lapse_ms;
}

/* A quorum that has accepted this epoch for settle_ms excludes that another
 * leader or deputy has renewed a lease on the silent worker. */
bool ffl_worker_leases_lapsed(const ffl_gang_ctx_t *r, const ffl_worker_t *w)
{
	const ffl_authority_t *a = &r->g->authority;

	return ffl_worker_silent(r, w) && a->quorum_since_ms &&
	       r->now_ms - a->quorum_since_ms >= r->g->times.settle_ms;
}

/* Returns true if the full report of every worker that may run a task of an
 * earlier leader was read. */
static bool all_workers_read(const ffl_gang_ctx_t *r)
{
	const ffl_authority_t *a = &r->g->authority;

	if (!a->first_list_ms ||
	    a->since_ms - a->first_list_ms < LIST_HISTORY_MS ||
	    a->since_ms < a->first_list_ms ||
	    r->now_ms - a->since_ms < LIST_LAG_MS)
		return false;
	for (uint32_t i = 0; i < ffl_fleet_count(r->fleet); i++) {
		const ffl_worker_t *w = ffl_fleet_at(r->fleet, i);

		if (ffl_worker_in_own_cell(r, w) && !w->adopted)
			return false;
	}
	return true;
}

static void reset_worker(ffl_gang_ctx_t *r, ffl_worker_t *w)
{
	if (!ffl_worker_in_own_cell(r, w))
		return;
	ffl_fleet_release_slots(r->fleet, w, w->foreign);
	w->foreign = 0;
	w->adopted = false;
	w->version = 0;
	w->proved_ms = 0;
}

/* A job that an earlier leader may have started must be accounted for before
 * it starts again. Where this host leads the same epoch again it no longer
 * knows what it started itself, so this holds for every job. */
static void recover_job(ffl_gang_ctx_t *r, ffl_job_t *job, bool same_epoch)
{
	if (!ffl_job_in_cell(job, r->ms->self.dc) ||
	    (!same_epoch && job->assigned_offset > r->g->authority.epoch))
		return;
	ffl_job_set_state(r, job, FFL_JOB_RECOVERING);
}

static void begin_leading(ffl_gang_ctx_t *r, uint64_t epoch)
{
	ffl_authority_t *a = &r->g->authority;
	bool same_epoch = a->begun_epoch == epoch;

	a->epoch = epoch;
	a->begun_epoch = epoch;
	a->first_call = r->g->next_call;
	a->since_ms = r->now_ms;
	a->quorum_since_ms = 0;
	a->held = true;
	a->settled = false;
	g_array_set_size(r->g->deputy_tasks, 0);
	for (uint32_t i = 0; i < ffl_fleet_count(r->fleet); i++) {
		ffl_worker_t *w = ffl_fleet_at(r->fleet, i);

		reset_worker(r, w);
		w->asked_ms = 0;
	}
	for (guint i = 0; i < r->g->open->len; i++)
		recover_job(r, g_array_index(r->g->open, ffl_job_t *, i),
			    same_epoch);
	ffl_actions_report(r->out, FFL_LEVEL_NOTE, "leading", r->ms->self.dc,
			   "epoch %llu", (unsigned long long)epoch);
}

static void end_leading(ffl_gang_ctx_t *r)
{
	ffl_actions_report(r->out, FFL_LEVEL_NOTE, "superseded", r->ms->self.dc,
			   "epoch %llu",
			   (unsigned long long)r->g->authority.epoch);
	r->g->authority.epoch = 0;
	r->g->authority.held = false;
	for (guint i = 0; i < r->g->open->len; i++) {
		ffl_job_t *job = g_array_index(r->g->open, ffl_job_t *, i);

		ffl_job_release_parts(r, job);
		job->end_sent = false;
		ffl_job_set_state(r, job, FFL_JOB_QUEUED);
	}
	for (guint i = 0; i < r->g->ended_with_parts->len; i++)
		ffl_job_release_parts(
			r, g_ptr_array_index(r->g->ended_with_parts, i));
	g_ptr_array_set_size(r->g->ended_with_parts, 0);
	for (uint32_t i = 0; i < ffl_fleet_count(r->fleet); i++)
		reset_worker(r, ffl_fleet_at(r->fleet, i));
}

static void update_quorum(ffl_gang_ctx_t *r)
{
	ffl_authority_t *a = &r->g->authority;

	if (!ffl_authority_quorum(r, accepted_recently))
		a->quorum_since_ms = 0;
	else if (!a->quorum_since_ms)
		a->quorum_since_ms = r->now_ms;
}

/* Returns true if either the log, read to its end, or a quorum of workers has
 * recently shown that there is no later leader. */
static bool authority_proven(const ffl_gang_ctx_t *r)
{
	return r->now_ms - r->lc->caught_up_ms <= r->g->times.authority_ms ||
	       r->g->authority.quorum_since_ms;
}

/* A silent worker gets no new work until its full report was read again. */
static void reset_silent_workers(ffl_gang_ctx_t *r)
{
	for (uint32_t i = 0; i < ffl_fleet_count(r->fleet); i++) {
		ffl_worker_t *w = ffl_fleet_at(r->fleet, i);

		if (!w->adopted || !ffl_worker_in_own_cell(r, w) ||
		    r->now_ms - w->replied_ms <= r->g->times.valid_ms)
			continue;
		w->adopted = false;
		w->version = 0;
	}
}

bool ffl_authority_update(ffl_gang_ctx_t *r)
{
	uint64_t epoch = ffl_members_own_epoch(r->ms, r->ms->self.dc);
	ffl_authority_t *a = &r->g->authority;

	if (a->fenced_epoch > epoch)
		epoch = 0;
	if (a->epoch != epoch) {
		if (a->epoch)
			end_leading(r);
		if (epoch)
			begin_leading(r, epoch);
	}
	if (!epoch)
		return false;
	update_quorum(r);
	if (!authority_proven(r)) {
		a->held = false;
		return false;
	}
	if (!a->held) {
		a->held = true;
		a->since_ms = r->now_ms;
		a->quorum_since_ms = 0;
	}
	reset_silent_workers(r);
	if (!a->settled &&
	    (all_workers_read(r) ||
	     (a->quorum_since_ms &&
	      r->now_ms - a->quorum_since_ms >= r->g->times.settle_ms))) {
		a->settled = true;
		ffl_actions_report(
			r->out, FFL_LEVEL_NOTE, "settled", r->ms->self.dc,
			"after %llu ms",
			(unsigned long long)(r->now_ms - a->since_ms));
	}
	return true;
}

bool ffl_gangs_may_act(const ffl_gangs_t *g)
{
	return g->authority.epoch && g->authority.held;
}

void ffl_gangs_copy_local(ffl_gangs_t *fresh, const ffl_gangs_t *old)
{
	fresh->next_call = old->next_call;
	fresh->starts = old->starts;
	fresh->authority.first_call = old->next_call;
	fresh->authority.begun_epoch = old->authority.begun_epoch;
	fresh->authority.fenced_epoch = old->authority.fenced_epoch;
}

void ffl_gangs_on_host_list(ffl_gangs_t *g, uint64_t now_ms)
{
	if (!g->authority.first_list_ms)
		g->authority.first_list_ms = now_ms;
}
