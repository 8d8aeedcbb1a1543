/**
 * @file job.c
 * @brief The set of jobs, folded from the records of the log.
 */
#include <string.h>

#include "fireflyledge/gang.h"
#include "lib/gang/gang_int.h"

static const char *const state_names[FFL_JOB__MAX] = {
	[FFL_JOB_QUEUED] = "queued",	 [FFL_JOB_HOLDING] = "holding",
	[FFL_JOB_STARTING] = "starting", [FFL_JOB_RUNNING] = "running",
	[FFL_JOB_STOPPING] = "stopping", [FFL_JOB_RECOVERING] = "recovering",
	[FFL_JOB_MOVING] = "moving",	 [FFL_JOB_ENDED] = "ended",
};

static void job_free(gpointer p);
static guint job_hash(gconstpointer p);
static gboolean job_equal(gconstpointer a, gconstpointer b);
static guint name_hash(gconstpointer p);
static gboolean name_equal(gconstpointer a, gconstpointer b);
static void fold_submit(ffl_gangs_t *g, uint64_t offset,
			const ffl_job_spec_t *spec, uint64_t now_ms);
static void remove_open(ffl_gangs_t *g, ffl_job_t *job);
static void add_to_history(ffl_gangs_t *g, ffl_job_t *job);
static bool is_outdated_end(const ffl_members_t *ms, const ffl_job_t *job,
			    const ffl_job_end_t *end);
static void fold_end(ffl_gangs_t *g, const ffl_members_t *ms,
		     const ffl_job_end_t *end, uint64_t now_ms);
static void fold_move(ffl_gangs_t *g, const ffl_members_t *ms, uint64_t offset,
		      const ffl_job_move_t *move, uint64_t now_ms);

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

bool ffl_job_in_cell(const ffl_job_t *job, const char *dc)
{
	return strcmp(job->cell, dc) == 0;
}

void ffl_gangs_init(ffl_gangs_t *g, uint32_t lease_ms)
{
	memset(g, 0, sizeof(*g));
	ffl_gang_times_init(&g->times, lease_ms);
	g->by_id = g_hash_table_new_full(job_hash, job_equal, job_free, NULL);
	g->by_name = g_hash_table_new(name_hash, name_equal);
	g->open = g_array_new(FALSE, TRUE, sizeof(ffl_job_t *));
	g_queue_init(&g->history);
	ffl_learn_init(&g->learn);
	g->next_call = 1;
	g->ended_with_parts = g_ptr_array_new();
	g->deputy_tasks = g_array_new(FALSE, TRUE, sizeof(ffl_deputy_task_t));
}

void ffl_gangs_finish(ffl_gangs_t *g)
{
	ffl_learn_finish(&g->learn);
	g_queue_clear(&g->history);
	g_hash_table_destroy(g->by_name);
	g_hash_table_destroy(g->by_id);
	g_array_free(g->open, TRUE);
	g_ptr_array_free(g->ended_with_parts, TRUE);
	g_array_free(g->deputy_tasks, TRUE);
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
	ffl_copy(job->cell, sizeof(job->cell),
		 spec->dc[0] ? spec->dc : spec->cell);
	job->assigned_offset = offset;
	job->queued_ms = now_ms;
	job->since_ms = now_ms;
	job->customer_hash =
		ffl_hash(spec->customer, strlen(spec->customer), 0);
	job->open_index = g->open->len;
	g_hash_table_add(g->by_id, job);
	g_hash_table_add(g->by_name, job);
	g_array_append_val(g->open, job);
}

/* Moves the last open job into the place of the one that is removed. */
static void remove_open(ffl_gangs_t *g, ffl_job_t *job)
{
	ffl_job_t *last = g_array_index(g->open, ffl_job_t *, g->open->len - 1);

	g_array_index(g->open, ffl_job_t *, job->open_index) = last;
	last->open_index = job->open_index;
	g_array_set_size(g->open, g->open->len - 1);
}

/* Adds an ended job. Beyond the bound the oldest is freed, unless it still
 * has parts: then it goes to the end. */
static void add_to_history(ffl_gangs_t *g, ffl_job_t *job)
{
	g_queue_push_tail(&g->history, job);
	if (g->history.length <= FFL_JOBS_ENDED_MAX)
		return;
	job = g_queue_pop_head(&g->history);
	if (job->part_count) {
		g_queue_push_tail(&g->history, job);
		return;
	}
	g_hash_table_remove(g->by_name, job);
	g_hash_table_remove(g->by_id, job);
}

/* Returns true if an earlier leader has judged a job that the present leader of
 * its cell may run. Its append may be carried out late. Success and
 * cancellation stay true whoever reports them. */
static bool is_outdated_end(const ffl_members_t *ms, const ffl_job_t *job,
			    const ffl_job_end_t *end)
{
	const ffl_cell_t *c = ms ? ffl_members_find_cell(ms, job->cell) : NULL;

	return c && c->epoch != end->epoch &&
	       (end->end == FFL_END_FAILED || end->end == FFL_END_IMPOSSIBLE);
}

static void fold_end(ffl_gangs_t *g, const ffl_members_t *ms,
		     const ffl_job_end_t *end, uint64_t now_ms)
{
	ffl_job_t *job = ffl_job_find(g, end->job);

	if (!job || job->state == FFL_JOB_ENDED ||
	    is_outdated_end(ms, job, end))
		return;
	if (end->end == FFL_END_DONE && job->state == FFL_JOB_RUNNING)
		ffl_learn_observe(&g->learn, &job->spec,
				  job->progress_ms + now_ms - job->since_ms);
	job->state = FFL_JOB_ENDED;
	job->end = end->end;
	job->unit = 0;
	ffl_copy(job->result, sizeof(job->result), end->result);
	if (job->part_count)
		g_ptr_array_add(g->ended_with_parts, job);
	remove_open(g, job);
	add_to_history(g, job);
}

/* Only the current leader of a job's cell may move it away: then no other
 * leader of that cell can have started it in the meantime. */
static void fold_move(ffl_gangs_t *g, const ffl_members_t *ms, uint64_t offset,
		      const ffl_job_move_t *move, uint64_t now_ms)
{
	ffl_job_t *job = ffl_job_find(g, move->job);
	const ffl_cell_t *from = ffl_members_find_cell(ms, move->from);
	const ffl_cell_t *to = ffl_members_find_cell(ms, move->to);

	if (!job || job->state == FFL_JOB_ENDED)
		return;
	if (job->state == FFL_JOB_MOVING) {
		job->state = FFL_JOB_QUEUED;
		job->since_ms = now_ms;
	}
	if (!from || !to || from->epoch != move->epoch || job->spec.dc[0] ||
	    !ffl_job_in_cell(job, move->from))
		return;
	ffl_copy(job->cell, sizeof(job->cell), move->to);
	job->assigned_offset = offset;
}

void ffl_gangs_fold(ffl_gangs_t *g, const ffl_members_t *ms, uint64_t offset,
		    const ffl_record_t *rec, uint64_t now_ms)
{
	ffl_job_t *job;

	g->folded_offset = offset;
	g->dirty = true;
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
		fold_end(g, ms, &rec->job_end, now_ms);
		break;
	case FFL_REC_JOB_MOVE:
		fold_move(g, ms, offset, &rec->job_move, now_ms);
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
	return json_pack("{s:I,s:s,s:s,s:s,s:i,s:s,s:s,s:I,s:b,s:s,s:s,s:o}",
			 "id", (json_int_t)job->id, "cell", job->cell,
			 "customer", job->spec.customer, "name", job->spec.name,
			 "accelerators", (int)job->spec.accelerators, "urgency",
			 ffl_urgency_name(job->spec.urgency), "state",
			 ffl_job_state_name(job->state), "incarnation",
			 (json_int_t)job->incarnation, "cancelled",
			 job->cancelled, "end",
			 job->state == FFL_JOB_ENDED ? ffl_end_name(job->end)
						     : "",
			 "result", job->result, "parts", parts);
}
