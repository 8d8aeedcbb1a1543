/**
 * @file action.h
 * @brief Everything that an entry host can do.
 */
#ifndef FFL_ACTION_H
#define FFL_ACTION_H

#include "fireflyledge/arena.h"
#include "fireflyledge/event.h"

/** Kind of an action. */
typedef enum {
	FFL_ACT_LOG_READ,
	FFL_ACT_LOG_APPEND,
	FFL_ACT_HOSTS_READ,
	FFL_ACT_WORKER_SEND,
	FFL_ACT_PEER_SEND,
	FFL_ACT_ANSWER,	 /**< answers a command or refuses a request */
	FFL_ACT_FORWARD, /**< sends a request to an upstream */
	FFL_ACT_FINISH,	 /**< a request has ended; nothing more is sent */
	FFL_ACT_READY,	 /**< readiness towards the balancer changed */
	FFL_ACT_REPORT,	 /**< a line for the log */
	FFL_ACT_EXIT,	 /**< the planned stop is complete */
	FFL_ACT__MAX
} ffl_action_kind_t;

typedef struct {
	uint64_t from;
	uint32_t max;
	uint32_t wait_ms; /**< how long the log may wait for a record */
} ffl_act_log_read_t;

typedef struct {
	uint64_t append;
	const ffl_bytes_t *records;
	uint32_t count;
} ffl_act_log_append_t;

/** Reads the list of hosts; what changed since a version where it can. */
typedef struct {
	uint64_t seed;	/**< 0 asks for the whole list */
	uint64_t since; /**< version that is known */
} ffl_act_hosts_read_t;

typedef struct {
	ffl_name_t worker;
	char addr[FFL_ADDR_BYTES];
	uint64_t call;
	ffl_worker_cmd_t cmd;
} ffl_act_worker_send_t;

typedef struct {
	char addr[FFL_ADDR_BYTES];
	ffl_bytes_t frame;
} ffl_act_peer_send_t;

typedef struct {
	uint64_t id;
	uint32_t http_status;
	const char *content_type;
	ffl_bytes_t body;
	uint32_t retry_after_ms; /**< 0 sends none */
} ffl_act_answer_t;

typedef struct {
	uint64_t id;
	uint32_t attempt;
	ffl_name_t upstream;
	char addr[FFL_ADDR_BYTES];
	uint32_t timeout_ms;
	bool keep_answer; /**< return the whole answer in the event */
} ffl_act_forward_t;

typedef struct {
	const char *event;   /**< stable name, such as "plan-confirmed" */
	const char *subject; /**< customer, host, job or request */
	const char *text;
	ffl_level_t level;
} ffl_act_report_t;

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
		uint64_t finish; /**< id of the request */
		bool ready;
		ffl_act_report_t report;
	};
} ffl_action_t;

/** Actions of one or more steps, with the memory that they point to. */
typedef struct {
	GArray *items; /**< of ffl_action_t */
	ffl_arena_t arena;
} ffl_actions_t;

void ffl_actions_init(ffl_actions_t *out);
void ffl_actions_finish(ffl_actions_t *out);
/** Drops every action, keeping memory for reuse. */
void ffl_actions_reset(ffl_actions_t *out);

/**
 * Appends an empty action of a kind and returns it; the pointer is valid
 * until the next action is added.
 */
ffl_action_t *ffl_actions_add(ffl_actions_t *out, ffl_action_kind_t kind);
uint32_t ffl_actions_count(const ffl_actions_t *out);
const ffl_action_t *ffl_actions_at(const ffl_actions_t *out, uint32_t i);

/** Copies text into the memory of the actions. */
const char *ffl_actions_copy_text(ffl_actions_t *out, const char *text);

/** Adds a line for the log. */
void ffl_actions_report(ffl_actions_t *out, ffl_level_t level,
			const char *event, const char *subject, const char *fmt,
			...) __attribute__((format(printf, 5, 6)));

/** Adds an answer with a JSON body; takes the reference to @p body. */
void ffl_actions_answer(ffl_actions_t *out, uint64_t id, uint32_t http_status,
			json_t *body);

/** A refusal as a problem document (RFC 9457). */
typedef struct {
	uint32_t http_status;
	const char *type; /**< last part of the type's URI */
	const char *title;
	const char *detail;
	const char *field; /**< offending field, or NULL */
	ffl_ran_t ran;
	uint32_t retry_after_ms;
	const ffl_findings_t *findings; /**< or NULL */
} ffl_problem_t;

/** Adds an answer that is a problem document. */
void ffl_actions_problem(ffl_actions_t *out, uint64_t id,
			 const ffl_problem_t *problem);

/** Returns findings as a JSON array; the caller owns the reference. */
json_t *ffl_findings_to_json(const ffl_findings_t *fs);

const char *ffl_action_kind_name(uint32_t kind);

#endif
