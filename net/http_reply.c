#include "net/http_reply.h"

#include "codec/dump_json.h"

guint http_status_for_error(catk_error_kind_t kind)
{
	switch (kind) {
	case CATK_OK:
		return SOUP_STATUS_OK;
	case CATK_INVALID_ARGUMENT:
		return SOUP_STATUS_BAD_REQUEST;
	case CATK_UNAUTHENTICATED:
		return SOUP_STATUS_UNAUTHORIZED;
	case CATK_NOT_FOUND:
		return SOUP_STATUS_NOT_FOUND;
	case CATK_CONFLICT:
	case CATK_CANCELLED:
		return SOUP_STATUS_CONFLICT;
	case CATK_TOO_LARGE:
		return SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE;
	case CATK_RATE_LIMITED:
		return 429; /* RFC 6585; libsoup has no name for it */
	case CATK_OVERLOADED:
	case CATK_UNAVAILABLE:
		return SOUP_STATUS_SERVICE_UNAVAILABLE;
	case CATK_DEADLINE_EXCEEDED:
		return SOUP_STATUS_GATEWAY_TIMEOUT;
	case CATK_UPSTREAM_FAILED:
	case CATK_OUTCOME_UNKNOWN:
		return SOUP_STATUS_BAD_GATEWAY;
	case CATK_INTERNAL:
	case CATK_ERROR_KIND_COUNT:
		break;
	}
	return SOUP_STATUS_INTERNAL_SERVER_ERROR;
}

static void set_json(SoupServerMessage *message, guint status,
		     JsonBuilder *builder)
{
	gchar *text = json_builder_to_text(builder);

	soup_server_message_set_status(message, status, NULL);
	soup_server_message_set_response(message, "application/json",
					 SOUP_MEMORY_TAKE, text, strlen(text));
}

static void set_retry_after(SoupServerMessage *message, GTimeSpan retry_after)
{
	gint64 seconds =
		(retry_after + G_TIME_SPAN_SECOND - 1) / G_TIME_SPAN_SECOND;
	gchar *text;

	if (retry_after <= 0)
		return;
	text = g_strdup_printf("%" G_GINT64_FORMAT, seconds);
	soup_message_headers_replace(
		soup_server_message_get_response_headers(message),
		"Retry-After", text);
	g_free(text);
}

void http_reply_error(SoupServerMessage *message, const catk_error_t *error)
{
	http_reply_error_with(message, error, NULL, NULL);
}

void http_reply_error_with(SoupServerMessage *message,
			   const catk_error_t *error,
			   void (*add)(void *ctx, JsonBuilder *builder),
			   void *ctx)
{
	JsonBuilder *builder = json_builder_new();

	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "error");
	json_builder_begin_object(builder);
	json_builder_set_member_name(builder, "kind");
	json_builder_add_string_value(builder,
				      catk_error_kind_name(error->kind));
	json_builder_set_member_name(builder, "message");
	json_builder_add_string_value(builder, error->message);
	json_builder_set_member_name(builder, "outcome");
	json_builder_add_string_value(builder, outcome_name(error->outcome));
	json_builder_set_member_name(builder, "retry_after_ms");
	json_builder_add_int_value(builder, error->retry_after /
						    G_TIME_SPAN_MILLISECOND);
	json_builder_end_object(builder);
	if (add)
		add(ctx, builder);
	json_builder_end_object(builder);

	soup_message_headers_replace(
		soup_server_message_get_response_headers(message),
		"Catkinstall-Outcome", outcome_name(error->outcome));
	set_retry_after(message, error->retry_after);
	set_json(message, http_status_for_error(error->kind), builder);
	g_object_unref(builder);
}

void http_reply_json(SoupServerMessage *message, JsonBuilder *builder)
{
	set_json(message, SOUP_STATUS_OK, builder);
}

void http_reply_bytes(SoupServerMessage *message, guint status,
		      const char *content_type, GBytes *body)
{
	SoupMessageBody *response =
		soup_server_message_get_response_body(message);

	soup_server_message_set_status(message, status, NULL);
	soup_message_headers_set_content_type(
		soup_server_message_get_response_headers(message), content_type,
		NULL);
	soup_message_body_append_bytes(response, body);
}

gboolean http_parse_number(const char *name, const char *text, guint64 min,
			   guint64 max, guint64 default_value, guint64 *value,
			   catk_error_t *err)
{
	*value = default_value;
	if (!text)
		return TRUE;
	if (g_ascii_string_to_unsigned(text, 10, min, max, value, NULL))
		return TRUE;
	catk_error_set(err, CATK_INVALID_ARGUMENT, OUTCOME_NOT_RUN,
		       "%s is \"%.32s\": expected an integer from "
		       "%" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT,
		       name, text, min, max);
	return FALSE;
}
