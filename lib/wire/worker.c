/**
 * @file worker.c
 * @brief Schemas of workers' commands and replies and the host list.
 */
#include "fireflyledge/worker.h"
#include "lib/wire/fields.h"

/** Most tasks in a report, and hosts in a list. */
#define TASKS_MAX 256
#define HOSTS_MAX 8192

static const char *const wcmd_names[FFL_WCMD__MAX] = {
	[FFL_WCMD_RENEW] = "renew",
	[FFL_WCMD_HOLD] = "hold",
	[FFL_WCMD_START] = "start",
	[FFL_WCMD_STOP] = "stop",
	[FFL_WCMD_CHECKPOINT] = "checkpoint",
	[FFL_WCMD_THROTTLE] = "throttle",
	[FFL_WCMD_KEEP] = "keep",
};

static const char *const task_state_names[FFL_TASK__MAX] = {
	[FFL_TASK_HELD] = "held",	[FFL_TASK_RUNNING] = "running",
	[FFL_TASK_DONE] = "done",	[FFL_TASK_FAILED] = "failed",
	[FFL_TASK_STOPPED] = "stopped",
};

static const char *const host_kind_names[FFL_HOST__MAX] = {
	[FFL_HOST_WORKER] = "worker",
	[FFL_HOST_UPSTREAM] = "upstream",
	[FFL_HOST_ENTRY] = "entry",
};

static const ffl_field_t cmd_fields[] = {
	FIELD_ENUM(ffl_worker_cmd_t, cmd, FFL_WCMD__MAX, ffl_wcmd_name),
	FIELD_U64(ffl_worker_cmd_t, epoch),
	FIELD_U64(ffl_worker_cmd_t, job),
	FIELD_U64(ffl_worker_cmd_t, incarnation),
	FIELD_U32(ffl_worker_cmd_t, rank, 0),
	FIELD_U32(ffl_worker_cmd_t, members, FFL_GANG_MAX),
	FIELD_U64(ffl_worker_cmd_t, slots),
	FIELD_U32(ffl_worker_cmd_t, lease_ms, 0),
	FIELD_U64(ffl_worker_cmd_t, progress_ms),
	FIELD_TEXT(ffl_worker_cmd_t, payload),
	FIELD_U64(ffl_worker_cmd_t, since),
	FIELD_U64(ffl_worker_cmd_t, boot),
	FIELD_U64(ffl_worker_cmd_t, not_after_ms),
};

static const ffl_field_t task_fields[] = {
	FIELD_U64(ffl_task_report_t, job),
	FIELD_U64(ffl_task_report_t, incarnation),
	FIELD_U32(ffl_task_report_t, rank, 0),
	FIELD_U32(ffl_task_report_t, members, FFL_GANG_MAX),
	FIELD_U64(ffl_task_report_t, slots),
	FIELD_ENUM(ffl_task_report_t, state, FFL_TASK__MAX,
		   ffl_task_state_name),
	FIELD_U64(ffl_task_report_t, progress_ms),
	FIELD_U64(ffl_task_report_t, checkpoint_ms),
	FIELD_TEXT(ffl_task_report_t, result),
};

const ffl_schema_t ffl_task_report_schema =
	SCHEMA(ffl_task_report_t, task_fields);

static const ffl_field_t reply_fields[] = {
	FIELD_ENUM(ffl_worker_reply_t, status, FFL_STATUS__MAX,
		   ffl_field_status_name),
	FIELD_U64(ffl_worker_reply_t, epoch),
	FIELD_U64(ffl_worker_reply_t, boot),
	FIELD_LIST(ffl_worker_reply_t, tasks, TASKS_MAX,
		   &ffl_task_report_schema),
	FIELD_U64(ffl_worker_reply_t, since),
	FIELD_U64(ffl_worker_reply_t, version),
	FIELD_U64(ffl_worker_reply_t, clock_ms),
	FIELD_U64(ffl_worker_reply_t, silent_ms),
};

static const ffl_field_t host_fields[] = {
	FIELD_TEXT(ffl_host_info_t, name),
	FIELD_ENUM(ffl_host_info_t, kind, FFL_HOST__MAX, ffl_host_kind_name),
	FIELD_TEXT(ffl_host_info_t, dc),
	FIELD_TEXT(ffl_host_info_t, region),
	FIELD_U32(ffl_host_info_t, rack, 0),
	FIELD_U32(ffl_host_info_t, position, 0),
	FIELD_U32(ffl_host_info_t, cores, 0),
	FIELD_U32(ffl_host_info_t, memory_mb, 0),
	FIELD_U32(ffl_host_info_t, accelerators, FFL_WORKER_SLOTS_MAX),
	FIELD_U32(ffl_host_info_t, slots, 0),
	FIELD_U32(ffl_host_info_t, connections, 0),
	FIELD_BOOL(ffl_host_info_t, leaving),
	FIELD_TEXT(ffl_host_info_t, addr),
};

const ffl_schema_t ffl_worker_cmd_schema = SCHEMA(ffl_worker_cmd_t, cmd_fields);
const ffl_schema_t ffl_worker_reply_schema =
	SCHEMA(ffl_worker_reply_t, reply_fields);
const ffl_schema_t ffl_host_info_schema = SCHEMA(ffl_host_info_t, host_fields);

static const ffl_field_t gone_fields[] = {
	FIELD_TEXT(ffl_host_gone_t, name),
};

static const ffl_schema_t gone_schema = SCHEMA(ffl_host_gone_t, gone_fields);

static const ffl_field_t host_list_fields[] = {
	FIELD_LIST(ffl_host_list_t, hosts, HOSTS_MAX, &ffl_host_info_schema),
	FIELD_U64(ffl_host_list_t, seed),
	FIELD_U64(ffl_host_list_t, version),
	FIELD_BOOL(ffl_host_list_t, delta),
	FIELD_LIST(ffl_host_list_t, gone, HOSTS_MAX, &gone_schema),
};

const ffl_schema_t ffl_host_list_schema =
	SCHEMA(ffl_host_list_t, host_list_fields);

const char *ffl_wcmd_name(uint32_t cmd)
{
	return cmd < FFL_WCMD__MAX ? wcmd_names[cmd] : "?";
}

const char *ffl_task_state_name(uint32_t state)
{
	return state < FFL_TASK__MAX ? task_state_names[state] : "?";
}

const char *ffl_host_kind_name(uint32_t kind)
{
	return kind < FFL_HOST__MAX ? host_kind_names[kind] : "?";
}
