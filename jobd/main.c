/**
 * @file main.c
 * @brief Command line, signals, start and stop of ffl-jobd.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/random.h>
#include <argtable2.h>
#include <civetweb.h>
#include <curl/curl.h>

#include "jobd/jobd.h"

/** Exit codes. */
#define EXIT_OK	     0
#define EXIT_USAGE   2
#define EXIT_CONFIG  3
#define EXIT_STARTUP 4
/** A planned stop finishes this long before the grace period ends. */
#define STOP_MARGIN_MS 1200
/** far_second is the duration of one second: 10 ms are one percent. */
#define MS_PER_PERCENT 10

static void make_options(const jobd_settings_t *s, ffl_node_options_t *opt);
static void block_signals(sigset_t *set);
static void *handle_signals(void *arg);
static int run_daemon(jobd_t *d);
static int serve(jobd_t *d);

static void make_options(const jobd_settings_t *s, ffl_node_options_t *opt)
{
	memset(opt, 0, sizeof(*opt));
	ffl_copy(opt->name, sizeof(opt->name), s->name);
	if (getrandom(&opt->seed, sizeof(opt->seed), 0) < 0)
		opt->seed = ffl_mix(jobd_boottime_ms(),
				    (uint64_t)g_get_real_time());
	opt->config_apply_ms = s->config_apply_ms;
	opt->config_skew_ms = s->config_skew_ms;
	opt->evacuate_ms = s->evacuate_ms;
	opt->keep_ended_ms = s->keep_ended_ms;
	opt->size_milli = ffl_lead_size_milli(s->processor_milli * s->cores,
					      s->link_kbit);
	opt->record_bytes_max = s->record_bytes;
	opt->append_bytes_max = s->append_bytes;
	opt->partitions = s->partitions;
	opt->stop_drain_ms = s->grace_ms > 2 * STOP_MARGIN_MS
				     ? s->grace_ms - STOP_MARGIN_MS
				     : s->grace_ms / 2;
	ffl_copy(opt->dispatch.adviser_addr, sizeof(opt->dispatch.adviser_addr),
		 s->adviser_addr);
	opt->dispatch.lease_max_ms = s->lease_max_ms;
	opt->dispatch.order_late_max_ms = s->order_late_max_ms;
	opt->dispatch.stop_max_ms = s->stop_max_ms;
	opt->dispatch.gang_wait_ms = s->gang_wait_ms;
	opt->dispatch.reclaim_ms = s->reclaim_ms;
	opt->dispatch.early_ms = s->early_start_ms;
	opt->dispatch.heartbeat_ms = s->heartbeat_ms;
	opt->dispatch.spread_percent = s->cross_rack_second_ms / MS_PER_PERCENT;
}

static void block_signals(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
	sigaddset(set, SIGHUP);
	pthread_sigmask(SIG_BLOCK, set, NULL);
	signal(SIGPIPE, SIG_IGN);
}

/* No setting can change while the daemon runs: SIGHUP only checks the file. */
static void *handle_signals(void *arg)
{
	jobd_t *d = arg;
	jobd_settings_t reloaded;
	sigset_t set;
	int sig;

	block_signals(&set);
	while (!atomic_load(&d->exiting)) {
		if (sigwait(&set, &sig) != 0)
			continue;
		if (sig == SIGHUP) {
			bool ok = jobd_settings_read(d->settings_path,
						     &reloaded) == FFL_OK;

			jobd_line("reload", d->settings.name,
				  !ok ? "the settings file is missing or "
					"invalid; see standard error"
				  : memcmp(&reloaded, &d->settings,
					   sizeof(reloaded)) != 0
					  ? "the settings have changed; "
					    "restart to apply them"
					  : "the settings have not changed");
			continue;
		}
		jobd_event_post_wait(d, jobd_event_new(FFL_NODE_EV_STOP));
	}
	return NULL;
}

static int run_daemon(jobd_t *d)
{
	ffl_node_options_t opt;
	pthread_t signals;
	jobd_event_t *event;

	make_options(&d->settings, &opt);
	jobd_metrics_init();
	ffl_node_init(&d->node, &opt);
	ffl_ring_init(&d->events, JOBD_EVENTS_MAX);
	if (!jobd_web_start(d)) {
		fprintf(stderr,
			"cannot listen on %s (callers), %s (ready) or %s "
			"(metrics)\n",
			d->settings.callers_addr, d->settings.ready_addr,
			d->settings.metrics_addr);
		return EXIT_STARTUP;
	}
	d->client = jobd_client_start(d);
	if (!d->client)
		return EXIT_STARTUP;
	pthread_create(&signals, NULL, handle_signals, d);
	pthread_detach(signals);
	jobd_line("started", d->settings.name, FFL_VERSION);
	jobd_core_run(d);
	ffl_ring_close(&d->events);
	jobd_web_stop(d->web);
	jobd_client_stop(d->client);
	while ((event = ffl_ring_pop(&d->events, 0)))
		jobd_event_free(event);
	ffl_ring_finish(&d->events);
	ffl_node_finish(&d->node);
	return EXIT_OK;
}

static int serve(jobd_t *d)
{
	sigset_t set;
	int rc;

	block_signals(&set);
	mg_init_library(0);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	jobd_lines_start(d->settings.name, d->settings.lines_per_s);
	rc = run_daemon(d);
	jobd_lines_stop();
	curl_global_cleanup();
	mg_exit_library();
	return rc;
}

int main(int argc, char **argv)
{
	struct arg_file *config =
		arg_file1("c", "config", "FILE", "settings file");
	struct arg_lit *check =
		arg_lit0(NULL, "check", "check the settings and exit");
	struct arg_lit *help = arg_lit0("h", "help", "show this help");
	struct arg_lit *version = arg_lit0("V", "version", "show the version");
	struct arg_end *end = arg_end(8);
	void *table[] = { config, check, help, version, end };
	static jobd_t daemon;
	int errors = arg_parse(argc, argv, table);
	int rc = EXIT_OK;

	if (help->count) {
		printf("Usage: ffl-jobd");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-22s %s\n");
	} else if (version->count) {
		puts("ffl-jobd " FFL_VERSION);
	} else if (errors) {
		arg_print_errors(stderr, end, "ffl-jobd");
		rc = EXIT_USAGE;
	} else {
		daemon.settings_path = config->filename[0];
		if (jobd_settings_read(daemon.settings_path,
				       &daemon.settings) != FFL_OK)
			rc = EXIT_CONFIG;
		else if (!check->count)
			rc = serve(&daemon);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return rc;
}
