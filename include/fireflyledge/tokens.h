/**
 * @file tokens.h
 * @brief Immutable set of the customers' tokens, for the request path.
 *
 * A new set is built when the configuration changes and is not modified
 * afterwards, so that threads read it without a lock. A token is looked up by
 * a hash under a secret key and then compared in constant time, so that the
 * duration of a lookup reveals nothing about the tokens in the set.
 */
#ifndef FFL_TOKENS_H
#define FFL_TOKENS_H

#include "fireflyledge/config.h"

/** A customer's token. */
typedef struct {
	uint64_t tag; /**< hash of token_hash under the set's key */
	uint8_t token_hash[FFL_HASH_BYTES];
	ffl_name_t customer;
} ffl_token_t;

/** Tokens of all customers. */
typedef struct {
	uint64_t revision; /**< of the configuration that it was built from */
	uint64_t key;	   /**< secret; must not be exposed elsewhere */
	uint32_t count;
	ffl_token_t *tokens; /**< sorted by tag */
} ffl_tokens_t;

/** Builds the set from a configuration, under a secret random key. */
void ffl_tokens_init(ffl_tokens_t *set, const ffl_config_t *cfg, uint64_t key);
void ffl_tokens_finish(ffl_tokens_t *set);

/** Returns the name of the customer that owns a token, or NULL. The name is
 * valid as long as the set. */
const char *ffl_tokens_find_customer(const ffl_tokens_t *set,
				     const char *token);

#endif
