/**
 * @file web.c
 * @brief HTTP servers for callers, readiness probes and metrics.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <civetweb.h>

#include "jobd/jobd.h"

/** Longest wait for the core's response. The core responds before the caller's
 * deadline, so this ends waits for a stuck core and of callers with a longer
 * deadline. */
#define RESPONSE_WAIT_MS 10000
/** The same for an explanation: there are two threads for all probes. */
#define EXPLAIN_WAIT_MS 1000
/** Most bytes of a question for each of a job's: JSON may escape them. */
#define EXPLAIN_BODY_FACTOR 2
#define READ_CHUNK_BYTES    16384
#define MS_PER_S	    1000
/** Readiness is probed once a second, so two threads are enough. */
#define PROBE_THREADS	 "2"
#define COUNT_TEXT_BYTES 16

/** A caller's request that waits for the core's response. */
typedef struct {
	uint64_t id;
	pthread_cond_t responded;
	bool has_response;
	ffl_pf_response_t response;
	char *explanation; /**< instead of a response: JSON, to be freed */
} pending_request_t;

struct jobd_web {
	jobd_t *d;
	struct mg_context *callers; /**< server for callers */
	struct mg_context *probes;  /**< server for readiness and metrics */
	pthread_mutex_t lock;
	GHashTable *pending; /**< pending_request_t by id */
	uint64_t next_id;
	_Atomic bool closing;
};

static const char *get_header(const struct mg_connection *conn,
			      const char *name);
static const char *bearer_token(const struct mg_connection *conn);
static ffl_status_t read_body(struct mg_connection *conn, GByteArray *body,
			      size_t max_bytes);
static jobd_event_t *decode_request(struct mg_connection *conn,
				    const GByteArray *body);
static void send_response(struct mg_connection *conn,
			  const ffl_pf_response_t *response);
static void send_error(struct mg_connection *conn, ffl_response_kind_t outcome,
		       const char *problem);
static void add_pending(jobd_web_t *w, pending_request_t *request);
static bool wait_response(jobd_web_t *w, pending_request_t *request,
			  uint32_t wait_ms);
static void remove_pending(jobd_web_t *w, pending_request_t *request);
static void send_body_error(struct mg_connection *conn, ffl_status_t status,
			    guint received_bytes, size_t max_bytes);
static void send_timeout(struct mg_connection *conn, uint32_t wait_ms);
static void answer(jobd_web_t *w, struct mg_connection *conn,
		   jobd_event_t *event, uint32_t wait_ms);
static int handle_request(struct mg_connection *conn, void *user);
static void send_text(struct mg_connection *conn, const char *type,
		      const char *text);
static void send_metrics(struct mg_connection *conn);
static int port_of(const char *addr);
static bool is_operators(const jobd_web_t *w, const struct mg_connection *conn);
static const char *decode_question(const GByteArray *body, jobd_event_t *event);
static void handle_explain(jobd_web_t *w, struct mg_connection *conn);
static int handle_probe(struct mg_connection *conn, void *user);
static struct mg_context *listen_on(jobd_web_t *w, const char *addr,
				    const char *threads,
				    mg_request_handler handler);

static const char *get_header(const struct mg_connection *conn,
			      const char *name)
{
	const char *value = mg_get_header(conn, name);

	return value ? value : "";
}

static const char *bearer_token(const struct mg_connection *conn)
{
	static const char prefix[] = "Bearer ";
	const char *value = get_header(conn, "Authorization");

	if (strncmp(value, prefix, sizeof(prefix) - 1) != 0)
		return "";
	return value + sizeof(prefix) - 1;
}

static ffl_status_t read_body(struct mg_connection *conn, GByteArray *body,
			      size_t max_bytes)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	char buf[READ_CHUNK_BYTES];
	int n;

	if (info->content_length > (long long)max_bytes)
		return FFL_FULL;
	while ((n = mg_read(conn, buf, sizeof(buf))) > 0) {
		if (body->len + (size_t)n > max_bytes)
			return FFL_FULL;
		g_byte_array_append(body, (guint8 *)buf, (guint)n);
	}
	if (n < 0 || (info->content_length > 0 &&
		      body->len != (guint)info->content_length))
		return FFL_TRUNCATED;
	return FFL_OK;
}

static jobd_event_t *decode_request(struct mg_connection *conn,
				    const GByteArray *body)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	jobd_event_t *event = jobd_event_new(FFL_NODE_EV_REQUEST);
	ffl_request_t *req = &event->ev.request;
	const char *host = get_header(conn, "Host");
	const char *key = bearer_token(conn);
	char problem[FFL_REASON_BYTES];

	req->kind = ffl_pf_request_kind(info->request_method);
	req->host = ffl_arena_copy(&event->arena, host, strlen(host) + 1);
	req->path = ffl_arena_copy(&event->arena, info->local_uri_raw,
				   strlen(info->local_uri_raw) + 1);
	req->key = ffl_arena_copy(&event->arena, key, strlen(key) + 1);
	req->deadline_ms = (uint32_t)g_ascii_strtoull(
		get_header(conn, "X-Deadline-Ms"), NULL, 10);
	if (req->kind != FFL_REQUEST_SUBMIT)
		return event;
	req->spec = ffl_pf_job_decode((ffl_bytes_t){ body->data, body->len },
				      problem, sizeof(problem));
	if (!req->spec)
		req->problem = ffl_arena_copy(&event->arena, problem,
					      strlen(problem) + 1);
	return event;
}

static void send_response(struct mg_connection *conn,
			  const ffl_pf_response_t *response)
{
	char retry[40] = "";

	if (response->retry_after_s)
		g_snprintf(retry, sizeof(retry), "Retry-After: %u\r\n",
			   response->retry_after_s);
	mg_printf(conn,
		  "HTTP/1.1 %u %s\r\nContent-Type: application/json\r\n"
		  "Content-Length: %zu\r\n%sConnection: close\r\n\r\n%s",
		  response->status,
		  mg_get_response_code_text(conn, (int)response->status),
		  strlen(response->body), retry, response->body);
}

static void send_error(struct mg_connection *conn, ffl_response_kind_t outcome,
		       const char *problem)
{
	ffl_act_response_t act = { .kind = outcome };
	ffl_pf_response_t response;

	ffl_copy(act.problem, sizeof(act.problem), problem);
	ffl_pf_response_encode(&act, &response);
	send_response(conn, &response);
}

static void add_pending(jobd_web_t *w, pending_request_t *request)
{
	pthread_condattr_t attr;

	memset(request, 0, sizeof(*request));
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&request->responded, &attr);
	pthread_condattr_destroy(&attr);
	pthread_mutex_lock(&w->lock);
	request->id = ++w->next_id;
	g_hash_table_insert(w->pending, &request->id, request);
	pthread_mutex_unlock(&w->lock);
}

static bool wait_response(jobd_web_t *w, pending_request_t *request,
			  uint32_t wait_ms)
{
	struct timespec ts;
	int rc = 0;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	ts.tv_sec += wait_ms / MS_PER_S;
	pthread_mutex_lock(&w->lock);
	while (!request->has_response && rc != ETIMEDOUT &&
	       !atomic_load(&w->closing))
		rc = pthread_cond_timedwait(&request->responded, &w->lock, &ts);
	pthread_mutex_unlock(&w->lock);
	return request->has_response;
}

static void remove_pending(jobd_web_t *w, pending_request_t *request)
{
	pthread_mutex_lock(&w->lock);
	g_hash_table_remove(w->pending, &request->id);
	pthread_mutex_unlock(&w->lock);
	pthread_cond_destroy(&request->responded);
}

static void send_body_error(struct mg_connection *conn, ffl_status_t status,
			    guint received_bytes, size_t max_bytes)
{
	long long sent_bytes = mg_get_request_info(conn)->content_length;
	char problem[FFL_REASON_BYTES];

	if (status == FFL_FULL)
		g_snprintf(problem, sizeof(problem),
			   "the body is larger than %zu bytes", max_bytes);
	else if (sent_bytes > 0)
		g_snprintf(problem, sizeof(problem),
			   "the body is truncated: got %u of %lld bytes",
			   received_bytes, sent_bytes);
	else
		g_snprintf(problem, sizeof(problem),
			   "the body is truncated after %u bytes",
			   received_bytes);
	send_error(conn, FFL_RESPONSE_INVALID, problem);
}

static void send_timeout(struct mg_connection *conn, uint32_t wait_ms)
{
	char problem[FFL_REASON_BYTES];

	g_snprintf(problem, sizeof(problem),
		   "no response within %u ms, or the host is stopping",
		   wait_ms);
	send_error(conn, FFL_RESPONSE_UNKNOWN, problem);
}

/* Hands a request, or a question about one, to the core, and sends what that
 * responds. */
static void answer(jobd_web_t *w, struct mg_connection *conn,
		   jobd_event_t *event, uint32_t wait_ms)
{
	pending_request_t request;

	add_pending(w, &request);
	event->ev.request.call = request.id;
	if (!jobd_event_post(w->d, event))
		send_error(conn, FFL_RESPONSE_BUSY,
			   "the host's event queue is full");
	else if (!wait_response(w, &request, wait_ms))
		send_timeout(conn, wait_ms);
	else if (request.explanation)
		send_text(conn, "application/json", request.explanation);
	else
		send_response(conn, &request.response);
	remove_pending(w, &request);
	free(request.explanation);
}

static int handle_request(struct mg_connection *conn, void *user)
{
	jobd_web_t *w = user;
	GByteArray *body = g_byte_array_new();
	ffl_status_t status = read_body(conn, body, w->d->settings.body_bytes);

	mg_disable_connection_keep_alive(conn);
	if (status == FFL_OK)
		answer(w, conn, decode_request(conn, body), RESPONSE_WAIT_MS);
	else
		send_body_error(conn, status, body->len,
				w->d->settings.body_bytes);
	g_byte_array_unref(body);
	return 1;
}

static void send_text(struct mg_connection *conn, const char *type,
		      const char *text)
{
	mg_printf(conn,
		  "HTTP/1.1 200 OK\r\nContent-Type: %s\r\n"
		  "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
		  type, strlen(text), text);
}

static void send_metrics(struct mg_connection *conn)
{
	GString *text = g_string_new(NULL);

	jobd_metrics_format(text);
	send_text(conn, "text/plain", text->str);
	g_string_free(text, TRUE);
}

static int port_of(const char *addr)
{
	const char *colon = strrchr(addr, ':');

	return (int)g_ascii_strtoll(colon ? colon + 1 : addr, NULL, 10);
}

/* The server tells the port at which a request came, but not the address. */
static bool is_operators(const jobd_web_t *w, const struct mg_connection *conn)
{
	const jobd_settings_t *s = &w->d->settings;
	int port = port_of(s->metrics_addr);

	return mg_get_request_info(conn)->server_port == port &&
	       port != port_of(s->ready_addr);
}

/* Returns what is wrong with a question, or NULL. */
static const char *decode_question(const GByteArray *body, jobd_event_t *event)
{
	json_t *doc = ffl_pf_json_parse((ffl_bytes_t){ body->data, body->len });
	const json_t *job = json_object_get(doc, "body");
	ffl_request_t *req = &event->ev.request;
	char problem[FFL_REASON_BYTES] = "";
	const struct {
		const char *name;
		const char **out;
	} fields[] = { { "host", &req->host },
		       { "path", &req->path },
		       { "key", &req->key } };
	const char *wrong = NULL;

	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
		const json_t *field = json_object_get(doc, fields[i].name);
		const char *text = json_string_value(field);

		if (!text && (field || fields[i].out != &req->key))
			wrong = "host and path must be strings, as a key";
		text = text ? text : "";
		*fields[i].out =
			ffl_arena_copy(&event->arena, text, strlen(text) + 1);
	}
	if (!json_is_object(doc))
		wrong = "the question is not a JSON object";
	else if (job && !json_is_string(job))
		wrong = "body must be a string: the text of a submission";
	if (!wrong && job) {
		req->spec = ffl_pf_job_decode(
			(ffl_bytes_t){ (const uint8_t *)json_string_value(job),
				       json_string_length(job) },
			problem, sizeof(problem));
		if (!req->spec)
			req->problem = ffl_arena_copy(&event->arena, problem,
						      strlen(problem) + 1);
	}
	json_decref(doc);
	return wrong;
}

static void handle_explain(jobd_web_t *w, struct mg_connection *conn)
{
	size_t max_bytes =
		(size_t)w->d->settings.body_bytes * EXPLAIN_BODY_FACTOR;
	GByteArray *body = g_byte_array_new();
	ffl_status_t status = read_body(conn, body, max_bytes);
	jobd_event_t *event;
	const char *wrong;

	if (status != FFL_OK) {
		send_body_error(conn, status, body->len, max_bytes);
		g_byte_array_unref(body);
		return;
	}
	event = jobd_event_new(FFL_NODE_EV_EXPLAIN);
	wrong = decode_question(body, event);
	g_byte_array_unref(body);
	if (wrong) {
		jobd_event_free(event);
		send_error(conn, FFL_RESPONSE_INVALID, wrong);
		return;
	}
	event->ev.request.kind = FFL_REQUEST_SUBMIT;
	answer(w, conn, event, EXPLAIN_WAIT_MS);
}

static int handle_probe(struct mg_connection *conn, void *user)
{
	jobd_web_t *w = user;
	const struct mg_request_info *info = mg_get_request_info(conn);
	ffl_pf_response_t response = { .status = atomic_load(&w->d->ready)
							 ? 200
							 : 503 };

	mg_disable_connection_keep_alive(conn);
	if (strcmp(info->local_uri, "/metrics") == 0) {
		send_metrics(conn);
		return 1;
	}
	if (strcmp(info->local_uri, "/explain") == 0 && is_operators(w, conn)) {
		if (strcmp(info->request_method, "POST") == 0)
			handle_explain(w, conn);
		else
			send_error(conn, FFL_RESPONSE_NO_METHOD, "");
		return 1;
	}
	ffl_copy(response.body, sizeof(response.body), "{}");
	send_response(conn, &response);
	return 1;
}

static struct mg_context *listen_on(jobd_web_t *w, const char *addr,
				    const char *threads,
				    mg_request_handler handler)
{
	struct mg_callbacks callbacks = { 0 };
	const char *options[] = { "listening_ports",
				  addr,
				  "num_threads",
				  threads,
				  "enable_keep_alive",
				  "no",
				  "tcp_nodelay",
				  "1",
				  "request_timeout_ms",
				  "10000",
				  "decode_url",
				  "no",
				  "connection_queue",
				  "128",
				  "listen_backlog",
				  "512",
				  NULL };
	struct mg_context *ctx = mg_start(&callbacks, w, options);

	if (ctx)
		mg_set_request_handler(ctx, "**", handler, w);
	return ctx;
}

jobd_web_t *jobd_web_start(jobd_t *d)
{
	jobd_web_t *w = g_new0(jobd_web_t, 1);
	char threads[COUNT_TEXT_BYTES];
	char probes[2 * FFL_ADDR_BYTES];

	w->d = d;
	pthread_mutex_init(&w->lock, NULL);
	w->pending = g_hash_table_new(g_int64_hash, g_int64_equal);
	d->web = w;
	g_snprintf(threads, sizeof(threads), "%u", d->settings.threads);
	w->callers =
		listen_on(w, d->settings.callers_addr, threads, handle_request);
	g_snprintf(probes, sizeof(probes), "%s,%s", d->settings.ready_addr,
		   d->settings.metrics_addr);
	w->probes = listen_on(w, probes, PROBE_THREADS, handle_probe);
	if (w->callers && w->probes)
		return w;
	jobd_web_stop(w);
	return NULL;
}

void jobd_web_stop(jobd_web_t *w)
{
	GHashTableIter iter;
	gpointer value;

	atomic_store(&w->closing, true);
	pthread_mutex_lock(&w->lock);
	g_hash_table_iter_init(&iter, w->pending);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		pthread_cond_signal(&((pending_request_t *)value)->responded);
	pthread_mutex_unlock(&w->lock);
	if (w->callers)
		mg_stop(w->callers);
	if (w->probes)
		mg_stop(w->probes);
	g_hash_table_destroy(w->pending);
	pthread_mutex_destroy(&w->lock);
	g_free(w);
}

void jobd_web_respond(jobd_t *d, const ffl_node_act_t *act)
{
	jobd_web_t *w = d->web;
	pending_request_t *request;

	pthread_mutex_lock(&w->lock);
	request = g_hash_table_lookup(w->pending, &act->response.call);
	if (request) {
		ffl_pf_response_encode(&act->response, &request->response);
		request->has_response = true;
		pthread_cond_signal(&request->responded);
	}
	pthread_mutex_unlock(&w->lock);
}

void jobd_web_explain(jobd_t *d, const ffl_node_act_t *act)
{
	char *text = jobd_explanation_format(d->settings.name,
					     act->explain.explanation);
	jobd_web_t *w = d->web;
	pending_request_t *request;

	pthread_mutex_lock(&w->lock);
	request = g_hash_table_lookup(w->pending, &act->explain.call);
	if (request) {
		request->explanation = text;
		request->has_response = true;
		pthread_cond_signal(&request->responded);
		text = NULL;
	}
	pthread_mutex_unlock(&w->lock);
	free(text);
}
