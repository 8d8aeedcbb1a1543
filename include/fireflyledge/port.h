/**
 * @file port.h
 * @brief Port: table of functions that carry out actions.
 *
 * The daemon and the simulations of the tests each supply one, so that the
 * same state machine runs in both.
 */
#ifndef FFL_PORT_H
#define FFL_PORT_H

#include "fireflyledge/action.h"

/** A function for each kind of action; self is the implementation's object. */
typedef struct {
	void (*log_read)(void *self, const ffl_act_log_read_t *act);
	void (*log_append)(void *self, const ffl_act_log_append_t *act);
	void (*hosts_read)(void *self, const ffl_act_hosts_read_t *act);
	void (*worker_send)(void *self, const ffl_act_worker_send_t *act);
	void (*peer_send)(void *self, const ffl_act_peer_send_t *act);
	void (*answer)(void *self, const ffl_act_answer_t *act);
	void (*forward)(void *self, const ffl_act_forward_t *act);
	void (*finish)(void *self, uint64_t id);
	void (*ready)(void *self, bool ready);
	void (*report)(void *self, const ffl_act_report_t *act);
	void (*exit)(void *self);
} ffl_port_t;

/** Calls the function of each action's kind, in order. */
void ffl_port_dispatch(const ffl_port_t *port, void *self,
		       const ffl_actions_t *actions);

#endif
