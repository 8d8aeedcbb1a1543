#include <string.h>

#include "cli/cli.h"

#define OPERATORS "operators"
#define CALLERS	  "callers"
#define LOCAL	  "local"

#define REASON                                                    \
	{                                                         \
		"reason", "reason", CLI_OPT_TEXT, true,           \
			"reason, kept in the history permanently" \
	}
#define REMOVE                                                    \
	{                                                         \
		"remove", "remove", CLI_OPT_FLAG, false, "end it" \
	}
#define ROUTE(group, name, help, method, path, opts)                        \
	{                                                                   \
		group, name, help, cli_run_route, method, path, NULL, opts, \
			sizeof(opts) / sizeof((opts)[0])                    \
	}
#define GET(group, name, help, path)                                         \
	{                                                                    \
		group, name, help, cli_run_route, "GET", path, NULL, NULL, 0 \
	}
#define INTENT(kind, help, opts)                                             \
	{                                                                    \
		OPERATORS, kind, help, cli_run_route, "POST", "/v1/intents", \
			kind, opts, sizeof(opts) / sizeof((opts)[0])         \
	}
#define CUSTOM(group, name, help, run, path, opts)            \
	{                                                     \
		group, name, help, run, "", path, NULL, opts, \
			sizeof(opts) / sizeof((opts)[0])      \
	}

static const cli_opt_t guarantee_opts[] = {
	{ "CUSTOMER", "name", CLI_OPT_ARG, true, "whose guarantee" },
	{ "dc", "dc", CLI_OPT_TEXT, true, "data centre" },
	{ "count", "count", CLI_OPT_NUMBER, true,
	  "number of shapes; 0 ends it" },
	{ "accelerators", "accelerators", CLI_OPT_NUMBER, true,
	  "accelerators of one shape" },
	{ "adjacency", "adjacency", CLI_OPT_TEXT, false,
	  "worker, rack or dc (worker)" },
	REASON,
};

static const cli_opt_t order_opts[] = {
	{ "ORDER", "order", CLI_OPT_ARG, true,
	  "kinds of work, the first to be preempted first, with commas" },
	{ "dc", "dc", CLI_OPT_TEXT, false, "data centre (all)" },
	REASON,
};

static const cli_opt_t host_opts[] = {
	{ "HOST", "name", CLI_OPT_ARG, true, "worker or upstream" },
	REASON,
};

static const cli_opt_t customer_opts[] = {
	{ "NAME", "name", CLI_OPT_ARG, true, "name of the customer" },
	{ "customer-token", "token_hash", CLI_OPT_TOKEN, false,
	  "token of its callers; only its hash is sent" },
	{ "weight", "weight", CLI_OPT_NUMBER, false,
	  "share of what is above the guarantees (1)" },
	{ "quota", "quota_accelerators", CLI_OPT_NUMBER, false,
	  "most accelerators; 0 is no limit" },
	REMOVE,
	REASON,
};

static const cli_opt_t operator_opts[] = {
	{ "NAME", "name", CLI_OPT_ARG, true, "name of the operator" },
	{ "operator-token", "token_hash", CLI_OPT_TOKEN, false,
	  "token of the operator; only its hash is sent" },
	REMOVE,
	REASON,
};

static const cli_opt_t limit_opts[] = {
	{ "CUSTOMER", "name", CLI_OPT_ARG, true, "whose requests" },
	{ "rate", "rate_per_s", CLI_OPT_NUMBER, false, "requests a second" },
	{ "burst", "burst", CLI_OPT_NUMBER, false, "requests at once" },
	{ "concurrent", "concurrent", CLI_OPT_NUMBER, false,
	  "requests open together" },
	REASON,
};

static const cli_opt_t withdraw_opts[] = {
	{ "revision", "revision", CLI_OPT_NUMBER, true,
	  "revision of the change that ends" },
	REASON,
};

static const cli_opt_t intent_opts[] = {
	{ "KIND", "kind", CLI_OPT_ARG, true, "kind of the intent" },
	{ "FIELD=VALUE", NULL, CLI_OPT_PAIRS, true, "fields as in the API" },
};

static const cli_opt_t plan_opts[] = {
	{ "ID", NULL, CLI_OPT_PATH, true, "number of the plan" },
};

static const cli_opt_t confirm_opts[] = {
	{ "ID", NULL, CLI_OPT_PATH, true, "number of the plan" },
	{ "REVISION", "revision", CLI_OPT_ARG, true,
	  "revision that the plan was computed at" },
	{ "blast-radius", "blast_radius", CLI_OPT_NUMBER, false,
	  "repeats what the plan's first finding says" },
};

static const cli_opt_t subject_opts[] = {
	{ "SUBJECT", NULL, CLI_OPT_PATH, true, "customer, host or job" },
};

static const cli_opt_t submit_opts[] = {
	{ "FIELD=VALUE", NULL, CLI_OPT_PAIRS, true,
	  "name, accelerators, adjacency, urgency, payload, ..." },
};

static const cli_opt_t job_opts[] = {
	{ "ID", NULL, CLI_OPT_PATH, true, "number of the job" },
};

static const cli_opt_t request_opts[] = {
	{ "PATH", NULL, CLI_OPT_PATH, true, "target, such as /readings" },
	{ "method", "method", CLI_OPT_TEXT, false, "method (GET, or POST)" },
	{ "data", "data", CLI_OPT_TEXT, false, "body, or @FILE" },
	{ "key", "key", CLI_OPT_TEXT, false,
	  "idempotency key: the same key never runs twice" },
	{ "urgency", "urgency", CLI_OPT_TEXT, false, "urgent, normal, batch" },
	{ "timeout-ms", "timeout_ms", CLI_OPT_NUMBER, false, "deadline" },
	{ "caller", "caller", CLI_OPT_TEXT, false,
	  "caller, for fair queueing" },
};

static const cli_opt_t hash_opts[] = {
	{ "TOKEN", "token", CLI_OPT_ARG, true, "token" },
};

static const cli_opt_t file_opts[] = {
	{ "FILE", "file", CLI_OPT_ARG, true, "settings file" },
};

static const cli_opt_t explain_opts[] = {
	{ "JOB", "job", CLI_OPT_ARG, true, "id of the job" },
	{ "log", "log", CLI_OPT_TEXT, false,
	  "file with lines of any hosts (standard input)" },
};

static const cli_opt_t where_opts[] = {
	{ "PATH", "path", CLI_OPT_ARG, true,
	  "path of the request, with an id" },
	{ "at", "at", CLI_OPT_TEXT, true,
	  "HOST:PORT of a host's metrics; only the leader knows all" },
	{ "host", "host", CLI_OPT_TEXT, true, "host name of the request" },
	{ "key", "key", CLI_OPT_TEXT, false, "the caller's API key" },
	{ "body", "file", CLI_OPT_TEXT, false, "file with the job" },
};

static const cli_subcommand_t subcommands[] = {
	INTENT("guarantee", "guarantee shapes to a customer", guarantee_opts),
	INTENT("order", "set the order in which work is preempted", order_opts),
	INTENT("drain", "stop giving new work to a host", host_opts),
	INTENT("undrain", "resume giving work to a host", host_opts),
	INTENT("customer", "add or change a customer", customer_opts),
	INTENT("operator", "add or change an operator", operator_opts),
	INTENT("limit", "limit a customer's requests", limit_opts),
	INTENT("withdraw", "end a change that was confirmed", withdraw_opts),
	ROUTE(OPERATORS, "intent", "submit any intent by its fields", "POST",
	      "/v1/intents", intent_opts),
	ROUTE(OPERATORS, "plan", "show a plan; also: plan show ID", "GET",
	      "/v1/plans/%s", plan_opts),
	ROUTE(OPERATORS, "confirm", "confirm a plan", "POST",
	      "/v1/plans/%s/confirm", confirm_opts),
	GET(OPERATORS, "config", "show what is in force", "/v1/config"),
	GET(OPERATORS, "history", "show each change, by whom and why",
	    "/v1/history"),
	ROUTE(OPERATORS, "why", "show which changes decide about a subject",
	      "GET", "/v1/why/%s", subject_opts),
	GET(OPERATORS, "status", "show members, cells and the log",
	    "/v1/status"),
	GET(OPERATORS, "hosts", "show workers and upstreams", "/v1/hosts"),
	{ OPERATORS, "top", "show the counters of one entry host", cli_run_top,
	  "GET", "/metrics", NULL, NULL, 0 },
	CUSTOM(OPERATORS, "where",
	       "show where a job would go now, without sending it",
	       cli_run_where, "", where_opts),
	GET(CALLERS, "jobs", "show open jobs", "/v1/jobs"),
	ROUTE(CALLERS, "submit", "submit a job", "POST", "/v1/jobs",
	      submit_opts),
	ROUTE(CALLERS, "job", "show a job", "GET", "/v1/jobs/%s", job_opts),
	ROUTE(CALLERS, "job-why", "show why a job waits", "GET",
	      "/v1/jobs/%s/why", job_opts),
	ROUTE(CALLERS, "cancel", "cancel a job", "DELETE", "/v1/jobs/%s",
	      job_opts),
	CUSTOM(CALLERS, "request", "send a request to an upstream",
	       cli_run_request, "%s", request_opts),
	CUSTOM(LOCAL, "token-hash", "print the hash of a token",
	       cli_run_token_hash, "", hash_opts),
	CUSTOM(LOCAL, "check-config", "check a settings file",
	       cli_run_check_config, "", file_opts),
	CUSTOM(LOCAL, "explain",
	       "show the events of a job from the hosts' logs", cli_run_explain,
	       "", explain_opts),
};

const cli_subcommand_t *cli_find_subcommand(const char *name)
{
	for (size_t i = 0; i < sizeof(subcommands) / sizeof(subcommands[0]);
	     i++) {
		if (strcmp(subcommands[i].name, name) == 0)
			return &subcommands[i];
	}
	return NULL;
}

void cli_print_usage(FILE *out)
{
	const char *group = "";

	fputs("Usage: ffl [--json] [--config FILE] [--operators URL] "
	      "[--callers URL]\n           [--token TOKEN] COMMAND "
	      "[ARGUMENT...]\n\nEach command has --help.\n",
	      out);
	for (size_t i = 0; i < sizeof(subcommands) / sizeof(subcommands[0]);
	     i++) {
		if (strcmp(group, subcommands[i].group) != 0)
			fprintf(out, "\n%s:\n", subcommands[i].group);
		group = subcommands[i].group;
		fprintf(out, "  %-13s %s\n", subcommands[i].name,
			subcommands[i].help);
	}
	fputs("\nExit status: 0 done, 1 refused, 2 wrong usage, 3 settings "
	      "with findings,\n4 unreachable, 5 outcome unknown.\n",
	      out);
}
