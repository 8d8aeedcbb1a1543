/**
 * @file head.h
 * @brief Checks of a caller's request line and headers.
 */
#ifndef FFLD_HEAD_H
#define FFLD_HEAD_H

#include <civetweb.h>

#include "daemon/problem.h"

/** Longest request id with its terminator. */
#define FFLD_ID_BYTES 64

/**
 * Checks that a request can mean one thing only: one length, no folded
 * line, no header that the server's table had no room for, a plain path.
 *
 * @param field set to the offending header, or NULL
 * @return FFLD_PROBLEM__MAX where nothing is wrong
 */
ffld_problem_t ffld_head_check(const struct mg_request_info *info,
			       const char **field);

/** Checks the headers that only relayed requests have; see above. */
ffld_problem_t ffld_head_check_relay(const struct mg_request_info *info,
				     const char **field);

/** Tells whether a header belongs to one connection and is not relayed. */
bool ffld_head_is_hop(const char *name);
/** Tells whether the value of a Connection header names a header. */
bool ffld_head_names(const char *connection, const char *name);

/** Returns a header's value, or @p def. */
const char *ffld_head_get(const struct mg_request_info *info, const char *name,
			  const char *def);

#endif
