/**
 * @file plan_check.c
 * @brief Findings about the effects of a planned change, most severe first.
 */
#include <string.h>

#include "lib/host/plan_int.h"

/** Limit on jobs listed in one plan. */
#define JOBS_LISTED_MAX 32
/** A drain that leaves more than 1/DRAIN_FRACTION of a cell's accelerators
 * drained must be confirmed by number. */
#define DRAIN_FRACTION 4

static uint32_t guaranteed_accelerators(const ffl_host_t *h,
					const char *customer, uint32_t *count);
static void check_customer_blast_radius(ffl_plan_t *p, const ffl_host_t *h);
static void check_guarantee_blast_radius(ffl_plan_t *p, const ffl_host_t *h);
static void check_drain_blast_radius(ffl_plan_t *p, const ffl_host_t *h,
				     const ffl_worker_t *w);
static void check_unmet_guarantees(ffl_plan_t *p, const ffl_host_t *h,
				   const char *dc);
static void check_preempted_jobs(ffl_plan_t *p, const ffl_host_t *h);
static void check_drain(ffl_plan_t *p, const ffl_host_t *h);
static void check_guarantee(ffl_plan_t *p, const ffl_host_t *h);
static bool dc_has_workers(const ffl_host_t *h, const char *dc);

/* Returns the accelerators guaranteed to a customer, and the number of its
 * guarantees. */
static uint32_t guaranteed_accelerators(const ffl_host_t *h,
					const char *customer, uint32_t *count)
{
	uint32_t sum = 0;

	*count = 0;
	for (guint i = 0; i < h->config.guarantees->len; i++) {
		const ffl_guarantee_t *g = &g_array_index(h->config.guarantees,
							  ffl_guarantee_t, i);

		if (strcmp(g->customer, customer) != 0)
			continue;
		sum += g->count * g->accelerators;
		(*count)++;
	}
	return sum;
}

static void check_customer_blast_radius(ffl_plan_t *p, const ffl_host_t *h)
{
	uint32_t quota = p->after.quota_accelerators;
	uint32_t count;
	uint32_t sum = guaranteed_accelerators(h, p->after.name, &count);

	if (p->after.remove || !quota || quota >= sum)
		return;
	p->blast_radius = sum - quota;
	ffl_findings_add(&p->findings, FFL_MSG_BLAST_RADIUS,
			 "quota_accelerators", 0, 0,
			 "quota %u is below the %u accelerators guaranteed to "
			 "\"%s\"; confirm with blast_radius %u",
			 quota, sum, p->after.name, p->blast_radius);
}

static void check_guarantee_blast_radius(ffl_plan_t *p, const ffl_host_t *h)
{
	uint32_t count;
	uint32_t sum = guaranteed_accelerators(h, p->after.name, &count);

	if (!p->after.remove || p->before.remove || count != 1)
		return;
	p->blast_radius = sum;
	ffl_findings_add(&p->findings, FFL_MSG_BLAST_RADIUS, "count", 0, 0,
			 "removes the last guarantee of \"%s\", %u "
			 "accelerators; confirm with blast_radius %u",
			 p->after.name, sum, sum);
}

static void check_drain_blast_radius(ffl_plan_t *p, const ffl_host_t *h,
				     const ffl_worker_t *w)
{
	uint32_t total = 0;
	uint32_t drained = w->info.accelerators;

	for (uint32_t i = 0; i < ffl_fleet_count(&h->fleet); i++) {
		const ffl_worker_t *other = ffl_fleet_at(&h->fleet, i);

		if (strcmp(other->info.dc, w->info.dc) != 0)
			continue;
		total += other->info.accelerators;
		if (other != w &&
		    (other->info.leaving ||
		     ffl_config_host_drained(&h->config, other->info.name)))
			drained += other->info.accelerators;
	}
	if ((uint64_t)drained * DRAIN_FRACTION <= total)
		return;
	p->blast_radius = drained;
	ffl_findings_add(&p->findings, FFL_MSG_BLAST_RADIUS, "name", 0, 0,
			 "leaves %u of %u accelerators of %s drained; confirm "
			 "with blast_radius %u",
			 drained, total, w->info.dc, drained);
}

static bool dc_has_workers(const ffl_host_t *h, const char *dc)
{
	for (uint32_t i = 0; i < ffl_fleet_count(&h->fleet); i++) {
		if (strcmp(ffl_fleet_at(&h->fleet, i)->info.dc, dc) == 0)
			return true;
	}
	return false;
}

/* Reports unmet guarantees only if the plan adds some, so that shapes that do
 * not fit already don't block it. */
static void check_unmet_guarantees(ffl_plan_t *p, const ffl_host_t *h,
				   const char *dc)
{
	uint32_t capacity;
	uint32_t before = ffl_cell_unmet_guarantees(h, dc, NULL, &capacity);
	uint32_t after = ffl_cell_unmet_guarantees(h, dc, &p->after, &capacity);

	if (after > before)
		ffl_findings_add(&p->findings, FFL_MSG_GUARANTEE_UNMET, "dc", 0,
				 0,
				 "%u guaranteed shapes of %s would not fit, "
				 "%u do not fit now",
				 after, dc, before);
	ffl_findings_add(&p->findings, FFL_MSG_CAPACITY_AFTER, "dc", 0, 0,
			 "%u accelerators in %s", capacity, dc);
}

static void check_preempted_jobs(ffl_plan_t *p, const ffl_host_t *h)
{
	uint32_t found = 0;

	for (guint i = 0; i < h->gangs.open->len; i++) {
		const ffl_job_t *job =
			g_array_index(h->gangs.open, ffl_job_t *, i);
		bool on_worker = false;

		for (uint32_t j = 0; j < job->part_count && !on_worker; j++)
			on_worker = strcmp(job->parts[j].worker,
					   p->after.name) == 0;
		if (!on_worker || found++ >= JOBS_LISTED_MAX)
			continue;
		ffl_findings_add(&p->findings, FFL_MSG_WOULD_PREEMPT, "name", 0,
				 0, "job %llu \"%s\" of \"%s\" has parts on it",
				 (unsigned long long)job->id, job->spec.name,
				 job->spec.customer);
	}
	if (found > JOBS_LISTED_MAX)
		ffl_findings_add(&p->findings, FFL_MSG_WOULD_PREEMPT, "name", 0,
				 0, "%u jobs have parts on it in total", found);
}

static void check_drain(ffl_plan_t *p, const ffl_host_t *h)
{
	const ffl_worker_t *w = ffl_fleet_find(&h->fleet, p->after.name);

	if (!w) {
		if (!ffl_upstreams_find(&h->requests.upstreams, p->after.name))
			ffl_findings_add(&p->findings, FFL_MSG_UNKNOWN_HOST,
					 "name", 0, 0,
					 "\"%s\" is not in the list of hosts",
					 p->after.name);
		return;
	}
	if (!p->after.remove && p->before.remove) {
		check_drain_blast_radius(p, h, w);
		check_preempted_jobs(p, h);
	}
	check_unmet_guarantees(p, h, w->info.dc);
}

static void check_guarantee(ffl_plan_t *p, const ffl_host_t *h)
{
	check_guarantee_blast_radius(p, h);
	if (!dc_has_workers(h, p->after.dc))
		ffl_findings_add(&p->findings, FFL_MSG_UNKNOWN_DC, "dc", 0, 0,
				 "\"%s\" has no worker", p->after.dc);
	check_unmet_guarantees(p, h, p->after.dc);
}

void ffl_plan_check(ffl_plan_t *p, const ffl_host_t *h)
{
	switch (p->after.kind) {
	case FFL_INTENT_GUARANTEE:
		check_guarantee(p, h);
		break;
	case FFL_INTENT_DRAIN:
		check_drain(p, h);
		break;
	case FFL_INTENT_CUSTOMER:
		check_customer_blast_radius(p, h);
		break;
	case FFL_INTENT_OPERATOR:
		if (p->after.remove && !p->before.remove &&
		    h->config.operators->len == 1)
			ffl_findings_add(
				&p->findings, FFL_MSG_BAD_VALUE, "remove", 0, 0,
				"\"%s\" is the last operator", p->after.name);
		break;
	default:
		break;
	}
}
