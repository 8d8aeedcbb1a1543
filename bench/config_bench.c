/*
 * Configuration at two years' size: folding, snapshots, conflicts, memory.
 */
#include <string.h>

#include "bench/bench.h"
#include "fireflyledge/host.h"

#define CLUSTER	      42
#define WRITERS	      50
#define DCS	      19
#define TEAMS	      93
#define WORKERS	      2500
#define DAY_S	      86400
#define CHANGES_DAY   2000
#define ROUNDS	      3
#define NS_PER_S      1e9
#define NS_PER_MS     1e6
#define JOBS_DAY      7500
#define OPEN_JOBS     3000
#define SIZES	      5
#define CONFLICT_DAYS 20

/** A log of encoded records. */
typedef struct {
	GPtrArray *records; /**< of GByteArray */
	uint64_t seq;
	uint64_t bytes;
} log_t;

static void log_init(log_t *log);
static void log_finish(log_t *log);
static uint64_t log_add(log_t *log, ffl_record_t *rec);
static void add_change(log_t *log, ffl_record_t *rec, uint64_t revision);
static void make_change(ffl_record_t *rec, uint32_t i);
static void fill_log(log_t *log, uint32_t changes, uint32_t jobs,
		     uint32_t joins);
static void host_init(ffl_host_t *h, ffl_counters_t *counters);
static double fold_log(ffl_host_t *h, const log_t *log);
static void bench_fold(uint32_t changes, uint32_t jobs, uint32_t joins,
		       const char *mix);
static void bench_snapshot(uint32_t scale);
static gint compare_times(gconstpointer a, gconstpointer b);
static void bench_conflicts(uint32_t think_s, bool strict);

static void log_init(log_t *log)
{
	memset(log, 0, sizeof(*log));
	log->records = g_ptr_array_new_with_free_func(
		(GDestroyNotify)g_byte_array_unref);
}

static void log_finish(log_t *log)
{
	g_ptr_array_free(log->records, TRUE);
}

/* Returns the offset of the record. */
static uint64_t log_add(log_t *log, ffl_record_t *rec)
{
	GByteArray *bytes = g_byte_array_new();

	rec->version = FFL_RECORD_VERSION;
	rec->cluster = CLUSTER;
	rec->writer = 1 + log->seq % WRITERS;
	rec->seq = ++log->seq;
	rec->at_ms = 1796380000000 + log->seq;
	rec->base = log->records->len;
	ffl_record_encode(rec, bytes);
	log->bytes += bytes->len;
	g_ptr_array_add(log->records, bytes);
	return log->records->len;
}

/* Mostly drains and undrains, as hosts are restarted, and some of the rest. */
static void make_change(ffl_record_t *rec, uint32_t i)
{
	ffl_intent_t *in = &rec->intent;
	uint32_t worker = i * 7919U % WORKERS;

	memset(rec, 0, sizeof(*rec));
	rec->kind = FFL_REC_INTENT;
	ffl_copy(in->who, sizeof(in->who), "maria.lopez");
	ffl_copy(in->reason, sizeof(in->reason),
		 "kernel update of the rack, ticket 4711; see the plan");
	g_snprintf(in->dc, sizeof(in->dc), "dc-%u", worker % DCS);
	if (i < TEAMS) {
		in->kind = FFL_INTENT_CUSTOMER;
		g_snprintf(in->name, sizeof(in->name), "team-%u", i);
		memset(in->token_hash, (int)i + 1, sizeof(in->token_hash));
	} else if (i % 20 == 0) {
		in->kind = FFL_INTENT_GUARANTEE;
		g_snprintf(in->name, sizeof(in->name), "team-%u", i % TEAMS);
		in->count = 1 + i % 4;
		in->accelerators = 8;
	} else if (i % 20 == 1) {
		in->kind = FFL_INTENT_LIMIT;
		g_snprintf(in->name, sizeof(in->name), "team-%u", i % TEAMS);
		in->rate_per_s = i;
	} else {
		in->kind = i % 2 ? FFL_INTENT_DRAIN : FFL_INTENT_UNDRAIN;
		g_snprintf(in->name, sizeof(in->name), "worker-%u", worker);
	}
}

static void add_change(log_t *log, ffl_record_t *rec, uint64_t revision)
{
	ffl_record_t confirm = { .kind = FFL_REC_CONFIRM };

	confirm.confirm.plan = log_add(log, rec);
	confirm.confirm.revision = revision;
	ffl_copy(confirm.confirm.who, FFL_NAME_BYTES, "jorge.diaz");
	log_add(log, &confirm);
}

static void fill_log(log_t *log, uint32_t changes, uint32_t jobs,
		     uint32_t joins)
{
	ffl_record_t rec;

	for (uint32_t i = 0; i < changes; i++) {
		make_change(&rec, i);
		add_change(log, &rec, i ? log->records->len : 0);
	}
	for (uint32_t i = 0; i < jobs; i++) {
		ffl_record_t end = { .kind = FFL_REC_JOB_END };

		memset(&rec, 0, sizeof(rec));
		rec.kind = FFL_REC_JOB;
		g_snprintf(rec.job.customer, FFL_NAME_BYTES, "team-%u",
			   i % TEAMS);
		g_snprintf(rec.job.name, FFL_NAME_BYTES, "liner-%u", i);
		g_snprintf(rec.job.dc, FFL_NAME_BYTES, "dc-%u", i % DCS);
		rec.job.accelerators = 8;
		end.job_end.job = log_add(log, &rec);
		if (i + OPEN_JOBS < jobs || jobs < OPEN_JOBS)
			log_add(log, &end);
	}
	for (uint32_t i = 0; i < joins; i++) {
		memset(&rec, 0, sizeof(rec));
		rec.kind = FFL_REC_JOIN;
		rec.join.member = 1 + i % WRITERS;
		g_snprintf(rec.join.name, FFL_NAME_BYTES, "entry-%u",
			   i % WRITERS);
		g_snprintf(rec.join.dc, FFL_NAME_BYTES, "dc-%u", i % DCS);
		ffl_copy(rec.join.peer_addr, FFL_ADDR_BYTES, "10.1.2.3:7303");
		log_add(log, &rec);
	}
}

static void host_init(ffl_host_t *h, ffl_counters_t *counters)
{
	ffl_host_options_t opt = { .cluster = CLUSTER, .seed = 1 };

	opt.self.member = 1000;
	opt.times.lease_ms = 6000;
	opt.times.heartbeat_ms = 250;
	ffl_counters_init(counters);
	ffl_host_init(h, &opt, counters);
}

/* Folds as a host does, by the answers to its reads. */
static double fold_log(ffl_host_t *h, const log_t *log)
{
	uint32_t page = 512;
	ffl_log_entry_t *entries = g_new0(ffl_log_entry_t, page);
	ffl_actions_t out;
	uint64_t start;

	ffl_actions_init(&out);
	start = bench_now_ns();
	for (uint32_t at = 0; at < log->records->len; at += page) {
		ffl_event_t ev = { .kind = FFL_EV_LOG_READ };

		ev.log_read.first = 1;
		ev.log_read.end = at + 1;
		for (uint32_t i = 0; i < page && at + i < log->records->len;
		     i++) {
			const GByteArray *rec =
				g_ptr_array_index(log->records, at + i);

			entries[i].offset = at + i + 1;
			entries[i].data = (ffl_bytes_t){ rec->data, rec->len };
			ev.log_read.count = i + 1;
			ev.log_read.end++;
		}
		ev.log_read.entries = entries;
		h->logc.reading = true;
		ffl_host_step(h, &ev, 1, &out);
		ffl_actions_reset(&out);
	}
	start = bench_now_ns() - start;
	ffl_actions_finish(&out);
	g_free(entries);
	return (double)start;
}

static void bench_fold(uint32_t changes, uint32_t jobs, uint32_t joins,
		       const char *mix)
{
	double best = 0;
	log_t log;

	log_init(&log);
	fill_log(&log, changes, jobs, joins);
	for (uint32_t i = 0; i < ROUNDS; i++) {
		ffl_counters_t counters;
		ffl_host_t h;
		double ns;

		host_init(&h, &counters);
		ns = fold_log(&h, &log);
		if (!best || ns < best)
			best = ns;
		if (h.logc.next_offset != log.records->len + 1)
			bench_print("fold-incomplete", 1, "", json_object());
		ffl_host_finish(&h);
	}
	bench_print("fold", (double)log.records->len / (best / NS_PER_S),
		    "records/s",
		    json_pack("{s:s,s:i}", "mix", mix, "records",
			      (int)log.records->len));
	bench_print("record-bytes",
		    (double)log.bytes / (double)log.records->len, "bytes",
		    json_pack("{s:s}", "mix", mix));
	log_finish(&log);
}

/* A new host's way: load the state of a snapshot, at several sizes. */
static void bench_snapshot(uint32_t scale)
{
	uint32_t changes = (FFL_AUDIT_MAX + WORKERS) * scale / 8;
	uint32_t jobs = 2 * JOBS_DAY * scale / 8;
	GByteArray *state = g_byte_array_new();
	uint64_t heap = bench_heap_bytes();
	ffl_counters_t counters;
	ffl_host_t h;
	ffl_host_t fresh;
	uint64_t save;
	uint64_t load;
	json_t *params = json_pack("{s:i,s:i}", "changes", (int)changes, "jobs",
				   (int)jobs);
	log_t log;

	log_init(&log);
	fill_log(&log, changes, jobs, WRITERS);
	heap = bench_heap_bytes();
	host_init(&h, &counters);
	fold_log(&h, &log);
	bench_print("state-memory", (double)(bench_heap_bytes() - heap),
		    "bytes", json_incref(params));
	save = bench_now_ns();
	ffl_host_save(&h, state);
	save = bench_now_ns() - save;
	host_init(&fresh, &counters);
	load = bench_now_ns();
	if (ffl_host_load(&fresh, (ffl_bytes_t){ state->data, state->len },
			  1) != FFL_OK ||
	    ffl_host_state_hash(&fresh) != ffl_host_state_hash(&h))
		bench_print("load-failed", 1, "", json_object());
	load = bench_now_ns() - load;
	bench_print("snapshot-bytes", state->len, "bytes", json_incref(params));
	bench_print("snapshot-save", (double)save / NS_PER_MS, "ms",
		    json_incref(params));
	bench_print("snapshot-load", (double)load / NS_PER_MS, "ms", params);
	ffl_host_finish(&fresh);
	ffl_host_finish(&h);
	g_byte_array_free(state, TRUE);
	log_finish(&log);
}

static gint compare_times(gconstpointer pa, gconstpointer pb)
{
	uint64_t a = *(const uint64_t *)pa;
	uint64_t b = *(const uint64_t *)pb;

	return (a > b) - (a < b);
}

/* Changes at random times of a day; each plan is confirmed after its
 * operator has thought about it. Strict takes any change as a conflict. */
static void bench_conflicts(uint32_t think_s, bool strict)
{
	uint32_t total = CHANGES_DAY * CONFLICT_DAYS;
	uint64_t *revision_at = g_new0(uint64_t, (gsize)DAY_S * CONFLICT_DAYS);
	uint32_t conflicts = 0;
	uint64_t offset = 0;
	ffl_config_t cfg;
	ffl_rng_t rng;
	GArray *times = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	uint64_t next_s = 0;

	ffl_config_init(&cfg);
	ffl_rng_init(&rng, 1);
	for (uint32_t i = 0; i < total; i++) {
		uint64_t s = ffl_rng_below(&rng, DAY_S * CONFLICT_DAYS);

		g_array_append_val(times, s);
	}
	g_array_sort(times, compare_times);
	for (uint32_t i = 0; i < TEAMS + total; i++) {
		uint64_t at_s =
			i < TEAMS ? 0
				  : g_array_index(times, uint64_t, i - TEAMS);
		uint64_t shown_s = at_s > think_s ? at_s - think_s : 0;
		ffl_record_t rec;
		ffl_confirm_result_t v;

		for (; next_s <= at_s; next_s++)
			revision_at[next_s] = cfg.revision;
		make_change(&rec, i < TEAMS ? i
					    : TEAMS + (uint32_t)ffl_rng_below(
							      &rng, 1000000));
		ffl_config_apply_intent(&cfg, ++offset, &rec);
		memset(&rec, 0, sizeof(rec));
		rec.kind = FFL_REC_CONFIRM;
		rec.confirm.plan = offset;
		rec.confirm.revision =
			i < TEAMS ? cfg.revision : revision_at[shown_s];
		if (strict && i >= TEAMS &&
		    rec.confirm.revision != cfg.revision) {
			conflicts++;
			rec.confirm.revision = cfg.revision;
		}
		v = ffl_config_apply_confirm(&cfg, ++offset, &rec);
		if (v.status == FFL_CONFLICT) {
			conflicts += !strict;
			rec.confirm.revision = cfg.revision;
			ffl_config_apply_confirm(&cfg, ++offset, &rec);
		}
		revision_at[at_s] = cfg.revision;
	}
	g_array_free(times, TRUE);
	bench_print("conflicts", 100.0 * conflicts / total, "percent",
		    json_pack("{s:s,s:i,s:i}", "policy",
			      strict ? "whole revision" : "scopes", "think_s",
			      (int)think_s, "changes_a_day", CHANGES_DAY));
	ffl_config_finish(&cfg);
	g_free(revision_at);
}

int main(void)
{
	static const uint32_t thinks_s[] = { 5, 30, 60, 300, 900 };
	static const uint32_t scales[SIZES] = { 1, 2, 4, 8, 16 };

	bench_fold(10000, 0, 0, "configuration");
	bench_fold(0, 20000, 0, "jobs");
	bench_fold(0, 0, 200000, "joins");
	bench_fold(2000, 7500, 72000, "a day");
	for (uint32_t i = 0; i < SIZES; i++)
		bench_snapshot(scales[i]);
	for (uint32_t i = 0; i < G_N_ELEMENTS(thinks_s); i++) {
		bench_conflicts(thinks_s[i], true);
		bench_conflicts(thinks_s[i], false);
	}
	return 0;
}
