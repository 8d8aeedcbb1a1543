/**
 * @file event.c
 * @brief Names of events and upstream outcomes.
 */
#include "fireflyledge/event.h"

static const char *const kind_names[FFL_EV__MAX] = {
	[FFL_EV_TICK] = "tick",
	[FFL_EV_LOG_READ] = "log-read",
	[FFL_EV_LOG_APPENDED] = "log-appended",
	[FFL_EV_HOST_LIST] = "host-list",
	[FFL_EV_WORKER_REPLY] = "worker-reply",
	[FFL_EV_PEER] = "peer",
	[FFL_EV_COMMAND] = "command",
	[FFL_EV_REQUEST] = "request",
	[FFL_EV_REQUEST_GONE] = "request-gone",
	[FFL_EV_UPSTREAM_DONE] = "upstream-done",
	[FFL_EV_STOP] = "stop",
	[FFL_EV_SETTINGS] = "settings",
};

static const char *const outcome_names[FFL_UP__MAX] = {
	[FFL_UP_OK] = "ok",	      [FFL_UP_NOT_SENT] = "not-sent",
	[FFL_UP_REFUSED] = "refused", [FFL_UP_BROKEN] = "broken",
	[FFL_UP_TIMEOUT] = "timeout", [FFL_UP_CANCELLED] = "cancelled",
};

const char *ffl_event_kind_name(uint32_t kind)
{
	return kind < FFL_EV__MAX ? kind_names[kind] : "?";
}

const char *ffl_up_outcome_name(uint32_t outcome)
{
	return outcome < FFL_UP__MAX ? outcome_names[outcome] : "?";
}
