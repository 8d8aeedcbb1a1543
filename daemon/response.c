#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "daemon/relay.h"

/** Limits of the response headers. */
#define LINE_BYTES_MAX	  16384
#define HEADERS_BYTES_MAX 65536
#define HTTP_FIRST_FINAL  200
#define HTTP_NO_CONTENT	  204
#define HTTP_NOT_MODIFIED 304

/** Handles the value of one header. */
typedef void (*header_fn_t)(ffld_relay_t *r, const char *value);

/** A response header that the relay interprets. */
typedef struct {
	const char *name;
	header_fn_t handle;
} header_t;

static void handle_length(ffld_relay_t *r, const char *value);
static void handle_encoding(ffld_relay_t *r, const char *value);
static void handle_id(ffld_relay_t *r, const char *value);
static void handle_not_run(ffld_relay_t *r, const char *value);
static void handle_type(ffld_relay_t *r, const char *value);
static void handle_connection(ffld_relay_t *r, const char *value);
static void drop_connection_headers(ffld_response_t *resp);
static bool check_framing(ffld_relay_t *r);

static const header_t header_handlers[] = {
	{ "Content-Length", handle_length },
	{ "Transfer-Encoding", handle_encoding },
	{ FFLD_ID_HEADER, handle_id },
	{ "X-Did-Not-Run", handle_not_run },
	{ "Content-Type", handle_type },
	{ "Connection", handle_connection },
};

static void handle_length(ffld_relay_t *r, const char *value)
{
	ffld_response_t *resp = &r->response;
	size_t digits = strspn(value, "0123456789");

	if (!digits || digits > 18 || value[digits])
		resp->invalid = true;
	resp->length_count++;
	resp->length = strtoull(value, NULL, 10);
}

static void handle_encoding(ffld_relay_t *r, const char *value)
{
	if (r->response.chunked || strcasecmp(value, "chunked") != 0)
		r->response.invalid = true;
	r->response.chunked = true;
}

static void handle_id(ffld_relay_t *r, const char *value)
{
	if (strcmp(value, r->upstream_id) != 0)
		r->response.invalid = true;
}

static void handle_not_run(ffld_relay_t *r, const char *value)
{
	r->response.not_run = true;
}

static void handle_type(ffld_relay_t *r, const char *value)
{
	ffl_copy(r->response.content_type, sizeof(r->response.content_type),
		 value);
}

static void handle_connection(ffld_relay_t *r, const char *value)
{
	size_t room = sizeof(r->response.connection);

	g_strlcat(r->response.connection, value, room);
	if (g_strlcat(r->response.connection, ",", room) >= room)
		r->response.invalid = true;
}

/* Removes the headers that the upstream's Connection header lists. */
static void drop_connection_headers(ffld_response_t *resp)
{
	gchar **lines = g_strsplit(resp->headers->str, "\r\n", 0);

	g_string_truncate(resp->headers, 0);
	for (gchar **line = lines; *line && **line; line++) {
		gchar *name = g_strndup(*line, strcspn(*line, ":"));

		if (!ffld_head_connection_lists(resp->connection, name))
			g_string_append_printf(resp->headers, "%s\r\n", *line);
		g_free(name);
	}
	g_strfreev(lines);
}

void ffld_response_reset(ffld_response_t *resp)
{
	GByteArray *body = resp->body;
	GString *headers = resp->headers;

	g_byte_array_set_size(body, 0);
	g_string_truncate(headers, 0);
	memset(resp, 0, sizeof(*resp));
	resp->body = body;
	resp->headers = headers;
	resp->length = FFL_BODY_UNKNOWN;
}

bool ffld_response_has_no_body(const ffld_relay_t *r)
{
	return strcmp(r->info->request_method, "HEAD") == 0 ||
	       r->response.http_status == HTTP_NO_CONTENT ||
	       r->response.http_status == HTTP_NOT_MODIFIED;
}

/* A response without a length ends when its connection closes and cannot be
 * told from a truncated one, so it is refused like one with two lengths. */
static bool check_framing(ffld_relay_t *r)
{
	ffld_response_t *resp = &r->response;

	if (resp->length_count > 1 || (resp->length_count && resp->chunked))
		resp->invalid = true;
	if (!resp->length_count && !resp->chunked &&
	    !ffld_response_has_no_body(r))
		resp->invalid = true;
	if (resp->connection[0])
		drop_connection_headers(resp);
	resp->headers_done = true;
	return !resp->invalid;
}

size_t ffld_response_on_header(char *data, size_t size, size_t n, void *user)
{
	ffld_relay_t *r = user;
	ffld_response_t *resp = &r->response;
	size_t len = size * n;
	char line[LINE_BYTES_MAX];
	char *value;

	if (resp->headers_done)
		return len; /* trailers are not relayed */
	if (len >= sizeof(line) || resp->headers->len + len > HEADERS_BYTES_MAX)
		return 0;
	memcpy(line, data, len);
	line[len] = '\0';
	g_strchomp(line);
	if (strncmp(line, "HTTP/", 5) == 0) {
		ffld_response_reset(resp);
		value = strchr(line, ' ');
		resp->http_status = value ? strtol(value, NULL, 10) : 0;
		return len;
	}
	if (!line[0])
		return resp->http_status < HTTP_FIRST_FINAL || check_framing(r)
			       ? len
			       : 0;
	value = strchr(line, ':');
	if (!value || line[0] == ' ' || line[0] == '\t')
		return 0;
	*value++ = '\0';
	value += strspn(value, " \t");
	for (size_t i = 0; i < G_N_ELEMENTS(header_handlers); i++) {
		if (strcasecmp(line, header_handlers[i].name) == 0)
			header_handlers[i].handle(r, value);
	}
	if (!ffld_head_is_hop_by_hop(line))
		g_string_append_printf(resp->headers, "%s: %s\r\n", line,
				       value);
	return len;
}
