/**
 * @file port.c
 * @brief Dispatch of actions to a port's functions.
 */
#include "fireflyledge/port.h"

/** Calls the port's function for an action. */
typedef void (*call_fn_t)(const ffl_port_t *port, void *self,
			  const ffl_action_t *act);

static void call_log_read(const ffl_port_t *port, void *self,
			  const ffl_action_t *act);
static void call_log_append(const ffl_port_t *port, void *self,
			    const ffl_action_t *act);
static void call_hosts_read(const ffl_port_t *port, void *self,
			    const ffl_action_t *act);
static void call_worker_send(const ffl_port_t *port, void *self,
			     const ffl_action_t *act);
static void call_peer_send(const ffl_port_t *port, void *self,
			   const ffl_action_t *act);
static void call_answer(const ffl_port_t *port, void *self,
			const ffl_action_t *act);
static void call_forward(const ffl_port_t *port, void *self,
			 const ffl_action_t *act);
static void call_finish(const ffl_port_t *port, void *self,
			const ffl_action_t *act);
static void call_ready(const ffl_port_t *port, void *self,
		       const ffl_action_t *act);
static void call_report(const ffl_port_t *port, void *self,
			const ffl_action_t *act);
static void call_exit(const ffl_port_t *port, void *self,
		      const ffl_action_t *act);

static const call_fn_t call_fns[FFL_ACT__MAX] = {
	[FFL_ACT_LOG_READ] = call_log_read,
	[FFL_ACT_LOG_APPEND] = call_log_append,
	[FFL_ACT_HOSTS_READ] = call_hosts_read,
	[FFL_ACT_WORKER_SEND] = call_worker_send,
	[FFL_ACT_PEER_SEND] = call_peer_send,
	[FFL_ACT_ANSWER] = call_answer,
	[FFL_ACT_FORWARD] = call_forward,
	[FFL_ACT_FINISH] = call_finish,
	[FFL_ACT_READY] = call_ready,
	[FFL_ACT_REPORT] = call_report,
	[FFL_ACT_EXIT] = call_exit,
};

static void call_log_read(const ffl_port_t *port, void *self,
			  const ffl_action_t *act)
{
	port->log_read(self, &act->log_read);
}

static void call_log_append(const ffl_port_t *port, void *self,
			    const ffl_action_t *act)
{
	port->log_append(self, &act->log_append);
}

static void call_hosts_read(const ffl_port_t *port, void *self,
			    const ffl_action_t *act)
{
	port->hosts_read(self, &act->hosts_read);
}

static void call_worker_send(const ffl_port_t *port, void *self,
			     const ffl_action_t *act)
{
	port->worker_send(self, &act->worker_send);
}

static void call_peer_send(const ffl_port_t *port, void *self,
			   const ffl_action_t *act)
{
	port->peer_send(self, &act->peer_send);
}

static void call_answer(const ffl_port_t *port, void *self,
			const ffl_action_t *act)
{
	port->answer(self, &act->answer);
}

static void call_forward(const ffl_port_t *port, void *self,
			 const ffl_action_t *act)
{
	port->forward(self, &act->forward);
}

static void call_finish(const ffl_port_t *port, void *self,
			const ffl_action_t *act)
{
	port->finish(self, act->finish);
}

static void call_ready(const ffl_port_t *port, void *self,
		       const ffl_action_t *act)
{
	port->ready(self, act->ready);
}

static void call_report(const ffl_port_t *port, void *self,
			const ffl_action_t *act)
{
	port->report(self, &act->report);
}

static void call_exit(const ffl_port_t *port, void *self,
		      const ffl_action_t *act)
{
	port->exit(self);
}

void ffl_port_dispatch(const ffl_port_t *port, void *self,
		       const ffl_actions_t *actions)
{
	for (uint32_t i = 0; i < ffl_actions_count(actions); i++) {
		const ffl_action_t *act = ffl_actions_at(actions, i);

		call_fns[act->kind](port, self, act);
	}
}
