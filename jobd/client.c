#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <curl/curl.h>

#include "jobd/jobd.h"
#include "jobd/sockets.h"

/** Time to connect: both ways between regions, and one lost packet. */
#define CONNECT_MS 400
/** Deadlines are looked at so often: an eighth of the shortest. */
#define DEADLINES_MS 50
/** An answer whose bytes still arrive is waited for so long after the last of
 * them: a resent packet. */
#define ARRIVING_MS 400
/** But not beyond so many times its deadline. */
#define ARRIVING_FACTOR 8
/** Largest answer; a page of the log has 1 MB. */
#define REPLY_BYTES_MAX (16U << 20)
/** Connections that are kept. */
#define CONNECTIONS_MAX 512

/** One HTTP call on its way. */
typedef struct {
	ffl_pf_call_t http;
	ffl_pf_about_t about;
	GByteArray *reply;
	struct curl_slist *headers;
	uint32_t sent; /**< times that it was sent on a connection */
	uint64_t begun_ms;
	uint64_t deadline_ms;
} call_t;

struct jobd_client {
	jobd_t *d;
	ffl_ring_t calls; /**< of call_t */
	CURLM *multi;
	jobd_sockets_t sockets;
	GPtrArray *idle;     /**< of CURL * */
	GPtrArray *active;   /**< of CURL *, with a call on its way */
	uint64_t checked_ms; /**< when deadlines were last looked at */
	pthread_t thread;
	_Atomic bool stop;
};

static void call_free(call_t *call);
static void extend_deadline(call_t *call);
static size_t take_reply(char *data, size_t size, size_t n, void *user);
static void measure(const call_t *call);
static void submit(jobd_client_t *c, call_t *call);
static void set_headers(call_t *call, CURL *easy);
static void start_call(jobd_client_t *c, call_t *call);
static int note_sent(void *user, char *remote_ip, char *local_ip,
		     int remote_port, int local_port);
static void deliver(jobd_client_t *c, call_t *call, long status);
static void note_failure(const call_t *call, CURL *easy, CURLcode code,
			 long connects);
static void finish_call(jobd_client_t *c, CURL *easy, CURLcode code);
static void drop_active(CURLM *multi, CURL *easy);
static bool take_calls(jobd_client_t *c);
static void take_finished(jobd_client_t *c);
static void end_expired(jobd_client_t *c);
static void *run(void *arg);

static void call_free(call_t *call)
{
	if (call->http.body)
		g_byte_array_unref(call->http.body);
	curl_slist_free_all(call->headers);
	g_byte_array_unref(call->reply);
	g_free(call);
}

/* Asked for anew, an answer would take the same bytes again from a link that
 * is full already. */
static void extend_deadline(call_t *call)
{
	uint64_t last_ms = call->begun_ms +
			   (uint64_t)ARRIVING_FACTOR * call->http.timeout_ms;
	uint64_t until_ms = MIN(jobd_now_ms() + ARRIVING_MS, last_ms);

	call->deadline_ms = MAX(call->deadline_ms, until_ms);
}

static size_t take_reply(char *data, size_t size, size_t n, void *user)
{
	call_t *call = user;

	if (call->reply->len + size * n > REPLY_BYTES_MAX)
		return 0;
	g_byte_array_append(call->reply, (const guint8 *)data,
			    (guint)(size * n));
	extend_deadline(call);
	return size * n;
}

/* The library sends a call again where a kept connection turns out closed. */
static int note_sent(void *user, char *remote_ip, char *local_ip,
		     int remote_port, int local_port)
{
	call_t *call = user;

	call->sent++;
	return CURL_PREREQFUNC_OK;
}

/* The reply's bytes live as long as the event that points into them. */
static void deliver(jobd_client_t *c, call_t *call, long status)
{
	bool order = call->about.kind == FFL_NODE_ACT_ORDER;
	jobd_box_t *box =
		jobd_box_new(order ? FFL_NODE_EV_WORKER : FFL_NODE_EV_STORE);
	ffl_pf_answer_t answer = {
		.sent = call->sent,
		.status = status,
		.body = { call->reply->data, call->reply->len },
	};

	box->body = g_byte_array_ref(call->reply);
	if (order)
		ffl_pf_worker_reply(&call->about, &answer, &box->arena,
				    &box->ev.worker);
	else
		ffl_pf_store_reply(&call->about, &answer, &box->arena,
				   &box->ev.store);
	jobd_post_sure(c->d, box);
}

static void measure(const call_t *call)
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
	bool order = call->about.kind == FFL_NODE_ACT_ORDER;

	jobd_hist_add(order ? orders[call->about.order]
			    : stores[call->about.kind],
		      jobd_now_ms() - call->begun_ms);
}

/* Tells a peer that does not accept connections from one that is silent on
 * an open one. */
static void note_failure(const call_t *call, CURL *easy, CURLcode code,
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
		   (int)code, call->sent, connects, (int64_t)connected_us,
		   jobd_now_ms() - call->begun_ms, call->http.timeout_ms);
	jobd_metrics_count("call-failed");
	jobd_line("call-failed", peer ? peer : "-", text);
}

static void finish_call(jobd_client_t *c, CURL *easy, CURLcode code)
{
	call_t *call;
	long status = 0;
	long connects = 0;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, &call);
	curl_easy_getinfo(easy, CURLINFO_NUM_CONNECTS, &connects);
	jobd_load_call(connects > 0, call->http.body ? call->http.body->len : 0,
		       call->reply->len);
	if (code == CURLE_OK)
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	else
		note_failure(call, easy, code, connects);
	curl_multi_remove_handle(c->multi, easy);
	g_ptr_array_remove_fast(c->active, easy);
	g_ptr_array_add(c->idle, easy);
	measure(call);
	deliver(c, call, status);
	call_free(call);
}

static void set_headers(call_t *call, CURL *easy)
{
	char type[FFL_PF_HEADER_BYTES];

	if (call->http.header[0])
		call->headers =
			curl_slist_append(call->headers, call->http.header);
	if (call->http.post) {
		g_snprintf(type, sizeof(type), "Content-Type: %s",
			   call->http.content_type);
		call->headers = curl_slist_append(call->headers, type);
		call->headers = curl_slist_append(call->headers, "Expect:");
	}
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->headers);
}

static void start_call(jobd_client_t *c, call_t *call)
{
	CURL *easy = c->idle->len ? g_ptr_array_remove_index(c->idle,
							     c->idle->len - 1)
				  : curl_easy_init();

	curl_easy_reset(easy);
	curl_easy_setopt(easy, CURLOPT_URL, call->http.url);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_MS);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, take_reply);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, note_sent);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, call);
	set_headers(call, easy);
	if (call->http.post) {
		curl_easy_setopt(easy, CURLOPT_POST, 1L);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS,
				 call->http.body->data);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
				 (long)call->http.body->len);
	}
	call->deadline_ms = call->begun_ms + call->http.timeout_ms;
	curl_multi_add_handle(c->multi, easy);
	g_ptr_array_add(c->active, easy);
}

/* Takes what was submitted; a wake-up that comes after the last look at the
 * ring ends the next wait. */
static bool take_calls(jobd_client_t *c)
{
	call_t *call;
	bool any = false;

	while ((call = ffl_ring_pop(&c->calls, 0))) {
		start_call(c, call);
		any = true;
	}
	return any;
}

static void take_finished(jobd_client_t *c)
{
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(c->multi, &left))) {
		if (msg->msg == CURLMSG_DONE)
			finish_call(c, msg->easy_handle, msg->data.result);
	}
}

/* Called when no answer is left to be read: one that came in time counts,
 * however late this thread is. */
static void end_expired(jobd_client_t *c)
{
	uint64_t now_ms = jobd_now_ms();

	if (now_ms - c->checked_ms < DEADLINES_MS)
		return;
	c->checked_ms = now_ms;
	for (guint i = c->active->len; i-- > 0;) {
		CURL *easy = g_ptr_array_index(c->active, i);
		call_t *call;

		curl_easy_getinfo(easy, CURLINFO_PRIVATE, &call);
		if (now_ms >= call->deadline_ms)
			finish_call(c, easy, CURLE_OPERATION_TIMEDOUT);
	}
}

static void *run(void *arg)
{
	jobd_client_t *c = arg;

	while (!atomic_load(&c->stop)) {
		uint64_t since_us;
		bool all;

		atomic_store(&c->sockets.sleeping, true);
		all = jobd_sockets_run(&c->sockets,
				       take_calls(c) ? 0 : DEADLINES_MS,
				       &since_us);
		take_finished(c);
		if (all)
			end_expired(c);
		jobd_load_busy(JOBD_DUTY_CLIENT, since_us);
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
			  (long)CONNECTIONS_MAX);
	c->idle = g_ptr_array_new();
	c->active = g_ptr_array_new();
	if (!jobd_sockets_init(&c->sockets, c->multi)) {
		fprintf(stderr, "cannot watch sockets: %s\n",
			g_strerror(errno));
		return NULL;
	}
	pthread_create(&c->thread, NULL, run, c);
	return c;
}

static void drop_active(CURLM *multi, CURL *easy)
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

	atomic_store(&c->stop, true);
	jobd_sockets_wake(&c->sockets);
	pthread_join(c->thread, NULL);
	ffl_ring_close(&c->calls);
	while ((call = ffl_ring_pop(&c->calls, 0)))
		call_free(call);
	for (guint i = 0; i < c->active->len; i++)
		drop_active(c->multi, g_ptr_array_index(c->active, i));
	g_ptr_array_free(c->active, TRUE);
	for (guint i = 0; i < c->idle->len; i++)
		curl_easy_cleanup(g_ptr_array_index(c->idle, i));
	g_ptr_array_free(c->idle, TRUE);
	curl_multi_cleanup(c->multi);
	jobd_sockets_finish(&c->sockets);
	ffl_ring_finish(&c->calls);
	g_free(c);
}

/* A full ring is answered as a call that was never made. */
static void submit(jobd_client_t *c, call_t *call)
{
	call->reply = g_byte_array_new();
	call->begun_ms = jobd_now_ms();
	if (ffl_ring_push(&c->calls, call)) {
		jobd_sockets_wake(&c->sockets);
		return;
	}
	deliver(c, call, 0);
	call_free(call);
}

void jobd_client_store(jobd_t *d, const ffl_node_act_t *act)
{
	call_t *call = g_new0(call_t, 1);

	call->about.kind = act->kind;
	call->about.call = act->store.call;
	call->about.topic = act->store.topic;
	call->about.from = act->store.from;
	ffl_pf_store_call(d->settings.log_addr, act, &call->http);
	submit(d->client, call);
}

void jobd_client_order(jobd_t *d, const ffl_node_act_t *act)
{
	call_t *call = g_new0(call_t, 1);

	call->about.kind = act->kind;
	call->about.call = act->order.call;
	call->about.order = act->order.kind;
	ffl_pf_worker_call(&act->order, &call->http);
	submit(d->client, call);
}
