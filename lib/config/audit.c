/*
 * The audit trail. Each encoded entry is hashed with BLAKE2b, keyed with the
 * hash of the previous entry, so that a changed or missing entry breaks the
 * chain.
 */
#include <string.h>
#include <sodium.h>

#include "lib/config/config_int.h"
#include "lib/wire/fields.h"

static guint audit_lower_bound(const ffl_config_t *cfg, uint64_t revision);
static void drop_oldest(ffl_config_t *cfg);

static const ffl_field_t audit_fields[] = {
	FIELD_U64(ffl_audit_t, revision),
	FIELD_U64(ffl_audit_t, plan),
	FIELD_U64(ffl_audit_t, at_ms),
	FIELD_U64(ffl_audit_t, supersedes),
	FIELD_TEXT(ffl_audit_t, confirmed_by),
};

static const ffl_schema_t audit_schema = SCHEMA(ffl_audit_t, audit_fields);

void ffl_audit_encode(const ffl_audit_t *entry, GByteArray *out)
{
	ffl_schema_encode(&audit_schema, entry, out);
	ffl_schema_encode(&ffl_intent_schema, &entry->intent, out);
	ffl_schema_encode(&ffl_intent_schema, &entry->before, out);
}

ffl_status_t ffl_audit_decode(ffl_bytes_t in, ffl_audit_t *entry,
			      ffl_arena_t *arena, size_t *used_bytes)
{
	const ffl_schema_t *const schemas[] = { &audit_schema,
						&ffl_intent_schema,
						&ffl_intent_schema };
	void *const parts[] = { entry, &entry->intent, &entry->before };

	*used_bytes = 0;
	for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
		ffl_bytes_t rest = { in.data + *used_bytes,
				     in.size_bytes - *used_bytes };
		size_t used = 0;
		ffl_status_t status = ffl_schema_decode(schemas[i], rest,
							parts[i], arena, &used);

		if (status != FFL_OK)
			return status;
		*used_bytes += used;
	}
	return FFL_OK;
}

void ffl_audit_chain_hash(const uint8_t previous[FFL_HASH_BYTES],
			  const ffl_audit_t *entry, GByteArray *scratch,
			  uint8_t chain[FFL_HASH_BYTES])
{
	g_byte_array_set_size(scratch, 0);
	ffl_audit_encode(entry, scratch);
	crypto_generichash(chain, FFL_HASH_BYTES, scratch->data, scratch->len,
			   previous, FFL_HASH_BYTES);
}

static void drop_oldest(ffl_config_t *cfg)
{
	const ffl_audit_t *last =
		g_ptr_array_index(cfg->audit, FFL_AUDIT_DROP_COUNT - 1);

	memcpy(cfg->base, last->chain, sizeof(cfg->base));
	for (guint i = 0; i < FFL_AUDIT_DROP_COUNT; i++) {
		const ffl_audit_t *a = g_ptr_array_index(cfg->audit, i);

		g_hash_table_remove(cfg->by_plan, &a->plan);
	}
	g_ptr_array_remove_range(cfg->audit, 0, FFL_AUDIT_DROP_COUNT);
	cfg->dropped += FFL_AUDIT_DROP_COUNT;
}

void ffl_audit_append(ffl_config_t *cfg, const ffl_audit_t *entry)
{
	ffl_audit_t *a = g_memdup2(entry, sizeof(*entry));
	GByteArray *scratch = g_byte_array_sized_new(1024);

	ffl_audit_chain_hash(cfg->chain, a, scratch, a->chain);
	g_byte_array_free(scratch, TRUE);
	memcpy(cfg->chain, a->chain, sizeof(cfg->chain));
	g_ptr_array_add(cfg->audit, a);
	g_hash_table_insert(cfg->by_plan, &a->plan, a);
	if (cfg->audit->len > FFL_AUDIT_MAX)
		drop_oldest(cfg);
}

static guint audit_lower_bound(const ffl_config_t *cfg, uint64_t revision)
{
	guint low = 0;
	guint high = cfg->audit->len;

	while (low < high) {
		guint mid = low + (high - low) / 2;
		const ffl_audit_t *a = g_ptr_array_index(cfg->audit, mid);

		if (a->revision < revision)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

const ffl_audit_t *ffl_config_audit(const ffl_config_t *cfg, uint64_t revision)
{
	guint at = audit_lower_bound(cfg, revision);
	const ffl_audit_t *a;

	if (at >= cfg->audit->len)
		return NULL;
	a = g_ptr_array_index(cfg->audit, at);
	return a->revision == revision ? a : NULL;
}

const ffl_audit_t *ffl_config_audit_by_plan(const ffl_config_t *cfg,
					    uint64_t plan)
{
	return g_hash_table_lookup(cfg->by_plan, &plan);
}

const ffl_audit_t *ffl_config_audit_successor(const ffl_config_t *cfg,
					      const ffl_audit_t *a)
{
	for (guint i = audit_lower_bound(cfg, a->revision) + 1;
	     i < cfg->audit->len; i++) {
		const ffl_audit_t *later = g_ptr_array_index(cfg->audit, i);

		if (ffl_image_same_object(&later->before, &a->before))
			return later;
	}
	return NULL;
}

bool ffl_config_verify_audit(const ffl_config_t *cfg)
{
	GByteArray *scratch = g_byte_array_sized_new(1024);
	uint8_t chain[FFL_HASH_BYTES];
	bool intact = true;

	memcpy(chain, cfg->base, sizeof(chain));
	for (guint i = 0; i < cfg->audit->len && intact; i++) {
		const ffl_audit_t *a = g_ptr_array_index(cfg->audit, i);
		uint8_t next[FFL_HASH_BYTES];

		ffl_audit_chain_hash(chain, a, scratch, next);
		intact = memcmp(next, a->chain, sizeof(next)) == 0;
		memcpy(chain, next, sizeof(chain));
	}
	g_byte_array_free(scratch, TRUE);
	return intact && memcmp(chain, cfg->chain, sizeof(chain)) == 0;
}
