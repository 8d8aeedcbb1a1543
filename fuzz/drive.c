/*
 * Runs a fuzz target on seeded random input, without libFuzzer.
 * Usage: drive SEED RUNS [FILE]
 * A failing input is kept in FILE, for the libFuzzer program of the target.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "fireflyledge/rng.h"
#include "fuzz/fuzz.h"

/** Most operations of one run. */
#define OPS_MAX 128

static int run_once(ffl_rng_t *rng, const char *keep);

static uint64_t steps;

void fuzz_steps(uint64_t n)
{
	steps += n;
}

static int run_once(ffl_rng_t *rng, const char *keep)
{
	size_t count = 1 + ffl_rng_below(rng, OPS_MAX);
	size_t size = count * fuzz_target.op_bytes;
	uint8_t *ops = g_malloc(size);
	GString *trace;
	const char *fault;

	for (size_t i = 0; i < size; i++)
		ops[i] = (uint8_t)ffl_rng_next(rng);
	fault = fuzz_target.run(ops, count, NULL);
	if (fault) {
		trace = g_string_new(NULL);
		fuzz_target.run(ops, count, trace);
		printf("%s: FAULT: %s\n%s", fuzz_target.name, fault,
		       trace->str);
		g_string_free(trace, TRUE);
		if (keep && !g_file_set_contents(keep, (const gchar *)ops,
						 (gssize)size, NULL))
			fprintf(stderr, "cannot write %s\n", keep);
	}
	g_free(ops);
	return fault ? 1 : 0;
}

int main(int argc, char **argv)
{
	uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;
	uint64_t runs = argc > 2 ? strtoull(argv[2], NULL, 10) : 100;
	ffl_rng_t rng;

	ffl_rng_init(&rng, seed);
	for (uint64_t i = 0; i < runs; i++) {
		if (run_once(&rng, argc > 3 ? argv[3] : NULL)) {
			printf("%s: failed with seed %" PRIu64 " run %" PRIu64
			       "\n",
			       fuzz_target.name, seed, i);
			return 1;
		}
	}
	printf("%s: %" PRIu64 " steps\n", fuzz_target.name, steps);
	return 0;
}
