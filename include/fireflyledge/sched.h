/**
 * @file sched.h
 * @brief Which job starts where, and which one gives way.
 *
 * The scheduler decides and the gangs carry out: each call of
 * ffl_sched_next() gives one decision, which is applied before the next.
 */
#ifndef FFL_SCHED_H
#define FFL_SCHED_H

#include "fireflyledge/fleet.h"
#include "fireflyledge/gang.h"
#include "fireflyledge/policy.h"
#include "fireflyledge/witness.h"

/** Kind of a decision. */
typedef enum {
	FFL_DECISION_START,   /**< start a queued job at a placement */
	FFL_DECISION_PREEMPT, /**< checkpoint or stop a running job */
	FFL_DECISION_REFUSE,  /**< end a queued job that can never run */
	FFL_DECISION__MAX
} ffl_decision_kind_t;

/** One decision. */
typedef struct {
	ffl_decision_kind_t kind;
	ffl_job_t *job;
	ffl_placement_t place; /**< of a start */
	uint64_t for_job;      /**< job that a preemption makes room for */
	const char *why;       /**< in words, for the audit and the log */
} ffl_decision_t;

/** A block kept for a blocked job until those who hold it end. */
typedef struct {
	uint64_t job; /**< 0 where there is none */
	ffl_region_t region;
	uint64_t expected_start_ms;
} ffl_reservation_t;

/** State of a cell's scheduler. */
typedef struct ffl_sched {
	ffl_name_t dc;
	const ffl_policy_t *policy;
	ffl_witness_t witness;
	struct ffl_space *space;
	GArray *claims;	    /**< slots kept while work in them is stopped */
	GArray *queue;	    /**< queued jobs of this pass, in order */
	GHashTable *shares; /**< ffl_share_t by customer's hash */
	GHashTable
		*failed_shapes; /**< shapes that found no block in this pass */
	GPtrArray
		*preemption_order; /**< kinds of work, the first yields first */
	ffl_reservation_t reservation;
	uint64_t order_revision; /**< of yields */
	uint64_t mean_used_ms;
	uint64_t search_mark; /**< number of the last search over victims */
	uint64_t pass_ms;
	uint64_t fleet_version;
	uint64_t gangs_version;
	uint64_t config_revision;
	uint64_t open_workers_hash; /**< of the workers that were open */
	guint next_claim;
	guint next_job;
	bool pass_due;	  /**< a pass is due, nothing is read yet */
	bool in_pass;	  /**< the pass has been read in */
	bool preempted;	  /**< this pass stopped work */
	bool reserve_due; /**< the reservation is decided next */
	bool had_pass;	  /**< a pass has taken place */
} ffl_sched_t;

void ffl_sched_init(ffl_sched_t *s, const char *dc);
void ffl_sched_finish(ffl_sched_t *s);
void ffl_sched_set_policy(ffl_sched_t *s, ffl_policy_id_t policy);

/** Starts a pass over the queue. */
void ffl_sched_begin_pass(ffl_sched_t *s, uint64_t now_ms);
/** Gives the next decision of the pass; false where there is none. */
bool ffl_sched_next(ffl_sched_t *s, ffl_gangs_t *g, ffl_fleet_t *fleet,
		    const ffl_config_t *cfg, uint64_t now_ms,
		    ffl_decision_t *out);

/** Tells as JSON what a job waits for and what would free it. */
json_t *ffl_sched_explain_json(ffl_sched_t *s, ffl_gangs_t *g,
			       ffl_fleet_t *fleet, const ffl_config_t *cfg,
			       const ffl_job_t *job, uint64_t now_ms);
/** Adds to a queued job's JSON what it waits for and its expected start. */
void ffl_sched_add_wait_json(const ffl_job_t *job, uint64_t now_ms,
			     json_t *json);
const char *ffl_wait_name(uint32_t kind);

#endif
