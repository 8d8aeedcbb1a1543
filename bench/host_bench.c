/*
 * Cost of one entry host's events at growing sizes, and its memory.
 */
#include <string.h>

#include "bench/bench.h"
#include "fireflyledge/host.h"

#define DCS	       19
#define ACCELERATORS   8
#define WORKERS_A_RACK 8
#define ROUNDS	       200
#define REQUESTS       20000
#define TICK_MS	       50
#define TOKEN	       "token"

/** A host with what it needs to be driven. */
typedef struct {
	ffl_host_t host;
	ffl_counters_t counters;
	ffl_actions_t actions;
	uint64_t now_ms;
	uint64_t offset;
} bed_t;

static void bed_init(bed_t *b);
static void bed_finish(bed_t *b);
static void step(bed_t *b, const ffl_event_t *ev);
static void fold(bed_t *b, ffl_record_t *rec);
static void give_list(bed_t *b, uint32_t workers, uint32_t upstreams);
static void add_customer(bed_t *b, uint32_t n, const char *token);
static void bench_list(uint32_t workers);
static void bench_tick(uint32_t jobs, uint32_t workers);
static void bench_members(uint32_t members);
static void bench_requests(uint32_t customers);
static void bench_fold(uint32_t customers);

static void step(bed_t *b, const ffl_event_t *ev)
{
	ffl_actions_reset(&b->actions);
	ffl_host_step(&b->host, ev, b->now_ms, &b->actions);
}

static void bed_init(bed_t *b)
{
	ffl_host_options_t opt = { .cluster = 42, .seed = 1 };
	ffl_event_t ev = { .kind = FFL_EV_LOG_READ };
	ffl_record_t join = { .kind = FFL_REC_JOIN };

	memset(b, 0, sizeof(*b));
	opt.times.heartbeat_ms = 250;
	opt.times.suspect_ms = 2000;
	opt.times.renew_ms = 60000;
	opt.times.expiry_ms = 180000;
	opt.times.lease_ms = 6000;
	opt.limits.queue_max = 100000;
	opt.limits.default_timeout_ms = 10000;
	opt.limits.max_timeout_ms = 60000;
	opt.limits.attempts_max = 3;
	opt.limits.eject_failures = 5;
	opt.limits.eject_ms = 5000;
	opt.self.member = 7;
	opt.self.expiry_ms = opt.times.expiry_ms;
	ffl_copy(opt.self.name, sizeof(opt.self.name), "entry-0");
	ffl_copy(opt.self.dc, sizeof(opt.self.dc), "dc-0");
	ffl_copy(opt.self.region, sizeof(opt.self.region), "region-0");
	ffl_counters_init(&b->counters);
	ffl_actions_init(&b->actions);
	ffl_host_init(&b->host, &opt, &b->counters);
	b->now_ms = 1000;
	b->offset = 1;
	ev.log_read.first = 1;
	ev.log_read.end = 1;
	step(b, &ev);
	join.join = opt.self;
	fold(b, &join);
}

static void bed_finish(bed_t *b)
{
	ffl_host_finish(&b->host);
	ffl_actions_finish(&b->actions);
}

static void fold(bed_t *b, ffl_record_t *rec)
{
	ffl_event_t ev = { .kind = FFL_EV_LOG_READ };
	GByteArray *bytes = g_byte_array_new();
	ffl_log_entry_t entry;

	rec->version = FFL_RECORD_VERSION;
	rec->cluster = 42;
	rec->writer = 9;
	rec->seq = b->offset;
	ffl_record_encode(rec, bytes);
	entry.offset = b->offset++;
	entry.data = (ffl_bytes_t){ bytes->data, bytes->len };
	ev.log_read.first = 1;
	ev.log_read.end = b->offset;
	ev.log_read.entries = &entry;
	ev.log_read.count = 1;
	step(b, &ev);
	g_byte_array_free(bytes, TRUE);
}

static void give_list(bed_t *b, uint32_t workers, uint32_t upstreams)
{
	ffl_event_t ev = { .kind = FFL_EV_HOST_LIST };
	ffl_host_info_t *infos = g_new0(ffl_host_info_t, workers + upstreams);

	for (uint32_t i = 0; i < workers + upstreams; i++) {
		ffl_host_info_t *info = &infos[i];
		uint32_t dc = i % DCS;

		info->kind = i < workers ? FFL_HOST_WORKER : FFL_HOST_UPSTREAM;
		g_snprintf(info->name, sizeof(info->name), "%s-%u",
			   i < workers ? "w" : "u", i);
		g_snprintf(info->dc, sizeof(info->dc), "dc-%u", dc);
		g_snprintf(info->region, sizeof(info->region), "region-%u",
			   dc % 7);
		info->rack = i / DCS / WORKERS_A_RACK;
		info->position = i / DCS % WORKERS_A_RACK;
		info->accelerators = ACCELERATORS;
		info->cores = 64;
		info->memory_mb = 262144;
		info->slots = 8;
		info->connections = 64;
	}
	ev.host_list.hosts.items = infos;
	ev.host_list.hosts.count = workers + upstreams;
	step(b, &ev);
	g_free(infos);
}

static void add_customer(bed_t *b, uint32_t n, const char *token)
{
	ffl_record_t intent = { .kind = FFL_REC_INTENT };
	ffl_record_t confirm = { .kind = FFL_REC_CONFIRM };

	intent.intent.kind = FFL_INTENT_CUSTOMER;
	g_snprintf(intent.intent.name, FFL_NAME_BYTES, "customer-%u", n);
	ffl_copy(intent.intent.reason, FFL_REASON_BYTES, "bench");
	ffl_token_hash(token, intent.intent.token_hash);
	confirm.confirm.plan = b->offset;
	fold(b, &intent);
	confirm.confirm.revision = b->host.config.revision;
	fold(b, &confirm);
}

static void bench_list(uint32_t workers)
{
	uint64_t heap;
	uint64_t start;
	bed_t b;

	bed_init(&b);
	heap = bench_heap_bytes();
	give_list(&b, workers, 50);
	bench_print("host.worker_memory",
		    (double)(bench_heap_bytes() - heap) / workers, "bytes",
		    json_pack("{s:i}", "workers", (int)workers));
	start = bench_now_ns();
	for (uint32_t i = 0; i < ROUNDS; i++)
		give_list(&b, workers, 50);
	bench_print("host.host_list",
		    (double)(bench_now_ns() - start) / ROUNDS / 1000, "us",
		    json_pack("{s:i}", "workers", (int)workers));
	bed_finish(&b);
}

/* A host that leads no cell, with open jobs of every cell in its fold. */
static void bench_tick(uint32_t jobs, uint32_t workers)
{
	ffl_event_t tick = { .kind = FFL_EV_TICK };
	uint64_t heap;
	uint64_t start;
	bed_t b;

	bed_init(&b);
	give_list(&b, workers, 50);
	add_customer(&b, 0, TOKEN);
	heap = bench_heap_bytes();
	for (uint32_t i = 0; i < jobs; i++) {
		ffl_record_t rec = { .kind = FFL_REC_JOB };

		ffl_copy(rec.job.customer, FFL_NAME_BYTES, "customer-0");
		g_snprintf(rec.job.name, FFL_NAME_BYTES, "job-%u", i);
		g_snprintf(rec.job.dc, FFL_NAME_BYTES, "dc-%u", i % DCS);
		rec.job.accelerators = 8;
		fold(&b, &rec);
	}
	bench_print("host.job_memory",
		    (double)(bench_heap_bytes() - heap) / jobs, "bytes",
		    json_pack("{s:i}", "jobs", (int)jobs));
	start = bench_now_ns();
	for (uint32_t i = 0; i < ROUNDS; i++) {
		b.now_ms += TICK_MS;
		step(&b, &tick);
	}
	bench_print("host.tick",
		    (double)(bench_now_ns() - start) / ROUNDS / 1000, "us",
		    json_pack("{s:i,s:i}", "jobs", (int)jobs, "workers",
			      (int)workers));
	bed_finish(&b);
}

static void bench_members(uint32_t members)
{
	ffl_event_t tick = { .kind = FFL_EV_TICK };
	uint64_t heap;
	uint64_t start;
	bed_t b;

	bed_init(&b);
	heap = bench_heap_bytes();
	for (uint32_t i = 0; i < members; i++) {
		ffl_record_t rec = { .kind = FFL_REC_JOIN };

		rec.join.member = 1000 + i;
		rec.join.expiry_ms = 180000;
		g_snprintf(rec.join.name, FFL_NAME_BYTES, "entry-%u", i);
		g_snprintf(rec.join.dc, FFL_NAME_BYTES, "dc-%u", i % DCS);
		g_snprintf(rec.join.peer_addr, FFL_ADDR_BYTES,
			   "10.0.%u.%u:7000", i / 250, i % 250);
		fold(&b, &rec);
	}
	bench_print("host.member_memory",
		    (double)(bench_heap_bytes() - heap) / members, "bytes",
		    json_pack("{s:i}", "members", (int)members));
	start = bench_now_ns();
	for (uint32_t i = 0; i < ROUNDS; i++) {
		b.now_ms += TICK_MS;
		step(&b, &tick);
	}
	bench_print("host.tick_members",
		    (double)(bench_now_ns() - start) / ROUNDS / 1000, "us",
		    json_pack("{s:i}", "members", (int)members));
	bed_finish(&b);
}

static void bench_requests(uint32_t customers)
{
	ffl_event_t request = { .kind = FFL_EV_REQUEST };
	ffl_event_t done = { .kind = FFL_EV_UPSTREAM_DONE };
	char token[32];
	uint64_t start;
	bed_t b;

	bed_init(&b);
	give_list(&b, 8, 50);
	for (uint32_t i = 0; i < customers; i++) {
		g_snprintf(token, sizeof(token), "token-%u", i);
		add_customer(&b, i, token);
	}
	request.request.token = token;
	request.request.caller = "caller";
	request.request.key = "";
	request.request.kind = "GET /readings";
	request.request.urgency = FFL_NORMAL;
	request.request.repeatable = true;
	done.upstream_done.attempt = 1;
	done.upstream_done.outcome = FFL_UP_OK;
	done.upstream_done.http_status = 200;
	done.upstream_done.content_type = "";
	start = bench_now_ns();
	for (uint32_t i = 0; i < REQUESTS; i++) {
		request.request.id = i + 1;
		done.upstream_done.id = i + 1;
		b.now_ms += i % 8 == 0;
		step(&b, &request);
		step(&b, &done);
	}
	bench_print("host.request",
		    (double)(bench_now_ns() - start) / REQUESTS / 1000, "us",
		    json_pack("{s:i,s:i}", "customers", (int)customers,
			      "finished",
			      (int)ffl_requests_idle(&b.host.requests)));
	bed_finish(&b);
}

static void bench_fold(uint32_t customers)
{
	uint64_t start;
	uint64_t heap;
	bed_t b;

	bed_init(&b);
	heap = bench_heap_bytes();
	start = bench_now_ns();
	for (uint32_t i = 0; i < customers; i++)
		add_customer(&b, i % 93, "x");
	bench_print("host.change",
		    (double)(bench_now_ns() - start) / customers / 1000, "us",
		    json_pack("{s:i}", "changes", (int)customers));
	bench_print("host.change_memory",
		    (double)(bench_heap_bytes() - heap) / customers, "bytes",
		    json_pack("{s:i}", "changes", (int)customers));
	bed_finish(&b);
}

int main(void)
{
	static const uint32_t workers[] = { 50, 132, 500, 1000, 2500 };
	static const uint32_t jobs[] = { 10, 100, 500, 1000, 2500 };
	static const uint32_t members[] = { 7, 19, 38, 76, 133 };
	static const uint32_t customers[] = { 4, 16, 32, 64, 93 };
	static const uint32_t changes[] = { 100, 300, 1000, 2000, 4000 };

	for (size_t i = 0; i < 5; i++)
		bench_list(workers[i]);
	for (size_t i = 0; i < 5; i++)
		bench_tick(jobs[i], 2500);
	for (size_t i = 0; i < 5; i++)
		bench_members(members[i]);
	for (size_t i = 0; i < 5; i++)
		bench_requests(customers[i]);
	for (size_t i = 0; i < 5; i++)
		bench_fold(changes[i]);
	return 0;
}
