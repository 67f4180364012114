#include "net/upstream_client.h"

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <string.h>

#include "lib/common/intrusive.h"
#include "net/system_clock.h"
#include "net/upstream_pools.h"

#define ATTEMPT_ID_MAX 128 /* bytes of an attempt id in text form */
#define CHUNK_BYTES 16384 /* read at once of an answer's body */
#define TICK_MS 10 /* between two looks at what is due */

/* Bound of a probe or a cancellation. */
#define SIDE_EXCHANGE_TIMEOUT G_TIME_SPAN_SECOND

/*
 * An answer may be on its way while the endpoint already says that it does not
 * know the attempt any more. Within the margin of cancel_after.
 */
#define SILENCE_GRACE (20 * G_TIME_SPAN_MILLISECOND)

typedef enum {
	EXCHANGE_ATTEMPT,
	EXCHANGE_PROBE,
	EXCHANGE_CANCELLATION, /* its answer changes nothing */
	EXCHANGE_INQUIRY /* a cancellation whose answer is waited for */
} exchange_kind_t;

typedef struct exchange {
	TAILQ_ENTRY(exchange) link;
	upstream_client_t *client;
	exchange_kind_t kind;
	guint64 attempt_id;
	char attempt_text[ATTEMPT_ID_MAX];
	char *service; /* of a probe */
	char *address;
	SoupMessage *message;
	GCancellable *cancellable;
	GInputStream *stream; /* of the answer's body */
	GByteArray *body;
	guint8 *chunk;
	guint times_written; /* times that the library began to write it */
	gboolean answering; /* the head of an answer came */
	gboolean whole; /* the body came to its end */
	gboolean rejected; /* somebody else's answer, or too large */
	gboolean unknown_there; /* the endpoint does not know the attempt */
	gboolean abandoned; /* nobody waits for the result */
	GTimeSpan due; /* instant of the next step, CATK_NEVER for none */
	GTimeSpan cancel_at; /* instant of the last inquiry */
} exchange_t;

struct upstream_client {
	upstream_client_events_t events;
	char *instance;
	gsize answer_bytes_max;
	upstream_pools_t *pools;
	SoupSession *inquiries; /* opens a connection for each */
	TAILQ_HEAD(exchange_list, exchange) exchanges;
	guint tick; /* runs while there are exchanges */
};

upstream_client_t *upstream_client_new(const upstream_client_events_t *events,
				       const char *instance,
				       gsize answer_bytes_max)
{
	upstream_client_t *client = g_new0(upstream_client_t, 1);

	client->events = *events;
	client->instance = g_strdup(instance);
	client->answer_bytes_max = answer_bytes_max;
	client->pools = upstream_pools_new();
	client->inquiries =
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
	/* The library still ends each exchange, which then frees itself. */
	TAILQ_FOREACH_SAFE (exchange, &client->exchanges, link, next) {
		TAILQ_REMOVE(&client->exchanges, exchange, link);
		exchange->client = NULL;
		g_cancellable_cancel(exchange->cancellable);
	}
	if (client->tick)
		g_source_remove(client->tick);
	soup_session_abort(client->inquiries);
	g_object_unref(client->inquiries);
	upstream_pools_free(client->pools);
	g_free(client->instance);
	g_free(client);
}

/*
 * Emitted before the first byte of each writing. The library must not write a
 * request twice: only the caller's own rules decide on a second attempt.
 */
static void on_starting(SoupMessage *message, gpointer data)
{
	exchange_t *exchange = data;

	(void)message;
	exchange->times_written++;
	if (exchange->times_written > 1)
		g_cancellable_cancel(exchange->cancellable);
}

/* Cancelling closes the connection, so a crossed answer takes it along. */
static void reject_answer(exchange_t *exchange)
{
	exchange->rejected = TRUE;
	g_cancellable_cancel(exchange->cancellable);
}

static void on_got_headers(SoupMessage *message, gpointer data)
{
	SoupMessageHeaders *headers =
		soup_message_get_response_headers(message);
	exchange_t *exchange = data;
	const char *echo = soup_message_headers_get_one(headers, "Attempt-Id");
	gboolean is_other, is_too_large;

	if (!exchange->client)
		return;
	exchange->answering = TRUE;
	if (exchange->kind == EXCHANGE_ATTEMPT)
		exchange->due = CATK_NEVER;
	is_other = exchange->kind != EXCHANGE_PROBE &&
		   g_strcmp0(echo, exchange->attempt_text) != 0;
	is_too_large = soup_message_headers_get_content_length(headers) >
		       (goffset)exchange->client->answer_bytes_max;
	if (is_other || is_too_large)
		reject_answer(exchange);
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

/* FALSE when the answer tells neither a load nor a drain. */
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

static gboolean is_whole(const exchange_t *exchange)
{
	SoupMessageHeaders *headers =
		soup_message_get_response_headers(exchange->message);

	if (!exchange->whole)
		return FALSE;
	if (soup_message_headers_get_encoding(headers) !=
	    SOUP_ENCODING_CONTENT_LENGTH)
		return soup_message_headers_get_encoding(headers) ==
		       SOUP_ENCODING_CHUNKED;
	return (goffset)exchange->body->len ==
	       soup_message_headers_get_content_length(headers);
}

static gboolean is_refusal(const exchange_t *exchange)
{
	const char *not_started = soup_message_headers_get_one(
		soup_message_get_response_headers(exchange->message),
		"Not-Started");

	return soup_message_get_status(exchange->message) ==
		       SOUP_STATUS_SERVICE_UNAVAILABLE &&
	       g_strcmp0(not_started, "1") == 0;
}

/* An answer without a body is plausible with status 204, not with 200. */
static gboolean is_plausible(const exchange_t *exchange)
{
	return exchange->body->len > 0 ||
	       soup_message_get_status(exchange->message) != SOUP_STATUS_OK;
}

static attempt_end_t classify(const exchange_t *exchange)
{
	if (exchange->rejected)
		return ATTEMPT_BAD_ANSWER;
	if (!exchange->times_written)
		return ATTEMPT_NOT_SENT;
	if (!exchange->answering)
		return ATTEMPT_FAILED;
	if (!is_whole(exchange))
		return ATTEMPT_BAD_ANSWER;
	if (is_refusal(exchange))
		return ATTEMPT_SHED;
	return is_plausible(exchange) ? ATTEMPT_ANSWERED : ATTEMPT_BAD_ANSWER;
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

	result.has_report = exchange->whole && !exchange->rejected &&
			    read_report(exchange->message, &result.report);
	exchange->abandoned = TRUE;
	client->events.attempt_ended(client->events.ctx, &result);
	g_bytes_unref(body);
}

/* Ends an attempt before the library does, with its connection. */
static void end_early(exchange_t *exchange, attempt_end_t end)
{
	exchange->due = CATK_NEVER;
	g_cancellable_cancel(exchange->cancellable);
	report_attempt(exchange, end);
}

static void report_probe(exchange_t *exchange)
{
	upstream_client_t *client = exchange->client;
	load_report_t report;
	gboolean has_report = exchange->whole && !exchange->rejected &&
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

/* TRUE when the answer to a cancellation gives this state. */
static gboolean has_state(const exchange_t *inquiry, const char *state)
{
	gchar *text = g_strndup((const char *)inquiry->body->data,
				inquiry->body->len);
	JsonNode *root = json_from_string(text, NULL);
	gboolean found = FALSE;

	if (root && JSON_NODE_HOLDS_OBJECT(root))
		found = g_strcmp0(json_object_get_string_member_with_default(
					  json_node_get_object(root), "state",
					  ""),
				  state) == 0;
	g_clear_pointer(&root, json_node_unref);
	g_free(text);
	return found;
}

static void take_inquiry(exchange_t *inquiry)
{
	exchange_t *attempt =
		find_attempt(inquiry->client, inquiry->attempt_id);

	if (!attempt || attempt->answering || attempt->abandoned ||
	    inquiry->rejected || !is_whole(inquiry) ||
	    soup_message_get_status(inquiry->message) != SOUP_STATUS_OK)
		return;
	if (has_state(inquiry, "not_started")) {
		end_early(attempt, ATTEMPT_CANCELLED);
	} else if (has_state(inquiry, "unknown")) {
		attempt->unknown_there = TRUE;
		attempt->due = catk_clock_now(&system_clock) + SILENCE_GRACE;
	}
}

static void exchange_ended(exchange_t *exchange)
{
	if (exchange->client && exchange->kind == EXCHANGE_PROBE)
		report_probe(exchange);
	else if (exchange->client && exchange->kind == EXCHANGE_INQUIRY)
		take_inquiry(exchange);
	else if (exchange->client && !exchange->abandoned)
		report_attempt(exchange, classify(exchange));
	exchange_free(exchange);
}

static void on_closed(GObject *source, GAsyncResult *async, gpointer data)
{
	g_input_stream_close_finish(G_INPUT_STREAM(source), async, NULL);
	exchange_ended(data);
}

/* The connection is free for the next request only after the close. */
static void close_body(exchange_t *exchange)
{
	g_input_stream_close_async(exchange->stream, G_PRIORITY_DEFAULT, NULL,
				   on_closed, exchange);
}

static void read_chunk(exchange_t *exchange);

static void on_chunk(GObject *source, GAsyncResult *async, gpointer data)
{
	exchange_t *exchange = data;
	gssize size =
		g_input_stream_read_finish(G_INPUT_STREAM(source), async, NULL);

	if (size > 0 && exchange->client &&
	    exchange->body->len + (gsize)size >
		    exchange->client->answer_bytes_max) {
		reject_answer(exchange);
		size = -1;
	}
	if (size > 0) {
		g_byte_array_append(exchange->body, exchange->chunk,
				    (guint)size);
		read_chunk(exchange);
		return;
	}
	exchange->whole = size == 0;
	close_body(exchange);
}

static void read_chunk(exchange_t *exchange)
{
	g_input_stream_read_async(exchange->stream, exchange->chunk,
				  CHUNK_BYTES, G_PRIORITY_DEFAULT,
				  exchange->cancellable, on_chunk, exchange);
}

static void on_head(GObject *source, GAsyncResult *async, gpointer data)
{
	exchange_t *exchange = data;
	GError *error = NULL;

	exchange->stream =
		soup_session_send_finish(SOUP_SESSION(source), async, &error);
	if (exchange->stream) {
		exchange->chunk = g_malloc(CHUNK_BYTES);
		read_chunk(exchange);
		return;
	}
	g_debug("exchange with %s ended: %s", exchange->address,
		error->message);
	g_clear_error(&error);
	exchange_ended(exchange);
}

static void do_what_is_due(exchange_t *exchange, GTimeSpan now);

static exchange_t *next_due(upstream_client_t *client, GTimeSpan now)
{
	exchange_t *exchange;

	TAILQ_FOREACH (exchange, &client->exchanges, link)
		if (now >= exchange->due)
			return exchange;
	return NULL;
}

static gboolean on_tick(gpointer data)
{
	GTimeSpan now = catk_clock_now(&system_clock);
	upstream_client_t *client = data;
	exchange_t *exchange;

	while ((exchange = next_due(client, now)))
		do_what_is_due(exchange, now);
	if (!TAILQ_EMPTY(&client->exchanges))
		return G_SOURCE_CONTINUE;
	client->tick = 0;
	return G_SOURCE_REMOVE;
}

/*
 * Always POST with the flag that lets the library reuse connections. Without
 * the flag it opens a connection for every request; with a GET it resends
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
	exchange->due = catk_clock_now(&system_clock) + SIDE_EXCHANGE_TIMEOUT;
	soup_message_add_flags(exchange->message,
			       SOUP_MESSAGE_IDEMPOTENT |
				       SOUP_MESSAGE_NO_REDIRECT);
	g_signal_connect(exchange->message, "starting", G_CALLBACK(on_starting),
			 exchange);
	g_signal_connect(exchange->message, "got-headers",
			 G_CALLBACK(on_got_headers), exchange);
	TAILQ_INSERT_TAIL(&client->exchanges, exchange, link);
	if (!client->tick)
		client->tick = g_timeout_add(TICK_MS, on_tick, client);
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
	soup_session_send_async(session, exchange->message, G_PRIORITY_DEFAULT,
				exchange->cancellable, on_head, exchange);
}

static void send_on_pool(exchange_t *exchange)
{
	send_exchange(exchange, upstream_pools_session(exchange->client->pools,
						       exchange->address));
}

static void append_number(exchange_t *exchange, const char *name, gint64 value)
{
	gchar *text = g_strdup_printf("%" G_GINT64_FORMAT, value);

	append_header(exchange, name, text);
	g_free(text);
}

static void set_headers(exchange_t *exchange, const attempt_request_t *request)
{
	gint64 remaining = request->remaining / G_TIME_SPAN_MILLISECOND;

	append_header(exchange, "Attempt-Id", exchange->attempt_text);
	append_number(exchange, "Deadline-Ms", MAX(remaining, 1));
	append_number(exchange, "Attempt", request->attempt);
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
	exchange->due = now + request->inquire_after;
	exchange->cancel_at = now + request->cancel_after;
	g_snprintf(exchange->attempt_text, sizeof(exchange->attempt_text),
		   "%s-%" G_GUINT64_FORMAT, client->instance,
		   request->attempt_id);
	set_headers(exchange, request);
	soup_message_set_request_body_from_bytes(
		exchange->message, "application/octet-stream", request->body);
	send_on_pool(exchange);
	g_free(path);
}

static exchange_t *new_cancellation(exchange_kind_t kind,
				    const exchange_t *attempt)
{
	gchar *path = g_strdup_printf("/cancel/%s", attempt->attempt_text);
	exchange_t *exchange =
		exchange_new(attempt->client, kind, attempt->address, path);

	exchange->attempt_id = attempt->attempt_id;
	g_strlcpy(exchange->attempt_text, attempt->attempt_text,
		  sizeof(exchange->attempt_text));
	append_header(exchange, "Attempt-Id", exchange->attempt_text);
	g_free(path);
	return exchange;
}

/* Tells the upstream; its answer changes nothing for this caller. */
static void send_cancellation(const exchange_t *attempt)
{
	exchange_t *exchange = new_cancellation(EXCHANGE_CANCELLATION, attempt);

	exchange->abandoned = TRUE;
	send_on_pool(exchange);
}

/* A new connection: those of the pool may be silent as well. */
static void send_inquiry(const exchange_t *attempt)
{
	exchange_t *exchange = new_cancellation(EXCHANGE_INQUIRY, attempt);

	append_header(exchange, "Connection", "close");
	send_exchange(exchange, attempt->client->inquiries);
}

static void inquire(exchange_t *attempt, GTimeSpan now)
{
	gboolean last = now >= attempt->cancel_at;

	attempt->due = last ? CATK_NEVER : attempt->cancel_at;
	if (attempt->times_written)
		send_inquiry(attempt);
	else if (last)
		g_cancellable_cancel(attempt->cancellable);
}

static void do_what_is_due(exchange_t *exchange, GTimeSpan now)
{
	if (exchange->kind != EXCHANGE_ATTEMPT) {
		exchange->due = CATK_NEVER;
		g_cancellable_cancel(exchange->cancellable);
	} else if (exchange->unknown_there) {
		upstream_pools_retire(exchange->client->pools,
				      exchange->address);
		end_early(exchange, ATTEMPT_SILENT);
	} else {
		inquire(exchange, now);
	}
}

void upstream_client_cancel_attempt(upstream_client_t *client,
				    guint64 attempt_id)
{
	exchange_t *exchange = find_attempt(client, attempt_id);

	if (!exchange || exchange->abandoned)
		return;
	exchange->abandoned = TRUE;
	exchange->due = CATK_NEVER;
	if (exchange->times_written)
		send_cancellation(exchange);
	g_cancellable_cancel(exchange->cancellable);
}

void upstream_client_send_probe(upstream_client_t *client, const char *service,
				const char *address)
{
	exchange_t *exchange =
		exchange_new(client, EXCHANGE_PROBE, address, "/load");

	exchange->service = g_strdup(service);
	send_on_pool(exchange);
}
