/**
 * @file settings.h
 * @brief Settings files (INI): one table of keys for parsing, checks and help.
 */
#ifndef FFL_SETTINGS_H
#define FFL_SETTINGS_H

#include "fireflyledge/finding.h"
#include "fireflyledge/status.h"
#include "fireflyledge/types.h"

/** Size of a URL, with its terminator. */
#define FFL_URL_BYTES 128
/** Size of a hash in hexadecimal, with its terminator. */
#define FFL_HEX_BYTES (FFL_HASH_BYTES * 2 + 1)

/** Type of a setting: C type of its member, and how the file writes it. */
typedef enum {
	FFL_SET_NAME,	  /**< char[FFL_NAME_BYTES] */
	FFL_SET_ADDRESS,  /**< char[FFL_ADDR_BYTES], ip:port */
	FFL_SET_URL,	  /**< char[FFL_URL_BYTES], http://ip:port */
	FFL_SET_HASH,	  /**< char[FFL_HEX_BYTES], lower-case hexadecimal */
	FFL_SET_COUNT,	  /**< uint32_t, a number without a unit */
	FFL_SET_DURATION, /**< uint32_t in ms; units ms, s and min */
	FFL_SET_SIZE,	  /**< uint32_t in bytes; units B, KB and MB */
	FFL_SET_CORES,	  /**< uint32_t in thousandths of a core; unit core */
	FFL_SET_RATE,	  /**< uint32_t in kbit/s; units kbit and Mbit */
	FFL_SET__MAX
} ffl_setting_type_t;

/** Settings of fireflyledged; the table of keys describes each. */
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

/** A key of the settings file. */
typedef struct {
	const char *section;
	const char *key;
	ffl_setting_type_t type;
	size_t offset; /**< of the member that holds the value */
	uint32_t min;  /**< of a number, in the unit of its C type */
	uint32_t max;
	const char *def;  /**< default as in a file; NULL: required */
	bool reloadable;  /**< applied when the file is read again */
	const char *text; /**< description for help */
} ffl_setting_t;

/** All keys of a program's settings file. */
typedef struct {
	const ffl_setting_t *rows;
	uint32_t count;
	size_t size_bytes; /**< of the struct that holds the values */
} ffl_setting_table_t;

/** Returns the number of keys of fireflyledged. */
uint32_t ffl_settings_count(void);
/** Returns the key at an index below ffl_settings_count(). */
const ffl_setting_t *ffl_settings_at(uint32_t i);

/**
 * Reads the settings of fireflyledged from a file. Adds a finding with line
 * and key for every fault; keys that the file lacks get their defaults.
 *
 * @return FFL_OK; FFL_SYSTEM if the file cannot be read; FFL_INVALID if a
 *         finding is an error
 */
ffl_status_t ffl_settings_load(const char *path, ffl_settings_t *out,
			       ffl_findings_t *fs);

/** Like ffl_settings_load(), from text in memory. */
ffl_status_t ffl_settings_parse(const char *text, size_t size_bytes,
				ffl_settings_t *out, ffl_findings_t *fs);

/**
 * Like ffl_settings_load() and ffl_settings_parse(), for another program's
 * keys.
 *
 * @param out struct of table->size_bytes bytes that receives the values
 */
ffl_status_t ffl_settings_load_table(const ffl_setting_table_t *table,
				     const char *path, void *out,
				     ffl_findings_t *fs);
ffl_status_t ffl_settings_parse_table(const ffl_setting_table_t *table,
				      const char *text, size_t size_bytes,
				      void *out, ffl_findings_t *fs);

/** Returns the name of an ffl_setting_type_t; "?" if out of range. */
const char *ffl_setting_type_name(uint32_t type);

#endif
