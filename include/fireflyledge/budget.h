/**
 * @file budget.h
 * @brief Token buckets for customers' rates and for bytes over the link
 * between regions; budget for retries.
 */
#ifndef FFL_BUDGET_H
#define FFL_BUDGET_H

#include <glib.h>

#include "fireflyledge/types.h"

typedef struct {
	/** Millionths of a token; negative after a charge past the content. */
	int64_t micro_tokens;
	uint64_t refilled_ms;
	bool started; /**< false until the first refill, which fills it */
} ffl_bucket_t;

/**
 * Adds the tokens since the last refill.
 *
 * @param rate  tokens per second, of all hosts together
 * @param burst most tokens, of all hosts together; this host keeps at least 1
 * @param hosts number of hosts that share rate and burst
 */
void ffl_bucket_refill(ffl_bucket_t *b, uint64_t rate, uint64_t burst,
		       uint32_t hosts, uint64_t now_ms);
/** Takes @p n tokens; false, and none are taken, if there are fewer. */
bool ffl_bucket_take(ffl_bucket_t *b, uint64_t n);
/** Returns the time in ms until the bucket holds a token. */
uint32_t ffl_bucket_wait_ms(const ffl_bucket_t *b, uint64_t rate,
			    uint32_t hosts);

/** Budget that limits retries to a share of recent successes. */
typedef struct {
	uint32_t tokens_milli; /**< 1000 for one retry */
} ffl_retry_budget_t;

void ffl_retry_budget_init(ffl_retry_budget_t *r);
/** Credits a success. */
void ffl_retry_budget_earn(ffl_retry_budget_t *r);
/** Charges a retry; false if the budget does not allow it. */
bool ffl_retry_budget_spend(ffl_retry_budget_t *r);

/** Bytes that this host may send over the link between regions. */
typedef struct {
	uint64_t bytes_per_s; /**< of all entry hosts together, one way */
	ffl_bucket_t out;
	ffl_bucket_t in;
	GHashTable *recent_bytes; /**< uint64_t by hash of the customer */
	uint64_t decayed_ms;	  /**< when recent_bytes were last halved */
	uint64_t total_out_bytes;
	uint64_t total_in_bytes;
} ffl_link_t;

/** @param bytes_per_s capacity of the link one way; 0: the default */
void ffl_link_init(ffl_link_t *link, uint64_t bytes_per_s);
void ffl_link_finish(ffl_link_t *link);
/** Returns the bytes per second for requests; the rest is for control. */
uint64_t ffl_link_request_rate(const ffl_link_t *link);
/**
 * Returns true if a request may be sent to another region: its slot time is
 * worth its bytes and the budget of its class has room.
 *
 * @param bytes   size of its body
 * @param cost_ms its expected slot time
 * @param hosts   number of entry hosts that share the link
 */
bool ffl_link_may_send(ffl_link_t *link, const char *customer,
		       ffl_urgency_t urgency, uint64_t bytes, uint32_t cost_ms,
		       uint32_t hosts, uint64_t now_ms);
/** Charges bytes that were sent or received, past the content if need be. */
void ffl_link_charge(ffl_link_t *link, const char *customer, uint64_t out_bytes,
		     uint64_t in_bytes);

#endif
