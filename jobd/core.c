#include <time.h>

#include "jobd/jobd.h"

/** Time between looks at what is due. */
#define TICK_MS 50
/** Least time between two after events: half of the time that an append to
 * the log takes at the least. */
#define GATHER_MS 4
#define MS_PER_S  1000
#define NS_PER_MS 1000000
#define US_PER_MS 1000

typedef void (*act_fn_t)(jobd_t *d, const ffl_node_act_t *act);

static void do_ready(jobd_t *d, const ffl_node_act_t *act);
static void do_note(jobd_t *d, const ffl_node_act_t *act);
static void do_measure(jobd_t *d, const ffl_node_act_t *act);
static void do_exit(jobd_t *d, const ffl_node_act_t *act);
static void carry_out(jobd_t *d, const GArray *acts);
static void take(jobd_t *d, jobd_box_t *box, GArray *acts);
static void drive(jobd_t *d, uint64_t now_ms, GArray *acts);
static uint64_t wall_ms(void);

static const act_fn_t doers[FFL_NODE_ACT__MAX] = {
	[FFL_NODE_ACT_READ] = jobd_client_store,
	[FFL_NODE_ACT_NEWEST] = jobd_client_store,
	[FFL_NODE_ACT_APPEND] = jobd_client_store,
	[FFL_NODE_ACT_ORDER] = jobd_client_order,
	[FFL_NODE_ACT_ANSWER] = jobd_web_answer,
	[FFL_NODE_ACT_READY] = do_ready,
	[FFL_NODE_ACT_NOTE] = do_note,
	[FFL_NODE_ACT_MEASURE] = do_measure,
	[FFL_NODE_ACT_EXIT] = do_exit,
};

uint64_t jobd_now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (uint64_t)ts.tv_sec * MS_PER_S +
	       (uint64_t)ts.tv_nsec / NS_PER_MS;
}

jobd_box_t *jobd_box_new(ffl_node_event_kind_t kind)
{
	jobd_box_t *box = g_new0(jobd_box_t, 1);

	box->ev.kind = kind;
	box->posted_ms = jobd_now_ms();
	ffl_arena_init(&box->arena);
	return box;
}

void jobd_box_free(jobd_box_t *box)
{
	if (box->ev.kind == FFL_NODE_EV_STORE)
		ffl_pf_store_finish(&box->ev.store);
	if (box->ev.kind == FFL_NODE_EV_REQUEST && box->ev.request.spec) {
		ffl_flow_spec_finish(box->ev.request.spec);
		g_free(box->ev.request.spec);
	}
	if (box->body)
		g_byte_array_unref(box->body);
	ffl_arena_finish(&box->arena);
	g_free(box);
}

bool jobd_post(jobd_t *d, jobd_box_t *box)
{
	if (ffl_ring_push(&d->events, box))
		return true;
	jobd_box_free(box);
	return false;
}

void jobd_post_sure(jobd_t *d, jobd_box_t *box)
{
	struct timespec pause = { 0, NS_PER_MS };

	while (!ffl_ring_push(&d->events, box)) {
		if (atomic_load(&d->exiting)) {
			jobd_box_free(box);
			return;
		}
		nanosleep(&pause, NULL);
	}
}

static void do_ready(jobd_t *d, const ffl_node_act_t *act)
{
	atomic_store(&d->ready, act->ready);
}

static void do_note(jobd_t *d, const ffl_node_act_t *act)
{
	jobd_metrics_count(act->note.event);
	jobd_line(act->note.event, act->note.subject, act->note.text);
}

static void do_measure(jobd_t *d, const ffl_node_act_t *act)
{
	static const jobd_hist_t hists[FFL_LATENCY__MAX] = {
		[FFL_LATENCY_ACCEPT] = JOBD_HIST_ACCEPT,
		[FFL_LATENCY_QUEUE_PRIORITY_0] = JOBD_HIST_QUEUE_FIRST,
		[FFL_LATENCY_QUEUE_PRIORITY_1] = JOBD_HIST_QUEUE_SECOND,
		[FFL_LATENCY_QUEUE_OTHER] = JOBD_HIST_QUEUE_OTHER,
		[FFL_LATENCY_RUNNING] = JOBD_HIST_RUNNING,
		[FFL_LATENCY_TAKEOVER] = JOBD_HIST_TAKEOVER,
	};

	jobd_hist_add(hists[act->measure.what], act->measure.ms);
}

static void do_exit(jobd_t *d, const ffl_node_act_t *act)
{
	atomic_store(&d->exiting, true);
}

static void carry_out(jobd_t *d, const GArray *acts)
{
	for (guint i = 0; i < acts->len; i++) {
		const ffl_node_act_t *act =
			&g_array_index(acts, ffl_node_act_t, i);

		doers[act->kind](d, act);
	}
}

static void take(jobd_t *d, jobd_box_t *box, GArray *acts)
{
	jobd_load_event(box->posted_ms);
	box->ev.now_ms = jobd_now_ms();
	box->ev.wall_ms = wall_ms();
	ffl_node_take(&d->node, &box->ev, acts);
	carry_out(d, acts);
	jobd_box_free(box);
}

static void drive(jobd_t *d, uint64_t now_ms, GArray *acts)
{
	ffl_node_drive(&d->node, now_ms, wall_ms(), acts);
	carry_out(d, acts);
	jobd_load_drive(&d->node);
}

static uint64_t wall_ms(void)
{
	return (uint64_t)(g_get_real_time() / US_PER_MS);
}

/* Events that come close together share a look at what is due. */
void jobd_core_run(jobd_t *d)
{
	GArray *acts = g_array_new(FALSE, TRUE, sizeof(ffl_node_act_t));
	uint64_t driven_ms = 0;
	uint64_t ticked_ms = 0;
	uint32_t wait_ms = TICK_MS;

	while (!atomic_load(&d->exiting)) {
		jobd_box_t *box = ffl_ring_pop(&d->events, wait_ms);
		uint64_t since_us = jobd_now_us();
		uint64_t now_ms;

		if (box)
			take(d, box, acts);
		now_ms = jobd_now_ms();
		wait_ms = TICK_MS;
		if (box && now_ms - driven_ms < GATHER_MS) {
			wait_ms = (uint32_t)(driven_ms + GATHER_MS - now_ms);
		} else {
			drive(d, now_ms, acts);
			driven_ms = now_ms;
		}
		if (now_ms - ticked_ms >= TICK_MS) {
			jobd_metrics_take(&d->node);
			ticked_ms = now_ms;
		}
		jobd_load_busy(JOBD_DUTY_CORE, since_us);
	}
	ffl_node_acts_clear(acts);
	g_array_free(acts, TRUE);
}
