/**
 * @file standin-2.c
 * @brief The store, the minions and a consumer; see standin-2.h.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <inttypes.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>
#include <jansson.h>

#include "standin-2.h"

#define HEAD_MAX     16384
#define BODY_MAX     (4U << 20)
#define TOPICS_MAX   32
#define RECORDS_MAX  200000
#define PAGE_RECORDS 500
#define PAGE_BYTES   (1U << 20)
#define READ_BYTES   (1U << 20)
#define HEARTBEAT_MS 1500
#define HOLD_MAX_MS  10000
#define STOP_MS	     50
#define STORE_MS     4
#define LEAVE_MS     2700
#define FAR_FACTOR   3

typedef struct {
	uint8_t *data;
	uint32_t size;
} rec_t;

typedef struct {
	char name[TEXT_BYTES];
	uint32_t part;
	rec_t *recs;
	uint64_t end;
} part_t;

typedef struct {
	char method[8];
	char path[512];
	char query[1024];
	char expect[TEXT_BYTES];
	uint8_t *body;
	size_t size;
} request_t;

stand_t stand = { .lock = PTHREAD_MUTEX_INITIALIZER };
static part_t parts[TOPICS_MAX];
static uint32_t part_count;

uint64_t steady_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

void sleep_ms(uint32_t ms)
{
	struct timespec ts = { ms / 1000, (long)(ms % 1000) * 1000000 };

	nanosleep(&ts, NULL);
}

double at_s(void)
{
	return (double)(steady_ms() - stand.began_ms) / 1000;
}

void note(const char *fmt, ...)
{
	va_list ap;

	fprintf(stand.record, "%8.3f ", at_s());
	va_start(ap, fmt);
	vfprintf(stand.record, fmt, ap);
	va_end(ap);
	fputc('\n', stand.record);
	fflush(stand.record);
}

/* ---- the store ---- */

static part_t *part_of(const char *topic, uint32_t part)
{
	for (uint32_t i = 0; i < part_count; i++) {
		if (parts[i].part == part && !strcmp(parts[i].name, topic))
			return &parts[i];
	}
	if (part_count == TOPICS_MAX)
		return NULL;
	snprintf(parts[part_count].name, TEXT_BYTES, "%s", topic);
	parts[part_count].part = part;
	parts[part_count].recs = calloc(RECORDS_MAX, sizeof(rec_t));
	return &parts[part_count++];
}

static void append(part_t *p, const uint8_t *data, uint32_t size)
{
	if (p->end == RECORDS_MAX)
		return;
	p->recs[p->end].data = malloc(size + 1);
	memcpy(p->recs[p->end].data, data, size);
	p->recs[p->end++].size = size;
}

static void put_keyed(const char *topic, const char *key, const char *value)
{
	size_t k = strlen(key);
	size_t v = strlen(value);
	uint8_t *rec = malloc(1 + k + v);

	rec[0] = (uint8_t)k;
	memcpy(rec + 1, key, k);
	memcpy(rec + 1 + k, value, v);
	append(part_of(topic, 0), rec, (uint32_t)(1 + k + v));
	free(rec);
	pthread_cond_broadcast(&stand.changed);
}

static bool query_text(const char *query, const char *name, char *out,
		       size_t bytes)
{
	size_t n = strlen(name);

	for (const char *p = query; p && *p; p = strchr(p, '&')) {
		size_t i = 0;

		p += *p == '&';
		if (strncmp(p, name, n) != 0 || p[n] != '=')
			continue;
		for (p += n + 1; *p && *p != '&' && i + 1 < bytes; p++) {
			unsigned c;

			if (*p == '%' && sscanf(p + 1, "%2x", &c) == 1) {
				out[i++] = (char)c;
				p += 2;
			} else {
				out[i++] = *p;
			}
		}
		out[i] = '\0';
		return true;
	}
	return false;
}

static uint64_t query_number(const char *query, const char *name, uint64_t none)
{
	char text[32];

	return query_text(query, name, text, sizeof(text))
		       ? strtoull(text, NULL, 10)
		       : none;
}

static bool write_all(int fd, const void *data, size_t n)
{
	const uint8_t *p = data;

	while (n) {
		ssize_t w = send(fd, p, n, MSG_NOSIGNAL);

		if (w <= 0)
			return false;
		p += w;
		n -= (size_t)w;
	}
	return true;
}

static bool respond(int fd, int status, const void *body, size_t n)
{
	char head[160];
	int h = snprintf(head, sizeof(head),
			 "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
			 "Content-Length: %zu\r\n\r\n",
			 status, n);

	return write_all(fd, head, (size_t)h) && (!n || write_all(fd, body, n));
}

static bool respond_json(int fd, int status, json_t *doc)
{
	char *text = json_dumps(doc, JSON_COMPACT);
	bool ok = respond(fd, status, text, strlen(text));

	free(text);
	json_decref(doc);
	return ok;
}

static bool serve_append(int fd, const request_t *r, part_t *p)
{
	uint64_t at = query_number(r->query, "at", UINT64_MAX);
	size_t pos = 0;
	uint64_t first;
	uint64_t end;

	sleep_ms(STORE_MS);
	pthread_mutex_lock(&stand.lock);
	first = p->end;
	if (at != UINT64_MAX && at != p->end) {
		pthread_mutex_unlock(&stand.lock);
		return respond_json(
			fd, 412,
			json_pack("{s:I}", "end_offset", (json_int_t)first));
	}
	while (pos + 4 <= r->size) {
		const uint8_t *b = r->body + pos;
		uint32_t n = (uint32_t)b[0] << 24 | (uint32_t)b[1] << 16 |
			     (uint32_t)b[2] << 8 | b[3];

		if (pos + 4 + n > r->size)
			break;
		append(p, b + 4, n);
		pos += 4 + n;
	}
	end = p->end;
	pthread_cond_broadcast(&stand.changed);
	pthread_mutex_unlock(&stand.lock);
	return respond_json(fd, 200,
			    json_pack("{s:I,s:I}", "offset", (json_int_t)first,
				      "end_offset", (json_int_t)end));
}

static void put_be(uint8_t *out, uint64_t n, int bytes)
{
	while (bytes--) {
		*out++ = (uint8_t)(n >> (8 * bytes));
	}
}

static void wait_change(uint64_t until_ms)
{
	struct timespec ts = { (time_t)(until_ms / 1000),
			       (long)(until_ms % 1000) * 1000000 };

	pthread_cond_timedwait(&stand.changed, &stand.lock, &ts);
}

static bool serve_read(int fd, const request_t *r, part_t *p)
{
	uint64_t from = query_number(r->query, "from", 0);
	uint64_t until = steady_ms() + query_number(r->query, "wait_ms", 0);
	uint8_t *out = malloc(READ_BYTES + (300U << 10));
	size_t n = 16;
	bool ok;

	sleep_ms(STORE_MS);
	pthread_mutex_lock(&stand.lock);
	while (from >= p->end && steady_ms() < until)
		wait_change(until);
	put_be(out, p->end, 8);
	put_be(out + 8, 0, 8);
	for (; from < p->end && n < READ_BYTES; from++) {
		put_be(out + n, p->recs[from].size, 4);
		memcpy(out + n + 4, p->recs[from].data, p->recs[from].size);
		n += 4 + p->recs[from].size;
	}
	pthread_mutex_unlock(&stand.lock);
	ok = respond(fd, 200, out, n);
	free(out);
	return ok;
}

static char *base64(const uint8_t *p, size_t n)
{
	static const char set[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqr"
				  "stuvwxyz0123456789+/";
	char *out = malloc(n / 3 * 4 + 8);
	size_t o = 0;

	for (size_t i = 0; i < n; i += 3) {
		uint32_t v = (uint32_t)p[i] << 16 |
			     (i + 1 < n ? (uint32_t)p[i + 1] << 8 : 0) |
			     (i + 2 < n ? p[i + 2] : 0);

		out[o++] = set[v >> 18];
		out[o++] = set[v >> 12 & 63];
		out[o++] = i + 1 < n ? set[v >> 6 & 63] : '=';
		out[o++] = i + 2 < n ? set[v & 63] : '=';
	}
	out[o] = '\0';
	return out;
}

typedef struct {
	char key[256];
	uint64_t offset;
} newest_t;

static int compare_newest(const void *a, const void *b)
{
	const newest_t *x = a;
	const newest_t *y = b;
	int c = strcmp(x->key, y->key);

	return c ? c : (x->offset > y->offset) - (x->offset < y->offset);
}

static bool serve_newest(int fd, const request_t *r, part_t *p)
{
	json_t *items = json_array();
	char after[256] = "";
	newest_t *all;
	size_t bytes = 0;
	bool more = false;
	uint64_t end;

	sleep_ms(STORE_MS);
	query_text(r->query, "depends_on", after, sizeof(after));
	pthread_mutex_lock(&stand.lock);
	end = p->end;
	all = calloc(end + 1, sizeof(*all));
	for (uint64_t i = 0; i < end; i++) {
		memcpy(all[i].key, p->recs[i].data + 1, p->recs[i].data[0]);
		all[i].offset = i;
	}
	qsort(all, end, sizeof(*all), compare_newest);
	for (uint64_t i = 0; i < end; i++) {
		const rec_t *rec = &p->recs[all[i].offset];
		uint32_t head = 1U + rec->data[0];
		char *value;

		if ((i + 1 < end && !strcmp(all[i].key, all[i + 1].key)) ||
		    rec->size <= head || strcmp(all[i].key, after) <= 0)
			continue;
		if (json_array_size(items) == PAGE_RECORDS ||
		    bytes > PAGE_BYTES) {
			more = true;
			break;
		}
		value = base64(rec->data + head, rec->size - head);
		bytes += strlen(value);
		json_array_append_new(
			items,
			json_pack("{s:s,s:s,s:I}", "key", all[i].key, "value",
				  value, "offset", (json_int_t)all[i].offset));
		free(value);
	}
	pthread_mutex_unlock(&stand.lock);
	free(all);
	return respond_json(fd, 200,
			    json_pack("{s:o,s:b,s:I}", "items", items,
				      "has_more", more, "end_offset",
				      (json_int_t)end));
}

static bool serve_store(int fd, const request_t *r)
{
	char topic[TEXT_BYTES] = "";
	part_t *p;

	query_text(r->query, "topic", topic, sizeof(topic));
	pthread_mutex_lock(&stand.lock);
	p = part_of(topic, (uint32_t)query_number(r->query, "part", 0));
	pthread_mutex_unlock(&stand.lock);
	if (!p)
		return respond(fd, 400, "", 0);
	if (!strcmp(r->path, "/-/log-append"))
		return serve_append(fd, r, p);
	if (!strcmp(r->path, "/-/log-read"))
		return serve_read(fd, r, p);
	if (!strcmp(r->path, "/-/log-newest"))
		return serve_newest(fd, r, p);
	return respond(fd, 404, "", 0);
}

/* ---- the minions ---- */

static uint64_t clock_of(const minion_t *m)
{
	return steady_ms() - m->clock_base_ms;
}

static job_t *job_of(const char *task)
{
	for (uint32_t i = 0; i < stand.job_count; i++) {
		if (strncmp(stand.jobs[i].id, task, 16) == 0)
			return &stand.jobs[i];
	}
	return NULL;
}

static bool runs_anywhere(const job_t *j)
{
	for (uint32_t i = 0; i < stand.minion_count; i++) {
		const minion_t *m = &stand.minions[i];

		for (uint32_t k = 0; k < m->item_count; k++) {
			if (job_of(m->items[k].task) == j)
				return true;
		}
	}
	return false;
}

static void track_idle(void)
{
	uint64_t now = steady_ms();

	for (uint32_t i = 0; i < stand.job_count; i++) {
		job_t *j = &stand.jobs[i];

		if (!j->accepted_ms || j->done || runs_anywhere(j)) {
			j->idle_since_ms = 0;
			continue;
		}
		if (!j->idle_since_ms)
			j->idle_since_ms = now;
		if (now - j->idle_since_ms > j->longest_idle_ms)
			j->longest_idle_ms = now - j->idle_since_ms;
	}
}

static void set_over(minion_t *m, const char *task, uint32_t run)
{
	for (uint32_t i = 0; i < m->over_count; i++) {
		if (!strcmp(m->over[i].task, task)) {
			if (run > m->over[i].run)
				m->over[i].run = run;
			return;
		}
	}
	if (m->over_count < RUNS_MAX * 2) {
		snprintf(m->over[m->over_count].task, TEXT_BYTES, "%s", task);
		m->over[m->over_count++].run = run;
	}
}

static bool is_over(const minion_t *m, const char *task, uint32_t run)
{
	for (uint32_t i = 0; i < m->over_count; i++) {
		if (!strcmp(m->over[i].task, task))
			return run <= m->over[i].run;
	}
	return false;
}

static void end_item(minion_t *m, uint32_t i, const char *how)
{
	item_t it = m->items[i];
	job_t *j = job_of(it.task);
	end_t *e;

	m->items[i] = m->items[--m->item_count];
	set_over(m, it.task, it.run);
	if (!stand.brief)
		note("%s: %s run %u ends %s after %" PRIu64 " of %" PRIu64
		     " ms",
		     m->id, it.task, it.run, how, steady_ms() - it.began_ms,
		     it.work_ms);
	if (j && !strcmp(how, "stopped"))
		j->stops++;
	if (m->end_count == RUNS_MAX * 2)
		return;
	e = &m->ends[m->end_count++];
	e->number = ++m->last_end;
	snprintf(e->task, sizeof(e->task), "%s", it.task);
	e->run = it.run;
	e->how = how;
	pthread_cond_broadcast(&stand.changed);
}

static json_t *running_of(const minion_t *m)
{
	json_t *rows = json_array();

	for (uint32_t i = 0; i < m->item_count; i++) {
		const item_t *it = &m->items[i];
		uint64_t done = steady_ms() - it->began_ms;
		uint64_t percent = done * 100 / (it->work_ms + 1);

		if (job_of(it->task)->lasts)
			percent = 100;
		else if (percent > 99)
			percent = 99;
		json_array_append_new(rows, json_pack("[s,i,s,i,i]", it->task,
						      (int)it->run, "",
						      (int)percent, 0));
	}
	return rows;
}

static json_t *finished_of(const minion_t *m)
{
	json_t *rows = json_array();

	for (uint32_t i = 0; i < m->end_count && i < 500; i++) {
		const end_t *e = &m->ends[i];

		json_array_append_new(
			rows, json_pack("[I,s,i,s,s]", (json_int_t)e->number,
					e->task, (int)e->run, e->how, ""));
	}
	return rows;
}

static bool refuse(int fd, const minion_t *m, const char *reason)
{
	return respond_json(fd, 409,
			    json_pack("{s:I,s:s}", "clock_ms",
				      (json_int_t)clock_of(m), "reason",
				      reason));
}

static uint64_t whole(const json_t *doc, const char *name)
{
	return (uint64_t)json_integer_value(json_object_get(doc, name));
}

static void extend_lease(minion_t *m, const json_t *doc)
{
	uint64_t until = whole(doc, "until_ms");
	uint64_t most = clock_of(m) + HOLD_MAX_MS;

	if (until > most)
		until = most;
	if (until > m->lease_until_ms)
		m->lease_until_ms = until;
}

/* Returns why a start is refused, or NULL. */
static const char *refusal_of(const minion_t *m, const char *task, uint32_t run,
			      const json_t *doc, const job_t *j)
{
	uint32_t gpu = j->gpu;
	uint32_t cpu = j->cpu;
	uint32_t mem = j->mem_mb;

	if (is_over(m, task, run))
		return "old";
	if (whole(doc, "until_ms") <= clock_of(m))
		return "late";
	for (uint32_t i = 0; i < m->item_count; i++) {
		const job_t *other = job_of(m->items[i].task);

		gpu += other->gpu;
		cpu += other->cpu;
		mem += other->mem_mb;
	}
	return gpu > m->gpu || cpu > m->cpu || mem > m->mem_mb ||
			       m->item_count == RUNS_MAX
		       ? "room"
		       : NULL;
}

/* Counts what breaks TWICE. */
static void check_twice(const minion_t *m, const char *task, uint32_t run)
{
	const job_t *j = job_of(task);

	for (uint32_t i = 0; i < stand.minion_count; i++) {
		const minion_t *other = &stand.minions[i];

		for (uint32_t k = 0; k < other->item_count; k++) {
			if (strcmp(other->items[k].task, task) != 0)
				continue;
			stand.beside++;
			note("%s: run %u of %s begins, while run %u of it is "
			     "at work on %s, for %" PRIu64 " ms now",
			     m->id, run, task, other->items[k].run, other->id,
			     steady_ms() - other->items[k].began_ms);
		}
	}
	if (!j->done)
		return;
	stand.after_done++;
	note("%s: run %u of %s begins after an end as done was taken note of",
	     m->id, run, task);
}

/* Begins a run; returns why not, or NULL. */
static const char *begin_run(minion_t *m, const json_t *doc)
{
	const char *task = json_string_value(json_object_get(doc, "task"));
	uint32_t run = (uint32_t)whole(doc, "run_id");
	job_t *j = task ? job_of(task) : NULL;
	const char *reason;
	item_t *it;

	if (!j)
		return "unknown";
	for (uint32_t i = 0; i < m->item_count; i++) {
		if (!strcmp(m->items[i].task, task) && m->items[i].run == run) {
			extend_lease(m, doc);
			return NULL;
		}
	}
	reason = refusal_of(m, task, run, doc, j);
	if (reason) {
		if (!stand.brief)
			note("%s: start of %s run %u refused: %s", m->id, task,
			     run, reason);
		return reason;
	}
	check_twice(m, task, run);
	extend_lease(m, doc);
	it = &m->items[m->item_count++];
	memset(it, 0, sizeof(*it));
	snprintf(it->task, sizeof(it->task), "%s", task);
	it->run = run;
	it->began_ms = steady_ms();
	it->work_ms = j->work_ms;
	if (j->data_rack[0] && strcmp(j->data_rack, m->rack) != 0)
		it->work_ms *= FAR_FACTOR;
	if (j->starts < 4)
		it->fails_ms = j->fails_after_ms[j->starts];
	j->starts++;
	if (!j->first_start_ms)
		j->first_start_ms = it->began_ms;
	track_idle();
	if (!stand.brief)
		note("%s (rack %s): start of %s run %u, %" PRIu64 " ms of work",
		     m->id, m->rack, task, run, it->work_ms);
	return NULL;
}

static bool serve_start(int fd, minion_t *m, json_t *doc)
{
	const char *task = json_string_value(json_object_get(doc, "task"));
	const char *reason;

	if (task && stand.on_start && stand.on_start(m, task)) {
		m->late_order = json_incref(doc);
		return false;
	}
	reason = begin_run(m, doc);
	if (reason)
		return refuse(fd, m, reason);
	return respond_json(
		fd, 200,
		json_pack("{s:I}", "clock_ms", (json_int_t)clock_of(m)));
}

static bool serve_stop(int fd, minion_t *m, const json_t *doc)
{
	const char *task = json_string_value(json_object_get(doc, "task"));
	uint32_t run = (uint32_t)whole(doc, "run_id");
	bool there = false;

	if (!task)
		return respond(fd, 400, "", 0);
	for (uint32_t i = 0; i < m->item_count; i++) {
		item_t *it = &m->items[i];

		if (strcmp(it->task, task) != 0 || it->run != run)
			continue;
		there = true;
		if (!it->stop_ms) {
			it->stop_ms = steady_ms() + STOP_MS;
			if (!stand.brief)
				note("%s: stop of %s run %u", m->id, task, run);
		}
	}
	if (!there)
		set_over(m, task, run);
	return respond_json(
		fd, 200,
		json_pack("{s:I}", "clock_ms", (json_int_t)clock_of(m)));
}

static bool serve_hold(int fd, minion_t *m, const json_t *doc)
{
	uint64_t acked = whole(doc, "acked_through");
	uint64_t until = steady_ms() + whole(doc, "wait_ms");
	uint32_t kept = 0;

	extend_lease(m, doc);
	for (uint32_t i = 0; i < m->end_count; i++) {
		if (m->ends[i].number > acked)
			m->ends[kept++] = m->ends[i];
		else if (!strcmp(m->ends[i].how, "done"))
			job_of(m->ends[i].task)->done = true;
	}
	m->end_count = kept;
	while (!m->end_count && !m->gone && steady_ms() < until)
		wait_change(until);
	return respond_json(fd, 200,
			    json_pack("{s:I,s:I,s:o,s:o}", "clock_ms",
				      (json_int_t)clock_of(m), "born",
				      (json_int_t)m->born_ms, "running",
				      running_of(m), "finished",
				      finished_of(m)));
}

static bool serve_order(int fd, const request_t *r, minion_t *m)
{
	json_t *doc = json_loadb((const char *)r->body, r->size, 0, NULL);
	bool ok;

	pthread_mutex_lock(&stand.lock);
	if (steady_ms() < m->cut_until_ms) {
		/* What is sent meanwhile is lost. */
		uint64_t until = m->cut_until_ms;

		pthread_mutex_unlock(&stand.lock);
		while (steady_ms() < until)
			sleep_ms(20);
		json_decref(doc);
		return false;
	}
	if (m->gone) {
		ok = false;
	} else if (r->expect[0] && strcmp(r->expect, m->id) != 0) {
		ok = respond(fd, 421, "", 0);
	} else if (steady_ms() < m->busy_until_ms) {
		if (strcmp(r->path, "/-/run-start") == 0)
			note("%s: a start is answered 503", m->id);
		ok = respond(fd, 503, "", 0);
	} else if (!json_is_object(doc)) {
		ok = respond(fd, 400, "", 0);
	} else if (whole(doc, "fencing_token") < m->token) {
		ok = refuse(fd, m, "fence");
	} else {
		m->token = whole(doc, "fencing_token");
		if (!strcmp(r->path, "/-/run-start"))
			ok = serve_start(fd, m, doc);
		else if (!strcmp(r->path, "/-/run-stop"))
			ok = serve_stop(fd, m, doc);
		else if (!strcmp(r->path, "/-/hold"))
			ok = serve_hold(fd, m, doc);
		else if (!strcmp(r->path, "/-/pace"))
			ok = respond_json(fd, 200,
					  json_pack("{s:I}", "clock_ms",
						    (json_int_t)clock_of(m)));
		else
			ok = respond(fd, 404, "", 0);
	}
	pthread_mutex_unlock(&stand.lock);
	json_decref(doc);
	return ok;
}

static void beat(minion_t *m)
{
	char addr[32];
	json_t *doc;
	char *text;

	snprintf(addr, sizeof(addr), "127.0.0.1:%d", m->port);
	doc = json_pack(
		"{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:i,s:i,s:i},s:[s,s],s:I,s:I,"
		"s:I}",
		"service", m->service ? m->service : "pool", "address", addr,
		"zone", m->zone[0] ? m->zone : "north", "version", "v1",
		"slots", 8, "state", m->draining ? "draining" : "ready",
		"cold_remaining_ms", 0, "capacity", "cpu", (int)m->cpu,
		"mem_mb", (int)m->mem_mb, "gpu", (int)m->gpu, "labels", m->kind,
		m->rack, "clock_ms", (json_int_t)clock_of(m), "born",
		(json_int_t)m->born_ms, "sequence", (json_int_t)++m->sequence);
	if (m->draining)
		json_object_set_new(doc, "drain_remaining_ms",
				    json_integer(LEAVE_MS));
	text = json_dumps(doc, JSON_COMPACT);
	put_keyed("keyed.servers", m->id, text);
	json_decref(doc);
	free(text);
	m->listed = true;
}

static void advance(minion_t *m)
{
	uint64_t now = steady_ms();

	for (uint32_t i = m->item_count; i-- > 0;) {
		const item_t *it = &m->items[i];
		job_t *j = job_of(it->task);

		if (m->gone || clock_of(m) >= m->lease_until_ms) {
			end_item(m, i, "lapsed");
			continue;
		}
		if (it->fails_ms && now - it->began_ms >= it->fails_ms) {
			end_item(m, i, "failed");
			continue;
		}
		if (it->stop_ms && now >= it->stop_ms)
			end_item(m, i, "stopped");
		else if (!j->lasts && now - it->began_ms >= it->work_ms)
			end_item(m, i, "done");
	}
	if (m->late_ms && now >= m->late_ms) {
		m->late_ms = 0;
		note("%s: the late start is carried out", m->id);
		begin_run(m, m->late_order);
	}
	/* The store removes an entry after three intervals of silence. */
	if (m->gone || (m->listed && now > m->beat_ms + 2ULL * HEARTBEAT_MS)) {
		if (m->listed)
			put_keyed("keyed.servers", m->id, "");
		m->listed = false;
	}
	if (m->gone || now < m->beat_ms || now < m->cut_until_ms)
		return;
	m->beat_ms = now + HEARTBEAT_MS;
	beat(m);
}

void restart_minion(minion_t *m)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	m->born_ms =
		(uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
	m->clock_base_ms = steady_ms() - 1;
	m->sequence = 0;
	m->token = 0;
	m->lease_until_ms = 0;
	m->last_end = 0;
	m->item_count = 0;
	m->end_count = 0;
	m->over_count = 0;
	note("%s has crashed and starts again under its id", m->id);
}

static void *advance_all(void *arg)
{
	for (;;) {
		sleep_ms(5);
		pthread_mutex_lock(&stand.lock);
		for (uint32_t i = 0; i < stand.minion_count; i++)
			advance(&stand.minions[i]);
		track_idle();
		pthread_mutex_unlock(&stand.lock);
	}
	return arg;
}

/* ---- HTTP ---- */

static ssize_t read_head(int fd, char *buf, size_t *have)
{
	char *end;

	for (;;) {
		ssize_t n;

		buf[*have] = '\0';
		end = strstr(buf, "\r\n\r\n");
		if (end)
			return end + 4 - buf;
		if (*have >= HEAD_MAX - 1)
			return -1;
		n = recv(fd, buf + *have, HEAD_MAX - 1 - *have, 0);
		if (n <= 0)
			return -1;
		*have += (size_t)n;
	}
}

static size_t header_number(const char *head, const char *name)
{
	const char *p = strcasestr(head, name);

	return p ? strtoull(p + strlen(name), NULL, 10) : 0;
}

/* Reads one request; *have bytes of the next one may stay in buf. */
static bool read_request(int fd, char *buf, size_t *have, request_t *r)
{
	ssize_t head = read_head(fd, buf, have);
	const char *expect;
	char target[1600];
	char *q;
	size_t got;

	memset(r, 0, sizeof(*r));
	if (head < 0 || sscanf(buf, "%7s %1599s", r->method, target) != 2)
		return false;
	q = strchr(target, '?');
	if (q)
		*q++ = '\0';
	snprintf(r->path, sizeof(r->path), "%.511s", target);
	snprintf(r->query, sizeof(r->query), "%.1023s", q ? q : "");
	buf[head - 2] = '\0';
	expect = strcasestr(buf, "X-Expect-Instance: ");
	if (expect)
		sscanf(expect + 19, "%63[^\r\n]", r->expect);
	r->size = header_number(buf, "Content-Length: ");
	if (r->size > BODY_MAX)
		return false;
	r->body = malloc(r->size + 1);
	got = *have - (size_t)head;
	if (got > r->size)
		got = r->size;
	memcpy(r->body, buf + head, got);
	*have -= (size_t)head + got;
	memmove(buf, buf + head + got, *have);
	while (got < r->size) {
		ssize_t n = recv(fd, r->body + got, r->size - got, 0);

		if (n <= 0)
			return false;
		got += (size_t)n;
	}
	return true;
}

typedef struct {
	int fd;
	minion_t *minion; /**< NULL: the store */
	_Atomic uint32_t *channels;
} listener_t;

static void *serve_connection(void *arg)
{
	listener_t c = *(listener_t *)arg;
	char *buf = malloc(HEAD_MAX);
	size_t have = 0;
	request_t r;

	free(arg);
	while (read_request(c.fd, buf, &have, &r)) {
		bool ok = c.minion ? serve_order(c.fd, &r, c.minion)
				   : serve_store(c.fd, &r);

		free(r.body);
		r.body = NULL;
		if (!ok)
			break;
	}
	free(r.body);
	free(buf);
	close(c.fd);
	atomic_fetch_sub(c.channels, 1);
	return NULL;
}

static void *accept_all(void *arg)
{
	const listener_t *l = arg;
	_Atomic uint32_t *channels = calloc(1, sizeof(*channels));

	for (;;) {
		int fd;
		int one = 1;
		listener_t *c;
		pthread_t t;

		if (l->minion && atomic_load(channels) >= CHANNELS_MAX) {
			sleep_ms(1);
			continue;
		}
		fd = accept(l->fd, NULL, NULL);
		if (fd < 0)
			continue;
		atomic_fetch_add(channels, 1);
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		c = malloc(sizeof(*c));
		c->fd = fd;
		c->minion = l->minion;
		c->channels = channels;
		if (pthread_create(&t, NULL, serve_connection, c) == 0)
			pthread_detach(t);
	}
	return NULL;
}

/* Returns a socket that listens on a free port of 127.0.0.1. */
static int listen_free(int *port)
{
	struct sockaddr_in a = { .sin_family = AF_INET };
	socklen_t n = sizeof(a);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (fd < 0 || bind(fd, (struct sockaddr *)&a, n) < 0 ||
	    listen(fd, 128) < 0 ||
	    getsockname(fd, (struct sockaddr *)&a, &n) < 0)
		return -1;
	*port = ntohs(a.sin_port);
	return fd;
}

static bool serve_on_free_port(minion_t *m, int *port)
{
	listener_t *l = calloc(1, sizeof(*l));
	pthread_t t;

	l->minion = m;
	l->fd = listen_free(port);
	return l->fd >= 0 && pthread_create(&t, NULL, accept_all, l) == 0;
}

/* ---- hosts, operator, consumer ---- */

minion_t *add_minion(const char *kind, const char *rack, uint32_t gpu)
{
	minion_t *m = &stand.minions[stand.minion_count++];
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	snprintf(m->id, sizeof(m->id), "i-%s%u", kind, stand.minion_count);
	snprintf(m->kind, sizeof(m->kind), "%s", kind);
	snprintf(m->rack, sizeof(m->rack), "%s", rack);
	m->gpu = gpu;
	m->cpu = 32000;
	m->mem_mb = 65536;
	m->clock_base_ms = steady_ms() - 100000;
	m->born_ms = (uint64_t)ts.tv_sec * 1000 - 100000;
	m->sequence = 60;
	return m;
}

/* As deploy/settings.ini.tmpl is filled in for a small deployment. */
static bool write_settings(uint32_t host)
{
	char path[512];
	FILE *f;

	snprintf(path, sizeof(path), "%s/host%u.ini", stand.dir, host + 1);
	f = fopen(path, "w");
	if (!f)
		return false;
	fprintf(f,
		"[host]\nname = edge-north-%u\ndata_centre = north\n"
		"region = here\nprocessor = 0.25core\ncores = 1\n"
		"link = 1000.0Mbit\n[listen]\ncallers = 127.0.0.1:%d\n"
		"ready = 127.0.0.1:%d\nmetrics = 127.0.0.1:%d\n[log]\n"
		"address = 127.0.0.1:%d\nrecord = 262144B\nappend = 2097152B\n"
		"partitions = 12\n[bounds]\nheartbeat = 1500ms\n"
		"lease_max = 10000ms\nstop_max = 400ms\ngang_wait = 3000ms\n"
		"reclaim = 2900ms\nearly = 250ms\nfar_second = 3s\n"
		"config_apply = 2500ms\nconfig_skew = 5000ms\n"
		"keep_ended = 120s\ngrace = 6s\n",
		host + 1, stand.hosts[host].callers, stand.hosts[host].ready,
		stand.hosts[host].metrics, stand.store_port);
	return fclose(f) == 0;
}

bool stand_start(const char *dir, uint32_t hosts)
{
	int held[3 * HOSTS_MAX];
	pthread_condattr_t attr;
	pthread_t t;
	uint32_t n = 0;

	stand.dir = dir;
	stand.began_ms = steady_ms();
	stand.host_count = hosts;
	signal(SIGPIPE, SIG_IGN);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&stand.changed, &attr);
	if (!serve_on_free_port(NULL, &stand.store_port))
		return false;
	for (uint32_t i = 0; i < stand.minion_count; i++) {
		if (!serve_on_free_port(&stand.minions[i],
					&stand.minions[i].port))
			return false;
	}
	for (uint32_t i = 0; i < hosts; i++) {
		held[n++] = listen_free(&stand.hosts[i].callers);
		held[n++] = listen_free(&stand.hosts[i].ready);
		held[n++] = listen_free(&stand.hosts[i].metrics);
	}
	while (n--)
		close(held[n]);
	for (uint32_t i = 0; i < hosts; i++) {
		if (!write_settings(i))
			return false;
	}
	return pthread_create(&t, NULL, advance_all, NULL) == 0;
}

void put_config(uint32_t version, uint32_t priority)
{
	char text[1024];

	snprintf(text, sizeof(text),
		 "{\"version\":%u,\"routes\":[{\"name\":\"r-work\",\"host\":"
		 "\"pool.example\",\"path_prefix\":\"/work/\",\"kind\":"
		 "\"non_idempotent\",\"timeout_ms\":3000,"
		 "\"target_latency_ms\":1200,\"priority\":%u,\"service\":"
		 "\"%s\",\"max_attempts\":%u,\"deadline_factor\":3.0,"
		 "\"public\":false}],\"services\":[{\"name\":\"pool\","
		 "\"health_path\":\"/healthz\",\"max_connections\":64,"
		 "\"protocol\":\"h1\",\"tls\":false,\"admission_control\":true,"
		 "\"standby\":false},{\"name\":\"pool-2\","
		 "\"health_path\":\"/healthz\",\"max_connections\":64,"
		 "\"protocol\":\"h1\",\"tls\":false,\"admission_control\":true,"
		 "\"standby\":false}],\"limits\":{\"max_body_bytes\":262144},"
		 "\"tenants\":[{\"name\":\"crews\",\"api_keys\":[\"k1\"],"
		 "\"guaranteed\":{\"gpu\":8}}]}",
		 version, priority, stand.service ? stand.service : "pool",
		 stand.attempts_max ? stand.attempts_max : 4);
	pthread_mutex_lock(&stand.lock);
	put_keyed("keyed.op", "config", text);
	pthread_mutex_unlock(&stand.lock);
	note("operator: config version %u, the queue's service is %s", version,
	     stand.service ? stand.service : "pool");
}

static int connect_to(int port)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
				 .sin_port = htons((uint16_t)port) };
	struct timeval tv = { 3, 0 };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	if (connect(fd, (struct sockaddr *)&a, sizeof(a)) == 0)
		return fd;
	close(fd);
	return -1;
}

static int exchange(int port, const char *text, char *answer, size_t bytes)
{
	int fd = connect_to(port);
	char buf[8192];
	size_t n = 0;
	ssize_t got;
	char *body;
	int status = 0;

	if (answer)
		answer[0] = '\0';
	if (fd < 0)
		return 0;
	write_all(fd, text, strlen(text));
	while (n < sizeof(buf) - 1 &&
	       (got = recv(fd, buf + n, sizeof(buf) - 1 - n, 0)) > 0)
		n += (size_t)got;
	close(fd);
	buf[n] = '\0';
	if (sscanf(buf, "HTTP/1.1 %d", &status) != 1)
		return 0;
	body = strstr(buf, "\r\n\r\n");
	if (answer && body)
		snprintf(answer, bytes, "%s", body + 4);
	return status;
}

bool wait_ready(uint32_t wait_ms)
{
	uint64_t until = steady_ms() + wait_ms;

	while (steady_ms() < until) {
		uint32_t ready = 0;

		for (uint32_t i = 0; i < stand.host_count; i++)
			ready += exchange(stand.hosts[i].ready,
					  "GET /-/readyz HTTP/1.1\r\n"
					  "Host: ready\r\n\r\n",
					  NULL, 0) == 200;
		if (ready == stand.host_count) {
			note("all %u hosts are ready", ready);
			return true;
		}
		sleep_ms(100);
	}
	return false;
}

int call(uint32_t host, const char *method, const char *path, const char *body,
	 char *answer, size_t answer_bytes)
{
	char text[8192];

	snprintf(text, sizeof(text),
		 "%s %s HTTP/1.1\r\nHost: pool.example\r\n"
		 "Authorization: Bearer k1\r\nX-Deadline-Ms: 3000\r\n"
		 "Content-Type: application/json\r\nContent-Length: %zu\r\n"
		 "\r\n%s",
		 method, path, body ? strlen(body) : 0, body ? body : "");
	return exchange(stand.hosts[host].callers, text, answer, answer_bytes);
}

static uint32_t next_fails_ms[4];

job_t *submit_failing(uint32_t host, const char *id, const char *more,
		      const uint32_t fails_after_ms[4])
{
	job_t *j;

	memcpy(next_fails_ms, fails_after_ms, sizeof(next_fails_ms));
	j = submit(host, id, 1, 1, 0, NULL, more);
	memset(next_fails_ms, 0, sizeof(next_fails_ms));
	return j;
}

job_t *submit(uint32_t host, const char *id, uint32_t count, uint32_t gpu,
	      uint64_t work_ms, const char *data_rack, const char *more)
{
	char path[64];
	char body[2048];
	char rack[TEXT_BYTES + 20] = "";
	uint32_t cpu = stand.cpu ? stand.cpu : 1000;
	job_t *j;
	int status;

	if (data_rack)
		snprintf(rack, sizeof(rack), ",\"data_rack\":\"%s\"",
			 data_rack);
	snprintf(path, sizeof(path), "/work/%s", id);
	snprintf(body, sizeof(body),
		 "{\"spec\":\"work %" PRIu64 "\",\"steps\":[{\"count\":%u,"
		 "\"cpu\":%u,\"mem_mb\":%u,\"gpu\":%u%s%s}]}",
		 work_ms, count, cpu, cpu, gpu, rack, more ? more : "");
	pthread_mutex_lock(&stand.lock);
	j = &stand.jobs[stand.job_count++];
	snprintf(j->id, sizeof(j->id), "%s", id);
	if (data_rack)
		snprintf(j->data_rack, sizeof(j->data_rack), "%s", data_rack);
	j->work_ms = work_ms;
	j->lasts = more && strstr(more, "\"long_running\":true");
	memcpy(j->fails_after_ms, next_fails_ms, sizeof(next_fails_ms));
	j->gpu = gpu;
	j->cpu = cpu;
	j->mem_mb = cpu;
	pthread_mutex_unlock(&stand.lock);
	status = call(host, "POST", path, body, NULL, 0);
	pthread_mutex_lock(&stand.lock);
	if (status >= 200 && status < 300)
		j->accepted_ms = steady_ms();
	pthread_mutex_unlock(&stand.lock);
	note("consumer: POST %s to host %u: %d; %s", path, host + 1, status,
	     body);
	return j;
}

/* argv: folder for settings, record, 1 with the disruption. */
void begin_case(char **argv, uint32_t hosts)
{
	char path[512];
	FILE *f;

	stand.record = fopen(argv[2], "w");
	if (!stand.record || !stand_start(argv[1], hosts))
		exit(2);
	note("%u minions, %u hosts, trouble %s", stand.minion_count, hosts,
	     argv[3]);
	snprintf(path, sizeof(path), "%s/begun", argv[1]);
	f = fopen(path, "w");
	if (!f)
		exit(2);
	fclose(f);
	put_config(1, 1);
	if (!wait_ready(20000))
		exit(2);
	sleep_ms(3000);
}

uint32_t gpus_used_percent(void)
{
	uint32_t used = 0;
	uint32_t all = 0;

	for (uint32_t i = 0; i < stand.minion_count; i++) {
		const minion_t *m = &stand.minions[i];

		if (m->gone)
			continue;
		all += m->gpu;
		for (uint32_t k = 0; k < m->item_count; k++)
			used += job_of(m->items[k].task)->gpu;
	}
	return all ? used * 100 / all : 0;
}
