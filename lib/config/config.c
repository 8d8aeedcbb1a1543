/*
 * The configuration: pending plans, their confirmation, and lookups.
 */
#include <string.h>
#include <sodium.h>

#include "fireflyledge/config.h"
#include "lib/config/config_int.h"

static gint compare_plan_offset(gconstpointer key, gconstpointer item);
static bool find_pending(const ffl_config_t *cfg, uint64_t plan, guint *index);
static void set_repeated_result(const ffl_config_t *cfg, const ffl_audit_t *a,
				ffl_confirm_result_t *v);
static void check_confirmation(const ffl_config_t *cfg, const ffl_confirm_t *c,
			       const ffl_intent_t *intent, ffl_intent_t *before,
			       ffl_intent_t *after, ffl_confirm_result_t *v);
static void apply_plan(ffl_config_t *cfg, uint64_t offset,
		       const ffl_record_t *rec, const ffl_pending_t *p,
		       const ffl_intent_t *after);

void ffl_config_init(ffl_config_t *cfg)
{
	memset(cfg, 0, sizeof(*cfg));
	cfg->customers = g_array_new(FALSE, TRUE, sizeof(ffl_customer_t));
	cfg->guarantees = g_array_new(FALSE, TRUE, sizeof(ffl_guarantee_t));
	cfg->drains = g_array_new(FALSE, TRUE, sizeof(ffl_drain_t));
	cfg->operators = g_array_new(FALSE, TRUE, sizeof(ffl_operator_t));
	cfg->scopes = g_array_new(FALSE, TRUE, sizeof(ffl_scope_t));
	cfg->pending = g_ptr_array_new_with_free_func(g_free);
	cfg->audit = g_ptr_array_new_with_free_func(g_free);
	cfg->by_plan = g_hash_table_new(g_int64_hash, g_int64_equal);
}

void ffl_config_finish(ffl_config_t *cfg)
{
	g_hash_table_destroy(cfg->by_plan);
	g_array_free(cfg->customers, TRUE);
	g_array_free(cfg->guarantees, TRUE);
	g_array_free(cfg->drains, TRUE);
	g_array_free(cfg->operators, TRUE);
	g_array_free(cfg->scopes, TRUE);
	g_ptr_array_free(cfg->pending, TRUE);
	g_ptr_array_free(cfg->audit, TRUE);
}

void ffl_config_apply_intent(ffl_config_t *cfg, uint64_t offset,
			     const ffl_record_t *rec)
{
	ffl_pending_t *p = g_new0(ffl_pending_t, 1);

	p->plan = offset;
	p->at_ms = rec->at_ms;
	p->writer = rec->writer;
	p->seq = rec->seq;
	p->intent = rec->intent;
	if (cfg->pending->len >= FFL_PLANS_MAX)
		g_ptr_array_remove_index(cfg->pending, 0);
	g_ptr_array_add(cfg->pending, p);
}

static gint compare_plan_offset(gconstpointer key, gconstpointer item)
{
	uint64_t plan = *(const uint64_t *)key;
	const ffl_pending_t *p = item;

	return plan < p->plan ? -1 : plan > p->plan;
}

static bool find_pending(const ffl_config_t *cfg, uint64_t plan, guint *index)
{
	guint low = 0;
	guint high = cfg->pending->len;

	while (low < high) {
		guint mid = low + (high - low) / 2;
		gint d = compare_plan_offset(
			&plan, g_ptr_array_index(cfg->pending, mid));

		if (d == 0) {
			*index = mid;
			return true;
		}
		if (d < 0)
			high = mid;
		else
			low = mid + 1;
	}
	return false;
}

const ffl_pending_t *ffl_config_pending(const ffl_config_t *cfg, uint64_t plan)
{
	guint index;

	if (!find_pending(cfg, plan, &index))
		return NULL;
	return g_ptr_array_index(cfg->pending, index);
}

static void set_repeated_result(const ffl_config_t *cfg, const ffl_audit_t *a,
				ffl_confirm_result_t *v)
{
	const ffl_audit_t *later = ffl_config_audit_successor(cfg, a);

	v->repeated = true;
	v->revision = a->revision;
	v->status = later ? FFL_CONFLICT : FFL_OK;
	v->conflict_revision = later ? later->revision : 0;
	v->detail = later ? "the plan took effect and was superseded later"
			  : "the plan is in force already";
}

static void check_confirmation(const ffl_config_t *cfg, const ffl_confirm_t *c,
			       const ffl_intent_t *intent, ffl_intent_t *before,
			       ffl_intent_t *after, ffl_confirm_result_t *v)
{
	if (c->revision > cfg->revision) {
		v->status = FFL_INVALID;
		v->detail = "the confirmation names a revision that is still "
			    "to come";
		return;
	}
	if (c->unreadable < cfg->unreadable) {
		v->status = FFL_CONFLICT;
		v->unreadable = cfg->unreadable;
		v->detail = "an earlier configuration record is unreadable to "
			    "this version";
		return;
	}
	v->conflict_revision =
		ffl_config_newest_conflict(cfg, intent, c->revision);
	if (v->conflict_revision) {
		v->status = FFL_CONFLICT;
		v->detail = "configuration that the plan depends on was "
			    "changed after the plan was shown";
		return;
	}
	v->status = ffl_config_preview(cfg, intent, before, after, &v->detail,
				       &v->conflict_revision);
}

static void apply_plan(ffl_config_t *cfg, uint64_t offset,
		       const ffl_record_t *rec, const ffl_pending_t *p,
		       const ffl_intent_t *after)
{
	ffl_scope_t scopes[FFL_INTENT_SCOPES_MAX];
	uint32_t n = ffl_intent_scopes(cfg, &p->intent, scopes);
	ffl_audit_t entry = { .revision = offset,
			      .plan = p->plan,
			      .at_ms = rec->at_ms };

	entry.intent = p->intent;
	ffl_copy(entry.confirmed_by, sizeof(entry.confirmed_by),
		 rec->confirm.who);
	entry.supersedes = ffl_image_get(cfg, after, &entry.before);
	ffl_image_set(cfg, offset, after);
	ffl_scopes_mark_changed(cfg, scopes, n, offset);
	ffl_audit_append(cfg, &entry);
	cfg->revision = offset;
}

ffl_confirm_result_t ffl_config_apply_confirm(ffl_config_t *cfg,
					      uint64_t offset,
					      const ffl_record_t *rec)
{
	const ffl_confirm_t *c = &rec->confirm;
	const ffl_audit_t *done = ffl_config_audit_by_plan(cfg, c->plan);
	const ffl_pending_t *p;
	ffl_confirm_result_t v = { .plan = c->plan,
				   .offset = offset,
				   .status = FFL_NOT_FOUND,
				   .detail = "the plan does not exist" };
	ffl_intent_t before;
	ffl_intent_t after;
	guint index;

	if (done) {
		set_repeated_result(cfg, done, &v);
		return v;
	}
	if (!find_pending(cfg, c->plan, &index))
		return v;
	p = g_ptr_array_index(cfg->pending, index);
	check_confirmation(cfg, c, &p->intent, &before, &after, &v);
	if (v.status != FFL_OK)
		return v;
	apply_plan(cfg, offset, rec, p, &after);
	v.revision = offset;
	g_ptr_array_remove_index(cfg->pending, index);
	return v;
}

void ffl_config_set_unreadable(ffl_config_t *cfg, uint64_t offset)
{
	cfg->unreadable = offset;
}

const ffl_customer_t *ffl_config_customer(const ffl_config_t *cfg,
					  const char *name)
{
	return ffl_sorted_find(cfg->customers, name, ffl_compare_names);
}

const ffl_customer_t *ffl_config_customer_by_token(const ffl_config_t *cfg,
						   const char *token)
{
	const ffl_customer_t *found = NULL;
	uint8_t hash[FFL_HASH_BYTES];

	ffl_token_hash(token, hash);
	for (guint i = 0; i < cfg->customers->len; i++) {
		ffl_customer_t *c =
			&g_array_index(cfg->customers, ffl_customer_t, i);

		if (sodium_memcmp(c->token_hash, hash, sizeof(hash)) == 0)
			found = c;
	}
	return found;
}

const ffl_operator_t *ffl_config_operator_by_token(const ffl_config_t *cfg,
						   const char *token)
{
	const ffl_operator_t *found = NULL;
	uint8_t hash[FFL_HASH_BYTES];

	ffl_token_hash(token, hash);
	for (guint i = 0; i < cfg->operators->len; i++) {
		ffl_operator_t *o =
			&g_array_index(cfg->operators, ffl_operator_t, i);

		if (sodium_memcmp(o->token_hash, hash, sizeof(hash)) == 0)
			found = o;
	}
	return found;
}

bool ffl_config_host_drained(const ffl_config_t *cfg, const char *host)
{
	return ffl_sorted_find(cfg->drains, host, ffl_compare_names) != NULL;
}

const ffl_guarantee_t *ffl_config_guarantee(const ffl_config_t *cfg,
					    const ffl_intent_t *shape)
{
	ffl_guarantee_t key = { .accelerators = shape->accelerators,
				.adjacency = shape->adjacency };

	ffl_copy(key.customer, sizeof(key.customer), shape->name);
	ffl_copy(key.dc, sizeof(key.dc), shape->dc);
	return ffl_sorted_find(cfg->guarantees, &key, ffl_compare_guarantees);
}

uint32_t ffl_config_order_rank(const ffl_config_t *cfg, const char *kind)
{
	size_t len = strlen(kind);
	const char *p = cfg->order;
	uint32_t rank = 0;

	while (*p) {
		size_t word;

		p += strspn(p, ", ");
		word = strcspn(p, ", ");
		if (!word)
			break;
		if (word == len && memcmp(p, kind, len) == 0)
			return rank;
		p += word;
		rank++;
	}
	return UINT32_MAX;
}

void ffl_token_hash(const char *token, uint8_t hash[FFL_HASH_BYTES])
{
	crypto_generichash(hash, FFL_HASH_BYTES, (const uint8_t *)token,
			   strlen(token), NULL, 0);
}

uint64_t ffl_config_hash(const ffl_config_t *cfg)
{
	GByteArray *bytes = g_byte_array_new();
	uint64_t h;

	ffl_config_save(cfg, bytes);
	h = ffl_hash(bytes->data, bytes->len, 0);
	g_byte_array_free(bytes, TRUE);
	return h;
}
