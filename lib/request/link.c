#include <string.h>

#include "fireflyledge/budget.h"

/** 30 Mbit/s each way. */
#define DEFAULT_BYTES_PER_S 3750000
/** Share that requests may take; the rest is left to control. */
#define REQUEST_PERCENT 80
#define CUSTOMERS_MAX	4096
#define DECAY_MS	1000
/** Bytes that a millisecond of slot time is worth. */
#define BYTES_PER_COST_MS 4096

/** Part of the bucket that must be left, in percent, by class. */
static const uint32_t reserve_percent[FFL_URGENCY__MAX] = {
	[FFL_URGENT] = 0,
	[FFL_NORMAL] = 25,
	[FFL_BATCH] = 50,
};

/** Value of a byte of a class against a batch byte. */
static const uint32_t class_value[FFL_URGENCY__MAX] = {
	[FFL_URGENT] = 16,
	[FFL_NORMAL] = 4,
	[FFL_BATCH] = 1,
};

static uint64_t *spent_of(ffl_link_t *link, const char *customer);
static void decay(ffl_link_t *link, uint64_t now_ms);

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

static uint64_t *spent_of(ffl_link_t *link, const char *customer)
{
	uint64_t id = ffl_hash(customer, strlen(customer), 0);
	uint64_t *spent = g_hash_table_lookup(link->recent_bytes, &id);
	gint64 *key;

	if (spent)
		return spent;
	if (g_hash_table_size(link->recent_bytes) >= CUSTOMERS_MAX)
		g_hash_table_remove_all(link->recent_bytes);
	key = g_new(gint64, 1);
	*key = (gint64)id;
	spent = g_new0(uint64_t, 1);
	g_hash_table_insert(link->recent_bytes, key, spent);
	return spent;
}

/* Halves every second what the customers have spent. */
static void decay(ffl_link_t *link, uint64_t now_ms)
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
		       uint32_t parts, uint64_t now_ms)
{
	uint64_t rate = ffl_link_request_rate(link);
	uint64_t whole = rate / MAX(parts, 1);
	uint64_t worth = (uint64_t)cost_ms * BYTES_PER_COST_MS;
	uint64_t reserve = whole * reserve_percent[urgency] / 100;

	decay(link, now_ms);
	ffl_bucket_refill(&link->out, rate, rate, parts, now_ms);
	ffl_bucket_refill(&link->in, rate, rate, parts, now_ms);
	if (bytes > worth * class_value[urgency])
		return false;
	if (*spent_of(link, customer) > whole / 2)
		reserve = MAX(reserve, whole / 2);
	return link->out.micro_tokens / 1000000 >= (int64_t)(bytes + reserve) &&
	       link->in.micro_tokens / 1000000 >= (int64_t)reserve;
}

void ffl_link_charge(ffl_link_t *link, const char *customer, uint64_t out_bytes,
		     uint64_t in_bytes)
{
	link->out.micro_tokens -= (int64_t)(out_bytes * 1000000);
	link->in.micro_tokens -= (int64_t)(in_bytes * 1000000);
	link->total_out_bytes += out_bytes;
	link->total_in_bytes += in_bytes;
	*spent_of(link, customer) += out_bytes + in_bytes;
}
