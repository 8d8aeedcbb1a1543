/**
 * @file dispatch.h
 * @brief The leader's dispatcher: places tasks on workers and tracks each run.
 *
 * Every run is recorded in the log before its worker is told of it, and every
 * end is recorded before the worker may forget it. All other state of the
 * leader is rebuilt from the workers' reports.
 *
 * The dispatcher does no I/O. The caller feeds in the worker list and replies,
 * sends the orders that ffl_dispatch_step() returns and appends the batches
 * that ffl_dispatch_take_batch() returns to the log. Times ending in _ms are
 * milliseconds of the host's monotonic clock, which counts suspended time,
 * unless stated otherwise.
 */
#ifndef FFL_DISPATCH_H
#define FFL_DISPATCH_H

#include "fireflyledge/adviser.h"
#include "fireflyledge/doubt.h"
#include "fireflyledge/order.h"

/** Logs an event: a decision and the figures that it is based on. */
typedef void (*ffl_note_fn_t)(void *user, const char *event,
			      const char *subject, const char *text);

/** Latencies that are reported as metrics. */
typedef enum {
	FFL_LATENCY_ACCEPT,	      /**< submission to acceptance */
	FFL_LATENCY_QUEUE_PRIORITY_0, /**< acceptance to first placement */
	FFL_LATENCY_QUEUE_PRIORITY_1,
	FFL_LATENCY_QUEUE_OTHER, /**< priority 2 and above */
	FFL_LATENCY_RUNNING,	 /**< placement to the run having started */
	FFL_LATENCY_TAKEOVER, /**< last sign of a leader to the next leader */
	FFL_LATENCY__MAX
} ffl_latency_t;

/** Records a latency, in ms. */
typedef void (*ffl_latency_fn_t)(void *user, ffl_latency_t what, uint64_t ms);

/** Longest time from a decision to start a run until its worker has the order:
 * the order's deadline, and as much again for the leader's own backlog. */
#define FFL_START_REACH_MS 800

/** Limits and figures set by the deployment. */
typedef struct {
	uint32_t lease_max_ms; /**< longest lease that workers grant */
	/** Longest time after which a worker carries out an order that it left
	 * unanswered. */
	uint32_t order_late_max_ms;
	uint32_t stop_max_ms;  /**< longest time that stopping a run takes */
	uint32_t gang_wait_ms; /**< how long a gang's task waits for the rest */
	uint32_t reclaim_ms;   /**< guaranteed work must start within this */
	/** Run time away from the step's data, or spread over racks, in
	 * percent of the run time close to it. */
	uint32_t spread_percent;
	uint32_t heartbeat_ms; /**< interval of the workers' heartbeats */
	uint32_t early_ms;     /**< tolerance for timed starts that are early */
	char adviser_addr[FFL_ADDR_BYTES]; /**< "" if there is no adviser */
} ffl_dispatch_options_t;

/** A run that was given up because its worker was silent. */
typedef struct {
	char task[FFL_TASK_NAME_BYTES];
	uint32_t run; /**< number of the attempt */
} ffl_given_up_t;

/** State that the leader keeps of a worker. */
typedef struct {
	ffl_worker_entry_t entry;
	bool listed;		   /**< present in the worker list */
	bool entry_outdated;	   /**< entry is an earlier incarnation's */
	bool evacuated;		   /**< its data centre is being evacuated */
	bool followed;		   /**< is in the dispatcher's array of them */
	uint64_t listed_ms;	   /**< when its entry was last read */
	uint64_t written_after_ms; /**< its entry was written later than this */
	ffl_resources_t used;	   /**< by the runs placed on it */
	GPtrArray *runs;	   /**< of ffl_run_t *, not owned */
	GArray *given_up; /**< of ffl_given_up_t: since its last report */
	uint32_t chosen; /**< tasks of the gang that is being placed; scratch */
	uint32_t calls;	 /**< orders that have not been answered yet */
	uint64_t clock_read_ms; /**< when clock_ms was received; 0: never */
	uint64_t clock_ms;	/**< last reading of the worker's own clock */
	bool clock_reported;	/**< clock_ms is its own, not from the list */
	ffl_doubt_t doubt;	/**< what it may hold or still carry out */
	/** When a report told its incarnation; 0: known from the list or from
	 * the log only. */
	uint64_t born_reported_ms;
	uint64_t token; /**< fencing token of orders to it; 0: none sent yet */
	/** An earlier incarnation was sent orders with this token. The next
	 * order waits for a higher one, which fences them. */
	bool token_outdated;
	/** Restarted or newly listed, and has not reported since: earlier
	 * orders may still be carried out. */
	bool fence_due;
	/** Restarted, and has not reported since: it may go on taking orders
	 * for its former incarnation, with the longest lease. */
	bool lease_in_doubt;
	/** Highest number of an end that was processed; the ends up to it are
	 * recorded with batch ack_batch. */
	uint64_t end_seen;
	uint64_t acked;	     /**< ends up to this number are in the log */
	uint64_t acked_sent; /**< value of acked that the worker has received */
	uint64_t ack_batch; /**< batch that raises acked to end_seen; 0: none */
	uint32_t renewals_open; /**< renew orders that are not answered yet */
	uint32_t acks_open;	/**< of these, the ones that acknowledge ends */
	/** No renew order is sent before this: when the last one was sent or
	 * answered, or later while the worker does not answer. */
	uint64_t renew_ms;
	uint32_t missed_renewals; /**< consecutive renewals without an answer */
	uint32_t fail_streak;	  /**< failures in a row; a job counts once */
	const ffl_flow_t *fail_flow; /**< job of the last counted failure */
	bool has_succeeded; /**< a run succeeded since the last failure */
	uint64_t failed_ms; /**< when a run last failed there */
	uint64_t quarantined_until_ms; /**< nothing is placed there before */
	/** On probation before, once its quarantine is over: tried with little.
	 */
	uint64_t probation_until_ms;
	uint64_t reserved_until_ms; /**< only guaranteed work before */
	/** Job that the reservation is for; compared, never dereferenced. */
	const ffl_flow_t *reserved_for;
	ffl_resources_t reserved; /**< share of the worker that is reserved */
	uint32_t speed_milli;	  /**< thousandths of mean speed; 0: unknown */
	uint64_t slow_until_ms;	  /**< treated as slow before; 0: not slow */
	uint32_t limit_percent;	  /**< speed limit of best-effort runs there */
	/** It runs slowly from the first on and before the second: at first
	 * after a start or an evacuation; 0: not known to have. */
	uint64_t cold_since_ms;
	uint64_t cold_until_ms;
	bool cold_noted; /**< counted as cold when this was last watched */
} ffl_dispatch_worker_t;

/** State of a run. */
typedef enum {
	FFL_RUN_PLANNED, /**< not recorded in the log yet, or not sent yet */
	FFL_RUN_SENT,	 /**< start order sent, no answer yet */
	FFL_RUN_RUNNING,
	/** Ordered by an earlier leader, or to an earlier incarnation of the
	 * worker; not reported since. */
	FFL_RUN_ADOPTED,
	FFL_RUN__MAX
} ffl_run_state_t;

/** A run: one attempt to execute a task, on one worker. */
typedef struct ffl_run {
	ffl_flow_t *flow;
	uint32_t task; /**< index of the task in the flow */
	uint32_t run;  /**< number of the attempt, from 1 */
	ffl_dispatch_worker_t *worker;
	ffl_run_state_t state;
	ffl_resources_t resources;
	uint64_t batch; /**< batch that records its placement in the log */
	uint64_t call;	/**< order that is not answered yet; 0: none */
	uint64_t placed_ms;
	uint64_t retry_ms;   /**< no further order before */
	uint64_t running_ms; /**< when it was first known to run */
	uint64_t seen_ms;    /**< when it was last reported */
	uint64_t saved_ms;   /**< when it last wrote a checkpoint; 0: never */
	bool reported; /**< the known incarnation of its worker started it */
	/** The same by its worker's clock, which tells when a report was made,
	 * however late it is read; 0: not known. */
	uint64_t report_clock_ms;
	/** When its progress last changed, by its worker's clock. */
	uint64_t progress_clock_ms;
	uint32_t percent;	 /**< progress */
	uint32_t sample_percent; /**< progress when the rate window began */
	/** When the rate window began, by its worker's clock; 0: none yet. */
	uint64_t sample_clock_ms;
	uint32_t rate; /**< newest rate, in thousandths of a percent a second */
	uint32_t best_rate;	/**< highest rate measured so far */
	uint32_t cold_rate;	/**< newest rate on its cold worker; 0: none */
	uint32_t recent_load;	/**< see ffl_run_report_t */
	uint32_t limit_percent; /**< speed limit that it is to have */
	uint32_t acked_limit_percent; /**< limit that its worker has accepted */
	uint32_t sendings; /**< start orders made for it by this leader */
	/** End of the lease in its start orders, by the worker's clock; the
	 * same in each, so that a repeated order can be waited out. 0: none
	 * yet. */
	uint64_t lease_until_ms;
	uint64_t lease_end_ms; /**< the same by this host's clock, at latest */
	bool start_in_doubt;   /**< a start order timed out, may still act */
	bool stopping;	       /**< to be stopped */
	uint64_t stop_accepted_ms; /**< when the worker accepted the stop */
	const char *stop_reason;   /**< static string, for the log */
	uint64_t stop_cost; /**< work lost if its gang is stopped; scratch */
} ffl_run_t;

/** The listed workers of a rack. */
typedef struct {
	ffl_name_t name;
	GPtrArray *workers; /**< of ffl_dispatch_worker_t *, by id */
} ffl_rack_t;

/** Tasks of one size that fit on workers that are neither draining nor
 * evacuated; of one GPU each: their GPUs. */
typedef struct {
	uint64_t total;
	uint64_t free;
} ffl_slot_count_t;

/** Tickets from the adviser. It takes a host's calls in turn, so a further one
 * is made only once the last one is answered or late; what is late is still
 * taken when it comes. */
typedef struct {
	GHashTable *steps;  /**< advice by step */
	GHashTable *queues; /**< its response times, ffl_adviser_t by queue */
	GPtrArray *calls;   /**< those that are not answered, oldest first */
	GPtrArray *pending; /**< calls that may be made next, one a queue */
	/** By then the adviser has done all calls, if it takes as long as
	 * expected. */
	uint64_t busy_until_ms;
	uint64_t answered_ms; /**< when a call was last answered */
	uint64_t turn_ms;     /**< virtual time, see ffl_adviser_t.turn_ms */
	uint64_t retry_ms;    /**< no call before */
	uint32_t failures;    /**< calls that failed in a row */
	bool may_call;	      /**< a call may be made after this pass */
} ffl_advice_t;

/** Why a step that may run has waiting tasks after a placement pass. */
typedef enum {
	FFL_WAIT_ROOM,	   /**< no worker has enough resources */
	FFL_WAIT_SKIPPED,  /**< as one that demands less found no room */
	FFL_WAIT_HEADROOM, /**< leaves resources to guaranteed work */
	FFL_WAIT__MAX
} ffl_wait_t;

/** Why a run ended early, and its work since its start or last checkpoint was
 * lost. */
typedef enum {
	FFL_LOSS_RECLAIMED,	/**< stopped for guaranteed work */
	FFL_LOSS_PREEMPTED,	/**< stopped for other work of priority 0 */
	FFL_LOSS_CANCELLED,	/**< its job was cancelled */
	FFL_LOSS_GANG_BROKEN,	/**< another task of its gang ended early */
	FFL_LOSS_WORKER_LEAVES, /**< stopped as its worker drains */
	FFL_LOSS_LEASE_EXPIRED, /**< its lease ended, or its worker is gone */
	FFL_LOSS_HUNG,		/**< stopped as it made no progress */
	FFL_LOSS_FAILED,	/**< it failed, or its job has failed */
	FFL_LOSS_GIVEN_UP,	/**< its start was withdrawn or in doubt */
	FFL_LOSS__MAX
} ffl_loss_t;

const char *ffl_loss_name(uint32_t loss);

/** The dispatcher. */
typedef struct {
	ffl_dispatch_options_t opt;
	ffl_flows_t *flows;
	GHashTable *workers;	  /**< ffl_dispatch_worker_t by id */
	GPtrArray *runs;	  /**< of ffl_run_t, owned */
	GHashTable *runs_by_flow; /**< GPtrArray of ffl_run_t by flow */
	/** Workers to which renew orders may come due, of
	 * ffl_dispatch_worker_t. */
	GPtrArray *followed;
	GPtrArray *listed; /**< listed ffl_dispatch_worker_t, sorted by id */
	GPtrArray *racks;  /**< ffl_rack_t of the listed workers */
	bool racks_valid;  /**< listed and racks are up to date */
	GHashTable *calls; /**< unanswered orders by call number */
	/** Guaranteed GPUs by customer; borrowed, may be NULL. */
	GHashTable *guaranteed;
	/** Evacuated data centres by name; borrowed, may be NULL. */
	GHashTable *evacuated;
	uint64_t token; /**< highest fencing token of this leader; 0: none */
	uint64_t leader_since_ms; /**< when it became leader */
	/** Latest time at which an earlier leader may have given a lease. */
	uint64_t last_lease_ms;
	uint64_t next_call;
	uint64_t next_batch;	 /**< batch that collects further changes */
	uint64_t recorded_batch; /**< last batch that is in the log */
	bool dirty;		 /**< next_batch holds changes */
	bool replan;		 /**< an input of placement has changed */
	uint64_t last_placement_ms;
	GHashTable *gpus; /**< ffl_slot_count_t by service, in this pass */
	GHashTable *mean_run_ms; /**< mean duration of a run by queue */
	/** Rate of cold workers in thousandths of their usual one, as measured;
	 * 0: not measured yet. */
	uint32_t cold_milli;
	uint32_t cold_workers; /**< listed workers that are cold */
	uint64_t cold_watched_ms;
	uint32_t cold_lines;  /**< log lines on them since then */
	uint32_t cold_unsaid; /**< changes without a line since the last one */
	GArray *infeasible;   /**< of ffl_demand_t: did not fit in this pass */
	/** Quarantined workers in this pass, of ffl_dispatch_worker_t. */
	GPtrArray *quarantined;
	ffl_advice_t advice;
	bool may_start; /**< new runs may be started */
	bool may_renew; /**< leases may be extended */
	/** Partitions of jobs, a bit each, of which newer records may not be
	 * known: no run of a flow there is started, as it may be cancelled. */
	uint32_t unread_parts;
	bool fenced; /**< a worker has seen a later leader's token */
	ffl_note_fn_t note;
	ffl_latency_fn_t measure;
	void *note_user;		   /**< argument of note and measure */
	uint32_t waiting[FFL_WAIT__MAX];   /**< steps, in the last pass */
	uint64_t starts;		   /**< runs started */
	uint64_t preempted;		   /**< runs preempted */
	uint64_t lost_runs[FFL_LOSS__MAX]; /**< runs that ended early */
	/** Their work, in core-milliseconds, a GPU as 8 cores. */
	uint64_t lost_work[FFL_LOSS__MAX];
	uint64_t repeats[FFL_REPLY__MAX]; /**< repeated start orders by outcome
					   */
	/** Workers that were given up, by what told the end of their leases. */
	uint64_t lost_workers[FFL_LEASE__MAX];
} ffl_dispatch_t;

void ffl_dispatch_init(ffl_dispatch_t *d, const ffl_dispatch_options_t *opt,
		       ffl_flows_t *flows);
void ffl_dispatch_finish(ffl_dispatch_t *d);

/**
 * Starts leading and adopts every run that is recorded in the log.
 *
 * @param token         fencing token of this term
 * @param last_lease_ms latest time at which an earlier leader may have given
 *                      a lease
 */
void ffl_dispatch_become_leader(ffl_dispatch_t *d, uint64_t token,
				uint64_t last_lease_ms, uint64_t now_ms);
/** Stops leading. Runs on workers are not stopped. */
void ffl_dispatch_step_down(ffl_dispatch_t *d);

/**
 * Raises the fencing token. The offsets of a leader's appends are below the
 * next leader's token, so each may serve as a token.
 */
void ffl_dispatch_raise_token(ffl_dispatch_t *d, uint64_t token);

/**
 * Adds or updates a worker from its entry in the worker list. An entry of
 * another incarnation is ignored if the worker may have reported the known one
 * after the entry was written.
 *
 * @param written_after_ms time after which the entry was certainly written; 0
 *                         if not known
 */
void ffl_dispatch_update_worker(ffl_dispatch_t *d,
				const ffl_worker_entry_t *entry,
				uint64_t written_after_ms, uint64_t now_ms);
/**
 * Handles the removal of a worker from the worker list.
 *
 * @param list_followed_ms for how long the list has been read without a gap
 */
void ffl_dispatch_remove_worker(ffl_dispatch_t *d, const char *id,
				uint64_t list_followed_ms, uint64_t now_ms);
/** Handles the reply to an order; a reply to an unknown call is ignored. */
void ffl_dispatch_handle_reply(ffl_dispatch_t *d, const ffl_reply_t *reply,
			       uint64_t now_ms);

/** What an evacuation concerns. */
typedef struct {
	uint32_t workers; /**< listed workers of the data centre */
	uint32_t runs;	  /**< runs on its workers */
} ffl_evacuation_t;

/**
 * Handles a change of ffl_dispatch_t.evacuated. Nothing new is started on the
 * workers of an evacuated data centre; what runs there goes on.
 *
 * @param dc name of the data centre that was added or removed
 * @param out receives what the change concerns
 */
void ffl_dispatch_update_evacuated(ffl_dispatch_t *d, const char *dc,
				   ffl_evacuation_t *out);

/** Requests a placement pass in the next step, as a job was added or
 * cancelled. */
void ffl_dispatch_request_placement(ffl_dispatch_t *d);

/** Handles new terms of queues, which the flows have by now: a flow of which a
 * task has failed too often under them is failed. */
void ffl_dispatch_update_queues(ffl_dispatch_t *d);

/**
 * Makes the decisions that are due and appends the resulting orders.
 *
 * @param wall_ms   Unix time, for jobs with a start time
 * @param may_start whether authority and knowledge of the workers are fresh
 *                  enough to start new runs
 * @param may_renew whether leases may still be extended
 * @param orders    of ffl_order_t
 */
void ffl_dispatch_step(ffl_dispatch_t *d, uint64_t now_ms, uint64_t wall_ms,
		       bool may_start, bool may_renew, GArray *orders);

/**
 * Closes the current batch of changes and opens the next one.
 *
 * @param flows receives the flows that changed, of ffl_flow_t *
 * @return number of the closed batch, for ffl_dispatch_confirm_batch()
 */
uint64_t ffl_dispatch_take_batch(ffl_dispatch_t *d, GPtrArray *flows);
/** Records that a batch, and all before it, is in the log. */
void ffl_dispatch_confirm_batch(ffl_dispatch_t *d, uint64_t batch);

#endif
