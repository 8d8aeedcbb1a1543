/**
 * @file dispatch_int.h
 * @brief Declarations shared by the files of the dispatcher.
 */
#ifndef FFL_DISPATCH_INT_H
#define FFL_DISPATCH_INT_H

#include "fireflyledge/explain.h"

/** Deadline of a start order. It covers both ways between regions and the
 * worker's processing. */
#define START_TIMEOUT_MS 400
/** Length of a lease, in percent of the longest that workers grant. The rest
 * gives the next leader time to adopt the runs. */
#define LEASE_PERCENT 65
/** How long the reply to a renew order may wait for a run to end; workers
 * allow no more. */
#define REPORT_WAIT_MS 1000
/** The same on a worker with a latency objective: its latency figures cover
 * the last half second only. */
#define OBJECTIVE_REPORT_WAIT_MS 500
/** Lowest rate of a worker's clock: it may be 2% slow. */
#define CLOCK_SLOW_PERCENT 98
#define PERCENT		   100
/** A job that takes longer than this multiple of its objective is worth nothing
 * any more; the platform defines this figure. */
#define FFL_LATE_FACTOR 3
/** Jobs with less slack than this share of their remaining time leave no room
 * free to others, and so may pass them. */
#define FFL_SLACK_PERCENT 40

/** An order that has not been answered yet. */
typedef struct {
	uint64_t call;
	ffl_order_kind_t kind;
	ffl_dispatch_worker_t *worker;
	ffl_run_t *run; /**< NULL for a renew order, or if the run is gone */
	uint64_t sent_ms;
	/** End of the lease in the order; 0: none. It counts as given until the
	 * order is known not to have been sent. */
	uint64_t lease_end_ms;
	uint64_t until_ms; /**< the same by the worker's clock, as sent */
	uint64_t token;	   /**< as in the order */
	uint64_t acked;	   /**< as in the order */
	uint32_t percent;  /**< speed limit in the order */
	/** The clock in its answer is another incarnation's than the known one.
	 */
	bool other_clock;
} ffl_open_call_t;

/** Passes an event to the caller's log; the text is cut at
 * FFL_REASON_BYTES. */
void ffl_dispatch_note(ffl_dispatch_t *d, const char *event,
		       const char *subject, const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));

void ffl_dispatch_report_latency(ffl_dispatch_t *d, ffl_latency_t what,
				 uint64_t ms);

/* worker.c */

/** Returns the worker of an id, and adds one without an entry if it is not
 * known. */
ffl_dispatch_worker_t *ffl_dispatch_worker_get(ffl_dispatch_t *d,
					       const char *id);
void ffl_dispatch_worker_destroy(void *data);
/** Must be called when a run is added to a worker, and when it has to be asked
 * for a report. */
void ffl_dispatch_worker_follow(ffl_dispatch_t *d, ffl_dispatch_worker_t *w);
void ffl_resources_add(ffl_resources_t *to, const ffl_resources_t *amount);

/* The next four are called for each worker in the search for a place. */

static inline bool ffl_resources_fit(const ffl_resources_t *available,
				     const ffl_resources_t *need)
{
	return available->cpu_milli >= need->cpu_milli &&
	       available->mem_mb >= need->mem_mb &&
	       available->gpus >= need->gpus;
}

/** Returns the number of tasks that fit, UINT32_MAX if they need nothing. */
static inline uint32_t ffl_resources_slots(const ffl_resources_t *available,
					   const ffl_resources_t *need)
{
	uint32_t slots = UINT32_MAX;

	if (need->gpus)
		slots = MIN(slots, available->gpus / need->gpus);
	if (need->cpu_milli)
		slots = MIN(slots, available->cpu_milli / need->cpu_milli);
	if (need->mem_mb)
		slots = MIN(slots, available->mem_mb / need->mem_mb);
	return slots;
}

/** Subtracts an amount; no resource goes below 0. */
static inline void ffl_resources_subtract(ffl_resources_t *from,
					  const ffl_resources_t *amount)
{
	from->cpu_milli -= MIN(from->cpu_milli, amount->cpu_milli);
	from->mem_mb -= MIN(from->mem_mb, amount->mem_mb);
	from->gpus -= MIN(from->gpus, amount->gpus);
}

/** Returns the part of a worker's capacity that no run uses. */
static inline ffl_resources_t
ffl_dispatch_worker_available(const ffl_dispatch_worker_t *w)
{
	ffl_resources_t available = w->entry.capacity;

	ffl_resources_subtract(&available, &w->used);
	return available;
}

/** Returns the time at which a lease given now has ended on the slowest clock.
 */
uint64_t ffl_lease_end_ms(uint64_t lease_ms, uint64_t now_ms);
/**
 * Works out a lease from now on.
 *
 * @param end_ms receives the time at which it has certainly ended
 * @return end of the lease by the worker's clock, in ms; 0 if its clock is
 *         not known
 */
uint64_t ffl_dispatch_worker_grant_lease(const ffl_dispatch_t *d,
					 const ffl_dispatch_worker_t *w,
					 uint64_t now_ms, uint64_t *end_ms);
/** Records that an order, which was sent by now, was left unanswered. */
void ffl_dispatch_note_unanswered(const ffl_dispatch_t *d,
				  const ffl_open_call_t *call, uint64_t now_ms);
/** Records a reading of the worker's clock; 0 is ignored. */
void ffl_dispatch_worker_set_clock(ffl_dispatch_worker_t *w, uint64_t clock_ms,
				   uint64_t now_ms);
/** Notes a run that is given up, in case its worker starts again. */
void ffl_dispatch_worker_note_given_up(const ffl_run_t *run);
/** Ends the runs of a worker whose address another one has taken: no order can
 * reach it any more. */
void ffl_dispatch_worker_end_runs(ffl_dispatch_t *d, ffl_dispatch_worker_t *w,
				  uint64_t now_ms);
/** Handles a new incarnation under the id of a worker. It may have carried out,
 * or may still carry out, orders for the one before. */
void ffl_dispatch_worker_restart(ffl_dispatch_t *d, ffl_dispatch_worker_t *w,
				 int64_t born_ms, uint64_t now_ms);
/** Assigns the fencing token of the orders to a worker; returns false if none
 * may be sent yet. */
bool ffl_dispatch_worker_assign_token(const ffl_dispatch_t *d,
				      ffl_dispatch_worker_t *w);
/**
 * Returns true if one more worker may be left out.
 *
 * @param is_left_out tells whether a worker is at a time
 * @param max_percent largest share of the listed workers that may be
 */
bool ffl_dispatch_may_leave_out(
	const ffl_dispatch_t *d,
	bool (*is_left_out)(const ffl_dispatch_worker_t *, uint64_t),
	uint32_t max_percent, uint64_t now_ms);

/* trust.c */

/** Forgets what is known of a worker's failures. */
void ffl_trust_reset(ffl_dispatch_worker_t *w);
void ffl_trust_count_success(ffl_dispatch_worker_t *w);
/** Counts a run that was reported at work. */
void ffl_trust_count_work(ffl_dispatch_worker_t *w, const ffl_run_t *run,
			  uint64_t now_ms);
/** Counts a failed run, and quarantines its worker if it seems to be at fault.
 */
void ffl_trust_count_failure(ffl_dispatch_t *d, ffl_run_t *run,
			     uint64_t now_ms);

/* rack.c */

void ffl_racks_init(ffl_dispatch_t *d);
void ffl_racks_finish(ffl_dispatch_t *d);
/** Must be called when a worker is listed, unlisted or changes its rack. */
void ffl_racks_invalidate(ffl_dispatch_t *d);
/** Returns the racks of the listed workers, of ffl_rack_t *. */
const GPtrArray *ffl_dispatch_racks(ffl_dispatch_t *d);
/** Returns the listed workers by id, of ffl_dispatch_worker_t *. */
const GPtrArray *ffl_listed_workers(ffl_dispatch_t *d);

/* speed.c */

/** Returns a worker's usual speed, in thousandths of the mean worker's. */
uint32_t ffl_dispatch_worker_speed(const ffl_dispatch_worker_t *w);
/** Returns true if a worker runs well below its usual speed. */
bool ffl_dispatch_worker_is_slow(const ffl_dispatch_worker_t *w,
				 uint64_t now_ms);
/** Returns the rate that a run has while its worker is not slowed down, in
 * thousandths of a percent a second; 0 if not known. */
uint64_t ffl_run_expected_rate(const ffl_dispatch_t *d, const ffl_run_t *run);
/** Starts a window over which a run's rate is measured, at a time by its
 * worker's clock. */
void ffl_run_begin_rate_window(ffl_run_t *run, uint32_t percent,
			       uint64_t clock_ms);
/**
 * Updates a run's rate, and its worker's speed, from reported progress.
 *
 * @param clock_ms when the report was made, by the worker's clock
 */
void ffl_run_sample_rate(ffl_dispatch_t *d, ffl_run_t *run, uint32_t percent,
			 uint64_t clock_ms, uint64_t now_ms);

/* disruption.c */

/**
 * Returns true if a run may be stopped without exceeding the number of tasks
 * of its step that may be unavailable.
 *
 * @param stopping of ffl_run_t *: runs that are to be stopped too, or NULL
 */
bool ffl_step_allows_disruption(const ffl_dispatch_t *d, const ffl_run_t *run,
				GHashTable *stopping);

/* evacuation.c */

/** Works out whether a worker's data centre is being evacuated. */
void ffl_dispatch_worker_set_evacuated(const ffl_dispatch_t *d,
				       ffl_dispatch_worker_t *w);

/* run.c */

/** Adds a run and takes its resources from the worker. */
ffl_run_t *ffl_run_add(ffl_dispatch_t *d, ffl_flow_t *flow, uint32_t task,
		       uint32_t run, ffl_dispatch_worker_t *w, uint64_t now_ms);
/** Takes a run back, with its resources, and frees it. */
void ffl_run_remove(ffl_dispatch_t *d, ffl_run_t *run);
/** Returns the runs of a flow, of ffl_run_t *; never NULL. */
const GPtrArray *ffl_runs_of_flow(const ffl_dispatch_t *d,
				  const ffl_flow_t *flow);
/** Frees all runs. The caller clears the workers' references to them. */
void ffl_runs_clear(ffl_dispatch_t *d);
/** Returns the run that a worker's report is about, or NULL. */
ffl_run_t *ffl_run_find(const ffl_dispatch_worker_t *w,
			const ffl_run_report_t *report);
/**
 * Handles the end of a run and frees it.
 *
 * @param checkpoint last checkpoint, or NULL if not known
 */
void ffl_run_finish(ffl_dispatch_t *d, ffl_run_t *run, ffl_run_end_t end,
		    const char *checkpoint, uint64_t now_ms);
/** Completes a task by the success of a run that had been given up. It counts
 * also if the task has been placed again: the later run is stopped. */
void ffl_run_accept_late_success(ffl_dispatch_t *d, ffl_flow_t *flow,
				 uint32_t task, uint32_t run);
/**
 * Marks a run, and all of its gang, to be stopped.
 *
 * @param reason static string, for the log
 */
void ffl_run_request_stop(ffl_dispatch_t *d, ffl_run_t *run,
			  const char *reason);
/** Puts a flow's progress into the next batch and requests a placement
 * pass. */
void ffl_dispatch_mark_dirty(ffl_dispatch_t *d, ffl_flow_t *flow);
const ffl_step_t *ffl_run_step(const ffl_run_t *run);
/** Returns true if two runs are of one step of one occurrence. */
bool ffl_run_same_step(const ffl_run_t *a, const ffl_run_t *b);
bool ffl_run_same_gang(const ffl_run_t *a, const ffl_run_t *b);

/* place.c */

/** Places what fits of the open jobs, and preempts for guaranteed ones. */
void ffl_place_flows(ffl_dispatch_t *d, uint64_t now_ms, uint64_t wall_ms);

/** Resource demand that could not be met in the current pass. */
typedef struct {
	ffl_resources_t resources; /**< of one task */
	const char *service;
	const char *label;
	const char *rack; /**< "": tried in any rack */
	uint32_t tasks;
	bool guaranteed;
	bool gang;
	bool one_rack; /**< tried within single racks only */
} ffl_demand_t;

typedef struct ffl_place_request ffl_place_request_t;
typedef struct ffl_preempt_plan ffl_preempt_plan_t;

/** What becomes of the decisions on a step: they are carried out, or only
 * recorded for an explanation. A run has taken its resources by then. */
typedef struct {
	void (*placed)(ffl_dispatch_t *d, const ffl_place_request_t *req,
		       ffl_run_t *run);
	void (*preempt)(ffl_preempt_plan_t *plan);
	void (*wait)(ffl_dispatch_t *d, const ffl_place_request_t *req,
		     ffl_wait_t why);
} ffl_place_effects_t;

/** A step of one occurrence whose waiting tasks are to be placed. */
struct ffl_place_request {
	ffl_flow_t *flow;
	const ffl_step_t *step;
	uint32_t step_index;
	uint32_t occurrence;
	uint32_t first; /**< index of the step's first task */
	uint32_t task;	/**< task to be placed next; of a gang the first */
	uint64_t now_ms;
	bool guaranteed;      /**< within its customer's guarantee */
	bool local_only;      /**< only in the data's rack, gang in one rack */
	bool skip_slow;	      /**< not on slow workers */
	bool must_start;      /**< guaranteed work that may wait no longer */
	bool expired_tickets; /**< tickets that have expired count, too */
	bool started;	      /**< its flow has had a run before */
	const ffl_place_effects_t *effects;
	void *effects_user; /**< for the effects */
};

/** Ranks the open flows, and another one unless it is NULL, and selects those
 * of priority 0 whose GPUs are covered by their customer's guarantee.
 *
 * @param ranked receives ffl_flow_t *, best rank first
 * @param guaranteed a set that receives the selected ones
 */
void ffl_rank_flows(ffl_dispatch_t *d, ffl_flow_t *other, uint64_t now_ms,
		    GPtrArray *ranked, GHashTable *guaranteed);
/** Decides on the steps of a flow that may run now.
 *
 * @param like gives guaranteed, now_ms and the effects
 */
void ffl_place_flow(ffl_dispatch_t *d, ffl_flow_t *flow,
		    const ffl_place_request_t *like, uint64_t wall_ms);

/**
 * Finds workers for the waiting tasks of a step, as far as they fit; of a gang
 * for all or none.
 *
 * @param tasks most tasks that workers are found for, unless it is a gang
 * @param chosen receives the workers, at most one for each task of the step
 * @return number of workers found
 */
uint32_t ffl_place_find(ffl_dispatch_t *d, const ffl_place_request_t *req,
			uint32_t tasks, ffl_dispatch_worker_t **chosen);
/** Returns the number of tasks of a step that wait and have no run. */
uint32_t ffl_place_count_waiting(const ffl_place_request_t *req);
/** Returns the resources that each task of a step takes. */
ffl_resources_t ffl_step_resources(const ffl_step_t *step);

/* infeasible.c */

/** Returns true if a step demands at least as much as another one that could
 * not be placed in this pass. */
bool ffl_is_infeasible(ffl_dispatch_t *d, const ffl_place_request_t *req);
void ffl_add_infeasible(ffl_dispatch_t *d, const ffl_place_request_t *req);

/** Returns true if a step may be placed on a worker after what has failed
 * there. */
bool ffl_trust_allows(const ffl_dispatch_worker_t *w,
		      const ffl_place_request_t *req);

/** Lists the quarantined workers at the start of a placement pass. */
void ffl_list_quarantined(ffl_dispatch_t *d, uint64_t now_ms);
/** Returns true if a task's last attempt is to wait, as its job has slack and
 * workers fail what they start. */
bool ffl_trust_holds_back(ffl_dispatch_t *d, const ffl_place_request_t *req,
			  uint32_t task);

/* cold.c */

/** Returns true if a worker was cold at some time of a span. */
bool ffl_worker_was_cold(const ffl_dispatch_worker_t *w, uint64_t from_ms,
			 uint64_t to_ms);
bool ffl_worker_is_cold(const ffl_dispatch_worker_t *w, uint64_t now_ms);
/**
 * Returns when a worker will be warm.
 *
 * @param left_ms how much longer it was to be cold when it said so
 * @param age_ms how long ago that was
 * @return 0 if it is warm by now
 */
uint64_t ffl_cold_until_ms(uint32_t left_ms, uint64_t age_ms, uint64_t now_ms);
/**
 * Returns how much longer a run takes that begins on a cold worker.
 *
 * @param left_ms for how long the worker is still cold
 * @param run_ms the run's duration on a warm worker
 * @param rate_milli rate while cold, in thousandths of the usual one; 0: not
 *                   known, no longer
 */
uint64_t ffl_cold_extra_ms(uint64_t left_ms, uint64_t run_ms,
			   uint32_t rate_milli);
/** Returns the rate of cold workers in thousandths of their usual one; the
 * usual one as long as no run has shown another. */
uint32_t ffl_cold_rate(const ffl_dispatch_t *d);
/** Learns the rate of cold workers from the rates of the same work on a cold
 * and on a warm one; 0: not known. */
void ffl_cold_learn(ffl_dispatch_t *d, uint32_t cold, uint32_t warm);
/** Returns how much longer a step is expected to run on a worker as it is cold.
 */
uint64_t ffl_cold_delay_ms(const ffl_dispatch_t *d,
			   const ffl_dispatch_worker_t *w,
			   const ffl_place_request_t *req);
/** Takes over from a worker's new entry until when it is cold. */
void ffl_cold_update(ffl_dispatch_t *d, ffl_dispatch_worker_t *w,
		     uint64_t now_ms);
/** Counts the cold workers, and notes those that have become warm. */
void ffl_cold_watch(ffl_dispatch_t *d, uint64_t now_ms);

/* choose.c */

/** Returns what keeps a step off a worker, not counting tickets and free
 * resources. */
ffl_bar_t ffl_worker_bar(const ffl_dispatch_worker_t *w,
			 const ffl_place_request_t *req);
/** Returns true if a worker has the resources for a task of a step, and not as
 * many of its tasks as it may have. */
bool ffl_has_room(const ffl_dispatch_worker_t *w,
		  const ffl_place_request_t *req, const ffl_resources_t *need);
/** Returns true if a step may run on a worker, not counting tickets and free
 * resources. */
bool ffl_is_candidate(const ffl_dispatch_worker_t *w,
		      const ffl_place_request_t *req);
/** Returns true if a step may run on a worker that has enough resources. */
bool ffl_is_eligible(const ffl_dispatch_t *d, const ffl_dispatch_worker_t *w,
		     const ffl_place_request_t *req);
/** Returns the number of tasks of a step that have a run on a worker. */
uint32_t ffl_dispatch_worker_count_tasks(const ffl_dispatch_worker_t *w,
					 const ffl_place_request_t *req);
/** Returns true if resources of a worker are reserved for another flow. */
bool ffl_dispatch_worker_is_reserved(const ffl_dispatch_worker_t *w,
				     const ffl_place_request_t *req);
/** Returns what speaks against a worker for a step: of several that have room,
 * the one with the least is the best. */
int64_t ffl_placement_cost(const ffl_dispatch_t *d,
			   const ffl_dispatch_worker_t *w,
			   const ffl_place_request_t *req);
/** Returns the best of the given workers for one task, or NULL. */
ffl_dispatch_worker_t *ffl_choose_worker(const ffl_dispatch_t *d,
					 const ffl_place_request_t *req,
					 const GPtrArray *workers);
/**
 * Chooses a worker for each of several tasks of a step, as far as they fit.
 *
 * @param tasks number of tasks
 * @param chosen receives the workers
 * @return number of tasks that fit
 */
uint32_t ffl_choose_workers(const ffl_dispatch_t *d,
			    const ffl_place_request_t *req,
			    const GPtrArray *workers, uint32_t tasks,
			    ffl_dispatch_worker_t **chosen);
/**
 * Chooses a worker for each task of a gang.
 *
 * @param chosen receives a worker for each task
 * @return false if the gang does not fit
 */
bool ffl_choose_gang_workers(const ffl_dispatch_t *d,
			     const ffl_place_request_t *req,
			     const GPtrArray *workers,
			     ffl_dispatch_worker_t **chosen);
/** Like ffl_choose_gang_workers(), within the best rack that fits. */
bool ffl_choose_gang_in_rack(ffl_dispatch_t *d, const ffl_place_request_t *req,
			     ffl_dispatch_worker_t **chosen);
/** Returns true if a step may run away from its data or spread over racks. */
bool ffl_allows_remote(const ffl_dispatch_t *d, const ffl_place_request_t *req);
/** Adds the tasks that fit on a worker, in all and beside its runs, unless it
 * takes no new ones as it leaves or its data centre is evacuated.
 *
 * @return whether it takes new ones
 */
bool ffl_count_slots(const ffl_dispatch_worker_t *w,
		     const ffl_resources_t *need, ffl_slot_count_t *count);
/** Counts the free GPUs of each service at the start of a placement pass. */
void ffl_count_free_gpus(ffl_dispatch_t *d);
/** Counts the GPUs of a task that was placed as used. */
void ffl_take_free_gpus(ffl_dispatch_t *d, const ffl_place_request_t *req);
/** Returns the share of the GPUs of a step's service that are free, in percent.
 */
uint32_t ffl_free_gpus_percent(const ffl_dispatch_t *d,
			       const ffl_place_request_t *req);

/* throttle.c */

/** Speed limit of an adopted run: what its worker accepted is not known. */
#define LIMIT_UNKNOWN UINT32_MAX
/** Returns true if tasks with a latency objective run on a worker. */
bool ffl_dispatch_worker_has_objective(const ffl_dispatch_worker_t *w);
/** Adjusts the speed limit of best-effort runs to a worker's report. */
void ffl_throttle_update(ffl_dispatch_t *d, ffl_dispatch_worker_t *w);
/** Returns true if a run's worker has to be told a new speed limit. */
bool ffl_throttle_due(const ffl_run_t *run);

/* advice.c */

/** The adviser's decision on a worker for one step. It doesn't change, but the
 * ticket expires. */
typedef struct {
	int64_t born_ms;	       /**< incarnation that it is about */
	uint64_t usable_until_ms;      /**< until then a start may carry it */
	char ticket[FFL_TICKET_BYTES]; /**< "": not allowed */
} ffl_advice_entry_t;

/** A call to the adviser. */
typedef struct {
	uint64_t number; /**< of the order; 0: not sent yet */
	/** Step that it is about; "" if its job was closed since, or this host
	 * has ceased to lead. */
	char step[FFL_TASK_NAME_BYTES];
	ffl_adviser_t *adviser; /**< response times for its queue */
	ffl_adviser_ask_t ask;
	GPtrArray *workers; /**< ids of the workers in the call */
	GArray *born_ms;    /**< of int64_t: their incarnations then */
	uint64_t sent_ms;
	uint64_t cost_ms; /**< time of the adviser that its queue is charged */
	uint64_t due_ms;  /**< when its answer is expected */
	uint64_t late_ms; /**< from then on it is late */
	bool late;	  /**< and that was taken note of */
	bool overtaken;	  /**< a later call was answered */
} ffl_advice_call_t;

/** Writes the adviser's name of a step to @p out. */
void ffl_advice_step_name(const ffl_flow_t *flow, uint32_t occurrence,
			  uint32_t step, char out[FFL_TASK_NAME_BYTES]);
/** Returns what is known of a step, ffl_advice_entry_t by worker id, or NULL.
 */
GHashTable *ffl_advice_of_step(const ffl_dispatch_t *d, const char *step);
/** Returns the decision on a worker's current incarnation, or NULL. */
const ffl_advice_entry_t *ffl_advice_find(const ffl_dispatch_t *d,
					  const char *step,
					  const ffl_dispatch_worker_t *w);
/** Returns true if a step needs no ticket for a worker, or has a valid one. */
bool ffl_advice_allows(const ffl_dispatch_t *d, const ffl_place_request_t *req,
		       const ffl_dispatch_worker_t *w);
/** Returns the ticket for a start order; NULL if none is needed, "" if none
 * is known. */
const char *ffl_advice_ticket(const ffl_dispatch_t *d, const ffl_run_t *run);
/** Drops a ticket that the worker did not accept. */
void ffl_advice_drop_ticket(ffl_dispatch_t *d, const ffl_run_t *run);
/** Stores what the adviser's answer to a call says. */
void ffl_advice_store(ffl_dispatch_t *d, const ffl_advice_call_t *call,
		      const ffl_reply_t *reply, uint64_t now_ms);

/* advice_ask.c */

/** Requests tickets for a step, unless no call may be made, or a step of its
 * queue has requested some in this pass. */
void ffl_advice_request(ffl_dispatch_t *d, const ffl_place_request_t *req);

/* advice_call.c */

/** Frees a call, see ffl_advice_call_t. */
void ffl_advice_call_free(void *call);

void ffl_advice_init(ffl_advice_t *a);
void ffl_advice_finish(ffl_advice_t *a);
/** Drops all tickets: a new leader does not know those of an earlier one. */
void ffl_advice_reset(ffl_advice_t *a);
/** Begins a placement pass: decides whether a call may be made after it. */
void ffl_advice_begin(ffl_dispatch_t *d, uint64_t now_ms);
/** Adds the order for a pending call. */
void ffl_advice_send(ffl_dispatch_t *d, GArray *orders, uint64_t now_ms);
/** Handles the adviser's reply; returns false if it is not one. */
bool ffl_advice_handle_reply(ffl_dispatch_t *d, const ffl_reply_t *reply,
			     uint64_t now_ms);
/** Drops the tickets of a flow. */
void ffl_advice_drop_flow(ffl_dispatch_t *d, const ffl_flow_t *flow);

/* send.c */

/** Adds the start, stop and throttle orders that are due. */
void ffl_send_run_orders(ffl_dispatch_t *d, bool may_start, GArray *orders,
			 uint64_t now_ms);
/** Adds the renew orders that are due, and gives up lost workers. */
void ffl_send_worker_orders(ffl_dispatch_t *d, GArray *orders, uint64_t now_ms);

/* watch.c */

/** Stops runs that are cancelled, hang, or would not end before their
 * draining worker leaves, and takes back those that are not to be started. */
void ffl_watch_runs(ffl_dispatch_t *d, uint64_t now_ms);
/** Ends the runs of an unreachable worker once all its leases are over. */
void ffl_watch_worker(ffl_dispatch_t *d, ffl_dispatch_worker_t *w,
		      uint64_t now_ms);

/* rank.c */

/** Value that a flow still has for its customer. */
typedef enum {
	FFL_TIER_ON_TIME,   /**< can meet its objective */
	FFL_TIER_LATE,	    /**< is worth less */
	FFL_TIER_WORTHLESS, /**< is worth nothing any more */
	FFL_TIER__MAX
} ffl_tier_t;

/** Returns the duration of the longest chain of dependent steps.
 *
 * @param step_ms duration of each step
 */
uint64_t ffl_rank_path_ms(const ffl_flow_spec_t *spec, const uint64_t *step_ms);
/** Returns the expected duration of a run close to its data. */
uint64_t ffl_rank_expected_run_ms(const ffl_dispatch_t *d,
				  const ffl_flow_t *flow, uint32_t step);
/** Updates the mean duration of a queue's runs from a run that succeeded. */
void ffl_rank_record_run(ffl_dispatch_t *d, const ffl_run_t *run,
			 uint64_t now_ms);
/** Returns the value of a flow that ends at a time after it was first seen. */
ffl_tier_t ffl_rank_tier_at(const ffl_flow_t *flow, uint64_t end_ms);
/** Works out by what a flow is ranked. */
void ffl_rank_flow(const ffl_dispatch_t *d, ffl_flow_t *flow, uint64_t now_ms);
/** Returns true if a flow meets its objective even if it waits. */
bool ffl_rank_has_slack(const ffl_dispatch_t *d, const ffl_flow_t *flow,
			uint64_t now_ms);
/** Returns the share of GPUs that a flow with slack must leave free, in
 * percent. */
uint32_t ffl_rank_headroom_percent(const ffl_flow_t *flow);

/* cost.c */

/** Returns the class of the work that a flow needs in all: each class is four
 * times the one before; 0 for first priority, where it does not matter. */
uint32_t ffl_cost_class(const ffl_flow_t *flow);
/** Returns the work of a run, in core-milliseconds, that is lost if it is
 * stopped. */
uint64_t ffl_cost_lost_work(const ffl_run_t *run, uint64_t now_ms);
/** Returns what callers lose if a run is stopped besides that work: what its
 * job's being late is worth, in core-milliseconds. */
uint64_t ffl_cost_of_lateness(const ffl_dispatch_t *d, const ffl_run_t *run,
			      uint64_t now_ms);
/** Returns the weight of a priority that may be preempted. */
uint32_t ffl_cost_weight(const ffl_flow_t *flow);
/** Returns a step's cores, with the GPUs counted as such. */
uint32_t ffl_cost_cores(const ffl_step_t *step);

/* loss.c */

/**
 * Counts a run that ended, if its work is lost.
 *
 * @param checkpoint as reported with the end, or NULL
 * @return the lost work, in core-milliseconds
 */
uint64_t ffl_loss_count(ffl_dispatch_t *d, const ffl_run_t *run,
			ffl_run_end_t end, const char *checkpoint,
			uint64_t now_ms);

/* preempt.c */

/**
 * Stops runs to make room for a step, if that is possible and worthwhile.
 *
 * @param tasks number of tasks to make room for
 * @return whether runs were stopped, or are being stopped already
 */
bool ffl_preempt(ffl_dispatch_t *d, const ffl_place_request_t *req,
		 uint32_t tasks);
/** Stops the runs of a plan and reserves what they free. */
void ffl_preempt_execute(ffl_preempt_plan_t *plan);
/** Returns the step that a plan makes room for. */
const ffl_place_request_t *ffl_preempt_request(const ffl_preempt_plan_t *plan);
/**
 * Returns the number of runs that a plan stops.
 *
 * @param cost receives what that costs, in core-milliseconds
 */
uint32_t ffl_preempt_count(const ffl_preempt_plan_t *plan, uint64_t *cost);

#endif
