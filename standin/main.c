#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <argtable2.h>
#include <jansson.h>

#include "standin/standin.h"

#define MS_PER_S   1000
#define NS_PER_MS  1000000
#define READ_BYTES 16384
/** Properties of the simulated workers. */
#define ACCELERATORS	 8
#define WORKERS_PER_RACK 8
#define CORES		 32
#define MEMORY_MB	 65536
/** Slots of an upstream by default and at most, and its connections. */
#define SLOTS		 8
#define SLOTS_MAX	 256
#define CONNECTIONS	 64
#define DATA_CENTRES_MAX 32
#define PLATFORM_THREADS "64"
/** Exit codes: wrong options, and an address that cannot be listened on. */
#define EXIT_USAGE   2
#define EXIT_ADDRESS 4

static void add_host(standin_t *p, const ffl_host_info_t *info);
static void add_worker(standin_t *p, const char *dc, const char *region,
		       uint32_t n, const char *addr);
static bool add_upstream(standin_t *p, const char *dc, const char *region,
			 uint32_t n, uint32_t port);
static ffl_status_t add_dc(standin_t *p, const char *text, const char *addr,
			   uint32_t *port);
static int add_dcs(standin_t *p, const struct arg_str *dcs, const char *addr,
		   uint32_t port);
static uint64_t query_number(const char *query, const char *name);
static int serve_hosts(struct mg_connection *conn, void *standin);
static int serve_faults(struct mg_connection *conn, void *standin);
static int serve_state(struct mg_connection *conn, void *standin);
static struct mg_context *listen_on(const char *addr, const char *threads);

uint64_t standin_now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * MS_PER_S +
	       (uint64_t)ts.tv_nsec / NS_PER_MS;
}

void standin_send(struct mg_connection *conn, int http_status, const char *type,
		  const void *body, size_t size_bytes)
{
	mg_printf(conn,
		  "HTTP/1.1 %d %s\r\nContent-Type: %s\r\n"
		  "Content-Length: %zu\r\n\r\n",
		  http_status, mg_get_response_code_text(conn, http_status),
		  type, size_bytes);
	if (size_bytes)
		mg_write(conn, body, size_bytes);
}

bool standin_read_body(struct mg_connection *conn, GByteArray *body)
{
	char buf[READ_BYTES];
	int n;

	while ((n = mg_read(conn, buf, sizeof(buf))) > 0)
		g_byte_array_append(body, (guint8 *)buf, (guint)n);
	return n == 0;
}

static void add_host(standin_t *p, const ffl_host_info_t *info)
{
	g_array_append_val(p->hosts, *info);
	p->host_list_version++;
	g_array_append_val(p->change_versions, p->host_list_version);
}

static void add_worker(standin_t *p, const char *dc, const char *region,
		       uint32_t n, const char *addr)
{
	worker_t *w = g_new0(worker_t, 1);
	ffl_host_info_t info = { .kind = FFL_HOST_WORKER,
				 .rack = n / WORKERS_PER_RACK,
				 .position = n % WORKERS_PER_RACK,
				 .cores = CORES,
				 .memory_mb = MEMORY_MB,
				 .accelerators = ACCELERATORS };

	g_snprintf(info.name, sizeof(info.name), "%.32s-w%u", dc, n);
	pthread_mutex_init(&w->lock, NULL);
	fake_worker_init(&w->fake, info.name);
	g_ptr_array_add(p->workers, w);
	ffl_copy(info.dc, sizeof(info.dc), dc);
	ffl_copy(info.region, sizeof(info.region), region);
	ffl_copy(info.addr, sizeof(info.addr), addr);
	add_host(p, &info);
}

static bool add_upstream(standin_t *p, const char *dc, const char *region,
			 uint32_t n, uint32_t port)
{
	upstream_t *u = g_new0(upstream_t, 1);
	char threads[16];
	ffl_host_info_t info = { .kind = FFL_HOST_UPSTREAM,
				 .slots = p->slots,
				 .connections = CONNECTIONS };

	g_snprintf(u->name, sizeof(u->name), "%.32s-u%u", dc, n);
	g_snprintf(info.addr, sizeof(info.addr), "127.0.0.1:%u", port);
	pthread_mutex_init(&u->lock, NULL);
	u->slots = p->slots;
	g_snprintf(threads, sizeof(threads), "%u", 2 * p->slots);
	u->ctx = listen_on(info.addr, threads);
	if (!u->ctx) {
		fprintf(stderr, "ffl-platform: cannot listen on %s\n",
			info.addr);
		return false;
	}
	mg_set_request_handler(u->ctx, "**", standin_serve_upstream, u);
	g_ptr_array_add(p->upstreams, u);
	ffl_copy(info.name, sizeof(info.name), u->name);
	ffl_copy(info.dc, sizeof(info.dc), dc);
	ffl_copy(info.region, sizeof(info.region), region);
	add_host(p, &info);
	return true;
}

/* Adds a data centre given as NAME:REGION:WORKERS:UPSTREAMS. */
static ffl_status_t add_dc(standin_t *p, const char *text, const char *addr,
			   uint32_t *port)
{
	gchar **part = g_strsplit(text, ":", 0);
	bool well_formed = g_strv_length(part) == 4;
	bool ok = well_formed;

	for (uint32_t i = 0; ok && i < strtoul(part[2], NULL, 10); i++)
		add_worker(p, part[0], part[1], i, addr);
	for (uint32_t i = 0; ok && i < strtoul(part[3], NULL, 10); i++)
		ok = add_upstream(p, part[0], part[1], i, (*port)++);
	g_strfreev(part);
	if (!well_formed)
		return FFL_INVALID;
	return ok ? FFL_OK : FFL_SYSTEM;
}

/* Adds all data centres; returns 0 or an exit code. */
static int add_dcs(standin_t *p, const struct arg_str *dcs, const char *addr,
		   uint32_t port)
{
	for (int i = 0; i < dcs->count; i++) {
		switch (add_dc(p, dcs->sval[i], addr, &port)) {
		case FFL_OK:
			break;
		case FFL_INVALID:
			fprintf(stderr,
				"ffl-platform: --dc %s: expected "
				"NAME:REGION:WORKERS:UPSTREAMS\n",
				dcs->sval[i]);
			return EXIT_USAGE;
		default:
			return EXIT_ADDRESS;
		}
	}
	return 0;
}

static uint64_t query_number(const char *query, const char *name)
{
	char value[32];

	if (!query ||
	    mg_get_var(query, strlen(query), name, value, sizeof(value)) < 0)
		return 0;
	return strtoull(value, NULL, 10);
}

/* Sends the hosts that changed after version since if the caller knows a list
 * of this process by its seed, otherwise all hosts. */
static int serve_hosts(struct mg_connection *conn, void *standin)
{
	const char *query = mg_get_request_info(conn)->query_string;
	standin_t *p = standin;
	GByteArray *body = g_byte_array_new();
	GArray *infos = g_array_new(FALSE, TRUE, sizeof(ffl_host_info_t));
	ffl_host_list_t list = { 0 };
	uint64_t since = query_number(query, "since");

	pthread_mutex_lock(&p->lock);
	list.seed = p->host_list_seed;
	list.version = p->host_list_version;
	list.delta = query_number(query, "seed") == p->host_list_seed;
	for (guint i = 0; i < p->hosts->len; i++) {
		if (!list.delta ||
		    g_array_index(p->change_versions, uint64_t, i) > since)
			g_array_append_val(
				infos,
				g_array_index(p->hosts, ffl_host_info_t, i));
	}
	pthread_mutex_unlock(&p->lock);
	list.hosts.items = infos->data;
	list.hosts.count = infos->len;
	ffl_schema_encode(&ffl_host_list_schema, &list, body);
	standin_send(conn, 200, "application/msgpack", body->data, body->len);
	g_array_free(infos, TRUE);
	g_byte_array_free(body, TRUE);
	return 1;
}

/*
 * Sets faults from the query parameters:
 * down=1 or 0: the log rejects every call, or no longer does;
 * lose=N: the next N appends take effect but are answered with 504;
 * delay_ms=N: delay of every response of the log;
 * trim=N: drops the records before offset N;
 * leaving=NAME: marks a host as leaving in the list of hosts;
 * frozen=NAME: makes a worker answer every command with 500, or no longer.
 */
static int serve_faults(struct mg_connection *conn, void *standin)
{
	const char *q = mg_get_request_info(conn)->query_string;
	standin_t *p = standin;
	size_t len = q ? strlen(q) : 0;
	char v[FFL_NAME_BYTES];
	worker_t *w;

	pthread_mutex_lock(&p->lock);
	if (mg_get_var(q, len, "down", v, sizeof(v)) > 0)
		p->log.down = v[0] == '1';
	if (mg_get_var(q, len, "lose", v, sizeof(v)) > 0)
		p->log.lose_append_replies = (uint32_t)strtoul(v, NULL, 10);
	if (mg_get_var(q, len, "delay_ms", v, sizeof(v)) > 0)
		p->log_delay_ms = (uint32_t)strtoul(v, NULL, 10);
	if (mg_get_var(q, len, "trim", v, sizeof(v)) > 0)
		fake_log_trim(&p->log, strtoull(v, NULL, 10));
	if (mg_get_var(q, len, "leaving", v, sizeof(v)) > 0) {
		for (guint i = 0; i < p->hosts->len; i++) {
			ffl_host_info_t *h =
				&g_array_index(p->hosts, ffl_host_info_t, i);

			if (strcmp(h->name, v) != 0)
				continue;
			h->leaving = true;
			g_array_index(p->change_versions, uint64_t, i) =
				++p->host_list_version;
		}
	}
	if (mg_get_var(q, len, "frozen", v, sizeof(v)) > 0) {
		w = standin_find_worker(p, v);
		if (w)
			w->frozen = !w->frozen;
	}
	pthread_cond_broadcast(&p->appended);
	pthread_mutex_unlock(&p->lock);
	standin_send(conn, 200, "text/plain", "ok\n", 3);
	return 1;
}

/* Sends the range of the log and the counters of the hosts, for tests. */
static int serve_state(struct mg_connection *conn, void *standin)
{
	standin_t *p = standin;
	json_t *hosts = json_object();
	json_t *json;
	char *text;

	for (guint i = 0; i < p->workers->len; i++) {
		const worker_t *w = g_ptr_array_index(p->workers, i);

		json_object_set_new(hosts, w->fake.name,
				    json_pack("{s:i,s:I}", "starts",
					      (int)w->fake.starts, "epoch",
					      (json_int_t)w->fake.epoch));
	}
	for (guint i = 0; i < p->upstreams->len; i++) {
		const upstream_t *u = g_ptr_array_index(p->upstreams, i);

		json_object_set_new(
			hosts, u->name,
			json_pack("{s:I,s:I,s:I,s:i,s:i}", "served",
				  (json_int_t)u->served, "runs",
				  (json_int_t)u->accepted, "truncated",
				  (json_int_t)u->truncated, "busy",
				  (int)u->busy, "peak", (int)u->peak_busy));
	}
	json = json_pack("{s:I,s:I,s:o}", "first", (json_int_t)p->log.first,
			 "end", (json_int_t)fake_log_end(&p->log), "hosts",
			 hosts);
	text = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	standin_send(conn, 200, "application/json", text, strlen(text));
	free(text);
	return 1;
}

static struct mg_context *listen_on(const char *addr, const char *threads)
{
	const char *options[] = { "listening_ports",
				  addr,
				  "num_threads",
				  threads,
				  "enable_keep_alive",
				  "yes",
				  "tcp_nodelay",
				  "1",
				  "keep_alive_timeout_ms",
				  "30000",
				  "decode_url",
				  "no",
				  NULL };
	struct mg_callbacks callbacks = { 0 };

	return mg_start(&callbacks, NULL, options);
}

int main(int argc, char **argv)
{
	struct arg_str *listen =
		arg_str0("l", "listen", "IP:PORT", "address (127.0.0.1:7100)");
	struct arg_int *port = arg_int0("u", "upstreams", "PORT",
					"first port of upstreams (7200)");
	struct arg_int *slots =
		arg_int0("s", "slots", "N", "slots of each upstream (8)");
	struct arg_str *dcs =
		arg_strn("d", "dc", "NAME:REGION:WORKERS:UPSTREAMS", 1,
			 DATA_CENTRES_MAX, "a data centre");
	struct arg_end *end = arg_end(8);
	void *table[] = { listen, port, slots, dcs, end };
	standin_t p = { 0 };
	struct mg_context *ctx;
	uint32_t next_port;
	const char *addr;
	sigset_t set;
	int sig;
	int rc;

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "ffl-platform");
		return EXIT_USAGE;
	}
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	mg_init_library(0);
	pthread_mutex_init(&p.lock, NULL);
	pthread_cond_init(&p.appended, NULL);
	fake_log_init(&p.log);
	p.hosts = g_array_new(FALSE, TRUE, sizeof(ffl_host_info_t));
	p.change_versions = g_array_new(FALSE, TRUE, sizeof(uint64_t));
	p.host_list_seed = standin_now_ms() | 1;
	p.workers = g_ptr_array_new();
	p.upstreams = g_ptr_array_new();
	p.slots = slots->count ? (uint32_t)slots->ival[0] : SLOTS;
	if (p.slots < 1 || p.slots > SLOTS_MAX) {
		fprintf(stderr,
			"ffl-platform: --slots %d: must be from 1 to %d\n",
			slots->ival[0], SLOTS_MAX);
		return EXIT_USAGE;
	}
	addr = listen->count ? listen->sval[0] : "127.0.0.1:7100";
	next_port = port->count ? (uint32_t)port->ival[0] : 7200;
	rc = add_dcs(&p, dcs, addr, next_port);
	if (rc)
		return rc;
	ctx = listen_on(addr, PLATFORM_THREADS);
	if (!ctx) {
		fprintf(stderr, "ffl-platform: cannot listen on %s\n", addr);
		return EXIT_ADDRESS;
	}
	mg_set_request_handler(ctx, "/v1/log", standin_serve_log, &p);
	mg_set_request_handler(ctx, "/v1/hosts", serve_hosts, &p);
	mg_set_request_handler(ctx, "/v1/workers/", standin_serve_worker, &p);
	mg_set_request_handler(ctx, "/v1/faults", serve_faults, &p);
	mg_set_request_handler(ctx, "/v1/state", serve_state, &p);
	puts("ffl-platform: ready");
	fflush(stdout);
	sigwait(&set, &sig);
	mg_stop(ctx);
	return 0;
}
