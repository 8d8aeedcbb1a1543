/**
 * @file once_int.h
 * @brief Entries of the table of keys, for once.c and handover.c.
 */
#ifndef FFL_ONCE_INT_H
#define FFL_ONCE_INT_H

#include "fireflyledge/once.h"

/** Returns the entry of a key, or NULL. */
ffl_once_entry_t *ffl_once_find(const ffl_once_t *o, ffl_key_id_t id);
/** Merges a row into the table: the greater state wins. */
void ffl_once_merge(ffl_once_t *o, const ffl_once_row_t *row, uint64_t now_ms);
/** Returns an entry's state: UNKNOWN once the time of its run is over. */
ffl_once_state_t ffl_once_current_state(const ffl_once_entry_t *e,
					uint64_t now_ms);

#endif
