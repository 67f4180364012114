#include "net/upstream_client.h"

#include <libsoup/soup.h>
#include <string.h>

#include "lib/common/intrusive.h"

#define CONNECTIONS_MAX 4096 /* over all endpoints */
#define IDLE_TIMEOUT 60 /* seconds that an unused connection stays open */
#define PROBE_TIMEOUT_MS 1000
#define ATTEMPT_ID_MAX 128 /* bytes of an attempt id in text form */

/* An attempt or, with service set, a probe. */
typedef struct exchange {
	TAILQ_ENTRY(exchange) link;
	upstream_client_t *client;
	guint64 attempt_id;
	char attempt_text[ATTEMPT_ID_MAX];
	char *service; /* of a probe */
	char *address;
	SoupMessage *message;
	GCancellable *cancellable;
	guint times_written; /* times that the library began to write it */
	gboolean abandoned; /* nobody waits for the result */
	gboolean mismatched; /* the answer is not to this attempt */
	guint timeout;
} exchange_t;

struct upstream_client {
	upstream_client_events_t events;
	char *instance;
	gsize answer_bytes_max;
	SoupSession *session;
	TAILQ_HEAD(exchange_list, exchange) exchanges;
};

upstream_client_t *upstream_client_new(const upstream_client_events_t *events,
				       const char *instance,
				       gsize answer_bytes_max)
{
	upstream_client_t *client = g_new0(upstream_client_t, 1);

	client->events = *events;
	client->instance = g_strdup(instance);
	client->answer_bytes_max = answer_bytes_max;
	client->session = soup_session_new_with_options(
		"max-conns", CONNECTIONS_MAX, "max-conns-per-host",
		CONNECTIONS_MAX, "idle-timeout", IDLE_TIMEOUT, "proxy-resolver",
		NULL, NULL);
	TAILQ_INIT(&client->exchanges);
	return client;
}

static void exchange_free(exchange_t *exchange)
{
	if (exchange->client)
		TAILQ_REMOVE(&exchange->client->exchanges, exchange, link);
	if (exchange->timeout)
		g_source_remove(exchange->timeout);
	g_signal_handlers_disconnect_by_data(exchange->message, exchange);
	g_object_unref(exchange->message);
	g_object_unref(exchange->cancellable);
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
	soup_session_abort(client->session);
	g_object_unref(client->session);
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
static void on_got_headers(SoupMessage *message, gpointer data)
{
	SoupMessageHeaders *headers =
		soup_message_get_response_headers(message);
	exchange_t *exchange = data;
	const char *echo;
	goffset size;

	if (exchange->service || !exchange->client)
		return;
	echo = soup_message_headers_get_one(headers, "Attempt-Id");
	size = soup_message_headers_get_content_length(headers);
	if (g_strcmp0(echo, exchange->attempt_text) == 0 &&
	    size <= (goffset)exchange->client->answer_bytes_max)
		return;
	exchange->mismatched = TRUE;
	g_cancellable_cancel(exchange->cancellable);
}

static gboolean read_report(SoupMessage *message, load_report_t *report)
{
	SoupMessageHeaders *headers =
		soup_message_get_response_headers(message);
	const char *load = soup_message_headers_get_one(headers, "Load");
	const char *draining =
		soup_message_headers_get_one(headers, "Draining");
	gchar **parts;
	guint64 in_flight, slots;
	gboolean ok;

	memset(report, 0, sizeof(*report));
	report->draining = g_strcmp0(draining, "1") == 0;
	if (!load)
		return FALSE;
	parts = g_strsplit(load, "/", 2);
	ok = g_strv_length(parts) == 2 &&
	     g_ascii_string_to_unsigned(parts[0], 10, 0, G_MAXUINT32,
					&in_flight, NULL) &&
	     g_ascii_string_to_unsigned(parts[1], 10, 1, G_MAXUINT32, &slots,
					NULL);
	g_strfreev(parts);
	if (!ok)
		return FALSE;
	report->in_flight = (guint)in_flight;
	report->slots = (guint)slots;
	return TRUE;
}

static gboolean is_whole(const exchange_t *exchange, GBytes *body)
{
	SoupMessageHeaders *headers =
		soup_message_get_response_headers(exchange->message);

	if (soup_message_headers_get_encoding(headers) !=
	    SOUP_ENCODING_CONTENT_LENGTH)
		return soup_message_headers_get_encoding(headers) ==
		       SOUP_ENCODING_CHUNKED;
	return (goffset)g_bytes_get_size(body) ==
	       soup_message_headers_get_content_length(headers);
}

static attempt_end_t classify(const exchange_t *exchange, GBytes *body)
{
	const char *not_started;

	if (exchange->mismatched)
		return ATTEMPT_BAD_ANSWER;
	if (!body)
		return exchange->times_written ? ATTEMPT_FAILED :
						 ATTEMPT_NOT_SENT;
	if (!is_whole(exchange, body))
		return ATTEMPT_BAD_ANSWER;
	not_started = soup_message_headers_get_one(
		soup_message_get_response_headers(exchange->message),
		"Not-Started");
	if (soup_message_get_status(exchange->message) ==
		    SOUP_STATUS_SERVICE_UNAVAILABLE &&
	    g_strcmp0(not_started, "1") == 0)
		return ATTEMPT_SHED;
	return ATTEMPT_ANSWERED;
}

static void report_attempt(exchange_t *exchange, GBytes *body)
{
	attempt_result_t result = { .attempt_id = exchange->attempt_id };

	result.end = classify(exchange, body);
	result.status = soup_message_get_status(exchange->message);
	result.body = body;
	result.has_report = body && !exchange->mismatched &&
			    read_report(exchange->message, &result.report);
	exchange->client->events.attempt_ended(exchange->client->events.ctx,
					       &result);
}

static void report_probe(exchange_t *exchange, GBytes *body)
{
	load_report_t report;
	gboolean has_report = body && read_report(exchange->message, &report);

	exchange->client->events.probe_ended(exchange->client->events.ctx,
					     exchange->service,
					     exchange->address,
					     has_report ? &report : NULL);
}

static void on_exchange_ended(GObject *source, GAsyncResult *async,
			      gpointer data)
{
	exchange_t *exchange = data;
	GError *error = NULL;
	GBytes *body;

	body = soup_session_send_and_read_finish(SOUP_SESSION(source), async,
						 &error);
	if (error)
		g_debug("exchange with %s ended: %s", exchange->address,
			error->message);
	if (exchange->client && exchange->service)
		report_probe(exchange, body);
	else if (exchange->client && !exchange->abandoned)
		report_attempt(exchange, body);
	g_clear_pointer(&body, g_bytes_unref);
	g_clear_error(&error);
	exchange_free(exchange);
}

/*
 * Always POST with the flag that lets the library reuse connections. Without
 * the flag it opens a connection for every request; with a GET it resends
 * silently when the server closes a reused connection.
 */
static exchange_t *exchange_new(upstream_client_t *client, const char *address,
				const char *path)
{
	exchange_t *exchange = g_new0(exchange_t, 1);
	gchar *uri = g_strdup_printf("http://%s%s", address, path);

	exchange->client = client;
	exchange->address = g_strdup(address);
	exchange->cancellable = g_cancellable_new();
	exchange->message = soup_message_new(SOUP_METHOD_POST, uri);
	soup_message_add_flags(exchange->message,
			       SOUP_MESSAGE_IDEMPOTENT |
				       SOUP_MESSAGE_NO_REDIRECT);
	g_signal_connect(exchange->message, "starting", G_CALLBACK(on_starting),
			 exchange);
	g_signal_connect(exchange->message, "got-headers",
			 G_CALLBACK(on_got_headers), exchange);
	TAILQ_INSERT_TAIL(&client->exchanges, exchange, link);
	g_free(uri);
	return exchange;
}

static void send_exchange(exchange_t *exchange)
{
	soup_session_send_and_read_async(exchange->client->session,
					 exchange->message, G_PRIORITY_DEFAULT,
					 exchange->cancellable,
					 on_exchange_ended, exchange);
}

static void set_headers(exchange_t *exchange, const attempt_request_t *request)
{
	SoupMessageHeaders *headers =
		soup_message_get_request_headers(exchange->message);
	gchar *remaining = g_strdup_printf(
		"%" G_GINT64_FORMAT,
		MAX(request->remaining / G_TIME_SPAN_MILLISECOND, 1));

	soup_message_headers_append(headers, "Attempt-Id",
				    exchange->attempt_text);
	soup_message_headers_append(headers, "Deadline-Ms", remaining);
	soup_message_headers_append(headers, "Priority", request->priority);
	g_free(remaining);
}

void upstream_client_start(upstream_client_t *client,
			   const attempt_request_t *request)
{
	gchar *path =
		g_strdup_printf("/%s/%s", request->service, request->method);
	exchange_t *exchange = exchange_new(client, request->address, path);

	exchange->attempt_id = request->attempt_id;
	g_snprintf(exchange->attempt_text, sizeof(exchange->attempt_text),
		   "%s-%" G_GUINT64_FORMAT, client->instance,
		   request->attempt_id);
	set_headers(exchange, request);
	soup_message_set_request_body_from_bytes(
		exchange->message, "application/octet-stream", request->body);
	send_exchange(exchange);
	g_free(path);
}

static exchange_t *find_attempt(upstream_client_t *client, guint64 attempt_id)
{
	exchange_t *exchange;

	TAILQ_FOREACH (exchange, &client->exchanges, link)
		if (!exchange->service && exchange->attempt_id == attempt_id)
			return exchange;
	return NULL;
}

/* Tells the upstream; its answer changes nothing for this caller. */
static void send_cancellation(upstream_client_t *client,
			      const exchange_t *cancelled)
{
	gchar *path = g_strdup_printf("/cancel/%s", cancelled->attempt_text);
	exchange_t *exchange = exchange_new(client, cancelled->address, path);

	g_strlcpy(exchange->attempt_text, cancelled->attempt_text,
		  sizeof(exchange->attempt_text));
	exchange->abandoned = TRUE;
	send_exchange(exchange);
	g_free(path);
}

void upstream_client_cancel(upstream_client_t *client, guint64 attempt_id)
{
	exchange_t *exchange = find_attempt(client, attempt_id);

	if (!exchange || exchange->abandoned)
		return;
	exchange->abandoned = TRUE;
	if (exchange->times_written)
		send_cancellation(client, exchange);
	g_cancellable_cancel(exchange->cancellable);
}

static gboolean on_probe_timeout(gpointer data)
{
	exchange_t *exchange = data;

	exchange->timeout = 0;
	g_cancellable_cancel(exchange->cancellable);
	return G_SOURCE_REMOVE;
}

void upstream_client_probe(upstream_client_t *client, const char *service,
			   const char *address)
{
	exchange_t *exchange = exchange_new(client, address, "/load");

	exchange->service = g_strdup(service);
	exchange->timeout =
		g_timeout_add(PROBE_TIMEOUT_MS, on_probe_timeout, exchange);
	send_exchange(exchange);
}
