#include "fireflyledge/port.h"

typedef void (*dispatch_fn_t)(const ffl_port_t *port, void *self,
			      const ffl_action_t *act);

static void do_log_read(const ffl_port_t *port, void *self,
			const ffl_action_t *act);
static void do_log_append(const ffl_port_t *port, void *self,
			  const ffl_action_t *act);
static void do_hosts_read(const ffl_port_t *port, void *self,
			  const ffl_action_t *act);
static void do_worker_send(const ffl_port_t *port, void *self,
			   const ffl_action_t *act);
static void do_peer_send(const ffl_port_t *port, void *self,
			 const ffl_action_t *act);
static void do_answer(const ffl_port_t *port, void *self,
		      const ffl_action_t *act);
static void do_forward(const ffl_port_t *port, void *self,
		       const ffl_action_t *act);
static void do_finish(const ffl_port_t *port, void *self,
		      const ffl_action_t *act);
static void do_ready(const ffl_port_t *port, void *self,
		     const ffl_action_t *act);
static void do_report(const ffl_port_t *port, void *self,
		      const ffl_action_t *act);
static void do_exit(const ffl_port_t *port, void *self,
		    const ffl_action_t *act);

static const dispatch_fn_t dispatchers[FFL_ACT__MAX] = {
	[FFL_ACT_LOG_READ] = do_log_read,
	[FFL_ACT_LOG_APPEND] = do_log_append,
	[FFL_ACT_HOSTS_READ] = do_hosts_read,
	[FFL_ACT_WORKER_SEND] = do_worker_send,
	[FFL_ACT_PEER_SEND] = do_peer_send,
	[FFL_ACT_ANSWER] = do_answer,
	[FFL_ACT_FORWARD] = do_forward,
	[FFL_ACT_FINISH] = do_finish,
	[FFL_ACT_READY] = do_ready,
	[FFL_ACT_REPORT] = do_report,
	[FFL_ACT_EXIT] = do_exit,
};

static void do_log_read(const ffl_port_t *port, void *self,
			const ffl_action_t *act)
{
	port->log_read(self, &act->log_read);
}

static void do_log_append(const ffl_port_t *port, void *self,
			  const ffl_action_t *act)
{
	port->log_append(self, &act->log_append);
}

static void do_hosts_read(const ffl_port_t *port, void *self,
			  const ffl_action_t *act)
{
	port->hosts_read(self, &act->hosts_read);
}

static void do_worker_send(const ffl_port_t *port, void *self,
			   const ffl_action_t *act)
{
	port->worker_send(self, &act->worker_send);
}

static void do_peer_send(const ffl_port_t *port, void *self,
			 const ffl_action_t *act)
{
	port->peer_send(self, &act->peer_send);
}

static void do_answer(const ffl_port_t *port, void *self,
		      const ffl_action_t *act)
{
	port->answer(self, &act->answer);
}

static void do_forward(const ffl_port_t *port, void *self,
		       const ffl_action_t *act)
{
	port->forward(self, &act->forward);
}

static void do_finish(const ffl_port_t *port, void *self,
		      const ffl_action_t *act)
{
	port->finish(self, act->finish);
}

static void do_ready(const ffl_port_t *port, void *self,
		     const ffl_action_t *act)
{
	port->ready(self, act->ready);
}

static void do_report(const ffl_port_t *port, void *self,
		      const ffl_action_t *act)
{
	port->report(self, &act->report);
}

static void do_exit(const ffl_port_t *port, void *self, const ffl_action_t *act)
{
	port->exit(self);
}

void ffl_port_dispatch(const ffl_port_t *port, void *self,
		       const ffl_actions_t *actions)
{
	for (uint32_t i = 0; i < ffl_actions_count(actions); i++) {
		const ffl_action_t *act = ffl_actions_at(actions, i);

		dispatchers[act->kind](port, self, act);
	}
}
