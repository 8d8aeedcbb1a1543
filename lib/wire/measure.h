/**
 * @file measure.h
 * @brief Size check of a msgpack message, before memory is allocated for it.
 *
 * A few bytes can state an array of billions of elements. A message is
 * therefore checked first: each element takes at least one byte, so that a
 * message cannot have more elements than bytes.
 */
#ifndef FFL_WIRE_MEASURE_H
#define FFL_WIRE_MEASURE_H

#include "fireflyledge/status.h"
#include "fireflyledge/types.h"

/** Most elements of all arrays and maps in a message, whatever its size. */
#define FFL_WIRE_ELEMENTS_MAX (1U << 20)

/**
 * Finds the end of the first message in @p in, without allocating memory.
 *
 * @param used_bytes set to the size of the message; 0 unless FFL_OK
 * @return FFL_OK; FFL_TRUNCATED if @p in ends too early; FFL_INVALID if it is
 *         malformed, or its arrays and maps state more elements than @p in has
 *         bytes or than FFL_WIRE_ELEMENTS_MAX
 */
ffl_status_t ffl_wire_measure(ffl_bytes_t in, size_t *used_bytes);

#endif
