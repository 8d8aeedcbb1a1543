/**
 * @file hostlist.h
 * @brief The platform's host list, kept up to date by deltas.
 *
 * A list has a seed, which identifies its incarnation, and a version, which
 * grows with each change. A reader sends both and receives the changes since
 * then, or the full list if the seed differs.
 */
#ifndef FFL_HOSTLIST_H
#define FFL_HOSTLIST_H

#include "fireflyledge/action.h"
#include "fireflyledge/worker.h"

/** Time after which an unanswered read is repeated, in ms. */
#define FFL_HOSTLIST_TIMEOUT_MS 3000

/** Local copy of the host list. */
typedef struct {
	uint32_t poll_ms; /**< interval of reads; 0 disables them */
	uint64_t seed; /**< incarnation of the list; 0 requests a full list */
	uint64_t version;
	GArray *infos;	       /**< of ffl_host_info_t, sorted by name */
	uint64_t next_read_ms; /**< time of the next read */
} ffl_hostlist_t;

void ffl_hostlist_init(ffl_hostlist_t *hl, uint32_t poll_ms);
void ffl_hostlist_finish(ffl_hostlist_t *hl);

/**
 * Applies a full list or a delta and returns the resulting full list.
 *
 * @param full receives the list; points into @p hl until the next call
 * @return FFL_OK; FFL_CONFLICT for a delta of another incarnation or an older
 *         version, which leaves the hosts unchanged and makes the next read
 *         request the full list
 */
ffl_status_t ffl_hostlist_apply(ffl_hostlist_t *hl, const ffl_host_list_t *in,
				uint64_t now_ms, ffl_host_list_t *full);

/** Appends a read of the list to @p out if one is due. */
void ffl_hostlist_poll(ffl_hostlist_t *hl, uint64_t now_ms, ffl_actions_t *out);

#endif
