/**
 * @file arena.h
 * @brief Memory for values that are freed together.
 */
#ifndef FFL_ARENA_H
#define FFL_ARENA_H

#include <stddef.h>

typedef struct ffl_arena_chunk ffl_arena_chunk_t;

typedef struct {
	ffl_arena_chunk_t *chunks;
	size_t used_bytes;
} ffl_arena_t;

void ffl_arena_init(ffl_arena_t *arena);
void ffl_arena_finish(ffl_arena_t *arena);
/** Frees every value but keeps one chunk for reuse. */
void ffl_arena_reset(ffl_arena_t *arena);
/** Returns zeroed memory aligned for any type. */
void *ffl_arena_alloc(ffl_arena_t *arena, size_t size_bytes);
/** Copies bytes into the arena. */
void *ffl_arena_copy(ffl_arena_t *arena, const void *data, size_t size_bytes);

#endif
