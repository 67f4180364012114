#include "programs/ctl.h"

#include <stdio.h>
#include <stdlib.h>

void ctl_request(const ctl_options_t *options, const char *method,
		 const char *path, const char *const *request_headers,
		 GBytes *body, ctl_reply_t *reply)
{
	SoupSession *session =
		soup_session_new_with_options("proxy-resolver", NULL, NULL);
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
			"no answer from %s: %s; name a live instance with "
			"--entry",
			options->entry, error->message);
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

int ctl_print(const ctl_reply_t *reply)
{
	gsize size;
	const char *text;

	if (!reply->body) {
		fprintf(stderr, "%s\n", reply->error);
		return EXIT_FAILURE;
	}
	text = g_bytes_get_data(reply->body, &size);
	if (reply->status >= SOUP_STATUS_BAD_REQUEST) {
		fprintf(stderr, "%.*s\n", (int)size, text);
		return EXIT_FAILURE;
	}
	printf("%.*s\n", (int)size, text);
	return EXIT_SUCCESS;
}
