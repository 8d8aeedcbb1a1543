/**
 * @file advice_ask.c
 * @brief Chooses the workers that a call to the adviser would be about.
 */
#include <string.h>

#include "lib/dispatch/dispatch_int.h"

/** A worker that may be in the next call. */
typedef struct {
	const ffl_dispatch_worker_t *worker;
	uint32_t free_gpus;
	uint32_t tasks; /**< that fit on it now */
	bool known;	/**< the adviser has answered about it before */
	int64_t cost;	/**< see ffl_placement_cost() */
} candidate_t;

static ffl_adviser_t *adviser_of(ffl_advice_t *a, const ffl_flow_t *flow);
static bool is_pending(const ffl_advice_t *a, const ffl_adviser_t *adviser);
static void add_worker(ffl_advice_call_t *call, const ffl_dispatch_worker_t *w);
static int compare_free_gpus(const void *a, const void *b);
static int compare_preference(const void *a, const void *b);
static bool is_worth_asking(const ffl_place_request_t *req,
			    const ffl_advice_call_t *call, const candidate_t *c,
			    const ffl_advice_entry_t *a);
static bool is_being_asked(const ffl_advice_t *a, const char *step,
			   const char *worker);
static void remove_known(GArray *found);
static GArray *list_candidates(ffl_dispatch_t *d,
			       const ffl_place_request_t *req,
			       ffl_advice_call_t *call, bool asks_again);
static uint32_t workers_needed(const GArray *found, uint32_t tasks);
static void select_workers(ffl_dispatch_t *d, const ffl_place_request_t *req,
			   ffl_advice_call_t *call);
static bool starts_whole(const ffl_place_request_t *req);
static bool select_renewals(ffl_dispatch_t *d, const ffl_place_request_t *req,
			    ffl_advice_call_t *call);

/* Returns the response times for a flow's queue. */
static ffl_adviser_t *adviser_of(ffl_advice_t *a, const ffl_flow_t *flow)
{
	ffl_adviser_t *adviser =
		g_hash_table_lookup(a->queues, flow->spec.queue);

	if (!adviser) {
		adviser = g_new0(ffl_adviser_t, 1);
		g_hash_table_insert(a->queues, g_strdup(flow->spec.queue),
				    adviser);
	}
	ffl_adviser_configure(adviser, &flow->spec.advice);
	return adviser;
}

static bool is_pending(const ffl_advice_t *a, const ffl_adviser_t *adviser)
{
	for (guint i = 0; i < a->pending->len; i++) {
		const ffl_advice_call_t *call =
			g_ptr_array_index(a->pending, i);

		if (call->adviser == adviser)
			return true;
	}
	return false;
}

static void add_worker(ffl_advice_call_t *call, const ffl_dispatch_worker_t *w)
{
	g_ptr_array_add(call->workers, g_strdup(w->entry.id));
	g_array_append_val(call->born_ms, w->entry.born_ms);
}

static int compare_free_gpus(const void *a, const void *b)
{
	const candidate_t *x = a;
	const candidate_t *y = b;

	if (x->free_gpus != y->free_gpus)
		return x->free_gpus > y->free_gpus ? -1 : 1;
	return strcmp(x->worker->entry.id, y->worker->entry.id);
}

/* Those where the step would be placed come first. */
static int compare_preference(const void *a, const void *b)
{
	const candidate_t *x = a;
	const candidate_t *y = b;

	if (!x->tasks != !y->tasks)
		return x->tasks ? -1 : 1;
	if (x->cost != y->cost)
		return x->cost < y->cost ? -1 : 1;
	return strcmp(x->worker->entry.id, y->worker->entry.id);
}

/* What is denied stays denied for the incarnation, what is allowed stays
 * allowed. Where calls are slow, a ticket is renewed ahead of its use only for
 * a step that may make room for itself. */
static bool is_worth_asking(const ffl_place_request_t *req,
			    const ffl_advice_call_t *call, const candidate_t *c,
			    const ffl_advice_entry_t *a)
{
	if (!a)
		return true;
	if (!a->ticket[0] || req->now_ms < a->usable_until_ms)
		return false;
	return c->tasks || req->guaranteed || !req->flow->spec.priority ||
	       !ffl_adviser_is_slow(call->adviser, call->ask.begin_ms);
}

static bool is_being_asked(const ffl_advice_t *a, const char *step,
			   const char *worker)
{
	for (guint i = 0; i < a->calls->len; i++) {
		const ffl_advice_call_t *call = g_ptr_array_index(a->calls, i);

		if (!call->overtaken && strcmp(call->step, step) == 0 &&
		    g_ptr_array_find_with_equal_func(call->workers, worker,
						     g_str_equal, NULL))
			return true;
	}
	return false;
}

/* The tickets of a gang are renewed together, once enough workers are known to
 * be allowed. */
static void remove_known(GArray *found)
{
	for (guint i = found->len; i-- > 0;) {
		if (g_array_index(found, candidate_t, i).known)
			g_array_remove_index_fast(found, i);
	}
}

/* Lists the workers that the adviser may be asked about, those with the most
 * free GPUs first; also those that a late call names, if asked again. */
static GArray *list_candidates(ffl_dispatch_t *d,
			       const ffl_place_request_t *req,
			       ffl_advice_call_t *call, bool asks_again)
{
	GArray *found = g_array_new(FALSE, FALSE, sizeof(candidate_t));
	GHashTable *known = ffl_advice_of_step(d, call->step);
	ffl_resources_t need = ffl_step_resources(req->step);
	uint32_t unknown = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const ffl_dispatch_worker_t *w = value;
		const ffl_advice_entry_t *a = ffl_advice_find(d, call->step, w);
		ffl_resources_t available = ffl_dispatch_worker_available(w);
		candidate_t c = { .worker = w,
				  .free_gpus = available.gpus,
				  .known = a != NULL };

		if (!ffl_is_candidate(w, req))
			continue;
		if (ffl_has_room(w, req, &need))
			c.tasks = ffl_resources_slots(&available, &need);
		if (req->step->per_worker_max)
			c.tasks = MIN(c.tasks, req->step->per_worker_max);
		if (!is_worth_asking(req, call, &c, a) ||
		    (!asks_again &&
		     is_being_asked(&d->advice, call->step, w->entry.id)))
			continue;
		unknown += !c.known;
		c.cost = ffl_placement_cost(d, w, req);
		g_array_append_val(found, c);
	}
	if (unknown && req->step->gang)
		remove_known(found);
	g_array_sort(found, compare_free_gpus);
	if (unknown && known)
		call->ask.asked = g_hash_table_size(known);
	return found;
}

/* Returns how many of the workers have room for a number of tasks. */
static uint32_t workers_needed(const GArray *found, uint32_t tasks)
{
	uint32_t fit = 0;
	guint i;

	for (i = 0; i < found->len && fit < tasks; i++)
		fit += MAX(g_array_index(found, candidate_t, i).tasks, 1);
	return MAX(i, 1);
}

static void select_workers(ffl_dispatch_t *d, const ffl_place_request_t *req,
			   ffl_advice_call_t *call)
{
	GArray *found = list_candidates(d, req, call, false);

	if (!found->len && d->advice.calls->len) {
		g_array_free(found, TRUE);
		found = list_candidates(d, req, call, true);
	}
	call->ask.need = workers_needed(found, ffl_place_count_waiting(req));
	g_array_set_size(found, MIN(found->len, ffl_adviser_block(&call->ask)));
	call->ask.unasked = found->len;
	g_array_sort(found, compare_preference);
	for (guint i = 0; i < found->len; i++)
		add_worker(call, g_array_index(found, candidate_t, i).worker);
	g_array_free(found, TRUE);
}

/* A member of a gang that is still running somewhere is waited for. */
static bool starts_whole(const ffl_place_request_t *req)
{
	return !req->step->gang ||
	       ffl_place_count_waiting(req) == req->step->tasks;
}

/* Selects the workers on which the step would be placed if their tickets held
 * long enough; those of a gang have to be valid all at once. Returns false if
 * too few workers are known to be allowed, or none of them has room. */
static bool select_renewals(ffl_dispatch_t *d, const ffl_place_request_t *req,
			    ffl_advice_call_t *call)
{
	uint32_t waiting = ffl_place_count_waiting(req);
	ffl_place_request_t trial = *req;
	ffl_dispatch_worker_t **chosen;
	uint64_t until_ms = req->now_ms;
	uint32_t found;

	if (!ffl_advice_of_step(d, call->step) || !starts_whole(req))
		return false;
	trial.expired_tickets = true;
	chosen = g_new0(ffl_dispatch_worker_t *, req->step->tasks);
	found = ffl_place_find(d, &trial, MIN(waiting, FFL_ADVISER_WORKERS_MAX),
			       chosen);
	if (req->step->gang)
		until_ms += ffl_adviser_cost_ms(
			call->adviser, MIN(found, FFL_ADVISER_WORKERS_MAX));
	for (uint32_t i = 0;
	     i < found && call->workers->len < FFL_ADVISER_WORKERS_MAX; i++) {
		const ffl_advice_entry_t *a =
			ffl_advice_find(d, call->step, chosen[i]);

		if (a->usable_until_ms <= until_ms &&
		    !g_ptr_array_find_with_equal_func(call->workers,
						      chosen[i]->entry.id,
						      g_str_equal, NULL))
			add_worker(call, chosen[i]);
	}
	g_free(chosen);
	call->ask.need = call->ask.unasked = call->workers->len;
	return call->workers->len > 0;
}

void ffl_advice_request(ffl_dispatch_t *d, const ffl_place_request_t *req)
{
	ffl_advice_t *a = &d->advice;
	ffl_adviser_t *adviser;
	ffl_advice_call_t *call;

	if (!req->flow->spec.needs_tickets || !a->may_call)
		return;
	adviser = adviser_of(a, req->flow);
	if (is_pending(a, adviser))
		return;
	call = g_new0(ffl_advice_call_t, 1);
	call->adviser = adviser;
	call->workers = g_ptr_array_new_with_free_func(g_free);
	call->born_ms = g_array_new(FALSE, FALSE, sizeof(int64_t));
	call->ask.gang = req->step->gang;
	call->ask.begin_ms = d->opt.reclaim_ms;
	ffl_advice_step_name(req->flow, req->occurrence, req->step_index,
			     call->step);
	if (!select_renewals(d, req, call))
		select_workers(d, req, call);
	if (call->workers->len)
		g_ptr_array_add(a->pending, call);
	else
		ffl_advice_call_free(call);
}
