/**
 * @file heap.h
 * @brief Intrusive binary heap: least key first, ties by order number.
 */
#ifndef FFL_REQUEST_HEAP_H
#define FFL_REQUEST_HEAP_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "fireflyledge/fairq.h"

void ffl_heap_init(ffl_heap_t *heap);
void ffl_heap_finish(ffl_heap_t *heap);
void ffl_heap_push(ffl_heap_t *heap, ffl_heap_item_t *item);
/** Removes an item, which must be in the heap. */
void ffl_heap_remove(ffl_heap_t *heap, ffl_heap_item_t *item);
/** Restores the heap order after the item's key has changed. */
void ffl_heap_update(ffl_heap_t *heap, ffl_heap_item_t *item);
/** Returns the owner of the least item, or NULL. */
void *ffl_heap_top(const ffl_heap_t *heap);

#endif
