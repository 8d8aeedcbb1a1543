#include <stdlib.h>
#include <string.h>

#include "fakes/gang_mix.h"
#include "fireflyledge/rng.h"

#define HOUR_MS		 3600000ULL
#define FAULT_TICK_MS	 60000
#define STOP_MS		 500
#define FAIL_MS		 10000
#define OUTAGE_MS	 1800000
#define RECLAIM_BOUND_MS 2300
#define ACCELERATORS	 128
#define NEVER_MS	 UINT64_MAX
/** Offered load as a share of the accelerators of the cell. */
#define LOAD 0.92

/** A job of the mix; times are in virtual milliseconds, 0 for not yet. */
typedef struct {
	ffl_job_spec_t spec;
	uint64_t at_ms;	    /**< arrival */
	uint64_t run_ms;    /**< true run time */
	uint64_t cancel_ms; /**< NEVER_MS for a job that is not cancelled */
	uint64_t id;
	uint64_t first_start_ms; /**< first start */
	uint64_t end_ms;
	uint64_t preempted_ms; /**< first preemption in favour of this job */
} mix_job_t;

/** State of one run. */
typedef struct {
	fake_cell_t cell;
	ffl_rng_t rng;
	GArray *jobs;	   /**< of mix_job_t, in order of arrival */
	GHashTable *by_id; /**< index in jobs + 1, by job id */
	mix_t mix;
	guint next;
	uint32_t open;
	double free_time;
	double frag_time;
	double used_time;
	uint64_t last_ms;
	uint64_t arrivals_end_ms;
	uint64_t reclaim_max_ms;
	uint32_t late_reclaims;
	uint32_t failing_worker; /**< index of the worker that fails its jobs +
				   1; 0: none */
} mix_run_t;

static const char *const mix_names[MIX__MAX] = {
	[MIX_STEADY] = "steady",
	[MIX_SMALL_BURSTS] = "small-bursts",
	[MIX_LARGE_BURSTS] = "large-bursts",
	[MIX_WRONG_TIMES] = "wrong-times",
	[MIX_FAILURES] = "failures",
	[MIX_BLACK_HOLE] = "black-hole",
	[MIX_CANCELS] = "cancellations",
	[MIX_BATCH_FLOOD] = "batch-flood",
	[MIX_URGENT_FLOOD] = "urgent-flood",
};

static const char *const figure_names[MIX_FIGURE__MAX] = {
	"completion_mean",	 "completion_p95",
	"completion_small_mean", "completion_worker_mean",
	"completion_large_mean", "completion_large_p95",
	"largest_tenth_wait",	 "fragmentation",
	"utilisation",		 "urgent_start_p99",
	"preempted_work_lost",	 "reclaim_max",
	"reclaims_out_of_bound",
};

static const char *const figure_units[MIX_FIGURE__MAX] = {
	"s", "s", "s", "s", "s", "s", "s", "", "", "s", "accelerator hours",
	"s", "",
};

/** A kind of work: its mean run time and the factor by which users
 * overestimate it. */
typedef struct {
	const char *name;
	double mean_ms;
	double overestimate;
} work_kind_t;

static const work_kind_t work_kinds[] = {
	{ "reading", 120e3, 3 },
	{ "survey", 1200e3, 2 },
	{ "plan", 600e3, 5 },
	{ "model", 5400e3, 1.5 },
};
static const char *const customers[] = { "rocio", "busan", "valle", "puerto" };
static const uint32_t sizes[] = { 1, 1, 1, 2, 2, 2,  4,	 4,  4,	 4,
				  8, 8, 8, 8, 8, 16, 16, 16, 32, 64 };

static double uniform(mix_run_t *r);
static double normal(mix_run_t *r);
static double exponential(double x);
static uint64_t next_gap(mix_run_t *r, double mean_ms);

const char *mix_name(mix_t mix)
{
	return mix_names[mix];
}

const char *mix_figure_name(uint32_t mean_or_quantile)
{
	return figure_names[mean_or_quantile];
}

const char *mix_figure_unit(uint32_t mean_or_quantile)
{
	return figure_units[mean_or_quantile];
}

static double uniform(mix_run_t *r)
{
	return ((double)(ffl_rng_next(&r->rng) >> 11) + 0.5) /
	       9007199254740992.0;
}

/* Approximates the normal distribution by the sum of twelve uniform numbers. */
static double normal(mix_run_t *r)
{
	double sum = -6;

	for (uint32_t i = 0; i < 12; i++)
		sum += uniform(r);
	return sum;
}

static double exponential(double x)
{
	double y = 1 + x / 1024;

	for (uint32_t i = 0; i < 10; i++)
		y *= y;
	return y;
}

/* Returns an exponentially distributed time to the next arrival. */
static uint64_t next_gap(mix_run_t *r, double mean_ms)
{
	uint64_t u = (ffl_rng_next(&r->rng) >> 32) + 1;
	double log2 = 32 - (double)ffl_log2(u) / 65536;

	return (uint64_t)(log2 * 0.693147 * mean_ms) + 1;
}

static void add_job(mix_run_t *r, uint64_t at_ms, uint32_t accelerators,
		    ffl_urgency_t urgency)
{
	const work_kind_t *work = &work_kinds[ffl_rng_below(&r->rng, 4)];
	uint32_t c = (uint32_t)ffl_rng_below(&r->rng, 8);
	mix_job_t it = { .at_ms = at_ms, .cancel_ms = NEVER_MS };
	double run = work->mean_ms * exponential(0.8 * normal(r) - 0.32);
	double declared =
		run * work->overestimate * exponential(0.4 * normal(r));

	if (r->mix == MIX_WRONG_TIMES)
		declared = run * exponential(2.302585 * (2 * uniform(r) - 1));
	it.run_ms = (uint64_t)run + 1000;
	it.spec.accelerators = accelerators;
	it.spec.adjacency = accelerators > 64  ? FFL_ADJ_DC
			    : accelerators > 8 ? FFL_ADJ_RACK
					       : FFL_ADJ_WORKER;
	it.spec.urgency = urgency;
	it.spec.declared_ms = (uint32_t)declared + 1;
	it.spec.checkpointable = uniform(r) < 0.6;
	ffl_copy(it.spec.customer, sizeof(it.spec.customer),
		 customers[c < 4   ? 0
			   : c < 6 ? 1
				   : c - 4]);
	ffl_copy(it.spec.kind, sizeof(it.spec.kind), work->name);
	if (r->mix == MIX_CANCELS && (at_ms / HOUR_MS) % 3 == 2 &&
	    uniform(r) < 0.5)
		it.cancel_ms = (at_ms / HOUR_MS + 1) * HOUR_MS;
	g_array_append_val(r->jobs, it);
}

static uint32_t random_size(mix_run_t *r)
{
	return sizes[ffl_rng_below(&r->rng, 20)];
}

static ffl_urgency_t random_urgency(mix_run_t *r)
{
	double u = uniform(r);

	return u < 0.02 ? FFL_URGENT : u < 0.7 ? FFL_NORMAL : FFL_BATCH;
}

/* Adds the extra jobs of bursts (every third or fourth hour) and floods (every
 * sixth hour). */
static void add_burst_jobs(mix_run_t *r, uint64_t hour)
{
	uint64_t at_ms = hour * HOUR_MS;

	if (r->mix == MIX_SMALL_BURSTS && hour % 3 == 1) {
		for (uint32_t i = 0; i < 120; i++)
			add_job(r, at_ms + i * 500,
				1U << ffl_rng_below(&r->rng, 3), FFL_NORMAL);
	}
	if (r->mix == MIX_LARGE_BURSTS && hour % 4 == 1) {
		for (uint32_t i = 0; i < 6; i++)
			add_job(r, at_ms + i * 500,
				16U << ffl_rng_below(&r->rng, 3), FFL_NORMAL);
	}
	if (r->mix == MIX_BATCH_FLOOD && hour % 6 == 1) {
		for (uint32_t i = 0; i < 250; i++)
			add_job(r, at_ms + i * 200,
				1U << ffl_rng_below(&r->rng, 4), FFL_BATCH);
	}
	if (r->mix == MIX_URGENT_FLOOD && hour % 6 == 1) {
		for (uint32_t i = 0; i < 120; i++)
			add_job(r, at_ms + i * 200,
				1U << ffl_rng_below(&r->rng, 4), FFL_URGENT);
	}
}

static gint compare_arrivals(gconstpointer a, gconstpointer b)
{
	uint64_t x = ((const mix_job_t *)a)->at_ms;
	uint64_t y = ((const mix_job_t *)b)->at_ms;

	return (x > y) - (x < y);
}

static void make_jobs(mix_run_t *r, uint32_t hours)
{
	double work = 0;
	double gap;
	uint64_t at_ms = 1000;

	for (uint32_t i = 0; i < 20; i++)
		work += sizes[i] / 20.0;
	gap = work * (120e3 + 1200e3 + 600e3 + 5400e3) / 4 /
	      (ACCELERATORS * LOAD);
	if (r->mix == MIX_SMALL_BURSTS || r->mix == MIX_LARGE_BURSTS ||
	    r->mix == MIX_BATCH_FLOOD || r->mix == MIX_URGENT_FLOOD)
		gap *= 1.3;
	while (at_ms < hours * HOUR_MS) {
		add_job(r, at_ms, random_size(r), random_urgency(r));
		at_ms += next_gap(r, gap);
	}
	for (uint32_t h = 0; h < hours; h++)
		add_burst_jobs(r, h);
	g_array_sort(r->jobs, compare_arrivals);
	r->arrivals_end_ms = hours * HOUR_MS;
}

static mix_job_t *find_job(mix_run_t *r, uint64_t id)
{
	guint at = GPOINTER_TO_UINT(
		g_hash_table_lookup(r->by_id, GUINT_TO_POINTER((guint)id)));

	return at ? &g_array_index(r->jobs, mix_job_t, at - 1) : NULL;
}

static void on_decision_made(fake_cell_t *c, const ffl_decision_t *d, void *arg)
{
	mix_run_t *r = arg;
	mix_job_t *it = find_job(
		r, d->kind == FFL_DECISION_PREEMPT ? d->for_job : d->job->id);
	uint64_t took_ms;

	if (d->kind == FFL_DECISION_PREEMPT && !it->preempted_ms)
		it->preempted_ms = c->now_ms;
	if (d->kind != FFL_DECISION_START)
		return;
	if (!it->first_start_ms)
		it->first_start_ms = c->now_ms;
	if (!it->preempted_ms || !d->job->unit)
		return;
	took_ms = c->now_ms - it->preempted_ms;
	r->reclaim_max_ms = MAX(r->reclaim_max_ms, took_ms);
	r->late_reclaims += took_ms > RECLAIM_BOUND_MS;
	it->preempted_ms = 0;
}

/* Returns when a running job ends, or fails because of the failing worker. */
static uint64_t job_end_ms(mix_run_t *r, const ffl_job_t *job, bool *fails)
{
	const mix_job_t *it = find_job(r, job->id);

	*fails = false;
	for (uint32_t i = 0; r->failing_worker && i < job->part_count; i++)
		*fails = *fails || (uint32_t)atoi(job->parts[i].worker + 1) ==
					   r->failing_worker - 1;
	if (*fails)
		return job->since_ms + FAIL_MS;
	return job->since_ms + it->run_ms - MIN(job->progress_ms, it->run_ms);
}

static void fail_job(mix_run_t *r, ffl_job_t *job)
{
	char name[FFL_NAME_BYTES];
	ffl_worker_t *w;

	g_snprintf(name, sizeof(name), "w%05u", r->failing_worker - 1);
	w = ffl_fleet_find(&r->cell.fleet, name);
	if (w)
		ffl_fleet_record_failure(&r->cell.fleet, w, job->id,
					 r->cell.now_ms);
	fake_cell_requeue(&r->cell, job);
}

/* Ends, fails or cancels the jobs that are due; returns the time of the next
 * end or completed stop. */
static uint64_t end_due_jobs(mix_run_t *r)
{
	GArray *open = r->cell.gangs.open;
	uint64_t next_ms = NEVER_MS;

	for (guint i = open->len; i-- > 0;) {
		ffl_job_t *job = g_array_index(open, ffl_job_t *, i);
		mix_job_t *it = find_job(r, job->id);
		uint64_t end_ms;
		bool fails;

		if (it->cancel_ms <= r->cell.now_ms) {
			fake_cell_cancel(&r->cell, job->id);
			r->open--;
			continue;
		}
		if (job->state == FFL_JOB_STOPPING)
			next_ms = MIN(next_ms, job->since_ms + STOP_MS);
		if (job->state != FFL_JOB_RUNNING)
			continue;
		end_ms = job_end_ms(r, job, &fails);
		if (end_ms > r->cell.now_ms) {
			next_ms = MIN(next_ms, end_ms);
		} else if (fails) {
			fail_job(r, job);
		} else {
			it->end_ms = r->cell.now_ms;
			fake_cell_complete(&r->cell, job->id);
			r->open--;
		}
	}
	return next_ms;
}

/* Returns the number of slots of the largest free block: adjacent free workers,
 * or an aligned power of two of slots within a worker. */
static uint32_t largest_free_block(const ffl_fleet_t *fleet, uint32_t *total)
{
	uint32_t best = 0;
	uint32_t run = 0;

	*total = 0;
	for (uint32_t i = 0; i < ffl_fleet_count(fleet); i++) {
		const ffl_worker_t *w = ffl_fleet_at(fleet, i);
		uint32_t n =
			ffl_worker_schedulable(w)
				? (uint32_t)__builtin_popcountll(
					  ffl_worker_slot_mask(w) & ~w->used)
				: 0;

		*total += n;
		run = n == w->info.accelerators ? run + n : 0;
		best = MAX(best, run);
		for (uint32_t size = 1; size < w->info.accelerators;
		     size *= 2) {
			for (uint32_t at = 0; at < w->info.accelerators;
			     at += size) {
				uint64_t m = ((1ULL << size) - 1) << at;

				if (n >= size && !(m & w->used))
					best = MAX(best, size);
			}
		}
	}
	return best;
}

static void measure(mix_run_t *r, uint64_t until_ms)
{
	uint32_t free;
	uint32_t largest = largest_free_block(&r->cell.fleet, &free);
	double span = (double)(until_ms - r->last_ms);

	if (until_ms > r->arrivals_end_ms || !until_ms)
		return;
	r->last_ms = until_ms;
	r->used_time += span * (ACCELERATORS - free) / ACCELERATORS;
	if (!free)
		return;
	r->free_time += span;
	r->frag_time += span * (1 - (double)largest / free);
}

/* Takes down one worker in every second period of 30 min, or chooses another
 * failing worker every 240 ticks, as the mix demands. */
static void inject_faults(mix_run_t *r, uint64_t tick)
{
	bool *lost;

	if (r->mix == MIX_BLACK_HOLE)
		r->failing_worker = 1 + (uint32_t)(tick / 240 * 5 % 16);
	if (r->mix != MIX_FAILURES || tick % (OUTAGE_MS / FAULT_TICK_MS))
		return;
	for (guint i = 0; i < r->cell.lost->len; i++)
		g_array_index(r->cell.lost, bool, i) = false;
	lost = &g_array_index(r->cell.lost, bool,
			      ffl_rng_below(&r->rng, r->cell.lost->len));
	*lost = tick / (OUTAGE_MS / FAULT_TICK_MS) % 2;
	fake_cell_send_host_list(&r->cell);
}

static void submit_due(mix_run_t *r)
{
	while (r->next < r->jobs->len) {
		mix_job_t *it = &g_array_index(r->jobs, mix_job_t, r->next);

		if (it->at_ms > r->cell.now_ms)
			return;
		it->id = fake_cell_submit(&r->cell, &it->spec)->id;
		r->next++;
		r->open++;
		g_hash_table_insert(r->by_id, GUINT_TO_POINTER((guint)it->id),
				    GUINT_TO_POINTER(r->next));
	}
}

static void run_jobs(mix_run_t *r)
{
	uint64_t tick_ms = 0;

	r->cell.now_ms = 1000;
	while (r->next < r->jobs->len || r->open) {
		uint64_t next_ms;
		uint64_t end_ms;

		if (r->cell.now_ms >= tick_ms) {
			inject_faults(r, tick_ms / FAULT_TICK_MS);
			tick_ms += FAULT_TICK_MS;
		}
		submit_due(r);
		end_due_jobs(r);
		ffl_fleet_update_health(&r->cell.fleet, r->cell.now_ms);
		fake_cell_run_pass(&r->cell);
		end_ms = end_due_jobs(r);
		next_ms = MIN(end_ms, tick_ms);
		if (r->next < r->jobs->len)
			next_ms = MIN(next_ms,
				      g_array_index(r->jobs, mix_job_t, r->next)
					      .at_ms);
		next_ms = MAX(next_ms, r->cell.now_ms + 1);
		measure(r, next_ms);
		r->cell.now_ms = next_ms;
	}
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

/* Returns the given quantile of the samples, or their mean for quantile 0. */
static double mean_or_quantile(GArray *a, double quantile)
{
	double sum = 0;

	if (!a->len)
		return 0;
	if (quantile > 0) {
		qsort(a->data, a->len, sizeof(double), compare_doubles);
		return g_array_index(a, double,
				     (guint)(quantile * (a->len - 1)));
	}
	for (guint i = 0; i < a->len; i++)
		sum += g_array_index(a, double, i);
	return sum / a->len;
}

static void compute_figures(mix_run_t *r, double *f)
{
	GArray *set[5];

	for (uint32_t i = 0; i < 5; i++)
		set[i] = g_array_new(FALSE, FALSE, sizeof(double));
	for (guint i = 0; i < r->jobs->len; i++) {
		const mix_job_t *it = &g_array_index(r->jobs, mix_job_t, i);
		uint32_t n = it->spec.accelerators;
		double took = ((double)it->end_ms - (double)it->at_ms) / 1000;
		double wait =
			((double)it->first_start_ms - (double)it->at_ms) / 1000;

		if (it->spec.urgency == FFL_URGENT && it->first_start_ms)
			g_array_append_val(set[4], wait);
		if (!it->end_ms)
			continue;
		g_array_append_val(set[0], took);
		g_array_append_val(set[n <= 4 ? 1 : n == 8 ? 2 : 3], took);
	}
	f[MIX_COMPLETION] = mean_or_quantile(set[0], 0);
	f[MIX_COMPLETION_P95] = mean_or_quantile(set[0], 0.95);
	f[MIX_COMPLETION_SMALL] = mean_or_quantile(set[1], 0);
	f[MIX_COMPLETION_WORKER] = mean_or_quantile(set[2], 0);
	f[MIX_COMPLETION_LARGE] = mean_or_quantile(set[3], 0);
	f[MIX_COMPLETION_LARGE_P95] = mean_or_quantile(set[3], 0.95);
	f[MIX_URGENT_START] = mean_or_quantile(set[4], 0.99);
	for (uint32_t i = 0; i < 5; i++)
		g_array_free(set[i], TRUE);
}

static gint compare_sizes(gconstpointer a, gconstpointer b)
{
	const mix_job_t *x = a;
	const mix_job_t *y = b;

	if (x->spec.accelerators != y->spec.accelerators)
		return x->spec.accelerators < y->spec.accelerators ? 1 : -1;
	return compare_arrivals(a, b);
}

/* Returns the mean time, beyond the run time, that the largest 10 % of the jobs
 * took. */
static double mean_large_wait_s(mix_run_t *r)
{
	guint n = r->jobs->len / 10;
	double sum = 0;
	guint count = 0;

	g_array_sort(r->jobs, compare_sizes);
	for (guint i = 0; i < n; i++) {
		const mix_job_t *it = &g_array_index(r->jobs, mix_job_t, i);

		if (!it->end_ms)
			continue;
		sum += ((double)it->end_ms - (double)it->at_ms -
			(double)it->run_ms) /
		       1000;
		count++;
	}
	return count ? sum / count : 0;
}

void mix_run(mix_t mix, ffl_policy_id_t policy, uint64_t seed, uint32_t hours,
	     double f[MIX_FIGURE__MAX])
{
	fake_cell_size_t size = { 2, 8, 8, 32, 65536 };
	mix_run_t r = { .mix = mix };

	memset(f, 0, sizeof(*f) * MIX_FIGURE__MAX);
	ffl_rng_init(&r.rng, seed);
	r.jobs = g_array_new(FALSE, TRUE, sizeof(mix_job_t));
	r.by_id = g_hash_table_new(NULL, NULL);
	fake_cell_init(&r.cell, &size);
	r.cell.on_decision = on_decision_made;
	r.cell.on_decision_arg = &r;
	r.cell.stop_ms = STOP_MS;
	ffl_sched_set_policy(&r.cell.sched, policy);
	for (uint32_t i = 0; i < 4; i++)
		fake_cell_add_customer(&r.cell, customers[i], 4U >> (i / 2), 0);
	fake_cell_add_guarantee(&r.cell, "rocio", 2, 8, FFL_ADJ_WORKER);
	fake_cell_add_guarantee(&r.cell, "busan", 1, 16, FFL_ADJ_RACK);
	fake_cell_add_guarantee(&r.cell, "valle", 1, 8, FFL_ADJ_WORKER);
	fake_cell_add_guarantee(&r.cell, "puerto", 2, 4, FFL_ADJ_WORKER);
	make_jobs(&r, hours);
	run_jobs(&r);
	compute_figures(&r, f);
	f[MIX_LARGE_WAIT] = mean_large_wait_s(&r);
	f[MIX_FRAGMENTATION] = r.free_time > 0 ? r.frag_time / r.free_time : 0;
	f[MIX_UTILISATION] = r.used_time / (double)r.arrivals_end_ms;
	f[MIX_LOST_WORK] = (double)r.cell.lost_accelerator_ms / HOUR_MS;
	f[MIX_RECLAIM] = (double)r.reclaim_max_ms / 1000;
	f[MIX_RECLAIMS_LATE] = r.late_reclaims;
	fake_cell_finish(&r.cell);
	g_hash_table_destroy(r.by_id);
	g_array_free(r.jobs, TRUE);
}
