/*
 * As node_fuzz.c, with jobs spread over several partitions of the log, which
 * also fail alone, and whose number changes when hosts start.
 */
#include "fuzz/fuzz.h"
#include "fuzz/node_ops.h"

static const char *run(const uint8_t *ops, size_t op_count, GString *trace);

const fuzz_target_t fuzz_target = { "parts", NODE_OP_BYTES, run };

static const char *run(const uint8_t *ops, size_t op_count, GString *trace)
{
	return node_ops_run(ops, op_count, trace, true);
}
