/**
 * @file record.c
 * @brief Schemas of the records on the log.
 */
#include <string.h>

#include "fireflyledge/record.h"
#include "lib/wire/fields.h"

static const char *const rec_kind_names[FFL_REC__MAX] = {
	[FFL_REC_INTENT] = "intent",
	[FFL_REC_CONFIRM] = "confirm",
	[FFL_REC_JOIN] = "join",
	[FFL_REC_LEAVE] = "leave",
	[FFL_REC_LEAD] = "lead",
	[FFL_REC_JOB] = "job",
	[FFL_REC_JOB_CANCEL] = "job-cancel",
	[FFL_REC_JOB_END] = "job-end",
	[FFL_REC_SNAPSHOT] = "snapshot",
	[FFL_REC_JOB_MOVE] = "job-move",
};

static const char *const intent_kind_names[FFL_INTENT__MAX] = {
	[FFL_INTENT_GUARANTEE] = "guarantee",
	[FFL_INTENT_ORDER] = "order",
	[FFL_INTENT_DRAIN] = "drain",
	[FFL_INTENT_UNDRAIN] = "undrain",
	[FFL_INTENT_CUSTOMER] = "customer",
	[FFL_INTENT_OPERATOR] = "operator",
	[FFL_INTENT_LIMIT] = "limit",
	[FFL_INTENT_WITHDRAW] = "withdraw",
};

static const char *const end_names[FFL_END__MAX] = {
	[FFL_END_DONE] = "done",
	[FFL_END_FAILED] = "failed",
	[FFL_END_CANCELLED] = "cancelled",
	[FFL_END_IMPOSSIBLE] = "impossible",
};

static const ffl_field_t head_fields[] = {
	FIELD_U32(ffl_record_t, version, 0), FIELD_U64(ffl_record_t, cluster),
	FIELD_U32(ffl_record_t, kind, 0),    FIELD_U64(ffl_record_t, writer),
	FIELD_U64(ffl_record_t, seq),	     FIELD_U64(ffl_record_t, at_ms),
	FIELD_U64(ffl_record_t, base),
};

static const ffl_field_t intent_fields[] = {
	FIELD_ENUM(ffl_intent_t, kind, FFL_INTENT__MAX, ffl_intent_kind_name),
	FIELD_TEXT(ffl_intent_t, name),
	FIELD_TEXT(ffl_intent_t, dc),
	FIELD_U32(ffl_intent_t, count, FFL_SHAPE_COUNT_MAX),
	FIELD_U32(ffl_intent_t, accelerators,
		  FFL_GANG_MAX *FFL_WORKER_SLOTS_MAX),
	FIELD_ENUM(ffl_intent_t, adjacency, FFL_ADJ__MAX,
		   ffl_field_adjacency_name),
	FIELD_TEXT(ffl_intent_t, order),
	FIELD_HASH(ffl_intent_t, token_hash),
	FIELD_U32(ffl_intent_t, weight, FFL_RATE_MAX),
	FIELD_U32(ffl_intent_t, quota_accelerators, FFL_QUOTA_MAX),
	FIELD_U32(ffl_intent_t, rate_per_s, FFL_RATE_MAX),
	FIELD_U32(ffl_intent_t, burst, FFL_RATE_MAX),
	FIELD_U32(ffl_intent_t, concurrent, FFL_RATE_MAX),
	FIELD_U64(ffl_intent_t, revision),
	FIELD_TEXT(ffl_intent_t, reason),
	FIELD_TEXT(ffl_intent_t, who),
	FIELD_BOOL(ffl_intent_t, remove),
};

static const ffl_field_t confirm_fields[] = {
	FIELD_U64(ffl_confirm_t, plan),
	FIELD_U64(ffl_confirm_t, revision),
	FIELD_TEXT(ffl_confirm_t, who),
	FIELD_U32(ffl_confirm_t, blast_radius, 0),
	FIELD_U64(ffl_confirm_t, unreadable),
};

static const ffl_field_t join_fields[] = {
	FIELD_U64(ffl_join_t, member),	   FIELD_TEXT(ffl_join_t, name),
	FIELD_TEXT(ffl_join_t, dc),	   FIELD_TEXT(ffl_join_t, region),
	FIELD_TEXT(ffl_join_t, peer_addr), FIELD_U32(ffl_join_t, expiry_ms, 0),
};

static const ffl_field_t leave_fields[] = {
	FIELD_U64(ffl_leave_t, member),
	FIELD_U64(ffl_leave_t, joined),
};

static const ffl_field_t lead_fields[] = {
	FIELD_U64(ffl_lead_t, member),
	FIELD_TEXT(ffl_lead_t, dc),
	FIELD_U64(ffl_lead_t, previous_epoch),
};

static const ffl_field_t job_fields[] = {
	FIELD_TEXT(ffl_job_spec_t, customer),
	FIELD_TEXT(ffl_job_spec_t, name),
	FIELD_TEXT(ffl_job_spec_t, kind),
	FIELD_TEXT(ffl_job_spec_t, dc),
	FIELD_U32(ffl_job_spec_t, accelerators,
		  FFL_GANG_MAX *FFL_WORKER_SLOTS_MAX),
	FIELD_ENUM(ffl_job_spec_t, adjacency, FFL_ADJ__MAX,
		   ffl_field_adjacency_name),
	FIELD_ENUM(ffl_job_spec_t, urgency, FFL_URGENCY__MAX,
		   ffl_field_urgency_name),
	FIELD_U32(ffl_job_spec_t, declared_ms, 0),
	FIELD_U32(ffl_job_spec_t, cores, 0),
	FIELD_U32(ffl_job_spec_t, memory_mb, 0),
	FIELD_BOOL(ffl_job_spec_t, checkpointable),
	FIELD_TEXT(ffl_job_spec_t, payload),
	FIELD_TEXT(ffl_job_spec_t, cell),
};

static const ffl_field_t job_cancel_fields[] = {
	FIELD_U64(ffl_job_cancel_t, job),
	FIELD_TEXT(ffl_job_cancel_t, who),
};

static const ffl_field_t job_end_fields[] = {
	FIELD_U64(ffl_job_end_t, job),
	FIELD_U64(ffl_job_end_t, epoch),
	FIELD_ENUM(ffl_job_end_t, end, FFL_END__MAX, ffl_end_name),
	FIELD_U64(ffl_job_end_t, incarnation),
	FIELD_TEXT(ffl_job_end_t, result),
};

static const ffl_field_t job_move_fields[] = {
	FIELD_U64(ffl_job_move_t, job),
	FIELD_TEXT(ffl_job_move_t, from),
	FIELD_TEXT(ffl_job_move_t, to),
	FIELD_U64(ffl_job_move_t, epoch),
};

static const ffl_field_t snapshot_fields[] = {
	FIELD_U64(ffl_snapshot_part_t, offset),
	FIELD_U32(ffl_snapshot_part_t, part, 0),
	FIELD_U32(ffl_snapshot_part_t, parts, 0),
	FIELD_U64(ffl_snapshot_part_t, hash),
	FIELD_BLOB(ffl_snapshot_part_t, data, FFL_RECORD_BYTES_MAX),
};

static const ffl_schema_t head_schema = SCHEMA(ffl_record_t, head_fields);
const ffl_schema_t ffl_intent_schema = SCHEMA(ffl_intent_t, intent_fields);
const ffl_schema_t ffl_confirm_schema = SCHEMA(ffl_confirm_t, confirm_fields);
const ffl_schema_t ffl_job_spec_schema = SCHEMA(ffl_job_spec_t, job_fields);
static const ffl_schema_t join_schema = SCHEMA(ffl_join_t, join_fields);
static const ffl_schema_t leave_schema = SCHEMA(ffl_leave_t, leave_fields);
static const ffl_schema_t lead_schema = SCHEMA(ffl_lead_t, lead_fields);
static const ffl_schema_t job_cancel_schema =
	SCHEMA(ffl_job_cancel_t, job_cancel_fields);
static const ffl_schema_t job_end_schema =
	SCHEMA(ffl_job_end_t, job_end_fields);
static const ffl_schema_t job_move_schema =
	SCHEMA(ffl_job_move_t, job_move_fields);
static const ffl_schema_t snapshot_schema =
	SCHEMA(ffl_snapshot_part_t, snapshot_fields);

static const ffl_schema_t *const rec_schemas[FFL_REC__MAX] = {
	[FFL_REC_INTENT] = &ffl_intent_schema,
	[FFL_REC_CONFIRM] = &ffl_confirm_schema,
	[FFL_REC_JOIN] = &join_schema,
	[FFL_REC_LEAVE] = &leave_schema,
	[FFL_REC_LEAD] = &lead_schema,
	[FFL_REC_JOB] = &ffl_job_spec_schema,
	[FFL_REC_JOB_CANCEL] = &job_cancel_schema,
	[FFL_REC_JOB_END] = &job_end_schema,
	[FFL_REC_SNAPSHOT] = &snapshot_schema,
	[FFL_REC_JOB_MOVE] = &job_move_schema,
};

const ffl_schema_t *ffl_record_schema(ffl_rec_kind_t kind)
{
	return kind < FFL_REC__MAX ? rec_schemas[kind] : NULL;
}

const char *ffl_rec_kind_name(uint32_t kind)
{
	return kind < FFL_REC__MAX ? rec_kind_names[kind] : "?";
}

const char *ffl_intent_kind_name(uint32_t kind)
{
	return kind < FFL_INTENT__MAX ? intent_kind_names[kind] : "?";
}

const char *ffl_end_name(uint32_t end)
{
	return end < FFL_END__MAX ? end_names[end] : "?";
}

void ffl_record_encode_head(const ffl_record_t *rec, GByteArray *out)
{
	ffl_schema_encode(&head_schema, rec, out);
}

void ffl_record_encode_body(const ffl_record_t *rec, GByteArray *out)
{
	const ffl_schema_t *body = ffl_record_schema(rec->kind);

	if (body)
		ffl_schema_encode(body, &rec->intent, out);
}

void ffl_record_encode(const ffl_record_t *rec, GByteArray *out)
{
	ffl_record_encode_head(rec, out);
	ffl_record_encode_body(rec, out);
}

ffl_status_t ffl_record_decode(ffl_bytes_t in, ffl_record_t *rec,
			       ffl_arena_t *arena)
{
	const ffl_schema_t *body;
	ffl_status_t status;
	size_t used = 0;

	if (in.size_bytes > FFL_RECORD_BYTES_MAX)
		return FFL_INVALID;
	status = ffl_schema_decode(&head_schema, in, rec, arena, &used);
	if (status != FFL_OK)
		return status;
	body = ffl_record_schema(rec->kind);
	if (!body || rec->version > FFL_RECORD_VERSION)
		return FFL_NOT_FOUND;
	in.data += used;
	in.size_bytes -= used;
	return ffl_schema_decode(body, in, &rec->intent, arena, NULL);
}
