#include <errno.h>
#include <string.h>
#include <time.h>
#include <civetweb.h>

#include "jobd/jobd.h"

/** Longest wait for the core's answer, beyond the caller's own deadline. */
#define WAIT_MAX_MS 10000
#define CHUNK_BYTES 16384
#define MS_PER_S    1000
#define NS_PER_MS   1000000
#define NS_PER_S    1000000000
/** Looks at readiness come once a second. */
#define READY_THREADS	  "2"
#define STACK_COUNT_BYTES 16

/** A call that waits for its answer. */
typedef struct {
	uint64_t id;
	pthread_cond_t changed;
	bool answered;
	ffl_pf_say_t say;
} waiting_t;

struct jobd_web {
	jobd_t *d;
	struct mg_context *callers;
	struct mg_context *looks;
	pthread_mutex_t lock;
	GHashTable *waiting; /**< waiting_t by id */
	uint64_t next_id;
	_Atomic bool closing;
};

static int serve_caller(struct mg_connection *conn, void *user);
static int serve_look(struct mg_connection *conn, void *user);
static void send_metrics(struct mg_connection *conn);
static ffl_status_t read_body(struct mg_connection *conn, GByteArray *body,
			      size_t max_bytes);
static const char *header(const struct mg_connection *conn, const char *name);
static const char *bearer(const struct mg_connection *conn);
static jobd_box_t *make_event(struct mg_connection *conn, uint64_t id,
			      const GByteArray *body);
static void send_say(struct mg_connection *conn, const ffl_pf_say_t *say);
static void send_now(struct mg_connection *conn, ffl_response_kind_t what,
		     const char *problem);
static void open_waiting(jobd_web_t *w, waiting_t *call);
static bool wait_answer(jobd_web_t *w, waiting_t *call);
static void close_waiting(jobd_web_t *w, waiting_t *call);
static struct mg_context *listen_on(jobd_web_t *w, const char *addr,
				    const char *threads,
				    mg_request_handler handler);

static const char *header(const struct mg_connection *conn, const char *name)
{
	const char *value = mg_get_header(conn, name);

	return value ? value : "";
}

static const char *bearer(const struct mg_connection *conn)
{
	static const char prefix[] = "Bearer ";
	const char *value = header(conn, "Authorization");

	if (strncmp(value, prefix, sizeof(prefix) - 1) != 0)
		return "";
	return value + sizeof(prefix) - 1;
}

static ffl_status_t read_body(struct mg_connection *conn, GByteArray *body,
			      size_t max_bytes)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	char buf[CHUNK_BYTES];
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

static jobd_box_t *make_event(struct mg_connection *conn, uint64_t id,
			      const GByteArray *body)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	jobd_box_t *box = jobd_box_new(FFL_NODE_EV_REQUEST);
	ffl_request_t *req = &box->ev.request;
	const char *host = header(conn, "Host");
	const char *key = bearer(conn);
	char problem[FFL_REASON_BYTES];

	req->call = id;
	req->kind = ffl_pf_ask(info->request_method);
	req->host = ffl_arena_copy(&box->arena, host, strlen(host) + 1);
	req->path = ffl_arena_copy(&box->arena, info->local_uri_raw,
				   strlen(info->local_uri_raw) + 1);
	req->key = ffl_arena_copy(&box->arena, key, strlen(key) + 1);
	req->deadline_ms = (uint32_t)g_ascii_strtoull(
		header(conn, "X-Deadline-Ms"), NULL, 10);
	if (req->kind != FFL_REQUEST_SUBMIT)
		return box;
	req->spec = ffl_pf_job_decode((ffl_bytes_t){ body->data, body->len },
				      problem, sizeof(problem));
	if (!req->spec)
		req->problem = ffl_arena_copy(&box->arena, problem,
					      strlen(problem) + 1);
	return box;
}

static void send_say(struct mg_connection *conn, const ffl_pf_say_t *say)
{
	char retry[40] = "";

	if (say->retry_after_s)
		g_snprintf(retry, sizeof(retry), "Retry-After: %u\r\n",
			   say->retry_after_s);
	mg_printf(conn,
		  "HTTP/1.1 %u %s\r\nContent-Type: application/json\r\n"
		  "Content-Length: %zu\r\n%sConnection: close\r\n\r\n%s",
		  say->status,
		  mg_get_response_code_text(conn, (int)say->status),
		  strlen(say->body), retry, say->body);
}

static void send_now(struct mg_connection *conn, ffl_response_kind_t what,
		     const char *problem)
{
	ffl_act_response_t act = { .kind = what };
	ffl_pf_say_t say;

	ffl_copy(act.problem, sizeof(act.problem), problem);
	ffl_pf_say(&act, &say);
	send_say(conn, &say);
}

static void open_waiting(jobd_web_t *w, waiting_t *call)
{
	pthread_condattr_t attr;

	memset(call, 0, sizeof(*call));
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&call->changed, &attr);
	pthread_condattr_destroy(&attr);
	pthread_mutex_lock(&w->lock);
	call->id = ++w->next_id;
	g_hash_table_insert(w->waiting, &call->id, call);
	pthread_mutex_unlock(&w->lock);
}

static bool wait_answer(jobd_web_t *w, waiting_t *call)
{
	struct timespec ts;
	int rc = 0;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	ts.tv_sec += WAIT_MAX_MS / MS_PER_S;
	pthread_mutex_lock(&w->lock);
	while (!call->answered && rc != ETIMEDOUT && !atomic_load(&w->closing))
		rc = pthread_cond_timedwait(&call->changed, &w->lock, &ts);
	pthread_mutex_unlock(&w->lock);
	return call->answered;
}

static void close_waiting(jobd_web_t *w, waiting_t *call)
{
	pthread_mutex_lock(&w->lock);
	g_hash_table_remove(w->waiting, &call->id);
	pthread_mutex_unlock(&w->lock);
	pthread_cond_destroy(&call->changed);
}

static int serve_caller(struct mg_connection *conn, void *user)
{
	jobd_web_t *w = user;
	GByteArray *body = g_byte_array_new();
	ffl_status_t status = read_body(conn, body, w->d->settings.body_bytes);
	waiting_t call;

	mg_disable_connection_keep_alive(conn);
	if (status != FFL_OK) {
		send_now(conn, FFL_RESPONSE_INVALID,
			 status == FFL_FULL ? "the body is too large"
					    : "the body ends too early");
		g_byte_array_unref(body);
		return 1;
	}
	open_waiting(w, &call);
	if (!jobd_post(w->d, make_event(conn, call.id, body)))
		send_now(conn, FFL_RESPONSE_BUSY, "too many calls");
	else if (wait_answer(w, &call))
		send_say(conn, &call.say);
	else
		send_now(conn, FFL_RESPONSE_UNKNOWN, "no answer in time");
	close_waiting(w, &call);
	g_byte_array_unref(body);
	return 1;
}

static void send_metrics(struct mg_connection *conn)
{
	GString *text = g_string_new(NULL);

	jobd_metrics_format(text);
	mg_printf(conn,
		  "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
		  "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
		  text->len, text->str);
	g_string_free(text, TRUE);
}

static int serve_look(struct mg_connection *conn, void *user)
{
	const jobd_web_t *w = user;
	ffl_pf_say_t say = { .status = atomic_load(&w->d->ready) ? 200 : 503 };

	mg_disable_connection_keep_alive(conn);
	if (strcmp(mg_get_request_info(conn)->local_uri, "/metrics") == 0) {
		send_metrics(conn);
		return 1;
	}
	ffl_copy(say.body, sizeof(say.body), "{}");
	send_say(conn, &say);
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
	char threads[STACK_COUNT_BYTES];
	char looks[2 * FFL_ADDR_BYTES];

	w->d = d;
	pthread_mutex_init(&w->lock, NULL);
	w->waiting = g_hash_table_new(g_int64_hash, g_int64_equal);
	d->web = w;
	g_snprintf(threads, sizeof(threads), "%u", d->settings.threads);
	w->callers = listen_on(w, d->settings.callers, threads, serve_caller);
	g_snprintf(looks, sizeof(looks), "%s,%s", d->settings.ready,
		   d->settings.metrics);
	w->looks = listen_on(w, looks, READY_THREADS, serve_look);
	if (w->callers && w->looks)
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
	g_hash_table_iter_init(&iter, w->waiting);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		pthread_cond_signal(&((waiting_t *)value)->changed);
	pthread_mutex_unlock(&w->lock);
	if (w->callers)
		mg_stop(w->callers);
	if (w->looks)
		mg_stop(w->looks);
	g_hash_table_destroy(w->waiting);
	pthread_mutex_destroy(&w->lock);
	g_free(w);
}

void jobd_web_answer(jobd_t *d, const ffl_node_act_t *act)
{
	jobd_web_t *w = d->web;
	waiting_t *call;

	pthread_mutex_lock(&w->lock);
	call = g_hash_table_lookup(w->waiting, &act->response.call);
	if (call) {
		ffl_pf_say(&act->response, &call->say);
		call->answered = true;
		pthread_cond_signal(&call->changed);
	}
	pthread_mutex_unlock(&w->lock);
}
