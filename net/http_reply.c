#include "net/http_reply.h"

#include <http_parser.h>
#include <string.h>

#include "codec/dump_json.h"

guint http_status_for_error(catk_error_kind_t kind)
{
	switch (kind) {
	case CATK_OK:
		return HTTP_STATUS_OK;
	case CATK_INVALID_ARGUMENT:
		return HTTP_STATUS_BAD_REQUEST;
	case CATK_UNAUTHENTICATED:
		return HTTP_STATUS_UNAUTHORIZED;
	case CATK_NOT_FOUND:
		return HTTP_STATUS_NOT_FOUND;
	case CATK_CONFLICT:
	case CATK_CANCELLED:
		return HTTP_STATUS_CONFLICT;
	case CATK_TOO_LARGE:
		return HTTP_STATUS_PAYLOAD_TOO_LARGE;
	case CATK_RATE_LIMITED:
		return HTTP_STATUS_TOO_MANY_REQUESTS;
	case CATK_OVERLOADED:
	case CATK_UNAVAILABLE:
		return HTTP_STATUS_SERVICE_UNAVAILABLE;
	case CATK_DEADLINE_EXCEEDED:
		return HTTP_STATUS_GATEWAY_TIMEOUT;
	case CATK_UPSTREAM_FAILED:
	case CATK_OUTCOME_UNKNOWN:
		return HTTP_STATUS_BAD_GATEWAY;
	case CATK_INTERNAL:
	case CATK_ERROR_KIND_COUNT:
		break;
	}
	return HTTP_STATUS_INTERNAL_SERVER_ERROR;
}

static void reply_json(http_exchange_t *exchange, guint status,
		       const char *headers, JsonBuilder *builder)
{
	gchar *text = json_builder_to_text(builder);
	GBytes *body = g_bytes_new_take(text, strlen(text));

	http_reply_bytes(exchange, status, "application/json", headers, body);
	g_bytes_unref(body);
}

static void append_retry_after(GString *headers, GTimeSpan retry_after)
{
	gint64 seconds =
		(retry_after + G_TIME_SPAN_SECOND - 1) / G_TIME_SPAN_SECOND;

	if (retry_after > 0)
		g_string_append_printf(headers,
				       "Retry-After: %" G_GINT64_FORMAT "\r\n",
				       seconds);
}

void http_reply_error(http_exchange_t *exchange, const catk_error_t *error)
{
	http_reply_error_with(exchange, error, NULL, NULL);
}

void http_reply_error_with(http_exchange_t *exchange, const catk_error_t *error,
			   void (*add)(void *ctx, JsonBuilder *builder),
			   void *ctx)
{
	JsonBuilder *builder = json_builder_new();
	GString *headers = g_string_new(NULL);

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

	g_string_printf(headers, "Catkinstall-Outcome: %s\r\n",
			outcome_name(error->outcome));
	append_retry_after(headers, error->retry_after);
	reply_json(exchange, http_status_for_error(error->kind), headers->str,
		   builder);
	g_string_free(headers, TRUE);
	g_object_unref(builder);
}

void http_reply_json(http_exchange_t *exchange, JsonBuilder *builder)
{
	reply_json(exchange, HTTP_STATUS_OK, "", builder);
}

void http_reply_bytes(http_exchange_t *exchange, guint status,
		      const char *content_type, const char *headers,
		      GBytes *body)
{
	gchar *all = g_strdup_printf("Content-Type: %s\r\n%s", content_type,
				     headers);

	http_exchange_reply(exchange, status, all, body);
	g_free(all);
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
