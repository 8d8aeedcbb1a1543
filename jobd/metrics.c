/**
 * @file metrics.c
 * @brief Gauges and event counters in the Prometheus text format.
 */
#include <pthread.h>
#include <string.h>

#include "jobd/jobd.h"

/** Gauges of the host's state. */
typedef enum {
	GAUGE_LEADING,
	GAUGE_READY,
	GAUGE_CONFIG_VERSION,
	GAUGE_CONFIG_AGE,
	GAUGE_JOBS_AGE,
	GAUGE_JOBS,
	GAUGE_JOBS_OPEN,
	GAUGE_RUNS,
	GAUGE_WORKERS,
	GAUGE_COLD,
	GAUGE_EVACUATED,
	GAUGE_PENDING,
	GAUGE_TURNED_AWAY,
	GAUGE_TURNED_BACK,
	GAUGE_STARTS,
	GAUGE_PREEMPTED,
	GAUGE__MAX
} gauge_t;

static const struct {
	const char *name;
	const char *help;
} descriptions[GAUGE__MAX] = {
	[GAUGE_LEADING] = { "leading", "1 while this host leads" },
	[GAUGE_READY] = { "ready", "1 while this host accepts requests" },
	[GAUGE_CONFIG_VERSION] = { "config_version",
				   "version of the configuration in force" },
	[GAUGE_CONFIG_AGE] = { "config_age_ms",
			       "time since the configuration's topic was read "
			       "to its end" },
	[GAUGE_JOBS_AGE] = { "jobs_age_ms",
			     "time since the jobs' topic was read to its end" },
	[GAUGE_JOBS] = { "jobs", "jobs that this host knows" },
	[GAUGE_JOBS_OPEN] = { "jobs_open", "jobs that have not ended" },
	[GAUGE_RUNS] = { "runs", "runs at workers; of the leader only" },
	[GAUGE_WORKERS] = { "workers", "workers known; of the leader only" },
	[GAUGE_COLD] = { "workers_cold",
			 "of these, the ones that run slowly for a while after "
			 "their start; of the leader only" },
	[GAUGE_EVACUATED] = { "evacuated", "data centres that are evacuated" },
	[GAUGE_PENDING] = { "calls_pending", "requests that wait for the log" },
	[GAUGE_TURNED_AWAY] = { "turned_away",
				"submissions refused for want of room" },
	[GAUGE_TURNED_BACK] = { "turned_back",
				"submissions kept although they were to be "
				"refused: known, or the log was not read" },
	[GAUGE_STARTS] = { "starts", "runs that this host has ordered" },
	[GAUGE_PREEMPTED] = { "preempted",
			      "runs that this host has preempted" },
};

/** Counters of the dispatcher, each with a value for each reason. */
typedef enum {
	COUNTER_REPEATS,
	COUNTER_LOST_RUNS,
	COUNTER_LOST_WORK,
	COUNTER_LOST_WORKERS,
	COUNTER__MAX
} counter_index_t;

/** Most values of a counter. */
#define COUNTER_VALUES_MAX \
	MAX((uint32_t)FFL_REPLY__MAX, (uint32_t)FFL_LOSS__MAX)

/** A counter, of which ffl_dispatch_t has the values. */
typedef struct {
	const char *name;
	const char *help;
	const char *label;
	const char *(*value_name)(uint32_t value);
	uint32_t count; /**< number of values */
	size_t offset;	/**< of the first one in ffl_dispatch_t */
} counter_t;

static const counter_t counters[COUNTER__MAX] = {
	[COUNTER_REPEATS] = { "repeated_starts_total",
			      "start orders that were sent before, by outcome",
			      "outcome", ffl_reply_outcome_name, FFL_REPLY__MAX,
			      offsetof(ffl_dispatch_t, repeats) },
	[COUNTER_LOST_RUNS] = { "lost_runs_total",
				"runs that ended early, by reason", "why",
				ffl_loss_name, FFL_LOSS__MAX,
				offsetof(ffl_dispatch_t, lost_runs) },
	[COUNTER_LOST_WORK] = { "lost_work_core_ms_total",
				"their work since their start or last "
				"checkpoint, a GPU as 8 cores",
				"why", ffl_loss_name, FFL_LOSS__MAX,
				offsetof(ffl_dispatch_t, lost_work) },
	[COUNTER_LOST_WORKERS] = { "lost_workers_total",
				   "workers that were given up, by what told "
				   "the end of their leases",
				   "leases", ffl_lease_basis_name,
				   FFL_LEASE__MAX,
				   offsetof(ffl_dispatch_t, lost_workers) },
};

static void format_counter(GString *out, uint32_t counter);

static struct {
	pthread_mutex_t lock;
	GHashTable *events; /**< count by name of event */
	uint64_t gauges[GAUGE__MAX];
	uint64_t counters[COUNTER__MAX][COUNTER_VALUES_MAX];
} metrics;

void jobd_metrics_init(void)
{
	jobd_hist_init();
	pthread_mutex_init(&metrics.lock, NULL);
	metrics.events =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void jobd_metrics_count_event(const char *event)
{
	gsize n;

	pthread_mutex_lock(&metrics.lock);
	n = GPOINTER_TO_SIZE(g_hash_table_lookup(metrics.events, event));
	g_hash_table_replace(metrics.events, g_strdup(event),
			     GSIZE_TO_POINTER(n + 1));
	pthread_mutex_unlock(&metrics.lock);
}

void jobd_metrics_update(const ffl_node_t *n)
{
	const ffl_tail_t *tails = n->tails;
	const uint64_t values[GAUGE__MAX] = {
		[GAUGE_LEADING] = n->lead.leading,
		[GAUGE_READY] = n->ready,
		[GAUGE_CONFIG_VERSION] = n->routes.version,
		[GAUGE_CONFIG_AGE] =
			n->now_ms - tails[FFL_TOPIC_CONFIG].caught_up_ms,
		[GAUGE_JOBS_AGE] = n->now_ms - ffl_node_jobs_caught_up_ms(n),
		[GAUGE_JOBS] = g_hash_table_size(n->flows.by_id),
		[GAUGE_JOBS_OPEN] = n->flows.open->len,
		[GAUGE_RUNS] = n->dispatch.runs->len,
		[GAUGE_WORKERS] = g_hash_table_size(n->dispatch.workers),
		[GAUGE_COLD] = n->dispatch.cold_workers,
		[GAUGE_EVACUATED] = g_hash_table_size(n->evacuations),
		[GAUGE_PENDING] = n->pending->len,
		[GAUGE_TURNED_AWAY] = n->turned_away,
		[GAUGE_TURNED_BACK] = n->turned_back,
		[GAUGE_STARTS] = n->dispatch.starts,
		[GAUGE_PREEMPTED] = n->dispatch.preempted,
	};

	pthread_mutex_lock(&metrics.lock);
	for (uint32_t i = 0; i < GAUGE__MAX; i++)
		metrics.gauges[i] = values[i];
	for (uint32_t i = 0; i < COUNTER__MAX; i++)
		memcpy(metrics.counters[i],
		       (const char *)&n->dispatch + counters[i].offset,
		       counters[i].count * sizeof(uint64_t));
	pthread_mutex_unlock(&metrics.lock);
}

static void format_counter(GString *out, uint32_t counter)
{
	const counter_t *c = &counters[counter];

	g_string_append_printf(out,
			       "# HELP ffl_jobd_%s %s\n"
			       "# TYPE ffl_jobd_%s counter\n",
			       c->name, c->help, c->name);
	for (uint32_t i = 0; i < c->count; i++)
		g_string_append_printf(out,
				       "ffl_jobd_%s{%s=\"%s\"} %" PRIu64 "\n",
				       c->name, c->label, c->value_name(i),
				       metrics.counters[counter][i]);
}

void jobd_metrics_format(GString *out)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	pthread_mutex_lock(&metrics.lock);
	for (uint32_t i = 0; i < GAUGE__MAX; i++)
		g_string_append_printf(out,
				       "# HELP ffl_jobd_%s %s\n"
				       "# TYPE ffl_jobd_%s gauge\n"
				       "ffl_jobd_%s %" PRIu64 "\n",
				       descriptions[i].name,
				       descriptions[i].help,
				       descriptions[i].name,
				       descriptions[i].name, metrics.gauges[i]);
	g_string_append(out, "# TYPE ffl_jobd_events_total counter\n");
	g_hash_table_iter_init(&iter, metrics.events);
	while (g_hash_table_iter_next(&iter, &key, &value))
		g_string_append_printf(
			out, "ffl_jobd_events_total{event=\"%s\"} %zu\n",
			(const char *)key, GPOINTER_TO_SIZE(value));
	for (uint32_t i = 0; i < COUNTER__MAX; i++)
		format_counter(out, i);
	pthread_mutex_unlock(&metrics.lock);
	jobd_hist_format(out);
}
