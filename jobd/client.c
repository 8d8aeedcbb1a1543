/**
 * @file client.c
 * @brief The client thread: makes HTTP calls to the log, workers and adviser.
 */
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <curl/curl.h>

#include "fireflyledge/connage.h"
#include "jobd/jobd.h"
#include "jobd/sockets.h"

/** Connection time-out: a round trip between regions and one lost packet. */
#define CONNECT_TIMEOUT_MS 400
/** Interval between checks of deadlines: an eighth of the shortest one. */
#define DEADLINE_CHECK_MS 50
/** A response that has begun to arrive may take this long after its last bytes,
 * enough for a packet to be resent. */
#define RECEIVE_GRACE_MS 400
/** Limit of that extension, as a multiple of the call's time-out. */
#define RECEIVE_FACTOR_MAX 8
/** Largest response; a page of the log has 1 MB. */
#define RESPONSE_BYTES_MAX (16U << 20)
/** Connections in libcurl's cache. */
#define CACHED_CONNECTIONS_MAX 512

/** An HTTP call, queued or in progress. */
typedef struct {
	ffl_pf_call_t http;
	ffl_pf_context_t context;
	GByteArray *response;
	struct curl_slist *headers;
	uint32_t send_count; /**< times that the request was sent */
	uint64_t enqueued_ms;
	uint64_t deadline_ms;
} call_t;

struct jobd_client {
	jobd_t *d;
	ffl_ring_t calls; /**< of call_t */
	CURLM *multi;
	jobd_sockets_t sockets;
	ffl_connage_t ages;
	GPtrArray *idle_handles;   /**< of CURL * */
	GPtrArray *active_handles; /**< of CURL *, in progress */
	uint64_t checked_ms;	   /**< last check of deadlines */
	pthread_t thread;
	_Atomic bool stopping;
};

static void call_free(call_t *call);
static void extend_deadline(call_t *call);
static size_t receive_body(char *data, size_t size, size_t n, void *user);
static int count_send(void *user, char *remote_ip, char *local_ip,
		      int remote_port, int local_port);
static void post_result(jobd_client_t *c, call_t *call, long status);
static void observe_latency(const call_t *call);
static void log_failure(const call_t *call, CURL *easy, CURLcode code,
			long connects);
static void doubt_connections(jobd_client_t *c, const call_t *call);
static void complete_call(jobd_client_t *c, CURL *easy, CURLcode code);
static void set_headers(call_t *call, CURL *easy);
static uint64_t deadline_ms(const call_t *call);
static void choose_connection(const jobd_client_t *c, const call_t *call,
			      CURL *easy);
static void start_call(jobd_client_t *c, call_t *call);
static bool start_queued_calls(jobd_client_t *c);
static void complete_finished_calls(jobd_client_t *c);
static void expire_calls(jobd_client_t *c, uint64_t now_ms);
static void *run_client(void *arg);
static void abort_call(CURLM *multi, CURL *easy);
static void enqueue_call(jobd_client_t *c, call_t *call);

static void call_free(call_t *call)
{
	if (call->http.body)
		g_byte_array_unref(call->http.body);
	curl_slist_free_all(call->headers);
	g_byte_array_unref(call->response);
	g_free(call);
}

/* Repeating the call would load a congested link with the same bytes again. */
static void extend_deadline(call_t *call)
{
	uint64_t last_ms = call->enqueued_ms +
			   (uint64_t)RECEIVE_FACTOR_MAX * call->http.timeout_ms;
	uint64_t until_ms = MIN(jobd_boottime_ms() + RECEIVE_GRACE_MS, last_ms);

	call->deadline_ms = MAX(call->deadline_ms, until_ms);
}

static size_t receive_body(char *data, size_t size, size_t n, void *user)
{
	call_t *call = user;

	if (call->response->len + size * n > RESPONSE_BYTES_MAX)
		return 0;
	g_byte_array_append(call->response, (const guint8 *)data,
			    (guint)(size * n));
	extend_deadline(call);
	return size * n;
}

/* libcurl calls this before each transmission; it sends a request again if a
 * cached connection turns out to be closed. */
static int count_send(void *user, char *remote_ip, char *local_ip,
		      int remote_port, int local_port)
{
	call_t *call = user;

	call->send_count++;
	return CURL_PREREQFUNC_OK;
}

/* The event holds a reference to the response, which its records point into. */
static void post_result(jobd_client_t *c, call_t *call, long status)
{
	bool is_order = call->context.kind == FFL_NODE_ACT_ORDER;
	jobd_event_t *event = jobd_event_new(is_order ? FFL_NODE_EV_WORKER
						      : FFL_NODE_EV_STORE);
	ffl_pf_result_t result = {
		.send_count = call->send_count,
		.status = status,
		.body = { call->response->data, call->response->len },
	};

	event->body = g_byte_array_ref(call->response);
	if (is_order)
		ffl_pf_worker_reply_decode(&call->context, &result,
					   &event->arena, &event->ev.worker);
	else
		ffl_pf_store_reply_decode(&call->context, &result,
					  &event->arena, &event->ev.store);
	jobd_event_post_wait(c->d, event);
}

static void observe_latency(const call_t *call)
{
	static const jobd_hist_t stores[FFL_NODE_ACT__MAX] = {
		[FFL_NODE_ACT_READ] = JOBD_HIST_READ,
		[FFL_NODE_ACT_NEWEST] = JOBD_HIST_NEWEST,
		[FFL_NODE_ACT_APPEND] = JOBD_HIST_APPEND,
	};
	static const jobd_hist_t orders[FFL_ORDER__MAX] = {
		[FFL_ORDER_RENEW] = JOBD_HIST_HOLD,
		[FFL_ORDER_START] = JOBD_HIST_START,
		[FFL_ORDER_STOP] = JOBD_HIST_STOP,
		[FFL_ORDER_THROTTLE] = JOBD_HIST_PACE,
		[FFL_ORDER_ADVISE] = JOBD_HIST_ADVISE,
	};
	bool is_order = call->context.kind == FFL_NODE_ACT_ORDER;

	jobd_hist_add(is_order ? orders[call->context.order]
			       : stores[call->context.kind],
		      jobd_boottime_ms() - call->enqueued_ms);
}

/* The figures distinguish a peer that does not accept connections from one that
 * does not respond on an open connection. */
static void log_failure(const call_t *call, CURL *easy, CURLcode code,
			long connects)
{
	char text[FFL_REASON_BYTES];
	char *peer = NULL;
	curl_off_t connected_us = 0;

	curl_easy_getinfo(easy, CURLINFO_CONNECT_TIME_T, &connected_us);
	curl_easy_getinfo(easy, CURLINFO_EFFECTIVE_URL, &peer);
	g_snprintf(text, sizeof(text),
		   "code=%d sent=%u connects=%ld connected_us=%" PRId64
		   " after_ms=%" PRIu64 " timeout_ms=%u",
		   (int)code, call->send_count, connects, (int64_t)connected_us,
		   jobd_boottime_ms() - call->enqueued_ms,
		   call->http.timeout_ms);
	jobd_metrics_count_event("call-failed");
	jobd_line("call-failed", peer ? peer : "-", text);
}

static void doubt_connections(jobd_client_t *c, const call_t *call)
{
	char addr[FFL_ADDR_BYTES];
	char text[FFL_REASON_BYTES];

	ffl_connage_addr(call->http.url, addr, sizeof(addr));
	ffl_connage_doubt(&c->ages, addr, jobd_boottime_ms());
	g_snprintf(text, sizeof(text), "after_ms=%" PRIu64 " timeout_ms=%u",
		   jobd_boottime_ms() - call->enqueued_ms,
		   call->http.timeout_ms);
	jobd_metrics_count_event("connections-doubted");
	jobd_line("connections-doubted", addr, text);
}

static void complete_call(jobd_client_t *c, CURL *easy, CURLcode code)
{
	call_t *call;
	long status = 0;
	long connects = 0;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, &call);
	curl_easy_getinfo(easy, CURLINFO_NUM_CONNECTS, &connects);
	jobd_load_count_call(connects > 0,
			     call->http.body ? call->http.body->len : 0,
			     call->response->len);
	if (code == CURLE_OK)
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	else
		log_failure(call, easy, code, connects);
	if (code == CURLE_OPERATION_TIMEDOUT && !connects)
		doubt_connections(c, call);
	curl_multi_remove_handle(c->multi, easy);
	g_ptr_array_remove_fast(c->active_handles, easy);
	g_ptr_array_add(c->idle_handles, easy);
	observe_latency(call);
	post_result(c, call, status);
	call_free(call);
}

static void set_headers(call_t *call, CURL *easy)
{
	char type[FFL_PF_HEADER_BYTES];

	if (call->http.extra_header[0])
		call->headers = curl_slist_append(call->headers,
						  call->http.extra_header);
	if (call->http.post) {
		g_snprintf(type, sizeof(type), "Content-Type: %s",
			   call->http.content_type);
		call->headers = curl_slist_append(call->headers, type);
		call->headers = curl_slist_append(call->headers, "Expect:");
	}
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->headers);
}

static void choose_connection(const jobd_client_t *c, const call_t *call,
			      CURL *easy)
{
	char addr[FFL_ADDR_BYTES];
	ffl_conn_choice_t choice;

	ffl_connage_addr(call->http.url, addr, sizeof(addr));
	choice = ffl_connage_choose(&c->ages, addr, jobd_boottime_ms());
	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, (long)choice.fresh);
	curl_easy_setopt(easy, CURLOPT_MAXLIFETIME_CONN,
			 (long)choice.life_max_s);
}

static void start_call(jobd_client_t *c, call_t *call)
{
	CURL *easy =
		c->idle_handles->len
			? g_ptr_array_remove_index(c->idle_handles,
						   c->idle_handles->len - 1)
			: curl_easy_init();

	curl_easy_reset(easy);
	curl_easy_setopt(easy, CURLOPT_URL, call->http.url);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, receive_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, count_send);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, call);
	choose_connection(c, call, easy);
	set_headers(call, easy);
	if (call->http.post) {
		curl_easy_setopt(easy, CURLOPT_POST, 1L);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS,
				 call->http.body->data);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
				 (long)call->http.body->len);
	}
	call->deadline_ms = deadline_ms(call);
	curl_multi_add_handle(c->multi, easy);
	g_ptr_array_add(c->active_handles, easy);
}

static uint64_t deadline_ms(const call_t *call)
{
	return call->enqueued_ms + call->http.timeout_ms;
}

/* A call that is queued after the last pop ends the next wait: its wake-up
 * comes after sleeping was set. A call that has waited past its deadline, as on
 * a host that was suspended, is not sent. Returns true if any call was started.
 */
static bool start_queued_calls(jobd_client_t *c)
{
	call_t *call;
	bool any_started = false;

	while ((call = ffl_ring_pop(&c->calls, 0))) {
		if (jobd_boottime_ms() >= deadline_ms(call)) {
			post_result(c, call, 0);
			call_free(call);
			continue;
		}
		start_call(c, call);
		any_started = true;
	}
	return any_started;
}

static void complete_finished_calls(jobd_client_t *c)
{
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(c->multi, &left))) {
		if (msg->msg == CURLMSG_DONE)
			complete_call(c, msg->easy_handle, msg->data.result);
	}
}

/* All responses that had arrived by now_ms must have been read, so that one
 * that came in time counts even if this thread runs late. */
static void expire_calls(jobd_client_t *c, uint64_t now_ms)
{
	if (now_ms - c->checked_ms < DEADLINE_CHECK_MS)
		return;
	c->checked_ms = now_ms;
	for (guint i = c->active_handles->len; i-- > 0;) {
		CURL *easy = g_ptr_array_index(c->active_handles, i);
		call_t *call;

		curl_easy_getinfo(easy, CURLINFO_PRIVATE, &call);
		if (now_ms >= call->deadline_ms)
			complete_call(c, easy, CURLE_OPERATION_TIMEDOUT);
	}
}

static void *run_client(void *arg)
{
	jobd_client_t *c = arg;

	while (!atomic_load(&c->stopping)) {
		uint64_t polled_ms = jobd_boottime_ms();
		uint64_t since_us;
		bool all_read;

		atomic_store(&c->sockets.sleeping, true);
		all_read = jobd_sockets_poll(
			&c->sockets,
			start_queued_calls(c) ? 0 : DEADLINE_CHECK_MS,
			&since_us);
		complete_finished_calls(c);
		if (all_read)
			expire_calls(c, polled_ms);
		jobd_load_add_busy(JOBD_THREAD_CLIENT, since_us);
	}
	return NULL;
}

jobd_client_t *jobd_client_start(jobd_t *d)
{
	jobd_client_t *c = g_new0(jobd_client_t, 1);

	c->d = d;
	ffl_ring_init(&c->calls, JOBD_CALLS_MAX);
	c->multi = curl_multi_init();
	curl_multi_setopt(c->multi, CURLMOPT_MAXCONNECTS,
			  (long)CACHED_CONNECTIONS_MAX);
	ffl_connage_init(&c->ages);
	c->idle_handles = g_ptr_array_new();
	c->active_handles = g_ptr_array_new();
	if (!jobd_sockets_init(&c->sockets, c->multi)) {
		fprintf(stderr,
			"cannot create epoll and eventfd descriptors: %s\n",
			g_strerror(errno));
		return NULL;
	}
	pthread_create(&c->thread, NULL, run_client, c);
	return c;
}

static void abort_call(CURLM *multi, CURL *easy)
{
	call_t *call;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, &call);
	curl_multi_remove_handle(multi, easy);
	curl_easy_cleanup(easy);
	call_free(call);
}

void jobd_client_stop(jobd_client_t *c)
{
	call_t *call;

	atomic_store(&c->stopping, true);
	jobd_sockets_wake(&c->sockets);
	pthread_join(c->thread, NULL);
	ffl_ring_close(&c->calls);
	while ((call = ffl_ring_pop(&c->calls, 0)))
		call_free(call);
	for (guint i = 0; i < c->active_handles->len; i++)
		abort_call(c->multi, g_ptr_array_index(c->active_handles, i));
	g_ptr_array_free(c->active_handles, TRUE);
	for (guint i = 0; i < c->idle_handles->len; i++)
		curl_easy_cleanup(g_ptr_array_index(c->idle_handles, i));
	g_ptr_array_free(c->idle_handles, TRUE);
	curl_multi_cleanup(c->multi);
	jobd_sockets_finish(&c->sockets);
	ffl_connage_finish(&c->ages);
	ffl_ring_finish(&c->calls);
	g_free(c);
}

/* If the ring is full, the result is that of a call that was never sent. */
static void enqueue_call(jobd_client_t *c, call_t *call)
{
	call->response = g_byte_array_new();
	call->enqueued_ms = jobd_boottime_ms();
	if (ffl_ring_push(&c->calls, call)) {
		jobd_sockets_wake(&c->sockets);
		return;
	}
	post_result(c, call, 0);
	call_free(call);
}

void jobd_client_send_store(jobd_t *d, const ffl_node_act_t *act)
{
	call_t *call = g_new0(call_t, 1);

	call->context.kind = act->kind;
	call->context.call = act->store.call;
	call->context.topic = act->store.topic;
	call->context.from = act->store.from;
	ffl_pf_store_call_encode(d->settings.log_addr, act, &call->http);
	enqueue_call(d->client, call);
}

void jobd_client_send_order(jobd_t *d, const ffl_node_act_t *act)
{
	call_t *call = g_new0(call_t, 1);

	call->context.kind = act->kind;
	call->context.call = act->order.call;
	call->context.order = act->order.kind;
	ffl_pf_worker_call_encode(&act->order, &call->http);
	enqueue_call(d->client, call);
}
