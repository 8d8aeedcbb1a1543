/**
 * @file health.c
 * @brief Health of workers: rests, quarantines and probes.
 */
#include <string.h>

#include "fireflyledge/fleet.h"

/** Distinct failed jobs at which a worker is quarantined. */
#define QUARANTINE_FAILED_JOBS 2
/** Rest after one failure, and quarantine, in ms. Each quarantine since the
 * health was last good doubles the next, up to a bound. */
#define REST_MS			 10000
#define QUARANTINE_MS		 60000
#define QUARANTINE_MAX_MS	 960000
#define QUARANTINE_DOUBLINGS_MAX 4
/** Largest share of a cell's workers that may rest or be quarantined, in
 * percent. */
#define SUSPENDED_PERCENT_MAX 25

static bool may_suspend(const ffl_fleet_t *fleet, const ffl_worker_t *w);
static bool is_suspended(const ffl_worker_t *w);
static void record_failed_job(ffl_worker_t *w, uint64_t job);
static void quarantine(ffl_worker_t *w, uint64_t now_ms);

static const char *const health_names[FFL_HEALTH__MAX] = {
	[FFL_HEALTH_GOOD] = "good",
	[FFL_HEALTH_RESTING] = "resting",
	[FFL_HEALTH_QUARANTINED] = "quarantined",
	[FFL_HEALTH_PROBING] = "probing",
};

const char *ffl_health_name(uint32_t health)
{
	return health < FFL_HEALTH__MAX ? health_names[health] : "?";
}

static bool is_suspended(const ffl_worker_t *w)
{
	return w->health == FFL_HEALTH_RESTING ||
	       w->health == FFL_HEALTH_QUARANTINED;
}

/* Returns true if the worker may rest or be quarantined. One worker of a cell
 * of two or more always may; further ones up to SUSPENDED_PERCENT_MAX, so that
 * the cell keeps enough capacity. */
static bool may_suspend(const ffl_fleet_t *fleet, const ffl_worker_t *w)
{
	uint32_t total = 0;
	uint32_t suspended = 0;

	if (is_suspended(w))
		return true;
	for (uint32_t i = 0; i < ffl_fleet_count(fleet); i++) {
		const ffl_worker_t *other = ffl_fleet_at(fleet, i);

		if (!other->listed || strcmp(other->info.dc, w->info.dc) != 0)
			continue;
		total++;
		suspended += is_suspended(other);
	}
	return total > 1 &&
	       (suspended == 0 ||
		(suspended + 1) * 100 <= total * SUSPENDED_PERCENT_MAX);
}

static void record_failed_job(ffl_worker_t *w, uint64_t job)
{
	for (uint32_t i = 0; i < w->failed_job_count; i++) {
		if (w->failed_jobs[i] == job)
			return;
	}
	if (w->failed_job_count < FFL_WORKER_FAILED_JOBS_MAX)
		w->failed_jobs[w->failed_job_count++] = job;
}

static void quarantine(ffl_worker_t *w, uint64_t now_ms)
{
	uint32_t shift = w->quarantine_count < QUARANTINE_DOUBLINGS_MAX
				 ? w->quarantine_count
				 : QUARANTINE_DOUBLINGS_MAX;
	uint64_t ms = (uint64_t)QUARANTINE_MS << shift;

	w->health = FFL_HEALTH_QUARANTINED;
	w->quarantine_count++;
	w->unavailable_until_ms =
		now_ms + (ms < QUARANTINE_MAX_MS ? ms : QUARANTINE_MAX_MS);
}

void ffl_fleet_record_failure(ffl_fleet_t *fleet, ffl_worker_t *w, uint64_t job,
			      uint64_t now_ms)
{
	record_failed_job(w, job);
	if (!may_suspend(fleet, w))
		return;
	if (w->failed_job_count >= QUARANTINE_FAILED_JOBS ||
	    w->health == FFL_HEALTH_PROBING) {
		quarantine(w, now_ms);
		return;
	}
	w->health = FFL_HEALTH_RESTING;
	w->unavailable_until_ms = now_ms + REST_MS;
}

void ffl_fleet_record_success(ffl_fleet_t *fleet, ffl_worker_t *w)
{
	if (is_suspended(w))
		return;
	w->health = FFL_HEALTH_GOOD;
	w->failed_job_count = 0;
	w->quarantine_count = 0;
}

void ffl_fleet_clear_job_failures(ffl_fleet_t *fleet, uint64_t job)
{
	for (uint32_t i = 0; i < ffl_fleet_count(fleet); i++) {
		ffl_worker_t *w = ffl_fleet_at(fleet, i);
		uint32_t kept = 0;

		for (uint32_t k = 0; k < w->failed_job_count; k++) {
			if (w->failed_jobs[k] != job)
				w->failed_jobs[kept++] = w->failed_jobs[k];
		}
		if (kept == w->failed_job_count)
			continue;
		w->failed_job_count = kept;
		if (kept < QUARANTINE_FAILED_JOBS) {
			w->health = FFL_HEALTH_GOOD;
			w->quarantine_count = 0;
		}
	}
}

void ffl_fleet_update_health(ffl_fleet_t *fleet, uint64_t now_ms)
{
	for (uint32_t i = 0; i < ffl_fleet_count(fleet); i++) {
		ffl_worker_t *w = ffl_fleet_at(fleet, i);

		if (!is_suspended(w) || now_ms < w->unavailable_until_ms)
			continue;
		w->health = w->health == FFL_HEALTH_QUARANTINED
				    ? FFL_HEALTH_PROBING
				    : FFL_HEALTH_GOOD;
	}
}
