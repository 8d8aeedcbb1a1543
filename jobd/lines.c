/**
 * @file lines.c
 * @brief Log lines as JSON on standard output, limited per second.
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "jobd/jobd.h"

/** Timestamp up to its seconds, with terminator. */
#define TIME_BYTES 40
#define US_PER_MS  1000
#define US_PER_S   1000000

static char *format_line(const char *event, const char *subject,
			 const char *text);
static bool consume_budget(void);
static void *write_lines(void *arg);

static struct {
	char host[FFL_NAME_BYTES];
	ffl_ring_t ring; /**< of char *, whole lines */
	pthread_t thread;
	pthread_mutex_t lock;
	uint32_t per_s;
	int64_t second; /**< monotonic second that used counts in */
	uint32_t used;
	_Atomic uint32_t dropped; /**< lines since the last one written */
	_Atomic bool stopping;
} lines;

static char *format_line(const char *event, const char *subject,
			 const char *text)
{
	int64_t now_us = g_get_real_time();
	time_t now_s = (time_t)(now_us / US_PER_S);
	uint32_t dropped = atomic_exchange(&lines.dropped, 0);
	char date_time[TIME_BYTES];
	char timestamp[TIME_BYTES + 8];
	struct tm tm;
	json_t *json;
	char *out;

	gmtime_r(&now_s, &tm);
	strftime(date_time, sizeof(date_time), "%Y-%m-%dT%H:%M:%S", &tm);
	g_snprintf(timestamp, sizeof(timestamp), "%s.%03dZ", date_time,
		   (int)(now_us % US_PER_S / US_PER_MS));
	json = json_pack("{s:s,s:s,s:s,s:s,s:s}", "time", timestamp, "host",
			 lines.host, "event", event, "subject", subject, "text",
			 text);
	if (dropped)
		json_object_set_new(json, "left_out", json_integer(dropped));
	out = json_dumps(json, JSON_COMPACT | JSON_PRESERVE_ORDER);
	json_decref(json);
	return out;
}

/* Counts a line; returns false if the budget of this second is spent. */
static bool consume_budget(void)
{
	int64_t second = g_get_monotonic_time() / US_PER_S;
	bool ok;

	pthread_mutex_lock(&lines.lock);
	if (second != lines.second) {
		lines.second = second;
		lines.used = 0;
	}
	ok = lines.used++ < lines.per_s;
	pthread_mutex_unlock(&lines.lock);
	return ok;
}

/* Standard output may block, so only this thread writes to it. */
static void *write_lines(void *arg)
{
	while (!atomic_load(&lines.stopping) || lines.ring.count) {
		char *line = ffl_ring_pop(&lines.ring, US_PER_MS);

		if (!line)
			continue;
		fputs(line, stdout);
		fputc('\n', stdout);
		free(line);
		if (!lines.ring.count)
			fflush(stdout);
	}
	return NULL;
}

void jobd_lines_start(const char *host, uint32_t per_s)
{
	ffl_copy(lines.host, sizeof(lines.host), host);
	lines.per_s = per_s;
	pthread_mutex_init(&lines.lock, NULL);
	ffl_ring_init(&lines.ring, JOBD_LINES_MAX);
	pthread_create(&lines.thread, NULL, write_lines, NULL);
}

void jobd_lines_stop(void)
{
	atomic_store(&lines.stopping, true);
	ffl_ring_close(&lines.ring);
	pthread_join(lines.thread, NULL);
	ffl_ring_finish(&lines.ring);
	pthread_mutex_destroy(&lines.lock);
}

void jobd_line(const char *event, const char *subject, const char *text)
{
	char *line;

	if (!consume_budget()) {
		atomic_fetch_add(&lines.dropped, 1);
		return;
	}
	line = format_line(event, subject, text);
	if (line && ffl_ring_push(&lines.ring, line))
		return;
	free(line);
	atomic_fetch_add(&lines.dropped, 1);
}
