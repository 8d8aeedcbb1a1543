/**
 * @file fold.h
 * @brief Deduplication of log records: decides whether to apply a record.
 *
 * Every host that reads the same records decides alike. A writer numbers its
 * records and states in each the last offset that it had read (base). A
 * record that lands more than FFL_FOLD_WINDOW offsets after its base is
 * dropped. So a writer without a record for as many offsets can be forgotten:
 * any of its records still under way will be dropped as late.
 */
#ifndef FFL_FOLD_H
#define FFL_FOLD_H

#include "fireflyledge/record.h"

/** In offsets: a record further than this from its base is dropped as late, and
 * a writer whose last record is further back than this is forgotten. */
#define FFL_FOLD_WINDOW (1U << 20)

/** Queue of a writer's records; order is kept within a lane only. */
typedef enum {
	FFL_LANE_URGENT, /**< leadership, membership and configuration */
	FFL_LANE_JOBS,
	FFL_LANE_BULK, /**< parts of snapshots */
	FFL_LANE__MAX
} ffl_lane_t;

/** Result for a record; only FFL_FOLD_TAKEN is applied. */
typedef enum {
	FFL_FOLD_TAKEN,
	FFL_FOLD_DUPLICATE,   /**< its number is not above the last one */
	FFL_FOLD_LATE,	      /**< over FFL_FOLD_WINDOW after its base */
	FFL_FOLD_FOREIGN,     /**< of another cluster */
	FFL_FOLD_UNDECODABLE, /**< damaged */
	FFL_FOLD_UNKNOWN,     /**< of a later version or an unknown kind */
	FFL_FOLD__MAX
} ffl_fold_result_t;

/** The last records applied of a writer. */
typedef struct {
	uint64_t writer;
	uint64_t offset;	     /**< of its last record applied */
	uint64_t seq[FFL_LANE__MAX]; /**< last number of each lane */
} ffl_writer_t;

/** State of the deduplication. */
typedef struct {
	uint64_t cluster;
	GHashTable *by_writer; /**< links of recent */
	GQueue recent;	       /**< of ffl_writer_t, lowest offset first */
	uint64_t counts[FFL_FOLD__MAX]; /**< records by result */
} ffl_fold_t;

void ffl_fold_init(ffl_fold_t *f, uint64_t cluster);
void ffl_fold_finish(ffl_fold_t *f);

/**
 * Decodes the record at an offset and decides whether it is applied.
 *
 * @param rec set to the record; blobs lie in @p data or @p arena
 * @return FFL_FOLD_TAKEN if the caller must apply the record
 */
ffl_fold_result_t ffl_fold_record(ffl_fold_t *f, uint64_t offset,
				  ffl_bytes_t data, ffl_record_t *rec,
				  ffl_arena_t *arena);

/** Returns the lane of a kind of record; FFL_LANE_BULK for unknown kinds. */
ffl_lane_t ffl_rec_lane(ffl_rec_kind_t kind);
const char *ffl_fold_result_name(uint32_t result);

/** Appends the saved state to @p out. */
void ffl_fold_save(const ffl_fold_t *f, GByteArray *out);
/** Replaces the state by a saved one; leaves it as it was on error.
 * @p used_bytes is set to the bytes read from @p in. */
ffl_status_t ffl_fold_load(ffl_fold_t *f, ffl_bytes_t in, size_t *used_bytes);

#endif
