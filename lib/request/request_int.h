/**
 * @file request_int.h
 * @brief Functions that the files of the request path share.
 */
#ifndef FFL_REQUEST_INT_H
#define FFL_REQUEST_INT_H

#include "fireflyledge/request.h"

/** Problem document with which a request is refused; see ffl_problem_t. */
typedef struct {
	uint32_t http_status;
	const char *type;
	const char *detail;
	ffl_ran_t ran;
	uint32_t retry_after_ms;
} ffl_refusal_t;

/** Returns an open request, or NULL. */
ffl_req_t *ffl_requests_find(const ffl_requests_t *rs, uint64_t id);
/** Sets the time of the current step; detects that this host was paused. */
void ffl_requests_set_time(ffl_requests_t *rs, uint64_t now_ms);
/** Answers a request, open or not, with a refusal. */
void ffl_requests_send_refusal(ffl_actions_t *out, uint64_t id,
			       const ffl_refusal_t *r);
/** Queues a request; @p retry puts it before others of its caller. */
void ffl_requests_enqueue(ffl_requests_t *rs, ffl_req_t *req, bool retry);
/** Refuses a request, reports its run to the key's owner and removes it. */
void ffl_requests_refuse(ffl_requests_t *rs, ffl_req_t *req,
			 const ffl_refusal_t *refusal, ffl_actions_t *out);
/** Removes a request from all tables and frees it. */
void ffl_requests_remove(ffl_requests_t *rs, ffl_req_t *req);
/**
 * Returns the Retry-After time in ms. Its base is the expected wait; a random
 * part spreads the callers that come back.
 */
uint32_t ffl_requests_retry_after(ffl_requests_t *rs, uint64_t wait_ms);

/** Fills the header of a message and sends it to another entry host. */
void ffl_requests_send_peer(ffl_requests_t *rs, ffl_peer_msg_t *msg,
			    ffl_peer_kind_t kind, uint64_t to,
			    ffl_actions_t *out);

/** Asks the owner of a request's key whether the request may run. */
void ffl_keyed_ask_owner(ffl_requests_t *rs, ffl_req_t *req, uint64_t now_ms,
			 ffl_actions_t *out);
/** Asks again for requests whose owner has not answered. */
void ffl_keyed_repeat_asks(ffl_requests_t *rs, uint64_t now_ms,
			   ffl_actions_t *out);
/**
 * Reports the outcome of a granted run to the owner of its key.
 *
 * @param done end of the attempt; needed only for FFL_ONCE_ANSWERED
 */
void ffl_keyed_report_outcome(ffl_requests_t *rs, const ffl_req_t *req,
			      ffl_once_state_t state,
			      const ffl_ev_upstream_done_t *done,
			      uint64_t now_ms, ffl_actions_t *out);
/** Handles the messages about keys. */
void ffl_keyed_on_peer(ffl_requests_t *rs, const ffl_peer_msg_t *msg,
		       uint64_t now_ms, ffl_actions_t *out);

/** Sends the ownership reports and handover messages that are due. */
void ffl_load_send_due(ffl_requests_t *rs, uint64_t now_ms, ffl_actions_t *out);
/** Handles an ownership report. */
void ffl_load_on_peer(ffl_requests_t *rs, const ffl_peer_msg_t *msg,
		      uint64_t now_ms);

#endif
