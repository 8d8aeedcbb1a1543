#include <string.h>

#include "lib/gang/gang_int.h"

/** Divisors of the lease for the times that are derived from it. */
#define RENEW_DIV     6
#define AUTHORITY_DIV 3
#define VALID_DIV     2
/** Bound on the difference of two clocks' rates over a lease. */
#define DRIFT_DIV 8
/** Part of a cell's workers that a quorum needs. Any two quorums share a
 * worker as long as the two lists differ by less than a fifth. */
#define QUORUM_PERCENT 60
/** Longest lag of the platform's list, and history that covers workers that
 * vanished from it with work. */
#define LIST_LAG_MS	2000
#define LIST_HISTORY_MS 30000

static bool accepts(const ffl_gang_run_t *r, const ffl_worker_t *w);
static bool all_heard(const ffl_gang_run_t *r);
static void begin(ffl_gang_run_t *r, uint64_t epoch);
static void begin_job(ffl_gang_run_t *r, ffl_job_t *job, bool again);
static void end(ffl_gang_run_t *r);
static void forget_worker(ffl_gang_run_t *r, ffl_worker_t *w);
static void watch_workers(ffl_gang_run_t *r);
static void watch_quorum(ffl_gang_run_t *r);
static bool proven(const ffl_gang_run_t *r);

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

bool ffl_worker_ours(const ffl_gang_run_t *r, const ffl_worker_t *w)
{
	return strcmp(w->info.dc, r->ms->self.dc) == 0;
}

bool ffl_authority_quorum(const ffl_gang_run_t *r,
			  bool (*test)(const ffl_gang_run_t *r,
				       const ffl_worker_t *w))
{
	uint32_t total = 0;
	uint32_t passed = 0;

	for (uint32_t i = 0; i < ffl_fleet_count(r->fleet); i++) {
		const ffl_worker_t *w = ffl_fleet_at(r->fleet, i);

		if (!w->listed || !ffl_worker_ours(r, w))
			continue;
		total++;
		passed += test(r, w);
	}
	return total && passed * 100 >= total * QUORUM_PERCENT;
}

static bool accepts(const ffl_gang_run_t *r, const ffl_worker_t *w)
{
	return w->proved_ms &&
	       r->now_ms - w->proved_ms <= r->g->times.authority_ms;
}

bool ffl_worker_silent(const ffl_gang_run_t *r, const ffl_worker_t *w)
{
	uint64_t from = w->replied_ms;

	if (r->g->authority.since_ms > from)
		from = r->g->authority.since_ms;
	return r->now_ms - from > r->g->times.lapse_ms;
}

/* A quorum that has accepted this epoch for so long excludes that another
 * leader or keeper has renewed anything on the silent worker. */
bool ffl_worker_lapsed(const ffl_gang_run_t *r, const ffl_worker_t *w)
{
	const ffl_authority_t *a = &r->g->authority;

	return ffl_worker_silent(r, w) && a->quorum_since_ms &&
	       r->now_ms - a->quorum_since_ms >= r->g->times.settle_ms;
}

static bool all_heard(const ffl_gang_run_t *r)
{
	const ffl_authority_t *a = &r->g->authority;

	if (!a->first_list_ms ||
	    a->since_ms - a->first_list_ms < LIST_HISTORY_MS ||
	    a->since_ms < a->first_list_ms ||
	    r->now_ms - a->since_ms < LIST_LAG_MS)
		return false;
	for (uint32_t i = 0; i < ffl_fleet_count(r->fleet); i++) {
		const ffl_worker_t *w = ffl_fleet_at(r->fleet, i);

		if (ffl_worker_ours(r, w) && !w->adopted)
			return false;
	}
	return true;
}

static void forget_worker(ffl_gang_run_t *r, ffl_worker_t *w)
{
	if (!ffl_worker_ours(r, w))
		return;
	ffl_fleet_release(r->fleet, w, w->foreign);
	w->foreign = 0;
	w->adopted = false;
	w->version = 0;
	w->proved_ms = 0;
}

/* A job that an earlier leader may have started must be accounted for; so
 * must every job where this host has lost sight of what it started itself. */
static void begin_job(ffl_gang_run_t *r, ffl_job_t *job, bool again)
{
	if (!ffl_job_in_cell(job, r->ms->self.dc) ||
	    (!again && job->assigned_offset > r->g->authority.epoch))
		return;
	ffl_job_set_state(r, job, FFL_JOB_RECOVERING);
}

static void begin(ffl_gang_run_t *r, uint64_t epoch)
{
	ffl_authority_t *a = &r->g->authority;
	bool again = a->begun_epoch == epoch;

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

		forget_worker(r, w);
		w->asked_ms = 0;
	}
	for (guint i = 0; i < r->g->open->len; i++)
		begin_job(r, g_array_index(r->g->open, ffl_job_t *, i), again);
	ffl_actions_report(r->out, FFL_LEVEL_NOTE, "leading", r->ms->self.dc,
			   "epoch %llu", (unsigned long long)epoch);
}

static void end(ffl_gang_run_t *r)
{
	ffl_actions_report(r->out, FFL_LEVEL_NOTE, "superseded", r->ms->self.dc,
			   "epoch %llu",
			   (unsigned long long)r->g->authority.epoch);
	r->g->authority.epoch = 0;
	r->g->authority.held = false;
	for (guint i = 0; i < r->g->open->len; i++) {
		ffl_job_t *job = g_array_index(r->g->open, ffl_job_t *, i);

		ffl_job_release(r, job);
		job->end_sent = false;
		ffl_job_set_state(r, job, FFL_JOB_QUEUED);
	}
	for (guint i = 0; i < r->g->ended_with_parts->len; i++)
		ffl_job_release(r,
				g_ptr_array_index(r->g->ended_with_parts, i));
	g_ptr_array_set_size(r->g->ended_with_parts, 0);
	for (uint32_t i = 0; i < ffl_fleet_count(r->fleet); i++)
		forget_worker(r, ffl_fleet_at(r->fleet, i));
}

static void watch_quorum(ffl_gang_run_t *r)
{
	ffl_authority_t *a = &r->g->authority;

	if (!ffl_authority_quorum(r, accepts))
		a->quorum_since_ms = 0;
	else if (!a->quorum_since_ms)
		a->quorum_since_ms = r->now_ms;
}

/* The log, read to its end, or the workers show that no later leader acts. */
static bool proven(const ffl_gang_run_t *r)
{
	return r->now_ms - r->lc->proved_ms <= r->g->times.authority_ms ||
	       r->g->authority.quorum_since_ms;
}

/* A silent worker takes nothing new and is read in full when it is back. */
static void watch_workers(ffl_gang_run_t *r)
{
	for (uint32_t i = 0; i < ffl_fleet_count(r->fleet); i++) {
		ffl_worker_t *w = ffl_fleet_at(r->fleet, i);

		if (!w->adopted || !ffl_worker_ours(r, w) ||
		    r->now_ms - w->replied_ms <= r->g->times.valid_ms)
			continue;
		w->adopted = false;
		w->version = 0;
	}
}

bool ffl_authority_run(ffl_gang_run_t *r)
{
	uint64_t epoch = ffl_members_epoch(r->ms, r->ms->self.dc);
	ffl_authority_t *a = &r->g->authority;

	if (a->fenced_epoch > epoch)
		epoch = 0;
	if (a->epoch != epoch) {
		if (a->epoch)
			end(r);
		if (epoch)
			begin(r, epoch);
	}
	if (!epoch)
		return false;
	watch_quorum(r);
	if (!proven(r)) {
		a->held = false;
		return false;
	}
	if (!a->held) {
		a->held = true;
		a->since_ms = r->now_ms;
		a->quorum_since_ms = 0;
	}
	watch_workers(r);
	if (!a->settled && (all_heard(r) || (a->quorum_since_ms &&
					     r->now_ms - a->quorum_since_ms >=
						     r->g->times.settle_ms))) {
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
