/** @file Tests of whose job a request may read or cancel, and of ids that two
 * customers hand in at once. */
#include <string.h>

#include "fakes/site.h"

#define START_MS 3000
/** Longest time in which one host reads what another has written. */
#define READ_MS 1000
#define JOB_ID	"00000000000000a1"
#define GPUS	1

/** A way to name a job, and whether it names JOB_ID. */
typedef struct {
	const char *id;
	bool exact;
} name_row_t;

/** A queue, as its path prefix. */
typedef struct {
	const char *prefix;
	bool open_to_all;
} queue_row_t;

/** What is known of the job at the host that is asked. */
typedef enum {
	JOB_KNOWN,
	JOB_READ_LATER, /**< the host reads its record after the request came */
	JOB_CANCELLED,
	JOB_UNKNOWN, /**< it was never handed in */
	JOB__MAX
} job_case_t;

/** Who hands the job in. */
typedef struct {
	const char *name;
	const char *prefix;
	const char *key;
} owner_row_t;

static const name_row_t names[] = {
	{ JOB_ID, true },
	{ JOB_ID "0", false },
	{ "00000000000000a", false },
	{ JOB_ID "/", false },
};

static const queue_row_t queues[] = {
	{ "/lining/", false },
	{ "/dew/", false },
	{ "/open/", true },
};

static const char *const keys[] = { SITE_KEY, SITE_OTHER_KEY, "", "no-key" };

static const owner_row_t owners[] = {
	{ "customer", "/lining/", SITE_KEY },
	{ "customer-of-the-public-queue", "/open/", SITE_KEY },
	{ "nobody", "/open/", "" },
};

static bool is_customer(const char *key);
static ffl_response_kind_t ask_kind(site_t *s, uint32_t host,
				    ffl_request_kind_t kind, const char *prefix,
				    const char *key, const char *id);
static ffl_response_kind_t expect_kind(const owner_row_t *owner, job_case_t job,
				       ffl_request_kind_t kind,
				       const queue_row_t *queue,
				       const char *key, const name_row_t *name);
static void prepare_job(site_t *s, const owner_row_t *owner, job_case_t job);
static void check_request(const owner_row_t *owner, job_case_t job,
			  ffl_request_kind_t kind, const queue_row_t *queue,
			  const char *key, const name_row_t *name);
static void test_own_jobs_only(gconstpointer data);
static void check_owner(const site_t *s, const char *customer);
static void test_one_id_two_customers(void);

static bool is_customer(const char *key)
{
	return strcmp(key, SITE_KEY) == 0 || strcmp(key, SITE_OTHER_KEY) == 0;
}

static ffl_response_kind_t ask_kind(site_t *s, uint32_t host,
				    ffl_request_kind_t kind, const char *prefix,
				    const char *key, const char *id)
{
	char *path = g_strconcat(prefix, id, NULL);
	const ffl_act_response_t *answer =
		site_answer(s, site_send(s, host, kind, path, key, GPUS));

	g_free(path);
	g_assert_nonnull(answer);
	return answer->kind;
}

static ffl_response_kind_t expect_kind(const owner_row_t *owner, job_case_t job,
				       ffl_request_kind_t kind,
				       const queue_row_t *queue,
				       const char *key, const name_row_t *name)
{
	bool own = strcmp(owner->prefix, queue->prefix) == 0 &&
		   (!owner->key[0] || strcmp(owner->key, key) == 0);

	if (!queue->open_to_all && !is_customer(key))
		return FFL_RESPONSE_NO_KEY;
	if (!own || !name->exact || job == JOB_UNKNOWN)
		return FFL_RESPONSE_GONE;
	return kind == FFL_REQUEST_QUERY ? FFL_RESPONSE_STATE
					 : FFL_RESPONSE_CANCELLED;
}

static void prepare_job(site_t *s, const owner_row_t *owner, job_case_t job)
{
	site_run(s, START_MS);
	if (job == JOB_READ_LATER)
		s->hosts[1].jobs_lag_until_ms = s->now_ms + READ_MS;
	if (job != JOB_UNKNOWN)
		g_assert_cmpint(ask_kind(s, 0, FFL_REQUEST_SUBMIT,
					 owner->prefix, owner->key, JOB_ID),
				==, FFL_RESPONSE_ACCEPTED);
	if (job == JOB_CANCELLED)
		g_assert_cmpint(ask_kind(s, 0, FFL_REQUEST_CANCEL,
					 owner->prefix, owner->key, JOB_ID),
				==, FFL_RESPONSE_CANCELLED);
	if (job != JOB_READ_LATER)
		site_run(s, READ_MS);
}

/* Host 1 is asked; the job is handed in at host 0. There are no workers, so
 * that the job ends only if it is cancelled. */
static void check_request(const owner_row_t *owner, job_case_t job,
			  ffl_request_kind_t kind, const queue_row_t *queue,
			  const char *key, const name_row_t *name)
{
	ffl_response_kind_t expected =
		expect_kind(owner, job, kind, queue, key, name);
	ffl_response_kind_t answered;
	const ffl_flow_t *flow;
	site_t s;

	site_init(&s, 1, 2, 0);
	prepare_job(&s, owner, job);
	answered = ask_kind(&s, 1, kind, queue->prefix, key, name->id);
	if (answered != expected)
		g_test_message("owner %s, job %d, kind %d: %s%s with key '%s'",
			       owner->name, job, kind, queue->prefix, name->id,
			       key);
	g_assert_cmpstr(ffl_response_kind_name(answered), ==,
			ffl_response_kind_name(expected));
	site_run(&s, 2 * READ_MS);
	flow = ffl_flows_find(&s.hosts[0].node.flows, JOB_ID);
	if (job != JOB_UNKNOWN)
		g_assert_cmpint(flow->cancelled, ==,
				job == JOB_CANCELLED ||
					expected == FFL_RESPONSE_CANCELLED);
	site_finish(&s);
}

static void test_own_jobs_only(gconstpointer data)
{
	static const ffl_request_kind_t kinds[] = { FFL_REQUEST_QUERY,
						    FFL_REQUEST_CANCEL };
	const owner_row_t *owner = data;

	for (int job = 0; job < JOB__MAX; job++) {
		for (size_t k = 0; k < G_N_ELEMENTS(kinds); k++) {
			for (size_t q = 0; q < G_N_ELEMENTS(queues); q++) {
				for (size_t c = 0; c < G_N_ELEMENTS(keys);
				     c++) {
					for (size_t i = 0;
					     i < G_N_ELEMENTS(names); i++)
						check_request(
							owner, (job_case_t)job,
							kinds[k], &queues[q],
							keys[c], &names[i]);
				}
			}
		}
	}
}

static void check_owner(const site_t *s, const char *customer)
{
	for (uint32_t i = 0; i < s->hosts_count; i++) {
		const ffl_flow_t *flow =
			ffl_flows_find(&s->hosts[i].node.flows, JOB_ID);

		g_assert_nonnull(flow);
		g_assert_cmpstr(flow->spec.customer, ==, customer);
	}
}

/* Two customers hand in one id at two hosts before either host has read the
 * other's record. One of them is accepted; its job is the one that every host
 * knows, also after all have started anew from the log's newest records. */
static void test_one_id_two_customers(void)
{
	static const char *const customers[] = { "ponds", "tailors" };
	uint32_t both_read = 0;

	for (uint64_t seed = 1; seed <= 40; seed++) {
		uint64_t calls[2];
		ffl_response_kind_t kinds[2];
		uint32_t winner;
		site_t s;

		site_init(&s, seed, 3, 0);
		site_run(&s, START_MS + (uint32_t)seed * SITE_STEP_MS);
		for (uint32_t i = 0; i < 2; i++) {
			uint32_t c = (i + (uint32_t)seed / 2) % 2;
			uint32_t host = 1 + (i + (uint32_t)seed) % 2;

			s.hosts[host].jobs_lag_until_ms = s.now_ms + READ_MS;
			calls[c] = site_send(&s, host, FFL_REQUEST_SUBMIT,
					     "/lining/" JOB_ID, keys[c], GPUS);
		}
		for (uint32_t c = 0; c < 2; c++)
			kinds[c] = site_answer(&s, calls[c])->kind;
		winner = kinds[0] == FFL_RESPONSE_ACCEPTED ? 0 : 1;
		g_assert_cmpint(kinds[winner], ==, FFL_RESPONSE_ACCEPTED);
		g_assert_cmpint(kinds[!winner], ==, FFL_RESPONSE_CONFLICT);
		/* Pages are in the order of keys, so that the later record
		 * comes first in some. */
		both_read +=
			g_tree_nnodes(s.topics[FFL_TOPIC_JOBS].newest) == 2;
		for (uint32_t i = 0; i < s.hosts_count; i++)
			site_kill(&s, i, 100);
		site_run(&s, START_MS / 2);
		check_owner(&s, customers[winner]);
		site_run(&s, 3 * START_MS);
		check_owner(&s, customers[winner]);
		g_assert_cmpint(g_tree_nnodes(s.topics[FFL_TOPIC_JOBS].newest),
				==, 1);
		site_finish(&s);
	}
	g_assert_cmpuint(both_read, >=, 20);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(owners); i++) {
		char *path = g_strdup_printf(
			"/access/job-read-through-another-queue-or-key/%s",
			owners[i].name);

		g_test_add_data_func(path, &owners[i], test_own_jobs_only);
		g_free(path);
	}
	g_test_add_func("/access/accepted-job-lost-to-anothers-of-its-id",
			test_one_id_two_customers);
	return g_test_run();
}
