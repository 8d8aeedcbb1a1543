/**
 * @file request.h
 * @brief Callers' requests: admission, routing, retries.
 */
#ifndef FFL_REQUEST_H
#define FFL_REQUEST_H

#include "fireflyledge/action.h"
#include "fireflyledge/ownership.h"
#include "fireflyledge/budget.h"
#include "fireflyledge/config.h"
#include "fireflyledge/cost.h"
#include "fireflyledge/fairq.h"
#include "fireflyledge/member.h"
#include "fireflyledge/once.h"
#include "fireflyledge/upstream.h"

/** State of a request. */
typedef enum {
	FFL_REQ_AWAITING_GRANT, /**< the home of its key is asked */
	FFL_REQ_QUEUED,
	FFL_REQ_FORWARDED,
	FFL_REQ__MAX
} ffl_req_state_t;

typedef struct {
	ffl_fq_item_t queue_item;      /**< in the fair queue */
	ffl_heap_item_t deadline_item; /**< among the deadlines */
	uint64_t id;
	ffl_name_t customer;
	ffl_name_t caller;
	ffl_urgency_t urgency;
	ffl_req_state_t state;
	bool repeatable;
	bool key_granted;  /**< granted by the home of its key, once */
	bool remote;	   /**< the attempt went over the link */
	bool may_have_run; /**< an attempt may have run */
	ffl_key_id_t key;
	uint64_t key_owner; /**< member that granted the run */
	uint64_t payload_hash;
	uint64_t cost_key;
	uint64_t body_bytes;
	uint32_t attempt;
	ffl_name_t upstream; /**< of the latest attempt */
	uint64_t deadline_ms;
	uint64_t queued_ms;
	uint64_t asked_ms; /**< when the home was last asked */
} ffl_req_t;

typedef struct ffl_requests ffl_requests_t;

/** A policy of admission, order, routing and retries. */
typedef struct {
	const char *name;
	bool nested_bounds; /**< classes, customers and callers have own bounds
			     */
	/** Returns the queue of a request, or NULL where none is left. */
	ffl_fq_node_t *(*assign_queue)(ffl_requests_t *rs, const ffl_req_t *req,
				       const ffl_customer_t *customer);
	/** Tells whether the request would miss its deadline. */
	bool (*would_miss_deadline)(ffl_requests_t *rs, const ffl_req_t *req,
				    uint64_t now_ms);
	ffl_upstream_t *(*choose_upstream)(ffl_requests_t *rs,
					   const ffl_req_t *req,
					   uint64_t now_ms);
	/** Tells whether the budget allows one more attempt. */
	bool (*may_retry)(ffl_requests_t *rs, ffl_up_outcome_t outcome);
} ffl_route_policy_t;

/** First come first served, round robin; the baseline. */
extern const ffl_route_policy_t ffl_policy_fcfs;
/** Fair queue on learned cost, two choices by load, retry budget. */
extern const ffl_route_policy_t ffl_policy_fair;

/** Limits of the request path. */
typedef struct {
	uint32_t queue_max;
	uint32_t default_timeout_ms;
	uint32_t max_timeout_ms;
	uint32_t attempts_max;
	uint32_t eject_failures; /**< failures in a row that eject */
	uint32_t eject_ms;
	uint64_t link_bytes_per_s;	  /**< 0: the default */
	const ffl_route_policy_t *policy; /**< NULL: fair */
} ffl_request_limits_t;

/** Who this host is among the entry hosts. */
typedef struct {
	uint64_t member;
	uint64_t cluster;
	uint64_t seed;
	const char *region;
} ffl_request_self_t;

struct ffl_requests {
	ffl_request_limits_t limits;
	ffl_upstreams_t upstreams;
	ffl_fairq_t queue;
	ffl_heap_t deadlines; /**< of every request that is not forwarded */
	ffl_costs_t costs;
	ffl_retry_budget_t retry_budget;
	ffl_link_t link;
	GHashTable *by_id;   /**< ffl_req_t by id */
	GHashTable *buckets; /**< ffl_bucket_t by customer */
	ffl_rng_t rng;
	ffl_ownership_t slot_ownership; /**< tenure of shares of slots */
	ffl_once_t once;
	uint64_t cluster;
	uint64_t peer_seq;
	uint64_t next_load_ms;
	uint64_t next_handover_ms;
	uint64_t next_ask_ms;
	uint64_t order;
	uint64_t now_ms;     /**< of the current step */
	GPtrArray *ask_list; /**< scratch: requests whose home is asked */
	const ffl_members_t *members;
	uint64_t resumed_ms; /**< end of the latest pause of this host */
	bool list_stale;     /**< the list is from before that pause */
	bool stopping;
	bool release_announced; /**< the others know that this host has ended */
};

void ffl_requests_init(ffl_requests_t *rs, const ffl_request_limits_t *limits,
		       const ffl_request_self_t *self,
		       const ffl_members_t *members);
void ffl_requests_finish(ffl_requests_t *rs);

void ffl_requests_on_host_list(ffl_requests_t *rs, const ffl_host_list_t *list,
			       uint64_t now_ms);
void ffl_requests_on_config(ffl_requests_t *rs, const ffl_config_t *cfg);
/** Notes a read of the log that reached its end and was sent at a time. */
void ffl_requests_on_log_read(ffl_requests_t *rs, uint64_t sent_ms);
/** Takes the members that the log now gives. */
void ffl_requests_on_members(ffl_requests_t *rs, bool first, uint64_t now_ms);
void ffl_requests_on_peer(ffl_requests_t *rs, const ffl_peer_msg_t *msg,
			  uint64_t now_ms, ffl_actions_t *out);
void ffl_requests_on_request(ffl_requests_t *rs, const ffl_ev_request_t *ev,
			     const ffl_config_t *cfg, uint64_t now_ms,
			     ffl_actions_t *out);
void ffl_requests_on_caller_gone(ffl_requests_t *rs, uint64_t id,
				 ffl_actions_t *out);
void ffl_requests_on_upstream_done(ffl_requests_t *rs,
				   const ffl_ev_upstream_done_t *ev,
				   uint64_t now_ms, ffl_actions_t *out);
/** Forwards what may be forwarded and refuses what is too late. */
void ffl_requests_run(ffl_requests_t *rs, uint64_t now_ms, ffl_actions_t *out);
/** Starts a planned stop: no new requests. */
void ffl_requests_stop(ffl_requests_t *rs);
/** Tells whether no request is open and every key is handed over. */
bool ffl_requests_idle(const ffl_requests_t *rs);

#endif
