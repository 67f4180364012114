/*
 * An HTTP proxy that forwards routed calls from callers to endpoints. The codec
 * defines the headers; the entry decides whether and where a request is sent.
 */
#ifndef CATK_PROXY_H
#define CATK_PROXY_H

#include "lib/admission/listener.h"
#include "lib/entry/entry.h"
#include "net/http_message.h"

typedef struct proxy proxy_t;

/* Translates between HTTP headers and typed values. */
typedef struct {
	/*
	 * Reads the caller's headers and sets *remaining to the time until the
	 * deadline, 0 for none. Returns FALSE with the error to respond with
	 * when the request cannot be forwarded.
	 */
	gboolean (*read_request)(void *ctx, const http_message_t *request,
				 GTimeSpan *remaining, catk_error_t *err);
	/* Returns the caller's key, or NULL. */
	const char *(*credential)(void *ctx, const http_message_t *request);
	/* Returns the id that the response must repeat, or NULL. */
	const char *(*request_id)(void *ctx, const http_message_t *request);
	/*
	 * Returns FALSE for a response that may belong to another request.
	 * request_id is NULL for a probe; reused is TRUE if the connection has
	 * carried earlier requests.
	 */
	gboolean (*response_matches)(void *ctx, const char *request_id,
				     const http_message_t *response,
				     gboolean reused);
	/* Appends the header lines that the endpoint expects. */
	void (*write_request_headers)(void *ctx,
				      const attempt_request_t *attempt,
				      GString *headers);
	/*
	 * Reads the load report of a complete response. Changes result->end,
	 * which is ATTEMPT_ANSWERED, if the endpoint did not run the request
	 * or the response is invalid.
	 */
	void (*read_response)(void *ctx, const http_message_t *response,
			      attempt_result_t *result);
	/* Returns FALSE when the response has no load report of endpoint. */
	gboolean (*read_probe_response)(void *ctx, const char *endpoint,
					const http_message_t *response,
					load_report_t *report);
	/*
	 * Reads the notice in the headers of a response to a request that was
	 * sent to endpoint. notice->source is set; it is changed if the
	 * response is a refusal. Returns FALSE when there is no notice or
	 * another endpoint may have sent the response.
	 */
	gboolean (*read_notice)(void *ctx, const char *endpoint,
				const http_message_t *response,
				endpoint_notice_t *notice);
	/* Appends header lines for an error and returns its status code. */
	guint (*write_error)(void *ctx, const catk_error_t *error,
			     GString *headers);
	/*
	 * Returns the headers that write_request_headers() replaces,
	 * NULL-terminated; the caller's are not forwarded.
	 */
	const char *const *(*replaced_headers)(
		void *ctx, const attempt_request_t *attempt);
	void *ctx;
} proxy_codec_t;

/*
 * Listens on "ip:port" within the limits of listener. response_bytes_max limits
 * the body of one answer. The pointers must outlive the proxy, except codec,
 * which is copied.
 * Returns NULL with CATK_INVALID_ARGUMENT or CATK_UNAVAILABLE.
 * Free with proxy_free().
 */
proxy_t *proxy_new(const char *address, entry_t *entry,
		   const proxy_codec_t *codec, gsize response_bytes_max,
		   listener_t *listener, const catk_clock_t *clock,
		   catk_error_t *err);

/*
 * Sets the idle time after which a connection to an endpoint is closed that
 * announces no time itself.
 */
void proxy_set_endpoint_idle_timeout(proxy_t *proxy, GTimeSpan timeout);

/* Drops requests in flight without a response. NULL is allowed. */
void proxy_free(proxy_t *proxy);

/* See http_server_stop(). */
void proxy_stop(proxy_t *proxy);

/* See http_server_close_disconnected(). */
void proxy_close_disconnected(proxy_t *proxy);

/* See http_server_is_idle(). */
gboolean proxy_is_idle(const proxy_t *proxy);

/* Number of callers' connections with answers that are not sent completely. */
guint proxy_unsent_count(const proxy_t *proxy);

/* Number of open connections of callers. */
guint proxy_connection_count(const proxy_t *proxy);

/* Implementations of entry_actions_t for routed calls. */
void proxy_send_response(proxy_t *proxy, void *caller_ref,
			 const call_answer_t *answer);
void proxy_start_attempt(proxy_t *proxy, const attempt_request_t *request);
void proxy_cancel_attempt(proxy_t *proxy, guint64 attempt_id);
void proxy_send_probe(proxy_t *proxy, const char *service,
		      const char *endpoint);

/* TRUE when caller_ref is a request of this proxy without a response. */
gboolean proxy_owns(const proxy_t *proxy, const void *caller_ref);

#endif
