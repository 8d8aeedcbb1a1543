/**
 * @file logc.h
 * @brief Client of the append-only log: one read and one append at a time.
 *
 * Records wait in lanes and are appended in batches, the urgent lane first.
 * An append whose answer is lost is uncertain until a read that began after
 * the loss has reached the log's end: records that did not turn up by then
 * are appended again under the same sequence numbers. The lost append may
 * still land after that; the fold drops whichever copy comes second.
 */
#ifndef FFL_LOGC_H
#define FFL_LOGC_H

#include "fireflyledge/action.h"
#include "fireflyledge/fold.h"
#include "fireflyledge/rng.h"

/** Most records in one append, and most bytes unless it is one record. */
#define FFL_LOGC_BATCH_MAX   64
#define FFL_LOGC_BATCH_BYTES (256U << 10)
/** Offset of the first record of a log; 0 is never one. */
#define FFL_OFFSET_FIRST 1
/** Most records that wait in the lane of jobs; more are refused. */
#define FFL_LOGC_QUEUE_MAX 4096
/** Appends a second that all hosts of the system share. */
#define FFL_LOGC_APPENDS_PER_S 300

/** State of an append. */
typedef enum {
	FFL_APPEND_IDLE,
	FFL_APPEND_SENT,
	FFL_APPEND_UNCERTAIN, /**< the answer was lost */
	FFL_APPEND_BACKOFF,   /**< waits before the next try */
	FFL_APPEND__MAX
} ffl_append_state_t;

/** What an answer to a read is worth. */
typedef enum {
	FFL_READ_TAKEN,
	FFL_READ_FAILED,
	FFL_READ_STALE,	  /**< older than what was seen before */
	FFL_READ_GAP,	  /**< a record is missing in it */
	FFL_READ_TRIMMED, /**< the log begins past the reader */
	FFL_READ__MAX
} ffl_read_result_t;

typedef struct {
	uint64_t cluster;
	uint64_t writer;
	uint64_t next_seq;
	uint64_t next_offset; /**< next record to read */
	uint64_t first;	      /**< log's first record as last seen */
	uint64_t end;	      /**< log's end as last seen */
	uint64_t next_append;
	GQueue lanes[FFL_LANE__MAX]; /**< of waiting records, oldest first */
	ffl_append_state_t append_state;
	uint32_t in_flight[FFL_LANE__MAX]; /**< records of this append */
	uint64_t reads_at_loss; /**< reads begun when the answer was lost */
	uint64_t reads;		/**< reads begun */
	bool reading;
	uint64_t read_at_ms; /**< earliest time of the next read */
	uint64_t read_sent_ms;
	uint64_t caught_up_ms; /**< nothing unread was on the log then */
	uint64_t append_at_ms; /**< earliest time of the next try */
	uint64_t bulk_at_ms;   /**< earliest time of the next bulk append */
	uint32_t failures;     /**< appends that failed in a row */
	uint32_t read_failures;
	uint32_t sharing_hosts;	 /**< hosts that share the appends */
	uint64_t wall_offset_ms; /**< wall clock less monotonic clock */
	uint64_t now_ms;	 /**< time of the last call */
	uint64_t read_counts[FFL_READ__MAX];
	uint64_t appends; /**< appends begun */
	ffl_rng_t rng;
} ffl_logc_t;

void ffl_logc_init(ffl_logc_t *lc, uint64_t cluster, uint64_t writer,
		   uint64_t seed);
void ffl_logc_finish(ffl_logc_t *lc);

/**
 * Queues a record. The header's cluster, writer, seq and version are set.
 *
 * @return FFL_OK or FFL_FULL; @p rec->seq holds the number given
 */
ffl_status_t ffl_logc_append(ffl_logc_t *lc, ffl_record_t *rec);

/** Takes back a record that was never sent; false where it may land. */
bool ffl_logc_cancel(ffl_logc_t *lc, ffl_rec_kind_t kind, uint64_t seq);

/** Tells the client that a record of its own was read back. */
void ffl_logc_on_own_record(ffl_logc_t *lc, ffl_rec_kind_t kind, uint64_t seq);

/**
 * Judges an answer to a read, before its entries are folded.
 *
 * FFL_READ_GAP: entries up to the gap may be folded, nothing beyond.
 */
ffl_read_result_t ffl_logc_check_read(const ffl_logc_t *lc,
				      const ffl_ev_log_read_t *ev);
/** Takes the answer, after the folded entries moved next_offset. */
void ffl_logc_on_read(ffl_logc_t *lc, const ffl_ev_log_read_t *ev,
		      ffl_read_result_t result, uint64_t now_ms);
void ffl_logc_on_appended(ffl_logc_t *lc, const ffl_ev_log_appended_t *ev,
			  uint64_t now_ms);

/** Starts the reads and appends that are due. */
void ffl_logc_run(ffl_logc_t *lc, uint64_t now_ms, ffl_actions_t *out);

/** Tells whether the last read succeeded. */
bool ffl_logc_reachable(const ffl_logc_t *lc);
/** Tells whether every queued record is known to be on the log. */
bool ffl_logc_idle(const ffl_logc_t *lc);
/** Tells whether nothing waits in a lane. */
bool ffl_logc_lane_idle(const ffl_logc_t *lc, ffl_lane_t lane);

const char *ffl_read_result_name(uint32_t result);

#endif
