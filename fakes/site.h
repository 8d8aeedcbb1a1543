/**
 * @file site.h
 * @brief Simulation of entry hosts, a log and workers in virtual time, with an
 * oracle.
 *
 * Single-threaded and deterministic for a seed. The oracle knows only what
 * callers, workers and the log have seen, and checks it against the guarantees
 * of docs/design/target.md.
 */
#ifndef FFL_SITE_H
#define FFL_SITE_H

#include "fakes/fake_adviser.h"
#include "fakes/keyed_log.h"
#include "fakes/task_worker.h"

/** Limits of a site. */
#define SITE_HOSTS_MAX	 12
#define SITE_WORKERS_MAX 8
#define SITE_JOBS_MAX	 48
#define SITE_DCS	 2
/** Tasks of a job whose waiting times are checked. */
#define SITE_WATCHED_TASKS 8
/** API keys of two customers. The queues /lining/ and /dew/ need one, /open/
 * does not. */
#define SITE_KEY       "key"
#define SITE_OTHER_KEY "key-2"
/** By when nothing may be started in an evacuated data centre. */
#define SITE_EVACUATE_MS 5000
/** Step of virtual time. */
#define SITE_STEP_MS 10
/** Time between reports of a worker. */
#define SITE_REPORT_MS 1500

/** An entry host. */
typedef struct {
	ffl_node_t node;
	bool alive;
	bool exited;
	uint64_t incarnation; /**< number of this start; replies to earlier ones
				 are dropped */
	uint64_t frozen_until_ms;  /**< suspended: gets no events before */
	uint64_t log_cut_until_ms; /**< cannot reach the log before */
	uint32_t topics_cut; /**< partitions of topics that it cannot reach, a
				bit each by ffl_tail_index() */
	uint64_t jobs_lag_until_ms; /**< gets no new job records before */
	uint64_t ticked_ms;	    /**< time of the last tick */
	uint64_t restart_ms;	    /**< when it starts again; 0: never */
	uint64_t adviser_busy_ms; /**< by then the adviser has done the calls of
				     its earlier starts */
} site_host_t;

/** A submitted job, as its caller and the oracle know it. */
typedef struct {
	char id[FFL_FLOW_ID_BYTES];
	ffl_flow_spec_t spec; /**< submitted specification */
	uint32_t work_ms;     /**< work of each task */
	bool fails;	      /**< each run fails */
	bool accepted;	      /**< a submission was accepted */
	bool refused;	      /**< a submission was refused */
	bool conflict; /**< the id was said to belong to a different job */
	bool outcome_unknown;  /**< a submission got no definite reply */
	uint64_t cancelled_ms; /**< when a cancellation was confirmed; 0: never
				*/
	ffl_flow_state_t reported_state; /**< state last reported to a caller */
	bool cancel_sent;
	uint32_t done_count;	/**< number of tasks completed */
	GHashTable *acked_done; /**< tasks whose success was acknowledged, by
				   name */
	GHashTable *completed; /**< tasks that have run successfully, by name */
	/** Since when each task waits while there is room; 0: it does not. */
	uint64_t waits_ms[SITE_WATCHED_TASKS];
	GHashTable *failures; /**< acknowledged failures by task name */
} site_job_t;

/** A simulated site; times are virtual. */
typedef struct {
	uint64_t now_ms;
	uint64_t wall_ms; /**< wall clock at now_ms 0 */
	ffl_rng_t rng;
	uint32_t hosts_count;
	uint32_t size_milli[SITE_HOSTS_MAX]; /**< size of a host in thousandths
						of a core; 0: 1 core */
	uint32_t log_extra_ms[SITE_HOSTS_MAX]; /**< extra one-way delay to the
						  log */
	uint32_t workers_count;
	site_host_t hosts[SITE_HOSTS_MAX];
	task_worker_t workers[SITE_WORKERS_MAX];
	bool worker_cut[SITE_WORKERS_MAX]; /**< cut off from all hosts */
	/** Hosts that cannot reach the worker, a bit each. */
	uint32_t hosts_cut[SITE_WORKERS_MAX];
	/** Workers whose entries do not reach the list, a bit each. */
	uint32_t entries_cut;
	/** Workers that are removed, a bit each: one with a new id and address
	 * boots in their place. */
	uint32_t removed;
	/** When each data centre was evacuated; 0: it is not. Worker i is in
	 * the data centre i % SITE_DCS. */
	uint64_t evacuated_ms[SITE_DCS];
	uint32_t new_workers; /**< workers with a new id so far */
	bool clocks_vary;    /**< clocks of workers that start begin anywhere */
	ffl_rng_t clock_rng; /**< where; apart from rng, which would draw
				other faults */
	GHashTable *reported_ms; /**< time of the last report of each id that
				    is listed */
	/** When the last start order of each task that got no answer arrived.
	 */
	GHashTable *unanswered_ms;
	GHashTable *silent_addrs; /**< addresses at which nothing answers; at
				     others, where nobody listens, a connection
				     is refused */
	uint32_t partitions;	  /**< that hosts which start are told; 0: 1 */
	keyed_log_t topics[FFL_TAILS_MAX]; /**< by ffl_tail_index() */
	ffl_arena_t arena;
	GQueue events; /**< of event_t, by due time */
	uint64_t next_event;
	GHashTable *open; /**< pending calls, by kind, host, incarnation and
			     number */
	GArray *act_buf;  /**< actions of the current step, of ffl_node_act_t */
	site_job_t jobs[SITE_JOBS_MAX];
	uint32_t jobs_count;
	uint64_t next_call;
	GHashTable *jobs_by_call;   /**< job index + 1, by call */
	uint64_t log_down_until_ms; /**< the log refuses all calls before */
	uint64_t part_down_until_ms[FFL_TAILS_MAX]; /**< a partition refuses
						       them before */
	uint64_t log_silent_until_ms; /**< the log does not reply before */
	uint32_t deadline_ms;	      /**< of requests by site_send(); 0: 3 s */
	uint64_t append_lost_until_ms; /**< replies to appends may be lost
					  before */
	uint64_t orders_late_until_ms; /**< orders may be delayed before */
	uint32_t append_ms; /**< duration of an append; a partition handles one
			       at a time; 0: no limit */
	uint64_t append_free_ms[FFL_TAILS_MAX]; /**< end of the last append, by
						   partition */
	uint32_t worker_ms;    /**< one-way delay to a worker */
	uint32_t lost_percent; /**< share of appends whose reply is lost */
	uint32_t late_percent; /**< share of orders that are delayed */
	uint32_t spec_bytes;   /**< length of the text of new jobs; 0: short */
	uint64_t version;      /**< of the configuration */
	uint32_t service;      /**< number of the service of all queues */
	bool tickets_required; /**< the top-priority queue needs tickets */
	fake_adviser_t adviser;
	ffl_adviser_times_t advice; /**< that the configuration states */
	uint64_t advice_max_ms;	  /**< longest call about all workers so far */
	bool adviser_slow;	  /**< it has had times above the usual ones */
	const char *order_ticket; /**< ticket that order_worker was sent */
	uint64_t actions;	  /**< actions of all hosts so far */
	uint64_t reads;		  /**< reads of the log by all hosts so far */
	uint64_t topic_reads[FFL_TOPIC__MAX]; /**< reads so far, by topic */
	uint64_t
		disturbed_ms; /**< when a host, the log or a link last failed */
	GHashTable *settled_runs;  /**< runs whose end was reported, or whose
				stop was accepted */
	GHashTable *repeated_runs; /**< such runs that a late order has started
				      again, see site_on_started() */
	bool order_outdated; /**< an earlier incarnation has reported under a
				higher token */
	bool order_late;     /**< the order was delayed on its way */
	bool order_unfenced; /**< see site_on_started() */
	const task_worker_t
		*order_worker;	/**< worker that is handling an order */
	uint64_t watched_token; /**< of the leader in whose time tasks wait */
	GHashTable *answers;	/**< ffl_act_response_t by call, to requests of
				 * site_send() */
	const char *violation;	/**< first violation, or NULL */
	char detail[160];	/**< job, step or task of the violation */
} site_t;

void site_init(site_t *s, uint64_t seed, uint32_t hosts, uint32_t workers);
/** Like site_init(), with a log of several partitions a topic. */
void site_init_spread(site_t *s, uint64_t seed, uint32_t hosts,
		      uint32_t workers, uint32_t partitions);
/** Returns true if a partition of the log refuses all calls. */
bool site_is_part_down(const site_t *s);
void site_finish(site_t *s);
/** Lets the clocks of the workers begin anywhere, now and at each start. */
void site_vary_clocks(site_t *s);
/** Advances virtual time by @p ms. */
void site_run(site_t *s, uint32_t ms);
/** Writes a new version of the configuration to its topic. */
void site_write_config(site_t *s);

/**
 * Changes the times of the adviser and the validity of its tickets, for calls
 * that it takes from now on.
 *
 * @param told the configuration states the times as well
 */
void site_set_adviser(site_t *s, ffl_adviser_times_t times, uint32_t valid_ms,
		      bool told);
/** Returns the longest time that a slow adviser may spend on the steps that
 * wait for tickets, after the calls that it has been sent: on each a call about
 * all workers, and one to renew the tickets of each of its runs. 0 if it was
 * never slow. */
uint64_t site_advice_backlog_ms(const site_t *s);

/** Gives all queues to another service, in a new version of the configuration.
 * Workers are in it from their next start on. */
void site_move_queues(site_t *s);

/** Evacuates a data centre, or takes its evacuation back. */
void site_evacuate(site_t *s, uint32_t dc, bool evacuated);

/** Submits a job of one step to a host; returns its index. At SITE_JOBS_MAX
 * jobs it sends nothing and returns the last index. */
uint32_t site_submit(site_t *s, uint32_t host, uint32_t tasks, uint32_t gpus,
		     uint32_t work_ms, bool gang);
/** Submits a job of two steps, the second of which depends on the first;
 * otherwise like site_submit(). */
uint32_t site_submit_chain(site_t *s, uint32_t host, uint32_t work_ms);
/** Submits a job of one task that starts now and is repeated at an interval;
 * otherwise like site_submit(). */
uint32_t site_submit_repeated(site_t *s, uint32_t host, uint32_t occurrences,
			      uint64_t interval_ms, uint32_t work_ms);
/** Submits a job again under the same id. */
void site_resubmit(site_t *s, uint32_t host, uint32_t job);
void site_cancel(site_t *s, uint32_t host, uint32_t job);
/** Queries the state of a job at a host. */
void site_query(site_t *s, uint32_t host, uint32_t job);

/**
 * Sends a request with any path and key to a host. The oracle does not know of
 * it.
 *
 * @param key API key: SITE_KEY, SITE_OTHER_KEY or ""
 * @param gpus of the single task of a submission
 * @return number of the request
 */
uint64_t site_send(site_t *s, uint32_t host, ffl_request_kind_t kind,
		   const char *path, const char *key, uint32_t gpus);
/** Runs until a request is answered; the answer is NULL if none comes within
 * the caller's deadline. */
const ffl_act_response_t *site_answer(site_t *s, uint64_t call);

/** Kills a host, which starts again @p restart_ms later. */
void site_kill(site_t *s, uint32_t host, uint32_t restart_ms);
/** Asks a host to stop cleanly. */
void site_stop(site_t *s, uint32_t host);
/** A worker loses its power: nothing answers at its address. */
void site_worker_crash(site_t *s, uint32_t worker);
/** A worker's process ends: its host refuses connections. */
void site_worker_exit(site_t *s, uint32_t worker);
/** Starts a worker that is down, under its id unless it was removed. */
void site_worker_boot(site_t *s, uint32_t worker);
/** A worker's process ends and starts again at once, under its id. With
 * @p clock_back its start time lies before the one of the earlier incarnation.
 */
void site_worker_restart(site_t *s, uint32_t worker, bool clock_back);
/** A worker's process ends and another worker takes its address at once. */
void site_worker_replace(site_t *s, uint32_t worker);
/** A worker's process ends for good: its id and address are not used again. */
void site_worker_remove(site_t *s, uint32_t worker);
void site_worker_drain(site_t *s, uint32_t worker);
/** The worker exits and its entry is removed immediately. */
void site_worker_leave(site_t *s, uint32_t worker);

/** Returns the index of the leading host, or -1. */
int site_leader(const site_t *s);
/** Ends the faults, runs for @p ms, then checks that all accepted jobs have
 * ended on all hosts. */
void site_settle(site_t *s, uint32_t ms);

#endif
