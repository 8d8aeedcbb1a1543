/**
 * @file config_int.h
 * @brief Internals of the configuration: sorted arrays, images, scopes, audit.
 */
#ifndef FFL_CONFIG_INT_H
#define FFL_CONFIG_INT_H

#include "fireflyledge/config.h"

/** Most scopes of one intent. */
#define FFL_INTENT_SCOPES_MAX 2

/** Returns the index of the first item that is not less than @p key. The
 * sorted functions take arrays sorted by @p compare. */
guint ffl_sorted_lower_bound(const GArray *array, gconstpointer key,
			     GCompareFunc compare);
/** Returns the item equal to @p key, or NULL. */
gpointer ffl_sorted_find(const GArray *array, gconstpointer key,
			 GCompareFunc compare);
/** Returns the item equal to @p key; inserts a copy of @p key if missing. */
gpointer ffl_sorted_get_or_insert(GArray *array, gconstpointer key,
				  GCompareFunc compare);
/** Removes the item equal to @p key, if there is one. */
void ffl_sorted_remove(GArray *array, gconstpointer key, GCompareFunc compare);

/** Compares items whose first member is their name, or a name itself. */
gint ffl_compare_names(gconstpointer a, gconstpointer b);
/** Compares ffl_guarantee_t by customer, dc, accelerators and adjacency. */
gint ffl_compare_guarantees(gconstpointer a, gconstpointer b);
/** Compares ffl_scope_t by kind and name. */
gint ffl_compare_scopes(gconstpointer a, gconstpointer b);

/**
 * Reads the object that an intent changes. The image is an intent that would
 * recreate the object as it is now, or remove it if it does not exist.
 *
 * @return revision that last changed the object, or 0 if it does not exist.
 *         The order of preemption keeps its last revision when removed.
 */
uint64_t ffl_image_get(const ffl_config_t *cfg, const ffl_intent_t *intent,
		       ffl_intent_t *image);
/** Creates, replaces or removes an object so that it matches its image. */
void ffl_image_set(ffl_config_t *cfg, uint64_t revision,
		   const ffl_intent_t *image);
/** Returns true if two images describe the same object. */
bool ffl_image_same_object(const ffl_intent_t *a, const ffl_intent_t *b);

/** Lists the scopes that an intent depends on and changes; returns how many.
 * A withdrawal has those of the revision that it undoes. */
uint32_t ffl_intent_scopes(const ffl_config_t *cfg, const ffl_intent_t *intent,
			   ffl_scope_t scopes[FFL_INTENT_SCOPES_MAX]);
/** Records that a revision changed the scopes. */
void ffl_scopes_mark_changed(ffl_config_t *cfg, const ffl_scope_t *scopes,
			     uint32_t count, uint64_t revision);

/** Appends a copy of an entry with its chain hash to the audit trail. */
void ffl_audit_append(ffl_config_t *cfg, const ffl_audit_t *entry);
/**
 * Computes the chain hash of an entry: a hash of its encoding, keyed with the
 * chain hash of the previous entry.
 *
 * @param scratch overwritten; saves an allocation per entry
 */
void ffl_audit_chain_hash(const uint8_t previous[FFL_HASH_BYTES],
			  const ffl_audit_t *entry, GByteArray *scratch,
			  uint8_t chain[FFL_HASH_BYTES]);
/** Appends the encoded entry, without its chain hash, to @p out. */
void ffl_audit_encode(const ffl_audit_t *entry, GByteArray *out);
/** Decodes an entry; its chain hash is not set. */
ffl_status_t ffl_audit_decode(ffl_bytes_t in, ffl_audit_t *entry,
			      ffl_arena_t *arena, size_t *used_bytes);

#endif
