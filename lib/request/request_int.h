/**
 * @file request_int.h
 * @brief What the files of the request path share.
 */
#ifndef FFL_REQUEST_INT_H
#define FFL_REQUEST_INT_H

#include "fireflyledge/request.h"

/** A refusal by the request path. */
typedef struct {
	uint32_t http_status;
	const char *type;
	const char *detail;
	ffl_ran_t ran;
	uint32_t retry_after_ms;
} ffl_refusal_t;

ffl_req_t *ffl_requests_find(const ffl_requests_t *rs, uint64_t id);
/** Notes the time of a step, to find out that this host was paused. */
void ffl_requests_time(ffl_requests_t *rs, uint64_t now_ms);
/** Answers with a refusal. */
void ffl_requests_answer(ffl_actions_t *out, uint64_t id,
			 const ffl_refusal_t *r);
/** Puts a request into the queue of its policy. */
void ffl_requests_queue(ffl_requests_t *rs, ffl_req_t *req, bool again);
/** Refuses a request and forgets it. */
void ffl_requests_refuse(ffl_requests_t *rs, ffl_req_t *req,
			 const ffl_refusal_t *refusal, ffl_actions_t *out);
void ffl_requests_drop(ffl_requests_t *rs, ffl_req_t *req);
/** Returns a wait that grows with the backlog, spread over the callers. */
uint32_t ffl_requests_retry_after(ffl_requests_t *rs, uint64_t wait_ms);

/** Sends a message to another entry host. */
void ffl_requests_post(ffl_requests_t *rs, ffl_peer_msg_t *msg,
		       ffl_peer_kind_t kind, uint64_t to, ffl_actions_t *out);

/** Asks the home of a request's key. */
void ffl_keyed_ask(ffl_requests_t *rs, ffl_req_t *req, uint64_t now_ms,
		   ffl_actions_t *out);
/** Asks again where no answer came. */
void ffl_keyed_run(ffl_requests_t *rs, uint64_t now_ms, ffl_actions_t *out);
/** Tells the home what became of a granted run. */
void ffl_keyed_end(ffl_requests_t *rs, const ffl_req_t *req,
		   ffl_once_state_t state, const ffl_ev_upstream_done_t *done,
		   uint64_t now_ms, ffl_actions_t *out);
void ffl_keyed_on_peer(ffl_requests_t *rs, const ffl_peer_msg_t *msg,
		       uint64_t now_ms, ffl_actions_t *out);

/** Sends this host's word and the keys that others must have. */
void ffl_load_run(ffl_requests_t *rs, uint64_t now_ms, ffl_actions_t *out);
void ffl_load_on_peer(ffl_requests_t *rs, const ffl_peer_msg_t *msg,
		      uint64_t now_ms);

#endif
