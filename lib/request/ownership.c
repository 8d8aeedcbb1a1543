#include <stdlib.h>
#include <string.h>

#include "fireflyledge/ownership.h"

/** One slot in so many is for members of any region. */
#define ANY_REGION_SLOTS 8

static int compare_seats(const void *pa, const void *pb);
static uint32_t seats_in(const ffl_view_t *view, uint64_t region);
static ffl_ownership_peer_t *find(const ffl_ownership_t *a, uint64_t member);
static ffl_ownership_peer_t *find_or_add(ffl_ownership_t *a, uint64_t member);
static bool recent(const ffl_ownership_t *a, uint64_t at_ms, uint64_t now_ms);
static bool log_fresh(const ffl_ownership_t *a, uint64_t now_ms);
static uint32_t agreeing(const ffl_ownership_t *a, uint64_t now_ms);
static bool majority(const ffl_ownership_t *a, uint64_t now_ms);
static void taint(ffl_ownership_t *a, uint64_t until_ms);
static void forget_gone(ffl_ownership_t *a);
static bool all_settled(const ffl_ownership_t *a, uint64_t now_ms);

static int compare_seats(const void *pa, const void *pb)
{
	const ffl_view_member_t *a = pa;
	const ffl_view_member_t *b = pb;

	return (a->member > b->member) - (a->member < b->member);
}

void ffl_view_set(ffl_view_t *view, ffl_view_member_t *seats, uint32_t count,
		  uint64_t changed_offset)
{
	memset(view, 0, sizeof(*view));
	view->count = MIN(count, FFL_VIEW_MAX);
	if (!view->count)
		return;
	qsort(seats, view->count, sizeof(*seats), compare_seats);
	for (uint32_t i = 0; i < view->count; i++) {
		view->members[i] = seats[i].member;
		view->regions[i] = seats[i].region;
	}
	view->changed_offset = changed_offset;
	view->hash =
		ffl_hash(view->members, view->count * sizeof(*view->members),
			 changed_offset);
}

bool ffl_view_has(const ffl_view_t *view, uint64_t member)
{
	for (uint32_t i = 0; i < view->count; i++) {
		if (view->members[i] == member)
			return true;
	}
	return false;
}

uint64_t ffl_view_owner(const ffl_view_t *view, uint64_t a, uint64_t b)
{
	uint64_t part = ffl_mix(a, b);
	uint64_t best = 0;
	uint64_t home = 0;

	for (uint32_t i = 0; i < view->count; i++) {
		uint64_t score = ffl_mix(part, view->members[i]);

		if (!home || score > best) {
			best = score;
			home = view->members[i];
		}
	}
	return home;
}

/* Returns the number of members in a region; 0 as a region is any. */
static uint32_t seats_in(const ffl_view_t *view, uint64_t region)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < view->count; i++)
		n += !region || view->regions[i] == region;
	return n;
}

uint64_t ffl_view_owned_slots(const ffl_view_t *view, uint64_t name,
			      uint64_t region, uint32_t slots, uint64_t self)
{
	uint32_t taken[FFL_VIEW_MAX] = { 0 };
	uint32_t local = seats_in(view, region);
	uint32_t most = (slots + MAX(local, 1) - 1) / MAX(local, 1);
	uint64_t mask = 0;

	for (uint32_t slot = 0; slot < slots; slot++) {
		bool any = !local ||
			   slot % ANY_REGION_SLOTS == ANY_REGION_SLOTS - 1;
		uint64_t part = ffl_mix(name, slot);
		uint32_t home = FFL_VIEW_MAX;
		uint64_t best = 0;

		for (uint32_t i = 0; i < view->count; i++) {
			uint64_t score = ffl_mix(part, view->members[i]);

			if ((!any && (view->regions[i] != region ||
				      taken[i] >= most)) ||
			    (home < FFL_VIEW_MAX && score <= best))
				continue;
			best = score;
			home = i;
		}
		if (home == FFL_VIEW_MAX)
			continue;
		taken[home]++;
		if (view->members[home] == self)
			mask |= UINT64_C(1) << slot;
	}
	return mask;
}

void ffl_ownership_init(ffl_ownership_t *a, uint64_t self,
			const ffl_ownership_times_t *times)
{
	memset(a, 0, sizeof(*a));
	a->self = self;
	a->times = *times;
	a->peers = g_array_new(FALSE, TRUE, sizeof(ffl_ownership_peer_t));
}

void ffl_ownership_finish(ffl_ownership_t *a)
{
	g_array_free(a->peers, TRUE);
}

static ffl_ownership_peer_t *find(const ffl_ownership_t *a, uint64_t member)
{
	for (guint i = 0; i < a->peers->len; i++) {
		ffl_ownership_peer_t *p =
			&g_array_index(a->peers, ffl_ownership_peer_t, i);

		if (p->member == member)
			return p;
	}
	return NULL;
}

static ffl_ownership_peer_t *find_or_add(ffl_ownership_t *a, uint64_t member)
{
	ffl_ownership_peer_t *p = find(a, member);
	ffl_ownership_peer_t fresh = { .member = member };

	if (p)
		return p;
	g_array_append_val(a->peers, fresh);
	return &g_array_index(a->peers, ffl_ownership_peer_t,
			      a->peers->len - 1);
}

static bool recent(const ffl_ownership_t *a, uint64_t at_ms, uint64_t now_ms)
{
	return at_ms && now_ms - at_ms <= a->times.proof_max_age_ms;
}

static bool log_fresh(const ffl_ownership_t *a, uint64_t now_ms)
{
	return recent(a, a->log_read_ms, now_ms);
}

void ffl_ownership_on_log_read(ffl_ownership_t *a, uint64_t sent_ms)
{
	a->log_read_ms = MAX(a->log_read_ms, sent_ms);
	a->view_proven_ms = MAX(a->view_proven_ms, sent_ms);
}

static void taint(ffl_ownership_t *a, uint64_t until_ms)
{
	a->blocked_until_ms = MAX(a->blocked_until_ms, until_ms);
}

static void forget_gone(ffl_ownership_t *a)
{
	for (guint i = a->peers->len; i-- > 0;) {
		const ffl_ownership_peer_t *p =
			&g_array_index(a->peers, ffl_ownership_peer_t, i);

		if (!ffl_view_has(&a->view, p->member))
			g_array_remove_index(a->peers, i);
	}
}

bool ffl_ownership_set_view(ffl_ownership_t *a, const ffl_view_t *view,
			    bool first, uint64_t now_ms)
{
	bool started = a->view.count > 0;
	bool stale = started && !recent(a, a->view_proven_ms, now_ms);
	bool unclean = false;

	if (started && view->hash == a->view.hash)
		return false;
	for (uint32_t i = 0; i < a->view.count; i++) {
		uint64_t member = a->view.members[i];
		const ffl_ownership_peer_t *p = find(a, member);

		if (member != a->self && !ffl_view_has(view, member) &&
		    !(p && p->released))
			unclean = true;
	}
	if (first)
		a->established = true;
	if (unclean && !majority(a, now_ms))
		taint(a,
		      now_ms + a->times.grace_ms + a->times.minority_grace_ms);
	else if (unclean || stale)
		taint(a, now_ms + a->times.grace_ms);
	a->lapsed = stale;
	a->view = *view;
	a->adopted_ms = now_ms;
	a->acquired = false;
	forget_gone(a);
	return true;
}

void ffl_ownership_on_report(ffl_ownership_t *a, uint64_t member,
			     const ffl_ownership_report_t *word,
			     uint64_t now_ms)
{
	ffl_ownership_peer_t *p = find_or_add(a, member);

	if (word->stamp_ms < p->stamp_ms)
		return;
	p->stamp_ms = word->stamp_ms;
	p->proof_ms = MAX(p->proof_ms, word->echo_ms);
	p->view = word->view;
	p->log_fresh = word->log_fresh;
	p->settled = word->settled;
	p->established = word->established;
	p->released |= word->released;
	if (word->view != a->view.hash)
		return;
	if (word->log_fresh)
		a->view_proven_ms = MAX(a->view_proven_ms, word->echo_ms);
	if (!a->acquired && word->blocked_ms)
		taint(a, now_ms + word->blocked_ms);
}

ffl_ownership_report_t ffl_ownership_report(const ffl_ownership_t *a,
					    uint64_t member, bool settled,
					    bool final, uint64_t now_ms)
{
	const ffl_ownership_peer_t *p = find(a, member);
	ffl_ownership_report_t word = { .stamp_ms = now_ms,
					.view = a->view.hash,
					.settled = settled,
					.released = final };

	word.echo_ms = p ? p->stamp_ms : 0;
	word.established = a->established;
	word.log_fresh = log_fresh(a, now_ms);
	if (now_ms < a->blocked_until_ms)
		word.blocked_ms = (uint32_t)(a->blocked_until_ms - now_ms);
	return word;
}

/* Counts the members, this host with them, that recently held this view. */
static uint32_t agreeing(const ffl_ownership_t *a, uint64_t now_ms)
{
	uint32_t n = 1;

	for (guint i = 0; i < a->peers->len; i++) {
		const ffl_ownership_peer_t *p =
			&g_array_index(a->peers, ffl_ownership_peer_t, i);

		if (p->view == a->view.hash && recent(a, p->proof_ms, now_ms))
			n++;
	}
	return n;
}

static bool majority(const ffl_ownership_t *a, uint64_t now_ms)
{
	return 2 * agreeing(a, now_ms) > a->view.count;
}

/*
 * During a log outage nobody's view changes, but a host cannot tell an
 * outage from its own cut. A majority that holds the same view rules out
 * that another majority has moved on; the bound on the outage covers the
 * rest, because a minority waits that long before it takes anything over.
 */
bool ffl_ownership_valid(const ffl_ownership_t *a, uint64_t now_ms)
{
	if (!ffl_view_has(&a->view, a->self))
		return false;
	if (recent(a, a->view_proven_ms, now_ms))
		return true;
	for (guint i = 0; i < a->peers->len; i++) {
		const ffl_ownership_peer_t *p =
			&g_array_index(a->peers, ffl_ownership_peer_t, i);

		if (p->log_fresh && p->view != a->view.hash)
			return false;
	}
	return majority(a, now_ms) &&
	       now_ms - a->view_proven_ms <= a->times.max_outage_ms;
}

/* Members that have all just started know nothing of those before them. */
static bool all_settled(const ffl_ownership_t *a, uint64_t now_ms)
{
	bool rooted = a->established;

	for (uint32_t i = 0; i < a->view.count; i++) {
		uint64_t member = a->view.members[i];
		const ffl_ownership_peer_t *p = find(a, member);

		if (member == a->self)
			continue;
		if (!p || p->view != a->view.hash ||
		    !(p->settled || p->released))
			return false;
		rooted |= p->established;
	}
	return rooted;
}

bool ffl_ownership_try_acquire(ffl_ownership_t *a, uint64_t now_ms)
{
	uint64_t wait_ms = a->times.grace_ms;

	if (a->acquired || !ffl_view_has(&a->view, a->self))
		return false;
	if (!majority(a, now_ms))
		wait_ms += a->times.minority_grace_ms;
	if (!all_settled(a, now_ms) && now_ms < a->adopted_ms + wait_ms)
		return false;
	if (now_ms < a->blocked_until_ms)
		return false;
	a->acquired = true;
	a->established = true;
	return true;
}
