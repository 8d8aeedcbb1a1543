/**
 * @file command.h
 * @brief Table of the HTTP commands of operators and callers.
 */
#ifndef FFL_COMMAND_H
#define FFL_COMMAND_H

#include <stdint.h>

/** A command; each has one HTTP route. */
typedef enum {
	FFL_CMD_INTENT,	 /**< POST /v1/intents */
	FFL_CMD_PLAN,	 /**< GET /v1/plans/ID */
	FFL_CMD_CONFIRM, /**< POST /v1/plans/ID/confirm */
	FFL_CMD_CONFIG,	 /**< GET /v1/config */
	FFL_CMD_HISTORY, /**< GET /v1/history */
	FFL_CMD_WHY,	 /**< GET /v1/why/SUBJECT */
	FFL_CMD_STATUS,	 /**< GET /v1/status */
	FFL_CMD_HOSTS,	 /**< GET /v1/hosts */
	FFL_CMD_JOBS,	 /**< GET /v1/jobs */
	FFL_CMD_SUBMIT,	 /**< POST /v1/jobs */
	FFL_CMD_JOB,	 /**< GET /v1/jobs/ID */
	FFL_CMD_JOB_WHY, /**< GET /v1/jobs/ID/why */
	FFL_CMD_CANCEL,	 /**< DELETE /v1/jobs/ID */
	FFL_CMD__MAX
} ffl_command_t;

/** Role that a command requires. */
typedef enum {
	FFL_ROLE_OPERATOR,
	FFL_ROLE_CALLER, /**< a customer; only for its own objects */
	FFL_ROLE__MAX
} ffl_role_t;

/** HTTP route of a command: method and path prefix, argument, suffix. */
typedef struct {
	const char *name; /**< stable name of the command */
	const char *method;
	const char *prefix; /**< path before the argument */
	const char *suffix; /**< path after the argument, or "" */
	ffl_role_t role;
} ffl_route_t;

/** Returns the route of a command; NULL if out of range. */
const ffl_route_t *ffl_command_route(ffl_command_t command);

/**
 * Finds the command for a method and path. An argument is one path segment and
 * not empty.
 *
 * @param arg       set to the argument in the path, or ""
 * @param arg_bytes size of @p arg; a longer argument does not match
 * @return the command, or FFL_CMD__MAX if no route matches
 */
ffl_command_t ffl_command_match(const char *method, const char *path, char *arg,
				uint32_t arg_bytes);

#endif
