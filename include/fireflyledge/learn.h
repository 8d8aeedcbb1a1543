/**
 * @file learn.h
 * @brief Run-time estimates from completed jobs, by customer and kind.
 *
 * Each key has two predictors, both of logarithms: the run time itself and
 * its ratio to the declared run time. The one with the smaller mean deviation
 * is used. All arithmetic is in integers, so that hosts agree to the bit.
 */
#ifndef FFL_LEARN_H
#define FFL_LEARN_H

#include <glib.h>

#include "fireflyledge/record.h"

/** Keys kept at most; kinds beyond it use the estimate of their customer. */
#define FFL_LEARN_KEYS_MAX 4096

/** Moving mean and deviation of binary logarithms, 16 fractional bits. */
typedef struct {
	int64_t mean;
	int64_t deviation; /**< mean absolute deviation */
} ffl_predictor_t;

/** Run times of one customer, or of one customer and kind. */
typedef struct {
	uint64_t key;
	uint32_t count;
	ffl_predictor_t time;
	ffl_predictor_t ratio;
} ffl_learn_entry_t;

/** All run times learned. */
typedef struct {
	GHashTable *by_key; /**< ffl_learn_entry_t by key */
} ffl_learn_t;

/** Quantile of an estimate. */
typedef enum {
	FFL_LEARN_MEDIAN,
	FFL_LEARN_HIGH, /**< about nine runs in ten are shorter */
	FFL_LEARN__MAX
} ffl_learn_quantile_t;

void ffl_learn_init(ffl_learn_t *l);
void ffl_learn_finish(ffl_learn_t *l);

/** Records the run time of a completed job. */
void ffl_learn_observe(ffl_learn_t *l, const ffl_job_spec_t *spec,
		       uint64_t run_ms);

/** Returns the expected run time of a job, in milliseconds; at least 1. */
uint64_t ffl_learn_estimate_ms(const ffl_learn_t *l, const ffl_job_spec_t *spec,
			       ffl_learn_quantile_t quantile);

/** Returns the binary logarithm of a positive number, 16 fractional bits. */
int64_t ffl_log2(uint64_t n);

#endif
