/**
 * @file fold.h
 * @brief What becomes of each record: taken, dropped as a repetition, or
 * skipped; alike on every host that reads the same records.
 *
 * A writer numbers its records and states the last offset that it had read.
 * A record that lands more than FFL_FOLD_WINDOW offsets after that is
 * dropped, so that a writer silent for as long may be forgotten: nothing of
 * it can be taken any more.
 */
#ifndef FFL_FOLD_H
#define FFL_FOLD_H

#include "fireflyledge/record.h"

/** Offsets after which a late record is dropped and a writer forgotten. */
#define FFL_FOLD_WINDOW (1U << 20)

/** Order among the records of a writer; kept within a lane only. */
typedef enum {
	FFL_LANE_URGENT, /**< authority, membership and configuration */
	FFL_LANE_JOBS,
	FFL_LANE_BULK, /**< parts of snapshots */
	FFL_LANE__MAX
} ffl_lane_t;

/** What became of a record. */
typedef enum {
	FFL_FOLD_TAKEN,
	FFL_FOLD_DUPLICATE,
	FFL_FOLD_LATE,
	FFL_FOLD_FOREIGN,
	FFL_FOLD_UNDECODABLE,
	FFL_FOLD_UNKNOWN, /**< of a later version or an unknown kind */
	FFL_FOLD__MAX
} ffl_fold_result_t;

/** Last records taken from a writer. */
typedef struct {
	uint64_t writer;
	uint64_t offset;
	uint64_t seq[FFL_LANE__MAX];
} ffl_writer_t;

typedef struct {
	uint64_t cluster;
	GHashTable *by_writer; /**< links in recent by writer */
	GQueue recent;	       /**< of ffl_writer_t, longest silent first */
	uint64_t counts[FFL_FOLD__MAX];
} ffl_fold_t;

void ffl_fold_init(ffl_fold_t *f, uint64_t cluster);
void ffl_fold_finish(ffl_fold_t *f);

/**
 * Decodes the record at an offset and judges it.
 *
 * @return FFL_FOLD_TAKEN where the record is to be applied
 */
ffl_fold_result_t ffl_fold_record(ffl_fold_t *f, uint64_t offset,
				  ffl_bytes_t data, ffl_record_t *rec,
				  ffl_arena_t *arena);

/** Returns the lane of a kind of record. */
ffl_lane_t ffl_rec_lane(ffl_rec_kind_t kind);
const char *ffl_fold_result_name(uint32_t result);

void ffl_fold_save(const ffl_fold_t *f, GByteArray *out);
ffl_status_t ffl_fold_load(ffl_fold_t *f, ffl_bytes_t in, size_t *used_bytes);

#endif
