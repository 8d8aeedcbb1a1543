#include "daemon/daemon.h"
#include "daemon/pool.h"

static void pool_conn_free(gpointer p);
static void list_free(gpointer p);
static gboolean evict_expired(gpointer key, gpointer value, gpointer user);

static void pool_conn_free(gpointer p)
{
	ffld_pool_conn_t *pc = p;

	curl_easy_cleanup(pc->easy);
	curl_multi_cleanup(pc->multi);
	g_free(pc);
}

static void list_free(gpointer p)
{
	g_ptr_array_free(p, TRUE);
}

void ffld_pool_init(ffld_pool_t *pool)
{
	pthread_mutex_init(&pool->lock, NULL);
	pool->idle = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   list_free);
	pool->count = 0;
}

void ffld_pool_finish(ffld_pool_t *pool)
{
	g_hash_table_destroy(pool->idle);
	pthread_mutex_destroy(&pool->lock);
}

/* Each list is in order of age: a connection is appended when it falls idle. */
static gboolean evict_expired(gpointer key, gpointer value, gpointer user)
{
	ffld_pool_t *pool = user;
	GPtrArray *list = value;
	uint64_t now = ffld_now_ms();

	while (list->len) {
		const ffld_pool_conn_t *oldest = g_ptr_array_index(list, 0);

		if (now - oldest->idle_since_ms < FFLD_POOL_IDLE_MS)
			return FALSE;
		g_ptr_array_remove_index(list, 0);
		pool->count--;
	}
	return TRUE;
}

ffld_pool_conn_t *ffld_pool_acquire(ffld_pool_t *pool, const char *addr,
				    bool fresh)
{
	ffld_pool_conn_t *pc = NULL;
	GPtrArray *list;

	pthread_mutex_lock(&pool->lock);
	list = fresh ? NULL : g_hash_table_lookup(pool->idle, addr);
	if (list && list->len) {
		pc = g_ptr_array_steal_index(list, list->len - 1);
		pool->count--;
	}
	pthread_mutex_unlock(&pool->lock);
	if (pc)
		return pc;
	pc = g_new0(ffld_pool_conn_t, 1);
	pc->multi = curl_multi_init();
	pc->easy = curl_easy_init();
	curl_multi_setopt(pc->multi, CURLMOPT_MAXCONNECTS, 1L);
	return pc;
}

void ffld_pool_release(ffld_pool_t *pool, const char *addr,
		       ffld_pool_conn_t *pc, bool reusable)
{
	GPtrArray *list;

	curl_easy_reset(pc->easy);
	pc->idle_since_ms = ffld_now_ms();
	pthread_mutex_lock(&pool->lock);
	g_hash_table_foreach_remove(pool->idle, evict_expired, pool);
	list = g_hash_table_lookup(pool->idle, addr);
	if (!list) {
		list = g_ptr_array_new_with_free_func(pool_conn_free);
		g_hash_table_insert(pool->idle, g_strdup(addr), list);
	}
	reusable = reusable && list->len < FFLD_POOL_IDLE_MAX &&
		   pool->count < FFLD_POOL_ALL_MAX;
	if (reusable) {
		g_ptr_array_add(list, pc);
		pool->count++;
	}
	pthread_mutex_unlock(&pool->lock);
	if (!reusable)
		pool_conn_free(pc);
}
