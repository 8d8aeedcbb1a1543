#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/random.h>
#include <argtable2.h>
#include <civetweb.h>
#include <curl/curl.h>
#include <sodium.h>

#include "daemon/daemon.h"

/** Exit codes. */
#define EXIT_OK	     0
#define EXIT_USAGE   2
#define EXIT_CONFIG  3
#define EXIT_STARTUP 4

/** Microseconds of a millisecond. */
#define US_PER_MS 1000

static int load_settings(const char *path, ffl_settings_t *out);
static void make_options(const ffl_settings_t *s, ffl_host_options_t *opt);
static void *wait_signals(void *arg);
static int run(ffld_t *d);
static int serve(ffld_t *d);

static int load_settings(const char *path, ffl_settings_t *out)
{
	ffl_findings_t fs;
	ffl_status_t status;
	GString *text = g_string_new(NULL);

	ffl_findings_init(&fs, path);
	status = ffl_settings_load(path, out, &fs);
	for (uint32_t i = 0; i < ffl_findings_count(&fs); i++) {
		ffl_finding_format(ffl_findings_at(&fs, i), text);
		g_string_append_c(text, '\n');
	}
	fputs(text->str, stderr);
	g_string_free(text, TRUE);
	ffl_findings_finish(&fs);
	return status == FFL_OK ? EXIT_OK : EXIT_CONFIG;
}

static void make_options(const ffl_settings_t *s, ffl_host_options_t *opt)
{
	memset(opt, 0, sizeof(*opt));
	opt->cluster = s->cluster;
	if (getrandom(&opt->seed, sizeof(opt->seed), 0) < 0 ||
	    getrandom(&opt->self.member, sizeof(opt->self.member), 0) < 0)
		opt->self.member = ffl_mix(ffld_now_ms(), s->cluster);
	opt->self.member >>= 1;
	ffl_copy(opt->self.name, sizeof(opt->self.name), s->name);
	ffl_copy(opt->self.dc, sizeof(opt->self.dc), s->data_centre);
	ffl_copy(opt->self.region, sizeof(opt->self.region), s->region);
	ffl_copy(opt->self.peer_addr, sizeof(opt->self.peer_addr), s->peers);
	opt->self.expiry_ms = s->expiry_ms;
	opt->wall_offset_ms =
		(uint64_t)(g_get_real_time() / US_PER_MS) - ffld_now_ms();
	opt->poll_hosts_ms = s->poll_hosts_ms;
	opt->times.heartbeat_ms = s->heartbeat_ms;
	opt->times.suspect_ms = s->suspect_ms;
	opt->times.renew_ms = s->renew_ms;
	opt->times.expiry_ms = s->expiry_ms;
	opt->times.lease_ms = s->lease_ms;
	opt->limits.queue_max = MIN(s->queue_max, s->threads - s->threads / 8);
	opt->limits.default_timeout_ms = s->timeout_ms;
	opt->limits.max_timeout_ms = s->max_timeout_ms;
	opt->limits.attempts_max = s->attempts_max;
	opt->limits.eject_failures = s->eject_failures;
	opt->limits.eject_ms = s->eject_ms;
	opt->stop_delay_ms = s->stop_delay_ms;
	opt->stop_drain_ms = s->stop_drain_ms;
	if (s->bootstrap_hash[0])
		sodium_hex2bin(opt->bootstrap_hash, FFL_HASH_BYTES,
			       s->bootstrap_hash, strlen(s->bootstrap_hash),
			       NULL, NULL, NULL);
}

static void *wait_signals(void *arg)
{
	ffld_t *d = arg;
	sigset_t set;
	int sig;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	while (!atomic_load(&d->exiting)) {
		if (sigwait(&set, &sig) != 0)
			continue;
		atomic_store(&d->stopping, true);
		ffld_post_sure(d, ffl_box_new(FFL_EV_STOP));
	}
	return NULL;
}

static int run(ffld_t *d)
{
	ffl_host_options_t opt;
	pthread_t signals;
	ffl_box_t *box;

	make_options(&d->settings, &opt);
	ffl_counters_init(&d->counters);
	ffl_host_init(&d->host, &opt, &d->counters);
	ffl_ring_init(&d->events, FFLD_EVENTS_MAX);
	d->peers = ffld_peers_start(d);
	if (!d->peers || !ffld_web_start(d)) {
		ffld_log(FFL_LEVEL_ERROR, "cannot-listen", d->settings.name,
			 "an address is in use or not of this host");
		return EXIT_STARTUP;
	}
	d->client = ffld_client_start(d);
	pthread_create(&signals, NULL, wait_signals, d);
	pthread_detach(signals);
	ffld_log(FFL_LEVEL_NOTE, "started", d->settings.name, FFL_VERSION);
	ffld_core_run(d);
	ffld_log(FFL_LEVEL_NOTE, "stopped", d->settings.name, "");
	ffl_ring_close(&d->events);
	ffld_web_stop(d->web);
	ffld_client_stop(d->client);
	ffld_peers_stop(d->peers);
	while ((box = ffl_ring_pop(&d->events, 0)))
		ffl_box_free(box);
	ffl_ring_finish(&d->events);
	ffld_tokens_finish();
	ffl_host_finish(&d->host);
	return EXIT_OK;
}

static int serve(ffld_t *d)
{
	sigset_t set;
	int rc;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	if (sodium_init() < 0 || ffld_log_open(d->settings.name) != 0)
		return EXIT_STARTUP;
	mg_init_library(0);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	rc = run(d);
	ffld_log_close();
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
	static ffld_t daemon;
	int errors;
	int rc;

	errors = arg_parse(argc, argv, table);
	rc = EXIT_OK;
	if (help->count) {
		printf("Usage: fireflyledged");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-22s %s\n");
	} else if (version->count) {
		puts("fireflyledged " FFL_VERSION);
	} else if (errors) {
		arg_print_errors(stderr, end, "fireflyledged");
		rc = EXIT_USAGE;
	} else {
		rc = load_settings(config->filename[0], &daemon.settings);
		if (rc == EXIT_OK && !check->count)
			rc = serve(&daemon);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return rc;
}
