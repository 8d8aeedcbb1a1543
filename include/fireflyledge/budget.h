/**
 * @file budget.h
 * @brief Token buckets: customers' rates, retries, bytes over the link.
 */
#ifndef FFL_BUDGET_H
#define FFL_BUDGET_H

#include <glib.h>

#include "fireflyledge/types.h"

/** A bucket in millionths of a token. */
typedef struct {
	int64_t micro_tokens; /**< below 0: overspent, paid back before the next
			       */
	uint64_t refilled_ms;
	bool started;
} ffl_bucket_t;

/** Refills up to @p burst at @p rate tokens a second, over @p parts hosts. */
void ffl_bucket_refill(ffl_bucket_t *b, uint64_t rate, uint64_t burst,
		       uint32_t parts, uint64_t now_ms);
/** Takes @p n tokens if they are there. */
bool ffl_bucket_take(ffl_bucket_t *b, uint64_t n);
/** Time until a token is there, in ms. */
uint32_t ffl_bucket_wait_ms(const ffl_bucket_t *b, uint64_t rate,
			    uint32_t parts);

/** Retries as a share of recent successes. */
typedef struct {
	uint32_t tokens_milli;
} ffl_retry_budget_t;

void ffl_retry_budget_init(ffl_retry_budget_t *r);
void ffl_retry_budget_earn(ffl_retry_budget_t *r);
bool ffl_retry_budget_spend(ffl_retry_budget_t *r);

/** Bytes that this host may send over the link between regions. */
typedef struct {
	uint64_t bytes_per_s; /**< of all entry hosts together, one way */
	ffl_bucket_t out;
	ffl_bucket_t in;
	GHashTable *recent_bytes; /**< recent bytes by hash of the customer */
	uint64_t decayed_ms;
	uint64_t total_out_bytes;
	uint64_t total_in_bytes;
} ffl_link_t;

void ffl_link_init(ffl_link_t *link, uint64_t bytes_per_s);
void ffl_link_finish(ffl_link_t *link);
/** Bytes a second that requests may take; the rest is for control. */
uint64_t ffl_link_request_rate(const ffl_link_t *link);
/** Tells whether a request of @p cost_ms is worth its bytes. */
bool ffl_link_may_send(ffl_link_t *link, const char *customer,
		       ffl_urgency_t urgency, uint64_t bytes, uint32_t cost_ms,
		       uint32_t parts, uint64_t now_ms);
void ffl_link_charge(ffl_link_t *link, const char *customer, uint64_t out_bytes,
		     uint64_t in_bytes);

#endif
