/**
 * @file rng.h
 * @brief Seeded pseudo-random numbers (splitmix64), reproducible from the seed.
 *
 * Not cryptographic: never use them for keys or tokens.
 */
#ifndef FFL_RNG_H
#define FFL_RNG_H

#include <stdint.h>

/** State of a generator; use one per thread. */
typedef struct {
	uint64_t state;
} ffl_rng_t;

void ffl_rng_init(ffl_rng_t *rng, uint64_t seed);
/** Returns the next 64 random bits. */
uint64_t ffl_rng_next(ffl_rng_t *rng);
/** Returns a number in 0..bound-1, or 0 if @p bound is 0. */
uint64_t ffl_rng_below(ffl_rng_t *rng, uint64_t bound);

#endif
