#include <string.h>
#include <curl/curl.h>

#include "daemon/daemon.h"
#include "fireflyledge/connage.h"
#include "fireflyledge/platform.h"

/** Sizes, times in milliseconds and limits. */
#define URL_BYTES	   256
#define CONNECT_TIMEOUT_MS 500
#define CALL_TIMEOUT_MS	   2000
#define POLL_INTERVAL_MS   100
#define REPLY_BYTES_MAX	   (64U << 20)
#define CONNECTIONS_MAX	   256

/** Purpose of a call. */
typedef enum {
	CALL_LOG_READ,
	CALL_LOG_APPEND,
	CALL_HOST_LIST,
	CALL_WORKER_COMMAND,
	CALL__MAX
} call_kind_t;

/** One HTTP call to the platform. */
typedef struct {
	call_kind_t kind;
	uint64_t action_id; /**< of the append or worker call, 0 otherwise */
	uint32_t timeout_ms;
	uint64_t deadline_ms; /**< given up then; set when it starts */
	ffl_name_t worker;
	char url[URL_BYTES];
	GByteArray *body; /**< NULL for GET */
	GByteArray *reply;
	CURL *easy;
} call_t;

struct ffld_client {
	ffld_t *d;
	ffl_ring_t calls; /**< of call_t */
	CURLM *multi;
	ffl_connage_t ages;
	GPtrArray *idle;   /**< of CURL *, kept for reuse */
	GPtrArray *active; /**< of CURL *, each with a call in progress */
	pthread_t thread;
	struct curl_slist *headers;
	_Atomic bool stop;
};

/** Converts the result of a call into an event; returns NULL for none. */
typedef ffl_box_t *(*finish_fn_t)(call_t *call, ffl_status_t status);

static call_t *call_new(call_kind_t kind);
static void call_free(call_t *call);
static size_t on_reply(char *data, size_t size, size_t n, void *user);
static void submit_call(ffld_client_t *c, call_t *call);
static void start_call(ffld_client_t *c, call_t *call);
static ffl_status_t call_status(CURLcode code, long http_status);
static void finish_call(ffld_client_t *c, CURL *easy, CURLcode code);
static call_t *call_of(CURL *easy);
static void expire_calls(ffld_client_t *c, uint64_t read_ms);
static uint32_t next_deadline_ms(const ffld_client_t *c, uint64_t now_ms);
static ffl_bytes_t reply_bytes(const call_t *call);
static ffl_box_t *finish_log_read(call_t *call, ffl_status_t status);
static ffl_box_t *finish_log_append(call_t *call, ffl_status_t status);
static ffl_box_t *finish_host_list(call_t *call, ffl_status_t status);
static ffl_box_t *finish_worker_reply(call_t *call, ffl_status_t status);
static void *client_thread(void *arg);

static const finish_fn_t finishers[CALL__MAX] = {
	[CALL_LOG_READ] = finish_log_read,
	[CALL_LOG_APPEND] = finish_log_append,
	[CALL_HOST_LIST] = finish_host_list,
	[CALL_WORKER_COMMAND] = finish_worker_reply,
};

static call_t *call_new(call_kind_t kind)
{
	call_t *call = g_new0(call_t, 1);

	call->kind = kind;
	call->timeout_ms = CALL_TIMEOUT_MS;
	call->reply = g_byte_array_new();
	return call;
}

static void call_free(call_t *call)
{
	if (call->body)
		g_byte_array_free(call->body, TRUE);
	g_byte_array_free(call->reply, TRUE);
	g_free(call);
}

static size_t on_reply(char *data, size_t size, size_t n, void *user)
{
	call_t *call = user;

	if (call->reply->len + size * n > REPLY_BYTES_MAX)
		return 0;
	g_byte_array_append(call->reply, (const guint8 *)data,
			    (guint)(size * n));
	return size * n;
}

static ffl_bytes_t reply_bytes(const call_t *call)
{
	ffl_bytes_t b = { call->reply->data, call->reply->len };

	return b;
}

static ffl_box_t *finish_log_read(call_t *call, ffl_status_t status)
{
	ffl_box_t *box = ffl_box_new(FFL_EV_LOG_READ);
	ffl_log_page_t page;
	ffl_log_entry_t *entries;
	const ffl_log_row_t *rows;

	if (status == FFL_OK)
		status = ffl_schema_decode(&ffl_log_page_schema,
					   reply_bytes(call), &page,
					   &box->arena, NULL);
	box->ev.log_read.status = status;
	if (status != FFL_OK)
		return box;
	rows = page.rows.items;
	entries = ffl_arena_alloc(&box->arena,
				  (page.rows.count + 1) * sizeof(*entries));
	for (uint32_t i = 0; i < page.rows.count; i++) {
		entries[i].offset = rows[i].offset;
		entries[i].data = rows[i].data;
	}
	box->ev.log_read.first = page.first;
	box->ev.log_read.end = page.end;
	box->ev.log_read.entries = entries;
	box->ev.log_read.count = page.rows.count;
	return box;
}

static ffl_box_t *finish_log_append(call_t *call, ffl_status_t status)
{
	ffl_box_t *box = ffl_box_new(FFL_EV_LOG_APPENDED);
	ffl_log_ack_t ack = { 0 };

	if (status == FFL_OK &&
	    ffl_schema_decode(&ffl_log_ack_schema, reply_bytes(call), &ack,
			      &box->arena, NULL) != FFL_OK)
		status = FFL_UNKNOWN;
	box->ev.log_appended.append = call->action_id;
	box->ev.log_appended.status = status;
	box->ev.log_appended.offset = ack.offset;
	return box;
}

static ffl_box_t *finish_host_list(call_t *call, ffl_status_t status)
{
	ffl_box_t *box = ffl_box_new(FFL_EV_HOST_LIST);

	if (status == FFL_OK)
		status = ffl_schema_decode(
			&ffl_host_list_schema, reply_bytes(call),
			&box->ev.host_list, &box->arena, NULL);
	if (status == FFL_OK)
		return box;
	ffl_box_free(box);
	return NULL;
}

static ffl_box_t *finish_worker_reply(call_t *call, ffl_status_t status)
{
	ffl_box_t *box = ffl_box_new(FFL_EV_WORKER_REPLY);
	ffl_ev_worker_reply_t *r = &box->ev.worker_reply;

	if (status == FFL_OK &&
	    ffl_schema_decode(&ffl_worker_reply_schema, reply_bytes(call),
			      &r->reply, &box->arena, NULL) != FFL_OK)
		status = FFL_UNKNOWN;
	ffl_copy(r->worker, sizeof(r->worker), call->worker);
	r->call = call->action_id;
	r->status = status;
	return box;
}

/* A call certainly had no effect only if no connection was made or the service
 * itself answered 503; any other failure leaves its outcome unknown. */
static ffl_status_t call_status(CURLcode code, long http_status)
{
	if (code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST)
		return FFL_UNAVAILABLE;
	if (code != CURLE_OK)
		return FFL_UNKNOWN;
	if (http_status == 200)
		return FFL_OK;
	return http_status == 503 ? FFL_UNAVAILABLE : FFL_UNKNOWN;
}

static call_t *call_of(CURL *easy)
{
	call_t *call;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, &call);
	return call;
}

static void finish_call(ffld_client_t *c, CURL *easy, CURLcode code)
{
	ffl_box_t *box;
	char addr[FFL_ADDR_BYTES];
	call_t *call = call_of(easy);
	long http_status = 0;
	long connects = 0;

	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &http_status);
	curl_easy_getinfo(easy, CURLINFO_NUM_CONNECTS, &connects);
	if (code == CURLE_OPERATION_TIMEDOUT && !connects) {
		ffl_connage_addr(call->url, addr, sizeof(addr));
		ffl_connage_doubt(&c->ages, addr, ffld_now_ms());
	}
	curl_multi_remove_handle(c->multi, easy);
	g_ptr_array_remove_fast(c->active, easy);
	g_ptr_array_add(c->idle, easy);
	box = finishers[call->kind](call, call_status(code, http_status));
	if (box)
		ffld_post_event_wait(c->d, box);
	call_free(call);
}

static void start_call(ffld_client_t *c, call_t *call)
{
	CURL *easy = c->idle->len ? g_ptr_array_remove_index(c->idle,
							     c->idle->len - 1)
				  : curl_easy_init();
	char addr[FFL_ADDR_BYTES];
	ffl_conn_choice_t choice;

	ffl_connage_addr(call->url, addr, sizeof(addr));
	call->deadline_ms = ffld_now_ms() + call->timeout_ms;
	choice = ffl_connage_choose(&c->ages, addr, ffld_now_ms());
	curl_easy_reset(easy);
	curl_easy_setopt(easy, CURLOPT_URL, call->url);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, (long)choice.fresh);
	curl_easy_setopt(easy, CURLOPT_MAXLIFETIME_CONN,
			 (long)choice.life_max_s);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_reply);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, c->headers);
	if (call->body) {
		curl_easy_setopt(easy, CURLOPT_POST, 1L);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call->body->data);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
				 (long)call->body->len);
	}
	curl_multi_add_handle(c->multi, easy);
	g_ptr_array_add(c->active, easy);
}

/* Gives up the calls whose time was over at read_ms; what had arrived by then
 * has been read. libcurl compares its own time limit with the clock before it
 * reads: after a pause of this process an answer that had arrived would count
 * as missing. */
static void expire_calls(ffld_client_t *c, uint64_t read_ms)
{
	for (guint i = c->active->len; i-- > 0;) {
		CURL *easy = g_ptr_array_index(c->active, i);

		if (call_of(easy)->deadline_ms <= read_ms)
			finish_call(c, easy, CURLE_OPERATION_TIMEDOUT);
	}
}

/* Returns the time until the first call is given up, POLL_INTERVAL_MS at
 * most. */
static uint32_t next_deadline_ms(const ffld_client_t *c, uint64_t now_ms)
{
	uint64_t until_ms = now_ms + POLL_INTERVAL_MS;

	for (guint i = 0; i < c->active->len; i++) {
		CURL *easy = g_ptr_array_index(c->active, i);

		until_ms = MIN(until_ms, call_of(easy)->deadline_ms);
	}
	return (uint32_t)(MAX(until_ms, now_ms) - now_ms);
}

static void *client_thread(void *arg)
{
	ffld_client_t *c = arg;
	uint64_t read_ms = 0; /* before the wait that the last read followed */
	int running;
	int left;

	while (!atomic_load(&c->stop)) {
		call_t *call;
		CURLMsg *msg;

		while ((call = ffl_ring_pop(&c->calls, 0)))
			start_call(c, call);
		curl_multi_perform(c->multi, &running);
		while ((msg = curl_multi_info_read(c->multi, &left))) {
			if (msg->msg == CURLMSG_DONE)
				finish_call(c, msg->easy_handle,
					    msg->data.result);
		}
		expire_calls(c, read_ms);
		read_ms = ffld_now_ms();
		curl_multi_poll(c->multi, NULL, 0,
				(int)next_deadline_ms(c, read_ms), NULL);
	}
	return NULL;
}

ffld_client_t *ffld_client_start(ffld_t *d)
{
	ffld_client_t *c = g_new0(ffld_client_t, 1);

	c->d = d;
	ffl_ring_init(&c->calls, FFLD_CALLS_MAX);
	c->multi = curl_multi_init();
	curl_multi_setopt(c->multi, CURLMOPT_MAXCONNECTS,
			  (long)CONNECTIONS_MAX);
	ffl_connage_init(&c->ages);
	c->idle = g_ptr_array_new();
	c->active = g_ptr_array_new();
	c->headers =
		curl_slist_append(NULL, "Content-Type: application/msgpack");
	c->headers = curl_slist_append(c->headers, "Expect:");
	pthread_create(&c->thread, NULL, client_thread, c);
	return c;
}

static void abort_call(ffld_client_t *c, CURL *easy)
{
	call_t *call = call_of(easy);

	curl_multi_remove_handle(c->multi, easy);
	curl_easy_cleanup(easy);
	call_free(call);
}

void ffld_client_stop(ffld_client_t *c)
{
	call_t *call;

	atomic_store(&c->stop, true);
	curl_multi_wakeup(c->multi);
	pthread_join(c->thread, NULL);
	ffl_ring_close(&c->calls);
	while ((call = ffl_ring_pop(&c->calls, 0)))
		call_free(call);
	for (guint i = 0; i < c->active->len; i++)
		abort_call(c, g_ptr_array_index(c->active, i));
	g_ptr_array_free(c->active, TRUE);
	for (guint i = 0; i < c->idle->len; i++)
		curl_easy_cleanup(g_ptr_array_index(c->idle, i));
	g_ptr_array_free(c->idle, TRUE);
	curl_multi_cleanup(c->multi);
	curl_slist_free_all(c->headers);
	ffl_connage_finish(&c->ages);
	ffl_ring_finish(&c->calls);
	g_free(c);
}

/* If the ring is full, the call fails as one that was never sent. */
static void submit_call(ffld_client_t *c, call_t *call)
{
	ffl_box_t *box;

	if (ffl_ring_push(&c->calls, call)) {
		curl_multi_wakeup(c->multi);
		return;
	}
	ffl_counter_add(&c->d->counters, FFL_CTR_RING_FULL, 1);
	box = finishers[call->kind](call, FFL_UNAVAILABLE);
	call_free(call);
	if (box)
		ffld_post_event(c->d, box);
}

void ffld_client_log_read(void *self, const ffl_act_log_read_t *act)
{
	ffld_t *d = self;
	call_t *call = call_new(CALL_LOG_READ);

	call->timeout_ms = act->wait_ms + CALL_TIMEOUT_MS;
	g_snprintf(call->url, sizeof(call->url),
		   "%s/v1/log?from=%" G_GUINT64_FORMAT "&max=%u&wait_ms=%u",
		   d->settings.platform_log, act->from, act->max, act->wait_ms);
	submit_call(d->client, call);
}

void ffld_client_log_append(void *self, const ffl_act_log_append_t *act)
{
	ffld_t *d = self;
	call_t *call = call_new(CALL_LOG_APPEND);
	ffl_log_item_t items[FFL_LOG_BATCH_MAX];
	ffl_log_batch_t batch = { .items = { items, act->count } };

	for (uint32_t i = 0; i < act->count; i++)
		items[i].data = act->records[i];
	call->action_id = act->append;
	call->body = g_byte_array_new();
	ffl_schema_encode(&ffl_log_batch_schema, &batch, call->body);
	g_snprintf(call->url, sizeof(call->url), "%s/v1/log",
		   d->settings.platform_log);
	submit_call(d->client, call);
}

void ffld_client_hosts_read(void *self, const ffl_act_hosts_read_t *act)
{
	ffld_t *d = self;
	call_t *call = call_new(CALL_HOST_LIST);

	g_snprintf(call->url, sizeof(call->url),
		   "%s/v1/hosts?seed=%" G_GUINT64_FORMAT
		   "&since=%" G_GUINT64_FORMAT,
		   d->settings.platform_hosts, act->seed, act->since);
	submit_call(d->client, call);
}

void ffld_client_worker_send(void *self, const ffl_act_worker_send_t *act)
{
	ffld_t *d = self;
	call_t *call = call_new(CALL_WORKER_COMMAND);

	call->action_id = act->call;
	call->body = g_byte_array_new();
	ffl_copy(call->worker, sizeof(call->worker), act->worker);
	ffl_schema_encode(&ffl_worker_cmd_schema, &act->cmd, call->body);
	g_snprintf(call->url, sizeof(call->url), "http://%s/v1/workers/%s",
		   act->addr, act->worker);
	submit_call(d->client, call);
}
