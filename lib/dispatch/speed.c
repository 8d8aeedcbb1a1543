#include "lib/dispatch/dispatch_int.h"

/** Shortest window for measuring a rate. Reports come about once a second. */
#define WINDOW_MS 700
/** Rates are in thousandths of a percent a second, speeds in thousandths of the
 * mean worker's. */
#define MILLI 1000
/** Weight of a new sample in a mean, in percent. Tasks of a gang have equal
 * work; tasks of other steps have so only on average. */
#define GANG_WEIGHT_PERCENT 30
#define TASK_WEIGHT_PERCENT 5
/** Bounds of a worker's speed, in thousandths of the mean worker's. */
#define SPEED_MIN_MILLI 500
#define SPEED_MAX_MILLI 2000
/** A worker counts as slow if a run's rate falls below the first share of the
 * expected rate, and as recovered above the second, in percent. */
#define SLOW_PERCENT	  45
#define RECOVERED_PERCENT 70
/** Time for which a slow worker is excluded after the last slow sample. Without
 * runs there are no samples, so it is then tried again. */
#define SLOW_EXCLUDED_MS 3000
/** Largest share of the workers that is excluded as slow, in percent. */
#define SLOW_MAX_PERCENT 25

static ffl_step_rate_t *step_rate(const ffl_run_t *run);
static uint32_t weighted_mean(uint32_t old, uint32_t sample, uint32_t percent);
static uint32_t local_rate(const ffl_dispatch_t *d, const ffl_run_t *run,
			   uint32_t rate);
static void check_slow(ffl_dispatch_t *d, ffl_run_t *run, uint64_t now_ms);
static void learn_speed(ffl_run_t *run, uint32_t rate);
static void learn_cold(ffl_dispatch_t *d, ffl_run_t *run, uint32_t rate);

uint32_t ffl_dispatch_worker_speed(const ffl_dispatch_worker_t *w)
{
	return w->speed_milli ? w->speed_milli : MILLI;
}

bool ffl_dispatch_worker_is_slow(const ffl_dispatch_worker_t *w,
				 uint64_t now_ms)
{
	return now_ms < w->slow_until_ms;
}

/* Returns the rates measured for a step; a new run of it starts afresh. */
static ffl_step_rate_t *step_rate(const ffl_run_t *run)
{
	ffl_flow_t *flow = run->flow;
	uint32_t index = run->task / flow->spec.tasks_per_occurrence *
				 flow->spec.steps_count +
			 ffl_flow_step_of(flow, run->task);

	if (!flow->rates)
		flow->rates =
			g_new0(ffl_step_rate_t, (gsize)flow->spec.steps_count *
							flow->spec.occurrences);
	if (flow->rates[index].run < run->run)
		flow->rates[index] = (ffl_step_rate_t){ .run = run->run };
	return &flow->rates[index];
}

static uint32_t weighted_mean(uint32_t old, uint32_t sample, uint32_t percent)
{
	if (!old)
		return sample;
	return (uint32_t)(((uint64_t)old * (PERCENT - percent) +
			   (uint64_t)sample * percent) /
			  PERCENT);
}

/* Converts a run's rate to what it would be in its data's rack. */
static uint32_t local_rate(const ffl_dispatch_t *d, const ffl_run_t *run,
			   uint32_t rate)
{
	const ffl_step_t *step = ffl_run_step(run);

	if (!step->rack[0] || g_str_equal(step->rack, run->worker->entry.rack))
		return rate;
	return (uint32_t)((uint64_t)rate * d->opt.spread_percent / PERCENT);
}

/* Compares a run's rate with its own best and with the rest of its gang. */
static void check_slow(ffl_dispatch_t *d, ffl_run_t *run, uint64_t now_ms)
{
	ffl_dispatch_worker_t *w = run->worker;
	uint64_t expected = ffl_run_expected_rate(d, run);
	bool slow = ffl_dispatch_worker_is_slow(w, now_ms);

	if (run->rate * PERCENT < expected * SLOW_PERCENT) {
		if (!slow &&
		    !ffl_dispatch_may_leave_out(d, ffl_dispatch_worker_is_slow,
						SLOW_MAX_PERCENT, now_ms))
			return;
		if (!slow)
			ffl_dispatch_note(d, "worker-slow", w->entry.id,
					  "rate=%u usual=%" PRIu64 " speed=%u",
					  run->rate, expected,
					  ffl_dispatch_worker_speed(w));
		w->slow_until_ms = now_ms + SLOW_EXCLUDED_MS;
	} else if (slow && run->rate * PERCENT > expected * RECOVERED_PERCENT) {
		ffl_dispatch_note(d, "worker-sound", w->entry.id,
				  "rate=%u usual=%" PRIu64, run->rate,
				  expected);
		w->slow_until_ms = 0;
	}
}

static void learn_speed(ffl_run_t *run, uint32_t rate)
{
	const ffl_step_t *step = ffl_run_step(run);
	uint32_t weight =
		step->gang ? GANG_WEIGHT_PERCENT : TASK_WEIGHT_PERCENT;
	ffl_dispatch_worker_t *w = run->worker;
	ffl_step_rate_t *rates = step_rate(run);
	uint32_t base_rate = (uint32_t)((uint64_t)rate * MILLI /
					ffl_dispatch_worker_speed(w));
	uint32_t speed;

	rates->max = MAX(rates->max, base_rate);
	if (rates->mean) {
		speed = (uint32_t)((uint64_t)rate * MILLI / rates->mean);
		speed = CLAMP(speed, SPEED_MIN_MILLI, SPEED_MAX_MILLI);
		w->speed_milli = weighted_mean(ffl_dispatch_worker_speed(w),
					       speed, weight);
	}
	rates->mean =
		weighted_mean(rates->mean, base_rate, GANG_WEIGHT_PERCENT);
}

/* A run is compared with the rest of its gang on warm workers if its worker's
 * usual speed is known, and otherwise later with itself. */
static void learn_cold(ffl_dispatch_t *d, ffl_run_t *run, uint32_t rate)
{
	const ffl_step_rate_t *rates = step_rate(run);

	if (ffl_run_step(run)->gang && rates->mean && run->worker->speed_milli)
		ffl_cold_learn(
			d,
			(uint32_t)((uint64_t)rate * MILLI /
				   ffl_dispatch_worker_speed(run->worker)),
			rates->mean);
	else
		run->cold_rate = rate;
}

uint64_t ffl_run_expected_rate(const ffl_dispatch_t *d, const ffl_run_t *run)
{
	const ffl_step_t *step = ffl_run_step(run);
	uint64_t expected = run->best_rate;
	uint64_t factor_milli = local_rate(d, run, MILLI);

	if (!step->gang || !factor_milli)
		return expected;
	return MAX(expected, (uint64_t)step_rate(run)->max *
				     ffl_dispatch_worker_speed(run->worker) /
				     factor_milli);
}

void ffl_run_begin_rate_window(ffl_run_t *run, uint32_t percent,
			       uint64_t clock_ms)
{
	run->sample_percent = percent;
	run->sample_clock_ms = clock_ms;
}

void ffl_run_sample_rate(ffl_dispatch_t *d, ffl_run_t *run, uint32_t percent,
			 uint64_t clock_ms, uint64_t now_ms)
{
	uint64_t window_ms = clock_ms - run->sample_clock_ms;
	uint64_t began_ms = now_ms - MIN(now_ms, window_ms);
	ffl_dispatch_worker_t *w = run->worker;
	uint32_t rate;

	if (!run->sample_clock_ms || percent < run->sample_percent) {
		ffl_run_begin_rate_window(run, percent, clock_ms);
		return;
	}
	if (percent >= PERCENT || window_ms < WINDOW_MS)
		return;
	run->rate = (uint32_t)((percent - run->sample_percent) * MILLI * MILLI /
			       window_ms);
	ffl_run_begin_rate_window(run, percent, clock_ms);
	run->best_rate = MAX(run->best_rate, run->rate);
	rate = local_rate(d, run, run->rate);
	if (ffl_worker_was_cold(w, began_ms, now_ms)) {
		if (rate && ffl_worker_is_cold(w, began_ms) &&
		    ffl_worker_is_cold(w, now_ms))
			learn_cold(d, run, rate);
		return;
	}
	check_slow(d, run, now_ms);
	if (ffl_dispatch_worker_is_slow(w, now_ms) || !run->rate)
		return;
	ffl_cold_learn(d, run->cold_rate, rate);
	run->cold_rate = 0;
	learn_speed(run, rate);
}
