/** @file Tests of idempotency keys: each keyed request runs at most once. */
#include <string.h>

#include "fireflyledge/once.h"

#define SELF	1
#define OTHER	2
#define PAYLOAD 5

/** The outcome reported for a granted run, and the verdict on the next request
 * with the same key. */
typedef struct {
	const char *name;
	uint32_t state;	  /**< FFL_ONCE_STATE__MAX: no report */
	uint64_t request; /**< next to ask; 1 was granted */
	uint64_t payload;
	uint32_t after_ms;
	ffl_once_verdict_t verdict;
} repeat_case_t;

static void once_init_with_members(ffl_once_t *o, uint32_t members);
static ffl_once_verdict_t decide_key(ffl_once_t *o, uint64_t key,
				     uint64_t request, uint64_t payload,
				     uint64_t now_ms);
static void test_repeat(gconstpointer data);
static void test_new_owner(void);
static void test_full(void);
static void test_answers_bounded(void);
static void test_handover(void);

static const repeat_case_t repeat_cases[] = {
	{ "running", FFL_ONCE_STATE__MAX, 2, PAYLOAD, 10,
	  FFL_ONCE_VERDICT_RUNNING },
	{ "asked-again", FFL_ONCE_STATE__MAX, 1, PAYLOAD, 10,
	  FFL_ONCE_VERDICT_RUN },
	{ "no-outcome", FFL_ONCE_STATE__MAX, 2, PAYLOAD, 90000,
	  FFL_ONCE_VERDICT_UNKNOWN },
	{ "answered", FFL_ONCE_ANSWERED, 2, PAYLOAD, 10,
	  FFL_ONCE_VERDICT_ANSWER },
	{ "done", FFL_ONCE_DONE, 2, PAYLOAD, 10, FFL_ONCE_VERDICT_DONE },
	{ "unknown", FFL_ONCE_UNKNOWN, 2, PAYLOAD, 10,
	  FFL_ONCE_VERDICT_UNKNOWN },
	{ "freed", FFL_ONCE_FREE, 2, PAYLOAD, 10, FFL_ONCE_VERDICT_RUN },
	{ "other-payload", FFL_ONCE_ANSWERED, 2, PAYLOAD + 1, 10,
	  FFL_ONCE_VERDICT_MISMATCH },
};

static void once_init_with_members(ffl_once_t *o, uint32_t members)
{
	ffl_view_member_t seats[2] = { { SELF, 0 }, { OTHER, 0 } };
	ffl_view_t view;

	ffl_once_init(o, SELF);
	ffl_view_set(&view, seats, members, 1);
	ffl_ownership_set_view(&o->ownership, &view, true, 1);
	ffl_ownership_on_log_read(&o->ownership, 1000);
	o->ownership.acquired = members == 1;
}

static ffl_once_verdict_t decide_key(ffl_once_t *o, uint64_t key,
				     uint64_t request, uint64_t payload,
				     uint64_t now_ms)
{
	const ffl_once_entry_t *e = NULL;
	ffl_once_ask_t a = { .request = request,
			     .key_a = key,
			     .key_b = 1,
			     .payload_hash = payload,
			     .view = o->ownership.view.hash,
			     .timeout_ms = 10000 };

	ffl_ownership_on_log_read(&o->ownership, now_ms);
	return ffl_once_decide(o, OTHER, &a, now_ms, &e);
}

static void test_repeat(gconstpointer data)
{
	const repeat_case_t *row = data;
	ffl_once_row_t done = { .key_a = 7,
				.key_b = 1,
				.payload_hash = PAYLOAD,
				.origin = OTHER,
				.request = 1,
				.state = row->state };
	ffl_once_t o;

	once_init_with_members(&o, 1);
	g_assert_cmpuint(decide_key(&o, 7, 1, PAYLOAD, 1000), ==,
			 FFL_ONCE_VERDICT_RUN);
	if (row->state < FFL_ONCE_STATE__MAX)
		ffl_once_record_outcome(&o, &done, 1005);
	g_assert_cmpuint(decide_key(&o, 7, row->request, row->payload,
				    1000 + row->after_ms),
			 ==, row->verdict);
	ffl_once_finish(&o);
}

/* An owner that has not acquired its keys cannot know what ran before, so it
 * grants nothing. */
static void test_new_owner(void)
{
	uint64_t key = 1;
	ffl_once_t o;

	once_init_with_members(&o, 2);
	while (ffl_once_owner(&o, (ffl_key_id_t){ key, 1 }) != SELF)
		key++;
	g_assert_cmpuint(decide_key(&o, key, 1, PAYLOAD, 1000), ==,
			 FFL_ONCE_VERDICT_WAIT);
	g_assert_cmpuint(decide_key(&o, key, 1, PAYLOAD, 9000), ==,
			 FFL_ONCE_VERDICT_UNKNOWN);
	o.ownership.acquired = true;
	g_assert_cmpuint(decide_key(&o, key, 1, PAYLOAD, 9000), ==,
			 FFL_ONCE_VERDICT_RUN);
	ffl_once_finish(&o);
}

static void test_full(void)
{
	ffl_once_t o;

	once_init_with_members(&o, 1);
	o.bounds.keys = 1;
	g_assert_cmpuint(decide_key(&o, 1, 1, PAYLOAD, 1000), ==,
			 FFL_ONCE_VERDICT_RUN);
	g_assert_cmpuint(decide_key(&o, 2, 2, PAYLOAD, 1000), ==,
			 FFL_ONCE_VERDICT_FULL);
	ffl_once_expire(&o, 1000 + 2 * FFL_ONCE_RETENTION_MS);
	g_assert_cmpuint(ffl_once_count(&o), ==, 0);
	ffl_once_finish(&o);
}

/* Above the byte limit the oldest answers are dropped. Their keys stay, so that
 * the requests never run again. */
static void test_answers_bounded(void)
{
	uint8_t answer[100] = { 0 };
	ffl_once_row_t row = { .key_b = 1,
			       .payload_hash = PAYLOAD,
			       .state = FFL_ONCE_ANSWERED,
			       .answer = { answer, sizeof(answer) } };
	ffl_once_t o;

	once_init_with_members(&o, 1);
	o.bounds.answer_bytes = 250;
	for (uint64_t key = 1; key <= 3; key++) {
		row.key_a = key;
		ffl_once_record_outcome(&o, &row, 1000);
	}
	g_assert_cmpuint(o.answer_bytes, <=, o.bounds.answer_bytes);
	g_assert_cmpuint(decide_key(&o, 1, 9, PAYLOAD, 1000), ==,
			 FFL_ONCE_VERDICT_DONE);
	g_assert_cmpuint(decide_key(&o, 3, 9, PAYLOAD, 1000), ==,
			 FFL_ONCE_VERDICT_ANSWER);
	ffl_once_finish(&o);
}

/* An owner that leaves hands over all its keys, in several messages if they do
 * not fit into one. */
static void test_handover(void)
{
	enum {
		KEYS = 3000
	};
	GArray *rows = g_array_new(FALSE, FALSE, sizeof(ffl_once_row_t));
	ffl_once_row_t row = { .key_b = 1,
			       .payload_hash = PAYLOAD,
			       .state = FFL_ONCE_DONE };
	ffl_handover_t msg = { .view = 0 };
	ffl_handover_t ack = { .view = 0 };
	ffl_once_t from;
	ffl_once_t to;

	once_init_with_members(&from, 2);
	once_init_with_members(&to, 2);
	for (row.key_a = 1; row.key_a <= KEYS; row.key_a++)
		ffl_once_record_outcome(&from, &row, 1000);
	ffl_once_start_leave(&from);
	while (ffl_once_next_handover(&from, OTHER, 1000, &msg, rows)) {
		ffl_once_on_handover(&to, &msg, 1000, &ack);
		ffl_once_on_handover_ack(&from, OTHER, &ack);
	}
	g_assert_true(ffl_once_handovers_complete(&from));
	g_assert_cmpuint(ffl_once_count(&to), ==, KEYS);
	ffl_once_finish(&to);
	ffl_once_finish(&from);
	g_array_free(rows, TRUE);
}

int main(int argc, char **argv)
{
	char path[64];

	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(repeat_cases); i++) {
		g_snprintf(path, sizeof(path), "/once/repeat/%s",
			   repeat_cases[i].name);
		g_test_add_data_func(path, &repeat_cases[i], test_repeat);
	}
	g_test_add_func("/once/new-owner", test_new_owner);
	g_test_add_func("/once/full", test_full);
	g_test_add_func("/once/answers-bounded", test_answers_bounded);
	g_test_add_func("/once/handover", test_handover);
	return g_test_run();
}
