/**
 * @file load.c
 * @brief Counts the work of the core and client threads for the load line.
 */
#include <time.h>

#include "jobd/jobd.h"

#define US_PER_S  1000000
#define NS_PER_US 1000
/** Interval between load lines. */
#define PERIOD_MS 1000
/** A host that does not lead logs its load if an event waited this long: a
 * tenth of the time that a caller waits for a host to serve it. */
#define LATE_MS 90

static void log_load(const ffl_node_t *n, uint64_t period_ms);

/* Sums since the last line; the core thread alone uses those that are not
 * atomic. Busy time is elapsed time, so it includes waiting for a
 * processor. */
static struct {
	uint64_t since_ms;
	uint32_t events;  /**< processed by the core */
	uint32_t drives;  /**< calls of ffl_node_drive() */
	uint64_t late_ms; /**< longest wait of an event in the ring */
	_Atomic uint64_t busy_us[JOBD_THREAD__MAX];
	_Atomic uint32_t calls;
	_Atomic uint32_t connects;
	_Atomic uint64_t sent_bytes;
	_Atomic uint64_t received_bytes;
} load;

uint64_t jobd_monotonic_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * US_PER_S +
	       (uint64_t)ts.tv_nsec / NS_PER_US;
}

void jobd_load_add_busy(jobd_thread_t thread, uint64_t since_us)
{
	atomic_fetch_add(&load.busy_us[thread], jobd_monotonic_us() - since_us);
}

void jobd_load_count_call(bool connected, size_t sent_bytes,
			  size_t received_bytes)
{
	atomic_fetch_add(&load.calls, 1);
	atomic_fetch_add(&load.connects, connected);
	atomic_fetch_add(&load.sent_bytes, sent_bytes);
	atomic_fetch_add(&load.received_bytes, received_bytes);
}

void jobd_load_count_event(uint64_t posted_ms)
{
	load.events++;
	load.late_ms = MAX(load.late_ms, jobd_boottime_ms() - posted_ms);
}

static void log_load(const ffl_node_t *n, uint64_t period_ms)
{
	char text[FFL_REASON_BYTES];

	g_snprintf(text, sizeof(text),
		   "leading=%d of_ms=%" PRIu64 " core_us=%" PRIu64
		   " client_us=%" PRIu64 " late_ms=%" PRIu64
		   " events=%u drives=%u calls=%u connects=%u sent=%" PRIu64
		   " received=%" PRIu64
		   " runs=%u open=%u no_room=%u skipped=%u headroom=%u",
		   n->lead.leading, period_ms,
		   atomic_exchange(&load.busy_us[JOBD_THREAD_CORE], 0),
		   atomic_exchange(&load.busy_us[JOBD_THREAD_CLIENT], 0),
		   load.late_ms, load.events, load.drives,
		   atomic_exchange(&load.calls, 0),
		   atomic_exchange(&load.connects, 0),
		   atomic_exchange(&load.sent_bytes, 0),
		   atomic_exchange(&load.received_bytes, 0),
		   n->dispatch.runs->len, n->flows.open->len,
		   n->dispatch.waiting[FFL_WAIT_ROOM],
		   n->dispatch.waiting[FFL_WAIT_SKIPPED],
		   n->dispatch.waiting[FFL_WAIT_HEADROOM]);
	jobd_line("load", n->opt.name, text);
}

void jobd_load_count_drive(const ffl_node_t *n)
{
	uint64_t now_ms = jobd_boottime_ms();

	load.drives++;
	if (now_ms - load.since_ms < PERIOD_MS)
		return;
	if (n->lead.leading || load.late_ms >= LATE_MS)
		log_load(n, now_ms - load.since_ms);
	load.since_ms = now_ms;
	load.events = 0;
	load.drives = 0;
	load.late_ms = 0;
}
