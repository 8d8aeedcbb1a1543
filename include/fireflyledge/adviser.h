/**
 * @file adviser.h
 * @brief What a call to the adviser costs, and how many workers it names.
 *
 * The adviser takes the calls of a host one after the other and goes on with
 * one that its caller has given up. It takes a time for a call and a time for
 * each worker named, which differ by queue. The configuration states both, but
 * the one that a host knows may be older than the adviser's: answers correct
 * it.
 *
 * No function does I/O or reads a clock.
 */
#ifndef FFL_ADVISER_H
#define FFL_ADVISER_H

#include <stdbool.h>
#include <stdint.h>

/** Most workers that the adviser takes in one call. */
#define FFL_ADVISER_WORKERS_MAX 100

/** Times that the configuration states for a queue; 0: not stated. */
typedef struct {
	uint32_t call_ms;   /**< for a call */
	uint32_t worker_ms; /**< more for each worker named */
} ffl_adviser_times_t;

/** Response times of the adviser for a queue. */
typedef struct {
	ffl_adviser_times_t configured;
	uint64_t call_us; /**< as configured, or as learned from answers */
	uint64_t worker_us;
	uint32_t seen_workers; /**< of the last answer; 0: none yet */
	uint64_t seen_ms;      /**< time that it took */
	bool doubted; /**< the last answer did not take as long as expected */
	/** End of the queue's last call in the virtual time of the queues, in
	 * which each is served at the same rate (see fairq.h); in ms. */
	uint64_t turn_ms;
} ffl_adviser_t;

/** What is known of a step when the adviser is to be asked about it. */
typedef struct {
	uint32_t need;	   /**< workers that its waiting tasks take */
	bool gang;	   /**< they start together or not at all */
	uint32_t asked;	   /**< workers asked about for it before */
	uint32_t unasked;  /**< workers that may be asked about now */
	uint32_t begin_ms; /**< time in which a step is to begin */
	bool others_wait;  /**< steps of other queues wait for a call */
	bool probes;	   /**< an earlier call is late */
} ffl_adviser_ask_t;

/** Takes over the configured times; if they have changed, what was learned is
 * dropped. A model of zeros is a valid start. */
void ffl_adviser_configure(ffl_adviser_t *a, const ffl_adviser_times_t *times);
/** Returns the expected duration of a call, in ms. */
uint64_t ffl_adviser_cost_ms(const ffl_adviser_t *a, uint32_t workers);
/**
 * Learns from a call that was answered.
 *
 * @param workers number of workers named, at least 1
 * @param took_ms time that the adviser spent on it
 */
void ffl_adviser_learn(ffl_adviser_t *a, uint32_t workers, uint64_t took_ms);
/** Returns true if one call for a step takes longer than the step may take to
 * begin. */
bool ffl_adviser_is_slow(const ffl_adviser_t *a, uint32_t begin_ms);
/** Returns how many workers are left of those that are asked about together
 * where calls are cheap; a step goes through them in one call or several. */
uint32_t ffl_adviser_block(const ffl_adviser_ask_t *ask);
/** Returns how many workers the next call for a step names at most. */
uint32_t ffl_adviser_width(const ffl_adviser_t *a,
			   const ffl_adviser_ask_t *ask);

#endif
