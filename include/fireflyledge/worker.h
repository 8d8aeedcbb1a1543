/**
 * @file worker.h
 * @brief Commands to the platform's workers and their replies.
 */
#ifndef FFL_WORKER_H
#define FFL_WORKER_H

#include "fireflyledge/schema.h"
#include "fireflyledge/record.h"

/** What a cell's leader asks of a worker. */
typedef enum {
	FFL_WCMD_RENEW,	     /**< renews running tasks' leases; reports */
	FFL_WCMD_HOLD,	     /**< reserves slots; lapses by itself */
	FFL_WCMD_START,	     /**< starts the task in the slots held for it */
	FFL_WCMD_STOP,	     /**< stops a task or gives up its hold */
	FFL_WCMD_CHECKPOINT, /**< saves a task's progress, then stops it */
	FFL_WCMD_THROTTLE,   /**< slows a task down */
	FFL_WCMD_KEEP,	     /**< renews one task for a leader that is silent */
	FFL_WCMD__MAX
} ffl_wcmd_t;

/** State of a task on a worker. */
typedef enum {
	FFL_TASK_HELD,
	FFL_TASK_RUNNING,
	FFL_TASK_DONE,
	FFL_TASK_FAILED,
	FFL_TASK_STOPPED,
	FFL_TASK__MAX
} ffl_task_state_t;

/**
 * A command; a worker that has seen a later epoch refuses it, and one that
 * is past the command's time or in another life does nothing.
 */
typedef struct {
	ffl_wcmd_t cmd;
	uint64_t epoch;
	uint64_t job;
	uint64_t incarnation;
	uint32_t rank;
	uint32_t members;
	uint64_t slots; /**< mask of accelerator slots */
	uint32_t lease_ms;
	uint64_t progress_ms; /**< checkpoint to resume from */
	char payload[FFL_PAYLOAD_BYTES];
	uint64_t since;	       /**< report version that the sender holds */
	uint64_t boot;	       /**< life of the worker that is meant; 0 any */
	uint64_t not_after_ms; /**< on the worker's own clock; 0 any time */
} ffl_worker_cmd_t;

/** One task in a report. */
typedef struct {
	uint64_t job;
	uint64_t incarnation;
	uint32_t rank;
	uint32_t members;
	uint64_t slots;
	ffl_task_state_t state;
	uint64_t progress_ms;
	uint64_t checkpoint_ms; /**< progress that is safe */
	char result[FFL_PAYLOAD_BYTES];
} ffl_task_report_t;

/** Reply to a command, with the tasks that changed since its version. */
typedef struct {
	ffl_status_t status;
	uint64_t epoch;	    /**< highest epoch that the worker has seen */
	uint64_t boot;	    /**< number of this life of the worker */
	ffl_list_t tasks;   /**< of ffl_task_report_t */
	uint64_t since;	    /**< report version that the tasks start from */
	uint64_t version;   /**< of the report; grows with each change */
	uint64_t clock_ms;  /**< worker's monotonic clock */
	uint64_t silent_ms; /**< since the leader's last command */
} ffl_worker_reply_t;

/** Kind of a host in the platform's list. */
typedef enum {
	FFL_HOST_WORKER,
	FFL_HOST_UPSTREAM,
	FFL_HOST_ENTRY,
	FFL_HOST__MAX
} ffl_host_kind_t;

/** A host in the platform's lagging list. */
typedef struct {
	ffl_name_t name;
	ffl_host_kind_t kind;
	ffl_name_t dc;
	ffl_name_t region;
	uint32_t rack;
	uint32_t position; /**< place in the rack; neighbours differ by 1 */
	uint32_t cores;
	uint32_t memory_mb;
	uint32_t accelerators; /**< slots of a worker */
	uint32_t slots;	       /**< concurrent requests of an upstream */
	uint32_t connections;  /**< connections of an upstream */
	bool leaving;
	char addr[FFL_ADDR_BYTES];
} ffl_host_info_t;

/** A host that left the list. */
typedef struct {
	ffl_name_t name;
} ffl_host_gone_t;

/** The platform's list of hosts, or what changed in it since a version. */
typedef struct {
	ffl_list_t hosts; /**< of ffl_host_info_t, by name */
	uint64_t seed;	  /**< of the list's life; versions belong to it */
	uint64_t version; /**< grows with each change */
	bool delta;	 /**< holds only what changed since the version asked */
	ffl_list_t gone; /**< of ffl_host_gone_t; only in a delta */
} ffl_host_list_t;

extern const ffl_schema_t ffl_worker_cmd_schema;
extern const ffl_schema_t ffl_task_report_schema;
extern const ffl_schema_t ffl_worker_reply_schema;
extern const ffl_schema_t ffl_host_info_schema;
extern const ffl_schema_t ffl_host_list_schema;

const char *ffl_wcmd_name(uint32_t cmd);
const char *ffl_task_state_name(uint32_t state);
const char *ffl_host_kind_name(uint32_t kind);

#endif
