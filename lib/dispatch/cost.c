/**
 * @file cost.c
 * @brief What callers lose by work that is delayed or stopped.
 *
 * Costs are in core-milliseconds of work of the lowest priority, so that work
 * that is lost and results that come late compare.
 */
#include "lib/dispatch/dispatch_int.h"

/** Number of cores that a GPU counts as. */
#define GPU_CORES  8
#define CORE_MILLI 1000
/** Most work that counts as lost when a run that writes checkpoints is
 * stopped. */
#define SAVED_LOSS_MAX_MS 1000
/** Share of its work that a job loses in worth with each tier that it falls: a
 * late result is taken to be worth half. */
#define TIER_PERCENT 50
/** Weight of priority 1 against all lower ones. */
#define WEIGHT_PRIORITY_1 2
/** Factor between two classes of work. */
#define CLASS_FACTOR 4

static uint64_t total_cores(const ffl_flow_t *flow);

uint32_t ffl_cost_cores(const ffl_step_t *step)
{
	return step->gpus * GPU_CORES + step->cpu_milli / CORE_MILLI;
}

uint32_t ffl_cost_weight(const ffl_flow_t *flow)
{
	return flow->spec.priority <= 1 ? WEIGHT_PRIORITY_1 : 1;
}

static uint64_t total_cores(const ffl_flow_t *flow)
{
	uint64_t cores = 0;

	for (uint32_t s = 0; s < flow->spec.steps_count; s++) {
		const ffl_step_t *step = &flow->spec.steps[s];

		cores += (uint64_t)step->tasks * ffl_cost_cores(step);
	}
	return cores;
}

/* Run times within a queue differ little compared to the number of tasks and
 * what each takes. */
uint32_t ffl_cost_class(const ffl_flow_t *flow)
{
	uint32_t class = 0;

	if (flow->spec.priority == 0)
		return 0;
	for (uint64_t cores = total_cores(flow); cores; cores /= CLASS_FACTOR)
		class ++;
	return class;
}

uint64_t ffl_cost_lost_work(const ffl_run_t *run, uint64_t now_ms)
{
	const ffl_step_t *step = ffl_run_step(run);
	uint64_t cores = ffl_cost_cores(step);
	uint64_t ran_ms = now_ms - run->placed_ms;

	if (step->writes_checkpoints)
		ran_ms = MIN(ran_ms, SAVED_LOSS_MAX_MS);
	return cores * ran_ms + 1;
}

/* The job is compared as it would end if the run went on, and if it began anew
 * as soon as the stop is complete. */
uint64_t ffl_cost_of_lateness(const ffl_dispatch_t *d, const ffl_run_t *run,
			      uint64_t now_ms)
{
	const ffl_flow_t *flow = run->flow;
	uint64_t run_ms = ffl_rank_expected_run_ms(
		d, flow, ffl_flow_step_of(flow, run->task));
	uint64_t ran_ms = run->running_ms ? now_ms - run->running_ms : 0;
	uint64_t end_ms = now_ms - flow->first_seen_ms + flow->path_ms;
	ffl_tier_t kept = ffl_rank_tier_at(
		flow, end_ms - MIN(flow->path_ms, MIN(ran_ms, run_ms)));
	ffl_tier_t stopped =
		ffl_rank_tier_at(flow, end_ms + d->opt.stop_max_ms);

	return total_cores(flow) * run_ms * (stopped - kept) * TIER_PERCENT /
	       PERCENT;
}
