/**
 * @file finding.h
 * @brief Faults and remarks about an input, collected with their position.
 *
 * A check adds every finding to a list instead of stopping at the first one,
 * so that the user sees all of them at once.
 */
#ifndef FFL_FINDING_H
#define FFL_FINDING_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

/** Severity of a finding. */
typedef enum {
	FFL_LEVEL_NOTE,
	FFL_LEVEL_WARNING,
	FFL_LEVEL_ERROR,
	FFL_LEVEL__MAX
} ffl_level_t;

/** Message of a finding; ffl_msg_name() returns its stable name. */
typedef enum {
	FFL_MSG_UNKNOWN_KEY,
	FFL_MSG_UNKNOWN_SECTION,
	FFL_MSG_DUPLICATE_SECTION,
	FFL_MSG_DUPLICATE_KEY,
	FFL_MSG_BAD_SYNTAX,
	FFL_MSG_BAD_NUMBER,
	FFL_MSG_BAD_UNIT,
	FFL_MSG_OUT_OF_RANGE,
	FFL_MSG_TOO_LONG,
	FFL_MSG_MISSING,
	FFL_MSG_BAD_VALUE,
	FFL_MSG_UNKNOWN_CUSTOMER,
	FFL_MSG_UNKNOWN_HOST,
	FFL_MSG_UNKNOWN_DC,
	FFL_MSG_GUARANTEE_UNMET,
	FFL_MSG_WOULD_PREEMPT,
	FFL_MSG_CAPACITY_AFTER,
	FFL_MSG_BLAST_RADIUS,
	FFL_MSG_STALE_PLAN,
	FFL_MSG_UNKNOWN_PLAN,
	FFL_MSG_FOREIGN_CLUSTER,
	FFL_MSG_IMPOSSIBLE_JOB,
	FFL_MSG_NEAREST_SHAPE,
	FFL_MSG_NO_CHANGE,
	FFL_MSG__MAX
} ffl_msg_t;

/** Size of the detail, and of the source and key, with the terminator. */
#define FFL_FINDING_TEXT_BYTES 160
#define FFL_PLACE_BYTES	       96

/** A finding and its position in the source. */
typedef struct {
	ffl_msg_t msg;
	ffl_level_t level;
	char source[FFL_PLACE_BYTES]; /**< file name or request */
	char key[FFL_PLACE_BYTES];    /**< key, section or field, or "" */
	uint32_t line;		      /**< 1-based; 0: unknown */
	uint32_t column;	      /**< 1-based; 0: unknown */
	char detail[FFL_FINDING_TEXT_BYTES];
} ffl_finding_t;

/** Findings about one source. */
typedef struct {
	char source[FFL_PLACE_BYTES];
	GArray *items;	 /**< of ffl_finding_t */
	uint32_t errors; /**< findings of level FFL_LEVEL_ERROR */
} ffl_findings_t;

void ffl_findings_init(ffl_findings_t *fs, const char *source);
void ffl_findings_finish(ffl_findings_t *fs);

/**
 * Adds a finding with the level of its message; texts are cut to fit.
 *
 * @param key    key, section or field concerned; NULL or "" if none
 * @param line   1-based; 0 if unknown
 * @param column 1-based; 0 if unknown
 * @param fmt    format of the detail
 */
void ffl_findings_add(ffl_findings_t *fs, ffl_msg_t msg, const char *key,
		      uint32_t line, uint32_t column, const char *fmt, ...)
	__attribute__((format(printf, 6, 7)));

uint32_t ffl_findings_count(const ffl_findings_t *fs);
const ffl_finding_t *ffl_findings_at(const ffl_findings_t *fs, uint32_t i);

/** Returns the stable name of a message, such as "unknown-key". */
const char *ffl_msg_name(ffl_msg_t msg);
/** Returns the description of a message, such as "unknown key". */
const char *ffl_msg_text(ffl_msg_t msg);
const char *ffl_level_name(ffl_level_t level);

/**
 * Appends "source:line:column: level: key: text: detail" to @p out, without
 * the parts that the finding lacks.
 */
void ffl_finding_format(const ffl_finding_t *f, GString *out);

#endif
