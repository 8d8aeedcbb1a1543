#include "lib/dispatch/dispatch_int.h"

/** A rate is taken over at least this; reports come about once a second. */
#define WINDOW_MS 700
/** Thousandths: of a percent a second, and of the usual speed. */
#define MILLI 1000
/** Weight of a new sample in what is learned, in percent: tasks of a gang
 * have the same work, those of other steps only on average. */
#define GANG_WEIGHT_PERCENT 30
#define TASK_WEIGHT_PERCENT 5
/** A usual speed is within these bounds, of a mean worker's. */
#define SPEED_MIN_MILLI 500
#define SPEED_MAX_MILLI 2000
/** Below this share of the rate that it had, a run is slowed down; above the
 * other its worker is sound again. */
#define SLOW_PERCENT  45
#define SOUND_PERCENT 70
/** A slow worker is left out for so long after the last sign of it; without
 * runs there is none, and it is tried again. */
#define SLOW_OUT_MS 3000
/** No more than this share of the workers is left out as slow. */
#define SLOW_MAX_PERCENT 25

static ffl_step_rate_t *step_rate(const ffl_run_t *run);
static uint32_t mix(uint32_t old, uint32_t sample, uint32_t percent);
static uint32_t near_rate(const ffl_dispatch_t *d, const ffl_run_t *run,
			  uint32_t rate);
static bool may_leave_out(const ffl_dispatch_t *d, uint64_t now_ms);
static void judge(ffl_dispatch_t *d, ffl_run_t *run, uint64_t now_ms);
static void learn(ffl_run_t *run, uint32_t near);

uint32_t ffl_runner_speed(const ffl_dispatch_worker_t *r)
{
	return r->speed_milli ? r->speed_milli : MILLI;
}

bool ffl_runner_slow(const ffl_dispatch_worker_t *r, uint64_t now_ms)
{
	return now_ms < r->slow_until_ms;
}

/* What is known of the rate of a step's run; another run begins anew. */
static ffl_step_rate_t *step_rate(const ffl_run_t *run)
{
	ffl_flow_t *flow = run->flow;
	uint32_t at =
		run->task / flow->spec.tasks_each * flow->spec.steps_count +
		ffl_flow_step_of(flow, run->task);

	if (!flow->rates)
		flow->rates =
			g_new0(ffl_step_rate_t, (gsize)flow->spec.steps_count *
							flow->spec.occurrences);
	if (flow->rates[at].run < run->run)
		flow->rates[at] = (ffl_step_rate_t){ .run = run->run };
	return &flow->rates[at];
}

static uint32_t mix(uint32_t old, uint32_t sample, uint32_t percent)
{
	if (!old)
		return sample;
	return (uint32_t)(((uint64_t)old * (PERCENT - percent) +
			   (uint64_t)sample * percent) /
			  PERCENT);
}

/* Rate that a run would have near its data. */
static uint32_t near_rate(const ffl_dispatch_t *d, const ffl_run_t *run,
			  uint32_t rate)
{
	const ffl_step_t *step = ffl_run_step(run);

	if (!step->rack[0] || g_str_equal(step->rack, run->worker->entry.rack))
		return rate;
	return (uint32_t)((uint64_t)rate * d->opt.spread_percent / PERCENT);
}

static bool may_leave_out(const ffl_dispatch_t *d, uint64_t now_ms)
{
	uint32_t all = 0;
	uint32_t out = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const ffl_dispatch_worker_t *r = value;

		all += r->listed;
		out += r->listed && ffl_runner_slow(r, now_ms);
	}
	return (out + 1) * PERCENT <= all * SLOW_MAX_PERCENT;
}

/* Compares a run with what it did before, and with the rest of its gang. */
static void judge(ffl_dispatch_t *d, ffl_run_t *run, uint64_t now_ms)
{
	ffl_dispatch_worker_t *r = run->worker;
	uint64_t usual = ffl_run_usual_rate(d, run);
	bool slow = ffl_runner_slow(r, now_ms);

	if (run->rate * PERCENT < usual * SLOW_PERCENT) {
		if (!slow && !may_leave_out(d, now_ms))
			return;
		if (!slow)
			ffl_dispatch_note(d, "worker-slow", r->entry.id,
					  "rate=%u usual=%" PRIu64 " speed=%u",
					  run->rate, usual,
					  ffl_runner_speed(r));
		r->slow_until_ms = now_ms + SLOW_OUT_MS;
	} else if (slow && run->rate * PERCENT > usual * SOUND_PERCENT) {
		ffl_dispatch_note(d, "worker-sound", r->entry.id,
				  "rate=%u usual=%" PRIu64, run->rate, usual);
		r->slow_until_ms = 0;
	}
}

static void learn(ffl_run_t *run, uint32_t near)
{
	const ffl_step_t *step = ffl_run_step(run);
	uint32_t weight =
		step->gang ? GANG_WEIGHT_PERCENT : TASK_WEIGHT_PERCENT;
	ffl_dispatch_worker_t *r = run->worker;
	ffl_step_rate_t *of = step_rate(run);
	uint32_t base =
		(uint32_t)((uint64_t)near * MILLI / ffl_runner_speed(r));
	uint32_t speed;

	of->most = MAX(of->most, base);
	if (of->mean) {
		speed = (uint32_t)((uint64_t)near * MILLI / of->mean);
		speed = CLAMP(speed, SPEED_MIN_MILLI, SPEED_MAX_MILLI);
		r->speed_milli = mix(ffl_runner_speed(r), speed, weight);
	}
	of->mean = mix(of->mean, base, GANG_WEIGHT_PERCENT);
}

uint64_t ffl_run_usual_rate(const ffl_dispatch_t *d, const ffl_run_t *run)
{
	const ffl_step_t *step = ffl_run_step(run);
	uint64_t usual = run->best_rate;
	uint64_t near = near_rate(d, run, MILLI);

	if (!step->gang || !near)
		return usual;
	return MAX(usual, (uint64_t)step_rate(run)->most *
				  ffl_runner_speed(run->worker) / near);
}

void ffl_speed_begin(ffl_run_t *run, uint32_t percent, uint64_t now_ms)
{
	run->sample_percent = percent;
	run->sample_ms = now_ms;
}

void ffl_speed_take(ffl_dispatch_t *d, ffl_run_t *run, uint32_t percent,
		    uint64_t now_ms)
{
	uint64_t took_ms = now_ms - run->sample_ms;

	if (!run->sample_ms || percent < run->sample_percent) {
		ffl_speed_begin(run, percent, now_ms);
		return;
	}
	if (percent >= PERCENT || took_ms < WINDOW_MS)
		return;
	run->rate = (uint32_t)((percent - run->sample_percent) * MILLI * MILLI /
			       took_ms);
	ffl_speed_begin(run, percent, now_ms);
	run->best_rate = MAX(run->best_rate, run->rate);
	judge(d, run, now_ms);
	if (!ffl_runner_slow(run->worker, now_ms) && run->rate)
		learn(run, near_rate(d, run, run->rate));
}
