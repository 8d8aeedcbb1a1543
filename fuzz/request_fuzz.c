/*
 * Requests through several entry hosts that share the upstreams: kills,
 * pauses, cuts, planned stops, log outages, failing and leaving upstreams.
 * Slots are never exceeded, refusals are true, nothing runs twice, every
 * request is answered in time.
 */

#include "fuzz/fuzz.h"
#include "fuzz/request_oracle.h"

#define HOSTS	  4
#define UPSTREAMS 2
#define CHUNK_MS  50
#define SETTLE_MS 1500
#define BURST	  12
#define TOKEN	  "token"
/** Shorter than in use, so that takeovers happen within a run. */
#define GRACE_MS 20000

/** Operations; an operation's first byte chooses one. */
typedef enum {
	OP_RUN,
	OP_REQUEST,
	OP_BURST,
	OP_KILL,
	OP_PAUSE,
	OP_STOP,
	OP_CUT,
	OP_OUTAGE,
	OP_FAULT,
	OP_SLOW,
	OP_LEAVING,
	OP_LONG,
	OP__MAX
} op_t;

/** How often each operation comes: faults are rare beside work. */
static const op_t op_weights[] = {
	OP_RUN,	    OP_RUN,	OP_RUN,	    OP_RUN,	OP_RUN,	    OP_RUN,
	OP_RUN,	    OP_RUN,	OP_REQUEST, OP_REQUEST, OP_REQUEST, OP_REQUEST,
	OP_REQUEST, OP_REQUEST, OP_REQUEST, OP_REQUEST, OP_BURST,   OP_BURST,
	OP_BURST,   OP_KILL,	OP_PAUSE,   OP_STOP,	OP_CUT,	    OP_OUTAGE,
	OP_FAULT,   OP_SLOW,	OP_LEAVING, OP_LONG,	OP_LONG,    OP_LONG,
	OP_REQUEST, OP_RUN,
};

static const char *const op_names[OP__MAX] = {
	[OP_RUN] = "run",   [OP_REQUEST] = "request", [OP_BURST] = "burst",
	[OP_KILL] = "kill", [OP_PAUSE] = "pause",     [OP_STOP] = "stop",
	[OP_CUT] = "cut",   [OP_OUTAGE] = "outage",   [OP_FAULT] = "fault",
	[OP_SLOW] = "slow", [OP_LEAVING] = "leaving", [OP_LONG] = "long",
};

static const ffl_up_outcome_t outcomes[] = { FFL_UP_OK,	      FFL_UP_OK,
					     FFL_UP_NOT_SENT, FFL_UP_REFUSED,
					     FFL_UP_BROKEN,   FFL_UP_TIMEOUT };

static void start(world_t *w, oracle_t *o, uint32_t host);
static const char *pass(world_t *w, oracle_t *o, uint32_t ms);
static void send(world_t *w, oracle_t *o, uint32_t host, uint32_t n);
static void slow(world_t *w, uint8_t arg);
static void leaving(world_t *w, oracle_t *o, uint32_t i);
static const char *apply(world_t *w, oracle_t *o, op_t op, uint8_t arg);
static const char *run(const uint8_t *ops, size_t op_count, GString *trace);

const fuzz_target_t fuzz_target = { "request", 2, run };

static void start(world_t *w, oracle_t *o, uint32_t host)
{
	world_start(w, host);
	w->hosts[host].host.requests.slot_ownership.times.grace_ms = GRACE_MS;
	o->pause_ms[host] = 0;
	o->stopping[host] = false;
}

static const char *pass(world_t *w, oracle_t *o, uint32_t ms)
{
	const char *fault = NULL;

	for (uint32_t spent = 0; spent < ms && !fault; spent += CHUNK_MS) {
		world_run(w, CHUNK_MS);
		fault = oracle_check(o, w);
	}
	return fault;
}

static void send(world_t *w, oracle_t *o, uint32_t host, uint32_t n)
{
	if (!w->hosts[host].alive || o->stopping[host])
		return;
	for (uint32_t i = 0; i < n; i++)
		oracle_sent(o, w, host,
			    world_request(w, host, TOKEN, i & 1 ? "a" : "b",
					  (ffl_urgency_t)(i % 3), ""));
}

/* A run's time is taken when it is seen, so that it changes between. */
static void slow(world_t *w, uint8_t arg)
{
	w->upstream_ms = 5 + arg % 12 * 250;
}

static void leaving(world_t *w, oracle_t *o, uint32_t i)
{
	w->infos[i].leaving ^= true;
	o->leaving_ms[i] = w->infos[i].leaving ? w->now_ms : 0;
}

static const char *apply(world_t *w, oracle_t *o, op_t op, uint8_t arg)
{
	uint32_t host = arg % HOSTS;

	switch (op) {
	case OP_REQUEST:
		send(w, o, host, 1);
		return NULL;
	case OP_BURST:
		send(w, o, host, BURST);
		return NULL;
	case OP_KILL:
		start(w, o, host);
		return NULL;
	case OP_PAUSE:
		world_pause(w, host, arg * 100U);
		o->pause_ms[host] =
			MAX(o->pause_ms[host], w->now_ms + arg * 100U);
		return NULL;
	case OP_STOP:
		if (w->hosts[host].exited) {
			start(w, o, host);
			return NULL;
		}
		if (!o->stopping[host])
			world_stop(w, host);
		o->stopping[host] = true;
		return NULL;
	case OP_CUT:
		w->hosts[host].cut = arg / HOSTS % 3 == 0;
		return NULL;
	case OP_OUTAGE:
		w->log.down = arg % 4 == 0;
		return NULL;
	case OP_FAULT:
		w->upstream_fault = outcomes[arg % G_N_ELEMENTS(outcomes)];
		return NULL;
	case OP_SLOW:
		slow(w, arg);
		return NULL;
	case OP_LEAVING:
		leaving(w, o, w->worker_count + arg % UPSTREAMS);
		return NULL;
	case OP_LONG:
		return pass(w, o, arg * 100U);
	default:
		return pass(w, o, arg * 4U);
	}
}

static const char *run(const uint8_t *ops, size_t op_count, GString *trace)
{
	const char *fault = NULL;
	oracle_t o;
	world_t w;

	oracle_init(&o);
	world_init(&w, 1, HOSTS, 1, UPSTREAMS);
	for (uint32_t i = 0; i < HOSTS; i++)
		w.hosts[i].host.requests.slot_ownership.times.grace_ms =
			GRACE_MS;
	world_run(&w, SETTLE_MS);
	if (!world_add_customer(&w, 0, "c", TOKEN))
		fault = "the customer was not confirmed";
	for (size_t i = 0; i < op_count && !fault; i++) {
		op_t op = op_weights[ops[2 * i] % G_N_ELEMENTS(op_weights)];

		if (trace)
			g_string_append_printf(trace, "{ %s, %u },\n",
					       op_names[op], ops[2 * i + 1]);
		fault = apply(&w, &o, op, ops[2 * i + 1]);
	}
	if (!fault)
		fault = pass(&w, &o, ORACLE_ANSWER_MS + CHUNK_MS);
	fuzz_steps(op_count + w.actions);
	world_finish(&w);
	oracle_finish(&o);
	return fault;
}
