/** @file Tests of when a silent leader counts as lost: the decision alone, then
 * hosts in simulated time. */
#include "fakes/site.h"

#define START_MS    8000
#define RECOVERY_MS 60000
#define HOSTS	    5
/** How long a scenario is watched. */
#define WATCH_MS 20000
/** Long enough for a leader and a log to be given the shortest silence. */
#define SETTLED_MS (2 * FFL_SILENCE_SETTLED_MS)

/** A silence that ended before, and the limit that follows. */
typedef struct {
	const char *name;
	uint32_t lasted_ms; /**< 0: none */
	uint32_t ago_ms;    /**< since its end */
	uint32_t delay_ms;
	uint32_t led_ms;
	uint32_t healthy_ms;
	uint32_t limit_ms;
} limit_t;

static const limit_t limits[] = {
	{ "nothing unusual", 0, 0, 0, SETTLED_MS, SETTLED_MS,
	  FFL_SILENCE_MIN_MS },
	{ "a usual answer", 0, 0, 4, SETTLED_MS, SETTLED_MS, 932 },
	{ "a slow log", 0, 0, 50, SETTLED_MS, SETTLED_MS, 1300 },
	{ "a very slow log", 0, 0, 200, SETTLED_MS, SETTLED_MS,
	  FFL_SILENCE_MAX_MS },
	{ "no answer in years", 0, 0, UINT32_MAX, SETTLED_MS, SETTLED_MS,
	  FFL_SILENCE_MAX_MS },
	{ "a short silence", 400, 0, 0, SETTLED_MS, SETTLED_MS,
	  FFL_SILENCE_MIN_MS },
	{ "a long silence", 1000, 0, 0, SETTLED_MS, SETTLED_MS, 1500 },
	{ "a long silence, a while ago", 1000, 1600, 0, SETTLED_MS, SETTLED_MS,
	  1200 },
	{ "a long silence, forgotten", 1000, 60000, 0, SETTLED_MS, SETTLED_MS,
	  FFL_SILENCE_MIN_MS },
	{ "a silence of an hour", 3600000, 0, 0, SETTLED_MS, SETTLED_MS,
	  FFL_SILENCE_MAX_MS },
	{ "a new leader", 0, 0, 0, 500, SETTLED_MS, FFL_SILENCE_MAX_MS },
	{ "a log that has failed", 0, 0, 0, SETTLED_MS, 500,
	  FFL_SILENCE_MAX_MS },
};

static void test_limits(void)
{
	for (guint i = 0; i < G_N_ELEMENTS(limits); i++) {
		const limit_t *c = &limits[i];
		ffl_silence_t s = { .delay_ms = c->delay_ms };

		g_test_message("%s", c->name);
		if (c->lasted_ms)
			ffl_silence_end(&s, c->lasted_ms, 100000);
		g_assert_cmpuint(ffl_silence_limit_ms(&s, c->led_ms,
						      c->healthy_ms,
						      100000 + c->ago_ms),
				 ==, c->limit_ms);
	}
}

/* A shorter silence does not hide a longer one that is not forgotten yet; those
 * of an earlier leader say nothing of the next. */
static void test_longest_counts(void)
{
	ffl_silence_t s = { 0 };

	ffl_silence_end(&s, 1000, 10000);
	ffl_silence_end(&s, 700, 10800);
	g_assert_cmpuint(
		ffl_silence_limit_ms(&s, SETTLED_MS, SETTLED_MS, 10800), ==,
		1350);
	ffl_silence_end(&s, 950, 10800);
	g_assert_cmpuint(
		ffl_silence_limit_ms(&s, SETTLED_MS, SETTLED_MS, 10800), ==,
		1425);
	ffl_silence_forget(&s);
	g_assert_cmpuint(
		ffl_silence_limit_ms(&s, SETTLED_MS, SETTLED_MS, 10800), ==,
		FFL_SILENCE_MIN_MS);
}

/** A site with one kind of trouble. */
typedef struct {
	const char *name;
	/** Called each SITE_STEP_MS, @p ms after the trouble began; @p leader
	 * is the one that led then. */
	void (*trouble)(site_t *s, uint32_t leader, uint32_t ms);
	uint32_t first_ms;    /**< another host leads by then; 0: none may */
	uint32_t changes_max; /**< of the leader while it is watched */
} watch_t;

static void none(site_t *s, uint32_t leader, uint32_t ms)
{
}

static void leader_killed(site_t *s, uint32_t leader, uint32_t ms)
{
	if (!ms)
		site_kill(s, leader, 60000);
}

static void leader_cut_off(site_t *s, uint32_t leader, uint32_t ms)
{
	if (!ms)
		s->hosts[leader].log_cut_until_ms = s->now_ms + 8000;
}

static void leader_frozen(site_t *s, uint32_t leader, uint32_t ms)
{
	if (!ms)
		s->hosts[leader].frozen_until_ms = s->now_ms + 4000;
}

static void leader_pauses(site_t *s, uint32_t leader, uint32_t ms)
{
	if (ms % 1000 == 0)
		s->hosts[leader].frozen_until_ms = s->now_ms + 350;
}

/* Whoever leads is suspended, again and again. */
static void leaders_freeze(site_t *s, uint32_t leader, uint32_t ms)
{
	int now = site_leader(s);

	if (ms % 2500 == 0 && now >= 0)
		s->hosts[now].frozen_until_ms = s->now_ms + 1500;
}

static void follower_frozen(site_t *s, uint32_t leader, uint32_t ms)
{
	if (ms % 3000 == 0)
		s->hosts[(leader + 1) % HOSTS].frozen_until_ms =
			s->now_ms + 2100;
}

static void follower_cut_off(site_t *s, uint32_t leader, uint32_t ms)
{
	if (ms % 6000 == 0)
		s->hosts[(leader + 1) % HOSTS].log_cut_until_ms =
			s->now_ms + 3000;
}

static void leader_slow(site_t *s, uint32_t leader, uint32_t ms)
{
	s->log_extra_ms[leader] = 120;
}

static void log_slow(site_t *s, uint32_t leader, uint32_t ms)
{
	for (uint32_t i = 0; i < HOSTS; i++)
		s->log_extra_ms[i] = 100;
	s->append_ms = 150;
}

static void clock_steps(site_t *s, uint32_t leader, uint32_t ms)
{
	if (ms % 1000 == 0)
		s->wall_ms += ms % 2000 ? 600000 : -600000ULL;
}

/* All that would lead first are gone, too: those that are left read the states
 * less often. */
static void most_killed(site_t *s, uint32_t leader, uint32_t ms)
{
	for (uint32_t i = 0; !ms && i < HOSTS; i++) {
		if (i != (leader + 1) % HOSTS)
			site_kill(s, i, 60000);
	}
}

static const watch_t watches[] = {
	{ "nothing", none, 0, 0 },
	{ "leader-killed", leader_killed, 1900, 1 },
	{ "leader-cut-off", leader_cut_off, 1900, 1 },
	{ "leader-frozen", leader_frozen, 1900, 1 },
	{ "leader-pauses", leader_pauses, 0, 0 },
	{ "leaders-freeze", leaders_freeze, 0,
	  1 + WATCH_MS / FFL_SILENCE_SETTLED_MS },
	{ "follower-frozen", follower_frozen, 0, 0 },
	{ "follower-cut-off", follower_cut_off, 0, 0 },
	{ "leader-slow", leader_slow, 0, 0 },
	{ "log-slow", log_slow, 0, 0 },
	{ "clock-steps", clock_steps, 0, 0 },
	{ "most-killed", most_killed, 3000, 1 },
};

/* Returns a bit for each host that leads. */
static uint32_t leading_hosts(const site_t *s)
{
	uint32_t leading = 0;

	for (uint32_t i = 0; i < s->hosts_count; i++)
		leading |= (uint32_t)(s->hosts[i].alive &&
				      s->hosts[i].node.lead.leading)
			   << i;
	return leading;
}

static void test_watch(gconstpointer data)
{
	const watch_t *w = data;

	for (uint64_t seed = 1; seed <= 10; seed++) {
		uint32_t first_ms = 0;
		uint32_t changes = 0;
		uint32_t leader;
		site_t s;

		site_init(&s, seed, HOSTS, 4);
		site_run(&s, START_MS);
		leader = (uint32_t)site_leader(&s);
		site_submit(&s, 0, 4, 2, 5000, false);
		for (uint32_t ms = 0; ms < WATCH_MS; ms += SITE_STEP_MS) {
			uint32_t before = leading_hosts(&s);
			uint32_t began;

			w->trouble(&s, leader, ms);
			site_run(&s, SITE_STEP_MS);
			began = leading_hosts(&s) & ~before;
			changes += (uint32_t)__builtin_popcount(began);
			if (began && !first_ms)
				first_ms = ms;
		}
		g_test_message("%s seed %" PRIu64 ": %u changes, at %u ms",
			       w->name, seed, changes, first_ms);
		g_assert_cmpuint(changes, <=, w->changes_max);
		if (w->first_ms)
			g_assert_true(first_ms && first_ms <= w->first_ms);
		for (uint32_t i = 0; i < HOSTS; i++)
			s.log_extra_ms[i] = 0;
		s.append_ms = 0;
		site_settle(&s, RECOVERY_MS);
		g_assert_cmpstr(s.violation, ==, NULL);
		site_finish(&s);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/silence/limits", test_limits);
	g_test_add_func("/silence/longest-counts", test_longest_counts);
	for (size_t i = 0; i < G_N_ELEMENTS(watches); i++) {
		char *path = g_strdup_printf("/silence/%s", watches[i].name);

		g_test_add_data_func(path, &watches[i], test_watch);
		g_free(path);
	}
	return g_test_run();
}
