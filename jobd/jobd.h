/**
 * @file jobd.h
 * @brief Modules of ffl-jobd, the daemon that runs an entry host on the
 * platform.
 *
 * The core thread owns the ffl_node_t and makes all decisions. The HTTP
 * server's threads and the client thread post events to it through a bounded
 * ring; it passes calls to the client thread and log lines to the writer
 * thread through two more.
 */
#ifndef FFL_JOBD_H
#define FFL_JOBD_H

#include <pthread.h>
#include <stdatomic.h>

#include "fireflyledge/ring.h"
#include "fireflyledge/settings.h"
#include "platform/platform.h"

/** Capacities of the rings: events, calls to be made, log lines. */
#define JOBD_EVENTS_MAX 4096
#define JOBD_CALLS_MAX	4096
#define JOBD_LINES_MAX	2048

/** Settings of the daemon; the table in settings.c describes each. */
typedef struct {
	ffl_name_t name;
	ffl_name_t data_centre;
	ffl_name_t region;
	char callers_addr[FFL_ADDR_BYTES];
	char ready_addr[FFL_ADDR_BYTES];
	char metrics_addr[FFL_ADDR_BYTES];
	uint32_t threads; /**< callers' requests served concurrently */
	uint32_t body_bytes;
	char log_addr[FFL_ADDR_BYTES];
	uint32_t record_bytes;
	uint32_t append_bytes;
	uint32_t partitions;
	char adviser_addr[FFL_ADDR_BYTES]; /**< "": there is no adviser */
	uint32_t lines_per_s;
	uint32_t lease_max_ms;
	uint32_t order_late_max_ms;
	uint32_t stop_max_ms;
	uint32_t gang_wait_ms;
	uint32_t reclaim_ms;
	uint32_t early_start_ms;
	uint32_t heartbeat_ms;
	uint32_t cross_rack_second_ms;
	uint32_t config_apply_ms;
	uint32_t config_skew_ms;
	uint32_t evacuate_ms;
	uint32_t keep_ended_ms;
	uint32_t grace_ms;
	uint32_t processor_milli; /**< thousandths of each core */
	uint32_t cores;
	uint32_t link_kbit; /**< kbit/s */
} jobd_settings_t;

/** An event for the core, with the memory that it points to. */
typedef struct {
	ffl_node_event_t ev;
	ffl_arena_t arena;
	GByteArray *body;   /**< reference to a response body, or NULL */
	uint64_t posted_ms; /**< jobd_boottime_ms() at its creation */
} jobd_event_t;

typedef struct jobd_client jobd_client_t;
typedef struct jobd_web jobd_web_t;

/** The daemon. */
typedef struct {
	jobd_settings_t settings;
	const char *settings_path;
	ffl_node_t node;   /**< used by the core thread only */
	ffl_ring_t events; /**< of jobd_event_t, read by the core thread */
	jobd_client_t *client;
	jobd_web_t *web;
	_Atomic bool ready; /**< reported to readiness probes */
	_Atomic bool exiting;
} jobd_t;

/* settings.c */
extern const ffl_setting_table_t jobd_setting_table;
/**
 * Reads the settings file and writes every finding to standard error.
 *
 * @return FFL_OK, FFL_SYSTEM if the file cannot be read, or FFL_INVALID
 */
ffl_status_t jobd_settings_read(const char *path, jobd_settings_t *out);

/* core.c */

/** Runs the core thread's loop until the node asks to exit. */
void jobd_core_run(jobd_t *d);
/** Monotonic milliseconds, including time that the host was suspended. */
uint64_t jobd_boottime_ms(void);
jobd_event_t *jobd_event_new(ffl_node_event_kind_t kind);
void jobd_event_free(jobd_event_t *event);
/** Posts an event; frees it and returns false if the ring is full. */
bool jobd_event_post(jobd_t *d, jobd_event_t *event);
/** Posts an event, blocking while the ring is full; frees it on exit. */
void jobd_event_post_wait(jobd_t *d, jobd_event_t *event);

/* client.c */

/** Starts the client thread; returns NULL if it cannot watch sockets. */
jobd_client_t *jobd_client_start(jobd_t *d);
/** Stops the thread and aborts the calls in progress. */
void jobd_client_stop(jobd_client_t *c);
/** Queues a call to the log; its result is posted as an event. */
void jobd_client_send_store(jobd_t *d, const ffl_node_act_t *act);
/** Queues a call to a worker or the adviser; its result is posted as an
 * event. */
void jobd_client_send_order(jobd_t *d, const ffl_node_act_t *act);

/* load.c */

/** A thread whose busy time is measured. */
typedef enum {
	JOBD_THREAD_CORE,
	JOBD_THREAD_CLIENT,
	JOBD_THREAD__MAX
} jobd_thread_t;

/** Monotonic microseconds, excluding time that the host was suspended. */
uint64_t jobd_monotonic_us(void);
/** Adds the time since @p since_us to the busy time of a thread. */
void jobd_load_add_busy(jobd_thread_t thread, uint64_t since_us);
/**
 * Counts an HTTP call that has ended; called by the client thread.
 *
 * @param connected true if the call opened a new connection
 */
void jobd_load_count_call(bool connected, size_t sent_bytes,
			  size_t received_bytes);
/** Counts an event that the core starts to process. */
void jobd_load_count_event(uint64_t posted_ms);
/** Counts a run of ffl_node_drive(); once a second logs the load of a host that
 * leads or is late. */
void jobd_load_count_drive(const ffl_node_t *n);

/* hist.c */

/** Latency histograms, in milliseconds. */
typedef enum {
	JOBD_HIST_ACCEPT,
	JOBD_HIST_QUEUE_FIRST,	/**< priority 0 */
	JOBD_HIST_QUEUE_SECOND, /**< priority 1 */
	JOBD_HIST_QUEUE_OTHER,	/**< all other priorities */
	JOBD_HIST_RUNNING,
	JOBD_HIST_TAKEOVER,
	JOBD_HIST_READ,
	JOBD_HIST_NEWEST,
	JOBD_HIST_APPEND,
	JOBD_HIST_HOLD,
	JOBD_HIST_START,
	JOBD_HIST_STOP,
	JOBD_HIST_PACE,
	JOBD_HIST_ADVISE,
	JOBD_HIST__MAX
} jobd_hist_t;

void jobd_hist_init(void);
/** Adds a latency to a histogram; any thread may call it. */
void jobd_hist_add(jobd_hist_t hist, uint64_t ms);
/** Appends all histograms in the Prometheus text format. */
void jobd_hist_format(GString *out);

/* metrics.c */

/** Prepares the metrics and the histograms. */
void jobd_metrics_init(void);
/** Counts a logged event, even if its line was dropped; any thread may call
 * it. */
void jobd_metrics_count_event(const char *event);
/** Updates the gauges from the node; called by the core thread. */
void jobd_metrics_update(const ffl_node_t *n);
/** Appends all metrics in the Prometheus text format. */
void jobd_metrics_format(GString *out);

/* web.c */

/** Starts the HTTP servers; returns NULL if an address cannot be bound. */
jobd_web_t *jobd_web_start(jobd_t *d);
/** Wakes the requests that wait for a response and stops the servers. */
void jobd_web_stop(jobd_web_t *w);
/** Passes the core's response to the thread that serves the request. */
void jobd_web_respond(jobd_t *d, const ffl_node_act_t *act);

/** Passes an explanation to the thread that serves the question. */
void jobd_web_explain(jobd_t *d, const ffl_node_act_t *act);

/* explain.c */

/**
 * Writes an explanation as JSON.
 *
 * @param host name of this host
 * @return text to be freed with free()
 */
char *jobd_explanation_format(const char *host,
			      const ffl_request_explanation_t *e);

/* lines.c */

/**
 * Starts the thread that writes log lines to standard output.
 *
 * @param host name of this host, part of every line
 * @param per_s lines that are written per second at most
 */
void jobd_lines_start(const char *host, uint32_t per_s);
/** Writes the queued lines and stops the thread. */
void jobd_lines_stop(void);
/** Queues a log line; drops and counts it if the rate limit is exceeded or the
 * ring is full. Any thread may call it. */
void jobd_line(const char *event, const char *subject, const char *text);

#endif
