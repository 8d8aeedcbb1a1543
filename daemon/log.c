#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>
#include <log4c.h>

#include "daemon/daemon.h"

/** log4c category of every line, and size of a timestamp. */
#define CATEGORY   "fireflyledge"
#define TIME_BYTES 40

/** Fields of a line, passed to the layout in the event's location data. */
typedef struct {
	const char *event;
	const char *subject;
	const char *text;
	ffl_level_t level;
} log_line_t;

static const char *format_line(const log4c_layout_t *layout,
			       const log4c_logging_event_t *event);
static int append_line(log4c_appender_t *appender,
		       const log4c_logging_event_t *event);

static const int priorities[FFL_LEVEL__MAX] = {
	[FFL_LEVEL_NOTE] = LOG4C_PRIORITY_INFO,
	[FFL_LEVEL_WARNING] = LOG4C_PRIORITY_WARN,
	[FFL_LEVEL_ERROR] = LOG4C_PRIORITY_ERROR,
};

static const log4c_layout_type_t json_layout = { "json", format_line };
static const log4c_appender_type_t stderr_appender = { "ffl-stderr", NULL,
						       append_line, NULL };
static ffl_name_t host_name;

static const char *format_line(const log4c_layout_t *layout,
			       const log4c_logging_event_t *event)
{
	static __thread char *last;
	const log_line_t *line = event->evt_loc->loc_data;
	char at[TIME_BYTES];
	struct tm tm;
	json_t *json;
	char *text;

	gmtime_r(&event->evt_timestamp.tv_sec, &tm);
	strftime(at, sizeof(at), "%Y-%m-%dT%H:%M:%SZ", &tm);
	json = json_pack("{s:s,s:s,s:s,s:s,s:s,s:s}", "at", at, "level",
			 ffl_level_name(line->level), "host", host_name,
			 "event", line->event, "subject", line->subject, "text",
			 line->text);
	text = json_dumps(json, JSON_COMPACT | JSON_PRESERVE_ORDER);
	json_decref(json);
	g_free(last);
	last = g_strconcat(text, "\n", NULL);
	free(text);
	return last;
}

static int append_line(log4c_appender_t *appender,
		       const log4c_logging_event_t *event)
{
	return fputs(event->evt_rendered_msg, stderr);
}

int ffld_log_open(const char *host)
{
	log4c_appender_t *appender;
	log4c_category_t *category;

	ffl_copy(host_name, sizeof(host_name), host);
	setenv("LOG4C_RCPATH", "/nonexistent", 0);
	if (log4c_init() != 0)
		return -1;
	log4c_layout_type_set(&json_layout);
	log4c_appender_type_set(&stderr_appender);
	appender = log4c_appender_get("ffl-stderr");
	log4c_appender_set_type(appender, &stderr_appender);
	log4c_appender_set_layout(appender, log4c_layout_get("ffl-json"));
	log4c_layout_set_type(log4c_layout_get("ffl-json"), &json_layout);
	category = log4c_category_get(CATEGORY);
	log4c_category_set_appender(category, appender);
	log4c_category_set_priority(category, LOG4C_PRIORITY_INFO);
	log4c_category_set_additivity(category, 0);
	return 0;
}

void ffld_log_close(void)
{
	log4c_fini();
}

void ffld_log(ffl_level_t level, const char *event, const char *subject,
	      const char *text)
{
	log_line_t line = { event, subject, text, level };
	log4c_location_info_t where = { __FILE__, __LINE__, __func__, &line };

	log4c_category_log_locinfo(log4c_category_get(CATEGORY), &where,
				   priorities[level], "%s", "");
}
