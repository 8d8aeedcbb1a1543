#include <string.h>

#include "fakes/fake_cell.h"

/** Ends a pass whose decisions do not converge. */
#define PASS_DECISIONS_MAX 100000

static void release_slots(fake_cell_t *c, ffl_job_t *job);
static void start_job(fake_cell_t *c, const ffl_decision_t *d);
static void preempt_job(fake_cell_t *c, const ffl_decision_t *d);
static void record_end(fake_cell_t *c, uint64_t job, ffl_end_t end);
static void finish_stops(fake_cell_t *c);

void fake_cell_init(fake_cell_t *c, const fake_cell_size_t *size)
{
	memset(c, 0, sizeof(*c));
	ffl_config_init(&c->cfg);
	ffl_fleet_init(&c->fleet);
	ffl_gangs_init(&c->gangs, 10000);
	ffl_sched_init(&c->sched, FAKE_CELL_DC);
	c->infos = g_array_new(FALSE, TRUE, sizeof(ffl_host_info_t));
	c->lost = g_array_new(FALSE, TRUE, sizeof(bool));
	c->now_ms = 1000;
	c->offset = 1;
	for (uint32_t i = 0; i < size->racks * size->per_rack; i++) {
		ffl_host_info_t info = { .kind = FFL_HOST_WORKER,
					 .dc = FAKE_CELL_DC,
					 .rack = i / size->per_rack,
					 .position = i % size->per_rack,
					 .cores = size->cores,
					 .memory_mb = size->memory_mb,
					 .accelerators = size->accelerators };
		bool lost = false;

		g_snprintf(info.name, sizeof(info.name), "w%05u", i);
		g_array_append_val(c->infos, info);
		g_array_append_val(c->lost, lost);
	}
	fake_cell_send_host_list(c);
}

void fake_cell_finish(fake_cell_t *c)
{
	g_array_free(c->lost, TRUE);
	g_array_free(c->infos, TRUE);
	ffl_sched_finish(&c->sched);
	ffl_gangs_finish(&c->gangs);
	ffl_fleet_finish(&c->fleet);
	ffl_config_finish(&c->cfg);
}

void fake_cell_apply_intent(fake_cell_t *c, const ffl_intent_t *intent)
{
	ffl_record_t rec = { .kind = FFL_REC_INTENT, .intent = *intent };
	ffl_record_t confirm = { .kind = FFL_REC_CONFIRM };

	confirm.confirm.plan = c->offset;
	confirm.confirm.revision = c->cfg.revision;
	ffl_config_apply_intent(&c->cfg, c->offset++, &rec);
	ffl_config_apply_confirm(&c->cfg, c->offset++, &confirm);
	ffl_fleet_on_config(&c->fleet, &c->cfg);
}

void fake_cell_add_customer(fake_cell_t *c, const char *name, uint32_t weight,
			    uint32_t quota)
{
	ffl_intent_t in = { .kind = FFL_INTENT_CUSTOMER,
			    .weight = weight,
			    .quota_accelerators = quota };

	ffl_copy(in.name, sizeof(in.name), name);
	fake_cell_apply_intent(c, &in);
}

void fake_cell_add_guarantee(fake_cell_t *c, const char *customer,
			     uint32_t count, uint32_t accelerators,
			     ffl_adjacency_t adjacency)
{
	ffl_intent_t in = { .kind = FFL_INTENT_GUARANTEE,
			    .dc = FAKE_CELL_DC,
			    .count = count,
			    .accelerators = accelerators,
			    .adjacency = adjacency };

	ffl_copy(in.name, sizeof(in.name), customer);
	fake_cell_apply_intent(c, &in);
}

void fake_cell_send_host_list(fake_cell_t *c)
{
	GArray *listed = g_array_new(FALSE, TRUE, sizeof(ffl_host_info_t));
	ffl_host_list_t list;

	for (guint i = 0; i < c->infos->len; i++) {
		ffl_host_info_t *info =
			&g_array_index(c->infos, ffl_host_info_t, i);

		if (!g_array_index(c->lost, bool, i)) {
			g_array_append_val(listed, *info);
			continue;
		}
		for (guint n = c->gangs.open->len; n-- > 0;) {
			ffl_job_t *job =
				g_array_index(c->gangs.open, ffl_job_t *, n);

			for (uint32_t k = 0; k < job->part_count; k++) {
				if (strcmp(job->parts[k].worker, info->name))
					continue;
				fake_cell_requeue(c, job);
				break;
			}
		}
	}
	list.hosts.items = (void *)listed->data;
	list.hosts.count = listed->len;
	ffl_fleet_on_host_list(&c->fleet, &list, c->now_ms);
	ffl_fleet_on_config(&c->fleet, &c->cfg);
	for (uint32_t i = 0; i < ffl_fleet_count(&c->fleet); i++)
		ffl_fleet_at(&c->fleet, i)->adopted = true;
	g_array_free(listed, TRUE);
}

ffl_job_t *fake_cell_submit(fake_cell_t *c, const ffl_job_spec_t *spec)
{
	ffl_record_t rec = { .kind = FFL_REC_JOB, .job = *spec };
	uint64_t id = c->offset++;

	if (!rec.job.name[0])
		g_snprintf(rec.job.name, sizeof(rec.job.name), "j%llu",
			   (unsigned long long)id);
	ffl_copy(rec.job.dc, sizeof(rec.job.dc), FAKE_CELL_DC);
	ffl_gangs_fold(&c->gangs, NULL, id, &rec, c->now_ms);
	return (ffl_job_t *)ffl_gangs_find(&c->gangs, id);
}

static void release_slots(fake_cell_t *c, ffl_job_t *job)
{
	for (uint32_t i = 0; i < job->part_count; i++) {
		ffl_worker_t *w =
			ffl_fleet_find(&c->fleet, job->parts[i].worker);

		if (w)
			ffl_fleet_release_slots(&c->fleet, w,
						job->parts[i].slots);
	}
	g_free(job->parts);
	job->parts = NULL;
	job->part_count = 0;
}

static void record_end(fake_cell_t *c, uint64_t job, ffl_end_t end)
{
	ffl_record_t rec = { .kind = FFL_REC_JOB_END };

	rec.job_end.job = job;
	rec.job_end.end = end;
	ffl_gangs_fold(&c->gangs, NULL, c->offset++, &rec, c->now_ms);
}

void fake_cell_cancel(fake_cell_t *c, uint64_t id)
{
	ffl_record_t rec = { .kind = FFL_REC_JOB_CANCEL };
	ffl_job_t *job = (ffl_job_t *)ffl_gangs_find(&c->gangs, id);

	if (!job || job->state == FFL_JOB_ENDED)
		return;
	rec.job_cancel.job = id;
	ffl_gangs_fold(&c->gangs, NULL, c->offset++, &rec, c->now_ms);
	release_slots(c, job);
	record_end(c, id, FFL_END_CANCELLED);
}

void fake_cell_complete(fake_cell_t *c, uint64_t id)
{
	ffl_job_t *job = (ffl_job_t *)ffl_gangs_find(&c->gangs, id);

	release_slots(c, job);
	record_end(c, id, FFL_END_DONE);
}

void fake_cell_requeue(fake_cell_t *c, ffl_job_t *job)
{
	release_slots(c, job);
	job->state = FFL_JOB_QUEUED;
	job->since_ms = c->now_ms;
}

static void start_job(fake_cell_t *c, const ffl_decision_t *d)
{
	ffl_job_t *job = d->job;

	job->parts = g_new0(ffl_part_t, d->place.count);
	job->part_count = d->place.count;
	job->incarnation++;
	job->state = FFL_JOB_RUNNING;
	job->since_ms = c->now_ms;
	for (uint32_t i = 0; i < d->place.count; i++) {
		const ffl_block_t *b = &d->place.blocks[i];

		ffl_copy(job->parts[i].worker, sizeof(job->parts[i].worker),
			 b->worker->info.name);
		job->parts[i].slots = b->slots;
		job->parts[i].state = FFL_PART_RUNNING;
		ffl_fleet_reserve_slots(&c->fleet, b->worker, b->slots);
	}
}

static void preempt_job(fake_cell_t *c, const ffl_decision_t *d)
{
	ffl_job_t *job = d->job;
	uint64_t spent_ms = c->now_ms - job->since_ms;

	if (job->spec.checkpointable)
		job->progress_ms += spent_ms;
	else
		c->lost_accelerator_ms += spent_ms * job->spec.accelerators;
	job->since_ms = c->now_ms;
	if (c->stop_ms)
		job->state = FFL_JOB_STOPPING;
	else
		fake_cell_requeue(c, job);
}

static void finish_stops(fake_cell_t *c)
{
	for (guint i = 0; i < c->gangs.open->len; i++) {
		ffl_job_t *job = g_array_index(c->gangs.open, ffl_job_t *, i);

		if (job->state == FFL_JOB_STOPPING &&
		    c->now_ms - job->since_ms >= c->stop_ms)
			fake_cell_requeue(c, job);
	}
}

uint32_t fake_cell_run_pass(fake_cell_t *c)
{
	ffl_decision_t d;
	uint32_t n = 0;

	finish_stops(c);
	ffl_sched_begin_pass(&c->sched, c->now_ms);
	while (n < PASS_DECISIONS_MAX &&
	       ffl_sched_next(&c->sched, &c->gangs, &c->fleet, &c->cfg,
			      c->now_ms, &d)) {
		n++;
		if (c->on_decision)
			c->on_decision(c, &d, c->on_decision_arg);
		if (d.kind == FFL_DECISION_START)
			start_job(c, &d);
		else if (d.kind == FFL_DECISION_PREEMPT)
			preempt_job(c, &d);
		else
			record_end(c, d.job->id, FFL_END_IMPOSSIBLE);
	}
	c->decisions += n;
	return n;
}
