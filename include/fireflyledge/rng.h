/**
 * @file rng.h
 * @brief Seeded pseudo-random numbers (splitmix64); never a key.
 */
#ifndef FFL_RNG_H
#define FFL_RNG_H

#include <stdint.h>

typedef struct {
	uint64_t state;
} ffl_rng_t;

void ffl_rng_init(ffl_rng_t *rng, uint64_t seed);
uint64_t ffl_rng_next(ffl_rng_t *rng);
/** Returns a number below @p bound; 0 where @p bound is 0. */
uint64_t ffl_rng_below(ffl_rng_t *rng, uint64_t bound);

#endif
