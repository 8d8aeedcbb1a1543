#include <inttypes.h>
#include <string.h>
#include <time.h>

#include "daemon/head.h"
#include "daemon/web.h"

/** Bounds of commands. */
#define COMMAND_BYTES_MAX 65536
#define COMMAND_WAIT_MS	  10000
#define CHUNK_BYTES	  16384
#define MS_PER_S	  1000
#define ALLOW_BYTES	  64
#define ERROR_BYTES	  256
#define KEEP_ALIVE_MS	  10000
#define OPERATOR_THREADS  32
#define TEXT_TYPE	  "text/plain; charset=utf-8"

static void send_text(struct mg_connection *conn, int http_status,
		      const char *text);
static ffl_box_t *command_event(struct mg_connection *conn, uint64_t id,
				ffl_command_t command, const char *arg,
				const GByteArray *body);
static void serve_command(ffld_web_t *w, struct mg_connection *conn,
			  ffl_command_t command, const char *arg);
static bool serve_common(ffld_web_t *w, struct mg_connection *conn);
static void allowed_methods(const char *path, bool operators, char *out,
			    size_t out_bytes);
static void serve_route(ffld_web_t *w, struct mg_connection *conn,
			bool operators);
static bool enter(ffld_web_t *w, struct mg_connection *conn);
static void end_request(ffld_web_t *w, struct mg_connection *conn);
static int serve_callers(struct mg_connection *conn, void *user);
static int serve_operators(struct mg_connection *conn, void *user);
static int on_open(const struct mg_connection *conn, void **data);
static void on_close(const struct mg_connection *conn);
static int on_error(struct mg_connection *conn, int http_status,
		    const char *message);
static struct mg_context *listen_on(ffld_web_t *w, const char *addr,
				    uint32_t threads,
				    mg_request_handler handler);

static const char *const methods[] = { "GET", "POST", "PUT", "DELETE" };

bool ffld_web_should_close(const ffld_web_t *w)
{
	uint32_t busy = w->d->settings.threads / 4 * 3;

	return atomic_load(&w->closing) || atomic_load(&w->d->stopping) ||
	       atomic_load(&w->conns.count) > busy;
}

void ffld_send(ffld_web_t *w, struct mg_connection *conn,
	       const ffl_act_answer_t *answer, const GByteArray *body,
	       const char *id)
{
	bool close = ffld_web_should_close(w);

	if (close)
		mg_disable_connection_keep_alive(conn);
	mg_printf(conn,
		  "HTTP/1.1 %u %s\r\nContent-Type: %s\r\n"
		  "Content-Length: %u\r\n%s",
		  answer->http_status,
		  mg_get_response_code_text(conn, (int)answer->http_status),
		  answer->content_type, body->len,
		  close ? "Connection: close\r\n" : "");
	if (answer->retry_after_ms)
		mg_printf(conn, "Retry-After: %u\r\n",
			  (answer->retry_after_ms + MS_PER_S - 1) / MS_PER_S);
	mg_printf(conn, "Fireflyledge-Request-Id: %s\r\n\r\n", id);
	if (body->len &&
	    strcmp(mg_get_request_info(conn)->request_method, "HEAD") != 0)
		mg_write(conn, body->data, body->len);
}

static void send_text(struct mg_connection *conn, int http_status,
		      const char *text)
{
	mg_printf(conn,
		  "HTTP/1.1 %d %s\r\nContent-Type: " TEXT_TYPE "\r\n"
		  "Content-Length: %zu\r\n\r\n%s",
		  http_status, mg_get_response_code_text(conn, http_status),
		  strlen(text), text);
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

static ffl_box_t *command_event(struct mg_connection *conn, uint64_t id,
				ffl_command_t command, const char *arg,
				const GByteArray *body)
{
	ffl_box_t *box = ffl_box_new(FFL_EV_COMMAND);

	box->ev.command.id = id;
	box->ev.command.command = command;
	box->ev.command.arg = ffl_box_text(box, arg);
	box->ev.command.token = ffl_box_text(box, ffld_bearer(conn));
	box->ev.command.body =
		ffl_box_bytes(box, (ffl_bytes_t){ body->data, body->len });
	return box;
}

static void serve_command(ffld_web_t *w, struct mg_connection *conn,
			  ffl_command_t command, const char *arg)
{
	GByteArray *body = g_byte_array_new();
	ffl_status_t status = ffld_read_body(conn, body, COMMAND_BYTES_MAX);
	char id[FFLD_ID_BYTES];
	ffld_call_t call;

	if (status != FFL_OK) {
		g_byte_array_free(body, TRUE);
		ffld_send_problem(conn,
				  status == FFL_FULL ? FFLD_BODY_TOO_LARGE
						     : FFLD_BODY_TRUNCATED,
				  NULL, FFL_RAN_NO);
		return;
	}
	ffld_call_open(w, &call);
	g_snprintf(id, sizeof(id), "%.40s-c%llu", w->boot_id,
		   (unsigned long long)call.id);
	if (!ffld_post(w->d, command_event(conn, call.id, command, arg, body)))
		ffld_send_problem(conn, FFLD_OVERLOADED, NULL, FFL_RAN_NO);
	else if (ffld_call_wait(w, &call, COMMAND_WAIT_MS) == FFLD_STEP_ANSWER)
		ffld_send(w, conn, &call.answer, call.body, id);
	else
		ffld_send_problem(conn, FFLD_OUTCOME_UNKNOWN, NULL,
				  FFL_RAN_UNKNOWN);
	g_byte_array_free(body, TRUE);
	ffld_call_close(w, &call);
}

/* Health, readiness and counters need no decision and no token. */
static bool serve_common(ffld_web_t *w, struct mg_connection *conn)
{
	const char *path = mg_get_request_info(conn)->local_uri;
	bool ready = atomic_load(&w->d->ready);
	GString *text;

	if (strcmp(path, "/health") == 0) {
		send_text(conn, 200, "ok\n");
		return true;
	}
	if (strcmp(path, "/ready") == 0) {
		send_text(conn, ready ? 200 : 503,
			  ready ? "ready\n" : "unready\n");
		return true;
	}
	if (strcmp(path, "/metrics") != 0)
		return false;
	text = g_string_new(NULL);
	ffl_counters_format(&w->d->counters, text);
	send_text(conn, 200, text->str);
	g_string_free(text, TRUE);
	return true;
}

/* Lists the methods that a path has for one port. */
static void allowed_methods(const char *path, bool operators, char *out,
			    size_t out_bytes)
{
	char arg[FFL_NAME_BYTES];

	out[0] = '\0';
	for (size_t i = 0; i < G_N_ELEMENTS(methods); i++) {
		ffl_command_t c =
			ffl_command_match(methods[i], path, arg, sizeof(arg));

		if (c == FFL_CMD__MAX ||
		    (!operators &&
		     ffl_command_route(c)->role != FFL_ROLE_CALLER))
			continue;
		if (out[0])
			g_strlcat(out, ", ", out_bytes);
		g_strlcat(out, methods[i], out_bytes);
	}
}

static void serve_route(ffld_web_t *w, struct mg_connection *conn,
			bool operators)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	char arg[FFL_NAME_BYTES];
	char allow[ALLOW_BYTES];
	ffl_command_t command;

	command = ffl_command_match(info->request_method, info->local_uri, arg,
				    sizeof(arg));
	if (command != FFL_CMD__MAX &&
	    (operators ||
	     ffl_command_route(command)->role == FFL_ROLE_CALLER)) {
		serve_command(w, conn, command, arg);
		return;
	}
	allowed_methods(info->local_uri, operators, allow, sizeof(allow));
	if (allow[0])
		ffld_send_not_allowed(conn, allow);
	else
		ffld_send_problem(conn, FFLD_UNKNOWN_ROUTE, NULL, FFL_RAN_NO);
}

/* Returns false where the request was refused before anything was read. */
static bool enter(ffld_web_t *w, struct mg_connection *conn)
{
	ffld_conn_t *peer = mg_get_user_connection_data(conn);
	ffld_problem_t problem;
	const char *field;

	ffld_conn_enter(&w->conns, peer, mg_get_request_info(conn));
	if (peer->refused) {
		ffl_count(&w->d->counters, FFL_CTR_CONNECTIONS_REFUSED, 1);
		ffld_send_problem(conn, FFLD_TOO_MANY_CONNECTIONS, NULL,
				  FFL_RAN_NO);
		return false;
	}
	problem = ffld_head_check(mg_get_request_info(conn), &field);
	if (problem != FFLD_PROBLEM__MAX) {
		ffl_count(&w->d->counters, FFL_CTR_HEADS_REFUSED, 1);
		ffld_send_problem(conn, problem, field, FFL_RAN_NO);
		return false;
	}
	ffld_conn_deadline(&w->conns, peer, w->d->settings.body_timeout_ms);
	return true;
}

/* The next request has its own deadline. */
static void end_request(ffld_web_t *w, struct mg_connection *conn)
{
	ffld_conn_deadline(&w->conns, mg_get_user_connection_data(conn),
			   KEEP_ALIVE_MS + w->d->settings.body_timeout_ms);
}

static int serve_operators(struct mg_connection *conn, void *user)
{
	ffld_web_t *w = user;

	if (!enter(w, conn))
		return 1;
	if (!serve_common(w, conn))
		serve_route(w, conn, true);
	end_request(w, conn);
	return 1;
}

static int serve_callers(struct mg_connection *conn, void *user)
{
	ffld_web_t *w = user;

	if (!enter(w, conn))
		return 1;
	if (serve_common(w, conn)) {
		end_request(w, conn);
		return 1;
	}
	if (strncmp(mg_get_request_info(conn)->local_uri, "/v1/", 4) == 0)
		serve_route(w, conn, false);
	else
		ffld_relay(w, conn);
	end_request(w, conn);
	return 1;
}

static int on_open(const struct mg_connection *conn, void **data)
{
	ffld_web_t *w = mg_get_user_data(mg_get_context(conn));

	*data = ffld_conn_open(&w->conns);
	return 0;
}

static void on_close(const struct mg_connection *conn)
{
	ffld_web_t *w = mg_get_user_data(mg_get_context(conn));
	ffld_conn_t *peer = mg_get_user_connection_data(conn);

	if (peer)
		ffld_conn_close(&w->conns, peer);
}

/* What the server itself cannot parse is refused in the same form. */
static int on_error(struct mg_connection *conn, int http_status,
		    const char *message)
{
	ffld_web_t *w = mg_get_user_data(mg_get_context(conn));
	char text[ERROR_BYTES];

	ffl_count(&w->d->counters, FFL_CTR_HEADS_REFUSED, 1);
	g_snprintf(text, sizeof(text),
		   "{\"type\":\"urn:fireflyledge:problem:bad-request\","
		   "\"title\":\"the request cannot be read\",\"status\":%d,"
		   "\"ran\":\"no\"}",
		   http_status);
	mg_disable_connection_keep_alive(conn);
	mg_printf(conn,
		  "HTTP/1.1 %d %s\r\nContent-Type: application/problem+json\r\n"
		  "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
		  http_status, mg_get_response_code_text(conn, http_status),
		  strlen(text), text);
	return 0;
}

static struct mg_context *listen_on(ffld_web_t *w, const char *addr,
				    uint32_t threads,
				    mg_request_handler handler)
{
	struct mg_callbacks callbacks = { .init_connection = on_open,
					  .connection_close = on_close,
					  .http_error = on_error };
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
				  G_STRINGIFY(KEEP_ALIVE_MS),
				  "decode_url",
				  "no",
				  "connection_queue",
				  "256",
				  "listen_backlog",
				  "1024",
				  NULL };
	struct mg_context *ctx;

	g_snprintf(count, sizeof(count), "%u", threads);
	ctx = mg_start(&callbacks, w, options);
	if (ctx)
		mg_set_request_handler(ctx, "**", handler, w);
	return ctx;
}

ffld_web_t *ffld_web_start(ffld_t *d)
{
	ffld_web_t *w = g_new0(ffld_web_t, 1);

	w->d = d;
	ffld_calls_init(w);
	g_snprintf(w->boot_id, sizeof(w->boot_id), "%.24s-%08x",
		   d->settings.name, (uint32_t)d->host.opt.self.member);
	ffld_conns_init(&w->conns, d);
	ffld_pool_init(&w->pool);
	d->web = w;
	w->callers = listen_on(w, d->settings.callers, d->settings.threads,
			       serve_callers);
	w->operators = listen_on(w, d->settings.operators, OPERATOR_THREADS,
				 serve_operators);
	if (w->callers && w->operators)
		return w;
	ffld_web_stop(w);
	return NULL;
}

void ffld_web_stop(ffld_web_t *w)
{
	ffld_calls_drain(w);
	if (w->callers)
		mg_stop(w->callers);
	if (w->operators)
		mg_stop(w->operators);
	ffld_conns_finish(&w->conns);
	ffld_pool_finish(&w->pool);
	ffld_calls_finish(w);
	g_free(w);
}
