/**
 * @file site_int.h
 * @brief Internal interface between the source files of the simulated site.
 */
#ifndef FFL_SITE_INT_H
#define FFL_SITE_INT_H

#include "fakes/site.h"

/** Longest delay of an order that is delayed and never answered. */
#define LATE_ORDER_MAX_MS 12000

typedef enum {
	EVENT_STORE,	   /**< a call arrives at the log */
	EVENT_STORE_BACK,  /**< its answer arrives at the host */
	EVENT_WORKER,	   /**< an order arrives at a worker */
	EVENT_WORKER_BACK, /**< its answer arrives */
	EVENT_TIMEOUT,	   /**< a host gives up on a call */
	EVENT__MAX
} site_event_kind_t;

/** A scheduled event. */
typedef struct {
	site_event_kind_t kind;
	uint64_t due_ms;
	uint32_t host;
	uint64_t incarnation;
	ffl_node_act_t act; /**< spec and ticket are copied below */
	char *spec;
	char ticket[FFL_TICKET_BYTES];
	uint64_t sent_ms;  /**< when an order was sent */
	uint64_t until_ms; /**< when a waiting call is answered */
	bool no_answer;
	int64_t held_by_ms; /**< start time of the incarnation at which a call
			       waits; 0: none yet */
	bool queued;	    /**< an append that has waited in the queue */
	ffl_node_event_t ev;
} site_event_t;

/* site.c */
site_event_t *site_event_new(site_event_kind_t kind, uint64_t due_ms,
			     uint32_t host, uint64_t incarnation);
void site_event_free(site_event_t *e);
void site_schedule(site_t *s, site_event_t *e);
/** Returns the key of an open call in site_t.open, to be freed. */
char *site_call_key(bool order, uint32_t host, uint64_t incarnation,
		    uint64_t call);
/** Delivers an event to a host and carries out the resulting actions. */
void site_step_host(site_t *s, uint32_t host, ffl_node_event_t *ev);

/** Writes the name of the service of a number to @p out. */
void site_service_name(uint32_t number, ffl_name_t out);

/* site_orders.c */
/** Returns true if the adviser denies a worker to a step. */
bool site_is_denied(const site_t *s, const char *step, uint32_t worker);
/** Schedules the reply of the adviser to a host. */
void site_serve_advice(site_t *s, uint32_t host, const ffl_order_t *order);
/** Handles an order that arrives at a worker. */
void site_handle_order(site_t *s, site_event_t *e);

/* site_workers.c */
void site_workers_init(site_t *s);
void site_workers_finish(site_t *s);
/** Writes the entries that are due and removes those of silent workers. */
void site_report_workers(site_t *s);
/** Returns the index of the data centre of an evacuation's key, or SITE_DCS. */
uint32_t site_evacuated_dc(const char *key);
/** Returns the name of a data centre. */
const char *site_dc_name(uint32_t dc);
/** Returns true if a connection to an address where no worker is up is refused
 * at once; else nothing answers. */
bool site_addr_refuses(const site_t *s, const char *addr);

/* site_waiting.c */
/** Returns true while the log and the newest leader work and all orders are in
 * time. */
bool site_is_calm(const site_t *s);
/** Records a violation if a task has waited for too long. */
void site_watch_waiting(site_t *s);

/* site_oracle.c */
/** Records a violated guarantee; only the first one is kept. */
void site_record_violation(site_t *s, const char *fault, const char *detail);
/** Returns the job of a task or step name and sets its step, or NULL. */
site_job_t *site_find_job(site_t *s, const char *task, uint32_t *step);
/** Returns true if a job belongs to the top-priority queue (every third job).
 */
bool site_is_top_priority(const site_t *s, const site_job_t *job);
/** Records a violation if a run of a cancelled job is not stopped. */
void site_watch_cancelled(site_t *s);
/** Notes the ends in a worker's reply. */
void site_note_report(site_t *s, const ffl_reply_t *reply);
/** Notes a run that the incarnation which answered cannot begin any more. */
void site_note_settled(site_t *s, const char *task, uint32_t run);
/* Callbacks of task_hooks_t; the user pointer is the site. */
bool site_plan_task(void *user, const char *task, task_plan_t *out);
void site_on_started(void *user, task_worker_t *w, const task_run_t *run);
void site_on_ended(void *user, task_worker_t *w, const ffl_run_report_t *row);
void site_on_acked(void *user, task_worker_t *w, const ffl_run_report_t *row);
uint32_t site_count_present(void *user, const task_run_t *run);

#endif
