#include <string.h>
#include <sodium.h>

#include "lib/request/once_int.h"

/** Added to the retention, so that clock drift does not shorten it. */
#define RETENTION_MARGIN_MS (FFL_ONCE_RETENTION_MS / 10)
/** Added to the timeout of a granted run. */
#define RUN_MARGIN_MS 1000
/** Age up to which proof of the view counts. */
#define PROOF_MAX_AGE_MS 5000
/** Longest log outage during which keys are still granted. */
#define OUTAGE_MS	 3600000
#define KEYS_MAX	 200000
#define ANSWER_BYTES_MAX (32U << 20)

static guint entry_hash(gconstpointer p);
static gboolean entry_equal(gconstpointer a, gconstpointer b);
static void entry_free(gpointer p);
static void drop_answer(ffl_once_t *o, ffl_once_entry_t *e);
static void store_answer(ffl_once_t *o, ffl_once_entry_t *e,
			 const ffl_once_row_t *row);
static void remove_entry(ffl_once_t *o, ffl_once_entry_t *e);
static ffl_once_entry_t *add_entry(ffl_once_t *o, ffl_key_id_t id,
				   uint64_t payload_hash);
static ffl_once_verdict_t entry_verdict(const ffl_once_entry_t *e,
					uint64_t origin,
					const ffl_once_ask_t *ask,
					uint64_t now_ms);

static const ffl_once_verdict_t verdicts[FFL_ONCE_STATE__MAX] = {
	[FFL_ONCE_FREE] = FFL_ONCE_VERDICT_UNKNOWN,
	[FFL_ONCE_RUNNING] = FFL_ONCE_VERDICT_RUNNING,
	[FFL_ONCE_UNKNOWN] = FFL_ONCE_VERDICT_UNKNOWN,
	[FFL_ONCE_DONE] = FFL_ONCE_VERDICT_DONE,
	[FFL_ONCE_ANSWERED] = FFL_ONCE_VERDICT_ANSWER,
};

void ffl_once_init(ffl_once_t *o, uint64_t self)
{
	static const ffl_ownership_times_t times = {
		.proof_max_age_ms = PROOF_MAX_AGE_MS,
		.grace_ms = FFL_ONCE_RETENTION_MS + RETENTION_MARGIN_MS,
		.max_outage_ms = OUTAGE_MS,
		.minority_grace_ms = OUTAGE_MS,
	};

	memset(o, 0, sizeof(*o));
	ffl_ownership_init(&o->ownership, self, &times);
	o->bounds.keys = KEYS_MAX;
	o->bounds.answer_bytes = ANSWER_BYTES_MAX;
	o->entries = g_hash_table_new_full(entry_hash, entry_equal, entry_free,
					   NULL);
	g_queue_init(&o->by_cursor);
	o->peers = g_array_new(FALSE, TRUE, sizeof(ffl_once_progress_t));
}

void ffl_once_finish(ffl_once_t *o)
{
	g_array_free(o->peers, TRUE);
	g_hash_table_destroy(o->entries);
	ffl_ownership_finish(&o->ownership);
}

static guint entry_hash(gconstpointer p)
{
	return (guint)((const ffl_once_entry_t *)p)->id.a;
}

static gboolean entry_equal(gconstpointer pa, gconstpointer pb)
{
	const ffl_once_entry_t *a = pa;
	const ffl_once_entry_t *b = pb;

	return a->id.a == b->id.a && a->id.b == b->id.b;
}

static void entry_free(gpointer p)
{
	ffl_once_entry_t *e = p;

	g_free(e->content_type);
	g_free(e->answer);
	g_free(e);
}

ffl_key_id_t ffl_once_key_id(const char *customer, const char *key)
{
	unsigned char hash[sizeof(ffl_key_id_t)];
	crypto_generichash_state state;
	ffl_key_id_t id;

	crypto_generichash_init(&state, NULL, 0, sizeof(hash));
	crypto_generichash_update(&state, (const unsigned char *)customer,
				  strlen(customer) + 1);
	crypto_generichash_update(&state, (const unsigned char *)key,
				  strlen(key));
	crypto_generichash_final(&state, hash, sizeof(hash));
	memcpy(&id, hash, sizeof(id));
	return id;
}

uint64_t ffl_once_owner(const ffl_once_t *o, ffl_key_id_t id)
{
	return ffl_view_owner(&o->ownership.view, id.a, id.b);
}

ffl_once_entry_t *ffl_once_find(const ffl_once_t *o, ffl_key_id_t id)
{
	ffl_once_entry_t probe = { .id = id };

	return g_hash_table_lookup(o->entries, &probe);
}

ffl_once_state_t ffl_once_current_state(const ffl_once_entry_t *e,
					uint64_t now_ms)
{
	if (e->state == FFL_ONCE_RUNNING && now_ms >= e->run_until_ms)
		return FFL_ONCE_UNKNOWN;
	return e->state;
}

static void drop_answer(ffl_once_t *o, ffl_once_entry_t *e)
{
	o->answer_bytes -= e->answer_bytes;
	g_free(e->answer);
	g_free(e->content_type);
	e->answer = NULL;
	e->content_type = NULL;
	e->answer_bytes = 0;
	if (e->state == FFL_ONCE_ANSWERED)
		e->state = FFL_ONCE_DONE;
}

static void remove_entry(ffl_once_t *o, ffl_once_entry_t *e)
{
	drop_answer(o, e);
	g_queue_unlink(&o->by_cursor, &e->link);
	g_hash_table_remove(o->entries, e);
}

static ffl_once_entry_t *add_entry(ffl_once_t *o, ffl_key_id_t id,
				   uint64_t payload_hash)
{
	ffl_once_entry_t *e = g_new0(ffl_once_entry_t, 1);

	e->id = id;
	e->payload_hash = payload_hash;
	e->cursor = ++o->next_cursor;
	e->link.data = e;
	g_queue_push_tail_link(&o->by_cursor, &e->link);
	g_hash_table_add(o->entries, e);
	return e;
}

/* Drops the oldest answers to make room, but keeps their keys. */
static void store_answer(ffl_once_t *o, ffl_once_entry_t *e,
			 const ffl_once_row_t *row)
{
	uint64_t size = row->answer.size_bytes;

	for (GList *l = o->by_cursor.head;
	     l && o->answer_bytes + size > o->bounds.answer_bytes; l = l->next)
		drop_answer(o, l->data);
	if (o->answer_bytes + size > o->bounds.answer_bytes) {
		e->state = FFL_ONCE_DONE;
		return;
	}
	e->http_status = row->http_status;
	e->content_type = g_strdup(row->content_type);
	e->answer = g_memdup2(row->answer.data, size);
	e->answer_bytes = (uint32_t)size;
	o->answer_bytes += size;
}

void ffl_once_merge(ffl_once_t *o, const ffl_once_row_t *row, uint64_t now_ms)
{
	ffl_key_id_t id = { row->key_a, row->key_b };
	ffl_once_entry_t *e = ffl_once_find(o, id);
	ffl_once_state_t state = (ffl_once_state_t)row->state;
	uint64_t age_ms = MIN(row->age_ms, now_ms);

	if (state <= FFL_ONCE_FREE || state >= FFL_ONCE_STATE__MAX)
		return;
	if (!e) {
		e = add_entry(o, id, row->payload_hash);
		e->state = FFL_ONCE_RUNNING;
		e->origin = row->origin;
		e->request = row->request;
		e->seen_ms = now_ms - age_ms;
		e->run_until_ms = now_ms + row->run_left_ms;
	}
	if (state <= e->state)
		return;
	e->state = state;
	if (state == FFL_ONCE_ANSWERED)
		store_answer(o, e, row);
}

static ffl_once_verdict_t entry_verdict(const ffl_once_entry_t *e,
					uint64_t origin,
					const ffl_once_ask_t *ask,
					uint64_t now_ms)
{
	ffl_once_state_t state = ffl_once_current_state(e, now_ms);

	if (e->payload_hash != ask->payload_hash)
		return FFL_ONCE_VERDICT_MISMATCH;
	if (state == FFL_ONCE_RUNNING && e->origin == origin &&
	    e->request == ask->request)
		return FFL_ONCE_VERDICT_RUN;
	return verdicts[state];
}

ffl_once_verdict_t ffl_once_decide(ffl_once_t *o, uint64_t origin,
				   const ffl_once_ask_t *ask, uint64_t now_ms,
				   const ffl_once_entry_t **entry)
{
	ffl_key_id_t id = { ask->key_a, ask->key_b };
	ffl_once_entry_t *e = ffl_once_find(o, id);

	if (e) {
		*entry = e;
		return entry_verdict(e, origin, ask, now_ms);
	}
	if (o->handing_over || ask->view != o->ownership.view.hash ||
	    ffl_once_owner(o, id) != o->ownership.self ||
	    !ffl_ownership_valid(&o->ownership, now_ms))
		return FFL_ONCE_VERDICT_WAIT;
	if (!o->ownership.acquired)
		return now_ms - o->ownership.adopted_ms < PROOF_MAX_AGE_MS
			       ? FFL_ONCE_VERDICT_WAIT
			       : FFL_ONCE_VERDICT_UNKNOWN;
	if (g_hash_table_size(o->entries) >= o->bounds.keys)
		return FFL_ONCE_VERDICT_FULL;
	e = add_entry(o, id, ask->payload_hash);
	e->state = FFL_ONCE_RUNNING;
	e->origin = origin;
	e->request = ask->request;
	e->seen_ms = now_ms;
	e->run_until_ms = now_ms + ask->timeout_ms + RUN_MARGIN_MS;
	return FFL_ONCE_VERDICT_RUN;
}

void ffl_once_record_outcome(ffl_once_t *o, const ffl_once_row_t *row,
			     uint64_t now_ms)
{
	ffl_key_id_t id = { row->key_a, row->key_b };
	ffl_once_entry_t *e = ffl_once_find(o, id);

	if (row->state != FFL_ONCE_FREE) {
		ffl_once_merge(o, row, now_ms);
		return;
	}
	if (e && e->state == FFL_ONCE_RUNNING && e->origin == row->origin &&
	    e->request == row->request)
		remove_entry(o, e);
}

void ffl_once_expire(ffl_once_t *o, uint64_t now_ms)
{
	uint64_t keep_ms = FFL_ONCE_RETENTION_MS + RETENTION_MARGIN_MS;

	while (o->by_cursor.head) {
		ffl_once_entry_t *e = o->by_cursor.head->data;

		if (now_ms - e->seen_ms <= keep_ms || now_ms < e->run_until_ms)
			return;
		remove_entry(o, e);
	}
}

uint32_t ffl_once_count(const ffl_once_t *o)
{
	return g_hash_table_size(o->entries);
}
