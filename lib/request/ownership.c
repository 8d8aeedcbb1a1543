#include <stdlib.h>
#include <string.h>

#include "fireflyledge/ownership.h"

/** One slot in this number goes to a member of any region. */
#define ANY_REGION_SLOTS 8

static int compare_members(const void *pa, const void *pb);
static uint32_t count_in_region(const ffl_view_t *view, uint64_t region);
static ffl_ownership_peer_t *find_peer(const ffl_ownership_t *own,
				       uint64_t member);
static ffl_ownership_peer_t *get_peer(ffl_ownership_t *own, uint64_t member);
static bool is_recent(const ffl_ownership_t *own, uint64_t at_ms,
		      uint64_t now_ms);
static bool log_is_fresh(const ffl_ownership_t *own, uint64_t now_ms);
static uint32_t count_agreeing(const ffl_ownership_t *own, uint64_t now_ms);
static bool has_majority(const ffl_ownership_t *own, uint64_t now_ms);
static void block_until(ffl_ownership_t *own, uint64_t until_ms);
static void remove_departed(ffl_ownership_t *own);
static bool all_settled(const ffl_ownership_t *own, uint64_t now_ms);

static int compare_members(const void *pa, const void *pb)
{
	const ffl_view_member_t *a = pa;
	const ffl_view_member_t *b = pb;

	return (a->member > b->member) - (a->member < b->member);
}

void ffl_view_set(ffl_view_t *view, ffl_view_member_t *members, uint32_t count,
		  uint64_t changed_offset)
{
	memset(view, 0, sizeof(*view));
	view->count = MIN(count, FFL_VIEW_MAX);
	if (!view->count)
		return;
	qsort(members, view->count, sizeof(*members), compare_members);
	for (uint32_t i = 0; i < view->count; i++) {
		view->members[i] = members[i].member;
		view->regions[i] = members[i].region;
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
	uint64_t seed = ffl_mix(a, b);
	uint64_t best = 0;
	uint64_t owner = 0;

	for (uint32_t i = 0; i < view->count; i++) {
		uint64_t score = ffl_mix(seed, view->members[i]);

		if (!owner || score > best) {
			best = score;
			owner = view->members[i];
		}
	}
	return owner;
}

/* Counts the members of a region, or all members if the region is 0. */
static uint32_t count_in_region(const ffl_view_t *view, uint64_t region)
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
	uint32_t local = count_in_region(view, region);
	uint32_t max_share = (slots + MAX(local, 1) - 1) / MAX(local, 1);
	uint64_t mask = 0;

	for (uint32_t slot = 0; slot < slots; slot++) {
		bool any = !local ||
			   slot % ANY_REGION_SLOTS == ANY_REGION_SLOTS - 1;
		uint64_t seed = ffl_mix(name, slot);
		uint32_t owner = FFL_VIEW_MAX;
		uint64_t best = 0;

		for (uint32_t i = 0; i < view->count; i++) {
			uint64_t score = ffl_mix(seed, view->members[i]);

			if ((!any && (view->regions[i] != region ||
				      taken[i] >= max_share)) ||
			    (owner < FFL_VIEW_MAX && score <= best))
				continue;
			best = score;
			owner = i;
		}
		if (owner == FFL_VIEW_MAX)
			continue;
		taken[owner]++;
		if (view->members[owner] == self)
			mask |= UINT64_C(1) << slot;
	}
	return mask;
}

void ffl_ownership_init(ffl_ownership_t *own, uint64_t self,
			const ffl_ownership_times_t *times)
{
	memset(own, 0, sizeof(*own));
	own->self = self;
	own->times = *times;
	own->peers = g_array_new(FALSE, TRUE, sizeof(ffl_ownership_peer_t));
}

void ffl_ownership_finish(ffl_ownership_t *own)
{
	g_array_free(own->peers, TRUE);
}

static ffl_ownership_peer_t *find_peer(const ffl_ownership_t *own,
				       uint64_t member)
{
	for (guint i = 0; i < own->peers->len; i++) {
		ffl_ownership_peer_t *p =
			&g_array_index(own->peers, ffl_ownership_peer_t, i);

		if (p->member == member)
			return p;
	}
	return NULL;
}

static ffl_ownership_peer_t *get_peer(ffl_ownership_t *own, uint64_t member)
{
	ffl_ownership_peer_t *p = find_peer(own, member);
	ffl_ownership_peer_t fresh = { .member = member };

	if (p)
		return p;
	g_array_append_val(own->peers, fresh);
	return &g_array_index(own->peers, ffl_ownership_peer_t,
			      own->peers->len - 1);
}

static bool is_recent(const ffl_ownership_t *own, uint64_t at_ms,
		      uint64_t now_ms)
{
	return at_ms && now_ms - at_ms <= own->times.proof_max_age_ms;
}

static bool log_is_fresh(const ffl_ownership_t *own, uint64_t now_ms)
{
	return is_recent(own, own->log_read_ms, now_ms);
}

void ffl_ownership_on_log_read(ffl_ownership_t *own, uint64_t sent_ms)
{
	own->log_read_ms = MAX(own->log_read_ms, sent_ms);
	own->view_proven_ms = MAX(own->view_proven_ms, sent_ms);
}

static void block_until(ffl_ownership_t *own, uint64_t until_ms)
{
	own->blocked_until_ms = MAX(own->blocked_until_ms, until_ms);
}

static void remove_departed(ffl_ownership_t *own)
{
	for (guint i = own->peers->len; i-- > 0;) {
		const ffl_ownership_peer_t *p =
			&g_array_index(own->peers, ffl_ownership_peer_t, i);

		if (!ffl_view_has(&own->view, p->member))
			g_array_remove_index(own->peers, i);
	}
}

bool ffl_ownership_set_view(ffl_ownership_t *own, const ffl_view_t *view,
			    bool first, uint64_t now_ms)
{
	bool had_view = own->view.count > 0;
	bool stale = had_view && !is_recent(own, own->view_proven_ms, now_ms);
	bool unreleased = false;

	if (had_view && view->hash == own->view.hash)
		return false;
	for (uint32_t i = 0; i < own->view.count; i++) {
		uint64_t member = own->view.members[i];
		const ffl_ownership_peer_t *p = find_peer(own, member);

		if (member != own->self && !ffl_view_has(view, member) &&
		    !(p && p->released))
			unreleased = true;
	}
	if (first)
		own->established = true;
	if (unreleased && !has_majority(own, now_ms))
		block_until(own, now_ms + own->times.grace_ms +
					 own->times.minority_grace_ms);
	else if (unreleased || stale)
		block_until(own, now_ms + own->times.grace_ms);
	own->lapsed = stale;
	own->view = *view;
	own->adopted_ms = now_ms;
	own->acquired = false;
	remove_departed(own);
	return true;
}

void ffl_ownership_on_report(ffl_ownership_t *own, uint64_t member,
			     const ffl_ownership_report_t *report,
			     uint64_t now_ms)
{
	ffl_ownership_peer_t *p = get_peer(own, member);

	if (report->stamp_ms < p->stamp_ms)
		return;
	p->stamp_ms = report->stamp_ms;
	p->proof_ms = MAX(p->proof_ms, report->echo_ms);
	p->view = report->view;
	p->log_fresh = report->log_fresh;
	p->settled = report->settled;
	p->established = report->established;
	p->released |= report->released;
	if (report->view != own->view.hash)
		return;
	if (report->log_fresh)
		own->view_proven_ms = MAX(own->view_proven_ms, report->echo_ms);
	if (!own->acquired && report->blocked_ms)
		block_until(own, now_ms + report->blocked_ms);
}

ffl_ownership_report_t ffl_ownership_report(const ffl_ownership_t *own,
					    uint64_t member, bool settled,
					    bool released, uint64_t now_ms)
{
	const ffl_ownership_peer_t *p = find_peer(own, member);
	ffl_ownership_report_t report = { .stamp_ms = now_ms,
					  .view = own->view.hash,
					  .settled = settled,
					  .released = released };

	report.echo_ms = p ? p->stamp_ms : 0;
	report.established = own->established;
	report.log_fresh = log_is_fresh(own, now_ms);
	if (now_ms < own->blocked_until_ms)
		report.blocked_ms = (uint32_t)(own->blocked_until_ms - now_ms);
	return report;
}

/* Counts the members that recently had this view, including this host. */
static uint32_t count_agreeing(const ffl_ownership_t *own, uint64_t now_ms)
{
	uint32_t n = 1;

	for (guint i = 0; i < own->peers->len; i++) {
		const ffl_ownership_peer_t *p =
			&g_array_index(own->peers, ffl_ownership_peer_t, i);

		if (p->view == own->view.hash &&
		    is_recent(own, p->proof_ms, now_ms))
			n++;
	}
	return n;
}

static bool has_majority(const ffl_ownership_t *own, uint64_t now_ms)
{
	return 2 * count_agreeing(own, now_ms) > own->view.count;
}

/*
 * No view changes during a log outage, but a host cannot tell an outage from
 * a partition that only cuts itself off. If a majority has the same view, no
 * other majority can have adopted a newer one. The limit on the outage covers
 * the remaining case: a minority with a newer view waits that long before it
 * acquires anything.
 */
bool ffl_ownership_valid(const ffl_ownership_t *own, uint64_t now_ms)
{
	if (!ffl_view_has(&own->view, own->self))
		return false;
	if (is_recent(own, own->view_proven_ms, now_ms))
		return true;
	for (guint i = 0; i < own->peers->len; i++) {
		const ffl_ownership_peer_t *p =
			&g_array_index(own->peers, ffl_ownership_peer_t, i);

		if (p->log_fresh && p->view != own->view.hash)
			return false;
	}
	return has_majority(own, now_ms) &&
	       now_ms - own->view_proven_ms <= own->times.max_outage_ms;
}

/* Members that have all just started cannot know what earlier members still
 * use, so at least one must be established. */
static bool all_settled(const ffl_ownership_t *own, uint64_t now_ms)
{
	bool established = own->established;

	for (uint32_t i = 0; i < own->view.count; i++) {
		uint64_t member = own->view.members[i];
		const ffl_ownership_peer_t *p = find_peer(own, member);

		if (member == own->self)
			continue;
		if (!p || p->view != own->view.hash ||
		    !(p->settled || p->released))
			return false;
		established |= p->established;
	}
	return established;
}

bool ffl_ownership_try_acquire(ffl_ownership_t *own, uint64_t now_ms)
{
	uint64_t wait_ms = own->times.grace_ms;

	if (own->acquired || !ffl_view_has(&own->view, own->self))
		return false;
	if (!has_majority(own, now_ms))
		wait_ms += own->times.minority_grace_ms;
	if (!all_settled(own, now_ms) && now_ms < own->adopted_ms + wait_ms)
		return false;
	if (now_ms < own->blocked_until_ms)
		return false;
	own->acquired = true;
	own->established = true;
	return true;
}
