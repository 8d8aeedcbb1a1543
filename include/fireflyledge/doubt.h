/**
 * @file doubt.h
 * @brief What a worker may hold or still carry out without the leader's
 * knowledge.
 *
 * An order without an answer may have been carried out, or may be seconds
 * later, by the incarnation that it was meant for or by the one after it. A
 * lease may have been granted by an order, or by an earlier leader. What is in
 * doubt counts as held until an answer, a report or a time settles it; the
 * table in docs/ARCHITECTURE.md lists what does.
 *
 * No function does I/O or reads a clock.
 */
#ifndef FFL_DOUBT_H
#define FFL_DOUBT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

struct ffl_run;

/** What tells when the leases of a worker have ended. */
typedef enum {
	FFL_LEASE_NONE,	   /**< it was given none */
	FFL_LEASE_ORDER,   /**< orders of this leader */
	FFL_LEASE_RESTART, /**< it has started again under its id */
	FFL_LEASE_CLAIM,   /**< orders of an earlier leader */
	/** The same, at a worker that may have taken them for the incarnation
	 * before. */
	FFL_LEASE_YOUNG,
	FFL_LEASE_UNKNOWN_RUN, /**< it listed a run without a record */
	FFL_LEASE__MAX
} ffl_lease_basis_t;

const char *ffl_lease_basis_name(uint32_t basis);

/** A start order without an answer. The incarnation after the one that it was
 * meant for may begin the run by it, also where another sending was answered.
 */
typedef struct {
	const struct ffl_run *run; /**< compared, never dereferenced */
	int64_t born_ms;	   /**< incarnation that it was meant for */
	uint64_t late_ms;	   /**< by then carried out, or never will be */
} ffl_late_start_t;

/** What is in doubt of one worker. */
typedef struct {
	/** All leases that it may have been given have ended by then; those of
	 * orders without an answer not counted. */
	uint64_t leases_end_ms;
	ffl_lease_basis_t leases_basis; /**< what leases_end_ms rests on */
	/** By then it has carried out all orders with a lease that it left
	 * without an answer, or never will; 0: it has left none. */
	uint64_t late_orders_ms;
	GArray *late_starts; /**< of ffl_late_start_t, one a run at most */
	/** It has runs of an earlier leader, and nothing that it wrote after
	 * the claim was read: it may have started again before, and taken
	 * orders for the incarnation that the log tells of. */
	bool unheard;
	/** Its runs are being waited out, and that is in the log. */
	bool waits_out;
} ffl_doubt_t;

void ffl_doubt_init(ffl_doubt_t *u);
void ffl_doubt_finish(ffl_doubt_t *u);

/**
 * Begins anew under a new leader. Late starts are those of runs, and have been
 * dropped with them.
 *
 * @param has_runs an earlier leader has placed runs on the worker
 * @param leases_end_ms by then the leases of that leader have ended
 */
void ffl_doubt_claim(ffl_doubt_t *u, bool has_runs, uint64_t leases_end_ms);
/** Records that the worker may have a lease until a time by this host's clock.
 */
void ffl_doubt_add_lease(ffl_doubt_t *u, uint64_t end_ms,
			 ffl_lease_basis_t basis);
/** Drops all leases: no order can reach the worker any more. */
void ffl_doubt_drop_leases(ffl_doubt_t *u);
/** Records that an order with a lease was left without an answer. */
void ffl_doubt_add_late_order(ffl_doubt_t *u, uint64_t late_ms);
/** The same of a start order; a later one for the same run takes its place. */
void ffl_doubt_add_late_start(ffl_doubt_t *u, const struct ffl_run *run,
			      int64_t born_ms, uint64_t late_ms);
/** Returns the start of a run that is in doubt, or NULL. */
const ffl_late_start_t *ffl_doubt_find_start(const ffl_doubt_t *u,
					     const struct ffl_run *run);
/** Returns the incarnation that the oldest late start was meant for; 0: there
 * is none. */
int64_t ffl_doubt_meant_for(const ffl_doubt_t *u);
/** Settles the start of a run: it was withdrawn, or the run has ended. */
void ffl_doubt_settle_start(ffl_doubt_t *u, const struct ffl_run *run);
/** Settles the starts that the known incarnation would have begun by a time at
 * which it was there: what it had not begun, no other one has. */
void ffl_doubt_settle_starts(ffl_doubt_t *u, uint64_t alive_ms);
/** Records that something was read that the worker wrote after the claim. */
void ffl_doubt_note_heard(ffl_doubt_t *u);

#endif
