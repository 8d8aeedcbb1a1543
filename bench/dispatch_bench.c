/*
 * A leader's decisions at the size of the grown deployments, 350 workers, with
 * jobs at 70, 100 and 200% of the rate that fills them, and at more workers.
 * Time is virtual; what is measured is the processor time of the dispatcher.
 */
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "bench/bench.h"
#include "fireflyledge/dispatch.h"
#include "fireflyledge/rng.h"

#define WORKERS	    350
#define WORKERS_MAX 3000
#define RACK	    8
#define GPUS	    8
#define CPU_MILLI   64000
#define MEM_MB	    262144
#define DAY_MS	    20000
#define SEED	    7
/** One way to a worker, and an append to the log. */
#define WAY_MS	  4
#define APPEND_MS 8
#define TICK_MS	  50
/** Events that come within this time share a look, as in the daemon. */
#define GATHER_MS 4
#define REPORT_MS 1500
#define MS_PER_S  1000
#define NS_PER_US 1000.0
#define NS_PER_S  1000000000

/** A kind of job: the sheet of a grown deployment. */
typedef struct {
	uint32_t priority;
	uint32_t tasks;
	uint32_t gpus;
	uint32_t work_ms;
	uint32_t each_ms; /**< time between two, for 350 workers */
	bool gang;
	bool same_rack;
} kind_t;

/** A run at a worker. */
typedef struct {
	char task[FFL_TASK_NAME_BYTES];
	uint32_t run;
	uint64_t begun_ms;
	uint64_t end_ms;
	uint64_t number; /**< of its end; 0 while it runs */
	ffl_run_end_t how;
	uint32_t work_ms;
} run_t;

typedef struct {
	ffl_worker_entry_t entry;
	GArray *runs; /**< of run_t */
	uint64_t ends;
	ffl_order_t held;    /**< a report that waits for an end */
	uint64_t held_until; /**< 0: none */
} worker_t;

/** An answer on its way. */
typedef struct {
	uint64_t due_ms;
	worker_t *worker;
	ffl_order_t order;
} event_t;

typedef struct {
	ffl_flows_t flows;
	ffl_dispatch_t d;
	worker_t workers[WORKERS_MAX];
	uint32_t workers_count;
	GQueue events; /**< of event_t, all with the same way to go */
	ffl_rng_t rng;
	uint64_t now_ms;
	uint64_t jobs;
	uint64_t batch; /**< on its way to the log */
	uint64_t batch_due;
	bool due;	    /**< a reply was taken since the last look */
	uint64_t looked_ms; /**< when that was */
	uint64_t replies;
	uint64_t looks;
	uint64_t spent_ns;
	GHashTable *guaranteed;
} bench_t;

static uint64_t spent_now_ns(void);
static void setup(bench_t *b, uint32_t workers);
static void finish(bench_t *b);
static void submit(bench_t *b, const kind_t *kind);
static void arrive(bench_t *b, uint32_t load_percent);
static void step(bench_t *b);
static void record(bench_t *b);
static void carry_out(worker_t *w, const ffl_order_t *order, uint64_t now_ms,
		      const bench_t *b);
static void answer(bench_t *b, worker_t *w, const ffl_order_t *order);
static bool end_runs(worker_t *w, uint64_t now_ms);
static void play(uint32_t workers, uint32_t load_percent);

static const kind_t kinds[] = {
	{ 1, 10, 3, 6800, 270, true, true },
	{ 0, 5, 3, 2500, 90, true, true },
	{ 2, 30, 1, 6100, 270, false, false },
};

/* Other work of the machine does not count. */
static uint64_t spent_now_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	return (uint64_t)ts.tv_sec * NS_PER_S + (uint64_t)ts.tv_nsec;
}

static void setup(bench_t *b, uint32_t workers)
{
	ffl_dispatch_options_t opt = {
		.lease_max_ms = 6000,
		.stop_max_ms = 200,
		.gang_wait_ms = 4000,
		.reclaim_ms = 2700,
		.spread_percent = 300,
		.heartbeat_ms = REPORT_MS,
		.early_ms = 250,
	};

	memset(b, 0, sizeof(*b));
	ffl_rng_init(&b->rng, SEED);
	ffl_flows_init(&b->flows);
	ffl_dispatch_init(&b->d, &opt, &b->flows);
	b->guaranteed =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, NULL);
	g_hash_table_insert(b->guaranteed, "ponds", GUINT_TO_POINTER(400));
	b->d.guaranteed = b->guaranteed;
	b->now_ms = MS_PER_S;
	b->workers_count = workers;
	ffl_dispatch_become_leader(&b->d, 1, 0, b->now_ms);
	for (uint32_t i = 0; i < b->workers_count; i++) {
		worker_t *w = &b->workers[i];

		g_snprintf(w->entry.id, sizeof(w->entry.id), "w%03u", i);
		ffl_copy(w->entry.addr, sizeof(w->entry.addr), w->entry.id);
		ffl_copy(w->entry.service, sizeof(w->entry.service), "desk");
		g_snprintf(w->entry.rack, sizeof(w->entry.rack), "r%u",
			   i / RACK);
		w->entry.born_ms = 1;
		w->entry.clock_ms = b->now_ms;
		w->entry.capacity =
			(ffl_resources_t){ CPU_MILLI, MEM_MB, GPUS };
		w->runs = g_array_new(FALSE, TRUE, sizeof(run_t));
		ffl_dispatch_update_worker(&b->d, &w->entry, b->now_ms,
					   b->now_ms);
	}
}

static void finish(bench_t *b)
{
	for (uint32_t i = 0; i < b->workers_count; i++)
		g_array_free(b->workers[i].runs, TRUE);
	g_queue_clear_full(&b->events, g_free);
	ffl_dispatch_finish(&b->d);
	ffl_flows_finish(&b->flows);
	g_hash_table_destroy(b->guaranteed);
}

static void submit(bench_t *b, const kind_t *kind)
{
	ffl_flow_spec_t spec;
	ffl_step_t *s;
	ffl_err_t err;

	ffl_flow_spec_init(&spec);
	g_snprintf(spec.id, sizeof(spec.id), "%016" PRIx64, ++b->jobs);
	g_snprintf(spec.queue, sizeof(spec.queue), "q%u", kind->priority);
	ffl_copy(spec.service, sizeof(spec.service), "desk");
	ffl_copy(spec.customer, sizeof(spec.customer), "ponds");
	spec.priority = kind->priority;
	spec.attempts_max = 3;
	spec.stretch_milli = 2000;
	spec.objective_base_ms = 1200;
	spec.spec = g_strdup_printf("%u", kind->work_ms);
	spec.steps_count = 1;
	spec.steps = s = g_new0(ffl_step_t, 1);
	s->tasks = kind->tasks / 2 +
		   (uint32_t)ffl_rng_below(&b->rng, kind->tasks) + 1;
	s->gpus = kind->gpus;
	s->cpu_milli = kind->gpus * MS_PER_S;
	s->mem_mb = kind->gpus * MS_PER_S;
	s->estimate_ms = kind->work_ms;
	s->gang = kind->gang;
	s->same_rack = kind->same_rack;
	if (ffl_flow_spec_validate(&spec, &err) != FFL_OK)
		g_error("%s", err.text);
	ffl_flows_add(&b->flows, &spec, b->jobs);
	ffl_dispatch_request_placement(&b->d);
}

static void arrive(bench_t *b, uint32_t load_percent)
{
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
		uint64_t each = (uint64_t)kinds[i].each_ms * 100 * WORKERS;
		uint64_t rate = (uint64_t)load_percent * b->workers_count;
		uint64_t due = b->now_ms * rate / each;

		for (uint64_t n = (b->now_ms - 1) * rate / each; n < due; n++)
			submit(b, &kinds[i]);
	}
}

static void record(bench_t *b)
{
	GPtrArray *flows;

	if (b->batch) {
		if (b->now_ms < b->batch_due)
			return;
		ffl_dispatch_confirm_batch(&b->d, b->batch);
		b->batch = 0;
	}
	if (!b->d.dirty)
		return;
	flows = g_ptr_array_new();
	b->batch = ffl_dispatch_take_batch(&b->d, flows);
	b->batch_due = b->now_ms + APPEND_MS;
	g_ptr_array_free(flows, TRUE);
}

static void step(bench_t *b)
{
	GArray *orders = g_array_new(FALSE, TRUE, sizeof(ffl_order_t));

	ffl_dispatch_step(&b->d, b->now_ms, b->now_ms, true, true, orders);
	for (guint i = 0; i < orders->len; i++) {
		event_t *e = g_new0(event_t, 1);

		e->order = g_array_index(orders, ffl_order_t, i);
		e->due_ms = b->now_ms + 2 * WAY_MS;
		e->worker = &b->workers[atoi(e->order.worker + 1)];
		carry_out(e->worker, &e->order, b->now_ms, b);
		g_queue_push_tail(&b->events, e);
	}
	g_array_free(orders, TRUE);
	record(b);
	b->due = false;
	b->looked_ms = b->now_ms;
	b->looks++;
}

static void carry_out(worker_t *w, const ffl_order_t *order, uint64_t now_ms,
		      const bench_t *b)
{
	run_t run = { .run = order->run, .begun_ms = now_ms };

	if (order->kind == FFL_ORDER_START) {
		run.work_ms = (uint32_t)atoi(order->spec);
		run.end_ms = now_ms + run.work_ms;
		run.how = FFL_RUN_END_DONE;
		ffl_copy(run.task, sizeof(run.task), order->task);
		g_array_append_val(w->runs, run);
	}
	for (guint i = 0; i < w->runs->len; i++) {
		run_t *r = &g_array_index(w->runs, run_t, i);

		if (order->kind != FFL_ORDER_STOP || r->number ||
		    r->run != order->run || strcmp(r->task, order->task) != 0)
			continue;
		r->how = FFL_RUN_END_STOPPED;
		r->end_ms = now_ms + b->d.opt.stop_max_ms / 2;
	}
	for (guint i = w->runs->len; i-- > 0;) {
		const run_t *r = &g_array_index(w->runs, run_t, i);

		if (order->kind == FFL_ORDER_RENEW && r->number &&
		    r->number <= order->acked)
			g_array_remove_index(w->runs, i);
	}
}

static void answer(bench_t *b, worker_t *w, const ffl_order_t *order)
{
	guint n = w->runs->len;
	ffl_run_report_t *rows = g_new0(ffl_run_report_t, 2 * n + 1);
	ffl_reply_t reply = { .call = order->call,
			      .born_ms = 1,
			      .clock_ms = b->now_ms,
			      .running = rows,
			      .ended = rows + n };
	uint64_t since_ns;

	for (guint i = 0; i < n && order->kind == FFL_ORDER_RENEW; i++) {
		const run_t *r = &g_array_index(w->runs, run_t, i);
		ffl_run_report_t *row =
			r->number ? &reply.ended[reply.ended_count++]
				  : &reply.running[reply.running_count++];

		ffl_copy(row->task, sizeof(row->task), r->task);
		row->run = r->run;
		row->number = r->number;
		row->end = r->how;
		row->percent = (uint32_t)((b->now_ms - r->begun_ms) * 100 /
					  r->work_ms);
	}
	since_ns = spent_now_ns();
	ffl_dispatch_handle_reply(&b->d, &reply, b->now_ms);
	b->due = true;
	b->replies++;
	b->spent_ns += spent_now_ns() - since_ns;
	g_free(rows);
}

static bool end_runs(worker_t *w, uint64_t now_ms)
{
	bool any = false;

	for (guint i = 0; i < w->runs->len; i++) {
		run_t *r = &g_array_index(w->runs, run_t, i);

		if (!r->number && now_ms >= r->end_ms)
			r->number = ++w->ends;
		any |= r->number != 0;
	}
	return any;
}

static void play(uint32_t workers, uint32_t load_percent)
{
	static bench_t b;
	uint64_t open = 0;

	setup(&b, workers);
	for (uint64_t end = b.now_ms + DAY_MS; b.now_ms < end; b.now_ms++) {
		uint64_t since_ns = spent_now_ns();
		event_t *e;

		arrive(&b, load_percent);
		if (b.now_ms - b.looked_ms >= TICK_MS ||
		    (b.due && b.now_ms - b.looked_ms >= GATHER_MS))
			step(&b);
		b.spent_ns += spent_now_ns() - since_ns;
		while ((e = g_queue_peek_head(&b.events)) &&
		       e->due_ms <= b.now_ms) {
			g_queue_pop_head(&b.events);
			end_runs(e->worker, b.now_ms);
			if (e->order.kind == FFL_ORDER_RENEW &&
			    e->order.wait_ms) {
				e->worker->held = e->order;
				e->worker->held_until =
					b.now_ms + e->order.wait_ms;
			} else {
				answer(&b, e->worker, &e->order);
			}
			g_free(e);
		}
		for (uint32_t i = 0; i < b.workers_count; i++) {
			worker_t *w = &b.workers[i];

			if (!w->held_until || (!end_runs(w, b.now_ms) &&
					       b.now_ms < w->held_until))
				continue;
			w->held_until = 0;
			answer(&b, w, &w->held);
		}
		open = MAX(open, b.flows.open->len);
	}
	bench_print(
		"dispatch_cpu",
		(double)b.spent_ns / NS_PER_US / MS_PER_S / (DAY_MS / MS_PER_S),
		"ms/s",
		json_pack("{s:i,s:i,s:i,s:i,s:i,s:i}", "workers", (int)workers,
			  "load_percent", load_percent, "replies",
			  (int)b.replies, "looks", (int)b.looks, "open_max",
			  (int)open, "starts", (int)b.d.starts));
	finish(&b);
}

int main(void)
{
	play(WORKERS, 70);
	play(WORKERS, 100);
	play(WORKERS, 200);
	play(2 * WORKERS, 70);
	play(4 * WORKERS, 70);
	play(2500, 70);
	play(WORKERS_MAX, 12);
	return 0;
}
