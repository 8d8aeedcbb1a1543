/**
 * @file ring.h
 * @brief Bounded FIFO queue of pointers between threads.
 *
 * Any number of threads may push and pop. A push to a full ring fails, and the
 * caller keeps the item; the ring never drops one.
 */
#ifndef FFL_RING_H
#define FFL_RING_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

/** A ring buffer; @c lock protects the other members. */
typedef struct {
	pthread_mutex_t lock;
	pthread_cond_t readable; /**< an item was added, or the ring closed */
	void **slots;
	uint32_t capacity;
	uint32_t head; /**< slot of the oldest item */
	uint32_t count;
	bool closed;
} ffl_ring_t;

/** Initialises a ring for @p capacity pointers, at least one. */
void ffl_ring_init(ffl_ring_t *ring, uint32_t capacity);
/** Frees the ring; items still queued remain the caller's to free. */
void ffl_ring_finish(ffl_ring_t *ring);

/** Adds @p item; returns false if the ring is full or closed. */
bool ffl_ring_push(ffl_ring_t *ring, void *item);

/**
 * Removes and returns the oldest item. Waits up to @p timeout_ms if there is
 * none; returns NULL on time-out, or at once if the ring is closed and empty.
 */
void *ffl_ring_pop(ffl_ring_t *ring, uint32_t timeout_ms);

/** Makes further pushes fail and wakes every waiting reader. */
void ffl_ring_close(ffl_ring_t *ring);

#endif
