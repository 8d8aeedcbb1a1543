/**
 * @file standin.h
 * @brief A small stand-in of the platform, for tests and the demo.
 *
 * One process serves the log, the list of hosts, the workers and the
 * upstreams; faults are set over its own route.
 */
#ifndef FFL_STANDIN_H
#define FFL_STANDIN_H

#include <civetweb.h>
#include <pthread.h>

#include "fakes/fake_log.h"
#include "fakes/fake_worker.h"
#include "fireflyledge/platform.h"
#include "fireflyledge/worker.h"

/** A worker. */
typedef struct {
	pthread_mutex_t lock;
	bool frozen; /**< answers nothing */
	fake_worker_t fake;
} worker_t;

/** An upstream. */
typedef struct {
	ffl_name_t name;
	pthread_mutex_t lock;
	uint32_t slots;
	uint32_t busy;
	uint32_t peak;
	uint64_t served;
	uint64_t runs;	    /**< whole requests taken in */
	uint64_t truncated; /**< requests whose body ended early */
	struct mg_context *ctx;
} upstream_t;

/** The platform. */
typedef struct {
	pthread_mutex_t lock;
	pthread_cond_t appended;
	fake_log_t log;
	uint32_t delay_ms; /**< of every answer of the log */
	GArray *hosts;	   /**< of ffl_host_info_t */
	GArray *changed;   /**< version of each host's last change */
	uint32_t slots;	   /**< of each upstream */
	uint64_t list_seed;
	uint64_t list_version;
	GPtrArray *workers;
	GPtrArray *upstreams;
} platform_t;

uint64_t standin_now_ms(void);
void standin_send(struct mg_connection *conn, int http_status, const char *type,
		  const void *body, size_t size_bytes);
bool standin_read(struct mg_connection *conn, GByteArray *body);

/** Serves POST and GET /v1/log. */
int standin_log(struct mg_connection *conn, void *platform);
/** Serves POST /v1/workers/NAME. */
int standin_worker(struct mg_connection *conn, void *platform);
/** Serves any request as an upstream. */
int standin_upstream(struct mg_connection *conn, void *upstream);

worker_t *standin_find_worker(platform_t *p, const char *name);
upstream_t *standin_find_upstream(platform_t *p, const char *name);

#endif
