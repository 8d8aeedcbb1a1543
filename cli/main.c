#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <argtable2.h>
#include <curl/curl.h>
#include <sodium.h>

#include "cli/cli.h"
#include "fireflyledge/config.h"
#include "fireflyledge/settings.h"

/** Bounds of the command line. */
#define PATH_BYTES 256
#define FIELDS_MAX 32
#define OPERATORS  "http://127.0.0.1:7301"
#define CALLERS	   "http://127.0.0.1:7300"

/** Runs a subcommand; arguments begin with its name. */
typedef int (*run_fn_t)(const cli_t *cli, int argc, char **argv);

/** A subcommand. */
typedef struct {
	const char *name;
	const char *usage;
	const char *text;
	run_fn_t run;
} subcommand_t;

static int run_intent(const cli_t *cli, int argc, char **argv);
static int run_plan(const cli_t *cli, int argc, char **argv);
static int run_confirm(const cli_t *cli, int argc, char **argv);
static int run_config(const cli_t *cli, int argc, char **argv);
static int run_history(const cli_t *cli, int argc, char **argv);
static int run_why(const cli_t *cli, int argc, char **argv);
static int run_status(const cli_t *cli, int argc, char **argv);
static int run_hosts(const cli_t *cli, int argc, char **argv);
static int run_jobs(const cli_t *cli, int argc, char **argv);
static int run_submit(const cli_t *cli, int argc, char **argv);
static int run_job(const cli_t *cli, int argc, char **argv);
static int run_cancel(const cli_t *cli, int argc, char **argv);
static int run_token_hash(const cli_t *cli, int argc, char **argv);
static int run_check_config(const cli_t *cli, int argc, char **argv);
static int show(const cli_t *cli, const char *base, const char *method,
		const char *path, const json_t *body);
static int get_with_arg(const cli_t *cli, const char *base, int argc,
			char **argv, const char *prefix);
static json_t *fields_to_json(int argc, char **argv);
static void usage(FILE *out);
static int count_options(int argc, char **argv);
static int dispatch(const cli_t *cli, int argc, char **argv);
static const char *env_or(const char *name, const char *def);

static const subcommand_t subcommands[] = {
	{ "intent", "KIND FIELD=VALUE...", "state an intent and show its plan",
	  run_intent },
	{ "plan", "ID", "show the plan of an intent", run_plan },
	{ "confirm", "ID REVISION", "confirm a plan", run_confirm },
	{ "config", "", "show what is in force", run_config },
	{ "history", "", "show every change, who made it and why",
	  run_history },
	{ "why", "SUBJECT", "show which changes decide about a subject",
	  run_why },
	{ "status", "", "show members, cells and the log", run_status },
	{ "hosts", "", "show workers and upstreams", run_hosts },
	{ "jobs", "", "show open jobs", run_jobs },
	{ "submit", "FIELD=VALUE...", "submit a job", run_submit },
	{ "job", "ID", "show a job", run_job },
	{ "cancel", "ID", "cancel a job", run_cancel },
	{ "token-hash", "TOKEN", "print the hash of a token", run_token_hash },
	{ "check-config", "FILE", "check a settings file", run_check_config },
};

static int show(const cli_t *cli, const char *base, const char *method,
		const char *path, const json_t *body)
{
	cli_reply_t reply;
	cli_exit_t rc = cli_call(cli, base, method, path, body, &reply);

	cli_print(cli, &reply);
	free(reply.body);
	return rc;
}

static int get_with_arg(const cli_t *cli, const char *base, int argc,
			char **argv, const char *prefix)
{
	char path[PATH_BYTES];

	if (argc != 2) {
		usage(stderr);
		return CLI_USAGE;
	}
	snprintf(path, sizeof(path), "%s%s", prefix, argv[1]);
	return show(cli, base, "GET", path, NULL);
}

/* Numbers and booleans become JSON values of their type. */
static json_t *fields_to_json(int argc, char **argv)
{
	json_t *json = json_object();

	for (int i = 0; i < argc; i++) {
		const char *eq = strchr(argv[i], '=');
		char key[PATH_BYTES];
		json_t *value;

		if (!eq || (size_t)(eq - argv[i]) >= sizeof(key)) {
			fprintf(stderr, "ffl: \"%s\" is not FIELD=VALUE\n",
				argv[i]);
			json_decref(json);
			return NULL;
		}
		memcpy(key, argv[i], (size_t)(eq - argv[i]));
		key[eq - argv[i]] = '\0';
		value = json_loads(eq + 1, JSON_DECODE_ANY, NULL);
		if (!json_is_integer(value) && !json_is_boolean(value)) {
			json_decref(value);
			value = json_string(eq + 1);
		}
		json_object_set_new(json, key, value);
	}
	return json;
}

static int run_intent(const cli_t *cli, int argc, char **argv)
{
	json_t *json;
	int rc;

	if (argc < 2) {
		usage(stderr);
		return CLI_USAGE;
	}
	json = fields_to_json(argc - 2, argv + 2);
	if (!json)
		return CLI_USAGE;
	json_object_set_new(json, "kind", json_string(argv[1]));
	rc = show(cli, cli->operators, "POST", "/v1/intents", json);
	json_decref(json);
	return rc;
}

static int run_plan(const cli_t *cli, int argc, char **argv)
{
	return get_with_arg(cli, cli->operators, argc, argv, "/v1/plans/");
}

static int run_confirm(const cli_t *cli, int argc, char **argv)
{
	char path[PATH_BYTES];
	json_t *json;
	int rc;

	if (argc != 3) {
		usage(stderr);
		return CLI_USAGE;
	}
	snprintf(path, sizeof(path), "/v1/plans/%s/confirm", argv[1]);
	json = json_pack("{s:I}", "revision",
			 (json_int_t)strtoull(argv[2], NULL, 10));
	rc = show(cli, cli->operators, "POST", path, json);
	json_decref(json);
	return rc;
}

static int run_config(const cli_t *cli, int argc, char **argv)
{
	return show(cli, cli->operators, "GET", "/v1/config", NULL);
}

static int run_history(const cli_t *cli, int argc, char **argv)
{
	return show(cli, cli->operators, "GET", "/v1/history", NULL);
}

static int run_why(const cli_t *cli, int argc, char **argv)
{
	return get_with_arg(cli, cli->operators, argc, argv, "/v1/why/");
}

static int run_status(const cli_t *cli, int argc, char **argv)
{
	return show(cli, cli->operators, "GET", "/v1/status", NULL);
}

static int run_hosts(const cli_t *cli, int argc, char **argv)
{
	return show(cli, cli->operators, "GET", "/v1/hosts", NULL);
}

static int run_jobs(const cli_t *cli, int argc, char **argv)
{
	return show(cli, cli->callers, "GET", "/v1/jobs", NULL);
}

static int run_submit(const cli_t *cli, int argc, char **argv)
{
	json_t *json = fields_to_json(argc - 1, argv + 1);
	int rc;

	if (!json)
		return CLI_USAGE;
	rc = show(cli, cli->callers, "POST", "/v1/jobs", json);
	json_decref(json);
	return rc;
}

static int run_job(const cli_t *cli, int argc, char **argv)
{
	return get_with_arg(cli, cli->callers, argc, argv, "/v1/jobs/");
}

static int run_cancel(const cli_t *cli, int argc, char **argv)
{
	char path[PATH_BYTES];

	if (argc != 2) {
		usage(stderr);
		return CLI_USAGE;
	}
	snprintf(path, sizeof(path), "/v1/jobs/%s", argv[1]);
	return show(cli, cli->callers, "DELETE", path, NULL);
}

static int run_token_hash(const cli_t *cli, int argc, char **argv)
{
	uint8_t hash[FFL_HASH_BYTES];
	char hex[FFL_HEX_BYTES];

	if (argc != 2) {
		usage(stderr);
		return CLI_USAGE;
	}
	ffl_token_hash(argv[1], hash);
	puts(sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash)));
	return CLI_OK;
}

static int run_check_config(const cli_t *cli, int argc, char **argv)
{
	ffl_settings_t settings;
	ffl_findings_t fs;
	ffl_status_t status;
	GString *text;

	if (argc != 2) {
		usage(stderr);
		return CLI_USAGE;
	}
	text = g_string_new(NULL);
	ffl_findings_init(&fs, argv[1]);
	status = ffl_settings_load(argv[1], &settings, &fs);
	for (uint32_t i = 0; i < ffl_findings_count(&fs); i++) {
		ffl_finding_format(ffl_findings_at(&fs, i), text);
		g_string_append_c(text, '\n');
	}
	fputs(text->str, stdout);
	g_string_free(text, TRUE);
	ffl_findings_finish(&fs);
	return status == FFL_OK ? CLI_OK : CLI_CONFIG;
}

static void usage(FILE *out)
{
	fputs("Usage: ffl [--json] [--operators URL] [--callers URL] "
	      "[--token TOKEN] COMMAND [ARGUMENT...]\n",
	      out);
	for (size_t i = 0; i < sizeof(subcommands) / sizeof(subcommands[0]);
	     i++)
		fprintf(out, "  %-13s %-20s %s\n", subcommands[i].name,
			subcommands[i].usage, subcommands[i].text);
}

/* Options come before the subcommand; the rest is its own. */
static int count_options(int argc, char **argv)
{
	int first = 1;

	while (first < argc && argv[first][0] == '-') {
		bool alone = strchr(argv[first], '=') ||
			     strcmp(argv[first], "--json") == 0 ||
			     strcmp(argv[first], "--help") == 0 ||
			     strcmp(argv[first], "-h") == 0;

		first += alone ? 1 : 2;
	}
	return first < argc ? first : argc;
}

static int dispatch(const cli_t *cli, int argc, char **argv)
{
	for (size_t i = 0; i < sizeof(subcommands) / sizeof(subcommands[0]);
	     i++) {
		if (strcmp(subcommands[i].name, argv[0]) == 0)
			return subcommands[i].run(cli, argc, argv);
	}
	fprintf(stderr, "ffl: unknown command \"%s\"\n", argv[0]);
	usage(stderr);
	return CLI_USAGE;
}

static const char *env_or(const char *name, const char *def)
{
	const char *value = getenv(name);

	return value ? value : def;
}

int main(int argc, char **argv)
{
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_str *operators = arg_str0(NULL, "operators", "URL", "");
	struct arg_str *callers = arg_str0(NULL, "callers", "URL", "");
	struct arg_str *token = arg_str0(NULL, "token", "TOKEN", "");
	struct arg_lit *help = arg_lit0("h", "help", "show this help");
	struct arg_end *end = arg_end(4);
	void *table[] = { json, operators, callers, token, help, end };
	cli_t cli = { .operators = env_or("FFL_OPERATORS", OPERATORS),
		      .callers = env_or("FFL_CALLERS", CALLERS),
		      .token = env_or("FFL_TOKEN", "") };
	int first = count_options(argc, argv);
	int rc = CLI_USAGE;

	if (arg_parse(first, argv, table)) {
		arg_print_errors(stderr, end, "ffl");
		goto out;
	}
	if (help->count || first == argc) {
		usage(help->count ? stdout : stderr);
		rc = help->count ? CLI_OK : CLI_USAGE;
		goto out;
	}
	cli.json = json->count > 0;
	if (operators->count)
		cli.operators = operators->sval[0];
	if (callers->count)
		cli.callers = callers->sval[0];
	if (token->count)
		cli.token = token->sval[0];
	if (sodium_init() < 0)
		goto out;
	curl_global_init(CURL_GLOBAL_DEFAULT);
	rc = dispatch(&cli, argc - first, argv + first);
	curl_global_cleanup();
out:
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return rc;
}
