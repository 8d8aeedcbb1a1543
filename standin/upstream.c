#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "standin/standin.h"

#define MS_PER_S  1000
#define NS_PER_MS 1000000

static uint32_t work_ms(const struct mg_connection *conn);

upstream_t *standin_find_upstream(platform_t *p, const char *name)
{
	for (guint i = 0; i < p->upstreams->len; i++) {
		upstream_t *u = g_ptr_array_index(p->upstreams, i);

		if (strcmp(u->name, name) == 0)
			return u;
	}
	return NULL;
}

static uint32_t work_ms(const struct mg_connection *conn)
{
	const char *text = mg_get_header(conn, "X-Work-Ms");

	return text ? (uint32_t)strtoul(text, NULL, 10) : 0;
}

/* Echoes the body after the time that the request asks for. */
int standin_upstream(struct mg_connection *conn, void *upstream)
{
	upstream_t *u = upstream;
	GByteArray *body = g_byte_array_new();
	uint32_t ms = work_ms(conn);
	struct timespec ts = { ms / MS_PER_S,
			       (long)(ms % MS_PER_S) * NS_PER_MS };
	bool room;

	standin_read(conn, body);
	pthread_mutex_lock(&u->lock);
	room = u->busy < u->slots;
	if (room)
		u->busy++;
	if (u->busy > u->peak)
		u->peak = u->busy;
	pthread_mutex_unlock(&u->lock);
	if (!room) {
		mg_printf(conn, "HTTP/1.1 503 Busy\r\nX-Did-Not-Run: 1\r\n"
				"Content-Length: 0\r\n\r\n");
		g_byte_array_free(body, TRUE);
		return 1;
	}
	if (ms)
		nanosleep(&ts, NULL);
	mg_printf(conn,
		  "HTTP/1.1 200 OK\r\nX-Served-By: %s\r\n"
		  "Content-Type: text/plain\r\nContent-Length: %u\r\n\r\n",
		  u->name, body->len);
	if (body->len)
		mg_write(conn, body->data, body->len);
	pthread_mutex_lock(&u->lock);
	u->busy--;
	u->served++;
	pthread_mutex_unlock(&u->lock);
	g_byte_array_free(body, TRUE);
	return 1;
}
