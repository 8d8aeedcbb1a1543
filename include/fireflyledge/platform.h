/**
 * @file platform.h
 * @brief Messages of the platform's log service.
 */
#ifndef FFL_PLATFORM_H
#define FFL_PLATFORM_H

#include "fireflyledge/record.h"

/** Most records in one append and in one page. */
#define FFL_LOG_BATCH_MAX 64
#define FFL_LOG_PAGE_MAX  1024

/** One record in an append. */
typedef struct {
	ffl_bytes_t data;
} ffl_log_item_t;

typedef struct {
	ffl_list_t items; /**< of ffl_log_item_t */
} ffl_log_batch_t;

/** Answer to an append: offset of its first record. */
typedef struct {
	uint64_t offset;
} ffl_log_ack_t;

/** One record in a page. */
typedef struct {
	uint64_t offset;
	ffl_bytes_t data;
} ffl_log_row_t;

/** Answer to a read. */
typedef struct {
	uint64_t first;	 /**< first offset retained */
	uint64_t end;	 /**< offset after the last record */
	ffl_list_t rows; /**< of ffl_log_row_t */
} ffl_log_page_t;

extern const ffl_schema_t ffl_log_batch_schema;
extern const ffl_schema_t ffl_log_ack_schema;
extern const ffl_schema_t ffl_log_page_schema;

#endif
