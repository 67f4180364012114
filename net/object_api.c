#include "net/object_api.h"

#include <libsoup/soup.h>

#include "lib/common/intrusive.h"
#include "net/soup_sockets.h"

#define VERSION_HEADER "Object-Version"

/* A watch occupies one. The others keep a slow read from delaying calls. */
#define CONNECTIONS_MAX 4

/* Above the largest object and the longest instance list. */
#define BODY_BYTES_MAX (4 << 20)

struct object_api_call {
	TAILQ_ENTRY(object_api_call) link;
	object_api_t *api;
	SoupMessage *message;
	GCancellable *cancellable;
	GInputStream *stream; /* of the answer's body, NULL before it starts */
	GOutputStream *body; /* read so far */
	gboolean body_ended; /* it was read to its end, and is whole */
	guint timeout_timer; /* GLib source, 0 if none */
	gboolean is_watch;
	object_api_done_fn_t done;
	void *ctx;
};

struct object_api {
	char *address;
	char *client_name;
	GTimeSpan timeout;
	counters_t *counters;
	SoupSession *session;
	/*
	 * A call has timed out and none was answered since: idle connections
	 * may be dead.
	 */
	gboolean timed_out;
	TAILQ_HEAD(call_list, object_api_call) calls;
};

object_api_t *object_api_new(const char *address, const char *client_name,
			     GTimeSpan timeout, counters_t *counters)
{
	object_api_t *api = g_new0(object_api_t, 1);

	api->address = g_strdup(address);
	api->client_name = g_strdup(client_name);
	api->timeout = timeout;
	api->counters = counters;
	/* The default proxy resolver would start a thread. */
	api->session = soup_session_new_with_options("proxy-resolver", NULL,
						     "max-conns-per-host",
						     CONNECTIONS_MAX, NULL);
	TAILQ_INIT(&api->calls);
	return api;
}

static void call_free(object_api_call_t *call)
{
	if (call->api)
		TAILQ_REMOVE(&call->api->calls, call, link);
	if (call->timeout_timer)
		g_source_remove(call->timeout_timer);
	g_clear_object(&call->stream);
	g_object_unref(call->body);
	g_object_unref(call->message);
	g_object_unref(call->cancellable);
	g_free(call);
}

/* libsoup then calls on_answer_started(), which leads to end_call(). */
void object_api_cancel(object_api_call_t *call)
{
	TAILQ_REMOVE(&call->api->calls, call, link);
	call->api = NULL;
	g_cancellable_cancel(call->cancellable);
}

void object_api_free(object_api_t *api)
{
	object_api_call_t *call, *next;

	if (!api)
		return;
	TAILQ_FOREACH_SAFE (call, &api->calls, link, next)
		object_api_cancel(call);
	soup_session_abort(api->session);
	g_object_unref(api->session);
	g_free(api->address);
	g_free(api->client_name);
	g_free(api);
}

static object_api_status_t status_from_http(guint http_status)
{
	switch (http_status) {
	case SOUP_STATUS_OK:
		return OBJECT_API_OK;
	case SOUP_STATUS_NO_CONTENT:
		return OBJECT_API_UNCHANGED;
	case SOUP_STATUS_NOT_FOUND:
		return OBJECT_API_NOT_FOUND;
	case SOUP_STATUS_CONFLICT:
		return OBJECT_API_CONFLICT;
	case 429: /* RFC 6585; libsoup has no name for it */
		return OBJECT_API_RATE_LIMITED;
	default:
		return OBJECT_API_UNAVAILABLE;
	}
}

static guint64 parse_version(SoupMessage *message)
{
	const char *text = soup_message_headers_get_one(
		soup_message_get_response_headers(message), VERSION_HEADER);
	guint64 version = 0;

	if (text)
		g_ascii_string_to_unsigned(text, 10, 0, G_MAXUINT64, &version,
					   NULL);
	return version;
}

/* Reports the end of the call, unless it was cancelled, and frees it. */
static void end_call(object_api_call_t *call)
{
	object_api_result_t result = { .status = OBJECT_API_UNAVAILABLE };

	if (!call->api)
		goto out;
	if (call->body_ended) {
		result.body = g_memory_output_stream_steal_as_bytes(
			G_MEMORY_OUTPUT_STREAM(call->body));
		call->api->timed_out = FALSE;
		result.status = status_from_http(
			soup_message_get_status(call->message));
		result.version = parse_version(call->message);
	}
	if (result.status == OBJECT_API_UNAVAILABLE)
		counters_add(call->api->counters, COUNTER_OBJECT_API_FAILURES,
			     1);
	call->done(call->ctx, &result);
out:
	g_clear_pointer(&result.body, g_bytes_unref);
	call_free(call);
}

static void on_body_closed(GObject *source, GAsyncResult *async, gpointer data)
{
	g_input_stream_close_finish(G_INPUT_STREAM(source), async, NULL);
	end_call(data);
}

/*
 * Status 204 says all that is used of such an answer, and servers may close the
 * connection behind it.
 */
static gboolean is_whole(const object_api_call_t *call, gsize body_size)
{
	return soup_message_get_status(call->message) ==
		       SOUP_STATUS_NO_CONTENT ||
	       (call->api &&
		soup_sockets_has_whole_response(call->message, body_size));
}

static void on_body_read(GObject *source, GAsyncResult *async, gpointer data)
{
	object_api_call_t *call = data;

	gssize size = g_output_stream_splice_finish(G_OUTPUT_STREAM(source),
						    async, NULL);

	call->body_ended = size >= 0 && is_whole(call, (gsize)size);
	/* Closes the connection instead of reading on. */
	if (!call->body_ended)
		g_cancellable_cancel(call->cancellable);
	/* libsoup reuses the connection only after the stream is closed. */
	g_input_stream_close_async(call->stream, G_PRIORITY_DEFAULT, NULL,
				   on_body_closed, call);
}

static void on_answer_started(GObject *source, GAsyncResult *async,
			      gpointer data)
{
	object_api_call_t *call = data;

	call->stream =
		soup_session_send_finish(SOUP_SESSION(source), async, NULL);
	if (call->stream)
		g_output_stream_splice_async(
			call->body, call->stream,
			G_OUTPUT_STREAM_SPLICE_CLOSE_TARGET, G_PRIORITY_DEFAULT,
			call->cancellable, on_body_read, call);
	else
		end_call(call);
}

/* Ends the reading of a body that is too large. */
static gpointer grow_body(gpointer data, gsize size)
{
	return size <= BODY_BYTES_MAX ? g_realloc(data, size) : NULL;
}

static gboolean on_timeout(gpointer data)
{
	object_api_call_t *call = data;

	call->timeout_timer = 0;
	if (call->api)
		call->api->timed_out = TRUE;
	if (call->is_watch && call->api)
		counters_add(call->api->counters, COUNTER_CONNECTIONS_SILENT,
			     1);
	g_cancellable_cancel(call->cancellable);
	return G_SOURCE_REMOVE;
}

static object_api_call_t *send_call(object_api_t *api, gchar *path,
				    GBytes *body, GTimeSpan timeout,
				    object_api_done_fn_t done, void *ctx)
{
	object_api_call_t *call = g_new0(object_api_call_t, 1);
	gchar *uri = g_strdup_printf("http://%s%s", api->address, path);

	call->api = api;
	call->done = done;
	call->ctx = ctx;
	call->cancellable = g_cancellable_new();
	call->body = g_memory_output_stream_new(NULL, 0, grow_body, g_free);
	call->message = soup_message_new(SOUP_METHOD_POST, uri);
	soup_message_add_flags(call->message, SOUP_MESSAGE_IDEMPOTENT);
	if (api->timed_out)
		soup_message_add_flags(call->message,
				       SOUP_MESSAGE_NEW_CONNECTION);
	soup_message_headers_append(
		soup_message_get_request_headers(call->message), "Client",
		api->client_name);
	if (body)
		soup_message_set_request_body_from_bytes(
			call->message, "application/json", body);
	call->timeout_timer = g_timeout_add(
		(guint)(timeout / G_TIME_SPAN_MILLISECOND), on_timeout, call);
	soup_sockets_track(api->session, call->message);
	TAILQ_INSERT_TAIL(&api->calls, call, link);
	counters_add(api->counters, COUNTER_OBJECT_API_CALLS, 1);
	soup_session_send_async(api->session, call->message, G_PRIORITY_DEFAULT,
				call->cancellable, on_answer_started, call);
	g_free(uri);
	g_free(path);
	return call;
}

object_api_call_t *object_api_get(object_api_t *api, const char *key,
				  object_api_done_fn_t done, void *ctx)
{
	return send_call(api, g_strdup_printf("/v1/get/%s", key), NULL,
			 api->timeout, done, ctx);
}

object_api_call_t *object_api_watch(object_api_t *api, const char *key,
				    guint64 after, GTimeSpan wait,
				    object_api_done_fn_t done, void *ctx)
{
	gchar *path = g_strdup_printf("/v1/watch/%s?after=%" G_GUINT64_FORMAT
				      "&timeout_ms=%" G_GINT64_FORMAT,
				      key, after,
				      wait / G_TIME_SPAN_MILLISECOND);
	object_api_call_t *call;

	call = send_call(api, path, NULL, wait + api->timeout, done, ctx);
	call->is_watch = TRUE;
	return call;
}

object_api_call_t *object_api_put(object_api_t *api, const char *key,
				  guint64 if_version, GBytes *value,
				  object_api_done_fn_t done, void *ctx)
{
	gchar *path = g_strdup_printf(
		"/v1/put/%s?if_version=%" G_GUINT64_FORMAT, key, if_version);

	return send_call(api, path, value, api->timeout, done, ctx);
}

object_api_call_t *object_api_get_instances(object_api_t *api,
					    const char *service,
					    object_api_done_fn_t done,
					    void *ctx)
{
	return send_call(api, g_strdup_printf("/v1/instances/%s", service),
			 NULL, api->timeout, done, ctx);
}
