/**
 * @file host_int.h
 * @brief Functions shared by the files of lib/host.
 */
#ifndef FFL_HOST_INT_H
#define FFL_HOST_INT_H

#include "fireflyledge/host.h"

/** Executes a command of an operator or caller. */
void ffl_host_command(ffl_host_t *h, const ffl_ev_command_t *ev,
		      uint64_t now_ms, ffl_actions_t *out);

/** Answers the command that waits for the intent record at @p offset. */
void ffl_host_on_intent(ffl_host_t *h, uint64_t offset, const ffl_record_t *rec,
			ffl_actions_t *out);
/** Answers the command that waits for a confirmation record. */
void ffl_host_on_verdict(ffl_host_t *h, const ffl_record_t *rec,
			 const ffl_confirm_result_t *verdict,
			 ffl_actions_t *out);
/** Answers the command that waits for any other record. */
void ffl_host_on_record(ffl_host_t *h, uint64_t offset, const ffl_record_t *rec,
			ffl_actions_t *out);
/** Answers commands whose record was not read back before the deadline. */
void ffl_host_expire_waiters(ffl_host_t *h, uint64_t now_ms,
			     ffl_actions_t *out);

void ffl_restore_init(ffl_restore_t *r);
void ffl_restore_finish(ffl_restore_t *r);
/** Starts a scan for a snapshot if the log was trimmed, or is too long to fold
 * from its start. */
void ffl_restore_start_if_trimmed(ffl_host_t *h, const ffl_ev_log_read_t *r,
				  ffl_read_result_t result, ffl_actions_t *out);
/** Scans entries for snapshot parts instead of folding them. */
void ffl_restore_scan_entries(ffl_host_t *h, const ffl_ev_log_read_t *r,
			      uint64_t now_ms, ffl_actions_t *out);
/** Requests state from a peer if the log provides none. */
void ffl_restore_request_state(ffl_host_t *h, uint64_t now_ms,
			       ffl_actions_t *out);
/** Stores the peer addresses of the entry hosts in the list. */
void ffl_restore_on_host_list(ffl_host_t *h, const ffl_host_list_t *list);
/** Sends this host's state to a peer that has an older one. */
void ffl_restore_on_state_request(ffl_host_t *h, const ffl_peer_msg_t *msg,
				  uint64_t now_ms, ffl_actions_t *out);
/** Collects parts of a peer's state and loads it once complete. */
void ffl_restore_on_state_part(ffl_host_t *h, const ffl_peer_msg_t *msg,
			       uint64_t now_ms, ffl_actions_t *out);

/** Handles a snapshot part read from the log; reports a damaged one. */
void ffl_host_on_snapshot_part(ffl_host_t *h, uint64_t offset,
			       const ffl_record_t *rec, uint64_t now_ms,
			       ffl_actions_t *out);
/** Appends a snapshot if one is due and this host is the snapshot writer. */
void ffl_host_write_snapshot(ffl_host_t *h, uint64_t now_ms,
			     ffl_actions_t *out);

/** Computes the effects of a plan on the current state, as JSON. */
json_t *ffl_host_plan_to_json(const ffl_host_t *h, const ffl_pending_t *plan);

#endif
