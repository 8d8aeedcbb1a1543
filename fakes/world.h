/**
 * @file world.h
 * @brief Several entry hosts and a fake platform in virtual time.
 *
 * One thread, one seed: every message, call and answer is an event with a
 * due time. Faults are set between calls of world_run().
 */
#ifndef FFL_WORLD_H
#define FFL_WORLD_H

#include "fakes/fake_log.h"
#include "fakes/fake_worker.h"
#include "fireflyledge/box.h"
#include "fireflyledge/host.h"
#include "fireflyledge/port.h"
#include "fireflyledge/rng.h"

/** Bounds of a world. */
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
	bool exited;
	bool ready;
	uint64_t incarnation; /**< number of this incarnation; older answers are
				 void */
	uint64_t paused_until_ms;
	bool cut;     /**< no message passes to or from other entry hosts */
	bool log_cut; /**< does not reach the log */
	bool peer_cut[WORLD_HOSTS_MAX];	    /**< link to one other entry host */
	bool worker_cut[WORLD_WORKERS_MAX]; /**< link to one worker */
} world_host_t;

/** An answer that a host gave to a command or request. */
typedef struct {
	uint64_t id;
	uint32_t host;
	uint32_t http_status;
	bool finished; /**< a request's answer was relayed whole */
	char *body;    /**< JSON, or NULL */
} world_answer_t;

/** A run of a request on an upstream, for oracles. */
typedef struct {
	uint64_t id;
	uint32_t host;
	uint32_t upstream;
	uint64_t at_ms;
	char key[FFL_KEY_BYTES];
} world_run_t;

struct world;

/** Told of each command that a worker has carried out or refused. */
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
	uint64_t visible_ms;  /**< time of which the hosts see the list */
	uint32_t list_lag_ms; /**< between two states that they see */
	bool worker_unlisted[WORLD_WORKERS_MAX];
	uint32_t delayed_commands; /**< commands that reach a worker late */
	uint32_t slow_ms;	   /**< how late at most */
	uint32_t cells;
	world_command_fn_t on_command;	 /**< or NULL */
	void *on_command_arg;		 /**< state of the watch */
	ffl_snapshot_limits_t snapshots; /**< of hosts that start */
	uint32_t upstream_count;
	uint32_t upstream_ms;		 /**< service time of a request */
	ffl_up_outcome_t upstream_fault; /**< outcome of every attempt */
	uint32_t lose_replies;		 /**< workers' replies that are lost */
	uint32_t drop_peer_percent;
	GSequence *due; /**< of events, by due time */
	uint64_t next_seq;
	uint64_t next_id;
	uint64_t next_incarnation;
	GPtrArray *answers; /**< of world_answer_t */
	GArray *runs;	    /**< of world_run_t */
	GHashTable *keys;   /**< key of each open request by id */
	uint64_t actions;   /**< carried out so far */
	/** Sees every action before it is carried out; may be NULL. */
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

/** Lets virtual time pass, carrying out what falls due. */
void world_run(world_t *w, uint32_t ms);

void world_kill(world_t *w, uint32_t host);
/** Starts a host anew, with nothing but its settings. */
void world_start(world_t *w, uint32_t host);
/** Stops a host's clock: it sees nothing until the pause ends. */
void world_pause(world_t *w, uint32_t host, uint32_t ms);
/** Asks a host for a planned stop. */
void world_stop(world_t *w, uint32_t host);

/** Gives a host a command; returns its id. */
uint64_t world_command(world_t *w, uint32_t host, ffl_command_t command,
		       const char *token, const char *arg, const char *body);
/** Gives a host a request; returns its id. */
uint64_t world_request(world_t *w, uint32_t host, const char *token,
		       const char *caller, ffl_urgency_t urgency,
		       const char *key);
/** Returns the answer to a command or request, or NULL. */
const world_answer_t *world_answer(const world_t *w, uint64_t id);

/** States an intent, confirms its plan at once; false where refused. */
bool world_apply_intent(world_t *w, uint32_t host, const char *intent_json);
/** Confirms a customer; false where refused. */
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
