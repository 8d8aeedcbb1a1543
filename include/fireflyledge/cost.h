/**
 * @file cost.h
 * @brief Learned cost of requests: mean slot time by customer and kind.
 */
#ifndef FFL_COST_H
#define FFL_COST_H

#include <glib.h>

#include "fireflyledge/types.h"

typedef struct {
	GHashTable *means; /**< mean slot time by cost key */
} ffl_costs_t;

void ffl_costs_init(ffl_costs_t *cs);
void ffl_costs_finish(ffl_costs_t *cs);
/** Returns the cost key: a hash of a customer and a kind of request. */
uint64_t ffl_cost_key(const char *customer, const char *kind);
/** Returns the expected slot time in ms, at least 1. */
uint32_t ffl_costs_expected_ms(const ffl_costs_t *cs, uint64_t key);
/** Updates the mean with the slot time of a request that succeeded. */
void ffl_costs_learn(ffl_costs_t *cs, uint64_t key, uint32_t spent_ms);

#endif
