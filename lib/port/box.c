/**
 * @file box.c
 * @brief Events that own their memory.
 */
#include <string.h>
#include <glib.h>

#include "fireflyledge/box.h"

ffl_box_t *ffl_box_new(ffl_event_kind_t kind)
{
	ffl_box_t *box = g_new0(ffl_box_t, 1);

	box->ev.kind = kind;
	ffl_arena_init(&box->arena);
	return box;
}

void ffl_box_free(ffl_box_t *box)
{
	ffl_arena_finish(&box->arena);
	g_free(box);
}

const char *ffl_box_copy_text(ffl_box_t *box, const char *text)
{
	return ffl_arena_copy(&box->arena, text, strlen(text) + 1);
}

ffl_bytes_t ffl_box_copy_bytes(ffl_box_t *box, ffl_bytes_t bytes)
{
	ffl_bytes_t copy = { NULL, bytes.size_bytes };

	copy.data = ffl_arena_copy(&box->arena, bytes.data, bytes.size_bytes);
	return copy;
}
