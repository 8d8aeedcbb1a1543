#include <string.h>

#include "fakes/site_int.h"

/** A silent worker's entry is removed after so many missed reports. */
#define SILENT_REPORTS 3
/** How far a clock that jumps sets back the start time of an incarnation. */
#define CLOCK_BACK_MS 4987
/** Clocks that start anywhere: half within this of the clock before, the others
 * below the second. */
#define CLOCK_NEAR_MS 15000
#define CLOCK_FAR_MS  8000000

/** Key that evacuates a data centre, before its name. */
#define EVACUATE_PREFIX "evacuate/"
/** What the operators write under it. */
#define EVACUATE_VALUE "{}"

static const char *const dc_names[SITE_DCS] = { "norte", "sur" };

static void remove_entry(site_t *s, const char *id);
static uint64_t first_clock_ms(site_t *s, const task_worker_t *before);

const char *site_dc_name(uint32_t dc)
{
	return dc_names[dc];
}

void site_service_name(uint32_t number, ffl_name_t out)
{
	if (number)
		g_snprintf(out, sizeof(ffl_name_t), "survey-%u", number);
	else
		ffl_copy(out, sizeof(ffl_name_t), "survey");
}

uint32_t site_evacuated_dc(const char *key)
{
	uint32_t dc = 0;

	if (!g_str_has_prefix(key, EVACUATE_PREFIX))
		return SITE_DCS;
	key += strlen(EVACUATE_PREFIX);
	while (dc < SITE_DCS && strcmp(dc_names[dc], key) != 0)
		dc++;
	return dc;
}

void site_evacuate(site_t *s, uint32_t dc, bool evacuated)
{
	char *key = g_strconcat(EVACUATE_PREFIX, dc_names[dc], NULL);

	keyed_log_put(&s->topics[FFL_TOPIC_CONFIG], key, EVACUATE_VALUE,
		      evacuated ? strlen(EVACUATE_VALUE) : 0);
	g_free(key);
	if (!evacuated)
		s->evacuated_ms[dc] = 0;
	else if (!s->evacuated_ms[dc])
		s->evacuated_ms[dc] = s->now_ms;
}

void site_workers_init(site_t *s)
{
	for (uint32_t i = 0; i < s->workers_count; i++)
		ffl_copy(s->workers[i].dc, sizeof(s->workers[i].dc),
			 dc_names[i % SITE_DCS]);
	s->reported_ms =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->unanswered_ms =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->silent_addrs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void site_workers_finish(site_t *s)
{
	g_hash_table_destroy(s->reported_ms);
	g_hash_table_destroy(s->unanswered_ms);
	g_hash_table_destroy(s->silent_addrs);
}

static void remove_entry(site_t *s, const char *id)
{
	if (g_hash_table_remove(s->reported_ms, id))
		keyed_log_put(&s->topics[FFL_TOPIC_WORKERS], id, "", 0);
}

void site_report_workers(site_t *s)
{
	GHashTableIter iter;
	gpointer id;
	gpointer at;

	for (uint32_t i = 0; i < s->workers_count; i++) {
		task_worker_t *w = &s->workers[i];
		ffl_worker_entry_t entry;

		if (s->now_ms % SITE_REPORT_MS != i * SITE_STEP_MS ||
		    !w->alive || (s->entries_cut >> i & 1))
			continue;
		task_worker_fill_entry(w, s->now_ms, &entry);
		keyed_log_put(&s->topics[FFL_TOPIC_WORKERS], w->id, &entry,
			      sizeof(entry));
		w->listed = true;
		g_hash_table_replace(s->reported_ms, g_strdup(w->id),
				     g_memdup2(&s->now_ms, sizeof(s->now_ms)));
	}
	g_hash_table_iter_init(&iter, s->reported_ms);
	while (g_hash_table_iter_next(&iter, &id, &at)) {
		if (s->now_ms - *(uint64_t *)at <=
		    SILENT_REPORTS * SITE_REPORT_MS)
			continue;
		keyed_log_put(&s->topics[FFL_TOPIC_WORKERS], id, "", 0);
		g_hash_table_iter_remove(&iter);
	}
}

bool site_addr_refuses(const site_t *s, const char *addr)
{
	return !g_hash_table_contains(s->silent_addrs, addr);
}

void site_worker_crash(site_t *s, uint32_t worker)
{
	task_worker_t *w = &s->workers[worker];

	if (!w->alive)
		return;
	task_worker_crash(w);
	g_hash_table_add(s->silent_addrs, g_strdup(w->addr));
}

void site_worker_exit(site_t *s, uint32_t worker)
{
	if (s->workers[worker].alive)
		task_worker_crash(&s->workers[worker]);
}

void site_worker_leave(site_t *s, uint32_t worker)
{
	site_worker_exit(s, worker);
	s->workers[worker].listed = false;
	remove_entry(s, s->workers[worker].id);
}

void site_worker_remove(site_t *s, uint32_t worker)
{
	site_worker_exit(s, worker);
	s->removed |= 1U << worker;
}

/* Returns where the clock of a worker's next incarnation begins. */
static uint64_t first_clock_ms(site_t *s, const task_worker_t *before)
{
	uint64_t clock_ms = task_worker_clock(before, s->now_ms);

	if (!s->clocks_vary)
		return TASK_WORKER_FIRST_CLOCK_MS;
	if (ffl_rng_below(&s->clock_rng, 2))
		return 1 + ffl_rng_below(&s->clock_rng, CLOCK_FAR_MS);
	clock_ms += ffl_rng_below(&s->clock_rng, 2 * CLOCK_NEAR_MS);
	return MAX(clock_ms, CLOCK_NEAR_MS + 1) - CLOCK_NEAR_MS;
}

void site_vary_clocks(site_t *s)
{
	s->clocks_vary = true;
	for (uint32_t i = 0; i < s->workers_count; i++)
		s->workers[i].first_clock_ms =
			first_clock_ms(s, &s->workers[i]);
}

void site_worker_boot(site_t *s, uint32_t worker)
{
	task_worker_t *w = &s->workers[worker];

	if (w->alive)
		return;
	if (s->removed >> worker & 1) {
		s->removed &= ~(1U << worker);
		g_snprintf(w->id, sizeof(w->id), "w%02u-%u", worker,
			   ++s->new_workers);
		ffl_copy(w->addr, sizeof(w->addr), w->id);
	}
	g_hash_table_remove(s->silent_addrs, w->addr);
	task_worker_boot(w, s->now_ms, (int64_t)s->now_ms + 1,
			 first_clock_ms(s, w));
	w->listed = g_hash_table_contains(s->reported_ms, w->id);
	site_service_name(s->service, w->service);
}

void site_worker_restart(site_t *s, uint32_t worker, bool clock_back)
{
	task_worker_t *w = &s->workers[worker];
	int64_t born_ms = w->born_ms;

	site_worker_exit(s, worker);
	site_worker_boot(s, worker);
	if (clock_back)
		w->born_ms = born_ms - CLOCK_BACK_MS;
}

void site_worker_replace(site_t *s, uint32_t worker)
{
	task_worker_t *w = &s->workers[worker];

	site_worker_exit(s, worker);
	s->removed &= ~(1U << worker);
	g_snprintf(w->id, sizeof(w->id), "w%02u-%u", worker, ++s->new_workers);
	site_worker_boot(s, worker);
}

void site_worker_drain(site_t *s, uint32_t worker)
{
	s->workers[worker].draining = true;
}
