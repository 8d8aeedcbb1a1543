/**
 * @file logc.h
 * @brief Client of the append-only log: one read and one append at a time.
 *
 * Records wait in a queue and are appended in batches. An append whose
 * answer is lost is uncertain until reading has passed the log's end as it
 * was after the loss: records that did not turn up by then are appended
 * again under the same sequence numbers, and the fold drops duplicates.
 */
#ifndef FFL_LOGC_H
#define FFL_LOGC_H

#include "fireflyledge/action.h"
#include "fireflyledge/record.h"
#include "fireflyledge/rng.h"

/** Most records in one append. */
#define FFL_LOGC_BATCH_MAX 64
/** Offset of the first record of a log; 0 is never one. */
#define FFL_OFFSET_FIRST 1
/** Most records that wait; more are refused. */
#define FFL_LOGC_QUEUE_MAX 4096

/** State of an append. */
typedef enum {
	FFL_APPEND_IDLE,
	FFL_APPEND_SENT,
	FFL_APPEND_UNCERTAIN, /**< the answer was lost */
	FFL_APPEND_BACKOFF,   /**< waits before the next try */
	FFL_APPEND__MAX
} ffl_append_state_t;

typedef struct {
	uint64_t cluster;
	uint64_t writer;
	uint64_t next_seq;
	uint64_t next_offset; /**< next record to read */
	uint64_t end;	      /**< log's end as last seen */
	uint64_t next_append;
	GQueue queue; /**< of encoded records, oldest first */
	ffl_append_state_t append_state;
	uint32_t in_flight;	/**< records of the current append */
	uint64_t uncertain_end; /**< end to read past; 0 not yet known */
	bool reading;
	uint64_t read_at_ms; /**< earliest time of the next read */
	uint64_t read_sent_ms;
	uint64_t proved_ms; /**< nothing unread was on the log at this time */
	uint64_t append_at_ms;
	uint32_t failures; /**< appends that failed in a row */
	uint32_t read_failures;
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

/** Tells the client that a record of its own was read back. */
void ffl_logc_seen(ffl_logc_t *lc, uint64_t seq);

void ffl_logc_on_read(ffl_logc_t *lc, const ffl_ev_log_read_t *ev,
		      uint64_t now_ms);
void ffl_logc_on_appended(ffl_logc_t *lc, const ffl_ev_log_appended_t *ev,
			  uint64_t now_ms);

/** Starts the reads and appends that are due. */
void ffl_logc_run(ffl_logc_t *lc, uint64_t now_ms, ffl_actions_t *out);

/** Tells whether the last read succeeded. */
bool ffl_logc_reachable(const ffl_logc_t *lc);
/** Tells whether every queued record is known to be on the log. */
bool ffl_logc_idle(const ffl_logc_t *lc);

#endif
