#include <time.h>

#include "daemon/daemon.h"

#define MS_PER_S  1000
#define NS_PER_MS 1000000
/** Interval between tries to push an event that must not be lost. */
#define RETRY_INTERVAL_NS 1000000

bool ffld_post_event(ffld_t *d, ffl_box_t *box)
{
	if (ffl_ring_push(&d->events, box))
		return true;
	ffl_counter_add(&d->counters, FFL_CTR_RING_FULL, 1);
	ffl_box_free(box);
	return false;
}

void ffld_post_event_wait(ffld_t *d, ffl_box_t *box)
{
	const struct timespec pause = { .tv_nsec = RETRY_INTERVAL_NS };

	while (!ffl_ring_push(&d->events, box)) {
		if (atomic_load(&d->exiting)) {
			ffl_box_free(box);
			return;
		}
		ffl_counter_add(&d->counters, FFL_CTR_RING_FULL, 1);
		nanosleep(&pause, NULL);
	}
}

uint64_t ffld_now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * MS_PER_S +
	       (uint64_t)ts.tv_nsec / NS_PER_MS;
}
