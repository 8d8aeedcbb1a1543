/**
 * @file fairq.h
 * @brief Fair queue by urgency class, customer and caller, weighted by cost.
 *
 * Start-time fair queueing on three levels: each node has a start tag in
 * the virtual time of its parent, and the node with the least tag is served
 * next. A node's tag advances by cost divided by weight, so that a caller of
 * expensive requests delays only its own requests. The weight of a class is
 * its guaranteed share: what the class leaves unused goes to the others.
 */
#ifndef FFL_FAIRQ_H
#define FFL_FAIRQ_H

#include <glib.h>

#include "fireflyledge/types.h"

/** A heap element, embedded in the object that it stands for. */
typedef struct {
	uint64_t key;
	uint64_t order;	   /**< breaks ties: less comes first */
	uint32_t position; /**< index in the heap + 1; 0: not in a heap */
	void *owner;	   /**< object that embeds the element */
} ffl_heap_item_t;

/** An intrusive binary heap: the least key is on top. */
typedef struct {
	GPtrArray *items; /**< of ffl_heap_item_t */
} ffl_heap_t;

/** A node of the queue: the root, a class, a customer or a caller. */
typedef struct ffl_fq_node {
	ffl_heap_item_t item; /**< key: start tag in the parent's vtime */
	struct ffl_fq_node *parent;
	ffl_heap_t active;	 /**< children that may be served */
	GQueue waiting;		 /**< of a caller: queued ffl_fq_item_t */
	uint64_t vtime;		 /**< virtual time that the children share */
	uint64_t active_weight;	 /**< sum over active children */
	uint64_t queued_cost_ms; /**< expected cost of all queued requests */
	uint32_t weight;
	uint32_t queued;      /**< requests */
	uint32_t running;     /**< services; of a customer, in all classes */
	uint32_t running_max; /**< 0: unbounded */
	/** A customer's nodes in all classes: their running counts agree. */
	struct ffl_fq_node *class_nodes[FFL_URGENCY__MAX];
	ffl_urgency_t urgency;
	ffl_name_t customer;
	ffl_name_t caller;
} ffl_fq_node_t;

/** A queue element, embedded in the request. */
typedef struct {
	GList link; /**< in ffl_fq_node_t.waiting; data: the request */
	ffl_fq_node_t *caller;
	uint32_t cost_ms; /**< expected slot time */
	bool queued;
} ffl_fq_item_t;

/** Most requests in a queue. */
typedef struct {
	uint32_t total;
	uint32_t per_class;
	uint32_t per_customer; /**< within a class */
	uint32_t per_caller;   /**< within a class */
	uint32_t callers;      /**< callers that are tracked */
} ffl_fq_bounds_t;

typedef struct {
	ffl_fq_bounds_t bounds;
	ffl_fq_node_t root;
	ffl_fq_node_t classes[FFL_URGENCY__MAX];
	uint32_t class_weight; /**< sum over the classes */
	GHashTable *customers; /**< ffl_fq_node_t by class and name */
	GHashTable *callers;   /**< ffl_fq_node_t by class and names */
	uint64_t order;	       /**< of the latest node; breaks ties */
} ffl_fairq_t;

void ffl_fairq_init(ffl_fairq_t *q, uint32_t queue_max);
void ffl_fairq_finish(ffl_fairq_t *q);

/**
 * Returns the node of a caller, which is created if it does not exist.
 *
 * @param running_max services of the customer at the same time; 0: unbounded
 * @param slots       services that may run at the same time; if there are
 *                    other callers, a caller gets only a part of them; 0: the
 *                    caller is not limited
 * @return NULL if too many callers are tracked already
 */
ffl_fq_node_t *ffl_fairq_get_caller(ffl_fairq_t *q, ffl_urgency_t urgency,
				    const char *customer, uint32_t weight,
				    uint32_t running_max, const char *caller,
				    uint32_t slots);
/** Returns true if the bounds allow one more request of the caller. */
bool ffl_fairq_has_room(const ffl_fairq_t *q, const ffl_fq_node_t *caller);
/**
 * Queues a request.
 *
 * @param retry true puts it before the other requests of its caller
 */
void ffl_fairq_push(ffl_fairq_t *q, ffl_fq_item_t *item, void *owner,
		    bool retry);
/**
 * Returns the owner of the request to serve next, or NULL. A class above its
 * guaranteed share leaves some slots free, so that a class below its share
 * need not wait until a service of another class ends.
 *
 * @param slots services that may run at the same time
 */
void *ffl_fairq_peek(const ffl_fairq_t *q, uint32_t slots);
/** Removes a request from the queue to serve it; charges its expected cost. */
void ffl_fairq_start_service(ffl_fairq_t *q, ffl_fq_item_t *item);
/** Removes a request that will not be served. */
void ffl_fairq_remove(ffl_fairq_t *q, ffl_fq_item_t *item);
/** Ends a service and corrects the charge to the time that it took. */
void ffl_fairq_end_service(ffl_fairq_t *q, ffl_fq_item_t *item,
			   uint32_t spent_ms);
/**
 * Returns the expected wait of a new request of the caller, in ms.
 *
 * @param slots services that may run at the same time
 */
uint64_t ffl_fairq_wait_ms(const ffl_fairq_t *q, const ffl_fq_node_t *caller,
			   uint32_t slots);

#endif
