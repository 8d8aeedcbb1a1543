/**
 * @file learn.c
 * @brief Run-time estimates from completed jobs, by customer and kind.
 */
#include <string.h>

#include "fireflyledge/learn.h"

/** Fractional bits of a logarithm. */
#define FRACTION_BITS 16
#define ONE	      (1LL << FRACTION_BITS)
/** Completed runs that a key needs before its estimate is used. */
#define RUNS_MIN 3
/** Runs after which the weight of a new run no longer falls. */
#define MEMORY_RUNS 32
/** Estimate without declared run time or completed runs, in ms. */
#define DEFAULT_MS 600000
/** Longest run time that an estimate returns, as a logarithm of ms. */
#define LOG_MAX (40 * ONE)

static uint64_t entry_key(const ffl_job_spec_t *spec, bool with_kind);
static ffl_learn_entry_t *get_or_add_entry(ffl_learn_t *l, uint64_t key);
static void predictor_add(ffl_predictor_t *p, uint32_t count, int64_t value);
static void observe_key(ffl_learn_t *l, uint64_t key, int64_t time,
			int64_t ratio);
static uint64_t exp2_ms(int64_t log);

/* Mean absolute deviations above the mean; 8 fractional bits. */
static const int64_t quantile_deviations[FFL_LEARN__MAX] = {
	[FFL_LEARN_MEDIAN] = 0,
	[FFL_LEARN_HIGH] = 410,
};

int64_t ffl_log2(uint64_t n)
{
	int top = 63 - __builtin_clzll(n | 1);
	uint64_t rest = n - (1ULL << top);

	if (top > FRACTION_BITS)
		return top * ONE + (int64_t)(rest >> (top - FRACTION_BITS));
	return top * ONE + (int64_t)(rest << (FRACTION_BITS - top));
}

static uint64_t exp2_ms(int64_t log)
{
	int64_t whole;
	uint64_t fraction;

	if (log < 0)
		return 1;
	if (log > LOG_MAX)
		log = LOG_MAX;
	whole = log >> FRACTION_BITS;
	fraction = (uint64_t)(log & (ONE - 1)) + ONE;
	if (whole > FRACTION_BITS)
		return fraction << (whole - FRACTION_BITS);
	return fraction >> (FRACTION_BITS - whole);
}

void ffl_learn_init(ffl_learn_t *l)
{
	l->by_key = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					  NULL);
}

void ffl_learn_finish(ffl_learn_t *l)
{
	g_hash_table_destroy(l->by_key);
}

static uint64_t entry_key(const ffl_job_spec_t *spec, bool with_kind)
{
	uint64_t h = ffl_hash(spec->customer, strlen(spec->customer), 1);

	return with_kind ? ffl_hash(spec->kind, strlen(spec->kind), h) : h;
}

static ffl_learn_entry_t *get_or_add_entry(ffl_learn_t *l, uint64_t key)
{
	ffl_learn_entry_t *e = g_hash_table_lookup(l->by_key, &key);

	if (e || g_hash_table_size(l->by_key) >= FFL_LEARN_KEYS_MAX)
		return e;
	e = g_new0(ffl_learn_entry_t, 1);
	e->key = key;
	g_hash_table_insert(l->by_key, &e->key, e);
	return e;
}

static void predictor_add(ffl_predictor_t *p, uint32_t count, int64_t value)
{
	int64_t weight = count < MEMORY_RUNS ? count : MEMORY_RUNS;
	int64_t error = value - p->mean;

	p->mean += error / weight;
	if (count > 1)
		p->deviation +=
			((error < 0 ? -error : error) - p->deviation) / weight;
}

static void observe_key(ffl_learn_t *l, uint64_t key, int64_t time,
			int64_t ratio)
{
	ffl_learn_entry_t *e = get_or_add_entry(l, key);

	if (!e)
		return;
	e->count++;
	predictor_add(&e->time, e->count, time);
	predictor_add(&e->ratio, e->count, ratio);
}

void ffl_learn_observe(ffl_learn_t *l, const ffl_job_spec_t *spec,
		       uint64_t run_ms)
{
	int64_t time = ffl_log2(run_ms ? run_ms : 1);
	int64_t declared = spec->declared_ms ? ffl_log2(spec->declared_ms) : 0;

	observe_key(l, entry_key(spec, true), time, time - declared);
	observe_key(l, entry_key(spec, false), time, time - declared);
}

uint64_t ffl_learn_estimate_ms(const ffl_learn_t *l, const ffl_job_spec_t *spec,
			       ffl_learn_quantile_t quantile)
{
	int64_t declared = spec->declared_ms ? ffl_log2(spec->declared_ms) : 0;
	uint64_t key = entry_key(spec, true);
	const ffl_learn_entry_t *e = g_hash_table_lookup(l->by_key, &key);
	const ffl_predictor_t *p;
	int64_t log;

	if (!e || e->count < RUNS_MIN) {
		key = entry_key(spec, false);
		e = g_hash_table_lookup(l->by_key, &key);
	}
	if (!e || e->count < RUNS_MIN)
		return spec->declared_ms ? spec->declared_ms : DEFAULT_MS;
	p = spec->declared_ms && e->ratio.deviation < e->time.deviation
		    ? &e->ratio
		    : &e->time;
	log = p->mean + ((p->deviation * quantile_deviations[quantile]) >> 8);
	return exp2_ms(p == &e->ratio ? log + declared : log);
}
