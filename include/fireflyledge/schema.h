/**
 * @file schema.h
 * @brief Tables that describe a message once for msgpack and JSON.
 *
 * A message is a plain struct. Its schema lists the fields in order; a
 * field's position is its number on the wire. Later versions add fields at
 * the end: a decoder ignores fields that it does not know and zeroes fields
 * that are missing.
 */
#ifndef FFL_SCHEMA_H
#define FFL_SCHEMA_H

#include <stddef.h>
#include <stdint.h>
#include <glib.h>
#include <jansson.h>

#include "fireflyledge/arena.h"
#include "fireflyledge/finding.h"
#include "fireflyledge/status.h"
#include "fireflyledge/types.h"

/** Type of a field's C member. */
typedef enum {
	FFL_FIELD_BOOL, /**< bool */
	FFL_FIELD_U32,	/**< uint32_t, bounded by max */
	FFL_FIELD_U64,	/**< uint64_t, bounded by max where max is not 0 */
	FFL_FIELD_ENUM, /**< an enum below max */
	FFL_FIELD_TEXT, /**< char[cap], terminated */
	FFL_FIELD_HASH, /**< uint8_t[FFL_HASH_BYTES] */
	FFL_FIELD_LIST, /**< ffl_list_t of at most cap structs */
	FFL_FIELD_BLOB, /**< ffl_bytes_t of at most cap bytes */
	FFL_FIELD__MAX
} ffl_field_kind_t;

/** Items in an arena, each of the size that its schema states. */
typedef struct {
	void *items;
	uint32_t count;
} ffl_list_t;

typedef struct ffl_schema ffl_schema_t;

/** Name of the value @p value of an enum. */
typedef const char *(*ffl_enum_name_t)(uint32_t value);

/** One field of a message. */
typedef struct {
	const char *name;
	ffl_field_kind_t kind;
	size_t offset;
	uint32_t cap;
	uint64_t max;
	const ffl_schema_t *item;
	ffl_enum_name_t enum_name;
} ffl_field_t;

/** One message. */
struct ffl_schema {
	const char *name;
	size_t size_bytes;
	const ffl_field_t *fields;
	uint32_t field_count;
};

/** Appends the msgpack form of @p obj to @p out. */
void ffl_schema_encode(const ffl_schema_t *schema, const void *obj,
		       GByteArray *out);

/**
 * Decodes one message from the start of @p in.
 *
 * @param used_bytes set to the bytes taken; may be NULL
 * @return FFL_OK, FFL_TRUNCATED, or FFL_INVALID where a value breaks its
 *         field's type or bound
 */
ffl_status_t ffl_schema_decode(const ffl_schema_t *schema, ffl_bytes_t in,
			       void *obj, ffl_arena_t *arena,
			       size_t *used_bytes);

/** Returns the JSON form of @p obj; the caller owns the reference. */
json_t *ffl_schema_to_json(const ffl_schema_t *schema, const void *obj);

/**
 * Reads a JSON object, adding every fault to @p fs with its field's name.
 * Fields that are missing are zero.
 */
ffl_status_t ffl_schema_from_json(const ffl_schema_t *schema,
				  const json_t *json, void *obj,
				  ffl_findings_t *fs);

#define FFL_FIELD_COUNT(fields) (sizeof(fields) / sizeof((fields)[0]))

#endif
