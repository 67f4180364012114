#include "net/address.h"

/*
 * GLib's default of 10 overflows on a burst of new connections. The client of
 * each dropped SYN waits 1 s before it retransmits.
 */
#define LISTEN_BACKLOG 1024

GSocketAddress *address_parse(const char *text, catk_error_t *err)
{
	gchar **parts = g_strsplit(text, ":", 2);
	GSocketAddress *address = NULL;
	guint64 port;

	if (g_strv_length(parts) == 2 &&
	    g_ascii_string_to_unsigned(parts[1], 10, 1, 65535, &port, NULL))
		address = g_inet_socket_address_new_from_string(parts[0],
								(guint)port);
	g_strfreev(parts);
	if (!address)
		catk_error_set(err, CATK_INVALID_ARGUMENT, OUTCOME_NOT_RUN,
			       "invalid address \"%s\": expected ip:port",
			       text);
	return address;
}

static GSocket *open_socket(GSocketAddress *address, GError **error)
{
	GSocket *socket = g_socket_new(g_socket_address_get_family(address),
				       G_SOCKET_TYPE_STREAM,
				       G_SOCKET_PROTOCOL_TCP, error);

	if (!socket)
		return NULL;
	g_socket_set_listen_backlog(socket, LISTEN_BACKLOG);
	if (g_socket_bind(socket, address, TRUE, error) &&
	    g_socket_listen(socket, error))
		return socket;
	g_object_unref(socket);
	return NULL;
}

GSocket *address_listen(const char *text, catk_error_t *err)
{
	GSocketAddress *address = address_parse(text, err);
	GError *error = NULL;
	GSocket *socket;

	if (!address)
		return NULL;
	socket = open_socket(address, &error);
	if (!socket)
		catk_error_set(err, CATK_UNAVAILABLE, OUTCOME_NOT_RUN,
			       "cannot listen on %s: %s; free the port or "
			       "choose another",
			       text, error->message);
	g_clear_error(&error);
	g_object_unref(address);
	return socket;
}
