/* Commands of operators about the configuration and its history. */
#include <stdio.h>
#include <string.h>

#include "lib/host/command_int.h"
#include "lib/host/plan_int.h"

static void fill_dc(const ffl_host_t *h, ffl_intent_t *in);
static bool check_plan(ffl_host_t *h, ffl_call_t *c,
		       const ffl_pending_t *pending, const ffl_confirm_t *body);
static bool behind(ffl_host_t *h, ffl_call_t *c);
static bool concerns(const ffl_audit_t *a, const char *subject);
static void subject_of(const ffl_host_t *h, const char *arg, char *subject,
		       size_t size_bytes);
static void explain_conflict(const ffl_host_t *h, const ffl_verdict_t *v,
			     char *text, size_t size_bytes);
static void answer_verdict(const ffl_host_t *h, const ffl_verdict_t *v,
			   uint64_t id, ffl_actions_t *out);

/* The cell of a host is part of the record, so that every host that folds it
 * knows what the plan rests on. */
static void fill_dc(const ffl_host_t *h, ffl_intent_t *in)
{
	const ffl_worker_t *w;

	if (in->kind != FFL_INTENT_DRAIN && in->kind != FFL_INTENT_UNDRAIN)
		return;
	w = ffl_fleet_find(&h->fleet, in->name);
	ffl_copy(in->dc, sizeof(in->dc), w ? w->info.dc : "");
}

/* A host never shows a configuration older than a peer has shown it. */
static bool behind(ffl_host_t *h, ffl_call_t *c)
{
	if (h->caught_up && h->config.revision >= h->shown_revision)
		return false;
	ffl_call_problem(c, 503, "behind", "this host is catching up",
			 "a newer revision exists; try again");
	return true;
}

void ffl_cmd_intent(ffl_host_t *h, ffl_call_t *c)
{
	ffl_record_t rec = { .kind = FFL_REC_INTENT };
	ffl_findings_t fs;
	json_t *body = ffl_call_body(c);

	if (!body)
		return;
	ffl_findings_init(&fs, "body");
	ffl_schema_from_json(&ffl_intent_schema, body, &rec.intent, &fs);
	json_decref(body);
	if (!fs.errors)
		ffl_intent_check(&rec.intent, &fs);
	ffl_copy(rec.intent.who, sizeof(rec.intent.who), c->operator_name);
	fill_dc(h, &rec.intent);
	if (fs.errors)
		ffl_call_findings(c, &fs);
	else
		ffl_call_append(h, c, &rec, 0);
	ffl_findings_finish(&fs);
}

void ffl_cmd_plan(ffl_host_t *h, ffl_call_t *c)
{
	const ffl_pending_t *plan = NULL;
	uint64_t id;

	if (behind(h, c))
		return;
	if (ffl_parse_id(c->ev->arg, &id))
		plan = ffl_config_pending(&h->config, id);
	if (!plan) {
		ffl_call_problem(c, 404, "unknown-plan", "plan does not exist",
				 c->ev->arg);
		return;
	}
	ffl_actions_answer(c->out, c->ev->id, 200,
			   ffl_host_plan_to_json(h, plan));
}

/* Refuses what this host knows to be wrong; the log decides the rest. */
static bool check_plan(ffl_host_t *h, ffl_call_t *c,
		       const ffl_pending_t *pending, const ffl_confirm_t *body)
{
	bool fine = true;
	ffl_plan_t p;

	ffl_plan_init(&p, h, &pending->intent);
	if (p.status == FFL_OK && !p.findings.errors &&
	    body->blast_radius != p.blast_radius)
		ffl_findings_add(
			&p.findings, FFL_MSG_OUT_OF_RANGE, "blast_radius", 0, 0,
			"the plan's blast radius is %u", p.blast_radius);
	if (p.findings.errors && p.status != FFL_CONFLICT &&
	    body->unreadable >= h->config.unreadable) {
		ffl_call_findings(c, &p.findings);
		fine = false;
	}
	ffl_plan_finish(&p);
	return fine;
}

void ffl_cmd_confirm(ffl_host_t *h, ffl_call_t *c)
{
	ffl_record_t rec = { .kind = FFL_REC_CONFIRM };
	const ffl_pending_t *pending;
	ffl_findings_t fs;
	json_t *body;
	uint64_t id;

	if (!ffl_parse_id(c->ev->arg, &id)) {
		ffl_call_problem(c, 404, "unknown-plan", "plan does not exist",
				 c->ev->arg);
		return;
	}
	body = ffl_call_body(c);
	if (!body)
		return;
	ffl_findings_init(&fs, "body");
	ffl_schema_from_json(&ffl_confirm_schema, body, &rec.confirm, &fs);
	json_decref(body);
	rec.confirm.plan = id;
	ffl_copy(rec.confirm.who, sizeof(rec.confirm.who), c->operator_name);
	pending = ffl_config_pending(&h->config, id);
	if (fs.errors)
		ffl_call_findings(c, &fs);
	else if (!pending || check_plan(h, c, pending, &rec.confirm))
		ffl_call_append(h, c, &rec, id);
	ffl_findings_finish(&fs);
}

void ffl_cmd_config(ffl_host_t *h, ffl_call_t *c)
{
	if (!behind(h, c))
		ffl_actions_answer(c->out, c->ev->id, 200,
				   ffl_config_to_json(&h->config));
}

void ffl_cmd_history(ffl_host_t *h, ffl_call_t *c)
{
	if (!behind(h, c))
		ffl_actions_answer(c->out, c->ev->id, 200,
				   ffl_config_history_to_json(&h->config));
}

static bool concerns(const ffl_audit_t *a, const char *subject)
{
	char number[24];

	if (strcmp(a->before.name, subject) == 0)
		return true;
	if (a->before.kind == FFL_INTENT_ORDER && strcmp(subject, "order") == 0)
		return true;
	snprintf(number, sizeof(number), "%llu", (unsigned long long)a->plan);
	if (strcmp(number, subject) == 0)
		return true;
	snprintf(number, sizeof(number), "%llu",
		 (unsigned long long)a->revision);
	return strcmp(number, subject) == 0;
}

/* A job is decided by what was confirmed about its customer. */
static void subject_of(const ffl_host_t *h, const char *arg, char *subject,
		       size_t size_bytes)
{
	const ffl_job_t *job = NULL;
	uint64_t id;

	if (ffl_parse_id(arg, &id) && !ffl_config_audit(&h->config, id) &&
	    !ffl_config_audit_of_plan(&h->config, id))
		job = ffl_gangs_find(&h->gangs, id);
	ffl_copy(subject, size_bytes, job ? job->spec.customer : arg);
}

/* Lists the changes that concern the subject, newest first. */
void ffl_cmd_why(ffl_host_t *h, ffl_call_t *c)
{
	json_t *array;
	ffl_name_t subject;

	if (behind(h, c))
		return;
	array = json_array();
	subject_of(h, c->ev->arg, subject, sizeof(subject));
	for (guint i = h->config.audit->len; i-- > 0;) {
		const ffl_audit_t *a = g_ptr_array_index(h->config.audit, i);

		if (concerns(a, subject))
			json_array_append_new(array,
					      ffl_audit_to_json(&h->config, a));
	}
	ffl_actions_answer(c->out, c->ev->id, 200,
			   json_pack("{s:s,s:s,s:o}", "subject", c->ev->arg,
				     "decided_by", subject, "because", array));
}

void ffl_host_on_intent(ffl_host_t *h, uint64_t offset, const ffl_record_t *rec,
			ffl_actions_t *out)
{
	const ffl_pending_t *plan = ffl_config_pending(&h->config, offset);
	ffl_waiter_t w;

	ffl_counter_add(h->counters, FFL_CTR_PLANS, 1);
	if (plan && ffl_host_take_waiter(h, rec->writer, rec->seq, &w))
		ffl_actions_answer(out, w.id, 201,
				   ffl_host_plan_to_json(h, plan));
}

static void explain_conflict(const ffl_host_t *h, const ffl_verdict_t *v,
			     char *text, size_t size_bytes)
{
	const ffl_audit_t *a =
		v->between ? ffl_config_audit(&h->config, v->between) : NULL;

	if (v->unreadable)
		snprintf(text, size_bytes, "%s: record %llu", v->why,
			 (unsigned long long)v->unreadable);
	else if (a)
		snprintf(text, size_bytes, "%s: revision %llu by %s: %s",
			 v->why, (unsigned long long)a->revision,
			 a->confirmed_by, a->intent.reason);
	else
		snprintf(text, size_bytes, "%s", v->why);
}

static void answer_verdict(const ffl_host_t *h, const ffl_verdict_t *v,
			   uint64_t id, ffl_actions_t *out)
{
	char detail[FFL_REASON_BYTES * 2];
	ffl_problem_t p = { .http_status = 409,
			    .type = "stale-plan",
			    .title = "configuration changed since the plan",
			    .detail = detail,
			    .ran = FFL_RAN_NO };

	if (v->status == FFL_OK) {
		ffl_actions_answer(out, id, 200,
				   json_pack("{s:I,s:I,s:b,s:s}", "plan",
					     (json_int_t)v->plan, "revision",
					     (json_int_t)v->revision, "already",
					     (int)v->repeated, "detail",
					     v->why));
		return;
	}
	explain_conflict(h, v, detail, sizeof(detail));
	if (v->repeated) {
		p.type = "superseded";
		p.title = "the plan took effect and was superseded";
	} else if (v->status != FFL_CONFLICT) {
		p.http_status = v->status == FFL_NOT_FOUND ? 404 : 422;
		p.type = "unknown-plan";
		p.title = "the plan cannot take effect";
	}
	ffl_actions_problem(out, id, &p);
}

void ffl_host_on_verdict(ffl_host_t *h, const ffl_record_t *rec,
			 const ffl_verdict_t *v, ffl_actions_t *out)
{
	bool in_force = v->status == FFL_OK;
	ffl_waiter_t w;

	ffl_counter_add(h->counters,
			in_force ? FFL_CTR_CONFIRMED : FFL_CTR_CONFLICTS, 1);
	if (h->caught_up)
		ffl_actions_report(out, FFL_LEVEL_NOTE,
				   in_force ? "plan-confirmed"
					    : "plan-rejected",
				   rec->confirm.who, "plan %llu: %s %s",
				   (unsigned long long)v->plan,
				   ffl_status_name(v->status), v->why);
	if (ffl_host_take_waiter(h, rec->writer, rec->seq, &w))
		answer_verdict(h, v, w.id, out);
}
