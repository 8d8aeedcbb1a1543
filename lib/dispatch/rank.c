#include <string.h>

#include "lib/dispatch/dispatch_int.h"

/** Weight of the newest run in the mean run time of a queue, in percent. */
#define NEWEST_RUN_WEIGHT_PERCENT 20
#define MILLI			  1000
/** Share of the GPUs that jobs with slack leave free, for priority 1 and for
 * lower ones, so that guaranteed work seldom has to preempt any. */
#define HEADROOM_PERCENT_PRIORITY_1 8
#define HEADROOM_PERCENT_OTHER	    35

static uint64_t critical_path_ms(const ffl_dispatch_t *d,
				 const ffl_flow_t *flow, bool unfinished_only);
static bool ran_cold(const ffl_dispatch_t *d, const ffl_run_t *run,
		     uint64_t now_ms);
static bool has_unfinished_tasks(const ffl_flow_t *flow, uint32_t step);
static uint64_t objective_ms(const ffl_dispatch_t *d, const ffl_flow_t *flow);
static bool is_long_running(const ffl_flow_t *flow);

/* Uses the mean run time of the queue if it is known, because the customer's
 * estimate is often far off. */
uint64_t ffl_rank_expected_run_ms(const ffl_dispatch_t *d,
				  const ffl_flow_t *flow, uint32_t step)
{
	uint64_t mean_ms = GPOINTER_TO_SIZE(
		g_hash_table_lookup(d->mean_run_ms, flow->spec.queue));

	return mean_ms ? mean_ms : flow->spec.steps[step].estimate_ms;
}

/* A gang takes as long as its slowest run. */
static bool ran_cold(const ffl_dispatch_t *d, const ffl_run_t *run,
		     uint64_t now_ms)
{
	const GPtrArray *runs = ffl_runs_of_flow(d, run->flow);

	for (guint i = 0; i < runs->len; i++) {
		const ffl_run_t *other = g_ptr_array_index(runs, i);

		if ((other == run || ffl_run_same_gang(run, other)) &&
		    ffl_worker_was_cold(other->worker, other->running_ms,
					now_ms))
			return true;
	}
	return false;
}

void ffl_rank_record_run(ffl_dispatch_t *d, const ffl_run_t *run,
			 uint64_t now_ms)
{
	const ffl_flow_t *flow = run->flow;
	uint64_t took_ms = now_ms - run->running_ms;
	uint64_t mean_ms = GPOINTER_TO_SIZE(
		g_hash_table_lookup(d->mean_run_ms, flow->spec.queue));

	/* When a run of an earlier leader began is not known. */
	if (run->run != 1 || !run->sendings || !run->running_ms || !took_ms ||
	    ran_cold(d, run, now_ms))
		return;
	if (mean_ms)
		took_ms = (mean_ms * (PERCENT - NEWEST_RUN_WEIGHT_PERCENT) +
			   took_ms * NEWEST_RUN_WEIGHT_PERCENT) /
			  PERCENT;
	g_hash_table_insert(d->mean_run_ms, g_strdup(flow->spec.queue),
			    GSIZE_TO_POINTER(took_ms));
}

static bool has_unfinished_tasks(const ffl_flow_t *flow, uint32_t step)
{
	uint32_t last = flow->spec.occurrences - 1;
	uint32_t first = ffl_flow_first_task(flow, last, step);

	for (uint32_t i = 0; i < flow->spec.steps[step].tasks; i++) {
		if (flow->tasks[first + i].state != FFL_TASK_DONE)
			return true;
	}
	return false;
}

uint64_t ffl_rank_path_ms(const ffl_flow_spec_t *spec, const uint64_t *step_ms)
{
	uint64_t end_ms[FFL_FLOW_STEPS_MAX] = { 0 };
	uint64_t longest_ms = 0;

	for (uint32_t s = 0; s < spec->steps_count; s++) {
		uint64_t start_ms = 0;

		for (uint32_t k = 0; k < s; k++) {
			if (spec->steps[s].prerequisites >> k & 1)
				start_ms = MAX(start_ms, end_ms[k]);
		}
		end_ms[s] = start_ms + step_ms[s];
		longest_ms = MAX(longest_ms, end_ms[s]);
	}
	return longest_ms;
}

static uint64_t critical_path_ms(const ffl_dispatch_t *d,
				 const ffl_flow_t *flow, bool unfinished_only)
{
	uint64_t step_ms[FFL_FLOW_STEPS_MAX] = { 0 };

	for (uint32_t s = 0; s < flow->spec.steps_count; s++) {
		if (!unfinished_only || has_unfinished_tasks(flow, s))
			step_ms[s] = ffl_rank_expected_run_ms(d, flow, s);
	}
	return ffl_rank_path_ms(&flow->spec, step_ms);
}

/* Returns the longest time that a flow may take to meet its objective. */
static uint64_t objective_ms(const ffl_dispatch_t *d, const ffl_flow_t *flow)
{
	return critical_path_ms(d, flow, false) * flow->spec.stretch_milli /
		       MILLI +
	       flow->spec.objective_base_ms;
}

/* Returns true if a step runs until it is cancelled: its value does not depend
 * on when it ends, so it has no objective. */
static bool is_long_running(const ffl_flow_t *flow)
{
	for (uint32_t s = 0; s < flow->spec.steps_count; s++) {
		if (flow->spec.steps[s].runs_until_cancelled)
			return true;
	}
	return false;
}

ffl_tier_t ffl_rank_tier_at(const ffl_flow_t *flow, uint64_t end_ms)
{
	if (flow->spec.timed || is_long_running(flow) ||
	    end_ms <= flow->limit_ms)
		return FFL_TIER_ON_TIME;
	return end_ms <= FFL_LATE_FACTOR * flow->limit_ms ? FFL_TIER_LATE
							  : FFL_TIER_WORTHLESS;
}

void ffl_rank_flow(const ffl_dispatch_t *d, ffl_flow_t *flow, uint64_t now_ms)
{
	flow->limit_ms = objective_ms(d, flow);
	flow->path_ms = critical_path_ms(d, flow, true);
	flow->tier = ffl_rank_tier_at(flow, now_ms - flow->first_seen_ms +
						    flow->path_ms);
	if (!flow->work_class)
		flow->work_class = ffl_cost_class(flow);
}

bool ffl_rank_has_slack(const ffl_dispatch_t *d, const ffl_flow_t *flow,
			uint64_t now_ms)
{
	uint64_t left_ms = critical_path_ms(d, flow, true);
	uint64_t end_ms = now_ms - flow->first_seen_ms + left_ms;

	return !is_long_running(flow) &&
	       end_ms + left_ms * FFL_SLACK_PERCENT / PERCENT <
		       objective_ms(d, flow);
}

uint32_t ffl_rank_headroom_percent(const ffl_flow_t *flow)
{
	if (flow->spec.priority == 0)
		return 0;
	return flow->spec.priority == 1 ? HEADROOM_PERCENT_PRIORITY_1
					: HEADROOM_PERCENT_OTHER;
}
