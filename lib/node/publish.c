#include <string.h>

#include "lib/node/node_int.h"

/** State changes within this interval share an append. Less than half of the
 * age that the answer to a query may have (QUERY_AGE_MAX_MS). */
#define PUBLISH_GATHER_MS 25
/** Most records in one append, as a new leader may have many to write. */
#define APPEND_RECORDS_MAX 256

static ffl_node_act_t *states_append(ffl_node_t *n);
static void add_states(ffl_node_t *n, GPtrArray *writes);
static void add_state_drops(ffl_node_t *n, GPtrArray *writes);
static void apply_written_states(ffl_node_t *n, uint64_t offset);
static ffl_flow_t *record_state(ffl_node_t *n, const char *id,
				ffl_flow_state_t state, uint64_t offset);
static void apply_state(ffl_node_t *n, const ffl_store_record_t *rec);

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
	return ffl_node_add_append(n, FFL_TOPIC_STATES, APPEND_TIMEOUT_MS);
}

/* visible_state changes only once the progress behind it is on the log, so no
 * state is published ahead of its progress. */
static void add_states(ffl_node_t *n, GPtrArray *writes)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, n->flows.by_id);
	while (writes->len < APPEND_RECORDS_MAX &&
	       g_hash_table_iter_next(&iter, NULL, &value)) {
		const ffl_flow_t *flow = value;
		ffl_write_t *w;
		guint8 state = (guint8)flow->visible_state;

		if (flow->visible_state == flow->published_state &&
		    !flow->state_outdated)
			continue;
		w = ffl_write_new(KEY_STATE, flow->spec.id);
		g_byte_array_append(w->value, &state, sizeof(state));
		g_ptr_array_add(writes, w);
	}
}

static void add_state_drops(ffl_node_t *n, GPtrArray *writes)
{
	GPtrArray *drops = n->lead.publish.dropped_ids;

	while (drops->len && writes->len < APPEND_RECORDS_MAX) {
		const char *id = g_ptr_array_index(drops, drops->len - 1);

		/* A job of this id may have been handed in again. */
		if (!ffl_flows_find(&n->flows, id))
			g_ptr_array_add(writes, ffl_write_new(KEY_STATE, id));
		g_ptr_array_set_size(drops, (gint)drops->len - 1);
	}
}

void ffl_publish_drive(ffl_node_t *n)
{
	ffl_publish_t *p = &n->lead.publish;
	GPtrArray *writes;

	if (!n->lead.leading || p->call ||
	    (n->now_ms - p->sent_ms < PUBLISH_GATHER_MS && !p->final_waits))
		return;
	writes = g_ptr_array_new_with_free_func(ffl_write_free);
	g_ptr_array_add(writes, ffl_lead_encode(n, n->lead.token, false));
	add_states(n, writes);
	add_state_drops(n, writes);
	ffl_outlooks_publish(n, writes);
	if (writes->len > 1 ||
	    n->now_ms - p->sent_ms >= FFL_LEAD_HEARTBEAT_MS) {
		ffl_node_act_t *act = states_append(n);

		g_ptr_array_unref(act->store.writes);
		act->store.writes = writes;
		p->writes = g_ptr_array_ref(writes);
		p->call = act->store.call;
		p->sent_ms = n->now_ms;
		p->final_waits = false;
		return;
	}
	g_ptr_array_unref(writes);
}

static void apply_written_states(ffl_node_t *n, uint64_t offset)
{
	const GPtrArray *writes = n->lead.publish.writes;

	for (guint i = 0; i < writes->len; i++) {
		const ffl_write_t *w = g_ptr_array_index(writes, i);

		if (w->key[0] == KEY_STATE && w->value->len)
			record_state(n, w->key + 1,
				     (ffl_flow_state_t)w->value->data[0],
				     offset + i);
	}
}

/* An append without an answer may be carried out after newer ones. A host that
 * starts then reads its state alone, so the leader writes the right one anew.
 */
static ffl_flow_t *record_state(ffl_node_t *n, const char *id,
				ffl_flow_state_t state, uint64_t offset)
{
	ffl_flow_t *flow;

	ffl_flows_apply_state(&n->flows, id, state);
	flow = ffl_flows_find(&n->flows, id);
	if (!flow || offset < flow->state_offset)
		return flow;
	flow->state_offset = offset;
	flow->state_outdated = state != flow->published_state;
	return flow;
}

/* States of a failed append are sent again by the next one: they still differ
 * from the published states. */
bool ffl_publish_handle_reply(ffl_node_t *n, const ffl_store_reply_t *reply)
{
	ffl_publish_t *p = &n->lead.publish;

	if (!p->call || reply->call != p->call)
		return false;
	p->call = 0;
	if (reply->outcome == FFL_STORE_OK)
		apply_written_states(n, reply->first);
	g_clear_pointer(&p->writes, g_ptr_array_unref);
	return true;
}

static void apply_state(ffl_node_t *n, const ffl_store_record_t *rec)
{
	const char *id = rec->key + 1;
	uint8_t state;

	if (!rec->value.size_bytes) {
		g_hash_table_remove(n->flows.early_states, id);
		if (ffl_flows_find(&n->flows, id))
			record_state(n, id, FFL_FLOW_QUEUED, rec->offset);
		return;
	}
	state = rec->value.data[0];
	if (state >= FFL_FLOW__MAX) {
		ffl_node_note(n, "state-unreadable", rec->key,
			      "offset=%" PRIu64, rec->offset);
		return;
	}
	ffl_publish_close_flow(
		n, record_state(n, id, (ffl_flow_state_t)state, rec->offset));
}

void ffl_publish_close_flow(ffl_node_t *n, ffl_flow_t *flow)
{
	if (flow && !n->lead.leading && !n->lead.loading &&
	    ffl_flow_state_is_final(flow->published_state))
		ffl_flows_close(&n->flows, flow);
}

/* A leader publishes states only of jobs that it knows. If the topic of jobs
 * has been read since the newest state came, a state whose job is still
 * unknown belongs to a job that has left the log. */
void ffl_publish_drop_orphans(ffl_node_t *n)
{
	GHashTableIter iter;
	gpointer id;

	if (ffl_node_jobs_caught_up_ms(n) <=
	    n->tails[FFL_TOPIC_STATES].last_record_ms)
		return;
	g_hash_table_iter_init(&iter, n->flows.early_states);
	while (g_hash_table_iter_next(&iter, &id, NULL))
		ffl_publish_add_drop(n, id);
	g_hash_table_remove_all(n->flows.early_states);
}

void ffl_publish_apply_record(ffl_node_t *n, ffl_tail_t *t,
			      const ffl_store_record_t *rec)
{
	ffl_lead_record_t r;

	if (rec->key[0] == KEY_STATE) {
		apply_state(n, rec);
		return;
	}
	if (rec->key[0] == KEY_OUTLOOK) {
		ffl_outlooks_apply_record(n, rec);
		return;
	}
	if (!ffl_lead_decode(rec->value, &r))
		return;
	if (strcmp(rec->key, KEY_LEAD) == 0)
		ffl_lead_update_holder(n, &r, true);
	else if (strcmp(rec->key, KEY_RESIGN_REQUEST) == 0)
		ffl_lead_handle_resign_request(n, r.size_milli);
}

/* Sent once: if it is lost, the other hosts notice the leader's silence. */
void ffl_publish_resignation(ffl_node_t *n, uint64_t token)
{
	g_ptr_array_add(states_append(n)->store.writes,
			ffl_lead_encode(n, token, true));
}

void ffl_publish_resign_request(ffl_node_t *n)
{
	ffl_write_t *w = ffl_lead_encode(n, 0, false);

	ffl_copy(w->key, sizeof(w->key), KEY_RESIGN_REQUEST);
	g_ptr_array_add(states_append(n)->store.writes, w);
}

void ffl_publish_add_drop(ffl_node_t *n, const char *id)
{
	g_ptr_array_add(n->lead.publish.dropped_ids, g_strdup(id));
}
