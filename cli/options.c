#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <argtable2.h>
#include <sodium.h>

#include "cli/cli.h"
#include "fireflyledge/config.h"

/** Most options and most FIELD=VALUE arguments of a subcommand. */
#define OPTS_MAX  8
#define PAIRS_MAX 32
/** Longest FIELD, with terminator. */
#define FIELD_BYTES 64
#define HEX_BYTES   (FFL_HASH_BYTES * 2 + 1)
/** Entries of every subcommand's argtable: --json, --help and the end. */
#define COMMON_OPTS 3

static void *new_argtable_entry(const cli_opt_t *opt);
static const char *option_value(const cli_opt_t *opt, const void *entry, int i);
static int option_count(const cli_opt_t *opt, const void *entry);
static bool put_pair(json_t *body, const char *pair);
static bool put_option(json_t *body, const cli_opt_t *opt, const char *value);
static bool build_request(const cli_subcommand_t *sub, void **table,
			  json_t *body, char *path);
static void print_help(const cli_subcommand_t *sub, void **table);

static void *new_argtable_entry(const cli_opt_t *opt)
{
	int min = opt->required ? 1 : 0;

	switch (opt->type) {
	case CLI_OPT_NUMBER:
		return arg_strn(NULL, opt->name, "N", min, 1, opt->help);
	case CLI_OPT_FLAG:
		return arg_lit0(NULL, opt->name, opt->help);
	case CLI_OPT_PATH:
	case CLI_OPT_ARG:
		return arg_strn(NULL, NULL, opt->name, min, 1, opt->help);
	case CLI_OPT_PAIRS:
		return arg_strn(NULL, NULL, opt->name, min, PAIRS_MAX,
				opt->help);
	default:
		return arg_strn(NULL, opt->name, "TEXT", min, 1, opt->help);
	}
}

static int option_count(const cli_opt_t *opt, const void *entry)
{
	return opt->type == CLI_OPT_FLAG
		       ? ((const struct arg_lit *)entry)->count
		       : ((const struct arg_str *)entry)->count;
}

static const char *option_value(const cli_opt_t *opt, const void *entry, int i)
{
	return opt->type == CLI_OPT_FLAG
		       ? "true"
		       : ((const struct arg_str *)entry)->sval[i];
}

/* A value that is a JSON integer or boolean keeps its type; any other is
 * sent as a string. */
static bool put_pair(json_t *body, const char *pair)
{
	const char *eq = strchr(pair, '=');
	char field[FIELD_BYTES];
	json_t *value;

	if (!eq || (size_t)(eq - pair) >= sizeof(field)) {
		fprintf(stderr,
			"ffl: \"%s\" is not FIELD=VALUE with a FIELD of at "
			"most %d bytes\n",
			pair, FIELD_BYTES - 1);
		return false;
	}
	memcpy(field, pair, (size_t)(eq - pair));
	field[eq - pair] = '\0';
	value = json_loads(eq + 1, JSON_DECODE_ANY, NULL);
	if (!json_is_integer(value) && !json_is_boolean(value)) {
		json_decref(value);
		value = json_string(eq + 1);
	}
	json_object_set_new(body, field, value);
	return true;
}

static bool put_option(json_t *body, const cli_opt_t *opt, const char *value)
{
	uint8_t hash[FFL_HASH_BYTES];
	char hex[HEX_BYTES];
	char *end;
	long long n;

	if (opt->type == CLI_OPT_PAIRS)
		return put_pair(body, value);
	if (opt->type == CLI_OPT_FLAG)
		return json_object_set_new(body, opt->field, json_true()) == 0;
	if (opt->type == CLI_OPT_TOKEN) {
		ffl_token_hash(value, hash);
		sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
		value = hex;
	}
	if (opt->type != CLI_OPT_NUMBER && strcmp(opt->field, "revision") != 0)
		return json_object_set_new(body, opt->field,
					   json_string(value)) == 0;
	n = strtoll(value, &end, 10);
	if (end == value || *end) {
		fprintf(stderr, "ffl: %s: \"%s\" is not a decimal integer\n",
			opt->name, value);
		return false;
	}
	return json_object_set_new(body, opt->field, json_integer(n)) == 0;
}

static bool build_request(const cli_subcommand_t *sub, void **table,
			  json_t *body, char *path)
{
	snprintf(path, CLI_PATH_BYTES, "%s", sub->path);
	if (sub->kind)
		json_object_set_new(body, "kind", json_string(sub->kind));
	for (uint32_t i = 0; i < sub->opt_count; i++) {
		const cli_opt_t *opt = &sub->opts[i];

		for (int n = 0; n < option_count(opt, table[i]); n++) {
			const char *value = option_value(opt, table[i], n);

			if (opt->type == CLI_OPT_PATH)
				snprintf(path, CLI_PATH_BYTES, sub->path,
					 value);
			else if (!put_option(body, opt, value))
				return false;
		}
	}
	return true;
}

static void print_help(const cli_subcommand_t *sub, void **table)
{
	printf("Usage: ffl %s", sub->name);
	arg_print_syntax(stdout, table, "\n");
	printf("%s\n\n", sub->help);
	arg_print_glossary(stdout, table, "  %-24s %s\n");
}

cli_exit_t cli_run_subcommand(cli_t *cli, const cli_subcommand_t *sub, int argc,
			      char **argv)
{
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_lit *show_help = arg_lit0("h", "help", "show this help");
	struct arg_end *end = arg_end(OPTS_MAX);
	void *table[OPTS_MAX + COMMON_OPTS];
	json_t *body = json_object();
	char path[CLI_PATH_BYTES];
	cli_exit_t rc = CLI_USAGE;
	uint32_t n = sub->opt_count;
	int errors;

	for (uint32_t i = 0; i < n; i++)
		table[i] = new_argtable_entry(&sub->opts[i]);
	table[n] = json;
	table[n + 1] = show_help;
	table[n + 2] = end;
	errors = arg_parse(argc, argv, table);
	cli->json = cli->json || json->count;
	if (show_help->count) {
		print_help(sub, table);
		rc = CLI_OK;
	} else if (errors) {
		arg_print_errors(stderr, end, sub->name);
		fprintf(stderr, "Try ffl %s --help.\n", sub->name);
	} else if (build_request(sub, table, body, path)) {
		rc = sub->run(cli, sub, path, body);
	}
	arg_freetable(table, n + COMMON_OPTS);
	json_decref(body);
	return rc;
}
