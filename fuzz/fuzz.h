/**
 * @file fuzz.h
 * @brief What every stateful fuzzer shares: steps, shrinking, printing.
 *
 * A target turns bytes into operations of a fixed size and runs them against
 * the real state machines and an oracle. Where the oracle objects, the
 * shortest failing sequence is sought by leaving operations out, and printed
 * as rows that can be pasted into a test table.
 */
#ifndef FFL_FUZZ_H
#define FFL_FUZZ_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>

/** Most operations of one run. */
#define FUZZ_OPS_MAX 512

/** A fuzz target. */
typedef struct {
	const char *name;
	size_t op_bytes;
	/**
	 * Runs operations; returns NULL or what promise was broken.
	 *
	 * @param trace receives a line for each operation, or is NULL
	 */
	const char *(*run)(const uint8_t *ops, size_t op_count, GString *trace);
} fuzz_target_t;

/** The target of this program; each program defines its own. */
extern const fuzz_target_t fuzz_target;

/** Counts steps done: operations and the events that they cause. */
void fuzz_steps(uint64_t n);

#endif
