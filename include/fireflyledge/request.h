/**
 * @file request.h
 * @brief Callers' requests: admission, queueing, routing and retries.
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
	FFL_REQ_AWAITING_GRANT, /**< the owner of its key was asked */
	FFL_REQ_QUEUED,
	FFL_REQ_FORWARDED, /**< an attempt is open at an upstream */
	FFL_REQ__MAX
} ffl_req_state_t;

typedef struct {
	ffl_fq_item_t queue_item;      /**< in ffl_requests_t.queue */
	ffl_heap_item_t deadline_item; /**< in ffl_requests_t.deadlines */
	uint64_t id;
	ffl_name_t customer;
	ffl_name_t caller;
	ffl_urgency_t urgency;
	ffl_req_state_t state;
	bool repeatable;   /**< it may run more than once */
	bool key_granted;  /**< the owner of its key granted the run */
	bool remote;	   /**< the latest attempt went to another region */
	bool may_have_run; /**< an attempt may have run */
	ffl_key_id_t key;  /**< 0: none, or not needed */
	uint64_t key_owner;
	uint64_t payload_hash;
	uint64_t cost_key; /**< see ffl_cost_key() */
	uint64_t body_bytes;
	uint32_t attempt;    /**< number of the latest attempt, from 1 */
	ffl_name_t upstream; /**< of the latest attempt */
	uint64_t deadline_ms;
	uint64_t queued_ms; /**< when it was received */
	uint64_t asked_ms;  /**< when the owner was last asked */
} ffl_req_t;

typedef struct ffl_requests ffl_requests_t;

/** A policy of admission, order, routing and retries. */
typedef struct {
	const char *name;
	/** Each class, customer and caller has a queue limit of its own. */
	bool nested_bounds;
	/**
	 * Returns the node of the caller's queue; NULL if no further caller
	 * can be tracked.
	 */
	ffl_fq_node_t *(*assign_queue)(ffl_requests_t *rs, const ffl_req_t *req,
				       const ffl_customer_t *customer);
	/** Returns true if the request is predicted to miss its deadline. */
	bool (*would_miss_deadline)(ffl_requests_t *rs, const ffl_req_t *req,
				    uint64_t now_ms);
	/** Returns the upstream for the next attempt; NULL if none is free. */
	ffl_upstream_t *(*choose_upstream)(ffl_requests_t *rs,
					   const ffl_req_t *req,
					   uint64_t now_ms);
	/** Returns true if the budget allows one more attempt. */
	bool (*may_retry)(ffl_requests_t *rs, ffl_up_outcome_t outcome);
} ffl_route_policy_t;

/** First come first served, round robin; the baseline for comparisons. */
extern const ffl_route_policy_t ffl_policy_fcfs;
/** Fair queue by learned cost, best of two by load, retry budget. */
extern const ffl_route_policy_t ffl_policy_fair;

/** Limits of the request path. */
typedef struct {
	uint32_t queue_max; /**< queued requests */
	uint32_t default_timeout_ms;
	uint32_t max_timeout_ms;
	uint32_t attempts_max;		  /**< per request */
	uint32_t eject_failures;	  /**< see ffl_ejection_t.failures */
	uint32_t eject_ms;		  /**< see ffl_ejection_t.first_ms */
	uint64_t link_bytes_per_s;	  /**< 0: the default */
	const ffl_route_policy_t *policy; /**< NULL: ffl_policy_fair */
} ffl_request_limits_t;

/** Identity of this entry host. */
typedef struct {
	uint64_t member;
	uint64_t cluster;
	uint64_t seed; /**< of the random choices */
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
	GHashTable *buckets; /**< rate limits: ffl_bucket_t by customer */
	ffl_rng_t rng;
	ffl_ownership_t slot_ownership;
	ffl_once_t once;
	uint64_t cluster;
	uint64_t peer_seq;	   /**< of the latest message to a peer */
	uint64_t next_load_ms;	   /**< when the next FFL_PEER_LOAD is due */
	uint64_t next_handover_ms; /**< when handover is next looked at */
	uint64_t next_ask_ms;	   /**< when unanswered asks are looked at */
	uint64_t order;		   /**< of arrival; breaks ties of deadlines */
	uint64_t now_ms;	   /**< of the current step */
	GPtrArray *ask_list;	   /**< scratch: requests to ask again for */
	const ffl_members_t *members;
	uint64_t resumed_ms; /**< end of the latest pause of this host */
	bool list_stale;     /**< the host list dates from before that pause */
	bool stopping;
	bool release_announced; /**< peers were sent the final report */
};

void ffl_requests_init(ffl_requests_t *rs, const ffl_request_limits_t *limits,
		       const ffl_request_self_t *self,
		       const ffl_members_t *members);
void ffl_requests_finish(ffl_requests_t *rs);

/** Handles a new list of hosts from the platform. */
void ffl_requests_on_host_list(ffl_requests_t *rs, const ffl_host_list_t *list,
			       uint64_t now_ms);
/** Applies the drains of a new configuration to the upstreams. */
void ffl_requests_on_config(ffl_requests_t *rs, const ffl_config_t *cfg);
/** Records a read of the log, sent at @p sent_ms, that reached its end. */
void ffl_requests_on_log_read(ffl_requests_t *rs, uint64_t sent_ms);
/** Adopts the members that the log now gives; see ffl_ownership_set_view(). */
void ffl_requests_on_members(ffl_requests_t *rs, bool first, uint64_t now_ms);
void ffl_requests_on_peer(ffl_requests_t *rs, const ffl_peer_msg_t *msg,
			  uint64_t now_ms, ffl_actions_t *out);
/** Admits or refuses a caller's request. */
void ffl_requests_on_request(ffl_requests_t *rs, const ffl_ev_request_t *ev,
			     const ffl_config_t *cfg, uint64_t now_ms,
			     ffl_actions_t *out);
/** Handles a caller that disconnected; an open attempt is left to end. */
void ffl_requests_on_caller_gone(ffl_requests_t *rs, uint64_t id,
				 ffl_actions_t *out);
/** Handles the end of an attempt at an upstream. */
void ffl_requests_on_upstream_done(ffl_requests_t *rs,
				   const ffl_ev_upstream_done_t *ev,
				   uint64_t now_ms, ffl_actions_t *out);
/**
 * Forwards queued requests, refuses those past their deadline, and sends the
 * messages to peers that are due.
 */
void ffl_requests_run(ffl_requests_t *rs, uint64_t now_ms, ffl_actions_t *out);
/** Starts a planned stop: new requests are refused. */
void ffl_requests_stop(ffl_requests_t *rs);
/** Returns true if no request is open and no handover of keys is pending. */
bool ffl_requests_idle(const ffl_requests_t *rs);

#endif
