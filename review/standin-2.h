/**
 * @file standin-2.h
 * @brief A small platform on loopback for the cases of the second review: the
 * store, the minions, a consumer and the operator, as PROTOCOL.md tells them.
 */
#ifndef STANDIN_2_H
#define STANDIN_2_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <pthread.h>

#define MINIONS_MAX 32
#define RUNS_MAX    4096
/** Channels that a minion takes at once. */
#define CHANNELS_MAX 64
#define HOSTS_MAX    4
#define TEXT_BYTES   64

/** A work item that a minion has begun. */
typedef struct {
	char task[TEXT_BYTES];
	uint32_t run;
	uint64_t began_ms;
	uint64_t work_ms;  /**< that it takes on this minion */
	uint64_t stop_ms;  /**< when its stop takes effect; 0: not stopped */
	uint32_t fails_ms; /**< after its start; 0: it does not fail */
} item_t;

/** An end that is not acknowledged yet. */
typedef struct {
	uint64_t number;
	char task[TEXT_BYTES];
	uint32_t run;
	const char *how;
} end_t;

/** One minion; it has an address of its own. */
typedef struct {
	char id[TEXT_BYTES];
	char kind[TEXT_BYTES];
	char rack[TEXT_BYTES];
	int port;
	uint32_t cpu;
	uint32_t mem_mb;
	uint32_t gpu;
	uint64_t born_ms;
	uint64_t clock_base_ms; /**< steady time at which its clock began */
	uint64_t sequence;
	uint64_t beat_ms; /**< when its entry is written next */
	bool listed;
	bool draining;
	bool gone;		/**< it has left, and answers nothing */
	uint64_t busy_until_ms; /**< it answers orders with 503 until then */
	char zone[TEXT_BYTES];	/**< "": north */
	const char *service;	/**< NULL: pool */
	uint64_t cut_until_ms;	/**< nothing passes to or from it until then */
	uint64_t late_ms;	/**< when late_order is carried out; 0: none */
	void *late_order;	/**< json_t: a start that gets no answer */
	uint64_t token;
	uint64_t lease_until_ms; /**< on its clock */
	uint64_t last_end;
	item_t items[RUNS_MAX];
	uint32_t item_count;
	end_t ends[RUNS_MAX * 2];
	uint32_t end_count;
	struct {
		char task[TEXT_BYTES];
		uint32_t run;
	} over[RUNS_MAX * 2]; /**< highest run that was stopped or ended */
	uint32_t over_count;
} minion_t;

/** What the consumer asked for; minions take the work from here. */
typedef struct {
	char id[17];
	char data_rack[TEXT_BYTES];
	uint64_t work_ms;
	uint32_t cpu;
	uint32_t mem_mb;
	uint32_t gpu;
	uint64_t accepted_ms; /**< steady time of the 2xx; 0: none yet */
	uint64_t first_start_ms;
	uint64_t idle_since_ms; /**< nothing of it runs since then; 0: runs */
	uint64_t longest_idle_ms;
	uint32_t starts;
	uint32_t stops; /**< runs that ended on a stop order */
	bool done;
	bool lasts; /**< its work item runs until it is cancelled */
	/** How long after its start a run ends `failed`, in the order of the
	 * starts; 0: it does not. */
	uint32_t fails_after_ms[4];
} job_t;

/** All of the stand-in; one lock. */
typedef struct {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	int store_port;
	minion_t minions[MINIONS_MAX];
	uint32_t minion_count;
	job_t jobs[64];
	uint32_t job_count;
	struct {
		int callers;
		int ready;
		int metrics;
	} hosts[HOSTS_MAX];
	uint32_t host_count;
	uint32_t attempts_max; /**< of the queue; 0: 4 */
	const char *service;   /**< of the queue; NULL: pool */
	uint32_t cpu;	       /**< of a work item; 0: 1000 */
	bool brief;	       /**< no line for each run */
	/** Called for a start, under the lock; with true it isn't carried out
	 * now, and gets no answer. */
	bool (*on_start)(minion_t *m, const char *task);
	uint32_t beside;     /**< starts beside a run of the same work item */
	uint32_t after_done; /**< starts after an end that was taken note of */
	const char *dir;
	FILE *record;
	uint64_t began_ms;
} stand_t;

extern stand_t stand;

uint64_t steady_ms(void);
void sleep_ms(uint32_t ms);
/** Writes a line with the time since the start to record.txt. */
void note(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/** Adds a minion; call before stand_start(). */
minion_t *add_minion(const char *kind, const char *rack, uint32_t gpu);
/** Binds all ports, and writes the settings of @p hosts hosts. */
bool stand_start(const char *dir, uint32_t hosts);
/** Waits until all hosts answer that they are ready. */
bool wait_ready(uint32_t wait_ms);
/** Writes a config with one queue: /work/ of host pool.example, key k1. */
void put_config(uint32_t version, uint32_t priority);
/** Sends a request to a host; returns the status, 0 if no answer came. */
int call(uint32_t host, const char *method, const char *path, const char *body,
	 char *answer, size_t answer_bytes);
/** Hands a job of one step in; returns its entry. @p more is put into the
 * step. */
job_t *submit(uint32_t host, const char *id, uint32_t count, uint32_t gpu,
	      uint64_t work_ms, const char *data_rack, const char *more);
/** The same, of a job whose runs fail as @p fails_after_ms says. */
job_t *submit_failing(uint32_t host, const char *id, const char *more,
		      const uint32_t fails_after_ms[4]);
/** Seconds since the start. */
double at_s(void);
/** Opens the record, starts the stand-in with @p hosts hosts and waits until
 * they are ready under a first config; ends the program with 2 if it cannot. */
void begin_case(char **argv, uint32_t hosts);
/** The minion starts again under its id, and knows nothing of before; under
 * the lock. */
void restart_minion(minion_t *m);
/** Returns the GPUs that are in use, in percent of all. */
uint32_t gpus_used_percent(void);

#endif
