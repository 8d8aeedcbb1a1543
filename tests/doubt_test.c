/** @file Tests of what a worker may hold without the leader's knowledge. */
#include "fireflyledge/doubt.h"
#include "fireflyledge/types.h"

#define STEPS_MAX 4
#define RUNS	  2

/** An event for a worker. */
typedef enum {
	DONE, /**< no further event */
	CLAIM,
	CLAIM_EMPTY, /**< of a worker without runs */
	LEASE,
	DROP_LEASES,
	LATE_ORDER,
	LATE_START,
	SETTLE_RUN,
	SETTLE_ALL,
	HEARD,
} kind_t;

typedef struct {
	kind_t kind;
	uint64_t ms;		 /**< time that the event names */
	uint32_t run;		 /**< index of the run */
	ffl_lease_basis_t basis; /**< of LEASE */
} step_t;

typedef struct {
	const char *name;
	step_t steps[STEPS_MAX];
	uint64_t leases_end_ms;
	ffl_lease_basis_t basis;
	uint64_t late_orders_ms;
	uint64_t starts_ms[RUNS]; /**< late_ms of each start; 0: settled */
	bool unheard;
} case_t;

static void apply(ffl_doubt_t *u, const step_t *s);
static void test_events(void);

/* Runs are compared by address only. */
static const struct ffl_run *run_at(uint32_t i)
{
	static const char runs[RUNS];

	return (const struct ffl_run *)&runs[i];
}

static void apply(ffl_doubt_t *u, const step_t *s)
{
	switch (s->kind) {
	case CLAIM:
		ffl_doubt_claim(u, true, s->ms);
		break;
	case CLAIM_EMPTY:
		ffl_doubt_claim(u, false, s->ms);
		break;
	case LEASE:
		ffl_doubt_add_lease(u, s->ms, s->basis);
		break;
	case DROP_LEASES:
		ffl_doubt_drop_leases(u);
		break;
	case LATE_ORDER:
		ffl_doubt_add_late_order(u, s->ms);
		break;
	case LATE_START:
		ffl_doubt_add_late_start(u, run_at(s->run), 1, s->ms);
		break;
	case SETTLE_RUN:
		ffl_doubt_settle_start(u, run_at(s->run));
		break;
	case SETTLE_ALL:
		ffl_doubt_settle_starts(u, s->ms);
		break;
	case HEARD:
		ffl_doubt_note_heard(u);
		break;
	case DONE:
		break;
	}
}

/* Each event puts in doubt, or settles, what docs/ARCHITECTURE.md says. */
static void test_events(void)
{
	static const case_t cases[] = {
		{ .name = "nothing" },
		{ .name = "the later end of two leases counts",
		  .steps = { { LEASE, 100, 0, FFL_LEASE_ORDER },
			     { LEASE, 90, 0, FFL_LEASE_RESTART } },
		  .leases_end_ms = 100,
		  .basis = FFL_LEASE_ORDER },
		{ .name = "a claim replaces the leases known before",
		  .steps = { { LEASE, 500, 0, FFL_LEASE_ORDER },
			     { CLAIM, 100 } },
		  .leases_end_ms = 100,
		  .basis = FFL_LEASE_CLAIM,
		  .unheard = true },
		{ .name = "a worker without runs has none",
		  .steps = { { CLAIM_EMPTY, 100 } } },
		{ .name = "a sign of life does not end a lease",
		  .steps = { { CLAIM, 100 }, { HEARD } },
		  .leases_end_ms = 100,
		  .basis = FFL_LEASE_CLAIM },
		{ .name = "another worker has its address",
		  .steps = { { LEASE, 100, 0, FFL_LEASE_ORDER },
			     { DROP_LEASES } } },
		{ .name = "an order that starts nothing",
		  .steps = { { LATE_ORDER, 50 } },
		  .late_orders_ms = 50 },
		{ .name = "the last sending of a start counts",
		  .steps = { { LATE_START, 50, 0 }, { LATE_START, 70, 0 } },
		  .late_orders_ms = 70,
		  .starts_ms = { 70 } },
		{ .name = "one start is settled, the order stays",
		  .steps = { { LATE_START, 50, 0 },
			     { LATE_START, 70, 1 },
			     { SETTLE_RUN, 0, 1 } },
		  .late_orders_ms = 70,
		  .starts_ms = { 50 } },
		{ .name = "alive before the last moment of a start",
		  .steps = { { LATE_START, 50, 0 }, { SETTLE_ALL, 49 } },
		  .late_orders_ms = 50,
		  .starts_ms = { 50 } },
		{ .name = "alive after one of two",
		  .steps = { { LATE_START, 50, 0 },
			     { LATE_START, 70, 1 },
			     { SETTLE_ALL, 50 } },
		  .late_orders_ms = 70,
		  .starts_ms = { 0, 70 } },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const case_t *c = &cases[i];
		ffl_doubt_t u;

		g_test_message("%s", c->name);
		ffl_doubt_init(&u);
		for (uint32_t k = 0; k < STEPS_MAX; k++)
			apply(&u, &c->steps[k]);
		g_assert_cmpuint(u.leases_end_ms, ==, c->leases_end_ms);
		g_assert_cmpint(u.leases_basis, ==, c->basis);
		g_assert_cmpuint(u.late_orders_ms, ==, c->late_orders_ms);
		g_assert_cmpint(u.unheard, ==, c->unheard);
		for (uint32_t k = 0; k < RUNS; k++) {
			const ffl_late_start_t *start =
				ffl_doubt_find_start(&u, run_at(k));

			g_assert_cmpuint(start ? start->late_ms : 0, ==,
					 c->starts_ms[k]);
		}
		ffl_doubt_finish(&u);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/doubt/events", test_events);
	return g_test_run();
}
