#include "net/upstream_client.h"

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <string.h>

#include "codec/json_untrusted.h"
#include "lib/common/intrusive.h"
#include "net/soup_sockets.h"
#include "net/system_clock.h"
#include "net/upstream_pools.h"

#define ATTEMPT_ID_TEXT_MAX 128 /* bytes, with the terminating zero */
#define READ_CHUNK_BYTES 16384
#define TIMER_INTERVAL_MS 10

/* Time after which a probe or a cancellation is given up. */
#define PROBE_AND_CANCEL_TIMEOUT G_TIME_SPAN_SECOND

/*
 * The response may still be on its way when the endpoint says that it no longer
 * knows the attempt. Shorter than the time that is usually left after the last
 * cancel query.
 */
#define UNKNOWN_ATTEMPT_GRACE (20 * G_TIME_SPAN_MILLISECOND)

typedef enum {
	EXCHANGE_ATTEMPT,
	EXCHANGE_PROBE,
	EXCHANGE_CANCEL, /* the response is ignored */
	EXCHANGE_CANCEL_QUERY /* see attempt_request_t.first_cancel_query_after */
} exchange_kind_t;

typedef struct exchange {
	TAILQ_ENTRY(exchange) link;
	upstream_client_t *client;
	exchange_kind_t kind;
	guint64 attempt_id;
	char attempt_id_text[ATTEMPT_ID_TEXT_MAX];
	char *service; /* of a probe */
	char *address;
	SoupMessage *message;
	GCancellable *cancellable;
	GInputStream *stream; /* of the response body */
	GByteArray *body;
	guint8 *chunk;
	guint write_count; /* times that libsoup began to write the request */
	gboolean headers_received; /* of the response */
	gboolean body_ended; /* the body was read to its end */
	gboolean is_whole; /* and the response was not cut */
	gboolean rejected; /* the response is mismatched or too large */
	gboolean attempt_unknown; /* a cancel query returned this state */
	gboolean abandoned; /* the result was reported or is not needed */
	GTimeSpan next_action_at; /* CATK_NEVER for none */
	GTimeSpan last_cancel_query_at; /* of an attempt */
} exchange_t;

struct upstream_client {
	upstream_client_events_t events;
	char *instance;
	gsize response_bytes_max;
	upstream_pools_t *pools;
	SoupSession *cancel_query_session; /* a connection for each query */
	TAILQ_HEAD(exchange_list, exchange) exchanges;
	guint timer; /* source that is active while there are exchanges */
};

upstream_client_t *upstream_client_new(const upstream_client_events_t *events,
				       const char *instance,
				       gsize response_bytes_max)
{
	upstream_client_t *client = g_new0(upstream_client_t, 1);

	client->events = *events;
	client->instance = g_strdup(instance);
	client->response_bytes_max = response_bytes_max;
	client->pools = upstream_pools_new();
	client->cancel_query_session =
		soup_session_new_with_options("proxy-resolver", NULL, NULL);
	TAILQ_INIT(&client->exchanges);
	return client;
}

static void exchange_free(exchange_t *exchange)
{
	if (exchange->client)
		TAILQ_REMOVE(&exchange->client->exchanges, exchange, link);
	g_signal_handlers_disconnect_by_data(exchange->message, exchange);
	g_clear_object(&exchange->stream);
	g_object_unref(exchange->message);
	g_object_unref(exchange->cancellable);
	g_byte_array_unref(exchange->body);
	g_free(exchange->chunk);
	g_free(exchange->service);
	g_free(exchange->address);
	g_free(exchange);
}

void upstream_client_free(upstream_client_t *client)
{
	exchange_t *exchange, *next;

	if (!client)
		return;
	/* libsoup still completes each exchange, which then frees itself. */
	TAILQ_FOREACH_SAFE (exchange, &client->exchanges, link, next) {
		TAILQ_REMOVE(&client->exchanges, exchange, link);
		exchange->client = NULL;
		g_cancellable_cancel(exchange->cancellable);
	}
	if (client->timer)
		g_source_remove(client->timer);
	soup_session_abort(client->cancel_query_session);
	g_object_unref(client->cancel_query_session);
	upstream_pools_free(client->pools);
	g_free(client->instance);
	g_free(client);
}

/*
 * Emitted each time libsoup begins to write the request. A retry by libsoup is
 * prevented: only the entry decides on a second attempt.
 */
static void on_starting(SoupMessage *message, gpointer data)
{
	exchange_t *exchange = data;

	(void)message;
	exchange->write_count++;
	if (exchange->write_count > 1)
		g_cancellable_cancel(exchange->cancellable);
}

/* Cancelling closes the connection, which may hold a mismatched response. */
static void reject_response(exchange_t *exchange)
{
	exchange->rejected = TRUE;
	g_cancellable_cancel(exchange->cancellable);
}

static void on_got_headers(SoupMessage *message, gpointer data)
{
	SoupMessageHeaders *headers =
		soup_message_get_response_headers(message);
	exchange_t *exchange = data;
	const char *attempt_id =
		soup_message_headers_get_one(headers, "Attempt-Id");
	gboolean is_mismatched, is_too_large;

	if (!exchange->client)
		return;
	exchange->headers_received = TRUE;
	if (exchange->kind == EXCHANGE_ATTEMPT)
		exchange->next_action_at = CATK_NEVER;
	is_mismatched = exchange->kind != EXCHANGE_PROBE &&
			g_strcmp0(attempt_id, exchange->attempt_id_text) != 0;
	is_too_large = soup_message_headers_get_content_length(headers) >
		       (goffset)exchange->client->response_bytes_max;
	if (is_mismatched || is_too_large)
		reject_response(exchange);
}

/* Leaves the load unknown when text is NULL or malformed. */
static void read_load(const char *text, load_report_t *report)
{
	gchar **parts = g_strsplit(text ? text : "", "/", 2);
	guint64 in_flight, slots;

	if (g_strv_length(parts) == 2 &&
	    g_ascii_string_to_unsigned(parts[0], 10, 0, G_MAXUINT32, &in_flight,
				       NULL) &&
	    g_ascii_string_to_unsigned(parts[1], 10, 1, G_MAXUINT32, &slots,
				       NULL)) {
		report->in_flight = (guint)in_flight;
		report->slots = (guint)slots;
	}
	g_strfreev(parts);
}

/* Returns FALSE when the response reports neither a load nor draining. */
static gboolean read_report(SoupMessage *message, load_report_t *report)
{
	SoupMessageHeaders *headers =
		soup_message_get_response_headers(message);
	const char *draining =
		soup_message_headers_get_one(headers, "Draining");

	memset(report, 0, sizeof(*report));
	report->draining = g_strcmp0(draining, "1") == 0;
	read_load(soup_message_headers_get_one(headers, "Load"), report);
	return report->slots || report->draining;
}

static gboolean is_body_complete(const exchange_t *exchange)
{
	SoupEncoding encoding = soup_message_headers_get_encoding(
		soup_message_get_response_headers(exchange->message));

	return exchange->body_ended && exchange->is_whole &&
	       (encoding == SOUP_ENCODING_CONTENT_LENGTH ||
		encoding == SOUP_ENCODING_CHUNKED);
}

static gboolean is_shed(const exchange_t *exchange)
{
	const char *not_started = soup_message_headers_get_one(
		soup_message_get_response_headers(exchange->message),
		"Not-Started");

	return soup_message_get_status(exchange->message) ==
		       SOUP_STATUS_SERVICE_UNAVAILABLE &&
	       g_strcmp0(not_started, "1") == 0;
}

/* An empty body is valid with status 204, for example, but not with 200. */
static gboolean has_expected_body(const exchange_t *exchange)
{
	return exchange->body->len > 0 ||
	       soup_message_get_status(exchange->message) != SOUP_STATUS_OK;
}

static attempt_end_t classify_attempt(const exchange_t *exchange)
{
	if (exchange->rejected)
		return ATTEMPT_BAD_ANSWER;
	if (!exchange->write_count)
		return ATTEMPT_NOT_SENT;
	if (!exchange->headers_received)
		return ATTEMPT_FAILED;
	if (!is_body_complete(exchange))
		return ATTEMPT_BAD_ANSWER;
	if (is_shed(exchange))
		return ATTEMPT_SHED;
	return has_expected_body(exchange) ? ATTEMPT_ANSWERED :
					     ATTEMPT_BAD_ANSWER;
}

static void report_attempt(exchange_t *exchange, attempt_end_t end)
{
	upstream_client_t *client = exchange->client;
	GBytes *body = g_bytes_new(exchange->body->data, exchange->body->len);
	attempt_result_t result = {
		.attempt_id = exchange->attempt_id,
		.end = end,
		.status = soup_message_get_status(exchange->message),
		.body = body,
	};

	result.has_report = is_body_complete(exchange) && !exchange->rejected &&
			    read_report(exchange->message, &result.report);
	exchange->abandoned = TRUE;
	client->events.attempt_ended(client->events.ctx, &result);
	g_bytes_unref(body);
}

/* Ends an attempt before libsoup does, and closes its connection. */
static void abort_attempt(exchange_t *exchange, attempt_end_t end)
{
	exchange->next_action_at = CATK_NEVER;
	g_cancellable_cancel(exchange->cancellable);
	report_attempt(exchange, end);
}

static void report_probe(exchange_t *exchange)
{
	upstream_client_t *client = exchange->client;
	load_report_t report;
	gboolean has_report = is_body_complete(exchange) &&
			      !exchange->rejected &&
			      read_report(exchange->message, &report);

	client->events.probe_ended(client->events.ctx, exchange->service,
				   exchange->address,
				   has_report ? &report : NULL);
}

static exchange_t *find_attempt(upstream_client_t *client, guint64 attempt_id)
{
	exchange_t *exchange;

	TAILQ_FOREACH (exchange, &client->exchanges, link)
		if (exchange->kind == EXCHANGE_ATTEMPT &&
		    exchange->attempt_id == attempt_id)
			return exchange;
	return NULL;
}

/* TRUE when the response to a cancel query has this state. */
static gboolean response_has_state(const exchange_t *query, const char *state)
{
	JsonNode *root = json_parse_untrusted((const char *)query->body->data,
					      query->body->len, NULL);
	gboolean found = FALSE;

	if (root && JSON_NODE_HOLDS_OBJECT(root))
		found = g_strcmp0(json_object_get_string_member_with_default(
					  json_node_get_object(root), "state",
					  ""),
				  state) == 0;
	g_clear_pointer(&root, json_node_unref);
	return found;
}

static void handle_cancel_query_response(exchange_t *query)
{
	exchange_t *attempt = find_attempt(query->client, query->attempt_id);

	if (!attempt || attempt->headers_received || attempt->abandoned ||
	    query->rejected || !is_body_complete(query) ||
	    soup_message_get_status(query->message) != SOUP_STATUS_OK)
		return;
	if (response_has_state(query, "not_started")) {
		abort_attempt(attempt, ATTEMPT_CANCELLED);
	} else if (response_has_state(query, "unknown")) {
		attempt->attempt_unknown = TRUE;
		attempt->next_action_at =
			catk_clock_now(&system_clock) + UNKNOWN_ATTEMPT_GRACE;
	}
}

static void exchange_ended(exchange_t *exchange)
{
	if (exchange->client && exchange->kind == EXCHANGE_PROBE)
		report_probe(exchange);
	else if (exchange->client && exchange->kind == EXCHANGE_CANCEL_QUERY)
		handle_cancel_query_response(exchange);
	else if (exchange->client && !exchange->abandoned)
		report_attempt(exchange, classify_attempt(exchange));
	exchange_free(exchange);
}

static void on_body_closed(GObject *source, GAsyncResult *async, gpointer data)
{
	g_input_stream_close_finish(G_INPUT_STREAM(source), async, NULL);
	exchange_ended(data);
}

/* libsoup reuses the connection only after the body stream is closed. */
static void close_body(exchange_t *exchange)
{
	g_input_stream_close_async(exchange->stream, G_PRIORITY_DEFAULT, NULL,
				   on_body_closed, exchange);
}

static void read_body_chunk(exchange_t *exchange);

static void on_body_chunk(GObject *source, GAsyncResult *async, gpointer data)
{
	exchange_t *exchange = data;
	gssize size =
		g_input_stream_read_finish(G_INPUT_STREAM(source), async, NULL);

	if (size > 0 && exchange->client &&
	    exchange->body->len + (gsize)size >
		    exchange->client->response_bytes_max) {
		reject_response(exchange);
		size = -1;
	}
	if (size > 0) {
		g_byte_array_append(exchange->body, exchange->chunk,
				    (guint)size);
		read_body_chunk(exchange);
		return;
	}
	exchange->body_ended = size == 0;
	exchange->is_whole = exchange->client &&
			     soup_sockets_has_whole_response(
				     exchange->message, exchange->body->len);
	close_body(exchange);
}

static void read_body_chunk(exchange_t *exchange)
{
	g_input_stream_read_async(exchange->stream, exchange->chunk,
				  READ_CHUNK_BYTES, G_PRIORITY_DEFAULT,
				  exchange->cancellable, on_body_chunk,
				  exchange);
}

static void on_response_started(GObject *source, GAsyncResult *async,
				gpointer data)
{
	exchange_t *exchange = data;
	GError *error = NULL;

	exchange->stream =
		soup_session_send_finish(SOUP_SESSION(source), async, &error);
	if (exchange->stream) {
		exchange->chunk = g_malloc(READ_CHUNK_BYTES);
		read_body_chunk(exchange);
		return;
	}
	g_debug("exchange with %s ended: %s", exchange->address,
		error->message);
	g_clear_error(&error);
	exchange_ended(exchange);
}

static void run_due_action(exchange_t *exchange, GTimeSpan now);

static exchange_t *find_due_exchange(upstream_client_t *client, GTimeSpan now)
{
	exchange_t *exchange;

	TAILQ_FOREACH (exchange, &client->exchanges, link)
		if (now >= exchange->next_action_at)
			return exchange;
	return NULL;
}

static gboolean on_timer(gpointer data)
{
	GTimeSpan now = catk_clock_now(&system_clock);
	upstream_client_t *client = data;
	exchange_t *exchange;

	while ((exchange = find_due_exchange(client, now)))
		run_due_action(exchange, now);
	if (!TAILQ_EMPTY(&client->exchanges))
		return G_SOURCE_CONTINUE;
	client->timer = 0;
	return G_SOURCE_REMOVE;
}

/*
 * Always uses POST, with the flag that lets libsoup reuse connections. Without
 * the flag libsoup opens a connection for every request. A GET is resent
 * silently when the server closes a reused connection.
 */
static exchange_t *exchange_new(upstream_client_t *client, exchange_kind_t kind,
				const char *address, const char *path)
{
	exchange_t *exchange = g_new0(exchange_t, 1);
	gchar *uri = g_strdup_printf("http://%s%s", address, path);

	exchange->client = client;
	exchange->kind = kind;
	exchange->address = g_strdup(address);
	exchange->body = g_byte_array_new();
	exchange->cancellable = g_cancellable_new();
	exchange->message = soup_message_new(SOUP_METHOD_POST, uri);
	exchange->next_action_at =
		catk_clock_now(&system_clock) + PROBE_AND_CANCEL_TIMEOUT;
	soup_message_add_flags(exchange->message,
			       SOUP_MESSAGE_IDEMPOTENT |
				       SOUP_MESSAGE_NO_REDIRECT);
	g_signal_connect(exchange->message, "starting", G_CALLBACK(on_starting),
			 exchange);
	g_signal_connect(exchange->message, "got-headers",
			 G_CALLBACK(on_got_headers), exchange);
	TAILQ_INSERT_TAIL(&client->exchanges, exchange, link);
	if (!client->timer)
		client->timer =
			g_timeout_add(TIMER_INTERVAL_MS, on_timer, client);
	g_free(uri);
	return exchange;
}

static void append_header(exchange_t *exchange, const char *name,
			  const char *value)
{
	soup_message_headers_append(
		soup_message_get_request_headers(exchange->message), name,
		value);
}

static void send_exchange(exchange_t *exchange, SoupSession *session)
{
	soup_sockets_track(session, exchange->message);
	soup_session_send_async(session, exchange->message, G_PRIORITY_DEFAULT,
				exchange->cancellable, on_response_started,
				exchange);
}

static void send_on_pooled_connection(exchange_t *exchange)
{
	send_exchange(exchange, upstream_pools_session(exchange->client->pools,
						       exchange->address));
}

static void append_number_header(exchange_t *exchange, const char *name,
				 gint64 value)
{
	gchar *text = g_strdup_printf("%" G_GINT64_FORMAT, value);

	append_header(exchange, name, text);
	g_free(text);
}

static void append_attempt_headers(exchange_t *exchange,
				   const attempt_request_t *request)
{
	gint64 remaining = request->remaining / G_TIME_SPAN_MILLISECOND;

	append_header(exchange, "Attempt-Id", exchange->attempt_id_text);
	append_number_header(exchange, "Deadline-Ms", MAX(remaining, 1));
	append_number_header(exchange, "Attempt", request->attempt);
	append_header(exchange, "Priority", request->priority);
}

void upstream_client_start_attempt(upstream_client_t *client,
				   const attempt_request_t *request)
{
	GTimeSpan now = catk_clock_now(&system_clock);
	gchar *path =
		g_strdup_printf("/%s/%s", request->service, request->method);
	exchange_t *exchange =
		exchange_new(client, EXCHANGE_ATTEMPT, request->address, path);

	exchange->attempt_id = request->attempt_id;
	exchange->next_action_at = now + request->first_cancel_query_after;
	exchange->last_cancel_query_at = now + request->last_cancel_query_after;
	g_snprintf(exchange->attempt_id_text, sizeof(exchange->attempt_id_text),
		   "%s-%" G_GUINT64_FORMAT, client->instance,
		   request->attempt_id);
	append_attempt_headers(exchange, request);
	soup_message_set_request_body_from_bytes(
		exchange->message, "application/octet-stream", request->body);
	send_on_pooled_connection(exchange);
	g_free(path);
}

static exchange_t *cancel_exchange_new(exchange_kind_t kind,
				       const exchange_t *attempt)
{
	gchar *path = g_strdup_printf("/cancel/%s", attempt->attempt_id_text);
	exchange_t *exchange =
		exchange_new(attempt->client, kind, attempt->address, path);

	exchange->attempt_id = attempt->attempt_id;
	g_strlcpy(exchange->attempt_id_text, attempt->attempt_id_text,
		  sizeof(exchange->attempt_id_text));
	append_header(exchange, "Attempt-Id", exchange->attempt_id_text);
	g_free(path);
	return exchange;
}

/* Asks the endpoint to cancel the attempt; the response is ignored. */
static void send_cancel(const exchange_t *attempt)
{
	exchange_t *exchange = cancel_exchange_new(EXCHANGE_CANCEL, attempt);

	exchange->abandoned = TRUE;
	send_on_pooled_connection(exchange);
}

/* Uses a new connection: the pooled ones may be dead. */
static void send_cancel_query(const exchange_t *attempt)
{
	exchange_t *exchange =
		cancel_exchange_new(EXCHANGE_CANCEL_QUERY, attempt);

	append_header(exchange, "Connection", "close");
	send_exchange(exchange, attempt->client->cancel_query_session);
}

static void run_cancel_query(exchange_t *attempt, GTimeSpan now)
{
	gboolean last = now >= attempt->last_cancel_query_at;

	attempt->next_action_at = last ? CATK_NEVER :
					 attempt->last_cancel_query_at;
	if (attempt->write_count)
		send_cancel_query(attempt);
	else if (last)
		g_cancellable_cancel(attempt->cancellable);
}

static void run_due_action(exchange_t *exchange, GTimeSpan now)
{
	if (exchange->kind != EXCHANGE_ATTEMPT) {
		exchange->next_action_at = CATK_NEVER;
		g_cancellable_cancel(exchange->cancellable);
	} else if (exchange->attempt_unknown) {
		upstream_pools_drop(exchange->client->pools, exchange->address);
		abort_attempt(exchange, ATTEMPT_SILENT);
	} else {
		run_cancel_query(exchange, now);
	}
}

void upstream_client_cancel_attempt(upstream_client_t *client,
				    guint64 attempt_id)
{
	exchange_t *exchange = find_attempt(client, attempt_id);

	if (!exchange || exchange->abandoned)
		return;
	exchange->abandoned = TRUE;
	exchange->next_action_at = CATK_NEVER;
	if (exchange->write_count)
		send_cancel(exchange);
	g_cancellable_cancel(exchange->cancellable);
}

void upstream_client_send_probe(upstream_client_t *client, const char *service,
				const char *address)
{
	exchange_t *exchange =
		exchange_new(client, EXCHANGE_PROBE, address, "/load");

	exchange->service = g_strdup(service);
	send_on_pooled_connection(exchange);
}
