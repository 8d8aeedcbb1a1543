#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fakes/site_int.h"

/** One-way delay to the log. */
#define LOG_MS 4
/** Longest wait of an append in the queue of its topic; else it is refused. */
#define APPEND_WAIT_MS	 2000
#define WORKER_MS	 3    /* one-way delay */
#define SITE_REPORT_MS	 1500 /* between reports of a worker */
#define TICK_MS		 50
#define PAGE_RECORDS_MAX 4
/** Longer than any run: the oracle queries all jobs at the end. */
#define KEEP_ENDED_MS 3600000
#define PERCENT	      100
/** Usual times of the adviser, for a call and for each worker named, and
 * validity of its tickets. */
#define ADVICE_MS	30
#define ADVICE_EACH_MS	2
#define TICKET_VALID_MS 3000
/** Runs of a task that may fail, by the configuration, and one more. */
#define RUNS_MAX 3

typedef void (*event_fn_t)(site_t *s, site_event_t *e);

static void on_store(site_t *s, site_event_t *e);
static void on_store_back(site_t *s, site_event_t *e);
static void on_timeout(site_t *s, site_event_t *e);
static gint compare_due(gconstpointer a, gconstpointer b, gpointer user);
static void send_act(site_t *s, uint32_t host, const ffl_node_act_t *act);
static void record_response(site_t *s, const ffl_act_response_t *response);
static void boot_host(site_t *s, uint32_t host);
static void read_config(const ffl_store_record_t *rec, ffl_route_t *out);
static void decode_records(site_t *s, ffl_topic_t topic,
			   ffl_store_reply_t *reply);
static void serve_store(site_t *s, site_event_t *e, site_event_t *reply_event);
static bool queue_append(site_t *s, const site_event_t *e);
static uint32_t log_index(const site_event_t *e);

static const event_fn_t handlers[EVENT__MAX] = {
	[EVENT_STORE] = on_store,	    [EVENT_STORE_BACK] = on_store_back,
	[EVENT_WORKER] = site_handle_order, [EVENT_WORKER_BACK] = on_store_back,
	[EVENT_TIMEOUT] = on_timeout,
};

site_event_t *site_event_new(site_event_kind_t kind, uint64_t due_ms,
			     uint32_t host, uint64_t incarnation)
{
	site_event_t *e = g_new0(site_event_t, 1);

	e->kind = kind;
	e->due_ms = due_ms;
	e->host = host;
	e->incarnation = incarnation;
	return e;
}

void site_event_free(site_event_t *e)
{
	if (e->act.kind == FFL_NODE_ACT_APPEND && e->act.store.writes)
		g_ptr_array_unref(e->act.store.writes);
	g_free(e->spec);
	g_free(e);
}

static gint compare_due(gconstpointer a, gconstpointer b, gpointer user)
{
	const site_event_t *x = a;
	const site_event_t *y = b;

	return x->due_ms < y->due_ms ? -1 : x->due_ms > y->due_ms;
}

void site_schedule(site_t *s, site_event_t *e)
{
	GList *at = s->events.tail;

	/* Search from the end: most new events are due last. */
	while (at && compare_due(at->data, e, NULL) > 0)
		at = at->prev;
	g_queue_insert_after(&s->events, at, e);
}

char *site_call_key(bool order, uint32_t host, uint64_t incarnation,
		    uint64_t call)
{
	return g_strdup_printf("%d/%u/%" PRIu64 "/%" PRIu64, order, host,
			       incarnation, call);
}

static void send_act(site_t *s, uint32_t host, const ffl_node_act_t *act)
{
	bool order = act->kind == FFL_NODE_ACT_ORDER;
	uint64_t incarnation = s->hosts[host].incarnation;
	uint64_t call = order ? act->order.call : act->store.call;
	uint32_t timeout_ms =
		order ? act->order.timeout_ms : act->store.timeout_ms;
	site_event_t *e = site_event_new(
		order ? EVENT_WORKER : EVENT_STORE,
		s->now_ms +
			(order ? s->worker_ms : LOG_MS + s->log_extra_ms[host]),
		host, incarnation);
	site_event_t *timeout = site_event_new(
		EVENT_TIMEOUT, s->now_ms + timeout_ms, host, incarnation);

	e->act = *act;
	e->sent_ms = s->now_ms;
	if (order && act->order.ticket)
		ffl_copy(e->ticket, sizeof(e->ticket), act->order.ticket);
	if (act->kind == FFL_NODE_ACT_APPEND)
		g_ptr_array_ref(e->act.store.writes);
	if (order && act->order.spec)
		e->spec = g_strdup(act->order.spec);
	if (act->kind == FFL_NODE_ACT_READ)
		e->until_ms = e->due_ms + act->store.wait_ms;
	timeout->act.kind = order ? FFL_NODE_ACT_ORDER : FFL_NODE_ACT_READ;
	if (order)
		timeout->act.order.call = call;
	else
		timeout->act.store.call = call;
	g_hash_table_add(s->open,
			 site_call_key(order, host, incarnation, call));
	site_schedule(s, e);
	site_schedule(s, timeout);
}

static void record_response(site_t *s, const ffl_act_response_t *response)
{
	uint32_t index =
		GPOINTER_TO_UINT(g_hash_table_lookup(
			s->jobs_by_call, GSIZE_TO_POINTER(response->call))) -
		1;
	site_job_t *job;

	if (index >= s->jobs_count) {
		g_hash_table_insert(s->answers,
				    GSIZE_TO_POINTER(response->call),
				    g_memdup2(response, sizeof(*response)));
		return;
	}
	job = &s->jobs[index];
	switch (response->kind) {
	case FFL_RESPONSE_ACCEPTED:
		job->accepted = true;
		break;
	case FFL_RESPONSE_BUSY:
		job->refused = true;
		break;
	case FFL_RESPONSE_CONFLICT:
		job->conflict = true;
		break;
	case FFL_RESPONSE_UNKNOWN:
		job->outcome_unknown = true;
		break;
	case FFL_RESPONSE_CANCELLED:
		if (!job->cancelled_ms)
			job->cancelled_ms = s->now_ms;
		break;
	case FFL_RESPONSE_GONE:
		if (job->accepted)
			site_record_violation(
				s, "a host does not know an accepted job",
				job->id);
		break;
	case FFL_RESPONSE_STATE:
		job->reported_state = response->state;
		if (response->state == FFL_FLOW_COMPLETED &&
		    g_hash_table_size(job->completed) <
			    job->spec.tasks_per_occurrence *
				    MAX(job->spec.occurrences, 1))
			site_record_violation(
				s, "reported as completed with a task not done",
				job->id);
		if (response->state == FFL_FLOW_CANCELLED && !job->cancel_sent)
			site_record_violation(
				s, "reported as cancelled without a request",
				job->id);
		if (response->state == FFL_FLOW_FAILED && !job->fails)
			site_record_violation(
				s, "reported as failed without a failed task",
				job->id);
		break;
	default:
		break;
	}
}

void site_step_host(site_t *s, uint32_t host, ffl_node_event_t *ev)
{
	site_host_t *h = &s->hosts[host];

	ev->now_ms = s->now_ms;
	ev->wall_ms = s->wall_ms + s->now_ms;
	ffl_node_step(&h->node, ev, s->act_buf);
	for (guint i = 0; i < s->act_buf->len; i++) {
		const ffl_node_act_t *act =
			&g_array_index(s->act_buf, ffl_node_act_t, i);

		s->actions++;
		switch (act->kind) {
		case FFL_NODE_ACT_READ:
			s->reads++;
			s->topic_reads[act->store.topic]++;
			send_act(s, host, act);
			break;
		case FFL_NODE_ACT_NEWEST:
		case FFL_NODE_ACT_APPEND:
		case FFL_NODE_ACT_ORDER:
			if (act->kind == FFL_NODE_ACT_ORDER &&
			    act->order.kind == FFL_ORDER_ADVISE)
				site_serve_advice(s, host, &act->order);
			else
				send_act(s, host, act);
			break;
		case FFL_NODE_ACT_RESPOND:
			record_response(s, &act->response);
			break;
		case FFL_NODE_ACT_EXIT:
			h->exited = true;
			break;
		case FFL_NODE_ACT_NOTE:
			if (g_getenv("SITE_NOTES"))
				g_printerr("%" PRIu64 " h%u %s %s %s\n",
					   s->now_ms, host, act->note.event,
					   act->note.subject, act->note.text);
			break;
		default:
			break;
		}
	}
	ffl_node_acts_clear(s->act_buf);
}

static void boot_host(site_t *s, uint32_t host)
{
	site_host_t *h = &s->hosts[host];
	ffl_node_options_t opt = {
		.seed = ffl_rng_next(&s->rng),
		.config_apply_ms = 2500,
		.config_skew_ms = 5000,
		.evacuate_ms = SITE_EVACUATE_MS,
		.stop_drain_ms = 4800,
		.keep_ended_ms = KEEP_ENDED_MS,
		.size_milli = s->size_milli[host],
		.record_bytes_max = KEYED_LOG_RECORD_BYTES_MAX,
		.append_bytes_max = KEYED_LOG_APPEND_BYTES_MAX,
		.partitions = s->partitions,
		.dispatch = { .adviser_addr = "adviser",
			      .lease_max_ms = 10000,
			      .order_late_max_ms = LATE_ORDER_MAX_MS,
			      .stop_max_ms = 400,
			      .gang_wait_ms = 3000,
			      .reclaim_ms = 2900,
			      .spread_percent = 300,
			      .heartbeat_ms = SITE_REPORT_MS,
			      .early_ms = 250 },
	};

	g_snprintf(opt.name, sizeof(opt.name), "host-%u", host);
	ffl_node_init(&h->node, &opt);
	h->alive = true;
	h->exited = false;
	h->incarnation++;
	h->ticked_ms = s->now_ms + ffl_rng_below(&s->rng, TICK_MS);
	h->restart_ms = 0;
	h->adviser_busy_ms = fake_adviser_busy_until_ms(&s->adviser, host);
}

/* The record holds only the version, the service and the adviser's times;
 * decode_records() adds the routes when it is read. */
void site_write_config(site_t *s)
{
	char text[64];

	s->version++;
	g_snprintf(text, sizeof(text), "%" PRIu64 " %u %u %u", s->version,
		   s->service, s->advice.call_ms, s->advice.worker_ms);
	keyed_log_put(&s->topics[FFL_TOPIC_CONFIG], "config", text,
		      strlen(text));
}

void site_set_adviser(site_t *s, ffl_adviser_times_t times, uint32_t valid_ms,
		      bool told)
{
	uint64_t usual_ms = ADVICE_MS + ADVICE_EACH_MS * s->workers_count;
	uint64_t max_ms =
		times.call_ms + (uint64_t)times.worker_ms * s->workers_count;

	s->adviser.times = times;
	s->adviser.valid_ms = valid_ms;
	s->advice_max_ms = MAX(s->advice_max_ms, max_ms);
	s->adviser_slow |= max_ms > usual_ms;
	if (!told)
		return;
	s->advice = times;
	site_write_config(s);
}

uint64_t site_advice_backlog_ms(const site_t *s)
{
	uint64_t left_ms = 0;
	uint64_t calls = 0;

	if (!s->adviser_slow)
		return 0;
	for (uint32_t i = 0; i < s->jobs_count; i++) {
		const site_job_t *job = &s->jobs[i];

		if (job->accepted && !job->cancel_sent &&
		    site_is_top_priority(s, job) &&
		    g_hash_table_size(job->completed) <
			    job->spec.tasks_per_occurrence *
				    MAX(job->spec.occurrences, 1))
			calls += job->spec.steps_count *
				 MAX(job->spec.occurrences, 1) * (1 + RUNS_MAX);
	}
	for (uint32_t i = 0; i < s->hosts_count; i++)
		left_ms = MAX(left_ms,
			      fake_adviser_busy_until_ms(&s->adviser, i));
	left_ms -= MIN(left_ms, s->now_ms);
	return calls * s->advice_max_ms + left_ms;
}

void site_move_queues(site_t *s)
{
	s->service++;
	site_write_config(s);
}

static void read_config(const ffl_store_record_t *rec, ffl_route_t *out)
{
	char *text =
		g_strndup((const char *)rec->value.data, rec->value.size_bytes);
	uint32_t service = 0;

	sscanf(text, "%*u %u %u %u", &service, &out->advice.call_ms,
	       &out->advice.worker_ms);
	site_service_name(service, out->service);
	g_free(text);
}

static void decode_records(site_t *s, ffl_topic_t topic,
			   ffl_store_reply_t *reply)
{
	for (uint32_t i = 0; i < reply->count; i++) {
		ffl_store_record_t *rec = &reply->records[i];
		ffl_route_t route = { .queue = "lining",
				      .priority = 1,
				      .attempts_max = 2,
				      .stretch_milli = 3000,
				      .objective_base_ms = 1000 };

		if (topic == FFL_TOPIC_WORKERS && rec->value.size_bytes)
			rec->worker = ffl_arena_copy(&s->arena, rec->value.data,
						     sizeof(*rec->worker));
		if (topic != FFL_TOPIC_CONFIG)
			continue;
		if (site_evacuated_dc(rec->key) < SITE_DCS) {
			rec->evacuated_dc =
				site_dc_name(site_evacuated_dc(rec->key));
			continue;
		}
		read_config(rec, &route);
		rec->routes = ffl_arena_alloc(&s->arena, sizeof(*rec->routes));
		ffl_routes_init(rec->routes);
		rec->routes->version = rec->offset + 1;
		route.host = g_strdup("");
		route.prefix = g_strdup("/lining/");
		g_array_append_val(rec->routes->routes, route);
		ffl_copy(route.queue, sizeof(route.queue), "dew");
		route.host = g_strdup("");
		route.prefix = g_strdup("/dew/");
		route.priority = 0;
		route.needs_tickets = s->tickets_required;
		g_array_append_val(rec->routes->routes, route);
		ffl_copy(route.queue, sizeof(route.queue), "open");
		route.host = g_strdup("");
		route.prefix = g_strdup("/open/");
		route.priority = 1;
		route.needs_tickets = false;
		route.open_to_all = true;
		g_array_append_val(rec->routes->routes, route);
		g_hash_table_replace(rec->routes->keys, g_strdup(SITE_KEY),
				     g_strdup("ponds"));
		g_hash_table_replace(rec->routes->keys,
				     g_strdup(SITE_OTHER_KEY),
				     g_strdup("tailors"));
		g_hash_table_replace(rec->routes->guaranteed, g_strdup("ponds"),
				     GUINT_TO_POINTER(16));
	}
}

static void serve_store(site_t *s, site_event_t *e, site_event_t *reply_event)
{
	const ffl_act_store_t *call = &e->act.store;
	keyed_log_t *log = &s->topics[log_index(e)];
	ffl_store_reply_t *out = &reply_event->ev.store;

	reply_event->ev.kind = FFL_NODE_EV_STORE;
	out->call = call->call;
	if (e->act.kind == FFL_NODE_ACT_APPEND) {
		out->outcome = keyed_log_append(log, call->expected_end,
						call->writes, &out->first);
		out->end = log->end;
		return;
	}
	if (e->act.kind == FFL_NODE_ACT_READ)
		keyed_log_read(log, call->from, out, &s->arena);
	else
		keyed_log_newest(log, call->after_key, PAGE_RECORDS_MAX, out,
				 &s->arena);
	decode_records(s, call->topic, out);
}

static uint32_t log_index(const site_event_t *e)
{
	return ffl_tail_index(e->act.store.topic, e->act.store.part);
}

/* Queues an append; returns false if it would wait too long. */
static bool queue_append(site_t *s, const site_event_t *e)
{
	uint64_t *free_ms = &s->append_free_ms[log_index(e)];
	site_event_t *turn;

	*free_ms = MAX(*free_ms, s->now_ms);
	if (*free_ms - s->now_ms > APPEND_WAIT_MS)
		return false;
	*free_ms += s->append_ms;
	turn = site_event_new(EVENT_STORE, *free_ms, e->host, e->incarnation);
	turn->act = e->act;
	g_ptr_array_ref(turn->act.store.writes);
	turn->queued = true;
	site_schedule(s, turn);
	return true;
}

static void on_store(site_t *s, site_event_t *e)
{
	const ffl_act_store_t *call = &e->act.store;
	const site_host_t *h = &s->hosts[e->host];
	bool full = false;
	site_event_t *reply_event;

	if (e->act.kind == FFL_NODE_ACT_APPEND && s->append_ms && !e->queued) {
		if (queue_append(s, e))
			return;
		full = true;
	}
	if (s->now_ms < h->log_cut_until_ms ||
	    s->now_ms < s->log_silent_until_ms ||
	    (h->topics_cut >> log_index(e) & 1))
		return;
	reply_event = site_event_new(
		EVENT_STORE_BACK, s->now_ms + LOG_MS + s->log_extra_ms[e->host],
		e->host, e->incarnation);
	if (full || s->now_ms < s->log_down_until_ms ||
	    s->now_ms < s->part_down_until_ms[log_index(e)]) {
		if (e->no_answer) {
			site_event_free(reply_event);
			return;
		}
		reply_event->ev.kind = FFL_NODE_EV_STORE;
		reply_event->ev.store.call = call->call;
		reply_event->ev.store.outcome = FFL_STORE_REFUSED;
		site_schedule(s, reply_event);
		return;
	}
	if ((e->act.kind == FFL_NODE_ACT_READ && s->now_ms < e->until_ms &&
	     call->from >= s->topics[log_index(e)].end) ||
	    (call->topic == FFL_TOPIC_JOBS &&
	     s->now_ms < h->jobs_lag_until_ms &&
	     e->act.kind == FFL_NODE_ACT_READ)) {
		/* Check again in the next step. */
		site_event_t *again =
			site_event_new(EVENT_STORE, s->now_ms + SITE_STEP_MS,
				       e->host, e->incarnation);

		again->act = e->act;
		again->until_ms = e->until_ms;
		site_schedule(s, again);
		site_event_free(reply_event);
		return;
	}
	if (e->act.kind == FFL_NODE_ACT_APPEND &&
	    s->now_ms < s->append_lost_until_ms &&
	    ffl_rng_below(&s->rng, PERCENT) < s->lost_percent) {
		if (!e->no_answer && ffl_rng_below(&s->rng, 2)) {
			site_event_t *late = site_event_new(
				EVENT_STORE,
				s->now_ms + 1000 + ffl_rng_below(&s->rng, 5000),
				e->host, e->incarnation);

			late->act = e->act;
			g_ptr_array_ref(late->act.store.writes);
			late->no_answer = true;
			site_schedule(s, late);
		} else {
			serve_store(s, e, reply_event);
		}
		site_event_free(reply_event);
		return;
	}
	serve_store(s, e, reply_event);
	if (e->no_answer)
		site_event_free(reply_event);
	else
		site_schedule(s, reply_event);
}

static void on_store_back(site_t *s, site_event_t *e)
{
	site_host_t *h = &s->hosts[e->host];
	bool order = e->ev.kind == FFL_NODE_EV_WORKER;
	char *key = site_call_key(order, e->host, e->incarnation,
				  order ? e->ev.worker.call : e->ev.store.call);
	bool open = g_hash_table_remove(s->open, key);

	g_free(key);
	if (open && h->alive && h->incarnation == e->incarnation)
		site_step_host(s, e->host, &e->ev);
	if (!order) {
		for (uint32_t i = 0; i < e->ev.store.count; i++) {
			if (e->ev.store.records[i].routes)
				ffl_routes_finish(
					e->ev.store.records[i].routes);
		}
	}
}

static void on_timeout(site_t *s, site_event_t *e)
{
	bool order = e->act.kind == FFL_NODE_ACT_ORDER;

	if (order) {
		e->ev.kind = FFL_NODE_EV_WORKER;
		e->ev.worker.call = e->act.order.call;
		e->ev.worker.outcome = FFL_REPLY_UNKNOWN;
	} else {
		e->ev.kind = FFL_NODE_EV_STORE;
		e->ev.store.call = e->act.store.call;
		e->ev.store.outcome = FFL_STORE_UNKNOWN;
	}
	on_store_back(s, e);
}

bool site_is_part_down(const site_t *s)
{
	for (uint32_t i = 0; i < FFL_TAILS_MAX; i++) {
		if (s->now_ms < s->part_down_until_ms[i])
			return true;
	}
	return false;
}

void site_init(site_t *s, uint64_t seed, uint32_t hosts, uint32_t workers)
{
	site_init_spread(s, seed, hosts, workers, 1);
}

void site_init_spread(site_t *s, uint64_t seed, uint32_t hosts,
		      uint32_t workers, uint32_t partitions)
{
	memset(s, 0, sizeof(*s));
	s->partitions = partitions;
	s->now_ms = 100000;
	s->worker_ms = WORKER_MS;
	s->wall_ms = 1700000000000;
	ffl_rng_init(&s->rng, seed);
	ffl_rng_init(&s->clock_rng, ~seed);
	ffl_arena_init(&s->arena);
	g_queue_init(&s->events);
	s->act_buf = g_array_new(FALSE, TRUE, sizeof(ffl_node_act_t));
	s->open = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->jobs_by_call = g_hash_table_new(NULL, NULL);
	s->answers = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	s->settled_runs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->repeated_runs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (uint32_t i = 0; i < FFL_TAILS_MAX; i++)
		keyed_log_init(&s->topics[i]);
	fake_adviser_init(&s->adviser);
	s->workers_count = workers;
	site_set_adviser(s, (ffl_adviser_times_t){ ADVICE_MS, ADVICE_EACH_MS },
			 TICKET_VALID_MS, true);
	s->hosts_count = hosts;
	for (uint32_t i = 0; i < workers; i++)
		task_worker_init(&s->workers[i], i, s->now_ms);
	site_workers_init(s);
	for (uint32_t i = 0; i < hosts; i++)
		boot_host(s, i);
}

void site_finish(site_t *s)
{
	site_event_t *e;

	while ((e = g_queue_pop_head(&s->events))) {
		if (e->kind == EVENT_STORE_BACK) {
			s->hosts[e->host].alive = false;
			on_store_back(s, e);
			s->hosts[e->host].alive = true;
		}
		site_event_free(e);
	}
	for (uint32_t i = 0; i < s->hosts_count; i++)
		ffl_node_finish(&s->hosts[i].node);
	for (uint32_t i = 0; i < s->workers_count; i++)
		task_worker_finish(&s->workers[i]);
	for (uint32_t i = 0; i < FFL_TAILS_MAX; i++)
		keyed_log_finish(&s->topics[i]);
	for (uint32_t i = 0; i < s->jobs_count; i++) {
		ffl_flow_spec_finish(&s->jobs[i].spec);
		g_hash_table_destroy(s->jobs[i].acked_done);
		g_hash_table_destroy(s->jobs[i].completed);
		g_hash_table_destroy(s->jobs[i].failures);
	}
	site_workers_finish(s);
	g_hash_table_destroy(s->open);
	g_hash_table_destroy(s->jobs_by_call);
	g_hash_table_destroy(s->answers);
	g_hash_table_destroy(s->settled_runs);
	g_hash_table_destroy(s->repeated_runs);
	g_array_free(s->act_buf, TRUE);
	fake_adviser_finish(&s->adviser);
	ffl_arena_finish(&s->arena);
}

static void tick_hosts(site_t *s)
{
	for (uint32_t i = 0; i < s->hosts_count; i++) {
		site_host_t *h = &s->hosts[i];
		ffl_node_event_t ev = { .kind = FFL_NODE_EV_TICK };

		if (h->alive && h->exited)
			site_kill(s, i, 500);
		if (!h->alive && h->restart_ms && s->now_ms >= h->restart_ms)
			boot_host(s, i);
		if (!h->alive || s->now_ms < h->frozen_until_ms ||
		    s->now_ms - h->ticked_ms < TICK_MS)
			continue;
		h->ticked_ms = s->now_ms;
		site_step_host(s, i, &ev);
	}
}

void site_run(site_t *s, uint32_t ms)
{
	const task_hooks_t hooks = { s,
				     site_plan_task,
				     site_on_started,
				     site_on_ended,
				     site_on_acked,
				     site_count_present };
	uint64_t end = s->now_ms + ms;

	for (; s->now_ms < end; s->now_ms += SITE_STEP_MS) {
		site_event_t *e;

		site_report_workers(s);
		for (uint32_t i = 0; i < s->workers_count; i++) {
			if (s->workers[i].alive)
				task_worker_tick(&s->workers[i], s->now_ms,
						 SITE_STEP_MS, &hooks);
		}
		while ((e = g_queue_peek_head(&s->events)) &&
		       e->due_ms <= s->now_ms) {
			bool at_host = e->kind != EVENT_STORE &&
				       e->kind != EVENT_WORKER;
			uint64_t frozen = s->hosts[e->host].frozen_until_ms;

			g_queue_pop_head(&s->events);
			if (at_host && s->now_ms < frozen) {
				e->due_ms = frozen + 1;
				site_schedule(s, e);
				continue;
			}
			handlers[e->kind](s, e);
			site_event_free(e);
		}
		tick_hosts(s);
		site_watch_waiting(s);
		site_watch_cancelled(s);
		if (!site_is_calm(s))
			s->disturbed_ms = s->now_ms;
	}
}
