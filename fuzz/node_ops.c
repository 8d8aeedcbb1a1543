/** @file Operations on a simulated site, see node_ops.h. */
#include <string.h>

#include "fakes/site.h"
#include "fuzz/fuzz.h"
#include "fuzz/node_ops.h"

#define HOSTS	3
#define WORKERS 4
/** Times of one unit of an operation's last byte. */
#define RUN_UNIT_MS   20U
#define FAULT_UNIT_MS 50U
#define START_MS      3000
#define HEAL_MS	      70000
#define OPS_MAX	      32
/** With several partitions one in so many runs has a slow log. */
#define SLOW_APPENDS 5
#define APPEND_MS    60

/** Operations: the first byte of each chooses one, see op_of(). */
typedef enum {
	OP_SUBMIT,
	OP_CHAIN,
	OP_REPEAT,
	OP_CANCEL,
	OP_LOOK,
	OP_KILL,
	OP_KILL_ALL,
	OP_STOP,
	OP_FREEZE,
	OP_CUT,
	OP_LOG_SILENT,
	OP_LOG_BUSY,
	OP_LOG_LOST,
	OP_FORGET,
	OP_LATE,
	OP_CRASH,
	OP_BOOT,
	OP_HANG,
	OP_DRAIN,
	OP_CUT_WORKER,
	OP_EXIT,
	OP_RESTART,
	OP_RESTART_BACK,
	OP_REPLACE,
	OP_REMOVE,
	OP_EVACUATE,
	OP_TAKE_BACK,
	OP_RECUT,
	OP_LATE_START,
	OP_MOVE,
	OP_ADVISER,
	OP__MAX
} op_t;

/** What OP_RECUT plays. */
typedef enum {
	RECUT_PLACED,	/**< a task is placed again after the restart */
	RECUT_ENDED,	/**< the run of the earlier order has ended */
	RECUT_UNLISTED, /**< no entry tells of the restart */
	RECUT__MAX
} recut_t;

/** First bytes from RECUT_BYTE on choose OP_RECUT, those from EVACUATE_BYTE on
 * OP_EVACUATE or OP_TAKE_BACK, lower ones among the operations before these;
 * but LATE_START_BYTE, MOVE_BYTE and ADVISER_BYTE choose the operation of their
 * name. */
#define ADVISER_BYTE	241
#define MOVE_BYTE	243
#define RECUT_BYTE	246
#define LATE_START_BYTE 248
#define EVACUATE_BYTE	250

/** Work of a run that outlasts a cut, and of others. */
#define RECUT_WORK_MS 9000
#define SHORT_WORK_MS 300
/** Time in which an accepted job's runs have begun. */
#define SOON_MS 300
/** Shortest cut, about what a next leader waits. */
#define CUT_MIN_MS 6000
/** Time between the starts of workers of another service, and work of each task
 * meanwhile: a sequence of moves leaves no more than ends within HEAL_MS. */
#define MOVE_GAP_MS  500
#define MOVE_WORK_MS 1000
/** Time in which a leader reads of a restart and has the worker's report. */
#define RESTART_READ_MS 1900

static const char *const op_names[OP__MAX] = {
	"submit",     "chain",	   "repeat",	   "cancel",	 "look",
	"kill",	      "kill-all",  "stop",	   "freeze",	 "cut",
	"log-silent", "log-busy",  "log-lost",	   "forget",	 "late",
	"crash",      "boot",	   "hang",	   "drain",	 "cut-worker",
	"exit",	      "restart",   "restart-back", "replace",	 "remove",
	"evacuate",   "take-back", "recut",	   "late-start", "move",
	"adviser"
};

static op_t op_of(uint8_t byte);

static bool has_recut(const uint8_t *ops, size_t op_count);
static bool strikes_all(op_t op, uint8_t arg);
static void apply_part(site_t *s, op_t op, uint8_t arg, uint32_t ms);
static void apply(site_t *s, op_t op, uint8_t arg, uint8_t time);
static void apply_host(site_t *s, op_t op, uint32_t host, uint32_t ms);
static void apply_worker(site_t *s, op_t op, uint32_t worker);
static void recut(site_t *s, uint8_t arg, uint32_t cut_ms);
static void lose(site_t *s, uint32_t worker, recut_t kind, uint32_t restart_ms,
		 uint32_t cut_ms);
static void start_late(site_t *s, uint8_t arg, uint32_t cut_ms);
static void move(site_t *s, uint8_t arg);
static void set_adviser(site_t *s, uint8_t arg);

static void apply_host(site_t *s, op_t op, uint32_t host, uint32_t ms)
{
	int leader = site_leader(s);

	/* Half of the faults strike the leader. */
	if (ms / FAULT_UNIT_MS % 2 && leader >= 0)
		host = (uint32_t)leader;
	if (op == OP_KILL)
		site_kill(s, host, ms);
	else if (op == OP_STOP)
		site_stop(s, host);
	else if (op == OP_FREEZE)
		s->hosts[host].frozen_until_ms = s->now_ms + ms;
	else if (op == OP_CUT)
		s->hosts[host].log_cut_until_ms = s->now_ms + ms;
	else
		for (uint32_t i = 0; i < HOSTS; i++)
			site_kill(s, i, ms / 4);
}

static void apply_worker(site_t *s, op_t op, uint32_t worker)
{
	if (op == OP_CRASH)
		site_worker_crash(s, worker);
	else if (op == OP_BOOT)
		site_worker_boot(s, worker);
	else if (op == OP_HANG)
		s->workers[worker].hangs = !s->workers[worker].hangs;
	else if (op == OP_DRAIN)
		site_worker_drain(s, worker);
	else if (op == OP_EXIT)
		site_worker_exit(s, worker);
	else if (op == OP_RESTART || op == OP_RESTART_BACK)
		site_worker_restart(s, worker, op == OP_RESTART_BACK);
	else if (op == OP_REPLACE)
		site_worker_replace(s, worker);
	else if (op == OP_REMOVE)
		site_worker_remove(s, worker);
	else
		s->worker_cut[worker] = !s->worker_cut[worker];
}

static op_t op_of(uint8_t byte)
{
	if (byte == MOVE_BYTE)
		return OP_MOVE;
	if (byte == ADVISER_BYTE)
		return OP_ADVISER;
	if (byte < RECUT_BYTE)
		return (op_t)(byte % OP_EVACUATE);
	if (byte == LATE_START_BYTE)
		return OP_LATE_START;
	if (byte < EVACUATE_BYTE)
		return OP_RECUT;
	return byte % 2 ? OP_TAKE_BACK : OP_EVACUATE;
}

/* Kept inputs from before there was OP_RECUT need clocks that start at 1 s. */
static bool has_recut(const uint8_t *ops, size_t op_count)
{
	for (size_t i = 0; i < op_count; i++) {
		op_t op = op_of(ops[i * NODE_OP_BYTES]);

		if (op == OP_RECUT || op == OP_LATE_START)
			return true;
	}
	return false;
}

static void lose(site_t *s, uint32_t worker, recut_t kind, uint32_t restart_ms,
		 uint32_t cut_ms)
{
	bool was_cut = s->worker_cut[worker];
	int leader = site_leader(s);

	if (kind == RECUT_UNLISTED)
		s->entries_cut = 1U << worker;
	else if (leader >= 0)
		site_kill(s, (uint32_t)leader, restart_ms);
	s->worker_cut[worker] = true;
	site_run(s, cut_ms);
	s->worker_cut[worker] = was_cut;
	s->entries_cut = 0;
}

/* Restarts one or all workers under their ids, as an order for the incarnation
 * before is on its way, and cuts off one that has runs as the leader is lost,
 * or before its entry tells of the restart. */
static void recut(site_t *s, uint8_t arg, uint32_t cut_ms)
{
	uint32_t host = arg % HOSTS;
	uint32_t worker = arg % WORKERS;
	bool restarts_all = arg / 4 % 4 != 0;
	recut_t kind = (recut_t)(arg / 16 % RECUT__MAX);

	if (kind != RECUT_ENDED) {
		site_submit(s, host, WORKERS, 2, RECUT_WORK_MS, false);
		site_run(s, SOON_MS);
	}
	for (uint32_t i = 0; i < WORKERS; i++) {
		if (i == worker || restarts_all)
			site_worker_restart(s, i, false);
	}
	site_submit(s, host, WORKERS, kind == RECUT_ENDED ? 2 : 1,
		    kind == RECUT_ENDED ? SHORT_WORK_MS : RECUT_WORK_MS, false);
	site_run(s,
		 kind == RECUT_UNLISTED ? SOON_MS : SOON_MS + RESTART_READ_MS);
	if (kind == RECUT_ENDED) {
		site_submit(s, host, 1, 2, RECUT_WORK_MS, false);
		site_run(s, SOON_MS);
	}
	for (uint32_t i = 0; i < WORKERS && !s->workers[worker].runs->len; i++)
		worker = (worker + 1) % WORKERS;
	lose(s, worker, kind, arg / 128 ? 500 : 100, cut_ms);
}

/* Starts are left unanswered; a worker restarts under its id before it carries
 * them out, and is cut off and off the list as it does. */
static void start_late(site_t *s, uint8_t arg, uint32_t cut_ms)
{
	s->orders_late_until_ms = s->now_ms + SOON_MS;
	s->late_percent = 100;
	site_submit(s, arg % HOSTS, WORKERS, 2, RECUT_WORK_MS, arg / 128);
	site_run(s, SOON_MS);
	site_worker_restart(s, arg % WORKERS, false);
	lose(s, arg % WORKERS, RECUT_UNLISTED, 0, cut_ms);
}

/* The queues are given to another service while tasks run and wait, and its
 * workers take the place of those of the one before. */
static void move(site_t *s, uint8_t arg)
{
	site_submit(s, arg % HOSTS, 2 * WORKERS, 8, MOVE_WORK_MS, false);
	site_run(s, SOON_MS);
	site_move_queues(s);
	for (uint32_t i = 0; i < WORKERS; i++) {
		site_run(s, MOVE_GAP_MS);
		site_worker_replace(s, (i + arg) % WORKERS);
	}
}

/* The adviser's times and the validity of its tickets change; the configuration
 * follows at once, or not before the next change. A job of the queue that
 * needs tickets is handed in. */
static void set_adviser(site_t *s, uint8_t arg)
{
	static const ffl_adviser_times_t times[] = { { 30, 2 },
						     { 200, 100 },
						     { 700, 700 },
						     { 3200, 10 },
						     { 20, 3200 } };
	static const uint32_t valid_ms[] = { 3000, 1000, 400, 150 };
	uint32_t job;

	site_set_adviser(s, times[arg % G_N_ELEMENTS(times)],
			 valid_ms[arg / 5 % G_N_ELEMENTS(valid_ms)],
			 arg / 20 % 2);
	if (!s->tickets_required) {
		s->tickets_required = true;
		site_write_config(s);
	}
	do
		job = site_submit(s, arg % HOSTS, arg / 40 % 2 ? WORKERS : 1, 4,
				  SHORT_WORK_MS, arg / 80 % 2);
	while (job % 3 && job + 1 < SITE_JOBS_MAX);
}

/* Half of the restarts, exits and boots strike all workers. */
static bool strikes_all(op_t op, uint8_t arg)
{
	return (op == OP_BOOT || op == OP_EXIT || op == OP_RESTART ||
		op == OP_RESTART_BACK) &&
	       arg / 4 % 2;
}

/* Faults of one partition, and hosts that start with another number of them. */
static void apply_part(site_t *s, op_t op, uint8_t arg, uint32_t ms)
{
	uint32_t index =
		ffl_tail_index(FFL_TOPIC_JOBS, arg / 2 % FFL_JOBS_PARTS_MAX);

	if (op == OP_LOG_BUSY && arg % 2)
		s->part_down_until_ms[index] = s->now_ms + ms;
	else if (op == OP_FORGET && arg % 2)
		keyed_log_trim_history(&s->topics[index]);
	else if (op == OP_KILL || op == OP_KILL_ALL)
		s->partitions = 1 + arg / HOSTS % (FFL_JOBS_PARTS_MAX + 1);
}

static void apply(site_t *s, op_t op, uint8_t arg, uint8_t time)
{
	static const uint32_t works_ms[] = { 300, 2000, 6000 };
	uint32_t host = arg % HOSTS;
	uint32_t ms = time * FAULT_UNIT_MS;
	uint32_t job = s->jobs_count ? arg / HOSTS % s->jobs_count : 0;

	if (op == OP_SUBMIT) {
		job = site_submit(s, host, 1 + arg / 3 % 4, 1 << arg / 16 % 4,
				  works_ms[arg / 12 % 3], arg / 64 % 2);
		if (arg > 240 && !s->jobs[job].accepted)
			s->jobs[job].fails = true;
	} else if (op == OP_CHAIN) {
		site_submit_chain(s, host, works_ms[arg / 12 % 3]);
	} else if (op < OP_KILL && s->jobs_count) {
		if (op == OP_REPEAT)
			site_resubmit(s, host, job);
		else if (op == OP_CANCEL)
			site_cancel(s, host, job);
		else
			site_query(s, host, job);
	} else if (op >= OP_KILL && op <= OP_CUT) {
		apply_host(s, op, host, ms);
	} else if (op == OP_LOG_SILENT) {
		s->log_silent_until_ms = s->now_ms + ms / 2;
	} else if (op == OP_LOG_BUSY) {
		s->log_down_until_ms = s->now_ms + ms / 2;
	} else if (op == OP_LOG_LOST) {
		s->append_lost_until_ms = s->now_ms + ms;
		s->lost_percent = arg % 100;
	} else if (op == OP_FORGET) {
		for (uint32_t i = 0; i < FFL_TAILS_MAX; i++)
			keyed_log_trim_history(&s->topics[i]);
	} else if (op == OP_LATE) {
		s->orders_late_until_ms = s->now_ms + ms;
		s->late_percent = arg % 60;
	} else if (op == OP_RECUT) {
		recut(s, arg, CUT_MIN_MS + time * RUN_UNIT_MS);
	} else if (op == OP_LATE_START) {
		start_late(s, arg, CUT_MIN_MS + time * FAULT_UNIT_MS);
	} else if (op == OP_MOVE) {
		move(s, arg);
	} else if (op == OP_ADVISER) {
		set_adviser(s, arg);
		ms = time * FAULT_UNIT_MS;
		site_run(s, ms);
	} else if (op >= OP_EVACUATE) {
		site_evacuate(s, arg % SITE_DCS, op == OP_EVACUATE);
	} else if (op >= OP_CRASH) {
		for (uint32_t i = 0; i < WORKERS; i++) {
			if (i == arg % WORKERS || strikes_all(op, arg))
				apply_worker(s, op, i);
		}
		/* Its runs are sent before the restart is known. */
		if (strikes_all(op, arg) && arg / 8 % 2)
			site_submit(s, host, WORKERS, 4 << arg / 16 % 2,
				    works_ms[0], false);
	}
	site_run(s, time * RUN_UNIT_MS);
}

const char *node_ops_run(const uint8_t *ops, size_t op_count, GString *trace,
			 bool spread)
{
	const char *fault;
	site_t s;

	site_init_spread(&s, 1 + op_count, HOSTS, WORKERS,
			 spread ? 1 + op_count % FFL_JOBS_PARTS_MAX : 1);
	s.tickets_required = op_count % 2;
	s.append_ms = spread && op_count % SLOW_APPENDS == 0 ? APPEND_MS : 0;
	if (has_recut(ops, MIN(op_count, OPS_MAX)))
		site_vary_clocks(&s);
	site_run(&s, START_MS);
	for (size_t i = 0; i < op_count && i < OPS_MAX && !s.violation; i++) {
		const uint8_t *b = &ops[3 * i];
		op_t op = op_of(b[0]);
		bool one_part = spread && b[1] % 2 &&
				(op == OP_LOG_BUSY || op == OP_FORGET);

		if (trace)
			g_string_append_printf(
				trace, "%" PRIu64 " { %s, %u, %u },\n",
				s.now_ms, op_names[op], b[1], b[2]);
		if (spread)
			apply_part(&s, op, b[1], b[2] * FAULT_UNIT_MS);
		if (one_part)
			site_run(&s, b[2] * RUN_UNIT_MS);
		else
			apply(&s, op, b[1], b[2]);
	}
	s.append_ms = 0;
	site_settle(&s, HEAL_MS + (uint32_t)site_advice_backlog_ms(&s));
	fault = s.violation;
	if (trace && fault)
		g_string_append_printf(trace, "%s: %s\n", fault, s.detail);
	fuzz_steps(op_count + s.actions);
	site_finish(&s);
	return fault;
}
