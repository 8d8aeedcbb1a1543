#include <string.h>

#include "fireflyledge/member.h"
#include "fireflyledge/save.h"
#include "lib/wire/fields.h"

/** Limits for decoding, against damaged input. */
#define MEMBERS_MAX 65536
#define CELLS_MAX   4096

static const ffl_field_t member_fields[] = {
	FIELD_U64(ffl_member_t, joined_offset),
	FIELD_U64(ffl_member_t, renewed_offset),
	FIELD_U64(ffl_member_t, join.member),
	FIELD_TEXT(ffl_member_t, join.name),
	FIELD_TEXT(ffl_member_t, join.dc),
	FIELD_TEXT(ffl_member_t, join.region),
	FIELD_TEXT(ffl_member_t, join.peer_addr),
	FIELD_U32(ffl_member_t, join.expiry_ms, 0),
};

static const ffl_field_t cell_fields[] = {
	FIELD_TEXT(ffl_cell_t, dc),
	FIELD_U64(ffl_cell_t, member),
	FIELD_U64(ffl_cell_t, epoch),
};

static const ffl_schema_t member_schema = SCHEMA(ffl_member_t, member_fields);
static const ffl_schema_t cell_schema = SCHEMA(ffl_cell_t, cell_fields);

void ffl_members_save(const ffl_members_t *ms, GByteArray *out)
{
	ffl_save_array(&member_schema, ms->members, out);
	ffl_save_array(&cell_schema, ms->cells, out);
}

/* That a peer's state names a member does not mean that the member is alive. */
void ffl_members_keep_heard_times(ffl_members_t *ms, const ffl_members_t *from)
{
	for (guint i = 0; i < ms->members->len; i++) {
		ffl_member_t *m = &g_array_index(ms->members, ffl_member_t, i);
		const ffl_member_t *known =
			ffl_members_find(from, m->join.member);

		if (known)
			m->heard_ms = known->heard_ms;
	}
}

/* The saved state holds no local times, so every member counts as heard and
 * renewed now. */
ffl_status_t ffl_members_load(ffl_members_t *ms, ffl_bytes_t in,
			      size_t *used_bytes, uint64_t now_ms)
{
	ffl_loader_t l;

	ffl_loader_init(&l, in);
	ffl_load_array(&l, &member_schema, ms->members, MEMBERS_MAX);
	ffl_load_array(&l, &cell_schema, ms->cells, CELLS_MAX);
	for (guint i = 0; i < ms->members->len; i++) {
		ffl_member_t *m = &g_array_index(ms->members, ffl_member_t, i);

		m->heard_ms = now_ms;
		m->renewed_ms = now_ms;
	}
	*used_bytes = l.used_bytes;
	ffl_loader_finish(&l);
	return l.status;
}
