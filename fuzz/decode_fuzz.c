/*
 * Bytes from outside in every decoder of platform/: nothing crashes, nothing
 * is taken that breaks the bounds of the types, and memory is bounded.
 */
#include <string.h>

#include "fuzz/fuzz.h"
#include "platform/platform.h"

/** Decoders: the first byte chooses one. */
typedef enum {
	PART_JOB,
	PART_CONFIG,
	PART_ENTRY,
	PART_READ,
	PART_NEWEST,
	PART_APPEND,
	PART_HOLD,
	PART_SPEC,
	PART_PROGRESS,
	PART__MAX
} part_t;

/** Fragments that random bytes seldom form. */
static const char *const words[] = {
	"{\"spec\":\"s\",\"steps\":[{\"count\":2}]}",
	"{\"version\":1,\"routes\":[],\"tenants\":[]}",
	"{\"items\":[{\"key\":\"j1\",\"value\":\"YQ==\",\"offset\":4}],"
	"\"has_more\":false,\"end_offset\":5}",
	"{\"running\":[[\"a.0.0.1\",1,\"\",3]],\"finished\":[[1,\"a.0.0.1\","
	"1,\"done\",\"\"]]}",
	"{\"address\":\"10.0.0.9:1\",\"service\":\"s\",\"zone\":\"z\","
	"\"state\":\"ready\","
	"\"capacity\":{\"cpu\":1}}",
	"{\"address\":\"",
	"10.0.0.9:1",
	"\",\"service\":\"s\",\"zone\":\"z\",\"state\":\"ready\",\"capacity\":{"
	"}}",
	"{\"offset\":1,\"end_offset\":2}",
	"{",
	"}",
	"[",
	"]",
	":",
	",",
	"\"steps\"",
	"\"depends_on\"",
	"-1",
	"1e400",
	"null",
	"\"count\"",
	"4294967296",
};

static const char *run(const uint8_t *ops, size_t op_count, GString *trace);
static GByteArray *make_body(const uint8_t *ops, size_t op_count);
static const char *decode_job(ffl_bytes_t body);
static const char *decode_store(part_t part, ffl_bytes_t body);
static const char *decode_progress(ffl_bytes_t body);
static const char *decode_entry(ffl_bytes_t body, ffl_arena_t *arena);

const fuzz_target_t fuzz_target = { "decode", 2, run };

/* An operation adds a fragment, or a raw byte. */
static GByteArray *make_body(const uint8_t *ops, size_t op_count)
{
	GByteArray *body = g_byte_array_new();

	for (size_t i = 1; i < op_count; i++) {
		const uint8_t *b = &ops[2 * i];
		const char *word = words[b[1] % G_N_ELEMENTS(words)];

		if (b[0] % 2)
			g_byte_array_append(body, (const guint8 *)word,
					    (guint)strlen(word));
		else
			g_byte_array_append(body, &b[1], 1);
	}
	return body;
}

static const char *decode_job(ffl_bytes_t body)
{
	char problem[FFL_REASON_BYTES];
	ffl_flow_spec_t *spec =
		ffl_pf_job_decode(body, problem, sizeof(problem));
	const char *fault = NULL;
	ffl_err_t err;

	if (!spec)
		return problem[0] ? NULL : "a refusal without a reason";
	ffl_copy(spec->id, sizeof(spec->id), "5c0e7a21d94b36f8");
	if (ffl_flow_spec_validate(spec, &err) == FFL_OK &&
	    (uint64_t)spec->tasks_per_occurrence * spec->occurrences >
		    FFL_FLOW_TASKS_MAX)
		fault = "more tasks than the bound";
	ffl_flow_spec_finish(spec);
	g_free(spec);
	return fault;
}

static const char *decode_store(part_t part, ffl_bytes_t body)
{
	static const ffl_node_act_kind_t kinds[PART__MAX] = {
		[PART_READ] = FFL_NODE_ACT_READ,
		[PART_NEWEST] = FFL_NODE_ACT_NEWEST,
		[PART_APPEND] = FFL_NODE_ACT_APPEND,
		[PART_HOLD] = FFL_NODE_ACT_ORDER,
	};
	ffl_pf_context_t about = { .kind = kinds[part],
				   .order = FFL_ORDER_RENEW };
	ffl_pf_result_t answer = { 1, 200, body };
	ffl_store_reply_t reply;
	ffl_arena_t arena;
	ffl_reply_t worker;

	ffl_arena_init(&arena);
	if (part == PART_HOLD) {
		ffl_pf_worker_reply_decode(&about, &answer, &arena, &worker);
	} else {
		for (uint32_t t = 0; t < FFL_TOPIC__MAX; t++) {
			about.topic = (ffl_topic_t)t;
			ffl_pf_store_reply_decode(&about, &answer, &arena,
						  &reply);
			ffl_pf_store_reply_finish(&reply);
		}
	}
	ffl_arena_finish(&arena);
	return NULL;
}

static const char *decode_progress(ffl_bytes_t body)
{
	ffl_flow_spec_t spec = { .id = "5c0e7a21d94b36f8", .steps_count = 1 };
	const char *fault = NULL;
	ffl_flows_t flows;
	ffl_flow_t *flow;
	ffl_err_t err;

	spec.spec = g_strdup("s");
	spec.steps = g_new0(ffl_step_t, 1);
	spec.steps[0].tasks = 2;
	ffl_flow_spec_validate(&spec, &err);
	ffl_flows_init(&flows);
	flow = ffl_flows_add(&flows, &spec, 1);
	ffl_flow_progress_decode(body, flow, 0);
	if (flow->done_count + flow->placed_count > flow->tasks_count)
		fault = "more tasks than there are";
	ffl_flows_finish(&flows);
	return fault;
}

static const char *decode_entry(ffl_bytes_t body, ffl_arena_t *arena)
{
	const char *problem;
	const ffl_worker_entry_t *entry =
		ffl_pf_worker_entry_decode("i-1", body, arena, &problem);

	if (!entry)
		return problem ? NULL : "an entry is refused without a reason";
	return strspn(entry->addr, "0123456789.:") == strlen(entry->addr)
		       ? NULL
		       : "an address that is not a number";
}

static const char *run(const uint8_t *ops, size_t op_count, GString *trace)
{
	part_t part = op_count ? (part_t)(ops[0] % PART__MAX) : PART_JOB;
	GByteArray *raw = make_body(ops, op_count);
	ffl_bytes_t body = { raw->data, raw->len };
	const char *fault = NULL;
	ffl_flow_spec_t spec;
	ffl_routes_t routes;
	ffl_arena_t arena;

	ffl_arena_init(&arena);
	if (part == PART_JOB)
		fault = decode_job(body);
	else if (part == PART_CONFIG && !ffl_pf_config_decode(body, &routes))
		ffl_routes_finish(&routes);
	else if (part == PART_ENTRY)
		fault = decode_entry(body, &arena);
	else if (part == PART_SPEC &&
		 ffl_flow_spec_decode(body, &spec) == FFL_OK)
		ffl_flow_spec_finish(&spec);
	else if (part == PART_PROGRESS)
		fault = decode_progress(body);
	else if (part >= PART_READ && part <= PART_HOLD)
		fault = decode_store(part, body);
	if (trace)
		g_string_append_printf(trace, "part %d, %u bytes\n", part,
				       raw->len);
	fuzz_steps(op_count);
	ffl_arena_finish(&arena);
	g_byte_array_unref(raw);
	return fault;
}
