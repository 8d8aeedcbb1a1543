/**
 * @file fake_log.h
 * @brief The platform's log, without threads or clock.
 */
#ifndef FFL_FAKE_LOG_H
#define FFL_FAKE_LOG_H

#include "fireflyledge/event.h"

/** How an answer to a read is spoilt. */
typedef enum {
	FAKE_READ_STALE,     /**< the log as it was half its length ago */
	FAKE_READ_EMPTY,     /**< no entry, though there are some */
	FAKE_READ_GAP,	     /**< the first entry is missing */
	FAKE_READ_DUPLICATE, /**< the first entry comes twice */
	FAKE_READ__MAX
} fake_read_fault_t;

typedef struct {
	GPtrArray *records; /**< of GByteArray, from offset first */
	uint64_t first;
	bool down;
	uint32_t
		lose_append_replies; /**< appends that take effect unanswered */
	uint32_t late_appends;	     /**< appends that take effect long after */
	uint32_t corrupt_reads;	     /**< answers to reads that are spoilt */
	fake_read_fault_t read_fault; /**< how */
} fake_log_t;

void fake_log_init(fake_log_t *log);
void fake_log_finish(fake_log_t *log);
/** Appends records; FFL_UNKNOWN where the answer is lost. */
ffl_status_t fake_log_append(fake_log_t *log, const ffl_bytes_t *records,
			     uint32_t count, uint64_t *offset);
/** Spoils an answer to a read, if one is to be spoilt. */
void fake_log_corrupt_read(fake_log_t *log, ffl_ev_log_read_t *r,
			   ffl_log_entry_t *entries);
uint64_t fake_log_end(const fake_log_t *log);
ffl_bytes_t fake_log_get(const fake_log_t *log, uint64_t offset);
/** Drops the records below an offset. */
void fake_log_trim(fake_log_t *log, uint64_t first);

#endif
