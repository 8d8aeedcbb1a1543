/**
 * @file site.h
 * @brief Entry hosts, a log and workers in virtual time, with an oracle.
 *
 * One thread, one seed. The oracle knows only what callers, workers and the
 * log have seen, and the promises of docs/design/target.md.
 */
#ifndef FFL_SITE_H
#define FFL_SITE_H

#include "fakes/keyed_log.h"
#include "fakes/task_worker.h"

/** Bounds of a site. */
#define SITE_HOSTS_MAX	 4
#define SITE_WORKERS_MAX 8
#define SITE_JOBS_MAX	 48
/** Virtual time between two looks at everything. */
#define SITE_STEP_MS 10

/** An entry host. */
typedef struct {
	ffl_node_t node;
	bool alive;
	bool exited;
	uint64_t incarnation;	    /**< answers to earlier lives are void */
	uint64_t frozen_until_ms;   /**< it takes no events before */
	uint64_t log_cut_until_ms;  /**< it does not reach the log before */
	uint64_t jobs_lag_until_ms; /**< what it reads of the jobs comes late */
	uint64_t ticked_ms;
	uint64_t restart_ms; /**< when it starts again; 0: not */
} site_host_t;

/** A job that a caller sent. */
typedef struct {
	char id[FFL_FLOW_ID_BYTES];
	ffl_flow_spec_t spec; /**< what was asked */
	uint32_t work_ms;
	bool fails;
	bool accepted;
	bool refused;	       /**< some sending was refused */
	bool outcome_unknown;  /**< some sending had no sure answer */
	uint64_t cancelled_ms; /**< when the cancellation was confirmed */
	ffl_flow_state_t
		reported_state; /**< last state that a caller was told */
	bool cancel_sent;
	uint32_t done_count; /**< tasks that have ended well */
	GHashTable
		*acked_done; /**< names of tasks whose good end is on the log */
	GHashTable *completed; /**< names of tasks that have ended well */
	GHashTable
		*failures; /**< failed runs that were acknowledged, by name */
} site_job_t;

/** A site. */
typedef struct {
	uint64_t now_ms;
	uint64_t wall_ms;
	ffl_rng_t rng;
	uint32_t hosts_count;
	uint32_t size_milli[SITE_HOSTS_MAX]; /**< thousandths of a core; 0: one
					      */
	uint32_t log_extra_ms[SITE_HOSTS_MAX]; /**< longer way to the log */
	uint32_t workers_count;
	site_host_t hosts[SITE_HOSTS_MAX];
	task_worker_t workers[SITE_WORKERS_MAX];
	bool worker_cut[SITE_WORKERS_MAX]; /**< from every host */
	keyed_log_t topics[FFL_TOPIC__MAX];
	ffl_arena_t arena;
	GQueue events; /**< of event_t, by time */
	uint64_t next_event;
	GHashTable *open; /**< calls on their way, by host, kind and number */
	GArray *act_buf;
	site_job_t jobs[SITE_JOBS_MAX];
	uint32_t jobs_count;
	uint64_t next_call;
	GHashTable *jobs_by_call;      /**< job index by call */
	uint64_t log_down_until_ms;    /**< the log refuses before */
	uint64_t log_silent_until_ms;  /**< the log does not answer before */
	uint64_t append_lost_until_ms; /**< answers of writes are lost before */
	uint64_t
		orders_late_until_ms; /**< orders are carried out late before */
	uint32_t append_ms; /**< a topic takes one append at a time, for so long
			     */
	uint64_t append_free_ms[FFL_TOPIC__MAX]; /**< when the last one ends */
	uint32_t worker_ms;			 /**< one way to a worker */
	uint32_t lost_percent;
	uint32_t late_percent;
	uint64_t version;      /**< of the configuration */
	bool tickets_required; /**< the queue of first priority needs tickets */
	uint64_t actions;
	uint64_t reads; /**< of the log, by any host */
	uint64_t topic_reads[FFL_TOPIC__MAX];
	const task_worker_t *order_worker; /**< that carries out an order now */
	char ticket[FFL_TICKET_BYTES];	   /**< that it asks for */
	const char *violation;		   /**< first promise that was broken */
	char detail[160];
} site_t;

void site_init(site_t *s, uint64_t seed, uint32_t hosts, uint32_t workers);
void site_finish(site_t *s);
void site_run(site_t *s, uint32_t ms);
/** Writes a new version of the configuration. */
void site_write_config(site_t *s);

/** Sends a job of one step to a host; returns its index. */
uint32_t site_submit(site_t *s, uint32_t host, uint32_t tasks, uint32_t gpus,
		     uint32_t work_ms, bool gang);
/** Sends a job of two steps, the second after the first. */
uint32_t site_submit_chain(site_t *s, uint32_t host, uint32_t work_ms);
/** Sends a job again, by the same id. */
void site_resubmit(site_t *s, uint32_t host, uint32_t job);
void site_cancel(site_t *s, uint32_t host, uint32_t job);
void site_query(site_t *s, uint32_t host, uint32_t job);

void site_kill(site_t *s, uint32_t host, uint32_t restart_ms);
void site_stop(site_t *s, uint32_t host);
void site_worker_crash(site_t *s, uint32_t worker);
void site_worker_boot(site_t *s, uint32_t worker);
void site_worker_drain(site_t *s, uint32_t worker);
/** The worker exits, and its entry goes at once. */
void site_worker_leave(site_t *s, uint32_t worker);

/** Index of the leader, or -1. */
int site_leader(const site_t *s);
/** Ends all faults and lets everything come to an end; checks the ends. */
void site_settle(site_t *s, uint32_t ms);

#endif
