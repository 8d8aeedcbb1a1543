/**
 * @file once_int.h
 * @brief Entries of the table of keys, shared by its two files.
 */
#ifndef FFL_ONCE_INT_H
#define FFL_ONCE_INT_H

#include "fireflyledge/once.h"

ffl_once_entry_t *ffl_once_find(const ffl_once_t *o, ffl_key_id_t id);
/** Merges a row: the later state wins. */
void ffl_once_merge(ffl_once_t *o, const ffl_once_row_t *row, uint64_t now_ms);
/** Returns the state of an entry, its run's time considered. */
ffl_once_state_t ffl_once_state(const ffl_once_entry_t *e, uint64_t now_ms);

#endif
