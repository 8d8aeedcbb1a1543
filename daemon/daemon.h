/**
 * @file daemon.h
 * @brief Threads of fireflyledged and the rings between them.
 *
 * The core thread owns the state of this entry host and makes every decision.
 * It reads events from one ring and hands the resulting actions to the threads
 * that perform them: platform client, peer connections and HTTP servers.
 */
#ifndef FFLD_DAEMON_H
#define FFLD_DAEMON_H

#include <pthread.h>
#include <stdio.h>
#include <stdatomic.h>

#include "fireflyledge/box.h"
#include "fireflyledge/host.h"
#include "fireflyledge/port.h"
#include "fireflyledge/ring.h"
#include "fireflyledge/settings.h"

/** Capacity of the event ring, in events. */
#define FFLD_EVENTS_MAX 8192
/** Capacity of the rings of platform calls and of peer frames, in items. */
#define FFLD_CALLS_MAX 4096

typedef struct ffld_client ffld_client_t;
typedef struct ffld_peers ffld_peers_t;
typedef struct ffld_web ffld_web_t;

/** State of the process, shared by its threads. */
typedef struct {
	ffl_settings_t settings;
	const char *settings_path;
	ffl_counters_t counters;
	ffl_host_t host;   /**< of the core thread, once that runs */
	ffl_ring_t events; /**< of ffl_box_t, read by the core thread */
	ffld_client_t *client;
	ffld_peers_t *peers;
	ffld_web_t *web;
	_Atomic bool ready; /**< the core accepts requests */
	/** relayed requests whose body is being read or whose event the core
	 * has not processed */
	_Atomic uint32_t requests_unprocessed;
	_Atomic bool stopping; /**< a planned stop has begun */
	_Atomic bool exiting;  /**< the core thread is to return */
} ffld_t;

/**
 * Posts an event to the core thread, which then owns it.
 *
 * @return false if the ring is full; the event is then counted and freed
 */
bool ffld_post_event(ffld_t *d, ffl_box_t *box);
/** Posts an event that must not be lost; blocks while the ring is full. Frees
 * the event instead if the daemon is exiting. */
void ffld_post_event_wait(ffld_t *d, ffl_box_t *box);

/** Returns the monotonic time in milliseconds. */
uint64_t ffld_now_ms(void);

/**
 * Reads a settings file.
 *
 * @param findings receives one line for each error found
 * @return FFL_OK if the settings are valid
 */
ffl_status_t ffld_settings_read(const char *path, ffl_settings_t *out,
				GString *findings);
/** Rereads the settings file and applies the settings that can change at run
 * time; logs the others that changed. A file with errors changes nothing. */
void ffld_reload(ffld_t *d);
/** Returns the limit of the request queue. It is at most 7/8 of the server
 * threads, so that threads remain to send refusals. */
uint32_t ffld_queue_max(const ffl_settings_t *s);
/** Prints every setting with type, unit, range, default and description. */
void ffld_settings_help(FILE *out);
/** Prints every setting as an mdoc(7) list for the manual page. */
void ffld_settings_mdoc(FILE *out);

/** Runs the core thread's loop until the host exits. */
void ffld_core_run(ffld_t *d);

/** Publishes the customers' token hashes of a configuration to the request
 * path, if its revision differs from the published one. Called by the core
 * thread only.
 *
 * @param key secret of this process that seeds the lookup hash
 */
void ffld_tokens_publish(const ffl_config_t *cfg, uint64_t key);
/** Returns true if a token belongs to a customer; takes no lock. */
bool ffld_tokens_contains(const char *token);
/** Frees the published token set. */
void ffld_tokens_finish(void);

/** Starts the thread of the HTTP client of the platform. */
ffld_client_t *ffld_client_start(ffld_t *d);
/** Stops that thread and drops the calls that have not ended. */
void ffld_client_stop(ffld_client_t *c);
/** Platform actions of ffl_port_t; @p d is the ffld_t. The result of each
 * comes back as an event; a host list read that fails posts none. */
void ffld_client_log_read(void *d, const ffl_act_log_read_t *act);
void ffld_client_log_append(void *d, const ffl_act_log_append_t *act);
void ffld_client_hosts_read(void *d, const ffl_act_hosts_read_t *act);
void ffld_client_worker_send(void *d, const ffl_act_worker_send_t *act);

/** Starts the thread of the TCP connections to other entry hosts; returns NULL
 * if the peer address cannot be listened on. */
ffld_peers_t *ffld_peers_start(ffld_t *d);
void ffld_peers_stop(ffld_peers_t *p);
/** Queues a frame for another host; it may be lost without an event. */
void ffld_peers_send(void *d, const ffl_act_peer_send_t *act);

/** Starts the HTTP servers for callers and operators; returns NULL if one of
 * their addresses cannot be listened on. */
ffld_web_t *ffld_web_start(ffld_t *d);
/** Ends open calls, then stops both servers. */
void ffld_web_stop(ffld_web_t *w);
/** Caller actions of ffl_port_t; @p d is the ffld_t. Each wakes the server
 * thread of that request, if it still waits. */
void ffld_web_answer(void *d, const ffl_act_answer_t *act);
void ffld_web_forward(void *d, const ffl_act_forward_t *act);
void ffld_web_finish(void *d, uint64_t id);

/**
 * Opens the log: JSON lines on standard error.
 *
 * @param host name of this host, repeated on each line
 * @return 0, or -1 if the log library does not start
 */
int ffld_log_open(const char *host);
void ffld_log_close(void);
/** Writes one log line. */
void ffld_log(ffl_level_t level, const char *event, const char *subject,
	      const char *text);

#endif
