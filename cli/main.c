#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <argtable2.h>
#include <curl/curl.h>
#include <sodium.h>

#include "cli/cli.h"

static int subcommand_index(int argc, char **argv);
static cli_exit_t run_command(cli_t *cli, int argc, char **argv);
static void override_setting(char *dst, const struct arg_str *arg);

/* Returns the index of the subcommand, or argc if there is none. Arguments
 * before it are global options, those after it belong to the subcommand. */
static int subcommand_index(int argc, char **argv)
{
	int first = 1;

	while (first < argc && argv[first][0] == '-') {
		bool is_one_argument = strchr(argv[first], '=') ||
				       strcmp(argv[first], "--json") == 0 ||
				       strcmp(argv[first], "--help") == 0 ||
				       strcmp(argv[first], "--version") == 0 ||
				       strcmp(argv[first], "-h") == 0;

		first += is_one_argument ? 1 : 2;
	}
	return first < argc ? first : argc;
}

static cli_exit_t run_command(cli_t *cli, int argc, char **argv)
{
	const cli_subcommand_t *sub = cli_find_subcommand(argv[0]);
	cli_exit_t rc;

	if (!sub) {
		fprintf(stderr, "ffl: unknown command \"%s\"\n", argv[0]);
		cli_print_usage(stderr);
		return CLI_USAGE;
	}
	if (strcmp(argv[0], "plan") == 0 && argc > 2 &&
	    strcmp(argv[1], "show") == 0) {
		argc--;
		argv++;
	}
	if (sodium_init() < 0) {
		fputs("ffl: libsodium cannot be initialised\n", stderr);
		return CLI_UNREACHABLE;
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	rc = cli_run_subcommand(cli, sub, argc, argv);
	curl_global_cleanup();
	return rc;
}

static void override_setting(char *dst, const struct arg_str *arg)
{
	if (arg->count)
		snprintf(dst, CLI_TEXT_BYTES, "%s", arg->sval[0]);
}

int main(int argc, char **argv)
{
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_file *config = arg_file0(NULL, "config", "FILE", "");
	struct arg_str *operators = arg_str0(NULL, "operators", "URL", "");
	struct arg_str *callers = arg_str0(NULL, "callers", "URL", "");
	struct arg_str *token = arg_str0(NULL, "token", "TOKEN", "");
	struct arg_lit *help = arg_lit0("h", "help", "show this help");
	struct arg_lit *version = arg_lit0(NULL, "version", "show the version");
	struct arg_end *end = arg_end(4);
	void *table[] = { json,	 config, operators, callers,
			  token, help,	 version,   end };
	int first = subcommand_index(argc, argv);
	cli_exit_t rc = CLI_USAGE;
	cli_t cli = { 0 };

	if (arg_parse(first, argv, table)) {
		arg_print_errors(stderr, end, "ffl");
	} else if (version->count) {
		puts("ffl " FFL_VERSION);
		rc = CLI_OK;
	} else if (help->count || first == argc) {
		cli_print_usage(help->count ? stdout : stderr);
		rc = help->count ? CLI_OK : CLI_USAGE;
	} else {
		rc = cli_load_settings(&cli, config->count
						     ? config->filename[0]
						     : getenv("FFL_CONFIG"));
		cli.json = json->count > 0;
		override_setting(cli.operators, operators);
		override_setting(cli.callers, callers);
		override_setting(cli.token, token);
		if (rc == CLI_OK)
			rc = run_command(&cli, argc - first, argv + first);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return rc;
}
