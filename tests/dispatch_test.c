#include <string.h>

#include "fireflyledge/dispatch.h"

/** Virtual time between two looks at everything. */
#define STEP_MS 50
#define LEAD_MS 1000
/** Workers of a test and what each has. */
#define WORKERS_MAX 12
#define GPUS	    8
#define CPU_MILLI   32000
#define MEM_MB	    65536
/** Work that a task of rate 100 does in a millisecond, of 100,000. */
#define WORK	   100000
#define RATE_USUAL 100

/** A run at a worker. */
typedef struct {
	char task[FFL_TASK_NAME_BYTES];
	uint32_t run;
	uint64_t work; /**< done so far, WORK at its end */
	uint64_t end_number;
	bool stopped;
	uint64_t stop_at; /**< ends then; 0: not being stopped */
	uint32_t pace;	  /**< in percent */
} bench_run_t;

/** A worker: what it runs, how fast, and what has ended. */
typedef struct {
	ffl_worker_entry_t entry;
	uint32_t rate; /**< percent of a usual worker's */
	bool hangs;
	GArray *runs;	/**< of bench_run_t */
	uint64_t ended; /**< ends so far */
	uint32_t starts;
	uint32_t with_ticket; /**< starts that carried the right ticket */
	bool denied;	      /**< the adviser does not allow it */
} bench_worker_t;

/** A leader's dispatcher with a log that never fails and prompt workers. */
typedef struct {
	ffl_flows_t flows;
	ffl_dispatch_t d;
	GHashTable *guaranteed;
	bench_worker_t workers[WORKERS_MAX];
	uint32_t workers_count;
	uint32_t work_ms; /**< of each task on a usual worker */
	uint64_t now_ms;
	uint32_t preempted;
	uint32_t advised;   /**< calls for advice */
	uint32_t asked_max; /**< most workers of one */
	uint32_t valid_ms;
	uint32_t stop_ms;      /**< that a stop takes */
	uint32_t calm_tail_ms; /**< latency without filling work */
	uint32_t fill_tail_ms; /**< what a filling task adds */
} bench_t;

static void bench_init(bench_t *b, uint32_t workers);
static void bench_finish(bench_t *b);
static uint32_t bench_fill_pace(const bench_t *b);
static ffl_flow_t *submit(bench_t *b, const char *id, uint32_t priority,
			  ffl_step_t step);
static bench_worker_t *worker_of(bench_t *b, const char *id);
static void advise(bench_t *b, const ffl_order_t *order);
static bool ticket_fits(const ffl_order_t *order);
static uint32_t tail_ms(const bench_t *b, const bench_worker_t *w);
static void answer(bench_t *b, const ffl_order_t *order);
static bool lasts(const bench_t *b, const char *name);
static void work(bench_t *b);
static void run_ms(bench_t *b, uint32_t ms);

static void bench_init(bench_t *b, uint32_t workers)
{
	ffl_dispatch_options_t opt = {
		.lease_max_ms = 10000,
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
	b->now_ms = LEAD_MS;
	b->work_ms = 4000;
	b->valid_ms = 3000;
	ffl_dispatch_become_leader(&b->d, 1, 0, b->now_ms);
	for (uint32_t i = 0; i < workers; i++) {
		bench_worker_t *w = &b->workers[b->workers_count++];

		g_snprintf(w->entry.id, sizeof(w->entry.id), "w%02u", i);
		ffl_copy(w->entry.addr, sizeof(w->entry.addr), w->entry.id);
		ffl_copy(w->entry.service, sizeof(w->entry.service), "survey");
		ffl_copy(w->entry.rack, sizeof(w->entry.rack), "r1");
		w->entry.born_ms = 1;
		w->entry.clock_ms = b->now_ms;
		w->entry.capacity =
			(ffl_resources_t){ CPU_MILLI, MEM_MB, GPUS };
		w->rate = RATE_USUAL;
		w->runs = g_array_new(FALSE, TRUE, sizeof(bench_run_t));
		ffl_dispatch_update_worker(&b->d, &w->entry, b->now_ms);
	}
}

static void bench_finish(bench_t *b)
{
	for (uint32_t i = 0; i < b->workers_count; i++)
		g_array_free(b->workers[i].runs, TRUE);
	ffl_dispatch_finish(&b->d);
	ffl_flows_finish(&b->flows);
	g_hash_table_destroy(b->guaranteed);
}

/* Least pace of a run on the first worker. */
static uint32_t bench_fill_pace(const bench_t *b)
{
	uint32_t least = 100;

	for (guint i = 0; i < b->workers[0].runs->len; i++)
		least = MIN(
			least,
			g_array_index(b->workers[0].runs, bench_run_t, i).pace);
	return least;
}

static ffl_flow_t *submit(bench_t *b, const char *id, uint32_t priority,
			  ffl_step_t step)
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
	ffl_dispatch_request_placement(&b->d);
	return ffl_flows_add(&b->flows, &spec, g_str_hash(id));
}

static bench_worker_t *worker_of(bench_t *b, const char *id)
{
	for (uint32_t i = 0; i < b->workers_count; i++) {
		if (strcmp(b->workers[i].entry.id, id) == 0)
			return &b->workers[i];
	}
	g_assert_not_reached();
}

static void advise(bench_t *b, const ffl_order_t *order)
{
	ffl_ticket_t tickets[WORKERS_MAX] = { 0 };
	ffl_reply_t reply = { .call = order->call,
			      .tickets = tickets,
			      .valid_ms = b->valid_ms };

	b->advised++;
	b->asked_max = MAX(b->asked_max, order->asked_workers->len);
	for (guint i = 0; i < order->asked_workers->len; i++) {
		const char *id = g_ptr_array_index(order->asked_workers, i);
		ffl_ticket_t *t = &tickets[reply.tickets_count];

		if (worker_of(b, id)->denied)
			continue;
		ffl_copy(t->worker, sizeof(t->worker), id);
		g_snprintf(t->ticket, sizeof(t->ticket), "%s/%s", order->task,
			   id);
		reply.tickets_count++;
	}
	ffl_dispatch_handle_reply(&b->d, &reply, b->now_ms);
}

static bool ticket_fits(const ffl_order_t *order)
{
	size_t step = strlen(order->task);

	while (step && order->task[step] != '.')
		step--;
	return order->ticket &&
	       strncmp(order->ticket, order->task, step) == 0 &&
	       strcmp(order->ticket + step + 1, order->worker) == 0;
}

/* Latency of what serves on a worker: each filling task adds its share. */
static uint32_t tail_ms(const bench_t *b, const bench_worker_t *w)
{
	uint32_t ms = b->calm_tail_ms;

	for (guint i = 0; i < w->runs->len; i++) {
		const bench_run_t *r = &g_array_index(w->runs, bench_run_t, i);
		uint32_t task;
		ffl_flow_t *flow = ffl_task_find(&b->flows, r->task, &task);
		const ffl_step_t *step =
			&flow->spec.steps[ffl_flow_step_of(flow, task)];

		if (step->best_effort && !r->end_number)
			ms += b->fill_tail_ms * r->pace / 100;
	}
	return ms;
}

static void answer(bench_t *b, const ffl_order_t *order)
{
	bench_worker_t *w = worker_of(b, order->worker);
	ffl_run_report_t running[64] = { 0 };
	ffl_run_report_t ended[64] = { 0 };
	ffl_reply_t reply = { .call = order->call,
			      .born_ms = 1,
			      .clock_ms = b->now_ms,
			      .running = running,
			      .ended = ended };
	bench_run_t run = { .run = order->run, .pace = 100 };

	if (order->kind == FFL_ORDER_START) {
		ffl_copy(run.task, sizeof(run.task), order->task);
		g_array_append_val(w->runs, run);
		w->starts++;
		w->with_ticket += ticket_fits(order);
	}
	for (guint i = 0; i < w->runs->len; i++) {
		bench_run_t *r = &g_array_index(w->runs, bench_run_t, i);
		bool gone = r->end_number != 0;
		ffl_run_report_t *row = gone ? &ended[reply.ended_count]
					     : &running[reply.running_count];

		if (order->kind == FFL_ORDER_STOP && r->run == order->run &&
		    strcmp(r->task, order->task) == 0 && !gone) {
			b->preempted += !r->stop_at;
			r->stopped = true;
			r->stop_at = MAX(r->stop_at, b->now_ms + b->stop_ms);
		}
		if (order->kind == FFL_ORDER_THROTTLE && r->run == order->run &&
		    strcmp(r->task, order->task) == 0)
			r->pace = order->percent;
		if (order->kind != FFL_ORDER_RENEW ||
		    (gone && r->end_number <= order->acked))
			continue;
		ffl_copy(row->task, sizeof(row->task), r->task);
		row->run = r->run;
		row->number = r->end_number;
		row->end = r->stopped ? FFL_RUN_END_STOPPED : FFL_RUN_END_DONE;
		row->percent = (uint32_t)(r->work * 100 / WORK);
		row->recent_load = tail_ms(b, w);
		reply.ended_count += gone;
		reply.running_count += !gone;
	}
	ffl_dispatch_handle_reply(&b->d, &reply, b->now_ms);
}

static bool lasts(const bench_t *b, const char *name)
{
	uint32_t task;
	ffl_flow_t *flow = ffl_task_find(&b->flows, name, &task);

	return flow->spec.steps[ffl_flow_step_of(flow, task)]
		.runs_until_cancelled;
}

static void work(bench_t *b)
{
	for (uint32_t i = 0; i < b->workers_count; i++) {
		bench_worker_t *w = &b->workers[i];

		for (guint k = 0; k < w->runs->len; k++) {
			bench_run_t *r =
				&g_array_index(w->runs, bench_run_t, k);

			if (r->stop_at && !r->end_number &&
			    b->now_ms >= r->stop_at)
				r->end_number = ++w->ended;
			if (r->stop_at || w->hangs)
				continue;
			r->work += (uint64_t)STEP_MS * WORK * w->rate /
				   RATE_USUAL / b->work_ms;
			if (r->work < WORK || r->end_number)
				continue;
			r->work = WORK;
			if (lasts(b, r->task))
				continue;
			r->end_number = ++w->ended;
		}
	}
}

/* Reports come once a second or with an end, as from long polls. */
static void run_ms(bench_t *b, uint32_t ms)
{
	GArray *orders = g_array_new(FALSE, TRUE, sizeof(ffl_order_t));
	GPtrArray *changed = g_ptr_array_new();
	GArray *holds = g_array_new(FALSE, TRUE, sizeof(ffl_order_t));

	for (uint64_t end = b->now_ms + ms; b->now_ms < end;) {
		b->now_ms += STEP_MS;
		work(b);
		g_array_set_size(orders, 0);
		ffl_dispatch_step(&b->d, b->now_ms, b->now_ms, true, true,
				  orders);
		for (guint i = 0; i < orders->len; i++) {
			ffl_order_t *order =
				&g_array_index(orders, ffl_order_t, i);

			if (order->kind == FFL_ORDER_ADVISE)
				advise(b, order);
			else if (order->kind == FFL_ORDER_RENEW &&
				 order->wait_ms)
				g_array_append_val(holds, *order);
			else
				answer(b, order);
		}
		for (guint i = holds->len; i-- > 0;) {
			ffl_order_t hold = g_array_index(holds, ffl_order_t, i);

			if (b->now_ms % 1000 != 0 &&
			    worker_of(b, hold.worker)->ended <= hold.acked)
				continue;
			g_array_remove_index_fast(holds, i);
			answer(b, &hold);
		}
		g_ptr_array_set_size(changed, 0);
		ffl_dispatch_confirm_batch(
			&b->d, ffl_dispatch_take_batch(&b->d, changed));
	}
	for (guint i = 0; i < holds->len; i++)
		answer(b, &g_array_index(holds, ffl_order_t, i));
	g_array_free(holds, TRUE);
	g_array_free(orders, TRUE);
	g_ptr_array_free(changed, TRUE);
}

/* Tasks of a gang have the same work: their rates tell the workers apart. */
static void test_speed_learned(void)
{
	bench_t b;

	bench_init(&b, 4);
	b.workers[0].rate = 80;
	b.workers[3].rate = 125;
	for (uint32_t i = 0; i < 4; i++) {
		char id[8];

		g_snprintf(id, sizeof(id), "g%u", i);
		submit(&b, id, 1,
		       (ffl_step_t){ .tasks = 4, .gpus = 8, .gang = true });
		run_ms(&b, 8000);
	}
	submit(&b, "first", 0,
	       (ffl_step_t){ .tasks = 1, .gpus = 8, .gang = true });
	run_ms(&b, 500);
	g_assert_cmpuint(b.workers[3].runs->len, ==, 5);
	submit(&b, "later", 1,
	       (ffl_step_t){ .tasks = 1, .gpus = 8, .gang = true });
	run_ms(&b, 500);
	g_assert_cmpuint(b.workers[0].runs->len, ==, 5);
	bench_finish(&b);
}

/* A worker that turns slow gets nothing while others have room. */
static void test_slow_left_out(void)
{
	ffl_flow_t *gang;
	bench_worker_t *slow;
	uint32_t before;
	bench_t b;

	bench_init(&b, 4);
	b.work_ms = 20000;
	gang = submit(&b, "gang", 1,
		      (ffl_step_t){ .tasks = 2, .gpus = 3, .gang = true });
	run_ms(&b, 3000);
	slow = worker_of(&b, gang->tasks[0].worker);
	slow->rate = 10;
	run_ms(&b, 2500);
	before = slow->starts;
	submit(&b, "new", 1, (ffl_step_t){ .tasks = 3, .gpus = 1 });
	run_ms(&b, 500);
	g_assert_cmpuint(slow->starts, ==, before);
	bench_finish(&b);
}

/* A task that stands still while the rest of its gang moves is known to hang
 * from one report to the next. */
static void test_hang_known(void)
{
	ffl_flow_t *flow;
	bench_t b;

	bench_init(&b, 6);
	flow = submit(&b, "gang", 0,
		      (ffl_step_t){ .tasks = 3, .gpus = 8, .gang = true });
	run_ms(&b, 1200);
	worker_of(&b, flow->tasks[1].worker)->hangs = true;
	run_ms(&b, 2100);
	g_assert_cmpuint(flow->tasks[1].run, ==, 2);
	bench_finish(&b);
}

/* Of a step that lasts no more tasks are stopped than it bears. */
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
		bench_t b;

		bench_init(&b, 4);
		g_hash_table_insert(b.guaranteed, "ponds",
				    GUINT_TO_POINTER(32));
		submit(&b, "serves", 1,
		       (ffl_step_t){ .tasks = 4,
				     .gpus = 8,
				     .runs_until_cancelled = true,
				     .unavailable_max = cases[i].max });
		run_ms(&b, 6000);
		submit(&b, "first", 0,
		       (ffl_step_t){ .tasks = cases[i].asked, .gpus = 8 });
		run_ms(&b, 1500);
		g_assert_cmpuint(b.preempted, ==, cases[i].stopped);
		bench_finish(&b);
	}
}

/* What lasts goes on being placed, however long it has waited. */
static void test_lasting_placed(void)
{
	ffl_flow_t *serves;
	bench_t b;

	bench_init(&b, 1);
	b.work_ms = 100;
	serves = submit(&b, "serves", 2,
			(ffl_step_t){ .tasks = 5,
				      .gpus = 1,
				      .runs_until_cancelled = true });
	run_ms(&b, 30000);
	g_assert_cmpuint(serves->placed_count, ==, 5);
	bench_finish(&b);
}

/* A step of an advised queue runs only where its tickets allow it; a call is
 * made again only once tickets have ended. */
static void test_advice(void)
{
	ffl_flow_t *first;
	ffl_flow_t *more;
	bench_t b;

	bench_init(&b, 6);
	for (uint32_t i = 0; i < 4; i++)
		b.workers[i].denied = true;
	first = submit(&b, "first", 0,
		       (ffl_step_t){ .tasks = 3, .gpus = 4, .gang = true });
	first->spec.needs_tickets = true;
	run_ms(&b, 300);
	g_assert_true(first->started);
	g_assert_cmpuint(b.advised, ==, 1);
	g_assert_cmpuint(b.asked_max, ==, 6);
	g_assert_cmpuint(b.workers[4].with_ticket + b.workers[5].with_ticket,
			 ==, 3);
	more = submit(&b, "more", 0, (ffl_step_t){ .tasks = 2, .gpus = 4 });
	more->spec.needs_tickets = true;
	run_ms(&b, 1000);
	/* Each step is advised by itself; what is denied stays so. */
	g_assert_cmpuint(b.advised, ==, 2);
	g_assert_cmpuint(more->placed_count, ==, 1);
	run_ms(&b, 8000);
	g_assert_cmpuint(more->done_count, ==, 2);
	for (uint32_t i = 0; i < 4; i++)
		g_assert_cmpuint(b.workers[i].starts, ==, 0);
	bench_finish(&b);
}

/* Without an adviser such work waits, and other work goes on. */
static void test_no_adviser(void)
{
	ffl_flow_t *advised;
	ffl_flow_t *plain;
	bench_t b;

	bench_init(&b, 2);
	b.d.opt.adviser_addr[0] = '\0';
	advised = submit(&b, "advised", 0, (ffl_step_t){ .tasks = 1 });
	advised->spec.needs_tickets = true;
	plain = submit(&b, "plain", 1, (ffl_step_t){ .tasks = 1, .gpus = 1 });
	run_ms(&b, 1000);
	g_assert_false(advised->started);
	g_assert_true(plain->started);
	bench_finish(&b);
}

/* Filling work is slowed down as far as the latency objective beside it
 * needs, and goes on at full pace once it does no harm. */
static void test_pace(void)
{
	static const struct {
		uint32_t calm_ms;
		uint32_t fill_ms;
		uint32_t most; /**< pace in the end, in percent */
		uint32_t least;
	} cases[] = {
		{ 50, 0, 100, 100 },  /* no harm */
		{ 50, 15, 100, 100 }, /* little harm */
		{ 50, 200, 30, 0 },   /* a fifth of its pace is borne */
		{ 95, 10, 0, 0 },     /* no room at all */
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		uint32_t on_end = 0;
		bench_t b;

		bench_init(&b, 1);
		b.work_ms = 500;
		b.calm_tail_ms = cases[i].calm_ms;
		b.fill_tail_ms = cases[i].fill_ms;
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
			run_ms(&b, 100);
			on_end = tail_ms(&b, &b.workers[0]) > 100 ? on_end + 1
								  : 0;
			/* Never for 4 s on end. */
			g_assert_cmpuint(on_end, <, 40);
		}
		g_assert_cmpuint(bench_fill_pace(&b), <=, cases[i].most);
		g_assert_cmpuint(bench_fill_pace(&b), >=, cases[i].least);
		bench_finish(&b);
	}
}

/* A run that its own progress shows to outlast a draining worker is moved,
 * whatever others of its queue took; one that ends in time stays. */
static void test_evacuated(void)
{
	static const struct {
		uint32_t rate;
		uint32_t run;
	} cases[] = {
		{ 25, 2 },
		{ 100, 1 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		ffl_flow_t *flow;
		bench_worker_t *w;
		bench_t b;

		bench_init(&b, 2);
		b.workers[0].rate = cases[i].rate;
		b.workers[1].rate = cases[i].rate;
		flow = submit(&b, "one", 1,
			      (ffl_step_t){ .tasks = 1, .gpus = 1 });
		run_ms(&b, 2200);
		w = worker_of(&b, flow->tasks[0].worker);
		w->entry.draining = true;
		w->entry.drain_left_ms = 5000;
		ffl_dispatch_update_worker(&b.d, &w->entry, b.now_ms);
		run_ms(&b, 1500);
		g_assert_cmpuint(flow->tasks[0].run, ==, cases[i].run);
		bench_finish(&b);
	}
}

/* Two that make room at the same time do not count on the same room. */
static void test_room_of_one(void)
{
	ffl_flow_t *first;
	ffl_flow_t *second;
	bench_t b;

	bench_init(&b, 4);
	b.stop_ms = 350;
	g_hash_table_insert(b.guaranteed, "ponds", GUINT_TO_POINTER(32));
	b.work_ms = 60000;
	submit(&b, "low", 2, (ffl_step_t){ .tasks = 32, .gpus = 1 });
	run_ms(&b, 30000);
	first = submit(&b, "a", 0,
		       (ffl_step_t){ .tasks = 2, .gpus = 8, .gang = true });
	run_ms(&b, 150);
	second = submit(&b, "b", 0,
			(ffl_step_t){ .tasks = 2, .gpus = 8, .gang = true });
	/* One stop each, and the ways there and back. */
	run_ms(&b, 700);
	g_assert_true(first->started);
	g_assert_true(second->started);
	bench_finish(&b);
}

/* A guaranteed gang starts on several racks rather than too late. */
static void test_reclaim_spreads(void)
{
	ffl_flow_t *flow;
	bench_t b;

	bench_init(&b, 4);
	for (uint32_t i = 2; i < 4; i++) {
		ffl_copy(b.workers[i].entry.rack, sizeof(ffl_name_t), "r2");
		ffl_dispatch_update_worker(&b.d, &b.workers[i].entry, b.now_ms);
	}
	g_hash_table_insert(b.guaranteed, "ponds", GUINT_TO_POINTER(32));
	b.work_ms = 20000;
	submit(&b, "a", 0, (ffl_step_t){ .tasks = 1, .gpus = 8 });
	run_ms(&b, 100);
	/* The other worker of its rack is taken by work of first priority. */
	submit(&b, "b", 0, (ffl_step_t){ .tasks = 1, .gpus = 8, .rack = "r2" });
	run_ms(&b, 100);
	flow = submit(&b, "c", 0,
		      (ffl_step_t){ .tasks = 2,
				    .gpus = 8,
				    .gang = true,
				    .same_rack = true });
	run_ms(&b, 2900);
	g_assert_true(flow->started);
	bench_finish(&b);
}

/* A large job of the customer does not take the guarantee of smaller ones. */
static void test_guarantee_skips(void)
{
	ffl_flow_t *large;
	ffl_flow_t *small;
	bench_t b;

	bench_init(&b, 2);
	g_hash_table_insert(b.guaranteed, "ponds", GUINT_TO_POINTER(8));
	b.work_ms = 60000;
	submit(&b, "low", 2, (ffl_step_t){ .tasks = 16, .gpus = 1 });
	run_ms(&b, 30000);
	b.work_ms = 4000;
	large = submit(&b, "a-large", 0,
		       (ffl_step_t){ .tasks = 4, .gpus = 8, .gang = true });
	large->spec_offset = 1;
	small = submit(&b, "b-small", 0,
		       (ffl_step_t){ .tasks = 1, .gpus = 8, .gang = true });
	small->spec_offset = 2;
	run_ms(&b, 1500);
	g_assert_true(small->started);
	g_assert_false(large->started);
	bench_finish(&b);
}

/* Work of first priority stops others without a guarantee too, but never
 * throws away more than its own. */
static void test_first_priority(void)
{
	static const struct {
		uint32_t ran_ms;
		bool starts;
	} cases[] = {
		{ 1000, true },
		{ 30000, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		ffl_flow_t *first;
		bench_t b;

		bench_init(&b, 2);
		b.work_ms = 60000;
		submit(&b, "low", 2, (ffl_step_t){ .tasks = 16, .gpus = 1 });
		run_ms(&b, cases[i].ran_ms);
		b.work_ms = 4000;
		first = submit(
			&b, "first", 0,
			(ffl_step_t){ .tasks = 2, .gpus = 4, .gang = true });
		run_ms(&b, 1500);
		g_assert_cmpint(first->started, ==, cases[i].starts);
		bench_finish(&b);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/dispatch/speed-learned", test_speed_learned);
	g_test_add_func("/dispatch/slow-left-out", test_slow_left_out);
	g_test_add_func("/dispatch/hang-known", test_hang_known);
	g_test_add_func("/dispatch/max-unavailable", test_max_unavailable);
	g_test_add_func("/dispatch/lasting-placed", test_lasting_placed);
	g_test_add_func("/dispatch/advice", test_advice);
	g_test_add_func("/dispatch/no-adviser", test_no_adviser);
	g_test_add_func("/dispatch/pace", test_pace);
	g_test_add_func("/dispatch/evacuated", test_evacuated);
	g_test_add_func("/dispatch/room-of-one", test_room_of_one);
	g_test_add_func("/dispatch/reclaim-spreads", test_reclaim_spreads);
	g_test_add_func("/dispatch/guarantee-skips", test_guarantee_skips);
	g_test_add_func("/dispatch/first-priority", test_first_priority);
	return g_test_run();
}
