#include <string.h>

#include "lib/dispatch/dispatch_int.h"

/** Workers that are asked about in a call; the adviser takes a time for each,
 * and an objective counts one call about so many. */
#define ASK_MAX 30
/** Deadline of a call: its own time is not known before the first. */
#define ADVISE_TIMEOUT_MS 3000
/** Time before a call that failed is made again. */
#define RETRY_MS 250
/** A ticket is used until so long before it ends: a start's way there. */
#define TICKET_MARGIN_MS 500

/** What the adviser said of a worker. */
typedef struct {
	int64_t born_ms;	       /**< incarnation that it was said of */
	uint64_t ends_ms;	       /**< the ticket holds before */
	char ticket[FFL_TICKET_BYTES]; /**< "": not allowed */
} advice_t;

/** A candidate for the next call. */
typedef struct {
	const ffl_dispatch_worker_t *worker;
	uint32_t free_gpus;
} candidate_t;

static void step_name(const ffl_flow_t *flow, uint32_t occurrence,
		      uint32_t step, char out[FFL_TASK_NAME_BYTES]);
static GHashTable *known_of(const ffl_dispatch_t *d, const char *step);
static const advice_t *advice_of(const ffl_dispatch_t *d, const char *step,
				 const ffl_dispatch_worker_t *r);
static int compare_free(const void *a, const void *b);
static void pick(ffl_dispatch_t *d, const ffl_unit_t *unit, const char *step);
static void take_denied(ffl_dispatch_t *d, GHashTable *known);
static void take_allowed(ffl_dispatch_t *d, GHashTable *known,
			 const ffl_reply_t *reply, uint64_t now_ms);

static void step_name(const ffl_flow_t *flow, uint32_t occurrence,
		      uint32_t step, char out[FFL_TASK_NAME_BYTES])
{
	g_snprintf(out, FFL_TASK_NAME_BYTES, "%s.%u.%u", flow->spec.id,
		   occurrence, step);
}

static GHashTable *known_of(const ffl_dispatch_t *d, const char *step)
{
	return g_hash_table_lookup(d->advice.steps, step);
}

/* What is known of a worker's present incarnation; NULL: nothing. */
static const advice_t *advice_of(const ffl_dispatch_t *d, const char *step,
				 const ffl_dispatch_worker_t *r)
{
	GHashTable *known = known_of(d, step);
	const advice_t *a =
		known ? g_hash_table_lookup(known, r->entry.id) : NULL;

	return a && a->born_ms == r->entry.born_ms ? a : NULL;
}

void ffl_advice_init(ffl_advice_t *a)
{
	memset(a, 0, sizeof(*a));
	a->steps = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 (GDestroyNotify)g_hash_table_destroy);
	a->asked_workers = g_ptr_array_new_with_free_func(g_free);
}

void ffl_advice_finish(ffl_advice_t *a)
{
	g_hash_table_destroy(a->steps);
	g_ptr_array_free(a->asked_workers, TRUE);
}

void ffl_advice_reset(ffl_advice_t *a)
{
	g_hash_table_remove_all(a->steps);
	a->call = 0;
	a->pending = false;
	a->retry_ms = 0;
}

bool ffl_advice_allows(const ffl_dispatch_t *d, const ffl_unit_t *unit,
		       const ffl_dispatch_worker_t *r)
{
	char step[FFL_TASK_NAME_BYTES];
	const advice_t *a;

	if (!unit->flow->spec.needs_tickets)
		return true;
	step_name(unit->flow, unit->occurrence, unit->step_index, step);
	a = advice_of(d, step, r);
	return a && a->ticket[0] &&
	       unit->now_ms + TICKET_MARGIN_MS < a->ends_ms;
}

const char *ffl_advice_ticket(const ffl_dispatch_t *d, const ffl_run_t *run)
{
	char step[FFL_TASK_NAME_BYTES];
	const advice_t *a;

	if (!run->flow->spec.needs_tickets)
		return NULL;
	step_name(run->flow, run->task / run->flow->spec.tasks_each,
		  ffl_flow_step_of(run->flow, run->task), step);
	a = advice_of(d, step, run->worker);
	return a ? a->ticket : "";
}

void ffl_advice_refused(ffl_dispatch_t *d, const ffl_run_t *run)
{
	char step[FFL_TASK_NAME_BYTES];
	GHashTable *known;

	step_name(run->flow, run->task / run->flow->spec.tasks_each,
		  ffl_flow_step_of(run->flow, run->task), step);
	known = known_of(d, step);
	if (known)
		g_hash_table_remove(known, run->worker->entry.id);
}

static int compare_free(const void *a, const void *b)
{
	const candidate_t *x = a;
	const candidate_t *y = b;

	if (x->free_gpus != y->free_gpus)
		return x->free_gpus > y->free_gpus ? -1 : 1;
	return strcmp(x->worker->entry.id, y->worker->entry.id);
}

/* Workers that nothing, or nothing valid, is known of; the emptiest first.
 * One that is not allowed is not asked about again. */
static void pick(ffl_dispatch_t *d, const ffl_unit_t *unit, const char *step)
{
	GArray *found = g_array_new(FALSE, FALSE, sizeof(candidate_t));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const ffl_dispatch_worker_t *r = value;
		const advice_t *a = advice_of(d, step, r);
		candidate_t c = { r, ffl_runner_free(r).gpus };

		if (!ffl_runner_allows(r, unit) || (a && !a->ticket[0]) ||
		    (a && unit->now_ms + TICKET_MARGIN_MS < a->ends_ms))
			continue;
		g_array_append_val(found, c);
	}
	g_array_sort(found, compare_free);
	g_ptr_array_set_size(d->advice.asked_workers, 0);
	for (guint i = 0; i < MIN(found->len, ASK_MAX); i++)
		g_ptr_array_add(d->advice.asked_workers,
				g_strdup(g_array_index(found, candidate_t, i)
						 .worker->entry.id));
	g_array_free(found, TRUE);
}

void ffl_advice_want(ffl_dispatch_t *d, const ffl_unit_t *unit)
{
	ffl_advice_t *a = &d->advice;

	if (!unit->flow->spec.needs_tickets || a->call || a->pending ||
	    unit->now_ms < a->retry_ms || !d->opt.adviser_addr[0])
		return;
	step_name(unit->flow, unit->occurrence, unit->step_index, a->step);
	pick(d, unit, a->step);
	a->pending = a->asked_workers->len > 0;
}

void ffl_advice_drive(ffl_dispatch_t *d, GArray *orders, uint64_t now_ms)
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

static void take_denied(ffl_dispatch_t *d, GHashTable *known)
{
	for (guint i = 0; i < d->advice.asked_workers->len; i++) {
		const char *id = g_ptr_array_index(d->advice.asked_workers, i);
		const ffl_dispatch_worker_t *r =
			g_hash_table_lookup(d->workers, id);
		advice_t *a = g_new0(advice_t, 1);

		a->born_ms = r ? r->entry.born_ms : 0;
		g_hash_table_replace(known, g_strdup(id), a);
	}
}

static void take_allowed(ffl_dispatch_t *d, GHashTable *known,
			 const ffl_reply_t *reply, uint64_t now_ms)
{
	for (uint32_t i = 0; i < reply->tickets_count; i++) {
		const ffl_ticket_t *t = &reply->tickets[i];
		advice_t *a = g_hash_table_lookup(known, t->worker);

		if (!a)
			continue;
		a->ends_ms = now_ms + reply->valid_ms;
		ffl_copy(a->ticket, sizeof(a->ticket), t->ticket);
	}
}

bool ffl_advice_take(ffl_dispatch_t *d, const ffl_reply_t *reply,
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
	known = known_of(d, a->step);
	if (!known) {
		known = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      g_free);
		g_hash_table_insert(a->steps, g_strdup(a->step), known);
	}
	take_denied(d, known);
	take_allowed(d, known, reply, now_ms);
	d->replan = true;
	return true;
}

void ffl_advice_forget(ffl_dispatch_t *d, const ffl_flow_t *flow)
{
	char step[FFL_TASK_NAME_BYTES];

	if (!flow->spec.needs_tickets)
		return;
	for (uint32_t k = 0; k < flow->spec.occurrences; k++) {
		for (uint32_t s = 0; s < flow->spec.steps_count; s++) {
			step_name(flow, k, s, step);
			g_hash_table_remove(d->advice.steps, step);
		}
	}
}
