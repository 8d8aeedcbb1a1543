#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/cli.h"

/** Most columns of a table; further fields of its rows are not shown. */
#define COLUMNS_MAX 24
/** Width of the column of field names when an object is shown. */
#define KEY_WIDTH 20

static char *value_text(const json_t *value);
static bool is_table(const json_t *value);
static int column_width(const json_t *rows, const char *key);
static void print_table(const json_t *rows, const char *indent);
static void print_findings(const json_t *findings);
static void print_object(const json_t *object);

static char *value_text(const json_t *value)
{
	if (!value)
		return strdup("");
	if (json_is_string(value))
		return strdup(json_string_value(value));
	return json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
}

static bool is_table(const json_t *value)
{
	return json_array_size(value) &&
	       json_is_object(json_array_get(value, 0));
}

static int column_width(const json_t *rows, const char *key)
{
	size_t width = strlen(key);
	size_t i;
	json_t *row;

	json_array_foreach(rows, i, row)
	{
		char *text = value_text(json_object_get(row, key));

		if (strlen(text) > width)
			width = strlen(text);
		free(text);
	}
	return (int)width;
}

/* The columns are the fields of the first row. */
static void print_table(const json_t *rows, const char *indent)
{
	json_t *first = json_array_get(rows, 0);
	const char *keys[COLUMNS_MAX];
	int widths[COLUMNS_MAX];
	const char *key;
	json_t *value;
	json_t *row;
	int n = 0;
	size_t i;

	json_object_foreach(first, key, value)
	{
		if (n == COLUMNS_MAX)
			break;
		keys[n] = key;
		widths[n] = column_width(rows, key);
		printf("%s%-*s", n ? "  " : indent, widths[n], key);
		n++;
	}
	putchar('\n');
	json_array_foreach(rows, i, row)
	{
		for (int c = 0; c < n; c++) {
			char *text = value_text(json_object_get(row, keys[c]));

			printf("%s%-*s", c ? "  " : indent, widths[c], text);
			free(text);
		}
		putchar('\n');
	}
}

/* Findings are printed before the rest of the object: an operator must read
 * them before a plan is confirmed. */
static void print_findings(const json_t *findings)
{
	size_t i;
	json_t *f;

	json_array_foreach(findings, i, f)
	{
		const char *field =
			json_string_value(json_object_get(f, "field"));
		const char *detail =
			json_string_value(json_object_get(f, "detail"));

		printf("%s: %s%s%s%s%s\n",
		       json_string_value(json_object_get(f, "level")),
		       field ? field : "", field && field[0] ? ": " : "",
		       json_string_value(json_object_get(f, "text")),
		       detail && detail[0] ? ": " : "", detail ? detail : "");
	}
	if (json_array_size(findings))
		putchar('\n');
}

static void print_object(const json_t *object)
{
	const char *key;
	json_t *value;

	print_findings(json_object_get(object, "findings"));
	json_object_foreach((json_t *)object, key, value)
	{
		char *text;

		if (strcmp(key, "findings") == 0 || is_table(value))
			continue;
		text = value_text(value);
		printf("%-*s %s\n", KEY_WIDTH, key, text);
		free(text);
	}
	json_object_foreach((json_t *)object, key, value)
	{
		if (strcmp(key, "findings") == 0 || !is_table(value))
			continue;
		printf("\n%s\n", key);
		print_table(value, "  ");
	}
}

void cli_print_reply(const cli_t *cli, const cli_reply_t *reply)
{
	json_t *json;

	if (!reply->body)
		return;
	json = cli->json ? NULL : json_loads(reply->body, 0, NULL);
	if (json_is_object(json))
		print_object(json);
	else if (is_table(json))
		print_table(json, "");
	else
		puts(reply->body);
	json_decref(json);
}
