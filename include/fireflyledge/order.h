/**
 * @file order.h
 * @brief Orders from a leader to workers and to the adviser, and the replies.
 *
 * A worker's clock is its own monotonic clock, which is not that of the host.
 */
#ifndef FFL_ORDER_H
#define FFL_ORDER_H

#include "fireflyledge/flow.h"

/** Longest name of a task, "ID.OCCURRENCE.STEP.INDEX", with terminator. */
#define FFL_TASK_NAME_BYTES 56
/** Longest ticket of the adviser, with terminator. */
#define FFL_TICKET_BYTES 64
/** Labels kept of a worker; further ones are ignored. */
#define FFL_WORKER_LABELS_MAX 8

/** Resources of a worker or a task. */
typedef struct {
	uint32_t cpu_milli; /**< thousandths of a core */
	uint32_t mem_mb;
	uint32_t gpus;
} ffl_resources_t;

/** Entry of a worker in the worker list, as published by the worker. */
typedef struct {
	ffl_name_t id;
	char addr[FFL_ADDR_BYTES];
	ffl_name_t service;
	ffl_name_t dc;
	ffl_name_t rack;
	bool draining;
	uint32_t drain_left_ms; /**< least time until it leaves, if draining */
	uint32_t cold_left_ms;	/**< how much longer it runs slowly; 0: warm */
	int64_t born_ms;	/**< incarnation: Unix time of its start */
	/** Number of the entry, from 1 on in each incarnation, which writes one
	 * a heartbeat; 0: unknown. */
	uint64_t number;
	uint64_t clock_ms; /**< worker's clock; 0: unknown */
	ffl_resources_t capacity;
	uint32_t labels_count;
	ffl_name_t labels[FFL_WORKER_LABELS_MAX];
} ffl_worker_entry_t;

typedef enum {
	FFL_ORDER_RENEW,    /**< extend the lease and report all runs */
	FFL_ORDER_START,    /**< start a run of a task */
	FFL_ORDER_STOP,	    /**< stop a run of a task */
	FFL_ORDER_THROTTLE, /**< limit a run to a share of its full speed */
	FFL_ORDER_ADVISE,   /**< ask the adviser which workers may run a step */
	FFL_ORDER__MAX
} ffl_order_kind_t;

/** An order. Pointers are owned by the sender and valid until its next
 * step. */
typedef struct {
	ffl_order_kind_t kind;
	uint64_t call; /**< number that the reply carries */
	ffl_name_t worker;
	char addr[FFL_ADDR_BYTES];
	uint64_t token; /**< fencing token */
	char task[FFL_TASK_NAME_BYTES];
	uint32_t run;
	const char *spec;
	const char *checkpoint;		/**< NULL if there is none */
	const char *ticket;		/**< NULL if none is needed */
	const GPtrArray *asked_workers; /**< ids, for FFL_ORDER_ADVISE */
	uint64_t until_ms; /**< end of the lease, by the worker's clock */
	uint64_t acked;	   /**< ends up to this number are in the log */
	uint32_t percent;  /**< speed limit, for FFL_ORDER_THROTTLE */
	uint32_t wait_ms;  /**< long poll: the reply may wait for an end */
	uint32_t timeout_ms;
} ffl_order_t;

/** Outcome of an order. */
typedef enum {
	FFL_REPLY_OK,
	FFL_REPLY_FENCED,	 /**< the worker has seen a later leader */
	FFL_REPLY_STALE_RUN,	 /**< this or a later run has ended there */
	FFL_REPLY_LEASE_EXPIRED, /**< the lease in the order was over */
	FFL_REPLY_NO_RESOURCES,	 /**< the run does not fit */
	FFL_REPLY_BAD_TICKET,	 /**< the ticket is not valid there */
	FFL_REPLY_INVALID,	 /**< the worker could not parse the order */
	FFL_REPLY_UNHEALTHY,	 /**< the worker has not acted on the order */
	FFL_REPLY_OTHER_INCARNATION, /**< another incarnation answered */
	FFL_REPLY_NOT_SENT, /**< the order has certainly not left this host */
	FFL_REPLY_UNKNOWN,  /**< no answer: may still be carried out */
	FFL_REPLY__MAX
} ffl_reply_outcome_t;

/** How a run ended. */
typedef enum {
	FFL_RUN_END_DONE,
	FFL_RUN_END_FAILED,
	FFL_RUN_END_STOPPED,
	FFL_RUN_END_LEASE_EXPIRED,
	FFL_RUN_END_GANG_BROKEN,     /**< another task of its gang ended */
	FFL_RUN_END_GANG_INCOMPLETE, /**< the gang did not start in time */
	FFL_RUN_END__MAX
} ffl_run_end_t;

/** A run in a worker's report. */
typedef struct {
	uint64_t number; /**< sequence number of the end; 0 while running */
	char task[FFL_TASK_NAME_BYTES];
	uint32_t run;
	ffl_run_end_t end; /**< only if ended */
	uint32_t percent;  /**< progress */
	/** Over the last half second: tail latency in ms for a task with a
	 * latency objective, otherwise CPU in use in thousandths. */
	uint32_t recent_load;
	char checkpoint[FFL_CHECKPOINT_BYTES_MAX + 1]; /**< "": none */
	ffl_flow_t *flow;    /**< set by the receiver; NULL: unknown */
	uint32_t task_index; /**< index of the task in that flow */
} ffl_run_report_t;

/** Permission to run a step on a worker. */
typedef struct {
	ffl_name_t worker;
	char ticket[FFL_TICKET_BYTES];
} ffl_ticket_t;

/** Reply of a worker, or of the adviser. */
typedef struct {
	uint64_t call; /**< number of the order */
	ffl_reply_outcome_t outcome;
	int64_t born_ms;   /**< worker's incarnation; 0: unknown */
	uint64_t clock_ms; /**< worker's clock; 0: unknown */
	ffl_run_report_t *running;
	uint32_t running_count;
	ffl_run_report_t *ended;
	uint32_t ended_count;
	ffl_ticket_t *tickets;
	uint32_t tickets_count;
	uint32_t valid_ms; /**< validity of the tickets, from the reply on */
} ffl_reply_t;

/** Names for logs and messages; "?" for a value out of range. */
const char *ffl_order_kind_name(uint32_t kind);
const char *ffl_reply_outcome_name(uint32_t outcome);
const char *ffl_run_end_name(uint32_t end);

/** Formats the name of a task, given its index in the flow. */
void ffl_task_name(const ffl_flow_t *flow, uint32_t task,
		   char out[FFL_TASK_NAME_BYTES]);
/**
 * Finds a task by its name.
 *
 * @param task receives the index of the task in the flow
 * @return the flow, or NULL if the name is malformed or no flow has the task
 */
ffl_flow_t *ffl_task_find(const ffl_flows_t *flows, const char *name,
			  uint32_t *task);

#endif
