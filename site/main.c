#include <inttypes.h>
#include <stdatomic.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <argtable2.h>

#include "site/site.h"

#define MS_PER_S	 1000
#define SILENCE_CHECK_MS 50
#define NS_PER_MS	 1000000
/** Interval between two updates of the workers' records in the log. */
#define PUBLISH_MS 500
#define READ_BYTES 16384
/** One for each connection that callers keep open. */
#define THREADS	    "320"
#define STATE_BYTES 160
/** Pieces that a response sent slowly is divided into. */
#define PIECE_COUNT 16

static int number_connection(const struct mg_connection *conn, void **data);
static int begin_request(struct mg_connection *conn);
static int serve_config(struct mg_connection *conn, void *site);
static int serve_fault(struct mg_connection *conn, void *site);
static int serve_state(struct mg_connection *conn, void *site);
static void *advance_workers(void *arg);
static char *list_addresses(const site_http_t *s);
static bool run_server(site_http_t *s);

/** Connections that were opened, and how many of the first of them went silent.
 */
static _Atomic uint64_t conn_count;
static _Atomic uint64_t silent_count;

/** Handlers by path; the patterns are those of CivetWeb. */
static const struct {
	const char *path;
	mg_request_handler handler;
} routes[] = {
	{ "/-/advise$", site_http_serve_advice },
	{ "/-/log-append$", site_http_serve_append },
	{ "/-/log-read$", site_http_serve_read },
	{ "/-/log-newest$", site_http_serve_newest },
	{ "/-/hold$", site_http_serve_order },
	{ "/-/pace$", site_http_serve_order },
	{ "/-/run-*$", site_http_serve_order },
	{ "/entry$", site_http_serve_entry },
	{ "/config$", serve_config },
	{ "/fault$", serve_fault },
	{ "/state$", serve_state },
};

uint64_t site_http_now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * MS_PER_S +
	       (uint64_t)ts.tv_nsec / NS_PER_MS;
}

void site_http_wait_change(site_http_t *s, uint64_t until_ms)
{
	struct timespec ts = { (time_t)(until_ms / MS_PER_S),
			       (long)(until_ms % MS_PER_S) * NS_PER_MS };

	pthread_cond_timedwait(&s->changed, &s->lock, &ts);
}

static int number_connection(const struct mg_connection *conn, void **data)
{
	*data = GSIZE_TO_POINTER(atomic_fetch_add(&conn_count, 1) + 1);
	return 0;
}

void site_http_stay_silent(const struct mg_connection *conn)
{
	const struct timespec pause = { 0, SILENCE_CHECK_MS * NS_PER_MS };

	while (GPOINTER_TO_SIZE(mg_get_user_connection_data(conn)) <=
	       atomic_load(&silent_count))
		nanosleep(&pause, NULL);
}

static int begin_request(struct mg_connection *conn)
{
	site_http_stay_silent(conn);
	return 0;
}

void site_http_send(struct mg_connection *conn, int status, const void *body,
		    size_t size_bytes)
{
	site_http_stay_silent(conn);
	mg_printf(conn, "HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n\r\n", status,
		  mg_get_response_code_text(conn, status), size_bytes);
	if (size_bytes)
		mg_write(conn, body, size_bytes);
}

void site_http_send_slowly(struct mg_connection *conn, const char *body,
			   uint32_t ms)
{
	struct timespec pause = { 0, (long)(ms / PIECE_COUNT) * NS_PER_MS };
	size_t left = strlen(body);
	size_t piece = left / PIECE_COUNT + 1;

	mg_printf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n", left);
	while (left) {
		size_t n = MIN(left, piece);

		mg_write(conn, body, n);
		body += n;
		left -= n;
		nanosleep(&pause, NULL);
	}
}

bool site_http_read_body(struct mg_connection *conn, GByteArray *body)
{
	char buf[READ_BYTES];
	int n;

	while ((n = mg_read(conn, buf, sizeof(buf))) > 0)
		g_byte_array_append(body, (const guint8 *)buf, (guint)n);
	return n == 0;
}

/* Stores the body as the newest configuration, as an operator of the platform
 * would. */
static int serve_config(struct mg_connection *conn, void *site)
{
	site_http_t *s = site;
	GByteArray *body = g_byte_array_new();

	site_http_read_body(conn, body);
	pthread_mutex_lock(&s->lock);
	keyed_log_put(&s->topics[FFL_TOPIC_CONFIG], "config", body->data,
		      body->len);
	pthread_cond_broadcast(&s->changed);
	pthread_mutex_unlock(&s->lock);
	g_byte_array_unref(body);
	site_http_send(conn, 200, "", 0);
	return 1;
}

/*
 * Sets a fault from the query parameters kind and n:
 * down, up: the log rejects every call, or no longer does;
 * lost: the next n appends take effect without a response;
 * slow: a page of newest records takes n ms to send;
 * forget: the log drops its history, but not the newest records;
 * cold: all workers say that they are cold, for n ms;
 * crash, drain: worker n;
 * silence: connections that are open, also this one, carry nothing any more.
 */
static int serve_fault(struct mg_connection *conn, void *site)
{
	site_http_t *s = site;
	const char *query = mg_get_request_info(conn)->query_string;
	char kind[16] = "";
	char text[16] = "0";
	uint32_t n;

	if (query) {
		mg_get_var(query, strlen(query), "kind", kind, sizeof(kind));
		mg_get_var(query, strlen(query), "n", text, sizeof(text));
	}
	n = (uint32_t)strtoul(text, NULL, 10);
	pthread_mutex_lock(&s->lock);
	if (strcmp(kind, "down") == 0 || strcmp(kind, "up") == 0)
		s->log_down = kind[0] == 'd';
	else if (strcmp(kind, "lost") == 0)
		s->unanswered_appends = n;
	else if (strcmp(kind, "slow") == 0)
		s->newest_send_ms = n;
	else if (strcmp(kind, "cold") == 0)
		s->cold_until_ms = site_http_now_ms() + n;
	else if (strcmp(kind, "crash") == 0 && n < s->worker_count)
		task_worker_crash(&s->workers[n]);
	else if (strcmp(kind, "drain") == 0 && n < s->worker_count)
		s->workers[n].draining = true;
	for (uint32_t i = 0; i < FFL_TAILS_MAX && strcmp(kind, "forget") == 0;
	     i++)
		keyed_log_trim_history(&s->topics[i]);
	pthread_mutex_unlock(&s->lock);
	site_http_send(conn, 200, "", 0);
	if (strcmp(kind, "silence") == 0)
		atomic_store(&silent_count, atomic_load(&conn_count));
	return 1;
}

static int serve_state(struct mg_connection *conn, void *site)
{
	site_http_t *s = site;
	char text[STATE_BYTES];
	uint32_t running = 0;

	pthread_mutex_lock(&s->lock);
	for (uint32_t i = 0; i < s->worker_count; i++)
		running += s->workers[i].runs->len;
	g_snprintf(text, sizeof(text),
		   "{\"running\":%u,\"starts\":%" PRIu64 ",\"advised\":%" PRIu64
		   ",\"renewal_gap_ms\":%" PRIu64 "}",
		   running, s->starts, s->advice_calls, s->renewal_gap_ms);
	pthread_mutex_unlock(&s->lock);
	site_http_send(conn, 200, text, strlen(text));
	return 1;
}

static void *advance_workers(void *arg)
{
	site_http_t *s = arg;
	struct timespec pause = { 0, SITE_HTTP_ADVANCE_MS * NS_PER_MS };
	uint64_t last_ms = site_http_now_ms();
	uint64_t published_ms = 0;

	for (;;) {
		uint64_t now_ms;

		nanosleep(&pause, NULL);
		now_ms = site_http_now_ms();
		pthread_mutex_lock(&s->lock);
		for (uint32_t i = 0; i < s->worker_count; i++) {
			task_worker_t *w = &s->workers[i];
			uint64_t next_end = w->last_end;

			if (!w->alive)
				continue;
			task_worker_tick(w, now_ms,
					 (uint32_t)(now_ms - last_ms),
					 &site_http_hooks);
			if (w->last_end != next_end)
				pthread_cond_broadcast(&s->changed);
		}
		if (now_ms - published_ms >= PUBLISH_MS) {
			site_http_publish_workers(s);
			published_ms = now_ms;
		}
		pthread_mutex_unlock(&s->lock);
		last_ms = now_ms;
	}
	return NULL;
}

/* Returns the addresses of the log and of each worker, separated by commas. */
static char *list_addresses(const site_http_t *s)
{
	GString *out = g_string_new(s->addr);
	char addr[FFL_ADDR_BYTES];

	for (uint32_t i = 0; i < s->worker_count; i++) {
		site_http_worker_addr(s, i, addr);
		g_string_append_printf(out, ",%s", addr);
	}
	return g_string_free(out, FALSE);
}

static bool run_server(site_http_t *s)
{
	char *addresses = list_addresses(s);
	const char *options[] = {
		"listening_ports",	 addresses, "num_threads", THREADS,
		"enable_keep_alive",	 "yes",	    "tcp_nodelay", "1",
		"keep_alive_timeout_ms", "10000",   NULL
	};
	struct mg_callbacks callbacks = { .init_connection = number_connection,
					  .begin_request = begin_request };
	struct mg_context *ctx = mg_start(&callbacks, s, options);
	pthread_t thread;

	g_free(addresses);
	if (!ctx)
		return false;
	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++)
		mg_set_request_handler(ctx, routes[i].path, routes[i].handler,
				       s);
	pthread_create(&thread, NULL, advance_workers, s);
	pthread_join(thread, NULL);
	return true;
}

int main(int argc, char **argv)
{
	struct arg_str *addr =
		arg_str1("l", "listen", "IP:PORT", "address to listen on");
	struct arg_int *workers =
		arg_int0("w", "workers", "N", "number of workers (4)");
	struct arg_end *end = arg_end(4);
	void *table[] = { addr, workers, end };
	static site_http_t s;
	pthread_condattr_t attr;

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "ffl-site");
		return 2;
	}
	ffl_copy(s.addr, sizeof(s.addr), addr->sval[0]);
	s.worker_count = workers->count ? (uint32_t)workers->ival[0] : 4;
	if (s.worker_count > SITE_HTTP_WORKERS_MAX)
		s.worker_count = SITE_HTTP_WORKERS_MAX;
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	signal(SIGPIPE, SIG_IGN);
	mg_init_library(0);
	pthread_mutex_init(&s.lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&s.changed, &attr);
	for (uint32_t i = 0; i < FFL_TAILS_MAX; i++)
		keyed_log_init(&s.topics[i]);
	for (uint32_t i = 0; i < s.worker_count; i++)
		task_worker_init(&s.workers[i], i, site_http_now_ms());
	if (run_server(&s))
		return 0;
	fprintf(stderr, "ffl-site: cannot listen on %s\n", s.addr);
	return 4;
}
