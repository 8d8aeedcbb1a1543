/**
 * @file config_int.h
 * @brief Parts of the configuration that only its own files use.
 */
#ifndef FFL_CONFIG_INT_H
#define FFL_CONFIG_INT_H

#include "fireflyledge/config.h"

/** Scopes that one intent rests on at most. */
#define FFL_INTENT_SCOPES_MAX 2

/** Returns the first index whose item is not below @p key. */
guint ffl_sorted_at(const GArray *array, gconstpointer key,
		    GCompareFunc compare);
/** Returns the item equal to @p key, or NULL. */
gpointer ffl_sorted_find(const GArray *array, gconstpointer key,
			 GCompareFunc compare);
/** Returns the item equal to @p key, inserting a copy of it where missing. */
gpointer ffl_sorted_ensure(GArray *array, gconstpointer key,
			   GCompareFunc compare);
/** Removes the item equal to @p key, if there is one. */
void ffl_sorted_remove(GArray *array, gconstpointer key, GCompareFunc compare);

/** Compares items that begin with their name. */
gint ffl_compare_names(gconstpointer a, gconstpointer b);
gint ffl_compare_guarantees(gconstpointer a, gconstpointer b);
gint ffl_compare_scopes(gconstpointer a, gconstpointer b);

/**
 * Reads the object that an intent is about. The image is an intent that
 * would make the object as it is; one that removes it where there is none.
 *
 * @return revision that last changed the object; 0 where there is none
 */
uint64_t ffl_image_get(const ffl_config_t *cfg, const ffl_intent_t *intent,
		       ffl_intent_t *image);
/** Makes an object as its image says. */
void ffl_image_set(ffl_config_t *cfg, uint64_t revision,
		   const ffl_intent_t *image);
/** Tells whether two images are of one object. */
bool ffl_image_same(const ffl_intent_t *a, const ffl_intent_t *b);

/** Lists the scopes that an intent rests on and changes. */
uint32_t ffl_intent_scopes(const ffl_config_t *cfg, const ffl_intent_t *intent,
			   ffl_scope_t scopes[FFL_INTENT_SCOPES_MAX]);
/** Marks the scopes of an intent as changed. */
void ffl_scopes_touch(ffl_config_t *cfg, const ffl_scope_t *scopes,
		      uint32_t count, uint64_t revision);

/** Appends an entry to the trail, sealing it. */
void ffl_audit_add(ffl_config_t *cfg, const ffl_audit_t *entry);
/** Hashes an entry onto the chain before it. */
void ffl_audit_chain(const uint8_t previous[FFL_HASH_BYTES],
		     const ffl_audit_t *entry, GByteArray *scratch,
		     uint8_t chain[FFL_HASH_BYTES]);
void ffl_audit_encode(const ffl_audit_t *entry, GByteArray *out);
ffl_status_t ffl_audit_decode(ffl_bytes_t in, ffl_audit_t *entry,
			      ffl_arena_t *arena, size_t *used_bytes);

#endif
