/**
 * @file command.c
 * @brief HTTP routes of the commands.
 */
#include <string.h>

#include "fireflyledge/command.h"
#include "fireflyledge/types.h"

static const ffl_route_t routes[FFL_CMD__MAX] = {
	[FFL_CMD_INTENT] = { "intent", "POST", "/v1/intents", "",
			     FFL_ROLE_OPERATOR },
	[FFL_CMD_PLAN] = { "plan", "GET", "/v1/plans/", "", FFL_ROLE_OPERATOR },
	[FFL_CMD_CONFIRM] = { "confirm", "POST", "/v1/plans/", "/confirm",
			      FFL_ROLE_OPERATOR },
	[FFL_CMD_CONFIG] = { "config", "GET", "/v1/config", "",
			     FFL_ROLE_OPERATOR },
	[FFL_CMD_HISTORY] = { "history", "GET", "/v1/history", "",
			      FFL_ROLE_OPERATOR },
	[FFL_CMD_WHY] = { "why", "GET", "/v1/why/", "", FFL_ROLE_OPERATOR },
	[FFL_CMD_STATUS] = { "status", "GET", "/v1/status", "",
			     FFL_ROLE_OPERATOR },
	[FFL_CMD_HOSTS] = { "hosts", "GET", "/v1/hosts", "",
			    FFL_ROLE_OPERATOR },
	[FFL_CMD_JOBS] = { "jobs", "GET", "/v1/jobs", "", FFL_ROLE_CALLER },
	[FFL_CMD_SUBMIT] = { "submit", "POST", "/v1/jobs", "",
			     FFL_ROLE_CALLER },
	[FFL_CMD_JOB] = { "job", "GET", "/v1/jobs/", "", FFL_ROLE_CALLER },
	[FFL_CMD_JOB_WHY] = { "job-why", "GET", "/v1/jobs/", "/why",
			      FFL_ROLE_CALLER },
	[FFL_CMD_CANCEL] = { "cancel", "DELETE", "/v1/jobs/", "",
			     FFL_ROLE_CALLER },
};

static int match_route(const ffl_route_t *r, const char *method,
		       const char *path, char *arg, uint32_t arg_bytes);

const ffl_route_t *ffl_command_route(ffl_command_t command)
{
	return command < FFL_CMD__MAX ? &routes[command] : NULL;
}

/* Returns 1 and sets the argument if the route matches, 0 otherwise. Only a
 * route whose prefix ends with a slash has an argument. */
static int match_route(const ffl_route_t *r, const char *method,
		       const char *path, char *arg, uint32_t arg_bytes)
{
	size_t prefix = strlen(r->prefix);
	size_t suffix = strlen(r->suffix);
	size_t len = strlen(path);
	size_t arg_len;

	if (strcmp(method, r->method) != 0 ||
	    strncmp(path, r->prefix, prefix) != 0 || len < prefix + suffix)
		return 0;
	if (strcmp(path + len - suffix, r->suffix) != 0)
		return 0;
	arg_len = len - prefix - suffix;
	if ((r->prefix[prefix - 1] == '/') != (arg_len > 0))
		return 0;
	if (arg_len >= arg_bytes || memchr(path + prefix, '/', arg_len))
		return 0;
	memcpy(arg, path + prefix, arg_len);
	arg[arg_len] = '\0';
	return 1;
}

ffl_command_t ffl_command_match(const char *method, const char *path, char *arg,
				uint32_t arg_bytes)
{
	for (uint32_t i = 0; i < FFL_CMD__MAX; i++) {
		if (match_route(&routes[i], method, path, arg, arg_bytes))
			return (ffl_command_t)i;
	}
	return FFL_CMD__MAX;
}
