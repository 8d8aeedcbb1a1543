#include "fireflyledge/budget.h"

#define MICRO		    1000000
#define MS_PER_S	    1000
#define EARN_MILLI	    100
#define RETRY_MILLI	    1000
#define RETRIES_MILLI_MAX   10000
#define RETRIES_MILLI_START 1000

void ffl_bucket_refill(ffl_bucket_t *b, uint64_t rate, uint64_t burst,
		       uint32_t parts, uint64_t now_ms)
{
	int64_t most = (int64_t)(MAX(burst, 1) * MICRO / MAX(parts, 1));
	uint64_t spent_ms = now_ms - b->refilled_ms;

	most = MAX(most, MICRO);
	if (!b->started) {
		b->started = true;
		b->micro_tokens = most;
		b->refilled_ms = now_ms;
		return;
	}
	if (now_ms <= b->refilled_ms)
		return;
	b->refilled_ms = now_ms;
	b->micro_tokens +=
		(int64_t)(rate * (MICRO / MS_PER_S) * spent_ms / MAX(parts, 1));
	b->micro_tokens = MIN(b->micro_tokens, most);
}

bool ffl_bucket_take(ffl_bucket_t *b, uint64_t n)
{
	if (b->micro_tokens < (int64_t)(n * MICRO))
		return false;
	b->micro_tokens -= (int64_t)(n * MICRO);
	return true;
}

uint32_t ffl_bucket_wait_ms(const ffl_bucket_t *b, uint64_t rate,
			    uint32_t parts)
{
	int64_t missing = MICRO - b->micro_tokens;

	if (missing <= 0 || !rate)
		return 0;
	return (uint32_t)((uint64_t)missing * MAX(parts, 1) /
				  (rate * (MICRO / MS_PER_S)) +
			  1);
}

void ffl_retry_budget_init(ffl_retry_budget_t *r)
{
	r->tokens_milli = RETRIES_MILLI_START;
}

void ffl_retry_budget_earn(ffl_retry_budget_t *r)
{
	r->tokens_milli = MIN(r->tokens_milli + EARN_MILLI, RETRIES_MILLI_MAX);
}

bool ffl_retry_budget_spend(ffl_retry_budget_t *r)
{
	if (r->tokens_milli < RETRY_MILLI)
		return false;
	r->tokens_milli -= RETRY_MILLI;
	return true;
}
