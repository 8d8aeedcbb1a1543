/**
 * @file node.h
 * @brief State machine of one entry host: events in, actions out.
 *
 * The host has no storage of its own; its state is built from topics of a log
 * service. One host is the leader. Only the leader writes the topic of runs,
 * by appends that succeed only if the topic still ends where the leader
 * expects, which fences a superseded leader.
 *
 * Requests come from callers and get responses; calls go out to the log and to
 * workers and get replies.
 */
#ifndef FFL_NODE_H
#define FFL_NODE_H

#include "fireflyledge/explain.h"
#include "fireflyledge/outlook.h"
#include "fireflyledge/rng.h"
#include "fireflyledge/routes.h"
#include "fireflyledge/silence.h"

/** Topics of the log. */
typedef enum {
	FFL_TOPIC_CONFIG,  /**< written by operators */
	FFL_TOPIC_WORKERS, /**< written by workers */
	FFL_TOPIC_JOBS,	   /**< specifications and cancellations of jobs,
			    * written by all hosts */
	FFL_TOPIC_RUNS,	   /**< leadership and progress of jobs, written by the
			    * leader; read by a host before it claims */
	FFL_TOPIC_STATES,  /**< current leader and state of each job, written by
			    * the leader, also requests that it resign; read by
			    * all hosts */
	FFL_TOPIC__MAX
} ffl_topic_t;

/** Most partitions that the topic of jobs is spread over. Each adds reads at
 * all hosts; a partition takes one append after the other. */
#define FFL_JOBS_PARTS_MAX 4
/** Number of read positions: one for each topic, and one for each further
 * partition of the topic of jobs. */
#define FFL_TAILS_MAX (FFL_TOPIC__MAX + FFL_JOBS_PARTS_MAX - 1)

/** Bytes of a record in an append besides its key and value: the lengths of the
 * record and of its key. */
#define FFL_RECORD_FRAME_BYTES 5
/** Size of a record's key in bytes, with its terminator. */
#define FFL_RECORD_KEY_BYTES 64
/** Size of the longest key that other writers may use, with its terminator. */
#define FFL_CURSOR_BYTES 256
/** Value of ffl_act_store_t.expected_end in an unconditional append. */
#define FFL_ANY_END UINT64_MAX

/** Outcome of a call to the log. */
typedef enum {
	FFL_STORE_OK,
	FFL_STORE_MOVED,   /**< nothing appended: the topic does not end at
			    * expected_end */
	FFL_STORE_EXPIRED, /**< the log no longer has the records asked for */
	FFL_STORE_REFUSED, /**< the call certainly had no effect */
	FFL_STORE_UNKNOWN, /**< the call may have had its effect, or may have it
			    * later */
	FFL_STORE__MAX
} ffl_store_outcome_t;

/** A record that was read. Values in the platform's format are decoded. */
typedef struct {
	uint64_t offset;
	char key[FFL_RECORD_KEY_BYTES]; /**< "?" if it cannot be read */
	ffl_bytes_t value;		/**< empty if the key was removed */
	ffl_routes_t *routes;		/**< decoded configuration, or NULL */
	ffl_worker_entry_t *worker;	/**< decoded worker entry, or NULL */
	/** Data centre that this record evacuates, or no longer if it has no
	 * value; NULL: it is about none. Its key may be "?" then. */
	const char *evacuated_dc;
	const char *problem; /**< why there is none: a static word, or NULL */
} ffl_store_record_t;

/** A reply of the log. */
typedef struct {
	uint64_t call; /**< number of the call that it answers */
	ffl_store_outcome_t outcome;
	uint64_t first; /**< read: first retained offset; append: offset of its
			 * first record */
	uint64_t end;	/**< end of the topic: offset of its next record */
	bool more;	/**< page of newest records: more keys follow */
	/** Page: its last key by which the next page can be asked for, or NULL.
	 */
	const char *last_key;
	ffl_store_record_t *records;
	uint32_t count;
} ffl_store_reply_t;

/** Kind of a caller's request. */
typedef enum {
	FFL_REQUEST_SUBMIT,
	FFL_REQUEST_QUERY, /**< state of a job, or length of a queue */
	FFL_REQUEST_CANCEL,
	FFL_REQUEST_OTHER, /**< unsupported method */
	FFL_REQUEST__MAX
} ffl_request_kind_t;

/** A caller's request. */
typedef struct {
	uint64_t call; /**< number of the request */
	ffl_request_kind_t kind;
	const char *host;
	const char *path;
	const char *key;       /**< API key, or "" */
	uint32_t deadline_ms;  /**< how long the caller waits; 0: not stated */
	ffl_flow_spec_t *spec; /**< of a submission, or NULL if unreadable; the
				* node empties it if it keeps the request */
	const char *problem;   /**< why the body is unreadable, or NULL */
} ffl_request_t;

/** Kind of the response to a request. */
typedef enum {
	FFL_RESPONSE_ACCEPTED,
	FFL_RESPONSE_STATE,   /**< state of a job */
	FFL_RESPONSE_PENDING, /**< number of jobs that wait in a queue */
	FFL_RESPONSE_CANCELLED,
	FFL_RESPONSE_GONE, /**< no such job in this queue that is the
			    * caller's */
	FFL_RESPONSE_NO_ROUTE,
	FFL_RESPONSE_NO_KEY, /**< missing or unknown API key */
	FFL_RESPONSE_INVALID,
	FFL_RESPONSE_CONFLICT, /**< the id belongs to a different job */
	FFL_RESPONSE_NO_METHOD,
	FFL_RESPONSE_BUSY, /**< the request has had and will have no effect */
	FFL_RESPONSE_UNKNOWN, /**< may have been accepted: the caller should
			       * retry with the same id */
	FFL_RESPONSE__MAX
} ffl_response_kind_t;

typedef enum {
	FFL_NODE_EV_TICK,    /**< time has passed */
	FFL_NODE_EV_STORE,   /**< reply of the log */
	FFL_NODE_EV_WORKER,  /**< reply of a worker */
	FFL_NODE_EV_REQUEST, /**< request of a caller */
	FFL_NODE_EV_STOP,    /**< a planned stop begins */
	FFL_NODE_EV_EXPLAIN, /**< an operator asks what would become of a
			      * request; ffl_node_event_t.request */
	FFL_NODE_EV__MAX
} ffl_node_event_kind_t;

/** An event for the node; the union member goes with the kind. */
typedef struct {
	ffl_node_event_kind_t kind;
	uint64_t now_ms;  /**< monotonic clock that counts suspended time */
	uint64_t wall_ms; /**< Unix time */
	union {
		ffl_store_reply_t store;
		ffl_reply_t worker;
		ffl_request_t request;
	};
} ffl_node_event_t;

typedef enum {
	FFL_NODE_ACT_READ,    /**< read a topic's records from an offset */
	FFL_NODE_ACT_NEWEST,  /**< read the newest record of each key */
	FFL_NODE_ACT_APPEND,  /**< append records to a topic */
	FFL_NODE_ACT_ORDER,   /**< send an order to a worker */
	FFL_NODE_ACT_RESPOND, /**< answer a request */
	FFL_NODE_ACT_READY,   /**< report the host as ready or not ready */
	FFL_NODE_ACT_NOTE,    /**< write a log line */
	FFL_NODE_ACT_MEASURE, /**< record a latency */
	FFL_NODE_ACT_EXIT,    /**< end the process */
	FFL_NODE_ACT_EXPLAIN, /**< answer an operator's question */
	FFL_NODE_ACT__MAX
} ffl_node_act_kind_t;

/** A record to append. */
typedef struct {
	char key[FFL_RECORD_KEY_BYTES];
	GByteArray *value; /**< empty: remove the key */
} ffl_write_t;

/** A call to the log. */
typedef struct {
	uint64_t call;
	ffl_topic_t topic;
	uint32_t part;	  /**< partition of the topic */
	uint64_t from;	  /**< READ: first offset */
	uint32_t wait_ms; /**< READ: how long to wait for a record */
	uint32_t timeout_ms;
	char after_key[FFL_CURSOR_BYTES]; /**< NEWEST: last key of the page
					   * before, or "" */
	uint64_t expected_end; /**< APPEND: fail unless the topic ends here;
				* FFL_ANY_END: no condition */
	GPtrArray *writes;     /**< of ffl_write_t; a reference */
} ffl_act_store_t;

/** A log line. */
typedef struct {
	char event[32];
	char subject[FFL_TASK_NAME_BYTES];
	char text[FFL_REASON_BYTES];
} ffl_act_note_t;

/** A measured latency. */
typedef struct {
	ffl_latency_t what;
	uint64_t ms;
} ffl_act_measure_t;

/** The response to a request. */
typedef struct {
	uint64_t call; /**< number of the request */
	ffl_response_kind_t kind;
	ffl_flow_state_t state;		/**< of a FFL_RESPONSE_STATE */
	uint32_t pending;		/**< jobs, of a FFL_RESPONSE_PENDING */
	uint32_t retry_after_ms;	/**< 0: not stated */
	char problem[FFL_REASON_BYTES]; /**< why it is refused */
} ffl_act_response_t;

/** What a host would do now with a request, and why. */
typedef struct {
	bool routed; /**< the host name and the path select a queue */
	ffl_name_t queue;
	ffl_name_t service;
	ffl_name_t customer; /**< whose key it is; "": nobody's */
	bool needs_key;
	bool has_key; /**< a key was given */
	uint32_t priority;
	/* The latency objective, as in ffl_route_t. */
	uint32_t stretch_milli;
	uint32_t objective_base_ms;
	uint64_t config_version;
	bool held;    /**< kept until the host can serve it */
	bool decided; /**< answer tells the outcome; otherwise it is held, or no
		       * submission was given */
	/** What the caller would be told; accepted if the log takes the record.
	 */
	ffl_response_kind_t answer;
	char why[FFL_REASON_BYTES]; /**< "" if nothing is to be said */
	uint32_t retry_after_ms;    /**< of a refusal; 0: not stated */
	bool leading;		    /**< this host leads */
	bool may_start; /**< as leader, it may start runs at this moment */
	char leader[FFL_NAME_BYTES]; /**< last known leader, or "" */
	bool placed;		     /**< place is set */
	ffl_explanation_t place;
} ffl_request_explanation_t;

/** The answer to an operator's question. */
typedef struct {
	uint64_t call; /**< number of the question */
	/** Freed by ffl_node_acts_clear(). */
	ffl_request_explanation_t *explanation;
} ffl_act_explain_t;

/** An action that the caller of the node must carry out. */
typedef struct {
	ffl_node_act_kind_t kind;
	union {
		ffl_act_store_t store;
		ffl_order_t order;
		ffl_act_response_t response;
		ffl_act_note_t note;
		ffl_act_measure_t measure;
		ffl_act_explain_t explain;
		bool ready;
	};
} ffl_node_act_t;

/** Options, from the deployment's settings. */
typedef struct {
	ffl_name_t name;
	uint64_t seed;
	uint32_t config_apply_ms; /**< by when a configuration change must be in
				   * force */
	uint32_t config_skew_ms;  /**< extra time for that while the log is
				   * unreliable */
	uint32_t evacuate_ms;	  /**< by when nothing may be started in an
				   * evacuated data centre */
	uint32_t stop_drain_ms;	  /**< longest duration of a planned stop */
	uint32_t keep_ended_ms;	  /**< how long an ended job can be queried */
	uint32_t size_milli; /**< see ffl_lead_size_milli(); 0: not known */
	uint32_t record_bytes_max; /**< largest record that the log takes */
	uint32_t append_bytes_max; /**< largest append that it takes */
	uint32_t partitions;	   /**< of a topic of the log; 0: 1 */
	ffl_dispatch_options_t dispatch;
} ffl_node_options_t;

/** Read position in a partition of a followed topic. It is first read in pages
 * of the newest record of each key, then from an offset on. */
typedef struct {
	ffl_topic_t topic;
	uint32_t part;
	bool synced;	 /**< all pages have been read */
	bool was_synced; /**< they have been, at some time */
	bool paging;
	uint64_t paging_since_ms; /**< when the first page was requested */
	uint32_t paged_records;	  /**< in the pages so far */
	uint64_t paged_bytes;	  /**< of their values */
	char after_key[FFL_CURSOR_BYTES]; /**< last key read in pages */
	uint64_t next; /**< offset of the next record to read */
	bool next_known;
	uint64_t call; /**< read in flight; 0: none */
	uint64_t sent_ms;
	uint64_t peek_call; /**< read in flight that does not wait; 0: none */
	uint64_t peek_sent_ms;
	uint64_t due_ms;	 /**< when the next read may be sent */
	bool probing;		 /**< the next read does not wait */
	uint64_t caught_up_ms;	 /**< all records written before are known */
	uint64_t last_record_ms; /**< when a record was last read */
	/** When the first read after the last failure was sent; 0: the last
	 * read failed, or none has succeeded. */
	uint64_t healthy_since_ms;
	uint32_t failures;	   /**< consecutive failed reads */
	uint64_t failing_since_ms; /**< when the first of them failed */
	/** Workers, jobs or evacuated data centres in the pages so far. */
	GHashTable *paged_keys;
} ffl_tail_t;

/** Why a submission is turned away. */
typedef struct {
	ffl_outlook_verdict_t verdict;
	uint64_t age_ms; /**< of the outlook */
	char why[FFL_REASON_BYTES];
} ffl_turned_away_t;

/** A request that waits for the log before it can be answered. */
typedef struct {
	uint64_t call; /**< number of the request */
	ffl_request_kind_t kind;
	char id[FFL_FLOW_ID_BYTES];
	ffl_name_t queue;    /**< through which the request came */
	ffl_name_t customer; /**< whose key it carries; "": none */
	uint32_t part;	     /**< partition of its job's records */
	char spec_name[FFL_SPEC_NAME_BYTES]; /**< of a submission */
	uint64_t deadline_ms;		     /**< when it must be answered */
	uint64_t received_ms;
	uint64_t append_call;  /**< append in flight with its record; 0: none */
	uint32_t append_index; /**< of its record in that append */
	bool written;	       /**< its record is on the log */
	uint64_t offset;       /**< of that record */
	bool maybe_written;    /**< an earlier append had an unknown outcome */
	uint64_t retry_ms;     /**< no append before */
	GByteArray *record;    /**< value to append, or NULL */
	/** Set while a submission is to be turned away, once no record of its
	 * id stands on the log; else NULL. */
	ffl_turned_away_t *turned_away;
} ffl_pending_t;

/** A request that is held until the host can serve it. */
typedef struct {
	ffl_request_t req; /**< owns copies of its strings */
	uint64_t received_ms;
	uint64_t until_ms; /**< when it is refused as busy */
} ffl_held_t;

/** The leader's appends to the topic of states. */
typedef struct {
	uint64_t call; /**< append in flight; 0: none */
	uint64_t sent_ms;
	GPtrArray *writes;	/**< its records, of ffl_write_t */
	GPtrArray *dropped_ids; /**< jobs that left the log; their states are to
				 * be removed */
	bool final_waits;	/**< a final state is to be published, for which
				 * callers wait */
} ffl_publish_t;

/** An outlook that was read from the log. */
typedef struct {
	ffl_outlook_t outlook;
	uint64_t token;	  /**< of the leader that wrote it */
	uint64_t wall_ms; /**< Unix time there */
	uint64_t read_ms;
} ffl_known_outlook_t;

/** Leadership: what this host knows of the leader, and its own claim and
 * appends to the topic of runs. */
typedef struct {
	bool leading;
	uint64_t token;		     /**< own fencing token while leading */
	char holder[FFL_NAME_BYTES]; /**< last known leader; "": none */
	uint64_t holder_incarnation; /**< of that leader */
	uint64_t holder_token;	     /**< highest fencing token seen */
	uint32_t holder_size_milli;  /**< thousandths of a core; 0: not known */
	uint32_t largest_size_milli; /**< of all hosts that led or asked to */
	bool holder_resigned;	     /**< the holder has resigned */
	/** Latest time at which leaders before the holder may give a lease. */
	uint64_t earlier_lease_ms;
	uint64_t holder_since_ms; /**< when the holder was first seen */
	uint64_t holder_seen_ms;  /**< when it was last seen alive, or the wait
				   * for a leader began */
	ffl_silence_t silence;	  /**< of the holder */
	uint32_t min_rtt_ms; /**< shortest round trip to the log; 0: none yet */
	bool loading;	     /**< progress is being read before a claim */
	uint64_t resign_asked_ms; /**< when a leader was last asked to resign */
	ffl_publish_t publish;
	uint64_t authority_ms; /**< when the last successful append was sent */
	uint64_t call;	       /**< append in flight; 0: none */
	bool is_claim;	       /**< that append is a claim */
	uint64_t sent_ms;      /**< when it was sent */
	uint64_t expected_end; /**< its condition: end of the topic */
	uint32_t count;	       /**< unused */
	uint64_t batch;	       /**< batch that is being recorded; 0: none */
	GPtrArray *writes;   /**< its records, kept until its outcome is known;
			      * NULL: none */
	GPtrArray *flows;    /**< flows whose progress the batch records */
	GPtrArray *unsent;   /**< records of the batch, of ffl_write_t, that the
			      * next appends are to hold */
	uint64_t check_call; /**< read in flight that finds out whether it
			      * succeeded; 0: none */
	uint64_t retry_ms;   /**< no retry and no new claim before */
	uint64_t last_append_ms; /**< when the last append succeeded */
	uint64_t pruned_ms;	 /**< when ended jobs were last searched for */
	uint32_t prunings;	 /**< number of these searches */
	bool resign_requested;	 /**< resign with the next append */
	bool resigning;		 /**< the append in flight announces it */
	uint64_t append_number;	 /**< number of this host's newest append */
} ffl_lead_t;

/** State of an entry host. */
typedef struct {
	ffl_node_options_t opt;
	uint64_t incarnation; /**< random number of this start of the host */
	ffl_rng_t rng;
	ffl_flows_t flows;
	ffl_dispatch_t dispatch;
	ffl_routes_t routes;
	bool has_routes;
	/** Offset of the record that evacuates it, as uint64_t, by the name of
	 * each evacuated data centre. */
	GHashTable *evacuations;
	GHashTable *outlooks; /**< ffl_known_outlook_t by service */
	uint64_t outlooks_ms; /**< when this host last worked them out */
	uint64_t turned_away; /**< submissions turned away for want of room */
	uint64_t turned_back; /**< of those that were to be, kept in the end */
	/** By topic, its partition 0; then the further ones of the topic of
	 * jobs. */
	ffl_tail_t tails[FFL_TAILS_MAX];
	uint32_t jobs_read;  /**< partitions of jobs that are read */
	uint32_t jobs_parts; /**< partitions over which jobs are spread */
	uint32_t jobs_parts_logged; /**< that number on the log; 0: none */
	uint64_t jobs_probed_ms; /**< when all of them were last read at once */
	ffl_lead_t lead;
	GPtrArray *pending; /**< of ffl_pending_t */
	GPtrArray *held;    /**< of ffl_held_t */
	uint64_t last_call; /**< number of the last call */
	bool ready;
	uint64_t stop_began_ms; /**< when a planned stop began; 0: none has */
	bool exiting;
	uint64_t now_ms;
	uint64_t wall_ms;
	GArray *acts;	/**< of ffl_node_act_t, output of this step */
	GArray *orders; /**< of ffl_order_t, of this step */
} ffl_node_t;

void ffl_node_init(ffl_node_t *n, const ffl_node_options_t *opt);
void ffl_node_finish(ffl_node_t *n);

/** Handles one event and does all work that is due: ffl_node_handle() and
 * ffl_node_drive() in one call. @p acts is cleared and filled with the
 * resulting ffl_node_act_t. */
void ffl_node_step(ffl_node_t *n, ffl_node_event_t *ev, GArray *acts);
/** Handles one event, without the work that is due. @p acts is cleared and
 * filled. */
void ffl_node_handle(ffl_node_t *n, ffl_node_event_t *ev, GArray *acts);
/** Does all work that is due; the cost grows with the number of jobs, runs and
 * workers. @p acts is cleared and filled. */
void ffl_node_drive(ffl_node_t *n, uint64_t now_ms, uint64_t wall_ms,
		    GArray *acts);
/** Clears @p acts and frees what its actions own. */
void ffl_node_acts_clear(GArray *acts);

/** Returns the index of a partition's read position in ffl_node_t.tails; only
 * the topic of jobs has partitions besides 0. */
uint32_t ffl_tail_index(ffl_topic_t topic, uint32_t part);
/** Returns the time before which all records of jobs are known, in all
 * partitions over which jobs are spread. */
uint64_t ffl_node_jobs_caught_up_ms(const ffl_node_t *n);
const char *ffl_topic_name(uint32_t topic);
const char *ffl_response_kind_name(uint32_t kind);
const char *ffl_store_outcome_name(uint32_t outcome);

/**
 * Returns how much a host can carry as leader: its processor in thousandths of
 * a core, or less if its link is narrow for that.
 */
uint32_t ffl_lead_size_milli(uint32_t processor_milli, uint32_t link_kbit);

#endif
