/**
 * @file admit.c
 * @brief Admission check of submitted jobs against quota and fleet.
 */
#include <string.h>

#include "fireflyledge/gang.h"

/** Longest run time that a job may declare: a year, in milliseconds. */
#define DECLARED_MAX_MS (365ULL * 24 * 3600 * 1000)

/** Largest shapes that the workers could form if they were all unused. */
typedef struct {
	const ffl_job_spec_t *spec;
	uint32_t workers; /**< with accelerators, of the job's data centre */
	uint32_t worker_accelerators; /**< most of one suitable worker */
	uint32_t window_accelerators; /**< most of one run of neighbours */
	uint32_t cores;		      /**< most for each accelerator */
	uint32_t memory_mb;	      /**< most for each accelerator */
} capacity_t;

static bool worker_fits_share(const ffl_job_spec_t *spec,
			      const ffl_worker_t *w);
static void measure_capacity(capacity_t *c, const ffl_fleet_t *fleet);
static void check_per_accelerator(const capacity_t *c, ffl_findings_t *fs);
static void check_shape(const capacity_t *c, ffl_findings_t *fs);

static bool worker_fits_share(const ffl_job_spec_t *spec, const ffl_worker_t *w)
{
	uint64_t n = w->info.accelerators;

	return n && spec->cores * n <= w->info.cores &&
	       spec->memory_mb * n <= w->info.memory_mb;
}

static void measure_capacity(capacity_t *c, const ffl_fleet_t *fleet)
{
	const ffl_worker_t *last = NULL;
	uint32_t run = 0;
	uint32_t members = 0;

	for (uint32_t i = 0; i < ffl_fleet_count(fleet); i++) {
		const ffl_worker_t *w = ffl_fleet_at(fleet, i);
		uint32_t n = w->info.accelerators;

		if ((c->spec->dc[0] && strcmp(c->spec->dc, w->info.dc) != 0) ||
		    !n)
			continue;
		c->workers++;
		c->cores = MAX(c->cores, w->info.cores / n);
		c->memory_mb = MAX(c->memory_mb, w->info.memory_mb / n);
		if (!worker_fits_share(c->spec, w)) {
			last = NULL;
			continue;
		}
		if (!last || members == FFL_GANG_MAX ||
		    !ffl_workers_adjacent(last, w, c->spec->adjacency))
			run = members = 0;
		run += n;
		members++;
		last = w;
		c->worker_accelerators = MAX(c->worker_accelerators, n);
		c->window_accelerators = MAX(c->window_accelerators, run);
	}
}

static void check_per_accelerator(const capacity_t *c, ffl_findings_t *fs)
{
	if (c->spec->cores > c->cores) {
		ffl_findings_add(fs, FFL_MSG_IMPOSSIBLE_JOB, "cores", 0, 0,
				 "%u cores for each accelerator; "
				 "workers have at most %u",
				 c->spec->cores, c->cores);
		ffl_findings_add(fs, FFL_MSG_NEAREST_SHAPE, "cores", 0, 0,
				 "%u cores for each accelerator", c->cores);
	}
	if (c->spec->memory_mb > c->memory_mb) {
		ffl_findings_add(fs, FFL_MSG_IMPOSSIBLE_JOB, "memory_mb", 0, 0,
				 "%u MB for each accelerator; "
				 "workers have at most %u",
				 c->spec->memory_mb, c->memory_mb);
		ffl_findings_add(fs, FFL_MSG_NEAREST_SHAPE, "memory_mb", 0, 0,
				 "%u MB for each accelerator", c->memory_mb);
	}
}

static void check_shape(const capacity_t *c, ffl_findings_t *fs)
{
	uint32_t most =
		c->spec->adjacency == FFL_ADJ_WORKER
			? c->worker_accelerators
			: MAX(c->worker_accelerators, c->window_accelerators);

	if (c->spec->accelerators <= most)
		return;
	ffl_findings_add(fs, FFL_MSG_IMPOSSIBLE_JOB, "accelerators", 0, 0,
			 "%u by adjacency %s; the largest block has %u",
			 c->spec->accelerators,
			 ffl_adjacency_name(c->spec->adjacency), most);
	if (most)
		ffl_findings_add(fs, FFL_MSG_NEAREST_SHAPE, "accelerators", 0,
				 0, "%u accelerators by adjacency %s", most,
				 ffl_adjacency_name(c->spec->adjacency));
}

ffl_status_t ffl_job_check(const ffl_job_spec_t *spec, const ffl_config_t *cfg,
			   const ffl_fleet_t *fleet, ffl_findings_t *fs)
{
	const ffl_customer_t *customer =
		ffl_config_customer(cfg, spec->customer);
	uint32_t before = fs->errors;
	capacity_t c = { .spec = spec };

	if (!spec->name[0])
		ffl_findings_add(fs, FFL_MSG_MISSING, "name", 0, 0,
				 "a job needs a name, unique for its customer");
	if (!customer)
		ffl_findings_add(fs, FFL_MSG_UNKNOWN_CUSTOMER, "customer", 0, 0,
				 "\"%s\"", spec->customer);
	if (!spec->accelerators)
		ffl_findings_add(fs, FFL_MSG_OUT_OF_RANGE, "accelerators", 0, 0,
				 "a job needs at least one accelerator");
	if (customer && customer->quota_accelerators &&
	    spec->accelerators > customer->quota_accelerators)
		ffl_findings_add(fs, FFL_MSG_IMPOSSIBLE_JOB, "accelerators", 0,
				 0,
				 "%u accelerators; the quota of \"%s\" is %u",
				 spec->accelerators, spec->customer,
				 customer->quota_accelerators);
	measure_capacity(&c, fleet);
	if (!c.workers) {
		ffl_findings_add(fs, FFL_MSG_UNKNOWN_DC, "dc", 0, 0,
				 "\"%s\" has no workers", spec->dc);
		fs->errors++;
		return FFL_INVALID;
	}
	check_per_accelerator(&c, fs);
	if (spec->cores <= c.cores && spec->memory_mb <= c.memory_mb)
		check_shape(&c, fs);
	return fs->errors > before ? FFL_INVALID : FFL_OK;
}
