#include "net/http_server.h"

#include <http_parser.h>
#include <string.h>

#include "net/address.h"
#include "net/stream.h"

/* Concurrent requests of one connection; more than that wait in the input. */
#define PIPELINE_MAX 32
/* Responses that the client has not read, beyond which no requests are read. */
#define UNREAD_BYTES_MAX 262144
/* Connections accepted in one iteration of the main loop. */
#define ACCEPTS_PER_ITERATION 32
/* Time for the first bytes on a new connection, which a stop waits for. */
#define FIRST_REQUEST_TIMEOUT (100 * G_TIME_SPAN_MILLISECOND)
/* Connections accepted before a stop; the kernel's usual limit of a backlog. */
#define ACCEPTS_BEFORE_STOP 4096
/* Interval of the check for connections whose timeout passed. */
#define TIMEOUT_CHECK_INTERVAL_MS 250
/*
 * Time for the client to close the connection after the last response was passed
 * to the kernel.
 */
#define LINGER_TIMEOUT (1 * G_TIME_SPAN_SECOND)

/*
 * Headers of usual size are not part of the budget of bodies; what they take
 * beyond this is, in bytes. Those of further requests on a connection with one
 * in progress count in full.
 */
#define HEADER_BYTES_FREE 4096
/*
 * Slowest transfer of a body after a grace period: far below what a link of any
 * client does, but a client that sends single bytes does not hold a body for good.
 */
#define BODY_BYTES_PER_S_MIN 1024
#define BODY_GRACE (30 * G_TIME_SPAN_SECOND)
/*
 * At the limit of connections, one without progress for this long is closed in
 * favour of a new one.
 */
#define REPLACE_IDLE_MIN (1 * G_TIME_SPAN_SECOND)
/* Time after which accepting is tried again when descriptors have run out. */
#define ACCEPT_RETRY_MS 100

/* Header of a refusal for want of room: by then another body may have left. */
#define BODY_REFUSED_HEADERS "Retry-After: 1\r\n"

/* Space for the headers of most responses. */
#define RESPONSE_HEADERS_BYTES 512

typedef struct connection {
	TAILQ_ENTRY(connection) link;
	http_server_t *server;
	stream_t *stream;
	http_message_parser_t *parser;
	GByteArray *input; /* received, not parsed yet */
	TAILQ_HEAD(exchange_list, http_exchange) exchanges; /* oldest first */
	guint exchange_count;
	GTimeSpan timer_start; /* last response or first byte of a request */
	GTimeSpan last_received; /* instant */
	GTimeSpan body_started; /* instant; 0 without a body in progress */
	gsize body_held; /* of the budget, for the request being received */
	gboolean unused; /* has received nothing yet */
	gboolean closing; /* accepts no requests, ends with the last response */
	gboolean lingering; /* the last response was written */
	gboolean parsing; /* defers connection_free() */
	gboolean closed; /* freed after parsing */
} connection_t;

struct http_exchange {
	TAILQ_ENTRY(http_exchange) link;
	connection_t *connection;
	http_message_t *request;
	void *user_data;
	GString *response; /* NULL until the handler replied */
	gsize headers_end; /* offset in the response */
	GBytes *response_body; /* sent after the response, or NULL */
	gsize body_held; /* of the budget, for the request */
};

struct http_server {
	http_server_events_t events;
	const catk_clock_t *clock;
	body_budget_t *body_budget; /* NULL for none */
	GSocket *listener;
	GSource *accept_source;
	guint timeout_source;
	guint resume_source; /* parses input after a pipeline was full */
	guint accept_timer; /* resumes accepting, 0 while it is not paused */
	gboolean stopped; /* accepts no more connections */
	guint connections_max; /* 0 for no limit */
	guint connection_count;
	TAILQ_HEAD(connection_list, connection) connections;
};

const char *http_reason_phrase(guint status)
{
	return http_status_str((enum http_status)status);
}

static void release_body(const http_server_t *server, gsize *held)
{
	if (*held)
		body_budget_resize(server->body_budget, held, 0);
}

static void exchange_free(http_exchange_t *exchange)
{
	connection_t *connection = exchange->connection;

	release_body(connection->server, &exchange->body_held);
	TAILQ_REMOVE(&connection->exchanges, exchange, link);
	connection->exchange_count--;
	if (exchange->response)
		g_string_free(exchange->response, TRUE);
	g_clear_pointer(&exchange->response_body, g_bytes_unref);
	http_message_free(exchange->request);
	g_free(exchange);
}

static void connection_free(connection_t *connection)
{
	TAILQ_REMOVE(&connection->server->connections, connection, link);
	connection->server->connection_count--;
	release_body(connection->server, &connection->body_held);
	while (!TAILQ_EMPTY(&connection->exchanges))
		exchange_free(TAILQ_FIRST(&connection->exchanges));
	stream_free(connection->stream);
	http_message_parser_free(connection->parser);
	g_byte_array_unref(connection->input);
	g_free(connection);
}

/* Reports the disconnection for every request without a response. */
static void connection_close(connection_t *connection)
{
	const http_server_events_t *events = &connection->server->events;
	http_exchange_t *exchange;

	if (connection->closed)
		return;
	connection->closed = TRUE;
	TAILQ_FOREACH (exchange, &connection->exchanges, link)
		if (!exchange->response)
			events->disconnected(events->ctx, exchange);
	if (!connection->parsing)
		connection_free(connection);
}

static GTimeSpan connection_now(const connection_t *connection)
{
	return catk_clock_now(connection->server->clock);
}

/*
 * Shuts down only the sending side; the socket is closed later. Closing it with
 * unread input would reset the connection, and the client could lose the last
 * response.
 */
static void start_lingering(connection_t *connection)
{
	connection->lingering = TRUE;
	connection->timer_start = connection_now(connection);
	stream_shutdown_write(connection->stream);
	stream_set_reading(connection->stream, TRUE);
}

/* Announces the end of the connection in its last response. */
static void write_response(connection_t *connection, http_exchange_t *exchange)
{
	if (connection->closing && !TAILQ_NEXT(exchange, link))
		g_string_insert(exchange->response,
				(gssize)exchange->headers_end,
				"Connection: close\r\n");
	stream_write(connection->stream, exchange->response->str,
		     exchange->response->len);
	if (exchange->response_body)
		stream_write_bytes(connection->stream, exchange->response_body);
	connection->timer_start = connection_now(connection);
}

/* Writes the responses that have no earlier one pending. */
static void write_ready_responses(connection_t *connection)
{
	http_exchange_t *exchange = TAILQ_FIRST(&connection->exchanges);

	while (exchange && exchange->response) {
		write_response(connection, exchange);
		exchange_free(exchange);
		exchange = TAILQ_FIRST(&connection->exchanges);
	}
	if (connection->closing && !exchange && !connection->lingering)
		start_lingering(connection);
}

/* No further requests while the client does not read the responses. */
static gboolean accepts_requests(const connection_t *connection)
{
	return connection->exchange_count < PIPELINE_MAX &&
	       stream_bytes_buffered(connection->stream) <= UNREAD_BYTES_MAX;
}

static void update_reading(connection_t *connection)
{
	stream_set_reading(connection->stream,
			   connection->closing || accepts_requests(connection));
}

static gboolean on_resume(gpointer data);

/* At the priority of the sockets, or constant load would delay it for good. */
static void resume_parsing(connection_t *connection)
{
	http_server_t *server = connection->server;

	if (connection->input->len && !server->resume_source)
		server->resume_source = g_idle_add_full(
			G_PRIORITY_DEFAULT, on_resume, server, NULL);
}

static void format_response(http_exchange_t *exchange, guint status,
			    const char *headers, GBytes *body)
{
	gboolean is_head = exchange->request &&
			   http_message_is_head_request(exchange->request);
	gsize size = 0;
	gconstpointer data = body && !is_head ? g_bytes_get_data(body, &size) :
						NULL;

	if (size > STREAM_COPY_BYTES_MAX)
		exchange->response_body = g_bytes_ref(body);
	exchange->response = g_string_sized_new(
		exchange->response_body ? RESPONSE_HEADERS_BYTES :
					  size + RESPONSE_HEADERS_BYTES);
	g_string_append_printf(exchange->response, "HTTP/1.1 %u %s\r\n%s",
			       status, http_reason_phrase(status), headers);
	if (!is_head)
		g_string_append_printf(exchange->response,
				       "Content-Length: %" G_GSIZE_FORMAT
				       "\r\n",
				       size);
	exchange->headers_end = exchange->response->len;
	g_string_append(exchange->response, "\r\n");
	if (!exchange->response_body)
		g_string_append_len(exchange->response, data, (gssize)size);
}

void http_exchange_reply(http_exchange_t *exchange, guint status,
			 const char *headers, GBytes *body)
{
	connection_t *connection = exchange->connection;
	const http_server_events_t *events = &connection->server->events;

	g_assert(!exchange->response);
	if (events->closing(events->ctx))
		connection->closing = TRUE;
	format_response(exchange, status, headers, body);
	if (connection->closed)
		return;
	write_ready_responses(connection);
	resume_parsing(connection);
	update_reading(connection);
}

static http_exchange_t *add_exchange(connection_t *connection,
				     http_message_t *request)
{
	http_exchange_t *exchange = g_new0(http_exchange_t, 1);

	exchange->connection = connection;
	exchange->request = request;
	TAILQ_INSERT_TAIL(&connection->exchanges, exchange, link);
	connection->exchange_count++;
	return exchange;
}

static guint status_for_parse_error(http_parse_result_t result)
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

/* Responds after the earlier requests; accepts no more on the connection. */
static void reject_request(connection_t *connection, guint status,
			   const char *headers)
{
	const char *more = connection->server->events.refusal_headers;
	http_exchange_t *exchange = add_exchange(connection, NULL);
	gchar *all = g_strconcat(headers, more ? more : "", NULL);

	connection->closing = TRUE;
	http_exchange_reply(exchange, status, all, NULL);
	g_free(all);
}

/* What the request being received takes of the budget. */
static gsize request_bytes(const connection_t *connection)
{
	gsize headers = http_message_parser_header_bytes(connection->parser);
	gsize bytes_free = connection->exchange_count ? 0 : HEADER_BYTES_FREE;

	return http_message_parser_body_bytes(connection->parser) + headers -
	       MIN(headers, bytes_free);
}

/* Returns FALSE if the budget has no room for the request being received. */
static gboolean hold_body(connection_t *connection)
{
	body_budget_t *budget = connection->server->body_budget;
	gsize bytes = request_bytes(connection);

	return !budget || bytes <= connection->body_held ||
	       body_budget_resize(budget, &connection->body_held, bytes);
}

/* Gives back what the last growth of a complete body did not use. */
static void trim_body(connection_t *connection)
{
	body_budget_t *budget = connection->server->body_budget;

	if (budget)
		body_budget_resize(budget, &connection->body_held,
				   MIN(connection->body_held,
				       request_bytes(connection)));
}

static void refuse_body(connection_t *connection)
{
	const http_server_events_t *events = &connection->server->events;

	events->body_refused(events->ctx, request_bytes(connection));
	reject_request(connection, HTTP_STATUS_SERVICE_UNAVAILABLE,
		       BODY_REFUSED_HEADERS);
}

/* The client waits with the body until it is told to continue. */
static void send_continue(connection_t *connection)
{
	static const char text[] = "HTTP/1.1 100 Continue\r\n\r\n";
	const http_message_t *head =
		http_message_parser_head(connection->parser);
	const char *expect = head ? http_message_header(head, "Expect") : NULL;

	if (connection->server->events.sends_continue && expect &&
	    g_ascii_strcasecmp(expect, "100-continue") == 0 &&
	    !connection->exchange_count)
		stream_write(connection->stream, text, strlen(text));
}

/*
 * A request may have waited in the kernel while this process stood still. It is
 * dropped if its client has left meanwhile.
 */
static void dispatch_request(connection_t *connection)
{
	const http_server_events_t *events = &connection->server->events;
	http_message_t *request;
	http_exchange_t *exchange;

	if (stream_peer_has_closed(connection->stream)) {
		connection_close(connection);
		return;
	}
	trim_body(connection);
	request = http_message_parser_take(connection->parser);
	exchange = add_exchange(connection, request);
	exchange->body_held = connection->body_held;
	connection->body_held = 0;
	connection->body_started = 0;
	if (!request->keep_alive)
		connection->closing = TRUE;
	connection->timer_start = connection_now(connection);
	events->request(events->ctx, exchange);
}

static void apply_limits(connection_t *connection)
{
	const http_server_events_t *events = &connection->server->events;
	schema_request_limits_t limits = events->limits(events->ctx);
	http_message_limits_t bytes = { limits.header_bytes_max,
					limits.body_bytes_max };
	const body_budget_t *budget = connection->server->body_budget;

	/* A larger body would never have room. */
	if (budget &&
	    (!bytes.body_bytes_max || bytes.body_bytes_max > budget->max))
		bytes.body_bytes_max = budget->max;
	http_message_parser_set_limits(connection->parser, &bytes);
}

/* Line ends may precede a request (RFC 9112, section 2.2). */
static gboolean is_line_end(char c)
{
	return c == '\r' || c == '\n';
}

/* Parses until the pipeline is full; returns the number of bytes consumed. */
static gsize parse_requests(connection_t *connection, const char *data,
			    gsize size)
{
	http_parse_result_t result;
	gboolean body_started;
	gsize consumed = 0;
	gsize used;

	while (consumed < size && !connection->closing && !connection->closed &&
	       accepts_requests(connection)) {
		if (!http_message_parser_has_begun(connection->parser)) {
			/* Not progress: a client could send them for good. */
			if (is_line_end(data[consumed])) {
				consumed++;
				continue;
			}
			apply_limits(connection);
			connection->timer_start = connection_now(connection);
		}
		result = http_message_parser_feed(connection->parser,
						  data + consumed,
						  size - consumed, &used);
		consumed += used;
		body_started =
			!connection->body_started &&
			http_message_parser_has_headers(connection->parser);
		if (body_started)
			connection->body_started = connection_now(connection);
		if (result != HTTP_PARSE_COMPLETE &&
		    result != HTTP_PARSE_INCOMPLETE)
			reject_request(connection,
				       status_for_parse_error(result), "");
		else if (!hold_body(connection))
			refuse_body(connection);
		else if (result == HTTP_PARSE_COMPLETE)
			dispatch_request(connection);
		else if (body_started)
			send_continue(connection);
	}
	return connection->closing ? size : consumed;
}

static void parse_input(connection_t *connection)
{
	GByteArray *input = connection->input;
	gsize consumed;

	if (connection->parsing)
		return;
	connection->parsing = TRUE;
	connection->input = g_byte_array_new();
	consumed = parse_requests(connection, (const char *)input->data,
				  input->len);
	g_byte_array_append(connection->input, input->data + consumed,
			    input->len - (guint)consumed);
	g_byte_array_unref(input);
	connection->parsing = FALSE;
	if (connection->closed)
		connection_free(connection);
	else
		update_reading(connection);
}

/*
 * Parses input that waited because a pipeline was full. Called from the main
 * loop, as http_exchange_reply() may run inside the request callback.
 */
static gboolean on_resume(gpointer data)
{
	http_server_t *server = data;
	connection_t *connection, *next;

	server->resume_source = 0;
	TAILQ_FOREACH_SAFE (connection, &server->connections, link, next)
		if (connection->input->len && !connection->closing)
			parse_input(connection);
	return G_SOURCE_REMOVE;
}

static void on_received(void *ctx, const char *data, gsize size)
{
	connection_t *connection = ctx;

	connection->unused = FALSE;
	if (http_message_parser_has_begun(connection->parser) ||
	    !is_line_end(data[0]))
		connection->last_received = connection_now(connection);
	if (connection->closing)
		return;
	g_byte_array_append(connection->input, (const guint8 *)data,
			    (guint)size);
	parse_input(connection);
}

static void on_ended(void *ctx, stream_end_t end)
{
	(void)end;
	connection_close(ctx);
}

static void on_flushed(void *ctx)
{
	connection_t *connection = ctx;

	if (connection->closed)
		return;
	resume_parsing(connection);
	update_reading(connection);
}

static void accept_connection(http_server_t *server, GSocket *socket)
{
	connection_t *connection = g_new0(connection_t, 1);
	stream_events_t events = {
		.received = on_received,
		.flushed = on_flushed,
		.ended = on_ended,
		.ctx = connection,
	};

	connection->server = server;
	connection->parser = http_message_parser_new(TRUE);
	connection->input = g_byte_array_new();
	connection->unused = TRUE;
	connection->timer_start = catk_clock_now(server->clock);
	TAILQ_INIT(&connection->exchanges);
	TAILQ_INSERT_TAIL(&server->connections, connection, link);
	server->connection_count++;
	connection->stream = stream_new_from_socket(socket, &events);
}

void http_server_close_disconnected(http_server_t *server)
{
	connection_t *connection, *next;

	TAILQ_FOREACH_SAFE (connection, &server->connections, link, next)
		if (connection->exchange_count &&
		    stream_peer_has_closed(connection->stream))
			connection_close(connection);
}

/* TRUE while a response is pending, or may not have reached the client. */
static gboolean is_busy(const connection_t *connection)
{
	return connection->exchange_count || connection->lingering ||
	       connection->input->len ||
	       stream_bytes_buffered(connection->stream);
}

/* A client that has just connected is about to send its first request. */
static gboolean expects_first_request(const connection_t *connection)
{
	return connection->unused &&
	       connection_now(connection) - connection->timer_start <
		       FIRST_REQUEST_TIMEOUT;
}

/* Not while a request waits in the kernel: it would be lost unread. */
static void close_if_idle(connection_t *connection)
{
	if (!is_busy(connection) && !expects_first_request(connection) &&
	    !http_message_parser_has_begun(connection->parser) &&
	    !stream_has_input(connection->stream))
		connection_close(connection);
}

static void close_idle_connections(http_server_t *server)
{
	connection_t *connection, *next;

	TAILQ_FOREACH_SAFE (connection, &server->connections, link, next)
		close_if_idle(connection);
}

/* Reading may have been paused until the last response was written. */
static GTimeSpan time_without_progress(const connection_t *connection,
				       GTimeSpan now)
{
	return now - MAX(connection->last_received, connection->timer_start);
}

static gboolean is_replaced_before(const connection_t *connection,
				   const connection_t *other, GTimeSpan now)
{
	gboolean begun = http_message_parser_has_begun(connection->parser);

	if (begun != http_message_parser_has_begun(other->parser))
		return !begun;
	return time_without_progress(connection, now) >
	       time_without_progress(other, now);
}

/*
 * The connection that has been without progress for longest, one without a
 * request first, or NULL. No request that was received whole waits on it, so
 * that its end is not taken for that of a request that ran. Only one connection
 * is asked for input: a system call for each would take long.
 */
static connection_t *find_replaceable(const http_server_t *server)
{
	GTimeSpan now = catk_clock_now(server->clock);
	connection_t *connection, *found = NULL;

	TAILQ_FOREACH (connection, &server->connections, link) {
		GTimeSpan idle = time_without_progress(connection, now);

		if (is_busy(connection) || idle < REPLACE_IDLE_MIN)
			continue;
		if (!found || is_replaced_before(connection, found, now))
			found = connection;
	}
	return found && !stream_has_input(found->stream) ? found : NULL;
}

/* Returns FALSE if there is no room for one more connection. */
static gboolean make_room(http_server_t *server)
{
	const http_server_events_t *events = &server->events;
	connection_t *replaceable;

	if (!server->connections_max ||
	    server->connection_count < server->connections_max)
		return TRUE;
	replaceable = find_replaceable(server);
	if (replaceable)
		connection_close(replaceable);
	if (events->connection_limited)
		events->connection_limited(events->ctx, replaceable != NULL);
	return replaceable != NULL;
}

static gboolean on_incoming_connection(GSocket *listener,
				       GIOCondition condition, gpointer data);

static void start_accepting(http_server_t *server)
{
	server->accept_source =
		g_socket_create_source(server->listener, G_IO_IN, NULL);
	g_source_set_callback(server->accept_source,
			      G_SOURCE_FUNC(on_incoming_connection), server,
			      NULL);
	g_source_attach(server->accept_source, NULL);
}

static void pause_accepting(http_server_t *server)
{
	if (!server->accept_source)
		return;
	g_source_destroy(server->accept_source);
	g_clear_pointer(&server->accept_source, g_source_unref);
}

static gboolean on_accept_retry(gpointer data)
{
	http_server_t *server = data;

	server->accept_timer = 0;
	start_accepting(server);
	return G_SOURCE_REMOVE;
}

/* The listener would wake the main loop at once as long as one waits. */
static void on_accept_failed(http_server_t *server, const GError *error)
{
	g_warning("cannot accept a connection: %s; raise the open file limit "
		  "if it is reached",
		  error->message);
	if (server->stopped)
		return;
	pause_accepting(server);
	if (!server->accept_timer)
		server->accept_timer =
			g_timeout_add(ACCEPT_RETRY_MS, on_accept_retry, server);
}

/* Accepts up to max connections that wait in the kernel. */
static void accept_connections(http_server_t *server, guint max)
{
	GError *error = NULL;
	GSocket *socket;
	guint i;

	for (i = 0; i < max; i++) {
		socket = g_socket_accept(server->listener, NULL, &error);
		if (!socket)
			break;
		if (make_room(server))
			accept_connection(server, socket);
		g_object_unref(socket);
	}
	if (error &&
	    !g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
		on_accept_failed(server, error);
	g_clear_error(&error);
}

static gboolean on_incoming_connection(GSocket *listener,
				       GIOCondition condition, gpointer data)
{
	(void)listener;
	(void)condition;
	accept_connections(data, ACCEPTS_PER_ITERATION);
	return G_SOURCE_CONTINUE;
}

static gboolean is_body_slow(const connection_t *connection, GTimeSpan now)
{
	GTimeSpan elapsed = now - connection->body_started;

	return elapsed > BODY_GRACE &&
	       http_message_parser_received_bytes(connection->parser) <
		       (gsize)(elapsed / G_TIME_SPAN_SECOND) *
			       BODY_BYTES_PER_S_MIN;
}

/* A request whose headers take too long, or whose body makes no progress. */
static gboolean is_request_overdue(const connection_t *connection,
				   const schema_request_limits_t *limits,
				   GTimeSpan now)
{
	if (!http_message_parser_has_headers(connection->parser))
		return limits->header_timeout &&
		       now - connection->timer_start > limits->header_timeout;
	return is_body_slow(connection, now) ||
	       (limits->idle_timeout &&
		time_without_progress(connection, now) > limits->idle_timeout);
}

static void check_timeouts(connection_t *connection,
			   const schema_request_limits_t *limits, GTimeSpan now)
{
	GTimeSpan age = now - connection->timer_start;

	if (connection->lingering) {
		if (stream_bytes_buffered(connection->stream))
			connection->timer_start = now;
		else if (age > LINGER_TIMEOUT)
			connection_close(connection);
		return;
	}
	if (connection->exchange_count)
		return;
	if (http_message_parser_has_begun(connection->parser)) {
		if (is_request_overdue(connection, limits, now))
			reject_request(connection, HTTP_STATUS_REQUEST_TIMEOUT,
				       "");
	} else if (limits->idle_timeout && age > limits->idle_timeout) {
		close_if_idle(connection);
	}
}

static gboolean on_timeout_check(gpointer data)
{
	http_server_t *server = data;
	schema_request_limits_t limits =
		server->events.limits(server->events.ctx);
	GTimeSpan now = catk_clock_now(server->clock);
	connection_t *connection, *next;

	TAILQ_FOREACH_SAFE (connection, &server->connections, link, next)
		check_timeouts(connection, &limits, now);
	if (server->stopped)
		close_idle_connections(server);
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
	server->listener = socket;
	TAILQ_INIT(&server->connections);
	g_socket_set_blocking(socket, FALSE);
	start_accepting(server);
	server->timeout_source = g_timeout_add(TIMEOUT_CHECK_INTERVAL_MS,
					       on_timeout_check, server);
	return server;
}

void http_server_set_body_budget(http_server_t *server, body_budget_t *budget)
{
	server->body_budget = budget;
}

void http_server_set_connections_max(http_server_t *server, guint max)
{
	server->connections_max = max;
}

static void stop_accepting(http_server_t *server)
{
	if (server->stopped)
		return;
	server->stopped = TRUE;
	pause_accepting(server);
	if (server->accept_timer)
		g_source_remove(server->accept_timer);
	server->accept_timer = 0;
	g_object_unref(server->listener);
}

void http_server_free(http_server_t *server)
{
	if (!server)
		return;
	g_source_remove(server->timeout_source);
	if (server->resume_source)
		g_source_remove(server->resume_source);
	stop_accepting(server);
	while (!TAILQ_EMPTY(&server->connections))
		connection_free(TAILQ_FIRST(&server->connections));
	g_free(server);
}

void http_server_stop(http_server_t *server)
{
	if (!server->stopped)
		accept_connections(server, ACCEPTS_BEFORE_STOP);
	stop_accepting(server);
	close_idle_connections(server);
}

gboolean http_server_is_idle(const http_server_t *server)
{
	return TAILQ_EMPTY(&server->connections);
}

guint http_server_unsent_count(const http_server_t *server)
{
	const connection_t *connection;
	guint count = 0;

	TAILQ_FOREACH (connection, &server->connections, link)
		count += stream_bytes_buffered(connection->stream) != 0;
	return count;
}

guint http_server_connection_count(const http_server_t *server)
{
	return server->connection_count;
}

const http_message_t *http_exchange_request(const http_exchange_t *exchange)
{
	return exchange->request;
}

void **http_exchange_user_data(http_exchange_t *exchange)
{
	return &exchange->user_data;
}
