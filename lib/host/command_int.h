/**
 * @file command_int.h
 * @brief What the files of the commands share.
 */
#ifndef FFL_COMMAND_INT_H
#define FFL_COMMAND_INT_H

#include "fireflyledge/host.h"

/** A command with its sender, checked. */
typedef struct {
	const ffl_ev_command_t *ev;
	const char *operator_name;	/**< NULL for a caller */
	const ffl_customer_t *customer; /**< NULL for an operator */
	uint64_t now_ms;
	ffl_actions_t *out;
} ffl_call_t;

/** Refuses a command. */
void ffl_call_problem(ffl_call_t *c, uint32_t http_status, const char *type,
		      const char *title, const char *detail);
/** Refuses a command for the faults of its input. */
void ffl_call_findings_problem(ffl_call_t *c, const ffl_findings_t *fs);
/** Parses the body; refuses the command and returns NULL where it is bad. */
json_t *ffl_call_parse_body(ffl_call_t *c);
bool ffl_call_parse_id(const char *text, uint64_t *id);
/** Appends a record; the answer follows when it is read back. */
void ffl_call_append_and_wait(ffl_host_t *h, ffl_call_t *c, ffl_record_t *rec,
			      uint64_t plan);

void ffl_cmd_jobs(ffl_host_t *h, ffl_call_t *c);
void ffl_cmd_submit(ffl_host_t *h, ffl_call_t *c);
void ffl_cmd_job(ffl_host_t *h, ffl_call_t *c);
void ffl_cmd_job_why(ffl_host_t *h, ffl_call_t *c);
void ffl_cmd_cancel(ffl_host_t *h, ffl_call_t *c);

#endif
