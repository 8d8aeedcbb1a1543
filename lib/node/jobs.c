#include <string.h>

#include "lib/node/node_int.h"

/** Largest age of a job that is taken from the hosts' clocks: about what jobs
 * that wait are worth anything for. */
#define PAGED_AGE_MAX_MS 60000

static uint64_t first_seen_ms(const ffl_node_t *n, const ffl_flow_spec_t *spec);
static void remove_spec(ffl_node_t *n, const char *name, const char *id);
static bool has_rival(const ffl_node_t *n, const char *id);
static void add_spec(ffl_node_t *n, ffl_flow_spec_t *spec, const char *name,
		     uint64_t offset);
static void add_rival(ffl_node_t *n, const ffl_flow_t *flow, const char *name);
static ffl_flow_t *add_flow(ffl_node_t *n, ffl_flow_spec_t *spec,
			    const char *name, uint64_t offset);
static ffl_flow_t *replace_flow(ffl_node_t *n, const ffl_flow_t *later,
				ffl_flow_spec_t *spec, const char *name,
				uint64_t offset);

void ffl_jobs_remove(ffl_node_t *n, const char *id)
{
	const ffl_flow_t *flow = ffl_flows_find(&n->flows, id);

	/* A leader removes only jobs without runs. */
	if (n->lead.leading && flow && flow->placed_count)
		ffl_lead_step_down(n, "a job with runs was removed");
	if (n->lead.leading)
		ffl_publish_add_drop(n, id);
	ffl_flows_remove(&n->flows, id);
}

static bool has_rival(const ffl_node_t *n, const char *id)
{
	GHashTableIter iter;
	gpointer name;

	g_hash_table_iter_init(&iter, n->flows.rivals);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		if (g_str_has_prefix(name, id))
			return true;
	}
	return false;
}

/* If this host took a later owner for the first one, the pages bring the job of
 * the first. */
static void remove_spec(ffl_node_t *n, const char *name, const char *id)
{
	const ffl_flow_t *flow = ffl_flows_find(&n->flows, id);

	g_hash_table_remove(n->flows.rivals, name);
	if (!flow || strcmp(flow->spec_name, name) != 0)
		return;
	ffl_jobs_remove(n, id);
	if (has_rival(n, id))
		ffl_tail_restart(&n->tails[FFL_TOPIC_JOBS]);
}

static void add_rival(ffl_node_t *n, const ffl_flow_t *flow, const char *name)
{
	if (!g_hash_table_add(n->flows.rivals, g_strdup(name)))
		return;
	ffl_node_note(n, "job-id-taken", flow->spec.id,
		      "rival=%s owner=%s queue=%s customer=%s", name,
		      flow->spec_name, flow->spec.queue, flow->spec.customer);
}

/* Deadlines count from here, also under a later leader. A host that starts
 * reads jobs that others have known for longer, and has only the clocks to go
 * by. */
static uint64_t first_seen_ms(const ffl_node_t *n, const ffl_flow_spec_t *spec)
{
	uint64_t age_ms = 0;

	if (n->tails[FFL_TOPIC_JOBS].paging && spec->accepted_ms < n->wall_ms)
		age_ms = MIN(n->wall_ms - spec->accepted_ms, PAGED_AGE_MAX_MS);
	return n->now_ms - MIN(n->now_ms - 1, age_ms);
}

static ffl_flow_t *add_flow(ffl_node_t *n, ffl_flow_spec_t *spec,
			    const char *name, uint64_t offset)
{
	uint64_t seen_ms = first_seen_ms(n, spec);
	ffl_flow_t *flow = ffl_flows_add(&n->flows, spec, offset);

	flow->first_seen_ms = seen_ms;
	ffl_copy(flow->spec_name, sizeof(flow->spec_name), name);
	return flow;
}

/* Pages come in the order of names, not of offsets. Frees @p later. */
static ffl_flow_t *replace_flow(ffl_node_t *n, const ffl_flow_t *later,
				ffl_flow_spec_t *spec, const char *name,
				uint64_t offset)
{
	char *later_name = g_strdup(later->spec_name);
	ffl_flow_state_t state = later->published_state;
	bool cancelled = later->cancelled;
	ffl_flow_t *flow;

	ffl_flows_remove(&n->flows, spec->id);
	flow = add_flow(n, spec, name, offset);
	if (cancelled)
		ffl_flows_cancel(&n->flows, flow->spec.id);
	ffl_flows_apply_state(&n->flows, flow->spec.id, state);
	add_rival(n, flow, later_name);
	g_free(later_name);
	return flow;
}

/* An id belongs to the owner whose record came first. A flow with progress is
 * the first one's: the leader ran it. */
static void add_spec(ffl_node_t *n, ffl_flow_spec_t *spec, const char *name,
		     uint64_t offset)
{
	ffl_flow_t *flow = ffl_flows_find(&n->flows, spec->id);

	if (!flow) {
		flow = add_flow(n, spec, name, offset);
	} else if (!ffl_flow_spec_same_owner(&flow->spec, spec)) {
		if (offset < flow->spec_offset && !flow->has_progress)
			flow = replace_flow(n, flow, spec, name, offset);
		else
			add_rival(n, flow, name);
	} else if (spec->text_sum && !flow->spec.text_sum &&
		   !ffl_flow_has_runs(flow)) {
		ffl_flow_spec_drop_text(&flow->spec);
	}
	ffl_publish_close_flow(n, flow);
	ffl_dispatch_request_placement(&n->dispatch);
}

void ffl_jobs_apply_record(ffl_node_t *n, const ffl_store_record_t *rec)
{
	ffl_tail_t *t = &n->tails[FFL_TOPIC_JOBS];
	const char *name = rec->key + 1;
	char id[FFL_RECORD_KEY_BYTES];
	ffl_flow_spec_t spec;

	ffl_copy(id, sizeof(id), name);
	id[strcspn(id, ".")] = '\0';
	if (!rec->value.size_bytes) {
		g_hash_table_remove(n->flows.early_cancels, id);
		if (rec->key[0] == KEY_SPEC)
			remove_spec(n, name, id);
		return;
	}
	if (t->paging && rec->key[0] == KEY_SPEC)
		g_hash_table_add(t->paged_keys, g_strdup(id));
	if (rec->key[0] == KEY_CANCEL) {
		ffl_flows_cancel(&n->flows, id);
		ffl_dispatch_request_placement(&n->dispatch);
		return;
	}
	if (ffl_flow_spec_decode(rec->value, &spec) != FFL_OK) {
		ffl_node_note(n, "job-unreadable", rec->key, "offset=%" PRIu64,
			      rec->offset);
		return;
	}
	add_spec(n, &spec, name, rec->offset);
	ffl_flow_spec_finish(&spec);
}

void ffl_jobs_drop_rivals(ffl_node_t *n)
{
	GHashTableIter iter;
	ffl_node_act_t *act;
	gpointer name;

	if (!g_hash_table_size(n->flows.rivals))
		return;
	act = ffl_node_add_jobs_append(n);
	g_hash_table_iter_init(&iter, n->flows.rivals);
	while (act->store.writes->len < FFL_DROPS_MAX &&
	       g_hash_table_iter_next(&iter, &name, NULL))
		g_ptr_array_add(act->store.writes,
				ffl_write_new(KEY_SPEC, name));
}
