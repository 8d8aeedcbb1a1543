/**
 * @file outlook.h
 * @brief For how long the room of a service is taken, and whether a new job is
 * to be turned away for it.
 *
 * The load that it answers: more work for longer than jobs may wait and still
 * be worth something.
 */
#ifndef FFL_OUTLOOK_H
#define FFL_OUTLOOK_H

#include "fireflyledge/dispatch.h"

/** Most ranks and queues in an outlook; of further ones nothing is known, and
 * no job is turned away for them. */
#define FFL_OUTLOOK_RANKS_MAX  16
#define FFL_OUTLOOK_QUEUES_MAX 32
/** Decides about no job when it is older. */
#define FFL_OUTLOOK_AGE_MAX_MS 2000

/** Resources of which either may be the one that is short. */
typedef enum {
	FFL_OUTLOOK_GPUS,
	FFL_OUTLOOK_CORES,
	FFL_OUTLOOK__MAX
} ffl_outlook_resource_t;

/** For how long all room is taken by work that goes before a new job of a
 * priority and class of work, in ms; a lower bound. */
typedef struct {
	uint32_t priority;
	uint32_t work_class;
	/** By what runs and by jobs that can still be in time. */
	uint32_t on_time_ms[FFL_OUTLOOK__MAX];
	/** By what runs and by jobs that can still be worth something. */
	uint32_t of_use_ms[FFL_OUTLOOK__MAX];
	/** The most that a task of this work takes: one that takes less of
	 * anything may find room between them. */
	ffl_resources_t task;
} ffl_outlook_rank_t;

/** Learned run time of a queue's tasks. */
typedef struct {
	uint64_t name_sum; /**< see ffl_outlook_queue_sum() */
	uint32_t run_ms;
} ffl_outlook_queue_t;

/** Outlook of a service; empty while its work finds room. */
typedef struct {
	uint32_t ranks_count; /**< by priority, then by class of work */
	ffl_outlook_rank_t ranks[FFL_OUTLOOK_RANKS_MAX];
	uint32_t queues_count;
	ffl_outlook_queue_t queues[FFL_OUTLOOK_QUEUES_MAX];
} ffl_outlook_t;

/** What is decided about a new job, and the figures behind it. */
typedef struct {
	bool refused;
	uint32_t retry_after_ms; /**< if refused */
	uint32_t run_ms;	 /**< learned run time; 0: none */
	uint64_t taken_ms;	 /**< for how long the room is taken */
	/** Longest wait after which it can still be worth something. */
	uint64_t wait_max_ms;
} ffl_outlook_verdict_t;

uint64_t ffl_outlook_queue_sum(const char *queue);

/** Works out the outlook of a service; empty unless work waits for room. */
void ffl_outlook_build(ffl_dispatch_t *d, const char *service, uint64_t now_ms,
		       ffl_outlook_t *out);

/**
 * Decides whether a new job is turned away: never unless the room is certainly
 * taken, by what goes before it, until it would be worth nothing.
 *
 * @param age_ms time since the outlook was worked out
 */
void ffl_outlook_decide(const ffl_outlook_t *o, uint64_t age_ms,
			const ffl_flow_spec_t *spec,
			ffl_outlook_verdict_t *out);

#endif
