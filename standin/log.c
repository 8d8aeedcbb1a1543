#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "standin/standin.h"

#define MS_PER_S     1000
#define NS_PER_MS    1000000
#define NS_PER_S     1000000000
#define CONTENT_TYPE "application/msgpack"

static int serve_append(standin_t *p, struct mg_connection *conn);
static int serve_read(standin_t *p, struct mg_connection *conn);
static uint64_t query_number(const char *query, const char *name);
static void wait_for_records(standin_t *p, uint64_t from, uint32_t wait_ms);
static void pause_ms(uint32_t ms);

static void pause_ms(uint32_t ms)
{
	struct timespec ts = { ms / MS_PER_S,
			       (long)(ms % MS_PER_S) * NS_PER_MS };

	if (ms)
		nanosleep(&ts, NULL);
}

static uint64_t query_number(const char *query, const char *name)
{
	char value[32];

	if (!query ||
	    mg_get_var(query, strlen(query), name, value, sizeof(value)) < 0)
		return 0;
	return strtoull(value, NULL, 10);
}

static int serve_append(standin_t *p, struct mg_connection *conn)
{
	GByteArray *body = g_byte_array_new();
	ffl_log_batch_t batch;
	ffl_log_ack_t ack;
	ffl_arena_t arena;
	ffl_bytes_t in;
	ffl_bytes_t records[FFL_LOG_BATCH_MAX];
	ffl_status_t status;
	const ffl_log_item_t *items;

	ffl_arena_init(&arena);
	standin_read_body(conn, body);
	in = (ffl_bytes_t){ body->data, body->len };
	if (ffl_schema_decode(&ffl_log_batch_schema, in, &batch, &arena,
			      NULL) != FFL_OK) {
		standin_send(conn, 400, CONTENT_TYPE, "", 0);
		goto out;
	}
	items = batch.items.items;
	for (uint32_t i = 0; i < batch.items.count; i++)
		records[i] = items[i].data;
	pthread_mutex_lock(&p->lock);
	status = fake_log_append(&p->log, records, batch.items.count,
				 &ack.offset);
	pthread_cond_broadcast(&p->appended);
	pthread_mutex_unlock(&p->lock);
	g_byte_array_set_size(body, 0);
	ffl_schema_encode(&ffl_log_ack_schema, &ack, body);
	if (status != FFL_OK)
		standin_send(conn, status == FFL_UNKNOWN ? 504 : 503,
			     CONTENT_TYPE, "", 0);
	else
		standin_send(conn, 200, CONTENT_TYPE, body->data, body->len);
out:
	ffl_arena_finish(&arena);
	g_byte_array_free(body, TRUE);
	return 1;
}

/* Waits for a record at or after an offset, at most wait_ms. Called with the
 * lock held. */
static void wait_for_records(standin_t *p, uint64_t from, uint32_t wait_ms)
{
	struct timespec ts;
	int rc = 0;

	clock_gettime(CLOCK_REALTIME, &ts);
	ts.tv_sec += wait_ms / MS_PER_S;
	ts.tv_nsec += (long)(wait_ms % MS_PER_S) * NS_PER_MS;
	if (ts.tv_nsec >= NS_PER_S) {
		ts.tv_sec++;
		ts.tv_nsec -= NS_PER_S;
	}
	while (rc == 0 && from >= fake_log_end(&p->log) && !p->log.down)
		rc = pthread_cond_timedwait(&p->appended, &p->lock, &ts);
}

static int serve_read(standin_t *p, struct mg_connection *conn)
{
	const char *query = mg_get_request_info(conn)->query_string;
	uint64_t from = query_number(query, "from");
	uint64_t max = query_number(query, "max");
	ffl_log_row_t rows[FFL_LOG_PAGE_MAX];
	ffl_log_page_t page = { .rows = { rows, 0 } };
	GByteArray *body = g_byte_array_new();

	if (max > FFL_LOG_PAGE_MAX)
		max = FFL_LOG_PAGE_MAX;
	pthread_mutex_lock(&p->lock);
	wait_for_records(p, from, (uint32_t)query_number(query, "wait_ms"));
	if (p->log.down) {
		pthread_mutex_unlock(&p->lock);
		standin_send(conn, 503, CONTENT_TYPE, "", 0);
		g_byte_array_free(body, TRUE);
		return 1;
	}
	page.first = p->log.first;
	page.end = fake_log_end(&p->log);
	if (from < p->log.first)
		from = p->log.first;
	for (; from < page.end && page.rows.count < max; from++) {
		ffl_log_row_t *row = &rows[page.rows.count++];

		row->offset = from;
		row->data = fake_log_get(&p->log, from);
	}
	ffl_schema_encode(&ffl_log_page_schema, &page, body);
	pthread_mutex_unlock(&p->lock);
	standin_send(conn, 200, CONTENT_TYPE, body->data, body->len);
	g_byte_array_free(body, TRUE);
	return 1;
}

int standin_serve_log(struct mg_connection *conn, void *standin)
{
	standin_t *p = standin;
	bool down;
	uint32_t delay_ms;

	pthread_mutex_lock(&p->lock);
	down = p->log.down;
	delay_ms = p->log_delay_ms;
	pthread_mutex_unlock(&p->lock);
	pause_ms(delay_ms);
	if (down) {
		standin_send(conn, 503, CONTENT_TYPE, "", 0);
		return 1;
	}
	if (strcmp(mg_get_request_info(conn)->request_method, "POST") == 0)
		return serve_append(p, conn);
	return serve_read(p, conn);
}
