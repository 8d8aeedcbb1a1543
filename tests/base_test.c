/** @file Tests of settings, log records and the bounded ring. */
#include <string.h>

#include "fireflyledge/record.h"
#include "fireflyledge/ring.h"
#include "fireflyledge/settings.h"

/** A settings file with an error, and the first finding that parsing it must
 * report. */
typedef struct {
	const char *name;
	const char *text;
	ffl_msg_t msg;
	uint32_t line;
	const char *key;
} settings_case_t;

#define VALID                                                          \
	"[host]\nname = a\ndata_centre = d\nregion = r\ncluster = 1\n" \
	"[listen]\ncallers = 127.0.0.1:1\noperators = 127.0.0.1:2\n"   \
	"peers = 127.0.0.1:3\n[platform]\nlog = http://127.0.0.1:4\n"  \
	"hosts = http://127.0.0.1:4\n"

static const settings_case_t settings_cases[] = {
	{ "unknown-key", VALID "[requests]\nquue = 3\n", FFL_MSG_UNKNOWN_KEY,
	  14, "quue" },
	{ "bad-unit", VALID "[requests]\ntimeout = 3 weeks\n", FFL_MSG_BAD_UNIT,
	  14, "timeout" },
	{ "no-unit", VALID "[requests]\ntimeout = 300\n", FFL_MSG_BAD_UNIT, 14,
	  "timeout" },
	{ "range", VALID "[requests]\nattempts = 99\n", FFL_MSG_OUT_OF_RANGE,
	  14, "attempts" },
	{ "negative", VALID "[requests]\nattempts = -1\n", FFL_MSG_BAD_NUMBER,
	  14, "attempts" },
	{ "overflow", VALID "[requests]\ntimeout = 99999999999999999999s\n",
	  FFL_MSG_BAD_NUMBER, 14, "timeout" },
	{ "twice", VALID "[host]\nname = b\n", FFL_MSG_DUPLICATE_SECTION, 13,
	  "host" },
	{ "section", VALID "[hosts]\n", FFL_MSG_UNKNOWN_SECTION, 13, "hosts" },
	{ "syntax", VALID "[requests]\nqueue 3\n", FFL_MSG_BAD_SYNTAX, 14, "" },
	{ "open-section", VALID "[requests\n", FFL_MSG_BAD_SYNTAX, 13, "" },
	{ "no-section", "a = 1\n" VALID, FFL_MSG_UNKNOWN_SECTION, 1, "a" },
	{ "key-twice", VALID "[requests]\n\nqueue = 3\n  queue = 4\n",
	  FFL_MSG_DUPLICATE_KEY, 16, "queue" },
	{ "address", VALID "[requests]\nqueue = x\n", FFL_MSG_BAD_NUMBER, 14,
	  "queue" },
};

static void test_settings_findings(void);
static void test_settings_all_at_once(void);
static void test_record_round_trip(void);
static void test_record_truncated(void);
static void test_ring_full(void);

static void test_settings_findings(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(settings_cases); i++) {
		const settings_case_t *c = &settings_cases[i];
		const ffl_finding_t *f;
		ffl_settings_t s;
		ffl_findings_t fs;

		ffl_findings_init(&fs, c->name);
		g_assert_cmpuint(
			ffl_settings_parse(c->text, strlen(c->text), &s, &fs),
			==, FFL_INVALID);
		f = ffl_findings_at(&fs, 0);
		g_assert_cmpuint(f->msg, ==, c->msg);
		g_assert_cmpuint(f->line, ==, c->line);
		g_assert_cmpstr(f->key, ==, c->key);
		ffl_findings_finish(&fs);
	}
}

/* All errors of a file are reported in one pass. */
static void test_settings_all_at_once(void)
{
	const char *text =
		VALID "[requests]\nqueue = x\ntimeout = 3\nattempts = 0\n";
	ffl_settings_t s;
	ffl_findings_t fs;

	ffl_findings_init(&fs, "all");
	ffl_settings_parse(text, strlen(text), &s, &fs);
	g_assert_cmpuint(fs.errors, ==, 3);
	ffl_findings_finish(&fs);
	ffl_findings_init(&fs, "none");
	g_assert_cmpuint(ffl_settings_parse(VALID, strlen(VALID), &s, &fs), ==,
			 FFL_OK);
	g_assert_cmpuint(s.lease_ms, ==, 6000);
	ffl_findings_finish(&fs);
}

static void test_record_round_trip(void)
{
	ffl_record_t rec = { .version = FFL_RECORD_VERSION,
			     .cluster = 7,
			     .kind = FFL_REC_JOB,
			     .writer = 9,
			     .seq = 3 };
	GByteArray *bytes = g_byte_array_new();
	ffl_record_t decoded;
	ffl_arena_t arena;

	ffl_arena_init(&arena);
	ffl_copy(rec.job.name, sizeof(rec.job.name), "liner");
	rec.job.accelerators = 16;
	rec.job.adjacency = FFL_ADJ_RACK;
	ffl_record_encode(&rec, bytes);
	g_assert_cmpuint(
		ffl_record_decode((ffl_bytes_t){ bytes->data, bytes->len },
				  &decoded, &arena),
		==, FFL_OK);
	g_assert_cmpuint(decoded.writer, ==, 9);
	g_assert_cmpstr(decoded.job.name, ==, "liner");
	g_assert_cmpuint(decoded.job.accelerators, ==, 16);
	g_assert_cmpuint(decoded.job.adjacency, ==, FFL_ADJ_RACK);
	g_byte_array_free(bytes, TRUE);
	ffl_arena_finish(&arena);
}

/* Every truncation of a record must be refused. */
static void test_record_truncated(void)
{
	ffl_record_t rec = { .version = FFL_RECORD_VERSION,
			     .kind = FFL_REC_CONFIRM,
			     .confirm = { .plan = 4, .revision = 2 } };
	GByteArray *bytes = g_byte_array_new();
	ffl_record_t decoded;
	ffl_arena_t arena;

	ffl_arena_init(&arena);
	ffl_record_encode(&rec, bytes);
	for (guint n = 0; n < bytes->len; n++)
		g_assert_cmpuint(
			ffl_record_decode((ffl_bytes_t){ bytes->data, n },
					  &decoded, &arena),
			!=, FFL_OK);
	g_byte_array_free(bytes, TRUE);
	ffl_arena_finish(&arena);
}

static void test_ring_full(void)
{
	int items[3] = { 0, 1, 2 };
	ffl_ring_t ring;

	ffl_ring_init(&ring, 2);
	g_assert_true(ffl_ring_push(&ring, &items[0]));
	g_assert_true(ffl_ring_push(&ring, &items[1]));
	g_assert_false(ffl_ring_push(&ring, &items[2]));
	g_assert_true(ffl_ring_pop(&ring, 0) == &items[0]);
	g_assert_true(ffl_ring_pop(&ring, 0) == &items[1]);
	g_assert_null(ffl_ring_pop(&ring, 0));
	ffl_ring_finish(&ring);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/settings/findings", test_settings_findings);
	g_test_add_func("/settings/all-at-once", test_settings_all_at_once);
	g_test_add_func("/record/round-trip", test_record_round_trip);
	g_test_add_func("/record/truncated", test_record_truncated);
	g_test_add_func("/ring/full", test_ring_full);
	return g_test_run();
}
