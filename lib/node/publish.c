#include <string.h>

#include "lib/node/node_int.h"

/** States that change within this time share an append: under half of the age
 * that the answer to a look may have. */
#define GATHER_MS 25
/** Records of one append; a new leader may have many to write. */
#define RECORDS_MAX 256

static ffl_node_act_t *states_append(ffl_node_t *n);
static void add_states(ffl_node_t *n, GPtrArray *writes);
static void add_drops(ffl_node_t *n, GPtrArray *writes);
static void mark_published(ffl_node_t *n);
static void take_state(ffl_node_t *n, const ffl_store_record_t *rec);

void ffl_publish_init(ffl_node_t *n)
{
	n->lead.publish.dropped_ids = g_ptr_array_new_with_free_func(g_free);
}

void ffl_publish_finish(ffl_node_t *n)
{
	g_ptr_array_free(n->lead.publish.dropped_ids, TRUE);
	if (n->lead.publish.writes)
		g_ptr_array_unref(n->lead.publish.writes);
}

static ffl_node_act_t *states_append(ffl_node_t *n)
{
	return ffl_node_append(n, FFL_TOPIC_STATES, APPEND_TIMEOUT_MS);
}

/* A state is published once its progress is on the log. */
static void add_states(ffl_node_t *n, GPtrArray *writes)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, n->flows.by_id);
	while (writes->len < RECORDS_MAX &&
	       g_hash_table_iter_next(&iter, NULL, &value)) {
		const ffl_flow_t *flow = value;
		ffl_write_t *w;
		guint8 state = (guint8)flow->visible_state;

		if (flow->visible_state == flow->published_state)
			continue;
		w = ffl_write_new(KEY_STATE, flow->spec.id);
		g_byte_array_append(w->value, &state, sizeof(state));
		g_ptr_array_add(writes, w);
	}
}

static void add_drops(ffl_node_t *n, GPtrArray *writes)
{
	GPtrArray *drops = n->lead.publish.dropped_ids;

	while (drops->len && writes->len < RECORDS_MAX) {
		const char *id = g_ptr_array_index(drops, drops->len - 1);

		g_ptr_array_add(writes, ffl_write_new(KEY_STATE, id));
		g_ptr_array_set_size(drops, (gint)drops->len - 1);
	}
}

void ffl_publish_drive(ffl_node_t *n)
{
	ffl_publish_t *p = &n->lead.publish;
	GPtrArray *writes;

	if (!n->lead.leading || p->call || n->now_ms - p->sent_ms < GATHER_MS)
		return;
	writes = g_ptr_array_new_with_free_func(ffl_write_free);
	g_ptr_array_add(writes, ffl_lead_write(n, n->lead.token, false));
	add_states(n, writes);
	add_drops(n, writes);
	if (writes->len > 1 || n->now_ms - p->sent_ms >= FFL_LEAD_BEAT_MS) {
		ffl_node_act_t *act = states_append(n);

		g_ptr_array_unref(act->store.writes);
		act->store.writes = writes;
		p->writes = g_ptr_array_ref(writes);
		p->call = act->store.call;
		p->sent_ms = n->now_ms;
		return;
	}
	g_ptr_array_unref(writes);
}

static void mark_published(ffl_node_t *n)
{
	const GPtrArray *writes = n->lead.publish.writes;

	for (guint i = 0; i < writes->len; i++) {
		const ffl_write_t *w = g_ptr_array_index(writes, i);

		if (w->key[0] == KEY_STATE && w->value->len)
			ffl_flows_apply_state(
				&n->flows, w->key + 1,
				(ffl_flow_state_t)w->value->data[0]);
	}
}

/* What was not written is found again: its state differs still. */
bool ffl_publish_take(ffl_node_t *n, const ffl_store_reply_t *reply)
{
	ffl_publish_t *p = &n->lead.publish;

	if (!p->call || reply->call != p->call)
		return false;
	p->call = 0;
	if (reply->outcome == FFL_STORE_OK)
		mark_published(n);
	g_clear_pointer(&p->writes, g_ptr_array_unref);
	return true;
}

static void take_state(ffl_node_t *n, const ffl_store_record_t *rec)
{
	const char *id = rec->key + 1;
	uint8_t state;

	if (!rec->value.size_bytes) {
		g_hash_table_remove(n->flows.early_states, id);
		return;
	}
	state = rec->value.data[0];
	if (state >= FFL_FLOW__MAX) {
		ffl_node_note(n, "state-unreadable", rec->key,
			      "offset=%" PRIu64, rec->offset);
		return;
	}
	ffl_flows_apply_state(&n->flows, id, (ffl_flow_state_t)state);
	ffl_publish_settle(n, ffl_flows_find(&n->flows, id));
}

void ffl_publish_settle(ffl_node_t *n, ffl_flow_t *flow)
{
	if (flow && !n->lead.leading && !n->lead.loading &&
	    ffl_flow_state_is_final(flow->published_state))
		ffl_flows_close(&n->flows, flow);
}

/* States are written of jobs that are known: what was read of the jobs since
 * the newest state has every job that has one. */
void ffl_publish_drop_orphans(ffl_node_t *n)
{
	GHashTableIter iter;
	gpointer id;

	if (n->tails[FFL_TOPIC_JOBS].caught_up_ms <=
	    n->tails[FFL_TOPIC_STATES].last_record_ms)
		return;
	g_hash_table_iter_init(&iter, n->flows.early_states);
	while (g_hash_table_iter_next(&iter, &id, NULL))
		ffl_publish_drop(n, id);
	g_hash_table_remove_all(n->flows.early_states);
}

void ffl_publish_record(ffl_node_t *n, const ffl_store_record_t *rec)
{
	ffl_lead_record_t r;

	if (rec->key[0] == KEY_STATE) {
		take_state(n, rec);
		return;
	}
	if (!ffl_lead_decode(rec->value, &r))
		return;
	if (strcmp(rec->key, KEY_LEAD) == 0)
		ffl_lead_seen(n, &r, true);
	else if (strcmp(rec->key, KEY_WANT) == 0)
		ffl_lead_wanted(n, r.size_milli);
}

/* Where this is lost, the leader's silence tells the same. */
void ffl_publish_resign(ffl_node_t *n, uint64_t token)
{
	g_ptr_array_add(states_append(n)->store.writes,
			ffl_lead_write(n, token, true));
}

void ffl_publish_want(ffl_node_t *n)
{
	ffl_write_t *w = ffl_lead_write(n, 0, false);

	ffl_copy(w->key, sizeof(w->key), KEY_WANT);
	g_ptr_array_add(states_append(n)->store.writes, w);
}

void ffl_publish_drop(ffl_node_t *n, const char *id)
{
	g_ptr_array_add(n->lead.publish.dropped_ids, g_strdup(id));
}
