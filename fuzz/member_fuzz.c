/*
 * Leaders that die, pause, leave, lose the log or their peers, never all at
 * once: running gangs are not cut short, no job runs twice at once, the cell
 * gets a leader again, members agree, and loss alone changes no leader.
 */
#include <string.h>

#include "fakes/faults.h"
#include "fuzz/fuzz.h"

#define HOSTS	3
#define WORKERS 4
/** Times of one unit of an operation's last byte. */
#define RUN_UNIT_MS   20U
#define FAULT_UNIT_MS 80U
/** Time between two faults that concern hosts, so that one is always well. */
#define CALM_MS	 20000
#define HEAL_MS	 240000
#define START_MS 40000
#define OPS_MAX	 16

/** Operations: the first byte of each chooses one. */
typedef enum {
	OP_SUBMIT,
	OP_RUN,
	OP_LOSS,
	OP_OUTAGE,
	OP_HOST,
	OP__MAX
} op_t;

/** Faults of one host. */
static const fault_kind_t host_faults[] = { FAULT_KILL,	   FAULT_PAUSE,
					    FAULT_ISOLATE, FAULT_LOG_CUT,
					    FAULT_STOP,	   FAULT_PEER_CUT };

static const char *const op_names[OP__MAX] = { "submit", "run", "loss",
					       "outage", "host" };

/** A run: the world, its oracle and the jobs submitted. */
typedef struct {
	world_t w;
	gang_watch_t watch;
	faults_t faults;
	GArray *submits;
	uint64_t calm_ms; /**< no host has a fault after this time */
	uint32_t host_fault_count;
} run_t;

static const char *run(const uint8_t *ops, size_t op_count, GString *trace);
static void apply(run_t *r, op_t op, uint8_t arg, uint8_t time);
static const char *check_members(const run_t *r);

const fuzz_target_t fuzz_target = { "member", 3, run };

static void apply(run_t *r, op_t op, uint8_t arg, uint8_t time)
{
	static const uint32_t sizes[] = { 4, 8, 16 };
	static const uint32_t times_ms[] = { 3000, 30000, 60000 };
	uint32_t ms = time * FAULT_UNIT_MS;
	uint64_t id;

	if (op == OP_SUBMIT) {
		id = gang_watch_submit(&r->w, arg % HOSTS, sizes[arg % 3],
				       times_ms[arg / 3 % 3], "");
		g_array_append_val(r->submits, id);
	} else if (op == OP_LOSS) {
		faults_add(&r->faults, FAULT_PEER_LOSS, arg, ms);
	} else if (op == OP_OUTAGE) {
		faults_add(&r->faults, FAULT_OUTAGE, arg, ms);
	} else if (op == OP_HOST && r->w.now_ms >= r->calm_ms) {
		r->calm_ms = r->w.now_ms + ms + CALM_MS;
		r->host_fault_count++;
		faults_add(&r->faults, host_faults[arg / HOSTS % 6], arg, ms);
	}
	faults_run(&r->faults, time * RUN_UNIT_MS);
}

/* Every host knows every live host, and all know the same leader. */
static const char *check_members(const run_t *r)
{
	const ffl_cell_t *first = NULL;

	for (uint32_t i = 0; i < HOSTS; i++) {
		const ffl_members_t *ms = &r->w.hosts[i].host.members;
		const ffl_cell_t *c = ffl_members_find_cell(ms, world_dc(0));

		if (!c || !c->member)
			return "the cell has no leader";
		if (first && c->epoch != first->epoch)
			return "hosts differ on the leader";
		first = c;
		for (uint32_t k = 0; k < HOSTS; k++) {
			if (!ffl_members_find(ms,
					      r->w.hosts[k].opt.self.member))
				return "a live host is no member";
		}
	}
	if (!r->host_fault_count && first->rapid_claims)
		return "the leader changed without a fault of a host";
	return NULL;
}

static const char *run(const uint8_t *ops, size_t op_count, GString *trace)
{
	const char *fault;
	run_t r = { .calm_ms = 0 };

	world_init(&r.w, 1, HOSTS, WORKERS, 1);
	r.submits = g_array_new(FALSE, TRUE, sizeof(uint64_t));
	gang_watch_init(&r.watch, &r.w);
	r.watch.forbid_broken_gangs = true;
	faults_init(&r.faults, &r.w, &r.watch);
	world_run(&r.w, 1000);
	world_add_customer(&r.w, 0, "rocio", "token");
	faults_run(&r.faults, START_MS);
	for (size_t i = 0; i < op_count && i < OPS_MAX; i++) {
		const uint8_t *b = &ops[3 * i];
		op_t op = (op_t)(b[0] % OP__MAX);

		if (trace)
			g_string_append_printf(
				trace, "{ %s, %u, %u }, %s\n", op_names[op],
				b[1], b[2],
				fault_name(host_faults[b[1] / HOSTS % 6]));
		apply(&r, op, b[1], b[2]);
	}
	faults_clear(&r.faults);
	gang_watch_finish_jobs(&r.watch, &r.w, HEAL_MS);
	faults_run(&r.faults, CALM_MS);
	fault = r.watch.violation;
	if (!fault)
		fault = gang_watch_check_ends(&r.w, r.submits);
	if (!fault)
		fault = check_members(&r);
	fuzz_steps(op_count + r.w.actions);
	faults_finish(&r.faults);
	gang_watch_finish(&r.watch);
	g_array_free(r.submits, TRUE);
	world_finish(&r.w);
	return fault;
}
