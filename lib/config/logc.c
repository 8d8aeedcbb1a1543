#include <string.h>

#include "fireflyledge/logc.h"

/** Pauses between tries, in milliseconds. */
#define BACKOFF_MIN_MS 50
#define BACKOFF_MAX_MS 2000
/** Most records of one read, and how long the log may wait for them. */
#define READ_MAX     512
#define READ_WAIT_MS 1000

/** A record that waits or is in flight. */
typedef struct {
	uint64_t seq;
	GByteArray *data;
} queued_t;

static void queued_free(gpointer p);
static uint64_t backoff_ms(ffl_logc_t *lc, uint32_t failures);
static void settle(ffl_logc_t *lc);
static void send_append(ffl_logc_t *lc, ffl_actions_t *out);
static void send_read(ffl_logc_t *lc, ffl_actions_t *out);

static void queued_free(gpointer p)
{
	queued_t *q = p;

	g_byte_array_free(q->data, TRUE);
	g_free(q);
}

void ffl_logc_init(ffl_logc_t *lc, uint64_t cluster, uint64_t writer,
		   uint64_t seed)
{
	memset(lc, 0, sizeof(*lc));
	lc->cluster = cluster;
	lc->writer = writer;
	lc->next_seq = 1;
	lc->next_offset = FFL_OFFSET_FIRST;
	lc->next_append = 1;
	g_queue_init(&lc->queue);
	ffl_rng_init(&lc->rng, seed);
}

void ffl_logc_finish(ffl_logc_t *lc)
{
	g_queue_clear_full(&lc->queue, queued_free);
}

ffl_status_t ffl_logc_append(ffl_logc_t *lc, ffl_record_t *rec)
{
	queued_t *q;

	if (lc->queue.length >= FFL_LOGC_QUEUE_MAX)
		return FFL_FULL;
	rec->version = FFL_RECORD_VERSION;
	rec->cluster = lc->cluster;
	rec->writer = lc->writer;
	rec->seq = lc->next_seq++;
	q = g_new0(queued_t, 1);
	q->seq = rec->seq;
	q->data = g_byte_array_new();
	ffl_record_encode(rec, q->data);
	g_queue_push_tail(&lc->queue, q);
	return FFL_OK;
}

void ffl_logc_seen(ffl_logc_t *lc, uint64_t seq)
{
	queued_t *q = g_queue_peek_head(&lc->queue);

	while (q && q->seq <= seq) {
		queued_free(g_queue_pop_head(&lc->queue));
		if (lc->in_flight)
			lc->in_flight--;
		q = g_queue_peek_head(&lc->queue);
	}
}

static uint64_t backoff_ms(ffl_logc_t *lc, uint32_t failures)
{
	uint32_t shift = failures < 6 ? failures : 6;
	uint64_t cap = (uint64_t)BACKOFF_MIN_MS << shift;

	if (cap > BACKOFF_MAX_MS)
		cap = BACKOFF_MAX_MS;
	return cap / 2 + ffl_rng_below(&lc->rng, cap / 2);
}

/* An uncertain append is settled once reading has passed the log's end as it
 * was first seen after the loss: what did not turn up never took effect. */
static void settle(ffl_logc_t *lc)
{
	if (lc->append_state != FFL_APPEND_UNCERTAIN)
		return;
	if (!lc->uncertain_end)
		lc->uncertain_end = lc->end + 1;
	if (lc->next_offset + 1 < lc->uncertain_end)
		return;
	lc->append_state = FFL_APPEND_BACKOFF;
	lc->in_flight = 0;
}

void ffl_logc_on_read(ffl_logc_t *lc, const ffl_ev_log_read_t *ev,
		      uint64_t now_ms)
{
	lc->reading = false;
	if (ev->status != FFL_OK) {
		lc->read_failures++;
		lc->read_at_ms = now_ms + backoff_ms(lc, lc->read_failures);
		return;
	}
	lc->read_failures = 0;
	lc->read_at_ms = now_ms;
	if (ev->end > lc->end)
		lc->end = ev->end;
	if (lc->next_offset >= lc->end)
		lc->proved_ms = lc->read_sent_ms;
	settle(lc);
}

void ffl_logc_on_appended(ffl_logc_t *lc, const ffl_ev_log_appended_t *ev,
			  uint64_t now_ms)
{
	if (ev->append + 1 != lc->next_append ||
	    lc->append_state != FFL_APPEND_SENT)
		return;
	if (ev->status == FFL_OK) {
		lc->failures = 0;
		lc->append_state = FFL_APPEND_IDLE;
		while (lc->in_flight) {
			queued_free(g_queue_pop_head(&lc->queue));
			lc->in_flight--;
		}
		return;
	}
	lc->failures++;
	lc->append_at_ms = now_ms + backoff_ms(lc, lc->failures);
	if (ev->status == FFL_UNAVAILABLE) {
		lc->append_state = FFL_APPEND_BACKOFF;
		lc->in_flight = 0;
		return;
	}
	lc->append_state = FFL_APPEND_UNCERTAIN;
	lc->uncertain_end = 0;
}

static void send_append(ffl_logc_t *lc, ffl_actions_t *out)
{
	uint32_t n = lc->queue.length;
	ffl_action_t *act = ffl_actions_add(out, FFL_ACT_LOG_APPEND);
	ffl_bytes_t *records;
	GList *l = lc->queue.head;

	if (n > FFL_LOGC_BATCH_MAX)
		n = FFL_LOGC_BATCH_MAX;
	records = ffl_arena_alloc(&out->arena, n * sizeof(*records));
	for (uint32_t i = 0; i < n; i++, l = l->next) {
		queued_t *q = l->data;

		records[i].size_bytes = q->data->len;
		records[i].data = ffl_arena_copy(&out->arena, q->data->data,
						 q->data->len);
	}
	act->log_append.append = lc->next_append++;
	act->log_append.records = records;
	act->log_append.count = n;
	lc->in_flight = n;
	lc->append_state = FFL_APPEND_SENT;
}

static void send_read(ffl_logc_t *lc, ffl_actions_t *out)
{
	ffl_action_t *act = ffl_actions_add(out, FFL_ACT_LOG_READ);

	act->log_read.from = lc->next_offset;
	act->log_read.max = READ_MAX;
	act->log_read.wait_ms =
		lc->append_state == FFL_APPEND_UNCERTAIN ? 0 : READ_WAIT_MS;
	lc->reading = true;
}

void ffl_logc_run(ffl_logc_t *lc, uint64_t now_ms, ffl_actions_t *out)
{
	if (!lc->reading && now_ms >= lc->read_at_ms) {
		lc->read_sent_ms = now_ms;
		send_read(lc, out);
	}
	if (lc->append_state == FFL_APPEND_BACKOFF &&
	    now_ms >= lc->append_at_ms)
		lc->append_state = FFL_APPEND_IDLE;
	if (lc->append_state == FFL_APPEND_IDLE && lc->queue.length)
		send_append(lc, out);
}

bool ffl_logc_reachable(const ffl_logc_t *lc)
{
	return lc->read_failures == 0;
}

bool ffl_logc_idle(const ffl_logc_t *lc)
{
	return lc->queue.length == 0;
}
