/**
 * @file status.h
 * @brief Result codes, and a code with an error message.
 */
#ifndef FFL_STATUS_H
#define FFL_STATUS_H

#include <stdint.h>

/** Result of a library call. */
typedef enum {
	FFL_OK = 0,
	FFL_INVALID,	 /**< the input is malformed or out of range */
	FFL_NOT_FOUND,	 /**< no such object */
	FFL_CONFLICT,	 /**< overtaken by another change */
	FFL_FULL,	 /**< a limit is reached */
	FFL_UNAVAILABLE, /**< not done, and certainly without effect */
	FFL_UNKNOWN,	 /**< may or may not have taken effect */
	FFL_DENIED,	 /**< not permitted */
	FFL_TRUNCATED,	 /**< the data ends too early */
	FFL_SYSTEM,	 /**< an operating system call failed */
	FFL_STATUS__MAX
} ffl_status_t;

/** Size of an error message, in bytes with its terminator. */
#define FFL_ERR_BYTES 256

/** The last failure of an object. */
typedef struct {
	ffl_status_t status;
	char text[FFL_ERR_BYTES];
} ffl_err_t;

/** Returns the stable name of a status, as in logs and JSON. */
const char *ffl_status_name(ffl_status_t status);

/**
 * Stores a status and a formatted message, cut to fit.
 *
 * @param err may be NULL
 * @return @p status
 */
ffl_status_t ffl_err_set(ffl_err_t *err, ffl_status_t status, const char *fmt,
			 ...) __attribute__((format(printf, 3, 4)));

#endif
