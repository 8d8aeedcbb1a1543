#include <string.h>

#include "fireflyledge/fleet.h"

/** Distinct jobs that fail on a worker before it is quarantined. */
#define FAULTS_MAX 2
/** Rest after one failure, and quarantine, doubled each time up to a bound. */
#define REST_MS		   10000
#define QUARANTINE_MS	   60000
#define QUARANTINE_MAX_MS  960000
#define QUARANTINE_DOUBLES 4
/** Largest part of a cell's workers that may be out for their health. */
#define OUT_PERCENT_MAX 25

static bool may_take_out(const ffl_fleet_t *fleet, const ffl_worker_t *w);
static bool out(const ffl_worker_t *w);
static void note_fault(ffl_worker_t *w, uint64_t job);
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

static bool out(const ffl_worker_t *w)
{
	return w->health == FFL_HEALTH_RESTING ||
	       w->health == FFL_HEALTH_QUARANTINED;
}

/* At least one worker may be out, and never more than the cell can spare. */
static bool may_take_out(const ffl_fleet_t *fleet, const ffl_worker_t *w)
{
	uint32_t total = 0;
	uint32_t gone = 0;

	if (out(w))
		return true;
	for (uint32_t i = 0; i < ffl_fleet_count(fleet); i++) {
		const ffl_worker_t *other = ffl_fleet_at(fleet, i);

		if (!other->listed || strcmp(other->info.dc, w->info.dc) != 0)
			continue;
		total++;
		gone += out(other);
	}
	return total > 1 &&
	       (gone == 0 || (gone + 1) * 100 <= total * OUT_PERCENT_MAX);
}

static void note_fault(ffl_worker_t *w, uint64_t job)
{
	for (uint32_t i = 0; i < w->fault_count; i++) {
		if (w->faults[i] == job)
			return;
	}
	if (w->fault_count < FFL_WORKER_FAULTS_MAX)
		w->faults[w->fault_count++] = job;
}

static void quarantine(ffl_worker_t *w, uint64_t now_ms)
{
	uint32_t shift =
		w->rounds < QUARANTINE_DOUBLES ? w->rounds : QUARANTINE_DOUBLES;
	uint64_t ms = (uint64_t)QUARANTINE_MS << shift;

	w->health = FFL_HEALTH_QUARANTINED;
	w->rounds++;
	w->closed_until_ms =
		now_ms + (ms < QUARANTINE_MAX_MS ? ms : QUARANTINE_MAX_MS);
}

void ffl_fleet_failed(ffl_fleet_t *fleet, ffl_worker_t *w, uint64_t job,
		      uint64_t now_ms)
{
	note_fault(w, job);
	if (!may_take_out(fleet, w))
		return;
	if (w->fault_count >= FAULTS_MAX || w->health == FFL_HEALTH_PROBING) {
		quarantine(w, now_ms);
		return;
	}
	w->health = FFL_HEALTH_RESTING;
	w->closed_until_ms = now_ms + REST_MS;
}

void ffl_fleet_succeeded(ffl_fleet_t *fleet, ffl_worker_t *w)
{
	if (out(w))
		return;
	w->health = FFL_HEALTH_GOOD;
	w->fault_count = 0;
	w->rounds = 0;
}

void ffl_fleet_acquit(ffl_fleet_t *fleet, uint64_t job)
{
	for (uint32_t i = 0; i < ffl_fleet_count(fleet); i++) {
		ffl_worker_t *w = ffl_fleet_at(fleet, i);
		uint32_t kept = 0;

		for (uint32_t k = 0; k < w->fault_count; k++) {
			if (w->faults[k] != job)
				w->faults[kept++] = w->faults[k];
		}
		if (kept == w->fault_count)
			continue;
		w->fault_count = kept;
		if (kept < FAULTS_MAX) {
			w->health = FFL_HEALTH_GOOD;
			w->rounds = 0;
		}
	}
}

void ffl_fleet_run_health(ffl_fleet_t *fleet, uint64_t now_ms)
{
	for (uint32_t i = 0; i < ffl_fleet_count(fleet); i++) {
		ffl_worker_t *w = ffl_fleet_at(fleet, i);

		if (!out(w) || now_ms < w->closed_until_ms)
			continue;
		w->health = w->health == FFL_HEALTH_QUARANTINED
				    ? FFL_HEALTH_PROBING
				    : FFL_HEALTH_GOOD;
	}
}
