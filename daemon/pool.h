/**
 * @file pool.h
 * @brief Pool of idle connections to upstreams.
 */
#ifndef FFLD_POOL_H
#define FFLD_POOL_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <curl/curl.h>
#include <glib.h>

/** Idle connections kept per upstream, and in total. */
#define FFLD_POOL_IDLE_MAX 7
#define FFLD_POOL_ALL_MAX  128
/** Time after which an idle connection is closed, in ms. */
#define FFLD_POOL_IDLE_MS 5000

/** Handles for one transfer at a time, which own at most one connection. */
typedef struct {
	CURLM *multi;
	CURL *easy;
	uint64_t idle_since_ms;
} ffld_pool_conn_t;

typedef struct {
	pthread_mutex_t lock;
	GHashTable *idle; /**< GPtrArray of ffld_pool_conn_t by address,
			     oldest first */
	uint32_t count;	  /**< idle connections in total */
} ffld_pool_t;

void ffld_pool_init(ffld_pool_t *pool);
void ffld_pool_finish(ffld_pool_t *pool);

/** Takes the most recently used idle connection to an upstream out of the
 * pool; returns new handles without a connection if there is none, or if
 * @p fresh. */
ffld_pool_conn_t *ffld_pool_acquire(ffld_pool_t *pool, const char *addr,
				    bool fresh);
/** Returns a connection to the pool; closes it if it is not @p reusable or the
 * pool is full. */
void ffld_pool_release(ffld_pool_t *pool, const char *addr,
		       ffld_pool_conn_t *pc, bool reusable);

#endif
