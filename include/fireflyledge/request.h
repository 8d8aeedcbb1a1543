/**
 * @file request.h
 * @brief Callers' requests: admission, routing, retries.
 */
#ifndef FFL_REQUEST_H
#define FFL_REQUEST_H

#include "fireflyledge/action.h"
#include "fireflyledge/config.h"
#include "fireflyledge/member.h"

/** An instance of a service. */
typedef struct {
	ffl_host_info_t info;
	bool listed;
	bool drained;
	uint32_t in_flight; /**< attempts of this host */
	uint32_t failures;  /**< in a row */
	uint64_t ejected_until_ms;
} ffl_upstream_t;

/** State of a request. */
typedef enum {
	FFL_REQ_QUEUED,
	FFL_REQ_FORWARDED,
	FFL_REQ__MAX
} ffl_req_state_t;

typedef struct {
	uint64_t id;
	ffl_name_t customer;
	ffl_name_t caller;
	ffl_urgency_t urgency;
	ffl_req_state_t state;
	bool repeatable;
	char key[FFL_KEY_BYTES];
	uint32_t attempt;
	ffl_name_t upstream; /**< of the current attempt */
	uint64_t deadline_ms;
	uint64_t queued_ms;
} ffl_req_t;

/** Limits of the request path. */
typedef struct {
	uint32_t queue_max;
	uint32_t default_timeout_ms;
	uint32_t max_timeout_ms;
	uint32_t attempts_max;
	uint32_t eject_failures; /**< failures in a row that eject */
	uint32_t eject_ms;
} ffl_request_limits_t;

typedef struct {
	ffl_request_limits_t limits;
	ffl_name_t region; /**< of this host */
	GArray *upstreams; /**< of ffl_upstream_t, by name */
	GQueue queue;	   /**< of ffl_req_t *, oldest first */
	GHashTable *by_id; /**< ffl_req_t by id */
	uint32_t next_upstream;
	uint32_t entry_hosts; /**< live entry hosts that share the upstreams */
	bool stopping;
} ffl_requests_t;

void ffl_requests_init(ffl_requests_t *rs, const ffl_request_limits_t *limits,
		       const char *region);
void ffl_requests_finish(ffl_requests_t *rs);

void ffl_requests_on_list(ffl_requests_t *rs, const ffl_host_list_t *list);
void ffl_requests_on_config(ffl_requests_t *rs, const ffl_config_t *cfg);
void ffl_requests_on_request(ffl_requests_t *rs, const ffl_ev_request_t *ev,
			     const ffl_config_t *cfg, uint64_t now_ms,
			     ffl_actions_t *out);
void ffl_requests_on_gone(ffl_requests_t *rs, uint64_t id, ffl_actions_t *out);
void ffl_requests_on_done(ffl_requests_t *rs, const ffl_ev_upstream_done_t *ev,
			  uint64_t now_ms, ffl_actions_t *out);
/** Forwards what may be forwarded and refuses what is too late. */
void ffl_requests_run(ffl_requests_t *rs, uint64_t now_ms, ffl_actions_t *out);
/** Starts a planned stop: no new requests. */
void ffl_requests_stop(ffl_requests_t *rs);
/** Tells whether no request is open. */
bool ffl_requests_idle(const ffl_requests_t *rs);

#endif
