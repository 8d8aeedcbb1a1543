#include <string.h>
#include <msgpack.h>

#include "fireflyledge/flow.h"
#include "lib/wire/pack.h"

/** Format versions of the records; records of another version are rejected. */
#define SPEC_VERSION	 1
#define PROGRESS_VERSION 1
/** Number of fields that each array must have. */
#define SPEC_FIELDS	    15
#define SPEC_FIELDS_WRITTEN 17 /**< needs_tickets, text_sum came later */
#define STEP_FIELDS	    18
#define PROGRESS_FIELDS	    4
#define TASK_FIELDS	    7

/** Reader of an array's fields in order; bad is sticky. */
typedef struct {
	const msgpack_object *next;
	uint32_t left;
	bool bad;
} fields_t;

static void pack_string(msgpack_packer *pk, const char *text);
static void pack_step(msgpack_packer *pk, const ffl_step_t *step);
static void pack_task(msgpack_packer *pk, const ffl_task_t *task);
static fields_t open_fields(const msgpack_object_array *array, uint32_t count);
static uint64_t read_u64(fields_t *f);
static uint32_t read_u32(fields_t *f);
static int64_t read_i64(fields_t *f);
static bool read_bool(fields_t *f);
static char *read_string(fields_t *f);
static void read_name(fields_t *f, ffl_name_t out);
static fields_t read_array(fields_t *f);
static void read_step(fields_t *f, ffl_step_t *out);
static void read_spec(fields_t *f, ffl_flow_spec_t *out);
static void read_task(fields_t *f, ffl_task_t *out);
static ffl_task_t *read_tasks(fields_t *f, uint32_t *count);
static void free_tasks(ffl_task_t *tasks, uint32_t count);
static void replace_tasks(ffl_flow_t *flow, uint32_t first, ffl_task_t *tasks,
			  uint32_t count);
static uint32_t part_first(uint32_t part);
static uint32_t part_count(const ffl_flow_t *flow, uint32_t part);
static bool has_part_progress(const ffl_flow_t *flow, uint32_t part);

static void pack_string(msgpack_packer *pk, const char *text)
{
	size_t n = text ? strlen(text) : 0;

	msgpack_pack_str(pk, n);
	msgpack_pack_str_body(pk, n ? text : "", n);
}

static void pack_step(msgpack_packer *pk, const ffl_step_t *step)
{
	msgpack_pack_array(pk, STEP_FIELDS);
	msgpack_pack_uint32(pk, step->tasks);
	msgpack_pack_uint32(pk, step->cpu_milli);
	msgpack_pack_uint32(pk, step->mem_mb);
	msgpack_pack_uint32(pk, step->gpus);
	msgpack_pack_uint32(pk, step->estimate_ms);
	msgpack_pack_uint64(pk, step->prerequisites);
	msgpack_pack_uint8(pk, step->gang);
	msgpack_pack_uint8(pk, step->same_rack);
	msgpack_pack_uint8(pk, step->writes_checkpoints);
	msgpack_pack_uint8(pk, step->allows_duplicates);
	msgpack_pack_uint8(pk, step->runs_until_cancelled);
	msgpack_pack_uint8(pk, step->best_effort);
	pack_string(pk, step->label);
	pack_string(pk, step->rack);
	pack_string(pk, step->image);
	msgpack_pack_uint32(pk, step->per_worker_max);
	msgpack_pack_uint32(pk, step->target_ms);
	msgpack_pack_uint32(pk, step->unavailable_max);
}

void ffl_flow_spec_encode(const ffl_flow_spec_t *spec, GByteArray *out)
{
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, ffl_wire_write);
	msgpack_pack_array(&pk, SPEC_FIELDS_WRITTEN);
	msgpack_pack_uint8(&pk, SPEC_VERSION);
	pack_string(&pk, spec->id);
	pack_string(&pk, spec->queue);
	pack_string(&pk, spec->service);
	pack_string(&pk, spec->customer);
	msgpack_pack_uint32(&pk, spec->priority);
	msgpack_pack_uint32(&pk, spec->attempts_max);
	msgpack_pack_uint32(&pk, spec->stretch_milli);
	msgpack_pack_uint32(&pk, spec->objective_base_ms);
	msgpack_pack_uint64(&pk, spec->accepted_ms);
	msgpack_pack_uint64(&pk, spec->start_at_ms);
	msgpack_pack_uint64(&pk, spec->interval_ms);
	msgpack_pack_uint32(&pk, spec->timed ? spec->occurrences : 0);
	pack_string(&pk, spec->spec);
	msgpack_pack_array(&pk, spec->steps_count);
	for (uint32_t i = 0; i < spec->steps_count; i++)
		pack_step(&pk, &spec->steps[i]);
	msgpack_pack_uint8(&pk, spec->needs_tickets);
	msgpack_pack_uint64(&pk, spec->text_sum);
}

/* An array that is missing, or too short, is bad. */
static fields_t open_fields(const msgpack_object_array *array, uint32_t count)
{
	fields_t f = { NULL, 0, true };

	if (!array || array->size < count)
		return f;
	f.next = array->ptr;
	f.left = array->size;
	f.bad = false;
	return f;
}

static uint64_t read_u64(fields_t *f)
{
	if (f->bad || !f->left ||
	    f->next->type != MSGPACK_OBJECT_POSITIVE_INTEGER) {
		f->bad = true;
		return 0;
	}
	f->left--;
	return f->next++->via.u64;
}

static uint32_t read_u32(fields_t *f)
{
	uint64_t n = read_u64(f);

	if (n > UINT32_MAX)
		f->bad = true;
	return (uint32_t)n;
}

static int64_t read_i64(fields_t *f)
{
	if (!f->bad && f->left &&
	    f->next->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
		f->left--;
		return f->next++->via.i64;
	}
	return (int64_t)read_u64(f);
}

static bool read_bool(fields_t *f)
{
	return read_u64(f) != 0;
}

static char *read_string(fields_t *f)
{
	const msgpack_object *obj = f->next;

	if (f->bad || !f->left || obj->type != MSGPACK_OBJECT_STR) {
		f->bad = true;
		return NULL;
	}
	f->left--;
	f->next++;
	return g_strndup(obj->via.str.ptr, obj->via.str.size);
}

static void read_name(fields_t *f, ffl_name_t out)
{
	char *text = read_string(f);

	if (text && !ffl_copy(out, FFL_NAME_BYTES, text))
		f->bad = true;
	g_free(text);
}

static fields_t read_array(fields_t *f)
{
	fields_t inner = { NULL, 0, true };

	if (f->bad || !f->left || f->next->type != MSGPACK_OBJECT_ARRAY) {
		f->bad = true;
		return inner;
	}
	f->left--;
	return open_fields(&(f->next++)->via.array, 0);
}

static void read_step(fields_t *f, ffl_step_t *out)
{
	out->tasks = read_u32(f);
	out->cpu_milli = read_u32(f);
	out->mem_mb = read_u32(f);
	out->gpus = read_u32(f);
	out->estimate_ms = read_u32(f);
	out->prerequisites = read_u64(f);
	out->gang = read_bool(f);
	out->same_rack = read_bool(f);
	out->writes_checkpoints = read_bool(f);
	out->allows_duplicates = read_bool(f);
	out->runs_until_cancelled = read_bool(f);
	out->best_effort = read_bool(f);
	read_name(f, out->label);
	read_name(f, out->rack);
	read_name(f, out->image);
	out->per_worker_max = read_u32(f);
	out->target_ms = read_u32(f);
	out->unavailable_max = read_u32(f);
}

static void read_spec(fields_t *f, ffl_flow_spec_t *out)
{
	fields_t steps;
	char *id;

	if (read_u64(f) != SPEC_VERSION)
		f->bad = true;
	id = read_string(f);
	if (id && !ffl_copy(out->id, sizeof(out->id), id))
		f->bad = true;
	g_free(id);
	read_name(f, out->queue);
	read_name(f, out->service);
	read_name(f, out->customer);
	out->priority = read_u32(f);
	out->attempts_max = read_u32(f);
	out->stretch_milli = read_u32(f);
	out->objective_base_ms = read_u32(f);
	out->accepted_ms = read_u64(f);
	out->start_at_ms = read_u64(f);
	out->interval_ms = read_u64(f);
	out->occurrences = read_u32(f);
	out->timed = out->occurrences > 0;
	out->spec = read_string(f);
	steps = read_array(f);
	if (steps.left > FFL_FLOW_STEPS_MAX)
		f->bad = true;
	if (f->bad)
		return;
	out->steps_count = steps.left;
	out->steps = g_new0(ffl_step_t, out->steps_count);
	for (uint32_t i = 0; i < out->steps_count; i++) {
		fields_t step = read_array(&steps);

		read_step(&step, &out->steps[i]);
		f->bad = f->bad || step.bad;
	}
	out->needs_tickets = f->left && read_bool(f);
	out->text_sum = f->left ? read_u64(f) : 0;
}

ffl_status_t ffl_flow_spec_decode(ffl_bytes_t in, ffl_flow_spec_t *out)
{
	msgpack_unpacked msg;
	ffl_err_t err;
	fields_t f;

	ffl_flow_spec_init(out);
	msgpack_unpacked_init(&msg);
	f = open_fields(ffl_wire_unpack_array(in, &msg), SPEC_FIELDS);
	read_spec(&f, out);
	msgpack_unpacked_destroy(&msg);
	if (!f.bad && ffl_flow_spec_validate(out, &err) == FFL_OK)
		return FFL_OK;
	ffl_flow_spec_finish(out);
	return FFL_INVALID;
}

static void pack_task(msgpack_packer *pk, const ffl_task_t *task)
{
	msgpack_pack_array(pk, TASK_FIELDS);
	msgpack_pack_uint8(pk, (uint8_t)task->state);
	msgpack_pack_uint32(pk, task->run);
	msgpack_pack_uint32(pk, task->failures);
	msgpack_pack_uint32(pk, task->failed_run);
	pack_string(pk, task->worker);
	msgpack_pack_int64(pk, task->worker ? task->born_ms : 0);
	pack_string(pk, task->checkpoint);
}

static uint32_t part_first(uint32_t part)
{
	return part * FFL_PROGRESS_TASKS_MAX;
}

static uint32_t part_count(const ffl_flow_t *flow, uint32_t part)
{
	return MIN(flow->tasks_count - part_first(part),
		   FFL_PROGRESS_TASKS_MAX);
}

uint32_t ffl_flow_progress_bytes_max(const ffl_flow_spec_t *spec)
{
	uint32_t tasks = spec->tasks_per_occurrence * spec->occurrences;

	return FFL_PROGRESS_FRAME_BYTES_MAX +
	       MIN(tasks, FFL_PROGRESS_TASKS_MAX) * FFL_PROGRESS_TASK_BYTES_MAX;
}

void ffl_flow_progress_name(const ffl_flow_t *flow, uint32_t part,
			    char out[FFL_PROGRESS_NAME_BYTES])
{
	if (part)
		g_snprintf(out, FFL_PROGRESS_NAME_BYTES, "%s.%u", flow->spec.id,
			   part);
	else
		ffl_copy(out, FFL_PROGRESS_NAME_BYTES, flow->spec.id);
}

static bool has_part_progress(const ffl_flow_t *flow, uint32_t part)
{
	const ffl_task_t *tasks = &flow->tasks[part_first(part)];
	uint32_t count = part_count(flow, part);

	for (uint32_t i = 0; i < count; i++) {
		if (tasks[i].state != FFL_TASK_WAITING || tasks[i].run ||
		    tasks[i].failures)
			return true;
	}
	return false;
}

bool ffl_flow_progress_encode_changed(ffl_flow_t *flow, uint32_t part,
				      GByteArray *out)
{
	ffl_progress_part_t *p = &flow->parts[part];
	uint64_t sum;

	/* The first part also tells that the flow has no progress yet. */
	if (part && !p->known && !has_part_progress(flow, part))
		return false;
	g_byte_array_set_size(out, 0);
	ffl_flow_progress_encode(flow, part, out);
	sum = ffl_hash(out->data, out->len, PROGRESS_VERSION);
	if (p->sum == sum)
		return false;
	p->sum = sum;
	p->known = true;
	return true;
}

void ffl_flow_progress_encode(const ffl_flow_t *flow, uint32_t part,
			      GByteArray *out)
{
	uint32_t first = part_first(part);
	uint32_t count = part_count(flow, part);
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, ffl_wire_write);
	msgpack_pack_array(&pk, PROGRESS_FIELDS);
	msgpack_pack_uint8(&pk, PROGRESS_VERSION);
	msgpack_pack_uint8(&pk, flow->failed);
	msgpack_pack_uint8(&pk, flow->started);
	msgpack_pack_array(&pk, count);
	for (uint32_t i = first; i < first + count; i++)
		pack_task(&pk, &flow->tasks[i]);
}

static void read_task(fields_t *f, ffl_task_t *out)
{
	uint64_t state = read_u64(f);

	if (state >= FFL_TASK__MAX)
		f->bad = true;
	out->state = (ffl_task_state_t)state;
	out->run = read_u32(f);
	out->failures = read_u32(f);
	out->failed_run = read_u32(f);
	out->worker = read_string(f);
	out->born_ms = read_i64(f);
	out->checkpoint = read_string(f);
	if (out->checkpoint && !out->checkpoint[0])
		g_clear_pointer(&out->checkpoint, g_free);
	if (out->state != FFL_TASK_PLACED)
		g_clear_pointer(&out->worker, g_free);
}

static void free_tasks(ffl_task_t *tasks, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		g_free(tasks[i].worker);
		g_free(tasks[i].checkpoint);
	}
	g_free(tasks);
}

static ffl_task_t *read_tasks(fields_t *f, uint32_t *count)
{
	fields_t rows = read_array(f);
	ffl_task_t *tasks;

	*count = rows.left;
	if (f->bad || rows.left > FFL_FLOW_TASKS_MAX)
		return NULL;
	tasks = g_new0(ffl_task_t, rows.left);
	for (uint32_t i = 0; i < *count && !f->bad; i++) {
		fields_t row = read_array(&rows);

		read_task(&row, &tasks[i]);
		f->bad = row.bad;
	}
	return tasks;
}

static void replace_tasks(ffl_flow_t *flow, uint32_t first, ffl_task_t *tasks,
			  uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		ffl_task_t *task = &flow->tasks[first + i];

		flow->done_count -= task->state == FFL_TASK_DONE;
		flow->placed_count -= task->state == FFL_TASK_PLACED;
		g_free(task->worker);
		g_free(task->checkpoint);
		*task = tasks[i];
		flow->done_count += task->state == FFL_TASK_DONE;
		flow->placed_count += task->state == FFL_TASK_PLACED;
	}
	g_free(tasks);
}

ffl_status_t ffl_flow_progress_decode(ffl_bytes_t in, ffl_flow_t *flow,
				      uint32_t part)
{
	msgpack_unpacked msg;
	ffl_task_t *tasks;
	fields_t f;
	bool failed;
	bool started;
	uint32_t count = 0;

	msgpack_unpacked_init(&msg);
	f = open_fields(ffl_wire_unpack_array(in, &msg), PROGRESS_FIELDS);
	if (read_u64(&f) != PROGRESS_VERSION)
		f.bad = true;
	failed = read_bool(&f);
	started = read_bool(&f);
	tasks = read_tasks(&f, &count);
	msgpack_unpacked_destroy(&msg);
	if (f.bad || !tasks ||
	    (count != part_count(flow, part) &&
	     (part || count != flow->tasks_count))) {
		if (tasks)
			free_tasks(tasks, count);
		return FFL_INVALID;
	}
	if (!part) {
		flow->failed = failed;
		flow->started = started;
	}
	replace_tasks(flow, part_first(part), tasks, count);
	/* Parts that were written as one record have to be written anew. */
	for (uint32_t i = 0; i < flow->parts_count && !part; i++)
		flow->parts[i].known |= count == flow->tasks_count;
	return FFL_OK;
}
