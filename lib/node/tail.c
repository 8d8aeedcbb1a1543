#include <string.h>

#include "lib/node/node_int.h"

/** How long a read waits at the log for a new record; on an idle topic also
 * the age that the host's knowledge reaches between two reads. */
#define READ_WAIT_MS 1000
/** Part of a read's timeout beyond its wait: the longest round trip and the
 * processing time of a slow log. */
#define READ_SLACK_MS 800
/** Interval between reads of the list of workers. Workers report about every
 * 1.5 s; a change of the list must be seen well within the duration of a
 * drain. */
#define WORKERS_POLL_MS 500
/** A host that does not lead lets records accumulate for this long before it
 * reads again. Half of the interval between a leader's heartbeats, as a
 * leader's silence is noticed this much later. A query for a job does not wait
 * for it: it reads at once (ffl_tail_peek()). */
#define FOLLOWER_GATHER_MS 200
/** Most that a host which is late in the line to lead lets the states gather.
 * Once a leader seems silent it asks for itself; the number of jobs that wait
 * and an outlook may be 2 s old. */
#define FOLLOWER_GATHER_MAX_MS 1000
/** For each millisecond that it would wait before a claim, a host lets the
 * states gather this much longer. */
#define GATHER_PER_CLAIM_WAIT 2
/** The same for each of several partitions of jobs, so that they cost no more
 * reads than one. The number of jobs that wait may be 2 s old. */
#define FOLLOWER_GATHER_PART_MS 1500
/** How long a host that does not lead waits for a record in the further
 * partitions of jobs: with the slack, a connection that went silent leaves
 * their waiting jobs uncounted for less than 5 s. */
#define FOLLOWER_READ_WAIT_MS 3000

/** Shortest interval between two probes of all partitions after failures, so
 * that a log that refuses calls gets few more of them. */
#define PROBE_MIN_MS 1000

typedef void (*apply_fn_t)(ffl_node_t *n, ffl_tail_t *t,
			   const ffl_store_record_t *rec);

static void apply_config(ffl_node_t *n, ffl_tail_t *t,
			 const ffl_store_record_t *rec);
static void apply_worker(ffl_node_t *n, ffl_tail_t *t,
			 const ffl_store_record_t *rec);
static void apply_run(ffl_node_t *n, ffl_tail_t *t,
		      const ffl_store_record_t *rec);
static bool is_topic_needed(const ffl_node_t *n, const ffl_tail_t *t);
static void send_page_read(ffl_node_t *n, ffl_tail_t *t);
static void send_read(ffl_node_t *n, ffl_tail_t *t);
static void handle_page(ffl_node_t *n, ffl_tail_t *t,
			const ffl_store_reply_t *reply);
static void handle_read(ffl_node_t *n, ffl_tail_t *t,
			const ffl_store_reply_t *reply, uint64_t sent_ms);
static void record_rtt(ffl_node_t *n, uint64_t sent_ms);
static void record_delay(ffl_node_t *n, const ffl_tail_t *t);
static void handle_failure(ffl_node_t *n, ffl_tail_t *t,
			   const ffl_store_reply_t *reply);
static void finish_pages(ffl_node_t *n, ffl_tail_t *t, bool all);
static uint32_t apply_routes(ffl_node_t *n);
static void note_moved(ffl_node_t *n, const ffl_flow_t *flow);
static void drop_unlisted(ffl_node_t *n, ffl_tail_t *t);
static bool follows_jobs(const ffl_node_t *n, const ffl_tail_t *t);
static uint32_t read_wait_ms(const ffl_node_t *n, const ffl_tail_t *t);
static uint32_t states_gather_ms(const ffl_node_t *n);
static void schedule_next_read(ffl_node_t *n, ffl_tail_t *t, uint32_t count);

static const apply_fn_t appliers[FFL_TOPIC__MAX] = {
	[FFL_TOPIC_CONFIG] = apply_config,
	[FFL_TOPIC_WORKERS] = apply_worker,
	[FFL_TOPIC_JOBS] = ffl_jobs_apply_record,
	[FFL_TOPIC_RUNS] = apply_run,
	[FFL_TOPIC_STATES] = ffl_publish_apply_record,
};

void ffl_tails_init(ffl_node_t *n)
{
	for (uint32_t i = 0; i < FFL_TAILS_MAX; i++) {
		bool is_further = i >= FFL_TOPIC__MAX;

		n->tails[i].topic =
			is_further ? FFL_TOPIC_JOBS : (ffl_topic_t)i;
		n->tails[i].part = is_further ? i - FFL_TOPIC__MAX + 1 : 0;
		n->tails[i].paged_keys = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, NULL);
	}
}

void ffl_tails_finish(ffl_node_t *n)
{
	for (uint32_t i = 0; i < FFL_TAILS_MAX; i++)
		g_hash_table_destroy(n->tails[i].paged_keys);
}

void ffl_tail_restart(ffl_tail_t *t)
{
	t->synced = false;
	t->paging = false;
	t->next_known = false;
	t->call = 0;
	t->peek_call = 0;
	t->due_ms = 0;
	t->after_key[0] = '\0';
}

bool ffl_tail_is_caught_up(const ffl_node_t *n, ffl_topic_t topic,
			   uint32_t age_ms)
{
	const ffl_tail_t *t = &n->tails[topic];

	return t->synced && n->now_ms - t->caught_up_ms <= age_ms;
}

/* A job that is on the log goes by what the configuration in force says of its
 * queue. A queue that is gone leaves its jobs as they are. */
bool ffl_node_apply_route(ffl_node_t *n, ffl_flow_t *flow)
{
	const ffl_route_t *route =
		n->has_routes ? ffl_routes_find(&n->routes, flow->spec.queue)
			      : NULL;
	bool moved = route && strcmp(flow->spec.service, route->service) != 0;

	if (route)
		ffl_flow_spec_set_route(&flow->spec, route);
	return moved && !ffl_flow_ended(flow);
}

static uint32_t apply_routes(ffl_node_t *n)
{
	uint32_t moved = 0;
	GHashTableIter iter;
	gpointer flow;

	g_hash_table_iter_init(&iter, n->flows.by_id);
	while (g_hash_table_iter_next(&iter, NULL, &flow)) {
		if (!ffl_node_apply_route(n, flow))
			continue;
		moved++;
		if (n->lead.leading)
			note_moved(n, flow);
	}
	return moved;
}

/* Only the leader tells of each job. */
static void note_moved(ffl_node_t *n, const ffl_flow_t *flow)
{
	ffl_node_note(n, "job-moved", flow->spec.id,
		      "queue=%s service=%s version=%" PRIu64 " placed=%u",
		      flow->spec.queue, flow->spec.service, n->routes.version,
		      flow->placed_count);
}

/* Old versions come again where a topic is read anew; the version in force
 * never decreases. */
static void apply_config(ffl_node_t *n, ffl_tail_t *t,
			 const ffl_store_record_t *rec)
{
	uint32_t moved;

	if (rec->evacuated_dc) {
		ffl_evacuations_apply_record(n, rec);
		return;
	}
	if (!rec->routes) {
		/* The topic has records of other keys, too. */
		if (rec->problem)
			ffl_node_note(n, "config-unreadable", rec->key,
				      "problem=%s offset=%" PRIu64 " bytes=%zu",
				      rec->problem, rec->offset,
				      rec->value.size_bytes);
		return;
	}
	if (n->has_routes && rec->routes->version <= n->routes.version)
		return;
	ffl_routes_finish(&n->routes);
	n->routes = *rec->routes;
	ffl_routes_init(rec->routes);
	n->has_routes = true;
	n->dispatch.guaranteed = n->routes.guaranteed;
	moved = apply_routes(n);
	ffl_dispatch_update_queues(&n->dispatch);
	ffl_node_note(n, "config-in-force", n->opt.name,
		      "version=%" PRIu64 " routes=%u keys=%u moved=%u",
		      n->routes.version, n->routes.routes->len,
		      g_hash_table_size(n->routes.keys), moved);
}

static void apply_worker(ffl_node_t *n, ffl_tail_t *t,
			 const ffl_store_record_t *rec)
{
	if (!rec->value.size_bytes) {
		ffl_dispatch_remove_worker(
			&n->dispatch, rec->key,
			t->healthy_since_ms ? n->now_ms - t->healthy_since_ms
					    : 0,
			n->now_ms);
		return;
	}
	if (!rec->worker) {
		ffl_node_note(n, "worker-unreadable", rec->key,
			      "problem=%s bytes=%zu",
			      rec->problem ? rec->problem : "-",
			      rec->value.size_bytes);
		return;
	}
	if (t->paging)
		g_hash_table_add(t->paged_keys, g_strdup(rec->key));
	/* Whatever a read brings was written after the topic had last been read
	 * to its end. */
	ffl_dispatch_update_worker(&n->dispatch, rec->worker,
				   t->paging ? 0 : t->caught_up_ms, n->now_ms);
}

static void apply_run(ffl_node_t *n, ffl_tail_t *t,
		      const ffl_store_record_t *rec)
{
	if (strcmp(rec->key, KEY_LEAD) == 0) {
		ffl_lead_apply_record(n, rec);
		return;
	}
	if (rec->key[0] != KEY_PROGRESS)
		return;
	if (!rec->value.size_bytes) {
		g_hash_table_remove(n->flows.early_progress, rec->key + 1);
		return;
	}
	if (ffl_flows_apply_progress(&n->flows, rec->key + 1, rec->value,
				     rec->offset) == FFL_INVALID)
		ffl_node_note(n, "progress-unreadable", rec->key,
			      "offset=%" PRIu64, rec->offset);
}

/* The topic of runs is read only to prepare a claim: the leader wrote the
 * progress itself, and other hosts do not need it. Only the leader needs the
 * list of workers. */
static bool is_topic_needed(const ffl_node_t *n, const ffl_tail_t *t)
{
	if (t->topic == FFL_TOPIC_RUNS)
		return n->lead.loading && !n->lead.call && !n->lead.check_call;
	if (t->topic == FFL_TOPIC_WORKERS)
		return n->lead.leading;
	return t->part < n->jobs_read;
}

static void send_page_read(ffl_node_t *n, ffl_tail_t *t)
{
	ffl_node_act_t *act = ffl_node_add_act(n, FFL_NODE_ACT_NEWEST);

	if (!t->paging) {
		t->paging = true;
		t->paging_since_ms = n->now_ms;
		t->paged_records = 0;
		t->paged_bytes = 0;
		t->after_key[0] = '\0';
		g_hash_table_remove_all(t->paged_keys);
		/* The pages bring again what is still in the log. */
		if (t->topic == FFL_TOPIC_JOBS)
			ffl_jobs_begin_pages(n, t->part);
		if (t->topic == FFL_TOPIC_STATES)
			g_hash_table_remove_all(n->flows.early_states);
	}
	act->store.topic = t->topic;
	act->store.part = t->part;
	act->store.call = t->call = ffl_node_next_call(n);
	act->store.timeout_ms = READ_SLACK_MS;
	ffl_copy(act->store.after_key, sizeof(act->store.after_key),
		 t->after_key);
	t->sent_ms = n->now_ms;
}

/* A host that does not lead reads jobs only to answer requests, which peek. */
static bool follows_jobs(const ffl_node_t *n, const ffl_tail_t *t)
{
	return t->topic == FFL_TOPIC_JOBS && !n->lead.leading &&
	       !n->lead.loading;
}

/* The read of partition 0 also shows whether the log is there. After a failure,
 * whether the log is back matters most. */
static uint32_t read_wait_ms(const ffl_node_t *n, const ffl_tail_t *t)
{
	if (t->topic == FFL_TOPIC_WORKERS || t->failures || t->probing)
		return 0;
	if (t->topic == FFL_TOPIC_CONFIG)
		return ffl_evacuations_wait_ms(n, READ_WAIT_MS);
	return t->part && follows_jobs(n, t) ? FOLLOWER_READ_WAIT_MS
					     : READ_WAIT_MS;
}

static void send_read(ffl_node_t *n, ffl_tail_t *t)
{
	ffl_node_act_t *act = ffl_node_add_act(n, FFL_NODE_ACT_READ);

	act->store.topic = t->topic;
	act->store.part = t->part;
	act->store.call = t->call = ffl_node_next_call(n);
	act->store.from = t->next;
	act->store.wait_ms = read_wait_ms(n, t);
	t->probing = false;
	act->store.timeout_ms = act->store.wait_ms + READ_SLACK_MS;
	t->sent_ms = n->now_ms;
}

void ffl_tail_peek(ffl_node_t *n, ffl_tail_t *t)
{
	ffl_node_act_t *act;

	if (!t->synced || t->peek_call)
		return;
	act = ffl_node_add_act(n, FFL_NODE_ACT_READ);
	act->store.topic = t->topic;
	act->store.part = t->part;
	act->store.call = t->peek_call = ffl_node_next_call(n);
	act->store.from = t->next;
	act->store.timeout_ms = READ_SLACK_MS;
	t->peek_sent_ms = n->now_ms;
}

bool ffl_tail_is_current(const ffl_node_t *n, ffl_topic_t topic,
			 uint64_t then_ms)
{
	const ffl_tail_t *t = &n->tails[topic];

	return (t->call && t->sent_ms <= then_ms) || t->failures ||
	       t->caught_up_ms >= then_ms;
}

/* With one partition the read that waits is as short as the leader's. */
void ffl_tails_probe_jobs(ffl_node_t *n)
{
	if (n->jobs_read == 1)
		return;
	n->jobs_probed_ms = n->now_ms;
	for (uint32_t i = 0; i < n->jobs_read; i++) {
		ffl_tail_t *t = ffl_node_jobs_tail(n, i);

		if (!t->synced || t->failures)
			continue;
		t->call = 0;
		t->due_ms = n->now_ms;
		t->probing = true;
	}
}

void ffl_tails_drive(ffl_node_t *n)
{
	for (uint32_t i = 0; i < FFL_TAILS_MAX; i++) {
		ffl_tail_t *t = &n->tails[i];

		if (t->call || n->now_ms < t->due_ms || !is_topic_needed(n, t))
			continue;
		if (t->synced)
			send_read(n, t);
		else
			send_page_read(n, t);
	}
}

static void drop_unlisted(ffl_node_t *n, ffl_tail_t *t)
{
	GHashTableIter iter;
	gpointer key;
	GPtrArray *gone = g_ptr_array_new_with_free_func(g_free);

	g_hash_table_iter_init(&iter, n->dispatch.workers);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		if (!g_hash_table_contains(t->paged_keys, key))
			g_ptr_array_add(gone, g_strdup(key));
	}
	for (guint i = 0; i < gone->len; i++)
		ffl_dispatch_remove_worker(
			&n->dispatch, g_ptr_array_index(gone, i), 0, n->now_ms);
	g_ptr_array_free(gone, TRUE);
}

/* Without all pages, nothing is known of what they did not list. */
static void finish_pages(ffl_node_t *n, ffl_tail_t *t, bool all)
{
	t->paging = false;
	t->synced = true;
	t->was_synced = true;
	t->caught_up_ms = MAX(t->caught_up_ms, t->paging_since_ms);
	if (t->topic == FFL_TOPIC_WORKERS && all)
		drop_unlisted(n, t);
	if (t->topic == FFL_TOPIC_CONFIG && all)
		ffl_evacuations_drop_unlisted(n);
	if (t->topic == FFL_TOPIC_JOBS && all) {
		ffl_jobs_drop_unlisted(n, t);
		g_hash_table_remove_all(t->paged_keys);
	}
	if (t->topic == FFL_TOPIC_STATES && !n->lead.holder_seen_ms)
		n->lead.holder_seen_ms = n->now_ms;
	ffl_node_note(n, "topic-synced", ffl_topic_name(t->topic),
		      "part=%u next=%" PRIu64
		      " all=%d records=%u bytes=%" PRIu64 " took_ms=%" PRIu64,
		      t->part, t->next, all, t->paged_records, t->paged_bytes,
		      n->now_ms - t->paging_since_ms);
}

/* The pages together are not a snapshot. Reading therefore goes on from the
 * end of the topic that the first page reported, which repeats what changed
 * during paging. After the last page, everything written before the first was
 * requested is known. */
static void handle_page(ffl_node_t *n, ffl_tail_t *t,
			const ffl_store_reply_t *reply)
{
	if (!t->next_known) {
		t->next = reply->end;
		t->next_known = true;
	}
	t->last_record_ms = n->now_ms;
	t->paged_records += reply->count;
	for (uint32_t i = 0; i < reply->count; i++) {
		t->paged_bytes += reply->records[i].value.size_bytes;
		appliers[t->topic](n, t, &reply->records[i]);
	}
	if (reply->more && reply->last_key &&
	    strcmp(reply->last_key, t->after_key) != 0 &&
	    ffl_copy(t->after_key, sizeof(t->after_key), reply->last_key))
		return;
	finish_pages(n, t, !reply->more);
}

/* A leader may be asked to resign there. */
static uint32_t states_gather_ms(const ffl_node_t *n)
{
	if (n->lead.leading || n->lead.loading)
		return FOLLOWER_GATHER_MS;
	return MIN(FOLLOWER_GATHER_MS +
			   GATHER_PER_CLAIM_WAIT * ffl_claim_wait_ms(n),
		   FOLLOWER_GATHER_MAX_MS);
}

static void schedule_next_read(ffl_node_t *n, ffl_tail_t *t, uint32_t count)
{
	if (t->topic == FFL_TOPIC_WORKERS)
		t->due_ms = n->now_ms + WORKERS_POLL_MS;
	else if (count && t->topic == FFL_TOPIC_STATES)
		t->due_ms = n->now_ms + states_gather_ms(n);
	else if (count && follows_jobs(n, t))
		t->due_ms =
			n->now_ms + (n->jobs_parts > 1 ? FOLLOWER_GATHER_PART_MS
						       : FOLLOWER_GATHER_MS);
}

/* Records the shortest round trip to the log, over calls that do not wait for
 * records. */
static void record_rtt(ffl_node_t *n, uint64_t sent_ms)
{
	uint32_t took_ms = (uint32_t)(n->now_ms - sent_ms);

	if (!n->lead.min_rtt_ms || took_ms < n->lead.min_rtt_ms)
		n->lead.min_rtt_ms = MAX(took_ms, 1);
}

/* Records by how much the log is slower than usual, from reads of the topic on
 * which a leader's signs of life come. */
static void record_delay(ffl_node_t *n, const ffl_tail_t *t)
{
	uint32_t took_ms = (uint32_t)(n->now_ms - t->peek_sent_ms);

	if (t->topic == FFL_TOPIC_STATES)
		n->lead.silence.delay_ms =
			took_ms - MIN(took_ms, n->lead.min_rtt_ms);
}

static void handle_read(ffl_node_t *n, ffl_tail_t *t,
			const ffl_store_reply_t *reply, uint64_t sent_ms)
{
	for (uint32_t i = 0; i < reply->count; i++) {
		const ffl_store_record_t *rec = &reply->records[i];

		if (rec->offset < t->next)
			continue;
		appliers[t->topic](n, t, rec);
		t->last_record_ms = n->now_ms;
		t->next = rec->offset + 1;
	}
	if (t->next >= reply->end)
		t->caught_up_ms = MAX(t->caught_up_ms, sent_ms);
}

static void handle_failure(ffl_node_t *n, ffl_tail_t *t,
			   const ffl_store_reply_t *reply)
{
	if (reply->outcome == FFL_STORE_EXPIRED) {
		ffl_node_note(n, "topic-expired", ffl_topic_name(t->topic),
			      "part=%u next=%" PRIu64 " first=%" PRIu64,
			      t->part, t->next, reply->first);
		ffl_tail_restart(t);
		return;
	}
	if (!t->failures)
		t->failing_since_ms = n->now_ms;
	/* Whether the other partitions are there must not take their reads'
	 * long wait to find out. */
	if (!t->failures++ && t->topic == FFL_TOPIC_JOBS &&
	    n->now_ms - n->jobs_probed_ms >= PROBE_MIN_MS)
		ffl_tails_probe_jobs(n);
	if (t->failures == 1)
		ffl_node_note(n, "store-lost", ffl_topic_name(t->topic),
			      "part=%u outcome=%s", t->part,
			      ffl_store_outcome_name(reply->outcome));
	t->healthy_since_ms = 0;
	t->due_ms = n->now_ms + ffl_node_backoff_ms(n, t->failures);
}

void ffl_tails_log_answered(ffl_node_t *n)
{
	for (uint32_t i = 0; i < FFL_TAILS_MAX; i++) {
		ffl_tail_t *t = &n->tails[i];

		if (t->failures)
			t->due_ms = MIN(t->due_ms, n->now_ms);
	}
}

bool ffl_tails_handle_reply(ffl_node_t *n, const ffl_store_reply_t *reply)
{
	for (uint32_t i = 0; i < FFL_TAILS_MAX; i++) {
		ffl_tail_t *t = &n->tails[i];

		if (t->peek_call && reply->call == t->peek_call) {
			t->peek_call = 0;
			if (reply->outcome != FFL_STORE_OK)
				return true;
			ffl_tails_log_answered(n);
			record_rtt(n, t->peek_sent_ms);
			record_delay(n, t);
			handle_read(n, t, reply, t->peek_sent_ms);
			return true;
		}
		if (!t->call || reply->call != t->call)
			continue;
		t->call = 0;
		if (reply->outcome != FFL_STORE_OK) {
			handle_failure(n, t, reply);
			return true;
		}
		if (t->failures) {
			ffl_node_note(
				n, "store-regained", ffl_topic_name(t->topic),
				"part=%u failures=%u", t->part, t->failures);
			ffl_tails_log_answered(n);
		}
		t->failures = 0;
		if (!t->healthy_since_ms)
			t->healthy_since_ms = t->sent_ms;
		if (!t->synced) {
			record_rtt(n, t->sent_ms);
			handle_page(n, t, reply);
			return true;
		}
		handle_read(n, t, reply, t->sent_ms);
		schedule_next_read(n, t, reply->count);
		return true;
	}
	return false;
}
