/**
 * @file snapshot.h
 * @brief Snapshots of the folded state on the log: parts, completeness, hash.
 *
 * A snapshot is a run of part records of one writer. It counts once every
 * part has come in order and the bytes have the hash that each part states;
 * parts of two writers may lie between each other.
 */
#ifndef FFL_SNAPSHOT_H
#define FFL_SNAPSHOT_H

#include "fireflyledge/logc.h"

/** Bytes of state in one part; a record holds it with its header. */
#define FFL_SNAPSHOT_PART_BYTES (48U << 10)
/** Largest state, in bytes. */
#define FFL_STATE_BYTES_MAX (64U << 20)
/** Snapshots that may be under way at once; the oldest gives way. */
#define FFL_SNAPSHOTS_OPEN_MAX 4

/** A snapshot that came whole. */
typedef struct {
	uint64_t offset; /**< state after every record below this offset */
	uint64_t start;	 /**< offset of its first part */
	uint64_t hash;
} ffl_snapshot_t;

/** When a new snapshot is due. */
typedef struct {
	uint32_t records;     /**< folded since the last one; 0 takes the
				 default */
	uint32_t interval_ms; /**< since the last one; 0 takes the default */
} ffl_snapshot_limits_t;

typedef struct {
	GPtrArray *open; /**< of snapshots under way, by their first part */
	ffl_snapshot_t last;
	GByteArray *data; /**< of the last one, where it is kept */
	bool keep_data;	  /**< keep the bytes of parts */
	uint64_t invalid; /**< snapshots whose hash did not match */
} ffl_snapshots_t;

void ffl_snapshots_init(ffl_snapshots_t *s);
void ffl_snapshots_finish(ffl_snapshots_t *s);
/** Forgets what is under way, and keeps the bytes of parts from now on. */
void ffl_snapshots_reset(ffl_snapshots_t *s, bool keep);

/**
 * Takes a part.
 *
 * @return FFL_OK where it completes a snapshot, FFL_INVALID where the hash
 *         or the order of the parts is wrong, FFL_UNAVAILABLE where more
 *         parts must come
 */
ffl_status_t ffl_snapshots_add_part(ffl_snapshots_t *s, uint64_t offset,
				    const ffl_record_t *rec);

/** Tells whether the last snapshot is too old or about to be trimmed. */
bool ffl_snapshots_due(const ffl_snapshots_t *s, const ffl_logc_t *lc,
		       uint32_t records_max);

/** Queues the parts of a state; FFL_FULL where they do not fit. */
ffl_status_t ffl_snapshot_append(ffl_logc_t *lc, uint64_t offset,
				 const GByteArray *state);

#endif
