/**
 * @file task_worker.h
 * @brief Simulated worker that runs tasks under a lease.
 *
 * It numbers the ends of runs, checks fencing tokens and keeps its lease by its
 * own clock. As on the platform, an order names its worker by id alone, and
 * only reports and entries tell the incarnation: an order that was sent to an
 * earlier incarnation is carried out by the present one. The members of a gang
 * may be on several workers; task_hooks_t.count_present counts them.
 */
#ifndef FFL_TASK_WORKER_H
#define FFL_TASK_WORKER_H

#include "fireflyledge/arena.h"
#include "fireflyledge/order.h"

/** Usual reading of a clock that starts anew. */
#define TASK_WORKER_FIRST_CLOCK_MS 1000

/** Properties of a task. */
typedef struct {
	uint32_t work_ms;
	uint32_t gang_tasks; /**< size of its gang; 0: no gang */
	bool fails;	     /**< ends as failed */
	const char *ticket;  /**< that a start order must carry; NULL: none */
	ffl_resources_t resources;
} task_plan_t;

/** A run of a task on a worker. */
typedef struct {
	char task[FFL_TASK_NAME_BYTES];
	uint32_t run;
	uint64_t started_ms;
	uint32_t worked_ms;
	uint64_t stop_ms; /**< when a stop completes; 0: not stopping */
	ffl_run_end_t ending;
	uint32_t pace; /**< speed in percent of the full one */
	task_plan_t plan;
} task_run_t;

typedef struct {
	char id[16];
	char addr[16];
	char dc[16]; /**< its data centre */
	ffl_name_t service;
	bool alive;
	bool listed;
	bool draining;
	bool hangs;	  /**< runs make no progress */
	int64_t born_ms;  /**< start time; identifies the incarnation */
	uint64_t boot_ms; /**< simulation time at which its clock started */
	uint64_t first_clock_ms; /**< reading of its clock then */
	uint64_t token;		 /**< highest fencing token seen */
	uint64_t reported_token; /**< highest one of a report, of any
				    incarnation */
	uint64_t until_ms;	 /**< end of the lease, on its own clock */
	uint64_t last_end;	 /**< number of the last end of a run */
	uint64_t entries;	 /**< entries of this incarnation in the list */
	GPtrArray *runs;	 /**< of task_run_t */
	GPtrArray *ended;  /**< ends not acknowledged, of ffl_run_report_t */
	GPtrArray *lapsed; /**< of bool, as ended: the lease expired after it */
	GHashTable
		*highest_past_run; /**< highest run ended or stopped, by task */
	ffl_resources_t capacity;
	ffl_resources_t used;
	uint32_t lease_max_ms;
} task_worker_t;

/** Looks up a task; false for one that nobody submitted. */
typedef bool (*task_plan_fn_t)(void *user, const char *task, task_plan_t *out);
/** Callbacks of the simulation. */
typedef struct {
	void *user;
	task_plan_fn_t plan;
	void (*started)(void *user, task_worker_t *w, const task_run_t *run);
	void (*ended)(void *user, task_worker_t *w,
		      const ffl_run_report_t *row);
	/** An end was acknowledged. Not called where the lease expired after
	 * the end: such an acknowledgement is not binding. */
	void (*acked)(void *user, task_worker_t *w,
		      const ffl_run_report_t *row);
	/** Returns how many tasks of the gang of a run are on workers. */
	uint32_t (*count_present)(void *user, const task_run_t *run);
} task_hooks_t;

void task_worker_init(task_worker_t *w, uint32_t index, uint64_t now_ms);
void task_worker_finish(task_worker_t *w);
/** Crashes the worker: it loses all runs and is down until
 * task_worker_boot(). */
void task_worker_crash(task_worker_t *w);
/** Starts a new incarnation without a lease, whose clock begins at
 * @p clock_ms. */
void task_worker_boot(task_worker_t *w, uint64_t now_ms, int64_t born_ms,
		      uint64_t clock_ms);
/** Converts simulation time to the clock of the worker, in milliseconds. */
uint64_t task_worker_clock(const task_worker_t *w, uint64_t now_ms);
/** Advances the runs by @p ms and ends those that are due. */
void task_worker_tick(task_worker_t *w, uint64_t now_ms, uint32_t ms,
		      const task_hooks_t *hooks);
/** Carries out an order and fills the reply. */
void task_worker_handle_order(task_worker_t *w, const ffl_order_t *order,
			      uint64_t now_ms, const task_hooks_t *hooks,
			      ffl_arena_t *arena, ffl_reply_t *out);
/** Extends the lease to the end in the order, by at most lease_max_ms from
 * now. */
void task_worker_extend_lease(task_worker_t *w, const ffl_order_t *order,
			      uint64_t now_ms);
/** Fills the next entry of the worker in the list of workers. */
void task_worker_fill_entry(task_worker_t *w, uint64_t now_ms,
			    ffl_worker_entry_t *out);
/** Returns a run, or NULL where it is not on the worker. */
task_run_t *task_worker_find(const task_worker_t *w, const char *task,
			     uint32_t run);

#endif
