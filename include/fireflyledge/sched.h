/**
 * @file sched.h
 * @brief The scheduler of a cell: job starts, preemption and reservations.
 *
 * The scheduler only decides; the gangs execute. Each call of
 * ffl_sched_next() returns one decision, which must be executed before the
 * next call.
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
	const char *why; /**< reason in words, for the audit and the log */
} ffl_decision_t;

/** A region reserved for a blocked job until the jobs in it end. */
typedef struct {
	uint64_t job; /**< 0 where there is none */
	ffl_region_t region;
	uint64_t expected_start_ms; /**< local time */
} ffl_reservation_t;

/** State of a cell's scheduler. */
typedef struct ffl_sched {
	ffl_name_t dc;
	const ffl_policy_t *policy;
	ffl_witness_t witness;
	struct ffl_space *space;
	GArray *claims;	    /**< regions kept for jobs during preemption */
	GArray *queue;	    /**< queued jobs of this pass, in order */
	GHashTable *shares; /**< ffl_share_t by customer's hash */
	GHashTable *failed_shapes; /**< without a free block in this pass */
	GPtrArray
		*preemption_order; /**< kinds of work, first preempted first */
	ffl_reservation_t reservation;
	uint64_t order_revision; /**< revision of preemption_order */
	uint64_t mean_used_ms;	 /**< mean use of customers by weight */
	uint64_t search_mark;	 /**< number of the last search over holders */
	uint64_t pass_ms;	 /**< local time of the last pass */
	uint64_t fleet_version;	 /**< fleet that the last pass has seen */
	uint64_t gangs_version;	 /**< jobs that the last pass has seen */
	uint64_t config_revision;
	uint64_t open_workers_hash; /**< which workers were open */
	guint next_claim;
	guint next_job;
	bool pass_due;	  /**< a pass was requested */
	bool in_pass;	  /**< the pass has read fleet and jobs */
	bool preempted;	  /**< this pass preempted a job */
	bool reserve_due; /**< the reservation is decided next */
	bool had_pass;	  /**< a pass has taken place */
} ffl_sched_t;

void ffl_sched_init(ffl_sched_t *s, const char *dc);
void ffl_sched_finish(ffl_sched_t *s);
void ffl_sched_set_policy(ffl_sched_t *s, ffl_policy_id_t policy);

/** Begins a pass over the queue. */
void ffl_sched_begin_pass(ffl_sched_t *s, uint64_t now_ms);
/** Writes the next decision of the pass; returns false if there is none. */
bool ffl_sched_next(ffl_sched_t *s, ffl_gangs_t *g, ffl_fleet_t *fleet,
		    const ffl_config_t *cfg, uint64_t now_ms,
		    ffl_decision_t *out);

/**
 * Returns as a new JSON object why a job waits, which jobs hold the block
 * that is expected to be free first, and when.
 */
json_t *ffl_sched_explain_json(ffl_sched_t *s, ffl_gangs_t *g,
			       ffl_fleet_t *fleet, const ffl_config_t *cfg,
			       const ffl_job_t *job, uint64_t now_ms);
/** Adds why a queued job waits and its expected start to its JSON. */
void ffl_sched_add_wait_json(const ffl_job_t *job, uint64_t now_ms,
			     json_t *json);
const char *ffl_wait_name(uint32_t kind);

#endif
