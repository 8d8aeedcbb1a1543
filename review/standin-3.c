/**
 * @file standin-3.c
 * @brief A platform and its minions for the scripts of the third review.
 *
 * Serves the log of keyed topics and the minions by PROTOCOL.md on loopback
 * addresses, keeps a record of what was sent and run, and judges the rules as
 * they are written from what the minions see. A run's text tells what the run
 * does; its words are listed at parse_text().
 */
#include <arpa/inet.h>
#include <signal.h>
#include <stdatomic.h>
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

#define MINIONS_MAX    48
#define APPEND_MS      2
#define ANSWER_MS      2
#define STOP_MS	       120
#define STARTUP_MS     300
#define DRAIN_MS       2500
#define LINGER_MS      500
#define DOWN_MS	       3000
#define SILENT_MS      4500
#define HOSTS_MAX      3
#define HEARTBEAT_MS   1500
#define LIVED_MS       480000
#define HOLD_MAX_MS    10000
#define STATUS_OK      200
#define LASTING_IDLE_MS 6000
#define LASTING_WAIT_MS 3000
#define PAGE_ITEMS     500
#define TICKET_MS      3000
#define ADVICE_WAITING_MAX 32

typedef struct {
	char *key;
	GByteArray *value;
} record_t;

typedef struct {
	GPtrArray *records; /**< of record_t, by offset */
} topic_t;

/** What a run does, by its text. */
typedef struct {
	uint32_t work_ms;   /**< ends done after this; 0: lasts */
	uint32_t fail_run;  /**< this run fails */
	uint32_t fail_ms;   /**< so long after its start */
	uint32_t gpu;
	uint32_t tasks;	    /**< of its step */
	uint32_t away_max;  /**< max_unavailable of its step; 0: not judged */
	bool ticket;	    /**< its minion asks for one */
	uint32_t late_ms;   /**< its first order is carried out so late */
} text_t;

typedef struct {
	char task[80];
	uint32_t run;
	text_t text;
	uint64_t started_ms;
	uint64_t stop_ms; /**< when a stop that was ordered ends it; 0: none */
	bool at_work;	  /**< when the stop was ordered */
} run_t;

typedef struct {
	uint64_t number;
	char task[80];
	uint32_t run;
	const char *how;
} end_t;

typedef struct {
	char id[16];
	char addr[32];
	char label[16];
	char rack[16];
	bool draining;
	bool gone;
	uint64_t leave_ms; /**< when it has left; 0: it stays */
	bool cut;	   /**< from the store and the hosts beyond the cut */
	uint64_t up_ms;	   /**< it is down before */
	json_t *late;	   /**< an order to be carried out late, or NULL */
	uint64_t late_ms;
	uint64_t boot_ms;
	uint64_t clock_ms; /**< its clock as it was seen first */
	int64_t born_ms;
	uint64_t fence;
	uint64_t until_ms; /**< by its clock */
	uint64_t entries;
	uint64_t last_end;
	GPtrArray *runs;
	GPtrArray *ends;
	GHashTable *highest; /**< run by work item */
} minion_t;

/** A work item that lasts, as the minions have seen it. */
typedef struct {
	char task[80];
	text_t text;
	bool runs;
	bool at_work;
	bool ordered_away; /**< its last run was at work and ended by a stop */
	uint64_t ended_ms;
	uint64_t away_ms; /**< since when it isn't at work */
	bool told;
} item_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed;
static GHashTable *topics;
static GHashTable *items;
static minion_t minions[MINIONS_MAX];
static uint32_t minions_count = 4;
static uint32_t minions_per_rack = MINIONS_MAX;
static const char *special_label;
static uint32_t notice_ms = 4500;
static int port;
static FILE *record;
static uint64_t zero_ms;
/** Host that will be cut off from the store, with the minion of the first order
 * that is late; 0: none. */
static uint32_t cut_host;
static bool is_cut;
static uint64_t cut_ms;
static uint64_t cut_fence; /**< highest that was seen before the cut */
static pthread_mutex_t adviser = PTHREAD_MUTEX_INITIALIZER;
static _Atomic uint32_t advice_waiting;
static _Atomic uint32_t decide_ms;
static _Atomic uint32_t period_ms;
static uint32_t broken;

static uint64_t now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

static void pause_ms(uint32_t ms)
{
	struct timespec ts = { ms / 1000, (long)(ms % 1000) * 1000000 };

	nanosleep(&ts, NULL);
}

static void __attribute__((format(printf, 1, 2))) note(const char *fmt, ...)
{
	uint64_t at_ms = now_ms() - zero_ms;
	va_list ap;

	fprintf(record, "%3u.%03u ", (unsigned)(at_ms / 1000),
		(unsigned)(at_ms % 1000));
	va_start(ap, fmt);
	vfprintf(record, fmt, ap);
	va_end(ap);
	fputc('\n', record);
	fflush(record);
}

static void respond(struct mg_connection *conn, int status, const char *body,
		    size_t size)
{
	mg_printf(conn,
		  "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
		  "Content-Length: %zu\r\n\r\n",
		  status, size);
	if (size)
		mg_write(conn, body, size);
}

static void respond_json(struct mg_connection *conn, int status, json_t *doc)
{
	char *text = json_dumps(doc, JSON_COMPACT);

	respond(conn, status, text, strlen(text));
	free(text);
	json_decref(doc);
}

/* Leaves a call without an answer. */
static int drop(struct mg_connection *conn)
{
	pause_ms(DOWN_MS);
	mg_disable_connection_keep_alive(conn);
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

static char *query_text(const struct mg_connection *conn, const char *name)
{
	const char *query = mg_get_request_info(conn)->query_string;
	char out[256] = "";

	if (query)
		mg_get_var(query, strlen(query), name, out, sizeof(out));
	return g_strdup(out);
}

static bool query_number(const struct mg_connection *conn, const char *name,
			 uint64_t *out)
{
	char *text = query_text(conn, name);
	bool ok = text[0] != '\0';

	*out = g_ascii_strtoull(text, NULL, 10);
	g_free(text);
	return ok;
}

/* Returns true if a call to the store comes from the host that is cut off: each
 * host has an address of the store to itself. */
static bool is_cut_off(const struct mg_connection *conn)
{
	const char *host = mg_get_header(conn, "Host");
	char mine[32];

	g_snprintf(mine, sizeof(mine), "127.0.3.%u:%d", cut_host, port);
	return is_cut && host && strcmp(host, mine) == 0;
}

/* The log. */

static void record_free(void *data)
{
	record_t *r = data;

	g_free(r->key);
	g_byte_array_unref(r->value);
	g_free(r);
}

static topic_t *get_topic(const struct mg_connection *conn)
{
	char *name = query_text(conn, "topic");
	char *part = query_text(conn, "part");
	char *key = g_strdup_printf("%s/%s", name, part);
	topic_t *t = g_hash_table_lookup(topics, key);

	if (!t) {
		t = g_new0(topic_t, 1);
		t->records = g_ptr_array_new_with_free_func(record_free);
		g_hash_table_insert(topics, g_strdup(key), t);
	}
	g_free(name);
	g_free(part);
	g_free(key);
	return t;
}

static void put(topic_t *t, const char *key, size_t key_bytes, const void *data,
		size_t bytes)
{
	record_t *r = g_new0(record_t, 1);

	r->key = g_strndup(key, key_bytes);
	r->value = g_byte_array_new();
	g_byte_array_append(r->value, data, (guint)bytes);
	g_ptr_array_add(t->records, r);
}

static void put_named(const char *topic, const char *key, const char *text)
{
	char *name = g_strdup_printf("%s/0", topic);
	topic_t *t = g_hash_table_lookup(topics, name);

	if (!t) {
		t = g_new0(topic_t, 1);
		t->records = g_ptr_array_new_with_free_func(record_free);
		g_hash_table_insert(topics, g_strdup(name), t);
	}
	put(t, key, strlen(key), text, strlen(text));
	g_free(name);
	pthread_cond_broadcast(&changed);
}

static int serve_append(struct mg_connection *conn, void *user)
{
	GByteArray *body = read_body(conn);
	uint64_t at;
	bool conditional = query_number(conn, "at", &at);
	uint64_t offset;
	uint64_t end;
	topic_t *t;
	guint pos = 0;

	pause_ms(APPEND_MS);
	if (is_cut_off(conn)) {
		g_byte_array_unref(body);
		return drop(conn);
	}
	pthread_mutex_lock(&lock);
	t = get_topic(conn);
	offset = t->records->len;
	if (conditional && at != offset) {
		pthread_mutex_unlock(&lock);
		g_byte_array_unref(body);
		respond_json(conn, 412, json_pack("{s:I}", "end_offset",
						  (json_int_t)offset));
		return 1;
	}
	while (body->len - pos > 5) {
		const guint8 *p = body->data + pos;
		guint n = (guint)p[0] << 24 | p[1] << 16 | p[2] << 8 | p[3];

		put(t, (const char *)p + 5, p[4], p + 5 + p[4], n - 1 - p[4]);
		pos += 4 + n;
	}
	end = t->records->len;
	pthread_cond_broadcast(&changed);
	pthread_mutex_unlock(&lock);
	g_byte_array_unref(body);
	respond_json(conn, STATUS_OK,
		     json_pack("{s:I,s:I}", "offset", (json_int_t)offset,
			       "end_offset", (json_int_t)end));
	return 1;
}

static void add_number(GByteArray *out, uint64_t n, int bytes)
{
	while (bytes--) {
		guint8 b = (guint8)(n >> (8 * bytes));

		g_byte_array_append(out, &b, 1);
	}
}

static int serve_read(struct mg_connection *conn, void *user)
{
	GByteArray *out = g_byte_array_new();
	uint64_t from;
	uint64_t wait;
	uint64_t until;
	topic_t *t;

	query_number(conn, "from", &from);
	query_number(conn, "wait_ms", &wait);
	pause_ms(ANSWER_MS);
	until = now_ms() + wait;
	pthread_mutex_lock(&lock);
	t = get_topic(conn);
	while (from >= t->records->len && now_ms() < until) {
		struct timespec ts = { (time_t)(until / 1000),
				       (long)(until % 1000) * 1000000 };

		pthread_cond_timedwait(&changed, &lock, &ts);
	}
	add_number(out, t->records->len, 8);
	add_number(out, 0, 8);
	for (uint64_t i = from; i < t->records->len; i++) {
		const record_t *r = g_ptr_array_index(t->records, i);
		size_t key = strlen(r->key);

		add_number(out, 1 + key + r->value->len, 4);
		add_number(out, key, 1);
		g_byte_array_append(out, (const guint8 *)r->key, (guint)key);
		g_byte_array_append(out, r->value->data, r->value->len);
	}
	pthread_mutex_unlock(&lock);
	if (is_cut_off(conn)) {
		g_byte_array_unref(out);
		return drop(conn);
	}
	respond(conn, STATUS_OK, (const char *)out->data, out->len);
	g_byte_array_unref(out);
	return 1;
}

static gint by_text(gconstpointer a, gconstpointer b)
{
	return strcmp(a, b);
}

static int serve_newest(struct mg_connection *conn, void *user)
{
	GHashTable *newest = g_hash_table_new(g_str_hash, g_str_equal);
	char *after = query_text(conn, "depends_on");
	json_t *list = json_array();
	bool more = false;
	uint64_t end;
	GList *keys;
	topic_t *t;

	pause_ms(ANSWER_MS);
	pthread_mutex_lock(&lock);
	t = get_topic(conn);
	end = t->records->len;
	for (guint i = 0; i < t->records->len; i++) {
		const record_t *r = g_ptr_array_index(t->records, i);

		if (r->value->len)
			g_hash_table_replace(newest, r->key,
					     GUINT_TO_POINTER(i));
		else
			g_hash_table_remove(newest, r->key);
	}
	keys = g_list_sort(g_hash_table_get_keys(newest), by_text);
	for (GList *k = keys; k; k = k->next) {
		guint i = GPOINTER_TO_UINT(
			g_hash_table_lookup(newest, k->data));
		const record_t *r = g_ptr_array_index(t->records, i);
		char *value;

		if (strcmp(k->data, after) <= 0 && after[0])
			continue;
		if (json_array_size(list) >= PAGE_ITEMS) {
			more = true;
			break;
		}
		value = g_base64_encode(r->value->data, r->value->len);
		json_array_append_new(
			list, json_pack("{s:s,s:s,s:I}", "key", r->key, "value",
					value, "offset", (json_int_t)i));
		g_free(value);
	}
	g_list_free(keys);
	pthread_mutex_unlock(&lock);
	g_hash_table_destroy(newest);
	g_free(after);
	if (is_cut_off(conn)) {
		json_decref(list);
		return drop(conn);
	}
	respond_json(conn, STATUS_OK,
		     json_pack("{s:o,s:b,s:I}", "items", list, "has_more", more,
			       "end_offset", (json_int_t)end));
	return 1;
}

/* The minions. */

static uint64_t clock_of(const minion_t *m)
{
	return now_ms() - m->boot_ms + m->clock_ms;
}

/* The words of a text: work=MS, fail=RUN,MS, gpu=N, tasks=N, away=N, ticket,
 * late=MS. Without work the run lasts. */
static text_t parse_text(const char *text)
{
	text_t out = { .gpu = 1, .tasks = 1 };
	const char *p;

	if ((p = strstr(text, "work=")))
		out.work_ms = (uint32_t)atoi(p + 5);
	if ((p = strstr(text, "fail=")))
		sscanf(p + 5, "%u,%u", &out.fail_run, &out.fail_ms);
	if ((p = strstr(text, "gpu=")))
		out.gpu = (uint32_t)atoi(p + 4);
	if ((p = strstr(text, "tasks=")))
		out.tasks = (uint32_t)atoi(p + 6);
	if ((p = strstr(text, "away=")))
		out.away_max = (uint32_t)atoi(p + 5);
	out.ticket = strstr(text, "ticket") != NULL;
	if ((p = strstr(text, "late=")))
		out.late_ms = (uint32_t)atoi(p + 5);
	return out;
}

static uint32_t gpus_used(const minion_t *m)
{
	uint32_t used = 0;

	for (guint i = 0; i < m->runs->len; i++)
		used += ((const run_t *)g_ptr_array_index(m->runs, i))->text.gpu;
	return used;
}

static uint32_t percent_of(const run_t *r)
{
	uint64_t ran = now_ms() - r->started_ms;
	uint64_t all = r->text.work_ms ? r->text.work_ms : STARTUP_MS;

	return (uint32_t)MIN(ran * 100 / all, 100);
}

static item_t *get_item(const run_t *r)
{
	item_t *item = g_hash_table_lookup(items, r->task);

	if (r->text.work_ms)
		return NULL;
	if (!item) {
		item = g_new0(item_t, 1);
		g_strlcpy(item->task, r->task, sizeof(item->task));
		item->text = r->text;
		g_hash_table_insert(items, item->task, item);
	}
	return item;
}

/* AVAIL: a stop ends a work item that is at work while so many others of its
 * step are away: ended by such an order, or not at work for notice_ms. */
static void judge_stop(const run_t *r)
{
	size_t step_bytes = (size_t)(strrchr(r->task, '.') - r->task);
	uint32_t away = 0;
	GHashTableIter iter;
	gpointer value;

	if (!r->text.away_max || r->text.work_ms || !r->at_work)
		return;
	g_hash_table_iter_init(&iter, items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const item_t *other = value;

		if (strcmp(other->task, r->task) == 0 ||
		    strncmp(other->task, r->task, step_bytes + 1) != 0 ||
		    other->at_work)
			continue;
		away += other->ordered_away ||
			now_ms() - other->away_ms >= notice_ms;
	}
	if (away < r->text.away_max)
		return;
	broken++;
	note("BROKEN AVAIL: %s run %u was at work and is stopped while %u of "
	     "its step are away, of %u allowed",
	     r->task, r->run, away, r->text.away_max);
}

static void end_run(minion_t *m, run_t *r, const char *how)
{
	end_t *e = g_new0(end_t, 1);
	item_t *item = get_item(r);

	e->number = ++m->last_end;
	g_strlcpy(e->task, r->task, sizeof(e->task));
	e->run = r->run;
	e->how = how;
	g_ptr_array_add(m->ends, e);
	note("%s: %s run %u ends %s", m->id, r->task, r->run, how);
	if (strcmp(how, "stopped") == 0)
		judge_stop(r);
	if (item) {
		item->runs = false;
		item->at_work = false;
		item->ordered_away = strcmp(how, "stopped") == 0 && r->at_work;
		item->ended_ms = now_ms();
		item->away_ms = now_ms();
		item->told = false;
	}
	g_ptr_array_remove(m->runs, r);
	pthread_cond_broadcast(&changed);
}

static void advance(minion_t *m)
{
	for (guint i = m->runs->len; i-- > 0;) {
		run_t *r = g_ptr_array_index(m->runs, i);
		uint64_t ran = now_ms() - r->started_ms;
		item_t *item = get_item(r);

		if (clock_of(m) > m->until_ms)
			end_run(m, r, "lapsed");
		else if (r->stop_ms && now_ms() >= r->stop_ms)
			end_run(m, r, "stopped");
		else if (r->text.fail_run == r->run && ran >= r->text.fail_ms)
			end_run(m, r, "failed");
		else if (r->text.work_ms && ran >= r->text.work_ms)
			end_run(m, r, "done");
		else if (item && !item->at_work && ran >= STARTUP_MS)
			item->at_work = true;
	}
}

/* LOST: a work item that lasts has nothing running for 3 s, from 6 s after its
 * last run, while there is capacity for it twice over. */
static void judge_items(void)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		item_t *item = value;
		uint64_t idle = now_ms() - item->ended_ms;
		bool room = false;

		if (item->runs || item->told || !item->ended_ms ||
		    idle < LASTING_IDLE_MS + LASTING_WAIT_MS)
			continue;
		for (uint32_t i = 0; i < minions_count; i++) {
			const minion_t *m = &minions[i];

			room |= !m->draining &&
				(!special_label ||
				 strcmp(m->label, special_label) == 0) &&
				gpus_used(m) + 2 * item->text.gpu <= 8;
		}
		if (!room)
			continue;
		item->told = true;
		broken++;
		note("BROKEN LOST: %s lasts, ended %u ms ago and isn't started, "
		     "with room for it twice over",
		     item->task, (unsigned)idle);
	}
}

static void publish(minion_t *m)
{
	json_t *doc = json_pack(
		"{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:i,s:i,s:i},s:[s,s],s:I,s:I,"
		"s:I}",
		"service", "survey", "address", m->addr, "zone", "norte",
		"version", "v1", "slots", 8, "state",
		m->draining ? "draining" : "ready", "cold_remaining_ms", 0,
		"capacity", "cpu", 32000, "mem_mb", 65536, "gpu", 8, "labels",
		m->label, m->rack, "clock_ms", (json_int_t)clock_of(m), "born",
		(json_int_t)m->born_ms, "sequence", (json_int_t)++m->entries);
	char *text = json_dumps(doc, JSON_COMPACT);

	put_named("keyed.servers", m->id, text);
	free(text);
	json_decref(doc);
}

/* A minion that has drained exits: what runs there ends, and its entry goes. */
static void leave(minion_t *m)
{
	if (!m->leave_ms || m->gone || now_ms() < m->leave_ms)
		return;
	note("%s leaves", m->id);
	m->gone = true;
	while (m->runs->len)
		end_run(m, g_ptr_array_index(m->runs, 0), "lost");
	put_named("keyed.servers", m->id, "");
}

/* The store removes an entry after three ping intervals of silence. */
static void lose_entry(const minion_t *m)
{
	static bool lost;

	if (!m->cut || lost || now_ms() - cut_ms < SILENT_MS)
		return;
	lost = true;
	put_named("keyed.servers", m->id, "");
}

static void carry_out_late(minion_t *m);

static void *run_minions(void *arg)
{
	uint64_t published = 0;

	for (;;) {
		pause_ms(10);
		pthread_mutex_lock(&lock);
		for (uint32_t i = 0; i < minions_count; i++) {
			advance(&minions[i]);
			leave(&minions[i]);
			carry_out_late(&minions[i]);
			lose_entry(&minions[i]);
		}
		judge_items();
		if (now_ms() - published >= HEARTBEAT_MS) {
			published = now_ms();
			for (uint32_t i = 0; i < minions_count; i++) {
				if (!minions[i].gone && !minions[i].cut)
					publish(&minions[i]);
			}
		}
		pthread_mutex_unlock(&lock);
	}
	return NULL;
}

static minion_t *find_minion(const struct mg_connection *conn)
{
	const char *host = mg_get_header(conn, "Host");

	for (uint32_t i = 0; host && i < minions_count; i++) {
		if (!minions[i].gone && strcmp(minions[i].addr, host) == 0)
			return &minions[i];
	}
	return NULL;
}

static void extend(minion_t *m, const json_t *doc)
{
	uint64_t until = (uint64_t)json_integer_value(
		json_object_get(doc, "until_ms"));

	until = MIN(until, clock_of(m) + HOLD_MAX_MS);
	m->until_ms = MAX(m->until_ms, until);
}

static run_t *find_run(const minion_t *m, const char *task, uint32_t run)
{
	for (guint i = 0; i < m->runs->len; i++) {
		run_t *r = g_ptr_array_index(m->runs, i);

		if (r->run == run && strcmp(r->task, task) == 0)
			return r;
	}
	return NULL;
}

static json_t *refusal(const minion_t *m, const char *reason)
{
	return json_pack("{s:I,s:s}", "clock_ms", (json_int_t)clock_of(m),
			 "reason", reason);
}

static bool takes(minion_t *m, const json_t *doc)
{
	uint64_t fence = (uint64_t)json_integer_value(
		json_object_get(doc, "fencing_token"));

	if (fence < m->fence)
		return false;
	m->fence = fence;
	return true;
}

static const char *text_of(const json_t *doc, const char *name)
{
	const char *text = json_string_value(json_object_get(doc, name));

	return text ? text : "";
}

/* TWICE: two runs of one work item at the same time. */
static void judge_start(const minion_t *m, const char *task, uint32_t run)
{
	for (uint32_t i = 0; i < minions_count; i++) {
		for (guint k = 0; k < minions[i].runs->len; k++) {
			const run_t *r =
				g_ptr_array_index(minions[i].runs, k);

			if (strcmp(r->task, task) != 0)
				continue;
			broken++;
			note("BROKEN TWICE: %s run %u begins at %s while run "
			     "%u is at work at %s",
			     task, run, m->id, r->run, minions[i].id);
		}
	}
}

/* A ticket names the step, the minion and the end of its time. */
static bool is_ticket(const minion_t *m, const char *task, const char *ticket)
{
	char *step = g_strndup(task, (gsize)(strrchr(task, '.') - task));
	char *begin = g_strdup_printf("%s/%s/", step, m->id);
	bool ok = g_str_has_prefix(ticket, begin) &&
		  now_ms() < g_ascii_strtoull(ticket + strlen(begin), NULL, 10);

	g_free(step);
	g_free(begin);
	return ok;
}

static json_t *start(minion_t *m, const json_t *doc, int *status)
{
	const char *task = text_of(doc, "task");
	uint32_t run = (uint32_t)json_integer_value(
		json_object_get(doc, "run_id"));
	text_t text = parse_text(text_of(doc, "spec"));
	item_t *item;
	run_t *r;

	*status = 409;
	if (find_run(m, task, run)) {
		*status = STATUS_OK;
		return json_pack("{s:I}", "clock_ms", (json_int_t)clock_of(m));
	}
	extend(m, doc);
	if (run <= GPOINTER_TO_UINT(g_hash_table_lookup(m->highest, task)))
		return refusal(m, "old");
	if (gpus_used(m) + text.gpu > 8)
		return refusal(m, "room");
	if (clock_of(m) >= m->until_ms)
		return refusal(m, "late");
	if (text.ticket && !is_ticket(m, task, text_of(doc, "ticket")))
		return refusal(m, "ticket");
	judge_start(m, task, run);
	r = g_new0(run_t, 1);
	g_strlcpy(r->task, task, sizeof(r->task));
	r->run = run;
	r->text = text;
	r->started_ms = now_ms();
	g_ptr_array_add(m->runs, r);
	g_hash_table_replace(m->highest, g_strdup(task),
			     GUINT_TO_POINTER(run));
	note("%s: %s run %u starts%s", m->id, task, run,
	     m->draining ? " (draining)" : "");
	item = get_item(r);
	if (item)
		item->runs = true;
	*status = STATUS_OK;
	return json_pack("{s:I}", "clock_ms", (json_int_t)clock_of(m));
}

static json_t *stop(minion_t *m, const json_t *doc)
{
	const char *task = text_of(doc, "task");
	uint32_t run = (uint32_t)json_integer_value(
		json_object_get(doc, "run_id"));
	run_t *r = find_run(m, task, run);
	uint32_t high = GPOINTER_TO_UINT(
		g_hash_table_lookup(m->highest, task));

	if (run > high)
		g_hash_table_replace(m->highest, g_strdup(task),
				     GUINT_TO_POINTER(run));
	if (r && !r->stop_ms) {
		r->stop_ms = now_ms() + STOP_MS;
		r->at_work = percent_of(r) >= 100;
		note("%s: %s run %u is ordered to stop, percent %u", m->id,
		     task, run, percent_of(r));
	}
	return json_pack("{s:I}", "clock_ms", (json_int_t)clock_of(m));
}

/* The region of the minion and of the leader is cut off from the rest as an
 * order comes; the minion crashes, starts again, and carries out the order. */
static void begin_trouble(minion_t *m, json_t *order, uint32_t late_ms)
{
	is_cut = true;
	cut_ms = now_ms();
	for (uint32_t i = 0; i < minions_count; i++)
		cut_fence = MAX(cut_fence, minions[i].fence);
	m->cut = true;
	m->late = json_incref(order);
	m->late_ms = now_ms() + late_ms;
	m->up_ms = now_ms() + DOWN_MS;
	m->boot_ms = m->up_ms;
	m->clock_ms = 0;
	m->born_ms = g_get_real_time() / 1000 + DOWN_MS;
	m->fence = 0;
	m->until_ms = 0;
	m->last_end = 0;
	m->entries = 0;
	g_ptr_array_set_size(m->runs, 0);
	g_ptr_array_set_size(m->ends, 0);
	g_hash_table_remove_all(m->highest);
	note("%s: an order to start %s is left unanswered; the minion crashes, "
	     "and is cut off with host-%u",
	     m->id, text_of(order, "task"), cut_host);
}

/* Returns true if a call to a minion gets no answer. */
static bool is_unheard(minion_t *m, json_t *order, const char *uri)
{
	uint32_t late_ms = parse_text(text_of(order, "spec")).late_ms;
	uint64_t fence = (uint64_t)json_integer_value(
		json_object_get(order, "fencing_token"));

	if (now_ms() < m->up_ms || (m->cut && fence > cut_fence))
		return true;
	if (!late_ms || !cut_host || is_cut ||
	    strcmp(uri, "/-/run-start") != 0)
		return false;
	m->fence = MAX(m->fence, fence);
	begin_trouble(m, order, late_ms);
	return true;
}

static void carry_out_late(minion_t *m)
{
	json_t *order = m->late;
	int status;

	if (!order || now_ms() < m->late_ms)
		return;
	m->late = NULL;
	note("%s: the order to start %s is carried out%s", m->id,
	     text_of(order, "task"),
	     takes(m, order) ? "" : " under a fence that refuses it");
	if (takes(m, order))
		json_decref(start(m, order, &status));
	json_decref(order);
}

static json_t *list_runs(const minion_t *m)
{
	json_t *running = json_array();
	json_t *finished = json_array();

	for (guint i = 0; i < m->runs->len; i++) {
		const run_t *r = g_ptr_array_index(m->runs, i);

		json_array_append_new(running,
				      json_pack("[s,i,s,i,i]", r->task,
						(int)r->run, "",
						(int)percent_of(r), 0));
	}
	for (guint i = 0; i < m->ends->len && i < 500; i++) {
		const end_t *e = g_ptr_array_index(m->ends, i);

		json_array_append_new(finished,
				      json_pack("[I,s,i,s,s]",
						(json_int_t)e->number, e->task,
						(int)e->run, e->how, ""));
	}
	return json_pack("{s:I,s:I,s:o,s:o}", "clock_ms",
			 (json_int_t)clock_of(m), "born",
			 (json_int_t)m->born_ms, "running", running, "finished",
			 finished);
}

static json_t *hold(minion_t *m, const json_t *doc)
{
	uint64_t acked = (uint64_t)json_integer_value(
		json_object_get(doc, "acked_through"));
	uint64_t until = now_ms() + (uint64_t)json_integer_value(
					    json_object_get(doc, "wait_ms"));
	uint64_t seen;

	extend(m, doc);
	while (m->ends->len &&
	       ((end_t *)g_ptr_array_index(m->ends, 0))->number <= acked)
		g_ptr_array_remove_index(m->ends, 0);
	seen = m->last_end;
	while (!m->ends->len && m->last_end == seen && now_ms() < until) {
		struct timespec ts = { (time_t)(until / 1000),
				       (long)(until % 1000) * 1000000 };

		pthread_cond_timedwait(&changed, &lock, &ts);
	}
	return list_runs(m);
}

static int serve_order(struct mg_connection *conn, void *user)
{
	const char *uri = mg_get_request_info(conn)->local_uri;
	const char *expected = mg_get_header(conn, "X-Expect-Instance");
	GByteArray *body = read_body(conn);
	json_t *doc = json_loadb((const char *)body->data, body->len, 0, NULL);
	int status = STATUS_OK;
	json_t *out;
	minion_t *m;

	g_byte_array_unref(body);
	pthread_mutex_lock(&lock);
	m = find_minion(conn);
	if (m && doc && is_unheard(m, doc, uri)) {
		pthread_mutex_unlock(&lock);
		json_decref(doc);
		return drop(conn);
	}
	if (!m || !doc || (expected && strcmp(expected, m->id) != 0)) {
		status = m && doc ? 421 : 400;
		out = json_object();
	} else if (!takes(m, doc)) {
		status = 409;
		out = refusal(m, "fence");
	} else if (strcmp(uri, "/-/run-start") == 0) {
		out = start(m, doc, &status);
	} else if (strcmp(uri, "/-/run-stop") == 0) {
		out = stop(m, doc);
	} else if (strcmp(uri, "/-/hold") == 0) {
		out = hold(m, doc);
	} else {
		out = json_pack("{s:I}", "clock_ms", (json_int_t)clock_of(m));
	}
	pthread_mutex_unlock(&lock);
	json_decref(doc);
	respond_json(conn, status, out);
	return 1;
}

/* The adviser: one call after the other, each for decide_ms and period_ms a
 * minion; it allows all of them. */
static int serve_advice(struct mg_connection *conn, void *user)
{
	GByteArray *body = read_body(conn);
	json_t *doc = json_loadb((const char *)body->data, body->len, 0, NULL);
	const json_t *ids = json_object_get(doc, "workers");
	json_t *rows = json_array();
	const json_t *id;
	size_t i;

	g_byte_array_unref(body);
	if (atomic_fetch_add(&advice_waiting, 1) >= ADVICE_WAITING_MAX) {
		atomic_fetch_sub(&advice_waiting, 1);
		json_decref(rows);
		json_decref(doc);
		respond(conn, 429, "{}", 2);
		return 1;
	}
	pthread_mutex_lock(&adviser);
	note("adviser: a call about %s, %zu minions", text_of(doc, "step"),
	     json_array_size(ids));
	pause_ms(decide_ms + period_ms * (uint32_t)json_array_size(ids));
	json_array_foreach(ids, i, id)
	{
		char *ticket = g_strdup_printf(
			"%s/%s/%" G_GUINT64_FORMAT, text_of(doc, "step"),
			json_string_value(id), now_ms() + TICKET_MS);

		json_array_append_new(rows,
				      json_pack("[s,s]", json_string_value(id),
						ticket));
		g_free(ticket);
	}
	note("adviser: answers the call about %s", text_of(doc, "step"));
	pthread_mutex_unlock(&adviser);
	atomic_fetch_sub(&advice_waiting, 1);
	json_decref(doc);
	respond_json(conn, STATUS_OK,
		     json_pack("{s:o,s:i}", "allowed", rows, "valid_ms",
			       TICKET_MS));
	return 1;
}

/* What the script asks for. */

static void drain(uint32_t from, uint32_t to)
{
	for (uint32_t i = from; i <= to && i < minions_count; i++) {
		minions[i].draining = true;
		minions[i].leave_ms = now_ms() + DRAIN_MS + LINGER_MS;
		publish(&minions[i]);
	}
	note("m%02u to m%02u drain", from, to);
}

/* POST /x/config stores the newest configuration; POST /x/note adds a line to
 * the record, /x/break one on a broken rule; POST /x/advice sets the adviser's
 * times; POST /x/drain names the first and the last minion that leave; POST
 * /x/cut names the host that is cut off once an order is late; GET /x/broken tells how often a rule was broken; GET /x/running how many runs
 * there are. */
static int serve_script(struct mg_connection *conn, void *user)
{
	const char *uri = mg_get_request_info(conn)->local_uri;
	GByteArray *body = read_body(conn);
	char text[32] = "";
	uint32_t running = 0;
	uint32_t decide;
	uint32_t period;
	uint32_t from;
	uint32_t to;

	g_byte_array_append(body, (const guint8 *)"", 1);
	pthread_mutex_lock(&lock);
	if (strcmp(uri, "/x/config") == 0)
		put_named("keyed.op", "config", (const char *)body->data);
	else if (strcmp(uri, "/x/note") == 0)
		note("%s", (const char *)body->data);
	else if (strcmp(uri, "/x/break") == 0)
		note("BROKEN %s", (const char *)body->data);
	else if (strcmp(uri, "/x/advice") == 0 &&
		 sscanf((const char *)body->data, "%u %u", &decide, &period) ==
			 2) {
		atomic_store(&decide_ms, decide);
		atomic_store(&period_ms, period);
	}
	else if (strcmp(uri, "/x/cut") == 0)
		cut_host = (uint32_t)atoi((const char *)body->data);
	else if (strcmp(uri, "/x/drain") == 0 &&
		 sscanf((const char *)body->data, "%u %u", &from, &to) == 2)
		drain(from, to);
	broken += strcmp(uri, "/x/break") == 0;
	for (uint32_t i = 0; i < minions_count; i++)
		running += minions[i].runs->len;
	g_snprintf(text, sizeof(text), "%u",
		   strcmp(uri, "/x/broken") == 0 ? broken : running);
	pthread_mutex_unlock(&lock);
	g_byte_array_unref(body);
	respond(conn, STATUS_OK, text, strlen(text));
	return 1;
}

static void boot_minions(void)
{
	for (uint32_t i = 0; i < minions_count; i++) {
		minion_t *m = &minions[i];

		g_snprintf(m->id, sizeof(m->id), "m%02u", i);
		g_snprintf(m->addr, sizeof(m->addr), "127.0.3.%u:%d", i + 10,
			   port);
		g_strlcpy(m->label, !i && special_label ? special_label : "a",
			  sizeof(m->label));
		g_snprintf(m->rack, sizeof(m->rack), "r%u",
			   i / minions_per_rack + 1);
		m->boot_ms = now_ms();
		m->clock_ms = LIVED_MS;
		m->born_ms = g_get_real_time() / 1000 - LIVED_MS;
		m->entries = LIVED_MS / HEARTBEAT_MS;
		m->runs = g_ptr_array_new_with_free_func(g_free);
		m->ends = g_ptr_array_new_with_free_func(g_free);
		m->highest = g_hash_table_new_full(g_str_hash, g_str_equal,
						   g_free, NULL);
	}
}

int main(int argc, char **argv)
{
	GString *listen_on = g_string_new(NULL);
	const char *options[] = { "listening_ports",
				  NULL,
				  "num_threads",
				  "320",
				  "enable_keep_alive",
				  "yes",
				  "tcp_nodelay",
				  "1",
				  "keep_alive_timeout_ms",
				  "20000",
				  NULL };
	struct mg_callbacks callbacks = { 0 };
	struct mg_context *ctx;
	pthread_condattr_t attr;
	pthread_t thread;
	int opt;

	record = stdout;
	while ((opt = getopt(argc, argv, "p:m:k:l:r:")) != -1) {
		if (opt == 'p')
			port = atoi(optarg);
		else if (opt == 'm')
			minions_count = MIN((uint32_t)atoi(optarg), MINIONS_MAX);
		else if (opt == 'k')
			minions_per_rack = MAX((uint32_t)atoi(optarg), 1);
		else if (opt == 'l')
			special_label = optarg;
		else if (opt == 'r')
			record = fopen(optarg, "w");
		else
			return 2;
	}
	if (!record || !port)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	zero_ms = now_ms();
	topics = g_hash_table_new(g_str_hash, g_str_equal);
	items = g_hash_table_new(g_str_hash, g_str_equal);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&changed, &attr);
	boot_minions();
	g_string_printf(listen_on, "127.0.3.1:%d", port);
	for (uint32_t i = 2; i <= HOSTS_MAX; i++)
		g_string_append_printf(listen_on, ",127.0.3.%u:%d", i, port);
	for (uint32_t i = 0; i < minions_count; i++)
		g_string_append_printf(listen_on, ",%s", minions[i].addr);
	options[1] = listen_on->str;
	mg_init_library(0);
	ctx = mg_start(&callbacks, NULL, options);
	if (!ctx)
		return 2;
	mg_set_request_handler(ctx, "/-/log-append$", serve_append, NULL);
	mg_set_request_handler(ctx, "/-/log-read$", serve_read, NULL);
	mg_set_request_handler(ctx, "/-/log-newest$", serve_newest, NULL);
	mg_set_request_handler(ctx, "/-/advise$", serve_advice, NULL);
	mg_set_request_handler(ctx, "/-/*$", serve_order, NULL);
	mg_set_request_handler(ctx, "/x/*$", serve_script, NULL);
	pthread_create(&thread, NULL, run_minions, NULL);
	pthread_join(thread, NULL);
	return 0;
}
