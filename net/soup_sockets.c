#include "net/soup_sockets.h"

#include <errno.h>
#include <sys/socket.h>

struct soup_sockets {
	GHashTable *by_connection; /* id of a connection -> entry_t */
};

/* An entry of the table, which goes with its socket. */
typedef struct {
	guint64 connection;
	GSocket *socket; /* not referenced: libsoup closes it */
	GHashTable *table; /* referenced */
} entry_t;

soup_sockets_t *soup_sockets_new(void)
{
	soup_sockets_t *sockets = g_new0(soup_sockets_t, 1);

	sockets->by_connection = g_hash_table_new(g_int64_hash, g_int64_equal);
	return sockets;
}

void soup_sockets_free(soup_sockets_t *sockets)
{
	if (!sockets)
		return;
	g_hash_table_unref(sockets->by_connection);
	g_free(sockets);
}

static void on_socket_freed(gpointer data, GObject *socket)
{
	entry_t *entry = data;

	(void)socket;
	g_hash_table_remove(entry->table, &entry->connection);
	g_hash_table_unref(entry->table);
	g_free(entry);
}

static void add_socket(GHashTable *table, guint64 connection, GSocket *socket)
{
	entry_t *entry;

	if (g_hash_table_contains(table, &connection))
		return;
	entry = g_new0(entry_t, 1);
	entry->connection = connection;
	entry->socket = socket;
	entry->table = g_hash_table_ref(table);
	g_hash_table_insert(table, &entry->connection, entry);
	g_object_weak_ref(G_OBJECT(socket), on_socket_freed, entry);
}

static void on_network_event(SoupMessage *message, GSocketClientEvent event,
			     GIOStream *connection, gpointer table)
{
	if (event == G_SOCKET_CLIENT_CONNECTED &&
	    G_IS_SOCKET_CONNECTION(connection))
		add_socket(table, soup_message_get_connection_id(message),
			   g_socket_connection_get_socket(
				   G_SOCKET_CONNECTION(connection)));
}

static void unref_table(gpointer table, GClosure *closure)
{
	(void)closure;
	g_hash_table_unref(table);
}

void soup_sockets_track(soup_sockets_t *sockets, SoupMessage *message)
{
	g_signal_connect_data(message, "network-event",
			      G_CALLBACK(on_network_event),
			      g_hash_table_ref(sockets->by_connection),
			      unref_table, G_CONNECT_DEFAULT);
}

static gboolean has_ended(GSocket *socket)
{
	char byte;
	ssize_t size = recv(g_socket_get_fd(socket), &byte, 1,
			    MSG_PEEK | MSG_DONTWAIT);

	return size == 0 || (size < 0 && errno != EAGAIN);
}

/* A connection that is not known counts as ended. */
static gboolean connection_has_ended(const soup_sockets_t *sockets,
				     SoupMessage *message)
{
	guint64 connection = soup_message_get_connection_id(message);
	const entry_t *entry =
		g_hash_table_lookup(sockets->by_connection, &connection);

	return !entry || has_ended(entry->socket);
}

gboolean soup_sockets_has_whole_response(const soup_sockets_t *sockets,
					 SoupMessage *message, gsize body_size)
{
	SoupMessageHeaders *headers =
		soup_message_get_response_headers(message);

	if (body_size && soup_message_headers_get_encoding(headers) ==
				 SOUP_ENCODING_CONTENT_LENGTH)
		return (goffset)body_size ==
		       soup_message_headers_get_content_length(headers);
	return !connection_has_ended(sockets, message);
}

gboolean soup_sockets_has_whole_request(SoupServerMessage *message)
{
	SoupMessageHeaders *headers =
		soup_server_message_get_request_headers(message);
	goffset size = soup_server_message_get_request_body(message)->length;

	return (size && soup_message_headers_get_encoding(headers) ==
				SOUP_ENCODING_CONTENT_LENGTH) ||
	       !has_ended(soup_server_message_get_socket(message));
}
