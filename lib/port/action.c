/**
 * @file action.c
 * @brief List of actions; answers and problem documents.
 */
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "fireflyledge/action.h"

/** Content types of answers. */
#define TYPE_JSON    "application/json"
#define TYPE_PROBLEM "application/problem+json"
/** Size of the text of a log line, with its terminator. */
#define REPORT_BYTES 512

static const char *const kind_names[FFL_ACT__MAX] = {
	[FFL_ACT_LOG_READ] = "log-read",
	[FFL_ACT_LOG_APPEND] = "log-append",
	[FFL_ACT_HOSTS_READ] = "hosts-read",
	[FFL_ACT_WORKER_SEND] = "worker-send",
	[FFL_ACT_PEER_SEND] = "peer-send",
	[FFL_ACT_ANSWER] = "answer",
	[FFL_ACT_FORWARD] = "forward",
	[FFL_ACT_FINISH] = "finish",
	[FFL_ACT_READY] = "ready",
	[FFL_ACT_REPORT] = "report",
	[FFL_ACT_EXIT] = "exit",
};

static ffl_bytes_t dump_json(ffl_actions_t *out, json_t *body);

const char *ffl_action_kind_name(uint32_t kind)
{
	return kind < FFL_ACT__MAX ? kind_names[kind] : "?";
}

void ffl_actions_init(ffl_actions_t *out)
{
	out->items = g_array_new(FALSE, TRUE, sizeof(ffl_action_t));
	ffl_arena_init(&out->arena);
}

void ffl_actions_finish(ffl_actions_t *out)
{
	g_array_free(out->items, TRUE);
	out->items = NULL;
	ffl_arena_finish(&out->arena);
}

void ffl_actions_reset(ffl_actions_t *out)
{
	g_array_set_size(out->items, 0);
	ffl_arena_reset(&out->arena);
}

ffl_action_t *ffl_actions_add(ffl_actions_t *out, ffl_action_kind_t kind)
{
	ffl_action_t *act;

	g_array_set_size(out->items, out->items->len + 1);
	act = &g_array_index(out->items, ffl_action_t, out->items->len - 1);
	act->kind = kind;
	return act;
}

uint32_t ffl_actions_count(const ffl_actions_t *out)
{
	return out->items->len;
}

const ffl_action_t *ffl_actions_at(const ffl_actions_t *out, uint32_t i)
{
	return &g_array_index(out->items, ffl_action_t, i);
}

const char *ffl_actions_copy_text(ffl_actions_t *out, const char *text)
{
	return ffl_arena_copy(&out->arena, text, strlen(text) + 1);
}

void ffl_actions_report(ffl_actions_t *out, ffl_level_t level,
			const char *event, const char *subject, const char *fmt,
			...)
{
	char text[REPORT_BYTES];
	ffl_action_t *act = ffl_actions_add(out, FFL_ACT_REPORT);
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	act->report.level = level;
	act->report.event = event;
	act->report.subject = ffl_actions_copy_text(out, subject);
	act->report.text = ffl_actions_copy_text(out, text);
}

static ffl_bytes_t dump_json(ffl_actions_t *out, json_t *body)
{
	size_t flags = JSON_COMPACT | JSON_PRESERVE_ORDER;
	ffl_bytes_t b = { 0 };
	char *data;

	b.size_bytes = json_dumpb(body, NULL, 0, flags);
	data = ffl_arena_alloc(&out->arena, b.size_bytes + 1);
	json_dumpb(body, data, b.size_bytes, flags);
	b.data = (const uint8_t *)data;
	json_decref(body);
	return b;
}

void ffl_actions_answer(ffl_actions_t *out, uint64_t id, uint32_t http_status,
			json_t *body)
{
	ffl_action_t *act = ffl_actions_add(out, FFL_ACT_ANSWER);

	act->answer.id = id;
	act->answer.http_status = http_status;
	act->answer.content_type = TYPE_JSON;
	act->answer.body = dump_json(out, body);
}

json_t *ffl_findings_to_json(const ffl_findings_t *fs)
{
	json_t *array = json_array();

	for (uint32_t i = 0; i < ffl_findings_count(fs); i++) {
		const ffl_finding_t *f = ffl_findings_at(fs, i);

		json_array_append_new(
			array, json_pack("{s:s,s:s,s:s,s:s,s:s}", "level",
					 ffl_level_name(f->level), "message",
					 ffl_msg_name(f->msg), "text",
					 ffl_msg_text(f->msg), "field", f->key,
					 "detail", f->detail));
	}
	return array;
}

void ffl_actions_problem(ffl_actions_t *out, uint64_t id,
			 const ffl_problem_t *p)
{
	json_t *body = json_pack("{s:s+,s:s,s:i,s:s,s:s}", "type",
				 "urn:fireflyledge:problem:", p->type, "title",
				 p->title, "status", (int)p->http_status,
				 "detail", p->detail ? p->detail : "", "ran",
				 ffl_ran_name(p->ran));
	ffl_action_t *act;

	if (p->field)
		json_object_set_new(body, "field", json_string(p->field));
	if (p->findings)
		json_object_set_new(body, "findings",
				    ffl_findings_to_json(p->findings));
	act = ffl_actions_add(out, FFL_ACT_ANSWER);
	act->answer.id = id;
	act->answer.http_status = p->http_status;
	act->answer.content_type = TYPE_PROBLEM;
	act->answer.retry_after_ms = p->retry_after_ms;
	act->answer.body = dump_json(out, body);
}
