#include "net/http_server.h"

#include <http_parser.h>

#include "net/address.h"
#include "net/stream.h"

/* Pipelined requests of one connection that are handed over at once. */
#define PIPELINE_MAX 32
/* Connections taken from the queue in one turn of the loop. */
#define ACCEPTS_PER_TURN 32
/* Time between two looks for connections that are idle or slow. */
#define SWEEP_INTERVAL_MS 250
/* After a last answer, time for the caller to read it and to close. */
#define LINGER_TIME (1 * G_TIME_SPAN_SECOND)

typedef struct connection {
	TAILQ_ENTRY(connection) link;
	http_server_t *server;
	stream_t *stream;
	http_message_parser_t *parse;
	GByteArray *rest; /* received, not parsed: the pipeline is full */
	TAILQ_HEAD(exchange_list, http_exchange) exchanges; /* by arrival */
	guint exchange_count;
	GTimeSpan since; /* last answer, or first byte of a request */
	gboolean closing; /* no further request is taken */
	gboolean lingering; /* everything is answered */
	gboolean busy; /* in a callback: freed at its end */
	gboolean doomed;
} connection_t;

struct http_exchange {
	TAILQ_ENTRY(http_exchange) link;
	connection_t *connection;
	http_message_t *request;
	void *data;
	GString *answer; /* NULL until it is known */
	gboolean closes; /* the answer ends the connection */
};

struct http_server {
	http_server_events_t events;
	const catk_clock_t *clock;
	GSocket *socket;
	GSource *source;
	guint sweep;
	guint resume; /* source that parses what a full pipeline held up */
	gboolean leaving;
	guint pending;
	TAILQ_HEAD(connection_list, connection) connections;
};

const char *http_reason_phrase(guint status)
{
	return http_status_str((enum http_status)status);
}

static void exchange_free(http_exchange_t *exchange)
{
	connection_t *connection = exchange->connection;

	TAILQ_REMOVE(&connection->exchanges, exchange, link);
	connection->exchange_count--;
	if (!exchange->answer)
		connection->server->pending--;
	else
		g_string_free(exchange->answer, TRUE);
	http_message_free(exchange->request);
	g_free(exchange);
}

static void connection_destroy(connection_t *connection)
{
	TAILQ_REMOVE(&connection->server->connections, connection, link);
	while (!TAILQ_EMPTY(&connection->exchanges))
		exchange_free(TAILQ_FIRST(&connection->exchanges));
	stream_free(connection->stream);
	http_message_parser_free(connection->parse);
	g_byte_array_unref(connection->rest);
	g_free(connection);
}

/* Tells the front end of every request that nobody waits for any more. */
static void connection_close(connection_t *connection)
{
	const http_server_events_t *events = &connection->server->events;
	http_exchange_t *exchange;

	if (connection->doomed)
		return;
	connection->doomed = TRUE;
	TAILQ_FOREACH (exchange, &connection->exchanges, link)
		if (!exchange->answer)
			events->disconnected(events->ctx, exchange);
	if (!connection->busy)
		connection_destroy(connection);
}

static GTimeSpan now_of(const connection_t *connection)
{
	return catk_clock_now(connection->server->clock);
}

/* The caller reads the last answer before the connection is torn down. */
static void start_lingering(connection_t *connection)
{
	connection->lingering = TRUE;
	connection->since = now_of(connection);
	stream_shutdown_write(connection->stream);
	stream_set_reading(connection->stream, TRUE);
}

/* Writes the answers whose turn it is. */
static void write_answers(connection_t *connection)
{
	http_exchange_t *exchange;
	gboolean closes = FALSE;

	while (!closes && (exchange = TAILQ_FIRST(&connection->exchanges)) &&
	       exchange->answer) {
		stream_write(connection->stream, exchange->answer->str,
			     exchange->answer->len);
		closes = exchange->closes;
		connection->since = now_of(connection);
		exchange_free(exchange);
	}
	if (closes && !connection->lingering) {
		connection->closing = TRUE;
		start_lingering(connection);
	}
}

static void pace_reading(connection_t *connection)
{
	stream_set_reading(connection->stream,
			   connection->closing ||
				   connection->exchange_count < PIPELINE_MAX);
}

static gboolean on_resume(gpointer data);

static void append_answer(http_exchange_t *exchange, guint status,
			  const char *headers, GBytes *body)
{
	gsize size = 0;
	gconstpointer data = body ? g_bytes_get_data(body, &size) : NULL;

	exchange->answer = g_string_sized_new(size + 512);
	g_string_append_printf(exchange->answer,
			       "HTTP/1.1 %u %s\r\n%sContent-Length: "
			       "%" G_GSIZE_FORMAT "\r\n%s\r\n",
			       status, http_reason_phrase(status), headers,
			       size,
			       exchange->closes ? "Connection: close\r\n" : "");
	if (size)
		g_string_append_len(exchange->answer, data, (gssize)size);
}

void http_exchange_reply(http_exchange_t *exchange, guint status,
			 const char *headers, GBytes *body)
{
	connection_t *connection = exchange->connection;

	g_assert(!exchange->answer);
	if (connection->server->leaving ||
	    (exchange->request && !exchange->request->keep_alive))
		exchange->closes = TRUE;
	append_answer(exchange, status, headers, body);
	connection->server->pending--;
	if (connection->doomed)
		return;
	write_answers(connection);
	if (connection->rest->len && !connection->server->resume)
		connection->server->resume =
			g_idle_add(on_resume, connection->server);
	pace_reading(connection);
}

static http_exchange_t *add_exchange(connection_t *connection,
				     http_message_t *request)
{
	http_exchange_t *exchange = g_new0(http_exchange_t, 1);

	exchange->connection = connection;
	exchange->request = request;
	TAILQ_INSERT_TAIL(&connection->exchanges, exchange, link);
	connection->exchange_count++;
	connection->server->pending++;
	return exchange;
}

static guint status_of(http_parse_result_t result)
{
	switch (result) {
	case HTTP_PARSE_HEADERS_TOO_LARGE:
		return HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE;
	case HTTP_PARSE_BODY_TOO_LARGE:
		return HTTP_STATUS_PAYLOAD_TOO_LARGE;
	case HTTP_PARSE_INCOMPLETE:
	case HTTP_PARSE_COMPLETE:
	case HTTP_PARSE_MALFORMED:
		break;
	}
	return HTTP_STATUS_BAD_REQUEST;
}

/* Answers in its turn, and takes no further request on the connection. */
static void refuse(connection_t *connection, guint status)
{
	http_exchange_t *exchange = add_exchange(connection, NULL);

	connection->closing = TRUE;
	exchange->closes = TRUE;
	http_exchange_reply(exchange, status, "", NULL);
}

static void take_request(connection_t *connection)
{
	const http_server_events_t *events = &connection->server->events;
	http_message_t *request = http_message_parser_take(connection->parse);

	if (!request->keep_alive)
		connection->closing = TRUE;
	connection->since = now_of(connection);
	events->request(events->ctx, add_exchange(connection, request));
}

static void apply_limits(connection_t *connection)
{
	const http_server_events_t *events = &connection->server->events;
	schema_request_limits_t limits = events->limits(events->ctx);
	http_message_limits_t bytes = { limits.header_bytes_max,
					limits.body_bytes_max };

	http_message_parser_set_limits(connection->parse, &bytes);
}

/* Parses what it can; returns the bytes taken. */
static gsize parse_some(connection_t *connection, const char *data, gsize size)
{
	http_parse_result_t result;
	gsize done = 0;
	gsize used;

	while (done < size && !connection->closing && !connection->doomed &&
	       connection->exchange_count < PIPELINE_MAX) {
		if (!http_message_parser_has_begun(connection->parse)) {
			apply_limits(connection);
			connection->since = now_of(connection);
		}
		result = http_message_parser_feed(
			connection->parse, data + done, size - done, &used);
		done += used;
		if (result == HTTP_PARSE_COMPLETE)
			take_request(connection);
		else if (result != HTTP_PARSE_INCOMPLETE)
			refuse(connection, status_of(result));
	}
	return connection->closing ? size : done;
}

static void parse_rest(connection_t *connection)
{
	GByteArray *rest = connection->rest;
	gsize done;

	if (connection->busy)
		return;
	connection->busy = TRUE;
	connection->rest = g_byte_array_new();
	done = parse_some(connection, (const char *)rest->data, rest->len);
	g_byte_array_append(connection->rest, rest->data + done,
			    rest->len - (guint)done);
	g_byte_array_unref(rest);
	connection->busy = FALSE;
	if (connection->doomed)
		connection_destroy(connection);
	else
		pace_reading(connection);
}

/* Outside of the answer that made room: a request may be answered at once. */
static gboolean on_resume(gpointer data)
{
	http_server_t *server = data;
	connection_t *connection, *next;

	server->resume = 0;
	TAILQ_FOREACH_SAFE (connection, &server->connections, link, next)
		if (connection->rest->len && !connection->closing)
			parse_rest(connection);
	return G_SOURCE_REMOVE;
}

static void on_received(void *ctx, const char *data, gsize size)
{
	connection_t *connection = ctx;

	if (connection->closing)
		return;
	g_byte_array_append(connection->rest, (const guint8 *)data,
			    (guint)size);
	parse_rest(connection);
}

static void on_ended(void *ctx, stream_end_t end)
{
	(void)end;
	connection_close(ctx);
}

static void accept_connection(http_server_t *server, GSocket *socket)
{
	connection_t *connection = g_new0(connection_t, 1);
	stream_events_t events = {
		.received = on_received,
		.ended = on_ended,
		.ctx = connection,
	};

	connection->server = server;
	connection->parse = http_message_parser_new(TRUE);
	connection->rest = g_byte_array_new();
	connection->since = catk_clock_now(server->clock);
	TAILQ_INIT(&connection->exchanges);
	TAILQ_INSERT_TAIL(&server->connections, connection, link);
	connection->stream = stream_new_from_socket(socket, &events);
}

static gboolean on_connection(GSocket *listener, GIOCondition condition,
			      gpointer data)
{
	GError *error = NULL;
	GSocket *socket;
	guint i;

	(void)condition;
	for (i = 0; i < ACCEPTS_PER_TURN; i++) {
		socket = g_socket_accept(listener, NULL, &error);
		if (!socket)
			break;
		accept_connection(data, socket);
		g_object_unref(socket);
	}
	if (error &&
	    !g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
		g_warning("a connection could not be accepted: %s; raise the "
			  "limit of open files if it is reached",
			  error->message);
	g_clear_error(&error);
	return G_SOURCE_CONTINUE;
}

static void sweep_connection(connection_t *connection,
			     const schema_request_limits_t *limits,
			     GTimeSpan now)
{
	GTimeSpan age = now - connection->since;

	if (connection->lingering) {
		if (age > LINGER_TIME)
			connection_close(connection);
		return;
	}
	if (connection->exchange_count)
		return;
	if (http_message_parser_has_begun(connection->parse)) {
		if (limits->header_timeout && age > limits->header_timeout &&
		    !http_message_parser_has_headers(connection->parse))
			refuse(connection, HTTP_STATUS_REQUEST_TIMEOUT);
	} else if (limits->idle_timeout && age > limits->idle_timeout) {
		connection_close(connection);
	}
}

static gboolean on_sweep(gpointer data)
{
	http_server_t *server = data;
	schema_request_limits_t limits =
		server->events.limits(server->events.ctx);
	GTimeSpan now = catk_clock_now(server->clock);
	connection_t *connection, *next;

	TAILQ_FOREACH_SAFE (connection, &server->connections, link, next)
		sweep_connection(connection, &limits, now);
	return G_SOURCE_CONTINUE;
}

http_server_t *http_server_new(const char *address,
			       const http_server_events_t *events,
			       const catk_clock_t *clock, catk_error_t *err)
{
	GSocket *socket = address_listen(address, err);
	http_server_t *server;

	if (!socket)
		return NULL;
	server = g_new0(http_server_t, 1);
	server->events = *events;
	server->clock = clock;
	server->socket = socket;
	TAILQ_INIT(&server->connections);
	g_socket_set_blocking(socket, FALSE);
	server->source = g_socket_create_source(socket, G_IO_IN, NULL);
	g_source_set_callback(server->source, G_SOURCE_FUNC(on_connection),
			      server, NULL);
	g_source_attach(server->source, NULL);
	server->sweep = g_timeout_add(SWEEP_INTERVAL_MS, on_sweep, server);
	return server;
}

void http_server_free(http_server_t *server)
{
	if (!server)
		return;
	g_source_remove(server->sweep);
	if (server->resume)
		g_source_remove(server->resume);
	g_source_destroy(server->source);
	g_source_unref(server->source);
	while (!TAILQ_EMPTY(&server->connections))
		connection_destroy(TAILQ_FIRST(&server->connections));
	g_object_unref(server->socket);
	g_free(server);
}

void http_server_drain(http_server_t *server)
{
	server->leaving = TRUE;
}

guint http_server_pending_requests(const http_server_t *server)
{
	return server->pending;
}

const http_message_t *http_exchange_request(const http_exchange_t *exchange)
{
	return exchange->request;
}

void **http_exchange_user_data(http_exchange_t *exchange)
{
	return &exchange->data;
}
