/**
 * @file site.h
 * @brief A small stand-in of the users' platform over HTTP: its log of keyed
 * topics and its workers, as published, for the tests with real processes.
 */
#ifndef FFL_SITE_HTTP_H
#define FFL_SITE_HTTP_H

#include <pthread.h>
#include <civetweb.h>

#include "fakes/keyed_log.h"
#include "fakes/task_worker.h"

/** Bounds of a stand-in. */
#define SITE_HTTP_WORKERS_MAX 16
/** Time between two looks at the workers. */
#define SITE_HTTP_TICK_MS 10

/** The stand-in. */
typedef struct {
	pthread_mutex_t lock;
	pthread_cond_t changed; /**< something was appended or has ended */
	keyed_log_t topics[FFL_TOPIC__MAX];
	task_worker_t workers[SITE_HTTP_WORKERS_MAX];
	uint32_t workers_count;
	char addr[FFL_ADDR_BYTES];
	uint32_t work_ms;
	uint32_t lost;	  /**< so many appends are done and not answered */
	bool down;	  /**< every call to the log is refused */
	uint32_t slow_ms; /**< so long a page of newest records takes to send */
	uint64_t starts;
	uint64_t advised;  /**< calls for advice */
	uint64_t twice;	   /**< starts of a task that runs already */
	GHashTable *gangs; /**< tasks of the gang by "ID.K.STEP" */
} site_http_t;

uint64_t site_http_now_ms(void);
void site_http_send(struct mg_connection *conn, int status, const void *body,
		    size_t size_bytes);
/** Sends a body in pieces over a time, as a full link does. */
void site_http_send_slowly(struct mg_connection *conn, const char *body,
			   uint32_t ms);
bool site_http_read(struct mg_connection *conn, GByteArray *body);
/** Waits for a change until a time; called with the lock held. */
void site_http_wait(site_http_t *s, uint64_t until_ms);

/* log.c */
int site_http_append(struct mg_connection *conn, void *site);
int site_http_log_read(struct mg_connection *conn, void *site);
int site_http_newest(struct mg_connection *conn, void *site);

/* worker.c */
extern const task_hooks_t site_http_hooks;
int site_http_order(struct mg_connection *conn, void *site);
int site_http_advise(struct mg_connection *conn, void *site);
/** Writes the workers' entries to the log; called with the lock held. */
void site_http_report(site_http_t *s);

#endif
