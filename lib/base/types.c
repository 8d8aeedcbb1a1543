/**
 * @file types.c
 * @brief Names of basic enums; string copy and hashing.
 */
#include <string.h>
#include <xxhash.h>

#include "fireflyledge/types.h"

static const char *const urgency_names[FFL_URGENCY__MAX] = {
	[FFL_URGENT] = "urgent",
	[FFL_NORMAL] = "normal",
	[FFL_BATCH] = "batch",
};

static const char *const adjacency_names[FFL_ADJ__MAX] = {
	[FFL_ADJ_WORKER] = "worker",
	[FFL_ADJ_RACK] = "rack",
	[FFL_ADJ_DC] = "dc",
};

static const char *const ran_names[FFL_RAN__MAX] = {
	[FFL_RAN_NO] = "no",
	[FFL_RAN_YES] = "yes",
	[FFL_RAN_UNKNOWN] = "unknown",
};

const char *ffl_urgency_name(ffl_urgency_t urgency)
{
	return urgency < FFL_URGENCY__MAX ? urgency_names[urgency] : "?";
}

const char *ffl_adjacency_name(ffl_adjacency_t adjacency)
{
	return adjacency < FFL_ADJ__MAX ? adjacency_names[adjacency] : "?";
}

const char *ffl_ran_name(ffl_ran_t ran)
{
	return ran < FFL_RAN__MAX ? ran_names[ran] : "?";
}

bool ffl_copy(char *dst, size_t dst_bytes, const char *src)
{
	size_t n = strnlen(src, dst_bytes);
	bool fits = n < dst_bytes;

	if (!fits)
		n = dst_bytes - 1;
	memcpy(dst, src, n);
	dst[n] = '\0';
	return fits;
}

uint64_t ffl_mix(uint64_t a, uint64_t b)
{
	uint64_t z = a + 0x9e3779b97f4a7c15ULL * (b + 1);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

uint64_t ffl_hash(const void *data, size_t size_bytes, uint64_t seed)
{
	return XXH3_64bits_withSeed(data, size_bytes, seed);
}
