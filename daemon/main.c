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

#define US_PER_MS 1000
/** Size of the text that names the three listening addresses. */
#define LISTEN_TEXT_BYTES (3 * FFL_ADDR_BYTES + 128)

static int load_settings(const char *path, ffl_settings_t *out);
static void make_host_options(const ffl_settings_t *s, ffl_host_options_t *opt);
static void *signal_thread(void *arg);
static int run_host(ffld_t *d);
static int run_with_libraries(ffld_t *d);

static void make_host_options(const ffl_settings_t *s, ffl_host_options_t *opt)
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
	opt->limits.queue_max = ffld_queue_max(s);
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

static void *signal_thread(void *arg)
{
	ffld_t *d = arg;
	sigset_t set;
	int sig;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	while (!atomic_load(&d->exiting)) {
		if (sigwait(&set, &sig) != 0)
			continue;
		if (sig == SIGHUP) {
			ffld_reload(d);
			continue;
		}
		atomic_store(&d->stopping, true);
		ffld_post_event_wait(d, ffl_box_new(FFL_EV_STOP));
	}
	return NULL;
}

static int load_settings(const char *path, ffl_settings_t *out)
{
	GString *findings = g_string_new(NULL);
	ffl_status_t status = ffld_settings_read(path, out, findings);

	fputs(findings->str, stderr);
	g_string_free(findings, TRUE);
	return status == FFL_OK ? EXIT_OK : EXIT_CONFIG;
}

static int run_host(ffld_t *d)
{
	const ffl_settings_t *s = &d->settings;
	char text[LISTEN_TEXT_BYTES];
	ffl_host_options_t opt;
	pthread_t signals;
	ffl_box_t *box;

	make_host_options(&d->settings, &opt);
	ffl_counters_init(&d->counters);
	ffl_host_init(&d->host, &opt, &d->counters);
	ffl_ring_init(&d->events, FFLD_EVENTS_MAX);
	d->peers = ffld_peers_start(d);
	if (!d->peers || !ffld_web_start(d)) {
		g_snprintf(text, sizeof(text),
			   "peers %s, callers %s or operators %s is in use or "
			   "not an address of this host",
			   s->peers, s->callers, s->operators);
		ffld_log(FFL_LEVEL_ERROR, "cannot-listen", s->name, text);
		return EXIT_STARTUP;
	}
	d->client = ffld_client_start(d);
	pthread_create(&signals, NULL, signal_thread, d);
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

static int run_with_libraries(ffld_t *d)
{
	sigset_t set;
	int rc;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	if (sodium_init() < 0 || ffld_log_open(d->settings.name) != 0)
		return EXIT_STARTUP;
	mg_init_library(0);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	rc = run_host(d);
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
	struct arg_lit *keys =
		arg_lit0(NULL, "help-settings", "list every setting");
	struct arg_lit *mdoc = arg_lit0(NULL, "mdoc-settings",
					"list them for the manual page");
	struct arg_lit *help = arg_lit0("h", "help", "show this help");
	struct arg_lit *version = arg_lit0("V", "version", "show the version");
	struct arg_end *end = arg_end(8);
	void *table[] = { config, check, keys, mdoc, help, version, end };
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
	} else if (keys->count) {
		ffld_settings_help(stdout);
	} else if (mdoc->count) {
		ffld_settings_mdoc(stdout);
	} else if (errors) {
		arg_print_errors(stderr, end, "fireflyledged");
		rc = EXIT_USAGE;
	} else {
		daemon.settings_path = config->filename[0];
		rc = load_settings(daemon.settings_path, &daemon.settings);
		if (rc == EXIT_OK && !check->count)
			rc = run_with_libraries(&daemon);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return rc;
}
