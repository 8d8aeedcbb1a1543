/**
 * @file web.h
 * @brief HTTP servers for callers and operators.
 *
 * A server thread posts each request to the core thread as an event and waits
 * for the core's next step for it.
 */
#ifndef FFLD_WEB_H
#define FFLD_WEB_H

#include <civetweb.h>

#include "daemon/conn.h"
#include "daemon/daemon.h"
#include "daemon/pool.h"
#include "daemon/problem.h"

/** Next step of a request, as decided by the core thread. */
typedef enum {
	FFLD_STEP_NONE,	   /**< no decision yet */
	FFLD_STEP_ANSWER,  /**< send the core's answer */
	FFLD_STEP_FORWARD, /**< make an attempt at an upstream */
	FFLD_STEP_FINISH,  /**< end with the last attempt's outcome */
	FFLD_STEP__MAX
} ffld_step_t;

/** A request that waits for the core; owned by the thread that serves it. */
typedef struct {
	uint64_t id;
	pthread_cond_t changed; /**< signalled when step is set */
	ffld_step_t step;
	ffl_act_answer_t answer;
	ffl_act_forward_t forward;
	GByteArray *body;	  /**< copy of the answer's body */
	ffld_conn_t *caller_conn; /**< NULL for commands */
	bool repeatable;	  /**< the method may be repeated */
	bool gone_reported;	  /**< FFL_EV_REQUEST_GONE was posted */
} ffld_call_t;

/** Both servers and the requests that they serve. */
struct ffld_web {
	ffld_t *d;
	struct mg_context *callers;
	struct mg_context *operators;
	pthread_mutex_t lock; /**< of the calls */
	GHashTable *calls;    /**< ffld_call_t by id */
	uint64_t next_id;
	ffld_conns_t conns;
	ffld_pool_t pool;	       /**< of connections to upstreams */
	char boot_id[FFL_NAME_BYTES];  /**< host name and a random number for
					  each start; prefix of request ids */
	_Atomic uint32_t next_attempt; /**< number in upstream request ids */
	_Atomic bool closing;	       /**< the core has exited */
	pthread_cond_t drained;	       /**< signalled when no call is open */
};

/** Sets up the table of calls. */
void ffld_calls_init(ffld_web_t *w);
void ffld_calls_finish(ffld_web_t *w);
/** Ends every wait, then waits up to 10 s until all open calls are closed. */
void ffld_calls_drain(ffld_web_t *w);

/** Registers a call and assigns its id. */
void ffld_call_open(ffld_web_t *w, ffld_call_t *call);
/** Unregisters a call and frees what it holds. */
void ffld_call_close(ffld_web_t *w, ffld_call_t *call);
/** Waits for the next step; returns FFLD_STEP_NONE after @p timeout_ms or when
 * the server is closing. Posts FFL_EV_REQUEST_GONE once if the caller leaves.
 */
ffld_step_t ffld_call_wait(ffld_web_t *w, ffld_call_t *call,
			   uint32_t timeout_ms);

/** Returns true if connections are to be closed after their response: the
 * daemon is stopping, or more than 3/4 of the threads have a connection. */
bool ffld_web_should_close(const ffld_web_t *w);

/** Sends the core's answer to a command or request.
 *
 * @param body body of the answer
 * @param id request id for the response
 */
void ffld_send_answer(ffld_web_t *w, struct mg_connection *conn,
		      const ffl_act_answer_t *answer, const GByteArray *body,
		      const char *id);
/** Returns the bearer token of a request, or "". */
const char *ffld_bearer_token(const struct mg_connection *conn);

/**
 * Reads the body of a command.
 *
 * @return FFL_OK, FFL_FULL where it is larger than @p max_bytes, or
 *         FFL_TRUNCATED where the sender stopped early
 */
ffl_status_t ffld_read_body(struct mg_connection *conn, GByteArray *body,
			    size_t max_bytes);

/** Relays one request to an upstream; returns the handled status of
 * mg_request_handler, always 1. */
int ffld_relay(ffld_web_t *w, struct mg_connection *conn);

#endif
