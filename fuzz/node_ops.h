/**
 * @file node_ops.h
 * @brief Operations on a simulated site, for the fuzzers of the entry host.
 */
#ifndef NODE_OPS_H
#define NODE_OPS_H

#include <glib.h>
#include <stdbool.h>

/** Bytes of an operation. */
#define NODE_OP_BYTES 3

/**
 * Runs a sequence of operations and returns the violated guarantee, or NULL.
 *
 * @param trace gets the operations and the violation, or NULL
 * @param spread jobs are spread over several partitions of the log, which also
 *        fail alone and whose number changes when hosts start
 */
const char *node_ops_run(const uint8_t *ops, size_t op_count, GString *trace,
			 bool spread);

#endif
