/*
 * A TCP proxy for one endpoint that injects faults. It reads complete HTTP
 * messages, applies the fault, and forwards them. Cancellations and probes are
 * always forwarded unchanged.
 *
 * POST /fault?kind=KIND&how=fin|rst&count=N&delay_ms=N on the control port
 * applies a fault to the next N requests; kind=none cancels it. how tells
 * whether connections are closed with FIN or with RST.
 */
#include <argp.h>
#include <gio/gio.h>
#include <libsoup/soup.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "lib/common/intrusive.h"

#define READ_BYTES 65536

typedef enum {
	FAULT_NONE,
	FAULT_BEFORE_WRITE, /* close on accept or before the request is sent */
	FAULT_PARTIAL_REQUEST, /* forward half of the request, then close */
	FAULT_AFTER_REQUEST, /* forward the request, then close */
	FAULT_BEFORE_ANSWER, /* receive the response, then close */
	FAULT_IN_ANSWER, /* forward the response less two bytes, then close */
	FAULT_AFTER_ANSWER, /* forward the response, then close */
	FAULT_DELAY, /* delay the response */
	FAULT_FREEZE, /* forward nothing, keep the connection open */
	FAULT_FREEZE_ANSWER, /* forward the request, but no response */
	FAULT_CROSS, /* swap the responses of two connections */
	FAULT_DOUBLE, /* forward the response twice */
	FAULT_STALE, /* forward the connection's previous response first */
	FAULT_COUNT
} fault_t;

static const char *const fault_names[FAULT_COUNT] = {
	"none",		 "before_write",  "partial_request", "after_request",
	"before_answer", "in_answer",	  "after_answer",    "delay",
	"freeze",	 "freeze_answer", "cross",	     "double",
	"stale",
};

/* A connection from a client and its connection to the endpoint. */
typedef struct connection {
	TAILQ_ENTRY(connection) link;
	GSocket *client;
	GSocket *endpoint;
	GSource *client_source;
	GSource *endpoint_source;
	GByteArray *request;
	GByteArray *response;
	GByteArray *previous_response;
	fault_t fault; /* of the request in progress */
	guint timer;
} connection_t;

static struct {
	guint port, target, control;
	fault_t fault;
	gboolean reset; /* close with RST, not FIN */
	guint count; /* further requests that the fault applies to */
	guint delay_ms;
	connection_t *crossed; /* its response waits for one to be swapped with */
	TAILQ_HEAD(connection_list, connection) connections;
} proxy = { .port = 9100, .target = 9000, .control = 9101 };

/* Returns the fault of the next request. */
static fault_t take_fault(void)
{
	if (proxy.count == 0)
		return FAULT_NONE;
	proxy.count--;
	return proxy.fault;
}

static void destroy_source(GSource **source)
{
	if (*source)
		g_source_destroy(*source);
	g_clear_pointer(source, g_source_unref);
}

static void close_socket(GSocket **socket, gboolean reset)
{
	const struct linger linger = { .l_onoff = 1 };

	if (*socket && reset)
		setsockopt(g_socket_get_fd(*socket), SOL_SOCKET, SO_LINGER,
			   &linger, sizeof(linger));
	g_clear_object(socket);
}

static void connection_free(connection_t *connection, gboolean reset)
{
	TAILQ_REMOVE(&proxy.connections, connection, link);
	if (proxy.crossed == connection)
		proxy.crossed = NULL;
	if (connection->timer)
		g_source_remove(connection->timer);
	destroy_source(&connection->client_source);
	destroy_source(&connection->endpoint_source);
	close_socket(&connection->client, reset);
	close_socket(&connection->endpoint, FALSE);
	g_byte_array_unref(connection->request);
	g_byte_array_unref(connection->response);
	g_byte_array_unref(connection->previous_response);
	g_free(connection);
}

/* Closes the client's side only, so that the endpoint executes the request. */
static void close_client(connection_t *connection)
{
	destroy_source(&connection->client_source);
	close_socket(&connection->client, proxy.reset);
}

static void send_bytes(GSocket *socket, const guint8 *data, gsize size)
{
	gssize sent;

	while (socket && size > 0) {
		sent = g_socket_send_with_blocking(socket, (const gchar *)data,
						   size, TRUE, NULL, NULL);
		if (sent <= 0)
			return;
		data += sent;
		size -= (gsize)sent;
	}
}

static void send_array(GSocket *socket, const GByteArray *bytes)
{
	send_bytes(socket, bytes->data, bytes->len);
}

/* Size of the first message in the array, 0 if it is not complete. */
static gsize message_size(const GByteArray *bytes)
{
	gchar *text = g_strndup((const char *)bytes->data, bytes->len);
	char *end = strstr(text, "\r\n\r\n");
	gsize size = 0;
	char *length;

	if (end) {
		*end = '\0';
		length = strcasestr(text, "\r\ncontent-length:");
		size = (gsize)(end - text) + strlen("\r\n\r\n");
		if (length)
			size += strtoul(strchr(length, ':') + 1, NULL, 10);
	}
	g_free(text);
	return size <= bytes->len ? size : 0;
}

/* Moves the response to previous_response. */
static void store_previous_response(connection_t *connection)
{
	g_byte_array_set_size(connection->previous_response, 0);
	g_byte_array_append(connection->previous_response,
			    connection->response->data,
			    connection->response->len);
	g_byte_array_set_size(connection->response, 0);
}

/* Swaps the response with that of another connection, once there is one. */
static void swap_response(connection_t *connection)
{
	connection_t *other = proxy.crossed;

	if (!other) {
		proxy.crossed = connection;
		return;
	}
	proxy.crossed = NULL;
	send_array(other->client, connection->response);
	send_array(connection->client, other->response);
	store_previous_response(connection);
	store_previous_response(other);
}

static gboolean on_delay_end(gpointer data)
{
	connection_t *connection = data;

	connection->timer = 0;
	send_array(connection->client, connection->response);
	store_previous_response(connection);
	return G_SOURCE_REMOVE;
}

/* Forwards a response. Returns FALSE if the connection was freed. */
static gboolean forward_response(connection_t *connection)
{
	switch (connection->fault) {
	case FAULT_BEFORE_ANSWER:
		connection_free(connection, proxy.reset);
		return FALSE;
	case FAULT_IN_ANSWER:
		send_bytes(connection->client, connection->response->data,
			   connection->response->len - 2);
		connection_free(connection, proxy.reset);
		return FALSE;
	case FAULT_AFTER_ANSWER:
		send_array(connection->client, connection->response);
		connection_free(connection, proxy.reset);
		return FALSE;
	case FAULT_DELAY:
		connection->timer =
			g_timeout_add(proxy.delay_ms, on_delay_end, connection);
		return TRUE;
	case FAULT_FREEZE_ANSWER:
		return TRUE;
	case FAULT_CROSS:
		swap_response(connection);
		return TRUE;
	case FAULT_DOUBLE:
		send_array(connection->client, connection->response);
		break;
	case FAULT_STALE:
		send_array(connection->client, connection->previous_response);
		break;
	default:
		break;
	}
	send_array(connection->client, connection->response);
	store_previous_response(connection);
	return TRUE;
}

/* Appends received data. Returns FALSE at the end of the stream. */
static gboolean receive(GSocket *socket, GByteArray *into)
{
	gchar buffer[READ_BYTES];
	gssize size =
		g_socket_receive(socket, buffer, sizeof(buffer), NULL, NULL);

	if (size > 0)
		g_byte_array_append(into, (guint8 *)buffer, (guint)size);
	return size > 0;
}

static gboolean on_endpoint_readable(GSocket *socket, GIOCondition condition,
				     gpointer data)
{
	connection_t *connection = data;

	(void)condition;
	if (!receive(socket, connection->response)) {
		connection_free(connection, FALSE);
		return G_SOURCE_REMOVE;
	}
	if (!message_size(connection->response))
		return G_SOURCE_CONTINUE;
	return forward_response(connection) ? G_SOURCE_CONTINUE :
					      G_SOURCE_REMOVE;
}

/* TRUE for cancellations and probes. */
static gboolean is_control_request(const GByteArray *request)
{
	const char *data = (const char *)request->data;

	return strncmp(data, "POST /cancel", strlen("POST /cancel")) == 0 ||
	       strncmp(data, "POST /load", strlen("POST /load")) == 0;
}

/* Forwards a request. Returns FALSE if the client's side was closed. */
static gboolean forward_request(connection_t *connection)
{
	connection->fault = is_control_request(connection->request) ?
				    FAULT_NONE :
				    take_fault();
	if (connection->fault == FAULT_BEFORE_WRITE) {
		connection_free(connection, proxy.reset);
		return FALSE;
	}
	if (connection->fault == FAULT_PARTIAL_REQUEST) {
		send_bytes(connection->endpoint, connection->request->data,
			   connection->request->len / 2);
		connection_free(connection, proxy.reset);
		return FALSE;
	}
	if (connection->fault != FAULT_FREEZE)
		send_array(connection->endpoint, connection->request);
	g_byte_array_set_size(connection->request, 0);
	if (connection->fault == FAULT_AFTER_REQUEST)
		close_client(connection);
	return connection->fault != FAULT_AFTER_REQUEST;
}

static gboolean on_client_readable(GSocket *socket, GIOCondition condition,
				   gpointer data)
{
	connection_t *connection = data;

	(void)condition;
	if (!receive(socket, connection->request)) {
		connection_free(connection, FALSE);
		return G_SOURCE_REMOVE;
	}
	if (!message_size(connection->request))
		return G_SOURCE_CONTINUE;
	return forward_request(connection) ? G_SOURCE_CONTINUE :
					     G_SOURCE_REMOVE;
}

static GSource *watch_readable(GSocket *socket, GSocketSourceFunc callback,
			       connection_t *connection)
{
	GSource *source = g_socket_create_source(socket, G_IO_IN, NULL);

	g_source_set_callback(source, G_SOURCE_FUNC(callback), connection,
			      NULL);
	g_source_attach(source, NULL);
	return source;
}

static GSocket *connect_endpoint(void)
{
	GSocket *socket = g_socket_new(G_SOCKET_FAMILY_IPV4,
				       G_SOCKET_TYPE_STREAM,
				       G_SOCKET_PROTOCOL_TCP, NULL);
	GSocketAddress *address = g_inet_socket_address_new_from_string(
		"127.0.0.1", proxy.target);

	if (!g_socket_connect(socket, address, NULL, NULL))
		g_clear_object(&socket);
	g_object_unref(address);
	return socket;
}

static gboolean on_accept(GSocket *listener, GIOCondition condition,
			  gpointer data)
{
	GSocket *client = g_socket_accept(listener, NULL, NULL);
	GSocket *endpoint = NULL;
	connection_t *connection;

	(void)condition;
	(void)data;
	if (client && !(proxy.count && proxy.fault == FAULT_BEFORE_WRITE))
		endpoint = connect_endpoint();
	if (!endpoint) {
		take_fault();
		close_socket(&client, proxy.reset);
		return G_SOURCE_CONTINUE;
	}
	connection = g_new0(connection_t, 1);
	connection->client = client;
	connection->endpoint = endpoint;
	connection->request = g_byte_array_new();
	connection->response = g_byte_array_new();
	connection->previous_response = g_byte_array_new();
	connection->client_source =
		watch_readable(client, on_client_readable, connection);
	connection->endpoint_source =
		watch_readable(endpoint, on_endpoint_readable, connection);
	TAILQ_INSERT_TAIL(&proxy.connections, connection, link);
	return G_SOURCE_CONTINUE;
}

static guint query_number(GHashTable *query, const char *name,
			  guint default_value)
{
	const char *text = query ? g_hash_table_lookup(query, name) : NULL;

	return text ? (guint)strtoul(text, NULL, 10) : default_value;
}

static void on_fault(SoupServer *server, SoupServerMessage *message,
		     const char *path, GHashTable *query, gpointer data)
{
	const char *kind = query ? g_hash_table_lookup(query, "kind") : NULL;
	const char *how = query ? g_hash_table_lookup(query, "how") : NULL;
	guint status = SOUP_STATUS_BAD_REQUEST;
	int i;

	(void)server;
	(void)path;
	(void)data;
	for (i = 0; i < FAULT_COUNT; i++)
		if (g_strcmp0(kind, fault_names[i]) == 0) {
			proxy.fault = (fault_t)i;
			status = SOUP_STATUS_OK;
		}
	proxy.count = query_number(query, "count", 1);
	proxy.delay_ms = query_number(query, "delay_ms", 0);
	proxy.reset = g_strcmp0(how, "rst") == 0;
	soup_server_message_set_status(message, status, NULL);
}

static gboolean listen_on_port(GSocket *listener)
{
	GSocketAddress *address =
		g_inet_socket_address_new_from_string("127.0.0.1", proxy.port);
	gboolean ok = g_socket_bind(listener, address, TRUE, NULL) &&
		      g_socket_listen(listener, NULL);

	g_object_unref(address);
	return ok;
}

static error_t parse_option(int key, char *argument, struct argp_state *state)
{
	guint number = argument ? (guint)strtoul(argument, NULL, 10) : 0;

	(void)state;
	switch (key) {
	case 'p':
		proxy.port = number;
		return 0;
	case 't':
		proxy.target = number;
		return 0;
	case 'c':
		proxy.control = number;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int main(int argc, char **argv)
{
	static const struct argp_option options[] = {
		{ "port", 'p', "N", 0, "Port that clients use", 0 },
		{ "target", 't', "N", 0, "Port of the endpoint", 0 },
		{ "control", 'c', "N", 0, "Port of the control interface", 0 },
		{ 0 }
	};
	const struct argp argp = { .options = options, .parser = parse_option };
	GSocket *listener = g_socket_new(G_SOCKET_FAMILY_IPV4,
					 G_SOCKET_TYPE_STREAM,
					 G_SOCKET_PROTOCOL_TCP, NULL);
	SoupServer *server = soup_server_new(NULL, NULL);
	GMainLoop *loop = g_main_loop_new(NULL, FALSE);

	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	TAILQ_INIT(&proxy.connections);
	soup_server_add_handler(server, "/fault", on_fault, NULL, NULL);
	if (!listen_on_port(listener) ||
	    !soup_server_listen_local(server, proxy.control,
				      SOUP_SERVER_LISTEN_IPV4_ONLY, NULL)) {
		fprintf(stderr, "cannot listen on ports %u and %u\n",
			proxy.port, proxy.control);
		return EXIT_FAILURE;
	}
	watch_readable(listener, on_accept, NULL);
	g_main_loop_run(loop);
	return EXIT_SUCCESS;
}
