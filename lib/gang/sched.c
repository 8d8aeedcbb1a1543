#include <string.h>

#include "fireflyledge/sched.h"

static bool ours(const ffl_sched_t *s, const ffl_job_t *job);

void ffl_sched_init(ffl_sched_t *s, const char *dc)
{
	memset(s, 0, sizeof(*s));
	ffl_copy(s->dc, sizeof(s->dc), dc);
}

void ffl_sched_finish(ffl_sched_t *s)
{
	s->next = 0;
}

static bool ours(const ffl_sched_t *s, const ffl_job_t *job)
{
	return ffl_job_in_cell(job, s->dc);
}

void ffl_sched_begin(ffl_sched_t *s, uint64_t now_ms)
{
	s->next = 0;
}

bool ffl_sched_next(ffl_sched_t *s, ffl_gangs_t *g, ffl_fleet_t *fleet,
		    const ffl_config_t *cfg, uint64_t now_ms,
		    ffl_decision_t *out)
{
	while (s->next < g->open->len) {
		ffl_job_t *job = g_array_index(g->open, ffl_job_t *, s->next++);

		if (job->state != FFL_JOB_QUEUED || job->cancelled ||
		    !ours(s, job))
			continue;
		if (ffl_place(fleet, s->dc, &job->spec, &out->place) != FFL_OK)
			continue;
		out->kind = FFL_DECIDE_START;
		out->job = job;
		out->for_job = 0;
		out->why = "first in the queue that fits";
		return true;
	}
	return false;
}
