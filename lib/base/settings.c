/**
 * @file settings.c
 * @brief Keys of fireflyledged and the parser of settings files.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <ini.h>

#include "fireflyledge/settings.h"

/** Largest settings file, in bytes. */
#define FILE_BYTES_MAX (1U << 20)
/** Numbers with a decimal fraction are computed in thousandths. */
#define FRACTION_SCALE 1000

/** A unit and its factor to the unit of the stored value. */
typedef struct {
	const char *name;
	uint32_t factor;
} unit_t;

/** State of the parser. */
typedef struct {
	const char *next; /**< rest of the text */
	const char *end;
	uint32_t line; /**< current line, 1-based */
	const ffl_setting_table_t *table;
	void *out; /**< struct that receives the values */
	ffl_findings_t *fs;
	uint32_t *seen_line; /**< line of each key of the table; 0: not seen */
	char section[FFL_NAME_BYTES]; /**< unused */
	GHashTable *sections; /**< line of the first header, by section name */
} parser_t;

/** Parses a value and stores it, or adds a finding if it is not valid. */
typedef void (*store_fn_t)(parser_t *r, const ffl_setting_t *s,
			   const char *value, void *dst);

static void store_name(parser_t *r, const ffl_setting_t *s, const char *value,
		       void *dst);
static void store_address(parser_t *r, const ffl_setting_t *s,
			  const char *value, void *dst);
static void store_url(parser_t *r, const ffl_setting_t *s, const char *value,
		      void *dst);
static void store_hash(parser_t *r, const ffl_setting_t *s, const char *value,
		       void *dst);
static void store_count(parser_t *r, const ffl_setting_t *s, const char *value,
			void *dst);
static void store_duration(parser_t *r, const ffl_setting_t *s,
			   const char *value, void *dst);
static void store_size(parser_t *r, const ffl_setting_t *s, const char *value,
		       void *dst);
static void store_cores(parser_t *r, const ffl_setting_t *s, const char *value,
			void *dst);
static void store_rate(parser_t *r, const ffl_setting_t *s, const char *value,
		       void *dst);
static void store_number(parser_t *r, const ffl_setting_t *s, const char *value,
			 const unit_t *units, void *dst);
static bool is_valid_address(const char *text);
static bool check_syntax(parser_t *r, const char *line, size_t size_bytes);
static char *read_line(char *buf, int size, void *stream);
static int handle_pair(void *user, const char *section, const char *key,
		       const char *value);
static bool add_fraction(const char **end, const unit_t *units, uint64_t *n);
static const ffl_setting_t *find_key(const parser_t *r, const char *section,
				     const char *key, uint32_t *index);
static bool is_known_section(const parser_t *r, const char *section);
static void check_section(parser_t *r, const char *line);
static void apply_defaults(parser_t *r);
static void set_default(const ffl_setting_t *s, parser_t *r);

#define ROW(section, key, type, member, min, max, def, reloadable, help)   \
	{                                                                  \
		section, key, type, offsetof(ffl_settings_t, member), min, \
			max, def, reloadable, help                         \
	}

static const ffl_setting_t daemon_keys[] = {
	ROW("host", "name", FFL_SET_NAME, name, 0, 0, NULL, false,
	    "name of this entry host"),
	ROW("host", "data_centre", FFL_SET_NAME, data_centre, 0, 0, NULL, false,
	    "data centre that the host is in"),
	ROW("host", "region", FFL_SET_NAME, region, 0, 0, NULL, false,
	    "region that the host is in"),
	ROW("host", "cluster", FFL_SET_COUNT, cluster, 1, UINT32_MAX, NULL,
	    false,
	    "ID of the cluster; hosts ignore records and messages of others"),
	ROW("listen", "callers", FFL_SET_ADDRESS, callers, 0, 0, NULL, false,
	    "address on which callers are served"),
	ROW("listen", "operators", FFL_SET_ADDRESS, operators, 0, 0, NULL,
	    false, "address on which operators are served"),
	ROW("listen", "peers", FFL_SET_ADDRESS, peers, 0, 0, NULL, false,
	    "address on which other entry hosts are served"),
	ROW("listen", "threads", FFL_SET_COUNT, threads, 8, 4096, "512", false,
	    "caller connections served at once"),
	ROW("listen", "per_address", FFL_SET_COUNT, per_address, 1, 4096, "384",
	    true, "maximum connections per client address"),
	ROW("listen", "body", FFL_SET_SIZE, body_bytes, 1024, 1U << 30, "64MB",
	    true, "maximum size of a request body"),
	ROW("listen", "buffer", FFL_SET_SIZE, buffer_bytes, 32768, 1U << 24,
	    "64KB", false, "largest body or answer that is buffered whole"),
	ROW("listen", "body_timeout", FFL_SET_DURATION, body_timeout_ms, 100,
	    600000, "10s", true,
	    "time limit for a request's head and the start of its body"),
	ROW("stop", "delay", FFL_SET_DURATION, stop_delay_ms, 0, 600000, "2s",
	    true, "time for which a stopping host still accepts requests"),
	ROW("stop", "drain", FFL_SET_DURATION, stop_drain_ms, 100, 3600000,
	    "60s", true, "maximum wait for open requests to end"),
	ROW("platform", "log", FFL_SET_URL, platform_log, 0, 0, NULL, false,
	    "URL of the log service"),
	ROW("platform", "hosts", FFL_SET_URL, platform_hosts, 0, 0, NULL, false,
	    "URL of the list of hosts"),
	ROW("platform", "poll_hosts", FFL_SET_DURATION, poll_hosts_ms, 50,
	    60000, "500ms", false,
	    "interval between reads of the list of hosts"),
	ROW("membership", "heartbeat", FFL_SET_DURATION, heartbeat_ms, 10,
	    60000, "250ms", false, "interval between heartbeats to peers"),
	ROW("membership", "suspect", FFL_SET_DURATION, suspect_ms, 50, 600000,
	    "2s", false,
	    "silence after which a peer is suspected to have failed"),
	ROW("membership", "renew", FFL_SET_DURATION, renew_ms, 100, 3600000,
	    "60s", false,
	    "interval at which the host renews its registration on the log"),
	ROW("membership", "expiry", FFL_SET_DURATION, expiry_ms, 1000, 36000000,
	    "180s", false, "lifetime of a registration that is not renewed"),
	ROW("membership", "lease", FFL_SET_DURATION, lease_ms, 500, 600000,
	    "6s", false, "duration of a task's lease on a worker"),
	ROW("requests", "queue", FFL_SET_COUNT, queue_max, 1, 1000000, "2048",
	    true, "maximum number of queued requests"),
	ROW("requests", "timeout", FFL_SET_DURATION, timeout_ms, 1, 3600000,
	    "10s", true, "deadline of a request that specifies none"),
	ROW("requests", "max_timeout", FFL_SET_DURATION, max_timeout_ms, 1,
	    3600000, "60s", true,
	    "maximum deadline that a request may specify"),
	ROW("requests", "attempts", FFL_SET_COUNT, attempts_max, 1, 10, "3",
	    true, "maximum attempts per request"),
	ROW("requests", "eject_failures", FFL_SET_COUNT, eject_failures, 1,
	    1000, "5", true,
	    "consecutive failures after which an upstream is ejected"),
	ROW("requests", "eject", FFL_SET_DURATION, eject_ms, 100, 3600000, "5s",
	    true, "time for which an upstream is ejected"),
	ROW("operators", "bootstrap_token_hash", FFL_SET_HASH, bootstrap_hash,
	    0, 0, "", false,
	    "hash of the token that is valid until an operator is confirmed"),
};

static const ffl_setting_table_t daemon_table = { daemon_keys,
						  G_N_ELEMENTS(daemon_keys),
						  sizeof(ffl_settings_t) };

static const unit_t no_units[] = { { "", 1 }, { NULL, 0 } };
static const unit_t duration_units[] = {
	{ "ms", 1 }, { "s", 1000 }, { "min", 60000 }, { NULL, 0 }
};
static const unit_t size_units[] = {
	{ "B", 1 }, { "KB", 1024 }, { "MB", 1048576 }, { NULL, 0 }
};

static const unit_t core_units[] = { { "core", 1000 }, { NULL, 0 } };
static const unit_t rate_units[] = { { "kbit", 1 },
				     { "Mbit", 1000 },
				     { NULL, 0 } };

static const store_fn_t store_fns[FFL_SET__MAX] = {
	[FFL_SET_NAME] = store_name,	     [FFL_SET_ADDRESS] = store_address,
	[FFL_SET_URL] = store_url,	     [FFL_SET_HASH] = store_hash,
	[FFL_SET_COUNT] = store_count,	     [FFL_SET_SIZE] = store_size,
	[FFL_SET_DURATION] = store_duration, [FFL_SET_CORES] = store_cores,
	[FFL_SET_RATE] = store_rate,
};

static const char *const type_names[FFL_SET__MAX] = {
	[FFL_SET_NAME] = "name",   [FFL_SET_ADDRESS] = "address",
	[FFL_SET_URL] = "url",	   [FFL_SET_HASH] = "hash",
	[FFL_SET_COUNT] = "count", [FFL_SET_DURATION] = "duration",
	[FFL_SET_SIZE] = "size",   [FFL_SET_CORES] = "cores",
	[FFL_SET_RATE] = "rate",
};

uint32_t ffl_settings_count(void)
{
	return G_N_ELEMENTS(daemon_keys);
}

const ffl_setting_t *ffl_settings_at(uint32_t i)
{
	return &daemon_keys[i];
}

const char *ffl_setting_type_name(uint32_t type)
{
	return type < FFL_SET__MAX ? type_names[type] : "?";
}

static void store_name(parser_t *r, const ffl_setting_t *s, const char *value,
		       void *dst)
{
	if (!value[0])
		ffl_findings_add(r->fs, FFL_MSG_MISSING, s->key, r->line, 0,
				 "expected a name");
	else if (!ffl_copy(dst, FFL_NAME_BYTES, value))
		ffl_findings_add(r->fs, FFL_MSG_TOO_LONG, s->key, r->line, 0,
				 "at most %d bytes", FFL_NAME_BYTES - 1);
}

static bool is_valid_address(const char *text)
{
	const char *colon = strrchr(text, ':');
	char *end;
	long port;

	if (!colon || colon == text)
		return false;
	if (strspn(text, "0123456789.") != (size_t)(colon - text))
		return false;
	errno = 0;
	port = strtol(colon + 1, &end, 10);
	return end != colon + 1 && *end == '\0' && !errno && port > 0 &&
	       port <= UINT16_MAX;
}

static void store_address(parser_t *r, const ffl_setting_t *s,
			  const char *value, void *dst)
{
	/* An optional address has an empty default. */
	if (!value[0] && s->def && !s->def[0])
		return;
	if (!is_valid_address(value) || !ffl_copy(dst, FFL_ADDR_BYTES, value))
		ffl_findings_add(r->fs, FFL_MSG_BAD_VALUE, s->key, r->line, 0,
				 "\"%.60s\" is not IP:PORT", value);
}

static void store_url(parser_t *r, const ffl_setting_t *s, const char *value,
		      void *dst)
{
	static const char scheme[] = "http://";

	if (strncmp(value, scheme, sizeof(scheme) - 1) != 0 ||
	    !is_valid_address(value + sizeof(scheme) - 1) ||
	    !ffl_copy(dst, FFL_URL_BYTES, value))
		ffl_findings_add(r->fs, FFL_MSG_BAD_VALUE, s->key, r->line, 0,
				 "\"%.60s\" is not http://IP:PORT", value);
}

static void store_hash(parser_t *r, const ffl_setting_t *s, const char *value,
		       void *dst)
{
	size_t n = strspn(value, "0123456789abcdef");

	if (value[0] && (n != FFL_HEX_BYTES - 1 || value[n]))
		ffl_findings_add(r->fs, FFL_MSG_BAD_VALUE, s->key, r->line, 0,
				 "expected %d lower-case hexadecimal digits",
				 FFL_HEX_BYTES - 1);
	else
		ffl_copy(dst, FFL_HEX_BYTES, value);
}

/* Parses the digits after a decimal point and converts the number to
 * thousandths; further digits are dropped. Returns false if there is no
 * fraction. */
static bool add_fraction(const char **end, const unit_t *units, uint64_t *n)
{
	const char *p = *end;
	uint64_t scale = FRACTION_SCALE;

	if (*p != '.' || !g_ascii_isdigit(p[1]) || *n > UINT32_MAX)
		return false;
	*n *= FRACTION_SCALE;
	for (p++; g_ascii_isdigit(*p); p++) {
		scale /= 10;
		*n += scale * (uint64_t)(*p - '0');
	}
	*end = p;
	return true;
}

static void store_number(parser_t *r, const ffl_setting_t *s, const char *value,
			 const unit_t *units, void *dst)
{
	const char *end;
	char *digits_end;
	bool fraction;
	uint64_t factor;
	uint64_t n;

	errno = 0;
	n = strtoull(value, &digits_end, 10);
	end = digits_end;
	if (value[0] < '0' || value[0] > '9' || errno) {
		ffl_findings_add(r->fs, FFL_MSG_BAD_NUMBER, s->key, r->line, 0,
				 "\"%.60s\"", value);
		return;
	}
	fraction = add_fraction(&end, units, &n);
	while (units->name && strcmp(units->name, end) != 0)
		units++;
	if (!units->name || (fraction && units->factor < FRACTION_SCALE)) {
		ffl_findings_add(r->fs, FFL_MSG_BAD_UNIT, s->key, r->line, 0,
				 "\"%.60s\"", value);
		return;
	}
	factor = fraction ? units->factor / FRACTION_SCALE : units->factor;
	if (n > UINT32_MAX || n * factor < s->min || n * factor > s->max) {
		ffl_findings_add(r->fs, FFL_MSG_OUT_OF_RANGE, s->key, r->line,
				 0, "\"%.40s\" is outside %u..%u", value,
				 s->min, s->max);
		return;
	}
	*(uint32_t *)dst = (uint32_t)(n * factor);
}

static void store_count(parser_t *r, const ffl_setting_t *s, const char *value,
			void *dst)
{
	store_number(r, s, value, no_units, dst);
}

static void store_duration(parser_t *r, const ffl_setting_t *s,
			   const char *value, void *dst)
{
	store_number(r, s, value, duration_units, dst);
}

static void store_size(parser_t *r, const ffl_setting_t *s, const char *value,
		       void *dst)
{
	store_number(r, s, value, size_units, dst);
}

static void store_cores(parser_t *r, const ffl_setting_t *s, const char *value,
			void *dst)
{
	store_number(r, s, value, core_units, dst);
}

static void store_rate(parser_t *r, const ffl_setting_t *s, const char *value,
		       void *dst)
{
	store_number(r, s, value, rate_units, dst);
}

static const ffl_setting_t *find_key(const parser_t *r, const char *section,
				     const char *key, uint32_t *index)
{
	const ffl_setting_t *keys = r->table->rows;

	for (uint32_t i = 0; i < r->table->count; i++) {
		if (strcmp(keys[i].section, section) == 0 &&
		    strcmp(keys[i].key, key) == 0) {
			*index = i;
			return &keys[i];
		}
	}
	return NULL;
}

static bool is_known_section(const parser_t *r, const char *section)
{
	for (uint32_t i = 0; i < r->table->count; i++) {
		if (strcmp(r->table->rows[i].section, section) == 0)
			return true;
	}
	return false;
}

/* inih reports keys but not section headers, so they are checked here. */
static void check_section(parser_t *r, const char *line)
{
	const char *open = line + strspn(line, " \t");
	const char *close = strchr(open, ']');
	gpointer first;
	gchar *name;

	if (*open != '[' || !close)
		return;
	name = g_strndup(open + 1, (gsize)(close - open - 1));
	first = g_hash_table_lookup(r->sections, name);
	if (!is_known_section(r, name))
		ffl_findings_add(r->fs, FFL_MSG_UNKNOWN_SECTION, name, r->line,
				 0, "%s", "");
	else if (first)
		ffl_findings_add(r->fs, FFL_MSG_DUPLICATE_SECTION, name,
				 r->line, 0, "first at line %u",
				 GPOINTER_TO_UINT(first));
	if (!first)
		g_hash_table_insert(r->sections, name,
				    GUINT_TO_POINTER(r->line));
	else
		g_free(name);
}

/* inih reports only the first malformed line, so every line is checked here. */
static bool check_syntax(parser_t *r, const char *line, size_t size_bytes)
{
	const char *fault = NULL;

	if (memchr(line, '\0', size_bytes))
		fault = "the line contains a NUL byte";
	else if (*line == '[' && !strchr(line, ']'))
		fault = "the section header lacks its closing bracket";
	else if (*line && !strchr(";#[", *line) && !strpbrk(line, "=:"))
		fault = "expected [section] or key = value";
	if (fault)
		ffl_findings_add(r->fs, FFL_MSG_BAD_SYNTAX, "", r->line, 0,
				 "%s", fault);
	return !fault;
}

/* Reads a line for inih, as fgets() does. Leading blanks are skipped, since
 * inih takes an indented line for a continuation of the previous value. A
 * malformed line is replaced by an empty one, so that parsing goes on and finds
 * the rest. */
static char *read_line(char *buf, int size, void *stream)
{
	parser_t *r = stream;
	size_t left = (size_t)(r->end - r->next);
	const char *nl = left ? memchr(r->next, '\n', left) : NULL;
	size_t n = nl ? (size_t)(nl - r->next) : left;
	const char *line = r->next;
	size_t blank;

	if (!left)
		return NULL;
	r->line++;
	r->next += nl ? n + 1 : n;
	g_strlcpy(buf, "\n", (gsize)size);
	for (blank = 0; blank < n && g_ascii_isspace(line[blank]); blank++)
		;
	line += blank;
	n -= blank;
	if (n + 1 >= (size_t)size) {
		ffl_findings_add(
			r->fs, FFL_MSG_TOO_LONG, "", r->line, 0,
			"the line has %zu bytes, at most %d are allowed", n,
			size - 2);
		return buf;
	}
	memcpy(buf, line, n);
	buf[n] = '\0';
	if (!check_syntax(r, buf, n)) {
		g_strlcpy(buf, "\n", (gsize)size);
		return buf;
	}
	check_section(r, buf);
	buf[n] = '\n';
	buf[n + 1] = '\0';
	return buf;
}

static int handle_pair(void *user, const char *section, const char *key,
		       const char *value)
{
	parser_t *r = user;
	const ffl_setting_t *s;
	uint32_t i = 0;

	if (!section[0])
		ffl_findings_add(r->fs, FFL_MSG_UNKNOWN_SECTION, key, r->line,
				 0, "the key precedes the first section");
	if (!is_known_section(r, section))
		return 1;
	s = find_key(r, section, key, &i);
	if (!s) {
		ffl_findings_add(r->fs, FFL_MSG_UNKNOWN_KEY, key, r->line, 0,
				 "section [%s] has no such key", section);
		return 1;
	}
	if (r->seen_line[i]) {
		ffl_findings_add(r->fs, FFL_MSG_DUPLICATE_KEY, key, r->line, 0,
				 "first at line %u", r->seen_line[i]);
		return 1;
	}
	r->seen_line[i] = r->line;
	store_fns[s->type](r, s, value, (char *)r->out + s->offset);
	return 1;
}

static void set_default(const ffl_setting_t *s, parser_t *r)
{
	if (!s->def) {
		ffl_findings_add(r->fs, FFL_MSG_MISSING, s->key, 0, 0,
				 "required in section [%s]", s->section);
		return;
	}
	store_fns[s->type](r, s, s->def, (char *)r->out + s->offset);
}

static void apply_defaults(parser_t *r)
{
	for (uint32_t i = 0; i < r->table->count; i++) {
		if (!r->seen_line[i])
			set_default(&r->table->rows[i], r);
	}
}

ffl_status_t ffl_settings_parse(const char *text, size_t size_bytes,
				ffl_settings_t *out, ffl_findings_t *fs)
{
	return ffl_settings_parse_table(&daemon_table, text, size_bytes, out,
					fs);
}

ffl_status_t ffl_settings_parse_table(const ffl_setting_table_t *table,
				      const char *text, size_t size_bytes,
				      void *out, ffl_findings_t *fs)
{
	uint32_t *seen_line = g_new0(uint32_t, table->count);
	uint32_t before = fs->errors;
	parser_t r = { .next = text,
		       .end = text + size_bytes,
		       .table = table,
		       .out = out,
		       .fs = fs,
		       .seen_line = seen_line };

	memset(out, 0, table->size_bytes);
	r.sections =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ini_parse_stream(read_line, &r, handle_pair, &r);
	apply_defaults(&r);
	g_hash_table_destroy(r.sections);
	g_free(seen_line);
	return fs->errors > before ? FFL_INVALID : FFL_OK;
}

ffl_status_t ffl_settings_load(const char *path, ffl_settings_t *out,
			       ffl_findings_t *fs)
{
	return ffl_settings_load_table(&daemon_table, path, out, fs);
}

ffl_status_t ffl_settings_load_table(const ffl_setting_table_t *table,
				     const char *path, void *out,
				     ffl_findings_t *fs)
{
	ffl_status_t status;
	gchar *text = NULL;
	gsize size = 0;

	if (!g_file_get_contents(path, &text, &size, NULL)) {
		ffl_findings_add(fs, FFL_MSG_MISSING, "", 0, 0,
				 "cannot read the file");
		return FFL_SYSTEM;
	}
	if (size > FILE_BYTES_MAX) {
		ffl_findings_add(
			fs, FFL_MSG_TOO_LONG, "", 0, 0,
			"the file has %zu bytes, at most %u are allowed", size,
			FILE_BYTES_MAX);
		status = FFL_INVALID;
	} else {
		status = ffl_settings_parse_table(table, text, size, out, fs);
	}
	g_free(text);
	return status;
}
