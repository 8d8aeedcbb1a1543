/**
 * @file faults.h
 * @brief Timed faults of a simulated world (world.h).
 */
#ifndef FFL_FAULTS_H
#define FFL_FAULTS_H

#include "fakes/gang_watch.h"

/** Kind of a fault. */
typedef enum {
	FAULT_FREEZE,	  /**< a worker neither receives nor answers commands */
	FAULT_WORKER_CUT, /**< a host cannot reach one worker */
	FAULT_OUTAGE,	  /**< the log is down */
	FAULT_LOG_CUT,	  /**< a host cannot reach the log */
	FAULT_PEER_CUT,	  /**< a host gets no messages of one other host */
	FAULT_ISOLATE,	  /**< a host cannot reach any other host */
	FAULT_PEER_LOSS,  /**< 20 % of the messages between hosts are lost */
	FAULT_LEAVE,	  /**< a worker is marked as leaving */
	FAULT_UNLIST,	  /**< a worker is missing from the host list */
	FAULT_PAUSE,	  /**< a host is suspended */
	FAULT_KILL,	  /**< a host crashes and is replaced immediately */
	FAULT_RESTART,	  /**< a worker restarts */
	FAULT_LOSE_REPLIES,   /**< the next replies of workers are lost */
	FAULT_DELAY_COMMANDS, /**< the next commands to workers are delayed */
	FAULT_STOP, /**< a host shuts down cleanly, then is replaced */
	FAULT__MAX
} fault_kind_t;

/** An active fault. */
typedef struct {
	fault_kind_t kind;
	uint32_t arg; /**< see faults_add() */
	uint64_t until_ms;
} fault_t;

typedef struct {
	world_t *w;
	gang_watch_t *watch;
	GArray *on; /**< active faults, of fault_t */
} faults_t;

void faults_init(faults_t *f, world_t *w, gang_watch_t *watch);
void faults_finish(faults_t *f);
/**
 * Starts a fault.
 *
 * @param arg seeded number that selects, according to the kind, the host and
 *	      its peer or worker, the worker, or the number of messages
 * @param ms duration; for a pause its length, for FAULT_DELAY_COMMANDS the
 *	     longest delay as well
 */
void faults_add(faults_t *f, fault_kind_t kind, uint32_t arg, uint32_t ms);
/** Runs the world for @p ms and ends faults when they expire; stops early at a
 * violation. */
void faults_run(faults_t *f, uint32_t ms);
/** Ends all faults. */
void faults_clear(faults_t *f);
/** Returns the name of a fault kind, or "?" for an unknown one. */
const char *fault_name(uint32_t kind);

#endif
