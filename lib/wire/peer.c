/**
 * @file peer.c
 * @brief Schemas of the messages between entry hosts.
 */
#include "fireflyledge/peer.h"
#include "lib/wire/fields.h"

static const char *const peer_kind_names[FFL_PEER__MAX] = {
	[FFL_PEER_HEARTBEAT] = "heartbeat", [FFL_PEER_STATE_ASK] = "state-ask",
	[FFL_PEER_STATE] = "state",	    [FFL_PEER_ONCE_ASK] = "once-ask",
	[FFL_PEER_ONCE_TELL] = "once-tell", [FFL_PEER_ONCE_DONE] = "once-done",
	[FFL_PEER_HANDOVER] = "handover",   [FFL_PEER_LOAD] = "load",
	[FFL_PEER_DIGEST] = "digest",
};

static const ffl_field_t head_fields[] = {
	FIELD_U32(ffl_peer_head_t, version, 0),
	FIELD_U64(ffl_peer_head_t, cluster),
	FIELD_U32(ffl_peer_head_t, kind, 0),
	FIELD_U64(ffl_peer_head_t, from),
	FIELD_U64(ffl_peer_head_t, to),
	FIELD_U64(ffl_peer_head_t, seq),
};

static const ffl_field_t heartbeat_fields[] = {
	FIELD_U64(ffl_heartbeat_t, revision),
	FIELD_U64(ffl_heartbeat_t, next_offset),
	FIELD_BOOL(ffl_heartbeat_t, log_reachable),
	FIELD_BOOL(ffl_heartbeat_t, leaving),
};

static const ffl_field_t state_ask_fields[] = {
	FIELD_U64(ffl_state_ask_t, offset),
	FIELD_TEXT(ffl_state_ask_t, addr),
};

static const ffl_field_t state_fields[] = {
	FIELD_U64(ffl_state_part_t, offset),
	FIELD_U32(ffl_state_part_t, part, 0),
	FIELD_U32(ffl_state_part_t, parts, 0),
	FIELD_U64(ffl_state_part_t, hash),
	FIELD_BLOB(ffl_state_part_t, data, FFL_STATE_PART_BYTES),
};

static const ffl_schema_t state_ask_schema =
	SCHEMA(ffl_state_ask_t, state_ask_fields);
static const ffl_schema_t state_schema = SCHEMA(ffl_state_part_t, state_fields);

static const ffl_field_t once_ask_fields[] = {
	FIELD_U64(ffl_once_ask_t, request),
	FIELD_U64(ffl_once_ask_t, key_a),
	FIELD_U64(ffl_once_ask_t, key_b),
	FIELD_U64(ffl_once_ask_t, payload_hash),
	FIELD_U64(ffl_once_ask_t, view),
	FIELD_U32(ffl_once_ask_t, timeout_ms, 0),
};

static const ffl_field_t once_tell_fields[] = {
	FIELD_U64(ffl_once_tell_t, request),
	FIELD_U32(ffl_once_tell_t, verdict, 0),
	FIELD_U32(ffl_once_tell_t, http_status, 0),
	FIELD_TEXT(ffl_once_tell_t, content_type),
	FIELD_BLOB(ffl_once_tell_t, answer, FFL_ANSWER_BYTES_MAX),
};

static const ffl_field_t once_row_fields[] = {
	FIELD_U64(ffl_once_row_t, key_a),
	FIELD_U64(ffl_once_row_t, key_b),
	FIELD_U64(ffl_once_row_t, payload_hash),
	FIELD_U64(ffl_once_row_t, origin),
	FIELD_U64(ffl_once_row_t, request),
	FIELD_U32(ffl_once_row_t, state, 0),
	FIELD_U32(ffl_once_row_t, age_ms, 0),
	FIELD_U32(ffl_once_row_t, run_left_ms, 0),
	FIELD_U32(ffl_once_row_t, http_status, 0),
	FIELD_TEXT(ffl_once_row_t, content_type),
	FIELD_BLOB(ffl_once_row_t, answer, FFL_ANSWER_BYTES_MAX),
};

static const ffl_field_t once_done_fields[] = {
	FIELD_U64(ffl_once_done_t, row.key_a),
	FIELD_U64(ffl_once_done_t, row.key_b),
	FIELD_U64(ffl_once_done_t, row.payload_hash),
	FIELD_U64(ffl_once_done_t, row.origin),
	FIELD_U64(ffl_once_done_t, row.request),
	FIELD_U32(ffl_once_done_t, row.state, 0),
	FIELD_U32(ffl_once_done_t, row.age_ms, 0),
	FIELD_U32(ffl_once_done_t, row.run_left_ms, 0),
	FIELD_U32(ffl_once_done_t, row.http_status, 0),
	FIELD_TEXT(ffl_once_done_t, row.content_type),
	FIELD_BLOB(ffl_once_done_t, row.answer, FFL_ANSWER_BYTES_MAX),
	FIELD_U32(ffl_once_done_t, hops, 0),
};

static const ffl_schema_t once_row_schema =
	SCHEMA(ffl_once_row_t, once_row_fields);

static const ffl_field_t handover_fields[] = {
	FIELD_U64(ffl_handover_t, view),
	FIELD_U64(ffl_handover_t, from_cursor),
	FIELD_U64(ffl_handover_t, to_cursor),
	FIELD_BOOL(ffl_handover_t, ack),
	FIELD_BOOL(ffl_handover_t, complete),
	FIELD_BOOL(ffl_handover_t, final),
	FIELD_LIST(ffl_handover_t, rows, FFL_HANDOVER_ROWS_MAX,
		   &once_row_schema),
};

static const ffl_field_t load_fields[] = {
	FIELD_U64(ffl_load_t, stamp_ms),
	FIELD_U64(ffl_load_t, echo_ms),
	FIELD_U64(ffl_load_t, view),
	FIELD_U32(ffl_load_t, slots_taint_ms, 0),
	FIELD_U32(ffl_load_t, keys_taint_ms, 0),
	FIELD_BOOL(ffl_load_t, log_fresh),
	FIELD_BOOL(ffl_load_t, slots_settled),
	FIELD_BOOL(ffl_load_t, slots_rooted),
	FIELD_BOOL(ffl_load_t, keys_settled),
	FIELD_BOOL(ffl_load_t, keys_rooted),
	FIELD_BOOL(ffl_load_t, final),
};

static const ffl_schema_t once_ask_schema =
	SCHEMA(ffl_once_ask_t, once_ask_fields);
static const ffl_schema_t once_tell_schema =
	SCHEMA(ffl_once_tell_t, once_tell_fields);
static const ffl_schema_t once_done_schema =
	SCHEMA(ffl_once_done_t, once_done_fields);
static const ffl_schema_t handover_schema =
	SCHEMA(ffl_handover_t, handover_fields);
static const ffl_schema_t load_schema = SCHEMA(ffl_load_t, load_fields);
static const ffl_schema_t head_schema = SCHEMA(ffl_peer_head_t, head_fields);
static const ffl_schema_t heartbeat_schema =
	SCHEMA(ffl_heartbeat_t, heartbeat_fields);

static const ffl_schema_t *const peer_schemas[FFL_PEER__MAX] = {
	[FFL_PEER_HEARTBEAT] = &heartbeat_schema,
	[FFL_PEER_STATE_ASK] = &state_ask_schema,
	[FFL_PEER_STATE] = &state_schema,
	[FFL_PEER_ONCE_ASK] = &once_ask_schema,
	[FFL_PEER_ONCE_TELL] = &once_tell_schema,
	[FFL_PEER_ONCE_DONE] = &once_done_schema,
	[FFL_PEER_HANDOVER] = &handover_schema,
	[FFL_PEER_LOAD] = &load_schema,
};

const char *ffl_peer_kind_name(uint32_t kind)
{
	return kind < FFL_PEER__MAX ? peer_kind_names[kind] : "?";
}

void ffl_peer_encode(const ffl_peer_msg_t *msg, GByteArray *out)
{
	const ffl_schema_t *body = peer_schemas[msg->head.kind];

	ffl_schema_encode(&head_schema, &msg->head, out);
	if (body)
		ffl_schema_encode(body, &msg->heartbeat, out);
}

ffl_status_t ffl_peer_decode(ffl_bytes_t in, ffl_peer_msg_t *msg,
			     ffl_arena_t *arena)
{
	ffl_status_t status;
	size_t used = 0;

	if (in.size_bytes > FFL_FRAME_BYTES_MAX)
		return FFL_INVALID;
	status = ffl_schema_decode(&head_schema, in, &msg->head, arena, &used);
	if (status != FFL_OK)
		return status;
	if (msg->head.version != FFL_PEER_VERSION ||
	    msg->head.kind >= FFL_PEER__MAX || !peer_schemas[msg->head.kind])
		return FFL_NOT_FOUND;
	in.data += used;
	in.size_bytes -= used;
	return ffl_schema_decode(peer_schemas[msg->head.kind], in,
				 &msg->heartbeat, arena, NULL);
}
