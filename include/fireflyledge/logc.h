/**
 * @file logc.h
 * @brief Client of the append-only log: one read and one append at a time.
 *
 * Records are queued in lanes and appended in batches, the urgent lane first.
 * An append whose reply was lost is uncertain until a read that began after
 * the loss has reached the end of the log. Records not found by then are
 * appended again with the same sequence numbers. The lost append may still
 * land later; the fold drops the second copy as a duplicate.
 */
#ifndef FFL_LOGC_H
#define FFL_LOGC_H

#include "fireflyledge/action.h"
#include "fireflyledge/fold.h"
#include "fireflyledge/rng.h"

/** Most records, and most bytes unless it is a single record, in one append. */
#define FFL_LOGC_BATCH_MAX   64
#define FFL_LOGC_BATCH_BYTES (256U << 10)
/** Offset of the first record of a log; 0 is never an offset. */
#define FFL_OFFSET_FIRST 1
/** Most records queued in the lane of jobs. */
#define FFL_LOGC_QUEUE_MAX 4096
/** Appends per second that all hosts together may send, below the rate that the
 * log accepts. */
#define FFL_LOGC_APPENDS_PER_S 300

/** State of an append. */
typedef enum {
	FFL_APPEND_IDLE,
	FFL_APPEND_SENT,
	FFL_APPEND_UNCERTAIN, /**< the reply was lost */
	FFL_APPEND_BACKOFF,   /**< waiting to retry */
	FFL_APPEND__MAX
} ffl_append_state_t;

/** Result of checking the reply to a read. */
typedef enum {
	FFL_READ_TAKEN,	  /**< all entries are usable */
	FFL_READ_FAILED,  /**< the read itself failed */
	FFL_READ_STALE,	  /**< older than a reply seen before, or not asked
			     for */
	FFL_READ_GAP,	  /**< an entry is missing */
	FFL_READ_TRIMMED, /**< the next record to read was trimmed */
	FFL_READ__MAX
} ffl_read_result_t;

/** State of the client. Times are of the monotonic clock. */
typedef struct {
	uint64_t cluster;
	uint64_t writer;      /**< id that this host writes under */
	uint64_t next_seq;    /**< number of the next record queued */
	uint64_t next_offset; /**< next record to read */
	uint64_t first;	      /**< first record on the log when last read */
	uint64_t end; /**< offset after the last record when last read */
	uint64_t next_append;	     /**< id of the next append */
	GQueue lanes[FFL_LANE__MAX]; /**< of queued records, oldest first */
	ffl_append_state_t append_state;
	uint32_t in_flight[FFL_LANE__MAX]; /**< records in the current append */
	uint64_t reads_at_loss; /**< value of reads when the reply was lost */
	uint64_t reads;		/**< reads sent so far */
	bool reading;		/**< a read has no reply yet */
	uint64_t read_at_ms;	/**< earliest time of the next read */
	uint64_t read_sent_ms;	/**< when the last read was sent */
	uint64_t caught_up_ms; /**< when the last read was sent that reached the
				  end: every record on the log then is folded */
	uint64_t append_at_ms; /**< earliest time of the next append */
	uint64_t bulk_at_ms;   /**< earliest time of the next bulk append */
	uint32_t failures;     /**< consecutive failed appends */
	uint32_t read_failures;	 /**< consecutive failed reads */
	uint32_t sharing_hosts;	 /**< hosts that share FFL_LOGC_APPENDS_PER_S */
	uint64_t wall_offset_ms; /**< wall clock minus monotonic clock */
	uint64_t now_ms;	 /**< time of the last call */
	uint64_t read_counts[FFL_READ__MAX]; /**< replies by result */
	uint64_t appends;		     /**< appends sent so far */
	ffl_rng_t rng;
} ffl_logc_t;

void ffl_logc_init(ffl_logc_t *lc, uint64_t cluster, uint64_t writer,
		   uint64_t seed);
void ffl_logc_finish(ffl_logc_t *lc);

/**
 * Queues a record and sets version, cluster, writer, seq and at_ms in it.
 *
 * @return FFL_OK; FFL_FULL if the lane has no room
 */
ffl_status_t ffl_logc_append(ffl_logc_t *lc, ffl_record_t *rec);

/** Removes a queued record that was never sent. Returns false if it was sent,
 * so that it may land, or is not queued. */
bool ffl_logc_cancel(ffl_logc_t *lc, ffl_rec_kind_t kind, uint64_t seq);

/** Handles a record of this writer that was read from the log: removes it and
 * earlier ones of its lane from the queue. */
void ffl_logc_on_own_record(ffl_logc_t *lc, ffl_rec_kind_t kind, uint64_t seq);

/**
 * Checks the reply to a read, before its entries are folded. On
 * FFL_READ_GAP only the entries before the gap may be folded.
 */
ffl_read_result_t ffl_logc_check_read(const ffl_logc_t *lc,
				      const ffl_ev_log_read_t *ev);
/** Handles the reply to a read. The caller folded the entries and advanced
 * next_offset before. */
void ffl_logc_on_read(ffl_logc_t *lc, const ffl_ev_log_read_t *ev,
		      ffl_read_result_t result, uint64_t now_ms);
/** Handles the reply to an append. FFL_UNAVAILABLE means that nothing was
 * appended; any other error leaves the append uncertain. */
void ffl_logc_on_appended(ffl_logc_t *lc, const ffl_ev_log_appended_t *ev,
			  uint64_t now_ms);

/** Sends the read and the append that are due. */
void ffl_logc_run(ffl_logc_t *lc, uint64_t now_ms, ffl_actions_t *out);

/** Returns true if the last read succeeded. */
bool ffl_logc_reachable(const ffl_logc_t *lc);
/** Returns true if no record is queued or in flight outside the bulk lane. */
bool ffl_logc_idle(const ffl_logc_t *lc);
/** Returns true if no record of a lane is queued or in flight. */
bool ffl_logc_lane_idle(const ffl_logc_t *lc, ffl_lane_t lane);

const char *ffl_read_result_name(uint32_t result);

#endif
