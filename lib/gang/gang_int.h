/**
 * @file gang_int.h
 * @brief Functions that the files of the gangs share.
 */
#ifndef FFL_GANG_INT_H
#define FFL_GANG_INT_H

#include "fireflyledge/gang.h"
#include "fireflyledge/sched.h"

/** Context of one call into the gangs. */
typedef struct {
	ffl_gangs_t *g;
	ffl_fleet_t *fleet;
	const ffl_members_t *ms;
	ffl_logc_t *lc; /**< NULL while a reply is handled */
	uint64_t now_ms;
	ffl_actions_t *out;
} ffl_gang_ctx_t;

/** A task reported to this host as deputy of a silent leader. */
typedef struct {
	ffl_name_t worker;
	ffl_task_report_t task;
	uint64_t seen_ms; /**< local time of the last report */
} ffl_deputy_task_t;

/** Returns the job of an id, or NULL. */
ffl_job_t *ffl_job_find(const ffl_gangs_t *g, uint64_t id);
/** Derives all intervals from the lease. */
void ffl_gang_times_init(ffl_gang_times_t *times, uint32_t lease_ms);

/**
 * Sends a command to a worker.
 *
 * @return false if the command sets a lease but the worker's clock, against
 *	which the command expires, is not known yet
 */
bool ffl_worker_send_command(ffl_gang_ctx_t *r, ffl_worker_t *w,
			     ffl_worker_cmd_t *cmd);
/** Sends a command for one part; returns false if it was not sent. */
bool ffl_part_send_command(ffl_gang_ctx_t *r, ffl_job_t *job, uint32_t rank,
			   ffl_wcmd_t kind);
/** Returns true if a worker belongs to this host's cell. */
bool ffl_worker_in_own_cell(const ffl_gang_ctx_t *r, const ffl_worker_t *w);

/** Updates this host's authority; returns false if it may not act. */
bool ffl_authority_update(ffl_gang_ctx_t *r);
/** Returns true if a quorum of the cell's listed workers satisfies @p test. */
bool ffl_authority_quorum(const ffl_gang_ctx_t *r,
			  bool (*test)(const ffl_gang_ctx_t *r,
				       const ffl_worker_t *w));
/** Returns true if a worker has not replied for longer than its leases. */
bool ffl_worker_silent(const ffl_gang_ctx_t *r, const ffl_worker_t *w);
/** Returns true if every lease on a silent worker is proven to be over. */
bool ffl_worker_leases_lapsed(const ffl_gang_ctx_t *r, const ffl_worker_t *w);

/** Requests the workers' reports and, with authority, renews their leases. */
void ffl_gang_renew_leases(ffl_gang_ctx_t *r, bool may_act);
/** Renews complete gangs where this host is deputy of a silent leader. */
void ffl_deputy_run(ffl_gang_ctx_t *r);
/** Handles a worker's reply to a command of this host as deputy. */
void ffl_deputy_on_reply(ffl_gang_ctx_t *r, ffl_worker_t *w,
			 const ffl_worker_reply_t *reply);

void ffl_job_set_state(ffl_gang_ctx_t *r, ffl_job_t *job,
		       ffl_job_state_t state);
/** Frees a job's parts and their slots. */
void ffl_job_release_parts(ffl_gang_ctx_t *r, ffl_job_t *job);
/**
 * Frees a job's parts although their tasks may still run: their workers get
 * no new work before their full report was read.
 */
void ffl_job_abandon_parts(ffl_gang_ctx_t *r, ffl_job_t *job);
/** Stops every part that has not ended, with a checkpoint if asked for. */
void ffl_job_stop_parts(ffl_gang_ctx_t *r, ffl_job_t *job, bool checkpoint);
/** Returns true if the job has parts and all of them run or are done. */
bool ffl_job_fully_started(const ffl_job_t *job);
/** Counts a failed task against its job and its worker. */
void ffl_job_count_failure(ffl_gang_ctx_t *r, ffl_job_t *job, ffl_worker_t *w);
/** Appends a job's end record to the log, once. */
void ffl_job_append_end(ffl_gang_ctx_t *r, ffl_job_t *job, ffl_end_t end,
			const char *result);

#endif
