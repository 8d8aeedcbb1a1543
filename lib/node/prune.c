#include "lib/node/node_int.h"

/** Ended jobs are looked for so often, and dropped so many at a time. */
#define PRUNE_MS  2000
#define DROPS_MAX 64
/** An ended job is kept longer than it must be shown: a call of its caller
 * may be repeated seconds later. */
#define KEEP_MARGIN_MS 60000
/** What was asked is dropped so long after the progress. */
#define DROP_AFTER_MS 5000

static bool is_final(const ffl_flow_t *flow);
static void add_drops(ffl_node_t *n);
static void drop_specs(ffl_node_t *n);

static bool is_final(const ffl_flow_t *flow)
{
	return ffl_flow_state_is_final(flow->visible_state) &&
	       !flow->placed_count;
}

/* Jobs that ended long ago leave the log: first their progress, here, then
 * what was asked, so that no progress is left without a specification. */
static void add_drops(ffl_node_t *n)
{
	uint64_t keep_ms = (uint64_t)n->opt.keep_ended_ms + KEEP_MARGIN_MS;
	uint32_t count = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, n->flows.by_id);
	while (count < DROPS_MAX &&
	       g_hash_table_iter_next(&iter, NULL, &value)) {
		ffl_flow_t *flow = value;

		if (!is_final(flow) || flow->dropped_ms)
			continue;
		if (!flow->ended_ms)
			flow->ended_ms = n->now_ms;
		if (n->now_ms - flow->ended_ms < keep_ms)
			continue;
		g_ptr_array_add(n->lead.writes,
				ffl_write_new(KEY_PROGRESS, flow->spec.id));
		flow->dropped_ms = n->now_ms;
		count++;
	}
}

/* A drop whose answer is lost is repeated: the job is still known then. */
static void drop_specs(ffl_node_t *n)
{
	ffl_node_act_t *act = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, n->flows.by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		ffl_flow_t *flow = value;

		if (!flow->dropped_ms ||
		    n->now_ms - flow->dropped_ms < DROP_AFTER_MS)
			continue;
		if (!act)
			act = ffl_jobs_append(n);
		flow->dropped_ms = n->now_ms;
		g_ptr_array_add(act->store.writes,
				ffl_write_new(KEY_CANCEL, flow->spec.id));
		g_ptr_array_add(act->store.writes,
				ffl_write_new(KEY_SPEC, flow->spec.id));
		if (act->store.writes->len >= 2 * DROPS_MAX)
			return;
	}
}

/* Done with heartbeats, and seldom: it looks at every job. */
void ffl_prune(ffl_node_t *n)
{
	if (n->now_ms - n->lead.pruned_ms < PRUNE_MS)
		return;
	n->lead.pruned_ms = n->now_ms;
	ffl_publish_drop_orphans(n);
	drop_specs(n);
	add_drops(n);
}
