#include <string.h>

#include "lib/request/request_int.h"

/** An owner that has not answered within this time is asked again. */
#define ASK_AGAIN_MS 300
/** Interval of checks for owners that have not answered. */
#define ASK_CHECK_MS 50
/** An outcome is forwarded this often at most, if views of the owner differ. */
#define HOPS_MAX 3
/** Retry-After while a request runs or the table of keys is full. */
#define KEY_RETRY_MS 1000

/** Handles a verdict of an owner. */
typedef void (*verdict_fn_t)(ffl_requests_t *rs, ffl_req_t *req,
			     const ffl_once_tell_t *reply, ffl_actions_t *out);

static void on_run(ffl_requests_t *rs, ffl_req_t *req,
		   const ffl_once_tell_t *reply, ffl_actions_t *out);
static void on_answer(ffl_requests_t *rs, ffl_req_t *req,
		      const ffl_once_tell_t *reply, ffl_actions_t *out);
static void on_refusal(ffl_requests_t *rs, ffl_req_t *req,
		       const ffl_once_tell_t *reply, ffl_actions_t *out);
static void on_wait(ffl_requests_t *rs, ffl_req_t *req,
		    const ffl_once_tell_t *reply, ffl_actions_t *out);
static ffl_once_tell_t decide_ask(ffl_requests_t *rs, uint64_t origin,
				  const ffl_once_ask_t *ask, uint64_t now_ms);
static void handle_verdict(ffl_requests_t *rs, uint64_t from,
			   const ffl_once_tell_t *reply, ffl_actions_t *out);
static void handle_outcome(ffl_requests_t *rs, const ffl_once_done_t *done,
			   uint64_t now_ms, ffl_actions_t *out);
static void handle_handover(ffl_requests_t *rs, const ffl_peer_msg_t *msg,
			    uint64_t now_ms, ffl_actions_t *out);

static const verdict_fn_t verdict_fns[FFL_ONCE_VERDICT__MAX] = {
	[FFL_ONCE_VERDICT_RUN] = on_run,
	[FFL_ONCE_VERDICT_RUNNING] = on_refusal,
	[FFL_ONCE_VERDICT_ANSWER] = on_answer,
	[FFL_ONCE_VERDICT_DONE] = on_refusal,
	[FFL_ONCE_VERDICT_UNKNOWN] = on_refusal,
	[FFL_ONCE_VERDICT_MISMATCH] = on_refusal,
	[FFL_ONCE_VERDICT_FULL] = on_refusal,
	[FFL_ONCE_VERDICT_WAIT] = on_wait,
};

static const ffl_refusal_t refusals[FFL_ONCE_VERDICT__MAX] = {
	[FFL_ONCE_VERDICT_RUNNING] = { 409, "in-progress",
				       "a request with this idempotency key is "
				       "running",
				       FFL_RAN_UNKNOWN, KEY_RETRY_MS },
	[FFL_ONCE_VERDICT_DONE] = { 409, "answer-not-kept",
				    "a request with this idempotency key "
				    "has run; its answer is not stored",
				    FFL_RAN_YES, 0 },
	[FFL_ONCE_VERDICT_UNKNOWN] = { 409, "outcome-unknown",
				       "a request with this idempotency key "
				       "may have run",
				       FFL_RAN_UNKNOWN, 0 },
	[FFL_ONCE_VERDICT_MISMATCH] = { 422, "key-reused",
					"the idempotency key was used for "
					"another request",
					FFL_RAN_NO, 0 },
	[FFL_ONCE_VERDICT_FULL] = { 503, "keys-full",
				    "too many idempotency keys are stored",
				    FFL_RAN_NO, KEY_RETRY_MS },
};

static void on_run(ffl_requests_t *rs, ffl_req_t *req,
		   const ffl_once_tell_t *reply, ffl_actions_t *out)
{
	req->key_granted = true;
	ffl_requests_enqueue(rs, req, false);
}

static void on_answer(ffl_requests_t *rs, ffl_req_t *req,
		      const ffl_once_tell_t *reply, ffl_actions_t *out)
{
	ffl_action_t *act = ffl_actions_add(out, FFL_ACT_ANSWER);

	act->answer.id = req->id;
	act->answer.http_status = reply->http_status;
	act->answer.content_type =
		ffl_actions_copy_text(out, reply->content_type);
	act->answer.body.data = ffl_arena_copy(&out->arena, reply->answer.data,
					       reply->answer.size_bytes);
	act->answer.body.size_bytes = reply->answer.size_bytes;
	ffl_requests_remove(rs, req);
}

static void on_refusal(ffl_requests_t *rs, ffl_req_t *req,
		       const ffl_once_tell_t *reply, ffl_actions_t *out)
{
	ffl_requests_refuse(rs, req, &refusals[reply->verdict], out);
}

static void on_wait(ffl_requests_t *rs, ffl_req_t *req,
		    const ffl_once_tell_t *reply, ffl_actions_t *out)
{
}

/* Builds the owner's answer; its body points into the table of keys. */
static ffl_once_tell_t decide_ask(ffl_requests_t *rs, uint64_t origin,
				  const ffl_once_ask_t *ask, uint64_t now_ms)
{
	const ffl_once_entry_t *e = NULL;
	ffl_once_tell_t reply = { .request = ask->request };

	reply.verdict = ffl_once_decide(&rs->once, origin, ask, now_ms, &e);
	if (reply.verdict != FFL_ONCE_VERDICT_ANSWER)
		return reply;
	reply.http_status = e->http_status;
	reply.answer.data = e->answer;
	reply.answer.size_bytes = e->answer_bytes;
	ffl_copy(reply.content_type, sizeof(reply.content_type),
		 e->content_type);
	return reply;
}

void ffl_keyed_ask_owner(ffl_requests_t *rs, ffl_req_t *req, uint64_t now_ms,
			 ffl_actions_t *out)
{
	uint64_t owner = ffl_once_owner(&rs->once, req->key);
	ffl_peer_msg_t msg = { .once_ask = { .request = req->id } };
	ffl_once_ask_t *ask = &msg.once_ask;
	ffl_once_tell_t reply;

	req->asked_ms = now_ms;
	ask->key_a = req->key.a;
	ask->key_b = req->key.b;
	ask->payload_hash = req->payload_hash;
	ask->view = rs->once.ownership.view.hash;
	ask->timeout_ms = (uint32_t)(req->deadline_ms - now_ms);
	if (owner != rs->slot_ownership.self) {
		ffl_requests_send_peer(rs, &msg, FFL_PEER_ONCE_ASK, owner, out);
		return;
	}
	reply = decide_ask(rs, owner, ask, now_ms);
	handle_verdict(rs, owner, &reply, out);
}

void ffl_keyed_repeat_asks(ffl_requests_t *rs, uint64_t now_ms,
			   ffl_actions_t *out)
{
	const GPtrArray *waiting = rs->deadlines.items;

	if (now_ms < rs->next_ask_ms)
		return;
	rs->next_ask_ms = now_ms + ASK_CHECK_MS;
	for (guint i = waiting->len; i-- > 0;) {
		const ffl_heap_item_t *item = g_ptr_array_index(waiting, i);
		ffl_req_t *req = item->owner;

		if (req->state == FFL_REQ_AWAITING_GRANT &&
		    now_ms - req->asked_ms >= ASK_AGAIN_MS &&
		    now_ms < req->deadline_ms)
			g_ptr_array_add(rs->ask_list, req);
	}
	for (guint i = 0; i < rs->ask_list->len; i++)
		ffl_keyed_ask_owner(rs, g_ptr_array_index(rs->ask_list, i),
				    now_ms, out);
	g_ptr_array_set_size(rs->ask_list, 0);
}

void ffl_keyed_report_outcome(ffl_requests_t *rs, const ffl_req_t *req,
			      ffl_once_state_t state,
			      const ffl_ev_upstream_done_t *done,
			      uint64_t now_ms, ffl_actions_t *out)
{
	ffl_peer_msg_t msg = { .once_done = { .hops = 0 } };
	ffl_once_row_t *row = &msg.once_done.row;

	row->key_a = req->key.a;
	row->key_b = req->key.b;
	row->payload_hash = req->payload_hash;
	row->origin = rs->slot_ownership.self;
	row->request = req->id;
	row->age_ms = (uint32_t)(now_ms - req->queued_ms);
	row->state = state;
	if (state == FFL_ONCE_ANSWERED &&
	    done->answer.size_bytes <= FFL_ANSWER_BYTES_MAX) {
		row->http_status = done->http_status;
		row->answer = done->answer;
		ffl_copy(row->content_type, sizeof(row->content_type),
			 done->content_type ? done->content_type : "");
	} else if (state == FFL_ONCE_ANSWERED) {
		row->state = FFL_ONCE_DONE;
	}
	handle_outcome(rs, &msg.once_done, now_ms, out);
}

static void handle_verdict(ffl_requests_t *rs, uint64_t from,
			   const ffl_once_tell_t *reply, ffl_actions_t *out)
{
	ffl_req_t *req = ffl_requests_find(rs, reply->request);

	if (!req || req->state != FFL_REQ_AWAITING_GRANT ||
	    reply->verdict >= FFL_ONCE_VERDICT__MAX)
		return;
	verdict_fns[reply->verdict](rs, req, reply, out);
}

/* Records an outcome if this host owns the key or the outcome was sent to it;
 * forwards it if another host owns the key. */
static void handle_outcome(ffl_requests_t *rs, const ffl_once_done_t *done,
			   uint64_t now_ms, ffl_actions_t *out)
{
	ffl_key_id_t id = { done->row.key_a, done->row.key_b };
	uint64_t owner = ffl_once_owner(&rs->once, id);
	ffl_peer_msg_t msg = { .once_done = *done };

	if (owner == rs->slot_ownership.self || done->hops)
		ffl_once_record_outcome(&rs->once, &done->row, now_ms);
	if (owner == rs->slot_ownership.self || done->hops >= HOPS_MAX)
		return;
	msg.once_done.hops++;
	ffl_requests_send_peer(rs, &msg, FFL_PEER_ONCE_DONE, owner, out);
}

static void handle_handover(ffl_requests_t *rs, const ffl_peer_msg_t *msg,
			    uint64_t now_ms, ffl_actions_t *out)
{
	ffl_peer_msg_t answer = { .handover = { .ack = true } };

	if (msg->handover.ack) {
		ffl_once_on_handover_ack(&rs->once, msg->head.from,
					 &msg->handover);
		return;
	}
	ffl_once_on_handover(&rs->once, &msg->handover, now_ms,
			     &answer.handover);
	ffl_requests_send_peer(rs, &answer, FFL_PEER_HANDOVER, msg->head.from,
			       out);
}

void ffl_keyed_on_peer(ffl_requests_t *rs, const ffl_peer_msg_t *msg,
		       uint64_t now_ms, ffl_actions_t *out)
{
	ffl_peer_msg_t answer = { .once_tell = { .request = 0 } };

	switch (msg->head.kind) {
	case FFL_PEER_ONCE_ASK:
		answer.once_tell =
			decide_ask(rs, msg->head.from, &msg->once_ask, now_ms);
		ffl_requests_send_peer(rs, &answer, FFL_PEER_ONCE_TELL,
				       msg->head.from, out);
		break;
	case FFL_PEER_ONCE_TELL:
		handle_verdict(rs, msg->head.from, &msg->once_tell, out);
		break;
	case FFL_PEER_ONCE_DONE:
		handle_outcome(rs, &msg->once_done, now_ms, out);
		break;
	case FFL_PEER_HANDOVER:
		handle_handover(rs, msg, now_ms, out);
		break;
	default:
		break;
	}
}
