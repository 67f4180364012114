/*
 * An asynchronous HTTP/1.1 client with persistent connections. It sends each
 * request once and never retries; the result tells whether any byte of the
 * request was sent.
 */
#ifndef CATK_HTTP_CLIENT_H
#define CATK_HTTP_CLIENT_H

#include "lib/common/clock.h"
#include "net/http_message.h"

typedef struct http_client http_client_t;

/* How a request ended. */
typedef enum {
	HTTP_CLIENT_COMPLETED, /* a complete response was received */
	HTTP_CLIENT_NOT_SENT, /* no byte of the request was sent */
	HTTP_CLIENT_DISCONNECTED, /* closed or reset before the response ended */
	HTTP_CLIENT_MALFORMED, /* what was received is not an HTTP response */
	HTTP_CLIENT_TOO_LARGE, /* the response exceeds the limits */
	HTTP_CLIENT_TIMED_OUT /* the request's timeout passed */
} http_client_end_t;

typedef struct {
	http_client_end_t end;
	const http_message_t *response; /* with HTTP_CLIENT_COMPLETED */
	gboolean reused; /* the connection had carried another request */
} http_client_result_t;

typedef struct {
	/* A request ended. The callback may send further requests. */
	void (*ended)(void *ctx, guint64 id,
		      const http_client_result_t *result);
	/*
	 * Returns FALSE for a response to an earlier request on the same
	 * connection: it is discarded, and the client waits for the next one.
	 * reused is TRUE if the connection has carried earlier requests. NULL
	 * when responses carry no request ids.
	 */
	gboolean (*response_matches)(void *ctx, guint64 id,
				     const http_message_t *response,
				     gboolean reused);
	/*
	 * The headers of a response were received, also of one that will be
	 * discarded or ends early. The callback must not send or cancel
	 * requests. NULL ignores the event.
	 */
	void (*head_received)(void *ctx, guint64 id,
			      const http_message_t *response, gboolean reused);
	void *ctx;
} http_client_events_t;

typedef struct {
	guint64 id; /* not 0, unique among the requests in flight */
	const char *address; /* "ip:port" */
	GString *message; /* the request, without body if that is set; copied */
	GBytes *body; /* sent after message and referenced, or NULL */
	gboolean is_head; /* its response has no body */
	GTimeSpan timeout; /* from sending to the end of the response, 0: none */
	/* Reuse only connections idle for less than this; 0: open a new one. */
	GTimeSpan idle_max;
} http_client_request_t;

/*
 * limits apply to each response. clock must outlive the client. Free with
 * http_client_free().
 */
http_client_t *http_client_new(const http_client_events_t *events,
			       const http_message_limits_t *limits,
			       const catk_clock_t *clock);

/*
 * Ends connections opened from now on when their peer has been silent for
 * timeout; see stream_detect_silence().
 */
void http_client_detect_silence(http_client_t *client, GTimeSpan timeout);

/*
 * Sets the idle time after which connections are closed whose peers announce
 * none. It must be shorter than that of the peers.
 */
void http_client_set_idle_timeout(http_client_t *client, GTimeSpan timeout);

/*
 * Limits the bytes that are kept of all incomplete responses together, 0 for no
 * limit. Above it the response with the most bytes ends as too large.
 */
void http_client_set_kept_bytes_max(http_client_t *client, gsize max);

/* Aborts requests in flight without calling ended. NULL is allowed. */
void http_client_free(http_client_t *client);

void http_client_send(http_client_t *client,
		      const http_client_request_t *request);

/* Closes the idle connections: they may be dead without being closed. */
void http_client_close_idle(http_client_t *client);

/* Closes the connection of a request without calling ended. */
void http_client_cancel(http_client_t *client, guint64 id);

#endif
