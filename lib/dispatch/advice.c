/**
 * @file advice.c
 * @brief What the adviser has said of workers, and its tickets.
 */
#include <string.h>

#include "lib/dispatch/dispatch_int.h"

/** A ticket is not used in the last part of its validity: the start order has
 * to be recorded and to reach the worker before it expires. */
#define TICKET_MARGIN_MS 500
/** That part is no larger than this share of the validity. */
#define TICKET_MARGIN_PERCENT 50

static void mark_denied(GHashTable *known, const ffl_advice_call_t *call);
static uint32_t margin_ms(uint32_t valid_ms);

void ffl_advice_step_name(const ffl_flow_t *flow, uint32_t occurrence,
			  uint32_t step, char out[FFL_TASK_NAME_BYTES])
{
	g_snprintf(out, FFL_TASK_NAME_BYTES, "%s.%u.%u", flow->spec.id,
		   occurrence, step);
}

GHashTable *ffl_advice_of_step(const ffl_dispatch_t *d, const char *step)
{
	return g_hash_table_lookup(d->advice.steps, step);
}

const ffl_advice_entry_t *ffl_advice_find(const ffl_dispatch_t *d,
					  const char *step,
					  const ffl_dispatch_worker_t *w)
{
	GHashTable *known = ffl_advice_of_step(d, step);
	const ffl_advice_entry_t *a =
		known ? g_hash_table_lookup(known, w->entry.id) : NULL;

	return a && a->born_ms == w->entry.born_ms ? a : NULL;
}

bool ffl_advice_allows(const ffl_dispatch_t *d, const ffl_place_request_t *req,
		       const ffl_dispatch_worker_t *w)
{
	char step[FFL_TASK_NAME_BYTES];
	const ffl_advice_entry_t *a;

	if (!req->flow->spec.needs_tickets)
		return true;
	ffl_advice_step_name(req->flow, req->occurrence, req->step_index, step);
	a = ffl_advice_find(d, step, w);
	return a && a->ticket[0] &&
	       (req->expired_tickets || req->now_ms < a->usable_until_ms);
}

const char *ffl_advice_ticket(const ffl_dispatch_t *d, const ffl_run_t *run)
{
	char step[FFL_TASK_NAME_BYTES];
	const ffl_advice_entry_t *a;

	if (!run->flow->spec.needs_tickets)
		return NULL;
	ffl_advice_step_name(run->flow,
			     run->task / run->flow->spec.tasks_per_occurrence,
			     ffl_flow_step_of(run->flow, run->task), step);
	a = ffl_advice_find(d, step, run->worker);
	return a ? a->ticket : "";
}

void ffl_advice_drop_ticket(ffl_dispatch_t *d, const ffl_run_t *run)
{
	char step[FFL_TASK_NAME_BYTES];
	GHashTable *known;

	ffl_advice_step_name(run->flow,
			     run->task / run->flow->spec.tasks_per_occurrence,
			     ffl_flow_step_of(run->flow, run->task), step);
	known = ffl_advice_of_step(d, step);
	if (known)
		g_hash_table_remove(known, run->worker->entry.id);
}

/* Marks all workers of a call as denied; the reply lists only those that are
 * allowed. */
static void mark_denied(GHashTable *known, const ffl_advice_call_t *call)
{
	for (guint i = 0; i < call->workers->len; i++) {
		const char *id = g_ptr_array_index(call->workers, i);
		ffl_advice_entry_t *a = g_new0(ffl_advice_entry_t, 1);

		a->born_ms = g_array_index(call->born_ms, int64_t, i);
		g_hash_table_replace(known, g_strdup(id), a);
	}
}

static uint32_t margin_ms(uint32_t valid_ms)
{
	uint64_t most_ms = (uint64_t)valid_ms * TICKET_MARGIN_PERCENT / PERCENT;

	return (uint32_t)MIN(TICKET_MARGIN_MS, most_ms);
}

void ffl_advice_store(ffl_dispatch_t *d, const ffl_advice_call_t *call,
		      const ffl_reply_t *reply, uint64_t now_ms)
{
	GHashTable *known = ffl_advice_of_step(d, call->step);

	if (!known) {
		known = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      g_free);
		g_hash_table_insert(d->advice.steps, g_strdup(call->step),
				    known);
	}
	mark_denied(known, call);
	for (uint32_t i = 0; i < reply->tickets_count; i++) {
		const ffl_ticket_t *t = &reply->tickets[i];
		ffl_advice_entry_t *a = g_hash_table_lookup(known, t->worker);

		if (!a)
			continue;
		a->usable_until_ms =
			now_ms + reply->valid_ms - margin_ms(reply->valid_ms);
		ffl_copy(a->ticket, sizeof(a->ticket), t->ticket);
	}
}
