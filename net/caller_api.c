#include "net/caller_api.h"

#include <string.h>

#include "codec/resolve_json.h"
#include "net/http_reply.h"

#define CALL_PATH "/v1/call"
#define RESOLVE_PATH "/v1/resolve"
#define CALLER_NAME_MAX 128 /* bytes */
#define DEADLINE_MAX_MS 600000
#define ATTEMPT_MAX 1000

struct caller_api {
	http_service_t *service;
	entry_t *entry;
	gsize body_bytes_max;
	/* Set of http_exchange_t, each the caller_ref of a call in progress. */
	GHashTable *pending;
};

static void on_disconnected(void *ctx, http_exchange_t *exchange)
{
	caller_api_t *api = ctx;

	if (g_hash_table_remove(api->pending, exchange))
		entry_cancel(api->entry, exchange);
}

static void write_answer(http_exchange_t *exchange, const call_answer_t *answer)
{
	gchar *headers;

	if (answer->error.kind != CATK_OK) {
		http_reply_error(exchange, &answer->error);
		return;
	}
	headers = g_strdup_printf("Catkinstall-Outcome: %s\r\n",
				  outcome_name(answer->error.outcome));
	http_reply_bytes(exchange, answer->status, "application/octet-stream",
			 headers, answer->body);
	g_free(headers);
}

void caller_api_answer(caller_api_t *api, void *caller_ref,
		       const call_answer_t *answer)
{
	g_hash_table_remove(api->pending, caller_ref);
	write_answer(caller_ref, answer);
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
			      const http_message_t *message, catk_error_t *err)
{
	gsize size = g_bytes_get_size(message->body);

	if (!g_str_equal(message->method, "POST")) {
		catk_error_set(err, CATK_INVALID_ARGUMENT, OUTCOME_NOT_RUN,
			       "a call must be a POST request");
		return FALSE;
	}
	if (size > api->body_bytes_max) {
		catk_error_set(err, CATK_TOO_LARGE, OUTCOME_NOT_RUN,
			       "the body has %" G_GSIZE_FORMAT
			       " bytes: send at most %" G_GSIZE_FORMAT,
			       size, api->body_bytes_max);
		return FALSE;
	}
	return TRUE;
}

static gboolean read_headers(const http_message_t *message,
			     call_request_t *request, catk_error_t *err)
{
	const char *caller = http_message_header(message, "Catkinstall-Caller");
	guint64 remaining, attempt;

	request->request_id =
		http_message_header(message, "Catkinstall-Request-Id");
	request->caller = caller ? caller : "";
	if (strlen(request->caller) > CALLER_NAME_MAX) {
		catk_error_set(err, CATK_INVALID_ARGUMENT, OUTCOME_NOT_RUN,
			       "Catkinstall-Caller is longer than %d bytes: "
			       "shorten it",
			       CALLER_NAME_MAX);
		return FALSE;
	}
	if (!http_parse_number("Catkinstall-Deadline-Ms",
			       http_message_header(message,
						   "Catkinstall-Deadline-Ms"),
			       1, DEADLINE_MAX_MS, 0, &remaining, err))
		return FALSE;
	request->remaining = (GTimeSpan)remaining * G_TIME_SPAN_MILLISECOND;
	if (!http_parse_number("Catkinstall-Attempt",
			       http_message_header(message,
						   "Catkinstall-Attempt"),
			       1, ATTEMPT_MAX, 1, &attempt, err))
		return FALSE;
	request->attempt = (guint)attempt;
	return TRUE;
}

static void on_call(void *ctx, http_exchange_t *exchange, const char *path,
		    GHashTable *query)
{
	const http_message_t *message = http_exchange_request(exchange);
	caller_api_t *api = ctx;
	call_request_t request = { .caller_ref = exchange };
	catk_error_t error;
	gchar **names = NULL;

	(void)query;
	if (!check_request(api, message, &error))
		goto refuse;
	names = split_path(path, &error);
	if (!names || !read_headers(message, &request, &error))
		goto refuse;
	request.service = names[0];
	request.method = names[1];
	request.body = message->body;
	/* entry_call() may already call caller_api_answer(). */
	g_hash_table_add(api->pending, exchange);
	entry_call(api->entry, &request);
	goto out;
refuse:
	http_reply_error(exchange, &error);
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

static void reply_resolve(http_exchange_t *exchange,
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
	http_reply_json(exchange, builder);
	g_object_unref(builder);
}

static void on_resolve(void *ctx, http_exchange_t *exchange, const char *path,
		       GHashTable *query)
{
	caller_api_t *api = ctx;
	resolve_result_t result;
	catk_error_t error;

	(void)path;
	(void)query;
	if (entry_resolve(api->entry, &result, &error))
		reply_resolve(exchange, &result);
	else
		http_reply_error(exchange, &error);
}

caller_api_t *caller_api_new(http_service_t *service, entry_t *entry,
			     gsize body_bytes_max)
{
	caller_api_t *api = g_new0(caller_api_t, 1);
	http_handler_t handler = { .request = on_call,
				   .disconnected = on_disconnected,
				   .ctx = api };

	api->service = service;
	api->entry = entry;
	api->body_bytes_max = body_bytes_max;
	api->pending = g_hash_table_new(NULL, NULL);
	http_service_add_handler(service, CALL_PATH, &handler);
	handler.request = on_resolve;
	http_service_add_handler(service, RESOLVE_PATH, &handler);
	return api;
}

void caller_api_free(caller_api_t *api)
{
	if (!api)
		return;
	http_service_remove_handler(api->service, CALL_PATH);
	http_service_remove_handler(api->service, RESOLVE_PATH);
	g_hash_table_destroy(api->pending);
	g_free(api);
}
