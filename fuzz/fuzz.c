#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fuzz/fuzz.h"

/** Most attempts at a shorter failing sequence. */
#define SHRINK_TRIES_MAX 2000

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);
int LLVMFuzzerInitialize(int *argc, char ***argv);

static void print_steps(void);
static size_t shrink(uint8_t *ops, size_t count);
static void report(const uint8_t *ops, size_t count);

static uint64_t steps;

void fuzz_steps(uint64_t n)
{
	steps += n;
}

static void print_steps(void)
{
	printf("%s: %" PRIu64 " steps\n", fuzz_target.name, steps);
	fflush(stdout);
}

int LLVMFuzzerInitialize(int *argc, char ***argv)
{
	atexit(print_steps);
	return 0;
}

/* Leaves out ever smaller runs of operations while the fault remains. */
static size_t shrink(uint8_t *ops, size_t count)
{
	size_t bytes = fuzz_target.op_bytes;
	uint8_t *trial = g_malloc(count * bytes + 1);
	uint32_t tries = 0;

	for (size_t len = count / 2; len > 0; len /= 2) {
		size_t at = 0;

		while (at + len <= count && tries++ < SHRINK_TRIES_MAX) {
			size_t rest = count - at - len;

			memcpy(trial, ops, at * bytes);
			memcpy(trial + at * bytes, ops + (at + len) * bytes,
			       rest * bytes);
			if (fuzz_target.run(trial, count - len, NULL)) {
				memcpy(ops, trial, (count - len) * bytes);
				count -= len;
			} else {
				at += len;
			}
		}
	}
	g_free(trial);
	return count;
}

static void report(const uint8_t *ops, size_t count)
{
	size_t bytes = fuzz_target.op_bytes;
	uint8_t *copy = g_memdup2(ops, count * bytes);
	GString *trace = g_string_new(NULL);
	const char *fault;

	count = shrink(copy, count);
	fault = fuzz_target.run(copy, count, trace);
	printf("%s: FAULT: %s\nshortest sequence found, %zu steps:\n%s",
	       fuzz_target.name, fault ? fault : "not repeatable", count,
	       trace->str);
	fflush(stdout);
	g_string_free(trace, TRUE);
	g_free(copy);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	size_t count = size / fuzz_target.op_bytes;

	if (count > FUZZ_OPS_MAX)
		count = FUZZ_OPS_MAX;
	if (!fuzz_target.run(data, count, NULL))
		return 0;
	report(data, count);
	print_steps();
	abort();
}
