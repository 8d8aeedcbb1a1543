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
	FFL_JOB_STOPPING,   /**< members are being stopped */
	FFL_JOB_RECOVERING, /**< may run since an earlier leader's time */
	FFL_JOB_MOVING,	    /**< its move to another cell is on its way */
	FFL_JOB_ENDED,
	FFL_JOB__MAX
} ffl_job_state_t;

/** State of one member of a gang. */
typedef enum {
	FFL_PART_IDLE,
	FFL_PART_PENDING, /**< a command is on its way */
	FFL_PART_HELD,
	FFL_PART_RUNNING,
	FFL_PART_DONE,
	FFL_PART_GONE,
	FFL_PART__MAX
} ffl_part_state_t;

/** Longest time between two passes over the open jobs, in ms. */
#define FFL_GANG_PASS_MS 50
/** Distinct workers on which a job fails before the fault is its own. */
#define FFL_JOB_FAILED_WORKERS_MAX 3

/** One member of a gang: a block of slots on a worker. */
typedef struct {
	ffl_name_t worker; /**< empty where no report has named it yet */
	uint64_t slots;
	bool taken;	   /**< its slots are marked as used */
	uint64_t asked_ms; /**< last command */
	uint64_t progress_ms;
	uint64_t checkpoint_ms;	   /**< progress that is safe */
	uint64_t last_progress_ms; /**< local time of the last progress */
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
	uint32_t jobs_ahead;	    /**< jobs before it in the queue's order */
	uint64_t job;		    /**< that it waits behind, or 0 */
	uint64_t expected_start_ms; /**< expected start, or 0 where unknown */
} ffl_wait_t;

typedef struct {
	uint64_t id; /**< offset of the job's record */
	ffl_job_spec_t spec;
	ffl_name_t cell;	  /**< cell that may run it */
	uint64_t assigned_offset; /**< offset of the record that gave it the
				     cell */
	ffl_job_state_t state;
	uint64_t incarnation; /**< epoch and number of the start within it */
	uint64_t queued_ms;   /**< local time */
	uint64_t since_ms;    /**< of the current state */
	uint64_t progress_ms; /**< checkpoint that a start resumes from */
	ffl_part_t *parts;
	uint32_t part_count;
	uint32_t open_index;	/**< place among the open jobs */
	uint32_t unit;		/**< guaranteed shape it is inside, + 1 */
	uint64_t customer_hash; /**< of its customer's name */
	uint64_t search_mark;	/**< last search that counted it */
	ffl_wait_t wait;
	bool cancelled;
	bool checkpoint_on_stop; /**< its members are checkpointed as they stop
				  */
	bool end_sent;		 /**< its end record is queued */
	ffl_end_t end;
	char result[FFL_PAYLOAD_BYTES];
	ffl_name_t failed_workers[FFL_JOB_FAILED_WORKERS_MAX]; /**< workers it
								  failed on */
	uint32_t failed_worker_count;
	uint32_t failures; /**< failed starts in all */
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

/** Times of gangs, all derived from the lease, in milliseconds. */
typedef struct {
	uint32_t lease_ms;
	uint32_t renew_ms;     /**< between questions to a worker */
	uint32_t authority_ms; /**< for which a proof of authority holds */
	uint32_t valid_ms;     /**< for which a worker takes a command */
	uint32_t lapse_ms;     /**< after a worker's last reply, by which all
				    its leases have lapsed */
	uint32_t settle_ms;    /**< after which no earlier leader's or keeper's
				    lease is left on a silent worker */
} ffl_gang_times_t;

/** This host's authority over its cell's workers. */
typedef struct {
	uint64_t epoch; /**< of its leadership; 0 where it does not lead */
	uint64_t begun_epoch;	  /**< last one that this process has led in */
	uint64_t fenced_epoch;	  /**< latest epoch that a worker has shown */
	uint64_t first_call;	  /**< answers to earlier calls are void */
	uint64_t since_ms;	  /**< start, or last regain, of authority */
	uint64_t quorum_since_ms; /**< a quorum accepts it since then; 0 none */
	uint64_t first_list_ms;	  /**< local time of the first list of hosts */
	uint64_t deputy_round_at_ms; /**< next round for a silent leader */
	bool held;		     /**< effects are allowed */
	bool settled; /**< no work of an earlier leader is unaccounted for */
} ffl_authority_t;

typedef struct {
	GHashTable *by_id;   /**< ffl_job_t by id */
	GHashTable *by_name; /**< ffl_job_t by customer and name */
	GArray *open;	     /**< of ffl_job_t *, unordered: not ended */
	GQueue history;	     /**< of ffl_job_t *: ended, oldest first */
	ffl_learn_t learn;   /**< run times seen by this host */
	uint64_t version;    /**< grows with every folded record of a job */
	GPtrArray *ended_with_parts; /**< of ffl_job_t *: ended with members
					left */
	GArray *deputy_tasks;	     /**< of tasks seen for a silent leader */
	uint64_t next_call;
	uint64_t starts; /**< gangs that this process has begun to start */
	uint64_t folded_offset; /**< offset of the last record folded */
	ffl_gang_times_t times;
	ffl_authority_t authority;
	uint64_t pass_at_ms; /**< next pass over the open jobs */
	bool dirty;	     /**< something changed since the last pass */
} ffl_gangs_t;

void ffl_gangs_init(ffl_gangs_t *g, uint32_t lease_ms);
void ffl_gangs_finish(ffl_gangs_t *g);

/** Checks a job against the fleet; adds every fault. */
ffl_status_t ffl_job_check(const ffl_job_spec_t *spec, const ffl_config_t *cfg,
			   const ffl_fleet_t *fleet, ffl_findings_t *fs);
/** Folds job records; the members are as before the record. */
void ffl_gangs_fold(ffl_gangs_t *g, const ffl_members_t *ms, uint64_t offset,
		    const ffl_record_t *rec, uint64_t now_ms);
/**
 * Takes over into state that was loaded anew what belongs to this process
 * and not to the log.
 */
void ffl_gangs_copy_local(ffl_gangs_t *fresh, const ffl_gangs_t *old);
/** Notes that a list of hosts has come. */
void ffl_gangs_on_host_list(ffl_gangs_t *g, uint64_t now_ms);
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
/** Appends what the log says of jobs to @p out. */
void ffl_gangs_save(const ffl_gangs_t *g, GByteArray *out);
/** Loads jobs into an object that holds none. */
ffl_status_t ffl_gangs_load(ffl_gangs_t *g, ffl_bytes_t in, size_t *used_bytes,
			    uint64_t now_ms);
json_t *ffl_job_to_json(const ffl_job_t *job);
const char *ffl_job_state_name(uint32_t state);

/** Tells whether this host may have effects on its cell's workers now. */
bool ffl_gangs_may_act(const ffl_gangs_t *g);
/** Tells whether a cell is the one that may run a job. */
bool ffl_job_in_cell(const ffl_job_t *job, const char *dc);

#endif
