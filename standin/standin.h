/**
 * @file standin.h
 * @brief A stand-in for the platform of fireflyledged, for tests and the demo.
 *
 * ffl-platform is one process that serves the log, the list of hosts, the
 * workers and the upstreams. Tests inject faults with POST /v1/faults.
 */
#ifndef FFL_STANDIN_H
#define FFL_STANDIN_H

#include <civetweb.h>
#include <pthread.h>

#include "fakes/fake_log.h"
#include "fakes/fake_worker.h"
#include "fireflyledge/platform.h"
#include "fireflyledge/worker.h"

/** A worker that the stand-in simulates. */
typedef struct {
	pthread_mutex_t lock;
	bool frozen; /**< answers every command with HTTP status 500 */
	fake_worker_t fake;
} worker_t;

/** An upstream that the stand-in simulates. */
typedef struct {
	ffl_name_t name;
	pthread_mutex_t lock;
	uint32_t slots; /**< most requests that it runs at a time */
	uint32_t busy;	/**< requests in progress */
	uint32_t peak_busy;
	uint64_t served;    /**< accepted requests that have ended */
	uint64_t accepted;  /**< complete requests that had a slot */
	uint64_t truncated; /**< requests with an incomplete body */
	struct mg_context *ctx;
} upstream_t;

/** State of the stand-in. */
typedef struct {
	pthread_mutex_t lock;	 /**< guards the log, its faults and hosts */
	pthread_cond_t appended; /**< records appended, or faults changed */
	fake_log_t log;
	uint32_t log_delay_ms;	 /**< delay of every response of the log */
	GArray *hosts;		 /**< of ffl_host_info_t */
	GArray *change_versions; /**< of uint64_t, by host: last change */
	uint32_t slots;		 /**< of each upstream */
	uint64_t host_list_seed; /**< differs from that of earlier processes */
	uint64_t host_list_version;
	GPtrArray *workers;   /**< of worker_t */
	GPtrArray *upstreams; /**< of upstream_t */
} standin_t;

/** Returns the time of the monotonic clock. */
uint64_t standin_now_ms(void);
/** Sends a response. */
void standin_send(struct mg_connection *conn, int http_status, const char *type,
		  const void *body, size_t size_bytes);
/**
 * Appends the body of a request to @p body.
 *
 * @return false if the body is incomplete
 */
bool standin_read_body(struct mg_connection *conn, GByteArray *body);

/* Handlers of CivetWeb; the value 1 tells it that the request was handled. */

/** Serves POST and GET /v1/log: appends and reads. */
int standin_serve_log(struct mg_connection *conn, void *standin);
/** Serves POST /v1/workers/NAME: a command to a worker. */
int standin_serve_worker(struct mg_connection *conn, void *standin);
/** Serves any request as an upstream, with the fault that it asks for. */
int standin_serve_upstream(struct mg_connection *conn, void *upstream);

/** Returns a worker by its name, or NULL. */
worker_t *standin_find_worker(standin_t *p, const char *name);
/** Returns an upstream by its name, or NULL. */
upstream_t *standin_find_upstream(standin_t *p, const char *name);

#endif
