/**
 * @file head.h
 * @brief Validation of a caller's request line and headers.
 */
#ifndef FFLD_HEAD_H
#define FFLD_HEAD_H

#include <civetweb.h>

#include "daemon/problem.h"

/** Size of a request id, terminator included. */
#define FFLD_ID_BYTES 64

/**
 * Checks that a request has one interpretation only (no request smuggling):
 * one body length, no folded header line, no header past the capacity of the
 * server's table, valid header names.
 *
 * @param field set to the offending header, or NULL if it is none in particular
 * @return the problem, or FFLD_PROBLEM__MAX if there is none
 */
ffld_problem_t ffld_head_check(const struct mg_request_info *info,
			       const char **field);

/** Checks the method, target and headers that matter to relayed requests only;
 * arguments and result as for ffld_head_check(). */
ffld_problem_t ffld_head_check_relay(const struct mg_request_info *info,
				     const char **field);

/** Returns true if a header is not relayed: it is hop-by-hop, or the relay
 * sets it itself. */
bool ffld_head_is_hop_by_hop(const char *name);
/** Returns true if the value of a Connection header lists @p name. */
bool ffld_head_connection_lists(const char *connection, const char *name);

/** Returns the value of the first header of this name, or @p def. */
const char *ffld_head_get(const struct mg_request_info *info, const char *name,
			  const char *def);

#endif
