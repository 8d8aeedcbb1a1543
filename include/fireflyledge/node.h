/**
 * @file node.h
 * @brief One entry host on a log service: events in, actions out.
 *
 * The host keeps nothing. It folds four topics of the log: the operators'
 * configuration, the list of workers, the jobs, and their progress. One host
 * leads: the topic of the progress has one writer, whose appends are
 * conditional on the end that it knows.
 */
#ifndef FFL_NODE_H
#define FFL_NODE_H

#include "fireflyledge/dispatch.h"
#include "fireflyledge/rng.h"
#include "fireflyledge/routes.h"

/** Topics of the log. */
typedef enum {
	FFL_TOPIC_CONFIG,  /**< written by operators */
	FFL_TOPIC_WORKERS, /**< written by workers */
	FFL_TOPIC_JOBS,	   /**< specifications and cancellations */
	FFL_TOPIC_RUNS,	   /**< claims and progress, by the leader alone; read
			    * by a host that is to lead */
	FFL_TOPIC_STATES,  /**< who leads, and each job's state; read by all */
	FFL_TOPIC__MAX
} ffl_topic_t;

/** Longest key of a record. */
#define FFL_RECORD_KEY_BYTES 64
/** No condition on the end of the topic. */
#define FFL_AT_ANY UINT64_MAX

/** How a call to the log went. */
typedef enum {
	FFL_STORE_OK,
	FFL_STORE_MOVED,   /**< the topic ends elsewhere: nothing was done */
	FFL_STORE_EXPIRED, /**< the records asked for are gone */
	FFL_STORE_REFUSED, /**< certain not to have happened */
	FFL_STORE_UNKNOWN, /**< may have happened, or may happen yet */
	FFL_STORE__MAX
} ffl_store_outcome_t;

/** A record that was read; decoded already where others write the topic. */
typedef struct {
	uint64_t offset;
	char key[FFL_RECORD_KEY_BYTES];
	ffl_bytes_t value;	    /**< empty where the key was dropped */
	ffl_routes_t *routes;	    /**< of the configuration, or NULL */
	ffl_worker_entry_t *worker; /**< of the list of workers, or NULL */
} ffl_store_record_t;

/** An answer of the log. */
typedef struct {
	uint64_t call;
	ffl_store_outcome_t outcome;
	uint64_t first; /**< first retained offset, or of what was appended */
	uint64_t end;
	bool more; /**< of a page of newest records: more keys follow */
	ffl_store_record_t *records;
	uint32_t count;
} ffl_store_reply_t;

/** What a caller wants. */
typedef enum {
	FFL_ASK_SUBMIT,
	FFL_ASK_LOOK,
	FFL_ASK_CANCEL,
	FFL_ASK_OTHER, /**< a method that there is not */
	FFL_ASK__MAX
} ffl_ask_t;

/** A call of a caller. */
typedef struct {
	uint64_t call;
	ffl_ask_t ask;
	const char *host;
	const char *path;
	const char *key;       /**< API key, or "" */
	uint32_t deadline_ms;  /**< how long the caller waits; 0: unknown */
	ffl_flow_spec_t *spec; /**< emptied where kept; NULL: unreadable */
	const char *problem;   /**< what is wrong with the body, or NULL */
} ffl_request_t;

/** Outcome of a call. */
typedef enum {
	FFL_SAY_ACCEPTED,
	FFL_SAY_STATE,
	FFL_SAY_PENDING,
	FFL_SAY_CANCELLED,
	FFL_SAY_GONE, /**< no such job */
	FFL_SAY_NO_ROUTE,
	FFL_SAY_NO_KEY,
	FFL_SAY_NOT_YOURS,
	FFL_SAY_INVALID,
	FFL_SAY_CONFLICT, /**< the id was used for something else */
	FFL_SAY_NO_METHOD,
	FFL_SAY_BUSY,	 /**< has not run and never will */
	FFL_SAY_UNKNOWN, /**< may have been accepted: ask again */
	FFL_SAY__MAX
} ffl_say_t;

typedef enum {
	FFL_NODE_EV_TICK,
	FFL_NODE_EV_STORE,
	FFL_NODE_EV_WORKER,
	FFL_NODE_EV_REQUEST,
	FFL_NODE_EV_STOP,
	FFL_NODE_EV__MAX
} ffl_node_event_kind_t;

/** Something that happened. */
typedef struct {
	ffl_node_event_kind_t kind;
	uint64_t now_ms;  /**< monotonic, counting suspended time */
	uint64_t wall_ms; /**< Unix time */
	union {
		ffl_store_reply_t store;
		ffl_reply_t worker;
		ffl_request_t request;
	};
} ffl_node_event_t;

typedef enum {
	FFL_NODE_ACT_READ,   /**< records from an offset */
	FFL_NODE_ACT_NEWEST, /**< the newest record of each key */
	FFL_NODE_ACT_APPEND,
	FFL_NODE_ACT_ORDER,
	FFL_NODE_ACT_ANSWER,
	FFL_NODE_ACT_READY,
	FFL_NODE_ACT_NOTE,
	FFL_NODE_ACT_MEASURE,
	FFL_NODE_ACT_EXIT,
	FFL_NODE_ACT__MAX
} ffl_node_act_kind_t;

/** A record to be written. */
typedef struct {
	char key[FFL_RECORD_KEY_BYTES];
	GByteArray *value; /**< empty: the key is dropped */
} ffl_write_t;

/** A call to the log. */
typedef struct {
	uint64_t call;
	ffl_topic_t topic;
	uint64_t from; /**< offset of a read */
	uint32_t wait_ms;
	uint32_t timeout_ms;
	char after[FFL_RECORD_KEY_BYTES]; /**< of a page: continue behind it */
	uint64_t at;			  /**< of an append, or FFL_AT_ANY */
	GPtrArray *writes;		  /**< of ffl_write_t; a reference */
} ffl_act_store_t;

/** A line for the log. */
typedef struct {
	char event[32];
	char subject[FFL_TASK_NAME_BYTES];
	char text[FFL_REASON_BYTES];
} ffl_act_note_t;

/** A latency that was seen. */
typedef struct {
	ffl_latency_t what;
	uint64_t ms;
} ffl_act_measure_t;

/** An answer to a caller. */
typedef struct {
	uint64_t call;
	ffl_say_t say;
	ffl_flow_state_t state;
	uint32_t pending;
	uint32_t retry_after_ms; /**< 0: not said */
	char problem[FFL_REASON_BYTES];
} ffl_act_say_t;

/** Something to do. */
typedef struct {
	ffl_node_act_kind_t kind;
	union {
		ffl_act_store_t store;
		ffl_order_t order;
		ffl_act_say_t say;
		ffl_act_note_t note;
		ffl_act_measure_t measure;
		bool ready;
	};
} ffl_node_act_t;

/** Figures that a deployment sets. */
typedef struct {
	ffl_name_t name;
	uint64_t seed;
	uint32_t config_apply_ms; /**< a change is in force by then */
	uint32_t config_skew_ms;  /**< more, while the log is unsteady */
	uint32_t stop_drain_ms;	  /**< a planned stop ends by then */
	uint32_t keep_ended_ms;	  /**< an ended job is shown for so long */
	uint32_t size_milli;	  /**< processor, in thousandths of a core */
	ffl_dispatch_options_t dispatch;
} ffl_node_options_t;

/** A topic that is followed. */
typedef struct {
	ffl_topic_t topic;
	bool synced; /**< all that was there at the start has been read */
	bool paging;
	uint64_t paged_ms; /**< when the first page was asked for */
	char after[FFL_RECORD_KEY_BYTES];
	uint64_t next; /**< offset that is read next */
	bool next_known;
	uint64_t call; /**< on its way, 0: none */
	uint64_t sent_ms;
	uint64_t peek; /**< read that does not wait, 0: none */
	uint64_t peek_ms;
	uint64_t due_ms;     /**< no read before */
	uint64_t fresh_ms;   /**< all records of before are known */
	uint64_t changed_ms; /**< when a record was last read */
	uint64_t well_ms;    /**< since when reads have gone well; 0: not */
	uint32_t failures;   /**< in a row */
	uint64_t failed_ms;  /**< when they began */
	GHashTable *listed;  /**< keys of the pages so far, of workers */
} ffl_tail_t;

/** What waits for the log before a caller is answered. */
typedef struct {
	uint64_t call;
	ffl_ask_t ask;
	char id[FFL_FLOW_ID_BYTES];
	uint64_t deadline_ms;
	uint64_t asked_ms;
	uint64_t append; /**< call that carries its record; 0: none yet */
	bool attempted;	 /**< a record may have been written */
	uint64_t retry_ms;
	GByteArray *record;
} ffl_pending_t;

/** A call that waits until its host can serve it. */
typedef struct {
	ffl_request_t req; /**< with its own copies of texts */
	uint64_t until_ms;
} ffl_held_t;

/** What a leader tells all hosts. */
typedef struct {
	uint64_t call; /**< append on its way; 0: none */
	uint64_t sent_ms;
	GPtrArray *writes; /**< of ffl_write_t, that it carries */
	GPtrArray *drops;  /**< ids of jobs that have left the log */
} ffl_publish_t;

/** Leadership as a host sees it. */
typedef struct {
	bool leading;
	uint64_t token;
	char holder[FFL_NAME_BYTES];
	uint64_t holder_life;
	uint64_t holder_token;
	uint32_t holder_size;  /**< of the last one that was seen; 0: none */
	uint32_t largest_size; /**< of all that led, or asked to */
	bool resigned;
	uint64_t since_ms;  /**< when it was first seen to lead */
	uint64_t seen_ms;   /**< when its last record was seen */
	uint32_t way_ms;    /**< shortest time that a call to the log took */
	bool loading;	    /**< progress is read, in order to claim */
	uint64_t wanted_ms; /**< when a larger host last asked to lead */
	ffl_publish_t publish;
	uint64_t proved_ms; /**< a write sent then has succeeded */
	uint64_t call;	    /**< append on its way */
	bool claim;	    /**< that append is a claim */
	uint64_t sent_ms;
	uint64_t at;	   /**< end that the append rests on */
	uint32_t count;	   /**< its records */
	uint64_t batch;	   /**< that it carries; 0: a heartbeat */
	GPtrArray *writes; /**< kept until it is known to stand */
	GPtrArray *flows;  /**< whose progress it carries */
	uint64_t check;	   /**< read that looks whether it stands */
	uint64_t retry_ms;
	uint64_t last_ms;   /**< when the last append stood */
	uint64_t pruned_ms; /**< when ended jobs were last looked for */
	bool resign;	    /**< hand over as soon as possible */
	bool resigning;	    /**< the append on its way says so */
	uint64_t number;    /**< of this leader's appends */
} ffl_lead_t;

/** An entry host. */
typedef struct {
	ffl_node_options_t opt;
	uint64_t life; /**< this incarnation */
	ffl_rng_t rng;
	ffl_flows_t flows;
	ffl_dispatch_t dispatch;
	ffl_routes_t routes;
	bool has_routes;
	ffl_tail_t tails[FFL_TOPIC__MAX];
	ffl_lead_t lead;
	GPtrArray *pending; /**< of ffl_pending_t */
	GPtrArray *held;    /**< of ffl_held_t */
	uint64_t next_call;
	bool ready;
	uint64_t stop_ms; /**< when a planned stop began; 0: not */
	bool exiting;
	uint64_t now_ms;
	uint64_t wall_ms;
	GArray *acts;	/**< of ffl_node_act_t, of this step */
	GArray *orders; /**< of ffl_order_t, of this step */
} ffl_node_t;

void ffl_node_init(ffl_node_t *n, const ffl_node_options_t *opt);
void ffl_node_finish(ffl_node_t *n);

/** Takes one event and looks at what is due; @p acts is emptied and filled
 * with what follows. */
void ffl_node_step(ffl_node_t *n, ffl_node_event_t *ev, GArray *acts);
/** Takes one event alone. */
void ffl_node_take(ffl_node_t *n, ffl_node_event_t *ev, GArray *acts);
/** Looks at what is due; its cost grows with jobs, runs and workers. */
void ffl_node_drive(ffl_node_t *n, uint64_t now_ms, uint64_t wall_ms,
		    GArray *acts);
/** Frees what actions own. */
void ffl_node_acts_clear(GArray *acts);

const char *ffl_topic_name(uint32_t topic);
const char *ffl_say_name(uint32_t say);
const char *ffl_store_outcome_name(uint32_t outcome);

#endif
