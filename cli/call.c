#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <curl/curl.h>

#include "cli/cli.h"

/** Longest URL and longest header line, with terminator. */
#define URL_BYTES 1024
/** Longest time for one call, from connecting to the end of the response. */
#define TIMEOUT_MS 70000

static size_t append_body(char *data, size_t size, size_t n, void *user);
static struct curl_slist *request_headers(const cli_t *cli,
					  const cli_request_t *request);
static cli_exit_t exit_code(CURLcode code, const cli_reply_t *reply);

static size_t append_body(char *data, size_t size, size_t n, void *user)
{
	cli_reply_t *reply = user;
	char *grown = realloc(reply->body, reply->body_bytes + size * n + 1);

	if (!grown)
		return 0;
	reply->body = grown;
	memcpy(reply->body + reply->body_bytes, data, size * n);
	reply->body_bytes += size * n;
	reply->body[reply->body_bytes] = '\0';
	return size * n;
}

/* After an HTTP error only the field "ran" of the response tells whether the
 * request may have taken effect: "unknown" means that it may. */
static cli_exit_t exit_code(CURLcode code, const cli_reply_t *reply)
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

static struct curl_slist *request_headers(const cli_t *cli,
					  const cli_request_t *request)
{
	struct curl_slist *list = NULL;
	char line[URL_BYTES];

	snprintf(line, sizeof(line), "Authorization: Bearer %s", cli->token);
	list = curl_slist_append(list, line);
	list = curl_slist_append(list, "Expect:");
	if (request->content_type) {
		snprintf(line, sizeof(line), "Content-Type: %s",
			 request->content_type);
		list = curl_slist_append(list, line);
	}
	for (const char *const *h = request->headers; h && *h; h++)
		list = curl_slist_append(list, *h);
	return list;
}

cli_exit_t cli_call(const cli_t *cli, const cli_request_t *request,
		    cli_reply_t *reply)
{
	struct curl_slist *headers = request_headers(cli, request);
	CURL *easy = curl_easy_init();
	char url[URL_BYTES];
	CURLcode code;

	memset(reply, 0, sizeof(*reply));
	snprintf(url, sizeof(url), "%s%s", request->base, request->path);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, reply);
	if (request->body) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)request->body_bytes);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request->body);
	} else if (strcmp(request->method, "HEAD") == 0) {
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
	}
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request->method);
	code = curl_easy_perform(easy);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &reply->http_status);
	curl_slist_free_all(headers);
	curl_easy_cleanup(easy);
	if (code != CURLE_OK)
		fprintf(stderr, "ffl: %s: %s\n", request->base,
			curl_easy_strerror(code));
	return exit_code(code, reply);
}

cli_exit_t cli_call_and_print(const cli_t *cli, const char *base,
			      const char *method, const char *path,
			      const json_t *body)
{
	char *text = strcmp(method, "POST") == 0
			     ? json_dumps(body, JSON_COMPACT)
			     : NULL;
	cli_request_t request = { .base = base,
				  .method = method,
				  .path = path,
				  .body = text,
				  .body_bytes = text ? strlen(text) : 0,
				  .content_type = "application/json" };
	cli_reply_t reply;
	cli_exit_t rc = cli_call(cli, &request, &reply);

	cli_print_reply(cli, &reply);
	free(reply.body);
	free(text);
	return rc;
}
