/**
 * @file types.h
 * @brief Names, limits and small values that every aggregate shares.
 */
#ifndef FFL_TYPES_H
#define FFL_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Longest name of a customer, host, region or data centre. */
#define FFL_NAME_BYTES 48
/** Longest reason that an operator gives. */
#define FFL_REASON_BYTES 256
/** Longest idempotency key. */
#define FFL_KEY_BYTES 80
/** Longest network address, "ip:port". */
#define FFL_ADDR_BYTES 48
/** Bytes of a token's hash. */
#define FFL_HASH_BYTES 32
/** Accelerator slots a worker may have: one bit each in a mask. */
#define FFL_WORKER_SLOTS_MAX 64
/** Members of the largest gang. */
#define FFL_GANG_MAX 256

typedef char ffl_name_t[FFL_NAME_BYTES];

/** Urgency of a request or a job, most urgent first. */
typedef enum {
	FFL_URGENT,
	FFL_NORMAL,
	FFL_BATCH,
	FFL_URGENCY__MAX
} ffl_urgency_t;

/** How near to each other the accelerators of a job must be. */
typedef enum {
	FFL_ADJ_WORKER, /**< one aligned block in one worker */
	FFL_ADJ_RACK,	/**< whole neighbouring workers of one rack */
	FFL_ADJ_DC,	/**< neighbouring racks of one data centre */
	FFL_ADJ__MAX
} ffl_adjacency_t;

/** Whether work has run, as far as this host can prove. */
typedef enum {
	FFL_RAN_NO,
	FFL_RAN_YES,
	FFL_RAN_UNKNOWN,
	FFL_RAN__MAX
} ffl_ran_t;

/** A run of bytes that somebody else owns. */
typedef struct {
	const uint8_t *data;
	size_t size_bytes;
} ffl_bytes_t;

const char *ffl_urgency_name(ffl_urgency_t urgency);
const char *ffl_adjacency_name(ffl_adjacency_t adjacency);
const char *ffl_ran_name(ffl_ran_t ran);

/** Copies @p src, cut to fit; returns false where it had to be cut. */
bool ffl_copy(char *dst, size_t dst_bytes, const char *src);

/** Mixes two words into one, for tie-breaks and hashing of ids. */
uint64_t ffl_mix(uint64_t a, uint64_t b);

/** Hashes bytes with a seed (XXH3). */
uint64_t ffl_hash(const void *data, size_t size_bytes, uint64_t seed);

#endif
