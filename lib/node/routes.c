#include <string.h>

#include "fireflyledge/routes.h"

static bool host_matches(const ffl_route_t *route, const char *host);

void ffl_route_clear(void *data)
{
	ffl_route_t *route = data;

	g_clear_pointer(&route->host, g_free);
	g_clear_pointer(&route->prefix, g_free);
}

void ffl_routes_init(ffl_routes_t *routes)
{
	routes->version = 0;
	routes->routes = g_array_new(FALSE, TRUE, sizeof(ffl_route_t));
	g_array_set_clear_func(routes->routes, ffl_route_clear);
	routes->keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	routes->guaranteed =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void ffl_routes_finish(ffl_routes_t *routes)
{
	g_array_free(routes->routes, TRUE);
	g_hash_table_destroy(routes->keys);
	g_hash_table_destroy(routes->guaranteed);
}

/* Compares without regard to case, and without the port of a Host header. */
static bool host_matches(const ffl_route_t *route, const char *host)
{
	size_t n = strcspn(host, ":");

	if (!route->host[0])
		return true;
	return strlen(route->host) == n &&
	       g_ascii_strncasecmp(route->host, host, n) == 0;
}

const ffl_route_t *ffl_routes_match(const ffl_routes_t *routes,
				    const char *host, const char *path)
{
	const ffl_route_t *best = NULL;
	size_t best_bytes = 0;

	for (guint i = 0; i < routes->routes->len; i++) {
		const ffl_route_t *route =
			&g_array_index(routes->routes, ffl_route_t, i);
		size_t n = strlen(route->prefix);

		if ((best && n <= best_bytes) ||
		    strncmp(path, route->prefix, n) != 0 ||
		    !host_matches(route, host))
			continue;
		best = route;
		best_bytes = n;
	}
	return best;
}

const ffl_route_t *ffl_routes_find(const ffl_routes_t *routes,
				   const char *queue)
{
	for (guint i = 0; i < routes->routes->len; i++) {
		const ffl_route_t *route =
			&g_array_index(routes->routes, ffl_route_t, i);

		if (strcmp(route->queue, queue) == 0)
			return route;
	}
	return NULL;
}

const char *ffl_routes_customer(const ffl_routes_t *routes, const char *key)
{
	return g_hash_table_lookup(routes->keys, key);
}
