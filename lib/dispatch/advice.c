#include <string.h>

#include "lib/dispatch/dispatch_int.h"

/** Most workers in a call. The adviser takes time for each, and objectives
 * allow for one call with about this many. */
#define ASK_MAX 30
/** Deadline of a call. The adviser's response time is not known before the
 * first call. */
#define ADVISE_TIMEOUT_MS 3000
/** Time before a failed call is repeated. */
#define RETRY_MS 250
/** A ticket is not used in the last part of its validity: the start order has
 * to reach the worker before it expires. */
#define TICKET_MARGIN_MS 500

/** The adviser's decision on a worker for one step. */
typedef struct {
	int64_t born_ms;	       /**< incarnation that it is about */
	uint64_t expires_ms;	       /**< end of the ticket's validity */
	char ticket[FFL_TICKET_BYTES]; /**< "": not allowed */
} advice_t;

/** A worker that may be in the next call. */
typedef struct {
	const ffl_dispatch_worker_t *worker;
	uint32_t free_gpus;
} candidate_t;

static void step_name(const ffl_flow_t *flow, uint32_t occurrence,
		      uint32_t step, char out[FFL_TASK_NAME_BYTES]);
static GHashTable *step_advice(const ffl_dispatch_t *d, const char *step);
static const advice_t *worker_advice(const ffl_dispatch_t *d, const char *step,
				     const ffl_dispatch_worker_t *w);
static int compare_free_gpus(const void *a, const void *b);
static void select_workers(ffl_dispatch_t *d, const ffl_place_request_t *req,
			   const char *step);
static void deny_asked(ffl_dispatch_t *d, GHashTable *known);
static void store_tickets(ffl_dispatch_t *d, GHashTable *known,
			  const ffl_reply_t *reply, uint64_t now_ms);

static void step_name(const ffl_flow_t *flow, uint32_t occurrence,
		      uint32_t step, char out[FFL_TASK_NAME_BYTES])
{
	g_snprintf(out, FFL_TASK_NAME_BYTES, "%s.%u.%u", flow->spec.id,
		   occurrence, step);
}

static GHashTable *step_advice(const ffl_dispatch_t *d, const char *step)
{
	return g_hash_table_lookup(d->advice.steps, step);
}

/* Returns the decision on a worker's current incarnation, or NULL. */
static const advice_t *worker_advice(const ffl_dispatch_t *d, const char *step,
				     const ffl_dispatch_worker_t *w)
{
	GHashTable *known = step_advice(d, step);
	const advice_t *a =
		known ? g_hash_table_lookup(known, w->entry.id) : NULL;

	return a && a->born_ms == w->entry.born_ms ? a : NULL;
}

void ffl_advice_init(ffl_advice_t *a)
{
	memset(a, 0, sizeof(*a));
	a->steps = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 (GDestroyNotify)g_hash_table_destroy);
	a->asked_workers = g_ptr_array_new_with_free_func(g_free);
	a->asked_born_ms = g_array_new(FALSE, FALSE, sizeof(int64_t));
}

void ffl_advice_finish(ffl_advice_t *a)
{
	g_hash_table_destroy(a->steps);
	g_ptr_array_free(a->asked_workers, TRUE);
	g_array_free(a->asked_born_ms, TRUE);
}

void ffl_advice_reset(ffl_advice_t *a)
{
	g_hash_table_remove_all(a->steps);
	a->call = 0;
	a->pending = false;
	a->retry_ms = 0;
}

bool ffl_advice_allows(const ffl_dispatch_t *d, const ffl_place_request_t *req,
		       const ffl_dispatch_worker_t *w)
{
	char step[FFL_TASK_NAME_BYTES];
	const advice_t *a;

	if (!req->flow->spec.needs_tickets)
		return true;
	step_name(req->flow, req->occurrence, req->step_index, step);
	a = worker_advice(d, step, w);
	return a && a->ticket[0] &&
	       req->now_ms + TICKET_MARGIN_MS < a->expires_ms;
}

const char *ffl_advice_ticket(const ffl_dispatch_t *d, const ffl_run_t *run)
{
	char step[FFL_TASK_NAME_BYTES];
	const advice_t *a;

	if (!run->flow->spec.needs_tickets)
		return NULL;
	step_name(run->flow, run->task / run->flow->spec.tasks_per_occurrence,
		  ffl_flow_step_of(run->flow, run->task), step);
	a = worker_advice(d, step, run->worker);
	return a ? a->ticket : "";
}

void ffl_advice_drop_ticket(ffl_dispatch_t *d, const ffl_run_t *run)
{
	char step[FFL_TASK_NAME_BYTES];
	GHashTable *known;

	step_name(run->flow, run->task / run->flow->spec.tasks_per_occurrence,
		  ffl_flow_step_of(run->flow, run->task), step);
	known = step_advice(d, step);
	if (known)
		g_hash_table_remove(known, run->worker->entry.id);
}

static int compare_free_gpus(const void *a, const void *b)
{
	const candidate_t *x = a;
	const candidate_t *y = b;

	if (x->free_gpus != y->free_gpus)
		return x->free_gpus > y->free_gpus ? -1 : 1;
	return strcmp(x->worker->entry.id, y->worker->entry.id);
}

/* Selects workers without a valid ticket, those with the most free GPUs first.
 * A worker that was denied is not asked about again. */
static void select_workers(ffl_dispatch_t *d, const ffl_place_request_t *req,
			   const char *step)
{
	GArray *found = g_array_new(FALSE, FALSE, sizeof(candidate_t));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const ffl_dispatch_worker_t *w = value;
		const advice_t *a = worker_advice(d, step, w);
		candidate_t c = { w, ffl_dispatch_worker_available(w).gpus };

		if (!ffl_is_candidate(w, req) || (a && !a->ticket[0]) ||
		    (a && req->now_ms + TICKET_MARGIN_MS < a->expires_ms))
			continue;
		g_array_append_val(found, c);
	}
	g_array_sort(found, compare_free_gpus);
	g_ptr_array_set_size(d->advice.asked_workers, 0);
	g_array_set_size(d->advice.asked_born_ms, 0);
	for (guint i = 0; i < MIN(found->len, ASK_MAX); i++) {
		const ffl_worker_entry_t *entry =
			&g_array_index(found, candidate_t, i).worker->entry;

		g_ptr_array_add(d->advice.asked_workers, g_strdup(entry->id));
		g_array_append_val(d->advice.asked_born_ms, entry->born_ms);
	}
	g_array_free(found, TRUE);
}

void ffl_advice_request(ffl_dispatch_t *d, const ffl_place_request_t *req)
{
	ffl_advice_t *a = &d->advice;

	if (!req->flow->spec.needs_tickets || a->call || a->pending ||
	    req->now_ms < a->retry_ms || !d->opt.adviser_addr[0])
		return;
	step_name(req->flow, req->occurrence, req->step_index, a->step);
	select_workers(d, req, a->step);
	a->pending = a->asked_workers->len > 0;
}

void ffl_advice_send(ffl_dispatch_t *d, GArray *orders, uint64_t now_ms)
{
	ffl_advice_t *a = &d->advice;
	ffl_order_t order = { .kind = FFL_ORDER_ADVISE };

	if (!a->pending || a->call)
		return;
	a->pending = false;
	a->call = order.call = ++d->next_call;
	a->sent_ms = now_ms;
	order.timeout_ms = ADVISE_TIMEOUT_MS;
	order.asked_workers = a->asked_workers;
	ffl_copy(order.task, sizeof(order.task), a->step);
	ffl_copy(order.addr, sizeof(order.addr), d->opt.adviser_addr);
	g_array_append_val(orders, order);
	ffl_dispatch_note(d, "advice-asked", a->step, "workers=%u",
			  a->asked_workers->len);
}

/* Marks all workers of a call as denied; the reply lists only those that are
 * allowed. */
static void deny_asked(ffl_dispatch_t *d, GHashTable *known)
{
	for (guint i = 0; i < d->advice.asked_workers->len; i++) {
		const char *id = g_ptr_array_index(d->advice.asked_workers, i);
		advice_t *a = g_new0(advice_t, 1);

		a->born_ms = g_array_index(d->advice.asked_born_ms, int64_t, i);
		g_hash_table_replace(known, g_strdup(id), a);
	}
}

static void store_tickets(ffl_dispatch_t *d, GHashTable *known,
			  const ffl_reply_t *reply, uint64_t now_ms)
{
	for (uint32_t i = 0; i < reply->tickets_count; i++) {
		const ffl_ticket_t *t = &reply->tickets[i];
		advice_t *a = g_hash_table_lookup(known, t->worker);

		if (!a)
			continue;
		a->expires_ms = now_ms + reply->valid_ms;
		ffl_copy(a->ticket, sizeof(a->ticket), t->ticket);
	}
}

bool ffl_advice_handle_reply(ffl_dispatch_t *d, const ffl_reply_t *reply,
			     uint64_t now_ms)
{
	ffl_advice_t *a = &d->advice;
	GHashTable *known;

	if (!a->call || reply->call != a->call)
		return false;
	a->call = 0;
	ffl_dispatch_note(d, "advice-taken", a->step,
			  "outcome=%s asked=%u allowed=%u valid_ms=%u "
			  "after_ms=%" PRIu64,
			  ffl_reply_outcome_name(reply->outcome),
			  a->asked_workers->len, reply->tickets_count,
			  reply->valid_ms, now_ms - a->sent_ms);
	if (reply->outcome != FFL_REPLY_OK) {
		a->retry_ms = now_ms + RETRY_MS;
		return true;
	}
	if (!a->step[0])
		return true;
	known = step_advice(d, a->step);
	if (!known) {
		known = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      g_free);
		g_hash_table_insert(a->steps, g_strdup(a->step), known);
	}
	deny_asked(d, known);
	store_tickets(d, known, reply, now_ms);
	d->replan = true;
	return true;
}

void ffl_advice_drop_flow(ffl_dispatch_t *d, const ffl_flow_t *flow)
{
	char step[FFL_TASK_NAME_BYTES];

	/* Its queue may have asked for tickets before. */
	if (!g_hash_table_size(d->advice.steps) && !d->advice.step[0])
		return;
	for (uint32_t k = 0; k < flow->spec.occurrences; k++) {
		for (uint32_t s = 0; s < flow->spec.steps_count; s++) {
			step_name(flow, k, s, step);
			g_hash_table_remove(d->advice.steps, step);
			if (strcmp(d->advice.step, step) == 0) {
				d->advice.step[0] = '\0';
				d->advice.pending = false;
			}
		}
	}
}
