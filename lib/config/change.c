#include <string.h>

#include "lib/config/config_int.h"

/** Applies one kind of intent; returns the replaced revision. */
typedef uint64_t (*change_fn_t)(ffl_config_t *cfg, uint64_t revision,
				const ffl_intent_t *in);

static uint64_t change_guarantee(ffl_config_t *cfg, uint64_t revision,
				 const ffl_intent_t *in);
static uint64_t change_order(ffl_config_t *cfg, uint64_t revision,
			     const ffl_intent_t *in);
static uint64_t change_drain(ffl_config_t *cfg, uint64_t revision,
			     const ffl_intent_t *in);
static uint64_t change_undrain(ffl_config_t *cfg, uint64_t revision,
			       const ffl_intent_t *in);
static uint64_t change_customer(ffl_config_t *cfg, uint64_t revision,
				const ffl_intent_t *in);
static uint64_t change_operator(ffl_config_t *cfg, uint64_t revision,
				const ffl_intent_t *in);
static uint64_t change_limit(ffl_config_t *cfg, uint64_t revision,
			     const ffl_intent_t *in);
static uint64_t change_withdraw(ffl_config_t *cfg, uint64_t revision,
				const ffl_intent_t *in);
static gint compare_guarantees(gconstpointer a, gconstpointer b);
static gint compare_names(gconstpointer a, gconstpointer b);
static gpointer find_name(GArray *array, const char *name);
static gpointer ensure_name(GArray *array, const char *name);

static const change_fn_t changes[FFL_INTENT__MAX] = {
	[FFL_INTENT_GUARANTEE] = change_guarantee,
	[FFL_INTENT_ORDER] = change_order,
	[FFL_INTENT_DRAIN] = change_drain,
	[FFL_INTENT_UNDRAIN] = change_undrain,
	[FFL_INTENT_CUSTOMER] = change_customer,
	[FFL_INTENT_OPERATOR] = change_operator,
	[FFL_INTENT_LIMIT] = change_limit,
	[FFL_INTENT_WITHDRAW] = change_withdraw,
};

/* Customers, drains and operators all begin with their name. */
static gint compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(a, b);
}

static gpointer find_name(GArray *array, const char *name)
{
	guint size = g_array_get_element_size(array);

	for (guint i = 0; i < array->len; i++) {
		gchar *item = array->data + (gsize)i * size;

		if (strcmp(item, name) == 0)
			return item;
	}
	return NULL;
}

/* Returns the item of a name, adding it where it is missing. */
static gpointer ensure_name(GArray *array, const char *name)
{
	gpointer item = find_name(array, name);
	guint size = g_array_get_element_size(array);

	if (item)
		return item;
	g_array_set_size(array, array->len + 1);
	item = array->data + (gsize)(array->len - 1) * size;
	ffl_copy(item, FFL_NAME_BYTES, name);
	g_array_sort(array, compare_names);
	item = find_name(array, name);
	g_assert(item);
	return item;
}

static gint compare_guarantees(gconstpointer pa, gconstpointer pb)
{
	const ffl_guarantee_t *a = pa;
	const ffl_guarantee_t *b = pb;
	int d = strcmp(a->customer, b->customer);

	if (!d)
		d = strcmp(a->dc, b->dc);
	if (!d)
		d = (int)a->accelerators - (int)b->accelerators;
	return d ? d : (int)a->adjacency - (int)b->adjacency;
}

static uint64_t change_guarantee(ffl_config_t *cfg, uint64_t revision,
				 const ffl_intent_t *in)
{
	ffl_guarantee_t g = { .count = in->count,
			      .accelerators = in->accelerators,
			      .adjacency = in->adjacency,
			      .revision = revision };
	uint64_t old = 0;

	ffl_copy(g.customer, sizeof(g.customer), in->name);
	ffl_copy(g.dc, sizeof(g.dc), in->dc);
	for (guint i = 0; i < cfg->guarantees->len; i++) {
		ffl_guarantee_t *have =
			&g_array_index(cfg->guarantees, ffl_guarantee_t, i);

		if (compare_guarantees(have, &g) != 0)
			continue;
		old = have->revision;
		g_array_remove_index(cfg->guarantees, i);
		break;
	}
	if (!g.count)
		return old;
	g_array_append_val(cfg->guarantees, g);
	g_array_sort(cfg->guarantees, compare_guarantees);
	return old;
}

static uint64_t change_order(ffl_config_t *cfg, uint64_t revision,
			     const ffl_intent_t *in)
{
	uint64_t old = cfg->order_revision;

	memset(cfg->order, 0, sizeof(cfg->order));
	ffl_copy(cfg->order, sizeof(cfg->order), in->order);
	cfg->order_revision = revision;
	return old;
}

static uint64_t change_drain(ffl_config_t *cfg, uint64_t revision,
			     const ffl_intent_t *in)
{
	ffl_drain_t *have = find_name(cfg->drains, in->name);
	ffl_drain_t d = { .revision = revision };

	if (have)
		return have->revision;
	ffl_copy(d.host, sizeof(d.host), in->name);
	g_array_append_val(cfg->drains, d);
	g_array_sort(cfg->drains, compare_names);
	return 0;
}

static uint64_t change_undrain(ffl_config_t *cfg, uint64_t revision,
			       const ffl_intent_t *in)
{
	ffl_drain_t *have = find_name(cfg->drains, in->name);
	uint64_t old;

	if (!have)
		return 0;
	old = have->revision;
	g_array_remove_index(
		cfg->drains,
		(guint)(have - &g_array_index(cfg->drains, ffl_drain_t, 0)));
	return old;
}

static uint64_t change_customer(ffl_config_t *cfg, uint64_t revision,
				const ffl_intent_t *in)
{
	ffl_customer_t *c = ensure_name(cfg->customers, in->name);
	uint64_t old = c->revision;

	memcpy(c->token_hash, in->token_hash, sizeof(c->token_hash));
	c->weight = in->weight ? in->weight : 1;
	c->quota_accelerators = in->quota_accelerators;
	c->revision = revision;
	return old;
}

static uint64_t change_operator(ffl_config_t *cfg, uint64_t revision,
				const ffl_intent_t *in)
{
	ffl_operator_t *o = ensure_name(cfg->operators, in->name);
	uint64_t old = o->revision;

	memcpy(o->token_hash, in->token_hash, sizeof(o->token_hash));
	o->revision = revision;
	return old;
}

static uint64_t change_limit(ffl_config_t *cfg, uint64_t revision,
			     const ffl_intent_t *in)
{
	ffl_customer_t *c = find_name(cfg->customers, in->name);
	uint64_t old;

	if (!c)
		return 0;
	old = c->revision;
	c->rate_per_s = in->rate_per_s;
	c->burst = in->burst;
	c->concurrent = in->concurrent;
	c->revision = revision;
	return old;
}

/* Undoes a guarantee or a drain by applying its opposite. */
static uint64_t change_withdraw(ffl_config_t *cfg, uint64_t revision,
				const ffl_intent_t *in)
{
	for (guint i = 0; i < cfg->audit->len; i++) {
		const ffl_audit_t *a =
			&g_array_index(cfg->audit, ffl_audit_t, i);
		ffl_intent_t undo = a->intent;

		if (a->revision != in->revision)
			continue;
		if (undo.kind == FFL_INTENT_GUARANTEE) {
			undo.count = 0;
			return change_guarantee(cfg, revision, &undo);
		}
		if (undo.kind == FFL_INTENT_DRAIN)
			return change_undrain(cfg, revision, &undo);
	}
	return 0;
}

uint64_t ffl_config_change(ffl_config_t *cfg, uint64_t revision,
			   const ffl_intent_t *intent)
{
	return changes[intent->kind](cfg, revision, intent);
}

uint64_t ffl_audit_chain(uint64_t previous, const ffl_audit_t *entry)
{
	GByteArray *bytes = g_byte_array_new();
	uint64_t h;

	ffl_schema_encode(&ffl_intent_schema, &entry->intent, bytes);
	h = ffl_hash(bytes->data, bytes->len, previous);
	h = ffl_mix(h, entry->revision);
	h = ffl_hash(entry->confirmed_by, strlen(entry->confirmed_by), h);
	g_byte_array_free(bytes, TRUE);
	return h;
}
