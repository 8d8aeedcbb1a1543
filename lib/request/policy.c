#include "lib/request/request_int.h"

static ffl_fq_node_t *assign_queue_fcfs(ffl_requests_t *rs,
					const ffl_req_t *req,
					const ffl_customer_t *customer);
static bool would_miss_deadline_fcfs(ffl_requests_t *rs, const ffl_req_t *req,
				     uint64_t now_ms);
static ffl_upstream_t *choose_fcfs(ffl_requests_t *rs, const ffl_req_t *req,
				   uint64_t now_ms);
static bool may_retry_fcfs(ffl_requests_t *rs, ffl_up_outcome_t outcome);
static ffl_fq_node_t *assign_queue_fair(ffl_requests_t *rs,
					const ffl_req_t *req,
					const ffl_customer_t *customer);
static bool would_miss_deadline_fair(ffl_requests_t *rs, const ffl_req_t *req,
				     uint64_t now_ms);
static ffl_upstream_t *choose_fair(ffl_requests_t *rs, const ffl_req_t *req,
				   uint64_t now_ms);
static bool may_retry_fair(ffl_requests_t *rs, ffl_up_outcome_t outcome);
static uint32_t limit_of_host(const ffl_requests_t *rs, uint32_t limit);

const ffl_route_policy_t ffl_policy_fcfs = {
	.name = "fcfs",
	.nested_bounds = false,
	.assign_queue = assign_queue_fcfs,
	.would_miss_deadline = would_miss_deadline_fcfs,
	.choose_upstream = choose_fcfs,
	.may_retry = may_retry_fcfs,
};

const ffl_route_policy_t ffl_policy_fair = {
	.name = "fair",
	.nested_bounds = true,
	.assign_queue = assign_queue_fair,
	.would_miss_deadline = would_miss_deadline_fair,
	.choose_upstream = choose_fair,
	.may_retry = may_retry_fair,
};

static ffl_fq_node_t *assign_queue_fcfs(ffl_requests_t *rs,
					const ffl_req_t *req,
					const ffl_customer_t *customer)
{
	return ffl_fairq_get_caller(&rs->queue, FFL_NORMAL, "", 1, 0, "", 0);
}

static bool would_miss_deadline_fcfs(ffl_requests_t *rs, const ffl_req_t *req,
				     uint64_t now_ms)
{
	return false;
}

static ffl_upstream_t *choose_fcfs(ffl_requests_t *rs, const ffl_req_t *req,
				   uint64_t now_ms)
{
	ffl_upstream_t *u = ffl_upstreams_pick_round_robin(
		&rs->upstreams, req->upstream, false, now_ms);

	if (u)
		return u;
	return ffl_upstreams_pick_round_robin(&rs->upstreams, req->upstream,
					      true, now_ms);
}

static bool may_retry_fcfs(ffl_requests_t *rs, ffl_up_outcome_t outcome)
{
	return true;
}

/* Returns this host's part of a limit over all entry hosts: at least 1, or 0
 * for no limit. */
static uint32_t limit_of_host(const ffl_requests_t *rs, uint32_t limit)
{
	const ffl_view_t *view = &rs->slot_ownership.view;
	uint32_t rank = 0;
	uint32_t share;

	if (!limit || !view->count)
		return limit;
	while (rank < view->count &&
	       view->members[rank] < rs->slot_ownership.self)
		rank++;
	share = limit / view->count + (rank < limit % view->count);
	return MAX(share, 1);
}

static ffl_fq_node_t *assign_queue_fair(ffl_requests_t *rs,
					const ffl_req_t *req,
					const ffl_customer_t *customer)
{
	return ffl_fairq_get_caller(
		&rs->queue, req->urgency, req->customer, customer->weight,
		limit_of_host(rs, customer->concurrent), req->caller,
		ffl_upstreams_usable_slots(&rs->upstreams, rs->now_ms));
}

static bool would_miss_deadline_fair(ffl_requests_t *rs, const ffl_req_t *req,
				     uint64_t now_ms)
{
	uint32_t slots = ffl_upstreams_usable_slots(&rs->upstreams, now_ms);
	uint64_t wait_ms;

	if (!slots || !rs->queue.root.queued)
		return false;
	wait_ms = ffl_fairq_wait_ms(&rs->queue, req->queue_item.caller, slots);
	return wait_ms > 0 &&
	       now_ms + wait_ms + req->queue_item.cost_ms > req->deadline_ms;
}

/* Prefers instances of this region; uses the link between regions only for
 * requests that are worth their bytes. */
static ffl_upstream_t *choose_fair(ffl_requests_t *rs, const ffl_req_t *req,
				   uint64_t now_ms)
{
	ffl_upstream_t *u = ffl_upstreams_pick_two_choices(
		&rs->upstreams, req->upstream, false, &rs->rng, now_ms);

	if (u)
		return u;
	u = ffl_upstreams_pick_two_choices(&rs->upstreams, req->upstream, true,
					   &rs->rng, now_ms);
	if (u && ffl_link_may_send(&rs->link, req->customer, req->urgency,
				   req->body_bytes, req->queue_item.cost_ms,
				   rs->slot_ownership.view.count, now_ms))
		return u;
	/* Retries at the same instance if there is no other. */
	return req->upstream[0]
		       ? ffl_upstreams_pick_two_choices(&rs->upstreams, "",
							false, &rs->rng, now_ms)
		       : NULL;
}

/* An attempt that was not sent put no load on the upstream, so its retry is
 * not charged to the budget. */
static bool may_retry_fair(ffl_requests_t *rs, ffl_up_outcome_t outcome)
{
	return outcome == FFL_UP_NOT_SENT ||
	       ffl_retry_budget_spend(&rs->retry_budget);
}
