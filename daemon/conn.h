/**
 * @file conn.h
 * @brief Connections of callers and operators: bounds and deadlines.
 *
 * Every connection has a deadline for what it does now: its head, its body,
 * its answer or its next request. One thread cuts those that are late, so
 * that a slow sender or reader holds a serving thread for a bounded time.
 */
#ifndef FFLD_CONN_H
#define FFLD_CONN_H

#include <civetweb.h>

#include "daemon/daemon.h"

/** An open connection. */
typedef struct {
	int fd;	    /**< -1 where it could not be found */
	bool known; /**< its first request has come */
	char addr[FFL_ADDR_BYTES];
	bool refused; /**< its address has too many connections */
	bool cut;     /**< its deadline passed */
	uint64_t cut_at_ms;
} ffld_conn_t;

typedef struct {
	ffld_t *d;
	pthread_mutex_t lock;
	GHashTable *open;    /**< set of ffld_conn_t */
	GHashTable *by_addr; /**< number of connections by address */
	pthread_t thread;
	_Atomic bool stop;
	_Atomic uint32_t count;
} ffld_conns_t;

void ffld_conns_init(ffld_conns_t *cs, ffld_t *d);
void ffld_conns_finish(ffld_conns_t *cs);

/** Takes a connection that was just accepted. */
ffld_conn_t *ffld_conn_open(ffld_conns_t *cs);
/** Registers a connection at its first request, when its address is known. */
void ffld_conn_enter(ffld_conns_t *cs, ffld_conn_t *c,
		     const struct mg_request_info *info);
void ffld_conn_close(ffld_conns_t *cs, ffld_conn_t *c);

/** Sets the deadline of what the connection does now. */
void ffld_conn_deadline(ffld_conns_t *cs, ffld_conn_t *c, uint32_t ms);
/** Tells whether the deadline of the connection has passed. */
bool ffld_conn_cut(ffld_conns_t *cs, ffld_conn_t *c);

/** What a connection's sender has done. */
typedef enum {
	FFLD_PEER_QUIET, /**< nothing to read */
	FFLD_PEER_SENT,	 /**< bytes wait to be read */
	FFLD_PEER_LEFT,	 /**< closed or reset */
} ffld_peer_state_t;

/** Looks at a connection without taking anything from it. */
ffld_peer_state_t ffld_conn_look(const ffld_conn_t *c);
/** Ends sending and takes what still comes for a short time, so that a reset
 * does not destroy the answer on its way. */
void ffld_conn_linger(const ffld_conn_t *c);
/** Returns the bytes that can be read without waiting. */
size_t ffld_conn_readable(const ffld_conn_t *c);

#endif
