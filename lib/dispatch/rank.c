#include <string.h>

#include "lib/dispatch/dispatch_int.h"

/** Weight of the newest run in what is learned of a queue, in percent. */
#define LEARN_PERCENT 20
/** A flow that ends after this multiple of its objective is worth nothing
 * any more; the platform's own figure. */
#define LATE_FACTOR 3
#define MILLI	    1000
/** Share of the GPUs that work of each priority leaves free while it has
 * slack, so that guaranteed work seldom has to stop any. */
#define HEADROOM_PERCENT_FIRST 8
#define HEADROOM_PERCENT_OTHER 35
/** Work with less slack than this share of its time does not wait. */
#define SLACK_PERCENT 40

static uint64_t chain_ms(const ffl_dispatch_t *d, const ffl_flow_t *flow,
			 bool left_only);
static bool step_left(const ffl_flow_t *flow, uint32_t step);
static bool has_lasting(const ffl_flow_t *flow);

/* The mean of what was seen of a queue, or the customer's own estimate. */
uint64_t ffl_expect_run(const ffl_dispatch_t *d, const ffl_flow_t *flow,
			uint32_t step)
{
	uint64_t learned = GPOINTER_TO_SIZE(
		g_hash_table_lookup(d->mean_run_ms, flow->spec.queue));

	return learned ? learned : flow->spec.steps[step].estimate_ms;
}

void ffl_learn_run(ffl_dispatch_t *d, const ffl_run_t *run, uint64_t now_ms)
{
	const ffl_flow_t *flow = run->flow;
	uint64_t took_ms = now_ms - run->running_ms;
	uint64_t mean = GPOINTER_TO_SIZE(
		g_hash_table_lookup(d->mean_run_ms, flow->spec.queue));

	if (run->run != 1 || !run->running_ms || !took_ms)
		return;
	if (mean)
		took_ms = (mean * (PERCENT - LEARN_PERCENT) +
			   took_ms * LEARN_PERCENT) /
			  PERCENT;
	g_hash_table_insert(d->mean_run_ms, g_strdup(flow->spec.queue),
			    GSIZE_TO_POINTER(took_ms));
}

static bool step_left(const ffl_flow_t *flow, uint32_t step)
{
	uint32_t last = flow->spec.occurrences - 1;
	uint32_t first = ffl_flow_first_task(flow, last, step);

	for (uint32_t i = 0; i < flow->spec.steps[step].tasks; i++) {
		if (flow->tasks[first + i].state != FFL_TASK_DONE)
			return true;
	}
	return false;
}

/* Time of the longest chain of steps, of all or of what is left. */
static uint64_t chain_ms(const ffl_dispatch_t *d, const ffl_flow_t *flow,
			 bool left_only)
{
	uint64_t ends[FFL_FLOW_STEPS_MAX] = { 0 };
	uint64_t longest = 0;

	for (uint32_t s = 0; s < flow->spec.steps_count; s++) {
		uint64_t begins = 0;

		for (uint32_t k = 0; k < s; k++) {
			if (flow->spec.steps[s].after >> k & 1)
				begins = MAX(begins, ends[k]);
		}
		ends[s] = begins;
		if (!left_only || step_left(flow, s))
			ends[s] += ffl_expect_run(d, flow, s);
		longest = MAX(longest, ends[s]);
	}
	return longest;
}

/* Time by which the whole flow meets its objective. */
static uint64_t objective_ms(const ffl_dispatch_t *d, const ffl_flow_t *flow)
{
	return chain_ms(d, flow, false) * flow->spec.stretch_milli / MILLI +
	       flow->spec.aim_ms;
}

/* What lasts is worth as much at any time. */
static bool has_lasting(const ffl_flow_t *flow)
{
	for (uint32_t s = 0; s < flow->spec.steps_count; s++) {
		if (flow->spec.steps[s].lasting)
			return true;
	}
	return false;
}

ffl_tier_t ffl_rank_tier(const ffl_dispatch_t *d, const ffl_flow_t *flow,
			 uint64_t now_ms)
{
	uint64_t objective = objective_ms(d, flow);
	uint64_t end = now_ms - flow->seen_ms + chain_ms(d, flow, true);

	if (flow->spec.timed || has_lasting(flow) || end <= objective)
		return FFL_TIER_TIMELY;
	return end <= LATE_FACTOR * objective ? FFL_TIER_LATE : FFL_TIER_LOST;
}

bool ffl_rank_may_wait(const ffl_dispatch_t *d, const ffl_flow_t *flow,
		       uint64_t now_ms)
{
	uint64_t left = chain_ms(d, flow, true);
	uint64_t end = now_ms - flow->seen_ms + left;

	return !has_lasting(flow) &&
	       end + left * SLACK_PERCENT / PERCENT < objective_ms(d, flow);
}

uint32_t ffl_rank_headroom(const ffl_flow_t *flow)
{
	if (flow->spec.priority == 0)
		return 0;
	return flow->spec.priority == 1 ? HEADROOM_PERCENT_FIRST
					: HEADROOM_PERCENT_OTHER;
}
