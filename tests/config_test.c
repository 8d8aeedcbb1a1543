/** @file Tests of intents, the log reader, the audit trail and snapshots. */
#include <string.h>

#include "fakes/world.h"
#include "fireflyledge/snapshot.h"
#include "lib/host/plan_int.h"

/** An intent that must be refused, and the field that the problem names. */
typedef struct {
	const char *body;
	const char *field;
} bad_intent_t;

static const bad_intent_t bad_intents[] = {
	{ "{\"kind\":\"drain\",\"name\":\"w0\"}", "reason" },
	{ "{\"kind\":\"drain\",\"reason\":\"x\"}", "name" },
	{ "{\"kind\":\"melt\",\"reason\":\"x\"}", "kind" },
	{ "{\"kind\":\"guarantee\",\"name\":\"c\",\"count\":-1,"
	  "\"dc\":\"d\",\"accelerators\":1,\"reason\":\"x\"}",
	  "count" },
	{ "{\"kind\":\"guarantee\",\"name\":\"c\",\"count\":5000,"
	  "\"dc\":\"d\",\"accelerators\":1,\"reason\":\"x\"}",
	  "count" },
	{ "{\"kind\":\"guarantee\",\"name\":\"c\",\"count\":1,"
	  "\"dc\":\"d\",\"accelerators\":65,\"reason\":\"x\"}",
	  "accelerators" },
	{ "{\"kind\":\"order\",\"order\":\"a, b,a\",\"reason\":\"x\"}",
	  "order" },
	{ "{\"kind\":\"order\",\"order\":\"a,,b\",\"reason\":\"x\"}", "order" },
	{ "{\"kind\":\"withdraw\",\"reason\":\"x\"}", "revision" },
	{ "{\"kind\":\"customer\",\"name\":\"c\",\"reason\":\"x\"}",
	  "token_hash" },
};

/** A reply to a read of the log, and how the reader must judge it. */
typedef struct {
	uint64_t first;
	uint64_t end;
	uint64_t offsets[3];
	ffl_read_result_t result;
} read_case_t;

/* The reader knows that the log ends at 10, and its next offset is 5. */
static const read_case_t read_cases[] = {
	{ 1, 10, { 5, 6, 7 }, FFL_READ_TAKEN },
	{ 1, 10, { 4, 5, 5 }, FFL_READ_TAKEN },
	{ 1, 9, { 5, 6, 7 }, FFL_READ_STALE },
	{ 1, 10, { 5, 7, 8 }, FFL_READ_GAP },
	{ 1, 10, { 6, 7, 8 }, FFL_READ_GAP },
	{ 1, 10, { 0, 0, 0 }, FFL_READ_GAP },
	{ 6, 10, { 6, 7, 8 }, FFL_READ_TRIMMED },
};

/** What the reader knows, and whether its next read may wait for records. */
typedef struct {
	uint64_t end;
	uint32_t read_failures;
	ffl_append_state_t append_state;
	bool waits;
} wait_case_t;

static const wait_case_t wait_cases[] = {
	{ 0, 0, FFL_APPEND_IDLE, false },
	{ 10, 0, FFL_APPEND_IDLE, true },
	{ 10, 0, FFL_APPEND_BACKOFF, true },
	{ 10, 0, FFL_APPEND_UNCERTAIN, false },
	{ 10, 1, FFL_APPEND_IDLE, false },
	{ 10, 9, FFL_APPEND_BACKOFF, false },
};

static void test_bad_intents(void);
static void test_reads(void);
static void test_waiting_reads(void);
static void test_late_writer(void);
static void test_tampered_trail(void);
static void test_damaged_snapshot(void);
static void test_blast_radius(void);
static void test_peer_in_outage(void);
static void apply_drain(ffl_config_t *cfg, uint64_t *offset, const char *host);

static void test_bad_intents(void)
{
	world_t w;

	world_init(&w, 1, 1, 4, 1);
	world_run(&w, 1000);
	for (size_t i = 0; i < G_N_ELEMENTS(bad_intents); i++) {
		const world_answer_t *a;
		json_t *json;
		uint64_t id =
			world_command(&w, 0, FFL_CMD_INTENT, WORLD_OPERATOR, "",
				      bad_intents[i].body);

		world_run(&w, 100);
		a = world_answer(&w, id);
		g_assert_nonnull(a);
		g_assert_cmpuint(a->http_status, ==, 422);
		json = json_loads(a->body, 0, NULL);
		g_assert_cmpstr(
			json_string_value(json_object_get(json, "field")), ==,
			bad_intents[i].field);
		json_decref(json);
	}
	g_assert_cmpuint(w.hosts[0].host.config.pending->len, ==, 0);
	world_finish(&w);
}

static void test_reads(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(read_cases); i++) {
		ffl_log_entry_t entries[3] = { 0 };
		ffl_ev_log_read_t ev = { .status = FFL_OK,
					 .first = read_cases[i].first,
					 .end = read_cases[i].end,
					 .entries = entries };
		ffl_logc_t lc;

		ffl_logc_init(&lc, 1, 1, 1);
		lc.end = 10;
		lc.next_offset = 5;
		lc.reading = true;
		for (; ev.count < 3 && read_cases[i].offsets[ev.count];
		     ev.count++)
			entries[ev.count].offset =
				read_cases[i].offsets[ev.count];
		g_assert_cmpuint(ffl_logc_check_read(&lc, &ev), ==,
				 read_cases[i].result);
		ffl_logc_finish(&lc);
	}
}

static void test_waiting_reads(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(wait_cases); i++) {
		const wait_case_t *c = &wait_cases[i];
		const ffl_action_t *read;
		ffl_actions_t out;
		ffl_logc_t lc;

		ffl_actions_init(&out);
		ffl_logc_init(&lc, 1, 1, 1);
		lc.end = c->end;
		lc.read_failures = c->read_failures;
		lc.append_state = c->append_state;
		ffl_logc_run(&lc, 1, &out);
		g_assert_cmpuint(out.items->len, ==, 1);
		read = &g_array_index(out.items, ffl_action_t, 0);
		g_assert_cmpint(read->kind, ==, FFL_ACT_LOG_READ);
		g_assert_cmpint(read->log_read.wait_ms > 0, ==, c->waits);
		ffl_logc_finish(&lc);
		ffl_actions_finish(&out);
	}
}

/* The writer of a record that lands more than FFL_FOLD_WINDOW offsets after its
 * base may have been forgotten: the record must not be taken for a new one. */
static void test_late_writer(void)
{
	ffl_record_t rec = { .version = FFL_RECORD_VERSION,
			     .cluster = 1,
			     .kind = FFL_REC_LEAVE,
			     .writer = 7,
			     .seq = 1,
			     .base = 9 };
	GByteArray *bytes = g_byte_array_new();
	uint64_t late = 10 + FFL_FOLD_WINDOW + 1;
	ffl_arena_t arena;
	ffl_record_t out;
	ffl_bytes_t data;
	ffl_fold_t f;

	ffl_arena_init(&arena);
	ffl_fold_init(&f, 1);
	ffl_record_encode(&rec, bytes);
	data = (ffl_bytes_t){ bytes->data, bytes->len };
	g_assert_cmpuint(ffl_fold_record(&f, 10, data, &out, &arena), ==,
			 FFL_FOLD_TAKEN);
	g_assert_cmpuint(ffl_fold_record(&f, 11, data, &out, &arena), ==,
			 FFL_FOLD_DUPLICATE);
	g_assert_cmpuint(ffl_fold_record(&f, late, data, &out, &arena), ==,
			 FFL_FOLD_LATE);
	g_assert_cmpuint(f.recent.length, ==, 0);
	ffl_fold_finish(&f);
	ffl_arena_finish(&arena);
	g_byte_array_free(bytes, TRUE);
}

static void apply_drain(ffl_config_t *cfg, uint64_t *offset, const char *host)
{
	ffl_record_t rec = { .kind = FFL_REC_INTENT };

	rec.intent.kind = FFL_INTENT_DRAIN;
	ffl_copy(rec.intent.name, sizeof(rec.intent.name), host);
	ffl_copy(rec.intent.reason, sizeof(rec.intent.reason), "fan");
	ffl_config_apply_intent(cfg, ++*offset, &rec);
	memset(&rec, 0, sizeof(rec));
	rec.confirm.plan = *offset;
	rec.confirm.revision = cfg->revision;
	g_assert_cmpuint(ffl_config_apply_confirm(cfg, ++*offset, &rec).status,
			 ==, FFL_OK);
}

/* A changed reason and a missing entry both fail the verification of the audit
 * trail; a changed reason also keeps it from being loaded. */
static void test_tampered_trail(void)
{
	GByteArray *state = g_byte_array_new();
	uint64_t offset = 0;
	ffl_config_t cfg;
	ffl_config_t loaded;
	ffl_audit_t *a;
	size_t used;

	ffl_config_init(&cfg);
	ffl_config_init(&loaded);
	apply_drain(&cfg, &offset, "w1");
	apply_drain(&cfg, &offset, "w2");
	ffl_config_save(&cfg, state);
	g_assert_cmpuint(
		ffl_config_load(&loaded,
				(ffl_bytes_t){ state->data, state->len },
				&used),
		==, FFL_OK);
	g_assert_cmpuint(used, ==, state->len);
	g_assert_cmpuint(ffl_config_hash(&loaded), ==, ffl_config_hash(&cfg));
	g_assert_true(ffl_config_verify_audit(&cfg));
	a = g_ptr_array_index(cfg.audit, 0);
	ffl_copy(a->intent.reason, sizeof(a->intent.reason), "fun");
	g_assert_false(ffl_config_verify_audit(&cfg));
	g_byte_array_set_size(state, 0);
	ffl_config_save(&cfg, state);
	g_assert_cmpuint(
		ffl_config_load(&loaded,
				(ffl_bytes_t){ state->data, state->len },
				&used),
		==, FFL_INVALID);
	g_assert_cmpuint(loaded.audit->len, ==, 2);
	g_hash_table_remove(cfg.by_plan, &a->plan);
	g_ptr_array_remove_index(cfg.audit, 0);
	g_assert_false(ffl_config_verify_audit(&cfg));
	ffl_config_finish(&loaded);
	ffl_config_finish(&cfg);
	g_byte_array_free(state, TRUE);
}

/* Snapshot parts of two writers may interleave; a damaged part invalidates only
 * the snapshot of its own writer. */
static void test_damaged_snapshot(void)
{
	uint8_t bytes[] = "state";
	ffl_record_t rec = { .kind = FFL_REC_SNAPSHOT };
	ffl_snapshots_t s;

	rec.snapshot.offset = 5;
	rec.snapshot.parts = 2;
	rec.snapshot.hash = ffl_hash("statestate", 10, 0);
	rec.snapshot.data = (ffl_bytes_t){ bytes, 5 };
	ffl_snapshots_init(&s);
	rec.writer = 1;
	g_assert_cmpuint(ffl_snapshots_add_part(&s, 10, &rec), ==,
			 FFL_UNAVAILABLE);
	rec.writer = 2;
	g_assert_cmpuint(ffl_snapshots_add_part(&s, 11, &rec), ==,
			 FFL_UNAVAILABLE);
	rec.snapshot.part = 1;
	bytes[0] = 'x';
	g_assert_cmpuint(ffl_snapshots_add_part(&s, 12, &rec), ==, FFL_INVALID);
	g_assert_cmpuint(s.last.offset, ==, 0);
	rec.writer = 1;
	bytes[0] = 's';
	g_assert_cmpuint(ffl_snapshots_add_part(&s, 13, &rec), ==, FFL_OK);
	g_assert_cmpuint(s.last.start, ==, 10);
	g_assert_cmpuint(s.invalid, ==, 1);
	ffl_snapshots_finish(&s);
}

/* A drain of more than a quarter of the cell has the blast radius as its first
 * finding, and only a confirmation that repeats the number is accepted. */
static void test_blast_radius(void)
{
	const char *const body = "{\"kind\":\"drain\",\"name\":\"w0\","
				 "\"reason\":\"fan\"}";
	ffl_intent_t in = { .kind = FFL_INTENT_DRAIN };
	const world_answer_t *a;
	ffl_plan_t plan;
	uint64_t id;
	world_t w;

	world_init(&w, 1, 3, 2, 1);
	world_run(&w, 2000);
	ffl_copy(in.name, sizeof(in.name), "w0");
	ffl_plan_init(&plan, &w.hosts[0].host, &in);
	g_assert_cmpuint(plan.blast_radius, ==, 8);
	g_assert_cmpuint(ffl_findings_at(&plan.findings, 0)->msg, ==,
			 FFL_MSG_BLAST_RADIUS);
	ffl_plan_finish(&plan);
	g_assert_false(world_apply_intent(&w, 0, body));
	g_assert_cmpuint(w.hosts[0].host.config.audit->len, ==, 0);
	id = world_command(&w, 1, FFL_CMD_CONFIRM, WORLD_OPERATOR, "5",
			   "{\"revision\":0,\"blast_radius\":8}");
	world_run(&w, 500);
	a = world_answer(&w, id);
	g_assert_nonnull(a);
	g_assert_cmpuint(a->http_status, ==, 200);
	world_finish(&w);
}

/* While the log is down, a host that starts gets its state from a peer. */
static void test_peer_in_outage(void)
{
	uint64_t hash;
	world_t w;

	world_init(&w, 1, 3, 4, 1);
	world_run(&w, 2000);
	g_assert_true(world_add_customer(&w, 0, "rocio", "token"));
	hash = ffl_host_state_hash(&w.hosts[0].host);
	w.log.down = true;
	world_start(&w, 2);
	world_run(&w, 4000);
	g_assert_true(w.hosts[2].host.caught_up);
	g_assert_cmpuint(ffl_host_state_hash(&w.hosts[2].host), ==, hash);
	world_finish(&w);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/config/bad-intents", test_bad_intents);
	g_test_add_func("/config/reads", test_reads);
	g_test_add_func("/config/waiting-reads", test_waiting_reads);
	g_test_add_func("/config/late-writer", test_late_writer);
	g_test_add_func("/config/tampered-trail", test_tampered_trail);
	g_test_add_func("/config/damaged-snapshot", test_damaged_snapshot);
	g_test_add_func("/config/blast-radius", test_blast_radius);
	g_test_add_func("/config/peer-in-outage", test_peer_in_outage);
	return g_test_run();
}
