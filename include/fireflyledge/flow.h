/**
 * @file flow.h
 * @brief Jobs made of steps: what was asked, and how far each task has come.
 *
 * A flow knows no worker but by name. Its specification never changes once
 * accepted; its progress is written by one leader at a time and folded by
 * every host from the log.
 */
#ifndef FFL_FLOW_H
#define FFL_FLOW_H

#include <inttypes.h>
#include <glib.h>

#include "fireflyledge/status.h"
#include "fireflyledge/types.h"

/** Identifier of a flow, 16 hexadecimal digits, with its terminator. */
#define FFL_FLOW_ID_BYTES 17
/** Longest specification that is handed to workers unread, in bytes. */
#define FFL_FLOW_SPEC_BYTES_MAX 4000
/** Steps of a flow: one bit each in the set of steps that one waits for. */
#define FFL_FLOW_STEPS_MAX 64
/** Tasks of a flow over all its occurrences; more are refused. */
#define FFL_FLOW_TASKS_MAX 65536
/** Longest checkpoint, in bytes; a longer one is dropped. */
#define FFL_CHECKPOINT_BYTES_MAX 255

/** A step: tasks that are alike. */
typedef struct {
	uint32_t tasks;
	uint32_t cpu_milli;
	uint32_t mem_mb;
	uint32_t gpus;
	uint32_t estimate_ms;	/**< the customer's own, often far off */
	uint64_t prerequisites; /**< bit set of steps that must be done first */
	bool gang;		/**< all tasks run, or none */
	bool same_rack;		/**< slower when spread over racks */
	bool writes_checkpoints; /**< writes checkpoints */
	bool allows_duplicates;	 /**< more than one run of a task is allowed */
	bool runs_until_cancelled; /**< runs until cancelled */
	bool best_effort;	   /**< uses processor time that others leave */
	ffl_name_t label; /**< label that the worker must have, or "" */
	ffl_name_t rack;  /**< rack of its data, or "" */
	ffl_name_t image;
	uint32_t per_worker_max; /**< tasks of the step on a worker; 0: any */
	uint32_t target_ms;	 /**< latency objective of a lasting task */
	uint32_t unavailable_max;
	uint32_t first_task; /**< index of its first task in an occurrence */
} ffl_step_t;

/** What was asked. */
typedef struct {
	char id[FFL_FLOW_ID_BYTES];
	ffl_name_t queue;
	ffl_name_t service;
	ffl_name_t customer;
	uint32_t priority; /**< 0 comes first */
	uint32_t attempts_max;
	uint32_t stretch_milli;	    /**< objective as thousandths of the work */
	uint32_t objective_base_ms; /**< added to the objective */
	uint64_t accepted_ms;	    /**< Unix time at the accepting host */
	uint64_t start_at_ms;	    /**< Unix time of the first occurrence */
	uint64_t interval_ms;
	uint32_t occurrences; /**< 1 where the flow is not repeated */
	bool timed;
	bool needs_tickets; /**< runs only where the adviser allows it */
	uint32_t steps_count;
	uint32_t tasks_per_occurrence; /**< tasks of one occurrence */
	ffl_step_t *steps;
	char *spec;
} ffl_flow_spec_t;

/** State of a task. */
typedef enum {
	FFL_TASK_WAITING,
	FFL_TASK_PLACED, /**< ordered at a worker, perhaps running */
	FFL_TASK_DONE,
	FFL_TASK__MAX
} ffl_task_state_t;

/** A task. */
typedef struct {
	ffl_task_state_t state;
	uint32_t run;	     /**< number of its last run, 0 before the first */
	uint32_t failures;   /**< runs that failed by the task's own fault */
	uint32_t failed_run; /**< last run that was counted as failed */
	char *worker;	     /**< while placed */
	int64_t born_ms;     /**< incarnation of that worker */
	char *checkpoint;    /**< NULL where there is none */
} ffl_task_t;

/** How fast a run of a step goes on a worker of usual speed, in thousandths
 * of a percent a second. */
typedef struct {
	uint32_t run;  /**< number of the run that was looked at */
	uint32_t mean; /**< over its tasks, 0: not known */
	uint32_t max;
} ffl_step_rate_t;

/** State of a flow as its customer sees it. */
typedef enum {
	FFL_FLOW_QUEUED,
	FFL_FLOW_RUNNING,
	FFL_FLOW_COMPLETED,
	FFL_FLOW_FAILED,
	FFL_FLOW_CANCELLED,
	FFL_FLOW__MAX
} ffl_flow_state_t;

/** A flow and its progress. */
typedef struct {
	ffl_flow_spec_t spec;
	uint64_t spec_offset; /**< offset of its record: age among flows */
	uint64_t progress_offset;
	bool has_progress;
	bool cancelled;
	bool started; /**< a task has been placed */
	bool failed;
	uint32_t done_count;
	uint32_t placed_count;
	ffl_task_t *tasks;
	uint32_t tasks_count;
	ffl_flow_state_t visible_state;	  /**< from acknowledged records only */
	ffl_flow_state_t published_state; /**< that the topic of states has */
	/* What only the leader uses. */
	ffl_flow_state_t batch_state; /**< in the batch on its way */
	uint64_t
		dirty_batch; /**< batch that must carry its progress; 0: none */
	uint64_t first_seen_ms;
	uint32_t tier;	   /**< what it is worth, while flows are ranked */
	uint64_t retry_ms; /**< no placement before */
	uint64_t next_preempt_ms; /**< nothing more is stopped for it before */
	uint64_t ended_ms;	  /**< when it was first seen to have ended */
	uint64_t dropped_ms; /**< when its progress was dropped from the log */
	ffl_step_rate_t *rates; /**< of each step of each occurrence, or NULL */
} ffl_flow_t;

/** Every flow that a host knows. */
typedef struct {
	GHashTable *by_id;
	GPtrArray *open; /**< of ffl_flow_t *: not ended, oldest first */
	GHashTable
		*early_progress;  /**< progress read before its specification */
	GHashTable *early_states; /**< published states, likewise */
	GHashTable *early_cancels; /**< ids cancelled before that */
} ffl_flows_t;

void ffl_flow_spec_init(ffl_flow_spec_t *spec);
void ffl_flow_spec_finish(ffl_flow_spec_t *spec);

/**
 * Checks a specification and fills in what follows from it.
 *
 * @return FFL_OK, or FFL_INVALID with the reason in @p err
 */
ffl_status_t ffl_flow_spec_validate(ffl_flow_spec_t *spec, ffl_err_t *err);
/** Tells whether two specifications ask for the same. */
bool ffl_flow_spec_equal(const ffl_flow_spec_t *a, const ffl_flow_spec_t *b);

/** Writes a specification as a record. */
void ffl_flow_spec_encode(const ffl_flow_spec_t *spec, GByteArray *out);
/** Reads one; FFL_INVALID where the bytes are none. */
ffl_status_t ffl_flow_spec_decode(ffl_bytes_t in, ffl_flow_spec_t *out);

/** Writes a flow's progress as a record. */
void ffl_flow_progress_encode(const ffl_flow_t *flow, GByteArray *out);
/** Replaces a flow's progress; on FFL_INVALID it is left as it was. */
ffl_status_t ffl_flow_progress_decode(ffl_bytes_t in, ffl_flow_t *flow);

void ffl_flows_init(ffl_flows_t *flows);
void ffl_flows_finish(ffl_flows_t *flows);
ffl_flow_t *ffl_flows_find(const ffl_flows_t *flows, const char *id);
/** Adds a flow, taking over @p spec; the first of an id stands. */
ffl_flow_t *ffl_flows_add(ffl_flows_t *flows, ffl_flow_spec_t *spec,
			  uint64_t offset);
/** Takes a progress record that was read from the log. */
ffl_status_t ffl_flows_apply_progress(ffl_flows_t *flows, const char *id,
				      ffl_bytes_t value, uint64_t offset);
/** Takes the cancellation of a flow, which may be read before it. */
void ffl_flows_cancel(ffl_flows_t *flows, const char *id);
/** Takes a published state, which may be read before its flow; one that comes
 * before another in a flow's life changes nothing after it. */
void ffl_flows_apply_state(ffl_flows_t *flows, const char *id,
			   ffl_flow_state_t state);
/** Forgets all progress, before it is read anew; every flow is open again. */
void ffl_flows_reset_progress(ffl_flows_t *flows);
/** Closes the flows whose published state is final. */
void ffl_flows_close_published(ffl_flows_t *flows);
/** Shows the progress that was read, and closes what has ended. */
void ffl_flows_adopt_progress(ffl_flows_t *flows);
/** Tells whether a state stays. */
bool ffl_flow_state_is_final(ffl_flow_state_t state);
void ffl_flows_remove(ffl_flows_t *flows, const char *id);
/** Takes a flow off the open ones once it has ended. */
void ffl_flows_close(ffl_flows_t *flows, ffl_flow_t *flow);
/** Flows of a queue that nothing has been started of and that may start. */
uint32_t ffl_flows_queued_count(const ffl_flows_t *flows, const char *queue);

/** State that follows from what is known now. */
ffl_flow_state_t ffl_flow_state(const ffl_flow_t *flow);
/** Shows a state that is on the log; a cancellation is on the log too. */
void ffl_flow_set_visible_state(ffl_flow_t *flow, ffl_flow_state_t recorded);
/** Tells whether a flow is completed, failed or cancelled. */
bool ffl_flow_ended(const ffl_flow_t *flow);
/** Step of a task, by the task's index over all occurrences. */
uint32_t ffl_flow_step_of(const ffl_flow_t *flow, uint32_t task);
/** Index of a step's first task in an occurrence. */
uint32_t ffl_flow_first_task(const ffl_flow_t *flow, uint32_t occurrence,
			     uint32_t step);
/** Range of the tasks that end together with one: its gang, or itself. */
void ffl_flow_gang_range(const ffl_flow_t *flow, uint32_t task, uint32_t *first,
			 uint32_t *count);
/** Tells whether all steps that a step waits for are done. */
bool ffl_flow_step_ready(const ffl_flow_t *flow, uint32_t occurrence,
			 uint32_t step);
/** Changes a task's state and the counts that follow from it. */
void ffl_flow_task_set_state(ffl_flow_t *flow, uint32_t task,
			     ffl_task_state_t state);
void ffl_flow_task_place(ffl_flow_t *flow, uint32_t task, uint32_t run,
			 const char *worker, int64_t born_ms);
/** Keeps the newest checkpoint of a task; for a gang, of all its tasks. */
void ffl_flow_task_set_checkpoint(ffl_flow_t *flow, uint32_t task,
				  const char *saved);

const char *ffl_flow_state_name(uint32_t state);

#endif
