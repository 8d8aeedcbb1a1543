/**
 * @file node_int.h
 * @brief Interfaces shared by the source files of the entry host (node).
 */
#ifndef FFL_NODE_INT_H
#define FFL_NODE_INT_H

#include "fireflyledge/node.h"

/** The first character of a record's key gives the record's type. */
#define KEY_SPEC     'j'
#define KEY_CANCEL   'c'
#define KEY_PROGRESS 'r'
#define KEY_STATE    's'
#define KEY_OUTLOOK  'o'
/** Key of a leadership record. */
#define KEY_LEAD "lead"
/** Largest leadership record. */
#define LEAD_RECORD_BYTES_MAX 128
/** Key of the record that tells over how many partitions jobs are spread: one
 * byte, in partition 0 of the topic of jobs. Without it jobs are in that one.
 */
#define KEY_PARTITIONS "parts"
/** Key of the record by which a larger host asks the leader to resign. */
#define KEY_RESIGN_REQUEST "want"

/** Timeout of an append to a topic that only the leader writes: covers a slow
 * log and a round trip between regions. */
#define APPEND_TIMEOUT_MS 900
/** Timeout of an append to a topic that many hosts write. The log lets an
 * append queue for up to 2 s and then performs it; a retry sent before that
 * would queue beside the first attempt. */
#define SHARED_APPEND_TIMEOUT_MS 2500

/** Most bytes of one append, whatever the log allows: a slow link takes longer
 * than APPEND_TIMEOUT_MS for more. */
#define APPEND_BYTES_MAX (256U << 10)

/* node.c */
/** Adds an empty action to the output of this step; valid until the next one
 * is added. */
ffl_node_act_t *ffl_node_add_act(ffl_node_t *n, ffl_node_act_kind_t kind);
/** Adds an unconditional append to @p topic; the caller adds the records. */
ffl_node_act_t *ffl_node_add_append(ffl_node_t *n, ffl_topic_t topic,
				    uint32_t timeout_ms);
/** Adds an unconditional append to a partition of the topic of jobs, which all
 * hosts write. */
ffl_node_act_t *ffl_node_add_jobs_append(ffl_node_t *n, uint32_t part);
/** Returns the read position in a partition of the topic of jobs. */
ffl_tail_t *ffl_node_jobs_tail(ffl_node_t *n, uint32_t part);
/** The same, to be looked at only. */
const ffl_tail_t *ffl_node_view_jobs_tail(const ffl_node_t *n, uint32_t part);
/** Returns the partitions over which jobs are spread, a bit each. */
uint32_t ffl_node_all_parts(const ffl_node_t *n);
/** Returns true if all partitions over which jobs are spread have been read. */
bool ffl_node_knows_jobs(const ffl_node_t *n);
/** Returns the partitions of jobs, a bit each, of which records older than
 * FFL_LEAD_STALENESS_MAX_MS may not be known. */
uint32_t ffl_node_unread_parts(const ffl_node_t *n);
/** Adds a log line; @p fmt formats its text. */
void ffl_node_note(ffl_node_t *n, const char *event, const char *subject,
		   const char *fmt, ...) __attribute__((format(printf, 4, 5)));
/** Adds a latency measurement; @p user is the ffl_node_t. */
void ffl_node_measure(void *user, ffl_latency_t what, uint64_t ms);
/** Returns a new call number; numbers are never 0 and never reused. */
uint64_t ffl_node_next_call(ffl_node_t *n);
/** Returns the delay, with jitter, before a call is retried that has failed
 * @p failures times in a row, which must be at least 1. */
uint32_t ffl_node_backoff_ms(ffl_node_t *n, uint32_t failures);
/** Returns true if configuration, jobs and states are known and the
 * configuration is recent enough to answer all requests. */
bool ffl_node_can_serve(const ffl_node_t *n);
/** Like ffl_node_can_serve() for requests that need one partition of jobs;
 * another one may be read anew. */
bool ffl_node_can_serve_part(const ffl_node_t *n, uint32_t part);
/** Allocates a record with an empty value. Its key is @p kind followed by
 * @p id, or @p id alone if @p kind is '\0'. */
ffl_write_t *ffl_write_new(char kind, const char *id);
/** Returns the size of a record in an append. */
uint64_t ffl_write_bytes(const ffl_write_t *w);
/** Returns the most bytes that one append may have. */
uint64_t ffl_node_append_bytes_max(const ffl_node_t *n);
/** Frees an ffl_write_t. */
void ffl_write_free(void *data);

/* tail.c */
void ffl_tails_init(ffl_node_t *n);
void ffl_tails_finish(ffl_node_t *n);
/** Lets a job go by what the configuration in force says of its queue. Returns
 * true if it has not ended and its service has changed. */
bool ffl_node_apply_route(ffl_node_t *n, ffl_flow_t *flow);
/** Sends the reads that are due. */
void ffl_tails_drive(ffl_node_t *n);
/** Handles a reply to a read of a followed topic; returns false if @p reply
 * answers another call. */
bool ffl_tails_handle_reply(ffl_node_t *n, const ffl_store_reply_t *reply);
/** After a call that the log has carried out, makes the reads that failed
 * before due at once. */
void ffl_tails_log_answered(ffl_node_t *n);
/** Discards the read position; the topic is read again, beginning with the
 * newest record of each key. */
void ffl_tail_restart(ffl_tail_t *t);
/** Reads new records without waiting for any, beside the read that waits. */
void ffl_tail_peek(ffl_node_t *n, ffl_tail_t *t);
/** Reads all partitions of jobs at once, in place of the reads that wait there.
 */
void ffl_tails_probe_jobs(ffl_node_t *n);
/** Returns true if no further read is needed to answer a request that came at
 * @p then_ms: all records written before then are known, a read sent before
 * then is waiting for records, or the log is failing anyway. */
bool ffl_tail_is_current(const ffl_node_t *n, ffl_topic_t topic,
			 uint64_t then_ms);
/** Returns true if every record that is older than @p age_ms is known. */
bool ffl_tail_is_caught_up(const ffl_node_t *n, ffl_topic_t topic,
			   uint32_t age_ms);

/* evacuation.c */
void ffl_evacuations_init(ffl_node_t *n);
void ffl_evacuations_finish(ffl_node_t *n);
/** Applies a record by which an evacuation begins or ends. */
void ffl_evacuations_apply_record(ffl_node_t *n, const ffl_store_record_t *rec);
/** Ends the evacuations whose records are not in the pages of the newest
 * records of the configuration's topic. */
void ffl_evacuations_drop_unlisted(ffl_node_t *n);
/** Returns true if an evacuation that this host does not know of allows a run
 * that is started now. */
bool ffl_evacuations_may_start(const ffl_node_t *n);
/** Returns how long a read of the configuration's topic may wait for records,
 * of @p most_ms. */
uint32_t ffl_evacuations_wait_ms(const ffl_node_t *n, uint32_t most_ms);

/* publish.c */
void ffl_publish_init(ffl_node_t *n);
void ffl_publish_finish(ffl_node_t *n);
/** As leader, publishes changed job states and the leader's heartbeat. */
void ffl_publish_drive(ffl_node_t *n);
/** Handles the reply to a publishing append; returns false if @p reply answers
 * another call. */
bool ffl_publish_handle_reply(ffl_node_t *n, const ffl_store_reply_t *reply);
/** Applies a record that was read from the topic of states. */
void ffl_publish_apply_record(ffl_node_t *n, ffl_tail_t *t,
			      const ffl_store_record_t *rec);
/** Announces to all hosts that the leader with @p token has resigned. */
void ffl_publish_resignation(ffl_node_t *n, uint64_t token);
/** Asks the current leader to resign in favour of this host. */
void ffl_publish_resign_request(ffl_node_t *n);
/** On a host that does not lead, closes @p flow if its published state is
 * final; @p flow may be NULL. */
void ffl_publish_close_flow(ffl_node_t *n, ffl_flow_t *flow);
/** Schedules the removal of states whose jobs an earlier leader removed from
 * the log. */
void ffl_publish_drop_orphans(ffl_node_t *n);
/** Schedules the removal of the state of a job that has left the log. */
void ffl_publish_add_drop(ffl_node_t *n, const char *id);

/* outlook.c */
void ffl_outlooks_init(ffl_node_t *n);
void ffl_outlooks_finish(ffl_node_t *n);
/** As leader, adds the records of the outlooks that are due. */
void ffl_outlooks_publish(ffl_node_t *n, GPtrArray *writes);
/** Applies a record that was read from the topic of states. */
void ffl_outlooks_apply_record(ffl_node_t *n, const ffl_store_record_t *rec);
/** Returns true if a submission is to be turned away by what is known now; an
 * outlook that is old, or not of the present leader, decides nothing. */
bool ffl_outlooks_refuse(const ffl_node_t *n, const ffl_flow_spec_t *spec,
			 ffl_turned_away_t *out);

/* lead.c */

/** A host may lead, and a leader may start runs, only while it knows all
 * records older than this. */
#define FFL_LEAD_STALENESS_MAX_MS 2200

void ffl_lead_init(ffl_node_t *n);
void ffl_lead_finish(ffl_node_t *n);
/** Claims leadership, or writes progress and heartbeats as leader, if due. */
void ffl_lead_drive(ffl_node_t *n);
/** Handles the reply to an append of leadership or to the read that checks
 * one; returns false if @p reply answers another call. */
bool ffl_lead_handle_reply(ffl_node_t *n, const ffl_store_reply_t *reply);
/** Returns true if this host's authority covers starting new runs now. */
bool ffl_lead_may_start_runs(const ffl_node_t *n);
/** Returns true if this host's authority covers extending leases now. */
bool ffl_lead_may_extend_leases(const ffl_node_t *n);
/** Ends this host's leadership; @p why goes into the log line. */
void ffl_lead_step_down(ffl_node_t *n, const char *why);
/** Discards the append of leadership in flight; its reply will be ignored. */
void ffl_lead_discard_append(ffl_node_t *n);

/* claim.c */

/** Hosts of the same size spread their claims over this interval. */
#define FFL_CLAIM_SPREAD_MS 300

/** A leadership record: a claim, a heartbeat, a resignation, or a request to
 * resign. */
typedef struct {
	char holder[FFL_NAME_BYTES];
	uint64_t incarnation; /**< of the holder */
	uint64_t token;	      /**< fencing token; 0 in a claim, whose own offset
			       * gives it, and in a request to resign */
	uint64_t append_number; /**< of the holder's appends */
	bool resigned;
	uint32_t size_milli; /**< of the holder, in thousandths of a core; 0 if
			      * not recorded */
	/** For how long leaders before the holder may give leases, in ms; 0 if
	 * not recorded. */
	uint32_t earlier_lease_ms;
} ffl_lead_record_t;

/** Updates what is known of the leader from a leadership record; @p alive is
 * true if the record shows that its holder has been alive just now. */
void ffl_lead_update_holder(ffl_node_t *n, const ffl_lead_record_t *r,
			    bool alive);
/** Applies a leadership record that was read from the topic of runs. */
void ffl_lead_apply_record(ffl_node_t *n, const ffl_store_record_t *rec);
/** Handles the request of a host of @p size_milli thousandths of a core that
 * the leader resign. */
void ffl_lead_handle_resign_request(ffl_node_t *n, uint32_t size_milli);
/** Returns how long this host waits before it claims, beyond the silence that
 * counts as a loss, in ms. */
uint32_t ffl_claim_wait_ms(const ffl_node_t *n);
/** Advances a claim: loads the progress of jobs once this host should lead, or
 * asks a much smaller leader to resign. Returns true if the claim is to be
 * written now. */
bool ffl_claim_advance(ffl_node_t *n);
/** Abandons this host's claim and follows another leader. */
void ffl_claim_abandon(ffl_node_t *n, const char *why);

/* lead.c */
/** Returns for how long leaders before this host, which leads or claims, may
 * give leases, in ms. */
uint32_t ffl_lead_earlier_lease_ms(const ffl_node_t *n);

/* lead_record.c */
/** Encodes a leadership record of this host; @p token is 0 in a claim. */
ffl_write_t *ffl_lead_encode(const ffl_node_t *n, uint64_t token,
			     bool resigned);
/** Decodes a leadership record; returns false if it is malformed. */
bool ffl_lead_decode(ffl_bytes_t in, ffl_lead_record_t *out);

/* jobs.c */

/** Number of records after which a search for records to remove ends. */
#define FFL_DROPS_MAX 64

/** Appends to the topic of jobs that are being filled, one a partition. */
typedef struct {
	GPtrArray *writes[FFL_JOBS_PARTS_MAX]; /**< of ffl_write_t; NULL: no
						* append yet */
	uint64_t calls[FFL_JOBS_PARTS_MAX];
	uint32_t count; /**< records in all of them */
} ffl_jobs_batch_t;

/** Adds a record to the append to its partition, which is added if need be;
 * takes @p w. */
void ffl_jobs_batch_add(ffl_node_t *n, ffl_jobs_batch_t *b, uint32_t part,
			ffl_write_t *w);
/** Returns the partition that the records of a job belong to. */
uint32_t ffl_jobs_part(const ffl_node_t *n, const char *id);
/** As leader, spreads jobs over all partitions that are read, once they are
 * known to be there; repeated until that is read. */
void ffl_jobs_spread(ffl_node_t *n);
/** Forgets what is known of a partition's cancellations and rivals, which its
 * pages bring again. */
void ffl_jobs_begin_pages(ffl_node_t *n, uint32_t part);
/** Removes the jobs of a partition that its pages did not list. */
void ffl_jobs_drop_unlisted(ffl_node_t *n, const ffl_tail_t *t);
/** Applies a record of the topic of jobs: a specification, a cancellation or
 * the removal of one. */
void ffl_jobs_apply_record(ffl_node_t *n, ffl_tail_t *t,
			   const ffl_store_record_t *rec);
/** Forgets a job that has left the log. */
void ffl_jobs_remove(ffl_node_t *n, const char *id);
/** As leader, removes specifications whose ids belong to an earlier owner;
 * repeated until their removal is read. */
void ffl_jobs_drop_rivals(ffl_node_t *n);

/* prune.c */
/** Removes jobs that ended long ago from the log, and the texts of those that
 * have ended. Called with each append of the leader before it is sent; does
 * nothing most times, as it visits every job. */
void ffl_prune(ffl_node_t *n);

/* explain.c */
/** Answers an operator's question; nothing else comes of it. */
void ffl_request_explain(ffl_node_t *n, ffl_request_t *req);
/** Frees an ffl_request_explanation_t. */
void ffl_request_explanation_free(void *data);

/* requests.c */
/** Answers a request, or keeps it until it can be answered. */
void ffl_request_handle(ffl_node_t *n, ffl_request_t *req);
/** Handles the reply to an append of specifications and cancellations; returns
 * false if @p reply answers another call. */
bool ffl_request_handle_reply(ffl_node_t *n, const ffl_store_reply_t *reply);
/** Answers the waiting requests that can be answered or have timed out, and
 * sends the appends that are due. */
void ffl_request_drive(ffl_node_t *n);
/**
 * Finds the queue that a request is for, and whose it is.
 *
 * @param customer receives the customer of its key, or NULL
 * @return FFL_RESPONSE__MAX, or how the request is refused
 */
ffl_response_kind_t ffl_request_route(const ffl_node_t *n,
				      const ffl_request_t *req,
				      const ffl_route_t **route,
				      const char **customer);
/**
 * Decides on a submission by what is known now; changes its specification only.
 *
 * @param record receives what is to be written, or NULL
 * @param problem receives why it is invalid
 * @return FFL_RESPONSE__MAX if its record is to be written, or the answer
 */
ffl_response_kind_t ffl_request_decide(const ffl_node_t *n, ffl_request_t *req,
				       const ffl_route_t *route,
				       const char *customer,
				       GByteArray **record,
				       char problem[FFL_REASON_BYTES]);
/** Returns true if a request can be served: the partition of its job is known,
 * or all are if it names none. */
bool ffl_request_can_serve(const ffl_node_t *n, const ffl_request_t *req);
/** Returns true if a request that cannot be served yet is held. */
bool ffl_request_may_hold(const ffl_node_t *n);
/** Frees an ffl_pending_t. */
void ffl_pending_free(void *data);
/** Frees an ffl_held_t. */
void ffl_held_free(void *data);

/* request_append.c */
/** Returns true if the log takes the records of a job: one whose records it
 * would refuse can never be served. */
bool ffl_request_fits_log(const ffl_node_t *n, const ffl_flow_spec_t *spec,
			  uint32_t record_bytes);
/** Appends the records of waiting requests that are due. */
void ffl_request_send_appends(ffl_node_t *n);
/** Notes what came of the append that holds a request's record; returns false
 * if @p reply answers another call. */
bool ffl_request_take_reply(const ffl_node_t *n, ffl_pending_t *p,
			    const ffl_store_reply_t *reply);

#endif
