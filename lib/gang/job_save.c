/**
 * @file job_save.c
 * @brief Saving and loading of jobs.
 *
 * Only what was folded from the log is saved; what runs where is learned from
 * the workers.
 */
#include <string.h>

#include "fireflyledge/gang.h"
#include "fireflyledge/save.h"
#include "lib/gang/gang_int.h"
#include "lib/wire/fields.h"

/** Most jobs of a saved state; a larger count is damaged input. */
#define JOBS_MAX (1U << 20)

/** State of a job that was folded from the log. */
typedef struct {
	uint64_t id;
	uint64_t assigned;
	ffl_name_t cell;
	bool cancelled;
	bool ended;
	ffl_end_t end;
	char result[FFL_PAYLOAD_BYTES];
} saved_t;

static gint compare_jobs(gconstpointer a, gconstpointer b);
static void save_job(const ffl_job_t *job, GByteArray *out);
static void restore_job(ffl_gangs_t *g, const saved_t *s,
			const ffl_job_spec_t *spec, uint64_t now_ms);

static const ffl_field_t saved_fields[] = {
	FIELD_U64(saved_t, id),
	FIELD_U64(saved_t, assigned),
	FIELD_TEXT(saved_t, cell),
	FIELD_BOOL(saved_t, cancelled),
	FIELD_BOOL(saved_t, ended),
	FIELD_ENUM(saved_t, end, FFL_END__MAX, ffl_end_name),
	FIELD_TEXT(saved_t, result),
};

static const ffl_schema_t saved_schema = SCHEMA(saved_t, saved_fields);

static gint compare_jobs(gconstpointer pa, gconstpointer pb)
{
	const ffl_job_t *a = *(ffl_job_t *const *)pa;
	const ffl_job_t *b = *(ffl_job_t *const *)pb;

	return (a->id > b->id) - (a->id < b->id);
}

static void save_job(const ffl_job_t *job, GByteArray *out)
{
	saved_t s = { .id = job->id,
		      .assigned = job->assigned_offset,
		      .cancelled = job->cancelled,
		      .ended = job->state == FFL_JOB_ENDED };

	ffl_copy(s.cell, sizeof(s.cell), job->cell);
	if (s.ended) {
		s.end = job->end;
		ffl_copy(s.result, sizeof(s.result), job->result);
	}
	ffl_schema_encode(&saved_schema, &s, out);
	ffl_schema_encode(&ffl_job_spec_schema, &job->spec, out);
}

void ffl_gangs_save(const ffl_gangs_t *g, GByteArray *out)
{
	GPtrArray *jobs = g_ptr_array_new();
	GHashTableIter it;
	gpointer job;

	g_hash_table_iter_init(&it, g->by_id);
	while (g_hash_table_iter_next(&it, &job, NULL))
		g_ptr_array_add(jobs, job);
	g_ptr_array_sort(jobs, compare_jobs);
	ffl_save_u64(jobs->len, out);
	for (guint i = 0; i < jobs->len; i++)
		save_job(g_ptr_array_index(jobs, i), out);
	g_ptr_array_free(jobs, TRUE);
}

/* Folds records that lead to the saved state. */
static void restore_job(ffl_gangs_t *g, const saved_t *s,
			const ffl_job_spec_t *spec, uint64_t now_ms)
{
	ffl_record_t rec = { .kind = FFL_REC_JOB };
	ffl_job_t *job;

	rec.job = *spec;
	ffl_gangs_fold(g, NULL, s->id, &rec, now_ms);
	job = ffl_job_find(g, s->id);
	if (!job)
		return;
	ffl_copy(job->cell, sizeof(job->cell), s->cell);
	job->assigned_offset = s->assigned;
	job->cancelled = s->cancelled;
	if (!s->ended)
		return;
	memset(&rec, 0, sizeof(rec));
	rec.kind = FFL_REC_JOB_END;
	rec.job_end.job = s->id;
	rec.job_end.end = s->end;
	ffl_copy(rec.job_end.result, sizeof(rec.job_end.result), s->result);
	ffl_gangs_fold(g, NULL, s->id, &rec, now_ms);
}

ffl_status_t ffl_gangs_load(ffl_gangs_t *g, ffl_bytes_t in, size_t *used_bytes,
			    uint64_t now_ms)
{
	ffl_job_spec_t spec;
	ffl_loader_t l;
	uint64_t count = 0;
	saved_t s;

	ffl_loader_init(&l, in);
	ffl_load_u64(&l, &count, JOBS_MAX);
	for (uint64_t i = 0; i < count; i++) {
		if (!ffl_load(&l, &saved_schema, &s) ||
		    !ffl_load(&l, &ffl_job_spec_schema, &spec))
			break;
		restore_job(g, &s, &spec, now_ms);
	}
	*used_bytes = l.used_bytes;
	ffl_loader_finish(&l);
	return l.status;
}
