#include <inttypes.h>
#include <string.h>

#include "daemon/daemon.h"

static void print_range(const ffl_setting_t *s, FILE *out);
static const char *default_text(const ffl_setting_t *s);

static const char *default_text(const ffl_setting_t *s)
{
	if (!s->def)
		return "none, required";
	return s->def[0] ? s->def : "none";
}

static void print_range(const ffl_setting_t *s, FILE *out)
{
	static const char *const units[FFL_SET__MAX] = {
		[FFL_SET_DURATION] = " ms",
		[FFL_SET_SIZE] = " bytes",
		[FFL_SET_CORES] = " thousandths of a core",
		[FFL_SET_RATE] = " kbit/s",
	};

	fputs(ffl_setting_type_name(s->type), out);
	if (s->max)
		fprintf(out, ", %" PRIu32 " to %" PRIu32 "%s", s->min, s->max,
			units[s->type] ? units[s->type] : "");
}

void ffld_settings_help(FILE *out)
{
	const char *section = "";

	for (uint32_t i = 0; i < ffl_settings_count(); i++) {
		const ffl_setting_t *s = ffl_settings_at(i);

		if (strcmp(section, s->section) != 0)
			fprintf(out, "%s[%s]\n", i ? "\n" : "", s->section);
		section = s->section;
		fprintf(out, "%-20s ", s->key);
		print_range(s, out);
		fprintf(out, "\n    %s\n    default: %s%s\n", s->text,
			default_text(s), s->reloadable ? "; live" : "");
	}
}

void ffld_settings_mdoc(FILE *out)
{
	const char *section = "";

	for (uint32_t i = 0; i < ffl_settings_count(); i++) {
		const ffl_setting_t *s = ffl_settings_at(i);

		if (strcmp(section, s->section) != 0)
			fprintf(out, "%s.Ss Section %s\n.Bl -tag -width Ds\n",
				i ? ".El\n" : "", s->section);
		section = s->section;
		fprintf(out, ".It Cm %s Pq ", s->key);
		print_range(s, out);
		fprintf(out, "\n%s.\nDefault: %s.\n", s->text, default_text(s));
		if (s->reloadable)
			fprintf(out, "Read anew on\n.Dv SIGHUP .\n");
	}
	fprintf(out, ".El\n");
}
