/**
 * @file node_int.h
 * @brief What the files of an entry host share.
 */
#ifndef FFL_NODE_INT_H
#define FFL_NODE_INT_H

#include "fireflyledge/node.h"

/** First letter of a record's key tells what it is. */
#define KEY_SPEC     'j'
#define KEY_CANCEL   'c'
#define KEY_PROGRESS 'r'
#define KEY_LEAD     "lead"

/** Deadline of an append: a slow log, and a way between regions. */
#define APPEND_TIMEOUT_MS 900

ffl_node_act_t *ffl_node_act(ffl_node_t *n, ffl_node_act_kind_t kind);
/** Opens an unconditional append to the jobs' topic, without records yet. */
ffl_node_act_t *ffl_jobs_append(ffl_node_t *n);
void ffl_node_note(ffl_node_t *n, const char *event, const char *subject,
		   const char *fmt, ...) __attribute__((format(printf, 4, 5)));
/** Tells of a latency; @p user is the host. */
void ffl_node_measure(void *user, ffl_measure_t what, uint64_t ms);
uint64_t ffl_node_call(ffl_node_t *n);
/** Time before a call is repeated that has failed so often, with jitter. */
uint32_t ffl_node_backoff(ffl_node_t *n, uint32_t failures);
ffl_write_t *ffl_write_new(char kind, const char *id);
void ffl_write_free(void *data);

/* tail.c */
void ffl_tails_init(ffl_node_t *n);
void ffl_tails_finish(ffl_node_t *n);
void ffl_tails_drive(ffl_node_t *n);
/** Takes an answer to a tail's call; false where it is none. */
bool ffl_tails_take(ffl_node_t *n, const ffl_store_reply_t *reply);
/** Reads a topic anew from its newest records. */
void ffl_tail_restart(ffl_tail_t *t);
/** Asks for what is new without waiting for it. */
void ffl_tail_peek(ffl_node_t *n, ffl_topic_t topic);
/** Tells whether what was written before a time is known, or a read that
 * waits for it is on its way, or no read goes well. */
bool ffl_tail_current(const ffl_node_t *n, ffl_topic_t topic, uint64_t then_ms);
/** Tells whether all that was written before @p age_ms ago is known. */
bool ffl_tail_fresh(const ffl_node_t *n, ffl_topic_t topic, uint32_t age_ms);

/* lead.c */
void ffl_lead_init(ffl_node_t *n);
void ffl_lead_finish(ffl_node_t *n);
void ffl_lead_drive(ffl_node_t *n);
bool ffl_lead_take(ffl_node_t *n, const ffl_store_reply_t *reply);
/** Takes a record of leadership that was read. */
void ffl_lead_record(ffl_node_t *n, const ffl_store_record_t *rec);
/** Tells whether new runs may be started now. */
bool ffl_lead_may_start(const ffl_node_t *n);
/** Tells whether leases may be extended now. */
bool ffl_lead_may_hold(const ffl_node_t *n);

/* lead_record.c */

/** A record of leadership. */
typedef struct {
	char holder[FFL_NAME_BYTES];
	uint64_t life;
	uint64_t token; /**< 0 in a claim: its own offset gives it */
	uint64_t number;
	bool resigned;
} ffl_lead_record_t;

ffl_write_t *ffl_lead_write(const ffl_node_t *n, bool resigned);
bool ffl_lead_decode(ffl_bytes_t in, ffl_lead_record_t *out);

/* prune.c */
/** Drops jobs that ended long ago with a heartbeat; seldom, since it looks at
 * every job. */
void ffl_prune(ffl_node_t *n);

/* ask.c */
void ffl_ask_take(ffl_node_t *n, ffl_request_t *req);
bool ffl_ask_appended(ffl_node_t *n, const ffl_store_reply_t *reply);
void ffl_ask_drive(ffl_node_t *n);
void ffl_pending_free(void *data);
void ffl_held_free(void *data);

/* node.c */
/** Tells whether the configuration is known well enough to answer. */
bool ffl_node_serves(const ffl_node_t *n);

#endif
