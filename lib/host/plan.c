/**
 * @file plan.c
 * @brief Computing of plans and their JSON form.
 */
#include <string.h>

#include "lib/host/plan_int.h"

static void add_refusal(ffl_plan_t *p, const ffl_intent_t *in, const char *why,
			uint64_t between);
static void check_no_change(ffl_plan_t *p);

static void add_refusal(ffl_plan_t *p, const ffl_intent_t *in, const char *why,
			uint64_t between)
{
	bool withdraw = in->kind == FFL_INTENT_WITHDRAW;
	ffl_msg_t msg = FFL_MSG_BAD_VALUE;

	if (p->status == FFL_CONFLICT)
		msg = FFL_MSG_STALE_PLAN;
	else if (!withdraw)
		msg = FFL_MSG_UNKNOWN_CUSTOMER;
	ffl_findings_add(&p->findings, msg, withdraw ? "revision" : "name", 0,
			 0, between ? "%s: revision %llu" : "%s", why,
			 (unsigned long long)between);
}

static void check_no_change(ffl_plan_t *p)
{
	GByteArray *a = g_byte_array_new();
	GByteArray *b = g_byte_array_new();

	ffl_schema_encode(&ffl_intent_schema, &p->before, a);
	ffl_schema_encode(&ffl_intent_schema, &p->after, b);
	if (a->len == b->len && memcmp(a->data, b->data, a->len) == 0)
		ffl_findings_add(&p->findings, FFL_MSG_NO_CHANGE, "", 0, 0,
				 "the intent changes nothing");
	g_byte_array_free(a, TRUE);
	g_byte_array_free(b, TRUE);
}

void ffl_plan_init(ffl_plan_t *p, const ffl_host_t *h, const ffl_intent_t *in)
{
	const char *why;
	uint64_t between;

	memset(p, 0, sizeof(*p));
	ffl_findings_init(&p->findings, "plan");
	p->status = ffl_config_preview(&h->config, in, &p->before, &p->after,
				       &why, &between);
	if (p->status != FFL_OK) {
		add_refusal(p, in, why, between);
		return;
	}
	ffl_plan_check(p, h);
	check_no_change(p);
	if (h->config.unreadable)
		ffl_findings_add(&p->findings, FFL_MSG_STALE_PLAN, "unreadable",
				 0, 0,
				 "record %llu was written by a later version; "
				 "confirm through a host of that version",
				 (unsigned long long)h->config.unreadable);
}

void ffl_plan_finish(ffl_plan_t *p)
{
	ffl_findings_finish(&p->findings);
}

json_t *ffl_host_plan_to_json(const ffl_host_t *h, const ffl_pending_t *pending)
{
	ffl_plan_t p;
	json_t *json;

	ffl_plan_init(&p, h, &pending->intent);
	json = json_pack(
		"{s:I,s:I,s:o,s:{s:o,s:o},s:I,s:I,s:o}", "plan",
		(json_int_t)pending->plan, "revision",
		(json_int_t)h->config.revision, "intent",
		ffl_schema_to_json(&ffl_intent_schema, &pending->intent),
		"diff", "before", ffl_image_to_json(&p.before), "after",
		ffl_image_to_json(&p.after), "blast_radius",
		(json_int_t)p.blast_radius, "unreadable",
		(json_int_t)h->config.unreadable, "findings",
		ffl_findings_to_json(&p.findings));
	ffl_plan_finish(&p);
	return json;
}
