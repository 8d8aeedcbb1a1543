/** @file Tests of the dispatcher with workers that start again under their id,
 * leave or refuse connections, answered order by order. */
#include <string.h>

#include "fireflyledge/dispatch.h"

#define STEP_MS 50
#define LEAD_MS 1000
/** Incarnations of a worker, and their addresses. */
#define BORN_A 100
#define BORN_B 200
#define ADDR_A "10.0.0.1:80"
#define ADDR_B "10.0.0.2:80"
/** Clock of the first incarnation; the second one's starts anew. */
#define CLOCK_A	     900000
#define CLOCK_B	     1000
#define LEASE_MAX_MS 10000
/** Longest delay of an order that is left unanswered. */
#define LATE_MAX_MS 12000
/** A run that cannot be asked for is given up after the longest lease on the
 * slowest clock, a call's time-out and the time of a step or two. */
#define GIVE_UP_MS (LEASE_MAX_MS * 100 / 98 + 1600 + 500)
/** The same where a start has no answer: its last sending may be carried out
 * late, by an incarnation that is not known. */
#define LATE_GIVE_UP_MS (LATE_MAX_MS + GIVE_UP_MS)

/** A leader whose orders are answered by the test. */
typedef struct {
	ffl_flows_t flows;
	ffl_dispatch_t d;
	ffl_flow_t *flow;
	GArray *orders; /**< of ffl_order_t, all that were sent */
	GPtrArray *changed;
	uint64_t now_ms;
} bed_t;

typedef struct {
	const char *name;
	void (*run)(bed_t *b);
} test_case_t;

static void bed_init(bed_t *b)
{
	const ffl_dispatch_options_t opt = {
		.lease_max_ms = LEASE_MAX_MS,
		.order_late_max_ms = LATE_MAX_MS,
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
	b->orders = g_array_new(FALSE, TRUE, sizeof(ffl_order_t));
	b->changed = g_ptr_array_new();
	b->now_ms = LEAD_MS;
	ffl_dispatch_become_leader(&b->d, 1, 0, b->now_ms);
}

static void bed_finish(bed_t *b)
{
	g_ptr_array_free(b->changed, TRUE);
	g_array_free(b->orders, TRUE);
	ffl_dispatch_finish(&b->d);
	ffl_flows_finish(&b->flows);
}

static void list_worker(bed_t *b, const char *id, const char *addr,
			int64_t born_ms)
{
	ffl_worker_entry_t entry = {
		.born_ms = born_ms,
		.clock_ms = born_ms == BORN_A ? CLOCK_A : CLOCK_B,
		.capacity = { 32000, 65536, 8 },
	};

	ffl_copy(entry.id, sizeof(entry.id), id);
	ffl_copy(entry.addr, sizeof(entry.addr), addr);
	ffl_copy(entry.service, sizeof(entry.service), "survey");
	ffl_dispatch_update_worker(&b->d, &entry, b->now_ms, b->now_ms);
}

/* Reads an entry of w0 that was written after a time; 0: from the pages of a
 * new leader. */
static void read_entry(bed_t *b, int64_t born_ms, uint64_t number,
		       uint64_t written_after_ms)
{
	ffl_worker_entry_t entry = { .id = "w0",
				     .addr = ADDR_A,
				     .service = "survey",
				     .born_ms = born_ms,
				     .clock_ms = born_ms == BORN_A ? CLOCK_A
								   : CLOCK_B,
				     .number = number,
				     .capacity = { 32000, 65536, 8 } };

	ffl_dispatch_update_worker(&b->d, &entry, written_after_ms, b->now_ms);
}

/* The entry of a draining worker was written some time before it is read. */
static void list_draining(bed_t *b, uint32_t written_before_ms)
{
	ffl_worker_entry_t entry = { .draining = true,
				     .drain_left_ms = 60000,
				     .born_ms = BORN_A,
				     .clock_ms = CLOCK_A,
				     .capacity = { 32000, 65536, 8 } };

	ffl_copy(entry.id, sizeof(entry.id), "w0");
	ffl_copy(entry.addr, sizeof(entry.addr), ADDR_A);
	ffl_copy(entry.service, sizeof(entry.service), "survey");
	ffl_dispatch_update_worker(&b->d, &entry, b->now_ms - written_before_ms,
				   b->now_ms);
}

/* Each task takes its share of a worker. */
static void submit_tasks(bed_t *b, uint32_t tasks)
{
	ffl_flow_spec_t spec;
	ffl_err_t err;

	ffl_flow_spec_init(&spec);
	ffl_copy(spec.id, sizeof(spec.id), "00000000000000aa");
	ffl_copy(spec.queue, sizeof(spec.queue), "checks");
	ffl_copy(spec.service, sizeof(spec.service), "survey");
	ffl_copy(spec.customer, sizeof(spec.customer), "ponds");
	spec.attempts_max = 2;
	spec.stretch_milli = 3000;
	spec.objective_base_ms = 1000;
	spec.spec = g_strdup("s");
	spec.steps_count = 1;
	spec.steps = g_new0(ffl_step_t, 1);
	spec.steps[0] = (ffl_step_t){ .tasks = tasks,
				      .gpus = 8 / tasks,
				      .cpu_milli = 8000,
				      .mem_mb = 8000,
				      .estimate_ms = 20000 };
	g_assert_cmpint(ffl_flow_spec_validate(&spec, &err), ==, FFL_OK);
	b->flow = ffl_flows_add(&b->flows, &spec, 1);
	ffl_dispatch_request_placement(&b->d);
}

static void submit(bed_t *b)
{
	submit_tasks(b, 1);
}

/* The log takes every batch at once. */
static void wait_ms(bed_t *b, uint32_t ms)
{
	for (uint32_t i = 0; i < ms; i += STEP_MS) {
		b->now_ms += STEP_MS;
		ffl_dispatch_step(&b->d, b->now_ms, b->now_ms, true, true,
				  b->orders);
		g_ptr_array_set_size(b->changed, 0);
		ffl_dispatch_confirm_batch(
			&b->d, ffl_dispatch_take_batch(&b->d, b->changed));
		ffl_dispatch_raise_token(&b->d, b->now_ms);
	}
}

/* Returns the last order of a kind to a worker, or NULL. */
static const ffl_order_t *find_order(const bed_t *b, ffl_order_kind_t kind,
				     const char *worker)
{
	for (guint i = b->orders->len; i-- > 0;) {
		const ffl_order_t *order =
			&g_array_index(b->orders, ffl_order_t, i);

		if (order->kind == kind && strcmp(order->worker, worker) == 0)
			return order;
	}
	return NULL;
}

/* Answers the last order of a kind. A report may list a run or an end of the
 * task; beside the end of another run, run 1 goes on. */
static void answer(bed_t *b, ffl_order_kind_t kind, const char *worker,
		   ffl_reply_t reply, const ffl_run_report_t *report)
{
	const ffl_order_t *order = find_order(b, kind, worker);
	ffl_run_report_t running = { .run = 1 };
	ffl_run_report_t ended = { 0 };

	g_assert_nonnull(order);
	reply.call = order->call;
	ffl_task_name(b->flow, 0, running.task);
	if (report && report->number) {
		ended = *report;
		ffl_task_name(b->flow, 0, ended.task);
		reply.ended = &ended;
		reply.ended_count = 1;
	}
	reply.running = &running;
	reply.running_count = report && (!report->number || report->run != 1);
	ffl_dispatch_handle_reply(&b->d, &reply, b->now_ms);
}

/* Starts the task on w0, without an answer; w1 is there for another run. */
static void start_on_w0(bed_t *b)
{
	list_worker(b, "w0", ADDR_A, BORN_A);
	submit(b);
	wait_ms(b, 2 * STEP_MS);
	g_assert_nonnull(find_order(b, FFL_ORDER_START, "w0"));
	list_worker(b, "w1", ADDR_B, BORN_A);
}

static void run_on_w0(bed_t *b)
{
	const ffl_run_report_t running = { .run = 1 };

	start_on_w0(b);
	answer(b, FFL_ORDER_START, "w0", (ffl_reply_t){ .clock_ms = CLOCK_A },
	       NULL);
	wait_ms(b, STEP_MS);
	answer(b, FFL_ORDER_RENEW, "w0",
	       (ffl_reply_t){ .clock_ms = CLOCK_A, .born_ms = BORN_A },
	       &running);
	wait_ms(b, STEP_MS);
}

static void assert_not_placed_again(bed_t *b, uint32_t ms)
{
	for (uint32_t i = 0; i < ms; i += STEP_MS) {
		wait_ms(b, STEP_MS);
		g_assert_null(find_order(b, FFL_ORDER_START, "w1"));
	}
	g_assert_cmpuint(b->flow->tasks[0].run, ==, 1);
}

/* The worker was replaced by its next incarnation before the order came. */
static void order_reaches_next_incarnation(bed_t *b)
{
	const ffl_run_report_t running = { .run = 1, .percent = 1 };
	const ffl_reply_t report = { .clock_ms = CLOCK_B, .born_ms = BORN_B };

	start_on_w0(b);
	answer(b, FFL_ORDER_START, "w0", (ffl_reply_t){ .clock_ms = CLOCK_B },
	       NULL);
	wait_ms(b, STEP_MS);
	answer(b, FFL_ORDER_RENEW, "w0", report, &running);
	assert_not_placed_again(b, 2 * STEP_MS);
	answer(b, FFL_ORDER_RENEW, "w0", report, &running);
	assert_not_placed_again(b, 2000);
}

/* An unanswered order may reach the next incarnation until that has reported
 * under a higher token. */
static void late_order_after_restart(bed_t *b)
{
	uint64_t token;

	start_on_w0(b);
	token = find_order(b, FFL_ORDER_START, "w0")->token;
	answer(b, FFL_ORDER_START, "w0",
	       (ffl_reply_t){ .outcome = FFL_REPLY_UNKNOWN }, NULL);
	list_worker(b, "w0", ADDR_A, BORN_B);
	assert_not_placed_again(b, 300);
	wait_ms(b, 600);
	g_assert_cmpuint(find_order(b, FFL_ORDER_RENEW, "w0")->token, >, token);
	answer(b, FFL_ORDER_RENEW, "w0",
	       (ffl_reply_t){ .clock_ms = CLOCK_B, .born_ms = BORN_B }, NULL);
	wait_ms(b, 200);
	g_assert_cmpuint(b->flow->tasks[0].run, ==, 2);
}

/* A start is not answered, its worker leaves the list, the run is given up, and
 * the worker is back before the task is placed again. */
static void restart_after_give_up(bed_t *b)
{
	const ffl_reply_t unknown = { .outcome = FFL_REPLY_UNKNOWN };

	list_worker(b, "w0", ADDR_A, BORN_A);
	submit(b);
	wait_ms(b, 2 * STEP_MS);
	answer(b, FFL_ORDER_START, "w0", unknown, NULL);
	ffl_dispatch_remove_worker(&b->d, "w0", 60000, b->now_ms);
	for (uint32_t i = 0; i < LATE_GIVE_UP_MS; i += 200) {
		wait_ms(b, 200);
		answer(b, FFL_ORDER_STOP, "w0", unknown, NULL);
		answer(b, FFL_ORDER_RENEW, "w0", unknown, NULL);
	}
	g_assert_cmpint(b->flow->tasks[0].state, ==, FFL_TASK_WAITING);
	list_worker(b, "w0", ADDR_A, BORN_B);
	list_worker(b, "w1", ADDR_B, BORN_A);
	assert_not_placed_again(b, 300);
}

static void late_order_after_give_up(bed_t *b)
{
	const ffl_run_report_t running = { .run = 1, .percent = 1 };
	const ffl_reply_t report = { .clock_ms = CLOCK_B, .born_ms = BORN_B };

	restart_after_give_up(b);
	answer(b, FFL_ORDER_RENEW, "w0", report, &running);
	assert_not_placed_again(b, 300);
}

static void no_late_order_after_give_up(bed_t *b)
{
	const ffl_reply_t report = { .clock_ms = CLOCK_B, .born_ms = BORN_B };
	uint64_t token = 0;

	restart_after_give_up(b);
	token = find_order(b, FFL_ORDER_START, "w0")->token;
	g_assert_cmpuint(find_order(b, FFL_ORDER_RENEW, "w0")->token, >, token);
	answer(b, FFL_ORDER_RENEW, "w0", report, NULL);
	wait_ms(b, 200);
	g_assert_cmpuint(b->flow->tasks[0].run, ==, 2);
}

/* The run is given up before its worker leaves the list. */
static void late_order_after_give_up_of_listed(bed_t *b)
{
	const ffl_reply_t unknown = { .outcome = FFL_REPLY_UNKNOWN };
	const ffl_run_report_t running = { .run = 1, .percent = 1 };
	const ffl_reply_t report = { .clock_ms = CLOCK_B, .born_ms = BORN_B };

	list_worker(b, "w0", ADDR_A, BORN_A);
	submit(b);
	wait_ms(b, 2 * STEP_MS);
	for (uint32_t i = 0; i < LATE_GIVE_UP_MS && b->d.runs->len;
	     i += STEP_MS) {
		answer(b, FFL_ORDER_START, "w0", unknown, NULL);
		if (find_order(b, FFL_ORDER_STOP, "w0"))
			answer(b, FFL_ORDER_STOP, "w0", unknown, NULL);
		answer(b, FFL_ORDER_RENEW, "w0", unknown, NULL);
		wait_ms(b, STEP_MS);
	}
	g_assert_cmpint(b->flow->tasks[0].state, ==, FFL_TASK_WAITING);
	answer(b, FFL_ORDER_STOP, "w0", unknown, NULL);
	answer(b, FFL_ORDER_RENEW, "w0", unknown, NULL);
	ffl_dispatch_remove_worker(&b->d, "w0", 60000, b->now_ms);
	wait_ms(b, 2000);
	list_worker(b, "w0", ADDR_A, BORN_B);
	list_worker(b, "w1", ADDR_B, BORN_A);
	assert_not_placed_again(b, 300);
	answer(b, FFL_ORDER_RENEW, "w0", report, &running);
	assert_not_placed_again(b, 300);
}

/* The sending that was answered is not the one that is still under way. */
static void answered_order_sent_twice(bed_t *b)
{
	uint64_t token;

	start_on_w0(b);
	token = find_order(b, FFL_ORDER_START, "w0")->token;
	answer(b, FFL_ORDER_START, "w0",
	       (ffl_reply_t){ .outcome = FFL_REPLY_UNKNOWN }, NULL);
	wait_ms(b, 200);
	answer(b, FFL_ORDER_START, "w0", (ffl_reply_t){ .clock_ms = CLOCK_A },
	       NULL);
	list_worker(b, "w0", ADDR_A, BORN_B);
	assert_not_placed_again(b, 300);
	wait_ms(b, STEP_MS);
	g_assert_cmpuint(b->d.token, >, token);
}

/* The numbers of the earlier incarnation's ends are not those of the present
 * one. */
static void reply_of_earlier_incarnation(bed_t *b)
{
	const ffl_run_report_t stopped = { .run = 9,
					   .number = 50,
					   .end = FFL_RUN_END_STOPPED };
	const ffl_run_report_t done = { .run = 1,
					.number = 1,
					.end = FFL_RUN_END_DONE };

	run_on_w0(b);
	list_worker(b, "w0", ADDR_A, BORN_B);
	answer(b, FFL_ORDER_RENEW, "w0",
	       (ffl_reply_t){ .clock_ms = CLOCK_A, .born_ms = BORN_A },
	       &stopped);
	wait_ms(b, 2 * STEP_MS);
	answer(b, FFL_ORDER_RENEW, "w0",
	       (ffl_reply_t){ .clock_ms = CLOCK_B, .born_ms = BORN_B }, &done);
	wait_ms(b, 200);
	g_assert_cmpint(b->flow->tasks[0].state, ==, FFL_TASK_DONE);
}

/* A lease for the earlier incarnation's clock would be the longest one. */
static void clock_of_earlier_incarnation(bed_t *b)
{
	run_on_w0(b);
	list_worker(b, "w0", ADDR_A, BORN_B);
	answer(b, FFL_ORDER_RENEW, "w0",
	       (ffl_reply_t){ .clock_ms = CLOCK_A, .born_ms = BORN_A }, NULL);
	wait_ms(b, 2 * STEP_MS);
	g_assert_cmpuint(find_order(b, FFL_ORDER_RENEW, "w0")->until_ms, <=,
			 CLOCK_B + LEASE_MAX_MS);
}

/* A worker's clock may have been set back between two of its starts. */
static void restart_with_earlier_start_time(bed_t *b)
{
	const ffl_run_report_t done = { .run = 1,
					.number = 1,
					.end = FFL_RUN_END_DONE };
	const ffl_run_report_t stopped = { .run = 9,
					   .number = 50,
					   .end = FFL_RUN_END_STOPPED };
	const ffl_reply_t report = { .clock_ms = CLOCK_B,
				     .born_ms = BORN_A - 1 };

	run_on_w0(b);
	answer(b, FFL_ORDER_RENEW, "w0",
	       (ffl_reply_t){ .clock_ms = CLOCK_A, .born_ms = BORN_A },
	       &stopped);
	wait_ms(b, 2 * STEP_MS);
	answer(b, FFL_ORDER_RENEW, "w0", report, &done);
	wait_ms(b, 2 * STEP_MS);
	answer(b, FFL_ORDER_RENEW, "w0", report, &done);
	wait_ms(b, 200);
	g_assert_cmpint(b->flow->tasks[0].state, ==, FFL_TASK_DONE);
}

/* Another writer's record under the id of a live worker. */
static void entry_of_another_writer(bed_t *b)
{
	run_on_w0(b);
	list_worker(b, "w0", "10.0.0.9:80", BORN_B);
	wait_ms(b, 2 * STEP_MS);
	answer(b, FFL_ORDER_RENEW, "w0",
	       (ffl_reply_t){ .outcome = FFL_REPLY_OTHER_INCARNATION }, NULL);
	assert_not_placed_again(b, 1500);
	list_worker(b, "w0", ADDR_A, BORN_A);
	assert_not_placed_again(b, 2 * STEP_MS);
	g_assert_cmpstr(find_order(b, FFL_ORDER_RENEW, "w0")->addr, ==, ADDR_A);
}

/* The next leader does not know which orders of the one before are under way.
 */
static void restart_unknown_to_next_leader(bed_t *b)
{
	run_on_w0(b);
	ffl_dispatch_become_leader(&b->d, b->now_ms, b->now_ms, b->now_ms);
	list_worker(b, "w0", ADDR_A, BORN_B);
	list_worker(b, "w1", ADDR_B, BORN_A);
	assert_not_placed_again(b, 1500);
}

/* Lets all orders to w0 fail for some time. Returns how long it took until the
 * task was ordered on w1. */
static uint32_t fail_until_placed(bed_t *b, ffl_reply_outcome_t outcome,
				  uint32_t ms)
{
	ffl_reply_t reply = { .outcome = outcome };

	for (uint32_t at_ms = 0; at_ms < ms; at_ms += STEP_MS) {
		wait_ms(b, STEP_MS);
		for (guint i = 0; i < b->orders->len; i++) {
			const ffl_order_t *order =
				&g_array_index(b->orders, ffl_order_t, i);

			reply.call = order->call;
			if (strcmp(order->worker, "w0") == 0)
				ffl_dispatch_handle_reply(&b->d, &reply,
							  b->now_ms);
		}
		if (find_order(b, FFL_ORDER_START, "w1"))
			return at_ms;
	}
	return ms;
}

static uint32_t refuse_until_placed(bed_t *b, uint32_t ms)
{
	return fail_until_placed(b, FFL_REPLY_NOT_SENT, ms);
}

/* The next leader is told of a run by the log, and of its worker by the list.
 */
static void lose_leader_and_w0(bed_t *b, uint64_t entry_number)
{
	run_on_w0(b);
	b->now_ms += 1000;
	ffl_dispatch_become_leader(&b->d, b->now_ms, b->now_ms, b->now_ms);
	g_array_set_size(b->orders, 0);
	read_entry(b, BORN_A, entry_number, 0);
	list_worker(b, "w1", ADDR_B, BORN_A);
}

/* An order for the incarnation before, taken after the restart, gives the
 * longest lease. The leader that sent it knew, the next one does not. */
static void next_leader_cuts_short_lease_of_restarted_worker(bed_t *b)
{
	lose_leader_and_w0(b, 2);
	g_assert_cmpuint(
		fail_until_placed(b, FFL_REPLY_UNKNOWN, 2 * GIVE_UP_MS), >=,
		LEASE_MAX_MS);
}

static void next_leader_waits_too_long_for_old_worker(bed_t *b)
{
	lose_leader_and_w0(b, 100);
	read_entry(b, BORN_A, 101, b->now_ms);
	g_assert_cmpuint(
		fail_until_placed(b, FFL_REPLY_UNKNOWN, 2 * GIVE_UP_MS), <,
		LEASE_MAX_MS * 3 / 4);
}

/* The entry was written before the claim: the worker may have started again
 * since, and has the longest lease then. */
static void next_leader_gives_up_old_worker_unheard(bed_t *b)
{
	lose_leader_and_w0(b, 100);
	g_assert_cmpuint(
		fail_until_placed(b, FFL_REPLY_UNKNOWN, 2 * GIVE_UP_MS), >=,
		LEASE_MAX_MS);
}

/* Until an incarnation has seen a higher token it takes orders for the one
 * before, also long after its restart was noticed. */
static void late_fence_cuts_short_longest_lease(bed_t *b)
{
	const ffl_reply_t unknown = { .outcome = FFL_REPLY_UNKNOWN };

	run_on_w0(b);
	list_worker(b, "w0", ADDR_A, BORN_B);
	for (uint32_t i = 0; i < 4000; i += 200) {
		wait_ms(b, 200);
		answer(b, FFL_ORDER_RENEW, "w0", unknown, NULL);
	}
	wait_ms(b, 2000);
	answer(b, FFL_ORDER_RENEW, "w0",
	       (ffl_reply_t){ .clock_ms = CLOCK_B, .born_ms = BORN_B },
	       &(ffl_run_report_t){ .run = 1, .percent = 1 });
	g_assert_cmpuint(
		fail_until_placed(b, FFL_REPLY_UNKNOWN, 2 * GIVE_UP_MS), >=,
		LEASE_MAX_MS);
}

/* Starts a second run on w0, which has reported its clock, without an answer;
 * the lease of the first one is over. */
static void start_again_on_w0(bed_t *b)
{
	const ffl_reply_t report = { .clock_ms = CLOCK_A, .born_ms = BORN_A };
	const ffl_run_report_t failed = { .run = 1,
					  .number = 1,
					  .end = FFL_RUN_END_FAILED };

	run_on_w0(b);
	ffl_dispatch_remove_worker(&b->d, "w1", 60000, b->now_ms);
	answer(b, FFL_ORDER_RENEW, "w0", report, &failed);
	wait_ms(b, 200);
	answer(b, FFL_ORDER_RENEW, "w0", report, NULL);
	b->now_ms += LEASE_MAX_MS;
	wait_ms(b, 200);
	g_assert_cmpuint(find_order(b, FFL_ORDER_START, "w0")->run, ==, 2);
	list_worker(b, "w1", ADDR_B, BORN_A);
}

/* The same, and the call of the start times out. Returns when it was sent, at
 * latest. */
static uint64_t leave_start_unanswered(bed_t *b)
{
	start_again_on_w0(b);
	answer(b, FFL_ORDER_START, "w0",
	       (ffl_reply_t){ .outcome = FFL_REPLY_UNKNOWN }, NULL);
	return b->now_ms;
}

/* Nobody hears of w0 any more. Returns for how long the task still waits. */
static uint32_t assert_waited_out(bed_t *b, uint64_t since_ms)
{
	uint32_t waited_ms =
		fail_until_placed(b, FFL_REPLY_UNKNOWN, 2 * LATE_GIVE_UP_MS);

	g_assert_cmpuint(b->now_ms - since_ms, >=, LATE_MAX_MS + LEASE_MAX_MS);
	return waited_ms;
}

/* The clock in the answer to a start is that of the incarnation which took it;
 * the list does not tell of that one before it is out of reach. */
static void answer_of_next_incarnation_cuts_short_its_lease(bed_t *b)
{
	start_again_on_w0(b);
	answer(b, FFL_ORDER_START, "w0", (ffl_reply_t){ .clock_ms = CLOCK_B },
	       NULL);
	g_assert_cmpuint(
		fail_until_placed(b, FFL_REPLY_UNKNOWN, 2 * GIVE_UP_MS), >=,
		LEASE_MAX_MS);
}

/* A start in doubt at a worker that has gone must not be granted a new lease by
 * each order that never left. */
static void refused_starts_hold_task(bed_t *b)
{
	start_on_w0(b);
	answer(b, FFL_ORDER_START, "w0",
	       (ffl_reply_t){ .outcome = FFL_REPLY_UNKNOWN }, NULL);
	wait_ms(b, 500);
	ffl_dispatch_remove_worker(&b->d, "w0", 60000, b->now_ms);
	g_assert_cmpuint(refuse_until_placed(b, 2 * LATE_GIVE_UP_MS), <,
			 LATE_GIVE_UP_MS);
}

/* The same on a worker that is still listed. */
static void refused_starts_of_listed_worker(bed_t *b)
{
	start_on_w0(b);
	answer(b, FFL_ORDER_START, "w0",
	       (ffl_reply_t){ .outcome = FFL_REPLY_UNKNOWN }, NULL);
	g_assert_cmpuint(refuse_until_placed(b, 2 * LATE_GIVE_UP_MS), <,
			 LATE_GIVE_UP_MS);
}

/* A doubt is waited out, however often later orders were not sent. */
static void refused_starts_end_no_doubt(bed_t *b)
{
	start_on_w0(b);
	answer(b, FFL_ORDER_START, "w0",
	       (ffl_reply_t){ .outcome = FFL_REPLY_UNKNOWN }, NULL);
	g_assert_cmpuint(refuse_until_placed(b, 2 * LATE_GIVE_UP_MS), >=,
			 LATE_MAX_MS + LEASE_MAX_MS);
}

static void unsent_renewal_extends_lease(bed_t *b)
{
	const ffl_dispatch_worker_t *w;
	uint64_t end_ms;

	run_on_w0(b);
	/* The lease of the start, by a clock from the list, is the longest. */
	for (uint32_t i = 0; i < LEASE_MAX_MS; i += 1000) {
		answer(b, FFL_ORDER_RENEW, "w0",
		       (ffl_reply_t){ .clock_ms = CLOCK_A + i,
				      .born_ms = BORN_A },
		       &(ffl_run_report_t){ .run = 1, .percent = i / 1000 });
		wait_ms(b, 1000);
	}
	w = g_hash_table_lookup(b->d.workers, "w0");
	end_ms = w->doubt.leases_end_ms;
	g_assert_cmpuint(find_order(b, FFL_ORDER_RENEW, "w0")->until_ms, >, 0);
	answer(b, FFL_ORDER_RENEW, "w0",
	       (ffl_reply_t){ .outcome = FFL_REPLY_NOT_SENT }, NULL);
	g_assert_cmpuint(w->doubt.leases_end_ms, ==, end_ms);
}

static void unsent_start_waits_for_lease(bed_t *b)
{
	start_on_w0(b);
	g_assert_cmpuint(refuse_until_placed(b, GIVE_UP_MS), <, 500);
}

static void unlisted_worker_is_sent_starts(bed_t *b)
{
	guint sent;

	start_on_w0(b);
	answer(b, FFL_ORDER_START, "w0",
	       (ffl_reply_t){ .outcome = FFL_REPLY_UNKNOWN }, NULL);
	ffl_dispatch_remove_worker(&b->d, "w0", 60000, b->now_ms);
	sent = b->orders->len;
	wait_ms(b, 1000);
	g_assert_nonnull(find_order(b, FFL_ORDER_STOP, "w0"));
	for (guint i = sent; i < b->orders->len; i++)
		g_assert_cmpint(g_array_index(b->orders, ffl_order_t, i).kind,
				!=, FFL_ORDER_START);
}

static void unlisted_worker_is_extended(bed_t *b)
{
	run_on_w0(b);
	ffl_dispatch_remove_worker(&b->d, "w0", 60000, b->now_ms);
	answer(b, FFL_ORDER_RENEW, "w0",
	       (ffl_reply_t){ .clock_ms = CLOCK_A, .born_ms = BORN_A },
	       &(ffl_run_report_t){ .run = 1 });
	wait_ms(b, STEP_MS);
	g_assert_cmpuint(find_order(b, FFL_ORDER_RENEW, "w0")->until_ms, ==, 0);
}

/* A draining worker that is only cut off from the log, as seen by a leader that
 * read its last entry late, still runs its tasks. */
static void silent_worker_read_late(bed_t *b)
{
	run_on_w0(b);
	list_draining(b, 2500);
	wait_ms(b, 2000);
	ffl_dispatch_remove_worker(&b->d, "w0", 60000, b->now_ms);
	assert_not_placed_again(b, 1000);
}

static void left_worker_is_not_waited_out(bed_t *b)
{
	run_on_w0(b);
	list_draining(b, 500);
	wait_ms(b, 2000);
	ffl_dispatch_remove_worker(&b->d, "w0", 60000, b->now_ms);
	wait_ms(b, 200);
	g_assert_nonnull(find_order(b, FFL_ORDER_START, "w1"));
}

/* The numbers of the earlier incarnation's ends must not be acknowledged to one
 * that has not reported yet. */
static void end_acknowledged_unseen(bed_t *b)
{
	const ffl_run_report_t stopped = { .run = 9,
					   .number = 50,
					   .end = FFL_RUN_END_STOPPED };

	start_on_w0(b);
	answer(b, FFL_ORDER_RENEW, "w0",
	       (ffl_reply_t){ .clock_ms = CLOCK_A, .born_ms = BORN_A },
	       &stopped);
	wait_ms(b, 2 * STEP_MS);
	g_assert_cmpuint(find_order(b, FFL_ORDER_RENEW, "w0")->acked, ==, 50);
	answer(b, FFL_ORDER_RENEW, "w0",
	       (ffl_reply_t){ .outcome = FFL_REPLY_UNKNOWN }, NULL);
	wait_ms(b, 500);
	g_assert_cmpuint(find_order(b, FFL_ORDER_RENEW, "w0")->acked, ==, 0);
}

/* A worker that has left may be back under its id before a late order comes. */
static void left_worker_with_late_start(bed_t *b)
{
	start_on_w0(b);
	answer(b, FFL_ORDER_START, "w0",
	       (ffl_reply_t){ .outcome = FFL_REPLY_UNKNOWN }, NULL);
	list_draining(b, 500);
	wait_ms(b, 500);
	ffl_dispatch_remove_worker(&b->d, "w0", 60000, b->now_ms);
	list_worker(b, "w0", ADDR_A, BORN_B);
	assert_not_placed_again(b, 300);
}

/* A report tells of a run that had been given up; it is being stopped. */
static void known_run_placed_again(bed_t *b)
{
	const ffl_run_report_t running = { .run = 1 };
	ffl_dispatch_worker_t *w;

	run_on_w0(b);
	ffl_dispatch_remove_worker(&b->d, "w1", 60000, b->now_ms);
	answer(b, FFL_ORDER_RENEW, "w0",
	       (ffl_reply_t){ .clock_ms = CLOCK_A, .born_ms = BORN_A }, NULL);
	g_assert_cmpuint(b->d.runs->len, ==, 0);
	list_worker(b, "w0", ADDR_A, BORN_B);
	w = g_hash_table_lookup(b->d.workers, "w0");
	w->quarantined_until_ms = b->now_ms + 60000;
	wait_ms(b, 2 * STEP_MS);
	answer(b, FFL_ORDER_RENEW, "w0",
	       (ffl_reply_t){ .clock_ms = CLOCK_B, .born_ms = BORN_B },
	       &running);
	g_assert_cmpuint(b->d.runs->len, ==, 1);
	list_worker(b, "w1", ADDR_B, BORN_A);
	assert_not_placed_again(b, 300);
}

/* A host that leads again knows the address that a worker had before. */
static void replaced_at_stale_address(bed_t *b)
{
	run_on_w0(b);
	ffl_dispatch_step_down(&b->d);
	ffl_flow_task_set_state(b->flow, 0, FFL_TASK_WAITING);
	ffl_flow_task_place(b->flow, 0, 1, "w0", BORN_B);
	b->now_ms += 60000;
	ffl_dispatch_become_leader(&b->d, b->now_ms, b->now_ms, b->now_ms);
	g_array_set_size(b->orders, 0);
	wait_ms(b, 2 * STEP_MS);
	if (find_order(b, FFL_ORDER_RENEW, "w0"))
		answer(b, FFL_ORDER_RENEW, "w0",
		       (ffl_reply_t){ .outcome = FFL_REPLY_OTHER_INCARNATION },
		       NULL);
	list_worker(b, "w0", "10.0.0.7:80", BORN_B);
	list_worker(b, "w1", ADDR_B, BORN_A);
	assert_not_placed_again(b, 500);
}

/* The next incarnation may be of another kind; only its own entry tells. */
static void entry_of_earlier_incarnation(bed_t *b)
{
	const ffl_reply_t report = { .clock_ms = CLOCK_B, .born_ms = BORN_B };

	run_on_w0(b);
	ffl_dispatch_remove_worker(&b->d, "w1", 60000, b->now_ms);
	answer(b, FFL_ORDER_RENEW, "w0", report, NULL);
	wait_ms(b, 2 * STEP_MS);
	answer(b, FFL_ORDER_RENEW, "w0", report, NULL);
	g_array_set_size(b->orders, 0);
	wait_ms(b, 400);
	g_assert_null(find_order(b, FFL_ORDER_START, "w0"));
	list_worker(b, "w0", ADDR_A, BORN_B);
	wait_ms(b, 200);
	g_assert_nonnull(find_order(b, FFL_ORDER_START, "w0"));
}

/* A lease by a clock from the list would have to be waited out as the longest
 * one. */
static void lease_before_first_report(bed_t *b)
{
	const ffl_run_report_t running = { .run = 1 };

	run_on_w0(b);
	ffl_dispatch_become_leader(&b->d, b->now_ms, b->now_ms, b->now_ms);
	list_worker(b, "w0", ADDR_A, BORN_A);
	g_array_set_size(b->orders, 0);
	wait_ms(b, STEP_MS);
	g_assert_cmpuint(find_order(b, FFL_ORDER_RENEW, "w0")->until_ms, ==, 0);
	answer(b, FFL_ORDER_RENEW, "w0",
	       (ffl_reply_t){ .clock_ms = CLOCK_A, .born_ms = BORN_A },
	       &running);
	wait_ms(b, STEP_MS);
	g_assert_cmpuint(find_order(b, FFL_ORDER_RENEW, "w0")->until_ms, >, 0);
}

/* A run that was given up has ended well; the one that followed must not go on,
 * nor another one start. */
static void success_of_superseded_run(bed_t *b)
{
	const ffl_run_report_t done = { .run = 1,
					.number = 1,
					.end = FFL_RUN_END_DONE };

	run_on_w0(b);
	list_draining(b, 500);
	wait_ms(b, 2000);
	ffl_dispatch_remove_worker(&b->d, "w0", 60000, b->now_ms);
	wait_ms(b, 200);
	answer(b, FFL_ORDER_START, "w1", (ffl_reply_t){ .clock_ms = CLOCK_A },
	       NULL);
	list_worker(b, "w0", ADDR_A, BORN_B);
	wait_ms(b, 300);
	answer(b, FFL_ORDER_RENEW, "w0",
	       (ffl_reply_t){ .clock_ms = CLOCK_B, .born_ms = BORN_B }, &done);
	g_assert_cmpint(b->flow->tasks[0].state, ==, FFL_TASK_DONE);
	wait_ms(b, 200);
	g_assert_nonnull(find_order(b, FFL_ORDER_STOP, "w1"));
}

/* A run that was given up is listed again, and told to stop, and ends well all
 * the same. */
static void success_of_run_being_stopped(bed_t *b)
{
	const ffl_reply_t before = { .clock_ms = CLOCK_A, .born_ms = BORN_A };
	const ffl_reply_t report = { .clock_ms = CLOCK_B, .born_ms = BORN_B };
	const ffl_run_report_t running = { .run = 1 };
	const ffl_run_report_t done = { .run = 1,
					.number = 1,
					.end = FFL_RUN_END_DONE };
	ffl_dispatch_worker_t *w;

	run_on_w0(b);
	w = g_hash_table_lookup(b->d.workers, "w0");
	w->quarantined_until_ms = b->now_ms + 60000;
	answer(b, FFL_ORDER_RENEW, "w0", before, NULL);
	wait_ms(b, 300);
	g_assert_nonnull(find_order(b, FFL_ORDER_START, "w1"));
	answer(b, FFL_ORDER_START, "w1", (ffl_reply_t){ .clock_ms = CLOCK_A },
	       NULL);
	list_worker(b, "w0", ADDR_A, BORN_B);
	wait_ms(b, 2 * STEP_MS);
	answer(b, FFL_ORDER_RENEW, "w0", report, &running);
	wait_ms(b, 300);
	answer(b, FFL_ORDER_RENEW, "w0", report, &done);
	wait_ms(b, 200);
	g_assert_cmpint(b->flow->tasks[0].state, ==, FFL_TASK_DONE);
	g_assert_nonnull(find_order(b, FFL_ORDER_STOP, "w1"));
}

/* One packet that is lost while connecting is no reason to start elsewhere. */
static void one_unsent_start_moves_task(bed_t *b)
{
	start_on_w0(b);
	answer(b, FFL_ORDER_START, "w0",
	       (ffl_reply_t){ .outcome = FFL_REPLY_NOT_SENT }, NULL);
	assert_not_placed_again(b, 300);
	answer(b, FFL_ORDER_START, "w0", (ffl_reply_t){ .clock_ms = CLOCK_A },
	       NULL);
	assert_not_placed_again(b, 300);
}

/* A worker that reports, but does not answer a start until its lease is over,
 * is told to stop the run before the task is placed again. */
static void unanswered_start_never_settled(bed_t *b)
{
	start_on_w0(b);
	for (uint32_t i = 0; i < GIVE_UP_MS; i += 200) {
		answer(b, FFL_ORDER_START, "w0",
		       (ffl_reply_t){ .outcome = FFL_REPLY_UNKNOWN }, NULL);
		answer(b, FFL_ORDER_RENEW, "w0",
		       (ffl_reply_t){ .clock_ms = CLOCK_A + i,
				      .born_ms = BORN_A },
		       NULL);
		wait_ms(b, 200);
	}
	answer(b, FFL_ORDER_STOP, "w0", (ffl_reply_t){ .clock_ms = CLOCK_A },
	       NULL);
	for (uint32_t i = 0; i < 2; i++) {
		wait_ms(b, 200);
		answer(b, FFL_ORDER_RENEW, "w0",
		       (ffl_reply_t){ .clock_ms = CLOCK_A, .born_ms = BORN_A },
		       NULL);
	}
	wait_ms(b, 200);
	g_assert_cmpuint(b->flow->tasks[0].run, ==, 2);
}

/* Submits a task that needs a ticket; w0 is the only worker. */
static void submit_for_advice(bed_t *b)
{
	list_worker(b, "w0", ADDR_A, BORN_A);
	submit(b);
	b->flow->spec.needs_tickets = true;
	wait_ms(b, 2 * STEP_MS);
	g_assert_nonnull(find_order(b, FFL_ORDER_ADVISE, ""));
}

static void answer_advise(bed_t *b, bool allowed)
{
	ffl_ticket_t ticket = { .worker = "w0", .ticket = "t" };
	ffl_reply_t reply = { .call = find_order(b, FFL_ORDER_ADVISE, "")->call,
			      .tickets = &ticket,
			      .tickets_count = allowed,
			      .valid_ms = 3000 };

	g_array_set_size(b->orders, 0);
	ffl_dispatch_handle_reply(&b->d, &reply, b->now_ms);
	wait_ms(b, 300);
}

/* A denial of the earlier incarnation must not bar the present one for good. */
static void denial_of_earlier_incarnation(bed_t *b)
{
	submit_for_advice(b);
	list_worker(b, "w0", ADDR_A, BORN_B);
	answer_advise(b, false);
	g_assert_nonnull(find_order(b, FFL_ORDER_ADVISE, ""));
}

static void ticket_of_earlier_incarnation(bed_t *b)
{
	submit_for_advice(b);
	list_worker(b, "w0", ADDR_A, BORN_B);
	answer_advise(b, true);
	g_assert_null(find_order(b, FFL_ORDER_START, "w0"));
	g_assert_nonnull(find_order(b, FFL_ORDER_ADVISE, ""));
	answer_advise(b, true);
	g_assert_nonnull(find_order(b, FFL_ORDER_START, "w0"));
}

/* A job that was cancelled while its call was open leaves no denials for a job
 * that is handed in later under its id. */
static void denial_of_earlier_job(bed_t *b)
{
	submit_for_advice(b);
	ffl_flows_cancel(&b->flows, b->flow->spec.id, 0);
	wait_ms(b, 2 * STEP_MS);
	answer_advise(b, false);
	ffl_flows_remove(&b->flows, "00000000000000aa");
	submit(b);
	b->flow->spec.needs_tickets = true;
	wait_ms(b, 300);
	g_assert_nonnull(find_order(b, FFL_ORDER_ADVISE, ""));
}

/* Hands in a report of run 1 that its worker made after some time of running.
 */
static void report_progress(bed_t *b, uint32_t ran_ms, uint32_t percent)
{
	const ffl_order_t *order = find_order(b, FFL_ORDER_RENEW, "w0");
	ffl_run_report_t running = { .run = 1, .percent = percent };
	const ffl_reply_t reply = { .call = order->call,
				    .born_ms = BORN_A,
				    .clock_ms = CLOCK_A + ran_ms,
				    .running = &running,
				    .running_count = 1 };

	ffl_task_name(b->flow, 0, running.task);
	ffl_dispatch_handle_reply(&b->d, &reply, b->now_ms);
	wait_ms(b, STEP_MS);
}

/* A host that was suspended reads late what a worker reported in time. */
static void late_report_is_no_hang(bed_t *b)
{
	run_on_w0(b);
	report_progress(b, 500, 1);
	b->now_ms += 5000;
	report_progress(b, 800, 1);
	g_assert_null(find_order(b, FFL_ORDER_STOP, "w0"));
}

static void run_without_progress_hangs(bed_t *b)
{
	run_on_w0(b);
	for (uint32_t ms = 500; ms < 5000; ms += 500) {
		wait_ms(b, 500 - STEP_MS);
		report_progress(b, ms, 1);
	}
	g_assert_nonnull(find_order(b, FFL_ORDER_STOP, "w0"));
}

/* A rate of reports that were read late is no measure for later ones. */
static void late_report_is_no_rate(bed_t *b)
{
	const ffl_dispatch_worker_t *w;

	run_on_w0(b);
	for (uint32_t i = 2; i <= 6; i++) {
		char id[FFL_NAME_BYTES];

		g_snprintf(id, sizeof(id), "x%u", i);
		list_worker(b, id, ADDR_B, BORN_A);
	}
	wait_ms(b, 1000);
	report_progress(b, 1000, 5);
	b->now_ms += 2900;
	report_progress(b, 2000, 10);
	b->now_ms += 650;
	report_progress(b, 4600, 23);
	b->now_ms += 950;
	report_progress(b, 5600, 28);
	w = g_hash_table_lookup(b->d.workers, "w0");
	g_assert_cmpuint(w->slow_until_ms, ==, 0);
}

static void quarantine_of_earlier_incarnation(bed_t *b)
{
	list_worker(b, "w0", ADDR_A, BORN_A);
	submit(b);
	wait_ms(b, 2 * STEP_MS);
	answer(b, FFL_ORDER_START, "w0",
	       (ffl_reply_t){ .outcome = FFL_REPLY_UNHEALTHY }, NULL);
	g_array_set_size(b->orders, 0);
	wait_ms(b, 300);
	g_assert_null(find_order(b, FFL_ORDER_START, "w0"));
	list_worker(b, "w0", ADDR_A, BORN_B);
	wait_ms(b, 300);
	g_assert_nonnull(find_order(b, FFL_ORDER_START, "w0"));
}

/* Best-effort runs are at full speed when they start. */
static void speed_limit_of_earlier_incarnation(bed_t *b)
{
	const ffl_run_report_t late = { .run = 1, .recent_load = 200 };
	const ffl_dispatch_worker_t *w;

	run_on_w0(b);
	b->flow->spec.steps[0].target_ms = 100;
	for (uint32_t i = 0; i < 3; i++) {
		const ffl_order_t *order = find_order(b, FFL_ORDER_RENEW, "w0");
		ffl_run_report_t running = late;
		const ffl_reply_t reply = { .call = order->call,
					    .born_ms = BORN_A,
					    .clock_ms = CLOCK_A,
					    .running = &running,
					    .running_count = 1 };

		ffl_task_name(b->flow, 0, running.task);
		ffl_dispatch_handle_reply(&b->d, &reply, b->now_ms);
		wait_ms(b, 2 * STEP_MS);
	}
	w = g_hash_table_lookup(b->d.workers, "w0");
	g_assert_cmpuint(w->limit_percent, ==, 0);
	list_worker(b, "w0", ADDR_A, BORN_B);
	g_assert_cmpuint(w->limit_percent, ==, 100);
}

/* A record with a true start and another's address: what answers there proves
 * nothing of the runs at the address before. */
static void entry_with_address_of_another(bed_t *b)
{
	ffl_run_report_t running = { .run = 1 };
	ffl_reply_t late = { .clock_ms = CLOCK_A,
			     .running = &running,
			     .running_count = 1 };

	run_on_w0(b);
	late.call = find_order(b, FFL_ORDER_RENEW, "w0")->call;
	ffl_task_name(b->flow, 0, running.task);
	list_worker(b, "w0", "10.0.0.9:80", BORN_A);
	wait_ms(b, 2 * STEP_MS);
	ffl_dispatch_handle_reply(&b->d, &late, b->now_ms);
	wait_ms(b, STEP_MS);
	g_assert_cmpstr(find_order(b, FFL_ORDER_RENEW, "w0")->addr, ==,
			"10.0.0.9:80");
	answer(b, FFL_ORDER_RENEW, "w0",
	       (ffl_reply_t){ .outcome = FFL_REPLY_OTHER_INCARNATION }, NULL);
	assert_not_placed_again(b, 1500);
	list_worker(b, "w0", ADDR_A, BORN_A);
	assert_not_placed_again(b, 2 * STEP_MS);
}

/* The answer comes after the worker's own entry is back. */
static void late_answer_of_another_address(bed_t *b)
{
	const ffl_order_t *order;

	run_on_w0(b);
	answer(b, FFL_ORDER_RENEW, "w0",
	       (ffl_reply_t){ .clock_ms = CLOCK_A, .born_ms = BORN_A },
	       &(ffl_run_report_t){ .run = 1 });
	list_worker(b, "w0", "10.0.0.9:80", BORN_A);
	wait_ms(b, 400);
	order = find_order(b, FFL_ORDER_RENEW, "w0");
	g_assert_cmpstr(order->addr, ==, "10.0.0.9:80");
	list_worker(b, "w0", ADDR_A, BORN_A);
	answer(b, FFL_ORDER_RENEW, "w0",
	       (ffl_reply_t){ .outcome = FFL_REPLY_OTHER_INCARNATION }, NULL);
	assert_not_placed_again(b, 500);
	answer(b, FFL_ORDER_RENEW, "w0",
	       (ffl_reply_t){ .clock_ms = CLOCK_A, .born_ms = BORN_A },
	       &(ffl_run_report_t){ .run = 1 });
	assert_not_placed_again(b, 1500);
}

/* Another worker has the address for good: the runs are given up as before. */
static void address_taken_by_another(bed_t *b)
{
	run_on_w0(b);
	answer(b, FFL_ORDER_RENEW, "w0",
	       (ffl_reply_t){ .outcome = FFL_REPLY_OTHER_INCARNATION }, NULL);
	wait_ms(b, 4 * STEP_MS);
	g_assert_nonnull(find_order(b, FFL_ORDER_START, "w1"));
}

/* A record without its start tells of no restart, which a higher token would
 * follow. */
static void entry_without_start_time(bed_t *b)
{
	const ffl_reply_t report = { .clock_ms = CLOCK_A, .born_ms = BORN_A };
	const ffl_run_report_t running = { .run = 1 };
	const int64_t starts[] = { 0, BORN_A, BORN_B };
	uint64_t token;

	run_on_w0(b);
	token = find_order(b, FFL_ORDER_RENEW, "w0")->token;
	for (size_t i = 0; i < G_N_ELEMENTS(starts); i++) {
		list_worker(b, "w0", ADDR_A, starts[i]);
		wait_ms(b, 4 * STEP_MS);
		answer(b, FFL_ORDER_RENEW, "w0", report, &running);
		wait_ms(b, 4 * STEP_MS);
		if (starts[i] != BORN_B)
			g_assert_cmpuint(
				find_order(b, FFL_ORDER_RENEW, "w0")->token, ==,
				token);
	}
	g_assert_cmpuint(find_order(b, FFL_ORDER_RENEW, "w0")->token, >, token);
}

/* A record that gives a live worker another capacity. */
static void entry_with_odd_capacity(bed_t *b)
{
	const ffl_resources_t capacities[] = {
		{ 0, 0, 0 },
		{ 1, 1, 1 },
		{ UINT32_MAX, UINT32_MAX, UINT32_MAX },
	};
	const ffl_run_report_t running = { .run = 1 };

	run_on_w0(b);
	for (size_t i = 0; i < G_N_ELEMENTS(capacities); i++) {
		ffl_worker_entry_t entry = { .id = "w0",
					     .addr = ADDR_A,
					     .service = "survey",
					     .born_ms = BORN_A,
					     .capacity = capacities[i] };

		ffl_dispatch_update_worker(&b->d, &entry, b->now_ms, b->now_ms);
		ffl_dispatch_request_placement(&b->d);
		assert_not_placed_again(b, 400);
		answer(b, FFL_ORDER_RENEW, "w0",
		       (ffl_reply_t){ .clock_ms = CLOCK_A, .born_ms = BORN_A },
		       &running);
	}
	list_worker(b, "w0", ADDR_A, BORN_A);
	assert_not_placed_again(b, 400);
}

/* The progress of a job that is being removed must not be written again: it
 * would count for a later job of the id. */
static void late_success_of_removed_job(bed_t *b)
{
	const ffl_run_report_t done = { .run = 1,
					.number = 1,
					.end = FFL_RUN_END_DONE };
	ffl_reply_t reply = { .outcome = FFL_REPLY_UNKNOWN };
	uint64_t batch;

	run_on_w0(b);
	ffl_flows_cancel(&b->flows, b->flow->spec.id, 0);
	for (uint32_t ms = 0; b->flow->placed_count && ms < 2 * GIVE_UP_MS;
	     ms += STEP_MS) {
		wait_ms(b, STEP_MS);
		for (guint i = 0; i < b->orders->len; i++) {
			reply.call =
				g_array_index(b->orders, ffl_order_t, i).call;
			ffl_dispatch_handle_reply(&b->d, &reply, b->now_ms);
		}
	}
	g_assert_cmpuint(b->flow->placed_count, ==, 0);
	b->flow->dropped_ms = b->now_ms;
	batch = b->flow->dirty_batch;
	g_array_set_size(b->orders, 0);
	wait_ms(b, 2000);
	answer(b, FFL_ORDER_RENEW, "w0",
	       (ffl_reply_t){ .clock_ms = CLOCK_A, .born_ms = BORN_A }, &done);
	g_assert_cmpuint(b->flow->dirty_batch, ==, batch);
}

/* The host that leads next has not read an address of the worker before. */
static void odd_entry_first_for_next_host(bed_t *b)
{
	const ffl_reply_t report = { .clock_ms = CLOCK_A, .born_ms = BORN_A };
	const ffl_run_report_t running = { .run = 1 };

	run_on_w0(b);
	ffl_dispatch_become_leader(&b->d, b->now_ms, b->now_ms, b->now_ms);
	list_worker(b, "w1", ADDR_B, BORN_A);
	list_worker(b, "w0", "10.0.0.9:80", 0);
	wait_ms(b, 2 * STEP_MS);
	g_assert_cmpstr(find_order(b, FFL_ORDER_RENEW, "w0")->addr, ==,
			"10.0.0.9:80");
	answer(b, FFL_ORDER_RENEW, "w0",
	       (ffl_reply_t){ .outcome = FFL_REPLY_OTHER_INCARNATION }, NULL);
	assert_not_placed_again(b, 1000);
	list_worker(b, "w0", ADDR_A, BORN_A);
	answer(b, FFL_ORDER_RENEW, "w0",
	       (ffl_reply_t){ .outcome = FFL_REPLY_OTHER_INCARNATION }, NULL);
	assert_not_placed_again(b, 1000);
	g_assert_cmpstr(find_order(b, FFL_ORDER_RENEW, "w0")->addr, ==, ADDR_A);
	answer(b, FFL_ORDER_RENEW, "w0", report, &running);
	assert_not_placed_again(b, 500);
	answer(b, FFL_ORDER_RENEW, "w0",
	       (ffl_reply_t){ .outcome = FFL_REPLY_OTHER_INCARNATION }, NULL);
	wait_ms(b, 4 * STEP_MS);
	g_assert_nonnull(find_order(b, FFL_ORDER_START, "w1"));
}

/* Run 1 has failed and the task is to be placed again. The end is acknowledged
 * before another run starts, by an order that does not wait. */
static void fail_run_on_w0(bed_t *b)
{
	const ffl_run_report_t failed = { .run = 1,
					  .number = 1,
					  .end = FFL_RUN_END_FAILED };

	run_on_w0(b);
	ffl_dispatch_remove_worker(&b->d, "w1", 60000, b->now_ms);
	answer(b, FFL_ORDER_RENEW, "w0",
	       (ffl_reply_t){ .clock_ms = CLOCK_A, .born_ms = BORN_A },
	       &failed);
	g_array_set_size(b->orders, 0);
	wait_ms(b, 300);
	g_assert_null(find_order(b, FFL_ORDER_START, "w0"));
	g_assert_cmpuint(find_order(b, FFL_ORDER_RENEW, "w0")->acked, ==, 1);
	g_assert_cmpuint(find_order(b, FFL_ORDER_RENEW, "w0")->wait_ms, ==, 0);
}

/* An incarnation that the leader does not know yet takes an acknowledgement
 * for its own ends, so it must not have any. */
static void acknowledgement_to_next_incarnation(bed_t *b)
{
	const ffl_reply_t report = { .clock_ms = CLOCK_B, .born_ms = BORN_B };
	uint64_t token;

	fail_run_on_w0(b);
	token = find_order(b, FFL_ORDER_RENEW, "w0")->token;
	answer(b, FFL_ORDER_RENEW, "w0", report, NULL);
	list_worker(b, "w0", ADDR_A, BORN_B);
	wait_ms(b, 300);
	g_assert_cmpuint(find_order(b, FFL_ORDER_RENEW, "w0")->acked, ==, 0);
	answer(b, FFL_ORDER_RENEW, "w0", report, NULL);
	wait_ms(b, 300);
	g_assert_cmpuint(find_order(b, FFL_ORDER_START, "w0")->token, >, token);
}

/* An acknowledgement without an answer may still be carried out. */
static void late_acknowledgement(bed_t *b)
{
	uint64_t token;

	fail_run_on_w0(b);
	token = find_order(b, FFL_ORDER_RENEW, "w0")->token;
	answer(b, FFL_ORDER_RENEW, "w0",
	       (ffl_reply_t){ .outcome = FFL_REPLY_UNKNOWN }, NULL);
	wait_ms(b, 1000);
	answer(b, FFL_ORDER_RENEW, "w0",
	       (ffl_reply_t){ .clock_ms = CLOCK_A, .born_ms = BORN_A }, NULL);
	wait_ms(b, 300);
	answer(b, FFL_ORDER_RENEW, "w0",
	       (ffl_reply_t){ .clock_ms = CLOCK_A, .born_ms = BORN_A }, NULL);
	wait_ms(b, 300);
	g_assert_cmpuint(find_order(b, FFL_ORDER_START, "w0")->token, >, token);
}

/* The incarnation that answered the start need not be the one that listed the
 * end. */
static void acknowledgement_after_unreported_start(bed_t *b)
{
	const ffl_reply_t report = { .clock_ms = CLOCK_A, .born_ms = BORN_A };
	const ffl_run_report_t other = { .run = 9, .number = 50 };
	const ffl_order_t *order;
	ffl_run_report_t ended = other;
	ffl_reply_t early = report;

	start_on_w0(b);
	order = find_order(b, FFL_ORDER_RENEW, "w0");
	early.call = order->call;
	early.ended = &ended;
	early.ended_count = 1;
	ffl_task_name(b->flow, 0, ended.task);
	wait_ms(b, 2 * STEP_MS);
	answer(b, FFL_ORDER_START, "w0", (ffl_reply_t){ .clock_ms = CLOCK_A },
	       NULL);
	ffl_dispatch_handle_reply(&b->d, &early, b->now_ms);
	wait_ms(b, 300);
	g_assert_cmpuint(find_order(b, FFL_ORDER_RENEW, "w0")->acked, ==, 0);
	answer(b, FFL_ORDER_RENEW, "w0", report, &other);
	wait_ms(b, 300);
	g_assert_cmpuint(find_order(b, FFL_ORDER_RENEW, "w0")->acked, ==, 50);
}

/* An order for the incarnation before gave the longest lease to a worker that
 * has no run on the log; the answer to the next start does not tell. */
static void next_leader_starts_on_worker_with_longest_lease(bed_t *b)
{
	ffl_dispatch_become_leader(&b->d, b->now_ms, b->now_ms, b->now_ms);
	read_entry(b, BORN_B, 2, 0);
	submit(b);
	wait_ms(b, 2 * STEP_MS);
	list_worker(b, "w1", ADDR_B, BORN_A);
	answer(b, FFL_ORDER_START, "w0", (ffl_reply_t){ .clock_ms = CLOCK_B },
	       NULL);
	g_assert_cmpuint(
		fail_until_placed(b, FFL_REPLY_UNKNOWN, 2 * GIVE_UP_MS), >=,
		LEASE_MAX_MS);
}

/* Each time that the worker is back on the list, it is waited for anew. */
static void young_worker_is_waited_for_each_time_it_is_listed(bed_t *b)
{
	uint64_t since_ms;

	lose_leader_and_w0(b, 2);
	since_ms = b->now_ms;
	fail_until_placed(b, FFL_REPLY_UNKNOWN, 6000);
	ffl_dispatch_remove_worker(&b->d, "w0", 0, b->now_ms);
	fail_until_placed(b, FFL_REPLY_UNKNOWN, 500);
	read_entry(b, BORN_A, 5, b->now_ms - 500);
	fail_until_placed(b, FFL_REPLY_UNKNOWN, 2 * GIVE_UP_MS);
	g_assert_cmpuint(b->now_ms - since_ms, <, GIVE_UP_MS);
}

/* The earlier leader may go on giving leases, for the incarnation before. */
static void restart_read_late_under_two_leaders(bed_t *b)
{
	run_on_w0(b);
	ffl_dispatch_become_leader(&b->d, b->now_ms, b->now_ms + 3000,
				   b->now_ms);
	g_array_set_size(b->orders, 0);
	read_entry(b, BORN_A, 100, 0);
	read_entry(b, BORN_B, 1, b->now_ms);
	list_worker(b, "w1", ADDR_B, BORN_A);
	g_assert_cmpuint(
		fail_until_placed(b, FFL_REPLY_UNKNOWN, 2 * GIVE_UP_MS), >=,
		3000 + LEASE_MAX_MS);
}

/* It is back on the list and has not restarted: its report tells its start
 * time, as before. */
static void relisted_worker_is_waited_for_as_restarted(bed_t *b)
{
	const ffl_reply_t report = { .clock_ms = CLOCK_A, .born_ms = BORN_A };
	const ffl_run_report_t running = { .run = 1, .percent = 1 };

	run_on_w0(b);
	for (uint32_t i = 0; i < LEASE_MAX_MS; i += 1000) {
		wait_ms(b, 1000);
		answer(b, FFL_ORDER_RENEW, "w0", report, &running);
	}
	ffl_dispatch_remove_worker(&b->d, "w0", 60000, b->now_ms);
	wait_ms(b, STEP_MS);
	list_worker(b, "w0", ADDR_A, BORN_A);
	wait_ms(b, STEP_MS);
	answer(b, FFL_ORDER_RENEW, "w0", report, &running);
	g_assert_cmpuint(
		fail_until_placed(b, FFL_REPLY_UNKNOWN, 2 * GIVE_UP_MS), <,
		LEASE_MAX_MS * 3 / 4);
}

/* The store is away after the claim, so that the list is read late. */
static void next_leader_gives_up_worker_before_list_is_read(bed_t *b)
{
	run_on_w0(b);
	ffl_dispatch_become_leader(&b->d, b->now_ms, b->now_ms, b->now_ms);
	for (uint32_t i = 0; i < 8000; i += STEP_MS) {
		b->now_ms += STEP_MS;
		ffl_dispatch_step(&b->d, b->now_ms, b->now_ms, false, true,
				  b->orders);
	}
	g_array_set_size(b->orders, 0);
	list_worker(b, "w0", ADDR_A, BORN_A);
	list_worker(b, "w1", ADDR_B, BORN_A);
	assert_not_placed_again(b, 1000);
}

/* The next leader does not know which starts of the one before are in doubt.
 */
static void left_worker_with_late_start_of_earlier_leader(bed_t *b)
{
	start_on_w0(b);
	answer(b, FFL_ORDER_START, "w0",
	       (ffl_reply_t){ .outcome = FFL_REPLY_UNKNOWN }, NULL);
	ffl_dispatch_become_leader(&b->d, b->now_ms, b->now_ms, b->now_ms);
	g_array_set_size(b->orders, 0);
	list_draining(b, 500);
	list_worker(b, "w1", ADDR_B, BORN_A);
	fail_until_placed(b, FFL_REPLY_UNKNOWN, 4600);
	list_draining(b, 500);
	ffl_dispatch_remove_worker(&b->d, "w0", 4600, b->now_ms);
	assert_not_placed_again(b, 1000);
}

/* A start has no answer, and its worker crashes and is cut off at once: its
 * next incarnation may begin the run late and keep it for the longest lease. */
static void late_start_at_incarnation_out_of_reach(bed_t *b)
{
	uint64_t since_ms;

	start_again_on_w0(b);
	since_ms = b->now_ms;
	ffl_dispatch_remove_worker(&b->d, "w0", 60000, b->now_ms);
	g_assert_cmpuint(assert_waited_out(b, since_ms), <, LATE_GIVE_UP_MS);
}

/* Another sending was answered; the one without an answer is late. */
static void late_sending_of_answered_start(bed_t *b)
{
	uint64_t since_ms = leave_start_unanswered(b);

	wait_ms(b, 200);
	answer(b, FFL_ORDER_START, "w0",
	       (ffl_reply_t){ .clock_ms = CLOCK_A + LEASE_MAX_MS }, NULL);
	assert_waited_out(b, since_ms);
}

/* The restart is read while the start has no answer yet. */
static void late_start_under_way_at_restart(bed_t *b)
{
	uint64_t since_ms;

	start_again_on_w0(b);
	since_ms = b->now_ms;
	answer(b, FFL_ORDER_RENEW, "w0",
	       (ffl_reply_t){ .clock_ms = CLOCK_B, .born_ms = BORN_B }, NULL);
	assert_waited_out(b, since_ms);
}

/* A renewal without an answer may come late too, and extend what a late start
 * has begun. */
static void late_renewal_extends_late_start(bed_t *b)
{
	const ffl_dispatch_worker_t *w;
	uint64_t late_ms;

	leave_start_unanswered(b);
	w = g_hash_table_lookup(b->d.workers, "w0");
	late_ms = w->doubt.late_orders_ms;
	g_assert_cmpuint(find_order(b, FFL_ORDER_RENEW, "w0")->until_ms, >, 0);
	wait_ms(b, 1000);
	answer(b, FFL_ORDER_RENEW, "w0",
	       (ffl_reply_t){ .outcome = FFL_REPLY_UNKNOWN }, NULL);
	g_assert_cmpuint(w->doubt.late_orders_ms, >=, late_ms + 1000);
}

/* An incarnation that has accepted the stop cannot begin the run any more. */
static void stop_at_next_incarnation_is_not_believed(bed_t *b)
{
	uint32_t waited_ms;

	leave_start_unanswered(b);
	ffl_dispatch_remove_worker(&b->d, "w0", 60000, b->now_ms);
	wait_ms(b, 2 * STEP_MS);
	answer(b, FFL_ORDER_STOP, "w0", (ffl_reply_t){ .clock_ms = CLOCK_B },
	       NULL);
	waited_ms = fail_until_placed(b, FFL_REPLY_UNKNOWN, LATE_GIVE_UP_MS);
	g_assert_cmpuint(waited_ms, <, LEASE_MAX_MS);
}

/* The incarnation that the start was meant for may still crash. */
static void stop_at_known_incarnation_ends_doubt(bed_t *b)
{
	uint64_t since_ms = leave_start_unanswered(b);

	ffl_dispatch_remove_worker(&b->d, "w0", 60000, b->now_ms);
	wait_ms(b, 2 * STEP_MS);
	answer(b, FFL_ORDER_STOP, "w0",
	       (ffl_reply_t){ .clock_ms = CLOCK_A + LEASE_MAX_MS }, NULL);
	assert_waited_out(b, since_ms);
}

/* A worker that does not answer is sent no start again: each would have to be
 * waited out. */
static void start_in_doubt_is_repeated_at_silent_worker(bed_t *b)
{
	const ffl_reply_t unknown = { .outcome = FFL_REPLY_UNKNOWN };
	uint64_t call;

	start_again_on_w0(b);
	answer(b, FFL_ORDER_START, "w0", unknown, NULL);
	answer(b, FFL_ORDER_RENEW, "w0", unknown, NULL);
	call = find_order(b, FFL_ORDER_START, "w0")->call;
	wait_ms(b, 1000);
	g_assert_cmpuint(find_order(b, FFL_ORDER_START, "w0")->call, ==, call);
	answer(b, FFL_ORDER_RENEW, "w0",
	       (ffl_reply_t){ .clock_ms = CLOCK_A + LEASE_MAX_MS,
			      .born_ms = BORN_A },
	       NULL);
	wait_ms(b, 200);
	g_assert_cmpuint(find_order(b, FFL_ORDER_START, "w0")->call, >, call);
}

/* The worker has gone on for so long that the late start cannot come any more.
 */
static void late_start_that_never_came_is_waited_out(bed_t *b)
{
	ffl_reply_t report = { .clock_ms = CLOCK_A + LEASE_MAX_MS,
			       .born_ms = BORN_A };
	const ffl_run_report_t running = { .run = 2, .percent = 1 };

	leave_start_unanswered(b);
	wait_ms(b, 200);
	answer(b, FFL_ORDER_START, "w0", (ffl_reply_t){ .clock_ms = CLOCK_A },
	       NULL);
	for (uint32_t i = 0; i < LATE_MAX_MS + 2000; i += 1000) {
		wait_ms(b, 1000);
		report.clock_ms += 1000;
		answer(b, FFL_ORDER_RENEW, "w0", report, &running);
	}
	g_assert_cmpuint(
		fail_until_placed(b, FFL_REPLY_UNKNOWN, 2 * LATE_GIVE_UP_MS), <,
		GIVE_UP_MS);
}

/* The same, of a worker that is cut off from the hosts and goes on writing its
 * entry. */
static void late_start_is_waited_out_beside_entries(bed_t *b)
{
	uint64_t since_ms;

	start_again_on_w0(b);
	since_ms = b->now_ms;
	for (uint32_t i = 0; i < LATE_MAX_MS + 1500; i += 1500) {
		fail_until_placed(b, FFL_REPLY_UNKNOWN, 1500);
		read_entry(b, BORN_A, 100 + i, b->now_ms);
	}
	fail_until_placed(b, FFL_REPLY_UNKNOWN, LATE_GIVE_UP_MS);
	g_assert_cmpuint(b->now_ms - since_ms, >=, LATE_MAX_MS);
	g_assert_cmpuint(b->now_ms - since_ms, <, LATE_MAX_MS + 4000);
}

/* Its next incarnation's entry tells nothing of what that has begun. */
static void entry_of_next_incarnation_ends_doubt(bed_t *b)
{
	uint64_t since_ms;

	start_again_on_w0(b);
	since_ms = b->now_ms;
	fail_until_placed(b, FFL_REPLY_UNKNOWN, 1500);
	for (uint32_t i = 0; i < LATE_MAX_MS + 1500; i += 1500) {
		read_entry(b, BORN_B, 1 + i / 1500, b->now_ms);
		fail_until_placed(b, FFL_REPLY_UNKNOWN, 1500);
	}
	fail_until_placed(b, FFL_REPLY_UNKNOWN, LATE_GIVE_UP_MS);
	g_assert_cmpuint(b->now_ms - since_ms, >=, LATE_MAX_MS + LEASE_MAX_MS);
}

/* Two runs of the task may run at a time, so that none is waited out. */
static void late_start_holds_task_that_allows_duplicates(bed_t *b)
{
	start_again_on_w0(b);
	b->flow->spec.steps[0].allows_duplicates = true;
	g_assert_cmpuint(
		fail_until_placed(b, FFL_REPLY_UNKNOWN, 2 * LATE_GIVE_UP_MS), <,
		LEASE_MAX_MS * 3 / 4);
}

/* Beside a start in doubt another run goes on, whose start was answered. */
static void start_in_doubt_holds_other_runs(bed_t *b)
{
	const ffl_reply_t unknown = { .outcome = FFL_REPLY_UNKNOWN };
	uint64_t since_ms;

	list_worker(b, "w0", ADDR_A, BORN_A);
	submit_tasks(b, 2);
	wait_ms(b, 2 * STEP_MS);
	since_ms = b->now_ms;
	g_assert_cmpuint(b->d.runs->len, ==, 2);
	answer(b, FFL_ORDER_START, "w0", (ffl_reply_t){ .clock_ms = CLOCK_A },
	       NULL);
	list_worker(b, "w1", ADDR_B, BORN_A);
	fail_until_placed(b, unknown.outcome, 2 * LATE_GIVE_UP_MS);
	g_assert_cmpuint(b->now_ms - since_ms, <, GIVE_UP_MS);
	g_assert_cmpuint(b->flow->placed_count, ==, 2);
	g_assert_cmpuint(b->flow->tasks[0].run + b->flow->tasks[1].run, ==, 3);
	while (b->flow->tasks[0].run + b->flow->tasks[1].run < 4)
		fail_until_placed(b, unknown.outcome, STEP_MS);
	g_assert_cmpuint(b->now_ms - since_ms, >=, LATE_MAX_MS + LEASE_MAX_MS);
	g_assert_cmpuint(b->now_ms - since_ms, <, LATE_GIVE_UP_MS);
}

static const test_case_t cases[] = {
	{ "order-reaches-next-incarnation", order_reaches_next_incarnation },
	{ "late-order-after-restart", late_order_after_restart },
	{ "late-order-after-give-up", late_order_after_give_up },
	{ "no-late-order-after-give-up", no_late_order_after_give_up },
	{ "late-order-after-give-up-of-listed",
	  late_order_after_give_up_of_listed },
	{ "answered-order-sent-twice", answered_order_sent_twice },
	{ "reply-of-earlier-incarnation", reply_of_earlier_incarnation },
	{ "clock-of-earlier-incarnation", clock_of_earlier_incarnation },
	{ "restart-with-earlier-start-time", restart_with_earlier_start_time },
	{ "entry-of-another-writer", entry_of_another_writer },
	{ "restart-unknown-to-next-leader", restart_unknown_to_next_leader },
	{ "next-leader-cuts-short-lease-of-restarted-worker",
	  next_leader_cuts_short_lease_of_restarted_worker },
	{ "next-leader-waits-too-long-for-old-worker",
	  next_leader_waits_too_long_for_old_worker },
	{ "next-leader-gives-up-old-worker-unheard",
	  next_leader_gives_up_old_worker_unheard },
	{ "late-fence-cuts-short-longest-lease",
	  late_fence_cuts_short_longest_lease },
	{ "answer-of-next-incarnation-cuts-short-its-lease",
	  answer_of_next_incarnation_cuts_short_its_lease },
	{ "refused-starts-hold-task", refused_starts_hold_task },
	{ "refused-starts-of-listed-worker", refused_starts_of_listed_worker },
	{ "refused-starts-end-no-doubt", refused_starts_end_no_doubt },
	{ "unsent-renewal-extends-lease", unsent_renewal_extends_lease },
	{ "unsent-start-waits-for-lease", unsent_start_waits_for_lease },
	{ "unlisted-worker-is-sent-starts", unlisted_worker_is_sent_starts },
	{ "unlisted-worker-is-extended", unlisted_worker_is_extended },
	{ "silent-worker-read-late", silent_worker_read_late },
	{ "left-worker-is-not-waited-out", left_worker_is_not_waited_out },
	{ "end-acknowledged-unseen", end_acknowledged_unseen },
	{ "left-worker-with-late-start", left_worker_with_late_start },
	{ "known-run-placed-again", known_run_placed_again },
	{ "replaced-at-stale-address", replaced_at_stale_address },
	{ "entry-of-earlier-incarnation", entry_of_earlier_incarnation },
	{ "lease-before-first-report", lease_before_first_report },
	{ "success-of-superseded-run", success_of_superseded_run },
	{ "success-of-run-being-stopped", success_of_run_being_stopped },
	{ "one-unsent-start-moves-task", one_unsent_start_moves_task },
	{ "unanswered-start-never-settled", unanswered_start_never_settled },
	{ "denial-of-earlier-incarnation", denial_of_earlier_incarnation },
	{ "ticket-of-earlier-incarnation", ticket_of_earlier_incarnation },
	{ "denial-of-earlier-job", denial_of_earlier_job },
	{ "late-report-is-no-hang", late_report_is_no_hang },
	{ "run-without-progress-hangs", run_without_progress_hangs },
	{ "late-report-is-no-rate", late_report_is_no_rate },
	{ "quarantine-of-earlier-incarnation",
	  quarantine_of_earlier_incarnation },
	{ "speed-limit-of-earlier-incarnation",
	  speed_limit_of_earlier_incarnation },
	{ "entry-with-address-of-another", entry_with_address_of_another },
	{ "late-answer-of-another-address", late_answer_of_another_address },
	{ "address-taken-by-another", address_taken_by_another },
	{ "entry-without-start-time", entry_without_start_time },
	{ "entry-with-odd-capacity", entry_with_odd_capacity },
	{ "late-success-of-removed-job", late_success_of_removed_job },
	{ "odd-entry-first-for-next-host", odd_entry_first_for_next_host },
	{ "acknowledgement-to-next-incarnation",
	  acknowledgement_to_next_incarnation },
	{ "late-acknowledgement", late_acknowledgement },
	{ "acknowledgement-after-unreported-start",
	  acknowledgement_after_unreported_start },
	{ "next-leader-starts-on-worker-with-longest-lease",
	  next_leader_starts_on_worker_with_longest_lease },
	{ "young-worker-is-waited-for-each-time-it-is-listed",
	  young_worker_is_waited_for_each_time_it_is_listed },
	{ "restart-read-late-under-two-leaders",
	  restart_read_late_under_two_leaders },
	{ "next-leader-gives-up-worker-before-list-is-read",
	  next_leader_gives_up_worker_before_list_is_read },
	{ "relisted-worker-is-waited-for-as-restarted",
	  relisted_worker_is_waited_for_as_restarted },
	{ "left-worker-with-late-start-of-earlier-leader",
	  left_worker_with_late_start_of_earlier_leader },
	{ "late-start-at-incarnation-out-of-reach",
	  late_start_at_incarnation_out_of_reach },
	{ "late-sending-of-answered-start", late_sending_of_answered_start },
	{ "late-start-under-way-at-restart", late_start_under_way_at_restart },
	{ "late-renewal-extends-late-start", late_renewal_extends_late_start },
	{ "stop-at-next-incarnation-is-not-believed",
	  stop_at_next_incarnation_is_not_believed },
	{ "stop-at-known-incarnation-ends-doubt",
	  stop_at_known_incarnation_ends_doubt },
	{ "start-in-doubt-is-repeated-at-silent-worker",
	  start_in_doubt_is_repeated_at_silent_worker },
	{ "late-start-that-never-came-is-waited-out",
	  late_start_that_never_came_is_waited_out },
	{ "late-start-is-waited-out-beside-entries",
	  late_start_is_waited_out_beside_entries },
	{ "entry-of-next-incarnation-ends-doubt",
	  entry_of_next_incarnation_ends_doubt },
	{ "late-start-holds-task-that-allows-duplicates",
	  late_start_holds_task_that_allows_duplicates },
	{ "start-in-doubt-holds-other-runs", start_in_doubt_holds_other_runs },
};

static void test_case(gconstpointer data)
{
	bed_t b;

	bed_init(&b);
	((const test_case_t *)data)->run(&b);
	bed_finish(&b);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *path = g_strdup_printf("/incarnation/%s", cases[i].name);

		g_test_add_data_func(path, &cases[i], test_case);
		g_free(path);
	}
	return g_test_run();
}
