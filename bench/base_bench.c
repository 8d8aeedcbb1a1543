/*
 * Costs of the parts below the aggregates: records, peer messages, rings.
 */
#include <string.h>

#include "bench/bench.h"
#include "fireflyledge/peer.h"
#include "fireflyledge/record.h"
#include "fireflyledge/ring.h"
#include "fireflyledge/worker.h"

#define ROUNDS	      200000
#define REPORT_ROUNDS 20000

static void fill_record(ffl_record_t *rec);
static void bench_record(ffl_rec_kind_t kind);
static void bench_report(uint32_t tasks);
static void bench_heartbeat(void);
static void bench_host_list(uint32_t hosts, bool delta);
static void bench_ring(void);

/* Texts of the length that people write. */
static void fill_record(ffl_record_t *rec)
{
	switch (rec->kind) {
	case FFL_REC_INTENT:
		rec->intent.kind = FFL_INTENT_GUARANTEE;
		ffl_copy(rec->intent.name, FFL_NAME_BYTES, "customer-17");
		ffl_copy(rec->intent.dc, FFL_NAME_BYTES, "altiplano-1");
		ffl_copy(rec->intent.who, FFL_NAME_BYTES, "maria.lopez");
		ffl_copy(rec->intent.reason, FFL_REASON_BYTES,
			 "contract 7, survey models of the rainy season; "
			 "see the minutes of 12 October");
		break;
	case FFL_REC_CONFIRM:
		ffl_copy(rec->confirm.who, FFL_NAME_BYTES, "maria.lopez");
		rec->confirm.plan = 10000000;
		rec->confirm.revision = 10000000;
		break;
	case FFL_REC_JOIN:
		rec->join.member = UINT64_MAX / 2;
		ffl_copy(rec->join.name, FFL_NAME_BYTES, "entry-altiplano-3");
		ffl_copy(rec->join.dc, FFL_NAME_BYTES, "altiplano-1");
		ffl_copy(rec->join.region, FFL_NAME_BYTES, "altiplano");
		ffl_copy(rec->join.peer_addr, FFL_ADDR_BYTES,
			 "10.20.30.40:7303");
		break;
	case FFL_REC_JOB:
		ffl_copy(rec->job.customer, FFL_NAME_BYTES, "customer-17");
		ffl_copy(rec->job.name, FFL_NAME_BYTES, "liner-2026-12-04-1");
		ffl_copy(rec->job.kind, FFL_NAME_BYTES, "survey");
		ffl_copy(rec->job.dc, FFL_NAME_BYTES, "altiplano-1");
		ffl_copy(rec->job.payload, FFL_PAYLOAD_BYTES,
			 "image=liner:12 input=pond-114 output=wear-114");
		rec->job.accelerators = 64;
		break;
	case FFL_REC_JOB_END:
		rec->job_end.job = 10000000;
		rec->job_end.epoch = 10000000;
		ffl_copy(rec->job_end.result, FFL_PAYLOAD_BYTES,
			 "output=wear-114 exit=0");
		break;
	default:
		break;
	}
}

static void bench_record(ffl_rec_kind_t kind)
{
	GByteArray *bytes = g_byte_array_new();
	ffl_record_t rec = { .version = FFL_RECORD_VERSION,
			     .cluster = 42,
			     .kind = kind,
			     .writer = UINT64_MAX / 2,
			     .seq = 100000,
			     .at_ms = 1796380000000 };
	ffl_record_t back;
	ffl_arena_t arena;
	uint64_t start;
	uint64_t spent;

	ffl_arena_init(&arena);
	fill_record(&rec);
	ffl_record_encode(&rec, bytes);
	start = bench_now_ns();
	for (uint32_t i = 0; i < ROUNDS; i++) {
		ffl_arena_reset(&arena);
		ffl_record_decode((ffl_bytes_t){ bytes->data, bytes->len },
				  &back, &arena);
	}
	spent = bench_now_ns() - start;
	bench_print("record.decode", (double)spent / ROUNDS, "ns",
		    json_pack("{s:s}", "kind", ffl_rec_kind_name(kind)));
	bench_print("record.size", bytes->len, "bytes",
		    json_pack("{s:s}", "kind", ffl_rec_kind_name(kind)));
	ffl_arena_finish(&arena);
	g_byte_array_free(bytes, TRUE);
}

static void bench_report(uint32_t tasks)
{
	ffl_task_report_t *reports = g_new0(ffl_task_report_t, tasks + 1);
	ffl_worker_reply_t reply = { .epoch = 100000,
				     .boot = 1,
				     .tasks = { reports, tasks } };
	GByteArray *bytes = g_byte_array_new();
	ffl_worker_reply_t back;
	ffl_arena_t arena;
	uint64_t start;

	ffl_arena_init(&arena);
	for (uint32_t i = 0; i < tasks; i++) {
		reports[i].job = 1000000 + i;
		reports[i].members = 4;
		reports[i].slots = 0xff;
		reports[i].progress_ms = 3600000;
	}
	ffl_schema_encode(&ffl_worker_reply_schema, &reply, bytes);
	start = bench_now_ns();
	for (uint32_t i = 0; i < REPORT_ROUNDS; i++) {
		ffl_arena_reset(&arena);
		ffl_schema_decode(&ffl_worker_reply_schema,
				  (ffl_bytes_t){ bytes->data, bytes->len },
				  &back, &arena, NULL);
	}
	bench_print("worker_reply.decode",
		    (double)(bench_now_ns() - start) / REPORT_ROUNDS, "ns",
		    json_pack("{s:i}", "tasks", (int)tasks));
	bench_print("worker_reply.size", bytes->len, "bytes",
		    json_pack("{s:i}", "tasks", (int)tasks));
	ffl_arena_finish(&arena);
	g_byte_array_free(bytes, TRUE);
	g_free(reports);
}

static void bench_heartbeat(void)
{
	ffl_peer_msg_t msg = { .head = { .version = FFL_PEER_VERSION,
					 .cluster = 42,
					 .kind = FFL_PEER_HEARTBEAT,
					 .from = UINT64_MAX / 2,
					 .to = UINT64_MAX / 3,
					 .seq = 1000000 } };
	GByteArray *bytes = g_byte_array_new();

	msg.heartbeat.revision = 1000000;
	msg.heartbeat.next_offset = 10000000;
	ffl_peer_encode(&msg, bytes);
	bench_print("heartbeat.size", bytes->len, "bytes", NULL);
	g_byte_array_free(bytes, TRUE);
}

/* Bytes of one read: the whole list, or a delta with nothing new. */
static void bench_host_list(uint32_t hosts, bool delta)
{
	ffl_host_info_t *infos = g_new0(ffl_host_info_t, hosts);
	ffl_host_list_t list = { .seed = UINT64_MAX / 2,
				 .version = 100000,
				 .delta = delta };
	GByteArray *bytes = g_byte_array_new();

	for (uint32_t i = 0; i < hosts; i++) {
		g_snprintf(infos[i].name, FFL_NAME_BYTES, "dc-%u-worker-%u",
			   i % 19, i);
		g_snprintf(infos[i].dc, FFL_NAME_BYTES, "dc-%u", i % 19);
		g_snprintf(infos[i].region, FFL_NAME_BYTES, "region-%u", i % 7);
		g_snprintf(infos[i].addr, FFL_ADDR_BYTES, "10.0.%u.%u:7000",
			   i / 250, i % 250);
		infos[i].cores = 64;
		infos[i].memory_mb = 262144;
		infos[i].accelerators = 8;
	}
	list.hosts.items = infos;
	list.hosts.count = delta ? 0 : hosts;
	ffl_schema_encode(&ffl_host_list_schema, &list, bytes);
	bench_print("host_list.size", bytes->len, "bytes",
		    json_pack("{s:i,s:s}", "hosts", (int)hosts, "policy",
			      delta ? "delta" : "whole"));
	g_byte_array_free(bytes, TRUE);
	g_free(infos);
}

static void bench_ring(void)
{
	int item = 0;
	ffl_ring_t ring;
	uint64_t start;

	ffl_ring_init(&ring, 1024);
	start = bench_now_ns();
	for (uint32_t i = 0; i < ROUNDS; i++) {
		ffl_ring_push(&ring, &item);
		ffl_ring_pop(&ring, 0);
	}
	bench_print("ring.push_pop", (double)(bench_now_ns() - start) / ROUNDS,
		    "ns", NULL);
	ffl_ring_finish(&ring);
}

int main(void)
{
	static const uint32_t tasks[] = { 1, 4, 8, 32, 64 };
	static const uint32_t hosts[] = { 100, 500, 1000, 2500, 5000 };

	for (int i = 0; i < FFL_REC_SNAPSHOT; i++)
		bench_record((ffl_rec_kind_t)i);
	for (size_t i = 0; i < G_N_ELEMENTS(tasks); i++)
		bench_report(tasks[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(hosts); i++) {
		bench_host_list(hosts[i], false);
		bench_host_list(hosts[i], true);
	}
	bench_heartbeat();
	bench_ring();
	return 0;
}
