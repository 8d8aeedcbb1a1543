/**
 * @file core.c
 * @brief The core thread: passes events to the node and runs its actions.
 */
#include <time.h>

#include "jobd/jobd.h"

/** Longest time between two calls of ffl_node_drive(), and the interval at
 * which the metrics are updated. */
#define TICK_MS 50
/** Shortest time between two such calls while events arrive: half of the
 * shortest time that an append to the log takes. */
#define DRIVE_INTERVAL_MIN_MS 4
#define MS_PER_S	      1000
#define NS_PER_MS	      1000000
#define US_PER_MS	      1000

typedef void (*action_fn_t)(jobd_t *d, const ffl_node_act_t *act);

static void set_ready(jobd_t *d, const ffl_node_act_t *act);
static void log_note(jobd_t *d, const ffl_node_act_t *act);
static void observe_latency(jobd_t *d, const ffl_node_act_t *act);
static void request_exit(jobd_t *d, const ffl_node_act_t *act);
static void run_actions(jobd_t *d, const GArray *actions);
static void process_event(jobd_t *d, jobd_event_t *event, GArray *actions);
static void drive_node(jobd_t *d, uint64_t now_ms, GArray *actions);
static uint64_t wall_clock_ms(void);

static const action_fn_t handlers[FFL_NODE_ACT__MAX] = {
	[FFL_NODE_ACT_READ] = jobd_client_send_store,
	[FFL_NODE_ACT_NEWEST] = jobd_client_send_store,
	[FFL_NODE_ACT_APPEND] = jobd_client_send_store,
	[FFL_NODE_ACT_ORDER] = jobd_client_send_order,
	[FFL_NODE_ACT_RESPOND] = jobd_web_respond,
	[FFL_NODE_ACT_READY] = set_ready,
	[FFL_NODE_ACT_NOTE] = log_note,
	[FFL_NODE_ACT_MEASURE] = observe_latency,
	[FFL_NODE_ACT_EXIT] = request_exit,
	[FFL_NODE_ACT_EXPLAIN] = jobd_web_explain,
};

uint64_t jobd_boottime_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (uint64_t)ts.tv_sec * MS_PER_S +
	       (uint64_t)ts.tv_nsec / NS_PER_MS;
}

jobd_event_t *jobd_event_new(ffl_node_event_kind_t kind)
{
	jobd_event_t *event = g_new0(jobd_event_t, 1);

	event->ev.kind = kind;
	event->posted_ms = jobd_boottime_ms();
	ffl_arena_init(&event->arena);
	return event;
}

void jobd_event_free(jobd_event_t *event)
{
	if (event->ev.kind == FFL_NODE_EV_STORE)
		ffl_pf_store_reply_finish(&event->ev.store);
	if ((event->ev.kind == FFL_NODE_EV_REQUEST ||
	     event->ev.kind == FFL_NODE_EV_EXPLAIN) &&
	    event->ev.request.spec) {
		ffl_flow_spec_finish(event->ev.request.spec);
		g_free(event->ev.request.spec);
	}
	if (event->body)
		g_byte_array_unref(event->body);
	ffl_arena_finish(&event->arena);
	g_free(event);
}

bool jobd_event_post(jobd_t *d, jobd_event_t *event)
{
	if (ffl_ring_push(&d->events, event))
		return true;
	jobd_event_free(event);
	return false;
}

void jobd_event_post_wait(jobd_t *d, jobd_event_t *event)
{
	struct timespec pause = { 0, NS_PER_MS };

	while (!ffl_ring_push(&d->events, event)) {
		if (atomic_load(&d->exiting)) {
			jobd_event_free(event);
			return;
		}
		nanosleep(&pause, NULL);
	}
}

static void set_ready(jobd_t *d, const ffl_node_act_t *act)
{
	atomic_store(&d->ready, act->ready);
}

static void log_note(jobd_t *d, const ffl_node_act_t *act)
{
	jobd_metrics_count_event(act->note.event);
	jobd_line(act->note.event, act->note.subject, act->note.text);
}

static void observe_latency(jobd_t *d, const ffl_node_act_t *act)
{
	static const jobd_hist_t kinds[FFL_LATENCY__MAX] = {
		[FFL_LATENCY_ACCEPT] = JOBD_HIST_ACCEPT,
		[FFL_LATENCY_QUEUE_PRIORITY_0] = JOBD_HIST_QUEUE_FIRST,
		[FFL_LATENCY_QUEUE_PRIORITY_1] = JOBD_HIST_QUEUE_SECOND,
		[FFL_LATENCY_QUEUE_OTHER] = JOBD_HIST_QUEUE_OTHER,
		[FFL_LATENCY_RUNNING] = JOBD_HIST_RUNNING,
		[FFL_LATENCY_TAKEOVER] = JOBD_HIST_TAKEOVER,
	};

	jobd_hist_add(kinds[act->measure.what], act->measure.ms);
}

static void request_exit(jobd_t *d, const ffl_node_act_t *act)
{
	atomic_store(&d->exiting, true);
}

static void run_actions(jobd_t *d, const GArray *actions)
{
	for (guint i = 0; i < actions->len; i++) {
		const ffl_node_act_t *act =
			&g_array_index(actions, ffl_node_act_t, i);

		handlers[act->kind](d, act);
	}
}

static void process_event(jobd_t *d, jobd_event_t *event, GArray *actions)
{
	jobd_load_count_event(event->posted_ms);
	event->ev.now_ms = jobd_boottime_ms();
	event->ev.wall_ms = wall_clock_ms();
	ffl_node_handle(&d->node, &event->ev, actions);
	run_actions(d, actions);
	jobd_event_free(event);
}

static void drive_node(jobd_t *d, uint64_t now_ms, GArray *actions)
{
	ffl_node_drive(&d->node, now_ms, wall_clock_ms(), actions);
	run_actions(d, actions);
	jobd_load_count_drive(&d->node);
}

static uint64_t wall_clock_ms(void)
{
	return (uint64_t)(g_get_real_time() / US_PER_MS);
}

/* Calls ffl_node_drive() once for events that arrive close together, since its
 * cost grows with jobs, runs and workers. */
void jobd_core_run(jobd_t *d)
{
	GArray *actions = g_array_new(FALSE, TRUE, sizeof(ffl_node_act_t));
	uint64_t driven_ms = 0;
	uint64_t ticked_ms = 0;
	uint32_t wait_ms = TICK_MS;

	while (!atomic_load(&d->exiting)) {
		jobd_event_t *event = ffl_ring_pop(&d->events, wait_ms);
		uint64_t since_us = jobd_monotonic_us();
		uint64_t now_ms;

		if (event)
			process_event(d, event, actions);
		now_ms = jobd_boottime_ms();
		wait_ms = TICK_MS;
		if (event && now_ms - driven_ms < DRIVE_INTERVAL_MIN_MS) {
			wait_ms = (uint32_t)(driven_ms + DRIVE_INTERVAL_MIN_MS -
					     now_ms);
		} else {
			drive_node(d, now_ms, actions);
			driven_ms = now_ms;
		}
		if (now_ms - ticked_ms >= TICK_MS) {
			jobd_metrics_update(&d->node);
			ticked_ms = now_ms;
		}
		jobd_load_add_busy(JOBD_THREAD_CORE, since_us);
	}
	ffl_node_acts_clear(actions);
	g_array_free(actions, TRUE);
}
