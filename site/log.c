#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <jansson.h>

#include "site/site.h"

/** Size of the length that precedes each record in appends and reads. */
#define RECORD_LENGTH_BYTES 4
/** Most records in a page of newest records. */
#define PAGE_RECORDS_MAX 500
/** Longest value of a query parameter, with terminator. */
#define NAME_BYTES   64
#define NUMBER_BYTES 24

static const char *query_string(const struct mg_connection *conn);
static int query_topic(const char *query);
static bool read_query_number(const char *query, const char *name,
			      uint64_t *out);
static GPtrArray *decode_writes(const GByteArray *body);
static void free_write(void *data);
static void put_number(GByteArray *out, uint64_t n, size_t bytes);
static void send_json(struct mg_connection *conn, int status, json_t *doc);
static void send_page(site_http_t *s, struct mg_connection *conn, json_t *doc);
static bool refuse_if_down(site_http_t *s, struct mg_connection *conn);

static const char *const topics[FFL_TOPIC__MAX] = {
	[FFL_TOPIC_CONFIG] = "keyed.op",
	[FFL_TOPIC_WORKERS] = "keyed.servers",
	[FFL_TOPIC_JOBS] = "keyed.jobs",
	[FFL_TOPIC_RUNS] = "keyed.runs",
	[FFL_TOPIC_STATES] = "keyed.states",
};

static const char *query_string(const struct mg_connection *conn)
{
	const char *query = mg_get_request_info(conn)->query_string;

	return query ? query : "";
}

/* Returns the index of the partition, or -1 if there is none. Only the topic of
 * jobs has several. */
static int query_topic(const char *query)
{
	char name[NAME_BYTES];
	uint64_t part;

	if (mg_get_var(query, strlen(query), "topic", name, sizeof(name)) < 0 ||
	    !read_query_number(query, "part", &part))
		return -1;
	for (int i = 0; i < FFL_TOPIC__MAX; i++) {
		uint64_t parts = i == FFL_TOPIC_JOBS ? FFL_JOBS_PARTS_MAX : 1;

		if (strcmp(topics[i], name) == 0)
			return part < parts
				       ? (int)ffl_tail_index((ffl_topic_t)i,
							     (uint32_t)part)
				       : -1;
	}
	return -1;
}

static bool read_query_number(const char *query, const char *name,
			      uint64_t *out)
{
	char text[NUMBER_BYTES];

	if (mg_get_var(query, strlen(query), name, text, sizeof(text)) < 0)
		return false;
	*out = g_ascii_strtoull(text, NULL, 10);
	return true;
}

static void free_write(void *data)
{
	ffl_write_t *w = data;

	g_byte_array_unref(w->value);
	g_free(w);
}

/* Decodes the records of an append: a big-endian length, a byte with the
 * length of the key, the key and the value. Stops at an invalid record. */
static GPtrArray *decode_writes(const GByteArray *body)
{
	GPtrArray *writes = g_ptr_array_new_with_free_func(free_write);
	guint at = 0;

	while (body->len - at > RECORD_LENGTH_BYTES) {
		const guint8 *p = body->data + at;
		guint n = (guint)p[0] << 24 | p[1] << 16 | p[2] << 8 | p[3];
		ffl_write_t *w;

		if (n > body->len - at - RECORD_LENGTH_BYTES || p[4] >= n ||
		    p[4] >= FFL_RECORD_KEY_BYTES)
			break;
		w = g_new0(ffl_write_t, 1);
		memcpy(w->key, p + 5, p[4]);
		w->value = g_byte_array_new();
		g_byte_array_append(w->value, p + 5 + p[4], n - 1 - p[4]);
		g_ptr_array_add(writes, w);
		at += RECORD_LENGTH_BYTES + n;
	}
	return writes;
}

static void send_json(struct mg_connection *conn, int status, json_t *doc)
{
	char *text = json_dumps(doc, JSON_COMPACT);

	site_http_send(conn, status, text, strlen(text));
	free(text);
	json_decref(doc);
}

static void send_page(site_http_t *s, struct mg_connection *conn, json_t *doc)
{
	char *text;

	if (!s->newest_send_ms) {
		send_json(conn, 200, doc);
		return;
	}
	text = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	site_http_send_slowly(conn, text, s->newest_send_ms);
	free(text);
}

static bool refuse_if_down(site_http_t *s, struct mg_connection *conn)
{
	bool log_down;

	pthread_mutex_lock(&s->lock);
	log_down = s->log_down;
	pthread_mutex_unlock(&s->lock);
	if (log_down)
		site_http_send(conn, 503, "", 0);
	return log_down;
}

int site_http_serve_append(struct mg_connection *conn, void *site)
{
	site_http_t *s = site;
	const char *query = query_string(conn);
	int topic = query_topic(query);
	GByteArray *body = g_byte_array_new();
	ffl_store_outcome_t outcome = FFL_STORE_UNKNOWN;
	uint64_t at = FFL_ANY_END;
	uint64_t offset = 0;
	uint64_t end = 0;
	GPtrArray *writes;
	bool drop_response = false;

	if (topic < 0 || !site_http_read_body(conn, body)) {
		g_byte_array_unref(body);
		site_http_send(conn, 400, "", 0);
		return 1;
	}
	if (refuse_if_down(s, conn)) {
		g_byte_array_unref(body);
		return 1;
	}
	read_query_number(query, "at", &at);
	writes = decode_writes(body);
	pthread_mutex_lock(&s->lock);
	outcome = keyed_log_append(&s->topics[topic], at, writes, &offset);
	end = s->topics[topic].end;
	if (s->unanswered_appends && outcome == FFL_STORE_OK) {
		s->unanswered_appends--;
		drop_response = true;
	}
	pthread_cond_broadcast(&s->changed);
	pthread_mutex_unlock(&s->lock);
	g_ptr_array_unref(writes);
	g_byte_array_unref(body);
	if (drop_response) {
		/* The response is lost with its connection. */
		mg_disable_connection_keep_alive(conn);
		return 1;
	}
	if (outcome == FFL_STORE_UNKNOWN) {
		site_http_send(conn, 400, "", 0);
		return 1;
	}
	send_json(conn, outcome == FFL_STORE_OK ? 200 : 412,
		  json_pack("{s:I,s:I}", "offset", (json_int_t)offset,
			    "end_offset", (json_int_t)end));
	return 1;
}

static void put_number(GByteArray *out, uint64_t n, size_t bytes)
{
	while (bytes--) {
		guint8 b = (guint8)(n >> (8 * bytes));

		g_byte_array_append(out, &b, 1);
	}
}

int site_http_serve_read(struct mg_connection *conn, void *site)
{
	site_http_t *s = site;
	const char *query = query_string(conn);
	int topic = query_topic(query);
	GByteArray *out = g_byte_array_new();
	ffl_store_reply_t reply = { 0 };
	uint64_t from = 0;
	uint64_t wait_ms = 0;
	ffl_arena_t arena;

	if (topic < 0 || !read_query_number(query, "from", &from)) {
		site_http_send(conn, 400, "", 0);
		g_byte_array_unref(out);
		return 1;
	}
	if (refuse_if_down(s, conn)) {
		g_byte_array_unref(out);
		return 1;
	}
	read_query_number(query, "wait_ms", &wait_ms);
	wait_ms += site_http_now_ms();
	ffl_arena_init(&arena);
	pthread_mutex_lock(&s->lock);
	while (from >= s->topics[topic].end && site_http_now_ms() < wait_ms)
		site_http_wait_change(s, wait_ms);
	keyed_log_read(&s->topics[topic], from, &reply, &arena);
	put_number(out, reply.end, sizeof(uint64_t));
	put_number(out, reply.first, sizeof(uint64_t));
	for (uint32_t i = 0; i < reply.count; i++) {
		const ffl_store_record_t *rec = &reply.records[i];
		size_t key = strlen(rec->key);

		put_number(out, 1 + key + rec->value.size_bytes,
			   RECORD_LENGTH_BYTES);
		put_number(out, key, 1);
		g_byte_array_append(out, (const guint8 *)rec->key, (guint)key);
		g_byte_array_append(out, rec->value.data,
				    (guint)rec->value.size_bytes);
	}
	pthread_mutex_unlock(&s->lock);
	site_http_send(conn, reply.outcome == FFL_STORE_OK ? 200 : 410,
		       out->data, out->len);
	ffl_arena_finish(&arena);
	g_byte_array_unref(out);
	return 1;
}

int site_http_serve_newest(struct mg_connection *conn, void *site)
{
	site_http_t *s = site;
	const char *query = query_string(conn);
	int topic = query_topic(query);
	ffl_store_reply_t reply = { 0 };
	char after[FFL_RECORD_KEY_BYTES] = "";
	json_t *items = json_array();
	ffl_arena_t arena;

	if (topic < 0) {
		json_decref(items);
		site_http_send(conn, 400, "", 0);
		return 1;
	}
	if (refuse_if_down(s, conn)) {
		json_decref(items);
		return 1;
	}
	if (mg_get_var(query, strlen(query), "depends_on", after,
		       sizeof(after)) < 0)
		after[0] = '\0';
	ffl_arena_init(&arena);
	pthread_mutex_lock(&s->lock);
	keyed_log_newest(&s->topics[topic], after, PAGE_RECORDS_MAX, &reply,
			 &arena);
	for (uint32_t i = 0; i < reply.count; i++) {
		const ffl_store_record_t *rec = &reply.records[i];
		char *value =
			g_base64_encode(rec->value.data, rec->value.size_bytes);

		json_array_append_new(
			items,
			json_pack("{s:s,s:s,s:I}", "key", rec->key, "value",
				  value, "offset", (json_int_t)rec->offset));
		g_free(value);
	}
	pthread_mutex_unlock(&s->lock);
	send_page(s, conn,
		  json_pack("{s:o,s:b,s:I}", "items", items, "has_more",
			    reply.more, "end_offset", (json_int_t)reply.end));
	ffl_arena_finish(&arena);
	return 1;
}
