/**
 * @file snapshot.h
 * @brief Snapshots of the folded state, stored on the log in parts.
 *
 * A snapshot is a sequence of part records of one writer. It is complete once
 * every part was read in order and the bytes match the hash that each part
 * states. The parts of different writers may be interleaved.
 */
#ifndef FFL_SNAPSHOT_H
#define FFL_SNAPSHOT_H

#include "fireflyledge/logc.h"

/** Most bytes of state in one part; with a header it fits into a record. */
#define FFL_SNAPSHOT_PART_BYTES (48U << 10)
/** Largest saved state, in bytes. */
#define FFL_STATE_BYTES_MAX (64U << 20)
/** Most incomplete snapshots at a time; one more discards the oldest. */
#define FFL_SNAPSHOTS_OPEN_MAX 4

/** A complete snapshot. */
typedef struct {
	uint64_t offset; /**< it holds every record below this offset */
	uint64_t start;	 /**< offset of its first part */
	uint64_t hash;
} ffl_snapshot_t;

/** When a new snapshot is due: at whichever limit comes first. */
typedef struct {
	uint32_t records;     /**< folded since the last one; 0: default */
	uint32_t interval_ms; /**< since the last one; 0: default */
} ffl_snapshot_limits_t;

/** The snapshots found on the log. */
typedef struct {
	GPtrArray *open;     /**< incomplete ones, the oldest first */
	ffl_snapshot_t last; /**< complete one with the highest offset */
	GByteArray *data;    /**< bytes of the last one if keep_data */
	bool keep_data;	     /**< store the bytes, to restore from them */
	uint64_t invalid;    /**< snapshots with a wrong hash or part */
} ffl_snapshots_t;

void ffl_snapshots_init(ffl_snapshots_t *s);
void ffl_snapshots_finish(ffl_snapshots_t *s);
/** Discards incomplete snapshots and stored bytes, and sets keep_data. With
 * @p keep_data the last complete snapshot is forgotten too. */
void ffl_snapshots_reset(ffl_snapshots_t *s, bool keep_data);

/**
 * Adds a part that was read from the log.
 *
 * @param offset of the part's record
 * @return FFL_OK if it completes a snapshot; FFL_INVALID if the hash or the
 *         order of the parts is wrong, which discards the snapshot;
 *         FFL_UNAVAILABLE if parts are missing
 */
ffl_status_t ffl_snapshots_add_part(ffl_snapshots_t *s, uint64_t offset,
				    const ffl_record_t *rec);

/** Returns true if @p records_max records were read since the last snapshot,
 * or the log may soon be trimmed past it. */
bool ffl_snapshots_due(const ffl_snapshots_t *s, const ffl_logc_t *lc,
		       uint32_t records_max);

/** Queues the parts of a saved state that holds every record below
 * @p offset. FFL_FULL if the bulk lane has no room; parts queued until then
 * stay queued. */
ffl_status_t ffl_snapshot_append(ffl_logc_t *lc, uint64_t offset,
				 const GByteArray *state);

#endif
