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
			 const ffl_confirm_result_t *verdict,
			 ffl_actions_t *out);
/** Answers the command that waits for any other record. */
void ffl_host_on_record(ffl_host_t *h, uint64_t offset, const ffl_record_t *rec,
			ffl_actions_t *out);
/** Answers the commands whose record did not come in time. */
void ffl_host_expire_waiters(ffl_host_t *h, uint64_t now_ms,
			     ffl_actions_t *out);

/** Sets up and frees what a host needs to restore its state. */
void ffl_restore_init(ffl_restore_t *r);
void ffl_restore_finish(ffl_restore_t *r);
/** Starts to look for a snapshot where the log does not reach back. */
void ffl_restore_check(ffl_host_t *h, const ffl_ev_log_read_t *r,
		       ffl_read_result_t result, ffl_actions_t *out);
/** Looks at entries for parts of snapshots, in place of folding them. */
void ffl_restore_read(ffl_host_t *h, const ffl_ev_log_read_t *r,
		      uint64_t now_ms, ffl_actions_t *out);
/** Asks a peer for state where the log gives none. */
void ffl_restore_run(ffl_host_t *h, uint64_t now_ms, ffl_actions_t *out);
void ffl_restore_on_list(ffl_host_t *h, const ffl_host_list_t *list);
void ffl_restore_on_ask(ffl_host_t *h, const ffl_peer_msg_t *msg,
			uint64_t now_ms, ffl_actions_t *out);
void ffl_restore_on_state(ffl_host_t *h, const ffl_peer_msg_t *msg,
			  uint64_t now_ms, ffl_actions_t *out);

/** Folds a part of a snapshot; reports a damaged one. */
void ffl_host_on_part(ffl_host_t *h, uint64_t offset, const ffl_record_t *rec,
		      uint64_t now_ms, ffl_actions_t *out);
/** Appends a snapshot where one is due and this host is to write it. */
void ffl_host_run_snapshot(ffl_host_t *h, uint64_t now_ms, ffl_actions_t *out);

/** Computes what the plan of an intent would change, as JSON. */
json_t *ffl_host_plan_to_json(const ffl_host_t *h, const ffl_pending_t *plan);

#endif
