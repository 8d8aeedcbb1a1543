#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <curl/curl.h>

#include "daemon/relay.h"

/** Bounds of one attempt. */
#define URL_BYTES    16640
#define LINE_BYTES   16384
#define CONNECT_MS   500
#define POLL_MS	     200
#define HTTP_NOT_RUN 503

static size_t on_body(char *data, size_t size, size_t n, void *user);
static size_t on_read(char *data, size_t size, size_t n, void *user);
static int on_debug(CURL *easy, curl_infotype type, char *data, size_t size,
		    void *user);
static struct curl_slist *make_headers(const ffld_relay_t *r);
static void set_options(ffld_relay_t *r, CURL *easy,
			struct curl_slist *headers);
static void set_method(ffld_relay_t *r, CURL *easy);
static bool watch_caller(ffld_relay_t *r, CURL *easy, bool readable);
static bool transfer(ffld_relay_t *r, ffld_link_t *link, CURLcode *code);
static ffl_up_outcome_t outcome_of(const ffld_relay_t *r, CURL *easy,
				   CURLcode code);
static void post_gone(ffld_relay_t *r);
static void post_done(ffld_relay_t *r, ffl_up_outcome_t outcome,
		      uint64_t started_ms, uint64_t sent_bytes);

/* Counts what the upstream sent for the body, excess bytes included. */
static int on_debug(CURL *easy, curl_infotype type, char *data, size_t size,
		    void *user)
{
	ffld_relay_t *r = user;

	if (type == CURLINFO_DATA_IN)
		r->reply.raw_bytes += size;
	return 0;
}

static size_t on_body(char *data, size_t size, size_t n, void *user)
{
	ffld_relay_t *r = user;
	ffld_reply_t *reply = &r->reply;
	size_t len = size * n;

	reply->received_bytes += len;
	if (!reply->chunked && reply->raw_bytes > reply->length) {
		reply->bad = true;
		return 0;
	}
	if (!reply->relayed) {
		g_byte_array_append(reply->body, (guint8 *)data, (guint)len);
		if (reply->body->len <= r->w->d->settings.buffer_bytes)
			return len;
		ffld_relay_begin(r, false);
		data = (char *)reply->body->data;
		n = reply->body->len;
		g_byte_array_set_size(reply->body, 0);
	} else {
		n = len;
	}
	if (reply->chunked ? mg_send_chunk(r->conn, data, (unsigned)n) > 0
			   : mg_write(r->conn, data, n) == (int)n)
		return len;
	r->left = true;
	return 0;
}

/* Takes what the caller has sent, without waiting for more. */
static size_t on_read(char *data, size_t size, size_t n, void *user)
{
	ffld_relay_t *r = user;
	size_t len = size * n;
	size_t ready;
	int got;

	if (r->body_at < r->body->len) {
		size_t left = r->body->len - r->body_at;

		len = len < left ? len : left;
		memcpy(data, r->body->data + r->body_at, len);
		r->body_at += len;
		return len;
	}
	if (r->body_whole || r->body_ended || r->body_read == r->body_bytes)
		return 0;
	ready = ffld_conn_readable(r->peer);
	if (!ready && ffld_conn_look(r->peer) == FFLD_PEER_QUIET &&
	    r->peer->fd >= 0) {
		r->paused = true;
		return CURL_READFUNC_PAUSE;
	}
	len = ready && ready < len ? ready : len;
	got = mg_read(r->conn, data, len);
	if (got > 0) {
		r->body_read += (uint64_t)got;
		/* A chunked read only stops short behind the last chunk. */
		r->body_ended =
			r->body_bytes == FFL_BODY_UNKNOWN && (size_t)got < len;
		if (r->body_read <= r->w->d->settings.body_bytes)
			return (size_t)got;
	}
	if (got == 0 && r->body_bytes == FFL_BODY_UNKNOWN)
		return 0;
	r->body_broken = true;
	return CURL_READFUNC_ABORT;
}

static struct curl_slist *make_headers(const ffld_relay_t *r)
{
	static const char *const no_defaults[] = { "Expect", "Accept",
						   "Content-Type",
						   "User-Agent" };
	const char *connection = ffld_head_get(r->info, "Connection", "");
	struct curl_slist *list = NULL;
	char line[LINE_BYTES];

	for (size_t i = 0; i < G_N_ELEMENTS(no_defaults); i++) {
		if (i == 0 || !mg_get_header(r->conn, no_defaults[i])) {
			g_snprintf(line, sizeof(line), "%s:", no_defaults[i]);
			list = curl_slist_append(list, line);
		}
	}
	for (int i = 0; i < r->info->num_headers; i++) {
		const struct mg_header *h = &r->info->http_headers[i];

		if (ffld_head_is_hop(h->name) ||
		    ffld_head_names(connection, h->name))
			continue;
		g_snprintf(line, sizeof(line), h->value[0] ? "%s: %s" : "%s;",
			   h->name, h->value);
		list = curl_slist_append(list, line);
	}
	if (!r->body_whole && r->body_bytes == FFL_BODY_UNKNOWN)
		list = curl_slist_append(list, "Transfer-Encoding: chunked");
	g_snprintf(line, sizeof(line), FFLD_ID_HEADER ": %s", r->up_id);
	list = curl_slist_append(list, line);
	g_snprintf(line, sizeof(line), "Fireflyledge-Timeout-Ms: %u",
		   r->call.forward.timeout_ms);
	return curl_slist_append(list, line);
}

static void set_method(ffld_relay_t *r, CURL *easy)
{
	if (r->has_body && r->body_whole) {
		curl_easy_setopt(easy, CURLOPT_POST, 1L);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)r->body->len);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS,
				 r->body->len ? (char *)r->body->data : "");
	} else if (r->has_body) {
		curl_easy_setopt(easy, CURLOPT_POST, 1L);
		curl_easy_setopt(easy, CURLOPT_READFUNCTION, on_read);
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

/* libcurl sends a request again by itself where a reused connection breaks
 * before the answer. Only what may be repeated may use such a connection. */
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
			 r->call.repeatable && r->body_whole ? 0L : 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
			 (long)r->call.forward.timeout_ms);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_MS);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, r);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, ffld_reply_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, r);
	curl_easy_setopt(easy, CURLOPT_VERBOSE, 1L);
	curl_easy_setopt(easy, CURLOPT_DEBUGFUNCTION, on_debug);
	curl_easy_setopt(easy, CURLOPT_DEBUGDATA, r);
	set_method(r, easy);
}

/* Returns false where the attempt has to end. */
static bool watch_caller(ffld_relay_t *r, CURL *easy, bool readable)
{
	if (atomic_load(&r->w->closing)) {
		r->left = true;
		return false;
	}
	if (!readable)
		return true;
	if (r->paused) {
		r->paused = false;
		return curl_easy_pause(easy, CURLPAUSE_CONT) == CURLE_OK;
	}
	r->left = ffld_conn_look(r->peer) == FFLD_PEER_LEFT;
	return !r->left;
}

/* Returns false where it was ended before the transfer had an outcome. */
static bool transfer(ffld_relay_t *r, ffld_link_t *link, CURLcode *code)
{
	bool watch = r->peer->fd >= 0;
	int running = 1;
	CURLMsg *msg;
	int left;

	while (true) {
		struct curl_waitfd fd = { r->peer->fd, CURL_WAIT_POLLIN, 0 };

		curl_multi_perform(link->multi, &running);
		if (!running)
			break;
		curl_multi_poll(link->multi, &fd, watch ? 1 : 0, POLL_MS, NULL);
		if (!watch_caller(r, link->easy, fd.revents != 0))
			return false;
		/* Bytes of a next request would wake this loop at once. */
		watch = r->peer->fd >= 0 && (!fd.revents || !r->body_whole);
	}
	msg = curl_multi_info_read(link->multi, &left);
	*code = msg ? msg->data.result : CURLE_RECV_ERROR;
	return true;
}

/* Only what never had a byte on the wire, and the upstream's own word, are
 * certain not to have run. */
static ffl_up_outcome_t outcome_of(const ffld_relay_t *r, CURL *easy,
				   CURLcode code)
{
	const ffld_reply_t *reply = &r->reply;
	long head_bytes = 0;

	curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &head_bytes);
	if (r->left || r->body_broken)
		return FFL_UP_CANCELLED;
	if (code != CURLE_OK && head_bytes == 0)
		return FFL_UP_NOT_SENT;
	if (code == CURLE_OPERATION_TIMEDOUT)
		return FFL_UP_TIMEOUT;
	if (code != CURLE_OK || reply->bad || !reply->headers_done)
		return FFL_UP_BROKEN;
	if (reply->http_status == HTTP_NOT_RUN && reply->not_run &&
	    !reply->relayed)
		return FFL_UP_REFUSED;
	return FFL_UP_OK;
}

static void post_done(ffld_relay_t *r, ffl_up_outcome_t outcome,
		      uint64_t started_ms, uint64_t sent_bytes)
{
	ffl_box_t *box = ffl_box_new(FFL_EV_UPSTREAM_DONE);
	ffl_ev_upstream_done_t *done = &box->ev.upstream_done;
	const ffld_reply_t *reply = &r->reply;

	r->outcome = outcome;
	done->id = r->call.id;
	done->attempt = r->call.forward.attempt;
	done->outcome = outcome;
	done->relayed = reply->relayed;
	done->http_status = (uint32_t)reply->http_status;
	done->elapsed_ms = (uint32_t)(ffld_now_ms() - started_ms);
	done->sent_bytes = sent_bytes;
	done->received_bytes = reply->received_bytes;
	done->content_type = ffl_box_copy_text(box, reply->content_type);
	if (r->call.forward.keep_answer && outcome == FFL_UP_OK &&
	    !reply->relayed)
		done->answer = ffl_box_copy_bytes(
			box,
			(ffl_bytes_t){ reply->body->data, reply->body->len });
	ffld_post_sure(r->w->d, box);
}

static void post_gone(ffld_relay_t *r)
{
	ffl_box_t *box = ffl_box_new(FFL_EV_REQUEST_GONE);

	box->ev.request_gone = r->call.id;
	ffld_post_sure(r->w->d, box);
}

void ffld_attempt(ffld_relay_t *r)
{
	uint64_t started_ms = ffld_now_ms();
	const char *addr = r->call.forward.addr;
	ffl_up_outcome_t outcome = FFL_UP_CANCELLED;
	struct curl_slist *headers;
	CURLcode code = CURLE_OK;
	curl_off_t sent = 0;
	ffld_link_t *link;
	bool ended;

	ffld_reply_reset(&r->reply);
	/* What was taken from the caller and passed on cannot be sent again. */
	if (!r->body_whole && r->body_read > r->body->len) {
		post_done(r, FFL_UP_BROKEN, started_ms, 0);
		return;
	}
	r->body_at = 0;
	r->forwarded = true;
	g_snprintf(r->up_id, sizeof(r->up_id), "%.46s-%u", r->w->boot_id,
		   (unsigned)atomic_fetch_add(&r->w->next_attempt, 1));
	link = ffld_pool_take(&r->w->pool, addr,
			      !r->call.repeatable || !r->body_whole);
	headers = make_headers(r);
	set_options(r, link->easy, headers);
	curl_multi_add_handle(link->multi, link->easy);
	ended = transfer(r, link, &code);
	if (ended)
		outcome = outcome_of(r, link->easy, code);
	curl_easy_getinfo(link->easy, CURLINFO_SIZE_UPLOAD_T, &sent);
	curl_multi_remove_handle(link->multi, link->easy);
	ffld_pool_give(&r->w->pool, addr, link,
		       ended && code == CURLE_OK && !r->reply.bad);
	curl_slist_free_all(headers);
	if (outcome == FFL_UP_CANCELLED)
		post_gone(r);
	post_done(r, outcome, started_ms, (uint64_t)sent);
}
