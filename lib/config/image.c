/*
 * Images: the state of one object, expressed as the intent that would
 * recreate it. A change reads the image, modifies it and writes it back; its
 * withdrawal writes back the image that was read.
 */
#include <string.h>

#include "lib/config/config_int.h"

/** Reads and writes objects of one kind. */
typedef struct {
	uint64_t (*get)(const ffl_config_t *cfg, ffl_intent_t *image);
	void (*set)(ffl_config_t *cfg, uint64_t revision,
		    const ffl_intent_t *image);
} object_ops_t;

static uint64_t get_guarantee(const ffl_config_t *cfg, ffl_intent_t *image);
static void set_guarantee(ffl_config_t *cfg, uint64_t revision,
			  const ffl_intent_t *image);
static uint64_t get_order(const ffl_config_t *cfg, ffl_intent_t *image);
static void set_order(ffl_config_t *cfg, uint64_t revision,
		      const ffl_intent_t *image);
static uint64_t get_drain(const ffl_config_t *cfg, ffl_intent_t *image);
static void set_drain(ffl_config_t *cfg, uint64_t revision,
		      const ffl_intent_t *image);
static uint64_t get_customer(const ffl_config_t *cfg, ffl_intent_t *image);
static void set_customer(ffl_config_t *cfg, uint64_t revision,
			 const ffl_intent_t *image);
static uint64_t get_operator(const ffl_config_t *cfg, ffl_intent_t *image);
static void set_operator(ffl_config_t *cfg, uint64_t revision,
			 const ffl_intent_t *image);
static ffl_guarantee_t guarantee_key(const ffl_intent_t *image);

/** The kind of image for each kind of intent. */
static const ffl_intent_kind_t object_kinds[FFL_INTENT__MAX] = {
	[FFL_INTENT_GUARANTEE] = FFL_INTENT_GUARANTEE,
	[FFL_INTENT_ORDER] = FFL_INTENT_ORDER,
	[FFL_INTENT_DRAIN] = FFL_INTENT_DRAIN,
	[FFL_INTENT_UNDRAIN] = FFL_INTENT_DRAIN,
	[FFL_INTENT_CUSTOMER] = FFL_INTENT_CUSTOMER,
	[FFL_INTENT_OPERATOR] = FFL_INTENT_OPERATOR,
	[FFL_INTENT_LIMIT] = FFL_INTENT_CUSTOMER,
	[FFL_INTENT_WITHDRAW] = FFL_INTENT_WITHDRAW,
};

static const object_ops_t object_ops[FFL_INTENT__MAX] = {
	[FFL_INTENT_GUARANTEE] = { get_guarantee, set_guarantee },
	[FFL_INTENT_ORDER] = { get_order, set_order },
	[FFL_INTENT_DRAIN] = { get_drain, set_drain },
	[FFL_INTENT_CUSTOMER] = { get_customer, set_customer },
	[FFL_INTENT_OPERATOR] = { get_operator, set_operator },
};

static ffl_guarantee_t guarantee_key(const ffl_intent_t *image)
{
	ffl_guarantee_t key = { .accelerators = image->accelerators,
				.adjacency = image->adjacency };

	ffl_copy(key.customer, sizeof(key.customer), image->name);
	ffl_copy(key.dc, sizeof(key.dc), image->dc);
	return key;
}

static uint64_t get_guarantee(const ffl_config_t *cfg, ffl_intent_t *image)
{
	ffl_guarantee_t key = guarantee_key(image);
	const ffl_guarantee_t *g =
		ffl_sorted_find(cfg->guarantees, &key, ffl_compare_guarantees);

	image->count = g ? g->count : 0;
	image->remove = !g;
	return g ? g->revision : 0;
}

static void set_guarantee(ffl_config_t *cfg, uint64_t revision,
			  const ffl_intent_t *image)
{
	ffl_guarantee_t key = guarantee_key(image);
	ffl_guarantee_t *g;

	if (image->remove || !image->count) {
		ffl_sorted_remove(cfg->guarantees, &key,
				  ffl_compare_guarantees);
		return;
	}
	g = ffl_sorted_get_or_insert(cfg->guarantees, &key,
				     ffl_compare_guarantees);
	g->count = image->count;
	g->revision = revision;
}

static uint64_t get_order(const ffl_config_t *cfg, ffl_intent_t *image)
{
	memcpy(image->order, cfg->order, sizeof(image->order));
	image->remove = !cfg->order[0];
	return cfg->order_revision;
}

static void set_order(ffl_config_t *cfg, uint64_t revision,
		      const ffl_intent_t *image)
{
	memset(cfg->order, 0, sizeof(cfg->order));
	if (!image->remove)
		ffl_copy(cfg->order, sizeof(cfg->order), image->order);
	cfg->order_revision = revision;
}

static uint64_t get_drain(const ffl_config_t *cfg, ffl_intent_t *image)
{
	const ffl_drain_t *d =
		ffl_sorted_find(cfg->drains, image->name, ffl_compare_names);

	image->remove = !d;
	return d ? d->revision : 0;
}

static void set_drain(ffl_config_t *cfg, uint64_t revision,
		      const ffl_intent_t *image)
{
	ffl_drain_t key = { .revision = revision };
	ffl_drain_t *d;

	ffl_copy(key.host, sizeof(key.host), image->name);
	if (image->remove) {
		ffl_sorted_remove(cfg->drains, &key, ffl_compare_names);
		return;
	}
	d = ffl_sorted_get_or_insert(cfg->drains, &key, ffl_compare_names);
	d->revision = revision;
}

static uint64_t get_customer(const ffl_config_t *cfg, ffl_intent_t *image)
{
	const ffl_customer_t *c = ffl_config_customer(cfg, image->name);

	image->remove = !c;
	if (!c)
		return 0;
	memcpy(image->token_hash, c->token_hash, sizeof(c->token_hash));
	image->weight = c->weight;
	image->quota_accelerators = c->quota_accelerators;
	image->rate_per_s = c->rate_per_s;
	image->burst = c->burst;
	image->concurrent = c->concurrent;
	return c->revision;
}

static void set_customer(ffl_config_t *cfg, uint64_t revision,
			 const ffl_intent_t *image)
{
	ffl_customer_t key = { .revision = revision };
	ffl_customer_t *c;

	ffl_copy(key.name, sizeof(key.name), image->name);
	if (image->remove) {
		ffl_sorted_remove(cfg->customers, &key, ffl_compare_names);
		return;
	}
	c = ffl_sorted_get_or_insert(cfg->customers, &key, ffl_compare_names);
	memcpy(c->token_hash, image->token_hash, sizeof(c->token_hash));
	c->weight = image->weight;
	c->quota_accelerators = image->quota_accelerators;
	c->rate_per_s = image->rate_per_s;
	c->burst = image->burst;
	c->concurrent = image->concurrent;
	c->revision = revision;
}

static uint64_t get_operator(const ffl_config_t *cfg, ffl_intent_t *image)
{
	const ffl_operator_t *o =
		ffl_sorted_find(cfg->operators, image->name, ffl_compare_names);

	image->remove = !o;
	if (!o)
		return 0;
	memcpy(image->token_hash, o->token_hash, sizeof(o->token_hash));
	return o->revision;
}

static void set_operator(ffl_config_t *cfg, uint64_t revision,
			 const ffl_intent_t *image)
{
	ffl_operator_t key = { .revision = revision };
	ffl_operator_t *o;

	ffl_copy(key.name, sizeof(key.name), image->name);
	if (image->remove) {
		ffl_sorted_remove(cfg->operators, &key, ffl_compare_names);
		return;
	}
	o = ffl_sorted_get_or_insert(cfg->operators, &key, ffl_compare_names);
	memcpy(o->token_hash, image->token_hash, sizeof(o->token_hash));
	o->revision = revision;
}

uint64_t ffl_image_get(const ffl_config_t *cfg, const ffl_intent_t *intent,
		       ffl_intent_t *image)
{
	memset(image, 0, sizeof(*image));
	image->kind = object_kinds[intent->kind];
	ffl_copy(image->name, sizeof(image->name), intent->name);
	ffl_copy(image->dc, sizeof(image->dc), intent->dc);
	image->accelerators = intent->accelerators;
	image->adjacency = intent->adjacency;
	return object_ops[image->kind].get(cfg, image);
}

void ffl_image_set(ffl_config_t *cfg, uint64_t revision,
		   const ffl_intent_t *image)
{
	object_ops[image->kind].set(cfg, revision, image);
}

bool ffl_image_same_object(const ffl_intent_t *a, const ffl_intent_t *b)
{
	if (a->kind != b->kind)
		return false;
	if (a->kind == FFL_INTENT_ORDER)
		return true;
	if (strcmp(a->name, b->name) != 0)
		return false;
	return a->kind != FFL_INTENT_GUARANTEE ||
	       (strcmp(a->dc, b->dc) == 0 &&
		a->accelerators == b->accelerators &&
		a->adjacency == b->adjacency);
}
