/**
 * @file worker.h
 * @brief Commands to workers, their replies, and the list of hosts.
 */
#ifndef FFL_WORKER_H
#define FFL_WORKER_H

#include "fireflyledge/schema.h"
#include "fireflyledge/record.h"

/** Kind of a command from a cell's leader to a worker. */
typedef enum {
	FFL_WCMD_RENEW,	     /**< renews the leases of running tasks; reports */
	FFL_WCMD_HOLD,	     /**< reserves slots until the lease ends */
	FFL_WCMD_START,	     /**< starts a task in the slots reserved for it */
	FFL_WCMD_STOP,	     /**< stops a task or frees its reserved slots */
	FFL_WCMD_CHECKPOINT, /**< checkpoints a task, then stops it */
	FFL_WCMD_THROTTLE,   /**< reduces a task's speed */
	FFL_WCMD_KEEP,	     /**< renews one task while the leader is silent */
	FFL_WCMD__MAX
} ffl_wcmd_t;

/** State of a task on a worker. */
typedef enum {
	FFL_TASK_HELD, /**< slots reserved, not started */
	FFL_TASK_RUNNING,
	FFL_TASK_DONE,
	FFL_TASK_FAILED,
	FFL_TASK_STOPPED,
	FFL_TASK__MAX
} ffl_task_state_t;

/**
 * A command to a worker. A worker rejects it if it has seen a later epoch
 * (fencing), and ignores it after not_after_ms or if boot names another run of
 * the worker process.
 */
typedef struct {
	ffl_wcmd_t cmd;
	uint64_t epoch; /**< of the leader that sends it */
	uint64_t job;
	uint64_t incarnation; /**< run of the job */
	uint32_t rank;	      /**< of the task in its gang */
	uint32_t members;     /**< tasks of the gang */
	uint64_t slots;	      /**< mask of accelerator slots */
	uint32_t lease_ms;
	uint64_t progress_ms; /**< progress of the checkpoint to resume from */
	char payload[FFL_PAYLOAD_BYTES];
	uint64_t since;	       /**< report version that the leader has */
	uint64_t boot;	       /**< boot number of the worker; 0: any */
	uint64_t not_after_ms; /**< by the worker's clock; 0: no limit */
} ffl_worker_cmd_t;

/** A task in a worker's report; see ffl_worker_cmd_t. */
typedef struct {
	uint64_t job;
	uint64_t incarnation;
	uint32_t rank;
	uint32_t members;
	uint64_t slots; /**< mask of accelerator slots */
	ffl_task_state_t state;
	uint64_t progress_ms;	/**< run time done */
	uint64_t checkpoint_ms; /**< progress of the last checkpoint */
	char result[FFL_PAYLOAD_BYTES];
} ffl_task_report_t;

/** Reply to a command: the tasks that changed since the given version. */
typedef struct {
	ffl_status_t status;
	uint64_t epoch;	    /**< highest epoch that the worker has seen */
	uint64_t boot;	    /**< increases with each restart of the worker */
	ffl_list_t tasks;   /**< of ffl_task_report_t */
	uint64_t since;	    /**< base version of the changes; 0: all tasks */
	uint64_t version;   /**< of the report; increases with each change */
	uint64_t clock_ms;  /**< worker's monotonic clock */
	uint64_t silent_ms; /**< since the leader's last command */
} ffl_worker_reply_t;

/** Kind of a host. */
typedef enum {
	FFL_HOST_WORKER,
	FFL_HOST_UPSTREAM,
	FFL_HOST_ENTRY,
	FFL_HOST__MAX
} ffl_host_kind_t;

/** A host in the platform's list, which may lag behind. */
typedef struct {
	ffl_name_t name;
	ffl_host_kind_t kind;
	ffl_name_t dc;
	ffl_name_t region;
	uint32_t rack;
	uint32_t position; /**< in the rack; neighbours differ by 1 */
	uint32_t cores;
	uint32_t memory_mb;
	uint32_t accelerators; /**< accelerator slots of a worker */
	uint32_t slots;	       /**< concurrent requests of an upstream */
	uint32_t connections;  /**< concurrent connections of an upstream */
	bool leaving;	       /**< takes no new work */
	char addr[FFL_ADDR_BYTES];
} ffl_host_info_t;

/** A host that was removed from the list. */
typedef struct {
	ffl_name_t name;
} ffl_host_gone_t;

/** The platform's list of hosts, or its changes since a version. */
typedef struct {
	ffl_list_t hosts; /**< of ffl_host_info_t, sorted by name */
	uint64_t seed;	  /**< identifies the source of the versions */
	uint64_t version; /**< increases with each change */
	bool delta;	  /**< only the changes since the requested version */
	ffl_list_t gone;  /**< of ffl_host_gone_t; only if delta */
} ffl_host_list_t;

extern const ffl_schema_t ffl_worker_cmd_schema;
extern const ffl_schema_t ffl_task_report_schema;
extern const ffl_schema_t ffl_worker_reply_schema;
extern const ffl_schema_t ffl_host_info_schema;
extern const ffl_schema_t ffl_host_list_schema;

/** Return the name of an enum's value; "?" if out of range. */
const char *ffl_wcmd_name(uint32_t cmd);
const char *ffl_task_state_name(uint32_t state);
const char *ffl_host_kind_name(uint32_t kind);

#endif
