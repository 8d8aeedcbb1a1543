#include <stdlib.h>
#include <string.h>

#include "daemon/relay.h"

/** Sizes and limits of one relayed request. */
#define HEAD_BYTES     1024
#define KIND_BYTES     96
#define CHUNK_BYTES    16384
#define WAIT_MARGIN_MS 5000

static bool is_repeatable(const char *method);
static bool buffer_body(ffld_relay_t *r);
static bool receive_body(ffld_relay_t *r);
static ffl_urgency_t requested_urgency(const struct mg_request_info *info);
static ffl_box_t *make_request_event(ffld_relay_t *r);
static void set_request_id(ffld_relay_t *r);
static void send_core_answer(ffld_relay_t *r);
static void finish_response(ffld_relay_t *r);
static void serve_request(ffld_relay_t *r);

static bool is_repeatable(const char *method)
{
	return strcmp(method, "GET") == 0 || strcmp(method, "HEAD") == 0 ||
	       strcmp(method, "OPTIONS") == 0;
}

static ffl_urgency_t requested_urgency(const struct mg_request_info *info)
{
	const char *text = ffld_head_get(info, "Fireflyledge-Urgency",
					 ffl_urgency_name(FFL_NORMAL));

	for (int i = 0; i < FFL_URGENCY__MAX; i++) {
		if (strcmp(text, ffl_urgency_name((ffl_urgency_t)i)) == 0)
			return (ffl_urgency_t)i;
	}
	return FFL_NORMAL;
}

/* Reads the body up to the buffer's size; sets body_buffered if that was the
 * whole body. Returns false if the body ended early. */
static bool buffer_body(ffld_relay_t *r)
{
	uint32_t max = r->w->d->settings.buffer_bytes;
	char buf[CHUNK_BYTES];
	int n = 0;

	if (!r->has_body) {
		r->body_buffered = true;
		return true;
	}
	while (r->body->len < max && r->body->len < r->body_bytes) {
		size_t want = max - r->body->len;

		if (want > sizeof(buf))
			want = sizeof(buf);
		n = mg_read(r->conn, buf, want);
		if (n <= 0)
			break;
		g_byte_array_append(r->body, (guint8 *)buf, (guint)n);
	}
	r->body_read_bytes = r->body->len;
	r->body_buffered = r->body_bytes == FFL_BODY_UNKNOWN
				   ? n == 0
				   : r->body->len == r->body_bytes;
	return n >= 0 && (r->body_buffered || r->body->len == max);
}

/* Returns false if the body was refused; the problem was sent. */
static bool receive_body(ffld_relay_t *r)
{
	const ffl_settings_t *s = &r->w->d->settings;
	const char *length = ffld_head_get(r->info, "Content-Length", NULL);
	bool chunked = ffld_head_get(r->info, "Transfer-Encoding", NULL);
	bool keyed = ffld_head_get(r->info, "Idempotency-Key", NULL);

	r->has_body = length || chunked;
	r->body_bytes = length ? strtoull(length, NULL, 10) : FFL_BODY_UNKNOWN;
	if (length && r->body_bytes > s->body_bytes) {
		ffld_send_problem(r->conn, FFLD_BODY_TOO_LARGE,
				  "Content-Length", FFL_RAN_NO);
		return false;
	}
	/* Bytes behind a chunked body must never be parsed as a further request
	 * (request smuggling), so the connection is closed after it. */
	if (chunked)
		mg_disable_connection_keep_alive(r->conn);
	ffld_conn_set_deadline(&r->w->conns, r->caller_conn,
			       s->body_timeout_ms);
	if (!buffer_body(r)) {
		ffld_send_problem(
			r->conn,
			ffld_conn_timed_out(&r->w->conns, r->caller_conn)
				? FFLD_BODY_TOO_SLOW
				: FFLD_BODY_TRUNCATED,
			NULL, FFL_RAN_NO);
		return false;
	}
	if (keyed && !r->body_buffered) {
		ffld_send_problem(r->conn, FFLD_KEYED_BODY_TOO_LARGE,
				  "Idempotency-Key", FFL_RAN_NO);
		return false;
	}
	return true;
}

static void set_request_id(ffld_relay_t *r)
{
	const char *given =
		ffld_head_get(r->info, "Fireflyledge-Request-Id", NULL);

	if (given)
		ffl_copy(r->id, sizeof(r->id), given);
	else
		g_snprintf(r->id, sizeof(r->id), "%.40s-r%llu", r->w->boot_id,
			   (unsigned long long)r->call.id);
}

static ffl_box_t *make_request_event(ffld_relay_t *r)
{
	const struct mg_request_info *info = r->info;
	ffl_box_t *box = ffl_box_new(FFL_EV_REQUEST);
	ffl_ev_request_t *ev = &box->ev.request;
	const char *query = info->query_string ? info->query_string : "";
	char kind[KIND_BYTES];
	uint64_t h = 0;

	g_snprintf(kind, sizeof(kind), "%s %.64s", info->request_method,
		   info->local_uri);
	h = ffl_hash(info->request_method, strlen(info->request_method), h);
	h = ffl_hash(info->request_uri, strlen(info->request_uri), h);
	h = ffl_hash(query, strlen(query), h);
	ev->id = r->call.id;
	ev->token = ffl_box_copy_text(box, ffld_bearer_token(r->conn));
	ev->caller = ffl_box_copy_text(
		box, ffld_head_get(info, "Fireflyledge-Caller", ""));
	ev->key = ffl_box_copy_text(box,
				    ffld_head_get(info, "Idempotency-Key", ""));
	ev->kind = ffl_box_copy_text(box, kind);
	ev->urgency = requested_urgency(info);
	ev->repeatable = r->call.repeatable && r->body_buffered;
	ev->replayable = r->body_buffered;
	ev->payload_hash = ffl_hash(r->body->data, r->body->len, h);
	ev->body_bytes = r->body_buffered ? r->body->len : r->body_bytes;
	ev->timeout_ms = (uint32_t)strtoul(
		ffld_head_get(info, "Fireflyledge-Timeout-Ms", "0"), NULL, 10);
	return box;
}

void ffld_relay_start_response(ffld_relay_t *r, bool with_body)
{
	ffld_response_t *resp = &r->response;
	bool no_body = ffld_response_has_no_body(r);
	bool close = ffld_web_should_close(r->w);
	GString *out = g_string_sized_new(HEAD_BYTES);

	resp->relayed = true;
	if (close)
		mg_disable_connection_keep_alive(r->conn);
	g_string_append_printf(
		out, "HTTP/1.1 %ld %s\r\n", resp->http_status,
		mg_get_response_code_text(r->conn, (int)resp->http_status));
	g_string_append_len(out, resp->headers->str,
			    (gssize)resp->headers->len);
	g_string_append_printf(out, "Fireflyledge-Request-Id: %s\r\n", r->id);
	if (close)
		g_string_append(out, "Connection: close\r\n");
	if (!no_body && with_body)
		g_string_append_printf(out, "Content-Length: %u\r\n",
				       resp->body->len);
	else if (!no_body && resp->chunked)
		g_string_append(out, "Transfer-Encoding: chunked\r\n");
	else if (!no_body || resp->length_count)
		g_string_append_printf(out, "Content-Length: %llu\r\n",
				       (unsigned long long)resp->length);
	g_string_append(out, "\r\n");
	if (!no_body && with_body)
		g_string_append_len(out, (const gchar *)resp->body->data,
				    (gssize)resp->body->len);
	mg_write(r->conn, out->str, out->len);
	g_string_free(out, TRUE);
}

/* A response that broke after it was begun is not ended properly: the last
 * chunk or the missing bytes of its length are not sent and the connection is
 * closed, so that the caller notices the truncation. */
static void finish_response(ffld_relay_t *r)
{
	ffld_response_t *resp = &r->response;

	if (!resp->relayed && r->outcome == FFL_UP_OK) {
		ffld_relay_start_response(r, true);
		return;
	}
	if (resp->relayed && r->outcome == FFL_UP_OK) {
		if (resp->chunked)
			mg_send_chunk(r->conn, "", 0);
		return;
	}
	mg_disable_connection_keep_alive(r->conn);
	if (!resp->relayed && !r->caller_gone)
		ffld_send_problem(r->conn, FFLD_ANSWER_BROKEN, NULL,
				  r->forwarded ? FFL_RAN_UNKNOWN : FFL_RAN_NO);
	else
		ffl_counter_add(&r->w->d->counters, FFL_CTR_ANSWERS_BROKEN, 1);
}

/* The core refused the request, or replays a stored answer. */
static void send_core_answer(ffld_relay_t *r)
{
	const ffl_act_answer_t *a = &r->call.answer;

	if (r->response.relayed) {
		mg_disable_connection_keep_alive(r->conn);
		return;
	}
	ffld_send_answer(r->w, r->conn, a, r->call.body, r->id);
}

static void serve_request(ffld_relay_t *r)
{
	uint32_t wait_ms = r->w->d->settings.max_timeout_ms + WAIT_MARGIN_MS;
	ffld_step_t step;

	do {
		ffld_conn_set_deadline(&r->w->conns, r->caller_conn, wait_ms);
		step = ffld_call_wait(r->w, &r->call, wait_ms);
		if (step == FFLD_STEP_FORWARD)
			ffld_relay_attempt(r);
	} while (step == FFLD_STEP_FORWARD && r->outcome != FFL_UP_OK);
	if (step == FFLD_STEP_ANSWER)
		send_core_answer(r);
	else if (step == FFLD_STEP_FINISH || r->outcome == FFL_UP_OK)
		finish_response(r);
	else if (r->response.relayed)
		mg_disable_connection_keep_alive(r->conn);
	else if (r->forwarded)
		ffld_send_problem(r->conn, FFLD_OUTCOME_UNKNOWN, NULL,
				  FFL_RAN_UNKNOWN);
	else
		ffld_send_problem(r->conn, FFLD_STOPPING, NULL, FFL_RAN_NO);
}

int ffld_relay(ffld_web_t *w, struct mg_connection *conn)
{
	ffld_relay_t r = { .w = w,
			   .conn = conn,
			   .info = mg_get_request_info(conn),
			   .caller_conn = mg_get_user_connection_data(conn),
			   .outcome = FFL_UP_CANCELLED };
	ffld_problem_t problem;
	const char *field;

	problem = ffld_head_check_relay(r.info, &field);
	if (problem != FFLD_PROBLEM__MAX) {
		ffld_send_problem(conn, problem, field, FFL_RAN_NO);
		return 1;
	}
	/* An early check, before the body is read; the core authenticates again
	 * against its own configuration. */
	if (atomic_load(&w->d->ready) &&
	    !ffld_tokens_contains(ffld_bearer_token(conn))) {
		ffld_send_problem(conn, FFLD_UNKNOWN_TOKEN, "Authorization",
				  FFL_RAN_NO);
		return 1;
	}
	r.body = g_byte_array_new();
	r.response.body = g_byte_array_new();
	r.response.headers = g_string_new(NULL);
	atomic_fetch_add(&w->d->requests_unprocessed, 1);
	if (!receive_body(&r)) {
		atomic_fetch_sub(&w->d->requests_unprocessed, 1);
	} else {
		if (!r.body_buffered)
			mg_disable_connection_keep_alive(conn);
		ffld_call_open(w, &r.call);
		r.call.caller_conn = r.caller_conn;
		r.call.repeatable = is_repeatable(r.info->request_method);
		set_request_id(&r);
		if (ffld_post_event(w->d, make_request_event(&r))) {
			serve_request(&r);
		} else {
			atomic_fetch_sub(&w->d->requests_unprocessed, 1);
			ffld_send_problem(conn, FFLD_OVERLOADED, NULL,
					  FFL_RAN_NO);
		}
		ffld_call_close(w, &r.call);
	}
	g_string_free(r.response.headers, TRUE);
	g_byte_array_free(r.response.body, TRUE);
	g_byte_array_free(r.body, TRUE);
	return 1;
}
