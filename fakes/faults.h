/**
 * @file faults.h
 * @brief Faults of a world that heal by themselves after a while.
 */
#ifndef FFL_FAULTS_H
#define FFL_FAULTS_H

#include "fakes/gang_watch.h"

/** Kind of a fault. */
typedef enum {
	FAULT_FREEZE,	    /**< a worker neither takes nor answers commands */
	FAULT_WORKER_CUT,   /**< a host does not reach one worker */
	FAULT_OUTAGE,	    /**< the log is down */
	FAULT_LOG_CUT,	    /**< a host does not reach the log */
	FAULT_PEER_CUT,	    /**< a host does not reach one other host */
	FAULT_ISOLATE,	    /**< a host reaches no other host */
	FAULT_PEER_LOSS,    /**< a fifth of the peers' messages are lost */
	FAULT_LEAVE,	    /**< a worker is marked as leaving */
	FAULT_UNLIST,	    /**< a worker vanishes from the list */
	FAULT_PAUSE,	    /**< a host stands still */
	FAULT_KILL,	    /**< a host dies and is replaced at once */
	FAULT_RESTART,	    /**< a worker restarts */
	FAULT_LOSE_REPLIES, /**< workers' next replies are lost */
	FAULT_DELAY_COMMANDS, /**< the next commands reach workers late */
	FAULT_STOP, /**< a host is stopped in good order, then replaced */
	FAULT__MAX
} fault_kind_t;

/** A fault that is on. */
typedef struct {
	fault_kind_t kind;
	uint32_t arg;
	uint64_t until_ms;
} fault_t;

typedef struct {
	world_t *w;
	gang_watch_t *watch;
	GArray *on; /**< of fault_t */
} faults_t;

void faults_init(faults_t *f, world_t *w, gang_watch_t *watch);
void faults_finish(faults_t *f);
/** Starts a fault; what @p arg chooses depends on the kind. */
void faults_add(faults_t *f, fault_kind_t kind, uint32_t arg, uint32_t ms);
/** Lets time pass, ending faults as they are due. */
void faults_run(faults_t *f, uint32_t ms);
/** Ends every fault. */
void faults_clear(faults_t *f);
const char *fault_name(uint32_t kind);

#endif
