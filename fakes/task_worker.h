/**
 * @file task_worker.h
 * @brief A worker that runs tasks under leases, as the platform's do.
 *
 * Numbered ends, fencing tokens, leases on its own clock, incarnations. The
 * gangs of a site are shared by its workers.
 */
#ifndef FFL_TASK_WORKER_H
#define FFL_TASK_WORKER_H

#include "fireflyledge/arena.h"
#include "fireflyledge/order.h"

/** What a task is, by its name. */
typedef struct {
	uint32_t work_ms;
	uint32_t gang_tasks; /**< 0 where it is no gang */
	bool fails;
	const char *ticket; /**< that a start must carry; NULL: none */
	ffl_resources_t resources;
} task_plan_t;

/** A run on a worker. */
typedef struct {
	char task[FFL_TASK_NAME_BYTES];
	uint32_t run;
	uint64_t started_ms;
	uint32_t worked_ms;
	uint64_t stop_ms; /**< ends then; 0: not being stopped */
	ffl_run_end_t ending;
	uint32_t pace; /**< share of the work that it does, in percent */
	task_plan_t plan;
} task_run_t;

typedef struct {
	char id[16];
	bool alive;
	bool listed;
	bool draining;
	bool hangs;
	int64_t born_ms;
	uint64_t boot_ms; /**< site's time when its clock began */
	uint64_t token;
	uint64_t until_ms; /**< lease, by its clock */
	uint64_t last_end;
	GPtrArray *runs;   /**< of task_run_t */
	GPtrArray *ended;  /**< of ffl_run_report_t */
	GPtrArray *lapsed; /**< of bool: the lease has ended since that end */
	GHashTable
		*highest_past_run; /**< highest run ended or stopped, by task */
	ffl_resources_t capacity;
	ffl_resources_t used;
	uint32_t lease_max_ms;
} task_worker_t;

/** Tells what a task is; what no caller asked for has no plan. */
typedef bool (*task_plan_fn_t)(void *user, const char *task, task_plan_t *out);
/** Tells of a start and of an end. */
typedef struct {
	void *user;
	task_plan_fn_t plan;
	void (*started)(void *user, task_worker_t *w, const task_run_t *run);
	void (*ended)(void *user, task_worker_t *w,
		      const ffl_run_report_t *row);
	/** An end is acknowledged under the lease that it was listed under;
	 * after a lapse an acknowledgement binds nobody. */
	void (*acked)(void *user, task_worker_t *w,
		      const ffl_run_report_t *row);
	/** How many tasks of the gang of a run are present. */
	uint32_t (*count_present)(void *user, const task_run_t *run);
} task_hooks_t;

void task_worker_init(task_worker_t *w, uint32_t index, uint64_t now_ms);
void task_worker_finish(task_worker_t *w);
/** Loses everything; the worker is silent until task_worker_boot(). */
void task_worker_crash(task_worker_t *w);
void task_worker_boot(task_worker_t *w, uint64_t now_ms, int64_t born_ms);
uint64_t task_worker_clock(const task_worker_t *w, uint64_t now_ms);
/** Lets time pass. */
void task_worker_tick(task_worker_t *w, uint64_t now_ms, uint32_t ms,
		      const task_hooks_t *hooks);
/** Carries out an order; fills the answer. */
void task_worker_handle_order(task_worker_t *w, const ffl_order_t *order,
			      uint64_t now_ms, const task_hooks_t *hooks,
			      ffl_arena_t *arena, ffl_reply_t *out);
/** Extends the lease as an order says. */
void task_worker_extend_lease(task_worker_t *w, const ffl_order_t *order,
			      uint64_t now_ms);
void task_worker_fill_entry(const task_worker_t *w, uint64_t now_ms,
			    ffl_worker_entry_t *out);
task_run_t *task_worker_find(const task_worker_t *w, const char *task,
			     uint32_t run);

#endif
