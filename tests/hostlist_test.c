/** @file Tests of the host list that the platform sends. */
#include "fireflyledge/hostlist.h"

#define SEED	7
#define POLL_MS 500

/** A reply with a host list, and the list after it has been applied. Each case
 * goes on from the one before. */
typedef struct {
	const char *name;
	uint64_t seed;
	uint64_t version;
	bool delta;
	const char *hosts; /**< listed hosts, one letter each */
	const char *gone;  /**< removed hosts */
	ffl_status_t status;
	const char *whole;  /**< hosts of the list afterwards */
	uint64_t next_seed; /**< seed of the next read; 0: whole list */
} list_case_t;

static const list_case_t cases[] = {
	{ "whole", SEED, 5, false, "cab", "", FFL_OK, "abc", SEED },
	{ "nothing new", SEED, 5, true, "", "", FFL_OK, "abc", SEED },
	{ "one more", SEED, 6, true, "d", "", FFL_OK, "abcd", SEED },
	{ "first", SEED, 7, true, "A", "", FFL_OK, "Aabcd", SEED },
	{ "one changed", SEED, 8, true, "b", "", FFL_OK, "Aabcd", SEED },
	{ "two gone", SEED, 9, true, "", "Ac", FFL_OK, "abd", SEED },
	{ "unknown gone", SEED, 10, true, "", "z", FFL_OK, "abd", SEED },
	{ "older", SEED, 9, true, "x", "", FFL_CONFLICT, "abd", 0 },
	{ "whole again", SEED, 10, false, "abd", "", FFL_OK, "abd", SEED },
	{ "other life", 8, 99, true, "x", "", FFL_CONFLICT, "abd", 0 },
	{ "its whole", 8, 2, false, "x", "", FFL_OK, "x", 8 },
};

static ffl_list_t make_hosts(ffl_host_info_t *infos, const char *names);
static ffl_list_t make_gone(ffl_host_gone_t *gone, const char *names);
static void test_cases(void);
static void test_reads(void);

static ffl_list_t make_hosts(ffl_host_info_t *infos, const char *names)
{
	ffl_list_t list = { infos, 0 };

	for (; names[list.count]; list.count++)
		infos[list.count].name[0] = names[list.count];
	return list;
}

static ffl_list_t make_gone(ffl_host_gone_t *gone, const char *names)
{
	ffl_list_t list = { gone, 0 };

	for (; names[list.count]; list.count++)
		gone[list.count].name[0] = names[list.count];
	return list;
}

static void test_cases(void)
{
	ffl_hostlist_t hl;

	ffl_hostlist_init(&hl, POLL_MS);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const list_case_t *c = &cases[i];
		ffl_host_info_t infos[8] = { 0 };
		ffl_host_gone_t gone[8] = { 0 };
		ffl_host_list_t in = { .hosts = make_hosts(infos, c->hosts),
				       .gone = make_gone(gone, c->gone),
				       .seed = c->seed,
				       .version = c->version,
				       .delta = c->delta };
		ffl_host_list_t whole;
		GString *names = g_string_new(NULL);

		g_test_message("%s", c->name);
		g_assert_cmpuint(ffl_hostlist_apply(&hl, &in, 0, &whole), ==,
				 c->status);
		for (guint n = 0; n < hl.infos->len; n++)
			g_string_append(names, g_array_index(hl.infos,
							     ffl_host_info_t, n)
						       .name);
		g_assert_cmpstr(names->str, ==, c->whole);
		g_assert_cmpuint(hl.seed, ==, c->next_seed);
		g_string_free(names, TRUE);
	}
	ffl_hostlist_finish(&hl);
}

/* A read without an answer is repeated after the time-out; an answered one
 * after the poll interval. */
static void test_reads(void)
{
	ffl_host_list_t in = { .seed = SEED, .version = 3 };
	ffl_host_list_t whole;
	ffl_actions_t out;
	ffl_hostlist_t hl;

	ffl_actions_init(&out);
	ffl_hostlist_init(&hl, POLL_MS);
	ffl_hostlist_poll(&hl, 1, &out);
	ffl_hostlist_poll(&hl, 2, &out);
	g_assert_cmpuint(ffl_actions_count(&out), ==, 1);
	ffl_hostlist_poll(&hl, 1 + FFL_HOSTLIST_TIMEOUT_MS, &out);
	g_assert_cmpuint(ffl_actions_count(&out), ==, 2);
	ffl_hostlist_apply(&hl, &in, 4000, &whole);
	ffl_hostlist_poll(&hl, 4000 + POLL_MS - 1, &out);
	g_assert_cmpuint(ffl_actions_count(&out), ==, 2);
	ffl_hostlist_poll(&hl, 4000 + POLL_MS, &out);
	g_assert_cmpuint(ffl_actions_count(&out), ==, 3);
	g_assert_cmpuint(ffl_actions_at(&out, 2)->hosts_read.since, ==, 3);
	ffl_hostlist_finish(&hl);
	ffl_actions_finish(&out);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/hostlist/cases", test_cases);
	g_test_add_func("/hostlist/reads", test_reads);
	return g_test_run();
}
