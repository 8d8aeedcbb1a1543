#include <stdio.h>
#include <string.h>

#include "fireflyledge/order.h"

static const char *const kind_names[FFL_ORDER__MAX] = {
	[FFL_ORDER_RENEW] = "hold",    [FFL_ORDER_START] = "start",
	[FFL_ORDER_STOP] = "stop",     [FFL_ORDER_THROTTLE] = "pace",
	[FFL_ORDER_ADVISE] = "advise",
};

static const char *const outcome_names[FFL_REPLY__MAX] = {
	[FFL_REPLY_OK] = "ok",
	[FFL_REPLY_FENCED] = "fenced",
	[FFL_REPLY_STALE_RUN] = "old",
	[FFL_REPLY_LEASE_EXPIRED] = "late",
	[FFL_REPLY_NO_RESOURCES] = "room",
	[FFL_REPLY_BAD_TICKET] = "ticket",
	[FFL_REPLY_INVALID] = "invalid",
	[FFL_REPLY_UNHEALTHY] = "unhealthy",
	[FFL_REPLY_OTHER_INCARNATION] = "other-life",
	[FFL_REPLY_NOT_SENT] = "not-sent",
	[FFL_REPLY_UNKNOWN] = "unknown",
};

static const char *const end_names[FFL_RUN_END__MAX] = {
	[FFL_RUN_END_DONE] = "done",
	[FFL_RUN_END_FAILED] = "failed",
	[FFL_RUN_END_STOPPED] = "stopped",
	[FFL_RUN_END_LEASE_EXPIRED] = "lapsed",
	[FFL_RUN_END_GANG_BROKEN] = "broken",
	[FFL_RUN_END_GANG_INCOMPLETE] = "alone",
};

const char *ffl_order_kind_name(uint32_t kind)
{
	return kind < FFL_ORDER__MAX ? kind_names[kind] : "?";
}

const char *ffl_reply_outcome_name(uint32_t outcome)
{
	return outcome < FFL_REPLY__MAX ? outcome_names[outcome] : "?";
}

const char *ffl_run_end_name(uint32_t end)
{
	return end < FFL_RUN_END__MAX ? end_names[end] : "?";
}

void ffl_task_name(const ffl_flow_t *flow, uint32_t task,
		   char out[FFL_TASK_NAME_BYTES])
{
	uint32_t step = ffl_flow_step_of(flow, task);
	uint32_t each = flow->spec.tasks_per_occurrence;

	g_snprintf(out, FFL_TASK_NAME_BYTES, "%s.%u.%u.%u", flow->spec.id,
		   task / each, step,
		   task % each - flow->spec.steps[step].first_task);
}

ffl_flow_t *ffl_task_find(const ffl_flows_t *flows, const char *name,
			  uint32_t *task)
{
	char id[FFL_FLOW_ID_BYTES];
	const char *dot = strchr(name, '.');
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
	ffl_flow_t *flow;
	char rest;

	if (!dot || (size_t)(dot - name) >= sizeof(id))
		return NULL;
	memcpy(id, name, (size_t)(dot - name));
	id[dot - name] = '\0';
	if (sscanf(dot, ".%9u.%9u.%9u%c", &occurrence, &step, &index, &rest) !=
	    3)
		return NULL;
	flow = ffl_flows_find(flows, id);
	if (!flow || occurrence >= flow->spec.occurrences ||
	    step >= flow->spec.steps_count ||
	    index >= flow->spec.steps[step].tasks)
		return NULL;
	*task = ffl_flow_first_task(flow, occurrence, step) + index;
	return flow;
}
