/**
 * @file advice_call.c
 * @brief Calls to the adviser: when one is made, and what its answer tells.
 */
#include <string.h>

#include "lib/dispatch/dispatch_int.h"

/** A call is late after this many times the time in which its answer is
 * expected, and a time for the way to the adviser and back. That doubles with
 * each late call: if none was lost, the adviser still has them to do. */
#define LATE_FACTOR	   2
#define LATE_SLACK_MS	   1000
#define LATE_DOUBLINGS_MAX 16
/** An answer is waited for at least this long, and for at least this many times
 * the time in which it is expected: the adviser goes on with a call that is
 * given up. */
#define WAIT_MIN_MS 600000
#define WAIT_FACTOR 8
/** Time before a failed call is repeated, doubled for each further failure. */
#define RETRY_MS	    250
#define RETRY_DOUBLINGS_MAX 3

static ffl_advice_call_t *newest_call(const ffl_advice_t *a);
static uint32_t count_undone(const ffl_advice_t *a);
static bool mark_overtaken(ffl_advice_t *a, guint before);
static void refund(ffl_advice_call_t *call);
static void mark_late(ffl_dispatch_t *d, ffl_advice_call_t *call,
		      uint64_t now_ms);
static uint64_t wait_ms(const ffl_advice_call_t *call);
static ffl_advice_call_t *take_next_call(ffl_advice_t *a);
static void learn(ffl_advice_t *a, ffl_advice_call_t *call, uint64_t now_ms);

void ffl_advice_call_free(void *data)
{
	ffl_advice_call_t *call = data;

	g_ptr_array_free(call->workers, TRUE);
	g_array_free(call->born_ms, TRUE);
	g_free(call);
}

void ffl_advice_init(ffl_advice_t *a)
{
	memset(a, 0, sizeof(*a));
	a->steps = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 (GDestroyNotify)g_hash_table_destroy);
	a->queues =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	a->calls = g_ptr_array_new_with_free_func(ffl_advice_call_free);
	a->pending = g_ptr_array_new_with_free_func(ffl_advice_call_free);
}

void ffl_advice_finish(ffl_advice_t *a)
{
	g_hash_table_destroy(a->steps);
	g_ptr_array_free(a->calls, TRUE);
	g_ptr_array_free(a->pending, TRUE);
	g_hash_table_destroy(a->queues);
}

/* The adviser goes on with open calls, and its response times are the same. */
void ffl_advice_reset(ffl_advice_t *a)
{
	g_hash_table_remove_all(a->steps);
	g_ptr_array_set_size(a->pending, 0);
	for (guint i = 0; i < a->calls->len; i++) {
		ffl_advice_call_t *call = g_ptr_array_index(a->calls, i);

		call->step[0] = '\0';
	}
	a->retry_ms = 0;
	a->failures = 0;
}

/* Returns the newest call that the adviser may still have to do, or NULL. */
static ffl_advice_call_t *newest_call(const ffl_advice_t *a)
{
	return count_undone(a) ? g_ptr_array_index(a->calls, a->calls->len - 1)
			       : NULL;
}

/* Returns the number of calls that the adviser may still have to do. */
static uint32_t count_undone(const ffl_advice_t *a)
{
	uint32_t undone = 0;

	for (guint i = 0; i < a->calls->len; i++) {
		const ffl_advice_call_t *call = g_ptr_array_index(a->calls, i);

		undone += !call->overtaken;
	}
	return undone;
}

/* The adviser takes calls in turn: those before one that is answered are done,
 * and their answers lost, or about to arrive. Returns true if there are any. */
static bool mark_overtaken(ffl_advice_t *a, guint before)
{
	bool any = false;

	for (guint i = 0; i < before; i++) {
		ffl_advice_call_t *call = g_ptr_array_index(a->calls, i);

		any |= !call->overtaken;
		call->overtaken = true;
	}
	return any;
}

/* Learns from a call that the adviser has spent all time on since it was sent,
 * or since the answer before; its queue is charged what it took. */
static void learn(ffl_advice_t *a, ffl_advice_call_t *call, uint64_t now_ms)
{
	uint64_t took_ms = now_ms - MAX(call->sent_ms, a->answered_ms);

	ffl_adviser_learn(call->adviser, call->workers->len, took_ms);
	call->adviser->turn_ms += MAX(took_ms, call->cost_ms) - call->cost_ms;
	call->cost_ms = MAX(took_ms, call->cost_ms);
}

/* A call that the adviser has not taken costs its queue nothing. */
static void refund(ffl_advice_call_t *call)
{
	call->adviser->turn_ms -= MIN(call->adviser->turn_ms, call->cost_ms);
}

/* A call that is late was lost, or the adviser is slower than expected. */
static void mark_late(ffl_dispatch_t *d, ffl_advice_call_t *call,
		      uint64_t now_ms)
{
	ffl_advice_t *a = &d->advice;

	call->late = true;
	call->adviser->doubted = true;
	a->busy_until_ms = now_ms;
	ffl_dispatch_note(d, "advice-late", call->step[0] ? call->step : "-",
			  "asked=%u after_ms=%" PRIu64 " expected_ms=%" PRIu64
			  " open=%u",
			  call->workers->len, now_ms - call->sent_ms,
			  call->due_ms - call->sent_ms, a->calls->len);
}

void ffl_advice_begin(ffl_dispatch_t *d, uint64_t now_ms)
{
	ffl_advice_t *a = &d->advice;
	ffl_advice_call_t *newest = newest_call(a);

	g_ptr_array_set_size(a->pending, 0);
	if (newest && !newest->late && now_ms >= newest->late_ms)
		mark_late(d, newest, now_ms);
	a->may_call = d->opt.adviser_addr[0] && now_ms >= a->retry_ms &&
		      (!newest || newest->late);
}

/* Returns how long an answer is waited for. */
static uint64_t wait_ms(const ffl_advice_call_t *call)
{
	uint64_t ms = WAIT_FACTOR * (call->due_ms - call->sent_ms);

	return CLAMP(ms, WAIT_MIN_MS, UINT32_MAX);
}

/* Takes the call whose queue has had the least of the adviser's time: a slow
 * queue delays others by a call at a time, and one that was idle has saved up
 * nothing. Of equal ones the one that ranks first. */
static ffl_advice_call_t *take_next_call(ffl_advice_t *a)
{
	ffl_advice_call_t *call;
	uint64_t least_ms = UINT64_MAX;
	guint next = 0;

	for (guint i = 0; i < a->pending->len; i++) {
		uint64_t turn_ms;

		call = g_ptr_array_index(a->pending, i);
		turn_ms = MAX(a->turn_ms, call->adviser->turn_ms);
		if (turn_ms < least_ms) {
			least_ms = turn_ms;
			next = i;
		}
	}
	call = g_ptr_array_steal_index(a->pending, next);
	call->ask.others_wait = a->pending->len > 0;
	g_ptr_array_set_size(a->pending, 0);
	a->turn_ms = least_ms;
	return call;
}

void ffl_advice_send(ffl_dispatch_t *d, GArray *orders, uint64_t now_ms)
{
	ffl_advice_t *a = &d->advice;
	ffl_order_t order = { .kind = FFL_ORDER_ADVISE };
	ffl_advice_call_t *call;
	uint32_t width;

	if (!a->pending->len)
		return;
	call = take_next_call(a);
	a->may_call = false;
	call->ask.probes = count_undone(a) > 0;
	width = ffl_adviser_width(call->adviser, &call->ask);
	g_ptr_array_set_size(call->workers, MIN(call->workers->len, width));
	call->number = order.call = ++d->next_call;
	call->sent_ms = now_ms;
	call->cost_ms = ffl_adviser_cost_ms(call->adviser, call->workers->len);
	call->adviser->turn_ms = a->turn_ms + call->cost_ms;
	call->due_ms = MAX(now_ms, a->busy_until_ms) + call->cost_ms;
	call->late_ms = now_ms + LATE_FACTOR * (call->due_ms - now_ms) +
			((uint64_t)LATE_SLACK_MS
			 << MIN(count_undone(a), LATE_DOUBLINGS_MAX));
	a->busy_until_ms = call->due_ms;
	order.timeout_ms = (uint32_t)wait_ms(call);
	order.asked_workers = call->workers;
	ffl_copy(order.task, sizeof(order.task), call->step);
	ffl_copy(order.addr, sizeof(order.addr), d->opt.adviser_addr);
	g_array_append_val(orders, order);
	g_ptr_array_add(a->calls, call);
	ffl_dispatch_note(d, "advice-asked", call->step,
			  "workers=%u need=%u known=%u expected_ms=%" PRIu64
			  " doubted=%d open=%u",
			  call->workers->len, call->ask.need, call->ask.asked,
			  call->due_ms - now_ms, call->adviser->doubted,
			  a->calls->len);
}

bool ffl_advice_handle_reply(ffl_dispatch_t *d, const ffl_reply_t *reply,
			     uint64_t now_ms)
{
	ffl_advice_t *a = &d->advice;
	bool ok = reply->outcome == FFL_REPLY_OK;
	ffl_advice_call_t *call = NULL;
	guint i;

	for (i = 0; i < a->calls->len; i++) {
		call = g_ptr_array_index(a->calls, i);
		if (call->number == reply->call)
			break;
	}
	if (i == a->calls->len)
		return false;
	ffl_dispatch_note(d, "advice-taken", call->step[0] ? call->step : "-",
			  "outcome=%s asked=%u allowed=%u valid_ms=%u "
			  "after_ms=%" PRIu64 " expected_ms=%" PRIu64,
			  ffl_reply_outcome_name(reply->outcome),
			  call->workers->len, reply->tickets_count,
			  reply->valid_ms, now_ms - call->sent_ms,
			  call->due_ms - call->sent_ms);
	/* Behind a call without an answer its time is not known. */
	if (ok && !mark_overtaken(a, i))
		learn(a, call, now_ms);
	if (reply->outcome == FFL_REPLY_UNHEALTHY ||
	    reply->outcome == FFL_REPLY_NOT_SENT)
		refund(call);
	if (ok && call->step[0]) {
		ffl_advice_store(d, call, reply, now_ms);
		d->replan = true;
	}
	a->retry_ms = ok ? 0
			 : now_ms + (RETRY_MS
				     << MIN(a->failures, RETRY_DOUBLINGS_MAX));
	a->failures = ok ? 0 : a->failures + 1;
	if (ok)
		a->answered_ms = now_ms;
	g_ptr_array_remove_index(a->calls, i);
	if (!count_undone(a) && reply->outcome != FFL_REPLY_UNKNOWN)
		a->busy_until_ms = now_ms;
	return true;
}

void ffl_advice_drop_flow(ffl_dispatch_t *d, const ffl_flow_t *flow)
{
	ffl_advice_t *a = &d->advice;
	char step[FFL_TASK_NAME_BYTES];

	/* Its queue may have asked for tickets before. */
	if (!g_hash_table_size(a->steps) && !a->calls->len)
		return;
	for (uint32_t k = 0; k < flow->spec.occurrences; k++) {
		for (uint32_t s = 0; s < flow->spec.steps_count; s++) {
			ffl_advice_step_name(flow, k, s, step);
			g_hash_table_remove(a->steps, step);
			for (guint i = 0; i < a->calls->len; i++) {
				ffl_advice_call_t *call =
					g_ptr_array_index(a->calls, i);

				if (strcmp(call->step, step) == 0)
					call->step[0] = '\0';
			}
		}
	}
}
