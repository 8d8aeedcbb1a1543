/**
 * @file outlook.c
 * @brief Turning away what cannot be served in time.
 *
 * The load: floods of work that need all room for longer than a job may wait.
 * The bound is one of areas: the work of jobs that go first, as far as they can
 * begin it while it is worth something, divided by all room. Work that may have
 * to wait while later jobs pass it is left out: gangs, and steps that only some
 * workers may run.
 */
#include <string.h>

#include "lib/dispatch/dispatch_int.h"
#include "fireflyledge/outlook.h"

#define MILLI 1000
/** Share of the expected work that counts: estimates are up to half too high.
 */
#define WORK_PERCENT 67
/** A job is refused if the room is taken for this share of the time that it may
 * wait. The rest is for jobs that the outlook cannot know of yet. */
#define TAKEN_PERCENT 95
/** Share of the room that is free for a moment as runs end and begin. */
#define CHANGING_PERCENT 5
/** A shortage that is over before an outlook would be too old is none. */
#define LASTING_MS FFL_OUTLOOK_AGE_MAX_MS
/** Bounds of the time to return after; estimates of what comes later are worth
 * little. */
#define RETRY_MIN_MS 1000
#define RETRY_MAX_MS 60000
/** Those turned away return over this share of their time beyond it. */
#define SPREAD_PERCENT 50

/** Work of a job that waits, and until when it can begin. */
typedef struct {
	uint32_t priority;
	uint32_t work_class;
	uint64_t demand[FFL_OUTLOOK__MAX]; /**< resource-milliseconds */
	uint64_t on_time_ms; /**< in time if it begins by then, from now */
	uint64_t of_use_ms;  /**< worth something if it begins by then */
	ffl_resources_t task;
} waiting_t;

/** All room of a service, and what its runs will still take of it. */
typedef struct {
	uint64_t total[FFL_OUTLOOK__MAX];
	uint64_t running[FFL_OUTLOOK__MAX]; /**< resource-milliseconds */
} room_t;

static bool holds_room(const ffl_step_t *step);
static uint64_t amount(const ffl_resources_t *r, uint32_t resource);
static void add_workers(ffl_dispatch_t *d, const char *service, room_t *room);
static void add_runs(const ffl_dispatch_t *d, const char *service,
		     uint64_t now_ms, room_t *room);
static uint64_t left_ms(uint64_t limit_ms, uint64_t spent_ms);
static void add_waiting(const ffl_dispatch_t *d, const ffl_flow_t *flow,
			uint64_t now_ms, GArray *waiting);
static void add_queue(const ffl_dispatch_t *d, const ffl_flow_t *flow,
		      ffl_outlook_t *out);
static int compare_rank(const waiting_t *w, uint32_t priority,
			uint32_t work_class);
static int by_rank(const void *a, const void *b);
static int by_on_time(const void *a, const void *b);
static int by_of_use(const void *a, const void *b);
static void take(const GArray *waiting, const room_t *room, bool on_time,
		 ffl_outlook_rank_t *rank);
static bool is_full(ffl_dispatch_t *d, const char *service,
		    const ffl_resources_t *task);
static void add_ranks(const GArray *waiting, ffl_outlook_t *out);
static void drop_free_ranks(ffl_dispatch_t *d, const char *service,
			    ffl_outlook_t *out);
static uint32_t learned_run_ms(const ffl_outlook_t *o, const char *queue);
static bool may_refuse(const ffl_flow_spec_t *spec);
static const ffl_outlook_rank_t *rank_of(const ffl_outlook_t *o,
					 const ffl_flow_spec_t *spec);
static bool fits_between(const ffl_flow_spec_t *spec,
			 const ffl_outlook_rank_t *rank);
static bool needs(const ffl_flow_spec_t *spec, uint32_t resource);
static uint64_t excess_ms(uint64_t taken_ms, uint64_t wait_max_ms);

uint64_t ffl_outlook_queue_sum(const char *queue)
{
	return ffl_hash(queue, strlen(queue), 0);
}

/* Steps that every worker may run, one task at a time, and so take any room
 * that becomes free. */
static bool holds_room(const ffl_step_t *step)
{
	return !step->gang && !step->runs_until_cancelled &&
	       !step->best_effort && !step->label[0] && !step->rack[0] &&
	       !step->per_worker_max;
}

static uint64_t amount(const ffl_resources_t *r, uint32_t resource)
{
	return resource == FFL_OUTLOOK_GPUS ? r->gpus : r->cpu_milli;
}

static void add_workers(ffl_dispatch_t *d, const char *service, room_t *room)
{
	const GPtrArray *listed = ffl_listed_workers(d);

	for (guint i = 0; i < listed->len; i++) {
		const ffl_dispatch_worker_t *w = g_ptr_array_index(listed, i);

		if (strcmp(w->entry.service, service) != 0)
			continue;
		for (uint32_t r = 0; r < FFL_OUTLOOK__MAX; r++)
			room->total[r] += amount(&w->entry.capacity, r);
	}
}

/* What runs on workers that leave takes no room of the others, but may have to
 * be run again there. */
static void add_runs(const ffl_dispatch_t *d, const char *service,
		     uint64_t now_ms, room_t *room)
{
	for (guint i = 0; i < d->runs->len; i++) {
		const ffl_run_t *run = g_ptr_array_index(d->runs, i);
		uint32_t step = ffl_flow_step_of(run->flow, run->task);
		uint64_t expected_ms =
			ffl_rank_expected_run_ms(d, run->flow, step) *
			WORK_PERCENT / PERCENT;
		uint64_t ran_ms = now_ms - run->placed_ms;

		if (strcmp(run->flow->spec.service, service) != 0 ||
		    run->flow->spec.steps[step].runs_until_cancelled ||
		    run->stopping || ran_ms >= expected_ms)
			continue;
		for (uint32_t r = 0; r < FFL_OUTLOOK__MAX; r++)
			room->running[r] += amount(&run->resources, r) *
					    (expected_ms - ran_ms);
	}
}

static uint64_t left_ms(uint64_t limit_ms, uint64_t spent_ms)
{
	return limit_ms > spent_ms ? limit_ms - spent_ms : 0;
}

static void add_waiting(const ffl_dispatch_t *d, const ffl_flow_t *flow,
			uint64_t now_ms, GArray *waiting)
{
	uint64_t spent_ms = now_ms - flow->first_seen_ms + flow->path_ms;
	waiting_t w = {
		.priority = flow->spec.priority,
		.work_class = flow->work_class,
		.on_time_ms = left_ms(flow->limit_ms, spent_ms),
		.of_use_ms =
			left_ms(FFL_LATE_FACTOR * flow->limit_ms, spent_ms),
	};

	if (flow->spec.timed || flow->spec.needs_tickets || !w.of_use_ms ||
	    now_ms < flow->retry_ms || (flow->spec_parts & d->unread_parts))
		return;
	for (uint32_t s = 0; s < flow->spec.steps_count; s++) {
		const ffl_step_t *step = &flow->spec.steps[s];
		ffl_resources_t task = ffl_step_resources(step);
		uint64_t tasks = 0;

		if (!holds_room(step) || !ffl_flow_step_ready(flow, 0, s))
			continue;
		for (uint32_t i = 0; i < step->tasks; i++)
			tasks += flow->tasks[step->first_task + i].state ==
				 FFL_TASK_WAITING;
		if (!tasks)
			continue;
		for (uint32_t r = 0; r < FFL_OUTLOOK__MAX; r++)
			w.demand[r] += tasks * amount(&task, r) *
				       ffl_rank_expected_run_ms(d, flow, s) *
				       WORK_PERCENT / PERCENT;
		w.task.cpu_milli = MAX(w.task.cpu_milli, task.cpu_milli);
		w.task.mem_mb = MAX(w.task.mem_mb, task.mem_mb);
		w.task.gpus = MAX(w.task.gpus, task.gpus);
	}
	if (w.demand[FFL_OUTLOOK_GPUS] || w.demand[FFL_OUTLOOK_CORES])
		g_array_append_val(waiting, w);
}

static void add_queue(const ffl_dispatch_t *d, const ffl_flow_t *flow,
		      ffl_outlook_t *out)
{
	ffl_outlook_queue_t queue = {
		.name_sum = ffl_outlook_queue_sum(flow->spec.queue),
		.run_ms = (uint32_t)GPOINTER_TO_SIZE(
			g_hash_table_lookup(d->mean_run_ms, flow->spec.queue)),
	};

	if (!queue.run_ms || out->queues_count == FFL_OUTLOOK_QUEUES_MAX ||
	    learned_run_ms(out, flow->spec.queue))
		return;
	out->queues[out->queues_count++] = queue;
}

static int compare_rank(const waiting_t *w, uint32_t priority,
			uint32_t work_class)
{
	if (w->priority != priority)
		return w->priority < priority ? -1 : 1;
	return w->work_class < work_class ? -1 : w->work_class > work_class;
}

static int by_rank(const void *a, const void *b)
{
	const waiting_t *y = b;

	return compare_rank(a, y->priority, y->work_class);
}

static int by_on_time(const void *a, const void *b)
{
	const waiting_t *x = a;
	const waiting_t *y = b;

	return x->on_time_ms < y->on_time_ms ? -1
					     : x->on_time_ms > y->on_time_ms;
}

static int by_of_use(const void *a, const void *b)
{
	const waiting_t *x = a;
	const waiting_t *y = b;

	return x->of_use_ms < y->of_use_ms ? -1 : x->of_use_ms > y->of_use_ms;
}

/* Until a time the jobs that must begin by then cannot take more than all room.
 * Those of the earliest time are served first, as each job is counted only as
 * far as it can be served: no other order takes the room for longer. */
static void take(const GArray *waiting, const room_t *room, bool on_time,
		 ffl_outlook_rank_t *rank)
{
	for (uint32_t r = 0; r < FFL_OUTLOOK__MAX; r++) {
		uint64_t taken = room->running[r];
		uint32_t *out = on_time ? rank->on_time_ms : rank->of_use_ms;

		for (guint i = 0; i < waiting->len; i++) {
			const waiting_t *w =
				&g_array_index(waiting, waiting_t, i);
			uint64_t by_ms = on_time ? w->on_time_ms : w->of_use_ms;

			if (compare_rank(w, rank->priority, rank->work_class) >
			    0)
				continue;
			taken = MAX(taken, MIN(taken + w->demand[r],
					       room->total[r] * by_ms));
		}
		out[r] = room->total[r] ? (uint32_t)MIN(taken / room->total[r],
							UINT32_MAX)
					: 0;
	}
}

/* Nobody is turned away while room is free, also if it is left free for other
 * work. */
static bool is_full(ffl_dispatch_t *d, const char *service,
		    const ffl_resources_t *task)
{
	const GPtrArray *listed = ffl_listed_workers(d);
	ffl_slot_count_t slots = { 0 };

	for (guint i = 0; i < listed->len; i++) {
		const ffl_dispatch_worker_t *w = g_ptr_array_index(listed, i);

		if (strcmp(w->entry.service, service) == 0)
			ffl_count_slots(w, task, &slots);
	}
	return slots.free * PERCENT < slots.total * CHANGING_PERCENT;
}

/* Each rank has the work of those before it. */
static void add_ranks(const GArray *waiting, ffl_outlook_t *out)
{
	ffl_resources_t task = { 0 };

	for (guint i = 0; i < waiting->len; i++) {
		const waiting_t *w = &g_array_index(waiting, waiting_t, i);
		ffl_outlook_rank_t *last =
			out->ranks_count ? &out->ranks[out->ranks_count - 1]
					 : NULL;

		if (!last ||
		    compare_rank(w, last->priority, last->work_class) != 0) {
			if (out->ranks_count == FFL_OUTLOOK_RANKS_MAX)
				return;
			last = &out->ranks[out->ranks_count++];
			last->priority = w->priority;
			last->work_class = w->work_class;
		}
		task.cpu_milli = MAX(task.cpu_milli, w->task.cpu_milli);
		task.mem_mb = MAX(task.mem_mb, w->task.mem_mb);
		task.gpus = MAX(task.gpus, w->task.gpus);
		last->task = task;
	}
}

/* The tasks of later ranks are no smaller. */
static void drop_free_ranks(ffl_dispatch_t *d, const char *service,
			    ffl_outlook_t *out)
{
	uint32_t first = 0;

	while (first < out->ranks_count &&
	       !is_full(d, service, &out->ranks[first].task))
		first++;
	out->ranks_count -= first;
	memmove(out->ranks, out->ranks + first,
		out->ranks_count * sizeof(out->ranks[0]));
}

void ffl_outlook_build(ffl_dispatch_t *d, const char *service, uint64_t now_ms,
		       ffl_outlook_t *out)
{
	GArray *waiting;
	room_t room = { 0 };
	uint32_t steps = 0;
	bool lasting = false;

	memset(out, 0, sizeof(*out));
	for (uint32_t i = 0; i < FFL_WAIT__MAX; i++)
		steps += d->waiting[i];
	if (!steps)
		return;
	waiting = g_array_new(FALSE, TRUE, sizeof(waiting_t));
	for (guint i = 0; i < d->flows->open->len; i++) {
		const ffl_flow_t *flow = g_ptr_array_index(d->flows->open, i);

		if (ffl_flow_ended(flow) || !flow->limit_ms ||
		    strcmp(flow->spec.service, service) != 0)
			continue;
		add_waiting(d, flow, now_ms, waiting);
		add_queue(d, flow, out);
	}
	add_workers(d, service, &room);
	add_runs(d, service, now_ms, &room);
	g_array_sort(waiting, by_rank);
	add_ranks(waiting, out);
	drop_free_ranks(d, service, out);
	g_array_sort(waiting, by_on_time);
	for (uint32_t i = 0; i < out->ranks_count; i++)
		take(waiting, &room, true, &out->ranks[i]);
	g_array_sort(waiting, by_of_use);
	for (uint32_t i = 0; i < out->ranks_count; i++)
		take(waiting, &room, false, &out->ranks[i]);
	g_array_free(waiting, TRUE);
	for (uint32_t i = 0; i < out->ranks_count * FFL_OUTLOOK__MAX; i++)
		lasting |=
			out->ranks[i / FFL_OUTLOOK__MAX]
				.of_use_ms[i % FFL_OUTLOOK__MAX] >= LASTING_MS;
	if (!lasting)
		memset(out, 0, sizeof(*out));
}

static uint32_t learned_run_ms(const ffl_outlook_t *o, const char *queue)
{
	uint64_t sum = ffl_outlook_queue_sum(queue);

	for (uint32_t i = 0; i < o->queues_count; i++) {
		if (o->queues[i].name_sum == sum)
			return o->queues[i].run_ms;
	}
	return 0;
}

static bool may_refuse(const ffl_flow_spec_t *spec)
{
	for (uint32_t s = 0; s < spec->steps_count; s++) {
		if (spec->steps[s].runs_until_cancelled)
			return false;
	}
	return spec->priority && !spec->timed;
}

/* Returns the last rank that goes before a new job. Those beside it do not
 * count: later ones pass the earlier ones as these become late. */
static const ffl_outlook_rank_t *rank_of(const ffl_outlook_t *o,
					 const ffl_flow_spec_t *spec)
{
	const ffl_flow_t like = { .spec = *spec };
	uint32_t work_class = ffl_cost_class(&like);
	const ffl_outlook_rank_t *last = NULL;

	for (uint32_t i = 0; i < o->ranks_count; i++) {
		const ffl_outlook_rank_t *rank = &o->ranks[i];

		if (rank->priority < spec->priority ||
		    (rank->priority == spec->priority &&
		     rank->work_class < work_class))
			last = rank;
	}
	return last;
}

/* Of the steps that a job begins with. */
static bool fits_between(const ffl_flow_spec_t *spec,
			 const ffl_outlook_rank_t *rank)
{
	for (uint32_t s = 0; s < spec->steps_count; s++) {
		ffl_resources_t task = ffl_step_resources(&spec->steps[s]);

		if (!spec->steps[s].prerequisites &&
		    !ffl_resources_fit(&task, &rank->task))
			return true;
	}
	return false;
}

static bool needs(const ffl_flow_spec_t *spec, uint32_t resource)
{
	for (uint32_t s = 0; s < spec->steps_count; s++) {
		ffl_resources_t task = ffl_step_resources(&spec->steps[s]);

		if (!spec->steps[s].prerequisites && !amount(&task, resource))
			return false;
	}
	return true;
}

/* Returns how much longer than a share of a wait the room is taken. */
static uint64_t excess_ms(uint64_t taken_ms, uint64_t wait_max_ms)
{
	return left_ms(taken_ms, wait_max_ms * TAKEN_PERCENT / PERCENT);
}

void ffl_outlook_decide(const ffl_outlook_t *o, uint64_t age_ms,
			const ffl_flow_spec_t *spec, ffl_outlook_verdict_t *out)
{
	const ffl_outlook_rank_t *rank = rank_of(o, spec);
	uint64_t step_ms[FFL_FLOW_STEPS_MAX] = { 0 };
	uint64_t path;
	uint64_t limit_ms;
	uint64_t on_time_ms;
	uint64_t spread_ms;
	uint64_t retry_ms = 0;

	memset(out, 0, sizeof(*out));
	out->run_ms = learned_run_ms(o, spec->queue);
	if (!rank || !out->run_ms || !may_refuse(spec) ||
	    fits_between(spec, rank) || age_ms > FFL_OUTLOOK_AGE_MAX_MS)
		return;
	for (uint32_t s = 0; s < spec->steps_count; s++)
		step_ms[s] = out->run_ms;
	path = ffl_rank_path_ms(spec, step_ms);
	limit_ms = path * spec->stretch_milli / MILLI + spec->objective_base_ms;
	on_time_ms = left_ms(limit_ms, path);
	out->wait_max_ms = left_ms(FFL_LATE_FACTOR * limit_ms, path);
	if (on_time_ms * PERCENT < path * FFL_SLACK_PERCENT)
		return;
	for (uint32_t r = 0; r < FFL_OUTLOOK__MAX; r++) {
		uint64_t taken_ms = left_ms(rank->of_use_ms[r], age_ms);
		uint64_t late_ms = excess_ms(
			left_ms(rank->on_time_ms[r], age_ms), on_time_ms);
		uint64_t useless_ms = excess_ms(taken_ms, out->wait_max_ms);

		if (!late_ms || !useless_ms || !needs(spec, r))
			continue;
		out->refused = true;
		out->taken_ms = MAX(out->taken_ms, taken_ms);
		retry_ms = MAX(retry_ms, MAX(late_ms, useless_ms));
	}
	retry_ms = CLAMP(retry_ms, RETRY_MIN_MS, RETRY_MAX_MS);
	spread_ms = retry_ms * SPREAD_PERCENT / PERCENT;
	out->retry_after_ms =
		(uint32_t)(retry_ms + ffl_hash(spec->id, strlen(spec->id), 0) %
					      (spread_ms + 1));
}
