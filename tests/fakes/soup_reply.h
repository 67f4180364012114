/* Responses and listeners of the fakes that are libsoup servers. */
#ifndef CATK_FAKES_SOUP_REPLY_H
#define CATK_FAKES_SOUP_REPLY_H

#include <libsoup/soup.h>
#include <string.h>

#include "codec/dump_json.h"
#include "net/address.h"

/* Makes server accept connections on address, "ip:port". FALSE on an error. */
static inline gboolean soup_listen(SoupServer *server, const char *address,
				   catk_error_t *err)
{
	GSocket *socket = address_listen(address, err);
	GError *error = NULL;
	gboolean ok;

	if (!socket)
		return FALSE;
	ok = soup_server_listen_socket(server, socket, 0, &error);
	if (!ok)
		catk_error_set(err, CATK_UNAVAILABLE, OUTCOME_NOT_RUN,
			       "cannot serve on %s: %s; choose another port",
			       address, error->message);
	g_clear_error(&error);
	g_object_unref(socket);
	return ok;
}

/* Responds with a body of the given content type; references body. */
static inline void soup_reply_bytes(SoupServerMessage *message, guint status,
				    const char *content_type, GBytes *body)
{
	soup_server_message_set_status(message, status, NULL);
	soup_message_headers_set_content_type(
		soup_server_message_get_response_headers(message), content_type,
		NULL);
	soup_message_body_append_bytes(
		soup_server_message_get_response_body(message), body);
}

/* Responds with status 200 and the builder's document. */
static inline void soup_reply_json(SoupServerMessage *message,
				   JsonBuilder *builder)
{
	gchar *text = json_builder_to_text(builder);

	soup_server_message_set_status(message, SOUP_STATUS_OK, NULL);
	soup_server_message_set_response(message, "application/json",
					 SOUP_MEMORY_TAKE, text, strlen(text));
}

#endif
