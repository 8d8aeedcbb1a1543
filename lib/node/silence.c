#include "fireflyledge/silence.h"

#include <glib.h>

/** An append takes up to this many times as long as a read that does not wait;
 * the append that bears a heartbeat may have to wait for the one before. */
#define APPENDS_PER_READ 8
/** A silence that was not a loss may come again, half as long again. It counts
 * less by one millisecond for each of these. */
#define FORGET_DIVISOR 8

static uint32_t longest_of_late_ms(const ffl_silence_t *s, uint64_t now_ms);

static uint32_t longest_of_late_ms(const ffl_silence_t *s, uint64_t now_ms)
{
	uint64_t forgotten_ms = (now_ms - s->ended_ms) / FORGET_DIVISOR;

	return s->longest_ms - (uint32_t)MIN(s->longest_ms, forgotten_ms);
}

void ffl_silence_end(ffl_silence_t *s, uint64_t lasted_ms, uint64_t now_ms)
{
	if (lasted_ms < longest_of_late_ms(s, now_ms))
		return;
	s->longest_ms = (uint32_t)MIN(lasted_ms, FFL_SILENCE_MAX_MS);
	s->ended_ms = now_ms;
}

void ffl_silence_forget(ffl_silence_t *s)
{
	s->longest_ms = 0;
}

uint32_t ffl_silence_limit_ms(const ffl_silence_t *s, uint64_t led_ms,
			      uint64_t healthy_ms, uint64_t now_ms)
{
	uint32_t again_ms = longest_of_late_ms(s, now_ms) * 3 / 2;
	uint32_t delay_ms = MIN(s->delay_ms, FFL_SILENCE_MAX_MS);
	uint32_t limit_ms = FFL_SILENCE_MIN_MS + APPENDS_PER_READ * delay_ms;

	if (led_ms < FFL_SILENCE_SETTLED_MS ||
	    healthy_ms < FFL_SILENCE_SETTLED_MS)
		return FFL_SILENCE_MAX_MS;
	return MIN(MAX(limit_ms, again_ms), FFL_SILENCE_MAX_MS);
}
