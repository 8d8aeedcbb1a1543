/**
 * @file ring.h
 * @brief Bounded queue of pointers between threads.
 *
 * Many threads may push and pop. A full ring refuses the push, and the
 * caller answers for it; nothing is dropped silently.
 */
#ifndef FFL_RING_H
#define FFL_RING_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct {
	pthread_mutex_t lock;
	pthread_cond_t readable;
	void **slots;
	uint32_t capacity;
	uint32_t head;
	uint32_t count;
	bool closed;
} ffl_ring_t;

/** Prepares a ring of @p capacity pointers. */
void ffl_ring_init(ffl_ring_t *ring, uint32_t capacity);
void ffl_ring_finish(ffl_ring_t *ring);

/** Adds @p item; returns false where the ring is full or closed. */
bool ffl_ring_push(ffl_ring_t *ring, void *item);

/** Takes the oldest item; NULL after @p timeout_ms or when closed. */
void *ffl_ring_pop(ffl_ring_t *ring, uint32_t timeout_ms);

/** Refuses further pushes and wakes every reader. */
void ffl_ring_close(ffl_ring_t *ring);

#endif
