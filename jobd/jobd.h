/**
 * @file jobd.h
 * @brief Threads of the daemon on the target platform and what joins them.
 *
 * The core thread owns the host's decisions. Callers' threads, the client
 * and the writer of the log exchange boxes with it over bounded rings.
 */
#ifndef FFL_JOBD_H
#define FFL_JOBD_H

#include <pthread.h>
#include <stdatomic.h>

#include "fireflyledge/ring.h"
#include "fireflyledge/settings.h"
#include "platform/platform.h"

/** Capacity of the rings, in items. */
#define JOBD_EVENTS_MAX 4096
#define JOBD_CALLS_MAX	4096
#define JOBD_LINES_MAX	2048

/** Settings of the daemon. */
typedef struct {
	ffl_name_t name;
	ffl_name_t data_centre;
	ffl_name_t region;
	char callers[FFL_ADDR_BYTES];
	char ready[FFL_ADDR_BYTES];
	char metrics[FFL_ADDR_BYTES];
	uint32_t threads;
	uint32_t body_bytes;
	char log_addr[FFL_ADDR_BYTES];
	char adviser_addr[FFL_ADDR_BYTES];
	uint32_t lines_per_s;
	uint32_t lease_max_ms;
	uint32_t stop_max_ms;
	uint32_t gang_wait_ms;
	uint32_t reclaim_ms;
	uint32_t early_ms;
	uint32_t heartbeat_ms;
	uint32_t far_second_ms;
	uint32_t config_apply_ms;
	uint32_t config_skew_ms;
	uint32_t keep_ended_ms;
	uint32_t grace_ms;
	uint32_t processor_milli; /**< of one core */
	uint32_t cores;
} jobd_settings_t;

/** An event with the memory that it points to. */
typedef struct {
	ffl_node_event_t ev;
	ffl_arena_t arena;
	GByteArray *body;
	uint64_t posted_ms;
} jobd_box_t;

typedef struct jobd_client jobd_client_t;
typedef struct jobd_web jobd_web_t;

/** The daemon. */
typedef struct {
	jobd_settings_t settings;
	const char *settings_path;
	ffl_node_t node;
	ffl_ring_t events; /**< of jobd_box_t, read by the core thread */
	jobd_client_t *client;
	jobd_web_t *web;
	_Atomic bool ready;
	_Atomic bool exiting;
} jobd_t;

/* settings.c */
extern const ffl_setting_table_t jobd_setting_table;
ffl_status_t jobd_settings_read(const char *path, jobd_settings_t *out);

/* core.c */
void jobd_core_run(jobd_t *d);
/** Monotonic milliseconds, counting time for which the host was suspended. */
uint64_t jobd_now_ms(void);
jobd_box_t *jobd_box_new(ffl_node_event_kind_t kind);
void jobd_box_free(jobd_box_t *box);
/** Hands an event to the core; frees it and returns false where full. */
bool jobd_post(jobd_t *d, jobd_box_t *box);
/** Hands over an event that must not be lost. */
void jobd_post_sure(jobd_t *d, jobd_box_t *box);

/* client.c */
jobd_client_t *jobd_client_start(jobd_t *d);
void jobd_client_stop(jobd_client_t *c);
void jobd_client_store(jobd_t *d, const ffl_node_act_t *act);
void jobd_client_order(jobd_t *d, const ffl_node_act_t *act);

/* load.c */

/** A thread whose work is measured. */
typedef enum {
	JOBD_DUTY_CORE,
	JOBD_DUTY_CLIENT,
	JOBD_DUTY__MAX
} jobd_duty_t;

/** Monotonic microseconds. */
uint64_t jobd_now_us(void);
/** Counts the time since then as work of a duty. */
void jobd_load_busy(jobd_duty_t duty, uint64_t since_us);
/** Counts a call that has ended; called by the client's thread. */
void jobd_load_call(bool connected, size_t sent_bytes, size_t received_bytes);
/** Counts an event that the core takes now. */
void jobd_load_event(uint64_t posted_ms);
/** Counts a look at what is due; writes a line a second on a busy host. */
void jobd_load_drive(const ffl_node_t *n);

/* hist.c */

/** What a latency is of. */
typedef enum {
	JOBD_HIST_ACCEPT,
	JOBD_HIST_QUEUE_FIRST,
	JOBD_HIST_QUEUE_SECOND,
	JOBD_HIST_QUEUE_OTHER,
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
void jobd_hist_add(jobd_hist_t what, uint64_t ms);
/** Writes all histograms in the usual text format. */
void jobd_hist_format(GString *out);

/* metrics.c */
void jobd_metrics_init(void);
/** Counts an event that was logged, whether its line was written or not. */
void jobd_metrics_count(const char *event);
/** Takes the host's state, after each look at what is due. */
void jobd_metrics_take(const ffl_node_t *n);
/** Writes all metrics in the usual text format. */
void jobd_metrics_format(GString *out);

/* web.c */
jobd_web_t *jobd_web_start(jobd_t *d);
void jobd_web_stop(jobd_web_t *w);
void jobd_web_answer(jobd_t *d, const ffl_node_act_t *act);

/* lines.c */
void jobd_lines_start(const char *host, uint32_t per_s);
void jobd_lines_stop(void);
/** Writes a line; drops and counts it where the budget is spent. */
void jobd_line(const char *event, const char *subject, const char *text);

#endif
