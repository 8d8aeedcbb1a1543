/**
 * @file counters.h
 * @brief Counters and gauges of one process; any thread may use them.
 */
#ifndef FFL_COUNTERS_H
#define FFL_COUNTERS_H

#include <stdatomic.h>
#include <stdint.h>
#include <glib.h>

/** ID of a counter or gauge; ffl_counter_name() returns its metric name. */
typedef enum {
	FFL_CTR_EVENTS,
	FFL_CTR_ACTIONS,
	FFL_CTR_RECORDS_FOLDED,
	FFL_CTR_RECORDS_SKIPPED,
	FFL_CTR_RECORDS_DUPLICATE,
	FFL_CTR_RECORDS_LATE,
	FFL_CTR_RECORDS_FOREIGN,
	FFL_CTR_RECORDS_UNDECODABLE,
	FFL_CTR_RECORDS_UNKNOWN,
	FFL_CTR_READS_REFUSED,
	FFL_CTR_SNAPSHOTS_DAMAGED,
	FFL_CTR_APPENDS,
	FFL_CTR_APPENDS_UNKNOWN,
	FFL_CTR_PLANS,
	FFL_CTR_CONFIRMED,
	FFL_CTR_CONFLICTS,
	FFL_CTR_REQUESTS,
	FFL_CTR_REQUESTS_REFUSED,
	FFL_CTR_REQUESTS_FORWARDED,
	FFL_CTR_REQUESTS_RETRIED,
	FFL_CTR_REQUESTS_DONE,
	FFL_CTR_JOBS_SUBMITTED,
	FFL_CTR_JOBS_STARTED,
	FFL_CTR_JOBS_ENDED,
	FFL_CTR_JOBS_PREEMPTED,
	FFL_CTR_LEASES_LAPSED,
	FFL_CTR_FENCED,
	FFL_CTR_RING_FULL,
	FFL_CTR_FRAMES_DROPPED,
	FFL_CTR_CONNECTIONS_REFUSED,
	FFL_CTR_CONNECTIONS_CUT,
	FFL_CTR_CONNECTIONS_UNUSED,
	FFL_CTR_HEADS_REFUSED,
	FFL_CTR_ANSWERS_BROKEN,
	FFL_CTR_REVISION,
	FFL_CTR_LOG_OFFSET,
	FFL_CTR__MAX
} ffl_counter_t;

/** Values of all counters and gauges. */
typedef struct {
	_Atomic uint64_t value[FFL_CTR__MAX];
} ffl_counters_t;

void ffl_counters_init(ffl_counters_t *c);
/** Adds @p n to a counter. */
void ffl_counter_add(ffl_counters_t *c, ffl_counter_t id, uint64_t n);
/** Sets a gauge. */
void ffl_counter_set(ffl_counters_t *c, ffl_counter_t id, uint64_t value);
/** Returns the value of a counter or gauge. */
uint64_t ffl_counter_get(const ffl_counters_t *c, ffl_counter_t id);
/** Returns the metric name without its "ffl_" prefix. */
const char *ffl_counter_name(ffl_counter_t id);
/** Returns the description for the metric's HELP line. */
const char *ffl_counter_help(ffl_counter_t id);
/** Appends all values in the Prometheus text format, with HELP lines. */
void ffl_counters_format(const ffl_counters_t *c, GString *out);

#endif
