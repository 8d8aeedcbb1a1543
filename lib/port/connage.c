#include <string.h>

#include "fireflyledge/connage.h"

#define MS_PER_S 1000
/** For so long after a time-out every call opens a connection: the shortest
 * life that libcurl can limit is a second, and ages are rounded down. */
#define FRESH_S 2

static void prune(ffl_connage_t *c, uint64_t now_ms);

void ffl_connage_init(ffl_connage_t *c)
{
	c->doubted =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->pruned_ms = 0;
}

void ffl_connage_finish(ffl_connage_t *c)
{
	g_hash_table_destroy(c->doubted);
}

/* Addresses of workers are used for a while only. */
static void prune(ffl_connage_t *c, uint64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	if (now_ms - c->pruned_ms < FFL_CONN_LIFE_S * MS_PER_S)
		return;
	c->pruned_ms = now_ms;
	g_hash_table_iter_init(&iter, c->doubted);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (now_ms - *(uint64_t *)value > FFL_CONN_LIFE_S * MS_PER_S)
			g_hash_table_iter_remove(&iter);
	}
}

void ffl_connage_doubt(ffl_connage_t *c, const char *addr, uint64_t now_ms)
{
	prune(c, now_ms);
	g_hash_table_replace(c->doubted, g_strdup(addr),
			     g_memdup2(&now_ms, sizeof(now_ms)));
}

void ffl_connage_addr(const char *url, char *out, size_t out_bytes)
{
	const char *host = strstr(url, "://");

	host = host ? host + strlen("://") : url;
	g_snprintf(out, (gulong)out_bytes, "%.*s", (int)strcspn(host, "/?"),
		   host);
}

/* The age of a connection is known in whole seconds, rounded down. One that is
 * as old as the time-out rounded down may be older than it. */
ffl_conn_choice_t ffl_connage_choose(const ffl_connage_t *c, const char *addr,
				     uint64_t now_ms)
{
	const uint64_t *doubted_ms = g_hash_table_lookup(c->doubted, addr);
	uint64_t since_s;

	if (!doubted_ms)
		return (ffl_conn_choice_t){ .life_max_s = FFL_CONN_LIFE_S };
	since_s = (now_ms - *doubted_ms) / MS_PER_S;
	if (since_s < FRESH_S)
		return (ffl_conn_choice_t){ .fresh = true,
					    .life_max_s = FFL_CONN_LIFE_S };
	return (ffl_conn_choice_t){
		.life_max_s = (uint32_t)MIN(since_s - 1, FFL_CONN_LIFE_S),
	};
}
