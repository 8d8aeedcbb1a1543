/**
 * @file outlook.c
 * @brief Outlooks on the log, and the submissions that are turned away by them.
 *
 * The leader writes an outlook while work waits for room and removes it after.
 * Each host decides alone, by what it has read.
 */
#include <string.h>
#include <msgpack.h>

#include "lib/node/node_int.h"
#include "lib/wire/pack.h"

/** Interval between two outlooks of a service. */
#define OUTLOOK_INTERVAL_MS 500
/** Most numbers in a record: two, two counts, and those of all rows. */
#define RANK_NUMBERS  9
#define QUEUE_NUMBERS 2
#define NUMBERS_MAX                                 \
	(4 + RANK_NUMBERS * FFL_OUTLOOK_RANKS_MAX + \
	 QUEUE_NUMBERS * FFL_OUTLOOK_QUEUES_MAX)

/** Numbers of a record in their order. */
typedef struct {
	uint64_t n[NUMBERS_MAX];
	uint32_t count;
	uint32_t next; /**< read so far */
} numbers_t;

static void put(numbers_t *to, uint64_t number);
static uint64_t take(numbers_t *from, uint64_t most);
static ffl_write_t *encode(const ffl_node_t *n, const char *service,
			   const ffl_outlook_t *o);
static bool read_numbers(ffl_bytes_t in, numbers_t *out);
static bool decode(ffl_bytes_t in, ffl_known_outlook_t *out);
static void add_write(ffl_node_t *n, const char *service, GPtrArray *writes);
static uint64_t age_of(const ffl_node_t *n, const ffl_known_outlook_t *o);

void ffl_outlooks_init(ffl_node_t *n)
{
	n->outlooks =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void ffl_outlooks_finish(ffl_node_t *n)
{
	g_hash_table_destroy(n->outlooks);
}

static void put(numbers_t *to, uint64_t number)
{
	to->n[to->count++] = number;
}

/* Returns the next number, or more than @p most if there is none or it is
 * larger. */
static uint64_t take(numbers_t *from, uint64_t most)
{
	uint64_t number =
		from->next < from->count ? from->n[from->next] : UINT64_MAX;

	if (number > most)
		from->count = 0;
	from->next++;
	return number;
}

static ffl_write_t *encode(const ffl_node_t *n, const char *service,
			   const ffl_outlook_t *o)
{
	ffl_write_t *w = ffl_write_new(KEY_OUTLOOK, service);
	numbers_t all = { .count = 0 };
	msgpack_packer pk;

	put(&all, n->lead.token);
	put(&all, n->wall_ms);
	put(&all, o->ranks_count);
	for (uint32_t i = 0; i < o->ranks_count; i++) {
		const ffl_outlook_rank_t *r = &o->ranks[i];

		put(&all, r->priority);
		put(&all, r->work_class);
		for (uint32_t k = 0; k < FFL_OUTLOOK__MAX; k++) {
			put(&all, r->on_time_ms[k]);
			put(&all, r->of_use_ms[k]);
		}
		put(&all, r->task.cpu_milli);
		put(&all, r->task.mem_mb);
		put(&all, r->task.gpus);
	}
	put(&all, o->queues_count);
	for (uint32_t i = 0; i < o->queues_count; i++) {
		put(&all, o->queues[i].name_sum);
		put(&all, o->queues[i].run_ms);
	}
	msgpack_packer_init(&pk, w->value, ffl_wire_write);
	msgpack_pack_array(&pk, all.count);
	for (uint32_t i = 0; i < all.count; i++)
		msgpack_pack_uint64(&pk, all.n[i]);
	return w;
}

static bool read_numbers(ffl_bytes_t in, numbers_t *out)
{
	const msgpack_object_array *fields;
	msgpack_unpacked msg;
	bool ok;

	memset(out, 0, sizeof(*out));
	msgpack_unpacked_init(&msg);
	fields = ffl_wire_unpack_array(in, &msg);
	ok = fields && fields->size <= NUMBERS_MAX;
	for (uint32_t i = 0; ok && i < fields->size; i++) {
		const msgpack_object *f = &fields->ptr[i];

		ok = f->type == MSGPACK_OBJECT_POSITIVE_INTEGER;
		if (ok)
			put(out, f->via.u64);
	}
	msgpack_unpacked_destroy(&msg);
	return ok;
}

static bool decode(ffl_bytes_t in, ffl_known_outlook_t *out)
{
	ffl_outlook_t *o = &out->outlook;
	numbers_t all;
	uint32_t ranks;
	uint32_t queues;

	memset(out, 0, sizeof(*out));
	if (!read_numbers(in, &all))
		return false;
	out->token = take(&all, UINT64_MAX - 1);
	out->wall_ms = take(&all, UINT64_MAX - 1);
	ranks = (uint32_t)take(&all, FFL_OUTLOOK_RANKS_MAX);
	for (uint32_t i = 0; all.count && i < ranks; i++) {
		ffl_outlook_rank_t *r = &o->ranks[o->ranks_count++];

		r->priority = (uint32_t)take(&all, UINT32_MAX);
		r->work_class = (uint32_t)take(&all, UINT32_MAX);
		for (uint32_t k = 0; k < FFL_OUTLOOK__MAX; k++) {
			r->on_time_ms[k] = (uint32_t)take(&all, UINT32_MAX);
			r->of_use_ms[k] = (uint32_t)take(&all, UINT32_MAX);
		}
		r->task.cpu_milli = (uint32_t)take(&all, UINT32_MAX);
		r->task.mem_mb = (uint32_t)take(&all, UINT32_MAX);
		r->task.gpus = (uint32_t)take(&all, UINT32_MAX);
	}
	queues = (uint32_t)take(&all, FFL_OUTLOOK_QUEUES_MAX);
	for (uint32_t i = 0; all.count && i < queues; i++) {
		ffl_outlook_queue_t *q = &o->queues[o->queues_count++];

		q->name_sum = take(&all, UINT64_MAX);
		q->run_ms = (uint32_t)take(&all, UINT32_MAX);
	}
	return all.count && all.next == all.count;
}

/* An outlook that an earlier leader left is removed as well. */
static void add_write(ffl_node_t *n, const char *service, GPtrArray *writes)
{
	bool known = g_hash_table_contains(n->outlooks, service);
	ffl_outlook_t o;

	if (strlen(service) + 2 > FFL_RECORD_KEY_BYTES)
		return;
	ffl_outlook_build(&n->dispatch, service, n->now_ms, &o);
	if (o.ranks_count)
		g_ptr_array_add(writes, encode(n, service, &o));
	else if (known)
		g_ptr_array_add(writes, ffl_write_new(KEY_OUTLOOK, service));
	if (!o.ranks_count == !known)
		return;
	ffl_node_note(n, o.ranks_count ? "outlook-began" : "outlook-ended",
		      service, "no_room=%u ranks=%u queues=%u taken_ms=%u",
		      n->dispatch.waiting[FFL_WAIT_ROOM], o.ranks_count,
		      o.queues_count,
		      o.ranks_count ? MAX(o.ranks[o.ranks_count - 1]
						  .of_use_ms[FFL_OUTLOOK_GPUS],
					  o.ranks[o.ranks_count - 1]
						  .of_use_ms[FFL_OUTLOOK_CORES])
				    : 0);
}

void ffl_outlooks_publish(ffl_node_t *n, GPtrArray *writes)
{
	GHashTableIter iter;
	gpointer service;

	if (n->now_ms - n->outlooks_ms < OUTLOOK_INTERVAL_MS)
		return;
	n->outlooks_ms = n->now_ms;
	g_hash_table_iter_init(&iter, n->dispatch.gpus);
	while (g_hash_table_iter_next(&iter, &service, NULL))
		add_write(n, service, writes);
	g_hash_table_iter_init(&iter, n->outlooks);
	while (g_hash_table_iter_next(&iter, &service, NULL)) {
		if (!g_hash_table_contains(n->dispatch.gpus, service))
			add_write(n, service, writes);
	}
}

/* An unreadable one decides nothing, and is removed by the leader. */
void ffl_outlooks_apply_record(ffl_node_t *n, const ffl_store_record_t *rec)
{
	const char *service = rec->key + 1;
	ffl_known_outlook_t read;

	if (!rec->value.size_bytes) {
		g_hash_table_remove(n->outlooks, service);
		return;
	}
	if (!decode(rec->value, &read)) {
		memset(&read, 0, sizeof(read));
		ffl_node_note(n, "outlook-unreadable", rec->key,
			      "offset=%" PRIu64, rec->offset);
	}
	read.read_ms = n->now_ms;
	g_hash_table_replace(n->outlooks, g_strdup(service),
			     g_memdup2(&read, sizeof(read)));
}

/* A record may have been read long after it was written, and a clock may be
 * wrong: the later of both counts. */
static uint64_t age_of(const ffl_node_t *n, const ffl_known_outlook_t *o)
{
	uint64_t written_ms = n->wall_ms > o->wall_ms ? n->wall_ms - o->wall_ms
						      : o->wall_ms - n->wall_ms;

	return MAX(n->now_ms - o->read_ms, written_ms);
}

bool ffl_outlooks_refuse(const ffl_node_t *n, const ffl_flow_spec_t *spec,
			 ffl_turned_away_t *out)
{
	const ffl_known_outlook_t *o =
		g_hash_table_lookup(n->outlooks, spec->service);
	const ffl_outlook_verdict_t *v = &out->verdict;

	memset(out, 0, sizeof(*out));
	if (!o || n->lead.holder_resigned || o->token != n->lead.holder_token ||
	    !ffl_tail_is_caught_up(n, FFL_TOPIC_STATES, FFL_OUTLOOK_AGE_MAX_MS))
		return false;
	out->age_ms = age_of(n, o);
	ffl_outlook_decide(&o->outlook, out->age_ms, spec, &out->verdict);
	g_snprintf(out->why, sizeof(out->why),
		   "the job has not run: work that goes first takes all room "
		   "for %" PRIu64 " ms, and after %" PRIu64
		   " ms it would be too late to be of use",
		   v->taken_ms, v->wait_max_ms);
	return v->refused;
}
