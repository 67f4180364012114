#include "net/http_listen.h"

/*
 * libsoup listens with GLib's backlog of 10. A burst of new connections
 * overflows it, and each dropped SYN costs the caller 1 s until it is sent
 * again.
 */
#define LISTEN_BACKLOG 1024

static GSocketAddress *parse_address(const char *text)
{
	gchar **parts = g_strsplit(text, ":", 2);
	GSocketAddress *address = NULL;
	guint64 port;

	if (g_strv_length(parts) == 2 &&
	    g_ascii_string_to_unsigned(parts[1], 10, 1, 65535, &port, NULL))
		address = g_inet_socket_address_new_from_string(parts[0],
								(guint)port);
	g_strfreev(parts);
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

gboolean http_listen(SoupServer *server, const char *text, catk_error_t *err)
{
	GSocketAddress *address = parse_address(text);
	GSocket *socket = NULL;
	GError *error = NULL;
	gboolean ok = FALSE;

	if (!address) {
		catk_error_set(err, CATK_INVALID_ARGUMENT, OUTCOME_NOT_RUN,
			       "address \"%s\" is not valid: write ip:port",
			       text);
		return FALSE;
	}
	socket = open_socket(address, &error);
	ok = socket && soup_server_listen_socket(server, socket, 0, &error);
	if (!ok)
		catk_error_set(err, CATK_UNAVAILABLE, OUTCOME_NOT_RUN,
			       "cannot listen on %s: %s; free the port or "
			       "choose another",
			       text, error->message);
	g_clear_error(&error);
	g_clear_object(&socket);
	g_object_unref(address);
	return ok;
}
