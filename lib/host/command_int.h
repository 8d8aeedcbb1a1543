/**
 * @file command_int.h
 * @brief What the files that carry out commands share.
 */
#ifndef FFL_COMMAND_INT_H
#define FFL_COMMAND_INT_H

#include "lib/host/host_int.h"

/** A command with its sender, checked. */
typedef struct {
	const ffl_ev_command_t *ev;
	const char *operator_name;	/**< NULL for a caller */
	const ffl_customer_t *customer; /**< NULL for an operator */
	uint64_t now_ms;
	ffl_actions_t *out;
} ffl_call_t;

/** Refuses the command; it did not run. */
void ffl_call_problem(ffl_call_t *c, uint32_t http_status, const char *type,
		      const char *title, const char *detail);
/** Refuses the command for every fault found in its input. */
void ffl_call_findings(ffl_call_t *c, const ffl_findings_t *fs);
/** Parses the body; refuses the command and returns NULL where it cannot. */
json_t *ffl_call_body(ffl_call_t *c);
/** Queues a record; the command is answered when it is read back. */
void ffl_call_append(ffl_host_t *h, ffl_call_t *c, ffl_record_t *rec,
		     uint64_t plan);
/** Takes the command that waits for a record of this host. */
bool ffl_host_take_waiter(ffl_host_t *h, uint64_t writer, uint64_t seq,
			  ffl_waiter_t *w);
bool ffl_parse_id(const char *text, uint64_t *id);

void ffl_cmd_intent(ffl_host_t *h, ffl_call_t *c);
void ffl_cmd_plan(ffl_host_t *h, ffl_call_t *c);
void ffl_cmd_confirm(ffl_host_t *h, ffl_call_t *c);
void ffl_cmd_config(ffl_host_t *h, ffl_call_t *c);
void ffl_cmd_history(ffl_host_t *h, ffl_call_t *c);
void ffl_cmd_why(ffl_host_t *h, ffl_call_t *c);
void ffl_cmd_jobs(ffl_host_t *h, ffl_call_t *c);
void ffl_cmd_submit(ffl_host_t *h, ffl_call_t *c);
void ffl_cmd_job(ffl_host_t *h, ffl_call_t *c);
void ffl_cmd_job_why(ffl_host_t *h, ffl_call_t *c);
void ffl_cmd_cancel(ffl_host_t *h, ffl_call_t *c);

#endif
