#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <curl/curl.h>

#include "cli/cli.h"

/** Bounds of one call. */
#define URL_BYTES  1024
#define TIMEOUT_MS 70000

static size_t take_body(char *data, size_t size, size_t n, void *user);
static struct curl_slist *make_headers(const cli_t *cli,
				       const cli_send_t *send);
static cli_exit_t exit_of(CURLcode code, const cli_reply_t *reply);

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

/* A refusal is told from an unknown outcome by the server's own word. */
static cli_exit_t exit_of(CURLcode code, const cli_reply_t *reply)
{
	json_t *json;
	const char *ran;
	bool unknown;

	if (code == CURLE_COULDNT_CONNECT)
		return CLI_UNREACHABLE;
	if (code != CURLE_OK)
		return CLI_UNKNOWN;
	if (reply->http_status < 400)
		return CLI_OK;
	json = json_loads(reply->body ? reply->body : "", 0, NULL);
	ran = json_string_value(json_object_get(json, "ran"));
	unknown = ran && strcmp(ran, "unknown") == 0;
	json_decref(json);
	return unknown ? CLI_UNKNOWN : CLI_REFUSED;
}

static struct curl_slist *make_headers(const cli_t *cli, const cli_send_t *send)
{
	struct curl_slist *list = NULL;
	char line[URL_BYTES];

	snprintf(line, sizeof(line), "Authorization: Bearer %s", cli->token);
	list = curl_slist_append(list, line);
	list = curl_slist_append(list, "Expect:");
	if (send->content_type) {
		snprintf(line, sizeof(line), "Content-Type: %s",
			 send->content_type);
		list = curl_slist_append(list, line);
	}
	for (const char *const *h = send->headers; h && *h; h++)
		list = curl_slist_append(list, *h);
	return list;
}

cli_exit_t cli_call(const cli_t *cli, const cli_send_t *send,
		    cli_reply_t *reply)
{
	struct curl_slist *headers = make_headers(cli, send);
	CURL *easy = curl_easy_init();
	char url[URL_BYTES];
	CURLcode code;

	memset(reply, 0, sizeof(*reply));
	snprintf(url, sizeof(url), "%s%s", send->base, send->path);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, take_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, reply);
	if (send->body) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)send->body_bytes);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, send->body);
	} else if (strcmp(send->method, "HEAD") == 0) {
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
	}
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, send->method);
	code = curl_easy_perform(easy);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &reply->http_status);
	curl_slist_free_all(headers);
	curl_easy_cleanup(easy);
	if (code != CURLE_OK)
		fprintf(stderr, "ffl: %s: %s\n", send->base,
			curl_easy_strerror(code));
	return exit_of(code, reply);
}

cli_exit_t cli_show(const cli_t *cli, const char *base, const char *method,
		    const char *path, const json_t *body)
{
	char *text = strcmp(method, "POST") == 0
			     ? json_dumps(body, JSON_COMPACT)
			     : NULL;
	cli_send_t send = { .base = base,
			    .method = method,
			    .path = path,
			    .body = text,
			    .body_bytes = text ? strlen(text) : 0,
			    .content_type = "application/json" };
	cli_reply_t reply;
	cli_exit_t rc = cli_call(cli, &send, &reply);

	cli_print(cli, &reply);
	free(reply.body);
	free(text);
	return rc;
}
