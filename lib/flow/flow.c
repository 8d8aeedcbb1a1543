#include <string.h>

#include "fireflyledge/flow.h"

static void task_clear(ffl_task_t *task);
static void set_checkpoint(ffl_task_t *task, const char *checkpoint);
static int compare_age(const void *a, const void *b);
static void adopt_early_progress(ffl_flows_t *flows, ffl_flow_t *flow);
static bool parse_progress_name(const char *name, char id[FFL_FLOW_ID_BYTES],
				uint32_t *part);
static void close_if_ended(ffl_flows_t *flows, ffl_flow_t *flow);
static bool step_equal(const ffl_step_t *a, const ffl_step_t *b);
static uint64_t text_sum(const ffl_flow_spec_t *spec);

static const char *const state_names[FFL_FLOW__MAX] = {
	[FFL_FLOW_QUEUED] = "queued",	    [FFL_FLOW_RUNNING] = "running",
	[FFL_FLOW_COMPLETED] = "completed", [FFL_FLOW_FAILED] = "failed",
	[FFL_FLOW_CANCELLED] = "cancelled",
};

/** Order in which a flow passes through its states. Completed comes last: a
 * flow whose tasks are all done counts as completed even if it was visible as
 * cancelled before. */
static const uint8_t state_ranks[FFL_FLOW__MAX] = {
	[FFL_FLOW_QUEUED] = 0,	  [FFL_FLOW_RUNNING] = 1,
	[FFL_FLOW_CANCELLED] = 2, [FFL_FLOW_FAILED] = 2,
	[FFL_FLOW_COMPLETED] = 3,
};

const char *ffl_flow_state_name(uint32_t state)
{
	return state < FFL_FLOW__MAX ? state_names[state] : "?";
}

void ffl_flow_spec_init(ffl_flow_spec_t *spec)
{
	memset(spec, 0, sizeof(*spec));
}

void ffl_flow_spec_finish(ffl_flow_spec_t *spec)
{
	g_free(spec->steps);
	g_free(spec->spec);
	memset(spec, 0, sizeof(*spec));
}

bool ffl_flow_id_is_valid(const char *id)
{
	return strlen(id) == FFL_FLOW_ID_BYTES - 1 &&
	       strspn(id, "0123456789abcdefABCDEF") == FFL_FLOW_ID_BYTES - 1;
}

ffl_status_t ffl_flow_spec_validate(ffl_flow_spec_t *spec, ffl_err_t *err)
{
	uint64_t tasks = 0;

	if (!ffl_flow_id_is_valid(spec->id))
		return ffl_err_set(err, FFL_INVALID,
				   "the id is not 16 hexadecimal digits");
	if (!spec->spec || strlen(spec->spec) > FFL_FLOW_SPEC_BYTES_MAX)
		return ffl_err_set(err, FFL_INVALID,
				   "spec is missing or over %d bytes",
				   FFL_FLOW_SPEC_BYTES_MAX);
	if (!spec->steps_count || spec->steps_count > FFL_FLOW_STEPS_MAX)
		return ffl_err_set(err, FFL_INVALID,
				   "a job has 1 to %d steps, not %u",
				   FFL_FLOW_STEPS_MAX, spec->steps_count);
	if (!spec->occurrences)
		spec->occurrences = 1;
	for (uint32_t i = 0; i < spec->steps_count; i++) {
		ffl_step_t *step = &spec->steps[i];

		if (!step->tasks)
			return ffl_err_set(err, FFL_INVALID,
					   "steps[%u] has no tasks", i);
		if (step->prerequisites >> i)
			return ffl_err_set(err, FFL_INVALID,
					   "steps[%u] waits for a later step",
					   i);
		step->first_task = (uint32_t)tasks;
		tasks += step->tasks;
		if (tasks * spec->occurrences > FFL_FLOW_TASKS_MAX)
			return ffl_err_set(err, FFL_INVALID,
					   "more than %d tasks",
					   FFL_FLOW_TASKS_MAX);
	}
	spec->tasks_per_occurrence = (uint32_t)tasks;
	return FFL_OK;
}

static bool step_equal(const ffl_step_t *a, const ffl_step_t *b)
{
	return a->tasks == b->tasks && a->cpu_milli == b->cpu_milli &&
	       a->mem_mb == b->mem_mb && a->gpus == b->gpus &&
	       a->prerequisites == b->prerequisites && a->gang == b->gang &&
	       a->runs_until_cancelled == b->runs_until_cancelled &&
	       strcmp(a->rack, b->rack) == 0 && strcmp(a->label, b->label) == 0;
}

/* Never 0, which stands for a text that is there. */
static uint64_t text_sum(const ffl_flow_spec_t *spec)
{
	return spec->text_sum ? spec->text_sum
			      : ffl_hash(spec->spec, strlen(spec->spec), 0) | 1;
}

void ffl_flow_spec_drop_text(ffl_flow_spec_t *spec)
{
	spec->text_sum = text_sum(spec);
	g_free(spec->spec);
	spec->spec = g_strdup("");
}

void ffl_flow_spec_encode_ended(const ffl_flow_spec_t *spec, GByteArray *out)
{
	char none[] = "";
	ffl_flow_spec_t ended = *spec;

	ended.text_sum = text_sum(spec);
	ended.spec = none;
	ffl_flow_spec_encode(&ended, out);
}

void ffl_flow_spec_set_route(ffl_flow_spec_t *spec, const ffl_route_t *route)
{
	ffl_copy(spec->service, sizeof(spec->service), route->service);
	spec->priority = route->priority;
	spec->attempts_max = MAX(route->attempts_max, 1);
	spec->stretch_milli = route->stretch_milli;
	spec->objective_base_ms = route->objective_base_ms;
	spec->needs_tickets = route->needs_tickets;
	spec->advice = route->advice;
}

bool ffl_flow_spec_equal(const ffl_flow_spec_t *a, const ffl_flow_spec_t *b)
{
	if (a->steps_count != b->steps_count ||
	    a->occurrences != b->occurrences || text_sum(a) != text_sum(b) ||
	    !ffl_flow_spec_same_owner(a, b))
		return false;
	for (uint32_t i = 0; i < a->steps_count; i++) {
		if (!step_equal(&a->steps[i], &b->steps[i]))
			return false;
	}
	return true;
}

bool ffl_flow_spec_same_owner(const ffl_flow_spec_t *a,
			      const ffl_flow_spec_t *b)
{
	return strcmp(a->queue, b->queue) == 0 &&
	       strcmp(a->customer, b->customer) == 0;
}

void ffl_flow_spec_name(const ffl_flow_spec_t *spec,
			char out[FFL_SPEC_NAME_BYTES])
{
	uint64_t hash = ffl_hash(spec->queue, strlen(spec->queue), 0);

	hash = ffl_hash(spec->customer, strlen(spec->customer), hash);
	g_snprintf(out, FFL_SPEC_NAME_BYTES, "%s.%08" PRIx32, spec->id,
		   (uint32_t)hash);
}

static void task_clear(ffl_task_t *task)
{
	g_free(task->worker);
	g_free(task->checkpoint);
	memset(task, 0, sizeof(*task));
}

void ffl_flow_free(void *data)
{
	ffl_flow_t *flow = data;

	for (uint32_t i = 0; i < flow->tasks_count; i++)
		task_clear(&flow->tasks[i]);
	g_free(flow->tasks);
	g_free(flow->parts);
	g_free(flow->rates);
	ffl_flow_spec_finish(&flow->spec);
	g_free(flow);
}

void ffl_flows_init(ffl_flows_t *flows)
{
	flows->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     ffl_flow_free);
	flows->open = g_ptr_array_new();
	flows->early_progress = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);
	flows->early_cancels =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	flows->early_states =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	flows->rivals =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void ffl_flows_finish(ffl_flows_t *flows)
{
	g_ptr_array_free(flows->open, TRUE);
	g_hash_table_destroy(flows->by_id);
	g_hash_table_destroy(flows->early_progress);
	g_hash_table_destroy(flows->early_cancels);
	g_hash_table_destroy(flows->early_states);
	g_hash_table_destroy(flows->rivals);
}

ffl_flow_t *ffl_flows_find(const ffl_flows_t *flows, const char *id)
{
	return g_hash_table_lookup(flows->by_id, id);
}

/* Applies the records of progress that were read before the specification. */
static void adopt_early_progress(ffl_flows_t *flows, ffl_flow_t *flow)
{
	for (uint32_t i = 0; i < flow->parts_count; i++) {
		char name[FFL_PROGRESS_NAME_BYTES];
		const void *data;
		GBytes *early;
		gsize size;

		ffl_flow_progress_name(flow, i, name);
		early = g_hash_table_lookup(flows->early_progress, name);
		if (!early)
			continue;
		data = g_bytes_get_data(early, &size);
		if (ffl_flow_progress_decode((ffl_bytes_t){ data, size }, flow,
					     i) == FFL_OK) {
			flow->parts[i].known = true;
			flow->has_progress = true;
		}
		g_hash_table_remove(flows->early_progress, name);
	}
}

ffl_flow_t *ffl_flow_new(ffl_flow_spec_t *spec, uint64_t offset)
{
	ffl_flow_t *flow = g_new0(ffl_flow_t, 1);

	flow->spec = *spec;
	memset(spec, 0, sizeof(*spec));
	flow->spec_offset = offset;
	flow->tasks_count =
		flow->spec.tasks_per_occurrence * flow->spec.occurrences;
	flow->tasks = g_new0(ffl_task_t, flow->tasks_count);
	flow->parts_count = (flow->tasks_count + FFL_PROGRESS_TASKS_MAX - 1) /
			    FFL_PROGRESS_TASKS_MAX;
	flow->parts = g_new0(ffl_progress_part_t, flow->parts_count);
	return flow;
}

ffl_flow_t *ffl_flows_add(ffl_flows_t *flows, ffl_flow_spec_t *spec,
			  uint64_t offset)
{
	ffl_flow_t *flow = ffl_flows_find(flows, spec->id);
	ffl_flow_state_t state;

	if (flow) {
		ffl_flow_spec_finish(spec);
		return flow;
	}
	flow = ffl_flow_new(spec, offset);
	g_hash_table_insert(flows->by_id, flow->spec.id, flow);
	g_ptr_array_add(flows->open, flow);
	adopt_early_progress(flows, flow);
	if (g_hash_table_remove(flows->early_cancels, flow->spec.id))
		ffl_flows_cancel(flows, flow->spec.id, 0);
	state = (ffl_flow_state_t)GPOINTER_TO_UINT(
		g_hash_table_lookup(flows->early_states, flow->spec.id));
	g_hash_table_remove(flows->early_states, flow->spec.id);
	ffl_flows_apply_state(flows, flow->spec.id, state);
	return flow;
}

void ffl_flows_cancel(ffl_flows_t *flows, const char *id, uint32_t part)
{
	ffl_flow_t *flow = ffl_flows_find(flows, id);

	if (!flow) {
		g_hash_table_replace(flows->early_cancels, g_strdup(id),
				     GUINT_TO_POINTER(part));
		return;
	}
	flow->cancelled = true;
	ffl_flow_set_visible_state(flow, flow->visible_state);
}

/* The state with the higher rank wins, whichever record was read last: a
 * superseded leader may have written the other one. */
void ffl_flows_apply_state(ffl_flows_t *flows, const char *id,
			   ffl_flow_state_t state)
{
	ffl_flow_t *flow = ffl_flows_find(flows, id);

	if (!flow) {
		g_hash_table_replace(flows->early_states, g_strdup(id),
				     GUINT_TO_POINTER(state));
		return;
	}
	if (state_ranks[state] < state_ranks[flow->published_state])
		return;
	flow->published_state = state;
	if (state_ranks[state] >= state_ranks[flow->visible_state])
		ffl_flow_set_visible_state(flow, state);
}

void ffl_flow_set_visible_state(ffl_flow_t *flow, ffl_flow_state_t recorded)
{
	bool open = recorded == FFL_FLOW_QUEUED || recorded == FFL_FLOW_RUNNING;

	flow->visible_state =
		open && flow->cancelled ? FFL_FLOW_CANCELLED : recorded;
}

static bool parse_progress_name(const char *name, char id[FFL_FLOW_ID_BYTES],
				uint32_t *part)
{
	size_t id_bytes = strcspn(name, ".");
	guint64 n = 0;

	if (id_bytes >= FFL_FLOW_ID_BYTES)
		return false;
	memcpy(id, name, id_bytes);
	id[id_bytes] = '\0';
	if (name[id_bytes] &&
	    !g_ascii_string_to_unsigned(name + id_bytes + 1, 10, 1, UINT32_MAX,
					&n, NULL))
		return false;
	*part = (uint32_t)n;
	return true;
}

ffl_status_t ffl_flows_apply_progress(ffl_flows_t *flows, const char *name,
				      ffl_bytes_t value, uint64_t offset)
{
	char id[FFL_FLOW_ID_BYTES];
	ffl_progress_part_t *p;
	ffl_status_t status;
	ffl_flow_t *flow;
	uint32_t part;

	if (!parse_progress_name(name, id, &part))
		return FFL_INVALID;
	flow = ffl_flows_find(flows, id);
	if (!flow) {
		g_hash_table_replace(flows->early_progress, g_strdup(name),
				     g_bytes_new(value.data, value.size_bytes));
		return FFL_NOT_FOUND;
	}
	if (part >= flow->parts_count)
		return FFL_INVALID;
	p = &flow->parts[part];
	if (p->known && offset <= p->offset)
		return FFL_OK;
	status = ffl_flow_progress_decode(value, flow, part);
	if (status != FFL_OK)
		return status;
	p->known = true;
	p->offset = offset;
	flow->has_progress = true;
	return FFL_OK;
}

bool ffl_flow_state_is_final(ffl_flow_state_t state)
{
	return state != FFL_FLOW_QUEUED && state != FFL_FLOW_RUNNING;
}

void ffl_flows_close_published(ffl_flows_t *flows)
{
	for (guint i = flows->open->len; i-- > 0;) {
		ffl_flow_t *flow = g_ptr_array_index(flows->open, i);

		if (ffl_flow_state_is_final(flow->published_state))
			g_ptr_array_remove_index(flows->open, i);
	}
}

static void close_if_ended(ffl_flows_t *flows, ffl_flow_t *flow)
{
	if (ffl_flow_ended(flow) && !flow->placed_count)
		ffl_flows_close(flows, flow);
}

/* Progress is removed from the log before the specification. A flow without
 * progress whose published state is final has ended and must not start
 * again. */
void ffl_flows_adopt_progress(ffl_flows_t *flows)
{
	for (guint i = flows->open->len; i-- > 0;) {
		ffl_flow_t *flow = g_ptr_array_index(flows->open, i);

		if (flow->has_progress) {
			ffl_flow_set_visible_state(flow, ffl_flow_state(flow));
			close_if_ended(flows, flow);
		} else if (ffl_flow_state_is_final(flow->published_state)) {
			g_ptr_array_remove_index(flows->open, i);
		}
	}
}

static int compare_age(const void *a, const void *b)
{
	const ffl_flow_t *x = *(ffl_flow_t *const *)a;
	const ffl_flow_t *y = *(ffl_flow_t *const *)b;

	return ffl_flow_compare_age(x, y);
}

int ffl_flow_compare_age(const ffl_flow_t *x, const ffl_flow_t *y)
{
	if (x->age_ms != y->age_ms)
		return x->age_ms < y->age_ms ? -1 : 1;
	return x->spec_offset < y->spec_offset
		       ? -1
		       : x->spec_offset > y->spec_offset;
}

void ffl_flows_reset_progress(ffl_flows_t *flows)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_remove_all(flows->early_progress);
	g_ptr_array_set_size(flows->open, 0);
	g_hash_table_iter_init(&iter, flows->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		ffl_flow_t *flow = value;

		flow->has_progress = false;
		memset(flow->parts, 0,
		       flow->parts_count * sizeof(*flow->parts));
		flow->dirty_batch = 0;
		flow->ended_ms = 0;
		flow->dropped_ms = 0;
		g_ptr_array_add(flows->open, flow);
		for (uint32_t i = 0; i < flow->tasks_count; i++)
			task_clear(&flow->tasks[i]);
		flow->done_count = 0;
		flow->placed_count = 0;
		flow->started = false;
		flow->failed = false;
	}
	g_ptr_array_sort(flows->open, compare_age);
}

void ffl_flows_close(ffl_flows_t *flows, ffl_flow_t *flow)
{
	g_ptr_array_remove(flows->open, flow);
}

void ffl_flows_remove(ffl_flows_t *flows, const char *id)
{
	ffl_flow_t *flow = ffl_flows_find(flows, id);

	if (!flow)
		return;
	ffl_flows_close(flows, flow);
	g_hash_table_remove(flows->by_id, id);
}

uint32_t ffl_flows_queued_count(const ffl_flows_t *flows, const char *queue)
{
	uint32_t n = 0;

	for (guint i = 0; i < flows->open->len; i++) {
		const ffl_flow_t *flow = g_ptr_array_index(flows->open, i);

		if (flow->visible_state == FFL_FLOW_QUEUED &&
		    strcmp(flow->spec.queue, queue) == 0)
			n++;
	}
	return n;
}

ffl_flow_state_t ffl_flow_state(const ffl_flow_t *flow)
{
	if (flow->done_count == flow->tasks_count)
		return FFL_FLOW_COMPLETED;
	if (flow->cancelled)
		return FFL_FLOW_CANCELLED;
	if (flow->failed)
		return FFL_FLOW_FAILED;
	return flow->started ? FFL_FLOW_RUNNING : FFL_FLOW_QUEUED;
}

bool ffl_flow_ended(const ffl_flow_t *flow)
{
	return flow->cancelled || flow->failed || flow->spec.text_sum ||
	       flow->done_count == flow->tasks_count;
}

bool ffl_flow_has_runs(const ffl_flow_t *flow)
{
	for (uint32_t i = 0; i < flow->tasks_count; i++) {
		if (flow->tasks[i].live_runs)
			return true;
	}
	return false;
}

uint32_t ffl_flow_step_of(const ffl_flow_t *flow, uint32_t task)
{
	uint32_t index = task % flow->spec.tasks_per_occurrence;
	uint32_t step = 0;

	while (step + 1 < flow->spec.steps_count &&
	       flow->spec.steps[step + 1].first_task <= index)
		step++;
	return step;
}

uint32_t ffl_flow_first_task(const ffl_flow_t *flow, uint32_t occurrence,
			     uint32_t step)
{
	return occurrence * flow->spec.tasks_per_occurrence +
	       flow->spec.steps[step].first_task;
}

void ffl_flow_gang_range(const ffl_flow_t *flow, uint32_t task, uint32_t *first,
			 uint32_t *count)
{
	uint32_t step = ffl_flow_step_of(flow, task);

	*first = task;
	*count = 1;
	if (!flow->spec.steps[step].gang)
		return;
	*first = ffl_flow_first_task(
		flow, task / flow->spec.tasks_per_occurrence, step);
	*count = flow->spec.steps[step].tasks;
}

bool ffl_flow_step_ready(const ffl_flow_t *flow, uint32_t occurrence,
			 uint32_t step)
{
	uint64_t after = flow->spec.steps[step].prerequisites;

	for (uint32_t s = 0; s < step; s++) {
		uint32_t first;

		if (!(after >> s & 1))
			continue;
		first = ffl_flow_first_task(flow, occurrence, s);
		for (uint32_t i = 0; i < flow->spec.steps[s].tasks; i++) {
			if (flow->tasks[first + i].state != FFL_TASK_DONE)
				return false;
		}
	}
	return true;
}

void ffl_flow_task_set_state(ffl_flow_t *flow, uint32_t task,
			     ffl_task_state_t state)
{
	ffl_task_t *t = &flow->tasks[task];

	flow->placed_count -= t->state == FFL_TASK_PLACED;
	flow->done_count -= t->state == FFL_TASK_DONE;
	t->state = state;
	flow->placed_count += state == FFL_TASK_PLACED;
	flow->done_count += state == FFL_TASK_DONE;
	if (state == FFL_TASK_PLACED)
		return;
	g_clear_pointer(&t->worker, g_free);
	if (state == FFL_TASK_DONE)
		g_clear_pointer(&t->checkpoint, g_free);
}

void ffl_flow_task_place(ffl_flow_t *flow, uint32_t task, uint32_t run,
			 const char *worker, int64_t born_ms)
{
	ffl_task_t *t = &flow->tasks[task];

	ffl_flow_task_set_state(flow, task, FFL_TASK_PLACED);
	t->run = run;
	g_free(t->worker);
	t->worker = g_strdup(worker);
	t->born_ms = born_ms;
	flow->started = true;
}

static void set_checkpoint(ffl_task_t *task, const char *checkpoint)
{
	if (task->state == FFL_TASK_DONE ||
	    g_strcmp0(task->checkpoint, checkpoint) == 0)
		return;
	g_free(task->checkpoint);
	task->checkpoint = g_strdup(checkpoint);
}

void ffl_flow_task_set_checkpoint(ffl_flow_t *flow, uint32_t task,
				  const char *checkpoint)
{
	uint32_t first;
	uint32_t count;

	if (!checkpoint || !checkpoint[0] ||
	    strlen(checkpoint) > FFL_CHECKPOINT_BYTES_MAX)
		return;
	ffl_flow_gang_range(flow, task, &first, &count);
	for (uint32_t i = first; i < first + count; i++)
		set_checkpoint(&flow->tasks[i], checkpoint);
}
