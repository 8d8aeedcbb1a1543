#include <string.h>
#include <msgpack.h>

#include "lib/node/node_int.h"
#include "lib/wire/pack.h"

/** Number of fields that a leadership record must have. */
#define LEAD_FIELDS 5
/** With the holder's size and earlier leaders' leases, added later. */
#define LEAD_FIELDS_WRITTEN 7

static uint32_t optional_u32(const msgpack_object_array *fields,
			     uint32_t index);

ffl_write_t *ffl_lead_encode(const ffl_node_t *n, uint64_t token, bool resigned)
{
	ffl_write_t *w = ffl_write_new('\0', KEY_LEAD);
	msgpack_packer pk;

	msgpack_packer_init(&pk, w->value, ffl_wire_write);
	msgpack_pack_array(&pk, LEAD_FIELDS_WRITTEN);
	msgpack_pack_str(&pk, strlen(n->opt.name));
	msgpack_pack_str_body(&pk, n->opt.name, strlen(n->opt.name));
	msgpack_pack_uint64(&pk, n->incarnation);
	msgpack_pack_uint64(&pk, token);
	msgpack_pack_uint64(&pk, n->lead.append_number);
	msgpack_pack_uint8(&pk, resigned);
	msgpack_pack_uint32(&pk, n->opt.size_milli);
	msgpack_pack_uint32(&pk, ffl_lead_earlier_lease_ms(n));
	return w;
}

/* Returns 0 for a field that an earlier version has not written. */
static uint32_t optional_u32(const msgpack_object_array *fields, uint32_t index)
{
	if (fields->size <= index ||
	    fields->ptr[index].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return 0;
	return (uint32_t)MIN(fields->ptr[index].via.u64, UINT32_MAX);
}

bool ffl_lead_decode(ffl_bytes_t in, ffl_lead_record_t *out)
{
	msgpack_unpacked msg;
	const msgpack_object_array *fields;
	const msgpack_object *f;
	bool ok;

	memset(out, 0, sizeof(*out));
	msgpack_unpacked_init(&msg);
	fields = ffl_wire_unpack_array(in, &msg);
	ok = fields && fields->size >= LEAD_FIELDS;
	if (ok) {
		f = fields->ptr;
		ok = f[0].type == MSGPACK_OBJECT_STR &&
		     f[0].via.str.size < sizeof(out->holder);
		for (int i = 1; i < LEAD_FIELDS; i++)
			ok = ok && f[i].type == MSGPACK_OBJECT_POSITIVE_INTEGER;
		if (ok) {
			memcpy(out->holder, f[0].via.str.ptr,
			       f[0].via.str.size);
			out->incarnation = f[1].via.u64;
			out->token = f[2].via.u64;
			out->append_number = f[3].via.u64;
			out->resigned = f[4].via.u64 != 0;
			out->size_milli = optional_u32(fields, LEAD_FIELDS);
			out->earlier_lease_ms =
				optional_u32(fields, LEAD_FIELDS + 1);
		}
	}
	msgpack_unpacked_destroy(&msg);
	return ok;
}
