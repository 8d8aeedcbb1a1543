/**
 * @file cli.h
 * @brief The operators' and callers' command line.
 */
#ifndef FFL_CLI_H
#define FFL_CLI_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/** Longest URL and token, in bytes with the terminator. */
#define CLI_TEXT_BYTES 256
/** Longest path of a route. */
#define CLI_PATH_BYTES 512

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
	char operators[CLI_TEXT_BYTES]; /**< URL of an operators' address */
	char callers[CLI_TEXT_BYTES];	/**< URL of a callers' address */
	char token[CLI_TEXT_BYTES];
	bool json;
} cli_t;

/** A call and its answer. */
typedef struct {
	long http_status;
	char *body;
	size_t size_bytes;
} cli_reply_t;

/** What a call sends. */
typedef struct {
	const char *base;
	const char *method;
	const char *path;
	const char *body; /**< or NULL */
	size_t body_bytes;
	const char *content_type;
	const char *const *headers; /**< "Name: value" lines up to NULL */
} cli_send_t;

/** Type of an option's value. */
typedef enum {
	CLI_OPT_TEXT,
	CLI_OPT_NUMBER,
	CLI_OPT_TOKEN, /**< sent as its hash */
	CLI_OPT_FLAG,
	CLI_OPT_PATH,  /**< positional, part of the route's path */
	CLI_OPT_ARG,   /**< positional, a field */
	CLI_OPT_PAIRS, /**< positional FIELD=VALUE, any number */
	CLI_OPT__MAX
} cli_opt_type_t;

/** One option or argument of a subcommand. */
typedef struct {
	const char *name;  /**< long option, or name of an argument */
	const char *field; /**< of the JSON body */
	cli_opt_type_t type;
	bool required;
	const char *text;
} cli_opt_t;

typedef struct cli_subcommand cli_subcommand_t;

/** Runs a subcommand with its parsed options. */
typedef cli_exit_t (*cli_run_t)(const cli_t *cli, const cli_subcommand_t *sub,
				const char *path, json_t *body);

/** A subcommand. */
struct cli_subcommand {
	const char *group;
	const char *name;
	const char *text;
	cli_run_t run;
	const char *method;
	const char *path; /**< with %s for its path argument */
	const char *kind; /**< of an intent, or NULL */
	const cli_opt_t *opts;
	uint32_t opt_count;
};

/** Fills in the defaults, a file and the environment, in this order. */
cli_exit_t cli_config(cli_t *cli, const char *path);

/** Finds a subcommand, or NULL. */
const cli_subcommand_t *cli_find(const char *name);
/** Lists every subcommand. */
void cli_usage(FILE *out);
/** Parses the arguments of a subcommand and runs it. */
cli_exit_t cli_dispatch(cli_t *cli, const cli_subcommand_t *sub, int argc,
			char **argv);

/**
 * Calls a route.
 *
 * @return CLI_OK, CLI_REFUSED, CLI_UNREACHABLE or CLI_UNKNOWN
 */
cli_exit_t cli_call(const cli_t *cli, const cli_send_t *send,
		    cli_reply_t *reply);

/** Calls a route with a JSON body and prints the answer. */
cli_exit_t cli_show(const cli_t *cli, const char *base, const char *method,
		    const char *path, const json_t *body);

/** Prints an answer: as it is with --json, aligned for people otherwise. */
void cli_print(const cli_t *cli, const cli_reply_t *reply);

/** Subcommands that do more than one call of a route. */
cli_exit_t cli_run_route(const cli_t *cli, const cli_subcommand_t *sub,
			 const char *path, json_t *body);
cli_exit_t cli_run_request(const cli_t *cli, const cli_subcommand_t *sub,
			   const char *path, json_t *body);
cli_exit_t cli_run_top(const cli_t *cli, const cli_subcommand_t *sub,
		       const char *path, json_t *body);
cli_exit_t cli_run_token_hash(const cli_t *cli, const cli_subcommand_t *sub,
			      const char *path, json_t *body);
cli_exit_t cli_run_explain(const cli_t *cli, const cli_subcommand_t *sub,
			   const char *path, json_t *body);
cli_exit_t cli_run_check_config(const cli_t *cli, const cli_subcommand_t *sub,
				const char *path, json_t *body);

#endif
