/*
 * Control bytes of a cell's members and leader, from real encoded messages.
 */
#include "bench/bench.h"
#include "fireflyledge/peer.h"
#include "fireflyledge/worker.h"

/** Bytes of a frame's length. */
#define LENGTH_BYTES 4
/** Times of the default settings, in milliseconds. */
#define HEARTBEAT_MS 250.0
#define RENEW_MS     1000.0

static double heartbeat_bytes(void);
static double renew_bytes(void);

static double heartbeat_bytes(void)
{
	ffl_peer_msg_t msg = { .head = { .version = FFL_PEER_VERSION,
					 .cluster = 42,
					 .kind = FFL_PEER_HEARTBEAT,
					 .from = UINT64_MAX / 3,
					 .to = UINT64_MAX / 5,
					 .seq = 1000000 } };
	GByteArray *out = g_byte_array_new();
	double size;

	msg.heartbeat.revision = 1000000;
	msg.heartbeat.next_offset = 1000000;
	ffl_peer_encode(&msg, out);
	size = out->len + LENGTH_BYTES;
	g_byte_array_free(out, TRUE);
	return size;
}

static double renew_bytes(void)
{
	ffl_worker_cmd_t cmd = { .cmd = FFL_WCMD_RENEW,
				 .epoch = 1000000,
				 .lease_ms = 6000,
				 .since = 1000,
				 .boot = 1,
				 .not_after_ms = 100000000 };
	ffl_worker_reply_t reply = { .epoch = 1000000,
				     .boot = 1,
				     .since = 1000,
				     .version = 1000,
				     .clock_ms = 100000000 };
	GByteArray *out = g_byte_array_new();
	double size;

	ffl_schema_encode(&ffl_worker_cmd_schema, &cmd, out);
	ffl_schema_encode(&ffl_worker_reply_schema, &reply, out);
	size = out->len;
	g_byte_array_free(out, TRUE);
	return size;
}

int main(void)
{
	static const int members[] = { 3, 5, 7, 9, 13 };
	static const int workers[] = { 17, 33, 66, 132, 264 };

	for (int i = 0; i < 5; i++) {
		bench_print("member_heartbeat_bytes_per_s",
			    heartbeat_bytes() * (members[i] - 1) * 1000 /
				    HEARTBEAT_MS,
			    "B/s",
			    json_pack("{s:i}", "members_in_cell", members[i]));
		bench_print("leader_renew_bytes_per_s",
			    renew_bytes() * workers[i] * 1000 / RENEW_MS, "B/s",
			    json_pack("{s:i,s:i}", "workers_in_cell",
				      workers[i], "lease_ms", 6000));
	}
	return 0;
}
