/**
 * @file gang_int.h
 * @brief Parts of the gangs that only their own files use.
 */
#ifndef FFL_GANG_INT_H
#define FFL_GANG_INT_H

#include "fireflyledge/gang.h"
#include "fireflyledge/sched.h"

/** What every step on the cell's workers needs at hand. */
typedef struct {
	ffl_gangs_t *g;
	ffl_fleet_t *fleet;
	const ffl_members_t *ms;
	ffl_logc_t *lc; /**< NULL while a reply is taken */
	uint64_t now_ms;
	ffl_actions_t *out;
} ffl_gang_run_t;

/** A task that a keeper has seen while the leader is silent. */
typedef struct {
	ffl_name_t worker;
	ffl_task_report_t task;
	uint64_t seen_ms;
} ffl_kept_t;

ffl_job_t *ffl_job_find(const ffl_gangs_t *g, uint64_t id);
void ffl_gang_times_init(ffl_gang_times_t *times, uint32_t lease_ms);

/** Sends a command; false where the worker has not been heard enough. */
bool ffl_worker_command(ffl_gang_run_t *r, ffl_worker_t *w,
			ffl_worker_cmd_t *cmd);
bool ffl_part_command(ffl_gang_run_t *r, ffl_job_t *job, uint32_t rank,
		      ffl_wcmd_t kind);
/** Tells whether a worker belongs to this host's cell. */
bool ffl_worker_ours(const ffl_gang_run_t *r, const ffl_worker_t *w);

/** Judges this host's authority; false where it may have no effect. */
bool ffl_authority_run(ffl_gang_run_t *r);
/** Tells whether enough of the cell's workers satisfy @p test. */
bool ffl_authority_quorum(const ffl_gang_run_t *r,
			  bool (*test)(const ffl_gang_run_t *r,
				       const ffl_worker_t *w));
/** Tells whether a worker has been silent for longer than its leases. */
bool ffl_worker_silent(const ffl_gang_run_t *r, const ffl_worker_t *w);
/** Tells whether every lease on a silent worker is proven to be over. */
bool ffl_worker_lapsed(const ffl_gang_run_t *r, const ffl_worker_t *w);

/** Asks workers for their reports and renews their leases. */
void ffl_gang_renew(ffl_gang_run_t *r, bool may_act);
/** Renews whole gangs for a leader that is silent. */
void ffl_keep_run(ffl_gang_run_t *r);
void ffl_keep_on_reply(ffl_gang_run_t *r, ffl_worker_t *w,
		       const ffl_worker_reply_t *reply);

void ffl_job_set_state(ffl_gang_run_t *r, ffl_job_t *job,
		       ffl_job_state_t state);
/** Frees a job's members and their slots. */
void ffl_job_release(ffl_gang_run_t *r, ffl_job_t *job);
/** Frees a job's members whose tasks may still run: their workers are read
 * in full before they take anything new. */
void ffl_job_abandon(ffl_gang_run_t *r, ffl_job_t *job);
/** Stops every member that is left. */
void ffl_job_stop(ffl_gang_run_t *r, ffl_job_t *job, bool save);
bool ffl_job_whole(const ffl_job_t *job);
/** Counts a failed task as evidence on its job and worker. */
void ffl_job_failed(ffl_gang_run_t *r, ffl_job_t *job, ffl_worker_t *w);
/** Queues a job's end record, once. */
void ffl_job_end(ffl_gang_run_t *r, ffl_job_t *job, ffl_end_t end,
		 const char *result);

#endif
