/**
 * @file fake_cell.h
 * @brief One cell's scheduler with an executor that obeys at once.
 *
 * No worker, log or message: a start takes its slots and runs, a preemption
 * gives them back at once or after stop_ms.
 */
#ifndef FFL_FAKE_CELL_H
#define FFL_FAKE_CELL_H

#include "fireflyledge/sched.h"

#define FAKE_CELL_DC "altiplano-1"

/** What a cell is made of. */
typedef struct {
	uint32_t racks;
	uint32_t per_rack;
	uint32_t accelerators; /**< of a worker */
	uint32_t cores;
	uint32_t memory_mb;
} fake_cell_size_t;

typedef struct fake_cell fake_cell_t;

/** Sees a decision before it is carried out. */
typedef void (*fake_cell_decision_fn_t)(fake_cell_t *c, const ffl_decision_t *d,
					void *arg);

struct fake_cell {
	ffl_config_t cfg;
	ffl_fleet_t fleet;
	ffl_gangs_t gangs;
	ffl_sched_t sched;
	GArray *infos; /**< of ffl_host_info_t; leaving and lost are set here */
	GArray *lost;  /**< of bool */
	uint64_t now_ms;
	uint64_t offset;
	uint32_t stop_ms; /**< time that a preempted job takes to stop */
	uint32_t decisions;
	uint64_t
		lost_accelerator_ms; /**< accelerator time lost by preemption */
	fake_cell_decision_fn_t on_decision;
	void *on_decision_arg;
};

void fake_cell_init(fake_cell_t *c, const fake_cell_size_t *size);
void fake_cell_finish(fake_cell_t *c);

/** States and confirms an intent. */
void fake_cell_apply_intent(fake_cell_t *c, const ffl_intent_t *intent);
void fake_cell_add_customer(fake_cell_t *c, const char *name, uint32_t weight,
			    uint32_t quota);
void fake_cell_add_guarantee(fake_cell_t *c, const char *customer,
			     uint32_t count, uint32_t accelerators,
			     ffl_adjacency_t adjacency);
/** Sends the list of workers; the work of lost ones is queued again. */
void fake_cell_send_host_list(fake_cell_t *c);

ffl_job_t *fake_cell_submit(fake_cell_t *c, const ffl_job_spec_t *spec);
void fake_cell_cancel(fake_cell_t *c, uint64_t job);
/** A running job completes. */
void fake_cell_complete(fake_cell_t *c, uint64_t job);
/** A job loses a member: all of it stops and is queued again. */
void fake_cell_requeue(fake_cell_t *c, ffl_job_t *job);
/** Carries out one pass; returns the number of decisions. */
uint32_t fake_cell_run_pass(fake_cell_t *c);

#endif
