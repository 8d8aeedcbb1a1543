#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <glib.h>
#include <sodium.h>

#include "cli/cli.h"
#include "fireflyledge/config.h"
#include "fireflyledge/settings.h"

/** Most headers of a request, and the longest one with terminator. */
#define HEADERS_MAX 8
#define LINE_BYTES  256

static const char *string_field(const json_t *body, const char *name);
static void print_findings(const cli_t *cli, const ffl_findings_t *fs);

static const char *string_field(const json_t *body, const char *name)
{
	return json_string_value(json_object_get(body, name));
}

cli_exit_t cli_run_route(const cli_t *cli, const cli_subcommand_t *sub,
			 const char *path, json_t *body)
{
	const char *base = strcmp(sub->group, "operators") == 0 ? cli->operators
								: cli->callers;

	return cli_call_and_print(cli, base, sub->method, path, body);
}

cli_exit_t cli_run_top(const cli_t *cli, const cli_subcommand_t *sub,
		       const char *path, json_t *body)
{
	cli_request_t request = { .base = cli->operators,
				  .method = "GET",
				  .path = path };
	json_t *json = json_object();
	cli_reply_t reply;
	cli_exit_t rc = cli_call(cli, &request, &reply);
	char *strtok_state = NULL;
	char *line;

	for (line = strtok_r(reply.body, "\n", &strtok_state); line;
	     line = strtok_r(NULL, "\n", &strtok_state)) {
		char *space = strchr(line, ' ');

		if (line[0] == '#' || !space)
			continue;
		*space = '\0';
		json_object_set_new(json, line,
				    json_integer(strtoll(space + 1, NULL, 10)));
	}
	free(reply.body);
	reply.body = json_dumps(json, JSON_COMPACT | JSON_PRESERVE_ORDER);
	json_decref(json);
	cli_print_reply(cli, &reply);
	free(reply.body);
	return rc;
}

cli_exit_t cli_run_request(const cli_t *cli, const cli_subcommand_t *sub,
			   const char *path, json_t *body)
{
	static const char *const header_names[][2] = {
		{ "key", "Idempotency-Key" },
		{ "urgency", "Fireflyledge-Urgency" },
		{ "caller", "Fireflyledge-Caller" },
	};
	char lines[HEADERS_MAX][LINE_BYTES];
	const char *headers[HEADERS_MAX + 1] = { NULL };
	const char *data = string_field(body, "data");
	const char *method = string_field(body, "method");
	json_t *timeout = json_object_get(body, "timeout_ms");
	cli_request_t request = { .base = cli->callers, .path = path };
	gchar *file = NULL;
	GError *error = NULL;
	gsize body_bytes = data ? strlen(data) : 0;
	cli_reply_t reply;
	cli_exit_t rc;
	int n = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(header_names); i++) {
		const char *value = string_field(body, header_names[i][0]);

		if (!value)
			continue;
		snprintf(lines[n], LINE_BYTES, "%s: %s", header_names[i][1],
			 value);
		headers[n] = lines[n];
		n++;
	}
	if (timeout) {
		snprintf(lines[n], LINE_BYTES, "Fireflyledge-Timeout-Ms: %lld",
			 (long long)json_integer_value(timeout));
		headers[n] = lines[n];
	}
	if (data && data[0] == '@' &&
	    !g_file_get_contents(data + 1, &file, &body_bytes, &error)) {
		fprintf(stderr, "ffl: --data file %s cannot be read: %s\n",
			data + 1, error->message);
		g_error_free(error);
		return CLI_USAGE;
	}
	request.method = method ? method : data ? "POST" : "GET";
	request.headers = headers;
	request.body = file ? file : data;
	request.body_bytes = body_bytes;
	rc = cli_call(cli, &request, &reply);
	if (reply.body)
		fwrite(reply.body, 1, reply.body_bytes, stdout);
	free(reply.body);
	g_free(file);
	return rc;
}

cli_exit_t cli_run_token_hash(const cli_t *cli, const cli_subcommand_t *sub,
			      const char *path, json_t *body)
{
	uint8_t hash[FFL_HASH_BYTES];
	char hex[FFL_HEX_BYTES];

	ffl_token_hash(string_field(body, "token"), hash);
	puts(sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash)));
	return CLI_OK;
}

static void print_findings(const cli_t *cli, const ffl_findings_t *fs)
{
	GString *text = g_string_new(NULL);
	json_t *array = json_array();
	char *dump;

	for (uint32_t i = 0; i < ffl_findings_count(fs); i++) {
		const ffl_finding_t *f = ffl_findings_at(fs, i);

		ffl_finding_format(f, text);
		g_string_append_c(text, '\n');
		json_array_append_new(
			array,
			json_pack("{s:s,s:i,s:s,s:s,s:s,s:s}", "file",
				  f->source, "line", (int)f->line, "key",
				  f->key, "level", ffl_level_name(f->level),
				  "message", ffl_msg_name(f->msg), "detail",
				  f->detail));
	}
	dump = json_dumps(array, JSON_COMPACT | JSON_PRESERVE_ORDER);
	if (cli->json)
		puts(dump);
	else
		fputs(text->str, stdout);
	free(dump);
	json_decref(array);
	g_string_free(text, TRUE);
}

cli_exit_t cli_run_check_config(const cli_t *cli, const cli_subcommand_t *sub,
				const char *path, json_t *body)
{
	const char *file = string_field(body, "file");
	ffl_settings_t settings;
	ffl_findings_t fs;
	ffl_status_t status;

	ffl_findings_init(&fs, file);
	status = ffl_settings_load(file, &settings, &fs);
	print_findings(cli, &fs);
	ffl_findings_finish(&fs);
	return status == FFL_OK ? CLI_OK : CLI_CONFIG;
}
