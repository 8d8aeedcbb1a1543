/** @file Tests of the choice of connections after a time-out. */
#include "fireflyledge/connage.h"

/** A call at a time after a time-out on a kept connection. */
typedef struct {
	uint32_t after_ms;
	const char *addr; /**< that is called */
	bool fresh;
	uint32_t life_max_s;
} choice_row_t;

#define DOUBTED	   "10.1.0.19:8526"
#define OTHER	   "10.1.0.20:8526"
#define DOUBTED_MS 7000000

static const choice_row_t choices[] = {
	{ 0, DOUBTED, true, FFL_CONN_LIFE_S },
	{ 1, DOUBTED, true, FFL_CONN_LIFE_S },
	{ 1999, DOUBTED, true, FFL_CONN_LIFE_S },
	{ 2000, DOUBTED, false, 1 },
	{ 2999, DOUBTED, false, 1 },
	{ 3000, DOUBTED, false, 2 },
	{ 60500, DOUBTED, false, 59 },
	{ 299000, DOUBTED, false, 298 },
	{ 400000, DOUBTED, false, FFL_CONN_LIFE_S },
	{ 0, OTHER, false, FFL_CONN_LIFE_S },
	{ 3000, OTHER, false, FFL_CONN_LIFE_S },
};

static bool may_reuse(const ffl_conn_choice_t *choice, uint32_t age_ms);
static void test_choices(void);
static void test_older_used_again(void);
static void test_forgotten(void);
static void test_addr(void);

/* libcurl rounds ages down to whole seconds. */
static bool may_reuse(const ffl_conn_choice_t *choice, uint32_t age_ms)
{
	return !choice->fresh && age_ms / 1000 <= choice->life_max_s;
}

static void test_choices(void)
{
	ffl_connage_t c;

	ffl_connage_init(&c);
	ffl_connage_doubt(&c, DOUBTED, DOUBTED_MS);
	for (size_t i = 0; i < G_N_ELEMENTS(choices); i++) {
		const choice_row_t *row = &choices[i];
		ffl_conn_choice_t choice = ffl_connage_choose(
			&c, row->addr, DOUBTED_MS + row->after_ms);

		g_assert_cmpint(choice.fresh, ==, row->fresh);
		g_assert_cmpuint(choice.life_max_s, ==, row->life_max_s);
	}
	ffl_connage_finish(&c);
}

/* Whenever the next call comes, a connection that is as old as the time-out or
 * older is not used, and one that is two seconds younger is. */
static void test_older_used_again(void)
{
	ffl_connage_t c;

	ffl_connage_init(&c);
	ffl_connage_doubt(&c, DOUBTED, DOUBTED_MS);
	for (uint32_t after_ms = 0; after_ms < 20000; after_ms += 37) {
		ffl_conn_choice_t choice =
			ffl_connage_choose(&c, DOUBTED, DOUBTED_MS + after_ms);

		for (uint32_t older_ms = 0; older_ms < 5000; older_ms += 111)
			g_assert_false(may_reuse(&choice, after_ms + older_ms));
		if (after_ms > 2000)
			g_assert_true(may_reuse(&choice, after_ms - 2000));
	}
	ffl_connage_finish(&c);
}

/* Workers come at new addresses; those of the past are not kept. */
static void test_forgotten(void)
{
	char addr[FFL_ADDR_BYTES];
	ffl_connage_t c;

	ffl_connage_init(&c);
	for (uint32_t i = 0; i < 5000; i++) {
		g_snprintf(addr, sizeof(addr), "10.0.%u.%u:80", i / 200,
			   i % 200);
		ffl_connage_doubt(&c, addr, DOUBTED_MS + i * 1000);
	}
	g_assert_cmpuint(g_hash_table_size(c.doubted), <=,
			 2 * FFL_CONN_LIFE_S + 1);
	ffl_connage_finish(&c);
}

static void test_addr(void)
{
	static const struct {
		const char *url;
		const char *addr;
	} rows[] = {
		{ "http://10.1.0.19:8526/-/hold", "10.1.0.19:8526" },
		{ "http://10.1.0.19:8526?x=/", "10.1.0.19:8526" },
		{ "http://10.1.0.19:8526", "10.1.0.19:8526" },
		{ "10.1.0.19:8526/-/hold", "10.1.0.19:8526" },
		{ "", "" },
	};
	char addr[FFL_ADDR_BYTES];

	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
		ffl_connage_addr(rows[i].url, addr, sizeof(addr));
		g_assert_cmpstr(addr, ==, rows[i].addr);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/connage/choices", test_choices);
	g_test_add_func("/connage/silent-connections-used-one-after-the-other",
			test_older_used_again);
	g_test_add_func("/connage/forgotten", test_forgotten);
	g_test_add_func("/connage/addr", test_addr);
	return g_test_run();
}
