/**
 * @file dispatch_int.h
 * @brief What the dispatcher's files share.
 */
#ifndef FFL_DISPATCH_INT_H
#define FFL_DISPATCH_INT_H

#include "fireflyledge/dispatch.h"

/** A lease, as percent of the longest: a successor has time to adopt. */
#define LEASE_PERCENT 65
/** A hold's answer waits so long for an end; the workers' own bound. */
#define HOLD_WAIT_MS 1000
/** The same where a latency objective is watched: the workers' figures are
 * of the last half second. */
#define SERVE_WAIT_MS 500
/** A worker's clock may be 2% slow. */
#define CLOCK_SLOW_PERCENT 98
#define PERCENT		   100

/** An order on its way. */
typedef struct {
	uint64_t call;
	ffl_order_kind_t kind;
	ffl_dispatch_worker_t *worker;
	ffl_run_t *run; /**< NULL for a hold, or when the run has gone */
	uint64_t sent_ms;
	uint64_t acked;
	uint32_t percent; /**< pace that was ordered */
} ffl_open_call_t;

void ffl_dispatch_note(ffl_dispatch_t *d, const char *event,
		       const char *subject, const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));

void ffl_dispatch_measure(ffl_dispatch_t *d, ffl_latency_t what, uint64_t ms);

/* runner.c */
ffl_dispatch_worker_t *ffl_runner_get(ffl_dispatch_t *d, const char *id);
bool ffl_room_fits(const ffl_resources_t *free, const ffl_resources_t *need);
ffl_resources_t ffl_runner_free(const ffl_dispatch_worker_t *r);
void ffl_room_add(ffl_resources_t *to, const ffl_resources_t *room);
void ffl_room_take(ffl_resources_t *from, const ffl_resources_t *room);
/** Latest end of a lease that may be given now; 0 without a clock. */
uint64_t ffl_runner_lease(const ffl_dispatch_t *d, ffl_dispatch_worker_t *r,
			  uint64_t now_ms);
void ffl_runner_clock(ffl_dispatch_worker_t *r, uint64_t clock_ms,
		      uint64_t now_ms);
void ffl_runner_free_data(void *data);
/**
 * Takes that an incarnation of a worker is no more.
 *
 * @param same_id whether another one may take orders that were meant for it
 */
void ffl_runner_lost(ffl_dispatch_t *d, ffl_dispatch_worker_t *r, bool same_id,
		     uint64_t now_ms);
void ffl_runner_good(ffl_dispatch_worker_t *r);
void ffl_runner_bad(ffl_dispatch_t *d, ffl_dispatch_worker_t *r,
		    const ffl_flow_t *flow, uint64_t now_ms);

/* rack.c */
void ffl_racks_init(ffl_dispatch_t *d);
void ffl_racks_finish(ffl_dispatch_t *d);
/** Takes that a worker was listed, went, or came to another rack. */
void ffl_racks_forget(ffl_dispatch_t *d);
/** Racks of the listed workers, of ffl_rack_t *. */
const GPtrArray *ffl_racks(ffl_dispatch_t *d);
/** The listed workers by id, of ffl_dispatch_worker_t *. */
const GPtrArray *ffl_listed(ffl_dispatch_t *d);

/* speed.c */
/** Usual speed of a worker, as thousandths of a mean one's. */
uint32_t ffl_runner_speed(const ffl_dispatch_worker_t *r);
/** Tells whether a worker runs well below its usual speed. */
bool ffl_runner_slow(const ffl_dispatch_worker_t *r, uint64_t now_ms);
/** Rate that a run has on its worker when that is sound; 0: not known. */
uint64_t ffl_run_usual_rate(const ffl_dispatch_t *d, const ffl_run_t *run);
/** Begins a window at which a run's rate is taken. */
void ffl_speed_begin(ffl_run_t *run, uint32_t percent, uint64_t now_ms);
/** Takes how far a run is. */
void ffl_speed_take(ffl_dispatch_t *d, ffl_run_t *run, uint32_t percent,
		    uint64_t now_ms);

/* avail.c */
/**
 * Tells whether a step bears it that one more of its tasks is stopped.
 *
 * @param also of ffl_run_t *: runs that are to be stopped too, or NULL
 */
bool ffl_step_may_miss(const ffl_dispatch_t *d, const ffl_run_t *run,
		       GHashTable *also);

/* run.c */
ffl_run_t *ffl_run_add(ffl_dispatch_t *d, ffl_flow_t *flow, uint32_t task,
		       uint32_t run, ffl_dispatch_worker_t *r, uint64_t now_ms);
/** The runs of a flow, of ffl_run_t *; never NULL. */
const GPtrArray *ffl_runs_of(const ffl_dispatch_t *d, const ffl_flow_t *flow);
/** Frees all runs, whose workers must forget them. */
void ffl_runs_clear(ffl_dispatch_t *d);
ffl_run_t *ffl_run_find(const ffl_dispatch_worker_t *r,
			const ffl_run_report_t *row);
void ffl_run_end(ffl_dispatch_t *d, ffl_run_t *run, ffl_run_end_t end,
		 const char *saved, uint64_t now_ms);
/** Asks for the end of a run, and of its whole gang. */
void ffl_run_stop(ffl_dispatch_t *d, ffl_run_t *run, const char *why);
void ffl_flow_dirty(ffl_dispatch_t *d, ffl_flow_t *flow);
const ffl_step_t *ffl_run_step(const ffl_run_t *run);
/** Tells whether two runs are of one step of one occurrence. */
bool ffl_run_same_step(const ffl_run_t *a, const ffl_run_t *b);
bool ffl_run_same_gang(const ffl_run_t *a, const ffl_run_t *b);

/* place.c */
void ffl_place(ffl_dispatch_t *d, uint64_t now_ms, uint64_t wall_ms);

/** A shape of task that found no room in this pass. */
typedef struct {
	ffl_resources_t resources;
	const char *label;
	const char *rack;
	uint32_t tasks;
	bool guaranteed;
	bool gang;
	bool one_rack; /**< it was tried in one rack alone */
} ffl_shape_t;

/** A step that waits for room. */
typedef struct {
	ffl_flow_t *flow;
	const ffl_step_t *step;
	uint32_t step_index;
	uint32_t occurrence;
	uint32_t first; /**< index of the step's first task */
	uint64_t now_ms;
	bool guaranteed;
	bool near_only;	 /**< neither far from its data nor spread */
	bool sound_only; /**< not on a slow worker */
} ffl_unit_t;

ffl_resources_t ffl_step_room(const ffl_step_t *step);

/* misfit.c */
/** Tells whether a step needs no less than what found no room already. */
bool ffl_is_misfit(ffl_dispatch_t *d, const ffl_unit_t *unit);
void ffl_add_misfit(ffl_dispatch_t *d, const ffl_unit_t *unit);

/* choose.c */
/** Tells whether a worker is one for a step, tickets aside. */
bool ffl_runner_allows(const ffl_dispatch_worker_t *r, const ffl_unit_t *unit);
/** Tells whether a step may run on a worker now, if there is room. */
bool ffl_may_run(const ffl_dispatch_t *d, const ffl_dispatch_worker_t *r,
		 const ffl_unit_t *unit);
/** Tasks of a step that run on a worker. */
uint32_t ffl_runner_tasks_of(const ffl_dispatch_worker_t *r,
			     const ffl_unit_t *unit);
/** Tells whether room that is being freed there is another flow's. */
bool ffl_runner_reserved(const ffl_dispatch_worker_t *r,
			 const ffl_unit_t *unit);
/** Returns the best of some workers for a task; NULL: none. */
ffl_dispatch_worker_t *ffl_choose(const ffl_dispatch_t *d,
				  const ffl_unit_t *unit,
				  const GPtrArray *among);
/** Chooses one of some workers for each task of a gang; false where it does
 * not fit. */
bool ffl_choose_gang(const ffl_dispatch_t *d, const ffl_unit_t *unit,
		     const GPtrArray *among, ffl_dispatch_worker_t **chosen);
/** The same in one rack. */
bool ffl_choose_rack(ffl_dispatch_t *d, const ffl_unit_t *unit,
		     ffl_dispatch_worker_t **chosen);
bool ffl_may_go_far(const ffl_dispatch_t *d, const ffl_unit_t *unit);
/** Counts the GPUs that are free, at the beginning of a pass. */
void ffl_count_free(ffl_dispatch_t *d);
/** Share of the GPUs that are free, in this pass. */
uint32_t ffl_free_percent(const ffl_dispatch_t *d);

/* pace.c */
/** Pace of a run of which it is not known. */
#define PACE_UNKNOWN UINT32_MAX
/** Tells whether a worker has tasks with a latency objective. */
bool ffl_runner_serves(const ffl_dispatch_worker_t *r);
/** Sets the pace of what fills on a worker, after its report was taken. */
void ffl_pace_take(ffl_dispatch_t *d, ffl_dispatch_worker_t *r);
/** Tells whether a run's worker is to be told its pace. */
bool ffl_pace_due(const ffl_run_t *run);

/* advice.c */
void ffl_advice_init(ffl_advice_t *a);
void ffl_advice_finish(ffl_advice_t *a);
/** Forgets all; what an earlier leader was told is not known to this one. */
void ffl_advice_reset(ffl_advice_t *a);
/** Tells whether a step may run on a worker now. */
bool ffl_advice_allows(const ffl_dispatch_t *d, const ffl_unit_t *unit,
		       const ffl_dispatch_worker_t *r);
/** Returns the ticket of a start; NULL where none is needed. */
const char *ffl_advice_ticket(const ffl_dispatch_t *d, const ffl_run_t *run);
/** Takes that a worker did not accept its ticket. */
void ffl_advice_refused(ffl_dispatch_t *d, const ffl_run_t *run);
/** Notes that a step waits for advice; the first of a pass is asked for. */
void ffl_advice_want(ffl_dispatch_t *d, const ffl_unit_t *unit);
void ffl_advice_drive(ffl_dispatch_t *d, GArray *orders, uint64_t now_ms);
/** Takes the adviser's answer; false where it is another's. */
bool ffl_advice_take(ffl_dispatch_t *d, const ffl_reply_t *reply,
		     uint64_t now_ms);
void ffl_advice_forget(ffl_dispatch_t *d, const ffl_flow_t *flow);

/* drive.c */
void ffl_drive_runs(ffl_dispatch_t *d, bool may_start, GArray *orders,
		    uint64_t now_ms);
void ffl_drive_runners(ffl_dispatch_t *d, GArray *orders, uint64_t now_ms);

/* watch.c */
/** Stops what is cancelled, hangs or would be lost with its worker. */
void ffl_watch_runs(ffl_dispatch_t *d, uint64_t now_ms);
/** Gives up the runs of a worker whose leases have all ended. */
void ffl_watch_runner(ffl_dispatch_t *d, ffl_dispatch_worker_t *r,
		      uint64_t now_ms);

/* rank.c */

/** What a flow is still worth. */
typedef enum {
	FFL_TIER_TIMELY, /**< can meet its objective */
	FFL_TIER_LATE,	 /**< is worth less */
	FFL_TIER_LOST,	 /**< is worth nothing any more */
	FFL_TIER__MAX
} ffl_tier_t;

/** Time that a run of a step is expected to take near its data. */
uint64_t ffl_expect_run(const ffl_dispatch_t *d, const ffl_flow_t *flow,
			uint32_t step);
/** Learns from a run that has ended well. */
void ffl_learn_run(ffl_dispatch_t *d, const ffl_run_t *run, uint64_t now_ms);
ffl_tier_t ffl_rank_tier(const ffl_dispatch_t *d, const ffl_flow_t *flow,
			 uint64_t now_ms);
/** Tells whether a flow has slack to wait for others. */
bool ffl_rank_may_wait(const ffl_dispatch_t *d, const ffl_flow_t *flow,
		       uint64_t now_ms);
/** Share of the GPUs that a flow with slack leaves free, in percent. */
uint32_t ffl_rank_headroom(const ffl_flow_t *flow);

/* preempt.c */
/** Stops what keeps a guaranteed gang from starting, if that helps. */
bool ffl_preempt(ffl_dispatch_t *d, const ffl_unit_t *unit, uint32_t need);

#endif
