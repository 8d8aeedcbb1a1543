/**
 * @file save.c
 * @brief Saved state as a stream of schema messages.
 */
#include <string.h>

#include "fireflyledge/save.h"
#include "lib/wire/fields.h"

/** Message that holds a single number. */
typedef struct {
	uint64_t value;
} number_t;

static const ffl_field_t number_fields[] = { FIELD_U64(number_t, value) };
static const ffl_schema_t number_schema = SCHEMA(number_t, number_fields);

void ffl_loader_init(ffl_loader_t *l, ffl_bytes_t in)
{
	memset(l, 0, sizeof(*l));
	l->rest = in;
	ffl_arena_init(&l->arena);
}

void ffl_loader_finish(ffl_loader_t *l)
{
	ffl_arena_finish(&l->arena);
}

bool ffl_load(ffl_loader_t *l, const ffl_schema_t *schema, void *obj)
{
	size_t used = 0;

	if (l->status != FFL_OK)
		return false;
	l->status = ffl_schema_decode(schema, l->rest, obj, &l->arena, &used);
	if (l->status != FFL_OK)
		return false;
	l->rest.data += used;
	l->rest.size_bytes -= used;
	l->used_bytes += used;
	return true;
}

void ffl_save_u64(uint64_t value, GByteArray *out)
{
	number_t n = { value };

	ffl_schema_encode(&number_schema, &n, out);
}

bool ffl_load_u64(ffl_loader_t *l, uint64_t *value, uint64_t max)
{
	number_t n;

	if (!ffl_load(l, &number_schema, &n))
		return false;
	*value = n.value;
	if (n.value > max)
		l->status = FFL_INVALID;
	return l->status == FFL_OK;
}

void ffl_save_array(const ffl_schema_t *schema, const GArray *array,
		    GByteArray *out)
{
	ffl_save_u64(array->len, out);
	for (guint i = 0; i < array->len; i++)
		ffl_schema_encode(schema,
				  array->data + (gsize)i * schema->size_bytes,
				  out);
}

bool ffl_load_array(ffl_loader_t *l, const ffl_schema_t *schema, GArray *array,
		    uint64_t max)
{
	uint64_t count;

	g_array_set_size(array, 0);
	if (!ffl_load_u64(l, &count, max))
		return false;
	g_array_set_size(array, (guint)count);
	for (uint64_t i = 0; i < count; i++) {
		if (!ffl_load(l, schema, array->data + i * schema->size_bytes))
			return false;
	}
	return true;
}
