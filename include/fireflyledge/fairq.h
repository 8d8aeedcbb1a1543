/**
 * @file fairq.h
 * @brief Fair queue by urgency class, customer and caller, on cost.
 *
 * Start-time fair queueing on three levels: each node has a start tag in
 * the virtual time of its parent, and the least tag is served next. A
 * node's tag advances by cost divided by weight, so that a caller of
 * expensive requests delays itself. The weights of the classes are their
 * floors: what a class leaves unused goes to the others.
 */
#ifndef FFL_FAIRQ_H
#define FFL_FAIRQ_H

#include <glib.h>

#include "fireflyledge/types.h"

/** An element of a heap, inside its owner. */
typedef struct {
	uint64_t key;
	uint64_t order;
	uint32_t position; /**< 1 up; 0 outside a heap */
	void *owner;
} ffl_heap_item_t;

/** A heap of elements that their owners hold. */
typedef struct {
	GPtrArray *items;
} ffl_heap_t;

/** A class, customer or caller. */
typedef struct ffl_fq_node {
	ffl_heap_item_t item; /**< key: start tag in the parent's time */
	struct ffl_fq_node *parent;
	ffl_heap_t active;	/**< children that have work */
	GQueue waiting;		/**< of ffl_fq_item_t, of a caller */
	uint64_t vtime;		/**< virtual time of the children */
	uint64_t active_weight; /**< sum over active children */
	uint64_t queued_cost_ms;
	uint32_t weight;
	uint32_t queued;
	uint32_t running;
	uint32_t running_max; /**< 0: unbounded */
	/** A customer's nodes in all classes, which share running. */
	struct ffl_fq_node *class_nodes[FFL_URGENCY__MAX];
	ffl_urgency_t urgency;
	ffl_name_t customer;
	ffl_name_t caller;
} ffl_fq_node_t;

/** A queued request's place, inside the request. */
typedef struct {
	GList link; /**< data: the owner */
	ffl_fq_node_t *caller;
	uint32_t cost_ms;
	bool queued;
} ffl_fq_item_t;

/** Bounds of a queue. */
typedef struct {
	uint32_t total;
	uint32_t per_class;
	uint32_t per_customer; /**< within a class */
	uint32_t per_caller;   /**< within a class */
	uint32_t callers;      /**< nodes kept */
} ffl_fq_bounds_t;

typedef struct {
	ffl_fq_bounds_t bounds;
	ffl_fq_node_t root;
	ffl_fq_node_t classes[FFL_URGENCY__MAX];
	uint32_t class_weight; /**< sum over the classes */
	GHashTable *customers; /**< ffl_fq_node_t by class and name */
	GHashTable *callers;   /**< ffl_fq_node_t by class and names */
	uint64_t order;
} ffl_fairq_t;

void ffl_fairq_init(ffl_fairq_t *q, uint32_t queue_max);
void ffl_fairq_finish(ffl_fairq_t *q);

/**
 * Returns the caller's node, made where missing; NULL where full.
 *
 * @param slots services that may run at the same time; where there are
 *        other callers, one caller takes a part of them at most; 0: all
 */
ffl_fq_node_t *ffl_fairq_get_caller(ffl_fairq_t *q, ffl_urgency_t urgency,
				    const char *customer, uint32_t weight,
				    uint32_t running_max, const char *caller,
				    uint32_t slots);
/** Tells whether the bounds leave room for one more of this caller. */
bool ffl_fairq_has_room(const ffl_fairq_t *q, const ffl_fq_node_t *caller);
/** Queues; @p again puts a retried request before its caller's others. */
void ffl_fairq_push(ffl_fairq_t *q, ffl_fq_item_t *item, void *owner,
		    bool again);
/**
 * Returns the owner of the request to serve next, or NULL. A class that is
 * above its floor leaves some slots free, so that one below its floor does
 * not wait for the end of another's service.
 *
 * @param slots services that may run at the same time
 */
void *ffl_fairq_peek(const ffl_fairq_t *q, uint32_t slots);
/** Takes a request to be served and charges its cost. */
void ffl_fairq_start_service(ffl_fairq_t *q, ffl_fq_item_t *item);
/** Takes a request out that is not served. */
void ffl_fairq_remove(ffl_fairq_t *q, ffl_fq_item_t *item);
/** Ends a service: corrects the charge to what it did cost. */
void ffl_fairq_end_service(ffl_fairq_t *q, ffl_fq_item_t *item,
			   uint32_t spent_ms);
/**
 * Predicts how long a new request of the caller would wait.
 *
 * @param slots services at the same time
 */
uint64_t ffl_fairq_wait_ms(const ffl_fairq_t *q, const ffl_fq_node_t *caller,
			   uint32_t slots);

#endif
