/**
 * @file problem.h
 * @brief Problem documents (RFC 9457) that the HTTP servers send themselves.
 */
#ifndef FFLD_PROBLEM_H
#define FFLD_PROBLEM_H

#include <civetweb.h>

#include "fireflyledge/types.h"

/** Refusals that need no decision of the core thread. */
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
 * Sends a problem document and closes the connection after it.
 *
 * @param field offending header or field, or NULL
 * @param ran whether the request has run, as far as this host knows
 */
void ffld_send_problem(struct mg_connection *conn, ffld_problem_t problem,
		       const char *field, ffl_ran_t ran);

/** Sends 405 with @p allow, a comma-separated list, as its Allow header. */
void ffld_send_not_allowed(struct mg_connection *conn, const char *allow);

#endif
