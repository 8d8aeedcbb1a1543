/**
 * @file dispatch.h
 * @brief The leader's decisions: what runs where, and each run's life.
 *
 * Every run is on the log before its worker is told of it, and every end is
 * on the log before the worker may forget it. What a leader keeps besides is
 * recovered from the workers' reports.
 */
#ifndef FFL_DISPATCH_H
#define FFL_DISPATCH_H

#include "fireflyledge/order.h"

/** A line for the log: a decision and what it rested on. */
typedef void (*ffl_note_fn_t)(void *user, const char *event,
			      const char *subject, const char *text);

/** A latency that is measured. */
typedef enum {
	FFL_LATENCY_ACCEPT,	      /**< submission to acceptance */
	FFL_LATENCY_QUEUE_PRIORITY_0, /**< acceptance to placement, priority 0
				       */
	FFL_LATENCY_QUEUE_PRIORITY_1, /**< the same, priority 1 */
	FFL_LATENCY_QUEUE_OTHER,
	FFL_LATENCY_RUNNING,  /**< placement to run */
	FFL_LATENCY_TAKEOVER, /**< a leader's last sign to the next leader */
	FFL_LATENCY__MAX
} ffl_latency_t;

/** Takes a latency. */
typedef void (*ffl_latency_fn_t)(void *user, ffl_latency_t what, uint64_t ms);

/** Figures that a deployment sets. */
typedef struct {
	uint32_t lease_max_ms;	 /**< longest lease that workers grant */
	uint32_t stop_max_ms;	 /**< longest time that a stop takes */
	uint32_t gang_wait_ms;	 /**< how long a part of a gang waits */
	uint32_t reclaim_ms;	 /**< guaranteed work has begun by then */
	uint32_t spread_percent; /**< time on a far rack, of a near one */
	uint32_t heartbeat_ms;	 /**< workers report about so often */
	uint32_t early_ms;	 /**< a due time may be early by so much */
	char adviser_addr[FFL_ADDR_BYTES]; /**< "": there is none */
} ffl_dispatch_options_t;

/** A worker as the leader sees it. */
typedef struct {
	ffl_worker_entry_t entry;
	bool listed;
	uint64_t listed_ms; /**< when its entry was last read */
	ffl_resources_t used;
	GPtrArray *runs;	/**< of ffl_run_t *, not owned */
	uint32_t calls;		/**< orders without an answer yet */
	uint64_t clock_read_ms; /**< when clock_ms was received; 0: never */
	uint64_t clock_ms;
	uint64_t leases_end_ms; /**< all leases given have ended by then */
	uint64_t end_seen;	/**< highest number of an end that was taken */
	uint64_t acked;		/**< of these, up to which all are on the log */
	uint64_t acked_sent;
	uint64_t ack_batch; /**< batch that makes seen the next acked */
	uint32_t renewals_open;
	uint64_t renew_ms;	  /**< no hold before */
	uint32_t missed_renewals; /**< holds in a row without an answer */
	uint32_t fail_streak;	  /**< failures in a row, over several flows */
	const ffl_flow_t *fail_flow;
	bool has_succeeded;		/**< a run has ended well there */
	uint64_t quarantined_until_ms;	/**< nothing is placed before */
	uint64_t reserved_until_ms;	/**< only guaranteed work before */
	const ffl_flow_t *reserved_for; /**< and this; never followed */
	ffl_resources_t reserved;	/**< of its room, for that flow alone */
	uint32_t speed_milli;	/**< of a usual worker's speed; 0: not known */
	uint64_t slow_until_ms; /**< taken as slow before; 0: it is not */
	uint32_t limit_percent; /**< of the work that fills there, in percent */
} ffl_dispatch_worker_t;

/** Life of a run. */
typedef enum {
	FFL_RUN_PLANNED, /**< not on the log yet, or not sent yet */
	FFL_RUN_SENT,	 /**< ordered, no answer yet */
	FFL_RUN_RUNNING,
	FFL_RUN_ADOPTED, /**< ordered by an earlier leader, not seen yet */
	FFL_RUN__MAX
} ffl_run_state_t;

/** A run of a task. */
typedef struct {
	ffl_flow_t *flow;
	uint32_t task;
	uint32_t run;
	ffl_dispatch_worker_t *worker;
	ffl_run_state_t state;
	ffl_resources_t resources;
	uint64_t batch; /**< that carries it onto the log */
	uint64_t call;	/**< order on its way, 0: none */
	uint64_t placed_ms;
	uint64_t retry_ms;
	uint64_t running_ms;  /**< when it was known to run */
	uint64_t progress_ms; /**< when its progress last moved */
	uint64_t seen_ms;     /**< when it was last reported */
	uint32_t percent;
	uint32_t sample_percent; /**< where the newest window began */
	uint64_t sample_ms;	 /**< when; 0: no window yet */
	uint32_t rate;	      /**< thousandths of a percent a second, newest */
	uint32_t best_rate;   /**< the best of its windows */
	uint32_t recent_load; /**< as the worker reported it */
	uint32_t limit_percent;	      /**< that it is to have, in percent */
	uint32_t acked_limit_percent; /**< that its worker has accepted */
	bool start_in_doubt;	      /**< an order may still be on its way */
	bool stopping;		      /**< it is to end */
	uint64_t stop_accepted_ms;    /**< when the worker accepted the stop */
	const char *stop_reason;      /**< reason for the stop */
	uint64_t stop_cost; /**< of stopping it with its gang, while weighed */
} ffl_run_t;

/** Workers of a rack. */
typedef struct {
	ffl_name_t name;
	GPtrArray *workers; /**< of ffl_dispatch_worker_t *, by id */
} ffl_rack_t;

/** What the adviser said; one call at a time, as it serves one host. */
typedef struct {
	GHashTable *steps; /**< of what is known of workers, by step */
	uint64_t call;	   /**< on its way; 0: none */
	bool pending;	   /**< a call is to be made */
	uint64_t sent_ms;
	uint64_t retry_ms;		/**< no call before */
	char step[FFL_TASK_NAME_BYTES]; /**< that the call is about */
	GPtrArray *asked_workers;	/**< ids of the workers asked about */
} ffl_advice_t;

/** The dispatcher. */
typedef struct {
	ffl_dispatch_options_t opt;
	ffl_flows_t *flows;
	GHashTable *workers;	  /**< ffl_dispatch_worker_t by id */
	GPtrArray *runs;	  /**< of ffl_run_t */
	GHashTable *runs_by_flow; /**< of GPtrArray of these, by flow */
	GPtrArray *listed;	  /**< of listed ffl_dispatch_worker_t, by id */
	GPtrArray *racks;	  /**< of ffl_rack_t, of the listed */
	bool racks_valid;	  /**< these two are up to date */
	GHashTable *calls;	  /**< of open orders by number */
	GHashTable *guaranteed; /**< GPUs by customer, borrowed; may be NULL */
	uint64_t token;		/**< 0 while not leading */
	uint64_t leader_since_ms; /**< when it began to lead */
	uint64_t next_call;
	uint64_t next_batch;	 /**< that the next changes belong to */
	uint64_t recorded_batch; /**< last batch that is on the log */
	bool dirty;
	bool replan; /**< something changed that placement depends on */
	uint64_t last_placement_ms; /**< when placement was last thought over */
	uint64_t gpus_total;	    /**< of workers that stay, in this pass */
	uint64_t gpus_free;	    /**< of these, without a run */
	GHashTable *mean_run_ms;    /**< mean time of a run in ms, by queue */
	GArray *infeasible;	    /**< of shapes without room, in one pass */
	ffl_advice_t advice;
	bool may_renew;
	bool fenced; /**< a worker has seen a later leader */
	ffl_note_fn_t note;
	ffl_latency_fn_t measure;
	void *note_user;
	uint64_t starts;
	uint64_t preempted;
} ffl_dispatch_t;

void ffl_dispatch_init(ffl_dispatch_t *d, const ffl_dispatch_options_t *opt,
		       ffl_flows_t *flows);
void ffl_dispatch_finish(ffl_dispatch_t *d);

/**
 * Begins to lead: adopts every run that is on the log.
 *
 * @param given_ms when an earlier leader may have given its last lease
 */
void ffl_dispatch_become_leader(ffl_dispatch_t *d, uint64_t token,
				uint64_t given_ms, uint64_t now_ms);
/** Ends to lead; nothing is stopped at workers. */
void ffl_dispatch_step_down(ffl_dispatch_t *d);

/** Takes a worker's entry in the list. */
void ffl_dispatch_update_worker(ffl_dispatch_t *d,
				const ffl_worker_entry_t *entry,
				uint64_t now_ms);
/**
 * Takes that a worker is no longer in the list.
 *
 * @param followed_ms for how long the list has been read without a gap
 */
void ffl_dispatch_remove_worker(ffl_dispatch_t *d, const char *id,
				uint64_t followed_ms, uint64_t now_ms);
/** Marks all workers as not listed, before the list is read anew. */
void ffl_dispatch_unlist_all(ffl_dispatch_t *d);

/** Takes a worker's answer to an order. */
void ffl_dispatch_handle_reply(ffl_dispatch_t *d, const ffl_reply_t *reply,
			       uint64_t now_ms);

/** Takes that a flow is new or was cancelled. */
void ffl_dispatch_request_placement(ffl_dispatch_t *d);

/**
 * Decides what is due and adds the orders that follow.
 *
 * @param may_start whether authority and what is known are fresh enough for
 *                  new runs
 * @param may_hold  whether leases may still be extended
 * @param orders    of ffl_order_t
 */
void ffl_dispatch_step(ffl_dispatch_t *d, uint64_t now_ms, uint64_t wall_ms,
		       bool may_start, bool may_hold, GArray *orders);

/** Returns the flows that changed, of ffl_flow_t *, and opens a new batch. */
uint64_t ffl_dispatch_take_batch(ffl_dispatch_t *d, GPtrArray *flows);
/** Takes that a batch is on the log. */
void ffl_dispatch_confirm_batch(ffl_dispatch_t *d, uint64_t batch);

#endif
