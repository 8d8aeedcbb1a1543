/*
 * The same options and events give the same actions: two worlds take the
 * same operations side by side, in memory of different addresses, and every
 * action is compared as it is decided.
 */
#include <string.h>

#include "fakes/world.h"
#include "fuzz/fuzz.h"

#define HOSTS	  3
#define WORKERS	  8
#define UPSTREAMS 3
#define STEP_MS	  100
#define SETTLE_MS 3000
#define TOKEN	  "token"

/** Operations; an operation's first byte chooses one. */
typedef enum {
	OP_RUN,
	OP_INTENT,
	OP_SUBMIT,
	OP_REQUEST,
	OP_KILL,
	OP_PAUSE,
	OP_LOSE,
	OP_FREEZE,
	OP_LEAVING,
	OP__MAX
} op_t;

/** A hash over everything that the hosts of a world decided. */
typedef struct {
	uint64_t hash;
	uint64_t count;
} digest_t;

/** Hashes what one kind of action carries. */
typedef uint64_t (*hash_fn_t)(const ffl_action_t *act, uint64_t h);

static uint64_t hash_read(const ffl_action_t *act, uint64_t h);
static uint64_t hash_append(const ffl_action_t *act, uint64_t h);
static uint64_t hash_worker(const ffl_action_t *act, uint64_t h);
static uint64_t hash_peer(const ffl_action_t *act, uint64_t h);
static uint64_t hash_answer(const ffl_action_t *act, uint64_t h);
static uint64_t hash_forward(const ffl_action_t *act, uint64_t h);
static uint64_t hash_finish(const ffl_action_t *act, uint64_t h);
static void take_action(void *user, uint32_t host, const ffl_action_t *act);
static void apply(world_t *w, op_t op, uint8_t arg);
static const char *run(const uint8_t *ops, size_t op_count, GString *trace);

static const char *const op_names[OP__MAX] = {
	[OP_RUN] = "run",	  [OP_INTENT] = "intent",
	[OP_SUBMIT] = "submit",	  [OP_REQUEST] = "request",
	[OP_KILL] = "kill",	  [OP_PAUSE] = "pause",
	[OP_LOSE] = "lose",	  [OP_FREEZE] = "freeze",
	[OP_LEAVING] = "leaving",
};

static const hash_fn_t hashes[FFL_ACT__MAX] = {
	[FFL_ACT_LOG_READ] = hash_read,	     [FFL_ACT_LOG_APPEND] = hash_append,
	[FFL_ACT_WORKER_SEND] = hash_worker, [FFL_ACT_PEER_SEND] = hash_peer,
	[FFL_ACT_ANSWER] = hash_answer,	     [FFL_ACT_FORWARD] = hash_forward,
	[FFL_ACT_FINISH] = hash_finish,
};

const fuzz_target_t fuzz_target = { "replay", 2, run };

static uint64_t hash_read(const ffl_action_t *act, uint64_t h)
{
	return ffl_mix(h, act->log_read.from);
}

static uint64_t hash_append(const ffl_action_t *act, uint64_t h)
{
	for (uint32_t i = 0; i < act->log_append.count; i++)
		h = ffl_hash(act->log_append.records[i].data,
			     act->log_append.records[i].size_bytes, h);
	return h;
}

static uint64_t hash_worker(const ffl_action_t *act, uint64_t h)
{
	GByteArray *bytes = g_byte_array_new();

	ffl_schema_encode(&ffl_worker_cmd_schema, &act->worker_send.cmd, bytes);
	h = ffl_hash(bytes->data, bytes->len, h);
	g_byte_array_free(bytes, TRUE);
	return ffl_hash(act->worker_send.worker,
			strlen(act->worker_send.worker), h);
}

static uint64_t hash_peer(const ffl_action_t *act, uint64_t h)
{
	return ffl_hash(act->peer_send.frame.data,
			act->peer_send.frame.size_bytes, h);
}

static uint64_t hash_answer(const ffl_action_t *act, uint64_t h)
{
	h = ffl_mix(h, act->answer.id + act->answer.http_status);
	return ffl_hash(act->answer.body.data, act->answer.body.size_bytes, h);
}

static uint64_t hash_forward(const ffl_action_t *act, uint64_t h)
{
	h = ffl_mix(h, act->forward.id + act->forward.timeout_ms);
	return ffl_hash(act->forward.upstream, strlen(act->forward.upstream),
			h);
}

static uint64_t hash_finish(const ffl_action_t *act, uint64_t h)
{
	return ffl_mix(h, act->finish);
}

static void take_action(void *user, uint32_t host, const ffl_action_t *act)
{
	digest_t *d = user;

	d->count++;
	d->hash = ffl_mix(d->hash, act->kind * WORLD_HOSTS_MAX + host);
	if (hashes[act->kind])
		d->hash = hashes[act->kind](act, d->hash);
}

static void apply(world_t *w, op_t op, uint8_t arg)
{
	uint32_t host = arg % HOSTS;
	char body[256];
	char key[16];

	switch (op) {
	case OP_INTENT:
		g_snprintf(body, sizeof(body),
			   "{\"kind\":\"drain\",\"name\":\"w%u\","
			   "\"reason\":\"replay\"}",
			   arg % WORKERS);
		world_command(w, host, FFL_CMD_INTENT, WORLD_OPERATOR, "",
			      body);
		break;
	case OP_SUBMIT:
		g_snprintf(body, sizeof(body),
			   "{\"name\":\"j%u\",\"accelerators\":%u,"
			   "\"adjacency\":\"rack\",\"customer\":\"c\","
			   "\"payload\":\"run_ms=%u\"}",
			   arg, 1 + arg % 24, arg * 10U);
		world_command(w, host, FFL_CMD_SUBMIT, TOKEN, "", body);
		break;
	case OP_REQUEST:
		g_snprintf(key, sizeof(key), "%s%u", arg & 1 ? "k" : "",
			   arg & 1 ? arg % 16 : 0);
		world_request(w, host, TOKEN, arg & 2 ? "a" : "b",
			      (ffl_urgency_t)(arg % FFL_URGENCY__MAX),
			      arg & 1 ? key : "");
		break;
	case OP_KILL:
		world_start(w, host);
		break;
	case OP_PAUSE:
		world_pause(w, host, arg * 40U);
		break;
	case OP_LOSE:
		w->log.lose_append_replies = arg % 4;
		break;
	case OP_FREEZE:
		w->worker_frozen[arg % WORKERS] ^= true;
		break;
	case OP_LEAVING:
		w->infos[arg % (WORKERS + UPSTREAMS)].leaving ^= true;
		break;
	default:
		world_run(w, STEP_MS * (1 + arg % 8));
		break;
	}
}

static const char *run(const uint8_t *ops, size_t op_count, GString *trace)
{
	const char *fault = NULL;
	digest_t digests[2] = { { 0, 0 }, { 0, 0 } };
	world_t worlds[2];

	for (int i = 0; i < 2; i++) {
		world_init(&worlds[i], 1, HOSTS, WORKERS, UPSTREAMS);
		worlds[i].on_action = take_action;
		worlds[i].on_action_user = &digests[i];
		world_run(&worlds[i], SETTLE_MS);
		if (!world_add_customer(&worlds[i], 0, "c", TOKEN))
			fault = "the customer was not confirmed";
	}
	for (size_t n = 0; n < op_count && !fault; n++) {
		op_t op = (op_t)(ops[2 * n] % OP__MAX);

		if (trace)
			g_string_append_printf(trace, "{ %s, %u },\n",
					       op_names[op], ops[2 * n + 1]);
		for (int i = 0; i < 2; i++)
			apply(&worlds[i], op, ops[2 * n + 1]);
		if (digests[0].hash != digests[1].hash ||
		    digests[0].count != digests[1].count)
			fault = "the same events gave other actions";
	}
	fuzz_steps(op_count + digests[0].count);
	for (int i = 0; i < 2; i++)
		world_finish(&worlds[i]);
	return fault;
}
