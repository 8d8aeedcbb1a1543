/** @file Tests of the decision to turn a new job away, from a given outlook. */
#include <string.h>

#include "fireflyledge/outlook.h"

/** Run time of a task; the objective is 13 s, so a job of one step is in time
 * if it begins within 9 s, and of use within 35 s. */
#define RUN_MS 4000
#define GPU    FFL_OUTLOOK_GPUS
#define CORES  FFL_OUTLOOK_CORES

/** A change to a job that is refused, or to its outlook. */
typedef struct {
	const char *name;
	void (*change)(ffl_outlook_t *o, ffl_flow_spec_t *spec);
	uint64_t age_ms;
	bool refused;
} decide_case_t;

static void make_outlook(ffl_outlook_t *o);
static void make_spec(ffl_flow_spec_t *spec);
static void set_taken(ffl_outlook_t *o, uint32_t on_time_ms,
		      uint32_t of_use_ms);
static void test_decide(void);
static void test_retry(void);

static void set_taken(ffl_outlook_t *o, uint32_t on_time_ms, uint32_t of_use_ms)
{
	for (uint32_t r = 0; r < FFL_OUTLOOK__MAX; r++) {
		o->ranks[0].on_time_ms[r] = on_time_ms;
		o->ranks[0].of_use_ms[r] = of_use_ms;
	}
}

static void make_outlook(ffl_outlook_t *o)
{
	memset(o, 0, sizeof(*o));
	o->ranks_count = 1;
	o->ranks[0].priority = 2;
	o->ranks[0].work_class = 2;
	o->ranks[0].task = (ffl_resources_t){ 1000, 1000, 1 };
	set_taken(o, 60000, 60000);
	o->queues_count = 1;
	o->queues[0].name_sum = ffl_outlook_queue_sum("checks");
	o->queues[0].run_ms = RUN_MS;
}

static void make_spec(ffl_flow_spec_t *spec)
{
	ffl_err_t err;

	ffl_flow_spec_init(spec);
	ffl_copy(spec->id, sizeof(spec->id), "00000000000000a1");
	ffl_copy(spec->queue, sizeof(spec->queue), "checks");
	ffl_copy(spec->service, sizeof(spec->service), "survey");
	spec->priority = 2;
	spec->attempts_max = 2;
	spec->stretch_milli = 3000;
	spec->objective_base_ms = 1000;
	spec->spec = g_strdup("s");
	spec->steps_count = 2;
	spec->steps = g_new0(ffl_step_t, 2);
	for (uint32_t i = 0; i < 2; i++)
		spec->steps[i] = (ffl_step_t){ .tasks = 1,
					       .cpu_milli = 1000,
					       .mem_mb = 1000,
					       .gpus = 1,
					       .estimate_ms = 100 };
	g_assert_cmpint(ffl_flow_spec_validate(spec, &err), ==, FFL_OK);
}

static void nothing(ffl_outlook_t *o, ffl_flow_spec_t *spec)
{
}

static void no_ranks(ffl_outlook_t *o, ffl_flow_spec_t *spec)
{
	o->ranks_count = 0;
}

static void only_late(ffl_outlook_t *o, ffl_flow_spec_t *spec)
{
	set_taken(o, 60000, 20000);
}

static void passes_late_work(ffl_outlook_t *o, ffl_flow_spec_t *spec)
{
	set_taken(o, 5000, 60000);
}

static void just_within(ffl_outlook_t *o, ffl_flow_spec_t *spec)
{
	set_taken(o, 60000, 33250);
}

static void just_beyond(ffl_outlook_t *o, ffl_flow_spec_t *spec)
{
	set_taken(o, 60000, 33251);
}

static void longer_chain(ffl_outlook_t *o, ffl_flow_spec_t *spec)
{
	set_taken(o, 60000, 34000);
	spec->steps[1].prerequisites = 1;
}

static void no_run_time(ffl_outlook_t *o, ffl_flow_spec_t *spec)
{
	o->queues_count = 0;
}

static void other_queue(ffl_outlook_t *o, ffl_flow_spec_t *spec)
{
	ffl_copy(spec->queue, sizeof(spec->queue), "scans");
}

static void first_priority(ffl_outlook_t *o, ffl_flow_spec_t *spec)
{
	o->ranks[0].priority = 0;
	o->ranks[0].work_class = 0;
	spec->priority = 0;
}

static void higher_priority(ffl_outlook_t *o, ffl_flow_spec_t *spec)
{
	spec->priority = 1;
}

static void lower_priority(ffl_outlook_t *o, ffl_flow_spec_t *spec)
{
	spec->priority = 3;
}

static void less_work(ffl_outlook_t *o, ffl_flow_spec_t *spec)
{
	o->ranks[0].work_class = 6;
}

static void as_much_work(ffl_outlook_t *o, ffl_flow_spec_t *spec)
{
	o->ranks[0].work_class = 3;
}

static void timed(ffl_outlook_t *o, ffl_flow_spec_t *spec)
{
	spec->timed = true;
}

static void until_cancelled(ffl_outlook_t *o, ffl_flow_spec_t *spec)
{
	spec->steps[1].runs_until_cancelled = true;
}

static void smaller_tasks(ffl_outlook_t *o, ffl_flow_spec_t *spec)
{
	o->ranks[0].task.gpus = 2;
}

static void smaller_memory(ffl_outlook_t *o, ffl_flow_spec_t *spec)
{
	spec->steps[1].mem_mb = 999;
}

static void no_slack(ffl_outlook_t *o, ffl_flow_spec_t *spec)
{
	spec->stretch_milli = 1000;
}

static void cores_only(ffl_outlook_t *o, ffl_flow_spec_t *spec)
{
	o->ranks[0].task.gpus = 0;
	o->ranks[0].of_use_ms[CORES] = 0;
	spec->steps[0].gpus = 0;
	spec->steps[1].gpus = 0;
}

static void cores_taken(ffl_outlook_t *o, ffl_flow_spec_t *spec)
{
	o->ranks[0].of_use_ms[GPU] = 0;
}

static const decide_case_t decide_cases[] = {
	{ "too late to be of use", nothing, 0, true },
	{ "newest outlook that counts", nothing, FFL_OUTLOOK_AGE_MAX_MS, true },
	{ "old outlook", nothing, FFL_OUTLOOK_AGE_MAX_MS + 1, false },
	{ "nothing waits", no_ranks, 0, false },
	{ "late, but of use", only_late, 0, false },
	{ "in time, before late work", passes_late_work, 0, false },
	{ "just of use", just_within, 0, false },
	{ "just of no use", just_beyond, 0, true },
	{ "just of no use a while ago", just_beyond, 2, false },
	{ "longer work, longer objective", longer_chain, 0, false },
	{ "no run time learned", no_run_time, 0, false },
	{ "none of its queue", other_queue, 0, false },
	{ "first priority", first_priority, 0, false },
	{ "higher priority", higher_priority, 0, false },
	{ "lower priority", lower_priority, 0, true },
	{ "less work", less_work, 0, false },
	{ "as much work", as_much_work, 0, false },
	{ "timed", timed, 0, false },
	{ "until cancelled", until_cancelled, 0, false },
	{ "fewer GPUs a task", smaller_tasks, 0, false },
	{ "less memory a task", smaller_memory, 0, false },
	{ "no slack, leaves no room free", no_slack, 0, false },
	{ "needs what is free only", cores_only, 0, false },
	{ "needs what is taken too", cores_taken, 0, true },
};

static void test_decide(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(decide_cases); i++) {
		const decide_case_t *c = &decide_cases[i];
		ffl_outlook_verdict_t verdict;
		ffl_flow_spec_t spec;
		ffl_outlook_t o;

		g_test_message("%s", c->name);
		make_outlook(&o);
		make_spec(&spec);
		c->change(&o, &spec);
		ffl_outlook_decide(&o, c->age_ms, &spec, &verdict);
		g_assert_true(verdict.refused == c->refused);
		ffl_flow_spec_finish(&spec);
	}
}

/* Callers return when they would be served, and not all at once. */
static void test_retry(void)
{
	static const struct {
		uint32_t of_use_ms;
		uint32_t min_ms;
		uint32_t max_ms;
	} cases[] = {
		{ 33251, 51450, 77175 }, /* for the sake of being in time */
		{ 93250, 60000, 90000 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		uint32_t least = UINT32_MAX;
		uint32_t most = 0;

		for (uint32_t k = 0; k < 64; k++) {
			ffl_outlook_verdict_t verdict;
			ffl_flow_spec_t spec;
			ffl_outlook_t o;

			make_outlook(&o);
			set_taken(&o, 60000, cases[i].of_use_ms);
			make_spec(&spec);
			g_snprintf(spec.id, sizeof(spec.id), "%016x", k);
			ffl_outlook_decide(&o, 0, &spec, &verdict);
			g_assert_true(verdict.refused);
			least = MIN(least, verdict.retry_after_ms);
			most = MAX(most, verdict.retry_after_ms);
			ffl_flow_spec_finish(&spec);
		}
		g_assert_cmpuint(least, >=, cases[i].min_ms);
		g_assert_cmpuint(most, <=, cases[i].max_ms);
		g_assert_cmpuint(most - least, >, cases[i].min_ms / 4);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/outlook/decide", test_decide);
	g_test_add_func("/outlook/retry", test_retry);
	return g_test_run();
}
