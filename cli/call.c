#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <curl/curl.h>

#include "cli/cli.h"

/** Bounds of one call. */
#define URL_BYTES  1024
#define TIMEOUT_MS 20000

static size_t take_body(char *data, size_t size, size_t n, void *user);
static cli_exit_t exit_of(CURLcode code, long http_status);

static size_t take_body(char *data, size_t size, size_t n, void *user)
{
	cli_reply_t *reply = user;
	char *grown = realloc(reply->body, reply->size_bytes + size * n + 1);

	if (!grown)
		return 0;
	reply->body = grown;
	memcpy(reply->body + reply->size_bytes, data, size * n);
	reply->size_bytes += size * n;
	reply->body[reply->size_bytes] = '\0';
	return size * n;
}

static cli_exit_t exit_of(CURLcode code, long http_status)
{
	if (code == CURLE_COULDNT_CONNECT)
		return CLI_UNREACHABLE;
	if (code != CURLE_OK || http_status == 504)
		return CLI_UNKNOWN;
	return http_status < 400 ? CLI_OK : CLI_REFUSED;
}

cli_exit_t cli_call(const cli_t *cli, const char *base, const char *method,
		    const char *path, const json_t *body, cli_reply_t *reply)
{
	CURL *easy = curl_easy_init();
	struct curl_slist *headers = NULL;
	char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;
	char line[URL_BYTES];
	CURLcode code;

	memset(reply, 0, sizeof(*reply));
	snprintf(line, sizeof(line), "Authorization: Bearer %s", cli->token);
	headers = curl_slist_append(headers, line);
	headers = curl_slist_append(headers, "Content-Type: application/json");
	snprintf(line, sizeof(line), "%s%s", base, path);
	curl_easy_setopt(easy, CURLOPT_URL, line);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, take_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, reply);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
	if (text)
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, text);
	else if (strcmp(method, "POST") == 0)
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, "{}");
	code = curl_easy_perform(easy);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &reply->http_status);
	curl_slist_free_all(headers);
	curl_easy_cleanup(easy);
	free(text);
	if (code != CURLE_OK)
		fprintf(stderr, "ffl: %s: %s\n", base,
			curl_easy_strerror(code));
	return exit_of(code, reply->http_status);
}
