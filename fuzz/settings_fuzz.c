/*
 * The settings file: every wrong line is found with its number, no right
 * line is, and the values of a file without findings are the ones written.
 */
#include <string.h>

#include "fireflyledge/settings.h"
#include "fuzz/fuzz.h"

/** Most lines of one file, and the length of a line that is too long. */
#define LINES_MAX  600
#define LONG_BYTES 4096

/** Kinds of lines; an operation's first byte chooses one. */
typedef enum {
	LINE_VALID,
	LINE_BLANK,
	LINE_COMMENT,
	LINE_UNKNOWN_KEY,
	LINE_PAST_MAX,
	LINE_NO_UNIT,
	LINE_SYNTAX,
	LINE_LONG,
	LINE_BYTES,
	LINE_UNKNOWN_SECTION,
	LINE__MAX
} kind_t;

/** The file that is made, and which of its lines are wrong. */
typedef struct {
	GString *text;
	uint32_t line;
	bool wrong[LINES_MAX];
	bool raw; /**< has a line of any bytes: only harm is looked for */
	bool seen[64];
	char section[FFL_NAME_BYTES];
	bool sections[64];
} file_t;

static void put(file_t *f, bool wrong, const char *fmt, ...)
	G_GNUC_PRINTF(3, 4);
static void enter_section(file_t *f, const ffl_setting_t *s, uint32_t i);
static void put_line(file_t *f, kind_t kind, uint8_t arg);
static void put_required(file_t *f);
static const char *compare(const file_t *f, const ffl_findings_t *fs,
			   ffl_status_t status);
static const char *run(const uint8_t *ops, size_t op_count, GString *trace);

const fuzz_target_t fuzz_target = { "settings", 2, run };

static void put(file_t *f, bool wrong, const char *fmt, ...)
{
	va_list ap;

	if (f->line + 1 >= LINES_MAX)
		return;
	f->line++;
	f->wrong[f->line] = wrong;
	va_start(ap, fmt);
	g_string_append_vprintf(f->text, fmt, ap);
	va_end(ap);
	g_string_append_c(f->text, '\n');
}

/* Entering a section a second time is a fault of that line. */
static void enter_section(file_t *f, const ffl_setting_t *s, uint32_t i)
{
	uint32_t first = i;

	if (strcmp(f->section, s->section) == 0)
		return;
	while (first > 0 &&
	       strcmp(ffl_settings_at(first - 1)->section, s->section) == 0)
		first--;
	put(f, f->sections[first], "[%s]", s->section);
	f->sections[first] = true;
	ffl_copy(f->section, sizeof(f->section), s->section);
}

static const char *valid_value(const ffl_setting_t *s)
{
	static const char *const values[FFL_SET__MAX] = {
		[FFL_SET_NAME] = "a-1",
		[FFL_SET_ADDRESS] = "127.0.0.1:7300",
		[FFL_SET_URL] = "http://127.0.0.1:7300",
		[FFL_SET_HASH] = "",
		[FFL_SET_COUNT] = "8",
	};

	if (s->def && s->def[0])
		return s->def;
	return values[s->type] ? values[s->type] : "";
}

static bool is_number(const ffl_setting_t *s)
{
	return s->type == FFL_SET_COUNT || s->type == FFL_SET_DURATION ||
	       s->type == FFL_SET_SIZE;
}

static void put_pair(file_t *f, uint32_t i, bool wrong, const char *value)
{
	const ffl_setting_t *s = ffl_settings_at(i);

	enter_section(f, s, i);
	put(f, wrong || f->seen[i], "%s = %s", s->key, value);
	f->seen[i] = true;
}

static void put_line(file_t *f, kind_t kind, uint8_t arg)
{
	uint32_t i = arg % ffl_settings_count();
	const ffl_setting_t *s = ffl_settings_at(i);

	switch (kind) {
	case LINE_VALID:
		put_pair(f, i, false, valid_value(s));
		break;
	case LINE_BLANK:
		put(f, false, "%s", arg & 1 ? "" : "   \t");
		break;
	case LINE_COMMENT:
		put(f, false, "%s a comment = x", arg & 1 ? ";" : "  #");
		break;
	case LINE_UNKNOWN_KEY:
		enter_section(f, s, i);
		put(f, true, "no_such_%u = 1", arg);
		break;
	case LINE_PAST_MAX:
		if (is_number(s) && s->max < UINT32_MAX) {
			gchar *v = g_strdup_printf("%u%s", s->max + 1,
						   s->type == FFL_SET_COUNT ? ""
						   : s->type == FFL_SET_DURATION
							   ? "ms"
							   : "B");

			put_pair(f, i, true, v);
			g_free(v);
		}
		break;
	case LINE_NO_UNIT:
		if (s->type == FFL_SET_DURATION || s->type == FFL_SET_SIZE)
			put_pair(f, i, true, "4");
		break;
	case LINE_SYNTAX:
		put(f, true, "%s", arg & 1 ? "neither" : "   [open");
		break;
	case LINE_LONG:
		put(f, true, "name = %0*d", LONG_BYTES, 0);
		break;
	case LINE_BYTES:
		put(f, true, "%c%c=%c", arg, arg ^ 0x55, 255 - arg);
		f->raw = true;
		break;
	default:
		put(f, true, "[no_such_%u_%u]", arg, f->line);
		ffl_copy(f->section, sizeof(f->section), "?");
		break;
	}
}

static void put_required(file_t *f)
{
	for (uint32_t i = 0; i < ffl_settings_count(); i++) {
		const ffl_setting_t *s = ffl_settings_at(i);

		if (!s->def && !f->seen[i])
			put_pair(f, i, false, valid_value(s));
	}
}

static const char *compare(const file_t *f, const ffl_findings_t *fs,
			   ffl_status_t status)
{
	bool found[LINES_MAX] = { false };
	bool any = false;
	uint32_t lines = 0;

	for (gsize i = 0; i < f->text->len; i++)
		lines += f->text->str[i] == '\n';
	for (uint32_t i = 0; i < ffl_findings_count(fs); i++) {
		const ffl_finding_t *finding = ffl_findings_at(fs, i);

		if (finding->line > lines)
			return "a finding has a line that does not exist";
		if (finding->line < LINES_MAX)
			found[finding->line] = true;
	}
	if (f->raw)
		return NULL;
	for (uint32_t i = 1; i <= f->line; i++) {
		if (f->wrong[i] && !found[i])
			return "a wrong line is not found";
		if (!f->wrong[i] && found[i])
			return "a right line is found wrong";
		any = any || f->wrong[i];
	}
	if (found[0])
		return "a required key is reported missing though it is there";
	if ((status == FFL_OK) == any)
		return "the status does not tell of the findings";
	return NULL;
}

static const char *run(const uint8_t *ops, size_t op_count, GString *trace)
{
	file_t f = { .text = g_string_new(NULL) };
	ffl_settings_t settings;
	ffl_findings_t fs;
	ffl_status_t status;
	const char *fault;

	for (size_t i = 0; i < op_count; i++)
		put_line(&f, (kind_t)(ops[2 * i] % LINE__MAX), ops[2 * i + 1]);
	put_required(&f);
	if (trace)
		g_string_append(trace, f.text->str);
	ffl_findings_init(&fs, "fuzz");
	status = ffl_settings_parse(f.text->str, f.text->len, &settings, &fs);
	fault = compare(&f, &fs, status);
	if (!fault && status == FFL_OK && !f.raw &&
	    strcmp(settings.name, "a-1") != 0)
		fault = "a value is not the one that was written";
	ffl_findings_finish(&fs);
	fuzz_steps(f.line);
	g_string_free(f.text, TRUE);
	return fault;
}
