/**
 * @file routes.h
 * @brief The operators' configuration in force: queues, API keys and
 * guarantees.
 */
#ifndef FFL_ROUTES_H
#define FFL_ROUTES_H

#include <glib.h>

#include "fireflyledge/adviser.h"
#include "fireflyledge/types.h"

/** A queue, and the host and path at which requests for it arrive. */
typedef struct {
	ffl_name_t queue;
	char *host;   /**< host name; "": any */
	char *prefix; /**< path prefix; the job id follows */
	ffl_name_t service;
	uint32_t priority;     /**< 0 is the highest */
	uint32_t attempts_max; /**< failed runs of a task before its job fails;
				* 0 counts as 1 */
	/* The latency objective of a job is objective_base_ms plus
	 * stretch_milli thousandths of its expected processing time. */
	uint32_t stretch_milli;
	uint32_t objective_base_ms;
	bool open_to_all;   /**< no API key is required */
	bool needs_tickets; /**< only workers that the adviser names may run
			     * it */
	ffl_adviser_times_t advice; /**< what it takes to name them */
} ffl_route_t;

/** One version of the configuration. */
typedef struct {
	uint64_t version;
	GArray *routes;		/**< of ffl_route_t, owns their strings */
	GHashTable *keys;	/**< customer's name by API key */
	GHashTable *guaranteed; /**< number of GPUs by customer's name */
} ffl_routes_t;

/** Frees the strings of a route. */
void ffl_route_clear(void *route);
void ffl_routes_init(ffl_routes_t *routes);
void ffl_routes_finish(ffl_routes_t *routes);
/**
 * Returns the route that matches @p host and has the longest prefix of @p path;
 * NULL if there is none. Of prefixes of the same length the first one wins.
 */
const ffl_route_t *ffl_routes_match(const ffl_routes_t *routes,
				    const char *host, const char *path);
/** Returns the route of a queue, the first of several; NULL if there is none.
 */
const ffl_route_t *ffl_routes_find(const ffl_routes_t *routes,
				   const char *queue);
/** Returns the name of the customer that has an API key, or NULL. */
const char *ffl_routes_customer(const ffl_routes_t *routes, const char *key);

#endif
