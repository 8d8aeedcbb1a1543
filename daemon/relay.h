/**
 * @file relay.h
 * @brief One relayed request: the caller's side and the upstream's side.
 */
#ifndef FFLD_RELAY_H
#define FFLD_RELAY_H

#include "daemon/head.h"
#include "daemon/web.h"

/** Header that ties an answer to its request. */
#define FFLD_ID_HEADER "Fireflyledge-Request-Id"

/** An upstream's answer. */
typedef struct {
	GByteArray *body; /**< what was received and not yet relayed */
	GString *headers; /**< as they are relayed */
	char content_type[128];
	char connection[256]; /**< headers that are not relayed */
	long http_status;
	uint64_t length; /**< stated length, or FFL_BODY_UNKNOWN */
	uint32_t lengths;
	uint64_t received_bytes; /**< of the body */
	uint64_t raw_bytes;	 /**< of the body with its framing */
	bool chunked;
	bool not_run; /**< the upstream says that it did not run */
	bool bad;     /**< not an answer to this request, or not whole */
	bool relayed; /**< a byte has reached the caller */
	bool headers_done;
} ffld_reply_t;

/** A request on its way. */
typedef struct {
	ffld_web_t *w;
	struct mg_connection *conn;
	const struct mg_request_info *info;
	ffld_conn_t *peer;
	ffld_call_t call;
	GByteArray *body;	   /**< read before the request was admitted */
	uint64_t body_bytes;	   /**< stated length, or FFL_BODY_UNKNOWN */
	uint64_t body_read;	   /**< bytes taken from the caller */
	size_t body_at;		   /**< bytes of @p body that were sent */
	bool body_whole;	   /**< all of it is in @p body */
	bool body_ended;	   /**< the last chunk was read */
	bool body_broken;	   /**< the caller stopped early */
	bool has_body;		   /**< a length or a framing was stated */
	bool paused;		   /**< waits for the caller's next bytes */
	bool left;		   /**< the caller is gone */
	bool forwarded;		   /**< an attempt has begun */
	ffl_up_outcome_t outcome;  /**< of the last attempt */
	char id[FFLD_ID_BYTES];	   /**< towards the caller and in logs */
	char up_id[FFLD_ID_BYTES]; /**< of the attempt, towards the upstream */
	ffld_reply_t reply;
} ffld_relay_t;

/** Empties an answer before an attempt. */
void ffld_reply_reset(ffld_reply_t *reply);
/** Takes one header line; a callback of libcurl, @p user is the relay. */
size_t ffld_reply_header(char *data, size_t size, size_t n, void *user);
/** Tells whether the answer has no body whatever its length says. */
bool ffld_reply_has_no_body(const ffld_relay_t *r);

/** Makes one attempt at an upstream and tells the core how it ended. */
void ffld_attempt(ffld_relay_t *r);

/** Begins the caller's answer: status line and headers. */
void ffld_relay_begin(ffld_relay_t *r, bool whole);

#endif
