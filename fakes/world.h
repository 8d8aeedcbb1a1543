/**
 * @file world.h
 * @brief Simulation of several entry hosts and a platform in virtual time.
 *
 * Single-threaded and deterministic for a seed: each message, call and reply is
 * an event with a due time. Tests set faults between calls of world_run().
 */
#ifndef FFL_WORLD_H
#define FFL_WORLD_H

#include "fakes/fake_log.h"
#include "fakes/fake_worker.h"
#include "fireflyledge/box.h"
#include "fireflyledge/host.h"
#include "fireflyledge/port.h"
#include "fireflyledge/rng.h"

/** Limits of a world. */
#define WORLD_HOSTS_MAX	    8
#define WORLD_CELLS_MAX	    4
#define WORLD_WORKERS_MAX   64
#define WORLD_UPSTREAMS_MAX 16
#define WORLD_CLUSTER	    42
#define WORLD_OPERATOR	    "operator-token"

/** An entry host. */
typedef struct {
	ffl_host_t host;
	ffl_counters_t counters;
	ffl_host_options_t opt;
	bool alive;
	bool exited; /**< it has ended by itself */
	bool ready;
	uint64_t incarnation; /**< number of this start; replies to earlier ones
				 are dropped */
	uint64_t paused_until_ms;
	bool cut;     /**< exchanges no messages with other entry hosts */
	bool log_cut; /**< cannot reach the log */
	bool peer_cut[WORLD_HOSTS_MAX]; /**< gets no messages of that entry host
					 */
	bool worker_cut[WORLD_WORKERS_MAX]; /**< cannot reach that worker */
} world_host_t;

/** Reply of a host to a command or request. */
typedef struct {
	uint64_t id;
	uint32_t host;
	uint32_t http_status;
	bool finished; /**< a request's reply was relayed completely */
	char *body;    /**< JSON, or NULL */
} world_answer_t;

/** Execution of a request on an upstream, recorded for oracles. */
typedef struct {
	uint64_t id;
	uint32_t host;
	uint32_t upstream;
	uint64_t at_ms;
	char key[FFL_KEY_BYTES];
} world_run_t;

struct world;

/** Called after a worker has carried out or refused a command. */
typedef void (*world_command_fn_t)(struct world *w, uint32_t worker,
				   const ffl_worker_cmd_t *cmd,
				   ffl_status_t status);

typedef struct world {
	uint64_t now_ms;
	ffl_rng_t rng;
	world_host_t hosts[WORLD_HOSTS_MAX];
	uint32_t host_count;
	fake_log_t log;
	fake_worker_t workers[WORLD_WORKERS_MAX];
	bool worker_frozen[WORLD_WORKERS_MAX];
	uint32_t worker_count;
	ffl_host_info_t infos[WORLD_WORKERS_MAX + WORLD_UPSTREAMS_MAX +
			      WORLD_HOSTS_MAX];
	uint32_t info_count;
	ffl_host_info_t visible_infos[WORLD_WORKERS_MAX + WORLD_UPSTREAMS_MAX +
				      WORLD_HOSTS_MAX];
	uint32_t visible_count;
	uint64_t visible_ms;  /**< time of visible_infos */
	uint32_t list_lag_ms; /**< time between updates of visible_infos */
	bool worker_unlisted[WORLD_WORKERS_MAX];
	uint32_t delayed_commands; /**< next commands to workers that are
				      delayed */
	uint32_t slow_ms;	   /**< longest such delay */
	uint32_t cells;
	world_command_fn_t on_command;	 /**< may be NULL */
	void *on_command_arg;		 /**< user pointer of on_command */
	ffl_snapshot_limits_t snapshots; /**< of hosts started from now on */
	uint32_t upstream_count;
	uint32_t upstream_ms;		 /**< service time of a request */
	ffl_up_outcome_t upstream_fault; /**< outcome of every attempt */
	uint32_t lose_replies; /**< next replies of workers that are lost */
	uint32_t drop_peer_percent; /**< lost messages between hosts */
	GSequence *due;		    /**< events by due time */
	uint64_t next_seq;
	uint64_t next_id;
	uint64_t next_incarnation;
	GPtrArray *answers; /**< of world_answer_t */
	GArray *runs;	    /**< of world_run_t */
	GHashTable *keys;   /**< idempotency key by request id */
	uint64_t actions;   /**< number carried out so far */
	/** Called with each action before it is carried out; may be NULL. */
	void (*on_action)(void *user, uint32_t host, const ffl_action_t *act);
	void *on_action_user;
} world_t;

/** Starts hosts, all in one data centre, with workers and upstreams. */
void world_init(world_t *w, uint64_t seed, uint32_t hosts, uint32_t workers,
		uint32_t upstreams);
/** Starts hosts and workers in each of several data centres. */
void world_init_cells(world_t *w, uint64_t seed, uint32_t cells, uint32_t hosts,
		      uint32_t workers, uint32_t upstreams);
void world_finish(world_t *w);

/** Advances virtual time and handles the events that are due. */
void world_run(world_t *w, uint32_t ms);

/** Kills a host without a clean stop. */
void world_kill(world_t *w, uint32_t host);
/** Starts a host, killing the old one, with no state but its settings. */
void world_start(world_t *w, uint32_t host);
/** Suspends a host: events are delivered after the pause. */
void world_pause(world_t *w, uint32_t host, uint32_t ms);
/** Asks a host to stop cleanly. */
void world_stop(world_t *w, uint32_t host);

/** Sends a command to a host; returns its id. */
uint64_t world_command(world_t *w, uint32_t host, ffl_command_t command,
		       const char *token, const char *arg, const char *body);
/** Sends a request with an idempotency key to a host; returns its id. */
uint64_t world_request(world_t *w, uint32_t host, const char *token,
		       const char *caller, ffl_urgency_t urgency,
		       const char *key);
/** Returns the last reply to a command or request, or NULL. */
const world_answer_t *world_answer(const world_t *w, uint64_t id);

/** Submits an intent and confirms its plan; false if refused. Takes up to 12 s
 * of virtual time. */
bool world_apply_intent(world_t *w, uint32_t host, const char *intent_json);
/** Adds a customer with a token; false if refused. */
bool world_add_customer(world_t *w, uint32_t host, const char *name,
			const char *token);
/** Returns the name of a cell's data centre. */
const char *world_dc(uint32_t cell);
/** Returns the host that leads the first cell, or -1. */
int world_leader(const world_t *w);
/** Returns the host that leads a cell, or -1. */
int world_cell_leader(const world_t *w, uint32_t cell);
/** Sets the leaving flag of a worker in the platform's list. */
void world_set_worker_leaving(world_t *w, uint32_t worker, bool leaving);

#endif
