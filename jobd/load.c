#include <time.h>

#include "jobd/jobd.h"

#define US_PER_S  1000000
#define NS_PER_US 1000
/** A line tells of this time. */
#define PERIOD_MS 1000
/** A host that does not lead writes a line where an event waited so long: a
 * tenth of what a caller waits for a host to serve it. */
#define LATE_MS 90

static void write_line(const ffl_node_t *n, uint64_t took_ms);

/* Sums between two lines. Those of the core are its thread's own; times are
 * of the steady clock, so that waiting for the processor counts as work. */
static struct {
	uint64_t since_ms;
	uint32_t events;
	uint32_t drives;
	uint64_t late_ms;
	_Atomic uint64_t busy_us[JOBD_DUTY__MAX];
	_Atomic uint32_t calls;
	_Atomic uint32_t connects;
	_Atomic uint64_t sent_bytes;
	_Atomic uint64_t received_bytes;
} load;

uint64_t jobd_now_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * US_PER_S +
	       (uint64_t)ts.tv_nsec / NS_PER_US;
}

void jobd_load_busy(jobd_duty_t duty, uint64_t since_us)
{
	atomic_fetch_add(&load.busy_us[duty], jobd_now_us() - since_us);
}

void jobd_load_call(bool connected, size_t sent_bytes, size_t received_bytes)
{
	atomic_fetch_add(&load.calls, 1);
	atomic_fetch_add(&load.connects, connected);
	atomic_fetch_add(&load.sent_bytes, sent_bytes);
	atomic_fetch_add(&load.received_bytes, received_bytes);
}

void jobd_load_event(uint64_t posted_ms)
{
	load.events++;
	load.late_ms = MAX(load.late_ms, jobd_now_ms() - posted_ms);
}

static void write_line(const ffl_node_t *n, uint64_t took_ms)
{
	char text[FFL_REASON_BYTES];

	g_snprintf(text, sizeof(text),
		   "leading=%d of_ms=%" PRIu64 " core_us=%" PRIu64
		   " client_us=%" PRIu64 " late_ms=%" PRIu64
		   " events=%u drives=%u calls=%u connects=%u sent=%" PRIu64
		   " received=%" PRIu64 " runs=%u open=%u",
		   n->lead.leading, took_ms,
		   atomic_exchange(&load.busy_us[JOBD_DUTY_CORE], 0),
		   atomic_exchange(&load.busy_us[JOBD_DUTY_CLIENT], 0),
		   load.late_ms, load.events, load.drives,
		   atomic_exchange(&load.calls, 0),
		   atomic_exchange(&load.connects, 0),
		   atomic_exchange(&load.sent_bytes, 0),
		   atomic_exchange(&load.received_bytes, 0),
		   n->dispatch.runs->len, n->flows.open->len);
	jobd_line("load", n->opt.name, text);
}

void jobd_load_drive(const ffl_node_t *n)
{
	uint64_t now_ms = jobd_now_ms();

	load.drives++;
	if (now_ms - load.since_ms < PERIOD_MS)
		return;
	if (n->lead.leading || load.late_ms >= LATE_MS)
		write_line(n, now_ms - load.since_ms);
	load.since_ms = now_ms;
	load.events = 0;
	load.drives = 0;
	load.late_ms = 0;
}
