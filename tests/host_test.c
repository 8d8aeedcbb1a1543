/** @file Tests of a cell of hosts in simulated time. */
#include <string.h>

#include "fakes/world.h"

static void test_change_reaches_all_hosts(void);
static void test_request(void);
static void test_gang(void);
static void test_leader_replaced(void);
static void test_lost_append_answer(void);
static void test_caller_left_before_grant(void);

static void test_change_reaches_all_hosts(void)
{
	world_t w;

	world_init(&w, 1, 3, 4, 1);
	world_run(&w, 1000);
	g_assert_true(world_add_customer(&w, 0, "rocio", "token"));
	for (uint32_t i = 0; i < 3; i++)
		g_assert_nonnull(
			ffl_config_customer(&w.hosts[i].host.config, "rocio"));
	world_finish(&w);
}

static void test_request(void)
{
	const world_answer_t *a;
	uint64_t id;
	world_t w;

	world_init(&w, 1, 3, 4, 2);
	world_run(&w, 1000);
	g_assert_true(world_add_customer(&w, 0, "rocio", "token"));
	id = world_request(&w, 1, "token", "crew", FFL_NORMAL, "");
	world_run(&w, 1000);
	a = world_answer(&w, id);
	g_assert_nonnull(a);
	g_assert_true(a->finished);
	id = world_request(&w, 1, "wrong", "crew", FFL_NORMAL, "");
	world_run(&w, 1000);
	a = world_answer(&w, id);
	g_assert_nonnull(a);
	g_assert_cmpuint(a->http_status, ==, 401);
	world_finish(&w);
}

static void test_gang(void)
{
	const ffl_job_t *job;
	uint64_t id;
	world_t w;

	world_init(&w, 1, 3, 8, 1);
	world_run(&w, 1000);
	g_assert_true(world_add_customer(&w, 0, "rocio", "token"));
	id = world_command(&w, 2, FFL_CMD_SUBMIT, "token", "",
			   "{\"name\":\"a\",\"accelerators\":16,"
			   "\"adjacency\":\"rack\"}");
	world_run(&w, 10000);
	g_assert_cmpuint(world_answer(&w, id)->http_status, ==, 201);
	job = ffl_gangs_find_name(&w.hosts[0].host.gangs, "rocio", "a");
	g_assert_nonnull(job);
	g_assert_cmpuint(job->state, ==, FFL_JOB_ENDED);
	g_assert_cmpuint(job->end, ==, FFL_END_DONE);
	world_finish(&w);
}

static void test_leader_replaced(void)
{
	int leader;
	world_t w;

	world_init(&w, 1, 3, 4, 1);
	world_run(&w, 3000);
	leader = world_leader(&w);
	g_assert_cmpint(leader, >=, 0);
	world_kill(&w, (uint32_t)leader);
	world_run(&w, 10000);
	g_assert_cmpint(world_leader(&w), >=, 0);
	g_assert_cmpint(world_leader(&w), !=, leader);
	world_finish(&w);
}

/* The answer to an append is lost after it took effect: the change must be
 * confirmed and recorded once. */
static void test_lost_append_answer(void)
{
	world_t w;

	world_init(&w, 1, 3, 4, 1);
	world_run(&w, 1000);
	w.log.lose_append_replies = 1;
	g_assert_true(world_add_customer(&w, 0, "rocio", "token"));
	g_assert_cmpuint(w.hosts[0].host.config.audit->len, ==, 1);
	g_assert_cmpuint(w.hosts[1].host.config.audit->len, ==, 1);
	world_finish(&w);
}

/* A run that is granted after its caller has left never takes place, so the key
 * must not stay taken. */
static void test_caller_left_before_grant(void)
{
	const world_answer_t *a;
	ffl_req_t probe = { 0 };
	const ffl_req_t *req = NULL;
	ffl_actions_t out;
	ffl_requests_t *rs;
	char key[FFL_NAME_BYTES];
	uint64_t owner;
	uint64_t id;
	world_t w;

	world_init(&w, 1, 2, 4, 2);
	world_run(&w, 3000);
	g_assert_true(world_add_customer(&w, 0, "rocio", "token"));
	rs = &w.hosts[0].host.requests;
	owner = w.hosts[1].host.opt.self.member;
	for (uint32_t i = 0;
	     i == 0 ||
	     ffl_once_owner(&rs->once, ffl_once_key_id("rocio", key)) != owner;
	     i++)
		g_snprintf(key, sizeof(key), "k%u", i);
	id = world_request(&w, 0, "token", "crew", FFL_NORMAL, key);
	probe.id = id;
	for (uint32_t ms = 0; !req && ms < 100; ms++) {
		world_run(&w, 1);
		req = g_hash_table_lookup(rs->by_id, &probe);
	}
	g_assert_nonnull(req);
	g_assert_cmpint(req->state, ==, FFL_REQ_AWAITING_GRANT);
	ffl_actions_init(&out);
	ffl_requests_on_caller_gone(rs, id, &out);
	world_run(&w, 1000);
	for (guint i = 0; i < out.items->len; i++) {
		const ffl_action_t *act =
			&g_array_index(out.items, ffl_action_t, i);
		ffl_peer_msg_t msg;
		ffl_arena_t arena;

		if (act->kind != FFL_ACT_PEER_SEND)
			continue;
		ffl_arena_init(&arena);
		g_assert_cmpint(
			ffl_peer_decode(act->peer_send.frame, &msg, &arena), ==,
			FFL_OK);
		ffl_requests_on_peer(&w.hosts[1].host.requests, &msg, w.now_ms,
				     &out);
		ffl_arena_finish(&arena);
	}
	ffl_actions_finish(&out);
	world_run(&w, 120000);
	id = world_request(&w, 1, "token", "crew", FFL_NORMAL, key);
	world_run(&w, 3000);
	a = world_answer(&w, id);
	g_assert_nonnull(a);
	g_assert_cmpuint(a->http_status, !=, 409);
	g_assert_true(a->finished);
	world_finish(&w);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/host/confirmed-everywhere",
			test_change_reaches_all_hosts);
	g_test_add_func("/host/request", test_request);
	g_test_add_func("/host/gang", test_gang);
	g_test_add_func("/host/leader-replaced", test_leader_replaced);
	g_test_add_func("/host/lost-answer", test_lost_append_answer);
	g_test_add_func("/host/caller-left-before-grant",
			test_caller_left_before_grant);
	return g_test_run();
}
