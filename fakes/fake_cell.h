/**
 * @file fake_cell.h
 * @brief The scheduler of one cell, with an executor that carries out each
 * decision immediately.
 *
 * There are no workers, no log and no messages. A start reserves its slots and
 * the job runs; a preemption frees the slots immediately, or after stop_ms if
 * that is set.
 */
#ifndef FFL_FAKE_CELL_H
#define FFL_FAKE_CELL_H

#include "fireflyledge/sched.h"

#define FAKE_CELL_DC "altiplano-1"

/** Size of a cell and of each of its workers. */
typedef struct {
	uint32_t racks;
	uint32_t per_rack;     /**< workers in a rack */
	uint32_t accelerators; /**< slots of a worker */
	uint32_t cores;	       /**< of a worker */
	uint32_t memory_mb;    /**< of a worker */
} fake_cell_size_t;

typedef struct fake_cell fake_cell_t;

/** Called with each decision before it is carried out. */
typedef void (*fake_cell_decision_fn_t)(fake_cell_t *c, const ffl_decision_t *d,
					void *arg);

struct fake_cell {
	ffl_config_t cfg;
	ffl_fleet_t fleet;
	ffl_gangs_t gangs;
	ffl_sched_t sched;
	GArray *infos; /**< of ffl_host_info_t; tests set leaving here */
	GArray *lost;  /**< of bool by worker; true while unlisted */
	uint64_t now_ms;
	uint64_t offset;
	uint32_t stop_ms; /**< time a preempted job needs to stop */
	uint32_t decisions;
	uint64_t lost_accelerator_ms; /**< accelerator-milliseconds of work lost
					to preemption without a checkpoint */
	fake_cell_decision_fn_t on_decision;
	void *on_decision_arg;
};

void fake_cell_init(fake_cell_t *c, const fake_cell_size_t *size);
void fake_cell_finish(fake_cell_t *c);

/** Applies an intent to the configuration and confirms its plan. */
void fake_cell_apply_intent(fake_cell_t *c, const ffl_intent_t *intent);
void fake_cell_add_customer(fake_cell_t *c, const char *name, uint32_t weight,
			    uint32_t quota);
void fake_cell_add_guarantee(fake_cell_t *c, const char *customer,
			     uint32_t count, uint32_t accelerators,
			     ffl_adjacency_t adjacency);
/** Sends the host list to the scheduler; requeues the jobs of lost workers. */
void fake_cell_send_host_list(fake_cell_t *c);

/** Submits a job; a job without a name gets one from its id. */
ffl_job_t *fake_cell_submit(fake_cell_t *c, const ffl_job_spec_t *spec);
void fake_cell_cancel(fake_cell_t *c, uint64_t job);
/** Ends a running job successfully and releases its slots. */
void fake_cell_complete(fake_cell_t *c, uint64_t job);
/** Stops a whole gang, as after the loss of a member, and requeues it. */
void fake_cell_requeue(fake_cell_t *c, ffl_job_t *job);
/** Runs one scheduling pass; returns the number of decisions carried out. */
uint32_t fake_cell_run_pass(fake_cell_t *c);

#endif
