/**
 * @file arena.c
 * @brief Arena allocator.
 */
#include <stdlib.h>
#include <string.h>
#include <glib.h>

#include "fireflyledge/arena.h"

/** Smallest chunk; a larger value gets a chunk of its own size. */
#define CHUNK_BYTES 4096
/** Alignment of every value; a power of two. */
#define ALIGN_BYTES 16

/** A block of memory that values are cut from. */
struct ffl_arena_chunk {
	ffl_arena_chunk_t *next;
	size_t size_bytes; /**< of data */
	size_t used_bytes;
	size_t pad_bytes; /**< unused; aligns data to ALIGN_BYTES */
	unsigned char data[];
};

static ffl_arena_chunk_t *chunk_new(size_t need_bytes);

static ffl_arena_chunk_t *chunk_new(size_t need_bytes)
{
	size_t size = need_bytes > CHUNK_BYTES ? need_bytes : CHUNK_BYTES;
	ffl_arena_chunk_t *c = g_malloc(sizeof(*c) + size);

	c->next = NULL;
	c->size_bytes = size;
	c->used_bytes = 0;
	return c;
}

void ffl_arena_init(ffl_arena_t *arena)
{
	arena->chunks = NULL;
	arena->used_bytes = 0;
}

void ffl_arena_finish(ffl_arena_t *arena)
{
	ffl_arena_chunk_t *c = arena->chunks;
	ffl_arena_chunk_t *next;

	for (; c; c = next) {
		next = c->next;
		g_free(c);
	}
	ffl_arena_init(arena);
}

void ffl_arena_reset(ffl_arena_t *arena)
{
	ffl_arena_chunk_t *keep = arena->chunks;

	arena->used_bytes = 0;
	if (!keep)
		return;
	arena->chunks = keep->next;
	ffl_arena_finish(arena);
	keep->next = NULL;
	keep->used_bytes = 0;
	arena->chunks = keep;
}

void *ffl_arena_alloc(ffl_arena_t *arena, size_t size_bytes)
{
	size_t need =
		(size_bytes + ALIGN_BYTES - 1) & ~(size_t)(ALIGN_BYTES - 1);
	ffl_arena_chunk_t *c = arena->chunks;
	void *p;

	if (!c || c->size_bytes - c->used_bytes < need) {
		c = chunk_new(need);
		c->next = arena->chunks;
		arena->chunks = c;
	}
	p = c->data + c->used_bytes;
	c->used_bytes += need;
	arena->used_bytes += need;
	memset(p, 0, need);
	return p;
}

void *ffl_arena_copy(ffl_arena_t *arena, const void *data, size_t size_bytes)
{
	void *p = ffl_arena_alloc(arena, size_bytes ? size_bytes : 1);

	if (size_bytes)
		memcpy(p, data, size_bytes);
	return p;
}
