/*
 * Lookup of customers by token.
 */
#include <stdlib.h>
#include <string.h>
#include <sodium.h>

#include "fireflyledge/tokens.h"

static int compare_tags(const void *a, const void *b);
static uint64_t token_tag(const ffl_tokens_t *set, const uint8_t *token_hash);

static int compare_tags(const void *pa, const void *pb)
{
	uint64_t a = ((const ffl_token_t *)pa)->tag;
	uint64_t b = ((const ffl_token_t *)pb)->tag;

	return (a > b) - (a < b);
}

static uint64_t token_tag(const ffl_tokens_t *set, const uint8_t *token_hash)
{
	return ffl_hash(token_hash, FFL_HASH_BYTES, set->key);
}

void ffl_tokens_init(ffl_tokens_t *set, const ffl_config_t *cfg, uint64_t key)
{
	set->revision = cfg->revision;
	set->key = key;
	set->count = cfg->customers->len;
	set->tokens = g_new0(ffl_token_t, set->count + 1);
	for (uint32_t i = 0; i < set->count; i++) {
		const ffl_customer_t *c =
			&g_array_index(cfg->customers, ffl_customer_t, i);
		ffl_token_t *t = &set->tokens[i];

		t->tag = token_tag(set, c->token_hash);
		memcpy(t->token_hash, c->token_hash, FFL_HASH_BYTES);
		ffl_copy(t->customer, FFL_NAME_BYTES, c->name);
	}
	qsort(set->tokens, set->count, sizeof(*set->tokens), compare_tags);
}

void ffl_tokens_finish(ffl_tokens_t *set)
{
	g_free(set->tokens);
	set->tokens = NULL;
	set->count = 0;
}

const char *ffl_tokens_find_customer(const ffl_tokens_t *set, const char *token)
{
	const ffl_token_t *found;
	ffl_token_t wanted = { .customer = "" };

	ffl_token_hash(token, wanted.token_hash);
	wanted.tag = token_tag(set, wanted.token_hash);
	found = bsearch(&wanted, set->tokens, set->count, sizeof(*set->tokens),
			compare_tags);
	if (!found || sodium_memcmp(found->token_hash, wanted.token_hash,
				    FFL_HASH_BYTES) != 0)
		return NULL;
	return found->customer;
}
