#include <string.h>
#include <msgpack.h>
#include <msgpack/unpack_define.h>

#include "lib/wire/measure.h"

/** Elements that the message may still claim. */
typedef struct {
	size_t left;
} budget_t;

/** Result of a callback of the library's template. */
enum {
	TAKE = 0,
	REJECT = -1
};

static int claim(budget_t *budget, size_t n);

static int claim(budget_t *budget, size_t n)
{
	if (n > budget->left)
		return REJECT;
	budget->left -= n;
	return TAKE;
}

/* The library's unpacking template asks for one function for each type. */
#define SCALAR(name, type)                                              \
	static inline int measure_on##name(budget_t *b, type v, int *o) \
	{                                                               \
		return TAKE;                                            \
	}
#define EMPTY(name)                                             \
	static inline int measure_on##name(budget_t *b, int *o) \
	{                                                       \
		return TAKE;                                    \
	}
#define BYTES(name)                                                           \
	static inline int measure_on##name(budget_t *b, const char *base,     \
					   const char *p, unsigned n, int *o) \
	{                                                                     \
		return TAKE;                                                  \
	}

SCALAR(_uint8, uint8_t)
SCALAR(_uint16, uint16_t)
SCALAR(_uint32, uint32_t)
SCALAR(_uint64, uint64_t)
SCALAR(_int8, int8_t)
SCALAR(_int16, int16_t)
SCALAR(_int32, int32_t)
SCALAR(_int64, int64_t)
SCALAR(_float, float)
SCALAR(_double, double)
EMPTY(_nil)
EMPTY(_true)
EMPTY(_false)
BYTES(_str)
BYTES(_bin)
BYTES(_ext)

static inline int measure_on_root(budget_t *b)
{
	return TAKE;
}

static inline int measure_on_array(budget_t *b, unsigned n, int *o)
{
	return claim(b, n);
}

static inline int measure_on_array_item(budget_t *b, int *c, int o)
{
	return TAKE;
}

static inline int measure_on_map(budget_t *b, unsigned n, int *o)
{
	return claim(b, (size_t)n * 2);
}

static inline int measure_on_map_item(budget_t *b, int *c, int key, int value)
{
	return TAKE;
}

/* NOLINTBEGIN(readability-identifier-naming): names of the template */
#define msgpack_unpack_struct(name)    struct measure##name
#define msgpack_unpack_func(ret, name) static inline ret measure##name
#define msgpack_unpack_callback(name)  measure_on##name
#define msgpack_unpack_object	       int
#define msgpack_unpack_user	       budget_t
/* NOLINTEND(readability-identifier-naming) */
#include <msgpack/unpack_template.h>

ffl_status_t ffl_wire_measure(ffl_bytes_t in, size_t *used_bytes)
{
	struct measure_context ctx;
	size_t off = 0;
	int rc;

	*used_bytes = 0;
	if (!in.size_bytes)
		return FFL_TRUNCATED;
	memset(&ctx, 0, sizeof(ctx));
	measure_init(&ctx);
	ctx.user.left = in.size_bytes < FFL_WIRE_ELEMENTS_MAX
				? in.size_bytes
				: FFL_WIRE_ELEMENTS_MAX;
	rc = measure_execute(&ctx, (const char *)in.data, in.size_bytes, &off);
	if (rc < 0)
		return FFL_INVALID;
	if (rc == 0)
		return FFL_TRUNCATED;
	*used_bytes = off;
	return FFL_OK;
}
