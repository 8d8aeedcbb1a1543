#include <stdlib.h>
#include <string.h>

#include "fireflyledge/tokens.h"

static int compare_tokens(const void *a, const void *b);

static int compare_tokens(const void *a, const void *b)
{
	return memcmp(((const ffl_token_t *)a)->token_hash,
		      ((const ffl_token_t *)b)->token_hash, FFL_HASH_BYTES);
}

void ffl_tokens_init(ffl_tokens_t *set, const ffl_config_t *cfg)
{
	set->revision = cfg->revision;
	set->count = cfg->customers->len;
	set->tokens = g_new0(ffl_token_t, set->count + 1);
	for (uint32_t i = 0; i < set->count; i++) {
		const ffl_customer_t *c =
			&g_array_index(cfg->customers, ffl_customer_t, i);

		memcpy(set->tokens[i].token_hash, c->token_hash,
		       FFL_HASH_BYTES);
		ffl_copy(set->tokens[i].customer, FFL_NAME_BYTES, c->name);
	}
	qsort(set->tokens, set->count, sizeof(*set->tokens), compare_tokens);
}

void ffl_tokens_finish(ffl_tokens_t *set)
{
	g_free(set->tokens);
	set->tokens = NULL;
	set->count = 0;
}

/* The search compares hashes of tokens: how long it takes tells nothing of
 * a token that hashes to them. */
const char *ffl_tokens_customer_of(const ffl_tokens_t *set, const char *token)
{
	const ffl_token_t *found;
	ffl_token_t probe = { .customer = "" };

	ffl_token_hash(token, probe.token_hash);
	found = bsearch(&probe, set->tokens, set->count, sizeof(*set->tokens),
			compare_tokens);
	return found ? found->customer : NULL;
}
