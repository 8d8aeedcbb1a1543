/*
 * Latency and throughput of one entry host on loopback, beside the same load
 * sent straight to the stand-in upstream.
 * Usage: loopback DIRECT_URL DIRECT_URL RELAY_URL TOKEN
 */
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <curl/curl.h>

#include "bench/bench.h"

#define SAMPLES	     2000
#define WARMUP	     100
#define THREADS	     16
#define PER_THREAD   1000
#define HEADER_BYTES 256
#define NS_PER_MS    1e6
#define NS_PER_S     1e9

/** One thread of load. */
typedef struct {
	const char *url;
	const char *token;
	uint32_t failed;
} load_t;

static size_t drop(char *data, size_t size, size_t n, void *user);
static CURL *open_client(const char *url, const char *token,
			 struct curl_slist **headers);
static int get(CURL *easy);
static void *run_load(void *arg);
static void measure_latency(const char *direct, const char *relay,
			    const char *token);
static double throughput(const char *const urls[2], const char *token,
			 uint32_t *failed);

static size_t drop(char *data, size_t size, size_t n, void *user)
{
	return size * n;
}

static CURL *open_client(const char *url, const char *token,
			 struct curl_slist **headers)
{
	CURL *easy = curl_easy_init();
	char line[HEADER_BYTES];

	snprintf(line, sizeof(line), "Authorization: Bearer %s", token);
	*headers = curl_slist_append(NULL, line);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, *headers);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, drop);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, 5000L);
	return easy;
}

static int get(CURL *easy)
{
	long status = 0;

	if (curl_easy_perform(easy) != CURLE_OK)
		return 0;
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	return status == 200;
}

/* Alternates between both, so that noise hits them alike. */
static void measure_latency(const char *direct, const char *relay,
			    const char *token)
{
	static double samples[2][SAMPLES];
	static const double quantiles[] = { 0.5, 0.95, 0.99 };
	struct curl_slist *headers[2];
	CURL *easy[2] = { open_client(direct, token, &headers[0]),
			  open_client(relay, token, &headers[1]) };
	uint32_t failed = 0;

	for (uint32_t i = 0; i < SAMPLES + WARMUP; i++) {
		for (uint32_t side = 0; side < 2; side++) {
			uint64_t start = bench_now_ns();

			failed += !get(easy[side]);
			if (i >= WARMUP)
				samples[side][i - WARMUP] =
					(double)(bench_now_ns() - start) /
					NS_PER_MS;
		}
	}
	for (size_t q = 0; q < sizeof(quantiles) / sizeof(quantiles[0]); q++) {
		double d = bench_quantile(samples[0], SAMPLES, quantiles[q]);
		double r = bench_quantile(samples[1], SAMPLES, quantiles[q]);

		bench_print("loopback.added_latency", r - d, "ms",
			    json_pack("{s:f,s:f,s:f,s:i}", "quantile",
				      quantiles[q], "direct_ms", d, "relay_ms",
				      r, "failed", (int)failed));
	}
	for (uint32_t side = 0; side < 2; side++) {
		curl_easy_cleanup(easy[side]);
		curl_slist_free_all(headers[side]);
	}
}

static void *run_load(void *arg)
{
	load_t *load = arg;
	struct curl_slist *headers;
	CURL *easy = open_client(load->url, load->token, &headers);

	for (uint32_t i = 0; i < PER_THREAD; i++)
		load->failed += !get(easy);
	curl_easy_cleanup(easy);
	curl_slist_free_all(headers);
	return NULL;
}

/* Threads take turns between two addresses. */
static double throughput(const char *const urls[2], const char *token,
			 uint32_t *failed)
{
	pthread_t threads[THREADS];
	load_t loads[THREADS];
	uint64_t start = bench_now_ns();

	for (uint32_t i = 0; i < THREADS; i++) {
		loads[i] = (load_t){ urls[i % 2], token, 0 };
		pthread_create(&threads[i], NULL, run_load, &loads[i]);
	}
	*failed = 0;
	for (uint32_t i = 0; i < THREADS; i++) {
		pthread_join(threads[i], NULL);
		*failed += loads[i].failed;
	}
	return THREADS * PER_THREAD /
	       ((double)(bench_now_ns() - start) / NS_PER_S);
}

int main(int argc, char **argv)
{
	uint32_t failed_direct;
	uint32_t failed_relay;
	double direct;
	double relay;

	if (argc != 5) {
		fputs("usage: loopback DIRECT_URL DIRECT_URL RELAY_URL TOKEN\n",
		      stderr);
		return 2;
	}
	curl_global_init(CURL_GLOBAL_DEFAULT);
	measure_latency(argv[1], argv[3], argv[4]);
	direct = throughput((const char *[]){ argv[1], argv[2] }, argv[4],
			    &failed_direct);
	relay = throughput((const char *[]){ argv[3], argv[3] }, argv[4],
			   &failed_relay);
	bench_print("loopback.throughput_ratio", relay / direct, "ratio",
		    json_pack("{s:f,s:f,s:i,s:i,s:i}", "direct_per_s", direct,
			      "relay_per_s", relay, "threads", THREADS,
			      "failed_direct", (int)failed_direct,
			      "failed_relay", (int)failed_relay));
	curl_global_cleanup();
	return 0;
}
