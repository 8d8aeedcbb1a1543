/**
 * @file standin.c
 * @brief A small platform and its minions, for the cases of this review.
 *
 * Serves the store's keyed topics and the minions of one or two services over
 * HTTP as PROTOCOL.md says, each minion on a loopback address of its own, and
 * writes to a record what was ordered, begun and ended. A specification says
 * what its work items need: "work=MS cpu=N mem=N gpu=N".
 */
#include <inttypes.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>
#include <civetweb.h>
#include <glib.h>
#include <jansson.h>

#define MINIONS_MAX 32
#define ADDR_BYTES  48
/** Figures of the store, as the settings file of a small deployment has them.
 */
#define RECORD_BYTES	 262144
#define CALL_BYTES	 2097152
#define ANSWER_MS	 4
#define READ_KB		 1024
#define PAGE_RECORDS	 500
#define HOLD_MAX_MS	 10000
#define HOLD_WAIT_MAX_MS 2000
#define LOST_MS		 5000
#define STOP_MS		 120
#define HEARTBEAT_MS	 1500
#define ENDS_LISTED_MAX	 500
#define TICK_MS		 10
#define FIRST_CLOCK_MS	 1000
#define KEY_LENGTH_BYTES 1
#define RECORD_LEN_BYTES 4

typedef struct {
	char *key;
	GBytes *value;
	uint64_t offset;
} record_t;

typedef struct {
	char *name;
	GPtrArray *records; /**< of record_t *, by offset */
	GTree *newest;	    /**< of record_t *, by key */
} topic_t;

typedef struct {
	char *task;
	uint32_t run;
	uint32_t cpu, mem, gpu;
	uint64_t work_ms;
	uint64_t begun_ms;
	uint64_t stop_ms; /**< ends as stopped then; 0: no stop */
} run_t;

typedef struct {
	uint64_t number;
	char *task;
	uint32_t run;
	const char *how;
} end_t;

typedef struct {
	char id[16];
	char addr[ADDR_BYTES];
	const char *service;
	const char *kind;
	uint64_t born_ms;
	uint64_t boot_ms;	/**< its clock starts then */
	uint64_t down_until_ms; /**< crashed until then; 0: it is up */
	uint64_t dead_before;	/**< channels that a crash has closed */
	uint64_t token;
	uint64_t until_ms; /**< by its own clock */
	uint64_t last_end;
	uint32_t cpu, mem, gpu; /**< free */
	GPtrArray *runs;	/**< of run_t * */
	GPtrArray *ends;	/**< of end_t *, not acknowledged */
	GHashTable *past;	/**< highest run stopped or ended, by task */
} minion_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed;
static GHashTable *topics;
static minion_t minions[MINIONS_MAX];
static uint32_t minion_count;
static uint64_t sequence;
static uint64_t start_ms;
static FILE *out;
/** The answer to the next append to this topic after a run's end is lost. */
static char losing[64];
/** Channels opened before this one say nothing more. */
static uint64_t silent_before;
static uint64_t channel_count;

static uint64_t now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

static uint64_t minion_clock(const minion_t *m)
{
	return now_ms() - m->boot_ms + FIRST_CLOCK_MS;
}

static void note(const char *fmt, ...)
{
	va_list ap;

	fprintf(out, "%8.3f s  ", (double)(now_ms() - start_ms) / 1000);
	va_start(ap, fmt);
	vfprintf(out, fmt, ap);
	va_end(ap);
	fputc('\n', out);
	fflush(out);
}

/* Waits for a change until a time; called with the lock held. */
static void wait_change(uint64_t until_ms)
{
	struct timespec ts = { (time_t)(until_ms / 1000),
			       (long)(until_ms % 1000) * 1000000 };

	pthread_cond_timedwait(&changed, &lock, &ts);
}

static uint64_t channel_number(const struct mg_connection *conn)
{
	return (uint64_t)(uintptr_t)mg_get_user_connection_data(conn);
}

/* A channel that went silent neither takes a request nor gives an answer. */
static void stay_silent(const struct mg_connection *conn)
{
	while (channel_number(conn) <= silent_before)
		usleep(50000);
}

static int number_channel(const struct mg_connection *conn, void **data)
{
	*data = (void *)(uintptr_t)__atomic_add_fetch(&channel_count, 1,
						      __ATOMIC_SEQ_CST);
	return 0;
}

static void answer(struct mg_connection *conn, int status, const void *body,
		   size_t n)
{
	stay_silent(conn);
	mg_printf(conn, "HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n\r\n", status,
		  mg_get_response_code_text(conn, status), n);
	if (n)
		mg_write(conn, body, n);
}

static int answer_json(struct mg_connection *conn, int status, json_t *doc)
{
	char *text = json_dumps(doc, JSON_COMPACT);

	answer(conn, status, text, strlen(text));
	free(text);
	json_decref(doc);
	return 1;
}

static GByteArray *read_body(struct mg_connection *conn)
{
	GByteArray *body = g_byte_array_new();
	char buf[16384];
	int n;

	while ((n = mg_read(conn, buf, sizeof(buf))) > 0)
		g_byte_array_append(body, (guint8 *)buf, (guint)n);
	return body;
}

static const char *query(const struct mg_connection *conn)
{
	const char *text = mg_get_request_info(conn)->query_string;

	return text ? text : "";
}

static bool parameter(const struct mg_connection *conn, const char *name,
		      char *value, size_t n)
{
	const char *text = query(conn);

	return mg_get_var(text, strlen(text), name, value, n) >= 0;
}

static uint64_t number(const struct mg_connection *conn, const char *name,
		       uint64_t otherwise)
{
	char text[24];

	return parameter(conn, name, text, sizeof(text))
		       ? g_ascii_strtoull(text, NULL, 10)
		       : otherwise;
}

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer user)
{
	return strcmp(a, b);
}

static topic_t *topic_get(const char *name)
{
	topic_t *t = g_hash_table_lookup(topics, name);

	if (t)
		return t;
	t = g_new0(topic_t, 1);
	t->name = g_strdup(name);
	t->records = g_ptr_array_new();
	t->newest = g_tree_new_full(compare_keys, NULL, NULL, NULL);
	g_hash_table_insert(topics, t->name, t);
	return t;
}

static void topic_append(topic_t *t, const char *key, size_t key_bytes,
			 const void *value, size_t value_bytes)
{
	record_t *rec = g_new0(record_t, 1);

	rec->key = g_strndup(key, key_bytes);
	rec->value = g_bytes_new(value, value_bytes);
	rec->offset = t->records->len;
	g_ptr_array_add(t->records, rec);
	if (value_bytes)
		g_tree_replace(t->newest, rec->key, rec);
	else
		g_tree_remove(t->newest, rec->key);
}

static uint64_t big_endian(const guint8 *p)
{
	return (uint64_t)p[0] << 24 | (uint64_t)p[1] << 16 |
	       (uint64_t)p[2] << 8 | p[3];
}

/* Returns the number of records; -1 if one is malformed or too large. */
static int check_records(const GByteArray *body, uint64_t *largest)
{
	guint at = 0;
	int count = 0;

	*largest = 0;
	while (at < body->len) {
		uint64_t n;

		if (body->len - at < RECORD_LEN_BYTES)
			return -1;
		n = big_endian(body->data + at);
		*largest = MAX(*largest, n);
		at += RECORD_LEN_BYTES;
		if (n > body->len - at || n < KEY_LENGTH_BYTES ||
		    body->data[at] + (uint64_t)KEY_LENGTH_BYTES > n)
			return -1;
		at += (guint)n;
		count++;
	}
	return *largest > RECORD_BYTES || body->len > CALL_BYTES ? -1 : count;
}

static bool has_end(void)
{
	for (uint32_t i = 0; i < minion_count; i++) {
		if (minions[i].ends->len)
			return true;
	}
	return false;
}

static int serve_append(struct mg_connection *conn, void *user)
{
	GByteArray *body = read_body(conn);
	uint64_t at = number(conn, "at", UINT64_MAX);
	uint64_t largest;
	char name[64];
	uint64_t first;
	bool lost = false;
	uint64_t end;
	topic_t *t;
	int count;

	stay_silent(conn);
	if (!parameter(conn, "topic", name, sizeof(name))) {
		answer(conn, 400, "", 0);
		g_byte_array_unref(body);
		return 1;
	}
	usleep(ANSWER_MS * 1000);
	pthread_mutex_lock(&lock);
	t = topic_get(name);
	first = t->records->len;
	count = check_records(body, &largest);
	if (count < 0) {
		note("store: an append of %u bytes to %s is refused: a record "
		     "has %" PRIu64 " bytes, %d are allowed",
		     body->len, name, largest, RECORD_BYTES);
	} else if (at == UINT64_MAX || at == first) {
		for (guint i = 0; i < body->len;) {
			uint64_t n = big_endian(body->data + i);
			const guint8 *p = body->data + i + RECORD_LEN_BYTES;

			topic_append(t, (const char *)p + 1, p[0], p + 1 + p[0],
				     n - 1 - p[0]);
			i += RECORD_LEN_BYTES + (guint)n;
		}
	}
	end = t->records->len;
	if (count > 0 && end > first && strcmp(name, losing) == 0 &&
	    has_end()) {
		lost = true;
		losing[0] = '\0';
		note("store: an append to %s is done and its answer is lost",
		     name);
	}
	pthread_cond_broadcast(&changed);
	pthread_mutex_unlock(&lock);
	g_byte_array_unref(body);
	if (count < 0) {
		answer(conn, 400, "", 0);
		return 1;
	}
	if (lost) {
		usleep(LOST_MS * 1000);
		mg_disable_connection_keep_alive(conn);
		return 1;
	}
	if (at != UINT64_MAX && at != first)
		return answer_json(
			conn, 412,
			json_pack("{s:I}", "end_offset", (json_int_t)end));
	return answer_json(conn, 200,
			   json_pack("{s:I,s:I}", "offset", (json_int_t)first,
				     "end_offset", (json_int_t)end));
}

static void put(GByteArray *to, uint64_t n, size_t bytes)
{
	while (bytes--) {
		guint8 b = (guint8)(n >> (8 * bytes));

		g_byte_array_append(to, &b, 1);
	}
}

static int serve_read(struct mg_connection *conn, void *user)
{
	uint64_t from = number(conn, "from", 0);
	uint64_t until_ms = now_ms() + MIN(number(conn, "wait_ms", 0), 30000);
	uint64_t most = number(conn, "max_kb", READ_KB) * 1024;
	GByteArray *body = g_byte_array_new();
	char name[64] = "";
	topic_t *t;

	stay_silent(conn);
	usleep(ANSWER_MS * 1000);
	parameter(conn, "topic", name, sizeof(name));
	pthread_mutex_lock(&lock);
	t = topic_get(name);
	while (from >= t->records->len && now_ms() < until_ms)
		wait_change(until_ms);
	put(body, t->records->len, 8);
	put(body, 0, 8);
	for (uint64_t i = from; i < t->records->len && body->len < most; i++) {
		const record_t *rec = g_ptr_array_index(t->records, i);
		gsize n;
		gconstpointer value = g_bytes_get_data(rec->value, &n);

		put(body, 1 + strlen(rec->key) + n, RECORD_LEN_BYTES);
		put(body, strlen(rec->key), 1);
		g_byte_array_append(body, (guint8 *)rec->key,
				    (guint)strlen(rec->key));
		g_byte_array_append(body, value, (guint)n);
	}
	pthread_mutex_unlock(&lock);
	answer(conn, 200, body->data, body->len);
	g_byte_array_unref(body);
	return 1;
}

typedef struct {
	char after[256];
	json_t *items;
	bool more;
} page_t;

static gboolean add_item(gpointer key, gpointer value, gpointer user)
{
	const record_t *rec = value;
	page_t *page = user;
	gsize n;
	gconstpointer data = g_bytes_get_data(rec->value, &n);
	char *text;

	if (page->after[0] && strcmp(key, page->after) <= 0)
		return FALSE;
	if (json_array_size(page->items) == PAGE_RECORDS) {
		page->more = true;
		return TRUE;
	}
	text = g_base64_encode(data, n);
	json_array_append_new(page->items,
			      json_pack("{s:s,s:s,s:I}", "key", rec->key,
					"value", text, "offset",
					(json_int_t)rec->offset));
	g_free(text);
	return FALSE;
}

static int serve_newest(struct mg_connection *conn, void *user)
{
	page_t page = { "", json_array(), false };
	char name[64] = "";
	uint64_t end;
	topic_t *t;

	stay_silent(conn);
	usleep(ANSWER_MS * 1000);
	parameter(conn, "topic", name, sizeof(name));
	parameter(conn, "depends_on", page.after, sizeof(page.after));
	pthread_mutex_lock(&lock);
	t = topic_get(name);
	g_tree_foreach(t->newest, add_item, &page);
	end = t->records->len;
	pthread_mutex_unlock(&lock);
	return answer_json(conn, 200,
			   json_pack("{s:o,s:b,s:I}", "items", page.items,
				     "has_more", page.more, "end_offset",
				     (json_int_t)end));
}

static uint32_t word(const char *spec, const char *name, uint32_t otherwise)
{
	const char *at = strstr(spec, name);

	return at ? (uint32_t)strtoul(at + strlen(name), NULL, 10) : otherwise;
}

static minion_t *minion_called(const struct mg_connection *conn)
{
	const char *host = mg_get_header(conn, "Host");

	for (uint32_t i = 0; host && i < minion_count; i++) {
		if (strcmp(minions[i].addr, host) == 0)
			return minions[i].down_until_ms ? NULL : &minions[i];
	}
	return NULL;
}

static run_t *run_find(const minion_t *m, const char *task, uint32_t run)
{
	for (guint i = 0; i < m->runs->len; i++) {
		run_t *r = g_ptr_array_index(m->runs, i);

		if (r->run == run && strcmp(r->task, task) == 0)
			return r;
	}
	return NULL;
}

static uint32_t past_run(const minion_t *m, const char *task)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(m->past, task));
}

static void set_past(minion_t *m, const char *task, uint32_t run)
{
	if (run > past_run(m, task))
		g_hash_table_replace(m->past, g_strdup(task),
				     GUINT_TO_POINTER(run));
}

static void run_end(minion_t *m, run_t *r, const char *how)
{
	end_t *e = g_new0(end_t, 1);

	e->number = ++m->last_end;
	e->task = r->task;
	e->run = r->run;
	e->how = how;
	g_ptr_array_add(m->ends, e);
	set_past(m, r->task, r->run);
	m->cpu += r->cpu;
	m->mem += r->mem;
	m->gpu += r->gpu;
	note("minion %s: run %u of %s ends %s", m->id, r->run, r->task, how);
	g_ptr_array_remove(m->runs, r);
	g_free(r);
	pthread_cond_broadcast(&changed);
}

static void extend(minion_t *m, uint64_t until_ms)
{
	m->until_ms =
		MAX(m->until_ms, MIN(until_ms, minion_clock(m) + HOLD_MAX_MS));
}

/* Returns the reason of a refusal, or NULL. */
static const char *begin_run(minion_t *m, const json_t *doc)
{
	const char *task = json_string_value(json_object_get(doc, "task"));
	const char *spec = json_string_value(json_object_get(doc, "spec"));
	uint64_t until =
		(uint64_t)json_integer_value(json_object_get(doc, "until_ms"));
	uint32_t run =
		(uint32_t)json_integer_value(json_object_get(doc, "run_id"));
	run_t *r;

	if (run_find(m, task, run)) {
		extend(m, until);
		return NULL;
	}
	if (until <= minion_clock(m))
		return "late";
	extend(m, until);
	if (run <= past_run(m, task))
		return "old";
	r = g_new0(run_t, 1);
	r->cpu = word(spec, "cpu=", 0);
	r->mem = word(spec, "mem=", 0);
	r->gpu = word(spec, "gpu=", 0);
	r->work_ms = word(spec, "work=", 300);
	if (r->cpu > m->cpu || r->mem > m->mem || r->gpu > m->gpu) {
		g_free(r);
		return "room";
	}
	m->cpu -= r->cpu;
	m->mem -= r->mem;
	m->gpu -= r->gpu;
	r->task = g_strdup(task);
	r->run = run;
	r->begun_ms = now_ms();
	g_ptr_array_add(m->runs, r);
	note("minion %s: run %u of %s begins", m->id, run, task);
	return NULL;
}

static void stop_run(minion_t *m, const json_t *doc)
{
	const char *task = json_string_value(json_object_get(doc, "task"));
	uint32_t run =
		(uint32_t)json_integer_value(json_object_get(doc, "run_id"));
	run_t *r = run_find(m, task, run);

	set_past(m, task, run);
	if (r && !r->stop_ms)
		r->stop_ms = now_ms() + STOP_MS;
}

static json_t *list_running(const minion_t *m)
{
	json_t *rows = json_array();

	for (guint i = 0; i < m->runs->len; i++) {
		const run_t *r = g_ptr_array_index(m->runs, i);
		uint64_t done = (now_ms() - r->begun_ms) * 100 / r->work_ms;

		json_array_append_new(
			rows, json_pack("[s,i,s,i,i]", r->task, (int)r->run, "",
					(int)MIN(done, 100), (int)r->cpu));
	}
	return rows;
}

static json_t *list_ends(const minion_t *m)
{
	json_t *rows = json_array();

	for (guint i = 0; i < MIN(m->ends->len, ENDS_LISTED_MAX); i++) {
		const end_t *e = g_ptr_array_index(m->ends, i);

		json_array_append_new(
			rows, json_pack("[I,s,i,s,s]", (json_int_t)e->number,
					e->task, (int)e->run, e->how, ""));
	}
	return rows;
}

/* Ends up to this number are forgotten. */
static void forget_ends(minion_t *m, uint64_t acked)
{
	while (m->ends->len) {
		const end_t *e = g_ptr_array_index(m->ends, 0);

		if (e->number > acked)
			return;
		note("minion %s: end %" PRIu64 " (run %u of %s, %s) is taken "
		     "note of",
		     m->id, e->number, e->run, e->task, e->how);
		g_ptr_array_remove_index(m->ends, 0);
	}
}

static json_t *hold(minion_t *m, const json_t *doc)
{
	uint64_t acked = (uint64_t)json_integer_value(
		json_object_get(doc, "acked_through"));
	uint64_t wait =
		(uint64_t)json_integer_value(json_object_get(doc, "wait_ms"));
	uint64_t until_ms = now_ms() + MIN(wait, HOLD_WAIT_MAX_MS);

	extend(m,
	       (uint64_t)json_integer_value(json_object_get(doc, "until_ms")));
	forget_ends(m, acked);
	while (!m->ends->len && now_ms() < until_ms) {
		wait_change(until_ms);
		forget_ends(m, acked);
	}
	return json_pack("{s:I,s:I,s:o,s:o}", "clock_ms",
			 (json_int_t)minion_clock(m), "born",
			 (json_int_t)m->born_ms, "running", list_running(m),
			 "finished", list_ends(m));
}

static int serve_order(struct mg_connection *conn, void *user)
{
	const char *uri = mg_get_request_info(conn)->local_uri;
	const char *expected = mg_get_header(conn, "X-Expect-Instance");
	GByteArray *body = read_body(conn);
	json_t *doc = json_loadb((const char *)body->data, body->len, 0, NULL);
	minion_t *m = minion_called(conn);
	const char *reason = NULL;
	json_t *reply = NULL;
	uint64_t token;

	stay_silent(conn);
	g_byte_array_unref(body);
	if (!m || !json_is_object(doc) ||
	    channel_number(conn) <= m->dead_before) {
		/* Nobody is there: the channel is closed. */
		mg_disable_connection_keep_alive(conn);
		json_decref(doc);
		return 1;
	}
	if (expected && strcmp(expected, m->id) != 0) {
		answer(conn, 421, "", 0);
		json_decref(doc);
		return 1;
	}
	token = (uint64_t)json_integer_value(
		json_object_get(doc, "fencing_token"));
	pthread_mutex_lock(&lock);
	if (token < m->token) {
		reason = "fence";
	} else {
		m->token = token;
		if (strcmp(uri, "/-/run-start") == 0)
			reason = begin_run(m, doc);
		else if (strcmp(uri, "/-/run-stop") == 0)
			stop_run(m, doc);
		else if (strcmp(uri, "/-/hold") == 0)
			reply = hold(m, doc);
	}
	if (!reply)
		reply = json_pack("{s:I}", "clock_ms",
				  (json_int_t)minion_clock(m));
	if (reason) {
		json_object_set_new(reply, "reason", json_string(reason));
		note("minion %s: %s of %s is refused: %s", m->id, uri + 3,
		     json_string_value(json_object_get(doc, "task")), reason);
	}
	pthread_mutex_unlock(&lock);
	json_decref(doc);
	return answer_json(conn, reason ? 409 : 200, reply);
}

/* Stores the body as the newest config, as the operator does. */
static int serve_config(struct mg_connection *conn, void *user)
{
	GByteArray *body = read_body(conn);
	json_t *doc = json_loadb((const char *)body->data, body->len, 0, NULL);
	bool ok = json_is_integer(json_object_get(doc, "version")) &&
		  body->len <= RECORD_BYTES;

	pthread_mutex_lock(&lock);
	if (ok) {
		topic_append(topic_get("keyed.op"), "config", 6, body->data,
			     body->len);
		note("operator: config version %" JSON_INTEGER_FORMAT
		     " is confirmed, %u bytes",
		     json_integer_value(json_object_get(doc, "version")),
		     body->len);
	}
	pthread_cond_broadcast(&changed);
	pthread_mutex_unlock(&lock);
	json_decref(doc);
	g_byte_array_unref(body);
	answer(conn, ok ? 200 : 400, "", 0);
	return 1;
}

/* All channels that are open now go silent for good; new ones work. */
static int serve_silence(struct mg_connection *conn, void *user)
{
	mg_printf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	pthread_mutex_lock(&lock);
	silent_before = channel_count;
	note("platform: %" PRIu64 " channels were opened so far; those that "
	     "are open now go silent",
	     silent_before);
	pthread_mutex_unlock(&lock);
	return 1;
}

static int serve_lose(struct mg_connection *conn, void *user)
{
	pthread_mutex_lock(&lock);
	parameter(conn, "topic", losing, sizeof(losing));
	pthread_mutex_unlock(&lock);
	answer(conn, 200, "", 0);
	return 1;
}

/* A minion crashes, and is back under its id after so many ms. */
static int serve_crash(struct mg_connection *conn, void *user)
{
	minion_t *m = &minions[number(conn, "minion", 0) % MINIONS_MAX];

	pthread_mutex_lock(&lock);
	note("minion %s: crashes with %u runs", m->id, m->runs->len);
	m->down_until_ms = now_ms() + number(conn, "ms", 0);
	m->dead_before = channel_count;
	g_ptr_array_set_size(m->runs, 0);
	g_ptr_array_set_size(m->ends, 0);
	g_hash_table_remove_all(m->past);
	pthread_mutex_unlock(&lock);
	answer(conn, 200, "", 0);
	return 1;
}

static int serve_state(struct mg_connection *conn, void *user)
{
	json_t *doc = json_object();

	pthread_mutex_lock(&lock);
	for (uint32_t i = 0; i < minion_count; i++) {
		json_t *of = json_object_get(doc, minions[i].service);
		json_int_t running = 0;
		json_int_t gpu = 0;

		if (of) {
			running = json_integer_value(
				json_object_get(of, "running"));
			gpu = json_integer_value(
				json_object_get(of, "gpu_free"));
		}
		json_object_set_new(doc, minions[i].service,
				    json_pack("{s:I,s:I}", "running",
					      running + minions[i].runs->len,
					      "gpu_free",
					      gpu + minions[i].gpu));
	}
	pthread_mutex_unlock(&lock);
	return answer_json(conn, 200, doc);
}

static void publish_minion(minion_t *m)
{
	json_t *doc = json_pack(
		"{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:i,s:i,s:i},s:[s,s],"
		"s:I,s:I,s:I}",
		"service", m->service, "address", m->addr, "zone", "norte",
		"version", "v1", "slots", 8, "state", "ready",
		"cold_remaining_ms", 0, "capacity", "cpu", 32000, "mem_mb",
		65536, "gpu", 8, "labels", m->kind, "r1", "clock_ms",
		(json_int_t)minion_clock(m), "sequence", (json_int_t)++sequence,
		"born", (json_int_t)m->born_ms);
	char *text = json_dumps(doc, JSON_COMPACT);

	topic_append(topic_get("keyed.servers"), m->id, strlen(m->id), text,
		     strlen(text));
	free(text);
	json_decref(doc);
	pthread_cond_broadcast(&changed);
}

/* A new life: it knows nothing of the one before. */
static void boot(minion_t *m)
{
	m->born_ms = (uint64_t)g_get_real_time() / 1000;
	m->boot_ms = now_ms();
	m->down_until_ms = 0;
	m->token = 0;
	m->until_ms = 0;
	m->last_end = 0;
	m->cpu = 32000;
	m->mem = 65536;
	m->gpu = 8;
}

static void tick_minion(minion_t *m)
{
	bool lapsed = minion_clock(m) > m->until_ms;

	if (m->down_until_ms && now_ms() >= m->down_until_ms) {
		boot(m);
		note("minion %s: is back under its id, and knows nothing",
		     m->id);
		publish_minion(m);
	}

	for (guint i = m->runs->len; i-- > 0;) {
		run_t *r = g_ptr_array_index(m->runs, i);

		if (lapsed)
			run_end(m, r, "lapsed");
		else if (r->stop_ms && now_ms() >= r->stop_ms)
			run_end(m, r, "stopped");
		else if (!r->stop_ms && now_ms() - r->begun_ms >= r->work_ms)
			run_end(m, r, "done");
	}
}

static void run_minions(void)
{
	uint64_t published_ms = 0;

	for (;;) {
		usleep(TICK_MS * 1000);
		pthread_mutex_lock(&lock);
		for (uint32_t i = 0; i < minion_count; i++)
			tick_minion(&minions[i]);
		if (now_ms() - published_ms >= HEARTBEAT_MS) {
			published_ms = now_ms();
			for (uint32_t i = 0; i < minion_count; i++) {
				if (!minions[i].down_until_ms)
					publish_minion(&minions[i]);
			}
		}
		pthread_mutex_unlock(&lock);
	}
}

static void add_minions(const char *service, uint32_t count, const char *port)
{
	for (uint32_t i = 0; i < count && minion_count < MINIONS_MAX; i++) {
		minion_t *m = &minions[minion_count++];

		g_snprintf(m->id, sizeof(m->id), "i-%08x", minion_count);
		g_snprintf(m->addr, sizeof(m->addr), "127.0.1.%u:%s",
			   minion_count, port);
		m->service = service;
		/* One of the minions is of a kind of its own. */
		m->kind = minion_count == 1 ? "b" : "a";
		boot(m);
		m->runs = g_ptr_array_new();
		m->ends = g_ptr_array_new();
		m->past = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						NULL);
	}
}

/* standin PORT RECORD SERVICE=COUNT... */
int main(int argc, char **argv)
{
	static const struct {
		const char *path;
		mg_request_handler handler;
	} routes[] = {
		{ "/-/log-append$", serve_append },
		{ "/-/log-read$", serve_read },
		{ "/-/log-newest$", serve_newest },
		{ "/-/run-start$", serve_order },
		{ "/-/run-stop$", serve_order },
		{ "/-/hold$", serve_order },
		{ "/-/pace$", serve_order },
		{ "/config$", serve_config },
		{ "/silence$", serve_silence },
		{ "/crash$", serve_crash },
		{ "/lose$", serve_lose },
		{ "/state$", serve_state },
	};
	struct mg_callbacks callbacks = { .init_connection = number_channel };
	const char *options[] = { "listening_ports",
				  NULL,
				  "num_threads",
				  "256",
				  "enable_keep_alive",
				  "yes",
				  "keep_alive_timeout_ms",
				  "120000",
				  "tcp_nodelay",
				  "1",
				  NULL };
	GString *addrs = g_string_new(NULL);
	struct mg_context *ctx;
	pthread_condattr_t attr;

	if (argc < 4)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	out = fopen(argv[2], "a");
	if (!out)
		return 2;
	start_ms = now_ms();
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&changed, &attr);
	topics = g_hash_table_new(g_str_hash, g_str_equal);
	for (int i = 3; i < argc; i++) {
		char **part = g_strsplit(argv[i], "=", 2);

		add_minions(part[0], (uint32_t)atoi(part[1]), argv[1]);
	}
	g_string_printf(addrs, "127.0.0.1:%s", argv[1]);
	for (uint32_t i = 0; i < minion_count; i++)
		g_string_append_printf(addrs, ",%s", minions[i].addr);
	options[1] = addrs->str;
	mg_init_library(0);
	ctx = mg_start(&callbacks, NULL, options);
	if (!ctx)
		return 4;
	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++)
		mg_set_request_handler(ctx, routes[i].path, routes[i].handler,
				       NULL);
	run_minions();
}
