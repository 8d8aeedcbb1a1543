#include <string.h>

#include "lib/request/heap.h"
#include "lib/request/request_int.h"

/*
 * Ownership of slots. The grace time is the age up to which proof counts plus
 * the longest attempt of a host that is not heard from, with a margin.
 */
#define SLOTS_FRESH_MS	5000
#define SLOTS_MARGIN_MS 1000
#define SLOTS_OUTAGE_MS 3600000
/** Retry-After: minimum, maximum, and random part in percent of the base. */
#define RETRY_MS_MIN 500
#define RETRY_MS_MAX 60000
#define RETRY_SPREAD 100
/** A longer gap between two steps means that this host was paused. */
#define PAUSE_MS 500
/** A host list that comes so soon after a pause may be from before it. */
#define LIST_QUEUED_MS 20
/** Longest wait for a new host list after a pause; then the old one is used. */
#define LIST_WAIT_MS 3000

static guint req_hash(gconstpointer p);
static gboolean req_equal(gconstpointer a, gconstpointer b);
static void forward_request(ffl_requests_t *rs, ffl_req_t *req,
			    ffl_upstream_t *u, uint64_t now_ms,
			    ffl_actions_t *out);
static void account_attempt(ffl_requests_t *rs, ffl_req_t *req,
			    const ffl_ev_upstream_done_t *ev, uint64_t now_ms);
static void finish_request(ffl_requests_t *rs, ffl_req_t *req,
			   const ffl_ev_upstream_done_t *ev, uint64_t now_ms,
			   ffl_actions_t *out);
static void refuse_expired(ffl_requests_t *rs, uint64_t now_ms,
			   ffl_actions_t *out);
static void update_shared_state(ffl_requests_t *rs, uint64_t now_ms);

void ffl_requests_init(ffl_requests_t *rs, const ffl_request_limits_t *limits,
		       const ffl_request_self_t *self,
		       const ffl_members_t *members)
{
	const ffl_ejection_t eject = { limits->eject_failures,
				       limits->eject_ms };
	const ffl_ownership_times_t times = {
		.proof_max_age_ms = SLOTS_FRESH_MS,
		.grace_ms = SLOTS_FRESH_MS + limits->max_timeout_ms +
			    SLOTS_MARGIN_MS,
		.max_outage_ms = SLOTS_OUTAGE_MS,
	};

	memset(rs, 0, sizeof(*rs));
	rs->limits = *limits;
	if (!rs->limits.policy)
		rs->limits.policy = &ffl_policy_fair;
	rs->cluster = self->cluster;
	rs->members = members;
	ffl_rng_init(&rs->rng, self->seed);
	ffl_upstreams_init(&rs->upstreams, self->region, &eject);
	ffl_fairq_init(&rs->queue, limits->queue_max);
	if (!rs->limits.policy->nested_bounds) {
		rs->queue.bounds.per_class = limits->queue_max;
		rs->queue.bounds.per_customer = limits->queue_max;
		rs->queue.bounds.per_caller = limits->queue_max;
	}
	ffl_heap_init(&rs->deadlines);
	ffl_costs_init(&rs->costs);
	ffl_retry_budget_init(&rs->retry_budget);
	ffl_link_init(&rs->link, limits->link_bytes_per_s);
	ffl_ownership_init(&rs->slot_ownership, self->member, &times);
	ffl_once_init(&rs->once, self->member);
	rs->by_id = g_hash_table_new_full(req_hash, req_equal, g_free, NULL);
	rs->buckets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	rs->ask_list = g_ptr_array_new();
}

void ffl_requests_finish(ffl_requests_t *rs)
{
	g_ptr_array_free(rs->ask_list, TRUE);
	g_hash_table_destroy(rs->buckets);
	g_hash_table_destroy(rs->by_id);
	ffl_once_finish(&rs->once);
	ffl_ownership_finish(&rs->slot_ownership);
	ffl_link_finish(&rs->link);
	ffl_costs_finish(&rs->costs);
	ffl_heap_finish(&rs->deadlines);
	ffl_fairq_finish(&rs->queue);
	ffl_upstreams_finish(&rs->upstreams);
}

static guint req_hash(gconstpointer p)
{
	return (guint)ffl_mix(((const ffl_req_t *)p)->id, 0);
}

static gboolean req_equal(gconstpointer a, gconstpointer b)
{
	return ((const ffl_req_t *)a)->id == ((const ffl_req_t *)b)->id;
}

ffl_req_t *ffl_requests_find(const ffl_requests_t *rs, uint64_t id)
{
	ffl_req_t probe = { .id = id };

	return g_hash_table_lookup(rs->by_id, &probe);
}

/* A host that was paused does not know which upstreams began to leave during
 * the pause, so it forwards nothing until it gets a new list. */
void ffl_requests_set_time(ffl_requests_t *rs, uint64_t now_ms)
{
	if (rs->now_ms && now_ms - rs->now_ms > PAUSE_MS) {
		rs->list_stale = true;
		rs->resumed_ms = now_ms;
	}
	rs->now_ms = now_ms;
	if (now_ms - rs->resumed_ms > LIST_WAIT_MS)
		rs->list_stale = false;
}

void ffl_requests_on_host_list(ffl_requests_t *rs, const ffl_host_list_t *list,
			       uint64_t now_ms)
{
	ffl_requests_set_time(rs, now_ms);
	if (now_ms - rs->resumed_ms >= LIST_QUEUED_MS)
		rs->list_stale = false;
	ffl_upstreams_on_list(&rs->upstreams, list, &rs->slot_ownership);
}

void ffl_requests_on_config(ffl_requests_t *rs, const ffl_config_t *cfg)
{
	for (guint i = 0; i < rs->upstreams.items->len; i++) {
		ffl_upstream_t *u =
			&g_array_index(rs->upstreams.items, ffl_upstream_t, i);

		u->drained = ffl_config_host_drained(cfg, u->info.name);
	}
}

void ffl_requests_on_log_read(ffl_requests_t *rs, uint64_t sent_ms)
{
	ffl_ownership_on_log_read(&rs->slot_ownership, sent_ms);
	ffl_ownership_on_log_read(&rs->once.ownership, sent_ms);
}

void ffl_requests_on_members(ffl_requests_t *rs, bool first, uint64_t now_ms)
{
	ffl_view_member_t members[FFL_VIEW_MAX];
	uint32_t n = MIN(rs->members->members->len, FFL_VIEW_MAX);
	ffl_view_t view;

	for (uint32_t i = 0; i < n; i++) {
		const ffl_join_t *join =
			&g_array_index(rs->members->members, ffl_member_t, i)
				 .join;

		members[i].member = join->member;
		members[i].region =
			ffl_hash(join->region, strlen(join->region), 0);
	}
	ffl_view_set(&view, members, n, rs->members->changed_offset);
	if (!ffl_ownership_set_view(&rs->slot_ownership, &view, first, now_ms))
		return;
	ffl_ownership_set_view(&rs->once.ownership, &view, first, now_ms);
	ffl_upstreams_assign_slots(&rs->upstreams, &rs->slot_ownership);
	ffl_once_on_view_change(&rs->once);
	rs->next_load_ms = 0;
}

void ffl_requests_on_peer(ffl_requests_t *rs, const ffl_peer_msg_t *msg,
			  uint64_t now_ms, ffl_actions_t *out)
{
	ffl_requests_set_time(rs, now_ms);
	if (msg->head.to != rs->slot_ownership.self)
		return;
	if (msg->head.kind == FFL_PEER_LOAD)
		ffl_load_on_peer(rs, msg, now_ms);
	else
		ffl_keyed_on_peer(rs, msg, now_ms, out);
}

uint32_t ffl_requests_retry_after(ffl_requests_t *rs, uint64_t wait_ms)
{
	uint64_t base = MIN(MAX(wait_ms, RETRY_MS_MIN), RETRY_MS_MAX);
	uint64_t spread = ffl_rng_below(&rs->rng, base * RETRY_SPREAD / 100);

	return (uint32_t)MIN(base + spread, RETRY_MS_MAX);
}

void ffl_requests_remove(ffl_requests_t *rs, ffl_req_t *req)
{
	if (req->queue_item.queued)
		ffl_fairq_remove(&rs->queue, &req->queue_item);
	if (req->deadline_item.position)
		ffl_heap_remove(&rs->deadlines, &req->deadline_item);
	g_hash_table_remove(rs->by_id, req);
}

void ffl_requests_refuse(ffl_requests_t *rs, ffl_req_t *req,
			 const ffl_refusal_t *refusal, ffl_actions_t *out)
{
	ffl_requests_send_refusal(out, req->id, refusal);
	if (req->key_granted)
		ffl_keyed_report_outcome(rs, req,
					 req->may_have_run ? FFL_ONCE_UNKNOWN
							   : FFL_ONCE_FREE,
					 NULL, rs->now_ms, out);
	ffl_requests_remove(rs, req);
}

void ffl_requests_enqueue(ffl_requests_t *rs, ffl_req_t *req, bool retry)
{
	req->state = FFL_REQ_QUEUED;
	if (!req->deadline_item.position)
		ffl_heap_push(&rs->deadlines, &req->deadline_item);
	ffl_fairq_push(&rs->queue, &req->queue_item, req, retry);
}

static void forward_request(ffl_requests_t *rs, ffl_req_t *req,
			    ffl_upstream_t *u, uint64_t now_ms,
			    ffl_actions_t *out)
{
	ffl_action_t *act = ffl_actions_add(out, FFL_ACT_FORWARD);

	ffl_fairq_start_service(&rs->queue, &req->queue_item);
	ffl_heap_remove(&rs->deadlines, &req->deadline_item);
	ffl_upstream_attempt_started(u);
	req->state = FFL_REQ_FORWARDED;
	req->attempt++;
	req->remote = !u->local;
	if (req->remote)
		ffl_link_charge(&rs->link, req->customer, req->body_bytes, 0);
	ffl_copy(req->upstream, sizeof(req->upstream), u->info.name);
	act->forward.id = req->id;
	act->forward.attempt = req->attempt;
	act->forward.timeout_ms = (uint32_t)(req->deadline_ms - now_ms);
	act->forward.keep_answer = req->key_granted;
	ffl_copy(act->forward.upstream, sizeof(act->forward.upstream),
		 u->info.name);
	ffl_copy(act->forward.addr, sizeof(act->forward.addr), u->info.addr);
}

void ffl_requests_on_caller_gone(ffl_requests_t *rs, uint64_t id,
				 ffl_actions_t *out)
{
	ffl_req_t *req = ffl_requests_find(rs, id);

	if (!req || req->state == FFL_REQ_FORWARDED)
		return;
	/* The owner of the key may grant the run after this. */
	if (req->key_granted || req->state == FFL_REQ_AWAITING_GRANT)
		ffl_keyed_report_outcome(rs, req,
					 req->may_have_run ? FFL_ONCE_UNKNOWN
							   : FFL_ONCE_FREE,
					 NULL, rs->now_ms, out);
	ffl_requests_remove(rs, req);
	ffl_actions_add(out, FFL_ACT_FINISH)->finish = id;
}

/* Updates slots, costs, budgets and the link from the end of an attempt. */
static void account_attempt(ffl_requests_t *rs, ffl_req_t *req,
			    const ffl_ev_upstream_done_t *ev, uint64_t now_ms)
{
	ffl_upstream_t *u = ffl_upstreams_find(&rs->upstreams, req->upstream);

	if (u)
		ffl_upstreams_attempt_ended(&rs->upstreams, u, ev, now_ms);
	ffl_fairq_end_service(&rs->queue, &req->queue_item, ev->elapsed_ms);
	if (req->remote)
		ffl_link_charge(&rs->link, req->customer, 0,
				ev->received_bytes);
	if (ev->outcome == FFL_UP_OK) {
		ffl_retry_budget_earn(&rs->retry_budget);
		ffl_costs_learn(&rs->costs, req->cost_key, ev->elapsed_ms);
	}
	if (ev->outcome != FFL_UP_NOT_SENT && ev->outcome != FFL_UP_REFUSED)
		req->may_have_run = true;
}

static void finish_request(ffl_requests_t *rs, ffl_req_t *req,
			   const ffl_ev_upstream_done_t *ev, uint64_t now_ms,
			   ffl_actions_t *out)
{
	ffl_once_state_t state =
		ev->outcome == FFL_UP_OK ? FFL_ONCE_ANSWERED : FFL_ONCE_UNKNOWN;

	if (req->key_granted)
		ffl_keyed_report_outcome(rs, req, state, ev, now_ms, out);
	ffl_actions_add(out, FFL_ACT_FINISH)->finish = req->id;
	ffl_requests_remove(rs, req);
}

void ffl_requests_on_upstream_done(ffl_requests_t *rs,
				   const ffl_ev_upstream_done_t *ev,
				   uint64_t now_ms, ffl_actions_t *out)
{
	ffl_req_t *req = ffl_requests_find(rs, ev->id);
	bool not_run =
		ev->outcome == FFL_UP_NOT_SENT || ev->outcome == FFL_UP_REFUSED;
	ffl_refusal_t r = { 502, "upstream-failed",
			    ffl_up_outcome_name(ev->outcome), FFL_RAN_UNKNOWN,
			    0 };

	ffl_requests_set_time(rs, now_ms);
	if (!req || req->state != FFL_REQ_FORWARDED ||
	    ev->attempt != req->attempt)
		return;
	account_attempt(rs, req, ev, now_ms);
	if (ev->outcome == FFL_UP_OK || ev->outcome == FFL_UP_CANCELLED ||
	    ev->relayed) {
		finish_request(rs, req, ev, now_ms, out);
		return;
	}
	if ((not_run || req->repeatable) &&
	    req->attempt < rs->limits.attempts_max &&
	    now_ms < req->deadline_ms &&
	    rs->limits.policy->may_retry(rs, ev->outcome)) {
		ffl_requests_enqueue(rs, req, true);
		return;
	}
	if (!req->may_have_run) {
		r.http_status = 503;
		r.ran = FFL_RAN_NO;
		r.retry_after_ms = ffl_requests_retry_after(rs, 0);
	}
	ffl_requests_refuse(rs, req, &r, out);
}

static void refuse_expired(ffl_requests_t *rs, uint64_t now_ms,
			   ffl_actions_t *out)
{
	ffl_req_t *req;

	while ((req = ffl_heap_top(&rs->deadlines)) &&
	       now_ms >= req->deadline_ms) {
		ffl_refusal_t r = {
			503, "too-late",
			"the deadline passed while the request was queued",
			FFL_RAN_NO, 0
		};

		if (req->state == FFL_REQ_AWAITING_GRANT) {
			r.type = "outcome-unknown";
			r.detail = "the owner of the idempotency key did not "
				   "answer before the deadline";
			r.ran = FFL_RAN_UNKNOWN;
			req->key_granted = true;
		}
		if (req->may_have_run)
			r.ran = FFL_RAN_UNKNOWN;
		r.retry_after_ms = ffl_requests_retry_after(rs, 0);
		ffl_requests_refuse(rs, req, &r, out);
	}
}

static void update_shared_state(ffl_requests_t *rs, uint64_t now_ms)
{
	if (ffl_ownership_try_acquire(&rs->slot_ownership, now_ms))
		ffl_upstreams_assign_slots(&rs->upstreams, &rs->slot_ownership);
	ffl_ownership_try_acquire(&rs->once.ownership, now_ms);
	ffl_once_expire(&rs->once, now_ms);
	if (rs->stopping && !g_hash_table_size(rs->by_id))
		ffl_once_start_leave(&rs->once);
}

void ffl_requests_run(ffl_requests_t *rs, uint64_t now_ms, ffl_actions_t *out)
{
	ffl_upstream_t *u;
	ffl_req_t *req;
	uint32_t slots;

	ffl_requests_set_time(rs, now_ms);
	update_shared_state(rs, now_ms);
	ffl_load_send_due(rs, now_ms, out);
	ffl_keyed_repeat_asks(rs, now_ms, out);
	refuse_expired(rs, now_ms, out);
	if (rs->list_stale || !ffl_ownership_valid(&rs->slot_ownership, now_ms))
		return;
	slots = rs->limits.policy->nested_bounds
			? ffl_upstreams_usable_slots(&rs->upstreams, now_ms)
			: UINT32_MAX / 128;
	while ((req = ffl_fairq_peek(&rs->queue, slots))) {
		u = rs->limits.policy->choose_upstream(rs, req, now_ms);
		if (!u)
			return;
		forward_request(rs, req, u, now_ms, out);
	}
}

void ffl_requests_stop(ffl_requests_t *rs)
{
	rs->stopping = true;
}

bool ffl_requests_idle(const ffl_requests_t *rs)
{
	if (g_hash_table_size(rs->by_id))
		return false;
	return !rs->stopping || !rs->once.handing_over ||
	       ffl_once_handovers_complete(&rs->once);
}
