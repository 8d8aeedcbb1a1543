#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "bench/bench.h"

#define NS_PER_S 1000000000ULL

static int compare(const void *a, const void *b);

uint64_t bench_now_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * NS_PER_S + (uint64_t)ts.tv_nsec;
}

uint64_t bench_heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return (uint64_t)info.uordblks + (uint64_t)info.hblkhd;
}

void bench_print(const char *name, double value, const char *unit,
		 json_t *params)
{
	json_t *json = json_pack("{s:s,s:f,s:s}", "name", name, "value", value,
				 "unit", unit);

	if (params) {
		json_object_update(json, params);
		json_decref(params);
	}
	json_dumpf(json, stdout,
		   JSON_COMPACT | JSON_PRESERVE_ORDER | JSON_REAL_PRECISION(6));
	putchar('\n');
	fflush(stdout);
	json_decref(json);
}

static int compare(const void *pa, const void *pb)
{
	double a = *(const double *)pa;
	double b = *(const double *)pb;

	return (a > b) - (a < b);
}

double bench_quantile(double *samples, uint32_t count, double quantile)
{
	if (!count)
		return 0;
	qsort(samples, count, sizeof(*samples), compare);
	return samples[(uint32_t)((count - 1) * quantile)];
}
