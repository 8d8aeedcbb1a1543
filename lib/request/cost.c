#include <string.h>

#include "fireflyledge/cost.h"

/** Cost keys with a mean of their own; for others the default applies. */
#define KEYS_MAX	4096
#define DEFAULT_COST_MS 50
/** Resolution of a mean. */
#define PARTS_PER_MS 256
/** A new sample has a weight of 1 / 8 in the mean. */
#define SAMPLE_SHIFT 3

typedef struct {
	uint64_t key;
	int64_t parts; /**< in units of 1 ms / PARTS_PER_MS */
} mean_t;

void ffl_costs_init(ffl_costs_t *cs)
{
	cs->means = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					  NULL);
}

void ffl_costs_finish(ffl_costs_t *cs)
{
	g_hash_table_destroy(cs->means);
}

uint64_t ffl_cost_key(const char *customer, const char *kind)
{
	return ffl_hash(kind, strlen(kind),
			ffl_hash(customer, strlen(customer), 0));
}

uint32_t ffl_costs_expected_ms(const ffl_costs_t *cs, uint64_t key)
{
	const mean_t *m = g_hash_table_lookup(cs->means, &key);

	if (!m)
		return DEFAULT_COST_MS;
	return (uint32_t)MAX(m->parts / PARTS_PER_MS, 1);
}

void ffl_costs_learn(ffl_costs_t *cs, uint64_t key, uint32_t spent_ms)
{
	mean_t *m = g_hash_table_lookup(cs->means, &key);
	int64_t parts = (int64_t)spent_ms * PARTS_PER_MS;

	if (!m) {
		if (g_hash_table_size(cs->means) >= KEYS_MAX)
			return;
		m = g_new(mean_t, 1);
		m->key = key;
		m->parts = parts;
		g_hash_table_add(cs->means, m);
		return;
	}
	m->parts += (parts - m->parts) / (1 << SAMPLE_SHIFT);
}
