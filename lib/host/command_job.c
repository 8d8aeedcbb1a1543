/**
 * @file command_job.c
 * @brief Commands on jobs: list, submit, show, explain and cancel.
 */
#include <string.h>

#include "lib/host/command_int.h"

static bool job_visible(const ffl_command_ctx_t *c, const ffl_job_t *job);
static gint compare_jobs(gconstpointer a, gconstpointer b);
static const ffl_job_t *find_visible_job(ffl_host_t *h, ffl_command_ctx_t *c);

/* Operators see all jobs, callers only those of their customer. */
static bool job_visible(const ffl_command_ctx_t *c, const ffl_job_t *job)
{
	return c->operator_name ||
	       strcmp(c->customer->name, job->spec.customer) == 0;
}

static gint compare_jobs(gconstpointer pa, gconstpointer pb)
{
	const ffl_job_t *a = *(ffl_job_t *const *)pa;
	const ffl_job_t *b = *(ffl_job_t *const *)pb;

	return (a->id > b->id) - (a->id < b->id);
}

/* Lists the open jobs that the sender may see, by id, with their expected
 * start. */
void ffl_cmd_jobs(ffl_host_t *h, ffl_command_ctx_t *c)
{
	GArray *open = g_array_copy(h->gangs.open);
	json_t *array = json_array();

	g_array_sort(open, compare_jobs);
	for (guint i = 0; i < open->len; i++) {
		const ffl_job_t *job = g_array_index(open, ffl_job_t *, i);
		json_t *json;

		if (!job_visible(c, job))
			continue;
		json = ffl_job_to_json(job);
		ffl_sched_add_wait_json(job, c->now_ms, json);
		json_array_append_new(array, json);
	}
	g_array_free(open, TRUE);
	ffl_actions_answer(c->out, c->ev->id, 200, array);
}

void ffl_cmd_submit(ffl_host_t *h, ffl_command_ctx_t *c)
{
	ffl_record_t rec = { .kind = FFL_REC_JOB };
	const ffl_job_t *existing;
	ffl_findings_t fs;
	json_t *body = ffl_command_parse_body(c);

	if (!body)
		return;
	ffl_findings_init(&fs, "body");
	ffl_schema_from_json(&ffl_job_spec_schema, body, &rec.job, &fs);
	json_decref(body);
	if (c->customer)
		ffl_copy(rec.job.customer, sizeof(rec.job.customer),
			 c->customer->name);
	if (!rec.job.dc[0])
		ffl_copy(rec.job.cell, sizeof(rec.job.cell), h->opt.self.dc);
	ffl_job_check(&rec.job, &h->config, &h->fleet, &fs);
	existing =
		ffl_gangs_find_name(&h->gangs, rec.job.customer, rec.job.name);
	if (existing)
		ffl_actions_answer(c->out, c->ev->id, 200,
				   ffl_job_to_json(existing));
	else if (fs.errors)
		ffl_command_refuse_findings(c, &fs);
	else
		ffl_command_append_record(h, c, &rec, 0);
	ffl_findings_finish(&fs);
}

static const ffl_job_t *find_visible_job(ffl_host_t *h, ffl_command_ctx_t *c)
{
	const ffl_job_t *job = NULL;
	uint64_t id;

	if (ffl_parse_id(c->ev->arg, &id))
		job = ffl_gangs_find(&h->gangs, id);
	if (job && job_visible(c, job))
		return job;
	ffl_command_refuse(c, 404, "unknown-job", "job does not exist",
			   c->ev->arg);
	return NULL;
}

void ffl_cmd_job(ffl_host_t *h, ffl_command_ctx_t *c)
{
	const ffl_job_t *job = find_visible_job(h, c);

	if (job)
		ffl_actions_answer(c->out, c->ev->id, 200,
				   ffl_job_to_json(job));
}

void ffl_cmd_job_why(ffl_host_t *h, ffl_command_ctx_t *c)
{
	const ffl_job_t *job = find_visible_job(h, c);

	if (job)
		ffl_actions_answer(c->out, c->ev->id, 200,
				   ffl_sched_explain_json(&h->sched, &h->gangs,
							  &h->fleet, &h->config,
							  job, c->now_ms));
}

void ffl_cmd_cancel(ffl_host_t *h, ffl_command_ctx_t *c)
{
	const ffl_job_t *job = find_visible_job(h, c);
	ffl_record_t rec = { .kind = FFL_REC_JOB_CANCEL };

	if (!job)
		return;
	rec.job_cancel.job = job->id;
	ffl_copy(rec.job_cancel.who, sizeof(rec.job_cancel.who),
		 c->operator_name ? c->operator_name : c->customer->name);
	ffl_command_append_record(h, c, &rec, job->id);
}
