/** @file Tests of leadership under faults of the log and of the leader. */
#include <string.h>

#include "fakes/faults.h"

/** Simulated time of a start without faults, long enough to have the host
 * list's history; run time of the gang; and time that the effects of a
 * fault are watched. */
#define START_MS 40000
#define RUN_MS	 60000
#define WATCH_MS 30000

/** A row of the table of faults in docs/design/leadership.md. */
typedef struct {
	const char *name;
	fault_kind_t log;    /**< fault of the log, or FAULT__MAX */
	fault_kind_t leader; /**< fault of the leader or its links */
	bool replaced;	     /**< another member leads afterwards */
} fault_case_t;

static void start(world_t *w, gang_watch_t *watch, faults_t *faults,
		  uint64_t seed);
static void test_fault(gconstpointer data);
static void test_registration_expired(void);
static void test_leader_dies_in_short_outage(void);

static const fault_case_t fault_cases[] = {
	{ "log-up/leader-well", FAULT__MAX, FAULT__MAX, false },
	{ "log-down/leader-well", FAULT_OUTAGE, FAULT__MAX, false },
	{ "log-up/leader-dies", FAULT__MAX, FAULT_KILL, true },
	{ "log-down/leader-dies", FAULT_OUTAGE, FAULT_KILL, false },
	{ "log-up/leader-paused", FAULT__MAX, FAULT_PAUSE, true },
	{ "log-down/leader-paused", FAULT_OUTAGE, FAULT_PAUSE, false },
	{ "log-up/leader-cut-from-peers", FAULT__MAX, FAULT_ISOLATE, true },
	{ "log-up/leader-cut-from-log", FAULT__MAX, FAULT_LOG_CUT, false },
	{ "log-up/leader-leaves", FAULT__MAX, FAULT_STOP, true },
};

static void start(world_t *w, gang_watch_t *watch, faults_t *faults,
		  uint64_t seed)
{
	world_init(w, seed, 3, 4, 1);
	gang_watch_init(watch, w);
	watch->forbid_broken_gangs = true;
	faults_init(faults, w, watch);
	world_run(w, 1000);
	g_assert_true(world_add_customer(w, 0, "rocio", "token"));
	faults_run(faults, START_MS);
}

/* Whatever the fault, the running gang continues on all its workers and ends
 * once. */
static void test_fault(gconstpointer data)
{
	const fault_case_t *c = data;
	GArray *submits = g_array_new(FALSE, TRUE, sizeof(uint64_t));
	gang_watch_t watch;
	faults_t faults;
	uint64_t epoch;
	uint64_t id;
	int leader;
	world_t w;

	start(&w, &watch, &faults, 1);
	id = gang_watch_submit(&w, 0, 16, RUN_MS, "");
	g_array_append_val(submits, id);
	faults_run(&faults, 5000);
	leader = world_leader(&w);
	g_assert_cmpint(leader, >=, 0);
	epoch = watch.epoch;
	if (c->log != FAULT__MAX)
		faults_add(&faults, c->log, 0, WATCH_MS);
	if (c->leader != FAULT__MAX)
		faults_add(&faults, c->leader, (uint32_t)leader, WATCH_MS / 2);
	faults_run(&faults, WATCH_MS - 5000);
	g_assert_cmpstr(watch.violation, ==, NULL);
	g_assert_cmpint(watch.epoch > epoch, ==, c->replaced);
	faults_clear(&faults);
	gang_watch_finish_jobs(&watch, &w, 4 * RUN_MS);
	g_assert_cmpstr(watch.violation, ==, NULL);
	g_assert_cmpstr(gang_watch_check_ends(&w, submits), ==, NULL);
	faults_finish(&faults);
	gang_watch_finish(&watch);
	g_array_free(submits, TRUE);
	world_finish(&w);
}

/* The leader dies during an outage of the log, which ends before a new leader
 * is elected: the new one must renew the leases of the gang before they end. */
static void test_leader_dies_in_short_outage(void)
{
	for (uint32_t out_ms = 500; out_ms <= 4000; out_ms += 250) {
		gang_watch_t watch;
		faults_t faults;
		world_t w;

		start(&w, &watch, &faults, out_ms);
		gang_watch_submit(&w, 0, 16, RUN_MS, "");
		faults_run(&faults, 5000);
		g_assert_cmpint(world_leader(&w), >=, 0);
		faults_add(&faults, FAULT_OUTAGE, 0, out_ms);
		faults_run(&faults, out_ms / 4);
		faults_add(&faults, FAULT_KILL, (uint32_t)world_leader(&w), 0);
		faults_run(&faults, WATCH_MS);
		g_test_message("outage of %u ms: %s", out_ms,
			       watch.violation ? watch.violation : "whole");
		g_assert_cmpstr(watch.violation, ==, NULL);
		faults_finish(&faults);
		gang_watch_finish(&watch);
		world_finish(&w);
	}
}

/* The registration of a dead member is expired by one record in the log, so
 * that every host drops it. */
static void test_registration_expired(void)
{
	uint64_t dead;
	world_t w;

	world_init(&w, 1, 3, 4, 1);
	world_run(&w, 5000);
	dead = w.hosts[1].opt.self.member;
	world_kill(&w, 1);
	world_run(&w, 200000);
	g_assert_null(ffl_members_find(&w.hosts[0].host.members, dead));
	g_assert_null(ffl_members_find(&w.hosts[2].host.members, dead));
	world_finish(&w);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(fault_cases); i++) {
		char *path = g_strdup_printf("/member/%s", fault_cases[i].name);

		g_test_add_data_func(path, &fault_cases[i], test_fault);
		g_free(path);
	}
	g_test_add_func("/member/expired", test_registration_expired);
	g_test_add_func("/member/leader-dies-in-a-short-outage",
			test_leader_dies_in_short_outage);
	return g_test_run();
}
