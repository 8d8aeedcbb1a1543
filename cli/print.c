#include <stdio.h>
#include <string.h>

#include "cli/cli.h"

static void print_value(const json_t *value);
static void print_object(const json_t *object, const char *indent);
static void print_rows(const json_t *array);

static void print_value(const json_t *value)
{
	char *text;

	if (json_is_string(value)) {
		fputs(json_string_value(value), stdout);
		return;
	}
	text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
	fputs(text, stdout);
	free(text);
}

static void print_object(const json_t *object, const char *indent)
{
	const char *key;
	json_t *value;

	json_object_foreach((json_t *)object, key, value)
	{
		printf("%s%-20s ", indent, key);
		print_value(value);
		putchar('\n');
	}
}

static void print_rows(const json_t *array)
{
	size_t i;
	json_t *row;

	json_array_foreach(array, i, row)
	{
		if (i)
			putchar('\n');
		print_object(row, "");
	}
}

void cli_print(const cli_t *cli, const cli_reply_t *reply)
{
	json_t *json;

	if (!reply->body)
		return;
	json = cli->json ? NULL : json_loads(reply->body, 0, NULL);
	if (json_is_object(json))
		print_object(json, "");
	else if (json_is_array(json))
		print_rows(json);
	else
		puts(reply->body);
	json_decref(json);
}
