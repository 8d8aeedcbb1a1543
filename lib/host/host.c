/**
 * @file host.c
 * @brief Dispatch of events to the parts of a host, and planned stop.
 */
#include <string.h>

#include "fireflyledge/host.h"
#include "lib/host/host_int.h"

/** First offset of a log that was never trimmed. */
#define LOG_FIRST_OFFSET 1
/** Longest drain, and longest wait for the leave record, of a planned stop, in
 * ms. */
#define STOP_DRAIN_DEFAULT_MS 30000
#define STOP_LEAVE_MS	      3000

/** Parts of a host that run after an event; see run_parts(). */
#define RUN_MEMBERS  (1U << 0)
#define RUN_GANGS    (1U << 1)
#define RUN_REQUESTS (1U << 2)
#define RUN_STOP     (1U << 3)
#define RUN_LOG	     (1U << 4)
#define RUN_ALL	     UINT32_MAX

/** Handles one kind of event. */
typedef void (*event_handler_t)(ffl_host_t *h, const ffl_event_t *ev,
				uint64_t now_ms, ffl_actions_t *out);

static void on_tick(ffl_host_t *h, const ffl_event_t *ev, uint64_t now_ms,
		    ffl_actions_t *out);
static void on_log_read(ffl_host_t *h, const ffl_event_t *ev, uint64_t now_ms,
			ffl_actions_t *out);
static void on_log_appended(ffl_host_t *h, const ffl_event_t *ev,
			    uint64_t now_ms, ffl_actions_t *out);
static void on_host_list(ffl_host_t *h, const ffl_event_t *ev, uint64_t now_ms,
			 ffl_actions_t *out);
static void on_worker_reply(ffl_host_t *h, const ffl_event_t *ev,
			    uint64_t now_ms, ffl_actions_t *out);
static void on_peer(ffl_host_t *h, const ffl_event_t *ev, uint64_t now_ms,
		    ffl_actions_t *out);
static void on_heartbeat(ffl_host_t *h, const ffl_peer_msg_t *msg,
			 uint64_t now_ms, ffl_actions_t *out);
static void on_peer_request(ffl_host_t *h, const ffl_peer_msg_t *msg,
			    uint64_t now_ms, ffl_actions_t *out);
static void update_membership(ffl_host_t *h, uint64_t now_ms);
static void on_command(ffl_host_t *h, const ffl_event_t *ev, uint64_t now_ms,
		       ffl_actions_t *out);
static void on_request(ffl_host_t *h, const ffl_event_t *ev, uint64_t now_ms,
		       ffl_actions_t *out);
static void on_request_gone(ffl_host_t *h, const ffl_event_t *ev,
			    uint64_t now_ms, ffl_actions_t *out);
static void on_upstream_done(ffl_host_t *h, const ffl_event_t *ev,
			     uint64_t now_ms, ffl_actions_t *out);
static void on_stop(ffl_host_t *h, const ffl_event_t *ev, uint64_t now_ms,
		    ffl_actions_t *out);
static void report_skipped_record(ffl_host_t *h, uint64_t offset,
				  const ffl_record_t *rec,
				  ffl_fold_result_t result, ffl_actions_t *out);
static void apply_config(ffl_host_t *h);
static void fold_entry(ffl_host_t *h, const ffl_log_entry_t *e, uint64_t now_ms,
		       ffl_actions_t *out);
static void fold_record(ffl_host_t *h, uint64_t offset, const ffl_record_t *rec,
			uint64_t now_ms, ffl_actions_t *out);
static void run_parts(ffl_host_t *h, uint32_t parts, uint64_t now_ms,
		      ffl_actions_t *out);
static bool drain_ended(ffl_host_t *h, uint64_t spent_ms, ffl_actions_t *out);
static void run_stop(ffl_host_t *h, uint64_t now_ms, ffl_actions_t *out);
static void on_settings(ffl_host_t *h, const ffl_event_t *ev, uint64_t now_ms,
			ffl_actions_t *out);
static bool bodies_read(const ffl_host_t *h, uint64_t spent_ms);
static uint32_t drain_limit_ms(const ffl_host_t *h);
static void set_ready(ffl_host_t *h, bool ready, ffl_actions_t *out);

static const event_handler_t event_handlers[FFL_EV__MAX] = {
	[FFL_EV_TICK] = on_tick,
	[FFL_EV_LOG_READ] = on_log_read,
	[FFL_EV_LOG_APPENDED] = on_log_appended,
	[FFL_EV_HOST_LIST] = on_host_list,
	[FFL_EV_WORKER_REPLY] = on_worker_reply,
	[FFL_EV_PEER] = on_peer,
	[FFL_EV_COMMAND] = on_command,
	[FFL_EV_REQUEST] = on_request,
	[FFL_EV_REQUEST_GONE] = on_request_gone,
	[FFL_EV_UPSTREAM_DONE] = on_upstream_done,
	[FFL_EV_STOP] = on_stop,
	[FFL_EV_SETTINGS] = on_settings,
};

/* Request events skip the parts that iterate over jobs and members, so that no
 * request pays for them. */
static const uint32_t event_parts[FFL_EV__MAX] = {
	[FFL_EV_TICK] = RUN_ALL,
	[FFL_EV_SETTINGS] = RUN_ALL,
	[FFL_EV_LOG_READ] = RUN_ALL,
	[FFL_EV_LOG_APPENDED] = RUN_LOG,
	[FFL_EV_HOST_LIST] = RUN_GANGS | RUN_REQUESTS,
	[FFL_EV_WORKER_REPLY] = RUN_GANGS | RUN_LOG,
	[FFL_EV_PEER] = RUN_MEMBERS | RUN_REQUESTS,
	[FFL_EV_COMMAND] = RUN_LOG,
	[FFL_EV_REQUEST] = RUN_REQUESTS,
	[FFL_EV_REQUEST_GONE] = RUN_REQUESTS,
	[FFL_EV_UPSTREAM_DONE] = RUN_REQUESTS,
	[FFL_EV_STOP] = RUN_ALL,
};

/** Handles one kind of peer message. */
typedef void (*peer_handler_t)(ffl_host_t *h, const ffl_peer_msg_t *msg,
			       uint64_t now_ms, ffl_actions_t *out);

static const peer_handler_t peer_handlers[FFL_PEER__MAX] = {
	[FFL_PEER_HEARTBEAT] = on_heartbeat,
	[FFL_PEER_STATE_ASK] = ffl_restore_on_state_request,
	[FFL_PEER_STATE] = ffl_restore_on_state_part,
	[FFL_PEER_ONCE_ASK] = on_peer_request,
	[FFL_PEER_ONCE_TELL] = on_peer_request,
	[FFL_PEER_ONCE_DONE] = on_peer_request,
	[FFL_PEER_HANDOVER] = on_peer_request,
	[FFL_PEER_LOAD] = on_peer_request,
};

static const ffl_counter_t skip_counters[FFL_FOLD__MAX] = {
	[FFL_FOLD_DUPLICATE] = FFL_CTR_RECORDS_DUPLICATE,
	[FFL_FOLD_LATE] = FFL_CTR_RECORDS_LATE,
	[FFL_FOLD_FOREIGN] = FFL_CTR_RECORDS_FOREIGN,
	[FFL_FOLD_UNDECODABLE] = FFL_CTR_RECORDS_UNDECODABLE,
	[FFL_FOLD_UNKNOWN] = FFL_CTR_RECORDS_UNKNOWN,
};

void ffl_host_init(ffl_host_t *h, const ffl_host_options_t *opt,
		   ffl_counters_t *counters)
{
	const ffl_request_self_t self = { opt->self.member, opt->cluster,
					  opt->seed, opt->self.region };

	memset(h, 0, sizeof(*h));
	h->opt = *opt;
	h->counters = counters;
	ffl_logc_init(&h->logc, opt->cluster, opt->self.member, opt->seed);
	ffl_config_init(&h->config);
	ffl_members_init(&h->members, &opt->self, &opt->times);
	ffl_hostlist_init(&h->hostlist, opt->poll_hosts_ms);
	ffl_fleet_init(&h->fleet);
	ffl_gangs_init(&h->gangs, opt->times.lease_ms);
	ffl_sched_init(&h->sched, opt->self.dc);
	ffl_requests_init(&h->requests, &opt->limits, &self, &h->members);
	h->logc.wall_offset_ms = opt->wall_offset_ms;
	ffl_fold_init(&h->fold, opt->cluster);
	ffl_snapshots_init(&h->snapshots);
	ffl_restore_init(&h->restore);
	h->waiters = g_array_new(FALSE, TRUE, sizeof(ffl_waiter_t));
	ffl_arena_init(&h->scratch);
}

void ffl_host_finish(ffl_host_t *h)
{
	ffl_arena_finish(&h->scratch);
	g_array_free(h->waiters, TRUE);
	ffl_restore_finish(&h->restore);
	ffl_snapshots_finish(&h->snapshots);
	ffl_fold_finish(&h->fold);
	ffl_requests_finish(&h->requests);
	ffl_sched_finish(&h->sched);
	ffl_gangs_finish(&h->gangs);
	ffl_fleet_finish(&h->fleet);
	ffl_hostlist_finish(&h->hostlist);
	ffl_members_finish(&h->members);
	ffl_config_finish(&h->config);
	ffl_logc_finish(&h->logc);
}

/* Counts a skipped record. Reports only the first, second, fourth, eighth ...
 * of each reason, to bound the log lines. */
static void report_skipped_record(ffl_host_t *h, uint64_t offset,
				  const ffl_record_t *rec,
				  ffl_fold_result_t result, ffl_actions_t *out)
{
	uint64_t n = h->fold.counts[result];

	ffl_counter_add(h->counters, skip_counters[result], 1);
	if (result == FFL_FOLD_DUPLICATE)
		return;
	ffl_counter_add(h->counters, FFL_CTR_RECORDS_SKIPPED, 1);
	if (result == FFL_FOLD_UNKNOWN && rec->kind <= FFL_REC_CONFIRM)
		ffl_config_set_unreadable(&h->config, offset);
	if ((n & (n - 1)) == 0)
		ffl_actions_report(out, FFL_LEVEL_WARNING, "record-skipped",
				   ffl_fold_result_name(result),
				   "record %llu; %llu skipped for this reason",
				   (unsigned long long)offset,
				   (unsigned long long)n);
}

static void fold_record(ffl_host_t *h, uint64_t offset, const ffl_record_t *rec,
			uint64_t now_ms, ffl_actions_t *out)
{
	ffl_confirm_result_t verdict;

	switch (rec->kind) {
	case FFL_REC_INTENT:
		ffl_config_apply_intent(&h->config, offset, rec);
		ffl_host_on_intent(h, offset, rec, out);
		break;
	case FFL_REC_CONFIRM:
		verdict = ffl_config_apply_confirm(&h->config, offset, rec);
		h->config_changed = true;
		ffl_host_on_verdict(h, rec, &verdict, out);
		break;
	case FFL_REC_SNAPSHOT:
		ffl_host_on_snapshot_part(h, offset, rec, now_ms, out);
		break;
	default:
		if (rec->kind == FFL_REC_JOIN && !h->first_member &&
		    !h->log_trimmed)
			h->first_member = rec->join.member;
		ffl_gangs_fold(&h->gangs, &h->members, offset, rec, now_ms);
		ffl_members_fold(&h->members, offset, rec, now_ms);
		ffl_host_on_record(h, offset, rec, out);
		break;
	}
}

static void fold_entry(ffl_host_t *h, const ffl_log_entry_t *e, uint64_t now_ms,
		       ffl_actions_t *out)
{
	ffl_fold_result_t result;
	ffl_record_t rec;

	if (e->offset != h->logc.next_offset)
		return;
	h->logc.next_offset = e->offset + 1;
	ffl_arena_reset(&h->scratch);
	result = ffl_fold_record(&h->fold, e->offset, e->data, &rec,
				 &h->scratch);
	if (result <= FFL_FOLD_DUPLICATE && rec.writer == h->logc.writer)
		ffl_logc_on_own_record(&h->logc, rec.kind, rec.seq);
	if (result != FFL_FOLD_TAKEN) {
		report_skipped_record(h, e->offset, &rec, result, out);
		return;
	}
	ffl_counter_add(h->counters, FFL_CTR_RECORDS_FOLDED, 1);
	fold_record(h, e->offset, &rec, now_ms, out);
}

/* Applies a changed configuration to workers and requests. Called once per log
 * read rather than once per record, because it iterates over the fleet. */
static void apply_config(ffl_host_t *h)
{
	if (!h->config_changed)
		return;
	h->config_changed = false;
	ffl_fleet_on_config(&h->fleet, &h->config);
	ffl_requests_on_config(&h->requests, &h->config);
}

static void on_tick(ffl_host_t *h, const ffl_event_t *ev, uint64_t now_ms,
		    ffl_actions_t *out)
{
	h->reading = ev->tick.unread_bodies;
	ffl_host_expire_waiters(h, now_ms, out);
}

/* Updates the shares of limits and the homes of keys, which depend on the
 * members. The member list is complete only once the log has been read to its
 * end. */
static void update_membership(ffl_host_t *h, uint64_t now_ms)
{
	if (h->caught_up)
		ffl_requests_on_members(&h->requests,
					h->first_member == h->opt.self.member,
					now_ms);
}

static void on_log_read(ffl_host_t *h, const ffl_event_t *ev, uint64_t now_ms,
			ffl_actions_t *out)
{
	const ffl_ev_log_read_t *r = &ev->log_read;
	ffl_read_result_t result = ffl_logc_check_read(&h->logc, r);

	bool accepted = result == FFL_READ_TAKEN || result == FFL_READ_GAP;

	if (result == FFL_READ_STALE || result == FFL_READ_GAP)
		ffl_counter_add(h->counters, FFL_CTR_READS_REFUSED, 1);
	h->log_trimmed |= accepted && r->first > LOG_FIRST_OFFSET;
	if (accepted && ffl_host_restoring(h)) {
		ffl_restore_scan_entries(h, r, now_ms, out);
	} else if (accepted) {
		for (uint32_t i = 0; i < r->count; i++)
			fold_entry(h, &r->entries[i], now_ms, out);
		h->caught_up |= result == FFL_READ_TAKEN &&
				h->logc.next_offset >= r->end;
		update_membership(h, now_ms);
	}
	apply_config(h);
	ffl_logc_on_read(&h->logc, r, result, now_ms);
	ffl_restore_start_if_trimmed(h, r, result, out);
	if (!ffl_host_restoring(h))
		ffl_requests_on_log_read(&h->requests, h->logc.caught_up_ms);
	ffl_counter_set(h->counters, FFL_CTR_LOG_OFFSET, h->logc.next_offset);
	ffl_counter_set(h->counters, FFL_CTR_REVISION, h->config.revision);
}

static void on_log_appended(ffl_host_t *h, const ffl_event_t *ev,
			    uint64_t now_ms, ffl_actions_t *out)
{
	if (ev->log_appended.status == FFL_UNKNOWN)
		ffl_counter_add(h->counters, FFL_CTR_APPENDS_UNKNOWN, 1);
	ffl_logc_on_appended(&h->logc, &ev->log_appended, now_ms);
}

static void on_host_list(ffl_host_t *h, const ffl_event_t *ev, uint64_t now_ms,
			 ffl_actions_t *out)
{
	ffl_host_list_t full;

	if (ffl_hostlist_apply(&h->hostlist, &ev->host_list, now_ms, &full) !=
	    FFL_OK)
		return;
	ffl_restore_on_host_list(h, &full);
	ffl_fleet_on_host_list(&h->fleet, &full, now_ms);
	ffl_gangs_on_host_list(&h->gangs, now_ms);
	ffl_fleet_on_config(&h->fleet, &h->config);
	ffl_requests_on_host_list(&h->requests, &full, now_ms);
	ffl_requests_on_config(&h->requests, &h->config);
}

static void on_worker_reply(ffl_host_t *h, const ffl_event_t *ev,
			    uint64_t now_ms, ffl_actions_t *out)
{
	ffl_gangs_on_reply(&h->gangs, &h->fleet, &h->members, &ev->worker_reply,
			   now_ms, out);
}

static void on_heartbeat(ffl_host_t *h, const ffl_peer_msg_t *msg,
			 uint64_t now_ms, ffl_actions_t *out)
{
	ffl_members_on_peer(&h->members, msg, now_ms);
	if (msg->heartbeat.next_offset > h->restore.peer_offset_max)
		h->restore.peer_offset_max = msg->heartbeat.next_offset;
	if (msg->heartbeat.revision > h->peer_revision_max)
		h->peer_revision_max = msg->heartbeat.revision;
}

static void on_peer_request(ffl_host_t *h, const ffl_peer_msg_t *msg,
			    uint64_t now_ms, ffl_actions_t *out)
{
	ffl_requests_on_peer(&h->requests, msg, now_ms, out);
}

static void on_peer(ffl_host_t *h, const ffl_event_t *ev, uint64_t now_ms,
		    ffl_actions_t *out)
{
	if (ev->peer.head.cluster != h->opt.cluster) {
		ffl_counter_add(h->counters, FFL_CTR_FRAMES_DROPPED, 1);
		return;
	}
	if (peer_handlers[ev->peer.head.kind])
		peer_handlers[ev->peer.head.kind](h, &ev->peer, now_ms, out);
}

static void on_command(ffl_host_t *h, const ffl_event_t *ev, uint64_t now_ms,
		       ffl_actions_t *out)
{
	ffl_host_command(h, &ev->command, now_ms, out);
}

static void on_request(ffl_host_t *h, const ffl_event_t *ev, uint64_t now_ms,
		       ffl_actions_t *out)
{
	ffl_counter_add(h->counters, FFL_CTR_REQUESTS, 1);
	ffl_requests_on_request(&h->requests, &ev->request, &h->config, now_ms,
				out);
}

static void on_request_gone(ffl_host_t *h, const ffl_event_t *ev,
			    uint64_t now_ms, ffl_actions_t *out)
{
	ffl_requests_on_caller_gone(&h->requests, ev->request_gone, out);
}

static void on_upstream_done(ffl_host_t *h, const ffl_event_t *ev,
			     uint64_t now_ms, ffl_actions_t *out)
{
	ffl_requests_on_upstream_done(&h->requests, &ev->upstream_done, now_ms,
				      out);
}

static void on_stop(ffl_host_t *h, const ffl_event_t *ev, uint64_t now_ms,
		    ffl_actions_t *out)
{
	if (h->stop == FFL_STOP_NONE) {
		h->stop = FFL_STOP_UNREADY;
		h->stop_ms = now_ms;
		set_ready(h, false, out);
		return;
	}
	if (h->stop == FFL_STOP_DONE)
		return;
	ffl_actions_report(out, FFL_LEVEL_WARNING, "stop-hurried",
			   h->opt.self.name, "%u requests were cut",
			   g_hash_table_size(h->requests.by_id));
	h->stop = FFL_STOP_DONE;
	ffl_actions_add(out, FFL_ACT_EXIT);
}

static void on_settings(ffl_host_t *h, const ffl_event_t *ev, uint64_t now_ms,
			ffl_actions_t *out)
{
	const ffl_ev_settings_t *s = &ev->settings;

	h->opt.stop_delay_ms = s->stop_delay_ms;
	h->opt.stop_drain_ms = s->stop_drain_ms;
	h->requests.limits.queue_max = s->queue_max;
	h->requests.limits.default_timeout_ms = s->timeout_ms;
	h->requests.limits.max_timeout_ms = s->max_timeout_ms;
	h->requests.limits.attempts_max = s->attempts_max;
	h->requests.limits.eject_failures = s->eject_failures;
	h->requests.limits.eject_ms = s->eject_ms;
	ffl_actions_report(out, FFL_LEVEL_NOTE, "settings-read",
			   h->opt.self.name, "%s", "live settings applied");
}

static void set_ready(ffl_host_t *h, bool ready, ffl_actions_t *out)
{
	if (h->ready == ready)
		return;
	h->ready = ready;
	ffl_actions_add(out, FFL_ACT_READY)->ready = ready;
}

static uint32_t drain_limit_ms(const ffl_host_t *h)
{
	return h->opt.stop_drain_ms ? h->opt.stop_drain_ms
				    : STOP_DRAIN_DEFAULT_MS;
}

/* Returns true once the delay is over and no request body is being received, so
 * that the drain refuses none half-way. The wait for bodies is bounded. */
static bool bodies_read(const ffl_host_t *h, uint64_t spent_ms)
{
	if (spent_ms < h->opt.stop_delay_ms)
		return false;
	return !h->reading ||
	       spent_ms - h->opt.stop_delay_ms > drain_limit_ms(h);
}

/* Returns true once no request is open or the longest drain is over. */
static bool drain_ended(ffl_host_t *h, uint64_t spent_ms, ffl_actions_t *out)
{
	if (ffl_requests_idle(&h->requests))
		return true;
	if (spent_ms <= drain_limit_ms(h))
		return false;
	ffl_actions_report(out, FFL_LEVEL_WARNING, "stop-drain-ended",
			   h->opt.self.name, "%u requests were cut",
			   g_hash_table_size(h->requests.by_id));
	return true;
}

static void run_stop(ffl_host_t *h, uint64_t now_ms, ffl_actions_t *out)
{
	uint64_t spent_ms = now_ms - h->stop_ms;

	if (h->stop == FFL_STOP_UNREADY && bodies_read(h, spent_ms)) {
		h->stop = FFL_STOP_DRAINING;
		h->stop_ms = now_ms;
		spent_ms = 0;
		ffl_requests_stop(&h->requests);
	}
	if (h->stop == FFL_STOP_DRAINING && drain_ended(h, spent_ms, out)) {
		h->stop = FFL_STOP_LEAVING;
		h->stop_ms = now_ms;
		ffl_members_start_leave(&h->members, &h->logc);
		return;
	}
	if (h->stop == FFL_STOP_LEAVING &&
	    (ffl_logc_idle(&h->logc) || spent_ms > STOP_LEAVE_MS)) {
		h->stop = FFL_STOP_DONE;
		ffl_actions_add(out, FFL_ACT_EXIT);
	}
}

static void run_parts(ffl_host_t *h, uint32_t parts, uint64_t now_ms,
		      ffl_actions_t *out)
{
	if ((parts & RUN_MEMBERS) && h->caught_up)
		ffl_members_run(&h->members, &h->logc, h->config.revision,
				h->opt.cluster, now_ms, out);
	if ((parts & RUN_GANGS) && h->caught_up)
		ffl_gangs_run(&h->gangs, &h->fleet, &h->members, &h->config,
			      &h->sched, &h->logc, now_ms, out);
	h->logc.sharing_hosts = h->members.members->len;
	if (parts & RUN_REQUESTS)
		ffl_requests_run(&h->requests, now_ms, out);
	if (parts & RUN_LOG)
		ffl_hostlist_poll(&h->hostlist, now_ms, out);
	if (parts & RUN_STOP) {
		set_ready(h, h->caught_up && h->stop == FFL_STOP_NONE, out);
		run_stop(h, now_ms, out);
	}
	if ((parts & RUN_MEMBERS) && (parts & RUN_LOG)) {
		ffl_restore_request_state(h, now_ms, out);
		ffl_host_write_snapshot(h, now_ms, out);
	}
	if (parts & RUN_LOG)
		ffl_logc_run(&h->logc, now_ms, out);
}

void ffl_host_step(ffl_host_t *h, const ffl_event_t *ev, uint64_t now_ms,
		   ffl_actions_t *out)
{
	uint32_t before = ffl_actions_count(out);

	if (ev->kind >= FFL_EV__MAX || h->stop == FFL_STOP_DONE)
		return;
	ffl_counter_add(h->counters, FFL_CTR_EVENTS, 1);
	event_handlers[ev->kind](h, ev, now_ms, out);
	run_parts(h, event_parts[ev->kind], now_ms, out);
	ffl_counter_add(h->counters, FFL_CTR_ACTIONS,
			ffl_actions_count(out) - before);
}
