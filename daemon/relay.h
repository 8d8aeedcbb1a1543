/**
 * @file relay.h
 * @brief One relayed request, towards the caller and towards the upstream.
 */
#ifndef FFLD_RELAY_H
#define FFLD_RELAY_H

#include "daemon/head.h"
#include "daemon/web.h"

/** Header by which a response is matched to its request. */
#define FFLD_ID_HEADER "Fireflyledge-Request-Id"

/** An upstream's response. */
typedef struct {
	GByteArray *body; /**< received and not relayed yet */
	GString *headers; /**< header lines to be relayed */
	char content_type[128];
	char connection[256]; /**< values of its Connection headers, each
				 followed by a comma */
	long http_status;
	uint64_t length;	 /**< its Content-Length, or FFL_BODY_UNKNOWN */
	uint32_t length_count;	 /**< number of Content-Length headers */
	uint64_t received_bytes; /**< bytes of the body, decoded */
	uint64_t framed_bytes;	 /**< bytes of the body as sent, with chunk
				    framing */
	bool chunked;
	bool not_run; /**< the upstream states that the request did not run */
	bool invalid; /**< malformed, truncated or for another request */
	bool relayed; /**< the response to the caller has begun */
	bool headers_done; /**< the end of the final headers was read */
} ffld_response_t;

/** A request being relayed. */
typedef struct {
	ffld_web_t *w;
	struct mg_connection *conn;
	const struct mg_request_info *info;
	ffld_conn_t *caller_conn;
	ffld_call_t call;
	GByteArray *body;    /**< part read before the request was admitted */
	uint64_t body_bytes; /**< its Content-Length, or FFL_BODY_UNKNOWN */
	uint64_t body_read_bytes; /**< read from the caller */
	size_t body_sent_bytes;	  /**< of @p body, sent in this attempt */
	bool body_buffered;	  /**< @p body holds the whole body */
	bool body_eof;		  /**< the end of a chunked body was read */
	bool body_truncated; /**< the body ended early or exceeds the limit */
	bool has_body;	     /**< has Content-Length or Transfer-Encoding */
	bool read_paused;    /**< sending waits for input from the caller */
	bool caller_gone;    /**< the caller left, or the server is closing */
	bool forwarded;	     /**< an attempt has started */
	ffl_up_outcome_t outcome; /**< of the last attempt */
	char id[FFLD_ID_BYTES];	  /**< request id reported to the caller */
	char upstream_id[FFLD_ID_BYTES]; /**< of the attempt, towards the
					    upstream */
	ffld_response_t response;
} ffld_relay_t;

/** Clears a response before an attempt or a new status line. */
void ffld_response_reset(ffld_response_t *response);
/** Parses one header line; a CURLOPT_HEADERFUNCTION, @p user is the
 * ffld_relay_t. Ends the transfer on a malformed response. */
size_t ffld_response_on_header(char *data, size_t size, size_t n, void *user);
/** Returns true if the method or status rules out a body, whatever
 * Content-Length says. */
bool ffld_response_has_no_body(const ffld_relay_t *r);

/** Sends the request to the upstream that the core chose and posts the outcome
 * to the core. */
void ffld_relay_attempt(ffld_relay_t *r);

/** Sends the status line and headers to the caller. If @p with_body, the
 * buffered body is complete and goes out in the same write. */
void ffld_relay_start_response(ffld_relay_t *r, bool with_body);

#endif
