/**
 * @file pack.c
 * @brief msgpack values that are written and read without a schema.
 */
#include "lib/wire/measure.h"
#include "lib/wire/pack.h"

int ffl_wire_write(void *out, const char *buf, size_t size_bytes)
{
	g_byte_array_append(out, (const guint8 *)buf, (guint)size_bytes);
	return 0;
}

bool ffl_wire_unpack(ffl_bytes_t in, msgpack_unpacked *msg)
{
	size_t used = 0;
	size_t off = 0;

	return ffl_wire_measure(in, &used) == FFL_OK &&
	       msgpack_unpack_next(msg, (const char *)in.data, used, &off) ==
		       MSGPACK_UNPACK_SUCCESS;
}

const msgpack_object_array *ffl_wire_unpack_array(ffl_bytes_t in,
						  msgpack_unpacked *msg)
{
	if (!ffl_wire_unpack(in, msg) || msg->data.type != MSGPACK_OBJECT_ARRAY)
		return NULL;
	return &msg->data.via.array;
}
