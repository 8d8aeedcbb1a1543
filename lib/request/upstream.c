#include <string.h>

#include "fireflyledge/upstream.h"

/** Largest percentage of the listed instances that may be ejected at a time. */
#define EJECT_SHARE_PERCENT 30
#define EJECT_DOUBLINGS_MAX 5
/** Adaptive limit in 1/1000 attempts: one more per success, 3/4 of it after
 * a refusal or failure. */
#define LIMIT_ONE_MILLI	  1000
#define LIMIT_CUT_NUM	  3
#define LIMIT_CUT_DEN	  4
#define LATENCY_SHIFT	  3
#define HTTP_SERVER_FAULT 500

/** Health of an instance, from the end of an attempt. */
typedef enum {
	HEALTH_NONE, /**< cancelled, as the caller has left */
	HEALTH_GOOD,
	HEALTH_BUSY,   /**< refused: alive, but at its limit */
	HEALTH_FAILED, /**< connection error, time-out or server error */
	HEALTH__MAX
} health_t;

static gint compare_upstreams(gconstpointer a, gconstpointer b);
static uint64_t owned_slots(const ffl_upstream_t *u,
			    const ffl_ownership_t *own);
static bool is_unused(const ffl_upstream_t *u);
static uint32_t attempt_limit(const ffl_upstream_t *u);
static uint32_t expected_ms(const ffl_upstream_t *u);
static health_t health_of(const ffl_ev_upstream_done_t *done);
static bool may_eject(const ffl_upstreams_t *us, uint64_t now_ms);
static void record_failure(ffl_upstreams_t *us, ffl_upstream_t *u,
			   uint64_t now_ms);

void ffl_upstreams_init(ffl_upstreams_t *us, const char *region,
			const ffl_ejection_t *eject)
{
	memset(us, 0, sizeof(*us));
	us->items = g_array_new(FALSE, TRUE, sizeof(ffl_upstream_t));
	us->eject = *eject;
	ffl_copy(us->region, sizeof(us->region), region);
}

void ffl_upstreams_finish(ffl_upstreams_t *us)
{
	g_array_free(us->items, TRUE);
}

static gint compare_upstreams(gconstpointer a, gconstpointer b)
{
	return strcmp(((const ffl_upstream_t *)a)->info.name,
		      ((const ffl_upstream_t *)b)->info.name);
}

ffl_upstream_t *ffl_upstreams_find(const ffl_upstreams_t *us, const char *name)
{
	guint low = 0;
	guint high = us->items->len;

	while (low < high) {
		guint mid = (low + high) / 2;
		ffl_upstream_t *u =
			&g_array_index(us->items, ffl_upstream_t, mid);
		int order = strcmp(name, u->info.name);

		if (order == 0)
			return u;
		if (order < 0)
			high = mid;
		else
			low = mid + 1;
	}
	return NULL;
}

/* An attempt takes a slot and a connection, so the lesser number counts. */
static uint64_t owned_slots(const ffl_upstream_t *u, const ffl_ownership_t *own)
{
	uint64_t name = ffl_hash(u->info.name, strlen(u->info.name), 0);
	uint64_t region = ffl_hash(u->info.region, strlen(u->info.region), 0);
	uint32_t slots = MIN(u->info.slots, u->info.connections);

	return ffl_view_owned_slots(&own->view, name, region,
				    MIN(slots, FFL_UPSTREAM_SLOTS_MAX),
				    own->self);
}

void ffl_upstreams_assign_slots(ffl_upstreams_t *us, const ffl_ownership_t *own)
{
	for (guint i = 0; i < us->items->len; i++) {
		ffl_upstream_t *u =
			&g_array_index(us->items, ffl_upstream_t, i);
		uint64_t mask = owned_slots(u, own);

		if (own->acquired)
			u->slots_mask = mask;
		else if (own->lapsed)
			u->slots_mask = 0;
		else
			u->slots_mask &= mask;
	}
}

static bool is_unused(const ffl_upstream_t *u)
{
	return !u->listed && !u->in_flight;
}

void ffl_upstreams_on_list(ffl_upstreams_t *us, const ffl_host_list_t *list,
			   const ffl_ownership_t *own)
{
	const ffl_host_info_t *infos = list->hosts.items;

	for (guint i = 0; i < us->items->len; i++)
		g_array_index(us->items, ffl_upstream_t, i).listed = false;
	for (uint32_t i = 0; i < list->hosts.count; i++) {
		ffl_upstream_t fresh = { .limit_milli = LIMIT_ONE_MILLI };
		ffl_upstream_t *u;

		if (infos[i].kind != FFL_HOST_UPSTREAM)
			continue;
		u = ffl_upstreams_find(us, infos[i].name);
		if (!u) {
			g_array_append_val(us->items, fresh);
			u = &g_array_index(us->items, ffl_upstream_t,
					   us->items->len - 1);
		}
		u->info = infos[i];
		u->listed = true;
		u->local = strcmp(u->info.region, us->region) == 0;
		if (u == &g_array_index(us->items, ffl_upstream_t,
					us->items->len - 1))
			g_array_sort(us->items, compare_upstreams);
	}
	for (guint i = us->items->len; i-- > 0;) {
		if (is_unused(&g_array_index(us->items, ffl_upstream_t, i)))
			g_array_remove_index(us->items, i);
	}
	ffl_upstreams_assign_slots(us, own);
}

bool ffl_upstreams_within_slots(const ffl_upstreams_t *us)
{
	for (guint i = 0; i < us->items->len; i++) {
		const ffl_upstream_t *u =
			&g_array_index(us->items, ffl_upstream_t, i);

		if (u->in_flight >
		    (uint32_t)__builtin_popcountll(u->slots_mask))
			return false;
	}
	return true;
}

static uint32_t attempt_limit(const ffl_upstream_t *u)
{
	uint32_t share = (uint32_t)__builtin_popcountll(u->slots_mask);

	return MIN(share, u->limit_milli / LIMIT_ONE_MILLI);
}

bool ffl_upstream_has_capacity(const ffl_upstream_t *u, uint64_t now_ms)
{
	return u->listed && !u->drained && !u->info.leaving &&
	       now_ms >= u->ejected_until_ms && u->in_flight < attempt_limit(u);
}

uint32_t ffl_upstreams_usable_slots(const ffl_upstreams_t *us, uint64_t now_ms)
{
	uint32_t n = 0;

	for (guint i = 0; i < us->items->len; i++) {
		const ffl_upstream_t *u =
			&g_array_index(us->items, ffl_upstream_t, i);

		if (u->listed && !u->drained && !u->info.leaving &&
		    now_ms >= u->ejected_until_ms)
			n += attempt_limit(u);
	}
	return n;
}

ffl_upstream_t *ffl_upstreams_pick_round_robin(ffl_upstreams_t *us,
					       const char *except, bool remote,
					       uint64_t now_ms)
{
	for (guint n = 0; n < us->items->len; n++) {
		guint i = (us->next + n) % us->items->len;
		ffl_upstream_t *u =
			&g_array_index(us->items, ffl_upstream_t, i);

		if (u->local == remote ||
		    !ffl_upstream_has_capacity(u, now_ms) ||
		    strcmp(u->info.name, except) == 0)
			continue;
		us->next = i + 1;
		return u;
	}
	return NULL;
}

/* Estimates the time until one more attempt would end; less is better. */
static uint32_t expected_ms(const ffl_upstream_t *u)
{
	uint32_t slots = (uint32_t)__builtin_popcountll(u->slots_mask);

	return (u->latency_ms + 1) * (u->in_flight + 1) / MAX(slots, 1);
}

ffl_upstream_t *ffl_upstreams_pick_two_choices(ffl_upstreams_t *us,
					       const char *except, bool remote,
					       ffl_rng_t *rng, uint64_t now_ms)
{
	ffl_upstream_t *picked[2] = { NULL, NULL };
	uint32_t seen = 0;

	for (guint i = 0; i < us->items->len; i++) {
		ffl_upstream_t *u =
			&g_array_index(us->items, ffl_upstream_t, i);
		uint64_t at;

		if (u->local == remote ||
		    !ffl_upstream_has_capacity(u, now_ms) ||
		    strcmp(u->info.name, except) == 0)
			continue;
		at = seen < 2 ? seen : ffl_rng_below(rng, seen + 1);
		if (at < 2)
			picked[at] = u;
		seen++;
	}
	if (!picked[1])
		return picked[0];
	return expected_ms(picked[1]) < expected_ms(picked[0]) ? picked[1]
							       : picked[0];
}

void ffl_upstream_attempt_started(ffl_upstream_t *u)
{
	u->in_flight++;
}

static health_t health_of(const ffl_ev_upstream_done_t *done)
{
	switch (done->outcome) {
	case FFL_UP_OK:
		return done->http_status >= HTTP_SERVER_FAULT ? HEALTH_FAILED
							      : HEALTH_GOOD;
	case FFL_UP_REFUSED:
		return HEALTH_BUSY;
	case FFL_UP_CANCELLED:
		return HEALTH_NONE;
	default:
		return HEALTH_FAILED;
	}
}

static bool may_eject(const ffl_upstreams_t *us, uint64_t now_ms)
{
	uint32_t listed = 0;
	uint32_t ejected = 0;

	for (guint i = 0; i < us->items->len; i++) {
		const ffl_upstream_t *u =
			&g_array_index(us->items, ffl_upstream_t, i);

		listed += u->listed;
		ejected += u->listed && now_ms < u->ejected_until_ms;
	}
	return (ejected + 1) * 100 <= listed * EJECT_SHARE_PERCENT ||
	       (!ejected && listed > 1);
}

static void record_failure(ffl_upstreams_t *us, ffl_upstream_t *u,
			   uint64_t now_ms)
{
	uint32_t doublings = MIN(u->ejections, EJECT_DOUBLINGS_MAX);

	u->failures++;
	if (u->failures < us->eject.failures || now_ms < u->ejected_until_ms ||
	    !may_eject(us, now_ms))
		return;
	u->ejected_until_ms =
		now_ms + ((uint64_t)us->eject.first_ms << doublings);
	u->ejections++;
	u->limit_milli = LIMIT_ONE_MILLI;
}

void ffl_upstreams_attempt_ended(ffl_upstreams_t *us, ffl_upstream_t *u,
				 const ffl_ev_upstream_done_t *done,
				 uint64_t now_ms)
{
	uint32_t cut = u->limit_milli / LIMIT_CUT_DEN * LIMIT_CUT_NUM;

	if (u->in_flight)
		u->in_flight--;
	switch (health_of(done)) {
	case HEALTH_GOOD:
		u->failures = 0;
		u->ejections = 0;
		u->limit_milli = MIN(u->limit_milli + LIMIT_ONE_MILLI,
				     FFL_UPSTREAM_SLOTS_MAX * LIMIT_ONE_MILLI);
		if (!u->latency_ms)
			u->latency_ms = done->elapsed_ms;
		u->latency_ms += (done->elapsed_ms >> LATENCY_SHIFT) -
				 (u->latency_ms >> LATENCY_SHIFT);
		break;
	case HEALTH_BUSY:
		u->limit_milli = MAX(cut, LIMIT_ONE_MILLI);
		break;
	case HEALTH_FAILED:
		u->limit_milli = MAX(cut, LIMIT_ONE_MILLI);
		record_failure(us, u, now_ms);
		break;
	default:
		break;
	}
}
