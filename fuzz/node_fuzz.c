/*
 * Hosts on a log service that die, freeze, leave, are cut off or see the log
 * fail in every way, with workers that crash, hang, leave and carry orders
 * out late: nothing accepted is lost, nothing done runs again, no two runs of
 * a task at once, no refused or cancelled job runs, nothing starts in
 * a data centre that was evacuated, and everything ends.
 */
#include "fuzz/fuzz.h"
#include "fuzz/node_ops.h"

static const char *run(const uint8_t *ops, size_t op_count, GString *trace);

const fuzz_target_t fuzz_target = { "node", NODE_OP_BYTES, run };

static const char *run(const uint8_t *ops, size_t op_count, GString *trace)
{
	return node_ops_run(ops, op_count, trace, false);
}
