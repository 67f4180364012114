/*
 * An HTTP/1.1 server on the main loop. Pipelined requests are handed over side
 * by side and answered in order. It notices when a caller leaves.
 */
#ifndef CATK_HTTP_SERVER_H
#define CATK_HTTP_SERVER_H

#include "lib/common/clock.h"
#include "lib/common/error.h"
#include "lib/schema/schema.h"
#include "net/http_message.h"

typedef struct http_server http_server_t;

/* A request from its arrival until its answer is written or its caller left. */
typedef struct http_exchange http_exchange_t;

typedef struct {
	/* A complete request; answer it with http_exchange_reply(). */
	void (*request)(void *ctx, http_exchange_t *exchange);
	/*
	 * The caller left before the answer; the exchange is freed when this
	 * returns.
	 */
	void (*disconnected)(void *ctx, http_exchange_t *exchange);
	/* Limits for the next request. */
	schema_request_limits_t (*limits)(void *ctx);
	void *ctx;
} http_server_events_t;

/*
 * Listens on "ip:port". clock must outlive the server. NULL with
 * CATK_INVALID_ARGUMENT or CATK_UNAVAILABLE. Free with http_server_free().
 */
http_server_t *http_server_new(const char *address,
			       const http_server_events_t *events,
			       const catk_clock_t *clock, catk_error_t *err);

/* Closes all connections without events. NULL is allowed. */
void http_server_free(http_server_t *server);

/* Answers say from now on that their connection closes. */
void http_server_drain(http_server_t *server);

/* Requests that were handed over and whose answers are not written yet. */
guint http_server_pending_requests(const http_server_t *server);

const http_message_t *http_exchange_request(const http_exchange_t *exchange);

/* Memory for the front end; NULL at first. */
void **http_exchange_user_data(http_exchange_t *exchange);

/*
 * Answers a request. headers are complete lines, body may be NULL; both are
 * copied. The exchange is freed after its turn.
 */
void http_exchange_reply(http_exchange_t *exchange, guint status,
			 const char *headers, GBytes *body);

/* Reason phrase of a status code. */
const char *http_reason_phrase(guint status);

#endif
