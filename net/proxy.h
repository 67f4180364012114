/*
 * Forwards HTTP requests of callers to endpoints: the front end of routed
 * calls. What headers mean is the codec's; where and whether a request is sent
 * is the entry's.
 */
#ifndef CATK_PROXY_H
#define CATK_PROXY_H

#include "lib/entry/entry.h"
#include "net/http_message.h"

typedef struct proxy proxy_t;

/* Translates between messages and typed values; it decides nothing. */
typedef struct {
	/*
	 * Reads what the caller states. FALSE with the error to answer when
	 * the request cannot be forwarded.
	 */
	gboolean (*read_request)(void *ctx, const http_message_t *request,
				 GTimeSpan *remaining, catk_error_t *err);
	/* What an answer must repeat to belong to the request, or NULL. */
	const char *(*request_id)(void *ctx, const http_message_t *request);
	/* FALSE when the answer belongs to a request of another identity. */
	gboolean (*response_matches)(void *ctx, const char *identity,
				     const http_message_t *answer);
	/* Appends header lines for the endpoint. */
	void (*write_request_headers)(void *ctx,
				      const attempt_request_t *attempt,
				      GString *headers);
	/* Sets end, status and report of a complete answer. */
	void (*read_response)(void *ctx, const http_message_t *answer,
			      attempt_result_t *result);
	/* FALSE when the answer to a probe holds no report of the endpoint. */
	gboolean (*read_probe_response)(void *ctx, const char *endpoint,
					const http_message_t *answer,
					load_report_t *report);
	/* Status and header lines that tell the caller of an error. */
	guint (*write_error)(void *ctx, const catk_error_t *error,
			     GString *headers);
	/* Header names that write_request_headers() replaces, NULL-ended. */
	const char *const *replaced_headers;
	void *ctx;
} proxy_codec_t;

/*
 * Listens on "ip:port". All arguments must outlive the proxy; codec is copied.
 * NULL with CATK_INVALID_ARGUMENT or CATK_UNAVAILABLE. Free with proxy_free().
 */
proxy_t *proxy_new(const char *address, entry_t *entry,
		   const proxy_codec_t *codec, const catk_clock_t *clock,
		   catk_error_t *err);

/* Drops requests in flight without an answer. NULL is allowed. */
void proxy_free(proxy_t *proxy);

/* This instance is leaving: answers close their connections. */
void proxy_drain(proxy_t *proxy);

/* TRUE when every request that came is answered. */
gboolean proxy_is_idle(const proxy_t *proxy);

/* The actions of entry_actions_t for routed calls. */
void proxy_send_response(proxy_t *proxy, void *caller_ref,
			 const call_answer_t *answer);
void proxy_start_attempt(proxy_t *proxy, const attempt_request_t *request);
void proxy_cancel_attempt(proxy_t *proxy, guint64 attempt_id);
void proxy_send_probe(proxy_t *proxy, const char *service,
		      const char *endpoint);

/* TRUE when the caller of an answer is one of this front end's. */
gboolean proxy_owns(const proxy_t *proxy, const void *caller_ref);

#endif
