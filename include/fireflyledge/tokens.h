/**
 * @file tokens.h
 * @brief The tokens of customers, immutable, for the request path.
 *
 * A set is built when the configuration changes and never changed after, so
 * that many threads read it without a lock.
 */
#ifndef FFL_TOKENS_H
#define FFL_TOKENS_H

#include "fireflyledge/config.h"

/** A customer's token. */
typedef struct {
	uint8_t token_hash[FFL_HASH_BYTES];
	ffl_name_t customer;
} ffl_token_t;

typedef struct {
	uint64_t revision;
	uint32_t count;
	ffl_token_t *tokens; /**< by hash */
} ffl_tokens_t;

/** Builds the set of a configuration. */
void ffl_tokens_init(ffl_tokens_t *set, const ffl_config_t *cfg);
void ffl_tokens_finish(ffl_tokens_t *set);

/** Returns the customer whose token this is, or NULL. */
const char *ffl_tokens_customer_of(const ffl_tokens_t *set, const char *token);

#endif
