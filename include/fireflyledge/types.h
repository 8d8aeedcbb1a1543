/**
 * @file types.h
 * @brief Limits and basic types used throughout the library.
 *
 * All sizes of texts include the terminator.
 */
#ifndef FFL_TYPES_H
#define FFL_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Size of the name of a customer, host, region or data centre. */
#define FFL_NAME_BYTES 48
/** Size of an operator's reason for a change. */
#define FFL_REASON_BYTES 256
/** Size of an idempotency key. */
#define FFL_KEY_BYTES 80
/** Size of a network address, "ip:port". */
#define FFL_ADDR_BYTES 48
/** Size of the hash of a token; binary, without a terminator. */
#define FFL_HASH_BYTES 32
/** Most accelerator slots of a worker: a uint64_t mask has a bit for each. */
#define FFL_WORKER_SLOTS_MAX 64
/** Most members of a gang. */
#define FFL_GANG_MAX 256

typedef char ffl_name_t[FFL_NAME_BYTES];

/** Urgency of a request or a job, most urgent first. */
typedef enum {
	FFL_URGENT,
	FFL_NORMAL,
	FFL_BATCH,
	FFL_URGENCY__MAX
} ffl_urgency_t;

/** Required adjacency of a job's accelerators. */
typedef enum {
	FFL_ADJ_WORKER, /**< one aligned block in one worker */
	FFL_ADJ_RACK,	/**< whole, neighbouring workers of one rack */
	FFL_ADJ_DC,	/**< neighbouring racks of one data centre */
	FFL_ADJ__MAX
} ffl_adjacency_t;

/** Whether a request or task has run, as far as this host can prove. */
typedef enum {
	FFL_RAN_NO,
	FFL_RAN_YES,
	FFL_RAN_UNKNOWN,
	FFL_RAN__MAX
} ffl_ran_t;

/** A reference to bytes that it does not own. */
typedef struct {
	const uint8_t *data;
	size_t size_bytes;
} ffl_bytes_t;

const char *ffl_urgency_name(ffl_urgency_t urgency);
const char *ffl_adjacency_name(ffl_adjacency_t adjacency);
const char *ffl_ran_name(ffl_ran_t ran);

/** Copies the string @p src, cut to fit; returns false if it was cut. */
bool ffl_copy(char *dst, size_t dst_bytes, const char *src);

/** Mixes two numbers into one, for tie-breaks and to hash IDs. */
uint64_t ffl_mix(uint64_t a, uint64_t b);

/** Returns the XXH3 64-bit hash of @p data. */
uint64_t ffl_hash(const void *data, size_t size_bytes, uint64_t seed);

#endif
