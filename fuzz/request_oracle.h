/**
 * @file request_oracle.h
 * @brief The promises to callers, checked over a world's runs and answers.
 *
 * Knows only what was sent, what ran on the upstreams and what callers were
 * told; used by the fuzzers of requests and of keys.
 */
#ifndef FFL_REQUEST_ORACLE_H
#define FFL_REQUEST_ORACLE_H

#include <string.h>

#include "fakes/world.h"

#define ORACLE_SLOTS	   8
#define ORACLE_ANSWER_MS   13500 /* deadline, slowest attempt, margin */
#define ORACLE_LEAVING_MS  2000
#define ORACLE_WINDOW_RUNS 512

typedef struct {
	uint64_t id;
	uint32_t host;
	uint64_t life;
	uint64_t sent_ms;
	uint32_t runs;
	bool answered;
	bool refused; /* as certainly not run */
} oracle_req_t;

typedef struct {
	GArray *reqs;			    /* of oracle_req_t, by id */
	GArray *ends;			    /* end of each run, in ms */
	GHashTable *keys;		    /* runs of each key */
	guint answers;			    /* looked at so far */
	uint64_t pause_ms[WORLD_HOSTS_MAX]; /* end of the last pause */
	bool stopping[WORLD_HOSTS_MAX];	    /* a planned stop was asked for */
	uint64_t leaving_ms[WORLD_WORKERS_MAX + WORLD_UPSTREAMS_MAX];
} oracle_t;

static inline void oracle_init(oracle_t *o)
{
	memset(o, 0, sizeof(*o));
	o->reqs = g_array_new(FALSE, TRUE, sizeof(oracle_req_t));
	o->ends = g_array_new(FALSE, TRUE, sizeof(uint64_t));
	o->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

static inline void oracle_finish(oracle_t *o)
{
	g_hash_table_destroy(o->keys);
	g_array_free(o->ends, TRUE);
	g_array_free(o->reqs, TRUE);
}

static inline void oracle_sent(oracle_t *o, const world_t *w, uint32_t host,
			       uint64_t id)
{
	oracle_req_t req = { .id = id,
			     .host = host,
			     .life = w->hosts[host].incarnation,
			     .sent_ms = w->now_ms };

	g_array_append_val(o->reqs, req);
}

static inline oracle_req_t *oracle_find(const oracle_t *o, uint64_t id)
{
	for (guint i = o->reqs->len; i-- > 0;) {
		oracle_req_t *r = &g_array_index(o->reqs, oracle_req_t, i);

		if (r->id == id)
			return r;
	}
	return NULL;
}

/* Runs on the same instance that had not ended when this one began. */
static inline uint32_t oracle_overlap(const oracle_t *o, const world_t *w,
				      guint run)
{
	const world_run_t *r = &g_array_index(w->runs, world_run_t, run);
	guint from = run > ORACLE_WINDOW_RUNS ? run - ORACLE_WINDOW_RUNS : 0;
	uint32_t n = 1;

	for (guint i = from; i < run; i++) {
		const world_run_t *x = &g_array_index(w->runs, world_run_t, i);

		if (x->upstream == r->upstream &&
		    g_array_index(o->ends, uint64_t, i) > r->at_ms)
			n++;
	}
	return n;
}

static inline const char *oracle_run(oracle_t *o, const world_t *w, guint run)
{
	const world_run_t *r = &g_array_index(w->runs, world_run_t, run);
	uint64_t leaving_ms = o->leaving_ms[r->upstream];
	uint64_t end_ms = r->at_ms + w->upstream_ms;
	oracle_req_t *req = oracle_find(o, r->id);
	gpointer runs = g_hash_table_lookup(o->keys, r->key);

	g_array_append_val(o->ends, end_ms);
	if (!req)
		return "a request ran that nobody sent";
	if (++req->runs > 1)
		return "a request that may not be repeated ran twice";
	if (req->refused)
		return "a request ran after the word that it did not run";
	if (oracle_overlap(o, w, run) > ORACLE_SLOTS)
		return "the slots of an upstream were exceeded";
	if (leaving_ms && r->at_ms > leaving_ms + ORACLE_LEAVING_MS)
		return "a leaving upstream received new work";
	if (!r->key[0])
		return NULL;
	if (runs)
		return "a key ran twice";
	g_hash_table_insert(o->keys, g_strdup(r->key), GUINT_TO_POINTER(1));
	return NULL;
}

static inline const char *oracle_answer(oracle_t *o, const world_answer_t *a)
{
	oracle_req_t *req = oracle_find(o, a->id);

	if (!req)
		return NULL;
	if (req->answered)
		return "a request was answered twice";
	req->answered = true;
	if (a->finished && req->runs != 1)
		return "an answer was relayed for what did not run";
	if (!a->body || !strstr(a->body, "\"ran\":\"no\""))
		return NULL;
	req->refused = true;
	return req->runs ? "a refusal says that what ran did not run" : NULL;
}

/* Every request of a host that lives is answered in time. */
static inline const char *oracle_late(const oracle_t *o, const world_t *w)
{
	for (guint i = 0; i < o->reqs->len; i++) {
		const oracle_req_t *r =
			&g_array_index(o->reqs, oracle_req_t, i);
		const world_host_t *h = &w->hosts[r->host];

		if (r->answered || h->incarnation != r->life)
			continue;
		if (h->exited)
			return "a planned stop cut a request short";
		if (w->now_ms >
		    MAX(r->sent_ms, o->pause_ms[r->host]) + ORACLE_ANSWER_MS)
			return "a request waited past its deadline";
	}
	return NULL;
}

/* Looks at what happened since the last call; NULL or a broken promise. */
static inline const char *oracle_check(oracle_t *o, const world_t *w)
{
	const char *fault = NULL;

	while (!fault && o->ends->len < w->runs->len)
		fault = oracle_run(o, w, o->ends->len);
	while (!fault && o->answers < w->answers->len)
		fault = oracle_answer(
			o, g_ptr_array_index(w->answers, o->answers++));
	return fault ? fault : oracle_late(o, w);
}

#endif
