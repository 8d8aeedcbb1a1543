/**
 * @file fake_log.h
 * @brief The platform's log, without threads or clock.
 */
#ifndef FFL_FAKE_LOG_H
#define FFL_FAKE_LOG_H

#include "fireflyledge/event.h"

typedef struct {
	GPtrArray *records; /**< of GByteArray, from offset first */
	uint64_t first;
	bool down;
	uint32_t lose_answers; /**< appends that take effect unanswered */
} fake_log_t;

void fake_log_init(fake_log_t *log);
void fake_log_finish(fake_log_t *log);
/** Appends records; FFL_UNKNOWN where the answer is lost. */
ffl_status_t fake_log_append(fake_log_t *log, const ffl_bytes_t *records,
			     uint32_t count, uint64_t *offset);
uint64_t fake_log_end(const fake_log_t *log);
ffl_bytes_t fake_log_at(const fake_log_t *log, uint64_t offset);
/** Drops the records below an offset. */
void fake_log_trim(fake_log_t *log, uint64_t first);

#endif
