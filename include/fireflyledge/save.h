/**
 * @file save.h
 * @brief Saving and loading of folded state as a sequence of schema messages.
 */
#ifndef FFL_SAVE_H
#define FFL_SAVE_H

#include "fireflyledge/schema.h"

/** Reader of saved state. After the first error every load fails. */
typedef struct {
	ffl_bytes_t rest;    /**< bytes not read yet */
	size_t used_bytes;   /**< bytes read */
	ffl_status_t status; /**< FFL_OK or the first error */
	ffl_arena_t arena;   /**< holds blobs until ffl_loader_finish() */
} ffl_loader_t;

void ffl_loader_init(ffl_loader_t *l, ffl_bytes_t in);
void ffl_loader_finish(ffl_loader_t *l);

/** Loads one message; returns false after an error. */
bool ffl_load(ffl_loader_t *l, const ffl_schema_t *schema, void *obj);

/** Appends the count and the items of an array to @p out. */
void ffl_save_array(const ffl_schema_t *schema, const GArray *array,
		    GByteArray *out);
/** Replaces the items of an array; returns false after an error. More than
 * @p max items are FFL_INVALID. */
bool ffl_load_array(ffl_loader_t *l, const ffl_schema_t *schema, GArray *array,
		    uint64_t max);
/** Appends a number to @p out. */
void ffl_save_u64(uint64_t value, GByteArray *out);
/** Loads a number; returns false after an error. More than @p max is
 * FFL_INVALID. */
bool ffl_load_u64(ffl_loader_t *l, uint64_t *value, uint64_t max);

#endif
