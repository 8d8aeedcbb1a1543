#include <string.h>

#include "fireflyledge/gang.h"
#include "lib/gang/gang_int.h"

static const char *const state_names[FFL_JOB__MAX] = {
	[FFL_JOB_QUEUED] = "queued",	 [FFL_JOB_HOLDING] = "holding",
	[FFL_JOB_STARTING] = "starting", [FFL_JOB_RUNNING] = "running",
	[FFL_JOB_STOPPING] = "stopping", [FFL_JOB_ENDED] = "ended",
};

static void job_free(gpointer p);
static guint job_hash(gconstpointer p);
static gboolean job_equal(gconstpointer a, gconstpointer b);
static guint name_hash(gconstpointer p);
static gboolean name_equal(gconstpointer a, gconstpointer b);
static void fold_submit(ffl_gangs_t *g, uint64_t offset,
			const ffl_job_spec_t *spec, uint64_t now_ms);
static void leave_open(ffl_gangs_t *g, ffl_job_t *job);
static void keep_ended(ffl_gangs_t *g, ffl_job_t *job);
static void fold_end(ffl_gangs_t *g, const ffl_job_end_t *end, uint64_t now_ms);

const char *ffl_job_state_name(uint32_t state)
{
	return state < FFL_JOB__MAX ? state_names[state] : "?";
}

static void job_free(gpointer p)
{
	ffl_job_t *job = p;

	g_free(job->parts);
	g_free(job);
}

static guint job_hash(gconstpointer p)
{
	return (guint)ffl_mix(((const ffl_job_t *)p)->id, 0);
}

static gboolean job_equal(gconstpointer a, gconstpointer b)
{
	return ((const ffl_job_t *)a)->id == ((const ffl_job_t *)b)->id;
}

static guint name_hash(gconstpointer p)
{
	const ffl_job_t *job = p;
	uint64_t h =
		ffl_hash(job->spec.customer, strlen(job->spec.customer), 0);

	return (guint)ffl_hash(job->spec.name, strlen(job->spec.name), h);
}

static gboolean name_equal(gconstpointer pa, gconstpointer pb)
{
	const ffl_job_t *a = pa;
	const ffl_job_t *b = pb;

	return strcmp(a->spec.name, b->spec.name) == 0 &&
	       strcmp(a->spec.customer, b->spec.customer) == 0;
}

void ffl_gangs_init(ffl_gangs_t *g, uint32_t lease_ms)
{
	memset(g, 0, sizeof(*g));
	g->by_id = g_hash_table_new_full(job_hash, job_equal, job_free, NULL);
	g->by_name = g_hash_table_new(name_hash, name_equal);
	g->open = g_array_new(FALSE, TRUE, sizeof(ffl_job_t *));
	g_queue_init(&g->ended);
	ffl_learn_init(&g->learn);
	g->next_call = 1;
	g->lease_ms = lease_ms;
	g->renew_ms = lease_ms / 3;
}

void ffl_gangs_finish(ffl_gangs_t *g)
{
	ffl_learn_finish(&g->learn);
	g_queue_clear(&g->ended);
	g_hash_table_destroy(g->by_name);
	g_hash_table_destroy(g->by_id);
	g_array_free(g->open, TRUE);
}

const ffl_job_t *ffl_gangs_find(const ffl_gangs_t *g, uint64_t id)
{
	return ffl_job_find(g, id);
}

ffl_job_t *ffl_job_find(const ffl_gangs_t *g, uint64_t id)
{
	ffl_job_t probe = { .id = id };

	return g_hash_table_lookup(g->by_id, &probe);
}

const ffl_job_t *ffl_gangs_find_name(const ffl_gangs_t *g, const char *customer,
				     const char *name)
{
	ffl_job_t probe = { .id = 0 };

	ffl_copy(probe.spec.customer, sizeof(probe.spec.customer), customer);
	ffl_copy(probe.spec.name, sizeof(probe.spec.name), name);
	return g_hash_table_lookup(g->by_name, &probe);
}

static void fold_submit(ffl_gangs_t *g, uint64_t offset,
			const ffl_job_spec_t *spec, uint64_t now_ms)
{
	ffl_job_t *job;

	if (ffl_gangs_find_name(g, spec->customer, spec->name))
		return;
	job = g_new0(ffl_job_t, 1);
	job->id = offset;
	job->spec = *spec;
	job->queued_ms = now_ms;
	job->since_ms = now_ms;
	job->customer_hash =
		ffl_hash(spec->customer, strlen(spec->customer), 0);
	job->open_index = g->open->len;
	g_hash_table_add(g->by_id, job);
	g_hash_table_add(g->by_name, job);
	g_array_append_val(g->open, job);
}

/* The last open job takes the place of the one that leaves. */
static void leave_open(ffl_gangs_t *g, ffl_job_t *job)
{
	ffl_job_t *last = g_array_index(g->open, ffl_job_t *, g->open->len - 1);

	g_array_index(g->open, ffl_job_t *, job->open_index) = last;
	last->open_index = job->open_index;
	g_array_set_size(g->open, g->open->len - 1);
}

static void keep_ended(ffl_gangs_t *g, ffl_job_t *job)
{
	g_queue_push_tail(&g->ended, job);
	if (g->ended.length <= FFL_JOBS_ENDED_MAX)
		return;
	job = g_queue_pop_head(&g->ended);
	g_hash_table_remove(g->by_name, job);
	g_hash_table_remove(g->by_id, job);
}

static void fold_end(ffl_gangs_t *g, const ffl_job_end_t *end, uint64_t now_ms)
{
	ffl_job_t *job = ffl_job_find(g, end->job);

	if (!job || job->state == FFL_JOB_ENDED)
		return;
	if (end->end == FFL_END_DONE && job->state == FFL_JOB_RUNNING)
		ffl_learn_observe(&g->learn, &job->spec,
				  job->progress_ms + now_ms - job->since_ms);
	job->state = FFL_JOB_ENDED;
	job->end = end->end;
	job->unit = 0;
	ffl_copy(job->result, sizeof(job->result), end->result);
	leave_open(g, job);
	keep_ended(g, job);
}

void ffl_gangs_fold(ffl_gangs_t *g, uint64_t offset, const ffl_record_t *rec,
		    uint64_t now_ms)
{
	ffl_job_t *job;

	g->version++;
	switch (rec->kind) {
	case FFL_REC_JOB:
		fold_submit(g, offset, &rec->job, now_ms);
		break;
	case FFL_REC_JOB_CANCEL:
		job = ffl_job_find(g, rec->job_cancel.job);
		if (job)
			job->cancelled = true;
		break;
	case FFL_REC_JOB_END:
		fold_end(g, &rec->job_end, now_ms);
		break;
	default:
		break;
	}
}

json_t *ffl_job_to_json(const ffl_job_t *job)
{
	json_t *parts = json_array();

	for (uint32_t i = 0; i < job->part_count; i++)
		json_array_append_new(
			parts,
			json_pack("{s:s,s:I}", "worker", job->parts[i].worker,
				  "slots", (json_int_t)job->parts[i].slots));
	return json_pack(
		"{s:I,s:s,s:s,s:i,s:s,s:s,s:i,s:b,s:s,s:s,s:o}", "id",
		(json_int_t)job->id, "customer", job->spec.customer, "name",
		job->spec.name, "accelerators", (int)job->spec.accelerators,
		"urgency", ffl_urgency_name(job->spec.urgency), "state",
		ffl_job_state_name(job->state), "incarnation",
		(int)job->incarnation, "cancelled", job->cancelled, "end",
		job->state == FFL_JOB_ENDED ? ffl_end_name(job->end) : "",
		"result", job->result, "parts", parts);
}
