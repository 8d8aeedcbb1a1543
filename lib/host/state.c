/**
 * @file state.c
 * @brief Serialising, loading, hashing and snapshotting of the folded state.
 */
#include <string.h>

#include "fireflyledge/save.h"
#include "lib/host/host_int.h"
#include "lib/wire/fields.h"

/** Version of the serialised format; no other version is loaded. */
#define STATE_VERSION 1
/** Records and time in ms between snapshots if the settings give none. */
#define SNAPSHOT_RECORDS_DEFAULT     20000
#define SNAPSHOT_INTERVAL_DEFAULT_MS 3600000
/** Time in ms after which a snapshot that was not read back is repeated. */
#define SNAPSHOT_TIMEOUT_MS 120000

/** Header of a serialised state. */
typedef struct {
	uint32_t version;
	uint64_t cluster;
	uint64_t offset;
	uint64_t revision;
} head_t;

/** The aggregates that are folded from the log. */
typedef struct {
	ffl_config_t config;
	ffl_fold_t fold;
	ffl_members_t members;
	ffl_gangs_t gangs;
} folded_state_t;

static void save_folded(const ffl_host_t *h, GByteArray *out);
static ffl_status_t load_aggregates(folded_state_t *p, ffl_bytes_t in,
				    uint64_t now_ms);
static void swap_in(ffl_host_t *h, folded_state_t *p);
static ffl_status_t load_folded(ffl_host_t *h, ffl_bytes_t in, uint64_t now_ms);
static bool consume(ffl_bytes_t *in, size_t used, ffl_status_t status);
static bool writes_snapshots(const ffl_host_t *h);

static const ffl_field_t head_fields[] = {
	FIELD_U32(head_t, version, 0),
	FIELD_U64(head_t, cluster),
	FIELD_U64(head_t, offset),
	FIELD_U64(head_t, revision),
};

static const ffl_field_t snapshot_fields[] = {
	FIELD_U64(ffl_snapshot_t, offset),
	FIELD_U64(ffl_snapshot_t, start),
	FIELD_U64(ffl_snapshot_t, hash),
};

static const ffl_schema_t head_schema = SCHEMA(head_t, head_fields);
static const ffl_schema_t snapshot_schema =
	SCHEMA(ffl_snapshot_t, snapshot_fields);

static void save_folded(const ffl_host_t *h, GByteArray *out)
{
	ffl_config_save(&h->config, out);
	ffl_fold_save(&h->fold, out);
	ffl_members_save(&h->members, out);
	ffl_gangs_save(&h->gangs, out);
}

void ffl_host_save(const ffl_host_t *h, GByteArray *out)
{
	head_t head = { .version = STATE_VERSION,
			.cluster = h->opt.cluster,
			.offset = h->logc.next_offset,
			.revision = h->config.revision };

	ffl_schema_encode(&head_schema, &head, out);
	ffl_schema_encode(&snapshot_schema, &h->snapshots.last, out);
	save_folded(h, out);
}

uint64_t ffl_host_state_hash(const ffl_host_t *h)
{
	GByteArray *bytes = g_byte_array_new();
	uint64_t hash;

	save_folded(h, bytes);
	hash = ffl_hash(bytes->data, bytes->len, 0);
	g_byte_array_free(bytes, TRUE);
	return hash;
}

/* Skips the bytes that a decoder used; returns false if it failed. */
static bool consume(ffl_bytes_t *in, size_t used, ffl_status_t status)
{
	if (status != FFL_OK)
		return false;
	in->data += used;
	in->size_bytes -= used;
	return true;
}

/* Decodes into separate aggregates, so that an error leaves the host's state
 * unchanged. */
static ffl_status_t load_aggregates(folded_state_t *p, ffl_bytes_t in,
				    uint64_t now_ms)
{
	ffl_status_t status;
	size_t used = 0;

	status = ffl_config_load(&p->config, in, &used);
	if (!consume(&in, used, status))
		return status;
	status = ffl_fold_load(&p->fold, in, &used);
	if (!consume(&in, used, status))
		return status;
	status = ffl_members_load(&p->members, in, &used, now_ms);
	if (!consume(&in, used, status))
		return status;
	return ffl_gangs_load(&p->gangs, in, &used, now_ms);
}

/* Swaps in the state folded from the log. Local times and counters of this
 * process are kept, since they are not part of the log. The fleet is rebuilt
 * from the next host list. */
static void swap_in(ffl_host_t *h, folded_state_t *p)
{
	folded_state_t old = { .config = h->config,
			       .fold = h->fold,
			       .members = h->members,
			       .gangs = h->gangs };

	ffl_gangs_copy_local(&p->gangs, &old.gangs);
	ffl_members_keep_heard_times(&p->members, &old.members);
	h->config = p->config;
	h->fold = p->fold;
	h->gangs = p->gangs;
	h->members.members = p->members.members;
	h->members.cells = p->members.cells;
	p->config = old.config;
	p->fold = old.fold;
	p->gangs = old.gangs;
	p->members.members = old.members.members;
	p->members.cells = old.members.cells;
	ffl_fleet_finish(&h->fleet);
	ffl_fleet_init(&h->fleet);
}

static ffl_status_t load_folded(ffl_host_t *h, ffl_bytes_t in, uint64_t now_ms)
{
	ffl_status_t status;
	folded_state_t p;

	ffl_config_init(&p.config);
	ffl_fold_init(&p.fold, h->opt.cluster);
	ffl_members_init(&p.members, &h->opt.self, &h->opt.times);
	ffl_gangs_init(&p.gangs, h->opt.times.lease_ms);
	status = load_aggregates(&p, in, now_ms);
	if (status == FFL_OK)
		swap_in(h, &p);
	ffl_gangs_finish(&p.gangs);
	ffl_members_finish(&p.members);
	ffl_fold_finish(&p.fold);
	ffl_config_finish(&p.config);
	return status;
}

ffl_status_t ffl_host_load(ffl_host_t *h, ffl_bytes_t in, uint64_t now_ms)
{
	ffl_snapshot_t last;
	ffl_status_t status;
	ffl_loader_t l;
	head_t head;

	ffl_loader_init(&l, in);
	ffl_load(&l, &head_schema, &head);
	ffl_load(&l, &snapshot_schema, &last);
	in = l.rest;
	status = l.status;
	ffl_loader_finish(&l);
	if (status != FFL_OK)
		return status;
	if (head.version != STATE_VERSION || head.cluster != h->opt.cluster)
		return FFL_INVALID;
	if (head.revision < h->config.revision)
		return FFL_CONFLICT;
	status = load_folded(h, in, now_ms);
	if (status != FFL_OK)
		return status;
	h->logc.next_offset = head.offset;
	if (last.offset > h->snapshots.last.offset)
		h->snapshots.last = last;
	h->config_changed = true;
	h->log_trimmed = true;
	return FFL_OK;
}

void ffl_host_on_snapshot_part(ffl_host_t *h, uint64_t offset,
			       const ffl_record_t *rec, uint64_t now_ms,
			       ffl_actions_t *out)
{
	ffl_status_t status =
		ffl_snapshots_add_part(&h->snapshots, offset, rec);

	if (status == FFL_INVALID) {
		ffl_counter_add(h->counters, FFL_CTR_SNAPSHOTS_DAMAGED, 1);
		ffl_actions_report(out, FFL_LEVEL_ERROR, "snapshot-damaged",
				   h->opt.self.name,
				   "snapshot part %u at record %llu is invalid",
				   rec->snapshot.part,
				   (unsigned long long)offset);
	}
	if (status == FFL_OK)
		h->last_snapshot_ms = now_ms;
}

/* The leader of the first cell that has one writes the snapshots. Two writers
 * during a change of leader are harmless. */
static bool writes_snapshots(const ffl_host_t *h)
{
	for (guint i = 0; i < h->members.cells->len; i++) {
		const ffl_cell_t *c =
			&g_array_index(h->members.cells, ffl_cell_t, i);

		if (c->member)
			return c->member == h->opt.self.member;
	}
	return false;
}

void ffl_host_write_snapshot(ffl_host_t *h, uint64_t now_ms, ffl_actions_t *out)
{
	const ffl_snapshot_limits_t *limits = &h->opt.snapshots;
	uint32_t records =
		limits->records ? limits->records : SNAPSHOT_RECORDS_DEFAULT;
	uint32_t interval_ms = limits->interval_ms
				       ? limits->interval_ms
				       : SNAPSHOT_INTERVAL_DEFAULT_MS;
	bool due = now_ms - h->last_snapshot_ms >= interval_ms;
	GByteArray *state;

	if (!h->caught_up || !ffl_logc_reachable(&h->logc) ||
	    !writes_snapshots(h) ||
	    !ffl_logc_lane_idle(&h->logc, FFL_LANE_BULK))
		return;
	if (!due && !ffl_snapshots_due(&h->snapshots, &h->logc, records))
		return;
	if (h->snapshots.last.offset < h->own_snapshot_offset &&
	    now_ms - h->last_snapshot_ms < SNAPSHOT_TIMEOUT_MS)
		return;
	state = g_byte_array_new();
	ffl_host_save(h, state);
	if (ffl_snapshot_append(&h->logc, h->logc.next_offset, state) == FFL_OK)
		ffl_actions_report(out, FFL_LEVEL_NOTE, "snapshot-begun",
				   h->opt.self.name, "%u bytes at record %llu",
				   state->len,
				   (unsigned long long)h->logc.next_offset);
	h->own_snapshot_offset = h->logc.next_offset;
	h->last_snapshot_ms = now_ms;
	g_byte_array_free(state, TRUE);
}
