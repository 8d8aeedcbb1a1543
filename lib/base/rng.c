/**
 * @file rng.c
 * @brief splitmix64 pseudo-random number generator.
 */
#include "fireflyledge/rng.h"

void ffl_rng_init(ffl_rng_t *rng, uint64_t seed)
{
	rng->state = seed;
}

uint64_t ffl_rng_next(ffl_rng_t *rng)
{
	uint64_t z;

	rng->state += 0x9e3779b97f4a7c15ULL;
	z = rng->state;
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

uint64_t ffl_rng_below(ffl_rng_t *rng, uint64_t bound)
{
	return bound ? ffl_rng_next(rng) % bound : 0;
}
