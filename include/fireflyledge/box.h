/**
 * @file box.h
 * @brief Boxed events: an event on the heap that owns the memory it points to.
 *
 * Used to pass events between threads.
 */
#ifndef FFL_BOX_H
#define FFL_BOX_H

#include "fireflyledge/arena.h"
#include "fireflyledge/event.h"

/** An event and the arena for its texts, bytes and lists. */
typedef struct {
	ffl_event_t ev;
	ffl_arena_t arena;
} ffl_box_t;

/** Returns a new, empty event; ffl_box_free() frees it. */
ffl_box_t *ffl_box_new(ffl_event_kind_t kind);
void ffl_box_free(ffl_box_t *box);
/** Returns a copy of a string that lives as long as the event. */
const char *ffl_box_copy_text(ffl_box_t *box, const char *text);
/** Returns a copy of bytes that lives as long as the event. */
ffl_bytes_t ffl_box_copy_bytes(ffl_box_t *box, ffl_bytes_t bytes);

#endif
