#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "standin/standin.h"

#define MS_PER_S  1000
#define NS_PER_MS 1000000
/** Length that a large truncated response declares, and the bytes that it
 * sends; a chunked one sends as many. */
#define DECLARED_BYTES 300000
#define SENT_BYTES     200000
#define CHUNK_BYTES    10000
#define ID_HEADER      "Fireflyledge-Request-Id"

/** Sends a response that is invalid or incomplete, or none. */
typedef void (*fault_fn_t)(struct mg_connection *conn);

/** A fault that a request asks for with the header X-Fault. */
typedef struct {
	const char *name;
	fault_fn_t run;
} fault_t;

static uint64_t header_number(const struct mg_connection *conn,
			      const char *name);
static void send_filler(struct mg_connection *conn, size_t size_bytes);
static void send_filler_chunked(struct mg_connection *conn, size_t size_bytes);
static void fault_close(struct mg_connection *conn);
static void fault_truncate(struct mg_connection *conn);
static void fault_truncate_big(struct mg_connection *conn);
static void fault_oversize(struct mg_connection *conn);
static void fault_crossed(struct mg_connection *conn);
static void fault_two_lengths(struct mg_connection *conn);
static void fault_length_and_chunked(struct mg_connection *conn);
static void fault_no_length(struct mg_connection *conn);
static void fault_chunk_cut(struct mg_connection *conn);
static void fault_chunk_cut_big(struct mg_connection *conn);
static void fault_bad_chunk(struct mg_connection *conn);
static void fault_garbage(struct mg_connection *conn);
static void fault_redirect(struct mg_connection *conn);
static void fault_not_run(struct mg_connection *conn);
static bool respond_with_fault(struct mg_connection *conn);
static void respond(struct mg_connection *conn, const upstream_t *u,
		    const GByteArray *body);
static void describe_request(struct mg_connection *conn, GByteArray *body);

static const fault_t faults[] = {
	{ "close", fault_close },
	{ "truncate", fault_truncate },
	{ "truncate-big", fault_truncate_big },
	{ "oversize", fault_oversize },
	{ "crossed", fault_crossed },
	{ "two-lengths", fault_two_lengths },
	{ "length-and-chunked", fault_length_and_chunked },
	{ "no-length", fault_no_length },
	{ "chunk-cut", fault_chunk_cut },
	{ "chunk-cut-big", fault_chunk_cut_big },
	{ "bad-chunk", fault_bad_chunk },
	{ "garbage", fault_garbage },
	{ "redirect", fault_redirect },
	{ "not-run", fault_not_run },
};

upstream_t *standin_find_upstream(standin_t *p, const char *name)
{
	for (guint i = 0; i < p->upstreams->len; i++) {
		upstream_t *u = g_ptr_array_index(p->upstreams, i);

		if (strcmp(u->name, name) == 0)
			return u;
	}
	return NULL;
}

static uint64_t header_number(const struct mg_connection *conn,
			      const char *name)
{
	const char *text = mg_get_header(conn, name);

	return text ? strtoull(text, NULL, 10) : 0;
}

static void send_filler(struct mg_connection *conn, size_t size_bytes)
{
	char *data = g_malloc(size_bytes + 1);

	memset(data, 'a', size_bytes);
	mg_write(conn, data, size_bytes);
	g_free(data);
}

static void send_filler_chunked(struct mg_connection *conn, size_t size_bytes)
{
	char data[CHUNK_BYTES];

	memset(data, 'a', sizeof(data));
	for (size_t sent = 0; sent < size_bytes; sent += sizeof(data))
		mg_send_chunk(conn, data, sizeof(data));
}

static void fault_close(struct mg_connection *conn)
{
}

static void fault_truncate(struct mg_connection *conn)
{
	mg_printf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n"
			"only this");
}

static void fault_truncate_big(struct mg_connection *conn)
{
	mg_printf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n",
		  DECLARED_BYTES);
	send_filler(conn, SENT_BYTES);
}

static void fault_oversize(struct mg_connection *conn)
{
	mg_printf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
			"whole and more");
}

static void fault_crossed(struct mg_connection *conn)
{
	mg_printf(conn, "HTTP/1.1 200 OK\r\n" ID_HEADER ": other-1\r\n"
			"Content-Length: 5\r\n\r\nother");
}

static void fault_two_lengths(struct mg_connection *conn)
{
	mg_printf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
			"Content-Length: 6\r\n\r\nwhole!");
}

static void fault_length_and_chunked(struct mg_connection *conn)
{
	mg_printf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
			"Transfer-Encoding: chunked\r\n\r\n"
			"5\r\nwhole\r\n0\r\n\r\n");
}

static void fault_no_length(struct mg_connection *conn)
{
	mg_printf(conn, "HTTP/1.1 200 OK\r\n\r\nuntil the end");
}

static void fault_chunk_cut(struct mg_connection *conn)
{
	mg_printf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
			"5\r\nwhole\r\n");
}

static void fault_chunk_cut_big(struct mg_connection *conn)
{
	mg_printf(conn,
		  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
	send_filler_chunked(conn, SENT_BYTES);
}

static void fault_bad_chunk(struct mg_connection *conn)
{
	mg_printf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
			"zz\r\nwhole\r\n0\r\n\r\n");
}

static void fault_garbage(struct mg_connection *conn)
{
	mg_printf(conn, "\001\002\003 no protocol\r\n\r\n");
}

static void fault_redirect(struct mg_connection *conn)
{
	mg_printf(conn, "HTTP/1.1 302 Found\r\nLocation: /elsewhere\r\n"
			"Content-Length: 0\r\n\r\n");
}

static void fault_not_run(struct mg_connection *conn)
{
	mg_printf(conn, "HTTP/1.1 503 Busy\r\nX-Did-Not-Run: 1\r\n"
			"Content-Length: 0\r\n\r\n");
}

static bool respond_with_fault(struct mg_connection *conn)
{
	const char *name = mg_get_header(conn, "X-Fault");

	for (size_t i = 0; name && i < G_N_ELEMENTS(faults); i++) {
		if (strcmp(faults[i].name, name) != 0)
			continue;
		mg_disable_connection_keep_alive(conn);
		faults[i].run(conn);
		return true;
	}
	return false;
}

/* Replaces the body by the request line and the headers that were received. */
static void describe_request(struct mg_connection *conn, GByteArray *body)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	GString *text = g_string_new(NULL);

	g_string_printf(text, "%s %s?%s\n", info->request_method,
			info->request_uri,
			info->query_string ? info->query_string : "");
	for (int i = 0; i < info->num_headers; i++)
		g_string_append_printf(text, "%s: %s\n",
				       info->http_headers[i].name,
				       info->http_headers[i].value);
	g_byte_array_set_size(body, 0);
	g_byte_array_append(body, (guint8 *)text->str, (guint)text->len);
	g_string_free(text, TRUE);
}

/* Echoes the body, or sends X-Answer-Bytes bytes if the request has that
 * header. */
static void respond(struct mg_connection *conn, const upstream_t *u,
		    const GByteArray *body)
{
	const char *id = mg_get_header(conn, ID_HEADER);
	uint64_t bytes = header_number(conn, "X-Answer-Bytes");
	bool chunked = mg_get_header(conn, "X-Answer-Chunked") != NULL;

	mg_printf(
		conn,
		"HTTP/1.1 200 OK\r\nX-Served-By: %s\r\n" ID_HEADER ": %s\r\n"
		"Content-Type: text/plain\r\nConnection: X-Hop, keep-alive\r\n"
		"X-Hop: 1\r\n",
		u->name, id ? id : "");
	if (chunked) {
		mg_printf(conn, "Transfer-Encoding: chunked\r\n\r\n");
		send_filler_chunked(conn, bytes);
		mg_send_chunk(conn, "", 0);
		return;
	}
	mg_printf(conn, "Content-Length: %zu\r\n\r\n",
		  bytes ? (size_t)bytes : body->len);
	if (strcmp(mg_get_request_info(conn)->request_method, "HEAD") == 0)
		return;
	if (bytes)
		send_filler(conn, bytes);
	else if (body->len)
		mg_write(conn, body->data, body->len);
}

/* Serves a request after X-Work-Ms. Without a free slot the response states
 * that the request was not run. */
int standin_serve_upstream(struct mg_connection *conn, void *upstream)
{
	upstream_t *u = upstream;
	GByteArray *body = g_byte_array_new();
	uint64_t ms = header_number(conn, "X-Work-Ms");
	struct timespec ts = { (time_t)(ms / MS_PER_S),
			       (long)(ms % MS_PER_S) * NS_PER_MS };
	bool complete = standin_read_body(conn, body);
	bool has_slot;

	pthread_mutex_lock(&u->lock);
	has_slot = u->busy < u->slots;
	u->truncated += complete ? 0 : 1;
	u->accepted += complete && has_slot ? 1 : 0;
	u->busy++;
	if (u->busy > u->peak_busy)
		u->peak_busy = u->busy;
	pthread_mutex_unlock(&u->lock);
	if (has_slot && complete && ms)
		nanosleep(&ts, NULL);
	if (!complete)
		mg_disable_connection_keep_alive(conn);
	else if (!has_slot)
		fault_not_run(conn);
	else if (!respond_with_fault(conn)) {
		if (mg_get_header(conn, "X-Tell-Head"))
			describe_request(conn, body);
		respond(conn, u, body);
	}
	pthread_mutex_lock(&u->lock);
	u->busy--;
	u->served += complete && has_slot ? 1 : 0;
	pthread_mutex_unlock(&u->lock);
	g_byte_array_free(body, TRUE);
	return 1;
}
