#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <glib.h>

#include "cli/cli.h"

/** Buffer for a line, with terminator; the rest of a longer line is read as
 * a line of its own. */
#define LINE_BYTES 4096
/** Start of a record in a line; text before it, such as a host's simulated
 * time, is skipped. */
#define JSON_START '{'

static bool concerns_job(const json_t *line, const char *id);
static void read_lines(FILE *in, const char *id, GPtrArray *out);
static gint compare_time(gconstpointer a, gconstpointer b);
static void print_lines(const GPtrArray *lines);
static void unref_line(void *data);

/* A line concerns a job if its subject begins with the job's id, or if its text
 * names the job as the one an action was taken for (for=ID). */
static bool concerns_job(const json_t *line, const char *id)
{
	const char *subject =
		json_string_value(json_object_get(line, "subject"));
	const char *text = json_string_value(json_object_get(line, "text"));
	const char *event = json_string_value(json_object_get(line, "event"));
	const char *found = text ? strstr(text, id) : NULL;

	if (!subject || !event)
		return false;
	if (strncmp(subject, id, strlen(id)) == 0)
		return true;
	return found && found - text >= 4 && strncmp(found - 4, "for=", 4) == 0;
}

static void read_lines(FILE *in, const char *id, GPtrArray *out)
{
	char buf[LINE_BYTES];

	while (fgets(buf, sizeof(buf), in)) {
		const char *start = strchr(buf, JSON_START);
		json_t *line = start ? json_loads(start, 0, NULL) : NULL;

		if (line && concerns_job(line, id))
			g_ptr_array_add(out, line);
		else
			json_decref(line);
	}
}

/* Clocks of hosts differ by little, and the sort is stable: lines of one host
 * keep their order. */
static gint compare_time(gconstpointer a, gconstpointer b)
{
	const json_t *x = *(json_t *const *)a;
	const json_t *y = *(json_t *const *)b;

	return g_strcmp0(json_string_value(json_object_get(x, "time")),
			 json_string_value(json_object_get(y, "time")));
}

static void print_lines(const GPtrArray *lines)
{
	for (guint i = 0; i < lines->len; i++) {
		const json_t *line = g_ptr_array_index(lines, i);

		printf("%s  %-22s %-16s %-24s %s\n",
		       json_string_value(json_object_get(line, "time")),
		       json_string_value(json_object_get(line, "host")),
		       json_string_value(json_object_get(line, "event")),
		       json_string_value(json_object_get(line, "subject")),
		       json_string_value(json_object_get(line, "text")));
	}
}

static void unref_line(void *data)
{
	json_decref(data);
}

cli_exit_t cli_run_explain(const cli_t *cli, const cli_subcommand_t *sub,
			   const char *path, json_t *body)
{
	const char *id = json_string_value(json_object_get(body, "job"));
	const char *file = json_string_value(json_object_get(body, "log"));
	GPtrArray *lines = g_ptr_array_new_with_free_func(unref_line);
	FILE *in = file ? fopen(file, "r") : stdin;
	cli_exit_t rc = CLI_OK;
	json_t *all;

	if (!in) {
		fprintf(stderr, "ffl: log file %s cannot be read: %s\n", file,
			strerror(errno));
		g_ptr_array_free(lines, TRUE);
		return CLI_CONFIG;
	}
	read_lines(in, id, lines);
	if (file)
		fclose(in);
	g_ptr_array_sort(lines, compare_time);
	if (cli->json) {
		all = json_array();
		for (guint i = 0; i < lines->len; i++)
			json_array_append(all, g_ptr_array_index(lines, i));
		json_dumpf(all, stdout, JSON_COMPACT);
		putchar('\n');
		json_decref(all);
	} else {
		print_lines(lines);
	}
	if (!lines->len) {
		fprintf(stderr, "ffl: no line of the log concerns job %s\n",
			id);
		rc = CLI_REFUSED;
	}
	g_ptr_array_free(lines, TRUE);
	return rc;
}
