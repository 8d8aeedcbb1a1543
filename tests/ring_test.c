/** @file Tests of the bounded ring between threads. */
#include <pthread.h>

#include "fireflyledge/counters.h"
#include "fireflyledge/ring.h"
#include "fireflyledge/types.h"

#define THREADS		 4
#define ITEMS_PER_THREAD 5000
#define CAPACITY	 64
#define WAIT_MS		 10000

/** State that producers and consumers share. */
typedef struct {
	ffl_ring_t ring;
	ffl_counters_t counters;
	/** How often each item was taken. */
	uint8_t seen[THREADS * ITEMS_PER_THREAD];
	uint8_t items[THREADS * ITEMS_PER_THREAD];
	_Atomic uint32_t taken;
	_Atomic uint32_t next_producer;
} shared_t;

static void *produce(void *arg);
static void *consume(void *arg);
static void test_each_once(void);
static void test_closed(void);
static void test_order(void);

static void *produce(void *arg)
{
	shared_t *s = arg;
	uint32_t first =
		atomic_fetch_add(&s->next_producer, 1) * ITEMS_PER_THREAD;

	for (uint32_t i = 0; i < ITEMS_PER_THREAD; i++) {
		while (!ffl_ring_push(&s->ring, &s->items[first + i]))
			ffl_counter_add(&s->counters, FFL_CTR_RING_FULL, 1);
		ffl_counter_add(&s->counters, FFL_CTR_EVENTS, 1);
	}
	return NULL;
}

static void *consume(void *arg)
{
	shared_t *s = arg;

	while (atomic_load(&s->taken) < THREADS * ITEMS_PER_THREAD) {
		uint8_t *item = ffl_ring_pop(&s->ring, 1);

		if (!item)
			continue;
		s->seen[item - s->items]++;
		atomic_fetch_add(&s->taken, 1);
	}
	return NULL;
}

static void test_each_once(void)
{
	static shared_t s;
	pthread_t producers[THREADS];
	pthread_t consumers[THREADS];

	ffl_ring_init(&s.ring, CAPACITY);
	ffl_counters_init(&s.counters);
	for (uint32_t i = 0; i < THREADS; i++) {
		pthread_create(&producers[i], NULL, produce, &s);
		pthread_create(&consumers[i], NULL, consume, &s);
	}
	for (uint32_t i = 0; i < THREADS; i++) {
		pthread_join(producers[i], NULL);
		pthread_join(consumers[i], NULL);
	}
	for (uint32_t i = 0; i < THREADS * ITEMS_PER_THREAD; i++)
		g_assert_cmpuint(s.seen[i], ==, 1);
	g_assert_cmpuint(ffl_counter_get(&s.counters, FFL_CTR_EVENTS), ==,
			 THREADS * ITEMS_PER_THREAD);
	ffl_ring_finish(&s.ring);
}

/* A closed ring refuses new items and hands out those that it holds, without
 * waiting once it is empty. */
static void test_closed(void)
{
	ffl_ring_t ring;
	int item = 0;

	ffl_ring_init(&ring, 2);
	g_assert_true(ffl_ring_push(&ring, &item));
	ffl_ring_close(&ring);
	g_assert_false(ffl_ring_push(&ring, &item));
	g_assert_true(ffl_ring_pop(&ring, WAIT_MS) == &item);
	g_assert_null(ffl_ring_pop(&ring, WAIT_MS));
	ffl_ring_finish(&ring);
}

static void test_order(void)
{
	int items[5];
	ffl_ring_t ring;

	ffl_ring_init(&ring, 3);
	for (int round = 0; round < 4; round++) {
		g_assert_true(ffl_ring_push(&ring, &items[round]));
		g_assert_true(ffl_ring_push(&ring, &items[round + 1]));
		g_assert_true(ffl_ring_pop(&ring, 0) == &items[round]);
		g_assert_true(ffl_ring_pop(&ring, 0) == &items[round + 1]);
	}
	ffl_ring_finish(&ring);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/ring/each-item-once", test_each_once);
	g_test_add_func("/ring/closed", test_closed);
	g_test_add_func("/ring/order", test_order);
	return g_test_run();
}
