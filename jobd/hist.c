#include <pthread.h>
#include <gsl/gsl_histogram.h>

#include "jobd/jobd.h"

/** Upper bounds double from 1 ms on; above the last is one bucket more. */
#define BOUNDS	 16
#define BUCKETS	 (BOUNDS + 1)
#define LARGEST	 1e12
#define MS_LABEL 24

static const struct {
	const char *name;
	const char *label; /**< of one of several under a name, or "" */
	const char *text;
} families[JOBD_HIST__MAX] = {
	[JOBD_HIST_ACCEPT] = { "accept_ms", "",
			       "from a submission to its acceptance" },
	[JOBD_HIST_QUEUE_FIRST] = { "queue_ms", "priority=\"0\"",
				    "from acceptance to the first order" },
	[JOBD_HIST_QUEUE_SECOND] = { "queue_ms", "priority=\"1\"", NULL },
	[JOBD_HIST_QUEUE_OTHER] = { "queue_ms", "priority=\"2\"", NULL },
	[JOBD_HIST_RUNNING] = { "running_ms", "",
				"from a placement to its run at the worker" },
	[JOBD_HIST_TAKEOVER] = { "takeover_ms", "",
				 "from a leader's last sign to the next" },
	[JOBD_HIST_READ] = { "store_ms", "call=\"read\"",
			     "calls to the log; reads wait for records" },
	[JOBD_HIST_NEWEST] = { "store_ms", "call=\"newest\"", NULL },
	[JOBD_HIST_APPEND] = { "store_ms", "call=\"append\"", NULL },
	[JOBD_HIST_HOLD] = { "order_ms", "order=\"hold\"",
			     "orders to workers; holds wait for ends" },
	[JOBD_HIST_START] = { "order_ms", "order=\"start\"", NULL },
	[JOBD_HIST_STOP] = { "order_ms", "order=\"stop\"", NULL },
	[JOBD_HIST_PACE] = { "order_ms", "order=\"pace\"", NULL },
	[JOBD_HIST_ADVISE] = { "order_ms", "order=\"advise\"", NULL },
};

static void format(GString *out, uint32_t i);

static struct {
	pthread_mutex_t lock;
	gsl_histogram *of[JOBD_HIST__MAX];
	double sums[JOBD_HIST__MAX];
} hists;

void jobd_hist_init(void)
{
	double ranges[BUCKETS + 1] = { 0 };

	for (uint32_t i = 0; i < BOUNDS; i++)
		ranges[i + 1] = (double)(1U << i);
	ranges[BUCKETS] = LARGEST;
	pthread_mutex_init(&hists.lock, NULL);
	for (uint32_t i = 0; i < JOBD_HIST__MAX; i++) {
		hists.of[i] = gsl_histogram_alloc(BUCKETS);
		gsl_histogram_set_ranges(hists.of[i], ranges, BUCKETS + 1);
	}
}

void jobd_hist_add(jobd_hist_t what, uint64_t ms)
{
	pthread_mutex_lock(&hists.lock);
	gsl_histogram_increment(hists.of[what], (double)ms);
	hists.sums[what] += (double)ms;
	pthread_mutex_unlock(&hists.lock);
}

static void format(GString *out, uint32_t i)
{
	const char *name = families[i].name;
	const char *label = families[i].label;
	const char *comma = label[0] ? "," : "";
	double count = 0;

	if (families[i].text)
		g_string_append_printf(out,
				       "# HELP ffl_jobd_%s %s\n"
				       "# TYPE ffl_jobd_%s histogram\n",
				       name, families[i].text, name);
	for (uint32_t k = 0; k < BUCKETS; k++) {
		char le[MS_LABEL] = "+Inf";

		count += gsl_histogram_get(hists.of[i], k);
		if (k < BOUNDS)
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
		format(out, i);
	pthread_mutex_unlock(&hists.lock);
}
