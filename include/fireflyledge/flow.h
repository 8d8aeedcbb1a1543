/**
 * @file flow.h
 * @brief Flows: jobs that consist of steps, and the progress of their tasks.
 *
 * A flow is a customer's job. Its steps have tasks, and each attempt to execute
 * a task is a run. A job that is repeated has several occurrences, each with
 * all steps and tasks. Tasks are numbered through over all occurrences.
 *
 * The leader writes a flow's progress to the log; other hosts read it from
 * there. A flow refers to workers by name only.
 */
#ifndef FFL_FLOW_H
#define FFL_FLOW_H

#include <inttypes.h>
#include <glib.h>

#include "fireflyledge/routes.h"
#include "fireflyledge/status.h"
#include "fireflyledge/types.h"

/** Size of a flow's id in bytes: 16 hexadecimal digits and a terminator. */
#define FFL_FLOW_ID_BYTES 17
/** Longest text for the workers (ffl_flow_spec_t.spec), in bytes. */
#define FFL_FLOW_SPEC_BYTES_MAX 4000
/** Most steps of a flow: each has a bit in ffl_step_t.prerequisites. */
#define FFL_FLOW_STEPS_MAX 64
/** Most tasks of a flow over all its occurrences. */
#define FFL_FLOW_TASKS_MAX 65536
/** Most tasks in one record of progress. The progress of a flow with more tasks
 * has several parts, each in a record of its own. */
#define FFL_PROGRESS_TASKS_MAX 128
/** Most bytes of the progress of one task, and of the rest of a record. */
#define FFL_PROGRESS_TASK_BYTES_MAX  333
#define FFL_PROGRESS_FRAME_BYTES_MAX 16
/** Size of the name of a part: the flow's id, and from the second part on a dot
 * and its number. */
#define FFL_PROGRESS_NAME_BYTES (FFL_FLOW_ID_BYTES + 11)
/** Size of the name of a specification on the log: the flow's id, a dot and a
 * hash of its owner. */
#define FFL_SPEC_NAME_BYTES (FFL_FLOW_ID_BYTES + 9)
/** Longest checkpoint, in bytes; a longer one is ignored. */
#define FFL_CHECKPOINT_BYTES_MAX 255

/** A step of a job: tasks with the same requirements. */
typedef struct {
	uint32_t tasks;		/**< number of tasks in an occurrence */
	uint32_t cpu_milli;	/**< of a task, in thousandths of a core */
	uint32_t mem_mb;	/**< of a task */
	uint32_t gpus;		/**< of a task */
	uint32_t estimate_ms;	/**< customer's estimate of the processing time,
				 * often far off */
	uint64_t prerequisites; /**< bit set of earlier steps that must be done
				 * before this one starts */
	bool gang;		/**< all tasks run together, or none */
	bool same_rack;		/**< slower if spread over several racks */
	bool writes_checkpoints;
	bool allows_duplicates;	   /**< a task may have more than one run at a
				    * time */
	bool runs_until_cancelled; /**< tasks do not end by themselves */
	bool best_effort; /**< uses processor time that other work leaves */
	ffl_name_t label; /**< label that the worker must have, or "" */
	ffl_name_t rack;  /**< rack that holds the step's data, or "" */
	ffl_name_t image;
	uint32_t per_worker_max;  /**< tasks of the step on one worker; 0: no
				   * limit */
	uint32_t target_ms;	  /**< latency objective of a task that runs
				   * until cancelled; 0: none */
	uint32_t unavailable_max; /**< tasks that may be absent at a time; 0: no
				   * limit */
	uint32_t first_task; /**< index of its first task in an occurrence */
} ffl_step_t;

/** Specification of a job. What its caller asked for never changes once it is
 * accepted. The rest is what the configuration says of its queue: the record
 * has it as of then, and the configuration in force goes before. */
typedef struct {
	char id[FFL_FLOW_ID_BYTES];
	ffl_name_t queue;
	ffl_name_t customer;
	ffl_name_t service;    /**< only workers of this service may run it */
	uint32_t priority;     /**< 0 is the highest */
	uint32_t attempts_max; /**< failures of a task that fail the job */
	/* The latency objective is objective_base_ms plus stretch_milli
	 * thousandths of the expected processing time. */
	uint32_t stretch_milli;
	uint32_t objective_base_ms;
	bool needs_tickets; /**< runs only on workers that the adviser allows */
	/** What the adviser takes to name them; not in the record. */
	ffl_adviser_times_t advice;
	uint64_t accepted_ms; /**< Unix time at the accepting host */
	uint64_t start_at_ms; /**< Unix time of the first occurrence */
	uint64_t interval_ms; /**< between the starts of two occurrences */
	uint32_t occurrences; /**< 1 if the job is not repeated */
	bool timed;	      /**< occurrences start at set times */
	uint32_t steps_count;
	uint32_t tasks_per_occurrence;
	ffl_step_t *steps;
	char *spec; /**< text for the workers, not interpreted here */
	/** Hash of that text if it was dropped, as the job has ended; 0: the
	 * text is there. */
	uint64_t text_sum;
} ffl_flow_spec_t;

/** State of a task. */
typedef enum {
	FFL_TASK_WAITING,
	FFL_TASK_PLACED, /**< assigned to a worker, perhaps running */
	FFL_TASK_DONE,
	FFL_TASK__MAX
} ffl_task_state_t;

/** A task of one occurrence. */
typedef struct {
	ffl_task_state_t state;
	uint32_t run;	     /**< number of its last run; 0 before the first */
	uint32_t failures;   /**< runs that failed by the task's own fault */
	uint32_t failed_run; /**< number of the last run counted in failures */
	char *worker;	     /**< worker that it is placed on, else NULL */
	int64_t born_ms;     /**< incarnation of that worker */
	char *checkpoint;    /**< newest checkpoint, or NULL */
	uint32_t live_runs;  /**< runs of it that the leader knows of */
} ffl_task_t;

/** Rate of progress of a step's tasks, converted to a worker of usual speed, in
 * thousandths of a percent per second. */
typedef struct {
	uint32_t run;  /**< number of the measured runs of its tasks */
	uint32_t mean; /**< over the tasks; 0: not known */
	uint32_t max;  /**< over the tasks */
} ffl_step_rate_t;

/** What is known of the record of a part of a flow's progress. */
typedef struct {
	bool known;	 /**< read, or written by this host */
	uint64_t offset; /**< older records are ignored */
	uint64_t sum;	 /**< hash of what was last written; 0: nothing */
} ffl_progress_part_t;

/** State of a flow. */
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
	uint64_t spec_offset; /**< offset of its specification in its partition
			       */
	uint32_t spec_part;   /**< partition in which it was first read */
	uint32_t spec_parts;  /**< partitions in which it stands, a bit each */
	uint64_t age_ms; /**< orders flows of several partitions, the lowest is
			  * the oldest; spec_offset orders those of one value */
	/** Under which its specification stands on the log. */
	char spec_name[FFL_SPEC_NAME_BYTES];
	ffl_progress_part_t *parts;
	uint32_t parts_count;
	bool has_progress; /**< progress has been read or written */
	bool cancelled;
	bool started; /**< a task has been placed at some time */
	bool failed;
	uint32_t done_count;   /**< tasks that are done */
	uint32_t placed_count; /**< tasks that are placed */
	ffl_task_t *tasks;
	uint32_t tasks_count;
	ffl_flow_state_t visible_state; /**< that callers are told: follows
					 * only from records on the log */
	/** State that was published or read, the one of the highest rank. */
	ffl_flow_state_t published_state;
	uint64_t state_offset; /**< of its newest known state record */
	/** That record holds another state: a late append came after it. */
	bool state_outdated;
	/* Used by the leader only. */
	ffl_flow_state_t batch_state; /**< recorded by the append in flight */
	uint64_t dirty_batch; /**< last batch that must record its progress; 0:
			       * none */
	uint64_t first_seen_ms; /**< when this host learned of it, or earlier if
				 * others had accepted it before */
	uint32_t tier;	   /**< value to the customer, in a ranking of flows */
	uint64_t limit_ms; /**< duration that meets its objective */
	uint64_t path_ms;  /**< least duration of what is left of it */
	uint32_t work_class;	  /**< of its work; 0 if that does not matter */
	uint64_t retry_ms;	  /**< no placement is tried before */
	uint64_t next_preempt_ms; /**< nothing is preempted for it before */
	uint32_t failed_at_once;  /**< runs that failed before they worked */
	uint64_t held_ms;  /**< when its last attempts were last said to wait */
	uint64_t ended_ms; /**< when it was first seen to have ended; 0: not */
	uint64_t dropped_ms;	/**< when it was last dropped from the log: its
				 * progress, later its specification; 0: not */
	ffl_step_rate_t *rates; /**< by occurrence and step, or NULL */
} ffl_flow_t;

/** All flows that a host knows. Records that come before the specification of
 * their flow are kept until it is read. */
typedef struct {
	GHashTable *by_id; /**< owns the flows */
	GPtrArray *open; /**< of ffl_flow_t *: flows not closed, oldest first */
	GHashTable *early_progress; /**< records of progress, by part */
	GHashTable *early_states;   /**< published states, by id */
	GHashTable *early_cancels;  /**< partition of the cancellation, by id */
	/** Specifications on the log whose ids belong to an earlier owner: the
	 * partition by the specification's name. */
	GHashTable *rivals;
} ffl_flows_t;

/** Returns true if an id is 16 hexadecimal digits. */
bool ffl_flow_id_is_valid(const char *id);
void ffl_flow_spec_init(ffl_flow_spec_t *spec);
void ffl_flow_spec_finish(ffl_flow_spec_t *spec);

/**
 * Validates a specification and computes its derived fields.
 *
 * @return FFL_OK, or FFL_INVALID with the reason in @p err
 */
ffl_status_t ffl_flow_spec_validate(ffl_flow_spec_t *spec, ffl_err_t *err);
/** Takes over what a route says of its queue; the queue's name stays. */
void ffl_flow_spec_set_route(ffl_flow_spec_t *spec, const ffl_route_t *route);
/** Returns true if two specifications request the same work, so that the second
 * is a retry of the first. */
bool ffl_flow_spec_equal(const ffl_flow_spec_t *a, const ffl_flow_spec_t *b);

/** Returns true if two specifications came by one queue and customer, to whom
 * the id belongs. */
bool ffl_flow_spec_same_owner(const ffl_flow_spec_t *a,
			      const ffl_flow_spec_t *b);
/** Writes the name of a specification on the log to @p out; of two owners of
 * an id each has a name of its own. */
void ffl_flow_spec_name(const ffl_flow_spec_t *spec,
			char out[FFL_SPEC_NAME_BYTES]);

/** Appends the encoded specification to @p out. */
void ffl_flow_spec_encode(const ffl_flow_spec_t *spec, GByteArray *out);
/** Decodes and validates a specification.
 * @return FFL_OK, or FFL_INVALID with @p out empty */
ffl_status_t ffl_flow_spec_decode(ffl_bytes_t in, ffl_flow_spec_t *out);

/** Writes the name of a part of a flow's progress to @p out. */
void ffl_flow_progress_name(const ffl_flow_t *flow, uint32_t part,
			    char out[FFL_PROGRESS_NAME_BYTES]);
/** Appends an encoded part of a flow's progress to @p out. */
void ffl_flow_progress_encode(const ffl_flow_t *flow, uint32_t part,
			      GByteArray *out);
/**
 * Encodes a part of a flow's progress if that has changed since the last call.
 *
 * @param out replaced
 * @return false if it has not changed, or no task has progress
 */
bool ffl_flow_progress_encode_changed(ffl_flow_t *flow, uint32_t part,
				      GByteArray *out);
/** Decodes a part and replaces that of @p flow. The first part of a record that
 * an earlier version wrote has all tasks.
 * @return FFL_OK, or FFL_INVALID with @p flow unchanged */
ffl_status_t ffl_flow_progress_decode(ffl_bytes_t in, ffl_flow_t *flow,
				      uint32_t part);
/** Returns the size of the largest record of progress that a flow may have. */
uint32_t ffl_flow_progress_bytes_max(const ffl_flow_spec_t *spec);

/** Replaces the text for the workers by its hash. No run of the job may be
 * started any more. */
void ffl_flow_spec_drop_text(ffl_flow_spec_t *spec);
/** Appends the encoded specification of a job that has ended, without the text
 * for the workers. */
void ffl_flow_spec_encode_ended(const ffl_flow_spec_t *spec, GByteArray *out);
/** Returns true if runs of a flow's tasks are known to the leader. */
bool ffl_flow_has_runs(const ffl_flow_t *flow);

/** Allocates a flow without progress and takes ownership of the contents of
 * @p spec, which has been validated. */
ffl_flow_t *ffl_flow_new(ffl_flow_spec_t *spec, uint64_t offset);
/** Frees an ffl_flow_t. */
void ffl_flow_free(void *data);

void ffl_flows_init(ffl_flows_t *flows);
void ffl_flows_finish(ffl_flows_t *flows);
/** Returns the flow with an id, or NULL. */
ffl_flow_t *ffl_flows_find(const ffl_flows_t *flows, const char *id);
/** Adds a flow and takes ownership of the contents of @p spec. If the id is
 * known, @p spec is freed and the known flow is returned. */
ffl_flow_t *ffl_flows_add(ffl_flows_t *flows, ffl_flow_spec_t *spec,
			  uint64_t offset);
/**
 * Applies a progress record from the log, unless a newer one of the same part
 * is known.
 *
 * @param name of the part, see ffl_flow_progress_name()
 * @return FFL_OK; FFL_NOT_FOUND if the flow is not known yet and the record was
 *         kept for it; FFL_INVALID if the record is malformed
 */
ffl_status_t ffl_flows_apply_progress(ffl_flows_t *flows, const char *name,
				      ffl_bytes_t value, uint64_t offset);
/** Marks a flow as cancelled, also one that is not known yet.
 * @param part partition that holds the cancellation */
void ffl_flows_cancel(ffl_flows_t *flows, const char *id, uint32_t part);
/** Applies a state from the topic of states, also to a flow that is not known
 * yet. A state that precedes the flow's published one is ignored. */
void ffl_flows_apply_state(ffl_flows_t *flows, const char *id,
			   ffl_flow_state_t state);
/** Discards all progress before it is read again, and reopens every flow. */
void ffl_flows_reset_progress(ffl_flows_t *flows);
/** Closes the flows whose published state is final. */
void ffl_flows_close_published(ffl_flows_t *flows);
/** On a new leader, makes the state that follows from the progress visible, and
 * closes the flows that have ended, also those whose progress has left the log.
 */
void ffl_flows_adopt_progress(ffl_flows_t *flows);
/** Compares the ages of two flows, negative if @p x is older. */
int ffl_flow_compare_age(const ffl_flow_t *x, const ffl_flow_t *y);
/** Returns true if a state is final: completed, failed or cancelled. */
bool ffl_flow_state_is_final(ffl_flow_state_t state);
/** Removes and frees a flow, if it is known. */
void ffl_flows_remove(ffl_flows_t *flows, const char *id);
/** Removes a flow from the open ones; it can still be found by its id. */
void ffl_flows_close(ffl_flows_t *flows, ffl_flow_t *flow);
/** Returns the number of flows in a queue whose visible state is queued. */
uint32_t ffl_flows_queued_count(const ffl_flows_t *flows, const char *queue);

/** Returns the state that follows from the current progress, on the log or
 * not. */
ffl_flow_state_t ffl_flow_state(const ffl_flow_t *flow);
/** Makes a state visible that is on the log. A flow that is queued or running
 * there but cancelled becomes visible as cancelled. */
void ffl_flow_set_visible_state(ffl_flow_t *flow, ffl_flow_state_t recorded);
/** Returns true if a flow is completed, failed or cancelled, also if only its
 * specification tells so; tasks may still be placed. */
bool ffl_flow_ended(const ffl_flow_t *flow);
/** Returns the step of a task; @p task counts over all occurrences. */
uint32_t ffl_flow_step_of(const ffl_flow_t *flow, uint32_t task);
/** Returns the index, over all occurrences, of a step's first task in an
 * occurrence. */
uint32_t ffl_flow_first_task(const ffl_flow_t *flow, uint32_t occurrence,
			     uint32_t step);
/** Returns the range of tasks in the gang of @p task, or @p task alone if its
 * step is not a gang. */
void ffl_flow_gang_range(const ffl_flow_t *flow, uint32_t task, uint32_t *first,
			 uint32_t *count);
/** Returns true if all prerequisites of a step are done in an occurrence. */
bool ffl_flow_step_ready(const ffl_flow_t *flow, uint32_t occurrence,
			 uint32_t step);
/** Sets a task's state and updates the flow's counts. The worker is cleared if
 * the task is no longer placed, the checkpoint if it is done. */
void ffl_flow_task_set_state(ffl_flow_t *flow, uint32_t task,
			     ffl_task_state_t state);
/** Marks a task as placed on a worker.
 * @param born_ms incarnation of the worker */
void ffl_flow_task_place(ffl_flow_t *flow, uint32_t task, uint32_t run,
			 const char *worker, int64_t born_ms);
/** Stores the newest checkpoint of a task, for a gang in all its tasks; NULL,
 * empty and overlong ones are ignored. */
void ffl_flow_task_set_checkpoint(ffl_flow_t *flow, uint32_t task,
				  const char *checkpoint);

const char *ffl_flow_state_name(uint32_t state);

#endif
