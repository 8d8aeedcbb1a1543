#include <string.h>

#include "lib/request/request_int.h"

/** Time after which a home that did not answer is asked again. */
#define ASK_AGAIN_MS	     300
#define ASK_EVERY_MS	     50
#define HOPS_MAX	     3
#define IN_PROGRESS_RETRY_MS 1000

/** Acts on a home's word. */
typedef void (*verdict_fn_t)(ffl_requests_t *rs, ffl_req_t *req,
			     const ffl_once_tell_t *tell, ffl_actions_t *out);

static void say_run(ffl_requests_t *rs, ffl_req_t *req,
		    const ffl_once_tell_t *tell, ffl_actions_t *out);
static void say_answer(ffl_requests_t *rs, ffl_req_t *req,
		       const ffl_once_tell_t *tell, ffl_actions_t *out);
static void say_refusal(ffl_requests_t *rs, ffl_req_t *req,
			const ffl_once_tell_t *tell, ffl_actions_t *out);
static void say_wait(ffl_requests_t *rs, ffl_req_t *req,
		     const ffl_once_tell_t *tell, ffl_actions_t *out);
static ffl_once_tell_t decide(ffl_requests_t *rs, uint64_t origin,
			      const ffl_once_ask_t *ask, uint64_t now_ms);
static void take_tell(ffl_requests_t *rs, uint64_t from,
		      const ffl_once_tell_t *tell, ffl_actions_t *out);
static void take_done(ffl_requests_t *rs, const ffl_once_done_t *done,
		      uint64_t now_ms, ffl_actions_t *out);
static void take_handover(ffl_requests_t *rs, const ffl_peer_msg_t *msg,
			  uint64_t now_ms, ffl_actions_t *out);

static const verdict_fn_t verdict_fns[FFL_ONCE_VERDICT__MAX] = {
	[FFL_ONCE_VERDICT_RUN] = say_run,
	[FFL_ONCE_VERDICT_RUNNING] = say_refusal,
	[FFL_ONCE_VERDICT_ANSWER] = say_answer,
	[FFL_ONCE_VERDICT_DONE] = say_refusal,
	[FFL_ONCE_VERDICT_UNKNOWN] = say_refusal,
	[FFL_ONCE_VERDICT_MISMATCH] = say_refusal,
	[FFL_ONCE_VERDICT_FULL] = say_refusal,
	[FFL_ONCE_VERDICT_WAIT] = say_wait,
};

static const ffl_refusal_t refusals[FFL_ONCE_VERDICT__MAX] = {
	[FFL_ONCE_VERDICT_RUNNING] = { 409, "in-progress",
				       "a request with this key is running",
				       FFL_RAN_UNKNOWN, IN_PROGRESS_RETRY_MS },
	[FFL_ONCE_VERDICT_DONE] = { 409, "answer-not-kept",
				    "a request with this key has run; its "
				    "answer "
				    "is no longer kept",
				    FFL_RAN_YES, 0 },
	[FFL_ONCE_VERDICT_UNKNOWN] = { 409, "outcome-unknown",
				       "a request with this key may have run",
				       FFL_RAN_UNKNOWN, 0 },
	[FFL_ONCE_VERDICT_MISMATCH] = { 422, "key-reused",
					"the key belongs to another request",
					FFL_RAN_NO, 0 },
	[FFL_ONCE_VERDICT_FULL] = { 503, "keys-full",
				    "no room for one more key", FFL_RAN_NO,
				    IN_PROGRESS_RETRY_MS },
};

static void say_run(ffl_requests_t *rs, ffl_req_t *req,
		    const ffl_once_tell_t *tell, ffl_actions_t *out)
{
	req->key_granted = true;
	ffl_requests_queue(rs, req, false);
}

static void say_answer(ffl_requests_t *rs, ffl_req_t *req,
		       const ffl_once_tell_t *tell, ffl_actions_t *out)
{
	ffl_action_t *act = ffl_actions_add(out, FFL_ACT_ANSWER);

	act->answer.id = req->id;
	act->answer.http_status = tell->http_status;
	act->answer.content_type = ffl_actions_text(out, tell->content_type);
	act->answer.body.data = ffl_arena_copy(&out->arena, tell->answer.data,
					       tell->answer.size_bytes);
	act->answer.body.size_bytes = tell->answer.size_bytes;
	ffl_requests_drop(rs, req);
}

static void say_refusal(ffl_requests_t *rs, ffl_req_t *req,
			const ffl_once_tell_t *tell, ffl_actions_t *out)
{
	ffl_requests_refuse(rs, req, &refusals[tell->verdict], out);
}

static void say_wait(ffl_requests_t *rs, ffl_req_t *req,
		     const ffl_once_tell_t *tell, ffl_actions_t *out)
{
}

/* Fills the home's answer; its bytes belong to the table of keys. */
static ffl_once_tell_t decide(ffl_requests_t *rs, uint64_t origin,
			      const ffl_once_ask_t *ask, uint64_t now_ms)
{
	const ffl_once_entry_t *e = NULL;
	ffl_once_tell_t tell = { .request = ask->request };

	tell.verdict = ffl_once_decide(&rs->once, origin, ask, now_ms, &e);
	if (tell.verdict != FFL_ONCE_VERDICT_ANSWER)
		return tell;
	tell.http_status = e->http_status;
	tell.answer.data = e->answer;
	tell.answer.size_bytes = e->answer_bytes;
	ffl_copy(tell.content_type, sizeof(tell.content_type), e->content_type);
	return tell;
}

void ffl_keyed_ask(ffl_requests_t *rs, ffl_req_t *req, uint64_t now_ms,
		   ffl_actions_t *out)
{
	uint64_t home = ffl_once_owner(&rs->once, req->key);
	ffl_peer_msg_t msg = { .once_ask = { .request = req->id } };
	ffl_once_ask_t *ask = &msg.once_ask;
	ffl_once_tell_t tell;

	req->asked_ms = now_ms;
	ask->key_a = req->key.a;
	ask->key_b = req->key.b;
	ask->payload_hash = req->payload_hash;
	ask->view = rs->once.ownership.view.hash;
	ask->timeout_ms = (uint32_t)(req->deadline_ms - now_ms);
	if (home != rs->slot_ownership.self) {
		ffl_requests_post(rs, &msg, FFL_PEER_ONCE_ASK, home, out);
		return;
	}
	tell = decide(rs, home, ask, now_ms);
	take_tell(rs, home, &tell, out);
}

void ffl_keyed_run(ffl_requests_t *rs, uint64_t now_ms, ffl_actions_t *out)
{
	const GPtrArray *due = rs->deadlines.items;

	if (now_ms < rs->next_ask_ms)
		return;
	rs->next_ask_ms = now_ms + ASK_EVERY_MS;
	for (guint i = due->len; i-- > 0;) {
		const ffl_heap_item_t *item = g_ptr_array_index(due, i);
		ffl_req_t *req = item->owner;

		if (req->state == FFL_REQ_AWAITING_GRANT &&
		    now_ms - req->asked_ms >= ASK_AGAIN_MS &&
		    now_ms < req->deadline_ms)
			g_ptr_array_add(rs->ask_list, req);
	}
	for (guint i = 0; i < rs->ask_list->len; i++)
		ffl_keyed_ask(rs, g_ptr_array_index(rs->ask_list, i), now_ms,
			      out);
	g_ptr_array_set_size(rs->ask_list, 0);
}

void ffl_keyed_end(ffl_requests_t *rs, const ffl_req_t *req,
		   ffl_once_state_t state, const ffl_ev_upstream_done_t *done,
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
	take_done(rs, &msg.once_done, now_ms, out);
}

static void take_tell(ffl_requests_t *rs, uint64_t from,
		      const ffl_once_tell_t *tell, ffl_actions_t *out)
{
	ffl_req_t *req = ffl_requests_find(rs, tell->request);

	if (!req || req->state != FFL_REQ_AWAITING_GRANT ||
	    tell->verdict >= FFL_ONCE_VERDICT__MAX)
		return;
	verdict_fns[tell->verdict](rs, req, tell, out);
}

/* Keeps an outcome that is this host's to keep, and passes others on. */
static void take_done(ffl_requests_t *rs, const ffl_once_done_t *done,
		      uint64_t now_ms, ffl_actions_t *out)
{
	ffl_key_id_t id = { done->row.key_a, done->row.key_b };
	uint64_t home = ffl_once_owner(&rs->once, id);
	ffl_peer_msg_t msg = { .once_done = *done };

	if (home == rs->slot_ownership.self || done->hops)
		ffl_once_record_outcome(&rs->once, &done->row, now_ms);
	if (home == rs->slot_ownership.self || done->hops >= HOPS_MAX)
		return;
	msg.once_done.hops++;
	ffl_requests_post(rs, &msg, FFL_PEER_ONCE_DONE, home, out);
}

static void take_handover(ffl_requests_t *rs, const ffl_peer_msg_t *msg,
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
	ffl_requests_post(rs, &answer, FFL_PEER_HANDOVER, msg->head.from, out);
}

void ffl_keyed_on_peer(ffl_requests_t *rs, const ffl_peer_msg_t *msg,
		       uint64_t now_ms, ffl_actions_t *out)
{
	ffl_peer_msg_t answer = { .once_tell = { .request = 0 } };

	switch (msg->head.kind) {
	case FFL_PEER_ONCE_ASK:
		answer.once_tell =
			decide(rs, msg->head.from, &msg->once_ask, now_ms);
		ffl_requests_post(rs, &answer, FFL_PEER_ONCE_TELL,
				  msg->head.from, out);
		break;
	case FFL_PEER_ONCE_TELL:
		take_tell(rs, msg->head.from, &msg->once_tell, out);
		break;
	case FFL_PEER_ONCE_DONE:
		take_done(rs, &msg->once_done, now_ms, out);
		break;
	case FFL_PEER_HANDOVER:
		take_handover(rs, msg, now_ms, out);
		break;
	default:
		break;
	}
}
