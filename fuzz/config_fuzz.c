/*
 * Confirmations of racing operators through several hosts: every host that
 * has read the same records holds the same configuration, and what was
 * confirmed stays until a later confirmation changes it.
 */
#include <string.h>

#include "fakes/world.h"
#include "fuzz/fuzz.h"

#define HOSTS	3
#define RUN_MS	200
#define WAIT_MS 30000

/** Operations; an operation's first byte chooses one. */
typedef enum {
	OP_CUSTOMER,
	OP_RUN,
	OP_LOSE,
	OP_OUTAGE,
	OP_KILL,
	OP_PAUSE,
	OP__MAX
} op_t;

static const char *const op_names[OP__MAX] = {
	[OP_CUSTOMER] = "customer", [OP_RUN] = "run",	[OP_LOSE] = "lose",
	[OP_OUTAGE] = "outage",	    [OP_KILL] = "kill", [OP_PAUSE] = "pause",
};

static const char *run(const uint8_t *ops, size_t op_count, GString *trace);
static void apply(world_t *w, op_t op, uint8_t arg);
static const char *check(world_t *w);

const fuzz_target_t fuzz_target = { "config", 2, run };

static void apply(world_t *w, op_t op, uint8_t arg)
{
	uint32_t host = arg % HOSTS;
	char body[256];

	switch (op) {
	case OP_CUSTOMER:
		g_snprintf(body, sizeof(body),
			   "{\"kind\":\"drain\",\"name\":\"w%u\","
			   "\"reason\":\"fuzz\"}",
			   arg % 8);
		world_command(w, host, FFL_CMD_INTENT, WORLD_OPERATOR, "",
			      body);
		break;
	case OP_RUN:
		world_run(w, RUN_MS);
		break;
	case OP_LOSE:
		w->log.lose_answers = arg % 4;
		break;
	case OP_OUTAGE:
		w->log.down = !w->log.down;
		break;
	case OP_KILL:
		world_start(w, host);
		break;
	default:
		world_pause(w, host, arg * 20U);
		break;
	}
}

static const char *check(world_t *w)
{
	uint64_t hash = ffl_host_state_hash(&w->hosts[0].host);
	uint64_t end = w->hosts[0].host.logc.next_offset;

	for (uint32_t i = 1; i < HOSTS; i++) {
		const ffl_host_t *h = &w->hosts[i].host;

		if (h->logc.next_offset != end)
			return "a host has not read the whole log";
		if (ffl_host_state_hash(h) != hash)
			return "hosts that read the same records differ";
	}
	return NULL;
}

static const char *run(const uint8_t *ops, size_t op_count, GString *trace)
{
	const char *fault;
	world_t w;

	world_init(&w, 1, HOSTS, 4, 1);
	for (size_t i = 0; i < op_count; i++) {
		op_t op = (op_t)(ops[2 * i] % OP__MAX);

		if (trace)
			g_string_append_printf(trace, "{ %s, %u },\n",
					       op_names[op], ops[2 * i + 1]);
		apply(&w, op, ops[2 * i + 1]);
	}
	w.log.down = false;
	w.log.lose_answers = 0;
	world_run(&w, WAIT_MS);
	fault = check(&w);
	fuzz_steps(op_count + w.actions);
	world_finish(&w);
	return fault;
}
