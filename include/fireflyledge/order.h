/**
 * @file order.h
 * @brief What a leader tells a worker, and what the worker answers.
 */
#ifndef FFL_ORDER_H
#define FFL_ORDER_H

#include "fireflyledge/flow.h"

/** Longest name of a task, "ID.OCCURRENCE.STEP.INDEX", with terminator. */
#define FFL_TASK_NAME_BYTES 56
/** Longest ticket of the adviser, with terminator. */
#define FFL_TICKET_BYTES 64
/** Labels of a worker that are kept. */
#define FFL_WORKER_LABELS_MAX 8

/** Room of a worker or a task. */
typedef struct {
	uint32_t cpu_milli;
	uint32_t mem_mb;
	uint32_t gpus;
} ffl_resources_t;

/** What a worker says of itself in the list. */
typedef struct {
	ffl_name_t id;
	char addr[FFL_ADDR_BYTES];
	ffl_name_t service;
	ffl_name_t dc;
	ffl_name_t rack;
	bool draining;
	uint32_t drain_left_ms; /**< least time until it leaves, while draining
				 */
	int64_t born_ms;	/**< incarnation: Unix time of its start */
	uint64_t clock_ms;	/**< its own clock; 0 where it did not say */
	ffl_resources_t capacity;
	uint32_t labels_count;
	ffl_name_t labels[FFL_WORKER_LABELS_MAX];
} ffl_worker_entry_t;

typedef enum {
	FFL_ORDER_RENEW,    /**< extend the lease and report */
	FFL_ORDER_START,    /**< start a run of a task */
	FFL_ORDER_STOP,	    /**< stop a run of a task */
	FFL_ORDER_THROTTLE, /**< let a run work at a share of its pace */
	FFL_ORDER_ADVISE,   /**< ask the adviser which workers may run a step */
	FFL_ORDER__MAX
} ffl_order_kind_t;

/** An order; texts belong to the sender and live until its next step. */
typedef struct {
	ffl_order_kind_t kind;
	uint64_t call;
	ffl_name_t worker;
	char addr[FFL_ADDR_BYTES];
	uint64_t token;	 /**< fencing token */
	int64_t born_ms; /**< incarnation that it is meant for */
	char task[FFL_TASK_NAME_BYTES];
	uint32_t run;
	const char *spec;
	const char *checkpoint;		/**< NULL where there is none */
	const char *ticket;		/**< NULL where none is needed */
	const GPtrArray *asked_workers; /**< ids of the workers asked about */
	uint64_t until_ms; /**< end of the lease by the worker's clock */
	uint64_t acked;	   /**< ends up to this number are on the log */
	uint32_t percent;  /**< pace of a run */
	uint32_t wait_ms;  /**< the answer waits for an end */
	uint32_t timeout_ms;
} ffl_order_t;

/** How an order went. */
typedef enum {
	FFL_REPLY_OK,
	FFL_REPLY_FENCED,    /**< a later leader has been seen */
	FFL_REPLY_STALE_RUN, /**< that run, or a later one, has ended there */
	FFL_REPLY_LEASE_EXPIRED,     /**< its lease had ended */
	FFL_REPLY_NO_RESOURCES,	     /**< it does not fit */
	FFL_REPLY_BAD_TICKET,	     /**< its ticket is not valid there */
	FFL_REPLY_INVALID,	     /**< the worker cannot read it */
	FFL_REPLY_UNHEALTHY,	     /**< the worker has done nothing */
	FFL_REPLY_OTHER_INCARNATION, /**< another incarnation answers */
	FFL_REPLY_UNKNOWN,	     /**< no answer: may be carried out later */
	FFL_REPLY__MAX
} ffl_reply_outcome_t;

/** How a run ended. */
typedef enum {
	FFL_RUN_END_DONE,
	FFL_RUN_END_FAILED,
	FFL_RUN_END_STOPPED,
	FFL_RUN_END_LEASE_EXPIRED,
	FFL_RUN_END_GANG_BROKEN,     /**< another task of its gang ended */
	FFL_RUN_END_GANG_INCOMPLETE, /**< its gang was not whole in time */
	FFL_RUN_END__MAX
} ffl_run_end_t;

/** A run that a worker lists. */
typedef struct {
	uint64_t number; /**< of the end, 0 for what runs */
	char task[FFL_TASK_NAME_BYTES];
	uint32_t run;
	ffl_run_end_t end;
	uint32_t percent;
	/** Over the last half second: the latency's tail in ms of a task that
	 * has an objective, else the processor in use in thousandths. */
	uint32_t recent_load;
	char checkpoint[FFL_CHECKPOINT_BYTES_MAX + 1];
	ffl_flow_t *flow;    /**< found by the receiver; NULL: unknown */
	uint32_t task_index; /**< of the task in that flow */
} ffl_run_report_t;

/** A worker that may run a step. */
typedef struct {
	ffl_name_t worker;
	char ticket[FFL_TICKET_BYTES];
} ffl_ticket_t;

/** An answer of a worker, or of the adviser. */
typedef struct {
	uint64_t call;
	ffl_reply_outcome_t outcome;
	int64_t born_ms;   /**< 0 where it did not say */
	uint64_t clock_ms; /**< 0 where it did not say */
	ffl_run_report_t *running;
	uint32_t running_count;
	ffl_run_report_t *ended;
	uint32_t ended_count;
	ffl_ticket_t *tickets;
	uint32_t tickets_count;
	uint32_t valid_ms; /**< of the tickets, from the answer on */
} ffl_reply_t;

const char *ffl_order_kind_name(uint32_t kind);
const char *ffl_reply_outcome_name(uint32_t outcome);
const char *ffl_run_end_name(uint32_t end);

/** Writes the name of a task. */
void ffl_task_name(const ffl_flow_t *flow, uint32_t task,
		   char out[FFL_TASK_NAME_BYTES]);
/** Finds the task of a name; returns NULL where no flow has it. */
ffl_flow_t *ffl_task_find(const ffl_flows_t *flows, const char *name,
			  uint32_t *task);

#endif
