#include "lib/node/node_int.h"

/** Interval between searches for ended jobs. */
#define PRUNE_INTERVAL_MS 2000
/** How much longer an ended job is kept than it must be shown, as its caller
 * may retry a request seconds later. */
#define KEEP_ENDED_MARGIN_MS 60000
/** Most texts that are dropped by one append. */
#define TEXT_DROPS_MAX 256
/** Delay between the removal of a job's progress and that of its
 * specification. */
#define SPEC_DROP_DELAY_MS 5000

static bool is_prunable(const ffl_flow_t *flow);
static void drop_progress(ffl_node_t *n, const ffl_flow_t *flow);
static void add_progress_drops(ffl_node_t *n);
static void drop_specs(ffl_node_t *n, uint32_t part);
static bool has_room(const ffl_node_t *n);
static bool is_text_needed(const ffl_flow_t *flow);
static void drop_texts(ffl_node_t *n, uint32_t part);

static bool is_prunable(const ffl_flow_t *flow)
{
	return ffl_flow_state_is_final(flow->visible_state) &&
	       !flow->placed_count;
}

/* All parts go in one append: without the first part, the job would start
 * again. */
static void drop_progress(ffl_node_t *n, const ffl_flow_t *flow)
{
	char name[FFL_PROGRESS_NAME_BYTES];

	for (uint32_t i = 0; i < flow->parts_count; i++) {
		if (i && !flow->parts[i].known)
			continue;
		ffl_flow_progress_name(flow, i, name);
		g_ptr_array_add(n->lead.writes,
				ffl_write_new(KEY_PROGRESS, name));
	}
}

/* Removes the progress of jobs that ended long ago. Their specifications are
 * removed later, so that no progress is left without a specification. */
static void add_progress_drops(ffl_node_t *n)
{
	guint drops_end = n->lead.writes->len + FFL_DROPS_MAX;
	uint64_t keep_ms =
		(uint64_t)n->opt.keep_ended_ms + KEEP_ENDED_MARGIN_MS;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, n->flows.by_id);
	while (n->lead.writes->len < drops_end &&
	       g_hash_table_iter_next(&iter, NULL, &value)) {
		ffl_flow_t *flow = value;

		if (!is_prunable(flow) || flow->dropped_ms)
			continue;
		if (!flow->ended_ms)
			flow->ended_ms = n->now_ms;
		if (n->now_ms - flow->ended_ms < keep_ms)
			continue;
		drop_progress(n, flow);
		flow->dropped_ms = n->now_ms;
	}
}

/* A removal whose reply is lost is repeated after SPEC_DROP_DELAY_MS, as the
 * job is still known then. */
static void drop_specs(ffl_node_t *n, uint32_t part)
{
	ffl_jobs_batch_t batch = { .count = 0 };
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, n->flows.by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		ffl_flow_t *flow = value;

		if (!flow->dropped_ms || flow->spec_part != part ||
		    n->now_ms - flow->dropped_ms < SPEC_DROP_DELAY_MS)
			continue;
		flow->dropped_ms = n->now_ms;
		for (uint32_t i = 0; i < FFL_JOBS_PARTS_MAX; i++) {
			if (!(flow->spec_parts >> i & 1))
				continue;
			ffl_jobs_batch_add(
				n, &batch, i,
				ffl_write_new(KEY_CANCEL, flow->spec.id));
			ffl_jobs_batch_add(
				n, &batch, i,
				ffl_write_new(KEY_SPEC, flow->spec_name));
		}
		if (batch.count >= 2 * FFL_DROPS_MAX)
			return;
	}
}

static bool is_text_needed(const ffl_flow_t *flow)
{
	return !is_prunable(flow) || flow->state_outdated ||
	       !ffl_flow_state_is_final(flow->published_state) ||
	       ffl_flow_has_runs(flow);
}

/* A host that starts reads the specifications of all jobs on the log, most of
 * which have ended; all hosts that start together share the link between
 * regions. Without an answer the records are written again, until they have
 * been read. */
static void drop_texts(ffl_node_t *n, uint32_t part)
{
	ffl_jobs_batch_t batch = { .count = 0 };
	uint64_t left = ffl_node_append_bytes_max(n);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, n->flows.by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const ffl_flow_t *flow = value;
		ffl_write_t *w;

		if (flow->spec.text_sum || flow->dropped_ms ||
		    flow->spec_part != part || is_text_needed(flow))
			continue;
		w = ffl_write_new(KEY_SPEC, flow->spec_name);
		ffl_flow_spec_encode_ended(&flow->spec, w->value);
		if (ffl_write_bytes(w) > left) {
			ffl_write_free(w);
			return;
		}
		left -= ffl_write_bytes(w);
		ffl_jobs_batch_add(n, &batch, flow->spec_part, w);
		if (batch.count >= TEXT_DROPS_MAX)
			return;
	}
}

/* The removals take at most the other half of the append. */
static bool has_room(const ffl_node_t *n)
{
	uint64_t bytes = 0;

	for (guint i = 0; i < n->lead.writes->len; i++)
		bytes += ffl_write_bytes(g_ptr_array_index(n->lead.writes, i));
	return bytes <= ffl_node_append_bytes_max(n) / 2;
}

/* One partition at a time: each append wakes the readers of its partition at
 * all hosts. */
void ffl_prune(ffl_node_t *n)
{
	uint32_t part = n->lead.prunings % n->jobs_parts;

	if (n->now_ms - n->lead.pruned_ms < PRUNE_INTERVAL_MS || !has_room(n))
		return;
	n->lead.pruned_ms = n->now_ms;
	n->lead.prunings++;
	ffl_jobs_spread(n);
	ffl_publish_drop_orphans(n);
	ffl_jobs_drop_rivals(n);
	drop_specs(n, part);
	drop_texts(n, part);
	add_progress_drops(n);
}
