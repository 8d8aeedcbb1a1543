#include <string.h>

#include "standin/standin.h"

#define ROUTE_PREFIX "/v1/workers/"

worker_t *standin_find_worker(standin_t *p, const char *name)
{
	for (guint i = 0; i < p->workers->len; i++) {
		worker_t *w = g_ptr_array_index(p->workers, i);

		if (strcmp(w->fake.name, name) == 0)
			return w;
	}
	return NULL;
}

int standin_serve_worker(struct mg_connection *conn, void *standin)
{
	const char *path = mg_get_request_info(conn)->local_uri;
	worker_t *w = standin_find_worker(standin, path + strlen(ROUTE_PREFIX));
	GByteArray *body = g_byte_array_new();
	ffl_worker_reply_t reply;
	ffl_worker_cmd_t cmd;
	ffl_arena_t arena;
	ffl_bytes_t in;

	ffl_arena_init(&arena);
	standin_read_body(conn, body);
	in = (ffl_bytes_t){ body->data, body->len };
	if (!w || w->frozen ||
	    ffl_schema_decode(&ffl_worker_cmd_schema, in, &cmd, &arena, NULL)) {
		standin_send(conn, w ? 500 : 404, "text/plain", "", 0);
	} else {
		pthread_mutex_lock(&w->lock);
		fake_worker_command(&w->fake, &cmd, standin_now_ms(), &reply);
		g_byte_array_set_size(body, 0);
		ffl_schema_encode(&ffl_worker_reply_schema, &reply, body);
		pthread_mutex_unlock(&w->lock);
		standin_send(conn, 200, "application/msgpack", body->data,
			     body->len);
	}
	ffl_arena_finish(&arena);
	g_byte_array_free(body, TRUE);
	return 1;
}
