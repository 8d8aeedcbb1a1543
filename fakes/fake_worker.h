/**
 * @file fake_worker.h
 * @brief In-memory replacement of a platform worker, without threads or a
 * clock.
 */
#ifndef FFL_FAKE_WORKER_H
#define FFL_FAKE_WORKER_H

#include "fireflyledge/worker.h"

/** A task on the worker; times are on the caller's clock. */
typedef struct {
	ffl_task_report_t report;
	uint64_t lease_until_ms;
	uint64_t run_from_ms;	  /**< start, moved back by earlier progress */
	uint64_t run_ms;	  /**< total time that the task needs */
	uint64_t changed_version; /**< report version of its last change */
	uint64_t reported_progress_ms; /**< progress at that version */
	bool stuck;		       /**< makes no progress */
} fake_task_t;

typedef struct {
	ffl_name_t name;
	uint64_t epoch;	  /**< highest epoch seen; lower ones are refused */
	uint64_t boot;	  /**< number of this boot, from 1 */
	uint32_t starts;  /**< tasks ever started */
	bool fails_all;	  /**< each task fails when it starts */
	uint64_t version; /**< report version; grows with each change */
	uint64_t leader_command_ms; /**< time of the last command other than
				       keep */
	uint64_t command_epoch; /**< epoch of the last command carried out */
	GArray *tasks;		/**< of fake_task_t */
	GArray *reports;	/**< of ffl_task_report_t, of the last reply */
} fake_worker_t;

void fake_worker_init(fake_worker_t *w, const char *name);
void fake_worker_finish(fake_worker_t *w);
/** Restarts the worker: it loses all tasks and gets a new boot number. */
void fake_worker_restart(fake_worker_t *w);
/** Ends tasks that have run to completion or whose lease has expired. */
void fake_worker_advance(fake_worker_t *w, uint64_t now_ms);
/**
 * Carries out a command.
 *
 * reply->status is FFL_DENIED for a stale epoch and FFL_UNAVAILABLE for
 * another boot or a command past its not_after_ms. The task reports belong to
 * the worker and are valid until the next command.
 */
void fake_worker_command(fake_worker_t *w, const ffl_worker_cmd_t *cmd,
			 uint64_t now_ms, ffl_worker_reply_t *reply);

#endif
