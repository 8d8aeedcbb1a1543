#include <string.h>

#include "fireflyledge/fairq.h"
#include "lib/request/heap.h"

/** Virtual time of a millisecond of cost at weight 1. */
#define VTIME_PER_MS 4096
/** A class may hold a third of the queue, a customer half of its class, a
 * caller an eighth of its class. */
#define CLASS_DIVISOR	 3
#define CUSTOMER_DIVISOR 2
#define CALLER_DIVISOR	 8
/** Callers that are tracked. */
#define CALLERS_MAX 65536
/** Percentage of the slots for one caller if there are others. */
#define CALLER_PERCENT 33
/** One slot in this number is left free for classes below their share. */
#define RESERVE_DIVISOR 12

static void node_init(ffl_fq_node_t *n, ffl_fq_node_t *parent, uint32_t weight);
static void node_free(gpointer p);
static guint node_hash(gconstpointer p);
static gboolean node_equal(gconstpointer a, gconstpointer b);
static ffl_fq_node_t *get_node(ffl_fairq_t *q, GHashTable *table,
			       const ffl_fq_node_t *probe,
			       ffl_fq_node_t *parent, uint32_t weight);
static ffl_fq_node_t *get_customer(ffl_fairq_t *q, const ffl_fq_node_t *probe,
				   uint32_t weight, uint32_t running_max);
static void link_class_nodes(ffl_fairq_t *q, const ffl_fq_node_t *probe);
static void add_running(ffl_fq_node_t *n, int32_t step);
static void remove_idle_callers(ffl_fairq_t *q);
static bool may_run(const ffl_fq_node_t *n);
static bool may_start(const ffl_fairq_t *q, const ffl_fq_node_t *n,
		      uint32_t slots);
static void activate(ffl_fairq_t *q, ffl_fq_node_t *n);
static void deactivate(ffl_fq_node_t *n);
static void charge(ffl_fq_node_t *n, int64_t cost_ms);
static void update_active(ffl_fairq_t *q, ffl_fq_node_t *n, bool add);
static void unlink_item(ffl_fq_item_t *item);

/** Guaranteed shares of the classes, relative to their sum. */
static const uint32_t class_weights[FFL_URGENCY__MAX] = {
	[FFL_URGENT] = 50,
	[FFL_NORMAL] = 35,
	[FFL_BATCH] = 15,
};

static void node_init(ffl_fq_node_t *n, ffl_fq_node_t *parent, uint32_t weight)
{
	n->parent = parent;
	n->weight = weight ? weight : 1;
	n->item.owner = n;
	ffl_heap_init(&n->active);
	g_queue_init(&n->waiting);
}

static void node_free(gpointer p)
{
	ffl_fq_node_t *n = p;

	ffl_heap_finish(&n->active);
	g_free(n);
}

static guint node_hash(gconstpointer p)
{
	const ffl_fq_node_t *n = p;
	uint64_t h = ffl_hash(n->customer, strlen(n->customer), n->urgency);

	return (guint)ffl_hash(n->caller, strlen(n->caller), h);
}

static gboolean node_equal(gconstpointer pa, gconstpointer pb)
{
	const ffl_fq_node_t *a = pa;
	const ffl_fq_node_t *b = pb;

	return a->urgency == b->urgency && strcmp(a->caller, b->caller) == 0 &&
	       strcmp(a->customer, b->customer) == 0;
}

void ffl_fairq_init(ffl_fairq_t *q, uint32_t queue_max)
{
	uint32_t per_class = MAX(queue_max / CLASS_DIVISOR, 1);

	memset(q, 0, sizeof(*q));
	q->bounds.total = queue_max;
	q->bounds.per_class = per_class;
	q->bounds.per_customer = MAX(per_class / CUSTOMER_DIVISOR, 1);
	q->bounds.per_caller = MAX(per_class / CALLER_DIVISOR, 1);
	q->bounds.callers = CALLERS_MAX;
	node_init(&q->root, NULL, 1);
	for (int i = 0; i < FFL_URGENCY__MAX; i++) {
		node_init(&q->classes[i], &q->root, class_weights[i]);
		q->classes[i].urgency = (ffl_urgency_t)i;
		q->classes[i].item.order = (uint64_t)i;
		q->class_weight += class_weights[i];
	}
	q->customers =
		g_hash_table_new_full(node_hash, node_equal, node_free, NULL);
	q->callers =
		g_hash_table_new_full(node_hash, node_equal, node_free, NULL);
}

void ffl_fairq_finish(ffl_fairq_t *q)
{
	g_hash_table_destroy(q->callers);
	g_hash_table_destroy(q->customers);
	for (int i = 0; i < FFL_URGENCY__MAX; i++)
		ffl_heap_finish(&q->classes[i].active);
	ffl_heap_finish(&q->root.active);
}

static ffl_fq_node_t *get_node(ffl_fairq_t *q, GHashTable *table,
			       const ffl_fq_node_t *probe,
			       ffl_fq_node_t *parent, uint32_t weight)
{
	ffl_fq_node_t *n = g_hash_table_lookup(table, probe);

	if (n)
		return n;
	n = g_new0(ffl_fq_node_t, 1);
	n->urgency = probe->urgency;
	ffl_copy(n->customer, sizeof(n->customer), probe->customer);
	ffl_copy(n->caller, sizeof(n->caller), probe->caller);
	node_init(n, parent, weight);
	n->item.key = parent->vtime;
	n->item.order = ++q->order;
	g_hash_table_add(table, n);
	return n;
}

/* Removes callers without requests that have no cost left to make up for: a
 * start tag ahead of the virtual time must be kept. */
static void remove_idle_callers(ffl_fairq_t *q)
{
	GHashTableIter it;
	gpointer key;

	g_hash_table_iter_init(&it, q->callers);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		const ffl_fq_node_t *n = key;

		if (!n->queued && !n->running &&
		    n->item.key <= n->parent->vtime)
			g_hash_table_iter_remove(&it);
	}
}

/* A customer has a node in each class; each counts the services of all. */
static ffl_fq_node_t *get_customer(ffl_fairq_t *q, const ffl_fq_node_t *probe,
				   uint32_t weight, uint32_t running_max)
{
	ffl_fq_node_t *n = g_hash_table_lookup(q->customers, probe);
	ffl_fq_node_t other = *probe;

	for (int i = 0; !n && i < FFL_URGENCY__MAX; i++) {
		other.urgency = (ffl_urgency_t)i;
		get_node(q, q->customers, &other, &q->classes[i], weight);
	}
	for (int i = 0; !n && i < FFL_URGENCY__MAX; i++) {
		other.urgency = (ffl_urgency_t)i;
		link_class_nodes(q, &other);
	}
	n = g_hash_table_lookup(q->customers, probe);
	for (int i = 0; i < FFL_URGENCY__MAX; i++) {
		n->class_nodes[i]->running_max = running_max;
		if (!n->class_nodes[i]->item.position)
			n->class_nodes[i]->weight = weight ? weight : 1;
	}
	return n;
}

static void link_class_nodes(ffl_fairq_t *q, const ffl_fq_node_t *probe)
{
	ffl_fq_node_t *n = g_hash_table_lookup(q->customers, probe);
	ffl_fq_node_t other = *probe;

	for (int i = 0; i < FFL_URGENCY__MAX; i++) {
		other.urgency = (ffl_urgency_t)i;
		n->class_nodes[i] = g_hash_table_lookup(q->customers, &other);
	}
}

ffl_fq_node_t *ffl_fairq_get_caller(ffl_fairq_t *q, ffl_urgency_t urgency,
				    const char *customer, uint32_t weight,
				    uint32_t running_max, const char *caller,
				    uint32_t slots)
{
	ffl_fq_node_t probe = { .urgency = urgency };
	uint32_t caller_slots = slots * CALLER_PERCENT / 100;
	ffl_fq_node_t *n;

	ffl_copy(probe.customer, sizeof(probe.customer), customer);
	n = get_customer(q, &probe, weight, running_max);
	ffl_copy(probe.caller, sizeof(probe.caller), caller);
	if (g_hash_table_size(q->callers) >= q->bounds.callers &&
	    !g_hash_table_lookup(q->callers, &probe)) {
		remove_idle_callers(q);
		if (g_hash_table_size(q->callers) >= q->bounds.callers)
			return NULL;
	}
	n = get_node(q, q->callers, &probe, n, 1);
	n->running_max = g_hash_table_size(q->callers) > 1 ? caller_slots : 0;
	return n;
}

bool ffl_fairq_has_room(const ffl_fairq_t *q, const ffl_fq_node_t *caller)
{
	const ffl_fq_node_t *customer = caller->parent;

	return q->root.queued < q->bounds.total &&
	       customer->parent->queued < q->bounds.per_class &&
	       customer->queued < q->bounds.per_customer &&
	       caller->queued < q->bounds.per_caller;
}

static bool may_run(const ffl_fq_node_t *n)
{
	if (n->running_max && n->running >= n->running_max)
		return false;
	return n->waiting.length || n->active.items->len;
}

/* Makes a node and its ancestors eligible for service, if they may run. */
static void activate(ffl_fairq_t *q, ffl_fq_node_t *n)
{
	for (; n->parent && !n->item.position && may_run(n); n = n->parent) {
		n->item.key = MAX(n->item.key, n->parent->vtime);
		ffl_heap_push(&n->parent->active, &n->item);
		n->parent->active_weight += n->weight;
	}
}

static void deactivate(ffl_fq_node_t *n)
{
	for (; n->parent && n->item.position && !may_run(n); n = n->parent) {
		ffl_heap_remove(&n->parent->active, &n->item);
		n->parent->active_weight -= n->weight;
	}
}

static void charge(ffl_fq_node_t *n, int64_t cost_ms)
{
	int64_t step = cost_ms * VTIME_PER_MS / (int64_t)n->weight;
	uint64_t credit = (uint64_t)-step;

	if (step >= 0)
		n->item.key += (uint64_t)step;
	else
		n->item.key -= MIN(credit, n->item.key);
	if (n->item.position)
		ffl_heap_update(&n->parent->active, &n->item);
}

void ffl_fairq_push(ffl_fairq_t *q, ffl_fq_item_t *item, void *owner,
		    bool retry)
{
	item->link.data = owner;
	item->queued = true;
	if (retry)
		g_queue_push_head_link(&item->caller->waiting, &item->link);
	else
		g_queue_push_tail_link(&item->caller->waiting, &item->link);
	for (ffl_fq_node_t *n = item->caller; n; n = n->parent) {
		n->queued++;
		n->queued_cost_ms += item->cost_ms;
	}
	activate(q, item->caller);
}

/* Returns true if a class may start a service on one of the free slots. */
static bool may_start(const ffl_fairq_t *q, const ffl_fq_node_t *n,
		      uint32_t slots)
{
	uint32_t running = 0;
	uint32_t free;

	if (!n->item.position)
		return false;
	if (n->running * q->class_weight < slots * n->weight)
		return true;
	for (int i = 0; i < FFL_URGENCY__MAX; i++)
		running += q->classes[i].running;
	free = slots > running ? slots - running : 0;
	return free > slots / RESERVE_DIVISOR;
}

void *ffl_fairq_peek(const ffl_fairq_t *q, uint32_t slots)
{
	const ffl_fq_node_t *n = NULL;

	for (int i = 0; i < FFL_URGENCY__MAX; i++) {
		const ffl_fq_node_t *class = &q->classes[i];

		if (may_start(q, class, slots) &&
		    (!n || class->item.key < n->item.key))
			n = class;
	}
	while (n && n->active.items->len)
		n = ffl_heap_top(&n->active);
	return n && n->waiting.head ? n->waiting.head->data : NULL;
}

static void unlink_item(ffl_fq_item_t *item)
{
	g_queue_unlink(&item->caller->waiting, &item->link);
	item->queued = false;
	for (ffl_fq_node_t *n = item->caller; n; n = n->parent) {
		n->queued--;
		n->queued_cost_ms -= item->cost_ms;
	}
}

static void add_running(ffl_fq_node_t *n, int32_t step)
{
	for (int i = 0; i < FFL_URGENCY__MAX; i++) {
		if (n->class_nodes[i])
			n->class_nodes[i]->running += (uint32_t)step;
	}
	if (!n->class_nodes[0])
		n->running += (uint32_t)step;
}

/* Updates whether a node, or a customer's nodes in all classes, may be served
 * after the running count has changed. */
static void update_active(ffl_fairq_t *q, ffl_fq_node_t *n, bool add)
{
	for (int i = 0; i < FFL_URGENCY__MAX; i++) {
		ffl_fq_node_t *other =
			n->class_nodes[0] ? n->class_nodes[i] : n;

		if (add)
			activate(q, other);
		else
			deactivate(other);
	}
}

void ffl_fairq_start_service(ffl_fairq_t *q, ffl_fq_item_t *item)
{
	unlink_item(item);
	for (ffl_fq_node_t *n = item->caller; n->parent; n = n->parent) {
		n->parent->vtime = MAX(n->parent->vtime, n->item.key);
		add_running(n, 1);
		charge(n, item->cost_ms);
	}
	for (ffl_fq_node_t *n = item->caller; n->parent; n = n->parent)
		update_active(q, n, false);
}

void ffl_fairq_remove(ffl_fairq_t *q, ffl_fq_item_t *item)
{
	unlink_item(item);
	deactivate(item->caller);
}

void ffl_fairq_end_service(ffl_fairq_t *q, ffl_fq_item_t *item,
			   uint32_t spent_ms)
{
	for (ffl_fq_node_t *n = item->caller; n->parent; n = n->parent) {
		add_running(n, -1);
		charge(n, (int64_t)spent_ms - (int64_t)item->cost_ms);
	}
	for (ffl_fq_node_t *n = item->caller; n->parent; n = n->parent)
		update_active(q, n, true);
}

uint64_t ffl_fairq_wait_ms(const ffl_fairq_t *q, const ffl_fq_node_t *caller,
			   uint32_t slots)
{
	uint64_t total_ms = q->root.queued_cost_ms / MAX(slots, 1);
	double wait_ms = (double)caller->queued_cost_ms / MAX(slots, 1);

	for (const ffl_fq_node_t *n = caller; n->parent; n = n->parent) {
		uint64_t weights = n->parent->active_weight;

		if (!n->item.position)
			weights += n->weight;
		wait_ms = wait_ms * (double)weights / n->weight;
	}
	return MIN((uint64_t)wait_ms, total_ms);
}
