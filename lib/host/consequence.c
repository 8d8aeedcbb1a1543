/* What follows from a change, as findings; the gravest one comes first. */
#include <string.h>

#include "lib/host/plan_int.h"

/** Jobs named in one plan at most. */
#define JOBS_NAMED_MAX 32
/** A cell drained beyond one part in this many needs a second look. */
#define DRAIN_PARTS 4

static uint32_t guaranteed(const ffl_host_t *h, const char *customer,
			   uint32_t *shapes);
static void find_customer_blast(ffl_plan_t *p, const ffl_host_t *h);
static void find_guarantee_blast(ffl_plan_t *p, const ffl_host_t *h);
static void find_drain_blast(ffl_plan_t *p, const ffl_host_t *h,
			     const ffl_worker_t *w);
static void find_unmet(ffl_plan_t *p, const ffl_host_t *h, const char *dc);
static void find_jobs(ffl_plan_t *p, const ffl_host_t *h);
static void find_drain(ffl_plan_t *p, const ffl_host_t *h);
static void find_guarantee(ffl_plan_t *p, const ffl_host_t *h);
static bool known_dc(const ffl_host_t *h, const char *dc);

static uint32_t guaranteed(const ffl_host_t *h, const char *customer,
			   uint32_t *shapes)
{
	uint32_t sum = 0;

	*shapes = 0;
	for (guint i = 0; i < h->config.guarantees->len; i++) {
		const ffl_guarantee_t *g = &g_array_index(h->config.guarantees,
							  ffl_guarantee_t, i);

		if (strcmp(g->customer, customer) != 0)
			continue;
		sum += g->count * g->accelerators;
		(*shapes)++;
	}
	return sum;
}

static void find_customer_blast(ffl_plan_t *p, const ffl_host_t *h)
{
	uint32_t quota = p->after.quota_accelerators;
	uint32_t shapes;
	uint32_t sum = guaranteed(h, p->after.name, &shapes);

	if (p->after.remove || !quota || quota >= sum)
		return;
	p->blast_radius = sum - quota;
	ffl_findings_add(&p->findings, FFL_MSG_BLAST_RADIUS,
			 "quota_accelerators", 0, 0,
			 "quota %u is below the %u accelerators guaranteed to "
			 "\"%s\"; confirm with blast_radius %u",
			 quota, sum, p->after.name, p->blast_radius);
}

static void find_guarantee_blast(ffl_plan_t *p, const ffl_host_t *h)
{
	uint32_t shapes;
	uint32_t sum = guaranteed(h, p->after.name, &shapes);

	if (!p->after.remove || p->before.remove || shapes != 1)
		return;
	p->blast_radius = sum;
	ffl_findings_add(&p->findings, FFL_MSG_BLAST_RADIUS, "count", 0, 0,
			 "removes the last guarantee of \"%s\", %u "
			 "accelerators; confirm with blast_radius %u",
			 p->after.name, sum, sum);
}

static void find_drain_blast(ffl_plan_t *p, const ffl_host_t *h,
			     const ffl_worker_t *w)
{
	uint32_t total = 0;
	uint32_t out = w->info.accelerators;

	for (uint32_t i = 0; i < ffl_fleet_count(&h->fleet); i++) {
		const ffl_worker_t *o = ffl_fleet_at(&h->fleet, i);

		if (strcmp(o->info.dc, w->info.dc) != 0)
			continue;
		total += o->info.accelerators;
		if (o != w &&
		    (o->info.leaving ||
		     ffl_config_host_drained(&h->config, o->info.name)))
			out += o->info.accelerators;
	}
	if ((uint64_t)out * DRAIN_PARTS <= total)
		return;
	p->blast_radius = out;
	ffl_findings_add(&p->findings, FFL_MSG_BLAST_RADIUS, "name", 0, 0,
			 "leaves %u of %u accelerators of %s drained; confirm "
			 "with blast_radius %u",
			 out, total, w->info.dc, out);
}

static bool known_dc(const ffl_host_t *h, const char *dc)
{
	for (uint32_t i = 0; i < ffl_fleet_count(&h->fleet); i++) {
		if (strcmp(ffl_fleet_at(&h->fleet, i)->info.dc, dc) == 0)
			return true;
	}
	return false;
}

/* A plan is refused only for what it makes worse itself. */
static void find_unmet(ffl_plan_t *p, const ffl_host_t *h, const char *dc)
{
	uint32_t capacity;
	uint32_t before = ffl_cell_unmet(h, dc, NULL, &capacity);
	uint32_t after = ffl_cell_unmet(h, dc, &p->after, &capacity);

	if (after > before)
		ffl_findings_add(&p->findings, FFL_MSG_GUARANTEE_UNMET, "dc", 0,
				 0,
				 "%u guaranteed shapes of %s would have no "
				 "place of their own, %u have none now",
				 after, dc, before);
	ffl_findings_add(&p->findings, FFL_MSG_CAPACITY_AFTER, "dc", 0, 0,
			 "%u accelerators in %s", capacity, dc);
}

static void find_jobs(ffl_plan_t *p, const ffl_host_t *h)
{
	uint32_t found = 0;

	for (guint i = 0; i < h->gangs.open->len; i++) {
		const ffl_job_t *job =
			g_array_index(h->gangs.open, ffl_job_t *, i);
		bool there = false;

		for (uint32_t j = 0; j < job->part_count && !there; j++)
			there = strcmp(job->parts[j].worker, p->after.name) ==
				0;
		if (!there || found++ >= JOBS_NAMED_MAX)
			continue;
		ffl_findings_add(&p->findings, FFL_MSG_WOULD_PREEMPT, "name", 0,
				 0, "job %llu \"%s\" of \"%s\" is on it",
				 (unsigned long long)job->id, job->spec.name,
				 job->spec.customer);
	}
	if (found > JOBS_NAMED_MAX)
		ffl_findings_add(&p->findings, FFL_MSG_WOULD_PREEMPT, "name", 0,
				 0, "%u jobs are on it in all", found);
}

static void find_drain(ffl_plan_t *p, const ffl_host_t *h)
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
		find_drain_blast(p, h, w);
		find_jobs(p, h);
	}
	find_unmet(p, h, w->info.dc);
}

static void find_guarantee(ffl_plan_t *p, const ffl_host_t *h)
{
	find_guarantee_blast(p, h);
	if (!known_dc(h, p->after.dc))
		ffl_findings_add(&p->findings, FFL_MSG_UNKNOWN_DC, "dc", 0, 0,
				 "\"%s\" has no worker", p->after.dc);
	find_unmet(p, h, p->after.dc);
}

void ffl_plan_find(ffl_plan_t *p, const ffl_host_t *h)
{
	switch (p->after.kind) {
	case FFL_INTENT_GUARANTEE:
		find_guarantee(p, h);
		break;
	case FFL_INTENT_DRAIN:
		find_drain(p, h);
		break;
	case FFL_INTENT_CUSTOMER:
		find_customer_blast(p, h);
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
