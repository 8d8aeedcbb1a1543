#include <string.h>

#include "lib/node/node_int.h"

/** The progress is read this long before a silence counts as a loss, so that
 * the claim can follow at once. */
#define LOAD_AHEAD_MS 100
/** Shortest interval between two reads that ask for a sign of life. */
#define SIGN_READ_MIN_MS 50
/** The log must have answered without failure for this long before a leader's
 * silence counts. */
#define LOG_HEALTHY_MS 900
/** Extra wait before a claim for each halving of a host's size. A larger host
 * reads the progress and appends its claim within this time, so that smaller
 * hosts see the claim before theirs is due. */
#define SIZE_STEP_WAIT_MS 200
/** Extra wait before a claim, in round trips between this host and the log, so
 * that a host near the log leads: under a distant leader the start of a job
 * takes two slow appends, and a takeover many slow page reads. */
#define CLAIM_WAIT_ROUND_TRIPS 16
/** Size in thousandths of a core that is assumed for a host that does not state
 * its own, and for the largest host while no leader has been seen. */
#define DEFAULT_SIZE_MILLI 1000
/** Processor that goes with a leader's traffic, in thousandths of a core for
 * each Mbit/s: a tenth of a core and 5 Mbit/s at 350 workers
 * (docs/CAPACITY.md). */
#define SIZE_MILLI_PER_MBIT 20
#define KBIT_PER_MBIT	    1000
/** A leader of at most half the size of another host is asked to resign at the
 * earliest this long after it began to lead and after the other host's reads
 * of the log became healthy. */
#define RESIGN_REQUEST_WAIT_MS 2000

static void note_silence(ffl_node_t *n);
static bool is_rest_read(const ffl_node_t *n);
static bool knows_all_jobs(const ffl_node_t *n);
static bool may_lead(const ffl_node_t *n);
static uint32_t silence_limit_ms(const ffl_node_t *n);
static bool is_silent_for(ffl_node_t *n, uint32_t ms);
static bool is_claim_due(ffl_node_t *n);
static void start_loading(ffl_node_t *n);
static void request_resignation(ffl_node_t *n);

uint32_t ffl_lead_size_milli(uint32_t processor_milli, uint32_t link_kbit)
{
	uint64_t link_milli =
		(uint64_t)link_kbit * SIZE_MILLI_PER_MBIT / KBIT_PER_MBIT;

	return (uint32_t)MAX(MIN(processor_milli, link_milli), 1);
}

/* The silence that ends is as long as reads have shown: the interval between
 * this host's reads is none of the leader's. */
static void note_silence(ffl_node_t *n)
{
	ffl_lead_t *l = &n->lead;
	uint64_t caught_up_ms = n->tails[FFL_TOPIC_STATES].caught_up_ms;

	if (l->holder_since_ms < l->holder_seen_ms &&
	    l->holder_seen_ms < caught_up_ms)
		ffl_silence_end(&l->silence, caught_up_ms - l->holder_seen_ms,
				n->now_ms);
}

void ffl_lead_update_holder(ffl_node_t *n, const ffl_lead_record_t *r,
			    bool alive)
{
	ffl_lead_t *l = &n->lead;
	uint64_t earlier_ms;

	if (l->leading && alive && r->token > l->token)
		ffl_lead_step_down(n, "another host leads");
	if (l->leading || r->token < l->holder_token)
		return;
	if (strcmp(l->holder, r->holder) != 0 ||
	    l->holder_incarnation != r->incarnation) {
		ffl_node_note(n, "leader-seen", r->holder,
			      "token=%" PRIu64 " size=%u resigned=%d", r->token,
			      r->size_milli, r->resigned);
		l->holder_since_ms = n->now_ms;
		ffl_silence_forget(&l->silence);
	}
	earlier_ms = n->now_ms + r->earlier_lease_ms;
	l->earlier_lease_ms = r->token == l->holder_token
				      ? MIN(l->earlier_lease_ms, earlier_ms)
				      : earlier_ms;
	ffl_copy(l->holder, sizeof(l->holder), r->holder);
	l->holder_incarnation = r->incarnation;
	l->holder_token = r->token;
	l->holder_size_milli = r->size_milli;
	l->largest_size_milli = MAX(l->largest_size_milli, r->size_milli);
	l->holder_resigned = r->resigned;
	if (!alive)
		return;
	note_silence(n);
	l->holder_seen_ms = n->now_ms;
	if (l->loading && !l->writes && !r->resigned &&
	    r->incarnation != n->incarnation)
		ffl_claim_abandon(n, "another host leads");
}

/* While the newest record of each key is paged in, a leadership record shows
 * only who led at some time, unless its token is higher than the last known
 * one. Records read after the pages are new and show a live leader. */
void ffl_lead_apply_record(ffl_node_t *n, const ffl_store_record_t *rec)
{
	ffl_lead_record_t r;

	if (!ffl_lead_decode(rec->value, &r))
		return;
	if (!r.token)
		r.token = rec->offset + 1;
	ffl_lead_update_holder(n, &r,
			       n->tails[FFL_TOPIC_RUNS].synced ||
				       r.token > n->lead.holder_token);
}

void ffl_lead_handle_resign_request(ffl_node_t *n, uint32_t size_milli)
{
	ffl_lead_t *l = &n->lead;

	l->resign_asked_ms = n->now_ms;
	l->largest_size_milli = MAX(l->largest_size_milli, size_milli);
	if (!l->leading || l->resign_requested ||
	    size_milli < 2 * n->opt.size_milli ||
	    n->now_ms - l->holder_since_ms < RESIGN_REQUEST_WAIT_MS)
		return;
	l->resign_requested = true;
	ffl_node_note(n, "leader-outgrown", n->opt.name, "size=%u by=%u",
		      n->opt.size_milli, size_milli);
}

/* Returns true if the partitions of jobs are read, except for some that fail
 * alone: the leader starts nothing of those. */
static bool is_rest_read(const ffl_node_t *n)
{
	uint32_t unread = ffl_node_unread_parts(n);

	if (unread == ffl_node_all_parts(n))
		return false;
	for (uint32_t i = 0; i < n->jobs_parts; i++) {
		if ((unread >> i & 1) &&
		    !ffl_node_view_jobs_tail(n, i)->failures)
			return false;
	}
	return true;
}

/* Returns true if the specification of every job that has progress has been
 * read. Without it, the end of a run that a worker reports would match no
 * run. */
static bool knows_all_jobs(const ffl_node_t *n)
{
	if (!ffl_node_knows_jobs(n) || !is_rest_read(n))
		return false;
	return !g_hash_table_size(n->flows.early_progress) ||
	       ffl_node_jobs_caught_up_ms(n) >
		       n->tails[FFL_TOPIC_RUNS].last_record_ms;
}

/* Larger hosts come first, then those near the log; a hash of the name spreads
 * hosts that are alike. */
uint32_t ffl_claim_wait_ms(const ffl_node_t *n)
{
	const ffl_lead_t *l = &n->lead;
	uint32_t size =
		n->opt.size_milli ? n->opt.size_milli : DEFAULT_SIZE_MILLI;
	uint32_t largest = l->largest_size_milli ? l->largest_size_milli
						 : DEFAULT_SIZE_MILLI;
	uint32_t wait_ms = (uint32_t)(ffl_hash(n->opt.name, strlen(n->opt.name),
					       l->holder_incarnation) %
				      FFL_CLAIM_SPREAD_MS) +
			   CLAIM_WAIT_ROUND_TRIPS * l->min_rtt_ms;

	for (; 2 * size <= largest; size *= 2)
		wait_ms += SIZE_STEP_WAIT_MS;
	return wait_ms;
}

/* Returns true if this host's knowledge of the log is complete and recent
 * enough to lead. */
static bool may_lead(const ffl_node_t *n)
{
	const ffl_tail_t *t = &n->tails[FFL_TOPIC_STATES];

	return !n->stop_began_ms && t->synced && n->has_routes &&
	       t->healthy_since_ms && n->now_ms >= n->lead.retry_ms &&
	       t->caught_up_ms + FFL_LEAD_STALENESS_MAX_MS >= n->now_ms;
}

static uint32_t silence_limit_ms(const ffl_node_t *n)
{
	const ffl_lead_t *l = &n->lead;

	return ffl_silence_limit_ms(
		&l->silence, n->now_ms - l->holder_since_ms,
		n->now_ms - n->tails[FFL_TOPIC_STATES].healthy_since_ms,
		n->now_ms);
}

/* Returns true if a read that was sent @p ms after the leader's last sign of
 * life has brought no other: a host that was suspended or cut off has seen
 * none for that long, either. */
static bool is_silent_for(ffl_node_t *n, uint32_t ms)
{
	uint64_t until_ms = n->lead.holder_seen_ms + ms;
	ffl_tail_t *t = &n->tails[FFL_TOPIC_STATES];

	if (n->now_ms < until_ms)
		return false;
	if (t->caught_up_ms < until_ms &&
	    n->now_ms - t->peek_sent_ms >= SIGN_READ_MIN_MS)
		ffl_tail_peek(n, t);
	return t->caught_up_ms >= until_ms;
}

/* Returns true if, to this host's knowledge, no host leads and the wait before
 * its own claim is over; as long as the progress is still to be read, that it
 * will soon be. */
static bool is_claim_due(ffl_node_t *n)
{
	const ffl_lead_t *l = &n->lead;

	if (!may_lead(n))
		return false;
	if (strcmp(l->holder, n->opt.name) == 0 &&
	    l->holder_incarnation != n->incarnation)
		return true;
	if (!l->holder[0] || l->holder_resigned)
		return n->now_ms - l->holder_seen_ms >= ffl_claim_wait_ms(n);
	if (n->now_ms - n->tails[FFL_TOPIC_STATES].healthy_since_ms <
	    LOG_HEALTHY_MS)
		return false;
	return is_silent_for(n, silence_limit_ms(n) + ffl_claim_wait_ms(n) -
					(l->loading ? 0 : LOAD_AHEAD_MS));
}

static void start_loading(ffl_node_t *n)
{
	ffl_node_note(n, "leader-loading", n->opt.name,
		      "before=%s silent_ms=%" PRIu64, n->lead.holder,
		      n->now_ms - n->lead.holder_seen_ms);
	n->lead.loading = true;
	ffl_flows_reset_progress(&n->flows);
	ffl_tail_restart(&n->tails[FFL_TOPIC_RUNS]);
	ffl_tails_probe_jobs(n);
}

/* Another host leads, so the progress that was read is discarded. */
void ffl_claim_abandon(ffl_node_t *n, const char *why)
{
	ffl_lead_t *l = &n->lead;

	ffl_node_note(n, "leader-not", n->opt.name, "why=%s", why);
	ffl_lead_discard_append(n);
	l->loading = false;
	l->holder_seen_ms = n->now_ms;
	l->retry_ms = n->now_ms + FFL_CLAIM_SPREAD_MS;
	ffl_tail_restart(&n->tails[FFL_TOPIC_RUNS]);
	ffl_flows_reset_progress(&n->flows);
	ffl_flows_close_published(&n->flows);
}

static void request_resignation(ffl_node_t *n)
{
	ffl_lead_t *l = &n->lead;
	const ffl_tail_t *t = &n->tails[FFL_TOPIC_STATES];
	uint32_t wait_ms = RESIGN_REQUEST_WAIT_MS + ffl_claim_wait_ms(n);

	if (!may_lead(n) || !l->holder[0] || l->holder_resigned ||
	    !l->holder_size_milli ||
	    n->opt.size_milli < 2 * l->holder_size_milli ||
	    n->now_ms - l->holder_since_ms < wait_ms ||
	    n->now_ms - t->healthy_since_ms < wait_ms ||
	    (l->resign_asked_ms && n->now_ms - l->resign_asked_ms < wait_ms))
		return;
	l->resign_asked_ms = n->now_ms;
	ffl_node_note(n, "leader-wanted", n->opt.name, "size=%u of=%u",
		      n->opt.size_milli, l->holder_size_milli);
	ffl_publish_resign_request(n);
}

bool ffl_claim_advance(ffl_node_t *n)
{
	if (!is_claim_due(n)) {
		request_resignation(n);
		return false;
	}
	if (!n->lead.loading) {
		start_loading(n);
		return false;
	}
	return n->tails[FFL_TOPIC_RUNS].synced && knows_all_jobs(n);
}
