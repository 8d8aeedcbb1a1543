/*
 * Sorted arrays with binary search, and the orders of their items.
 */
#include <string.h>

#include "lib/config/config_int.h"

gint ffl_compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(a, b);
}

gint ffl_compare_guarantees(gconstpointer pa, gconstpointer pb)
{
	const ffl_guarantee_t *a = pa;
	const ffl_guarantee_t *b = pb;
	int d = strcmp(a->customer, b->customer);

	if (!d)
		d = strcmp(a->dc, b->dc);
	if (!d)
		d = (int)a->accelerators - (int)b->accelerators;
	return d ? d : (int)a->adjacency - (int)b->adjacency;
}

gint ffl_compare_scopes(gconstpointer pa, gconstpointer pb)
{
	const ffl_scope_t *a = pa;
	const ffl_scope_t *b = pb;

	if (a->kind != b->kind)
		return (int)a->kind - (int)b->kind;
	return strcmp(a->name, b->name);
}

guint ffl_sorted_lower_bound(const GArray *array, gconstpointer key,
			     GCompareFunc compare)
{
	guint size = g_array_get_element_size((GArray *)array);
	guint low = 0;
	guint high = array->len;

	while (low < high) {
		guint mid = low + (high - low) / 2;

		if (compare(array->data + (gsize)mid * size, key) < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

gpointer ffl_sorted_find(const GArray *array, gconstpointer key,
			 GCompareFunc compare)
{
	guint at = ffl_sorted_lower_bound(array, key, compare);
	guint size = g_array_get_element_size((GArray *)array);
	gchar *item;

	if (at >= array->len)
		return NULL;
	item = array->data + (gsize)at * size;
	return compare(item, key) == 0 ? item : NULL;
}

gpointer ffl_sorted_get_or_insert(GArray *array, gconstpointer key,
				  GCompareFunc compare)
{
	guint at = ffl_sorted_lower_bound(array, key, compare);
	guint size = g_array_get_element_size(array);
	gchar *item;

	if (at < array->len) {
		item = array->data + (gsize)at * size;
		if (compare(item, key) == 0)
			return item;
	}
	g_array_insert_vals(array, at, key, 1);
	return array->data + (gsize)at * size;
}

void ffl_sorted_remove(GArray *array, gconstpointer key, GCompareFunc compare)
{
	guint at = ffl_sorted_lower_bound(array, key, compare);
	guint size = g_array_get_element_size(array);

	if (at < array->len &&
	    compare(array->data + (gsize)at * size, key) == 0)
		g_array_remove_index(array, at);
}
