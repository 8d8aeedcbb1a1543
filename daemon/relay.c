#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <curl/curl.h>

#include "daemon/web.h"

/** Bounds of one relayed request. */
#define URL_BYTES      4096
#define HEADER_BYTES   8192
#define KIND_BYTES     96
#define CONNECT_MS     500
#define WAIT_MARGIN_MS 5000
#define HTTP_NOT_RUN   503
#define NOT_RUN_HEADER "X-Did-Not-Run:"

/** An upstream's answer. */
typedef struct {
	GByteArray *body;
	GString *headers;
	char content_type[128];
	long http_status;
	bool not_run; /**< the upstream says that it did not run */
	size_t max_bytes;
} reply_t;

static const char *header_or(const struct mg_connection *conn, const char *name,
			     const char *def);
static bool is_hop_header(const char *name);
static ffl_urgency_t urgency_of(const struct mg_connection *conn);
static bool is_safe_method(const char *method);
static struct curl_slist *copy_headers(const struct mg_connection *conn);
static size_t take_body(char *data, size_t size, size_t n, void *user);
static size_t take_header(char *data, size_t size, size_t n, void *user);
static CURL *take_handle(ffld_web_t *w);
static void give_handle(ffld_web_t *w, CURL *easy);
static ffl_up_outcome_t outcome_of(CURLcode code, const reply_t *reply,
				   curl_off_t sent);
static void attempt(ffld_web_t *w, struct mg_connection *conn,
		    const ffld_call_t *call, const GByteArray *body,
		    reply_t *reply);
static ffl_box_t *request_event(ffld_web_t *w, struct mg_connection *conn,
				uint64_t id, const GByteArray *body);
static void send_reply(struct mg_connection *conn, const reply_t *reply);
static void serve(ffld_web_t *w, struct mg_connection *conn, ffld_call_t *call,
		  const GByteArray *body);

static const char *const hop_headers[] = {
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"TE",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
	"Host",
	"Content-Length",
	"Authorization",
	"Expect",
};

static const char *header_or(const struct mg_connection *conn, const char *name,
			     const char *def)
{
	const char *value = mg_get_header(conn, name);

	return value ? value : def;
}

static bool is_hop_header(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(hop_headers); i++) {
		if (strcasecmp(name, hop_headers[i]) == 0)
			return true;
	}
	return false;
}

static bool is_safe_method(const char *method)
{
	return strcmp(method, "GET") == 0 || strcmp(method, "HEAD") == 0 ||
	       strcmp(method, "OPTIONS") == 0;
}

static ffl_urgency_t urgency_of(const struct mg_connection *conn)
{
	const char *text = header_or(conn, "Fireflyledge-Urgency", "normal");

	for (int i = 0; i < FFL_URGENCY__MAX; i++) {
		if (strcmp(text, ffl_urgency_name((ffl_urgency_t)i)) == 0)
			return (ffl_urgency_t)i;
	}
	return FFL_URGENCY__MAX;
}

static struct curl_slist *copy_headers(const struct mg_connection *conn)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	struct curl_slist *list = curl_slist_append(NULL, "Expect:");
	char line[HEADER_BYTES];

	for (int i = 0; i < info->num_headers; i++) {
		const struct mg_header *h = &info->http_headers[i];

		if (is_hop_header(h->name))
			continue;
		g_snprintf(line, sizeof(line), "%s: %s", h->name, h->value);
		list = curl_slist_append(list, line);
	}
	return list;
}

static size_t take_body(char *data, size_t size, size_t n, void *user)
{
	reply_t *reply = user;

	if (reply->body->len + size * n > reply->max_bytes)
		return 0;
	g_byte_array_append(reply->body, (guint8 *)data, (guint)(size * n));
	return size * n;
}

static size_t take_header(char *data, size_t size, size_t n, void *user)
{
	reply_t *reply = user;
	size_t len = size * n;
	char line[HEADER_BYTES];
	char *colon;

	if (len >= sizeof(line) || reply->headers->len + len > sizeof(line) * 4)
		return 0;
	memcpy(line, data, len);
	line[len] = '\0';
	if (strncmp(line, "HTTP/", 5) == 0) {
		g_string_truncate(reply->headers, 0);
		return len;
	}
	if (strncasecmp(line, NOT_RUN_HEADER, sizeof(NOT_RUN_HEADER) - 1) == 0)
		reply->not_run = true;
	colon = strchr(line, ':');
	if (!colon)
		return len;
	*colon = '\0';
	if (!is_hop_header(line))
		g_string_append_len(reply->headers, data, (gssize)len);
	return len;
}

static CURL *take_handle(ffld_web_t *w)
{
	CURL *easy = NULL;

	pthread_mutex_lock(&w->lock);
	if (w->idle->len)
		easy = g_ptr_array_remove_index(w->idle, w->idle->len - 1);
	pthread_mutex_unlock(&w->lock);
	return easy ? easy : curl_easy_init();
}

static void give_handle(ffld_web_t *w, CURL *easy)
{
	curl_easy_reset(easy);
	pthread_mutex_lock(&w->lock);
	g_ptr_array_add(w->idle, easy);
	pthread_mutex_unlock(&w->lock);
}

static ffl_up_outcome_t outcome_of(CURLcode code, const reply_t *reply,
				   curl_off_t sent)
{
	if (code == CURLE_COULDNT_CONNECT)
		return FFL_UP_NOT_SENT;
	if (code == CURLE_OPERATION_TIMEDOUT)
		return sent ? FFL_UP_TIMEOUT : FFL_UP_NOT_SENT;
	if (code != CURLE_OK)
		return FFL_UP_BROKEN;
	if (reply->http_status == HTTP_NOT_RUN && reply->not_run)
		return FFL_UP_REFUSED;
	return FFL_UP_OK;
}

static void attempt(ffld_web_t *w, struct mg_connection *conn,
		    const ffld_call_t *call, const GByteArray *body,
		    reply_t *reply)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	ffl_box_t *box = ffl_box_new(FFL_EV_UPSTREAM_DONE);
	ffl_ev_upstream_done_t *done = &box->ev.upstream_done;
	struct curl_slist *headers = copy_headers(conn);
	uint64_t started_ms = ffld_now_ms();
	CURL *easy = take_handle(w);
	char url[URL_BYTES];
	curl_off_t sent = 0;
	CURLcode code;

	g_byte_array_set_size(reply->body, 0);
	g_string_truncate(reply->headers, 0);
	reply->not_run = false;
	g_snprintf(url, sizeof(url), "http://%s%s%s%s", call->forward.addr,
		   info->request_uri, info->query_string ? "?" : "",
		   info->query_string ? info->query_string : "");
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_MAXCONNECTS, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
			 (long)call->forward.timeout_ms);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_MS);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, take_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, reply);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, take_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, reply);
	if (body->len) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body->data);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)body->len);
	}
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, info->request_method);
	if (strcmp(info->request_method, "HEAD") == 0)
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
	code = curl_easy_perform(easy);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &reply->http_status);
	curl_easy_getinfo(easy, CURLINFO_SIZE_UPLOAD_T, &sent);
	done->id = call->id;
	done->attempt = call->forward.attempt;
	done->outcome = outcome_of(code, reply, 1);
	done->http_status = (uint32_t)reply->http_status;
	done->elapsed_ms = (uint32_t)(ffld_now_ms() - started_ms);
	done->sent_bytes = (uint64_t)sent;
	done->received_bytes = reply->body->len;
	done->content_type = "";
	give_handle(w, easy);
	curl_slist_free_all(headers);
	ffld_post_sure(w->d, box);
}

static ffl_box_t *request_event(ffld_web_t *w, struct mg_connection *conn,
				uint64_t id, const GByteArray *body)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	ffl_box_t *box = ffl_box_new(FFL_EV_REQUEST);
	ffl_ev_request_t *r = &box->ev.request;
	const char *token = ffld_bearer(conn);
	const char *key = header_or(conn, "Idempotency-Key", "");
	const char *caller = header_or(conn, "Fireflyledge-Caller", "");
	char kind[KIND_BYTES];
	uint64_t h = ffl_hash(info->request_uri, strlen(info->request_uri), 0);

	g_snprintf(kind, sizeof(kind), "%s %.64s", info->request_method,
		   info->local_uri);
	r->id = id;
	r->token = ffl_box_text(box, token);
	r->caller = ffl_box_text(box, caller);
	r->key = ffl_box_text(box, key);
	r->kind = ffl_box_text(box, kind);
	r->urgency = urgency_of(conn);
	r->repeatable = is_safe_method(info->request_method);
	r->payload_hash = ffl_hash(body->data, body->len, h);
	r->body_bytes = body->len;
	r->timeout_ms = (uint32_t)strtoul(
		header_or(conn, "Fireflyledge-Timeout-Ms", "0"), NULL, 10);
	return box;
}

static void send_reply(struct mg_connection *conn, const reply_t *reply)
{
	mg_printf(conn, "HTTP/1.1 %ld %s\r\n", reply->http_status,
		  mg_get_response_code_text(conn, (int)reply->http_status));
	mg_write(conn, reply->headers->str, reply->headers->len);
	mg_printf(conn, "Content-Length: %u\r\n\r\n", reply->body->len);
	if (reply->body->len)
		mg_write(conn, reply->body->data, reply->body->len);
}

static void serve(ffld_web_t *w, struct mg_connection *conn, ffld_call_t *call,
		  const GByteArray *body)
{
	reply_t reply = { .max_bytes = w->d->settings.body_bytes };
	uint32_t wait_ms = w->d->settings.max_timeout_ms + WAIT_MARGIN_MS;
	ffld_step_t step;

	reply.body = g_byte_array_new();
	reply.headers = g_string_new(NULL);
	do {
		step = ffld_call_wait(w, call, wait_ms);
		if (step == FFLD_STEP_FORWARD)
			attempt(w, conn, call, body, &reply);
	} while (step == FFLD_STEP_FORWARD);
	if (step == FFLD_STEP_ANSWER)
		ffld_send(conn, call->answer.http_status,
			  call->answer.content_type, call->body->data,
			  call->body->len, call->answer.retry_after_ms);
	else if (step == FFLD_STEP_FINISH)
		send_reply(conn, &reply);
	else
		ffld_send_problem(conn, 504, "outcome-unknown",
				  "no decision in time", FFL_RAN_UNKNOWN);
	g_string_free(reply.headers, TRUE);
	g_byte_array_free(reply.body, TRUE);
}

int ffld_relay(ffld_web_t *w, struct mg_connection *conn)
{
	GByteArray *body = g_byte_array_new();
	ffl_status_t status;
	ffld_call_t call;

	status = ffld_read_body(conn, body, w->d->settings.body_bytes);
	if (status != FFL_OK || urgency_of(conn) == FFL_URGENCY__MAX) {
		ffld_send_problem(conn, status == FFL_FULL ? 413 : 400,
				  status == FFL_FULL ? "body-too-large"
						     : "bad-request",
				  "the request was not taken", FFL_RAN_NO);
		g_byte_array_free(body, TRUE);
		return 1;
	}
	ffld_call_open(w, &call);
	if (ffld_post(w->d, request_event(w, conn, call.id, body)))
		serve(w, conn, &call, body);
	else
		ffld_send_problem(conn, 503, "overloaded",
				  "this host is too busy", FFL_RAN_NO);
	ffld_call_close(w, &call);
	g_byte_array_free(body, TRUE);
	return 1;
}
