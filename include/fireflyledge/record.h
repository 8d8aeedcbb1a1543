/**
 * @file record.h
 * @brief Records on the platform's append-only log.
 *
 * A record is a header followed by a body, both in msgpack. Every version can
 * read the header; a body of an unknown kind has no effect.
 */
#ifndef FFL_RECORD_H
#define FFL_RECORD_H

#include "fireflyledge/schema.h"

/** Version of the record format that this code writes. */
#define FFL_RECORD_VERSION 1
/** Largest record, in bytes. */
#define FFL_RECORD_BYTES_MAX 65536

/** Kind of a record; determines its body. */
typedef enum {
	FFL_REC_INTENT,	    /**< an operator's intent, void until confirmed */
	FFL_REC_CONFIRM,    /**< confirms the plan of an intent */
	FFL_REC_JOIN,	    /**< an entry host registers or renews */
	FFL_REC_LEAVE,	    /**< an entry host leaves */
	FFL_REC_LEAD,	    /**< an entry host claims leadership of a cell */
	FFL_REC_JOB,	    /**< a caller submits a job */
	FFL_REC_JOB_CANCEL, /**< a caller or operator cancels a job */
	FFL_REC_JOB_END,    /**< a cell's leader records a job's end */
	FFL_REC_SNAPSHOT,   /**< a part of a snapshot of the state */
	FFL_REC_JOB_MOVE,   /**< a cell's leader moves a job to another cell */
	FFL_REC__MAX
} ffl_rec_kind_t;

/** Kind of an intent. */
typedef enum {
	FFL_INTENT_GUARANTEE, /**< guarantees a customer capacity in a cell */
	FFL_INTENT_ORDER,     /**< sets the order of preemption */
	FFL_INTENT_DRAIN,     /**< stops new work on a host */
	FFL_INTENT_UNDRAIN,   /**< ends the drain of a host */
	FFL_INTENT_CUSTOMER,  /**< sets a customer's token, weight and quota */
	FFL_INTENT_OPERATOR,  /**< sets an operator's token */
	FFL_INTENT_LIMIT,     /**< limits a customer's requests */
	FFL_INTENT_WITHDRAW,  /**< undoes the change of an earlier revision */
	FFL_INTENT__MAX
} ffl_intent_kind_t;

/** Size of the order of preemption as text, with its terminator. */
#define FFL_ORDER_BYTES 160
/** Limits of the numbers in an intent. */
#define FFL_SHAPE_COUNT_MAX 4096
#define FFL_RATE_MAX	    1000000
#define FFL_QUOTA_MAX	    1000000

/** An operator's intent; its kind determines which fields are used. */
typedef struct {
	ffl_intent_kind_t kind;
	ffl_name_t name; /**< of the customer, host or operator */
	ffl_name_t dc;	 /**< data centre of the cell of a guarantee */
	uint32_t count;	 /**< shapes guaranteed; 0 removes the guarantee */
	uint32_t accelerators;	     /**< of one shape */
	ffl_adjacency_t adjacency;   /**< of a shape's accelerators */
	char order[FFL_ORDER_BYTES]; /**< kinds of work; preempted in order */
	uint8_t token_hash[FFL_HASH_BYTES];
	uint32_t weight; /**< share of capacity beyond the guarantees */
	uint32_t quota_accelerators; /**< 0: no quota */
	uint32_t rate_per_s;	     /**< requests per second; 0: no limit */
	uint32_t burst;		     /**< requests above the rate at once */
	uint32_t concurrent;	     /**< requests in progress */
	uint64_t revision; /**< of the change that a withdrawal undoes */
	char reason[FFL_REASON_BYTES];
	ffl_name_t who; /**< operator */
	bool remove;	/**< removes the customer or operator */
} ffl_intent_t;

/** An operator's confirmation of the plan of an intent. */
typedef struct {
	uint64_t plan;	       /**< offset of the intent's record */
	uint64_t revision;     /**< configuration the plan is based on */
	ffl_name_t who;	       /**< operator */
	uint32_t blast_radius; /**< accelerators that the plan takes away */
	uint64_t unreadable;   /**< offset of an unreadable record accepted */
} ffl_confirm_t;

/** Registration of an entry host; repeated to renew it. */
typedef struct {
	uint64_t member; /**< random ID, new at each start of the process */
	ffl_name_t name;
	ffl_name_t dc;
	ffl_name_t region;
	char peer_addr[FFL_ADDR_BYTES];
	uint32_t expiry_ms; /**< lifetime unless renewed */
} ffl_join_t;

/**
 * End of a registration, written by the host itself or by another on expiry;
 * void if @c joined names an earlier renewal than the latest.
 */
typedef struct {
	uint64_t member;
	uint64_t joined; /**< offset of the renewal meant; 0: any */
} ffl_leave_t;

/** Claim of a cell; void if its epoch is no longer previous_epoch. */
typedef struct {
	uint64_t member;
	ffl_name_t dc;
	uint64_t previous_epoch; /**< 0: the cell had no leader */
} ffl_lead_t;

/** Size of a payload, which workers get unchanged, with its terminator. */
#define FFL_PAYLOAD_BYTES 256

/** Specification of a job, as submitted by its caller. */
typedef struct {
	ffl_name_t customer;
	ffl_name_t name; /**< chosen by the caller, unique per customer */
	ffl_name_t kind; /**< kind of work, for estimates and preemption */
	ffl_name_t dc;	 /**< cell; "": chosen by the scheduler */
	uint32_t accelerators;
	ffl_adjacency_t adjacency;
	ffl_urgency_t urgency;
	uint32_t declared_ms; /**< run time that the caller expects */
	uint32_t cores;	      /**< per accelerator */
	uint32_t memory_mb;   /**< per accelerator */
	bool checkpointable;
	char payload[FFL_PAYLOAD_BYTES];
	ffl_name_t cell; /**< first cell chosen, if @c dc is empty */
} ffl_job_spec_t;

/** How a job ended. */
typedef enum {
	FFL_END_DONE,
	FFL_END_FAILED,
	FFL_END_CANCELLED,
	FFL_END_IMPOSSIBLE, /**< can never be placed */
	FFL_END__MAX
} ffl_end_t;

/** Cancellation of a job. */
typedef struct {
	uint64_t job;
	ffl_name_t who; /**< customer or operator */
} ffl_job_cancel_t;

/** End of a job. */
typedef struct {
	uint64_t job;
	uint64_t epoch; /**< of the leader that recorded the end */
	ffl_end_t end;
	uint64_t incarnation; /**< run of the job that ended */
	char result[FFL_PAYLOAD_BYTES];
} ffl_job_end_t;

/** Move of a queued job; void unless @c from and @c epoch still hold. */
typedef struct {
	uint64_t job;
	ffl_name_t from;
	ffl_name_t to;
	uint64_t epoch; /**< of the leader of @c from */
} ffl_job_move_t;

/** A part of a snapshot of the state. */
typedef struct {
	uint64_t offset; /**< the state includes all records below it */
	uint32_t part;	 /**< index of this part */
	uint32_t parts;
	uint64_t hash; /**< of the data of all parts together */
	ffl_bytes_t data;
} ffl_snapshot_part_t;

/** A record; kind selects the member of the union. */
typedef struct {
	uint32_t version;
	uint64_t cluster;
	ffl_rec_kind_t kind;
	uint64_t writer; /**< member that appended it */
	uint64_t seq;	 /**< increases with each record of a writer */
	uint64_t at_ms;	 /**< writer's wall clock; informative only */
	uint64_t base;	 /**< last offset that the writer had read before */
	union {
		ffl_intent_t intent;
		ffl_confirm_t confirm;
		ffl_join_t join;
		ffl_leave_t leave;
		ffl_lead_t lead;
		ffl_job_spec_t job;
		ffl_job_cancel_t job_cancel;
		ffl_job_end_t job_end;
		ffl_snapshot_part_t snapshot;
		ffl_job_move_t job_move;
	};
} ffl_record_t;

extern const ffl_schema_t ffl_intent_schema;
extern const ffl_schema_t ffl_job_spec_schema;
extern const ffl_schema_t ffl_confirm_schema;

/** Appends the encoded record to @p out. */
void ffl_record_encode(const ffl_record_t *rec, GByteArray *out);
/** Appends only the encoded header. */
void ffl_record_encode_head(const ffl_record_t *rec, GByteArray *out);
/** Appends only the encoded body; nothing if the kind is unknown. */
void ffl_record_encode_body(const ffl_record_t *rec, GByteArray *out);

/**
 * Decodes a record.
 *
 * @param arena holds the blobs of the record
 * @return FFL_OK; FFL_NOT_FOUND if the kind is unknown or the version later
 *         than FFL_RECORD_VERSION, with the header filled in; FFL_INVALID if
 *         malformed or larger than FFL_RECORD_BYTES_MAX; FFL_TRUNCATED
 */
ffl_status_t ffl_record_decode(ffl_bytes_t in, ffl_record_t *rec,
			       ffl_arena_t *arena);

/** Returns the schema of a kind's body; NULL if the kind is unknown. */
const ffl_schema_t *ffl_record_schema(ffl_rec_kind_t kind);
const char *ffl_rec_kind_name(uint32_t kind);
const char *ffl_intent_kind_name(uint32_t kind);
const char *ffl_end_name(uint32_t end);

#endif
