#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <glib.h>

#include "cli/cli.h"

/** Width of the first column. */
#define KEY_WIDTH 10

static const char *text_of(const json_t *object, const char *name);
static long long number_of(const json_t *object, const char *name);
static void print_route(const json_t *reply);
static void print_leader(const json_t *reply);
static void print_step(const json_t *step);
static void print_place(const json_t *reply);
static void print_where(const json_t *reply);

static const char *text_of(const json_t *object, const char *name)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text ? text : "";
}

static long long number_of(const json_t *object, const char *name)
{
	return json_integer_value(json_object_get(object, name));
}

static void print_route(const json_t *reply)
{
	if (!json_object_get(reply, "queue"))
		return;
	printf("%-*s %s, service %s, priority %lld\n", KEY_WIDTH, "queue",
	       text_of(reply, "queue"), text_of(reply, "service"),
	       number_of(reply, "priority"));
	printf("%-*s %lld ms and %lld thousandths of its processing time\n",
	       KEY_WIDTH, "objective", number_of(reply, "objective_base_ms"),
	       number_of(reply, "objective_stretch_milli"));
	printf("%-*s %s, %s", KEY_WIDTH, "key", text_of(reply, "key"),
	       json_is_true(json_object_get(reply, "needs_key"))
		       ? "needed"
		       : "not needed");
	if (text_of(reply, "customer")[0])
		printf(", of customer %s", text_of(reply, "customer"));
	putchar('\n');
}

static void print_leader(const json_t *reply)
{
	const char *leader = text_of(reply, "leader");

	printf("%-*s %s", KEY_WIDTH, "leader", leader[0] ? leader : "unknown");
	if (!json_is_true(json_object_get(reply, "leading")))
		printf(": it decides where a job goes, ask it\n");
	else if (json_is_true(json_object_get(reply, "may_start")))
		printf(", this host\n");
	else
		printf(", this host, but it may start nothing at present\n");
}

static void print_step(const json_t *step)
{
	const json_t *ruled_out = json_object_get(step, "ruled_out");
	const char *key;
	json_t *value;
	size_t i;

	printf("%-*s %lld of occurrence %lld: %lld of %lld tasks would start\n",
	       KEY_WIDTH, "step", number_of(step, "step"),
	       number_of(step, "occurrence"), number_of(step, "placed"),
	       number_of(step, "tasks"));
	json_array_foreach(json_object_get(step, "workers"), i, value)
	{
		printf("%-*s %s, data centre %s, rack %s: %lld tasks",
		       KEY_WIDTH, "  worker", text_of(value, "worker"),
		       text_of(value, "dc"), text_of(value, "rack"),
		       number_of(value, "tasks"));
		if (number_of(value, "cold_ms"))
			printf(", cold for %lld ms",
			       number_of(value, "cold_ms"));
		printf("\n");
	}
	if (text_of(step, "waits_for")[0])
		printf("%-*s for %s\n", KEY_WIDTH, "  waits",
		       text_of(step, "waits_for"));
	json_object_foreach((json_t *)ruled_out, key, value)
	{
		if (strcmp(key, "none") == 0)
			printf("%-*s %lld workers, too few for all of the "
			       "gang\n",
			       KEY_WIDTH, "  fits",
			       (long long)json_integer_value(value));
		else
			printf("%-*s %lld workers by: %s\n", KEY_WIDTH,
			       "  not on", (long long)json_integer_value(value),
			       key);
	}
	if (number_of(step, "stops"))
		printf("%-*s %lld runs, at a cost of %lld core-ms\n", KEY_WIDTH,
		       "  stops", number_of(step, "stops"),
		       number_of(step, "stop_cost_core_ms"));
}

static void print_place(const json_t *reply)
{
	json_t *step;
	size_t i;

	printf("%-*s %s; %lld open jobs that wait go first\n", KEY_WIDTH,
	       "tier", text_of(reply, "tier"), number_of(reply, "ahead"));
	printf("%-*s %s\n", KEY_WIDTH, "guarantee",
	       json_is_true(json_object_get(reply, "guaranteed"))
		       ? "within its customer's"
		       : "not within one");
	printf("%-*s %lld%% of the GPUs are free", KEY_WIDTH, "room",
	       number_of(reply, "free_percent"));
	if (number_of(reply, "headroom_percent"))
		printf("; it leaves %lld%%%s",
		       number_of(reply, "headroom_percent"),
		       json_is_true(json_object_get(reply, "has_slack"))
			       ? ""
			       : " if it has slack, which it has not");
	putchar('\n');
	json_array_foreach(json_object_get(reply, "steps"), i, step)
	{
		print_step(step);
	}
	if (number_of(reply, "later_steps"))
		printf("%-*s %lld steps may not run yet\n", KEY_WIDTH, "later",
		       number_of(reply, "later_steps"));
}

static void print_where(const json_t *reply)
{
	const char *answer = text_of(reply, "answer");
	const char *why = text_of(reply, "why");

	print_route(reply);
	printf("%-*s %s%s%s\n", KEY_WIDTH, "answer", answer[0] ? answer : "-",
	       why[0] ? ": " : "", why);
	if (number_of(reply, "retry_after_ms"))
		printf("%-*s after %lld ms\n", KEY_WIDTH, "return",
		       number_of(reply, "retry_after_ms"));
	print_leader(reply);
	if (json_object_get(reply, "steps"))
		print_place(reply);
}

cli_exit_t cli_run_where(const cli_t *cli, const cli_subcommand_t *sub,
			 const char *path, json_t *body)
{
	const char *file = json_string_value(json_object_get(body, "file"));
	char base[CLI_TEXT_BYTES];
	gchar *job = NULL;
	gsize job_bytes;
	GError *error = NULL;
	cli_request_t request = { .base = base,
				  .method = "POST",
				  .path = "/explain",
				  .content_type = "application/json" };
	cli_reply_t reply;
	json_t *json = NULL;
	char *text;
	cli_exit_t rc;

	snprintf(base, sizeof(base), "http://%s", text_of(body, "at"));
	if (file && !g_file_get_contents(file, &job, &job_bytes, &error)) {
		fprintf(stderr, "ffl: --body file %s cannot be read: %s\n",
			file, error->message);
		g_error_free(error);
		return CLI_USAGE;
	}
	if (job && json_object_set_new(body, "body",
				       json_stringn(job, job_bytes)) != 0) {
		fprintf(stderr, "ffl: --body file %s is no UTF-8 text\n", file);
		g_free(job);
		return CLI_USAGE;
	}
	g_free(job);
	json_object_del(body, "file");
	json_object_del(body, "at");
	text = json_dumps(body, JSON_COMPACT);
	request.body = text;
	request.body_bytes = strlen(text);
	rc = cli_call(cli, &request, &reply);
	if (reply.body && !cli->json && rc == CLI_OK)
		json = json_loads(reply.body, 0, NULL);
	if (json)
		print_where(json);
	else
		cli_print_reply(cli, &reply);
	json_decref(json);
	free(reply.body);
	free(text);
	return rc;
}
