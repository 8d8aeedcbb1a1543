/**
 * @file command.c
 * @brief Authentication and dispatch of commands, and their answers.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sodium.h>

#include "fireflyledge/host.h"
#include "lib/host/command_int.h"

/** Longest wait of a command for its record, in ms. */
#define RECORD_TIMEOUT_MS 5000
/** Limit on commands that wait for a record. */
#define WAITERS_MAX 1024

typedef void (*command_fn_t)(ffl_host_t *h, ffl_command_ctx_t *c);

static void cmd_status(ffl_host_t *h, ffl_command_ctx_t *c);
static void cmd_hosts(ffl_host_t *h, ffl_command_ctx_t *c);
static bool authenticate(ffl_host_t *h, ffl_command_ctx_t *c);

static const command_fn_t commands[FFL_CMD__MAX] = {
	[FFL_CMD_INTENT] = ffl_cmd_intent,
	[FFL_CMD_PLAN] = ffl_cmd_plan,
	[FFL_CMD_CONFIRM] = ffl_cmd_confirm,
	[FFL_CMD_CONFIG] = ffl_cmd_config,
	[FFL_CMD_HISTORY] = ffl_cmd_history,
	[FFL_CMD_WHY] = ffl_cmd_why,
	[FFL_CMD_STATUS] = cmd_status,
	[FFL_CMD_HOSTS] = cmd_hosts,
	[FFL_CMD_JOBS] = ffl_cmd_jobs,
	[FFL_CMD_SUBMIT] = ffl_cmd_submit,
	[FFL_CMD_JOB] = ffl_cmd_job,
	[FFL_CMD_JOB_WHY] = ffl_cmd_job_why,
	[FFL_CMD_CANCEL] = ffl_cmd_cancel,
};

void ffl_command_refuse(ffl_command_ctx_t *c, uint32_t http_status,
			const char *type, const char *title, const char *detail)
{
	ffl_problem_t p = { .http_status = http_status,
			    .type = type,
			    .title = title,
			    .detail = detail,
			    .ran = FFL_RAN_NO };

	ffl_actions_problem(c->out, c->ev->id, &p);
}

void ffl_command_refuse_findings(ffl_command_ctx_t *c, const ffl_findings_t *fs)
{
	const ffl_finding_t *first = ffl_findings_at(fs, 0);
	ffl_problem_t p = { .http_status = 422,
			    .type = "invalid",
			    .title = "the input is invalid",
			    .detail = first->detail,
			    .field = first->key,
			    .ran = FFL_RAN_NO,
			    .findings = fs };

	ffl_actions_problem(c->out, c->ev->id, &p);
}

/* Identifies the sender by its token; returns false if it may not use the
 * command. The bootstrap token is valid only while no operator is configured.
 */
static bool authenticate(ffl_host_t *h, ffl_command_ctx_t *c)
{
	const ffl_operator_t *op;
	uint8_t hash[FFL_HASH_BYTES];

	op = ffl_config_operator_by_token(&h->config, c->ev->token);
	if (op) {
		c->operator_name = op->name;
		return true;
	}
	ffl_token_hash(c->ev->token, hash);
	if (!h->config.operators->len &&
	    sodium_memcmp(hash, h->opt.bootstrap_hash, sizeof(hash)) == 0) {
		c->operator_name = "bootstrap";
		return true;
	}
	c->customer = ffl_config_customer_by_token(&h->config, c->ev->token);
	return c->customer &&
	       ffl_command_route(c->ev->command)->role == FFL_ROLE_CALLER;
}

json_t *ffl_command_parse_body(ffl_command_ctx_t *c)
{
	json_error_t err;
	ffl_findings_t fs;
	json_t *json = json_loadb((const char *)c->ev->body.data,
				  c->ev->body.size_bytes,
				  JSON_REJECT_DUPLICATES, &err);

	if (json)
		return json;
	ffl_findings_init(&fs, "body");
	ffl_findings_add(&fs, FFL_MSG_BAD_SYNTAX, "",
			 err.line > 0 ? (uint32_t)err.line : 0,
			 err.column > 0 ? (uint32_t)err.column : 0, "%s",
			 err.text);
	ffl_command_refuse_findings(c, &fs);
	ffl_findings_finish(&fs);
	return NULL;
}

bool ffl_parse_id(const char *text, uint64_t *id)
{
	char *end;

	errno = 0;
	*id = strtoull(text, &end, 10);
	return text[0] >= '0' && text[0] <= '9' && *end == '\0' && errno == 0;
}

void ffl_command_append_record(ffl_host_t *h, ffl_command_ctx_t *c,
			       ffl_record_t *rec, uint64_t target)
{
	ffl_waiter_t w = { .id = c->ev->id,
			   .command = c->ev->command,
			   .target = target,
			   .deadline_ms = c->now_ms + RECORD_TIMEOUT_MS };

	if (!h->caught_up || !ffl_logc_reachable(&h->logc) ||
	    h->waiters->len >= WAITERS_MAX ||
	    ffl_logc_append(&h->logc, rec) != FFL_OK) {
		ffl_command_refuse(
			c, 503, "log-unavailable", "the log is unavailable",
			"the command was not executed; try again later");
		return;
	}
	ffl_counter_add(h->counters, FFL_CTR_APPENDS, 1);
	w.seq = rec->seq;
	w.kind = rec->kind;
	g_array_append_val(h->waiters, w);
}

static void cmd_status(ffl_host_t *h, ffl_command_ctx_t *c)
{
	json_t *cells = json_array();
	json_t *members = json_array();

	for (guint i = 0; i < h->members.cells->len; i++) {
		const ffl_cell_t *cell =
			&g_array_index(h->members.cells, ffl_cell_t, i);
		const ffl_member_t *m =
			ffl_members_find(&h->members, cell->member);

		json_array_append_new(
			cells, json_pack("{s:s,s:s,s:I}", "dc", cell->dc,
					 "leader", m ? m->join.name : "",
					 "epoch", (json_int_t)cell->epoch));
	}
	for (guint i = 0; i < h->members.members->len; i++) {
		const ffl_member_t *m =
			&g_array_index(h->members.members, ffl_member_t, i);

		json_array_append_new(
			members,
			json_pack("{s:s,s:s,s:b,s:I}", "name", m->join.name,
				  "dc", m->join.dc, "alive",
				  (int)ffl_member_alive(&h->members, m,
							c->now_ms),
				  "revision", (json_int_t)m->revision));
	}
	ffl_actions_answer(
		c->out, c->ev->id, 200,
		json_pack("{s:s,s:I,s:I,s:b,s:i,s:o,s:o}", "host",
			  h->opt.self.name, "revision",
			  (json_int_t)h->config.revision, "log_offset",
			  (json_int_t)h->logc.next_offset, "log_reachable",
			  (int)ffl_logc_reachable(&h->logc), "open_jobs",
			  (int)h->gangs.open->len, "cells", cells, "members",
			  members));
}

static void cmd_hosts(ffl_host_t *h, ffl_command_ctx_t *c)
{
	json_t *array = json_array();

	for (uint32_t i = 0; i < ffl_fleet_count(&h->fleet); i++) {
		const ffl_worker_t *w = ffl_fleet_at(&h->fleet, i);

		json_array_append_new(
			array,
			json_pack("{s:s,s:s,s:s,s:i,s:i,s:i,s:b,s:b}", "name",
				  w->info.name, "kind", "worker", "dc",
				  w->info.dc, "rack", (int)w->info.rack,
				  "accelerators", (int)w->info.accelerators,
				  "used", __builtin_popcountll(w->used),
				  "drained", (int)w->drained, "leaving",
				  (int)w->info.leaving));
	}
	for (guint i = 0; i < h->requests.upstreams.items->len; i++) {
		const ffl_upstream_t *u = &g_array_index(
			h->requests.upstreams.items, ffl_upstream_t, i);

		json_array_append_new(
			array,
			json_pack("{s:s,s:s,s:s,s:i,s:i,s:b,s:b}", "name",
				  u->info.name, "kind", "upstream", "dc",
				  u->info.dc, "slots", (int)u->info.slots,
				  "used", (int)u->in_flight, "drained",
				  (int)u->drained, "leaving",
				  (int)u->info.leaving));
	}
	ffl_actions_answer(c->out, c->ev->id, 200, array);
}

void ffl_host_command(ffl_host_t *h, const ffl_ev_command_t *ev,
		      uint64_t now_ms, ffl_actions_t *out)
{
	ffl_command_ctx_t c = { .ev = ev, .now_ms = now_ms, .out = out };

	if (ev->command >= FFL_CMD__MAX) {
		ffl_command_refuse(&c, 404, "unknown-route", "no such route",
				   "");
		return;
	}
	if (!authenticate(h, &c)) {
		ffl_command_refuse(&c, 401, "unknown-token",
				   "the token does not permit this command",
				   "");
		return;
	}
	commands[ev->command](h, &c);
}

bool ffl_host_remove_waiter(ffl_host_t *h, uint64_t writer, uint64_t seq,
			    ffl_waiter_t *w)
{
	if (writer != h->opt.self.member)
		return false;
	for (guint i = 0; i < h->waiters->len; i++) {
		*w = g_array_index(h->waiters, ffl_waiter_t, i);
		if (w->seq != seq)
			continue;
		g_array_remove_index(h->waiters, i);
		return true;
	}
	return false;
}

void ffl_host_on_record(ffl_host_t *h, uint64_t offset, const ffl_record_t *rec,
			ffl_actions_t *out)
{
	const ffl_job_t *job;
	ffl_waiter_t w;

	if (!ffl_host_remove_waiter(h, rec->writer, rec->seq, &w))
		return;
	if (rec->kind == FFL_REC_JOB)
		job = ffl_gangs_find_name(&h->gangs, rec->job.customer,
					  rec->job.name);
	else
		job = ffl_gangs_find(&h->gangs, w.target);
	ffl_actions_answer(out, w.id, rec->kind == FFL_REC_JOB ? 201 : 202,
			   job ? ffl_job_to_json(job) : json_object());
}

void ffl_host_expire_waiters(ffl_host_t *h, uint64_t now_ms, ffl_actions_t *out)
{
	static const ffl_problem_t unknown = {
		.http_status = 504,
		.type = "outcome-unknown",
		.title = "the record was not read back from the log in time",
		.detail = "the command may still take effect; check before "
			  "retrying",
		.ran = FFL_RAN_UNKNOWN
	};
	static const ffl_problem_t refused = {
		.http_status = 503,
		.type = "log-unavailable",
		.title = "the log is unavailable",
		.detail = "the command was not executed; try again later",
		.ran = FFL_RAN_NO
	};

	for (guint i = h->waiters->len; i-- > 0;) {
		ffl_waiter_t *w = &g_array_index(h->waiters, ffl_waiter_t, i);

		if (now_ms < w->deadline_ms)
			continue;
		ffl_actions_problem(out, w->id,
				    ffl_logc_cancel(&h->logc, w->kind, w->seq)
					    ? &refused
					    : &unknown);
		g_array_remove_index(h->waiters, i);
	}
}
