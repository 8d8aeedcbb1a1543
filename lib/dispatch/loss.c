/**
 * @file loss.c
 * @brief Counts the work that is lost by runs that end early, by reason.
 */
#include <string.h>

#include "lib/dispatch/dispatch_int.h"

static const char *const loss_names[FFL_LOSS__MAX] = {
	[FFL_LOSS_RECLAIMED] = "reclaimed",
	[FFL_LOSS_PREEMPTED] = "preempted",
	[FFL_LOSS_CANCELLED] = "cancelled",
	[FFL_LOSS_GANG_BROKEN] = "gang-broken",
	[FFL_LOSS_WORKER_LEAVES] = "worker-leaves",
	[FFL_LOSS_LEASE_EXPIRED] = "lease-expired",
	[FFL_LOSS_HUNG] = "hung",
	[FFL_LOSS_FAILED] = "failed",
	[FFL_LOSS_GIVEN_UP] = "given-up",
};

/** Reasons for which runs are stopped, see ffl_run_request_stop(); all others
 * count as given up. */
static const struct {
	const char *stop_reason;
	ffl_loss_t loss;
} stop_losses[] = {
	{ "reclaimed", FFL_LOSS_RECLAIMED },
	{ "preempted", FFL_LOSS_PREEMPTED },
	{ "cancelled", FFL_LOSS_CANCELLED },
	{ "failed", FFL_LOSS_FAILED },
	{ "gang-broken", FFL_LOSS_GANG_BROKEN },
	{ "drained", FFL_LOSS_WORKER_LEAVES },
	{ "hangs", FFL_LOSS_HUNG },
};

static const ffl_loss_t end_losses[FFL_RUN_END__MAX] = {
	[FFL_RUN_END_DONE] = FFL_LOSS_GIVEN_UP,
	[FFL_RUN_END_FAILED] = FFL_LOSS_FAILED,
	[FFL_RUN_END_STOPPED] = FFL_LOSS_GIVEN_UP,
	[FFL_RUN_END_LEASE_EXPIRED] = FFL_LOSS_LEASE_EXPIRED,
	[FFL_RUN_END_GANG_BROKEN] = FFL_LOSS_GANG_BROKEN,
	[FFL_RUN_END_GANG_INCOMPLETE] = FFL_LOSS_GANG_BROKEN,
};

static ffl_loss_t loss_of(const ffl_run_t *run, ffl_run_end_t end);

const char *ffl_loss_name(uint32_t loss)
{
	return loss < FFL_LOSS__MAX ? loss_names[loss] : "?";
}

static ffl_loss_t loss_of(const ffl_run_t *run, ffl_run_end_t end)
{
	if (!run->stop_reason)
		return end_losses[end];
	for (size_t i = 0; i < G_N_ELEMENTS(stop_losses); i++) {
		if (strcmp(run->stop_reason, stop_losses[i].stop_reason) == 0)
			return stop_losses[i].loss;
	}
	return FFL_LOSS_GIVEN_UP;
}

uint64_t ffl_loss_count(ffl_dispatch_t *d, const ffl_run_t *run,
			ffl_run_end_t end, const char *checkpoint,
			uint64_t now_ms)
{
	const ffl_task_t *task = &run->flow->tasks[run->task];
	bool saved = checkpoint && checkpoint[0] &&
		     g_strcmp0(checkpoint, task->checkpoint) != 0;
	ffl_loss_t loss = loss_of(run, end);
	uint64_t lost;

	if (end == FFL_RUN_END_DONE && task->run == run->run)
		return 0;
	lost = saved || !run->running_ms
		       ? 0
		       : (now_ms - MAX(run->running_ms, run->saved_ms)) *
				 ffl_cost_cores(ffl_run_step(run));
	d->lost_runs[loss]++;
	d->lost_work[loss] += lost;
	return lost;
}
