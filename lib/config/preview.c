/*
 * Previews: what an intent changes, and whether it can take effect.
 */
#include <string.h>

#include "lib/config/config_int.h"

static ffl_status_t preview_withdraw(const ffl_config_t *cfg,
				     const ffl_intent_t *in,
				     ffl_intent_t *before, ffl_intent_t *after,
				     const char **detail,
				     uint64_t *conflict_revision);
static void apply_intent(ffl_intent_t *after, const ffl_intent_t *in);
static bool has_guarantee(const ffl_config_t *cfg, const char *customer);
static ffl_status_t check_references(const ffl_config_t *cfg,
				     const ffl_intent_t *after,
				     const char **detail);

/* Applies an intent to the image of its object. */
static void apply_intent(ffl_intent_t *after, const ffl_intent_t *in)
{
	switch (in->kind) {
	case FFL_INTENT_GUARANTEE:
		after->count = in->count;
		after->remove = !in->count;
		break;
	case FFL_INTENT_ORDER:
		memcpy(after->order, in->order, sizeof(after->order));
		after->remove = false;
		break;
	case FFL_INTENT_DRAIN:
	case FFL_INTENT_UNDRAIN:
		after->remove = in->kind == FFL_INTENT_UNDRAIN;
		break;
	case FFL_INTENT_CUSTOMER:
		memcpy(after->token_hash, in->token_hash,
		       sizeof(after->token_hash));
		after->weight = in->weight ? in->weight : 1;
		after->quota_accelerators = in->quota_accelerators;
		after->remove = in->remove;
		break;
	case FFL_INTENT_OPERATOR:
		memcpy(after->token_hash, in->token_hash,
		       sizeof(after->token_hash));
		after->remove = in->remove;
		break;
	default:
		after->rate_per_s = in->rate_per_s;
		after->burst = in->burst;
		after->concurrent = in->concurrent;
		break;
	}
}

static bool has_guarantee(const ffl_config_t *cfg, const char *customer)
{
	ffl_guarantee_t key = { .count = 0 };
	guint at;

	ffl_copy(key.customer, sizeof(key.customer), customer);
	at = ffl_sorted_lower_bound(cfg->guarantees, &key,
				    ffl_compare_guarantees);
	return at < cfg->guarantees->len &&
	       strcmp(g_array_index(cfg->guarantees, ffl_guarantee_t, at)
			      .customer,
		      customer) == 0;
}

/* Every guarantee must have an existing customer. */
static ffl_status_t check_references(const ffl_config_t *cfg,
				     const ffl_intent_t *after,
				     const char **detail)
{
	if (after->kind == FFL_INTENT_GUARANTEE && !after->remove &&
	    !ffl_config_customer(cfg, after->name)) {
		*detail = "the customer does not exist";
		return FFL_NOT_FOUND;
	}
	if (after->kind == FFL_INTENT_CUSTOMER && after->remove &&
	    has_guarantee(cfg, after->name)) {
		*detail = "the customer still holds guarantees";
		return FFL_CONFLICT;
	}
	return FFL_OK;
}

/* Only the latest change to an object can be withdrawn: to undo an earlier one
 * would undo the later ones with it. */
static ffl_status_t preview_withdraw(const ffl_config_t *cfg,
				     const ffl_intent_t *in,
				     ffl_intent_t *before, ffl_intent_t *after,
				     const char **detail,
				     uint64_t *conflict_revision)
{
	const ffl_audit_t *a = ffl_config_audit(cfg, in->revision);
	const ffl_audit_t *later;

	if (!a) {
		*detail = "the revision is not in the audit trail";
		return FFL_NOT_FOUND;
	}
	later = ffl_config_audit_successor(cfg, a);
	if (later) {
		*detail = "the revision to withdraw was superseded by a later "
			  "one";
		*conflict_revision = later->revision;
		return FFL_CONFLICT;
	}
	ffl_image_get(cfg, &a->before, before);
	*after = a->before;
	return check_references(cfg, after, detail);
}

ffl_status_t ffl_config_preview(const ffl_config_t *cfg, const ffl_intent_t *in,
				ffl_intent_t *before, ffl_intent_t *after,
				const char **detail,
				uint64_t *conflict_revision)
{
	*detail = "";
	*conflict_revision = 0;
	memset(before, 0, sizeof(*before));
	memset(after, 0, sizeof(*after));
	if (in->kind == FFL_INTENT_WITHDRAW)
		return preview_withdraw(cfg, in, before, after, detail,
					conflict_revision);
	ffl_image_get(cfg, in, before);
	*after = *before;
	if (in->kind == FFL_INTENT_LIMIT && before->remove) {
		*detail = "the customer does not exist";
		return FFL_NOT_FOUND;
	}
	apply_intent(after, in);
	return check_references(cfg, after, detail);
}
