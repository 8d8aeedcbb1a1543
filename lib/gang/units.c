/**
 * @file units.c
 * @brief Guarantee units, built from the guarantees of the configuration.
 */
#include <string.h>

#include "lib/gang/witness_int.h"

static uint64_t hash_guarantees(const ffl_config_t *cfg, const char *dc);
static void load_units(ffl_witness_t *w, const ffl_config_t *cfg,
		       const char *dc);
static uint32_t find_nth_of_shape(const GArray *units,
				  const ffl_guarantee_unit_t *like, uint32_t n);
static uint32_t index_in_shape(const GArray *units, uint32_t index);
static void carry_over(ffl_witness_t *w, GArray *old, ffl_gangs_t *g);

static uint64_t hash_guarantees(const ffl_config_t *cfg, const char *dc)
{
	uint64_t h = 1;

	for (guint i = 0; i < cfg->guarantees->len; i++) {
		const ffl_guarantee_t *g =
			&g_array_index(cfg->guarantees, ffl_guarantee_t, i);

		if (strcmp(g->dc, dc) != 0)
			continue;
		h = ffl_hash(g->customer, strlen(g->customer), h);
		h = ffl_mix(h, g->revision);
		h = ffl_mix(h, ((uint64_t)g->count << 32) | g->accelerators);
		h = ffl_mix(h, g->adjacency);
	}
	return h;
}

bool ffl_unit_same_shape(const ffl_guarantee_unit_t *a,
			 const ffl_guarantee_unit_t *b)
{
	return a->accelerators == b->accelerators &&
	       a->adjacency == b->adjacency &&
	       strcmp(a->customer, b->customer) == 0;
}

static void load_units(ffl_witness_t *w, const ffl_config_t *cfg,
		       const char *dc)
{
	for (guint i = 0; i < cfg->guarantees->len; i++) {
		const ffl_guarantee_t *g =
			&g_array_index(cfg->guarantees, ffl_guarantee_t, i);
		ffl_guarantee_unit_t u = { .revision = g->revision,
					   .accelerators = g->accelerators,
					   .adjacency = g->adjacency };

		if (strcmp(g->dc, dc) != 0)
			continue;
		ffl_copy(u.customer, sizeof(u.customer), g->customer);
		u.customer_hash = ffl_hash(g->customer, strlen(g->customer), 0);
		for (uint32_t n = 0; n < g->count; n++)
			g_array_append_val(w->units, u);
	}
}

/* Returns the index + 1 of the n-th unit of a shape, or 0. */
static uint32_t find_nth_of_shape(const GArray *units,
				  const ffl_guarantee_unit_t *like, uint32_t n)
{
	for (guint i = 0; i < units->len; i++) {
		if (ffl_unit_same_shape(
			    &g_array_index(units, ffl_guarantee_unit_t, i),
			    like) &&
		    n-- == 0)
			return i + 1;
	}
	return 0;
}

static uint32_t index_in_shape(const GArray *units, uint32_t index)
{
	const ffl_guarantee_unit_t *u =
		&g_array_index(units, ffl_guarantee_unit_t, index);
	uint32_t n = 0;

	while (index-- > 0 &&
	       ffl_unit_same_shape(
		       &g_array_index(units, ffl_guarantee_unit_t, index), u))
		n++;
	return n;
}

/* Units that remain keep their regions and the jobs inside. */
static void carry_over(ffl_witness_t *w, GArray *old, ffl_gangs_t *g)
{
	uint32_t *new_units = g_new0(uint32_t, old->len + 1);

	for (guint i = 0; i < old->len; i++) {
		const ffl_guarantee_unit_t *u =
			&g_array_index(old, ffl_guarantee_unit_t, i);

		new_units[i + 1] =
			find_nth_of_shape(w->units, u, index_in_shape(old, i));
		if (new_units[i + 1])
			ffl_unit(w, new_units[i + 1] - 1)->region = u->region;
	}
	for (guint i = 0; g && i < g->open->len; i++) {
		ffl_job_t *job = g_array_index(g->open, ffl_job_t *, i);

		job->unit = job->unit <= old->len ? new_units[job->unit] : 0;
	}
	g_free(new_units);
}

void ffl_witness_reload(ffl_witness_t *w, ffl_gangs_t *g,
			const ffl_config_t *cfg, const char *dc)
{
	uint64_t hash = hash_guarantees(cfg, dc);
	GArray *old = w->units;

	if (hash == w->guarantees_hash)
		return;
	w->units = g_array_new(FALSE, TRUE, sizeof(ffl_guarantee_unit_t));
	load_units(w, cfg, dc);
	carry_over(w, old, g);
	g_array_free(old, TRUE);
	w->guarantees_hash = hash;
}
