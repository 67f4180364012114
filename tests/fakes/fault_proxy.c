/*
 * A TCP proxy in front of one endpoint that breaks connections at a chosen
 * point. It reads whole HTTP messages, applies the fault, and passes them on.
 * Cancellations and probes pass unharmed.
 *
 * POST /fault?kind=KIND&how=fin|rst&count=N&delay_ms=N on the control port
 * arms a fault for the next N requests; kind=none disarms it.
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
	FAULT_BEFORE_WRITE, /* cut on accept, or before the request goes on */
	FAULT_PARTIAL_REQUEST, /* pass on half of the request, cut */
	FAULT_AFTER_REQUEST, /* pass on the request, cut */
	FAULT_BEFORE_ANSWER, /* wait for the answer, cut without it */
	FAULT_IN_ANSWER, /* pass on all but two bytes of the answer, cut */
	FAULT_AFTER_ANSWER, /* pass on the answer, cut */
	FAULT_DELAY, /* pass on the answer later */
	FAULT_FREEZE, /* pass on nothing, stay open */
	FAULT_FREEZE_ANSWER, /* pass on the request, then nothing */
	FAULT_CROSS, /* exchange the answers of two connections */
	FAULT_DOUBLE, /* pass on the answer twice */
	FAULT_STALE, /* pass on the connection's previous answer first */
	FAULT_COUNT
} fault_t;

static const char *const fault_names[FAULT_COUNT] = {
	"none",		 "before_write",  "partial_request", "after_request",
	"before_answer", "in_answer",	  "after_answer",    "delay",
	"freeze",	 "freeze_answer", "cross",	     "double",
	"stale",
};

/* One connection from a client with its connection to the endpoint. */
typedef struct link {
	TAILQ_ENTRY(link) link;
	GSocket *front;
	GSocket *back;
	GSource *front_source;
	GSource *back_source;
	GByteArray *request;
	GByteArray *answer;
	GByteArray *previous; /* answer */
	fault_t fault; /* of the request in progress */
	guint timer;
} link_t;

static struct {
	guint port, target, control;
	fault_t fault;
	gboolean reset; /* cut with RST, not FIN */
	guint count, delay_ms;
	link_t *crossed; /* holds its answer until another one comes */
	TAILQ_HEAD(link_list, link) links;
} proxy = { .port = 9100, .target = 9000, .control = 9101 };

static fault_t take_fault(void)
{
	if (proxy.count == 0)
		return FAULT_NONE;
	proxy.count--;
	return proxy.fault;
}

static void drop_source(GSource **source)
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

static void link_free(link_t *link, gboolean reset)
{
	TAILQ_REMOVE(&proxy.links, link, link);
	if (proxy.crossed == link)
		proxy.crossed = NULL;
	if (link->timer)
		g_source_remove(link->timer);
	drop_source(&link->front_source);
	drop_source(&link->back_source);
	close_socket(&link->front, reset);
	close_socket(&link->back, FALSE);
	g_byte_array_unref(link->request);
	g_byte_array_unref(link->answer);
	g_byte_array_unref(link->previous);
	g_free(link);
}

/* The endpoint goes on with what it got: only the client's side is cut. */
static void cut_front(link_t *link)
{
	drop_source(&link->front_source);
	close_socket(&link->front, proxy.reset);
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

/* Bytes of the message that starts the array, 0 while it is not complete. */
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

static void keep_previous(link_t *link)
{
	g_byte_array_set_size(link->previous, 0);
	g_byte_array_append(link->previous, link->answer->data,
			    link->answer->len);
	g_byte_array_set_size(link->answer, 0);
}

static void cross_answer(link_t *link)
{
	link_t *other = proxy.crossed;

	if (!other) {
		proxy.crossed = link;
		return;
	}
	proxy.crossed = NULL;
	send_array(other->front, link->answer);
	send_array(link->front, other->answer);
	keep_previous(link);
	keep_previous(other);
}

static gboolean on_delay_over(gpointer data)
{
	link_t *link = data;

	link->timer = 0;
	send_array(link->front, link->answer);
	keep_previous(link);
	return G_SOURCE_REMOVE;
}

/* FALSE when the link is freed. */
static gboolean pass_answer(link_t *link)
{
	switch (link->fault) {
	case FAULT_BEFORE_ANSWER:
		link_free(link, proxy.reset);
		return FALSE;
	case FAULT_IN_ANSWER:
		send_bytes(link->front, link->answer->data,
			   link->answer->len - 2);
		link_free(link, proxy.reset);
		return FALSE;
	case FAULT_AFTER_ANSWER:
		send_array(link->front, link->answer);
		link_free(link, proxy.reset);
		return FALSE;
	case FAULT_DELAY:
		link->timer =
			g_timeout_add(proxy.delay_ms, on_delay_over, link);
		return TRUE;
	case FAULT_FREEZE_ANSWER:
		return TRUE;
	case FAULT_CROSS:
		cross_answer(link);
		return TRUE;
	case FAULT_DOUBLE:
		send_array(link->front, link->answer);
		break;
	case FAULT_STALE:
		send_array(link->front, link->previous);
		break;
	default:
		break;
	}
	send_array(link->front, link->answer);
	keep_previous(link);
	return TRUE;
}

/* FALSE at the end of the stream. */
static gboolean receive(GSocket *socket, GByteArray *into)
{
	gchar buffer[READ_BYTES];
	gssize size =
		g_socket_receive(socket, buffer, sizeof(buffer), NULL, NULL);

	if (size > 0)
		g_byte_array_append(into, (guint8 *)buffer, (guint)size);
	return size > 0;
}

static gboolean on_back(GSocket *socket, GIOCondition condition, gpointer data)
{
	link_t *link = data;

	(void)condition;
	if (!receive(socket, link->answer)) {
		link_free(link, FALSE);
		return G_SOURCE_REMOVE;
	}
	if (!message_size(link->answer))
		return G_SOURCE_CONTINUE;
	return pass_answer(link) ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

static gboolean is_side_request(const GByteArray *request)
{
	const char *data = (const char *)request->data;

	return strncmp(data, "POST /cancel", strlen("POST /cancel")) == 0 ||
	       strncmp(data, "POST /load", strlen("POST /load")) == 0;
}

/* FALSE when the front is not read any more. */
static gboolean pass_request(link_t *link)
{
	link->fault = is_side_request(link->request) ? FAULT_NONE :
						       take_fault();
	if (link->fault == FAULT_BEFORE_WRITE) {
		link_free(link, proxy.reset);
		return FALSE;
	}
	if (link->fault == FAULT_PARTIAL_REQUEST) {
		send_bytes(link->back, link->request->data,
			   link->request->len / 2);
		link_free(link, proxy.reset);
		return FALSE;
	}
	if (link->fault != FAULT_FREEZE)
		send_array(link->back, link->request);
	g_byte_array_set_size(link->request, 0);
	if (link->fault == FAULT_AFTER_REQUEST)
		cut_front(link);
	return link->fault != FAULT_AFTER_REQUEST;
}

static gboolean on_front(GSocket *socket, GIOCondition condition, gpointer data)
{
	link_t *link = data;

	(void)condition;
	if (!receive(socket, link->request)) {
		link_free(link, FALSE);
		return G_SOURCE_REMOVE;
	}
	if (!message_size(link->request))
		return G_SOURCE_CONTINUE;
	return pass_request(link) ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

static GSource *watch(GSocket *socket, GSocketSourceFunc callback, link_t *link)
{
	GSource *source = g_socket_create_source(socket, G_IO_IN, NULL);

	g_source_set_callback(source, G_SOURCE_FUNC(callback), link, NULL);
	g_source_attach(source, NULL);
	return source;
}

static GSocket *connect_back(void)
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
	GSocket *front = g_socket_accept(listener, NULL, NULL);
	GSocket *back = NULL;
	link_t *link;

	(void)condition;
	(void)data;
	if (front && !(proxy.count && proxy.fault == FAULT_BEFORE_WRITE))
		back = connect_back();
	if (!back) {
		take_fault();
		close_socket(&front, proxy.reset);
		return G_SOURCE_CONTINUE;
	}
	link = g_new0(link_t, 1);
	link->front = front;
	link->back = back;
	link->request = g_byte_array_new();
	link->answer = g_byte_array_new();
	link->previous = g_byte_array_new();
	link->front_source = watch(front, on_front, link);
	link->back_source = watch(back, on_back, link);
	TAILQ_INSERT_TAIL(&proxy.links, link, link);
	return G_SOURCE_CONTINUE;
}

static guint number_of(GHashTable *query, const char *name, guint initial)
{
	const char *text = query ? g_hash_table_lookup(query, name) : NULL;

	return text ? (guint)strtoul(text, NULL, 10) : initial;
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
	proxy.count = number_of(query, "count", 1);
	proxy.delay_ms = number_of(query, "delay_ms", 0);
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
	TAILQ_INIT(&proxy.links);
	soup_server_add_handler(server, "/fault", on_fault, NULL, NULL);
	if (!listen_on_port(listener) ||
	    !soup_server_listen_local(server, proxy.control,
				      SOUP_SERVER_LISTEN_IPV4_ONLY, NULL)) {
		fprintf(stderr, "ports %u, %u: cannot listen\n", proxy.port,
			proxy.control);
		return EXIT_FAILURE;
	}
	watch(listener, on_accept, NULL);
	g_main_loop_run(loop);
	return EXIT_SUCCESS;
}
