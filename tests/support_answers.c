#include "tests/support_answers.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "lib/common/intrusive.h"
#include "net/address.h"
#include "net/http_message.h"
#include "tests/support.h"

typedef struct connection {
	TAILQ_ENTRY(connection) link;
	answer_server_t *server;
	GSocket *socket;
	GSource *readable;
	http_message_parser_t *parser;
	raw_answer_t answer; /* being sent */
	gsize sent; /* bytes of it */
	guint sender; /* source that sends the next piece, 0 if none */
} connection_t;

struct answer_server {
	GSocket *listener;
	GSource *incoming;
	raw_answer_t answer;
	TAILQ_HEAD(connection_list, connection) connections;
};

static void connection_free(connection_t *connection)
{
	TAILQ_REMOVE(&connection->server->connections, connection, link);
	if (connection->sender)
		g_source_remove(connection->sender);
	g_source_destroy(connection->readable);
	g_source_unref(connection->readable);
	g_socket_close(connection->socket, NULL);
	g_object_unref(connection->socket);
	http_message_parser_free(connection->parser);
	g_free(connection);
}

static void reset_connection(connection_t *connection)
{
	const struct linger linger = { .l_onoff = 1 };

	setsockopt(g_socket_get_fd(connection->socket), SOL_SOCKET, SO_LINGER,
		   &linger, sizeof(linger));
	connection_free(connection);
}

static void send_piece(connection_t *connection, gsize size)
{
	g_socket_send(connection->socket,
		      connection->answer.text + connection->sent, size, NULL,
		      NULL);
	connection->sent += size;
}

static void end_answer(connection_t *connection)
{
	if (connection->answer.end == ANSWER_RESET)
		reset_connection(connection);
	else if (connection->answer.end == ANSWER_CLOSE)
		connection_free(connection);
}

/* Runs only when the reader has nothing left to read. */
static gboolean on_next_piece(gpointer data)
{
	connection_t *connection = data;
	gsize left = connection->answer.size - connection->sent;

	if (left) {
		send_piece(connection, MIN(connection->answer.piece, left));
		return G_SOURCE_CONTINUE;
	}
	connection->sender = 0;
	end_answer(connection);
	return G_SOURCE_REMOVE;
}

static void start_answer(connection_t *connection)
{
	/* The reader was faster than the end of the last answer. */
	if (connection->sender)
		g_source_remove(connection->sender);
	connection->sender = 0;
	connection->answer = connection->server->answer;
	connection->sent = 0;
	if (connection->answer.piece) {
		connection->sender = g_idle_add(on_next_piece, connection);
		return;
	}
	send_piece(connection, connection->answer.size);
	end_answer(connection);
}

static gboolean on_readable(GSocket *socket, GIOCondition condition,
			    gpointer data)
{
	connection_t *connection = data;
	char buffer[16384];
	gssize size =
		g_socket_receive(socket, buffer, sizeof(buffer), NULL, NULL);
	gsize used;

	(void)condition;
	if (size <= 0) {
		connection_free(connection);
	} else if (http_message_parser_feed(connection->parser, buffer,
					    (gsize)size,
					    &used) == HTTP_PARSE_COMPLETE) {
		http_message_free(http_message_parser_take(connection->parser));
		start_answer(connection);
	}
	return G_SOURCE_CONTINUE;
}

static gboolean on_incoming(GSocket *listener, GIOCondition condition,
			    gpointer data)
{
	connection_t *connection = g_new0(connection_t, 1);

	(void)condition;
	connection->server = data;
	connection->socket = g_socket_accept(listener, NULL, NULL);
	/* A reset would drop pieces that Nagle's algorithm holds back. */
	g_socket_set_option(connection->socket, IPPROTO_TCP, TCP_NODELAY, 1,
			    NULL);
	connection->parser = http_message_parser_new(TRUE);
	connection->readable =
		watch_socket(connection->socket, on_readable, connection);
	TAILQ_INSERT_TAIL(&connection->server->connections, connection, link);
	return G_SOURCE_CONTINUE;
}

answer_server_t *answer_server_new(guint port)
{
	answer_server_t *server = g_new0(answer_server_t, 1);
	gchar *address = g_strdup_printf("127.0.0.1:%u", port);

	TAILQ_INIT(&server->connections);
	server->listener = address_listen(address, NULL);
	g_assert(server->listener);
	server->incoming = watch_socket(server->listener, on_incoming, server);
	g_free(address);
	return server;
}

void answer_server_free(answer_server_t *server)
{
	if (!server)
		return;
	while (!TAILQ_EMPTY(&server->connections))
		connection_free(TAILQ_FIRST(&server->connections));
	g_source_destroy(server->incoming);
	g_source_unref(server->incoming);
	g_object_unref(server->listener);
	g_free(server);
}

void answer_server_set(answer_server_t *server, const raw_answer_t *answer)
{
	server->answer = *answer;
}
