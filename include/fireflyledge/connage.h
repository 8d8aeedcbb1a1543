/**
 * @file connage.h
 * @brief Which kept connections to an address may be used again.
 *
 * Answers for connections that go silent without a reset. One call that timed
 * out on a kept connection tells of its neighbours: they may have been lost
 * with it, and only a time-out each would show so. Of what connects to that
 * address nothing older than the time-out is used again.
 */
#ifndef FFL_CONNAGE_H
#define FFL_CONNAGE_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "fireflyledge/types.h"

/** Longest life of a connection in seconds. Time-outs that lie further back
 * need not be known any more; at a call a second, a connection more in 300
 * calls. */
#define FFL_CONN_LIFE_S 300

/** Addresses at which a kept connection has timed out. */
typedef struct {
	GHashTable *doubted; /**< time of the last such time-out in ms, by
			      * address */
	uint64_t pruned_ms;  /**< when old entries were last removed */
} ffl_connage_t;

/** Which connection a call uses. */
typedef struct {
	bool fresh;	     /**< none of those that are kept */
	uint32_t life_max_s; /**< none that was opened more than so many whole
			      * seconds ago */
} ffl_conn_choice_t;

void ffl_connage_init(ffl_connage_t *c);
void ffl_connage_finish(ffl_connage_t *c);
/** A call on a kept connection to @p addr timed out. */
void ffl_connage_doubt(ffl_connage_t *c, const char *addr, uint64_t now_ms);
/** Copies the host and port of a URL, by which connections are kept. */
void ffl_connage_addr(const char *url, char *out, size_t out_bytes);
/** Chooses the connection of a call to @p addr. */
ffl_conn_choice_t ffl_connage_choose(const ffl_connage_t *c, const char *addr,
				     uint64_t now_ms);

#endif
