/**
 * @file tokens.h
 * @brief The tokens of customers, immutable, for the request path.
 *
 * A set is built when the configuration changes and never changed after, so
 * that many threads read it without a lock. A token is found by a hash under
 * a secret key and then compared in constant time: how long a search takes
 * tells nothing about the tokens in it.
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

typedef struct {
	uint64_t revision; /**< of the configuration that it was built from */
	uint64_t key;	   /**< secret; its bytes do not repeat elsewhere */
	uint32_t count;
	ffl_token_t *tokens; /**< by tag */
} ffl_tokens_t;

/** Builds the set of a configuration under a secret key. */
void ffl_tokens_init(ffl_tokens_t *set, const ffl_config_t *cfg, uint64_t key);
void ffl_tokens_finish(ffl_tokens_t *set);

/** Returns the customer whose token this is, or NULL. */
const char *ffl_tokens_find_customer(const ffl_tokens_t *set,
				     const char *token);

#endif
