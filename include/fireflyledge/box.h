/**
 * @file box.h
 * @brief An event together with the memory that it points to.
 */
#ifndef FFL_BOX_H
#define FFL_BOX_H

#include "fireflyledge/arena.h"
#include "fireflyledge/event.h"

typedef struct {
	ffl_event_t ev;
	ffl_arena_t arena;
} ffl_box_t;

/** Returns an empty event of a kind. */
ffl_box_t *ffl_box_new(ffl_event_kind_t kind);
void ffl_box_free(ffl_box_t *box);
/** Copies text into the memory of an event. */
const char *ffl_box_copy_text(ffl_box_t *box, const char *text);
/** Copies bytes into the memory of an event. */
ffl_bytes_t ffl_box_copy_bytes(ffl_box_t *box, ffl_bytes_t bytes);

#endif
