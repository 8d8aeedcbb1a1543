/**
 * @file fake_adviser.h
 * @brief Simulated adviser: takes the calls of each host in turn.
 *
 * It goes on with a call that its caller has given up, and refuses one while
 * too many of that host wait.
 */
#ifndef FFL_FAKE_ADVISER_H
#define FFL_FAKE_ADVISER_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "fireflyledge/adviser.h"
#include "fireflyledge/order.h"

/** Calls of a host that wait when a further one is refused. */
#define FAKE_ADVISER_WAITING_MAX 32
/** Hosts that call it. */
#define FAKE_ADVISER_HOSTS_MAX 16

typedef struct {
	ffl_adviser_times_t times; /**< that it keeps to */
	uint32_t valid_ms;	   /**< of its tickets */
	/** When the calls of each host are done, of uint64_t, in order. */
	GArray *done_ms[FAKE_ADVISER_HOSTS_MAX];
} fake_adviser_t;

void fake_adviser_init(fake_adviser_t *a);
void fake_adviser_finish(fake_adviser_t *a);
/**
 * Takes a call.
 *
 * @param host index of the calling host
 * @param done_ms receives when it is answered
 * @return false if it is refused
 */
bool fake_adviser_take(fake_adviser_t *a, uint32_t host, uint32_t workers,
		       uint64_t now_ms, uint64_t *done_ms);
/** Returns when all calls of a host are done; 0: there were none. */
uint64_t fake_adviser_busy_until_ms(const fake_adviser_t *a, uint32_t host);
/** Formats a ticket for a step on an incarnation of a worker. */
void fake_adviser_ticket(const char *step, const char *worker, int64_t born_ms,
			 uint64_t until_ms, char out[FFL_TICKET_BYTES]);
/** Returns true if a ticket is for a task, on an incarnation of a worker, and
 * has not expired. */
bool fake_adviser_accepts(const char *ticket, const char *task,
			  const char *worker, int64_t born_ms, uint64_t now_ms);

#endif
