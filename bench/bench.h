/**
 * @file bench.h
 * @brief Timing and output that every benchmark shares.
 *
 * A benchmark prints JSON lines: an object with name, value, unit and the
 * parameters of the figure.
 */
#ifndef FFL_BENCH_H
#define FFL_BENCH_H

#include <stdint.h>
#include <jansson.h>

/** Returns monotonic time in nanoseconds. */
uint64_t bench_now_ns(void);

/** Returns bytes of the heap that are in use. */
uint64_t bench_heap_bytes(void);

/**
 * Prints one figure.
 *
 * @param params JSON object of parameters; the reference is taken
 */
void bench_print(const char *name, double value, const char *unit,
		 json_t *params);

/** Sorts samples and returns a quantile between 0 and 1. */
double bench_quantile(double *samples, uint32_t count, double quantile);

#endif
