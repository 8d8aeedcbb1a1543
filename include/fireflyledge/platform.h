/**
 * @file platform.h
 * @brief Messages of the platform's append-only log service.
 */
#ifndef FFL_PLATFORM_H
#define FFL_PLATFORM_H

#include "fireflyledge/record.h"

/** Most records in an append, and in a page of a read. */
#define FFL_LOG_BATCH_MAX 64
#define FFL_LOG_PAGE_MAX  1024

/** A record in an append. */
typedef struct {
	ffl_bytes_t data; /**< encoded ffl_record_t */
} ffl_log_item_t;

/** An append of records at consecutive offsets. */
typedef struct {
	ffl_list_t items; /**< of ffl_log_item_t */
} ffl_log_batch_t;

/** Answer to an append. */
typedef struct {
	uint64_t offset; /**< of the first record appended */
} ffl_log_ack_t;

/** A record in a page. */
typedef struct {
	uint64_t offset;
	ffl_bytes_t data;
} ffl_log_row_t;

/** Answer to a read: a page of consecutive records. */
typedef struct {
	uint64_t first;	 /**< first offset that the log retains */
	uint64_t end;	 /**< offset after the last record of the log */
	ffl_list_t rows; /**< of ffl_log_row_t */
} ffl_log_page_t;

extern const ffl_schema_t ffl_log_batch_schema;
extern const ffl_schema_t ffl_log_ack_schema;
extern const ffl_schema_t ffl_log_page_schema;

#endif
