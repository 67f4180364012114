#include "net/object_api.h"

#include <libsoup/soup.h>

#include "lib/common/intrusive.h"

#define VERSION_HEADER "Object-Version"

typedef struct request {
	TAILQ_ENTRY(request) link;
	object_api_t *api;
	SoupMessage *message;
	GCancellable *cancellable;
	guint timeout;
	object_api_done_fn_t done;
	void *ctx;
} request_t;

struct object_api {
	char *address;
	char *client;
	GTimeSpan timeout;
	counters_t *counters;
	SoupSession *session;
	TAILQ_HEAD(request_list, request) requests;
};

object_api_t *object_api_new(const char *address, const char *client,
			     GTimeSpan timeout, counters_t *counters)
{
	object_api_t *api = g_new0(object_api_t, 1);

	api->address = g_strdup(address);
	api->client = g_strdup(client);
	api->timeout = timeout;
	api->counters = counters;
	api->session =
		soup_session_new_with_options("proxy-resolver", NULL, NULL);
	TAILQ_INIT(&api->requests);
	return api;
}

static void request_free(request_t *request)
{
	if (request->api)
		TAILQ_REMOVE(&request->api->requests, request, link);
	if (request->timeout)
		g_source_remove(request->timeout);
	g_object_unref(request->message);
	g_object_unref(request->cancellable);
	g_free(request);
}

void object_api_free(object_api_t *api)
{
	request_t *request, *next;

	if (!api)
		return;
	/* The library still ends each request, which then frees itself. */
	TAILQ_FOREACH_SAFE (request, &api->requests, link, next) {
		TAILQ_REMOVE(&api->requests, request, link);
		request->api = NULL;
		g_cancellable_cancel(request->cancellable);
	}
	soup_session_abort(api->session);
	g_object_unref(api->session);
	g_free(api->address);
	g_free(api->client);
	g_free(api);
}

static object_api_status_t status_of(guint http_status)
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

static guint64 read_version(SoupMessage *message)
{
	const char *text = soup_message_headers_get_one(
		soup_message_get_response_headers(message), VERSION_HEADER);
	guint64 version = 0;

	if (text)
		g_ascii_string_to_unsigned(text, 10, 0, G_MAXUINT64, &version,
					   NULL);
	return version;
}

static void on_sent(GObject *source, GAsyncResult *async, gpointer data)
{
	request_t *request = data;
	object_api_result_t result = { .status = OBJECT_API_UNAVAILABLE };

	result.body = soup_session_send_and_read_finish(SOUP_SESSION(source),
							async, NULL);
	if (!request->api)
		goto out;
	if (result.body) {
		result.status =
			status_of(soup_message_get_status(request->message));
		result.version = read_version(request->message);
	}
	if (result.status == OBJECT_API_UNAVAILABLE)
		counters_add(request->api->counters,
			     COUNTER_OBJECT_API_FAILURES, 1);
	request->done(request->ctx, &result);
out:
	g_clear_pointer(&result.body, g_bytes_unref);
	request_free(request);
}

static gboolean on_timeout(gpointer data)
{
	request_t *request = data;

	request->timeout = 0;
	g_cancellable_cancel(request->cancellable);
	return G_SOURCE_REMOVE;
}

static void send_request(object_api_t *api, gchar *path, GBytes *body,
			 GTimeSpan timeout, object_api_done_fn_t done,
			 void *ctx)
{
	request_t *request = g_new0(request_t, 1);
	gchar *uri = g_strdup_printf("http://%s%s", api->address, path);

	request->api = api;
	request->done = done;
	request->ctx = ctx;
	request->cancellable = g_cancellable_new();
	request->message = soup_message_new(SOUP_METHOD_POST, uri);
	soup_message_add_flags(request->message, SOUP_MESSAGE_IDEMPOTENT);
	soup_message_headers_append(
		soup_message_get_request_headers(request->message), "Client",
		api->client);
	if (body)
		soup_message_set_request_body_from_bytes(
			request->message, "application/json", body);
	request->timeout =
		g_timeout_add((guint)(timeout / G_TIME_SPAN_MILLISECOND),
			      on_timeout, request);
	TAILQ_INSERT_TAIL(&api->requests, request, link);
	counters_add(api->counters, COUNTER_OBJECT_API_CALLS, 1);
	soup_session_send_and_read_async(api->session, request->message,
					 G_PRIORITY_DEFAULT,
					 request->cancellable, on_sent,
					 request);
	g_free(uri);
	g_free(path);
}

void object_api_get(object_api_t *api, const char *key,
		    object_api_done_fn_t done, void *ctx)
{
	send_request(api, g_strdup_printf("/v1/get/%s", key), NULL,
		     api->timeout, done, ctx);
}

void object_api_watch(object_api_t *api, const char *key, guint64 after,
		      GTimeSpan wait, object_api_done_fn_t done, void *ctx)
{
	gchar *path = g_strdup_printf("/v1/watch/%s?after=%" G_GUINT64_FORMAT
				      "&timeout_ms=%" G_GINT64_FORMAT,
				      key, after,
				      wait / G_TIME_SPAN_MILLISECOND);

	send_request(api, path, NULL, wait + api->timeout, done, ctx);
}

void object_api_put(object_api_t *api, const char *key, guint64 if_version,
		    GBytes *value, object_api_done_fn_t done, void *ctx)
{
	gchar *path = g_strdup_printf(
		"/v1/put/%s?if_version=%" G_GUINT64_FORMAT, key, if_version);

	send_request(api, path, value, api->timeout, done, ctx);
}

void object_api_instances(object_api_t *api, const char *service,
			  object_api_done_fn_t done, void *ctx)
{
	send_request(api, g_strdup_printf("/v1/instances/%s", service), NULL,
		     api->timeout, done, ctx);
}
