/**
 * @file daemon.h
 * @brief Threads of the daemon and the rings that join them.
 *
 * The core thread owns the host's decisions. It takes boxed events from one
 * ring and hands actions to the threads that carry them out.
 */
#ifndef FFLD_DAEMON_H
#define FFLD_DAEMON_H

#include <pthread.h>
#include <stdatomic.h>

#include "fireflyledge/box.h"
#include "fireflyledge/host.h"
#include "fireflyledge/port.h"
#include "fireflyledge/ring.h"
#include "fireflyledge/settings.h"

/** Capacity of the rings, in items. */
#define FFLD_EVENTS_MAX 8192
#define FFLD_CALLS_MAX	4096

typedef struct ffld_client ffld_client_t;
typedef struct ffld_peers ffld_peers_t;
typedef struct ffld_web ffld_web_t;

/** The daemon. */
typedef struct {
	ffl_settings_t settings;
	ffl_counters_t counters;
	ffl_host_t host;
	ffl_ring_t events; /**< of ffl_box_t, read by the core thread */
	ffld_client_t *client;
	ffld_peers_t *peers;
	ffld_web_t *web;
	_Atomic bool ready;
	_Atomic bool stopping; /**< a planned stop has begun */
	_Atomic bool exiting;
} ffld_t;

/** Hands an event to the core thread; frees it and returns false if full. */
bool ffld_post(ffld_t *d, ffl_box_t *box);
/** Hands an event that must not be lost to the core thread. */
void ffld_post_sure(ffld_t *d, ffl_box_t *box);

/** Returns monotonic time in milliseconds. */
uint64_t ffld_now_ms(void);

/** Runs the core until the host exits. */
void ffld_core_run(ffld_t *d);

/** Publishes what the request path reads of a configuration. */
void ffld_tokens_publish(const ffl_config_t *cfg);
/** Tells whether a token belongs to a customer, without a lock. */
bool ffld_tokens_knows(const char *token);
void ffld_tokens_finish(void);

/** HTTP client towards the platform. */
ffld_client_t *ffld_client_start(ffld_t *d);
void ffld_client_stop(ffld_client_t *c);
void ffld_client_log_read(void *d, const ffl_act_log_read_t *act);
void ffld_client_log_append(void *d, const ffl_act_log_append_t *act);
void ffld_client_hosts_read(void *d, const ffl_act_hosts_read_t *act);
void ffld_client_worker_send(void *d, const ffl_act_worker_send_t *act);

/** TCP to other entry hosts. */
ffld_peers_t *ffld_peers_start(ffld_t *d);
void ffld_peers_stop(ffld_peers_t *p);
void ffld_peers_send(void *d, const ffl_act_peer_send_t *act);

/** HTTP servers for callers and operators. */
ffld_web_t *ffld_web_start(ffld_t *d);
void ffld_web_stop(ffld_web_t *w);
void ffld_web_answer(void *d, const ffl_act_answer_t *act);
void ffld_web_forward(void *d, const ffl_act_forward_t *act);
void ffld_web_finish(void *d, uint64_t id);

/** JSON lines on standard error. */
int ffld_log_open(const char *host);
void ffld_log_close(void);
void ffld_log(ffl_level_t level, const char *event, const char *subject,
	      const char *text);

#endif
