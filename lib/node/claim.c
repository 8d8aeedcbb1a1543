#include <string.h>

#include "lib/node/node_int.h"

/** A silent leader is replaced after this: authority and its margin. */
#define TAKEOVER_MS 1800
/** The log must have answered well for so long before silence counts. */
#define WELL_MS 900
/** A host of half the size waits so much longer, so that the claim of a larger
 * one is seen before: its reading of the progress, and an append. */
#define SIZE_STEP_MS 200
/** A host far from the log waits so many of its own round trips more: a start
 * waits for two appends of the leader, a takeover for the pages. */
#define ROUND_TRIPS 16
/** Size that hosts compare with where no leader was seen yet: a core. */
#define SIZE_USUAL_MILLI 1000
/** A leader of less than half the size of another host is asked to resign so
 * long after either of them came. */
#define OUTGROWN_MS 2000

static bool knows_jobs(const ffl_node_t *n);
static uint32_t claim_wait_ms(const ffl_node_t *n);
static bool may_lead(const ffl_node_t *n);
static bool may_claim(const ffl_node_t *n);
static void load_progress(ffl_node_t *n);
static void ask_to_resign(ffl_node_t *n);

void ffl_lead_seen(ffl_node_t *n, const ffl_lead_record_t *r, bool alive)
{
	ffl_lead_t *l = &n->lead;

	if (l->leading && alive && r->token > l->token)
		ffl_lead_step_down(n, "another leads");
	if (l->leading || r->token < l->holder_token)
		return;
	if (strcmp(l->holder, r->holder) != 0 ||
	    l->holder_incarnation != r->incarnation) {
		ffl_node_note(n, "leader-seen", r->holder,
			      "token=%" PRIu64 " size=%u resigned=%d", r->token,
			      r->size_milli, r->resigned);
		l->holder_since_ms = n->now_ms;
	}
	ffl_copy(l->holder, sizeof(l->holder), r->holder);
	l->holder_incarnation = r->incarnation;
	l->holder_token = r->token;
	l->holder_size_milli = r->size_milli;
	l->largest_size_milli = MAX(l->largest_size_milli, r->size_milli);
	l->resigned = r->resigned;
	if (!alive)
		return;
	l->holder_seen_ms = n->now_ms;
	if (l->loading && !l->writes && !r->resigned &&
	    r->incarnation != n->incarnation)
		ffl_claim_give_way(n, "another leads");
}

/* Among the newest records it tells who led; a later leader than the one that
 * was known, or a record read after them, shows one that lives. */
void ffl_lead_record(ffl_node_t *n, const ffl_store_record_t *rec)
{
	ffl_lead_record_t r;

	if (!ffl_lead_decode(rec->value, &r))
		return;
	if (!r.token)
		r.token = rec->offset + 1;
	ffl_lead_seen(n, &r,
		      n->tails[FFL_TOPIC_RUNS].synced ||
			      r.token > n->lead.holder_token);
}

void ffl_lead_wanted(ffl_node_t *n, uint32_t size_milli)
{
	ffl_lead_t *l = &n->lead;

	l->resign_asked_ms = n->now_ms;
	l->largest_size_milli = MAX(l->largest_size_milli, size_milli);
	if (!l->leading || l->resign_requested ||
	    size_milli < 2 * n->opt.size_milli ||
	    n->now_ms - l->holder_since_ms < OUTGROWN_MS)
		return;
	l->resign_requested = true;
	ffl_node_note(n, "leader-outgrown", n->opt.name, "size=%u by=%u",
		      n->opt.size_milli, size_milli);
}

/* Progress is known of no job whose specification has not been read: an end
 * that a worker lists would find no run. */
static bool knows_jobs(const ffl_node_t *n)
{
	const ffl_tail_t *jobs = &n->tails[FFL_TOPIC_JOBS];

	if (!jobs->synced || n->now_ms - jobs->caught_up_ms > FFL_KNOWN_MS)
		return false;
	return !g_hash_table_size(n->flows.early_progress) ||
	       jobs->caught_up_ms > n->tails[FFL_TOPIC_RUNS].last_record_ms;
}

/* Larger hosts come first, then those near the log, each in its own time. */
static uint32_t claim_wait_ms(const ffl_node_t *n)
{
	const ffl_lead_t *l = &n->lead;
	uint32_t size =
		n->opt.size_milli ? n->opt.size_milli : SIZE_USUAL_MILLI;
	uint32_t usual = l->largest_size_milli ? l->largest_size_milli
					       : SIZE_USUAL_MILLI;
	uint32_t wait_ms = (uint32_t)(ffl_hash(n->opt.name, strlen(n->opt.name),
					       l->holder_incarnation) %
				      FFL_CLAIM_SPREAD_MS) +
			   ROUND_TRIPS * l->min_rtt_ms;

	for (; 2 * size <= usual; size *= 2)
		wait_ms += SIZE_STEP_MS;
	return wait_ms;
}

/* Tells whether the log is known well enough to lead. */
static bool may_lead(const ffl_node_t *n)
{
	const ffl_tail_t *t = &n->tails[FFL_TOPIC_STATES];

	return !n->stop_began_ms && t->synced && n->has_routes &&
	       t->healthy_since_ms && n->now_ms >= n->lead.retry_ms &&
	       t->caught_up_ms + FFL_KNOWN_MS >= n->now_ms;
}

/* Tells whether nobody leads, as far as this host can know. */
static bool may_claim(const ffl_node_t *n)
{
	const ffl_lead_t *l = &n->lead;
	uint32_t wait_ms = TAKEOVER_MS + claim_wait_ms(n);

	if (!may_lead(n))
		return false;
	if (strcmp(l->holder, n->opt.name) == 0 &&
	    l->holder_incarnation != n->incarnation)
		return true;
	if (!l->holder[0] || l->resigned)
		wait_ms = claim_wait_ms(n);
	else if (n->now_ms - n->tails[FFL_TOPIC_STATES].healthy_since_ms <
		 WELL_MS)
		return false;
	return n->now_ms - l->holder_seen_ms >= wait_ms;
}

static void load_progress(ffl_node_t *n)
{
	ffl_node_note(n, "leader-loading", n->opt.name,
		      "before=%s silent_ms=%" PRIu64, n->lead.holder,
		      n->now_ms - n->lead.holder_seen_ms);
	n->lead.loading = true;
	ffl_flows_reset_progress(&n->flows);
	ffl_tail_restart(&n->tails[FFL_TOPIC_RUNS]);
}

/* Another host leads: what was read of the progress is not needed. */
void ffl_claim_give_way(ffl_node_t *n, const char *why)
{
	ffl_lead_t *l = &n->lead;

	ffl_node_note(n, "leader-not", n->opt.name, "why=%s", why);
	ffl_lead_drop_append(n);
	l->loading = false;
	l->holder_seen_ms = n->now_ms;
	l->retry_ms = n->now_ms + FFL_CLAIM_SPREAD_MS;
	ffl_tail_restart(&n->tails[FFL_TOPIC_RUNS]);
	ffl_flows_reset_progress(&n->flows);
	ffl_flows_close_published(&n->flows);
}

static void ask_to_resign(ffl_node_t *n)
{
	ffl_lead_t *l = &n->lead;
	const ffl_tail_t *t = &n->tails[FFL_TOPIC_STATES];
	uint32_t wait_ms = OUTGROWN_MS + claim_wait_ms(n);

	if (!may_lead(n) || !l->holder[0] || l->resigned ||
	    !l->holder_size_milli ||
	    n->opt.size_milli < 2 * l->holder_size_milli ||
	    n->now_ms - l->holder_since_ms < wait_ms ||
	    n->now_ms - t->healthy_since_ms < wait_ms ||
	    (l->resign_asked_ms && n->now_ms - l->resign_asked_ms < wait_ms))
		return;
	l->resign_asked_ms = n->now_ms;
	ffl_node_note(n, "leader-wanted", n->opt.name, "size=%u of=%u",
		      n->opt.size_milli, l->holder_size_milli);
	ffl_publish_want(n);
}

bool ffl_claim_due(ffl_node_t *n)
{
	if (!may_claim(n)) {
		ask_to_resign(n);
		return false;
	}
	if (!n->lead.loading) {
		load_progress(n);
		return false;
	}
	return n->tails[FFL_TOPIC_RUNS].synced && knows_jobs(n);
}
