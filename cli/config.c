#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <ini.h>

#include "cli/cli.h"

/** Where a value may come from. */
typedef struct {
	const char *key;
	const char *env;
	const char *def;
	size_t offset;
} source_t;

/** State of reading a file. */
typedef struct {
	cli_t *cli;
	const char *path;
	bool bad;
} reader_t;

static int take_pair(void *user, const char *section, const char *key,
		     const char *value);
static void set(cli_t *cli, const source_t *s, const char *value);

static const source_t sources[] = {
	{ "operators", "FFL_OPERATORS", "http://127.0.0.1:7301",
	  offsetof(cli_t, operators) },
	{ "callers", "FFL_CALLERS", "http://127.0.0.1:7300",
	  offsetof(cli_t, callers) },
	{ "token", "FFL_TOKEN", "", offsetof(cli_t, token) },
};

#define SOURCES (sizeof(sources) / sizeof(sources[0]))

static void set(cli_t *cli, const source_t *s, const char *value)
{
	snprintf((char *)cli + s->offset, CLI_TEXT_BYTES, "%s", value);
}

static int take_pair(void *user, const char *section, const char *key,
		     const char *value)
{
	reader_t *r = user;

	for (size_t i = 0; i < SOURCES; i++) {
		if (strcmp(section, "ffl") == 0 &&
		    strcmp(key, sources[i].key) == 0) {
			set(r->cli, &sources[i], value);
			return 1;
		}
	}
	fprintf(stderr, "ffl: %s: unknown key \"%s\" in [%s]\n", r->path, key,
		section);
	r->bad = true;
	return 1;
}

cli_exit_t cli_config(cli_t *cli, const char *path)
{
	reader_t r = { cli, path, false };
	int rc = 0;

	for (size_t i = 0; i < SOURCES; i++)
		set(cli, &sources[i], sources[i].def);
	if (path)
		rc = ini_parse(path, take_pair, &r);
	if (rc < 0)
		fprintf(stderr, "ffl: %s: cannot be read\n", path);
	else if (rc > 0)
		fprintf(stderr, "ffl: %s:%d: cannot be parsed\n", path, rc);
	for (size_t i = 0; i < SOURCES; i++) {
		const char *value = getenv(sources[i].env);

		if (value)
			set(cli, &sources[i], value);
	}
	return rc || r.bad ? CLI_CONFIG : CLI_OK;
}
