/**
 * @file pool.h
 * @brief Idle connections to upstreams, bounded for each upstream.
 */
#ifndef FFLD_POOL_H
#define FFLD_POOL_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <curl/curl.h>
#include <glib.h>

/** Connections kept idle for one upstream, and for all of them. */
#define FFLD_POOL_IDLE_MAX 7
#define FFLD_POOL_ALL_MAX  128
/** Longest time that a connection stays idle, in ms. */
#define FFLD_POOL_IDLE_MS 5000

/** One transfer with at most one connection of its own. */
typedef struct {
	CURLM *multi;
	CURL *easy;
	uint64_t idle_since_ms;
} ffld_link_t;

typedef struct {
	pthread_mutex_t lock;
	GHashTable *idle; /**< GPtrArray of ffld_link_t by address */
	uint32_t count;
} ffld_pool_t;

void ffld_pool_init(ffld_pool_t *pool);
void ffld_pool_finish(ffld_pool_t *pool);

/** Takes a link to an upstream; one without a connection if @p fresh. */
ffld_link_t *ffld_pool_take(ffld_pool_t *pool, const char *addr, bool fresh);
/** Gives a link back; one that is not @p good is closed. */
void ffld_pool_give(ffld_pool_t *pool, const char *addr, ffld_link_t *link,
		    bool good);

#endif
