/**
 * @file save.h
 * @brief Saves and loads folded state as a stream of schema messages.
 */
#ifndef FFL_SAVE_H
#define FFL_SAVE_H

#include "fireflyledge/schema.h"

/** A position in saved state; the first failure sticks. */
typedef struct {
	ffl_bytes_t rest;
	size_t used_bytes;
	ffl_status_t status;
	ffl_arena_t arena; /**< of blobs, until ffl_loader_finish() */
} ffl_loader_t;

void ffl_loader_init(ffl_loader_t *l, ffl_bytes_t in);
void ffl_loader_finish(ffl_loader_t *l);

/** Loads one message; false from the first failure on. */
bool ffl_load(ffl_loader_t *l, const ffl_schema_t *schema, void *obj);

/** Saves a count and every item of an array. */
void ffl_save_array(const ffl_schema_t *schema, const GArray *array,
		    GByteArray *out);
/** Replaces an array; FFL_INVALID where it would pass @p max items. */
bool ffl_load_array(ffl_loader_t *l, const ffl_schema_t *schema, GArray *array,
		    uint64_t max);
/** Saves and loads a bare number. */
void ffl_save_u64(uint64_t value, GByteArray *out);
bool ffl_load_u64(ffl_loader_t *l, uint64_t *value, uint64_t max);

#endif
