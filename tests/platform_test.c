/** @file Tests of the encoding and decoding of platform messages. */
#include <pthread.h>
#include <string.h>

#include "platform/platform.h"

/** Stack of a thread that decodes: an eighth of the default. */
#define STACK_BYTES (1 << 20)

/** The body of a submitted job and the problem that decoding must report; NULL
 * if the body is valid. */
typedef struct {
	const char *name;
	const char *body;
	const char *problem;
} job_case_t;

#define STEP "{\"count\":2,\"cpu\":500,\"gpu\":1}"

static const job_case_t job_cases[] = {
	{ "plain", "{\"spec\":\"s\",\"steps\":[" STEP "]}", NULL },
	{ "zeros left out", "{\"spec\":\"\",\"steps\":[{\"count\":1}]}", NULL },
	{ "depends",
	  "{\"spec\":\"s\",\"steps\":[" STEP
	  ",{\"count\":1,\"depends_on\":[0]}]}",
	  NULL },
	{ "repeated",
	  "{\"spec\":\"s\",\"steps\":[" STEP
	  "],\"repeat_count\":3,\"start_at_ms\":5,\"interval_ms\":10}",
	  NULL },
	{ "no JSON", "spec", "the body is not a JSON object" },
	{ "list", "[]", "the body is not a JSON object" },
	{ "no spec", "{\"steps\":[" STEP "]}", "spec cannot be read" },
	{ "spec is a number", "{\"spec\":1,\"steps\":[" STEP "]}",
	  "spec cannot be read" },
	{ "no steps", "{\"spec\":\"s\"}", "steps cannot be read" },
	{ "steps empty", "{\"spec\":\"s\",\"steps\":[]}",
	  "steps cannot be read" },
	{ "negative", "{\"spec\":\"s\",\"steps\":[{\"count\":-1}]}",
	  "steps[0].count cannot be read" },
	{ "overflow", "{\"spec\":\"s\",\"steps\":[{\"count\":4294967296}]}",
	  "steps[0].count cannot be read" },
	{ "fraction", "{\"spec\":\"s\",\"steps\":[{\"count\":1.5}]}",
	  "steps[0].count cannot be read" },
	{ "flag is text",
	  "{\"spec\":\"s\",\"steps\":[{\"count\":1,\"gang\":\"yes\"}]}",
	  "steps[0].gang cannot be read" },
	{ "label is a number",
	  "{\"spec\":\"s\",\"steps\":[{\"count\":1,\"required_label\":7}]}",
	  "steps[0].required_label cannot be read" },
	{ "depends on itself by number",
	  "{\"spec\":\"s\",\"steps\":[{\"count\":1,\"depends_on\":[64]}]}",
	  "steps[0].depends_on cannot be read" },
	{ "repeat absurd",
	  "{\"spec\":\"s\",\"steps\":[" STEP "],\"repeat_count\":99999999}",
	  "repeat_count cannot be read" },
};

/** A job whose body decodes, and the problem that validation must report; NULL
 * if it is valid. */
typedef struct {
	const char *name;
	const char *id;
	const char *body;
	const char *problem;
} validate_case_t;

static const validate_case_t validate_cases[] = {
	{ "fine", "5c0e7a21d94b36f8", "{\"spec\":\"s\",\"steps\":[" STEP "]}",
	  NULL },
	{ "short id", "5c0e", "{\"spec\":\"s\",\"steps\":[" STEP "]}",
	  "the id is not 16 hexadecimal digits" },
	{ "odd id", "5c0e7a21d94b36fz", "{\"spec\":\"s\",\"steps\":[" STEP "]}",
	  "the id is not 16 hexadecimal digits" },
	{ "cycle", "5c0e7a21d94b36f8",
	  "{\"spec\":\"s\",\"steps\":[{\"count\":1,\"depends_on\":[1]}," STEP
	  "]}",
	  "steps[0] waits for a later step" },
	{ "itself", "5c0e7a21d94b36f8",
	  "{\"spec\":\"s\",\"steps\":[{\"count\":1,\"depends_on\":[0]}]}",
	  "steps[0] waits for a later step" },
	{ "no tasks", "5c0e7a21d94b36f8",
	  "{\"spec\":\"s\",\"steps\":[{\"cpu\":1}]}", "steps[0] has no tasks" },
	{ "too many", "5c0e7a21d94b36f8",
	  "{\"spec\":\"s\",\"steps\":[{\"count\":4000000000}]}",
	  "more than 65536 tasks" },
	{ "too many times", "5c0e7a21d94b36f8",
	  "{\"spec\":\"s\",\"steps\":[{\"count\":2000}],\"repeat_count\":2000}",
	  "more than 65536 tasks" },
};

/** How an append call ended, and the outcome that it must decode to. After a
 * second sending an error does not tell whether the first took effect. */
typedef struct {
	const char *name;
	uint32_t sent;
	long status;
	const char *body;
	ffl_store_outcome_t outcome;
} append_case_t;

static const append_case_t append_cases[] = {
	{ "done", 1, 200, "{\"offset\":4,\"end_offset\":6}", FFL_STORE_OK },
	{ "unreadable", 1, 200, "done", FFL_STORE_UNKNOWN },
	{ "half", 1, 200, "{\"end_offset\":6}", FFL_STORE_UNKNOWN },
	{ "never sent", 0, 0, "", FFL_STORE_REFUSED },
	{ "no answer", 1, 0, "", FFL_STORE_UNKNOWN },
	{ "elsewhere", 1, 412, "{\"end_offset\":6}", FFL_STORE_MOVED },
	{ "busy", 1, 503, "", FFL_STORE_REFUSED },
	{ "too many", 1, 429, "", FFL_STORE_REFUSED },
	{ "full", 1, 507, "", FFL_STORE_REFUSED },
	{ "busy after a reset", 2, 503, "", FFL_STORE_UNKNOWN },
	{ "too many after a reset", 2, 429, "", FFL_STORE_UNKNOWN },
	{ "odd", 1, 500, "", FFL_STORE_UNKNOWN },
};

/** The answer of a worker to a start order, and the outcome that it must decode
 * to. */
typedef struct {
	const char *name;
	uint32_t sent;
	long status;
	const char *body;
	ffl_reply_outcome_t outcome;
} start_case_t;

static const start_case_t start_cases[] = {
	{ "started", 1, 200, "{\"clock_ms\":5}", FFL_REPLY_OK },
	{ "unreadable", 1, 200, "", FFL_REPLY_UNKNOWN },
	{ "fenced", 1, 409, "{\"reason\":\"fence\"}", FFL_REPLY_FENCED },
	{ "old", 1, 409, "{\"reason\":\"old\"}", FFL_REPLY_STALE_RUN },
	{ "late", 1, 409, "{\"reason\":\"late\"}", FFL_REPLY_LEASE_EXPIRED },
	{ "ticket", 1, 409, "{\"clock_ms\":5,\"reason\":\"ticket\"}",
	  FFL_REPLY_BAD_TICKET },
	{ "room", 1, 409, "{\"reason\":\"room\"}", FFL_REPLY_NO_RESOURCES },
	{ "odd reason", 1, 409, "{\"reason\":7}", FFL_REPLY_INVALID },
	{ "room after a reset", 2, 409, "{\"reason\":\"room\"}",
	  FFL_REPLY_UNKNOWN },
	{ "other life", 1, 421, "{}", FFL_REPLY_OTHER_INCARNATION },
	{ "unhealthy", 1, 503, "", FFL_REPLY_UNHEALTHY },
	{ "no answer", 1, 0, "", FFL_REPLY_UNKNOWN },
	{ "not sent", 0, 0, "", FFL_REPLY_NOT_SENT },
};

/** The value of a worker's entry, and whether it must be accepted. */
typedef struct {
	const char *name;
	const char *value;
	bool valid;
} entry_case_t;

#define CAPACITY "\"capacity\":{\"cpu\":16000,\"mem_mb\":32768,\"gpu\":8}"
#define ENTRY(state)                                                     \
	"{\"service\":\"s\",\"address\":\"10.0.0.9:80\",\"zone\":\"z\"," \
	"\"state\":\"" state "\"," CAPACITY                              \
	",\"labels\":[\"a\",\"r1-3\"],\"clock_ms\":5,\"born\":7}"

#define ENTRY_OF(addr, capacity, more)                                \
	"{\"service\":\"s\",\"address\":\"" addr "\",\"zone\":\"z\"," \
	"\"state\":\"ready\"," capacity                               \
	",\"labels\":[\"a\",\"r1-3\"],\"born\":7" more "}"
#define AT(addr)   ENTRY_OF(addr, CAPACITY, "")
#define WITH(more) ENTRY_OF("10.0.0.9:80", CAPACITY, "," more)
#define ROOM(cpu, mem, gpu)                                      \
	ENTRY_OF("10.0.0.9:80",                                  \
		 "\"capacity\":{\"cpu\":" cpu ",\"mem_mb\":" mem \
		 ",\"gpu\":" gpu "}",                            \
		 "")

static const entry_case_t entry_cases[] = {
	{ "ready", ENTRY("ready"), true },
	{ "draining", ENTRY("draining"), true },
	{ "odd state", ENTRY("resting"), false },
	{ "no JSON", "\xff\xfe", false },
	{ "no address",
	  "{\"zone\":\"z\",\"service\":\"s\",\"state\":\"ready\"," CAPACITY "}",
	  false },
	{ "no room",
	  "{\"zone\":\"z\",\"service\":\"s\",\"address\":\"10.0.0.9:80\","
	  "\"state\":\"ready\"}",
	  false },
	{ "room is text",
	  "{\"zone\":\"z\",\"service\":\"s\",\"address\":\"10.0.0.9:80\","
	  "\"state\":\"ready\",\"capacity\":{\"cpu\":\"many\"}}",
	  false },
	{ "labels are numbers",
	  "{\"zone\":\"z\",\"service\":\"s\",\"address\":\"10.0.0.9:80\","
	  "\"state\":\"ready\"," CAPACITY ",\"labels\":[1]}",
	  false },
	{ "list", "[]", false },
	{ "empty object", "{}", false },
	{ "key twice", WITH("\"state\":\"ready\""), false },
	{ "more after the end", ENTRY("ready") "]", false },
	{ "text not in UTF-8", WITH("\"version\":\"\xc3\x28\""), false },
	{ "text with a NUL", WITH("\"version\":\"a\\u0000b\""), false },
	{ "half a surrogate", WITH("\"version\":\"\\ud800\""), false },
	{ "number of 20 digits", WITH("\"sequence\":99999999999999999999"),
	  false },
	{ "real too large", WITH("\"sequence\":1e400"), false },
	{ "other fields", WITH("\"slots\":-7,\"cold\":[[{}]]"), true },
	{ "slots are text", WITH("\"slots\":\"four\""), false },
	{ "slots are a list", WITH("\"slots\":[4]"), false },
	{ "cold for true", WITH("\"cold_remaining_ms\":true"), false },
	{ "cold for a fraction", WITH("\"cold_remaining_ms\":0.5"), true },
	{ "sequence is an object", WITH("\"sequence\":{}"), false },
	{ "no zone",
	  "{\"service\":\"s\",\"address\":\"10.0.0.9:80\","
	  "\"state\":\"ready\"," CAPACITY "}",
	  false },
	{ "no service",
	  "{\"zone\":\"z\",\"address\":\"10.0.0.9:80\",\"state\":"
	  "\"ready\"," CAPACITY "}",
	  false },
	{ "drain negative", WITH("\"drain_remaining_ms\":-1"), false },
	{ "drain too long", WITH("\"drain_remaining_ms\":4294967296"), false },
	{ "drain is a fraction", WITH("\"drain_remaining_ms\":0.5"), false },
	{ "cores in full", ROOM("16000.0", "32768", "8"), true },
	{ "cores in part", ROOM("16000.5", "32768", "8"), false },
	{ "cores negative", ROOM("-1", "32768", "8"), false },
	{ "cores true", ROOM("true", "32768", "8"), false },
	{ "cores absurd", ROOM("4294967295", "32768", "8"), false },
	{ "cores over 32 bits", ROOM("4294967296", "32768", "8"), false },
	{ "memory absurd", ROOM("16000", "4294967295", "8"), false },
	{ "gpus absurd", ROOM("16000", "32768", "4294967295"), false },
	{ "gpus over 64 bits", ROOM("16000", "32768", "1e30"), false },
	{ "highest port", AT("10.0.0.9:65535"), true },
	{ "port 0", AT("10.0.0.9:0"), false },
	{ "port 65536", AT("10.0.0.9:65536"), false },
	{ "port 99999", AT("10.0.0.9:99999"), false },
	{ "port of 20 digits", AT("10.0.0.9:18446744073709551696"), false },
	{ "port signed", AT("10.0.0.9:+80"), false },
	{ "port negative", AT("10.0.0.9:-80"), false },
	{ "port with a space", AT("10.0.0.9: 80"), false },
	{ "port with zeros", AT("10.0.0.9:080"), false },
	{ "port in hex", AT("10.0.0.9:0x50"), false },
	{ "port empty", AT("10.0.0.9:"), false },
	{ "no port", AT("10.0.0.9"), false },
	{ "only a port", AT(":80"), false },
	{ "address of the host itself", AT("0.0.0.0:80"), false },
	{ "part over 255", AT("10.0.0.256:80"), false },
	{ "three parts", AT("10.0.9:80"), false },
	{ "one number", AT("167772169:80"), false },
	{ "host name", AT("worker-9:80"), false },
	{ "IPv6", AT("[::1]:80"), false },
	{ "bracket open", AT("[::1"), false },
	{ "path", AT("10.0.0.9:80/x"), false },
	{ "question", AT("10.0.0.9:80?x=1"), false },
	{ "user", AT("a@10.0.0.9:80"), false },
	{ "host after a user", AT("10.0.0.9:80@10.0.0.8:80"), false },
	{ "scheme", AT("http://10.0.0.9:80"), false },
	{ "space", AT("a b"), false },
	{ "line ends", AT("10.0.0.9:80\\r\\nX-A: b"), false },
	{ "too long", AT("10.0.0.9:80000000000000000000000000000000000000000"),
	  false },
};

/** The id of a worker, and whether its entry must be accepted. */
typedef struct {
	const char *id;
	bool valid;
} id_case_t;

static const id_case_t id_cases[] = {
	{ "i-1", true },
	{ "", false },
	{ "i 1", false },
	{ "i-1\r\nX-Fencing: 9", false },
	{ "i-\xc3\xa9", false },
	{ "i-\xff", false },
	{ "01234567890123456789012345678901234567890123456", true },
	{ "012345678901234567890123456789012345678901234567", false },
};

static ffl_bytes_t bytes_of(const char *text);
static void test_progress_parts(void);
static void test_jobs(void);
static void test_validate(void);
static void test_appends(void);
static void test_starts(void);
static void test_entries(void);
static const ffl_worker_entry_t *decode_entry(const char *value,
					      ffl_arena_t *arena);
static void test_entry_cold(void);
static void test_entry_number(void);
static void test_entry_ids(void);
static void *decode_nested(void *depth);
static void test_entry_nested_deeply(void);
static char *long_name(size_t bytes, char last);
static void test_records(void);
static void test_odd_keys_in_page(void);
static void test_empty_page(void);
static void test_odd_keys_in_query(void);
static void test_partition_in_query(void);
static void test_odd_keys_in_read(void);
static void test_renew_reply(void);
static void test_odd_numbers_in_report(void);
static void test_odd_numbers_of_ends(void);
static void test_no_report(void);
static void test_config(void);
static void test_long_names(void);
static void test_round_trip(void);

static ffl_bytes_t bytes_of(const char *text)
{
	ffl_bytes_t b = { (const uint8_t *)text, strlen(text) };

	return b;
}

static void test_jobs(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(job_cases); i++) {
		const job_case_t *c = &job_cases[i];
		char problem[FFL_REASON_BYTES];
		ffl_flow_spec_t *spec = ffl_pf_job_decode(
			bytes_of(c->body), problem, sizeof(problem));

		g_test_message("%s", c->name);
		g_assert_cmpstr(spec ? NULL : problem, ==, c->problem);
		if (!spec)
			continue;
		ffl_flow_spec_finish(spec);
		g_free(spec);
	}
}

static void assert_body(ffl_pf_call_t *call, const char *body)
{
	char *text = g_strndup((const char *)call->body->data, call->body->len);

	g_assert_cmpstr(text, ==, body);
	g_free(text);
	g_byte_array_unref(call->body);
}

static void test_validate(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(validate_cases); i++) {
		const validate_case_t *c = &validate_cases[i];
		char problem[FFL_REASON_BYTES];
		ffl_flow_spec_t *spec = ffl_pf_job_decode(
			bytes_of(c->body), problem, sizeof(problem));
		ffl_err_t err = { 0 };
		ffl_status_t status;

		g_test_message("%s", c->name);
		g_assert_nonnull(spec);
		ffl_copy(spec->id, sizeof(spec->id), c->id);
		status = ffl_flow_spec_validate(spec, &err);
		g_assert_cmpint(status, ==, c->problem ? FFL_INVALID : FFL_OK);
		g_assert_cmpstr(c->problem ? err.text : NULL, ==, c->problem);
		ffl_flow_spec_finish(spec);
		g_free(spec);
	}
}

static void test_appends(void)
{
	ffl_pf_context_t context = { .kind = FFL_NODE_ACT_APPEND, .call = 3 };

	for (size_t i = 0; i < G_N_ELEMENTS(append_cases); i++) {
		const append_case_t *c = &append_cases[i];
		ffl_pf_result_t result = { c->sent, c->status,
					   bytes_of(c->body) };
		ffl_store_reply_t reply;
		ffl_arena_t arena;

		g_test_message("%s", c->name);
		ffl_arena_init(&arena);
		ffl_pf_store_reply_decode(&context, &result, &arena, &reply);
		g_assert_cmpint(reply.outcome, ==, c->outcome);
		g_assert_cmpuint(reply.call, ==, 3);
		ffl_arena_finish(&arena);
	}
}

static void test_starts(void)
{
	ffl_pf_context_t context = { .kind = FFL_NODE_ACT_ORDER,
				     .order = FFL_ORDER_START };

	for (size_t i = 0; i < G_N_ELEMENTS(start_cases); i++) {
		const start_case_t *c = &start_cases[i];
		ffl_pf_result_t result = { c->sent, c->status,
					   bytes_of(c->body) };
		ffl_arena_t arena;
		ffl_reply_t reply;

		g_test_message("%s", c->name);
		ffl_arena_init(&arena);
		ffl_pf_worker_reply_decode(&context, &result, &arena, &reply);
		g_assert_cmpint(reply.outcome, ==, c->outcome);
		ffl_arena_finish(&arena);
	}
}

static void test_entries(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(entry_cases); i++) {
		const entry_case_t *c = &entry_cases[i];
		const ffl_worker_entry_t *entry;
		const char *problem;
		ffl_arena_t arena;

		g_test_message("%s", c->name);
		ffl_arena_init(&arena);
		entry = ffl_pf_worker_entry_decode("i-1", bytes_of(c->value),
						   &arena, &problem);
		g_assert_cmpint(entry != NULL, ==, c->valid);
		g_assert_cmpint(problem == NULL, ==, c->valid);
		if (entry) {
			g_assert_cmpstr(entry->rack, ==, "r1-3");
			g_assert_cmpint(entry->born_ms, ==, 7);
			g_assert_cmpuint(entry->capacity.gpus, ==, 8);
		}
		ffl_arena_finish(&arena);
	}
}

/* What a worker says of being cold; the least that its type allows counts. */
static const ffl_worker_entry_t *decode_entry(const char *value,
					      ffl_arena_t *arena)
{
	const ffl_worker_entry_t *entry;
	const char *problem;

	g_test_message("%s", value);
	entry = ffl_pf_worker_entry_decode("i-1", bytes_of(value), arena,
					   &problem);
	g_assert_nonnull(entry);
	return entry;
}

static void test_entry_cold(void)
{
	static const struct {
		const char *value;
		uint32_t left_ms;
	} cases[] = {
		{ ENTRY("ready"), 0 },
		{ WITH("\"cold_remaining_ms\":0"), 0 },
		{ WITH("\"cold_remaining_ms\":5997"), 5997 },
		{ WITH("\"cold_remaining_ms\":5997.9"), 5997 },
		{ WITH("\"cold_remaining_ms\":0.5"), 0 },
		{ WITH("\"cold_remaining_ms\":-5"), 0 },
		{ WITH("\"cold_remaining_ms\":4294967296"), UINT32_MAX },
		{ WITH("\"cold_remaining_ms\":1e300"), UINT32_MAX },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const ffl_worker_entry_t *entry;
		ffl_arena_t arena;

		ffl_arena_init(&arena);
		entry = decode_entry(cases[i].value, &arena);
		g_assert_cmpuint(entry->cold_left_ms, ==, cases[i].left_ms);
		ffl_arena_finish(&arena);
	}
}

static void test_entry_number(void)
{
	static const struct {
		const char *value;
		uint64_t number;
	} cases[] = {
		{ ENTRY("ready"), 0 },
		{ WITH("\"sequence\":1"), 1 },
		{ WITH("\"sequence\":9007199254740992"), 1ULL << 53 },
		{ WITH("\"sequence\":9007199254740993"), 0 },
		{ WITH("\"sequence\":-1"), 0 },
		{ WITH("\"sequence\":2.5"), 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const ffl_worker_entry_t *entry;
		ffl_arena_t arena;

		ffl_arena_init(&arena);
		entry = decode_entry(cases[i].value, &arena);
		g_assert_cmpuint(entry->number, ==, cases[i].number);
		ffl_arena_finish(&arena);
	}
}

/* An id goes into a header of every order. */
static void test_entry_ids(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(id_cases); i++) {
		const id_case_t *c = &id_cases[i];
		const char *problem;
		ffl_arena_t arena;

		ffl_arena_init(&arena);
		g_assert_cmpint(ffl_pf_worker_entry_decode(
					c->id, bytes_of(ENTRY("ready")), &arena,
					&problem) != NULL,
				==, c->valid);
		ffl_arena_finish(&arena);
	}
}

static void *decode_nested(void *depth)
{
	GString *text = g_string_new(WITH("\"version\":"));
	const char *problem;
	ffl_arena_t arena;
	bool usable;

	g_string_truncate(text, text->len - 1);
	for (int i = 0; i < GPOINTER_TO_INT(depth); i++)
		g_string_append(text, i % 2 ? "{\"a\":" : "[");
	g_string_append(text, "1");
	for (int i = GPOINTER_TO_INT(depth); i-- > 0;)
		g_string_append_c(text, i % 2 ? '}' : ']');
	g_string_append_c(text, '}');
	ffl_arena_init(&arena);
	usable = ffl_pf_worker_entry_decode(
		"i-1", (ffl_bytes_t){ (const uint8_t *)text->str, text->len },
		&arena, &problem);
	ffl_arena_finish(&arena);
	g_string_free(text, TRUE);
	return GINT_TO_POINTER(usable);
}

/* An entry nested as deeply as a record can hold does not end the process. */
static void test_entry_nested_deeply(void)
{
	static const struct {
		int depth;
		bool valid;
	} cases[] = {
		{ 10, true }, { 2000, true }, { 2049, false }, { 100000, false }
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		pthread_attr_t attr;
		pthread_t thread;
		void *usable;

		pthread_attr_init(&attr);
		pthread_attr_setstacksize(&attr, STACK_BYTES);
		g_assert_cmpint(pthread_create(&thread, &attr, decode_nested,
					       GINT_TO_POINTER(cases[i].depth)),
				==, 0);
		pthread_join(thread, &usable);
		pthread_attr_destroy(&attr);
		g_assert_cmpint(GPOINTER_TO_INT(usable), ==, cases[i].valid);
	}
}

/* Framed records are decoded; a record that is cut off is left out, and one
 * whose key length is too large gets the key "?". */
static void test_records(void)
{
	static const uint8_t body[] = { 0, 0, 0, 0,   0,   0,	0, 9,  0,
					0, 0, 0, 0,   0,   0,	5, 0,  0,
					0, 4, 2, 'j', '1', 'v', 0, 0,  0,
					1, 7, 0, 0,   0,   9,	1, 'k' };
	ffl_pf_context_t context = { .kind = FFL_NODE_ACT_READ,
				     .topic = FFL_TOPIC_JOBS,
				     .from = 6 };
	ffl_pf_result_t result = { 1, 200, { body, sizeof(body) } };
	ffl_store_reply_t reply;
	ffl_arena_t arena;

	ffl_arena_init(&arena);
	ffl_pf_store_reply_decode(&context, &result, &arena, &reply);
	g_assert_cmpint(reply.outcome, ==, FFL_STORE_OK);
	g_assert_cmpuint(reply.end, ==, 9);
	g_assert_cmpuint(reply.first, ==, 5);
	g_assert_cmpuint(reply.count, ==, 2);
	g_assert_cmpuint(reply.records[0].offset, ==, 6);
	g_assert_cmpstr(reply.records[0].key, ==, "j1");
	g_assert_cmpuint(reply.records[0].value.size_bytes, ==, 1);
	g_assert_cmpuint(reply.records[1].offset, ==, 7);
	g_assert_cmpstr(reply.records[1].key, ==, "?");
	ffl_arena_finish(&arena);
}

#define ITEM(key)   "{\"key\":\"" key "\",\"value\":\"YQ==\",\"offset\":4}"
#define PAGE(items) "{\"items\":[" items "],\"has_more\":true,\"end_offset\":9}"
#define KEY_63	    "012345678901234567890123456789012345678901234567890123456789012"

/* Appends a record as the log frames it. */
static void append_record(GByteArray *to, const char *key, const char *value)
{
	guint8 lengths[5] = { 0, 0, 0, 0, (guint8)strlen(key) };
	guint size = 1 + (guint)(strlen(key) + strlen(value));

	lengths[2] = (guint8)(size >> 8);
	lengths[3] = (guint8)size;
	g_byte_array_append(to, lengths, sizeof(lengths));
	g_byte_array_append(to, (const guint8 *)key, (guint)strlen(key));
	g_byte_array_append(to, (const guint8 *)value, (guint)strlen(value));
}

/* A record that evacuates a data centre is told by its key, of any length;
 * whether it evacuates it or takes that back, by whether it has a value. It
 * names the data centre as the entries of its workers do. */
static void test_evacuations(void)
{
	static const char odd[] = "\xff\xfe{";
	static const struct {
		const char *name;
		const char *key; /* "": evacuate/ and a name of bytes */
		size_t bytes;
		const char *value;
		ffl_topic_t topic;
		const char *dc; /* NULL: none; "": the long name */
	} cases[] = {
		{ "usual", "evacuate/norte", 0, "{}", FFL_TOPIC_CONFIG,
		  "norte" },
		{ "taken back", "evacuate/norte", 0, "", FFL_TOPIC_CONFIG,
		  "norte" },
		{ "other value", "evacuate/norte", 0, "false", FFL_TOPIC_CONFIG,
		  "norte" },
		{ "value not text", "evacuate/norte", 0, odd, FFL_TOPIC_CONFIG,
		  "norte" },
		{ "characters that are escaped", "evacuate/a \\\"\xc3\xa9/b%20",
		  0, "{}", FFL_TOPIC_CONFIG, "a \\\"\xc3\xa9/b%20" },
		{ "longest key of a record", "", 54, "{}", FFL_TOPIC_CONFIG,
		  "" },
		{ "longer key", "", 55, "{}", FFL_TOPIC_CONFIG, "" },
		{ "longest key", "", 246, "{}", FFL_TOPIC_CONFIG, "" },
		{ "longest key taken back", "", 246, "", FFL_TOPIC_CONFIG, "" },
		{ "no name", "evacuate/", 0, "{}", FFL_TOPIC_CONFIG, NULL },
		{ "another key", "evacuated/norte", 0, "{}", FFL_TOPIC_CONFIG,
		  NULL },
		{ "another topic", "evacuate/norte", 0, "{}", FFL_TOPIC_WORKERS,
		  NULL },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *name = cases[i].bytes ? long_name(cases[i].bytes, 'z')
					    : g_strdup("-");
		char *key = cases[i].key[0]
				    ? g_strdup(cases[i].key)
				    : g_strconcat("evacuate/", name, NULL);
		json_t *doc = json_pack(
			"{s:s,s:s,s:s,s:{}}", "service", "s", "address",
			"10.0.0.9:80", "zone",
			cases[i].dc && cases[i].dc[0] ? cases[i].dc : name,
			"capacity");
		GByteArray *read = g_byte_array_new();
		char *value = g_base64_encode((const guchar *)cases[i].value,
					      strlen(cases[i].value));
		json_t *page = json_pack("{s:[{s:s,s:s,s:i}],s:b,s:i}", "items",
					 "key", key, "value", value, "offset",
					 7, "has_more", 0, "end_offset", 9);
		char *texts[2] = { NULL, json_dumps(page, 0) };
		ffl_arena_t arena;

		g_test_message("%s", cases[i].name);
		ffl_arena_init(&arena);
		g_byte_array_set_size(read, 16);
		memset(read->data, 0, 16);
		append_record(read, "config", "x");
		append_record(read, key, cases[i].value);
		append_record(read, "config", "x");
		for (uint32_t k = 0; k < 2; k++) {
			ffl_pf_context_t context = {
				.kind = k ? FFL_NODE_ACT_NEWEST
					  : FFL_NODE_ACT_READ,
				.topic = cases[i].topic,
				.from = 6
			};
			ffl_pf_result_t result = { 1, 200, { 0 } };
			const ffl_store_record_t *rec;
			ffl_worker_entry_t *entry;
			ffl_store_reply_t reply;
			const char *problem;
			char *text;

			result.body =
				k ? bytes_of(texts[1])
				  : (ffl_bytes_t){ read->data, read->len };
			ffl_pf_store_reply_decode(&context, &result, &arena,
						  &reply);
			g_assert_cmpint(reply.outcome, ==, FFL_STORE_OK);
			g_assert_cmpuint(reply.count, ==, k ? 1 : 3);
			rec = &reply.records[k ? 0 : 1];
			g_assert_cmpuint(rec->offset, ==, 7);
			if (!cases[i].dc) {
				g_assert_null(rec->evacuated_dc);
				ffl_pf_store_reply_finish(&reply);
				continue;
			}
			json_object_set_new(doc, "state", json_string("ready"));
			text = json_dumps(doc, 0);
			entry = ffl_pf_worker_entry_decode(
				"i-1", bytes_of(text), &arena, &problem);
			g_assert_cmpstr(problem, ==, NULL);
			g_assert_cmpstr(rec->evacuated_dc, ==, entry->dc);
			/* A page lists no key without a value. */
			g_assert_true(k || (rec->value.size_bytes != 0) ==
						   (cases[i].value[0] != '\0'));
			g_assert_null(rec->routes);
			g_free(text);
			ffl_pf_store_reply_finish(&reply);
		}
		ffl_arena_finish(&arena);
		json_decref(doc);
		json_decref(page);
		g_byte_array_unref(read);
		free(texts[1]);
		g_free(value);
		g_free(name);
		g_free(key);
	}
}

/* In a page, the record of an evacuation counts although its value cannot be
 * read. */
static void test_evacuations_in_page(void)
{
	static const char *const items[] = {
		"{\"key\":\"evacuate/norte\",\"offset\":4}",
		"{\"key\":\"evacuate/norte\",\"value\":7,\"offset\":4}",
		"{\"key\":\"evacuate/norte\",\"value\":\"%%\",\"offset\":4}",
		"{\"key\":\"evacuate\\/nort\\u0065\",\"value\":\"e30=\","
		"\"offset\":4}",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(items); i++) {
		ffl_pf_context_t context = { .kind = FFL_NODE_ACT_NEWEST,
					     .topic = FFL_TOPIC_CONFIG };
		char *text = g_strdup_printf(PAGE("%s"), items[i]);
		ffl_pf_result_t result = { 1, 200, bytes_of(text) };
		ffl_store_reply_t reply;
		ffl_arena_t arena;

		ffl_arena_init(&arena);
		ffl_pf_store_reply_decode(&context, &result, &arena, &reply);
		g_assert_cmpuint(reply.count, ==, 1);
		g_assert_cmpstr(reply.records[0].evacuated_dc, ==, "norte");
		g_assert_cmpuint(reply.records[0].offset, ==, 4);
		g_assert_cmpuint(reply.records[0].value.size_bytes, >, 0);
		ffl_arena_finish(&arena);
		g_free(text);
	}
}

/* One odd key must neither hide the others of its page nor end the reading. */
static void test_odd_keys_in_page(void)
{
	static const struct {
		const char *name;
		const char *body;
		uint32_t count;
		const char *last_key;
	} cases[] = {
		{ "plain", PAGE(ITEM("i-1") "," ITEM("i-2")), 2, "i-2" },
		{ "empty", PAGE(""), 0, NULL },
		{ "longest key", PAGE(ITEM("i-1") "," ITEM(KEY_63)), 2,
		  KEY_63 },
		{ "key too long", PAGE(ITEM("i-1") "," ITEM(KEY_63 "3")), 2,
		  KEY_63 "3" },
		{ "all too long", PAGE(ITEM(KEY_63 "3") "," ITEM(KEY_63 "4")),
		  2, KEY_63 "4" },
		{ "key with NUL", PAGE(ITEM("i\\u0000") "," ITEM("i-2")), 2,
		  "i-2" },
		{ "key with NUL at the end",
		  PAGE(ITEM("i-1") "," ITEM("i\\u0000")), 2, "i-1" },
		{ "key not in UTF-8", PAGE(ITEM("\xff") "," ITEM("i-2")), 2,
		  "i-2" },
		{ "half a surrogate", PAGE(ITEM("\\udcff") "," ITEM("i-2")), 2,
		  "i-2" },
		{ "escaped backslash", PAGE(ITEM("\\\\udcff") "," ITEM("\xff")),
		  2, "\\udcff" },
		{ "no key", PAGE("{\"value\":\"YQ==\",\"offset\":4}"), 1,
		  NULL },
		{ "key is a number",
		  PAGE("{\"key\":7,\"value\":\"YQ==\",\"offset\":4}"), 1,
		  NULL },
		{ "no value", PAGE("{\"key\":\"i-1\",\"offset\":4}"), 1,
		  "i-1" },
		{ "value not in base64",
		  PAGE("{\"key\":\"i-1\",\"value\":\"%%\",\"offset\":4}"), 1,
		  "i-1" },
		{ "offset negative",
		  PAGE("{\"key\":\"i-1\",\"value\":\"YQ==\",\"offset\":-1}"), 1,
		  "i-1" },
		{ "no object", PAGE("7," ITEM("i-2")), 2, "i-2" },
	};
	ffl_pf_context_t context = { .kind = FFL_NODE_ACT_NEWEST,
				     .topic = FFL_TOPIC_WORKERS };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		ffl_pf_result_t result = { 1, 200, bytes_of(cases[i].body) };
		ffl_store_reply_t reply;
		ffl_arena_t arena;

		g_test_message("%s", cases[i].name);
		ffl_arena_init(&arena);
		ffl_pf_store_reply_decode(&context, &result, &arena, &reply);
		g_assert_cmpint(reply.outcome, ==, FFL_STORE_OK);
		g_assert_cmpuint(reply.count, ==, cases[i].count);
		g_assert_cmpstr(reply.last_key, ==, cases[i].last_key);
		for (uint32_t k = 0; k < reply.count; k++)
			g_assert_null(reply.records[k].worker);
		ffl_arena_finish(&arena);
	}
}

/* A response without a body has no bytes to point at. */
static void test_empty_page(void)
{
	ffl_pf_context_t context = { .kind = FFL_NODE_ACT_NEWEST,
				     .topic = FFL_TOPIC_WORKERS };
	ffl_pf_result_t result = { 1, 200, { NULL, 0 } };
	ffl_store_reply_t reply;
	ffl_arena_t arena;

	ffl_arena_init(&arena);
	ffl_pf_store_reply_decode(&context, &result, &arena, &reply);
	g_assert_cmpint(reply.outcome, ==, FFL_STORE_UNKNOWN);
	ffl_arena_finish(&arena);
}

/* Each call names the partition that it is for. */
static void test_partition_in_query(void)
{
	static const struct {
		ffl_node_act_kind_t kind;
		uint32_t part;
		const char *url;
	} cases[] = {
		{ FFL_NODE_ACT_READ, 0, "read?topic=keyed.jobs&part=0&from=7" },
		{ FFL_NODE_ACT_READ, 3, "read?topic=keyed.jobs&part=3&from=7" },
		{ FFL_NODE_ACT_NEWEST, 2, "newest?topic=keyed.jobs&part=2" },
		{ FFL_NODE_ACT_APPEND, 1, "append?topic=keyed.jobs&part=1" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		ffl_node_act_t act = { .kind = cases[i].kind };
		char *url = g_strconcat("http://10.0.0.1:80/-/log-",
					cases[i].url, NULL);
		ffl_pf_call_t call;

		act.store.topic = FFL_TOPIC_JOBS;
		act.store.part = cases[i].part;
		act.store.from = 7;
		act.store.expected_end = FFL_ANY_END;
		act.store.writes = g_ptr_array_new();
		ffl_pf_store_call_encode("10.0.0.1:80", &act, &call);
		g_assert_cmpstr(call.url, ==, url);
		if (call.body)
			g_byte_array_unref(call.body);
		g_ptr_array_unref(act.store.writes);
		g_free(url);
	}
}

/* The last key of a page goes into the query of the next one. */
static void test_odd_keys_in_query(void)
{
	static const struct {
		const char *key;
		const char *query;
	} cases[] = {
		{ "", "" },
		{ "i-1", "&depends_on=i-1" },
		{ "i 1", "&depends_on=i%201" },
		{ "i&from=0#%", "&depends_on=i%26from%3D0%23%25" },
		{ "\r\n", "&depends_on=%0D%0A" },
		{ "\xc3\xa9", "&depends_on=%C3%A9" },
	};
	ffl_node_act_t act = { .kind = FFL_NODE_ACT_NEWEST };
	ffl_pf_call_t call;

	act.store.topic = FFL_TOPIC_WORKERS;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *url = g_strconcat("http://10.0.0.1:80/-/log-newest?topic="
					"keyed.servers&part=0",
					cases[i].query, NULL);

		ffl_copy(act.store.after_key, sizeof(act.store.after_key),
			 cases[i].key);
		ffl_pf_store_call_encode("10.0.0.1:80", &act, &call);
		g_assert_cmpstr(call.url, ==, url);
		g_free(url);
	}
	memset(act.store.after_key, '%', sizeof(act.store.after_key) - 1);
	act.store.after_key[sizeof(act.store.after_key) - 1] = '\0';
	ffl_pf_store_call_encode("255.255.255.255:65535", &act, &call);
	g_assert_true(g_str_has_suffix(call.url, "%25%25"));
	g_assert_cmpuint(strlen(call.url), >,
			 3 * (sizeof(act.store.after_key) - 1));
}

/* Keys that cannot be read in full are no worker's: neither another's entry nor
 * the removal of one. */
static void test_odd_keys_in_read(void)
{
	static const struct {
		const char *name;
		const char *key;
		uint8_t key_bytes;
		const char *expected;
	} cases[] = {
		{ "plain", "i-1", 3, "i-1" },
		{ "empty", "", 0, "?" },
		{ "NUL at the end", "i-1\0", 4, "?" },
		{ "not in UTF-8", "i-\xff", 3, "?" },
		{ "NUL inside", "i-1\0x", 5, "?" },
		{ "longest", KEY_63, 63, KEY_63 },
		{ "too long", KEY_63 "3", 64, "?" },
	};
	ffl_pf_context_t context = { .kind = FFL_NODE_ACT_READ,
				     .topic = FFL_TOPIC_WORKERS };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		uint8_t body[128] = {
			[19] = cases[i].key_bytes + 2, [20] = cases[i].key_bytes
		};
		ffl_pf_result_t result = { 1, 200, { body, 22 } };
		ffl_store_reply_t reply;
		ffl_arena_t arena;

		memcpy(body + 21, cases[i].key, cases[i].key_bytes);
		result.body.size_bytes += cases[i].key_bytes;
		g_test_message("%s", cases[i].name);
		ffl_arena_init(&arena);
		ffl_pf_store_reply_decode(&context, &result, &arena, &reply);
		g_assert_cmpuint(reply.count, ==, 1);
		g_assert_cmpstr(reply.records[0].key, ==, cases[i].expected);
		g_assert_cmpuint(reply.records[0].value.size_bytes, >, 0);
		g_assert_null(reply.records[0].worker);
		ffl_arena_finish(&arena);
	}
}

/* Malformed rows of a report are skipped; the others count. */
static void test_renew_reply(void)
{
	static const char body[] =
		"{\"clock_ms\":482113,\"born\":17,"
		"\"running\":[[\"a.0.1.17\",2,\"00b\",41,350],[\"odd\"]],"
		"\"finished\":[[58,\"a.0.1.9\",1,\"done\",\"\"],"
		"[59,\"a.0.1.8\",1,\"vanished\",\"\"]]}";
	ffl_pf_context_t context = { .kind = FFL_NODE_ACT_ORDER,
				     .order = FFL_ORDER_RENEW };
	ffl_pf_result_t result = { 1, 200, bytes_of(body) };
	ffl_arena_t arena;
	ffl_reply_t reply;

	ffl_arena_init(&arena);
	ffl_pf_worker_reply_decode(&context, &result, &arena, &reply);
	g_assert_cmpint(reply.outcome, ==, FFL_REPLY_OK);
	g_assert_cmpuint(reply.clock_ms, ==, 482113);
	g_assert_cmpint(reply.born_ms, ==, 17);
	g_assert_cmpuint(reply.running_count, ==, 1);
	g_assert_cmpuint(reply.running[0].percent, ==, 41);
	g_assert_cmpuint(reply.running[0].recent_load, ==, 350);
	g_assert_cmpstr(reply.running[0].checkpoint, ==, "00b");
	g_assert_cmpuint(reply.ended_count, ==, 1);
	g_assert_cmpint(reply.ended[0].end, ==, FFL_RUN_END_DONE);
	ffl_arena_finish(&arena);
}

/* A number that is none must not make a run that is listed count as missing. */
static void test_odd_numbers_in_report(void)
{
	static const struct {
		const char *running;
		uint32_t count;
		uint32_t percent;
		uint32_t recent;
	} cases[] = {
		{ "[\"a.0.1.17\",2,\"\",41,350]", 1, 41, 350 },
		{ "[\"a.0.1.17\",2,\"\",41.9,12.5]", 1, 41, 12 },
		{ "[\"a.0.1.17\",2,\"\",1e300,1e300]", 1, 100, UINT32_MAX },
		{ "[\"a.0.1.17\",2,\"\",9223372036854775807,5]", 1, 100, 5 },
		{ "[\"a.0.1.17\",2,\"\",-1,-1]", 1, 0, 0 },
		{ "[\"a.0.1.17\",2,\"\",\"x\",{}]", 1, 0, 0 },
		{ "[\"a.0.1.17\",2.0,null,null]", 1, 0, 0 },
		{ "[\"a.0.1.17\",2.5,\"\",41]", 0, 0, 0 },
		{ "[\"a.0.1.17\",4294967298,\"\",41]", 0, 0, 0 },
		{ "[\"a.0.1.17\",1e300,\"\",41]", 0, 0, 0 },
		{ "[\"a.0.1.17\",-2,\"\",41]", 0, 0, 0 },
		{ "[\"a.0.1.17\",true,\"\",41]", 0, 0, 0 },
		{ "{\"a.0.1.17\":2}", 0, 0, 0 },
	};
	ffl_pf_context_t context = { .kind = FFL_NODE_ACT_ORDER,
				     .order = FFL_ORDER_RENEW };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *body = g_strdup_printf(
			"{\"clock_ms\":5,\"running\":[%s]}", cases[i].running);
		ffl_pf_result_t result = { 1, 200, bytes_of(body) };
		ffl_arena_t arena;
		ffl_reply_t reply;

		g_test_message("%s", cases[i].running);
		ffl_arena_init(&arena);
		ffl_pf_worker_reply_decode(&context, &result, &arena, &reply);
		g_assert_cmpint(reply.outcome, ==, FFL_REPLY_OK);
		g_assert_cmpuint(reply.running_count, ==, cases[i].count);
		if (reply.running_count) {
			g_assert_cmpuint(reply.running[0].run, ==, 2);
			g_assert_cmpuint(reply.running[0].percent, ==,
					 cases[i].percent);
			g_assert_cmpuint(reply.running[0].recent_load, ==,
					 cases[i].recent);
		}
		ffl_arena_finish(&arena);
		g_free(body);
	}
}

/* The number of an end, and its run, are whole and in range. */
static void test_odd_numbers_of_ends(void)
{
	static const struct {
		const char *ended;
		uint32_t count;
	} cases[] = {
		{ "[58,\"a.0.1.9\",2,\"done\",\"\"]", 1 },
		{ "[58.0,\"a.0.1.9\",2.0,\"done\",\"\"]", 1 },
		{ "[58.5,\"a.0.1.9\",2,\"done\",\"\"]", 0 },
		{ "[-58,\"a.0.1.9\",2,\"done\",\"\"]", 0 },
		{ "[1e300,\"a.0.1.9\",2,\"done\",\"\"]", 0 },
		{ "[9223372036854775807,\"a.0.1.9\",2,\"done\",\"\"]", 0 },
		{ "[\"58\",\"a.0.1.9\",2,\"done\",\"\"]", 0 },
		{ "[58,\"a.0.1.9\",2.5,\"done\",\"\"]", 0 },
		{ "[58,\"a.0.1.9\",4294967298,\"done\",\"\"]", 0 },
	};
	ffl_pf_context_t context = { .kind = FFL_NODE_ACT_ORDER,
				     .order = FFL_ORDER_RENEW };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *body = g_strdup_printf(
			"{\"clock_ms\":5,\"finished\":[%s]}", cases[i].ended);
		ffl_pf_result_t result = { 1, 200, bytes_of(body) };
		ffl_arena_t arena;
		ffl_reply_t reply;

		g_test_message("%s", cases[i].ended);
		ffl_arena_init(&arena);
		ffl_pf_worker_reply_decode(&context, &result, &arena, &reply);
		g_assert_cmpint(reply.outcome, ==, FFL_REPLY_OK);
		g_assert_cmpuint(reply.ended_count, ==, cases[i].count);
		ffl_arena_finish(&arena);
		g_free(body);
	}
}

/* What is no report of a worker does not say that nothing runs there. */
static void test_no_report(void)
{
	static const struct {
		const char *body;
		ffl_reply_outcome_t outcome;
	} cases[] = {
		{ "{\"clock_ms\":5}", FFL_REPLY_OK },
		{ "{\"clock_ms\":5,\"running\":[],\"finished\":[]}",
		  FFL_REPLY_OK },
		{ "{\"clock_ms\":5,\"running\":null,\"finished\":null}",
		  FFL_REPLY_OK },
		{ "{}", FFL_REPLY_UNKNOWN },
		{ "[]", FFL_REPLY_UNKNOWN },
		{ "{\"running\":[],\"finished\":[]}", FFL_REPLY_UNKNOWN },
		{ "{\"clock_ms\":-1}", FFL_REPLY_UNKNOWN },
		{ "{\"clock_ms\":1e300}", FFL_REPLY_UNKNOWN },
		{ "{\"clock_ms\":9223372036854775807}", FFL_REPLY_UNKNOWN },
		{ "{\"clock_ms\":99999999999999999999}", FFL_REPLY_UNKNOWN },
		{ "{\"clock_ms\":\"5\"}", FFL_REPLY_UNKNOWN },
		{ "{\"clock_ms\":5,\"running\":{}}", FFL_REPLY_UNKNOWN },
		{ "{\"clock_ms\":5,\"finished\":7}", FFL_REPLY_UNKNOWN },
	};
	ffl_pf_context_t context = { .kind = FFL_NODE_ACT_ORDER,
				     .order = FFL_ORDER_RENEW };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		ffl_pf_result_t result = { 1, 200, bytes_of(cases[i].body) };
		ffl_arena_t arena;
		ffl_reply_t reply;

		g_test_message("%s", cases[i].body);
		ffl_arena_init(&arena);
		ffl_pf_worker_reply_decode(&context, &result, &arena, &reply);
		g_assert_cmpint(reply.outcome, ==, cases[i].outcome);
		ffl_arena_finish(&arena);
	}
}

/* Answers of the adviser, the call to it, and a start order with its ticket. */
static void test_advice(void)
{
	static const struct {
		const char *name;
		long status;
		const char *body;
		ffl_reply_outcome_t outcome;
		uint32_t tickets;
	} cases[] = {
		{ "two", 200,
		  "{\"allowed\":[[\"i-1\",\"c81e\"],[\"i-2\",\"c81f\"]],"
		  "\"valid_ms\":3000}",
		  FFL_REPLY_OK, 2 },
		{ "none", 200, "{\"allowed\":[],\"valid_ms\":3000}",
		  FFL_REPLY_OK, 0 },
		{ "odd rows", 200,
		  "{\"allowed\":[[\"i-1\"],7,[\"i-2\",\"c\"]],\"valid_ms\":1}",
		  FFL_REPLY_OK, 1 },
		{ "valid for too long", 200,
		  "{\"allowed\":[],\"valid_ms\":4294967296}", FFL_REPLY_UNKNOWN,
		  0 },
		{ "valid for a fraction", 200,
		  "{\"allowed\":[],\"valid_ms\":0.5}", FFL_REPLY_UNKNOWN, 0 },
		{ "valid for less than nothing", 200,
		  "{\"allowed\":[],\"valid_ms\":-1}", FFL_REPLY_UNKNOWN, 0 },
		{ "number over 64 bits", 200,
		  "{\"allowed\":[],\"valid_ms\":99999999999999999999}",
		  FFL_REPLY_UNKNOWN, 0 },
		{ "no list", 200, "{\"valid_ms\":1}", FFL_REPLY_UNKNOWN, 0 },
		{ "odd time", 200, "{\"allowed\":[],\"valid_ms\":-1}",
		  FFL_REPLY_UNKNOWN, 0 },
		{ "no JSON", 200, "yes", FFL_REPLY_UNKNOWN, 0 },
		{ "too many wait", 429, "", FFL_REPLY_UNHEALTHY, 0 },
		{ "no answer", 0, "", FFL_REPLY_UNKNOWN, 0 },
	};
	ffl_pf_context_t context = { .kind = FFL_NODE_ACT_ORDER,
				     .order = FFL_ORDER_ADVISE };
	ffl_order_t order = { .kind = FFL_ORDER_ADVISE,
			      .addr = "10.0.0.1:8524",
			      .task = "5c0e7a21d94b36f8.0.1" };
	GPtrArray *asked = g_ptr_array_new();
	ffl_pf_call_t call;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		ffl_pf_result_t result = { 1, cases[i].status,
					   bytes_of(cases[i].body) };
		ffl_arena_t arena;
		ffl_reply_t reply;

		g_test_message("%s", cases[i].name);
		ffl_arena_init(&arena);
		ffl_pf_worker_reply_decode(&context, &result, &arena, &reply);
		g_assert_cmpint(reply.outcome, ==, cases[i].outcome);
		g_assert_cmpuint(reply.tickets_count, ==, cases[i].tickets);
		ffl_arena_finish(&arena);
	}
	g_ptr_array_add(asked, (void *)"i-1");
	g_ptr_array_add(asked, (void *)"i-2");
	order.asked_workers = asked;
	ffl_pf_worker_call_encode(&order, &call);
	g_assert_cmpstr(call.url, ==, "http://10.0.0.1:8524/-/advise");
	g_assert_cmpstr(call.extra_header, ==, "");
	assert_body(&call, "{\"step\":\"5c0e7a21d94b36f8.0.1\","
			   "\"workers\":[\"i-1\",\"i-2\"]}");
	g_ptr_array_free(asked, TRUE);
	order = (ffl_order_t){ .kind = FFL_ORDER_START,
			       .worker = "i-1",
			       .task = "5c0e7a21d94b36f8.0.1.0",
			       .run = 1,
			       .token = 7,
			       .spec = "s",
			       .until_ms = 9,
			       .ticket = "c81e" };
	ffl_pf_worker_call_encode(&order, &call);
	assert_body(&call, "{\"fencing_token\":7,\"until_ms\":9,"
			   "\"task\":\"5c0e7a21d94b36f8.0.1.0\",\"run_id\":1,"
			   "\"spec\":\"s\",\"ticket\":\"c81e\"}");
}

static void test_throttle_call(void)
{
	ffl_order_t order = { .kind = FFL_ORDER_THROTTLE,
			      .worker = "i-1",
			      .addr = "10.0.0.1:8524",
			      .task = "5c0e7a21d94b36f8.0.1.0",
			      .run = 2,
			      .token = 7,
			      .percent = 40 };
	ffl_pf_call_t call;

	ffl_pf_worker_call_encode(&order, &call);
	g_assert_cmpstr(call.url, ==, "http://10.0.0.1:8524/-/pace");
	g_assert_cmpstr(call.extra_header, ==, "X-Expect-Instance: i-1");
	assert_body(&call, "{\"fencing_token\":7,"
			   "\"task\":\"5c0e7a21d94b36f8.0.1.0\",\"run_id\":2,"
			   "\"percent\":40}");
}

static void test_config(void)
{
	static const char good[] =
		"{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"n.e\","
		"\"path_prefix\":\"/p/\",\"service\":\"s\",\"priority\":2,"
		"\"max_attempts\":2,\"deadline_factor\":1.5,"
		"\"target_latency_ms\":300,\"public\":false},"
		"{\"name\":\"q\",\"host\":\"n.e\",\"path_prefix\":\"/p/q/\","
		"\"service\":\"s\",\"advice\":{\"decide_ms\":30,"
		"\"period_ms\":2,\"valid_ms\":3000}}],"
		"\"tenants\":[{\"name\":\"t\","
		"\"api_keys\":[\"k1\",\"k2\"],\"guaranteed\":{\"gpu\":12}}]}";
	static const struct {
		const char *text;
		const char *problem;
	} bad[] = {
		{ "", "json" },
		{ "[]", "json" },
		{ "{}", "version" },
		{ "{\"version\":-1}", "version" },
		{ "{\"version\":\"x\"}", "version" },
		{ "{\"version\":1,\"routes\":[7]}", "routes" },
		{ "{\"version\":1,\"tenants\":[{\"api_keys\":[1]}]}",
		  "tenants" },
	};
	const ffl_route_t *route;
	ffl_routes_t routes;

	g_assert_null(ffl_pf_config_decode(bytes_of(good), &routes));
	g_assert_cmpuint(routes.version, ==, 7);
	route = ffl_routes_match(&routes, "n.e:80", "/p/q/1");
	g_assert_cmpstr(route->queue, ==, "q");
	g_assert_true(route->needs_tickets);
	g_assert_cmpuint(route->advice.call_ms, ==, 30);
	g_assert_cmpuint(route->advice.worker_ms, ==, 2);
	route = ffl_routes_match(&routes, "N.E", "/p/1");
	g_assert_cmpstr(route->queue, ==, "r");
	g_assert_false(route->needs_tickets);
	g_assert_cmpuint(route->stretch_milli, ==, 1500);
	g_assert_null(ffl_routes_match(&routes, "other", "/p/1"));
	g_assert_cmpstr(ffl_routes_customer(&routes, "k2"), ==, "t");
	g_assert_null(ffl_routes_customer(&routes, "k3"));
	ffl_routes_finish(&routes);
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		g_assert_cmpstr(
			ffl_pf_config_decode(bytes_of(bad[i].text), &routes),
			==, bad[i].problem);
}

/* A time of the adviser that makes no sense is not known: the queue is served
 * all the same, and the answers tell the time. */
static void test_config_advice(void)
{
	static const struct {
		const char *advice;
		bool needs_tickets;
		ffl_adviser_times_t times;
	} cases[] = {
		{ "{\"decide_ms\":200,\"period_ms\":100}", true, { 200, 100 } },
		{ "{\"decide_ms\":3200.5,\"period_ms\":0}", true, { 3200, 0 } },
		{ "{\"valid_ms\":400}", true, { 0, 0 } },
		{ "{\"decide_ms\":-1,\"period_ms\":\"x\"}", true, { 0, 0 } },
		{ "{\"decide_ms\":1e300,\"period_ms\":null}",
		  true,
		  { 86400000, 0 } },
		{ "{}", false, { 0, 0 } },
		{ "null", false, { 0, 0 } },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *text = g_strdup_printf(
			"{\"version\":1,\"routes\":[{\"name\":\"q\","
			"\"host\":\"n.e\",\"path_prefix\":\"/q/\","
			"\"service\":\"s\",\"advice\":%s}]}",
			cases[i].advice);
		const ffl_route_t *route;
		ffl_routes_t routes;

		g_test_message("%s", cases[i].advice);
		g_assert_null(ffl_pf_config_decode(bytes_of(text), &routes));
		route = ffl_routes_match(&routes, "n.e", "/q/1");
		g_assert_cmpint(route->needs_tickets, ==,
				cases[i].needs_tickets);
		g_assert_cmpuint(route->advice.call_ms, ==,
				 cases[i].times.call_ms);
		g_assert_cmpuint(route->advice.worker_ms, ==,
				 cases[i].times.worker_ms);
		ffl_routes_finish(&routes);
		g_free(text);
	}
}

static char *long_name(size_t bytes, char last)
{
	char *name = g_strnfill(bytes, 'n');

	name[bytes - 1] = last;
	return name;
}

/* A configuration whose names are long is not put in force. Names of any length
 * that differ in their last byte stay different. */
static void test_long_names(void)
{
	static const size_t sizes[] = { 1, 47, 48, 53, 127, 128, 253, 4000 };

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		char *a = long_name(sizes[i], 'a');
		char *b = long_name(sizes[i], 'b');
		char *host = long_name(sizes[i], 'h');
		char *path = g_strdup_printf("/%s/id", a);
		char *text = g_strdup_printf(
			"{\"version\":2,\"routes\":[{\"name\":\"%s\",\"host\":"
			"\"%s\",\"path_prefix\":\"/%s/\",\"service\":\"%s\"},"
			"{\"name\":\"%s\",\"host\":\"%s\",\"path_prefix\":"
			"\"/%s/\",\"service\":\"%s\"}],\"tenants\":["
			"{\"name\":\"%s\",\"api_keys\":[\"%s\"],\"guaranteed\":"
			"{\"gpu\":8}},{\"name\":\"%s\",\"api_keys\":[\"%s\"]}]"
			"}",
			a, host, a, a, b, host, b, b, a, a, b, b);
		char *entry_text = g_strdup_printf(
			"{\"service\":\"%s\",\"address\":\"10.0.0.9:80\","
			"\"zone\":\"%s\",\"state\":\"ready\"," CAPACITY
			",\"labels\":[\"%s\",\"%s\"]}",
			a, a, a, b);
		char *job_text = g_strdup_printf(
			"{\"spec\":\"s\",\"steps\":[{\"count\":1,"
			"\"required_label\":\"%s\",\"data_rack\":\"%s\","
			"\"image\":\"%s\"}]}",
			a, b, a);
		const ffl_worker_entry_t *entry;
		const ffl_route_t *route;
		const char *customer;
		ffl_flow_spec_t *job;
		const char *problem;
		ffl_routes_t routes;
		ffl_arena_t arena;
		char reason[64];

		g_assert_cmpstr(ffl_pf_config_decode(bytes_of(text), &routes),
				==, NULL);
		route = ffl_routes_match(&routes, host, path);
		g_assert_nonnull(route);
		g_assert_cmpstr(
			route->queue, !=,
			g_array_index(routes.routes, ffl_route_t, 1).queue);
		g_assert_null(ffl_routes_match(&routes, b, path));
		customer = ffl_routes_customer(&routes, a);
		g_assert_cmpstr(customer, !=, ffl_routes_customer(&routes, b));
		g_assert_cmpuint(GPOINTER_TO_UINT(g_hash_table_lookup(
					 routes.guaranteed, customer)),
				 ==, 8);
		ffl_arena_init(&arena);
		entry = ffl_pf_worker_entry_decode("i-1", bytes_of(entry_text),
						   &arena, &problem);
		g_assert_cmpstr(problem, ==, NULL);
		g_assert_cmpstr(entry->service, ==, route->service);
		job = ffl_pf_job_decode(bytes_of(job_text), reason,
					sizeof(reason));
		g_assert_cmpstr(reason, ==, "");
		g_assert_cmpstr(job->steps[0].label, ==, entry->labels[0]);
		g_assert_cmpstr(job->steps[0].rack, ==, entry->rack);
		g_assert_cmpstr(job->steps[0].label, !=, job->steps[0].rack);
		ffl_flow_spec_finish(job);
		g_free(job);
		ffl_arena_finish(&arena);
		ffl_routes_finish(&routes);
		g_free(a);
		g_free(b);
		g_free(host);
		g_free(path);
		g_free(text);
		g_free(entry_text);
		g_free(job_text);
	}
}

/* A specification and its progress decode to what was encoded; a truncated
 * specification is refused. */
static void test_round_trip(void)
{
	static const char body[] =
		"{\"spec\":\"(text)\",\"steps\":[{\"count\":2,\"gpu\":4,"
		"\"gang\":true,\"same_rack\":true,\"data_rack\":\"r1\"},"
		"{\"count\":3,\"depends_on\":[0],\"checkpointing\":true}]}";
	char problem[FFL_REASON_BYTES];
	ffl_flow_spec_t *spec =
		ffl_pf_job_decode(bytes_of(body), problem, sizeof(problem));
	GByteArray *bytes = g_byte_array_new();
	ffl_flow_spec_t decoded;
	ffl_flows_t flows;
	ffl_flow_t *flow;
	ffl_err_t err;

	ffl_copy(spec->id, sizeof(spec->id), "5c0e7a21d94b36f8");
	spec->needs_tickets = true;
	g_assert_cmpint(ffl_flow_spec_validate(spec, &err), ==, FFL_OK);
	ffl_flow_spec_encode(spec, bytes);
	g_assert_cmpint(
		ffl_flow_spec_decode((ffl_bytes_t){ bytes->data, bytes->len },
				     &decoded),
		==, FFL_OK);
	g_assert_true(ffl_flow_spec_equal(spec, &decoded));
	g_assert_true(decoded.needs_tickets);
	for (guint n = 0; n < bytes->len; n++) {
		ffl_flow_spec_t cut;

		g_assert_cmpint(ffl_flow_spec_decode(
					(ffl_bytes_t){ bytes->data, n }, &cut),
				==, FFL_INVALID);
	}
	ffl_flows_init(&flows);
	flow = ffl_flows_add(&flows, &decoded, 4);
	ffl_flow_task_place(flow, 0, 1, "i-1", 17);
	ffl_flow_task_set_checkpoint(flow, 0, "00b");
	g_byte_array_set_size(bytes, 0);
	ffl_flow_progress_encode(flow, 0, bytes);
	ffl_flow_task_set_state(flow, 0, FFL_TASK_DONE);
	g_assert_cmpint(ffl_flows_apply_progress(
				&flows, "5c0e7a21d94b36f8",
				(ffl_bytes_t){ bytes->data, bytes->len }, 9),
			==, FFL_OK);
	g_assert_cmpint(flow->tasks[0].state, ==, FFL_TASK_PLACED);
	g_assert_cmpstr(flow->tasks[0].worker, ==, "i-1");
	g_assert_cmpint(flow->tasks[0].born_ms, ==, 17);
	/* A checkpoint of one task of a gang applies to all its tasks. */
	g_assert_cmpstr(flow->tasks[1].checkpoint, ==, "00b");
	ffl_flows_finish(&flows);
	ffl_flow_spec_finish(spec);
	g_free(spec);
	g_byte_array_unref(bytes);
}

/* The largest record of progress stays within its stated size, and the parts of
 * a large job are read in any order. */
static void test_progress_parts(void)
{
	GByteArray *parts[3];
	char checkpoint[FFL_CHECKPOINT_BYTES_MAX + 1];
	ffl_name_t worker;
	ffl_flow_spec_t spec;
	ffl_flows_t flows[2];
	ffl_flow_t *flow[2];
	ffl_err_t err;

	memset(checkpoint, 'c', sizeof(checkpoint) - 1);
	checkpoint[sizeof(checkpoint) - 1] = '\0';
	memset(worker, 'w', sizeof(worker) - 1);
	worker[sizeof(worker) - 1] = '\0';
	for (uint32_t i = 0; i < 2; i++) {
		ffl_flow_spec_init(&spec);
		ffl_copy(spec.id, sizeof(spec.id), "5c0e7a21d94b36f8");
		spec.spec = g_strdup("s");
		spec.steps_count = 1;
		spec.steps = g_new0(ffl_step_t, 1);
		spec.steps[0].tasks = 2 * FFL_PROGRESS_TASKS_MAX + 1;
		g_assert_cmpint(ffl_flow_spec_validate(&spec, &err), ==,
				FFL_OK);
		ffl_flows_init(&flows[i]);
		flow[i] = ffl_flows_add(&flows[i], &spec, 1);
	}
	for (uint32_t i = 0; i < flow[0]->tasks_count; i++) {
		ffl_flow_task_place(flow[0], i, UINT32_MAX, worker, INT64_MAX);
		ffl_flow_task_set_checkpoint(flow[0], i, checkpoint);
		flow[0]->tasks[i].failures = UINT32_MAX;
		flow[0]->tasks[i].failed_run = UINT32_MAX;
	}
	g_assert_cmpuint(flow[0]->parts_count, ==, 3);
	for (uint32_t i = 3; i-- > 0;) {
		char name[FFL_PROGRESS_NAME_BYTES];

		parts[i] = g_byte_array_new();
		g_assert_true(
			ffl_flow_progress_encode_changed(flow[0], i, parts[i]));
		g_assert_cmpuint(parts[i]->len, <=,
				 ffl_flow_progress_bytes_max(&flow[0]->spec));
		ffl_flow_progress_name(flow[0], i, name);
		g_assert_cmpint(
			ffl_flows_apply_progress(
				&flows[1], name,
				(ffl_bytes_t){ parts[i]->data, parts[i]->len },
				9 - i),
			==, FFL_OK);
		g_assert_false(
			ffl_flow_progress_encode_changed(flow[0], i, parts[i]));
		g_byte_array_unref(parts[i]);
	}
	g_assert_cmpuint(flow[1]->placed_count, ==, flow[1]->tasks_count);
	g_assert_true(flow[1]->started);
	for (uint32_t i = 0; i < flow[1]->tasks_count; i++)
		g_assert_cmpstr(flow[1]->tasks[i].checkpoint, ==, checkpoint);
	g_assert_cmpint(ffl_flows_apply_progress(&flows[1],
						 "5c0e7a21d94b36f8.3",
						 (ffl_bytes_t){ NULL, 0 }, 20),
			==, FFL_INVALID);
	ffl_flows_finish(&flows[0]);
	ffl_flows_finish(&flows[1]);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/platform/jobs", test_jobs);
	g_test_add_func("/platform/progress-exceeds-record",
			test_progress_parts);
	g_test_add_func("/platform/validate", test_validate);
	g_test_add_func("/platform/appends", test_appends);
	g_test_add_func("/platform/starts", test_starts);
	g_test_add_func("/platform/entries", test_entries);
	g_test_add_func("/platform/entry-cold", test_entry_cold);
	g_test_add_func("/platform/entry-number", test_entry_number);
	g_test_add_func("/platform/entry-ids", test_entry_ids);
	g_test_add_func("/platform/entry-nested-deeply",
			test_entry_nested_deeply);
	g_test_add_func("/platform/records", test_records);
	g_test_add_func("/platform/evacuations", test_evacuations);
	g_test_add_func("/platform/evacuations-in-page",
			test_evacuations_in_page);
	g_test_add_func("/platform/odd-keys-in-page", test_odd_keys_in_page);
	g_test_add_func("/platform/empty-page", test_empty_page);
	g_test_add_func("/platform/odd-keys-in-query", test_odd_keys_in_query);
	g_test_add_func("/platform/partition-in-query",
			test_partition_in_query);
	g_test_add_func("/platform/odd-keys-in-read", test_odd_keys_in_read);
	g_test_add_func("/platform/hold", test_renew_reply);
	g_test_add_func("/platform/odd-numbers-in-report",
			test_odd_numbers_in_report);
	g_test_add_func("/platform/odd-numbers-of-ends",
			test_odd_numbers_of_ends);
	g_test_add_func("/platform/no-report", test_no_report);
	g_test_add_func("/platform/advice", test_advice);
	g_test_add_func("/platform/pace", test_throttle_call);
	g_test_add_func("/platform/config", test_config);
	g_test_add_func("/platform/config-advice", test_config_advice);
	g_test_add_func("/platform/long-names-bar-config", test_long_names);
	g_test_add_func("/platform/round-trip", test_round_trip);
	return g_test_run();
}
