/**
 * @file problem.h
 * @brief Problem documents (RFC 9457) that the daemon itself sends.
 */
#ifndef FFLD_PROBLEM_H
#define FFLD_PROBLEM_H

#include <civetweb.h>

#include "fireflyledge/types.h"

/** Every refusal that needs no decision of the core. */
typedef enum {
	FFLD_BAD_FRAMING,
	FFLD_BAD_HEADER,
	FFLD_BAD_TARGET,
	FFLD_BAD_METHOD,
	FFLD_BAD_URGENCY,
	FFLD_BAD_TIMEOUT,
	FFLD_BAD_KEY,
	FFLD_BAD_ID,
	FFLD_UNKNOWN_TOKEN,
	FFLD_UNKNOWN_ROUTE,
	FFLD_METHOD_NOT_ALLOWED,
	FFLD_BODY_TOO_LARGE,
	FFLD_KEYED_BODY_TOO_LARGE,
	FFLD_BODY_TRUNCATED,
	FFLD_BODY_TOO_SLOW,
	FFLD_HEADERS_TOO_LARGE,
	FFLD_TOO_MANY_CONNECTIONS,
	FFLD_OVERLOADED,
	FFLD_STOPPING,
	FFLD_ANSWER_BROKEN,
	FFLD_OUTCOME_UNKNOWN,
	FFLD_PROBLEM__MAX
} ffld_problem_t;

/**
 * Sends a problem document and has the connection closed after it.
 *
 * @param field offending header or field, or NULL
 */
void ffld_send_problem(struct mg_connection *conn, ffld_problem_t problem,
		       const char *field, ffl_ran_t ran);

/** Sends 405 with the methods that the path allows. */
void ffld_send_not_allowed(struct mg_connection *conn, const char *allow);

#endif
