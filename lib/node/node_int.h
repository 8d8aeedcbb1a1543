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
#define KEY_STATE    's'
/** A host asks a leader that is smaller to resign. */
#define KEY_WANT "want"

/** Deadline of an append: a slow log, and a way between regions. */
#define APPEND_TIMEOUT_MS 900
/** The same where many hosts append: the log lets one wait 2 s for its turn
 * and then takes it, and one sent again would wait beside it. */
#define SHARED_APPEND_TIMEOUT_MS 2500

ffl_node_act_t *ffl_node_act(ffl_node_t *n, ffl_node_act_kind_t kind);
/** Opens an unconditional append, without records yet. */
ffl_node_act_t *ffl_node_append(ffl_node_t *n, ffl_topic_t topic,
				uint32_t timeout_ms);
/** The same to the jobs' topic. */
ffl_node_act_t *ffl_jobs_append(ffl_node_t *n);
void ffl_node_note(ffl_node_t *n, const char *event, const char *subject,
		   const char *fmt, ...) __attribute__((format(printf, 4, 5)));
/** Tells of a latency; @p user is the host. */
void ffl_node_measure(void *user, ffl_latency_t what, uint64_t ms);
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

/* publish.c */
void ffl_publish_init(ffl_node_t *n);
void ffl_publish_finish(ffl_node_t *n);
/** Writes what has changed, and that the leader lives. */
void ffl_publish_drive(ffl_node_t *n);
/** Takes an answer to such a write; false where it is none. */
bool ffl_publish_take(ffl_node_t *n, const ffl_store_reply_t *reply);
/** Takes a record of the states' topic that was read. */
void ffl_publish_record(ffl_node_t *n, const ffl_store_record_t *rec);
/** Tells all hosts that the leader has resigned. */
void ffl_publish_resign(ffl_node_t *n, uint64_t token);
/** Asks the leader to resign. */
void ffl_publish_want(ffl_node_t *n);
/** Closes a flow of a host that does not lead once its state is final. */
void ffl_publish_settle(ffl_node_t *n, ffl_flow_t *flow);
/** Drops the states of jobs that left the log under an earlier leader. */
void ffl_publish_drop_orphans(ffl_node_t *n);
/** Takes that a job has left the log, so that its state may. */
void ffl_publish_drop(ffl_node_t *n, const char *id);

/* lead.c */

/** A leader shows that it lives so often. */
#define FFL_LEAD_BEAT_MS 400
/** What is known of jobs and workers must be as young as this to lead. */
#define FFL_KNOWN_MS 2200

void ffl_lead_init(ffl_node_t *n);
void ffl_lead_finish(ffl_node_t *n);
void ffl_lead_drive(ffl_node_t *n);
bool ffl_lead_take(ffl_node_t *n, const ffl_store_reply_t *reply);
/** Tells whether new runs may be started now. */
bool ffl_lead_may_start(const ffl_node_t *n);
/** Tells whether leases may be extended now. */
bool ffl_lead_may_hold(const ffl_node_t *n);
/** Ends this host's leadership. */
void ffl_lead_step_down(ffl_node_t *n, const char *why);
/** Forgets the append of leadership that is on its way. */
void ffl_lead_drop_append(ffl_node_t *n);

/* claim.c */

/** Hosts of one size claim one after the other within this time. */
#define FFL_CLAIM_SPREAD_MS 300

/** A record of leadership. */
typedef struct {
	char holder[FFL_NAME_BYTES];
	uint64_t life;
	uint64_t token; /**< 0 in a claim: its own offset gives it */
	uint64_t number;
	bool resigned;
	uint32_t size_milli; /**< of the holder; 0 where it did not say */
} ffl_lead_record_t;

/** Takes that a leader was seen; @p alive: it has just written that. */
void ffl_lead_seen(ffl_node_t *n, const ffl_lead_record_t *r, bool alive);
/** Takes a record of leadership among the progress. */
void ffl_lead_record(ffl_node_t *n, const ffl_store_record_t *rec);
/** Takes that a host of a size asks to lead. */
void ffl_lead_wanted(ffl_node_t *n, uint32_t size_milli);
/** Looks whether this host is to lead, and reads what it needs for that;
 * returns whether it is to claim now. */
bool ffl_claim_due(ffl_node_t *n);
/** Leaves it to another host that leads. */
void ffl_claim_give_way(ffl_node_t *n, const char *why);

/* lead_record.c */
/** Writes a record of this host's leadership. */
ffl_write_t *ffl_lead_write(const ffl_node_t *n, uint64_t token, bool resigned);
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
