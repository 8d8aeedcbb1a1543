#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <curl/curl.h>

#include "daemon/relay.h"

/** Sizes, time limits and statuses of one attempt. */
#define URL_BYTES	   16640
#define LINE_BYTES	   16384
#define CONNECT_TIMEOUT_MS 500
#define POLL_INTERVAL_MS   200
/** Longest time for which an answer that has arrived is read once the attempt's
 * time is over: without end, an upstream that goes on sending had no limit. */
#define LATE_READ_MS 200
#define HTTP_NOT_RUN 503

static size_t on_response_body(char *data, size_t size, size_t n, void *user);
static size_t on_request_body(char *data, size_t size, size_t n, void *user);
static int on_debug(CURL *easy, curl_infotype type, char *data, size_t size,
		    void *user);
static struct curl_slist *make_headers(const ffld_relay_t *r);
static void set_options(ffld_relay_t *r, CURL *easy,
			struct curl_slist *headers);
static void set_method(ffld_relay_t *r, CURL *easy);
static bool check_caller(ffld_relay_t *r, CURL *easy, bool readable);
static bool is_over(uint64_t deadline_ms, uint64_t read_ms, bool active,
		    uint64_t *late_ms);
static bool run_transfer(ffld_relay_t *r, ffld_pool_conn_t *pc,
			 uint64_t deadline_ms, CURLcode *code);
static ffl_up_outcome_t attempt_outcome(const ffld_relay_t *r, CURL *easy,
					CURLcode code);
static void post_request_gone(ffld_relay_t *r);
static void post_upstream_done(ffld_relay_t *r, ffl_up_outcome_t outcome,
			       uint64_t started_ms, uint64_t sent_bytes);

/* Counts the body bytes that the upstream sent, framing and bytes past
 * Content-Length included. */
static int on_debug(CURL *easy, curl_infotype type, char *data, size_t size,
		    void *user)
{
	ffld_relay_t *r = user;

	if (type == CURLINFO_DATA_IN)
		r->response.framed_bytes += size;
	return 0;
}

static size_t on_response_body(char *data, size_t size, size_t n, void *user)
{
	ffld_relay_t *r = user;
	ffld_response_t *resp = &r->response;
	size_t len = size * n;

	resp->received_bytes += len;
	if (!resp->chunked && resp->framed_bytes > resp->length) {
		resp->invalid = true;
		return 0;
	}
	if (!resp->relayed) {
		g_byte_array_append(resp->body, (guint8 *)data, (guint)len);
		if (resp->body->len <= r->w->d->settings.buffer_bytes)
			return len;
		ffld_relay_start_response(r, false);
		data = (char *)resp->body->data;
		n = resp->body->len;
		g_byte_array_set_size(resp->body, 0);
	} else {
		n = len;
	}
	if (resp->chunked ? mg_send_chunk(r->conn, data, (unsigned)n) > 0
			  : mg_write(r->conn, data, n) == (int)n)
		return len;
	r->caller_gone = true;
	return 0;
}

/* Passes on what the caller has sent and pauses the upload rather than block
 * for more. */
static size_t on_request_body(char *data, size_t size, size_t n, void *user)
{
	ffld_relay_t *r = user;
	size_t len = size * n;
	size_t ready;
	int got;

	if (r->body_sent_bytes < r->body->len) {
		size_t left = r->body->len - r->body_sent_bytes;

		len = len < left ? len : left;
		memcpy(data, r->body->data + r->body_sent_bytes, len);
		r->body_sent_bytes += len;
		return len;
	}
	if (r->body_buffered || r->body_eof ||
	    r->body_read_bytes == r->body_bytes)
		return 0;
	ready = ffld_conn_readable_bytes(r->caller_conn);
	if (!ready && ffld_conn_peek(r->caller_conn) == FFLD_CONN_IDLE &&
	    r->caller_conn->fd >= 0) {
		r->read_paused = true;
		return CURL_READFUNC_PAUSE;
	}
	len = ready && ready < len ? ready : len;
	got = mg_read(r->conn, data, len);
	if (got > 0) {
		r->body_read_bytes += (uint64_t)got;
		/* A chunked body is read short only at its last chunk. */
		r->body_eof =
			r->body_bytes == FFL_BODY_UNKNOWN && (size_t)got < len;
		if (r->body_read_bytes <= r->w->d->settings.body_bytes)
			return (size_t)got;
	}
	if (got == 0 && r->body_bytes == FFL_BODY_UNKNOWN)
		return 0;
	r->body_truncated = true;
	return CURL_READFUNC_ABORT;
}

static struct curl_slist *make_headers(const ffld_relay_t *r)
{
	static const char *const curl_defaults[] = { "Expect", "Accept",
						     "Content-Type",
						     "User-Agent" };
	const char *connection = ffld_head_get(r->info, "Connection", "");
	struct curl_slist *list = NULL;
	char line[LINE_BYTES];

	for (size_t i = 0; i < G_N_ELEMENTS(curl_defaults); i++) {
		if (i == 0 || !mg_get_header(r->conn, curl_defaults[i])) {
			g_snprintf(line, sizeof(line), "%s:", curl_defaults[i]);
			list = curl_slist_append(list, line);
		}
	}
	for (int i = 0; i < r->info->num_headers; i++) {
		const struct mg_header *h = &r->info->http_headers[i];

		if (ffld_head_is_hop_by_hop(h->name) ||
		    ffld_head_connection_lists(connection, h->name))
			continue;
		g_snprintf(line, sizeof(line), h->value[0] ? "%s: %s" : "%s;",
			   h->name, h->value);
		list = curl_slist_append(list, line);
	}
	if (!r->body_buffered && r->body_bytes == FFL_BODY_UNKNOWN)
		list = curl_slist_append(list, "Transfer-Encoding: chunked");
	g_snprintf(line, sizeof(line), FFLD_ID_HEADER ": %s", r->upstream_id);
	list = curl_slist_append(list, line);
	g_snprintf(line, sizeof(line), "Fireflyledge-Timeout-Ms: %u",
		   r->call.forward.timeout_ms);
	return curl_slist_append(list, line);
}

static void set_method(ffld_relay_t *r, CURL *easy)
{
	if (r->has_body && r->body_buffered) {
		curl_easy_setopt(easy, CURLOPT_POST, 1L);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)r->body->len);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS,
				 r->body->len ? (char *)r->body->data : "");
	} else if (r->has_body) {
		curl_easy_setopt(easy, CURLOPT_POST, 1L);
		curl_easy_setopt(easy, CURLOPT_READFUNCTION, on_request_body);
		curl_easy_setopt(easy, CURLOPT_READDATA, r);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 r->body_bytes == FFL_BODY_UNKNOWN
					 ? (curl_off_t)-1
					 : (curl_off_t)r->body_bytes);
	} else if (strcmp(r->info->request_method, "HEAD") == 0) {
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
	}
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, r->info->request_method);
}

/* The time limit is not given to libcurl, which compares it with the clock
 * before it reads: after a pause of this process an answer that had arrived
 * would count as missing.
 *
 * libcurl resends a request on its own if a reused connection breaks before the
 * response, so only repeatable requests may reuse one. */
static void set_options(ffld_relay_t *r, CURL *easy, struct curl_slist *headers)
{
	const struct mg_request_info *info = r->info;
	char url[URL_BYTES];

	g_snprintf(url, sizeof(url), "http://%s%s%s%s", r->call.forward.addr,
		   info->request_uri, info->query_string ? "?" : "",
		   info->query_string ? info->query_string : "");
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION,
			 (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT,
			 r->call.repeatable && r->body_buffered ? 0L : 1L);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_response_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, r);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, ffld_response_on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, r);
	curl_easy_setopt(easy, CURLOPT_VERBOSE, 1L);
	curl_easy_setopt(easy, CURLOPT_DEBUGFUNCTION, on_debug);
	curl_easy_setopt(easy, CURLOPT_DEBUGDATA, r);
	set_method(r, easy);
}

/* Returns false if the attempt has to be aborted. */
static bool check_caller(ffld_relay_t *r, CURL *easy, bool readable)
{
	if (atomic_load(&r->w->closing)) {
		r->caller_gone = true;
		return false;
	}
	if (!readable)
		return true;
	if (r->read_paused) {
		r->read_paused = false;
		return curl_easy_pause(easy, CURLPAUSE_CONT) == CURLE_OK;
	}
	r->caller_gone = ffld_conn_peek(r->caller_conn) == FFLD_CONN_CLOSED;
	return !r->caller_gone;
}

/* Returns true if an attempt is to be given up: its time was over at read_ms,
 * and what had arrived by then has been read. */
static bool is_over(uint64_t deadline_ms, uint64_t read_ms, bool active,
		    uint64_t *late_ms)
{
	if (read_ms < deadline_ms)
		return false;
	if (!*late_ms)
		*late_ms = read_ms;
	return !active || read_ms - *late_ms >= LATE_READ_MS;
}

/* Returns false if the transfer was aborted before it had a result. */
static bool run_transfer(ffld_relay_t *r, ffld_pool_conn_t *pc,
			 uint64_t deadline_ms, CURLcode *code)
{
	bool watch = r->caller_conn->fd >= 0;
	uint64_t read_ms = 0; /* before the wait that the last read followed */
	uint64_t late_ms = 0;
	int running = 1;
	int active = 0;
	CURLMsg *msg;
	int left;

	while (true) {
		struct curl_waitfd fd = { r->caller_conn->fd, CURL_WAIT_POLLIN,
					  0 };

		curl_multi_perform(pc->multi, &running);
		if (!running)
			break;
		if (is_over(deadline_ms, read_ms, active > 0, &late_ms)) {
			*code = CURLE_OPERATION_TIMEDOUT;
			return true;
		}
		read_ms = ffld_now_ms();
		curl_multi_poll(
			pc->multi, &fd, watch ? 1 : 0,
			(int)MIN(POLL_INTERVAL_MS,
				 deadline_ms - MIN(deadline_ms, read_ms)),
			&active);
		active -= fd.revents != 0;
		if (!check_caller(r, pc->easy, fd.revents != 0))
			return false;
		/* A pipelined request is left unread and would keep waking this
		 * loop, so input is not polled for after a fully buffered
		 * request. */
		watch = r->caller_conn->fd >= 0 &&
			(!fd.revents || !r->body_buffered);
	}
	msg = curl_multi_info_read(pc->multi, &left);
	*code = msg ? msg->data.result : CURLE_RECV_ERROR;
	return true;
}

/* A request certainly did not run only if no byte of it was sent, or if the
 * upstream states so. */
static ffl_up_outcome_t attempt_outcome(const ffld_relay_t *r, CURL *easy,
					CURLcode code)
{
	const ffld_response_t *resp = &r->response;
	long head_bytes = 0;

	curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &head_bytes);
	if (r->caller_gone || r->body_truncated)
		return FFL_UP_CANCELLED;
	if (code != CURLE_OK && head_bytes == 0)
		return FFL_UP_NOT_SENT;
	if (code == CURLE_OPERATION_TIMEDOUT)
		return FFL_UP_TIMEOUT;
	if (code != CURLE_OK || resp->invalid || !resp->headers_done)
		return FFL_UP_BROKEN;
	if (resp->http_status == HTTP_NOT_RUN && resp->not_run &&
	    !resp->relayed)
		return FFL_UP_REFUSED;
	return FFL_UP_OK;
}

static void post_upstream_done(ffld_relay_t *r, ffl_up_outcome_t outcome,
			       uint64_t started_ms, uint64_t sent_bytes)
{
	ffl_box_t *box = ffl_box_new(FFL_EV_UPSTREAM_DONE);
	ffl_ev_upstream_done_t *done = &box->ev.upstream_done;
	const ffld_response_t *resp = &r->response;

	r->outcome = outcome;
	done->id = r->call.id;
	done->attempt = r->call.forward.attempt;
	done->outcome = outcome;
	done->relayed = resp->relayed;
	done->http_status = (uint32_t)resp->http_status;
	done->elapsed_ms = (uint32_t)(ffld_now_ms() - started_ms);
	done->sent_bytes = sent_bytes;
	done->received_bytes = resp->received_bytes;
	done->content_type = ffl_box_copy_text(box, resp->content_type);
	if (r->call.forward.keep_answer && outcome == FFL_UP_OK &&
	    !resp->relayed)
		done->answer = ffl_box_copy_bytes(
			box,
			(ffl_bytes_t){ resp->body->data, resp->body->len });
	ffld_post_event_wait(r->w->d, box);
}

static void post_request_gone(ffld_relay_t *r)
{
	ffl_box_t *box = ffl_box_new(FFL_EV_REQUEST_GONE);

	box->ev.request_gone = r->call.id;
	ffld_post_event_wait(r->w->d, box);
}

void ffld_relay_attempt(ffld_relay_t *r)
{
	uint64_t started_ms = ffld_now_ms();
	const char *addr = r->call.forward.addr;
	ffl_up_outcome_t outcome = FFL_UP_CANCELLED;
	struct curl_slist *headers;
	CURLcode code = CURLE_OK;
	curl_off_t sent = 0;
	ffld_pool_conn_t *pc;
	bool finished;

	ffld_response_reset(&r->response);
	/* Body bytes that were streamed past the buffer cannot be sent again.
	 */
	if (!r->body_buffered && r->body_read_bytes > r->body->len) {
		post_upstream_done(r, FFL_UP_BROKEN, started_ms, 0);
		return;
	}
	r->body_sent_bytes = 0;
	r->forwarded = true;
	g_snprintf(r->upstream_id, sizeof(r->upstream_id), "%.46s-%u",
		   r->w->boot_id,
		   (unsigned)atomic_fetch_add(&r->w->next_attempt, 1));
	pc = ffld_pool_acquire(&r->w->pool, addr,
			       !r->call.repeatable || !r->body_buffered);
	headers = make_headers(r);
	set_options(r, pc->easy, headers);
	curl_multi_add_handle(pc->multi, pc->easy);
	finished = run_transfer(r, pc, started_ms + r->call.forward.timeout_ms,
				&code);
	if (finished)
		outcome = attempt_outcome(r, pc->easy, code);
	curl_easy_getinfo(pc->easy, CURLINFO_SIZE_UPLOAD_T, &sent);
	curl_multi_remove_handle(pc->multi, pc->easy);
	ffld_pool_release(&r->w->pool, addr, pc,
			  finished && code == CURLE_OK && !r->response.invalid);
	curl_slist_free_all(headers);
	if (outcome == FFL_UP_CANCELLED)
		post_request_gone(r);
	post_upstream_done(r, outcome, started_ms, (uint64_t)sent);
}
