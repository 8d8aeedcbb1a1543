/** @file Tests of the dispatcher with simulated workers and simulated time. */
#include <string.h>

#include "fireflyledge/explain.h"
#include "fireflyledge/outlook.h"

/** Simulated time between two steps of the dispatcher. */
#define STEP_MS 50
/** Simulated time at which the dispatcher becomes leader. */
#define LEAD_MS 1000
/** Most workers of a test, and the capacity of each. */
#define WORKERS_MAX 12
#define GPUS	    8
#define CPU_MILLI   32000
#define MEM_MB	    65536
/** Progress of a finished task, and the rate of a worker of usual speed in
 * percent: at that rate a task takes test_bed_t.work_ms. */
#define WORK		   100000
#define RATE_USUAL_PERCENT 100

/** A run of a task on a simulated worker. */
typedef struct {
	char task[FFL_TASK_NAME_BYTES];
	uint32_t run;
	uint64_t work;	     /**< progress so far; WORK when finished */
	uint64_t end_number; /**< 1 for the first run to end here; 0: running */
	bool stopped;
	bool failed;
	uint64_t stop_at_ms;   /**< when its stop completes; 0: not stopped */
	uint32_t pace_percent; /**< as last throttled to */
} sim_run_t;

/** A simulated worker. */
typedef struct {
	ffl_worker_entry_t entry;
	uint32_t rate_percent; /**< speed in percent of a usual worker's */
	bool hangs;	       /**< its runs make no progress */
	bool fails;	       /**< it fails all that it starts, at once */
	GArray *runs;	       /**< of sim_run_t */
	uint64_t ended;	       /**< number of runs that have ended */
	uint64_t acked;	       /**< ends up to this number are forgotten */
	uint32_t starts;
	uint32_t starts_with_ticket; /**< with the right ticket */
	bool denied;		     /**< the adviser grants no ticket for it */
	bool loses_starts; /**< start orders are lost on their way to it */
} sim_worker_t;

/** The dispatcher of a leader, with a store that never fails and workers that
 * answer at once. */
typedef struct {
	ffl_flows_t flows;
	ffl_dispatch_t d;
	GHashTable *guaranteed; /**< customer to its guaranteed GPUs */
	GHashTable *evacuated;	/**< names of evacuated data centres */
	sim_worker_t workers[WORKERS_MAX];
	uint32_t workers_count;
	uint32_t work_ms; /**< run time of each task on a usual worker */
	uint64_t now_ms;
	uint32_t preempted;	    /**< runs that were told to stop */
	uint32_t advised;	    /**< calls to the adviser */
	uint32_t asked_workers_max; /**< most workers named in one such call */
	uint32_t valid_ms;	    /**< for which tickets are valid */
	uint32_t stop_ms;	    /**< time that a stop takes */
	uint32_t base_tail_ms; /**< tail latency without best-effort tasks */
	uint32_t best_effort_tail_ms; /**< added by each at full pace */
	const ffl_flow_t *poison;     /**< each run of this job fails at once */
} test_bed_t;

static void test_bed_init(test_bed_t *b, uint32_t workers);
static void test_bed_finish(test_bed_t *b);
static uint32_t min_pace_percent(const test_bed_t *b);
static ffl_flow_spec_t make_spec(const test_bed_t *b, const char *id,
				 uint32_t priority, ffl_step_t step);
static ffl_flow_t *submit(test_bed_t *b, const char *id, uint32_t priority,
			  ffl_step_t step);
static sim_worker_t *find_worker(test_bed_t *b, const char *id);
static void answer_advise(test_bed_t *b, const ffl_order_t *order);
static bool ticket_matches(const ffl_order_t *order);
static uint32_t tail_ms(const test_bed_t *b, const sim_worker_t *w);
static void answer_order(test_bed_t *b, const ffl_order_t *order);
static bool fails_everywhere(const test_bed_t *b, const char *name);
static bool runs_until_cancelled(const test_bed_t *b, const char *name);
static void advance_runs(test_bed_t *b);
static void run_for_ms(test_bed_t *b, uint32_t ms);

static void test_bed_init(test_bed_t *b, uint32_t workers)
{
	ffl_dispatch_options_t opt = {
		.lease_max_ms = 10000,
		.order_late_max_ms = 12000,
		.stop_max_ms = 400,
		.gang_wait_ms = 3000,
		.reclaim_ms = 2900,
		.spread_percent = 300,
		.heartbeat_ms = 1500,
		.early_ms = 250,
		.adviser_addr = "adviser",
	};

	memset(b, 0, sizeof(*b));
	ffl_flows_init(&b->flows);
	ffl_dispatch_init(&b->d, &opt, &b->flows);
	b->guaranteed =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, NULL);
	b->d.guaranteed = b->guaranteed;
	b->evacuated = g_hash_table_new(g_str_hash, g_str_equal);
	b->d.evacuated = b->evacuated;
	b->now_ms = LEAD_MS;
	b->work_ms = 4000;
	b->valid_ms = 3000;
	ffl_dispatch_become_leader(&b->d, 1, 0, b->now_ms);
	for (uint32_t i = 0; i < workers; i++) {
		sim_worker_t *w = &b->workers[b->workers_count++];

		g_snprintf(w->entry.id, sizeof(w->entry.id), "w%02u", i);
		ffl_copy(w->entry.addr, sizeof(w->entry.addr), w->entry.id);
		ffl_copy(w->entry.service, sizeof(w->entry.service), "survey");
		ffl_copy(w->entry.rack, sizeof(w->entry.rack), "r1");
		ffl_copy(w->entry.dc, sizeof(w->entry.dc),
			 i % 2 ? "sur" : "norte");
		w->entry.born_ms = 1;
		w->entry.clock_ms = b->now_ms;
		w->entry.capacity =
			(ffl_resources_t){ CPU_MILLI, MEM_MB, GPUS };
		w->rate_percent = RATE_USUAL_PERCENT;
		w->runs = g_array_new(FALSE, TRUE, sizeof(sim_run_t));
		ffl_dispatch_update_worker(&b->d, &w->entry, b->now_ms,
					   b->now_ms);
	}
}

static void test_bed_finish(test_bed_t *b)
{
	for (uint32_t i = 0; i < b->workers_count; i++)
		g_array_free(b->workers[i].runs, TRUE);
	ffl_dispatch_finish(&b->d);
	ffl_flows_finish(&b->flows);
	g_hash_table_destroy(b->guaranteed);
	g_hash_table_destroy(b->evacuated);
}

/* Returns the lowest pace of the runs on the first worker, in percent. */
static uint32_t min_pace_percent(const test_bed_t *b)
{
	uint32_t lowest = 100;

	for (guint i = 0; i < b->workers[0].runs->len; i++)
		lowest = MIN(lowest,
			     g_array_index(b->workers[0].runs, sim_run_t, i)
				     .pace_percent);
	return lowest;
}

static ffl_flow_spec_t make_spec(const test_bed_t *b, const char *id,
				 uint32_t priority, ffl_step_t step)
{
	ffl_flow_spec_t spec;
	ffl_err_t err;

	ffl_flow_spec_init(&spec);
	g_snprintf(spec.id, sizeof(spec.id), "%016x", (unsigned)g_str_hash(id));
	ffl_copy(spec.queue, sizeof(spec.queue), "checks");
	ffl_copy(spec.service, sizeof(spec.service), "survey");
	ffl_copy(spec.customer, sizeof(spec.customer), "ponds");
	spec.priority = priority;
	spec.attempts_max = 2;
	spec.stretch_milli = 3000;
	spec.objective_base_ms = 1000;
	spec.spec = g_strdup("s");
	spec.steps_count = 1;
	spec.steps = g_new(ffl_step_t, 1);
	step.estimate_ms = b->work_ms;
	step.cpu_milli = step.gpus * 1000;
	step.mem_mb = step.gpus * 1000;
	spec.steps[0] = step;
	g_assert_cmpint(ffl_flow_spec_validate(&spec, &err), ==, FFL_OK);
	return spec;
}

static ffl_flow_t *submit(test_bed_t *b, const char *id, uint32_t priority,
			  ffl_step_t step)
{
	ffl_flow_spec_t spec = make_spec(b, id, priority, step);

	ffl_dispatch_request_placement(&b->d);
	return ffl_flows_add(&b->flows, &spec, g_str_hash(id));
}

static sim_worker_t *find_worker(test_bed_t *b, const char *id)
{
	for (uint32_t i = 0; i < b->workers_count; i++) {
		if (strcmp(b->workers[i].entry.id, id) == 0)
			return &b->workers[i];
	}
	g_assert_not_reached();
}

static void answer_advise(test_bed_t *b, const ffl_order_t *order)
{
	ffl_ticket_t tickets[WORKERS_MAX] = { 0 };
	ffl_reply_t reply = { .call = order->call,
			      .tickets = tickets,
			      .valid_ms = b->valid_ms };

	b->advised++;
	b->asked_workers_max =
		MAX(b->asked_workers_max, order->asked_workers->len);
	for (guint i = 0; i < order->asked_workers->len; i++) {
		const char *id = g_ptr_array_index(order->asked_workers, i);
		ffl_ticket_t *t = &tickets[reply.tickets_count];

		if (find_worker(b, id)->denied)
			continue;
		ffl_copy(t->worker, sizeof(t->worker), id);
		g_snprintf(t->ticket, sizeof(t->ticket), "%s/%s", order->task,
			   id);
		reply.tickets_count++;
	}
	ffl_dispatch_handle_reply(&b->d, &reply, b->now_ms);
}

static bool ticket_matches(const ffl_order_t *order)
{
	size_t step = strlen(order->task);

	while (step && order->task[step] != '.')
		step--;
	return order->ticket &&
	       strncmp(order->ticket, order->task, step) == 0 &&
	       strcmp(order->ticket + step + 1, order->worker) == 0;
}

/* Returns the tail latency of the service tasks on a worker: each best-effort
 * task adds to it in proportion to its pace. */
static uint32_t tail_ms(const test_bed_t *b, const sim_worker_t *w)
{
	uint32_t ms = b->base_tail_ms;

	for (guint i = 0; i < w->runs->len; i++) {
		const sim_run_t *r = &g_array_index(w->runs, sim_run_t, i);
		uint32_t task;
		ffl_flow_t *flow = ffl_task_find(&b->flows, r->task, &task);
		const ffl_step_t *step =
			&flow->spec.steps[ffl_flow_step_of(flow, task)];

		if (step->best_effort && !r->end_number)
			ms += b->best_effort_tail_ms * r->pace_percent / 100;
	}
	return ms;
}

static void answer_order(test_bed_t *b, const ffl_order_t *order)
{
	sim_worker_t *w = find_worker(b, order->worker);
	ffl_run_report_t running[64] = { 0 };
	ffl_run_report_t ended[64] = { 0 };
	ffl_reply_t reply = { .call = order->call,
			      .born_ms = 1,
			      .clock_ms = b->now_ms,
			      .running = running,
			      .ended = ended };
	sim_run_t run = { .run = order->run, .pace_percent = 100 };

	if (order->kind == FFL_ORDER_START && w->loses_starts) {
		w->starts++;
		reply.outcome = FFL_REPLY_UNKNOWN;
		ffl_dispatch_handle_reply(&b->d, &reply, b->now_ms);
		return;
	}
	if (order->kind == FFL_ORDER_START) {
		ffl_copy(run.task, sizeof(run.task), order->task);
		run.failed = w->fails || fails_everywhere(b, order->task);
		g_array_append_val(w->runs, run);
		w->starts++;
		w->starts_with_ticket += ticket_matches(order);
	}
	w->acked = MAX(w->acked, order->acked);
	for (guint i = 0; i < w->runs->len; i++) {
		sim_run_t *r = &g_array_index(w->runs, sim_run_t, i);
		bool has_ended = r->end_number != 0;
		ffl_run_report_t *row = has_ended
						? &ended[reply.ended_count]
						: &running[reply.running_count];

		if (order->kind == FFL_ORDER_STOP && r->run == order->run &&
		    strcmp(r->task, order->task) == 0 && !has_ended) {
			b->preempted += !r->stop_at_ms;
			r->stopped = true;
			r->stop_at_ms =
				MAX(r->stop_at_ms, b->now_ms + b->stop_ms);
		}
		if (order->kind == FFL_ORDER_THROTTLE && r->run == order->run &&
		    strcmp(r->task, order->task) == 0)
			r->pace_percent = order->percent;
		if (order->kind != FFL_ORDER_RENEW ||
		    (has_ended && r->end_number <= w->acked))
			continue;
		ffl_copy(row->task, sizeof(row->task), r->task);
		row->run = r->run;
		row->number = r->end_number;
		row->end = r->failed	? FFL_RUN_END_FAILED
			   : r->stopped ? FFL_RUN_END_STOPPED
					: FFL_RUN_END_DONE;
		row->percent = (uint32_t)(r->work * 100 / WORK);
		row->recent_load = tail_ms(b, w);
		reply.ended_count += has_ended;
		reply.running_count += !has_ended;
	}
	ffl_dispatch_handle_reply(&b->d, &reply, b->now_ms);
}

static bool fails_everywhere(const test_bed_t *b, const char *name)
{
	uint32_t task;

	return b->poison == ffl_task_find(&b->flows, name, &task) && b->poison;
}

static bool runs_until_cancelled(const test_bed_t *b, const char *name)
{
	uint32_t task;
	ffl_flow_t *flow = ffl_task_find(&b->flows, name, &task);

	return flow->spec.steps[ffl_flow_step_of(flow, task)]
		.runs_until_cancelled;
}

static void advance_runs(test_bed_t *b)
{
	for (uint32_t i = 0; i < b->workers_count; i++) {
		sim_worker_t *w = &b->workers[i];

		for (guint k = 0; k < w->runs->len; k++) {
			sim_run_t *r = &g_array_index(w->runs, sim_run_t, k);

			if (r->stop_at_ms && !r->end_number &&
			    b->now_ms >= r->stop_at_ms)
				r->end_number = ++w->ended;
			if (r->failed && !r->end_number)
				r->end_number = ++w->ended;
			if (r->stop_at_ms || w->hangs || r->failed)
				continue;
			r->work += (uint64_t)STEP_MS * WORK * w->rate_percent /
				   RATE_USUAL_PERCENT / b->work_ms;
			if (r->work < WORK || r->end_number)
				continue;
			r->work = WORK;
			if (runs_until_cancelled(b, r->task))
				continue;
			r->end_number = ++w->ended;
		}
	}
}

/* Renewals with a wait are answered once a second or when a run has ended, as
 * long polls are. */
static void run_for_ms(test_bed_t *b, uint32_t ms)
{
	GArray *orders = g_array_new(FALSE, TRUE, sizeof(ffl_order_t));
	GPtrArray *changed = g_ptr_array_new();
	GArray *holds = g_array_new(FALSE, TRUE, sizeof(ffl_order_t));

	for (uint64_t end = b->now_ms + ms; b->now_ms < end;) {
		b->now_ms += STEP_MS;
		advance_runs(b);
		g_array_set_size(orders, 0);
		ffl_dispatch_step(&b->d, b->now_ms, b->now_ms, true, true,
				  orders);
		for (guint i = 0; i < orders->len; i++) {
			ffl_order_t *order =
				&g_array_index(orders, ffl_order_t, i);

			if (order->kind == FFL_ORDER_ADVISE)
				answer_advise(b, order);
			else if (order->kind == FFL_ORDER_RENEW &&
				 order->wait_ms)
				g_array_append_val(holds, *order);
			else
				answer_order(b, order);
		}
		for (guint i = holds->len; i-- > 0;) {
			ffl_order_t hold = g_array_index(holds, ffl_order_t, i);

			if (b->now_ms % 1000 != 0 &&
			    find_worker(b, hold.worker)->ended <= hold.acked)
				continue;
			g_array_remove_index_fast(holds, i);
			answer_order(b, &hold);
		}
		g_ptr_array_set_size(changed, 0);
		ffl_dispatch_confirm_batch(
			&b->d, ffl_dispatch_take_batch(&b->d, changed));
	}
	for (guint i = 0; i < holds->len; i++)
		answer_order(b, &g_array_index(holds, ffl_order_t, i));
	g_array_free(holds, TRUE);
	g_array_free(orders, TRUE);
	g_ptr_array_free(changed, TRUE);
}

/* Tasks of a gang do equal work, so the dispatcher learns the relative speed of
 * workers from them: urgent work must go to the fastest worker, other work to
 * the slowest. */
static void test_speed_learned(void)
{
	test_bed_t b;

	test_bed_init(&b, 4);
	b.workers[0].rate_percent = 80;
	b.workers[3].rate_percent = 125;
	for (uint32_t i = 0; i < 4; i++) {
		char id[8];

		g_snprintf(id, sizeof(id), "g%u", i);
		submit(&b, id, 1,
		       (ffl_step_t){ .tasks = 4, .gpus = 8, .gang = true });
		run_for_ms(&b, 8000);
	}
	submit(&b, "first", 0,
	       (ffl_step_t){ .tasks = 1, .gpus = 8, .gang = true });
	run_for_ms(&b, 500);
	g_assert_cmpuint(b.workers[3].runs->len, ==, 5);
	submit(&b, "later", 1,
	       (ffl_step_t){ .tasks = 1, .gpus = 8, .gang = true });
	run_for_ms(&b, 500);
	g_assert_cmpuint(b.workers[0].runs->len, ==, 5);
	test_bed_finish(&b);
}

/* A worker that has become slow gets no new task while others have capacity. */
static void test_slow_worker_avoided(void)
{
	ffl_flow_t *gang;
	sim_worker_t *slow;
	uint32_t before;
	test_bed_t b;

	test_bed_init(&b, 4);
	b.work_ms = 20000;
	gang = submit(&b, "gang", 1,
		      (ffl_step_t){ .tasks = 2, .gpus = 3, .gang = true });
	run_for_ms(&b, 3000);
	slow = find_worker(&b, gang->tasks[0].worker);
	slow->rate_percent = 10;
	run_for_ms(&b, 2500);
	before = slow->starts;
	submit(&b, "new", 1, (ffl_step_t){ .tasks = 3, .gpus = 1 });
	run_for_ms(&b, 500);
	g_assert_cmpuint(slow->starts, ==, before);
	test_bed_finish(&b);
}

/* A task that makes no progress between two reports while the rest of its gang
 * does is taken to hang and is restarted. */
static void test_hang_detected(void)
{
	ffl_flow_t *flow;
	test_bed_t b;

	test_bed_init(&b, 6);
	flow = submit(&b, "gang", 0,
		      (ffl_step_t){ .tasks = 3, .gpus = 8, .gang = true });
	run_for_ms(&b, 1200);
	find_worker(&b, flow->tasks[1].worker)->hangs = true;
	run_for_ms(&b, 2100);
	g_assert_cmpuint(flow->tasks[1].run, ==, 2);
	test_bed_finish(&b);
}

/* Preemption stops no more tasks of a service step than its unavailable_max; 0
 * sets no limit. */
static void test_max_unavailable(void)
{
	static const struct {
		uint32_t max;
		uint32_t asked;
		uint32_t stopped;
	} cases[] = {
		{ 1, 1, 1 },
		{ 1, 2, 0 },
		{ 3, 3, 3 },
		{ 0, 4, 4 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		test_bed_t b;

		test_bed_init(&b, 4);
		g_hash_table_insert(b.guaranteed, "ponds",
				    GUINT_TO_POINTER(32));
		submit(&b, "serves", 1,
		       (ffl_step_t){ .tasks = 4,
				     .gpus = 8,
				     .runs_until_cancelled = true,
				     .unavailable_max = cases[i].max });
		run_for_ms(&b, 6000);
		submit(&b, "first", 0,
		       (ffl_step_t){ .tasks = cases[i].asked, .gpus = 8 });
		run_for_ms(&b, 1500);
		g_assert_cmpuint(b.preempted, ==, cases[i].stopped);
		test_bed_finish(&b);
	}
}

/* Tasks that run until cancelled are still placed, however long they have
 * waited. */
static void test_until_cancelled_placed(void)
{
	ffl_flow_t *serves;
	test_bed_t b;

	test_bed_init(&b, 1);
	b.work_ms = 100;
	serves = submit(&b, "serves", 2,
			(ffl_step_t){ .tasks = 5,
				      .gpus = 1,
				      .runs_until_cancelled = true });
	run_for_ms(&b, 30000);
	g_assert_cmpuint(serves->placed_count, ==, 5);
	test_bed_finish(&b);
}

/* A step that needs tickets runs only on workers that the adviser grants one
 * for; the adviser is called again only after the tickets have expired. */
static void test_advice(void)
{
	ffl_flow_t *first;
	ffl_flow_t *more;
	test_bed_t b;

	test_bed_init(&b, 6);
	for (uint32_t i = 0; i < 4; i++)
		b.workers[i].denied = true;
	first = submit(&b, "first", 0,
		       (ffl_step_t){ .tasks = 3, .gpus = 4, .gang = true });
	first->spec.needs_tickets = true;
	run_for_ms(&b, 300);
	g_assert_true(first->started);
	g_assert_cmpuint(b.advised, ==, 1);
	g_assert_cmpuint(b.asked_workers_max, ==, 6);
	g_assert_cmpuint(b.workers[4].starts_with_ticket +
				 b.workers[5].starts_with_ticket,
			 ==, 3);
	more = submit(&b, "more", 0, (ffl_step_t){ .tasks = 2, .gpus = 4 });
	more->spec.needs_tickets = true;
	run_for_ms(&b, 1000);
	/* Each step has its own call; denied workers stay unused. */
	g_assert_cmpuint(b.advised, ==, 2);
	g_assert_cmpuint(more->placed_count, ==, 1);
	run_for_ms(&b, 8000);
	g_assert_cmpuint(more->done_count, ==, 2);
	for (uint32_t i = 0; i < 4; i++)
		g_assert_cmpuint(b.workers[i].starts, ==, 0);
	test_bed_finish(&b);
}

/* Without an adviser, work that needs tickets waits and other work is still
 * placed. */
static void test_no_adviser(void)
{
	ffl_flow_t *advised;
	ffl_flow_t *plain;
	test_bed_t b;

	test_bed_init(&b, 2);
	b.d.opt.adviser_addr[0] = '\0';
	advised = submit(&b, "advised", 0, (ffl_step_t){ .tasks = 1 });
	advised->spec.needs_tickets = true;
	plain = submit(&b, "plain", 1, (ffl_step_t){ .tasks = 1, .gpus = 1 });
	run_for_ms(&b, 1000);
	g_assert_false(advised->started);
	g_assert_true(plain->started);
	test_bed_finish(&b);
}

/* Best-effort work is throttled as far as the latency objective of the service
 * on the same worker needs, and runs at full pace when it does no harm. */
static void test_pace(void)
{
	static const struct {
		uint32_t base_ms;
		uint32_t best_effort_ms;
		uint32_t pace_max; /**< bounds of the final pace, in percent */
		uint32_t pace_min;
	} cases[] = {
		{ 50, 0, 100, 100 },  /* no harm */
		{ 50, 15, 100, 100 }, /* little harm */
		{ 50, 200, 30, 0 },   /* harmless at a fifth of its pace */
		{ 95, 10, 0, 0 },     /* objective almost reached without it */
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		uint32_t late_steps = 0;
		test_bed_t b;

		test_bed_init(&b, 1);
		b.work_ms = 500;
		b.base_tail_ms = cases[i].base_ms;
		b.best_effort_tail_ms = cases[i].best_effort_ms;
		submit(&b, "serves", 1,
		       (ffl_step_t){ .tasks = 1,
				     .gpus = 1,
				     .runs_until_cancelled = true,
				     .target_ms = 100 });
		submit(&b, "fills", 2,
		       (ffl_step_t){ .tasks = 1,
				     .runs_until_cancelled = true,
				     .best_effort = true });
		for (uint32_t k = 0; k < 100; k++) {
			run_for_ms(&b, 100);
			late_steps = tail_ms(&b, &b.workers[0]) > 100
					     ? late_steps + 1
					     : 0;
			/* Misses the objective for less than 4 s on end. */
			g_assert_cmpuint(late_steps, <, 40);
		}
		g_assert_cmpuint(min_pace_percent(&b), <=, cases[i].pace_max);
		g_assert_cmpuint(min_pace_percent(&b), >=, cases[i].pace_min);
		test_bed_finish(&b);
	}
}

/* A run is moved off a draining worker when its own progress shows that it
 * would not end in time, even if the estimate from its queue says otherwise;
 * one that ends in time stays. */
static void test_moved_off_draining(void)
{
	static const struct {
		uint32_t rate_percent;
		uint32_t run;
	} cases[] = {
		{ 25, 2 },
		{ 100, 1 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		ffl_flow_t *flow;
		sim_worker_t *w;
		test_bed_t b;

		test_bed_init(&b, 2);
		b.workers[0].rate_percent = cases[i].rate_percent;
		b.workers[1].rate_percent = cases[i].rate_percent;
		flow = submit(&b, "one", 1,
			      (ffl_step_t){ .tasks = 1, .gpus = 1 });
		run_for_ms(&b, 2200);
		w = find_worker(&b, flow->tasks[0].worker);
		w->entry.draining = true;
		w->entry.drain_left_ms = 5000;
		ffl_dispatch_update_worker(&b.d, &w->entry, b.now_ms, b.now_ms);
		run_for_ms(&b, 1500);
		g_assert_cmpuint(flow->tasks[0].run, ==, cases[i].run);
		test_bed_finish(&b);
	}
}

/* Two gangs that preempt others at the same time must not count on the same
 * freed capacity. */
static void test_concurrent_preemptions(void)
{
	ffl_flow_t *first;
	ffl_flow_t *second;
	test_bed_t b;

	test_bed_init(&b, 4);
	b.stop_ms = 350;
	g_hash_table_insert(b.guaranteed, "ponds", GUINT_TO_POINTER(32));
	b.work_ms = 60000;
	submit(&b, "low", 2, (ffl_step_t){ .tasks = 32, .gpus = 1 });
	run_for_ms(&b, 30000);
	first = submit(&b, "a", 0,
		       (ffl_step_t){ .tasks = 2, .gpus = 8, .gang = true });
	run_for_ms(&b, 150);
	second = submit(&b, "b", 0,
			(ffl_step_t){ .tasks = 2, .gpus = 8, .gang = true });
	/* Time for one stop each, and for the calls and their answers. */
	run_for_ms(&b, 700);
	g_assert_true(first->started);
	g_assert_true(second->started);
	test_bed_finish(&b);
}

/* A gang within the guarantee of its customer is spread over several racks when
 * it would otherwise start after the reclaim limit. */
static void test_reclaim_spreads(void)
{
	ffl_flow_t *flow;
	test_bed_t b;

	test_bed_init(&b, 4);
	for (uint32_t i = 2; i < 4; i++) {
		ffl_copy(b.workers[i].entry.rack, sizeof(ffl_name_t), "r2");
		ffl_dispatch_update_worker(&b.d, &b.workers[i].entry, b.now_ms,
					   b.now_ms);
	}
	g_hash_table_insert(b.guaranteed, "ponds", GUINT_TO_POINTER(32));
	b.work_ms = 20000;
	submit(&b, "a", 0, (ffl_step_t){ .tasks = 1, .gpus = 8 });
	run_for_ms(&b, 100);
	/* Work of priority 0, which is not preempted, takes a worker of the
	 * other rack too: no rack has two free workers. */
	submit(&b, "b", 0, (ffl_step_t){ .tasks = 1, .gpus = 8, .rack = "r2" });
	run_for_ms(&b, 100);
	flow = submit(&b, "c", 0,
		      (ffl_step_t){ .tasks = 2,
				    .gpus = 8,
				    .gang = true,
				    .same_rack = true });
	run_for_ms(&b, 2900);
	g_assert_true(flow->started);
	test_bed_finish(&b);
}

/* A job larger than its customer's guarantee does not keep smaller jobs of the
 * customer from using it. */
static void test_guarantee_skips_large(void)
{
	ffl_flow_t *large;
	ffl_flow_t *small;
	test_bed_t b;

	test_bed_init(&b, 2);
	g_hash_table_insert(b.guaranteed, "ponds", GUINT_TO_POINTER(8));
	b.work_ms = 60000;
	submit(&b, "low", 2, (ffl_step_t){ .tasks = 16, .gpus = 1 });
	run_for_ms(&b, 30000);
	b.work_ms = 4000;
	large = submit(&b, "a-large", 0,
		       (ffl_step_t){ .tasks = 4, .gpus = 8, .gang = true });
	large->spec_offset = 1;
	small = submit(&b, "b-small", 0,
		       (ffl_step_t){ .tasks = 1, .gpus = 8, .gang = true });
	small->spec_offset = 2;
	run_for_ms(&b, 1500);
	g_assert_true(small->started);
	g_assert_false(large->started);
	test_bed_finish(&b);
}

/* Work of priority 0 preempts others even without a guarantee, but only if this
 * discards no more work than its own. */
static void test_first_priority(void)
{
	static const struct {
		uint32_t low_ran_ms;
		bool starts;
	} cases[] = {
		{ 1000, true },
		{ 30000, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		ffl_flow_t *first;
		test_bed_t b;

		test_bed_init(&b, 2);
		b.work_ms = 60000;
		submit(&b, "low", 2, (ffl_step_t){ .tasks = 16, .gpus = 1 });
		run_for_ms(&b, cases[i].low_ran_ms);
		b.work_ms = 4000;
		first = submit(
			&b, "first", 0,
			(ffl_step_t){ .tasks = 2, .gpus = 4, .gang = true });
		run_for_ms(&b, 1500);
		g_assert_cmpint(first->started, ==, cases[i].starts);
		test_bed_finish(&b);
	}
}

/* Runs that a new leader takes over tell nothing of how long runs take, as it
 * does not know when they began: first priority still gets its room. */
static void test_takeover_run_times(void)
{
	ffl_flow_t *before;
	ffl_flow_t *first;
	test_bed_t b;

	test_bed_init(&b, 2);
	before = submit(&b, "before", 1, (ffl_step_t){ .tasks = 2, .gpus = 1 });
	run_for_ms(&b, b.work_ms - 300);
	ffl_dispatch_become_leader(&b.d, 2, b.now_ms, b.now_ms);
	for (uint32_t i = 0; i < b.workers_count; i++)
		ffl_dispatch_update_worker(&b.d, &b.workers[i].entry, b.now_ms,
					   b.now_ms);
	run_for_ms(&b, 1500);
	g_assert_cmpint(ffl_flow_state(before), ==, FFL_FLOW_COMPLETED);
	b.work_ms = 60000;
	submit(&b, "low", 2, (ffl_step_t){ .tasks = 16, .gpus = 1 });
	run_for_ms(&b, 1000);
	b.work_ms = 4000;
	first = submit(&b, "first", 0,
		       (ffl_step_t){ .tasks = 2, .gpus = 4, .gang = true });
	run_for_ms(&b, 1500);
	g_assert_true(first->started);
	test_bed_finish(&b);
}

/* While workers fail what they start, a job with slack keeps its last attempt
 * until they are found out; one without goes on, as it would be late. */
static void test_last_attempt_waits(void)
{
	static const struct {
		const char *name;
		uint32_t priority;
		uint32_t attempts_max;
		uint32_t stretch_milli;
		ffl_step_t step;
		bool waits;
	} cases[] = {
		{ "gang",
		  1,
		  2,
		  6000,
		  { .tasks = 6, .gpus = 8, .gang = true },
		  true },
		{ "gang, three attempts",
		  1,
		  3,
		  6000,
		  { .tasks = 6, .gpus = 8, .gang = true },
		  true },
		{ "tasks", 2, 2, 6000, { .tasks = 6, .gpus = 8 }, true },
		{ "first priority",
		  0,
		  2,
		  6000,
		  { .tasks = 6, .gpus = 8, .gang = true },
		  true },
		{ "no slack",
		  1,
		  2,
		  1000,
		  { .tasks = 6, .gpus = 8, .gang = true },
		  false },
	};

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		ffl_flow_t *flow;
		test_bed_t b;

		g_test_message("%s", cases[i].name);
		test_bed_init(&b, 12);
		/* Another job shows that it is not only this one that fails. */
		b.workers[0].fails = true;
		submit(&b, "other", 0, (ffl_step_t){ .tasks = 1, .gpus = 8 });
		run_for_ms(&b, 150);
		for (uint32_t k = 1; k < b.workers_count; k++)
			b.workers[k].fails = k < 4;
		flow = submit(&b, "job", cases[i].priority, cases[i].step);
		flow->spec.attempts_max = cases[i].attempts_max;
		flow->spec.stretch_milli = cases[i].stretch_milli;
		run_for_ms(&b, 3000);
		for (uint32_t k = 0; k < b.workers_count; k++)
			b.workers[k].fails = false;
		g_assert_true(flow->failed == !cases[i].waits);
		run_for_ms(&b, 15000);
		g_assert_true((ffl_flow_state(flow) == FFL_FLOW_COMPLETED) ==
			      cases[i].waits);
		test_bed_finish(&b);
	}
}

/* The last attempt of any task of a step is kept off a worker on probation,
 * not only that of its first one. */
static void test_last_attempt_off_probation(void)
{
	ffl_flow_t *flow;
	test_bed_t b;

	test_bed_init(&b, 5);
	b.work_ms = 8000;
	b.workers[0].fails = true;
	submit(&b, "first", 1, (ffl_step_t){ .tasks = 1, .gpus = 8 });
	submit(&b, "rest", 1, (ffl_step_t){ .tasks = 2, .gpus = 8 });
	run_for_ms(&b, 4200);
	g_assert_cmpuint(b.workers[0].starts, ==, 1);
	flow = submit(&b, "job", 1, (ffl_step_t){ .tasks = 2, .gpus = 8 });
	flow->tasks[1].failures = 1;
	run_for_ms(&b, 20000);
	g_assert_cmpint(ffl_flow_state(flow), ==, FFL_FLOW_COMPLETED);
	test_bed_finish(&b);
}

/* Moves a worker to another service and rack. */
static void move_worker(test_bed_t *b, uint32_t worker, const char *service,
			const char *rack)
{
	ffl_worker_entry_t *entry = &b->workers[worker].entry;

	ffl_copy(entry->service, sizeof(entry->service), service);
	ffl_copy(entry->rack, sizeof(entry->rack), rack);
	ffl_dispatch_update_worker(&b->d, entry, b->now_ms, b->now_ms);
}

/* A step that finds no room in one service keeps no step of another service
 * waiting, whatever else they have in common. */
static void test_full_service_bars_idle(void)
{
	static const ffl_step_t steps[] = {
		{ .tasks = 2, .gpus = 1 },
		{ .tasks = 1, .gpus = 8 },
		{ .tasks = 2, .gpus = 1, .gang = true },
		{ .tasks = 2, .gpus = 1, .gang = true, .same_rack = true },
		{ .tasks = 2, .gpus = 1, .rack = "r1" },
		{ .tasks = 2, .gpus = 1, .runs_until_cancelled = true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
		ffl_flow_t *waits;
		ffl_flow_t *flow;
		test_bed_t b;

		test_bed_init(&b, 4);
		move_worker(&b, 2, "fitting", "r1");
		move_worker(&b, 3, "fitting", "r1");
		submit(&b, "full", 1,
		       (ffl_step_t){ .tasks = 16,
				     .gpus = 1,
				     .runs_until_cancelled = true });
		run_for_ms(&b, 200);
		waits = submit(&b, "waits", 1, steps[i]);
		waits->spec_offset = 1;
		flow = submit(&b, "idle", 1, steps[i]);
		ffl_copy(flow->spec.service, sizeof(flow->spec.service),
			 "fitting");
		flow->spec_offset = 2;
		run_for_ms(&b, 300);
		g_assert_false(waits->started);
		g_assert_true(flow->started);
		test_bed_finish(&b);
	}
}

/* A step that may only run close to its data keeps none waiting that may run
 * elsewhere by now. */
static void test_full_rack_bars_remote(void)
{
	static const ffl_step_t steps[] = {
		{ .tasks = 2, .gpus = 1, .rack = "r1" },
		{ .tasks = 2, .gpus = 1, .rack = "r1", .gang = true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
		ffl_flow_t *later;
		ffl_flow_t *flow;
		test_bed_t b;

		test_bed_init(&b, 2);
		move_worker(&b, 1, "survey", "r2");
		submit(&b, "full", 1,
		       (ffl_step_t){ .tasks = 8,
				     .gpus = 1,
				     .rack = "r1",
				     .runs_until_cancelled = true });
		run_for_ms(&b, 500);
		flow = submit(&b, "first", 2, steps[i]);
		run_for_ms(&b, b.work_ms / 4);
		later = submit(&b, "later", 1, steps[i]);
		run_for_ms(&b, b.work_ms / 4 + 300);
		g_assert_false(later->started);
		g_assert_true(flow->started);
		test_bed_finish(&b);
	}
}

/* A job with slack leaves room to guaranteed work of its own service only. */
static void test_headroom_of_other_service(void)
{
	ffl_flow_t *flow;
	test_bed_t b;

	test_bed_init(&b, 5);
	move_worker(&b, 4, "fitting", "r1");
	submit(&b, "full", 1,
	       (ffl_step_t){
		       .tasks = 32, .gpus = 1, .runs_until_cancelled = true });
	run_for_ms(&b, 500);
	flow = submit(&b, "idle", 2, (ffl_step_t){ .tasks = 1, .gpus = 1 });
	ffl_copy(flow->spec.service, sizeof(flow->spec.service), "fitting");
	run_for_ms(&b, 300);
	g_assert_true(flow->started);
	test_bed_finish(&b);
}

/* A worker that fails what it starts at once is left out after the first
 * failure, so that a job with two attempts does not lose both there, although
 * no other worker has room. */
static void test_failed_at_once(void)
{
	static const struct {
		const char *name;
		ffl_step_t step;
	} cases[] = {
		{ "single", { .tasks = 1, .gpus = 8 } },
		{ "gang", { .tasks = 2, .gpus = 8, .gang = true } },
		{ "tight",
		  { .tasks = 2, .gpus = 8, .gang = true, .same_rack = true } },
	};

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		ffl_flow_t *busy;
		ffl_flow_t *flow;
		test_bed_t b;

		g_test_message("%s", cases[i].name);
		test_bed_init(&b, 6);
		b.workers[5].fails = true;
		busy = submit(
			&b, "busy", 0,
			(ffl_step_t){ .tasks = cases[i].step.tasks == 1 ? 5 : 4,
				      .gpus = 8 });
		run_for_ms(&b, 100);
		g_assert_cmpuint(busy->done_count, ==, 0);
		flow = submit(&b, "new", 1, cases[i].step);
		run_for_ms(&b, 10000);
		g_assert_cmpint(ffl_flow_state(flow), ==, FFL_FLOW_COMPLETED);
		test_bed_finish(&b);
	}
}

/* A job whose runs fail at once everywhere leaves out no more than three
 * workers. */
static void test_hopeless_job(void)
{
	ffl_flow_t *flow;
	test_bed_t b;

	test_bed_init(&b, 12);
	b.poison =
		submit(&b, "poison", 2, (ffl_step_t){ .tasks = 12, .gpus = 8 });
	run_for_ms(&b, 1000);
	g_assert_true(b.poison->failed);
	flow = submit(&b, "new", 1,
		      (ffl_step_t){ .tasks = 9, .gpus = 8, .gang = true });
	run_for_ms(&b, 1000);
	g_assert_cmpuint(flow->placed_count, ==, 9);
	test_bed_finish(&b);
}

/* A queue's limit of attempts is changed while a job of it has a failure: a
 * lower one must not be exceeded, and of a higher one it has the rest. */
static void test_attempts_changed(void)
{
	static const struct {
		const char *name;
		uint32_t attempts_max;
		uint32_t runs;
	} cases[] = {
		{ "kept", 2, 2 },
		{ "raised", 3, 3 },
		{ "lowered", 1, 1 },
	};

	for (uint32_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		test_bed_t b;
		ffl_flow_t *flow;

		g_test_message("%s", cases[i].name);
		test_bed_init(&b, 4);
		flow = submit(&b, "poison", 1,
			      (ffl_step_t){ .tasks = 1, .gpus = 8 });
		b.poison = flow;
		while (!flow->tasks[0].failures)
			run_for_ms(&b, 10);
		g_assert_cmpint(flow->tasks[0].state, ==, FFL_TASK_WAITING);
		flow->spec.attempts_max = cases[i].attempts_max;
		ffl_dispatch_update_queues(&b.d);
		run_for_ms(&b, 40000);
		g_assert_cmpint(ffl_flow_state(flow), ==, FFL_FLOW_FAILED);
		g_assert_cmpuint(flow->tasks[0].run, ==, cases[i].runs);
		test_bed_finish(&b);
	}
}

/* A worker that was left out is tried with a single task first, not with a
 * gang; once that is at work, all is placed there again. */
static void test_probation(void)
{
	static const struct {
		const char *name;
		bool still_fails;
		ffl_step_t step;
		uint32_t starts; /* on the worker, by the step's job */
	} cases[] = {
		{ "gang, sound",
		  false,
		  { .tasks = 2, .gpus = 4, .gang = true },
		  0 },
		{ "tasks, sound", false, { .tasks = 2, .gpus = 4 }, 2 },
		{ "tasks, failing", true, { .tasks = 2, .gpus = 4 }, 1 },
	};

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		test_bed_t b;

		g_test_message("%s", cases[i].name);
		test_bed_init(&b, 4);
		b.work_ms = 8000;
		b.workers[0].fails = true;
		submit(&b, "first", 1, (ffl_step_t){ .tasks = 1, .gpus = 8 });
		submit(&b, "rest", 1, (ffl_step_t){ .tasks = 3, .gpus = 8 });
		run_for_ms(&b, 500);
		g_assert_cmpuint(b.workers[0].starts, ==, 1);
		b.workers[0].fails = cases[i].still_fails;
		b.workers[0].starts = 0;
		run_for_ms(&b, 3700);
		submit(&b, "new", 1, cases[i].step);
		run_for_ms(&b, 2500);
		g_assert_cmpuint(b.workers[0].starts, ==, cases[i].starts);
		test_bed_finish(&b);
	}
}

/* When room is short, the job goes first that needs the least of it, unless
 * another one has priority or could not be in time after waiting. */
static void test_order_of_waiting(void)
{
	static const struct {
		const char *name;
		uint32_t early_tasks, late_tasks;
		uint32_t early_priority, late_priority;
		uint32_t early_stretch_milli, late_stretch_milli;
		bool late_first;
	} cases[] = {
		{ "less work first", 8, 1, 2, 2, 9000, 9000, true },
		{ "about the same work: by age", 3, 2, 2, 2, 9000, 9000,
		  false },
		{ "priority before work", 8, 1, 1, 2, 9000, 9000, false },
		{ "in time before work", 8, 1, 2, 2, 9000, 0, false },
	};

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		ffl_flow_t *early;
		ffl_flow_t *late;
		test_bed_t b;

		g_test_message("%s", cases[i].name);
		test_bed_init(&b, 1);
		submit(&b, "busy", 0, (ffl_step_t){ .tasks = 1, .gpus = 8 });
		run_for_ms(&b, 500);
		early = submit(&b, "early", cases[i].early_priority,
			       (ffl_step_t){ .tasks = cases[i].early_tasks,
					     .gpus = 8 });
		early->spec.stretch_milli = cases[i].early_stretch_milli;
		run_for_ms(&b, 500);
		late = submit(&b, "late", cases[i].late_priority,
			      (ffl_step_t){ .tasks = cases[i].late_tasks,
					    .gpus = 8 });
		late->spec.stretch_milli = cases[i].late_stretch_milli;
		run_for_ms(&b, 4000);
		g_assert_true(late->started == cases[i].late_first);
		g_assert_true(early->started == !cases[i].late_first);
		test_bed_finish(&b);
	}
}

/* The run is stopped that costs callers least: the work that is lost, more
 * where its job gets late by it, and more with priority. */
static void test_choice_of_victim(void)
{
	static const struct {
		const char *name;
		uint32_t priority[2];
		uint32_t stretch_milli[2];
		uint32_t victim;
	} cases[] = {
		{ "least work lost", { 2, 2 }, { 9000, 9000 }, 1 },
		{ "one would be late", { 2, 2 }, { 9000, 1000 }, 0 },
		{ "one is worth nothing", { 2, 2 }, { 9000, 0 }, 1 },
		{ "one has priority", { 2, 1 }, { 9000, 9000 }, 0 },
	};

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		ffl_flow_t *flows[2];
		test_bed_t b;

		g_test_message("%s", cases[i].name);
		test_bed_init(&b, 2);
		for (uint32_t k = 0; k < 2; k++) {
			flows[k] =
				submit(&b, k ? "second" : "first",
				       cases[i].priority[k],
				       (ffl_step_t){ .tasks = 1, .gpus = 8 });
			flows[k]->spec.stretch_milli =
				cases[i].stretch_milli[k];
			run_for_ms(&b, 500);
		}
		run_for_ms(&b, 500);
		submit(&b, "urgent", 0, (ffl_step_t){ .tasks = 1, .gpus = 8 });
		run_for_ms(&b, 1000);
		g_assert_cmpuint(flows[cases[i].victim]->placed_count, ==, 0);
		g_assert_cmpuint(flows[!cases[i].victim]->placed_count, ==, 1);
		test_bed_finish(&b);
	}
}

static void lose_to_guarantee(test_bed_t *b, ffl_flow_t *flow)
{
	(void)flow;
	g_hash_table_insert(b->guaranteed, "ponds", GUINT_TO_POINTER(8));
	submit(b, "urgent", 0, (ffl_step_t){ .tasks = 1, .gpus = 8 });
}

static void lose_to_urgent(test_bed_t *b, ffl_flow_t *flow)
{
	(void)flow;
	submit(b, "urgent", 0, (ffl_step_t){ .tasks = 1, .gpus = 8 });
}

static void lose_by_cancelling(test_bed_t *b, ffl_flow_t *flow)
{
	flow->cancelled = true;
	ffl_dispatch_request_placement(&b->d);
}

static void lose_by_draining(test_bed_t *b, ffl_flow_t *flow)
{
	sim_worker_t *w = find_worker(b, flow->tasks[0].worker);

	w->entry.draining = true;
	ffl_dispatch_update_worker(&b->d, &w->entry, b->now_ms, b->now_ms);
}

static void lose_by_hanging(test_bed_t *b, ffl_flow_t *flow)
{
	find_worker(b, flow->tasks[0].worker)->hangs = true;
}

static void lose_by_failing(test_bed_t *b, ffl_flow_t *flow)
{
	sim_worker_t *w = find_worker(b, flow->tasks[0].worker);

	g_array_index(w->runs, sim_run_t, 0).failed = true;
}

static void lose_worker(test_bed_t *b, ffl_flow_t *flow)
{
	sim_worker_t *w = find_worker(b, flow->tasks[0].worker);

	w->entry.draining = true;
	w->entry.drain_left_ms = 60000;
	ffl_dispatch_update_worker(&b->d, &w->entry, b->now_ms, b->now_ms);
	ffl_dispatch_remove_worker(&b->d, w->entry.id, 10000, b->now_ms);
}

/* Work that is lost since a run's start is counted by why the run ended; a
 * gang's that broke is counted apart from the failure that broke it. */
static void test_lost_work(void)
{
	static const struct {
		const char *name;
		void (*lose)(test_bed_t *b, ffl_flow_t *flow);
		uint32_t tasks; /**< of the gang */
		ffl_loss_t loss;
		uint32_t runs;
		uint32_t work_min, work_max; /**< core-ms, 72 cores a task */
	} cases[] = {
		{ "guaranteed work", lose_to_guarantee, 1, FFL_LOSS_RECLAIMED,
		  1, 72000, 144000 },
		{ "urgent work", lose_to_urgent, 1, FFL_LOSS_PREEMPTED, 1,
		  72000, 144000 },
		{ "cancelled", lose_by_cancelling, 2, FFL_LOSS_CANCELLED, 2,
		  144000, 288000 },
		{ "drained", lose_by_draining, 2, FFL_LOSS_WORKER_LEAVES, 2,
		  144000, 288000 },
		{ "hung", lose_by_hanging, 1, FFL_LOSS_HUNG, 1, 72000, 576000 },
		{ "failed", lose_by_failing, 1, FFL_LOSS_FAILED, 1, 72000,
		  144000 },
		{ "gang broken by a failure", lose_by_failing, 2,
		  FFL_LOSS_GANG_BROKEN, 1, 72000, 144000 },
		{ "worker gone", lose_worker, 1, FFL_LOSS_LEASE_EXPIRED, 1,
		  72000, 144000 },
	};

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		ffl_flow_t *flow;
		test_bed_t b;
		uint64_t others = 0;

		g_test_message("%s", cases[i].name);
		test_bed_init(&b, cases[i].tasks);
		b.work_ms = 8000;
		flow = submit(&b, "low", 2,
			      (ffl_step_t){ .tasks = cases[i].tasks,
					    .gpus = 8,
					    .gang = true });
		run_for_ms(&b, 1300);
		cases[i].lose(&b, flow);
		for (uint32_t t = 0; t < 15000 && !b.d.lost_runs[cases[i].loss];
		     t += STEP_MS)
			run_for_ms(&b, STEP_MS);
		run_for_ms(&b, 300);
		for (uint32_t k = 0; k < FFL_LOSS__MAX; k++) {
			g_assert_cmpstr(ffl_loss_name(k), !=, "?");
			if (k != cases[i].loss && k != FFL_LOSS_FAILED)
				others += b.d.lost_runs[k];
		}
		g_assert_cmpuint(b.d.lost_runs[cases[i].loss], ==,
				 cases[i].runs);
		g_assert_cmpuint(b.d.lost_work[cases[i].loss], >=,
				 cases[i].work_min);
		g_assert_cmpuint(b.d.lost_work[cases[i].loss], <,
				 cases[i].work_max);
		g_assert_cmpuint(others, ==, 0);
		test_bed_finish(&b);
	}
}

/* No more is stopped than what a job needs. */
static void test_spared(void)
{
	static const struct {
		const char *name;
		uint32_t low_tasks[2], low_gpus[2]; /**< of two gangs */
		uint32_t low_work_ms;
		uint32_t tasks, gpus, stretch_milli; /**< of the urgent job */
		uint32_t workers;
		bool stopped[2];
	} cases[] = {
		{ "one is enough",
		  { 1, 1 },
		  { 6, 2 },
		  20000,
		  1,
		  6,
		  3000,
		  1,
		  { true, false } },
		{ "the smaller is enough",
		  { 1, 1 },
		  { 6, 2 },
		  20000,
		  1,
		  2,
		  3000,
		  1,
		  { false, true } },
		{ "both are needed",
		  { 1, 1 },
		  { 6, 2 },
		  20000,
		  1,
		  8,
		  3000,
		  1,
		  { true, true } },
		{ "one of two workers",
		  { 1, 1 },
		  { 8, 8 },
		  2300,
		  1,
		  8,
		  0,
		  2,
		  { false, true } },
	};

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		ffl_flow_t *low[2];
		ffl_flow_t *urgent;
		test_bed_t b;

		g_test_message("%s", cases[i].name);
		test_bed_init(&b, cases[i].workers);
		b.stop_ms = 350;
		b.work_ms = cases[i].low_work_ms;
		g_hash_table_insert(b.guaranteed, "ponds",
				    GUINT_TO_POINTER(64));
		for (uint32_t k = 0; k < 2; k++) {
			low[k] = submit(
				&b, k ? "second" : "first", 2,
				(ffl_step_t){ .tasks = cases[i].low_tasks[k],
					      .gpus = cases[i].low_gpus[k],
					      .gang = true });
			low[k]->spec.stretch_milli = 0;
			run_for_ms(&b, 100);
			g_assert_cmpuint(low[k]->placed_count, ==,
					 cases[i].low_tasks[k]);
		}
		find_worker(&b, low[1]->tasks[0].worker)->rate_percent /= 2;
		run_for_ms(&b, 2000);
		urgent = submit(&b, "urgent", 0,
				(ffl_step_t){ .tasks = cases[i].tasks,
					      .gpus = cases[i].gpus });
		urgent->spec.stretch_milli = cases[i].stretch_milli;
		run_for_ms(&b, 900);
		g_assert_cmpuint(urgent->placed_count, ==, cases[i].tasks);
		for (uint32_t k = 0; k < 2; k++)
			g_assert_cmpint(low[k]->tasks[0].state ==
						FFL_TASK_WAITING,
					==, cases[i].stopped[k]);
		test_bed_finish(&b);
	}
}

/* Guaranteed work begins in time beside a run that seems about to end, and only
 * crawls. */
static void test_reclaims_from_crawling(void)
{
	static const uint32_t stop_max_ms[] = { 400, 900 };

	for (guint i = 0; i < G_N_ELEMENTS(stop_max_ms); i++) {
		ffl_flow_t *low;
		ffl_flow_t *urgent;
		test_bed_t b;

		test_bed_init(&b, 1);
		b.d.opt.stop_max_ms = stop_max_ms[i];
		b.stop_ms = stop_max_ms[i];
		b.work_ms = 2300;
		g_hash_table_insert(b.guaranteed, "ponds", GUINT_TO_POINTER(8));
		low = submit(&b, "low", 2,
			     (ffl_step_t){ .tasks = 1, .gpus = 8 });
		run_for_ms(&b, 2150);
		g_assert_cmpuint(low->placed_count, ==, 1);
		b.workers[0].rate_percent = 3;
		urgent = submit(&b, "urgent", 0,
				(ffl_step_t){ .tasks = 1, .gpus = 8 });
		run_for_ms(&b, 2900);
		g_assert_cmpuint(b.d.preempted, ==, 1);
		g_assert_cmpuint(urgent->placed_count, ==, 1);
		test_bed_finish(&b);
	}
}

/* Evacuates a data centre, or takes its evacuation back. */
static void evacuate(test_bed_t *b, const char *dc, bool evacuated)
{
	ffl_evacuation_t concerned;

	if (evacuated)
		g_hash_table_add(b->evacuated, (char *)dc);
	else
		g_hash_table_remove(b->evacuated, dc);
	ffl_dispatch_update_evacuated(&b->d, dc, &concerned);
	g_assert_cmpuint(
		concerned.workers, ==,
		(b->workers_count + (strcmp(dc, b->workers[0].entry.dc) == 0)) /
			2);
}

/* While the first of two workers is evacuated, nothing new is started there,
 * whatever had been decided; what runs goes on. */
static void test_evacuation(void)
{
	static const struct {
		const char *name;
		uint32_t before_ms; /* from the submission to the evacuation */
		ffl_step_t step;
		bool loses_starts;
		bool both;	 /* the other worker is evacuated too */
		uint32_t starts; /* at the first worker, while evacuated */
		uint32_t others; /* at the other one */
		uint32_t run;	 /* of the first task then */
		uint32_t after;	 /* starts at both, once taken back */
	} cases[] = {
		{ "not placed yet",
		  0,
		  { .tasks = 1, .gpus = 8 },
		  false,
		  false,
		  0,
		  1,
		  1,
		  1 },
		{ "too many for the rest",
		  0,
		  { .tasks = 2, .gpus = 8 },
		  false,
		  false,
		  0,
		  1,
		  1,
		  2 },
		{ "all evacuated",
		  0,
		  { .tasks = 2, .gpus = 8 },
		  false,
		  true,
		  0,
		  0,
		  0,
		  2 },
		{ "planned, not sent",
		  STEP_MS,
		  { .tasks = 1, .gpus = 8 },
		  false,
		  false,
		  0,
		  1,
		  2,
		  1 },
		{ "planned gang",
		  STEP_MS,
		  { .tasks = 2, .gpus = 8, .gang = true },
		  false,
		  false,
		  0,
		  0,
		  1,
		  2 },
		{ "sent, not answered",
		  2 * STEP_MS,
		  { .tasks = 1, .gpus = 8 },
		  true,
		  false,
		  1,
		  1,
		  2,
		  2 },
		{ "running",
		  200,
		  { .tasks = 1, .gpus = 8 },
		  false,
		  false,
		  1,
		  0,
		  1,
		  1 },
		{ "runs until cancelled",
		  200,
		  { .tasks = 1, .gpus = 8, .runs_until_cancelled = true },
		  false,
		  false,
		  1,
		  0,
		  1,
		  1 },
		{ "gang at work",
		  200,
		  { .tasks = 2, .gpus = 8, .gang = true },
		  false,
		  false,
		  1,
		  1,
		  1,
		  2 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		ffl_flow_t *flow;
		test_bed_t b;

		g_test_message("%s", cases[i].name);
		test_bed_init(&b, 2);
		b.workers[0].loses_starts = cases[i].loses_starts;
		flow = submit(&b, "one", 1, cases[i].step);
		run_for_ms(&b, cases[i].before_ms);
		evacuate(&b, "norte", true);
		if (cases[i].both)
			evacuate(&b, "sur", true);
		run_for_ms(&b, 2500);
		g_assert_cmpuint(b.workers[0].starts, ==, cases[i].starts);
		g_assert_cmpuint(b.workers[1].starts, ==, cases[i].others);
		g_assert_cmpuint(flow->tasks[0].run, ==, cases[i].run);
		g_assert_cmpuint(b.preempted, ==, 0);
		b.workers[0].loses_starts = false;
		evacuate(&b, "norte", false);
		if (cases[i].both)
			evacuate(&b, "sur", false);
		/* One step decides, the next one starts what it recorded. */
		run_for_ms(&b, 2 * STEP_MS);
		g_assert_cmpuint(b.workers[0].starts + b.workers[1].starts, ==,
				 cases[i].after);
		g_assert_cmpuint(b.preempted, ==, 0);
		test_bed_finish(&b);
	}
}

/* The data centre counts in which a worker is by its newest entry. */
static void test_evacuation_of_entry(void)
{
	ffl_flow_t *flow;
	test_bed_t b;

	test_bed_init(&b, 1);
	evacuate(&b, "sur", true);
	ffl_copy(b.workers[0].entry.dc, sizeof(ffl_name_t), "sur");
	ffl_dispatch_update_worker(&b.d, &b.workers[0].entry, b.now_ms,
				   b.now_ms);
	flow = submit(&b, "one", 0, (ffl_step_t){ .tasks = 1, .gpus = 8 });
	run_for_ms(&b, 500);
	g_assert_false(flow->started);
	ffl_copy(b.workers[0].entry.dc, sizeof(ffl_name_t), "norte");
	ffl_dispatch_update_worker(&b.d, &b.workers[0].entry, b.now_ms,
				   b.now_ms);
	run_for_ms(&b, 200);
	g_assert_true(flow->started);
	test_bed_finish(&b);
}

/* A guarantee is met in the other data centre, where work is preempted for it
 * though there is room in the evacuated one. */
static void test_evacuation_reclaims(void)
{
	ffl_flow_t *flow;
	test_bed_t b;

	test_bed_init(&b, 2);
	b.work_ms = 20000;
	g_hash_table_insert(b.guaranteed, "ponds", GUINT_TO_POINTER(8));
	evacuate(&b, "norte", true);
	submit(&b, "low", 1,
	       (ffl_step_t){
		       .tasks = 8, .gpus = 1, .runs_until_cancelled = true });
	run_for_ms(&b, 500);
	g_assert_cmpuint(b.workers[1].starts, ==, 8);
	flow = submit(&b, "urgent", 0, (ffl_step_t){ .tasks = 1, .gpus = 8 });
	run_for_ms(&b, 2900);
	g_assert_true(flow->started);
	g_assert_cmpuint(b.preempted, ==, 8);
	g_assert_cmpuint(b.workers[0].starts, ==, 0);
	test_bed_finish(&b);
}

/* Room in an evacuated data centre is no room that a job with slack leaves
 * free. */
static void test_evacuation_headroom(void)
{
	ffl_flow_t *flow;
	test_bed_t b;

	test_bed_init(&b, 2);
	evacuate(&b, "norte", true);
	submit(&b, "most", 1,
	       (ffl_step_t){
		       .tasks = 7, .gpus = 1, .runs_until_cancelled = true });
	run_for_ms(&b, 500);
	g_assert_cmpuint(b.workers[1].starts, ==, 7);
	flow = submit(&b, "idle", 2, (ffl_step_t){ .tasks = 1, .gpus = 1 });
	run_for_ms(&b, 300);
	g_assert_false(flow->started);
	evacuate(&b, "norte", false);
	run_for_ms(&b, 200);
	g_assert_true(flow->started);
	test_bed_finish(&b);
}

/** What is asked about, in a state of two workers. */
typedef struct {
	const char *name;
	/** Changes each worker. */
	void (*change)(test_bed_t *b, ffl_dispatch_worker_t *w);
	uint32_t running; /**< tasks of one GPU that run before */
	ffl_step_t step;
	uint32_t priority;
	bool tickets;
	uint32_t guaranteed_gpus;
	uint32_t placed;
	uint32_t wait; /**< FFL_WAIT__MAX: all are placed */
	uint32_t bar;  /**< with which both workers are barred */
	bool guaranteed;
	uint32_t stops;
} question_t;

static void unlist(test_bed_t *b, ffl_dispatch_worker_t *w)
{
	w->listed = false;
}

static void outdate(test_bed_t *b, ffl_dispatch_worker_t *w)
{
	w->entry_outdated = true;
}

static void drain(test_bed_t *b, ffl_dispatch_worker_t *w)
{
	w->entry.draining = true;
}

static void mark_evacuated(test_bed_t *b, ffl_dispatch_worker_t *w)
{
	w->evacuated = true;
}

static void silence(test_bed_t *b, ffl_dispatch_worker_t *w)
{
	w->missed_renewals = 1;
}

static void quarantine(test_bed_t *b, ffl_dispatch_worker_t *w)
{
	w->quarantined_until_ms = b->now_ms + 1000;
}

static void change_service(test_bed_t *b, ffl_dispatch_worker_t *w)
{
	ffl_copy(w->entry.service, sizeof(w->entry.service), "other");
}

static void reserve(test_bed_t *b, ffl_dispatch_worker_t *w)
{
	w->reserved_until_ms = b->now_ms + 1000;
}

static void slow_down(test_bed_t *b, ffl_dispatch_worker_t *w)
{
	w->slow_until_ms = b->now_ms + 1000;
}

static const question_t questions[] = {
	{ "fits",
	  NULL,
	  0,
	  { .tasks = 3, .gpus = 4 },
	  1,
	  false,
	  0,
	  3,
	  FFL_WAIT__MAX,
	  FFL_BAR_NONE,
	  false,
	  0 },
	{ "gang fits",
	  NULL,
	  0,
	  { .tasks = 2, .gpus = 8, .gang = true },
	  1,
	  false,
	  0,
	  2,
	  FFL_WAIT__MAX,
	  FFL_BAR_NONE,
	  false,
	  0 },
	{ "some wait",
	  NULL,
	  0,
	  { .tasks = 3, .gpus = 8 },
	  1,
	  false,
	  0,
	  2,
	  FFL_WAIT_ROOM,
	  FFL_BAR_ROOM,
	  false,
	  0 },
	{ "one a worker",
	  NULL,
	  0,
	  { .tasks = 3, .gpus = 1, .per_worker_max = 1 },
	  1,
	  false,
	  0,
	  2,
	  FFL_WAIT_ROOM,
	  FFL_BAR_ROOM,
	  false,
	  0 },
	{ "gang too large",
	  NULL,
	  0,
	  { .tasks = 3, .gpus = 8, .gang = true },
	  1,
	  false,
	  0,
	  0,
	  FFL_WAIT_ROOM,
	  FFL_BAR_NONE,
	  false,
	  0 },
	{ "unlisted",
	  unlist,
	  0,
	  { .tasks = 1, .gpus = 1 },
	  1,
	  false,
	  0,
	  0,
	  FFL_WAIT_ROOM,
	  FFL_BAR_UNLISTED,
	  false,
	  0 },
	{ "outdated",
	  outdate,
	  0,
	  { .tasks = 1, .gpus = 1 },
	  1,
	  false,
	  0,
	  0,
	  FFL_WAIT_ROOM,
	  FFL_BAR_UNLISTED,
	  false,
	  0 },
	{ "draining",
	  drain,
	  0,
	  { .tasks = 1, .gpus = 1 },
	  1,
	  false,
	  0,
	  0,
	  FFL_WAIT_ROOM,
	  FFL_BAR_DRAINING,
	  false,
	  0 },
	{ "evacuated",
	  mark_evacuated,
	  0,
	  { .tasks = 1, .gpus = 1 },
	  1,
	  false,
	  0,
	  0,
	  FFL_WAIT_ROOM,
	  FFL_BAR_EVACUATED,
	  false,
	  0 },
	{ "silent",
	  silence,
	  0,
	  { .tasks = 1, .gpus = 1 },
	  1,
	  false,
	  0,
	  0,
	  FFL_WAIT_ROOM,
	  FFL_BAR_SILENT,
	  false,
	  0 },
	{ "failures",
	  quarantine,
	  0,
	  { .tasks = 1, .gpus = 1 },
	  1,
	  false,
	  0,
	  0,
	  FFL_WAIT_ROOM,
	  FFL_BAR_FAILURES,
	  false,
	  0 },
	{ "service",
	  change_service,
	  0,
	  { .tasks = 1, .gpus = 1 },
	  1,
	  false,
	  0,
	  0,
	  FFL_WAIT_ROOM,
	  FFL_BAR_SERVICE,
	  false,
	  0 },
	{ "reserved",
	  reserve,
	  0,
	  { .tasks = 1, .gpus = 1 },
	  1,
	  false,
	  0,
	  0,
	  FFL_WAIT_ROOM,
	  FFL_BAR_RESERVED,
	  false,
	  0 },
	{ "slow",
	  slow_down,
	  0,
	  { .tasks = 1, .gpus = 1 },
	  1,
	  false,
	  0,
	  0,
	  FFL_WAIT_ROOM,
	  FFL_BAR_SLOW,
	  false,
	  0 },
	{ "label",
	  NULL,
	  0,
	  { .tasks = 1, .gpus = 1, .label = "wet" },
	  1,
	  false,
	  0,
	  0,
	  FFL_WAIT_ROOM,
	  FFL_BAR_LABEL,
	  false,
	  0 },
	{ "rack",
	  NULL,
	  0,
	  { .tasks = 1, .gpus = 1, .rack = "r9" },
	  1,
	  false,
	  0,
	  0,
	  FFL_WAIT_ROOM,
	  FFL_BAR_RACK,
	  false,
	  0 },
	{ "ticket",
	  NULL,
	  0,
	  { .tasks = 1, .gpus = 1 },
	  1,
	  true,
	  0,
	  0,
	  FFL_WAIT_ROOM,
	  FFL_BAR_TICKET,
	  false,
	  0 },
	{ "room",
	  NULL,
	  16,
	  { .tasks = 1, .gpus = 1 },
	  0,
	  false,
	  0,
	  0,
	  FFL_WAIT_ROOM,
	  FFL_BAR_ROOM,
	  false,
	  1 },
	{ "headroom",
	  NULL,
	  15,
	  { .tasks = 1, .gpus = 1 },
	  2,
	  false,
	  0,
	  0,
	  FFL_WAIT_HEADROOM,
	  FFL_BAR__MAX,
	  false,
	  0 },
	{ "guarantee stops others",
	  NULL,
	  16,
	  { .tasks = 1, .gpus = 8 },
	  0,
	  false,
	  8,
	  0,
	  FFL_WAIT_ROOM,
	  FFL_BAR_ROOM,
	  true,
	  8 },
	{ "beyond the guarantee",
	  NULL,
	  0,
	  { .tasks = 2, .gpus = 8 },
	  0,
	  false,
	  8,
	  2,
	  FFL_WAIT__MAX,
	  FFL_BAR_NONE,
	  false,
	  0 },
};

static void prepare(test_bed_t *b, const question_t *q)
{
	test_bed_init(b, 2);
	b->work_ms = 20000;
	if (q->guaranteed_gpus)
		g_hash_table_insert(b->guaranteed, "ponds",
				    GUINT_TO_POINTER(q->guaranteed_gpus));
	if (q->running)
		submit(b, "running", 1,
		       (ffl_step_t){ .tasks = q->running,
				     .gpus = 1,
				     .runs_until_cancelled = true });
	run_for_ms(b, 500);
	for (uint32_t i = 0; i < b->workers_count && q->change; i++)
		q->change(b, g_hash_table_lookup(b->d.workers,
						 b->workers[i].entry.id));
}

static void ask(test_bed_t *b, const question_t *q, ffl_explanation_t *out)
{
	ffl_flow_spec_t spec = make_spec(b, "asked", q->priority, q->step);

	spec.needs_tickets = q->tickets;
	ffl_dispatch_explain(&b->d, &spec, b->now_ms, b->now_ms, out);
}

static void submit_question(test_bed_t *b, const question_t *q)
{
	submit(b, "asked", q->priority, q->step)->spec.needs_tickets =
		q->tickets;
}

/* Each reason is told, with what would be placed and stopped. */
static void test_explain(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(questions); i++) {
		const question_t *q = &questions[i];
		const ffl_explained_step_t *step;
		ffl_explanation_t e;
		test_bed_t b;

		g_test_message("%s", q->name);
		prepare(&b, q);
		ask(&b, q, &e);
		g_assert_cmpuint(e.steps->len, ==, 1);
		step = &g_array_index(e.steps, ffl_explained_step_t, 0);
		g_assert_cmpuint(step->tasks, ==, q->step.tasks);
		g_assert_cmpuint(step->placed, ==, q->placed);
		g_assert_cmpuint(step->wait, ==, q->wait);
		if (q->wait == FFL_WAIT_ROOM)
			g_assert_cmpuint(step->barred[q->bar], ==, 2);
		g_assert_cmpuint(step->stops, ==, q->stops);
		g_assert_true((step->stop_cost > 0) == (q->stops > 0));
		g_assert_true(e.guaranteed == q->guaranteed);
		g_assert_cmpstr(e.tier, ==, "on-time");
		ffl_explanation_finish(&e);
		test_bed_finish(&b);
	}
}

/* What is told is what happens to the job when it comes, and to the runs that
 * give way to it. */
static void test_explain_holds(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(questions); i++) {
		const question_t *q = &questions[i];
		const ffl_explained_step_t *step;
		uint32_t starts[2];
		ffl_explanation_t e;
		test_bed_t b;

		g_test_message("%s", q->name);
		prepare(&b, q);
		for (uint32_t k = 0; k < 2; k++)
			starts[k] = b.workers[k].starts;
		ask(&b, q, &e);
		step = &g_array_index(e.steps, ffl_explained_step_t, 0);
		submit_question(&b, q);
		run_for_ms(&b, 2 * STEP_MS);
		for (guint k = 0; k < step->workers->len; k++) {
			const ffl_explained_worker_t *w = &g_array_index(
				step->workers, ffl_explained_worker_t, k);
			uint32_t at = strcmp(w->id, "w01") == 0;

			starts[at] += w->tasks;
			g_assert_cmpstr(w->rack, ==, "r1");
			g_assert_cmpstr(w->dc, ==, at ? "sur" : "norte");
		}
		for (uint32_t k = 0; k < 2; k++)
			g_assert_cmpuint(b.workers[k].starts, ==, starts[k]);
		g_assert_cmpuint(b.d.preempted, ==, step->stops);
		ffl_explanation_finish(&e);
		test_bed_finish(&b);
	}
}

/* Steps the dispatcher and writes down what it orders. */
static GString *orders_of(test_bed_t *b)
{
	GArray *orders = g_array_new(FALSE, TRUE, sizeof(ffl_order_t));
	GString *text = g_string_new(NULL);

	b->now_ms += STEP_MS;
	ffl_dispatch_step(&b->d, b->now_ms, b->now_ms, true, true, orders);
	for (guint i = 0; i < orders->len; i++) {
		const ffl_order_t *o = &g_array_index(orders, ffl_order_t, i);

		g_string_append_printf(text, "%u %s %s %u %u\n", o->kind,
				       o->worker, o->task, o->run,
				       (unsigned)o->call);
	}
	g_string_append_printf(
		text, "%u %u %u %u %u %u\n", b->d.runs->len,
		(unsigned)b->d.preempted, b->d.waiting[FFL_WAIT_ROOM],
		b->d.waiting[FFL_WAIT_SKIPPED], b->d.waiting[FFL_WAIT_HEADROOM],
		b->d.advice.pending->len);
	g_array_free(orders, TRUE);
	return text;
}

/* A question changes nothing: neither what it finds, nor what is decided after
 * it. */
static void test_explain_changes_nothing(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(questions); i++) {
		const question_t *q = &questions[i];
		GString *text[2];

		g_test_message("%s", q->name);
		for (uint32_t asked = 0; asked < 2; asked++) {
			uint32_t waiting[FFL_WAIT__MAX];
			ffl_explanation_t e;
			test_bed_t b;
			bool replan;
			bool dirty;

			prepare(&b, q);
			replan = b.d.replan;
			dirty = b.d.dirty;
			memcpy(waiting, b.d.waiting, sizeof(waiting));
			if (asked) {
				ask(&b, q, &e);
				ffl_explanation_finish(&e);
			}
			g_assert_true(b.d.replan == replan);
			g_assert_true(b.d.dirty == dirty);
			g_assert_cmpmem(waiting, sizeof(waiting), b.d.waiting,
					sizeof(waiting));
			g_assert_cmpuint(b.flows.open->len, ==,
					 q->running ? 1 : 0);
			text[asked] = orders_of(&b);
			submit_question(&b, q);
			for (uint32_t k = 0; k < 3; k++) {
				GString *more;

				ffl_dispatch_confirm_batch(&b.d,
							   b.d.next_batch++);
				more = orders_of(&b);
				g_string_append(text[asked], more->str);
				g_string_free(more, TRUE);
			}
			test_bed_finish(&b);
		}
		g_assert_cmpstr(text[0]->str, ==, text[1]->str);
		g_string_free(text[0], TRUE);
		g_string_free(text[1], TRUE);
	}
}

/* Open jobs that wait and go first are counted, whatever their number. */
static void test_explain_rank(void)
{
	static const struct {
		uint32_t priority;
		uint32_t ahead;
	} cases[] = { { 0, 0 }, { 1, 2 }, { 2, 3 } };
	test_bed_t b;

	test_bed_init(&b, 1);
	b.work_ms = 20000;
	submit(&b, "runs", 1, (ffl_step_t){ .tasks = 8, .gpus = 1 });
	run_for_ms(&b, 500);
	submit(&b, "waits", 1, (ffl_step_t){ .tasks = 1, .gpus = 1 });
	submit(&b, "too", 1, (ffl_step_t){ .tasks = 1, .gpus = 1 });
	submit(&b, "low", 2, (ffl_step_t){ .tasks = 1, .gpus = 1 });
	run_for_ms(&b, 500);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		question_t q = { .priority = cases[i].priority,
				 .step = { .tasks = 1, .gpus = 1 } };
		ffl_explanation_t e;

		ask(&b, &q, &e);
		g_assert_cmpuint(e.ahead, ==, cases[i].ahead);
		g_assert_cmpuint(e.free_percent, ==, 0);
		ffl_explanation_finish(&e);
	}
	test_bed_finish(&b);
}

/* Steps that wait for others, and occurrences that are not due, are told of as
 * later ones. */
static void test_explain_later(void)
{
	test_bed_t b;

	test_bed_init(&b, 1);
	for (uint32_t timed = 0; timed < 2; timed++) {
		ffl_flow_spec_t spec = make_spec(
			&b, "chain", 1, (ffl_step_t){ .tasks = 1, .gpus = 1 });
		ffl_explanation_t e;
		ffl_err_t err;

		spec.steps_count = 2;
		spec.steps = g_renew(ffl_step_t, spec.steps, 2);
		spec.steps[1] = spec.steps[0];
		spec.steps[1].prerequisites = 1;
		spec.timed = timed;
		spec.start_at_ms = b.now_ms + 5000;
		g_assert_cmpint(ffl_flow_spec_validate(&spec, &err), ==,
				FFL_OK);
		ffl_dispatch_explain(&b.d, &spec, b.now_ms, b.now_ms, &e);
		g_assert_cmpuint(e.steps->len, ==, timed ? 0 : 1);
		g_assert_cmpuint(e.later, ==, timed ? 2 : 1);
		ffl_explanation_finish(&e);
	}
	test_bed_finish(&b);
}

/* A gang with a limit of tasks on one worker takes the next worker, also while
 * the best fit has room for more. */
static void test_spread_gang(void)
{
	static const struct {
		uint32_t workers;
		ffl_step_t step;
		bool started;
	} cases[] = {
		{ 2,
		  { .tasks = 2, .gpus = 1, .gang = true, .per_worker_max = 1 },
		  true },
		{ 3,
		  { .tasks = 5, .gpus = 1, .gang = true, .per_worker_max = 2 },
		  true },
		{ 2,
		  { .tasks = 4,
		    .gpus = 1,
		    .gang = true,
		    .same_rack = true,
		    .per_worker_max = 2 },
		  true },
		{ 2,
		  { .tasks = 3, .gpus = 1, .gang = true, .per_worker_max = 1 },
		  false },
	};

	for (guint i = 0; i < G_N_ELEMENTS(cases); i++) {
		ffl_flow_t *flow;
		test_bed_t b;

		test_bed_init(&b, cases[i].workers);
		flow = submit(&b, "spread", 1, cases[i].step);
		run_for_ms(&b, 500);
		g_assert_true(flow->started == cases[i].started);
		for (uint32_t k = 0; k < cases[i].workers; k++)
			g_assert_cmpuint(b.workers[k].starts, <=,
					 cases[i].step.per_worker_max);
		test_bed_finish(&b);
	}
}

/** Interval between two outlooks. */
#define OUTLOOK_MS 500

/** Interval between two outlooks. */
#define OUTLOOK_MS 500

/** A flood of jobs of four tasks of 8 s, each eighth of 32: in time within 25
 * s, of use within 75 s. Four workers begin one of them a second. */
typedef struct {
	const char *name;
	uint32_t every_ms; /**< between two arrivals */
	uint32_t arrivals;
	bool refuses; /**< more work waits than can be of use */
} flood_case_t;

/** What has become of a flood. */
typedef struct {
	uint32_t refused; /**< or to be refused, if all are accepted */
	uint32_t in_time;
	uint32_t late; /**< and still of use */
	/** In time or late, of those to be refused. */
	uint32_t refused_of_use;
} flood_outcome_t;

/** Text of a job that was to be refused. */
#define TO_BE_REFUSED "r"

/* Decides on an arrival by an outlook of some time ago, as hosts do. */
static void submit_of_flood(test_bed_t *b, uint32_t number,
			    const ffl_outlook_t *outlook, uint64_t age_ms,
			    bool may_refuse, flood_outcome_t *out)
{
	char id[FFL_FLOW_ID_BYTES];
	ffl_outlook_verdict_t verdict;
	ffl_flow_spec_t spec;

	g_snprintf(id, sizeof(id), "job-%u", number);
	spec = make_spec(
		b, id, 2,
		(ffl_step_t){ .tasks = number % 8 == 7 ? 32 : 4, .gpus = 1 });
	ffl_outlook_decide(outlook, age_ms, &spec, &verdict);
	out->refused += verdict.refused;
	if (verdict.refused && may_refuse) {
		ffl_flow_spec_finish(&spec);
		return;
	}
	if (verdict.refused)
		memcpy(spec.spec, TO_BE_REFUSED, sizeof(TO_BE_REFUSED));
	ffl_dispatch_request_placement(&b->d);
	ffl_flows_add(&b->flows, &spec, number);
}

/* Counts the jobs that have ended since the last time. */
static void count_ended(const test_bed_t *b, GHashTable *ended,
			flood_outcome_t *out)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, b->flows.by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const ffl_flow_t *flow = value;
		uint64_t took_ms = b->now_ms - flow->first_seen_ms;

		if (flow->done_count < flow->tasks_count ||
		    !g_hash_table_add(ended, value))
			continue;
		out->in_time += took_ms <= 25000;
		out->late += took_ms > 25000 && took_ms <= 75000;
		out->refused_of_use +=
			took_ms <= 75000 &&
			strcmp(flow->spec.spec, TO_BE_REFUSED) == 0;
	}
}

static flood_outcome_t play_flood(const flood_case_t *c, bool may_refuse)
{
	flood_outcome_t out = { 0 };
	GHashTable *ended = g_hash_table_new(NULL, NULL);
	ffl_outlook_t outlook;
	uint32_t next = 0;
	test_bed_t b;

	test_bed_init(&b, 4);
	b.work_ms = 8000;
	for (uint64_t t = 0; t < 110000; t += OUTLOOK_MS) {
		ffl_outlook_build(&b.d, "survey", b.now_ms, &outlook);
		for (; next < c->arrivals && next * c->every_ms < t; next++)
			submit_of_flood(&b, next, &outlook,
					t - next * c->every_ms, may_refuse,
					&out);
		run_for_ms(&b, OUTLOOK_MS);
		count_ended(&b, ended, &out);
	}
	g_hash_table_destroy(ended);
	test_bed_finish(&b);
	return out;
}

/* Turning away takes nothing from anybody: the flood gets as much as if all had
 * been accepted, and none of those refused would have been of use then. */
static void test_turning_away(void)
{
	static const flood_case_t cases[] = {
		{ "room for all", 1000, 30, false },
		{ "all at once, nothing known yet", 1, 240, false },
		{ "over before all room is given out", 40, 300, false },
		{ "over before any is late", 53, 300, true },
		{ "half a minute", 100, 300, true },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const flood_case_t *c = &cases[i];
		flood_outcome_t all = play_flood(c, false);
		flood_outcome_t some = play_flood(c, true);

		g_test_message("%s: in time %u, late %u; %u refused: in time "
			       "%u, late %u",
			       c->name, all.in_time, all.late, some.refused,
			       some.in_time, some.late);
		g_assert_true((some.refused > 0) == c->refuses);
		g_assert_cmpuint(some.in_time, >=, all.in_time);
		g_assert_cmpuint(some.in_time + some.late, >=,
				 all.in_time + all.late);
		g_assert_cmpuint(all.refused_of_use, ==, 0);
	}
}

/* A worker says that it is cold for a time, and now runs at a rate. */
static void chill(test_bed_t *b, uint32_t worker, uint32_t left_ms,
		  uint32_t rate_percent)
{
	sim_worker_t *w = &b->workers[worker];

	w->rate_percent = rate_percent;
	w->entry.cold_left_ms = left_ms;
	w->entry.clock_ms = b->now_ms;
	ffl_dispatch_update_worker(&b->d, &w->entry, b->now_ms, b->now_ms);
}

/* Of two workers the first has half its GPUs taken, and so fits better, unless
 * it is said to be idle; it is cold. */
static void test_cold_choice(void)
{
	static const struct {
		const char *name;
		uint32_t cold_milli;
		uint32_t left_ms;
		uint32_t idle_ms; /* from then to the submission */
		uint32_t priority;
		bool idle;
		bool gang;
		uint32_t chosen;
	} cases[] = {
		{ "warm", 100, 0, 0, 1, true, false, 0 },
		{ "warm, gang", 100, 0, 0, 0, true, true, 0 },
		{ "warm by now", 100, 500, 1000, 1, true, false, 0 },
		{ "no run has shown how slow", 0, 60000, 0, 1, true, false, 1 },
		{ "the same, fits better", 0, 60000, 0, 1, false, false, 0 },
		{ "would be late", 100, 60000, 0, 1, false, false, 1 },
		{ "gang would be late", 100, 60000, 0, 1, false, true, 1 },
		{ "in time all the same", 500, 2000, 0, 1, false, false, 0 },
		{ "urgent, little time", 500, 100, 0, 0, false, false, 0 },
		{ "urgent, in time", 500, 4000, 0, 0, false, false, 1 },
		{ "urgent gang, in time", 500, 4000, 0, 0, false, true, 1 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		ffl_flow_t *flow;
		test_bed_t b;

		g_test_message("%s", cases[i].name);
		test_bed_init(&b, 2);
		ffl_copy(b.workers[1].entry.rack, sizeof(ffl_name_t), "r2");
		chill(&b, 1, 0, RATE_USUAL_PERCENT);
		if (!cases[i].idle)
			submit(&b, "held", 1,
			       (ffl_step_t){ .tasks = 1,
					     .gpus = 4,
					     .runs_until_cancelled = true });
		run_for_ms(&b, 200);
		chill(&b, 0, cases[i].left_ms, RATE_USUAL_PERCENT);
		b.d.cold_milli = cases[i].cold_milli;
		run_for_ms(&b, cases[i].idle_ms);
		flow = submit(&b, "one", cases[i].priority,
			      (ffl_step_t){ .tasks = 1,
					    .gpus = 4,
					    .gang = cases[i].gang,
					    .same_rack = cases[i].gang });
		run_for_ms(&b, 2 * STEP_MS);
		g_assert_cmpstr(flow->tasks[0].worker, ==,
				b.workers[cases[i].chosen].entry.id);
		test_bed_finish(&b);
	}
}

/* Work waits for no worker to become warm. */
static void test_cold_starts_at_once(void)
{
	for (uint32_t priority = 0; priority < 2; priority++) {
		ffl_flow_t *flow;
		test_bed_t b;

		test_bed_init(&b, 2);
		g_hash_table_insert(b.guaranteed, "ponds", GUINT_TO_POINTER(8));
		submit(&b, "held", 1, (ffl_step_t){ .tasks = 1, .gpus = 8 });
		run_for_ms(&b, 200);
		chill(&b, 1, 60000, 10);
		b.d.cold_milli = 100;
		flow = submit(&b, "one", priority,
			      (ffl_step_t){ .tasks = 1, .gpus = 8 });
		run_for_ms(&b, 2 * STEP_MS);
		g_assert_cmpstr(flow->tasks[0].worker, ==, "w01");
		g_assert_cmpuint(b.workers[1].starts, ==, 1);
		g_assert_cmpuint(b.preempted, ==, 0);
		test_bed_finish(&b);
	}
}

/* What runs on a cold worker tells how slow those are (the mean moves by 0.1 of
 * the difference with each second that shows progress), and nothing of the
 * worker's usual speed, of run times, of being hung or of failures. */
static void test_cold_learned(void)
{
	static const struct {
		const char *name;
		ffl_step_t step;
		bool all_cold;
		uint32_t speed_milli;  /* of the cold worker; 0: not known */
		uint32_t rate_percent; /* while cold */
		uint32_t milli_min;    /* learned then */
		uint32_t milli_max;
	} cases[] = {
		{ "single task, compared with itself",
		  { .tasks = 1, .gpus = 8 },
		  true,
		  0,
		  25,
		  910,
		  940 },
		{ "gang, compared with the warm one",
		  { .tasks = 2, .gpus = 8, .gang = true },
		  false,
		  1000,
		  25,
		  550,
		  850 },
		{ "the same, its own speed is not known",
		  { .tasks = 2, .gpus = 8, .gang = true },
		  false,
		  0,
		  25,
		  910,
		  940 },
		{ "slow worker of that speed, not slower",
		  { .tasks = 2, .gpus = 8, .gang = true },
		  false,
		  500,
		  50,
		  980,
		  1020 },
		{ "no slower",
		  { .tasks = 2, .gpus = 8, .gang = true },
		  true,
		  0,
		  100,
		  980,
		  1020 },
		{ "hardly moves",
		  { .tasks = 2, .gpus = 8, .gang = true },
		  false,
		  1000,
		  4,
		  700,
		  950 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		uint32_t usual =
			cases[i].speed_milli ? cases[i].speed_milli : 1000;
		ffl_dispatch_worker_t *w;
		ffl_flow_t *flow;
		test_bed_t b;

		g_test_message("%s", cases[i].name);
		test_bed_init(&b, 2);
		b.work_ms = 10000;
		run_for_ms(&b, 200);
		chill(&b, 0, 6000, cases[i].rate_percent);
		w = g_hash_table_lookup(b.d.workers, "w00");
		w->speed_milli = cases[i].speed_milli;
		if (cases[i].all_cold)
			chill(&b, 1, 6000, cases[i].rate_percent);
		flow = submit(&b, "one", 1, cases[i].step);
		run_for_ms(&b, 6000);
		chill(&b, 0, 0, usual / 10);
		chill(&b, 1, 0, RATE_USUAL_PERCENT);
		run_for_ms(&b, 3000);
		g_assert_cmpuint(b.d.cold_milli, >=, cases[i].milli_min);
		g_assert_cmpuint(b.d.cold_milli, <=, cases[i].milli_max);
		if (w->speed_milli)
			g_assert_cmpuint(w->speed_milli * 100, >=, usual * 95);
		g_assert_cmpuint(w->slow_until_ms, ==, 0);
		g_assert_cmpuint(flow->tasks[0].run, ==, 1);
		run_for_ms(&b, 12000);
		g_assert_cmpint(ffl_flow_state(flow), ==, FFL_FLOW_COMPLETED);
		g_assert_cmpuint(g_hash_table_size(b.d.mean_run_ms), ==, 0);
		test_bed_finish(&b);
	}
}

static void count_cold_lines(void *user, const char *event, const char *subject,
			     const char *text)
{
	uint32_t *lines = user;

	lines[0] += strcmp(event, "worker-cold") == 0;
	lines[1] += strcmp(event, "worker-warm") == 0;
}

/* A worker is cold by the time of its report, until it says otherwise or
 * another incarnation of it does. */
static void test_cold_state(void)
{
	static const struct {
		const char *name;
		uint32_t left_ms;
		uint32_t age_ms;   /* of the entry when it is read */
		uint32_t later_ms; /* from then on */
		int64_t says_ms;   /* left, in an entry then; -1: none */
		bool restarts;	   /* then */
		uint32_t cold;	   /* workers at the end */
		uint32_t lines[2]; /* on cold and on warm ones */
	} cases[] = {
		{ "warm", 0, 0, 1000, -1, false, 0, { 0, 0 } },
		{ "still cold", 5000, 0, 3000, -1, false, 1, { 1, 0 } },
		{ "time is over", 2000, 0, 4000, -1, false, 0, { 1, 1 } },
		{ "read late", 5000, 3000, 3500, -1, false, 0, { 1, 1 } },
		{ "read too late", 2000, 3000, 0, -1, false, 0, { 0, 0 } },
		{ "warm early", 9000, 0, 2000, 0, false, 0, { 1, 1 } },
		{ "restarted", 9000, 0, 2000, 0, true, 0, { 1, 1 } },
		{ "restarted, cold", 9000, 0, 2000, 8000, true, 1, { 2, 0 } },
		{ "said again", 9000, 0, 2000, 7000, false, 1, { 1, 0 } },
		{ "longest", UINT32_MAX, 0, 9000, -1, false, 1, { 1, 0 } },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		ffl_worker_entry_t *entry;
		uint32_t lines[2] = { 0, 0 };
		test_bed_t b;

		g_test_message("%s", cases[i].name);
		test_bed_init(&b, 1);
		b.d.note = count_cold_lines;
		b.d.note_user = lines;
		entry = &b.workers[0].entry;
		submit(&b, "long", 1,
		       (ffl_step_t){ .tasks = 1,
				     .gpus = 1,
				     .runs_until_cancelled = true });
		run_for_ms(&b, 4000);
		entry->cold_left_ms = cases[i].left_ms;
		entry->clock_ms = b.now_ms - cases[i].age_ms;
		ffl_dispatch_update_worker(&b.d, entry, b.now_ms, b.now_ms);
		run_for_ms(&b, cases[i].later_ms);
		entry->born_ms += cases[i].restarts;
		entry->cold_left_ms = (uint32_t)cases[i].says_ms;
		entry->clock_ms = b.now_ms;
		if (cases[i].says_ms >= 0)
			ffl_dispatch_update_worker(&b.d, entry, b.now_ms,
						   b.now_ms);
		run_for_ms(&b, 1000);
		g_assert_cmpuint(b.d.cold_workers, ==, cases[i].cold);
		g_assert_cmpuint(lines[0], ==, cases[i].lines[0]);
		g_assert_cmpuint(lines[1], ==, cases[i].lines[1]);
		test_bed_finish(&b);
	}
}

/* A data centre of workers becomes cold, and warm, in a bounded number of
 * lines. */
static void test_cold_lines_bounded(void)
{
	uint32_t lines[2] = { 0, 0 };
	test_bed_t b;

	test_bed_init(&b, 1);
	b.d.note = count_cold_lines;
	b.d.note_user = lines;
	run_for_ms(&b, 1000);
	for (uint32_t i = 0; i < 300; i++) {
		ffl_worker_entry_t entry = b.workers[0].entry;

		g_snprintf(entry.id, sizeof(entry.id), "cold%03u", i);
		entry.cold_left_ms = 1500;
		ffl_dispatch_update_worker(&b.d, &entry, 0, b.now_ms);
	}
	g_assert_cmpuint(b.d.cold_workers, ==, 300);
	run_for_ms(&b, 900);
	g_assert_cmpuint(lines[0], ==, 20);
	run_for_ms(&b, 3000);
	g_assert_cmpuint(b.d.cold_workers, ==, 0);
	g_assert_cmpuint(lines[1], ==, 20);
	test_bed_finish(&b);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/dispatch/cold-choice", test_cold_choice);
	g_test_add_func("/dispatch/cold-starts-at-once",
			test_cold_starts_at_once);
	g_test_add_func("/dispatch/cold-learned", test_cold_learned);
	g_test_add_func("/dispatch/cold-state", test_cold_state);
	g_test_add_func("/dispatch/cold-lines-bounded",
			test_cold_lines_bounded);
	g_test_add_func("/dispatch/explain", test_explain);
	g_test_add_func("/dispatch/explain-holds", test_explain_holds);
	g_test_add_func("/dispatch/explain-changes-nothing",
			test_explain_changes_nothing);
	g_test_add_func("/dispatch/explain-rank", test_explain_rank);
	g_test_add_func("/dispatch/explain-later", test_explain_later);
	g_test_add_func("/dispatch/speed-learned", test_speed_learned);
	g_test_add_func("/dispatch/slow-left-out", test_slow_worker_avoided);
	g_test_add_func("/dispatch/hang-known", test_hang_detected);
	g_test_add_func("/dispatch/order-of-waiting", test_order_of_waiting);
	g_test_add_func("/dispatch/choice-of-victim", test_choice_of_victim);
	g_test_add_func("/dispatch/lost-work", test_lost_work);
	g_test_add_func("/dispatch/spared", test_spared);
	g_test_add_func("/dispatch/reclaims-from-crawling",
			test_reclaims_from_crawling);
	g_test_add_func("/dispatch/spread-gang", test_spread_gang);
	g_test_add_func("/dispatch/failed-at-once", test_failed_at_once);
	g_test_add_func("/dispatch/hopeless-job", test_hopeless_job);
	g_test_add_func("/dispatch/attempts-changed", test_attempts_changed);
	g_test_add_func("/dispatch/probation", test_probation);
	g_test_add_func("/dispatch/max-unavailable", test_max_unavailable);
	g_test_add_func("/dispatch/until-cancelled-placed",
			test_until_cancelled_placed);
	g_test_add_func("/dispatch/advice", test_advice);
	g_test_add_func("/dispatch/no-adviser", test_no_adviser);
	g_test_add_func("/dispatch/pace", test_pace);
	g_test_add_func("/dispatch/moved-off-draining",
			test_moved_off_draining);
	g_test_add_func("/dispatch/concurrent-preemptions",
			test_concurrent_preemptions);
	g_test_add_func("/dispatch/reclaim-spreads", test_reclaim_spreads);
	g_test_add_func("/dispatch/guarantee-skips",
			test_guarantee_skips_large);
	g_test_add_func("/dispatch/first-priority", test_first_priority);
	g_test_add_func("/dispatch/last-attempt-waits",
			test_last_attempt_waits);
	g_test_add_func("/dispatch/last-attempt-off-probation",
			test_last_attempt_off_probation);
	g_test_add_func("/dispatch/takeover-run-times",
			test_takeover_run_times);
	g_test_add_func("/dispatch/full-service-bars-idle-one",
			test_full_service_bars_idle);
	g_test_add_func("/dispatch/full-rack-bars-remote-work",
			test_full_rack_bars_remote);
	g_test_add_func("/dispatch/headroom-of-other-service",
			test_headroom_of_other_service);
	g_test_add_func("/dispatch/evacuation", test_evacuation);
	g_test_add_func("/dispatch/evacuation-of-entry",
			test_evacuation_of_entry);
	g_test_add_func("/dispatch/evacuation-reclaims",
			test_evacuation_reclaims);
	g_test_add_func("/dispatch/evacuation-headroom",
			test_evacuation_headroom);
	g_test_add_func("/dispatch/turning-away", test_turning_away);
	return g_test_run();
}
