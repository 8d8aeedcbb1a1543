#include "daemon/daemon.h"

static void set_ready(void *self, bool ready);
static void log_report(void *self, const ffl_act_report_t *act);
static void request_exit(void *self);

static const ffl_port_t port = {
	.log_read = ffld_client_log_read,
	.log_append = ffld_client_log_append,
	.hosts_read = ffld_client_hosts_read,
	.worker_send = ffld_client_worker_send,
	.peer_send = ffld_peers_send,
	.answer = ffld_web_answer,
	.forward = ffld_web_forward,
	.finish = ffld_web_finish,
	.ready = set_ready,
	.report = log_report,
	.exit = request_exit,
};

static void set_ready(void *self, bool ready)
{
	ffld_t *d = self;

	atomic_store(&d->ready, ready);
	ffld_log(FFL_LEVEL_NOTE, ready ? "ready" : "unready", d->settings.name,
		 "");
}

static void log_report(void *self, const ffl_act_report_t *act)
{
	ffld_log(act->level, act->event, act->subject, act->text);
}

static void request_exit(void *self)
{
	ffld_t *d = self;

	atomic_store(&d->exiting, true);
}

void ffld_core_run(ffld_t *d)
{
	ffl_event_t tick = { .kind = FFL_EV_TICK };
	ffl_actions_t actions;
	uint64_t ticked_ms = 0;

	ffl_actions_init(&actions);
	while (!atomic_load(&d->exiting)) {
		ffl_box_t *box = ffl_ring_pop(&d->events, FFL_TICK_MS);
		uint64_t now = ffld_now_ms();

		ffl_actions_reset(&actions);
		if (now - ticked_ms >= FFL_TICK_MS) {
			tick.tick.unread_bodies =
				atomic_load(&d->requests_unprocessed);
			ffl_host_step(&d->host, &tick, now, &actions);
			ticked_ms = now;
		}
		if (box) {
			ffl_host_step(&d->host, &box->ev, now, &actions);
			if (box->ev.kind == FFL_EV_REQUEST)
				atomic_fetch_sub(&d->requests_unprocessed, 1);
			ffl_box_free(box);
		}
		/* Publish before dispatching the answers: a caller that sees a
		 * change confirmed finds it in force. */
		ffld_tokens_publish(&d->host.config, d->host.opt.seed);
		ffl_port_dispatch(&port, d, &actions);
	}
	ffl_actions_finish(&actions);
}
