#include "daemon/daemon.h"
#include "daemon/pool.h"

static void link_free(gpointer p);
static void list_free(gpointer p);
static gboolean drop_old(gpointer key, gpointer value, gpointer user);

static void link_free(gpointer p)
{
	ffld_link_t *link = p;

	curl_easy_cleanup(link->easy);
	curl_multi_cleanup(link->multi);
	g_free(link);
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

/* The oldest link of a list comes first. */
static gboolean drop_old(gpointer key, gpointer value, gpointer user)
{
	ffld_pool_t *pool = user;
	GPtrArray *list = value;
	uint64_t now = ffld_now_ms();

	while (list->len) {
		const ffld_link_t *first = g_ptr_array_index(list, 0);

		if (now - first->idle_since_ms < FFLD_POOL_IDLE_MS)
			return FALSE;
		g_ptr_array_remove_index(list, 0);
		pool->count--;
	}
	return TRUE;
}

ffld_link_t *ffld_pool_take(ffld_pool_t *pool, const char *addr, bool fresh)
{
	ffld_link_t *link = NULL;
	GPtrArray *list;

	pthread_mutex_lock(&pool->lock);
	list = fresh ? NULL : g_hash_table_lookup(pool->idle, addr);
	if (list && list->len) {
		link = g_ptr_array_steal_index(list, list->len - 1);
		pool->count--;
	}
	pthread_mutex_unlock(&pool->lock);
	if (link)
		return link;
	link = g_new0(ffld_link_t, 1);
	link->multi = curl_multi_init();
	link->easy = curl_easy_init();
	curl_multi_setopt(link->multi, CURLMOPT_MAXCONNECTS, 1L);
	return link;
}

void ffld_pool_give(ffld_pool_t *pool, const char *addr, ffld_link_t *link,
		    bool good)
{
	GPtrArray *list;

	curl_easy_reset(link->easy);
	link->idle_since_ms = ffld_now_ms();
	pthread_mutex_lock(&pool->lock);
	g_hash_table_foreach_remove(pool->idle, drop_old, pool);
	list = g_hash_table_lookup(pool->idle, addr);
	if (!list) {
		list = g_ptr_array_new_with_free_func(link_free);
		g_hash_table_insert(pool->idle, g_strdup(addr), list);
	}
	good = good && list->len < FFLD_POOL_IDLE_MAX &&
	       pool->count < FFLD_POOL_ALL_MAX;
	if (good) {
		g_ptr_array_add(list, link);
		pool->count++;
	}
	pthread_mutex_unlock(&pool->lock);
	if (!good)
		link_free(link);
}
