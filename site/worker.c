#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <jansson.h>

#include "site/site.h"

/** Word in a specification: its tasks fail. */
#define SPEC_FAILS "fails"
/** Word in a specification: its workers demand a ticket of the adviser, which
 * never allows the first worker. */
#define SPEC_ADVISED "advised"
/** Also that it takes no GPU, and so little that a worker holds many of it. */
#define SPEC_SMALL "small"
#define SMALL_CPU  10
#define SMALL_MEM  1
/** How long a ticket is valid, as the adviser states it. */
#define TICKET_MS 3000
/** Resources of every task: the stand-in does not decode its job's. */
#define TASK_CPU 1000
#define TASK_MEM 1000

static bool plan_task(void *user, const char *task, task_plan_t *out);
static void ignore_start(void *user, task_worker_t *w, const task_run_t *run);
static void ignore_end(void *user, task_worker_t *w,
		       const ffl_run_report_t *row);
static uint32_t tasks_present(void *user, const task_run_t *run);
static task_worker_t *find_worker(site_http_t *s, struct mg_connection *conn);
static bool decode_order(const char *uri, const json_t *doc, ffl_order_t *out);
static json_t *encode_runs(const ffl_reply_t *reply, bool ended);
static void send_reply(struct mg_connection *conn, const ffl_order_t *order,
		       const ffl_reply_t *reply);
static bool has_unacked_end(const task_worker_t *w, uint64_t acked);
static void record_renewal(site_http_t *s, const task_worker_t *w);
static void format_ticket(const char *task, const char *worker,
			  char out[FFL_TICKET_BYTES]);

static const char *const end_names[FFL_RUN_END__MAX] = {
	[FFL_RUN_END_DONE] = "done",
	[FFL_RUN_END_FAILED] = "failed",
	[FFL_RUN_END_STOPPED] = "stopped",
	[FFL_RUN_END_LEASE_EXPIRED] = "lapsed",
	[FFL_RUN_END_GANG_BROKEN] = "broken",
	[FFL_RUN_END_GANG_INCOMPLETE] = "alone",
};

static const char *const refusal_names[FFL_REPLY__MAX] = {
	[FFL_REPLY_FENCED] = "fence",	    [FFL_REPLY_STALE_RUN] = "old",
	[FFL_REPLY_LEASE_EXPIRED] = "late", [FFL_REPLY_NO_RESOURCES] = "room",
	[FFL_REPLY_BAD_TICKET] = "ticket",
};

static const char *const order_names[FFL_ORDER__MAX] = {
	[FFL_ORDER_RENEW] = "hold",    [FFL_ORDER_START] = "run-start",
	[FFL_ORDER_STOP] = "run-stop", [FFL_ORDER_THROTTLE] = "pace",
	[FFL_ORDER_ADVISE] = "advise",
};

/* Specification and ticket of the order being carried out, for plan_task();
 * under the lock. */
static const char *current_spec = "";
static char current_ticket[FFL_TICKET_BYTES];

const task_hooks_t site_http_hooks = { NULL,	   plan_task,  ignore_start,
				       ignore_end, ignore_end, tasks_present };

static bool plan_task(void *user, const char *task, task_plan_t *out)
{
	uint32_t work_ms = 300;

	sscanf(current_spec, "work=%u", &work_ms);
	out->work_ms = work_ms;
	out->gang_tasks = 0;
	out->fails = strstr(current_spec, SPEC_FAILS) != NULL;
	out->ticket =
		strstr(current_spec, SPEC_ADVISED) ? current_ticket : NULL;
	out->resources = strstr(current_spec, SPEC_SMALL)
				 ? (ffl_resources_t){ SMALL_CPU, SMALL_MEM, 0 }
				 : (ffl_resources_t){ TASK_CPU, TASK_MEM, 1 };
	return true;
}

static void ignore_start(void *user, task_worker_t *w, const task_run_t *run)
{
}

static void ignore_end(void *user, task_worker_t *w,
		       const ffl_run_report_t *row)
{
}

static uint32_t tasks_present(void *user, const task_run_t *run)
{
	return 1;
}

void site_http_worker_addr(const site_http_t *s, uint32_t index,
			   char out[FFL_ADDR_BYTES])
{
	g_snprintf(out, FFL_ADDR_BYTES, "127.0.1.%u%s", index + 1,
		   strrchr(s->addr, ':'));
}

/* Each worker has an address of its own. */
static task_worker_t *find_worker(site_http_t *s, struct mg_connection *conn)
{
	const char *host = mg_get_header(conn, "Host");
	char addr[FFL_ADDR_BYTES];

	for (uint32_t i = 0; host && i < s->worker_count; i++) {
		site_http_worker_addr(s, i, addr);
		if (strcmp(addr, host) == 0)
			return &s->workers[i];
	}
	return NULL;
}

static bool decode_order(const char *uri, const json_t *doc, ffl_order_t *out)
{
	const char *task = json_string_value(json_object_get(doc, "task"));
	const char *slash = strrchr(uri, '/');

	memset(out, 0, sizeof(*out));
	while (out->kind < FFL_ORDER__MAX &&
	       strcmp(order_names[out->kind], slash + 1) != 0)
		out->kind++;
	if (out->kind == FFL_ORDER__MAX || !json_is_object(doc))
		return false;
	if (task)
		ffl_copy(out->task, sizeof(out->task), task);
	out->ticket = json_string_value(json_object_get(doc, "ticket"));
	out->percent =
		(uint32_t)json_integer_value(json_object_get(doc, "percent"));
	out->run = (uint32_t)json_integer_value(json_object_get(doc, "run_id"));
	out->token = (uint64_t)json_integer_value(
		json_object_get(doc, "fencing_token"));
	out->until_ms =
		(uint64_t)json_integer_value(json_object_get(doc, "until_ms"));
	out->acked = (uint64_t)json_integer_value(
		json_object_get(doc, "acked_through"));
	out->wait_ms =
		(uint32_t)json_integer_value(json_object_get(doc, "wait_ms"));
	return true;
}

static json_t *encode_runs(const ffl_reply_t *reply, bool ended)
{
	json_t *rows = json_array();
	uint32_t count = ended ? reply->ended_count : reply->running_count;

	for (uint32_t i = 0; i < count; i++) {
		const ffl_run_report_t *r =
			ended ? &reply->ended[i] : &reply->running[i];

		json_array_append_new(
			rows,
			ended ? json_pack("[I,s,i,s,s]", (json_int_t)r->number,
					  r->task, (int)r->run,
					  end_names[r->end], r->checkpoint)
			      : json_pack("[s,i,s,i,i]", r->task, (int)r->run,
					  r->checkpoint, (int)r->percent, 0));
	}
	return rows;
}

/* Only a list of runs tells the incarnation. */
static void send_reply(struct mg_connection *conn, const ffl_order_t *order,
		       const ffl_reply_t *reply)
{
	bool ok = reply->outcome == FFL_REPLY_OK;
	json_t *doc =
		json_pack("{s:I}", "clock_ms", (json_int_t)reply->clock_ms);
	char *text;

	if (!ok && refusal_names[reply->outcome])
		json_object_set_new(doc, "reason",
				    json_string(refusal_names[reply->outcome]));
	if (ok && order->kind == FFL_ORDER_RENEW) {
		json_object_set_new(doc, "born",
				    json_integer((json_int_t)reply->born_ms));
		json_object_set_new(doc, "running", encode_runs(reply, false));
		json_object_set_new(doc, "finished", encode_runs(reply, true));
	}
	text = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	site_http_send(conn, ok ? 200 : 409, text, strlen(text));
	free(text);
}

static bool has_unacked_end(const task_worker_t *w, uint64_t acked)
{
	const ffl_run_report_t *last;

	if (!w->ended->len)
		return false;
	last = g_ptr_array_index(w->ended, w->ended->len - 1);
	return last->number > acked;
}

/* A ticket names a worker and a step; the step is the task's name without the
 * index at its end. */
static void format_ticket(const char *task, const char *worker,
			  char out[FFL_TICKET_BYTES])
{
	const char *last = strrchr(task, '.');

	g_snprintf(out, FFL_TICKET_BYTES, "%.*s/%s",
		   last ? (int)(last - task) : 0, task, worker);
}

int site_http_serve_advice(struct mg_connection *conn, void *site)
{
	site_http_t *s = site;
	GByteArray *body = g_byte_array_new();
	json_t *rows = json_array();
	char name[FFL_TASK_NAME_BYTES];
	char ticket[FFL_TICKET_BYTES];
	const json_t *id;
	json_t *doc;
	char *text;
	size_t i;

	site_http_read_body(conn, body);
	doc = json_loadb((const char *)body->data, body->len, 0, NULL);
	g_byte_array_unref(body);
	json_array_foreach(json_object_get(doc, "workers"), i, id)
	{
		const char *worker = json_string_value(id);
		const char *step =
			json_string_value(json_object_get(doc, "step"));

		if (!worker || !step || strcmp(worker, s->workers[0].id) == 0)
			continue;
		g_snprintf(name, sizeof(name), "%s.0", step);
		format_ticket(name, worker, ticket);
		json_array_append_new(rows, json_pack("[s,s]", worker, ticket));
	}
	json_decref(doc);
	pthread_mutex_lock(&s->lock);
	s->advice_calls++;
	pthread_mutex_unlock(&s->lock);
	doc = json_pack("{s:o,s:i}", "allowed", rows, "valid_ms", TICKET_MS);
	text = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	site_http_send(conn, 200, text, strlen(text));
	free(text);
	return 1;
}

static void record_renewal(site_http_t *s, const task_worker_t *w)
{
	uint64_t *last_ms = &s->renewed_ms[w - s->workers];
	uint64_t now_ms = site_http_now_ms();

	if (*last_ms && w->runs->len)
		s->renewal_gap_ms = MAX(s->renewal_gap_ms, now_ms - *last_ms);
	*last_ms = now_ms;
}

int site_http_serve_order(struct mg_connection *conn, void *site)
{
	site_http_t *s = site;
	const char *uri = mg_get_request_info(conn)->local_uri;
	const char *expected = mg_get_header(conn, "X-Expect-Instance");
	GByteArray *body = g_byte_array_new();
	task_worker_t *w = find_worker(s, conn);
	uint64_t until_ms = site_http_now_ms();
	ffl_reply_t reply;
	ffl_order_t order;
	ffl_arena_t arena;
	json_t *doc;

	site_http_read_body(conn, body);
	doc = json_loadb((const char *)body->data, body->len, 0, NULL);
	if (!w || !decode_order(uri, doc, &order)) {
		site_http_send(conn, 400, "", 0);
	} else if (!w->alive) {
		site_http_send(conn, 503, "", 0);
	} else if (expected && strcmp(expected, w->id) != 0) {
		site_http_send(conn, 421, "", 0);
	} else {
		until_ms += order.wait_ms;
		ffl_arena_init(&arena);
		pthread_mutex_lock(&s->lock);
		current_spec = json_string_value(json_object_get(doc, "spec"));
		if (!current_spec)
			current_spec = "";
		s->starts += order.kind == FFL_ORDER_START;
		if (order.kind == FFL_ORDER_RENEW)
			record_renewal(s, w);
		format_ticket(order.task, w->id, current_ticket);
		task_worker_handle_order(w, &order, site_http_now_ms(),
					 &site_http_hooks, &arena, &reply);
		while (order.wait_ms && !has_unacked_end(w, order.acked) &&
		       site_http_now_ms() < until_ms)
			site_http_wait_change(s, until_ms);
		if (order.wait_ms)
			task_worker_handle_order(w, &order, site_http_now_ms(),
						 &site_http_hooks, &arena,
						 &reply);
		pthread_mutex_unlock(&s->lock);
		send_reply(conn, &order, &reply);
		ffl_arena_finish(&arena);
	}
	json_decref(doc);
	g_byte_array_unref(body);
	return 1;
}

int site_http_serve_entry(struct mg_connection *conn, void *site)
{
	site_http_t *s = site;
	const char *query = mg_get_request_info(conn)->query_string;
	char id[FFL_RECORD_KEY_BYTES];
	GByteArray *body = g_byte_array_new();

	if (!query ||
	    mg_get_var(query, strlen(query), "id", id, sizeof(id)) < 0 ||
	    !site_http_read_body(conn, body)) {
		site_http_send(conn, 400, "", 0);
	} else {
		pthread_mutex_lock(&s->lock);
		keyed_log_put(&s->topics[FFL_TOPIC_WORKERS], id, body->data,
			      body->len);
		pthread_cond_broadcast(&s->changed);
		pthread_mutex_unlock(&s->lock);
		site_http_send(conn, 200, "", 0);
	}
	g_byte_array_unref(body);
	return 1;
}

void site_http_publish_workers(site_http_t *s)
{
	uint64_t now_ms = site_http_now_ms();

	for (uint32_t i = 0; i < s->worker_count; i++) {
		task_worker_t *w = &s->workers[i];
		char addr[FFL_ADDR_BYTES];
		json_t *doc;
		char *text;

		if (!w->alive) {
			if (w->listed)
				keyed_log_put(&s->topics[FFL_TOPIC_WORKERS],
					      w->id, "", 0);
			w->listed = false;
			continue;
		}
		site_http_worker_addr(s, i, addr);
		doc = json_pack(
			"{s:s,s:s,s:s,s:s,s:{s:i,s:i,s:i},s:[s,s],s:I,s:I,s:I,"
			"s:I}",
			"service", "survey", "address", addr, "zone", "norte",
			"state", w->draining ? "draining" : "ready", "capacity",
			"cpu", (int)w->capacity.cpu_milli, "mem_mb",
			(int)w->capacity.mem_mb, "gpu", (int)w->capacity.gpus,
			"labels", "a", "r1", "clock_ms",
			(json_int_t)task_worker_clock(w, now_ms), "born",
			(json_int_t)w->born_ms, "sequence",
			(json_int_t)++w->entries, "cold_remaining_ms",
			(json_int_t)(s->cold_until_ms -
				     MIN(s->cold_until_ms, now_ms)));
		text = json_dumps(doc, JSON_COMPACT);
		keyed_log_put(&s->topics[FFL_TOPIC_WORKERS], w->id, text,
			      strlen(text));
		json_decref(doc);
		free(text);
	}
	pthread_cond_broadcast(&s->changed);
}
