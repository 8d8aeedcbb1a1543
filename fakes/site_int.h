/**
 * @file site_int.h
 * @brief What the files of the virtual site share.
 */
#ifndef FFL_SITE_INT_H
#define FFL_SITE_INT_H

#include "fakes/site.h"

/** An order that is left unanswered is carried out at most so much later. */
#define LATE_ORDER_MAX_MS 12000

/* site.c */
void site_step_host(site_t *s, uint32_t host, ffl_node_event_t *ev);
/** Writes the ticket of a step for a worker's incarnation. */
void site_make_ticket(const char *step, const task_worker_t *w,
		      char out[FFL_TICKET_BYTES]);

/* site_oracle.c */
/** Notes a broken promise; the first stands. */
void site_record_violation(site_t *s, const char *fault, const char *detail);
/** Finds the job and the step of a task's name, or of a step's. */
site_job_t *site_find_job(site_t *s, const char *task, uint32_t *step);
/** Each third job goes to the queue of first priority. */
bool site_is_top_priority(const site_t *s, const site_job_t *job);
/* What workers tell: hooks of task_worker.h; the user is the site. */
bool site_plan_task(void *user, const char *task, task_plan_t *out);
void site_on_started(void *user, task_worker_t *w, const task_run_t *run);
void site_on_ended(void *user, task_worker_t *w, const ffl_run_report_t *row);
void site_on_acked(void *user, task_worker_t *w, const ffl_run_report_t *row);
uint32_t site_count_present(void *user, const task_run_t *run);

#endif
