/**
 * @file adviser.c
 * @brief Cost model of calls to the adviser, and their width.
 */
#include <glib.h>

#include "fireflyledge/adviser.h"

#define US_PER_MS	   1000U
#define PERCENT		   100U
#define DIV_ROUND_UP(n, d) (((n) + (d)-1) / (d))
/** Workers of a call where calls are cheap. Objectives of jobs allow for one
 * call with about this many a step. */
#define BLOCK_WORKERS 30U
/** Least time for the workers of a call, in percent of the time for the call
 * itself: fewer would hardly make it shorter. */
#define WORKERS_PERCENT 50U
/** A call to see whether the times still hold is made if it takes no more of
 * the time of a block than this, in percent. */
#define CHECK_PERCENT 10U
/** While the times are in doubt, each further call for a step names so many
 * times the workers before it. */
#define GROWTH 3U
/** Difference between an answer's expected and measured time that tells
 * nothing: network and the host's own backlog, and a share of the time. */
#define NOISE_MS      100U
#define NOISE_PERCENT 25U
/** Longest duration of a call that is learned: a day. */
#define COST_MAX_MS 86400000U

static bool agrees(uint64_t expected_ms, uint64_t took_ms);
static uint32_t workers_in(const ffl_adviser_t *a, uint64_t time_us);
static uint32_t workers_in_turn(const ffl_adviser_t *a,
				const ffl_adviser_ask_t *ask);
static bool is_check_cheap(const ffl_adviser_t *a);
static uint32_t block_size(const ffl_adviser_ask_t *ask);

void ffl_adviser_configure(ffl_adviser_t *a, const ffl_adviser_times_t *times)
{
	if (a->configured.call_ms == times->call_ms &&
	    a->configured.worker_ms == times->worker_ms)
		return;
	*a = (ffl_adviser_t){
		.configured = *times,
		.call_us = (uint64_t)times->call_ms * US_PER_MS,
		.worker_us = (uint64_t)times->worker_ms * US_PER_MS,
		.turn_ms = a->turn_ms,
	};
}

uint64_t ffl_adviser_cost_ms(const ffl_adviser_t *a, uint32_t workers)
{
	return (a->call_us + a->worker_us * workers) / US_PER_MS;
}

static bool agrees(uint64_t expected_ms, uint64_t took_ms)
{
	uint64_t noise_ms = NOISE_MS + expected_ms * NOISE_PERCENT / PERCENT;

	return took_ms <= expected_ms + noise_ms &&
	       took_ms + noise_ms >= expected_ms;
}

/* Two answers about different numbers of workers tell both times apart. From
 * one alone, or if they contradict each other, both change in proportion. */
void ffl_adviser_learn(ffl_adviser_t *a, uint32_t workers, uint64_t took_ms)
{
	uint64_t expected_ms = ffl_adviser_cost_ms(a, workers);
	int64_t more_workers = (int64_t)workers - a->seen_workers;
	int64_t more_us;
	int64_t call_us;

	took_ms = MIN(took_ms, COST_MAX_MS);
	a->doubted = !agrees(expected_ms, took_ms);
	more_us = ((int64_t)took_ms - (int64_t)a->seen_ms) * US_PER_MS;
	if (a->doubted && a->seen_workers && more_workers &&
	    more_us / more_workers >= 0) {
		call_us = (int64_t)(took_ms * US_PER_MS) -
			  more_us / more_workers * workers;
		a->worker_us = (uint64_t)(more_us / more_workers);
		a->call_us = (uint64_t)MAX(call_us, 0);
	} else if (a->doubted && expected_ms) {
		a->call_us = a->call_us * took_ms / expected_ms;
		a->worker_us = a->worker_us * took_ms / expected_ms;
	} else if (a->doubted) {
		a->worker_us = took_ms * US_PER_MS / workers;
	}
	a->seen_workers = workers;
	a->seen_ms = took_ms;
}

bool ffl_adviser_is_slow(const ffl_adviser_t *a, uint32_t begin_ms)
{
	return ffl_adviser_cost_ms(a, BLOCK_WORKERS) > begin_ms;
}

/* Returns the number of workers that take a time together. */
static uint32_t workers_in(const ffl_adviser_t *a, uint64_t time_us)
{
	if (!a->worker_us)
		return FFL_ADVISER_WORKERS_MAX;
	return (uint32_t)MIN(time_us / a->worker_us, FFL_ADVISER_WORKERS_MAX);
}

/* Returns how many workers a call names at most that others may have to wait
 * for. A step that waits already needs half of the time in which it is to begin
 * for its own call. Where the call itself takes too long, the workers add
 * little. */
static uint32_t workers_in_turn(const ffl_adviser_t *a,
				const ffl_adviser_ask_t *ask)
{
	uint64_t turn_us = (uint64_t)ask->begin_ms * US_PER_MS /
			   (ask->others_wait ? 2 : 1);
	uint64_t left_us = turn_us - MIN(turn_us, a->call_us);

	left_us = MAX(left_us, a->call_us * WORKERS_PERCENT / PERCENT);
	return MAX(workers_in(a, left_us), 1);
}

/* Returns whether the adviser is asked about a few workers first, as it may
 * have become slower than its configured times say. */
static bool is_check_cheap(const ffl_adviser_t *a)
{
	uint64_t block_us = a->call_us + BLOCK_WORKERS * a->worker_us;

	return block_us && a->call_us * PERCENT <= block_us * CHECK_PERCENT;
}

static uint32_t block_size(const ffl_adviser_ask_t *ask)
{
	return ask->gang ? CLAMP(ask->need, BLOCK_WORKERS,
				 FFL_ADVISER_WORKERS_MAX)
			 : BLOCK_WORKERS;
}

uint32_t ffl_adviser_block(const ffl_adviser_ask_t *ask)
{
	return block_size(ask) - ask->asked % block_size(ask);
}

/* Behind a late call, one worker is enough to see whether that was lost: if it
 * was not, the adviser does it first.
 * The first call for a step is the shorter, the slower the adviser is; further
 * ones name the rest of the block, in parts that others may wait for. */
uint32_t ffl_adviser_width(const ffl_adviser_t *a, const ffl_adviser_ask_t *ask)
{
	bool slow = ffl_adviser_is_slow(a, ask->begin_ms);
	uint32_t left = MIN(ask->unasked, ffl_adviser_block(ask));
	uint64_t width = 2 * (uint64_t)ask->need;
	uint32_t calls;

	if (ask->probes)
		return 1;
	if (a->doubted)
		width = MAX(width, GROWTH * (uint64_t)ask->asked);
	else if (ask->asked || (!slow && !is_check_cheap(a)))
		width = left;
	else
		width = MAX(width, workers_in(a, a->call_us * WORKERS_PERCENT /
							 PERCENT));
	width = MIN(width, left);
	if (slow || a->doubted || ask->others_wait) {
		calls = DIV_ROUND_UP(width, workers_in_turn(a, ask));
		width = DIV_ROUND_UP(width, calls);
	}
	if (ask->gang)
		width = MAX(width, MIN(ask->need, left));
	return (uint32_t)MAX(width, 1);
}
