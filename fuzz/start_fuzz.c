/*
 * Gangs under faults of hosts, workers, links and the log: they start whole,
 * end whole, never run twice at once, and every accepted job ends.
 */
#include <string.h>

#include "fakes/faults.h"
#include "fuzz/fuzz.h"

#define HOSTS	3
#define WORKERS 8
/** Times of one unit of an operation's last byte. */
#define RUN_UNIT_MS   20U
#define FAULT_UNIT_MS 100U
/** Time by which every job has ended once all faults are over. */
#define HEAL_MS 240000
/** Longest sequence: more operations only repeat the same faults. */
#define OPS_MAX 16

/** Operations: the first byte of each chooses one. */
typedef enum {
	OP_SUBMIT,
	OP_CANCEL,
	OP_RUN,
	OP_FAULT, /**< and all numbers above */
	OP__MAX = OP_FAULT + FAULT__MAX
} op_t;

/** A run: the world, its oracle and the jobs submitted. */
typedef struct {
	world_t w;
	gang_watch_t watch;
	faults_t faults;
	GArray *submits; /**< ids of the commands */
} run_t;

static const char *run(const uint8_t *ops, size_t op_count, GString *trace);
static void submit(run_t *r, uint8_t arg);
static void cancel(run_t *r, uint8_t arg);
static void apply(run_t *r, uint32_t op, uint8_t arg, uint8_t time);

const fuzz_target_t fuzz_target = { "start", 3, run };

static void submit(run_t *r, uint8_t arg)
{
	static const uint32_t sizes[] = { 4, 8, 16, 24, 32 };
	static const uint32_t times_ms[] = { 1000, 12000, 40000 };
	uint64_t id = gang_watch_submit(
		&r->w, arg % HOSTS, sizes[arg % 5], times_ms[arg / 5 % 3],
		arg & 64 ? ",\"checkpointable\":true" : "");

	g_array_append_val(r->submits, id);
}

static void cancel(run_t *r, uint8_t arg)
{
	const ffl_gangs_t *g = &r->w.hosts[arg % HOSTS].host.gangs;
	char id[24];

	if (!r->w.hosts[arg % HOSTS].alive || !g->open->len)
		return;
	g_snprintf(
		id, sizeof(id), "%" G_GUINT64_FORMAT,
		(guint64)g_array_index(g->open, ffl_job_t *, arg % g->open->len)
			->id);
	world_command(&r->w, arg % HOSTS, FFL_CMD_CANCEL, "token", id, "");
}

static void apply(run_t *r, uint32_t op, uint8_t arg, uint8_t time)
{
	if (op == OP_SUBMIT)
		submit(r, arg);
	else if (op == OP_CANCEL)
		cancel(r, arg);
	else if (op >= OP_FAULT)
		faults_add(&r->faults, (fault_kind_t)(op - OP_FAULT), arg,
			   time * FAULT_UNIT_MS);
	faults_run(&r->faults, time * RUN_UNIT_MS);
}

static const char *run(const uint8_t *ops, size_t op_count, GString *trace)
{
	const char *fault;
	run_t r;

	world_init(&r.w, 1, HOSTS, WORKERS, 1);
	r.w.list_lag_ms = 1000;
	r.submits = g_array_new(FALSE, TRUE, sizeof(uint64_t));
	gang_watch_init(&r.watch, &r.w);
	faults_init(&r.faults, &r.w, &r.watch);
	world_run(&r.w, 1000);
	world_add_customer(&r.w, 0, "rocio", "token");
	faults_run(&r.faults, HEAL_MS / 8);
	for (size_t i = 0; i < op_count && i < OPS_MAX; i++) {
		const uint8_t *b = &ops[3 * i];
		uint32_t op = b[0] % OP__MAX;

		if (trace)
			g_string_append_printf(
				trace, "{ %u, %u, %u }, %s\n", op, b[1], b[2],
				op >= OP_FAULT ? fault_name(op - OP_FAULT)
					       : "");
		apply(&r, op, b[1], b[2]);
	}
	faults_clear(&r.faults);
	gang_watch_finish_jobs(&r.watch, &r.w, HEAL_MS);
	fault = r.watch.violation;
	if (!fault)
		fault = gang_watch_check_ends(&r.w, r.submits);
	fuzz_steps(op_count + r.w.actions);
	faults_finish(&r.faults);
	gang_watch_finish(&r.watch);
	g_array_free(r.submits, TRUE);
	world_finish(&r.w);
	return fault;
}
