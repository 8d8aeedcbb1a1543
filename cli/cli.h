/**
 * @file cli.h
 * @brief The command-line client ffl, for operators and callers.
 */
#ifndef FFL_CLI_H
#define FFL_CLI_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/** Longest URL and longest token, with terminator. */
#define CLI_TEXT_BYTES 256
/** Longest path of a request, with terminator. */
#define CLI_PATH_BYTES 512

/** Exit codes of ffl, on which scripts rely. */
typedef enum {
	CLI_OK = 0,
	CLI_REFUSED = 1,     /**< error with a known outcome, or no match */
	CLI_USAGE = 2,	     /**< wrong options or arguments */
	CLI_CONFIG = 3,	     /**< a settings or log file was rejected */
	CLI_UNREACHABLE = 4, /**< could not connect: nothing was sent */
	CLI_UNKNOWN = 5,     /**< the request may have taken effect */
} cli_exit_t;

/** Settings of this run. */
typedef struct {
	char operators[CLI_TEXT_BYTES]; /**< URL of the operators' interface */
	char callers[CLI_TEXT_BYTES];	/**< URL of the callers' interface */
	char token[CLI_TEXT_BYTES];	/**< sent as a bearer token */
	bool json;			/**< print replies as JSON */
} cli_t;

/** Response to a request. */
typedef struct {
	long http_status; /**< 0 without a response */
	char *body;	  /**< NUL-terminated, to be freed; or NULL */
	size_t body_bytes;
} cli_reply_t;

/** A request. */
typedef struct {
	const char *base; /**< URL that @p path is appended to */
	const char *method;
	const char *path;
	const char *body; /**< NULL for none */
	size_t body_bytes;
	const char *content_type;
	const char *const *headers; /**< "Name: value" lines, ended by NULL */
} cli_request_t;

/** Type of an option or argument. */
typedef enum {
	CLI_OPT_TEXT,
	CLI_OPT_NUMBER,
	CLI_OPT_TOKEN, /**< of which only the hash is sent */
	CLI_OPT_FLAG,
	CLI_OPT_PATH,  /**< positional, inserted in the path */
	CLI_OPT_ARG,   /**< positional, sent as a field */
	CLI_OPT_PAIRS, /**< positional FIELD=VALUE, repeatable */
	CLI_OPT__MAX
} cli_opt_type_t;

/** One option or argument of a subcommand. */
typedef struct {
	const char *name;  /**< long option, or placeholder of an argument */
	const char *field; /**< of the JSON body that it sets, or NULL */
	cli_opt_type_t type;
	bool required;
	const char *help;
} cli_opt_t;

typedef struct cli_subcommand cli_subcommand_t;

/**
 * Runs a subcommand.
 *
 * @param path path of the route with its path argument inserted
 * @param body JSON object of the options and arguments
 */
typedef cli_exit_t (*cli_run_fn_t)(const cli_t *cli,
				   const cli_subcommand_t *sub,
				   const char *path, json_t *body);

/** A subcommand. */
struct cli_subcommand {
	const char *group; /**< heading in the usage */
	const char *name;
	const char *help;
	cli_run_fn_t run;
	const char *method;
	const char *path; /**< with %s for its path argument */
	const char *kind; /**< of the intent that it submits, or NULL */
	const cli_opt_t *opts;
	uint32_t opt_count;
};

/**
 * Loads the settings: defaults, overridden by a file, overridden by the
 * environment.
 *
 * @param path settings file, or NULL for none
 * @return CLI_OK, or CLI_CONFIG if the file cannot be read or parsed or has an
 * unknown key
 */
cli_exit_t cli_load_settings(cli_t *cli, const char *path);

/** Returns a subcommand by its name, or NULL. */
const cli_subcommand_t *cli_find_subcommand(const char *name);
/** Prints the usage with all subcommands. */
void cli_print_usage(FILE *out);
/** Parses the options and arguments of a subcommand and runs it. */
cli_exit_t cli_run_subcommand(cli_t *cli, const cli_subcommand_t *sub, int argc,
			      char **argv);

/**
 * Sends a request and waits for the response.
 *
 * @param reply receives the response; its body is to be freed, whatever is
 * returned
 * @return CLI_OK, CLI_REFUSED, CLI_UNREACHABLE or CLI_UNKNOWN
 */
cli_exit_t cli_call(const cli_t *cli, const cli_request_t *request,
		    cli_reply_t *reply);

/**
 * Sends a request and prints the response.
 *
 * @param body sent as JSON if @p method is POST, otherwise ignored
 */
cli_exit_t cli_call_and_print(const cli_t *cli, const char *base,
			      const char *method, const char *path,
			      const json_t *body);

/** Prints a response: unchanged with --json, otherwise as aligned text. */
void cli_print_reply(const cli_t *cli, const cli_reply_t *reply);

/* Functions that subcommands run; the parameters are those of cli_run_fn_t. */

/** Sends a request to the subcommand's route. */
cli_exit_t cli_run_route(const cli_t *cli, const cli_subcommand_t *sub,
			 const char *path, json_t *body);
/** Sends a request to an upstream. */
cli_exit_t cli_run_request(const cli_t *cli, const cli_subcommand_t *sub,
			   const char *path, json_t *body);
/** Shows the counters of one entry host. */
cli_exit_t cli_run_top(const cli_t *cli, const cli_subcommand_t *sub,
		       const char *path, json_t *body);
/** Prints the hash of a token. */
cli_exit_t cli_run_token_hash(const cli_t *cli, const cli_subcommand_t *sub,
			      const char *path, json_t *body);
/** Prints the log lines that concern a job, in the order of time. */
cli_exit_t cli_run_explain(const cli_t *cli, const cli_subcommand_t *sub,
			   const char *path, json_t *body);
/** Prints where a job would go, as a host of ffl-jobd tells. */
cli_exit_t cli_run_where(const cli_t *cli, const cli_subcommand_t *sub,
			 const char *path, json_t *body);
/** Prints the findings on a settings file of fireflyledged. */
cli_exit_t cli_run_check_config(const cli_t *cli, const cli_subcommand_t *sub,
				const char *path, json_t *body);

#endif
