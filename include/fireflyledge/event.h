/**
 * @file event.h
 * @brief Everything that an entry host can see.
 *
 * The memory that an event points to belongs to its sender and is only
 * valid during the call that takes the event.
 */
#ifndef FFL_EVENT_H
#define FFL_EVENT_H

#include "fireflyledge/command.h"
#include "fireflyledge/peer.h"
#include "fireflyledge/types.h"
#include "fireflyledge/worker.h"

/** Kind of an event. */
typedef enum {
	FFL_EV_TICK,	      /**< time has passed */
	FFL_EV_LOG_READ,      /**< answer to FFL_ACT_LOG_READ */
	FFL_EV_LOG_APPENDED,  /**< answer to FFL_ACT_LOG_APPEND */
	FFL_EV_HOST_LIST,     /**< the platform's list of hosts */
	FFL_EV_WORKER_REPLY,  /**< answer to FFL_ACT_WORKER_SEND */
	FFL_EV_PEER,	      /**< a message from another entry host */
	FFL_EV_COMMAND,	      /**< an operator's or caller's command */
	FFL_EV_REQUEST,	      /**< a caller's request for an upstream */
	FFL_EV_REQUEST_GONE,  /**< the caller has left */
	FFL_EV_UPSTREAM_DONE, /**< an attempt at an upstream has ended */
	FFL_EV_STOP,	      /**< a planned stop; the second one hurries */
	FFL_EV_SETTINGS,      /**< limits were read anew */
	FFL_EV__MAX
} ffl_event_kind_t;

typedef struct {
	uint32_t unread_bodies; /**< requests whose body is being read */
} ffl_ev_tick_t;

/** Limits that change while the host runs; see the settings of that name. */
typedef struct {
	uint32_t queue_max;
	uint32_t timeout_ms;
	uint32_t max_timeout_ms;
	uint32_t attempts_max;
	uint32_t eject_failures;
	uint32_t eject_ms;
	uint32_t stop_delay_ms;
	uint32_t stop_drain_ms;
} ffl_ev_settings_t;

/** One entry read from the log. */
typedef struct {
	uint64_t offset;
	ffl_bytes_t data;
} ffl_log_entry_t;

typedef struct {
	ffl_status_t status; /**< FFL_OK or why nothing was read */
	uint64_t first;	     /**< first offset that the log retains */
	uint64_t end;	     /**< offset after the last record of the log */
	const ffl_log_entry_t *entries;
	uint32_t count;
} ffl_ev_log_read_t;

typedef struct {
	uint64_t append;     /**< number from the action */
	ffl_status_t status; /**< FFL_OK, FFL_UNAVAILABLE or FFL_UNKNOWN */
	uint64_t offset;     /**< of the first record where FFL_OK */
} ffl_ev_log_appended_t;

typedef struct {
	ffl_name_t worker;
	uint64_t call;	     /**< number from the action */
	ffl_status_t status; /**< of the call itself */
	ffl_worker_reply_t reply;
} ffl_ev_worker_reply_t;

typedef struct {
	uint64_t id;
	ffl_command_t command;
	const char *arg;   /**< object named in the path, or "" */
	const char *token; /**< bearer token, or "" */
	ffl_bytes_t body;
} ffl_ev_command_t;

/** Body length of a request that does not state one. */
#define FFL_BODY_UNKNOWN UINT64_MAX

typedef struct {
	uint64_t id;
	const char *token;
	const char *caller; /**< caller within the customer */
	ffl_urgency_t urgency;
	bool repeatable;       /**< the method may be repeated */
	bool replayable;       /**< the body is kept and can be sent again */
	const char *key;       /**< idempotency key, or "" */
	uint64_t payload_hash; /**< of method, target and body, for a key */
	uint32_t timeout_ms;   /**< from now; 0 takes the default */
	uint64_t body_bytes;   /**< or FFL_BODY_UNKNOWN */
	const char *kind;      /**< method and first path segment */
} ffl_ev_request_t;

/** How an attempt at an upstream ended. */
typedef enum {
	FFL_UP_OK,	 /**< a whole answer */
	FFL_UP_NOT_SENT, /**< no byte left this host */
	FFL_UP_REFUSED,	 /**< the upstream says that it did not run */
	FFL_UP_BROKEN,	 /**< the connection broke or the answer is bad */
	FFL_UP_TIMEOUT,
	FFL_UP_CANCELLED, /**< the caller has left */
	FFL_UP__MAX
} ffl_up_outcome_t;

typedef struct {
	uint64_t id;
	uint32_t attempt;
	ffl_up_outcome_t outcome;
	bool relayed; /**< a byte of the answer has reached the caller */
	uint32_t http_status;
	uint32_t elapsed_ms;
	uint64_t sent_bytes;
	uint64_t received_bytes;
	ffl_bytes_t answer;	  /**< whole answer, for keyed requests */
	const char *content_type; /**< of the answer */
} ffl_ev_upstream_done_t;

typedef struct {
	ffl_event_kind_t kind;
	union {
		ffl_ev_tick_t tick;
		ffl_ev_settings_t settings;
		ffl_ev_log_read_t log_read;
		ffl_ev_log_appended_t log_appended;
		ffl_host_list_t host_list;
		ffl_ev_worker_reply_t worker_reply;
		ffl_peer_msg_t peer;
		ffl_ev_command_t command;
		ffl_ev_request_t request;
		uint64_t request_gone; /**< id */
		ffl_ev_upstream_done_t upstream_done;
	};
} ffl_event_t;

const char *ffl_event_kind_name(uint32_t kind);
const char *ffl_up_outcome_name(uint32_t outcome);

#endif
