/**
 * @file keyed_log.h
 * @brief Topic of a log that keeps the newest record of each key permanently,
 * and its history until the history is trimmed.
 */
#ifndef FFL_KEYED_LOG_H
#define FFL_KEYED_LOG_H

#include "fireflyledge/arena.h"
#include "fireflyledge/node.h"

/** Limits of the platform's log: a record with its key, and, unless the log
 * sets another one, an append with all lengths. */
#define KEYED_LOG_RECORD_BYTES_MAX 262144
#define KEYED_LOG_APPEND_BYTES_MAX 2097152

/** A stored record. */
typedef struct {
	uint64_t offset;
	char key[FFL_RECORD_KEY_BYTES];
	GBytes *value;
} keyed_record_t;

typedef struct {
	GPtrArray
		*history; /**< of keyed_record_t; the first has offset first */
	uint64_t first;	  /**< lowest offset in history */
	uint64_t end;	  /**< offset of the next record */
	GTree *newest;	  /**< keyed_record_t by key, in the order of keys */
	uint64_t append_bytes_max;
} keyed_log_t;

void keyed_log_init(keyed_log_t *log);
void keyed_log_finish(keyed_log_t *log);
/**
 * Appends records atomically.
 *
 * @param at expected end of the log, or FFL_ANY_END
 * @param writes of ffl_write_t
 * @param offset set to the offset of the first record
 * @return FFL_STORE_OK, FFL_STORE_MOVED where @p at is not the end, or
 *         FFL_STORE_UNKNOWN where a limit is exceeded: the platform names no
 *         status for that
 */
ffl_store_outcome_t keyed_log_append(keyed_log_t *log, uint64_t at,
				     const GPtrArray *writes, uint64_t *offset);
/** Appends one record; an empty value deletes the key. */
void keyed_log_put(keyed_log_t *log, const char *key, const void *value,
		   size_t size_bytes);
/** Drops the whole history; the newest record of each key stays. */
void keyed_log_trim_history(keyed_log_t *log);
/** Reads all records from an offset on into the arena; the outcome is
 * FFL_STORE_EXPIRED where the history was trimmed past @p from. */
void keyed_log_read(const keyed_log_t *log, uint64_t from,
		    ffl_store_reply_t *out, ffl_arena_t *arena);
/** Reads the newest records of at max @p max keys that sort after @p after
 * (empty: from the first key) into the arena. */
void keyed_log_newest(const keyed_log_t *log, const char *after, uint32_t max,
		      ffl_store_reply_t *out, ffl_arena_t *arena);

#endif
