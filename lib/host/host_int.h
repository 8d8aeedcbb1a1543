/**
 * @file host_int.h
 * @brief Parts of a host that only its own files use.
 */
#ifndef FFL_HOST_INT_H
#define FFL_HOST_INT_H

#include "fireflyledge/host.h"

/** Carries out an operator's or caller's command. */
void ffl_host_command(ffl_host_t *h, const ffl_ev_command_t *ev,
		      uint64_t now_ms, ffl_actions_t *out);

/** Answers the command that waits for an intent's record. */
void ffl_host_on_intent(ffl_host_t *h, uint64_t offset, const ffl_record_t *rec,
			ffl_actions_t *out);
/** Answers the command that waits for a confirmation. */
void ffl_host_on_verdict(ffl_host_t *h, const ffl_record_t *rec,
			 const ffl_verdict_t *verdict, ffl_actions_t *out);
/** Answers the command that waits for any other record. */
void ffl_host_on_record(ffl_host_t *h, uint64_t offset, const ffl_record_t *rec,
			ffl_actions_t *out);
/** Answers the commands whose record did not come in time. */
void ffl_host_expire_waiters(ffl_host_t *h, uint64_t now_ms,
			     ffl_actions_t *out);

/** Computes what the plan of an intent would change, as JSON. */
json_t *ffl_host_plan_to_json(ffl_host_t *h, const ffl_pending_t *plan);

#endif
