/**
 * @file fields.h
 * @brief Macros for the entries of schema tables.
 *
 * A macro writes the member's name out as the field's name: renaming a member
 * changes the JSON form of the message.
 */
#ifndef FFL_WIRE_FIELDS_H
#define FFL_WIRE_FIELDS_H

#include "fireflyledge/schema.h"

/** Size of a struct's member, in bytes. */
#define FIELD_SIZE(type, member) sizeof(((type *)NULL)->member)
/** Fields by type; see ffl_field_kind_t for @p max and @p cap. */
#define FIELD_BOOL(type, member)                                             \
	{                                                                    \
#member, FFL_FIELD_BOOL, offsetof(type, member), 0, 0, NULL, \
			NULL                                                 \
	}
#define FIELD_U32(type, member, max)                                      \
	{                                                                 \
#member, FFL_FIELD_U32, offsetof(type, member), 0, (max), \
			NULL, NULL                                        \
	}
#define FIELD_U64(type, member)                                             \
	{                                                                   \
#member, FFL_FIELD_U64, offsetof(type, member), 0, 0, NULL, \
			NULL                                                \
	}
#define FIELD_ENUM(type, member, max, name_fn)                             \
	{                                                                  \
#member, FFL_FIELD_ENUM, offsetof(type, member), 0, (max), \
			NULL, (name_fn)                                    \
	}
#define FIELD_TEXT(type, member)                                          \
	{                                                                 \
#member, FFL_FIELD_TEXT, offsetof(type, member),          \
			(uint32_t)FIELD_SIZE(type, member), 0, NULL, NULL \
	}
#define FIELD_HASH(type, member)                                             \
	{                                                                    \
#member, FFL_FIELD_HASH, offsetof(type, member), 0, 0, NULL, \
			NULL                                                 \
	}
#define FIELD_LIST(type, member, cap, schema)                              \
	{                                                                  \
#member, FFL_FIELD_LIST, offsetof(type, member), (cap), 0, \
			(schema), NULL                                     \
	}
#define FIELD_BLOB(type, member, cap)                                      \
	{                                                                  \
#member, FFL_FIELD_BLOB, offsetof(type, member), (cap), 0, \
			NULL, NULL                                         \
	}
/** Schema of a struct with a static array of fields. */
#define SCHEMA(type, fields)                                           \
	{                                                              \
#type, sizeof(type), (fields), FFL_FIELD_COUNT(fields) \
	}

/** Return the name of an enum's value, with the signature of ffl_enum_name_t.
 */
const char *ffl_field_adjacency_name(uint32_t value);
const char *ffl_field_urgency_name(uint32_t value);
const char *ffl_field_status_name(uint32_t value);

#endif
