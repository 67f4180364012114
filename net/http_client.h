/*
 * An HTTP/1.1 client on the main loop with kept connections. It sends a request
 * once, reports how many bytes of it left, and repeats nothing by itself.
 */
#ifndef CATK_HTTP_CLIENT_H
#define CATK_HTTP_CLIENT_H

#include "lib/common/clock.h"
#include "net/http_message.h"

typedef struct http_client http_client_t;

typedef enum {
	HTTP_CLIENT_COMPLETED, /* a complete answer */
	HTTP_CLIENT_NOT_SENT, /* no byte of the request left */
	HTTP_CLIENT_DISCONNECTED, /* closed or reset without a complete answer */
	HTTP_CLIENT_MALFORMED, /* bytes that are no answer */
	HTTP_CLIENT_TIMED_OUT /* as asked for by timeout */
} http_client_end_t;

typedef struct {
	http_client_end_t end;
	const http_message_t *response; /* with HTTP_CLIENT_COMPLETED */
	gboolean reused; /* the connection had carried another request */
} http_client_result_t;

typedef struct {
	/* The request of that id has ended. It may send the next one. */
	void (*ended)(void *ctx, guint64 id,
		      const http_client_result_t *result);
	/*
	 * FALSE for an answer that belongs to an earlier request of the
	 * connection. It is dropped, and the next one is waited for. NULL
	 * where answers carry no ids.
	 */
	gboolean (*response_matches)(void *ctx, guint64 id,
				     const http_message_t *answer);
	void *ctx;
} http_client_events_t;

typedef struct {
	guint64 id; /* not in use */
	const char *address; /* "ip:port" */
	GString *message; /* complete, copied */
	GTimeSpan timeout; /* of the whole exchange, 0 for none */
	GTimeSpan idle_max; /* of a kept connection; 0 for a new one only */
} http_client_request_t;

/* clock must outlive the client. Free with http_client_free(). */
http_client_t *http_client_new(const http_client_events_t *events,
			       const catk_clock_t *clock);

/*
 * Connections opened from now on are checked while they wait: one that went
 * silent ends as failed within a few seconds.
 */
void http_client_enable_tcp_keepalive(http_client_t *client);

/* Drops everything in flight without events. NULL is allowed. */
void http_client_free(http_client_t *client);

void http_client_send(http_client_t *client,
		      const http_client_request_t *request);

/* Closes the connection of a request; no event follows. */
void http_client_cancel(http_client_t *client, guint64 id);

#endif
