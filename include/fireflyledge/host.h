/**
 * @file host.h
 * @brief One entry host's decisions: events and time in, actions out.
 *
 * The object has no thread, clock, I/O or random source of its own. The
 * same options and events give the same actions.
 */
#ifndef FFL_HOST_H
#define FFL_HOST_H

#include "fireflyledge/action.h"
#include "fireflyledge/config.h"
#include "fireflyledge/counters.h"
#include "fireflyledge/fleet.h"
#include "fireflyledge/fold.h"
#include "fireflyledge/gang.h"
#include "fireflyledge/hostlist.h"
#include "fireflyledge/logc.h"
#include "fireflyledge/member.h"
#include "fireflyledge/request.h"
#include "fireflyledge/sched.h"
#include "fireflyledge/snapshot.h"

/** Longest time between two calls of ffl_host_step(), in ms. */
#define FFL_TICK_MS 50

/** What a host is told at its start. */
typedef struct {
	uint64_t cluster;
	uint64_t seed; /**< of every pseudo-random choice */
	ffl_join_t self;
	ffl_member_times_t times;
	ffl_request_limits_t limits;
	ffl_snapshot_limits_t snapshots;
	uint64_t wall_offset_ms; /**< wall clock less the time of events */
	uint32_t poll_hosts_ms;	 /**< 0 where the list comes by itself */
	/** Operator token that holds while no operator is configured. */
	uint8_t bootstrap_hash[FFL_HASH_BYTES];
	uint32_t stop_delay_ms; /**< an unready host still takes requests */
	uint32_t stop_drain_ms; /**< longest drain; 0 takes the default */
} ffl_host_options_t;

/** State of a planned stop. */
typedef enum {
	FFL_STOP_NONE,
	FFL_STOP_UNREADY,  /**< the balancer is told; requests are taken */
	FFL_STOP_DRAINING, /**< open requests finish */
	FFL_STOP_LEAVING,  /**< the leave record is on its way */
	FFL_STOP_DONE,
	FFL_STOP__MAX
} ffl_stop_state_t;

/** A command that waits for its record. */
typedef struct {
	uint64_t seq;
	ffl_rec_kind_t kind; /**< of the record */
	uint64_t id;	     /**< of the command */
	ffl_command_t command;
	uint64_t target;
	uint64_t deadline_ms;
} ffl_waiter_t;

/** How a host gets state that the log no longer tells from its start. */
typedef enum {
	FFL_RESTORE_NONE,
	FFL_RESTORE_TAIL, /**< looks for a snapshot near the log's end */
	FFL_RESTORE_ALL,  /**< looks through all that the log retains */
	FFL_RESTORE__MAX
} ffl_restore_mode_t;

/** State under way from a peer, and where it is asked for. */
typedef struct {
	ffl_restore_mode_t mode;
	uint64_t held_next_offset; /**< next record to fold of the state held */
	bool snapshot_missing;	   /**< no snapshot was found */
	bool log_complete; /**< the log reaches back, without a snapshot */
	uint64_t next_request_ms;
	uint32_t next_peer;
	GPtrArray *addrs; /**< of entry hosts in the platform's list */
	uint64_t sender;  /**< member whose parts are coming */
	uint64_t hash;
	uint32_t next_part;
	GByteArray *data;
	uint64_t next_serve_ms;	  /**< earliest time to serve a peer */
	uint64_t peer_offset_max; /**< highest offset that a peer has shown */
} ffl_restore_t;

typedef struct {
	ffl_host_options_t opt;
	ffl_counters_t *counters;
	ffl_logc_t logc;
	ffl_config_t config;
	ffl_members_t members;
	ffl_hostlist_t hostlist;
	ffl_fleet_t fleet;
	ffl_gangs_t gangs;
	ffl_sched_t sched;
	ffl_requests_t requests;
	ffl_fold_t fold;
	ffl_snapshots_t snapshots;
	uint64_t own_snapshot_offset; /**< of the last one of this host */
	uint64_t last_snapshot_ms;    /**< time of the last one of any host */
	ffl_restore_t restore;
	uint64_t peer_revision_max; /**< highest that a peer has shown */
	bool config_changed;	    /**< and not yet told to the others */
	GArray *waiters;	    /**< of ffl_waiter_t */
	ffl_arena_t scratch;
	ffl_stop_state_t stop;
	uint64_t stop_ms;
	uint32_t reading;      /**< requests whose body is being read */
	uint64_t first_member; /**< first that ever joined; 0: not known */
	bool log_trimmed;      /**< the log's start was not seen */
	bool caught_up;	       /**< the log was read to its end once */
	bool ready;
} ffl_host_t;

void ffl_host_init(ffl_host_t *h, const ffl_host_options_t *opt,
		   ffl_counters_t *counters);
void ffl_host_finish(ffl_host_t *h);

/** Takes one event and appends the actions that follow from it. */
void ffl_host_step(ffl_host_t *h, const ffl_event_t *ev, uint64_t now_ms,
		   ffl_actions_t *out);

/** Tells whether the host holds no state to act on yet. */
bool ffl_host_restoring(const ffl_host_t *h);

/** Appends the folded state to @p out. */
void ffl_host_save(const ffl_host_t *h, GByteArray *out);
/** Replaces the folded state; what is wrong leaves the old one. */
ffl_status_t ffl_host_load(ffl_host_t *h, ffl_bytes_t in, uint64_t now_ms);

/** Returns a hash over the folded state, to compare hosts. */
uint64_t ffl_host_state_hash(const ffl_host_t *h);

#endif
