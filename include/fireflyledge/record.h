/**
 * @file record.h
 * @brief Records on the platform's append-only log.
 *
 * Each record is a header and a body, msgpack both. The header is readable
 * in every version; a body of an unknown kind is kept and not acted on.
 */
#ifndef FFL_RECORD_H
#define FFL_RECORD_H

#include "fireflyledge/schema.h"

/** Version of the record format that this code writes. */
#define FFL_RECORD_VERSION 1
/** Largest record, in bytes. */
#define FFL_RECORD_BYTES_MAX 65536

/** Kind of a record. */
typedef enum {
	FFL_REC_INTENT,	    /**< an operator's intent; changes nothing */
	FFL_REC_CONFIRM,    /**< confirms the plan of an intent */
	FFL_REC_JOIN,	    /**< an entry host registers or renews */
	FFL_REC_LEAVE,	    /**< an entry host leaves */
	FFL_REC_LEAD,	    /**< an entry host claims a cell */
	FFL_REC_JOB,	    /**< a caller submits a job */
	FFL_REC_JOB_CANCEL, /**< a caller or operator cancels a job */
	FFL_REC_JOB_END,    /**< a cell's leader records a job's end */
	FFL_REC_SNAPSHOT,   /**< part of a snapshot of the folded state */
	FFL_REC_JOB_MOVE,   /**< a cell's leader gives a job to another cell */
	FFL_REC__MAX
} ffl_rec_kind_t;

/** Kind of an intent. */
typedef enum {
	FFL_INTENT_GUARANTEE, /**< count shapes for a customer in a cell */
	FFL_INTENT_ORDER,     /**< order in which kinds of work yield */
	FFL_INTENT_DRAIN,     /**< a host takes no new work */
	FFL_INTENT_UNDRAIN,
	FFL_INTENT_CUSTOMER, /**< a customer, its token, weight and quota */
	FFL_INTENT_OPERATOR, /**< an operator and its token */
	FFL_INTENT_LIMIT,    /**< limits of a customer's requests */
	FFL_INTENT_WITHDRAW, /**< undoes the change of an earlier revision */
	FFL_INTENT__MAX
} ffl_intent_kind_t;

/** Longest order of preemption, as text. */
#define FFL_ORDER_BYTES 160
/** Largest sizes that an intent may state. */
#define FFL_SHAPE_COUNT_MAX 4096
#define FFL_RATE_MAX	    1000000
#define FFL_QUOTA_MAX	    1000000

/** An operator's intent; which fields count depends on the kind. */
typedef struct {
	ffl_intent_kind_t kind;
	ffl_name_t name; /**< customer, host or operator */
	ffl_name_t dc;	 /**< cell of a guarantee */
	uint32_t count;	 /**< shapes guaranteed; 0 removes them */
	uint32_t accelerators;
	ffl_adjacency_t adjacency;
	char order[FFL_ORDER_BYTES]; /**< kinds of work, first yields first */
	uint8_t token_hash[FFL_HASH_BYTES];
	uint32_t weight;	     /**< share above the guarantees */
	uint32_t quota_accelerators; /**< 0 is no quota */
	uint32_t rate_per_s;	     /**< requests; 0 is no limit */
	uint32_t burst;
	uint32_t concurrent;
	uint64_t revision; /**< revision that a withdrawal undoes */
	char reason[FFL_REASON_BYTES];
	ffl_name_t who;
	bool remove; /**< removes the customer or operator */
} ffl_intent_t;

/** Confirmation of the plan of the intent at a log offset. */
typedef struct {
	uint64_t plan;	   /**< offset of the intent's record */
	uint64_t revision; /**< revision that the plan was shown at */
	ffl_name_t who;
	uint32_t blast_radius; /**< accelerators taken away, as shown */
	uint64_t unreadable;   /**< unreadable record that is accepted */
} ffl_confirm_t;

/** Registration of an entry host; repeated to renew. */
typedef struct {
	uint64_t member; /**< random number of this process' life */
	ffl_name_t name;
	ffl_name_t dc;
	ffl_name_t region;
	char peer_addr[FFL_ADDR_BYTES];
	uint32_t expiry_ms;
} ffl_join_t;

/** Leave of a host, by itself or on its behalf once it has expired. */
typedef struct {
	uint64_t member;
	uint64_t joined; /**< registration meant; void if renewed since */
} ffl_leave_t;

/** Claim of a cell: holds only if the claim that it names is the last. */
typedef struct {
	uint64_t member;
	ffl_name_t dc;
	uint64_t previous_epoch; /**< 0 where the cell had no leader */
} ffl_lead_t;

/** Longest payload handed to workers unread. */
#define FFL_PAYLOAD_BYTES 256

/** A job as its caller states it. */
typedef struct {
	ffl_name_t customer;
	ffl_name_t name; /**< the caller's own id; unique for a customer */
	ffl_name_t kind; /**< kind of work, for learning and preemption */
	ffl_name_t dc;	 /**< cell; empty lets the system choose */
	uint32_t accelerators;
	ffl_adjacency_t adjacency;
	ffl_urgency_t urgency;
	uint32_t declared_ms;
	uint32_t cores;	    /**< for each accelerator */
	uint32_t memory_mb; /**< for each accelerator */
	bool checkpointable;
	char payload[FFL_PAYLOAD_BYTES];
	ffl_name_t cell; /**< first cell, where @p dc is empty */
} ffl_job_spec_t;

/** How a job ended. */
typedef enum {
	FFL_END_DONE,
	FFL_END_FAILED,
	FFL_END_CANCELLED,
	FFL_END_IMPOSSIBLE,
	FFL_END__MAX
} ffl_end_t;

typedef struct {
	uint64_t job;
	ffl_name_t who;
} ffl_job_cancel_t;

typedef struct {
	uint64_t job;
	uint64_t epoch; /**< epoch of the leader that saw the end */
	ffl_end_t end;
	uint64_t incarnation;
	char result[FFL_PAYLOAD_BYTES];
} ffl_job_end_t;

/** Move of a queued job; holds only if its cell and epoch are still so. */
typedef struct {
	uint64_t job;
	ffl_name_t from;
	ffl_name_t to;
	uint64_t epoch; /**< of the leader of @p from */
} ffl_job_move_t;

/** One part of a snapshot. */
typedef struct {
	uint64_t offset; /**< state after every record below this offset */
	uint32_t part;
	uint32_t parts;
	uint64_t hash; /**< of the whole snapshot's bytes */
	ffl_bytes_t data;
} ffl_snapshot_part_t;

/** A record. */
typedef struct {
	uint32_t version;
	uint64_t cluster;
	ffl_rec_kind_t kind;
	uint64_t writer; /**< member that appended it */
	uint64_t seq;	 /**< grows with each record of a writer */
	uint64_t at_ms;	 /**< writer's wall clock, for people only */
	uint64_t base;	 /**< last offset that the writer had read */
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
/** Appends the header only, and the body only. */
void ffl_record_encode_head(const ffl_record_t *rec, GByteArray *out);
void ffl_record_encode_body(const ffl_record_t *rec, GByteArray *out);

/**
 * Decodes a record.
 *
 * @return FFL_OK; FFL_NOT_FOUND for an unknown kind or later version, with
 *         the header filled in; FFL_INVALID or FFL_TRUNCATED otherwise
 */
ffl_status_t ffl_record_decode(ffl_bytes_t in, ffl_record_t *rec,
			       ffl_arena_t *arena);

/** Returns the schema of a kind's body; NULL for an unknown kind. */
const ffl_schema_t *ffl_record_schema(ffl_rec_kind_t kind);
const char *ffl_rec_kind_name(uint32_t kind);
const char *ffl_intent_kind_name(uint32_t kind);
const char *ffl_end_name(uint32_t end);

#endif
