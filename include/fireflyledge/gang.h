/**
 * @file gang.h
 * @brief Jobs: queue, placement and start as a whole.
 */
#ifndef FFL_GANG_H
#define FFL_GANG_H

#include "fireflyledge/fleet.h"
#include "fireflyledge/learn.h"
#include "fireflyledge/logc.h"
#include "fireflyledge/member.h"
#include "fireflyledge/record.h"

struct ffl_sched;

/** State of a job. */
typedef enum {
	FFL_JOB_QUEUED,
	FFL_JOB_HOLDING,  /**< slots are being held on every worker */
	FFL_JOB_STARTING, /**< every hold is confirmed */
	FFL_JOB_RUNNING,
	FFL_JOB_STOPPING, /**< members are being stopped */
	FFL_JOB_ENDED,
	FFL_JOB__MAX
} ffl_job_state_t;

/** State of one member of a gang. */
typedef enum {
	FFL_PART_IDLE,
	FFL_PART_ASKED, /**< a command is on its way */
	FFL_PART_HELD,
	FFL_PART_RUNNING,
	FFL_PART_DONE,
	FFL_PART_GONE,
	FFL_PART__MAX
} ffl_part_state_t;

/** One member of a gang: a block of slots on a worker. */
typedef struct {
	ffl_name_t worker;
	uint64_t slots;
	uint64_t call; /**< command without a reply */
	ffl_part_state_t state;
} ffl_part_t;

/** What a queued job waits for, as its last decision found it. */
typedef enum {
	FFL_WAIT_NONE,	     /**< no decision yet */
	FFL_WAIT_QUOTA,	     /**< quota of its customer */
	FFL_WAIT_BLOCK,	     /**< no free block of its shape */
	FFL_WAIT_RESERVED,   /**< a block is kept until its last holder ends */
	FFL_WAIT_BEHIND,     /**< what is free is kept for another job */
	FFL_WAIT_PREEMPTION, /**< work that yields is being stopped for it */
	FFL_WAIT_SHAPE,	     /**< the cell has no such shape at present */
	FFL_WAIT__MAX
} ffl_wait_kind_t;

typedef struct {
	ffl_wait_kind_t kind;
	uint32_t ahead;	    /**< jobs before it in the queue's order */
	uint64_t job;	    /**< that it waits behind, or 0 */
	uint64_t expect_ms; /**< expected start, or 0 where unknown */
} ffl_wait_t;

typedef struct {
	uint64_t id; /**< offset of the job's record */
	ffl_job_spec_t spec;
	ffl_job_state_t state;
	uint32_t incarnation;
	uint64_t queued_ms; /**< local time */
	uint64_t since_ms;  /**< of the current state */
	uint64_t progress_ms;
	ffl_part_t *parts;
	uint32_t part_count;
	uint32_t open_index;	/**< place among the open jobs */
	uint32_t unit;		/**< guaranteed shape it is inside, + 1 */
	uint64_t customer_hash; /**< of its customer's name */
	uint64_t mark;		/**< last search that counted it */
	ffl_wait_t wait;
	bool cancelled;
	bool end_sent; /**< its end record is queued */
	ffl_end_t end;
	char result[FFL_PAYLOAD_BYTES];
} ffl_job_t;

/** A member of a placement. */
typedef struct {
	ffl_worker_t *worker;
	uint64_t slots;
} ffl_block_t;

/** Where a job would run. */
typedef struct {
	ffl_block_t blocks[FFL_GANG_MAX];
	uint32_t count;
} ffl_placement_t;

/** Ended jobs kept, for answers about them and against duplicates. */
#define FFL_JOBS_ENDED_MAX 16384

typedef struct {
	GHashTable *by_id;   /**< ffl_job_t by id */
	GHashTable *by_name; /**< ffl_job_t by customer and name */
	GArray *open;	     /**< of ffl_job_t *, unordered: not ended */
	GQueue ended;	     /**< of ffl_job_t *, oldest first */
	ffl_learn_t learn;   /**< run times seen by this host */
	uint64_t version;    /**< grows with every folded record of a job */
	uint64_t next_call;
	uint32_t lease_ms;
	uint32_t renew_ms;
} ffl_gangs_t;

void ffl_gangs_init(ffl_gangs_t *g, uint32_t lease_ms);
void ffl_gangs_finish(ffl_gangs_t *g);

/** Checks a job against the fleet; adds every fault. */
ffl_status_t ffl_job_check(const ffl_job_spec_t *spec, const ffl_config_t *cfg,
			   const ffl_fleet_t *fleet, ffl_findings_t *fs);
/** Folds job records. */
void ffl_gangs_fold(ffl_gangs_t *g, uint64_t offset, const ffl_record_t *rec,
		    uint64_t now_ms);
void ffl_gangs_on_reply(ffl_gangs_t *g, ffl_fleet_t *fleet,
			const ffl_members_t *ms,
			const ffl_ev_worker_reply_t *ev, uint64_t now_ms,
			ffl_actions_t *out);
/**
 * Moves every job of the cell that this host leads on, and carries out the
 * scheduler's decisions.
 */
void ffl_gangs_run(ffl_gangs_t *g, ffl_fleet_t *fleet, const ffl_members_t *ms,
		   const ffl_config_t *cfg, struct ffl_sched *sched,
		   ffl_logc_t *lc, uint64_t now_ms, ffl_actions_t *out);

const ffl_job_t *ffl_gangs_find(const ffl_gangs_t *g, uint64_t id);
const ffl_job_t *ffl_gangs_find_name(const ffl_gangs_t *g, const char *customer,
				     const char *name);
json_t *ffl_job_to_json(const ffl_job_t *job);
const char *ffl_job_state_name(uint32_t state);

#endif
