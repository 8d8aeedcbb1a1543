/**
 * @file command_int.h
 * @brief Declarations shared by the command handlers.
 */
#ifndef FFL_COMMAND_INT_H
#define FFL_COMMAND_INT_H

#include "lib/host/host_int.h"

/** A command and its authenticated sender. */
typedef struct {
	const ffl_ev_command_t *ev;
	const char *operator_name;	/**< NULL for a caller */
	const ffl_customer_t *customer; /**< NULL for an operator */
	uint64_t now_ms;
	ffl_actions_t *out;
} ffl_command_ctx_t;

/** Answers with a problem that says that the command was not executed. */
void ffl_command_refuse(ffl_command_ctx_t *c, uint32_t http_status,
			const char *type, const char *title,
			const char *detail);
/** Refuses the command with all findings about its input. */
void ffl_command_refuse_findings(ffl_command_ctx_t *c,
				 const ffl_findings_t *fs);
/** Parses the body as JSON. On a syntax error, refuses the command and returns
 * NULL. */
json_t *ffl_command_parse_body(ffl_command_ctx_t *c);
/**
 * Queues a record for the log. The command is answered once the record is read
 * back; it is refused if the log is unavailable.
 *
 * @param target plan or job that the command acts on; 0 if none
 */
void ffl_command_append_record(ffl_host_t *h, ffl_command_ctx_t *c,
			       ffl_record_t *rec, uint64_t target);
/** Removes the command that waits for the record into @p w; returns false if
 * there is none. */
bool ffl_host_remove_waiter(ffl_host_t *h, uint64_t writer, uint64_t seq,
			    ffl_waiter_t *w);
/** Parses a decimal id; returns false if @p text is not one. */
bool ffl_parse_id(const char *text, uint64_t *id);

void ffl_cmd_intent(ffl_host_t *h, ffl_command_ctx_t *c);
void ffl_cmd_plan(ffl_host_t *h, ffl_command_ctx_t *c);
void ffl_cmd_confirm(ffl_host_t *h, ffl_command_ctx_t *c);
void ffl_cmd_config(ffl_host_t *h, ffl_command_ctx_t *c);
void ffl_cmd_history(ffl_host_t *h, ffl_command_ctx_t *c);
void ffl_cmd_why(ffl_host_t *h, ffl_command_ctx_t *c);
void ffl_cmd_jobs(ffl_host_t *h, ffl_command_ctx_t *c);
void ffl_cmd_submit(ffl_host_t *h, ffl_command_ctx_t *c);
void ffl_cmd_job(ffl_host_t *h, ffl_command_ctx_t *c);
void ffl_cmd_job_why(ffl_host_t *h, ffl_command_ctx_t *c);
void ffl_cmd_cancel(ffl_host_t *h, ffl_command_ctx_t *c);

#endif
