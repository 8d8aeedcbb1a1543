/**
 * @file routes.h
 * @brief What is in force of the operators' configuration: queues, keys,
 * guarantees.
 */
#ifndef FFL_ROUTES_H
#define FFL_ROUTES_H

#include <glib.h>

#include "fireflyledge/types.h"

/** Longest path prefix. */
#define FFL_PREFIX_BYTES 128

/** A queue and where its calls arrive. */
typedef struct {
	ffl_name_t queue;
	char host[FFL_PREFIX_BYTES];
	char prefix[FFL_PREFIX_BYTES];
	ffl_name_t service;
	uint32_t priority;
	uint32_t attempts_max;
	uint32_t stretch_milli;
	uint32_t objective_base_ms;
	bool open_to_all;   /**< needs no key */
	bool needs_tickets; /**< an adviser says which workers may run it */
} ffl_route_t;

/** One version of the configuration. */
typedef struct {
	uint64_t version;
	GArray *routes;		/**< of ffl_route_t */
	GHashTable *keys;	/**< customer's name by key */
	GHashTable *guaranteed; /**< GPUs by customer's name */
} ffl_routes_t;

void ffl_routes_init(ffl_routes_t *routes);
void ffl_routes_finish(ffl_routes_t *routes);
/** Returns the route with the longest prefix, or NULL. */
const ffl_route_t *ffl_routes_match(const ffl_routes_t *routes,
				    const char *host, const char *path);
/** Returns the customer of a key, or NULL. */
const char *ffl_routes_customer(const ffl_routes_t *routes, const char *key);

#endif
