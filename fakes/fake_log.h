/**
 * @file fake_log.h
 * @brief In-memory replacement of the platform's log, without threads or a
 * clock.
 */
#ifndef FFL_FAKE_LOG_H
#define FFL_FAKE_LOG_H

#include "fireflyledge/event.h"

/** Fault in the reply to a read. */
typedef enum {
	FAKE_READ_STALE,     /**< the end is reported too low, no entries */
	FAKE_READ_EMPTY,     /**< no entries, although there are some */
	FAKE_READ_GAP,	     /**< the first entry is missing */
	FAKE_READ_DUPLICATE, /**< the second entry repeats the first */
	FAKE_READ__MAX
} fake_read_fault_t;

typedef struct {
	GPtrArray *records; /**< of GByteArray; the first has offset first */
	uint64_t first;	    /**< lowest offset that is kept */
	bool down;	    /**< appends are refused */
	uint32_t lose_append_replies; /**< next appends that take effect but
					report FFL_UNKNOWN */
	uint32_t late_appends;	/**< next appends that the caller delays */
	uint32_t corrupt_reads; /**< next replies with read_fault */
	fake_read_fault_t read_fault; /**< fault of those replies */
} fake_log_t;

void fake_log_init(fake_log_t *log);
void fake_log_finish(fake_log_t *log);
/**
 * Appends records.
 *
 * @param offset set to the offset of the first record
 * @return FFL_OK, FFL_UNAVAILABLE while the log is down (nothing is written),
 *	 or FFL_UNKNOWN where the records are written but the reply is lost
 */
ffl_status_t fake_log_append(fake_log_t *log, const ffl_bytes_t *records,
			     uint32_t count, uint64_t *offset);
/** Applies the configured fault to the reply to a read, if any is due. */
void fake_log_corrupt_read(fake_log_t *log, ffl_ev_log_read_t *r,
			   ffl_log_entry_t *entries);
/** Returns the offset that the next record gets. */
uint64_t fake_log_end(const fake_log_t *log);
/** Returns the record at an offset, which must be kept; owned by the log. */
ffl_bytes_t fake_log_get(const fake_log_t *log, uint64_t offset);
/** Drops the records below an offset. */
void fake_log_trim(fake_log_t *log, uint64_t first);

#endif
