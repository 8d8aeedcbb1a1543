/**
 * @file cli.h
 * @brief The operators' and callers' command line.
 */
#ifndef FFL_CLI_H
#define FFL_CLI_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/** Exit codes. */
typedef enum {
	CLI_OK = 0,
	CLI_REFUSED = 1, /**< the server refused; nothing was done */
	CLI_USAGE = 2,
	CLI_CONFIG = 3,	     /**< a settings file has findings */
	CLI_UNREACHABLE = 4, /**< no answer */
	CLI_UNKNOWN = 5,     /**< the outcome is unknown */
} cli_exit_t;

/** Where and how to call. */
typedef struct {
	const char *operators; /**< URL of an operators' address */
	const char *callers;   /**< URL of a callers' address */
	const char *token;
	bool json;
} cli_t;

/** A call and its answer. */
typedef struct {
	long http_status;
	char *body;
	size_t size_bytes;
} cli_reply_t;

/**
 * Calls a route.
 *
 * @param body JSON to send, or NULL
 * @return CLI_OK, CLI_REFUSED, CLI_UNREACHABLE or CLI_UNKNOWN
 */
cli_exit_t cli_call(const cli_t *cli, const char *base, const char *method,
		    const char *path, const json_t *body, cli_reply_t *reply);

/** Prints an answer: as it is with --json, aligned for people otherwise. */
void cli_print(const cli_t *cli, const cli_reply_t *reply);

#endif
