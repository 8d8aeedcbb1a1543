/*
 * Scopes: the parts of the configuration that a plan depends on. A plan can be
 * confirmed as long as none of its scopes changed since it was shown.
 */
#include <string.h>

#include "lib/config/config_int.h"

static void add_scope(ffl_scope_t *scopes, uint32_t *count,
		      ffl_scope_kind_t kind, const char *name);
static gint compare_revisions(gconstpointer a, gconstpointer b);
static void forget_oldest_scopes(ffl_config_t *cfg);

static void add_scope(ffl_scope_t *scopes, uint32_t *count,
		      ffl_scope_kind_t kind, const char *name)
{
	ffl_scope_t *s = &scopes[(*count)++];

	memset(s, 0, sizeof(*s));
	s->kind = kind;
	ffl_copy(s->name, sizeof(s->name), name);
}

uint32_t ffl_intent_scopes(const ffl_config_t *cfg, const ffl_intent_t *intent,
			   ffl_scope_t scopes[FFL_INTENT_SCOPES_MAX])
{
	const ffl_audit_t *withdrawn;
	uint32_t n = 0;

	switch (intent->kind) {
	case FFL_INTENT_GUARANTEE:
		add_scope(scopes, &n, FFL_SCOPE_CELL, intent->dc);
		add_scope(scopes, &n, FFL_SCOPE_CUSTOMER, intent->name);
		break;
	case FFL_INTENT_DRAIN:
	case FFL_INTENT_UNDRAIN:
		add_scope(scopes, &n, FFL_SCOPE_CELL, intent->dc);
		add_scope(scopes, &n, FFL_SCOPE_HOST, intent->name);
		break;
	case FFL_INTENT_CUSTOMER:
	case FFL_INTENT_LIMIT:
		add_scope(scopes, &n, FFL_SCOPE_CUSTOMER, intent->name);
		break;
	case FFL_INTENT_OPERATOR:
		add_scope(scopes, &n, FFL_SCOPE_OPERATOR, intent->name);
		break;
	case FFL_INTENT_ORDER:
		add_scope(scopes, &n, FFL_SCOPE_ORDER, "");
		break;
	default:
		withdrawn = ffl_config_audit(cfg, intent->revision);
		if (withdrawn)
			return ffl_intent_scopes(cfg, &withdrawn->before,
						 scopes);
		break;
	}
	return n;
}

static gint compare_revisions(gconstpointer pa, gconstpointer pb)
{
	uint64_t a = *(const uint64_t *)pa;
	uint64_t b = *(const uint64_t *)pb;

	return (a > b) - (a < b);
}

/* Drops the FFL_SCOPES_DROP_COUNT oldest scopes. Plans shown before the newest
 * of these then conflict, since its changes are no longer known by scope. */
static void forget_oldest_scopes(ffl_config_t *cfg)
{
	GArray *revisions = g_array_sized_new(FALSE, FALSE, sizeof(uint64_t),
					      cfg->scopes->len);

	for (guint i = 0; i < cfg->scopes->len; i++)
		g_array_append_val(
			revisions,
			g_array_index(cfg->scopes, ffl_scope_t, i).revision);
	g_array_sort(revisions, compare_revisions);
	cfg->scope_floor =
		g_array_index(revisions, uint64_t, FFL_SCOPES_DROP_COUNT - 1);
	for (guint i = cfg->scopes->len; i-- > 0;) {
		if (g_array_index(cfg->scopes, ffl_scope_t, i).revision <=
		    cfg->scope_floor)
			g_array_remove_index(cfg->scopes, i);
	}
	g_array_free(revisions, TRUE);
}

void ffl_scopes_mark_changed(ffl_config_t *cfg, const ffl_scope_t *scopes,
			     uint32_t count, uint64_t revision)
{
	for (uint32_t i = 0; i < count; i++) {
		ffl_scope_t *s = ffl_sorted_get_or_insert(
			cfg->scopes, &scopes[i], ffl_compare_scopes);

		s->revision = revision;
		if (cfg->scopes->len > FFL_SCOPES_MAX)
			forget_oldest_scopes(cfg);
	}
}

uint64_t ffl_config_newest_conflict(const ffl_config_t *cfg,
				    const ffl_intent_t *intent,
				    uint64_t revision)
{
	ffl_scope_t scopes[FFL_INTENT_SCOPES_MAX];
	uint32_t n = ffl_intent_scopes(cfg, intent, scopes);
	uint64_t newest = 0;

	if (revision < cfg->scope_floor)
		newest = cfg->scope_floor;
	for (uint32_t i = 0; i < n; i++) {
		const ffl_scope_t *s = ffl_sorted_find(cfg->scopes, &scopes[i],
						       ffl_compare_scopes);

		if (s && s->revision > revision && s->revision > newest)
			newest = s->revision;
	}
	return newest;
}
