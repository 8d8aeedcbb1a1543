/**
 * @file fake_worker.h
 * @brief A worker of the platform, without threads or clock.
 */
#ifndef FFL_FAKE_WORKER_H
#define FFL_FAKE_WORKER_H

#include "fireflyledge/worker.h"

/** A task on the worker. */
typedef struct {
	ffl_task_report_t report;
	uint64_t lease_until_ms;
	uint64_t run_from_ms;
	uint64_t run_ms;
	uint64_t changed_version;      /**< report version of its last change */
	uint64_t reported_progress_ms; /**< progress of that report */
	bool stuck;		       /**< makes no progress */
} fake_task_t;

typedef struct {
	ffl_name_t name;
	uint64_t epoch;
	uint64_t boot;
	uint32_t starts; /**< tasks ever started */
	bool fails_all;	 /**< every task fails as soon as it starts */
	uint64_t version;
	uint64_t leader_command_ms; /**< last command of the leader */
	uint64_t command_epoch; /**< epoch of the last command carried out */
	GArray *tasks;		/**< of fake_task_t */
	GArray *reports;	/**< of ffl_task_report_t, of the last reply */
} fake_worker_t;

void fake_worker_init(fake_worker_t *w, const char *name);
void fake_worker_finish(fake_worker_t *w);
/** Loses every task, as a restart does. */
void fake_worker_restart(fake_worker_t *w);
/** Ends tasks that have run their time or were not renewed. */
void fake_worker_advance(fake_worker_t *w, uint64_t now_ms);
/** Carries out a command; the reply is valid until the next one. */
void fake_worker_command(fake_worker_t *w, const ffl_worker_cmd_t *cmd,
			 uint64_t now_ms, ffl_worker_reply_t *reply);

#endif
