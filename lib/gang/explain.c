/**
 * @file explain.c
 * @brief Answers to the question why a job waits, as JSON.
 */
#include "lib/gang/sched_int.h"

/** Name and texts of one reason to wait. */
typedef struct {
	const char *name;
	const char *text;
	const char *freed_by;
} wait_info_t;

static void add_holder_jobs(ffl_pass_t *p, const ffl_region_t *region,
			    json_t *array);
static json_t *promised_to_json(const ffl_sched_t *s,
				const ffl_region_t *region);

static const wait_info_t wait_infos[FFL_WAIT__MAX] = {
	[FFL_WAIT_NONE] = { "undecided",
			    "the leader of its data centre has not decided",
			    "the leader's next pass" },
	[FFL_WAIT_QUOTA] = { "quota",
			     "its customer's quota of accelerators is in use",
			     "the end of a job of its customer" },
	[FFL_WAIT_BLOCK] = { "block", "no block of its shape is free",
			     "the end of the jobs in the block below" },
	[FFL_WAIT_RESERVED] = { "reserved",
				"a block is kept for it until it is free",
				"the end of the jobs in the block below" },
	[FFL_WAIT_BEHIND] = { "behind",
			      "what is free is kept for a job before it",
			      "the start of the job that it waits behind" },
	[FFL_WAIT_PREEMPTION] = { "preemption",
				  "work that yields is being stopped for it",
				  "the stop of the jobs in the block below" },
	[FFL_WAIT_SHAPE] = { "shape", "no workers that are open form its shape",
			     "workers that return or are added" },
};

const char *ffl_wait_name(uint32_t kind)
{
	return kind < FFL_WAIT__MAX ? wait_infos[kind].name : "?";
}

void ffl_sched_add_wait_json(const ffl_job_t *job, uint64_t now_ms,
			     json_t *json)
{
	if (job->state != FFL_JOB_QUEUED)
		return;
	json_object_set_new(json, "waits_for",
			    json_string(wait_infos[job->wait.kind].name));
	if (job->wait.expected_start_ms)
		json_object_set_new(
			json, "starts_in_ms",
			json_integer(
				job->wait.expected_start_ms > now_ms
					? (json_int_t)(job->wait
							       .expected_start_ms -
						       now_ms)
					: 0));
}

/* Adds each job that holds slots of a region to an array, once. */
static void add_holder_jobs(ffl_pass_t *p, const ffl_region_t *region,
			    json_t *array)
{
	ffl_space_t *sp = p->s->space;

	p->s->search_mark++;
	for (uint32_t i = 0; i < region->count; i++) {
		uint64_t slots = ffl_region_slots(sp, region, i);

		for (uint32_t link =
			     ffl_space_worker(sp, region->first + i)->owner;
		     link; link = ffl_owner(sp, link)->next) {
			ffl_job_t *job = ffl_owner(sp, link)->job;

			if (!(ffl_owner(sp, link)->slots & slots) ||
			    job->search_mark == p->s->search_mark)
				continue;
			job->search_mark = p->s->search_mark;
			json_array_append_new(
				array,
				json_pack(
					"{s:I,s:s,s:b,s:I}", "job",
					(json_int_t)job->id, "customer",
					job->spec.customer, "guaranteed",
					job->unit != 0, "ends_in_ms",
					(json_int_t)(ffl_expected_end(p, job) -
						     p->now_ms)));
		}
	}
}

/* Returns the customers whose guarantees have a region in a block. */
static json_t *promised_to_json(const ffl_sched_t *s,
				const ffl_region_t *region)
{
	json_t *array = json_array();

	for (guint i = 0; i < s->witness.units->len; i++) {
		const ffl_guarantee_unit_t *u = ffl_unit(&s->witness, i);

		if (ffl_regions_overlap(s->space, &u->region, region))
			json_array_append_new(
				array,
				json_pack("{s:s,s:I}", "customer", u->customer,
					  "revision", (json_int_t)u->revision));
	}
	return array;
}

json_t *ffl_sched_explain_json(ffl_sched_t *s, ffl_gangs_t *g,
			       ffl_fleet_t *fleet, const ffl_config_t *cfg,
			       const ffl_job_t *job, uint64_t now_ms)
{
	const wait_info_t *w = &wait_infos[job->wait.kind];
	ffl_pass_t p = { .s = s, .g = g, .cfg = cfg, .now_ms = now_ms };
	json_t *json = json_pack("{s:I,s:s}", "id", (json_int_t)job->id,
				 "state", ffl_job_state_name(job->state));
	json_t *holders = json_array();
	ffl_region_t region;
	uint64_t at_ms;

	if (job->state != FFL_JOB_QUEUED) {
		json_decref(holders);
		return json;
	}
	json_object_set_new(json, "waits_for", json_string(w->text));
	json_object_set_new(json, "reason", json_string(w->name));
	json_object_set_new(json, "freed_by", json_string(w->freed_by));
	json_object_set_new(json, "jobs_ahead",
			    json_integer(job->wait.jobs_ahead));
	if (job->wait.job)
		json_object_set_new(json, "behind_job",
				    json_integer((json_int_t)job->wait.job));
	if (s->had_pass) {
		ffl_space_build(s->space, fleet, s->dc, g);
		if (ffl_earliest_search(&p, job, &region, &at_ms)) {
			add_holder_jobs(&p, &region, holders);
			json_object_set_new(json, "block_at",
					    json_string(region.worker));
			json_object_set_new(json, "block_promised_to",
					    promised_to_json(s, &region));
			json_object_set_new(
				json, "starts_in_ms",
				json_integer((json_int_t)(at_ms - now_ms)));
		}
	}
	json_object_set_new(json, "held_by", holders);
	return json;
}
