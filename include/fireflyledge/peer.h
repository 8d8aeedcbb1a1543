/**
 * @file peer.h
 * @brief Messages between entry hosts, sent as frames over TCP.
 *
 * A message is a header followed by a body, both in msgpack.
 */
#ifndef FFL_PEER_H
#define FFL_PEER_H

#include "fireflyledge/schema.h"

/** Version of the peer protocol; messages of another version are ignored. */
#define FFL_PEER_VERSION 1
/** Largest message, in bytes. */
#define FFL_FRAME_BYTES_MAX (1U << 20)

/** Kind of a message; determines its body. */
typedef enum {
	FFL_PEER_HEARTBEAT,
	FFL_PEER_STATE_ASK, /**< request for the state */
	FFL_PEER_STATE,	    /**< a part of the state */
	FFL_PEER_ONCE_ASK,  /**< asks a key's owner whether a request may run */
	FFL_PEER_ONCE_TELL, /**< the owner's reply */
	FFL_PEER_ONCE_DONE, /**< reports a run's outcome to the key's owner */
	FFL_PEER_HANDOVER,  /**< hands keys over to their new owner */
	FFL_PEER_LOAD,	    /**< sender's ownership report */
	FFL_PEER_DIGEST,    /**< unused: has no body and is not decoded */
	FFL_PEER__MAX
} ffl_peer_kind_t;

/** Header of a message. */
typedef struct {
	uint32_t version;
	uint64_t cluster;
	ffl_peer_kind_t kind;
	uint64_t from; /**< sending member */
	uint64_t to;   /**< receiving member; 0: any */
	uint64_t seq;  /**< increases with each message of the sender */
} ffl_peer_head_t;

/** Sent to every peer at each heartbeat interval. */
typedef struct {
	uint64_t revision;    /**< of the configuration */
	uint64_t next_offset; /**< next log record to read */
	bool log_reachable;
	bool leaving; /**< in a planned stop */
} ffl_heartbeat_t;

/** Most bytes of state in one message. */
#define FFL_STATE_PART_BYTES (256U << 10)

/** Asks a peer for its state if that is newer. */
typedef struct {
	uint64_t offset; /**< next log record that the sender will apply */
	char addr[FFL_ADDR_BYTES]; /**< peer address of the sender */
} ffl_state_ask_t;

/** A part of a host's state. */
typedef struct {
	uint64_t offset; /**< the state includes all records below it */
	uint32_t part;	 /**< index of this part */
	uint32_t parts;
	uint64_t hash; /**< of the data of all parts together */
	ffl_bytes_t data;
} ffl_state_part_t;

/** Size of the content type of a stored answer, with its terminator. */
#define FFL_TYPE_BYTES 64
/** Largest stored answer; of a larger one only the outcome is kept. */
#define FFL_ANSWER_BYTES_MAX 262144
/** Most keys in one handover message. */
#define FFL_HANDOVER_ROWS_MAX 1024

/** Asks the owner of an idempotency key whether a request may run. */
typedef struct {
	uint64_t request; /**< ID at the sender */
	uint64_t key_a;	  /**< ID of the key, with key_b */
	uint64_t key_b;
	uint64_t payload_hash;
	uint64_t view; /**< hash of the sender's view, which gives the owner */
	uint32_t timeout_ms; /**< time left until the request's deadline */
} ffl_once_ask_t;

/** Reply of a key's owner to ffl_once_ask_t. */
typedef struct {
	uint64_t request; /**< as in ffl_once_ask_t */
	uint32_t verdict; /**< ffl_once_verdict_t */
	uint32_t http_status;
	char content_type[FFL_TYPE_BYTES];
	ffl_bytes_t answer;
} ffl_once_tell_t;

/** State of an idempotency key, as sent to its owner. */
typedef struct {
	uint64_t key_a; /**< ID of the key, with key_b */
	uint64_t key_b;
	uint64_t payload_hash;
	uint64_t origin;      /**< member that was granted the run */
	uint64_t request;     /**< ID at the origin */
	uint32_t state;	      /**< ffl_once_state_t */
	uint32_t age_ms;      /**< since the key was first used */
	uint32_t run_left_ms; /**< time for which the run may go on */
	uint32_t http_status;
	char content_type[FFL_TYPE_BYTES];
	ffl_bytes_t answer;
} ffl_once_row_t;

/** Outcome of a run, sent to the key's owner. */
typedef struct {
	ffl_once_row_t row;
	uint32_t hops; /**< number of times that it was forwarded */
} ffl_once_done_t;

/** Keys sent to their new owner, or the owner's acknowledgement. */
typedef struct {
	uint64_t view;	      /**< hash of the sender's view */
	uint64_t from_cursor; /**< position of the sender's keys before rows */
	uint64_t to_cursor;   /**< position after rows */
	bool ack;	      /**< acknowledges the keys up to to_cursor */
	bool complete;	      /**< no more rows follow */
	bool final;	      /**< the sender leaves and grants no more runs */
	ffl_list_t rows;      /**< of ffl_once_row_t */
} ffl_handover_t;

/**
 * A host's ownership reports on the slots of upstreams and on idempotency
 * keys; see ffl_ownership_report_t in ownership.h.
 */
typedef struct {
	uint64_t stamp_ms;	 /**< sender's clock */
	uint64_t echo_ms;	 /**< latest stamp from the receiver; 0: none */
	uint64_t view;		 /**< hash of the sender's view */
	uint32_t slots_taint_ms; /**< blocked_ms of the slots */
	uint32_t keys_taint_ms;	 /**< blocked_ms of the keys */
	bool log_fresh;
	bool slots_settled;
	bool slots_rooted; /**< the sender has established its slots */
	bool keys_settled;
	bool keys_rooted; /**< the sender has established its keys */
	bool final;	  /**< the sender has released its part for good */
} ffl_load_t;

/** A message; head.kind selects the member of the union. */
typedef struct {
	ffl_peer_head_t head;
	union {
		ffl_heartbeat_t heartbeat;
		ffl_state_ask_t state_ask;
		ffl_state_part_t state;
		ffl_once_ask_t once_ask;
		ffl_once_tell_t once_tell;
		ffl_once_done_t once_done;
		ffl_handover_t handover;
		ffl_load_t load;
	};
} ffl_peer_msg_t;

/** Appends the encoded message to @p out. */
void ffl_peer_encode(const ffl_peer_msg_t *msg, GByteArray *out);
/**
 * Decodes a message.
 *
 * @param arena holds the lists and blobs of the message
 * @return FFL_OK; FFL_NOT_FOUND if the kind or version is unknown, with the
 *         header filled in; FFL_INVALID if malformed or larger than
 *         FFL_FRAME_BYTES_MAX; FFL_TRUNCATED
 */
ffl_status_t ffl_peer_decode(ffl_bytes_t in, ffl_peer_msg_t *msg,
			     ffl_arena_t *arena);
const char *ffl_peer_kind_name(uint32_t kind);

#endif
