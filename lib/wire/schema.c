/**
 * @file schema.c
 * @brief msgpack encoding and decoding by schema.
 */
#include <string.h>
#include <msgpack.h>

#include "fireflyledge/schema.h"
#include "lib/wire/measure.h"
#include "lib/wire/pack.h"

/** Packs the value of field @p f at @p p. */
typedef void (*pack_fn_t)(const ffl_field_t *f, const void *p,
			  msgpack_packer *pk);
/** Unpacks a field's value to @p p; returns false if it is not valid. */
typedef bool (*unpack_fn_t)(const ffl_field_t *f, const msgpack_object *o,
			    void *p, ffl_arena_t *arena);

static void pack_struct(const ffl_schema_t *schema, const void *obj,
			msgpack_packer *pk);
static bool unpack_struct(const ffl_schema_t *schema, const msgpack_object *o,
			  void *obj, ffl_arena_t *arena);
static void pack_bool(const ffl_field_t *f, const void *p, msgpack_packer *pk);
static void pack_u32(const ffl_field_t *f, const void *p, msgpack_packer *pk);
static void pack_u64(const ffl_field_t *f, const void *p, msgpack_packer *pk);
static void pack_text(const ffl_field_t *f, const void *p, msgpack_packer *pk);
static void pack_hash(const ffl_field_t *f, const void *p, msgpack_packer *pk);
static void pack_list(const ffl_field_t *f, const void *p, msgpack_packer *pk);
static void pack_blob(const ffl_field_t *f, const void *p, msgpack_packer *pk);
static bool unpack_bool(const ffl_field_t *f, const msgpack_object *o, void *p,
			ffl_arena_t *arena);
static bool unpack_u32(const ffl_field_t *f, const msgpack_object *o, void *p,
		       ffl_arena_t *arena);
static bool unpack_u64(const ffl_field_t *f, const msgpack_object *o, void *p,
		       ffl_arena_t *arena);
static bool unpack_enum(const ffl_field_t *f, const msgpack_object *o, void *p,
			ffl_arena_t *arena);
static bool unpack_text(const ffl_field_t *f, const msgpack_object *o, void *p,
			ffl_arena_t *arena);
static bool unpack_hash(const ffl_field_t *f, const msgpack_object *o, void *p,
			ffl_arena_t *arena);
static bool unpack_list(const ffl_field_t *f, const msgpack_object *o, void *p,
			ffl_arena_t *arena);
static bool unpack_blob(const ffl_field_t *f, const msgpack_object *o, void *p,
			ffl_arena_t *arena);

static const pack_fn_t packers[FFL_FIELD__MAX] = {
	[FFL_FIELD_BOOL] = pack_bool, [FFL_FIELD_U32] = pack_u32,
	[FFL_FIELD_U64] = pack_u64,   [FFL_FIELD_ENUM] = pack_u32,
	[FFL_FIELD_TEXT] = pack_text, [FFL_FIELD_HASH] = pack_hash,
	[FFL_FIELD_LIST] = pack_list, [FFL_FIELD_BLOB] = pack_blob,
};

static const unpack_fn_t unpackers[FFL_FIELD__MAX] = {
	[FFL_FIELD_BOOL] = unpack_bool, [FFL_FIELD_U32] = unpack_u32,
	[FFL_FIELD_U64] = unpack_u64,	[FFL_FIELD_ENUM] = unpack_enum,
	[FFL_FIELD_TEXT] = unpack_text, [FFL_FIELD_HASH] = unpack_hash,
	[FFL_FIELD_LIST] = unpack_list, [FFL_FIELD_BLOB] = unpack_blob,
};

static void pack_bool(const ffl_field_t *f, const void *p, msgpack_packer *pk)
{
	if (*(const bool *)p)
		msgpack_pack_true(pk);
	else
		msgpack_pack_false(pk);
}

static void pack_u32(const ffl_field_t *f, const void *p, msgpack_packer *pk)
{
	msgpack_pack_uint32(pk, *(const uint32_t *)p);
}

static void pack_u64(const ffl_field_t *f, const void *p, msgpack_packer *pk)
{
	msgpack_pack_uint64(pk, *(const uint64_t *)p);
}

static void pack_text(const ffl_field_t *f, const void *p, msgpack_packer *pk)
{
	size_t len = strnlen(p, f->cap);

	msgpack_pack_str(pk, len);
	msgpack_pack_str_body(pk, p, len);
}

static void pack_hash(const ffl_field_t *f, const void *p, msgpack_packer *pk)
{
	msgpack_pack_bin(pk, FFL_HASH_BYTES);
	msgpack_pack_bin_body(pk, p, FFL_HASH_BYTES);
}

static void pack_list(const ffl_field_t *f, const void *p, msgpack_packer *pk)
{
	const ffl_list_t *list = p;
	const char *item = list->items;

	msgpack_pack_array(pk, list->count);
	for (uint32_t i = 0; i < list->count; i++)
		pack_struct(f->item, item + i * f->item->size_bytes, pk);
}

static void pack_blob(const ffl_field_t *f, const void *p, msgpack_packer *pk)
{
	const ffl_bytes_t *b = p;

	msgpack_pack_bin(pk, b->size_bytes);
	msgpack_pack_bin_body(pk, b->data, b->size_bytes);
}

static void pack_struct(const ffl_schema_t *schema, const void *obj,
			msgpack_packer *pk)
{
	msgpack_pack_array(pk, schema->field_count);
	for (uint32_t i = 0; i < schema->field_count; i++) {
		const ffl_field_t *f = &schema->fields[i];

		packers[f->kind](f, (const char *)obj + f->offset, pk);
	}
}

static bool unpack_bool(const ffl_field_t *f, const msgpack_object *o, void *p,
			ffl_arena_t *arena)
{
	if (o->type != MSGPACK_OBJECT_BOOLEAN)
		return false;
	*(bool *)p = o->via.boolean;
	return true;
}

static bool unpack_u32(const ffl_field_t *f, const msgpack_object *o, void *p,
		       ffl_arena_t *arena)
{
	uint64_t max = f->max ? f->max : UINT32_MAX;

	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER || o->via.u64 > max)
		return false;
	*(uint32_t *)p = (uint32_t)o->via.u64;
	return true;
}

static bool unpack_u64(const ffl_field_t *f, const msgpack_object *o, void *p,
		       ffl_arena_t *arena)
{
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return false;
	if (f->max && o->via.u64 > f->max)
		return false;
	*(uint64_t *)p = o->via.u64;
	return true;
}

static bool unpack_enum(const ffl_field_t *f, const msgpack_object *o, void *p,
			ffl_arena_t *arena)
{
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER || o->via.u64 >= f->max)
		return false;
	*(uint32_t *)p = (uint32_t)o->via.u64;
	return true;
}

static bool unpack_text(const ffl_field_t *f, const msgpack_object *o, void *p,
			ffl_arena_t *arena)
{
	if (o->type != MSGPACK_OBJECT_STR || o->via.str.size >= f->cap)
		return false;
	*(char *)p = '\0';
	if (!o->via.str.size)
		return true;
	if (memchr(o->via.str.ptr, '\0', o->via.str.size))
		return false;
	if (!g_utf8_validate(o->via.str.ptr, o->via.str.size, NULL))
		return false;
	memcpy(p, o->via.str.ptr, o->via.str.size);
	((char *)p)[o->via.str.size] = '\0';
	return true;
}

static bool unpack_hash(const ffl_field_t *f, const msgpack_object *o, void *p,
			ffl_arena_t *arena)
{
	if (o->type != MSGPACK_OBJECT_BIN || o->via.bin.size != FFL_HASH_BYTES)
		return false;
	memcpy(p, o->via.bin.ptr, FFL_HASH_BYTES);
	return true;
}

static bool unpack_list(const ffl_field_t *f, const msgpack_object *o, void *p,
			ffl_arena_t *arena)
{
	ffl_list_t *list = p;
	size_t size = f->item->size_bytes;

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size > f->cap)
		return false;
	list->count = o->via.array.size;
	list->items = ffl_arena_alloc(arena, size * (list->count + 1));
	for (uint32_t i = 0; i < list->count; i++) {
		if (!unpack_struct(f->item, &o->via.array.ptr[i],
				   (char *)list->items + i * size, arena))
			return false;
	}
	return true;
}

static bool unpack_blob(const ffl_field_t *f, const msgpack_object *o, void *p,
			ffl_arena_t *arena)
{
	ffl_bytes_t *b = p;

	if (o->type != MSGPACK_OBJECT_BIN || o->via.bin.size > f->cap)
		return false;
	b->size_bytes = o->via.bin.size;
	b->data = ffl_arena_copy(arena, o->via.bin.ptr, o->via.bin.size);
	return true;
}

static bool unpack_struct(const ffl_schema_t *schema, const msgpack_object *o,
			  void *obj, ffl_arena_t *arena)
{
	memset(obj, 0, schema->size_bytes);
	if (o->type != MSGPACK_OBJECT_ARRAY)
		return false;
	for (uint32_t i = 0; i < schema->field_count && i < o->via.array.size;
	     i++) {
		const ffl_field_t *f = &schema->fields[i];

		if (!unpackers[f->kind](f, &o->via.array.ptr[i],
					(char *)obj + f->offset, arena))
			return false;
	}
	return true;
}

void ffl_schema_encode(const ffl_schema_t *schema, const void *obj,
		       GByteArray *out)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, ffl_wire_write);
	pack_struct(schema, obj, &pk);
}

ffl_status_t ffl_schema_decode(const ffl_schema_t *schema, ffl_bytes_t in,
			       void *obj, ffl_arena_t *arena,
			       size_t *used_bytes)
{
	msgpack_unpacked result;
	ffl_status_t status;
	size_t used = 0;
	size_t off = 0;

	memset(obj, 0, schema->size_bytes);
	if (used_bytes)
		*used_bytes = 0;
	status = ffl_wire_measure(in, &used);
	if (status != FFL_OK)
		return status;
	msgpack_unpacked_init(&result);
	if (msgpack_unpack_next(&result, (const char *)in.data, used, &off) !=
		    MSGPACK_UNPACK_SUCCESS ||
	    !unpack_struct(schema, &result.data, obj, arena))
		status = FFL_INVALID;
	msgpack_unpacked_destroy(&result);
	if (used_bytes)
		*used_bytes = used;
	return status;
}
