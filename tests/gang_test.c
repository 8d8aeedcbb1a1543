/** @file Tests of job admission, run time estimates and gang placement. */
#include <string.h>

#include "fakes/fake_cell.h"

/** A submitted job and how admission must judge it. */
typedef struct {
	const char *customer;
	uint32_t accelerators;
	ffl_adjacency_t adjacency;
	uint32_t cores;
	uint32_t memory_mb;
	ffl_msg_t msg; /**< first error, or FFL_MSG__MAX */
	bool nearest;  /**< the nearest possible shape is reported */
} admission_case_t;

static const admission_case_t admission_cases[] = {
	{ "a", 8, FFL_ADJ_WORKER, 4, 8192, FFL_MSG__MAX, false },
	{ "a", 64, FFL_ADJ_RACK, 0, 0, FFL_MSG__MAX, false },
	{ "a", 128, FFL_ADJ_DC, 0, 0, FFL_MSG__MAX, false },
	{ "a", 0, FFL_ADJ_WORKER, 0, 0, FFL_MSG_OUT_OF_RANGE, false },
	{ "a", 9, FFL_ADJ_WORKER, 0, 0, FFL_MSG_IMPOSSIBLE_JOB, true },
	{ "a", 65, FFL_ADJ_RACK, 0, 0, FFL_MSG_IMPOSSIBLE_JOB, true },
	{ "a", UINT32_MAX, FFL_ADJ_DC, 0, 0, FFL_MSG_IMPOSSIBLE_JOB, true },
	{ "a", 1, FFL_ADJ_WORKER, 5, 0, FFL_MSG_IMPOSSIBLE_JOB, true },
	{ "a", 1, FFL_ADJ_WORKER, 0, UINT32_MAX, FFL_MSG_IMPOSSIBLE_JOB, true },
	{ "b", 1, FFL_ADJ_WORKER, 0, 0, FFL_MSG_UNKNOWN_CUSTOMER, false },
	{ "q", 8, FFL_ADJ_WORKER, 0, 0, FFL_MSG_IMPOSSIBLE_JOB, false },
};

static void setup(fake_cell_t *c);
static bool has_finding(const ffl_findings_t *fs, ffl_msg_t msg);
static void test_admission(void);
static void test_learned_estimate(void);
static void test_duplicate(void);
static void test_reclaim(void);
static void test_guarantee_check(void);
static void test_late_end(gconstpointer data);

/** An end that is read after the cell's leader was replaced. */
typedef struct {
	const char *name;
	ffl_end_t end;
	bool by_present_leader;
	bool ends; /**< the job has ended */
} late_end_case_t;

static const late_end_case_t late_end_cases[] = {
	{ "late-failure", FFL_END_FAILED, false, false },
	{ "late-refusal", FFL_END_IMPOSSIBLE, false, false },
	{ "late-success", FFL_END_DONE, false, true },
	{ "late-cancel", FFL_END_CANCELLED, false, true },
	{ "failure", FFL_END_FAILED, true, true },
	{ "refusal", FFL_END_IMPOSSIBLE, true, true },
};

static void setup(fake_cell_t *c)
{
	static const fake_cell_size_t size = { 2, 8, 8, 32, 65536 };

	fake_cell_init(c, &size);
	fake_cell_add_customer(c, "a", 1, 0);
	fake_cell_add_customer(c, "q", 1, 4);
}

static bool has_finding(const ffl_findings_t *fs, ffl_msg_t msg)
{
	for (uint32_t i = 0; i < ffl_findings_count(fs); i++) {
		if (ffl_findings_at(fs, i)->msg == msg)
			return true;
	}
	return false;
}

static void test_admission(void)
{
	fake_cell_t c;

	setup(&c);
	for (size_t i = 0; i < G_N_ELEMENTS(admission_cases); i++) {
		const admission_case_t *a = &admission_cases[i];
		ffl_job_spec_t spec = { .accelerators = a->accelerators,
					.adjacency = a->adjacency,
					.cores = a->cores,
					.memory_mb = a->memory_mb,
					.name = "job",
					.dc = FAKE_CELL_DC };
		ffl_findings_t fs;

		ffl_copy(spec.customer, sizeof(spec.customer), a->customer);
		ffl_findings_init(&fs, "test");
		g_assert_cmpint(ffl_job_check(&spec, &c.cfg, &c.fleet, &fs), ==,
				a->msg == FFL_MSG__MAX ? FFL_OK : FFL_INVALID);
		if (a->msg != FFL_MSG__MAX)
			g_assert_true(has_finding(&fs, a->msg));
		g_assert_true(has_finding(&fs, FFL_MSG_NEAREST_SHAPE) ==
			      a->nearest);
		ffl_findings_finish(&fs);
	}
	fake_cell_finish(&c);
}

/* Run times declared ten times too long are corrected after 20 runs. */
static void test_learned_estimate(void)
{
	ffl_job_spec_t spec = { .customer = "a", .kind = "survey" };
	ffl_learn_t l;

	ffl_learn_init(&l);
	spec.declared_ms = 600000;
	g_assert_cmpuint(ffl_learn_estimate_ms(&l, &spec, FFL_LEARN_MEDIAN), ==,
			 600000);
	for (uint32_t i = 1; i <= 20; i++) {
		spec.declared_ms = i * 100000;
		ffl_learn_observe(&l, &spec, i * 10000);
	}
	spec.declared_ms = 600000;
	g_assert_cmpuint(ffl_learn_estimate_ms(&l, &spec, FFL_LEARN_MEDIAN), >,
			 50000);
	g_assert_cmpuint(ffl_learn_estimate_ms(&l, &spec, FFL_LEARN_HIGH), <,
			 75000);
	ffl_learn_finish(&l);
}

static void test_duplicate(void)
{
	ffl_job_spec_t spec = { .customer = "a",
				.name = "x",
				.accelerators = 1 };
	fake_cell_t c;

	setup(&c);
	g_assert_nonnull(fake_cell_submit(&c, &spec));
	g_assert_null(fake_cell_submit(&c, &spec));
	g_assert_cmpuint(c.gangs.open->len, ==, 1);
	fake_cell_finish(&c);
}

/* In a full cell one pass preempts one job and starts a guaranteed one, and
 * preempts no more than that. */
static void test_reclaim(void)
{
	ffl_job_spec_t spec = { .customer = "q", .accelerators = 8 };
	const ffl_job_t *job;
	fake_cell_t c;

	setup(&c);
	fake_cell_add_customer(&c, "b", 1, 0);
	ffl_copy(spec.customer, sizeof(spec.customer), "b");
	for (uint32_t i = 0; i < 16; i++)
		fake_cell_submit(&c, &spec);
	g_assert_cmpuint(fake_cell_run_pass(&c), ==, 16);
	fake_cell_add_guarantee(&c, "a", 1, 8, FFL_ADJ_WORKER);
	ffl_copy(spec.customer, sizeof(spec.customer), "a");
	job = fake_cell_submit(&c, &spec);
	g_assert_cmpuint(fake_cell_run_pass(&c), ==, 2);
	g_assert_cmpint(job->state, ==, FFL_JOB_RUNNING);
	fake_cell_finish(&c);
}

/* Sixteen workers hold one guaranteed shape each, so a further guarantee must
 * be refused. */
static void test_guarantee_check(void)
{
	ffl_findings_t fs;
	fake_cell_t c;

	setup(&c);
	ffl_findings_init(&fs, "test");
	fake_cell_add_guarantee(&c, "a", 16, 8, FFL_ADJ_WORKER);
	g_assert_cmpint(ffl_witness_check(&c.fleet, &c.cfg, FAKE_CELL_DC, &fs),
			==, FFL_OK);
	fake_cell_add_guarantee(&c, "a", 1, 1, FFL_ADJ_WORKER);
	g_assert_cmpint(ffl_witness_check(&c.fleet, &c.cfg, FAKE_CELL_DC, &fs),
			==, FFL_INVALID);
	g_assert_true(has_finding(&fs, FFL_MSG_GUARANTEE_UNMET));
	ffl_findings_finish(&fs);
	fake_cell_finish(&c);
}

/* An earlier leader's judgement of a job that the present one may run must not
 * end it. */
static void test_late_end(gconstpointer data)
{
	const late_end_case_t *lc = data;
	const ffl_join_t self = { .member = 1, .dc = "d" };
	const ffl_member_times_t times = { .suspect_ms = 1000 };
	ffl_record_t rec = { .kind = FFL_REC_JOIN };
	uint64_t epochs[2];
	uint64_t offset = 1;
	uint64_t job;
	ffl_members_t ms;
	ffl_gangs_t g;

	ffl_members_init(&ms, &self, &times);
	ffl_gangs_init(&g, 6000);
	for (uint64_t member = 1; member <= 2; member++) {
		rec.join = self;
		rec.join.member = member;
		ffl_members_fold(&ms, offset++, &rec, 1);
	}
	memset(&rec, 0, sizeof(rec));
	rec.kind = FFL_REC_JOB;
	ffl_copy(rec.job.customer, sizeof(rec.job.customer), "a");
	ffl_copy(rec.job.name, sizeof(rec.job.name), "job");
	ffl_copy(rec.job.dc, sizeof(rec.job.dc), "d");
	job = offset++;
	ffl_gangs_fold(&g, &ms, job, &rec, 1);
	for (uint64_t i = 0; i < 2; i++) {
		memset(&rec, 0, sizeof(rec));
		rec.kind = FFL_REC_LEAD;
		rec.lead.member = i + 1;
		rec.lead.previous_epoch = i ? epochs[0] : 0;
		ffl_copy(rec.lead.dc, sizeof(rec.lead.dc), "d");
		epochs[i] = offset++;
		ffl_members_fold(&ms, epochs[i], &rec, 1);
	}
	memset(&rec, 0, sizeof(rec));
	rec.kind = FFL_REC_JOB_END;
	rec.job_end.job = job;
	rec.job_end.epoch = epochs[lc->by_present_leader];
	rec.job_end.end = lc->end;
	ffl_gangs_fold(&g, &ms, offset, &rec, 1);
	g_assert_cmpint(ffl_gangs_find(&g, job)->state == FFL_JOB_ENDED, ==,
			lc->ends);
	ffl_gangs_finish(&g);
	ffl_members_finish(&ms);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/gang/admission", test_admission);
	g_test_add_func("/gang/learn", test_learned_estimate);
	g_test_add_func("/gang/duplicate", test_duplicate);
	g_test_add_func("/gang/reclaim", test_reclaim);
	g_test_add_func("/gang/check", test_guarantee_check);
	for (size_t i = 0; i < G_N_ELEMENTS(late_end_cases); i++) {
		char *path =
			g_strdup_printf("/gang/end/%s", late_end_cases[i].name);

		g_test_add_data_func(path, &late_end_cases[i], test_late_end);
		g_free(path);
	}
	return g_test_run();
}
