/**
 * @file hostlist.h
 * @brief The platform's list of hosts, kept up to date by deltas.
 *
 * A list has a seed, which names its life, and a version, which grows with
 * each change. A reader names both and is told what changed since; where the
 * seed is another one, it is given the whole list.
 */
#ifndef FFL_HOSTLIST_H
#define FFL_HOSTLIST_H

#include "fireflyledge/action.h"
#include "fireflyledge/worker.h"

/** Time after which an unanswered read is given up, in milliseconds. */
#define FFL_HOSTLIST_TIMEOUT_MS 3000

typedef struct {
	uint32_t poll_ms; /**< between reads; 0 reads never */
	uint64_t seed;
	uint64_t version;
	GArray *infos; /**< of ffl_host_info_t, by name */
	uint64_t next_read_ms;
} ffl_hostlist_t;

void ffl_hostlist_init(ffl_hostlist_t *hl, uint32_t poll_ms);
void ffl_hostlist_finish(ffl_hostlist_t *hl);

/**
 * Takes an answer and gives the whole list as it is now.
 *
 * @param whole points into @p hl until the next call
 * @return FFL_OK; FFL_CONFLICT for a delta of another life or an older
 *         version, which changes nothing and asks for the whole list next
 */
ffl_status_t ffl_hostlist_apply(ffl_hostlist_t *hl, const ffl_host_list_t *in,
				uint64_t now_ms, ffl_host_list_t *whole);

/** Asks for the list where that is due. */
void ffl_hostlist_poll(ffl_hostlist_t *hl, uint64_t now_ms, ffl_actions_t *out);

#endif
