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
	FFL_MEASURE_ACCEPT,	  /**< submission to acceptance */
	FFL_MEASURE_QUEUE_FIRST,  /**< acceptance to placement, priority 0 */
	FFL_MEASURE_QUEUE_SECOND, /**< the same, priority 1 */
	FFL_MEASURE_QUEUE_OTHER,
	FFL_MEASURE_RUNNING,  /**< placement to run */
	FFL_MEASURE_TAKEOVER, /**< a leader's last sign to the next leader */
	FFL_MEASURE__MAX
} ffl_measure_t;

/** Takes a latency. */
typedef void (*ffl_measure_fn_t)(void *user, ffl_measure_t what, uint64_t ms);

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
	ffl_room_t used;
	GPtrArray *runs;   /**< of ffl_run_t *, not owned */
	uint32_t calls;	   /**< orders without an answer yet */
	uint64_t clock_at; /**< when clock_ms was received; 0: never */
	uint64_t clock_ms;
	uint64_t expire_ms; /**< all leases given have ended by then */
	uint64_t seen;	    /**< highest number of an end that was taken */
	uint64_t acked;	    /**< of these, up to which all are on the log */
	uint64_t acked_sent;
	uint64_t ack_batch; /**< batch that makes seen the next acked */
	uint32_t holds_open;
	uint64_t hold_ms; /**< no hold before */
	uint32_t silent;  /**< holds in a row without an answer */
	uint32_t fails;	  /**< failures in a row, over several flows */
	const ffl_flow_t *fails_flow;
	bool proved;			/**< a run has ended well there */
	uint64_t quarantine_ms;		/**< nothing is placed before */
	uint64_t reserved_ms;		/**< only guaranteed work before */
	const ffl_flow_t *reserved_for; /**< and this; never followed */
	ffl_room_t reserved;		/**< of its room, for that flow alone */
	uint32_t speed_milli; /**< of a usual worker's speed; 0: not known */
	uint64_t slow_ms;     /**< taken as slow before; 0: it is not */
	uint32_t pace;	      /**< of the work that fills there, in percent */
} ffl_runner_t;

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
	ffl_runner_t *runner;
	ffl_run_state_t state;
	ffl_room_t room;
	uint64_t batch; /**< that carries it onto the log */
	uint64_t call;	/**< order on its way, 0: none */
	uint64_t placed_ms;
	uint64_t retry_ms;
	uint64_t running_ms; /**< when it was known to run */
	uint64_t moved_ms;   /**< when its progress last moved */
	uint64_t seen_ms;    /**< when it was last reported */
	uint32_t percent;
	uint32_t sample_percent; /**< where the newest window began */
	uint64_t sample_ms;	 /**< when; 0: no window yet */
	uint32_t rate;	     /**< thousandths of a percent a second, newest */
	uint32_t best_rate;  /**< the best of its windows */
	uint32_t recent;     /**< as the worker reported it */
	uint32_t pace;	     /**< that it is to have, in percent */
	uint32_t paced;	     /**< that its worker has accepted */
	bool unanswered;     /**< an order may still be on its way */
	bool stop;	     /**< it is to end */
	uint64_t stopped_ms; /**< when the worker accepted the stop */
	const char *why;     /**< reason for the stop */
	uint64_t loss;	     /**< of stopping it with its gang, while weighed */
} ffl_run_t;

/** Workers of a rack. */
typedef struct {
	ffl_name_t name;
	GPtrArray *runners; /**< of ffl_runner_t *, by id */
} ffl_rack_t;

/** What the adviser said; one call at a time, as it serves one host. */
typedef struct {
	GHashTable *steps; /**< of what is known of workers, by step */
	uint64_t call;	   /**< on its way; 0: none */
	bool wanted;	   /**< a call is to be made */
	uint64_t sent_ms;
	uint64_t retry_ms;		/**< no call before */
	char step[FFL_TASK_NAME_BYTES]; /**< that the call is about */
	GPtrArray *asked;		/**< ids of the workers asked about */
} ffl_advice_t;

/** The dispatcher. */
typedef struct {
	ffl_dispatch_options_t opt;
	ffl_flows_t *flows;
	GHashTable *runners;	/**< ffl_runner_t by id */
	GPtrArray *runs;	/**< of ffl_run_t */
	GHashTable *flow_runs;	/**< of GPtrArray of these, by flow */
	GPtrArray *listed;	/**< of listed ffl_runner_t, by id */
	GPtrArray *racks;	/**< of ffl_rack_t, of the listed */
	bool racks_known;	/**< these two are up to date */
	GHashTable *calls;	/**< of open orders by number */
	GHashTable *guaranteed; /**< GPUs by customer, borrowed; may be NULL */
	uint64_t token;		/**< 0 while not leading */
	uint64_t led_ms;	/**< when it began to lead */
	uint64_t next_call;
	uint64_t next_batch; /**< that the next changes belong to */
	uint64_t recorded;   /**< last batch that is on the log */
	bool dirty;
	bool replan;	     /**< something changed that placement depends on */
	uint64_t planned_ms; /**< when placement was last thought over */
	uint64_t gpus_all;   /**< of workers that stay, in this pass */
	uint64_t gpus_free;  /**< of these, without a run */
	GHashTable *learned; /**< mean time of a run in ms, by queue */
	GArray *misfits;     /**< of shapes without room, in one pass */
	ffl_advice_t advice;
	bool may_hold;
	bool fenced; /**< a worker has seen a later leader */
	ffl_note_fn_t note;
	ffl_measure_fn_t measure;
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
void ffl_dispatch_lead(ffl_dispatch_t *d, uint64_t token, uint64_t given_ms,
		       uint64_t now_ms);
/** Ends to lead; nothing is stopped at workers. */
void ffl_dispatch_yield(ffl_dispatch_t *d);

/** Takes a worker's entry in the list. */
void ffl_dispatch_listed(ffl_dispatch_t *d, const ffl_worker_entry_t *entry,
			 uint64_t now_ms);
/**
 * Takes that a worker is no longer in the list.
 *
 * @param followed_ms for how long the list has been read without a gap
 */
void ffl_dispatch_unlisted(ffl_dispatch_t *d, const char *id,
			   uint64_t followed_ms, uint64_t now_ms);
/** Marks all workers as not listed, before the list is read anew. */
void ffl_dispatch_relist(ffl_dispatch_t *d);

/** Takes a worker's answer to an order. */
void ffl_dispatch_reply(ffl_dispatch_t *d, const ffl_reply_t *reply,
			uint64_t now_ms);

/** Takes that a flow is new or was cancelled. */
void ffl_dispatch_touch(ffl_dispatch_t *d);

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
uint64_t ffl_dispatch_batch(ffl_dispatch_t *d, GPtrArray *flows);
/** Takes that a batch is on the log. */
void ffl_dispatch_recorded(ffl_dispatch_t *d, uint64_t batch);

#endif
