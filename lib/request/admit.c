#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "lib/request/heap.h"
#include "lib/request/request_int.h"

/** Longest detail of a refusal with numbers. */
#define DETAIL_BYTES 128
/** Size that is assumed for a body of unknown length. */
#define UNKNOWN_BODY_BYTES 1048576

static bool take_rate_token(ffl_requests_t *rs, const ffl_customer_t *customer,
			    uint64_t now_ms, uint32_t *wait_ms);
static ffl_req_t *new_req(ffl_requests_t *rs, const ffl_ev_request_t *ev,
			  const ffl_customer_t *customer, uint64_t now_ms);
static void admit(ffl_requests_t *rs, ffl_req_t *req,
		  const ffl_customer_t *customer, uint64_t now_ms,
		  ffl_actions_t *out);

void ffl_requests_send_refusal(ffl_actions_t *out, uint64_t id,
			       const ffl_refusal_t *r)
{
	ffl_problem_t p = { .http_status = r->http_status,
			    .type = r->type,
			    .title = "request refused",
			    .detail = r->detail,
			    .ran = r->ran,
			    .retry_after_ms = r->retry_after_ms };

	ffl_actions_problem(out, id, &p);
}

static bool take_rate_token(ffl_requests_t *rs, const ffl_customer_t *customer,
			    uint64_t now_ms, uint32_t *wait_ms)
{
	uint32_t hosts = MAX(rs->slot_ownership.view.count, 1);
	ffl_bucket_t *b;

	if (!customer->rate_per_s)
		return true;
	b = g_hash_table_lookup(rs->buckets, customer->name);
	if (!b) {
		b = g_new0(ffl_bucket_t, 1);
		g_hash_table_insert(rs->buckets, g_strdup(customer->name), b);
	}
	ffl_bucket_refill(b, customer->rate_per_s,
			  MAX(customer->burst, customer->rate_per_s), hosts,
			  now_ms);
	if (ffl_bucket_take(b, 1))
		return true;
	*wait_ms = ffl_bucket_wait_ms(b, customer->rate_per_s, hosts);
	return false;
}

static ffl_req_t *new_req(ffl_requests_t *rs, const ffl_ev_request_t *ev,
			  const ffl_customer_t *customer, uint64_t now_ms)
{
	uint32_t timeout_ms =
		ev->timeout_ms ? ev->timeout_ms : rs->limits.default_timeout_ms;
	ffl_req_t *req = g_new0(ffl_req_t, 1);

	req->id = ev->id;
	req->urgency = ev->urgency;
	req->repeatable = ev->repeatable;
	req->payload_hash = ev->payload_hash;
	req->body_bytes = ev->body_bytes == FFL_BODY_UNKNOWN
				  ? UNKNOWN_BODY_BYTES
				  : ev->body_bytes;
	req->queued_ms = now_ms;
	req->deadline_ms = now_ms + MIN(timeout_ms, rs->limits.max_timeout_ms);
	ffl_copy(req->customer, sizeof(req->customer), customer->name);
	ffl_copy(req->caller, sizeof(req->caller), ev->caller);
	req->cost_key = ffl_cost_key(customer->name, ev->kind);
	req->deadline_item.key = req->deadline_ms;
	req->deadline_item.order = ++rs->order;
	req->deadline_item.owner = req;
	g_hash_table_add(rs->by_id, req);
	return req;
}

/* Queue limits and the expected wait are checked before the key's owner is
 * asked, so that a request refused for them is granted no run. */
static void admit(ffl_requests_t *rs, ffl_req_t *req,
		  const ffl_customer_t *customer, uint64_t now_ms,
		  ffl_actions_t *out)
{
	ffl_refusal_t r = { 503, "overloaded", "the queue is full", FFL_RAN_NO,
			    0 };
	char detail[DETAIL_BYTES];
	uint64_t wait_ms = 0;

	req->queue_item.cost_ms =
		ffl_costs_expected_ms(&rs->costs, req->cost_key);
	req->queue_item.caller =
		rs->limits.policy->assign_queue(rs, req, customer);
	if (req->queue_item.caller)
		wait_ms = ffl_fairq_wait_ms(
			&rs->queue, req->queue_item.caller,
			ffl_upstreams_usable_slots(&rs->upstreams, now_ms));
	r.retry_after_ms = ffl_requests_retry_after(rs, wait_ms);
	if (!req->queue_item.caller ||
	    !ffl_fairq_has_room(&rs->queue, req->queue_item.caller)) {
		ffl_requests_refuse(rs, req, &r, out);
		return;
	}
	if (rs->limits.policy->would_miss_deadline(rs, req, now_ms)) {
		r.type = "too-late";
		snprintf(detail, sizeof(detail),
			 "the expected wait of %" PRIu64
			 " ms and run time of %" PRIu32
			 " ms exceed the timeout of %" PRIu64 " ms",
			 wait_ms, req->queue_item.cost_ms,
			 req->deadline_ms - now_ms);
		r.detail = detail;
		ffl_requests_refuse(rs, req, &r, out);
		return;
	}
	if (!req->key.a && !req->key.b) {
		ffl_requests_enqueue(rs, req, false);
		return;
	}
	req->state = FFL_REQ_AWAITING_GRANT;
	ffl_heap_push(&rs->deadlines, &req->deadline_item);
	ffl_keyed_ask_owner(rs, req, now_ms, out);
}

void ffl_requests_on_request(ffl_requests_t *rs, const ffl_ev_request_t *ev,
			     const ffl_config_t *cfg, uint64_t now_ms,
			     ffl_actions_t *out)
{
	const ffl_customer_t *customer =
		ffl_config_customer_by_token(cfg, ev->token);
	static const ffl_refusal_t unknown = {
		401, "unknown-token", "the token belongs to no customer",
		FFL_RAN_NO, 0
	};
	ffl_refusal_t r = { 503, "stopping", "this host is stopping",
			    FFL_RAN_NO, 0 };
	char detail[DETAIL_BYTES];
	uint32_t wait_ms = 0;
	ffl_req_t *req;

	ffl_requests_set_time(rs, now_ms);
	if (!customer) {
		ffl_requests_send_refusal(out, ev->id, &unknown);
		return;
	}
	if (rs->stopping) {
		r.retry_after_ms = ffl_requests_retry_after(rs, 0);
		ffl_requests_send_refusal(out, ev->id, &r);
		return;
	}
	if (!take_rate_token(rs, customer, now_ms, &wait_ms)) {
		r.http_status = 429;
		r.type = "over-rate";
		snprintf(detail, sizeof(detail),
			 "the customer exceeds its rate of %" PRIu64
			 " requests/s",
			 (uint64_t)customer->rate_per_s);
		r.detail = detail;
		r.retry_after_ms = ffl_requests_retry_after(rs, wait_ms);
		ffl_requests_send_refusal(out, ev->id, &r);
		return;
	}
	req = new_req(rs, ev, customer, now_ms);
	if (ev->key[0] && !ev->repeatable)
		req->key = ffl_once_key_id(customer->name, ev->key);
	admit(rs, req, customer, now_ms, out);
}
