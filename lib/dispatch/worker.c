#include <string.h>

#include "lib/dispatch/dispatch_int.h"

/** The clock reading of a list entry is used only if no other reading is newer
 * than this. */
#define CLOCK_FRESH_MS 5000
/** A worker's list entry expires after this many missed heartbeats. */
#define SILENCE_HEARTBEATS 3
/** Heartbeats in which a leader learns of a restart and has a report under a
 * higher token: the entry is written within one, and read within the next. */
#define FENCE_HEARTBEATS 2
/** Margin for timers and network delay when waiting for leases to end. */
#define EXPIRE_SLACK_MS 150

static void take_back(ffl_dispatch_t *d, ffl_dispatch_worker_t *w,
		      uint64_t now_ms);
static uint64_t drop_calls(ffl_dispatch_t *d, const ffl_dispatch_worker_t *w,
			   uint64_t now_ms);
static void forget_incarnation(ffl_dispatch_worker_t *w);
static bool is_other_incarnation(const ffl_dispatch_worker_t *w,
				 const ffl_worker_entry_t *entry);
static void end_settled_runs(ffl_dispatch_t *d, ffl_dispatch_worker_t *w,
			     uint64_t now_ms);
static void take_over(ffl_dispatch_t *d, ffl_dispatch_worker_t *w,
		      const ffl_worker_entry_t *entry, uint64_t now_ms);
static void remove_unused(ffl_dispatch_t *d, ffl_dispatch_worker_t *w);
static bool has_left(const ffl_dispatch_t *d, const ffl_dispatch_worker_t *w,
		     uint64_t list_followed_ms, uint64_t now_ms);

ffl_dispatch_worker_t *ffl_dispatch_worker_get(ffl_dispatch_t *d,
					       const char *id)
{
	ffl_dispatch_worker_t *w = g_hash_table_lookup(d->workers, id);

	if (w)
		return w;
	w = g_new0(ffl_dispatch_worker_t, 1);
	ffl_racks_invalidate(d);
	ffl_copy(w->entry.id, sizeof(w->entry.id), id);
	w->runs = g_ptr_array_new();
	w->given_up = g_array_new(FALSE, FALSE, sizeof(ffl_given_up_t));
	ffl_doubt_init(&w->doubt);
	w->limit_percent = PERCENT;
	g_hash_table_insert(d->workers, w->entry.id, w);
	return w;
}

void ffl_dispatch_worker_follow(ffl_dispatch_t *d, ffl_dispatch_worker_t *w)
{
	if (w->followed)
		return;
	w->followed = true;
	g_ptr_array_add(d->followed, w);
}

/* What was given up is kept: the worker may be back under its id. */
static void remove_unused(ffl_dispatch_t *d, ffl_dispatch_worker_t *w)
{
	if (w->runs->len || w->calls || w->given_up->len)
		return;
	if (w->followed)
		g_ptr_array_remove_fast(d->followed, w);
	g_hash_table_remove(d->workers, w->entry.id);
}

void ffl_dispatch_worker_destroy(void *data)
{
	ffl_dispatch_worker_t *w = data;

	g_ptr_array_free(w->runs, TRUE);
	g_array_free(w->given_up, TRUE);
	ffl_doubt_finish(&w->doubt);
	g_free(w);
}

void ffl_resources_add(ffl_resources_t *to, const ffl_resources_t *amount)
{
	to->cpu_milli += amount->cpu_milli;
	to->mem_mb += amount->mem_mb;
	to->gpus += amount->gpus;
}

void ffl_dispatch_worker_set_clock(ffl_dispatch_worker_t *w, uint64_t clock_ms,
				   uint64_t now_ms)
{
	if (!clock_ms)
		return;
	w->clock_ms = clock_ms;
	w->clock_read_ms = now_ms;
}

uint64_t ffl_lease_end_ms(uint64_t lease_ms, uint64_t now_ms)
{
	return now_ms + lease_ms * PERCENT / CLOCK_SLOW_PERCENT +
	       EXPIRE_SLACK_MS;
}

void ffl_dispatch_note_unanswered(const ffl_dispatch_t *d,
				  const ffl_open_call_t *call, uint64_t now_ms)
{
	uint64_t late_ms = now_ms + d->opt.order_late_max_ms;

	if (!call->until_ms)
		return;
	if (call->kind == FFL_ORDER_START && call->run)
		ffl_doubt_add_late_start(&call->worker->doubt, call->run,
					 call->worker->entry.born_ms, late_ms);
	else
		ffl_doubt_add_late_order(&call->worker->doubt, late_ms);
}

uint64_t ffl_dispatch_worker_grant_lease(const ffl_dispatch_t *d,
					 const ffl_dispatch_worker_t *w,
					 uint64_t now_ms, uint64_t *end_ms)
{
	uint64_t lease_ms =
		(uint64_t)d->opt.lease_max_ms * LEASE_PERCENT / PERCENT;
	uint64_t ahead_ms;

	*end_ms = 0;
	if (!w->clock_read_ms)
		return 0;
	ahead_ms = now_ms - w->clock_read_ms + lease_ms;
	*end_ms = ffl_lease_end_ms(ahead_ms, w->clock_read_ms);
	/* The clock in an entry may be an earlier incarnation's; the worker
	 * then grants its longest lease. */
	if (!w->clock_reported)
		*end_ms = MAX(*end_ms,
			      ffl_lease_end_ms(d->opt.lease_max_ms, now_ms));
	return w->clock_ms + ahead_ms;
}

bool ffl_dispatch_may_leave_out(
	const ffl_dispatch_t *d,
	bool (*is_left_out)(const ffl_dispatch_worker_t *, uint64_t),
	uint32_t max_percent, uint64_t now_ms)
{
	uint32_t listed = 0;
	uint32_t left_out = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, d->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const ffl_dispatch_worker_t *w = value;

		listed += w->listed;
		left_out += w->listed && is_left_out(w, now_ms);
	}
	return (left_out + 1) * PERCENT <= listed * max_percent;
}

static void forget_incarnation(ffl_dispatch_worker_t *w)
{
	w->end_seen = 0;
	w->acked = 0;
	w->acked_sent = 0;
	w->ack_batch = 0;
	w->clock_read_ms = 0;
	w->clock_reported = false;
	w->missed_renewals = 0;
	ffl_trust_reset(w);
	w->speed_milli = 0;
	w->slow_until_ms = 0;
	w->cold_since_ms = 0;
	w->cold_until_ms = 0;
	w->limit_percent = PERCENT;
}

void ffl_dispatch_worker_end_runs(ffl_dispatch_t *d, ffl_dispatch_worker_t *w,
				  uint64_t now_ms)
{
	for (guint i = w->runs->len; i-- > 0;) {
		if (i < w->runs->len)
			ffl_run_finish(d, g_ptr_array_index(w->runs, i),
				       FFL_RUN_END_LEASE_EXPIRED, NULL, now_ms);
	}
	forget_incarnation(w);
	ffl_doubt_drop_leases(&w->doubt);
}

/* Drops the unanswered orders to a worker; returns the highest number up to
 * which they acknowledge ends. */
static uint64_t drop_calls(ffl_dispatch_t *d, const ffl_dispatch_worker_t *w,
			   uint64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;
	uint64_t acked = 0;

	g_hash_table_iter_init(&iter, d->calls);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const ffl_open_call_t *call = value;

		if (call->worker != w)
			continue;
		acked = MAX(acked, call->acked);
		ffl_dispatch_note_unanswered(d, call, now_ms);
		g_hash_table_iter_remove(&iter);
	}
	return acked;
}

void ffl_dispatch_worker_note_given_up(const ffl_run_t *run)
{
	ffl_given_up_t given_up = { .run = run->run };

	if (ffl_run_step(run)->gang)
		return;
	ffl_task_name(run->flow, run->task, given_up.task);
	g_array_append_val(run->worker->given_up, given_up);
}

/* Takes back the runs that were given up and are not placed again: an order
 * that was late may have started them in the new incarnation. */
static void take_back(ffl_dispatch_t *d, ffl_dispatch_worker_t *w,
		      uint64_t now_ms)
{
	for (guint i = 0; i < w->given_up->len; i++) {
		const ffl_given_up_t *given_up =
			&g_array_index(w->given_up, ffl_given_up_t, i);
		uint32_t task;
		ffl_flow_t *flow =
			ffl_task_find(d->flows, given_up->task, &task);

		if (!flow || flow->ended_ms || flow->cancelled ||
		    flow->failed || flow->dropped_ms ||
		    flow->tasks[task].state != FFL_TASK_WAITING ||
		    flow->tasks[task].run != given_up->run)
			continue;
		ffl_dispatch_note(d, "run-taken-back", given_up->task,
				  "run=%u worker=%s", given_up->run,
				  w->entry.id);
		ffl_flow_task_place(flow, task, given_up->run, w->entry.id,
				    w->entry.born_ms);
		ffl_run_add(d, flow, task, given_up->run, w, now_ms)->state =
			FFL_RUN_ADOPTED;
		ffl_dispatch_mark_dirty(d, flow);
	}
	g_array_set_size(w->given_up, 0);
}

/* Any order that has been sent may have been carried out by the new
 * incarnation, or may still be. Its report under a higher token settles which:
 * what is listed there runs, and it accepts no earlier order any more. */
void ffl_dispatch_worker_restart(ffl_dispatch_t *d, ffl_dispatch_worker_t *w,
				 int64_t born_ms, uint64_t now_ms)
{
	uint64_t acked = drop_calls(d, w, now_ms);

	ffl_dispatch_note(d, "worker-restarted", w->entry.id,
			  "runs=%u born=%" PRId64 " before=%" PRId64
			  " token=%" PRIu64 " acked=%" PRIu64,
			  w->runs->len, born_ms, w->entry.born_ms, w->token,
			  acked);
	w->calls = 0;
	w->renewals_open = 0;
	w->acks_open = 0;
	w->renew_ms = 0;
	for (guint i = w->runs->len; i-- > 0;) {
		ffl_run_t *run = g_ptr_array_index(w->runs, i);

		run->call = 0;
		if (run->state == FFL_RUN_PLANNED) {
			ffl_run_finish(d, run, FFL_RUN_END_STOPPED, NULL,
				       now_ms);
			continue;
		}
		run->state = FFL_RUN_ADOPTED;
		run->reported = false;
		run->stop_accepted_ms = 0;
		run->acked_limit_percent = LIMIT_UNKNOWN;
		run->report_clock_ms = 0;
		run->progress_clock_ms = 0;
		run->sample_clock_ms = 0;
		run->rate = 0;
		run->best_rate = 0;
	}
	forget_incarnation(w);
	ffl_doubt_add_lease(&w->doubt,
			    ffl_lease_end_ms(d->opt.lease_max_ms,
					     MAX(now_ms, d->last_lease_ms)),
			    FFL_LEASE_RESTART);
	w->entry.born_ms = born_ms;
	w->token_outdated = w->token != 0;
	w->fence_due = true;
	w->lease_in_doubt = true;
	take_back(d, w, now_ms);
	ffl_dispatch_worker_follow(d, w);
	d->replan = true;
}

bool ffl_dispatch_worker_assign_token(const ffl_dispatch_t *d,
				      ffl_dispatch_worker_t *w)
{
	if (w->token_outdated && d->token <= w->token)
		return false;
	if (w->token_outdated || !w->token)
		w->token = d->token;
	w->token_outdated = false;
	return true;
}

/* An entry with another address counts as a restart too: what answers there
 * proves nothing of the runs at the address before. One of another writer may
 * lack the start time, which tells nothing. */
static bool is_other_incarnation(const ffl_dispatch_worker_t *w,
				 const ffl_worker_entry_t *entry)
{
	if (w->entry.born_ms && entry->born_ms &&
	    w->entry.born_ms != entry->born_ms)
		return true;
	return w->entry.addr[0] && strcmp(w->entry.addr, entry->addr) != 0;
}

/* Counts the leases of a worker that an earlier leader knew, as this one reads
 * its first entry. Its incarnation may have taken orders for the one before
 * until it was fenced, and then has the longest lease, for all that runs there.
 * The earlier leader knew; the log does not tell. An incarnation writes an
 * entry a heartbeat, while clocks do not tell how long it has lived. */
static void take_over(ffl_dispatch_t *d, ffl_dispatch_worker_t *w,
		      const ffl_worker_entry_t *entry, uint64_t now_ms)
{
	uint64_t heartbeats = entry->number ? entry->number - 1 : 0;
	uint64_t end_ms = ffl_lease_end_ms(d->opt.lease_max_ms, now_ms) +
			  (uint64_t)d->opt.heartbeat_ms * FENCE_HEARTBEATS;

	if (heartbeats < (end_ms - now_ms) / MAX(d->opt.heartbeat_ms, 1))
		ffl_doubt_add_lease(&w->doubt,
				    end_ms - heartbeats * d->opt.heartbeat_ms,
				    FFL_LEASE_YOUNG);
}

void ffl_dispatch_update_worker(ffl_dispatch_t *d,
				const ffl_worker_entry_t *entry,
				uint64_t written_after_ms, uint64_t now_ms)
{
	ffl_dispatch_worker_t *w = ffl_dispatch_worker_get(d, entry->id);
	int64_t born_ms = entry->born_ms ? entry->born_ms : w->entry.born_ms;

	if (is_other_incarnation(w, entry)) {
		if (written_after_ms < w->born_reported_ms)
			return;
		ffl_dispatch_worker_restart(d, w, born_ms, now_ms);
		w->born_reported_ms = 0;
	}
	/* It may have been on the list before, under orders of this leader. An
	 * entry without a start time may be another writer's. */
	if (!w->listed && (written_after_ms || !entry->born_ms)) {
		w->fence_due = true;
		ffl_dispatch_worker_follow(d, w);
	}
	if (!w->entry.addr[0] && (!written_after_ms || w->runs->len))
		take_over(d, w, entry, now_ms);
	if (entry->born_ms && written_after_ms >= d->leader_since_ms) {
		ffl_doubt_note_heard(&w->doubt);
		if (!w->lease_in_doubt)
			ffl_doubt_settle_starts(&w->doubt, written_after_ms);
	}
	if (entry->draining && !w->entry.draining)
		ffl_dispatch_note(d, "worker-draining", entry->id, "runs=%u",
				  w->runs->len);
	if (!w->listed || strcmp(w->entry.rack, entry->rack) != 0)
		ffl_racks_invalidate(d);
	w->entry = *entry;
	w->entry.born_ms = born_ms;
	ffl_dispatch_worker_set_evacuated(d, w);
	w->entry_outdated = false;
	w->listed = true;
	w->listed_ms = now_ms;
	w->written_after_ms = written_after_ms;
	if (!w->clock_read_ms || now_ms - w->clock_read_ms > CLOCK_FRESH_MS)
		ffl_dispatch_worker_set_clock(w, entry->clock_ms, now_ms);
	ffl_cold_update(d, w, now_ms);
	d->replan = true;
}

/* Ends the runs of a worker that has left. A start in doubt is waited out: the
 * worker may be back under its id before that order comes. Those of an earlier
 * leader are in doubt until they have been reported. */
static void end_settled_runs(ffl_dispatch_t *d, ffl_dispatch_worker_t *w,
			     uint64_t now_ms)
{
	for (guint i = w->runs->len; i-- > 0;) {
		ffl_run_t *run;

		if (i >= w->runs->len)
			continue;
		run = g_ptr_array_index(w->runs, i);
		if (!run->start_in_doubt && run->state != FFL_RUN_ADOPTED &&
		    (run->state != FFL_RUN_SENT || !run->call))
			ffl_run_finish(d, run, FFL_RUN_END_LEASE_EXPIRED, NULL,
				       now_ms);
	}
}

/* Tells a worker that has left from one that went silent. An entry is removed
 * when its worker leaves, or after SILENCE_HEARTBEATS missed heartbeats. If the
 * worker was draining and its entry was written more recently than that, it
 * has left and nothing runs there any more. When the entry was read does not
 * count: a host that was suspended reads late. */
static bool has_left(const ffl_dispatch_t *d, const ffl_dispatch_worker_t *w,
		     uint64_t list_followed_ms, uint64_t now_ms)
{
	uint64_t silence_ms =
		(uint64_t)d->opt.heartbeat_ms * SILENCE_HEARTBEATS;

	return w->entry.draining && list_followed_ms > silence_ms &&
	       now_ms - w->written_after_ms <
		       (uint64_t)d->opt.heartbeat_ms * (SILENCE_HEARTBEATS - 1);
}

void ffl_dispatch_remove_worker(ffl_dispatch_t *d, const char *id,
				uint64_t list_followed_ms, uint64_t now_ms)
{
	ffl_dispatch_worker_t *w = g_hash_table_lookup(d->workers, id);
	bool left;

	if (!w)
		return;
	ffl_racks_invalidate(d);
	if (!w->listed) {
		remove_unused(d, w);
		return;
	}
	w->listed = false;
	left = has_left(d, w, list_followed_ms, now_ms);
	ffl_dispatch_note(d, "worker-gone", id,
			  "runs=%u draining=%d heard_ms=%" PRIu64
			  " silent_max_ms=%" PRIu64 " left=%d",
			  w->runs->len, w->entry.draining,
			  now_ms - w->listed_ms, now_ms - w->written_after_ms,
			  left);
	if (left)
		end_settled_runs(d, w, now_ms);
	remove_unused(d, w);
}
