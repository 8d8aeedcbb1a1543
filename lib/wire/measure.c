/**
 * @file measure.c
 * @brief Size check of a msgpack message without allocation.
 */
#include <string.h>
#include <msgpack.h>
#include <msgpack/unpack_define.h>

#include "lib/wire/measure.h"

/** Elements that the rest of the message may have. */
typedef struct {
	size_t left;
} element_budget_t;

/** Results of a callback of msgpack's unpacking template. */
enum {
	ACCEPT = 0,
	REJECT = -1
};

static int reserve_elements(element_budget_t *budget, size_t n);

/* Subtracts the size that an array or map states from the budget. */
static int reserve_elements(element_budget_t *budget, size_t n)
{
	if (n > budget->left)
		return REJECT;
	budget->left -= n;
	return ACCEPT;
}

/* msgpack's unpacking template calls a function for each type of value. */
#define SCALAR(name, type)                                              \
	static inline int measure_on##name(element_budget_t *b, type v, \
					   int *o)                      \
	{                                                               \
		return ACCEPT;                                          \
	}
#define EMPTY(name)                                                     \
	static inline int measure_on##name(element_budget_t *b, int *o) \
	{                                                               \
		return ACCEPT;                                          \
	}
#define BYTES(name)                                                         \
	static inline int measure_on##name(element_budget_t *b,             \
					   const char *base, const char *p, \
					   unsigned n, int *o)              \
	{                                                                   \
		return ACCEPT;                                              \
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

static inline int measure_on_root(element_budget_t *b)
{
	return ACCEPT;
}

static inline int measure_on_array(element_budget_t *b, unsigned n, int *o)
{
	return reserve_elements(b, n);
}

static inline int measure_on_array_item(element_budget_t *b, int *c, int o)
{
	return ACCEPT;
}

static inline int measure_on_map(element_budget_t *b, unsigned n, int *o)
{
	return reserve_elements(b, (size_t)n * 2);
}

static inline int measure_on_map_item(element_budget_t *b, int *c, int key,
				      int value)
{
	return ACCEPT;
}

/* NOLINTBEGIN(readability-identifier-naming): names set by the template */
#define msgpack_unpack_struct(name)    struct measure##name
#define msgpack_unpack_func(ret, name) static inline ret measure##name
#define msgpack_unpack_callback(name)  measure_on##name
#define msgpack_unpack_object	       int
#define msgpack_unpack_user	       element_budget_t
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
