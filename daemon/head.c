#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <glib.h>

#include "daemon/head.h"

/** Longest stated timeout, in digits. */
#define TIMEOUT_DIGITS_MAX 9

/** Checks one header's value. */
typedef bool (*check_fn_t)(const char *value);

/** A header that may appear once at most, and its check. */
typedef struct {
	const char *name;
	ffld_problem_t problem;
	check_fn_t check; /**< or NULL */
} rule_t;

static bool is_length(const char *value);
static bool is_chunked(const char *value);
static bool is_urgency(const char *value);
static bool is_timeout(const char *value);
static bool is_key(const char *value);
static bool is_id(const char *value);
static bool is_token_char(char c);
static bool has_tight_colon(const struct mg_header *h);
static uint32_t count_of(const struct mg_request_info *info, const char *name);
static ffld_problem_t check_rules(const struct mg_request_info *info,
				  const rule_t *rules, size_t n,
				  const char **field);
static bool ends_after_headers(const struct mg_request_info *info);

static const rule_t framing_rules[] = {
	{ "Content-Length", FFLD_BAD_FRAMING, is_length },
	{ "Transfer-Encoding", FFLD_BAD_FRAMING, is_chunked },
	{ "Host", FFLD_BAD_HEADER, NULL },
	{ "Authorization", FFLD_BAD_HEADER, NULL },
};

static const rule_t relay_rules[] = {
	{ "Idempotency-Key", FFLD_BAD_KEY, is_key },
	{ "Fireflyledge-Urgency", FFLD_BAD_URGENCY, is_urgency },
	{ "Fireflyledge-Timeout-Ms", FFLD_BAD_TIMEOUT, is_timeout },
	{ "Fireflyledge-Request-Id", FFLD_BAD_ID, is_id },
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

static bool is_key(const char *value)
{
	size_t n = strlen(value);

	for (size_t i = 0; i < n; i++) {
		if (value[i] <= ' ' || value[i] > '~')
			return false;
	}
	return n > 0 && n < FFL_KEY_BYTES;
}

static bool is_id(const char *value)
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

/* The server takes a space before the colon, which others may not. */
static bool has_tight_colon(const struct mg_header *h)
{
	const char *p = h->name + strlen(h->name) + 1;

	for (; p < h->value; p++) {
		if (*p != ' ' && *p != '\t')
			return false;
	}
	return true;
}

static uint32_t count_of(const struct mg_request_info *info, const char *name)
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

bool ffld_head_is_hop(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(hop_headers); i++) {
		if (strcasecmp(name, hop_headers[i]) == 0)
			return true;
	}
	return false;
}

bool ffld_head_names(const char *connection, const char *name)
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

/* The server stops at a folded line, and at a full table, as if the headers
 * ended there: what comes after the last value tells. */
static bool ends_after_headers(const struct mg_request_info *info)
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
				  const rule_t *rules, size_t n,
				  const char **field)
{
	for (size_t i = 0; i < n; i++) {
		const char *value = ffld_head_get(info, rules[i].name, NULL);

		if (!value)
			continue;
		*field = rules[i].name;
		if (count_of(info, rules[i].name) > 1 ||
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
	if (!ends_after_headers(info))
		return FFLD_BAD_HEADER;
	for (int i = 0; i < info->num_headers; i++) {
		const char *c = info->http_headers[i].name;

		while (is_token_char(*c))
			c++;
		if (*c || c == info->http_headers[i].name ||
		    !has_tight_colon(&info->http_headers[i]))
			return FFLD_BAD_HEADER;
	}
	*field = "Content-Length";
	if (count_of(info, "Content-Length") &&
	    count_of(info, "Transfer-Encoding"))
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
