/** @file Tests of jobs that are spread over several partitions of the log. */
#include <string.h>

#include "fakes/site_int.h"

#define START_MS    4000
#define WORK_MS	    2000
#define RECOVERY_MS 60000
#define HOSTS	    3
#define WORKERS	    4
#define PARTS	    FFL_JOBS_PARTS_MAX
/** Longest time in which a host without faults accepts a job. */
#define ACCEPT_MS 300
/** Longest time in which hosts have read what others wrote. */
#define READ_MS 3000

/** A scenario on a log of PARTS partitions, run with several seeds. */
typedef struct {
	const char *name;
	void (*run)(site_t *s);
} scenario_t;

/** Numbers of partitions that hosts are told at one start and at the next. */
typedef struct {
	const char *name;
	uint32_t before;
	uint32_t after;
} change_row_t;

/** A load of many hosts that submit to a slow log. */
typedef struct {
	const char *name;
	uint32_t partitions;
	uint32_t accepted_min; /**< jobs, of those handed in */
} load_row_t;

static const change_row_t changes[] = {
	{ "1-to-4", 1, 4 },   { "2-to-4", 2, 4 }, { "4-to-2", 4, 2 },
	{ "4-to-1", 4, 1 },   { "3-to-4", 3, 4 }, { "4-to-4", 4, 4 },
	{ "4-to-12", 4, 12 }, { "0-to-4", 0, 4 },
};

static const load_row_t loads[] = {
	{ "one-partition", 1, 0 },
	{ "four-partitions", 4, 40 },
};

static void assert_no_fault(const site_t *s);
static const ffl_tail_t *jobs_tail(const site_t *s, uint32_t host,
				   uint32_t part);
static keyed_log_t *jobs_log(site_t *s, uint32_t part);
static uint32_t part_of(const char *id);
static uint32_t follower(const site_t *s);
static void restart_all(site_t *s);
static void assert_spread(const site_t *s, uint32_t parts);
static uint32_t count_keys(site_t *s, uint32_t part, const char *prefix);
static uint32_t count_accepted(const site_t *s);
static const ffl_flow_t *flow_at(const site_t *s, uint32_t host, uint32_t job);
static ffl_response_kind_t ask(site_t *s, uint32_t host,
			       ffl_request_kind_t kind, const char *id,
			       const char *key);

static void assert_no_fault(const site_t *s)
{
	if (s->violation)
		g_test_message("%s: %s", s->violation, s->detail);
	g_assert_cmpstr(s->violation, ==, NULL);
}

static const ffl_tail_t *jobs_tail(const site_t *s, uint32_t host,
				   uint32_t part)
{
	return &s->hosts[host].node.tails[ffl_tail_index(FFL_TOPIC_JOBS, part)];
}

static keyed_log_t *jobs_log(site_t *s, uint32_t part)
{
	return &s->topics[ffl_tail_index(FFL_TOPIC_JOBS, part)];
}

/* The partition that an id names among PARTS. Fixed: jobs stand there. */
static uint32_t part_of(const char *id)
{
	return (uint32_t)(ffl_hash(id, strlen(id), 0) % PARTS);
}

static uint32_t follower(const site_t *s)
{
	return ((uint32_t)site_leader(s) + 1) % s->hosts_count;
}

static void restart_all(site_t *s)
{
	for (uint32_t i = 0; i < s->hosts_count; i++)
		site_kill(s, i, 100);
	site_run(s, START_MS);
}

static void assert_spread(const site_t *s, uint32_t parts)
{
	for (uint32_t i = 0; i < s->hosts_count; i++)
		g_assert_cmpuint(s->hosts[i].node.jobs_parts, ==, parts);
}

static uint32_t count_keys(site_t *s, uint32_t part, const char *prefix)
{
	uint32_t count = 0;
	ffl_store_reply_t page = { 0 };
	ffl_arena_t arena;

	ffl_arena_init(&arena);
	keyed_log_newest(jobs_log(s, part), "", UINT16_MAX, &page, &arena);
	for (uint32_t i = 0; i < page.count; i++)
		count += g_str_has_prefix(page.records[i].key, prefix);
	ffl_arena_finish(&arena);
	return count;
}

static uint32_t count_accepted(const site_t *s)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < s->jobs_count; i++)
		count += s->jobs[i].accepted;
	return count;
}

static const ffl_flow_t *flow_at(const site_t *s, uint32_t host, uint32_t job)
{
	return ffl_flows_find(&s->hosts[host].node.flows, s->jobs[job].id);
}

static ffl_response_kind_t ask(site_t *s, uint32_t host,
			       ffl_request_kind_t kind, const char *id,
			       const char *key)
{
	char *path = g_strconcat("/lining/", id, NULL);
	const ffl_act_response_t *answer =
		site_answer(s, site_send(s, host, kind, path, key, 1));

	g_free(path);
	g_assert_nonnull(answer);
	return answer->kind;
}

/* Every record of a job stands in the partition that its id names. */
static void by_id(site_t *s)
{
	uint32_t used = 0;

	for (uint32_t i = 0; i < 16; i++) {
		uint32_t job = site_submit(s, i % HOSTS, 1, 1, 300, false);
		const char *id = s->jobs[job].id;
		char *spec = g_strconcat("j", id, NULL);
		char *cancel = g_strconcat("c", id, NULL);

		site_run(s, ACCEPT_MS);
		g_assert_true(s->jobs[job].accepted);
		if (i % 4 == 0)
			site_cancel(s, (i + 1) % HOSTS, job);
		site_run(s, ACCEPT_MS);
		for (uint32_t part = 0; part < PARTS; part++) {
			bool named = part == part_of(id);

			g_assert_cmpuint(count_keys(s, part, spec), ==, named);
			g_assert_cmpuint(count_keys(s, part, cancel), ==,
					 named && s->jobs[job].cancelled_ms);
		}
		used |= 1U << part_of(id);
		g_free(spec);
		g_free(cancel);
	}
	g_assert_cmpuint(used, ==, (1U << PARTS) - 1);
}

/* Two customers hand the same id in, each at a host of its own: one gets it. */
static void same_id_two_owners(site_t *s)
{
	for (uint32_t i = 0; i < 12; i++) {
		const char *const keys[] = { SITE_KEY, SITE_OTHER_KEY };
		const ffl_act_response_t *answers[2];
		uint64_t calls[2];
		char path[64];

		g_snprintf(path, sizeof(path), "/lining/%016x", 0xa100 + i);
		for (uint32_t k = 0; k < 2; k++) {
			calls[k] =
				site_send(s, (i + k) % HOSTS,
					  FFL_REQUEST_SUBMIT, path, keys[k], 1);
			site_run(s, i * SITE_STEP_MS);
		}
		for (uint32_t k = 0; k < 2; k++) {
			answers[k] = site_answer(s, calls[k]);
			g_assert_nonnull(answers[k]);
		}
		g_assert_cmpint(
			(answers[0]->kind == FFL_RESPONSE_ACCEPTED) +
				(answers[1]->kind == FFL_RESPONSE_ACCEPTED),
			==, 1);
		g_assert_cmpint(
			(answers[0]->kind == FFL_RESPONSE_CONFLICT) +
				(answers[1]->kind == FFL_RESPONSE_CONFLICT),
			==, 1);
	}
	/* The leader removes the later owners' records. */
	site_run(s, 6000);
	for (uint32_t part = 0; part < PARTS; part++)
		g_assert_cmpuint(count_keys(s, part, "j"), ==,
				 count_keys(s, part, "j00"));
	g_assert_cmpuint(count_keys(s, 0, "j") + count_keys(s, 1, "j") +
				 count_keys(s, 2, "j") + count_keys(s, 3, "j"),
			 ==, 12);
}

/* One customer hands the same job in at two hosts at once: it runs once. */
static void same_id_one_owner(site_t *s)
{
	for (uint32_t i = 0; i < 12; i++) {
		uint32_t job = site_submit(s, i % HOSTS, 1, 1, 300, false);

		site_resubmit(s, (i + 1) % HOSTS, job);
		site_run(s, 500);
		g_assert_true(s->jobs[job].accepted);
		g_assert_false(s->jobs[job].conflict);
	}
	site_run(s, 4000);
	for (uint32_t i = 0; i < 12; i++)
		g_assert_cmpuint(g_hash_table_size(s->jobs[i].completed), ==,
				 1);
}

/* A job is cancelled at one host while another accepts it. */
static void cancel_crosses_submit(site_t *s)
{
	for (uint32_t i = 0; i < 16; i++) {
		uint32_t job = site_submit(s, i % HOSTS, 4, 1, WORK_MS, false);

		site_run(s, i * SITE_STEP_MS / 2);
		site_cancel(s, (i + 1) % HOSTS, job);
		site_resubmit(s, (i + 2) % HOSTS, job);
		site_run(s, READ_MS);
		g_assert_true(s->jobs[job].accepted);
		for (uint32_t k = 0; k < HOSTS; k++)
			g_assert_cmpint(flow_at(s, k, job)->cancelled, ==,
					s->jobs[job].cancelled_ms != 0);
	}
}

/* A partition that refuses all calls concerns the jobs of that partition only:
 * the others are accepted and run, also under a new leader, and hosts stay
 * ready. */
static void one_part_fails(site_t *s)
{
	uint32_t others = 0;
	uint32_t own = 0;
	uint32_t leader;

	s->part_down_until_ms[ffl_tail_index(FFL_TOPIC_JOBS, 2)] =
		s->now_ms + 30000;
	for (uint32_t i = 0; i < 16; i++) {
		uint32_t job = site_submit(s, i % HOSTS, 1, 1, 300, false);
		bool is_down = part_of(s->jobs[job].id) == 2;

		site_run(s, ACCEPT_MS);
		if (is_down)
			own++;
		else
			others++;
		g_assert_cmpint(s->jobs[job].accepted, ==, !is_down);
	}
	g_assert_cmpuint(own, >, 0);
	g_assert_cmpuint(others, >, 0);
	site_run(s, READ_MS);
	for (uint32_t i = 0; i < 16; i++)
		g_assert_cmpuint(g_hash_table_size(s->jobs[i].completed), ==,
				 part_of(s->jobs[i].id) != 2);
	for (uint32_t i = 0; i < HOSTS; i++)
		g_assert_true(s->hosts[i].node.ready);
	leader = (uint32_t)site_leader(s);
	site_kill(s, leader, 20000);
	site_run(s, 4000);
	g_assert_cmpint(site_leader(s), >=, 0);
	g_assert_cmpint(site_leader(s), !=, (int)leader);
	site_run(s, 20000);
	for (uint32_t i = 0; i < 16; i++) {
		s->jobs[i].refused = false;
		site_resubmit(s, 0, i);
	}
	site_run(s, READ_MS);
	g_assert_cmpuint(count_accepted(s), ==, 16);
}

/* A job that was cancelled in a partition that the leader cannot read starts no
 * run there, although the rest goes on. */
static void unread_cancel(site_t *s)
{
	uint32_t leader = (uint32_t)site_leader(s);
	uint32_t host = follower(s);
	uint32_t index;
	uint32_t job;

	/* All GPUs are taken, so that the next job waits. */
	for (uint32_t i = 0; i < WORKERS; i++)
		site_submit(s, host, 1, 8, 6000, false);
	site_run(s, 1000);
	job = site_submit(s, host, 1, 8, 300, false);
	site_run(s, 1000);
	g_assert_cmpuint(g_hash_table_size(s->jobs[job].completed), ==, 0);
	index = ffl_tail_index(FFL_TOPIC_JOBS, part_of(s->jobs[job].id));
	s->hosts[leader].topics_cut = 1U << index;
	site_run(s, 500);
	site_cancel(s, host, job);
	site_run(s, 12000);
	g_assert_cmpuint(s->jobs[job].cancelled_ms, >, 0);
	g_assert_cmpint(site_leader(s), ==, (int)leader);
	g_assert_cmpuint(g_hash_table_size(s->jobs[job].completed), ==, 0);
	g_assert_null(
		ffl_flows_find(&s->hosts[leader].node.flows, s->jobs[job].id)
			->tasks[0]
			.worker);
	s->hosts[leader].topics_cut = 0;
	site_run(s, READ_MS);
}

/* A partition fails while a host starts: it answers nothing before it has read
 * all partitions once, as an older job may stand in any of them. */
static void one_part_fails_at_start(site_t *s)
{
	uint32_t host = follower(s);
	uint32_t job = site_submit(s, host, 1, 1, WORK_MS, false);

	site_run(s, ACCEPT_MS);
	site_kill(s, host, 100);
	s->part_down_until_ms[ffl_tail_index(FFL_TOPIC_JOBS, 1)] =
		s->now_ms + 4000;
	site_run(s, 2000);
	g_assert_false(s->hosts[host].node.ready);
	s->jobs[job].reported_state = FFL_FLOW__MAX;
	site_query(s, host, job);
	site_run(s, ACCEPT_MS);
	g_assert_cmpint(s->jobs[job].reported_state, ==, FFL_FLOW__MAX);
	site_run(s, 4000);
	g_assert_true(s->hosts[host].node.ready);
}

/* History gone in one partition: only that one is read anew, and only what was
 * removed there is dropped. */
static void one_part_forgets(site_t *s)
{
	uint32_t host = follower(s);
	uint64_t paged_ms[PARTS];
	char key[FFL_RECORD_KEY_BYTES];
	uint32_t gone = 0;

	for (uint32_t i = 0; i < 12; i++)
		site_submit(s, i % HOSTS, 1, 1, WORK_MS, false);
	site_run(s, READ_MS + WORK_MS);
	for (uint32_t i = 0; i < PARTS; i++)
		paged_ms[i] = jobs_tail(s, host, i)->paging_since_ms;
	while (part_of(s->jobs[gone].id) != 1)
		gone++;
	s->hosts[host].log_cut_until_ms = s->now_ms + 3000;
	g_snprintf(key, sizeof(key), "j%s", flow_at(s, host, gone)->spec_name);
	keyed_log_put(jobs_log(s, 1), key, NULL, 0);
	keyed_log_trim_history(jobs_log(s, 1));
	site_run(s, 9000);
	for (uint32_t i = 0; i < PARTS; i++)
		g_assert_cmpint(jobs_tail(s, host, i)->paging_since_ms >
					paged_ms[i],
				==, i == 1);
	for (uint32_t i = 0; i < 12; i++)
		g_assert_cmpint(flow_at(s, host, i) != NULL, ==, i != gone);
	s->jobs[gone].accepted = false;
}

/* A cancellation whose job comes later outlives the re-reading of another
 * partition. */
static void early_cancel_stays(site_t *s)
{
	uint32_t host = follower(s);
	char key[FFL_RECORD_KEY_BYTES];
	char id[FFL_FLOW_ID_BYTES];
	uint32_t part;
	uint32_t job;

	g_snprintf(id, sizeof(id), "%016x", (s->jobs_count + 1) * 0x9e37u);
	part = part_of(id);
	g_snprintf(key, sizeof(key), "c%s", id);
	keyed_log_put(jobs_log(s, part), key, "1", 1);
	site_run(s, READ_MS);
	s->hosts[host].log_cut_until_ms = s->now_ms + 2000;
	keyed_log_put(jobs_log(s, (part + 1) % PARTS), "x", "1", 1);
	keyed_log_trim_history(jobs_log(s, (part + 1) % PARTS));
	site_run(s, 8000);
	job = site_submit(s, host, 1, 1, WORK_MS, false);
	g_assert_cmpstr(s->jobs[job].id, ==, id);
	s->jobs[job].cancel_sent = true;
	site_run(s, READ_MS);
	g_assert_true(flow_at(s, host, job)->cancelled);
}

/* Ended jobs leave the partitions that they stand in. */
static void ended_leave(site_t *s)
{
	for (uint32_t i = 0; i < s->hosts_count; i++)
		s->hosts[i].node.opt.keep_ended_ms = 1000;
	for (uint32_t i = 0; i < 12; i++) {
		site_submit(s, i % HOSTS, 1, 1, 300, false);
		if (i % 3 == 0) {
			site_run(s, ACCEPT_MS);
			site_cancel(s, (i + 1) % HOSTS, i);
		}
	}
	site_run(s, 90000);
	for (uint32_t i = 0; i < 12; i++) {
		s->jobs[i].accepted = false;
		for (uint32_t k = 0; k < HOSTS; k++)
			g_assert_null(flow_at(s, k, i));
	}
	for (uint32_t part = 0; part < PARTS; part++)
		g_assert_cmpint(g_tree_nnodes(jobs_log(s, part)->newest), ==,
				part == 0);
}

/* Leaders come and go while jobs are handed in, cancelled and ended. */
static void leader_changes(site_t *s)
{
	for (uint32_t i = 0; i < 18; i++) {
		uint32_t host = follower(s);

		site_submit(s, host, 2, 1, 600, false);
		site_run(s, 200);
		if (i % 6 == 5) {
			site_kill(s, (uint32_t)site_leader(s), 3000);
			site_run(s, 3500);
		}
	}
	site_run(s, 5000);
	for (uint32_t i = 0; i < 18; i++)
		if (s->jobs[i].accepted)
			g_assert_cmpuint(
				g_hash_table_size(s->jobs[i].completed), ==, 2);
}

/* A host whose reads of jobs wait for long leads as soon as it claims. */
static void idle_host_leads(site_t *s)
{
	uint32_t leader = (uint32_t)site_leader(s);
	uint32_t job = site_submit(s, leader, 1, 1, 300, false);

	site_run(s, 8000);
	site_kill(s, leader, 20000);
	site_run(s, 3500);
	g_assert_cmpint(site_leader(s), >=, 0);
	g_assert_cmpint(site_leader(s), !=, (int)leader);
	job = site_submit(s, (uint32_t)site_leader(s), 1, 1, 300, false);
	site_run(s, 4000);
	g_assert_cmpuint(g_hash_table_size(s->jobs[job].completed), ==, 1);
}

/* A silent log is noticed in all partitions, also where a read waits for long:
 * callers are refused at once. */
static void silence_is_known(site_t *s)
{
	uint32_t host = follower(s);
	uint32_t first[PARTS];

	/* Requests are answered by what is known of the log. */
	s->hosts[host].node.opt.config_skew_ms = 60000;
	s->log_silent_until_ms = s->now_ms + 12000;
	site_run(s, 3800);
	for (uint32_t i = 0; i < PARTS; i++) {
		g_assert_cmpuint(jobs_tail(s, host, i)->failures, >, 0);
		first[i] = 0;
	}
	for (uint32_t i = 0; i < 20; i++) {
		uint32_t job = site_submit(s, host, 1, 1, 300, false);
		uint32_t part = part_of(s->jobs[job].id);

		g_assert_cmpint(s->jobs[job].refused, ==, first[part] > 0);
		first[part]++;
	}
}

/* While a partition is not there, jobs stay in the first one. */
static void spread_only_when_read(site_t *s)
{
	uint32_t job;

	site_finish(s);
	site_init_spread(s, 1, HOSTS, WORKERS, PARTS);
	s->part_down_until_ms[ffl_tail_index(FFL_TOPIC_JOBS, 3)] =
		s->now_ms + 9000;
	site_run(s, 6000);
	assert_spread(s, 1);
	job = site_submit(s, 0, 1, 1, 300, false);
	site_run(s, ACCEPT_MS);
	g_assert_true(s->jobs[job].accepted);
	g_assert_cmpuint(count_keys(s, 0, "j"), ==, 1);
	site_run(s, 9000);
	assert_spread(s, PARTS);
}

/* Hosts that are told different numbers follow the one on the log. */
static void mixed_settings(site_t *s)
{
	uint32_t host = follower(s);

	s->partitions = 1;
	site_kill(s, host, 100);
	site_run(s, START_MS);
	assert_spread(s, PARTS);
	for (uint32_t i = 0; i < 12; i++) {
		site_submit(s, i % HOSTS, 1, 1, 300, false);
		site_run(s, ACCEPT_MS);
		g_assert_true(s->jobs[i].accepted);
		g_assert_cmpuint(flow_at(s, host, i)
					 ? flow_at(s, host, i)->spec_part
					 : part_of(s->jobs[i].id),
				 ==, part_of(s->jobs[i].id));
	}
}

/* An earlier leader's late append lowers the number on the log: it is written
 * anew, so that a host that starts reads all partitions. */
static void number_lowered_late(site_t *s)
{
	guint8 lower = 2;

	for (uint32_t i = 0; i < 8; i++)
		site_submit(s, i % HOSTS, 1, 1, WORK_MS, false);
	site_run(s, READ_MS);
	keyed_log_put(jobs_log(s, 0), "parts", &lower, sizeof(lower));
	site_run(s, 6000);
	assert_spread(s, PARTS);
	s->partitions = 1;
	restart_all(s);
	assert_spread(s, PARTS);
	for (uint32_t i = 0; i < 8; i++)
		g_assert_nonnull(flow_at(s, 0, i));
}

/* Returns the reads of jobs by ten hosts at which 40 jobs are handed in. */
static uint64_t reads_with(uint32_t partitions, uint64_t seed,
			   uint32_t interval_ms)
{
	uint64_t before;
	site_t s;

	site_init_spread(&s, seed, 10, WORKERS, partitions);
	site_run(&s, START_MS);
	before = s.topic_reads[FFL_TOPIC_JOBS];
	for (uint32_t i = 0; i < 40; i++) {
		site_submit(&s, i % s.hosts_count, 1, 1, 300, false);
		site_run(&s, interval_ms);
	}
	before = s.topic_reads[FFL_TOPIC_JOBS] - before;
	site_settle(&s, RECOVERY_MS);
	assert_no_fault(&s);
	site_finish(&s);
	return before;
}

/* Several partitions cost a tenth more reads at most. */
static void test_reads_do_not_grow(void)
{
	static const uint32_t intervals_ms[] = { 100, 200, 500 };

	for (size_t i = 0; i < G_N_ELEMENTS(intervals_ms); i++) {
		uint64_t one = reads_with(1, 1, intervals_ms[i]);
		uint64_t several = reads_with(PARTS, 1, intervals_ms[i]);

		g_test_message("%u ms: %" PRIu64 " reads, %" PRIu64
			       " with several partitions",
			       intervals_ms[i], one, several);
		g_assert_cmpuint(several * 10, <=, one * 11);
	}
}

/* Jobs that came before the number changed are neither lost nor done twice, and
 * leave the partition that they stand in. */
static void test_number_changed(gconstpointer data)
{
	const change_row_t *row = data;
	uint32_t most = CLAMP(MAX(row->before, row->after), 1, PARTS);
	uint32_t count;
	site_t s;

	for (uint64_t seed = 1; seed <= 3; seed++) {
		site_init_spread(&s, seed, HOSTS, WORKERS, row->before);
		site_run(&s, START_MS);
		for (uint32_t i = 0; i < 12; i++)
			site_submit(&s, i % HOSTS, 1, 1, i % 2 ? 300 : 8000,
				    false);
		site_run(&s, 2500);
		g_assert_cmpuint(count_accepted(&s), ==, 12);
		s.partitions = row->after;
		restart_all(&s);
		assert_spread(&s, most);
		for (uint32_t i = 0; i < HOSTS; i++) {
			s.hosts[i].node.opt.keep_ended_ms = 1000;
			for (uint32_t k = 0; k < 12; k++)
				g_assert_nonnull(flow_at(&s, i, k));
		}
		/* The id stays its first owner's; a retry is accepted. */
		for (uint32_t k = 0; k < 12; k++) {
			if (!site_is_top_priority(&s, &s.jobs[k]))
				g_assert_cmpint(
					ask(&s, k % HOSTS, FFL_REQUEST_SUBMIT,
					    s.jobs[k].id, SITE_OTHER_KEY),
					==, FFL_RESPONSE_CONFLICT);
			site_resubmit(&s, (k + 1) % HOSTS, k);
		}
		site_cancel(&s, 0, 0);
		for (uint32_t i = 0; i < 8; i++)
			site_submit(&s, i % HOSTS, 1, 1, 300, false);
		site_run(&s, READ_MS);
		g_assert_cmpuint(count_accepted(&s), ==, 20);
		g_assert_cmpuint(s.jobs[0].cancelled_ms, >, 0);
		site_run(&s, 110000);
		count = 0;
		for (uint32_t part = 0; part < PARTS; part++)
			count += (uint32_t)g_tree_nnodes(
				jobs_log(&s, part)->newest);
		g_assert_cmpuint(count, ==, most > 1);
		for (uint32_t i = 0; i < s.jobs_count; i++) {
			if (i)
				g_assert_cmpuint(
					g_hash_table_size(s.jobs[i].completed),
					==, 1);
			s.jobs[i].accepted = false;
		}
		site_settle(&s, RECOVERY_MS);
		assert_no_fault(&s);
		site_finish(&s);
	}
}

/* Many hosts submit on their own to a log whose appends take long: what it
 * accepts is bounded by one append after the other in each partition. */
static void test_load(gconstpointer data)
{
	const load_row_t *row = data;

	for (uint64_t seed = 1; seed <= 3; seed++) {
		uint32_t accepted;
		site_t s;

		site_init_spread(&s, seed, SITE_HOSTS_MAX, WORKERS,
				 row->partitions);
		site_run(&s, START_MS);
		s.append_ms = 400;
		for (uint32_t i = 0; i < 48; i++) {
			site_submit(&s, i % SITE_HOSTS_MAX, 1, 1, 300, false);
			site_run(&s, 50);
		}
		site_run(&s, 3000);
		accepted = count_accepted(&s);
		g_test_message("%u of 48 jobs accepted in time", accepted);
		g_assert_cmpuint(accepted, >=, row->accepted_min);
		s.append_ms = 0;
		site_settle(&s, RECOVERY_MS);
		assert_no_fault(&s);
		site_finish(&s);
	}
}

static const scenario_t scenarios[] = {
	{ "by-id", by_id },
	{ "same-id-of-two-owners", same_id_two_owners },
	{ "same-id-of-one-owner", same_id_one_owner },
	{ "cancel-crosses-submit", cancel_crosses_submit },
	{ "one-fails", one_part_fails },
	{ "unread-cancel", unread_cancel },
	{ "one-fails-at-start", one_part_fails_at_start },
	{ "one-forgets", one_part_forgets },
	{ "early-cancel-stays", early_cancel_stays },
	{ "ended-leave", ended_leave },
	{ "leader-changes", leader_changes },
	{ "idle-host-leads", idle_host_leads },
	{ "silence-is-known", silence_is_known },
	{ "spread-only-when-read", spread_only_when_read },
	{ "mixed-settings", mixed_settings },
	{ "number-lowered-late", number_lowered_late },
};

static void test_scenario(gconstpointer data)
{
	const scenario_t *scenario = data;

	for (uint64_t seed = 1; seed <= 3; seed++) {
		site_t s;

		site_init_spread(&s, seed, HOSTS, WORKERS, PARTS);
		site_run(&s, START_MS);
		assert_spread(&s, PARTS);
		scenario->run(&s);
		site_settle(&s, RECOVERY_MS);
		assert_no_fault(&s);
		site_finish(&s);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(scenarios); i++) {
		char *path = g_strdup_printf("/parts/%s", scenarios[i].name);

		g_test_add_data_func(path, &scenarios[i], test_scenario);
		g_free(path);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(changes); i++) {
		char *path = g_strdup_printf("/parts/number-changed/%s",
					     changes[i].name);

		g_test_add_data_func(path, &changes[i], test_number_changed);
		g_free(path);
	}
	for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
		char *path = g_strdup_printf("/parts/load/%s", loads[i].name);

		g_test_add_data_func(path, &loads[i], test_load);
		g_free(path);
	}
	g_test_add_func("/parts/reads-do-not-grow", test_reads_do_not_grow);
	return g_test_run();
}
