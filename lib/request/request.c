#include <string.h>

#include "fireflyledge/request.h"

static gint compare_upstreams(gconstpointer a, gconstpointer b);
static ffl_upstream_t *find_upstream(ffl_requests_t *rs, const char *name);
static guint req_hash(gconstpointer p);
static gboolean req_equal(gconstpointer a, gconstpointer b);
static ffl_req_t *find_req(ffl_requests_t *rs, uint64_t id);
static void refuse(ffl_actions_t *out, uint64_t id, uint32_t http_status,
		   const char *type, const char *detail, ffl_ran_t ran);
static uint32_t share_of(const ffl_requests_t *rs, const ffl_upstream_t *u);
static ffl_upstream_t *choose(ffl_requests_t *rs, const ffl_req_t *req,
			      uint64_t now_ms);
static void forward(ffl_requests_t *rs, ffl_req_t *req, ffl_upstream_t *u,
		    uint64_t now_ms, ffl_actions_t *out);
static void drop(ffl_requests_t *rs, ffl_req_t *req);
static void note_outcome(ffl_requests_t *rs, ffl_upstream_t *u,
			 ffl_up_outcome_t outcome, uint64_t now_ms);

void ffl_requests_init(ffl_requests_t *rs, const ffl_request_limits_t *limits,
		       const char *region)
{
	memset(rs, 0, sizeof(*rs));
	rs->limits = *limits;
	ffl_copy(rs->region, sizeof(rs->region), region);
	rs->upstreams = g_array_new(FALSE, TRUE, sizeof(ffl_upstream_t));
	g_queue_init(&rs->queue);
	rs->by_id = g_hash_table_new_full(req_hash, req_equal, g_free, NULL);
	rs->entry_hosts = 1;
}

void ffl_requests_finish(ffl_requests_t *rs)
{
	g_queue_clear(&rs->queue);
	g_hash_table_destroy(rs->by_id);
	g_array_free(rs->upstreams, TRUE);
}

static guint req_hash(gconstpointer p)
{
	return (guint)ffl_mix(((const ffl_req_t *)p)->id, 0);
}

static gboolean req_equal(gconstpointer a, gconstpointer b)
{
	return ((const ffl_req_t *)a)->id == ((const ffl_req_t *)b)->id;
}

static ffl_req_t *find_req(ffl_requests_t *rs, uint64_t id)
{
	ffl_req_t probe = { .id = id };

	return g_hash_table_lookup(rs->by_id, &probe);
}

static gint compare_upstreams(gconstpointer a, gconstpointer b)
{
	return strcmp(((const ffl_upstream_t *)a)->info.name,
		      ((const ffl_upstream_t *)b)->info.name);
}

static ffl_upstream_t *find_upstream(ffl_requests_t *rs, const char *name)
{
	for (guint i = 0; i < rs->upstreams->len; i++) {
		ffl_upstream_t *u =
			&g_array_index(rs->upstreams, ffl_upstream_t, i);

		if (strcmp(u->info.name, name) == 0)
			return u;
	}
	return NULL;
}

void ffl_requests_on_list(ffl_requests_t *rs, const ffl_host_list_t *list)
{
	const ffl_host_info_t *infos = list->hosts.items;

	for (guint i = 0; i < rs->upstreams->len; i++)
		g_array_index(rs->upstreams, ffl_upstream_t, i).listed = false;
	for (uint32_t i = 0; i < list->hosts.count; i++) {
		ffl_upstream_t *u;

		if (infos[i].kind != FFL_HOST_UPSTREAM)
			continue;
		u = find_upstream(rs, infos[i].name);
		if (u) {
			u->info = infos[i];
			u->listed = true;
		} else {
			ffl_upstream_t fresh = { .listed = true };

			fresh.info = infos[i];
			g_array_append_val(rs->upstreams, fresh);
		}
	}
	g_array_sort(rs->upstreams, compare_upstreams);
}

void ffl_requests_on_config(ffl_requests_t *rs, const ffl_config_t *cfg)
{
	for (guint i = 0; i < rs->upstreams->len; i++) {
		ffl_upstream_t *u =
			&g_array_index(rs->upstreams, ffl_upstream_t, i);

		u->drained = ffl_config_drained(cfg, u->info.name);
	}
}

static void refuse(ffl_actions_t *out, uint64_t id, uint32_t http_status,
		   const char *type, const char *detail, ffl_ran_t ran)
{
	ffl_problem_t p = { .http_status = http_status,
			    .type = type,
			    .title = "request refused",
			    .detail = detail,
			    .ran = ran,
			    .retry_after_ms = http_status == 503 ? 1000 : 0 };

	ffl_actions_problem(out, id, &p);
}

void ffl_requests_on_request(ffl_requests_t *rs, const ffl_ev_request_t *ev,
			     const ffl_config_t *cfg, uint64_t now_ms,
			     ffl_actions_t *out)
{
	const ffl_customer_t *customer = ffl_config_customer_of(cfg, ev->token);
	uint32_t timeout =
		ev->timeout_ms ? ev->timeout_ms : rs->limits.default_timeout_ms;
	ffl_req_t *req;

	if (!customer) {
		refuse(out, ev->id, 401, "unknown-token",
		       "the token belongs to no customer", FFL_RAN_NO);
		return;
	}
	if (rs->stopping || rs->queue.length >= rs->limits.queue_max) {
		refuse(out, ev->id, 503, "overloaded",
		       "the queue of this host is full", FFL_RAN_NO);
		return;
	}
	if (timeout > rs->limits.max_timeout_ms)
		timeout = rs->limits.max_timeout_ms;
	req = g_new0(ffl_req_t, 1);
	req->id = ev->id;
	req->urgency = ev->urgency;
	req->repeatable = ev->repeatable;
	req->queued_ms = now_ms;
	req->deadline_ms = now_ms + timeout;
	ffl_copy(req->customer, sizeof(req->customer), customer->name);
	ffl_copy(req->caller, sizeof(req->caller), ev->caller);
	ffl_copy(req->key, sizeof(req->key), ev->key);
	g_hash_table_add(rs->by_id, req);
	g_queue_push_tail(&rs->queue, req);
}

static uint32_t share_of(const ffl_requests_t *rs, const ffl_upstream_t *u)
{
	uint32_t share = u->info.slots / rs->entry_hosts;

	return share ? share : 1;
}

/* Round robin, the own region first, never the instance that just failed. */
static ffl_upstream_t *choose(ffl_requests_t *rs, const ffl_req_t *req,
			      uint64_t now_ms)
{
	ffl_upstream_t *remote = NULL;

	for (guint n = 0; n < rs->upstreams->len; n++) {
		guint i = (rs->next_upstream + n) % rs->upstreams->len;
		ffl_upstream_t *u =
			&g_array_index(rs->upstreams, ffl_upstream_t, i);

		if (!u->listed || u->drained || u->info.leaving ||
		    now_ms < u->ejected_until_ms ||
		    u->in_flight >= share_of(rs, u) ||
		    strcmp(u->info.name, req->upstream) == 0)
			continue;
		if (strcmp(u->info.region, rs->region) == 0) {
			rs->next_upstream = i + 1;
			return u;
		}
		if (!remote)
			remote = u;
	}
	return remote;
}

static void forward(ffl_requests_t *rs, ffl_req_t *req, ffl_upstream_t *u,
		    uint64_t now_ms, ffl_actions_t *out)
{
	ffl_action_t *act = ffl_actions_add(out, FFL_ACT_FORWARD);

	req->state = FFL_REQ_FORWARDED;
	req->attempt++;
	u->in_flight++;
	ffl_copy(req->upstream, sizeof(req->upstream), u->info.name);
	act->forward.id = req->id;
	act->forward.attempt = req->attempt;
	act->forward.timeout_ms = (uint32_t)(req->deadline_ms - now_ms);
	act->forward.keep_answer = req->key[0] != '\0';
	ffl_copy(act->forward.upstream, sizeof(act->forward.upstream),
		 u->info.name);
	ffl_copy(act->forward.addr, sizeof(act->forward.addr), u->info.addr);
}

static void drop(ffl_requests_t *rs, ffl_req_t *req)
{
	g_hash_table_remove(rs->by_id, req);
}

void ffl_requests_on_gone(ffl_requests_t *rs, uint64_t id, ffl_actions_t *out)
{
	ffl_req_t *req = find_req(rs, id);

	if (!req || req->state != FFL_REQ_QUEUED)
		return;
	g_queue_remove(&rs->queue, req);
	drop(rs, req);
	ffl_actions_add(out, FFL_ACT_FINISH)->finish = id;
}

static void note_outcome(ffl_requests_t *rs, ffl_upstream_t *u,
			 ffl_up_outcome_t outcome, uint64_t now_ms)
{
	if (!u)
		return;
	if (u->in_flight)
		u->in_flight--;
	if (outcome == FFL_UP_OK) {
		u->failures = 0;
		return;
	}
	if (outcome == FFL_UP_CANCELLED)
		return;
	u->failures++;
	if (u->failures >= rs->limits.eject_failures)
		u->ejected_until_ms = now_ms + rs->limits.eject_ms;
}

void ffl_requests_on_done(ffl_requests_t *rs, const ffl_ev_upstream_done_t *ev,
			  uint64_t now_ms, ffl_actions_t *out)
{
	ffl_req_t *req = find_req(rs, ev->id);
	bool certain =
		ev->outcome == FFL_UP_NOT_SENT || ev->outcome == FFL_UP_REFUSED;

	if (!req || ev->attempt != req->attempt)
		return;
	note_outcome(rs, find_upstream(rs, req->upstream), ev->outcome, now_ms);
	if (ev->outcome == FFL_UP_OK || ev->outcome == FFL_UP_CANCELLED ||
	    ev->relayed) {
		ffl_actions_add(out, FFL_ACT_FINISH)->finish = req->id;
		drop(rs, req);
		return;
	}
	if ((certain || req->repeatable) &&
	    req->attempt < rs->limits.attempts_max &&
	    now_ms < req->deadline_ms) {
		req->state = FFL_REQ_QUEUED;
		g_queue_push_head(&rs->queue, req);
		return;
	}
	refuse(out, req->id, certain ? 503 : 502, "upstream-failed",
	       ffl_up_outcome_name(ev->outcome),
	       certain ? FFL_RAN_NO : FFL_RAN_UNKNOWN);
	drop(rs, req);
}

void ffl_requests_run(ffl_requests_t *rs, uint64_t now_ms, ffl_actions_t *out)
{
	GList *l = rs->queue.head;
	GList *next;

	for (; l; l = next) {
		ffl_req_t *req = l->data;
		ffl_upstream_t *u;

		next = l->next;
		if (now_ms >= req->deadline_ms) {
			g_queue_delete_link(&rs->queue, l);
			refuse(out, req->id, 503, "too-late",
			       "the deadline passed in the queue", FFL_RAN_NO);
			drop(rs, req);
			continue;
		}
		u = choose(rs, req, now_ms);
		if (!u)
			continue;
		g_queue_delete_link(&rs->queue, l);
		forward(rs, req, u, now_ms, out);
	}
}

void ffl_requests_stop(ffl_requests_t *rs)
{
	rs->stopping = true;
}

bool ffl_requests_idle(const ffl_requests_t *rs)
{
	return g_hash_table_size(rs->by_id) == 0;
}
