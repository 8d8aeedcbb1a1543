/**
 * @file event.h
 * @brief Events: all inputs of an entry host's state machine.
 *
 * The memory that an event points to belongs to the caller that passes the
 * event, and is valid only during that call.
 */
#ifndef FFL_EVENT_H
#define FFL_EVENT_H

#include "fireflyledge/command.h"
#include "fireflyledge/peer.h"
#include "fireflyledge/types.h"
#include "fireflyledge/worker.h"

/** Kind of an event; selects the member of ffl_event_t. */
typedef enum {
	FFL_EV_TICK,	      /**< time has passed */
	FFL_EV_LOG_READ,      /**< answer to FFL_ACT_LOG_READ */
	FFL_EV_LOG_APPENDED,  /**< answer to FFL_ACT_LOG_APPEND */
	FFL_EV_HOST_LIST,     /**< the platform's list of hosts */
	FFL_EV_WORKER_REPLY,  /**< answer to FFL_ACT_WORKER_SEND */
	FFL_EV_PEER,	      /**< a message from another entry host */
	FFL_EV_COMMAND,	      /**< an operator's or caller's command */
	FFL_EV_REQUEST,	      /**< a caller's request for an upstream */
	FFL_EV_REQUEST_GONE,  /**< a request's caller disconnected */
	FFL_EV_UPSTREAM_DONE, /**< an attempt at an upstream has ended */
	FFL_EV_STOP,	 /**< planned stop; a second one cuts the drain short */
	FFL_EV_SETTINGS, /**< the settings file was read again */
	FFL_EV__MAX
} ffl_event_kind_t;

/** FFL_EV_TICK. */
typedef struct {
	uint32_t unread_bodies; /**< requests whose body is being read */
} ffl_ev_tick_t;

/** Settings that can change at run time; see ffl_settings_t. */
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

/** A record read from the log. */
typedef struct {
	uint64_t offset;
	ffl_bytes_t data;
} ffl_log_entry_t;

/** FFL_EV_LOG_READ. */
typedef struct {
	ffl_status_t status; /**< FFL_OK, or why nothing was read */
	uint64_t first;	     /**< first offset that the log retains */
	uint64_t end;	     /**< offset after the last record of the log */
	const ffl_log_entry_t *entries;
	uint32_t count;
} ffl_ev_log_read_t;

/** FFL_EV_LOG_APPENDED. */
typedef struct {
	uint64_t append;     /**< number in the action */
	ffl_status_t status; /**< FFL_OK, FFL_UNAVAILABLE or FFL_UNKNOWN */
	uint64_t offset;     /**< of the first record, if FFL_OK */
} ffl_ev_log_appended_t;

/** FFL_EV_WORKER_REPLY. */
typedef struct {
	ffl_name_t worker;
	uint64_t call;	     /**< number in the action */
	ffl_status_t status; /**< of the call; FFL_OK if there is a reply */
	ffl_worker_reply_t reply;
} ffl_ev_worker_reply_t;

/** FFL_EV_COMMAND. */
typedef struct {
	uint64_t id; /**< for the answer */
	ffl_command_t command;
	const char *arg;   /**< object named in the path, or "" */
	const char *token; /**< bearer token, or "" */
	ffl_bytes_t body;
} ffl_ev_command_t;

/** Value of body_bytes for a request without a Content-Length. */
#define FFL_BODY_UNKNOWN UINT64_MAX

/** FFL_EV_REQUEST. */
typedef struct {
	uint64_t id;
	const char *token;  /**< bearer token */
	const char *caller; /**< caller within the customer */
	ffl_urgency_t urgency;
	bool repeatable;       /**< method and body allow another attempt */
	bool replayable;       /**< the whole body is buffered */
	const char *key;       /**< idempotency key, or "" */
	uint64_t payload_hash; /**< of method, target and body, with a key */
	uint32_t timeout_ms;   /**< from now; 0: default of the settings */
	uint64_t body_bytes;   /**< or FFL_BODY_UNKNOWN */
	const char *kind;      /**< method and first path segment */
} ffl_ev_request_t;

/** How an attempt at an upstream ended. */
typedef enum {
	FFL_UP_OK,	 /**< complete answer */
	FFL_UP_NOT_SENT, /**< no byte was sent, so it did not run */
	FFL_UP_REFUSED,	 /**< the upstream states that it did not run */
	FFL_UP_BROKEN,	 /**< connection lost or answer malformed */
	FFL_UP_TIMEOUT,
	FFL_UP_CANCELLED, /**< the caller disconnected */
	FFL_UP__MAX
} ffl_up_outcome_t;

/** FFL_EV_UPSTREAM_DONE. */
typedef struct {
	uint64_t id;	  /**< of the request */
	uint32_t attempt; /**< number in the action */
	ffl_up_outcome_t outcome;
	bool relayed; /**< part of the answer was sent to the caller */
	uint32_t http_status;
	uint32_t elapsed_ms;
	uint64_t sent_bytes;
	uint64_t received_bytes;
	ffl_bytes_t answer;	  /**< whole answer, if keep_answer was set */
	const char *content_type; /**< of the answer */
} ffl_ev_upstream_done_t;

/** An event. */
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
		uint64_t request_gone; /**< ID of the request */
		ffl_ev_upstream_done_t upstream_done;
	};
} ffl_event_t;

/** Return the name of an enum's value; "?" if out of range. */
const char *ffl_event_kind_name(uint32_t kind);
const char *ffl_up_outcome_name(uint32_t outcome);

#endif
