/**
 * @file ring.c
 * @brief Bounded queue between threads.
 */
#include <errno.h>
#include <time.h>
#include <glib.h>

#include "fireflyledge/ring.h"

#define MS_PER_S  1000
#define NS_PER_MS 1000000
#define NS_PER_S  1000000000

static struct timespec deadline_after(uint32_t timeout_ms);

/* Returns an absolute time of CLOCK_MONOTONIC, the clock of the condition:
 * changes of the wall clock neither shorten nor lengthen a wait. */
static struct timespec deadline_after(uint32_t timeout_ms)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	ts.tv_sec += timeout_ms / MS_PER_S;
	ts.tv_nsec += (long)(timeout_ms % MS_PER_S) * NS_PER_MS;
	if (ts.tv_nsec >= NS_PER_S) {
		ts.tv_sec++;
		ts.tv_nsec -= NS_PER_S;
	}
	return ts;
}

void ffl_ring_init(ffl_ring_t *ring, uint32_t capacity)
{
	pthread_condattr_t attr;

	pthread_mutex_init(&ring->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&ring->readable, &attr);
	pthread_condattr_destroy(&attr);
	ring->slots = g_new0(void *, capacity);
	ring->capacity = capacity;
	ring->head = 0;
	ring->count = 0;
	ring->closed = false;
}

void ffl_ring_finish(ffl_ring_t *ring)
{
	pthread_cond_destroy(&ring->readable);
	pthread_mutex_destroy(&ring->lock);
	g_free(ring->slots);
}

bool ffl_ring_push(ffl_ring_t *ring, void *item)
{
	bool room;

	pthread_mutex_lock(&ring->lock);
	room = !ring->closed && ring->count < ring->capacity;
	if (room) {
		ring->slots[(ring->head + ring->count) % ring->capacity] = item;
		ring->count++;
		pthread_cond_signal(&ring->readable);
	}
	pthread_mutex_unlock(&ring->lock);
	return room;
}

void *ffl_ring_pop(ffl_ring_t *ring, uint32_t timeout_ms)
{
	struct timespec deadline = deadline_after(timeout_ms);
	void *item = NULL;
	int rc = 0;

	pthread_mutex_lock(&ring->lock);
	while (!ring->count && !ring->closed && rc != ETIMEDOUT)
		rc = pthread_cond_timedwait(&ring->readable, &ring->lock,
					    &deadline);
	if (ring->count) {
		item = ring->slots[ring->head];
		ring->head = (ring->head + 1) % ring->capacity;
		ring->count--;
	}
	pthread_mutex_unlock(&ring->lock);
	return item;
}

void ffl_ring_close(ffl_ring_t *ring)
{
	pthread_mutex_lock(&ring->lock);
	ring->closed = true;
	pthread_cond_broadcast(&ring->readable);
	pthread_mutex_unlock(&ring->lock);
}
