/**
 * @file web.h
 * @brief Calls of callers and operators that wait for the core thread.
 */
#ifndef FFLD_WEB_H
#define FFLD_WEB_H

#include <civetweb.h>

#include "daemon/conn.h"
#include "daemon/daemon.h"
#include "daemon/pool.h"
#include "daemon/problem.h"

/** What the core thread decided last for a call. */
typedef enum {
	FFLD_STEP_NONE,
	FFLD_STEP_ANSWER,
	FFLD_STEP_FORWARD,
	FFLD_STEP_FINISH,
	FFLD_STEP__MAX
} ffld_step_t;

/** A call that waits; belongs to the thread that serves it. */
typedef struct {
	uint64_t id;
	pthread_cond_t changed;
	ffld_step_t step;
	ffl_act_answer_t answer;
	ffl_act_forward_t forward;
	GByteArray *body; /**< of the answer */
	ffld_conn_t *peer;
	bool repeatable; /**< the method may be repeated */
	bool gone;	 /**< the core knows that the caller has left */
} ffld_call_t;

struct ffld_web {
	ffld_t *d;
	struct mg_context *callers;
	struct mg_context *operators;
	pthread_mutex_t lock;
	GHashTable *calls; /**< ffld_call_t by id */
	uint64_t next_id;
	ffld_conns_t conns;
	ffld_pool_t pool;	      /**< of links to upstreams */
	char boot_id[FFL_NAME_BYTES]; /**< unlike that of any other start */
	_Atomic uint32_t next_attempt;
	_Atomic bool closing;	/**< the core has exited */
	pthread_cond_t drained; /**< no call is open */
};

void ffld_calls_init(ffld_web_t *w);
void ffld_calls_finish(ffld_web_t *w);
/** Ends every wait and waits until the open calls are answered. */
void ffld_calls_drain(ffld_web_t *w);

/** Registers a call and gives it an id. */
void ffld_call_open(ffld_web_t *w, ffld_call_t *call);
void ffld_call_close(ffld_web_t *w, ffld_call_t *call);
/** Waits for the next step; FFLD_STEP_NONE after @p timeout_ms. */
ffld_step_t ffld_call_wait(ffld_web_t *w, ffld_call_t *call,
			   uint32_t timeout_ms);

/** Tells whether connections are to close after their answer. */
bool ffld_web_should_close(const ffld_web_t *w);

/** Sends the core's answer to a command or request. */
void ffld_send(ffld_web_t *w, struct mg_connection *conn,
	       const ffl_act_answer_t *answer, const GByteArray *body,
	       const char *id);
/** Returns the bearer token of a request, or "". */
const char *ffld_bearer(const struct mg_connection *conn);

/**
 * Reads the body of a command.
 *
 * @return FFL_OK, FFL_FULL where it is larger than @p max_bytes, or
 *         FFL_TRUNCATED where the sender stopped early
 */
ffl_status_t ffld_read_body(struct mg_connection *conn, GByteArray *body,
			    size_t max_bytes);

/** Serves one request by an upstream. */
int ffld_relay(ffld_web_t *w, struct mg_connection *conn);

#endif
