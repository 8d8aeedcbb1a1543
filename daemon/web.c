#include <errno.h>
#include <inttypes.h>
#include <string.h>
#include <time.h>
#include <curl/curl.h>

#include "daemon/web.h"

/** Bounds of commands. */
#define COMMAND_BYTES_MAX 65536
#define COMMAND_WAIT_MS	  10000
#define CHUNK_BYTES	  16384
#define MS_PER_S	  1000
#define NS_PER_MS	  1000000
#define NS_PER_S	  1000000000
#define TEXT_TYPE	  "text/plain; charset=utf-8"

static int serve_callers(struct mg_connection *conn, void *user);
static int serve_operators(struct mg_connection *conn, void *user);
static bool serve_common(ffld_web_t *w, struct mg_connection *conn);
static int serve_command(ffld_web_t *w, struct mg_connection *conn,
			 ffl_command_t command, const char *arg);
static struct mg_context *listen_on(ffld_web_t *w, const char *addr,
				    uint32_t threads,
				    mg_request_handler handler);
static void wake(ffld_web_t *w, uint64_t id, ffld_step_t step,
		 const ffl_act_answer_t *answer,
		 const ffl_act_forward_t *forward);

void ffld_call_open(ffld_web_t *w, ffld_call_t *call)
{
	pthread_condattr_t attr;

	memset(call, 0, sizeof(*call));
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&call->changed, &attr);
	pthread_condattr_destroy(&attr);
	call->body = g_byte_array_new();
	pthread_mutex_lock(&w->lock);
	call->id = ++w->next_id;
	g_hash_table_insert(w->calls, &call->id, call);
	pthread_mutex_unlock(&w->lock);
}

void ffld_call_close(ffld_web_t *w, ffld_call_t *call)
{
	pthread_mutex_lock(&w->lock);
	g_hash_table_remove(w->calls, &call->id);
	pthread_mutex_unlock(&w->lock);
	pthread_cond_destroy(&call->changed);
	g_byte_array_free(call->body, TRUE);
}

ffld_step_t ffld_call_wait(ffld_web_t *w, ffld_call_t *call,
			   uint32_t timeout_ms)
{
	struct timespec ts;
	ffld_step_t step;
	int rc = 0;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	ts.tv_sec += timeout_ms / MS_PER_S;
	ts.tv_nsec += (long)(timeout_ms % MS_PER_S) * NS_PER_MS;
	if (ts.tv_nsec >= NS_PER_S) {
		ts.tv_sec++;
		ts.tv_nsec -= NS_PER_S;
	}
	pthread_mutex_lock(&w->lock);
	while (call->step == FFLD_STEP_NONE && rc != ETIMEDOUT)
		rc = pthread_cond_timedwait(&call->changed, &w->lock, &ts);
	step = call->step;
	call->step = FFLD_STEP_NONE;
	pthread_mutex_unlock(&w->lock);
	return step;
}

static void wake(ffld_web_t *w, uint64_t id, ffld_step_t step,
		 const ffl_act_answer_t *answer,
		 const ffl_act_forward_t *forward)
{
	ffld_call_t *call;

	pthread_mutex_lock(&w->lock);
	call = g_hash_table_lookup(w->calls, &id);
	if (call) {
		call->step = step;
		if (answer) {
			call->answer = *answer;
			g_byte_array_set_size(call->body, 0);
			g_byte_array_append(call->body, answer->body.data,
					    (guint)answer->body.size_bytes);
		}
		if (forward)
			call->forward = *forward;
		pthread_cond_signal(&call->changed);
	}
	pthread_mutex_unlock(&w->lock);
}

void ffld_web_answer(void *self, const ffl_act_answer_t *act)
{
	wake(((ffld_t *)self)->web, act->id, FFLD_STEP_ANSWER, act, NULL);
}

void ffld_web_forward(void *self, const ffl_act_forward_t *act)
{
	wake(((ffld_t *)self)->web, act->id, FFLD_STEP_FORWARD, NULL, act);
}

void ffld_web_finish(void *self, uint64_t id)
{
	wake(((ffld_t *)self)->web, id, FFLD_STEP_FINISH, NULL, NULL);
}

void ffld_send(struct mg_connection *conn, uint32_t http_status,
	       const char *content_type, const void *body, size_t size_bytes,
	       uint32_t retry_after_ms)
{
	mg_printf(conn, "HTTP/1.1 %u %s\r\n", http_status,
		  mg_get_response_code_text(conn, (int)http_status));
	mg_printf(conn, "Content-Type: %s\r\nContent-Length: %zu\r\n",
		  content_type, size_bytes);
	if (retry_after_ms)
		mg_printf(conn, "Retry-After: %u\r\n",
			  (retry_after_ms + MS_PER_S - 1) / MS_PER_S);
	mg_printf(conn, "\r\n");
	if (size_bytes)
		mg_write(conn, body, size_bytes);
}

void ffld_send_problem(struct mg_connection *conn, uint32_t http_status,
		       const char *type, const char *detail, ffl_ran_t ran)
{
	json_t *json = json_pack("{s:s+,s:s,s:i,s:s,s:s}", "type",
				 "urn:fireflyledge:problem:", type, "title",
				 type, "status", (int)http_status, "detail",
				 detail, "ran", ffl_ran_name(ran));
	char *text = json_dumps(json, JSON_COMPACT | JSON_PRESERVE_ORDER);

	json_decref(json);
	ffld_send(conn, http_status, "application/problem+json", text,
		  strlen(text), 0);
	free(text);
}

const char *ffld_bearer(const struct mg_connection *conn)
{
	static const char prefix[] = "Bearer ";
	const char *value = mg_get_header(conn, "Authorization");

	if (!value || strncmp(value, prefix, sizeof(prefix) - 1) != 0)
		return "";
	return value + sizeof(prefix) - 1;
}

ffl_status_t ffld_read_body(struct mg_connection *conn, GByteArray *body,
			    size_t max_bytes)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	char buf[CHUNK_BYTES];
	int n;

	if (info->content_length > (long long)max_bytes)
		return FFL_FULL;
	while ((n = mg_read(conn, buf, sizeof(buf))) > 0) {
		if (body->len + (size_t)n > max_bytes)
			return FFL_FULL;
		g_byte_array_append(body, (guint8 *)buf, (guint)n);
	}
	if (n < 0 || (info->content_length > 0 &&
		      body->len != (guint)info->content_length))
		return FFL_TRUNCATED;
	return FFL_OK;
}

static int serve_command(ffld_web_t *w, struct mg_connection *conn,
			 ffl_command_t command, const char *arg)
{
	ffl_box_t *box = ffl_box_new(FFL_EV_COMMAND);
	GByteArray *body = g_byte_array_new();
	ffld_call_t call;
	ffl_status_t status = ffld_read_body(conn, body, COMMAND_BYTES_MAX);
	const char *token = ffld_bearer(conn);

	if (status != FFL_OK) {
		ffl_box_free(box);
		g_byte_array_free(body, TRUE);
		ffld_send_problem(conn, status == FFL_FULL ? 413 : 400,
				  status == FFL_FULL ? "body-too-large"
						     : "body-truncated",
				  "the body was not taken", FFL_RAN_NO);
		return 1;
	}
	ffld_call_open(w, &call);
	box->ev.command.id = call.id;
	box->ev.command.command = command;
	box->ev.command.arg = ffl_box_text(box, arg);
	box->ev.command.token = ffl_box_text(box, token);
	box->ev.command.body.data =
		ffl_arena_copy(&box->arena, body->data, body->len);
	box->ev.command.body.size_bytes = body->len;
	g_byte_array_free(body, TRUE);
	if (!ffld_post(w->d, box))
		ffld_send_problem(conn, 503, "overloaded",
				  "this host is too busy", FFL_RAN_NO);
	else if (ffld_call_wait(w, &call, COMMAND_WAIT_MS) == FFLD_STEP_ANSWER)
		ffld_send(conn, call.answer.http_status,
			  call.answer.content_type, call.body->data,
			  call.body->len, call.answer.retry_after_ms);
	else
		ffld_send_problem(conn, 504, "outcome-unknown",
				  "no answer in time", FFL_RAN_UNKNOWN);
	ffld_call_close(w, &call);
	return 1;
}

/* Health, readiness and counters need no decision and no token. */
static bool serve_common(ffld_web_t *w, struct mg_connection *conn)
{
	const char *path = mg_get_request_info(conn)->local_uri;
	bool ready = atomic_load(&w->d->ready);
	GString *text;

	if (strcmp(path, "/health") == 0) {
		ffld_send(conn, 200, TEXT_TYPE, "ok\n", 3, 0);
		return true;
	}
	if (strcmp(path, "/ready") == 0) {
		ffld_send(conn, ready ? 200 : 503, TEXT_TYPE,
			  ready ? "ready\n" : "unready\n", ready ? 6 : 8, 0);
		return true;
	}
	if (strcmp(path, "/metrics") != 0)
		return false;
	text = g_string_new(NULL);
	ffl_counters_format(&w->d->counters, text);
	ffld_send(conn, 200, TEXT_TYPE, text->str, text->len, 0);
	g_string_free(text, TRUE);
	return true;
}

static int serve_operators(struct mg_connection *conn, void *user)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	ffld_web_t *w = user;
	char arg[FFL_NAME_BYTES];
	ffl_command_t command;

	if (serve_common(w, conn))
		return 1;
	command = ffl_command_match(info->request_method, info->local_uri, arg,
				    sizeof(arg));
	if (command == FFL_CMD__MAX) {
		ffld_send_problem(conn, 404, "unknown-route", info->local_uri,
				  FFL_RAN_NO);
		return 1;
	}
	return serve_command(w, conn, command, arg);
}

static int serve_callers(struct mg_connection *conn, void *user)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	ffld_web_t *w = user;
	char arg[FFL_NAME_BYTES];
	ffl_command_t command;

	if (serve_common(w, conn))
		return 1;
	if (strncmp(info->local_uri, "/v1/", 4) != 0)
		return ffld_relay(w, conn);
	command = ffl_command_match(info->request_method, info->local_uri, arg,
				    sizeof(arg));
	if (command == FFL_CMD__MAX ||
	    ffl_command_route(command)->role != FFL_ROLE_CALLER) {
		ffld_send_problem(conn, 404, "unknown-route", info->local_uri,
				  FFL_RAN_NO);
		return 1;
	}
	return serve_command(w, conn, command, arg);
}

static struct mg_context *listen_on(ffld_web_t *w, const char *addr,
				    uint32_t threads,
				    mg_request_handler handler)
{
	struct mg_callbacks callbacks = { 0 };
	char count[16];
	const char *options[] = { "listening_ports",
				  addr,
				  "num_threads",
				  count,
				  "enable_keep_alive",
				  "yes",
				  "tcp_nodelay",
				  "1",
				  "request_timeout_ms",
				  "30000",
				  "keep_alive_timeout_ms",
				  "10000",
				  NULL };
	struct mg_context *ctx;

	g_snprintf(count, sizeof(count), "%u", threads);
	ctx = mg_start(&callbacks, w, options);
	if (ctx)
		mg_set_request_handler(ctx, "/", handler, w);
	return ctx;
}

ffld_web_t *ffld_web_start(ffld_t *d)
{
	ffld_web_t *w = g_new0(ffld_web_t, 1);

	w->d = d;
	pthread_mutex_init(&w->lock, NULL);
	w->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
	w->idle = g_ptr_array_new();
	d->web = w;
	w->callers = listen_on(w, d->settings.callers, d->settings.threads,
			       serve_callers);
	w->operators = listen_on(w, d->settings.operators, 8, serve_operators);
	if (w->callers && w->operators)
		return w;
	ffld_web_stop(w);
	return NULL;
}

void ffld_web_stop(ffld_web_t *w)
{
	if (w->callers)
		mg_stop(w->callers);
	if (w->operators)
		mg_stop(w->operators);
	for (guint i = 0; i < w->idle->len; i++)
		curl_easy_cleanup(g_ptr_array_index(w->idle, i));
	g_ptr_array_free(w->idle, TRUE);
	g_hash_table_destroy(w->calls);
	pthread_mutex_destroy(&w->lock);
	g_free(w);
}
