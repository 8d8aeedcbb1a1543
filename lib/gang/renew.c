/**
 * @file renew.c
 * @brief Commands to workers, and renewal of their leases.
 */
#include <string.h>

#include "lib/gang/gang_int.h"

/** Longest time for which a worker accepts a hold or start, in ms, so that a
 * worker that is about to leave gets no new work late. */
#define NEW_WORK_VALID_MS 1500

static bool expires(ffl_wcmd_t cmd);
static uint64_t command_valid_ms(const ffl_gangs_t *g, ffl_wcmd_t cmd);

/* Commands that start or prolong work expire; those that stop it never do. */
static bool expires(ffl_wcmd_t cmd)
{
	return cmd != FFL_WCMD_STOP && cmd != FFL_WCMD_CHECKPOINT;
}

static uint64_t command_valid_ms(const ffl_gangs_t *g, ffl_wcmd_t cmd)
{
	if ((cmd == FFL_WCMD_HOLD || cmd == FFL_WCMD_START) &&
	    g->times.valid_ms > NEW_WORK_VALID_MS)
		return NEW_WORK_VALID_MS;
	return g->times.valid_ms;
}

bool ffl_worker_send_command(ffl_gang_ctx_t *r, ffl_worker_t *w,
			     ffl_worker_cmd_t *cmd)
{
	ffl_action_t *act;

	if (!w->clock_ms && cmd->lease_ms)
		return false;
	cmd->epoch = r->g->authority.epoch;
	if (cmd->cmd == FFL_WCMD_KEEP)
		cmd->epoch =
			ffl_members_find_cell(r->ms, r->ms->self.dc)->epoch;
	cmd->since = w->foreign ? 0 : w->version;
	if (cmd->lease_ms) {
		cmd->boot = w->boot;
		if (expires(cmd->cmd))
			cmd->not_after_ms =
				w->clock_ms + command_valid_ms(r->g, cmd->cmd);
	}
	act = ffl_actions_add(r->out, FFL_ACT_WORKER_SEND);
	act->worker_send.call = r->g->next_call++;
	act->worker_send.cmd = *cmd;
	ffl_copy(act->worker_send.worker, sizeof(act->worker_send.worker),
		 w->info.name);
	ffl_copy(act->worker_send.addr, sizeof(act->worker_send.addr),
		 w->info.addr);
	w->unanswered_calls++;
	return true;
}

bool ffl_part_send_command(ffl_gang_ctx_t *r, ffl_job_t *job, uint32_t rank,
			   ffl_wcmd_t kind)
{
	ffl_part_t *p = &job->parts[rank];
	ffl_worker_t *w = ffl_fleet_find(r->fleet, p->worker);
	ffl_worker_cmd_t cmd = { .cmd = kind,
				 .job = job->id,
				 .incarnation = job->incarnation,
				 .rank = rank,
				 .members = job->part_count,
				 .slots = p->slots,
				 .lease_ms = r->g->times.lease_ms,
				 .progress_ms = job->progress_ms };

	p->asked_ms = r->now_ms;
	if (!w)
		return false;
	if (kind == FFL_WCMD_START)
		ffl_copy(cmd.payload, sizeof(cmd.payload), job->spec.payload);
	return ffl_worker_send_command(r, w, &cmd);
}

/* A request for a report is allowed without authority: it renews no lease. */
void ffl_gang_renew_leases(ffl_gang_ctx_t *r, bool may_act)
{
	const ffl_gang_times_t *t = &r->g->times;

	for (uint32_t i = 0; i < ffl_fleet_count(r->fleet); i++) {
		ffl_worker_t *w = ffl_fleet_at(r->fleet, i);
		ffl_worker_cmd_t cmd = { .cmd = FFL_WCMD_RENEW };

		if (!ffl_worker_in_own_cell(r, w))
			continue;
		if (w->asked_ms && r->now_ms - w->asked_ms < t->renew_ms)
			continue;
		if (may_act && w->replied_ms >= r->g->authority.since_ms &&
		    r->now_ms - w->replied_ms < t->valid_ms)
			cmd.lease_ms = t->lease_ms;
		w->asked_ms = r->now_ms;
		w->ask_call = r->g->next_call;
		ffl_worker_send_command(r, w, &cmd);
	}
}
