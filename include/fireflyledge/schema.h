/**
 * @file schema.h
 * @brief Schemas: tables that describe a message for msgpack and JSON.
 *
 * A message is a plain struct. Its schema lists the fields in wire order: in
 * msgpack a message is an array with the field values, in JSON an object with
 * the field names as keys. Later versions may only append fields. A decoder
 * ignores fields past the end of its schema and zeroes fields that the message
 * lacks, so that hosts of different versions understand each other.
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

/** Type of a field and of its C member. */
typedef enum {
	FFL_FIELD_BOOL, /**< bool */
	FFL_FIELD_U32,	/**< uint32_t of at most max; max 0: no limit */
	FFL_FIELD_U64,	/**< uint64_t of at most max; max 0: no limit */
	FFL_FIELD_ENUM, /**< enum with values below max */
	FFL_FIELD_TEXT, /**< char[cap], UTF-8 with a terminator */
	FFL_FIELD_HASH, /**< uint8_t[FFL_HASH_BYTES] */
	FFL_FIELD_LIST, /**< ffl_list_t of at most cap structs */
	FFL_FIELD_BLOB, /**< ffl_bytes_t of at most cap bytes */
	FFL_FIELD__MAX
} ffl_field_kind_t;

/** A list of structs in an arena; the field's item schema gives their size. */
typedef struct {
	void *items;
	uint32_t count;
} ffl_list_t;

typedef struct ffl_schema ffl_schema_t;

/** Returns the name of an enum's value. */
typedef const char *(*ffl_enum_name_t)(uint32_t value);

/** A field of a message. */
typedef struct {
	const char *name;
	ffl_field_kind_t kind;
	size_t offset; /**< of the member in the struct */
	uint32_t cap;  /**< bytes of a text or blob, items of a list */
	uint64_t max;  /**< see ffl_field_kind_t */
	const ffl_schema_t *item;  /**< of a list's items */
	ffl_enum_name_t enum_name; /**< of an enum */
} ffl_field_t;

/** Schema of a message. */
struct ffl_schema {
	const char *name;
	size_t size_bytes; /**< of the struct */
	const ffl_field_t *fields;
	uint32_t field_count;
};

/** Appends the msgpack form of @p obj to @p out. */
void ffl_schema_encode(const ffl_schema_t *schema, const void *obj,
		       GByteArray *out);

/**
 * Decodes one message from the start of @p in.
 *
 * @param obj        zeroed and then filled in; partly if decoding fails
 * @param arena      holds the lists and blobs of @p obj
 * @param used_bytes set to the size of the message in @p in; may be NULL
 * @return FFL_OK; FFL_TRUNCATED if @p in ends too early; FFL_INVALID if the
 *         msgpack is malformed or a value breaks its field's type or limit
 */
ffl_status_t ffl_schema_decode(const ffl_schema_t *schema, ffl_bytes_t in,
			       void *obj, ffl_arena_t *arena,
			       size_t *used_bytes);

/**
 * Returns @p obj as a JSON object; the caller owns the reference. A hash is
 * written in hexadecimal, of a blob only the size.
 */
json_t *ffl_schema_to_json(const ffl_schema_t *schema, const void *obj);

/**
 * Reads a message from a JSON object. Adds a finding with the field's name for
 * every fault; missing fields are zero. Lists and blobs are rejected.
 *
 * @return FFL_OK, or FFL_INVALID if a finding is an error
 */
ffl_status_t ffl_schema_from_json(const ffl_schema_t *schema,
				  const json_t *json, void *obj,
				  ffl_findings_t *fs);

/** Number of entries of a static array of fields. */
#define FFL_FIELD_COUNT(fields) (sizeof(fields) / sizeof((fields)[0]))

#endif
