/**
 * @file keyed_log.h
 * @brief A topic of a log that keeps the newest record of each key for good
 * and the history for a limited number of records.
 */
#ifndef FFL_KEYED_LOG_H
#define FFL_KEYED_LOG_H

#include "fireflyledge/arena.h"
#include "fireflyledge/node.h"

/** A record as it is kept. */
typedef struct {
	uint64_t offset;
	char key[FFL_RECORD_KEY_BYTES];
	GBytes *value;
} keyed_record_t;

typedef struct {
	GPtrArray *history; /**< of keyed_record_t, from offset first on */
	uint64_t first;
	uint64_t end;
	GTree *newest; /**< keyed_record_t by key, in the order of keys */
} keyed_log_t;

void keyed_log_init(keyed_log_t *log);
void keyed_log_finish(keyed_log_t *log);
/** Appends all or nothing; FFL_STORE_MOVED where @p at is not the end. */
ffl_store_outcome_t keyed_log_append(keyed_log_t *log, uint64_t at,
				     const GPtrArray *writes, uint64_t *offset);
void keyed_log_put(keyed_log_t *log, const char *key, const void *value,
		   size_t size_bytes);
/** Forgets the history, not the newest records. */
void keyed_log_trim_history(keyed_log_t *log);
/** Fills an answer; the records live as long as the arena. */
void keyed_log_read(const keyed_log_t *log, uint64_t from,
		    ffl_store_reply_t *out, ffl_arena_t *arena);
void keyed_log_newest(const keyed_log_t *log, const char *after, uint32_t most,
		      ffl_store_reply_t *out, ffl_arena_t *arena);

#endif
