/**
 * @file gang.h
 * @brief Jobs (gangs): queueing, gang placement and all-or-nothing start.
 *
 * A job is a gang: its parts, one block of slots on each of its workers,
 * start and stop together. Job records of the log say which jobs exist and
 * which cell runs them; what runs where is learned from the workers.
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
	FFL_JOB_HOLDING,  /**< waiting for its workers to hold the slots */
	FFL_JOB_STARTING, /**< every hold is confirmed, start commands sent */
	FFL_JOB_RUNNING,
	FFL_JOB_STOPPING,   /**< its parts are being stopped */
	FFL_JOB_RECOVERING, /**< an earlier leader may have started it */
	FFL_JOB_MOVING,	    /**< its transfer to another cell is in progress */
	FFL_JOB_ENDED,
	FFL_JOB__MAX
} ffl_job_state_t;

/**
 * State of one part of a gang, in the order of its life: reports never set
 * it back.
 */
typedef enum {
	FFL_PART_IDLE,
	FFL_PART_PENDING, /**< a hold command was sent, no reply yet */
	FFL_PART_HELD,	  /**< the worker holds the slots */
	FFL_PART_RUNNING,
	FFL_PART_DONE,
	FFL_PART_GONE, /**< failed, stopped, or lost with its lease */
	FFL_PART__MAX
} ffl_part_state_t;

/** Longest time between two passes over the open jobs, in ms. */
#define FFL_GANG_PASS_MS 50
/** Distinct workers on which a job fails before the job itself fails. */
#define FFL_JOB_FAILED_WORKERS_MAX 3

/** One part of a gang: a block of slots on a worker. */
typedef struct {
	ffl_name_t worker; /**< empty until a report names it */
	uint64_t slots;	   /**< mask */
	bool taken;	   /**< its slots are marked as used in the fleet */
	uint64_t asked_ms; /**< local time of the last command */
	uint64_t progress_ms;
	uint64_t checkpoint_ms;	   /**< progress saved by a checkpoint */
	uint64_t last_progress_ms; /**< local time when progress last grew */
	ffl_part_state_t state;
} ffl_part_t;

/** Reason why a queued job waits, as found by the last pass. */
typedef enum {
	FFL_WAIT_NONE,	     /**< no decision yet */
	FFL_WAIT_QUOTA,	     /**< quota of its customer */
	FFL_WAIT_BLOCK,	     /**< no free block of its shape */
	FFL_WAIT_RESERVED,   /**< a block is reserved until its holders end */
	FFL_WAIT_BEHIND,     /**< the free slots are reserved for another job */
	FFL_WAIT_PREEMPTION, /**< lower-ranked work is being preempted for it */
	FFL_WAIT_SHAPE,	     /**< the open workers cannot form its shape */
	FFL_WAIT__MAX
} ffl_wait_kind_t;

/** Why a queued job waits, and for how long. */
typedef struct {
	ffl_wait_kind_t kind;
	uint32_t jobs_ahead; /**< jobs before it in the queue's order */
	uint64_t job; /**< job that has the reservation it waits behind, or 0 */
	uint64_t expected_start_ms; /**< local time, or 0 where unknown */
} ffl_wait_t;

/** A job. */
typedef struct {
	uint64_t id; /**< offset of the job's record */
	ffl_job_spec_t spec;
	ffl_name_t cell;	  /**< cell that may run it */
	uint64_t assigned_offset; /**< record that assigned it to its cell */
	ffl_job_state_t state;
	uint64_t incarnation; /**< epoch and number of the start within it */
	uint64_t queued_ms;   /**< local time */
	uint64_t since_ms;    /**< local time when it entered its state */
	uint64_t progress_ms; /**< checkpoint that a start resumes from */
	ffl_part_t *parts;
	uint32_t part_count;
	uint32_t open_index;	/**< index in the array of open jobs */
	uint32_t unit;		/**< index + 1 of its guarantee unit, or 0 */
	uint64_t customer_hash; /**< hash of its customer's name */
	uint64_t search_mark;	/**< last search that counted it */
	ffl_wait_t wait;
	bool cancelled;
	bool checkpoint_on_stop; /**< its parts are checkpointed as they stop */
	bool end_sent;		 /**< its end record was appended to the log */
	ffl_end_t end;
	char result[FFL_PAYLOAD_BYTES];
	/** Distinct workers, not quarantined ones, on which it failed. */
	ffl_name_t failed_workers[FFL_JOB_FAILED_WORKERS_MAX];
	uint32_t failed_worker_count;
	uint32_t failures; /**< failed tasks in total */
} ffl_job_t;

/** Slots of one worker in a placement. */
typedef struct {
	ffl_worker_t *worker;
	uint64_t slots;
} ffl_block_t;

/** Workers and slots to start a job on. */
typedef struct {
	ffl_block_t blocks[FFL_GANG_MAX];
	uint32_t count;
} ffl_placement_t;

/** Ended jobs kept, for queries about them and to detect duplicates. */
#define FFL_JOBS_ENDED_MAX 16384

/** Intervals of gang leases, all derived from the lease, in milliseconds. */
typedef struct {
	uint32_t lease_ms;
	uint32_t renew_ms;     /**< between two renewals to a worker */
	uint32_t authority_ms; /**< for which a proof of authority holds */
	uint32_t valid_ms;     /**< for which a worker accepts a command */
	uint32_t lapse_ms;     /**< after a worker's last reply, by which all
				    its leases have lapsed */
	uint32_t settle_ms;    /**< after which no lease of an earlier leader or
				    deputy is left on a silent worker */
} ffl_gang_times_t;

/** This host's authority over its cell's workers. Times are local, in ms. */
typedef struct {
	uint64_t epoch; /**< of its leadership; 0 where it does not lead */
	uint64_t begun_epoch;  /**< last one that this process has led in */
	uint64_t fenced_epoch; /**< latest one named by a worker that denied */
	uint64_t first_call;   /**< replies to earlier calls are ignored */
	uint64_t since_ms;     /**< start, or last regain, of authority */
	uint64_t quorum_since_ms;    /**< a quorum accepts it since; 0 none */
	uint64_t first_list_ms;	     /**< when the first host list came */
	uint64_t deputy_round_at_ms; /**< next renewal round as deputy */
	bool held;		     /**< commands to workers are allowed */
	bool settled; /**< all work of earlier leaders is accounted for */
} ffl_authority_t;

/** The jobs of all cells, and this host's leadership of its own cell. */
typedef struct {
	GHashTable *by_id;   /**< ffl_job_t by id */
	GHashTable *by_name; /**< ffl_job_t by customer and name */
	GArray *open;	     /**< of ffl_job_t *, unordered: not ended */
	GQueue history;	     /**< of ffl_job_t *: ended, oldest first */
	ffl_learn_t learn;   /**< run times seen by this host */
	uint64_t version;    /**< grows with every folded record of a job */
	/** Of ffl_job_t *: ended by a record while they still had parts. */
	GPtrArray *ended_with_parts;
	GArray *deputy_tasks; /**< of tasks reported to this host as deputy */
	uint64_t next_call;
	uint64_t starts;	/**< gangs that this process began to start */
	uint64_t folded_offset; /**< of the last record folded */
	ffl_gang_times_t times;
	ffl_authority_t authority;
	uint64_t pass_at_ms; /**< next pass over the open jobs */
	bool dirty;	     /**< something changed since the last pass */
} ffl_gangs_t;

void ffl_gangs_init(ffl_gangs_t *g, uint32_t lease_ms);
void ffl_gangs_finish(ffl_gangs_t *g);

/**
 * Checks a submitted job against its customer's quota and the fleet. Adds a
 * finding for each error and, where one exists, the nearest possible shape.
 *
 * @return FFL_INVALID if an error was added
 */
ffl_status_t ffl_job_check(const ffl_job_spec_t *spec, const ffl_config_t *cfg,
			   const ffl_fleet_t *fleet, ffl_findings_t *fs);
/**
 * Folds a record of the log; records that are not about jobs change no job.
 *
 * @param ms members as they were before the record; may be NULL for records
 *	that do not move a job
 */
void ffl_gangs_fold(ffl_gangs_t *g, const ffl_members_t *ms, uint64_t offset,
		    const ffl_record_t *rec, uint64_t now_ms);
/**
 * Copies the state that belongs to this process and not to the log (call and
 * start numbers, epochs led and fenced) into gangs that were just loaded.
 */
void ffl_gangs_copy_local(ffl_gangs_t *fresh, const ffl_gangs_t *old);
/** Records the time of the first host list. */
void ffl_gangs_on_host_list(ffl_gangs_t *g, uint64_t now_ms);
/** Handles a worker's reply to a command of this host. */
void ffl_gangs_on_reply(ffl_gangs_t *g, ffl_fleet_t *fleet,
			const ffl_members_t *ms,
			const ffl_ev_worker_reply_t *ev, uint64_t now_ms,
			ffl_actions_t *out);
/**
 * Renews leases, advances the jobs of the cell that this host leads and
 * executes the scheduler's decisions. A host that does not lead its cell
 * renews running gangs where it is the deputy of a silent leader.
 */
void ffl_gangs_run(ffl_gangs_t *g, ffl_fleet_t *fleet, const ffl_members_t *ms,
		   const ffl_config_t *cfg, struct ffl_sched *sched,
		   ffl_logc_t *lc, uint64_t now_ms, ffl_actions_t *out);

/** Returns the job of an id, or NULL. */
const ffl_job_t *ffl_gangs_find(const ffl_gangs_t *g, uint64_t id);
/** Returns a customer's job of a name, or NULL. */
const ffl_job_t *ffl_gangs_find_name(const ffl_gangs_t *g, const char *customer,
				     const char *name);
/** Appends the state of all jobs that was folded from the log to @p out. */
void ffl_gangs_save(const ffl_gangs_t *g, GByteArray *out);
/** Loads saved jobs into an object that holds none. */
ffl_status_t ffl_gangs_load(ffl_gangs_t *g, ffl_bytes_t in, size_t *used_bytes,
			    uint64_t now_ms);
/** Returns a job with its parts as a new JSON object. */
json_t *ffl_job_to_json(const ffl_job_t *job);
const char *ffl_job_state_name(uint32_t state);

/** Returns true if this host may send its cell's workers commands now. */
bool ffl_gangs_may_act(const ffl_gangs_t *g);
/** Returns true if the cell @p dc is the one that may run the job. */
bool ffl_job_in_cell(const ffl_job_t *job, const char *dc);

#endif
