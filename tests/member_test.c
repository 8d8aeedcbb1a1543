#include <string.h>

#include "fakes/faults.h"

/** Time of a calm start, long enough to know the list's history. */
#define START_MS 40000
#define RUN_MS	 60000
#define WATCH_MS 30000

/** A row of the table in docs/design/leadership.md. */
typedef struct {
	const char *name;
	fault_kind_t log;    /**< fault of the log, or FAULT__MAX */
	fault_kind_t leader; /**< fault of the leader or its links */
	bool replaced;	     /**< another member leads afterwards */
} row_t;

static void start(world_t *w, gang_watch_t *watch, faults_t *faults,
		  uint64_t seed);
static void test_row(gconstpointer data);
static void test_expired(void);
static void test_dies_in_short_outage(void);

static const row_t rows[] = {
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

/* In every row the gang that runs goes on whole and ends once. */
static void test_row(gconstpointer data)
{
	const row_t *row = data;
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
	if (row->log != FAULT__MAX)
		faults_add(&faults, row->log, 0, WATCH_MS);
	if (row->leader != FAULT__MAX)
		faults_add(&faults, row->leader, (uint32_t)leader,
			   WATCH_MS / 2);
	faults_run(&faults, WATCH_MS - 5000);
	g_assert_cmpstr(watch.violation, ==, NULL);
	g_assert_cmpint(watch.epoch > epoch, ==, row->replaced);
	faults_clear(&faults);
	gang_watch_finish_jobs(&watch, &w, 4 * RUN_MS);
	g_assert_cmpstr(watch.violation, ==, NULL);
	g_assert_cmpstr(gang_watch_check_ends(&w, submits), ==, NULL);
	faults_finish(&faults);
	gang_watch_finish(&watch);
	g_array_free(submits, TRUE);
	world_finish(&w);
}

/* The log comes back while a leader that died in its outage is not replaced
 * yet: the next one renews before the leases end. */
static void test_dies_in_short_outage(void)
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

/* A dead member's registration expires by one record that all read alike. */
static void test_expired(void)
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
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		char *path = g_strdup_printf("/member/%s", rows[i].name);

		g_test_add_data_func(path, &rows[i], test_row);
		g_free(path);
	}
	g_test_add_func("/member/expired", test_expired);
	g_test_add_func("/member/leader-dies-in-a-short-outage",
			test_dies_in_short_outage);
	return g_test_run();
}
