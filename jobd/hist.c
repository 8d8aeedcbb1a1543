/**
 * @file hist.c
 * @brief Latency histograms in the Prometheus text format.
 */
#include <pthread.h>
#include <gsl/gsl_histogram.h>

#include "jobd/jobd.h"

/** Bounds double from 1 ms to 32768 ms; one more bucket takes the rest. */
#define BOUND_COUNT	 16
#define BUCKET_COUNT	 (BOUND_COUNT + 1)
#define RANGE_MAX_MS	 1e12
#define BOUND_TEXT_BYTES 24

static const struct {
	const char *name;
	const char *label; /**< tells histograms of one name apart, or "" */
	const char *help;  /**< at the first histogram of a name */
} families[JOBD_HIST__MAX] = {
	[JOBD_HIST_ACCEPT] = { "accept_ms", "",
			       "time from submission to acceptance" },
	[JOBD_HIST_QUEUE_FIRST] = { "queue_ms", "priority=\"0\"",
				    "time from acceptance to the first "
				    "placement" },
	[JOBD_HIST_QUEUE_SECOND] = { "queue_ms", "priority=\"1\"", NULL },
	[JOBD_HIST_QUEUE_OTHER] = { "queue_ms", "priority=\"2\"", NULL },
	[JOBD_HIST_RUNNING] = { "running_ms", "",
				"time from placement to the run at the "
				"worker" },
	[JOBD_HIST_TAKEOVER] = { "takeover_ms", "",
				 "time from a leader's last record to the next "
				 "leader" },
	[JOBD_HIST_READ] = { "store_ms", "call=\"read\"",
			     "duration of calls to the log; reads wait for "
			     "records" },
	[JOBD_HIST_NEWEST] = { "store_ms", "call=\"newest\"", NULL },
	[JOBD_HIST_APPEND] = { "store_ms", "call=\"append\"", NULL },
	[JOBD_HIST_HOLD] = { "order_ms", "order=\"hold\"",
			     "duration of orders to workers; holds wait for "
			     "endings" },
	[JOBD_HIST_START] = { "order_ms", "order=\"start\"", NULL },
	[JOBD_HIST_STOP] = { "order_ms", "order=\"stop\"", NULL },
	[JOBD_HIST_PACE] = { "order_ms", "order=\"pace\"", NULL },
	[JOBD_HIST_ADVISE] = { "order_ms", "order=\"advise\"", NULL },
};

static void format_histogram(GString *out, uint32_t i);

static struct {
	pthread_mutex_t lock;
	gsl_histogram *by_kind[JOBD_HIST__MAX];
	double sums[JOBD_HIST__MAX]; /**< in ms */
} hists;

void jobd_hist_init(void)
{
	double ranges[BUCKET_COUNT + 1] = { 0 };

	for (uint32_t i = 0; i < BOUND_COUNT; i++)
		ranges[i + 1] = (double)(1U << i);
	ranges[BUCKET_COUNT] = RANGE_MAX_MS;
	pthread_mutex_init(&hists.lock, NULL);
	for (uint32_t i = 0; i < JOBD_HIST__MAX; i++) {
		hists.by_kind[i] = gsl_histogram_alloc(BUCKET_COUNT);
		gsl_histogram_set_ranges(hists.by_kind[i], ranges,
					 BUCKET_COUNT + 1);
	}
}

void jobd_hist_add(jobd_hist_t hist, uint64_t ms)
{
	pthread_mutex_lock(&hists.lock);
	gsl_histogram_increment(hists.by_kind[hist], (double)ms);
	hists.sums[hist] += (double)ms;
	pthread_mutex_unlock(&hists.lock);
}

static void format_histogram(GString *out, uint32_t i)
{
	const char *name = families[i].name;
	const char *label = families[i].label;
	const char *comma = label[0] ? "," : "";
	double count = 0;

	if (families[i].help)
		g_string_append_printf(out,
				       "# HELP ffl_jobd_%s %s\n"
				       "# TYPE ffl_jobd_%s histogram\n",
				       name, families[i].help, name);
	for (uint32_t k = 0; k < BUCKET_COUNT; k++) {
		char le[BOUND_TEXT_BYTES] = "+Inf";

		count += gsl_histogram_get(hists.by_kind[i], k);
		if (k < BOUND_COUNT)
			g_snprintf(le, sizeof(le), "%u", 1U << k);
		g_string_append_printf(
			out, "ffl_jobd_%s_bucket{%s%sle=\"%s\"} %.0f\n", name,
			label, comma, le, count);
	}
	g_string_append_printf(out,
			       "ffl_jobd_%s_sum{%s} %.0f\n"
			       "ffl_jobd_%s_count{%s} %.0f\n",
			       name, label, hists.sums[i], name, label, count);
}

void jobd_hist_format(GString *out)
{
	pthread_mutex_lock(&hists.lock);
	for (uint32_t i = 0; i < JOBD_HIST__MAX; i++)
		format_histogram(out, i);
	pthread_mutex_unlock(&hists.lock);
}
