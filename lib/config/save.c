/*
 * Saving and loading of the configuration.
 */
#include <string.h>

#include "fireflyledge/save.h"
#include "lib/config/config_int.h"
#include "lib/wire/fields.h"

/** Most objects of a kind in a saved state, against damaged input. */
#define OBJECTS_MAX (1U << 20)

static const char *scope_name(uint32_t value);
static void save_pending(const ffl_config_t *cfg, GByteArray *out);
static void load_pending(ffl_config_t *cfg, ffl_loader_t *l);
static void save_audit(const ffl_config_t *cfg, GByteArray *out);
static void load_audit(ffl_config_t *cfg, ffl_loader_t *l);

static const char *const scope_names[FFL_SCOPE__MAX] = {
	[FFL_SCOPE_CELL] = "cell",	   [FFL_SCOPE_HOST] = "host",
	[FFL_SCOPE_CUSTOMER] = "customer", [FFL_SCOPE_OPERATOR] = "operator",
	[FFL_SCOPE_ORDER] = "order",
};

static const ffl_field_t config_fields[] = {
	FIELD_U64(ffl_config_t, revision),
	FIELD_TEXT(ffl_config_t, order),
	FIELD_U64(ffl_config_t, order_revision),
	FIELD_U64(ffl_config_t, scope_floor),
	FIELD_U64(ffl_config_t, unreadable),
	FIELD_U64(ffl_config_t, dropped),
	FIELD_HASH(ffl_config_t, base),
	FIELD_HASH(ffl_config_t, chain),
};

static const ffl_field_t customer_fields[] = {
	FIELD_TEXT(ffl_customer_t, name),
	FIELD_HASH(ffl_customer_t, token_hash),
	FIELD_U32(ffl_customer_t, weight, 0),
	FIELD_U32(ffl_customer_t, quota_accelerators, 0),
	FIELD_U32(ffl_customer_t, rate_per_s, 0),
	FIELD_U32(ffl_customer_t, burst, 0),
	FIELD_U32(ffl_customer_t, concurrent, 0),
	FIELD_U64(ffl_customer_t, revision),
};

static const ffl_field_t guarantee_fields[] = {
	FIELD_TEXT(ffl_guarantee_t, customer),
	FIELD_TEXT(ffl_guarantee_t, dc),
	FIELD_U32(ffl_guarantee_t, count, 0),
	FIELD_U32(ffl_guarantee_t, accelerators, 0),
	FIELD_ENUM(ffl_guarantee_t, adjacency, FFL_ADJ__MAX,
		   ffl_field_adjacency_name),
	FIELD_U64(ffl_guarantee_t, revision),
};

static const ffl_field_t drain_fields[] = {
	FIELD_TEXT(ffl_drain_t, host),
	FIELD_U64(ffl_drain_t, revision),
};

static const ffl_field_t operator_fields[] = {
	FIELD_TEXT(ffl_operator_t, name),
	FIELD_HASH(ffl_operator_t, token_hash),
	FIELD_U64(ffl_operator_t, revision),
};

static const ffl_field_t scope_fields[] = {
	FIELD_ENUM(ffl_scope_t, kind, FFL_SCOPE__MAX, scope_name),
	FIELD_TEXT(ffl_scope_t, name),
	FIELD_U64(ffl_scope_t, revision),
};

static const ffl_field_t pending_fields[] = {
	FIELD_U64(ffl_pending_t, plan),
	FIELD_U64(ffl_pending_t, at_ms),
	FIELD_U64(ffl_pending_t, writer),
	FIELD_U64(ffl_pending_t, seq),
};

static const ffl_schema_t config_schema = SCHEMA(ffl_config_t, config_fields);
static const ffl_schema_t customer_schema =
	SCHEMA(ffl_customer_t, customer_fields);
static const ffl_schema_t guarantee_schema =
	SCHEMA(ffl_guarantee_t, guarantee_fields);
static const ffl_schema_t drain_schema = SCHEMA(ffl_drain_t, drain_fields);
static const ffl_schema_t operator_schema =
	SCHEMA(ffl_operator_t, operator_fields);
static const ffl_schema_t scope_schema = SCHEMA(ffl_scope_t, scope_fields);
static const ffl_schema_t pending_schema =
	SCHEMA(ffl_pending_t, pending_fields);

static const char *scope_name(uint32_t value)
{
	return value < FFL_SCOPE__MAX ? scope_names[value] : "?";
}

static void save_pending(const ffl_config_t *cfg, GByteArray *out)
{
	ffl_save_u64(cfg->pending->len, out);
	for (guint i = 0; i < cfg->pending->len; i++) {
		const ffl_pending_t *p = g_ptr_array_index(cfg->pending, i);

		ffl_schema_encode(&pending_schema, p, out);
		ffl_schema_encode(&ffl_intent_schema, &p->intent, out);
	}
}

static void load_pending(ffl_config_t *cfg, ffl_loader_t *l)
{
	uint64_t count;

	if (!ffl_load_u64(l, &count, FFL_PLANS_MAX))
		return;
	for (uint64_t i = 0; i < count && l->status == FFL_OK; i++) {
		ffl_pending_t *p = g_new0(ffl_pending_t, 1);
		ffl_intent_t intent;

		g_ptr_array_add(cfg->pending, p);
		ffl_load(l, &pending_schema, p);
		if (ffl_load(l, &ffl_intent_schema, &intent))
			p->intent = intent;
	}
}

static void save_audit(const ffl_config_t *cfg, GByteArray *out)
{
	ffl_save_u64(cfg->audit->len, out);
	for (guint i = 0; i < cfg->audit->len; i++)
		ffl_audit_encode(g_ptr_array_index(cfg->audit, i), out);
}

/* Recomputes the chain hash of each entry; the last must match the saved
 * one. */
static void load_audit(ffl_config_t *cfg, ffl_loader_t *l)
{
	GByteArray *scratch = g_byte_array_sized_new(1024);
	uint8_t chain[FFL_HASH_BYTES];
	uint64_t count = 0;

	memcpy(chain, cfg->base, sizeof(chain));
	ffl_load_u64(l, &count, FFL_AUDIT_MAX);
	for (uint64_t i = 0; i < count && l->status == FFL_OK; i++) {
		ffl_audit_t *a = g_new0(ffl_audit_t, 1);
		size_t used = 0;

		g_ptr_array_add(cfg->audit, a);
		l->status = ffl_audit_decode(l->rest, a, &l->arena, &used);
		l->rest.data += used;
		l->rest.size_bytes -= used;
		l->used_bytes += used;
		ffl_audit_chain_hash(chain, a, scratch, a->chain);
		memcpy(chain, a->chain, sizeof(chain));
		g_hash_table_insert(cfg->by_plan, &a->plan, a);
	}
	g_byte_array_free(scratch, TRUE);
	if (memcmp(chain, cfg->chain, sizeof(chain)) != 0)
		l->status = FFL_INVALID;
}

void ffl_config_save(const ffl_config_t *cfg, GByteArray *out)
{
	ffl_schema_encode(&config_schema, cfg, out);
	ffl_save_array(&customer_schema, cfg->customers, out);
	ffl_save_array(&guarantee_schema, cfg->guarantees, out);
	ffl_save_array(&drain_schema, cfg->drains, out);
	ffl_save_array(&operator_schema, cfg->operators, out);
	ffl_save_array(&scope_schema, cfg->scopes, out);
	save_pending(cfg, out);
	save_audit(cfg, out);
}

ffl_status_t ffl_config_load(ffl_config_t *cfg, ffl_bytes_t in,
			     size_t *used_bytes)
{
	ffl_config_t scalars;
	ffl_config_t fresh;
	ffl_loader_t l;

	ffl_loader_init(&l, in);
	ffl_config_init(&fresh);
	if (ffl_load(&l, &config_schema, &scalars)) {
		fresh.revision = scalars.revision;
		fresh.order_revision = scalars.order_revision;
		fresh.scope_floor = scalars.scope_floor;
		fresh.unreadable = scalars.unreadable;
		fresh.dropped = scalars.dropped;
		memcpy(fresh.order, scalars.order, sizeof(fresh.order));
		memcpy(fresh.base, scalars.base, sizeof(fresh.base));
		memcpy(fresh.chain, scalars.chain, sizeof(fresh.chain));
	}
	ffl_load_array(&l, &customer_schema, fresh.customers, OBJECTS_MAX);
	ffl_load_array(&l, &guarantee_schema, fresh.guarantees, OBJECTS_MAX);
	ffl_load_array(&l, &drain_schema, fresh.drains, OBJECTS_MAX);
	ffl_load_array(&l, &operator_schema, fresh.operators, OBJECTS_MAX);
	ffl_load_array(&l, &scope_schema, fresh.scopes, FFL_SCOPES_MAX);
	load_pending(&fresh, &l);
	load_audit(&fresh, &l);
	*used_bytes = l.used_bytes;
	ffl_config_finish(l.status == FFL_OK ? cfg : &fresh);
	if (l.status == FFL_OK)
		*cfg = fresh;
	ffl_loader_finish(&l);
	return l.status;
}
