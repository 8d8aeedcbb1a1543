/*
 * JSON of the configuration, of images and of the audit trail.
 */
#include <sodium.h>

#include "fireflyledge/config.h"

static json_t *guarantee_to_json(const ffl_guarantee_t *g);
static json_t *customer_to_json(const ffl_customer_t *c);

static json_t *guarantee_to_json(const ffl_guarantee_t *g)
{
	return json_pack("{s:s,s:s,s:i,s:i,s:s,s:I}", "customer", g->customer,
			 "dc", g->dc, "count", (int)g->count, "accelerators",
			 (int)g->accelerators, "adjacency",
			 ffl_adjacency_name(g->adjacency), "revision",
			 (json_int_t)g->revision);
}

static json_t *customer_to_json(const ffl_customer_t *c)
{
	return json_pack("{s:s,s:I,s:I,s:I,s:I,s:I,s:I}", "name", c->name,
			 "weight", (json_int_t)c->weight, "quota_accelerators",
			 (json_int_t)c->quota_accelerators, "rate_per_s",
			 (json_int_t)c->rate_per_s, "burst",
			 (json_int_t)c->burst, "concurrent",
			 (json_int_t)c->concurrent, "revision",
			 (json_int_t)c->revision);
}

json_t *ffl_config_to_json(const ffl_config_t *cfg)
{
	json_t *customers = json_array();
	json_t *guarantees = json_array();
	json_t *drains = json_array();

	for (guint i = 0; i < cfg->customers->len; i++)
		json_array_append_new(
			customers, customer_to_json(&g_array_index(
					   cfg->customers, ffl_customer_t, i)));
	for (guint i = 0; i < cfg->guarantees->len; i++)
		json_array_append_new(
			guarantees,
			guarantee_to_json(&g_array_index(cfg->guarantees,
							 ffl_guarantee_t, i)));
	for (guint i = 0; i < cfg->drains->len; i++)
		json_array_append_new(
			drains,
			json_string(g_array_index(cfg->drains, ffl_drain_t, i)
					    .host));
	return json_pack("{s:I,s:s,s:o,s:o,s:o}", "revision",
			 (json_int_t)cfg->revision, "order", cfg->order,
			 "customers", customers, "guarantees", guarantees,
			 "drains", drains);
}

/* Only the fields that objects of this kind have. */
json_t *ffl_image_to_json(const ffl_intent_t *im)
{
	if (im->remove)
		return json_null();
	switch (im->kind) {
	case FFL_INTENT_GUARANTEE:
		return json_pack("{s:s,s:s,s:I,s:I,s:s}", "customer", im->name,
				 "dc", im->dc, "count", (json_int_t)im->count,
				 "accelerators", (json_int_t)im->accelerators,
				 "adjacency",
				 ffl_adjacency_name(im->adjacency));
	case FFL_INTENT_ORDER:
		return json_pack("{s:s}", "order", im->order);
	case FFL_INTENT_DRAIN:
		return json_pack("{s:s}", "drained", im->name);
	case FFL_INTENT_OPERATOR:
		return json_pack("{s:s}", "operator", im->name);
	default:
		return json_pack("{s:s,s:I,s:I,s:I,s:I,s:I}", "customer",
				 im->name, "weight", (json_int_t)im->weight,
				 "quota_accelerators",
				 (json_int_t)im->quota_accelerators,
				 "rate_per_s", (json_int_t)im->rate_per_s,
				 "burst", (json_int_t)im->burst, "concurrent",
				 (json_int_t)im->concurrent);
	}
}

json_t *ffl_audit_to_json(const ffl_config_t *cfg, const ffl_audit_t *a)
{
	const ffl_audit_t *later = ffl_config_audit_successor(cfg, a);
	char chain[2 * FFL_HASH_BYTES + 1];

	sodium_bin2hex(chain, sizeof(chain), a->chain, sizeof(a->chain));
	return json_pack(
		"{s:I,s:I,s:I,s:I,s:I,s:s,s:s,s:s,s:s,s:o,s:o,s:s}", "revision",
		(json_int_t)a->revision, "plan", (json_int_t)a->plan, "at_ms",
		(json_int_t)a->at_ms, "supersedes", (json_int_t)a->supersedes,
		"superseded_by", (json_int_t)(later ? later->revision : 0),
		"kind", ffl_intent_kind_name(a->intent.kind), "reason",
		a->intent.reason, "who", a->intent.who, "confirmed_by",
		a->confirmed_by, "intent",
		ffl_schema_to_json(&ffl_intent_schema, &a->intent), "before",
		ffl_image_to_json(&a->before), "chain", chain);
}

json_t *ffl_config_history_to_json(const ffl_config_t *cfg)
{
	json_t *array = json_array();

	for (guint i = 0; i < cfg->audit->len; i++)
		json_array_append_new(
			array, ffl_audit_to_json(
				       cfg, g_ptr_array_index(cfg->audit, i)));
	return json_pack("{s:b,s:I,s:o}", "verified",
			 (int)ffl_config_verify_audit(cfg), "dropped",
			 (json_int_t)cfg->dropped, "entries", array);
}
