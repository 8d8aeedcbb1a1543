/**
 * @file silence.h
 * @brief How long a leader must be silent before it counts as lost.
 *
 * A pure decision. No promise rests on it: a claim is a conditional append, and
 * workers refuse the orders of an earlier leader. It only avoids needless
 * changes of leader.
 */
#ifndef FFL_SILENCE_H
#define FFL_SILENCE_H

#include <stdint.h>

/** Interval of the leader's heartbeats. */
#define FFL_LEAD_HEARTBEAT_MS 400
/** Shortest silence that counts as a loss: two heartbeats have not come, and
 * the time of an append while the log is fast. */
#define FFL_SILENCE_MIN_MS (2 * FFL_LEAD_HEARTBEAT_MS + 100)
/** Silence that always counts as a loss: the duration of a leader's authority
 * (1300 ms) and a margin. */
#define FFL_SILENCE_MAX_MS 1800
/** A leader that is new, or a log that has failed, is given FFL_SILENCE_MAX_MS
 * until it has been there for this long: a new leader's first steps are its
 * longest. */
#define FFL_SILENCE_SETTLED_MS 3000

/** What a host has seen of a leader's silences and the log's delays. */
typedef struct {
	uint32_t longest_ms; /**< longest silence of late that was not a loss */
	uint64_t ended_ms;   /**< when that one ended */
	uint32_t delay_ms;   /**< of the log's newest answer, beyond the
			      * shortest round trip */
} ffl_silence_t;

/** Takes note of a silence of @p lasted_ms that a sign of life ended. */
void ffl_silence_end(ffl_silence_t *s, uint64_t lasted_ms, uint64_t now_ms);
/** Forgets the silences of an earlier leader. */
void ffl_silence_forget(ffl_silence_t *s);
/**
 * Returns the silence that counts as a loss, in ms.
 *
 * @param led_ms for how long the leader has been known
 * @param healthy_ms for how long the log has answered without failure
 */
uint32_t ffl_silence_limit_ms(const ffl_silence_t *s, uint64_t led_ms,
			      uint64_t healthy_ms, uint64_t now_ms);

#endif
