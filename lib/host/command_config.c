/**
 * @file command_config.c
 * @brief Operator commands on the configuration, its plans and its history.
 */
#include <stdio.h>
#include <string.h>

#include "lib/host/command_int.h"
#include "lib/host/plan_int.h"

static void set_drain_dc(const ffl_host_t *h, ffl_intent_t *in);
static bool check_plan(ffl_host_t *h, ffl_command_ctx_t *c,
		       const ffl_pending_t *pending, const ffl_confirm_t *body);
static bool refuse_if_behind(ffl_host_t *h, ffl_command_ctx_t *c);
static bool audit_concerns(const ffl_audit_t *a, const char *subject);
static void resolve_subject(const ffl_host_t *h, const char *arg, char *subject,
			    size_t size_bytes);
static void format_conflict(const ffl_host_t *h, const ffl_confirm_result_t *v,
			    char *text, size_t size_bytes);
static void answer_verdict(const ffl_host_t *h, const ffl_confirm_result_t *v,
			   uint64_t id, ffl_actions_t *out);

/* Stores the data centre of the drained host in the record, so that all hosts
 * that fold it check the plan against the same cell. */
static void set_drain_dc(const ffl_host_t *h, ffl_intent_t *in)
{
	const ffl_worker_t *w;

	if (in->kind != FFL_INTENT_DRAIN && in->kind != FFL_INTENT_UNDRAIN)
		return;
	w = ffl_fleet_find(&h->fleet, in->name);
	ffl_copy(in->dc, sizeof(in->dc), w ? w->info.dc : "");
}

/* Refuses the command if a peer has reported a newer revision than this host
 * has, so that no answer shows an outdated configuration. */
static bool refuse_if_behind(ffl_host_t *h, ffl_command_ctx_t *c)
{
	if (h->caught_up && h->config.revision >= h->peer_revision_max)
		return false;
	ffl_command_refuse(c, 503, "behind",
			   "this host has not caught up with the log",
			   "its configuration may be out of date; try again");
	return true;
}

void ffl_cmd_intent(ffl_host_t *h, ffl_command_ctx_t *c)
{
	ffl_record_t rec = { .kind = FFL_REC_INTENT };
	ffl_findings_t fs;
	json_t *body = ffl_command_parse_body(c);

	if (!body)
		return;
	ffl_findings_init(&fs, "body");
	ffl_schema_from_json(&ffl_intent_schema, body, &rec.intent, &fs);
	json_decref(body);
	if (!fs.errors)
		ffl_intent_check(&rec.intent, &fs);
	ffl_copy(rec.intent.who, sizeof(rec.intent.who), c->operator_name);
	set_drain_dc(h, &rec.intent);
	if (fs.errors)
		ffl_command_refuse_findings(c, &fs);
	else
		ffl_command_append_record(h, c, &rec, 0);
	ffl_findings_finish(&fs);
}

void ffl_cmd_plan(ffl_host_t *h, ffl_command_ctx_t *c)
{
	const ffl_pending_t *plan = NULL;
	uint64_t id;

	if (refuse_if_behind(h, c))
		return;
	if (ffl_parse_id(c->ev->arg, &id))
		plan = ffl_config_pending(&h->config, id);
	if (!plan) {
		ffl_command_refuse(c, 404, "unknown-plan",
				   "plan does not exist", c->ev->arg);
		return;
	}
	ffl_actions_answer(c->out, c->ev->id, 200,
			   ffl_host_plan_to_json(h, plan));
}

/* Refuses a confirmation that this host can tell is wrong. Conflicts with other
 * plans are decided when the record is folded. */
static bool check_plan(ffl_host_t *h, ffl_command_ctx_t *c,
		       const ffl_pending_t *pending, const ffl_confirm_t *body)
{
	bool valid = true;
	ffl_plan_t p;

	ffl_plan_init(&p, h, &pending->intent);
	if (p.status == FFL_OK && !p.findings.errors &&
	    body->blast_radius != p.blast_radius)
		ffl_findings_add(&p.findings, FFL_MSG_OUT_OF_RANGE,
				 "blast_radius", 0, 0,
				 "the plan's blast radius is %u, the "
				 "confirmation has %u",
				 p.blast_radius, body->blast_radius);
	if (p.findings.errors && p.status != FFL_CONFLICT &&
	    body->unreadable >= h->config.unreadable) {
		ffl_command_refuse_findings(c, &p.findings);
		valid = false;
	}
	ffl_plan_finish(&p);
	return valid;
}

void ffl_cmd_confirm(ffl_host_t *h, ffl_command_ctx_t *c)
{
	ffl_record_t rec = { .kind = FFL_REC_CONFIRM };
	const ffl_pending_t *pending;
	ffl_findings_t fs;
	json_t *body;
	uint64_t id;

	if (!ffl_parse_id(c->ev->arg, &id)) {
		ffl_command_refuse(c, 404, "unknown-plan",
				   "plan does not exist", c->ev->arg);
		return;
	}
	body = ffl_command_parse_body(c);
	if (!body)
		return;
	ffl_findings_init(&fs, "body");
	ffl_schema_from_json(&ffl_confirm_schema, body, &rec.confirm, &fs);
	json_decref(body);
	rec.confirm.plan = id;
	ffl_copy(rec.confirm.who, sizeof(rec.confirm.who), c->operator_name);
	pending = ffl_config_pending(&h->config, id);
	if (fs.errors)
		ffl_command_refuse_findings(c, &fs);
	else if (!pending || check_plan(h, c, pending, &rec.confirm))
		ffl_command_append_record(h, c, &rec, id);
	ffl_findings_finish(&fs);
}

void ffl_cmd_config(ffl_host_t *h, ffl_command_ctx_t *c)
{
	if (!refuse_if_behind(h, c))
		ffl_actions_answer(c->out, c->ev->id, 200,
				   ffl_config_to_json(&h->config));
}

void ffl_cmd_history(ffl_host_t *h, ffl_command_ctx_t *c)
{
	if (!refuse_if_behind(h, c))
		ffl_actions_answer(c->out, c->ev->id, 200,
				   ffl_config_history_to_json(&h->config));
}

/* Returns true if the subject is the change's name, plan or revision, or
 * "order" for a change of the preemption order. */
static bool audit_concerns(const ffl_audit_t *a, const char *subject)
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

/* Maps a job id to the job's customer, whose configuration decides about the
 * job. Other arguments, including ids of plans and revisions, are subjects as
 * is. */
static void resolve_subject(const ffl_host_t *h, const char *arg, char *subject,
			    size_t size_bytes)
{
	const ffl_job_t *job = NULL;
	uint64_t id;

	if (ffl_parse_id(arg, &id) && !ffl_config_audit(&h->config, id) &&
	    !ffl_config_audit_by_plan(&h->config, id))
		job = ffl_gangs_find(&h->gangs, id);
	ffl_copy(subject, size_bytes, job ? job->spec.customer : arg);
}

/* Lists the confirmed changes that concern the subject, newest first. */
void ffl_cmd_why(ffl_host_t *h, ffl_command_ctx_t *c)
{
	json_t *array;
	ffl_name_t subject;

	if (refuse_if_behind(h, c))
		return;
	array = json_array();
	resolve_subject(h, c->ev->arg, subject, sizeof(subject));
	for (guint i = h->config.audit->len; i-- > 0;) {
		const ffl_audit_t *a = g_ptr_array_index(h->config.audit, i);

		if (audit_concerns(a, subject))
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
	if (plan && ffl_host_remove_waiter(h, rec->writer, rec->seq, &w))
		ffl_actions_answer(out, w.id, 201,
				   ffl_host_plan_to_json(h, plan));
}

static void format_conflict(const ffl_host_t *h, const ffl_confirm_result_t *v,
			    char *text, size_t size_bytes)
{
	const ffl_audit_t *a =
		v->conflict_revision
			? ffl_config_audit(&h->config, v->conflict_revision)
			: NULL;

	if (v->unreadable)
		snprintf(text, size_bytes, "%s: record %llu", v->detail,
			 (unsigned long long)v->unreadable);
	else if (a)
		snprintf(text, size_bytes, "%s: revision %llu by %s: %s",
			 v->detail, (unsigned long long)a->revision,
			 a->confirmed_by, a->intent.reason);
	else
		snprintf(text, size_bytes, "%s", v->detail);
}

static void answer_verdict(const ffl_host_t *h, const ffl_confirm_result_t *v,
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
					     v->detail));
		return;
	}
	format_conflict(h, v, detail, sizeof(detail));
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
			 const ffl_confirm_result_t *v, ffl_actions_t *out)
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
				   ffl_status_name(v->status), v->detail);
	if (ffl_host_remove_waiter(h, rec->writer, rec->seq, &w))
		answer_verdict(h, v, w.id, out);
}
