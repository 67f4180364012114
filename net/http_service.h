/*
 * Serves requests of small HTTP interfaces by path, on one or more listeners.
 * What a client can hold is limited as described in lib/admission/listener.h.
 */
#ifndef CATK_HTTP_SERVICE_H
#define CATK_HTTP_SERVICE_H

#include "lib/admission/listener.h"
#include "net/http_server.h"

typedef struct http_service http_service_t;

typedef struct {
	/*
	 * Responds with http_exchange_reply(), now or later. path is decoded;
	 * query holds names and values, NULL without a query.
	 */
	void (*request)(void *ctx, http_exchange_t *exchange, const char *path,
			GHashTable *query);
	/* See http_server_events_t. May be NULL. */
	void (*disconnected)(void *ctx, http_exchange_t *exchange);
	void *ctx;
} http_handler_t;

/* See http_server_events_t. */
typedef gboolean (*http_service_closing_fn_t)(void *ctx);

/*
 * Creates a service without listeners. body_bytes_max limits the body of one
 * request. Free with http_service_free().
 */
http_service_t *http_service_new(gsize body_bytes_max,
				 http_service_closing_fn_t closing, void *ctx,
				 const catk_clock_t *clock);

/* Closes all connections without callbacks. NULL is allowed. */
void http_service_free(http_service_t *service);

/*
 * Listens on "ip:port" within the limits of listener, which must outlive the
 * service. Returns FALSE with CATK_INVALID_ARGUMENT or CATK_UNAVAILABLE.
 */
gboolean http_service_listen(http_service_t *service, const char *address,
			     listener_t *listener, catk_error_t *err);

/*
 * Serves path, and all paths below it that no other handler serves. path must
 * outlive the service.
 */
void http_service_add_handler(http_service_t *service, const char *path,
			      const http_handler_t *handler);

/* Does nothing if no handler serves the path. */
void http_service_remove_handler(http_service_t *service, const char *path);

/* See http_server_close_disconnected(). */
void http_service_close_disconnected(http_service_t *service);

/* TRUE if every response has been passed to the kernel. */
gboolean http_service_is_flushed(const http_service_t *service);

#endif
