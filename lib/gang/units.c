#include <string.h>

#include "lib/gang/witness_int.h"

static uint64_t content_of(const ffl_config_t *cfg, const char *dc);
static void load_units(ffl_witness_t *w, const ffl_config_t *cfg,
		       const char *dc);
static uint32_t nth_of_shape(const GArray *units,
			     const ffl_guarantee_unit_t *like, uint32_t n);
static uint32_t rank_in_shape(const GArray *units, uint32_t at);
static void carry_over(ffl_witness_t *w, GArray *old, ffl_gangs_t *g);

static uint64_t content_of(const ffl_config_t *cfg, const char *dc)
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

/* Returns the place + 1 of the n-th unit of a shape, or 0. */
static uint32_t nth_of_shape(const GArray *units,
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

static uint32_t rank_in_shape(const GArray *units, uint32_t at)
{
	const ffl_guarantee_unit_t *u =
		&g_array_index(units, ffl_guarantee_unit_t, at);
	uint32_t rank = 0;

	while (at-- > 0 &&
	       ffl_unit_same_shape(
		       &g_array_index(units, ffl_guarantee_unit_t, at), u))
		rank++;
	return rank;
}

/* Units that stay keep their regions and the jobs inside. */
static void carry_over(ffl_witness_t *w, GArray *old, ffl_gangs_t *g)
{
	uint32_t *moved = g_new0(uint32_t, old->len + 1);

	for (guint i = 0; i < old->len; i++) {
		const ffl_guarantee_unit_t *u =
			&g_array_index(old, ffl_guarantee_unit_t, i);

		moved[i + 1] = nth_of_shape(w->units, u, rank_in_shape(old, i));
		if (moved[i + 1])
			ffl_unit(w, moved[i + 1] - 1)->region = u->region;
	}
	for (guint i = 0; g && i < g->open->len; i++) {
		ffl_job_t *job = g_array_index(g->open, ffl_job_t *, i);

		job->unit = job->unit <= old->len ? moved[job->unit] : 0;
	}
	g_free(moved);
}

/* Loads the units anew where the guarantees of the cell changed. */
void ffl_witness_reload(ffl_witness_t *w, ffl_gangs_t *g,
			const ffl_config_t *cfg, const char *dc)
{
	uint64_t content = content_of(cfg, dc);
	GArray *old = w->units;

	if (content == w->guarantees_hash)
		return;
	w->units = g_array_new(FALSE, TRUE, sizeof(ffl_guarantee_unit_t));
	load_units(w, cfg, dc);
	carry_over(w, old, g);
	g_array_free(old, TRUE);
	w->guarantees_hash = content;
}
