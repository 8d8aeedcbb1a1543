/** @file Tests of slot ownership, fair queueing and request budgets. */
#include <string.h>

#include "fireflyledge/request.h"

#define SLOTS 8

/** A change of view, and whether the member may take over slots. */
typedef struct {
	const char *name;
	uint32_t before;
	uint32_t after;
	bool released;	    /**< the member that left released its slots */
	bool settled;	    /**< the others have settled in the new view */
	bool acquired;	    /**< must be acquired at once */
	bool acquired_late; /**< must be acquired after the grace time */
} takeover_case_t;

/** Queued requests of one class, and the order in which they are served. */
typedef struct {
	const char *name;
	const char *queued; /**< a letter for the caller of each, upper case if
			       costly */
	const char *served;
} service_order_case_t;

static void make_view(ffl_view_t *view, uint32_t count, uint64_t offset);
static void report_member(ffl_ownership_t *t, uint64_t member, bool released,
			  uint64_t now_ms);
static void test_takeover(gconstpointer data);
static void test_slots_partition(void);
static void test_lapsed(void);
static void test_order(gconstpointer data);
static void test_class_floor(void);
static void test_retry_budget(void);
static void test_link_budget(void);

static const ffl_ownership_times_t times = { .proof_max_age_ms = 5000,
					     .grace_ms = 20000,
					     .max_outage_ms = 60000 };

static const takeover_case_t takeover_cases[] = {
	{ "join-settled", 2, 3, false, true, true, true },
	{ "join-unsettled", 2, 3, false, false, false, true },
	{ "left-clean", 3, 2, true, true, true, true },
	{ "died", 3, 2, false, true, false, true },
};

static const service_order_case_t service_order_cases[] = {
	{ "callers-in-turn", "aaab", "abaa" },
	{ "costly-caller-waits", "AAbbb",
	  "Abbb"
	  "A" },
	{ "one-caller-in-order", "aaa", "aaa" },
};

static void make_view(ffl_view_t *view, uint32_t count, uint64_t offset)
{
	ffl_view_member_t seats[FFL_VIEW_MAX] = { { 0, 0 } };

	for (uint32_t i = 0; i < count; i++)
		seats[i].member = i + 1;
	ffl_view_set(view, seats, count, offset);
}

static void report_member(ffl_ownership_t *t, uint64_t member, bool released,
			  uint64_t now_ms)
{
	ffl_ownership_report_t report = { .stamp_ms = now_ms,
					  .echo_ms = now_ms,
					  .view = t->view.hash,
					  .log_fresh = true,
					  .settled = true,
					  .established = true,
					  .released = released };

	ffl_ownership_on_report(t, member, &report, now_ms);
}

static void test_takeover(gconstpointer data)
{
	const takeover_case_t *row = data;
	ffl_ownership_t t;
	ffl_view_t view;

	ffl_ownership_init(&t, 1, &times);
	make_view(&view, row->before, 1);
	ffl_ownership_set_view(&t, &view, true, 1000);
	for (uint64_t m = 2; m <= row->before; m++)
		report_member(&t, m, false, 1000);
	ffl_ownership_on_log_read(&t, 1000);
	g_assert_true(ffl_ownership_try_acquire(&t, 1000));
	if (row->released)
		report_member(&t, row->before, true, 1100);
	make_view(&view, row->after, 2);
	g_assert_true(ffl_ownership_set_view(&t, &view, false, 1200));
	for (uint64_t m = 2; row->settled && m <= row->after; m++)
		report_member(&t, m, false, 1200);
	ffl_ownership_on_log_read(&t, 1200);
	g_assert_cmpint(ffl_ownership_try_acquire(&t, 1200), ==, row->acquired);
	if (!row->acquired)
		g_assert_cmpint(
			ffl_ownership_try_acquire(&t, 1200 + times.grace_ms),
			==, row->acquired_late);
	ffl_ownership_finish(&t);
}

/* In every view each slot is owned by exactly one member. */
static void test_slots_partition(void)
{
	ffl_view_t view;

	for (uint32_t members = 1; members <= 9; members++) {
		uint64_t all = 0;
		uint32_t sum = 0;

		make_view(&view, members, 1);
		for (uint64_t self = 1; self <= members; self++) {
			uint64_t mask =
				ffl_view_owned_slots(&view, 77, 0, SLOTS, self);

			g_assert_cmpuint(all & mask, ==, 0);
			all |= mask;
			sum += (uint32_t)__builtin_popcountll(mask);
		}
		g_assert_cmpuint(sum, ==, SLOTS);
	}
}

/* A host whose proof of membership is too old loses its slots, since others may
 * have taken them over. */
static void test_lapsed(void)
{
	ffl_ownership_t t;
	ffl_view_t view;

	ffl_ownership_init(&t, 1, &times);
	make_view(&view, 2, 1);
	ffl_ownership_set_view(&t, &view, true, 1000);
	ffl_ownership_on_log_read(&t, 1000);
	g_assert_true(ffl_ownership_valid(&t, 1000 + times.proof_max_age_ms));
	g_assert_false(ffl_ownership_valid(&t, 1001 + times.proof_max_age_ms));
	make_view(&view, 2, 9);
	g_assert_true(ffl_ownership_set_view(&t, &view, false, 90000));
	g_assert_true(t.lapsed);
	g_assert_cmpuint(t.blocked_until_ms, ==, 90000 + times.grace_ms);
	ffl_ownership_finish(&t);
}

static void test_order(gconstpointer data)
{
	const service_order_case_t *row = data;
	size_t n = strlen(row->queued);
	ffl_fq_item_t items[16] = { { .cost_ms = 0 } };
	GString *served = g_string_new("");
	ffl_fairq_t q;

	ffl_fairq_init(&q, 1000);
	for (size_t i = 0; i < n; i++) {
		char name[2] = { (char)g_ascii_tolower(row->queued[i]), 0 };

		items[i].caller = ffl_fairq_get_caller(&q, FFL_NORMAL, "c", 1,
						       0, name, 0);
		items[i].cost_ms = g_ascii_isupper(row->queued[i]) ? 100 : 10;
		ffl_fairq_push(&q, &items[i], &items[i], false);
	}
	for (size_t i = 0; i < n; i++) {
		ffl_fq_item_t *item = ffl_fairq_peek(&q, 1000);

		g_string_append_c(served, row->queued[item - items]);
		ffl_fairq_start_service(&q, item);
		ffl_fairq_end_service(&q, item, item->cost_ms);
	}
	g_assert_cmpstr(served->str, ==, row->served);
	g_assert_null(ffl_fairq_peek(&q, 1000));
	g_string_free(served, TRUE);
	ffl_fairq_finish(&q);
}

/* A class above its floor leaves slots free for a class that is below its own
 * floor. */
static void test_class_floor(void)
{
	enum {
		FLOOD = 48,
		ALL_SLOTS = 48
	};
	ffl_fq_item_t flood[FLOOD] = { { .cost_ms = 0 } };
	ffl_fq_item_t one = { .cost_ms = 10 };
	ffl_fq_item_t *item;
	uint32_t taken = 0;
	ffl_fairq_t q;

	ffl_fairq_init(&q, 10000);
	for (uint32_t i = 0; i < FLOOD; i++) {
		flood[i].caller =
			ffl_fairq_get_caller(&q, FFL_BATCH, "c", 1, 0, "a", 0);
		flood[i].cost_ms = 10;
		ffl_fairq_push(&q, &flood[i], &flood[i], false);
	}
	while ((item = ffl_fairq_peek(&q, ALL_SLOTS))) {
		ffl_fairq_start_service(&q, item);
		taken++;
	}
	g_assert_cmpuint(taken, <, ALL_SLOTS);
	one.caller = ffl_fairq_get_caller(&q, FFL_URGENT, "c", 1, 0, "b", 0);
	ffl_fairq_push(&q, &one, &one, false);
	g_assert_true(ffl_fairq_peek(&q, ALL_SLOTS) == &one);
	ffl_fairq_finish(&q);
}

static void test_retry_budget(void)
{
	ffl_retry_budget_t r;
	uint32_t retried = 0;

	ffl_retry_budget_init(&r);
	for (uint32_t i = 0; i < 1000; i++) {
		ffl_retry_budget_earn(&r);
		retried += ffl_retry_budget_spend(&r);
	}
	g_assert_cmpuint(retried, <=, 101);
	g_assert_cmpuint(retried, >=, 90);
}

static void test_link_budget(void)
{
	enum {
		PARTS = 7,
		SECONDS = 20,
		BYTES = 10000
	};
	uint64_t sent = 0;
	ffl_link_t link;

	ffl_link_init(&link, 0);
	for (uint64_t t = 1; t < SECONDS * 1000; t++) {
		if (!ffl_link_may_send(&link, "c", FFL_URGENT, BYTES, 100,
				       PARTS, t))
			continue;
		ffl_link_charge(&link, "c", BYTES, BYTES);
		sent += BYTES;
	}
	g_assert_cmpuint(sent, <=, link.bytes_per_s / PARTS * (SECONDS + 1));
	g_assert_cmpuint(sent, >, 0);
	ffl_link_finish(&link);
}

int main(int argc, char **argv)
{
	char path[64];

	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(takeover_cases); i++) {
		g_snprintf(path, sizeof(path), "/request/takeover/%s",
			   takeover_cases[i].name);
		g_test_add_data_func(path, &takeover_cases[i], test_takeover);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(service_order_cases); i++) {
		g_snprintf(path, sizeof(path), "/request/order/%s",
			   service_order_cases[i].name);
		g_test_add_data_func(path, &service_order_cases[i], test_order);
	}
	g_test_add_func("/request/slots-partition", test_slots_partition);
	g_test_add_func("/request/lapsed", test_lapsed);
	g_test_add_func("/request/class-floor", test_class_floor);
	g_test_add_func("/request/retry-budget", test_retry_budget);
	g_test_add_func("/request/link-budget", test_link_budget);
	return g_test_run();
}
