/*
 * Every decoder: what was encoded is decoded as it was, a value one past its
 * bound is refused, a cut message is never whole, a message never claims
 * more than its bytes can hold, and no bytes do harm.
 */
#include <string.h>
#include <msgpack.h>

#include "fireflyledge/peer.h"
#include "fireflyledge/platform.h"
#include "fireflyledge/record.h"
#include "fireflyledge/worker.h"
#include "fuzz/fuzz.h"

/** Largest decoded struct and longest list that is made, and a claim. */
#define OBJECT_BYTES 8192
#define ITEMS_MAX    4
#define CLAIM	     0xfffffff0U

/** State of one run. */
typedef struct {
	const uint8_t *ops;
	size_t left;
	ffl_arena_t arena;
} source_t;

/** Checks one schema with bytes of the input. */
typedef const char *(*check_fn_t)(const ffl_schema_t *schema, source_t *src);

static uint8_t next(source_t *src);
static uint64_t next_u64(source_t *src);
static void fill(const ffl_schema_t *schema, void *obj, source_t *src);
static void fill_field(const ffl_field_t *f, void *p, source_t *src);
static bool same(const ffl_schema_t *schema, const void *a, const void *b);
static bool same_field(const ffl_field_t *f, const void *a, const void *b);
static const char *check_round_trip(const ffl_schema_t *schema, source_t *src);
static const char *check_bounds(const ffl_schema_t *schema, source_t *src);
static const char *check_claim(const ffl_schema_t *schema, source_t *src);
static const char *check_json(const ffl_schema_t *schema, source_t *src);
static const char *check_garbage(const ffl_schema_t *schema, source_t *src);
static const char *run(const uint8_t *ops, size_t op_count, GString *trace);

const fuzz_target_t fuzz_target = { "wire", 1, run };

static const check_fn_t checks[] = { check_round_trip, check_bounds,
				     check_claim, check_json, check_garbage };

static const ffl_schema_t *const schemas[] = {
	&ffl_log_batch_schema,	 &ffl_log_ack_schema,
	&ffl_log_page_schema,	 &ffl_host_list_schema,
	&ffl_worker_cmd_schema,	 &ffl_worker_reply_schema,
	&ffl_task_report_schema, &ffl_intent_schema,
	&ffl_confirm_schema,	 &ffl_job_spec_schema,
};

static uint8_t next(source_t *src)
{
	if (!src->left)
		return 0;
	src->left--;
	return *src->ops++;
}

static uint64_t next_u64(source_t *src)
{
	uint64_t v = 0;

	for (int i = next(src) % 9; i > 0; i--)
		v = v << 8 | next(src);
	return v;
}

static void fill_field(const ffl_field_t *f, void *p, source_t *src)
{
	uint64_t max = f->max ? f->max : UINT32_MAX;
	ffl_list_t *list = p;
	ffl_bytes_t *blob = p;
	uint32_t n;

	switch (f->kind) {
	case FFL_FIELD_BOOL:
		*(bool *)p = next(src) & 1;
		break;
	case FFL_FIELD_U32:
		*(uint32_t *)p = (uint32_t)(next_u64(src) % (max + 1));
		break;
	case FFL_FIELD_U64:
		*(uint64_t *)p = next_u64(src) & INT64_MAX;
		break;
	case FFL_FIELD_ENUM:
		*(uint32_t *)p = next(src) % (uint32_t)f->max;
		break;
	case FFL_FIELD_TEXT:
		n = next(src) & 1 ? f->cap - 1 : next(src) % f->cap;
		memset(p, 'a' + next(src) % 26, n);
		break;
	case FFL_FIELD_HASH:
		memset(p, next(src), FFL_HASH_BYTES);
		break;
	case FFL_FIELD_LIST:
		list->count = next(src) % ITEMS_MAX;
		list->items = ffl_arena_alloc(
			&src->arena, (list->count + 1) * f->item->size_bytes);
		for (uint32_t i = 0; i < list->count; i++)
			fill(f->item,
			     (char *)list->items + i * f->item->size_bytes,
			     src);
		break;
	default:
		blob->size_bytes = next(src);
		blob->data = ffl_arena_alloc(&src->arena, blob->size_bytes + 1);
		memset((uint8_t *)blob->data, next(src), blob->size_bytes);
		break;
	}
}

static void fill(const ffl_schema_t *schema, void *obj, source_t *src)
{
	memset(obj, 0, schema->size_bytes);
	for (uint32_t i = 0; i < schema->field_count; i++)
		fill_field(&schema->fields[i],
			   (char *)obj + schema->fields[i].offset, src);
}

static bool same_field(const ffl_field_t *f, const void *a, const void *b)
{
	const ffl_list_t *la = a;
	const ffl_list_t *lb = b;
	const ffl_bytes_t *ba = a;
	const ffl_bytes_t *bb = b;

	switch (f->kind) {
	case FFL_FIELD_BOOL:
		return *(const bool *)a == *(const bool *)b;
	case FFL_FIELD_U32:
	case FFL_FIELD_ENUM:
		return *(const uint32_t *)a == *(const uint32_t *)b;
	case FFL_FIELD_U64:
		return *(const uint64_t *)a == *(const uint64_t *)b;
	case FFL_FIELD_TEXT:
		return strcmp(a, b) == 0;
	case FFL_FIELD_HASH:
		return memcmp(a, b, FFL_HASH_BYTES) == 0;
	case FFL_FIELD_LIST:
		if (la->count != lb->count)
			return false;
		for (uint32_t i = 0; i < la->count; i++) {
			size_t at = i * f->item->size_bytes;

			if (!same(f->item, (char *)la->items + at,
				  (char *)lb->items + at))
				return false;
		}
		return true;
	default:
		return ba->size_bytes == bb->size_bytes &&
		       memcmp(ba->data, bb->data, ba->size_bytes) == 0;
	}
}

static bool same(const ffl_schema_t *schema, const void *a, const void *b)
{
	for (uint32_t i = 0; i < schema->field_count; i++) {
		const ffl_field_t *f = &schema->fields[i];

		if (!same_field(f, (const char *)a + f->offset,
				(const char *)b + f->offset))
			return false;
	}
	return true;
}

static const char *check_round_trip(const ffl_schema_t *schema, source_t *src)
{
	uint64_t obj[OBJECT_BYTES / sizeof(uint64_t)];
	uint64_t back[OBJECT_BYTES / sizeof(uint64_t)];
	GByteArray *bytes = g_byte_array_new();
	const char *fault = NULL;
	ffl_bytes_t in;
	size_t used;

	fill(schema, obj, src);
	ffl_schema_encode(schema, obj, bytes);
	in = (ffl_bytes_t){ bytes->data, bytes->len };
	if (ffl_schema_decode(schema, in, back, &src->arena, &used) != FFL_OK ||
	    used != bytes->len || !same(schema, obj, back))
		fault = "a message is not decoded as it was encoded";
	in.size_bytes = next_u64(src) % bytes->len;
	if (!fault &&
	    ffl_schema_decode(schema, in, back, &src->arena, NULL) == FFL_OK)
		fault = "a cut message is taken for whole";
	g_byte_array_free(bytes, TRUE);
	return fault;
}

static int write_bytes(void *data, const char *buf, size_t len)
{
	g_byte_array_append(data, (const guint8 *)buf, (guint)len);
	return 0;
}

static void pack_sized(msgpack_packer *pk, bool text, uint32_t n)
{
	gchar *data = g_malloc0(n + 1);

	memset(data, 'x', n);
	if (text)
		msgpack_pack_str_with_body(pk, data, n);
	else
		msgpack_pack_bin_with_body(pk, data, n);
	g_free(data);
}

/* Packs the first value that a field must refuse; false where it has none. */
static bool pack_past(const ffl_field_t *f, msgpack_packer *pk)
{
	switch (f->kind) {
	case FFL_FIELD_U32:
		msgpack_pack_uint64(pk, (f->max ? f->max : UINT32_MAX) + 1);
		return true;
	case FFL_FIELD_ENUM:
		msgpack_pack_uint64(pk, f->max);
		return true;
	case FFL_FIELD_TEXT:
		pack_sized(pk, true, f->cap);
		return true;
	case FFL_FIELD_HASH:
		pack_sized(pk, false, FFL_HASH_BYTES + 1);
		return true;
	case FFL_FIELD_BLOB:
		pack_sized(pk, false, f->cap + 1);
		return true;
	case FFL_FIELD_LIST:
		msgpack_pack_array(pk, f->cap + 1);
		for (uint32_t i = 0; i <= f->cap; i++)
			msgpack_pack_array(pk, 0);
		return true;
	default:
		return false;
	}
}

static const char *check_bounds(const ffl_schema_t *schema, source_t *src)
{
	uint64_t obj[OBJECT_BYTES / sizeof(uint64_t)];
	uint32_t which = next(src) % schema->field_count;
	GByteArray *bytes = g_byte_array_new();
	GByteArray *zero = g_byte_array_new();
	ffl_schema_t first = *schema;
	const char *fault = NULL;
	msgpack_packer pk;
	bool past;

	memset(obj, 0, sizeof(obj));
	first.field_count = which;
	ffl_schema_encode(&first, obj, zero);
	msgpack_packer_init(&pk, bytes, write_bytes);
	msgpack_pack_array(&pk, which + 1);
	/* An array of fewer than 16 fields has a head of one byte. */
	if (which > 15)
		g_byte_array_append(bytes, zero->data + 3, zero->len - 3);
	else
		g_byte_array_append(bytes, zero->data + 1, zero->len - 1);
	past = pack_past(&schema->fields[which], &pk);
	if (past &&
	    ffl_schema_decode(schema, (ffl_bytes_t){ bytes->data, bytes->len },
			      obj, &src->arena, NULL) == FFL_OK)
		fault = "a value past its bound is taken";
	g_byte_array_free(zero, TRUE);
	g_byte_array_free(bytes, TRUE);
	return fault;
}

static const char *check_claim(const ffl_schema_t *schema, source_t *src)
{
	uint64_t obj[OBJECT_BYTES / sizeof(uint64_t)];
	uint32_t claim = CLAIM - next(src);
	uint8_t head[] = { next(src) & 1 ? 0xdd : 0xdf, (uint8_t)(claim >> 24),
			   (uint8_t)(claim >> 16), (uint8_t)(claim >> 8),
			   (uint8_t)claim };
	ffl_bytes_t in = { head, sizeof(head) };

	if (ffl_schema_decode(schema, in, obj, &src->arena, NULL) !=
	    FFL_INVALID)
		return "a message may claim more than its bytes can hold";
	return NULL;
}

static bool has_json(const ffl_schema_t *schema)
{
	for (uint32_t i = 0; i < schema->field_count; i++) {
		if (schema->fields[i].kind == FFL_FIELD_LIST ||
		    schema->fields[i].kind == FFL_FIELD_BLOB)
			return false;
	}
	return true;
}

static const char *check_json(const ffl_schema_t *schema, source_t *src)
{
	uint64_t obj[OBJECT_BYTES / sizeof(uint64_t)];
	uint64_t back[OBJECT_BYTES / sizeof(uint64_t)];
	uint32_t which = next(src) % schema->field_count;
	const ffl_field_t *f = &schema->fields[which];
	const char *fault = NULL;
	ffl_findings_t fs;
	json_t *json;

	if (!has_json(schema))
		return NULL;
	ffl_findings_init(&fs, "fuzz");
	fill(schema, obj, src);
	json = ffl_schema_to_json(schema, obj);
	if (ffl_schema_from_json(schema, json, back, &fs) != FFL_OK ||
	    !same(schema, obj, back))
		fault = "a JSON object is not read as it was written";
	if (f->kind == FFL_FIELD_U32)
		json_object_set_new(
			json, f->name,
			json_integer(
				(json_int_t)(f->max ? f->max : UINT32_MAX) +
				1));
	else
		json_object_set_new(json, "no-such-field", json_null());
	if (!fault && ffl_schema_from_json(schema, json, back, &fs) == FFL_OK)
		fault = "a JSON value past its bound is taken";
	json_decref(json);
	ffl_findings_finish(&fs);
	return fault;
}

static const char *check_garbage(const ffl_schema_t *schema, source_t *src)
{
	uint64_t obj[OBJECT_BYTES / sizeof(uint64_t)];
	ffl_bytes_t in = { src->ops, src->left };
	ffl_peer_msg_t msg;
	ffl_record_t rec;
	ffl_findings_t fs;
	json_t *json;

	ffl_schema_decode(schema, in, obj, &src->arena, NULL);
	ffl_record_decode(in, &rec, &src->arena);
	ffl_peer_decode(in, &msg, &src->arena);
	json = json_loadb((const char *)in.data, in.size_bytes, 0, NULL);
	ffl_findings_init(&fs, "fuzz");
	ffl_schema_from_json(schema, json, obj, &fs);
	ffl_findings_finish(&fs);
	json_decref(json);
	return NULL;
}

static const char *run(const uint8_t *ops, size_t op_count, GString *trace)
{
	source_t src = { .ops = ops, .left = op_count };
	const char *fault = NULL;
	size_t steps = 0;

	if (trace)
		for (size_t i = 0; i < op_count; i++)
			g_string_append_printf(trace, "0x%02x,%s", ops[i],
					       i % 12 == 11 ? "\n" : " ");
	ffl_arena_init(&src.arena);
	while (src.left && !fault) {
		check_fn_t check = checks[next(&src) % G_N_ELEMENTS(checks)];

		fault = check(schemas[next(&src) % G_N_ELEMENTS(schemas)],
			      &src);
		ffl_arena_reset(&src.arena);
		steps++;
	}
	ffl_arena_finish(&src.arena);
	fuzz_steps(steps);
	return fault;
}
