#include <stdlib.h>
#include <string.h>

#include "daemon/relay.h"

/** Bounds of one relayed request. */
#define HEAD_BYTES     1024
#define KIND_BYTES     96
#define CHUNK_BYTES    16384
#define WAIT_MARGIN_MS 5000

static bool is_repeatable(const char *method);
static bool read_ahead(ffld_relay_t *r);
static bool take_body(ffld_relay_t *r);
static ffl_urgency_t urgency_of(const struct mg_request_info *info);
static ffl_box_t *request_event(ffld_relay_t *r);
static void make_id(ffld_relay_t *r);
static void send_refusal(ffld_relay_t *r);
static void finish_answer(ffld_relay_t *r);
static void serve(ffld_relay_t *r);

static bool is_repeatable(const char *method)
{
	return strcmp(method, "GET") == 0 || strcmp(method, "HEAD") == 0 ||
	       strcmp(method, "OPTIONS") == 0;
}

static ffl_urgency_t urgency_of(const struct mg_request_info *info)
{
	const char *text = ffld_head_get(info, "Fireflyledge-Urgency",
					 ffl_urgency_name(FFL_NORMAL));

	for (int i = 0; i < FFL_URGENCY__MAX; i++) {
		if (strcmp(text, ffl_urgency_name((ffl_urgency_t)i)) == 0)
			return (ffl_urgency_t)i;
	}
	return FFL_NORMAL;
}

/* Reads up to the buffer's size; sets body_whole where that was all. */
static bool read_ahead(ffld_relay_t *r)
{
	uint32_t max = r->w->d->settings.buffer_bytes;
	char buf[CHUNK_BYTES];
	int n = 0;

	if (!r->has_body) {
		r->body_whole = true;
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
	r->body_read = r->body->len;
	r->body_whole = r->body_bytes == FFL_BODY_UNKNOWN
				? n == 0
				: r->body->len == r->body_bytes;
	return n >= 0 && (r->body_whole || r->body->len == max);
}

/* Returns false where the request was refused for its body. */
static bool take_body(ffld_relay_t *r)
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
	/* What follows a chunked body is read by nobody else's rules. */
	if (chunked)
		mg_disable_connection_keep_alive(r->conn);
	ffld_conn_deadline(&r->w->conns, r->peer, s->body_timeout_ms);
	if (!read_ahead(r)) {
		ffld_send_problem(r->conn,
				  ffld_conn_cut(&r->w->conns, r->peer)
					  ? FFLD_BODY_TOO_SLOW
					  : FFLD_BODY_TRUNCATED,
				  NULL, FFL_RAN_NO);
		return false;
	}
	if (keyed && !r->body_whole) {
		ffld_send_problem(r->conn, FFLD_KEYED_BODY_TOO_LARGE,
				  "Idempotency-Key", FFL_RAN_NO);
		return false;
	}
	return true;
}

static void make_id(ffld_relay_t *r)
{
	const char *given =
		ffld_head_get(r->info, "Fireflyledge-Request-Id", NULL);

	if (given)
		ffl_copy(r->id, sizeof(r->id), given);
	else
		g_snprintf(r->id, sizeof(r->id), "%.40s-r%llu", r->w->boot_id,
			   (unsigned long long)r->call.id);
}

static ffl_box_t *request_event(ffld_relay_t *r)
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
	ev->token = ffl_box_copy_text(box, ffld_bearer(r->conn));
	ev->caller = ffl_box_copy_text(
		box, ffld_head_get(info, "Fireflyledge-Caller", ""));
	ev->key = ffl_box_copy_text(box,
				    ffld_head_get(info, "Idempotency-Key", ""));
	ev->kind = ffl_box_copy_text(box, kind);
	ev->urgency = urgency_of(info);
	ev->repeatable = r->call.repeatable && r->body_whole;
	ev->replayable = r->body_whole;
	ev->payload_hash = ffl_hash(r->body->data, r->body->len, h);
	ev->body_bytes = r->body_whole ? r->body->len : r->body_bytes;
	ev->timeout_ms = (uint32_t)strtoul(
		ffld_head_get(info, "Fireflyledge-Timeout-Ms", "0"), NULL, 10);
	return box;
}

/* The head, and a whole body with it, go out in one write. */
void ffld_relay_begin(ffld_relay_t *r, bool whole)
{
	ffld_reply_t *reply = &r->reply;
	bool no_body = ffld_reply_has_no_body(r);
	bool close = ffld_web_should_close(r->w);
	GString *out = g_string_sized_new(HEAD_BYTES);

	reply->relayed = true;
	if (close)
		mg_disable_connection_keep_alive(r->conn);
	g_string_append_printf(
		out, "HTTP/1.1 %ld %s\r\n", reply->http_status,
		mg_get_response_code_text(r->conn, (int)reply->http_status));
	g_string_append_len(out, reply->headers->str,
			    (gssize)reply->headers->len);
	g_string_append_printf(out, "Fireflyledge-Request-Id: %s\r\n", r->id);
	if (close)
		g_string_append(out, "Connection: close\r\n");
	if (!no_body && whole)
		g_string_append_printf(out, "Content-Length: %u\r\n",
				       reply->body->len);
	else if (!no_body && reply->chunked)
		g_string_append(out, "Transfer-Encoding: chunked\r\n");
	else if (!no_body || reply->lengths)
		g_string_append_printf(out, "Content-Length: %llu\r\n",
				       (unsigned long long)reply->length);
	g_string_append(out, "\r\n");
	if (!no_body && whole)
		g_string_append_len(out, (const gchar *)reply->body->data,
				    (gssize)reply->body->len);
	mg_write(r->conn, out->str, out->len);
	g_string_free(out, TRUE);
}

/* An answer that was begun and is not whole never gets its proper end. */
static void finish_answer(ffld_relay_t *r)
{
	ffld_reply_t *reply = &r->reply;

	if (!reply->relayed && r->outcome == FFL_UP_OK) {
		ffld_relay_begin(r, true);
		return;
	}
	if (reply->relayed && r->outcome == FFL_UP_OK) {
		if (reply->chunked)
			mg_send_chunk(r->conn, "", 0);
		return;
	}
	mg_disable_connection_keep_alive(r->conn);
	if (!reply->relayed && !r->left)
		ffld_send_problem(r->conn, FFLD_ANSWER_BROKEN, NULL,
				  r->forwarded ? FFL_RAN_UNKNOWN : FFL_RAN_NO);
	else
		ffl_counter_add(&r->w->d->counters, FFL_CTR_ANSWERS_BROKEN, 1);
}

/* The core refused, or answers from what it has kept. */
static void send_refusal(ffld_relay_t *r)
{
	const ffl_act_answer_t *a = &r->call.answer;

	if (r->reply.relayed) {
		mg_disable_connection_keep_alive(r->conn);
		return;
	}
	ffld_send(r->w, r->conn, a, r->call.body, r->id);
}

static void serve(ffld_relay_t *r)
{
	uint32_t wait_ms = r->w->d->settings.max_timeout_ms + WAIT_MARGIN_MS;
	ffld_step_t step;

	do {
		ffld_conn_deadline(&r->w->conns, r->peer, wait_ms);
		step = ffld_call_wait(r->w, &r->call, wait_ms);
		if (step == FFLD_STEP_FORWARD)
			ffld_attempt(r);
	} while (step == FFLD_STEP_FORWARD && r->outcome != FFL_UP_OK);
	if (step == FFLD_STEP_ANSWER)
		send_refusal(r);
	else if (step == FFLD_STEP_FINISH || r->outcome == FFL_UP_OK)
		finish_answer(r);
	else if (r->reply.relayed)
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
			   .peer = mg_get_user_connection_data(conn),
			   .outcome = FFL_UP_CANCELLED };
	ffld_problem_t problem;
	const char *field;

	problem = ffld_head_check_relay(r.info, &field);
	if (problem != FFLD_PROBLEM__MAX) {
		ffld_send_problem(conn, problem, field, FFL_RAN_NO);
		return 1;
	}
	/* Before the body is read; the core decides again with its own view. */
	if (atomic_load(&w->d->ready) &&
	    !ffld_tokens_knows(ffld_bearer(conn))) {
		ffld_send_problem(conn, FFLD_UNKNOWN_TOKEN, "Authorization",
				  FFL_RAN_NO);
		return 1;
	}
	r.body = g_byte_array_new();
	r.reply.body = g_byte_array_new();
	r.reply.headers = g_string_new(NULL);
	atomic_fetch_add(&w->d->reading, 1);
	if (!take_body(&r)) {
		atomic_fetch_sub(&w->d->reading, 1);
	} else {
		if (!r.body_whole)
			mg_disable_connection_keep_alive(conn);
		ffld_call_open(w, &r.call);
		r.call.peer = r.peer;
		r.call.repeatable = is_repeatable(r.info->request_method);
		make_id(&r);
		if (ffld_post(w->d, request_event(&r))) {
			serve(&r);
		} else {
			atomic_fetch_sub(&w->d->reading, 1);
			ffld_send_problem(conn, FFLD_OVERLOADED, NULL,
					  FFL_RAN_NO);
		}
		ffld_call_close(w, &r.call);
	}
	g_string_free(r.reply.headers, TRUE);
	g_byte_array_free(r.reply.body, TRUE);
	g_byte_array_free(r.body, TRUE);
	return 1;
}
