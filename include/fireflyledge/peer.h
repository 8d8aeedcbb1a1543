/**
 * @file peer.h
 * @brief Messages between entry hosts, framed over TCP.
 */
#ifndef FFL_PEER_H
#define FFL_PEER_H

#include "fireflyledge/schema.h"

/** Version of the peer protocol. */
#define FFL_PEER_VERSION 1
/** Largest frame between entry hosts, in bytes. */
#define FFL_FRAME_BYTES_MAX (1U << 20)

/** Kind of a peer message. */
typedef enum {
	FFL_PEER_HEARTBEAT,
	FFL_PEER_STATE_ASK, /**< asks for the folded state */
	FFL_PEER_STATE,	    /**< a part of the folded state */
	FFL_PEER_ONCE_ASK,  /**< asks a key's home whether it may run */
	FFL_PEER_ONCE_TELL, /**< a home's answer */
	FFL_PEER_ONCE_DONE, /**< a run's outcome for its home */
	FFL_PEER_HANDOVER,  /**< keys that a leaving home hands over */
	FFL_PEER_LOAD,	    /**< use of upstreams and limits */
	FFL_PEER_DIGEST,    /**< free shapes of a cell */
	FFL_PEER__MAX
} ffl_peer_kind_t;

/** Header of every peer message. */
typedef struct {
	uint32_t version;
	uint64_t cluster;
	ffl_peer_kind_t kind;
	uint64_t from; /**< member */
	uint64_t to;   /**< member; 0 for any */
	uint64_t seq;
} ffl_peer_head_t;

/** Sent to every peer at each heartbeat interval. */
typedef struct {
	uint64_t revision;
	uint64_t next_offset;
	bool log_reachable;
	bool leaving;
} ffl_heartbeat_t;

/** Bytes of state in one message. */
#define FFL_STATE_PART_BYTES (256U << 10)

/** Asks a peer for its state, where that is newer. */
typedef struct {
	uint64_t offset; /**< next record that the asking host would fold */
	char addr[FFL_ADDR_BYTES]; /**< where to send it */
} ffl_state_ask_t;

/** A part of the folded state. */
typedef struct {
	uint64_t offset; /**< state after every record below this offset */
	uint32_t part;
	uint32_t parts;
	uint64_t hash; /**< of all parts */
	ffl_bytes_t data;
} ffl_state_part_t;

/** Longest content type of a stored answer. */
#define FFL_TYPE_BYTES 64
/** Largest stored answer; the outcome of a larger one is kept without it. */
#define FFL_ANSWER_BYTES_MAX 262144
/** Most keys in one handover message. */
#define FFL_HANDOVER_ROWS_MAX 1024

/** Asks the home of a key whether a request may run. */
typedef struct {
	uint64_t request; /**< at the asking host */
	uint64_t key_a;
	uint64_t key_b;
	uint64_t payload_hash;
	uint64_t view; /**< hash of the view that names the home */
	uint32_t timeout_ms;
} ffl_once_ask_t;

/** A home's answer to ffl_once_ask_t. */
typedef struct {
	uint64_t request;
	uint32_t verdict; /**< ffl_once_verdict_t */
	uint32_t http_status;
	char content_type[FFL_TYPE_BYTES];
	ffl_bytes_t answer;
} ffl_once_tell_t;

/** What is known of a key. */
typedef struct {
	uint64_t key_a;
	uint64_t key_b;
	uint64_t payload_hash;
	uint64_t origin;  /**< member that was granted the run */
	uint64_t request; /**< at the origin */
	uint32_t state;	  /**< ffl_once_state_t */
	uint32_t age_ms;
	uint32_t run_left_ms; /**< time for which it may be running */
	uint32_t http_status;
	char content_type[FFL_TYPE_BYTES];
	ffl_bytes_t answer;
} ffl_once_row_t;

/** A run's outcome for the key's home. */
typedef struct {
	ffl_once_row_t row;
	uint32_t hops; /**< times that it was passed on */
} ffl_once_done_t;

/** Keys for their new home, or the acknowledgement of some. */
typedef struct {
	uint64_t view;
	uint64_t from_cursor;
	uint64_t to_cursor;
	bool ack;
	bool complete;	 /**< no row remains */
	bool final;	 /**< the sender leaves and has ended its part */
	ffl_list_t rows; /**< of ffl_once_row_t */
} ffl_handover_t;

/** A host's word on its view; see tenure.h. */
typedef struct {
	uint64_t stamp_ms;
	uint64_t echo_ms;
	uint64_t view;
	uint32_t slots_taint_ms;
	uint32_t keys_taint_ms;
	bool log_fresh;
	bool slots_settled;
	bool slots_rooted;
	bool keys_settled;
	bool keys_rooted;
	bool final;
} ffl_load_t;

/** A peer message: header and a body of its kind. */
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

void ffl_peer_encode(const ffl_peer_msg_t *msg, GByteArray *out);
/** Decodes a message; FFL_NOT_FOUND for an unknown kind or version. */
ffl_status_t ffl_peer_decode(ffl_bytes_t in, ffl_peer_msg_t *msg,
			     ffl_arena_t *arena);
const char *ffl_peer_kind_name(uint32_t kind);

#endif
