/*
 * An asynchronous HTTP/1.1 server on the GLib main loop. Pipelined requests are
 * handled concurrently and answered in order. The handler is told when a client
 * disconnects before its response.
 */
#ifndef CATK_HTTP_SERVER_H
#define CATK_HTTP_SERVER_H

#include "lib/admission/body_budget.h"
#include "lib/common/clock.h"
#include "lib/common/error.h"
#include "lib/schema/schema.h"
#include "net/http_message.h"

typedef struct http_server http_server_t;

/*
 * A request and its response. Lives until the response is written or the client
 * has disconnected.
 */
typedef struct http_exchange http_exchange_t;

typedef struct {
	/* A request was received; respond with http_exchange_reply(). */
	void (*request)(void *ctx, http_exchange_t *exchange);
	/*
	 * The client disconnected before the response. The exchange is freed
	 * after the callback returns.
	 */
	void (*disconnected)(void *ctx, http_exchange_t *exchange);
	/* Returns the limits for the next request. */
	schema_request_limits_t (*limits)(void *ctx);
	/*
	 * TRUE if a connection accepts no more requests from its next response
	 * on, and is closed after those in progress are answered.
	 */
	gboolean (*closing)(void *ctx);
	/*
	 * A request was refused, as the budget has no room for its body of at
	 * least bytes. Not NULL if a budget is set.
	 */
	void (*body_refused)(void *ctx, gsize bytes);
	/*
	 * A new connection met the limit of connections: either one without
	 * progress was closed in its favour, or it was refused. May be NULL.
	 */
	void (*connection_limited)(void *ctx, gboolean replaced);
	/* Answers a request that expects "100-continue" with it. */
	gboolean sends_continue;
	/* Complete header lines of the server's own refusals, or NULL. */
	const char *refusal_headers;
	void *ctx;
} http_server_events_t;

/*
 * Listens on "ip:port". clock must outlive the server. Returns NULL with
 * CATK_INVALID_ARGUMENT or CATK_UNAVAILABLE. Free with http_server_free().
 */
http_server_t *http_server_new(const char *address,
			       const http_server_events_t *events,
			       const catk_clock_t *clock, catk_error_t *err);

/*
 * Limits the bodies of all requests together, from the announcement of a body to
 * the response. A request whose body has no room is refused with status 503 and
 * is not passed to the handler. budget must outlive the server.
 */
void http_server_set_body_budget(http_server_t *server, body_budget_t *budget);

/*
 * Limits the open connections, 0 for no limit. At the limit, a new connection
 * replaces the one that has been without progress for longest, or is refused.
 */
void http_server_set_connections_max(http_server_t *server, guint max);

/* Closes all connections without callbacks. NULL is allowed. */
void http_server_free(http_server_t *server);

/*
 * Accepts the connections that wait in the kernel and no more, and closes the
 * idle ones. Requests that have begun or wait in the kernel are still handled.
 */
void http_server_stop(http_server_t *server);

/*
 * Reports the disconnection of the clients that have closed their connections
 * and whose requests are in progress. Otherwise the main loop reports it in the
 * order of its sources, after other events that may send a request on. Must not
 * be called from a callback.
 */
void http_server_close_disconnected(http_server_t *server);

/*
 * TRUE when no connection is open: after a stop, when the requests that have
 * begun are answered and the clients have read the answers.
 */
gboolean http_server_is_idle(const http_server_t *server);

/* Number of connections with responses that are not sent completely. */
guint http_server_unsent_count(const http_server_t *server);

/* Number of open connections. */
guint http_server_connection_count(const http_server_t *server);

const http_message_t *http_exchange_request(const http_exchange_t *exchange);

/* Returns a pointer slot for the handler's own use, initially NULL. */
void **http_exchange_user_data(http_exchange_t *exchange);

/*
 * Responds to a request. headers are complete header lines, which are copied;
 * body is referenced and may be NULL. The body of a response to HEAD and its
 * Content-Length are not sent; headers may have the Content-Length of the
 * response to GET. The exchange is freed once all earlier responses on its
 * connection are written.
 */
void http_exchange_reply(http_exchange_t *exchange, guint status,
			 const char *headers, GBytes *body);

/* Returns the reason phrase of a status code. */
const char *http_reason_phrase(guint status);

#endif
