#include "net/http_service.h"

#include <string.h>

#include "net/http_reply.h"

/*
 * Limits without a configuration, which applies to users' requests only. Clients
 * of these interfaces send a request at once, and use a connection more often.
 */
#define HEADER_BYTES_MAX 65536
#define HEADER_TIMEOUT (30 * G_TIME_SPAN_SECOND)
#define IDLE_TIMEOUT (60 * G_TIME_SPAN_SECOND)

typedef struct service_handler {
	TAILQ_ENTRY(service_handler) link;
	const char *path;
	http_handler_t handler;
} service_handler_t;

/* One address. */
typedef struct service_port {
	TAILQ_ENTRY(service_port) link;
	http_service_t *service;
	http_server_t *server;
	listener_t *listener;
} service_port_t;

struct http_service {
	gsize body_bytes_max;
	http_service_closing_fn_t closing;
	void *closing_ctx;
	const catk_clock_t *clock;
	TAILQ_HEAD(service_handlers, service_handler) handlers;
	TAILQ_HEAD(service_ports, service_port) ports;
};

static gboolean is_below(const char *path, const char *parent)
{
	gsize length = strlen(parent);

	return strncmp(path, parent, length) == 0 &&
	       (!path[length] || path[length] == '/');
}

/* The handler with the longest path, NULL if there is none. */
static const http_handler_t *find_handler(const http_service_t *service,
					  const char *path)
{
	const service_handler_t *entry, *found = NULL;

	TAILQ_FOREACH (entry, &service->handlers, link)
		if (is_below(path, entry->path) &&
		    (!found || strlen(entry->path) > strlen(found->path)))
			found = entry;
	return found ? &found->handler : NULL;
}

/* Returns the decoded path of a target, NULL if it is not valid. */
static gchar *decode_path(const char *target)
{
	static const char scheme[] = "http://";

	if (g_ascii_strncasecmp(target, scheme, strlen(scheme)) == 0) {
		target += strlen(scheme);
		target += strcspn(target, "/?#");
	}
	return g_uri_unescape_segment(target, target + strcspn(target, "?#"),
				      NULL);
}

static GHashTable *decode_query(const char *target)
{
	const char *query = strchr(target, '?');

	return query ? g_uri_parse_params(query + 1,
					  (gssize)strcspn(query + 1, "#"), "&",
					  G_URI_PARAMS_WWW_FORM, NULL) :
		       NULL;
}

static void reply_not_found(http_exchange_t *exchange)
{
	catk_error_t error;

	catk_error_set(&error, CATK_NOT_FOUND, OUTCOME_NOT_RUN,
		       "nothing is served at this path: see the interfaces in "
		       "docs/OPERATIONS.md");
	http_reply_error(exchange, &error);
}

static void on_request(void *ctx, http_exchange_t *exchange)
{
	const service_port_t *port = ctx;
	const char *target = http_exchange_request(exchange)->target;
	gchar *path = decode_path(target);
	const http_handler_t *handler =
		path ? find_handler(port->service, path) : NULL;
	GHashTable *query;

	if (handler) {
		query = decode_query(target);
		handler->request(handler->ctx, exchange, path, query);
		g_clear_pointer(&query, g_hash_table_unref);
	} else {
		reply_not_found(exchange);
	}
	g_free(path);
}

static void on_disconnected(void *ctx, http_exchange_t *exchange)
{
	const service_port_t *port = ctx;
	gchar *path = decode_path(http_exchange_request(exchange)->target);
	const http_handler_t *handler =
		path ? find_handler(port->service, path) : NULL;

	if (handler && handler->disconnected)
		handler->disconnected(handler->ctx, exchange);
	g_free(path);
}

static schema_request_limits_t current_limits(void *ctx)
{
	const service_port_t *port = ctx;

	return (schema_request_limits_t){
		.header_bytes_max = HEADER_BYTES_MAX,
		.body_bytes_max = port->service->body_bytes_max,
		.header_timeout = HEADER_TIMEOUT,
		.idle_timeout = IDLE_TIMEOUT,
	};
}

static gboolean is_closing(void *ctx)
{
	const service_port_t *port = ctx;
	const http_service_t *service = port->service;

	return service->closing && service->closing(service->closing_ctx);
}

static void on_body_refused(void *ctx, gsize bytes)
{
	const service_port_t *port = ctx;

	listener_body_refused(port->listener, bytes);
}

static void on_connection_limited(void *ctx, gboolean replaced)
{
	const service_port_t *port = ctx;

	listener_connection_limited(port->listener, replaced,
				    catk_clock_now(port->service->clock));
}

http_service_t *http_service_new(gsize body_bytes_max,
				 http_service_closing_fn_t closing, void *ctx,
				 const catk_clock_t *clock)
{
	http_service_t *service = g_new0(http_service_t, 1);

	service->body_bytes_max = body_bytes_max;
	service->closing = closing;
	service->closing_ctx = ctx;
	service->clock = clock;
	TAILQ_INIT(&service->handlers);
	TAILQ_INIT(&service->ports);
	return service;
}

static void port_free(service_port_t *port)
{
	TAILQ_REMOVE(&port->service->ports, port, link);
	http_server_free(port->server);
	g_free(port);
}

static void handler_free(http_service_t *service, service_handler_t *entry)
{
	TAILQ_REMOVE(&service->handlers, entry, link);
	g_free(entry);
}

void http_service_free(http_service_t *service)
{
	if (!service)
		return;
	while (!TAILQ_EMPTY(&service->ports))
		port_free(TAILQ_FIRST(&service->ports));
	while (!TAILQ_EMPTY(&service->handlers))
		handler_free(service, TAILQ_FIRST(&service->handlers));
	g_free(service);
}

gboolean http_service_listen(http_service_t *service, const char *address,
			     listener_t *listener, catk_error_t *err)
{
	service_port_t *port = g_new0(service_port_t, 1);
	const http_server_events_t events = {
		.request = on_request,
		.disconnected = on_disconnected,
		.limits = current_limits,
		.closing = is_closing,
		.body_refused = on_body_refused,
		.connection_limited = on_connection_limited,
		.sends_continue = TRUE,
		.refusal_headers = "Catkinstall-Outcome: not_run\r\n",
		.ctx = port,
	};

	port->service = service;
	port->listener = listener;
	TAILQ_INSERT_TAIL(&service->ports, port, link);
	port->server = http_server_new(address, &events, service->clock, err);
	if (!port->server) {
		port_free(port);
		return FALSE;
	}
	http_server_set_body_budget(port->server, listener->bodies);
	http_server_set_connections_max(port->server,
					listener->connections_max);
	return TRUE;
}

void http_service_add_handler(http_service_t *service, const char *path,
			      const http_handler_t *handler)
{
	service_handler_t *entry = g_new0(service_handler_t, 1);

	entry->path = path;
	entry->handler = *handler;
	TAILQ_INSERT_TAIL(&service->handlers, entry, link);
}

void http_service_remove_handler(http_service_t *service, const char *path)
{
	service_handler_t *entry, *next;

	TAILQ_FOREACH_SAFE (entry, &service->handlers, link, next)
		if (g_str_equal(entry->path, path))
			handler_free(service, entry);
}

void http_service_close_disconnected(http_service_t *service)
{
	const service_port_t *port;

	TAILQ_FOREACH (port, &service->ports, link)
		http_server_close_disconnected(port->server);
}

gboolean http_service_is_flushed(const http_service_t *service)
{
	const service_port_t *port;

	TAILQ_FOREACH (port, &service->ports, link)
		if (http_server_unsent_count(port->server))
			return FALSE;
	return TRUE;
}
