#include <string.h>

#include "fakes/task_worker.h"

/** Duration of a stop, and the time that an incomplete gang waits for the rest
 * of its members. */
#define STOP_MS	     120
#define GANG_WAIT_MS 3000
#define PERCENT	     100

typedef void (*order_fn_t)(task_worker_t *w, const ffl_order_t *order,
			   uint64_t now_ms, const task_hooks_t *hooks,
			   ffl_arena_t *arena, ffl_reply_t *out);

static void handle_renew(task_worker_t *w, const ffl_order_t *order,
			 uint64_t now_ms, const task_hooks_t *hooks,
			 ffl_arena_t *arena, ffl_reply_t *out);
static void handle_start(task_worker_t *w, const ffl_order_t *order,
			 uint64_t now_ms, const task_hooks_t *hooks,
			 ffl_arena_t *arena, ffl_reply_t *out);
static void handle_stop(task_worker_t *w, const ffl_order_t *order,
			uint64_t now_ms, const task_hooks_t *hooks,
			ffl_arena_t *arena, ffl_reply_t *out);
static void handle_throttle(task_worker_t *w, const ffl_order_t *order,
			    uint64_t now_ms, const task_hooks_t *hooks,
			    ffl_arena_t *arena, ffl_reply_t *out);
static void end_run(task_worker_t *w, task_run_t *run, ffl_run_end_t ending,
		    const task_hooks_t *hooks);
static uint32_t highest_past_run(const task_worker_t *w, const char *task);
static void record_past_run(task_worker_t *w, const char *task, uint32_t run);
static bool fits(const task_worker_t *w, const ffl_resources_t *room);

static const order_fn_t handlers[FFL_ORDER__MAX] = {
	[FFL_ORDER_RENEW] = handle_renew,
	[FFL_ORDER_START] = handle_start,
	[FFL_ORDER_STOP] = handle_stop,
	[FFL_ORDER_THROTTLE] = handle_throttle,
};

void task_worker_init(task_worker_t *w, uint32_t index, uint64_t now_ms)
{
	memset(w, 0, sizeof(*w));
	g_snprintf(w->id, sizeof(w->id), "w%02u", index);
	ffl_copy(w->addr, sizeof(w->addr), w->id);
	ffl_copy(w->dc, sizeof(w->dc), "norte");
	ffl_copy(w->service, sizeof(w->service), "survey");
	w->runs = g_ptr_array_new_with_free_func(g_free);
	w->ended = g_ptr_array_new_with_free_func(g_free);
	w->lapsed = g_ptr_array_new_with_free_func(g_free);
	w->highest_past_run =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	w->capacity = (ffl_resources_t){ 32000, 65536, 8 };
	w->lease_max_ms = 10000;
	task_worker_boot(w, now_ms, (int64_t)now_ms + 1,
			 TASK_WORKER_FIRST_CLOCK_MS);
}

void task_worker_finish(task_worker_t *w)
{
	g_ptr_array_free(w->runs, TRUE);
	g_ptr_array_free(w->ended, TRUE);
	g_ptr_array_free(w->lapsed, TRUE);
	g_hash_table_destroy(w->highest_past_run);
}

void task_worker_crash(task_worker_t *w)
{
	w->alive = false;
	g_ptr_array_set_size(w->runs, 0);
	g_ptr_array_set_size(w->ended, 0);
	g_ptr_array_set_size(w->lapsed, 0);
	g_hash_table_remove_all(w->highest_past_run);
	memset(&w->used, 0, sizeof(w->used));
}

void task_worker_boot(task_worker_t *w, uint64_t now_ms, int64_t born_ms,
		      uint64_t clock_ms)
{
	w->alive = true;
	w->listed = true;
	w->draining = false;
	w->born_ms = born_ms;
	w->boot_ms = now_ms;
	w->first_clock_ms = clock_ms;
	w->token = 0;
	w->until_ms = 0;
	w->last_end = 0;
	w->entries = 0;
}

uint64_t task_worker_clock(const task_worker_t *w, uint64_t now_ms)
{
	return now_ms - w->boot_ms + w->first_clock_ms;
}

static uint32_t highest_past_run(const task_worker_t *w, const char *task)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(w->highest_past_run, task));
}

static void record_past_run(task_worker_t *w, const char *task, uint32_t run)
{
	if (run > highest_past_run(w, task))
		g_hash_table_replace(w->highest_past_run, g_strdup(task),
				     GUINT_TO_POINTER(run));
}

static void end_run(task_worker_t *w, task_run_t *run, ffl_run_end_t ending,
		    const task_hooks_t *hooks)
{
	ffl_run_report_t *row = g_new0(ffl_run_report_t, 1);

	row->number = ++w->last_end;
	ffl_copy(row->task, sizeof(row->task), run->task);
	row->run = run->run;
	row->end = ending;
	record_past_run(w, run->task, run->run);
	w->used.cpu_milli -= run->plan.resources.cpu_milli;
	w->used.mem_mb -= run->plan.resources.mem_mb;
	w->used.gpus -= run->plan.resources.gpus;
	g_ptr_array_remove(w->runs, run);
	g_ptr_array_add(w->ended, row);
	g_ptr_array_add(w->lapsed, g_new0(bool, 1));
	hooks->ended(hooks->user, w, row);
}

void task_worker_tick(task_worker_t *w, uint64_t now_ms, uint32_t ms,
		      const task_hooks_t *hooks)
{
	bool lapsed = task_worker_clock(w, now_ms) > w->until_ms;

	for (guint i = 0; lapsed && i < w->lapsed->len; i++)
		*(bool *)g_ptr_array_index(w->lapsed, i) = true;
	for (guint i = w->runs->len; i-- > 0;) {
		task_run_t *run;

		if (i >= w->runs->len)
			continue;
		run = g_ptr_array_index(w->runs, i);
		if (lapsed) {
			end_run(w, run, FFL_RUN_END_LEASE_EXPIRED, hooks);
			continue;
		}
		if (run->stop_ms) {
			if (now_ms >= run->stop_ms)
				end_run(w, run, run->ending, hooks);
			continue;
		}
		if (run->plan.gang_tasks &&
		    hooks->count_present(hooks->user, run) <
			    run->plan.gang_tasks) {
			if (run->worked_ms)
				end_run(w, run, FFL_RUN_END_GANG_BROKEN, hooks);
			else if (now_ms - run->started_ms > GANG_WAIT_MS)
				end_run(w, run, FFL_RUN_END_GANG_INCOMPLETE,
					hooks);
			continue;
		}
		if (!w->hangs)
			run->worked_ms += ms * run->pace / PERCENT;
		if (run->worked_ms >= run->plan.work_ms)
			end_run(w, run,
				run->plan.fails ? FFL_RUN_END_FAILED
						: FFL_RUN_END_DONE,
				hooks);
	}
}

task_run_t *task_worker_find(const task_worker_t *w, const char *task,
			     uint32_t run)
{
	for (guint i = 0; i < w->runs->len; i++) {
		task_run_t *candidate = g_ptr_array_index(w->runs, i);

		if (candidate->run == run && strcmp(candidate->task, task) == 0)
			return candidate;
	}
	return NULL;
}

static bool fits(const task_worker_t *w, const ffl_resources_t *room)
{
	return w->used.cpu_milli + room->cpu_milli <= w->capacity.cpu_milli &&
	       w->used.mem_mb + room->mem_mb <= w->capacity.mem_mb &&
	       w->used.gpus + room->gpus <= w->capacity.gpus;
}

void task_worker_extend_lease(task_worker_t *w, const ffl_order_t *order,
			      uint64_t now_ms)
{
	uint64_t max_ms = task_worker_clock(w, now_ms) + w->lease_max_ms;

	if (order->until_ms)
		w->until_ms = MAX(w->until_ms, MIN(order->until_ms, max_ms));
}

static void handle_renew(task_worker_t *w, const ffl_order_t *order,
			 uint64_t now_ms, const task_hooks_t *hooks,
			 ffl_arena_t *arena, ffl_reply_t *out)
{
	out->born_ms = w->born_ms;
	task_worker_extend_lease(w, order, now_ms);
	while (w->ended->len) {
		ffl_run_report_t *row = g_ptr_array_index(w->ended, 0);

		if (row->number > order->acked)
			break;
		if (!*(bool *)g_ptr_array_index(w->lapsed, 0))
			hooks->acked(hooks->user, w, row);
		g_ptr_array_remove_index(w->ended, 0);
		g_ptr_array_remove_index(w->lapsed, 0);
	}
	out->running = ffl_arena_alloc(arena, (w->runs->len + 1) *
						      sizeof(*out->running));
	for (guint i = 0; i < w->runs->len; i++) {
		const task_run_t *run = g_ptr_array_index(w->runs, i);
		ffl_run_report_t *row = &out->running[out->running_count++];

		ffl_copy(row->task, sizeof(row->task), run->task);
		row->run = run->run;
		row->percent = MIN(run->worked_ms * PERCENT / run->plan.work_ms,
				   PERCENT);
	}
	out->ended = ffl_arena_alloc(arena,
				     (w->ended->len + 1) * sizeof(*out->ended));
	for (guint i = 0; i < w->ended->len; i++)
		out->ended[out->ended_count++] =
			*(ffl_run_report_t *)g_ptr_array_index(w->ended, i);
}

static void handle_start(task_worker_t *w, const ffl_order_t *order,
			 uint64_t now_ms, const task_hooks_t *hooks,
			 ffl_arena_t *arena, ffl_reply_t *out)
{
	task_run_t *run;
	task_plan_t plan;

	if (task_worker_find(w, order->task, order->run)) {
		task_worker_extend_lease(w, order, now_ms);
		return;
	}
	if (order->until_ms <= task_worker_clock(w, now_ms)) {
		out->outcome = FFL_REPLY_LEASE_EXPIRED;
		return;
	}
	task_worker_extend_lease(w, order, now_ms);
	if (order->run <= highest_past_run(w, order->task)) {
		out->outcome = FFL_REPLY_STALE_RUN;
		return;
	}
	if (!hooks->plan(hooks->user, order->task, &plan)) {
		out->outcome = FFL_REPLY_INVALID;
		return;
	}
	if (plan.ticket && g_strcmp0(plan.ticket, order->ticket) != 0) {
		out->outcome = FFL_REPLY_BAD_TICKET;
		return;
	}
	if (!fits(w, &plan.resources)) {
		out->outcome = FFL_REPLY_NO_RESOURCES;
		return;
	}
	run = g_new0(task_run_t, 1);
	ffl_copy(run->task, sizeof(run->task), order->task);
	run->run = order->run;
	run->started_ms = now_ms;
	run->pace = PERCENT;
	run->plan = plan;
	w->used.cpu_milli += plan.resources.cpu_milli;
	w->used.mem_mb += plan.resources.mem_mb;
	w->used.gpus += plan.resources.gpus;
	g_ptr_array_add(w->runs, run);
	hooks->started(hooks->user, w, run);
}

static void handle_stop(task_worker_t *w, const ffl_order_t *order,
			uint64_t now_ms, const task_hooks_t *hooks,
			ffl_arena_t *arena, ffl_reply_t *out)
{
	task_run_t *run = task_worker_find(w, order->task, order->run);

	record_past_run(w, order->task, order->run);
	if (!run || run->stop_ms)
		return;
	run->stop_ms = now_ms + STOP_MS;
	run->ending = FFL_RUN_END_STOPPED;
}

static void handle_throttle(task_worker_t *w, const ffl_order_t *order,
			    uint64_t now_ms, const task_hooks_t *hooks,
			    ffl_arena_t *arena, ffl_reply_t *out)
{
	task_run_t *run = task_worker_find(w, order->task, order->run);

	if (run)
		run->pace = MIN(order->percent, PERCENT);
	else
		out->outcome = FFL_REPLY_STALE_RUN;
}

void task_worker_handle_order(task_worker_t *w, const ffl_order_t *order,
			      uint64_t now_ms, const task_hooks_t *hooks,
			      ffl_arena_t *arena, ffl_reply_t *out)
{
	memset(out, 0, sizeof(*out));
	out->call = order->call;
	out->clock_ms = task_worker_clock(w, now_ms);
	if (order->token < w->token) {
		out->outcome = FFL_REPLY_FENCED;
		return;
	}
	w->token = order->token;
	handlers[order->kind](w, order, now_ms, hooks, arena, out);
}

void task_worker_fill_entry(task_worker_t *w, uint64_t now_ms,
			    ffl_worker_entry_t *out)
{
	memset(out, 0, sizeof(*out));
	ffl_copy(out->id, sizeof(out->id), w->id);
	ffl_copy(out->addr, sizeof(out->addr), w->addr);
	ffl_copy(out->service, sizeof(out->service), w->service);
	ffl_copy(out->dc, sizeof(out->dc), w->dc);
	ffl_copy(out->rack, sizeof(out->rack), "r1");
	out->draining = w->draining;
	out->born_ms = w->born_ms;
	out->clock_ms = task_worker_clock(w, now_ms);
	out->number = ++w->entries;
	out->capacity = w->capacity;
}
