#include <string.h>
#include <sodium.h>

#include "fireflyledge/config.h"
#include "lib/config/config_int.h"

void ffl_config_init(ffl_config_t *cfg)
{
	memset(cfg, 0, sizeof(*cfg));
	cfg->customers = g_array_new(FALSE, TRUE, sizeof(ffl_customer_t));
	cfg->guarantees = g_array_new(FALSE, TRUE, sizeof(ffl_guarantee_t));
	cfg->drains = g_array_new(FALSE, TRUE, sizeof(ffl_drain_t));
	cfg->operators = g_array_new(FALSE, TRUE, sizeof(ffl_operator_t));
	cfg->pending = g_array_new(FALSE, TRUE, sizeof(ffl_pending_t));
	cfg->audit = g_array_new(FALSE, TRUE, sizeof(ffl_audit_t));
}

void ffl_config_finish(ffl_config_t *cfg)
{
	g_array_free(cfg->customers, TRUE);
	g_array_free(cfg->guarantees, TRUE);
	g_array_free(cfg->drains, TRUE);
	g_array_free(cfg->operators, TRUE);
	g_array_free(cfg->pending, TRUE);
	g_array_free(cfg->audit, TRUE);
}

void ffl_config_intent(ffl_config_t *cfg, uint64_t offset,
		       const ffl_record_t *rec)
{
	ffl_pending_t p = { .plan = offset,
			    .at_ms = rec->at_ms,
			    .writer = rec->writer,
			    .seq = rec->seq,
			    .intent = rec->intent };

	if (cfg->pending->len >= FFL_PLANS_MAX)
		g_array_remove_index(cfg->pending, 0);
	g_array_append_val(cfg->pending, p);
}

const ffl_pending_t *ffl_config_pending(const ffl_config_t *cfg, uint64_t plan)
{
	for (guint i = 0; i < cfg->pending->len; i++) {
		ffl_pending_t *p =
			&g_array_index(cfg->pending, ffl_pending_t, i);

		if (p->plan == plan)
			return p;
	}
	return NULL;
}

ffl_verdict_t ffl_config_confirm(ffl_config_t *cfg, uint64_t offset,
				 const ffl_record_t *rec)
{
	const ffl_confirm_t *c = &rec->confirm;
	const ffl_pending_t *p = ffl_config_pending(cfg, c->plan);
	ffl_verdict_t v = { .plan = c->plan,
			    .offset = offset,
			    .status = FFL_NOT_FOUND };
	ffl_audit_t entry = { 0 };

	if (!p)
		return v;
	if (c->revision != cfg->revision) {
		v.status = FFL_CONFLICT;
		v.between = cfg->revision;
		return v;
	}
	entry.revision = offset;
	entry.plan = p->plan;
	entry.at_ms = rec->at_ms;
	entry.intent = p->intent;
	ffl_copy(entry.confirmed_by, sizeof(entry.confirmed_by), c->who);
	entry.supersedes = ffl_config_change(cfg, offset, &p->intent);
	entry.chain = ffl_audit_chain(cfg->chain, &entry);
	cfg->chain = entry.chain;
	cfg->revision = offset;
	g_array_remove_index(
		cfg->pending,
		(guint)(p - &g_array_index(cfg->pending, ffl_pending_t, 0)));
	if (cfg->audit->len >= FFL_AUDIT_MAX)
		g_array_remove_index(cfg->audit, 0);
	g_array_append_val(cfg->audit, entry);
	v.status = FFL_OK;
	return v;
}

const ffl_customer_t *ffl_config_customer(const ffl_config_t *cfg,
					  const char *name)
{
	for (guint i = 0; i < cfg->customers->len; i++) {
		ffl_customer_t *c =
			&g_array_index(cfg->customers, ffl_customer_t, i);

		if (strcmp(c->name, name) == 0)
			return c;
	}
	return NULL;
}

const ffl_customer_t *ffl_config_customer_of(const ffl_config_t *cfg,
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

const ffl_operator_t *ffl_config_operator_of(const ffl_config_t *cfg,
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

bool ffl_config_drained(const ffl_config_t *cfg, const char *host)
{
	for (guint i = 0; i < cfg->drains->len; i++) {
		if (strcmp(g_array_index(cfg->drains, ffl_drain_t, i).host,
			   host) == 0)
			return true;
	}
	return false;
}

void ffl_token_hash(const char *token, uint8_t hash[FFL_HASH_BYTES])
{
	crypto_generichash(hash, FFL_HASH_BYTES, (const uint8_t *)token,
			   strlen(token), NULL, 0);
}

uint64_t ffl_config_hash(const ffl_config_t *cfg)
{
	GArray *const parts[] = { cfg->customers, cfg->guarantees, cfg->drains,
				  cfg->operators, cfg->pending,	   cfg->audit };
	uint64_t h = ffl_hash(cfg->order, sizeof(cfg->order), cfg->revision);

	for (size_t i = 0; i < G_N_ELEMENTS(parts); i++)
		h = ffl_hash(parts[i]->data,
			     (size_t)parts[i]->len *
				     g_array_get_element_size(parts[i]),
			     h);
	return h;
}
