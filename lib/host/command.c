#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sodium.h>

#include "fireflyledge/host.h"
#include "lib/host/command_int.h"
#include "lib/host/host_int.h"

/** Time that a command waits for its record, in milliseconds. */
#define WAIT_MS 5000
/** Commands that wait for a record at most. */
#define WAITERS_MAX 1024

typedef void (*command_fn_t)(ffl_host_t *h, ffl_call_t *c);

static void cmd_intent(ffl_host_t *h, ffl_call_t *c);
static void cmd_plan(ffl_host_t *h, ffl_call_t *c);
static void cmd_confirm(ffl_host_t *h, ffl_call_t *c);
static void cmd_config(ffl_host_t *h, ffl_call_t *c);
static void cmd_history(ffl_host_t *h, ffl_call_t *c);
static void cmd_why(ffl_host_t *h, ffl_call_t *c);
static void cmd_status(ffl_host_t *h, ffl_call_t *c);
static void cmd_hosts(ffl_host_t *h, ffl_call_t *c);
static bool authenticate(ffl_host_t *h, ffl_call_t *c);
static bool take_waiter(ffl_host_t *h, uint64_t writer, uint64_t seq,
			ffl_waiter_t *w);

static const command_fn_t commands[FFL_CMD__MAX] = {
	[FFL_CMD_INTENT] = cmd_intent,	   [FFL_CMD_PLAN] = cmd_plan,
	[FFL_CMD_CONFIRM] = cmd_confirm,   [FFL_CMD_CONFIG] = cmd_config,
	[FFL_CMD_HISTORY] = cmd_history,   [FFL_CMD_WHY] = cmd_why,
	[FFL_CMD_STATUS] = cmd_status,	   [FFL_CMD_HOSTS] = cmd_hosts,
	[FFL_CMD_JOBS] = ffl_cmd_jobs,	   [FFL_CMD_SUBMIT] = ffl_cmd_submit,
	[FFL_CMD_JOB] = ffl_cmd_job,	   [FFL_CMD_JOB_WHY] = ffl_cmd_job_why,
	[FFL_CMD_CANCEL] = ffl_cmd_cancel,
};

void ffl_call_problem(ffl_call_t *c, uint32_t http_status, const char *type,
		      const char *title, const char *detail)
{
	ffl_problem_t p = { .http_status = http_status,
			    .type = type,
			    .title = title,
			    .detail = detail,
			    .ran = FFL_RAN_NO };

	ffl_actions_problem(c->out, c->ev->id, &p);
}

void ffl_call_findings_problem(ffl_call_t *c, const ffl_findings_t *fs)
{
	const ffl_finding_t *first = ffl_findings_at(fs, 0);
	ffl_problem_t p = { .http_status = 422,
			    .type = "invalid",
			    .title = "the input breaks a rule",
			    .detail = first->detail,
			    .field = first->key,
			    .ran = FFL_RAN_NO,
			    .findings = fs };

	ffl_actions_problem(c->out, c->ev->id, &p);
}

static bool authenticate(ffl_host_t *h, ffl_call_t *c)
{
	const ffl_operator_t *op;
	uint8_t hash[FFL_HASH_BYTES];

	op = ffl_config_operator_of(&h->config, c->ev->token);
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
	c->customer = ffl_config_customer_of(&h->config, c->ev->token);
	return c->customer &&
	       ffl_command_route(c->ev->command)->role == FFL_ROLE_CALLER;
}

json_t *ffl_call_parse_body(ffl_call_t *c)
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
	ffl_call_findings_problem(c, &fs);
	ffl_findings_finish(&fs);
	return NULL;
}

bool ffl_call_parse_id(const char *text, uint64_t *id)
{
	char *end;

	errno = 0;
	*id = strtoull(text, &end, 10);
	return text[0] >= '0' && text[0] <= '9' && *end == '\0' && errno == 0;
}

void ffl_call_append_and_wait(ffl_host_t *h, ffl_call_t *c, ffl_record_t *rec,
			      uint64_t plan)
{
	ffl_waiter_t w = { .id = c->ev->id,
			   .command = c->ev->command,
			   .plan = plan,
			   .deadline_ms = c->now_ms + WAIT_MS };

	if (!ffl_logc_reachable(&h->logc) || h->waiters->len >= WAITERS_MAX ||
	    ffl_logc_append(&h->logc, rec) != FFL_OK) {
		ffl_call_problem(c, 503, "log-unavailable",
				 "the log does not take records now",
				 "nothing was changed; try again later");
		return;
	}
	ffl_count(h->counters, FFL_CTR_APPENDS, 1);
	w.seq = rec->seq;
	g_array_append_val(h->waiters, w);
}

static void cmd_intent(ffl_host_t *h, ffl_call_t *c)
{
	ffl_record_t rec = { .kind = FFL_REC_INTENT };
	ffl_findings_t fs;
	json_t *body = ffl_call_parse_body(c);

	if (!body)
		return;
	ffl_findings_init(&fs, "body");
	ffl_schema_from_json(&ffl_intent_schema, body, &rec.intent, &fs);
	json_decref(body);
	if (!fs.errors)
		ffl_intent_check(&rec.intent, &fs);
	ffl_copy(rec.intent.who, sizeof(rec.intent.who), c->operator_name);
	if (fs.errors)
		ffl_call_findings_problem(c, &fs);
	else
		ffl_call_append_and_wait(h, c, &rec, 0);
	ffl_findings_finish(&fs);
}

static void cmd_plan(ffl_host_t *h, ffl_call_t *c)
{
	const ffl_pending_t *plan = NULL;
	uint64_t id;

	if (ffl_call_parse_id(c->ev->arg, &id))
		plan = ffl_config_pending(&h->config, id);
	if (!plan) {
		ffl_call_problem(c, 404, "unknown-plan", "plan does not exist",
				 c->ev->arg);
		return;
	}
	ffl_actions_answer(c->out, c->ev->id, 200,
			   ffl_host_plan_to_json(h, plan));
}

static void cmd_confirm(ffl_host_t *h, ffl_call_t *c)
{
	ffl_record_t rec = { .kind = FFL_REC_CONFIRM };
	ffl_findings_t fs;
	json_t *body;
	uint64_t id;

	if (!ffl_call_parse_id(c->ev->arg, &id)) {
		ffl_call_problem(c, 404, "unknown-plan", "plan does not exist",
				 c->ev->arg);
		return;
	}
	body = ffl_call_parse_body(c);
	if (!body)
		return;
	ffl_findings_init(&fs, "body");
	ffl_schema_from_json(&ffl_confirm_schema, body, &rec.confirm, &fs);
	json_decref(body);
	rec.confirm.plan = id;
	ffl_copy(rec.confirm.who, sizeof(rec.confirm.who), c->operator_name);
	if (fs.errors)
		ffl_call_findings_problem(c, &fs);
	else
		ffl_call_append_and_wait(h, c, &rec, id);
	ffl_findings_finish(&fs);
}

static void cmd_config(ffl_host_t *h, ffl_call_t *c)
{
	ffl_actions_answer(c->out, c->ev->id, 200,
			   ffl_config_to_json(&h->config));
}

static void cmd_history(ffl_host_t *h, ffl_call_t *c)
{
	ffl_actions_answer(c->out, c->ev->id, 200,
			   ffl_config_history_to_json(&h->config));
}

/* Lists the changes whose intent names the subject, newest first. */
static void cmd_why(ffl_host_t *h, ffl_call_t *c)
{
	json_t *array = json_array();

	for (guint i = h->config.audit->len; i-- > 0;) {
		const ffl_audit_t *a =
			&g_array_index(h->config.audit, ffl_audit_t, i);

		if (strcmp(a->intent.name, c->ev->arg) != 0)
			continue;
		json_array_append_new(
			array,
			json_pack("{s:I,s:s,s:s,s:s,s:s,s:I}", "revision",
				  (json_int_t)a->revision, "intent",
				  ffl_intent_kind_name(a->intent.kind),
				  "reason", a->intent.reason, "who",
				  a->intent.who, "confirmed_by",
				  a->confirmed_by, "at_ms",
				  (json_int_t)a->at_ms));
	}
	ffl_actions_answer(c->out, c->ev->id, 200,
			   json_pack("{s:s,s:o}", "subject", c->ev->arg,
				     "because", array));
}

static void cmd_status(ffl_host_t *h, ffl_call_t *c)
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

static void cmd_hosts(ffl_host_t *h, ffl_call_t *c)
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
	ffl_call_t c = { .ev = ev, .now_ms = now_ms, .out = out };

	if (ev->command >= FFL_CMD__MAX) {
		ffl_call_problem(&c, 404, "unknown-route", "no such route", "");
		return;
	}
	if (!authenticate(h, &c)) {
		ffl_call_problem(&c, 401, "unknown-token",
				 "the token does not allow this", "");
		return;
	}
	commands[ev->command](h, &c);
}

static bool take_waiter(ffl_host_t *h, uint64_t writer, uint64_t seq,
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

void ffl_host_on_intent(ffl_host_t *h, uint64_t offset, const ffl_record_t *rec,
			ffl_actions_t *out)
{
	const ffl_pending_t *plan = ffl_config_pending(&h->config, offset);
	ffl_waiter_t w;

	ffl_count(h->counters, FFL_CTR_PLANS, 1);
	if (plan && take_waiter(h, rec->writer, rec->seq, &w))
		ffl_actions_answer(out, w.id, 201,
				   ffl_host_plan_to_json(h, plan));
}

void ffl_host_on_verdict(ffl_host_t *h, const ffl_record_t *rec,
			 const ffl_verdict_t *v, ffl_actions_t *out)
{
	ffl_waiter_t w;
	ffl_problem_t p = { .http_status = 409,
			    .type = "stale-plan",
			    .title = "configuration changed since the plan",
			    .detail = "another change came first",
			    .ran = FFL_RAN_NO };

	ffl_count(h->counters,
		  v->status == FFL_OK ? FFL_CTR_CONFIRMED : FFL_CTR_CONFLICTS,
		  1);
	ffl_actions_report(
		out, FFL_LEVEL_NOTE,
		v->status == FFL_OK ? "plan-confirmed" : "plan-rejected",
		rec->confirm.who, "plan %llu: %s", (unsigned long long)v->plan,
		ffl_status_name(v->status));
	if (!take_waiter(h, rec->writer, rec->seq, &w))
		return;
	if (v->status == FFL_OK) {
		ffl_actions_answer(out, w.id, 200,
				   json_pack("{s:I,s:I}", "plan",
					     (json_int_t)v->plan, "revision",
					     (json_int_t)v->offset));
		return;
	}
	if (v->status == FFL_NOT_FOUND) {
		p.http_status = 404;
		p.type = "unknown-plan";
		p.title = "plan does not exist";
		p.detail = "it was confirmed before or never stated";
	}
	ffl_actions_problem(out, w.id, &p);
}

void ffl_host_on_record(ffl_host_t *h, uint64_t offset, const ffl_record_t *rec,
			ffl_actions_t *out)
{
	const ffl_job_t *job;
	ffl_waiter_t w;

	if (!take_waiter(h, rec->writer, rec->seq, &w))
		return;
	if (rec->kind == FFL_REC_JOB)
		job = ffl_gangs_find_name(&h->gangs, rec->job.customer,
					  rec->job.name);
	else
		job = ffl_gangs_find(&h->gangs, w.plan);
	ffl_actions_answer(out, w.id, rec->kind == FFL_REC_JOB ? 201 : 202,
			   job ? ffl_job_to_json(job) : json_object());
}

void ffl_host_expire_waiters(ffl_host_t *h, uint64_t now_ms, ffl_actions_t *out)
{
	ffl_problem_t p = { .http_status = 504,
			    .type = "outcome-unknown",
			    .title = "the log has not shown the record yet",
			    .detail = "it may still take effect; look again",
			    .ran = FFL_RAN_UNKNOWN };

	for (guint i = h->waiters->len; i-- > 0;) {
		ffl_waiter_t *w = &g_array_index(h->waiters, ffl_waiter_t, i);

		if (now_ms < w->deadline_ms)
			continue;
		ffl_actions_problem(out, w->id, &p);
		g_array_remove_index(h->waiters, i);
	}
}
