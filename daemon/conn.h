/**
 * @file conn.h
 * @brief Connections of callers and operators: limits and deadlines.
 *
 * Every connection has a deadline for its current phase: reading the headers,
 * reading the body, sending the response or waiting for the next request. One
 * thread shuts connections that are past their deadline, so that a slow
 * sender or reader occupies a server thread for a bounded time.
 */
#ifndef FFLD_CONN_H
#define FFLD_CONN_H

#include <civetweb.h>

#include "daemon/daemon.h"

/** An open connection of a caller or operator. */
typedef struct {
	int fd;			   /**< its socket, or -1 if not found; then no
				      deadline applies */
	bool registered;	   /**< its first request has arrived */
	char addr[FFL_ADDR_BYTES]; /**< remote address and server port */
	bool over_limit;	   /**< its address has more than per_address
				      connections */
	bool timed_out;		   /**< a deadline passed; reading has ended */
	uint64_t deadline_ms;	   /**< of the current phase */
} ffld_conn_t;

/** All open connections and the thread that enforces their deadlines. */
typedef struct {
	ffld_t *d;
	pthread_mutex_t lock; /**< of both tables, and of the deadlines */
	GHashTable *open;     /**< set of registered ffld_conn_t */
	GHashTable *by_addr; /**< number of registered connections by address */
	pthread_t thread;
	_Atomic bool stop;
	_Atomic uint32_t count; /**< open connections, registered or not */
} ffld_conns_t;

/** Starts the deadline thread. */
void ffld_conns_init(ffld_conns_t *cs, ffld_t *d);
/** Stops the deadline thread; no connection may be open. */
void ffld_conns_finish(ffld_conns_t *cs);

/** Creates the record of a connection that was just accepted. */
ffld_conn_t *ffld_conn_open(ffld_conns_t *cs);
/** Registers a connection at its first request, since the server reports the
 * remote address only then; later calls do nothing. Sets over_limit. */
void ffld_conn_register(ffld_conns_t *cs, ffld_conn_t *c,
			const struct mg_request_info *info);
/** Unregisters a closed connection and frees its record. */
void ffld_conn_close(ffld_conns_t *cs, ffld_conn_t *c);

/** Sets the deadline of the current phase, @p ms from now. */
void ffld_conn_set_deadline(ffld_conns_t *cs, ffld_conn_t *c, uint32_t ms);
/** Returns true if a deadline of the connection has passed. */
bool ffld_conn_timed_out(ffld_conns_t *cs, ffld_conn_t *c);

/** What can be read from a connection. */
typedef enum {
	FFLD_CONN_IDLE,	    /**< nothing, or its socket is not known */
	FFLD_CONN_READABLE, /**< at least one byte */
	FFLD_CONN_CLOSED,   /**< the sender closed or reset it */
} ffld_conn_state_t;

/** Returns the state of a connection without reading from it or blocking. */
ffld_conn_state_t ffld_conn_peek(const ffld_conn_t *c);
/** Ends sending, then reads and discards input for a bounded time (lingering
 * close). Closing with unread input would reset the connection, and the reset
 * could destroy the response before the sender reads it. */
void ffld_conn_linger(const ffld_conn_t *c);
/** Returns the number of bytes that can be read without blocking. */
size_t ffld_conn_readable_bytes(const ffld_conn_t *c);

#endif
