/**
 * @file cold.c
 * @brief Workers that run slowly for a while after a start or an evacuation.
 */
#include "lib/dispatch/dispatch_int.h"

#define MILLI 1000
/** Weight of a new sample in the rate of cold workers, in percent. Progress in
 * whole percent makes a sample of a second err by a tenth or more. */
#define SAMPLE_WEIGHT_PERCENT 10
/** Bounds of a sample, in thousandths: a step of a progress in whole percent
 * may be of 0 or of 2 in a window. */
#define SAMPLE_MIN_MILLI 100
#define SAMPLE_MAX_MILLI 2000
/** Interval at which it is noticed that workers have become warm. */
#define WATCH_MS 1000
/** Most lines on workers that become cold or warm in such an interval: those of
 * a rack, as a data centre has hundreds of workers. */
#define LINES_MAX 20

static void note_change(ffl_dispatch_t *d, const ffl_dispatch_worker_t *w,
			const char *event, uint64_t ms);

bool ffl_worker_was_cold(const ffl_dispatch_worker_t *w, uint64_t from_ms,
			 uint64_t to_ms)
{
	return from_ms < w->cold_until_ms && to_ms >= w->cold_since_ms;
}

bool ffl_worker_is_cold(const ffl_dispatch_worker_t *w, uint64_t now_ms)
{
	return ffl_worker_was_cold(w, now_ms, now_ms);
}

uint64_t ffl_cold_until_ms(uint32_t left_ms, uint64_t age_ms, uint64_t now_ms)
{
	return left_ms > age_ms ? now_ms + left_ms - age_ms : 0;
}

uint64_t ffl_cold_extra_ms(uint64_t left_ms, uint64_t run_ms,
			   uint32_t rate_milli)
{
	uint64_t all_cold_ms;

	if (!rate_milli || rate_milli >= MILLI)
		return 0;
	all_cold_ms = run_ms * MILLI / rate_milli;
	return MIN(left_ms, all_cold_ms) * (MILLI - rate_milli) / MILLI;
}

uint32_t ffl_cold_rate(const ffl_dispatch_t *d)
{
	return d->cold_milli ? MIN(d->cold_milli, MILLI) : MILLI;
}

void ffl_cold_learn(ffl_dispatch_t *d, uint32_t cold, uint32_t warm)
{
	uint64_t sample;
	uint64_t old = d->cold_milli ? d->cold_milli : MILLI;

	if (!cold || !warm)
		return;
	sample = CLAMP((uint64_t)cold * MILLI / warm, SAMPLE_MIN_MILLI,
		       SAMPLE_MAX_MILLI);
	d->cold_milli = (uint32_t)((old * (PERCENT - SAMPLE_WEIGHT_PERCENT) +
				    sample * SAMPLE_WEIGHT_PERCENT) /
				   PERCENT);
}

uint64_t ffl_cold_delay_ms(const ffl_dispatch_t *d,
			   const ffl_dispatch_worker_t *w,
			   const ffl_place_request_t *req)
{
	if (!ffl_worker_is_cold(w, req->now_ms))
		return 0;
	return ffl_cold_extra_ms(
		w->cold_until_ms - req->now_ms,
		ffl_rank_expected_run_ms(d, req->flow, req->step_index),
		ffl_cold_rate(d));
}

static void note_change(ffl_dispatch_t *d, const ffl_dispatch_worker_t *w,
			const char *event, uint64_t ms)
{
	if (d->cold_lines >= LINES_MAX) {
		d->cold_unsaid++;
		return;
	}
	d->cold_lines++;
	ffl_dispatch_note(d, event, w->entry.id,
			  "dc=%s ms=%" PRIu64 " runs=%u rate=%u cold=%u "
			  "unsaid=%u",
			  w->entry.dc, ms, w->runs->len, ffl_cold_rate(d),
			  d->cold_workers, d->cold_unsaid);
	d->cold_unsaid = 0;
}

void ffl_cold_update(ffl_dispatch_t *d, ffl_dispatch_worker_t *w,
		     uint64_t now_ms)
{
	const ffl_worker_entry_t *entry = &w->entry;
	uint64_t age_ms = 0;
	bool was_cold = ffl_worker_is_cold(w, now_ms);
	uint64_t until_ms;

	if (w->clock_reported && entry->clock_ms) {
		uint64_t clock_ms = w->clock_ms + now_ms - w->clock_read_ms;

		age_ms = clock_ms - MIN(clock_ms, entry->clock_ms);
	}
	until_ms = ffl_cold_until_ms(entry->cold_left_ms, age_ms, now_ms);
	if (!until_ms) {
		w->cold_until_ms = MIN(w->cold_until_ms, now_ms);
		return;
	}
	w->cold_until_ms = until_ms;
	if (was_cold)
		return;
	w->cold_since_ms = now_ms;
	d->cold_workers += !w->cold_noted;
	w->cold_noted = true;
	note_change(d, w, "worker-cold", until_ms - now_ms);
}

void ffl_cold_watch(ffl_dispatch_t *d, uint64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	if (now_ms - d->cold_watched_ms < WATCH_MS)
		return;
	d->cold_watched_ms = now_ms;
	d->cold_lines = 0;
	if (!d->cold_workers)
		return;
	d->cold_workers = 0;
	g_hash_table_iter_init(&iter, d->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		ffl_dispatch_worker_t *w = value;
		bool noted = w->cold_noted;

		w->cold_noted = w->listed && ffl_worker_is_cold(w, now_ms);
		d->cold_workers += w->cold_noted;
		if (noted && !w->cold_noted && w->listed)
			note_change(d, w, "worker-warm",
				    now_ms - w->cold_since_ms);
	}
}
