/**
 * @file arena.h
 * @brief Arena allocator: values are freed together, never singly.
 *
 * Allocation aborts the process when memory runs out, as in GLib.
 */
#ifndef FFL_ARENA_H
#define FFL_ARENA_H

#include <stddef.h>

typedef struct ffl_arena_chunk ffl_arena_chunk_t;

/** An arena; ffl_arena_init() prepares it, ffl_arena_finish() frees it. */
typedef struct {
	ffl_arena_chunk_t *chunks; /**< newest first */
	size_t used_bytes;	   /**< allocated, rounded up for alignment */
} ffl_arena_t;

void ffl_arena_init(ffl_arena_t *arena);
/** Frees every value and chunk; the arena is then empty and usable. */
void ffl_arena_finish(ffl_arena_t *arena);
/** Frees every value but keeps one chunk for reuse. */
void ffl_arena_reset(ffl_arena_t *arena);
/** Returns zeroed memory aligned for any type. */
void *ffl_arena_alloc(ffl_arena_t *arena, size_t size_bytes);
/** Returns a copy of @p data in the arena; never NULL, even if empty. */
void *ffl_arena_copy(ffl_arena_t *arena, const void *data, size_t size_bytes);

#endif
