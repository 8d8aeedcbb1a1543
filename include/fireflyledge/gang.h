/**
 * @file gang.h
 * @brief Jobs: queue, placement and start as a whole.
 */
#ifndef FFL_GANG_H
#define FFL_GANG_H

#include "fireflyledge/fleet.h"
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

typedef struct {
	GHashTable *by_id;   /**< ffl_job_t by id */
	GHashTable *by_name; /**< ffl_job_t by customer and name */
	GArray *open;	     /**< of ffl_job_t *, by id: not ended */
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
/** Appends what the log says of jobs to @p out. */
void ffl_gangs_save(const ffl_gangs_t *g, GByteArray *out);
/** Loads jobs into an object that holds none. */
ffl_status_t ffl_gangs_load(ffl_gangs_t *g, ffl_bytes_t in, size_t *used_bytes,
			    uint64_t now_ms);
json_t *ffl_job_to_json(const ffl_job_t *job);
const char *ffl_job_state_name(uint32_t state);

/** Finds a place in a cell for a job; FFL_NOT_FOUND where there is none. */
ffl_status_t ffl_place(const ffl_fleet_t *fleet, const char *dc,
		       const ffl_job_spec_t *spec, ffl_placement_t *place);

#endif
