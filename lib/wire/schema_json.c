/**
 * @file schema_json.c
 * @brief JSON encoding and decoding by schema.
 */
#include <inttypes.h>
#include <string.h>
#include <sodium.h>

#include "fireflyledge/schema.h"

/** Size of a hash in hexadecimal, with its terminator. */
#define HEX_BYTES (FFL_HASH_BYTES * 2 + 1)

/** Returns the value of field @p f at @p p as JSON. */
typedef json_t *(*to_json_fn_t)(const ffl_field_t *f, const void *p);
/** Stores a JSON value at @p p, or adds a finding if it is not valid. */
typedef void (*from_json_fn_t)(const ffl_field_t *f, const json_t *v, void *p,
			       ffl_findings_t *fs);

static json_t *bool_to_json(const ffl_field_t *f, const void *p);
static json_t *u32_to_json(const ffl_field_t *f, const void *p);
static json_t *u64_to_json(const ffl_field_t *f, const void *p);
static json_t *enum_to_json(const ffl_field_t *f, const void *p);
static json_t *text_to_json(const ffl_field_t *f, const void *p);
static json_t *hash_to_json(const ffl_field_t *f, const void *p);
static json_t *list_to_json(const ffl_field_t *f, const void *p);
static json_t *blob_to_json(const ffl_field_t *f, const void *p);
static void bool_from_json(const ffl_field_t *f, const json_t *v, void *p,
			   ffl_findings_t *fs);
static void u32_from_json(const ffl_field_t *f, const json_t *v, void *p,
			  ffl_findings_t *fs);
static void u64_from_json(const ffl_field_t *f, const json_t *v, void *p,
			  ffl_findings_t *fs);
static void enum_from_json(const ffl_field_t *f, const json_t *v, void *p,
			   ffl_findings_t *fs);
static void text_from_json(const ffl_field_t *f, const json_t *v, void *p,
			   ffl_findings_t *fs);
static void hash_from_json(const ffl_field_t *f, const json_t *v, void *p,
			   ffl_findings_t *fs);
static void reject_from_json(const ffl_field_t *f, const json_t *v, void *p,
			     ffl_findings_t *fs);
static uint64_t number_from_json(const ffl_field_t *f, const json_t *v,
				 uint64_t max, ffl_findings_t *fs);
static const ffl_field_t *find_field(const ffl_schema_t *schema,
				     const char *name);

static const to_json_fn_t to_json[FFL_FIELD__MAX] = {
	[FFL_FIELD_BOOL] = bool_to_json, [FFL_FIELD_U32] = u32_to_json,
	[FFL_FIELD_U64] = u64_to_json,	 [FFL_FIELD_ENUM] = enum_to_json,
	[FFL_FIELD_TEXT] = text_to_json, [FFL_FIELD_HASH] = hash_to_json,
	[FFL_FIELD_LIST] = list_to_json, [FFL_FIELD_BLOB] = blob_to_json,
};

static const from_json_fn_t from_json[FFL_FIELD__MAX] = {
	[FFL_FIELD_BOOL] = bool_from_json,
	[FFL_FIELD_U32] = u32_from_json,
	[FFL_FIELD_U64] = u64_from_json,
	[FFL_FIELD_ENUM] = enum_from_json,
	[FFL_FIELD_TEXT] = text_from_json,
	[FFL_FIELD_HASH] = hash_from_json,
	[FFL_FIELD_LIST] = reject_from_json,
	[FFL_FIELD_BLOB] = reject_from_json,
};

static json_t *bool_to_json(const ffl_field_t *f, const void *p)
{
	return json_boolean(*(const bool *)p);
}

static json_t *u32_to_json(const ffl_field_t *f, const void *p)
{
	return json_integer(*(const uint32_t *)p);
}

static json_t *u64_to_json(const ffl_field_t *f, const void *p)
{
	return json_integer((json_int_t) * (const uint64_t *)p);
}

static json_t *enum_to_json(const ffl_field_t *f, const void *p)
{
	return json_string(f->enum_name(*(const uint32_t *)p));
}

static json_t *text_to_json(const ffl_field_t *f, const void *p)
{
	return json_string(p);
}

static json_t *hash_to_json(const ffl_field_t *f, const void *p)
{
	char hex[HEX_BYTES];

	sodium_bin2hex(hex, sizeof(hex), p, FFL_HASH_BYTES);
	return json_string(hex);
}

static json_t *list_to_json(const ffl_field_t *f, const void *p)
{
	const ffl_list_t *list = p;
	json_t *array = json_array();

	for (uint32_t i = 0; i < list->count; i++)
		json_array_append_new(
			array,
			ffl_schema_to_json(f->item,
					   (const char *)list->items +
						   i * f->item->size_bytes));
	return array;
}

static json_t *blob_to_json(const ffl_field_t *f, const void *p)
{
	const ffl_bytes_t *b = p;

	return json_integer((json_int_t)b->size_bytes);
}

static uint64_t number_from_json(const ffl_field_t *f, const json_t *v,
				 uint64_t max, ffl_findings_t *fs)
{
	json_int_t n = json_integer_value(v);

	if (!json_is_integer(v)) {
		ffl_findings_add(fs, FFL_MSG_BAD_NUMBER, f->name, 0, 0,
				 "expected an integer");
		return 0;
	}
	if (n < 0 || (uint64_t)n > max) {
		ffl_findings_add(fs, FFL_MSG_OUT_OF_RANGE, f->name, 0, 0,
				 "%" JSON_INTEGER_FORMAT
				 " is outside 0..%" PRIu64,
				 n, max);
		return 0;
	}
	return (uint64_t)n;
}

static void bool_from_json(const ffl_field_t *f, const json_t *v, void *p,
			   ffl_findings_t *fs)
{
	if (!json_is_boolean(v)) {
		ffl_findings_add(fs, FFL_MSG_BAD_VALUE, f->name, 0, 0,
				 "expected true or false");
		return;
	}
	*(bool *)p = json_is_true(v);
}

static void u32_from_json(const ffl_field_t *f, const json_t *v, void *p,
			  ffl_findings_t *fs)
{
	uint64_t max = f->max ? f->max : UINT32_MAX;

	*(uint32_t *)p = (uint32_t)number_from_json(f, v, max, fs);
}

static void u64_from_json(const ffl_field_t *f, const json_t *v, void *p,
			  ffl_findings_t *fs)
{
	uint64_t max = f->max ? f->max : INT64_MAX;

	*(uint64_t *)p = number_from_json(f, v, max, fs);
}

static void enum_from_json(const ffl_field_t *f, const json_t *v, void *p,
			   ffl_findings_t *fs)
{
	const char *text = json_string_value(v);

	for (uint32_t i = 0; text && i < f->max; i++) {
		if (strcmp(text, f->enum_name(i)) == 0) {
			*(uint32_t *)p = i;
			return;
		}
	}
	ffl_findings_add(fs, FFL_MSG_BAD_VALUE, f->name, 0, 0,
			 "\"%.40s\" is not an allowed value", text ? text : "");
}

static void text_from_json(const ffl_field_t *f, const json_t *v, void *p,
			   ffl_findings_t *fs)
{
	if (!json_is_string(v)) {
		ffl_findings_add(fs, FFL_MSG_BAD_VALUE, f->name, 0, 0,
				 "expected a string");
		return;
	}
	if (json_string_length(v) >= f->cap ||
	    json_string_length(v) != strlen(json_string_value(v))) {
		ffl_findings_add(fs, FFL_MSG_TOO_LONG, f->name, 0, 0,
				 "at most %u bytes without NUL", f->cap - 1);
		return;
	}
	ffl_copy(p, f->cap, json_string_value(v));
}

static void hash_from_json(const ffl_field_t *f, const json_t *v, void *p,
			   ffl_findings_t *fs)
{
	const char *text = json_string_value(v);
	size_t len = 0;

	if (!text || strlen(text) != HEX_BYTES - 1 ||
	    sodium_hex2bin(p, FFL_HASH_BYTES, text, strlen(text), NULL, &len,
			   NULL) != 0 ||
	    len != FFL_HASH_BYTES)
		ffl_findings_add(fs, FFL_MSG_BAD_VALUE, f->name, 0, 0,
				 "expected %d hexadecimal digits",
				 HEX_BYTES - 1);
}

static void reject_from_json(const ffl_field_t *f, const json_t *v, void *p,
			     ffl_findings_t *fs)
{
	ffl_findings_add(fs, FFL_MSG_BAD_VALUE, f->name, 0, 0,
			 "field cannot be set by a request");
}

static const ffl_field_t *find_field(const ffl_schema_t *schema,
				     const char *name)
{
	for (uint32_t i = 0; i < schema->field_count; i++) {
		if (strcmp(schema->fields[i].name, name) == 0)
			return &schema->fields[i];
	}
	return NULL;
}

json_t *ffl_schema_to_json(const ffl_schema_t *schema, const void *obj)
{
	json_t *json = json_object();

	for (uint32_t i = 0; i < schema->field_count; i++) {
		const ffl_field_t *f = &schema->fields[i];

		json_object_set_new(
			json, f->name,
			to_json[f->kind](f, (const char *)obj + f->offset));
	}
	return json;
}

ffl_status_t ffl_schema_from_json(const ffl_schema_t *schema,
				  const json_t *json, void *obj,
				  ffl_findings_t *fs)
{
	uint32_t errors_before = fs->errors;
	const char *name;
	json_t *value;

	memset(obj, 0, schema->size_bytes);
	if (!json_is_object(json)) {
		ffl_findings_add(fs, FFL_MSG_BAD_SYNTAX, "", 0, 0,
				 "expected a JSON object");
		return FFL_INVALID;
	}
	json_object_foreach((json_t *)json, name, value)
	{
		const ffl_field_t *f = find_field(schema, name);

		if (!f) {
			ffl_findings_add(fs, FFL_MSG_UNKNOWN_KEY, name, 0, 0,
					 "%s has no such field", schema->name);
			continue;
		}
		from_json[f->kind](f, value, (char *)obj + f->offset, fs);
	}
	return fs->errors > errors_before ? FFL_INVALID : FFL_OK;
}
