#include "programs/ctl.h"

#include <stdio.h>

#include "codec/json_reader.h"

void ctl_request(const ctl_options_t *options, const char *method,
		 const char *path, const char *const *request_headers,
		 GBytes *body, ctl_reply_t *reply)
{
	guint seconds = (options->timeout_ms + 999) / 1000;
	SoupSession *session = soup_session_new_with_options(
		"proxy-resolver", NULL, "timeout", seconds, NULL);
	gchar *uri = g_strdup_printf("http://%s%s", options->entry, path);
	SoupMessage *message = soup_message_new(method, uri);
	GError *error = NULL;

	memset(reply, 0, sizeof(*reply));
	for (; request_headers && *request_headers; request_headers += 2)
		soup_message_headers_append(
			soup_message_get_request_headers(message),
			request_headers[0], request_headers[1]);
	if (body)
		soup_message_set_request_body_from_bytes(
			message, "application/octet-stream", body);
	reply->body =
		soup_session_send_and_read(session, message, NULL, &error);
	if (reply->body) {
		reply->status = soup_message_get_status(message);
		reply->headers = soup_message_headers_ref(
			soup_message_get_response_headers(message));
	} else {
		reply->error = g_strdup_printf(
			"no answer from %s: %s; try another instance with "
			"--entry",
			options->entry, error->message);
		reply->without_effect =
			g_str_equal(method, SOUP_METHOD_GET) ||
			g_error_matches(error, G_IO_ERROR,
					G_IO_ERROR_CONNECTION_REFUSED);
	}
	g_clear_error(&error);
	g_object_unref(message);
	g_object_unref(session);
	g_free(uri);
}

void ctl_reply_clear(ctl_reply_t *reply)
{
	g_clear_pointer(&reply->headers, soup_message_headers_unref);
	g_clear_pointer(&reply->body, g_bytes_unref);
	g_clear_pointer(&reply->error, g_free);
}

static gboolean has_unknown_outcome(const ctl_reply_t *reply)
{
	const char *outcome = soup_message_headers_get_one(
		reply->headers, "Catkinstall-Outcome");

	return g_strcmp0(outcome, "unknown") == 0;
}

ctl_exit_t ctl_exit_status(const ctl_reply_t *reply)
{
	if (!reply->body)
		return reply->without_effect ? CTL_UNAVAILABLE : CTL_UNKNOWN;
	if (reply->status < SOUP_STATUS_BAD_REQUEST)
		return CTL_OK;
	if (has_unknown_outcome(reply))
		return CTL_UNKNOWN;
	switch (reply->status) {
	case SOUP_STATUS_BAD_REQUEST:
	case SOUP_STATUS_NOT_FOUND:
	case SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE:
		return CTL_INVALID;
	case SOUP_STATUS_CONFLICT:
		return CTL_CONFLICT;
	case 429: /* RFC 6585; libsoup has no name for it */
	case SOUP_STATUS_SERVICE_UNAVAILABLE:
		return CTL_UNAVAILABLE;
	default:
		return CTL_FAILED;
	}
}

JsonNode *ctl_reply_json(const ctl_reply_t *reply)
{
	json_reader_t reader = { 0 };
	const char *text;
	gsize size;

	if (!reply->body)
		return NULL;
	text = g_bytes_get_data(reply->body, &size);
	return json_reader_parse(&reader, text, (gssize)size);
}

int ctl_print_reply(const ctl_reply_t *reply)
{
	gsize size;
	const char *text;

	if (!reply->body) {
		fprintf(stderr, "%s\n", reply->error);
		return ctl_exit_status(reply);
	}
	text = g_bytes_get_data(reply->body, &size);
	if (reply->status >= SOUP_STATUS_BAD_REQUEST) {
		fprintf(stderr, "%.*s\n", (int)size, text);
		return ctl_exit_status(reply);
	}
	printf("%.*s\n", (int)size, text);
	return CTL_OK;
}
