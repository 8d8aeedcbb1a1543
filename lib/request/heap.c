#include "lib/request/heap.h"

static bool comes_before(const ffl_heap_item_t *a, const ffl_heap_item_t *b);
static void put_at(ffl_heap_t *heap, uint32_t i, ffl_heap_item_t *item);
static void sift_up(ffl_heap_t *heap, ffl_heap_item_t *item);
static void sift_down(ffl_heap_t *heap, ffl_heap_item_t *item);

void ffl_heap_init(ffl_heap_t *heap)
{
	heap->items = g_ptr_array_new();
}

void ffl_heap_finish(ffl_heap_t *heap)
{
	g_ptr_array_free(heap->items, TRUE);
}

static bool comes_before(const ffl_heap_item_t *a, const ffl_heap_item_t *b)
{
	if (a->key != b->key)
		return a->key < b->key;
	return a->order < b->order;
}

static void put_at(ffl_heap_t *heap, uint32_t i, ffl_heap_item_t *item)
{
	heap->items->pdata[i] = item;
	item->position = i + 1;
}

static void sift_up(ffl_heap_t *heap, ffl_heap_item_t *item)
{
	uint32_t i = item->position - 1;

	while (i > 0) {
		ffl_heap_item_t *parent = heap->items->pdata[(i - 1) / 2];

		if (!comes_before(item, parent))
			break;
		put_at(heap, i, parent);
		i = (i - 1) / 2;
	}
	put_at(heap, i, item);
}

static void sift_down(ffl_heap_t *heap, ffl_heap_item_t *item)
{
	uint32_t i = item->position - 1;
	uint32_t n = heap->items->len;

	while (2 * i + 1 < n) {
		uint32_t child = 2 * i + 1;
		ffl_heap_item_t *least_child = heap->items->pdata[child];

		if (child + 1 < n &&
		    comes_before(heap->items->pdata[child + 1], least_child))
			least_child = heap->items->pdata[++child];
		if (!comes_before(least_child, item))
			break;
		put_at(heap, i, least_child);
		i = child;
	}
	put_at(heap, i, item);
}

void ffl_heap_push(ffl_heap_t *heap, ffl_heap_item_t *item)
{
	g_ptr_array_add(heap->items, item);
	item->position = heap->items->len;
	sift_up(heap, item);
}

void ffl_heap_remove(ffl_heap_t *heap, ffl_heap_item_t *item)
{
	uint32_t i = item->position - 1;
	ffl_heap_item_t *last = heap->items->pdata[heap->items->len - 1];

	g_ptr_array_set_size(heap->items, (gint)heap->items->len - 1);
	item->position = 0;
	if (last == item)
		return;
	put_at(heap, i, last);
	ffl_heap_update(heap, last);
}

void ffl_heap_update(ffl_heap_t *heap, ffl_heap_item_t *item)
{
	sift_up(heap, item);
	sift_down(heap, item);
}

void *ffl_heap_top(const ffl_heap_t *heap)
{
	const ffl_heap_item_t *top;

	if (!heap->items->len)
		return NULL;
	top = heap->items->pdata[0];
	return top->owner;
}
