/**
 * @file status.c
 * @brief Names of result codes; error messages.
 */
#include <stdarg.h>
#include <stdio.h>

#include "fireflyledge/status.h"

static const char *const status_names[FFL_STATUS__MAX] = {
	[FFL_OK] = "ok",
	[FFL_INVALID] = "invalid",
	[FFL_NOT_FOUND] = "not-found",
	[FFL_CONFLICT] = "conflict",
	[FFL_FULL] = "full",
	[FFL_UNAVAILABLE] = "unavailable",
	[FFL_UNKNOWN] = "unknown",
	[FFL_DENIED] = "denied",
	[FFL_TRUNCATED] = "truncated",
	[FFL_SYSTEM] = "system",
};

const char *ffl_status_name(ffl_status_t status)
{
	return status < FFL_STATUS__MAX ? status_names[status] : "?";
}

ffl_status_t ffl_err_set(ffl_err_t *err, ffl_status_t status, const char *fmt,
			 ...)
{
	va_list ap;

	if (!err)
		return status;
	err->status = status;
	va_start(ap, fmt);
	vsnprintf(err->text, sizeof(err->text), fmt, ap);
	va_end(ap);
	return status;
}
