#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <ini.h>

#include "cli/cli.h"

/** A setting and the sources of its value. */
typedef struct {
	const char *key; /**< in section [ffl] of the settings file */
	const char *env; /**< environment variable, which overrides the file */
	const char *default_value;
	size_t offset; /**< of the value in cli_t */
} setting_t;

/** State while a settings file is read. */
typedef struct {
	cli_t *cli;
	const char *path;
	bool has_unknown_key;
} reader_t;

static int handle_pair(void *user, const char *section, const char *key,
		       const char *value);
static void set_value(cli_t *cli, const setting_t *s, const char *value);

static const setting_t settings[] = {
	{ "operators", "FFL_OPERATORS", "http://127.0.0.1:7301",
	  offsetof(cli_t, operators) },
	{ "callers", "FFL_CALLERS", "http://127.0.0.1:7300",
	  offsetof(cli_t, callers) },
	{ "token", "FFL_TOKEN", "", offsetof(cli_t, token) },
};

#define SETTING_COUNT (sizeof(settings) / sizeof(settings[0]))

static void set_value(cli_t *cli, const setting_t *s, const char *value)
{
	snprintf((char *)cli + s->offset, CLI_TEXT_BYTES, "%s", value);
}

static int handle_pair(void *user, const char *section, const char *key,
		       const char *value)
{
	reader_t *r = user;

	for (size_t i = 0; i < SETTING_COUNT; i++) {
		if (strcmp(section, "ffl") == 0 &&
		    strcmp(key, settings[i].key) == 0) {
			set_value(r->cli, &settings[i], value);
			return 1;
		}
	}
	fprintf(stderr, "ffl: settings file %s: unknown key \"%s\" in [%s]\n",
		r->path, key, section);
	r->has_unknown_key = true;
	return 1;
}

cli_exit_t cli_load_settings(cli_t *cli, const char *path)
{
	reader_t r = { cli, path, false };
	int rc = 0;

	for (size_t i = 0; i < SETTING_COUNT; i++)
		set_value(cli, &settings[i], settings[i].default_value);
	if (path)
		rc = ini_parse(path, handle_pair, &r);
	if (rc < 0)
		fprintf(stderr, "ffl: settings file %s: cannot be read\n",
			path);
	else if (rc > 0)
		fprintf(stderr, "ffl: settings file %s:%d: cannot be parsed\n",
			path, rc);
	for (size_t i = 0; i < SETTING_COUNT; i++) {
		const char *value = getenv(settings[i].env);

		if (value)
			set_value(cli, &settings[i], value);
	}
	return rc || r.has_unknown_key ? CLI_CONFIG : CLI_OK;
}
