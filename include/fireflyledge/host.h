/**
 * @file host.h
 * @brief Decision core of an entry host: maps events and time to actions.
 *
 * A host has no thread, clock, I/O or random source of its own. It is
 * deterministic: equal options and events, with equal times, give equal
 * actions.
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

/** Options of a host, fixed at its start except for those in the settings
 * event. */
typedef struct {
	uint64_t cluster; /**< cluster id; records and messages of others are
			     dropped */
	uint64_t seed;	  /**< of all pseudo-random choices */
	ffl_join_t self;
	ffl_member_times_t times;
	ffl_request_limits_t limits;
	ffl_snapshot_limits_t snapshots;
	uint64_t wall_offset_ms; /**< wall-clock time minus event time */
	uint32_t poll_hosts_ms;	 /**< interval of host list reads; 0 if it is
				    pushed */
	/** Hash of the operator token accepted while no operator is configured.
	 */
	uint8_t bootstrap_hash[FFL_HASH_BYTES];
	uint32_t stop_delay_ms; /**< time from unready to drain; requests are
				   still accepted */
	uint32_t stop_drain_ms; /**< longest drain; 0 selects the default */
} ffl_host_options_t;

/** Stages of a planned stop, in order. */
typedef enum {
	FFL_STOP_NONE,
	FFL_STOP_UNREADY,  /**< reported to the load balancer; still accepts
			      requests */
	FFL_STOP_DRAINING, /**< new requests are refused, open ones finish */
	FFL_STOP_LEAVING,  /**< the leave record is being appended */
	FFL_STOP_DONE,
	FFL_STOP__MAX
} ffl_stop_state_t;

/** A command whose answer waits until its record is read back from the log. */
typedef struct {
	uint64_t seq;	     /**< of the record */
	ffl_rec_kind_t kind; /**< of the record */
	uint64_t id;	     /**< of the command */
	ffl_command_t command;
	uint64_t target; /**< plan or job that the command acts on; 0 if none */
	uint64_t deadline_ms; /**< end of the wait */
} ffl_waiter_t;

/** How a host restores its state when the log has been trimmed or is too long
 * to fold from its start. */
typedef enum {
	FFL_RESTORE_NONE,
	FFL_RESTORE_TAIL, /**< scans the last records of the log for a snapshot
			   */
	FFL_RESTORE_ALL,  /**< scans all records that the log retains */
	FFL_RESTORE__MAX
} ffl_restore_mode_t;

/** Progress of a restore from the log's snapshots or from a peer. */
typedef struct {
	ffl_restore_mode_t mode;
	uint64_t held_next_offset; /**< log offset up to which the current state
				      is folded; valid while restoring */
	bool snapshot_missing; /**< the whole log was scanned without finding a
				  usable snapshot */
	bool log_complete;     /**< the log retains all records needed, but no
				  usable snapshot */
	uint64_t next_request_ms; /**< earliest next request */
	uint32_t next_peer; /**< round-robin index over members, then addrs */
	GPtrArray *addrs; /**< char *; peer addresses of entry hosts in the host
			     list */
	uint64_t sender;  /**< member that sends the state being received */
	uint64_t hash;	  /**< of the whole state being received */
	uint32_t next_part;	  /**< index of the part expected next */
	GByteArray *data;	  /**< parts received so far */
	uint64_t next_serve_ms;	  /**< earliest time to send state to a peer */
	uint64_t peer_offset_max; /**< highest next offset in a peer's heartbeat
				   */
} ffl_restore_t;

/** An entry host. */
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
	uint64_t own_snapshot_offset; /**< log offset of the last snapshot that
					 this host appended */
	uint64_t last_snapshot_ms;    /**< last snapshot by any host */
	ffl_restore_t restore;
	uint64_t peer_revision_max; /**< highest configuration revision in a
				       peer's heartbeat */
	bool config_changed; /**< not yet applied to fleet and requests */
	GArray *waiters;     /**< of ffl_waiter_t */
	ffl_arena_t scratch; /**< holds one decoded record */
	ffl_stop_state_t stop;
	uint64_t stop_ms;      /**< start of the current stage of the stop */
	uint32_t reading;      /**< requests whose body is being received */
	uint64_t first_member; /**< first member that ever joined; 0 if unknown
				*/
	bool log_trimmed;      /**< the first records were trimmed, or a restore
				  skipped them */
	bool caught_up; /**< the log was read to its end at least once since the
			 * start or the last restore */
	bool ready;	/**< as last reported by FFL_ACT_READY */
} ffl_host_t;

void ffl_host_init(ffl_host_t *h, const ffl_host_options_t *opt,
		   ffl_counters_t *counters);
void ffl_host_finish(ffl_host_t *h);

/**
 * Handles one event and appends the resulting actions to @p out. Does nothing
 * once the planned stop is complete.
 */
void ffl_host_step(ffl_host_t *h, const ffl_event_t *ev, uint64_t now_ms,
		   ffl_actions_t *out);

/** Returns true while the host scans the log for a snapshot; it makes no
 * decisions on its state until then. */
bool ffl_host_restoring(const ffl_host_t *h);

/** Appends the state folded from the log, serialised, to @p out. */
void ffl_host_save(const ffl_host_t *h, GByteArray *out);
/**
 * Replaces the folded state with a serialised one.
 *
 * @return FFL_OK; on error the state is unchanged: FFL_CONFLICT if @p in has an
 *         older configuration revision than this host, FFL_INVALID if it is of
 *         another cluster or format version, otherwise the decoding error
 */
ffl_status_t ffl_host_load(ffl_host_t *h, ffl_bytes_t in, uint64_t now_ms);

/** Returns a hash of the folded state; hosts that have folded equal records
 * have equal hashes. */
uint64_t ffl_host_state_hash(const ffl_host_t *h);

#endif
