/**
 * @file command.h
 * @brief Commands of operators and callers, one row of a table each.
 */
#ifndef FFL_COMMAND_H
#define FFL_COMMAND_H

#include <stdint.h>

/** A command, named by method and path of its HTTP route. */
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

/** Who may give a command. */
typedef enum {
	FFL_ROLE_OPERATOR,
	FFL_ROLE_CALLER, /**< a customer, for its own objects */
	FFL_ROLE__MAX
} ffl_role_t;

/** Route of a command. */
typedef struct {
	const char *name;
	const char *method;
	const char *prefix; /**< path before the argument */
	const char *suffix; /**< path after the argument, or "" */
	ffl_role_t role;
} ffl_route_t;

/** Returns the route of a command. */
const ffl_route_t *ffl_command_route(ffl_command_t command);

/**
 * Finds the command of a method and path.
 *
 * @param arg receives the argument in the path, "" where there is none
 * @return the command, or FFL_CMD__MAX
 */
ffl_command_t ffl_command_match(const char *method, const char *path, char *arg,
				uint32_t arg_bytes);

#endif
