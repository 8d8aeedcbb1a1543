/*
 * Request path under load, in virtual time: floods, a heavy caller and a
 * brown-out, with both policies; then the cost of a queue decision and the
 * memory of a queued request and of a stored key.
 */
#include <math.h>
#include <string.h>

#include "bench/bench.h"
#include "fireflyledge/request.h"

#define HOSTS	     7
#define HOSTS_FIRST  5
#define INSTANCES    50
#define FIRST_REGION 33
#define SLOTS	     8
#define CUSTOMERS    4
#define CALLERS	     10
#define WARM_MS	     5000
#define RUN_MS	     20000
#define DRAIN_MS     31000
#define RING_MS	     65536
#define TICK_MS	     50
#define FLOOD	     10
#define REMOTE_MS    16
#define ANSWER_BYTES 4096
#define QUEUE_ROUNDS 200000

/** A load beside the even one. */
typedef struct {
	const char *name;
	uint32_t times[FFL_URGENCY__MAX]; /* of the even load of a class */
	bool heavy;			  /* one caller far beyond the rest */
	bool brown_out;			  /* half of the attempts are refused */
} scenario_t;

typedef struct {
	uint64_t sent_ms;
	uint32_t service_ms;
	uint32_t class;
	bool heavy;
} item_t;

typedef struct {
	uint64_t id;
	uint32_t host;
	uint32_t attempt;
	uint32_t upstream;
	uint32_t elapsed_ms;
	ffl_up_outcome_t outcome;
} end_t;

typedef struct {
	ffl_requests_t hosts[HOSTS];
	ffl_members_t members;
	ffl_config_t config;
	ffl_rng_t rng;
	const scenario_t *scenario;
	GArray *items;	       /* of item_t, by id */
	GArray *ends[RING_MS]; /* of end_t, by due time */
	uint32_t busy[INSTANCES];
	uint64_t now_ms;
	uint64_t attempts;
	uint64_t first_attempts;
	uint64_t overruns;
	uint64_t refused;
	uint64_t offered[FFL_URGENCY__MAX];    /* of small callers, measured */
	GArray *latency[FFL_URGENCY__MAX + 1]; /* last: small callers */
} sim_t;

/** The even load: share of all slots in percent, and service time. */
static const struct {
	const char *region[2];
	uint32_t percent[FFL_URGENCY__MAX];
	uint32_t service_ms[FFL_URGENCY__MAX];
	uint32_t timeout_ms[FFL_URGENCY__MAX];
	uint32_t client_ms;
	const char *name;
} sites[] = {
	{ { "altiplano", "oriente" },
	  { 15, 20, 8 },
	  { 40, 80, 200 },
	  { 5000, 10000, 30000 },
	  1,
	  "estanques" },
	{ { "yeongnam", "sudogwon" },
	  { 25, 20, 8 },
	  { 25, 120, 400 },
	  { 3000, 10000, 30000 },
	  3,
	  "busan" },
};

static const scenario_t scenarios[] = {
	{ "even", { 1, 1, 1 }, false, false },
	{ "flood-batch", { 1, 1, FLOOD }, false, false },
	{ "flood-normal", { 1, FLOOD, 1 }, false, false },
	{ "flood-urgent", { FLOOD, 1, 1 }, false, false },
	{ "heavy-caller", { 1, 1, 1 }, true, false },
	{ "brown-out", { 1, 1, 1 }, false, true },
};

static const ffl_route_policy_t *const policies[] = { &ffl_policy_fcfs,
						      &ffl_policy_fair };

static void sim_init(sim_t *s, uint32_t site, const scenario_t *scenario,
		     const ffl_route_policy_t *policy);
static void sim_finish(sim_t *s);
static void act(sim_t *s, uint32_t host, ffl_actions_t *out);
static void forward(sim_t *s, uint32_t host, const ffl_act_forward_t *f);
static void arrive(sim_t *s, uint32_t site, uint32_t class, bool heavy);
static void arrivals(sim_t *s, uint32_t site);
static void complete(sim_t *s, const end_t *end);
static void simulate(sim_t *s, uint32_t site);
static double uniform(sim_t *s);
static void report(sim_t *s, uint32_t site, const char *policy);
static void bench_queue(uint32_t callers);
static void bench_memory(void);

static double uniform(sim_t *s)
{
	return (double)(ffl_rng_next(&s->rng) >> 11) / (double)(1ULL << 53);
}

static void sim_init(sim_t *s, uint32_t site, const scenario_t *scenario,
		     const ffl_route_policy_t *policy)
{
	ffl_request_limits_t limits = { .queue_max = 2048,
					.default_timeout_ms = 10000,
					.max_timeout_ms = 60000,
					.attempts_max = 3,
					.eject_failures = 5,
					.eject_ms = 5000,
					.policy = policy };
	ffl_host_info_t infos[INSTANCES];
	ffl_host_list_t list = { .hosts = { infos, INSTANCES } };
	ffl_join_t join = { .member = 0 };
	const ffl_member_times_t times = { .heartbeat_ms = 250 };

	memset(s, 0, sizeof(*s));
	memset(infos, 0, sizeof(infos));
	s->scenario = scenario;
	s->now_ms = 1;
	ffl_rng_init(&s->rng, 7);
	ffl_config_init(&s->config);
	ffl_members_init(&s->members, &join, &times);
	s->items = g_array_new(FALSE, TRUE, sizeof(item_t));
	for (uint32_t i = 0; i < G_N_ELEMENTS(s->latency); i++)
		s->latency[i] = g_array_new(FALSE, FALSE, sizeof(double));
	for (uint32_t i = 0; i < CUSTOMERS; i++) {
		ffl_customer_t c = { .weight = 1 };

		g_snprintf(c.name, sizeof(c.name), "c%u", i);
		ffl_token_hash(c.name, c.token_hash);
		g_array_append_val(s->config.customers, c);
	}
	for (uint32_t i = 0; i < INSTANCES; i++) {
		infos[i].kind = FFL_HOST_UPSTREAM;
		infos[i].slots = SLOTS;
		infos[i].connections = 64;
		g_snprintf(infos[i].name, FFL_NAME_BYTES, "u%02u", i);
		ffl_copy(infos[i].region, FFL_NAME_BYTES,
			 sites[site].region[i >= FIRST_REGION]);
	}
	for (uint32_t i = 0; i < HOSTS; i++) {
		ffl_member_t m = { .join = { .member = i + 1 } };

		ffl_copy(m.join.region, FFL_NAME_BYTES,
			 sites[site].region[i >= HOSTS_FIRST]);
		g_array_append_val(s->members.members, m);
	}
	for (uint32_t i = 0; i < HOSTS; i++) {
		ffl_request_self_t self = {
			i + 1, 1, i + 11, sites[site].region[i >= HOSTS_FIRST]
		};
		ffl_requests_t *rs = &s->hosts[i];

		ffl_requests_init(rs, &limits, &self, &s->members);
		ffl_requests_on_members(rs, true, 1);
		rs->slot_ownership.acquired = true;
		ffl_requests_on_host_list(rs, &list, 1);
	}
}

static void sim_finish(sim_t *s)
{
	for (uint32_t i = 0; i < HOSTS; i++)
		ffl_requests_finish(&s->hosts[i]);
	for (uint32_t i = 0; i < RING_MS; i++) {
		if (s->ends[i])
			g_array_free(s->ends[i], TRUE);
	}
	for (uint32_t i = 0; i < G_N_ELEMENTS(s->latency); i++)
		g_array_free(s->latency[i], TRUE);
	g_array_free(s->items, TRUE);
	ffl_members_finish(&s->members);
	ffl_config_finish(&s->config);
}

static void forward(sim_t *s, uint32_t host, const ffl_act_forward_t *f)
{
	const item_t *item = &g_array_index(s->items, item_t, f->id);
	uint32_t u = (uint32_t)strtoul(f->upstream + 1, NULL, 10);
	bool remote = (u >= FIRST_REGION) != (host >= HOSTS_FIRST);
	end_t end = { .id = f->id,
		      .host = host,
		      .attempt = f->attempt,
		      .upstream = u,
		      .outcome = FFL_UP_OK };
	uint32_t at;

	s->attempts++;
	s->first_attempts += f->attempt == 1;
	s->overruns += ++s->busy[u] > SLOTS;
	end.elapsed_ms = item->service_ms + (remote ? REMOTE_MS : 0);
	if (s->scenario->brown_out && uniform(s) < 0.5) {
		end.outcome = FFL_UP_REFUSED;
		end.elapsed_ms = 2;
	} else if (end.elapsed_ms > f->timeout_ms) {
		end.elapsed_ms = f->timeout_ms;
		end.outcome = FFL_UP_TIMEOUT;
	}
	at = (uint32_t)((s->now_ms + MAX(end.elapsed_ms, 1)) % RING_MS);
	if (!s->ends[at])
		s->ends[at] = g_array_new(FALSE, FALSE, sizeof(end_t));
	g_array_append_val(s->ends[at], end);
}

static void act(sim_t *s, uint32_t host, ffl_actions_t *out)
{
	for (uint32_t i = 0; i < ffl_actions_count(out); i++) {
		const ffl_action_t *a = ffl_actions_at(out, i);
		const item_t *item;
		double spent;

		if (a->kind == FFL_ACT_FORWARD)
			forward(s, host, &a->forward);
		else if (a->kind == FFL_ACT_ANSWER)
			s->refused++;
		if (a->kind != FFL_ACT_FINISH)
			continue;
		item = &g_array_index(s->items, item_t, a->finish);
		if (item->sent_ms < WARM_MS || item->sent_ms >= RUN_MS)
			continue;
		spent = (double)(s->now_ms - item->sent_ms);
		if (!item->heavy)
			g_array_append_val(s->latency[item->class], spent);
		if (!item->heavy && item->class == FFL_NORMAL)
			g_array_append_val(s->latency[FFL_URGENCY__MAX], spent);
	}
	ffl_actions_reset(out);
}

static void arrive(sim_t *s, uint32_t site, uint32_t class, bool heavy)
{
	uint32_t host = (uint32_t)ffl_rng_below(&s->rng, HOSTS);
	uint32_t customer =
		heavy ? 0 : (uint32_t)ffl_rng_below(&s->rng, CUSTOMERS);
	uint32_t caller = (uint32_t)ffl_rng_below(&s->rng, CALLERS);
	double mean = sites[site].service_ms[class] * (heavy ? 5.0 : 1.0);
	item_t item = { .sent_ms = s->now_ms, .class = class, .heavy = heavy };
	char token[8];
	char name[16];
	ffl_ev_request_t ev = { .id = s->items->len,
				.token = token,
				.caller = name,
				.urgency = (ffl_urgency_t) class,
				.repeatable = false,
				.key = "",
				.timeout_ms = sites[site].timeout_ms[class],
				.body_bytes = 1024 };
	ffl_actions_t out;

	item.service_ms = (uint32_t)(mean * (0.5 + uniform(s))) + 1;
	g_array_append_val(s->items, item);
	if (!heavy && s->now_ms >= WARM_MS)
		s->offered[class]++;
	g_snprintf(token, sizeof(token), "c%u", customer);
	g_snprintf(name, sizeof(name), heavy ? "heavy" : "caller%u", caller);
	ev.kind = heavy			? "POST /survey"
		  : class == FFL_BATCH	? "POST /model"
		  : class == FFL_URGENT ? "POST /check"
					: "POST /reading";
	ffl_actions_init(&out);
	ffl_requests_on_request(&s->hosts[host], &ev, &s->config, s->now_ms,
				&out);
	ffl_requests_run(&s->hosts[host], s->now_ms, &out);
	act(s, host, &out);
	ffl_actions_finish(&out);
}

/* Independent arrivals: the expected number, with its fraction by chance. */
static void arrivals(sim_t *s, uint32_t site)
{
	for (uint32_t c = 0; c < FFL_URGENCY__MAX; c++) {
		double rate = INSTANCES * SLOTS * sites[site].percent[c] /
			      100.0 / sites[site].service_ms[c];
		double n = rate * s->scenario->times[c] * 2 * uniform(s);
		double heavy = rate / CUSTOMERS * FLOOD;

		for (; n > 0; n--) {
			if (n >= 1 || uniform(s) < n)
				arrive(s, site, c, false);
		}
		if (!s->scenario->heavy || c != FFL_NORMAL)
			continue;
		for (; heavy > 0; heavy--) {
			if (heavy >= 1 || uniform(s) < heavy)
				arrive(s, site, c, true);
		}
	}
}

static void complete(sim_t *s, const end_t *end)
{
	ffl_ev_upstream_done_t done = { .id = end->id,
					.attempt = end->attempt,
					.outcome = end->outcome,
					.http_status = 200,
					.elapsed_ms = end->elapsed_ms,
					.sent_bytes = 1024,
					.received_bytes = ANSWER_BYTES };
	ffl_actions_t out;

	s->busy[end->upstream]--;
	ffl_actions_init(&out);
	ffl_requests_on_upstream_done(&s->hosts[end->host], &done, s->now_ms,
				      &out);
	ffl_requests_run(&s->hosts[end->host], s->now_ms, &out);
	act(s, end->host, &out);
	ffl_actions_finish(&out);
}

static void simulate(sim_t *s, uint32_t site)
{
	ffl_actions_t out;

	ffl_actions_init(&out);
	for (; s->now_ms < RUN_MS + DRAIN_MS; s->now_ms++) {
		GArray *ends = s->ends[s->now_ms % RING_MS];

		s->ends[s->now_ms % RING_MS] = NULL;
		for (guint i = 0; ends && i < ends->len; i++)
			complete(s, &g_array_index(ends, end_t, i));
		if (ends)
			g_array_free(ends, TRUE);
		if (s->now_ms < RUN_MS)
			arrivals(s, site);
		for (uint32_t i = 0; i < HOSTS; i++) {
			if ((s->now_ms + i) % TICK_MS)
				continue;
			ffl_requests_on_log_read(&s->hosts[i], s->now_ms);
			ffl_requests_run(&s->hosts[i], s->now_ms, &out);
			act(s, i, &out);
		}
	}
	ffl_actions_finish(&out);
}

static void report(sim_t *s, uint32_t site, const char *policy)
{
	static const char *const groups[FFL_URGENCY__MAX + 1] = {
		"urgent", "normal", "batch", "small-callers"
	};
	static const double quantiles[] = { 0.5, 0.95, 0.99 };
	const char *scenario = s->scenario->name;
	const char *where = sites[site].name;
	uint64_t link = 0;

	for (uint32_t g = 0; g < G_N_ELEMENTS(groups); g++) {
		double *v = (double *)(void *)s->latency[g]->data;
		uint32_t n = s->latency[g]->len;

		if (g == FFL_URGENCY__MAX && !s->scenario->heavy &&
		    s->scenario != scenarios)
			continue;
		bench_print("request.goodput", n * 1000.0 / (RUN_MS - WARM_MS),
			    "1/s",
			    json_pack("{s:s,s:s,s:s,s:s}", "policy", policy,
				      "site", where, "scenario", scenario,
				      "group", groups[g]));
		bench_print("request.answered",
			    n / (double)MAX(s->offered[g < FFL_URGENCY__MAX
							       ? g
							       : FFL_NORMAL],
					    1),
			    "share",
			    json_pack("{s:s,s:s,s:s,s:s}", "policy", policy,
				      "site", where, "scenario", scenario,
				      "group", groups[g]));
		for (uint32_t q = 0; n && q < G_N_ELEMENTS(quantiles); q++)
			bench_print("request.completion",
				    bench_quantile(v, n, quantiles[q]) +
					    2 * sites[site].client_ms,
				    "ms",
				    json_pack("{s:s,s:s,s:s,s:s,s:f}", "policy",
					      policy, "site", where, "scenario",
					      scenario, "group", groups[g],
					      "quantile", quantiles[q]));
	}
	for (uint32_t i = 0; i < HOSTS; i++)
		link += s->hosts[i].link.total_out_bytes;
	bench_print("request.amplification",
		    (double)s->attempts / (double)MAX(s->first_attempts, 1),
		    "ratio",
		    json_pack("{s:s,s:s,s:s}", "policy", policy, "site", where,
			      "scenario", scenario));
	bench_print("request.link_out", (double)link * 1000 / RUN_MS, "bytes/s",
		    json_pack("{s:s,s:s,s:s}", "policy", policy, "site", where,
			      "scenario", scenario));
	bench_print("request.slot_overruns", (double)s->overruns, "attempts",
		    json_pack("{s:s,s:s,s:s}", "policy", policy, "site", where,
			      "scenario", scenario));
	bench_print("request.refused", (double)s->refused, "requests",
		    json_pack("{s:s,s:s,s:s}", "policy", policy, "site", where,
			      "scenario", scenario));
}

/* One decision: queue a request, choose the next, end a service. */
static void bench_queue(uint32_t callers)
{
	ffl_fq_item_t *items = g_new0(ffl_fq_item_t, callers);
	ffl_fairq_t q;
	uint64_t start;
	uint64_t spent;
	char name[16];

	ffl_fairq_init(&q, callers * 4);
	q.bounds.per_class = callers * 4;
	q.bounds.per_customer = callers * 4;
	q.bounds.callers = callers * 2;
	for (uint32_t i = 0; i < callers; i++) {
		g_snprintf(name, sizeof(name), "caller%u", i);
		items[i].caller = ffl_fairq_get_caller(
			&q, (ffl_urgency_t)(i % FFL_URGENCY__MAX), "c", 1, 0,
			name, 0);
		items[i].cost_ms = 1 + i % 97;
		ffl_fairq_push(&q, &items[i], &items[i], false);
	}
	start = bench_now_ns();
	for (uint32_t i = 0; i < QUEUE_ROUNDS; i++) {
		ffl_fq_item_t *item = ffl_fairq_peek(&q, UINT16_MAX);

		ffl_fairq_start_service(&q, item);
		ffl_fairq_end_service(&q, item, item->cost_ms + 1);
		ffl_fairq_push(&q, item, item, false);
	}
	spent = bench_now_ns() - start;
	bench_print("request.queue_decision", (double)spent / QUEUE_ROUNDS,
		    "ns", json_pack("{s:i}", "callers", (int)callers));
	ffl_fairq_finish(&q);
	g_free(items);
}

static void bench_memory(void)
{
	enum {
		KEYS = 50000
	};
	ffl_once_row_t row = { .state = FFL_ONCE_ANSWERED, .payload_hash = 1 };
	uint8_t answer[64] = { 0 };
	uint64_t before;
	ffl_once_t once;

	bench_print("request.memory", sizeof(ffl_req_t), "bytes",
		    json_pack("{s:s}", "of", "queued request"));
	bench_print("request.memory", sizeof(ffl_fq_node_t), "bytes",
		    json_pack("{s:s}", "of", "caller"));
	ffl_once_init(&once, 1);
	row.answer.data = answer;
	row.answer.size_bytes = sizeof(answer);
	before = bench_heap_bytes();
	for (uint32_t i = 0; i < KEYS; i++) {
		row.key_a = ffl_mix(i, 1);
		row.key_b = i;
		ffl_once_record_outcome(&once, &row, 1);
	}
	bench_print("request.memory",
		    (double)(bench_heap_bytes() - before) / KEYS, "bytes",
		    json_pack("{s:s,s:i}", "of", "stored key", "answer_bytes",
			      (int)sizeof(answer)));
	ffl_once_finish(&once);
}

int main(void)
{
	sim_t *s = g_new(sim_t, 1);

	for (uint32_t site = 0; site < G_N_ELEMENTS(sites); site++) {
		for (uint32_t i = 0; i < G_N_ELEMENTS(scenarios); i++) {
			for (uint32_t p = 0; p < G_N_ELEMENTS(policies); p++) {
				sim_init(s, site, &scenarios[i], policies[p]);
				simulate(s, site);
				report(s, site, policies[p]->name);
				sim_finish(s);
			}
		}
	}
	g_free(s);
	for (uint32_t n = 10; n <= 100000; n *= 10)
		bench_queue(n);
	bench_memory();
	return 0;
}
