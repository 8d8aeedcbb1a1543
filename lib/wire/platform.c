/**
 * @file platform.c
 * @brief Schemas of the log service's messages.
 */
#include "fireflyledge/platform.h"
#include "lib/wire/fields.h"

static const ffl_field_t item_fields[] = {
	FIELD_BLOB(ffl_log_item_t, data, FFL_RECORD_BYTES_MAX),
};

static const ffl_schema_t item_schema = SCHEMA(ffl_log_item_t, item_fields);

static const ffl_field_t batch_fields[] = {
	FIELD_LIST(ffl_log_batch_t, items, FFL_LOG_BATCH_MAX, &item_schema),
};

static const ffl_field_t ack_fields[] = {
	FIELD_U64(ffl_log_ack_t, offset),
};

static const ffl_field_t row_fields[] = {
	FIELD_U64(ffl_log_row_t, offset),
	FIELD_BLOB(ffl_log_row_t, data, FFL_RECORD_BYTES_MAX),
};

static const ffl_schema_t row_schema = SCHEMA(ffl_log_row_t, row_fields);

static const ffl_field_t page_fields[] = {
	FIELD_U64(ffl_log_page_t, first),
	FIELD_U64(ffl_log_page_t, end),
	FIELD_LIST(ffl_log_page_t, rows, FFL_LOG_PAGE_MAX, &row_schema),
};

const ffl_schema_t ffl_log_batch_schema = SCHEMA(ffl_log_batch_t, batch_fields);
const ffl_schema_t ffl_log_ack_schema = SCHEMA(ffl_log_ack_t, ack_fields);
const ffl_schema_t ffl_log_page_schema = SCHEMA(ffl_log_page_t, page_fields);
