/**
 * @file finding.c
 * @brief Findings: messages, levels, list and text form.
 */
#include <stdarg.h>
#include <stdio.h>

#include "fireflyledge/finding.h"
#include "fireflyledge/types.h"

/** Stable name, description and level of a message. */
typedef struct {
	const char *name;
	const char *text;
	ffl_level_t level;
} msg_info_t;

static const char *const level_names[FFL_LEVEL__MAX] = {
	[FFL_LEVEL_NOTE] = "note",
	[FFL_LEVEL_WARNING] = "warning",
	[FFL_LEVEL_ERROR] = "error",
};

static const msg_info_t msg_infos[FFL_MSG__MAX] = {
	[FFL_MSG_UNKNOWN_KEY] = { "unknown-key", "unknown key",
				  FFL_LEVEL_ERROR },
	[FFL_MSG_UNKNOWN_SECTION] = { "unknown-section", "unknown section",
				      FFL_LEVEL_ERROR },
	[FFL_MSG_DUPLICATE_SECTION] = { "duplicate-section",
					"section appears twice",
					FFL_LEVEL_ERROR },
	[FFL_MSG_DUPLICATE_KEY] = { "duplicate-key", "key appears twice",
				    FFL_LEVEL_ERROR },
	[FFL_MSG_BAD_SYNTAX] = { "bad-syntax", "cannot be parsed",
				 FFL_LEVEL_ERROR },
	[FFL_MSG_BAD_NUMBER] = { "bad-number", "not a number",
				 FFL_LEVEL_ERROR },
	[FFL_MSG_BAD_UNIT] = { "bad-unit", "unknown or missing unit",
			       FFL_LEVEL_ERROR },
	[FFL_MSG_OUT_OF_RANGE] = { "out-of-range", "value out of range",
				   FFL_LEVEL_ERROR },
	[FFL_MSG_TOO_LONG] = { "too-long", "value too long", FFL_LEVEL_ERROR },
	[FFL_MSG_MISSING] = { "missing", "required value is missing",
			      FFL_LEVEL_ERROR },
	[FFL_MSG_BAD_VALUE] = { "bad-value", "value not allowed",
				FFL_LEVEL_ERROR },
	[FFL_MSG_UNKNOWN_CUSTOMER] = { "unknown-customer",
				       "customer does not exist",
				       FFL_LEVEL_ERROR },
	[FFL_MSG_UNKNOWN_HOST] = { "unknown-host", "host does not exist",
				   FFL_LEVEL_WARNING },
	[FFL_MSG_UNKNOWN_DC] = { "unknown-dc", "data centre does not exist",
				 FFL_LEVEL_WARNING },
	[FFL_MSG_GUARANTEE_UNMET] = { "guarantee-unmet",
				      "guarantee cannot be met",
				      FFL_LEVEL_ERROR },
	[FFL_MSG_WOULD_PREEMPT] = { "would-preempt", "job would be preempted",
				    FFL_LEVEL_WARNING },
	[FFL_MSG_CAPACITY_AFTER] = { "capacity-after",
				     "capacity after the change",
				     FFL_LEVEL_NOTE },
	[FFL_MSG_BLAST_RADIUS] = { "blast-radius",
				   "change affects much of the fleet",
				   FFL_LEVEL_WARNING },
	[FFL_MSG_STALE_PLAN] = { "stale-plan",
				 "configuration changed since the plan",
				 FFL_LEVEL_ERROR },
	[FFL_MSG_UNKNOWN_PLAN] = { "unknown-plan", "plan does not exist",
				   FFL_LEVEL_ERROR },
	[FFL_MSG_FOREIGN_CLUSTER] = { "foreign-cluster",
				      "record of another cluster",
				      FFL_LEVEL_ERROR },
	[FFL_MSG_IMPOSSIBLE_JOB] = { "impossible-job",
				     "job can never be placed",
				     FFL_LEVEL_ERROR },
	[FFL_MSG_NEAREST_SHAPE] = { "nearest-shape", "nearest possible shape",
				    FFL_LEVEL_NOTE },
	[FFL_MSG_NO_CHANGE] = { "no-change", "intent changes nothing",
				FFL_LEVEL_NOTE },
};

void ffl_findings_init(ffl_findings_t *fs, const char *source)
{
	ffl_copy(fs->source, sizeof(fs->source), source);
	fs->items = g_array_new(FALSE, TRUE, sizeof(ffl_finding_t));
	fs->errors = 0;
}

void ffl_findings_finish(ffl_findings_t *fs)
{
	g_array_free(fs->items, TRUE);
	fs->items = NULL;
}

void ffl_findings_add(ffl_findings_t *fs, ffl_msg_t msg, const char *key,
		      uint32_t line, uint32_t column, const char *fmt, ...)
{
	ffl_finding_t f = { .msg = msg, .level = msg_infos[msg].level };
	va_list ap;

	ffl_copy(f.source, sizeof(f.source), fs->source);
	ffl_copy(f.key, sizeof(f.key), key ? key : "");
	f.line = line;
	f.column = column;
	va_start(ap, fmt);
	vsnprintf(f.detail, sizeof(f.detail), fmt, ap);
	va_end(ap);
	if (f.level == FFL_LEVEL_ERROR)
		fs->errors++;
	g_array_append_val(fs->items, f);
}

uint32_t ffl_findings_count(const ffl_findings_t *fs)
{
	return fs->items->len;
}

const ffl_finding_t *ffl_findings_at(const ffl_findings_t *fs, uint32_t i)
{
	return &g_array_index(fs->items, ffl_finding_t, i);
}

const char *ffl_msg_name(ffl_msg_t msg)
{
	return msg < FFL_MSG__MAX ? msg_infos[msg].name : "?";
}

const char *ffl_msg_text(ffl_msg_t msg)
{
	return msg < FFL_MSG__MAX ? msg_infos[msg].text : "?";
}

const char *ffl_level_name(ffl_level_t level)
{
	return level < FFL_LEVEL__MAX ? level_names[level] : "?";
}

void ffl_finding_format(const ffl_finding_t *f, GString *out)
{
	g_string_append(out, f->source);
	if (f->line)
		g_string_append_printf(out, ":%u", f->line);
	if (f->column)
		g_string_append_printf(out, ":%u", f->column);
	g_string_append_printf(out, ": %s: ", ffl_level_name(f->level));
	if (f->key[0])
		g_string_append_printf(out, "%s: ", f->key);
	g_string_append(out, ffl_msg_text(f->msg));
	if (f->detail[0])
		g_string_append_printf(out, ": %s", f->detail);
}
