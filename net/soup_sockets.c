#include "net/soup_sockets.h"

#include <errno.h>
#include <sys/socket.h>

/*
 * Under this key a session and its messages refer to the table of the session:
 * id of a connection -> tracked_socket_t. Sessions count their connections
 * separately, so an id is unique only within one of them.
 */
#define TABLE_KEY "catk-soup-sockets"

/* A value of the table, which goes with its socket. */
typedef struct {
	guint64 connection;
	GSocket *socket; /* not referenced: libsoup closes it */
	GHashTable *table; /* referenced */
} tracked_socket_t;

static void on_socket_freed(gpointer data, GObject *socket)
{
	tracked_socket_t *tracked = data;

	(void)socket;
	g_hash_table_remove(tracked->table, &tracked->connection);
	g_hash_table_unref(tracked->table);
	g_free(tracked);
}

static void add_socket(GHashTable *table, guint64 connection, GSocket *socket)
{
	tracked_socket_t *tracked;

	if (g_hash_table_contains(table, &connection))
		return;
	tracked = g_new0(tracked_socket_t, 1);
	tracked->connection = connection;
	tracked->socket = socket;
	tracked->table = g_hash_table_ref(table);
	g_hash_table_insert(table, &tracked->connection, tracked);
	g_object_weak_ref(G_OBJECT(socket), on_socket_freed, tracked);
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

static void unref_table(gpointer table)
{
	g_hash_table_unref(table);
}

/* Returns the table of the session, created if needed. */
static GHashTable *session_table(SoupSession *session)
{
	GHashTable *table = g_object_get_data(G_OBJECT(session), TABLE_KEY);

	if (!table) {
		table = g_hash_table_new(g_int64_hash, g_int64_equal);
		g_object_set_data_full(G_OBJECT(session), TABLE_KEY, table,
				       unref_table);
	}
	return table;
}

void soup_sockets_track(SoupSession *session, SoupMessage *message)
{
	GHashTable *table = session_table(session);

	g_object_set_data_full(G_OBJECT(message), TABLE_KEY,
			       g_hash_table_ref(table), unref_table);
	g_signal_connect(message, "network-event", G_CALLBACK(on_network_event),
			 table);
}

static gboolean has_ended(GSocket *socket)
{
	char byte;
	ssize_t size = recv(g_socket_get_fd(socket), &byte, 1,
			    MSG_PEEK | MSG_DONTWAIT);

	return size == 0 || (size < 0 && errno != EAGAIN);
}

/* A connection that is not known counts as ended. */
static gboolean connection_has_ended(SoupMessage *message)
{
	GHashTable *table = g_object_get_data(G_OBJECT(message), TABLE_KEY);
	guint64 connection = soup_message_get_connection_id(message);
	const tracked_socket_t *tracked =
		g_hash_table_lookup(table, &connection);

	return !tracked || has_ended(tracked->socket);
}

gboolean soup_sockets_has_whole_response(SoupMessage *message, gsize body_size)
{
	SoupMessageHeaders *headers =
		soup_message_get_response_headers(message);

	if (body_size && soup_message_headers_get_encoding(headers) ==
				 SOUP_ENCODING_CONTENT_LENGTH)
		return (goffset)body_size ==
		       soup_message_headers_get_content_length(headers);
	return !connection_has_ended(message);
}
