#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <glib.h>

#include "daemon/head.h"

/** Most digits of Fireflyledge-Timeout-Ms. */
#define TIMEOUT_DIGITS_MAX 9

/** Returns true if a header's value is valid. */
typedef bool (*check_value_fn_t)(const char *value);

/** A header that may appear at most once. */
typedef struct {
	const char *name;
	ffld_problem_t problem; /**< if repeated or not valid */
	check_value_fn_t check; /**< NULL: any value */
} header_rule_t;

static bool is_length(const char *value);
static bool is_chunked(const char *value);
static bool is_urgency(const char *value);
static bool is_timeout(const char *value);
static bool is_idempotency_key(const char *value);
static bool is_request_id(const char *value);
static bool is_token_char(char c);
static bool colon_follows_name(const struct mg_header *h);
static uint32_t header_count(const struct mg_request_info *info,
			     const char *name);
static ffld_problem_t check_rules(const struct mg_request_info *info,
				  const header_rule_t *rules, size_t n,
				  const char **field);
static bool headers_end_in_blank_line(const struct mg_request_info *info);

static const header_rule_t framing_rules[] = {
	{ "Content-Length", FFLD_BAD_FRAMING, is_length },
	{ "Transfer-Encoding", FFLD_BAD_FRAMING, is_chunked },
	{ "Host", FFLD_BAD_HEADER, NULL },
	{ "Authorization", FFLD_BAD_HEADER, NULL },
};

static const header_rule_t relay_rules[] = {
	{ "Idempotency-Key", FFLD_BAD_KEY, is_idempotency_key },
	{ "Fireflyledge-Urgency", FFLD_BAD_URGENCY, is_urgency },
	{ "Fireflyledge-Timeout-Ms", FFLD_BAD_TIMEOUT, is_timeout },
	{ "Fireflyledge-Request-Id", FFLD_BAD_ID, is_request_id },
	{ "Fireflyledge-Caller", FFLD_BAD_HEADER, NULL },
};

static const char *const hop_headers[] = {
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"TE",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
	"Host",
	"Content-Length",
	"Authorization",
	"Expect",
	"HTTP2-Settings",
	"Fireflyledge-Request-Id",
	"Fireflyledge-Timeout-Ms",
};

static const char *const methods[] = { "GET",	 "HEAD",    "POST",  "PUT",
				       "DELETE", "OPTIONS", "PATCH", NULL };

static bool is_length(const char *value)
{
	size_t n = strspn(value, "0123456789");

	return n > 0 && n <= 18 && value[n] == '\0';
}

static bool is_chunked(const char *value)
{
	return strcasecmp(value, "chunked") == 0;
}

static bool is_urgency(const char *value)
{
	for (int i = 0; i < FFL_URGENCY__MAX; i++) {
		if (strcmp(value, ffl_urgency_name((ffl_urgency_t)i)) == 0)
			return true;
	}
	return false;
}

static bool is_timeout(const char *value)
{
	size_t n = strspn(value, "0123456789");

	return n > 0 && n <= TIMEOUT_DIGITS_MAX && value[n] == '\0' &&
	       strtoul(value, NULL, 10) > 0;
}

static bool is_idempotency_key(const char *value)
{
	size_t n = strlen(value);

	for (size_t i = 0; i < n; i++) {
		if (value[i] <= ' ' || value[i] > '~')
			return false;
	}
	return n > 0 && n < FFL_KEY_BYTES;
}

static bool is_request_id(const char *value)
{
	size_t n = strlen(value);

	for (size_t i = 0; i < n; i++) {
		if (!g_ascii_isalnum(value[i]) && !strchr("-._", value[i]))
			return false;
	}
	return n > 0 && n < FFLD_ID_BYTES;
}

static bool is_token_char(char c)
{
	return g_ascii_isalnum(c) || (c && strchr("!#$%&'*+-.^_`|~", c));
}

/* CivetWeb accepts white space before the colon; an upstream may read such a
 * line differently. */
static bool colon_follows_name(const struct mg_header *h)
{
	const char *p = h->name + strlen(h->name) + 1;

	for (; p < h->value; p++) {
		if (*p != ' ' && *p != '\t')
			return false;
	}
	return true;
}

static uint32_t header_count(const struct mg_request_info *info,
			     const char *name)
{
	uint32_t n = 0;

	for (int i = 0; i < info->num_headers; i++) {
		if (strcasecmp(info->http_headers[i].name, name) == 0)
			n++;
	}
	return n;
}

const char *ffld_head_get(const struct mg_request_info *info, const char *name,
			  const char *def)
{
	for (int i = 0; i < info->num_headers; i++) {
		if (strcasecmp(info->http_headers[i].name, name) == 0)
			return info->http_headers[i].value;
	}
	return def;
}

bool ffld_head_is_hop_by_hop(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(hop_headers); i++) {
		if (strcasecmp(name, hop_headers[i]) == 0)
			return true;
	}
	return false;
}

bool ffld_head_connection_lists(const char *connection, const char *name)
{
	size_t len = strlen(name);
	const char *p = connection;

	while (*p) {
		size_t n;

		p += strspn(p, " \t,");
		n = strcspn(p, " \t,");
		if (n == len && strncasecmp(p, name, n) == 0)
			return true;
		p += n;
	}
	return false;
}

/* CivetWeb stops at a folded line, or when its header table is full, as if the
 * headers ended there. The bytes after the last parsed value show whether they
 * did. */
static bool headers_end_in_blank_line(const struct mg_request_info *info)
{
	const char *p;

	if (info->num_headers == 0)
		return true;
	p = info->http_headers[info->num_headers - 1].value;
	p += strlen(p) + 1;
	if (*p == '\0' || *p == '\n')
		p++;
	return *p == '\r' || *p == '\n';
}

static ffld_problem_t check_rules(const struct mg_request_info *info,
				  const header_rule_t *rules, size_t n,
				  const char **field)
{
	for (size_t i = 0; i < n; i++) {
		const char *value = ffld_head_get(info, rules[i].name, NULL);

		if (!value)
			continue;
		*field = rules[i].name;
		if (header_count(info, rules[i].name) > 1 ||
		    (rules[i].check && !rules[i].check(value)))
			return rules[i].problem;
	}
	*field = NULL;
	return FFLD_PROBLEM__MAX;
}

ffld_problem_t ffld_head_check(const struct mg_request_info *info,
			       const char **field)
{
	*field = NULL;
	if (info->num_headers >= MG_MAX_HEADERS)
		return FFLD_HEADERS_TOO_LARGE;
	if (!headers_end_in_blank_line(info))
		return FFLD_BAD_HEADER;
	for (int i = 0; i < info->num_headers; i++) {
		const char *c = info->http_headers[i].name;

		while (is_token_char(*c))
			c++;
		if (*c || c == info->http_headers[i].name ||
		    !colon_follows_name(&info->http_headers[i]))
			return FFLD_BAD_HEADER;
	}
	*field = "Content-Length";
	if (header_count(info, "Content-Length") &&
	    header_count(info, "Transfer-Encoding"))
		return FFLD_BAD_FRAMING;
	return check_rules(info, framing_rules, G_N_ELEMENTS(framing_rules),
			   field);
}

ffld_problem_t ffld_head_check_relay(const struct mg_request_info *info,
				     const char **field)
{
	const char *const *m = methods;

	*field = NULL;
	while (*m && strcmp(*m, info->request_method) != 0)
		m++;
	if (!*m)
		return FFLD_BAD_METHOD;
	if (info->request_uri[0] != '/' || strpbrk(info->request_uri, " #\r\n"))
		return FFLD_BAD_TARGET;
	return check_rules(info, relay_rules, G_N_ELEMENTS(relay_rules), field);
}
