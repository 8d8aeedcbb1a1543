/**
 * @file counters.c
 * @brief Counters and gauges, and their text format.
 */
#include <inttypes.h>

#include "fireflyledge/counters.h"

/** Metric name and HELP text of a counter. */
typedef struct {
	const char *name;
	const char *help;
} counter_info_t;

static const counter_info_t counter_infos[FFL_CTR__MAX] = {
	[FFL_CTR_EVENTS] = { "events_total", "events handled by the host" },
	[FFL_CTR_ACTIONS] = { "actions_total", "actions issued by the host" },
	[FFL_CTR_RECORDS_FOLDED] = { "records_folded_total",
				     "log records applied" },
	[FFL_CTR_RECORDS_SKIPPED] = { "records_skipped_total",
				      "log records skipped as unreadable" },
	[FFL_CTR_RECORDS_DUPLICATE] = { "records_duplicate_total",
					"log records dropped as duplicates" },
	[FFL_CTR_RECORDS_LATE] = { "records_late_total",
				   "log records ignored because they landed "
				   "too late" },
	[FFL_CTR_RECORDS_FOREIGN] = { "records_foreign_total",
				      "log records of another cluster" },
	[FFL_CTR_RECORDS_UNDECODABLE] = { "records_undecodable_total",
					  "log records that could not be "
					  "decoded" },
	[FFL_CTR_RECORDS_UNKNOWN] = { "records_unknown_total",
				      "log records of an unknown kind or later "
				      "version" },
	[FFL_CTR_READS_REFUSED] = { "reads_refused_total",
				    "log reads whose answer was stale or had a "
				    "gap" },
	[FFL_CTR_SNAPSHOTS_DAMAGED] = { "snapshots_damaged_total",
					"snapshots rejected as damaged" },
	[FFL_CTR_APPENDS] = { "appends_total", "appends sent to the log" },
	[FFL_CTR_APPENDS_UNKNOWN] = { "appends_unknown_total",
				      "appends whose outcome is unknown" },
	[FFL_CTR_PLANS] = { "plans_total", "plans computed" },
	[FFL_CTR_CONFIRMED] = { "confirmed_total",
				"plans confirmed and put in force" },
	[FFL_CTR_CONFLICTS] = { "conflicts_total",
				"confirmations that did not take effect" },
	[FFL_CTR_REQUESTS] = { "requests_total", "requests received" },
	[FFL_CTR_REQUESTS_REFUSED] = { "requests_refused_total",
				       "requests refused" },
	[FFL_CTR_REQUESTS_FORWARDED] = { "requests_forwarded_total",
					 "attempts sent to upstreams" },
	[FFL_CTR_REQUESTS_RETRIED] = { "requests_retried_total",
				       "attempts that were retries" },
	[FFL_CTR_REQUESTS_DONE] = { "requests_done_total",
				    "requests answered completely" },
	[FFL_CTR_JOBS_SUBMITTED] = { "jobs_submitted_total", "jobs accepted" },
	[FFL_CTR_JOBS_STARTED] = { "jobs_started_total", "gangs started" },
	[FFL_CTR_JOBS_ENDED] = { "jobs_ended_total", "jobs ended" },
	[FFL_CTR_JOBS_PREEMPTED] = { "jobs_preempted_total", "jobs preempted" },
	[FFL_CTR_LEASES_LAPSED] = { "leases_lapsed_total",
				    "worker leases that expired" },
	[FFL_CTR_FENCED] = { "fenced_total",
			     "commands rejected by workers for an old epoch" },
	[FFL_CTR_RING_FULL] = { "ring_full_total",
				"events refused because the ring was full" },
	[FFL_CTR_FRAMES_DROPPED] = { "frames_dropped_total",
				     "peer frames dropped as invalid" },
	[FFL_CTR_CONNECTIONS_REFUSED] = { "connections_refused_total",
					  "requests refused over the "
					  "per-address connection limit" },
	[FFL_CTR_CONNECTIONS_CUT] = { "connections_cut_total",
				      "connections closed because a deadline "
				      "passed" },
	[FFL_CTR_CONNECTIONS_UNUSED] = { "connections_unused_total",
					 "connections closed without a "
					 "readable request" },
	[FFL_CTR_HEADS_REFUSED] = { "heads_refused_total",
				    "malformed requests refused" },
	[FFL_CTR_ANSWERS_BROKEN] = { "answers_broken_total",
				     "answers cut off before they were "
				     "complete" },
	[FFL_CTR_REVISION] = { "config_revision",
			       "revision of the configuration" },
	[FFL_CTR_LOG_OFFSET] = { "log_offset", "next log offset to read" },
};

void ffl_counters_init(ffl_counters_t *c)
{
	for (int i = 0; i < FFL_CTR__MAX; i++)
		atomic_init(&c->value[i], 0);
}

void ffl_counter_add(ffl_counters_t *c, ffl_counter_t id, uint64_t n)
{
	atomic_fetch_add_explicit(&c->value[id], n, memory_order_relaxed);
}

void ffl_counter_set(ffl_counters_t *c, ffl_counter_t id, uint64_t value)
{
	atomic_store_explicit(&c->value[id], value, memory_order_relaxed);
}

uint64_t ffl_counter_get(const ffl_counters_t *c, ffl_counter_t id)
{
	return atomic_load_explicit(&c->value[id], memory_order_relaxed);
}

const char *ffl_counter_name(ffl_counter_t id)
{
	return id < FFL_CTR__MAX ? counter_infos[id].name : "?";
}

const char *ffl_counter_help(ffl_counter_t id)
{
	return id < FFL_CTR__MAX ? counter_infos[id].help : "?";
}

void ffl_counters_format(const ffl_counters_t *c, GString *out)
{
	for (int i = 0; i < FFL_CTR__MAX; i++) {
		g_string_append_printf(out, "# HELP ffl_%s %s\n",
				       counter_infos[i].name,
				       counter_infos[i].help);
		g_string_append_printf(out, "ffl_%s %" PRIu64 "\n",
				       counter_infos[i].name,
				       ffl_counter_get(c, (ffl_counter_t)i));
	}
}
