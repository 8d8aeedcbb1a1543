#include <string.h>

#include "lib/node/node_int.h"

/** A read waits so long for a record: the age of what is known when idle. */
#define WAIT_MS 1000
/** Longest way, and work of a slow log, beyond the wait. */
#define READ_SLACK_MS 800
/** Workers report about every 1.5 s; the list is read as often as a change
 * of it must be seen, well within the time that a drain takes. */
#define WORKERS_POLL_MS 500
/** A host that does not lead gathers records for so long before it reads
 * again: half of the time between two heartbeats of a leader, whose silence
 * is noticed by so much later. A caller who looks at a job ends it. */
#define FOLLOW_GATHER_MS 200

typedef void (*apply_fn_t)(ffl_node_t *n, const ffl_store_record_t *rec);

static void apply_config(ffl_node_t *n, const ffl_store_record_t *rec);
static void apply_worker(ffl_node_t *n, const ffl_store_record_t *rec);
static void apply_job(ffl_node_t *n, const ffl_store_record_t *rec);
static void apply_run(ffl_node_t *n, const ffl_store_record_t *rec);
static bool wanted(const ffl_node_t *n, const ffl_tail_t *t);
static void ask_page(ffl_node_t *n, ffl_tail_t *t);
static void ask_read(ffl_node_t *n, ffl_tail_t *t);
static void take_page(ffl_node_t *n, ffl_tail_t *t,
		      const ffl_store_reply_t *reply);
static void take_read(ffl_node_t *n, ffl_tail_t *t,
		      const ffl_store_reply_t *reply, uint64_t sent_ms);
static void take_way(ffl_node_t *n, uint64_t sent_ms);
static void take_failure(ffl_node_t *n, ffl_tail_t *t,
			 const ffl_store_reply_t *reply);
static void finish_pages(ffl_node_t *n, ffl_tail_t *t);
static void drop_unlisted(ffl_node_t *n, ffl_tail_t *t);
static void pace(ffl_node_t *n, ffl_tail_t *t, uint32_t count);

static const apply_fn_t appliers[FFL_TOPIC__MAX] = {
	[FFL_TOPIC_CONFIG] = apply_config,
	[FFL_TOPIC_WORKERS] = apply_worker,
	[FFL_TOPIC_JOBS] = apply_job,
	[FFL_TOPIC_RUNS] = apply_run,
	[FFL_TOPIC_STATES] = ffl_publish_record,
};

void ffl_tails_init(ffl_node_t *n)
{
	for (uint32_t i = 0; i < FFL_TOPIC__MAX; i++) {
		n->tails[i].topic = (ffl_topic_t)i;
		n->tails[i].listed = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, NULL);
	}
}

void ffl_tails_finish(ffl_node_t *n)
{
	for (uint32_t i = 0; i < FFL_TOPIC__MAX; i++)
		g_hash_table_destroy(n->tails[i].listed);
}

void ffl_tail_restart(ffl_tail_t *t)
{
	t->synced = false;
	t->paging = false;
	t->next_known = false;
	t->call = 0;
	t->peek = 0;
	t->due_ms = 0;
	t->after[0] = '\0';
}

bool ffl_tail_fresh(const ffl_node_t *n, ffl_topic_t topic, uint32_t age_ms)
{
	const ffl_tail_t *t = &n->tails[topic];

	return t->synced && n->now_ms - t->fresh_ms <= age_ms;
}

/* A version never goes back, whatever is read again. */
static void apply_config(ffl_node_t *n, const ffl_store_record_t *rec)
{
	if (!rec->routes)
		return;
	if (n->has_routes && rec->routes->version <= n->routes.version)
		return;
	ffl_routes_finish(&n->routes);
	n->routes = *rec->routes;
	ffl_routes_init(rec->routes);
	n->has_routes = true;
	n->dispatch.guaranteed = n->routes.guaranteed;
	ffl_dispatch_request_placement(&n->dispatch);
	ffl_node_note(n, "config-in-force", n->opt.name,
		      "version=%" PRIu64 " routes=%u keys=%u",
		      n->routes.version, n->routes.routes->len,
		      g_hash_table_size(n->routes.keys));
}

static void apply_worker(ffl_node_t *n, const ffl_store_record_t *rec)
{
	ffl_tail_t *t = &n->tails[FFL_TOPIC_WORKERS];

	if (!rec->value.size_bytes) {
		ffl_dispatch_remove_worker(
			&n->dispatch, rec->key,
			t->well_ms ? n->now_ms - t->well_ms : 0, n->now_ms);
		return;
	}
	if (!rec->worker) {
		ffl_node_note(n, "worker-unreadable", rec->key, "bytes=%zu",
			      rec->value.size_bytes);
		return;
	}
	if (t->paging)
		g_hash_table_add(t->listed, g_strdup(rec->key));
	ffl_dispatch_update_worker(&n->dispatch, rec->worker, n->now_ms);
}

static void apply_job(ffl_node_t *n, const ffl_store_record_t *rec)
{
	const char *id = rec->key + 1;
	ffl_flow_spec_t spec;

	if (!rec->value.size_bytes) {
		if (rec->key[0] != KEY_SPEC)
			return;
		if (n->lead.leading)
			ffl_publish_drop(n, id);
		ffl_flows_remove(&n->flows, id);
		return;
	}
	if (rec->key[0] == KEY_CANCEL) {
		ffl_flows_cancel(&n->flows, id);
		ffl_dispatch_request_placement(&n->dispatch);
		return;
	}
	if (ffl_flow_spec_decode(rec->value, &spec) != FFL_OK) {
		ffl_node_note(n, "job-unreadable", rec->key, "offset=%" PRIu64,
			      rec->offset);
		return;
	}
	ffl_publish_settle(n, ffl_flows_add(&n->flows, &spec, rec->offset));
	ffl_dispatch_request_placement(&n->dispatch);
}

static void apply_run(ffl_node_t *n, const ffl_store_record_t *rec)
{
	if (strcmp(rec->key, KEY_LEAD) == 0) {
		ffl_lead_record(n, rec);
		return;
	}
	if (rec->key[0] != KEY_PROGRESS)
		return;
	if (!rec->value.size_bytes) {
		g_hash_table_remove(n->flows.early, rec->key + 1);
		return;
	}
	if (ffl_flows_progress(&n->flows, rec->key + 1, rec->value,
			       rec->offset) == FFL_INVALID)
		ffl_node_note(n, "progress-unreadable", rec->key,
			      "offset=%" PRIu64, rec->offset);
}

/* The leader knows the progress that it wrote, and a host that does not lead
 * needs none; only the leader needs the list of workers. */
static bool wanted(const ffl_node_t *n, const ffl_tail_t *t)
{
	if (t->topic == FFL_TOPIC_RUNS)
		return n->lead.loading && !n->lead.call && !n->lead.check;
	if (t->topic == FFL_TOPIC_WORKERS)
		return n->lead.leading;
	return true;
}

static void ask_page(ffl_node_t *n, ffl_tail_t *t)
{
	ffl_node_act_t *act = ffl_node_act(n, FFL_NODE_ACT_NEWEST);

	if (!t->paging) {
		t->paging = true;
		t->paged_ms = n->now_ms;
		t->after[0] = '\0';
		g_hash_table_remove_all(t->listed);
	}
	act->store.topic = t->topic;
	act->store.call = t->call = ffl_node_call(n);
	act->store.timeout_ms = READ_SLACK_MS;
	ffl_copy(act->store.after, sizeof(act->store.after), t->after);
	t->sent_ms = n->now_ms;
}

static void ask_read(ffl_node_t *n, ffl_tail_t *t)
{
	ffl_node_act_t *act = ffl_node_act(n, FFL_NODE_ACT_READ);

	act->store.topic = t->topic;
	act->store.call = t->call = ffl_node_call(n);
	act->store.from = t->next;
	act->store.wait_ms = t->topic == FFL_TOPIC_WORKERS ? 0 : WAIT_MS;
	act->store.timeout_ms = act->store.wait_ms + READ_SLACK_MS;
	t->sent_ms = n->now_ms;
}

void ffl_tail_peek(ffl_node_t *n, ffl_topic_t topic)
{
	ffl_tail_t *t = &n->tails[topic];
	ffl_node_act_t *act;

	if (!t->synced || t->peek)
		return;
	act = ffl_node_act(n, FFL_NODE_ACT_READ);
	act->store.topic = topic;
	act->store.call = t->peek = ffl_node_call(n);
	act->store.from = t->next;
	act->store.timeout_ms = READ_SLACK_MS;
	t->peek_ms = n->now_ms;
}

bool ffl_tail_current(const ffl_node_t *n, ffl_topic_t topic, uint64_t then_ms)
{
	const ffl_tail_t *t = &n->tails[topic];

	return (t->call && t->sent_ms <= then_ms) || t->failures ||
	       t->fresh_ms >= then_ms;
}

void ffl_tails_drive(ffl_node_t *n)
{
	for (uint32_t i = 0; i < FFL_TOPIC__MAX; i++) {
		ffl_tail_t *t = &n->tails[i];

		if (t->call || n->now_ms < t->due_ms || !wanted(n, t))
			continue;
		if (t->synced)
			ask_read(n, t);
		else
			ask_page(n, t);
	}
}

static void drop_unlisted(ffl_node_t *n, ffl_tail_t *t)
{
	GHashTableIter iter;
	gpointer key;
	GPtrArray *gone = g_ptr_array_new_with_free_func(g_free);

	g_hash_table_iter_init(&iter, n->dispatch.workers);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		if (!g_hash_table_contains(t->listed, key))
			g_ptr_array_add(gone, g_strdup(key));
	}
	for (guint i = 0; i < gone->len; i++)
		ffl_dispatch_remove_worker(
			&n->dispatch, g_ptr_array_index(gone, i), 0, n->now_ms);
	g_ptr_array_free(gone, TRUE);
}

static void finish_pages(ffl_node_t *n, ffl_tail_t *t)
{
	t->paging = false;
	t->synced = true;
	t->fresh_ms = MAX(t->fresh_ms, t->paged_ms);
	if (t->topic == FFL_TOPIC_WORKERS)
		drop_unlisted(n, t);
	if (t->topic == FFL_TOPIC_STATES && !n->lead.seen_ms)
		n->lead.seen_ms = n->now_ms;
	ffl_node_note(n, "topic-synced", ffl_topic_name(t->topic),
		      "next=%" PRIu64, t->next);
}

/* Pages are no snapshot: reading goes on from the end that the first page
 * told, so that what changed meanwhile is seen again. Yet all that was written
 * before the first was asked for is known after the last. */
static void take_page(ffl_node_t *n, ffl_tail_t *t,
		      const ffl_store_reply_t *reply)
{
	if (!t->next_known) {
		t->next = reply->end;
		t->next_known = true;
	}
	t->changed_ms = n->now_ms;
	for (uint32_t i = 0; i < reply->count; i++)
		appliers[t->topic](n, &reply->records[i]);
	if (reply->more && reply->count) {
		ffl_copy(t->after, sizeof(t->after),
			 reply->records[reply->count - 1].key);
		return;
	}
	finish_pages(n, t);
}

static void pace(ffl_node_t *n, ffl_tail_t *t, uint32_t count)
{
	if (t->topic == FFL_TOPIC_WORKERS)
		t->due_ms = n->now_ms + WORKERS_POLL_MS;
	else if (count && t->topic == FFL_TOPIC_STATES)
		t->due_ms = n->now_ms + FOLLOW_GATHER_MS;
	else if (count && !n->lead.leading && t->topic == FFL_TOPIC_JOBS)
		t->due_ms = n->now_ms + FOLLOW_GATHER_MS;
}

/* Of calls that do not wait for records, the shortest. */
static void take_way(ffl_node_t *n, uint64_t sent_ms)
{
	uint32_t took_ms = (uint32_t)(n->now_ms - sent_ms);

	if (!n->lead.way_ms || took_ms < n->lead.way_ms)
		n->lead.way_ms = MAX(took_ms, 1);
}

static void take_read(ffl_node_t *n, ffl_tail_t *t,
		      const ffl_store_reply_t *reply, uint64_t sent_ms)
{
	for (uint32_t i = 0; i < reply->count; i++) {
		const ffl_store_record_t *rec = &reply->records[i];

		if (rec->offset < t->next)
			continue;
		appliers[t->topic](n, rec);
		t->changed_ms = n->now_ms;
		t->next = rec->offset + 1;
	}
	if (t->next >= reply->end)
		t->fresh_ms = MAX(t->fresh_ms, sent_ms);
}

static void take_failure(ffl_node_t *n, ffl_tail_t *t,
			 const ffl_store_reply_t *reply)
{
	if (reply->outcome == FFL_STORE_EXPIRED) {
		ffl_node_note(n, "topic-expired", ffl_topic_name(t->topic),
			      "next=%" PRIu64 " first=%" PRIu64, t->next,
			      reply->first);
		ffl_tail_restart(t);
		return;
	}
	if (!t->failures)
		t->failed_ms = n->now_ms;
	if (!t->failures++)
		ffl_node_note(n, "store-lost", ffl_topic_name(t->topic),
			      "outcome=%s",
			      ffl_store_outcome_name(reply->outcome));
	t->well_ms = 0;
	t->due_ms = n->now_ms + ffl_node_backoff(n, t->failures);
}

bool ffl_tails_take(ffl_node_t *n, const ffl_store_reply_t *reply)
{
	for (uint32_t i = 0; i < FFL_TOPIC__MAX; i++) {
		ffl_tail_t *t = &n->tails[i];

		if (t->peek && reply->call == t->peek) {
			t->peek = 0;
			if (reply->outcome != FFL_STORE_OK)
				return true;
			take_way(n, t->peek_ms);
			take_read(n, t, reply, t->peek_ms);
			return true;
		}
		if (!t->call || reply->call != t->call)
			continue;
		t->call = 0;
		if (reply->outcome != FFL_STORE_OK) {
			take_failure(n, t, reply);
			return true;
		}
		if (t->failures)
			ffl_node_note(n, "store-regained",
				      ffl_topic_name(t->topic), "failures=%u",
				      t->failures);
		t->failures = 0;
		if (!t->well_ms)
			t->well_ms = t->sent_ms;
		if (!t->synced) {
			take_way(n, t->sent_ms);
			take_page(n, t, reply);
			return true;
		}
		take_read(n, t, reply, t->sent_ms);
		pace(n, t, reply->count);
		return true;
	}
	return false;
}
