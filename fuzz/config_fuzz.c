/*
 * Operators race through several hosts: intents, plans, confirmations and
 * withdrawals, while answers of the log are lost, late, stale or cut, hosts
 * are killed, paused and cut off, the log is down, trimmed, or holds records
 * that nobody can read. The oracle knows the promises and a map of objects.
 */
#include <stdlib.h>
#include <string.h>

#include "fakes/world.h"
#include "fuzz/config_oracle.h"
#include "fuzz/fuzz.h"

#define OPS_MIN		 16
#define READ_TRIES	 50
#define READ_MS		 20
#define OPS_MORE	 50
#define HOSTS		 3
#define RUN_MS		 60
#define LONG_MS		 1500
#define SETTLE_MS	 8000
#define CUSTOMERS	 2
#define SNAPSHOT_RECORDS 24

/** Operations; an operation's first byte chooses one. */
typedef enum {
	OP_INTENT,
	OP_CONFIRM,
	OP_RUN,
	OP_RUN_LONG,
	OP_REPEAT,
	OP_LOSE,
	OP_LATE,
	OP_SPOIL,
	OP_OUTAGE,
	OP_KILL,
	OP_PAUSE,
	OP_CUT,
	OP_INJECT,
	OP_TRIM,
	OP_READ,
	OP__MAX
} op_t;

static const char *const op_names[OP__MAX] = {
	[OP_INTENT] = "intent", [OP_CONFIRM] = "confirm",
	[OP_RUN] = "run",	[OP_RUN_LONG] = "run-long",
	[OP_REPEAT] = "repeat", [OP_LOSE] = "lose",
	[OP_LATE] = "late",	[OP_SPOIL] = "spoil",
	[OP_OUTAGE] = "outage", [OP_KILL] = "kill",
	[OP_PAUSE] = "pause",	[OP_CUT] = "cut",
	[OP_INJECT] = "inject", [OP_TRIM] = "trim",
	[OP_READ] = "read",
};

/** Operations drawn more often than by their number. */
static const op_t often[] = { OP_INTENT, OP_CONFIRM, OP_RUN, OP_CONFIRM,
			      OP_INTENT, OP_RUN,     OP_RUN };

size_t LLVMFuzzerCustomMutator(uint8_t *data, size_t size, size_t max_size,
			       unsigned int seed);

static const char *run(const uint8_t *ops, size_t op_count, GString *trace);
static op_t choose(uint8_t byte);
static uint32_t withdrawn(const world_t *w, uint32_t pick);
static void intent_body(const world_t *w, uint8_t arg, char *body, size_t max);
static void inject(world_t *w, oracle_t *o, uint8_t arg);
static void trim(world_t *w);
static void apply(world_t *w, oracle_t *o, op_t op, uint8_t arg);
static void settle(world_t *w, oracle_t *o);

const fuzz_target_t fuzz_target = { "config", 2, run };

/* Long sequences from the first input on: a part of a known one, then new
 * operations. */
size_t LLVMFuzzerCustomMutator(uint8_t *data, size_t size, size_t max_size,
			       unsigned int seed)
{
	size_t wanted;
	ffl_rng_t rng;

	ffl_rng_init(&rng, seed);
	size = ffl_rng_below(&rng, size + 1);
	wanted = size + 2 * OPS_MIN + ffl_rng_below(&rng, 2 * OPS_MORE);
	if (wanted > max_size)
		wanted = max_size;
	while (size < wanted)
		data[size++] = (uint8_t)ffl_rng_next(&rng);
	return size;
}

static op_t choose(uint8_t byte)
{
	uint32_t n = byte % (OP__MAX + G_N_ELEMENTS(often));

	return n < OP__MAX ? (op_t)n : often[n - OP__MAX];
}

/* One of the last changes, so that some were superseded. */
static uint32_t withdrawn(const world_t *w, uint32_t pick)
{
	const GPtrArray *audit = w->hosts[0].host.config.audit;
	const ffl_audit_t *a;

	if (!audit->len)
		return 1;
	a = g_ptr_array_index(audit, audit->len - 1 - pick % 4 % audit->len);
	return (uint32_t)a->revision;
}

static void intent_body(const world_t *w, uint8_t arg, char *body, size_t max)
{
	static const char *const forms[] = {
		"\"kind\":\"drain\",\"name\":\"w%u\"",
		"\"kind\":\"undrain\",\"name\":\"w%u\"",
		"\"kind\":\"guarantee\",\"name\":\"c%u\",\"count\":2,"
		"\"dc\":\"altiplano-1\",\"accelerators\":4",
		"\"kind\":\"guarantee\",\"name\":\"c%u\",\"count\":0,"
		"\"dc\":\"altiplano-1\",\"accelerators\":4",
		"\"kind\":\"customer\",\"name\":\"c%u\",\"weight\":3,"
		"\"token_hash\":\"5656565656565656565656565656565656565656"
		"565656565656565656565656\"",
		"\"kind\":\"limit\",\"name\":\"c%u\",\"rate_per_s\":9",
		"\"kind\":\"order\",\"order\":\"k%u, bulk\"",
		"\"kind\":\"withdraw\",\"revision\":%u",
		"\"kind\":\"withdraw\",\"revision\":%u",
		"\"kind\":\"customer\",\"name\":\"c%u\",\"remove\":true",
	};
	uint32_t form = arg % G_N_ELEMENTS(forms);
	uint32_t pick = arg / G_N_ELEMENTS(forms) % CUSTOMERS;
	GString *s = g_string_new("{\"reason\":\"fuzz\",");

	if (form == 7 || form == 8)
		pick = withdrawn(w, arg / G_N_ELEMENTS(forms));
	g_string_append_printf(s, forms[form], pick);
	g_string_append_c(s, '}');
	g_strlcpy(body, s->str, max);
	g_string_free(s, TRUE);
}

/* Appends a record that nobody should act on. */
static void inject(world_t *w, oracle_t *o, uint8_t arg)
{
	ffl_record_t rec = { .version = FFL_RECORD_VERSION,
			     .cluster = WORLD_CLUSTER,
			     .kind = FFL_REC_CONFIRM,
			     .writer = 7,
			     .seq = w->next_id++ };
	GByteArray *bytes = g_byte_array_new();
	ffl_bytes_t data;
	uint64_t offset;

	rec.base = fake_log_end(&w->log) - 1;
	rec.confirm.plan = fake_log_end(&w->log) - 1 - arg % 4;
	rec.confirm.revision = w->hosts[0].host.config.revision;
	if (arg % 4 == 0)
		rec.cluster++;
	else if (arg % 4 == 1)
		rec.kind = FFL_REC__MAX + 3;
	else if (arg % 8 == 2)
		rec.version++;
	ffl_record_encode(&rec, bytes);
	data = (ffl_bytes_t){ bytes->data, bytes->len };
	if (arg % 4 == 3 || arg % 8 == 6)
		data.size_bytes /= 2;
	if (fake_log_append(&w->log, &data, 1, &offset) == FFL_OK &&
	    rec.version > FFL_RECORD_VERSION && data.size_bytes == bytes->len)
		o->unreadable = offset;
	g_byte_array_free(bytes, TRUE);
}

/* Retention keeps a whole snapshot, as the operators' page asks. */
static void trim(world_t *w)
{
	uint64_t keep = fake_log_end(&w->log);

	for (uint32_t i = 0; i < HOSTS; i++) {
		const ffl_host_t *h = &w->hosts[i].host;

		if (ffl_host_restoring(h) || h->snapshots.last.offset < keep)
			keep = h->snapshots.last.offset;
	}
	fake_log_trim(&w->log, keep);
}

static void apply(world_t *w, oracle_t *o, op_t op, uint8_t arg)
{
	uint32_t host = arg % HOSTS;
	char body[512];

	switch (op) {
	case OP_INTENT:
		intent_body(w, arg, body, sizeof(body));
		oracle_intent(o, w, (arg / 16) % HOSTS, body);
		break;
	case OP_CONFIRM:
	case OP_REPEAT:
		oracle_confirm(o, w, host, arg / HOSTS, op == OP_REPEAT);
		break;
	case OP_RUN:
		world_run(w, RUN_MS);
		break;
	case OP_RUN_LONG:
		world_run(w, LONG_MS);
		break;
	case OP_LOSE:
		w->log.lose_append_replies = arg % 4;
		break;
	case OP_LATE:
		w->log.late_appends = arg % 3;
		break;
	case OP_SPOIL:
		w->log.read_fault = (fake_read_fault_t)(arg % FAKE_READ__MAX);
		w->log.corrupt_reads = arg / 32;
		break;
	case OP_OUTAGE:
		w->log.down = arg % 4 == 0;
		break;
	case OP_KILL:
		for (uint32_t i = 0; i < HOSTS; i++) {
			if (i == host || arg % 8 == 7)
				world_start(w, i);
		}
		break;
	case OP_PAUSE:
		world_pause(w, host, arg * 20U);
		break;
	case OP_CUT:
		w->hosts[host].cut = arg / HOSTS % 3 == 0;
		break;
	case OP_TRIM:
		trim(w);
		break;
	case OP_INJECT:
		inject(w, o, arg);
		break;
	default:
		oracle_read(o, w, host);
		break;
	}
}

static void settle(world_t *w, oracle_t *o)
{
	w->log.down = false;
	w->log.lose_append_replies = 0;
	w->log.late_appends = 0;
	w->log.corrupt_reads = 0;
	for (uint32_t i = 0; i < HOSTS; i++)
		w->hosts[i].cut = false;
	world_run(w, SETTLE_MS);
	for (uint32_t i = 0; i < READ_TRIES && !oracle_read_all(w); i++)
		world_run(w, READ_MS);
	oracle_watch(o, w);
	oracle_end(o, w);
}

static const char *run(const uint8_t *ops, size_t op_count, GString *trace)
{
	const char *fault;
	oracle_t o;
	world_t w;

	world_init(&w, 1, HOSTS, 4, 1);
	w.snapshots.records = SNAPSHOT_RECORDS;
	for (uint32_t i = 0; i < HOSTS; i++)
		world_start(&w, i);
	oracle_init(&o);
	world_run(&w, RUN_MS);
	for (size_t i = 0; i < op_count && !o.fault; i++) {
		op_t op = choose(ops[2 * i]);

		if (trace)
			g_string_append_printf(trace, "{ %s, %u },\n",
					       op_names[op], ops[2 * i + 1]);
		apply(&w, &o, op, ops[2 * i + 1]);
		oracle_watch(&o, &w);
	}
	if (!o.fault)
		settle(&w, &o);
	fault = o.fault;
	fuzz_steps(op_count + w.actions);
	oracle_finish(&o);
	world_finish(&w);
	return fault;
}
