#include <string.h>

#include "fireflyledge/budget.h"

/** 30 Mbit/s each way. */
#define DEFAULT_BYTES_PER_S 3750000
/** Share of the link for requests; the rest is for control messages. */
#define REQUEST_PERCENT 80
/** Customers whose bytes are counted; if there are more, all start anew. */
#define CUSTOMERS_MAX 4096
/** Recent bytes of the customers are halved at this interval. */
#define DECAY_MS 1000
/** Bytes worth sending to get a millisecond of slot time. */
#define BYTES_PER_COST_MS 4096

/** Percentage of the bucket that a request of a class must leave unused. */
static const uint32_t reserve_percent[FFL_URGENCY__MAX] = {
	[FFL_URGENT] = 0,
	[FFL_NORMAL] = 25,
	[FFL_BATCH] = 50,
};

/** Worth of slot time of a class, relative to batch. */
static const uint32_t class_value[FFL_URGENCY__MAX] = {
	[FFL_URGENT] = 16,
	[FFL_NORMAL] = 4,
	[FFL_BATCH] = 1,
};

static uint64_t *get_recent_bytes(ffl_link_t *link, const char *customer);
static void decay_recent_bytes(ffl_link_t *link, uint64_t now_ms);

void ffl_link_init(ffl_link_t *link, uint64_t bytes_per_s)
{
	memset(link, 0, sizeof(*link));
	link->bytes_per_s = bytes_per_s ? bytes_per_s : DEFAULT_BYTES_PER_S;
	link->recent_bytes = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   g_free, g_free);
}

void ffl_link_finish(ffl_link_t *link)
{
	g_hash_table_destroy(link->recent_bytes);
}

uint64_t ffl_link_request_rate(const ffl_link_t *link)
{
	return link->bytes_per_s * REQUEST_PERCENT / 100;
}

static uint64_t *get_recent_bytes(ffl_link_t *link, const char *customer)
{
	uint64_t id = ffl_hash(customer, strlen(customer), 0);
	uint64_t *bytes = g_hash_table_lookup(link->recent_bytes, &id);
	gint64 *key;

	if (bytes)
		return bytes;
	if (g_hash_table_size(link->recent_bytes) >= CUSTOMERS_MAX)
		g_hash_table_remove_all(link->recent_bytes);
	key = g_new(gint64, 1);
	*key = (gint64)id;
	bytes = g_new0(uint64_t, 1);
	g_hash_table_insert(link->recent_bytes, key, bytes);
	return bytes;
}

static void decay_recent_bytes(ffl_link_t *link, uint64_t now_ms)
{
	GHashTableIter it;
	gpointer value;

	if (now_ms - link->decayed_ms < DECAY_MS)
		return;
	link->decayed_ms = now_ms;
	g_hash_table_iter_init(&it, link->recent_bytes);
	while (g_hash_table_iter_next(&it, NULL, &value))
		*(uint64_t *)value /= 2;
}

bool ffl_link_may_send(ffl_link_t *link, const char *customer,
		       ffl_urgency_t urgency, uint64_t bytes, uint32_t cost_ms,
		       uint32_t hosts, uint64_t now_ms)
{
	uint64_t rate = ffl_link_request_rate(link);
	uint64_t host_rate = rate / MAX(hosts, 1);
	uint64_t worth_bytes = (uint64_t)cost_ms * BYTES_PER_COST_MS;
	uint64_t reserve_bytes = host_rate * reserve_percent[urgency] / 100;

	decay_recent_bytes(link, now_ms);
	ffl_bucket_refill(&link->out, rate, rate, hosts, now_ms);
	ffl_bucket_refill(&link->in, rate, rate, hosts, now_ms);
	if (bytes > worth_bytes * class_value[urgency])
		return false;
	if (*get_recent_bytes(link, customer) > host_rate / 2)
		reserve_bytes = MAX(reserve_bytes, host_rate / 2);
	return link->out.micro_tokens / 1000000 >=
		       (int64_t)(bytes + reserve_bytes) &&
	       link->in.micro_tokens / 1000000 >= (int64_t)reserve_bytes;
}

void ffl_link_charge(ffl_link_t *link, const char *customer, uint64_t out_bytes,
		     uint64_t in_bytes)
{
	link->out.micro_tokens -= (int64_t)(out_bytes * 1000000);
	link->in.micro_tokens -= (int64_t)(in_bytes * 1000000);
	link->total_out_bytes += out_bytes;
	link->total_in_bytes += in_bytes;
	*get_recent_bytes(link, customer) += out_bytes + in_bytes;
}
