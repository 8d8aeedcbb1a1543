/**
 * @file measure.h
 * @brief Checks what a msgpack message claims before memory is taken for it.
 */
#ifndef FFL_WIRE_MEASURE_H
#define FFL_WIRE_MEASURE_H

#include "fireflyledge/status.h"
#include "fireflyledge/types.h"

/** Most elements of arrays and maps in one message. */
#define FFL_WIRE_ELEMENTS_MAX (1U << 20)

/**
 * Walks over the first message of @p in and takes no memory.
 *
 * @param used_bytes set to the bytes of the message
 * @return FFL_OK, FFL_TRUNCATED, or FFL_INVALID where it is malformed or its
 *         arrays claim more elements than its bytes can hold
 */
ffl_status_t ffl_wire_measure(ffl_bytes_t in, size_t *used_bytes);

#endif
