#include <string.h>

#include "lib/node/node_int.h"

/** Largest age of a job that is taken from the hosts' clocks: about what jobs
 * that wait are worth anything for. */
#define PAGED_AGE_MAX_MS 60000

/** Where a specification stands on the log. */
typedef struct {
	const char *name;
	uint32_t part;
	uint64_t offset;
} spec_place_t;

static uint32_t hash_part(const ffl_node_t *n, const char *id);
static bool is_kept_for(GHashTable *parts, const char *key, uint32_t part);
static void apply_partitions(ffl_node_t *n, const ffl_store_record_t *rec);
static void apply_cancel(ffl_node_t *n, const ffl_tail_t *t, const char *id);
static void apply_removal(ffl_node_t *n, const ffl_tail_t *t,
			  const ffl_store_record_t *rec, const char *id);
static bool leave_part(ffl_flow_t *flow, uint32_t part);
static void remove_spec(ffl_node_t *n, uint32_t part, const char *name,
			const char *id);
static bool has_rival(const ffl_node_t *n, const char *id, uint32_t *part);
static uint64_t first_seen_ms(const ffl_node_t *n, const ffl_flow_spec_t *spec,
			      uint32_t part);
static bool precedes(const ffl_node_t *n, const spec_place_t *place,
		     const ffl_flow_t *flow);
static void add_spec(ffl_node_t *n, ffl_flow_spec_t *spec,
		     const spec_place_t *place);
static void add_rival(ffl_node_t *n, const ffl_flow_t *flow, const char *name,
		      uint32_t part);
static ffl_flow_t *add_flow(ffl_node_t *n, ffl_flow_spec_t *spec,
			    const spec_place_t *place);
static ffl_flow_t *replace_flow(ffl_node_t *n, const ffl_flow_t *later,
				ffl_flow_spec_t *spec,
				const spec_place_t *place);
static void forget_part(GHashTable *parts, uint32_t part);

static uint32_t hash_part(const ffl_node_t *n, const char *id)
{
	return (uint32_t)(ffl_hash(id, strlen(id), 0) % n->jobs_parts);
}

static bool is_kept_for(GHashTable *parts, const char *key, uint32_t part)
{
	gpointer value;

	return g_hash_table_lookup_extended(parts, key, NULL, &value) &&
	       GPOINTER_TO_UINT(value) == part;
}

uint32_t ffl_jobs_part(const ffl_node_t *n, const char *id)
{
	const ffl_flow_t *flow = ffl_flows_find(&n->flows, id);

	return flow ? flow->spec_part : hash_part(n, id);
}

void ffl_jobs_batch_add(ffl_node_t *n, ffl_jobs_batch_t *b, uint32_t part,
			ffl_write_t *w)
{
	if (!b->writes[part]) {
		const ffl_node_act_t *act = ffl_node_add_jobs_append(n, part);

		b->writes[part] = act->store.writes;
		b->calls[part] = act->store.call;
	}
	g_ptr_array_add(b->writes[part], w);
	b->count++;
}

/* Until then jobs stand in partition 0, which is certainly there. All hosts
 * follow the number on the log, whatever their own settings say. */
void ffl_jobs_spread(ffl_node_t *n)
{
	guint8 number = (guint8)n->jobs_read;
	ffl_write_t *w;

	if (n->jobs_read == 1 || n->jobs_parts_logged >= n->jobs_read)
		return;
	for (uint32_t i = 0; i < n->jobs_read; i++) {
		if (!ffl_node_jobs_tail(n, i)->synced)
			return;
	}
	w = ffl_write_new('\0', KEY_PARTITIONS);
	g_byte_array_append(w->value, &number, sizeof(number));
	g_ptr_array_add(ffl_node_add_jobs_append(n, 0)->store.writes, w);
}

/* The number never falls: jobs would be left where nobody reads. The leader
 * writes it anew if an earlier leader's late append lowers it on the log. */
static void apply_partitions(ffl_node_t *n, const ffl_store_record_t *rec)
{
	uint32_t number = rec->value.size_bytes ? rec->value.data[0] : 0;

	n->jobs_parts_logged = number;
	if (number > FFL_JOBS_PARTS_MAX)
		ffl_node_note(n, "partitions-exceeded", rec->key, "number=%u",
			      number);
	number = MIN(number, FFL_JOBS_PARTS_MAX);
	if (number <= n->jobs_parts)
		return;
	n->jobs_parts = number;
	n->jobs_read = MAX(n->jobs_read, number);
	ffl_node_note(n, "jobs-spread", n->opt.name, "partitions=%u", number);
}

static void forget_part(GHashTable *parts, uint32_t part)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, parts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (GPOINTER_TO_UINT(value) == part)
			g_hash_table_iter_remove(&iter);
	}
}

void ffl_jobs_begin_pages(ffl_node_t *n, uint32_t part)
{
	forget_part(n->flows.early_cancels, part);
	forget_part(n->flows.rivals, part);
}

/* Jobs that are known but not in the pages were removed in the part of the log
 * that was not read. Those handed in again since are read after the pages. */
void ffl_jobs_drop_unlisted(ffl_node_t *n, const ffl_tail_t *t)
{
	GPtrArray *gone = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer id;
	gpointer value;

	g_hash_table_iter_init(&iter, n->flows.by_id);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		ffl_flow_t *flow = value;

		if ((flow->spec_parts >> t->part & 1) &&
		    !g_hash_table_contains(t->paged_keys, id) &&
		    leave_part(flow, t->part))
			g_ptr_array_add(gone, g_strdup(id));
	}
	for (guint i = 0; i < gone->len; i++)
		ffl_jobs_remove(n, g_ptr_array_index(gone, i));
	g_ptr_array_free(gone, TRUE);
}

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

static bool has_rival(const ffl_node_t *n, const char *id, uint32_t *part)
{
	GHashTableIter iter;
	gpointer name;
	gpointer value;

	g_hash_table_iter_init(&iter, n->flows.rivals);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		*part = GPOINTER_TO_UINT(value);
		if (g_str_has_prefix(name, id))
			return true;
	}
	return false;
}

/* Returns true if the flow's specification now stands in no partition. It is in
 * several only if it came again while the number of partitions changed. */
static bool leave_part(ffl_flow_t *flow, uint32_t part)
{
	flow->spec_parts &= ~(1U << part);
	if (flow->spec_part == part && flow->spec_parts)
		flow->spec_part = (uint32_t)g_bit_nth_lsf(flow->spec_parts, -1);
	return !flow->spec_parts;
}

/* If this host took a later owner for the first one, the pages bring the job of
 * the first. */
static void remove_spec(ffl_node_t *n, uint32_t part, const char *name,
			const char *id)
{
	ffl_flow_t *flow = ffl_flows_find(&n->flows, id);
	uint32_t rival_part;

	if (is_kept_for(n->flows.rivals, name, part))
		g_hash_table_remove(n->flows.rivals, name);
	if (!flow || strcmp(flow->spec_name, name) != 0 ||
	    !leave_part(flow, part))
		return;
	ffl_jobs_remove(n, id);
	if (has_rival(n, id, &rival_part))
		ffl_tail_restart(ffl_node_jobs_tail(n, rival_part));
}

static void add_rival(ffl_node_t *n, const ffl_flow_t *flow, const char *name,
		      uint32_t part)
{
	if (!g_hash_table_replace(n->flows.rivals, g_strdup(name),
				  GUINT_TO_POINTER(part)))
		return;
	ffl_node_note(n, "job-id-taken", flow->spec.id,
		      "rival=%s owner=%s queue=%s customer=%s", name,
		      flow->spec_name, flow->spec.queue, flow->spec.customer);
}

/* Deadlines count from here, also under a later leader. A host that starts
 * reads jobs that others have known for longer, and has only the clocks to go
 * by. */
static uint64_t first_seen_ms(const ffl_node_t *n, const ffl_flow_spec_t *spec,
			      uint32_t part)
{
	const ffl_tail_t *t = ffl_node_view_jobs_tail(n, part);
	uint64_t age_ms = 0;

	if (t->paging && spec->accepted_ms < n->wall_ms)
		age_ms = MIN(n->wall_ms - spec->accepted_ms, PAGED_AGE_MAX_MS);
	return n->now_ms - MIN(n->now_ms - 1, age_ms);
}

/* Offsets of different partitions tell nothing of the order of two jobs. */
static ffl_flow_t *add_flow(ffl_node_t *n, ffl_flow_spec_t *spec,
			    const spec_place_t *place)
{
	uint64_t seen_ms = first_seen_ms(n, spec, place->part);
	ffl_flow_t *flow = ffl_flows_add(&n->flows, spec, place->offset);

	ffl_node_apply_route(n, flow);
	flow->first_seen_ms = seen_ms;
	ffl_copy(flow->spec_name, sizeof(flow->spec_name), place->name);
	flow->spec_part = place->part;
	flow->spec_parts = 1U << place->part;
	flow->age_ms = n->jobs_read > 1 ? flow->spec.accepted_ms : 0;
	return flow;
}

/* Pages come in the order of names, not of offsets. Frees @p later. */
static ffl_flow_t *replace_flow(ffl_node_t *n, const ffl_flow_t *later,
				ffl_flow_spec_t *spec,
				const spec_place_t *place)
{
	char *later_name = g_strdup(later->spec_name);
	uint32_t later_part = later->spec_part;
	ffl_flow_state_t state = later->published_state;
	bool cancelled = later->cancelled;
	ffl_flow_t *flow;

	ffl_flows_remove(&n->flows, spec->id);
	flow = add_flow(n, spec, place);
	if (cancelled)
		ffl_flows_cancel(&n->flows, flow->spec.id, place->part);
	ffl_flows_apply_state(&n->flows, flow->spec.id, state);
	add_rival(n, flow, later_name, later_part);
	g_free(later_name);
	return flow;
}

/* Returns true if a specification came before that of a flow with its id. Of
 * two partitions, the one that the id does not name was written to before the
 * number of partitions grew. */
static bool precedes(const ffl_node_t *n, const spec_place_t *place,
		     const ffl_flow_t *flow)
{
	uint32_t named = hash_part(n, flow->spec.id);

	if (place->part == flow->spec_part)
		return place->offset < flow->spec_offset;
	if (place->part == named || flow->spec_part == named)
		return flow->spec_part == named;
	return place->part < flow->spec_part;
}

/* An id belongs to the owner whose record came first. A flow with progress is
 * the first one's: the leader ran it. */
static void add_spec(ffl_node_t *n, ffl_flow_spec_t *spec,
		     const spec_place_t *place)
{
	ffl_flow_t *flow = ffl_flows_find(&n->flows, spec->id);

	if (!flow) {
		flow = add_flow(n, spec, place);
	} else if (!ffl_flow_spec_same_owner(&flow->spec, spec)) {
		if (precedes(n, place, flow) && !flow->has_progress)
			flow = replace_flow(n, flow, spec, place);
		else
			add_rival(n, flow, place->name, place->part);
	} else if (spec->text_sum && !flow->spec.text_sum &&
		   !ffl_flow_has_runs(flow)) {
		ffl_flow_spec_drop_text(&flow->spec);
	}
	if (strcmp(flow->spec_name, place->name) == 0)
		flow->spec_parts |= 1U << place->part;
	ffl_publish_close_flow(n, flow);
	ffl_dispatch_request_placement(&n->dispatch);
}

static void apply_removal(ffl_node_t *n, const ffl_tail_t *t,
			  const ffl_store_record_t *rec, const char *id)
{
	if (is_kept_for(n->flows.early_cancels, id, t->part))
		g_hash_table_remove(n->flows.early_cancels, id);
	if (rec->key[0] == KEY_SPEC)
		remove_spec(n, t->part, rec->key + 1, id);
}

static void apply_cancel(ffl_node_t *n, const ffl_tail_t *t, const char *id)
{
	ffl_flows_cancel(&n->flows, id, t->part);
	ffl_dispatch_request_placement(&n->dispatch);
}

void ffl_jobs_apply_record(ffl_node_t *n, ffl_tail_t *t,
			   const ffl_store_record_t *rec)
{
	spec_place_t place = { rec->key + 1, t->part, rec->offset };
	char id[FFL_RECORD_KEY_BYTES];
	ffl_flow_spec_t spec;

	if (!t->part && strcmp(rec->key, KEY_PARTITIONS) == 0) {
		apply_partitions(n, rec);
		return;
	}
	ffl_copy(id, sizeof(id), place.name);
	id[strcspn(id, ".")] = '\0';
	if (!rec->value.size_bytes) {
		apply_removal(n, t, rec, id);
		return;
	}
	if (t->paging && rec->key[0] == KEY_SPEC)
		g_hash_table_add(t->paged_keys, g_strdup(id));
	if (rec->key[0] == KEY_CANCEL) {
		apply_cancel(n, t, id);
		return;
	}
	if (ffl_flow_spec_decode(rec->value, &spec) != FFL_OK) {
		ffl_node_note(n, "job-unreadable", rec->key, "offset=%" PRIu64,
			      rec->offset);
		return;
	}
	add_spec(n, &spec, &place);
	ffl_flow_spec_finish(&spec);
}

void ffl_jobs_drop_rivals(ffl_node_t *n)
{
	ffl_jobs_batch_t batch = { .count = 0 };
	GHashTableIter iter;
	gpointer name;
	gpointer part;

	g_hash_table_iter_init(&iter, n->flows.rivals);
	while (batch.count < FFL_DROPS_MAX &&
	       g_hash_table_iter_next(&iter, &name, &part))
		ffl_jobs_batch_add(n, &batch, GPOINTER_TO_UINT(part),
				   ffl_write_new(KEY_SPEC, name));
}
