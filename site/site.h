/**
 * @file site.h
 * @brief A stand-in for the platform, for tests with real processes.
 *
 * ffl-site serves the log of keyed topics and the workers over HTTP, with the
 * paths and fields of the platform's published interface.
 */
#ifndef FFL_SITE_HTTP_H
#define FFL_SITE_HTTP_H

#include <pthread.h>
#include <civetweb.h>

#include "fakes/keyed_log.h"
#include "fakes/task_worker.h"

#define SITE_HTTP_WORKERS_MAX 16
/** Interval at which the workers' time is advanced. */
#define SITE_HTTP_ADVANCE_MS 10

/** State of the stand-in. */
typedef struct {
	pthread_mutex_t lock;	/**< guards topics, workers, faults, counters */
	pthread_cond_t changed; /**< records appended or a task ended */
	keyed_log_t topics[FFL_TAILS_MAX]; /**< by ffl_tail_index() */
	task_worker_t workers[SITE_HTTP_WORKERS_MAX];
	uint32_t worker_count;
	char addr[FFL_ADDR_BYTES];
	uint32_t work_ms;	     /**< unused */
	uint32_t unanswered_appends; /**< next appends left unanswered */
	bool log_down;		     /**< the log rejects every call */
	uint64_t cold_until_ms;	     /**< its workers say that they are cold */
	uint32_t newest_send_ms; /**< of a page of newest records; 0: at once */
	uint64_t starts;	 /**< start orders received */
	uint64_t
		renewed_ms[SITE_HTTP_WORKERS_MAX]; /**< last renewal; 0: none */
	uint64_t renewal_gap_ms;   /**< longest time between two of a worker */
	uint64_t advice_calls;	   /**< calls to the adviser */
	uint64_t duplicate_starts; /**< unused */
	GHashTable *gangs;	   /**< unused */
} site_http_t;

/* main.c */

/** Blocks while @p conn is one of the connections that went silent; other
 * connections pass. */
void site_http_stay_silent(const struct mg_connection *conn);

/** Returns the time of the monotonic clock. */
uint64_t site_http_now_ms(void);
/** Sends a response. */
void site_http_send(struct mg_connection *conn, int status, const void *body,
		    size_t size_bytes);
/**
 * Sends a response with status 200 in pieces, as over a congested link.
 *
 * @param ms time that it takes
 */
void site_http_send_slowly(struct mg_connection *conn, const char *body,
			   uint32_t ms);
/**
 * Appends the body of a request to @p body.
 *
 * @return false if the connection failed before its end
 */
bool site_http_read_body(struct mg_connection *conn, GByteArray *body);
/**
 * Waits until the condition changed is signalled, or until a time. Called with
 * the lock held.
 *
 * @param until_ms by site_http_now_ms()
 */
void site_http_wait_change(site_http_t *s, uint64_t until_ms);

/* log.c; these handlers respond 503 while the log is down. The value 1 tells
 * CivetWeb that the request was handled. */

/** Serves an append. */
int site_http_serve_append(struct mg_connection *conn, void *site);
/** Serves a read; waits for records as long as the query asks for. */
int site_http_serve_read(struct mg_connection *conn, void *site);
/** Serves a page of the newest record of each key. */
int site_http_serve_newest(struct mg_connection *conn, void *site);

/* worker.c */

/** Describes tasks to the workers by their specifications. */
extern const task_hooks_t site_http_hooks;
/** Formats the address of a worker: one of the loopback network, with the port
 * of the stand-in. */
void site_http_worker_addr(const site_http_t *s, uint32_t index,
			   char out[FFL_ADDR_BYTES]);
/** Serves an order to a worker; the address called tells which. */
int site_http_serve_order(struct mg_connection *conn, void *site);
/** Serves a question to the adviser: it allows every worker but the first. */
int site_http_serve_advice(struct mg_connection *conn, void *site);
/** Appends the body to the list of workers under the id in the query, as
 * another writer would. */
int site_http_serve_entry(struct mg_connection *conn, void *site);
/** Appends the record of each worker to the log. Called with the lock held. */
void site_http_publish_workers(site_http_t *s);

#endif
