#include "net/caller_api.h"

#include <string.h>

#include "codec/resolve_json.h"
#include "lib/common/intrusive.h"
#include "net/http_reply.h"
#include "net/soup_sockets.h"

#define CALL_PATH "/v1/call"
#define RESOLVE_PATH "/v1/resolve"
#define CALLER_NAME_MAX 128 /* bytes */
#define DEADLINE_MAX_MS 600000
#define ATTEMPT_MAX 1000

/*
 * A call from its arrival until its answer is written. A pointer to it is the
 * call_request_t.caller_ref of the call.
 */
typedef struct pending_call {
	TAILQ_ENTRY(pending_call) link;
	caller_api_t *api;
	SoupServerMessage *message;
	gulong disconnected; /* signal handlers */
	gulong finished;
	GSource *hangup; /* detects that the caller closes the connection */
	gboolean paused; /* libsoup waits for the answer */
	gboolean answered;
} pending_call_t;

struct caller_api {
	SoupServer *server;
	entry_t *entry;
	gsize body_bytes_max;
	TAILQ_HEAD(pending_list, pending_call) pending; /* not answered yet */
	TAILQ_HEAD(writing_list, pending_call) writing; /* not written yet */
};

static void resume_message(pending_call_t *pending)
{
	if (pending->hangup) {
		g_source_destroy(pending->hangup);
		g_clear_pointer(&pending->hangup, g_source_unref);
	}
	if (pending->paused)
		soup_server_message_unpause(pending->message);
	pending->paused = FALSE;
}

static void pending_free(pending_call_t *pending)
{
	if (pending->answered)
		TAILQ_REMOVE(&pending->api->writing, pending, link);
	else
		TAILQ_REMOVE(&pending->api->pending, pending, link);
	g_clear_signal_handler(&pending->disconnected, pending->message);
	g_clear_signal_handler(&pending->finished, pending->message);
	resume_message(pending);
	g_object_unref(pending->message);
	g_free(pending);
}

static void cancel_pending(pending_call_t *pending)
{
	if (!pending->answered)
		entry_cancel(pending->api->entry, pending);
	pending_free(pending);
}

/* The answer has been written, or the caller has disconnected. */
static void on_message_ended(SoupServerMessage *message, gpointer data)
{
	(void)message;
	cancel_pending(data);
}

/*
 * A socket that is readable but has no bytes was closed by the caller. If it has
 * bytes, the caller has sent more, and the socket is no longer watched.
 */
static gboolean on_socket_event(GSocket *socket, GIOCondition condition,
				gpointer data)
{
	pending_call_t *pending = data;

	if (!(condition & (G_IO_HUP | G_IO_ERR)) &&
	    g_socket_get_available_bytes(socket) > 0) {
		g_clear_pointer(&pending->hangup, g_source_unref);
		return G_SOURCE_REMOVE;
	}
	g_clear_pointer(&pending->hangup, g_source_unref);
	cancel_pending(pending);
	return G_SOURCE_REMOVE;
}

static void watch_socket(pending_call_t *pending)
{
	GSocket *socket = soup_server_message_get_socket(pending->message);

	if (!socket)
		return;
	pending->hangup = g_socket_create_source(
		socket, G_IO_IN | G_IO_HUP | G_IO_ERR, NULL);
	g_source_set_callback(pending->hangup, G_SOURCE_FUNC(on_socket_event),
			      pending, NULL);
	g_source_attach(pending->hangup, g_main_context_get_thread_default());
}

static pending_call_t *pending_new(caller_api_t *api,
				   SoupServerMessage *message)
{
	pending_call_t *pending = g_new0(pending_call_t, 1);

	pending->api = api;
	pending->message = g_object_ref(message);
	pending->disconnected = g_signal_connect(
		message, "disconnected", G_CALLBACK(on_message_ended), pending);
	pending->finished = g_signal_connect(
		message, "finished", G_CALLBACK(on_message_ended), pending);
	TAILQ_INSERT_TAIL(&api->pending, pending, link);
	return pending;
}

/*
 * Closes the connection after the response if this instance is leaving. A
 * persistent connection would be cut when the process exits.
 */
static void close_during_shutdown(const caller_api_t *api,
				  SoupServerMessage *message)
{
	if (entry_is_leaving(api->entry))
		soup_message_headers_replace(
			soup_server_message_get_response_headers(message),
			"Connection", "close");
}

static void write_answer(SoupServerMessage *message,
			 const call_answer_t *answer)
{
	if (answer->error.kind != CATK_OK) {
		http_reply_error(message, &answer->error);
		return;
	}
	soup_message_headers_replace(
		soup_server_message_get_response_headers(message),
		"Catkinstall-Outcome", outcome_name(answer->error.outcome));
	http_reply_bytes(message, answer->status, "application/octet-stream",
			 answer->body);
}

void caller_api_answer(caller_api_t *api, void *caller_ref,
		       const call_answer_t *answer)
{
	pending_call_t *pending = caller_ref;

	close_during_shutdown(api, pending->message);
	write_answer(pending->message, answer);
	TAILQ_REMOVE(&api->pending, pending, link);
	TAILQ_INSERT_TAIL(&api->writing, pending, link);
	pending->answered = TRUE;
	resume_message(pending);
}

gboolean caller_api_is_flushed(const caller_api_t *api)
{
	return TAILQ_EMPTY(&api->writing);
}

/* Splits "/v1/call/SERVICE/METHOD". Free names with g_strfreev(). */
static gchar **split_path(const char *path, catk_error_t *err)
{
	const char *rest = path + strlen(CALL_PATH);
	gchar **names;

	if (*rest == '/')
		rest++;
	names = g_strsplit(rest, "/", -1);
	if (g_strv_length(names) == 2)
		return names;
	g_strfreev(names);
	catk_error_set(err, CATK_NOT_FOUND, OUTCOME_NOT_RUN,
		       "path \"%.64s\" does not name a method: use " CALL_PATH
		       "/SERVICE/METHOD",
		       path);
	return NULL;
}

static gboolean check_request(const caller_api_t *api,
			      SoupServerMessage *message, catk_error_t *err)
{
	SoupMessageBody *body = soup_server_message_get_request_body(message);

	if (soup_server_message_get_method(message) != SOUP_METHOD_POST) {
		catk_error_set(err, CATK_INVALID_ARGUMENT, OUTCOME_NOT_RUN,
			       "a call must be a POST request");
		return FALSE;
	}
	if (!soup_sockets_has_whole_request(message)) {
		catk_error_set(err, CATK_INVALID_ARGUMENT, OUTCOME_NOT_RUN,
			       "the connection ended before the request, or "
			       "with it: send a length, or keep it open");
		return FALSE;
	}
	if ((gsize)body->length > api->body_bytes_max) {
		catk_error_set(err, CATK_TOO_LARGE, OUTCOME_NOT_RUN,
			       "the body has %" G_GOFFSET_FORMAT
			       " bytes: send at most %" G_GSIZE_FORMAT,
			       body->length, api->body_bytes_max);
		return FALSE;
	}
	return TRUE;
}

static gboolean read_headers(SoupServerMessage *message,
			     call_request_t *request, catk_error_t *err)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_request_headers(message);
	const char *caller =
		soup_message_headers_get_one(headers, "Catkinstall-Caller");
	guint64 remaining, attempt;

	request->request_id =
		soup_message_headers_get_one(headers, "Catkinstall-Request-Id");
	request->caller = caller ? caller : "";
	if (strlen(request->caller) > CALLER_NAME_MAX) {
		catk_error_set(err, CATK_INVALID_ARGUMENT, OUTCOME_NOT_RUN,
			       "Catkinstall-Caller is longer than %d bytes: "
			       "shorten it",
			       CALLER_NAME_MAX);
		return FALSE;
	}
	if (!http_parse_number("Catkinstall-Deadline-Ms",
			       soup_message_headers_get_one(
				       headers, "Catkinstall-Deadline-Ms"),
			       1, DEADLINE_MAX_MS, 0, &remaining, err))
		return FALSE;
	request->remaining = (GTimeSpan)remaining * G_TIME_SPAN_MILLISECOND;
	if (!http_parse_number("Catkinstall-Attempt",
			       soup_message_headers_get_one(
				       headers, "Catkinstall-Attempt"),
			       1, ATTEMPT_MAX, 1, &attempt, err))
		return FALSE;
	request->attempt = (guint)attempt;
	return TRUE;
}

static void start_call(caller_api_t *api, SoupServerMessage *message,
		       call_request_t *request)
{
	pending_call_t *pending = pending_new(api, message);

	/*
	 * Paused before entry_call(), which may already call
	 * caller_api_answer(); that resumes the message.
	 */
	soup_server_message_pause(message);
	pending->paused = TRUE;
	watch_socket(pending);
	request->caller_ref = pending;
	entry_call(api->entry, request);
}

static void on_call(SoupServer *server, SoupServerMessage *message,
		    const char *path, GHashTable *query, gpointer data)
{
	caller_api_t *api = data;
	call_request_t request = { 0 };
	catk_error_t error;
	gchar **names = NULL;

	(void)server;
	(void)query;
	if (!check_request(api, message, &error))
		goto refuse;
	names = split_path(path, &error);
	if (!names || !read_headers(message, &request, &error))
		goto refuse;
	request.service = names[0];
	request.method = names[1];
	request.body = soup_message_body_flatten(
		soup_server_message_get_request_body(message));
	start_call(api, message, &request);
	g_bytes_unref(request.body);
	goto out;
refuse:
	close_during_shutdown(api, message);
	http_reply_error(message, &error);
out:
	g_strfreev(names);
}

static void build_ids(JsonBuilder *builder, const resolve_result_t *result)
{
	gchar *prefix = g_strdup_printf("%s.%" G_GUINT64_FORMAT,
					result->instance, result->incarnation);

	json_builder_set_member_name(builder, "request_ids");
	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "prefix");
	json_builder_add_string_value(builder, prefix);
	json_builder_set_member_name(builder, "first");
	json_builder_add_int_value(builder, (gint64)result->ids.first);
	json_builder_set_member_name(builder, "count");
	json_builder_add_int_value(builder, result->ids.count);
	json_builder_set_member_name(builder, "expires_in_ms");
	json_builder_add_int_value(builder, result->ids.expires_in /
						    G_TIME_SPAN_MILLISECOND);
	json_builder_end_object(builder);
	g_free(prefix);
}

static void reply_resolve(SoupServerMessage *message,
			  const resolve_result_t *result)
{
	JsonBuilder *builder = json_builder_new();

	json_builder_begin_object(builder);
	resolve_json_add_addresses(builder, result);
	json_builder_set_member_name(builder, "ttl_ms");
	json_builder_add_int_value(builder,
				   result->ttl / G_TIME_SPAN_MILLISECOND);
	json_builder_set_member_name(builder, "config_version");
	json_builder_add_int_value(builder, (gint64)result->config_version);
	if (result->has_ids)
		build_ids(builder, result);
	json_builder_end_object(builder);
	http_reply_json(message, builder);
	g_object_unref(builder);
}

static void on_resolve(SoupServer *server, SoupServerMessage *message,
		       const char *path, GHashTable *query, gpointer data)
{
	caller_api_t *api = data;
	resolve_result_t result;
	catk_error_t error;

	(void)server;
	(void)path;
	(void)query;
	close_during_shutdown(api, message);
	if (entry_resolve(api->entry, &result, &error))
		reply_resolve(message, &result);
	else
		http_reply_error(message, &error);
}

caller_api_t *caller_api_new(SoupServer *server, entry_t *entry,
			     gsize body_bytes_max)
{
	caller_api_t *api = g_new0(caller_api_t, 1);

	api->server = server;
	api->entry = entry;
	api->body_bytes_max = body_bytes_max;
	TAILQ_INIT(&api->pending);
	TAILQ_INIT(&api->writing);
	soup_server_add_handler(server, CALL_PATH, on_call, api, NULL);
	soup_server_add_handler(server, RESOLVE_PATH, on_resolve, api, NULL);
	return api;
}

void caller_api_free(caller_api_t *api)
{
	if (!api)
		return;
	soup_server_remove_handler(api->server, CALL_PATH);
	soup_server_remove_handler(api->server, RESOLVE_PATH);
	while (!TAILQ_EMPTY(&api->pending))
		pending_free(TAILQ_FIRST(&api->pending));
	while (!TAILQ_EMPTY(&api->writing))
		pending_free(TAILQ_FIRST(&api->writing));
	g_free(api);
}
