/**
 * @file config_oracle.h
 * @brief What operators were told, and what must follow from it.
 */
#ifndef FFL_CONFIG_ORACLE_H
#define FFL_CONFIG_ORACLE_H

#include "fakes/world.h"

/** One confirmation that an operator sent. */
typedef struct {
	uint64_t id; /**< of the command */
	uint64_t plan;
	uint64_t revision;   /**< that the plan was shown at */
	uint64_t unreadable; /**< record that the operator accepted */
} sent_t;

/** A plan as an operator was shown it. */
typedef struct {
	uint64_t plan;
	uint64_t revision;
	uint32_t blast_radius;
} shown_t;

typedef struct {
	const char *fault;
	GArray *intents;     /**< of uint64_t: commands not yet answered */
	GArray *shown;	     /**< of shown_t */
	GArray *sent;	     /**< of sent_t */
	GArray *trail;	     /**< of shown_t: every change, by revision */
	GPtrArray *log;	     /**< of ffl_audit_t: the same, whole */
	GHashTable *hashes;  /**< state's hash by offset */
	uint64_t unreadable; /**< last record of a later version */
	uint64_t revision[WORLD_HOSTS_MAX];
	uint64_t life[WORLD_HOSTS_MAX];
	uint64_t offset[WORLD_HOSTS_MAX];
	uint64_t reads[WORLD_HOSTS_MAX]; /**< command that reads */
} oracle_t;

void oracle_init(oracle_t *o);
void oracle_finish(oracle_t *o);
void oracle_intent(oracle_t *o, world_t *w, uint32_t host, const char *body);
void oracle_confirm(oracle_t *o, world_t *w, uint32_t host, uint32_t pick,
		    bool repeat);
void oracle_read(oracle_t *o, world_t *w, uint32_t host);
/** Looks at every host after an operation. */
void oracle_watch(oracle_t *o, world_t *w);
/** Tells whether every host has read what is on the log now: a record that
 * has just landed takes a moment to be read. */
bool oracle_read_all(const world_t *w);
/** Looks at everything once the faults are over. */
void oracle_end(oracle_t *o, world_t *w);

#endif
