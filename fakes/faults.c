#include "fakes/faults.h"

/** Interval between checks for expired faults. */
#define SLICE_MS 200
/** Share of the messages between hosts that FAULT_PEER_LOSS drops. */
#define LOSS_PERCENT 20
/** One fault affects fewer commands or replies than this. */
#define MESSAGES_MAX 16

static void set_fault(world_t *w, fault_kind_t kind, uint32_t arg, uint32_t ms,
		      bool on);
static void set_link_cut(world_t *w, fault_kind_t kind, uint32_t arg, bool on);
static void inject_once(world_t *w, fault_kind_t kind, uint32_t arg,
			uint32_t ms);
static void end_expired(faults_t *f, uint64_t now_ms);

static const char *const names[FAULT__MAX] = {
	[FAULT_FREEZE] = "freeze",     [FAULT_WORKER_CUT] = "worker-cut",
	[FAULT_OUTAGE] = "outage",     [FAULT_LOG_CUT] = "log-cut",
	[FAULT_PEER_CUT] = "peer-cut", [FAULT_ISOLATE] = "alone",
	[FAULT_PEER_LOSS] = "loss",    [FAULT_LEAVE] = "leave",
	[FAULT_UNLIST] = "unlist",     [FAULT_PAUSE] = "pause",
	[FAULT_KILL] = "kill",	       [FAULT_RESTART] = "restart",
	[FAULT_LOSE_REPLIES] = "lose", [FAULT_DELAY_COMMANDS] = "slow",
	[FAULT_STOP] = "stop",
};

const char *fault_name(uint32_t kind)
{
	return kind < FAULT__MAX ? names[kind] : "?";
}

void faults_init(faults_t *f, world_t *w, gang_watch_t *watch)
{
	f->w = w;
	f->watch = watch;
	f->on = g_array_new(FALSE, TRUE, sizeof(fault_t));
}

void faults_finish(faults_t *f)
{
	g_array_free(f->on, TRUE);
}

static void set_link_cut(world_t *w, fault_kind_t kind, uint32_t arg, bool on)
{
	world_host_t *h = &w->hosts[arg % w->host_count];
	uint32_t target = arg / w->host_count;

	if (kind == FAULT_WORKER_CUT)
		h->worker_cut[target % w->worker_count] = on;
	else if (kind == FAULT_PEER_CUT)
		h->peer_cut[target % w->host_count] = on;
	else if (kind == FAULT_LOG_CUT)
		h->log_cut = on;
	else
		h->cut = on;
}

/* Faults that happen once; nothing has to be undone when they end_expired. */
static void inject_once(world_t *w, fault_kind_t kind, uint32_t arg,
			uint32_t ms)
{
	uint32_t host = arg % w->host_count;

	if (kind == FAULT_PAUSE)
		world_pause(w, host, ms);
	else if (kind == FAULT_KILL)
		world_start(w, host);
	else if (kind == FAULT_STOP)
		world_stop(w, host);
	else if (kind == FAULT_RESTART)
		fake_worker_restart(&w->workers[arg % w->worker_count]);
	else if (kind == FAULT_LOSE_REPLIES)
		w->lose_replies = arg % MESSAGES_MAX;
	else if (kind == FAULT_DELAY_COMMANDS)
		w->delayed_commands = arg % MESSAGES_MAX;
	if (kind == FAULT_DELAY_COMMANDS)
		w->slow_ms = ms;
}

static void set_fault(world_t *w, fault_kind_t kind, uint32_t arg, uint32_t ms,
		      bool on)
{
	uint32_t worker = arg % w->worker_count;

	switch (kind) {
	case FAULT_FREEZE:
		w->worker_frozen[worker] = on;
		break;
	case FAULT_LEAVE:
		world_set_worker_leaving(w, worker, on);
		break;
	case FAULT_UNLIST:
		w->worker_unlisted[worker] = on;
		break;
	case FAULT_OUTAGE:
		w->log.down = on;
		break;
	case FAULT_PEER_LOSS:
		w->drop_peer_percent = on ? LOSS_PERCENT : 0;
		break;
	case FAULT_WORKER_CUT:
	case FAULT_LOG_CUT:
	case FAULT_PEER_CUT:
	case FAULT_ISOLATE:
		set_link_cut(w, kind, arg, on);
		break;
	case FAULT_STOP:
		if (on)
			inject_once(w, kind, arg, ms);
		else
			world_start(w, arg % w->host_count);
		break;
	default:
		if (on)
			inject_once(w, kind, arg, ms);
		break;
	}
}

void faults_add(faults_t *f, fault_kind_t kind, uint32_t arg, uint32_t ms)
{
	fault_t fault = { kind, arg, f->w->now_ms + ms };

	set_fault(f->w, kind, arg, ms, true);
	g_array_append_val(f->on, fault);
}

static void end_expired(faults_t *f, uint64_t now_ms)
{
	for (guint i = f->on->len; i-- > 0;) {
		fault_t fault = g_array_index(f->on, fault_t, i);

		if (fault.until_ms > now_ms)
			continue;
		g_array_remove_index(f->on, i);
		set_fault(f->w, fault.kind, fault.arg, 0, false);
	}
}

void faults_run(faults_t *f, uint32_t ms)
{
	uint64_t end_ms = f->w->now_ms + ms;

	while (f->w->now_ms < end_ms && !f->watch->violation) {
		gang_watch_run(f->watch, f->w, SLICE_MS);
		end_expired(f, f->w->now_ms);
	}
}

void faults_clear(faults_t *f)
{
	f->w->lose_replies = 0;
	f->w->delayed_commands = 0;
	end_expired(f, UINT64_MAX);
}
