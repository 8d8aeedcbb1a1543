#include <string.h>

#include "fuzz/config_oracle.h"
#include "lib/config/config_int.h"

static void free_value(gpointer p);
static json_int_t number(const json_t *json, const char *key);
static void learn_plans(oracle_t *o, const world_t *w);
static void watch_trail(oracle_t *o, const ffl_config_t *cfg);
static void watch_host(oracle_t *o, const world_t *w, uint32_t i);
static void check_answers(oracle_t *o, const world_t *w);
static bool in_trail(const oracle_t *o, uint64_t plan, uint64_t *revision);
static void check_cause(oracle_t *o, guint at);
static void check_plans(oracle_t *o, const ffl_config_t *cfg);
static char *object_key(const ffl_intent_t *in);
static char *object_value(const ffl_intent_t *in, const char *old);
static GHashTable *replay(const oracle_t *o);
static void check_config(oracle_t *o, const ffl_config_t *cfg);

void oracle_init(oracle_t *o)
{
	memset(o, 0, sizeof(*o));
	o->intents = g_array_new(FALSE, TRUE, sizeof(uint64_t));
	o->shown = g_array_new(FALSE, TRUE, sizeof(shown_t));
	o->sent = g_array_new(FALSE, TRUE, sizeof(sent_t));
	o->trail = g_array_new(FALSE, TRUE, sizeof(shown_t));
	o->log = g_ptr_array_new_with_free_func(g_free);
	o->hashes = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					  g_free);
}

void oracle_finish(oracle_t *o)
{
	g_array_free(o->intents, TRUE);
	g_array_free(o->shown, TRUE);
	g_array_free(o->sent, TRUE);
	g_array_free(o->trail, TRUE);
	g_ptr_array_free(o->log, TRUE);
	g_hash_table_destroy(o->hashes);
}

static json_int_t number(const json_t *json, const char *key)
{
	return json_integer_value(json_object_get(json, key));
}

void oracle_intent(oracle_t *o, world_t *w, uint32_t host, const char *body)
{
	uint64_t id = world_command(w, host, FFL_CMD_INTENT, WORLD_OPERATOR, "",
				    body);

	g_array_append_val(o->intents, id);
}

static void learn_plans(oracle_t *o, const world_t *w)
{
	for (guint i = o->intents->len; i-- > 0;) {
		const world_answer_t *a =
			world_answer(w, g_array_index(o->intents, uint64_t, i));
		json_t *json;
		shown_t s;

		if (!a)
			continue;
		g_array_remove_index(o->intents, i);
		json = a->http_status == 201 ? json_loads(a->body, 0, NULL)
					     : NULL;
		if (!json)
			continue;
		s.plan = (uint64_t)number(json, "plan");
		s.revision = (uint64_t)number(json, "revision");
		s.blast_radius = (uint32_t)number(json, "blast_radius");
		g_array_append_val(o->shown, s);
		json_decref(json);
	}
}

void oracle_confirm(oracle_t *o, world_t *w, uint32_t host, uint32_t pick,
		    bool repeat)
{
	char arg[32];
	char body[128];
	uint64_t unreadable =
		pick & 1 ? w->hosts[host].host.config.unreadable : 0;
	const shown_t *s;
	sent_t sent;

	if (!o->shown->len)
		return;
	pick %= o->shown->len < 4 ? o->shown->len : 4;
	s = &g_array_index(o->shown, shown_t, o->shown->len - 1 - pick);
	g_snprintf(arg, sizeof(arg), "%" G_GUINT64_FORMAT, s->plan);
	g_snprintf(body, sizeof(body),
		   "{\"revision\":%" G_GUINT64_FORMAT ",\"blast_radius\":%u,"
		   "\"unreadable\":%" G_GUINT64_FORMAT "}",
		   s->revision, s->blast_radius, unreadable);
	sent.revision = s->revision;
	sent.unreadable = unreadable;
	for (uint32_t i = 0; i < (repeat ? 2 : 1); i++) {
		sent.plan = s->plan;
		sent.id = world_command(w, (host + i) % w->host_count,
					FFL_CMD_CONFIRM, WORLD_OPERATOR, arg,
					body);
		g_array_append_val(o->sent, sent);
	}
}

void oracle_read(oracle_t *o, world_t *w, uint32_t host)
{
	o->reads[host] =
		world_command(w, host, FFL_CMD_CONFIG, WORLD_OPERATOR, "", "");
}

/* Every host's trail is part of one trail that only grows. */
static void watch_trail(oracle_t *o, const ffl_config_t *cfg)
{
	for (guint i = 0; i < cfg->audit->len; i++) {
		const ffl_audit_t *a = g_ptr_array_index(cfg->audit, i);
		shown_t s = { .plan = a->plan, .revision = a->revision };
		uint64_t other;
		const shown_t *have;

		if (i < o->trail->len) {
			have = &g_array_index(o->trail, shown_t, i);
			if (have->plan != s.plan ||
			    have->revision != s.revision)
				o->fault = "hosts hold different histories";
			continue;
		}
		if (in_trail(o, s.plan, &other))
			o->fault = "a plan took effect twice";
		g_array_append_val(o->trail, s);
		g_ptr_array_add(o->log, g_memdup2(a, sizeof(*a)));
	}
}

static void watch_host(oracle_t *o, const world_t *w, uint32_t i)
{
	const world_host_t *wh = &w->hosts[i];
	const ffl_host_t *h = &wh->host;
	uint64_t at = h->logc.next_offset;
	uint64_t hash;
	uint64_t *known;

	if (o->life[i] != wh->incarnation) {
		o->life[i] = wh->incarnation;
		o->revision[i] = 0;
		o->offset[i] = 0;
	}
	if (h->config.revision < o->revision[i])
		o->fault = "a host's revision went back";
	o->revision[i] = h->config.revision;
	if (at == o->offset[i] || ffl_host_restoring(h))
		return;
	o->offset[i] = at;
	watch_trail(o, &h->config);
	check_plans(o, &h->config);
	hash = ffl_host_state_hash(h);
	known = g_hash_table_lookup(o->hashes, &at);
	if (known && *known != hash)
		o->fault = "hosts that read the same records differ";
	if (!known)
		g_hash_table_insert(o->hashes, g_memdup2(&at, sizeof(at)),
				    g_memdup2(&hash, sizeof(hash)));
}

void oracle_watch(oracle_t *o, world_t *w)
{
	learn_plans(o, w);
	for (uint32_t i = 0; i < w->host_count; i++) {
		const world_answer_t *a =
			o->reads[i] ? world_answer(w, o->reads[i]) : NULL;
		json_t *json;

		watch_host(o, w, i);
		if (!a)
			continue;
		o->reads[i] = 0;
		json = json_loads(a->body, 0, NULL);
		if (a->http_status == 200 &&
		    (uint64_t)number(json, "revision") >
			    w->hosts[i].host.config.revision)
			o->fault = "an answer shows a revision never reached";
		json_decref(json);
	}
}

static bool in_trail(const oracle_t *o, uint64_t plan, uint64_t *revision)
{
	for (guint i = 0; i < o->trail->len; i++) {
		const shown_t *s = &g_array_index(o->trail, shown_t, i);

		if (s->plan != plan)
			continue;
		*revision = s->revision;
		return true;
	}
	return false;
}

/* 200 is in force; a refusal that says "did not run" is true where the plan
 * was not confirmed by anything else. */
static void check_answers(oracle_t *o, const world_t *w)
{
	for (guint i = 0; i < o->sent->len; i++) {
		const sent_t *s = &g_array_index(o->sent, sent_t, i);
		const world_answer_t *a = world_answer(w, s->id);
		uint64_t revision = 0;
		bool known = in_trail(o, s->plan, &revision);
		uint32_t others = 0;
		json_t *json;

		if (!a)
			continue;
		json = json_loads(a->body, 0, NULL);
		for (guint j = 0; j < o->sent->len; j++)
			others += j != i &&
				  g_array_index(o->sent, sent_t, j).plan ==
					  s->plan;
		if (a->http_status == 200 &&
		    (!known || revision != (uint64_t)number(json, "revision")))
			o->fault = "confirmed to the operator, not in force";
		if (a->http_status == 404 && known)
			o->fault = "a plan in force is called unknown";
		if (a->http_status != 200 && known && !others &&
		    g_strcmp0(json_string_value(json_object_get(json, "ran")),
			      "no") == 0)
			o->fault = "refused to the operator, yet in force";
		json_decref(json);
	}
}

/* A plan takes effect only by a confirmation of an operator, on the state
 * that it was shown on. */
static void check_cause(oracle_t *o, guint at)
{
	const ffl_audit_t *a = g_ptr_array_index(o->log, at);
	bool caused = false;

	for (guint i = 0; i < o->sent->len && !caused; i++) {
		const sent_t *s = &g_array_index(o->sent, sent_t, i);
		bool fresh = s->plan == a->plan;

		for (guint j = 0; fresh && j < at; j++) {
			const ffl_audit_t *b = g_ptr_array_index(o->log, j);

			fresh = b->revision <= s->revision ||
				!ffl_image_same_object(&a->before, &b->before);
		}
		caused = fresh && (s->unreadable >= o->unreadable ||
				   a->revision < o->unreadable);
	}
	for (guint j = 0; a->intent.kind == FFL_INTENT_WITHDRAW && j < at;
	     j++) {
		const ffl_audit_t *b = g_ptr_array_index(o->log, j);

		if (b->revision > a->intent.revision &&
		    ffl_image_same_object(&a->before, &b->before))
			o->fault = "a superseded change was withdrawn";
	}
	if (!caused)
		o->fault = "a change that nobody confirmed on this state";
}

/* Looks at the newest plan only; it is called whenever a host moved. */
static void check_plans(oracle_t *o, const ffl_config_t *cfg)
{
	const ffl_pending_t *p;

	if (!cfg->pending->len)
		return;
	p = g_ptr_array_index(cfg->pending, cfg->pending->len - 1);
	for (guint i = 0; i + 1 < cfg->pending->len; i++) {
		const ffl_pending_t *q = g_ptr_array_index(cfg->pending, i);

		if (p->writer == q->writer && p->seq == q->seq)
			o->fault = "one intent gave two plans";
	}
}

/* The object that an intent or an image is about. */
static char *object_key(const ffl_intent_t *in)
{
	switch (in->kind) {
	case FFL_INTENT_GUARANTEE:
		return g_strdup_printf("g %s", in->name);
	case FFL_INTENT_ORDER:
		return g_strdup("order");
	case FFL_INTENT_DRAIN:
	case FFL_INTENT_UNDRAIN:
		return g_strdup_printf("d %s", in->name);
	default:
		return g_strdup_printf("c %s", in->name);
	}
}

static char *object_value(const ffl_intent_t *in, const char *old)
{
	uint32_t weight = 0;
	uint32_t rate = 0;

	if (old[0] == 'w')
		sscanf(old, "w%u r%u", &weight, &rate);
	switch (in->kind) {
	case FFL_INTENT_GUARANTEE:
		return in->count ? g_strdup_printf("n%u", in->count)
				 : g_strdup("");
	case FFL_INTENT_ORDER:
		return g_strdup(in->order);
	case FFL_INTENT_DRAIN:
		return g_strdup("drained");
	case FFL_INTENT_UNDRAIN:
		return g_strdup("");
	case FFL_INTENT_LIMIT:
		return g_strdup_printf("w%u r%u", weight, in->rate_per_s);
	default:
		return in->remove
			       ? g_strdup("")
			       : g_strdup_printf("w%u r%u", in->weight, rate);
	}
}

static void free_value(gpointer p)
{
	g_queue_free_full(p, g_free);
}

/* Replays what was confirmed on a map of objects: a stack of values each,
 * from which a withdrawal takes back the value before. */
static GHashTable *replay(const oracle_t *o)
{
	GHashTable *map = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						free_value);

	for (guint i = 0; i < o->log->len; i++) {
		const ffl_audit_t *a = g_ptr_array_index(o->log, i);
		bool withdraw = a->intent.kind == FFL_INTENT_WITHDRAW;
		const ffl_audit_t *undone = a;
		GQueue *values;
		char *key;

		for (guint j = 0; withdraw && j < i; j++) {
			const ffl_audit_t *b = g_ptr_array_index(o->log, j);

			if (b->revision == undone->intent.revision) {
				undone = b;
				j = (guint)-1;
				if (b->intent.kind != FFL_INTENT_WITHDRAW)
					break;
			}
		}
		key = object_key(&undone->intent);
		values = g_hash_table_lookup(map, key);
		if (!values) {
			values = g_queue_new();
			g_queue_push_tail(values, g_strdup(""));
			g_hash_table_insert(map, g_strdup(key), values);
		}
		g_queue_push_tail(
			values,
			withdraw ? g_strdup(g_queue_peek_nth(
					   values, values->length - 2))
				 : object_value(&a->intent,
						g_queue_peek_tail(values)));
		g_free(key);
	}
	return map;
}

static void check_config(oracle_t *o, const ffl_config_t *cfg)
{
	GHashTable *map = replay(o);
	GHashTableIter it;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&it, map);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		const char *name = (const char *)key + 2;
		char *have = g_strdup("");
		const ffl_customer_t *c = ffl_config_customer(cfg, name);
		ffl_intent_t shape = { .kind = FFL_INTENT_GUARANTEE,
				       .accelerators = 4,
				       .dc = "altiplano-1" };
		const ffl_guarantee_t *g;

		ffl_copy(shape.name, sizeof(shape.name), name);
		g = ffl_config_guarantee(cfg, &shape);
		g_free(have);
		if (*(const char *)key == 'o')
			have = g_strdup(cfg->order);
		else if (*(const char *)key == 'd')
			have = g_strdup(ffl_config_host_drained(cfg, name)
						? "drained"
						: "");
		else if (*(const char *)key == 'g')
			have = g ? g_strdup_printf("n%u", g->count)
				 : g_strdup("");
		else
			have = c ? g_strdup_printf("w%u r%u", c->weight,
						   c->rate_per_s)
				 : g_strdup("");
		if (strcmp(have, g_queue_peek_tail(value)) != 0)
			o->fault = "an object is not as it was confirmed";
		g_free(have);
	}
	g_hash_table_destroy(map);
}

bool oracle_read_all(const world_t *w)
{
	for (uint32_t i = 0; i < w->host_count; i++) {
		const ffl_host_t *h = &w->hosts[i].host;

		if (h->logc.next_offset != fake_log_end(&w->log) ||
		    ffl_host_restoring(h))
			return false;
	}
	return true;
}

void oracle_end(oracle_t *o, world_t *w)
{
	for (uint32_t i = 0; i < w->host_count; i++) {
		const ffl_host_t *h = &w->hosts[i].host;

		if (h->logc.next_offset != fake_log_end(&w->log) ||
		    ffl_host_restoring(h))
			o->fault = "a host has not read the whole log";
		else if (h->config.audit->len != o->trail->len)
			o->fault = "a confirmed change is lost";
		else if (!ffl_config_verify_audit(&h->config))
			o->fault = "the chain of the trail is broken";
		else
			check_config(o, &h->config);
	}
	for (guint i = 0; i < o->log->len; i++)
		check_cause(o, i);
	check_answers(o, w);
}
