#include "fireflyledge/budget.h"

/** Millionths in a token. */
#define MICRO	 1000000
#define MS_PER_S 1000
/** Retry budget: one retry for ten successes, ten saved up at most. */
#define RETRY_EARN_MILLI  100
#define RETRY_COST_MILLI  1000
#define RETRY_MAX_MILLI	  10000
#define RETRY_START_MILLI 1000

void ffl_bucket_refill(ffl_bucket_t *b, uint64_t rate, uint64_t burst,
		       uint32_t hosts, uint64_t now_ms)
{
	int64_t max_micro = (int64_t)(MAX(burst, 1) * MICRO / MAX(hosts, 1));
	uint64_t elapsed_ms = now_ms - b->refilled_ms;

	max_micro = MAX(max_micro, MICRO);
	if (!b->started) {
		b->started = true;
		b->micro_tokens = max_micro;
		b->refilled_ms = now_ms;
		return;
	}
	if (now_ms <= b->refilled_ms)
		return;
	b->refilled_ms = now_ms;
	b->micro_tokens += (int64_t)(rate * (MICRO / MS_PER_S) * elapsed_ms /
				     MAX(hosts, 1));
	b->micro_tokens = MIN(b->micro_tokens, max_micro);
}

bool ffl_bucket_take(ffl_bucket_t *b, uint64_t n)
{
	if (b->micro_tokens < (int64_t)(n * MICRO))
		return false;
	b->micro_tokens -= (int64_t)(n * MICRO);
	return true;
}

uint32_t ffl_bucket_wait_ms(const ffl_bucket_t *b, uint64_t rate,
			    uint32_t hosts)
{
	int64_t missing = MICRO - b->micro_tokens;

	if (missing <= 0 || !rate)
		return 0;
	return (uint32_t)((uint64_t)missing * MAX(hosts, 1) /
				  (rate * (MICRO / MS_PER_S)) +
			  1);
}

void ffl_retry_budget_init(ffl_retry_budget_t *r)
{
	r->tokens_milli = RETRY_START_MILLI;
}

void ffl_retry_budget_earn(ffl_retry_budget_t *r)
{
	r->tokens_milli =
		MIN(r->tokens_milli + RETRY_EARN_MILLI, RETRY_MAX_MILLI);
}

bool ffl_retry_budget_spend(ffl_retry_budget_t *r)
{
	if (r->tokens_milli < RETRY_COST_MILLI)
		return false;
	r->tokens_milli -= RETRY_COST_MILLI;
	return true;
}
