/**
 * @file action.h
 * @brief Actions: all outputs of an entry host's state machine.
 *
 * The state machine takes events (event.h) and returns actions; a port (port.h)
 * carries the actions out.
 */
#ifndef FFL_ACTION_H
#define FFL_ACTION_H

#include "fireflyledge/arena.h"
#include "fireflyledge/event.h"

/** Kind of an action; selects the member of ffl_action_t. */
typedef enum {
	FFL_ACT_LOG_READ,    /**< reads records from the log */
	FFL_ACT_LOG_APPEND,  /**< appends records to the log */
	FFL_ACT_HOSTS_READ,  /**< reads the list of hosts */
	FFL_ACT_WORKER_SEND, /**< sends a command to a worker */
	FFL_ACT_PEER_SEND,   /**< sends a message to another entry host */
	FFL_ACT_ANSWER,	     /**< answers a command or unforwarded request */
	FFL_ACT_FORWARD,     /**< sends a request to an upstream */
	FFL_ACT_FINISH, /**< ends a request; no further action concerns it */
	FFL_ACT_READY,	/**< changes the readiness shown to the load balancer */
	FFL_ACT_REPORT, /**< writes a line to the process log */
	FFL_ACT_EXIT,	/**< exits: the planned stop is complete */
	FFL_ACT__MAX
} ffl_action_kind_t;

/** Reads the log; answered by FFL_EV_LOG_READ. */
typedef struct {
	uint64_t from;	  /**< first offset */
	uint32_t max;	  /**< most records */
	uint32_t wait_ms; /**< longest wait for a record (long poll) */
} ffl_act_log_read_t;

/** Appends records at once; answered by FFL_EV_LOG_APPENDED. */
typedef struct {
	uint64_t append; /**< number that the answer repeats */
	const ffl_bytes_t *records;
	uint32_t count;
} ffl_act_log_append_t;

/**
 * Reads the list of hosts, or only its changes since a version if the platform
 * supports it; answered by FFL_EV_HOST_LIST.
 */
typedef struct {
	uint64_t seed; /**< of the list that is known; 0: read the whole list */
	uint64_t since; /**< version of the list that is known */
} ffl_act_hosts_read_t;

/** Sends a command to a worker; answered by FFL_EV_WORKER_REPLY. */
typedef struct {
	ffl_name_t worker;
	char addr[FFL_ADDR_BYTES];
	uint64_t call; /**< number that the answer repeats */
	ffl_worker_cmd_t cmd;
} ffl_act_worker_send_t;

/** Sends a frame to another entry host; delivery is not confirmed. */
typedef struct {
	char addr[FFL_ADDR_BYTES];
	ffl_bytes_t frame; /**< encoded ffl_peer_msg_t */
} ffl_act_peer_send_t;

/** Answers a command or request. */
typedef struct {
	uint64_t id; /**< of the command or request */
	uint32_t http_status;
	const char *content_type;
	ffl_bytes_t body;
	uint32_t retry_after_ms; /**< Retry-After header; 0: none */
} ffl_act_answer_t;

/** Sends a request to an upstream; answered by FFL_EV_UPSTREAM_DONE. */
typedef struct {
	uint64_t id;	  /**< of the request */
	uint32_t attempt; /**< number that the answer repeats */
	ffl_name_t upstream;
	char addr[FFL_ADDR_BYTES];
	uint32_t timeout_ms;
	bool keep_answer; /**< the event shall include the whole answer */
} ffl_act_forward_t;

/** Writes a line to the process log. */
typedef struct {
	const char *event;   /**< stable name, such as "plan-confirmed" */
	const char *subject; /**< customer, host, job or request */
	const char *text;
	ffl_level_t level;
} ffl_act_report_t;

/** An action. */
typedef struct {
	ffl_action_kind_t kind;
	union {
		ffl_act_log_read_t log_read;
		ffl_act_log_append_t log_append;
		ffl_act_hosts_read_t hosts_read;
		ffl_act_worker_send_t worker_send;
		ffl_act_peer_send_t peer_send;
		ffl_act_answer_t answer;
		ffl_act_forward_t forward;
		uint64_t finish; /**< ID of the request */
		bool ready;
		ffl_act_report_t report;
	};
} ffl_action_t;

/** List of actions and the memory that they point to. */
typedef struct {
	GArray *items; /**< of ffl_action_t */
	ffl_arena_t arena;
} ffl_actions_t;

void ffl_actions_init(ffl_actions_t *out);
void ffl_actions_finish(ffl_actions_t *out);
/** Removes all actions, but keeps memory for reuse. */
void ffl_actions_reset(ffl_actions_t *out);

/**
 * Appends an empty action and returns it; the pointer is valid until the next
 * action is added.
 */
ffl_action_t *ffl_actions_add(ffl_actions_t *out, ffl_action_kind_t kind);
uint32_t ffl_actions_count(const ffl_actions_t *out);
const ffl_action_t *ffl_actions_at(const ffl_actions_t *out, uint32_t i);

/** Returns a copy of a string that lives as long as the actions. */
const char *ffl_actions_copy_text(ffl_actions_t *out, const char *text);

/**
 * Adds an action that writes a line to the process log; the line is cut at
 * 511 bytes.
 *
 * @param event   string constant, the stable name of the log event
 * @param subject customer, host, job or request concerned
 */
void ffl_actions_report(ffl_actions_t *out, ffl_level_t level,
			const char *event, const char *subject, const char *fmt,
			...) __attribute__((format(printf, 5, 6)));

/** Adds an answer with a JSON body; takes the reference to @p body. */
void ffl_actions_answer(ffl_actions_t *out, uint64_t id, uint32_t http_status,
			json_t *body);

/** An error answer, sent as a problem document (RFC 9457). */
typedef struct {
	uint32_t http_status;
	const char *type; /**< last part of the type's URI */
	const char *title;
	const char *detail;
	const char *field;	 /**< field or header at fault, or NULL */
	ffl_ran_t ran;		 /**< whether the request may have run */
	uint32_t retry_after_ms; /**< Retry-After header; 0: none */
	const ffl_findings_t *findings; /**< or NULL */
} ffl_problem_t;

/** Adds an answer with a problem document as its body. */
void ffl_actions_problem(ffl_actions_t *out, uint64_t id,
			 const ffl_problem_t *problem);

/** Returns findings as a JSON array; the caller owns the reference. */
json_t *ffl_findings_to_json(const ffl_findings_t *fs);

const char *ffl_action_kind_name(uint32_t kind);

#endif
