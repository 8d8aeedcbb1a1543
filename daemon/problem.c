#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "daemon/conn.h"
#include "daemon/problem.h"

/** Retry-After of 429 and 503, in seconds. */
#define RETRY_AFTER_S 1
/** Size of the Allow header line. */
#define ALLOW_BYTES 96

/** Status, type suffix and title of a problem. */
typedef struct {
	int http_status;
	const char *type;
	const char *title;
} problem_info_t;

static bool has_unread_input(const struct mg_connection *conn);
static void send_problem_document(struct mg_connection *conn,
				  ffld_problem_t problem, const char *field,
				  ffl_ran_t ran, const char *extra);

static const problem_info_t problems[FFLD_PROBLEM__MAX] = {
	[FFLD_BAD_FRAMING] = { 400, "bad-framing",
			       "Content-Length or Transfer-Encoding is "
			       "repeated, malformed or in conflict" },
	[FFLD_BAD_HEADER] = { 400, "bad-header",
			      "a header is malformed or repeated" },
	[FFLD_BAD_TARGET] = { 400, "bad-target",
			      "the target is not an absolute path" },
	[FFLD_BAD_METHOD] = { 501, "bad-method", "the method is not relayed" },
	[FFLD_BAD_URGENCY] = { 400, "bad-urgency",
			       "urgency is not urgent, normal or batch" },
	[FFLD_BAD_TIMEOUT] = { 400, "bad-timeout",
			       "timeout is not 1 to 999999999 ms" },
	[FFLD_BAD_KEY] = { 400, "bad-key",
			   "idempotency key is not 1 to 79 visible ASCII "
			   "characters" },
	[FFLD_BAD_ID] = { 400, "bad-id",
			  "request id is not 1 to 63 letters, digits, - . _" },
	[FFLD_UNKNOWN_TOKEN] = { 401, "unknown-token",
				 "the token belongs to no customer" },
	[FFLD_UNKNOWN_ROUTE] = { 404, "unknown-route", "no such route" },
	[FFLD_METHOD_NOT_ALLOWED] = { 405, "method-not-allowed",
				      "the route does not allow the method" },
	[FFLD_BODY_TOO_LARGE] = { 413, "body-too-large",
				  "the body exceeds the size limit" },
	[FFLD_KEYED_BODY_TOO_LARGE] = { 413, "keyed-body-too-large",
					"the body of a request with an "
					"idempotency key exceeds the buffer" },
	[FFLD_BODY_TRUNCATED] = { 400, "body-truncated",
				  "the body ended early" },
	[FFLD_BODY_TOO_SLOW] = { 408, "body-too-slow",
				 "the body was not received in time" },
	[FFLD_HEADERS_TOO_LARGE] = { 431, "headers-too-large",
				     "too many headers" },
	[FFLD_TOO_MANY_CONNECTIONS] = { 429, "too-many-connections",
					"too many connections from this "
					"address" },
	[FFLD_OVERLOADED] = { 503, "overloaded", "this host is overloaded" },
	[FFLD_STOPPING] = { 503, "stopping", "this host is stopping" },
	[FFLD_ANSWER_BROKEN] = { 502, "answer-broken",
				 "the upstream's response was malformed or "
				 "truncated" },
	[FFLD_OUTCOME_UNKNOWN] = { 504, "outcome-unknown",
				   "no outcome in time; the request may have "
				   "run" },
};

static bool has_unread_input(const struct mg_connection *conn)
{
	return mg_get_header(conn, "Content-Length") ||
	       mg_get_header(conn, "Transfer-Encoding") ||
	       ffld_conn_readable_bytes(mg_get_user_connection_data(conn));
}

static void send_problem_document(struct mg_connection *conn,
				  ffld_problem_t problem, const char *field,
				  ffl_ran_t ran, const char *extra)
{
	const problem_info_t *info = &problems[problem];
	json_t *json = json_pack("{s:s+,s:s,s:i,s:s}", "type",
				 "urn:fireflyledge:problem:", info->type,
				 "title", info->title, "status",
				 info->http_status, "ran", ffl_ran_name(ran));
	char *text;

	if (field)
		json_object_set_new(json, "field", json_string(field));
	text = json_dumps(json, JSON_COMPACT | JSON_PRESERVE_ORDER);
	json_decref(json);
	mg_disable_connection_keep_alive(conn);
	mg_printf(conn,
		  "HTTP/1.1 %d %s\r\nContent-Type: application/problem+json\r\n"
		  "Content-Length: %zu\r\nConnection: close\r\n%s",
		  info->http_status,
		  mg_get_response_code_text(conn, info->http_status),
		  strlen(text), extra);
	if (info->http_status == 503 || info->http_status == 429)
		mg_printf(conn, "Retry-After: %d\r\n", RETRY_AFTER_S);
	mg_printf(conn, "\r\n");
	if (strcmp(mg_get_request_info(conn)->request_method, "HEAD") != 0)
		mg_write(conn, text, strlen(text));
	free(text);
	if (has_unread_input(conn))
		ffld_conn_linger(mg_get_user_connection_data(conn));
}

void ffld_send_problem(struct mg_connection *conn, ffld_problem_t problem,
		       const char *field, ffl_ran_t ran)
{
	send_problem_document(conn, problem, field, ran, "");
}

void ffld_send_not_allowed(struct mg_connection *conn, const char *allow)
{
	char line[ALLOW_BYTES];

	g_snprintf(line, sizeof(line), "Allow: %s\r\n", allow);
	send_problem_document(conn, FFLD_METHOD_NOT_ALLOWED, NULL, FFL_RAN_NO,
			      line);
}
