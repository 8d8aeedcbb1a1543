/*
 * Client of the append-only log: queues, batches, retries and read checks.
 */
#include <string.h>

#include "fireflyledge/logc.h"

/** Backoff between retries, in milliseconds. The maximum is a twelfth of a
 * lease, since the successor of a leader waits for a retry. */
#define BACKOFF_MIN_MS	  50
#define BACKOFF_MAX_MS	  500
#define BACKOFF_SHIFT_MAX 6
/** Most records of one read, and how long the log may wait for new ones. */
#define READ_RECORDS_MAX 512
#define READ_WAIT_MS	 1000
/** Minimum time between two appends, and between two with bulk records. */
#define APPEND_INTERVAL_MIN_MS 50
#define BULK_INTERVAL_MIN_MS   250
#define MS_PER_S	       1000

/** A record that is queued or in flight. */
typedef struct {
	ffl_record_t head;
	GByteArray *body;
	bool sent; /**< it may be on the log */
} queued_record_t;

/** Limits of a lane, in records. */
typedef struct {
	uint32_t queue_max;
	uint32_t batch_max;
} lane_limits_t;

static void queued_record_free(gpointer p);
static uint64_t backoff_ms(ffl_logc_t *lc, uint32_t failures);
static uint64_t append_interval_ms(const ffl_logc_t *lc);
static void resolve_uncertain_append(ffl_logc_t *lc);
static bool lane_due(const ffl_logc_t *lc, uint32_t lane, uint64_t now_ms);
static bool any_lane_due(const ffl_logc_t *lc, uint64_t now_ms);
static uint32_t encode_batch(ffl_logc_t *lc, uint32_t lane, GArray *records,
			     size_t *size_bytes, ffl_arena_t *arena);
static void send_append(ffl_logc_t *lc, uint64_t now_ms, ffl_actions_t *out);
static void send_read(ffl_logc_t *lc, ffl_actions_t *out);

static const lane_limits_t limits[FFL_LANE__MAX] = {
	[FFL_LANE_URGENT] = { 1024, FFL_LOGC_BATCH_MAX },
	[FFL_LANE_JOBS] = { FFL_LOGC_QUEUE_MAX, FFL_LOGC_BATCH_MAX },
	[FFL_LANE_BULK] = { 1024, 2 },
};

static const char *const result_names[FFL_READ__MAX] = {
	[FFL_READ_TAKEN] = "taken",	[FFL_READ_FAILED] = "failed",
	[FFL_READ_STALE] = "stale",	[FFL_READ_GAP] = "gap",
	[FFL_READ_TRIMMED] = "trimmed",
};

const char *ffl_read_result_name(uint32_t result)
{
	return result < FFL_READ__MAX ? result_names[result] : "?";
}

static void queued_record_free(gpointer p)
{
	queued_record_t *q = p;

	g_byte_array_free(q->body, TRUE);
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
	lc->first = FFL_OFFSET_FIRST;
	lc->next_append = 1;
	for (uint32_t i = 0; i < FFL_LANE__MAX; i++)
		g_queue_init(&lc->lanes[i]);
	ffl_rng_init(&lc->rng, seed);
}

void ffl_logc_finish(ffl_logc_t *lc)
{
	for (uint32_t i = 0; i < FFL_LANE__MAX; i++)
		g_queue_clear_full(&lc->lanes[i], queued_record_free);
}

ffl_status_t ffl_logc_append(ffl_logc_t *lc, ffl_record_t *rec)
{
	ffl_lane_t lane = ffl_rec_lane(rec->kind);
	queued_record_t *q;

	if (lc->lanes[lane].length >= limits[lane].queue_max)
		return FFL_FULL;
	rec->version = FFL_RECORD_VERSION;
	rec->cluster = lc->cluster;
	rec->writer = lc->writer;
	rec->seq = lc->next_seq++;
	rec->at_ms = lc->now_ms + lc->wall_offset_ms;
	q = g_new0(queued_record_t, 1);
	q->head = *rec;
	q->body = g_byte_array_new();
	ffl_record_encode_body(rec, q->body);
	g_queue_push_tail(&lc->lanes[lane], q);
	return FFL_OK;
}

bool ffl_logc_cancel(ffl_logc_t *lc, ffl_rec_kind_t kind, uint64_t seq)
{
	GQueue *lane = &lc->lanes[ffl_rec_lane(kind)];

	for (GList *l = lane->head; l; l = l->next) {
		queued_record_t *q = l->data;

		if (q->head.seq != seq)
			continue;
		if (q->sent)
			return false;
		queued_record_free(q);
		g_queue_delete_link(lane, l);
		return true;
	}
	return false;
}

void ffl_logc_on_own_record(ffl_logc_t *lc, ffl_rec_kind_t kind, uint64_t seq)
{
	ffl_lane_t lane = ffl_rec_lane(kind);
	queued_record_t *q = g_queue_peek_head(&lc->lanes[lane]);

	while (q && q->head.seq <= seq) {
		queued_record_free(g_queue_pop_head(&lc->lanes[lane]));
		if (lc->in_flight[lane])
			lc->in_flight[lane]--;
		q = g_queue_peek_head(&lc->lanes[lane]);
	}
}

static uint64_t backoff_ms(ffl_logc_t *lc, uint32_t failures)
{
	uint32_t shift =
		failures < BACKOFF_SHIFT_MAX ? failures : BACKOFF_SHIFT_MAX;
	uint64_t cap = (uint64_t)BACKOFF_MIN_MS << shift;

	if (cap > BACKOFF_MAX_MS)
		cap = BACKOFF_MAX_MS;
	return cap / 2 + ffl_rng_below(&lc->rng, cap / 2);
}

/* Shares FFL_LOGC_APPENDS_PER_S among the hosts, so that all of them together
 * stay below the rate that the log accepts. */
static uint64_t append_interval_ms(const ffl_logc_t *lc)
{
	uint64_t share =
		(uint64_t)lc->sharing_hosts * MS_PER_S / FFL_LOGC_APPENDS_PER_S;

	return share > APPEND_INTERVAL_MIN_MS ? share : APPEND_INTERVAL_MIN_MS;
}

/* Only a read that began after the reply was lost, and reached the end, shows
 * which records of the append were on the log at that time. */
static void resolve_uncertain_append(ffl_logc_t *lc)
{
	if (lc->append_state != FFL_APPEND_UNCERTAIN ||
	    lc->reads <= lc->reads_at_loss || lc->next_offset < lc->end)
		return;
	lc->append_state = FFL_APPEND_BACKOFF;
	memset(lc->in_flight, 0, sizeof(lc->in_flight));
}

ffl_read_result_t ffl_logc_check_read(const ffl_logc_t *lc,
				      const ffl_ev_log_read_t *ev)
{
	uint64_t next = lc->next_offset;

	if (ev->status != FFL_OK)
		return FFL_READ_FAILED;
	if (!lc->reading || ev->end < lc->end || ev->first < lc->first)
		return FFL_READ_STALE;
	if (ev->first > next)
		return FFL_READ_TRIMMED;
	for (uint32_t i = 0; i < ev->count; i++) {
		if (ev->entries[i].offset > next)
			return FFL_READ_GAP;
		if (ev->entries[i].offset == next)
			next++;
	}
	if (!ev->count && next < ev->end)
		return FFL_READ_GAP;
	return FFL_READ_TAKEN;
}

void ffl_logc_on_read(ffl_logc_t *lc, const ffl_ev_log_read_t *ev,
		      ffl_read_result_t result, uint64_t now_ms)
{
	lc->now_ms = now_ms;
	lc->read_counts[result]++;
	if (!lc->reading)
		return;
	lc->reading = false;
	if (result != FFL_READ_TAKEN && result != FFL_READ_TRIMMED) {
		lc->read_failures++;
		lc->read_at_ms = now_ms + backoff_ms(lc, lc->read_failures);
		return;
	}
	lc->read_failures = 0;
	lc->read_at_ms = now_ms;
	lc->first = ev->first;
	lc->end = ev->end;
	if (lc->next_offset >= lc->end)
		lc->caught_up_ms = lc->read_sent_ms;
	resolve_uncertain_append(lc);
}

void ffl_logc_on_appended(ffl_logc_t *lc, const ffl_ev_log_appended_t *ev,
			  uint64_t now_ms)
{
	lc->now_ms = now_ms;
	if (ev->append + 1 != lc->next_append ||
	    lc->append_state != FFL_APPEND_SENT)
		return;
	if (ev->status == FFL_OK) {
		lc->failures = 0;
		lc->append_state = FFL_APPEND_IDLE;
		for (uint32_t i = 0; i < FFL_LANE__MAX; i++) {
			while (lc->in_flight[i]) {
				queued_record_free(
					g_queue_pop_head(&lc->lanes[i]));
				lc->in_flight[i]--;
			}
		}
		return;
	}
	lc->failures++;
	lc->append_at_ms = now_ms + backoff_ms(lc, lc->failures);
	if (ev->status == FFL_UNAVAILABLE) {
		lc->append_state = FFL_APPEND_BACKOFF;
		memset(lc->in_flight, 0, sizeof(lc->in_flight));
		return;
	}
	lc->append_state = FFL_APPEND_UNCERTAIN;
	lc->reads_at_loss = lc->reads;
}

/* Encodes records from the head of a lane; returns how many fitted. */
static uint32_t encode_batch(ffl_logc_t *lc, uint32_t lane, GArray *records,
			     size_t *size_bytes, ffl_arena_t *arena)
{
	GByteArray *buf = g_byte_array_new();
	uint32_t n = 0;

	for (GList *l = lc->lanes[lane].head; l; l = l->next, n++) {
		queued_record_t *q = l->data;
		ffl_bytes_t bytes;

		if (n >= limits[lane].batch_max ||
		    records->len >= FFL_LOGC_BATCH_MAX ||
		    (records->len &&
		     *size_bytes + q->body->len > FFL_LOGC_BATCH_BYTES))
			break;
		q->head.base = lc->next_offset - 1;
		q->sent = true;
		g_byte_array_set_size(buf, 0);
		ffl_record_encode_head(&q->head, buf);
		g_byte_array_append(buf, q->body->data, q->body->len);
		bytes.size_bytes = buf->len;
		bytes.data = ffl_arena_copy(arena, buf->data, buf->len);
		*size_bytes += buf->len;
		g_array_append_val(records, bytes);
	}
	g_byte_array_free(buf, TRUE);
	return n;
}

static bool lane_due(const ffl_logc_t *lc, uint32_t lane, uint64_t now_ms)
{
	return lc->lanes[lane].length &&
	       (lane != FFL_LANE_BULK || now_ms >= lc->bulk_at_ms);
}

static bool any_lane_due(const ffl_logc_t *lc, uint64_t now_ms)
{
	for (uint32_t i = 0; i < FFL_LANE__MAX; i++) {
		if (lane_due(lc, i, now_ms))
			return true;
	}
	return false;
}

static void send_append(ffl_logc_t *lc, uint64_t now_ms, ffl_actions_t *out)
{
	ffl_action_t *act = ffl_actions_add(out, FFL_ACT_LOG_APPEND);
	GArray *records = g_array_new(FALSE, FALSE, sizeof(ffl_bytes_t));
	size_t size_bytes = 0;

	for (uint32_t i = 0; i < FFL_LANE__MAX; i++)
		lc->in_flight[i] =
			lane_due(lc, i, now_ms)
				? encode_batch(lc, i, records, &size_bytes,
					       &out->arena)
				: 0;
	if (lc->in_flight[FFL_LANE_BULK])
		lc->bulk_at_ms = now_ms + BULK_INTERVAL_MIN_MS;
	act->log_append.append = lc->next_append++;
	act->log_append.count = records->len;
	act->log_append.records =
		ffl_arena_copy(&out->arena, (const uint8_t *)records->data,
			       records->len * sizeof(ffl_bytes_t));
	g_array_free(records, TRUE);
	lc->appends++;
	lc->append_state = FFL_APPEND_SENT;
	lc->append_at_ms = now_ms + append_interval_ms(lc);
}

static void send_read(ffl_logc_t *lc, ffl_actions_t *out)
{
	ffl_action_t *act = ffl_actions_add(out, FFL_ACT_LOG_READ);

	act->log_read.from = lc->next_offset;
	act->log_read.max = READ_RECORDS_MAX;
	/* The answer of a read that waits would be late: it resolves an append
	 * whose reply was lost, or shows that the log is back. */
	if (lc->end && lc->append_state != FFL_APPEND_UNCERTAIN &&
	    !lc->read_failures)
		act->log_read.wait_ms = READ_WAIT_MS;
	lc->reading = true;
	lc->reads++;
}

void ffl_logc_run(ffl_logc_t *lc, uint64_t now_ms, ffl_actions_t *out)
{
	lc->now_ms = now_ms;
	if (!lc->reading && now_ms >= lc->read_at_ms) {
		lc->read_sent_ms = now_ms;
		send_read(lc, out);
	}
	if (now_ms < lc->append_at_ms)
		return;
	if (lc->append_state == FFL_APPEND_BACKOFF)
		lc->append_state = FFL_APPEND_IDLE;
	if (lc->append_state == FFL_APPEND_IDLE && any_lane_due(lc, now_ms))
		send_append(lc, now_ms, out);
}

bool ffl_logc_reachable(const ffl_logc_t *lc)
{
	return lc->read_failures == 0;
}

bool ffl_logc_lane_idle(const ffl_logc_t *lc, ffl_lane_t lane)
{
	return lc->lanes[lane].length == 0;
}

bool ffl_logc_idle(const ffl_logc_t *lc)
{
	return ffl_logc_lane_idle(lc, FFL_LANE_URGENT) &&
	       ffl_logc_lane_idle(lc, FFL_LANE_JOBS);
}
