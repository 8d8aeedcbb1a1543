#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "daemon/relay.h"

/** Bounds of an answer's headers. */
#define LINE_BYTES	  16384
#define HEADERS_BYTES_MAX 65536
#define HTTP_FIRST_FINAL  200
#define HTTP_NO_CONTENT	  204
#define HTTP_NOT_MODIFIED 304

/** Takes one header of an answer. */
typedef void (*header_fn_t)(ffld_relay_t *r, const char *value);

/** A header of answers that means something to the relay. */
typedef struct {
	const char *name;
	header_fn_t take;
} header_t;

static void take_length(ffld_relay_t *r, const char *value);
static void take_encoding(ffld_relay_t *r, const char *value);
static void take_id(ffld_relay_t *r, const char *value);
static void take_not_run(ffld_relay_t *r, const char *value);
static void take_type(ffld_relay_t *r, const char *value);
static void take_connection(ffld_relay_t *r, const char *value);
static void drop_named(ffld_reply_t *reply);
static bool check_framing(ffld_relay_t *r);

static const header_t header_takers[] = {
	{ "Content-Length", take_length },
	{ "Transfer-Encoding", take_encoding },
	{ FFLD_ID_HEADER, take_id },
	{ "X-Did-Not-Run", take_not_run },
	{ "Content-Type", take_type },
	{ "Connection", take_connection },
};

static void take_length(ffld_relay_t *r, const char *value)
{
	ffld_reply_t *reply = &r->reply;
	size_t digits = strspn(value, "0123456789");

	if (!digits || digits > 18 || value[digits])
		reply->bad = true;
	reply->lengths++;
	reply->length = strtoull(value, NULL, 10);
}

static void take_encoding(ffld_relay_t *r, const char *value)
{
	if (r->reply.chunked || strcasecmp(value, "chunked") != 0)
		r->reply.bad = true;
	r->reply.chunked = true;
}

static void take_id(ffld_relay_t *r, const char *value)
{
	if (strcmp(value, r->up_id) != 0)
		r->reply.bad = true;
}

static void take_not_run(ffld_relay_t *r, const char *value)
{
	r->reply.not_run = true;
}

static void take_type(ffld_relay_t *r, const char *value)
{
	ffl_copy(r->reply.content_type, sizeof(r->reply.content_type), value);
}

static void take_connection(ffld_relay_t *r, const char *value)
{
	size_t room = sizeof(r->reply.connection);

	g_strlcat(r->reply.connection, value, room);
	if (g_strlcat(r->reply.connection, ",", room) >= room)
		r->reply.bad = true;
}

/* Drops the headers that the upstream's Connection header named. */
static void drop_named(ffld_reply_t *reply)
{
	gchar **lines = g_strsplit(reply->headers->str, "\r\n", 0);

	g_string_truncate(reply->headers, 0);
	for (gchar **line = lines; *line && **line; line++) {
		gchar *name = g_strndup(*line, strcspn(*line, ":"));

		if (!ffld_head_names(reply->connection, name))
			g_string_append_printf(reply->headers, "%s\r\n", *line);
		g_free(name);
	}
	g_strfreev(lines);
}

void ffld_reply_reset(ffld_reply_t *reply)
{
	GByteArray *body = reply->body;
	GString *headers = reply->headers;

	g_byte_array_set_size(body, 0);
	g_string_truncate(headers, 0);
	memset(reply, 0, sizeof(*reply));
	reply->body = body;
	reply->headers = headers;
	reply->length = FFL_BODY_UNKNOWN;
}

bool ffld_reply_has_no_body(const ffld_relay_t *r)
{
	return strcmp(r->info->request_method, "HEAD") == 0 ||
	       r->reply.http_status == HTTP_NO_CONTENT ||
	       r->reply.http_status == HTTP_NOT_MODIFIED;
}

/* An answer that ends with its connection cannot be told from one that was
 * cut, so it is refused like one with two lengths. */
static bool check_framing(ffld_relay_t *r)
{
	ffld_reply_t *reply = &r->reply;

	if (reply->lengths > 1 || (reply->lengths && reply->chunked))
		reply->bad = true;
	if (!reply->lengths && !reply->chunked && !ffld_reply_has_no_body(r))
		reply->bad = true;
	if (reply->connection[0])
		drop_named(reply);
	reply->headers_done = true;
	return !reply->bad;
}

size_t ffld_reply_header(char *data, size_t size, size_t n, void *user)
{
	ffld_relay_t *r = user;
	ffld_reply_t *reply = &r->reply;
	size_t len = size * n;
	char line[LINE_BYTES];
	char *value;

	if (reply->headers_done)
		return len; /* trailers are not relayed */
	if (len >= sizeof(line) ||
	    reply->headers->len + len > HEADERS_BYTES_MAX)
		return 0;
	memcpy(line, data, len);
	line[len] = '\0';
	g_strchomp(line);
	if (strncmp(line, "HTTP/", 5) == 0) {
		ffld_reply_reset(reply);
		value = strchr(line, ' ');
		reply->http_status = value ? strtol(value, NULL, 10) : 0;
		return len;
	}
	if (!line[0])
		return reply->http_status < HTTP_FIRST_FINAL || check_framing(r)
			       ? len
			       : 0;
	value = strchr(line, ':');
	if (!value || line[0] == ' ' || line[0] == '\t')
		return 0;
	*value++ = '\0';
	value += strspn(value, " \t");
	for (size_t i = 0; i < G_N_ELEMENTS(header_takers); i++) {
		if (strcasecmp(line, header_takers[i].name) == 0)
			header_takers[i].take(r, value);
	}
	if (!ffld_head_is_hop(line))
		g_string_append_printf(reply->headers, "%s: %s\r\n", line,
				       value);
	return len;
}
