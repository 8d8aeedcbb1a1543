/**
 * @file settings.h
 * @brief The daemon's settings: one table of keys for checking and help.
 */
#ifndef FFL_SETTINGS_H
#define FFL_SETTINGS_H

#include "fireflyledge/finding.h"
#include "fireflyledge/status.h"
#include "fireflyledge/types.h"

/** Longest URL and list of addresses. */
#define FFL_URL_BYTES 128
/** Hexadecimal hash with its terminator. */
#define FFL_HEX_BYTES (FFL_HASH_BYTES * 2 + 1)

/** Type of a setting's value. */
typedef enum {
	FFL_SET_NAME,	  /**< char[FFL_NAME_BYTES] */
	FFL_SET_ADDRESS,  /**< ip:port in char[FFL_ADDR_BYTES] */
	FFL_SET_URL,	  /**< http://ip:port in char[FFL_URL_BYTES] */
	FFL_SET_HASH,	  /**< hexadecimal in char[FFL_HEX_BYTES] */
	FFL_SET_COUNT,	  /**< uint32_t, a bare number */
	FFL_SET_DURATION, /**< uint32_t in ms, written with ms, s or min */
	FFL_SET_SIZE,	  /**< uint32_t in bytes, written with B, KB or MB */
	FFL_SET_CORES,	  /**< uint32_t in thousandths, written with core */
	FFL_SET__MAX
} ffl_setting_type_t;

/** Settings of a daemon. */
typedef struct {
	ffl_name_t name;
	ffl_name_t data_centre;
	ffl_name_t region;
	uint32_t cluster;
	char callers[FFL_ADDR_BYTES];
	char operators[FFL_ADDR_BYTES];
	char peers[FFL_ADDR_BYTES];
	char platform_log[FFL_URL_BYTES];
	char platform_hosts[FFL_URL_BYTES];
	uint32_t heartbeat_ms;
	uint32_t suspect_ms;
	uint32_t renew_ms;
	uint32_t expiry_ms;
	uint32_t lease_ms;
	uint32_t poll_hosts_ms;
	uint32_t queue_max;
	uint32_t timeout_ms;
	uint32_t max_timeout_ms;
	uint32_t attempts_max;
	uint32_t eject_failures;
	uint32_t eject_ms;
	uint32_t threads;
	uint32_t body_bytes;
	uint32_t buffer_bytes;
	uint32_t body_timeout_ms;
	uint32_t per_address;
	uint32_t stop_delay_ms;
	uint32_t stop_drain_ms;
	char bootstrap_hash[FFL_HEX_BYTES];
} ffl_settings_t;

/** One key. */
typedef struct {
	const char *section;
	const char *key;
	ffl_setting_type_t type;
	size_t offset;
	uint32_t min;
	uint32_t max;
	const char *def; /**< default as text, or NULL where required */
	bool reloadable; /**< may change while the daemon runs */
	const char *text;
} ffl_setting_t;

/** The keys of one program. */
typedef struct {
	const ffl_setting_t *rows;
	uint32_t count;
	size_t size_bytes; /**< of the structure that they fill */
} ffl_setting_table_t;

/** Number of keys, and the key at an index. */
uint32_t ffl_settings_count(void);
const ffl_setting_t *ffl_settings_at(uint32_t i);

/**
 * Reads settings from a file, adding every finding with file, line and key.
 *
 * @return FFL_OK, FFL_SYSTEM where the file cannot be read, or FFL_INVALID
 */
ffl_status_t ffl_settings_load(const char *path, ffl_settings_t *out,
			       ffl_findings_t *fs);

/** Reads settings from text; see ffl_settings_load(). */
ffl_status_t ffl_settings_parse(const char *text, size_t size_bytes,
				ffl_settings_t *out, ffl_findings_t *fs);

/** The same for the keys of another program. */
ffl_status_t ffl_settings_load_table(const ffl_setting_table_t *table,
				     const char *path, void *out,
				     ffl_findings_t *fs);
ffl_status_t ffl_settings_parse_table(const ffl_setting_table_t *table,
				      const char *text, size_t size_bytes,
				      void *out, ffl_findings_t *fs);

const char *ffl_setting_type_name(uint32_t type);

#endif
