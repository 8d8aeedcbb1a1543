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
#include "fireflyledge/gang.h"
#include "fireflyledge/hostlist.h"
#include "fireflyledge/logc.h"
#include "fireflyledge/member.h"
#include "fireflyledge/request.h"
#include "fireflyledge/sched.h"

/** Longest time between two calls of ffl_host_step(), in ms. */
#define FFL_TICK_MS 50

/** What a host is told at its start. */
typedef struct {
	uint64_t cluster;
	uint64_t seed; /**< of every pseudo-random choice */
	ffl_join_t self;
	ffl_member_times_t times;
	ffl_request_limits_t limits;
	uint32_t poll_hosts_ms; /**< 0 where the list comes by itself */
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
	uint64_t id; /**< of the command */
	ffl_command_t command;
	uint64_t plan;
	uint64_t deadline_ms;
} ffl_waiter_t;

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
	GHashTable *writers; /**< last seq folded of each writer */
	GArray *waiters;     /**< of ffl_waiter_t */
	ffl_arena_t scratch;
	ffl_stop_state_t stop;
	uint64_t stop_ms;
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

/** Returns a hash over the folded state, to compare hosts. */
uint64_t ffl_host_state_hash(const ffl_host_t *h);

#endif
