/**
 * @file status.h
 * @brief Result codes and the message that explains the last failure.
 */
#ifndef FFL_STATUS_H
#define FFL_STATUS_H

#include <stdint.h>

/** Result of a library call. */
typedef enum {
	FFL_OK = 0,
	FFL_INVALID,	 /**< the input breaks a rule */
	FFL_NOT_FOUND,	 /**< the named object does not exist */
	FFL_CONFLICT,	 /**< another change came first */
	FFL_FULL,	 /**< a stated bound is reached */
	FFL_UNAVAILABLE, /**< certain not to have happened */
	FFL_UNKNOWN,	 /**< may or may not have happened */
	FFL_DENIED,	 /**< the caller may not do this */
	FFL_TRUNCATED,	 /**< the data ends too early */
	FFL_SYSTEM,	 /**< an operating system call failed */
	FFL_STATUS__MAX
} ffl_status_t;

/** Longest error message, in bytes with its terminator. */
#define FFL_ERR_BYTES 256

/** Message that explains the last failure of an object. */
typedef struct {
	ffl_status_t status;
	char text[FFL_ERR_BYTES];
} ffl_err_t;

/** Returns the stable name of a status, for logs and JSON. */
const char *ffl_status_name(ffl_status_t status);

/** Stores @p status and a formatted message; returns @p status. */
ffl_status_t ffl_err_set(ffl_err_t *err, ffl_status_t status, const char *fmt,
			 ...) __attribute__((format(printf, 3, 4)));

#endif
