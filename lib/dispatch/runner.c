#include <string.h>

#include "lib/dispatch/dispatch_int.h"

/** Failures in a row, of two flows or more, that quarantine a worker. */
#define FAILS_MAX 2
/** A quarantined worker is tried again after this; as long as the shortest
 * failures of a kind that ends by itself last. */
#define QUARANTINE_MS 4000
/** An answer of a list is a clock only where none is fresher than this. */
#define CLOCK_FRESH_MS 5000
/** An entry goes after so many heartbeats of silence. */
#define SILENCE_BEATS 3
/** Slack of timers and of the way, when leases are waited out. */
#define EXPIRE_SLACK_MS 150

static bool has_left(const ffl_dispatch_t *d, const ffl_dispatch_worker_t *r,
		     uint64_t followed_ms, uint64_t now_ms);

ffl_dispatch_worker_t *ffl_runner_get(ffl_dispatch_t *d, const char *id)
{
	ffl_dispatch_worker_t *r = g_hash_table_lookup(d->workers, id);

	if (r)
		return r;
	r = g_new0(ffl_dispatch_worker_t, 1);
	ffl_racks_forget(d);
	ffl_copy(r->entry.id, sizeof(r->entry.id), id);
	r->runs = g_ptr_array_new();
	r->limit_percent = PERCENT;
	g_hash_table_insert(d->workers, r->entry.id, r);
	return r;
}

void ffl_runner_free_data(void *data)
{
	ffl_dispatch_worker_t *r = data;

	g_ptr_array_free(r->runs, TRUE);
	g_free(r);
}

bool ffl_room_fits(const ffl_resources_t *free, const ffl_resources_t *need)
{
	return free->cpu_milli >= need->cpu_milli &&
	       free->mem_mb >= need->mem_mb && free->gpus >= need->gpus;
}

void ffl_room_add(ffl_resources_t *to, const ffl_resources_t *room)
{
	to->cpu_milli += room->cpu_milli;
	to->mem_mb += room->mem_mb;
	to->gpus += room->gpus;
}

void ffl_room_take(ffl_resources_t *from, const ffl_resources_t *room)
{
	from->cpu_milli -= MIN(from->cpu_milli, room->cpu_milli);
	from->mem_mb -= MIN(from->mem_mb, room->mem_mb);
	from->gpus -= MIN(from->gpus, room->gpus);
}

ffl_resources_t ffl_runner_free(const ffl_dispatch_worker_t *r)
{
	ffl_resources_t free = r->entry.capacity;

	ffl_room_take(&free, &r->used);
	return free;
}

void ffl_runner_clock(ffl_dispatch_worker_t *r, uint64_t clock_ms,
		      uint64_t now_ms)
{
	if (!clock_ms)
		return;
	r->clock_ms = clock_ms;
	r->clock_read_ms = now_ms;
}

uint64_t ffl_runner_lease(const ffl_dispatch_t *d, ffl_dispatch_worker_t *r,
			  uint64_t now_ms)
{
	uint64_t lease_ms =
		(uint64_t)d->opt.lease_max_ms * LEASE_PERCENT / PERCENT;
	uint64_t ahead_ms;
	uint64_t end_ms;

	if (!r->clock_read_ms)
		return 0;
	ahead_ms = now_ms - r->clock_read_ms + lease_ms;
	end_ms = r->clock_read_ms + ahead_ms * PERCENT / CLOCK_SLOW_PERCENT +
		 EXPIRE_SLACK_MS;
	r->leases_end_ms = MAX(r->leases_end_ms, end_ms);
	return r->clock_ms + ahead_ms;
}

void ffl_runner_good(ffl_dispatch_worker_t *r)
{
	r->fail_streak = 0;
	r->has_succeeded = true;
	r->quarantined_until_ms = 0;
}

void ffl_runner_bad(ffl_dispatch_t *d, ffl_dispatch_worker_t *r,
		    const ffl_flow_t *flow, uint64_t now_ms)
{
	r->has_succeeded = false;
	if (r->fail_streak && r->fail_flow == flow)
		return;
	r->fail_streak++;
	r->fail_flow = flow;
	if (r->fail_streak < FAILS_MAX)
		return;
	r->quarantined_until_ms = now_ms + QUARANTINE_MS;
	ffl_dispatch_note(d, "worker-quarantined", r->entry.id,
			  "failures=%u for_ms=%d", r->fail_streak,
			  QUARANTINE_MS);
}

/* Nothing of an earlier incarnation runs or is listed any more. An order
 * that is still on its way may reach the new one under the same name: the
 * run is stopped there before the task is placed again. */
void ffl_runner_lost(ffl_dispatch_t *d, ffl_dispatch_worker_t *r, bool same_id,
		     uint64_t now_ms)
{
	for (guint i = r->runs->len; i-- > 0;) {
		ffl_run_t *run;

		if (i >= r->runs->len)
			continue;
		run = g_ptr_array_index(r->runs, i);
		if (same_id && (run->call || run->start_in_doubt)) {
			run->state = FFL_RUN_SENT;
			run->stop_accepted_ms = 0;
			ffl_run_stop(d, run, "restarted");
		} else {
			ffl_run_end(d, run, FFL_RUN_END_LEASE_EXPIRED, NULL,
				    now_ms);
		}
	}
	r->end_seen = 0;
	r->acked = 0;
	r->acked_sent = 0;
	r->ack_batch = 0;
	r->clock_read_ms = 0;
	r->leases_end_ms = r->runs->len
				   ? now_ms + d->opt.lease_max_ms * PERCENT /
						      CLOCK_SLOW_PERCENT
				   : 0;
	r->missed_renewals = 0;
	r->fail_streak = 0;
	r->has_succeeded = false;
}

void ffl_dispatch_update_worker(ffl_dispatch_t *d,
				const ffl_worker_entry_t *entry,
				uint64_t now_ms)
{
	ffl_dispatch_worker_t *r = ffl_runner_get(d, entry->id);

	if (r->entry.born_ms && r->entry.born_ms != entry->born_ms) {
		if (entry->born_ms < r->entry.born_ms)
			return;
		ffl_dispatch_note(d, "worker-restarted", entry->id, "runs=%u",
				  r->runs->len);
		ffl_runner_lost(d, r, true, now_ms);
	}
	if (entry->draining && !r->entry.draining)
		ffl_dispatch_note(d, "worker-draining", entry->id, "runs=%u",
				  r->runs->len);
	if (!r->listed || strcmp(r->entry.rack, entry->rack) != 0)
		ffl_racks_forget(d);
	r->entry = *entry;
	r->listed = true;
	r->listed_ms = now_ms;
	if (!r->clock_read_ms || now_ms - r->clock_read_ms > CLOCK_FRESH_MS)
		ffl_runner_clock(r, entry->clock_ms, now_ms);
	d->replan = true;
}

/* An entry goes when its worker has left, or after three heartbeats of
 * silence. One that was draining and was heard shortly before has left, and
 * nothing runs there any more. */
static bool has_left(const ffl_dispatch_t *d, const ffl_dispatch_worker_t *r,
		     uint64_t followed_ms, uint64_t now_ms)
{
	uint64_t silence_ms = (uint64_t)d->opt.heartbeat_ms * SILENCE_BEATS;

	return r->entry.draining && followed_ms > silence_ms &&
	       now_ms - r->listed_ms <
		       (uint64_t)d->opt.heartbeat_ms * (SILENCE_BEATS - 1);
}

void ffl_dispatch_remove_worker(ffl_dispatch_t *d, const char *id,
				uint64_t followed_ms, uint64_t now_ms)
{
	ffl_dispatch_worker_t *r = g_hash_table_lookup(d->workers, id);
	bool left;

	if (!r)
		return;
	ffl_racks_forget(d);
	if (!r->listed) {
		if (!r->runs->len && !r->calls)
			g_hash_table_remove(d->workers, id);
		return;
	}
	r->listed = false;
	left = has_left(d, r, followed_ms, now_ms);
	ffl_dispatch_note(d, "worker-gone", id,
			  "runs=%u draining=%d heard_ms=%" PRIu64 " left=%d",
			  r->runs->len, r->entry.draining,
			  now_ms - r->listed_ms, left);
	if (left)
		ffl_runner_lost(d, r, false, now_ms);
	if (!r->runs->len && !r->calls)
		g_hash_table_remove(d->workers, id);
}

void ffl_dispatch_unlist_all(ffl_dispatch_t *d)
{
	GHashTableIter iter;
	gpointer value;

	ffl_racks_forget(d);
	g_hash_table_iter_init(&iter, d->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((ffl_dispatch_worker_t *)value)->listed = false;
}
