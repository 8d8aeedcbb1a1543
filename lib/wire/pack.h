/**
 * @file pack.h
 * @brief msgpack values that are written and read without a schema.
 */
#ifndef FFL_WIRE_PACK_H
#define FFL_WIRE_PACK_H

#include <glib.h>
#include <msgpack.h>

#include "fireflyledge/types.h"

/** Appends what a packer writes to @p out, a GByteArray; never fails. */
int ffl_wire_write(void *out, const char *buf, size_t size_bytes);

/**
 * Unpacks the first value in @p in, after ffl_wire_measure() has passed it, so
 * that no memory is allocated for elements that are not there.
 *
 * @param msg initialized; the caller destroys it, also after a failure
 * @return false if the bytes are no value
 */
bool ffl_wire_unpack(ffl_bytes_t in, msgpack_unpacked *msg);

/**
 * Like ffl_wire_unpack(), for an array.
 *
 * @return the array, within @p msg, or NULL if there is none
 */
const msgpack_object_array *ffl_wire_unpack_array(ffl_bytes_t in,
						  msgpack_unpacked *msg);

#endif
